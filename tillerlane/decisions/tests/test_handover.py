"""When a run may go on at another runner."""

import unittest

from tillerlane.decisions import handover

Evidence = handover.Evidence


class HandoverTest(unittest.TestCase):
    """All kinds of evidence."""

    def test_table(self) -> None:
        let_go = {
            Evidence.NONE: False,
            Evidence.STOPPED: True,
            Evidence.CLOSED: True,
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


if __name__ == "__main__":
    unittest.main()
