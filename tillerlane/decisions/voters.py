"""Who votes in the replicated log: what it bears, and the next change, as plain functions.

The load that they answer: a keeper is lost for good and an empty one comes elsewhere, and soon
after two more disks are lost; or a leader is lost in the middle of such an exchange.

A voter that is silent is taken off the record first, and the newcomer is put on it then.  The other
order bears as many losses at each moment (with five voters and one lost: one, one, two), but a
leader that is lost in between leaves six voters with one silent, and its successor has to wait for
that silence; four voters and a newcomer need no waiting.  One step for both would need two quorums
at a time, since two majorities of voter sets that differ in two need not meet; it bears no more
either.  A voter that answers and is about to leave goes last, so that the others bear as many
losses meanwhile.
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
    """A voter as the leader sees it.

    Attributes
    ----------
    name : str
        Its daemon id.
    unreachable_seconds : float
        Since it last answered with the disk that is on record; 0 for the leader itself.
    is_leaving : bool
        Whether it says that it stops.
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
        Whether it holds all that is committed, and answers.
    """

    name: str
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AddVoter:
    """Give a keeper a vote."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveVoter:
    """Take a keeper's vote away, for a reason in words."""

    name: str
    reason: str


Step = AddVoter | RemoveVoter


def compute_quorum(voters: int) -> int:
    """Voters that decide, of so many."""
    return voters // 2 + 1


def count_tolerable_losses(voters: int, live: int) -> int:
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
    return live - compute_quorum(voters)


def choose_step(
    voters: list[Voter], standbys: list[Standby], desired: int, timeout_seconds: float
) -> Step | None:
    """The next change of voters; None if all is as it should be, or nothing would better it.

    Parameters
    ----------
    voters : list of Voter
        All on record.
    standbys : list of Standby
        Keepers that could vote, the preferred one first.
    wished : int
        How many voters there should be.
    patience : float
        Seconds of silence after which a voter counts as lost.
    """
    ready = next((standby for standby in standbys if standby.is_ready), None)
    if len(voters) < desired:
        return AddVoter(ready.name) if ready else None
    silent = [voter for voter in voters if voter.unreachable_seconds > timeout_seconds]
    lost = max(silent, key=lambda voter: voter.unreachable_seconds, default=None)
    leaving = next((voter for voter in voters if voter.is_leaving), None)
    if lost is not None and (ready or len(voters) > desired):
        return RemoveVoter(lost.name, f"silent for {lost.unreachable_seconds:.1f} s")
    if leaving is not None and len(voters) > desired:
        return RemoveVoter(leaving.name, "it stops")
    if leaving is not None and ready:
        return AddVoter(ready.name)
    return None
