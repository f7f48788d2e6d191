"""The issuer of permits to send to targets that have named limits.

A single daemon issues them, so that all entries together keep to a limit regardless of how their
traffic is distributed.  It is the leader of the log, since at most one keeper holds the lease at a
time.  Its buckets are empty at the start of its term: permits of its predecessor may still be in
use.
"""

from collections.abc import Callable

from tillerlane.decisions import limits as decisions
from tillerlane.gateway.backpressure import limits
from tillerlane.keeper import proposals
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["PermitIssuer"]

MAX_HOPS = 1
FORWARD_TIMEOUT_SECONDS = 0.25
"""Maximum wait for the leader; shorter than an entry's wait for its keeper."""
RETENTION_SECONDS = 60.0
"""How long an unused bucket is kept; it is full long before."""


class PermitIssuer:
    """Issues permits at the leader, and forwards requests at other keepers.

    Parameters
    ----------
    named_limits : limits.Limits
        Limits that targets have named.
    get_term : callable
        Gives the term in which this keeper leads and holds the lease; None if it does not.
    get_leader : callable
        Gives the link to the leader; None without one.
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

    async def handle_request(self, request: messages.PermitRequest) -> messages.PermitReply:
        """Issue permits, or forward the request to the leader.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if no leader is known here, or it did not reply.
        """
        term = self._get_term()
        if term is not None:
            return self._issue(request.wishes, term)
        leader = self._get_leader()
        if leader is None or request.hops >= MAX_HOPS:
            raise proposals.build_no_quorum("no leader that issues permits is known here")
        forwarded = messages.PermitRequest(request.wishes, request.hops + 1)
        try:
            reply = await leader.call(forwarded, FORWARD_TIMEOUT_SECONDS)
        except links.LinkLost as error:
            raise proposals.build_no_quorum(f"the leader issued no permits: {error}") from error
        assert isinstance(reply, messages.PermitReply)
        return reply

    def _issue(self, wishes: list[messages.PermitWish], term: int) -> messages.PermitReply:
        now = self._now()
        if term != self._term:
            self._term = term
            self._buckets.clear()
        grants = []
        for wish in wishes:
            named = self._limits.find(wish.target_id, now)
            limit = wish.limit if named is None else named
            count = self._acquire(wish, limit, now)
            if count:
                hold_ms = int(decisions.compute_hold_seconds(limit) * 1000)
                grants.append(messages.PermitGrant(wish.target_id, count, hold_ms))
        self._expire_buckets(now)
        return messages.PermitReply(grants)

    def _acquire(self, wish: messages.PermitWish, limit: float, now: float) -> int:
        bucket = self._buckets.pop(wish.target_id, decisions.Bucket(0.0, now))
        refilled = decisions.refill(bucket, limit, now, wish.returned)
        self._buckets[wish.target_id], count = refilled.acquire(wish.count)
        return count

    def _expire_buckets(self, now: float) -> None:
        """Discard buckets that were last used long ago; they are in the order of their use."""
        while self._buckets:
            first = next(iter(self._buckets))
            if now - self._buckets[first].updated_at < RETENTION_SECONDS:
                return
            del self._buckets[first]
