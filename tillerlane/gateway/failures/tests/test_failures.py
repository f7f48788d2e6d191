"""Reports of failing targets in a small fleet, and what is not a target's failure."""

import asyncio
import unittest

from tillerlane.gateway import directory as directories
from tillerlane.testing import gateway_lab, gateway_scenes, limit_scenes


class FailuresTest(limit_scenes.LimitCase):
    """Five keepers and four entries."""

    keepers = 5
    entries = 4
    desired_voters = 5

    def count_failing(self, stage: gateway_lab.GatewayLab) -> list[int]:
        """Number of failing targets that each entry knows."""
        return [entry.failures.count_failing() for entry in stage.entries.values()]

    async def lose_one(self, stage: gateway_lab.GatewayLab) -> None:
        """Have one request reset by the only runner."""
        stage.runners["llm-1"].loses_answer = True
        answer = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
        self.assertEqual(answer.status, 502)
        stage.runners["llm-1"].loses_answer = False

    def test_report_reaches_all_entries_while_keepers_are_lost(self) -> None:
        """Guards against a report that is lost with one keeper."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 1, "llm", length=10)
            await stage.add_runner("llm-2", "llm", length=10)
            stage.runners["llm-2"].loses_answer = True
            for name in ("keeper-2", "keeper-4"):
                stage.network.isolate(name)
            await self.lose_one(stage)
            await asyncio.sleep(0.1)
            self.assertEqual(self.count_failing(stage), [1] * 4)

        self.play(scene)

    def test_planned_leave_is_not_reported(self) -> None:
        """Guards against back-offs that follow from the end of a runner that has said so."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 2, "llm", length=200)
            calls = [
                asyncio.create_task(
                    stage.call(name, "record", f"{name}-{number}", **gateway_scenes.LONG)
                )
                for name in stage.entry_names
                for number in range(3)
            ]
            await asyncio.sleep(0.5)
            self.heartbeats.cancel()
            stage.beat("llm-1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.2)
            stage.runners["llm-1"].crash()
            await asyncio.sleep(0.2)
            self.assertEqual(self.count_failing(stage), [0] * 4)
            for call in calls:
                call.cancel()

        self.play(scene)

    def test_poison_request_leaves_the_sound_targets_clear(self) -> None:
        """Guards against a request that takes all targets from the other requests."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_targets(stage, 6)
            for runner in stage.runners.values():
                runner.poison_bodies = frozenset({b"poison"})
            for name in stage.entry_names[:2]:
                await stage.call(name, "price", f"p-{name}", body=b"poison")
            now = asyncio.get_running_loop().time()
            crashed = {item.target_id for item in stage.runners.values() if item.has_crashed}
            self.assertGreaterEqual(len(crashed), 2)
            for entry in stage.entries.values():
                standings = entry.failures.find_standings("app", 6, now, is_repeatable=False)
                self.assertLessEqual(set(standings), crashed)
                self.assertLessEqual(len(standings), 3)
            answers = await self.ask(stage, dict.fromkeys(stage.entry_names, 5.0), 2.0, "price")
            self.assertEqual({answer.status for answer in answers}, {200})

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
