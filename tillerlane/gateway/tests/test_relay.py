"""Requests through an entry: what runs, how often, and what the caller is told."""

import asyncio
import unittest

from tillerlane.gateway import directory as directories
from tillerlane.gateway import startup
from tillerlane.testing import gateway_lab, gateway_scenes


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
            # Just after its start an entry waits for targets, which have not told of themselves.
            await asyncio.sleep(startup.TARGET_DISCOVERY_SECONDS)
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
            self.assertLess(answer.seconds, 0.1)

        self.play(scene)

    def test_late_heartbeat_of_a_target_whose_address_is_anothers_runs_nothing_twice(self) -> None:
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
                answer = await stage.call("entry-1", "price", f"r{number}")
                statuses.append(answer.status)
            self.assertEqual(statuses, [200] * 10)
            ran = [item.request_id for item in runner.ran]
            self.assertEqual(ran, [f"r{number}" for number in range(10)])

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

    def test_prompt_waits_here_for_the_runner_that_has_read_first(self) -> None:
        """Before, it was sent at once, behind the prompt of the runner that seemed least loaded."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            fast = await stage.add_runner("t1", "llm", length=5, reading_seconds=0.15)
            slow = await stage.add_runner("t2", "llm", length=5, reading_seconds=0.60)
            await asyncio.sleep(0.3)
            began = asyncio.get_running_loop().time()
            calls = []
            for number in range(3):
                call = stage.call("entry-1", "record", f"r{number}", **gateway_scenes.LONG)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(0.02)
            for answer in await asyncio.gather(*calls):
                self.assertTrue(answer.is_whole)
            self.assertEqual((len(fast.ran), len(slow.ran)), (2, 1))
            waited = fast.ran[1].began - began
            self.assertGreater(waited, 0.15)
            self.assertLess(waited, 0.25)

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
            await stage.call("entry-1", "record", "r1", leave_after=0.5, **gateway_scenes.LONG)
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


class TruthTest(gateway_scenes.GatewayCase):
    """ "Not run" is said only of a request that no target can have begun.

    Callers of requests that may be repeated were told 503, which promises that the request has not
    run, although the first target had begun it: it ended, and the others that were tried next could
    not be reached or turned the request away.  The last outcome was answered, whatever the earlier
    ones were.

    Callers of requests that may not be repeated were told 503 on a refusal that did not say which
    request it answered: an answer of a target without that belongs to nobody.
    """

    def play_second_send(self, route: str, pool: str, length: int, *, gone: bool) -> None:
        """Have a target lose an answer, and the others be out of reach or turn the request away."""

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
                if gone:
                    runner.crash()
            answer = await call
            self.assertEqual(answer.status, 502)

        self.play(scene)

    def test_others_can_not_be_reached(self) -> None:
        for route, pool, length in (("price", "app", 0), ("verdict", "llm", 4)):
            with self.subTest(route):
                self.play_second_send(route, pool, length, gone=True)

    def test_refusal_that_names_no_request_proves_nothing(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.denies_status, runner.names_no_request = 503, True
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(len(runner.ran), 1)
            self.assertEqual(answer.status, 502)

        self.play(scene)

    def test_others_turn_it_away(self) -> None:
        for route, pool, length in (("price", "app", 0), ("verdict", "llm", 4)):
            with self.subTest(route):
                self.play_second_send(route, pool, length, gone=False)


if __name__ == "__main__":
    unittest.main()
