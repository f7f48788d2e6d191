"""Connections to runners that fall silent without an end, while new ones to the same runners work.

Guards against streams that hang until their callers leave, and against runs that nobody waits for
and that are not stopped.  Also guards against taking a pause of a sound runner for such silence.
"""

import asyncio
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.gateway.tests import test_handover
from tillerlane.testing import (
    caller,
    gateway_lab,
    gateway_scenes,
    platform_runner,
    silent_transport,
)

LENGTH = 120
WORK_SECONDS = 0.5
"""Time after a caller left within which its run must have been stopped (rule GONE)."""
MAX_PAUSE_SECONDS = 2.0
"""Shortest pause after which callers give a stream up."""


class SilentConnectionCase(gateway_scenes.GatewayCase):
    """Base class: one request at the first of two targets, whose connections fall silent."""

    async def start_call(
        self, stage: gateway_lab.GatewayLab, route: str, **more: Any
    ) -> tuple[list[platform_runner.PlatformRunner], asyncio.Task[caller.CallerResponse]]:
        """Start a request at one target, and another target afterwards."""
        pool = "llm" if route in ("record", "verdict") else "app"
        length = more.pop("length", LENGTH) if pool == "llm" else 0
        pace = more.pop("pace", 0.03)
        reading_seconds = more.pop("reading_seconds", 0.0)
        first = await stage.add_runner(
            "t1", pool, length=length, pace=pace, reading_seconds=reading_seconds
        )
        await asyncio.sleep(0.2)
        fields = {"wait_ms": 15_000, **gateway_scenes.LONG, **more}
        call = asyncio.create_task(stage.call("entry-1", route, "r1", **fields))
        await asyncio.sleep(0.5)
        second = await stage.add_runner("t2", pool, length=length)
        await asyncio.sleep(0.2)
        return [first, second], call

    def check_one_run_at_a_time(self, stage: gateway_lab.GatewayLab) -> None:
        overlap = test_handover.measure_overlap(stage, "r1")
        self.assertLessEqual(overlap, test_handover.OVERLAP_SECONDS)

    def check_lost(self, stage: gateway_lab.GatewayLab, names: list[str]) -> None:
        lines = stage.entries["entry-1"].timeline.read()
        found = [line.name for line in lines if line.name in ("connection.silent", "run.cancel")]
        self.assertEqual(found, names)


class StreamTest(SilentConnectionCase):
    """Streams that have begun."""

    def test_stream_goes_on_over_a_new_connection(self) -> None:
        for route in ("record", "verdict"):
            with self.subTest(route=route):
                self.play_stream(route)

    def play_stream(self, route: str) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, route)
            runners[0].silence_connections()
            response = await call
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", LENGTH))
            self.check_one_run_at_a_time(stage)
            self.check_lost(stage, ["connection.silent"])
            self.assertLess(response.seconds, LENGTH * 0.03 + MAX_PAUSE_SECONDS)

        self.play(scene)

    def test_stream_goes_on_at_the_only_runner(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(
                stage.call("entry-1", "record", "r1", wait_ms=15_000, **gateway_scenes.LONG)
            )
            await asyncio.sleep(0.5)
            runner.silence_connections()
            response = await call
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", LENGTH))
            self.assertTrue(response.is_whole)
            self.check_one_run_at_a_time(stage)

        self.play(scene)

    def test_stream_whose_run_has_ended_is_ended_at_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "record", pace=0.01)
            runners[0].silence_connections()
            response = await call
            self.assertFalse(response.is_whole)
            self.assertLess(response.seconds, 5.0)
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)

        self.play(scene)

    def test_run_is_stopped_when_its_caller_leaves(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "record")
            runners[0].silence_connections()
            await asyncio.sleep(0.4)
            call.cancel()
            await asyncio.sleep(WORK_SECONDS)
            self.assertEqual([run.ended for run in runners[0].ran], ["stopped"])
            await asyncio.sleep(10.0)
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)
            self.assertEqual([len(runner.copies) for runner in runners], [0, 0])

        self.play(scene)

    def test_slow_stream_of_a_sound_runner_is_not_cut(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "record", pace=3.0, length=4)
            response = await call
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 4))
            self.assertTrue(response.is_whole)
            self.assertEqual(runners[0].stopped, [])
            self.check_lost(stage, [])

        self.play(scene)

    def test_preempted_run_is_not_cut(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "record")
            runners[0].pauses_runs = True
            await asyncio.sleep(4.0)
            runners[0].pauses_runs = False
            response = await call
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", LENGTH))
            self.assertEqual(runners[0].stopped, [])

        self.play(scene)

    def test_runner_without_reports_or_new_connections_is_not_cut(self) -> None:
        """A run that cannot be resumed elsewhere may still go on at a runner that is full."""
        for fault in ("report_status", "takes_no_connections"):
            with self.subTest(fault=fault):
                self.play_unreported(fault)

    def play_unreported(self, fault: str) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(
                stage, "record", pace=2.0, length=4, Token_Counts="100,4", Length_Hint="2"
            )
            setattr(runners[0], fault, 404 if fault == "report_status" else True)
            response = await call
            self.assertTrue(response.is_whole)
            self.check_lost(stage, [])

        self.play(scene)


class BeginTest(SilentConnectionCase):
    """Streams whose head does not arrive."""

    def test_repeatable_stream_is_sent_to_another_runner(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "verdict", reading_seconds=1.0)
            runners[0].silence_connections()
            response = await call
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", LENGTH))
            self.assertEqual([run.ended for run in runners[0].ran], ["stopped"])

        self.play(scene)

    def test_stream_that_runs_once_gets_its_final_answer_at_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "record", reading_seconds=1.0)
            runners[0].silence_connections()
            response = await call
            self.assertEqual(response.status, 502)
            self.assertLess(response.seconds, 4.0)
            await asyncio.sleep(WORK_SECONDS)
            self.assertEqual([run.ended for run in runners[0].ran], ["stopped"])
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)

        self.play(scene)

    def test_run_that_begins_after_its_caller_left_is_stopped(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "record", reading_seconds=1.5)
            runners[0].silence_connections()
            call.cancel()
            await asyncio.sleep(3.5)
            self.assertEqual([run.ended for run in runners[0].ran], ["stopped"])

        self.play(scene)


class CopyOrderTest(SilentConnectionCase):
    """The connection of an order to copy a run falls silent."""

    def test_run_of_a_leaving_runner_is_moved_though_the_answer_is_lost(self) -> None:
        """Guards against a run that ends with its runner, since its copy was never heard of."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "record")
            move = runners[0]._move
            lost_orders: list[dict[str, object]] = []

            async def lose_first(order: dict[str, object], responder: Any) -> None:
                if not lost_orders:
                    lost_orders.append(order)
                    silent_transport.detach(responder._connection)
                await move(order, responder)

            runners[0]._move = lose_first  # type: ignore[method-assign]
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(1.6)
            runners[0].crash()
            response = await call
            self.assertEqual(len(lost_orders), 1)
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", LENGTH))
            self.check_one_run_at_a_time(stage)

        self.play(scene)


class PlainTest(SilentConnectionCase):
    """Plain requests: a runner reports nothing of them, so that only time tells."""

    def test_repeatable_request_is_answered_by_another_target(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "price", pace=1.0, wait_ms=4_000)
            runners[0].silence_connections()
            response = await call
            self.assertEqual(response.status, 200)
            self.assertEqual(len(runners[1].ran), 1)

        self.play(scene)

    def test_request_that_runs_once_is_answered_before_its_deadline(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, call = await self.start_call(stage, "order", pace=1.0, wait_ms=4_000)
            runners[0].silence_connections()
            response = await call
            self.assertEqual(response.status, 504)
            self.assertLess(response.seconds, 4.0)
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)

        self.play(scene)
