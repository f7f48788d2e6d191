"""Targets merged from words that come late, twice, and by several ways."""

import unittest

from hypothesis import given, strategies

from tillerlane.gateway import directory as directories
from tillerlane.testing import profiles


def build_target(sequence: int, phase: str = "ready", target_id: str = "t") -> directories.Target:
    """A target's word."""
    return directories.Target(
        target_id, "pool", "10.0.0.1:1", "hall", 6, directories.Phase(phase), sequence, 0.0
    )


WORDS = [(1, "ready"), (2, "ready"), (3, "draining"), (4, "draining"), (4, "gone")]


class DirectoryTest(unittest.TestCase):
    """Merging."""

    @profiles.choose(200)
    @given(strategies.lists(strategies.sampled_from(WORDS), min_size=1, max_size=12))
    def test_leaving_is_never_taken_back(self, words: list[tuple[int, str]]) -> None:
        directory = directories.Directory()
        phases: list[directories.Phase] = []
        directory.add_listener(lambda target, former: phases.append(target.phase))
        for sequence, phase in words:
            directory.merge(build_target(sequence, phase))
        order = ["ready", "draining", "gone"]
        ranks = [order.index(phase.value) for phase in phases]
        self.assertEqual(ranks, sorted(ranks))
        expected = max(order.index(phase) for _, phase in words)
        self.assertEqual(order.index(directory.targets["t"].phase.value), expected)

    def test_silent_target_comes_back_only_with_newer_word(self) -> None:
        directory = directories.Directory()
        directory.merge(build_target(5))
        self.assertEqual(len(directory.mark_silent(1.0)), 1)
        directory.merge(build_target(5))
        self.assertEqual(directory.targets["t"].phase, directories.Phase.SILENT)
        directory.merge(build_target(6))
        self.assertEqual(directory.targets["t"].phase, directories.Phase.READY)

    def test_next_incarnation_at_the_same_address_is_another_target(self) -> None:
        directory = directories.Directory()
        directory.merge(build_target(5, "gone"))
        directory.merge(build_target(1, "ready", "u"))
        self.assertEqual([item.target_id for item in directory.list_pool("pool")], ["u"])

    def test_late_word_of_one_that_is_gone_is_not_believed_for_a_while(self) -> None:
        directory = directories.Directory()
        directory.merge(build_target(5))
        self.assertTrue(directory.mark_gone("t"))
        self.assertFalse(directory.mark_gone("t"))
        directory.expire_old(directories.RETENTION_SECONDS - 1)
        directory.merge(build_target(6))
        self.assertEqual(directory.list_pool("pool"), [])


if __name__ == "__main__":
    unittest.main()
