"""A randomized soak test of the platform's programs: real processes with faults injected.

Callers and operators run in this process and record what they observe; targets are processes that
keep their own records (`platform_targets`); `platform_checker` evaluates them. The seed determines
the faults. Of three consecutive seeds, one does planned work only, under which nothing may fail,
and one injects faults into targets and their links only, so that many runs are handed over under
faults. Clock faults are not covered here: the programs use the monotonic clock, and the wall clock
only stamps their logs, so jumps of it are tested in virtual time (`gateway_lab`). Storage faults
are wiped disks and torn writes, injected while a process is not running.
"""

import argparse
import asyncio
import json
import pathlib
import random
import re
import signal
import sys
from collections.abc import Awaitable, Callable

from tillerlane.gateway.http import http_client, http_head
from tillerlane.testing import (
    answer_faults,
    caller,
    forwarder,
    gateway_lab,
    loopback,
    platform_checker,
    platform_fleet,
    platform_targets,
    poisoned_prompts,
    repeats,
    resumed_streams,
    rushes,
)

__all__ = ["PlatformSoak", "run_seed"]

KEEPERS = 5
ENTRIES = 4
STREAM_TOKENS = "1500,320"
CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call from a target or an operator to a keeper."""
EXTENSION_CHECK_SECONDS = 0.5
BALANCER_INTERVAL_SECONDS = 1.0
BALANCER_MISSES = 2
"""The platform's load balancer polls each second and removes an entry after two failed checks."""
CHANGE_INTERVAL_SECONDS = 1.5
FAULT_PAUSE_SECONDS = (0.3, 2.0)
LIMIT_PAUSE_SECONDS = (1.0, 4.0)
"""Pause between the limits that targets announce one after another."""
HANDOVER_PAUSE_SECONDS = (1.0, 3.0)
"""Pause between runners that leave, in runs with many close-delimited answers."""
RELEASE_PAUSE_SECONDS = (1.0, 4.0)
"""Pause between operations after which runners have several software versions."""
LEAVING_SHARE = 0.25
LEAVING_SECONDS = (0.4, 2.0)
"""Share of callers that lose their connection in the middle of a stream, and when."""
KEPT_SHARE = 0.5
"""Share of these that leave the connection open while they resume the stream."""
CALLER_SECONDS = 10.0
"""Time of a caller over all attempts."""
FEEDBACK_PAUSE_SECONDS = (2.0, 5.0)
"""Pause between targets that request back-off or announce in responses that they leave."""
OUTLASTING_SHARE = 5 / 6
"""Share of its grace period after which an entry may cut a request that a target is still
processing; the platform's documents count such a request as too long, not as cut."""
WIPE_PAUSE_SECONDS = 10.0
"""Minimum time between two wipes, so that a keeper catches up before the next one is wiped."""
POISON_PAUSE_SECONDS = (1.0, 8.0)
"""Pause between two parts of prompts that begin to end runners."""
OUTAGE_PAUSE_SECONDS = (3.0, 7.0)
"""Pause between two outages of all entries, from when an entry is ready again."""
OUTAGE_SERIES_SHARE = 0.25
"""Share of the outages that do not wait for that."""
RELEASE_LEAD_SECONDS = (0.0, 3.0)
"""Time from a release to an outage."""
OUTAGE_SECONDS = (0.5, 2.5)
OUTAGE_CHECK_SECONDS = 0.1
EXIT_CHECK_SECONDS = 0.02
STREAM_CALLERS = 12
"""Additional callers of streams that they resume, where all entries are killed."""
SILENCE_PAUSE_SECONDS = (1.0, 4.0)
"""Pause between connections that fall silent."""
RUSH_PAUSE_SECONDS = (4.0, 8.0)
RUSH_SECONDS = 5.0
"""How long the load balancer hands all new connections to one entry."""
RUSH_CHECK_SECONDS = 0.1
RUSH_CALLERS = 16
"""Callers that come in addition, as many as there are otherwise."""
RECOVERY_SECONDS = 15.0
"""Time without faults at the end, within which the fleet must recover and have the newest
configuration."""
READY_TIMEOUT_SECONDS = 60.0
TASK_SHUTDOWN_SECONDS = 0.2
"""Time for the tasks of closed connections to finish."""
Fault = Callable[[], Awaitable[None]]
Release = Callable[[random.Random], Awaitable[None]]
_SHED = re.compile(r"^tillerlane_shed_connections (\S+)$", re.MULTILINE)
_VERSION = re.compile(r"^tillerlane_config_version (\S+)$", re.MULTILINE)


async def fetch(address: str, method: bytes, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Call a daemon's own HTTP interface; the status is 0 without a response."""
    exchange = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            exchange = await http_client.connect(address, CALL_TIMEOUT_SECONDS)
            headers = [(b"Host", address.encode()), (b"Connection", b"close")]
            exchange.send(http_head.RequestHead(method, path.encode(), headers), body)
            head = await exchange.read_head()
            return head.status, await exchange.read_body(16 * 1024 * 1024)
    except (http_client.ExchangeError, TimeoutError):
        return 0, b""
    finally:
        if exchange is not None:
            exchange.abort()


class PlatformSoak:
    """One run of the soak.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, data and logs.
    seed : int
        Determines faults and callers, and which addresses are used if they are free.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self._rng = random.Random(seed)
        self._addresses = loopback.reserve(seed)
        net = self._addresses.net
        self.fleet = platform_fleet.PlatformFleet(
            folder, net, KEEPERS, ENTRIES, random.Random(seed)
        )
        self.seen = platform_checker.Observations(
            platform_targets.STREAM_LENGTH, planned_only=seed % 3 == 0
        )
        self._handover_rng = random.Random(f"handovers of {seed}")
        self._has_many_handovers = seed % 5 in (0, 2)
        self.targets = platform_targets.Targets(
            self.fleet.folder,
            net,
            self.seen,
            self._notify,
            self._rng,
            random.Random(f"framing of {seed}"),
            self._handover_rng,
            are_close_delimited=self._has_many_handovers,
        )
        self._targets_only = seed % 3 == 2
        self.seen.are_daemons_sound = self._targets_only or self.seen.planned_only
        self.done: dict[str, int] = {}
        """Number of injected faults by name."""
        self._number = 0
        self._version = 0
        self._stopping = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._unready_entries: set[str] = set()
        """Entries that the load balancer gives no new connections."""
        self._wiped_at = -WIPE_PAUSE_SECONDS
        self._work: set[asyncio.Task[None]] = set()

        self._limit_rng = random.Random(f"limits of {seed}")
        """A separate generator, so that limits do not change the faults of a seed."""
        self._feedback_rng = random.Random(f"advice of {seed}")
        self._release_rng = random.Random(f"releases of {seed}")
        self._prompts = poisoned_prompts.Prompts(random.Random(f"prompts of {seed}"))
        self._rush_rng = random.Random(f"rushes of {seed}")
        self._silence_rng = random.Random(f"silent connections of {seed}")
        self._outage_rng = random.Random(f"outages of {seed}")
        self._caller_rng = random.Random(f"callers of {seed}")
        self._answer_faults = answer_faults.AnswerFaults(
            self.targets,
            random.Random(f"answers of {seed}"),
            lambda work: self._start_task(self._record_fault(lambda: work)),
            self.done,
            is_endless_only=seed % 4 == 0,
        )
        self._has_rushes = seed % 2 == 1
        self._has_poison = seed % 2 == 1 and not self.seen.planned_only
        self._rush_entry = ""
        """Entry that gets all new connections; empty without a rush."""
        self.rushes: list[rushes.Rush] = []

    def _next(self) -> int:
        self._number += 1
        return self._number

    # Callers

    async def _notify(self, path: str, write: Callable[[], bytes]) -> bool:
        """Send a message to one keeper after another until one acknowledges it."""
        keepers = self.fleet.list_role("keeper")
        for keeper in self._rng.sample(keepers, len(keepers)):
            status, _ = await fetch(keeper.control, b"POST", path, write())
            if status == 200:
                return True
        return False

    async def _poll_readiness(self) -> None:
        """Poll the readiness of the entries each second, as the platform's load balancer does."""
        misses: dict[str, int] = {}
        while not self._stopping.is_set():
            for entry in self.fleet.list_role("entry"):
                status, _ = await fetch(entry.ready, b"GET", "/ready")
                misses[entry.name] = 0 if status == 200 else misses.get(entry.name, 0) + 1
                if misses[entry.name] >= BALANCER_MISSES:
                    self._unready_entries.add(entry.name)
                elif misses[entry.name] == 0:
                    self._unready_entries.discard(entry.name)
            await asyncio.sleep(BALANCER_INTERVAL_SECONDS)

    def _pick_entry(self) -> platform_fleet.Daemon:
        """Pick an entry that is in the load balancer's rotation; any entry if none is."""
        entries = self.fleet.list_role("entry")
        ready = [item for item in entries if item.name not in self._unready_entries]
        if self._rush_entry:
            return next((item for item in ready if item.name == self._rush_entry), entries[0])
        return self._rng.choice(ready or entries)

    async def _send_calls(self, *, only_in_rush: bool = False) -> None:
        while not self._stopping.is_set() and (self._rush_entry or not only_in_rush):
            route = self._rng.choice(("record", "verdict", "order", "order", "price"))
            await self._send_call(route, caller.KEY)
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))

    async def _send_streams(self) -> None:
        while not self._stopping.is_set():
            await self._send_call("verdict", caller.KEY)
            await asyncio.sleep(self._caller_rng.uniform(0.0, 0.2))

    async def _send_revoked(self) -> None:
        while not self._stopping.is_set():
            await asyncio.sleep(0.5)
            if self.seen.revoked:
                await self._send_call("order", self._rng.choice(list(self.seen.revoked)))

    async def _send_call(self, route: str, key: str) -> None:
        call = platform_checker.Call(f"r{self._next()}", route, key, self._loop.time())
        call.prompt = self._prompts.draw(call.request_id)
        leave_after, is_kept = None, False
        if route == "verdict" and self._release_rng.random() < LEAVING_SHARE:
            call.has_left = True
            leave_after = self._release_rng.uniform(*LEAVING_SECONDS)
            is_kept = self._caller_rng.random() < KEPT_SHARE
        sent = await self._send_attempt(call, leave_after, is_kept=is_kept)
        if sent is None or route != "verdict" or sent.response.is_whole:
            return
        if resumed_streams.find_last_event(sent.response.body):
            until = call.sent_at + CALLER_SECONDS
            await resumed_streams.resume(
                call, self._send_attempt, lambda: f"r{self._next()}", until, self._release_rng
            )

    async def _send_attempt(
        self,
        call: platform_checker.Call,
        leave_after: float | None = None,
        *,
        is_kept: bool = False,
    ) -> platform_checker.Call | None:
        """Send one attempt to any entry; None if no connection is established."""
        entry = self._pick_entry()
        call.entry = entry.name
        headers = {"Credential": call.key}
        if call.route in ("record", "verdict"):
            headers |= {"Model": "m", "Token_Counts": STREAM_TOKENS}
            headers["Prompt_Prefix"] = call.prompt
        if call.resumes:
            headers |= {"Last_Event_Id": str(call.last_event), "Resumes": call.resumes}
        is_read = call.route == "price"
        try:
            call.response = await caller.call(
                entry.front,
                call.route,
                call.request_id,
                method=b"GET" if is_read else b"POST",
                body=b"" if is_read else b"body",
                wait_ms=int(call.wait_seconds * 1000),
                leave_after=leave_after,
                keeps_connection=is_kept,
                **headers,
            )
            call.connected_at = call.response.connected_at
        except http_client.ExchangeError:
            return None  # the entry has not read it
        call.ended_at = self._loop.time()
        self.seen.calls.append(call)
        return call

    # Operators

    async def _send_changes(self) -> None:
        """Publish new versions periodically; each revokes the key that the previous one added."""
        while not self._stopping.is_set():
            await self._send_change()
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)

    async def _send_change(self) -> bool:
        self._version += self._rng.randrange(1, 4)
        version, former = self._version, self.seen.acknowledged[-1:]
        document = gateway_lab.build_document(version)
        document["tenants"][0]["api_keys"] = [caller.KEY, f"key-{version}"]
        self.seen.sent.append(version)
        body = json.dumps(document).encode()
        if not await self._notify("/Config.Put", lambda: body):
            return False
        self.seen.acknowledged.append(version)
        now = self._loop.time()
        for key in [f"key-{item}" for item in former]:
            self.seen.revoked.setdefault(key, now)
        return True

    async def _watch_versions(self) -> None:
        while not self._stopping.is_set():
            for daemon in self.fleet.daemons.values():
                start = daemon.starts
                status, text = await fetch(daemon.metrics, b"GET", "/metrics")
                if daemon.role == "entry" and start == daemon.starts:
                    peak = daemon.read_peak_memory()
                    former = self.seen.memory.get((daemon.name, start), 0)
                    self.seen.memory[daemon.name, start] = max(former, peak)
                match = _VERSION.search(text.decode()) if status == 200 else None
                if match is not None and start == daemon.starts:
                    versions = self.seen.in_force.setdefault((daemon.name, start), [])
                    versions.append(int(float(match.group(1))))
                    shed = _SHED.search(text.decode())
                    if shed is not None:
                        self.seen.shed[daemon.name, start] = int(float(shed.group(1)))
            await asyncio.sleep(0.2)

    # Faults

    async def _do_faults(self) -> None:
        """Start faults one after another; each runs as a task of its own, so that they overlap."""
        planned, unplanned = self._list_faults()
        faults = planned if self.seen.planned_only else planned + unplanned
        pending = [self.targets.drain_runner] if self._targets_only else []
        while not self._stopping.is_set():
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_SECONDS))
            fault = pending.pop() if pending else self._rng.choice(faults)
            name = fault.__qualname__.replace("PlatformSoak.", "").strip("_")
            self.done[name] = self.done.get(name, 0) + 1
            self._start_task(fault() if fault in planned else self._record_fault(fault))

    async def _announce_limits(self) -> None:
        """Have targets announce limits one after another, while callers keep up their load."""
        while not self._stopping.is_set():
            await asyncio.sleep(self._limit_rng.uniform(*LIMIT_PAUSE_SECONDS))
            await self.targets.name_limit(self._limit_rng)

    async def _send_feedback(self) -> None:
        """Have targets request back-off, and announce in responses that they leave."""
        while not self._stopping.is_set():
            await asyncio.sleep(self._feedback_rng.uniform(*FEEDBACK_PAUSE_SECONDS))
            operations = (self.targets.ask_backoff, self.targets.leave_by_answers)
            self._start_task(self._feedback_rng.choice(operations)(self._feedback_rng))

    async def _poison_prompts(self) -> None:
        """Have parts of prompts end the runners that begin to answer them."""
        replacing = self._start_task(self.targets.replace_exited())
        while not self._stopping.is_set():
            await asyncio.sleep(self._prompts.rng.uniform(*POISON_PAUSE_SECONDS))
            self._prompts.add_poison()
            self.targets.set_poison_parts(self._prompts.poison)
            self.done["poison"] = len(self._prompts.poison)
        self.targets.set_poison_parts([])
        replacing.cancel()

    async def _rush(self) -> None:
        """Have the load balancer hand all new connections to one entry, then to another."""
        while not self._stopping.is_set():
            await asyncio.sleep(self._rush_rng.uniform(*RUSH_PAUSE_SECONDS))
            chosen = self._rush_rng.sample(self.fleet.list_role("entry"), 2)
            self._rush_entry = chosen[0].name
            callers = [self._send_calls(only_in_rush=True) for _ in range(RUSH_CALLERS)]
            tasks = [asyncio.ensure_future(item) for item in callers]
            for entry in chosen:
                began, self._rush_entry = self._loop.time(), entry.name
                until = began + RUSH_SECONDS
                while self._loop.time() < until and entry.name not in self._unready_entries:
                    await asyncio.sleep(RUSH_CHECK_SECONDS)
                self.rushes.append(rushes.Rush(entry.name, began, self._loop.time()))
            self._rush_entry = ""
            self.done["rush"] = len(self.rushes)
            await asyncio.gather(*tasks)

    async def _silence_connections(self) -> None:
        """Have open connections carry nothing more, of a target or between daemons."""
        kinds = ["target"] if self._targets_only else ["target", "link"]
        while not self._stopping.is_set():
            await asyncio.sleep(self._silence_rng.uniform(*SILENCE_PAUSE_SECONDS))
            kind = self._silence_rng.choice(kinds)
            self.done[f"silent {kind}"] = self.done.get(f"silent {kind}", 0) + 1
            if kind == "target":
                await self.targets.silence_connections(self._silence_rng)
            else:
                self._silence_rng.choice(list(self.fleet.daemons.values())).proxy.silence()

    async def _hand_over_runs(self) -> None:
        """Have runners leave one after another, so that many runs are stopped and moved."""
        while not self._stopping.is_set():
            await asyncio.sleep(self._handover_rng.uniform(*HANDOVER_PAUSE_SECONDS))
            self.done["handover"] = self.done.get("handover", 0) + 1
            self._start_task(self.targets.drain_runner(self._handover_rng))

    async def _release_versions(self) -> None:
        """Have runners of several software versions serve side by side."""
        operations = [self.targets.release]
        if not self.seen.planned_only:
            operations.append(self.targets.replace_software)
        while not self._stopping.is_set():
            await asyncio.sleep(self._release_rng.uniform(*RELEASE_PAUSE_SECONDS))
            operation = self._release_rng.choice(operations)
            self.done[operation.__name__] = self.done.get(operation.__name__, 0) + 1
            work = operation(self._release_rng)
            is_planned = operation == self.targets.release
            self._start_task(work if is_planned else self._record_fault(lambda work=work: work))

    async def _lose_all(self) -> None:
        """Kill all entries at once, also with all keepers, around releases of other software."""
        rng = self._outage_rng
        releases = [
            self.targets.release,
            self.targets.replace_software,
            self.targets.change_software,
        ]
        while not self._stopping.is_set():
            await asyncio.sleep(rng.uniform(*OUTAGE_PAUSE_SECONDS))
            roles = rng.choice((("entry",), ("entry", "keeper")))
            moments = rng.sample(("before", "during", "after"), rng.randrange(1, 4))
            chosen = {moment: rng.choice(releases) for moment in moments}
            name = f"outage of {' and '.join(roles)}"
            self.done[name] = self.done.get(name, 0) + 1
            self._start_releases(chosen.get("before"))
            await asyncio.sleep(rng.uniform(*RELEASE_LEAD_SECONDS) if "before" in chosen else 0)
            began = self._loop.time()
            until = began + rng.uniform(*OUTAGE_SECONDS)
            daemons = [item for item in self.fleet.daemons.values() if item.role in roles]
            await self._kill_running(daemons)
            self._start_releases(chosen.get("during"))
            while self._loop.time() < until:
                await asyncio.sleep(OUTAGE_CHECK_SECONDS)
                await self._kill_running(daemons)  # another fault may have started one again
            for daemon in daemons:
                self._start_daemon(daemon)
            self.seen.fault_spans.append((began, self._loop.time()))
            self._start_releases(chosen.get("after"))
            if rng.random() >= OUTAGE_SERIES_SHARE:
                await self._wait_for_entry()

    def _start_releases(self, release: Release | None) -> None:
        """Start a release, or changes of several runners' software at once."""
        if release is None:
            return
        number = 1
        if release != self.targets.release:
            number = self._outage_rng.randrange(1, platform_targets.RUNNERS + 1)
        for _ in range(number):
            self._start_task(self._record_fault(lambda: release(self._outage_rng)))

    async def _kill_running(self, daemons: list[platform_fleet.Daemon]) -> None:
        """Kill all daemons that run at once, and wait until these processes have exited."""
        running = [item for item in daemons if item.is_running]
        for daemon in running:
            self._record_entry_exit(daemon)
            self.fleet.send(daemon, signal.SIGKILL)
        processes = [item.process for item in running]
        while any(item is not None and item.poll() is None for item in processes):
            await asyncio.sleep(EXIT_CHECK_SECONDS)

    async def _wait_for_entry(self) -> None:
        while not self._stopping.is_set():
            for entry in self.fleet.list_role("entry"):
                if (await fetch(entry.ready, b"GET", "/ready"))[0] == 200:
                    return
            await asyncio.sleep(EXTENSION_CHECK_SECONDS)

    def _list_faults(self) -> tuple[list[Fault], list[Fault]]:
        """Return the planned operations and the unplanned faults."""
        targets = [
            self.targets.harm_way,
            self.targets.harm_way,
            self.targets.break_connections,
            self.targets.misbehave,
            self.targets.leave_badly,
            self.targets.leave_badly,
            self.targets.crash,
            self.targets.start_again,
            self.targets.pause,
        ]
        if self._targets_only:
            return [self.targets.drain, self.targets.drain_runner], targets
        daemons = [
            self._kill,
            self._kill,
            self._kill_keepers,
            self._pause,
            self._wipe,
            self._tear,
            self._harm_link,
            self._harm_link,
        ]
        return [self._stop_entry, self._reload, self.targets.drain], daemons + targets

    async def _record_fault(self, fault: Fault) -> None:
        began = self._loop.time()
        index = len(self.seen.fault_spans)
        self.seen.fault_spans.append((began, float("inf")))
        try:
            await fault()
        finally:
            self.seen.fault_spans[index] = (began, self._loop.time())

    def _pick_daemon(self, role: str = "") -> platform_fleet.Daemon:
        candidates = [item for item in self.fleet.daemons.values() if role in ("", item.role)]
        return self._rng.choice(candidates)

    async def _restart(self, daemon: platform_fleet.Daemon, seconds: float) -> bool:
        """Kill a process and restart it; return False if it is not running."""
        if not daemon.is_running:
            return False
        self._record_entry_exit(daemon)
        self.fleet.send(daemon, signal.SIGKILL)
        await self._wait_for_exit(daemon)
        await asyncio.sleep(seconds)
        self._start_daemon(daemon)
        return True

    def _start_daemon(self, daemon: platform_fleet.Daemon) -> None:
        if daemon.role == "entry":
            self.seen.entries_started.setdefault(daemon.name, []).append(self._loop.time())
        self.fleet.start(daemon)

    def _record_entry_exit(self, daemon: platform_fleet.Daemon) -> None:
        if daemon.role == "entry":
            self.seen.entries_ended.setdefault(daemon.name, []).append(self._loop.time())

    async def _wait_for_exit(self, daemon: platform_fleet.Daemon) -> None:
        while daemon.is_running:
            await asyncio.sleep(EXIT_CHECK_SECONDS)

    async def _kill(self) -> None:
        await self._restart(self._pick_daemon(), self._rng.uniform(0.1, 2.0))

    async def _kill_keepers(self) -> None:
        keepers = self.fleet.list_role("keeper")
        chosen = self._rng.sample(keepers, self._rng.choice((2, len(keepers))))
        await asyncio.gather(*(self._restart(item, 0.5) for item in chosen))

    async def _pause(self) -> None:
        daemon = self._pick_daemon()
        spans = self.seen.entries_paused.setdefault(daemon.name, [])
        began, index = self._loop.time(), len(spans)
        spans.append((began, float("inf")))
        self.fleet.send(daemon, signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        self.fleet.send(daemon, signal.SIGCONT)
        spans[index] = (began, self._loop.time())

    async def _wipe(self) -> None:
        if self._loop.time() - self._wiped_at < WIPE_PAUSE_SECONDS:
            return
        self._wiped_at = self._loop.time()
        await self._change_disk(self.fleet.wipe)

    async def _tear(self) -> None:
        await self._change_disk(lambda keeper: self.fleet.append_torn_write(keeper, self._rng))

    async def _change_disk(self, change: Callable[[platform_fleet.Daemon], None]) -> None:
        keeper = self._pick_daemon("keeper")
        if not keeper.is_running:
            return
        self.fleet.send(keeper, signal.SIGKILL)
        await self._wait_for_exit(keeper)
        change(keeper)
        self.fleet.start(keeper)

    async def _inject(self, proxy: forwarder.Forwarder, faults: list[forwarder.LinkFault]) -> None:
        proxy.inject(self._rng.choice(faults))
        await asyncio.sleep(self._rng.uniform(0.2, 4.0))
        proxy.inject(forwarder.LinkFault.NONE)

    async def _harm_link(self) -> None:
        await self._inject(self._pick_daemon().proxy, list(forwarder.LinkFault)[1:])

    # Planned work

    async def _stop_entry(self) -> None:
        entry = self._pick_daemon("entry")
        others = [item for item in self.fleet.list_role("entry") if item is not entry]
        if not entry.is_running or not all(item.is_running for item in others):
            return
        now = self._loop.time()
        outlasted_at = now + platform_fleet.BOUNDS.grace * OUTLASTING_SHARE
        self.seen.stops.append(platform_checker.PlannedStop(entry.name, now, outlasted_at))
        self.fleet.send(entry, signal.SIGTERM)
        await self._wait_for_exit(entry)
        self._record_entry_exit(entry)
        self._start_daemon(entry)

    async def _reload(self) -> None:
        daemon = self._pick_daemon()
        keepers = [item.address for item in self.fleet.list_role("keeper")]
        self.fleet.write_seeds(daemon, self._rng.sample(keepers, 3))
        self.fleet.send(daemon, signal.SIGHUP)

    # The run

    def _start_task(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)
        return task

    async def _wait_until_ready(self) -> None:
        """Wait until a configuration is in force at all entries and all targets are known."""
        await self.targets.start()
        deadline = self._loop.time() + READY_TIMEOUT_SECONDS
        while not await self._send_change():
            if self._loop.time() > deadline:
                raise TimeoutError("no keeper acknowledged the first configuration in time")
            await asyncio.sleep(0.2)
        for entry in self.fleet.list_role("entry"):
            while (await fetch(entry.ready, b"GET", "/ready"))[0] != 200:
                if self._loop.time() > deadline:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2 * platform_targets.HEARTBEAT_INTERVAL_SECONDS)

    def count_resumed(self) -> int:
        """Number of runs that were resumed from a copy so far."""
        self.targets.read_records()
        return sum(run.is_resumed for runs in self.seen.ran.values() for run in runs)

    async def run(
        self, seconds: float, rest_seconds: float, *, resumed: int = 0, max_seconds: float = 0.0
    ) -> list[str]:
        """Run the soak, wait `rest_seconds` for recovery, and return the broken guarantees.

        Where fewer than `resumed` runs were resumed after `seconds`, it goes on for `max_seconds`
        in all at most.  A busy host makes fewer calls in the same time.
        """
        try:
            await self.fleet.start_all()
            await self._wait_until_ready()
            work = [self._send_changes(), self._watch_versions(), self._send_revoked()]
            work += [self._poll_readiness(), self._announce_limits(), self._send_feedback()]
            work.append(self._release_versions())
            if self._has_many_handovers:
                work.append(self._hand_over_runs())
            if self._has_poison:
                work.append(self._poison_prompts())
            if not self.seen.planned_only:
                work.append(self._silence_connections())
                work.append(self._answer_faults.inject(self._stopping))
            if not self.seen.planned_only and not self._targets_only:
                work.append(self._lose_all())
                work += [self._send_streams() for _ in range(STREAM_CALLERS)]
            if self._has_rushes:
                work.append(self._rush())
            work += [self._send_calls() for _ in range(16)]
            callers = [asyncio.ensure_future(item) for item in work]
            faults = asyncio.ensure_future(self._do_faults())
            await asyncio.sleep(seconds)
            until = asyncio.get_running_loop().time() + max_seconds - seconds
            while self.count_resumed() < resumed and asyncio.get_running_loop().time() < until:
                await asyncio.sleep(EXTENSION_CHECK_SECONDS)
            self._stopping.set()
            await asyncio.gather(faults, *callers)
            await asyncio.sleep(rest_seconds)
            await self._read_final_versions()
        finally:
            for task in list(self._work):
                task.cancel()
            self.fleet.kill_all()
            self.targets.end_all()
            await asyncio.sleep(TASK_SHUTDOWN_SECONDS)
            self._addresses.release()
        bounds = platform_fleet.BOUNDS
        problems = platform_checker.check(self.seen, bounds.drain, bounds.revoke)
        problems += resumed_streams.check(self.seen)
        problems += answer_faults.check(self.seen)
        problems += repeats.check(self.seen, platform_fleet.RETRY_BOUNDS)
        problems += poisoned_prompts.check(self.seen, self._prompts.poison)
        return problems + rushes.check(self.seen, self.rushes)

    async def _read_final_versions(self) -> None:
        """Read the configuration back from each keeper, as an operator would, with retries."""
        for keeper in self.fleet.list_role("keeper"):
            self.seen.read_back[keeper.name] = None
            for _ in range(10):
                status, body = await fetch(keeper.control, b"GET", "/Config.Get")
                if status == 200:
                    self.seen.read_back[keeper.name] = json.loads(body)["version"]
                    break
                await asyncio.sleep(0.3)


async def run_seed(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    rest_seconds: float = RECOVERY_SECONDS,
    *,
    resumed: int = 0,
    max_seconds: float = 0.0,
) -> tuple[PlatformSoak, list[str]]:
    """Run one seed; return the soak and the broken guarantees."""
    soak = PlatformSoak(folder, seed)
    problems = await soak.run(seconds, rest_seconds, resumed=resumed, max_seconds=max_seconds)
    return soak, problems


def describe(soak: PlatformSoak) -> str:
    """Summarize a run in one line."""
    calls = soak.seen.calls
    complete = sum(call.response.status == 200 and call.response.is_whole for call in calls)
    refusals = sum(call.response.status in platform_checker.NOT_RUN_STATUSES for call in calls)
    runs = [run for ran in soak.seen.ran.values() for run in ran]
    resumed = soak.count_resumed()
    soak.done["lost answers"] = soak.targets.lost_answers
    faults = ", ".join(f"{name} {number}" for name, number in sorted(soak.done.items()))
    broken = [call for found in soak.seen.broken.values() for call in found]
    peak = max(soak.seen.memory.values(), default=0) / 1e6
    return (
        f"calls {len(calls)}, complete {complete}, refused {refusals}; "
        f"runs {len(runs) - resumed}, resumed elsewhere {resumed}; "
        f"versions {len(soak.seen.acknowledged)} of {len(soak.seen.sent)}; "
        f"limits {len(soak.seen.limits)}, back-offs {soak.seen.backoffs}, "
        f"leaving announced in responses {len(soak.seen.announced_in_responses)}, "
        f"streams resumed {soak.seen.resumptions[0]} of {soak.seen.resumptions[1]} to be resumed, "
        f"{sum(bool(call.resumes) for call in calls)} attempts; "
        f"broken answers {len(broken)}, {sum('endless' in call.text for call in broken)} of them "
        f"endless, most memory of an entry {peak:.0f} MB; {faults}"
    )


def main() -> None:
    """Run seeds one after another and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--folder", type=pathlib.Path, default=pathlib.Path("out/platform-soak"))
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        folder = (arguments.folder / f"seed-{seed}").resolve()
        soak, problems = asyncio.run(run_seed(folder, seed, arguments.seconds))
        broken += bool(problems)
        print(f"seed {seed}: {describe(soak)}", flush=True)
        for problem in problems[:40]:
            print(f"seed {seed} BROKEN {problem}", flush=True)
    print("nothing broken" if not broken else f"{broken} seeds broke a guarantee")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
