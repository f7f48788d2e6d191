"""Events that repeat, skip or were damaged are told from those that follow."""

import unittest

from tillerlane.decisions import event_order


class FaultTest(unittest.TestCase):
    """Ids of an event and of the one before it."""

    def test_event_that_does_not_follow_is_accepted(self) -> None:
        cases = [
            # previous, event: whether it follows
            ("", "1", True),
            ("", "2", False),
            ("", "0", False),
            ("", "", True),  # events without ids
            ("", "a7f", True),
            ("0", "1", True),
            ("7", "8", True),
            ("7", "7", False),
            ("7", "9", False),
            ("7", "1", False),
            ("7", "", False),
            ("7", "x8", False),
            ("7", "8 ", False),
            ("7", "\xb2", False),
            ("1", "\xb2", False),  # a digit for str.isdigit
            ("9" * 18, "1" + "0" * 18, False),
            ("a7f", "a80", True),
            ("a7f", "a7f", False),
            ("a7f", "", False),
            ("a7f", "8", False),
        ]
        for previous_id, event_id, follows in cases:
            with self.subTest(previous_id=previous_id, event_id=event_id):
                self.assertIs(not event_order.find_fault(previous_id, event_id), follows)

    def test_id_that_is_no_decimal_number_is_taken_for_one(self) -> None:
        for event_id in ("", "x", "-1", "1.0", "\xb2", "٣", "9" * 5000):
            self.assertIsNone(event_order.parse_number(event_id))
        self.assertEqual(event_order.parse_number("07"), 7)


if __name__ == "__main__":
    unittest.main()
