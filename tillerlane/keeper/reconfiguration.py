"""The leader's part in who votes: it keeps standbys up to date and turns votes over to them."""

import asyncio
from collections.abc import Callable

from tillerlane.decisions import voters as voter_rules
from tillerlane.faults import core as faults
from tillerlane.keeper import commands, followers, known_keepers
from tillerlane.keeper import replica as replicas
from tillerlane.timeline import core as timelines

__all__ = ["Reconfiguration"]

CHECK_INTERVAL_SECONDS = 0.1
"""Pause between two looks at the voters."""
NEW_LEADER_GRACE_SECONDS = 1.0
"""How long a new leader asks the voters, four times each, before it counts one as silent; the
silence itself counts from when it last heard of the voter, also as a follower.  Without that a
leader that replaces a lost one waits for the same silence again: two disks lost once the newcomer
counted as whole then stopped the log (`keeper/tests/test_exchange.py`)."""
READY_TIMEOUT_SECONDS = 1.0
"""A standby that answered so long ago at most may get a vote."""
MAX_STANDBYS = 4
"""Keepers without a vote that follow the log: as many as may be lost at once, twice over.  Each
costs the leader what a voter costs."""


class Reconfiguration:
    """Who votes, looked after while this keeper leads.

    Every keeper that is alive follows the log, with or without a vote.  So a vote that is free
    finds a keeper that holds all that is committed, and whoever asks a keeper without a vote learns
    from it who votes and what is in force.

    Parameters
    ----------
    replica : replicas.Replica
        This keeper's part in the log.
    known : known_keepers.KnownKeepers
        The other keepers.
    desired_voters : int
        How many voters there should be.
    voter_timeout : float
        Seconds of silence after which a voter counts as lost.
    timeline : timelines.Timeline
        Takes the events.
    now : callable
        Steady time in seconds.
    is_leaving : callable
        (name) tells whether a voter says that it stops.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        known: known_keepers.KnownKeepers,
        desired_voters: int,
        voter_timeout: float,
        timeline: timelines.Timeline,
        now: Callable[[], float],
        is_leaving: Callable[[str], bool],
    ) -> None:
        self._replica = replica
        self._known = known
        self._desired_voters = desired_voters
        self._voter_timeout = voter_timeout
        self._timeline = timeline
        self._now = now
        self._is_leaving = is_leaving
        self._began_at = now()
        self._led_since: float | None = None

    async def run(self) -> None:
        """Look after the voters, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._leads():
                continue
            self._follow_standbys()
            step = self._choose_step()
            while step is not None and await self._take(step):
                step = self._choose_step()

    def _leads(self) -> bool:
        own = self._replica
        if not own.is_leading or not own.has_lease:
            self._led_since = None
            return False
        if self._led_since is None:
            self._led_since = self._now()
        return True

    # Standbys

    def _follow_standbys(self) -> None:
        """Have keepers that are alive and don't vote follow the log."""
        own = self._replica
        former = own.replication.standbys
        alive = self._known.list_alive()
        waiting = [seen for seen in alive if seen.name not in own.voters]
        waiting.sort(key=lambda seen: (seen.name not in former, seen.name))
        standbys = {seen.name: seen.address for seen in waiting[:MAX_STANDBYS]}
        if standbys != former:
            self._timeline.record("keeper.standbys", standbys=sorted(standbys))
            own.replication.standbys = standbys
            own.replication.follow(own.voters)

    def _is_ready(self, name: str) -> bool:
        """Whether a standby holds all that is committed, and answers."""
        own = self._replica
        progress = own.replication.get(name)
        return (
            progress is not None
            and bool(progress.disk_id)
            and progress.match_index >= max(own.commit_index, 1)
            and self._now() - progress.acked_at < READY_TIMEOUT_SECONDS
        )

    # Votes

    def _choose_step(self) -> voter_rules.Step | None:
        own = self._replica
        voters = [
            voter_rules.Voter(name, self._read_silence(name), self._is_leaving(name))
            for name in own.voters
        ]
        names = sorted(set(own.replication.standbys) - set(own.voters))
        names = [name for name in names if not self._is_leaving(name)]
        standbys = [voter_rules.Standby(name, self._is_ready(name)) for name in names]
        return voter_rules.choose_step(voters, standbys, self._desired_voters, self._voter_timeout)

    def _read_silence(self, name: str) -> float:
        """Seconds for which a voter has been silent; 0 while this leader has not asked for long."""
        assert self._led_since is not None
        now = self._now()
        if name == self._replica.name or now - self._led_since < NEW_LEADER_GRACE_SECONDS:
            return 0.0
        answered_at = self._replica.get_last_ack_at(name)
        if answered_at > followers.NEVER:
            return now - answered_at
        # A voter may still tell of itself though its disk answers nothing.
        heard_at = self._known.get_heard_at(name)
        return now - min(self._led_since, heard_at if heard_at is not None else self._began_at)

    async def _take(self, step: voter_rules.Step) -> bool:
        """Change the voters; False if that is not committed."""
        own = self._replica
        command: commands.VoterAdd | commands.VoterRemove
        if isinstance(step, voter_rules.RemoveVoter):
            command = commands.VoterRemove(step.name)
            self._timeline.record(
                "keeper.remove", keeper=step.name, reason=step.reason, voters=sorted(own.voters)
            )
        else:
            progress = own.replication.get(step.name)
            assert progress is not None
            address = own.replication.standbys[step.name]
            command = commands.VoterAdd(step.name, address, progress.disk_id)
            self._timeline.record(
                "keeper.promote",
                keeper=step.name,
                disk_id=progress.disk_id,
                voters=sorted(own.voters),
            )
        try:
            await own.change_voters(command)
        except faults.FaultError as error:
            self._timeline.record(
                "keeper.not_changed", keeper=step.name, reason=error.fault.message
            )
            return False
        return self._leads()
