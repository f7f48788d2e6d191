"""Whether a target ended when it broke off an answer, or only the connection did.

A connection ends for many reasons: a reset on the way, an answer that a sound target loses or
spoils, an idle connection.  Where the process has ended, its host refuses the next connection at
once; that tells the two apart within a round trip, seconds before heartbeats are missed.  On a day
with crashed targets, reset connections, spoilt and lost answers all three ends were found so, and
none of the four other breaks was taken for one (log lines ``target.broke_off``).
"""

import asyncio

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import directory as directories
from tillerlane.gateway import http_client, quarantine
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["ExitDetector"]

PROBE_SECONDS = 0.05
"""Longest wait for a refusal, which comes within a round trip: 3 ms within a region and 16 ms
between regions as met.  The request waits for it before it goes to another target, and callers of
plain requests have a tenth of a second; with 0.3 s one was answered after 0.6 s instead of 0.1."""


class ExitDetector:
    """Asks after targets that broke off answers of one entry.

    Parameters
    ----------
    usage : usages.Usage
        Tells what else was under way at a target.
    quarantined : quarantine.Quarantine
        Takes the requests under which targets ended.
    timeline : timelines.Timeline
        Takes what was found.
    metrics : entry_metrics.EntryMetrics
        Counts it.
    """

    def __init__(
        self,
        usage: usages.Usage,
        quarantined: quarantine.Quarantine,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._usage = usage
        self._quarantine = quarantined
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._probing: dict[str, asyncio.Task[http_client.ProbeResult]] = {}
        """Probes under way by target: all answers that break off with one share it."""

    async def check_target(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        sent_at: float,
        events: int,
    ) -> None:
        """Find out what became of a target that broke off a request's answer.

        A target that leaves ends as planned, and with it what still runs there.

        Parameters
        ----------
        admission : admissions.Admission
            The request.
        sent_at : float
            Time of the event loop at which it was sent there.
        events : int
            Events of its stream that have come so far, from all of its runners.
        """
        if target.is_winding_down:
            return
        now = self._loop.time()
        reach = await self._probe(target)
        self._metrics.broken_answers.labels(reach.value).inc()
        self._timeline.record(
            "target.broke_off",
            request_id=admission.facts.request_id,
            fingerprint=admission.fingerprint,
            target=target.target_id,
            address=target.address,
            reach=reach.value,
            ran_ms=int((now - sent_at) * 1000),
            events=events,
            requests_there=self._usage.get(target.address).requests,
        )
        if reach is http_client.ProbeResult.REFUSED:
            self._quarantine.record_exit(admission.fingerprint, target)

    async def _probe(self, target: directories.Target) -> http_client.ProbeResult:
        if target.is_superseded:
            return (
                http_client.ProbeResult.REFUSED
            )  # it has started again, so the former start has ended
        task = self._probing.get(target.target_id)
        if task is None:
            task = self._loop.create_task(http_client.probe(target.address, PROBE_SECONDS))
            self._probing[target.target_id] = task
            task.add_done_callback(lambda _: self._probing.pop(target.target_id))
        return await asyncio.shield(task)
