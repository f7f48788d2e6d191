"""Leader election: campaigns, votes, and the bootstrap of the first log."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any, Protocol

from tillerlane.decisions import voters as voter_rules
from tillerlane.faults import core as faults
from tillerlane.keeper import commands, votes
from tillerlane.keeper import storage as storages
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["ELECTION_TIMEOUT_SECONDS", "LEASE_SECONDS", "Elections", "Participant"]

ELECTION_TIMEOUT_SECONDS = (1.0, 1.6)
"""Range of the election timeout, the time without contact with a leader after which a voter
campaigns.  Each timeout is sampled from it."""
ELECTION_CHECK_INTERVAL_SECONDS = 0.1
MIN_CHECK_INTERVAL_SECONDS = 0.005
"""Lower bound of the interval between two checks, so that they never hog the event loop."""
ELECTION_RETRY_DELAY_SECONDS = (0.05, 0.15)
"""Range of the delay after a lost election.  It is short because keepers that start together often
lack links or split the vote, and there is no service until one is elected.  Pre-votes change no
state, so a keeper that is cut off only sends at most about 40 small messages a second."""
LEASE_SECONDS = 0.8
"""Shorter than the shortest election timeout, with a margin for clock drift."""
STARTUP_ELECTION_TIMEOUT_SECONDS = (LEASE_SECONDS, LEASE_SECONDS + 0.3)
"""Range of the first election timeout of a restarted voter that followed a leader: that leader's
lease has ended by then, and the randomization makes split votes rare.  A restarted leader
campaigns without this delay."""
LOST_ELECTION_LOG_INTERVAL_SECONDS = 5.0
"""Interval at which a keeper that keeps losing elections logs this again although the replies are
unchanged: at most 720 lines an hour, yet often enough to appear in a short excerpt of the log."""


class Participant(Protocol):
    """Interface of the replica that elections act for."""

    name: str
    storage: storages.Storage
    leader: str
    write_lock: asyncio.Lock
    disk_fault: faults.Fault | None

    @property
    def is_leading(self) -> bool:
        """Whether it leads; its lease may have expired."""

    @property
    def has_lease(self) -> bool:
        """Whether no other keeper can be leader yet."""

    @property
    def is_stalled(self) -> bool:
        """Whether a write has been blocked on its disk for too long."""

    @property
    def is_voter(self) -> bool:
        """Whether it is a voter with its present disk."""

    @property
    def voters(self) -> dict[str, commands.Voter]:
        """Voters according to the latest entry of its log."""

    async def write(self, work: Callable[..., None], *arguments: Any) -> None:
        """Run a blocking write of the storage; the caller holds `write_lock`."""

    async def follow_term(self, term: int, leader: str = "") -> None:
        """Enter a later term."""

    def become_candidate(self) -> None:
        """Become a candidate in the term on the disk."""

    def become_leader(self) -> None:
        """Become the leader of the term on the disk."""

    def become_follower(self, term: int, leader: str) -> None:
        """Step down, or follow another leader."""


class Elections:
    """One keeper's part in elections.

    Parameters
    ----------
    participant : Participant
        The replica that elections act for.
    configured_count : int
        Number of keepers in the settings.
    get_link : callable
        (address) returns the link to a keeper, or None.
    timeline : timelines.Timeline
        Records the events.
    rng : random.Random
        Samples election timeouts.
    list_bootstrap_peers : callable
        Returns the initial voters, name to address, if this keeper may bootstrap the log now;
        empty otherwise.

    Attributes
    ----------
    heard_at : float
        Time of the last contact with a leader, or at which this keeper last held the lease.
    lost_elections : int
        Number of elections and pre-votes that this keeper campaigned in and lost.
    """

    def __init__(
        self,
        participant: Participant,
        configured_count: int,
        get_link: Callable[[str], links.Link | None],
        timeline: timelines.Timeline,
        rng: random.Random,
        list_bootstrap_peers: Callable[[], dict[str, str]],
    ) -> None:
        self._participant = participant
        self._configured_count = configured_count
        self._get_link = get_link
        self._timeline = timeline
        self._rng = rng
        self._list_bootstrap_peers = list_bootstrap_peers
        self.heard_at = -1e9
        self._election_at = 0.0
        self._started_at = math.inf
        """Event loop time of the start; until then, this keeper supports no new leader."""
        self.lost_elections = 0
        self._last_logged_loss: tuple[dict[str, str], float] | None = None

    # Time

    def start(self) -> None:
        """Start the first election timeout."""
        self._started_at = _now()
        self._election_at = self._started_at + self._sample_startup_timeout()

    def record_leader_contact(self) -> None:
        """Record a message from the leader, and restart the election timeout."""
        self.heard_at = _now()
        self._election_at = self.heard_at + self._sample_timeout()

    def has_heard_leader(self, seconds: float) -> bool:
        """Whether there was contact with a leader within the last `seconds`."""
        return _now() - self.heard_at < seconds

    def _compute_check_delay(self) -> float:
        """Compute the seconds until the next check."""
        until_election = self._election_at - _now()
        if until_election <= 0:
            return ELECTION_CHECK_INTERVAL_SECONDS
        return min(ELECTION_CHECK_INTERVAL_SECONDS, max(MIN_CHECK_INTERVAL_SECONDS, until_election))

    def _sample_timeout(self) -> float:
        return self._rng.uniform(*ELECTION_TIMEOUT_SECONDS)

    def _sample_startup_timeout(self) -> float:
        """Sample the seconds from the start to this keeper's first campaign."""
        participant = self._participant
        if not participant.voters and self._configured_count > 1:
            return self._sample_timeout()
        if participant.storage.voted_for in ("", participant.name):
            return self._rng.uniform(*ELECTION_RETRY_DELAY_SECONDS)
        return self._rng.uniform(*STARTUP_ELECTION_TIMEOUT_SECONDS)

    # Campaigning

    async def run(self) -> None:
        """Campaign whenever the election timeout expires, until cancelled."""
        while True:
            await asyncio.sleep(self._compute_check_delay())
            participant = self._participant
            if participant.disk_fault is not None:
                continue
            if participant.is_stalled:
                if participant.is_leading:
                    self._timeline.record("keeper.disk_stalled", term=participant.storage.term)
                    participant.become_follower(participant.storage.term, "")
                continue
            if participant.is_leading:
                self._check_lease()
                continue
            if _now() >= self._election_at:
                try:
                    await self._campaign()
                except faults.FaultError as error:
                    self._timeline.record("keeper.no_election", reason=error.fault.message)
                retry = _now() + self._rng.uniform(*ELECTION_RETRY_DELAY_SECONDS)
                self._election_at = max(self._election_at, retry)

    def _check_lease(self) -> None:
        """Step down if the lease has not been renewed for twice its duration."""
        participant = self._participant
        if participant.has_lease:
            self.heard_at = _now()
        elif not self.has_heard_leader(LEASE_SECONDS * 2):
            self._timeline.record("keeper.lease_lost", term=participant.storage.term)
            participant.become_follower(participant.storage.term, "")

    async def _campaign(self) -> None:
        participant = self._participant
        if not participant.voters:
            await self._try_bootstrap()
            return
        if not participant.is_voter or self._may_back_lease(participant.name):
            return
        if not await self._collect_votes(participant.storage.term + 1, pre=True):
            return
        async with participant.write_lock:
            term = participant.storage.term + 1
            await participant.write(participant.storage.save_vote, term, participant.name)
        participant.become_candidate()
        if await self._collect_votes(term, pre=False) and participant.storage.term == term:
            participant.become_leader()

    def _build_vote_request(self, term: int, *, pre: bool) -> messages.VoteRequest:
        storage = self._participant.storage
        return messages.VoteRequest(
            term, self._participant.name, storage.last_index, storage.last_term, pre
        )

    async def _collect_votes(self, term: int, *, pre: bool) -> bool:
        """Request the votes of all voters; whether a quorum grants them."""
        participant = self._participant
        request = self._build_vote_request(term, pre=pre)
        others = {
            name: voter for name, voter in participant.voters.items() if name != participant.name
        }
        needed = voter_rules.compute_quorum(len(participant.voters))
        result = await votes.collect_votes(self._get_link, request, others, needed)
        if not result.is_won:
            self._record_loss(request, needed, result)
        if result.later_term > participant.storage.term:
            await participant.follow_term(result.later_term)
        return result.is_won

    def _record_loss(
        self, request: messages.VoteRequest, needed: int, result: votes.VoteResult
    ) -> None:
        """Log why an election was lost, if the reasons differ from those last logged.

        A keeper without a quorum campaigns about ten times a second, mostly with the same replies.
        """
        self.lost_elections += 1
        loss = (result.verdicts, _now() // LOST_ELECTION_LOG_INTERVAL_SECONDS)
        if loss == self._last_logged_loss:
            return
        self._last_logged_loss = loss
        self._timeline.record(
            "keeper.not_elected",
            term=request.term,
            pre=request.pre,
            last_index=request.last_index,
            last_term=request.last_term,
            needed=needed,
            verdicts=result.verdicts,
        )

    async def _try_bootstrap(self) -> None:
        """Bootstrap the log, if every bootstrap peer replies with a fresh disk."""
        participant = self._participant
        bootstrap_peers = self._list_bootstrap_peers() if participant.storage.is_fresh else {}
        if participant.name not in bootstrap_peers:
            return
        request = self._build_vote_request(1, pre=True)
        voters = {
            participant.name: commands.Voter(
                bootstrap_peers[participant.name], participant.storage.disk_id
            )
        }
        for name, address in bootstrap_peers.items():
            if name == participant.name:
                continue
            reply = await votes.request_vote(self._get_link, address, request)
            if reply is None or not reply.fresh:
                return
            voters[name] = commands.Voter(address, reply.disk_id)
        async with participant.write_lock:
            await participant.write(participant.storage.save_vote, 1, participant.name)
            entry = messages.LogEntry(1, 1, commands.encode(commands.Bootstrap(voters)))
            await participant.write(participant.storage.append, [entry])
        self._timeline.record("keeper.found", voters=sorted(voters))
        participant.become_leader()

    # Voting

    async def handle_vote_request(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Grant or refuse a vote."""
        participant = self._participant
        is_later = not request.pre and request.term > participant.storage.term
        if is_later and not self._has_live_leader(request.candidate):
            await participant.follow_term(request.term)
        refusal = self._find_refusal(request)
        if refusal is None and not request.pre:
            async with participant.write_lock:
                refusal = self._find_refusal(request)
                if refusal is None and participant.storage.voted_for != request.candidate:
                    await participant.write(
                        participant.storage.save_vote, request.term, request.candidate
                    )
            if refusal is None:
                self._election_at = _now() + self._sample_timeout()
        storage = participant.storage
        return messages.VoteReply(
            storage.term,
            refusal is None,
            storage.disk_id,
            storage.is_fresh,
            refusal.value if refusal else "",
        )

    def _may_back_lease(self, candidate: str) -> bool:
        """Whether a leader may hold a lease that depends on a reply from before this restart.

        A restarted voter does not know when it last replied to its leader, but its disk names that
        leader (`Participant.follow_term`).  The lease has ended once `LEASE_SECONDS` have passed
        since the start, or when that leader campaigns itself.  Without this check, a restarted
        voter could help to elect a second leader while the first one still answers reads.
        """
        if _now() - self._started_at >= LEASE_SECONDS:
            return False
        return self._participant.storage.voted_for not in ("", self._participant.name, candidate)

    def _has_live_leader(self, candidate: str) -> bool:
        """Whether a leader is or may be alive, so that no other candidate is supported."""
        participant = self._participant
        if participant.is_leading:
            return participant.has_lease
        if self._may_back_lease(candidate):
            return True
        # A leader that campaigns for a later term no longer leads.
        has_other_leader = participant.leader not in ("", candidate)
        return has_other_leader and self.has_heard_leader(ELECTION_TIMEOUT_SECONDS[0])

    def _find_refusal(self, request: messages.VoteRequest) -> votes.VoteRefusal | None:
        """Find the reason to refuse a candidate; None if its vote is granted."""
        storage = self._participant.storage
        if self._has_live_leader(request.candidate):
            return votes.VoteRefusal.LEADER_ALIVE
        if (request.last_term, request.last_index) < (storage.last_term, storage.last_index):
            return votes.VoteRefusal.SHORTER_LOG
        is_in_term = request.term > storage.term if request.pre else request.term == storage.term
        if not is_in_term:
            return votes.VoteRefusal.OTHER_TERM
        if not request.pre and storage.voted_for not in ("", request.candidate):
            return votes.VoteRefusal.VOTE_GIVEN
        return None


def _now() -> float:
    return asyncio.get_running_loop().time()
