"""Targets as one entry knows them."""

import unittest
from unittest import mock

from tillerlane.entry import fleet
from tillerlane.peers import messages


class TargetRecordTest(unittest.TestCase):
    """Load reports of one target."""

    def setUp(self) -> None:
        self.view = fleet.FleetView(mock.Mock(), mock.Mock())
        self.record = fleet.TargetRecord("t", "agent-1", mock.Mock(), "hall-a", 0.0)
        self.view.targets["t"] = self.record

    def report(self, incarnation: int, sequence: int, running: int) -> int:
        """Handle a report, and return the number of running requests then known."""
        link = mock.Mock(peer_id="agent-1")
        link.hello.incarnation = incarnation
        load = messages.Load("t", running=running, sequence=sequence)
        self.view.handle_loads(link, messages.Loads([load]), 1.0)
        assert self.record.load is not None
        return self.record.load.running

    def test_reports_of_a_restarted_agent_count_at_once(self) -> None:
        """Guards against reports that are dropped until their sequence passes the former one."""
        self.assertEqual(self.report(1_000, 500, 9), 9)
        self.assertEqual(self.report(2_000, 2, 0), 0)
        self.assertEqual(self.report(2_000, 3, 1), 1)

    def test_late_reports_are_dropped(self) -> None:
        """Guards against an earlier state that replaces a later one."""
        self.assertEqual(self.report(2_000, 5, 3), 3)
        self.assertEqual(self.report(2_000, 4, 7), 3)
        self.assertEqual(self.report(1_000, 900, 8), 3)


if __name__ == "__main__":
    unittest.main()
