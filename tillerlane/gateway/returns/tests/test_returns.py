"""Refused callers that return, at one entry and in a fleet."""

import asyncio
import unittest

from tillerlane.faults import core as faults
from tillerlane.gateway.returns import table
from tillerlane.peers import messages
from tillerlane.testing import gateway_lab, gateway_scenes


class ReturnTableTest(unittest.TestCase):
    """One entry, with a clock set by the test."""

    def setUp(self) -> None:
        self.now = 100.0
        self.returns = table.ReturnTable(lambda: self.now)

    def refuse(self, fingerprint: str, first_arrived: float = 99.0) -> float:
        """Refuse a request for which memory is free after 1 s; returns the delay."""
        return self.returns.record_refusal(fingerprint, first_arrived, 3_000, 3_000.0, 20.0)

    def test_caller_that_waits_for_its_turn_keeps_its_first_arrival_once(self) -> None:
        """Guards against callers that lose their place by a refusal, or keep it for all copies."""
        self.now += self.refuse("a")
        self.assertIsNone(self.returns.find_first_arrival("b"))
        self.assertEqual(self.returns.find_first_arrival("a"), 99.0)
        self.assertIsNone(self.returns.find_first_arrival("a"))

    def test_caller_that_returns_early_gains_nothing(self) -> None:
        """Guards against callers that retry at once and so go before those that wait."""
        delay = self.refuse("a")
        self.now += delay / 2
        self.assertIsNone(self.returns.find_first_arrival("a"))
        self.now += delay / 2
        self.assertEqual(self.returns.find_first_arrival("a"), 99.0)

    def test_second_refusal_keeps_the_first_arrival(self) -> None:
        """Guards against a caller that falls behind at each refusal."""
        self.refuse("a", 95.0)
        self.refuse("a", 100.0)
        self.now += 10.0
        self.assertEqual(self.returns.find_first_arrival("a"), 95.0)

    def test_turns_of_other_entries_count(self) -> None:
        """Guards against entries that give out the same turns."""
        others = [table.RefusedCaller(f"o{item}", 99.0, 100.5 + item / 10) for item in range(3)]
        self.returns.merge(others)
        self.assertAlmostEqual(self.refuse("a"), 4.0)

    def test_state_is_bounded_and_expires(self) -> None:
        """Guards against memory that grows with each refusal."""
        for number in range(2 * table.MAX_CALLERS):
            self.refuse(f"{number}")
        self.assertEqual(len(self.returns), table.MAX_CALLERS)
        self.now += table.RETENTION_SECONDS + 1.0
        self.assertIsNone(self.returns.find_first_arrival(f"{2 * table.MAX_CALLERS - 1}"))
        self.refuse("a")
        self.assertEqual(len(self.returns), 1)

    def test_malformed_message_is_refused(self) -> None:
        """Guards against arrivals that are attributed to the wrong caller."""
        with self.assertRaises(faults.FaultError):
            table.decode_returns(messages.CallerReturns(["a", "b"], [1, 2], [3]))


class FleetTest(gateway_scenes.GatewayCase):
    """Several keepers and entries."""

    keepers = 3
    entries = 6

    def test_caller_returns_at_any_entry(self) -> None:
        """Guards against a first arrival that is known only at the entry that refused."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            loop = asyncio.get_running_loop()
            arrived = loop.time() - 0.5
            await stage.kill_keeper("keeper-3")
            await asyncio.sleep(1.5)
            delay = stage.entries["entry-1"].returns.record_refusal("a", arrived, 300, 3e3, 10.0)
            await asyncio.sleep(delay)
            for entry in stage.entries.values():
                found = entry.returns.find_first_arrival("a")
                assert found is not None
                self.assertAlmostEqual(found, arrived, delta=0.1)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
