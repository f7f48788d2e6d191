"""One request's way through an entry: admitted, sent, answered.

A refusal (503) is said only while no target can have begun: nothing was sent, or each target that
got the request vouches that it did not run.
"""

import asyncio

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import http_head, http_server, quarantine, refusals, sending
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import startup as startups
from tillerlane.gateway import streams as stream_relays
from tillerlane.timeline import core as timelines

__all__ = ["Relay"]


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    admission_control : admissions.AdmissionControl
        Decides which requests may run.
    sender : sending.Sender
        Sends them.
    streams : stream_relays.Streams
        Relays those answers that are streams.
    budget : budgets.RetryBudget
        Counts requests.
    dialect : dialects.Dialect
        Writes answers of our own.
    timeline : timelines.Timeline
        Takes the decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    startup : startups.Startup
        Has early requests wait for the configuration.
    quarantined : quarantine.Quarantine
        Takes note of requests that ended well.
    """

    def __init__(
        self,
        admission_control: admissions.AdmissionControl,
        sender: sending.Sender,
        streams: stream_relays.Streams,
        budget: budgets.RetryBudget,
        dialect: dialects.Dialect,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
        startup: startups.Startup,
        quarantined: quarantine.Quarantine,
    ) -> None:
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
        """Serve one request of a caller."""
        if self._startup.ready_at is None:
            await self._wait_ready(request)
        admission = self._admission_control.admit(request)
        if isinstance(admission, admissions.Refusal):
            facts = self._dialect.decode_request(request.head)
            await self._refuse(facts.request_id, "", responder, admission)
            return
        self._budget.record_request(admission.pool.name, self._loop.time())
        try:
            tried = await self._sender.send_with_retries(admission)
        except asyncio.CancelledError:
            self._note_left(admission)
            raise
        if isinstance(tried.outcome, sending.Stream):
            await self._streams.serve(admission, responder, tried)
        else:
            await self._answer(admission, responder, tried)

    async def _wait_ready(self, request: http_server.Request) -> None:
        """Have a request that came before the configuration wait for it a while."""
        facts = self._dialect.decode_request(request.head)
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
    ) -> None:
        self._metrics.requests.labels(route, str(refusal.status)).inc()
        self._timeline.record(
            "request.refuse",
            request_id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
        )
        head = self._dialect.build_refusal(refusal.status, refusal.retry_after)
        await responder.send_response(head, b"")

    async def _answer(
        self,
        admission: admissions.Admission,
        responder: http_server.Responder,
        tried: sending.SendResult,
    ) -> None:
        """Answer a caller who has got nothing yet."""
        outcome = tried.outcome
        request_id = admission.facts.request_id
        if isinstance(outcome, sending.Response):
            headers = http_head.list_end_to_end(outcome.head.headers)
            head = http_head.ResponseHead(outcome.head.status, headers)
            await responder.send_response(head, outcome.body)
            self._note_answer(admission, tried, outcome.head.status)
        elif isinstance(outcome, refusals.NotRun):
            refusal = admissions.Refusal(503, outcome.reason, outcome.retry_after)
            await self._refuse(request_id, admission.route.name, responder, refusal)
        else:
            assert isinstance(outcome, sending.Unknown)
            status = 504 if outcome.is_late else 502
            refusal = admissions.Refusal(status, outcome.reason)
            await self._refuse(request_id, admission.route.name, responder, refusal)

    def _note_left(self, admission: admissions.Admission) -> None:
        """Note a caller that left before it got anything."""
        self._metrics.requests.labels(admission.route.name, "left").inc()
        self._timeline.record(
            "request.leave",
            request_id=admission.facts.request_id,
            fingerprint=admission.fingerprint,
            route=admission.route.name,
            version=admission.version,
            waited_ms=int((self._loop.time() - admission.request.arrived) * 1000),
        )

    def _note_answer(
        self, admission: admissions.Admission, tried: sending.SendResult, status: int
    ) -> None:
        """Note a whole answer that a target gave."""
        if status < 400:
            self._quarantine.record_success(admission.fingerprint)
        seconds = self._loop.time() - admission.request.arrived
        self._metrics.requests.labels(admission.route.name, str(status)).inc()
        self._metrics.seconds.labels(admission.route.name).observe(seconds)
        self._timeline.record(
            "request.end",
            request_id=admission.facts.request_id,
            fingerprint=admission.fingerprint,
            route=admission.route.name,
            version=admission.version,
            target=tried.target.target_id if tried.target is not None else "",
            status=status,
            took_ms=int(seconds * 1000),
        )
