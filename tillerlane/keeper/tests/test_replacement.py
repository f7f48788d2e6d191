"""A keeper is lost for good, another one comes, and then two more disks are lost.

The story.  Users could not read their configuration back, and each request was refused with "no
configuration yet", for as long as they watched.  Before that a keeper had been lost for good and
an empty one had come at another address; seeds had been exchanged; a change had been acknowledged;
then two keepers lost their disks, and all hosts power.  Five voters were on record, the lost one
among them, and two of their disks were left: nobody could lead.

The cause.  The newcomer had never got the lost one's vote, 25 s after it came.  The leader was no
seed.  A newcomer spoke to its seeds and to those that had spoken to it, and to a leader that is
neither it did not speak; nor the leader to it: each had heard of the other from others only.

The evidence.  Lines of all keepers in a play of the same order of events: the leader knows of no
keeper that waits for a vote (``waiting`` of ``keeper.voters``), while the three that are seeds do;
when the leader was a seed, or a voter other than the leader was lost, the newcomer voted.
"""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes

NEWCOMER = "keeper-6"
NEWCOMER_SECONDS = 1.0
"""From a keeper's loss to the start of its successor."""
CATCH_UP_SECONDS = 4.0
"""After its start a newcomer counts as whole again: the next two disks may be lost."""
RECOVERY_SECONDS = 5.0
"""How long keepers that are back may take until one leads: three elections."""


def list_followers(stage: gateway_lab.GatewayLab) -> list[str]:
    """Names of the live keepers that don't lead."""
    return [name for name in stage.keepers if name != stage.find_leader()]


async def replace(stage: gateway_lab.GatewayLab, lost: str) -> None:
    """Lose a keeper for good, and start an empty one elsewhere."""
    await stage.lose_keeper(lost)
    await asyncio.sleep(NEWCOMER_SECONDS)
    stage.add_keeper(NEWCOMER)
    await stage.start_keeper(NEWCOMER)


class ReplacementCase(gateway_scenes.GatewayCase):
    """Five keepers, of which two may be lost at once; base of the tests."""

    keepers = 5
    desired_voters = 5

    async def check_serves_after_two_losses(
        self, stage: gateway_lab.GatewayLab, wiped: list[str]
    ) -> None:
        """Acknowledge a change, lose two disks and all power, and read the change back."""
        version = max(
            item.replica.state_machine.published.version for item in stage.keepers.values()
        )
        await stage.publish(stage.find_leader(), gateway_lab.build_document(version + 1))
        await stage.lose_power(wiped)
        await asyncio.sleep(RECOVERY_SECONDS)
        leader = stage.find_leader()
        self.assertNotEqual(leader, "", f"nobody leads without the disks of {wiped}")
        self.assertEqual(stage.keepers[leader].replica.state_machine.published.version, version + 1)


class HearsayTest(ReplacementCase):
    """The seeds don't name the leader."""

    async def exchange_seeds(self, stage: gateway_lab.GatewayLab) -> None:
        """Name three live keepers as seeds that don't lead, and lose the former leader."""
        await stage.lose_keeper(stage.find_leader())
        await asyncio.sleep(NEWCOMER_SECONDS * 2)
        stage.set_seeds(list_followers(stage)[:3])

    def test_newcomer_gets_the_lost_vote_though_the_leader_is_no_seed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.exchange_seeds(stage)
            stage.add_keeper(NEWCOMER)
            await stage.start_keeper(NEWCOMER)
            await asyncio.sleep(25)
            leader = stage.find_leader()
            self.assertIn(NEWCOMER, stage.keepers[leader].replica.voters)
            wiped = [leader, next(name for name in list_followers(stage) if name != NEWCOMER)]
            await self.check_serves_after_two_losses(stage, wiped)

        self.play(scene)

    def test_former_seed_that_is_gone_is_dialed_no_more(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            # It was down all the while, so nobody but the settings ever told of it.
            stage.add_keeper("keeper-9")
            address = stage.get_address("keeper-9")
            stage.set_seeds(["keeper-9", "keeper-2", "keeper-3"])
            await asyncio.sleep(1)
            dialed = [item.node.get_dialed() for item in stage.keepers.values()]
            self.assertTrue(all(address in found for found in dialed))
            stage.set_seeds(["keeper-1", "keeper-2", "keeper-3"])
            await asyncio.sleep(1)
            dialed = [item.node.get_dialed() for item in stage.keepers.values()]
            self.assertFalse(any(address in found for found in dialed))
            self.assertTrue(all(len(found) == self.keepers - 1 for found in dialed), dialed)

        self.play(scene)


class TimeTest(ReplacementCase):
    """Whoever is lost, the vote is the newcomer's when it counts as whole."""

    def check(self, lost: str) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            name = stage.find_leader() if lost == "leader" else list_followers(stage)[-1]
            await replace(stage, name)
            await asyncio.sleep(CATCH_UP_SECONDS)
            leader = stage.find_leader()
            wiped = [leader, next(name for name in list_followers(stage) if name != NEWCOMER)]
            await self.check_serves_after_two_losses(stage, wiped)

        self.play(scene)

    def test_two_disks_may_be_lost_once_a_newcomer_counts_as_whole(self) -> None:
        for lost in ("leader", "follower"):
            with self.subTest(lost=lost):
                self.check(lost)


class PlannedTest(ReplacementCase):
    """The newcomer comes first, and counts as whole; then its predecessor stops for good."""

    def check(self, leads: bool) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            stage.add_keeper(NEWCOMER)
            await stage.start_keeper(NEWCOMER)
            await asyncio.sleep(CATCH_UP_SECONDS)
            followers = [name for name in list_followers(stage) if name != NEWCOMER]
            stopped = stage.find_leader() if leads else followers[0]
            await stage.stop_keeper(stopped)
            stage.keeper_names.remove(stopped)
            wiped = [name for name in stage.keeper_names if name != NEWCOMER][:2]
            await stage.lose_power(wiped)
            await asyncio.sleep(RECOVERY_SECONDS)
            self.assertNotEqual(stage.find_leader(), "", f"nobody leads without {wiped}")

        self.play(scene)

    def test_two_disks_may_be_lost_once_the_predecessor_has_stopped(self) -> None:
        for leads in (False, True):
            with self.subTest(leads=leads):
                self.check(leads)

    def test_stop_without_a_standby_waits_for_nobody(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            began = asyncio.get_running_loop().time()
            await stage.stop_keeper(list_followers(stage)[0])
            self.assertLess(asyncio.get_running_loop().time() - began, 0.1)

        self.play(scene)

    def test_keepers_restarted_in_turn_all_vote_or_stand_by(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            stage.add_keeper(NEWCOMER)
            await stage.start_keeper(NEWCOMER)
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


class InterruptedTest(ReplacementCase):
    """The leader is lost in the middle of an exchange, and comes back."""

    async def wait_for_a_step(self, stage: gateway_lab.GatewayLab) -> str:
        """Wait until the voters on the leader's record are no longer five; gives the leader."""
        while True:
            await asyncio.sleep(0.001)
            leader = stage.find_leader()
            if leader and len(stage.keepers[leader].replica.voters) != self.desired_voters:
                return leader

    def test_two_disks_may_be_lost_once_the_leader_counts_as_whole_again(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await replace(stage, list_followers(stage)[-1])
            leader = await self.wait_for_a_step(stage)
            await stage.kill_keeper(leader)
            await asyncio.sleep(1)
            await stage.start_keeper(leader)
            await asyncio.sleep(CATCH_UP_SECONDS)
            wiped = [name for name in list_followers(stage) if name not in (NEWCOMER, leader)][:2]
            await self.check_serves_after_two_losses(stage, wiped)

        self.play(scene)


class SeedsWithoutVotesTest(ReplacementCase):
    """Seeds are exchanged for keepers that have no vote, and an entry knows nobody else."""

    async def add_spares(self, stage: gateway_lab.GatewayLab, count: int) -> list[str]:
        """Start further keepers, empty, while five vote."""
        names = [f"keeper-{number}" for number in range(6, 6 + count)]
        for name in names:
            stage.add_keeper(name)
            await stage.start_keeper(name)
        return names

    def test_entry_that_starts_anew_serves(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            stage.set_seeds(await self.add_spares(stage, 3))
            await asyncio.sleep(CATCH_UP_SECONDS)
            stage.add_entry("entry-2")
            await stage.start_entry("entry-2")
            await asyncio.sleep(1)
            self.assertEqual((await stage.call("entry-2", "order", "r1")).status, 200)

        self.play(scene)

    def test_entry_learns_who_votes_from_a_keeper_that_has_just_started(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            await asyncio.sleep(0.5)
            # More than follow the log, so that the entry's seeds hold nothing themselves.
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
    """A keeper that once asked for votes in vain knows a later term, and lacks what came since."""

    def test_three_disks_on_record_elect_a_leader_whatever_terms_they_know(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            leader = stage.find_leader()
            behind, first, second, third = list_followers(stage)
            # What a candidate's disk holds that won its pre-vote while the leader paused, and was
            # cut off before it could ask for votes.
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
