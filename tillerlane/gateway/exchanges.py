"""Open exchanges with targets; those of a replaced incarnation are failed at once."""

import collections
import weakref

from tillerlane.gateway import directory as directories
from tillerlane.gateway.http import http_client

__all__ = ["Exchanges"]

HEARTBEAT_AGE_MARGIN_SECONDS = 0.05
"""Error of the time of a target's last heartbeat, which may seem later than it was: ages are
truncated to milliseconds, and the way from keeper to entry adds to it."""


class Exchanges:
    """Open exchanges of one entry with targets, by target id.

    A target that crashes behind a network partition sends no reset, and its connections may stay
    open without data.  Once it is known to have restarted, requests to its former incarnation fail
    as if their connections had been reset; otherwise callers would wait until their deadlines.

    Parameters
    ----------
    directory : directories.Directory
        Notifies of targets that have restarted.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._open: dict[str, set[http_client.Exchange]] = collections.defaultdict(set)
        self._confirmed: weakref.WeakSet[http_client.Exchange] = weakref.WeakSet()
        """Exchanges that are known to lead to the incarnation that they are listed for."""
        directory.add_listener(self._handle_phase)

    def add(self, target: directories.Target, exchange: http_client.Exchange) -> None:
        """Register an exchange until its connection ends."""
        exchanges = self._open[target.target_id]
        exchanges.add(exchange)
        exchange.on_lost = lambda: self._remove(target.target_id, exchange)

    def confirm(self, exchange: http_client.Exchange) -> None:
        """Record that an exchange leads to the incarnation of its target that it is listed for."""
        self._confirmed.add(exchange)

    def _remove(self, target_id: str, exchange: http_client.Exchange) -> None:
        exchanges = self._open.get(target_id)
        if exchanges is None:
            return
        exchanges.discard(exchange)
        if not exchanges:
            del self._open[target_id]

    def _handle_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
        if not target.is_superseded:
            return
        # The former incarnation was alive at its last heartbeat, so connections from before then
        # were made to it.  A later connection may belong to the current incarnation, which may have
        # the same address; if it does not, it is reset as soon as the target's host answers.
        until = target.heard_at - HEARTBEAT_AGE_MARGIN_SECONDS
        for exchange in list(self._open.get(target.target_id, ())):
            if exchange.connected_at < until or exchange in self._confirmed:
                exchange.fail(f"{target.target_id} has restarted")
