"""A keeper's part in distributing which targets reject entries."""

from collections.abc import Callable

from tillerlane.gateway import batching
from tillerlane.gateway.backpressure import backoff
from tillerlane.peers import messages

__all__ = ["BackoffUpdates"]

MIN_EXTENSION_SECONDS = 0.3
"""How much later a back-off must end to be forwarded again: each entry that probes a target without
success is given a back-off of its own."""


class BackoffUpdates:
    """Forwards the back-off that targets requested from entries, at one keeper.

    Parameters
    ----------
    pause : float
        Minimum seconds between two messages.
    send : callable
        Sends a message to all other keepers and all subscribed entries.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        pause: float,
        send: Callable[[messages.TargetBackoffs], None],
        now: Callable[[], float],
    ) -> None:
        self._known: dict[str, float] = {}
        self._now = now
        self._batcher: batching.UpdateBatcher[tuple[str, float]] = batching.UpdateBatcher(
            pause, lambda hints: send(backoff.encode_hints(hints))
        )

    def handle_message(self, message: messages.TargetBackoffs) -> None:
        """Merge the hints of an entry or another keeper, and forward changes."""
        now = self._now()
        for target_id, until in list(self._known.items()):
            if until <= now:
                del self._known[target_id]
        for target_id, until in backoff.decode_hints(message):
            is_new = until > self._known.get(target_id, now) + MIN_EXTENSION_SECONDS
            if is_new and len(self._known) < backoff.MAX_HINTS:
                self._known[target_id] = until
                self._batcher.add(target_id, (target_id, until))
