"""How keepers find each other from a few seed addresses, found their log and keep its size.

Nobody tells a keeper how many others there are.  Each one dials the seeds and whoever it hears of,
and says whom it knows.  On the very first start one of them, the lowest seed address, founds the
log as soon as it knows enough fresh keepers; which they are then stands in the log.  Later the
leader gives a vote to keepers that come, up to the wished number, and takes it from one that has
been silent while a spare keeper lives.
"""

import asyncio
import dataclasses

from tillerlane.faults import core as faults
from tillerlane.keeper import commands, quorum
from tillerlane.keeper import replica as replicas
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import core as timelines

__all__ = ["Formation", "Plan"]

ANNOUNCE_SECONDS = 0.4
"""Pause between two announcements; they are small and only go between keepers."""
KNOWN_SECONDS = 3.0
"""How long a keeper counts as alive after its last announcement: seven of them."""
FORGET_SECONDS = 30.0
"""Silence after which a keeper without a vote is no longer dialed: its address may be another's."""
REPLACE_SECONDS = 6.0
"""Silence of a voter after which a spare keeper takes its vote: above a restart of a machine
(about 4 s), since each change of voters is a moment of smaller redundancy."""
FOUNDING_PATIENCE_SECONDS = 5.0
"""How long the founder waits for the wished number before it begins with fewer."""
LEAST_FOUNDERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a keeper is told of its fleet.

    Attributes
    ----------
    seeds : tuple of str
        Peer addresses to begin with; some may be down.
    wished_voters : int
        Odd; one more than twice the disks that may be lost at once.
    may_found : bool
        Whether this keeper founds the log if it is not founded yet.
    """

    seeds: tuple[str, ...]
    wished_voters: int
    may_found: bool


@dataclasses.dataclass(slots=True)
class _Known:
    seen: messages.KeeperSeen
    heard_at: float


class Formation:
    """The keepers that one keeper knows, and what it does about them.

    Parameters
    ----------
    plan : Plan
        From the settings.
    address : str
        This keeper's peer address.
    node : nodes.Node
        Dials the others.
    timeline : timelines.Timeline
        Takes the events.
    """

    def __init__(
        self, plan: Plan, name: str, address: str, node: nodes.Node, timeline: timelines.Timeline
    ) -> None:
        self._plan = plan
        self._name = name
        self._address = address
        self._node = node
        self._timeline = timeline
        self._known: dict[str, _Known] = {}
        self._began_at = 0.0
        self._replica: replicas.Replica | None = None
        self._answered: dict[str, float] = {}
        """When each voter was last seen to answer, by name."""
        self.quorum = quorum.QuorumLog(timeline, plan.wished_voters // 2, self._now)

    def attach(self, replica: replicas.Replica) -> None:
        """Take the keeper's part in the log, which itself asks `list_founders`."""
        self._replica = replica

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds; keepers known already stay known."""
        self._plan = dataclasses.replace(self._plan, seeds=seeds)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def list_addresses(self) -> set[str]:
        """Peer addresses of all other keepers worth a link: seeds, voters and those heard of."""
        found = set(self._plan.seeds)
        found.update(item.seen.address for item in self._list_alive())
        if self._replica is not None:
            found.update(voter.address for voter in self._replica.voters.values())
        found.discard(self._address)
        return found

    def _list_alive(self) -> list[_Known]:
        now = self._now()
        return [item for item in self._known.values() if now - item.heard_at < KNOWN_SECONDS]

    def list_founders(self) -> dict[str, str]:
        """First voters, name to address; empty while this keeper may not found the log."""
        if not self._plan.may_found:
            return {}
        fresh = {item.seen.name: item.seen.address for item in self._list_alive()}
        fresh = dict(sorted(fresh.items())[: self._plan.wished_voters - 1])
        is_late = self._now() - self._began_at > FOUNDING_PATIENCE_SECONDS
        wanted = min(LEAST_FOUNDERS, self._plan.wished_voters) if is_late else None
        if len(fresh) + 1 < (wanted or self._plan.wished_voters):
            return {}
        return {self._name: self._address, **fresh}

    def take(self, link: links.Link, announced: messages.KeeperAnnounce) -> None:
        """Take a keeper's announcement; only what it says of itself shows that it lives."""
        if not announced.keepers:
            return
        own_word, *others = announced.keepers
        self._known[own_word.name] = _Known(own_word, self._now())
        for other in others:
            if other.name not in self._known and other.name != self._name:
                # Known by hearsay: dialed, but not counted as alive.
                self._known[other.name] = _Known(other, self._now() - KNOWN_SECONDS)
        self.dial_all()

    def dial_all(self) -> None:
        """Keep links to all keepers known."""
        hearsay = {item.seen.address for item in self._known.values()}
        for address in self.list_addresses() | hearsay - {self._address}:
            self._node.dial(address)

    def _forget_gone(self) -> None:
        """Stop dialing keepers that have not been heard of for long and have no vote."""
        now = self._now()
        for name, item in list(self._known.items()):
            if now - item.heard_at > FORGET_SECONDS:
                del self._known[name]
                if item.seen.address not in self.list_addresses():
                    self._node.hang_up(item.seen.address)

    def _build_announcement(self) -> messages.KeeperAnnounce:
        assert self._replica is not None
        storage = self._replica.storage
        own = messages.KeeperSeen(self._name, self._address, storage.disk_id, storage.is_fresh)
        return messages.KeeperAnnounce([own, *(item.seen for item in self._list_alive())])

    async def run(self) -> None:
        """Announce this keeper and look after the voters, until cancelled."""
        self._began_at = self._now()
        while True:
            self._forget_gone()
            self.dial_all()
            announcement = self._build_announcement()
            for address in self.list_addresses():
                link = self._node.dial(address).link
                if link is not None:
                    links.try_send(link, announcement)
            self._note_quorum()
            await self._look_after_voters()
            await asyncio.sleep(ANNOUNCE_SECONDS)

    def _note_quorum(self) -> None:
        """Say whom this keeper counts and hears, when that changes."""
        own = self._replica
        assert own is not None
        heard = {item.seen.name: item.seen.disk_id for item in self._list_alive()}
        disk_id = own.storage.disk_id
        self.quorum.note(quorum.build_view(self._name, disk_id, own.leader, own.voters, heard))

    # The leader's part

    async def _look_after_voters(self) -> None:
        own = self._replica
        if own is None or own.standing is not replicas.Standing.LEADER or not own.has_lease:
            self._answered.clear()
            return
        now = self._now()
        for name in own.voters:
            answered_at = own.read_answered_at(name)
            self._answered[name] = max(self._answered.get(name, now), answered_at)
        alive = {item.seen.name: item.seen for item in self._list_alive()}
        spare = [seen for name, seen in sorted(alive.items()) if name not in own.voters]
        silent = [
            name for name in own.voters if now - self._answered.get(name, now) > REPLACE_SECONDS
        ]
        surplus = len(own.voters) > self._plan.wished_voters
        if silent and surplus:
            await self._remove(silent[0])
        elif spare and (silent or len(own.voters) < self._plan.wished_voters) and not surplus:
            seen = spare[0]
            if seen.name not in own.learners:
                self._timeline.record("keeper.learner", keeper=seen.name, silent=silent)
                own.add_learner(seen.name, seen.address)

    async def _remove(self, name: str) -> None:
        own = self._replica
        assert own is not None
        self._timeline.record("keeper.remove", keeper=name, voters=sorted(own.voters))
        try:
            await own.change_voters(commands.VoterRemove(name))
        except faults.FaultError as error:
            self._timeline.record("keeper.not_removed", keeper=name, reason=error.fault.message)
