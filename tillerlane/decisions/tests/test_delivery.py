"""When a runner's report shows that something of a stream must have arrived and has not."""

import unittest

from tillerlane.decisions import delivery


class OverdueTest(unittest.TestCase):
    """Guards against cutting a sound run, and against waiting for a connection that is lost."""

    def test_only_what_was_made_and_did_not_arrive_is_overdue(self) -> None:
        cases = [
            # events listed, unlisted requests, received, begun: overdue
            (12, False, 10, True, True),
            (10, False, 10, True, False),  # slow, or preempted with its memory kept
            (8, False, 10, True, False),  # an old report
            (1, False, 0, False, True),  # its head is lost
            (10, True, 10, False, False),  # resumed after event 10, and still reads
            (None, True, 10, True, False),  # may be preempted
            (None, False, 10, True, True),  # has ended
            (None, False, 0, False, False),  # may not be counted yet
            (None, False, 10, False, False),
        ]
        for made, has_unlisted, received, has_begun, is_overdue in cases:
            with self.subTest(made=made, received=received, has_begun=has_begun):
                events = {"other": 40} | ({"r1": made} if made is not None else {})
                report = delivery.RunnerReport(events, has_unlisted)
                found = delivery.is_overdue(report, "r1", received, has_begun=has_begun)
                self.assertIs(found, is_overdue)

    def test_report_that_lists_no_runs_is_taken_for_one_without_this_run(self) -> None:
        report = delivery.RunnerReport({}, has_unlisted=False, started_ms=1, lists_runs=False)
        self.assertFalse(delivery.is_overdue(report, "r1", 10, has_begun=True))
