"""What a target's answer says of the target itself: taken here, and told to the keepers."""

from collections.abc import Callable

from tillerlane.gateway import backoff as backoffs
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import limits
from tillerlane.gateway import meters as entry_meters
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Advice"]


class Advice:
    """Takes what answers say of their targets, at one entry.

    Parameters
    ----------
    directory : directories.Directory
        Takes targets that leave.
    named_limits : limits.Limits
        Takes the limits that they name.
    in_backoff : backoffs.Backoffs
        Takes the back-off that they ask for.
    usage : usages.Usage
        Counts what this entry has under way at each.
    timeline : timelines.Timeline
        Takes each word.
    meters : entry_meters.EntryMeters
        Counts them.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    tell_limit : callable
        Tells the keepers of a limit that is news.
    tell_leaving : callable
        Tells them of a target that leaves, if that is news.
    tell_backoff : callable
        Tells one of a target's back-off.
    """

    def __init__(
        self,
        directory: directories.Directory,
        named_limits: limits.Limits,
        in_backoff: backoffs.Backoffs,
        usage: usages.Usage,
        timeline: timelines.Timeline,
        meters: entry_meters.EntryMeters,
        now: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._limits = named_limits
        self._backoffs = in_backoff
        self._usage = usage
        self._timeline = timeline
        self._meters = meters
        self._now = now
        self.tell_limit: Callable[[limits.Word], None] = lambda word: None
        self.tell_leaving: Callable[[directories.Target], None] = lambda target: None
        self.tell_backoff: Callable[[backoffs.Word], None] = lambda word: None

    def take(
        self,
        request_id: str,
        target: directories.Target,
        facts: dialects.ResponseFacts,
        sent_at: float,
    ) -> None:
        """Take the answer to a request that went out `sent_at` (time of the event loop).

        What can't be read changes nothing.
        """
        for header in facts.invalid:
            self._meters.words.labels(header.name, "unread").inc()
            self._timeline.record(
                "target.unread",
                request_id=request_id,
                target=target.target_id,
                word=header.name,
                text=header.text,
            )
        if not facts.has_invalid("limit"):
            self._take_limit(request_id, target, facts.rate_limit)
        if facts.is_leaving:
            self._take_leaving(request_id, target)
        if facts.did_run:
            self._end_backoff(request_id, target, sent_at)
        if facts.backoff_seconds is not None:
            self._take_backoff(request_id, target, facts.backoff_seconds)

    def _take_limit(self, request_id: str, target: directories.Target, limit: float | None) -> None:
        word = self._limits.note_answer(target.target_id, limit, self._now())
        if word is None:
            return
        is_named = word.unnamed_since is None
        self.tell_limit(word)
        self._meters.words.labels("limit", "taken" if is_named else "ended").inc()
        self._timeline.record(
            "target.limit",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
            limit=word.limit,
            version=word.version,
            is_named=is_named,
        )

    def _take_leaving(self, request_id: str, target: directories.Target) -> None:
        news = self._directory.mark_leaving(target.target_id, self._now())
        self._meters.words.labels("leaving", "ignored" if news is None else "taken").inc()
        if news is None:
            return
        self.tell_leaving(news)
        self._timeline.record(
            "target.leaving",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
        )

    def _take_backoff(self, request_id: str, target: directories.Target, seconds: float) -> None:
        # The request that was turned away is still counted.
        under_way = self._usage.count_own_at(target.address) - 1
        even_share = target.slots / max(1, self._usage.entries)
        borne = max(under_way, even_share)
        word = self._backoffs.note(target.target_id, seconds, request_id, borne)
        self._meters.words.labels("backoff", "ignored" if word is None else "taken").inc()
        if word is not None:
            self.tell_backoff(word)
        self._timeline.record(
            "target.backoff",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
            seconds=seconds,
            is_news=word is not None,
        )

    def _end_backoff(self, request_id: str, target: directories.Target, sent_at: float) -> None:
        """End a target's back-off if it took a request that was sent after that."""
        word = self._backoffs.note_taken(target.target_id, sent_at)
        if word is None:
            return
        self._meters.words.labels("backoff", "ended").inc()
        self._timeline.record(
            "target.backoff_over",
            request_id=request_id,
            target=target.target_id,
            asked_by=word.request_id,
            after_ms=int((self._now() - word.told_at) * 1000),
        )
