"""A stream is resumed at the version that began it, and wherever that is possible."""

import itertools
import unittest

from tillerlane.decisions import resumption

Action = resumption.Action
FIRST, SECOND = "v1", "v2"


def decide(
    origin: str | None,
    versions: str,
    usable: str,
    *,
    is_complete: bool = True,
    is_asked: bool = False,
    is_confirmed: bool = True,
) -> Action:
    """Decide with versions given as words."""
    known = resumption.Knowledge(
        origin, len(versions.split()) > 1, frozenset(usable.split()), is_complete, is_confirmed
    )
    return resumption.decide(known, is_asked=is_asked)


class DecideTest(unittest.TestCase):
    """Cases by what is known."""

    def test_stream_of_a_pool_with_one_version_is_restricted(self) -> None:
        self.assertIs(decide(None, "v1", "v1", is_asked=True), Action.ANY)
        self.assertIs(decide(None, "", "", is_asked=True), Action.ANY)

    def test_stream_that_no_keeper_has_answered_for_is_sent_to_the_version_known_here(self) -> None:
        self.assertIs(decide(None, "v1", "v1"), Action.ASK)
        unconfirmed = decide(None, "v1", "v1", is_asked=True, is_confirmed=False)
        self.assertIs(unconfirmed, Action.UNKNOWN)

    def test_unknown_stream_is_sent_to_any_of_several_versions(self) -> None:
        self.assertIs(decide(None, "v1 v2", "v1 v2"), Action.ASK)
        self.assertIs(decide(None, "v1 v2", "v1 v2", is_asked=True), Action.UNKNOWN)

    def test_version_whose_runners_have_just_left_is_forgotten(self) -> None:
        self.assertIs(decide(None, "v1 v2", "v2"), Action.ASK)
        self.assertIs(decide(FIRST, "v1 v2", "v2"), Action.NO_RUNNER)

    def test_only_version_that_has_reported_itself_yet_is_taken_for_the_only_one(self) -> None:
        self.assertIs(decide(None, "v2", "v2", is_complete=False), Action.ASK)
        unknown = decide(None, "v2", "v2", is_complete=False, is_asked=True)
        self.assertIs(unknown, Action.UNKNOWN)
        self.assertIs(decide(FIRST, "v2", "v2", is_complete=False), Action.UNKNOWN)

    def test_known_stream_is_never_sent_to_another_version(self) -> None:
        subsets = ["", "v1", "v2", "v1 v2"]
        for versions, usable in itertools.product(subsets, subsets):
            for is_complete, is_asked in itertools.product((False, True), repeat=2):
                action = decide(FIRST, versions, usable, is_complete=is_complete, is_asked=is_asked)
                self.assertIs(action is Action.REQUIRE, FIRST in usable.split())
                self.assertIsNot(action, Action.ANY)


if __name__ == "__main__":
    unittest.main()
