"""What a target's answer says of the target itself: taken here, and told to the keepers."""

from collections.abc import Callable

from tillerlane.gateway import backoff as backoffs
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import limits
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["TargetFeedback"]


class TargetFeedback:
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
    metrics : entry_metrics.EntryMetrics
        Counts them.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    notify_limit : callable
        Tells the keepers of a limit that is news.
    notify_leaving : callable
        Tells them of a target that leaves, if that is news.
    notify_backoff : callable
        Tells one of a target's back-off.
    """

    def __init__(
        self,
        directory: directories.Directory,
        named_limits: limits.Limits,
        in_backoff: backoffs.Backoffs,
        usage: usages.Usage,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
        now: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._limits = named_limits
        self._backoffs = in_backoff
        self._usage = usage
        self._timeline = timeline
        self._metrics = metrics
        self._now = now
        self.notify_limit: Callable[[limits.LimitRecord], None] = lambda word: None
        self.notify_leaving: Callable[[directories.Target], None] = lambda target: None
        self.notify_backoff: Callable[[backoffs.BackoffRecord], None] = lambda word: None

    def handle_response(
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
            self._metrics.target_reports.labels(header.name, "unread").inc()
            self._timeline.record(
                "target.unread",
                request_id=request_id,
                target=target.target_id,
                word=header.name,
                text=header.text,
            )
        if not facts.has_invalid("limit"):
            self._handle_limit(request_id, target, facts.rate_limit)
        if facts.is_leaving:
            self._handle_leaving(request_id, target)
        if facts.did_run:
            self._end_backoff(request_id, target, sent_at)
        if facts.backoff_seconds is not None:
            self._handle_backoff(request_id, target, facts.backoff_seconds)

    def _handle_limit(
        self, request_id: str, target: directories.Target, limit: float | None
    ) -> None:
        word = self._limits.record_response(target.target_id, limit, self._now())
        if word is None:
            return
        is_named = word.unnamed_since is None
        self.notify_limit(word)
        self._metrics.target_reports.labels("limit", "taken" if is_named else "ended").inc()
        self._timeline.record(
            "target.limit",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
            limit=word.limit,
            version=word.version,
            is_named=is_named,
        )

    def _handle_leaving(self, request_id: str, target: directories.Target) -> None:
        news = self._directory.mark_leaving(target.target_id, self._now())
        self._metrics.target_reports.labels("leaving", "ignored" if news is None else "taken").inc()
        if news is None:
            return
        self.notify_leaving(news)
        self._timeline.record(
            "target.leaving",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
        )

    def _handle_backoff(self, request_id: str, target: directories.Target, seconds: float) -> None:
        # The request that was turned away is still counted.
        under_way = self._usage.count_own_at(target.address) - 1
        even_share = target.slots / max(1, self._usage.entries)
        sustained = max(under_way, even_share)
        word = self._backoffs.record(target.target_id, seconds, request_id, sustained)
        self._metrics.target_reports.labels("backoff", "ignored" if word is None else "taken").inc()
        if word is not None:
            self.notify_backoff(word)
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
        word = self._backoffs.record_accepted(target.target_id, sent_at)
        if word is None:
            return
        self._metrics.target_reports.labels("backoff", "ended").inc()
        self._timeline.record(
            "target.backoff_over",
            request_id=request_id,
            target=target.target_id,
            asked_by=word.request_id,
            after_ms=int((self._now() - word.requested_at) * 1000),
        )
