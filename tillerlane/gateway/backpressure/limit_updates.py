"""A keeper's part in distributing the limits that targets name.

Entries report the limits named in responses.  Keepers forward changes to each other and to all
entries, with a bounded message rate.
"""

from collections.abc import Callable

from tillerlane.gateway import batching
from tillerlane.gateway.backpressure import limits
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["LimitUpdates"]


class LimitUpdates:
    """Keeps the limits known to one keeper and forwards their changes.

    Parameters
    ----------
    pause : float
        Minimum seconds between two messages.
    send : callable
        Sends a message to all other keepers and all subscribed entries.
    timeline : timelines.Timeline
        Logs changes.

    Attributes
    ----------
    table : limits.Limits
        Known limits.
    """

    def __init__(
        self,
        pause: float,
        send: Callable[[messages.TargetLimits], None],
        timeline: timelines.Timeline,
    ) -> None:
        self.table = limits.Limits()
        self._batcher = batching.UpdateBatcher(
            pause, lambda records: send(limits.encode_records(records))
        )
        self._timeline = timeline

    def handle_message(self, message: messages.TargetLimits) -> None:
        """Merge the records of an entry or another keeper, and forward changes.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if it can't be decoded.
        """
        for record in self.table.merge(limits.decode_records(message)):
            self._batcher.add(record.target_id, record)
            self._timeline.record(
                "target.limit",
                target=record.target_id,
                limit=record.limit,
                version=record.version,
                is_named=record.unnamed_since is None,
            )

    def build_full(self) -> messages.TargetLimits:
        """All records, for a daemon that has just connected."""
        return limits.encode_records(self.table.list_all())
