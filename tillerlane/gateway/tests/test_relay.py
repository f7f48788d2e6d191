"""Requests through an entry: which targets run them, how often, and what the caller gets."""

import asyncio
import unittest

from tillerlane.gateway import directory as directories
from tillerlane.gateway import startup
from tillerlane.testing import gateway_lab, gateway_scenes


class PlainRequestTest(gateway_scenes.GatewayCase):
    """Requests with a single complete response."""

    def test_request_and_response_are_relayed_unaltered(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            response = await stage.call(
                "entry-1", "order", "r1", X_Own="kept", Tenant="forged", Kv_From="forged"
            )
            self.assertEqual((response.status, response.body), (200, b"answer to r1"))
            self.assertEqual(response.headers["response-seal"], "s.1")
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

    def test_refusal_without_a_target_has_a_retry_time(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            # Just after its start, an entry waits for targets that have not been reported yet.
            await asyncio.sleep(startup.TARGET_DISCOVERY_SECONDS)
            response = await stage.call("entry-1", "order", "r1")
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertLess(response.seconds, 0.1)

        self.play(scene)

    def test_late_heartbeat_with_a_reused_address_runs_nothing_twice(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("new", "app")
            late = directories.Target(
                "old",
                "app",
                runner.address,
                "hall-a",
                48,
                directories.Phase.READY,
                9,
                asyncio.get_running_loop().time(),
            )
            stage.keepers["keeper-1"].handle_heartbeat(late)
            await asyncio.sleep(0.5)
            statuses = []
            for number in range(10):
                response = await stage.call("entry-1", "price", f"r{number}")
                statuses.append(response.status)
            self.assertEqual(statuses, [200] * 10)
            ran = [item.request_id for item in runner.ran]
            self.assertEqual(ran, [f"r{number}" for number in range(10)])

        self.play(scene)

    def test_lost_response_to_a_non_repeatable_request_is_not_retried(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app") for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            for runner in runners:
                runner.loses_answer = True
            response = await stage.call("entry-1", "order", "r1")
            self.assertEqual(response.status, 502)
            self.assertEqual(sum(len(runner.ran) for runner in runners), 1)

        self.play(scene)

    def test_lost_response_to_a_repeatable_request_is_retried_elsewhere(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app") for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            for runner in runners:
                runner.loses_answer = True
            response = await stage.call("entry-1", "price", "r1", method=b"GET", body=b"")
            self.assertEqual(response.status, 502)
            self.assertEqual([len(runner.ran) for runner in runners], [1, 1])

        self.play(scene)

    def test_unresponsive_target_costs_half_of_the_deadline_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(name, "app") for name in ("t1", "t2")]
            await asyncio.sleep(0.2)
            runners[0].is_dark = True
            seconds = []
            for number in range(8):
                response = await stage.call(
                    "entry-1", "price", f"r{number}", method=b"GET", body=b"", wait_ms=800
                )
                self.assertEqual(response.status, 200)
                seconds.append(response.seconds)
            self.assertEqual(sum(item > 0.3 for item in seconds), 1, seconds)

        self.play(scene)

    def test_short_deadlines_do_not_count_against_a_target(self) -> None:
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

    def test_rejection_by_a_target_becomes_a_refusal(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.refuses = True
            response = await stage.call("entry-1", "order", "r1")
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
            self.assertEqual(runner.ran, [])

        self.play(scene)

    def test_503_without_not_run_guarantees_nothing(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.answer_status = 503
            response = await stage.call("entry-1", "order", "r1")
            self.assertEqual(response.status, 502)
            self.assertNotIn("response-seal", response.headers)

        self.play(scene)

    def test_response_to_another_request_is_discarded(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.answers_for = "r0"
            response = await stage.call("entry-1", "order", "r1")
            self.assertEqual((response.status, response.body), (502, b""))

        self.play(scene)

    def test_prompt_waits_in_the_entry_until_a_runner_has_finished_prefill(self) -> None:
        """Guards against sending it at once to the least loaded runner, behind another prompt."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            fast = await stage.add_runner("t1", "llm", length=5, reading_seconds=0.15)
            slow = await stage.add_runner("t2", "llm", length=5, reading_seconds=0.60)
            await asyncio.sleep(0.3)
            started_at = asyncio.get_running_loop().time()
            calls = []
            for number in range(3):
                call = stage.call("entry-1", "record", f"r{number}", **gateway_scenes.LONG)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(0.02)
            for response in await asyncio.gather(*calls):
                self.assertTrue(response.is_whole)
            self.assertEqual((len(fast.ran), len(slow.ran)), (2, 1))
            waited = fast.ran[1].began - started_at
            self.assertGreater(waited, 0.15)
            self.assertLess(waited, 0.25)

        self.play(scene)

    def test_draining_target_gets_no_requests_whichever_keeper_knows(self) -> None:
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

    def test_run_ends_when_its_caller_disconnects(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=200)
            await asyncio.sleep(0.2)
            await stage.call("entry-1", "record", "r1", leave_after=0.5, **gateway_scenes.LONG)
            await asyncio.sleep(0.1)
            self.assertEqual(runner.ran[0].ended, "gone")
            self.assertLess(runner.ran[0].events, 30)

        self.play(scene)

    def test_request_is_held_no_longer_than_the_route_timeout(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.is_dark = True
            document = gateway_lab.build_document(2)
            document["routes"][2]["timeout_ms"] = 700
            await stage.publish("keeper-1", document)
            await asyncio.sleep(0.5)
            response = await stage.call("entry-1", "order", "r1")
            self.assertEqual(response.status, 504)
            self.assertLess(response.seconds, 0.75)

        self.play(scene)


class NotRunGuaranteeTest(gateway_scenes.GatewayCase):
    """A refusal that guarantees "not run" is given only if no target can have started the request.

    Callers of repeatable requests got 503, which guarantees that nothing ran, although the first
    target had started the request and then exited: the targets tried next were unreachable or
    rejected the request, and only the last outcome was considered.

    Callers of requests that may run once got 503 after a rejection that did not name the request
    that it answered.  Such a response proves nothing about any request.
    """

    def check_second_send(
        self, route: str, pool: str, length: int, *, is_unreachable: bool
    ) -> None:
        """Have a target lose its response, and the others be unreachable or reject the request."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(f"t{n}", pool, length=length) for n in range(4)]
            await asyncio.sleep(0.2)
            for runner in runners:
                runner.loses_answer = True
            call = asyncio.create_task(stage.call("entry-1", route, "r1", Model="m"))
            while not any(runner.ran for runner in runners):
                await asyncio.sleep(0)
            for runner in [item for item in runners if not item.ran]:
                runner.refuses = True
                if is_unreachable:
                    runner.crash()
            response = await call
            self.assertEqual(response.status, 502)

        self.play(scene)

    def test_other_targets_are_unreachable(self) -> None:
        for route, pool, length in (("price", "app", 0), ("verdict", "llm", 4)):
            with self.subTest(route):
                self.check_second_send(route, pool, length, is_unreachable=True)

    def test_rejection_without_a_request_id_proves_nothing(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.denies_status, runner.names_no_request = 503, True
            response = await stage.call("entry-1", "order", "r1")
            self.assertEqual(len(runner.ran), 1)
            self.assertEqual(response.status, 502)

        self.play(scene)

    def test_other_targets_reject_the_request(self) -> None:
        for route, pool, length in (("price", "app", 0), ("verdict", "llm", 4)):
            with self.subTest(route):
                self.check_second_send(route, pool, length, is_unreachable=False)


if __name__ == "__main__":
    unittest.main()
