"""Runs handed over between runners: two runners never work on the same run.

Guards against a generation that may run only once running more than once.  A run is moved to
another runner, or resumed from a copy after its connection broke, and the new runner starts while
the former one still works on it: nobody has ordered it to stop, it ignores the closed connection,
only the connection broke, or it was unreachable for a while.

The entry had concluded from its own actions that the former runner had released the run, instead of
from the runner's answer.  Without an order to stop, the runners of these tests overlap by 1.95 to
3.06 s and up to the end of the run, where 0.4 s are allowed; with the order they do not overlap.
"""

import asyncio
import itertools

from tillerlane.gateway import directory as directories
from tillerlane.testing import gateway_lab, gateway_scenes, platform_runner

OVERLAP_SECONDS = 0.4
"""Longest time for which two runners may work on one run, by the stated rule."""
LENGTH = 120


def measure_overlap(stage: gateway_lab.GatewayLab, request_id: str) -> float:
    """Longest time in seconds for which a former runner worked on a request beside the next one."""
    now = asyncio.get_running_loop().time()
    runs = [run for runner in stage.runners.values() for run in runner.ran]
    request_runs = sorted(
        (run for run in runs if run.request_id == request_id), key=lambda run: run.began
    )
    end_times = [run.ended_at or now for run in request_runs]
    pairs = itertools.pairwise(zip(request_runs, end_times, strict=True))
    return max((end - later.began for (_, end), (later, _) in pairs), default=0.0)


class HandoverTest(gateway_scenes.GatewayCase):
    """One run, its runner and another runner."""

    async def start_run(
        self, stage: gateway_lab.GatewayLab, **more: object
    ) -> tuple[platform_runner.PlatformRunner, asyncio.Task]:
        """Start a run on the only runner."""
        first = await stage.add_runner("t1", "llm", length=LENGTH, **more)
        await asyncio.sleep(0.2)
        call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
        await asyncio.sleep(0.5)
        return first, call

    async def start_runs_with_copies(
        self, stage: gateway_lab.GatewayLab, number_of_runs: int = 6, number_of_runners: int = 2
    ) -> tuple[list[platform_runner.PlatformRunner], dict[str, asyncio.Task], list[str]]:
        """Start runs on two runners; also returns those of the first that have backup copies."""
        runners = [
            await stage.add_runner(f"t{number}", "llm", length=LENGTH)
            for number in range(number_of_runners)
        ]
        await asyncio.sleep(0.2)
        calls = {
            f"r{number}": asyncio.create_task(
                stage.call("entry-1", "record", f"r{number}", **gateway_scenes.LONG)
            )
            for number in range(number_of_runs)
        }
        await asyncio.sleep(0.6)
        backed_up = [run.request_id for run in runners[0].ran if "kv-backup" in run.headers]
        self.assertTrue(backed_up)
        return runners, calls, backed_up

    def check_overlap(self, stage: gateway_lab.GatewayLab, request_ids: list[str]) -> None:
        """Check that at most one runner works on each request, apart from the allowed overlap."""
        for request_id in request_ids:
            overlap = measure_overlap(stage, request_id)
            self.assertLessEqual(overlap, OVERLAP_SECONDS, request_id)

    def test_former_runner_is_stopped_while_the_next_one_is_silent(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            _, call = await self.start_run(stage)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            second.is_mute = True
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(2.0)
            self.assertEqual(len(second.ran), 1)
            self.check_overlap(stage, ["r1"])
            call.cancel()

        self.play(scene)

    def test_former_runner_that_ignores_the_closed_connection_is_stopped(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.start_run(stage)
            first.works_on = True
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            response = await call
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", LENGTH))
            self.assertEqual(len(second.ran), 1)
            self.check_overlap(stage, ["r1"])

        self.play(scene)

    def test_runner_whose_connection_broke_is_stopped_before_the_run_is_resumed(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed_up = await self.start_runs_with_copies(stage)
            runners[0].works_on = True
            runners[0].reset_connections()
            await asyncio.gather(*calls.values())
            for request_id in backed_up:
                body = calls[request_id].result().body
                self.assertEqual(body, gateway_scenes.build_stream(request_id, LENGTH))
            self.check_overlap(stage, list(calls))

        self.play(scene)

    def test_runner_whose_connection_broke_during_a_copy_is_stopped(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first, call = await self.start_run(stage, copy_seconds=0.5)
            first.works_on = True
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(0.2)
            self.assertEqual(first.copied, ["r1"])
            first.reset_connections("r1")
            response = await call
            self.assertEqual(response.body, gateway_scenes.build_stream("r1", LENGTH))
            self.assertEqual(len(second.ran), 1)
            self.check_overlap(stage, ["r1"])

        self.play(scene)

    def test_unreachable_runner_is_stopped_once_it_is_reachable_again(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed_up = await self.start_runs_with_copies(stage)
            runners[0].is_cut_off = True
            await asyncio.sleep(2.0)
            resumed = [run.request_id for run in runners[1].ran if "kv-from" in run.headers]
            self.assertEqual(sorted(resumed), sorted(backed_up))
            runners[0].is_cut_off = False
            healed_at = asyncio.get_running_loop().time()
            await asyncio.sleep(1.0)
            for run in runners[0].ran:
                if run.request_id in backed_up:
                    self.assertTrue(run.ended, run.request_id)
                    self.assertLessEqual(run.ended_at - healed_at, OVERLAP_SECONDS, run.request_id)
            for call in calls.values():
                call.cancel()

        self.play(scene)

    def test_orders_to_an_unreachable_runner_share_its_probes(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed_up = await self.start_runs_with_copies(stage, 18, 3)
            self.assertGreaterEqual(len(backed_up), 2)
            runners[0].is_cut_off = True
            await asyncio.sleep(5.0)
            # Three probes per run, and then one shared attempt every 0.35 s.
            self.assertLessEqual(stage.lost_connections, 3 * len(backed_up) + 5.0 / 0.35)
            for call in calls.values():
                call.cancel()

        self.play(scene)

    def test_run_is_resumed_elsewhere_only_after_an_event(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=LENGTH, pace=0.4)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            await asyncio.sleep(0.1)
            second = await stage.add_runner("t2", "llm", length=LENGTH)
            await asyncio.sleep(0.1)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(1.5)
            self.assertEqual(len(first.ran), 1)
            self.assertEqual(len(second.ran), 1)
            self.assertIn("last-event-id", second.ran[0].headers)
            call.cancel()

        self.play(scene)
