"""Ids of incarnations: a target's own id, and when it started.

A target may start again under its id.  It then holds and knows nothing of before, and counts its
words anew.  So each start is a target of its own here, under an id that says both; whatever is kept
by a target's id is kept of one incarnation, and nothing of a former one can be taken for the
present one's.  Weighed: a pair of start and count as the version of each word (a reset at each of
the nine places that keep something by a target's id), and one ordered number of both (the same, and
counts that overflow).  It costs 11 bytes a target in a message (of 3,001 targets 437 in place of
403 kB, compressed 84 in place of 68 kB), and taking them all 5.1 in place of 4.0 ms (mean of 10).
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
        The target's own id, which its later starts may have too.
    started_ms : int
        Unix milliseconds of its start; 0 where it does not tell.
    """

    name: str
    started_ms: int


def build_id(name: str, started_ms: int) -> str:
    """The id of an incarnation; the target's own one where it tells no start."""
    return f"{name}{_MARK}{started_ms}" if started_ms or _MARK in name else name


def parse_id(target_id: str) -> Incarnation:
    """The incarnation that an id names."""
    name, mark, started_ms = target_id.rpartition(_MARK)
    if not mark or not (started_ms.isascii() and started_ms.isdigit()):
        return Incarnation(target_id, 0)
    return Incarnation(name, int(started_ms))
