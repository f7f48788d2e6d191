"""Elections after restarts are fast, and never elect a second leader during a lease."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes

STEP_SECONDS = 0.01


def count_leases(stage: gateway_lab.GatewayLab) -> int:
    """Count the keepers that hold a lease."""
    return sum(item.replica.has_lease for item in stage.keepers.values())


async def wait_for_lease(stage: gateway_lab.GatewayLab, seconds: float) -> float:
    """Wait until a keeper holds a lease, and return the seconds; over `seconds` if none does."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while count_leases(stage) == 0 and loop.time() - started_at <= seconds:
        await asyncio.sleep(STEP_SECONDS)
    return loop.time() - started_at


class LeaseTest(gateway_scenes.GatewayCase):
    """A leader is cut off from one voter while another voter restarts."""

    keepers = 3

    def test_restarted_voter_elects_no_second_leader_during_the_lease(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            # Restart at different times within the other voter's election timeout.
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

    def test_follower_that_granted_no_vote_records_its_leader(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = stage.find_leader()
            for item in stage.keepers.values():
                self.assertEqual(item.replica.storage.voted_for, leader)

        self.play(scene)


class RecoveryTest(gateway_scenes.GatewayCase):
    """All keepers, or the leader, stop and restart."""

    keepers = 5
    desired_voters = 5
    entries = 2

    async def stop_all(self, stage: gateway_lab.GatewayLab) -> str:
        """Kill every keeper, and return the name of the leader."""
        leader = stage.find_leader()
        for name in stage.keeper_names:
            await stage.kill_keeper(name)
        return leader

    def test_former_leader_is_elected_again_at_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = await self.stop_all(stage)
            for name in stage.keeper_names:
                await stage.start_keeper(name)
            self.assertLess(await wait_for_lease(stage, 5), 0.4)
            self.assertEqual(stage.find_leader(), leader)

        self.play(scene)

    def test_another_leader_is_elected_once_the_lease_has_ended(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = await self.stop_all(stage)
            for name in stage.keeper_names:
                if name != leader:
                    await stage.start_keeper(name)
            self.assertLess(await wait_for_lease(stage, 5), 1.3)

        self.play(scene)

    def test_leader_that_restarts_alone_is_elected_again_at_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = stage.find_leader()
            await stage.kill_keeper(leader)
            await stage.start_keeper(leader)
            self.assertLess(await wait_for_lease(stage, 5), 0.5)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
