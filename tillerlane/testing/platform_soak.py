"""A randomized soak of the platform's programs: real processes, faults from outside them.

Callers and operators run here and write down what they see, targets are processes that keep records
of their own (`platform_targets`); `platform_checker` decides.  A seed decides on the faults; of
three seeds in a row one does planned work only, under which nothing may fail, and one harms targets
and the ways to them only, so that many runs are moved meanwhile.  Clocks: the programs reckon on
the steady clock, and the wall clock only stamps their logs, so its jumps are tested in virtual time
(`gateway_lab`), not here.  Storage: disks are emptied, and half-written ends are left behind, while
a process does not run.
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

from tillerlane.gateway import http_client, http_head
from tillerlane.testing import (
    caller,
    forwarder,
    gateway_lab,
    platform_checker,
    platform_fleet,
    platform_targets,
)

__all__ = ["PlatformSoak", "run_seed"]

KEEPERS = 5
ENTRIES = 4
STREAM_TOKENS = "1500,320"
CALL_TIMEOUT_SECONDS = 1.0
"""How long a target or an operator waits for a keeper's answer."""
BALANCER_SECONDS = 1.0
BALANCER_MISSES = 2
"""The platform's balancer asks each second and takes an entry out after two misses."""
CHANGE_SECONDS = 1.5
FAULT_PAUSE_SECONDS = (0.3, 2.0)
LIMIT_PAUSE_SECONDS = (1.0, 4.0)
"""Pause between the limits that targets name one after another."""
ADVICE_PAUSE_SECONDS = (2.0, 5.0)
"""Pause between targets that ask for back-off or say in answers that they leave."""
OUTLASTING_SHARE = 5 / 6
"""Share of its time to stop after which an entry may cut what a target still works on; the
platform's pages count such a request as too long, not as cut."""
WIPE_PAUSE_SECONDS = 10.0
"""Pause between two emptied disks: a keeper is to catch up before the next one loses its own."""
REST_SECONDS = 15.0
"""Quiet at the end, within which the fleet must recover and hold the newest configuration."""
READY_SECONDS = 60.0
END_SECONDS = 0.2
"""For the tasks of connections that were ended to come to their end."""
Fault = Callable[[], Awaitable[None]]
_VERSION = re.compile(r"^tillerlane_config_version (\S+)$", re.MULTILINE)


async def fetch(address: str, method: bytes, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """One call of a daemon's own interface; status 0 without an answer."""
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
    """One run.

    Parameters
    ----------
    folder : pathlib.Path
        For settings, data and logs.
    seed : int
        Decides on faults, callers and addresses.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self._rng = random.Random(seed)
        net = 20 + 4 * (seed % 50)
        self.fleet = platform_fleet.PlatformFleet(
            folder, net, KEEPERS, ENTRIES, random.Random(seed)
        )
        self.seen = platform_checker.Observations(
            platform_targets.STREAM_LENGTH, planned_only=seed % 3 == 0
        )
        self.targets = platform_targets.Targets(
            self.fleet.folder, net, self.seen, self._tell, self._rng
        )
        self._harms_targets_only = seed % 3 == 2
        self.done: dict[str, int] = {}
        """Faults done, by name."""
        self._number = 0
        self._version = 0
        self._ending = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._taken_out: set[str] = set()
        """Entries that get no new connections."""
        self._wiped_at = -WIPE_PAUSE_SECONDS
        self._work: set[asyncio.Task[None]] = set()

        self._limit_rng = random.Random(f"limits of {seed}")
        """Of its own, so that the faults of a seed do not hang on it."""
        self._advice_rng = random.Random(f"advice of {seed}")

    def _next(self) -> int:
        self._number += 1
        return self._number

    # Callers

    async def _tell(self, path: str, write: Callable[[], bytes]) -> bool:
        """Tell keepers something, one after another, until one acknowledges it."""
        keepers = self.fleet.list_role("keeper")
        for keeper in self._rng.sample(keepers, len(keepers)):
            status, _ = await fetch(keeper.control, b"POST", path, write())
            if status == 200:
                return True
        return False

    async def _balance(self) -> None:
        """Ask the entries each second, as the platform's balancer does."""
        misses: dict[str, int] = {}
        while not self._ending.is_set():
            for entry in self.fleet.list_role("entry"):
                status, _ = await fetch(entry.ready, b"GET", "/ready")
                misses[entry.name] = 0 if status == 200 else misses.get(entry.name, 0) + 1
                if misses[entry.name] >= BALANCER_MISSES:
                    self._taken_out.add(entry.name)
                elif misses[entry.name] == 0:
                    self._taken_out.discard(entry.name)
            await asyncio.sleep(BALANCER_SECONDS)

    def _draw_entry(self) -> platform_fleet.Daemon:
        """An entry that the balancer gives new connections to; any, if it has taken all out."""
        entries = self.fleet.list_role("entry")
        found = [item for item in entries if item.name not in self._taken_out]
        return self._rng.choice(found or entries)

    async def _send_calls(self) -> None:
        while not self._ending.is_set():
            kind = self._rng.choice(("record", "verdict", "order", "order", "price"))
            await self._send_call(kind, caller.KEY)
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))

    async def _send_revoked(self) -> None:
        while not self._ending.is_set():
            await asyncio.sleep(0.5)
            if self.seen.revoked:
                await self._send_call("order", self._rng.choice(list(self.seen.revoked)))

    async def _send_call(self, route: str, key: str) -> None:
        entry = self._draw_entry()
        call = platform_checker.Call(
            f"r{self._next()}", route, key, self._loop.time(), entry=entry.name
        )
        headers = {"Credential": key}
        if route in ("record", "verdict"):
            headers |= {"Model": "m", "Token_Counts": STREAM_TOKENS}
        is_read = route == "price"
        try:
            call.answer = await caller.call(
                entry.front,
                route,
                call.request_id,
                method=b"GET" if is_read else b"POST",
                body=b"" if is_read else b"body",
                **headers,
            )
        except http_client.ExchangeError:
            return  # no connection came about, so the entry has not read it
        call.ended_at = self._loop.time()
        self.seen.calls.append(call)

    # Operators

    async def _send_changes(self) -> None:
        """A new version every while; each takes away the key that the one before had added."""
        while not self._ending.is_set():
            await self._send_change()
            await asyncio.sleep(CHANGE_SECONDS)

    async def _send_change(self) -> bool:
        self._version += self._rng.randrange(1, 4)
        version, former = self._version, self.seen.acknowledged[-1:]
        document = gateway_lab.build_document(version)
        document["tenants"][0]["api_keys"] = [caller.KEY, f"key-{version}"]
        self.seen.sent.append(version)
        body = json.dumps(document).encode()
        if not await self._tell("/Config.Put", lambda: body):
            return False
        self.seen.acknowledged.append(version)
        now = self._loop.time()
        for key in [f"key-{item}" for item in former]:
            self.seen.revoked.setdefault(key, now)
        return True

    async def _watch_versions(self) -> None:
        while not self._ending.is_set():
            for daemon in self.fleet.daemons.values():
                start = daemon.starts
                status, text = await fetch(daemon.metrics, b"GET", "/metrics")
                found = _VERSION.search(text.decode()) if status == 200 else None
                if found is not None and start == daemon.starts:
                    versions = self.seen.in_force.setdefault((daemon.name, start), [])
                    versions.append(int(float(found.group(1))))
            await asyncio.sleep(0.2)

    # Faults

    async def _do_faults(self) -> None:
        """Faults in series; each goes on by itself, so that they overlap."""
        planned, unplanned = self._list_faults()
        kinds = planned if self.seen.planned_only else planned + unplanned
        due = [self.targets.drain_runner] if self._harms_targets_only else []
        while not self._ending.is_set():
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_SECONDS))
            kind = due.pop() if due else self._rng.choice(kinds)
            name = kind.__qualname__.replace("PlatformSoak.", "").strip("_")
            self.done[name] = self.done.get(name, 0) + 1
            self._begin(kind() if kind in planned else self._record_fault(kind))

    async def _name_limits(self) -> None:
        """Have targets name limits, one after another; callers press on."""
        while not self._ending.is_set():
            await asyncio.sleep(self._limit_rng.uniform(*LIMIT_PAUSE_SECONDS))
            await self.targets.name_limit(self._limit_rng)

    async def _give_advice(self) -> None:
        """Have targets ask for back-off, and say in answers that they leave."""
        while not self._ending.is_set():
            await asyncio.sleep(self._advice_rng.uniform(*ADVICE_PAUSE_SECONDS))
            kinds = (self.targets.ask_backoff, self.targets.leave_by_answers)
            self._begin(self._advice_rng.choice(kinds)(self._advice_rng))

    def _list_faults(self) -> tuple[list[Fault], list[Fault]]:
        """Planned work, and what else is done."""
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
        if self._harms_targets_only:
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

    async def _record_fault(self, kind: Fault) -> None:
        began = self._loop.time()
        span = len(self.seen.fault_spans)
        self.seen.fault_spans.append((began, float("inf")))
        try:
            await kind()
        finally:
            self.seen.fault_spans[span] = (began, self._loop.time())

    def _draw_daemon(self, role: str = "") -> platform_fleet.Daemon:
        found = [item for item in self.fleet.daemons.values() if role in ("", item.role)]
        return self._rng.choice(found)

    async def _restart(self, daemon: platform_fleet.Daemon, seconds: float) -> bool:
        """Kill a process and start it again; False if it does not run."""
        if not daemon.is_running:
            return False
        self._note_entry_end(daemon)
        self.fleet.send(daemon, signal.SIGKILL)
        await self._await_end(daemon)
        await asyncio.sleep(seconds)
        self.fleet.start(daemon)
        return True

    def _note_entry_end(self, daemon: platform_fleet.Daemon) -> None:
        if daemon.role == "entry":
            self.seen.entries_ended.setdefault(daemon.name, []).append(self._loop.time())

    async def _await_end(self, daemon: platform_fleet.Daemon) -> None:
        while daemon.is_running:
            await asyncio.sleep(0.02)

    async def _kill(self) -> None:
        await self._restart(self._draw_daemon(), self._rng.uniform(0.1, 2.0))

    async def _kill_keepers(self) -> None:
        keepers = self.fleet.list_role("keeper")
        chosen = self._rng.sample(keepers, self._rng.choice((2, len(keepers))))
        await asyncio.gather(*(self._restart(item, 0.5) for item in chosen))

    async def _pause(self) -> None:
        daemon = self._draw_daemon()
        spans = self.seen.entries_paused.setdefault(daemon.name, [])
        began, place = self._loop.time(), len(spans)
        spans.append((began, float("inf")))
        self.fleet.send(daemon, signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        self.fleet.send(daemon, signal.SIGCONT)
        spans[place] = (began, self._loop.time())

    async def _wipe(self) -> None:
        if self._loop.time() - self._wiped_at < WIPE_PAUSE_SECONDS:
            return
        self._wiped_at = self._loop.time()
        await self._change_disk(self.fleet.wipe)

    async def _tear(self) -> None:
        await self._change_disk(lambda keeper: self.fleet.tear(keeper, self._rng))

    async def _change_disk(self, change: Callable[[platform_fleet.Daemon], None]) -> None:
        keeper = self._draw_daemon("keeper")
        if not keeper.is_running:
            return
        self.fleet.send(keeper, signal.SIGKILL)
        await self._await_end(keeper)
        change(keeper)
        self.fleet.start(keeper)

    async def _harm(self, way: forwarder.Forwarder, kinds: list[forwarder.LinkFault]) -> None:
        way.inject(self._rng.choice(kinds))
        await asyncio.sleep(self._rng.uniform(0.2, 4.0))
        way.inject(forwarder.LinkFault.NONE)

    async def _harm_link(self) -> None:
        await self._harm(self._draw_daemon().proxy, list(forwarder.LinkFault)[1:])

    # Planned work

    async def _stop_entry(self) -> None:
        entry = self._draw_daemon("entry")
        others = [item for item in self.fleet.list_role("entry") if item is not entry]
        if not entry.is_running or not all(item.is_running for item in others):
            return
        now = self._loop.time()
        outlasted_at = now + platform_fleet.BOUNDS.grace * OUTLASTING_SHARE
        self.seen.stops.append(platform_checker.PlannedStop(entry.name, now, outlasted_at))
        self.fleet.send(entry, signal.SIGTERM)
        await self._await_end(entry)
        self._note_entry_end(entry)
        self.fleet.start(entry)

    async def _reload(self) -> None:
        daemon = self._draw_daemon()
        keepers = [item.address for item in self.fleet.list_role("keeper")]
        self.fleet.write_seeds(daemon, self._rng.sample(keepers, 3))
        self.fleet.send(daemon, signal.SIGHUP)

    # The run

    def _begin(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)
        return task

    async def _become_ready(self) -> None:
        """Have a configuration in force at all entries and all targets known."""
        await self.targets.start()
        until = self._loop.time() + READY_SECONDS
        while not await self._send_change():
            if self._loop.time() > until:
                raise TimeoutError("no keeper took the first configuration")
            await asyncio.sleep(0.2)
        for entry in self.fleet.list_role("entry"):
            while (await fetch(entry.ready, b"GET", "/ready"))[0] != 200:
                if self._loop.time() > until:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2 * platform_targets.HEARTBEAT_INTERVAL_SECONDS)

    async def run(self, seconds: float, rest_seconds: float) -> list[str]:
        """Run everything, let it come to rest, and give what was broken."""
        await self.fleet.start_all()
        try:
            await self._become_ready()
            work = [self._send_changes(), self._watch_versions(), self._send_revoked()]
            work += [self._balance(), self._name_limits(), self._give_advice()]
            work += [self._send_calls() for _ in range(16)]
            callers = [asyncio.ensure_future(item) for item in work]
            faults = asyncio.ensure_future(self._do_faults())
            await asyncio.sleep(seconds)
            self._ending.set()
            await asyncio.gather(faults, *callers)
            await asyncio.sleep(rest_seconds)
            await self._read_end()
        finally:
            for task in list(self._work):
                task.cancel()
            self.fleet.kill_all()
            self.targets.end_all()
            await asyncio.sleep(END_SECONDS)
        bounds = platform_fleet.BOUNDS
        return platform_checker.check(self.seen, bounds.drain, bounds.revoke)

    async def _read_end(self) -> None:
        """Read the configuration back at each keeper, as an operator would, several times."""
        for keeper in self.fleet.list_role("keeper"):
            self.seen.read_back[keeper.name] = None
            for _ in range(10):
                status, body = await fetch(keeper.control, b"GET", "/Config.Get")
                if status == 200:
                    self.seen.read_back[keeper.name] = json.loads(body)["version"]
                    break
                await asyncio.sleep(0.3)


async def run_seed(
    folder: pathlib.Path, seed: int, seconds: float, rest_seconds: float = REST_SECONDS
) -> tuple[PlatformSoak, list[str]]:
    """Run one seed; gives the soak and the promises that were broken."""
    soak = PlatformSoak(folder, seed)
    return soak, await soak.run(seconds, rest_seconds)


def describe(soak: PlatformSoak) -> str:
    """One line on what a run saw."""
    calls = soak.seen.calls
    whole = sum(call.answer.status == 200 and call.answer.is_whole for call in calls)
    refused = sum(call.answer.status in platform_checker.NOT_RUN_STATUSES for call in calls)
    runs = [run for ran in soak.seen.ran.values() for run in ran]
    gone_on = sum(run.is_resumed for run in runs)
    faults = ", ".join(f"{name} {number}" for name, number in sorted(soak.done.items()))
    return (
        f"calls {len(calls)}, whole {whole}, refused {refused}; "
        f"runs {len(runs) - gone_on}, gone on elsewhere {gone_on}; "
        f"versions {len(soak.seen.acknowledged)} of {len(soak.seen.sent)}; "
        f"limits {len(soak.seen.limits)}, back-offs {soak.seen.backoffs}, "
        f"leavings in answers {len(soak.seen.announced_in_responses)}; {faults}"
    )


def main() -> None:
    """Run seeds one after another and print what was seen."""
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
    print("nothing broken" if not broken else f"{broken} seeds broke a promise")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
