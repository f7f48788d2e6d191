"""What a target's response reports about the target itself: recorded here, and sent to keepers."""

from collections.abc import Callable

from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.gateway.backpressure import backoff as backoffs
from tillerlane.gateway.backpressure import limits
from tillerlane.timeline import core as timelines

__all__ = ["TargetFeedback"]


class TargetFeedback:
    """Handles what responses report about their targets, at one entry.

    Parameters
    ----------
    directory : directories.Directory
        Records targets that leave.
    named_limits : limits.Limits
        Records the limits that they name.
    in_backoff : backoffs.Backoffs
        Records the back-off that they request.
    usage : usages.Usage
        Counts this entry's requests under way at each.
    timeline : timelines.Timeline
        Logs each report.
    metrics : entry_metrics.EntryMetrics
        Counts the reports.
    now : callable
        Gives the event-loop time.

    Attributes
    ----------
    notify_limit : callable
        Sends a new or changed limit to the keepers.
    notify_leaving : callable
        Reports to them that a target leaves, if that is new.
    notify_backoff : callable
        Reports a target's back-off to one of them.
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
        self.notify_limit: Callable[[limits.LimitRecord], None] = lambda record: None
        self.notify_leaving: Callable[[directories.Target], None] = lambda target: None
        self.notify_backoff: Callable[[backoffs.BackoffRecord], None] = lambda record: None

    def handle_response(
        self,
        request_id: str,
        target: directories.Target,
        facts: dialects.ResponseFacts,
        sent_at: float,
    ) -> None:
        """Handle the response to a request that was sent at `sent_at` (event-loop time).

        Headers that cannot be parsed change nothing.
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
        record = self._limits.record_response(target.target_id, limit, self._now())
        if record is None:
            return
        is_named = record.unnamed_since is None
        self.notify_limit(record)
        self._metrics.target_reports.labels("limit", "taken" if is_named else "ended").inc()
        self._timeline.record(
            "target.limit",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
            limit=record.limit,
            version=record.version,
            is_named=is_named,
        )

    def _handle_leaving(self, request_id: str, target: directories.Target) -> None:
        leaving = self._directory.mark_leaving(target.target_id, self._now())
        self._metrics.target_reports.labels(
            "leaving", "ignored" if leaving is None else "taken"
        ).inc()
        if leaving is None:
            return
        self.notify_leaving(leaving)
        self._timeline.record(
            "target.leaving",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
        )

    def _handle_backoff(self, request_id: str, target: directories.Target, seconds: float) -> None:
        # The rejected request is still counted.
        under_way = self._usage.count_own_at(target.address) - 1
        even_share = target.slots / max(1, self._usage.entries)
        sustained = max(under_way, even_share)
        record = self._backoffs.record(target.target_id, seconds, request_id, sustained)
        self._metrics.target_reports.labels(
            "backoff", "ignored" if record is None else "taken"
        ).inc()
        if record is not None:
            self.notify_backoff(record)
        self._timeline.record(
            "target.backoff",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
            seconds=seconds,
            is_news=record is not None,
        )

    def _end_backoff(self, request_id: str, target: directories.Target, sent_at: float) -> None:
        """End a target's back-off if it accepted a request that was sent after its start."""
        record = self._backoffs.record_accepted(target.target_id, sent_at)
        if record is None:
            return
        self._metrics.target_reports.labels("backoff", "ended").inc()
        self._timeline.record(
            "target.backoff_over",
            request_id=request_id,
            target=target.target_id,
            asked_by=record.request_id,
            after_ms=int((self._now() - record.requested_at) * 1000),
        )
