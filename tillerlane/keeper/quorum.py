"""What one keeper sees of the quorum, for its log and its figures."""

import dataclasses
from collections.abc import Callable

from tillerlane.decisions import voters as voter_rules
from tillerlane.keeper import commands
from tillerlane.timeline import core as timelines

__all__ = ["QuorumMonitor", "QuorumView", "build_view"]

REPEAT_INTERVAL_SECONDS = 5.0
"""A view that bears fewer losses than wished is told again after so long, changed or not: whoever
reads a log that was cut to some lines finds it, at 720 lines an hour at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumView:
    """The voters as one keeper counts them.

    Attributes
    ----------
    voters : tuple of str
        Names of the voters on this keeper's record.
    live : tuple of str
        Those heard of lately, with the disk that is on record, this keeper among them.
    other_disk : tuple of str
        Those heard of lately with another disk than that on record.
    waiting : tuple of str
        Keepers heard of lately that have no vote.
    votes : bool
        Whether this keeper has a vote, for the disk that it has.
    leader : str
        Whom it follows; empty without one.
    bears : int
        Disks that may be lost next (`decisions.voters.count_tolerable_losses`).
    """

    voters: tuple[str, ...]
    live: tuple[str, ...]
    other_disk: tuple[str, ...]
    waiting: tuple[str, ...]
    votes: bool
    leader: str
    bears: int


def build_view(
    own: str, own_disk: str, leader: str, voters: dict[str, commands.Voter], heard: dict[str, str]
) -> QuorumView:
    """Count the voters.

    Parameters
    ----------
    own, own_disk : str
        This keeper and its disk.
    leader : str
        Whom it follows.
    voters : dict
        Voters on its record, by name.
    heard : dict
        Other keepers heard of lately, by name, and the disks that they told.
    """
    disks = {**heard, own: own_disk}
    present = sorted(name for name in voters if name in disks)
    live = tuple(name for name in present if disks[name] == voters[name].disk_id)
    return QuorumView(
        voters=tuple(sorted(voters)),
        live=live,
        other_disk=tuple(name for name in present if name not in live),
        waiting=tuple(sorted(set(disks) - set(voters))),
        votes=own in live,
        leader=leader,
        bears=voter_rules.count_tolerable_losses(len(voters), len(live)),
    )


class QuorumMonitor:
    """Tells changes of the view, and repeats one that is short of what is wished.

    Parameters
    ----------
    timeline : timelines.Timeline
        Takes the events.
    desired_losses : int
        Disks that the fleet is meant to bear the loss of.
    now : callable
        Steady time in seconds.

    Attributes
    ----------
    view : QuorumView or None
        The latest view; None before the first.
    """

    def __init__(
        self, timeline: timelines.Timeline, desired_losses: int, now: Callable[[], float]
    ) -> None:
        self._timeline = timeline
        self._desired_losses = desired_losses
        self._now = now
        self._reported_at = 0.0
        self._degraded_since: float | None = None
        self._voteless_since: float | None = None
        self.view: QuorumView | None = None

    def update(self, view: QuorumView) -> None:
        """Take the present view."""
        now = self._now()
        is_degraded = view.bears < self._desired_losses
        self._degraded_since = (self._degraded_since or now) if is_degraded else None
        self._voteless_since = None if view.votes else (self._voteless_since or now)
        is_due = is_degraded and now - self._reported_at >= REPEAT_INTERVAL_SECONDS
        if view == self.view and not is_due:
            return
        self.view = view
        self._reported_at = now
        self._timeline.record(
            "keeper.voters",
            **dataclasses.asdict(view),
            short_s=round(self.compute_degraded_seconds(), 1),
            voteless_s=round(self.compute_voteless_seconds(), 1),
        )

    def compute_degraded_seconds(self) -> float:
        """How long fewer losses than wished have been bearable; 0 while it is as wished."""
        return 0.0 if self._degraded_since is None else self._now() - self._degraded_since

    def compute_voteless_seconds(self) -> float:
        """How long this keeper has been without a vote; 0 while it has one."""
        return 0.0 if self._voteless_since is None else self._now() - self._voteless_since
