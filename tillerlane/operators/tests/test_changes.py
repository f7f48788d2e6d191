"""Changes that operators submit."""

import unittest
from unittest import mock

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.operators import changes


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    """An order that other changes overtake."""

    async def test_order_that_is_always_overtaken_ends(self) -> None:
        """Guards against a caller that waits for ever, and proposals without bound."""
        daemon = mock.Mock()
        daemon.members.list_all.return_value = [mock.Mock(data_hall="hall-a")]
        replies = [{"accepted": False, "version": number} for number in range(100)]
        daemon.client.propose = mock.AsyncMock(side_effect=replies)
        body = changes.EvacuateBody(data_hall="hall-a")
        with self.assertRaises(faults.FaultError) as raised:
            await changes.submit_evacuation(daemon, body, "operator")
        self.assertEqual(raised.exception.fault.kind, kinds.ErrorKind.VERSION_CONFLICT)

    async def test_order_that_is_overtaken_once_is_proposed_again(self) -> None:
        """Guards against an operator who has to repeat an order."""
        daemon = mock.Mock()
        daemon.members.list_all.return_value = [mock.Mock(data_hall="hall-a")]
        replies = [{"accepted": False, "version": 7}, {"accepted": True, "version": 8}]
        daemon.client.propose = mock.AsyncMock(side_effect=replies)
        body = changes.EvacuateBody(data_hall="hall-a")
        reply = await changes.submit_evacuation(daemon, body, "operator")
        self.assertEqual(reply["version"], 8)
        self.assertEqual(daemon.client.propose.call_count, 2)


if __name__ == "__main__":
    unittest.main()
