"""Log lines and metrics of streams that have ended."""

from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway.quarantine import guard
from tillerlane.gateway.streaming import stream_relay
from tillerlane.timeline import core as timelines

__all__ = ["StreamEnds"]


class StreamEnds:
    """Records how the streams of one entry end.

    Parameters
    ----------
    quarantined : guard.Quarantine
        Records streams that succeeded.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    """

    def __init__(
        self,
        quarantined: guard.Quarantine,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._quarantine = quarantined
        self._timeline = timeline
        self._metrics = metrics

    def record_begin(self, stream: stream_relay.StreamRelay) -> None:
        """Record the first event of a run."""
        stream.evidence = self._quarantine.list_evidence(stream.admission)

    def record_proof(self, stream: stream_relay.StreamRelay) -> None:
        """Record that a run has got past its beginning, as poison requests never do."""
        self._quarantine.record_proof(stream.admission, stream.evidence)

    def record_end(self, stream: stream_relay.StreamRelay) -> None:
        admission = stream.admission
        stream.prove()
        self._quarantine.record_success(admission.fingerprint)
        self._metrics.requests.labels(admission.route.name, "200").inc()
        first_seconds = stream.first_event_at - admission.request.arrived
        self._metrics.seconds.labels(admission.route.name).observe(first_seconds)
        self._metrics.pauses.labels(admission.route.name).observe(stream.longest_pause)
        self._timeline.record(
            "stream.end",
            request_id=stream.admission.facts.request_id,
            fingerprint=stream.admission.fingerprint,
            workspace=stream.admission.workspace_name,
            target=stream.run.target.target_id,
            events=stream.events,
            first_ms=_milliseconds(first_seconds),
            pause_ms=_milliseconds(stream.longest_pause),
            paused_at=stream.longest_pause_after,
            runners=stream.runners,
        )

    def forget(self, stream: stream_relay.StreamRelay) -> None:
        """Forget what was recorded of a stream for its time only."""
        self._quarantine.forget_proof(stream.admission)

    def record_break(self, stream: stream_relay.StreamRelay, reason: str) -> None:
        self._metrics.requests.labels(stream.admission.route.name, "broken").inc()
        self._timeline.record(
            "stream.break",
            request_id=stream.admission.facts.request_id,
            fingerprint=stream.admission.fingerprint,
            target=stream.run.target.target_id,
            phase=stream.run.target.phase.value,
            last_event=stream.last_event_id,
            events=stream.events,
            reason=reason,
        )


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
