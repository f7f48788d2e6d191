"""Backup copies: two rules for when they are made, in a pool whose runners leave."""

import heapq
import random
import unittest
from collections.abc import Callable

from tillerlane.decisions import copies

RUNNERS = 20
MEMORY_TOKENS = 26_839
RUN_TOKENS = 3_400
RUN_SECONDS = 7.0
WAVE_SECONDS = 3.3
LEAVING = 4
"""Runners that leave in each wave; empty ones join `REPLACEMENT_SECONDS` later."""
REPLACEMENT_SECONDS = 4.0
MAX_MOVES = 5
"""Runs that the link of a leaving runner can copy within its notice."""
SECONDS = 60.0
SEEDS = range(1, 13)

Rule = Callable[[list[int], int], bool]
"""(memory in use at each runner, at the destination) decides on a copy."""


def decide_by_pool(used: list[int], destination: int) -> bool:
    """Copy by the share of the pool's memory in use."""
    return copies.should_back_up(sum(used), len(used) * MEMORY_TOKENS, RUN_TOKENS)


def decide_by_destination(used: list[int], destination: int) -> bool:
    """Copy by the share of the destination's memory in use, 0.6 without reservations."""
    return destination + RUN_TOKENS <= MEMORY_TOKENS * 0.6


def simulate(decide: Rule, load: float, seed: int) -> tuple[float, float]:
    """Simulate long runs on a pool; return the parts that were served and copied.

    Runs move to the emptiest runner, or to their copies, from those that leave.
    """
    rng = random.Random(seed)
    rate = load * RUNNERS * MEMORY_TOKENS / (RUN_TOKENS * RUN_SECONDS)
    used, up_at = [0] * RUNNERS, [0.0] * RUNNERS
    runs: dict[int, tuple[int, int | None]] = {}
    events = [(rng.expovariate(rate), 0), (WAVE_SECONDS, -1)]  # an arrival is 0, a wave is -1
    arrived = failed = copied = 0
    while events:
        now, run = heapq.heappop(events)
        if now > SECONDS:
            break
        ready = [runner for runner in range(RUNNERS) if up_at[runner] <= now]
        if run > 0 and run in runs:
            for runner in runs.pop(run):
                if runner is not None:
                    used[runner] -= RUN_TOKENS
        elif run == 0:
            heapq.heappush(events, (now + rng.expovariate(rate), 0))
            arrived += 1
            best, second = sorted(ready, key=lambda runner: used[runner])[:2]
            if used[best] + RUN_TOKENS > MEMORY_TOKENS * 0.95:
                failed += 1
                continue
            used[best] += RUN_TOKENS
            is_copied = decide([used[runner] for runner in ready], used[second])
            used[second] += RUN_TOKENS * is_copied
            copied += is_copied
            runs[arrived] = (best, second if is_copied else None)
            heapq.heappush(events, (now + rng.expovariate(1 / RUN_SECONDS), arrived))
        elif run < 0:
            heapq.heappush(events, (now + WAVE_SECONDS, -1))
            leaving = rng.sample(ready, min(LEAVING, len(ready) - 2))
            staying = [runner for runner in ready if runner not in leaving]
            moves = dict.fromkeys(leaving, 0)
            for key, (runner, copy) in list(runs.items()):
                copy = None if copy in leaving else copy
                runs[key] = (runner, copy)
                if runner not in leaving:
                    continue
                target = min(staying, key=lambda other: used[other]) if copy is None else copy
                moves[runner] += copy is None
                if copy is None and used[target] + RUN_TOKENS <= MEMORY_TOKENS:
                    used[target] += RUN_TOKENS
                elif copy is None:
                    moves[runner] = MAX_MOVES + 1
                if moves[runner] > MAX_MOVES:
                    failed += 1
                    del runs[key]
                else:
                    runs[key] = (target, None)
            for runner in leaving:
                used[runner], up_at[runner] = 0, now + REPLACEMENT_SECONDS
    return (arrived - failed) / arrived, copied / arrived


class RuleTest(unittest.TestCase):
    """The share of the pool in use, against a fixed share of the destination alone."""

    def test_copies_do_not_displace_runs_of_a_full_pool(self) -> None:
        """By the destination alone, copies filled each runner that had just started."""
        for load in (0.45, 0.55, 0.65):
            by_pool = sum(simulate(decide_by_pool, load, seed)[0] for seed in SEEDS)
            former = sum(simulate(decide_by_destination, load, seed)[0] for seed in SEEDS)
            self.assertGreater(by_pool, former, load)

    def test_nearly_all_runs_have_copies_where_memory_is_plentiful(self) -> None:
        served, copied = simulate(decide_by_pool, 0.15, 1)
        self.assertEqual(served, 1.0)
        self.assertGreater(copied, 0.9)


if __name__ == "__main__":
    unittest.main()
