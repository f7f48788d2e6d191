"""A keeper's part in passing on which targets fail requests."""

from collections.abc import Callable

from tillerlane.gateway import batching
from tillerlane.gateway.failures import reports
from tillerlane.peers import messages

__all__ = ["FailureUpdates"]


class FailureUpdates:
    """Passes the reports of entries on, at one keeper.

    Parameters
    ----------
    interval : float
        Minimum seconds between two messages; the first report after a pause is sent at once.
    send_to_keepers, send_to_entries : callable
        Send a message to all other keepers, and to all subscribed entries.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        interval: float,
        send_to_keepers: Callable[[messages.TargetFailures], None],
        send_to_entries: Callable[[messages.TargetFailures], None],
        now: Callable[[], float],
    ) -> None:
        self._table = reports.ReportTable()
        self._now = now
        self._for_keepers = _build_batcher(interval, send_to_keepers)
        self._for_entries = _build_batcher(interval, send_to_entries)

    def handle_message(self, message: messages.TargetFailures, *, is_of_entry: bool) -> None:
        """Merge the reports of an entry or another keeper, and pass changes on.

        Only entries' reports go to other keepers: times left grow by the way of each message, so
        that keepers which pass on each other's would extend a back-off for ever.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if the message is malformed.
        """
        now = self._now()
        self._table.expire(now)
        for report in reports.decode_reports(message):
            if self._table.merge(report, now):
                self._for_entries.add(report[0], report)
                if is_of_entry:
                    self._for_keepers.add(report[0], report)


def _build_batcher(
    interval: float, send: Callable[[messages.TargetFailures], None]
) -> batching.UpdateBatcher[reports.Report]:
    return batching.UpdateBatcher(interval, lambda updates: send(reports.encode_reports(updates)))
