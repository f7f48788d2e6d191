"""A request that ends each target that runs it, and comes again and again.

Users saw all model runners of a pool go down within two seconds, eleven times in eighty seconds;
the long streams on them were cut, and for seconds nothing of that pool was served.  Each time the
order of events was the same: a caller's short stream began on a runner, the runner's process ended
a tenth of a second later, the entry began the stream anew on the next runner, which ended too, the
caller came again at another entry, and that one did the same.  Seconds later the runners were back,
and so was the caller.

The cause: what an attempt has shown of a request was forgotten with the attempt.  Each entry took
each coming of the same request for a first one, and nobody told anybody.

The evidence: the users' record names one and the same request under which three runners had ended
when it was sent on; no attempt of it reached more runners than its route allows, so that our own
retries are not the cause; here, the lines `target.broke_off` show one fingerprint before all ends,
at all entries, with `reach` saying that the processes had ended; and with nothing changed but that
the fourth send is refused everywhere, the ends stop.
"""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes, platform_runner

DEADLY = b"a request that no runner survives"
BACK_SECONDS = 3.0
"""How long a runner is away after it ended."""
HEARTBEAT_SECONDS = 1.0
REACTION_SECONDS = 3.0
"""Time after the third end from which sends are counted against `MOST_SENDS`."""
MOST_SENDS = 3
"""Sends that such a request may still get over the whole fleet, whoever sends."""


class Pool:
    """Runners that end under a deadly request and come back under new ids.

    Attributes
    ----------
    ended_at : list of float
        Times of the event loop at which one ended.
    """

    def __init__(self, stage: gateway_lab.GatewayLab, name: str, length: int) -> None:
        self.ended_at: list[float] = []
        self.runners: list[platform_runner.PlatformRunner] = []
        self._stage = stage
        self._name = name
        self._length = length
        self._tasks = {asyncio.create_task(self._tell())}

    async def start_one(self) -> None:
        """Start one more runner."""
        target_id = f"{self._name}-{len(self.runners) + 1}"
        runner = await self._stage.add_runner(target_id, self._name, length=self._length)
        runner.deadly = frozenset({DEADLY})
        runner.on_crash = self._note_crash
        self.runners.append(runner)

    def _note_crash(self, runner: platform_runner.PlatformRunner) -> None:
        self.ended_at.append(asyncio.get_running_loop().time())
        self._tasks.add(asyncio.create_task(self._come_back()))

    async def _tell(self) -> None:
        """Send heartbeats of the runners that live."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for runner in self.runners:
                if not runner.has_crashed:
                    self._stage.beat(runner.target_id, self._name)

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_SECONDS)
        await self.start_one()

    def count_late_sends(self, body: bytes = DEADLY) -> int:
        """Sends of a request that began later than the reaction time after the third end."""
        if len(self.ended_at) < 3:
            return 0
        until = self.ended_at[2] + REACTION_SECONDS
        return sum(
            run.began > until and run.body == body for runner in self.runners for run in runner.ran
        )


class ComesAgainTest(gateway_scenes.GatewayCase):
    """The caller comes again at any entry for forty seconds."""

    entries = 4

    def play_coming_again(self, route: str, pool: str, length: int) -> None:
        """Have a deadly request come every two seconds, twice each time, beside others."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = Pool(stage, pool, length)
            for _ in range(5):
                await runners.start_one()
            await asyncio.sleep(0.5)
            others = []
            for number in range(20):
                for attempt in ("first", "again"):
                    entry = stage.entry_names[(2 * number + (attempt == "again")) % 4]
                    request_id = f"deadly-{number}-{attempt}"
                    answer = await stage.call(entry, route, request_id, body=DEADLY, Model="m")
                    self.assertFalse(answer.is_whole and answer.status == 200)
                await asyncio.sleep(1.7)
                entry = stage.entry_names[number % 4]
                others.append(await stage.call(entry, route, f"other-{number}", Model="m"))
            self.assertLessEqual(runners.count_late_sends(), MOST_SENDS)
            self.assertTrue(all(answer.is_whole for answer in others[3:]))
            self.assertEqual({answer.status for answer in others[3:]}, {200})

        self.play(scene)

    def test_request_that_comes_again_ends_few_targets(self) -> None:
        for route, pool, length in (
            ("verdict", "llm", 4),
            ("record", "llm", 4),
            ("price", "app", 0),
            ("order", "app", 0),
        ):
            with self.subTest(route):
                self.play_coming_again(route, pool, length)


if __name__ == "__main__":
    unittest.main()
