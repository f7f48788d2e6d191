"""A run that goes on, or that its caller asks for again: never at work at two runners.

The table of the ways is ``docs/design/at-most-once.md``; those by which a request begins are played
in `test_at_most_once`.
"""

import asyncio
import itertools
import unittest

from tillerlane.gateway import directory as directories
from tillerlane.testing import gateway_lab, gateway_scenes, platform_runner

LENGTH = 90


class ResumptionTest(gateway_scenes.AtMostOnceCase):
    """A caller comes back with the id of the last event that it has."""

    def test_run_has_ended_before_its_caller_resumes_it_at_another_entry(self) -> None:
        """A stream that may be resumed; the caller's new attempt is a request of its own."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_two(stage, "llm", length=LENGTH)
            stage.add_entry("entry-2")
            await stage.start_entry("entry-2")
            await asyncio.sleep(3.0)
            first = await stage.call("entry-1", "verdict", "r1", leave_after=0.6)
            self.assertFalse(first.is_whole)
            last = first.body.count(b"id: ")
            self.assertGreater(last, 0)
            again = await stage.call("entry-2", "verdict", "r2", Last_Event_Id=str(last))
            self.assertEqual(again.body, gateway_scenes.build_stream("r2", LENGTH, last + 1))
            (former,) = gateway_scenes.list_runs(stage, "r1")
            (present,) = gateway_scenes.list_runs(stage, "r2")
            self.assertEqual(former.ended, "gone")
            self.assertLessEqual(former.ended_at - present.began, 0.4)

        self.play(scene)

    def test_run_that_may_not_be_resumed_ends_with_its_caller(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage, "llm", length=LENGTH)
            await stage.call("entry-1", "record", "r1", leave_after=0.6, **gateway_scenes.LONG)
            await asyncio.sleep(0.5)
            (run,) = gateway_scenes.list_runs(stage, "r1")
            self.assertEqual(run.ended, "gone")
            stage.beat(runners[0].target_id, "llm", phase=directories.Phase.DRAINING)
            stage.beat(runners[1].target_id, "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(2.0)
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)

        self.play(scene)

    def test_headers_of_copies_are_not_the_callers_to_set(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_two(stage, "llm", length=5)
            given = {"Kv_From": "10.0.9.9:9000/h1", "Kv_Backup": "10.0.9.9:9000"}
            await stage.call("entry-1", "record", "r1", **given, **gateway_scenes.LONG)
            (run,) = gateway_scenes.list_runs(stage, "r1")
            self.assertNotIn("kv-from", run.headers)
            self.assertNotEqual(run.headers.get("kv-backup"), "10.0.9.9:9000")

        self.play(scene)


class MoveTest(gateway_scenes.AtMostOnceCase):
    """A run moves more than once, or finds a copy of an earlier start of its own."""

    def test_run_that_moves_twice_is_at_one_runner_at_a_time(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            await asyncio.sleep(0.4)
            for former, present in (("t1", "t2"), ("t2", "t3")):
                await stage.add_runner(present, "llm", length=LENGTH)
                await asyncio.sleep(0.2)
                stage.beat(former, "llm", phase=directories.Phase.DRAINING)
                await asyncio.sleep(0.6)
            answer = await call
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", LENGTH))
            runs = sorted(gateway_scenes.list_runs(stage, "r1"), key=lambda run: run.began)
            self.assertEqual(len(runs), 3)
            for former, present in itertools.pairwise(runs):
                self.assertLessEqual(former.ended_at - present.began, 0.4)

        self.play(scene)

    async def begin_with_copies(
        self, stage: gateway_lab.GatewayLab
    ) -> tuple[list[platform_runner.PlatformRunner], dict[str, asyncio.Task], list[str]]:
        """Runs at two runners; those at the first that have a copy at the other one."""
        document = gateway_lab.build_document(2)
        document["routes"][0].update(max_attempts=4)  # which nothing may use
        await stage.publish("keeper-1", document)
        await asyncio.sleep(1.0)
        runners = await self.add_two(stage, "llm", length=LENGTH)
        calls = {
            f"r{number}": asyncio.create_task(
                stage.call("entry-1", "record", f"r{number}", **gateway_scenes.LONG)
            )
            for number in range(6)
        }
        await asyncio.sleep(0.6)
        backed = [run.request_id for run in runners[0].ran if "kv-backup" in run.headers]
        self.assertTrue(backed)
        return runners, calls, backed

    def test_copy_that_is_behind_the_callers_last_event_repeats_none(self) -> None:
        """What a former runner of the run left there is old; the run goes on all the same."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await self.begin_with_copies(stage)
            for request_id in backed:
                runners[1].copies[request_id].events = 1
            runners[0].crash()
            await asyncio.gather(*calls.values())
            for request_id in backed:
                body = calls[request_id].result().body
                self.assertEqual(body, gateway_scenes.build_stream(request_id, LENGTH))
                former, present = sorted(
                    gateway_scenes.list_runs(stage, request_id), key=lambda run: run.began
                )
                self.assertEqual((former.ended, present.first_event > 2), ("crashed", True))

        self.play(scene)

    def play_gap(self, *, works_on: bool) -> None:
        """Have a runner leave out an event of runs that have a copy, and check who works on."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await self.begin_with_copies(stage)
            runners[0].works_on = works_on
            runners[0].skips_event = 30
            await asyncio.gather(*calls.values())
            for request_id in backed:
                body = calls[request_id].result().body
                self.assertEqual(body, gateway_scenes.build_stream(request_id, LENGTH))
                runs = gateway_scenes.list_runs(stage, request_id)
                former, present = sorted(runs, key=lambda run: run.began)
                self.assertLessEqual(former.ended_at - present.began, 0.4)

        self.play(scene)

    def test_runner_that_left_out_an_event_is_left_for_the_copy(self) -> None:
        self.play_gap(works_on=False)

    def test_runner_that_left_out_an_event_is_stopped_before_the_copy_goes_on(self) -> None:
        self.play_gap(works_on=True)

    def test_copy_that_is_gone_begins_no_other_run(self) -> None:
        """Its runner says "not run"; a run that may not be repeated ends there."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await self.begin_with_copies(stage)
            runners[1].loses_copies = True
            runners[0].crash()
            await asyncio.gather(*calls.values())
            for request_id in backed:
                self.assertFalse(calls[request_id].result().is_whole)
                self.assertEqual(len(gateway_scenes.list_runs(stage, request_id)), 1)

        self.play(scene)

    def test_copy_whose_taking_up_is_lost_is_taken_up_nowhere_else(self) -> None:
        """The runner that was asked may work on it, so that nobody else is asked."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await self.begin_with_copies(stage)
            await stage.add_runner("t3", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            runners[1].loses_answer = True
            runners[0].crash()
            await asyncio.gather(*calls.values())
            for request_id in backed:
                self.assertFalse(calls[request_id].result().is_whole)
                self.assertEqual(len(gateway_scenes.list_runs(stage, request_id)), 2)
                self.assertEqual(len([r for r in runners[1].ran if r.request_id == request_id]), 1)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
