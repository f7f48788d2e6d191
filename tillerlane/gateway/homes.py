"""An entry's links to keepers: a few at a time, replaced when they fall silent or know nothing."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Callable, Iterable

from tillerlane.keeper import freshness
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import core as timelines

__all__ = ["DIALING", "Homes"]

DIALING = nodes.Dialing(first_retry_seconds=0.05, last_retry_seconds=0.1, connect_seconds=0.25)
"""Keepers are few and near (some ms), and without one an entry serves nothing: a keeper that is
back is found within 0.35 s, also where the host was dark and answered no opening packet.  A keeper
that is down gets three to ten opening packets a second from each entry that is subscribed to it."""

HOMES = 2
"""Keepers that one entry of many is subscribed to: one may fail unnoticed for a second or two, and
the other one still tells of a leaving target within the bound (2 s)."""
HOMES_OF_FEW = 5
FEW_ENTRIES = 64
"""Up to so many entries, each is subscribed to more keepers, and so hears what a keeper that is
cut off from the others was told.  A subscriber costs a keeper 0.019% of a core (CAPACITY.md): 64
cost it 1.2% of the 3.6% that it has."""
CHECK_SECONDS = 0.1
ASK_SECONDS = 0.4
PATIENCE_SECONDS = 1.2
"""How long a keeper may be without a link or a useful answer before another one is tried: an
election takes about as long, and during one no keeper knows better."""
LINK_PACE_SECONDS = 0.4
"""Longest silence on these links; a cut is found after some 0.85 s."""


NEVER = -1e9
"""A time of the event loop before everything."""


@dataclasses.dataclass(slots=True)
class _Home:
    address: str
    peer: nodes.Peer
    good_at: float
    """When the keeper last gave a useful answer, or was chosen."""
    link: links.Link | None = None
    gives_loads: bool | None = None
    """What was last asked of it; None before it was asked."""
    asked_at: float = NEVER


class Homes:
    """The keepers that an entry listens to.

    Parameters
    ----------
    entry : str
        This entry's id; it decides which keepers come first, so that entries spread.
    seeds : iterable of str
        Peer addresses to begin with.
    node : nodes.Node
        Dials them.
    clock : freshness.FreshnessClock
        Takes their answers.
    read_version : callable
        Version of the publication held, -1 without one.
    read_orders : callable
        Version of the operators' orders held.
    timeline : timelines.Timeline
        Takes regained and lost keepers.
    """

    def __init__(
        self,
        entry: str,
        seeds: Iterable[str],
        node: nodes.Node,
        clock: freshness.FreshnessClock,
        read_version: Callable[[], int],
        read_orders: Callable[[], int],
        timeline: timelines.Timeline,
    ) -> None:
        self._entry = entry
        self._node = node
        self._clock = clock
        self._read_version = read_version
        self._read_orders = read_orders
        self._timeline = timeline
        self._known = set(seeds)
        self._homes: list[_Home] = []
        self._tried: dict[str, float] = {}
        """When each keeper was last given up."""
        self._asking: set[asyncio.Task[None]] = set()
        self._entries = 0
        """Entries of the fleet; 0 until a keeper has told."""
        self._primary = ""
        """Address of the keeper that is told this entry's load and tells the sums of all."""
        self.on_entries: Callable[[int], None] = lambda number: None
        self.on_fresh: Callable[[], None] = lambda: None
        self._wake = asyncio.Event()

    def get_primary(self) -> links.Link | None:
        """Link that loads go over, both ways."""
        for home in self._homes:
            if home.address == self._primary:
                return home.link
        return None

    def ask_loads_again(self) -> None:
        """Ask the primary keeper for all loads, since something it told is missing here."""
        for home in self._homes:
            if home.address == self._primary:
                home.gives_loads = None
        self.look_soon()

    def list_links(self) -> list[links.Link]:
        """Links to all keepers listened to that are up."""
        return [home.link for home in self._homes if home.link is not None]

    def list_addresses(self) -> list[str]:
        """Addresses of the keepers listened to at present."""
        return [home.address for home in self._homes]

    def learn(self, addresses: Iterable[str]) -> None:
        """Take further keepers."""
        self._known.update(addresses)

    def look_soon(self) -> None:
        """Have new links and answers followed now rather than with the next look."""
        self._wake.set()

    def ask_again(self) -> None:
        """Ask all keepers now, since a newer publication is held than when they answered."""
        for home in self._homes:
            home.asked_at = NEVER
        self.look_soon()

    async def run(self) -> None:
        """Keep the homes, until cancelled."""
        while True:
            self._wake.clear()
            now = asyncio.get_running_loop().time()
            self._give_up(now)
            self._choose(now)
            self._choose_primary(now)
            for home in self._homes:
                self._follow(home, now)
            try:
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _weigh(self, address: str) -> tuple[float, bytes]:
        digest = hashlib.blake2b(f"{self._entry}:{address}".encode()).digest()
        return self._tried.get(address, 0.0), digest

    def _choose(self, now: float) -> None:
        """Have as many homes as the fleet's size allows.

        An entry that starts dials as many as one of few would, but subscribes to two until it knows
        the fleet's size (`_may_subscribe`), and then leaves those beyond them.
        """
        wished = HOMES_OF_FEW if self._entries <= FEW_ENTRIES else HOMES
        surplus = [home for home in self._homes if home.address != self._primary][::-1]
        for home in surplus[: max(0, len(self._homes) - wished)]:
            self._homes.remove(home)
            self._node.hang_up(home.address)
            self._timeline.record("keeper.left", keeper=home.address, entries=self._entries)
        taken = {home.address for home in self._homes}
        free = sorted(self._known - taken, key=self._weigh)
        for address in free[: max(0, wished - len(self._homes))]:
            peer = self._node.dial(address, pace=LINK_PACE_SECONDS)
            self._homes.append(_Home(address, peer, now))

    def _choose_primary(self, now: float) -> None:
        """Keep the primary keeper while it is useful, else take the one with the freshest word."""
        linked = [home for home in self._homes if home.link is not None]
        if not linked:
            return
        best = max(linked, key=lambda home: home.good_at)
        present = next((home for home in linked if home.address == self._primary), None)
        if present is None or best.good_at - present.good_at > PATIENCE_SECONDS:
            self._primary = best.address

    def _give_up(self, now: float) -> None:
        for home in list(self._homes):
            has_other = len(self._known) > len(self._homes)
            if now - home.good_at > PATIENCE_SECONDS and has_other:
                self._homes.remove(home)
                self._tried[home.address] = now
                self._node.hang_up(home.address)
                self._timeline.record("keeper.given_up", keeper=home.address)

    def _follow(self, home: _Home, now: float) -> None:
        link = home.peer.link
        if link is not home.link:
            home.link = link
            home.gives_loads = None
            if link is not None:
                self._timeline.record("keeper.home", keeper=home.address)
        gives_loads = home.address == self._primary
        may_subscribe = home.gives_loads is not None or self._may_subscribe()
        if link is not None and may_subscribe and home.gives_loads is not gives_loads:
            home.gives_loads = gives_loads
            have = max(0, self._read_version())
            links.try_send(link, messages.Subscribe(have, self._entry, gives_loads))
        if link is not None and now - home.asked_at >= ASK_SECONDS:
            home.asked_at = now
            task = asyncio.get_running_loop().create_task(self._ask(home, link, now))
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)

    def _may_subscribe(self) -> bool:
        """Whether one more keeper may be subscribed to, which tells all targets at once.

        Where 300 entries start together and each subscribed to five keepers, an entry was told
        3,001 targets five times, 2.5 MB, which its link of 5 Mbit/s carries in 4 s.
        """
        subscribed = sum(home.gives_loads is not None for home in self._homes)
        return bool(self._entries) or subscribed < HOMES

    async def _ask(self, home: _Home, link: links.Link, asked_at: float) -> None:
        reply = await freshness.request_freshness(link, max(0, self._read_version()))
        if reply is None:
            return
        if not self._known.issuperset(reply.keepers):
            self.learn(reply.keepers)
            self.look_soon()
        if reply.entries:
            self._entries = reply.entries
            self.on_entries(reply.entries)
        if not reply.known:
            return
        # A keeper that is cut off from the log answers too; only fresh word makes it useful.
        home.good_at = max(home.good_at, asked_at - reply.age_ms / 1000)
        held, held_orders = self._read_version(), self._read_orders()
        if not self._clock.observe(asked_at, reply, held, held_orders):
            links.try_send(link, messages.ConfigPull(held_orders))
            links.try_send(link, messages.PublicationPull(max(0, held)))
        else:
            self.on_fresh()
