"""Targets that say in their answers that they leave, or ask for back-off, at many entries."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, limit_scenes

TOLD_SECONDS = 0.5


class ManyEntriesTest(limit_scenes.LimitCase):
    """One entry hears of it, and each has little traffic."""

    keepers = 5
    entries = 68
    desired_voters = 5

    def test_one_entrys_word_of_leaving_comes_late_to_the_others(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 4)
            leaving = stage.runners["app-1"]
            leaving.leaving = "1"
            began = asyncio.get_running_loop().time()
            while not self.list_sends(stage, "app-1", began):
                await self.ask(stage, {"entry-1": 20.0}, 0.05)
            await asyncio.sleep(TOLD_SECONDS)
            for entry in stage.entries.values():
                self.assertTrue(entry.directory.targets["app-1"].is_leaving)
            resting = stage.runners["app-2"]
            resting.refuses, resting.backoff = True, "3"
            rates = dict.fromkeys(stage.entry_names, 0.7)
            answers = await self.ask(stage, rates, 5.0)
            served = sum(answer.status == 200 for answer in answers)
            self.assertGreaterEqual(served, 0.98 * len(answers))
            self.assertLessEqual(len(resting.arrived), 2 * len(stage.entries))

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
