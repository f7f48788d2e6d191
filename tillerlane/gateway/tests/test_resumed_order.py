"""Streams whose resumed part does not follow what the caller has."""

import asyncio
import unittest
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.testing import caller, gateway_lab, gateway_scenes, resumed_streams

LENGTH = 40
STREAMS = 4


class OrderCase(gateway_scenes.GatewayCase):
    """Base class of tests with streams of one runner, which another one resumes."""

    entries = 2

    async def begin(
        self, stage: gateway_lab.GatewayLab, route: str, **headers: str
    ) -> dict[str, asyncio.Task[caller.CallerResponse]]:
        """Start streams at one runner, and a second runner beside it."""
        await stage.add_runner("t1", "llm", length=LENGTH)
        await asyncio.sleep(0.3)
        calls = {
            name: asyncio.create_task(stage.call("entry-1", route, name, **headers))  # type: ignore[arg-type]
            for name in (f"r{number}" for number in range(STREAMS))
        }
        await asyncio.sleep(0.3)
        await stage.add_runner("t2", "llm", length=LENGTH)
        await asyncio.sleep(0.3)
        return calls

    async def finish(
        self,
        stage: gateway_lab.GatewayLab,
        calls: dict[str, asyncio.Task[caller.CallerResponse]],
        *,
        is_whole: bool | None = None,
    ) -> dict[str, caller.CallerResponse]:
        """Wait for streams; check that none repeats or skips an event, or looks complete early."""
        await asyncio.gather(*calls.values())
        responses = {name: call.result() for name, call in calls.items()}
        for name, response in responses.items():
            stream = gateway_scenes.build_stream(name, LENGTH)
            self.assertTrue(stream.startswith(response.body), (name, response.body[-200:]))
            self.assertEqual(response.is_whole, response.body == stream, name)
            if is_whole is not None:
                self.assertIs(response.is_whole, is_whole, name)
        return responses


class CopyTest(OrderCase):
    """Copies that hold other events than the caller has."""

    def play_copies(self, route: str, copy_offset: int, *, is_whole: bool, **faults: Any) -> None:
        """Move runs with copies that differ by a number of events."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            calls = await self.begin(stage, route, **gateway_scenes.LONG)
            stage.runners["t1"].copy_offset = copy_offset
            for name, value in faults.items():
                setattr(stage.runners["t2"], name, value)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.4)
            self.assertTrue(stage.runners["t2"].ran)
            stage.runners["t1"].crash()
            await self.finish(stage, calls, is_whole=is_whole)

        self.play(scene)

    def test_runner_that_continues_behind_last_event_is_given_up_for_its_copy(self) -> None:
        for copy_offset in (-3, 0, 3):
            with self.subTest(copy_offset=copy_offset):
                self.play_copies("record", copy_offset, is_whole=True)

    def test_events_of_copy_are_repeated_or_skipped(self) -> None:
        for route in ("record", "verdict"):
            for copy_offset in (-3, 3):
                with self.subTest(route=route, copy_offset=copy_offset):
                    self.play_copies(route, copy_offset, is_whole=False, continues_from_copy=True)


class NewRunTest(OrderCase):
    """New runs behind the last event."""

    def play_new_run(self, *, is_whole: bool, **faults: Any) -> None:
        """Crash the first runner; the second one has faults."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            calls = await self.begin(stage, "verdict")
            for name, value in faults.items():
                setattr(stage.runners["t2"], name, value)
            stage.runners["t1"].crash()
            await self.finish(stage, calls, is_whole=is_whole)
            self.assertTrue(stage.runners["t2"].ran)

        self.play(scene)

    def test_stream_is_joined_with_run_that_starts_again(self) -> None:
        self.play_new_run(is_whole=False, ignores_last_event=True)

    def test_event_without_its_number_is_relayed(self) -> None:
        lines = (b"", b"id: x9\n", b"i\x00: 30\n", b"id:\n", b"id: 3 0\n", b"id: \xb2\n")
        for number in (30, LENGTH):
            for line in lines:
                with self.subTest(number=number, line=line):
                    self.play_new_run(is_whole=False, id_lines={number: line})

    def test_first_event_of_new_run_without_its_number_is_relayed(self) -> None:
        lines = {number: b"" for number in range(1, LENGTH + 1)}
        self.play_new_run(is_whole=False, id_lines=lines)

    def test_comments_between_events_end_a_stream(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            calls = await self.begin(stage, "verdict")
            stage.runners["t2"].comment = b": keep-alive\n\n"
            stage.runners["t1"].crash()
            await asyncio.gather(*calls.values())
            for name, call in calls.items():
                response = call.result()
                self.assertTrue(response.is_whole)
                events = response.body.replace(b": keep-alive\n\n", b"")
                self.assertEqual(events, gateway_scenes.build_stream(name, LENGTH))

        self.play(scene)


class FirstRunTest(OrderCase):
    """Streams that no runner has resumed yet."""

    def test_event_without_its_number_is_relayed(self) -> None:
        for number in (30, LENGTH):
            with self.subTest(number=number):
                self.play_damaged(number)

    def play_damaged(self, number: int) -> None:
        """Damage the line with the number of an event."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            calls = await self.begin(stage, "verdict")
            stage.runners["t1"].id_lines = {number: b"id: ?\n"}
            await self.finish(stage, calls, is_whole=True)

        self.play(scene)

    def test_stream_whose_first_event_is_damaged_goes_on(self) -> None:
        for line in (b"", b"id: x1\n"):
            with self.subTest(line=line):
                self.play_damaged_begin(line)

    def play_damaged_begin(self, line: bytes) -> None:
        """Damage the line with the number of the first event at one of two runners."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for name in ("t1", "t2"):
                runner = await stage.add_runner(name, "llm", length=LENGTH)
                runner.id_lines = {1: line}
            await asyncio.sleep(0.3)
            response = await stage.call("entry-1", "verdict", "r1")
            self.assertFalse(response.is_whole)
            self.assertLessEqual(response.body.count(b"data: "), 1)

        self.play(scene)

    def test_stream_whose_events_have_no_numbers_starts_again_within_one_response(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=LENGTH)
            await asyncio.sleep(0.3)
            lines = {number: b"" for number in range(1, LENGTH + 1)}
            stage.runners["t1"].id_lines = lines
            call = asyncio.create_task(stage.call("entry-1", "verdict", "r1"))
            await asyncio.sleep(0.5)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            second.id_lines = lines
            await asyncio.sleep(0.3)
            stage.runners["t1"].crash()
            response = await call
            self.assertFalse(response.is_whole)
            self.assertEqual(response.body.count(b"data: r1-1\n"), 1)

        self.play(scene)

    def test_stream_without_numbers_is_not_relayed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=LENGTH)
            runner.id_lines = {number: b"" for number in range(1, LENGTH + 1)}
            await asyncio.sleep(0.3)
            response = await stage.call("entry-1", "verdict", "r1")
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body.count(b"data: "), LENGTH)

        self.play(scene)


class TwoEntriesTest(OrderCase):
    """Callers that resume a stream which another entry still relays."""

    def test_stream_that_both_entries_resume_is_joined(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            calls = await self.begin(stage, "verdict")
            again = {}
            for name in calls:
                part = await stage.call("entry-1", "verdict", f"{name}-part", leave_after=0.3)
                last = resumed_streams.find_last_event(part.body)
                self.assertGreater(last, 0)
                again[name] = (
                    last,
                    asyncio.create_task(
                        stage.call(
                            "entry-2",
                            "verdict",
                            f"{name}-again",
                            Last_Event_Id=str(last),
                            Resumes=f"{name}-part",
                        )
                    ),
                )
            for name in ("t1", "t2"):
                stage.runners[name].silence_connections()
            await self.finish(stage, calls, is_whole=True)
            for name, (last, call) in again.items():
                response = await call
                stream = gateway_scenes.build_stream(f"{name}-again", LENGTH, last + 1)
                self.assertTrue(response.is_whole)
                self.assertEqual(response.body, stream)

        self.play(scene)


class CallerTest(OrderCase):
    """Last events that callers name."""

    def test_last_event_that_is_no_number_ends_the_request_without_a_response(self) -> None:
        for last_event in ("\xb2", "9" * 5000, "x"):
            with self.subTest(last_event=last_event[:3]):
                self.play_last_event(last_event)

    def play_last_event(self, last_event: str) -> None:
        """Resume a stream behind an event with an unusual id."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=LENGTH)
            runner.ignores_last_event = True
            await asyncio.sleep(3.0)
            response = await stage.call(
                "entry-1", "verdict", "r1", Last_Event_Id=last_event, Resumes="r0"
            )
            self.assertNotEqual(response.status, 0)
            self.assertFalse(response.is_whole and response.status == 200)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
