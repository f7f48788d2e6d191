"""Ways for many entries to keep to a target's limit together, on the same loads.

    python -m benchmarks.limits [--plays N]

One target, in simulated time; callers come to the entries at random, and whoever finds no room is
turned away at once.  A play draws all from its number, so that each way meets the same callers.
"""

import argparse
import bisect
import dataclasses
import math
import random
from collections.abc import Callable, Iterator

from tillerlane.decisions import limits
from tillerlane.gateway import permits

__all__ = ["LOADS", "STRATEGIES", "Figures", "Load", "simulate"]

RUN_SECONDS = 40.0
OVERLOAD_FACTOR = 3.0
"""Requests that come, as a multiple of the limit."""
REPORT_AGE_SECONDS = 0.2
"""Age of other entries' word of what comes to them."""
ROUND_TRIP_SECONDS = 0.005
"""Time from a wish to the owner's answer."""
DEMAND_WINDOW_SECONDS = 2.0
"""Time over which an entry counts what comes to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What comes, and where."""

    name: str
    entries: int
    limit: float
    busy_entries: int
    """Entries that get all the traffic; others do in the second half."""


LOADS = tuple(
    Load(f"{entries} entries, {name}, limit {limit:g}", entries, limit, busy_entries or entries)
    for entries in (6, 68, 400)
    for limit in (1.9, 20.0)
    for name, busy_entries in (("even", 0), ("traffic at 2", 2))
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What one or many plays showed."""

    peak_share: float
    """Most requests in any window, as a share of the limit and the slack."""
    used_share: float
    """Requests that went to the target, as a share of its limit."""


Arrival = tuple[float, int]
"""Time, and the entry that it comes to."""
Strategy = Callable[[Load, list[Arrival], random.Random], Iterator[float]]
"""Gives the times of sends."""


def sample_arrivals(load: Load, rng: random.Random) -> list[Arrival]:
    """Callers over the whole time."""
    now, arrivals = 0.0, []
    while (now := now + rng.expovariate(OVERLOAD_FACTOR * load.limit)) < RUN_SECONDS:
        first = (
            0 if now < RUN_SECONDS / 2 or load.busy_entries == load.entries else load.busy_entries
        )
        arrivals.append((now, first + rng.randrange(load.busy_entries)))
    return arrivals


def send_unlimited(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Nobody heeds the limit."""
    yield from (at for at, _ in arrivals)


def count_since(times: list[float], since: float) -> int:
    """Times later than a moment, of times in order."""
    return len(times) - bisect.bisect_right(times, since)


def send_independently(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Each entry keeps to the limit by itself."""
    sent: list[list[float]] = [[] for _ in range(load.entries)]
    for at, entry in arrivals:
        if count_since(sent[entry], at - limits.WINDOW_SECONDS) < load.limit * 4:
            sent[entry].append(at)
            yield at


def send_equal_shares(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Equal shares, in whole requests by lot."""
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
    """Shares by what came to each entry, told among them: flow-proportional shares.

    After "Cloud Control with Distributed Rate Limiting" (Raghavan et al., SIGCOMM 2007): an entry
    gets the limit's part that its traffic has in that of all, and drops the rest at random.
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
    """An entry that asks for permits."""

    requested_at: float = -permits.REQUEST_INTERVAL_SECONDS
    pending_requests: int = 0
    permit_deadlines: list[float] = dataclasses.field(default_factory=list)
    """Until when each permit is to be used."""

    def drop_expired(self, now: float) -> int:
        """Drop the permits whose time is over; their number."""
        number = len(self.permit_deadlines)
        self.permit_deadlines = [deadline for deadline in self.permit_deadlines if deadline > now]
        return number - len(self.permit_deadlines)


def send_by_permit(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Permits of one owner, asked for when a request could use one; it waits for the answer."""
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
    """One play of a way."""
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
    """Print a row for each load and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=20, help="plays of each load")
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
