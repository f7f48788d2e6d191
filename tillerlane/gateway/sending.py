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
    advice,
    availability,
    exchanges,
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
from tillerlane.gateway import endings as ends
from tillerlane.gateway import meters as entry_meters
from tillerlane.gateway import startup as startups
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Outcome", "Sender", "Stream", "Tried", "Unknown", "Whole"]

CONNECT_SECONDS = 0.3
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
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request did not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """A target's whole answer."""

    head: http_head.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The target may have run the request, and there is no answer of it."""

    reason: str
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A target has begun a stream."""

    head: http_head.AnswerHead
    exchange: http_client.Exchange


Outcome = Whole | refusals.NotRun | Unknown | Stream


@dataclasses.dataclass(frozen=True, slots=True)
class Tried:
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
    taken : advice.Advice
        Takes what answers say of their targets.
    usage : usages.Usage
        Counts what is under way.
    budget : budgets.RetryBudget
        Bounds retries.
    timeline : timelines.Timeline
        Takes the decisions.
    meters : entry_meters.EntryMeters
        Counts outcomes.
    startup : startups.Startup
        Tells whether targets may still be unheard of.
    directory : directories.Directory
        Tells of targets that have started again.
    endings : ends.Endings
        Asks after targets that broke off.
    quarantined : quarantine.Quarantine
        Tells which requests go to no target.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        selector: selection.Selector,
        available: availability.Availability,
        taken: advice.Advice,
        usage: usages.Usage,
        budget: budgets.RetryBudget,
        timeline: timelines.Timeline,
        meters: entry_meters.EntryMeters,
        startup: startups.Startup,
        directory: directories.Directory,
        endings: ends.Endings,
        quarantined: quarantine.Quarantine,
    ) -> None:
        self._quarantine = quarantined
        self._endings = endings
        self._startup = startup
        self._dialect = dialect
        self._selector = selector
        self._available = available
        self._advice = taken
        self._usage = usage
        self._refusals = refusals.Refusals(available, usage)
        self._budget = budget
        self._timeline = timeline
        self._meters = meters
        self._exchanges = exchanges.Exchanges(directory)
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        asked: admissions.Admission,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        tokens: int | None = None,
        until: float | None = None,
    ) -> Outcome:
        """Send a request to a target and take its answer: a stream's head, or all of it.

        `tokens` is the memory that a run which goes on is counted with, `until` the loop's time
        at which the answer is no longer waited for.
        """
        held_back = self.refuse_held(asked)
        if held_back is not None:
            return held_back
        began = self._loop.time()
        until = asked.ends_at - MARGIN_SECONDS if until is None else until
        address = target.address
        unread = asked.facts.prompt_tokens if tokens is None else 0
        tokens = asked.tokens if tokens is None else tokens
        unsaved = tokens if asked.is_long and not plan.backup_address else 0
        self._usage.add(address, requests=1, tokens=tokens, unread=unread, unsaved=unsaved)
        self._usage.note_request(asked.pool.name, began)
        exchange: http_client.Exchange | None = None
        keep = False
        try:
            async with asyncio.timeout_at(until):
                exchange = await http_client.connect(address, CONNECT_SECONDS)
                self._exchanges.add(target, exchange)
                held_back = self.refuse_held(asked)
                if held_back is not None:
                    return held_back
                obstacle = self._available.take(asked.pool, target, goes_on=plan.copy is not None)
                if obstacle is not None:
                    reason = f"{address} gets nothing of this entry now: {obstacle.cause.value}"
                    return refusals.NotRun(reason, sent=False, is_held_up=True)
                head = self._dialect.write_forward(asked.request.head, plan)
                exchange.send(head, asked.request.body)
                outcome = await self._read_answer(asked, target, exchange)
            keep = isinstance(outcome, Stream)
            self._judge(target, outcome, goes_on=plan.copy is not None)
            return outcome
        except TimeoutError:
            sent = exchange is not None and exchange.sent
            if not sent:
                return refusals.NotRun(f"{address}: out of time before it was sent", sent=False)
            if self._loop.time() - began > SILENT_SECONDS:
                self._selector.caution.note_failure(target.target_id, self._loop.time())
            return Unknown(f"{address}: no answer in time", is_late=True)
        except http_client.AnswerBroken as error:
            self._selector.caution.note_failure(target.target_id, self._loop.time())
            if not error.sent:
                return refusals.NotRun(str(error), sent=False)
            assert exchange is not None
            await self._endings.learn(asked, target, exchange.sent_at, 0)
            return Unknown(f"{address}: {error}")
        finally:
            self._usage.add(address, unread=-unread)
            if not keep:
                self._usage.add(address, requests=-1, tokens=-tokens, unsaved=-unsaved)
                if exchange is not None:
                    exchange.abort()

    def refuse_held(self, asked: admissions.Admission) -> refusals.NotRun | None:
        """Refuse a request under which targets ended; None if it may go to one.

        Every way to a target asks this, and last when a connection to one is there: while that came
        up, the third target may have ended elsewhere.
        """
        reason = self._quarantine.find_reason(asked.fingerprint)
        return (
            refusals.NotRun(reason, sent=False, retry_after=HELD_RETRY_SECONDS) if reason else None
        )

    async def _read_answer(
        self,
        asked: admissions.Admission,
        target: directories.Target,
        exchange: http_client.Exchange,
    ) -> Outcome:
        head = await exchange.read_head()
        facts = self._dialect.read_answer(head)
        is_of_request = facts.request_id == asked.facts.request_id
        if is_of_request and not facts.is_other_target:
            self._advice.take(asked.facts.request_id, target, facts, exchange.sent_at)
        if not is_of_request:
            # Each answer of a target names its request; what does not is nobody's word on this one.
            named = facts.request_id or "none"
            raise http_client.AnswerBroken(f"answer to another request: {named}", sent=True)
        if not facts.did_run:
            return refusals.NotRun(
                f"turned away, status {head.status}", True, facts.is_other_target
            )
        if asked.is_stream and head.status == 200:
            return Stream(head, exchange)
        body = await exchange.read_body(MAX_ANSWER_BYTES)
        if head.status in PROMISES:
            # To the caller these would promise that nothing ran; this target promised nothing.
            return Unknown(f"status {head.status} without a promise")
        return Whole(head, body)

    def _judge(self, target: directories.Target, outcome: Outcome, *, goes_on: bool) -> None:
        """Keep whether a target is worth another request.

        One that has no copy of a run that `goes_on` may have room for others.
        """
        if not isinstance(outcome, refusals.NotRun):
            self._selector.caution.note_success(target.target_id)
        elif outcome.is_other_target:
            self._selector.caution.note_failure(target.target_id, self._loop.time())
        elif outcome.sent and not goes_on:
            self._selector.caution.note_turned_away(target.target_id, self._loop.time())

    def plan(
        self,
        asked: admissions.Admission,
        target: directories.Target,
        *,
        last_event_id: str = "",
        copy: dialects.MemoryCopy | None = None,
        backup: directories.Target | None = None,
    ) -> dialects.ForwardPlan:
        return dialects.ForwardPlan(
            wait_seconds=max(0.001, asked.ends_at - self._loop.time()),
            target_id=target.target_id,
            workspace=asked.workspace.name if asked.workspace is not None else "",
            priority=asked.runner_rank,
            last_event_id=last_event_id,
            copy=copy,
            backup_address=backup.address if backup is not None else "",
        )

    def choose_backup(
        self, asked: admissions.Admission, target: directories.Target
    ) -> directories.Target | None:
        """A runner to copy a run's memory to while it grows; short runs are not worth it."""
        engine = asked.pool.engine
        if engine is None or not engine.can_back_up or not asked.is_long:
            return None
        if self._selector.read_evacuation(asked.pool, target) < EVACUATION_SECONDS:
            return None
        backup = self._selector.choose(
            asked.pool, placing.Work(asked.tokens), {target.target_id}, is_sent_now=False
        )
        if backup is None:
            return None
        has_room = self._selector.has_room(asked.pool, backup, asked.tokens, BACKUP_MEMORY_SHARE)
        return backup if has_room else None

    async def try_targets(self, asked: admissions.Admission) -> Tried:
        """Send a request until it is answered or may not be sent again."""
        excluded: set[str] = set()
        tried = Tried(refusals.NotRun("no target", sent=False))
        unsent = 0
        asks = 0
        while unsent < UNSENT_TRIES:
            held_back = self.refuse_held(asked)
            if held_back is not None:
                return tried if tried.sends else Tried(held_back)
            may_ask = asks < MOST_ASKS
            target = self._selector.choose(asked.pool, asked.work, excluded, may_ask=may_ask)
            if target is not None and may_ask and self._available.needs_permit(target):
                asks += 1
                if not await self._available.ask_permit(target, PERMIT_WAIT_SECONDS):
                    continue
            if target is None and not excluded and self._may_wait_for_targets(asked):
                await asyncio.sleep(ROOM_CHECK_SECONDS)
                continue
            if target is None and self._may_wait_for_bearing(asked, excluded):
                await self._available.wait_for_permits(ROOM_CHECK_SECONDS)
                continue
            if target is None or self._loop.time() + LEAST_SEND_SECONDS > asked.ends_at:
                return self._finish(asked, tried)
            if not self._has_room(asked, target):
                if self._loop.time() < self._read_patience(asked):
                    await asyncio.sleep(ROOM_CHECK_SECONDS)
                    continue
                return tried if tried.sends else Tried(self._refusals.build_no_room(asked))
            if not self._may_begin(asked, target):
                await asyncio.sleep(ROOM_CHECK_SECONDS)
                continue
            excluded.add(target.target_id)
            latest = await self._try_target(asked, target, tried)
            tried = _keep_true(tried, latest)
            if isinstance(latest.outcome, refusals.NotRun) and not latest.outcome.sent:
                unsent += not latest.outcome.is_held_up
            elif not self._may_send_again(asked, latest):
                break
        return self._finish(asked, tried)

    def _finish(self, asked: admissions.Admission, tried: Tried) -> Tried:
        """Have callers of requests that no target takes come back when one may."""
        if tried.target is None:
            return Tried(self._refusals.build_no_target(asked))
        if isinstance(tried.outcome, refusals.NotRun):
            outcome = self._refusals.set_return(asked, tried.outcome)
            return dataclasses.replace(tried, outcome=outcome)
        return tried

    async def _try_target(
        self, asked: admissions.Admission, target: directories.Target, former: Tried
    ) -> Tried:
        backup = self.choose_backup(asked, target)
        plan = self.plan(asked, target, last_event_id=asked.facts.last_event_id, backup=backup)
        until = self._read_limit(asked, former.runs)
        began = self._loop.time()
        outcome = await self.send(asked, target, plan, until=until)
        self._note_send(asked, target, outcome, former.sends, began - asked.request.arrived)
        may_have_run = not isinstance(outcome, refusals.NotRun)
        was_sent = may_have_run or outcome.sent
        return Tried(outcome, target, backup, former.sends + was_sent, former.runs + may_have_run)

    def _read_limit(self, asked: admissions.Admission, runs: int) -> float | None:
        """Until when an answer is waited for, where another target may be asked after it."""
        if asked.route.repeat is not routes.Repeat.FREELY:
            return None
        if runs + 1 >= asked.route.max_attempts:
            return None
        now = self._loop.time()
        return now + (asked.ends_at - now) * FIRST_SEND_SHARE

    def _may_wait_for_targets(self, asked: admissions.Admission) -> bool:
        arrived = asked.request.arrived
        return self._startup.may_wait_for_targets(arrived, asked.ends_at - arrived)

    def _may_wait_for_bearing(self, asked: admissions.Admission, excluded: set[str]) -> bool:
        """Whether a target that gets nothing now may take a request in time."""
        patience = self._read_patience(asked)
        if self._loop.time() >= patience:
            return False
        return self._available.read_opening(asked.pool, excluded) <= patience

    def _read_patience(self, asked: admissions.Admission) -> float:
        """Until when a request waits for memory; then the caller is told when to come back."""
        return asked.request.arrived + asked.route.aim_seconds * ROOM_WAIT_SHARE

    def _may_begin(self, asked: admissions.Admission, target: directories.Target) -> bool:
        """Whether a runner may get a prompt now, or the prompt has waited for long enough here."""
        if asked.pool.engine is None:
            return True
        waited = self._loop.time() - asked.request.arrived
        aim_seconds = asked.route.aim_seconds
        if waited > aim_seconds * READING_WAIT_SHARE:
            return True
        unread = self._usage.read(target.address).unread
        prompt_tokens = asked.facts.prompt_tokens
        return queueing.can_start(unread, prompt_tokens, aim_seconds, is_long=asked.is_long)

    def _has_room(self, asked: admissions.Admission, target: directories.Target) -> bool:
        """Whether a runner has memory for a request; short ones are gone before it runs out."""
        is_short = asked.facts.output_tokens < admissions.LONG_TOKENS
        share = 1.0 if is_short or asked.priority == 0 else RUN_MEMORY_SHARE
        return self._selector.has_room(asked.pool, target, asked.tokens, share)

    def _may_send_again(self, asked: admissions.Admission, tried: Tried) -> bool:
        outcome = tried.outcome
        if tried.runs >= asked.route.max_attempts or isinstance(outcome, Stream):
            return False
        if tried.sends - tried.runs >= MOST_TURNED_AWAY:
            return False
        if isinstance(outcome, Whole) and outcome.head.status < 500:
            return False
        # A failure of the target's own, or none of its word: another one may do better.
        if not isinstance(outcome, refusals.NotRun) and not asked.route.is_repeatable:
            return False
        return self._budget.take(asked.pool.name, self._loop.time())

    def _note_send(
        self,
        asked: admissions.Admission,
        target: directories.Target,
        outcome: Outcome,
        sends: int,
        waited: float,
    ) -> None:
        kind = type(outcome).__name__.strip("_").lower()
        self._meters.sends.labels(asked.pool.name, kind).inc()
        if isinstance(outcome, Whole) and outcome.head.status < 500:
            return
        use = self._usage.read(target.address)
        reason = getattr(outcome, "reason", "")
        status = outcome.head.status if isinstance(outcome, Whole | Stream) else 0
        limit = self._available.read_limit(target)
        self._timeline.record(
            "request.send",
            request_id=asked.facts.request_id,
            fingerprint=asked.fingerprint,
            target=target.target_id,
            address=target.address,
            phase=target.phase.value,
            heard_ms=int((self._loop.time() - target.heard_at) * 1000),
            version=asked.version,
            send=sends + 1,
            waited_ms=int(waited * 1000),
            outcome=kind,
            status=status,
            requests_there=use.requests,
            tokens_there=use.tokens,
            tokens=asked.tokens,
            limit=limit,
            reason=reason,
        )


def _keep_true(former: Tried, latest: Tried) -> Tried:
    """What holds of a request after one more try.

    That one target did not run it says nothing of a former one that may have, so a caller is told
    that it has not run only if that holds of all of them.
    """
    if isinstance(latest.outcome, refusals.NotRun) and not isinstance(
        former.outcome, refusals.NotRun
    ):
        return dataclasses.replace(former, sends=latest.sends, runs=latest.runs)
    return latest
