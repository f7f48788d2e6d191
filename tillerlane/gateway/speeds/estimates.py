"""Estimates of runners' speeds at one entry, from its own and the fleet's observations."""

import dataclasses
from collections.abc import Callable, Iterable

from tillerlane.decisions import placing, speeds
from tillerlane.gateway import directory as directories
from tillerlane.gateway import usage as usages
from tillerlane.gateway.load import aggregation as loads
from tillerlane.gateway.speeds import gaps, slowdowns

__all__ = ["PoolEstimates", "RunnerSpeeds"]

POOL_INTERVAL_SECONDS = 1.0
"""How long a pool's mean and spread are cached; its runners' sums are smoothed over 20 s."""
MIN_PREFILL_TOKENS = 500
"""Least prompt tokens from whose prefill a speed is computed: for shorter ones, the time to connect
and to write the first event counts as much."""


@dataclasses.dataclass(slots=True)
class PoolEstimates:
    """A pool's speeds as last computed, and the estimates of its runners since.

    Attributes
    ----------
    event_seconds : float
        Mean seconds per event; a default without observations.
    differs : bool
        Whether the runners' speeds differ, as far as known.
    """

    computed_at: float
    gaps: gaps.GapRecorder
    event_seconds: float = placing.DEFAULT_EVENT_SECONDS
    pool: speeds.PoolSpeeds = dataclasses.field(default_factory=speeds.PoolSpeeds)
    differs: bool = False
    tail: speeds.Tail | None = None
    _cached: dict[str, tuple[speeds.Seen, speeds.Speeds]] = dataclasses.field(default_factory=dict)
    _cached_shares: dict[str, tuple[speeds.Slowness, float, tuple[float, ...]]] = dataclasses.field(
        default_factory=dict
    )

    def update(self, observed: Iterable[speeds.Seen], now: float) -> None:
        """Compute the pool's speeds again from all runners' observations."""
        self.pool = speeds.estimate_pool(list(observed))
        self.event_seconds = self.pool.event_seconds or placing.DEFAULT_EVENT_SECONDS
        self.differs = self.pool.decode_variance > 0 or self.pool.prefill_variance > 0
        self.tail = self.gaps.build_tail(now)
        self.computed_at = now
        self._cached.clear()
        self._cached_shares.clear()

    def estimate(self, address: str, load: loads.TargetLoad) -> speeds.Speeds:
        """Estimate a runner's speeds from what its load says."""
        if not self.differs:
            return speeds.NEUTRAL
        cached = self._cached.get(address)
        if (
            cached is not None
            and cached[0].events == load.events
            and cached[0].event_ms == load.event_ms
            and cached[0].read_ms == load.read_ms
        ):
            return cached[1]
        seen = build_seen(load)
        estimated = speeds.estimate_speeds(seen, self.pool)
        self._cached[address] = (seen, estimated)
        return estimated

    def estimate_pause_risk(
        self, address: str, load: loads.TargetLoad, work: placing.Work
    ) -> float:
        """Estimate the probability that some work pauses for too long at a runner.

        It is 0 in a pool of equal runners, where the risk would be the same for all.
        """
        bound = work.pause_objective_seconds
        if bound <= 0 or self.tail is None or self.pool.decode_variance <= 0:
            return 0.0
        decode = self.estimate(address, load).decode
        cached = self._cached_shares.get(address)
        if cached is None or cached[0] is not decode or cached[1] != bound:
            event_seconds = self.event_seconds * decode.factor
            shares = speeds.list_long_gap_shares(event_seconds, bound, self.tail, decode.variance)
            cached = self._cached_shares[address] = (decode, bound, shares)
        return speeds.compute_pause_probability(cached[2], work.events)


class RunnerSpeeds:
    """Speeds of all pools' runners.

    Parameters
    ----------
    usage : usages.Usage
        Holds the observations of this entry and of the fleet.
    now : callable
        Time of the event loop.
    """

    def __init__(self, usage: usages.Usage, now: Callable[[], float]) -> None:
        self._usage = usage
        self._now = now
        self._pools: dict[str, PoolEstimates] = {}
        self.slowdowns = slowdowns.Slowdowns(now)
        self.on_update: Callable[[str, PoolEstimates], None] = lambda pool, estimated: None
        """Called with a pool whose estimates were computed again."""

    def get_pool(self, pool: str, addresses: Callable[[], Iterable[str]]) -> PoolEstimates:
        """A pool's estimates; `addresses` lists its runners if they have to be computed."""
        now = self._now()
        known = self._pools.get(pool)
        if known is None:
            known = self._pools[pool] = PoolEstimates(now, gaps.GapRecorder(now))
        elif now - known.computed_at < POOL_INTERVAL_SECONDS:
            return known
        known.update((build_seen(self._usage.get(address)) for address in addresses()), now)
        self.on_update(pool, known)
        return known

    def estimate_read_rate(self, pool: str, address: str) -> float:
        """Prompt tokens per second that a runner prefills, for `queueing.can_start`."""
        known = self._pools.get(pool)
        if known is None:
            return placing.PREFILL_TOKENS_PER_SECOND
        factor = known.estimate(address, self._usage.get(address)).prefill.factor
        return placing.PREFILL_TOKENS_PER_SECOND / factor

    def record_events(
        self,
        pool: str,
        target: directories.Target,
        request_id: str,
        events: int,
        seconds: float,
    ) -> None:
        """Count events of a run's stream that arrived after a wait."""
        if target.phase is directories.Phase.GONE:
            return  # what its streams still deliver must not count for a new start
        address = target.address
        self._usage.record_events(address, events, seconds, self._now())
        known = self._pools.get(pool)
        if known is None:
            return
        factor = known.estimate(address, self._usage.get(address)).decode.factor
        ratio = seconds / (factor * known.event_seconds)
        known.gaps.record(ratio, events)
        if ratio > slowdowns.LATE_RATIO:
            self.slowdowns.record_late(target.target_id, request_id)

    def record_first_event(
        self, address: str, load: loads.TargetLoad | None, memory_tokens: int, seconds: float
    ) -> None:
        """Count the prefill before a run's first event.

        Parameters
        ----------
        address : str
            Address of the runner.
        load : loads.TargetLoad or None
            Its load when the request was sent, the request included.
        memory_tokens : int
            Its memory; a request that has to wait for memory tells nothing about the speed.
        seconds : float
            Time from the send to the first event.
        """
        if load is None or load.tokens > memory_tokens or load.unread < MIN_PREFILL_TOKENS:
            return
        self._usage.record_prefill(address, load.unread, seconds, self._now())


def build_seen(load: loads.TargetLoad) -> speeds.Seen:
    """The observations that a load carries."""
    return speeds.Seen(load.events, load.event_ms, load.read_tokens, load.read_ms)
