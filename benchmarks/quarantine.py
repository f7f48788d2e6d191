"""Which requests to hold back when targets end under them: ways to decide, on the same loads.

    python -m benchmarks.quarantine [--plays N]

A pool whose runners end under some requests and come back seconds later, in simulated time: short
streams that may be begun anew, long ones that run once, and deadly requests that come again.  All
entries know at once what ended; what telling them costs is measured elsewhere.  A play draws all
from its number, so that each way meets the same callers.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

from tillerlane.decisions import quarantine

__all__ = ["Figures", "Load", "play", "play_all"]

SECONDS = 80.0
BACK_SECONDS = 3.0
DEADLY_SECONDS = 0.08
"""Time from the beginning of a deadly request to the end of its runner, as users saw it."""
REACTION_SECONDS = 3.0
"""Time after the third end from which the users' bound counts sends."""
SHORT_SECONDS, LONG_SECONDS = 0.7, 8.0
SENDS, TRIES = 2, 2
"""Runners that one attempt may reach, and attempts of a caller."""

Cases = dict[str, dict[str, int]]
"""Request to the targets that ended under it, with how many requests each had."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A pool and what comes to it a second."""

    name: str
    runners: int
    short_rate: float
    long_rate: float
    deadly: int
    """Different deadly requests; each comes again every two to five seconds."""
    other_rate: float = 0.0
    """Runners that end for another reason."""


LOADS = (
    Load("few runners, one deadly", 5, 2.4, 1.7, 1),
    Load("few runners, three deadly", 5, 2.4, 1.7, 3),
    Load("few runners, busy, three deadly", 5, 12.0, 1.7, 3),
    Load("many runners, three deadly", 21, 18.7, 9.6, 3),
    Load("few runners that end for another reason", 5, 2.4, 1.7, 0, 0.5),
)


@dataclasses.dataclass(slots=True)
class Figures:
    """What one or many plays cost."""

    ended: int = 0
    """Targets that ended."""
    late_sends: int = 0
    """Sends of a deadly request later than the reaction time after its third end, at most."""
    innocent: int = 0
    lost: int = 0
    """Innocent requests that were not served."""
    held: int = 0
    """Innocent requests that were held back."""


@dataclasses.dataclass(eq=False, slots=True)
class _Request:
    name: str
    seconds: float
    sends: int = 0
    tries: int = 1
    comings: int = 1


Judge = Callable[[Cases, str], bool]


def judge_never(cases: Cases, name: str) -> bool:
    """Hold nothing back."""
    return False


def judge_by_two(cases: Cases, name: str) -> bool:
    """Two ends are enough."""
    return len(cases.get(name, ())) >= 2


def judge_by_count(cases: Cases, name: str) -> bool:
    """The decision that stands."""
    return quarantine.is_poison(len(cases.get(name, ())))


def judge_unexplained(cases: Cases, name: str) -> bool:
    """Ends that a more suspected request explains do not count against the others."""
    if len(cases.get(name, ())) < quarantine.MIN_TARGET_EXITS:
        return False
    explained: set[str] = set()
    for other, ends in sorted(cases.items(), key=lambda item: -len(item[1])):
        left = len(ends.keys() - explained)
        if other == name:
            return left >= quarantine.MIN_TARGET_EXITS
        if left >= quarantine.MIN_TARGET_EXITS:
            explained |= ends.keys()
    return False


def judge_alone(cases: Cases, name: str) -> bool:
    """Three ends, or two of which one took nobody else along."""
    ends = cases.get(name, {})
    return len(ends) >= quarantine.MIN_TARGET_EXITS or (len(ends) >= 2 and 1 in ends.values())


WAYS: tuple[tuple[str, Judge, bool], ...] = (
    ("nothing is held back", judge_never, False),
    ("two ends", judge_by_two, False),
    ("three ends (stands)", judge_by_count, False),
    ("three unexplained ends", judge_unexplained, False),
    ("two if one was alone, suspects apart", judge_alone, True),
)
"""Name, decision, and whether requests under which a target ended get one without others."""


class _Play:
    """One play of a load."""

    def __init__(self, load: Load, judge: Judge, apart: bool, seed: int) -> None:
        self._load = load
        self._judge = judge
        self._apart = apart
        self._rng = random.Random(seed)
        self._placing = random.Random(seed + 1)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._runners: dict[str, set[_Request]] = {}
        self._starts = itertools.count()
        self._cases: Cases = collections.defaultdict(dict)
        self._third_at: dict[str, float] = {}
        self._late: collections.Counter[str] = collections.Counter()
        self.figures = Figures()

    def _at(self, time: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), what))

    def run(self) -> Figures:
        """Play to the end."""
        for _ in range(self._load.runners):
            self._start_runner()
        for time, request in self._draw_callers():
            self._at(time, lambda request=request: self._send(request))
        for time in self._draw_ends():
            self._at(time, self._end_any)
        while self._events:
            self._now, _, what = heapq.heappop(self._events)
            what()
        self.figures.late_sends = max(self._late.values(), default=0)
        return self.figures

    def _draw_callers(self) -> Iterator[tuple[float, _Request]]:
        for kind, rate, seconds in (
            ("short", self._load.short_rate, SHORT_SECONDS),
            ("long", self._load.long_rate, LONG_SECONDS),
        ):
            time = self._rng.expovariate(rate)
            while time < SECONDS:
                name = f"{kind}-{time}"
                yield time, _Request(name, seconds * self._rng.uniform(0.5, 1.5))
                time += self._rng.expovariate(rate)
        for number in range(self._load.deadly):
            time = self._rng.uniform(5.0, 10.0)
            while time < SECONDS:
                yield time, _Request(f"deadly-{number}", DEADLY_SECONDS)
                time += self._rng.uniform(2.0, 5.0)

    def _draw_ends(self) -> Iterator[float]:
        time = 0.0
        while self._load.other_rate and time < SECONDS:
            time += self._rng.expovariate(self._load.other_rate)
            yield time

    def _end_any(self) -> None:
        """End a runner that is there for a reason that has to do with no request."""
        if self._runners:
            runner = self._placing.choice(list(self._runners))
            self._end_runner(runner, self._runners[runner])

    def _start_runner(self) -> None:
        self._runners[f"r{next(self._starts)}"] = set()

    def _choose(self, request: _Request) -> str | None:
        """The least loaded of two; suspects go where nothing runs, if they are kept apart."""
        names = list(self._runners)
        if self._apart and request.name in self._cases:
            empty = [name for name in names if not self._runners[name]]
            names = empty or names
        elif self._apart:
            clean = [
                name
                for name in names
                if not any(other.name in self._cases for other in self._runners[name])
            ]
            names = clean or names
        drawn = self._placing.sample(names, min(2, len(names)))
        return min(drawn, key=lambda name: len(self._runners[name]), default=None)

    def _send(self, request: _Request) -> None:
        is_deadly = request.name.startswith("deadly")
        if self._judge(self._cases, request.name):
            self._end_request(request, served=False, held=True)
            return
        runner = self._choose(request)
        if runner is None:
            self._end_request(request, served=False)
            return
        request.sends += 1
        third_at = self._third_at.get(request.name)
        if third_at is not None and self._now > third_at + REACTION_SECONDS:
            self._late[request.name] += 1
        held = self._runners[runner]
        held.add(request)
        seconds = DEADLY_SECONDS if is_deadly else request.seconds
        self._at(self._now + seconds, lambda: self._finish(request, runner, held))

    def _finish(self, request: _Request, runner: str, held: set[_Request]) -> None:
        if request not in held:
            return  # its runner has ended
        held.discard(request)
        if not request.name.startswith("deadly"):
            self._cases.pop(request.name, None)
            self._end_request(request, served=True)
            return
        held.add(request)
        self._end_runner(runner, held)

    def _end_runner(self, runner: str, held: set[_Request]) -> None:
        del self._runners[runner]
        self.figures.ended += 1
        self._at(self._now + BACK_SECONDS, self._start_runner)
        victims = sorted(held, key=lambda item: item.name)
        held.clear()
        for victim in victims:
            ends = self._cases[victim.name]
            ends[runner] = len(victims)
            if len(ends) == quarantine.MIN_TARGET_EXITS:
                self._third_at.setdefault(victim.name, self._now)
        for victim in victims:
            self._come_again(victim)

    def _come_again(self, request: _Request) -> None:
        if request.name.startswith("long"):
            self._end_request(request, served=False)
        elif request.sends < SENDS:
            self._send(request)
        elif request.tries < TRIES:
            request.tries += 1
            request.sends = 0
            self._at(self._now + 0.1, lambda: self._send(request))
        else:
            self._end_request(request, served=False)

    def _end_request(self, request: _Request, *, served: bool, held: bool = False) -> None:
        if request.name.startswith("deadly"):
            return
        self.figures.innocent += 1
        self.figures.lost += not served
        self.figures.held += held


def play(load: Load, judge: Judge, apart: bool, seed: int) -> Figures:
    """Play a load once."""
    return _Play(load, judge, apart, seed).run()


def play_all(load: Load, judge: Judge, apart: bool, plays: int) -> Figures:
    """Sums of many plays; of late sends the most of any request."""
    total = Figures()
    for seed in range(plays):
        figures = play(load, judge, apart, seed)
        total.ended += figures.ended
        total.innocent += figures.innocent
        total.lost += figures.lost
        total.held += figures.held
        total.late_sends = max(total.late_sends, figures.late_sends)
    return total


def main() -> None:
    """Print a table for the design page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=200)
    plays = parser.parse_args().plays
    print("| load | way | targets ended a play | late sends, most | innocent lost | held back |")
    print("| --- | --- | --- | --- | --- | --- |")
    for load in LOADS:
        for name, judge, apart in WAYS:
            found = play_all(load, judge, apart, plays)
            lost = f"{1e4 * found.lost / found.innocent:.1f}"
            held = f"{1e4 * found.held / found.innocent:.2f}"
            ended = f"{found.ended / plays:.1f}"
            print(f"| {load.name} | {name} | {ended} | {found.late_sends} | {lost} | {held} |")
    print("\nInnocent requests of 10,000.")


if __name__ == "__main__":
    main()
