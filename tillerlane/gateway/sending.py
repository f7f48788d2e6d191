"""Sends requests to targets and decides whether a request may be sent again.

A request that may run only once is sent again only while every target that received it guarantees
that it did not run.  Any other request is retried within its route's attempts and the fleet's retry
budget.
"""

import asyncio
import dataclasses

from tillerlane.decisions import copies, placing, queueing
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import (
    availability,
    exchanges,
    exit_detection,
    http_client,
    http_head,
    quarantine,
    refusals,
    reservations,
    routes,
    selection,
    shares,
)
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import feedback as feedbacks
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import startup as startups
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Outcome", "Response", "SendResult", "Sender", "Stream", "Unknown"]

CONNECT_TIMEOUT_SECONDS = 0.3
"""Connecting within a region takes milliseconds; an unreachable target never answers."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MEMORY_WAIT_SHARE = 0.2
"""Share of the response-time objective that a request waits for memory before it is refused with a
retry time.  Where memory is short, longer waits take capacity from later requests that would still
be in time: on two loaded days long runs earn 0.52 and 0.57 of their credit with a share of 0.7,
instead of 0.61 and 0.66."""
PREFILL_WAIT_SHARE = 0.7
"""Share of the objective that a request waits for a runner whose prefill backlog is small enough;
after that it is sent to the best candidate, since late is better than not at all.  Refusing it at
that point, or after a share of 0.2, makes no difference to other requests on loaded days: long runs
earn 0.70 and 0.71 of their credit against 0.69, short runs 0.79 and 0.78 against 0.78."""
MEMORY_CHECK_INTERVAL_SECONDS = 0.03
QUARANTINE_RETRY_SECONDS = 60.0
"""Retry time for a quarantined request: longer than any request waits (39 s), since an earlier
retry would be refused too.  The status is 503 and not 4xx because the quarantine follows from what
happened to targets, not from the request itself, and is lifted if a run of it succeeds."""
FIRST_ATTEMPT_SHARE = 0.5
"""Share of a repeatable request's time after which another target is tried."""
SLOW_RESPONSE_SECONDS = 0.25
"""A target that takes longer than this to answer is avoided; shorter waits may end by the caller's
own short deadline."""
MIN_SEND_SECONDS = 0.02
"""With less time left than this, a target could not answer."""
MAX_UNSENT_ATTEMPTS = 3
"""Unreachable targets that are tried before a request is refused."""
PERMIT_TIMEOUT_SECONDS = 0.05
"""Longest wait for a permit while other targets have room; a permit exchange takes milliseconds."""
MAX_PERMIT_REQUESTS = 2
"""Permit requests per caller's request: the first reply may answer an earlier permit request."""
MAX_REJECTIONS = 3
"""Rejections by targets after which a request is refused."""
MAX_EVACUATION_SECONDS = 0.45
"""A runner whose runs can all be copied within this time needs no backup copies.  One more run
(0.4 s) and the tokens written meanwhile add to it; together they must stay below the shortest
notice of a leaving runner (1.5 s).  0.45 s serves quiet days better than 0.7 s
(docs/MEASUREMENTS.md)."""
BACKUP_MEMORY_SHARE = 0.6
"""Share of a runner's memory up to which it accepts backup copies of other runners' runs.  The rest
is left for runs, which are preempted when memory runs out."""
RUN_MEMORY_SHARE = 0.95
"""Share of a runner's memory up to which it gets runs other than the most urgent: active runs still
grow, and requests sent by other entries are reported late."""
RESPONSE_MARGIN_SECONDS = 0.03
"""How long before a request's deadline the response is written."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee to a caller that its request did not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A target's complete response."""

    head: http_head.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request, but no response arrived."""

    reason: str
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A target has started a stream."""

    head: http_head.ResponseHead
    exchange: http_client.Exchange


Outcome = Response | refusals.NotRun | Unknown | Stream

_OUTCOME_LABELS: dict[type[Outcome], str] = {
    Response: "whole",
    refusals.NotRun: "notrun",
    Unknown: "unknown",
    Stream: "stream",
}
"""Names of outcomes in metrics and log events."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendResult:
    """State of a request after it was sent to targets.

    Attributes
    ----------
    target, backup : directories.Target or None
        The target of the last send, and the runner that receives backup copies of the run.
    sends, runs : int
        Targets that received the request, and those among them that may have run it.
    """

    outcome: Outcome
    target: directories.Target | None = None
    backup: directories.Target | None = None
    sends: int = 0
    runs: int = 0


class Sender:
    """Sends requests to targets.

    Parameters
    ----------
    dialect : dialects.Dialect
        Encodes requests and decodes responses.
    selector : selection.Selector
        Chooses targets.
    available : availability.Availability
        Knows which targets are blocked, and why.
    feedback : feedbacks.TargetFeedback
        Processes what responses report about their targets.
    usage : usages.Usage
        Counts requests and tokens at targets.
    budget : budgets.RetryBudget
        Bounds retries.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    startup : startups.Startup
        Knows whether targets may still be undiscovered.
    directory : directories.Directory
        Notifies of targets that have restarted.
    exit_detector : exit_detection.ExitDetector
        Checks targets that broke off a response.
    quarantined : quarantine.Quarantine
        Knows which requests are quarantined.
    workspace_shares : shares.Shares
        Counts what is served to each workspace.
    reserved : reservations.Reservations
        Reserves memory at runners before requests are sent.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        selector: selection.Selector,
        available: availability.Availability,
        feedback: feedbacks.TargetFeedback,
        usage: usages.Usage,
        budget: budgets.RetryBudget,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
        startup: startups.Startup,
        directory: directories.Directory,
        exit_detector: exit_detection.ExitDetector,
        quarantined: quarantine.Quarantine,
        workspace_shares: shares.Shares,
        reserved: reservations.Reservations,
    ) -> None:
        self._shares = workspace_shares
        self._reservations = reserved
        self._quarantine = quarantined
        self._exit_detector = exit_detector
        self._startup = startup
        self._dialect = dialect
        self._selector = selector
        self._available = available
        self._feedback = feedback
        self._usage = usage
        self._refusals = refusals.RefusalBuilder(available, usage)
        self._budget = budget
        self._timeline = timeline
        self._metrics = metrics
        self._exchanges = exchanges.Exchanges(directory)
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        tokens: int | None = None,
        until: float | None = None,
    ) -> Outcome:
        """Send a request to a target and read its response: the head of a stream, or all of it.

        `tokens` is the memory that a resumed run is counted with.  `until` is the time of the event
        loop at which waiting for the response ends.
        """
        refusal = self.refuse_quarantined(admission)
        if refusal is not None:
            return refusal
        started_at = self._loop.time()
        until = admission.deadline - RESPONSE_MARGIN_SECONDS if until is None else until
        address = target.address
        unread = admission.facts.prompt_tokens if tokens is None else 0
        tokens = admission.tokens if tokens is None else tokens
        unsaved = tokens if admission.is_long and not plan.backup_address else 0
        self._usage.add(address, requests=1, tokens=tokens, unread=unread, unsaved=unsaved)
        self._usage.record_request(admission.pool.name, started_at)
        exchange: http_client.Exchange | None = None
        keep = False
        try:
            async with asyncio.timeout_at(until):
                exchange = await http_client.connect(address, CONNECT_TIMEOUT_SECONDS)
                exchange.set_account(admission.request.account)
                self._exchanges.add(target, exchange)
                refusal = self.refuse_quarantined(admission)
                if refusal is not None:
                    return refusal
                obstacle = self._available.acquire(
                    admission.pool, target, is_resumed=plan.copy is not None
                )
                if obstacle is not None:
                    reason = f"{address} is blocked for this entry: {obstacle.cause.value}"
                    return refusals.NotRun(reason, sent=False, is_blocked=True)
                head = self._dialect.build_forward(admission.request.head, plan)
                self._selector.failures.record_send(target.target_id, self._loop.time())
                exchange.send(head, admission.request.body)
                if plan.copy is None:
                    self._record_served(admission, admission.served_tokens)
                outcome = await self._read_response(admission, target, exchange)
            keep = isinstance(outcome, Stream)
            self._record_outcome(
                target, outcome, exchange.sent_at, is_resumed=plan.copy is not None
            )
            if isinstance(outcome, refusals.NotRun) and plan.copy is None:
                self._record_served(admission, -admission.served_tokens)
            return outcome
        except TimeoutError:
            sent = exchange is not None and exchange.sent
            if not sent:
                return refusals.NotRun(f"{address}: out of time before it was sent", sent=False)
            if self._loop.time() - started_at > SLOW_RESPONSE_SECONDS:
                self._selector.failures.record_failure(target.target_id, self._loop.time())
            return Unknown(f"{address}: no answer in time", is_late=True)
        except http_client.ExchangeError as error:
            if not error.sent:
                self._selector.failures.record_failure(target.target_id, self._loop.time())
                return refusals.NotRun(str(error), sent=False)
            assert exchange is not None
            self._selector.failures.record_broken_answer(
                target, admission.fingerprint, self._loop.time(), exchange.sent_at
            )
            await self._exit_detector.check_target(admission, target, exchange.sent_at, 0)
            return Unknown(f"{address}: {error}")
        finally:
            self._usage.add(address, unread=-unread)
            if not keep:
                self._usage.add(address, requests=-1, tokens=-tokens, unsaved=-unsaved)
                if exchange is not None:
                    exchange.abort()

    def _record_served(self, admission: admissions.Admission, tokens: int) -> None:
        """Count tokens as served to the request's workspace; negative ones take that back."""
        if admission.workspace is not None:
            pool, workspace = admission.pool.name, admission.workspace.name
            self._shares.record_served(pool, workspace, tokens, self._loop.time())

    def refuse_quarantined(self, admission: admissions.Admission) -> refusals.NotRun | None:
        """Refuse a quarantined request; None if it may be sent.

        Checked on every path to a target, and again once a connection is open: the request may have
        been quarantined while the connection was being set up.
        """
        reason = self._quarantine.find_reason(admission.fingerprint)
        return (
            refusals.NotRun(reason, sent=False, retry_after=QUARANTINE_RETRY_SECONDS)
            if reason
            else None
        )

    async def _read_response(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        exchange: http_client.Exchange,
    ) -> Outcome:
        head = await exchange.read_head()
        facts = self._dialect.decode_response(head)
        is_of_request = facts.request_id == admission.facts.request_id
        if is_of_request and not facts.is_other_target:
            self._feedback.handle_response(
                admission.facts.request_id, target, facts, exchange.sent_at
            )
        if not is_of_request:
            # Targets name the request in every response; any other response proves nothing.
            named = facts.request_id or "none"
            raise http_client.ExchangeError(f"response to another request: {named}", sent=True)
        if not facts.did_run:
            return refusals.NotRun(
                f"turned away, status {head.status}", True, facts.is_other_target
            )
        if admission.is_stream and head.status == 200:
            return Stream(head, exchange)
        body = await exchange.read_body(MAX_RESPONSE_BYTES)
        if head.status in NOT_RUN_STATUSES:
            # These statuses would guarantee to the caller that nothing ran, which is not known.
            return Unknown(f"status {head.status} without a guarantee that nothing ran")
        return Response(head, body)

    def _record_outcome(
        self,
        target: directories.Target,
        outcome: Outcome,
        sent_at: float,
        *,
        is_resumed: bool,
    ) -> None:
        """Record whether a target failed, rejected the request or succeeded.

        Rejecting a run that is resumed does not count: a target without the run's copy may still
        have room for other requests.
        """
        if not isinstance(outcome, refusals.NotRun):
            self._selector.failures.record_success(target.target_id, self._loop.time(), sent_at)
        elif outcome.is_other_target:
            self._selector.failures.record_failure(target.target_id, self._loop.time())
        elif outcome.sent and not is_resumed:
            self._selector.failures.record_rejection(target.target_id, self._loop.time())

    def build_plan(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        *,
        last_event_id: str = "",
        copy: dialects.MemoryCopy | None = None,
        backup: directories.Target | None = None,
        hold: str = "",
    ) -> dialects.ForwardPlan:
        return dialects.ForwardPlan(
            wait_seconds=max(0.001, admission.deadline - self._loop.time()),
            target_id=target.target_id,
            workspace=admission.workspace.name if admission.workspace is not None else "",
            priority=admission.runner_rank,
            last_event_id=last_event_id,
            copy=copy,
            backup_address=backup.address if backup is not None else "",
            hold=hold,
        )

    def choose_backup(
        self, admission: admissions.Admission, target: directories.Target
    ) -> directories.Target | None:
        """Choose a runner for backup copies of a run; short runs are not worth copying."""
        engine = admission.pool.engine
        if engine is None or not engine.can_back_up or not admission.is_long:
            return None
        if (
            self._selector.estimate_evacuation_seconds(admission.pool, target)
            < MAX_EVACUATION_SECONDS
        ):
            return None
        # Without reservations nothing bounds what copies displace, and copies are made as before.
        if engine.hold_seconds > 0 and not copies.should_back_up(
            *self._selector.compute_pool_load(admission.pool), admission.tokens
        ):
            return None
        backup = self._selector.choose(
            admission.pool, placing.Work(admission.tokens), {target.target_id}, is_sent_now=False
        )
        if backup is None:
            return None
        has_room = self._selector.has_room(
            admission.pool, backup, admission.tokens, BACKUP_MEMORY_SHARE
        )
        return backup if has_room else None

    async def send_with_retries(self, admission: admissions.Admission) -> SendResult:
        """Send a request until it is answered or may not be sent again."""
        excluded: set[str] = set()
        result = SendResult(refusals.NotRun("no target available", sent=False))
        unsent_attempts = 0
        permit_requests = 0
        while unsent_attempts < MAX_UNSENT_ATTEMPTS:
            refusal = self.refuse_quarantined(admission)
            if refusal is not None:
                return result if result.sends else SendResult(refusal)
            can_request_permit = permit_requests < MAX_PERMIT_REQUESTS
            target = self._selector.choose(
                admission.pool,
                admission.work,
                excluded,
                can_request_permit=can_request_permit,
                full_share=min(selection.FULL_MEMORY_SHARE, self._get_memory_share(admission)),
            )
            if target is not None and can_request_permit and self._available.needs_permit(target):
                permit_requests += 1
                if not await self._available.request_permit(target, PERMIT_TIMEOUT_SECONDS):
                    continue
            if target is None and not excluded and self._should_wait_for_targets(admission):
                await asyncio.sleep(MEMORY_CHECK_INTERVAL_SECONDS)
                continue
            if target is None and self._should_wait_for_capacity(admission, excluded):
                await self._available.wait_for_permits(MEMORY_CHECK_INTERVAL_SECONDS)
                continue
            if target is None or self._loop.time() + MIN_SEND_SECONDS > admission.deadline:
                return self._finish(admission, result)
            if not self._has_room(admission, target):
                if self._loop.time() < self._compute_wait_deadline(admission):
                    await asyncio.sleep(MEMORY_CHECK_INTERVAL_SECONDS)
                    continue
                return (
                    result if result.sends else SendResult(self._refusals.build_no_room(admission))
                )
            if not self._can_start(admission, target):
                await asyncio.sleep(MEMORY_CHECK_INTERVAL_SECONDS)
                continue
            reservation = await self._reserve(admission, target)
            if isinstance(reservation, reservations.Full):
                continue
            excluded.add(target.target_id)
            latest = await self._send_attempt(admission, target, result, reservation)
            result = _merge_results(result, latest)
            if isinstance(latest.outcome, refusals.NotRun) and not latest.outcome.sent:
                unsent_attempts += not latest.outcome.is_blocked
            elif not self._can_retry(admission, latest):
                break
        return self._finish(admission, result)

    def _finish(self, admission: admissions.Admission, result: SendResult) -> SendResult:
        """Set a retry time for callers whose request no target accepted."""
        if result.target is None:
            return SendResult(self._refusals.build_no_target(admission))
        if isinstance(result.outcome, refusals.NotRun):
            outcome = self._refusals.adjust_retry_after(admission, result.outcome)
            return dataclasses.replace(result, outcome=outcome)
        return result

    async def _reserve(
        self, admission: admissions.Admission, target: directories.Target
    ) -> reservations.Reservation | None:
        """Reserve memory at a target that is almost full; None if it is not."""
        if not self._reservations.is_needed(admission, target):
            return None
        return await self._reservations.take(admission, target)

    async def _send_attempt(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        former: SendResult,
        reservation: reservations.Reservation | None,
    ) -> SendResult:
        backup = self.choose_backup(admission, target)
        hold = reservation if isinstance(reservation, reservations.Hold) else None
        plan = self.build_plan(
            admission,
            target,
            last_event_id=admission.facts.last_event_id,
            backup=backup,
            hold=hold.id if hold is not None else "",
        )
        until = self._compute_attempt_deadline(admission, former.runs)
        started_at = self._loop.time()
        if admission.workspace is not None and not former.sends:
            waited = started_at - admission.request.arrived
            prompt_tokens = admission.facts.prompt_tokens
            self._shares.record_wait(admission.workspace.name, waited, prompt_tokens)
        outcome: Outcome | None = None
        try:
            if isinstance(reservation, reservations.Unknown) and reservation.is_unreachable:
                self._selector.failures.record_failure(target.target_id, started_at)
                outcome = refusals.NotRun(reservation.reason, sent=False)
            else:
                outcome = await self.send(admission, target, plan, until=until)
        finally:
            # Without an outcome the caller has left, and a run there is aborted.
            if hold is not None and (outcome is None or isinstance(outcome, refusals.NotRun)):
                self._reservations.drop(hold)
        self._record_send(
            admission,
            target,
            outcome,
            former.sends,
            started_at - admission.request.arrived,
            plan.hold,
        )
        may_have_run = not isinstance(outcome, refusals.NotRun)
        was_sent = may_have_run or outcome.sent
        return SendResult(
            outcome, target, backup, former.sends + was_sent, former.runs + may_have_run
        )

    def _compute_attempt_deadline(self, admission: admissions.Admission, runs: int) -> float | None:
        """Time at which to stop waiting for a response if another target can be tried after it."""
        if admission.route.repeat is not routes.RepeatPolicy.FREELY:
            return None
        if runs + 1 >= admission.route.max_attempts:
            return None
        now = self._loop.time()
        return now + (admission.deadline - now) * FIRST_ATTEMPT_SHARE

    def _should_wait_for_targets(self, admission: admissions.Admission) -> bool:
        arrived = admission.request.arrived
        return self._startup.should_wait_for_targets(arrived, admission.deadline - arrived)

    def _should_wait_for_capacity(
        self, admission: admissions.Admission, excluded: set[str]
    ) -> bool:
        """Whether a blocked target may accept the request in time."""
        wait_deadline = self._compute_wait_deadline(admission)
        if self._loop.time() >= wait_deadline:
            return False
        return self._available.find_next_opening(admission.pool, excluded) <= wait_deadline

    def _compute_wait_deadline(self, admission: admissions.Admission) -> float:
        """Time until which a request waits for memory before it is refused."""
        return admission.request.arrived + admission.route.objective_seconds * MEMORY_WAIT_SHARE

    def _can_start(self, admission: admissions.Admission, target: directories.Target) -> bool:
        """Whether a runner can take one more prompt, or the prompt has waited long enough."""
        if admission.pool.engine is None:
            return True
        waited = self._loop.time() - admission.request.arrived
        objective_seconds = admission.route.objective_seconds
        if waited > objective_seconds * PREFILL_WAIT_SHARE:
            return True
        unread = self._usage.get(target.address).unread
        prompt_tokens = admission.facts.prompt_tokens
        return queueing.can_start(
            unread, prompt_tokens, objective_seconds, is_long=admission.is_long
        )

    def _has_room(self, admission: admissions.Admission, target: directories.Target) -> bool:
        """Whether a runner has memory for a request."""
        share = self._get_memory_share(admission)
        if share < RUN_MEMORY_SHARE and self._usage.get(target.address).tokens <= 0:
            share = RUN_MEMORY_SHARE  # a prompt that needs most of a runner gets an idle one
        return self._selector.has_room(admission.pool, target, admission.tokens, share)

    def _get_memory_share(self, admission: admissions.Admission) -> float:
        """Share of a runner's memory for a request; short ones end before memory runs out."""
        is_short = admission.facts.output_tokens < admissions.LONG_RUN_TOKENS
        if is_short or admission.priority == 0:
            return 1.0
        return self._reservations.compute_long_share(admission, RUN_MEMORY_SHARE)

    def _can_retry(self, admission: admissions.Admission, result: SendResult) -> bool:
        outcome = result.outcome
        if result.runs >= admission.route.max_attempts or isinstance(outcome, Stream):
            return False
        if result.sends - result.runs >= MAX_REJECTIONS:
            return False
        if isinstance(outcome, Response) and outcome.head.status < 500:
            return False
        # The target failed or did not answer; another one may succeed.
        if not isinstance(outcome, refusals.NotRun) and not admission.route.is_repeatable:
            return False
        return self._budget.try_acquire(admission.pool.name, self._loop.time())

    def _record_send(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        outcome: Outcome,
        sends: int,
        waited: float,
        hold: str,
    ) -> None:
        kind = _OUTCOME_LABELS[type(outcome)]
        self._metrics.sends.labels(admission.pool.name, kind).inc()
        if isinstance(outcome, Response) and outcome.head.status < 500:
            return
        use = self._usage.get(target.address)
        reason = getattr(outcome, "reason", "")
        status = outcome.head.status if isinstance(outcome, Response | Stream) else 0
        limit = self._available.find_limit(target)
        self._timeline.record(
            "request.send",
            request_id=admission.facts.request_id,
            fingerprint=admission.fingerprint,
            target=target.target_id,
            address=target.address,
            phase=target.phase.value,
            heard_ms=int((self._loop.time() - target.heard_at) * 1000),
            version=admission.version,
            send=sends + 1,
            waited_ms=int(waited * 1000),
            outcome=kind,
            status=status,
            requests_there=use.requests,
            tokens_there=use.tokens,
            tokens=admission.tokens,
            hold=hold,
            limit=limit,
            reason=reason,
        )


def _merge_results(former: SendResult, latest: SendResult) -> SendResult:
    """Combine the result of the latest attempt with that of the former ones.

    A target that did not run the request proves nothing about a former target that may have run it:
    the caller is told that the request did not run only if this holds for all targets.
    """
    if isinstance(latest.outcome, refusals.NotRun) and not isinstance(
        former.outcome, refusals.NotRun
    ):
        return dataclasses.replace(former, sends=latest.sends, runs=latest.runs)
    return latest
