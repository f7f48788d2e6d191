"""Streams through an entry: which runs a caller gets events of, and what ends a stream."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes


class StreamTest(gateway_scenes.GatewayCase):
    """Streams of events."""

    def test_stream_is_relayed_completely(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=20)
            await asyncio.sleep(0.2)
            response = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 20))

        self.play(scene)

    def test_missing_event_truncates_the_stream(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            runner.skips_event = 7
            await asyncio.sleep(0.2)
            response = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertFalse(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 6))

        self.play(scene)

    def test_missing_first_event_truncates_the_stream(self) -> None:
        """A runner that stays silent at first and then starts in the middle of its stream."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            runner.skips_event = 1
            await asyncio.sleep(0.2)
            response = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertFalse(response.is_whole)
            self.assertEqual(response.body, b"")

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
            response = await call
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 20))

        self.play(scene)

    def test_stream_uses_no_more_runners_than_its_route_allows(self) -> None:
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

    def test_refusal_for_lack_of_memory_has_a_retry_time(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=90)
            await asyncio.sleep(0.2)
            long = {**gateway_scenes.LONG, "Token_Counts": "33900,2000"}
            responses = [
                await stage.call("entry-1", "record", "r1", **long),
                await stage.call("entry-1", "record", "r2", wait_ms=3_000, **long),
            ]
            self.assertEqual([response.status for response in responses], [503, 503])
            waits = [float(response.headers["retry-after"]) for response in responses]
            self.assertTrue(2.9 < waits[0] <= 3.0, waits)
            self.assertTrue(0.8 < waits[1] <= 1.0, waits)

        self.play(scene)

    def play_end_inside_event(self, *, is_close_delimited: bool) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            runner.is_close_delimited = is_close_delimited
            runner.ends_inside = 7
            await asyncio.sleep(0.2)
            response = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertFalse(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 6))
            lines = stage.entries["entry-1"].timeline.read()
            reaches = [line.fields["reach"] for line in lines if line.name == "target.broke_off"]
            self.assertEqual(reaches, ["open"])

        self.play(scene)

    def test_stream_that_ends_inside_an_event_is_taken_for_broken_off(self) -> None:
        for is_close_delimited in (False, True):
            with self.subTest(is_close_delimited=is_close_delimited):
                self.play_end_inside_event(is_close_delimited=is_close_delimited)

    def test_close_delimited_stream_without_an_event_is_not_complete(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            runner.is_close_delimited = True
            runner.breaks_at = 1
            await asyncio.sleep(0.2)
            response = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertFalse(response.is_whole)

        self.play(scene)

    def test_close_delimited_responses_are_relayed_complete(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            plain = await stage.add_runner("t2", "app")
            runner.is_close_delimited = plain.is_close_delimited = True
            await asyncio.sleep(0.2)
            response = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 20))
            response = await stage.call("entry-1", "price", "r2")
            self.assertEqual((response.is_whole, response.body), (True, b"answer to r2"))

        self.play(scene)

    def test_pause_alone_does_not_end_a_run(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [
                await stage.add_runner(f"t{number}", "llm", length=4, pace=2.0) for number in (1, 2)
            ]
            await asyncio.sleep(0.2)
            response = await stage.call("entry-1", "verdict", "r1", Model="m")
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 4))
            self.assertEqual(sum(len(runner.ran) for runner in runners), 1)

        self.play(scene)

    def test_resumable_stream_continues_in_a_new_run(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(f"t{number}", "llm", length=30) for number in (1, 2)]
            await asyncio.sleep(0.2)
            call = asyncio.create_task(
                stage.call("entry-1", "verdict", "r1", Model="m", Token_Counts="100,10")
            )
            await asyncio.sleep(0.4)
            next(item for item in runners if item.ran).crash()
            response = await call
            self.assertTrue(response.is_whole)
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", 30))

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
