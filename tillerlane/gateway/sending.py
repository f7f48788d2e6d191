"""Sending a request to targets, and what is known of it afterwards.

Here it is decided whether a request may be sent again: one that may run once only while every
target that got it vouches that it did not run, any other within its route's attempts and the
fleet's budget of retries.
"""

import asyncio
import dataclasses

from tillerlane.decisions import placing, queueing
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import (
    availability,
    exchanges,
    exit_detection,
    http_client,
    http_head,
    quarantine,
    refusals,
    routes,
    selection,
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
"""A connection within a region takes milliseconds; a target that is dark never answers."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
ROOM_WAIT_SHARE = 0.2
"""Share of the time within which an answer is in time that a request waits for memory, and is then
told when to come back.  Where memory is short, those who wait for longer take what later requests
would get in time: with 0.7, on two plays of a day with load, 0.52 and 0.57 of the long runs' credit
in place of 0.61 and 0.66."""
READING_WAIT_SHARE = 0.7
"""Share of that time that a request waits for a runner that has read enough; then it is sent to the
one that seems best, late rather than not at all.  Refusing it then, or after 0.2, made no
difference to the others (means of four plays of days with load: 0.70 and 0.71 of the long runs'
credit against 0.69, 0.79 and 0.78 of the short ones' against 0.78)."""
ROOM_CHECK_SECONDS = 0.03
HELD_RETRY_SECONDS = 60.0
"""When a caller may come back whose request is held back: longer than any waits (39 s), since
coming back within its time is in vain.  It is told 503 and not 4xx, since the verdict is drawn from
what happened to targets and not from the request, and is taken back if a run of it ends well."""
FIRST_SEND_SHARE = 0.5
"""Share of a request's time after which another target is asked, if it may run again."""
SILENT_SECONDS = 0.25
"""A target that is silent for longer is avoided; shorter waits end by callers' short deadlines."""
LEAST_SEND_SECONDS = 0.02
"""With less than this left a target could not answer."""
UNSENT_TRIES = 3
"""Targets that may turn out unreachable before a request is refused."""
PERMIT_WAIT_SECONDS = 0.05
"""Longest wait for a permit while other targets have room; an exchange takes milliseconds."""
MOST_ASKS = 2
"""How often a request waits so: the first answer may be to what was asked before it came."""
MOST_TURNED_AWAY = 3
"""Targets that may turn a request away before it is refused."""
EVACUATION_SECONDS = 0.45
"""A runner whose runs can all be copied in this time needs no copies beforehand.  One more run
(0.4 s) and what all write meanwhile come on top; together they must stay below the shortest notice
met (1.5 s).  Of 0.45 and 0.7, the former served quiet days better (docs/MEASUREMENTS.md)."""
BACKUP_MEMORY_SHARE = 0.6
"""Share of a runner's memory up to which it gets copies of others' runs: the rest is for runs,
which are pushed aside when memory runs out."""
RUN_MEMORY_SHARE = 0.95
"""Share up to which a runner gets runs that are not the most urgent: those under way still grow,
and other entries' sends are heard of late."""
MARGIN_SECONDS = 0.03
"""How long before the end of a request's time its last answer is written."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A target's whole answer."""

    head: http_head.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request, and there is no answer of it."""

    reason: str
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A target has begun a stream."""

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
    """How far a request got.

    Attributes
    ----------
    target, backup : directories.Target or None
        Where it was sent last, and the runner that gets its run's memory.
    sends, runs : int
        Targets that it reached, and those among them that may have run it.
    """

    outcome: Outcome
    target: directories.Target | None = None
    backup: directories.Target | None = None
    sends: int = 0
    runs: int = 0


class Sender:
    """Sends requests.

    Parameters
    ----------
    dialect : dialects.Dialect
        How targets speak.
    selector : selection.Selector
        Chooses targets.
    available : availability.Availability
        Tells what keeps requests from a target.
    feedback : feedbacks.TargetFeedback
        Takes what answers say of their targets.
    usage : usages.Usage
        Counts what is under way.
    budget : budgets.RetryBudget
        Bounds retries.
    timeline : timelines.Timeline
        Takes the decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    startup : startups.Startup
        Tells whether targets may still be unheard of.
    directory : directories.Directory
        Tells of targets that have started again.
    exit_detector : exit_detection.ExitDetector
        Asks after targets that broke off.
    quarantined : quarantine.Quarantine
        Tells which requests go to no target.
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
    ) -> None:
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
        """Send a request to a target and take its answer: a stream's head, or all of it.

        `tokens` is the memory that a run which goes on is counted with, `until` the loop's time
        at which the answer is no longer waited for.
        """
        held_back = self.refuse_quarantined(admission)
        if held_back is not None:
            return held_back
        began = self._loop.time()
        until = admission.deadline - MARGIN_SECONDS if until is None else until
        address = target.address
        unread = admission.facts.prompt_tokens if tokens is None else 0
        tokens = admission.tokens if tokens is None else tokens
        unsaved = tokens if admission.is_long and not plan.backup_address else 0
        self._usage.add(address, requests=1, tokens=tokens, unread=unread, unsaved=unsaved)
        self._usage.record_request(admission.pool.name, began)
        exchange: http_client.Exchange | None = None
        keep = False
        try:
            async with asyncio.timeout_at(until):
                exchange = await http_client.connect(address, CONNECT_TIMEOUT_SECONDS)
                self._exchanges.add(target, exchange)
                held_back = self.refuse_quarantined(admission)
                if held_back is not None:
                    return held_back
                obstacle = self._available.acquire(
                    admission.pool, target, is_resumed=plan.copy is not None
                )
                if obstacle is not None:
                    reason = f"{address} gets nothing of this entry now: {obstacle.cause.value}"
                    return refusals.NotRun(reason, sent=False, is_blocked=True)
                head = self._dialect.build_forward(admission.request.head, plan)
                exchange.send(head, admission.request.body)
                outcome = await self._read_answer(admission, target, exchange)
            keep = isinstance(outcome, Stream)
            self._judge(target, outcome, is_resumed=plan.copy is not None)
            return outcome
        except TimeoutError:
            sent = exchange is not None and exchange.sent
            if not sent:
                return refusals.NotRun(f"{address}: out of time before it was sent", sent=False)
            if self._loop.time() - began > SILENT_SECONDS:
                self._selector.failures.record_failure(target.target_id, self._loop.time())
            return Unknown(f"{address}: no answer in time", is_late=True)
        except http_client.ExchangeError as error:
            self._selector.failures.record_failure(target.target_id, self._loop.time())
            if not error.sent:
                return refusals.NotRun(str(error), sent=False)
            assert exchange is not None
            await self._exit_detector.check_target(admission, target, exchange.sent_at, 0)
            return Unknown(f"{address}: {error}")
        finally:
            self._usage.add(address, unread=-unread)
            if not keep:
                self._usage.add(address, requests=-1, tokens=-tokens, unsaved=-unsaved)
                if exchange is not None:
                    exchange.abort()

    def refuse_quarantined(self, admission: admissions.Admission) -> refusals.NotRun | None:
        """Refuse a request under which targets ended; None if it may go to one.

        Every way to a target asks this, and last when a connection to one is there: while that came
        up, the third target may have ended elsewhere.
        """
        reason = self._quarantine.find_reason(admission.fingerprint)
        return (
            refusals.NotRun(reason, sent=False, retry_after=HELD_RETRY_SECONDS) if reason else None
        )

    async def _read_answer(
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
            # Each answer of a target names its request; what does not is nobody's word on this one.
            named = facts.request_id or "none"
            raise http_client.ExchangeError(f"answer to another request: {named}", sent=True)
        if not facts.did_run:
            return refusals.NotRun(
                f"turned away, status {head.status}", True, facts.is_other_target
            )
        if admission.is_stream and head.status == 200:
            return Stream(head, exchange)
        body = await exchange.read_body(MAX_ANSWER_BYTES)
        if head.status in NOT_RUN_STATUSES:
            # To the caller these would promise that nothing ran; this target promised nothing.
            return Unknown(f"status {head.status} without a promise")
        return Response(head, body)

    def _judge(self, target: directories.Target, outcome: Outcome, *, is_resumed: bool) -> None:
        """Keep whether a target is worth another request.

        One that has no copy of a run that `is_resumed` may have room for others.
        """
        if not isinstance(outcome, refusals.NotRun):
            self._selector.failures.record_success(target.target_id)
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
    ) -> dialects.ForwardPlan:
        return dialects.ForwardPlan(
            wait_seconds=max(0.001, admission.deadline - self._loop.time()),
            target_id=target.target_id,
            workspace=admission.workspace.name if admission.workspace is not None else "",
            priority=admission.runner_rank,
            last_event_id=last_event_id,
            copy=copy,
            backup_address=backup.address if backup is not None else "",
        )

    def choose_backup(
        self, admission: admissions.Admission, target: directories.Target
    ) -> directories.Target | None:
        """A runner to copy a run's memory to while it grows; short runs are not worth it."""
        engine = admission.pool.engine
        if engine is None or not engine.can_back_up or not admission.is_long:
            return None
        if self._selector.estimate_evacuation_seconds(admission.pool, target) < EVACUATION_SECONDS:
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
        tried = SendResult(refusals.NotRun("no target", sent=False))
        unsent = 0
        asks = 0
        while unsent < UNSENT_TRIES:
            held_back = self.refuse_quarantined(admission)
            if held_back is not None:
                return tried if tried.sends else SendResult(held_back)
            can_request_permit = asks < MOST_ASKS
            target = self._selector.choose(
                admission.pool, admission.work, excluded, can_request_permit=can_request_permit
            )
            if target is not None and can_request_permit and self._available.needs_permit(target):
                asks += 1
                if not await self._available.request_permit(target, PERMIT_WAIT_SECONDS):
                    continue
            if target is None and not excluded and self._may_wait_for_targets(admission):
                await asyncio.sleep(ROOM_CHECK_SECONDS)
                continue
            if target is None and self._may_wait_for_bearing(admission, excluded):
                await self._available.wait_for_permits(ROOM_CHECK_SECONDS)
                continue
            if target is None or self._loop.time() + LEAST_SEND_SECONDS > admission.deadline:
                return self._finish(admission, tried)
            if not self._has_room(admission, target):
                if self._loop.time() < self._read_patience(admission):
                    await asyncio.sleep(ROOM_CHECK_SECONDS)
                    continue
                return tried if tried.sends else SendResult(self._refusals.build_no_room(admission))
            if not self._may_begin(admission, target):
                await asyncio.sleep(ROOM_CHECK_SECONDS)
                continue
            excluded.add(target.target_id)
            latest = await self._try_target(admission, target, tried)
            tried = _keep_true(tried, latest)
            if isinstance(latest.outcome, refusals.NotRun) and not latest.outcome.sent:
                unsent += not latest.outcome.is_blocked
            elif not self._may_send_again(admission, latest):
                break
        return self._finish(admission, tried)

    def _finish(self, admission: admissions.Admission, tried: SendResult) -> SendResult:
        """Have callers of requests that no target takes come back when one may."""
        if tried.target is None:
            return SendResult(self._refusals.build_no_target(admission))
        if isinstance(tried.outcome, refusals.NotRun):
            outcome = self._refusals.adjust_retry_after(admission, tried.outcome)
            return dataclasses.replace(tried, outcome=outcome)
        return tried

    async def _try_target(
        self, admission: admissions.Admission, target: directories.Target, former: SendResult
    ) -> SendResult:
        backup = self.choose_backup(admission, target)
        plan = self.build_plan(
            admission, target, last_event_id=admission.facts.last_event_id, backup=backup
        )
        until = self._read_limit(admission, former.runs)
        began = self._loop.time()
        outcome = await self.send(admission, target, plan, until=until)
        self._note_send(admission, target, outcome, former.sends, began - admission.request.arrived)
        may_have_run = not isinstance(outcome, refusals.NotRun)
        was_sent = may_have_run or outcome.sent
        return SendResult(
            outcome, target, backup, former.sends + was_sent, former.runs + may_have_run
        )

    def _read_limit(self, admission: admissions.Admission, runs: int) -> float | None:
        """Until when an answer is waited for, where another target may be asked after it."""
        if admission.route.repeat is not routes.RepeatPolicy.FREELY:
            return None
        if runs + 1 >= admission.route.max_attempts:
            return None
        now = self._loop.time()
        return now + (admission.deadline - now) * FIRST_SEND_SHARE

    def _may_wait_for_targets(self, admission: admissions.Admission) -> bool:
        arrived = admission.request.arrived
        return self._startup.should_wait_for_targets(arrived, admission.deadline - arrived)

    def _may_wait_for_bearing(self, admission: admissions.Admission, excluded: set[str]) -> bool:
        """Whether a target that gets nothing now may take a request in time."""
        patience = self._read_patience(admission)
        if self._loop.time() >= patience:
            return False
        return self._available.find_next_opening(admission.pool, excluded) <= patience

    def _read_patience(self, admission: admissions.Admission) -> float:
        """Until when a request waits for memory; then the caller is told when to come back."""
        return admission.request.arrived + admission.route.objective_seconds * ROOM_WAIT_SHARE

    def _may_begin(self, admission: admissions.Admission, target: directories.Target) -> bool:
        """Whether a runner may get a prompt now, or the prompt has waited for long enough here."""
        if admission.pool.engine is None:
            return True
        waited = self._loop.time() - admission.request.arrived
        objective_seconds = admission.route.objective_seconds
        if waited > objective_seconds * READING_WAIT_SHARE:
            return True
        unread = self._usage.get(target.address).unread
        prompt_tokens = admission.facts.prompt_tokens
        return queueing.can_start(
            unread, prompt_tokens, objective_seconds, is_long=admission.is_long
        )

    def _has_room(self, admission: admissions.Admission, target: directories.Target) -> bool:
        """Whether a runner has memory for a request; short ones are gone before it runs out."""
        is_short = admission.facts.output_tokens < admissions.LONG_RUN_TOKENS
        share = 1.0 if is_short or admission.priority == 0 else RUN_MEMORY_SHARE
        return self._selector.has_room(admission.pool, target, admission.tokens, share)

    def _may_send_again(self, admission: admissions.Admission, tried: SendResult) -> bool:
        outcome = tried.outcome
        if tried.runs >= admission.route.max_attempts or isinstance(outcome, Stream):
            return False
        if tried.sends - tried.runs >= MOST_TURNED_AWAY:
            return False
        if isinstance(outcome, Response) and outcome.head.status < 500:
            return False
        # A failure of the target's own, or none of its word: another one may do better.
        if not isinstance(outcome, refusals.NotRun) and not admission.route.is_repeatable:
            return False
        return self._budget.try_acquire(admission.pool.name, self._loop.time())

    def _note_send(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        outcome: Outcome,
        sends: int,
        waited: float,
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
            limit=limit,
            reason=reason,
        )


def _keep_true(former: SendResult, latest: SendResult) -> SendResult:
    """What holds of a request after one more try.

    That one target did not run it says nothing of a former one that may have, so a caller is told
    that it has not run only if that holds of all of them.
    """
    if isinstance(latest.outcome, refusals.NotRun) and not isinstance(
        former.outcome, refusals.NotRun
    ):
        return dataclasses.replace(former, sends=latest.sends, runs=latest.runs)
    return latest
