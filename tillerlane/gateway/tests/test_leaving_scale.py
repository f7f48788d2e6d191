"""Targets that report in their answers that they leave, or request back-off, at many entries."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, limit_scenes

PROPAGATION_SECONDS = 0.5


class ManyEntriesTest(limit_scenes.LimitCase):
    """One entry gets the report, and each has little traffic."""

    keepers = 5
    entries = 68
    desired_voters = 5

    def test_leaving_reported_to_one_entry_reaches_the_others_in_time(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 4)
            leaving = stage.runners["app-1"]
            leaving.leaving = "1"
            began = asyncio.get_running_loop().time()
            while not self.list_sends(stage, "app-1", began):
                await self.ask(stage, {"entry-1": 20.0}, 0.05)
            await asyncio.sleep(PROPAGATION_SECONDS)
            for entry in stage.entries.values():
                self.assertTrue(entry.directory.targets["app-1"].is_leaving)
            rejecting = stage.runners["app-2"]
            rejecting.refuses, rejecting.backoff = True, "3"
            rates = dict.fromkeys(stage.entry_names, 0.7)
            answers = await self.ask(stage, rates, 5.0)
            served = sum(answer.status == 200 for answer in answers)
            self.assertGreaterEqual(served, 0.98 * len(answers))
            self.assertLessEqual(len(rejecting.arrived), 2 * len(stage.entries))

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
