"""An entry's links to keepers: a few at a time, replaced when unreachable or out of date."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Callable, Iterable

from tillerlane.gateway import silence
from tillerlane.keeper import freshness
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import core as timelines

__all__ = ["DIALING", "Homes"]

DIALING = nodes.Dialing(first_retry_seconds=0.05, last_retry_seconds=0.1, connect_seconds=0.25)
"""Keepers are few and a few ms away, and without one an entry serves nothing: a keeper that is
back is found within 0.35 s, even if its host was down and answered no SYN packet.  A keeper that
is down gets three to ten SYN packets a second from each entry that is subscribed to it."""

HOME_COUNT = 2
"""Home keepers of an entry in a large fleet: one may fail unnoticed for a second or two, and the
other one still reports a leaving target within the bound (2 s)."""
SMALL_FLEET_HOME_COUNT = 5
SMALL_FLEET_ENTRIES = 64
"""In a fleet of up to this many entries, each subscribes to more keepers, and so also gets updates
from a keeper that is cut off from the others.  A subscriber costs a keeper 0.019% of a core
(CAPACITY.md): 64 cost it 1.2% of the 3.6% that it has."""
CHECK_INTERVAL_SECONDS = 0.05
MAX_CHECK_DELAY_SECONDS = 0.1
"""After a longer time between two checks this daemon itself was suspended, and may not have read
yet what its keepers sent."""
ASK_TIMEOUT_SECONDS = 0.04
"""How long the keepers that were asked for loads may take before a further one is dialed."""
QUERY_INTERVAL_SECONDS = 0.4
HOME_TIMEOUT_SECONDS = 1.2
"""How long a keeper may be without a link or an up-to-date reply before another one is tried: an
election takes about as long, and during one no keeper is more up to date."""
LINK_HEARTBEAT_SECONDS = 0.4
"""Heartbeat interval of these links; a cut is detected after some 0.85 s."""


NEVER = -1e9
"""An event-loop time before all others."""


@dataclasses.dataclass(slots=True)
class _Home:
    address: str
    peer: nodes.Peer
    up_to_date_at: float
    """When the keeper last gave an up-to-date reply, or was chosen."""
    link: links.Link | None = None
    has_loads: bool | None = None
    """Whether the last subscription included loads; None before the first one."""
    queried_at: float = NEVER
    loads_asked_at: float = NEVER
    """When loads were last requested from it."""


class Homes:
    """The keepers that an entry subscribes to, its home keepers.

    Parameters
    ----------
    entry : str
        This entry's id; it determines the order in which keepers are tried, so that entries spread.
    seeds : iterable of str
        Peer addresses of the first keepers.
    node : nodes.Node
        Dials them.
    clock : freshness.FreshnessClock
        Receives their replies.
    get_version : callable
        Gives the version of the publication held, -1 without one.
    get_orders_version : callable
        Gives the version of the operators' orders held.
    timeline : timelines.Timeline
        Logs home keepers that are connected, given up and left.
    """

    def __init__(
        self,
        entry: str,
        seeds: Iterable[str],
        node: nodes.Node,
        clock: freshness.FreshnessClock,
        get_version: Callable[[], int],
        get_orders_version: Callable[[], int],
        timeline: timelines.Timeline,
    ) -> None:
        self._entry = entry
        self._node = node
        self._clock = clock
        self._get_version = get_version
        self._get_orders_version = get_orders_version
        self._timeline = timeline
        self._known = set(seeds)
        self._homes: list[_Home] = []
        self._given_up_at: dict[str, float] = {}
        """Time at which each keeper was last given up."""
        self._queries: set[asyncio.Task[None]] = set()
        self._entry_count = 0
        """Number of entries in the fleet; 0 until a keeper has reported it."""
        self._primary = ""
        """Address of the keeper that gets this entry's load reports and sends the sums of all."""
        self._asked: set[str] = set()
        """Keepers that were asked for loads since the primary is lost or silent; the first one that
        answers becomes the primary."""
        self._asked_at = NEVER
        self._spares = 0
        """Home keepers beyond the usual number, since none of those asked has answered."""
        self._checked_at = NEVER
        self._silence = silence.SilenceDetector()
        self.on_primary_lost: Callable[[links.Link | None], None] = lambda link: None
        self.on_entry_count: Callable[[int], None] = lambda number: None
        self.on_fresh: Callable[[], None] = lambda: None
        self._wake = asyncio.Event()

    def get_primary(self) -> links.Link | None:
        """Link to the primary keeper, which carries loads both ways."""
        for home in self._homes:
            if home.address == self._primary:
                return home.link
        return None

    def accept_loads(self, link: links.Link) -> bool:
        """Whether loads that arrive on a link are those of the primary keeper.

        The first of several that were asked becomes the primary by its answer.
        """
        home = next((item for item in self._homes if item.link is link), None)
        if home is None:
            return False
        if home.address != self._primary:
            if home.address not in self._asked:
                return False
            self._timeline.record(
                "keeper.primary",
                keeper=home.address,
                former=self._primary,
                took_ms=int((asyncio.get_running_loop().time() - self._asked_at) * 1000),
            )
            self._primary = home.address
        if self._asked:
            self._asked.clear()
            self._spares = 0
            self.check_soon()
        return True

    def request_full_loads(self) -> None:
        """Request all loads from the primary keeper, since one of its digests is missing here."""
        for home in self._homes:
            if home.address == self._primary:
                home.has_loads = None
        self.check_soon()

    def list_links(self) -> list[links.Link]:
        """Links to all home keepers that are up."""
        return [home.link for home in self._homes if home.link is not None]

    def list_addresses(self) -> list[str]:
        """Addresses of the present home keepers."""
        return [home.address for home in self._homes]

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add the addresses of further keepers."""
        self._known.update(addresses)

    def check_soon(self) -> None:
        """Check links and replies now rather than after the interval."""
        self._wake.set()

    def query_soon(self) -> None:
        """Query all home keepers now, since their last reply was about an older publication."""
        for home in self._homes:
            home.queried_at = NEVER
        self.check_soon()

    async def run(self) -> None:
        """Maintain the home keepers, until cancelled."""
        while True:
            self._wake.clear()
            now = asyncio.get_running_loop().time()
            self._drop_outdated(now)
            self._choose_homes(now)
            self._check_primary(now)
            self._choose_primary(now)
            self._checked_at = now
            for home in self._homes:
                self._update_home(home, now)
            try:
                async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _score(self, address: str) -> tuple[float, bytes]:
        digest = hashlib.blake2b(f"{self._entry}:{address}".encode()).digest()
        return self._given_up_at.get(address, 0.0), digest

    def _choose_homes(self, now: float) -> None:
        """Have as many home keepers as the fleet's size allows.

        An entry that starts dials as many keepers as in a small fleet, but subscribes to two until
        it knows the fleet's size (`_can_subscribe`), and then drops the surplus ones.
        """
        desired = SMALL_FLEET_HOME_COUNT if self._entry_count <= SMALL_FLEET_ENTRIES else HOME_COUNT
        desired += self._spares
        surplus = [home for home in self._homes if home.address != self._primary][::-1]
        for home in surplus[: max(0, len(self._homes) - desired)]:
            self._homes.remove(home)
            self._node.disconnect(home.address)
            self._timeline.record("keeper.left", keeper=home.address, entries=self._entry_count)
        chosen = {home.address for home in self._homes}
        free = sorted(self._known - chosen, key=self._score)
        for address in free[: max(0, desired - len(self._homes))]:
            peer = self._node.dial(address, heartbeat_seconds=LINK_HEARTBEAT_SECONDS)
            self._homes.append(_Home(address, peer, now))

    def _check_primary(self, now: float) -> None:
        """Ask all other home keepers for loads if the primary one is lost or silent.

        All are asked since several may be lost at once, and a further one is dialed if none
        answers.  Each sends all targets' loads once, 1.6 kB for 30 targets.
        """
        if self._asked:
            if self._spares:
                self._asked |= self._list_askable()
            elif now - self._asked_at >= ASK_TIMEOUT_SECONDS:
                self._spares = 1
                self._choose_homes(now)
            if now - self._asked_at < HOME_TIMEOUT_SECONDS:
                return
            self._asked.clear()
            self._spares = 0
        if not self._primary or now - self._checked_at > MAX_CHECK_DELAY_SECONDS:
            return
        primary = next((home for home in self._homes if home.address == self._primary), None)
        link = primary.peer.link if primary is not None else None
        if primary is not None and link is not None:
            heard_at = max(link.last_heard, primary.loads_asked_at)
            if not self._silence.suspects(link, heard_at, now):
                return
        self._asked = self._list_askable()
        self._asked_at = now
        if not self._asked:
            self._spares = 1  # no other home can be asked
            self._choose_homes(now)
        if self._asked:
            self._timeline.record(
                "keeper.silent",
                keeper=self._primary,
                is_linked=link is not None,
                asked=len(self._asked),
                after_ms=int(self._silence.silence_seconds * 1000),
            )
            self.on_primary_lost(primary.link if primary is not None else None)

    def _list_askable(self) -> set[str]:
        """Home keepers that may answer in place of the primary one."""
        return {
            home.address
            for home in self._homes
            if home.address != self._primary
            and home.peer.link is not None
            and (home.has_loads is not None or self._spares)
        }

    def _choose_primary(self, now: float) -> None:
        """Keep the primary keeper while it is up to date, else choose the most up-to-date one."""
        if self._asked:
            return
        connected = [home for home in self._homes if home.link is not None]
        if not connected:
            return
        best = max(connected, key=lambda home: home.up_to_date_at)
        primary = next((home for home in connected if home.address == self._primary), None)
        if primary is None or best.up_to_date_at - primary.up_to_date_at > HOME_TIMEOUT_SECONDS:
            self._primary = best.address

    def _drop_outdated(self, now: float) -> None:
        for home in list(self._homes):
            has_other = len(self._known) > len(self._homes)
            if now - home.up_to_date_at > HOME_TIMEOUT_SECONDS and has_other:
                self._homes.remove(home)
                self._given_up_at[home.address] = now
                self._node.disconnect(home.address)
                self._timeline.record("keeper.given_up", keeper=home.address)

    def _update_home(self, home: _Home, now: float) -> None:
        link = home.peer.link
        if link is not home.link:
            home.link = link
            home.has_loads = None
            if link is not None:
                self._timeline.record("keeper.home", keeper=home.address)
        is_primary = home.address == self._primary or home.address in self._asked
        can_subscribe = home.has_loads is not None or self._can_subscribe()
        if link is not None and can_subscribe and home.has_loads is not is_primary:
            home.has_loads = is_primary
            if is_primary:
                home.loads_asked_at = now
            have = max(0, self._get_version())
            links.try_send(link, messages.Subscribe(have, self._entry, is_primary))
        if link is not None and now - home.queried_at >= QUERY_INTERVAL_SECONDS:
            home.queried_at = now
            task = asyncio.get_running_loop().create_task(self._query(home, link, now))
            self._queries.add(task)
            task.add_done_callback(self._queries.discard)

    def _can_subscribe(self) -> bool:
        """Whether one more keeper may be subscribed to, which sends all targets at once.

        When 300 entries started together and each subscribed to five keepers, an entry received
        3,001 targets five times, 2.5 MB, which its link of 5 Mbit/s carries in 4 s.
        """
        subscribed = sum(home.has_loads is not None for home in self._homes)
        return bool(self._entry_count) or subscribed < HOME_COUNT

    async def _query(self, home: _Home, link: links.Link, queried_at: float) -> None:
        reply = await freshness.request_freshness(link, max(0, self._get_version()))
        if reply is None:
            return
        if not self._known.issuperset(reply.keepers):
            self.add_addresses(reply.keepers)
            self.check_soon()
        if reply.entries:
            self._entry_count = reply.entries
            self.on_entry_count(reply.entries)
        if not reply.known:
            return
        # A keeper that is cut off from the log replies too; only a fresh reply counts.
        home.up_to_date_at = max(home.up_to_date_at, queried_at - reply.age_ms / 1000)
        held, held_orders = self._get_version(), self._get_orders_version()
        if not self._clock.observe(queried_at, reply, held, held_orders):
            links.try_send(link, messages.ConfigPull(held_orders))
            links.try_send(link, messages.PublicationPull(max(0, held)))
        else:
            self.on_fresh()
