"""Replacement of a keeper that is lost for good, followed by the loss of two more disks.

Guards against a new keeper that never gets the lost one's vote.  The leader was no seed, and the
new keeper and the leader knew each other only from reports of others, so neither contacted the
other and the new keeper had no vote 25 s after its start.  The leader's ``keeper.voters`` then
lists no ``waiting`` keeper, while those of the three seeds do.  When two more disks were lost, two
disks of five voters on record were left: no leader could be elected, and every request was refused
with "no configuration yet".
"""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes

NEW_KEEPER = "keeper-6"
REPLACEMENT_DELAY_SECONDS = 1.0
"""Time from the loss of a keeper to the start of its successor."""
CATCH_UP_SECONDS = 4.0
"""Time from the start of a new keeper until the next two disks may be lost."""
RECOVERY_SECONDS = 5.0
"""Time in which restarted keepers must elect a leader: three elections."""


def list_followers(stage: gateway_lab.GatewayLab) -> list[str]:
    """List the names of the live keepers that don't lead."""
    return [name for name in stage.keepers if name != stage.find_leader()]


async def replace(stage: gateway_lab.GatewayLab, lost: str) -> None:
    """Lose a keeper for good, and start an empty one at another address."""
    await stage.lose_keeper(lost)
    await asyncio.sleep(REPLACEMENT_DELAY_SECONDS)
    stage.add_keeper(NEW_KEEPER)
    await stage.start_keeper(NEW_KEEPER)


class ReplacementCase(gateway_scenes.GatewayCase):
    """Five keepers, of which two may be lost at once; base class of the tests."""

    keepers = 5
    desired_voters = 5

    async def check_serves_after_two_losses(
        self, stage: gateway_lab.GatewayLab, wiped: list[str]
    ) -> None:
        """Publish a change, lose two disks and all power, and check that the change is in force."""
        version = max(
            item.replica.state_machine.published.version for item in stage.keepers.values()
        )
        await stage.publish(stage.find_leader(), gateway_lab.build_document(version + 1))
        await stage.lose_power(wiped)
        await asyncio.sleep(RECOVERY_SECONDS)
        leader = stage.find_leader()
        self.assertNotEqual(leader, "", f"no leader without the disks of {wiped}")
        self.assertEqual(stage.keepers[leader].replica.state_machine.published.version, version + 1)


class IndirectDiscoveryTest(ReplacementCase):
    """The leader is not a seed, so a new keeper learns of it from others."""

    async def replace_seeds(self, stage: gateway_lab.GatewayLab) -> None:
        """Lose the leader, and set three live keepers that don't lead as seeds."""
        await stage.lose_keeper(stage.find_leader())
        await asyncio.sleep(REPLACEMENT_DELAY_SECONDS * 2)
        stage.set_seeds(list_followers(stage)[:3])

    def test_new_keeper_gets_the_lost_vote_though_the_leader_is_no_seed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.replace_seeds(stage)
            stage.add_keeper(NEW_KEEPER)
            await stage.start_keeper(NEW_KEEPER)
            await asyncio.sleep(25)
            leader = stage.find_leader()
            self.assertIn(NEW_KEEPER, stage.keepers[leader].replica.voters)
            wiped = [leader, next(name for name in list_followers(stage) if name != NEW_KEEPER)]
            await self.check_serves_after_two_losses(stage, wiped)

        self.play(scene)

    def test_former_seed_that_is_down_is_no_longer_dialed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            # It was never up, so that only the settings name it.
            stage.add_keeper("keeper-9")
            address = stage.get_address("keeper-9")
            stage.set_seeds(["keeper-9", "keeper-2", "keeper-3"])
            await asyncio.sleep(1)
            dialed = [item.node.get_dialed() for item in stage.keepers.values()]
            self.assertTrue(all(address in addresses for addresses in dialed))
            stage.set_seeds(["keeper-1", "keeper-2", "keeper-3"])
            await asyncio.sleep(1)
            dialed = [item.node.get_dialed() for item in stage.keepers.values()]
            self.assertFalse(any(address in addresses for addresses in dialed))
            self.assertTrue(all(len(addresses) == self.keepers - 1 for addresses in dialed), dialed)

        self.play(scene)


class CatchUpTest(ReplacementCase):
    """A new keeper has the vote of a lost leader or follower within `CATCH_UP_SECONDS`."""

    def check(self, lost: str) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            name = stage.find_leader() if lost == "leader" else list_followers(stage)[-1]
            await replace(stage, name)
            await asyncio.sleep(CATCH_UP_SECONDS)
            leader = stage.find_leader()
            wiped = [leader, next(name for name in list_followers(stage) if name != NEW_KEEPER)]
            await self.check_serves_after_two_losses(stage, wiped)

        self.play(scene)

    def test_two_disks_may_be_lost_once_a_new_keeper_has_caught_up(self) -> None:
        for lost in ("leader", "follower"):
            with self.subTest(lost=lost):
                self.check(lost)


class PlannedReplacementTest(ReplacementCase):
    """Planned replacement: the new keeper catches up before its predecessor stops for good."""

    def check(self, leads: bool) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            stage.add_keeper(NEW_KEEPER)
            await stage.start_keeper(NEW_KEEPER)
            await asyncio.sleep(CATCH_UP_SECONDS)
            followers = [name for name in list_followers(stage) if name != NEW_KEEPER]
            stopped = stage.find_leader() if leads else followers[0]
            await stage.stop_keeper(stopped)
            stage.keeper_names.remove(stopped)
            wiped = [name for name in stage.keeper_names if name != NEW_KEEPER][:2]
            await stage.lose_power(wiped)
            await asyncio.sleep(RECOVERY_SECONDS)
            self.assertNotEqual(stage.find_leader(), "", f"no leader without {wiped}")

        self.play(scene)

    def test_two_disks_may_be_lost_once_the_predecessor_has_stopped(self) -> None:
        for leads in (False, True):
            with self.subTest(leads=leads):
                self.check(leads)

    def test_stop_without_a_standby_does_not_wait(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            started_at = asyncio.get_running_loop().time()
            await stage.stop_keeper(list_followers(stage)[0])
            self.assertLess(asyncio.get_running_loop().time() - started_at, 0.1)

        self.play(scene)

    def test_keepers_restarted_in_turn_vote_or_stand_by(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            stage.add_keeper(NEW_KEEPER)
            await stage.start_keeper(NEW_KEEPER)
            await asyncio.sleep(CATCH_UP_SECONDS)
            for name in list(stage.keeper_names):
                await stage.stop_keeper(name)
                await asyncio.sleep(0.5)
                await stage.start_keeper(name)
                await asyncio.sleep(CATCH_UP_SECONDS)
            leader = stage.find_leader()
            await self.check_serves_after_two_losses(stage, list_followers(stage)[:2])
            self.assertEqual(len(stage.keepers[stage.find_leader()].replica.voters), 5, leader)

        self.play(scene)


class InterruptedReplacementTest(ReplacementCase):
    """The leader is killed in the middle of a replacement, and restarts."""

    async def wait_for_voter_change(self, stage: gateway_lab.GatewayLab) -> str:
        """Wait until the leader has changed the number of voters, and return its name."""
        while True:
            await asyncio.sleep(0.001)
            leader = stage.find_leader()
            if leader and len(stage.keepers[leader].replica.voters) != self.desired_voters:
                return leader

    def test_two_disks_may_be_lost_once_the_leader_has_caught_up(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await replace(stage, list_followers(stage)[-1])
            leader = await self.wait_for_voter_change(stage)
            await stage.kill_keeper(leader)
            await asyncio.sleep(1)
            await stage.start_keeper(leader)
            await asyncio.sleep(CATCH_UP_SECONDS)
            wiped = [name for name in list_followers(stage) if name not in (NEW_KEEPER, leader)][:2]
            await self.check_serves_after_two_losses(stage, wiped)

        self.play(scene)


class SeedsWithoutVotesTest(ReplacementCase):
    """The seeds are replaced by keepers without a vote, and a new entry knows no other keepers."""

    async def add_spares(self, stage: gateway_lab.GatewayLab, count: int) -> list[str]:
        """Start further empty keepers beside the five voters."""
        names = [f"keeper-{number}" for number in range(6, 6 + count)]
        for name in names:
            stage.add_keeper(name)
            await stage.start_keeper(name)
        return names

    def test_new_entry_serves(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            stage.set_seeds(await self.add_spares(stage, 3))
            await asyncio.sleep(CATCH_UP_SECONDS)
            stage.add_entry("entry-2")
            await stage.start_entry("entry-2")
            await asyncio.sleep(1)
            self.assertEqual((await stage.call("entry-2", "order", "r1")).status, 200)

        self.play(scene)

    def test_entry_learns_the_voters_from_a_new_keeper(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            await asyncio.sleep(0.5)
            # More than follow the log, so that the entry's seeds don't hold the configuration.
            names = await self.add_spares(stage, 4 + 3)
            await asyncio.sleep(1)
            followed = stage.keepers[stage.find_leader()].replica.replication.standbys
            stage.set_seeds([name for name in names if name not in followed])
            stage.add_entry("entry-2")
            await stage.start_entry("entry-2")
            await asyncio.sleep(2)
            self.assertEqual((await stage.call("entry-2", "order", "r1")).status, 200)

        self.play(scene)


class LaterTermTest(ReplacementCase):
    """A keeper that lost an election is in a later term, and lacks later entries."""

    def test_three_disks_on_record_elect_a_leader_whatever_their_terms(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = stage.find_leader()
            behind, first, second, third = list_followers(stage)
            # The state of a candidate that won its pre-vote while the leader was paused, and was
            # cut off before it could request votes.
            stage.network.isolate(behind)
            storage = stage.keepers[behind].replica.storage
            storage.save_vote(storage.term + 1, behind)
            await asyncio.sleep(1)
            await stage.publish(leader, gateway_lab.build_document(2))
            for name in (behind, first, second, third, leader):
                await stage.kill_keeper(name, wipe=name in (leader, third))
            stage.network.heal()
            for name in stage.keeper_names:
                await stage.start_keeper(name)
            await asyncio.sleep(RECOVERY_SECONDS)
            self.assertNotEqual(stage.find_leader(), "")
            self.assertEqual(stage.keepers[behind].replica.state_machine.published.version, 2)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
