"""Choice of a runner for a prompt, with old or recent reports of other entries."""

import collections
import unittest

from tillerlane.decisions import placing
from tillerlane.gateway import directory as directories
from tillerlane.gateway import routes, usage
from tillerlane.testing import selectors

PROMPT_TOKENS = 3_000
WORK = placing.Work(PROMPT_TOKENS, PROMPT_TOKENS)
RUNNERS = 10
ENGINE = routes.Engine(
    slots=24,
    memory_tokens=34_000,
    token_bytes=131_072,
    link_mbps=19_000.0,
    event_tokens=4,
    can_move=True,
    can_back_up=True,
    copy_retention_seconds=5.0,
)


class SamplingTest(unittest.TestCase):
    """One runner is slightly less loaded than nine others, which are equal."""

    def setUp(self) -> None:
        """Create ten runners, and an entry that knows some others."""
        self.now = 10.0
        self.directory = directories.Directory()
        for number in range(RUNNERS):
            self.directory.merge(
                directories.Target(
                    f"t{number}",
                    "llm",
                    f"10.0.9.{number}:9000",
                    "hall-a",
                    24,
                    directories.Phase.READY,
                    1,
                    self.now,
                )
            )
        self.usage = usage.Usage("entry-0")
        self.pool = routes.Pool("llm", "/health", 200, ENGINE)

    def count_choices(self, entries: int, prompts: int) -> collections.Counter[str]:
        """Choices of one of several entries that has sent some prompts within a second."""
        for number in range(1, RUNNERS):
            self.usage.add(f"10.0.9.{number}:9000", requests=1, tokens=1_000)
        self.usage.entries = entries
        self.usage.record_request("llm", self.now - 60.0)  # it has been running for long
        for _ in range(prompts):
            self.usage.record_request("llm", self.now)
        selector = selectors.build_selector(self.directory, self.usage, "hall-a", self.now)
        chosen: collections.Counter[str] = collections.Counter()
        for _ in range(200):
            target = selector.choose(self.pool, WORK, ())
            assert target is not None
            chosen[target.target_id] += 1
        return chosen

    def test_least_loaded_is_chosen_while_reports_are_recent(self) -> None:
        self.assertEqual(self.count_choices(entries=4, prompts=5)["t0"], 200)

    def test_single_entry_always_chooses_the_least_loaded(self) -> None:
        self.assertEqual(self.count_choices(entries=1, prompts=100)["t0"], 200)

    def test_many_entries_do_not_all_choose_one_runner(self) -> None:
        chosen = self.count_choices(entries=23, prompts=8)
        self.assertEqual(len(chosen), RUNNERS)
        self.assertLess(chosen["t0"], 50)

    def test_much_busier_runner_is_not_chosen(self) -> None:
        self.usage.add("10.0.9.9:9000", unread=2 * PROMPT_TOKENS)
        self.assertEqual(self.count_choices(entries=23, prompts=8)["t9"], 0)

    def test_entry_that_has_just_started_expects_as_many_unreported_as_others(self) -> None:
        """Two requests a second for 1.5 s: 9 unreported, not 27, without correcting the rate."""
        self.usage.entries = 68
        for number in range(4):
            self.usage.record_request("llm", 0.5 * number)
        self.assertAlmostEqual(self.usage.estimate_unreported("llm", 1.5), 2 * 67 * 0.2, delta=13)
        for number in range(4, 100):
            self.usage.record_request("llm", 0.5 * number)
        self.assertAlmostEqual(self.usage.estimate_unreported("llm", 49.5), 2 * 67 * 0.2, delta=2)
        self.assertLess(self.usage.estimate_unreported("llm", 69.5), 1.0)

    def choose_destination(self, near: int) -> str:
        """Hall chosen for a copy if the first `near` runners, busier, are in the source's hall."""
        for number in range(RUNNERS):
            is_near = number < near
            self.directory.targets[f"t{number}"].data_hall = "hall-a" if is_near else "hall-b"
            if is_near:
                self.usage.add(f"10.0.9.{number}:9000", requests=6, tokens=7_000)
        selector = selectors.build_selector(self.directory, self.usage, "hall-b", self.now)
        chosen = selector.choose(self.pool, placing.Work(PROMPT_TOKENS), (), source_hall="hall-a")
        assert chosen is not None
        return chosen.data_hall

    def test_runs_of_a_leaving_runner_do_not_all_go_to_the_one_that_has_just_started(self) -> None:
        """Without counting the leaving runner's runs, all 200 went there."""
        for number in range(1, RUNNERS):
            self.usage.add(f"10.0.9.{number}:9000", requests=4, tokens=9_000)
        leaving = self.directory.targets["t9"]
        leaving.phase = directories.Phase.DRAINING
        self.usage.add(leaving.address, requests=8)
        selector = selectors.build_selector(self.directory, self.usage, "hall-a", self.now)
        work = placing.Work(PROMPT_TOKENS, events=100)
        chosen: collections.Counter[str] = collections.Counter()
        for _ in range(200):
            target = selector.choose(self.pool, work, (), source_hall="hall-a")
            assert target is not None
            chosen[target.target_id] += 1
        self.assertEqual(chosen["t9"], 0)
        self.assertLess(chosen["t0"], 70)
        self.assertEqual(len(chosen), RUNNERS - 1)

    def test_copies_stay_in_a_hall_with_several_runners(self) -> None:
        self.assertEqual(self.choose_destination(near=4), "hall-a")

    def test_copies_do_not_all_go_to_the_only_runner_of_the_hall(self) -> None:
        self.assertEqual(self.choose_destination(near=1), "hall-b")


if __name__ == "__main__":
    unittest.main()
