"""Records of the back-off that targets request from one entry."""

import unittest

from tillerlane.faults import core as faults
from tillerlane.gateway.backpressure import backoff
from tillerlane.peers import messages


class BackoffsTest(unittest.TestCase):
    """One target, with a clock set by the test."""

    def setUp(self) -> None:
        """Create an entry's records."""
        self.now = 100.0
        self.backoffs = backoff.Backoffs(lambda: self.now)

    def test_shorter_backoff_does_not_end_a_longer_one(self) -> None:
        self.backoffs.record("t1", 3.0, "r1")
        self.now += 1.0
        self.assertIsNone(self.backoffs.record("t1", 0.5, "r2"))
        self.assertEqual(self.backoffs.find_end("t1", 0), 103.0)
        self.assertIsNotNone(self.backoffs.record("t1", 4.0, "r3"))
        self.assertEqual(self.backoffs.find_end("t1", 0), 105.0)

    def test_response_to_an_earlier_request_does_not_end_it(self) -> None:
        self.backoffs.record("t1", 3.0, "r1")
        self.now += 0.1
        self.assertIsNone(self.backoffs.record_accepted("t1", 99.9))
        self.assertEqual(self.backoffs.find_end("t1", 0), 103.0)

    def test_one_probe_is_sent_after_the_end(self) -> None:
        self.backoffs.record("t1", 3.0, "r1")
        self.now = 103.0
        self.assertIsNone(self.backoffs.find_end("t1", 0))
        self.backoffs.record_send("t1")
        self.assertEqual(self.backoffs.find_end("t1", 0), 103.0 + backoff.PROBE_INTERVAL_SECONDS)
        self.now += 0.02
        self.assertIsNotNone(self.backoffs.record_accepted("t1", 103.0))
        self.assertIsNone(self.backoffs.find_end("t1", 0))

    def test_fewer_requests_are_under_way_after_it_than_before(self) -> None:
        self.backoffs.record("t1", 3.0, "r1", 8)
        self.now = 103.0
        self.backoffs.record_send("t1")
        self.assertIsNotNone(self.backoffs.record_accepted("t1", 103.0))
        self.assertIsNone(self.backoffs.find_end("t1", 5))
        self.assertIsNotNone(self.backoffs.find_end("t1", 6))
        self.now += 4.0
        self.assertIsNone(self.backoffs.find_end("t1", 7))
        self.assertIsNotNone(self.backoffs.find_end("t1", 8))
        self.now += backoff.RAMP_SECONDS
        self.assertIsNone(self.backoffs.find_end("t1", 100))
        self.assertEqual(self.backoffs.list_all(), [])

    def test_one_request_may_always_be_under_way(self) -> None:
        self.backoffs.record("t1", 3.0, "r1", 0)
        self.now = 103.5
        self.assertIsNone(self.backoffs.find_end("t1", 0))

    def test_unanswered_probe_does_not_block_the_target(self) -> None:
        self.backoffs.record("t1", 3.0, "r1")
        self.now = 103.0
        self.backoffs.record_send("t1")
        self.now += backoff.PROBE_INTERVAL_SECONDS
        self.assertIsNone(self.backoffs.find_end("t1", 0))

    def test_zero_is_ignored_and_days_are_bounded(self) -> None:
        self.assertIsNone(self.backoffs.record("t1", 0.0, "r1"))
        self.assertIsNone(self.backoffs.find_end("t1", 0))
        self.backoffs.record("t1", 1e9, "r2")
        self.assertEqual(self.backoffs.find_end("t1", 0), 100.0 + backoff.MAX_BACKOFF_SECONDS)

    def test_record_is_discarded_with_its_target(self) -> None:
        self.backoffs.record("t1", 3.0, "r1")
        self.backoffs.discard("t1")
        self.assertIsNone(self.backoffs.find_end("t1", 0))
        self.assertEqual(self.backoffs.list_all(), [])

    def test_malformed_message_is_refused(self) -> None:
        """Guards against back-offs that are attributed to the wrong target."""
        with self.assertRaises(faults.FaultError):
            backoff.decode_hints(messages.TargetBackoffs(["t1", "t2"], [300]))


if __name__ == "__main__":
    unittest.main()
