"""A keeper's part in making known the limits that targets name.

Entries tell of what answers name; keepers pass on to each other and to all entries what is news, a
few times a second at most.
"""

from collections.abc import Callable

from tillerlane.gateway import batching, limits
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["LimitUpdates"]


class LimitUpdates:
    """Limits as one keeper knows them, and passes them on.

    Parameters
    ----------
    pause : float
        Least seconds between two messages.
    send : callable
        Sends a message to all other keepers and all subscribed entries.
    timeline : timelines.Timeline
        Takes what is news.

    Attributes
    ----------
    table : limits.Limits
        What is known.
    """

    def __init__(
        self,
        pause: float,
        send: Callable[[messages.TargetLimits], None],
        timeline: timelines.Timeline,
    ) -> None:
        self.table = limits.Limits()
        self._batcher = batching.UpdateBatcher(
            pause, lambda words: send(limits.encode_records(words))
        )
        self._timeline = timeline

    def handle_message(self, message: messages.TargetLimits) -> None:
        """Take what an entry or another keeper tells, and pass on what is news.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if it can't be read.
        """
        for word in self.table.merge(limits.decode_records(message)):
            self._batcher.add(word)
            self._timeline.record(
                "target.limit",
                target=word.target_id,
                limit=word.limit,
                version=word.version,
                is_named=word.unnamed_since is None,
            )

    def build_full(self) -> messages.TargetLimits:
        """All that is known, for a daemon whose link is new."""
        return limits.encode_records(self.table.list_all())
