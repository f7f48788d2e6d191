"""A request that may run once, on each way by which a target may begin it or go on with it.

The table of these ways is ``docs/design/at-most-once.md``.
"""

import asyncio
import unittest
from typing import Any

from tillerlane.gateway import http_head
from tillerlane.testing import caller, gateway_lab, gateway_scenes, platform_runner

LENGTH = 90
SURPLUS = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n"
"""An answer to a request that nobody has sent yet."""


class WordOfTargetTest(gateway_scenes.AtMostOnceCase):
    """A target's "not run" is believed only if it speaks of this request and of no other."""

    def play_denials(self, route: str, pool: str, status: int, **more: Any) -> None:
        """Targets that run a request and then deny it without a word of which one."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage, pool, **more):
                runner.denies_status = status
                runner.names_no_request = True
            answer = await stage.call("entry-1", route, "r1", **gateway_scenes.LONG)
            self.check_at_most_once(stage, "r1", answer.status)

        self.play(scene)

    def test_order_that_ran_and_is_denied_without_a_name(self) -> None:
        self.play_denials("order", "app", 503)

    def test_order_that_ran_and_may_go_to_two_targets(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage):
                runner.denies_status = 503
                runner.names_no_request = True
            document = gateway_lab.build_document(2)
            document["routes"][2]["max_attempts"] = 2
            await stage.publish("keeper-1", document)
            await asyncio.sleep(1.0)
            answer = await stage.call("entry-1", "order", "r1")
            self.check_at_most_once(stage, "r1", answer.status)

        self.play(scene)

    def test_order_that_ran_and_is_said_to_be_for_another_target(self) -> None:
        self.play_denials("order", "app", 421)

    def test_order_that_ran_and_is_said_to_be_too_many(self) -> None:
        self.play_denials("order", "app", 429)

    def test_stream_that_ran_and_is_denied_without_a_name(self) -> None:
        self.play_denials("record", "llm", 503, length=LENGTH)

    def test_denial_of_another_request_says_nothing_of_this_one(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage):
                runner.denies_status = 503
                runner.answers_for = "r0"
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 502)
            self.check_at_most_once(stage, "r1", answer.status)

        self.play(scene)

    def test_denial_with_a_status_that_counts_as_run(self) -> None:
        """An answer that says both speaks for neither."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage)
            for status in (200, 500, 504):
                for runner in runners:
                    runner.denies_status = status
                request_id = f"r{status}"
                answer = await stage.call("entry-1", "order", request_id)
                self.check_at_most_once(stage, request_id, answer.status)

        self.play(scene)

    def test_refusal_that_names_the_request_lets_another_target_run_it(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage)
            for runner in runners:
                runner.refuses = True
            document = gateway_lab.build_document(2)
            document["routes"][2]["max_attempts"] = 2
            await stage.publish("keeper-1", document)
            await asyncio.sleep(1.0)
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual(answer.status, 503)
            self.assertEqual(gateway_scenes.list_runs(stage, "r1"), [])
            self.assertEqual(sorted(len(item.rejected) for item in runners), [1, 1])

        self.play(scene)


class UnsentTest(gateway_scenes.AtMostOnceCase):
    """Nothing of the request was written to a target."""

    def test_target_where_nobody_listens_costs_no_attempt(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage)
            runners[0].crash()
            for number in range(4):
                answer = await stage.call("entry-1", "order", f"r{number}")
                self.assertEqual(answer.status, 200)
                self.assertEqual(len(gateway_scenes.list_runs(stage, f"r{number}")), 1)

        self.play(scene)

    def test_time_that_ends_while_nobody_can_be_reached_is_a_true_refusal(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage):
                runner.is_cut_off = True
            answer = await stage.call("entry-1", "order", "r1", wait_ms=200)
            self.assertEqual(answer.status, 503)
            for runner in stage.runners.values():
                runner.is_cut_off = False
            await asyncio.sleep(2.0)
            self.assertEqual(gateway_scenes.list_runs(stage, "r1"), [])

        self.play(scene)


class ConnectionTest(gateway_scenes.AtMostOnceCase):
    """What stands on a connection before, behind and beside a request."""

    def test_bytes_behind_a_whole_answer_belong_to_no_request(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage):
                runner.surplus = SURPLUS
            for number in range(1, 7):
                answer = await stage.call("entry-1", "order", f"r{number}")
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, f"answer to r{number}".encode())
                self.assertEqual(len(gateway_scenes.list_runs(stage, f"r{number}")), 1)

        self.play(scene)

    def test_bytes_behind_an_interim_answer_are_none_of_its_body(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage):
                runner.preface = b"HTTP/1.1 102 Processing\r\n\r\n"
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual((answer.status, answer.body), (200, b"answer to r1"))
            self.check_at_most_once(stage, "r1", answer.status)

        self.play(scene)

    def test_requests_one_behind_another_on_one_connection(self) -> None:
        """The answer of the first is lost; the second is not told what the first one should be."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage)
            for runner in runners:
                runner.loses_answer = True
            statuses, heard = await self.send_on_one_connection(stage, ["r1", "r2", "r3"])
            self.assertEqual(len(heard), len(statuses))
            for request_id in ("r1", "r2", "r3"):
                self.assertLessEqual(len(gateway_scenes.list_runs(stage, request_id)), 1)
            self.assertTrue(all(status == 502 for status in statuses), statuses)

        self.play(scene)

    def test_good_requests_one_behind_another_run_once_each(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_two(stage)
            statuses, bodies = await self.send_on_one_connection(stage, ["r1", "r2", "r3"])
            self.assertEqual(statuses, [200, 200, 200])
            self.assertEqual(bodies, [f"answer to r{number}".encode() for number in (1, 2, 3)])
            for request_id in ("r1", "r2", "r3"):
                self.assertEqual(len(gateway_scenes.list_runs(stage, request_id)), 1)

        self.play(scene)

    async def send_on_one_connection(
        self, stage: gateway_lab.GatewayLab, request_ids: list[str]
    ) -> tuple[list[int], list[bytes]]:
        """Send orders without waiting for answers; the statuses and bodies that came."""
        host = stage.get_address("entry-1").partition(":")[0]
        reader, writer = await asyncio.open_connection(host, 8000)
        for request_id in request_ids:
            headers = [
                (b"Host", caller.HOST.encode()),
                (b"Request-Id", request_id.encode()),
                (b"Deadline-Ms", b"5000"),
                (b"Credential", caller.KEY.encode()),
                (b"Content-Length", b"4"),
            ]
            head = http_head.RequestHead(b"POST", b"/order/x", headers)
            writer.write(http_head.encode_request_head(head) + b"body")
        statuses, bodies = [], []
        for _ in request_ids:
            try:
                async with asyncio.timeout(6.0):
                    head = await reader.readuntil(b"\r\n\r\n")
                    lines = head.decode().lower().split("\r\n")
                    (size,) = [item for item in lines if item.startswith("content-length:")]
                    bodies.append(await reader.readexactly(int(size.partition(":")[2])))
            except (asyncio.IncompleteReadError, TimeoutError):
                break
            statuses.append(int(lines[0].split()[1]))
        writer.close()
        return statuses, bodies


class IncarnationTest(gateway_scenes.AtMostOnceCase):
    """A target starts again under its address while a request is at its former start."""

    def test_order_at_a_target_that_starts_again_at_its_address(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "app", pace=1.0)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "order", "r1"))
            await asyncio.sleep(0.4)
            self.assertEqual(len(first.ran), 1)
            await self.start_again(stage, first)
            answer = await call
            self.check_at_most_once(stage, "r1", answer.status)
            self.assertEqual(answer.status, 502)

        self.play(scene)

    def test_stream_at_a_runner_that_starts_again_at_its_address(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            await asyncio.sleep(0.6)
            await self.start_again(stage, first)
            answer = await call
            self.assertFalse(answer.is_whole)
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)

        self.play(scene)

    async def start_again(
        self, stage: gateway_lab.GatewayLab, former: platform_runner.PlatformRunner
    ) -> None:
        """Have another incarnation take a target's address, and tell of itself."""
        former.crash()
        pool = "llm" if former.length else "app"
        present = platform_runner.PlatformRunner(
            "t1-again", former.address, former.others, length=former.length, pace=former.pace
        )
        stage.runners["t1-again"] = present
        await present.start()
        stage.beat("t1-again", pool)
        await asyncio.sleep(0.2)


class ConfigurationTest(gateway_scenes.AtMostOnceCase):
    """The kind of a route changes while a request waits or runs."""

    def build_document(self, version: int, kind: str) -> dict[str, Any]:
        """The route of orders with another kind, and more attempts than there are targets."""
        document = gateway_lab.build_document(version)
        document["routes"][2].update(kind=kind, max_attempts=4)
        return document

    def test_order_whose_route_becomes_repeatable_while_it_runs(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage, pace=1.5)
            for runner in runners:
                runner.loses_answer = True
            await stage.publish("keeper-1", self.build_document(2, "non_idempotent"))
            await asyncio.sleep(1.0)
            call = asyncio.create_task(stage.call("entry-1", "order", "r1"))
            await asyncio.sleep(0.3)
            await stage.publish("keeper-1", self.build_document(3, "idempotent"))
            answer = await call
            self.check_at_most_once(stage, "r1", answer.status)
            self.assertEqual(answer.status, 502)

        self.play(scene)

    def test_order_that_waits_for_a_target_while_its_route_becomes_repeatable(self) -> None:
        """It was taken as one that may run once, and stays one."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t0", "app", pace=0.5)
            await self.add_two(stage, pace=0.5)
            for runner in stage.runners.values():
                runner.refuses = True
                runner.rejection_seconds = 1.0
                runner.loses_answer = True
            await stage.publish("keeper-1", self.build_document(2, "non_idempotent"))
            await asyncio.sleep(1.0)
            call = asyncio.create_task(stage.call("entry-1", "order", "r1"))
            await asyncio.sleep(0.3)
            for runner in stage.runners.values():
                runner.refuses = False
            await stage.publish("keeper-1", self.build_document(3, "idempotent"))
            answer = await call
            self.check_at_most_once(stage, "r1", answer.status)
            self.assertEqual(answer.status, 502)

        self.play(scene)

    def test_stream_whose_route_becomes_resumable_while_it_runs(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=LENGTH)
            document = gateway_lab.build_document(2)
            document["routes"][0].update(max_attempts=2)
            await stage.publish("keeper-1", document)
            await asyncio.sleep(1.0)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            await asyncio.sleep(0.5)
            await stage.add_runner("t2", "llm", length=LENGTH)
            document = gateway_lab.build_document(3)
            document["routes"][0].update(resumable=True, max_attempts=2)
            await stage.publish("keeper-1", document)
            await asyncio.sleep(1.0)
            first.crash()
            answer = await call
            self.assertFalse(answer.is_whole)
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)

        self.play(scene)

    def test_price_whose_route_becomes_one_that_runs_once(self) -> None:
        """A retry that the table in force at its arrival allowed goes by that table."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage, pace=1.5)
            for runner in runners:
                runner.loses_answer = True
            call = asyncio.create_task(stage.call("entry-1", "price", "r1"))
            await asyncio.sleep(0.3)
            document = gateway_lab.build_document(2)
            document["routes"][3].update(kind="non_idempotent", max_attempts=1)
            await stage.publish("keeper-1", document)
            answer = await call
            self.assertEqual(answer.status, 502)
            self.assertLessEqual(len(gateway_scenes.list_runs(stage, "r1")), 2)

        self.play(scene)


class EntryTest(gateway_scenes.AtMostOnceCase):
    """The entry goes away while a request that may run once is at a target."""

    def test_order_at_an_entry_that_ends_runs_nowhere_else(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_two(stage, pace=12.0)
            call = asyncio.create_task(stage.call("entry-1", "order", "r1", wait_ms=20_000))
            await asyncio.sleep(0.3)
            await stage.entries.pop("entry-1").stop()
            answer = await call
            self.assertEqual(answer.status, 0)
            stage.add_entry("entry-2")
            await stage.start_entry("entry-2")
            await asyncio.sleep(15.0)
            self.check_at_most_once(stage, "r1", answer.status)
            self.assertEqual(len(gateway_scenes.list_runs(stage, "r1")), 1)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
