"""Who votes in the replicated log: what it bears, as plain functions over facts."""

__all__ = ["count_bearable_losses", "count_quorum"]


def count_quorum(voters: int) -> int:
    """Voters that decide, of so many."""
    return voters // 2 + 1


def count_bearable_losses(voters: int, live: int) -> int:
    """Disks that may be lost next while the log can still go on.

    Parameters
    ----------
    voters : int
        Voters on record.
    live : int
        Those of them that answer, with the disk that is on record.

    Returns
    -------
    int
        0 if the next loss stops the log; below 0 the log stands still, for want of so many.
    """
    return live - count_quorum(voters)
