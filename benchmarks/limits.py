"""Compares strategies for many entries to share one target's rate limit, under the same loads.

    python -m benchmarks.limits [--plays N]

Simulates one target.  Requests arrive at random entries, and those beyond the limit are refused at
once.  A run samples everything from its seed, so that each strategy gets the same arrivals.
"""

import argparse
import bisect
import dataclasses
import math
import random
from collections.abc import Callable, Iterator

from tillerlane.decisions import limits
from tillerlane.gateway.backpressure import permits

__all__ = ["LOADS", "STRATEGIES", "Figures", "Load", "simulate"]

RUN_SECONDS = 40.0
OVERLOAD_FACTOR = 3.0
"""Arrival rate, as a multiple of the limit."""
REPORT_AGE_SECONDS = 0.2
"""Age of other entries' reports of their arrivals."""
ROUND_TRIP_SECONDS = 0.005
"""Time from a permit request to the owner's reply."""
DEMAND_WINDOW_SECONDS = 2.0
"""Window over which an entry counts its arrivals."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The limit, and how the arrivals are spread over entries."""

    name: str
    entries: int
    limit: float
    busy_entries: int
    """Number of entries that get all the traffic; in the second half of a run these are others."""


LOADS = tuple(
    Load(f"{entries} entries, {name}, limit {limit:g}", entries, limit, busy_entries or entries)
    for entries in (6, 68, 400)
    for limit in (1.9, 20.0)
    for name, busy_entries in (("even", 0), ("traffic at 2", 2))
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Result of one run."""

    peak_share: float
    """Most requests in any window, as a share of the limit and the slack."""
    used_share: float
    """Requests that went to the target, as a share of its limit."""


Arrival = tuple[float, int]
"""Time, and number of the entry."""
Strategy = Callable[[Load, list[Arrival], random.Random], Iterator[float]]
"""Yields the times at which requests are sent to the target."""


def sample_arrivals(load: Load, rng: random.Random) -> list[Arrival]:
    """Sample the arrivals of a run."""
    now, arrivals = 0.0, []
    while (now := now + rng.expovariate(OVERLOAD_FACTOR * load.limit)) < RUN_SECONDS:
        first = (
            0 if now < RUN_SECONDS / 2 or load.busy_entries == load.entries else load.busy_entries
        )
        arrivals.append((now, first + rng.randrange(load.busy_entries)))
    return arrivals


def send_unlimited(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Ignore the limit."""
    yield from (at for at, _ in arrivals)


def count_since(times: list[float], since: float) -> int:
    """Count the times later than ``since``, given times in ascending order."""
    return len(times) - bisect.bisect_right(times, since)


def send_independently(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Each entry applies the full limit on its own."""
    sent: list[list[float]] = [[] for _ in range(load.entries)]
    for at, entry in arrivals:
        if count_since(sent[entry], at - limits.WINDOW_SECONDS) < load.limit * 4:
            sent[entry].append(at)
            yield at


def send_equal_shares(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Equal shares, converted to whole requests by randomized rounding."""
    window_limit = load.limit * limits.WINDOW_SECONDS
    quota = limits.WindowQuota(window_limit, window_limit + limits.SLACK_REQUESTS)
    shares = [limits.compute_share(quota, load.entries, rng.random()) for _ in range(load.entries)]
    sent: list[list[float]] = [[] for _ in range(load.entries)]
    for at, entry in arrivals:
        if count_since(sent[entry], at - limits.WINDOW_SECONDS) < shares[entry]:
            sent[entry].append(at)
            yield at


def send_proportional_shares(
    load: Load, arrivals: list[Arrival], rng: random.Random
) -> Iterator[float]:
    """Flow-proportional shares, from the arrivals that entries report to each other.

    After "Cloud Control with Distributed Rate Limiting" (Raghavan et al., SIGCOMM 2007): an entry's
    share of the limit is its share of all traffic; it drops the rest at random.
    """
    arrived: list[list[float]] = [[] for _ in range(load.entries)]
    times: list[float] = []
    for at, entry in arrivals:
        arrived[entry].append(at)
        times.append(at)
        reported_at = at - REPORT_AGE_SECONDS
        others = count_since(times, reported_at - DEMAND_WINDOW_SECONDS) - count_since(
            times, reported_at
        )
        demand = max(others / DEMAND_WINDOW_SECONDS, 1 / DEMAND_WINDOW_SECONDS)
        if rng.random() < load.limit / demand:
            yield at


@dataclasses.dataclass(slots=True)
class _PermitRequester:
    """An entry that requests permits."""

    requested_at: float = -permits.REQUEST_INTERVAL_SECONDS
    pending_requests: int = 0
    permit_deadlines: list[float] = dataclasses.field(default_factory=list)
    """Expiry time of each unused permit."""

    def drop_expired(self, now: float) -> int:
        """Drop expired permits and return their number."""
        number = len(self.permit_deadlines)
        self.permit_deadlines = [deadline for deadline in self.permit_deadlines if deadline > now]
        return number - len(self.permit_deadlines)


def send_by_permit(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Permits from one owner, requested when a request needs one and waits for the reply."""
    use_seconds = limits.compute_hold_seconds(load.limit) * permits.USE_SHARE
    max_requests = max(1, math.ceil(load.limit * permits.REQUEST_INTERVAL_SECONDS))
    bucket = limits.Bucket(0.0, 0.0)
    requesters = [_PermitRequester() for _ in range(load.entries)]
    for at, entry in arrivals:
        returned = sum(requester.drop_expired(at) for requester in requesters)
        requester = requesters[entry]
        bucket = limits.refill(bucket, load.limit, at, returned)
        if requester.permit_deadlines:
            requester.permit_deadlines.pop(0)
            yield at
            continue
        requester.pending_requests += 1
        if at - requester.requested_at < permits.REQUEST_INTERVAL_SECONDS:
            continue
        bucket, granted = bucket.acquire(min(max_requests, requester.pending_requests))
        requester.requested_at, requester.pending_requests = at, 0
        requester.permit_deadlines += [at + use_seconds] * granted
        if granted:
            requester.permit_deadlines.pop()
            yield at + ROUND_TRIP_SECONDS


STRATEGIES: dict[str, Strategy] = {
    "none": send_unlimited,
    "each by itself": send_independently,
    "equal, by lot": send_equal_shares,
    "by demand": send_proportional_shares,
    "permits": send_by_permit,
}


def simulate(strategy: Strategy, load: Load, seed: int) -> Figures:
    """Run a strategy under a load."""
    arrivals = sample_arrivals(load, random.Random(seed))
    sent = sorted(strategy(load, arrivals, random.Random(seed + 10_000)))
    window = limits.WINDOW_SECONDS
    peak = max(
        (bisect.bisect_left(sent, at + window) - position for position, at in enumerate(sent)),
        default=0,
    )
    return Figures(
        peak / (load.limit * window + limits.SLACK_REQUESTS), len(sent) / (load.limit * RUN_SECONDS)
    )


def main() -> None:
    """Print a row for each load and strategy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=20, help="runs of each load")
    options = parser.parse_args()
    print(
        "| load | way | most in 4 s / (limit + 5) | used of the limit |\n| --- | --- | --- | --- |"
    )
    for load in LOADS:
        for name, strategy in STRATEGIES.items():
            plays = [simulate(strategy, load, seed) for seed in range(options.plays)]
            most = max(item.peak_share for item in plays)
            used = sum(item.used_share for item in plays) / len(plays)
            print(f"| {load.name} | {name} | {most:.2f} | {used:.2f} |")


if __name__ == "__main__":
    main()
