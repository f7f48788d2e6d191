"""A keeper's part in the origins of streams: holds what entries report, and answers for it."""

import weakref
from collections.abc import Callable

from tillerlane.gateway.origins import queries, table
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["OriginRegistry"]

FORWARD_TIMEOUT_SECONDS = 0.1
"""Longest wait for other keepers; shorter than an entry's wait for its keeper."""


class OriginRegistry:
    """Origins of streams at one keeper.

    Parameters
    ----------
    list_keepers : callable
        Links to the other keepers.
    count_keepers : callable
        Number of known keepers, voting or not, of which a majority has to be reached: any of them
        may be the only one that has heard of a version.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        list_keepers: Callable[[], list[links.Link]],
        count_keepers: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self.table = table.OriginTable(now)
        self._list_keepers = list_keepers
        self._count_keepers = count_keepers
        self._now = now
        self._capable: weakref.WeakSet[links.Link] = weakref.WeakSet()
        """Links of keepers that hold origins; one of an earlier version would end its link."""
        self.on_records: Callable[[list[table.Record], bool], None] = lambda records, urgent: None
        """Called with records that tell more than was known, and whether one contradicts it."""

    def handle_keeper(self, link: links.Link) -> None:
        """Send all records to a keeper on a new link, which may have restarted."""
        if link in self._capable:
            return
        self._capable.add(link)
        for message in table.encode_origins(self.table.list_all()):
            links.try_send(link, message)

    def handle_message(self, message: messages.StreamOrigins) -> None:
        """Merge the records of an entry or of another keeper.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if the message is malformed.
        """
        new: list[table.Record] = []
        is_urgent = False
        for key, origin in table.decode_origins(message):
            known = self.table.find(key)
            if self.table.add(key, origin):
                new.append((key, origin))
                is_urgent |= known is not None and not known.has_same_version(origin)
        self.on_records(new, is_urgent)

    async def answer(self, query: messages.OriginQuery) -> messages.OriginReply:
        """Answer an entry or another keeper; asks the other keepers for an unknown stream once."""
        origin = self.table.find(query.key)
        is_alone = False
        if origin is None and not query.is_forwarded:
            forwarded = messages.OriginQuery(query.key, True)
            others = self._list_keepers()
            capable = [link for link in others if link in self._capable]
            origin, answers = await queries.ask(capable, forwarded, FORWARD_TIMEOUT_SECONDS)
            if origin is not None:
                self.table.add(query.key, origin)
                self.on_records([(query.key, origin)], False)
            reached = 1 + answers + len(others) - len(capable)
            is_alone = 2 * reached <= self._count_keepers()
        if origin is None:
            return messages.OriginReply(False, is_alone=is_alone)
        left_ms = table.encode_retention(origin, self._now())
        return messages.OriginReply(
            True, origin.pool, origin.software_version, origin.attempt, left_ms
        )
