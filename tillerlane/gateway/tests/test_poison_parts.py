"""Poison parts of prompts: each target that begins to answer a request with such a part exits."""

import asyncio
import dataclasses
import itertools
import math
import unittest
from collections.abc import Awaitable, Callable, Sequence

from tillerlane.gateway import directory as directories
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

    async def call(self, route: str, parts: Sequence[str], body: bytes = b"") -> Answer:
        """Send a request whose prompt has these parts and one of its own."""
        number = next(self._numbers)
        names = sorted(self._stage.entries)
        listed = [*parts, f"{number:x}e0"]
        sent_at = asyncio.get_running_loop().time()
        response = await self._stage.call(
            names[number % len(names)],
            route,
            f"r{number}",
            body=body or f"body {number}".encode(),
            Model="m",
            Token_Counts="200,80",
            Prompt_Prefix=",".join(f"{part}:50" for part in listed),
        )
        answer = Answer(tuple(parts), sent_at, response)
        self.answers.append(answer)
        return answer

    def start(self, route: str, parts: Sequence[str], body: bytes = b"") -> None:
        """Send a request without waiting for its answer."""
        task = asyncio.create_task(self.call(route, parts, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all answers."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def compute_served(
        self, part: str, without: Sequence[str], since: float, seconds: float = math.inf
    ) -> float:
        """Share of the requests served that have one part and none of others, from a time on."""
        found = [
            answer.is_served
            for answer in self.answers
            if part in answer.parts
            and not set(without) & set(answer.parts)
            and since <= answer.sent_at < since + seconds
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

    def check_served(
        self, callers: Callers, pool: poison_pool.PoisonPool, bad: Sequence[str], *sound: str
    ) -> None:
        """Check that nearly all sound requests are served a while after the second crash."""
        exits = [pool.list_part_exits(part)[:2] for part in bad]
        settled_at = max(times[-1] for times in exits) + 2 * poison_pool.REACTION_SECONDS
        for part in sound:
            self.assertGreater(callers.compute_served(part, bad, settled_at), 0.9, part)


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
            self.check_served(callers, pool, ["bad"], "aa")

        self.play(scene)

    def test_crashes_continue_under_different_requests_with_one_part(self) -> None:
        for route in ("verdict", "record"):
            with self.subTest(route):
                self.play_company(route)

    def test_poison_streams_end_inside_their_first_event(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, ["bad"])
            pool.set_close_delimited()
            for _ in range(40):
                callers.start("verdict", ["aa", "bad"])
                callers.start("verdict", ["aa", "c0"])
                await asyncio.sleep(0.5)
            await callers.finish()
            self.check_late_sends(pool, "bad")
            self.check_served(callers, pool, ["bad"], "aa")

        self.play(scene)

    def test_part_crashes_targets_far_apart(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, ["bad"])
            for number in range(240):
                if number % 30 == 0:
                    callers.start("record", ["aa", "bad"])
                if number % 3 == 0:
                    callers.start("record", ["aa", f"c{number % 4}"])
                await asyncio.sleep(0.5)
            await callers.finish()
            self.assertLessEqual(len(pool.list_part_exits("bad")), 5)
            self.check_late_sends(pool, "bad")
            self.check_served(callers, pool, ["bad"], "aa")

        self.play(scene)

    def test_one_request_is_repeated_beside_others_with_the_part(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, ["bad"])
            for number in range(40):
                callers.start("verdict", ["aa", "bad"], body=b"repeated")
                callers.start("verdict", ["aa", "c0"])
                if number % 5 == 0:
                    callers.start("verdict", ["aa", "bad"])
                await asyncio.sleep(1.0)
            await callers.finish()
            self.check_late_sends(pool, "bad")
            self.check_served(callers, pool, ["bad"], "aa")

        self.play(scene)


class CompanyTest(PoisonPartCase):
    """Sound parts of poison requests, and sound requests on the same targets."""

    def play_parts(
        self, poison: Sequence[Sequence[str]], sound: Sequence[Sequence[str]], bad: Sequence[str]
    ) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, bad)
            for number in range(60):
                if number % 2 == 0:
                    callers.start("verdict", poison[number // 2 % len(poison)])
                callers.start("record", sound[number % len(sound)])
                await asyncio.sleep(0.5)
            await callers.finish()
            self.check_late_sends(pool, *bad)
            self.check_served(callers, pool, bad, *{part for parts in sound for part in parts})

        self.play(scene)

    def test_bad_part_is_the_first(self) -> None:
        self.play_parts([["bad", "c0", "c1"]], [["c0"], ["c0", "c1"]], ["bad"])

    def test_bad_part_is_in_the_middle(self) -> None:
        self.play_parts([["aa", "bad", "c1"]], [["aa"], ["aa", "c1"]], ["bad"])

    def test_several_bad_parts_at_once(self) -> None:
        poison = [["aa", "bad"], ["aa", "bad2", "c0"], ["aa", "bad3"]]
        self.play_parts(poison, [["aa"], ["aa", "c0"]], ["bad", "bad2", "bad3"])

    def test_two_bad_parts_in_one_request(self) -> None:
        poison = [["aa", "bad", "bad2"], ["aa", "bad2"], ["aa", "bad"]]
        self.play_parts(poison, [["aa"], ["aa", "c0"]], ["bad", "bad2"])

    def test_company_is_seen_sound_only_later(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, ["bad"])
            for _ in range(15):
                callers.start("verdict", ["aa", "bad"])
                await asyncio.sleep(1.0)
            began_at = asyncio.get_running_loop().time()
            for number in range(40):
                callers.start("verdict", ["aa", "bad"])
                callers.start("record", ["aa", f"c{number % 4}"])
                await asyncio.sleep(0.5)
            await callers.finish()
            self.check_late_sends(pool, "bad")
            self.assertGreater(callers.compute_served("aa", ["bad"], began_at), 0.85)

        self.play(scene)

    def test_part_that_was_sound_turns_bad(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, [])
            for _ in range(20):
                callers.start("record", ["aa", "bad"])
                await asyncio.sleep(0.5)
            await callers.finish()
            pool.set_parts(["bad"])
            for number in range(60):
                if number % 2 == 0:
                    callers.start("record", ["aa", "bad"])
                callers.start("record", ["aa", "c0"])
                await asyncio.sleep(0.5)
            await callers.finish()
            self.check_late_sends(pool, "bad")
            self.check_served(callers, pool, ["bad"], "aa")

        self.play(scene)


class TrialTest(PoisonPartCase):
    """Trials of requests with suspect parts."""

    entries = 1

    def test_trial_that_is_turned_away_does_not_block_the_next(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, [])
            stage.entries["entry-1"].quarantine.merge_evidence("part:aa", ["gone-1", "gone-2"])
            await asyncio.sleep(2.5)
            for target in pool.targets:
                target.refuses = True
            refused = await callers.call("record", ["aa", "c0"])
            self.assertEqual(refused.response.status, 503)
            for target in pool.targets:
                target.refuses = False
            await asyncio.sleep(2.0)
            self.assertTrue((await callers.call("record", ["aa", "c0"])).is_served)

        self.play(scene)

    def test_others_are_refused_until_the_outcome_of_a_trial(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            await self.start_pool(stage, [])
            stage.entries["entry-1"].quarantine.merge_evidence("part:aa", ["gone-1", "gone-2"])
            await asyncio.sleep(2.5)
            for _ in range(3):
                callers.start("record", ["aa", "c0"])
            await callers.finish()
            self.assertEqual(sum(answer.is_served for answer in callers.answers), 1)
            refused = [item.response for item in callers.answers if not item.is_served]
            self.assertEqual({item.headers["retry-after"] for item in refused}, {"1.00"})
            self.assertTrue((await callers.call("record", ["aa", "c0"])).is_served)

        self.play(scene)


class PersistenceTest(PoisonPartCase):
    """What is known outlives daemons."""

    keepers = 5
    desired_voters = 5

    def play_change(self, change: Callable[[gateway_lab.GatewayLab], Awaitable[None]]) -> None:
        """Send poison requests before and after a change."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, ["bad"])
            for _ in range(12):
                callers.start("verdict", ["aa", "bad"])
                callers.start("record", ["aa", "c0"])
                await asyncio.sleep(0.5)
            await callers.finish()
            exits = len(pool.list_part_exits("bad"))
            await change(stage)
            changed_at = asyncio.get_running_loop().time()
            for _ in range(10):
                callers.start("verdict", ["aa", "bad"])
                callers.start("record", ["aa", "c0"])
                await asyncio.sleep(0.5)
            await callers.finish()
            self.assertLessEqual(len(pool.list_part_exits("bad")), exits + 1)
            self.check_late_sends(pool, "bad")
            self.assertGreater(callers.compute_served("aa", ["bad"], changed_at), 0.85)

        self.play(scene)

    def test_all_entries_replaced(self) -> None:
        async def replace(stage: gateway_lab.GatewayLab) -> None:
            for name in list(stage.entries):
                await stage.kill_entry(name)
            await stage.start_new_entries(4)
            await asyncio.sleep(3.0)

        self.play_change(replace)

    def test_keepers_restarted_in_series(self) -> None:
        self.play_change(gateway_lab.GatewayLab.restart_keepers)

    def test_all_daemons_restarted(self) -> None:
        async def lose(stage: gateway_lab.GatewayLab) -> None:
            for name in list(stage.entries):
                await stage.kill_entry(name)
            await stage.lose_power([])
            await stage.start_new_entries(4)
            await asyncio.sleep(5.0)

        self.play_change(lose)


class UnrelatedCrashTest(PoisonPartCase):
    """Targets crash without a part to blame."""

    def play_crashes(self, times: Sequence[float]) -> None:
        """Crash all targets at each of the times, under requests that have parts in common."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            callers = Callers(stage)
            pool = await self.start_pool(stage, [])
            began_at = asyncio.get_running_loop().time()

            async def crash_all() -> None:
                for target in pool.targets:
                    if not target.has_crashed:
                        target.crash()
                        target.on_crash(target)

            for seconds in times:
                asyncio.get_running_loop().call_later(
                    seconds, lambda: asyncio.ensure_future(crash_all())
                )
            for number in range(int(4 * (times[-1] + 15.0))):
                callers.start("record", ["aa", f"c{number % 3}"])
                await asyncio.sleep(0.25)
            await callers.finish()
            for seconds in times:
                back_at = began_at + seconds + poison_pool.RESTART_DELAY_SECONDS
                self.assertGreater(callers.compute_served("aa", [], back_at + 2.0, 3.0), 0.95)

        self.play(scene)

    def test_all_targets_crash_at_once(self) -> None:
        self.play_crashes([5.0])

    def test_all_targets_crash_again_and_again(self) -> None:
        self.play_crashes([5.0, 15.0, 25.0, 35.0])


class PlannedStopTest(PoisonPartCase):
    """A run that has got past its beginning is moved off a leaving target."""

    def test_run_with_a_suspect_part_is_moved(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=100)
            await asyncio.sleep(0.2)
            entry = next(iter(stage.entries.values()))
            await asyncio.sleep(0.2)
            headers = {"Prompt_Prefix": "aa:100,e0:5", **gateway_scenes.LONG}
            task = asyncio.create_task(stage.call("entry-1", "record", "r1", **headers))
            await asyncio.sleep(1.0)
            entry.quarantine.merge_evidence("part:aa", ["gone-1", "gone-2"])
            second = await stage.add_runner("t2", "llm", length=100)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.6)
            self.assertEqual((len(first.stopped), len(second.ran)), (1, 1))
            self.assertTrue((await task).is_whole)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
