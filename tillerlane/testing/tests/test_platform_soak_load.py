"""Short seeded runs of the soak with poison parts of prompts and rushes, and their checks."""

import asyncio
import pathlib
import random
import tempfile
import unittest

from tillerlane.testing import (
    caller,
    platform_checker,
    platform_runner,
    platform_soak,
    poisoned_prompts,
    rushes,
)

POISON_SEED, RUSH_SEED = 5, 3
SECONDS = 12.0
REST_SECONDS = 6.0


def run_soak(seed: int) -> tuple[platform_soak.PlatformSoak, list[str]]:
    """Run a seed; returns the broken guarantees too."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "run"
        return asyncio.run(platform_soak.run_seed(path, seed, SECONDS, REST_SECONDS))


class SeededRunTest(unittest.TestCase):
    """Short runs of the real programs."""

    def test_poison_parts_break_no_guarantee(self) -> None:
        soak, problems = run_soak(POISON_SEED)
        self.assertEqual(problems, [])
        self.assertGreater(soak.done.get("poison", 0), 0)

    def test_rushes_break_no_guarantee(self) -> None:
        soak, problems = run_soak(RUSH_SEED)
        self.assertEqual(problems, [])
        self.assertGreater(soak.done.get("rush", 0), 0)


class PoisonCheckTest(unittest.TestCase):
    """The check of sends with poison parts."""

    def build(self, late: int, *, sound: bool = True) -> platform_checker.Observations:
        """Five exits a second apart, and runs with the part long after the fifth."""
        times = [1.0, 2.0, 3.0, 4.0, 5.0, *[20.0 + number for number in range(late)]]
        runs = [
            platform_runner.RanRequest(
                f"r{at}", {"prompt-prefix": "bad0:50,e0:5"}, "", b"", at, ended="crashed"
            )
            for at in times
        ]
        for run in runs:
            run.ended_at = run.began + 0.1
        return platform_checker.Observations(20, ran={"t1": runs}, are_daemons_sound=sound)

    def test_more_than_three_late_sends_are_reported(self) -> None:
        self.assertEqual(poisoned_prompts.check(self.build(3), ["bad0"]), [])
        self.assertEqual(len(poisoned_prompts.check(self.build(4), ["bad0"])), 1)
        self.assertEqual(poisoned_prompts.check(self.build(4), ["bad1"]), [])

    def test_daemons_with_faults_are_excused(self) -> None:
        self.assertEqual(poisoned_prompts.check(self.build(9, sound=False), ["bad0"]), [])

    def test_drawn_prompts_have_the_poison_part_first_or_second_and_never_last(self) -> None:
        prompts = poisoned_prompts.Prompts(random.Random(1))
        self.assertFalse(any("bad" in prompts.draw(f"r{n}") for n in range(100)))
        prompts.add_poison()
        drawn = [prompts.draw(f"r{number}").split(",") for number in range(500)]
        places = {parts.index("bad0:50") for parts in drawn if "bad0:50" in parts}
        self.assertEqual(places, {0, 1})
        self.assertTrue(all(len(parts) == 3 for parts in drawn if "bad0:50" in parts))


class ShedCheckTest(unittest.TestCase):
    """Unanswered calls are excused as far as their entry has closed connections unread."""

    def check(self, shed: int, *, with_run: bool = False) -> int:
        """Number of broken guarantees of three calls of which nothing came."""
        seen = platform_checker.Observations(20, planned_only=True, read_back={"keeper-1": 1})
        seen.sent, seen.acknowledged = [1], [1]
        for number in range(3):
            call = platform_checker.Call(f"r{number}", "order", caller.KEY, 1.0, 1.1)
            call.entry = "entry-1"
            seen.calls.append(call)
        seen.shed["entry-1", 1] = shed
        seen.shed["entry-2", 1] = 9
        if with_run:
            run = platform_runner.RanRequest("r0", {"credential": caller.KEY}, "", b"", 1.05)
            seen.ran["t1"] = [run]
        return sum("cut by planned work" in item for item in platform_checker.check(seen, 2.0, 5.0))

    def test_calls_beyond_the_connections_shed_are_reported(self) -> None:
        self.assertEqual([self.check(number) for number in range(4)], [3, 2, 1, 0])

    def test_call_that_ran_is_reported(self) -> None:
        self.assertEqual(self.check(3, with_run=True), 1)


class RushCheckTest(unittest.TestCase):
    """The check of the calls served during a rush."""

    def check(self, served: int, status: int = 503) -> list[str]:
        """30 calls before the rush, all served, and 30 during it, of which some are served."""
        seen = platform_checker.Observations(20, planned_only=True)
        for number in range(60):
            is_served = number < 30 + served
            response = caller.CallerResponse(200 if is_served else status, is_whole=is_served)
            at = 1.0 + number * 0.1 + (5.0 if number >= 30 else 0.0)
            call = platform_checker.Call(f"r{number}", "order", caller.KEY, at, entry="entry-1")
            call.response = response
            seen.calls.append(call)
        return rushes.check(seen, [rushes.Rush("entry-1", 5.0, 15.0)])

    def test_fewer_than_three_quarters_of_the_calls_before_are_reported(self) -> None:
        self.assertEqual(self.check(23), [])
        self.assertEqual(len(self.check(22)), 1)

    def test_connections_closed_unread_do_not_count(self) -> None:
        self.assertEqual(self.check(22, status=0), [])


if __name__ == "__main__":
    unittest.main()
