"""Changes of voters: no step bears less than the one before, whatever is lost on the way."""

import itertools
import unittest

from tillerlane.decisions import voters

PATIENCE = 2.0


def choose(
    live: str, silent: str, ready: str, wished: int = 5, leaving: str = ""
) -> voters.Step | None:
    """The next step with these voters and standbys, a letter each."""
    known = [
        *(voters.Voter(name, 0.1, name in leaving) for name in live),
        *(voters.Voter(name, 3.0 + number) for number, name in enumerate(silent)),
    ]
    return voters.choose_step(
        known, [voters.Standby(name, True) for name in ready], wished, PATIENCE
    )


def count_bearable(live: str, silent: str) -> int:
    """Disks that may be lost next with these voters."""
    return voters.count_tolerable_losses(len(live) + len(silent), len(live))


def apply(step: voters.Step, live: str, silent: str, ready: str) -> tuple[str, str, str]:
    """Voters and standbys after a step; a live voter that is taken off follows on as a standby."""
    if isinstance(step, voters.AddVoter):
        return live + step.name, silent, ready.replace(step.name, "")
    if step.name in silent:
        return live, silent.replace(step.name, ""), ready
    return live.replace(step.name, ""), silent, ready


class StepTest(unittest.TestCase):
    """Single steps."""

    def test_nothing_changes_while_all_vote(self) -> None:
        self.assertIsNone(choose("abcde", "", "f"))

    def test_silent_voter_goes_first_and_the_standby_comes_then(self) -> None:
        self.assertEqual(choose("abcd", "e", "f"), voters.RemoveVoter("e", "silent for 3.0 s"))
        self.assertEqual(choose("abcd", "", "f"), voters.AddVoter("f"))

    def test_longest_silence_goes_first(self) -> None:
        step = choose("abc", "de", "f")
        self.assertEqual(step, voters.RemoveVoter("e", "silent for 4.0 s"))

    def test_silent_voter_stays_while_nobody_could_take_its_vote(self) -> None:
        self.assertIsNone(choose("abcd", "e", ""))

    def test_short_silence_is_borne(self) -> None:
        known = [voters.Voter(name, 0.1) for name in "abcd"]
        known.append(voters.Voter("e", PATIENCE))
        self.assertIsNone(voters.choose_step(known, [voters.Standby("f", True)], 5, PATIENCE))

    def test_standby_that_is_behind_gets_no_vote(self) -> None:
        known = [voters.Voter(name, 0.1) for name in "abcd"]
        self.assertIsNone(voters.choose_step(known, [voters.Standby("f", False)], 5, PATIENCE))

    def test_leaving_voter_goes_after_the_standby_has_come(self) -> None:
        self.assertEqual(choose("abcde", "", "f", leaving="b"), voters.AddVoter("f"))
        self.assertEqual(choose("abcdef", "", "", leaving="b"), voters.RemoveVoter("b", "it stops"))

    def test_leaving_voter_stays_while_nobody_could_take_its_vote(self) -> None:
        self.assertIsNone(choose("abcde", "", "", leaving="b"))

    def test_one_voter_too_many_goes_only_if_it_is_silent(self) -> None:
        self.assertIsNone(choose("abcdef", "", "g"))
        self.assertEqual(choose("abcde", "f", ""), voters.RemoveVoter("f", "silent for 3.0 s"))


class SequenceTest(unittest.TestCase):
    """All sequences, from all beginnings with a quorum."""

    def list_beginnings(self) -> list[tuple[str, str, str, int, str]]:
        """Live voters, silent ones, standbys, wished number, leaving ones."""
        found = []
        for wished, lost, spare in itertools.product((3, 5, 7), range(4), range(4)):
            names = "abcdefg"[:wished]
            live, silent = names[: wished - lost], names[wished - lost :]
            if count_bearable(live, silent) >= 0:
                for leaving in ("", live[0]):
                    found.append((live, silent, "xyz"[:spare], wished, leaving))
        return found

    def test_no_step_bears_less_and_all_ends_whole(self) -> None:
        beginnings = self.list_beginnings()
        self.assertEqual(len(beginnings), 72)
        for live, silent, ready, wished, leaving in beginnings:
            with self.subTest(live=live, silent=silent, ready=ready, leaving=leaving):
                best = min(len(live) + len(ready), wished)
                borne = count_bearable(live, silent)
                for _ in range(12):
                    step = choose(live, silent, ready, wished, leaving)
                    if step is None:
                        break
                    live, silent, ready = apply(step, live, silent, ready)
                    self.assertGreaterEqual(count_bearable(live, silent), borne, step)
                    borne = count_bearable(live, silent)
                else:
                    self.fail("no end of steps")
                self.assertGreaterEqual(len(live), best - bool(leaving and not ready))

    def test_leader_lost_in_between_leaves_nothing_to_wait_for(self) -> None:
        # Four voters: whoever leads next adds the standby without a look at anybody's silence.
        left = apply(choose("abcd", "e", "f"), "abcd", "e", "f")
        self.assertEqual(left, ("abcd", "", "f"))
        known = [voters.Voter(name, 0.0) for name in left[0]]
        step = voters.choose_step(known, [voters.Standby("f", True)], 5, PATIENCE)
        self.assertEqual(step, voters.AddVoter("f"))


if __name__ == "__main__":
    unittest.main()
