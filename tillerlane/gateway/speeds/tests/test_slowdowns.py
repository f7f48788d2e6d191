"""Transient slowdowns: found by one entry, passed on by keepers, and over after a moment."""

import asyncio
import random
import unittest

from tillerlane.decisions import speeds
from tillerlane.gateway import directory as directories
from tillerlane.gateway.speeds import observations, slowdowns
from tillerlane.peers import messages
from tillerlane.testing import gateway_lab, gateway_scenes, lab

SLOW_FACTOR = 2.5
EVENT_SECONDS = 0.042


def list_targets(number: int) -> list[directories.Target]:
    """A pool's targets."""
    phase = directories.Phase.READY
    return [
        directories.Target(f"t{item}", "llm", f"10.0.9.{item}:9000", "hall-a", 24, phase, 1, 0.0)
        for item in range(number)
    ]


class DetectionTest(unittest.TestCase):
    """What one entry takes for a slowdown."""

    def setUp(self) -> None:
        """Create an entry's view of nine runners."""
        self.now = 10.0
        self.found: list[str] = []
        self.slowdowns = slowdowns.Slowdowns(lambda: self.now)
        self.slowdowns.notify = lambda target_id, streams: self.found.append(target_id)
        self.targets = list_targets(9)

    def test_three_late_streams_of_one_runner_within_a_moment(self) -> None:
        for request in ("a", "b", "b"):
            self.slowdowns.record_late("t1", request)
        self.assertEqual(self.found, [])
        self.now += slowdowns.LATE_SECONDS + 0.1
        self.slowdowns.record_late("t1", "c")
        self.assertEqual(self.found, [], "streams that were late at other times do not count")
        for request in ("a", "b", "d"):
            self.slowdowns.record_late("t1", request)
        self.assertEqual(self.found, ["t1"], "told once")
        self.assertEqual(self.slowdowns.find_slow(self.targets), {"t1"})
        self.now += slowdowns.SLOWDOWN_SECONDS
        self.assertEqual(self.slowdowns.find_slow(self.targets), frozenset())

    def test_at_most_a_third_of_a_pool_is_avoided(self) -> None:
        """An entry that falls behind itself would find all runners slow."""
        self.slowdowns.merge([(target.target_id, self.now + 0.6) for target in self.targets])
        self.assertEqual(len(self.slowdowns.find_slow(self.targets)), 3)


class ForwardingTest(gateway_scenes.GatewayCase):
    """Several entries and keepers."""

    entries = 3

    def test_all_entries_hear_of_it_within_a_moment(self) -> None:
        """A part of a slowdown of 0.6 s that is told later than 0.1 s is of no use."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm")
            await stage.add_runner("t2", "llm")
            await stage.add_runner("t3", "llm")
            await asyncio.sleep(0.2)
            first = stage.entries["entry-1"]
            for request in ("a", "b", "c"):
                first.speeds.slowdowns.record_late("t2", request)
            await asyncio.sleep(0.1)
            for daemon in stage.entries.values():
                targets = daemon.directory.list_pool("llm")
                self.assertEqual(daemon.speeds.slowdowns.find_slow(targets), {"t2"})
            lines = [line for line in first.timeline.read() if line.name == "target.slow"]
            self.assertEqual([line.fields["target"] for line in lines], ["t2"])
            await asyncio.sleep(slowdowns.SLOWDOWN_SECONDS)
            for daemon in stage.entries.values():
                self.assertEqual(daemon.speeds.slowdowns.count(), 0)

        self.play(scene)

    def test_keepers_pass_each_slowdown_on_once(self) -> None:
        """Entries that find the same slowdown must not multiply the messages."""

        async def run() -> None:
            to_keepers: list[messages.TargetSlowdowns] = []
            to_entries: list[messages.TargetSlowdowns] = []
            loop = asyncio.get_running_loop()
            updates = slowdowns.SlowdownUpdates(to_keepers.append, to_entries.append, loop.time)
            message = messages.TargetSlowdowns(["t1"], [600])
            for is_of_entry in (True, True, False):
                updates.handle_message(message, is_of_entry=is_of_entry)
            self.assertEqual((len(to_keepers), len(to_entries)), (1, 1))
            updates.handle_message(messages.TargetSlowdowns(["t2"], [500]), is_of_entry=False)
            self.assertEqual((len(to_keepers), len(to_entries)), (1, 2))

        lab.run_virtual(run())


class LastingTest(unittest.TestCase):
    """A runner that turns slow, among six equal ones that relay 20 events a second each."""

    def estimate(self, slow_seconds: float) -> float:
        """Factor of the runner 10 s after it has turned slow."""
        rng = random.Random(1)
        observed = observations.Observations()
        for step in range(800):
            now = step / 20
            for number in range(6):
                is_slow = number == 0 and 30 <= now < 30 + slow_seconds
                seconds = EVENT_SECONDS * rng.uniform(0.8, 1.2) * (SLOW_FACTOR if is_slow else 1)
                observed.record_events(str(number), 1, seconds, now)
        seen = {row[0]: speeds.Seen(*row[1:]) for row in observed.collect(40.0)}
        pool = speeds.estimate_pool(list(seen.values()))
        factors = [speeds.estimate_slowness(item, pool).factor for item in seen.values()]
        return factors[0] / factors[1]

    def test_short_slowdown_does_not_stick_and_a_lasting_one_is_learned(self) -> None:
        self.assertLess(self.estimate(slow_seconds=0.6), 1.1)
        self.assertGreater(self.estimate(slow_seconds=60.0), 1.4)


if __name__ == "__main__":
    unittest.main()
