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
    except http_client.AnswerBroken:
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


if __name__ == "__main__":
    unittest.main()
