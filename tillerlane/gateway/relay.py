"""Handles a caller's request: admits it, sends it to targets and answers the caller.

A refusal (503) is answered only while no target can have started the request: nothing was sent, or
every target that received it guarantees that it did not run.
"""

import asyncio
import contextlib
import math

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import outcomes, refusals, retries, stopping
from tillerlane.gateway import startup as startups
from tillerlane.gateway.http import http_head, http_server
from tillerlane.gateway.origins import resumptions
from tillerlane.gateway.quarantine import guard
from tillerlane.gateway.streaming import streams as stream_relays
from tillerlane.timeline import core as timelines

__all__ = ["Relay"]


class Relay:
    """Handles callers' requests.

    Parameters
    ----------
    admission_control : admissions.AdmissionControl
        Decides which requests may run.
    sender : retries.RetryingSender
        Sends requests to targets.
    streams : stream_relays.Streams
        Relays responses that are streams.
    budget : budgets.RetryBudget
        Counts requests.
    dialect : dialects.Dialect
        Builds refusals.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    startup : startups.Startup
        Holds early requests until the configuration is known.
    quarantined : guard.Quarantine
        Records requests that succeeded.
    resumed : resumptions.Resumptions
        Restricts requests that resume streams to one software version.
    planned_stop : stopping.PlannedStop
        Knows which requests may outlast it.
    """

    def __init__(
        self,
        admission_control: admissions.AdmissionControl,
        sender: retries.RetryingSender,
        streams: stream_relays.Streams,
        budget: budgets.RetryBudget,
        dialect: dialects.Dialect,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
        startup: startups.Startup,
        quarantined: guard.Quarantine,
        resumed: resumptions.Resumptions,
        planned_stop: stopping.PlannedStop,
    ) -> None:
        self._planned_stop = planned_stop
        self._resumptions = resumed
        self._quarantine = quarantined
        self._startup = startup
        self._admission_control = admission_control
        self._sender = sender
        self._streams = streams
        self._budget = budget
        self._dialect = dialect
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        """Handle one request."""
        if self._startup.ready_at is None:
            await self._wait_ready(request)
        admission = self._admission_control.admit(request)
        if isinstance(admission, admissions.Refusal):
            facts = self._dialect.decode_request(request.head)
            await self._refuse(facts.request_id, "", responder, admission)
            return
        if self._planned_stop.bars(admission.deadline):
            result = outcomes.SendResult(stopping.build_refusal())
            await self._respond(admission, responder, result)
            return
        evidence = self._quarantine.list_evidence(admission)
        self._budget.record_request(admission.pool.name, self._loop.time())
        try:
            restricted = await self._restrict(admission)
            if isinstance(restricted, refusals.NotRun):
                result = outcomes.SendResult(restricted)
            else:
                admission = restricted
                result = await self._sender.send_with_retries(admission)
        except asyncio.CancelledError:
            self._record_disconnect(admission)
            raise
        if isinstance(result.outcome, outcomes.Stream):
            await self._streams.serve(admission, responder, result)
        else:
            if isinstance(result.outcome, outcomes.Response) and result.outcome.head.status < 400:
                self._quarantine.record_proof(admission, evidence)
                self._quarantine.forget_proof(admission)
            await self._respond(admission, responder, result)

    async def _restrict(
        self, admission: admissions.Admission
    ) -> admissions.Admission | refusals.NotRun:
        """Restrict a request that resumes a stream, unless the entry stops meanwhile."""
        try:
            async with self._planned_stop.limit_wait(admission.deadline):
                return await self._resumptions.restrict(admission)
        except TimeoutError:
            return stopping.build_refusal()

    async def _wait_ready(self, request: http_server.Request) -> None:
        """Hold a request that arrived before the configuration."""
        facts = self._dialect.decode_request(request.head)
        with contextlib.suppress(TimeoutError):  # refused then, as without a configuration
            async with self._planned_stop.limit_wait(math.inf):
                await self._startup.wait_ready(request.arrived, facts.wait_seconds)
        self._timeline.record(
            "request.held",
            request_id=facts.request_id,
            waited_ms=int((self._loop.time() - request.arrived) * 1000),
            ready=self._startup.ready_at is not None,
        )

    async def _refuse(
        self,
        request_id: str,
        route: str,
        responder: http_server.Responder,
        refusal: admissions.Refusal,
        result: outcomes.SendResult | None = None,
    ) -> None:
        self._metrics.requests.labels(route, str(refusal.status)).inc()
        self._timeline.record(
            "request.refuse",
            request_id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            queue_rank=result.queue_rank if result is not None else None,
            queue_length=result.queue_length if result is not None else None,
        )
        head = self._dialect.build_refusal(refusal.status, refusal.retry_after)
        await responder.send_response(head, b"")

    async def _respond(
        self,
        admission: admissions.Admission,
        responder: http_server.Responder,
        result: outcomes.SendResult,
    ) -> None:
        """Answer a caller to whom nothing has been sent yet."""
        outcome = result.outcome
        request_id = admission.facts.request_id
        if isinstance(outcome, outcomes.Response):
            headers = http_head.list_end_to_end(outcome.head.headers)
            head = http_head.ResponseHead(outcome.head.status, headers)
            await responder.send_response(head, outcome.body)
            self._record_response(admission, result, outcome.head.status)
        elif isinstance(outcome, refusals.NotRun):
            refusal = admissions.Refusal(503, outcome.reason, outcome.retry_after)
            await self._refuse(request_id, admission.route.name, responder, refusal, result)
        else:
            assert isinstance(outcome, outcomes.Unknown)
            status = 504 if outcome.is_late else 502
            refusal = admissions.Refusal(status, outcome.reason)
            await self._refuse(request_id, admission.route.name, responder, refusal, result)

    def _record_disconnect(self, admission: admissions.Admission) -> None:
        """Record a caller that disconnected before it got anything."""
        self._metrics.requests.labels(admission.route.name, "left").inc()
        self._timeline.record(
            "request.leave",
            request_id=admission.facts.request_id,
            fingerprint=admission.fingerprint,
            route=admission.route.name,
            version=admission.version,
            waited_ms=int((self._loop.time() - admission.request.arrived) * 1000),
        )

    def _record_response(
        self, admission: admissions.Admission, result: outcomes.SendResult, status: int
    ) -> None:
        """Record a complete response of a target."""
        if status < 400:
            self._quarantine.record_success(admission.fingerprint)
        seconds = self._loop.time() - admission.request.arrived
        self._metrics.requests.labels(admission.route.name, str(status)).inc()
        self._metrics.seconds.labels(admission.route.name).observe(seconds)
        self._timeline.record(
            "request.end",
            request_id=admission.facts.request_id,
            fingerprint=admission.fingerprint,
            workspace=admission.workspace_name,
            route=admission.route.name,
            version=admission.version,
            target=result.target.target_id if result.target is not None else "",
            status=status,
            took_ms=int(seconds * 1000),
        )
