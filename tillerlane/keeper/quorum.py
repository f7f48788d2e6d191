"""One keeper's view of the quorum, for its log lines and metrics."""

import dataclasses
from collections.abc import Callable

from tillerlane.decisions import voters as voter_rules
from tillerlane.keeper import commands
from tillerlane.timeline import core as timelines

__all__ = ["QuorumMonitor", "QuorumView", "build_view"]

REPEAT_INTERVAL_SECONDS = 5.0
"""Interval at which a view that tolerates fewer losses than desired is logged again although it is
unchanged: at most 720 lines an hour, yet often enough to appear in a short excerpt of the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumView:
    """The voters as seen by one keeper.

    Attributes
    ----------
    voters : tuple of str
        Names of the voters in this keeper's log.
    live : tuple of str
        Live voters with their disk on record, including this keeper.
    other_disk : tuple of str
        Live voters with a disk other than that on record.
    waiting : tuple of str
        Live keepers without a vote.
    votes : bool
        Whether this keeper is a voter with its present disk.
    leader : str
        Leader that it follows; empty without one.
    bears : int
        Number of further disk losses that the quorum tolerates
        (`decisions.voters.count_tolerable_losses`).
    """

    voters: tuple[str, ...]
    live: tuple[str, ...]
    other_disk: tuple[str, ...]
    waiting: tuple[str, ...]
    votes: bool
    leader: str
    bears: int


def build_view(
    own_name: str,
    own_disk_id: str,
    leader: str,
    voters: dict[str, commands.Voter],
    heard: dict[str, str],
) -> QuorumView:
    """Build a keeper's view of the quorum.

    Parameters
    ----------
    own_name, own_disk_id : str
        This keeper and its disk.
    leader : str
        Leader that it follows; empty without one.
    voters : dict
        Voters in its log, by name.
    heard : dict
        Other live keepers: name to the disk that they announced.
    """
    disks = {**heard, own_name: own_disk_id}
    present = sorted(name for name in voters if name in disks)
    live = tuple(name for name in present if disks[name] == voters[name].disk_id)
    return QuorumView(
        voters=tuple(sorted(voters)),
        live=live,
        other_disk=tuple(name for name in present if name not in live),
        waiting=tuple(sorted(set(disks) - set(voters))),
        votes=own_name in live,
        leader=leader,
        bears=voter_rules.count_tolerable_losses(len(voters), len(live)),
    )


class QuorumMonitor:
    """Logs changes of the view, and repeats a degraded one.

    Parameters
    ----------
    timeline : timelines.Timeline
        Records the events.
    desired_losses : int
        Number of disk losses that the fleet should tolerate.
    now : callable
        Monotonic time in seconds.

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
        """Set the current view, and log it if it changed or is due again."""
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
        """Seconds for which fewer losses than desired have been tolerated; 0 if none."""
        return 0.0 if self._degraded_since is None else self._now() - self._degraded_since

    def compute_voteless_seconds(self) -> float:
        """Seconds for which this keeper has had no vote; 0 while it has one."""
        return 0.0 if self._voteless_since is None else self._now() - self._voteless_since
