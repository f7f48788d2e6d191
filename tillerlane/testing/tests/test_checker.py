"""Tests of the checker with one broken guarantee of each kind."""

import unittest

from tillerlane.testing import checker, texts


def build_sound() -> checker.Observations:
    """Build observations without a broken guarantee."""
    tokens = [texts.make_token("g", offset) for offset in range(6)]
    whole = checker.StreamRecord([("g", 0, tokens[:2]), ("g", 2, tokens[2:])], 6)
    broken_off = checker.StreamRecord([("g", 0, tokens[:3])], None, "generation_lost", "yes")
    return checker.Observations(
        streams=[whole, broken_off],
        calls=[
            checker.CallRecord("a", [(0, "unknown"), (201, "")]),
            checker.CallRecord("b", [(503, "no")]),
            checker.CallRecord("c", [(502, "unknown")]),
        ],
        changes=[checker.ChangeRecord("c-1", 2), checker.ChangeRecord("c-2", 3)],
        times_run={"a": 1, "c": 1},
        histories={"keeper-1": {2: "c-1", 3: "c-2"}},
        versions={"entry-1": [1, 2, 3, 3]},
        final_versions={"entry-1": 3, "keeper-1": 3},
    )


class CheckerTest(unittest.TestCase):
    """The checker reports each kind of broken guarantee."""

    def check_found(self, seen: checker.Observations, text: str) -> None:
        problems = checker.check(seen)
        self.assertTrue(any(text in problem for problem in problems), problems)

    def test_sound_run_has_no_problem(self) -> None:
        self.assertEqual(checker.check(build_sound()), [])

    def test_lost_token(self) -> None:
        seen = build_sound()
        generation, offset, pieces = seen.streams[0].pieces[1]
        seen.streams[0].pieces[1] = (generation, offset + 1, pieces[1:])
        self.check_found(seen, "lost tokens")

    def test_duplicated_token(self) -> None:
        seen = build_sound()
        seen.streams[0].pieces.insert(1, seen.streams[0].pieces[0])
        self.check_found(seen, "doubled tokens")

    def test_token_of_another_generation(self) -> None:
        seen = build_sound()
        seen.streams[0].pieces[1] = ("g", 2, [texts.make_token("h", n) for n in range(2, 6)])
        self.check_found(seen, "wrong token")

    def test_spliced_generations(self) -> None:
        seen = build_sound()
        seen.streams[0].pieces[1] = ("h", 2, [texts.make_token("h", n) for n in range(2, 6)])
        self.check_found(seen, "2 generations")

    def test_truncated_stream_reported_as_complete(self) -> None:
        seen = build_sound()
        seen.streams[0].finished_tokens = 9
        self.check_found(seen, "ended as complete")

    def test_call_run_twice(self) -> None:
        seen = build_sound()
        seen.times_run["a"] = 2
        self.check_found(seen, "ran 2 times")

    def test_false_not_run(self) -> None:
        seen = build_sound()
        seen.times_run["b"] = 1
        self.check_found(seen, "reported as not run but ran")
        seen = build_sound()
        seen.streams[1].fault_ran = "no"
        self.check_found(seen, "reported as not run after")

    def test_lost_change(self) -> None:
        seen = build_sound()
        del seen.histories["keeper-1"][2]
        self.check_found(seen, "is lost")

    def test_version_assigned_twice_or_decreasing(self) -> None:
        seen = build_sound()
        seen.changes.append(checker.ChangeRecord("c-3", 3))
        self.check_found(seen, "assigned to two changes")
        seen = build_sound()
        seen.versions["entry-1"].append(2)
        self.check_found(seen, "version fell")
        seen = build_sound()
        seen.final_versions["entry-1"] = 2
        self.check_found(seen, "at the end")


if __name__ == "__main__":
    unittest.main()
