"""Agent side of the peer links: serves starts and attaches, streams tokens, reports load."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from tillerlane.agent import execution, lengths, orders, scheduling
from tillerlane.agent import generation as generations
from tillerlane.agent import target as targets
from tillerlane.config import documents, settings
from tillerlane.config import store as stores
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.policy import program as programs
from tillerlane.runners import core as runners
from tillerlane.timeline import core as timelines

__all__ = ["SERVICE_PREFIX", "Agent"]

SERVICE_PREFIX = "service:"
"""Prefix of the class name of a service's calls; the service's name follows."""
REPORT_INTERVAL_SECONDS = 0.25
"""Minimum time between two load reports, which are sent only on significant changes."""
MAX_REPORT_INTERVAL_SECONDS = 2.0
REPORT_MEMORY_SHARE = 0.05
"""Change of a target's memory use, as a share of its memory, above which a report is sent."""
REPORT_RUNNING_SHARE = 0.2
CONFIG_TIMEOUT_SECONDS = 2.0
"""How long a start waits for a configuration that defines its class."""
DEADLINE_GRACE_SECONDS = 0.25
MAX_CREDIT = 65_536
SERVICE_PRIORITY = 50

Connect = Callable[[settings.Target], runners.RunnerClient]


@dataclasses.dataclass(frozen=True, slots=True)
class _Terms:
    """Scheduling parameters of a class of work or a service."""

    priority: int
    urgent: bool
    repeatable: bool
    finish_detached: bool


class Agent:
    """The agent role of a daemon.

    Parameters
    ----------
    own : dict
        Settings of its targets, by name.
    connect : callable
        Returns the client of a target.
    store : stores.Store
        Configuration in force.
    timeline : timelines.Timeline
        Records the events.
    get_links : callable
        Returns the links that receive load reports.
    count : callable
        Called with (metric name, number).
    decide : callable
        Returns the actions to take at a target.
    """

    def __init__(
        self,
        own: dict[str, settings.Target],
        connect: Connect,
        store: stores.Store,
        timeline: timelines.Timeline,
        get_links: Callable[[], list[links.Link]],
        count: Callable[[str, float], None],
        decide: execution.Decide = scheduling.decide,
    ) -> None:
        self._store = store
        self._timeline = timeline
        self._get_links = get_links
        self._count = count
        self._changed = asyncio.Event()
        self._sequence = 0
        self._reported: dict[str, messages.Load] = {}
        self._report_task: asyncio.Task[None] | None = None
        self.is_leaving = False
        self.host_leaving = False
        self.get_length_model: Callable[[messages.Start], lengths.LengthModel] | None = None
        """Alternative source of length models; benchmarks substitute perfect knowledge."""
        self.executors: dict[str, execution.Executor] = {}
        for name, item in own.items():
            empty = programs.Program("builtin", {})
            state = targets.TargetState(name, item.kind, connect(item), empty)
            self.executors[name] = execution.Executor(
                state, timeline, self._get_fleet, count, decide
            )
        self._order_executors = {
            name: orders.OrderExecutor(executor.state) for name, executor in self.executors.items()
        }
        store.add_listener(lambda changed: self._apply_configuration(changed.current))
        self._apply_configuration(store.current)

    def start(self) -> None:
        """Start the tasks of all targets."""
        for executor in self.executors.values():
            executor.start()
        self._report_task = asyncio.create_task(self._run_reports())

    async def stop(self) -> None:
        """Cancel all tasks; `leave` prepares a planned stop."""
        if self._report_task is not None:
            self._report_task.cancel()
        for executor in self.executors.values():
            await executor.stop()

    def _get_fleet(self) -> tuple[float, float]:
        fleet = self._store.current.fleet
        return fleet.resume_seconds, fleet.detached_seconds

    # Configuration

    def _apply_configuration(self, configuration: stores.Configuration) -> None:
        weights = {name: item.weight for name, item in configuration.workspaces.items()}
        for name, executor in self.executors.items():
            state = executor.state
            state.weights = weights
            service = configuration.service_by_target.get(name)
            if service is not None:
                state.batch_limit = configuration.services[service].concurrent
            pool_name = configuration.pool_by_target.get(name)
            if pool_name is not None:
                pool = configuration.pools[pool_name]
                state.max_waiting = pool.max_waiting
                self._apply_policy(state, pool.policy, configuration)
            is_draining = name in configuration.drains or self.host_leaving
            if is_draining != state.leaving and not self.is_leaving:
                reason = "platform list" if self.host_leaving else "operator drain"
                self._set_leaving(executor, is_draining, reason)
            executor.wake()
        self._changed.set()

    def _apply_policy(
        self,
        state: targets.TargetState,
        policy_name: str | None,
        configuration: stores.Configuration,
    ) -> None:
        policy = configuration.policies.get(policy_name or "", documents.Policy())
        compiled = programs.compile_program(policy_name or "builtin", policy)
        program = compiled.unwrap_or(programs.Program("builtin", {}))
        program.on_fault = self._record_policy_fault
        state.program = program
        for generation in state.held.values():
            generation.ranker = None
            generation.rank_at = -1.0

    def _record_policy_fault(self, policy: str, expression: str, reason: str) -> None:
        self._count("policy_faults", 1)
        self._timeline.record("policy.fault", policy=policy, expression=expression, reason=reason)

    def _set_leaving(self, executor: execution.Executor, leaving: bool, reason: str) -> None:
        state = executor.state
        state.leaving = leaving
        name = "target.leaving" if leaving else "target.back"
        self._timeline.record(name, target=state.name, reason=reason)
        if leaving:
            self._refuse_waiting(state)
        self._changed.set()

    def _refuse_waiting(self, state: targets.TargetState) -> None:
        """Refuse the waiting generations: none has run, so each can start elsewhere at once."""
        now = asyncio.get_running_loop().time()
        for generation in list(state.waiting):
            state.dequeue(generation)
            fault = faults.new_fault(kinds.ErrorKind.LEAVING, f"{state.name} is leaving")
            generation.fail(fault, now)

    # Leaving

    def leave(self, reason: str) -> None:
        """Refuse new requests from now on, and those that are waiting."""
        self.is_leaving = True
        for executor in self.executors.values():
            if not executor.state.leaving:
                self._set_leaving(executor, True, reason)

    def set_host_leaving(self, leaving: bool) -> None:
        """Apply the platform's state of this host; operators' drains remain in force."""
        self.host_leaving = leaving
        self._apply_configuration(self._store.current)

    def list_leaving(self) -> set[str]:
        """Targets that accept no new requests."""
        return {name for name, item in self.executors.items() if item.state.leaving}

    async def execute_order(self, arguments: dict[str, Any]) -> dict[str, str]:
        """Execute a fenced order."""
        executor = self._order_executors.get(arguments["target"])
        if executor is None:
            message = f"no target {arguments['target']!r} at this agent"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
        outcome = await executor.execute(arguments)
        self._timeline.record("order.done", **arguments)
        self._changed.set()
        return outcome

    def build_demand(self) -> list[dict[str, Any]]:
        """Models, state and load by model of each runner, as input of the placement."""
        return [
            {
                "target": name,
                "models": sorted(executor.state.models),
                "loads": executor.state.compute_loads_by_model(),
                "leaving": executor.state.leaving,
                "healthy": executor.state.healthy,
            }
            for name, executor in self.executors.items()
            if executor.state.is_runner
        ]

    def count_active(self) -> int:
        """Number of generations that are running or whose tokens are still being read."""
        return sum(
            1
            for executor in self.executors.values()
            for generation in executor.state.held.values()
            if generation.end is None or any(not feed.done for feed in generation.feeds)
        )

    # Serving

    async def serve(self, exchange: links.Exchange, start: messages.Start) -> None:
        """Serve an exchange that an entry opened with ``Start``."""
        executor = self.executors.get(start.target)
        if executor is None:
            message = f"got target {start.target!r}, expected {sorted(self.executors)}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message))
        generation = executor.state.held.get(start.generation_id)
        if generation is not None:
            self._check_owner(generation.start.workspace, start)
        elif start.attach:
            generation = await self._adopt(executor, start)
        else:
            generation = await self._accept(executor, start)
        await self._feed(executor, generation, exchange, start)

    def _check_owner(self, owner: str, start: messages.Start) -> None:
        if owner != start.workspace:
            fault = faults.new_fault(
                kinds.ErrorKind.NOT_FOUND,
                f"this workspace has no generation {start.generation_id!r}",
            )
            raise faults.FaultError(fault)

    async def _get_terms(self, start: messages.Start) -> _Terms:
        """Terms of the class, waiting for a configuration that defines it."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIG_TIMEOUT_SECONDS
        while True:
            terms = _find_terms(self._store.current, start.class_name)
            if terms is not None:
                return terms
            if loop.time() >= deadline:
                message = f"class {start.class_name!r} is not in the configuration in force"
                raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message))
            await asyncio.sleep(0.05)

    def _build_generation(
        self, executor: execution.Executor, start: messages.Start, terms: _Terms
    ) -> generations.Generation:
        now = asyncio.get_running_loop().time()
        model = self.get_length_model(start) if self.get_length_model else None
        if model is None:
            distributions = executor.state.length_models
            model = distributions.get(start.workspace, start.class_name, start.model)
        return generations.Generation(
            start=start,
            arrived=now,
            deadline=now + start.deadline_ms / 1000 + DEADLINE_GRACE_SECONDS,
            priority=terms.priority,
            urgent=terms.urgent,
            repeatable=terms.repeatable,
            length_model=model,
        )

    async def _accept(
        self, executor: execution.Executor, start: messages.Start
    ) -> generations.Generation:
        terms = await self._get_terms(start)
        state = executor.state
        known = state.held.get(start.generation_id)
        if known is not None:
            return known
        generation = self._build_generation(executor, start, terms)
        fault = scheduling.check_arrival(generation, state, generation.arrived)
        if fault is None and state.models and start.model and start.model not in state.models:
            message = f"{state.name} has not loaded model {start.model!r}"
            fault = faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message)
        if fault is not None:
            self._count("refusals", 1)
            self._timeline.record(
                "generation.refuse",
                request_id=start.request_id,
                generation_id=start.generation_id,
                target=state.name,
                kind=fault.kind,
                message=fault.message,
            )
            raise faults.FaultError(fault)
        state.enqueue(generation)
        self._timeline.record(
            "generation.queue",
            request_id=start.request_id,
            generation_id=start.generation_id,
            target=state.name,
            waiting=len(state.waiting),
        )
        executor.wake()
        self._changed.set()
        return generation

    async def _adopt(
        self, executor: execution.Executor, start: messages.Start
    ) -> generations.Generation:
        """Take over a generation that the target holds and this process does not know."""
        state = executor.state
        try:
            owner, prompt_tokens = await state.client.read_owner(start.generation_id)
        except (runners.UnknownGeneration, runners.TargetError) as error:
            message = f"no generation {start.generation_id!r} at {state.name}: {error}"
            fault = faults.new_fault(
                kinds.ErrorKind.GENERATION_LOST, message, ran=kinds.Ran.UNKNOWN
            )
            raise faults.FaultError(fault) from error
        self._check_owner(owner, start)
        known = state.held.get(start.generation_id)
        if known is not None:
            return known
        start.prompt_tokens = prompt_tokens
        terms = await self._get_terms(start)
        generation = self._build_generation(executor, start, terms)
        executor.adopt(generation)
        return generation

    async def _feed(
        self,
        executor: execution.Executor,
        generation: generations.Generation,
        exchange: links.Exchange,
        start: messages.Start,
    ) -> None:
        """Stream tokens until the reader has the end, cancels, or loses its link."""
        exchange.send(messages.Accepted(generation.id, start.offset))
        credit = min(start.credit, MAX_CREDIT)
        feed = generations.Feed(generation, exchange, start.offset, credit)
        generation.feeds.append(feed)
        generation.detached_at = None
        feed.push()
        try:
            while True:
                body = await exchange.receive()
                if isinstance(body, messages.Credit):
                    feed.credit = min(feed.credit + body.tokens, MAX_CREDIT)
                    feed.push()
                elif isinstance(body, messages.Cancel):
                    self._handle_cancel(executor, generation, body.reason)
                    return
                elif isinstance(body, messages.End):
                    return
        finally:
            generation.feeds.remove(feed)
            self._record_detached(generation)
            self._changed.set()

    def _handle_cancel(
        self, executor: execution.Executor, generation: generations.Generation, reason: str
    ) -> None:
        terms = _find_terms(self._store.current, generation.start.class_name)
        if terms is not None and terms.finish_detached:
            return
        executor.cancel(generation, kinds.ErrorKind.CANCELLED, reason)

    def _record_detached(self, generation: generations.Generation) -> None:
        if generation.feeds or generation.end is not None:
            return
        terms = _find_terms(self._store.current, generation.start.class_name)
        if terms is None or not terms.finish_detached:
            generation.detached_at = asyncio.get_running_loop().time()

    # Reports

    def build_loads(self) -> list[messages.Load]:
        """Current load of every target."""
        return [self._build_load(executor.state) for executor in self.executors.values()]

    def _build_load(self, state: targets.TargetState) -> messages.Load:
        used = state.memory_used
        promised = sum(int(item.predict_remaining().expected_remaining) for item in state.running)
        return messages.Load(
            target=state.name,
            waiting=len(state.waiting) + len(state.paused),
            running=len(state.running),
            memory_used=used + state.foreign_memory,
            memory_total=state.memory_total,
            memory_promised=promised,
            step_ms=state.step_seconds * 1000,
            wait_ms=state.estimate_wait(False) * 1000,
            leaving=state.leaving,
            healthy=state.healthy,
            prefixes=list(state.prefixes)[-targets.MAX_REPORTED_PREFIXES :],
            models=sorted(state.models),
            urgent_wait_ms=state.estimate_wait(True) * 1000,
        )

    async def _run_reports(self) -> None:
        loop = asyncio.get_running_loop()
        reported_at = 0.0
        known: list[links.Link] = []
        while True:
            try:
                await asyncio.wait_for(self._changed.wait(), MAX_REPORT_INTERVAL_SECONDS)
            except TimeoutError:
                pass
            self._changed.clear()
            current = self._get_links()
            has_new = any(link not in known for link in current)
            is_due = has_new or loop.time() - reported_at >= MAX_REPORT_INTERVAL_SECONDS
            loads = self._collect_changed(is_due)
            if loads:
                reported_at = loop.time()
                self._send_loads(current, loads)
            known = current
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def _collect_changed(self, is_full: bool) -> list[messages.Load]:
        changed = []
        for load in self.build_loads():
            known = self._reported.get(load.target)
            if is_full or known is None or _has_changed(known, load):
                self._reported[load.target] = load
                changed.append(load)
        self._sequence += 1
        return [dataclasses.replace(load, sequence=self._sequence) for load in changed]

    def _send_loads(self, receivers: list[links.Link], loads: list[messages.Load]) -> None:
        for link in receivers:
            try:
                link.send(messages.Loads(loads))
            except links.LinkLost:
                continue


def _has_changed(old: messages.Load, new: messages.Load) -> bool:
    """Whether a target's load has changed enough to be reported."""
    if (old.leaving, old.healthy, old.models) != (new.leaving, new.healthy, new.models):
        return True
    if (old.waiting == 0) != (new.waiting == 0) or old.prefixes != new.prefixes:
        return True
    memory_change = abs(
        new.memory_used + new.memory_promised - old.memory_used - old.memory_promised
    )
    if memory_change > REPORT_MEMORY_SHARE * max(1, new.memory_total):
        return True
    return abs(new.running - old.running) > 1 + REPORT_RUNNING_SHARE * old.running


def _find_terms(configuration: stores.Configuration, class_name: str) -> _Terms | None:
    if class_name.startswith(SERVICE_PREFIX):
        service = configuration.services.get(class_name.removeprefix(SERVICE_PREFIX))
        if service is None:
            return None
        return _Terms(SERVICE_PRIORITY, True, service.repeatable, not service.repeatable)
    work = configuration.classes.get(class_name)
    if work is None:
        return None
    finish_detached = work.on_disconnect is documents.OnDisconnect.FINISH or not work.repeatable
    return _Terms(work.priority, work.urgent, work.repeatable, finish_detached)
