"""One runner with good health that resets every request, in a fleet of 27 entries."""

import asyncio

from tillerlane.testing import caller, gateway_lab, gateway_scenes, limit_scenes

RUNNERS = 12
FAULT_SECONDS = 20.0
SHORT_FAULT_SECONDS = 8.0


class ResetScaleTest(limit_scenes.LimitCase):
    """As many entries as the deployment where 15 long runs were lost in a day."""

    keepers = 3
    entries = 27

    async def reset_all(
        self, stage: gateway_lab.GatewayLab, route: str, rate: float, seconds: float = FAULT_SECONDS
    ) -> list[caller.CallerResponse]:
        """Send requests at each entry while a runner resets all of its own."""
        await self.add_targets(stage, RUNNERS, "llm", length=10)
        stage.runners["llm-1"].loses_answer = True
        rates = dict.fromkeys(stage.entry_names, rate)
        return await self.ask(stage, rates, seconds, route, 5_000, **gateway_scenes.LONG)

    def test_runner_that_resets_everything_costs_few_requests(self) -> None:
        """Guards against entries that learn of a failing runner one by one, a request each."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            answers = await self.reset_all(stage, "record", 0.6)
            lost = sum(not answer.is_whole or answer.status != 200 for answer in answers)
            self.assertGreater(len(answers), 300)
            self.assertLessEqual(lost, 3)
            self.assertGreater(lost, 0)

        self.play(scene)

    def test_repeatable_requests_try_the_runner_and_are_not_lost(self) -> None:
        """Guards against a runner that is sound again and stays unused, and against lost trials."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            answers = await self.reset_all(stage, "verdict", 0.6, SHORT_FAULT_SECONDS)
            self.assertEqual({answer.status for answer in answers}, {200})
            runner = stage.runners["llm-1"]
            self.assertLessEqual(len(runner.ran), 6)
            runner.loses_answer = False
            await asyncio.sleep(1.0)
            before = len(runner.ran)
            rates = dict.fromkeys(stage.entry_names, 0.6)
            await self.ask(stage, rates, 6.0, "verdict", 5_000, **gateway_scenes.LONG)
            self.assertGreater(len(runner.ran) - before, 5)

        self.play(scene)

    def test_reset_of_one_stream_leaves_the_runner_in_use(self) -> None:
        """Guards against a sound runner that stays unused after a fault of its network."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 3, "llm", length=10)
            rates = dict.fromkeys(stage.entry_names, 0.6)
            calls = asyncio.create_task(
                self.ask(stage, rates, 6.0, "record", 5_000, **gateway_scenes.LONG)
            )
            await asyncio.sleep(2.0)
            runner = stage.runners["llm-1"]
            while not runner._streams:
                await asyncio.sleep(0.01)
            runner.reset_connections(next(iter(runner._streams)))
            reset_at = asyncio.get_running_loop().time()
            answers = await calls
            self.assertEqual(sum(not answer.is_whole for answer in answers), 1)
            self.assertGreater(len(self.list_sends(stage, "llm-1", reset_at + 2.5)), 0)

        self.play(scene)
