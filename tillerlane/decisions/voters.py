"""Chooses the next change of the replicated log's voters, and computes its fault tolerance.

The design handles a keeper that is lost for good and replaced by an empty one elsewhere, with two
more disks lost soon after, and the loss of a leader in the middle of such a replacement.

An unreachable voter is removed first, and then the newcomer is added.  The opposite order tolerates
as many losses at each moment (with five voters and one lost: one, one, two).  But if a leader is
lost in between, it leaves six voters with one unreachable, and its successor has to wait until that
one is timed out; with four voters and a newcomer there is nothing to wait for.  A combined step
would need two quorums at a time, since majorities of voter sets that differ in two members need not
intersect, and it tolerates no more losses.  A reachable voter that is about to leave is removed
last, so that the others tolerate as many losses in the meantime.
"""

import dataclasses

__all__ = [
    "AddVoter",
    "RemoveVoter",
    "Standby",
    "Step",
    "Voter",
    "choose_step",
    "compute_quorum",
    "count_tolerable_losses",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Voter:
    """A voter as observed by the leader.

    Attributes
    ----------
    name : str
        Its daemon id.
    unreachable_seconds : float
        Time since its last answer with the disk on record; 0 for the leader itself.
    is_leaving : bool
        Whether it has reported that it is shutting down.
    """

    name: str
    unreachable_seconds: float
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Standby:
    """A keeper without a vote that follows the log.

    Attributes
    ----------
    name : str
        Its daemon id.
    is_ready : bool
        Whether it holds all committed entries and is reachable.
    """

    name: str
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AddVoter:
    """Give a keeper a vote."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveVoter:
    """Remove a keeper's vote; the reason is logged."""

    name: str
    reason: str


Step = AddVoter | RemoveVoter


def compute_quorum(voters: int) -> int:
    """Return the size of a majority."""
    return voters // 2 + 1


def count_tolerable_losses(voters: int, live: int) -> int:
    """Return how many more disks may be lost while the log stays available.

    Parameters
    ----------
    voters : int
        Voters on record.
    live : int
        Those of them that answer with the disk on record.

    Returns
    -------
    int
        0 if the next loss stops the log; negative if the log is unavailable, by the number of
        voters missing from a quorum.
    """
    return live - compute_quorum(voters)


def choose_step(
    voters: list[Voter], standbys: list[Standby], desired: int, timeout_seconds: float
) -> Step | None:
    """Return the next change of voters, or None if no change is needed or would help.

    Parameters
    ----------
    voters : list of Voter
        All voters on record.
    standbys : list of Standby
        Keepers that could vote, in order of preference.
    desired : int
        Desired number of voters.
    timeout_seconds : float
        Time without an answer after which a voter counts as lost.
    """
    ready = next((standby for standby in standbys if standby.is_ready), None)
    if len(voters) < desired:
        return AddVoter(ready.name) if ready else None
    unreachable = [voter for voter in voters if voter.unreachable_seconds > timeout_seconds]
    lost = max(unreachable, key=lambda voter: voter.unreachable_seconds, default=None)
    leaving = next((voter for voter in voters if voter.is_leaving), None)
    if lost is not None and (ready or len(voters) > desired):
        return RemoveVoter(lost.name, f"unreachable for {lost.unreachable_seconds:.1f} s")
    if leaving is not None and len(voters) > desired:
        return RemoveVoter(leaving.name, "shutting down")
    if leaving is not None and ready:
        return AddVoter(ready.name)
    return None
