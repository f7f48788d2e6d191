"""One request's way through an entry: admitted, sent, answered.

What keeps the promises, in one place:

- a refusal (503) is said only while no target can have begun: nothing was sent, or each target
  that got it vouches that it did not run;
- a request that may run once is sent at most once, unless that was so refused;
- a stream's events go out whole, in the order of their ids, from one run; if that run is lost and
  its memory is nowhere, the caller's connection ends and does not look whole.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import events, http_client, http_head, http_server, routes, runs, selection
from tillerlane.gateway import meters as entry_meters
from tillerlane.gateway import usage as usages
from tillerlane.timeline import core as timelines

__all__ = ["Admission", "Refusal", "Relay"]

CONNECT_SECONDS = 0.3
"""A connection within a region takes milliseconds; a target that is dark never answers."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
RETRY_SECONDS = 0.25
"""When a refused caller may come back: most refusals end with the next word of a target."""
NO_ROOM_RETRY_SECONDS = 0.6
"""When a caller may come back that found no memory: runs end about every second on a full pool."""
ROOM_WAIT_SHARE = 0.2
"""Share of the time within which an answer is in time that a request waits for memory: a refusal
that comes within a quarter of it leaves the caller time to be served elsewhere."""
ROOM_CHECK_SECONDS = 0.03
DEFAULT_WAIT_SECONDS = 60.0
"""Time of a request that names none, on a route that names none."""
LEAST_SEND_SECONDS = 0.02
"""With less than this left a target could not answer."""
UNSENT_TRIES = 3
"""Targets that may turn out unreachable before a request is refused."""
HANDOVER_SECONDS = 5.0
CONTINUE_TRIES = 3
LEAST_BACKUP_TOKENS = 40
"""Answers expected to be shorter end before their memory would be of use elsewhere: a run writes
some 130 tokens a second, and a runner leaves with 1.5 s of notice or more."""
EVACUATION_SECONDS = 0.7
"""A runner whose runs can all be copied in this time needs no copies beforehand: half of the
shortest notice met (1.5 s), since more runs come and copies queue."""
BACKUP_MEMORY_SHARE = 0.6
"""Share of a runner's memory up to which it gets copies of others' runs: the rest is for runs,
which are pushed aside when memory runs out."""
RUN_MEMORY_SHARE = 0.95
"""Share up to which a runner gets runs that are not the most urgent: those under way still grow,
and other entries' sends are heard of late."""
GROWTH_TOKENS = 300
"""Most tokens of a run's future growth that are counted as used: what a run writes in two
seconds, by which time others have ended."""
MARGIN_SECONDS = 0.03
"""How long before the end of a request's time its last answer is written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of our own: status, reason for the log, and when to come back."""

    status: int
    reason: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request that may run, and what it was judged by.

    Attributes
    ----------
    ends_at : float
        Time of the event loop by which it must be answered.
    """

    request: http_server.Request
    facts: dialects.RequestFacts
    route: routes.Route
    pool: routes.Pool
    workspace: routes.Workspace | None
    version: int
    ends_at: float

    @property
    def tokens(self) -> int:
        """Memory that the request is counted with at a runner when it begins."""
        return self.facts.prompt_tokens + self.count_growth(0)

    def count_growth(self, written: int) -> int:
        """Tokens that are set aside for what a run is yet to write."""
        return min(GROWTH_TOKENS, max(0, self.facts.output_tokens - written) // 2)

    @property
    def priority(self) -> int:
        """Its rank; the workspace's own goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True)
class _Whole:
    """A target's whole answer."""

    head: http_head.AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _NotRun:
    """The target vouches that it did not run the request, or it was never sent."""

    reason: str
    sent: bool
    retry_after: float = RETRY_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class _Unknown:
    """The target may have run the request, and there is no answer of it."""

    reason: str
    is_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Stream:
    """A target has begun a stream."""

    head: http_head.AnswerHead
    exchange: http_client.Exchange


_Outcome = _Whole | _NotRun | _Unknown | _Stream


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    dialect : dialects.Dialect
        How callers and targets speak.
    selector : selection.Selector
        Chooses targets.
    usage : usages.Usage
        Counts what is under way.
    budget : budgets.RetryBudget
        Bounds retries.
    mover : runs.Mover
        Moves streams off runners that leave.
    timeline : timelines.Timeline
        Takes the decisions.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        selector: selection.Selector,
        usage: usages.Usage,
        budget: budgets.RetryBudget,
        mover: runs.Mover,
        timeline: timelines.Timeline,
        meters: entry_meters.EntryMeters,
    ) -> None:
        self.table: routes.RoutingTable | None = None
        self.is_fresh: Callable[[], bool] = lambda: True
        """Whether keys may be trusted: the table is known to be the newest, or was lately."""
        self._dialect = dialect
        self._selector = selector
        self._usage = usage
        self._budget = budget
        self._mover = mover
        self._timeline = timeline
        self._meters = meters
        self._loop = asyncio.get_running_loop()

    # Admission

    async def serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        """Serve one request of a caller."""
        admitted = self._admit(request)
        if isinstance(admitted, Refusal):
            facts = self._dialect.read_request(request.head)
            await self._refuse(facts.request_id, "", responder, admitted)
            return
        self._budget.note_request(admitted.pool.name, self._loop.time())
        if admitted.route.repeat is routes.Repeat.STREAM:
            await self._serve_stream(admitted, responder)
        else:
            await self._serve_whole(admitted, responder)

    def _admit(self, request: http_server.Request) -> Admission | Refusal:
        table = self.table
        if table is None:
            return Refusal(503, "no configuration yet", RETRY_SECONDS)
        host = http_head.get_header(request.head.headers, b"host") or b""
        path = request.head.path.decode("latin-1")
        route = table.find_route(host.decode("latin-1").lower(), path)
        if route is None:
            return Refusal(404, f"no route in version {table.version}")
        facts = self._dialect.read_request(request.head)
        workspace = None
        if table.workspaces and not route.is_public:
            if not self.is_fresh():
                return Refusal(503, "configuration may be old, keys are not trusted", 1.0)
            workspace = table.find_workspace(facts.key)
            if workspace is None:
                return Refusal(401, f"unknown key in version {table.version}")
        waits = [facts.wait_seconds, route.timeout_seconds]
        wait = min([item for item in waits if item is not None], default=DEFAULT_WAIT_SECONDS)
        pool = table.pools[self._selector.draw_pool(route)]
        ends_at = request.arrived + wait
        return Admission(request, facts, route, pool, workspace, table.version, ends_at)

    async def _refuse(
        self, request_id: str, route: str, responder: http_server.Responder, refusal: Refusal
    ) -> None:
        self._meters.requests.labels(route, str(refusal.status)).inc()
        self._timeline.record(
            "request.refuse",
            request_id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
        )
        head = self._dialect.write_refusal(refusal.status, refusal.retry_after)
        await responder.send_whole(head, b"")

    # Sending

    async def _send(
        self,
        admission: Admission,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        tokens: int | None = None,
    ) -> _Outcome:
        """Send a request to a target and take its answer: a stream's head, or all of it.

        `tokens` is the memory that a run which goes on is counted with.
        """
        address = target.address
        unread = admission.facts.prompt_tokens if tokens is None else 0
        tokens = admission.tokens if tokens is None else tokens
        unsaved = tokens if self._is_worth_copying(admission) and not plan.backup_address else 0
        self._usage.add(address, requests=1, tokens=tokens, unread=unread, unsaved=unsaved)
        exchange: http_client.Exchange | None = None
        keep = False
        try:
            async with asyncio.timeout_at(admission.ends_at - MARGIN_SECONDS):
                exchange = await http_client.connect(address, CONNECT_SECONDS)
                head = self._dialect.write_forward(admission.request.head, plan)
                exchange.send(head, admission.request.body)
                outcome = await self._read_answer(admission, exchange)
            keep = isinstance(outcome, _Stream)
            self._judge(target, outcome)
            return outcome
        except TimeoutError:
            sent = exchange is not None and exchange.sent
            if not sent:
                return _NotRun(f"{address}: out of time before it was sent", sent=False)
            return _Unknown(f"{address}: no answer in time", is_late=True)
        except http_client.AnswerBroken as error:
            self._selector.caution.note_failure(target.target_id, self._loop.time())
            if not error.sent:
                return _NotRun(str(error), sent=False)
            return _Unknown(f"{address}: {error}")
        finally:
            self._usage.add(address, unread=-unread)
            if not keep:
                self._usage.add(address, requests=-1, tokens=-tokens, unsaved=-unsaved)
                if exchange is not None:
                    exchange.abort()

    async def _read_answer(self, admission: Admission, exchange: http_client.Exchange) -> _Outcome:
        head = await exchange.read_head()
        facts = self._dialect.read_answer(head)
        if facts.request_id and facts.request_id != admission.facts.request_id:
            raise http_client.AnswerBroken("answer to another request", sent=True)
        if not facts.did_run:
            what = "another target has its address" if facts.is_other_target else "turned away"
            return _NotRun(f"{what}, status {head.status}", sent=True)
        is_stream = admission.route.repeat is routes.Repeat.STREAM and head.status == 200
        if is_stream:
            return _Stream(head, exchange)
        body = await exchange.read_body(MAX_ANSWER_BYTES)
        if head.status in (408, 421, 429, 503):
            # To the caller these would promise that nothing ran; this target promised nothing.
            return _Unknown(f"status {head.status} without a promise")
        return _Whole(head, body)

    def _judge(self, target: directories.Target, outcome: _Outcome) -> None:
        if isinstance(outcome, _NotRun):
            return
        self._selector.caution.note_success(target.target_id)

    def _plan(
        self,
        admission: Admission,
        target: directories.Target,
        *,
        last_event_id: str = "",
        copy: dialects.MemoryCopy | None = None,
        backup: directories.Target | None = None,
    ) -> dialects.ForwardPlan:
        return dialects.ForwardPlan(
            wait_seconds=max(0.001, admission.ends_at - self._loop.time()),
            target_id=target.target_id,
            workspace=admission.workspace.name if admission.workspace is not None else "",
            priority=admission.priority,
            last_event_id=last_event_id,
            copy=copy,
            backup_address=backup.address if backup is not None else "",
        )

    async def _try_targets(
        self, admission: Admission, last_event_id: str
    ) -> tuple[_Outcome, directories.Target | None, directories.Target | None]:
        """Send a request until it is answered or may not be sent again.

        Gives the last outcome, its target and the runner that backs it up.
        """
        pool = admission.pool
        excluded: set[str] = set()
        outcome: _Outcome = _NotRun("no target", sent=False)
        sends = 0
        unsent = 0
        while True:
            target = self._selector.choose(pool, admission.tokens, excluded)
            if target is None or self._loop.time() + LEAST_SEND_SECONDS > admission.ends_at:
                return outcome, None, None
            if not self._has_room(admission, target):
                if self._loop.time() < self._read_patience(admission):
                    await asyncio.sleep(ROOM_CHECK_SECONDS)
                    continue
                reason = f"no memory: {admission.tokens} tokens beside those under way"
                no_room = _NotRun(reason, sent=False, retry_after=NO_ROOM_RETRY_SECONDS)
                return (no_room if sends == 0 else outcome), None, None
            backup = self._choose_backup(admission, target)
            plan = self._plan(admission, target, last_event_id=last_event_id, backup=backup)
            excluded.add(target.target_id)
            outcome = await self._send(admission, target, plan)
            self._note_send(admission, target, outcome, sends)
            if isinstance(outcome, _NotRun) and not outcome.sent:
                unsent += 1
                if unsent >= UNSENT_TRIES:
                    return outcome, target, None
                continue
            sends += 1
            if not self._may_send_again(admission, outcome, sends):
                return outcome, target, backup

    def _read_patience(self, admission: Admission) -> float:
        """Until when a request waits for memory; then the caller is told when to come back."""
        return admission.request.arrived + admission.route.aim_seconds * ROOM_WAIT_SHARE

    def _has_room(self, admission: Admission, target: directories.Target) -> bool:
        """Whether a runner has memory for a request; short ones are gone before it runs out."""
        is_short = admission.facts.output_tokens < LEAST_BACKUP_TOKENS
        share = 1.0 if is_short or admission.priority == 0 else RUN_MEMORY_SHARE
        return self._selector.has_room(admission.pool, target, admission.tokens, share)

    def _may_send_again(self, admission: Admission, outcome: _Outcome, sends: int) -> bool:
        if sends >= admission.route.max_attempts:
            return False
        if isinstance(outcome, _Stream):
            return False
        if isinstance(outcome, _Whole):
            # A failure of the target's own; another one may do better.
            if outcome.head.status < 500 or not admission.route.is_repeatable:
                return False
        elif isinstance(outcome, _Unknown) and not admission.route.is_repeatable:
            return False
        return self._budget.take(admission.pool.name, self._loop.time())

    def _note_send(
        self, admission: Admission, target: directories.Target, outcome: _Outcome, sends: int
    ) -> None:
        kind = type(outcome).__name__.strip("_").lower()
        self._meters.sends.labels(admission.pool.name, kind).inc()
        if isinstance(outcome, _Whole) and outcome.head.status < 500:
            return
        use = self._usage.read(target.address, self._loop.time())
        reason = getattr(outcome, "reason", "")
        status = outcome.head.status if isinstance(outcome, _Whole | _Stream) else 0
        self._timeline.record(
            "request.send",
            request_id=admission.facts.request_id,
            target=target.target_id,
            address=target.address,
            phase=target.phase.value,
            heard_ms=int((self._loop.time() - target.heard_at) * 1000),
            version=admission.version,
            send=sends + 1,
            outcome=kind,
            status=status,
            requests_there=use.requests,
            tokens_there=use.tokens,
            tokens=admission.tokens,
            reason=reason,
        )

    # Whole answers

    async def _serve_whole(self, admission: Admission, responder: http_server.Responder) -> None:
        outcome, _, _ = await self._try_targets(admission, "")
        await self._answer(admission, responder, outcome)

    async def _answer(
        self, admission: Admission, responder: http_server.Responder, outcome: _Outcome
    ) -> None:
        """Answer a caller who has got nothing yet."""
        request_id = admission.facts.request_id
        if isinstance(outcome, _Whole):
            headers = http_head.list_end_to_end(outcome.head.headers)
            head = http_head.AnswerHead(outcome.head.status, headers)
            await responder.send_whole(head, outcome.body)
            self._note_answer(admission, outcome.head.status)
        elif isinstance(outcome, _NotRun):
            refusal = Refusal(503, outcome.reason, outcome.retry_after)
            await self._refuse(request_id, admission.route.name, responder, refusal)
        else:
            assert isinstance(outcome, _Unknown)
            status = 504 if outcome.is_late else 502
            refusal = Refusal(status, outcome.reason)
            await self._refuse(request_id, admission.route.name, responder, refusal)

    def _note_answer(self, admission: Admission, status: int) -> None:
        """Note a whole answer that a target gave."""
        seconds = self._loop.time() - admission.request.arrived
        self._meters.requests.labels(admission.route.name, str(status)).inc()
        self._meters.seconds.labels(admission.route.name).observe(seconds)
        self._timeline.record(
            "request.end",
            request_id=admission.facts.request_id,
            route=admission.route.name,
            version=admission.version,
            status=status,
            took_ms=_milliseconds(seconds),
        )

    # Streams

    def _is_worth_copying(self, admission: Admission) -> bool:
        """Whether a run could be lost that is long and may not run again."""
        if admission.pool.engine is None or admission.route.is_resumable:
            return False
        return admission.facts.output_tokens >= LEAST_BACKUP_TOKENS

    def _choose_backup(
        self, admission: Admission, target: directories.Target
    ) -> directories.Target | None:
        """A runner to copy a run's memory to while it grows; short runs are not worth it."""
        engine = admission.pool.engine
        if engine is None or not engine.can_back_up or not self._is_worth_copying(admission):
            return None
        if self._selector.read_evacuation(admission.pool, target) < EVACUATION_SECONDS:
            return None
        backup = self._selector.choose(admission.pool, admission.tokens, {target.target_id})
        if backup is None:
            return None
        has_room = self._selector.has_room(
            admission.pool, backup, admission.tokens, BACKUP_MEMORY_SHARE
        )
        return backup if has_room else None

    async def _serve_stream(self, admission: Admission, responder: http_server.Responder) -> None:
        last_event_id = admission.facts.last_event_id
        outcome, target, backup = await self._try_targets(admission, last_event_id)
        if not isinstance(outcome, _Stream) or target is None:
            await self._answer(admission, responder, outcome)
            return
        run = runs.Run(admission.facts.request_id, admission.pool, target, admission.tokens, backup)
        stream = _Relayed(admission, responder, run, outcome.exchange, last_event_id)
        stream.on_growth = self._note_growth
        self._hold(admission, run)
        try:
            headers = http_head.list_end_to_end(outcome.head.headers)
            await responder.begin(http_head.AnswerHead(outcome.head.status, headers))
            async with asyncio.timeout_at(admission.ends_at):
                await self._relay_runs(stream)
        except TimeoutError:
            self._note_broken(stream, "out of time")
        finally:
            self._drop(stream)
            if not responder.is_done:
                responder.abort()

    def _hold(self, admission: Admission, run: runs.Run) -> None:
        """Take a run that has begun, and count its copy elsewhere while it goes on."""
        self._mover.add(run)
        if run.backup is not None:
            run.backup_tokens = run.tokens
            self._usage.add(run.backup.address, tokens=run.backup_tokens)
        elif self._is_worth_copying(admission):
            run.unsaved_tokens = run.tokens

    def _note_growth(self, run: runs.Run, tokens: int) -> None:
        """Keep count of a run's memory, and of its copy's."""
        grown = tokens - run.tokens
        run.tokens = tokens
        self._usage.add(run.target.address, tokens=grown)
        if run.backup is not None:
            run.backup_tokens += grown
            self._usage.add(run.backup.address, tokens=grown)
        elif run.unsaved_tokens:
            run.unsaved_tokens += grown
            self._usage.add(run.target.address, unsaved=grown)

    def _drop(self, stream: "_Relayed") -> None:
        """Let go of the run that a stream comes from."""
        if stream.exchange is not None:
            stream.exchange.abort()
            stream.exchange = None
            run = stream.run
            self._usage.add(
                run.target.address, requests=-1, tokens=-run.tokens, unsaved=-run.unsaved_tokens
            )
            if run.backup is not None:
                self._usage.add(run.backup.address, tokens=-run.backup_tokens)
        self._mover.remove(stream.run)

    async def _relay_runs(self, stream: "_Relayed") -> None:
        """Relay a stream over as many runners as its run is moved to."""
        while True:
            reason = await stream.relay_until_end()
            if stream.run.is_stopping or reason is not None:
                continuation = await self._await_move(stream.run)
                continuation = continuation or self._find_backup(stream.run)
                if continuation is not None:
                    if await self._go_on(stream, continuation):
                        continue
                    reason = reason or "moved run was not taken up"
            if reason is None:
                await stream.responder.finish()
                self._note_end(stream)
                return
            if await self._run_anew(stream):
                continue
            self._note_broken(stream, reason)
            return

    async def _await_move(self, run: runs.Run) -> runs.Continuation | None:
        if run.moving is None:
            return None
        try:
            async with asyncio.timeout(HANDOVER_SECONDS):
                return await asyncio.shield(run.moving)
        except TimeoutError:
            return None

    def _find_backup(self, run: runs.Run) -> runs.Continuation | None:
        """Where a run that broke off can go on from the copy made while it grew."""
        backup = run.backup
        if backup is None or backup.phase is directories.Phase.GONE:
            return None
        return runs.Continuation(backup, dialects.MemoryCopy(backup.address, run.request_id))

    async def _go_on(self, stream: "_Relayed", continuation: runs.Continuation) -> bool:
        """Have a moved run go on; at the destination, else where its memory still is."""
        places = [continuation.target]
        if continuation.copy.address == stream.run.target.address:
            places.append(stream.run.target)
        self._drop(stream)
        for target in places:
            backup = self._choose_backup(stream.admission, target)
            plan = self._plan(
                stream.admission,
                target,
                last_event_id=stream.last_event_id,
                copy=continuation.copy,
                backup=backup,
            )
            self._budget.note_repeat(stream.admission.pool.name, self._loop.time())
            if await self._take_up(stream, target, plan, backup):
                return True
        return False

    async def _run_anew(self, stream: "_Relayed") -> bool:
        """Have another run go on behind the last event, where the route allows it."""
        admission = stream.admission
        if not admission.route.is_resumable or stream.runs_begun >= admission.route.max_attempts:
            return False
        if not self._budget.take(admission.pool.name, self._loop.time()):
            return False
        former = stream.run.target.target_id
        self._drop(stream)
        target = self._selector.choose(admission.pool, admission.tokens, {former})
        if target is None:
            return False
        plan = self._plan(admission, target, last_event_id=stream.last_event_id)
        stream.runs_begun += 1
        return await self._take_up(stream, target, plan, None)

    async def _take_up(
        self,
        stream: "_Relayed",
        target: directories.Target,
        plan: dialects.ForwardPlan,
        backup: directories.Target | None,
    ) -> bool:
        outcome = await self._send(stream.admission, target, plan, stream.run.tokens)
        taken = isinstance(outcome, _Stream)
        self._meters.continuations.labels(str(taken).lower()).inc()
        self._timeline.record(
            "run.go_on",
            request_id=stream.admission.facts.request_id,
            target=target.target_id,
            copy=plan.copy.handle if plan.copy is not None else "",
            backup=plan.backup_address,
            last_event=stream.last_event_id,
            taken=taken,
            reason=getattr(outcome, "reason", ""),
        )
        if not isinstance(outcome, _Stream):
            return False
        stream.exchange = outcome.exchange
        stream.runners += 1
        stream.run = dataclasses.replace(
            stream.run,
            target=target,
            backup=backup,
            backup_tokens=0,
            unsaved_tokens=0,
            moving=None,
            is_stopping=False,
        )
        self._hold(stream.admission, stream.run)
        return True

    def _note_end(self, stream: "_Relayed") -> None:
        admission = stream.admission
        self._meters.requests.labels(admission.route.name, "200").inc()
        first_seconds = stream.first_at - admission.request.arrived
        self._meters.seconds.labels(admission.route.name).observe(first_seconds)
        self._meters.pauses.labels(admission.route.name).observe(stream.longest_pause)
        self._timeline.record(
            "stream.end",
            request_id=stream.admission.facts.request_id,
            target=stream.run.target.target_id,
            events=stream.events,
            first_ms=_milliseconds(first_seconds),
            pause_ms=_milliseconds(stream.longest_pause),
            paused_at=stream.paused_at,
            runners=stream.runners,
        )

    def _note_broken(self, stream: "_Relayed", reason: str) -> None:
        self._meters.requests.labels(stream.admission.route.name, "broken").inc()
        self._timeline.record(
            "stream.break",
            request_id=stream.admission.facts.request_id,
            target=stream.run.target.target_id,
            phase=stream.run.target.phase.value,
            last_event=stream.last_event_id,
            events=stream.events,
            reason=reason,
        )


class _Relayed:
    """A stream on its way to the caller."""

    def __init__(
        self,
        admission: Admission,
        responder: http_server.Responder,
        run: runs.Run,
        exchange: http_client.Exchange,
        last_event_id: str,
    ) -> None:
        self.admission = admission
        self.responder = responder
        self.run = run
        self.exchange: http_client.Exchange | None = exchange
        self.last_event_id = last_event_id
        self.events = 0
        self.runs_begun = 1
        self.runners = 1
        self.first_at = 0.0
        self.longest_pause = 0.0
        self.paused_at = ""
        """Last event before the longest pause."""
        self._wrote_at = 0.0
        self.on_growth: Callable[[runs.Run, int], None] = lambda run, tokens: None

    async def relay_until_end(self) -> str | None:
        """Relay one runner's events; None at a true end, else why it is none."""
        assert self.exchange is not None
        splitter = events.Splitter()
        try:
            while (data := await self.exchange.read_chunk()) is not None:
                found = splitter.feed(data)
                problem = self._check_order(found)
                if problem:
                    return problem
                if found:
                    self._count_memory()
                    await self.responder.write(b"".join(found))
        except http_client.AnswerBroken as error:
            return str(error)
        except ValueError as error:
            return str(error)
        return "ended within an event" if splitter.has_part else None

    def _check_order(self, found: list[bytes]) -> str:
        """Keep the last id; numbered events must follow one another."""
        if found:
            self._note_times()
        for event in found:
            event_id = events.read_event_id(event)
            if event_id.isdigit() and self.last_event_id.isdigit():
                expected = int(self.last_event_id) + 1
                if int(event_id) != expected:
                    return f"got event {event_id}, expected {expected}"
            if event_id:
                self.last_event_id = event_id
            self.events += 1
        return ""

    def _count_memory(self) -> None:
        engine = self.run.pool.engine
        if engine is None:
            return
        written = self.events * engine.event_tokens
        tokens = self.admission.facts.prompt_tokens + written
        self.on_growth(self.run, tokens + self.admission.count_growth(written))

    def _note_times(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self._wrote_at:
            self.first_at = now
        elif now - self._wrote_at > self.longest_pause:
            self.longest_pause = now - self._wrote_at
            self.paused_at = self.last_event_id
        self._wrote_at = now


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
