"""Requests under way at targets, so that those of an incarnation that is over end at once."""

import collections

from tillerlane.gateway import directory as directories
from tillerlane.gateway import http_client

__all__ = ["Exchanges"]

HEARTBEAT_AGE_MARGIN_SECONDS = 0.05
"""How much later than it really was a target's last word may seem to be, by ages cut to
milliseconds and by the way from keeper to entry."""


class Exchanges:
    """Exchanges of one entry with targets, by the target's id.

    A target that crashed behind a cut says nothing, and its connections may stay silent for good.
    Once it is known to have started again, its former incarnation's requests fail as if the
    connections had been reset; without that a caller waits until its deadline.

    Parameters
    ----------
    directory : directories.Directory
        Tells of targets that have started again.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._open: dict[str, set[http_client.Exchange]] = collections.defaultdict(set)
        directory.add_listener(self._note_phase)

    def add(self, target: directories.Target, exchange: http_client.Exchange) -> None:
        """Take an exchange that has begun; it is forgotten with its connection."""
        held = self._open[target.target_id]
        held.add(exchange)
        exchange.on_lost = lambda: self._remove(target.target_id, exchange)

    def _remove(self, target_id: str, exchange: http_client.Exchange) -> None:
        held = self._open.get(target_id)
        if held is None:
            return
        held.discard(exchange)
        if not held:
            del self._open[target_id]

    def _note_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
        if not target.is_superseded:
            return
        # The former incarnation lived when it last told of itself, so what was connected before
        # was connected to it.  A later connection may have reached the present one, which may have
        # the same address; if it did not, it is reset once the target's host answers.
        until = target.heard_at - HEARTBEAT_AGE_MARGIN_SECONDS
        for exchange in list(self._open.get(target.target_id, ())):
            if exchange.connected_at < until:
                exchange.fail(f"{target.target_id} has started again")
