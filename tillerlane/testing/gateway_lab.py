"""Keepers, entries and simulated targets of the gateway in virtual time.

The daemons run unchanged. Connections between keepers and entries can be cut, and disk failures can
be injected through `tillerlane.testing.memory_disk`.
"""

import asyncio
import json
import random
from typing import Any

from tillerlane.gateway import budget as budgets
from tillerlane.gateway import control, control_settings, entry, entry_settings
from tillerlane.gateway import directory as directories
from tillerlane.gateway.backpressure import cold
from tillerlane.gateway.incarnation import ids as incarnations
from tillerlane.keeper import formation
from tillerlane.platform import adapter, wire
from tillerlane.testing import (
    caller,
    lab,
    memory_disk,
    network,
    platform_runner,
    raw_runner,
)

__all__ = ["GatewayLab", "build_document"]

RESTART_MS = 1000
"""Time between two starts of a target by its own clock, which no daemon reads."""


def build_document(version: int, **changes: Any) -> dict[str, Any]:
    """Build a configuration with one route of each kind.

    The routes are a stream that must run at most once, a resumable stream, a non-idempotent and an
    idempotent plain request.
    """

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": caller.HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout_ms": 20_000,
            "goal_ms": 500,
            "max_attempts": 1,
            **more,
        }

    engine = {
        "slots": 48,
        "kv_capacity": 34_000,
        "kv_token_bytes": 131_072,
        "link_mbps": 19_000,
        "stride": 4,
        "moves": True,
        "backups": True,
    }
    document = {
        "version": version,
        "routes": [
            route("record", "streaming", "llm", sticky=True),
            route("verdict", "streaming", "llm", resumable=True, max_attempts=2),
            route("order", "non_idempotent", "app"),
            route("price", "idempotent", "app", max_attempts=2),
        ],
        "services": [{"name": "llm", "engine": engine}, {"name": "app"}],
        "tenants": [{"name": "workspace-a", "api_keys": [caller.KEY]}],
    }
    return {**document, **changes}


class GatewayLab:
    """A fleet in one event loop.

    Parameters
    ----------
    keepers, entries : int
        Number of daemons of each role.
    desired_voters : int
        Number of voting keepers.
    """

    def __init__(self, keepers: int = 3, entries: int = 1, desired_voters: int = 3) -> None:
        self.network = network.Network()
        self.keepers: dict[str, control.Control] = {}
        self.entries: dict[str, entry.Entry] = {}
        self.disks: dict[str, memory_disk.MemoryDisk] = {}
        self.runners: dict[str, platform_runner.PlatformRunner] = {}
        self._by_address: dict[str, platform_runner.PlatformRunner] = {}
        self._sequences: dict[str, int] = {}
        self.memory_bytes = 0
        """Memory budget of entries started from now on."""
        self.lost_connections = 0
        """Number of connection attempts to targets that are cut off."""
        self._desired_voters = desired_voters
        self.keeper_names = [f"keeper-{number}" for number in range(1, keepers + 1)]
        self.entry_names = [f"entry-{number}" for number in range(1, entries + 1)]
        for names, net in ((self.keeper_names, 0), (self.entry_names, 1)):
            for number, name in enumerate(names, 1):
                self.network.names[f"10.0.{net}.{number}:7000"] = name
        self.seeds = tuple(f"10.0.0.{number}:7000" for number in range(1, min(keepers, 3) + 1))

    def get_address(self, name: str) -> str:
        """Peer address of a daemon."""
        return next(key for key, value in self.network.names.items() if value == name)

    def find_leader(self) -> str:
        """Name of the keeper that holds the leader lease; empty if there is none."""
        leading = (name for name, item in self.keepers.items() if item.replica.has_lease)
        return next(leading, "")

    # Lifecycle
    async def start(self) -> None:
        """Start all daemons on empty disks."""
        self._block_connections()
        for name in self.keeper_names:
            await self.start_keeper(name, is_first=True)
        for name in self.entry_names:
            await self.start_entry(name, is_first=True)

    def _block_connections(self) -> None:
        """Make new connections to a target that is cut off hang, as with lost packets."""
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def create_connection(factory: Any, host: Any = None, port: Any = None) -> Any:
            runner = self._by_address.get(f"{host}:{port}")
            if runner is not None and (runner.is_cut_off or runner.takes_no_connections):
                self.lost_connections += 1
                await asyncio.sleep(3600)
            return await connect(factory, host, port)

        loop.create_connection = create_connection  # type: ignore[method-assign]

    def add_keeper(self, name: str) -> None:
        """Register a new keeper under an address that has never been used."""
        number = len(self.network.names) + 1
        self.network.names[f"10.0.2.{number}:7000"] = name
        self.keeper_names.append(name)

    def add_entry(self, name: str) -> None:
        """Register a new entry under an address that has never been used."""
        number = len(self.network.names) + 1
        self.network.names[f"10.0.1.{number}:7000"] = name
        self.entry_names.append(name)

    def set_seeds(self, names: list[str]) -> None:
        """Replace the seeds of all running keepers and of all daemons started later."""
        self.seeds = tuple(self.get_address(name) for name in names)
        for daemon in self.keepers.values():
            daemon.set_seeds(self.seeds)

    async def start_keeper(self, name: str, *, is_first: bool = False) -> control.Control:
        """Start a keeper, on its previous disk if it had one."""
        loop = asyncio.get_running_loop()
        address = self.get_address(name)
        disk = self.disks.setdefault(name, memory_disk.MemoryDisk(random.Random(1)))
        daemon_settings = control_settings.ControlSettings(
            name=name,
            peer_address=address,
            peer_listen_address=address,
            metrics_address=address.replace(":7000", ":9464"),
            data_folder=name,
            formation=formation.FormationSettings(
                self.seeds,
                self._desired_voters,
                voter_timeout_seconds=2.0,
                can_bootstrap=is_first and address == self.seeds[0],
            ),
            heartbeat_timeout_seconds=4.0,
            max_read_lag_seconds=1.4,
        )
        dependencies = control_settings.Dependencies(
            open_disk=lambda folder: disk.as_disk(),
            run_blocking=lab.run_directly,
            open_connection=self.network.connect_as(name),
            now=lambda: lab.WALL_BEGIN + loop.time(),
            rng=random.Random(name),
        )
        daemon = control.Control(daemon_settings, dependencies)
        self.keepers[name] = daemon
        await daemon.start()
        return daemon

    async def kill_keeper(self, name: str, *, wipe: bool = False) -> None:
        """Kill a keeper, losing unsynced data; with `wipe`, its whole disk."""
        await self.keepers.pop(name).stop()
        await asyncio.sleep(0)
        if wipe:
            del self.disks[name]
        else:
            self.disks[name].crash()

    async def stop_keeper(self, name: str) -> None:
        """Stop a keeper gracefully, keeping its disk."""
        await self.keepers[name].leave()
        await self.kill_keeper(name)

    async def restart_keepers(self) -> None:
        """Stop and start all keepers gracefully, one after another."""
        for name in list(self.keeper_names):
            await self.stop_keeper(name)
            await asyncio.sleep(0.5)
            await self.start_keeper(name)
            await asyncio.sleep(3.0)

    async def start_new_entries(self, number: int) -> None:
        """Start a number of entries under new names and addresses."""
        for name in [f"new-{item}" for item in range(number)]:
            self.add_entry(name)
            await self.start_entry(name)

    async def lose_keeper(self, name: str) -> None:
        """Remove a keeper permanently, with its disk, address and membership."""
        await self.kill_keeper(name, wipe=True)
        self.keeper_names.remove(name)

    async def lose_power(self, wiped: list[str]) -> None:
        """Crash all keepers at once, wipe the disks of some, and restart them all."""
        for name in list(self.keepers):
            await self.kill_keeper(name, wipe=name in wiped)
        await asyncio.sleep(1.3)
        for name in self.keeper_names:
            await self.start_keeper(name)

    async def start_entry(self, name: str, *, is_first: bool = False) -> entry.Entry:
        """Start an entry; `is_first` at the first start of the fleet."""
        address = self.get_address(name)
        host = address.partition(":")[0]
        daemon_settings = entry_settings.EntrySettings(
            name=name,
            data_hall="hall-a",
            peer_address=address,
            peer_listen_address=address,
            front_address=f"{host}:8000",
            ready_address=f"{host}:8001",
            metrics_address=f"{host}:9464",
            seeds=self.seeds,
            lease_seconds=3.75,
            accept_seconds=1.0,
            stop_seconds=6.0,
            retries=budgets.RetryBounds(0.2, 10.0, 50.0),
            cold=cold.ColdBounds(1.5, 5.0),
            memory_bytes=self.memory_bytes,
            is_first_start=is_first,
        )
        daemon = entry.Entry(
            daemon_settings,
            adapter.build_dialect(),
            self.network.connect_as(name),
            random.Random(name),
        )
        self.entries[name] = daemon
        await daemon.start()
        return daemon

    async def kill_entry(self, name: str) -> None:
        """Kill an entry: its connections break, and nothing more is sent."""
        daemon = self.entries.pop(name)
        daemon._front.abort_all()  # a daemon can be asked for planned stops only
        for task in daemon._tasks:
            task.cancel()
        for server in (daemon._front, daemon._ready, daemon._metrics_server):
            server.stop_accepting()
        await daemon.node.close()

    # Targets

    async def add_runner(
        self, target_id: str, pool: str, hall: str = "hall-a", **more: Any
    ) -> platform_runner.PlatformRunner:
        """Start a target and send its first heartbeat."""
        number = len(self.runners) + 1
        address = f"10.0.9.{number}:9000"
        runner = platform_runner.PlatformRunner(target_id, address, self._by_address, **more)
        await self._start_runner(runner, pool, hall)
        return runner

    async def add_raw_runner(
        self, target_id: str, pool: str, respond: raw_runner.Respond, **more: Any
    ) -> raw_runner.RawRunner:
        """Start a target that writes what `respond` gives, and send its first heartbeat."""
        number = len(self.runners) + 1
        address = f"10.0.9.{number}:9000"
        runner = raw_runner.RawRunner(target_id, address, self._by_address, respond=respond, **more)
        await self._start_runner(runner, pool, "hall-a")
        return runner

    async def _start_runner(
        self, runner: platform_runner.PlatformRunner, pool: str, hall: str
    ) -> None:
        self.runners[runner.target_id] = runner
        await runner.start()
        self.beat(runner.target_id, pool, hall)

    async def restart_runner(self, target_id: str, **more: Any) -> platform_runner.PlatformRunner:
        """Crash a target and restart it under its id and address, without a heartbeat.

        The former incarnation stays listed under an id of its own.
        """
        former = self.runners[target_id]
        former.crash()
        runner = platform_runner.PlatformRunner(
            target_id,
            former.address,
            self._by_address,
            started_ms=former.started_ms + RESTART_MS,
            **more,
        )
        self.runners[incarnations.build_id(target_id, former.started_ms)] = former
        self.runners[target_id] = runner
        self._sequences[target_id] = 0
        await runner.start()
        return runner

    def beat(
        self,
        target_id: str,
        pool: str,
        hall: str = "hall-a",
        phase: directories.Phase = directories.Phase.READY,
        keeper: str = "",
        cold_seconds: float = 0.0,
    ) -> None:
        """Send a target's heartbeat to one keeper."""
        sequence = self._sequences.get(target_id, 0) + 1
        self._sequences[target_id] = sequence
        started_ms = self.runners[target_id].started_ms
        target = directories.Target(
            incarnations.build_id(target_id, started_ms) if started_ms else target_id,
            pool,
            self.runners[target_id].address,
            hall,
            self.runners[target_id].slots or 48,
            phase,
            sequence,
            asyncio.get_running_loop().time(),
            asyncio.get_running_loop().time() + cold_seconds,
            software_version=self.runners[target_id].software_version,
        )
        daemon = self.keepers[keeper] if keeper else next(iter(self.keepers.values()))
        daemon.handle_heartbeat(target)

    # Operators and callers

    async def publish(self, keeper: str, document: dict[str, Any]) -> dict[str, Any]:
        """Publish a configuration at a keeper."""
        data = json.dumps(document).encode()
        table = wire.check_document(data)
        return await self.keepers[keeper].operators.publish(table.version, data)

    async def call(
        self, entry_name: str, route: str, request_id: str, **more: Any
    ) -> caller.CallerResponse:
        """Send a request with `caller.call` and read the complete response."""
        host = self.get_address(entry_name).partition(":")[0]
        return await caller.call(f"{host}:8000", route, request_id, **more)
