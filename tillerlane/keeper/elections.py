"""Who leads: standing for election, answering candidates, founding the first log."""

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
"""Silence of the leader after which a voter stands for election, drawn anew each time."""
ELECTION_CHECK_INTERVAL_SECONDS = 0.1
MIN_CHECK_INTERVAL_SECONDS = 0.005
"""Shortest pause between two looks at elections, so that they never hold the event loop."""
ELECTION_RETRY_DELAY_SECONDS = (0.05, 0.15)
"""Pause after an election that was not won: keepers that start together find the others' links
missing or votes split, and each tenth of a second is one without service.  Pre-votes change
nothing, so asking often costs a keeper that is cut off some 40 small messages a second at most."""
LEASE_SECONDS = 0.8
"""Shorter than the shortest election timeout, with room for clocks that drift."""
STARTUP_ELECTION_TIMEOUT_SECONDS = (LEASE_SECONDS, LEASE_SECONDS + 0.3)
"""After its start a voter that followed a leader stands once that leader's lease has surely ended,
by lot, so that votes seldom split; the former leader itself stands at once."""
LOST_ELECTION_LOG_INTERVAL_SECONDS = 5.0
"""A keeper that can't win elections says so again after so long, though nothing has changed: often
enough for a log that is cut to some lines, 720 lines an hour at most."""


class Participant(Protocol):
    """What elections need of the replica that they are a part of."""

    name: str
    storage: storages.Storage
    leader: str
    write_lock: asyncio.Lock
    disk_fault: faults.Fault | None

    @property
    def is_leading(self) -> bool:
        """Whether it leads; it may have lost its lease."""

    @property
    def has_lease(self) -> bool:
        """Whether no other keeper can be leader yet."""

    @property
    def is_stalled(self) -> bool:
        """Whether its disk has been silent for too long."""

    @property
    def is_voter(self) -> bool:
        """Whether it may vote, with the disk that it has."""

    @property
    def voters(self) -> dict[str, commands.Voter]:
        """Voters by the latest entry of its log."""

    async def write(self, work: Callable[..., None], *arguments: Any) -> None:
        """Run a blocking write of the storage, under `write_lock`."""

    async def follow_term(self, term: int, leader: str = "") -> None:
        """Enter a later term."""

    def become_candidate(self) -> None:
        """Stand for election in the term that the disk names."""

    def become_leader(self) -> None:
        """Lead the term that the disk names."""

    def become_follower(self, term: int, leader: str) -> None:
        """Lead no more, or follow another leader."""


class Elections:
    """One keeper's part in elections.

    Parameters
    ----------
    participant : Participant
        The replica that this is a part of.
    configured : int
        How many keepers the settings name.
    get_link : callable
        (address) gives the link to a keeper, or None.
    timeline : timelines.Timeline
        Takes the events.
    rng : random.Random
        Draws election timeouts.
    list_bootstrap_peers : callable
        Gives the first voters, name to address, if this keeper may found the log now.

    Attributes
    ----------
    heard_at : float
        When a leader was last heard of, or this keeper's own lease last held.
    lost_elections : int
        Elections and pre-votes that this keeper stood in and did not win.
    """

    def __init__(
        self,
        participant: Participant,
        configured: int,
        get_link: Callable[[str], links.Link | None],
        timeline: timelines.Timeline,
        rng: random.Random,
        list_bootstrap_peers: Callable[[], dict[str, str]],
    ) -> None:
        self._participant = participant
        self._configured = configured
        self._get_link = get_link
        self._timeline = timeline
        self._rng = rng
        self._list_bootstrap_peers = list_bootstrap_peers
        self.heard_at = -1e9
        self._election_at = 0.0
        self._began_at = math.inf
        """Time of the event loop at which its tasks began; until then it helps no leader."""
        self.lost_elections = 0
        self._told_lost: tuple[dict[str, str], float] | None = None

    # Time

    def start(self) -> None:
        """Take note that the keeper begins now."""
        self._began_at = _now()
        self._election_at = self._began_at + self._draw_start_timeout()

    def record_leader_contact(self) -> None:
        """Take note that the leader was heard of; it is given time anew."""
        self.heard_at = _now()
        self._election_at = self.heard_at + self._draw_timeout()

    def has_heard_leader(self, seconds: float) -> bool:
        """Whether a leader was heard of within the last seconds."""
        return _now() - self.heard_at < seconds

    def _read_pause(self) -> float:
        """Seconds until the next look at elections."""
        until_election = self._election_at - _now()
        if until_election <= 0:
            return ELECTION_CHECK_INTERVAL_SECONDS
        return min(ELECTION_CHECK_INTERVAL_SECONDS, max(MIN_CHECK_INTERVAL_SECONDS, until_election))

    def _draw_timeout(self) -> float:
        return self._rng.uniform(*ELECTION_TIMEOUT_SECONDS)

    def _draw_start_timeout(self) -> float:
        """Seconds from the start to the first election that this keeper stands in."""
        own = self._participant
        if not own.voters and self._configured > 1:
            return self._draw_timeout()
        if own.storage.voted_for in ("", own.name):
            return self._rng.uniform(*ELECTION_RETRY_DELAY_SECONDS)
        return self._rng.uniform(*STARTUP_ELECTION_TIMEOUT_SECONDS)

    # Standing

    async def run(self) -> None:
        """Stand for election whenever it is time, until cancelled."""
        while True:
            await asyncio.sleep(self._read_pause())
            own = self._participant
            if own.disk_fault is not None:
                continue
            if own.is_stalled:
                if own.is_leading:
                    self._timeline.record("keeper.disk_stalled", term=own.storage.term)
                    own.become_follower(own.storage.term, "")
                continue
            if own.is_leading:
                self._keep_lease()
                continue
            if _now() >= self._election_at:
                try:
                    await self._stand()
                except faults.FaultError as error:
                    self._timeline.record("keeper.no_election", reason=error.fault.message)
                retry = _now() + self._rng.uniform(*ELECTION_RETRY_DELAY_SECONDS)
                self._election_at = max(self._election_at, retry)

    def _keep_lease(self) -> None:
        """Lead no more once the lease has been gone for long."""
        own = self._participant
        if own.has_lease:
            self.heard_at = _now()
        elif not self.has_heard_leader(LEASE_SECONDS * 2):
            self._timeline.record("keeper.lease_lost", term=own.storage.term)
            own.become_follower(own.storage.term, "")

    async def _stand(self) -> None:
        own = self._participant
        if not own.voters:
            await self._try_bootstrap()
            return
        if not own.is_voter or self._may_support_leader(own.name):
            return
        if not await self._collect_votes(own.storage.term + 1, pre=True):
            return
        async with own.write_lock:
            term = own.storage.term + 1
            await own.write(own.storage.save_vote, term, own.name)
        own.become_candidate()
        if await self._collect_votes(term, pre=False) and own.storage.term == term:
            own.become_leader()

    def _build_vote_request(self, term: int, *, pre: bool) -> messages.VoteRequest:
        storage = self._participant.storage
        return messages.VoteRequest(
            term, self._participant.name, storage.last_index, storage.last_term, pre
        )

    async def _collect_votes(self, term: int, *, pre: bool) -> bool:
        """Ask all voters; whether a quorum granted."""
        own = self._participant
        request = self._build_vote_request(term, pre=pre)
        others = {name: voter for name, voter in own.voters.items() if name != own.name}
        needed = voter_rules.compute_quorum(len(own.voters))
        result = await votes.collect_votes(self._get_link, request, others, needed)
        if not result.is_won:
            self._note_lost(request, needed, result)
        if result.later_term > own.storage.term:
            await own.follow_term(result.later_term)
        return result.is_won

    def _note_lost(
        self, request: messages.VoteRequest, needed: int, result: votes.VoteResult
    ) -> None:
        """Say why an election was not won: once, and again when the reasons change.

        A keeper without a quorum asks some ten times a second, and the answers are the same.
        """
        self.lost_elections += 1
        told = (result.verdicts, _now() // LOST_ELECTION_LOG_INTERVAL_SECONDS)
        if told == self._told_lost:
            return
        self._told_lost = told
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
        """Found the log, if every founder is there with a fresh disk."""
        own = self._participant
        bootstrap_peers = self._list_bootstrap_peers() if own.storage.is_fresh else {}
        if own.name not in bootstrap_peers:
            return
        request = self._build_vote_request(1, pre=True)
        voters = {own.name: commands.Voter(bootstrap_peers[own.name], own.storage.disk_id)}
        for name, address in bootstrap_peers.items():
            if name == own.name:
                continue
            reply = await votes.request_vote(self._get_link, address, request)
            if reply is None or not reply.fresh:
                return
            voters[name] = commands.Voter(address, reply.disk_id)
        async with own.write_lock:
            await own.write(own.storage.save_vote, 1, own.name)
            found = messages.LogEntry(1, 1, commands.encode(commands.Bootstrap(voters)))
            await own.write(own.storage.append, [found])
        self._timeline.record("keeper.found", voters=sorted(voters))
        own.become_leader()

    # Voting

    async def handle_vote_request(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate."""
        own = self._participant
        is_later = not request.pre and request.term > own.storage.term
        if is_later and not self._hears_leader(request.candidate):
            await own.follow_term(request.term)
        refusal = self._find_refusal(request)
        if refusal is None and not request.pre:
            async with own.write_lock:
                refusal = self._find_refusal(request)
                if refusal is None and own.storage.voted_for != request.candidate:
                    await own.write(own.storage.save_vote, request.term, request.candidate)
            if refusal is None:
                self._election_at = _now() + self._draw_timeout()
        storage = own.storage
        return messages.VoteReply(
            storage.term,
            refusal is None,
            storage.disk_id,
            storage.is_fresh,
            refusal.value if refusal else "",
        )

    def _may_support_leader(self, candidate: str) -> bool:
        """Whether a leader may hold a lease that rests on this keeper's word before its restart.

        A restarted voter has forgotten when it last answered its leader, but its disk names that
        leader (`Participant.follow_term`).  The lease has ended when `LEASE_SECONDS` have passed
        since the start, or when that leader stands for election itself.  Without this a voter that
        restarts helps a second leader while the first one still answers reads.
        """
        if _now() - self._began_at >= LEASE_SECONDS:
            return False
        return self._participant.storage.voted_for not in ("", self._participant.name, candidate)

    def _hears_leader(self, candidate: str) -> bool:
        """Whether a leader lives or may live: then nobody else is helped to replace it."""
        own = self._participant
        if own.is_leading:
            return own.has_lease
        if self._may_support_leader(candidate):
            return True
        # A leader that stands for a later term leads no more.
        has_other_leader = own.leader not in ("", candidate)
        return has_other_leader and self.has_heard_leader(ELECTION_TIMEOUT_SECONDS[0])

    def _find_refusal(self, request: messages.VoteRequest) -> votes.VoteRefusal | None:
        """Why a candidate gets no vote here; None if it gets one."""
        storage = self._participant.storage
        if self._hears_leader(request.candidate):
            return votes.VoteRefusal.LEADER_LIVES
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
