"""The soak's stand-in targets: each behind a forwarder, with heartbeats, and the harm done to them.

Harm of the way to a target is noted for the checker, with its times; what a target does wrong by
itself excuses nothing.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Iterator

from tillerlane.testing import forwarder, platform_checker, platform_fleet, platform_runner

__all__ = ["STREAM_LENGTH", "Target", "Targets"]

RUNNERS = 4
SERVICES = 3
STREAM_LENGTH = 80
STREAM_PACE = 0.03
BEAT_SECONDS = 1.2
"""The platform's usual pause between heartbeats."""
NOTICE_SECONDS = 2.0
"""Time from a runner's word that it drains to its end."""
WORKS_ON_SHARE = 0.5
"""Share of the targets that work on when a connection closes."""
HARM_SECONDS = (0.2, 4.0)
LATE_SECONDS = (0.2, 2.0)
"""Time from a request to the head of its answer at a runner that answers late."""
BREAK_SECONDS = (0.0, 0.6)
"""Time from a runner's word that it drains to the break of its connections."""
MISDEEDS = ("is_mute", "loses_answer", "loses_copies", "names_no_request", "refuses")

Tell = Callable[[str, Callable[[], bytes]], Awaitable[bool]]


class Target:
    """A stand-in target with its forwarder and its heartbeats."""

    def __init__(
        self, target_id: str, pool: str, hall: str, runner: platform_runner.PlatformRunner
    ) -> None:
        self.target_id = target_id
        self.pool = pool
        self.hall = hall
        self.runner = runner
        self.state = "ready"
        self.sequence = 0
        self.way_in: forwarder.Forwarder | None = None
        self.beating: asyncio.Task[None] | None = None

    def write_heartbeat(self) -> bytes:
        """The next word of its load."""
        self.sequence += 1
        values = {
            "service": self.pool,
            "addr": self.runner.address,
            "zone": self.hall,
            "slots": 48,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.sequence,
        }
        return json.dumps(values).encode()

    @property
    def is_busy(self) -> bool:
        """Whether it works on a request."""
        return any(not run.ended for run in self.runner.ran)


class Targets:
    """All targets of a soak.

    Parameters
    ----------
    net : int
        Second byte of the fleet's addresses; targets use the two behind it.
    seen : platform_checker.Observations
        Takes what they run and the harm done to the ways to them.
    tell : callable
        Coroutine function that tells keepers something.
    rng : random.Random
        Decides on harm.
    """

    def __init__(
        self, net: int, seen: platform_checker.Observations, tell: Tell, rng: random.Random
    ) -> None:
        self._net = net
        self._seen = seen
        self._tell = tell
        self._rng = rng
        self._targets: dict[str, Target] = {}
        self._by_address: dict[str, platform_runner.PlatformRunner] = {}
        self._number = 0
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Start as many as each pool has."""
        for pool, number in (("llm", RUNNERS), ("app", SERVICES)):
            for _ in range(number):
                await self.add(pool)

    async def add(self, pool: str) -> None:
        """Start a target."""
        self._number += 1
        number = self._number
        hall = platform_fleet.HALLS[number % 4]
        place = f"{number // 200}.{1 + number % 200}:9000"
        told, listens = f"127.{self._net + 2}.{place}", f"127.{self._net + 3}.{place}"
        is_runner = pool == "llm"
        runner = platform_runner.PlatformRunner(
            f"i-{number}",
            told,
            self._by_address,
            length=STREAM_LENGTH if is_runner else 0,
            pace=STREAM_PACE,
            copy_seconds=0.1,
            listen_address=listens,
        )
        runner.works_on = is_runner and self._rng.random() < WORKS_ON_SHARE
        target = Target(runner.target_id, pool, hall, runner)
        target.way_in = forwarder.Forwarder(told, listens, self._rng)
        await runner.start()
        await target.way_in.start()
        self._targets[target.target_id] = target
        self._seen.ran[target.target_id] = runner.ran
        target.beating = self._loop.create_task(self._beat(target))

    async def _beat(self, target: Target) -> None:
        while target.target_id in self._targets:
            await self._tell(f"/Instances.Heartbeat/{target.target_id}", target.write_heartbeat)
            await asyncio.sleep(BEAT_SECONDS * self._rng.uniform(0.9, 1.1))

    def end(self, target: Target) -> None:
        """End a target at once, if it has not ended."""
        if self._targets.pop(target.target_id, None) is None:
            return
        target.runner.crash()
        if target.way_in is not None:
            target.way_in.stop()

    def end_all(self) -> None:
        """End all targets."""
        for target in list(self._targets.values()):
            self.end(target)
            if target.beating is not None:
                target.beating.cancel()

    def _draw(self, pool: str = "") -> Target:
        found = [item for item in self._targets.values() if pool in ("", item.pool)]
        return self._rng.choice(found)

    # Planned work

    async def drain(self) -> None:
        """A new target comes, then one of its pool drains, serves on for a while and ends."""
        target = self._draw()
        await self.add(target.pool)
        if target.state == "ready":
            await self._leave(target)

    async def _leave(self, target: Target) -> None:
        target.state = "draining"
        path = f"/Instances.Heartbeat/{target.target_id}"
        if await self._tell(path, target.write_heartbeat):
            leaving = platform_checker.Leaving(target.target_id, self._loop.time())
            self._seen.leavings.append(leaving)
        until = self._loop.time() + NOTICE_SECONDS
        while self._loop.time() < until or (self._seen.planned_only and target.is_busy):
            await asyncio.sleep(0.05)
        await self._tell(f"/Instances.Leave/{target.target_id}", lambda: b"")
        self.end(target)

    # Harm

    async def crash(self) -> None:
        """A target ends, and another one comes."""
        target = self._draw()
        self.end(target)
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        await self.add(target.pool)

    async def harm_way(self) -> None:
        """The way to a target is harmed."""
        await self._harm_way(self._draw())

    async def _harm_way(self, target: Target) -> None:
        assert target.way_in is not None
        spans = self._seen.ways_harmed.setdefault(target.target_id, [])
        began, place = self._loop.time(), len(spans)
        spans.append((began, float("inf")))
        target.way_in.do(self._rng.choice(list(forwarder.Harm)[1:]))
        await asyncio.sleep(self._rng.uniform(*HARM_SECONDS))
        target.way_in.do(forwarder.Harm.NONE)
        spans[place] = (began, self._loop.time())

    async def break_connections(self) -> None:
        """The connections to a runner break, and new ones come about."""
        self._break_connections(self._draw("llm"))

    def _break_connections(self, target: Target) -> None:
        assert target.way_in is not None
        if self._rng.random() < 0.5:
            target.way_in.orphan()
        else:
            target.runner.reset_connections()

    async def misbehave(self) -> None:
        """A target answers wrongly, late or not at all for a while."""
        await self._misbehave(self._draw(), self._rng.choice((*MISDEEDS, "")))

    async def _misbehave(self, target: Target, name: str) -> None:
        """Switch one of a target's faults on for a while; without a name it answers late."""
        runner = target.runner
        if name:
            setattr(runner, name, True)
        else:
            runner.reading_seconds = self._rng.uniform(*LATE_SECONDS)
        await asyncio.sleep(self._rng.uniform(*HARM_SECONDS))
        if name:
            setattr(runner, name, False)
        else:
            runner.reading_seconds = 0.0

    async def leave_badly(self) -> None:
        """A runner leaves while it, the way to it or the runners that stay are harmed."""
        leaves = self._draw("llm")
        await self.add("llm")
        if leaves.state != "ready":
            return
        harm = self._rng.choice((self._harm_others, self._harm_leaving, self._break_leaving))
        tasks = [self._loop.create_task(item) for item in harm(leaves)]
        await self._leave(leaves)
        await asyncio.gather(*tasks)

    def _harm_others(self, leaves: Target) -> Iterator[Awaitable[None]]:
        name = self._rng.choice(("", "is_mute", "loses_answer"))
        for target in list(self._targets.values()):
            if target is not leaves and target.pool == leaves.pool:
                yield self._misbehave(target, name)

    def _harm_leaving(self, leaves: Target) -> Iterator[Awaitable[None]]:
        yield self._harm_way(leaves)

    def _break_leaving(self, leaves: Target) -> Iterator[Awaitable[None]]:
        async def break_off() -> None:
            await asyncio.sleep(self._rng.uniform(*BREAK_SECONDS))
            self._break_connections(leaves)

        yield break_off()
