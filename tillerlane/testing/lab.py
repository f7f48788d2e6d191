"""Daemons in one event loop with virtual time: the code that runs in production, unchanged.

Only the edges are stand-ins: connections in memory that can be cut, disks that can fail, engines
that can die.  Counts come out the same on every run.
"""

import asyncio
import dataclasses
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import async_solipsism

from tillerlane.config import documents, settings
from tillerlane.daemon import core as daemons
from tillerlane.entry import relay, requests
from tillerlane.faults import core as faults
from tillerlane.operators import changes, queries
from tillerlane.runners import core as runners
from tillerlane.testing import engine as engines
from tillerlane.testing import engine_client, memory_disk, network, texts

__all__ = ["Answer", "Lab", "close_loop", "new_loop", "run_virtual"]

T = TypeVar("T")
WALL_BEGIN = 1_750_000_000.0


def new_loop() -> asyncio.AbstractEventLoop:
    """An event loop with virtual time; the same draws on every run."""
    random.seed(0)
    return async_solipsism.EventLoop()


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """End what still runs in a loop, without a word."""
    loop.set_exception_handler(lambda loop, context: None)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    asyncio.set_event_loop(None)
    loop.close()


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time."""
    loop = new_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        close_loop(loop)


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got; times of the event loop in seconds."""

    request: requests.Request
    sent_at: float
    texts: list[str] = dataclasses.field(default_factory=list)
    times: list[float] = dataclasses.field(default_factory=list)
    """Arrival of each token."""
    generation_ids: list[str] = dataclasses.field(default_factory=list)
    offsets_in_order: bool = True
    fault: faults.Fault | None = None
    ended: bool = False
    ended_at: float = 0.0

    def take(self, item: relay.Piece | relay.Ending, now: float) -> None:
        """Take what the entry gives, and check it as a caller can."""
        if item.generation_id not in self.generation_ids:
            self.generation_ids.append(item.generation_id)
        if isinstance(item, relay.Ending):
            self.ended = item.tokens == len(self.texts)
            return
        self.offsets_in_order &= item.offset == len(self.texts)
        self.texts.extend(item.texts)
        self.times.extend([now] * len(item.texts))

    @property
    def is_right(self) -> bool:
        """Whether every token is the one that its generation must have at its offset."""
        if len(self.generation_ids) > 1 or not self.offsets_in_order:
            return False
        expected = [
            texts.make_token(self.generation_ids[0], offset) for offset in range(len(self.texts))
        ]
        return self.texts == expected


async def run_directly(work: Any, *arguments: Any) -> Any:
    """Run a blocking function at once; a sync of the disk takes two milliseconds."""
    await asyncio.sleep(0.002)
    return work(*arguments)


async def _read_answer(answer: Answer, items: Any) -> Answer:
    """Read an answer to its end or fault."""
    loop = asyncio.get_running_loop()
    try:
        async for item in items:
            answer.take(item, loop.time())
    except faults.FaultError as error:
        answer.fault = error.fault
    finally:
        await items.aclose()
    answer.ended_at = loop.time()
    return answer


class Lab:
    """A fleet in one event loop.

    Parameters
    ----------
    document : dict
        The configuration to apply.
    keepers, entries : int
        How many of each.
    spec : engines.EngineSpec, optional
        All fake engines.
    seed : int
        For all that is drawn.
    """

    def __init__(
        self,
        document: dict[str, Any],
        *,
        keepers: int = 1,
        entries: int = 1,
        spec: engines.EngineSpec | None = None,
        seed: int = 0,
        get_length: Any = None,
        entry_settings: dict[str, Any] | None = None,
        rules: dict[str, Any] | None = None,
        get_length_model: Any = None,
    ) -> None:
        self.document = document
        self.checked = documents.Document.model_validate(document)
        self.network = network.Network()
        self.daemons: dict[str, daemons.Daemon] = {}
        self.engines: dict[str, engines.Engine | None] = {}
        self.disks: dict[str, memory_disk.MemoryDisk] = {}
        self.plans: dict[str, settings.Settings] = {}
        self.clients: dict[str, runners.RunnerClient] = {}
        self.load_lag = engine_client.LOAD_LAG_SECONDS
        self.distort: Any = lambda load: load
        self._spec = spec or engines.EngineSpec()
        self._get_length = get_length
        self._rules = rules or {}
        self._get_length_model = get_length_model
        self._entry_settings = entry_settings or {}
        self._seed = seed
        self._engine_tasks: dict[str, asyncio.Task[None]] = {}
        self._models: dict[str, list[str]] = {}
        self._plan(keepers, entries)

    def _plan(self, keepers: int, entries: int) -> None:
        names = [f"keeper-{number}" for number in range(1, keepers + 1)]
        addresses = {name: f"10.0.0.{number}:7000" for number, name in enumerate(names, 1)}
        halls: dict[str, dict[str, Any]] = {}
        for pool in self.checked.pools.values():
            for name, runner in pool.runners.items():
                halls.setdefault(runner.data_hall, {})[name] = {"url": f"lab://{name}"}
                loaded = pool.models if runner.models is None else runner.models
                self._models[name] = list(loaded)
        order = [*halls] or ["hall-a"]
        for number, name in enumerate(names):
            hall = order[number % len(order)]
            self._add(name, hall, "keeper", addresses[name], addresses, data_folder=name)
        for number in range(1, entries + 1):
            hall = order[(number - 1) % len(order)]
            self._add(
                f"entry-{number}",
                hall,
                "entry",
                f"10.0.1.{number}:7000",
                addresses,
                **self._entry_settings,
            )
        for number, (hall, targets) in enumerate(halls.items(), 1):
            address = f"10.0.2.{number}:7000"
            self._add(f"agent-{hall}", hall, "agent", address, addresses, targets=targets)

    def _add(
        self, name: str, hall: str, role: str, address: str, keepers: dict[str, str], **more: Any
    ) -> None:
        values = {
            "daemon": name,
            "data_hall": hall,
            "roles": [role],
            "peer_address": address,
            "http_address": address.replace(":7000", ":8000"),
            "keepers": keepers,
            **more,
        }
        self.plans[name] = settings.Settings.model_validate(values)
        self.network.names[address] = name

    # Life

    async def start(self, *names: str) -> None:
        """Start engines and daemons, all of them by default."""
        for target in [] if names else self._models:
            self.start_engine(target)
        for name in names or self.plans:
            await self.start_daemon(name)

    def start_engine(self, target: str) -> engines.Engine:
        """Start a fresh engine in a target's place."""
        engine = engines.Engine(self._spec, self._get_length)
        self.engines[target] = engine
        self._engine_tasks[target] = asyncio.create_task(engine.run())
        return engine

    def kill_engine(self, target: str) -> None:
        """Kill a runner: its generations are gone and its readers learn of it."""
        engine = self.engines[target]
        assert engine is not None
        engine.dead = True
        for sequence in engine.sequences.values():
            sequence.wake()
        self._engine_tasks[target].cancel()
        self.engines[target] = None

    def _connect(self, target: settings.Target) -> runners.RunnerClient:
        name = target.url.removeprefix("lab://")
        client = engine_client.connect(
            lambda: self.engines.get(name),
            self._models[name],
            self.load_lag,
            lambda load: self.distort(load),
        )
        self.clients[name] = client
        return client

    async def start_daemon(self, name: str) -> daemons.Daemon:
        """Start one daemon, on the disk that it had before if any."""
        loop = asyncio.get_running_loop()
        disk = self.disks.setdefault(name, memory_disk.MemoryDisk(random.Random(self._seed)))
        dependencies = daemons.Dependencies(
            connect=self._connect,
            open_disk=lambda folder: disk.as_disk(),
            run_blocking=run_directly,
            open_connection=self.network.connect_as(name),
            now=lambda: WALL_BEGIN + loop.time(),
            rng=random.Random(texts.seed_of(f"{self._seed} {name}")),
            **self._rules,
        )
        daemon = daemons.Daemon(self.plans[name], dependencies)
        queries.register_queries(daemon)
        self.daemons[name] = daemon
        if daemon.agent is not None and self._get_length_model is not None:
            daemon.agent.get_length_model = self._get_length_model
        await daemon.start()
        return daemon

    async def kill(self, name: str, *, torn: bool = False) -> None:
        """Kill a daemon: nothing more is sent, what was not synced is lost."""
        daemon = self.daemons.pop(name)
        await daemon.stop()
        await asyncio.sleep(0)
        self.disks[name].crash(torn=torn)

    async def restart(self, name: str) -> None:
        """Kill a daemon and start it again."""
        await self.kill(name)
        await self.start_daemon(name)

    async def settle(self, seconds: float = 3.0) -> None:
        """Let time pass."""
        await asyncio.sleep(seconds)

    async def begin(self) -> None:
        """Start everything and have the configuration in force everywhere."""
        await self.start()
        await self.settle(3.0)
        await self.apply(self.document, 0, "c-lab-first")
        await self.settle(2.0)

    async def apply(
        self, document: dict[str, Any], against: int, change_id: str, name: str = ""
    ) -> dict[str, Any]:
        """Submit a change at a daemon, the first entry by default."""
        body = changes.ChangeBody(against=against, change_id=change_id, document=document)
        daemon = self.daemons[name or next(iter(self.list_role("entry")))]
        return await changes.submit_change(daemon, body, "lab")

    def list_role(self, role: str) -> list[str]:
        """Running daemons of a role."""
        return [name for name, item in self.daemons.items() if role in item.settings.roles]

    # Callers

    def build_request(
        self, workspace: str, class_name: str, prompt: str, *, entry: str = "", key: str = ""
    ) -> requests.Request:
        """A request as an entry would build it."""
        daemon = self.daemons[entry or self.list_role("entry")[0]]
        body = requests.CompletionBody(model=class_name, prompt=prompt, stream=True)
        return requests.build_request(
            daemon.store.current,
            workspace,
            body,
            request_id=requests.new_request_id(),
            class_header="",
            idempotency_key=key,
            now=asyncio.get_running_loop().time(),
        )

    async def call(
        self,
        workspace: str,
        class_name: str,
        prompt: str,
        *,
        entry: str = "",
        key: str = "",
        answer: Answer | None = None,
    ) -> Answer:
        """Send a request at an entry and read its answer to the end.

        Giving an `answer` that has begun resumes it, as a caller does with ``Last-Event-ID``.
        """
        loop = asyncio.get_running_loop()
        name = entry or self.list_role("entry")[0]
        request = self.build_request(workspace, class_name, prompt, entry=name, key=key)
        dispatcher = self.daemons[name].callers.dispatcher
        if answer is None:
            answer = Answer(request, loop.time())
            items = dispatcher.run(request)
        else:
            items = dispatcher.resume(request, answer.generation_ids[0], len(answer.texts))
        return await _read_answer(answer, items)

    def begin_call(self, *words: str, **more: Any) -> tuple[Answer, "asyncio.Task[Answer]"]:
        """Send a request in the background; its answer grows as tokens come."""
        name = more.pop("entry", "") or self.list_role("entry")[0]
        workspace, class_name, prompt = words
        key = more.get("key", "")
        request = self.build_request(workspace, class_name, prompt, entry=name, key=key)
        answer = Answer(request, asyncio.get_running_loop().time())

        items = self.daemons[name].callers.dispatcher.run(request)
        return answer, asyncio.create_task(_read_answer(answer, items))

    def find_agent(self, generation_id: str) -> str:
        """Daemon id of the agent that has a generation."""
        target, _ = requests.split_generation_id(generation_id)
        for name, plan in self.plans.items():
            if target in plan.targets:
                return name
        raise KeyError(target)
