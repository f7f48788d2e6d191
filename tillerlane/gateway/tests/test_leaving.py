"""Targets that say in their answers that they leave."""

import asyncio
import unittest

from tillerlane.gateway import directory as directories
from tillerlane.testing import gateway_lab, limit_scenes

TOLD_SECONDS = 0.5
"""Time by which all entries have to know that a target leaves."""


class LeavingTest(limit_scenes.LimitCase):
    """The word of leaving is in an answer; heartbeats say nothing of it."""

    entries = 4

    def test_targets_get_new_requests_after_answers_that_say_they_leave(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 3)
            rates = dict.fromkeys(stage.entry_names, 4.0)
            stage.runners["app-1"].leaving = "1"
            began = asyncio.get_running_loop().time()
            answers = await self.ask(stage, rates, 4.0)
            told_at = min(run.began for run in stage.runners["app-1"].ran if run.began >= began)
            self.assertEqual(self.list_sends(stage, "app-1", told_at + TOLD_SECONDS), [])
            self.assertEqual({answer.status for answer in answers}, {200})
            for entry in stage.entries.values():
                phase = entry.directory.targets["app-1"].phase
                self.assertEqual(phase, directories.Phase.DRAINING)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
