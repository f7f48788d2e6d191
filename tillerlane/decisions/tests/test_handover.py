"""When a run may go on at another runner."""

import itertools
import unittest

from tillerlane.decisions import handover

Evidence = handover.Evidence
StopOutcome = handover.StopOutcome


class HandoverTest(unittest.TestCase):
    """All kinds of words and evidence."""

    def test_evidence(self) -> None:
        let_go = {
            Evidence.NONE: False,
            Evidence.STOPPED: True,
            Evidence.NO_RUN: True,
            Evidence.PROCESS_ENDED: True,
            Evidence.EXPIRED: True,
            Evidence.UNREACHABLE: False,
        }
        self.assertEqual({item: handover.is_released(item) for item in Evidence}, let_go)
        may = {item: handover.can_resume(item, "7") for item in Evidence}
        self.assertEqual(may, {**let_go, Evidence.UNREACHABLE: True})

    def test_not_before_the_first_event(self) -> None:
        self.assertFalse(any(handover.can_resume(item, "") for item in Evidence))

    def test_words(self) -> None:
        always = {
            StopOutcome.STOPPED: Evidence.STOPPED,
            StopOutcome.UNREACHABLE: Evidence.UNREACHABLE,
            StopOutcome.UNCLEAR: Evidence.NONE,
        }
        for is_open, copying in itertools.product((False, True), repeat=2):
            expected = {
                **always,
                StopOutcome.NO_RUN: Evidence.NONE if is_open else Evidence.NO_RUN,
                StopOutcome.REFUSED: Evidence.NONE if is_open else Evidence.PROCESS_ENDED,
                StopOutcome.ORDER_IN_PROGRESS: Evidence.NONE if copying else Evidence.STOPPED,
            }
            found = {
                word: handover.derive_evidence(word, is_stream_open=is_open, may_be_copying=copying)
                for word in StopOutcome
            }
            self.assertEqual(found, expected, (is_open, copying))


if __name__ == "__main__":
    unittest.main()
