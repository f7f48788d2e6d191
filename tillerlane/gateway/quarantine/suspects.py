"""Requests under which targets exited, as one daemon knows them.

Each row states that a target exited while it had a request, and whether that still counts against
the request.  Rows are only added and cleared, so daemons that receive them in any order, by any
route and more than once converge to the same table.
"""

import collections
import dataclasses
from collections.abc import Iterable

from tillerlane.peers import codec, messages

__all__ = ["Suspects", "TargetExit", "decode_exits", "encode_exits"]

MAX_REQUESTS = 10_000
"""Maximum number of requests kept.  The loss of a data hall of 250 runners leaves up to 12,000 with
one exit each, which have no consequence; so those with one exit are evicted first, oldest first."""
MAX_EXITS = 16
"""Maximum number of exits kept for a request: further ones change no decision."""
MAX_ID_CHARACTERS = 200
"""Bound on the length of a row's names; a target's id has 25."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetExit:
    """A target that exited while it had a request.

    Attributes
    ----------
    fingerprint : str
        Identifies the request (`gateway.quarantine.fingerprints`).
    target_id : str
        Identifies an incarnation of a target.
    is_cleared : bool
        Whether it no longer counts, since the request has succeeded.
    """

    fingerprint: str
    target_id: str
    is_cleared: bool = False


class Suspects:
    """The table of one daemon."""

    def __init__(self) -> None:
        self._single: collections.OrderedDict[str, dict[str, TargetExit]] = (
            collections.OrderedDict()
        )
        """Requests with one exit each, oldest first."""
        self._repeated: collections.OrderedDict[str, dict[str, TargetExit]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._single) + len(self._repeated)

    def _find(self, fingerprint: str) -> dict[str, TargetExit]:
        return self._repeated.get(fingerprint) or self._single.get(fingerprint) or {}

    def merge(self, exits: Iterable[TargetExit]) -> list[TargetExit]:
        """Merge received exits; returns those that changed the table."""
        return [target_exit for target_exit in exits if self._merge(target_exit)]

    def _merge(self, target_exit: TargetExit) -> bool:
        held = self._find(target_exit.fingerprint)
        known = held.get(target_exit.target_id)
        if known is not None and known.is_cleared >= target_exit.is_cleared:
            return False
        if known is None and len(held) >= MAX_EXITS:
            return False
        updated = {**held, target_exit.target_id: target_exit}
        self._single.pop(target_exit.fingerprint, None)
        table = self._repeated if len(updated) > 1 else self._single
        table[target_exit.fingerprint] = updated
        self._evict()
        return True

    def _evict(self) -> None:
        if len(self) > MAX_REQUESTS:
            (self._single or self._repeated).popitem(last=False)

    def clear(self, fingerprint: str) -> list[TargetExit]:
        """Clear all exits so far of a request that has succeeded; returns those that changed."""
        counted = [
            target_exit
            for target_exit in self._find(fingerprint).values()
            if not target_exit.is_cleared
        ]
        return self.merge(
            [dataclasses.replace(target_exit, is_cleared=True) for target_exit in counted]
        )

    def count(self, fingerprint: str) -> int:
        """Number of target exits that count against a request."""
        return len(self.list_targets(fingerprint))

    def list_targets(self, fingerprint: str) -> list[str]:
        """Ids of those targets."""
        exits = self._find(fingerprint).values()
        return [target_exit.target_id for target_exit in exits if not target_exit.is_cleared]

    def is_cleared(self, fingerprint: str) -> bool:
        """Whether a request has succeeded after a target exited under it.

        False also where this is not known, as at a daemon that has started recently.
        """
        return any(target_exit.is_cleared for target_exit in self._find(fingerprint).values())

    def is_repeated(self, fingerprint: str) -> bool:
        """Whether more than one target has exited under a request."""
        return fingerprint in self._repeated

    def list_repeated(self) -> list[str]:
        """Requests under which more than one target has exited."""
        return list(self._repeated)

    def list_exits(self, fingerprints: Iterable[str]) -> list[TargetExit]:
        """All exits of some requests."""
        return [target_exit for item in fingerprints for target_exit in self._find(item).values()]

    def list_all(self) -> list[TargetExit]:
        """All exits."""
        return self.list_exits([*self._repeated, *self._single])


def encode_exits(exits: Iterable[TargetExit]) -> messages.TargetEnds:
    """Encode exits as a message."""
    rows = list(exits)
    table = messages.EndTable(
        [target_exit.fingerprint for target_exit in rows],
        [target_exit.target_id for target_exit in rows],
        [target_exit.is_cleared for target_exit in rows],
    )
    return messages.TargetEnds(codec.encode_table(table))


def decode_exits(message: messages.TargetEnds) -> list[TargetExit]:
    """Decode exits from a message; skips rows with empty or overlong names.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it can't be decoded.
    """
    table = codec.decode_table(message.table, messages.EndTable)
    rows = zip(table.fingerprints, table.target_ids, table.cleared, strict=True)
    return [
        TargetExit(fingerprint, target_id, is_cleared)
        for fingerprint, target_id, is_cleared in rows
        if 0 < len(fingerprint) <= MAX_ID_CHARACTERS and 0 < len(target_id) <= MAX_ID_CHARACTERS
    ]
