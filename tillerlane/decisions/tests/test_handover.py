"""When a run may go on at another runner."""

import itertools
import unittest

from tillerlane.decisions import handover

Evidence = handover.Evidence
Word = handover.Word


class HandoverTest(unittest.TestCase):
    """All kinds of words and evidence."""

    def test_evidence(self) -> None:
        let_go = {
            Evidence.NONE: False,
            Evidence.STOPPED: True,
            Evidence.NO_RUN: True,
            Evidence.PROCESS_ENDED: True,
            Evidence.EXPIRED: True,
            Evidence.OUT_OF_REACH: False,
        }
        self.assertEqual({item: handover.has_let_go(item) for item in Evidence}, let_go)
        may = {item: handover.may_go_on(item, "7") for item in Evidence}
        self.assertEqual(may, {**let_go, Evidence.OUT_OF_REACH: True})

    def test_not_before_the_first_event(self) -> None:
        self.assertFalse(any(handover.may_go_on(item, "") for item in Evidence))

    def test_words(self) -> None:
        always = {
            Word.STOPPED: Evidence.STOPPED,
            Word.UNREACHABLE: Evidence.OUT_OF_REACH,
            Word.NOTHING: Evidence.NONE,
        }
        for is_open, copying in itertools.product((False, True), repeat=2):
            expected = {
                **always,
                Word.NO_RUN: Evidence.NONE if is_open else Evidence.NO_RUN,
                Word.REFUSED: Evidence.NONE if is_open else Evidence.PROCESS_ENDED,
                Word.ORDER_UNDER_WAY: Evidence.NONE if copying else Evidence.STOPPED,
            }
            found = {
                word: handover.judge(word, is_stream_open=is_open, may_be_copying=copying)
                for word in Word
            }
            self.assertEqual(found, expected, (is_open, copying))


if __name__ == "__main__":
    unittest.main()
