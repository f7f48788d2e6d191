"""An entry's view of the targets: their agents, their (lagging) loads and their failures."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Iterable

from tillerlane.members import view as views
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes

__all__ = ["FleetView", "TargetRecord"]

EJECTION_SECONDS = 5.0
EJECTION_FAILURES = 3
"""Consecutive failures after which a target is temporarily ejected."""
FAR_DIAL_COUNT = 2
"""Targets of far data halls that are dialed at a time."""
FAR_DIAL_TIMEOUT_SECONDS = 0.5
FAR_RETENTION_SECONDS = 60.0
"""How long the link to a far target is kept after it was dialed."""
SLOW_START_SECONDS = 10.0
"""How long a new target gets less than its share of requests."""


@dataclasses.dataclass(slots=True, eq=False)
class TargetRecord:
    """State of one target at this entry; times are those of the event loop, in seconds."""

    name: str
    agent: str
    peer: nodes.Peer
    data_hall: str
    first_seen: float
    load: messages.Load | None = None
    load_at: float = -math.inf
    incarnation: int = 0
    """Start of the agent that sent the last report; its sequence begins again with each start."""
    sent_since: int = 0
    """Requests sent since the last report, which therefore does not include them."""
    tokens_since: int = 0
    """Prompt tokens of those requests."""
    in_flight: int = 0
    failures: int = 0
    ejected_until: float = -math.inf
    leaving: bool = False
    retained_until: float = math.inf
    """Time until which a target of a far data hall is kept."""

    def handle_load(self, load: messages.Load, now: float, incarnation: int = 0) -> None:
        """Apply a load report unless it is older than the last one.

        `incarnation` is that of the agent, which increases with each of its starts.
        """
        if incarnation < self.incarnation:
            return
        is_same_start = self.load is not None and incarnation == self.incarnation
        if is_same_start and 1 < load.sequence <= self.load.sequence:
            return
        self.incarnation = incarnation
        self.load = load
        self.load_at = now
        self.sent_since = 0
        self.tokens_since = 0

    def record_send(self, tokens: int) -> None:
        """Record that a request was sent."""
        self.sent_since += 1
        self.tokens_since += tokens
        self.in_flight += 1

    def record_end(self, failed: bool, now: float) -> None:
        """Record that a request has ended; repeated failures eject the target."""
        self.in_flight -= 1
        self.failures = self.failures + 1 if failed else 0
        if self.failures >= EJECTION_FAILURES:
            self.ejected_until = now + EJECTION_SECONDS * min(
                6, self.failures - EJECTION_FAILURES + 1
            )

    def is_in_slow_start(self, now: float) -> bool:
        """Whether it is new and gets less than its share of requests."""
        return now - self.first_seen < SLOW_START_SECONDS


class FleetView:
    """All targets that this entry may use.

    Parameters
    ----------
    node : nodes.Node
        Node that dials the agents.
    members : views.MemberView
        Members of the fleet.
    near_halls : set of str or None
        Data halls to whose agents links are kept; None is all.
    """

    def __init__(
        self, node: nodes.Node, members: views.MemberView, near_halls: set[str] | None = None
    ) -> None:
        self._node = node
        self._members = members
        self._near_halls = near_halls
        self._started_at: float | None = None
        self.targets: dict[str, TargetRecord] = {}
        self.has_linked = False
        """Whether any target was ever linked; until then the entry is not ready."""

    def refresh(self, now: float) -> None:
        """Update the targets from the members: dial new agents, discard those that are gone."""
        if self._started_at is None:
            self._started_at = now
        present: set[str] = set()
        for member in self._members.list_all():
            for name in member.targets:
                if member.state == views.GONE and not self._is_linked(name, member):
                    continue
                if not self._is_retained(name, member, now):
                    continue
                present.add(name)
                self._update_record(name, member, now)
        for name in set(self.targets) - present:
            record = self.targets[name]
            if record.in_flight == 0:
                del self.targets[name]
            else:
                record.leaving = True
        self._close_unused_links()
        self.has_linked |= any(record.peer.link is not None for record in self.targets.values())

    def _is_retained(self, name: str, member: messages.Member, now: float) -> bool:
        """Whether a target is near, or far and still retained."""
        if self._near_halls is None or member.data_hall in self._near_halls:
            return True
        record = self.targets.get(name)
        return record is not None and (now < record.retained_until or record.in_flight > 0)

    async def connect_far(self, names: Iterable[str], rng: random.Random, now: float) -> bool:
        """Dial a few targets of far data halls when no near one is available.

        Returns
        -------
        bool
            Whether a link to one of them is up.
        """
        unlinked = set(names) - set(self.targets)
        far = [
            (name, member)
            for member in self._members.list_live()
            if not member.leaving
            for name in member.targets
            if name in unlinked and name not in member.leaving_targets
        ]
        chosen = rng.sample(far, min(FAR_DIAL_COUNT, len(far)))
        for name, member in chosen:
            self._update_record(name, member, now)
            self.targets[name].retained_until = now + FAR_RETENTION_SECONDS
        results = await asyncio.gather(
            *(self.targets[name].peer.wait_link(FAR_DIAL_TIMEOUT_SECONDS) for name, _ in chosen),
            return_exceptions=True,
        )
        return any(isinstance(item, links.Link) for item in results)

    def _is_linked(self, name: str, member: messages.Member) -> bool:
        """Whether this entry still has a link to a member that the keepers report as gone.

        A daemon that is partitioned only from the keepers keeps serving.
        """
        record = self.targets.get(name)
        return (
            record is not None
            and record.peer.address == member.address
            and record.peer.link is not None
        )

    def _update_record(self, name: str, member: messages.Member, now: float) -> None:
        record = self.targets.get(name)
        if record is None or record.peer.address != member.address:
            peer = self._node.dial(member.address)
            joined_at = now if self._members.get_age(now) > SLOW_START_SECONDS else -math.inf
            first_seen = record.first_seen if record is not None else joined_at
            record = TargetRecord(name, member.daemon_id, peer, member.data_hall, first_seen)
            self.targets[name] = record
        record.leaving = member.leaving or name in member.leaving_targets

    def _close_unused_links(self) -> None:
        """Close links to agents that no target uses any more."""
        used = {record.peer.address for record in self.targets.values()}
        for address in self._node.get_dialed() - used - self._members.keeper_addresses:
            self._node.disconnect(address)

    def handle_loads(self, link: links.Link, loads: messages.Loads, now: float) -> None:
        """Apply the load reports that an agent sent."""
        incarnation = link.hello.incarnation if link.hello is not None else 0
        for load in loads.loads:
            record = self.targets.get(load.target)
            if record is not None and record.agent == link.peer_id:
                record.handle_load(load, now, incarnation)

    def find(self, name: str) -> TargetRecord | None:
        """Target of this name, if known."""
        return self.targets.get(name)
