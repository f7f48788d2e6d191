"""Poison parts of prompts: each target that begins to answer a request with such a part exits."""

import asyncio
import dataclasses
import itertools
import unittest
from collections.abc import Sequence

from tillerlane.testing import caller, gateway_lab, gateway_scenes, poison_pool

MAX_LATE_SENDS = 3
"""Maximum number of sends of a poison part later than the reaction time after its fifth exit."""
TARGETS = 5
LENGTH = 20


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got; `sent_at` is the time of the event loop."""

    parts: tuple[str, ...]
    sent_at: float
    response: caller.CallerResponse

    @property
    def is_served(self) -> bool:
        """Whether the answer is complete."""
        return self.response.status == 200 and self.response.is_whole


class Callers:
    """Callers whose requests are all different, at all entries in turn."""

    def __init__(self, stage: gateway_lab.GatewayLab) -> None:
        self.answers: list[Answer] = []
        self._stage = stage
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[Answer]] = set()

    async def call(self, route: str, parts: Sequence[str]) -> Answer:
        """Send a request whose prompt has these parts and one of its own."""
        number = next(self._numbers)
        names = sorted(self._stage.entries)
        listed = [*parts, f"{number:x}e0"]
        sent_at = asyncio.get_running_loop().time()
        response = await self._stage.call(
            names[number % len(names)],
            route,
            f"r{number}",
            body=f"body {number}".encode(),
            Model="m",
            Token_Counts="200,80",
            Prompt_Prefix=",".join(f"{part}:50" for part in listed),
        )
        answer = Answer(tuple(parts), sent_at, response)
        self.answers.append(answer)
        return answer

    def start(self, route: str, parts: Sequence[str]) -> asyncio.Task[Answer]:
        """Send a request without waiting for its answer."""
        task = asyncio.create_task(self.call(route, parts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self) -> None:
        """Wait for all answers."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def compute_served(self, part: str, without: Sequence[str], since: float = 0.0) -> float:
        """Share of requests served that have one part and none of others."""
        found = [
            answer.is_served
            for answer in self.answers
            if part in answer.parts
            and not set(without) & set(answer.parts)
            and answer.sent_at >= since
        ]
        assert found, f"no requests with {part} alone"
        return sum(found) / len(found)


class PoisonPartCase(gateway_scenes.GatewayCase):
    """A pool of five targets, and several entries."""

    entries = 4

    async def start_pool(
        self, stage: gateway_lab.GatewayLab, parts: Sequence[str]
    ) -> poison_pool.PoisonPool:
        """Start the targets; they exit under requests with any of `parts`."""
        pool = poison_pool.PoisonPool(
            stage, frozenset(), "llm", LENGTH, parts=parts, reading_seconds=0.2
        )
        for _ in range(TARGETS):
            await pool.start_one()
        await asyncio.sleep(0.5)
        return pool

    def check_late_sends(self, pool: poison_pool.PoisonPool, *parts: str) -> None:
        for part in parts:
            self.assertLessEqual(pool.count_late_part_sends(part), MAX_LATE_SENDS, part)


class DifferentRequestsTest(PoisonPartCase):
    """No two requests with the part are alike."""

    def play_company(self, route: str) -> None:
        """Send poison requests every second, beside sound ones with the same first part."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, ["bad"])
            for number in range(80):
                if number % 2 == 0:
                    callers.start(route, ["aa", "bad"])
                callers.start(route, ["aa", f"c{number % 4}"])
                await asyncio.sleep(0.5)
            await callers.finish()
            self.check_late_sends(pool, "bad")
            fifth = (pool.list_part_exits("bad") + [0.0] * 5)[4]
            settled = fifth + 2 * poison_pool.REACTION_SECONDS
            self.assertGreater(callers.compute_served("aa", ["bad"], settled), 0.9)

        self.play(scene)

    def test_crashes_continue_under_different_requests_with_one_part(self) -> None:
        for route in ("verdict", "record"):
            with self.subTest(route):
                self.play_company(route)


if __name__ == "__main__":
    unittest.main()
