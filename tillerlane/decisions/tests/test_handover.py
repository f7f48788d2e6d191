"""When a run may be resumed at another runner."""

import itertools
import unittest

from tillerlane.decisions import handover

Evidence = handover.Evidence
StopOutcome = handover.StopOutcome


class HandoverTest(unittest.TestCase):
    """All stop outcomes and kinds of evidence."""

    def test_evidence(self) -> None:
        released = {
            Evidence.NONE: False,
            Evidence.STOPPED: True,
            Evidence.NO_RUN: True,
            Evidence.PROCESS_ENDED: True,
            Evidence.EXPIRED: True,
            Evidence.UNREACHABLE: False,
        }
        self.assertEqual({item: handover.is_released(item) for item in Evidence}, released)
        resumable = {item: handover.can_resume(item, "7") for item in Evidence}
        self.assertEqual(resumable, {**released, Evidence.UNREACHABLE: True})

    def test_run_without_an_event_is_not_resumed(self) -> None:
        self.assertFalse(any(handover.can_resume(item, "") for item in Evidence))

    def test_stop_outcomes(self) -> None:
        unconditional = {
            StopOutcome.STOPPED: Evidence.STOPPED,
            StopOutcome.UNREACHABLE: Evidence.UNREACHABLE,
            StopOutcome.UNCLEAR: Evidence.NONE,
        }
        for is_open, copying in itertools.product((False, True), repeat=2):
            expected = {
                **unconditional,
                StopOutcome.NO_RUN: Evidence.NONE if is_open else Evidence.NO_RUN,
                StopOutcome.REFUSED: Evidence.NONE if is_open else Evidence.PROCESS_ENDED,
                StopOutcome.ORDER_IN_PROGRESS: Evidence.NONE if copying else Evidence.STOPPED,
            }
            found = {
                outcome: handover.derive_evidence(
                    outcome, is_stream_open=is_open, may_be_copying=copying
                )
                for outcome in StopOutcome
            }
            self.assertEqual(found, expected, (is_open, copying))


if __name__ == "__main__":
    unittest.main()
