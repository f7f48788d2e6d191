"""Repeats at one pool: of a fleet whose entries are restarted, and of streams that break off.

Guards against repeats beyond the bound: a restarted entry forgets what it has repeated, and streams
that break off together find the same part of the budget free.
"""

import asyncio

from tillerlane.gateway import budget as budgets
from tillerlane.testing import gateway_lab, gateway_scenes, repeats

BOUNDS = budgets.RetryBounds(ratio=0.2, window_seconds=10.0, allowance=50.0)
"""As the lab's entries have them."""


class RestartTest(gateway_scenes.GatewayCase):
    """All targets of a pool fail all requests, which may be repeated."""

    entries = 4

    def test_entries_restarted_within_a_window_stay_within_the_bound(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for number in range(3):
                runner = await stage.add_runner(f"t{number}", "app", pace=0.01)
                runner.answer_status = 500
            await asyncio.sleep(0.2)
            sent_at = await self.send(stage, 25)
            for name in stage.entry_names:
                await stage.kill_entry(name)
            await asyncio.sleep(0.3)
            for name in stage.entry_names:
                await stage.start_entry(name)
            await asyncio.sleep(1.0)
            sent_at += await self.send(stage, 25)
            await asyncio.sleep(1.0)
            arrivals = [
                repeats.Arrival(item.request_id, runner.target_id, item.at, True, False, None)
                for runner in stage.runners.values()
                for item in runner.arrived
            ]
            arrivals.sort(key=lambda arrival: arrival.at)
            self.assertGreater(len(arrivals), len(sent_at) + 10)
            self.assertIsNone(repeats.find_excess(sent_at, arrivals, BOUNDS))

        self.play(scene)

    async def send(self, stage: gateway_lab.GatewayLab, each: int) -> list[float]:
        """Send requests to all entries, ten a second each; returns when they were sent."""
        loop = asyncio.get_running_loop()
        sent_at: list[float] = []
        calls = []
        for _ in range(each):
            for name in stage.entry_names:
                request_id = f"{name}-{loop.time():.2f}"
                sent_at.append(loop.time())
                calls.append(asyncio.create_task(stage.call(name, "price", request_id)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*calls, return_exceptions=True)
        return sent_at


class BrokenStreamsTest(gateway_scenes.GatewayCase):
    """A runner exits under many streams, each of which may be continued in a new run."""

    def test_streams_that_break_off_together_stay_within_the_budget(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            daemon = stage.entries["entry-1"]
            first = await stage.add_runner("t1", "llm", length=200)
            await asyncio.sleep(5.0)
            fields = {"Token_Counts": "100,40", "Model": "m"}
            calls = [
                asyncio.create_task(stage.call("entry-1", "verdict", f"r{number}", **fields))
                for number in range(46)
            ]
            await asyncio.sleep(0.5)
            second = await stage.add_runner("t2", "llm", length=200)
            await asyncio.sleep(0.2)

            async def take_slowly(admission: object, target: object) -> None:
                """Reserve no memory, after the time that a runner takes to answer."""
                await asyncio.sleep(0.1)

            daemon._relay._streams._reservations.take_if_needed = take_slowly
            self.assertEqual(len(first.ran), 46)
            first.crash()
            await asyncio.gather(*calls)
            # 0.1 of 46 requests, and 0.7 of the allowance.
            self.assertEqual(len(second.ran), 39)

        self.play(scene)
