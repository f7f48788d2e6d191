"""A keeper's part in passing on which callers were refused.

An entry tells its primary keeper, which passes the refused callers on to the other keepers.  Each
keeper tells the entries whose primary it is, so that each entry gets them once.
"""

from collections.abc import Callable

from tillerlane.gateway import batching
from tillerlane.gateway.returns import table
from tillerlane.peers import messages

__all__ = ["ReturnUpdates"]


class ReturnUpdates:
    """Passes refused callers on, at one keeper.

    Parameters
    ----------
    interval : float
        Minimum seconds between two messages.
    send_to_keepers, send_to_entries : callable
        Send a message to all other keepers, and to the entries whose primary this keeper is.
    """

    def __init__(
        self,
        interval: float,
        send_to_keepers: Callable[[messages.CallerReturns], None],
        send_to_entries: Callable[[messages.CallerReturns], None],
    ) -> None:
        self._for_keepers = _build_batcher(interval, send_to_keepers)
        self._for_entries = _build_batcher(interval, send_to_entries)

    def handle_message(self, message: messages.CallerReturns, *, is_of_entry: bool) -> None:
        """Pass on the refused callers of an entry, or those that another keeper has passed on.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if the message is malformed.
        """
        for caller in table.decode_returns(message):
            self._for_entries.add(caller.fingerprint, caller)
            if is_of_entry:
                self._for_keepers.add(caller.fingerprint, caller)


def _build_batcher(
    interval: float, send: Callable[[messages.CallerReturns], None]
) -> batching.UpdateBatcher[table.RefusedCaller]:
    return batching.UpdateBatcher(interval, lambda updates: send(table.encode_returns(updates)))
