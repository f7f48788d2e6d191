"""Compares ways to tell which part of prompts crashes targets, under the same loads.

    python -m benchmarks.prompt_parts [--plays N]

Simulates a pool whose runners crash as soon as they begin to answer a request with a poison part,
and restart seconds later.  No two requests are alike; sound ones share their first part, or another
one, with the poison ones.  All entries learn of target exits at once.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

from tillerlane.decisions import quarantine

__all__ = ["LOADS", "WAYS", "Figures", "Load", "simulate"]

RUN_SECONDS = 80.0
RESTART_SECONDS = 3.0
PREFILL_SECONDS = 0.3
POISON_SECONDS = 0.08
REACTION_SECONDS = 3.0
ALLOWED_EXITS = 5
MAX_SENDS = 2
MIN_EXITS = 3
"""Exits from which on the simpler ways hold a part back."""
FIRST_PARTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A pool and its requests.

    Attributes
    ----------
    sound_rate, poison_rate, unrelated_exit_rate : float
        Per second, over the pool.
    bad_parts : int
        Number of poison parts; each poison request has one of them.
    is_bad_first : bool
        Whether the poison part comes before the common one.
    sound_since : float
        Seconds until the first sound request.
    """

    name: str
    runners: int = 5
    sound_rate: float = 4.0
    poison_rate: float = 1.0
    bad_parts: int = 1
    is_bad_first: bool = False
    sound_since: float = 0.0
    unrelated_exit_rate: float = 0.0
    common_exit_at: float = 0.0
    """Time at which all runners crash at once; never with 0."""


LOADS = (
    Load("one bad part"),
    Load("bad part first", is_bad_first=True),
    Load("three bad parts", bad_parts=3),
    Load("company sound only later", sound_since=20.0),
    Load("crashes far apart", poison_rate=0.08),
    Load("no bad part, 0.5 crashes a second", poison_rate=0.0, unrelated_exit_rate=0.5),
    Load("no bad part, all crash at once", poison_rate=0.0, common_exit_at=20.0),
    Load("1,000 runners, three bad parts", 1000, 400.0, 5.0, 3),
)


@dataclasses.dataclass(slots=True)
class Figures:
    """Results of one play, or sums of many; `late_sends` is the maximum over parts."""

    exits: int = 0
    late_sends: int = 0
    sound: int = 0
    lost: int = 0
    refused: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    name: str
    parts: tuple[str, ...]
    seconds: float
    sends: int = 0
    is_trial: bool = False
    has_begun: bool = False
    is_proven: bool = False

    @property
    def is_poison(self) -> bool:
        return any(part.startswith("bad") for part in self.parts)


class Knowledge:
    """What all entries know: exits that count against parts, and by request."""

    def __init__(self) -> None:
        self.exits: dict[str, dict[str, bool]] = collections.defaultdict(dict)
        """By part: the targets that exited, and whether in a trial."""
        self.by_request: dict[str, set[str]] = collections.defaultdict(set)
        self.changed_at: dict[str, float] = {}
        self.trial_until: dict[str, float] = {}


Way = Callable[[Knowledge, _Request, float], bool]
"""Whether a request may be sent now."""


def send_all(known: Knowledge, request: _Request, now: float) -> bool:
    """Hold nothing back."""
    return True


def count_exits(known: Knowledge, request: _Request, now: float) -> bool:
    """Hold back every part with enough exits, until a run with it that is under way goes on."""
    return all(len(known.exits[part]) < MIN_EXITS for part in request.parts)


def match_all_common(known: Knowledge, request: _Request, now: float) -> bool:
    """Hold back requests that have all parts which the exits under one of them have in common."""
    for part in request.parts:
        targets = known.exits[part].keys()
        if len(targets) < MIN_EXITS:
            continue
        common = [item for item, exits in known.exits.items() if targets <= exits.keys()]
        if set(common) <= set(request.parts):
            return False
    return True


def count_with_trials(known: Knowledge, request: _Request, now: float) -> bool:
    """Hold back every part with enough exits; every 2 s one request is sent as a trial."""
    suspects = [part for part in request.parts if len(known.exits[part]) >= MIN_EXITS]
    return _try(known, request, dict.fromkeys(suspects, 2.0), now)


def explain_exits(known: Knowledge, request: _Request, now: float) -> bool:
    """Use the rule in `tillerlane.decisions.quarantine`."""
    own = set(request.parts)

    def is_explained(target: str) -> bool:
        return any(
            target in exits and len(exits) >= quarantine.MIN_PART_EXITS
            for part, exits in known.exits.items()
            if part not in own
        )

    pauses = quarantine.compute_part_pauses(
        {
            part: [quarantine.Exit(*item) for item in known.exits[part].items()]
            for part in request.parts
        },
        is_explained,
        lambda targets: any(
            set(targets) <= found
            for name, found in known.by_request.items()
            if name != request.name
        ),
    )
    return _try(known, request, pauses, now)


def _try(known: Knowledge, request: _Request, pauses: dict[str, float | None], now: float) -> bool:
    for part, pause in pauses.items():
        if pause is None or now < known.changed_at.get(part, 0.0) + pause:
            return False
        if now < known.trial_until.get(part, 0.0):
            return False
    for part in pauses:
        known.trial_until[part] = now + 5.0
        known.changed_at[part] = now
    request.is_trial = bool(pauses)
    return True


WAYS: tuple[tuple[str, Way], ...] = (
    ("nothing is held back", send_all),
    ("each part with 3 exits", count_exits),
    ("all parts in common", match_all_common),
    ("each part with 3 exits, a trial each 2 s", count_with_trials),
    ("exits explained by others, trials (stands)", explain_exits),
)


class _Simulation:
    def __init__(self, load: Load, way: Way, seed: int) -> None:
        self._load = load
        self._way = way
        self._rng = random.Random(seed)
        self._placement = random.Random(seed + 1)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._numbers = itertools.count()
        self._runners: dict[str, set[_Request]] = {}
        self._known = Knowledge()
        self._exit_times: dict[str, list[float]] = collections.defaultdict(list)
        self._late: collections.Counter[str] = collections.Counter()
        self.figures = Figures()

    def _at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self) -> Figures:
        for _ in range(self._load.runners):
            self._start()
        for time, request in self._draw():
            self._at(time, lambda request=request: self._send(request))
        time = 0.0
        while self._load.unrelated_exit_rate and time < RUN_SECONDS:
            time += self._rng.expovariate(self._load.unrelated_exit_rate)
            self._at(time, lambda: self._crash(self._placement.choice([*self._runners, ""])))
        if self._load.common_exit_at:
            self._at(
                self._load.common_exit_at,
                lambda: [self._crash(runner) for runner in list(self._runners)],
            )
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self.figures.late_sends = max(self._late.values(), default=0)
        return self.figures

    def _draw(self) -> Iterator[tuple[float, _Request]]:
        load = self._load
        for kind, rate, since in (
            ("sound", load.sound_rate, load.sound_since),
            ("poison", load.poison_rate, 5.0),
        ):
            time = since
            while rate and (time := time + self._rng.expovariate(rate)) < RUN_SECONDS:
                common = f"first{self._rng.randrange(FIRST_PARTS)}"
                parts = (common, f"subject{self._rng.randrange(20)}")
                if kind == "poison":
                    bad = f"bad{self._rng.randrange(load.bad_parts)}"
                    parts = (bad, common) if load.is_bad_first else (common, bad)
                seconds = self._rng.choice((0.2, 6.0)) * self._rng.uniform(0.5, 1.5)
                yield time, _Request(f"{kind}{next(self._numbers)}", parts, seconds)

    def _start(self) -> None:
        self._runners[f"r{next(self._numbers)}"] = set()

    def _send(self, request: _Request) -> None:
        if not request.is_poison:
            self.figures.sound += not request.sends
        if not self._way(self._known, request, self._now):
            if not request.is_poison:
                self.figures.refused += 1
                self.figures.lost += 1
            return
        if not self._runners:
            self.figures.lost += not request.is_poison
            return
        for part in request.parts:
            times = self._exit_times[part]
            if part.startswith("bad") and len(times) >= ALLOWED_EXITS:
                self._late[part] += self._now > times[ALLOWED_EXITS - 1] + REACTION_SECONDS
        request.sends += 1
        names = self._placement.sample(list(self._runners), min(2, len(self._runners)))
        runner = min(names, key=lambda name: len(self._runners[name]))
        there = self._runners[runner]
        there.add(request)
        self._at(self._now + PREFILL_SECONDS, lambda: self._begin(request, runner, there))

    def _begin(self, request: _Request, runner: str, there: set[_Request]) -> None:
        if request not in there:
            return
        request.has_begun = True
        if request.is_poison:
            self._at(self._now + POISON_SECONDS, lambda: request in there and self._crash(runner))
            return
        evidence = {part: set(self._known.exits[part]) for part in request.parts}
        proof = min(request.seconds, quarantine.PROOF_SECONDS)
        self._at(self._now + proof, lambda: self._prove(request, there, evidence))
        self._at(self._now + request.seconds, lambda: there.discard(request))

    def _prove(
        self, request: _Request, there: set[_Request], evidence: dict[str, set[str]]
    ) -> None:
        if request not in there:
            return
        request.is_proven = True
        for part, targets in evidence.items():
            for target in targets:
                self._known.exits[part].pop(target, None)
            if request.is_trial:
                self._known.trial_until.pop(part, None)

    def _crash(self, runner: str) -> None:
        if runner not in self._runners:
            return
        there = self._runners.pop(runner)
        self.figures.exits += 1
        self._at(self._now + RESTART_SECONDS, self._start)
        begun = [item for item in there if item.has_begun and not item.is_proven]
        waiting = [item for item in there if not item.has_begun]
        for request in begun or waiting:
            self._known.by_request[request.name].add(runner)
            for part in request.parts:
                self._known.exits[part][runner] = request.is_trial
                self._known.changed_at[part] = self._now
                self._known.trial_until.pop(part, None)
        for request in begun:
            for part in request.parts:
                self._exit_times[part].append(self._now)
        affected = sorted(there, key=lambda item: item.name)
        there.clear()
        for request in affected:
            request.has_begun = request.is_trial = False
            if request.sends < MAX_SENDS and not request.is_proven:
                self._send(request)
            elif not request.is_poison:
                self.figures.lost += 1


def simulate(load: Load, way: Way, seed: int) -> Figures:
    """Play a load once."""
    return _Simulation(load, way, seed).run()


def main() -> None:
    """Print the table for the design page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=50)
    plays = parser.parse_args().plays
    print("| load | way | targets ended a play | late sends, most | sound lost | refused |")
    print("| --- | --- | --- | --- | --- | --- |")
    for load in LOADS:
        for name, way in WAYS:
            found = [simulate(load, way, seed) for seed in range(plays if load.runners < 9 else 2)]
            sound = max(1, sum(item.sound for item in found))
            exits = sum(item.exits for item in found) / len(found)
            late = max(item.late_sends for item in found)
            lost = 1e4 * sum(item.lost for item in found) / sound
            refused = 1e4 * sum(item.refused for item in found) / sound
            print(f"| {load.name} | {name} | {exits:.1f} | {late} | {lost:.0f} | {refused:.0f} |")
    print("\nSound requests of 10,000.")


if __name__ == "__main__":
    main()
