"""What an entry knows of the targets: which agent has them, their lagging load, their failures."""

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

EJECT_SECONDS = 5.0
EJECT_FAILURES = 3
"""Failures in a row after which a target is left out for a while."""
FAR_SAMPLES = 2
"""Far targets that are dialed at once at need."""
FAR_DIAL_SECONDS = 0.5
BORROW_SECONDS = 60.0
"""How long a far target is kept after it was dialed."""
SLOW_START_SECONDS = 10.0
"""How long a newcomer gets less than its share."""


@dataclasses.dataclass(slots=True, eq=False)
class TargetRecord:
    """One target as this entry sees it; times are of the event loop in seconds."""

    name: str
    agent: str
    peer: nodes.Peer
    hall: str
    first_seen: float
    load: messages.Load | None = None
    load_at: float = -math.inf
    sent_since: int = 0
    """Requests sent since the last report: the report does not know of them."""
    tokens_since: int = 0
    """Tokens of memory that those requests bring."""
    in_flight: int = 0
    failures: int = 0
    ejected_until: float = -math.inf
    leaving: bool = False
    borrowed_until: float = math.inf
    """Until when a target of a far hall is kept."""

    def take_load(self, load: messages.Load, now: float) -> None:
        """Take a report; one that is older than the last is dropped."""
        if self.load is not None and load.sequence <= self.load.sequence and load.sequence > 1:
            return
        self.load = load
        self.load_at = now
        self.sent_since = 0
        self.tokens_since = 0

    def note_sent(self, tokens: int) -> None:
        """Take note that a request was sent."""
        self.sent_since += 1
        self.tokens_since += tokens
        self.in_flight += 1

    def note_done(self, failed: bool, now: float) -> None:
        """Take note that a request has ended."""
        self.in_flight -= 1
        self.failures = self.failures + 1 if failed else 0
        if self.failures >= EJECT_FAILURES:
            self.ejected_until = now + EJECT_SECONDS * min(6, self.failures - EJECT_FAILURES + 1)

    def is_new(self, now: float) -> bool:
        """Whether it came so lately that it is given less."""
        return now - self.first_seen < SLOW_START_SECONDS


class FleetView:
    """All targets that this entry may use.

    Parameters
    ----------
    node : nodes.Node
        Dials the agents.
    members : views.MemberView
        Who is there.
    near_halls : set of str or None
        Halls whose agents are kept linked; None is all.
    """

    def __init__(
        self, node: nodes.Node, members: views.MemberView, near_halls: set[str] | None = None
    ) -> None:
        self._node = node
        self._members = members
        self._near_halls = near_halls
        self._began: float | None = None
        self.targets: dict[str, TargetRecord] = {}
        self.has_linked = False
        """Whether any target was ever within reach: before that the entry is not ready."""

    def refresh(self, now: float) -> None:
        """Follow the members: dial new agents, forget those that are gone."""
        if self._began is None:
            self._began = now
        present: set[str] = set()
        for member in self._members.list_all():
            for name in member.targets:
                if member.state == views.GONE and not self._is_linked(name, member):
                    continue
                if not self._is_wanted(name, member, now):
                    continue
                present.add(name)
                self._follow(name, member, now)
        for name in set(self.targets) - present:
            record = self.targets[name]
            if record.in_flight == 0:
                del self.targets[name]
            else:
                record.leaving = True
        self._hang_up()
        self.has_linked |= any(record.peer.link is not None for record in self.targets.values())

    def _is_wanted(self, name: str, member: messages.Member, now: float) -> bool:
        """Whether a target is near, or far and still borrowed."""
        if self._near_halls is None or member.data_hall in self._near_halls:
            return True
        record = self.targets.get(name)
        return record is not None and (now < record.borrowed_until or record.in_flight > 0)

    async def borrow_far(self, names: Iterable[str], rng: random.Random, now: float) -> bool:
        """Link to a few targets of far halls, when the near ones cannot take a request.

        Returns
        -------
        bool
            Whether one of them has a link.
        """
        wanted = set(names) - set(self.targets)
        far = [
            (name, member)
            for member in self._members.list_live()
            if not member.leaving
            for name in member.targets
            if name in wanted and name not in member.leaving_targets
        ]
        chosen = rng.sample(far, min(FAR_SAMPLES, len(far)))
        for name, member in chosen:
            self._follow(name, member, now)
            self.targets[name].borrowed_until = now + BORROW_SECONDS
        links_found = await asyncio.gather(
            *(self.targets[name].peer.wait_link(FAR_DIAL_SECONDS) for name, _ in chosen),
            return_exceptions=True,
        )
        return any(isinstance(item, links.Link) for item in links_found)

    def _is_linked(self, name: str, member: messages.Member) -> bool:
        """Whether this entry still has a link to a member that the keepers call gone.

        A daemon cut off from the keepers alone goes on with its work.
        """
        record = self.targets.get(name)
        return (
            record is not None
            and record.peer.address == member.address
            and record.peer.link is not None
        )

    def _follow(self, name: str, member: messages.Member, now: float) -> None:
        record = self.targets.get(name)
        if record is None or record.peer.address != member.address:
            peer = self._node.dial(member.address)
            newcomer = now if self._members.get_age(now) > SLOW_START_SECONDS else -math.inf
            first_seen = record.first_seen if record is not None else newcomer
            record = TargetRecord(name, member.daemon_id, peer, member.data_hall, first_seen)
            self.targets[name] = record
        record.leaving = member.leaving or name in member.leaving_targets

    def _hang_up(self) -> None:
        """End links to agents that no target needs any more."""
        used = {record.peer.address for record in self.targets.values()}
        for address in self._node.get_dialed() - used - self._members.keeper_addresses:
            self._node.disconnect(address)

    def take_loads(self, link: links.Link, loads: messages.Loads, now: float) -> None:
        """Take load reports from an agent's link."""
        for load in loads.loads:
            record = self.targets.get(load.target)
            if record is not None and record.agent == link.peer_id:
                record.take_load(load, now)

    def find(self, name: str) -> TargetRecord | None:
        """A target by name."""
        return self.targets.get(name)
