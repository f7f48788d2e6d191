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

__all__ = ["LOADS", "WAYS", "Figures", "Load", "play"]

SECONDS = 40.0
PRESS = 3.0
"""Requests that come, as a multiple of the limit."""
REPORT_AGE_SECONDS = 0.2
"""Age of other entries' word of what comes to them."""
WAY_SECONDS = 0.005
"""Time from a wish to the owner's answer."""
DEMAND_SECONDS = 2.0
"""Time over which an entry counts what comes to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What comes, and where."""

    name: str
    entries: int
    limit: float
    busy: int
    """Entries that get all the traffic; others do in the second half."""


LOADS = tuple(
    Load(f"{entries} entries, {name}, limit {limit:g}", entries, limit, busy or entries)
    for entries in (6, 68, 400)
    for limit in (1.9, 20.0)
    for name, busy in (("even", 0), ("traffic at 2", 2))
)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What one or many plays showed."""

    most: float
    """Most requests in any window, as a share of the limit and the slack."""
    used: float
    """Requests that went to the target, as a share of its limit."""


Arrival = tuple[float, int]
"""Time, and the entry that it comes to."""
Way = Callable[[Load, list[Arrival], random.Random], Iterator[float]]
"""Gives the times of sends."""


def draw_arrivals(load: Load, rng: random.Random) -> list[Arrival]:
    """Callers over the whole time."""
    now, found = 0.0, []
    while (now := now + rng.expovariate(PRESS * load.limit)) < SECONDS:
        first = 0 if now < SECONDS / 2 or load.busy == load.entries else load.busy
        found.append((now, first + rng.randrange(load.busy)))
    return found


def send_all(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Nobody heeds the limit."""
    yield from (at for at, _ in arrivals)


def count_since(times: list[float], since: float) -> int:
    """Times later than a moment, of times in order."""
    return len(times) - bisect.bisect_right(times, since)


def send_each(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Each entry keeps to the limit by itself."""
    sent: list[list[float]] = [[] for _ in range(load.entries)]
    for at, entry in arrivals:
        if count_since(sent[entry], at - limits.WINDOW_SECONDS) < load.limit * 4:
            sent[entry].append(at)
            yield at


def send_by_lot(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Equal shares, in whole requests by lot."""
    borne = load.limit * limits.WINDOW_SECONDS
    rate = limits.WindowQuota(borne, borne + limits.SLACK_REQUESTS)
    shares = [limits.compute_share(rate, load.entries, rng.random()) for _ in range(load.entries)]
    sent: list[list[float]] = [[] for _ in range(load.entries)]
    for at, entry in arrivals:
        if count_since(sent[entry], at - limits.WINDOW_SECONDS) < shares[entry]:
            sent[entry].append(at)
            yield at


def send_by_demand(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Shares by what came to each entry, told among them: flow-proportional shares.

    After "Cloud Control with Distributed Rate Limiting" (Raghavan et al., SIGCOMM 2007): an entry
    gets the limit's part that its traffic has in that of all, and drops the rest at random.
    """
    came: list[list[float]] = [[] for _ in range(load.entries)]
    times: list[float] = []
    for at, entry in arrivals:
        came[entry].append(at)
        times.append(at)
        heard = at - REPORT_AGE_SECONDS
        others = count_since(times, heard - DEMAND_SECONDS) - count_since(times, heard)
        demand = max(others / DEMAND_SECONDS, 1 / DEMAND_SECONDS)
        if rng.random() < load.limit / demand:
            yield at


@dataclasses.dataclass(slots=True)
class _Asker:
    """An entry that asks for permits."""

    asked_at: float = -permits.REQUEST_INTERVAL_SECONDS
    wishes: int = 0
    held: list[float] = dataclasses.field(default_factory=list)
    """Until when each permit is to be used."""

    def drop_ended(self, now: float) -> int:
        """Drop the permits whose time is over; their number."""
        number = len(self.held)
        self.held = [until for until in self.held if until > now]
        return number - len(self.held)


def send_by_permit(load: Load, arrivals: list[Arrival], rng: random.Random) -> Iterator[float]:
    """Permits of one owner, asked for when a request could use one; it waits for the answer."""
    use_seconds = limits.compute_hold_seconds(load.limit) * permits.USE_SHARE
    most = max(1, math.ceil(load.limit * permits.REQUEST_INTERVAL_SECONDS))
    bucket = limits.Bucket(0.0, 0.0)
    askers = [_Asker() for _ in range(load.entries)]
    for at, entry in arrivals:
        returned = sum(asker.drop_ended(at) for asker in askers)
        asker = askers[entry]
        bucket = limits.refill(bucket, load.limit, at, returned)
        if asker.held:
            asker.held.pop(0)
            yield at
            continue
        asker.wishes += 1
        if at - asker.asked_at < permits.REQUEST_INTERVAL_SECONDS:
            continue
        bucket, given = bucket.acquire(min(most, asker.wishes))
        asker.asked_at, asker.wishes = at, 0
        asker.held += [at + use_seconds] * given
        if given:
            asker.held.pop()
            yield at + WAY_SECONDS


WAYS: dict[str, Way] = {
    "none": send_all,
    "each by itself": send_each,
    "equal, by lot": send_by_lot,
    "by demand": send_by_demand,
    "permits": send_by_permit,
}


def play(way: Way, load: Load, number: int) -> Figures:
    """One play of a way."""
    arrivals = draw_arrivals(load, random.Random(number))
    sent = sorted(way(load, arrivals, random.Random(number + 10_000)))
    window = limits.WINDOW_SECONDS
    most = max(
        (bisect.bisect_left(sent, at + window) - place for place, at in enumerate(sent)), default=0
    )
    return Figures(
        most / (load.limit * window + limits.SLACK_REQUESTS), len(sent) / (load.limit * SECONDS)
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
        for name, way in WAYS.items():
            plays = [play(way, load, number) for number in range(options.plays)]
            most = max(item.most for item in plays)
            used = sum(item.used for item in plays) / len(plays)
            print(f"| {load.name} | {name} | {most:.2f} | {used:.2f} |")


if __name__ == "__main__":
    main()
