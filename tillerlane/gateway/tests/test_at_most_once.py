"""A request that may run once, on each way by which a target may begin it or go on with it.

The table of these ways is ``docs/design/at-most-once.md``.
"""

import asyncio
import itertools
import unittest
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.gateway import http_head
from tillerlane.testing import caller, gateway_lab, gateway_scenes, platform_runner

LENGTH = 90
SURPLUS = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n"
"""An answer to a request that nobody has sent yet."""
PROMISES = (408, 421, 429, 503)
"""Statuses that promise a caller that its request has not run and never will."""


def list_runs(stage: gateway_lab.GatewayLab, request_id: str) -> list[platform_runner.RanRequest]:
    """All runs of a request, at any runner."""
    runs = [run for runner in stage.runners.values() for run in runner.ran]
    return [run for run in runs if run.request_id == request_id]


class OnceCase(gateway_scenes.GatewayCase):
    """Scenes with two targets of the service that may not be asked twice."""

    async def add_two(
        self, stage: gateway_lab.GatewayLab, pool: str = "app", **more: Any
    ) -> list[platform_runner.PlatformRunner]:
        """Two targets that are known to the entry."""
        runners = [await stage.add_runner(name, pool, **more) for name in ("t1", "t2")]
        await asyncio.sleep(0.2)
        return runners

    def check_once(self, stage: gateway_lab.GatewayLab, request_id: str, status: int) -> None:
        """A request ran at most once, and is not promised not to have run if it did."""
        runs = list_runs(stage, request_id)
        self.assertLessEqual(len(runs), 1)
        if runs:
            self.assertNotIn(status, PROMISES)


class WordOfTargetTest(OnceCase):
    """A target's "not run" is believed only if it speaks of this request and of no other."""

    def play_denials(self, route: str, pool: str, status: int, **more: Any) -> None:
        """Targets that run a request and then deny it without a word of which one."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage, pool, **more):
                runner.denies_status = status
                runner.names_no_request = True
            answer = await stage.call("entry-1", route, "r1", **gateway_scenes.LONG)
            self.check_once(stage, "r1", answer.status)

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
            self.check_once(stage, "r1", answer.status)

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
            self.check_once(stage, "r1", answer.status)

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
                self.check_once(stage, request_id, answer.status)

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
            self.assertEqual(list_runs(stage, "r1"), [])
            self.assertEqual(sorted(len(item.turned_away) for item in runners), [1, 1])

        self.play(scene)


class ConnectionTest(OnceCase):
    """What stands on a connection before, behind and beside a request."""

    def test_bytes_behind_a_whole_answer_belong_to_no_request(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage):
                runner.surplus = SURPLUS
            for number in range(1, 7):
                answer = await stage.call("entry-1", "order", f"r{number}")
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, f"answer to r{number}".encode())
                self.assertEqual(len(list_runs(stage, f"r{number}")), 1)

        self.play(scene)

    def test_bytes_behind_an_interim_answer_are_none_of_its_body(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage):
                runner.preface = b"HTTP/1.1 102 Processing\r\n\r\n"
            answer = await stage.call("entry-1", "order", "r1")
            self.assertEqual((answer.status, answer.body), (200, b"answer to r1"))
            self.check_once(stage, "r1", answer.status)

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
                self.assertLessEqual(len(list_runs(stage, request_id)), 1)
            self.assertTrue(all(status == 502 for status in statuses), statuses)

        self.play(scene)

    def test_good_requests_one_behind_another_run_once_each(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_two(stage)
            statuses, bodies = await self.send_on_one_connection(stage, ["r1", "r2", "r3"])
            self.assertEqual(statuses, [200, 200, 200])
            self.assertEqual(bodies, [f"answer to r{number}".encode() for number in (1, 2, 3)])
            for request_id in ("r1", "r2", "r3"):
                self.assertEqual(len(list_runs(stage, request_id)), 1)

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
            writer.write(http_head.write_request_head(head) + b"body")
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


class IncarnationTest(OnceCase):
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
            self.check_once(stage, "r1", answer.status)
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
            self.assertEqual(len(list_runs(stage, "r1")), 1)

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


class ConfigurationTest(OnceCase):
    """The kind of a route changes while a request waits or runs."""

    def build_document(self, version: int, kind: str) -> dict[str, Any]:
        """The route of orders with another kind and two attempts."""
        document = gateway_lab.build_document(version)
        document["routes"][2].update(kind=kind, max_attempts=2)
        return document

    def test_order_whose_route_becomes_repeatable_while_it_runs(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage, pace=1.5)
            for runner in runners:
                runner.loses_answer = True
            call = asyncio.create_task(stage.call("entry-1", "order", "r1"))
            await asyncio.sleep(0.3)
            await stage.publish("keeper-1", self.build_document(2, "idempotent"))
            answer = await call
            self.check_once(stage, "r1", answer.status)
            self.assertEqual(answer.status, 502)

        self.play(scene)

    def test_order_that_waits_for_a_target_while_its_route_becomes_repeatable(self) -> None:
        """It was taken as one that may run once, and stays one."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for runner in await self.add_two(stage, pace=0.5):
                runner.refuses = True
                runner.turn_away_seconds = 1.0
                runner.loses_answer = True
            await stage.publish("keeper-1", self.build_document(2, "non_idempotent"))
            await asyncio.sleep(1.0)
            call = asyncio.create_task(stage.call("entry-1", "order", "r1"))
            await asyncio.sleep(0.3)
            for runner in stage.runners.values():
                runner.refuses = False
            await stage.publish("keeper-1", self.build_document(3, "idempotent"))
            answer = await call
            self.check_once(stage, "r1", answer.status)
            self.assertEqual(answer.status, 502)

        self.play(scene)

    def test_stream_whose_route_becomes_resumable_while_it_runs(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            first = await stage.add_runner("t1", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            await asyncio.sleep(0.5)
            await stage.add_runner("t2", "llm", length=LENGTH)
            document = gateway_lab.build_document(2)
            document["routes"][0].update(resumable=True, max_attempts=2)
            await stage.publish("keeper-1", document)
            await asyncio.sleep(1.0)
            first.crash()
            answer = await call
            self.assertFalse(answer.is_whole)
            self.assertEqual(len(list_runs(stage, "r1")), 1)

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
            self.assertLessEqual(len(list_runs(stage, "r1")), 2)

        self.play(scene)


class ResumptionTest(OnceCase):
    """A caller comes back with the id of the last event that it has."""

    def test_run_has_ended_before_its_caller_resumes_it_at_another_entry(self) -> None:
        """A stream that may be resumed; the caller's new attempt is a request of its own."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_two(stage, "llm", length=LENGTH)
            stage.add_entry("entry-2")
            await stage.start_entry("entry-2")
            await asyncio.sleep(3.0)
            first = await stage.call("entry-1", "verdict", "r1", leave_after=0.6)
            self.assertFalse(first.is_whole)
            last = first.body.count(b"id: ")
            self.assertGreater(last, 0)
            again = await stage.call("entry-2", "verdict", "r2", Last_Event_Id=str(last))
            self.assertEqual(again.body, gateway_scenes.build_stream("r2", LENGTH, last + 1))
            (former,) = list_runs(stage, "r1")
            (present,) = list_runs(stage, "r2")
            self.assertEqual(former.ended, "gone")
            self.assertLessEqual(former.ended_at - present.began, 0.4)

        self.play(scene)

    def test_run_that_may_not_be_resumed_ends_with_its_caller(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = await self.add_two(stage, "llm", length=LENGTH)
            await stage.call("entry-1", "record", "r1", leave_after=0.6, **gateway_scenes.LONG)
            await asyncio.sleep(0.5)
            (run,) = list_runs(stage, "r1")
            self.assertEqual(run.ended, "gone")
            stage.beat(runners[0].target_id, "llm", phase=directories.Phase.DRAINING)
            stage.beat(runners[1].target_id, "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(2.0)
            self.assertEqual(len(list_runs(stage, "r1")), 1)

        self.play(scene)

    def test_headers_of_copies_are_not_the_callers_to_set(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.add_two(stage, "llm", length=5)
            given = {"Kv_From": "10.0.9.2:9000/h1", "Kv_Backup": "10.0.9.2:9000"}
            await stage.call("entry-1", "record", "r1", **given, **gateway_scenes.LONG)
            (run,) = list_runs(stage, "r1")
            self.assertNotIn("kv-from", run.headers)
            self.assertNotEqual(run.headers.get("kv-backup"), run.headers.get("host"))

        self.play(scene)


class MoveTest(OnceCase):
    """A run moves more than once, or finds a copy of an earlier start of its own."""

    def test_run_that_moves_twice_is_at_one_runner_at_a_time(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            await asyncio.sleep(0.4)
            for former, present in (("t1", "t2"), ("t2", "t3")):
                await stage.add_runner(present, "llm", length=LENGTH)
                await asyncio.sleep(0.2)
                stage.beat(former, "llm", phase=directories.Phase.DRAINING)
                await asyncio.sleep(0.6)
            answer = await call
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", LENGTH))
            runs = sorted(list_runs(stage, "r1"), key=lambda run: run.began)
            self.assertEqual(len(runs), 3)
            for former, present in itertools.pairwise(runs):
                self.assertLessEqual(former.ended_at - present.began, 0.4)

        self.play(scene)

    async def begin_with_copies(
        self, stage: gateway_lab.GatewayLab
    ) -> tuple[list[platform_runner.PlatformRunner], dict[str, asyncio.Task], list[str]]:
        """Runs at two runners; those at the first that have a copy at the other one."""
        runners = await self.add_two(stage, "llm", length=LENGTH)
        calls = {
            f"r{number}": asyncio.create_task(
                stage.call("entry-1", "record", f"r{number}", **gateway_scenes.LONG)
            )
            for number in range(6)
        }
        await asyncio.sleep(0.6)
        backed = [run.request_id for run in runners[0].ran if "kv-backup" in run.headers]
        self.assertTrue(backed)
        return runners, calls, backed

    def test_copy_that_is_behind_the_callers_last_event_repeats_none(self) -> None:
        """What a former runner of the run left there is old; the run goes on all the same."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await self.begin_with_copies(stage)
            for request_id in backed:
                runners[1].copies[request_id].events = 1
            runners[0].crash()
            await asyncio.gather(*calls.values())
            for request_id in backed:
                body = calls[request_id].result().body
                self.assertEqual(body, gateway_scenes.build_stream(request_id, LENGTH))
                former, present = sorted(list_runs(stage, request_id), key=lambda run: run.began)
                self.assertEqual((former.ended, present.first_event > 2), ("crashed", True))

        self.play(scene)

    def test_copy_that_is_gone_begins_no_other_run(self) -> None:
        """Its runner says "not run"; a run that may not be repeated ends there."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await self.begin_with_copies(stage)
            runners[1].loses_copies = True
            runners[0].crash()
            await asyncio.gather(*calls.values())
            for request_id in backed:
                self.assertFalse(calls[request_id].result().is_whole)
                self.assertEqual(len(list_runs(stage, request_id)), 1)

        self.play(scene)

    def test_copy_whose_taking_up_is_lost_is_taken_up_nowhere_else(self) -> None:
        """The runner that was asked may work on it, so that nobody else is asked."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners, calls, backed = await self.begin_with_copies(stage)
            await stage.add_runner("t3", "llm", length=LENGTH)
            await asyncio.sleep(0.2)
            runners[1].loses_answer = True
            runners[0].crash()
            await asyncio.gather(*calls.values())
            for request_id in backed:
                self.assertFalse(calls[request_id].result().is_whole)
                self.assertEqual(len(list_runs(stage, request_id)), 2)
                self.assertEqual(len([r for r in runners[1].ran if r.request_id == request_id]), 1)

        self.play(scene)


class EntryTest(OnceCase):
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
            self.check_once(stage, "r1", answer.status)
            self.assertEqual(len(list_runs(stage, "r1")), 1)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
