"""Up to when a daemon's publication is known to be the newest one.

Each daemon asks the next one closer to the leader and reckons on its own steady clock from the
moment *before* it asked, so that neither a delayed message nor a pause of any process can make
old word look fresh.  A leader answers from its lease (a read index, as Raft calls it), a follower
from what it last heard of the leader, an entry from what it last heard of a keeper.
"""

import asyncio
from collections.abc import Callable

from tillerlane.faults import core as faults
from tillerlane.keeper import replica as replicas
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["FreshnessClock", "KeeperFreshness", "request_freshness"]

REQUEST_INTERVAL_SECONDS = 0.3
"""Pause between two questions of a follower: an eighth of the shortest bound met so far on how
long a revoked key may work (5 s, of which 3 s may be spent out of touch)."""
REQUEST_TIMEOUT_SECONDS = 0.6
HOLD_TIMEOUT_SECONDS = 0.4
"""How long a keeper holds a question that it cannot answer yet, below
`REQUEST_TIMEOUT_SECONDS`: during an election the answer comes with the first commit, not with the
next question.  Together with
questions that are asked as soon as there is a link or a leader, entries trust keys 0.1 to 0.2 s
after a leader was elected, where it was 0.1 to 1.2 s (log lines of two days with a fleet that was
stopped whole); `gateway/tests/test_life.py` holds it."""
UNKNOWN = -1e9


class FreshnessClock:
    """The latest moment at which the held version was surely the newest.

    Attributes
    ----------
    fresh_at : float
        Time of the event loop.
    """

    def __init__(self) -> None:
        self.fresh_at = UNKNOWN

    def observe(
        self, asked_at: float, reply: messages.FreshnessReply, held: int, held_orders: int
    ) -> bool:
        """Take an answer to a question asked at `asked_at`.

        False if the publication held, or the operators' orders, are too old for it.
        """
        if not reply.known:
            return True
        if held < reply.version or held_orders < reply.orders_version:
            return False
        self.fresh_at = max(self.fresh_at, asked_at - reply.age_ms / 1000)
        return True

    def compute_age(self, now: float) -> float:
        """Seconds since the held version was surely the newest."""
        return now - self.fresh_at


async def request_freshness(link: links.Link, have: int) -> messages.FreshnessReply | None:
    """Ask a keeper; None if it did not answer."""
    try:
        reply = await link.call(messages.FreshnessRequest(have), REQUEST_TIMEOUT_SECONDS)
    except (links.LinkLost, faults.FaultError):
        return None
    return reply if isinstance(reply, messages.FreshnessReply) else None


class KeeperFreshness:
    """A keeper's own freshness, and its answers to others.

    Parameters
    ----------
    replica : replicas.Replica
        Its part in the log.
    get_link : callable
        (address) gives the link to a keeper, or None.
    count_entries : callable
        Gives how many entries are known to be subscribed.
    list_keepers : callable
        Gives the peer addresses of keepers worth asking.
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
        self._is_due = asyncio.Event()
        """Set when the leader is to be asked before the next pause ends."""
        self._is_behind = False
        """Whether the leader's last answer was ahead of what is held here."""
        replica.on_role_change = self._is_due.set
        replica.on_commit = self._wake_waiting

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def get_fresh_at(self) -> float | None:
        """The latest moment up to which all that was committed is surely held here."""
        confirmed_at = self._replica.get_confirmed_at()
        if confirmed_at is not None:
            return confirmed_at
        return self._clock.fresh_at if self._clock.fresh_at > UNKNOWN else None

    def compute_age(self) -> float | None:
        """Seconds since `get_fresh_at`; None if that is unknown."""
        fresh_at = self.get_fresh_at()
        return None if fresh_at is None else self._now() - fresh_at

    def _wake_waiting(self) -> None:
        """Have held questions looked at again, and the leader asked if it was ahead."""
        if self._is_behind:
            self._is_due.set()
        for event in self._waiting:
            event.set()

    async def wait_until_known(self) -> None:
        """Wait a while for fresh word, if there is none."""
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
        """Answer to whoever asks this keeper."""
        own = self._replica
        age = self.compute_age()
        return messages.FreshnessReply(
            version=max(0, own.state_machine.published.version),
            age_ms=0 if age is None else min(int(age * 1000) + 1, 2**31),
            known=age is not None and own.state_machine.published.version >= 0,
            keepers=self._list_keepers(),
            entries=self._count_entries(),
            applied_index=own.applied_index,
            orders_version=own.state_machine.store.version,
        )

    async def run(self) -> None:
        """Keep asking the leader while another keeper leads."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_INTERVAL_SECONDS):
                    await self._is_due.wait()
            except TimeoutError:
                pass  # the next question is due by its time
            self._is_due.clear()
            await self._query_leader()

    async def _query_leader(self) -> None:
        own = self._replica
        leader = own.voters.get(own.leader)
        if leader is None or own.leader == own.name:
            return
        link = self._get_link(leader.address)
        if link is None:
            return
        asked_at = self._now()
        reply = await request_freshness(link, max(0, own.state_machine.published.version))
        if reply is None or own.leader == own.name:
            return
        # The leader's index counts, since the log carries more than the publication.
        self._is_behind = reply.known and own.applied_index < reply.applied_index
        if reply.known and not self._is_behind:
            held = own.state_machine
            self._clock.observe(asked_at, reply, held.published.version, held.store.version)
            self._wake_waiting()
