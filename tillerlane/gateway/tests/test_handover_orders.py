"""Runs that are handed over: what an order to stop, its loss and its answers must not lead to.

A first form took the end of a run's stream behind an order to stop for its runner's word, and "no
such run" as well while the stream was open: two runners worked on a run where the order was lost on
its way, or the run was pushed aside for a moment.  In other scenes a run was lost although a copy
of it lay ready, went to a runner after its time to drain, or an order was given without end.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.gateway import http_head, http_server
from tillerlane.gateway.tests import test_handover
from tillerlane.testing import gateway_lab, gateway_scenes, platform_runner

LENGTH = 240
DRAIN_SECONDS = 2.0
"""Time after a runner's word of draining in which it may still get requests (`drain_ms`)."""

Order = dict[str, Any]


def intercept(
    runner: platform_runner.PlatformRunner,
    take: Callable[[Order, http_server.Responder], Awaitable[bool]],
) -> None:
    """Have `take` see a runner's orders first; those that it took go no further."""
    move = runner._move

    async def first(order: Order, responder: http_server.Responder) -> None:
        if not await take(order, responder):
            await move(order, responder)

    runner._move = first  # type: ignore[method-assign]


def lose_first_stop(runner: platform_runner.PlatformRunner) -> list[Order]:
    """Lose the first order to stop on its way to a runner; gives a list of what was lost."""
    lost: list[Order] = []

    async def take(order: Order, responder: http_server.Responder) -> bool:
        if not order.get("last") or lost:
            return False
        lost.append(order)
        await asyncio.sleep(3600)
        return True

    intercept(runner, take)
    return lost


class OrdersTest(gateway_scenes.GatewayCase):
    """One run, its runner and another one."""

    async def begin(
        self, stage: gateway_lab.GatewayLab, **more: Any
    ) -> tuple[platform_runner.PlatformRunner, asyncio.Task]:
        first = await stage.add_runner("t1", "llm", length=LENGTH, **more)
        await asyncio.sleep(0.2)
        call = asyncio.create_task(
            stage.call("entry-1", "record", "r1", wait_ms=15_000, **gateway_scenes.LONG)
        )
        await asyncio.sleep(0.5)
        return first, call

    async def move_to_second(
        self, stage: gateway_lab.GatewayLab, seconds: float
    ) -> platform_runner.PlatformRunner:
        """Have another runner come and the first one leave, and wait so many seconds."""
        second = await stage.add_runner("t2", "llm", length=LENGTH)
        await asyncio.sleep(0.2)
        stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
        await asyncio.sleep(seconds)
        return second

    def check_overlap(self, stage: gateway_lab.GatewayLab) -> None:
        overlap = test_handover.measure_overlap(stage, "r1")
        self.assertLessEqual(overlap, test_handover.OVERLAP_SECONDS)

    def test_run_does_not_go_on_beside_a_runner_that_the_order_did_not_reach(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            first.works_on = True
            lost = lose_first_stop(first)
            second = await self.move_to_second(stage, 0.2)
            self.assertEqual(len(lost), 1)
            first.reset_connections("r1")
            await asyncio.sleep(6.0)
            self.assertEqual(len(second.ran), 1)
            self.check_overlap(stage)
            call.cancel()

        self.play(scene)

    def test_event_that_does_not_follow_is_no_end_of_a_stream(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            lost = lose_first_stop(first)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            second.is_mute = True
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.2)
            self.assertEqual(len(lost), 1)
            first.skips_event = first.ran[0].events + 2
            await asyncio.sleep(6.0)
            self.check_overlap(stage)
            call.cancel()

        self.play(scene)

    def test_word_that_there_is_no_run_does_not_outlive_the_runs_next_event(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            first.works_on = True
            pushed_aside: list[Order] = []
            until = asyncio.get_running_loop().time() + 0.85

            async def take(order: Order, responder: http_server.Responder) -> bool:
                """A run that is pushed aside for a moment is none that the runner works on."""
                if not order.get("last") or asyncio.get_running_loop().time() > until:
                    return False
                pushed_aside.append(order)
                await responder.send_response(http_head.ResponseHead(404, []), b"")
                return True

            intercept(first, take)
            second = await self.move_to_second(stage, 0.2)
            self.assertTrue(pushed_aside)
            before = first.ran[0].events
            await asyncio.sleep(0.5)
            self.assertGreater(first.ran[0].events, before + 10)
            first.reset_connections("r1")
            await asyncio.sleep(3.0)
            self.assertEqual(len(second.ran), 1)
            self.check_overlap(stage)
            call.cancel()

        self.play(scene)

    def test_run_pushed_aside_when_it_should_stop_is_handed_over_later(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            pushed_aside: list[Order] = []

            async def take(order: Order, responder: http_server.Responder) -> bool:
                if not order.get("last") or pushed_aside:
                    return False
                pushed_aside.append(order)
                await responder.send_response(http_head.ResponseHead(404, []), b"")
                return True

            intercept(first, take)
            second = await self.move_to_second(stage, 1.5)
            self.assertEqual(len(second.ran), 1, "the run stays at the runner that leaves")
            call.cancel()

        self.play(scene)

    def test_run_returns_to_no_runner_after_its_time_to_drain(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            drained_at = asyncio.get_running_loop().time()
            await asyncio.sleep(2.5)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            second.loses_copies = True
            await call
            later = [run.began - drained_at for run in first.ran[1:]]
            self.assertEqual([seconds for seconds in later if seconds > DRAIN_SECONDS], [])

        self.play(scene)

    def test_run_goes_to_no_destination_that_drained_while_the_order_was_awaited(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            lost = lose_first_stop(first)
            second = await self.move_to_second(stage, 0.2)
            self.assertEqual(len(lost), 1)
            stage.beat("t2", "llm", phase=directories.Phase.DRAINING)
            drained_at = asyncio.get_running_loop().time()
            await call
            later = [run.began - drained_at for run in second.ran]
            self.assertEqual([seconds for seconds in later if seconds > DRAIN_SECONDS], [])

        self.play(scene)

    def test_run_goes_on_when_its_runner_falls_dark_while_it_is_handed_over(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            stops: list[Order] = []

            async def take(order: Order, responder: http_server.Responder) -> bool:
                if not order.get("last"):
                    return False
                stops.append(order)
                first.go_dark()
                await asyncio.sleep(3600)
                return True

            intercept(first, take)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(4.0)
            self.assertTrue(stops)
            self.assertEqual(len(second.ran), 1, "a copy lies there, and nobody goes on with it")
            call.cancel()

        self.play(scene)

    def test_stopped_run_goes_on_though_the_end_of_its_stream_is_lost(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=LENGTH)
            stream = first._stream

            async def keep_open(run: Any, responder: http_server.Responder) -> None:
                responder.abort = lambda: None  # type: ignore[method-assign]
                await stream(run, responder)
                await asyncio.sleep(3600)

            first._stream = keep_open  # type: ignore[method-assign]
            await asyncio.sleep(0.2)
            call = asyncio.create_task(
                stage.call("entry-1", "record", "r1", wait_ms=15_000, **gateway_scenes.LONG)
            )
            await asyncio.sleep(0.5)
            second = await self.move_to_second(stage, 4.0)
            self.assertEqual(first.ran[0].ended, "stopped")
            self.assertEqual(len(second.ran), 1, "the runner said that it stopped the run")
            call.cancel()

        self.play(scene)

    def test_runner_reached_again_is_told_within_the_time_though_an_order_is_lost(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await test_handover.HandoverTest.begin_with_copies(self, stage)
            lose_first_stop(runners[0])
            runners[0].length = LENGTH
            runners[0].is_cut_off = True
            await asyncio.sleep(2.0)
            runners[0].is_cut_off = False
            healed_at = asyncio.get_running_loop().time()
            await asyncio.sleep(1.5)
            for run in runners[0].ran:
                if run.request_id in backed:
                    self.assertTrue(run.ended, run.request_id)
                    self.assertLessEqual(run.ended_at - healed_at, 0.4, run.request_id)
            for call in calls.values():
                call.cancel()

        self.play(scene)

    def test_stopped_stream_without_a_length_does_not_end_as_whole(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=LENGTH)

            class Plain:
                """Frames a stream by the end of its connection, as the protocol allows."""

                def __init__(self, responder: http_server.Responder) -> None:
                    self._wire = responder._connection

                async def start_response(self, head: http_head.ResponseHead) -> None:
                    lines = [b"HTTP/1.1 200 OK"]
                    lines += [name + b": " + value for name, value in head.headers]
                    lines += [b"Connection: close", b"", b""]
                    await self._wire.write(b"\r\n".join(lines))

                async def write(self, data: bytes) -> None:
                    await self._wire.write(data)

                async def finish(self) -> None:
                    self.abort()

                def abort(self) -> None:
                    self._wire._transport.close()

            stream = first._stream

            async def plain(run: Any, responder: http_server.Responder) -> None:
                await stream(run, Plain(responder))  # type: ignore[arg-type]
                await asyncio.sleep(0.1)

            first._stream = plain  # type: ignore[method-assign]
            await asyncio.sleep(0.2)
            call = asyncio.create_task(
                stage.call("entry-1", "record", "r1", wait_ms=15_000, **gateway_scenes.LONG)
            )
            await asyncio.sleep(0.5)
            await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            answer = await call
            self.assertEqual(first.ran[0].ended, "stopped")
            whole = answer.body == gateway_scenes.build_stream("r1", LENGTH)
            self.assertEqual(answer.is_whole, whole, f"{len(answer.body)} bytes")

        self.play(scene)

    def test_runs_that_wait_for_a_cold_destination_are_not_lost(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            document = gateway_lab.build_document(2)
            document["services"][0]["cold_per_s"] = 1.0
            await stage.publish("keeper-1", document)
            await asyncio.sleep(1.0)
            first = await stage.add_runner("t1", "llm", length=LENGTH, copy_seconds=0.1)
            await asyncio.sleep(0.2)
            calls = [
                asyncio.create_task(
                    stage.call(
                        "entry-1", "record", f"r{number}", wait_ms=15_000, **gateway_scenes.LONG
                    )
                )
                for number in range(8)
            ]
            await asyncio.sleep(0.5)
            await stage.add_runner("t2", "llm", length=LENGTH)
            stage.beat("t2", "llm", cold_seconds=2.0)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(4.0)
            first.crash()
            answers = await asyncio.gather(*calls)
            self.assertTrue(all(answer.is_whole for answer in answers))

        self.play(scene)

    def test_runner_that_started_again_during_a_copy_does_not_end_the_answer(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1#1", "llm", length=LENGTH, copy_seconds=2.0)
            first.target_id = "t1"
            await asyncio.sleep(0.2)
            call = asyncio.create_task(
                stage.call("entry-1", "verdict", "r1", wait_ms=15_000, **gateway_scenes.LONG)
            )
            await asyncio.sleep(0.5)
            await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            stage.beat("t1#1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.2)
            first.works_on = True
            first.reset_connections("r1")
            await asyncio.sleep(0.2)
            (await stage.add_runner("t1#2", "llm", length=LENGTH)).target_id = "t1"
            answer = await call
            self.assertTrue(answer.is_whole)

        self.play(scene)

    def test_copy_of_a_caller_that_left_while_the_run_was_stopped_is_freed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage, copy_seconds=0.3)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)

            async def take(order: Order, responder: http_server.Responder) -> bool:
                if order.get("last"):
                    call.cancel()
                return False

            intercept(first, take)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(2.0)
            self.assertTrue(first.stopped)
            self.assertEqual((first.copies, second.copies), ({}, {}))

        self.play(scene)

    def test_no_such_run_counts_whatever_the_answer_says_besides(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await test_handover.HandoverTest.begin_with_copies(self, stage)
            asked: list[Order] = []

            async def take(order: Order, responder: http_server.Responder) -> bool:
                asked.append(order)
                head = http_head.ResponseHead(404, [(b"Content-Type", b"text/plain")])
                await responder.send_response(head, b"no such run")
                return True

            intercept(runners[0], take)
            runners[0].reset_connections()
            answers = {name: await call for name, call in calls.items()}
            await asyncio.sleep(2.0)
            self.assertEqual([answers[name].is_whole for name in backed], [True] * len(backed))
            self.assertLessEqual(len(asked), 2 * len(calls))

        self.play(scene)

    def test_order_ends_at_an_address_that_a_plain_service_has_now(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await test_handover.HandoverTest.begin_with_copies(self, stage)
            runners[0].is_cut_off = True
            await asyncio.sleep(2.0)
            asked: list[Order] = []

            async def take(order: Order, responder: http_server.Responder) -> bool:
                """A request without an id, at a service that knows no such order."""
                asked.append(order)
                await responder.send_response(
                    http_head.ResponseHead(400, [(b"Not-Run", b"1")]), b""
                )
                return True

            intercept(runners[0], take)
            runners[0].is_cut_off = False
            await asyncio.sleep(3.0)
            self.assertLessEqual(len(asked), 2 * len(backed))
            for call in calls.values():
                call.cancel()

        self.play(scene)

    def test_runner_that_takes_no_more_connections_may_go_on_with_what_it_has(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.begin(stage)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            copy = first._move

            async def take(order: Order, responder: http_server.Responder) -> bool:
                await copy(order, responder)
                first._server.stop_accepting()
                return True

            intercept(first, take)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(1.0)
            self.assertEqual(first.copied, ["r1"])
            self.assertEqual(first.ran[0].ended, "")
            self.assertEqual(second.ran, [])
            call.cancel()

        self.play(scene)
