"""Reservations of memory: when they are needed, and how much memory long runs leave free."""

import random
import unittest

from tillerlane.decisions import placing, queueing, reserving
from tillerlane.testing import engine_play

MEMORY_TOKENS = 26_839
SLOTS = 24
RUNNERS = 16
WAVE_SECONDS = 3.3
WAVE_RUNS = 24
"""Long runs that four leaving runners hand over to the others every 3.3 s."""
LONG_TOKENS = 3_079
LONG_EVENTS = 187
SMOOTHED_WAVES = 1.3
"""Moved memory as an entry counts it (`gateway.moved_loads`), on average, relative to a wave."""
SECONDS = 16.0


class NeedTest(unittest.TestCase):
    """Whether a request reserves memory."""

    def test_only_above_the_share_of_memory_or_slots(self) -> None:
        """Every request paid a round trip, or none was protected from unreported requests."""
        share = reserving.RESERVE_ABOVE_SHARE
        bound = int(MEMORY_TOKENS * share)
        for load, requests, expected in (
            (0, 0, False),
            (bound - 2_500, 4, False),
            (bound - 2_400, 4, True),
            (0, int(SLOTS * share) - 1, False),
            (0, int(SLOTS * share), True),
        ):
            found = reserving.should_reserve(load, 2_500, MEMORY_TOKENS, requests, SLOTS)
            self.assertEqual(found, expected, (load, requests))

    def test_at_an_empty_runner_of_a_full_pool(self) -> None:
        """Waiting requests of all entries were sent to a runner that had just started."""
        self.assertTrue(reserving.should_reserve(0, 2_500, MEMORY_TOKENS, 0, SLOTS, 0.9))


class LongShareTest(unittest.TestCase):
    """Memory that new long runs leave free."""

    def compute(self, written_tokens: float = 300, moved_tokens: float = 0) -> float:
        """Compute the share for a long run of the usual size."""
        return reserving.compute_long_share(
            MEMORY_TOKENS, LONG_TOKENS + 300, 300, written_tokens, moved_tokens
        )

    def test_grows_with_expected_output_and_moved_runs_and_is_bounded(self) -> None:
        """A pool that no runner leaves kept memory idle, or one with many had none for them."""
        self.assertEqual(self.compute(), 1 - reserving.MIN_HEADROOM_SHARE)
        self.assertLess(self.compute(written_tokens=900), self.compute())
        self.assertLess(self.compute(moved_tokens=3_000), self.compute())
        self.assertEqual(self.compute(moved_tokens=1e6), 1 - reserving.MAX_HEADROOM_SHARE)

    def count_without_room(self, long_share: float, seed: int) -> int:
        """Simulate a full pool; return how often moved runs found no memory."""
        rng = random.Random(seed)
        pool = [
            engine_play.RunnerSpec((1.0, 1.0, 1.3)[number % 3], MEMORY_TOKENS, SLOTS)
            for number in range(RUNNERS)
        ]
        kinds = {"long": (8.1, LONG_TOKENS, LONG_EVENTS), "short": (22.1, 2_550, 2)}
        arrivals = engine_play.sample_arrivals(rng, SECONDS, kinds)
        for number in range(WAVE_RUNS * int(SECONDS / WAVE_SECONDS)):
            at = WAVE_SECONDS * (1 + number // WAVE_RUNS) + 0.05 * (number % WAVE_RUNS)
            prompt, events = int(rng.gauss(3_400, 900)), rng.randrange(20, LONG_EVENTS)
            moved = engine_play.Arrival(at, "moved", max(500, prompt), events, is_copied=True)
            arrivals.append(moved)
        no_room = 0
        latest: list[placing.CandidateLoad] = []
        sent = [0] * RUNNERS

        def choose(
            work: placing.Work, loads: list[placing.CandidateLoad], event_seconds: float
        ) -> int | None:
            nonlocal no_room
            if loads != latest:  # a new report; until then own sends count, as reservations do
                latest[:], sent[:] = loads, [0] * RUNNERS
            is_moved, is_long = not work.prompt_tokens, work.events > 10
            share = long_share if is_long and not is_moved else 1.0
            objective = 4.0 if is_long else 1.5
            fitting = [
                position
                for position, load in enumerate(loads)
                if load.tokens + sent[position] + work.memory_tokens <= MEMORY_TOKENS * share
                and (
                    is_moved
                    or queueing.can_start(
                        load.unread, work.prompt_tokens, objective, is_long=is_long
                    )
                )
            ]
            if not fitting:
                no_room += is_moved
                return None
            best = min(
                fitting,
                key=lambda position: placing.estimate_cost(work, loads[position], event_seconds),
            )
            sent[best] += work.memory_tokens
            return best

        arrivals.sort(key=lambda item: item.at)
        engine_play.play(pool, arrivals, choose, report_age_seconds=0.02)
        return no_room

    def test_moved_runs_find_memory(self) -> None:
        """Runs of leaving runners found none within their notice where long runs took 0.95."""
        moved_tokens = SMOOTHED_WAVES * WAVE_RUNS * (LONG_TOKENS + 300) / RUNNERS
        share = self.compute(moved_tokens=moved_tokens)
        for seed in (1, 2):
            fixed = self.count_without_room(0.95, seed)
            self.assertGreater(fixed, 0)
            self.assertLess(self.count_without_room(share, seed), fixed / 2)


if __name__ == "__main__":
    unittest.main()
