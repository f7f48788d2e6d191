"""Suspended hosts: the monotonic clock stops while the rest of the fleet continues.

A resumed process holds its former state, and only a clock that includes the suspension
(CLOCK_BOOTTIME) shows how long it lasted.  By the monotonic clock a lease that has expired
elsewhere still looks valid, so that an entry would accept a revoked key, and a former leader would
answer as if it led.  The programs run here as processes that are stopped and whose monotonic clock
is set back.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import tempfile
import unittest
from collections.abc import Awaitable, Callable

from tillerlane.testing import (
    caller,
    forwarder,
    gateway_lab,
    platform_fleet,
    platform_runner,
    platform_soak,
)

SUSPENDED_SECONDS = float(os.environ.get("TILLERLANE_AWAY_SECONDS", "6"))
"""How long a host is suspended: more than the 5 s for which a revoked key may still work."""
START_TIMEOUT_SECONDS = 30.0
NET = 230
REVOKED_KEY = "key-that-is-taken-away"


def build_document(version: int, keys: list[str]) -> bytes:
    """A configuration with these keys."""
    tenants = [{"name": "workspace-a", "api_keys": keys}]
    return json.dumps(gateway_lab.build_document(version, tenants=tenants)).encode()


class Stage:
    """A fleet of processes and a simulated target.

    Parameters
    ----------
    folder : pathlib.Path
        For settings, data and logs.
    net, keepers, entries : int
        As in `platform_fleet.PlatformFleet`.
    """

    def __init__(self, folder: pathlib.Path, net: int, keepers: int, entries: int) -> None:
        rng = random.Random(1)
        self.fleet = platform_fleet.PlatformFleet(folder, net, keepers, entries, rng)
        self.fleet.program = "tillerlane.testing.suspended_program"
        self.keepers = self.fleet.list_role("keeper")
        self.entries = self.fleet.list_role("entry")
        self.target = platform_runner.PlatformRunner("t1", f"127.{net + 2}.1.1:9000", {})
        self._sequence = 0

    async def wait_until(self, work: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a call until it succeeds."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not await work():
                await asyncio.sleep(0.1)

    async def publish(self, document: bytes, skipped: str = "") -> bool:
        """Publish a configuration at any keeper but `skipped`."""
        for keeper in self.keepers:
            if keeper.name != skipped:
                call = platform_soak.fetch(keeper.control, b"POST", "/Config.Put", document)
                if (await call)[0] == 200:
                    return True
        return False

    async def send_heartbeats(self) -> None:
        """Send the target's heartbeats, until cancelled."""
        while True:
            self._sequence += 1
            values = {
                "service": "app",
                "addr": self.target.address,
                "zone": "hall-a",
                "slots": 48,
                "state": "ready",
                "seq": self._sequence,
            }
            for keeper in self.keepers:
                body = json.dumps(values).encode()
                await platform_soak.fetch(keeper.control, b"POST", "/Instances.Heartbeat/t1", body)
            await asyncio.sleep(0.5)

    async def call(self, key: str, request_id: str) -> int:
        """Send a request to the only entry; the answer's status."""
        front = self.entries[0].front
        answer = await caller.call(front, "order", request_id, Credential=key)
        return answer.status

    def suspend(self, daemon: platform_fleet.Daemon) -> None:
        """Suspend a daemon's host."""
        self.fleet.send(daemon, signal.SIGSTOP)

    def resume(self, daemon: platform_fleet.Daemon) -> None:
        """Resume a suspended host, without contact with any keeper."""
        self.inject(forwarder.LinkFault.SILENCE)
        self.fleet.send(daemon, signal.SIGCONT)

    def inject(self, fault: forwarder.LinkFault) -> None:
        """Inject a fault into all connections to keepers."""
        for keeper in self.keepers:
            keeper.proxy.inject(fault)

    def reset(self) -> None:
        """Reset all connections to keepers, so that none holds data sent to a suspended host."""
        self.inject(forwarder.LinkFault.RESET)
        self.inject(forwarder.LinkFault.NONE)


class SuspensionTest(unittest.TestCase):
    """One host is suspended for `SUSPENDED_SECONDS`."""

    def play(
        self, net: int, keepers: int, entries: int, scene: Callable[[Stage], Awaitable[None]]
    ) -> None:
        """Start a fleet and play a scene."""

        async def run(folder: str) -> None:
            stage = Stage(pathlib.Path(folder) / "fleet", net, keepers, entries)
            sending: asyncio.Task[None] | None = None
            try:
                await stage.fleet.start_all()
                await stage.target.start()
                sending = asyncio.create_task(stage.send_heartbeats())
                await stage.wait_until(
                    lambda: stage.publish(build_document(1, [caller.KEY, REVOKED_KEY]))
                )
                await scene(stage)
            finally:
                if sending is not None:
                    sending.cancel()
                stage.target.crash()
                stage.fleet.kill_all()
                await asyncio.sleep(0.1)

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run(folder))

    def test_entry_accepts_no_key_that_was_revoked_meanwhile(self) -> None:
        async def scene(stage: Stage) -> None:
            entry = stage.entries[0]

            async def is_served() -> bool:
                return await stage.call(REVOKED_KEY, "before") == 200

            await stage.wait_until(is_served)
            stage.suspend(entry)
            stage.reset()
            document = build_document(2, [caller.KEY])
            await stage.wait_until(lambda: stage.publish(document))
            await asyncio.sleep(SUSPENDED_SECONDS)
            late = asyncio.create_task(stage.call(REVOKED_KEY, "late"))
            await asyncio.sleep(0.1)
            stage.resume(entry)
            self.assertIn(await late, (401, 503))
            self.assertNotIn("late", [run.request_id for run in stage.target.ran])
            stage.inject(forwarder.LinkFault.NONE)

            async def is_back() -> bool:
                return await stage.call(caller.KEY, "after") == 200

            await stage.wait_until(is_back)
            self.assertEqual(await stage.call(REVOKED_KEY, "never"), 401)

        self.play(NET, 3, 1, scene)

    def test_former_leader_answers_no_stale_read(self) -> None:
        async def scene(stage: Stage) -> None:
            async def find_leader() -> bool:
                nonlocal leader
                for keeper in stage.keepers:
                    _, text = await platform_soak.fetch(keeper.metrics, b"GET", "/metrics")
                    if b"\ntillerlane_leader 1.0" in text:
                        leader = keeper
                        return True
                return False

            leader: platform_fleet.Daemon | None = None
            await stage.wait_until(find_leader)
            assert leader is not None
            stage.suspend(leader)
            name = leader.name
            await asyncio.sleep(SUSPENDED_SECONDS)
            document = build_document(2, [caller.KEY])
            await stage.wait_until(lambda: stage.publish(document, name))
            reading = asyncio.create_task(
                platform_soak.fetch(leader.control, b"GET", "/Config.Get")
            )
            await asyncio.sleep(0.1)
            stage.resume(leader)
            status, body = await reading
            self.assertNotEqual((status, json.loads(body or b"{}").get("version")), (200, 1))

        self.play(NET + 4, 3, 0, scene)


if __name__ == "__main__":
    unittest.main()
