"""Replacement of voters by the leader: it keeps standbys up to date and gives them votes."""

import asyncio
from collections.abc import Callable

from tillerlane.decisions import voters as voter_rules
from tillerlane.faults import core as faults
from tillerlane.keeper import commands, followers, known_keepers
from tillerlane.keeper import replica as replicas
from tillerlane.timeline import core as timelines

__all__ = ["Reconfiguration"]

CHECK_INTERVAL_SECONDS = 0.1
NEW_LEADER_GRACE_SECONDS = 1.0
"""Time during which a new leader contacts each voter, four times each, before it considers one
unreachable.  The silence itself counts from the last contact with the voter, including contacts as
a follower.  Otherwise the successor of a lost leader would wait for the full time-out again, and
two disks lost after a new keeper counts as caught up would stop the log
(`keeper/tests/test_replacement.py`)."""
READY_TIMEOUT_SECONDS = 1.0
"""A standby gets a vote only if it replied to a request at most this long ago."""
MAX_STANDBYS = 4
"""Keepers without a vote that follow the log: twice as many as may be lost at once.  Each costs the
leader as much as a voter does."""


class Reconfiguration:
    """Adjusts the set of voters while this keeper leads.

    Live keepers follow the log with or without a vote.  So there is a standby that holds everything
    committed when a vote becomes free, and a keeper without a vote can also tell who votes and what
    is in force.

    Parameters
    ----------
    replica : replicas.Replica
        This keeper's replica.
    keepers : known_keepers.KnownKeepers
        The other known keepers.
    desired_voters : int
        Desired number of voters.
    voter_timeout : float
        Seconds without a reply after which a voter counts as lost.
    timeline : timelines.Timeline
        Records the events.
    now : callable
        Monotonic time in seconds.
    is_leaving : callable
        (name) returns whether a voter has announced that it is leaving.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        keepers: known_keepers.KnownKeepers,
        desired_voters: int,
        voter_timeout: float,
        timeline: timelines.Timeline,
        now: Callable[[], float],
        is_leaving: Callable[[str], bool],
    ) -> None:
        self._replica = replica
        self._known_keepers = keepers
        self._desired_voters = desired_voters
        self._voter_timeout = voter_timeout
        self._timeline = timeline
        self._now = now
        self._is_leaving = is_leaving
        self._started_at = now()
        self._leading_since: float | None = None

    async def run(self) -> None:
        """Check the voters periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._check_leading():
                continue
            self._update_standbys()
            step = self._choose_step()
            while step is not None and await self._apply_step(step):
                step = self._choose_step()

    def _check_leading(self) -> bool:
        replica = self._replica
        if not replica.is_leading or not replica.has_lease:
            self._leading_since = None
            return False
        if self._leading_since is None:
            self._leading_since = self._now()
        return True

    # Standbys

    def _update_standbys(self) -> None:
        """Choose the standbys among the live keepers without a vote, and replicate to them."""
        replica = self._replica
        previous = replica.replication.standbys
        alive = self._known_keepers.list_alive()
        candidates = [seen for seen in alive if seen.name not in replica.voters]
        candidates.sort(key=lambda seen: (seen.name not in previous, seen.name))
        standbys = {seen.name: seen.address for seen in candidates[:MAX_STANDBYS]}
        if standbys != previous:
            self._timeline.record("keeper.standbys", standbys=sorted(standbys))
            replica.replication.standbys = standbys
            replica.replication.follow(replica.voters)

    def _is_ready(self, name: str) -> bool:
        """Whether a standby holds everything committed, and replies."""
        replica = self._replica
        progress = replica.replication.get(name)
        return (
            progress is not None
            and bool(progress.disk_id)
            and progress.match_index >= max(replica.commit_index, 1)
            and self._now() - progress.acked_at < READY_TIMEOUT_SECONDS
        )

    # Votes

    def _choose_step(self) -> voter_rules.Step | None:
        replica = self._replica
        voters = [
            voter_rules.Voter(name, self._compute_silence(name), self._is_leaving(name))
            for name in replica.voters
        ]
        names = sorted(set(replica.replication.standbys) - set(replica.voters))
        names = [name for name in names if not self._is_leaving(name)]
        standbys = [voter_rules.Standby(name, self._is_ready(name)) for name in names]
        return voter_rules.choose_step(voters, standbys, self._desired_voters, self._voter_timeout)

    def _compute_silence(self, name: str) -> float:
        """Seconds since the last contact with a voter; 0 during the grace time of a new leader."""
        assert self._leading_since is not None
        now = self._now()
        if name == self._replica.name or now - self._leading_since < NEW_LEADER_GRACE_SECONDS:
            return 0.0
        acked_at = self._replica.get_last_ack_at(name)
        if acked_at > followers.NEVER:
            return now - acked_at
        # A voter may still announce itself although its disk does not respond.
        heard_at = self._known_keepers.get_heard_at(name)
        return now - min(
            self._leading_since, heard_at if heard_at is not None else self._started_at
        )

    async def _apply_step(self, step: voter_rules.Step) -> bool:
        """Change the voters; False if the change was not committed, or the lease was lost."""
        replica = self._replica
        command: commands.VoterAdd | commands.VoterRemove
        if isinstance(step, voter_rules.RemoveVoter):
            command = commands.VoterRemove(step.name)
            self._timeline.record(
                "keeper.remove", keeper=step.name, reason=step.reason, voters=sorted(replica.voters)
            )
        else:
            progress = replica.replication.get(step.name)
            assert progress is not None
            address = replica.replication.standbys[step.name]
            command = commands.VoterAdd(step.name, address, progress.disk_id)
            self._timeline.record(
                "keeper.promote",
                keeper=step.name,
                disk_id=progress.disk_id,
                voters=sorted(replica.voters),
            )
        try:
            await replica.change_voters(command)
        except faults.FaultError as error:
            self._timeline.record(
                "keeper.not_changed", keeper=step.name, reason=error.fault.message
            )
            return False
        return self._check_leading()
