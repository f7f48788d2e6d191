"""Compares rules for quarantining requests that crash targets, under the same loads.

    python -m benchmarks.quarantine [--plays N]

Simulates a pool whose runners crash under some requests and restart seconds later.  There are short
streams that may be restarted, long ones that run only once, and poison requests that callers send
again.  All entries learn of target exits at once; `benchmarks.endings` measures the cost of
propagation.  A run samples everything from its seed, so that each rule gets the same arrivals.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

from tillerlane.decisions import quarantine

__all__ = ["Figures", "Load", "simulate", "simulate_all"]

RUN_SECONDS = 80.0
RESTART_SECONDS = 3.0
POISON_SECONDS = 0.08
"""Time from the start of a poison request to the crash of its runner, as users observed it."""
REACTION_SECONDS = 3.0
"""Time after the third target exit from which sends count against the users' bound."""
SHORT_SECONDS, LONG_SECONDS = 0.7, 8.0
MAX_SENDS, MAX_ATTEMPTS = 2, 2
"""Runners that one attempt may be sent to, and attempts of a caller."""

ExitRecords = dict[str, dict[str, int]]
"""Maps a request to the targets that exited while running it, with their numbers of requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A pool and its arrival rates per second."""

    name: str
    runners: int
    short_rate: float
    long_rate: float
    poison_requests: int
    """Number of distinct poison requests, each sent again every two to five seconds."""
    unrelated_exit_rate: float = 0.0
    """Rate of target exits that no request causes."""


LOADS = (
    Load("few runners, one deadly", 5, 2.4, 1.7, 1),
    Load("few runners, three deadly", 5, 2.4, 1.7, 3),
    Load("few runners, busy, three deadly", 5, 12.0, 1.7, 3),
    Load("many runners, three deadly", 21, 18.7, 9.6, 3),
    Load("few runners that end for another reason", 5, 2.4, 1.7, 0, 0.5),
)


@dataclasses.dataclass(slots=True)
class Figures:
    """Results of one or many runs."""

    target_exits: int = 0
    late_sends: int = 0
    """Sends of a poison request after its third target exit and the reaction time; the maximum over
    poison requests."""
    innocent: int = 0
    lost: int = 0
    """Innocent requests that were not served."""
    quarantined: int = 0
    """Innocent requests that were quarantined."""


@dataclasses.dataclass(eq=False, slots=True)
class _Request:
    name: str
    seconds: float
    sends: int = 0
    attempts: int = 1
    comings: int = 1


Rule = Callable[[ExitRecords, str], bool]


def never_quarantine(exit_records: ExitRecords, name: str) -> bool:
    """Quarantine nothing."""
    return False


def quarantine_after_two(exit_records: ExitRecords, name: str) -> bool:
    """Quarantine after two target exits."""
    return len(exit_records.get(name, ())) >= 2


def quarantine_by_count(exit_records: ExitRecords, name: str) -> bool:
    """Use the rule in `tillerlane.decisions.quarantine`."""
    return quarantine.is_poison(len(exit_records.get(name, ())))


def quarantine_unexplained(exit_records: ExitRecords, name: str) -> bool:
    """Ignore target exits that are explained by a request with more exits."""
    if len(exit_records.get(name, ())) < quarantine.MIN_TARGET_EXITS:
        return False
    explained_exits: set[str] = set()
    for other, exits in sorted(exit_records.items(), key=lambda item: -len(item[1])):
        left = len(exits.keys() - explained_exits)
        if other == name:
            return left >= quarantine.MIN_TARGET_EXITS
        if left >= quarantine.MIN_TARGET_EXITS:
            explained_exits |= exits.keys()
    return False


def quarantine_single_suspect(exit_records: ExitRecords, name: str) -> bool:
    """Quarantine after three target exits, or two if one target ran no other request."""
    exits = exit_records.get(name, {})
    return len(exits) >= quarantine.MIN_TARGET_EXITS or (len(exits) >= 2 and 1 in exits.values())


RULES: tuple[tuple[str, Rule, bool], ...] = (
    ("nothing is held back", never_quarantine, False),
    ("two ends", quarantine_after_two, False),
    ("three ends (stands)", quarantine_by_count, False),
    ("three unexplained ends", quarantine_unexplained, False),
    ("two if one was alone, suspects apart", quarantine_single_suspect, True),
)
"""Name, rule, and whether suspect requests are isolated on targets without other requests."""


class _Simulation:
    """One run of a load."""

    def __init__(self, load: Load, rule: Rule, isolate_suspects: bool, seed: int) -> None:
        self._load = load
        self._rule = rule
        self._isolate_suspects = isolate_suspects
        self._rng = random.Random(seed)
        self._placement_rng = random.Random(seed + 1)
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._runners: dict[str, set[_Request]] = {}
        self._runner_numbers = itertools.count()
        self._exit_records: ExitRecords = collections.defaultdict(dict)
        self._quarantinable_at: dict[str, float] = {}
        self._late_sends: collections.Counter[str] = collections.Counter()
        self.figures = Figures()

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._event_numbers), action))

    def run(self) -> Figures:
        """Run the simulation to the end."""
        for _ in range(self._load.runners):
            self._start_runner()
        for time, request in self._sample_arrivals():
            self._schedule(time, lambda request=request: self._send(request))
        for time in self._sample_unrelated_exits():
            self._schedule(time, self._crash_random_runner)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self.figures.late_sends = max(self._late_sends.values(), default=0)
        return self.figures

    def _sample_arrivals(self) -> Iterator[tuple[float, _Request]]:
        for kind, rate, seconds in (
            ("short", self._load.short_rate, SHORT_SECONDS),
            ("long", self._load.long_rate, LONG_SECONDS),
        ):
            time = self._rng.expovariate(rate)
            while time < RUN_SECONDS:
                name = f"{kind}-{time}"
                yield time, _Request(name, seconds * self._rng.uniform(0.5, 1.5))
                time += self._rng.expovariate(rate)
        for number in range(self._load.poison_requests):
            time = self._rng.uniform(5.0, 10.0)
            while time < RUN_SECONDS:
                yield time, _Request(f"deadly-{number}", POISON_SECONDS)
                time += self._rng.uniform(2.0, 5.0)

    def _sample_unrelated_exits(self) -> Iterator[float]:
        time = 0.0
        while self._load.unrelated_exit_rate and time < RUN_SECONDS:
            time += self._rng.expovariate(self._load.unrelated_exit_rate)
            yield time

    def _crash_random_runner(self) -> None:
        """Crash a random runner for a reason unrelated to its requests."""
        if self._runners:
            runner = self._placement_rng.choice(list(self._runners))
            self._crash_runner(runner, self._runners[runner])

    def _start_runner(self) -> None:
        self._runners[f"r{next(self._runner_numbers)}"] = set()

    def _choose_runner(self, request: _Request) -> str | None:
        """Choose the less loaded of two; if suspects are isolated, prefer idle runners for them."""
        names = list(self._runners)
        if self._isolate_suspects and request.name in self._exit_records:
            empty = [name for name in names if not self._runners[name]]
            names = empty or names
        elif self._isolate_suspects:
            unsuspected = [
                name
                for name in names
                if not any(other.name in self._exit_records for other in self._runners[name])
            ]
            names = unsuspected or names
        sampled = self._placement_rng.sample(names, min(2, len(names)))
        return min(sampled, key=lambda name: len(self._runners[name]), default=None)

    def _send(self, request: _Request) -> None:
        is_poison = request.name.startswith("deadly")
        if self._rule(self._exit_records, request.name):
            self._record_outcome(request, served=False, is_quarantined=True)
            return
        runner = self._choose_runner(request)
        if runner is None:
            self._record_outcome(request, served=False)
            return
        request.sends += 1
        quarantinable_at = self._quarantinable_at.get(request.name)
        if quarantinable_at is not None and self._now > quarantinable_at + REACTION_SECONDS:
            self._late_sends[request.name] += 1
        in_progress = self._runners[runner]
        in_progress.add(request)
        seconds = POISON_SECONDS if is_poison else request.seconds
        self._schedule(
            self._now + seconds, lambda: self._finish_service(request, runner, in_progress)
        )

    def _finish_service(self, request: _Request, runner: str, in_progress: set[_Request]) -> None:
        if request not in in_progress:
            return  # its runner has crashed
        in_progress.discard(request)
        if not request.name.startswith("deadly"):
            self._exit_records.pop(request.name, None)
            self._record_outcome(request, served=True)
            return
        in_progress.add(request)
        self._crash_runner(runner, in_progress)

    def _crash_runner(self, runner: str, in_progress: set[_Request]) -> None:
        del self._runners[runner]
        self.figures.target_exits += 1
        self._schedule(self._now + RESTART_SECONDS, self._start_runner)
        affected = sorted(in_progress, key=lambda item: item.name)
        in_progress.clear()
        for request in affected:
            exits = self._exit_records[request.name]
            exits[runner] = len(affected)
            if len(exits) == quarantine.MIN_TARGET_EXITS:
                self._quarantinable_at.setdefault(request.name, self._now)
        for request in affected:
            self._retry(request)

    def _retry(self, request: _Request) -> None:
        if request.name.startswith("long"):
            self._record_outcome(request, served=False)
        elif request.sends < MAX_SENDS:
            self._send(request)
        elif request.attempts < MAX_ATTEMPTS:
            request.attempts += 1
            request.sends = 0
            self._schedule(self._now + 0.1, lambda: self._send(request))
        else:
            self._record_outcome(request, served=False)

    def _record_outcome(
        self, request: _Request, *, served: bool, is_quarantined: bool = False
    ) -> None:
        if request.name.startswith("deadly"):
            return
        self.figures.innocent += 1
        self.figures.lost += not served
        self.figures.quarantined += is_quarantined


def simulate(load: Load, rule: Rule, isolate_suspects: bool, seed: int) -> Figures:
    """Run a load once."""
    return _Simulation(load, rule, isolate_suspects, seed).run()


def simulate_all(load: Load, rule: Rule, isolate_suspects: bool, plays: int) -> Figures:
    """Sum the results of many runs; of late sends take the maximum."""
    total = Figures()
    for seed in range(plays):
        figures = simulate(load, rule, isolate_suspects, seed)
        total.target_exits += figures.target_exits
        total.innocent += figures.innocent
        total.lost += figures.lost
        total.quarantined += figures.quarantined
        total.late_sends = max(total.late_sends, figures.late_sends)
    return total


def main() -> None:
    """Print the table for the design page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=200)
    plays = parser.parse_args().plays
    print("| load | way | targets ended a play | late sends, most | innocent lost | held back |")
    print("| --- | --- | --- | --- | --- | --- |")
    for load in LOADS:
        for name, rule, isolate_suspects in RULES:
            figures = simulate_all(load, rule, isolate_suspects, plays)
            lost = f"{1e4 * figures.lost / figures.innocent:.1f}"
            held = f"{1e4 * figures.quarantined / figures.innocent:.2f}"
            exits = f"{figures.target_exits / plays:.1f}"
            print(f"| {load.name} | {name} | {exits} | {figures.late_sends} | {lost} | {held} |")
    print("\nInnocent requests of 10,000.")


if __name__ == "__main__":
    main()
