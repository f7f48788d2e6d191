"""Requests through an entry: what runs, how often, and what the caller is told."""

import asyncio
import unittest

from tillerlane.gateway import directory as directories
from tillerlane.testing import gateway_lab, gateway_scenes, platform_runner

TOKENS = {"Token_Counts": "3000,2000", "Length_Hint": "1000", "Model": "m"}


def build_stream(request_id: str, length: int, first: int = 1) -> bytes:
    """All events of a stream."""
    return b"".join(
        platform_runner.build_event(request_id, number) for number in range(first, length + 1)
    )


class PlainTest(gateway_scenes.GatewayCase):
    """Requests with one whole answer."""

    def test_request_and_answer_pass_unaltered(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            answer = await stage.call(
                "entry-1", "order", "r1", X_Own="kept", Tenant="forged", Kv_From="forged"
            )
            self.assertEqual((answer.status, answer.body), (200, b"answer to r1"))
            self.assertEqual(answer.headers["response-seal"], "s.1")
            ran = runner.ran[0]
            self.assertEqual((ran.path, ran.body), ("/order/x?q=1", b"body"))
            self.assertEqual(ran.headers["tenant"], "workspace-a")
            self.assertEqual(ran.headers["x-own"], "kept")
            self.assertNotIn("credential", ran.headers)
            self.assertNotIn("kv-from", ran.headers)
            self.assertLessEqual(int(ran.headers["deadline-ms"]), 10_000)

        self.play(scene)

    def test_unknown_key_and_unknown_route_run_nothing(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            bad_key = await stage.call("entry-1", "order", "r1", Credential="other")
            bad_path = await stage.call("entry-1", "nowhere", "r2")
            self.assertEqual((bad_key.status, bad_path.status), (401, 404))
            self.assertEqual(runner.ran, [])

        self.play(scene)

    def test_without_a_target_the_refusal_says_when_to_come_back(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
            self.assertLess(answer.seconds, 0.1)

        self.play(scene)

    def test_lost_answer_of_what_may_run_once_is_no_refusal_and_no_second_run(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app") for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            for runner in runners:
                runner.loses_answer = True
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 502)
            self.assertEqual(sum(len(runner.ran) for runner in runners), 1)

        self.play(scene)

    def test_lost_answer_of_what_may_be_repeated_is_tried_at_another_target(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app") for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            for runner in runners:
                runner.loses_answer = True
            answer = await stage.call("entry-1", "price", "r1", method=b"GET", body=b"")
            self.assertEqual(answer.status, 502)
            self.assertEqual([len(runner.ran) for runner in runners], [1, 1])

        self.play(scene)

    def test_target_that_never_answers_costs_half_of_the_time_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app") for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            runners[0].is_dark = True
            seconds = []
            for number in range(8):
                answer = await stage.call(
                    "entry-1", "price", f"r{number}", method=b"GET", body=b"", wait_ms=800
                )
                self.assertEqual(answer.status, 200)
                seconds.append(answer.seconds)
            self.assertEqual(sum(item > 0.3 for item in seconds), 1, seconds)

        self.play(scene)

    def test_short_deadlines_do_not_give_a_target_a_bad_name(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app", pace=0.1) for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            for number in range(6):
                await stage.call("entry-1", "order", f"r{number}", wait_ms=50)
            await asyncio.sleep(0.2)
            calls = [stage.call("entry-1", "order", f"s{number}") for number in range(8)]
            await asyncio.gather(*calls)
            counts = [len([r for r in runner.ran if r.request_id[0] == "s"]) for runner in runners]
            self.assertEqual(counts, [4, 4])

        self.play(scene)

    def test_target_that_turned_away_is_a_true_refusal(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.refuses = True
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(runner.ran, [])

        self.play(scene)

    def test_own_503_of_a_target_is_no_promise(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.answer_status = 503
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 502)
            self.assertNotIn("response-seal", answer.headers)

        self.play(scene)

    def test_answer_to_another_request_reaches_nobody(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.answers_for = "r0"
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual((answer.status, answer.body), (502, b""))

        self.play(scene)

    def test_draining_target_gets_nothing_whichever_keeper_heard_it(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app") for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            for keeper in stage.keeper_names:
                phase = directories.Phase.DRAINING
                stage.beat("t1", "app", phase=phase, keeper=keeper)
                await asyncio.sleep(0.3)
                for number in range(6):
                    await stage.call("entry-1", "order", f"{keeper}-{number}")
                self.assertEqual(runners[0].ran, [])

        self.play(scene)

    def test_caller_that_leaves_ends_the_run(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=200)
            await asyncio.sleep(0.2)
            await stage.call("entry-1", "record", "r1", leave_after=0.5, **TOKENS)
            await asyncio.sleep(0.1)
            self.assertEqual(runner.ran[0].ended, "gone")
            self.assertLess(runner.ran[0].events, 30)

        self.play(scene)

    def test_held_no_longer_than_the_route_says(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.is_dark = True
            document = gateway_lab.build_document(2)
            document["routes"][2]["timeout_ms"] = 700
            await stage.publish("keeper-1", document)
            await asyncio.sleep(0.5)
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 504)
            self.assertLess(answer.seconds, 0.75)

        self.play(scene)


class StreamTest(gateway_scenes.GatewayCase):
    """Streams of events."""

    def test_stream_is_passed_on_whole(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=20)
            await asyncio.sleep(0.2)
            answer = await stage.call("entry-1", "record", "r1", **TOKENS)
            self.assertTrue(answer.is_whole)
            self.assertEqual(answer.body, build_stream("r1", 20))

        self.play(scene)

    def test_missing_event_ends_the_stream_unfinished(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            runner.skips_event = 7
            await asyncio.sleep(0.2)
            answer = await stage.call("entry-1", "record", "r1", **TOKENS)
            self.assertFalse(answer.is_whole)
            self.assertEqual(answer.body, build_stream("r1", 6))

        self.play(scene)

    def test_gap_within_a_chunk_loses_nothing_of_a_resumable_stream(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [
                await stage.add_runner(f"t{number}", "llm", length=20, pace=0.0)
                for number in (1, 2)
            ]
            await asyncio.sleep(0.2)
            for runner in runners:
                runner.skips_event = 7
            call = asyncio.create_task(stage.call("entry-1", "verdict", "r1", Model="m"))
            while not any(runner.ran for runner in runners):
                await asyncio.sleep(0)
            next(runner for runner in runners if not runner.ran).skips_event = 0
            answer = await call
            self.assertTrue(answer.is_whole)
            self.assertEqual(answer.body, build_stream("r1", 20))

        self.play(scene)

    def test_stream_runs_on_no_more_runners_than_its_route_allows(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [
                await stage.add_runner(f"t{number}", "llm", length=20) for number in (1, 2, 3, 4)
            ]
            await asyncio.sleep(0.2)
            for runner in runners:
                runner.loses_answer = True
            call = asyncio.create_task(stage.call("entry-1", "verdict", "r1", Model="m"))
            while not any(runner.ran for runner in runners):
                await asyncio.sleep(0)
            for runner in runners:
                runner.loses_answer = False
                runner.breaks_at = 5
            self.assertFalse((await call).is_whole)
            self.assertEqual(sum(len(runner.ran) for runner in runners), 2)

        self.play(scene)

    def test_run_moves_off_a_leaving_runner_in_one_answer(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=60)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.5)
            second = await stage.add_runner("t2", "llm", length=60)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            answer = await call
            self.assertTrue(answer.is_whole)
            self.assertEqual(answer.body, build_stream("r1", 60))
            self.assertEqual((first.ran[0].ended, second.ran[0].ended), ("gone", "whole"))
            self.assertEqual(len(first.ran) + len(second.ran), 2)
            # The former run stops as soon as the other one has begun.
            self.assertLessEqual(first.ran[0].events - second.ran[0].first_event, 2)

        self.play(scene)

    def test_no_more_copies_are_ordered_than_the_notice_has_time_for(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=90, copy_seconds=0.4)
            await asyncio.sleep(0.2)
            calls = [
                asyncio.create_task(stage.call("entry-1", "record", f"r{number}", **TOKENS))
                for number in range(6)
            ]
            await asyncio.sleep(0.4)
            for name in ("t2", "t3"):
                await stage.add_runner(name, "llm", length=90)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.3)
            # 1.5 s of notice, and 0.37 s of link for each (3,300 tokens between halls).
            self.assertEqual(len(first.copied), 4)
            await asyncio.sleep(2.2)
            self.assertEqual(len(first.copied), 6)
            for number, answer in enumerate(await asyncio.gather(*calls)):
                self.assertEqual(answer.body, build_stream(f"r{number}", 90), number)

        self.play(scene)

    def test_copy_of_a_lost_source_counts_as_memory_for_as_long_as_it_is_kept(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=90, copy_seconds=2.0)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.4)
            second = await stage.add_runner("t2", "llm", length=90)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.5)
            first.crash()
            await call
            usage = stage.entries["entry-1"].usage
            loop = asyncio.get_running_loop()
            self.assertGreater(usage.read(second.address, loop.time()).tokens, 3_000)
            await asyncio.sleep(5.2)
            self.assertTrue(usage.read(second.address, loop.time()).is_empty)

        self.play(scene)

    def test_run_that_ends_is_moved_no_more(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=30, copy_seconds=2.0)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.3)
            second = await stage.add_runner("t2", "llm", length=30)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            self.assertTrue((await call).is_whole)
            await asyncio.sleep(0.1)
            tasks = [task.get_coro().__qualname__ for task in asyncio.all_tasks()]
            self.assertEqual([name for name in tasks if name == "Mover._move"], [])
            # The runners make the copy all the same, and keep it for a while.
            usage = stage.entries["entry-1"].usage
            loop = asyncio.get_running_loop()
            self.assertGreater(usage.read(second.address, loop.time()).tokens, 3_000)
            await asyncio.sleep(5.2)
            self.assertTrue(usage.read(second.address, loop.time()).is_empty)

        self.play(scene)

    def test_copy_that_came_too_late_is_freed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=90, copy_seconds=0.2)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(
                stage.call("entry-1", "record", "r1", leave_after=1.0, **TOKENS)
            )
            await asyncio.sleep(0.4)
            second = await stage.add_runner("t2", "llm", length=90)
            second.loses_copies = True
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await call
            await asyncio.sleep(0.5)
            self.assertEqual(second.copies, {})
            self.assertEqual(first.ran[0].ended, "gone")

        self.play(scene)

    def test_refusal_for_memory_says_when_runs_will_have_ended(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=90)
            await asyncio.sleep(0.2)
            long = {**TOKENS, "Token_Counts": "33900,2000"}
            answers = [
                await stage.call("entry-1", "record", "r1", **long),
                await stage.call("entry-1", "record", "r2", wait_ms=3_000, **long),
            ]
            self.assertEqual([answer.status for answer in answers], [503, 503])
            waits = [float(answer.headers["retry-after"]) for answer in answers]
            self.assertTrue(2.9 < waits[0] <= 3.0, waits)
            self.assertTrue(0.8 < waits[1] <= 1.0, waits)

        self.play(scene)

    def test_copy_that_is_not_taken_up_leaves_the_run_where_it_is(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=90)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.4)
            second = await stage.add_runner("t2", "llm", length=90)
            await asyncio.sleep(0.2)
            second.loses_copies = True
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            answer = await call
            self.assertEqual(answer.body, build_stream("r1", 90))
            self.assertTrue(answer.is_whole)
            self.assertIn("r1", second.turned_away)
            self.assertEqual((len(first.ran), len(second.ran)), (1, 0))

        self.play(scene)

    def test_run_that_may_go_on_elsewhere_is_not_gone_on_with_here(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=90)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.4)
            second = await stage.add_runner("t2", "llm", length=90)
            await asyncio.sleep(0.2)
            second.loses_answer = True
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            answer = await call
            self.assertFalse(answer.is_whole)
            self.assertTrue(build_stream("r1", 90).startswith(answer.body))
            self.assertEqual((len(first.ran), len(second.ran)), (1, 1))
            self.assertEqual(first.ran[0].ended, "gone")

        self.play(scene)

    def test_move_without_room_is_tried_elsewhere(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=90)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.4)
            full = await stage.add_runner("t2", "llm", length=90)
            full.refuses = True
            await stage.add_runner("t3", "llm", hall="hall-b", length=90)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            answer = await call
            self.assertEqual(answer.body, build_stream("r1", 90))
            self.assertEqual(full.ran, [])

        self.play(scene)

    def test_crash_of_a_runner_goes_on_from_the_copy(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(f"t{number}", "llm", length=80) for number in (1, 2)]
            await asyncio.sleep(0.2)
            # Enough memory without a copy that the next run gets one.
            calls = [
                asyncio.create_task(stage.call("entry-1", "record", f"r{number}", **TOKENS))
                for number in range(6)
            ]
            await asyncio.sleep(0.6)
            backed = [run for run in runners[0].ran if "kv-backup" in run.headers]
            self.assertTrue(backed)
            runners[0].crash()
            answers = await asyncio.gather(*calls)
            for run in backed:
                answer = answers[int(run.request_id[1:])]
                self.assertEqual(answer.body, build_stream(run.request_id, 80))
                self.assertTrue(answer.is_whole)

        self.play(scene)

    def test_run_is_moved_when_its_copy_leaves_too(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=120)
            await asyncio.sleep(0.2)
            calls = [
                asyncio.create_task(stage.call("entry-1", "record", f"r{number}", **TOKENS))
                for number in range(2)
            ]
            await asyncio.sleep(0.1)
            backup = await stage.add_runner("t2", "llm", length=120)
            await asyncio.sleep(0.1)
            calls.append(asyncio.create_task(stage.call("entry-1", "record", "r2", **TOKENS)))
            calls.append(asyncio.create_task(stage.call("entry-1", "record", "r3", **TOKENS)))
            await asyncio.sleep(0.4)
            await stage.add_runner("t3", "llm", length=120)
            await asyncio.sleep(0.1)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.1)
            stage.beat("t2", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(1.5)
            stage.runners["t1"].crash()
            backup.crash()
            for number, answer in enumerate(await asyncio.gather(*calls)):
                self.assertEqual(answer.body, build_stream(f"r{number}", 120), number)

        self.play(scene)

    def test_runner_that_goes_dark_is_left_for_the_copy(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(f"t{number}", "llm", length=80) for number in (1, 2)]
            await asyncio.sleep(0.2)
            calls = [
                asyncio.create_task(stage.call("entry-1", "record", f"r{number}", **TOKENS))
                for number in range(6)
            ]
            await asyncio.sleep(0.6)
            backed = [run for run in runners[0].ran if "kv-backup" in run.headers]
            self.assertTrue(backed)
            runners[0].go_dark()
            await asyncio.sleep(5)
            for run in backed:
                call = calls[int(run.request_id[1:])]
                self.assertTrue(call.done())
                self.assertEqual(call.result().body, build_stream(run.request_id, 80))
            for call in calls:
                call.cancel()

        self.play(scene)

    def test_silence_alone_does_not_end_a_run(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [
                await stage.add_runner(f"t{number}", "llm", length=4, pace=2.0) for number in (1, 2)
            ]
            await asyncio.sleep(0.2)
            answer = await stage.call("entry-1", "verdict", "r1", Model="m")
            self.assertEqual(answer.body, build_stream("r1", 4))
            self.assertEqual(sum(len(runner.ran) for runner in runners), 1)

        self.play(scene)

    def test_crash_without_a_copy_does_not_look_whole(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=80)
            await stage.add_runner("t2", "llm", length=80)
            stage.beat("t2", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **TOKENS))
            await asyncio.sleep(0.6)
            runner.crash()
            answer = await call
            self.assertFalse(answer.is_whole)
            self.assertTrue(build_stream("r1", 80).startswith(answer.body))
            self.assertEqual(stage.runners["t2"].ran, [])

        self.play(scene)

    def test_resumable_stream_goes_on_in_another_run(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(f"t{number}", "llm", length=30) for number in (1, 2)]
            await asyncio.sleep(0.2)
            call = asyncio.create_task(
                stage.call("entry-1", "verdict", "r1", Model="m", Token_Counts="100,10")
            )
            await asyncio.sleep(0.4)
            next(item for item in runners if item.ran).crash()
            answer = await call
            self.assertTrue(answer.is_whole)
            self.assertEqual(answer.body, build_stream("r1", 30))

        self.play(scene)


class TwoEntriesTest(gateway_scenes.GatewayCase):
    """Entries that share runners."""

    entries = 2

    def test_all_runs_of_a_leaving_runner_are_copied_one_after_another(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=120, copy_seconds=0.25)
            await asyncio.sleep(0.2)
            calls = [
                asyncio.create_task(stage.call(f"entry-{1 + n % 2}", "record", f"r{n}", **TOKENS))
                for n in range(4)
            ]
            await asyncio.sleep(0.5)
            await stage.add_runner("t2", "llm", length=120)
            await stage.add_runner("t3", "llm", length=120)
            await asyncio.sleep(0.3)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(1.15)
            first.crash()
            for number, answer in enumerate(await asyncio.gather(*calls)):
                self.assertEqual(answer.body, build_stream(f"r{number}", 120), number)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
