"""Bounds on the age of a daemon's publication.

Each daemon queries the next one closer to the leader.  It measures the age of the reply on its own
monotonic clock from the moment *before* the request, so that neither a delayed message nor a pause
of any process can make stale data look fresh.  A leader replies from its lease (a read index, in
Raft's terms), a follower from its last reply of the leader, and an entry from its last reply of a
keeper.
"""

import asyncio
from collections.abc import Callable

from tillerlane.faults import core as faults
from tillerlane.keeper import replica as replicas
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["FreshnessClock", "KeeperFreshness", "request_freshness"]

REQUEST_INTERVAL_SECONDS = 0.3
"""Interval of a follower's requests: an eighth of the shortest bound in use on how long a revoked
key may still work (5 s, of which 3 s may pass without contact)."""
REQUEST_TIMEOUT_SECONDS = 0.6
HOLD_TIMEOUT_SECONDS = 0.4
"""How long a keeper holds a request that it cannot answer yet; below `REQUEST_TIMEOUT_SECONDS`.
During an election the reply is then sent upon the first commit instead of with the next request.
Since requests are also sent as soon as there is a link or a leader, entries trust keys 0.1 to 0.2 s
after an election instead of 0.1 to 1.2 s (log lines of two days on which the whole fleet was
stopped); `gateway/tests/test_life.py` tests this."""
UNKNOWN = -1e9


class FreshnessClock:
    """The latest time at which the held version is known to have been the newest.

    Attributes
    ----------
    fresh_at : float
        Event loop time.
    """

    def __init__(self) -> None:
        self.fresh_at = UNKNOWN

    def observe(
        self, sent_at: float, reply: messages.FreshnessReply, held: int, held_orders: int
    ) -> bool:
        """Apply the reply to a request sent at `sent_at`.

        False if the held publication or the held operators' orders are older than the reply's.
        """
        if not reply.known:
            return True
        if held < reply.version or held_orders < reply.orders_version:
            return False
        self.fresh_at = max(self.fresh_at, sent_at - reply.age_ms / 1000)
        return True

    def compute_age(self, now: float) -> float:
        """Seconds since the held version was last known to be the newest."""
        return now - self.fresh_at


async def request_freshness(link: links.Link, have: int) -> messages.FreshnessReply | None:
    """Request the freshness of a keeper; None if it does not reply."""
    try:
        reply = await link.call(messages.FreshnessRequest(have), REQUEST_TIMEOUT_SECONDS)
    except (links.LinkLost, faults.FaultError):
        return None
    return reply if isinstance(reply, messages.FreshnessReply) else None


class KeeperFreshness:
    """A keeper's own freshness, and its replies to others.

    Parameters
    ----------
    replica : replicas.Replica
        The keeper's replica.
    get_link : callable
        (address) returns the link to a keeper, or None.
    count_entries : callable
        Returns the number of entries known to be subscribed.
    list_keepers : callable
        Returns the peer addresses of keepers that an entry may query.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        get_link: Callable[[str], links.Link | None],
        count_entries: Callable[[], int],
        list_keepers: Callable[[], list[str]],
    ) -> None:
        self._replica = replica
        self._get_link = get_link
        self._count_entries = count_entries
        self._list_keepers = list_keepers
        self._clock = FreshnessClock()
        self._waiting: set[asyncio.Event] = set()
        self._request_due = asyncio.Event()
        """Set when a request to the leader is due before the interval ends."""
        self._is_behind = False
        """Whether the leader's last reply was ahead of the state held here."""
        replica.on_role_change = self._request_due.set
        replica.on_commit = self._wake_waiting

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def get_fresh_at(self) -> float | None:
        """Latest time at which this keeper is known to have held everything committed; or None."""
        confirmed_at = self._replica.get_confirmed_at()
        if confirmed_at is not None:
            return confirmed_at
        return self._clock.fresh_at if self._clock.fresh_at > UNKNOWN else None

    def compute_age(self) -> float | None:
        """Seconds since `get_fresh_at`; None if unknown."""
        fresh_at = self.get_fresh_at()
        return None if fresh_at is None else self._now() - fresh_at

    def _wake_waiting(self) -> None:
        """Re-evaluate the held requests, and query the leader if its last reply was ahead."""
        if self._is_behind:
            self._request_due.set()
        for event in self._waiting:
            event.set()

    async def wait_until_known(self) -> None:
        """Wait up to `HOLD_TIMEOUT_SECONDS` for this keeper's freshness to be known."""
        event = asyncio.Event()
        self._waiting.add(event)
        try:
            async with asyncio.timeout(HOLD_TIMEOUT_SECONDS):
                while not self._is_known():
                    event.clear()
                    await event.wait()
        except TimeoutError:
            return
        finally:
            self._waiting.discard(event)

    def _is_known(self) -> bool:
        age = self.compute_age()
        return (
            age is not None
            and age < HOLD_TIMEOUT_SECONDS
            and self._replica.state_machine.published.version >= 0
        )

    def build_reply(self) -> messages.FreshnessReply:
        """Build the reply to a freshness request."""
        replica = self._replica
        age = self.compute_age()
        return messages.FreshnessReply(
            version=max(0, replica.state_machine.published.version),
            age_ms=0 if age is None else min(int(age * 1000) + 1, 2**31),
            known=age is not None and replica.state_machine.published.version >= 0,
            keepers=self._list_keepers(),
            entries=self._count_entries(),
            applied_index=replica.applied_index,
            orders_version=replica.state_machine.store.version,
        )

    async def run(self) -> None:
        """Query the leader periodically while another keeper leads."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_INTERVAL_SECONDS):
                    await self._request_due.wait()
            except TimeoutError:
                pass  # the interval has ended
            self._request_due.clear()
            await self._query_leader()

    async def _query_leader(self) -> None:
        replica = self._replica
        leader = replica.voters.get(replica.leader)
        if leader is None or replica.leader == replica.name:
            return
        link = self._get_link(leader.address)
        if link is None:
            return
        sent_at = self._now()
        reply = await request_freshness(link, max(0, replica.state_machine.published.version))
        if reply is None or replica.leader == replica.name:
            return
        # Compare the leader's index, since the log carries more than the publication.
        self._is_behind = reply.known and replica.applied_index < reply.applied_index
        if reply.known and not self._is_behind:
            held = replica.state_machine
            self._clock.observe(sent_at, reply, held.published.version, held.store.version)
            self._wake_waiting()
