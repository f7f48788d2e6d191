"""The soak's stand-in targets: processes behind forwarders, and the harm done to them.

Harm of the way to a target is noted for the checker, with its times; what a target does wrong by
itself excuses nothing.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import msgspec

from tillerlane.testing import (
    forwarder,
    platform_checker,
    platform_fleet,
    platform_record,
    platform_target,
)

__all__ = ["STREAM_LENGTH", "Target", "Targets"]

RUNNERS = 4
SERVICES = 3
STREAM_LENGTH = 80
STREAM_PACE = 0.03
COPY_SECONDS = 0.1
HEARTBEAT_INTERVAL_SECONDS = 1.2
"""The platform's usual pause between heartbeats."""
NOTICE_SECONDS = 2.0
"""Time from a runner's word that it drains to its end."""
WORKS_ON_SHARE = 0.5
"""Share of the targets that work on when a connection closes."""
HARM_SECONDS = (0.2, 4.0)
NAMED_LIMITS = ("1.5", "3", "6")
"""Limits that targets name, in requests a second."""
LIMIT_SECONDS = (6.0, 12.0)
"""How long a target names one: longer than the time until it binds and the span that is checked."""
BACKOFFS = ("1", "2.5", "4")
"""Seconds of back-off that targets ask for."""
BACKOFF_SECONDS = (1.0, 8.0)
"""How long a target turns requests away."""
BREAK_SECONDS = (0.0, 0.6)
"""Time from a runner's word that it drains to the break of its connections."""
SECOND_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
MISDEEDS: tuple[dict[str, Any], ...] = (
    {"is_mute": True},
    {"loses_answer": True},
    {"loses_copies": True},
    {"refuses": True},
    {"refuses": True, "names_no_request": True},
    {"surplus": SECOND_ANSWER},
    {"preface": SECOND_ANSWER},
    {"answers_for": "another"},
    {"skips_event": STREAM_LENGTH // 2},
    {"breaks_at": STREAM_LENGTH // 2},
    {"reading_seconds": 0.5},
    {"reading_seconds": 2.0},
)
"""What a target does wrong for a while, as fields of `platform_runner.PlatformRunner`."""
START_SECONDS = 20.0
START_CHECK_SECONDS = 0.02

Tell = Callable[[str, Callable[[], bytes]], Awaitable[bool]]


class Target:
    """A stand-in target: a process with its record, behind a forwarder.

    Parameters
    ----------
    orders : platform_target.Orders
        What its process is started with.
    pool, hall : str
        What it serves, and its data hall.
    way_in : forwarder.Forwarder
        Where entries and other targets reach it.
    """

    def __init__(
        self, orders: platform_target.Orders, pool: str, hall: str, proxy: forwarder.Forwarder
    ) -> None:
        self.target_id = orders.target_id
        self.pool = pool
        self.hall = hall
        self.proxy = proxy
        self.state = "ready"
        self.is_running = False
        """Whether its process has begun to listen and has not ended."""
        self.is_paused = False
        self.beating: asyncio.Task[None] | None = None
        self.record = platform_record.Reader(pathlib.Path(orders.record), orders.target_id)
        self._orders = orders
        self._sequence = 0
        self._born = 0
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start its process and wait until it listens, or has been ended."""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        starts = self.record.starts
        self._begin_process()
        async with asyncio.timeout(START_SECONDS):
            while self._process is not None and self.record.starts == starts:
                await asyncio.sleep(START_CHECK_SECONDS)
                self.record.read()
        if self._process is not None:
            await self.proxy.start()
            self.is_running = True

    def _begin_process(self) -> None:
        orders = msgspec.json.encode(self._orders).decode()
        with open(pathlib.Path(self._orders.record).with_suffix(".log"), "ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", platform_target.__name__, orders],
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": str(platform_fleet.ROOT)},
            )

    @property
    def is_busy(self) -> bool:
        """Whether it works on a request."""
        self.record.read()
        return self.record.is_busy

    def write_heartbeat(self) -> bytes:
        """The next word of its load."""
        self._sequence += 1
        values = {
            "service": self.pool,
            "addr": self._orders.address,
            "zone": self.hall,
            "slots": 48,
            "state": "draining" if self.state == "draining" else "ready",
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        return json.dumps(values).encode()

    def write_leave(self) -> bytes:
        """Its word that it goes now."""
        return json.dumps({"born": self._born}).encode()

    def switch(self, switches: platform_target.Switches) -> None:
        """Switch faults of its process on or off."""
        if self._process is not None and self._process.stdin is not None:
            with contextlib.suppress(BrokenPipeError):
                self._process.stdin.write(msgspec.json.encode(switches) + b"\n")
                self._process.stdin.flush()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process, if it runs."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End its process at once, with its connections, and take what it wrote down."""
        self.proxy.stop()
        self.is_running = False
        if self._process is None:
            return
        self._process.kill()
        self._process.wait()
        if self._process.stdin is not None:
            with contextlib.suppress(BrokenPipeError):
                self._process.stdin.close()
        self._process = None
        self.record.read()
        self.record.record_crash()


class Targets:
    """All targets of a soak.

    Parameters
    ----------
    folder : pathlib.Path
        For records and logs.
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
        self,
        folder: pathlib.Path,
        net: int,
        seen: platform_checker.Observations,
        tell: Tell,
        rng: random.Random,
    ) -> None:
        self._folder = folder
        self._net = net
        self._seen = seen
        self._tell = tell
        self._rng = rng
        self._targets: dict[str, Target] = {}
        self._number = 0
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Start as many as each pool has."""
        pools = ["llm"] * RUNNERS + ["app"] * SERVICES
        await asyncio.gather(*(self.add(pool) for pool in pools))

    async def add(self, pool: str) -> None:
        """Start a target."""
        self._number += 1
        number = self._number
        place = f"{number // 200}.{1 + number % 200}:9000"
        told, listens = f"127.{self._net + 2}.{place}", f"127.{self._net + 3}.{place}"
        is_runner = pool == "llm"
        orders = platform_target.Orders(
            f"i-{number}",
            told,
            listens,
            str(self._folder / f"i-{number}.record"),
            length=STREAM_LENGTH if is_runner else 0,
            pace=STREAM_PACE,
            copy_seconds=COPY_SECONDS,
        )
        hall = platform_fleet.HALLS[number % 4]
        proxy = forwarder.Forwarder(told, listens, self._rng)
        target = Target(orders, pool, hall, proxy)
        works_on = is_runner and self._rng.random() < WORKS_ON_SHARE
        self._targets[target.target_id] = target
        self._seen.ran[target.target_id] = target.record.ran
        self._seen.rejected[target.target_id] = target.record.rejected
        await target.start()
        target.switch(platform_target.Switches({"works_on": works_on}))
        target.beating = self._loop.create_task(self._beat(target))

    async def _beat(self, target: Target) -> None:
        while target.target_id in self._targets:
            if target.is_running and not target.is_paused:
                path = f"/Instances.Heartbeat/{target.target_id}"
                await self._tell(path, target.write_heartbeat)
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1))

    def end(self, target: Target) -> None:
        """End a target at once, if it has not ended."""
        if self._targets.pop(target.target_id, None) is not None:
            target.kill()

    def list_running(self) -> list[str]:
        """Ids of the targets that have not ended."""
        return list(self._targets)

    def end_all(self) -> None:
        """End all targets."""
        for target in list(self._targets.values()):
            self.end(target)
            if target.beating is not None:
                target.beating.cancel()

    def _draw(self, pool: str = "") -> Target:
        running = [item for item in self._targets.values() if item.is_running]
        found = [item for item in running if pool in ("", item.pool)]
        return self._rng.choice(found)

    # Planned work

    async def drain(self) -> None:
        """A new target comes, then one of its pool drains, serves on for a while and ends."""
        await self._drain(self._draw())

    async def drain_runner(self) -> None:
        """The same with a runner, so that runs move."""
        await self._drain(self._draw("llm"))

    async def _drain(self, target: Target) -> None:
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
        await self._tell(f"/Instances.Leave/{target.target_id}", target.write_leave)
        self.end(target)

    # Limits

    async def name_limit(self, rng: random.Random) -> None:
        """A target of the plain service names a limit for a while."""
        found = [item for item in self._targets.values() if item.is_running and item.pool == "app"]
        target, limit = rng.choice(found), rng.choice(NAMED_LIMITS)
        starts = target.record.starts
        target.switch(platform_target.Switches({"limit": limit}))
        began = self._loop.time()
        until = began + rng.uniform(*LIMIT_SECONDS)
        while self._loop.time() < until and target.is_running and target.record.starts == starts:
            await asyncio.sleep(0.05)
        named = platform_checker.NamedLimit(
            target.target_id, float(limit), began, self._loop.time()
        )
        self._seen.limits.append(named)
        target.switch(platform_target.Switches({"limit": ""}))

    # Back-off and leaving, told in answers

    async def ask_backoff(self, rng: random.Random) -> None:
        """A target turns all requests away for a while, and asks for back-off."""
        target = rng.choice([item for item in self._targets.values() if item.is_running])
        backoff = rng.choice(BACKOFFS)
        target.switch(platform_target.Switches({"refuses": True, "backoff": backoff}))
        await asyncio.sleep(rng.uniform(*BACKOFF_SECONDS))
        target.switch(platform_target.Switches({"refuses": False, "backoff": ""}))
        self._seen.backoffs += 1

    async def leave_by_answers(self, rng: random.Random) -> None:
        """A new target comes; another one says in answers only that it leaves, and ends."""
        ready = [
            item for item in self._targets.values() if item.is_running and item.state == "ready"
        ]
        target = rng.choice(ready)
        target.state = "leaving by answers"
        await self.add(target.pool)
        told = platform_checker.Leaving(target.target_id, self._loop.time())
        self._seen.announced_in_responses.append(told)
        target.switch(platform_target.Switches({"leaving": "1"}))
        until = self._loop.time() + 2 * NOTICE_SECONDS
        while self._loop.time() < until or (self._seen.planned_only and target.is_busy):
            await asyncio.sleep(0.05)
        await self._tell(f"/Instances.Leave/{target.target_id}", target.write_leave)
        self.end(target)

    # Harm

    async def crash(self) -> None:
        """A target ends, and another one comes."""
        target = self._draw()
        self.end(target)
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        await self.add(target.pool)

    async def start_again(self) -> None:
        """A target ends, and starts again under its id."""
        target = self._draw()
        if target.state != "ready":
            return
        target.kill()
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        if target.target_id in self._targets:
            await target.start()

    async def pause(self) -> None:
        """A target's process stands still for a while."""
        target = self._draw()
        with self._record_link_fault(target):
            target.is_paused = True
            target.send(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(*HARM_SECONDS))
            target.send(signal.SIGCONT)
            target.is_paused = False

    async def harm_way(self) -> None:
        """The way to a target is harmed."""
        await self._harm_way(self._draw())

    async def _harm_way(self, target: Target) -> None:
        with self._record_link_fault(target):
            target.proxy.inject(self._rng.choice(list(forwarder.LinkFault)[1:]))
            await asyncio.sleep(self._rng.uniform(*HARM_SECONDS))
            target.proxy.inject(forwarder.LinkFault.NONE)

    @contextlib.contextmanager
    def _record_link_fault(self, target: Target) -> Iterator[None]:
        """Note a span in which entries do not reach a target."""
        spans = self._seen.link_fault_spans.setdefault(target.target_id, [])
        began, place = self._loop.time(), len(spans)
        spans.append((began, float("inf")))
        try:
            yield
        finally:
            spans[place] = (began, self._loop.time())

    async def break_connections(self) -> None:
        """The connections to a runner break, and new ones come about."""
        self._break_connections(self._draw("llm"))

    def _break_connections(self, target: Target) -> None:
        if self._rng.random() < 0.5:
            target.proxy.orphan()
        else:
            target.switch(platform_target.Switches(resets=True))

    async def misbehave(self) -> None:
        """A target answers wrongly, late or not at all for a while."""
        await self._misbehave(self._draw(), self._rng.choice(MISDEEDS))

    async def _misbehave(self, target: Target, fields: dict[str, Any]) -> None:
        """Set fields of a target for a while, then set them back to nothing."""
        target.switch(platform_target.Switches(fields))
        await asyncio.sleep(self._rng.uniform(*HARM_SECONDS))
        back = {name: type(value)() for name, value in fields.items()}
        target.switch(platform_target.Switches(back))

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
        fields = self._rng.choice(({"is_mute": True}, {"reading_seconds": 1.5}))
        for target in list(self._targets.values()):
            if target is not leaves and target.pool == leaves.pool:
                yield self._misbehave(target, fields)

    def _harm_leaving(self, leaves: Target) -> Iterator[Awaitable[None]]:
        yield self._harm_way(leaves)

    def _break_leaving(self, leaves: Target) -> Iterator[Awaitable[None]]:
        async def break_off() -> None:
            await asyncio.sleep(self._rng.uniform(*BREAK_SECONDS))
            self._break_connections(leaves)

        yield break_off()
