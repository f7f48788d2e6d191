"""Cluster formation: discovery of keepers from seed addresses, and the bootstrap of their log.

The settings do not list all keepers.  Each keeper dials the seeds and every keeper that it learns
of, and announces itself and the keepers that it hears.  Seeds are only the starting points: the
leader must learn of a new keeper whichever keeper that one contacted first.  On the first start of
a fleet, the keeper with the lowest seed address bootstraps the log once it knows enough fresh
keepers.  From then on the log records the voters, and the leader replaces them
(`keeper.reconfiguration`).
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
"""Interval of announcements, which are small and only exchanged between keepers."""
FIRST_CONTACT_INTERVAL_SECONDS = 0.1
"""Interval of announcements to a keeper that has not announced itself yet.  A new keeper and the
leader find each other within three of them, through a keeper that both know."""
BOOTSTRAP_TIMEOUT_SECONDS = 5.0
"""How long the bootstrapping keeper waits for all desired voters before it accepts fewer."""
MIN_BOOTSTRAP_PEERS = 3
LEAVE_TIMEOUT_SECONDS = 1.0
"""How long a planned stop waits for the keeper's vote to be transferred, which takes 0.02 to 0.12 s
(40 stops in virtual time, half of them of the leader).  A keeper whose vote is not transferred by
then stops anyway, and counts as unreachable soon after."""
LEAVE_CHECK_INTERVAL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class FormationSettings:
    """Settings of how a keeper's fleet forms.

    Attributes
    ----------
    seeds : tuple of str
        Peer addresses to dial first; some may be down.
    desired_voters : int
        Odd: twice the number of disks that may be lost at once, plus one.
    voter_timeout_seconds : float
        Time without a reply after which a voter is replaced.
    can_bootstrap : bool
        Whether this keeper bootstraps the log if there is none yet.
    """

    seeds: tuple[str, ...]
    desired_voters: int
    voter_timeout_seconds: float
    can_bootstrap: bool


class Formation:
    """Discovery of other keepers, announcements, and the keeper's departure.

    Parameters
    ----------
    settings : FormationSettings
        From the settings.
    address : str
        This keeper's peer address.
    node : nodes.Node
        Dials the other keepers.
    timeline : timelines.Timeline
        Records the events.
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
        self._started_at = 0.0
        self._replica: replicas.Replica | None = None
        self._is_leaving = False
        self._announcement_due = asyncio.Event()
        """Set when an announcement to all is due before the interval ends."""
        self.quorum_monitor = quorum.QuorumMonitor(
            timeline, settings.desired_voters // 2, self._now
        )

    def attach(self, replica: replicas.Replica) -> None:
        """Set the replica, which itself calls `list_bootstrap_peers`."""
        self._replica = replica
        self.reconfiguration = reconfiguration.Reconfiguration(
            replica,
            self._known_keepers,
            self._settings.desired_voters,
            self._settings.voter_timeout_seconds,
            self._timeline,
            self._now,
            self._is_keeper_leaving,
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; known keepers stay known."""
        self._settings = dataclasses.replace(self._settings, seeds=seeds)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def list_addresses(self) -> set[str]:
        """List the peer addresses to dial: seeds, voters and all known keepers.

        Keepers that only others have reported are included.  A new keeper and a leader that is no
        seed know each other only in this way.  If each waited for an announcement of the other,
        the new keeper would never get the vote of a lost one, and losing two more disks would stop
        the log.
        """
        addresses = set(self._settings.seeds) | self._known_keepers.list_addresses()
        if self._replica is not None:
            addresses.update(voter.address for voter in self._replica.voters.values())
        addresses.discard(self._address)
        return addresses

    def list_query_addresses(self) -> list[str]:
        """List the addresses that an entry may query: the voters, or live keepers without a log.

        A new keeper lists others too.  An entry that starts knows only its seeds, and if these were
        all new it would otherwise find no configuration.
        """
        if self._replica is not None and self._replica.voters:
            return sorted(voter.address for voter in self._replica.voters.values())
        return sorted(seen.address for seen in self._known_keepers.list_alive())

    def list_bootstrap_peers(self) -> dict[str, str]:
        """List the initial voters, name to address; empty while this keeper may not bootstrap."""
        if not self._settings.can_bootstrap:
            return {}
        alive = self._known_keepers.list_alive()[: self._settings.desired_voters - 1]
        fresh = {seen.name: seen.address for seen in alive}
        is_late = self._now() - self._started_at > BOOTSTRAP_TIMEOUT_SECONDS
        min_count = min(MIN_BOOTSTRAP_PEERS, self._settings.desired_voters) if is_late else None
        if len(fresh) + 1 < (min_count or self._settings.desired_voters):
            return {}
        return {self._name: self._address, **fresh}

    def handle_announcement(self, link: links.Link, announced: messages.KeeperAnnounce) -> None:
        """Handle a keeper's announcement."""
        if self._known_keepers.merge(announced):
            self._announcement_due.set()
        self.dial_all()

    def dial_all(self) -> None:
        """Dial all keepers to which a link is needed."""
        for address in self.list_addresses():
            self._node.dial(address)

    def _expire(self) -> None:
        """Stop dialing keepers that are neither seeds nor voters and have expired."""
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
        """Announce this keeper until cancelled."""
        self._started_at = self._now()
        announced_at = 0.0
        while True:
            self._expire()
            self.dial_all()
            is_announcement_due = (
                self._announcement_due.is_set()
                or self._now() - announced_at >= ANNOUNCE_INTERVAL_SECONDS
            )
            self._announcement_due.clear()
            if is_announcement_due:
                announced_at = self._now()
                self._update_quorum()
            self._announce(self.list_addresses() if is_announcement_due else self._list_unheard())
            try:
                async with asyncio.timeout(FIRST_CONTACT_INTERVAL_SECONDS):
                    await self._announcement_due.wait()
            except TimeoutError:
                continue

    def _list_unheard(self) -> set[str]:
        """List the addresses of keepers that have not announced themselves recently."""
        return self.list_addresses() - {seen.address for seen in self._known_keepers.list_alive()}

    def _announce(self, addresses: set[str]) -> None:
        """Announce this keeper, and the live keepers that it knows, to connected addresses."""
        if not addresses:
            return
        announcement = self._build_announcement()
        for address in addresses:
            link = self._node.dial(address).link
            if link is not None:
                links.try_send(link, announcement)

    def _is_keeper_leaving(self, name: str) -> bool:
        """Whether a voter has announced that it is leaving."""
        return self._is_leaving if name == self._name else self._known_keepers.is_leaving(name)

    async def leave(self) -> None:
        """Wait for this keeper's vote to be transferred to a standby; without one, return at once.

        In a planned replacement the successor has been present for some time, so the fleet must
        tolerate further losses of disks from the moment at which this keeper stops.
        """
        replica = self._replica
        assert replica is not None
        others = {seen.name for seen in self._known_keepers.list_alive()}
        if not replica.is_voter or others <= set(replica.voters):
            return
        self._is_leaving = True
        self._announcement_due.set()
        started_at = self._now()
        while replica.is_voter and self._now() - started_at < LEAVE_TIMEOUT_SECONDS:
            await asyncio.sleep(LEAVE_CHECK_INTERVAL_SECONDS)
        self._timeline.record(
            "keeper.left_vote", done=not replica.is_voter, took_s=round(self._now() - started_at, 3)
        )

    def _update_quorum(self) -> None:
        """Update the monitor with this keeper's view of the quorum."""
        replica = self._replica
        assert replica is not None
        heard = {seen.name: seen.disk_id for seen in self._known_keepers.list_alive()}
        disk_id = replica.storage.disk_id
        self.quorum_monitor.update(
            quorum.build_view(self._name, disk_id, replica.leader, replica.voters, heard)
        )
