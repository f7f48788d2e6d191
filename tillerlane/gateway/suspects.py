"""Requests under which targets ended, as one daemon knows them.

Each row says that a target ended while it had a request, and whether that still counts against the
request.  Rows are only added and cleared, so daemons that hear of them in any order, over any way
and more than once come to the same table.
"""

import collections
import dataclasses
from collections.abc import Iterable

from tillerlane.peers import codec, messages

__all__ = ["Suspects", "TargetExit", "decode_exits", "encode_exits"]

MAX_REQUESTS = 10_000
"""Requests remembered.  A data hall of 250 runners that ends leaves up to 12,000 with one end each,
of which nothing follows; so those with one end are forgotten first, the oldest of them."""
MAX_EXITS = 16
"""Ends remembered of one request: what is beyond changes no decision."""
MAX_ID_CHARACTERS = 200
"""Bound on what a row names, in letters; a target's id has 25."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetExit:
    """A target that ended while it had a request.

    Attributes
    ----------
    fingerprint : str
        The request (`gateway.fingerprints`).
    target_id : str
        One start of a target.
    is_cleared : bool
        Whether it counts no more, since the request has ended well.
    """

    fingerprint: str
    target_id: str
    is_cleared: bool = False


class Suspects:
    """The table of one daemon."""

    def __init__(self) -> None:
        self._once: collections.OrderedDict[str, dict[str, TargetExit]] = collections.OrderedDict()
        """Requests with one end each, the oldest first."""
        self._more: collections.OrderedDict[str, dict[str, TargetExit]] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._once) + len(self._more)

    def _find(self, fingerprint: str) -> dict[str, TargetExit]:
        return self._more.get(fingerprint) or self._once.get(fingerprint) or {}

    def merge(self, ends: Iterable[TargetExit]) -> list[TargetExit]:
        """Merge what is heard; gives what was new."""
        return [end for end in ends if self._merge(end)]

    def _merge(self, end: TargetExit) -> bool:
        held = self._find(end.fingerprint)
        known = held.get(end.target_id)
        if known is not None and known.is_cleared >= end.is_cleared:
            return False
        if known is None and len(held) >= MAX_EXITS:
            return False
        updated = {**held, end.target_id: end}
        self._once.pop(end.fingerprint, None)
        table = self._more if len(updated) > 1 else self._once
        table[end.fingerprint] = updated
        self._forget()
        return True

    def _forget(self) -> None:
        if len(self) > MAX_REQUESTS:
            (self._once or self._more).popitem(last=False)

    def clear(self, fingerprint: str) -> list[TargetExit]:
        """Count no end so far against a request that has ended well; gives what changed."""
        open_ends = [end for end in self._find(fingerprint).values() if not end.is_cleared]
        return self.merge([dataclasses.replace(end, is_cleared=True) for end in open_ends])

    def count(self, fingerprint: str) -> int:
        """Targets whose end counts against a request."""
        return len(self.list_targets(fingerprint))

    def list_targets(self, fingerprint: str) -> list[str]:
        """Ids of those targets."""
        ends = self._find(fingerprint).values()
        return [end.target_id for end in ends if not end.is_cleared]

    def is_cleared(self, fingerprint: str) -> bool:
        """Whether a request has ended well after a target ended under it.

        A daemon that knows few ends of a request, as after a start, does not know that of it.
        """
        return any(end.is_cleared for end in self._find(fingerprint).values())

    def is_repeated(self, fingerprint: str) -> bool:
        """Whether more than one target has ended under a request."""
        return fingerprint in self._more

    def list_repeated(self) -> list[str]:
        """Requests under which more than one target has ended."""
        return list(self._more)

    def list_exits(self, fingerprints: Iterable[str]) -> list[TargetExit]:
        """All that is known of some requests."""
        return [end for item in fingerprints for end in self._find(item).values()]

    def list_all(self) -> list[TargetExit]:
        """All that is known."""
        return self.list_exits([*self._more, *self._once])


def encode_exits(ends: Iterable[TargetExit]) -> messages.TargetEnds:
    """Ends as a message."""
    rows = list(ends)
    table = messages.EndTable(
        [end.fingerprint for end in rows],
        [end.target_id for end in rows],
        [end.is_cleared for end in rows],
    )
    return messages.TargetEnds(codec.encode_table(table))


def decode_exits(message: messages.TargetEnds) -> list[TargetExit]:
    """Ends from a message; rows that name nothing, or too much, are passed over.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it can't be read.
    """
    table = codec.decode_table(message.table, messages.EndTable)
    rows = zip(table.fingerprints, table.target_ids, table.cleared, strict=True)
    return [
        TargetExit(fingerprint, target_id, is_cleared)
        for fingerprint, target_id, is_cleared in rows
        if 0 < len(fingerprint) <= MAX_ID_CHARACTERS and 0 < len(target_id) <= MAX_ID_CHARACTERS
    ]
