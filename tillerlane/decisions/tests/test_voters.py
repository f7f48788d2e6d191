"""Changes of voters: no step tolerates fewer losses than the state before it."""

import itertools
import unittest

from tillerlane.decisions import voters

TIMEOUT_SECONDS = 2.0


def choose(
    live: str, unreachable: str, ready: str, desired: int = 5, leaving: str = ""
) -> voters.Step | None:
    """Return the next step with these voters and standbys, named by one character each."""
    known = [
        *(voters.Voter(name, 0.1, name in leaving) for name in live),
        *(voters.Voter(name, 3.0 + number) for number, name in enumerate(unreachable)),
    ]
    return voters.choose_step(
        known, [voters.Standby(name, True) for name in ready], desired, TIMEOUT_SECONDS
    )


def count_tolerable(live: str, unreachable: str) -> int:
    """Return how many more disks may be lost with these voters."""
    return voters.count_tolerable_losses(len(live) + len(unreachable), len(live))


def apply(step: voters.Step, live: str, unreachable: str, ready: str) -> tuple[str, str, str]:
    """Return voters and standbys after a step; a removed voter doesn't become a standby."""
    if isinstance(step, voters.AddVoter):
        return live + step.name, unreachable, ready.replace(step.name, "")
    if step.name in unreachable:
        return live, unreachable.replace(step.name, ""), ready
    return live.replace(step.name, ""), unreachable, ready


class StepTest(unittest.TestCase):
    """Single steps."""

    def test_no_change_while_all_voters_are_live(self) -> None:
        self.assertIsNone(choose("abcde", "", "f"))

    def test_unreachable_voter_is_removed_before_the_standby_is_added(self) -> None:
        self.assertEqual(choose("abcd", "e", "f"), voters.RemoveVoter("e", "unreachable for 3.0 s"))
        self.assertEqual(choose("abcd", "", "f"), voters.AddVoter("f"))

    def test_voter_that_was_unreachable_longest_is_removed_first(self) -> None:
        step = choose("abc", "de", "f")
        self.assertEqual(step, voters.RemoveVoter("e", "unreachable for 4.0 s"))

    def test_unreachable_voter_stays_without_a_standby(self) -> None:
        self.assertIsNone(choose("abcd", "e", ""))

    def test_voter_is_kept_until_the_timeout(self) -> None:
        known = [voters.Voter(name, 0.1) for name in "abcd"]
        known.append(voters.Voter("e", TIMEOUT_SECONDS))
        self.assertIsNone(
            voters.choose_step(known, [voters.Standby("f", True)], 5, TIMEOUT_SECONDS)
        )

    def test_lagging_standby_gets_no_vote(self) -> None:
        known = [voters.Voter(name, 0.1) for name in "abcd"]
        self.assertIsNone(
            voters.choose_step(known, [voters.Standby("f", False)], 5, TIMEOUT_SECONDS)
        )

    def test_leaving_voter_is_removed_after_the_standby_is_added(self) -> None:
        self.assertEqual(choose("abcde", "", "f", leaving="b"), voters.AddVoter("f"))
        self.assertEqual(
            choose("abcdef", "", "", leaving="b"), voters.RemoveVoter("b", "shutting down")
        )

    def test_leaving_voter_stays_without_a_standby(self) -> None:
        self.assertIsNone(choose("abcde", "", "", leaving="b"))

    def test_surplus_voter_is_removed_only_if_unreachable(self) -> None:
        self.assertIsNone(choose("abcdef", "", "g"))
        self.assertEqual(choose("abcde", "f", ""), voters.RemoveVoter("f", "unreachable for 3.0 s"))


class SequenceTest(unittest.TestCase):
    """Sequences of steps from all starting points with a quorum."""

    def list_starting_points(self) -> list[tuple[str, str, str, int, str]]:
        """Return (live voters, unreachable ones, standbys, desired number, leaving ones)."""
        starting_points = []
        for desired, lost, spare in itertools.product((3, 5, 7), range(4), range(4)):
            names = "abcdefg"[:desired]
            live, unreachable = names[: desired - lost], names[desired - lost :]
            if count_tolerable(live, unreachable) >= 0:
                for leaving in ("", live[0]):
                    starting_points.append((live, unreachable, "xyz"[:spare], desired, leaving))
        return starting_points

    def test_no_step_tolerates_less_and_all_end_complete(self) -> None:
        starting_points = self.list_starting_points()
        self.assertEqual(len(starting_points), 72)
        for live, unreachable, ready, desired, leaving in starting_points:
            with self.subTest(live=live, unreachable=unreachable, ready=ready, leaving=leaving):
                best = min(len(live) + len(ready), desired)
                tolerated = count_tolerable(live, unreachable)
                for _ in range(12):
                    step = choose(live, unreachable, ready, desired, leaving)
                    if step is None:
                        break
                    live, unreachable, ready = apply(step, live, unreachable, ready)
                    self.assertGreaterEqual(count_tolerable(live, unreachable), tolerated, step)
                    tolerated = count_tolerable(live, unreachable)
                else:
                    self.fail("steps did not converge")
                self.assertGreaterEqual(len(live), best - bool(leaving and not ready))

    def test_next_leader_continues_without_waiting(self) -> None:
        # With four voters, the next leader adds the standby without waiting for a timeout.
        left = apply(choose("abcd", "e", "f"), "abcd", "e", "f")
        self.assertEqual(left, ("abcd", "", "f"))
        known = [voters.Voter(name, 0.0) for name in left[0]]
        step = voters.choose_step(known, [voters.Standby("f", True)], 5, TIMEOUT_SECONDS)
        self.assertEqual(step, voters.AddVoter("f"))


if __name__ == "__main__":
    unittest.main()
