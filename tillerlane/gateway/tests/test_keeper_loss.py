"""What entries know of loads and targets when keepers are lost."""

import asyncio
import unittest
from unittest import mock

from tillerlane.gateway import homes, silence
from tillerlane.peers import link as links
from tillerlane.testing import gateway_lab, gateway_scenes

MAX_GAP_SECONDS = 0.3
LOST = ("keeper-2", "keeper-4")


class KeeperLossTest(gateway_scenes.GatewayCase):
    """Five keepers, two of which are lost while loads change all the time."""

    keepers = 5
    entries = 10
    desired_voters = 5

    async def measure_gaps(self, stage: gateway_lab.GatewayLab, seconds: float) -> dict[str, float]:
        """Longest time between two load digests that each entry merged."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        gaps = dict.fromkeys(stage.entries, 0.0)
        number = 0
        while loop.time() < until:
            number += 1
            for name, entry in stage.entries.items():
                entry.usage.add("10.0.9.1:9000", requests=1, tokens=1_500)
                if number % 40 == 0:
                    entry.usage.add("10.0.9.1:9000", requests=-40, tokens=-60_000)
                age = entry.usage.compute_age(loop.time())
                gaps[name] = max(gaps[name], age if age is not None else 9.0)
            await asyncio.sleep(0.005)
        return gaps

    def play_loss(self, *, is_silent: bool) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            await self.measure_gaps(stage, 3.0)
            primaries = {
                stage.network.names[entry.homes._primary] for entry in stage.entries.values()
            }
            self.assertTrue(primaries & set(LOST))
            for name in LOST:
                if is_silent:
                    stage.network.isolate(name)
                else:
                    await stage.kill_keeper(name)
            gaps = await self.measure_gaps(stage, 4.0)
            self.assertLess(max(gaps.values()), MAX_GAP_SECONDS, gaps)

        self.play(scene)

    def test_gap_between_digests_when_two_hosts_are_lost(self) -> None:
        """Guards against entries that wait for the link's time-out of 0.85 s."""
        self.play_loss(is_silent=True)

    def test_gap_between_digests_when_two_keepers_are_killed(self) -> None:
        """Guards against entries that turn to a second keeper that is lost too."""
        self.play_loss(is_silent=False)

    @mock.patch.object(homes, "SMALL_FLEET_ENTRIES", 0)
    def test_gap_in_a_large_fleet(self) -> None:
        """Guards against entries whose two home keepers are both lost: these dial a third one."""
        self.play_loss(is_silent=True)

    @mock.patch.object(homes, "SMALL_FLEET_ENTRIES", 0)
    def test_target_known_to_a_lost_keeper_only_is_announced_again(self) -> None:
        """Guards against a target that waits for its next heartbeat after the loss of a keeper."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.measure_gaps(stage, 2.0)
            first = stage.entries["entry-1"]
            lost = stage.network.names[first.homes._primary]
            for other in stage.keeper_names:
                stage.network.cut(lost, other)
            await stage.add_runner("t0", "app")
            stage.runners["t1"] = stage.runners["t0"]
            stage.beat("t1", "app", keeper=lost)
            await asyncio.sleep(0.1)
            known = [name for name, item in stage.entries.items() if item.directory.find("t1")]
            self.assertLess(len(known), len(stage.entries))
            stage.network.isolate(lost)
            await self.measure_gaps(stage, 0.3)
            for entry in stage.entries.values():
                self.assertIsNotNone(entry.directory.find("t1"))

        self.play(scene)

    def test_idle_keepers_are_not_taken_for_lost(self) -> None:
        """Guards against entries that change keepers while no loads change."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await asyncio.sleep(2.0)
            former = [entry.homes._primary for entry in stage.entries.values()]
            with mock.patch.object(homes.Homes, "accept_loads", autospec=True) as accept:
                accept.side_effect = lambda item, link: link is item.get_primary()
                await asyncio.sleep(5.0)
            self.assertEqual([entry.homes._primary for entry in stage.entries.values()], former)
            for entry in stage.entries.values():
                self.assertEqual(entry.homes._silence.silence_seconds, silence.SILENCE_SECONDS)
                self.assertIsNone(entry.homes._silence._suspected)

        self.play(scene)


class SilenceTest(unittest.TestCase):
    """When a silent link is taken for lost."""

    def test_false_alarms_allow_longer_silences_for_a_while(self) -> None:
        """Guards against entries that change keepers for each suspension of a busy keeper."""
        link = mock.create_autospec(links.Link, instance=True)
        link.is_open = True
        link.last_heard = 10.0
        detector = silence.SilenceDetector()
        self.assertFalse(detector.suspects(link, 10.0, 10.1))
        self.assertTrue(detector.suspects(link, 10.0, 10.2))
        link.last_heard = 10.3
        self.assertFalse(detector.suspects(link, 10.3, 10.5))
        self.assertTrue(detector.suspects(link, 10.3, 10.7))
        link.is_open = False
        self.assertTrue(detector.suspects(link, 50.0, 50.2))


if __name__ == "__main__":
    unittest.main()
