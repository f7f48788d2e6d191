"""A stream is resumed over a connection only to the incarnation that is known."""

import unittest

from tillerlane.decisions import delivery, incarnation

Verdict = incarnation.Verdict
STARTED_MS = 1_760_000_000_000


def judge(started_ms: int, *, is_usually_named: bool = True) -> Verdict:
    """Judge an answer that names a start; 0 for none."""
    answer = incarnation.Answer(True, started_ms=started_ms)
    return incarnation.judge(STARTED_MS, answer, is_usually_named=is_usually_named)


class JudgeTest(unittest.TestCase):
    """Verdicts by answer."""

    def test_known_start_is_not_confirmed(self) -> None:
        self.assertIs(judge(STARTED_MS), Verdict.CONFIRMED)
        self.assertIs(judge(STARTED_MS, is_usually_named=False), Verdict.CONFIRMED)
        self.assertTrue(Verdict.CONFIRMED.may_resume)

    def test_other_start_is_used_for_resumed_streams(self) -> None:
        for started_ms in (STARTED_MS - 1, STARTED_MS + 1, 1):
            for is_usually_named in (False, True):
                verdict = judge(started_ms, is_usually_named=is_usually_named)
                self.assertIs(verdict, Verdict.REPLACED)
        self.assertFalse(Verdict.REPLACED.may_resume)

    def test_runners_whose_reports_never_name_a_start_get_no_resumed_streams(self) -> None:
        self.assertIs(judge(0, is_usually_named=False), Verdict.UNNAMED)
        self.assertTrue(Verdict.UNNAMED.may_resume)

    def test_software_whose_reports_name_a_start_is_taken_for_one_whose_do_not(self) -> None:
        self.assertIs(judge(0), Verdict.REPLACED)

    def test_answer_that_is_no_report_is_taken_for_one_of_other_software(self) -> None:
        for is_usually_named, expected in ((True, Verdict.UNANSWERED), (False, Verdict.UNNAMED)):
            answer = incarnation.Answer(is_answered=True, is_report=False)
            verdict = incarnation.judge(STARTED_MS, answer, is_usually_named=is_usually_named)
            self.assertIs(verdict, expected)

    def test_target_without_an_answer_gets_a_stream(self) -> None:
        for is_usually_named in (False, True):
            answer = incarnation.Answer(is_answered=False)
            verdict = incarnation.judge(STARTED_MS, answer, is_usually_named=is_usually_named)
            self.assertIs(verdict, Verdict.UNANSWERED)
        self.assertFalse(Verdict.UNANSWERED.may_resume)


class ServedTest(unittest.TestCase):
    """Runs that a later incarnation works on."""

    def test_run_is_assigned_to_incarnation_that_does_not_list_it(self) -> None:
        cases = [
            # start reported, runs listed: whether it is served
            (STARTED_MS, {"r1": 3}, True),
            (0, {"r1": 3}, True),  # reports that name no start
            (STARTED_MS, {}, False),
            (STARTED_MS, {"r2": 3}, False),
            (STARTED_MS - 1, {"r1": 3}, False),
            (STARTED_MS + 1, {"r1": 3}, False),  # started again meanwhile
        ]
        for started_ms, events, is_served in cases:
            with self.subTest(started_ms=started_ms, events=events):
                report = delivery.RunnerReport(events, has_unlisted=True, started_ms=started_ms)
                self.assertIs(incarnation.is_served_by(report, STARTED_MS, "r1"), is_served)


if __name__ == "__main__":
    unittest.main()
