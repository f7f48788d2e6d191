"""Permits issued and used, with late or lost replies and changes of the issuer."""

import asyncio
import dataclasses
import random
import unittest

from hypothesis import example, given, strategies

from tillerlane.gateway.backpressure import grants, limits, permits
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.testing import lab, limit_scenes, profiles

TARGET = "t1"
SECONDS = 15.0
KEEPERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults: fractions of late and lost replies, and losses of the issuer a second."""

    late: float = 0.0
    lost: float = 0.0
    changes: float = 0.0
    saves: bool = False
    """Whether entries accumulate permits and use them all at the same times."""


class Fleet:
    """Entries with more requests than permits, and keepers of which at most one issues permits.

    Parameters
    ----------
    entries : int
        Number of entries.
    limit : float
        Limit of the target, in requests a second.
    faults : Faults
        Faults to inject.
    rng : random.Random
        Random source of the faults.
    """

    def __init__(self, entries: int, limit: float, faults: Faults, rng: random.Random) -> None:
        self.sent: list[float] = []
        self._loop = asyncio.get_running_loop()
        self._faults = faults
        self._rng = rng
        self._limit = limit
        self._entries = entries
        self._leader: int | None = 0
        self._term = 1
        self._keepers = [self._build_keeper(number) for number in range(KEEPERS)]
        self._tasks = [self._loop.create_task(self._generate(number)) for number in range(entries)]
        self._tasks.append(self._loop.create_task(self._change_leaders()))

    def _build_keeper(self, number: int) -> grants.PermitIssuer:
        def get_term() -> int | None:
            return self._term if self._leader == number else None

        return grants.PermitIssuer(limits.Limits(), get_term, lambda: None, self._loop.time)

    async def _change_leaders(self) -> None:
        while self._faults.changes:
            await asyncio.sleep(self._rng.expovariate(self._faults.changes))
            self._leader = None
            await asyncio.sleep(self._rng.uniform(0.1, 6.0))
            self._term += 1
            self._leader = self._rng.randrange(KEEPERS)

    async def _request(self, wishes: list[messages.PermitWish]) -> list[messages.PermitGrant]:
        leader = self._leader
        if leader is None:
            raise links.LinkLost("no leader")
        if self._rng.random() < self._faults.late:
            await asyncio.sleep(self._rng.uniform(0.0, permits.REPLY_TIMEOUT_SECONDS))
        reply = await self._keepers[leader].handle_request(messages.PermitRequest(wishes))
        if self._rng.random() < self._faults.lost:
            raise links.LinkLost("the reply was lost")
        return reply.grants

    def _start_entry(self, number: int) -> permits.Permits:
        table = limits.Limits()
        table.merge([limits.LimitRecord(TARGET, self._limit, 1, self._loop.time())])
        entry = permits.Permits(f"entry-{number}", table, self._loop.time)
        entry.request_grants = self._request
        entry.entries = self._entries
        self._tasks.append(self._loop.create_task(entry.run()))
        return entry

    async def _generate(self, number: int) -> None:
        """Give an entry more requests than it may send; each waits for one reply."""
        entry = self._start_entry(number)
        while True:
            await asyncio.sleep(self._rng.expovariate(3 * self._limit / self._entries))
            if not entry.can_send(TARGET):
                entry.queue_request(TARGET)
                await entry.wait_for_reply(0.1)
            is_held_back = self._faults.saves and self._loop.time() % 3.0 > 0.5
            if is_held_back:
                entry.queue_request(TARGET)
            while entry.can_send(TARGET) and not is_held_back:
                entry.record_send(TARGET)
                self.sent.append(self._loop.time())
                is_held_back = not self._faults.saves

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()


def play(entries: int, limit: float, faults: Faults, seed: int) -> list[float]:
    """Times of all sends."""

    async def run() -> list[float]:
        fleet = Fleet(entries, limit, faults, random.Random(seed))
        await asyncio.sleep(SECONDS)
        fleet.stop()
        return fleet.sent

    return lab.run_virtual(run())


class PermitsTest(unittest.TestCase):
    """Requests of all entries within any window."""

    @profiles.choose(15)
    @given(
        strategies.integers(1, 30),
        strategies.sampled_from([0.5, 1.9, 6.0, 20.0]),
        strategies.integers(0, 10**6),
    )
    @example(6, 20.0, 1)
    @example(1, 20.0, 1)
    def test_late_or_lost_replies_break_no_bound(
        self, entries: int, limit: float, seed: int
    ) -> None:
        for saves in (False, True):
            sent = play(entries, limit, Faults(late=0.2, saves=saves), seed)
            self.assertLessEqual(limit_scenes.count_peak(sent), limit * 4 + 5)

    @profiles.choose(15)
    @given(
        strategies.integers(1, 30),
        strategies.sampled_from([0.5, 1.9, 6.0, 20.0]),
        strategies.integers(0, 10**6),
    )
    @example(6, 20.0, 1)
    @example(1, 20.0, 1)
    def test_changes_of_the_issuer_and_lost_replies_keep_to_the_users_bound(
        self, entries: int, limit: float, seed: int
    ) -> None:
        sent = play(entries, limit, Faults(late=0.2, lost=0.1, changes=0.3), seed)
        self.assertLessEqual(limit_scenes.count_peak(sent), 1.5 * limit * 4 + 5)

    def test_most_of_the_limit_is_used(self) -> None:
        for entries in (1, 6, 40):
            for limit in (1.9, 20.0):
                with self.subTest(entries=entries, limit=limit):
                    sent = play(entries, limit, Faults(), 1)
                    self.assertGreater(len(sent), 0.85 * limit * (SECONDS - 1.0))

    def test_unused_permits_are_returned(self) -> None:
        async def scene() -> tuple[int, int]:
            fleet = Fleet(0, 2.0, Faults(), random.Random(1))
            idle, busy = fleet._start_entry(1), fleet._start_entry(2)
            used = 0
            for _ in range(200):
                idle.queue_request(TARGET)
                busy.queue_request(TARGET)
                await asyncio.sleep(0.05)
                if busy.can_send(TARGET):
                    busy.record_send(TARGET)
                    used += 1
            fleet.stop()
            return used, idle.unused

        used, unused = lab.run_virtual(scene())
        self.assertGreater(unused, 0)
        self.assertGreater(used, 0.5 * 2.0 * 10)


if __name__ == "__main__":
    unittest.main()
