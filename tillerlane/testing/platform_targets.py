"""The soak's simulated targets: processes behind forwarders, and the faults injected into them.

Spans of link faults are recorded for the checker, which allows for them. Faults of a target itself
excuse nothing.
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
    broken_answers,
    check,
    forwarder,
    platform_checker,
    platform_fleet,
    platform_record,
    platform_runner,
    platform_target,
)

__all__ = ["STREAM_LENGTH", "Target", "Targets"]

FIRST_VERSION = "v1"
"""Version of the software of the initial targets."""
RUNNERS = 4
SERVICES = 3
STREAM_LENGTH = 80
STREAM_EVENT_SECONDS = 0.03
COPY_SECONDS = 0.1
HEARTBEAT_INTERVAL_SECONDS = 1.2
"""The platform's usual interval between heartbeats."""
DRAIN_NOTICE_SECONDS = 2.0
"""Time from a runner's announcement that it drains to its exit."""
EXIT_CHECK_SECONDS = 0.02
REGULAR_CLOSE_SHARE = 0.5
"""Share of the killed processes whose connections end regularly instead of with a reset."""
FORGETTING_SHARE = 0.5
"""Share of the runners that know no run any more that they have stopped."""
LOST_ANSWER_SHARE = 0.5
"""Share of the leaving runners that lose answers to orders to stop runs."""
MAX_LOST_ANSWERS = 4
"""Number of such answers that a runner loses, at most."""
LOST_COPY_SHARE = 0.25
"""Share of these runners that lose an answer to an order to copy a run too."""
CLOSE_DELIMITED_SHARE = 0.6
"""Additional share of the targets with close-delimited answers, in runs with many of them."""
REPLACEMENT_SECONDS = 3.0
"""Time from the exit of a target's process until another one is started."""
DETACHED_RUN_SHARE = 0.5
"""Share of the runners that continue a run when its connection closes."""
FAULT_SECONDS = (0.2, 4.0)
ANNOUNCED_LIMITS = ("1.5", "3", "6")
"""Limits that targets announce, in requests per second."""
LIMIT_SECONDS = (6.0, 12.0)
"""How long a target announces one: longer than the time until it takes effect plus the window that
is checked."""
BACKOFFS = ("1", "2.5", "4")
"""Back-off that targets request, in seconds."""
BACKOFF_SECONDS = (1.0, 8.0)
"""How long a target rejects requests."""
CONNECTION_BREAK_DELAY_SECONDS = (0.0, 0.6)
"""Time from a runner's announcement that it drains to the break of its connections."""
SECOND_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"
TARGET_FAULTS: tuple[dict[str, Any], ...] = (
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
"""Temporary faults of a target, as attributes of `platform_runner.PlatformRunner`."""
START_SECONDS = check.MODULE_TIMEOUT_SECONDS / 2
"""Longest wait for a process that is still starting.  Importing its modules takes 0.3 s of a core,
and on a machine with several times as many runnable processes as cores it may get that only after
20 s.  Half of a test module's time limit leaves the module time to report the failure itself."""
START_CHECK_SECONDS = 0.02
LOG_TAIL_BYTES = 2_000
"""Bound on the part of an exited target's log that is reported."""

Notify = Callable[[str, Callable[[], bytes]], Awaitable[bool]]


class Target:
    """A simulated target: a process with its record, behind a forwarder.

    Parameters
    ----------
    orders : platform_target.Orders
        Start-up parameters of its process.
    pool, hall : str
        Its pool and its data hall.
    proxy : forwarder.Forwarder
        Forwarder through which entries and other targets reach it.
    """

    def __init__(
        self, orders: platform_target.Orders, pool: str, hall: str, proxy: forwarder.Forwarder
    ) -> None:
        self.target_id = orders.target_id
        self.pool = pool
        self.hall = hall
        self.proxy = proxy
        self.state = "ready"
        self.host_number = 0
        """Determines its address."""
        self.serving: platform_checker.Serving | None = None
        self.is_running = False
        """Whether its process is listening."""
        self.is_paused = False
        self.heartbeats: asyncio.Task[None] | None = None
        self.software_version = orders.software_version
        self.record = platform_record.Reader(
            pathlib.Path(orders.record), orders.target_id, orders.software_version
        )
        self.framing = orders.framing
        self._orders = orders
        self._sequence = 0
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start its process and wait until it listens or has been killed.

        Raises
        ------
        RuntimeError
            If the process exits before it listens.
        TimeoutError
            If it is still starting after `START_SECONDS`.
        """
        self._orders.started_ms = int(time.time() * 1000)
        self._sequence = 0
        starts = self.record.starts
        self._start_process()
        async with asyncio.timeout(START_SECONDS):
            while self._process is not None and self.record.starts == starts:
                await asyncio.sleep(START_CHECK_SECONDS)
                self._check_process()
                self.record.read()
        if self._process is not None:
            await self.proxy.start()
            self.is_running = True

    @property
    def _log(self) -> pathlib.Path:
        return pathlib.Path(self._orders.record).with_suffix(".log")

    def _check_process(self) -> None:
        """Fail if its process has exited by itself."""
        status = self._process.poll() if self._process is not None else None
        if status is not None:
            lines = self._log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")
            message = f"{self.target_id} exited with status {status} while starting:\n{lines}"
            raise RuntimeError(message)

    def _start_process(self) -> None:
        orders = msgspec.json.encode(self._orders).decode()
        with open(self._log, "ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", platform_target.__name__, orders],
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": str(platform_fleet.ROOT)},
            )

    @property
    def has_exited(self) -> bool:
        """Whether its process has exited by itself."""
        return self._process is not None and self._process.poll() is not None

    @property
    def is_busy(self) -> bool:
        """Whether it is processing a request."""
        self.record.read()
        return self.record.is_busy

    def encode_heartbeat(self) -> bytes:
        """Build the next heartbeat."""
        self._sequence += 1
        values = {
            "service": self.pool,
            "addr": self._orders.address,
            "zone": self.hall,
            "version": self.software_version,
            "slots": 48,
            "state": "draining" if self.state == "draining" else "ready",
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self._orders.started_ms,
        }
        return json.dumps(values).encode()

    def encode_leave(self) -> bytes:
        """Build the message that it leaves now."""
        return json.dumps({"born": self._orders.started_ms}).encode()

    def switch(self, switches: platform_target.Switches) -> None:
        """Switch faults of its process on or off."""
        if self._process is not None and self._process.stdin is not None:
            with contextlib.suppress(BrokenPipeError):
                self._process.stdin.write(msgspec.json.encode(switches) + b"\n")
                self._process.stdin.flush()

    def stop_serving(self) -> None:
        """Record that it leaves or has ended."""
        if self.serving is not None:
            now = asyncio.get_running_loop().time()
            self.serving.ended = min(self.serving.ended, now)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process, if it runs."""
        if self._process is not None:
            self._process.send_signal(number)

    def change_software(self, version: str) -> None:
        """Set the version of the software of its next start."""
        self.software_version = version
        self._orders = msgspec.structs.replace(self._orders, software_version=version)

    def kill(self, *, is_regular: bool = False) -> None:
        """Kill its process, and read the rest of its record.

        Its connections are reset before or, with `is_regular`, end as the killed process's host
        ends them: regularly, after all that was written.
        """
        if is_regular:
            self.proxy.stop_listening()
        else:
            self.proxy.stop()
        self.is_running = False
        self.stop_serving()
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
        Folder for records and logs.
    net : int
        Second byte of the fleet's addresses; targets use the two following values.
    seen : platform_checker.Observations
        Receives their runs and the spans of link faults.
    notify : callable
        Coroutine function that sends a message to the keepers.
    rng, framing_rng : random.Random
        Choose the faults, and the framing of answers and how connections of killed processes end.
    handover_rng : random.Random
        Chooses how runners answer orders to stop runs.
    are_close_delimited : bool
        Whether most targets send answers with neither a length nor chunks.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        net: int,
        seen: platform_checker.Observations,
        notify: Notify,
        rng: random.Random,
        framing_rng: random.Random,
        handover_rng: random.Random,
        *,
        are_close_delimited: bool = False,
    ) -> None:
        self._folder = folder
        self._net = net
        self._seen = seen
        self._notify = notify
        self._rng = rng
        self._framing_rng = framing_rng
        self._handover_rng = handover_rng
        self._are_close_delimited = are_close_delimited
        self.lost_answers = 0
        """Number of leaving runners that lose answers to orders."""
        self._targets: dict[str, Target] = {}
        self._number = 0
        self._releases = 0
        self._poison_parts: list[str] = []
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Start the initial targets of each pool."""
        pools = ["llm"] * RUNNERS + ["app"] * SERVICES
        await asyncio.gather(*(self.add(pool) for pool in pools))

    async def add(
        self, pool: str, software_version: str = FIRST_VERSION, host_number: int = 0
    ) -> None:
        """Start a target, at the address of an earlier one if its `host_number` is given."""
        self._number += 1
        number = self._number
        host_number = host_number or number
        host_part = f"{host_number // 200}.{1 + host_number % 200}:9000"
        public_address, listen_address = (
            f"127.{self._net + 2}.{host_part}",
            f"127.{self._net + 3}.{host_part}",
        )
        is_runner = pool == "llm"
        orders = platform_target.Orders(
            f"i-{number}",
            public_address,
            listen_address,
            str(self._folder / f"i-{number}.record"),
            length=STREAM_LENGTH if is_runner else 0,
            pace=STREAM_EVENT_SECONDS,
            copy_seconds=COPY_SECONDS,
            software_version=software_version,
            framing=self._choose_framing(),
        )
        hall = platform_fleet.HALLS[number % 4]
        proxy = forwarder.Forwarder(public_address, listen_address, self._rng)
        target = Target(orders, pool, hall, proxy)
        target.host_number = host_number
        works_on = is_runner and self._rng.random() < DETACHED_RUN_SHARE
        self._targets[target.target_id] = target
        self._seen.ran[target.target_id] = target.record.ran
        self._seen.rejected[target.target_id] = target.record.rejected
        self._seen.broken[target.target_id] = target.record.broken
        await target.start()
        if is_runner:
            self._record_serving(target)
        forgets = self._handover_rng.random() < FORGETTING_SHARE
        switches = {"works_on": works_on, "forgets_stopped_runs": forgets}
        target.switch(platform_target.Switches(switches))
        if is_runner and self._poison_parts:
            target.switch(platform_target.Switches({"poison_parts": self._poison_parts}))
        target.heartbeats = self._loop.create_task(self._send_heartbeats(target))

    def _choose_framing(self) -> broken_answers.Framing:
        framing = self._framing_rng.choice(list(broken_answers.Framing))
        is_changed = self._handover_rng.random() < CLOSE_DELIMITED_SHARE
        return broken_answers.Framing.CLOSE if self._are_close_delimited and is_changed else framing

    def _record_serving(self, target: Target) -> None:
        target.serving = platform_checker.Serving(
            target.target_id, target.software_version, self._loop.time()
        )
        self._seen.serving.append(target.serving)

    async def _send_heartbeats(self, target: Target) -> None:
        while target.target_id in self._targets:
            if target.is_running and not target.is_paused:
                path = f"/Instances.Heartbeat/{target.target_id}"
                await self._notify(path, target.encode_heartbeat)
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1))

    def end(self, target: Target) -> None:
        """Kill a target, if it has not been ended before."""
        if self._targets.pop(target.target_id, None) is not None:
            target.kill(is_regular=self._framing_rng.random() < REGULAR_CLOSE_SHARE)

    async def restart(self, target: Target, seconds: float, version: str = "") -> None:
        """Kill a target and restart it under the same id, with other software if given."""
        target.kill(is_regular=self._framing_rng.random() < REGULAR_CLOSE_SHARE)
        await asyncio.sleep(seconds)
        if target.target_id not in self._targets or target.is_running:
            return
        if version:
            target.change_software(version)
        await target.start()
        if version and target.pool == "llm":
            self._record_serving(target)

    def list_versions(self) -> list[str]:
        """Versions of the software of the runners, the first one, and one that never ran."""
        versions = {item.software_version for item in self._list_running("llm")}
        return [*sorted(versions | {FIRST_VERSION}), f"{FIRST_VERSION}.0"]

    def read_records(self) -> None:
        """Read what the running targets have recorded since the last call."""
        for target in self._targets.values():
            target.record.read()

    def list_running(self) -> list[str]:
        """Ids of the targets that have not been ended."""
        return list(self._targets)

    def end_all(self) -> None:
        """Kill all targets."""
        for target in list(self._targets.values()):
            self.end(target)
            if target.heartbeats is not None:
                target.heartbeats.cancel()

    def _list_running(self, pool: str = "", state: str = "") -> list[Target]:
        running = [item for item in self._targets.values() if item.is_running]
        return [item for item in running if pool in ("", item.pool) and state in ("", item.state)]

    async def wait_for_running(self, pool: str = "", state: str = "") -> list[Target]:
        """Wait until a target runs: on a busy host, all of a pool may be starting."""
        while not (found := self._list_running(pool, state)):
            await asyncio.sleep(START_CHECK_SECONDS)
        return found

    async def _pick_target(self, pool: str = "") -> Target:
        return self._rng.choice(await self.wait_for_running(pool))

    # Poison parts of prompts

    def set_poison_parts(self, parts: list[str]) -> None:
        """Have all runners, now and later, exit under requests with any of these parts."""
        self._poison_parts = list(parts)
        for target in self._targets.values():
            if target.pool == "llm":
                target.switch(platform_target.Switches({"poison_parts": self._poison_parts}))

    async def replace_exited(self) -> None:
        """Replace targets whose processes have exited by themselves, until cancelled."""
        replacing: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(EXIT_CHECK_SECONDS)
            for target in list(self._targets.values()):
                if target.is_running and target.has_exited:
                    self.end(target)
                    task = self._loop.create_task(self._replace(target))
                    replacing.add(task)
                    task.add_done_callback(replacing.discard)

    async def _replace(self, target: Target) -> None:
        await asyncio.sleep(REPLACEMENT_SECONDS)
        await self.add(target.pool, target.software_version)

    # Planned work

    async def drain(self) -> None:
        """Start a new target, then drain and end another one of the same pool."""
        await self._drain(await self._pick_target())

    async def drain_runner(self, rng: random.Random | None = None) -> None:
        """Drain a runner, so that its runs are handed over, if one is running."""
        if found := self._list_running("llm", "ready"):
            await self._drain((rng or self._rng).choice(found))

    async def _drain(self, target: Target) -> None:
        await self.add(target.pool, target.software_version)
        if target.state == "ready":
            await self._leave(target)

    async def release(self, rng: random.Random) -> None:
        """Replace some runners, one after the other, by runners of a new software version."""
        self._releases += 1
        version = f"{FIRST_VERSION}.{self._releases}"
        for _ in range(rng.randrange(1, RUNNERS)):
            await self.add("llm", version)
            former = [
                item
                for item in self._targets.values()
                if item.is_running
                and item.pool == "llm"
                and item.state == "ready"
                and item.software_version != version
            ]
            if not former:
                return
            await self._leave(rng.choice(former))

    async def _leave(self, target: Target) -> None:
        target.state = "draining"
        target.stop_serving()
        self._lose_answers(target)
        path = f"/Instances.Heartbeat/{target.target_id}"
        if await self._notify(path, target.encode_heartbeat):
            leaving = platform_checker.Leaving(target.target_id, self._loop.time())
            self._seen.leavings.append(leaving)
        until = self._loop.time() + DRAIN_NOTICE_SECONDS
        while self._loop.time() < until or (self._seen.planned_only and target.is_busy):
            await asyncio.sleep(0.05)
        await self._notify(f"/Instances.Leave/{target.target_id}", target.encode_leave)
        self.end(target)

    def _lose_answers(self, target: Target) -> None:
        """Have some leaving runners lose answers to orders about their runs."""
        rng = self._handover_rng
        if target.pool != "llm" or self._seen.planned_only or rng.random() >= LOST_ANSWER_SHARE:
            return
        fields = {
            "lost_answer": rng.choice(list(platform_runner.LostAnswer)),
            "loses_stop_answers": rng.randrange(1, MAX_LOST_ANSWERS + 1),
            "loses_copy_answers": int(rng.random() < LOST_COPY_SHARE),
        }
        target.switch(platform_target.Switches(fields))
        self.lost_answers += 1

    # Limits

    async def name_limit(self, rng: random.Random) -> None:
        """Have a target of the plain service announce a limit for a while."""
        found = await self.wait_for_running("app")
        target, limit = rng.choice(found), rng.choice(ANNOUNCED_LIMITS)
        starts = target.record.starts
        target.switch(platform_target.Switches({"limit": limit}))
        began = self._loop.time()
        until = began + rng.uniform(*LIMIT_SECONDS)
        while self._loop.time() < until and target.is_running and target.record.starts == starts:
            await asyncio.sleep(0.05)
        announced = platform_checker.AnnouncedLimit(
            target.target_id, float(limit), began, self._loop.time()
        )
        self._seen.limits.append(announced)
        target.switch(platform_target.Switches({"limit": ""}))

    # Back-off and leaving, announced in responses

    async def ask_backoff(self, rng: random.Random) -> None:
        """Have a target reject all requests for a while, and request back-off."""
        target = rng.choice(await self.wait_for_running())
        backoff = rng.choice(BACKOFFS)
        target.switch(platform_target.Switches({"refuses": True, "backoff": backoff}))
        await asyncio.sleep(rng.uniform(*BACKOFF_SECONDS))
        target.switch(platform_target.Switches({"refuses": False, "backoff": ""}))
        self._seen.backoffs += 1

    async def leave_by_answers(self, rng: random.Random) -> None:
        """Start a new target; another one announces in responses only that it leaves, and ends."""
        target = rng.choice(await self.wait_for_running(state="ready"))
        target.state = "leaving by answers"
        target.stop_serving()
        await self.add(target.pool, target.software_version)
        leaving = platform_checker.Leaving(target.target_id, self._loop.time())
        self._seen.announced_in_responses.append(leaving)
        target.switch(platform_target.Switches({"leaving": "1"}))
        until = self._loop.time() + 2 * DRAIN_NOTICE_SECONDS
        while self._loop.time() < until or (self._seen.planned_only and target.is_busy):
            await asyncio.sleep(0.05)
        await self._notify(f"/Instances.Leave/{target.target_id}", target.encode_leave)
        self.end(target)

    # Faults
    async def crash(self) -> None:
        """Crash a target and start a replacement."""
        target = await self._pick_target()
        self.end(target)
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        await self.add(target.pool, target.software_version)

    async def replace_software(self, rng: random.Random) -> None:
        """Crash a runner, and start one with another id and version at its address."""
        found = await self.wait_for_running("llm")
        target = rng.choice(found)
        versions = self.list_versions()
        self.end(target)
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        await self.add("llm", rng.choice(versions), target.host_number)

    async def change_software(self, rng: random.Random) -> None:
        """Kill a runner, and restart it under the same id with other software."""
        target = rng.choice(await self.wait_for_running("llm", "ready"))
        await self.restart(target, rng.uniform(0.0, 1.0), rng.choice(self.list_versions()))

    async def start_again(self) -> None:
        """Crash a target and restart it under the same id."""
        target = await self._pick_target()
        if target.state != "ready":
            return
        await self.restart(target, self._rng.uniform(0.1, 2.0))

    async def pause(self) -> None:
        """Suspend a target's process for a while."""
        target = await self._pick_target()
        with self._record_link_fault(target):
            target.is_paused = True
            target.send(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(*FAULT_SECONDS))
            target.send(signal.SIGCONT)
            target.is_paused = False

    async def harm_way(self) -> None:
        """Inject a link fault in front of a target."""
        await self._inject_link_fault(await self._pick_target())

    async def _inject_link_fault(self, target: Target) -> None:
        with self._record_link_fault(target):
            target.proxy.inject(self._rng.choice(list(forwarder.LinkFault)[1:]))
            await asyncio.sleep(self._rng.uniform(*FAULT_SECONDS))
            target.proxy.inject(forwarder.LinkFault.NONE)

    @contextlib.contextmanager
    def _record_link_fault(self, target: Target) -> Iterator[None]:
        """Record the span in which entries may not reach a target."""
        spans = self._seen.link_fault_spans.setdefault(target.target_id, [])
        began, index = self._loop.time(), len(spans)
        spans.append((began, float("inf")))
        try:
            yield
        finally:
            spans[index] = (began, self._loop.time())

    async def break_connections(self) -> None:
        """Break the connections to a runner; new ones can be established."""
        self._break_connections(await self._pick_target("llm"))

    def _break_connections(self, target: Target) -> None:
        if self._rng.random() < 0.5:
            target.proxy.orphan()
        else:
            target.switch(platform_target.Switches(resets=True))

    async def silence_connections(self, rng: random.Random) -> None:
        """Have the open connections to a target carry nothing more; new ones work."""
        target = rng.choice(await self.wait_for_running())
        self._seen.silenced.setdefault(target.target_id, []).append(self._loop.time())
        target.proxy.silence()

    async def misbehave(self) -> None:
        """Have a target respond wrongly, late or not at all for a while."""
        await self._misbehave(await self._pick_target(), self._rng.choice(TARGET_FAULTS))

    async def _misbehave(self, target: Target, fields: dict[str, Any]) -> None:
        """Set attributes of a target for a while, then reset them to empty values."""
        target.switch(platform_target.Switches(fields))
        await asyncio.sleep(self._rng.uniform(*FAULT_SECONDS))
        reset_fields = {name: type(value)() for name, value in fields.items()}
        target.switch(platform_target.Switches(reset_fields))

    async def leave_badly(self) -> None:
        """Drain a runner while it, the link to it or the remaining runners have faults."""
        leaving = await self._pick_target("llm")
        await self.add("llm", leaving.software_version)
        if leaving.state != "ready":
            return
        inject = self._rng.choice(
            (self._inject_into_others, self._inject_into_link, self._break_leaving)
        )
        tasks = [self._loop.create_task(item) for item in inject(leaving)]
        await self._leave(leaving)
        await asyncio.gather(*tasks)

    def _inject_into_others(self, leaving: Target) -> Iterator[Awaitable[None]]:
        fields = self._rng.choice(({"is_mute": True}, {"reading_seconds": 1.5}))
        for target in list(self._targets.values()):
            if target is not leaving and target.pool == leaving.pool:
                yield self._misbehave(target, fields)

    def _inject_into_link(self, leaving: Target) -> Iterator[Awaitable[None]]:
        yield self._inject_link_fault(leaving)

    def _break_leaving(self, leaving: Target) -> Iterator[Awaitable[None]]:
        async def break_off() -> None:
            await asyncio.sleep(self._rng.uniform(*CONNECTION_BREAK_DELAY_SECONDS))
            self._break_connections(leaving)

        yield break_off()
