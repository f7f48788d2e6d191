"""Planned stops and restarts of an entry, and the whole fleet's return."""

import asyncio
import unittest

from tillerlane.gateway import http_client, http_head
from tillerlane.testing import gateway_lab, gateway_scenes, platform_runner

TOKENS = {"Token_Counts": "100,10", "Model": "m"}


async def ask_ready(stage: gateway_lab.GatewayLab, name: str) -> int:
    """Status of an entry's readiness, as the balancer sees it; 0 without an answer."""
    host = stage.get_address(name).partition(":")[0]
    try:
        exchange = await http_client.connect(f"{host}:8001", 1.0)
        exchange.send(http_head.RequestHead(b"GET", b"/ready", [(b"Host", b"h")]), b"")
        return (await exchange.read_head()).status
    except http_client.ExchangeError:
        return 0


class PlannedStopTest(gateway_scenes.GatewayCase):
    """A stop that was asked for cuts nothing short."""

    def test_unready_at_once_and_serving_until_idle(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=60)
            await stage.add_runner("t2", "app")
            await asyncio.sleep(0.5)
            self.assertEqual(await ask_ready(stage, "entry-1"), 200)
            stream = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.2)
            stopping = asyncio.create_task(stage.entries["entry-1"].stop())
            await asyncio.sleep(0.1)
            self.assertEqual(await ask_ready(stage, "entry-1"), 503)
            late = await stage.call("entry-1", "order", "r2")
            self.assertEqual(late.status, 200)
            answer = await stream
            expected = b"".join(platform_runner.build_event("r1", n) for n in range(1, 61))
            self.assertEqual((answer.body, answer.is_whole), (expected, True))
            await stopping

        self.play(scene)

    def test_what_outlasts_the_grace_does_not_look_whole(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=900)
            await asyncio.sleep(0.5)
            stream = asyncio.create_task(
                stage.call("entry-1", "record", "r1", wait_ms=30_000, **TOKENS)
            )
            await asyncio.sleep(0.2)
            began = asyncio.get_running_loop().time()
            await stage.entries["entry-1"].stop()
            self.assertLess(asyncio.get_running_loop().time() - began, 6.2)
            self.assertFalse((await stream).is_whole)

        self.play(scene)


class RecoveryTest(gateway_scenes.GatewayCase):
    """All keepers are killed at once and come back."""

    def test_served_again_soon_after_the_keepers_are_back(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            await asyncio.sleep(0.5)
            for name in stage.keeper_names:
                await stage.kill_keeper(name)
            await asyncio.sleep(5)
            self.assertEqual((await stage.call("entry-1", "order", "r1")).status, 503)
            for name in stage.keeper_names:
                await stage.start_keeper(name)
            await asyncio.sleep(5)
            self.assertEqual((await stage.call("entry-1", "order", "r2")).status, 200)
            self.assertEqual(await ask_ready(stage, "entry-1"), 200)

        self.play(scene)


class FleetRestartTest(gateway_scenes.GatewayCase):
    """Keepers and entries start together, after all of them were stopped."""

    keepers = 5
    desired_voters = 5

    async def stop_all(self, stage: gateway_lab.GatewayLab) -> str:
        """Stop everything but the targets; gives the keeper that led."""
        leader = next(name for name, item in stage.keepers.items() if item.replica.has_lease)
        for version in range(2, 17):
            await stage.publish("keeper-1", gateway_lab.build_document(version))
        stage.network.names["10.0.1.2:7000"] = "entry-2"
        for name in stage.keeper_names:
            await stage.kill_keeper(name)
        return leader

    async def measure(self, stage: gateway_lab.GatewayLab, order: list[str], gap: float) -> float:
        """Start daemons in an order; seconds from the last start to a served request.

        A request is sent at the moment at which the entry starts, and waits there.
        """
        loop = asyncio.get_running_loop()
        calls = []
        for name in order:
            if name.startswith("entry"):
                await stage.start_entry(name)
                calls.append(asyncio.create_task(stage.call(name, "record", "r1", **TOKENS)))
            else:
                await stage.start_keeper(name)
                if len(stage.keepers) == 3:
                    stage.beat("t1", "llm", keeper=name)
            await asyncio.sleep(gap)
        began = loop.time() - gap
        answer = await calls[0]
        self.assertEqual(answer.status, 200)
        return loop.time() - began

    def check(self, order_of: object, most: float, gap: float = 0.0) -> None:
        """Play one way of coming back."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=3)
            await asyncio.sleep(0.5)
            leader = await self.stop_all(stage)
            order = order_of(stage, leader)  # type: ignore[operator]
            self.assertLess(await self.measure(stage, order, gap), most)

        self.play(scene)

    def test_all_at_once(self) -> None:
        self.check(lambda stage, leader: [*stage.keeper_names, "entry-2"], 0.4)

    def test_entry_first(self) -> None:
        self.check(lambda stage, leader: ["entry-2", *stage.keeper_names], 0.4, 0.05)

    def test_former_leader_last(self) -> None:
        self.check(
            lambda stage, leader: [
                *[name for name in stage.keeper_names if name != leader],
                "entry-2",
                leader,
            ],
            0.4,
            0.05,
        )

    def test_former_leader_gone(self) -> None:
        self.check(
            lambda stage, leader: [
                *[name for name in stage.keeper_names if name != leader],
                "entry-2",
            ],
            1.4,
        )


if __name__ == "__main__":
    unittest.main()
