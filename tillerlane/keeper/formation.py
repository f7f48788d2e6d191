"""How keepers find each other from a few seed addresses, found their log and keep its size.

Nobody tells a keeper how many others there are.  Each one dials the seeds and whoever it hears of,
and says whom it knows.  Seeds are where it begins to ask, never the only ones that it speaks to:
whoever leads must hear of a newcomer, wherever that one came in.  On the very first start one of
them, the lowest seed address, founds the log as soon as it knows enough fresh keepers; which they
are then stands in the log, and the leader turns votes over (`keeper.reconfiguration`).
"""

import asyncio
import dataclasses

from tillerlane.keeper import known_keepers, quorum, reconfiguration
from tillerlane.keeper import replica as replicas
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import core as timelines

__all__ = ["Formation", "FormationSettings"]

ANNOUNCE_INTERVAL_SECONDS = 0.4
"""Pause between two announcements; they are small and only go between keepers."""
FIRST_CONTACT_INTERVAL_SECONDS = 0.1
"""Pause between two announcements to a keeper that has not told of itself yet: three of them, by
way of a keeper that both know, bring a newcomer and the leader together."""
BOOTSTRAP_TIMEOUT_SECONDS = 5.0
"""How long the founder waits for the wished number before it begins with fewer."""
MIN_BOOTSTRAP_PEERS = 3
LEAVE_TIMEOUT_SECONDS = 1.0
"""How long a planned stop waits for the vote to be turned over, which takes 0.02 to 0.12 s (40
stops in virtual time, half of them of the leader).  Who is not done then is silent soon after."""
LEAVE_CHECK_INTERVAL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class FormationSettings:
    """What a keeper is told of its fleet.

    Attributes
    ----------
    seeds : tuple of str
        Peer addresses to begin with; some may be down.
    desired_voters : int
        Odd; one more than twice the disks that may be lost at once.
    voter_timeout_seconds : float
        Silence of a voter after which another keeper takes its vote.
    can_bootstrap : bool
        Whether this keeper founds the log if it is not founded yet.
    """

    seeds: tuple[str, ...]
    desired_voters: int
    voter_timeout_seconds: float
    can_bootstrap: bool


class Formation:
    """The keepers that one keeper knows, and what it does about them.

    Parameters
    ----------
    settings : FormationSettings
        From the settings.
    address : str
        This keeper's peer address.
    node : nodes.Node
        Dials the others.
    timeline : timelines.Timeline
        Takes the events.
    """

    def __init__(
        self,
        settings: FormationSettings,
        name: str,
        address: str,
        node: nodes.Node,
        timeline: timelines.Timeline,
    ) -> None:
        self._settings = settings
        self._name = name
        self._address = address
        self._node = node
        self._timeline = timeline
        self._known_keepers = known_keepers.KnownKeepers(name, self._now)
        self._began_at = 0.0
        self._replica: replicas.Replica | None = None
        self._is_leaving = False
        self._is_due = asyncio.Event()
        """Set when all are to be spoken to before the next pause ends."""
        self.quorum_monitor = quorum.QuorumMonitor(
            timeline, settings.desired_voters // 2, self._now
        )

    def attach(self, replica: replicas.Replica) -> None:
        """Take the keeper's part in the log, which itself asks `list_bootstrap_peers`."""
        self._replica = replica
        self.reconfiguration = reconfiguration.Reconfiguration(
            replica,
            self._known_keepers,
            self._settings.desired_voters,
            self._settings.voter_timeout_seconds,
            self._timeline,
            self._now,
            self._reads_as_leaving,
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds; keepers known already stay known."""
        self._settings = dataclasses.replace(self._settings, seeds=seeds)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def list_addresses(self) -> set[str]:
        """Peer addresses of all other keepers worth a link: seeds, voters and those heard of.

        Who is known from others only is spoken to as well.  A leader that is no seed and a newcomer
        know each other just so; when each waited for the other's word, the newcomer never got the
        vote of a keeper that was lost, and two more lost disks stopped the log.
        """
        found = set(self._settings.seeds) | self._known_keepers.list_addresses()
        if self._replica is not None:
            found.update(voter.address for voter in self._replica.voters.values())
        found.discard(self._address)
        return found

    def list_query_addresses(self) -> list[str]:
        """Peer addresses that an entry may turn to: the voters, or who is heard of without a log.

        A keeper that is new names others too.  An entry that starts knows its seeds only, and where
        those are all new it would find no configuration.
        """
        if self._replica is not None and self._replica.voters:
            return sorted(voter.address for voter in self._replica.voters.values())
        return sorted(seen.address for seen in self._known_keepers.list_alive())

    def list_bootstrap_peers(self) -> dict[str, str]:
        """First voters, name to address; empty while this keeper may not found the log."""
        if not self._settings.can_bootstrap:
            return {}
        alive = self._known_keepers.list_alive()[: self._settings.desired_voters - 1]
        fresh = {seen.name: seen.address for seen in alive}
        is_late = self._now() - self._began_at > BOOTSTRAP_TIMEOUT_SECONDS
        wanted = min(MIN_BOOTSTRAP_PEERS, self._settings.desired_voters) if is_late else None
        if len(fresh) + 1 < (wanted or self._settings.desired_voters):
            return {}
        return {self._name: self._address, **fresh}

    def handle_announcement(self, link: links.Link, announced: messages.KeeperAnnounce) -> None:
        """Take a keeper's announcement."""
        if self._known_keepers.merge(announced):
            self._is_due.set()
        self.dial_all()

    def dial_all(self) -> None:
        """Keep links to all keepers known."""
        for address in self.list_addresses():
            self._node.dial(address)

    def _expire(self) -> None:
        """Stop dialing who is neither seed nor voter and has not been told of for long."""
        self._known_keepers.expire()
        for address in self._node.get_dialed() - self.list_addresses():
            self._node.disconnect(address)

    def _build_announcement(self) -> messages.KeeperAnnounce:
        assert self._replica is not None
        storage = self._replica.storage
        own = messages.KeeperSeen(
            self._name, self._address, storage.disk_id, storage.is_fresh, self._is_leaving
        )
        return messages.KeeperAnnounce([own, *self._known_keepers.list_alive()])

    async def run(self) -> None:
        """Announce this keeper, until cancelled."""
        self._began_at = self._now()
        announced_at = 0.0
        while True:
            self._expire()
            self.dial_all()
            is_due = (
                self._is_due.is_set() or self._now() - announced_at >= ANNOUNCE_INTERVAL_SECONDS
            )
            self._is_due.clear()
            if is_due:
                announced_at = self._now()
                self._update_quorum()
            self._announce(self.list_addresses() if is_due else self._list_unheard())
            try:
                async with asyncio.timeout(FIRST_CONTACT_INTERVAL_SECONDS):
                    await self._is_due.wait()
            except TimeoutError:
                continue

    def _list_unheard(self) -> set[str]:
        """Addresses of those who have not told of themselves lately."""
        return self.list_addresses() - {seen.address for seen in self._known_keepers.list_alive()}

    def _announce(self, addresses: set[str]) -> None:
        """Tell of this keeper, and of those that it hears, wherever there is a link."""
        if not addresses:
            return
        announcement = self._build_announcement()
        for address in addresses:
            link = self._node.dial(address).link
            if link is not None:
                links.try_send(link, announcement)

    def _reads_as_leaving(self, name: str) -> bool:
        """Whether a voter says that it stops."""
        return self._is_leaving if name == self._name else self._known_keepers.is_leaving(name)

    async def leave(self) -> None:
        """Have this keeper's vote turned over to one that stands by; without one, do nothing.

        A keeper that is exchanged as planned counts as gone the moment it stops, since its
        successor has been there for long; the next disks may be lost then.
        """
        own = self._replica
        assert own is not None
        others = {seen.name for seen in self._known_keepers.list_alive()}
        if not own.is_voter or others <= set(own.voters):
            return
        self._is_leaving = True
        self._is_due.set()
        began = self._now()
        while own.is_voter and self._now() - began < LEAVE_TIMEOUT_SECONDS:
            await asyncio.sleep(LEAVE_CHECK_INTERVAL_SECONDS)
        self._timeline.record(
            "keeper.left_vote", done=not own.is_voter, took_s=round(self._now() - began, 3)
        )

    def _update_quorum(self) -> None:
        """Say whom this keeper counts and hears, when that changes."""
        own = self._replica
        assert own is not None
        heard = {seen.name: seen.disk_id for seen in self._known_keepers.list_alive()}
        disk_id = own.storage.disk_id
        self.quorum_monitor.update(
            quorum.build_view(self._name, disk_id, own.leader, own.voters, heard)
        )
