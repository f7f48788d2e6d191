"""Streams are resumed only by runners with the software version that began them."""

import asyncio
import unittest
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.testing import (
    caller,
    gateway_lab,
    gateway_scenes,
    platform_runner,
    resumed_streams,
)

LENGTH = 60
FIRST, SECOND = "v1", "v1.1"
STREAMS = 8
EVENT_SECONDS = 0.03
"""Usual time of a runner for an event."""


class VersionCase(gateway_scenes.GatewayCase):
    """Base class of tests with runners of several software versions in one pool."""

    entries = 2

    async def add_runners(
        self, stage: gateway_lab.GatewayLab, *versions: str, **more: Any
    ) -> list[platform_runner.PlatformRunner]:
        """Start a runner of each version, and wait until the entries know them."""
        started = len(stage.runners)
        runners = [
            await stage.add_runner(
                f"t{number}", "llm", length=LENGTH, software_version=version, **more
            )
            for number, version in enumerate(versions, started + 1)
        ]
        await asyncio.sleep(0.3)
        return runners

    def start_streams(
        self, stage: gateway_lab.GatewayLab, route: str, count: int = STREAMS, **headers: str
    ) -> dict[str, asyncio.Task[caller.CallerResponse]]:
        """Start streams of a route at the first entry."""
        return {
            request_id: asyncio.create_task(stage.call("entry-1", route, request_id, **headers))
            for request_id in (f"{route}-{number}" for number in range(count))
        }

    async def resume(
        self,
        stage: gateway_lab.GatewayLab,
        started: dict[str, caller.CallerResponse],
        entry: str = "entry-2",
    ) -> dict[str, caller.CallerResponse]:
        """Resume streams at an entry, as their callers do."""

        async def call(request_id: str, response: caller.CallerResponse) -> caller.CallerResponse:
            return await stage.call(
                entry,
                "verdict",
                f"{request_id}-again",
                Last_Event_Id=str(resumed_streams.find_last_event(response.body)),
                Resumes=request_id,
            )

        responses = await asyncio.gather(*(call(*item) for item in started.items()))
        return dict(zip(started, responses, strict=True))

    def list_versions(self, stage: gateway_lab.GatewayLab, request_id: str) -> list[str]:
        """Versions of the runners that sent events of a stream, over its caller's attempts."""
        runs = gateway_scenes.list_runs(stage, request_id)
        runs += gateway_scenes.list_runs(stage, f"{request_id}-again")
        return [run.software_version for run in runs if run.events >= run.first_event]

    def check_one_version(self, stage: gateway_lab.GatewayLab, request_ids: dict[str, Any]) -> None:
        """Check that no stream holds events of runners of two versions."""
        mixed = {
            item: versions
            for item in request_ids
            if len(set(versions := self.list_versions(stage, item))) > 1
        }
        self.assertEqual(mixed, {})

    def check_resumed(self, responses: dict[str, caller.CallerResponse]) -> None:
        """Check that all streams were resumed and completed."""
        refused = {
            item: (response.status, response.is_whole)
            for item, response in responses.items()
            if response.status != 200 or not response.is_whole
        }
        self.assertEqual(refused, {})


class OneResponseTest(VersionCase):
    """The entry itself resumes a stream, within one response."""

    def test_run_of_a_leaving_runner_moves_to_another_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST)
            calls = self.start_streams(stage, "record", **gateway_scenes.LONG)
            await asyncio.sleep(0.4)
            await self.add_runners(stage, SECOND, SECOND, FIRST)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.gather(*calls.values())
            self.check_one_version(stage, calls)
            self.check_resumed({item: call.result() for item, call in calls.items()})

        self.play(scene)

    def test_run_is_resumed_from_a_backup_copy_at_another_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            calls = self.start_streams(stage, "record", 3 * STREAMS, **gateway_scenes.LONG)
            await asyncio.sleep(0.7)
            self.assertTrue(any("kv-backup" in run.headers for run in runners[0].ran))
            runners[0].crash()
            await asyncio.gather(*calls.values())
            self.check_one_version(stage, calls)

        self.play(scene)

    def test_new_run_continues_a_stream_at_another_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            runners[0].crash()
            runners[2].crash()
            await asyncio.gather(*calls.values())
            self.check_one_version(stage, calls)
            self.check_resumed({item: call.result() for item, call in calls.items()})

        self.play(scene)


class CallerResumesTest(VersionCase):
    """A caller resumes its stream at an entry that has not seen it."""

    def test_runner_of_another_version_starts_while_the_request_waits(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            [first] = await self.add_runners(stage, FIRST)
            call = stage.call("entry-1", "verdict", "r1", leave_after=0.5)
            response = await call
            self.assertGreater(resumed_streams.find_last_event(response.body), 0)
            first.refuses, first.rejection_seconds = True, 0.5
            resumed = asyncio.create_task(self.resume(stage, {"r1": response}))
            await asyncio.sleep(0.1)
            await self.add_runners(stage, SECOND)
            await resumed
            self.check_one_version(stage, {"r1": None})

        self.play(scene)

    async def break_streams(
        self, stage: gateway_lab.GatewayLab, calls: dict[str, Any]
    ) -> dict[str, caller.CallerResponse]:
        """Kill the entry that relays streams; returns what their callers have of them."""
        await stage.kill_entry("entry-1")
        await asyncio.gather(*calls.values())
        return {item: call.result() for item, call in calls.items()}

    def test_stream_of_a_killed_entry_is_resumed_at_another_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            again = await self.resume(stage, await self.break_streams(stage, calls))
            self.check_one_version(stage, again)
            self.check_resumed(again)

        self.play(scene)

    def test_stream_that_began_before_a_second_version_is_resumed_at_it(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.3)
            await self.add_runners(stage, SECOND, SECOND)
            again = await self.resume(stage, await self.break_streams(stage, calls))
            self.check_one_version(stage, again)
            self.check_resumed(again)

        self.play(scene)

    def test_stream_whose_keepers_were_lost_is_resumed_at_another_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            for name in ("keeper-1", "keeper-2"):
                await stage.kill_keeper(name)
                await stage.start_keeper(name)
            started = await self.break_streams(stage, calls)
            await asyncio.sleep(1.5)
            again = await self.resume(stage, started)
            self.check_one_version(stage, again)
            self.check_resumed(again)

        self.play(scene)

    def test_stream_that_no_keeper_heard_of_is_resumed_at_another_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            stage.network.isolate("entry-1")
            await asyncio.sleep(0.1)
            calls = self.start_streams(stage, "verdict", 3 * STREAMS)
            await asyncio.sleep(0.5)
            again = await self.resume(stage, await self.break_streams(stage, calls))
            self.check_one_version(stage, again)
            for response in again.values():
                self.assertIn(response.status, (200, 503))
                self.assertTrue(response.is_whole)

        self.play(scene)

    def test_stream_that_keepers_heard_of_late_is_refused(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND, pace=0.1)
            stage.network.isolate("entry-1")
            await asyncio.sleep(0.1)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(1.5)
            stage.network.heal()
            await asyncio.sleep(1.5)
            again = await self.resume(stage, await self.break_streams(stage, calls))
            self.check_one_version(stage, again)
            self.check_resumed(again)

        self.play(scene)

    def test_silent_keeper_delays_resumed_streams(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            started = await self.break_streams(stage, calls)
            stage.network.cut("keeper-1", "entry-2")
            again = await self.resume(stage, started)
            self.check_one_version(stage, again)
            self.check_resumed(again)
            left = LENGTH - min(
                resumed_streams.find_last_event(item.body) for item in started.values()
            )
            for response in again.values():
                self.assertLess(response.seconds, left * EVENT_SECONDS + 0.1)

        self.play(scene)

    def test_keepers_that_answer_late_are_taken_for_not_knowing_a_stream(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            started = await self.break_streams(stage, calls)
            for name in stage.keepers:
                stage.network.cut(name, "entry-2")
            await asyncio.sleep(0.2)
            resuming = asyncio.create_task(self.resume(stage, started))
            await asyncio.sleep(0.18)
            stage.network.heal()
            again = await resuming
            self.check_one_version(stage, again)
            self.check_resumed(again)

        self.play(scene)

    def test_stream_resumed_before_a_second_version_is_resumed_again_at_it(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST)
            stage.add_entry("entry-3")
            await stage.start_entry("entry-3")
            await asyncio.sleep(3.0)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.3)
            started = await self.break_streams(stage, calls)
            resuming = asyncio.create_task(self.resume(stage, started))
            await asyncio.sleep(0.2)
            await self.add_runners(stage, SECOND, SECOND)
            await stage.kill_entry("entry-2")
            for item, response in (await resuming).items():
                started[item].body += response.body
            last = await self.resume(stage, started, "entry-3")
            self.check_one_version(stage, last)
            self.check_resumed(last)

        self.play(scene)

    def test_stream_of_a_mixed_pool_is_resumed_in_the_other_pool_of_its_route(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            document = gateway_lab.build_document(2)
            document["services"].append({**document["services"][0], "name": "llm-2"})
            document["routes"][1]["backends"] = [
                {"service": "llm", "weight": 50},
                {"service": "llm-2", "weight": 50},
            ]
            del document["routes"][1]["service"]
            await stage.publish("keeper-1", document)
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            for name in ("t5", "t6"):
                await stage.add_runner(name, "llm-2", length=LENGTH, software_version="v7")
            await asyncio.sleep(1.0)
            calls = self.start_streams(stage, "verdict", 3 * STREAMS)
            await asyncio.sleep(0.5)
            again = await self.resume(stage, await self.break_streams(stage, calls))
            self.check_one_version(stage, again)
            self.check_resumed(again)

        self.play(scene)

    def test_stream_whose_version_has_no_runner_left_is_resumed_or_held(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_runners(stage, FIRST, FIRST, SECOND)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            started = await self.break_streams(stage, calls)
            begun = {item: self.list_versions(stage, item) for item in started}
            for runner in runners[:2]:
                stage.beat(runner.target_id, "llm", phase=directories.Phase.DRAINING)
                runner.crash()
            await asyncio.sleep(0.2)
            again = await self.resume(stage, started)
            self.check_one_version(stage, again)
            for item, response in again.items():
                if begun[item] == [SECOND]:
                    self.assertEqual((response.status, response.is_whole), (200, True))
                    continue
                self.assertEqual(response.status, 503)
                self.assertIn("retry-after", response.headers)
                self.assertLess(response.seconds, 0.1)

        self.play(scene)

    def test_stream_is_resumed_at_software_that_took_its_runners_address(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_runners(stage, FIRST, FIRST, FIRST)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            started = await self.break_streams(stage, calls)
            for runner in runners[:2]:
                runner.crash()
                reborn = platform_runner.PlatformRunner(
                    f"{runner.target_id}-reborn",
                    runner.address,
                    stage.runners[runner.target_id].others,
                    length=LENGTH,
                    software_version=SECOND,
                )
                stage.runners[reborn.target_id] = reborn
                await reborn.start()
            early = await self.resume(stage, started)
            self.check_one_version(stage, early)
            for name in ("t1-reborn", "t2-reborn"):
                stage.beat(name, "llm")
            await asyncio.sleep(0.3)
            self.check_one_version(stage, await self.resume(stage, started))

        self.play(scene)

    def test_resumed_stream_that_breaks_again_is_resumed_at_another_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            stage.add_entry("entry-3")
            await stage.start_entry("entry-3")
            await asyncio.sleep(3.0)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.4)
            started = await self.break_streams(stage, calls)
            resuming = asyncio.create_task(self.resume(stage, started))
            await asyncio.sleep(0.4)
            await stage.kill_entry("entry-2")
            again = await resuming
            self.assertFalse(any(response.is_whole for response in again.values()))
            for item, response in again.items():
                started[item].body += response.body
            last = await self.resume(stage, started, "entry-3")
            self.check_one_version(stage, last)
            self.check_resumed(last)

        self.play(scene)

    def test_stream_whose_first_runner_sent_no_event_is_resumed_at_that_runners_version(
        self,
    ) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_runners(stage, FIRST, FIRST)
            for runner in runners:
                runner.loses_answer = True
            await self.add_runners(stage, SECOND, SECOND)
            calls = self.start_streams(stage, "verdict", 3 * STREAMS)
            await asyncio.sleep(0.5)
            for runner in runners:
                runner.loses_answer = False
            broken = await self.break_streams(stage, calls)
            started = {item: response for item, response in broken.items() if response.body}
            retried = [item for item in started if len(gateway_scenes.list_runs(stage, item)) > 1]
            self.assertGreater(len(retried), 0)
            again = await self.resume(stage, started)
            self.check_one_version(stage, again)
            self.check_resumed(again)

        self.play(scene)

    def test_entry_without_history_takes_the_first_version_that_it_hears_for_the_only_one(
        self,
    ) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST, SECOND, SECOND)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            started = await self.break_streams(stage, calls)
            await stage.kill_entry("entry-2")
            for name in list(stage.keepers):
                await stage.kill_keeper(name)
            for name in stage.keeper_names:
                await stage.start_keeper(name)
            await stage.start_entry("entry-2")
            await asyncio.sleep(1.0)
            stage.beat("t3", "llm")
            await asyncio.sleep(0.3)
            resuming = asyncio.create_task(self.resume(stage, started))
            await asyncio.sleep(0.2)
            for name in ("t1", "t2", "t4"):
                stage.beat(name, "llm")
            early = await resuming
            self.check_one_version(stage, early)
            self.assertEqual({response.status for response in early.values()}, {503})

        self.play(scene)

    def test_stream_without_its_first_attempt_is_resumed_at_any_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, SECOND)
            response = await stage.call("entry-1", "verdict", "r1", Last_Event_Id="3")
            self.assertEqual(response.status, 503)
            self.assertEqual(gateway_scenes.list_runs(stage, "r1"), [])

        self.play(scene)

    def test_stream_of_the_only_version_is_not_resumed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_runners(stage, FIRST, FIRST)
            calls = self.start_streams(stage, "verdict")
            await asyncio.sleep(0.5)
            self.check_resumed(await self.resume(stage, await self.break_streams(stage, calls)))

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
