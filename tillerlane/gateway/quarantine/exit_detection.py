"""Detects whether a target that broke off a response has exited, or only its connection ended.

A connection can end for many reasons: a reset, a response that a healthy target loses or corrupts,
an idle time-out.  If the process has exited, its host refuses the next connection at once, which
tells the two apart within a round trip, seconds before missed heartbeats do.  On a simulated day
with crashes, resets, and corrupted and lost responses, all three exits were detected and none of
the four other breaks was taken for an exit (log event ``target.broke_off``).
"""

import asyncio

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.gateway.http import http_client
from tillerlane.gateway.quarantine import guard
from tillerlane.timeline import core as timelines

__all__ = ["ExitDetector"]

PROBE_TIMEOUT_SECONDS = 0.05
"""Longest wait for a refusal, which takes one round trip: 3 ms within a region and 16 ms between
regions.  A retry waits for the probe, and callers of plain requests have a tenth of a second; with
0.3 s, such a request is answered after 0.6 s instead of 0.1 s."""
LATER_CHECK_DELAYS_SECONDS = (0.1, 0.5, 2.0)
"""Pauses before further probes of a target that could still be reached."""


class ExitDetector:
    """Checks targets that broke off responses to one entry.

    Parameters
    ----------
    usage : usages.Usage
        Knows how many other requests are at a target.
    quarantined : guard.Quarantine
        Records requests during which targets exited.
    timeline : timelines.Timeline
        Log of results.
    metrics : entry_metrics.EntryMetrics
        Counts results.
    """

    def __init__(
        self,
        usage: usages.Usage,
        quarantined: guard.Quarantine,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._usage = usage
        self._quarantine = quarantined
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._probes: dict[str, asyncio.Task[http_client.ProbeResult]] = {}
        """Probes in progress by target; responses that break off at one target share a probe."""
        self._later_checks: set[asyncio.Task[None]] = set()

    async def check_target(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        sent_at: float,
        events: int,
        *,
        has_head: bool,
    ) -> None:
        """Find out whether a target that broke off the response to a request has exited.

        The exit of a draining target is planned, and ends whatever still runs there.

        Parameters
        ----------
        admission : admissions.Admission
            The request.
        sent_at : float
            Time of the event loop at which it was sent to the target.
        events : int
            Events of its stream that arrived so far, from all of its runners.
        has_head : bool
            Whether the target had sent the head of its response.
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
            workspace=admission.workspace_name,
            parts=list(admission.facts.shared_parts),
            target=target.target_id,
            address=target.address,
            reach=reach.value,
            ran_ms=int((now - sent_at) * 1000),
            events=events,
            has_head=has_head,
            requests_there=self._usage.get(target.address).requests,
        )
        has_begun = has_head or not admission.is_stream
        if reach is http_client.ProbeResult.REFUSED:
            self._quarantine.record_exit(admission, target, has_begun=has_begun)
        elif has_begun and self._quarantine.is_beginning(admission):
            task = self._loop.create_task(self._check_again(admission, target))
            self._later_checks.add(task)
            task.add_done_callback(self._later_checks.discard)

    async def _check_again(
        self, admission: admissions.Admission, target: directories.Target
    ) -> None:
        """Find out whether a target exits soon after it broke off a response that had just begun.

        A process that writes a core dump, or whose host has a proxy, still accepts connections.
        """
        for delay in LATER_CHECK_DELAYS_SECONDS:
            await asyncio.sleep(delay)
            if target.is_winding_down:
                return
            if await self._probe(target) is http_client.ProbeResult.REFUSED:
                self._timeline.record(
                    "target.exited_later",
                    request_id=admission.facts.request_id,
                    fingerprint=admission.fingerprint,
                    target=target.target_id,
                    address=target.address,
                )
                self._quarantine.record_exit(admission, target)
                return

    async def _probe(self, target: directories.Target) -> http_client.ProbeResult:
        if target.is_superseded:
            # It has restarted, so the former process has exited.
            return http_client.ProbeResult.REFUSED
        task = self._probes.get(target.target_id)
        if task is None:
            task = self._loop.create_task(http_client.probe(target.address, PROBE_TIMEOUT_SECONDS))
            self._probes[target.target_id] = task
            task.add_done_callback(lambda _: self._probes.pop(target.target_id))
        return await asyncio.shield(task)
