"""Elections after restarts: soon, and never beside a leader that still has its lease."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes

STEP_SECONDS = 0.01


def count_leases(stage: gateway_lab.GatewayLab) -> int:
    """Keepers that hold a lease now."""
    return sum(item.replica.has_lease for item in stage.keepers.values())


async def wait_for_lease(stage: gateway_lab.GatewayLab, seconds: float) -> float:
    """Seconds until a keeper holds a lease; more than `seconds` if none does."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while count_leases(stage) == 0 and loop.time() - began <= seconds:
        await asyncio.sleep(STEP_SECONDS)
    return loop.time() - began


class LeaseTest(gateway_scenes.GatewayCase):
    """A leader that was cut off from one voter, and another voter that restarts."""

    keepers = 3

    def test_voter_that_restarts_helps_no_second_leader_while_the_lease_holds(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            # The restart comes at different moments of the other voter's election timeouts.
            for offset in range(20):
                stage.network.heal()
                await asyncio.sleep(4)
                leader = stage.find_leader()
                cut_off, restarted = [name for name in stage.keeper_names if name != leader]
                stage.network.cut(leader, cut_off)
                stage.network.cut(cut_off, leader)
                await asyncio.sleep(2 + offset * 0.083)
                self.assertEqual(stage.find_leader(), leader)
                await stage.kill_keeper(restarted)
                stage.network.cut(leader, restarted)
                stage.network.cut(restarted, leader)
                await stage.start_keeper(restarted)
                for _ in range(200):
                    self.assertLessEqual(count_leases(stage), 1, offset)
                    await asyncio.sleep(STEP_SECONDS)

        self.play(scene)

    def test_voter_that_followed_without_a_vote_remembers_its_leader(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = stage.find_leader()
            for item in stage.keepers.values():
                self.assertEqual(item.replica.storage.voted_for, leader)

        self.play(scene)


class RecoveryTest(gateway_scenes.GatewayCase):
    """Everything stops at once and comes back."""

    keepers = 5
    desired_voters = 5
    entries = 2

    async def stop_all(self, stage: gateway_lab.GatewayLab) -> str:
        """Kill every keeper; gives the one that led."""
        leader = stage.find_leader()
        for name in stage.keeper_names:
            await stage.kill_keeper(name)
        return leader

    def test_former_leader_leads_again_at_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = await self.stop_all(stage)
            for name in stage.keeper_names:
                await stage.start_keeper(name)
            self.assertLess(await wait_for_lease(stage, 5), 0.4)
            self.assertEqual(stage.find_leader(), leader)

        self.play(scene)

    def test_others_lead_once_the_former_lease_has_ended(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = await self.stop_all(stage)
            for name in stage.keeper_names:
                if name != leader:
                    await stage.start_keeper(name)
            self.assertLess(await wait_for_lease(stage, 5), 1.3)

        self.play(scene)

    def test_leader_that_restarts_alone_leads_again_at_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = stage.find_leader()
            await stage.kill_keeper(leader)
            await stage.start_keeper(leader)
            self.assertLess(await wait_for_lease(stage, 5), 0.5)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
