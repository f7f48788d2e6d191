"""The leader's part in limits that targets name: it gives out permits to send.

One daemon gives them, so that all entries together keep to a limit however their traffic is spread.
That is the leader of the log, since at most one holds its lease at a time.  Its buckets are empty
when its term begins: what its predecessor gave out may still be in use.
"""

from collections.abc import Callable

from tillerlane.decisions import limits as decisions
from tillerlane.gateway import limits
from tillerlane.keeper import proposals
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["PermitIssuer"]

MAX_HOPS = 1
FORWARD_TIMEOUT_SECONDS = 0.25
"""Longest wait for the leader; it is less than an entry's for the keeper that it asks."""
RETENTION_SECONDS = 60.0
"""How long a bucket that nobody asked for is kept; it is full long before."""


class PermitIssuer:
    """What one keeper gives out, or passes on to the one that does.

    Parameters
    ----------
    named_limits : limits.Limits
        What targets have named.
    get_term : callable
        The term in which this keeper leads and has the lease; None if it does not.
    get_leader : callable
        Link to the leader; None without one.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        named_limits: limits.Limits,
        get_term: Callable[[], int | None],
        get_leader: Callable[[], links.Link | None],
        now: Callable[[], float],
    ) -> None:
        self._limits = named_limits
        self._get_term = get_term
        self._get_leader = get_leader
        self._now = now
        self._term: int | None = None
        self._buckets: dict[str, decisions.Bucket] = {}

    async def handle_request(self, asked: messages.PermitRequest) -> messages.PermitReply:
        """Give permits, or have the leader give them.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if no leader is known here, or it did not answer.
        """
        term = self._get_term()
        if term is not None:
            return self._give(asked.wishes, term)
        leader = self._get_leader()
        if leader is None or asked.hops >= MAX_HOPS:
            raise proposals.build_no_quorum("no leader that gives permits is known here")
        passed_on = messages.PermitRequest(asked.wishes, asked.hops + 1)
        try:
            reply = await leader.call(passed_on, FORWARD_TIMEOUT_SECONDS)
        except links.LinkLost as error:
            raise proposals.build_no_quorum(f"the leader gave no permits: {error}") from error
        assert isinstance(reply, messages.PermitReply)
        return reply

    def _give(self, wishes: list[messages.PermitWish], term: int) -> messages.PermitReply:
        now = self._now()
        if term != self._term:
            self._term = term
            self._buckets.clear()
        grants = []
        for wish in wishes:
            known = self._limits.find(wish.target_id, now)
            limit = wish.limit if known is None else known
            given = self._take(wish, limit, now)
            if given:
                hold_ms = int(decisions.compute_hold_seconds(limit) * 1000)
                grants.append(messages.PermitGrant(wish.target_id, given, hold_ms))
        self._forget_old(now)
        return messages.PermitReply(grants)

    def _take(self, wish: messages.PermitWish, limit: float, now: float) -> int:
        bucket = self._buckets.pop(wish.target_id, decisions.Bucket(0.0, now))
        filled = decisions.refill(bucket, limit, now, wish.returned)
        self._buckets[wish.target_id], given = filled.acquire(wish.count)
        return given

    def _forget_old(self, now: float) -> None:
        """Drop buckets that were last asked for long ago; they stand in the order of asking."""
        while self._buckets:
            first = next(iter(self._buckets))
            if now - self._buckets[first].updated_at < RETENTION_SECONDS:
                return
            del self._buckets[first]
