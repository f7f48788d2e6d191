"""Targets that turn requests away and ask for back-off, and what each entry sends them then."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, limit_scenes

UNDER_WAY_SECONDS = 0.5
"""Time after an answer in which requests that were under way may still arrive."""


class BackoffCase(limit_scenes.LimitCase):
    """Base of tests in which targets ask for back-off."""

    def count_most_in_backoff(self, stage: gateway_lab.GatewayLab, target_id: str) -> int:
        """Most requests that one entry's requests made of a target within one back-off."""
        arrived = stage.runners[target_id].arrived
        most = 0
        for refused in arrived:
            entry = refused.request_id.rpartition("-")[0].rpartition("-")[0]
            since = refused.turned_away_at + UNDER_WAY_SECONDS
            until = refused.turned_away_at + refused.backoff
            found = [
                item
                for item in arrived
                if since < item.at < until and item.request_id.startswith(f"{entry}-")
            ]
            most = max(most, len(found))
        return most


class FewEntriesTest(BackoffCase):
    """As many entries and targets as a small deployment has."""

    entries = 4

    def test_targets_get_requests_during_the_backoff_that_they_asked_for(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 4)
            stage.runners["app-1"].refuses = True
            stage.runners["app-1"].backoff = "3"
            await self.ask(stage, dict.fromkeys(stage.entry_names, 4.6), 9.0)
            self.assertGreater(len(stage.runners["app-1"].turned_away), 0)
            self.assertLessEqual(self.count_most_in_backoff(stage, "app-1"), 0)

        self.play(scene)

    def test_requests_turned_away_are_refused_while_other_targets_have_room(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 3)
            stage.runners["app-1"].refuses = True
            stage.runners["app-1"].backoff = "3"
            for route in ("order", "price"):
                answers = await self.ask(stage, dict.fromkeys(stage.entry_names, 4.0), 6.0, route)
                self.assertEqual({answer.status for answer in answers}, {200})

        self.play(scene)

    def test_target_serves_again_when_its_backoff_is_over(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 2)
            runner = stage.runners["app-1"]
            runner.refuses, runner.backoff = True, "2"
            rates = dict.fromkeys(stage.entry_names, 4.0)
            await self.ask(stage, rates, 3.0)
            runner.refuses, runner.backoff = False, ""
            await asyncio.sleep(2.0)
            began = asyncio.get_running_loop().time()
            await self.ask(stage, rates, 3.0)
            self.assertGreater(len(self.list_sends(stage, "app-1", began)), 15)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
