"""Messages, bytes and processor time of workspaces' shares, by fleet size.

    python -m benchmarks.shares

Entries and keepers exchange load reports and digests at the rates of `gateway.entry` and
`gateway.control`, in simulated time and without a network, while requests wait for a pool; once
without and once with the counters of workspaces.
"""

import collections
import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

from tillerlane.gateway import control, entry
from tillerlane.gateway.load import aggregation as loads
from tillerlane.peers import codec, messages
from tillerlane.testing import load_side

__all__ = ["Figures", "measure"]

FLEETS = ((27, 24), (100, 350))
"""Entries and workspaces."""
KEEPERS = 5
SECONDS = 10.0
REQUESTS_PER_ENTRY = 1.13
"""Prompts per second and entry on the first deployment."""
PROMPT_TOKENS = 2_700
RUN_SECONDS = 3.0
WAIT_SECONDS = 0.3
STEP_SECONDS = 0.02
POOL = "llm"


@dataclasses.dataclass(slots=True)
class Figures:
    """Messages and bytes by direction, and seconds of processor time by operation."""

    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    sizes: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    seconds: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    calls: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def send(self, direction: str, body: messages.Body, receivers: int) -> None:
        size = len(codec.encode(messages.Envelope(1, 1, 0, body)))
        self.counts[direction] += receivers
        self.sizes[direction] += receivers * size

    def time(self, name: str, call: Callable[[], Any]) -> Any:
        began = time.perf_counter()
        result = call()
        self.seconds[name] += time.perf_counter() - began
        self.calls[name] += 1
        return result


class _Side(load_side.LoadSide):
    """An entry that reports at the rates of `gateway.entry`."""

    reported_at = 0.0

    def is_due(self, now: float) -> bool:
        age = now - self.reported_at
        has_changed = self.usage.changed or self.shares.changed
        return (
            (self.usage.urgent.is_set() and age >= entry.URGENT_LOADS_INTERVAL_SECONDS)
            or (has_changed and age >= entry.LOADS_INTERVAL_SECONDS)
            or age >= entry.MAX_LOADS_INTERVAL_SECONDS
        )


def _pick_workspaces(rng: random.Random, number: int) -> Callable[[], str]:
    """Skewed demand: a workspace's part falls with its rank; of 24 the largest sends 27%."""
    weights = [1 / rank for rank in range(1, number + 1)]
    names = [f"workspace-{rank}" for rank in range(1, number + 1)]
    return lambda: rng.choices(names, weights)[0]


def measure(entries: int, workspaces: int, *, has_shares: bool) -> Figures:
    """Exchange loads for some seconds while every request waits."""
    rng = random.Random(1)
    pick = _pick_workspaces(rng, workspaces)
    sides = [_Side(f"entry-{number}") for number in range(entries)]
    keepers = [loads.LoadAggregator(f"keeper-{number}", 1) for number in range(KEEPERS)]
    targets = [f"10.0.9.{number}:9000" for number in range(round(20 / 27 * entries))]
    events: dict[int, list[Callable[[float], None]]] = collections.defaultdict(list)
    figures = Figures()

    def arrive(step: int, now: float) -> None:
        for side in sides:
            if rng.random() < REQUESTS_PER_ENTRY * STEP_SECONDS:
                workspace, target = pick(), rng.choice(targets)
                if has_shares:
                    side.shares.record_waiting(POOL, workspace, 5, 1, PROMPT_TOKENS)
                sent = step + round(rng.expovariate(1 / WAIT_SECONDS) / STEP_SECONDS)
                events[sent + 1].append(
                    lambda now, s=side, w=workspace, t=target: send(s, w, t, now)
                )

    def send(side: _Side, workspace: str, target: str, now: float) -> None:
        if has_shares:
            side.shares.record_waiting(POOL, workspace, 5, -1, -PROMPT_TOKENS)
            side.shares.record_served(POOL, workspace, PROMPT_TOKENS, now)
            name = "one debt, levels out of date"
            figures.time(name, lambda: side.shares.compute_debt(POOL, workspace, now + 1e-3))
            name = "one debt"
            figures.time(name, lambda: side.shares.compute_debt(POOL, workspace, now + 1e-3))
        side.usage.add(target, requests=1, tokens=PROMPT_TOKENS, unread=PROMPT_TOKENS)
        steps = [
            round(now / STEP_SECONDS) + round(wait / STEP_SECONDS) for wait in (0.4, RUN_SECONDS)
        ]
        events[steps[0]].append(lambda now: side.usage.add(target, unread=-PROMPT_TOKENS))
        events[steps[1]].append(
            lambda now: side.usage.add(target, requests=-1, tokens=-PROMPT_TOKENS)
        )

    def report(side: _Side, keeper: loads.LoadAggregator, now: float) -> None:
        side.reported_at = now

        body = figures.time("entry builds a report", lambda: side.build_report(now))
        figures.send("entry to keeper", body, 1)
        figures.time("keeper handles a report", lambda: keeper.handle_report(body, now))

    def push(number: int, now: float, *, is_due: bool, is_paced: bool) -> None:
        keeper = keepers[number]
        forwarded = keeper.build_forwarded()
        if forwarded is not None:
            figures.send("keeper to keeper", forwarded, KEEPERS - 1)
            for other in keepers:
                if other is not keeper:
                    figures.time(
                        "keeper handles a batch",
                        lambda other=other: other.handle_forwarded(forwarded, now),
                    )
        least = loads.MIN_CHANGE_TOKENS if is_paced else loads.URGENT_CHANGE_TOKENS
        digest = figures.time(
            "keeper builds a digest", lambda: keeper.build_delta_digest(least, is_due=is_due)
        )
        if digest is None:
            return
        subscribers = sides[number::KEEPERS]
        figures.send("keeper to entry", digest, len(subscribers))
        for side in subscribers:
            included = keeper.get_included_sequence(side.name)
            sent = dataclasses.replace(digest, included=included, whole=now < 0.1)
            figures.time("entry handles a digest", lambda s=side, d=sent: s.handle_digest(d, now))

    for step in range(1, round(SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        arrive(step, now)
        for event in events.pop(step, ()):
            event(now)
        for number, side in enumerate(sides):
            if side.is_due(now):
                report(side, keepers[number % KEEPERS], now)
        every_second = step % round(control.MAX_LOADS_INTERVAL_SECONDS / STEP_SECONDS) == 0
        paced = step % round(control.LOADS_INTERVAL_SECONDS / STEP_SECONDS) == 0
        for number in range(KEEPERS):
            push(number, now, is_due=every_second or step < 3, is_paced=paced or every_second)
    return figures


def _print_traffic(entries: int, figures: Figures, label: str) -> None:
    counts = {"entry to keeper": entries, "keeper to entry": entries, "keeper to keeper": KEEPERS}
    for direction, ends in counts.items():
        number = figures.counts[direction] / ends / SECONDS
        size = figures.sizes[direction] / max(1, figures.counts[direction])
        print(f"| {label} | {direction} | {number:.1f} | {size:.0f} | {number * size / 1000:.1f} |")


def main() -> None:
    """Print the tables."""
    print("| fleet | direction | messages/s per sender or receiver | bytes | kB/s |")
    print("| --- | --- | --- | --- | --- |")
    rows = []
    for entries, workspaces in FLEETS:
        for has_shares in (False, True):
            figures = measure(entries, workspaces, has_shares=has_shares)
            label = f"{entries} entries, {workspaces if has_shares else 'no'} workspaces"
            _print_traffic(entries, figures, label)
            rows += [
                f"| {label} | {name} | {seconds / figures.calls[name] * 1e6:.0f} |"
                for name, seconds in sorted(figures.seconds.items())
            ]
    print("\n| fleet | operation | us |\n| --- | --- | --- |")
    print("\n".join(rows))


if __name__ == "__main__":
    main()
