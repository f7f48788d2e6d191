"""Responses whose connection is closed regularly although their runner has not completed them."""

import asyncio
import unittest

from tillerlane.gateway import directory as directories
from tillerlane.testing import caller, gateway_lab, gateway_scenes, platform_runner

EVENTS_BEFORE_EXIT = 7
STREAM_LENGTH = 20


class ProcessExitTest(gateway_scenes.GatewayCase):
    """Guards against taking the connections that a killed process leaves behind for complete."""

    async def add_targets(
        self, stage: gateway_lab.GatewayLab, pool: str, number: int, *, is_close_delimited: bool
    ) -> list[platform_runner.PlatformRunner]:
        length = STREAM_LENGTH if pool == "llm" else 0
        targets = []
        for index in range(1, number + 1):
            target = await stage.add_runner(f"t{index}", pool, length=length)
            target.is_close_delimited = is_close_delimited
            targets.append(target)
        await asyncio.sleep(0.2)
        return targets

    async def stream_until_exit(
        self,
        stage: gateway_lab.GatewayLab,
        route: str,
        targets: list[platform_runner.PlatformRunner],
        exit_seconds: float = 0.0,
    ) -> caller.CallerResponse:
        """Send a stream's request, and end its runner's process between two events.

        The process answers for `exit_seconds` after it has closed its connections.
        """
        headers = gateway_scenes.LONG if route == "record" else {"Model": "m"}
        call = asyncio.create_task(stage.call("entry-1", route, "r1", **headers))
        while True:
            for target in targets:
                if any(run.events >= EVENTS_BEFORE_EXIT for run in target.ran):
                    target.close_connections()
                    await asyncio.sleep(exit_seconds)
                    target.end_process()
                    return await call
            await asyncio.sleep(0.005)

    def test_stream_of_an_ended_process_does_not_look_complete(self) -> None:
        for exit_seconds in (0.0, 0.05, 0.3):
            with self.subTest(exit_seconds=exit_seconds):
                self.play_cut(exit_seconds)

    def play_cut(self, exit_seconds: float) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            targets = await self.add_targets(stage, "llm", 1, is_close_delimited=True)
            response = await self.stream_until_exit(stage, "record", targets, exit_seconds)
            self.assertFalse(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", EVENTS_BEFORE_EXIT))

        self.play(scene)

    def test_stream_of_an_ended_process_is_resumed_elsewhere(self) -> None:
        for is_close_delimited in (False, True):
            with self.subTest(is_close_delimited=is_close_delimited):
                self.play_resumed(is_close_delimited=is_close_delimited)

    def play_resumed(self, *, is_close_delimited: bool) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            targets = await self.add_targets(stage, "llm", 2, is_close_delimited=is_close_delimited)
            response = await self.stream_until_exit(stage, "verdict", targets)
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", STREAM_LENGTH))

        self.play(scene)

    def test_stream_cut_by_a_restart_that_answers_already_is_not_complete(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=STREAM_LENGTH, started_ms=1_000)
            first.is_close_delimited = True
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            while not any(run.events >= EVENTS_BEFORE_EXIT for run in first.ran):
                await asyncio.sleep(0.005)
            first.end_process()
            await stage.restart_runner("t1", length=STREAM_LENGTH)
            self.assertFalse((await call).is_whole)

        self.play(scene)

    def test_stream_of_a_host_that_went_away_is_not_complete(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            target, call = await self.begin_stream(stage)
            target.close_connections()
            target.takes_no_connections = True
            self.assertFalse((await call).is_whole)

        self.play(scene)

    def test_successor_at_the_same_address_does_not_confirm_a_stream(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            target, call = await self.begin_stream(stage)
            target.end_process()
            successor = platform_runner.PlatformRunner(
                "t1-next", target.address, stage._by_address, length=STREAM_LENGTH
            )
            await stage._start_runner(successor, "llm", "hall-a")
            self.assertFalse((await call).is_whole)

        self.play(scene)

    async def begin_stream(
        self, stage: gateway_lab.GatewayLab
    ) -> tuple[platform_runner.PlatformRunner, asyncio.Task[caller.CallerResponse]]:
        """Begin a stream of the only runner, up to the last event before its exit."""
        (target,) = await self.add_targets(stage, "llm", 1, is_close_delimited=True)
        call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
        while not any(run.events >= EVENTS_BEFORE_EXIT for run in target.ran):
            await asyncio.sleep(0.005)
        return target, call

    def test_whole_stream_of_a_runner_that_then_exits_is_confirmed_by_another(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            targets = await self.add_targets(stage, "llm", 2, is_close_delimited=True)
            call = asyncio.create_task(stage.call("entry-1", "verdict", "r1", Model="m"))
            while not any(run.ended == "whole" for target in targets for run in target.ran):
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.03)
            next(target for target in targets if target.ran).end_process()
            response = await call
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", STREAM_LENGTH))

        self.play(scene)

    def test_last_stream_of_a_leaving_runner_is_not_broken_off(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            (target,) = await self.add_targets(stage, "llm", 1, is_close_delimited=True)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            while not any(run.ended == "whole" for run in target.ran):
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.GONE)
            target.end_process()
            response = await call
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", STREAM_LENGTH))
            self.assertTrue(response.is_whole)

        self.play(scene)

    def play_plain(self, route: str, number: int) -> caller.CallerResponse:
        responses = []

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            targets = await self.add_targets(stage, "app", number, is_close_delimited=True)
            for target in targets:
                target.body_seconds = 0.5
            call = asyncio.create_task(stage.call("entry-1", route, "r1"))
            while not any(run.ended for target in targets for run in target.ran):
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.1)
            next(target for target in targets if target.ran).end_process()
            responses.append(await call)

        self.play(scene)
        return responses[0]

    def test_cut_plain_response_of_an_ended_process_is_no_success(self) -> None:
        self.assertEqual(self.play_plain("order", 2).status, 502)

    def test_repeatable_request_of_an_ended_process_is_sent_to_another_target(self) -> None:
        response = self.play_plain("price", 2)
        self.assertEqual((response.status, response.body), (200, b"answer to r1"))

    def test_target_at_its_connection_limit_is_not_taken_for_ended(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            (target,) = await self.add_targets(stage, "app", 1, is_close_delimited=True)
            target.body_seconds = 0.5
            call = asyncio.create_task(stage.call("entry-1", "order", "r1"))
            while not any(run.ended for run in target.ran):
                await asyncio.sleep(0.005)
            resets = iter((False, True))  # resets the next connection only
            target._server.accepts_connection = lambda: next(resets, True)
            response = await call
            self.assertEqual((response.status, response.body), (200, b"answer to r1"))

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
