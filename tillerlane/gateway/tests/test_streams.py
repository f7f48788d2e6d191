"""Streams through an entry: which runs a caller gets, and what ends them."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes


class StreamTest(gateway_scenes.GatewayCase):
    """Streams of events."""

    def test_stream_is_passed_on_whole(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=20)
            await asyncio.sleep(0.2)
            answer = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertTrue(answer.is_whole)
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", 20))

        self.play(scene)

    def test_missing_event_ends_the_stream_unfinished(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            runner.skips_event = 7
            await asyncio.sleep(0.2)
            answer = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertFalse(answer.is_whole)
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", 6))

        self.play(scene)

    def test_missing_first_event_ends_the_stream_unfinished(self) -> None:
        """A runner that said nothing for a while at first went on in the middle of its stream."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            runner.skips_event = 1
            await asyncio.sleep(0.2)
            answer = await stage.call("entry-1", "record", "r1", **gateway_scenes.LONG)
            self.assertFalse(answer.is_whole)
            self.assertEqual(answer.body, b"")

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
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", 20))

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

    def test_refusal_for_memory_says_when_runs_will_have_ended(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=90)
            await asyncio.sleep(0.2)
            long = {**gateway_scenes.LONG, "Token_Counts": "33900,2000"}
            answers = [
                await stage.call("entry-1", "record", "r1", **long),
                await stage.call("entry-1", "record", "r2", wait_ms=3_000, **long),
            ]
            self.assertEqual([answer.status for answer in answers], [503, 503])
            waits = [float(answer.headers["retry-after"]) for answer in answers]
            self.assertTrue(2.9 < waits[0] <= 3.0, waits)
            self.assertTrue(0.8 < waits[1] <= 1.0, waits)

        self.play(scene)

    def test_silence_alone_does_not_end_a_run(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [
                await stage.add_runner(f"t{number}", "llm", length=4, pace=2.0) for number in (1, 2)
            ]
            await asyncio.sleep(0.2)
            answer = await stage.call("entry-1", "verdict", "r1", Model="m")
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", 4))
            self.assertEqual(sum(len(runner.ran) for runner in runners), 1)

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
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", 30))

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
