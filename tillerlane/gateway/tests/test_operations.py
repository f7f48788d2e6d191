"""The diagnoses of docs/OPERATIONS.md: from a failed request's id to its cause, by log lines."""

import asyncio
import pathlib
import re
import unittest
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.testing import gateway_lab, gateway_scenes

ROOT = pathlib.Path(__file__).resolve().parents[3]
PAGE = ROOT / "docs" / "OPERATIONS.md"


def read_lines(stage: gateway_lab.GatewayLab, request_id: str) -> list[dict[str, Any]]:
    """The entry's log lines about a request, as event and fields."""
    return [
        {"event": event.name, **event.fields}
        for event in stage.entries["entry-1"].timeline.read()
        if event.request_id == request_id
    ]


class DiagnosisTest(gateway_scenes.GatewayCase):
    """Each failure on the page is caused, and its cause is found by the request's id alone."""

    def test_stream_that_broke_off_when_its_runner_left(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=90, copy_seconds=3.0)
            await asyncio.sleep(0.2)
            call = asyncio.create_task(stage.call("entry-1", "record", "r1", **gateway_scenes.LONG))
            await asyncio.sleep(0.4)
            await stage.add_runner("t2", "llm", length=90)
            await asyncio.sleep(0.2)
            stage.beat("t1", "llm", phase=directories.Phase.DRAINING)
            await asyncio.sleep(1.5)
            runner.crash()
            await call
            sent, moved, broken = read_lines(stage, "r1")
            self.assertEqual((sent["event"], sent["target"]), ("request.send", "t1"))
            self.assertEqual((moved["event"], moved["outcome"]), ("run.move", "lost"))
            self.assertEqual((moved["source"], moved["destination"]), ("t1", "t2"))
            self.assertGreaterEqual(moved["took_ms"], 1_400)
            self.assertEqual((broken["event"], broken["phase"]), ("stream.break", "draining"))

        self.play(scene)

    def test_refusal_for_backoff_that_a_target_requested(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            runner.refuses, runner.backoff = True, "3"
            await asyncio.sleep(2.0)
            await stage.call("entry-1", "order", "r1")
            answer = await stage.call("entry-1", "order", "r2")
            (line,) = read_lines(stage, "r2")
            self.assertEqual((answer.status, line["status"]), (503, 503))
            self.assertIn("no target but 1 that asked for back-off", line["reason"])
            backoff, sent, refused = read_lines(stage, "r1")
            self.assertEqual((backoff["event"], backoff["target"]), ("target.backoff", "t1"))
            self.assertEqual((backoff["seconds"], backoff["is_news"]), (3.0, True))
            self.assertEqual((sent["event"], sent["target"]), ("request.send", "t1"))
            self.assertEqual(refused["event"], "request.refuse")
            self.assertGreater(refused["retry_after"], 2.9)

        self.play(scene)

    def test_request_served_elsewhere_after_a_target_rejected_it(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            runner.refuses, runner.backoff = True, "1"
            await stage.add_runner("t2", "app")
            await asyncio.sleep(2.0)
            number = 0
            while not runner.arrived:
                number += 1
                await stage.call("entry-1", "order", f"r{number}")
            backoff, sent, ended = read_lines(stage, f"r{number}")
            self.assertEqual((backoff["event"], backoff["target"]), ("target.backoff", "t1"))
            self.assertIn("turned away", sent["reason"])
            self.assertEqual((ended["event"], ended["target"]), ("request.end", "t2"))
            runner.refuses = False
            await asyncio.sleep(1.1)
            while len(runner.arrived) == 1:
                await stage.call("entry-1", "order", f"later-{number}")
            over = read_lines(stage, f"later-{number}")
            self.assertIn(
                ("target.backoff_over", f"r{number}"),
                {(line["event"], line.get("asked_by")) for line in over},
            )

        self.play(scene)

    def test_refusal_for_limits_that_targets_named(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            runner.limit = "0"
            await asyncio.sleep(2.0)
            await stage.call("entry-1", "order", "r1")
            answer = await stage.call("entry-1", "order", "r2")
            (line,) = read_lines(stage, "r2")
            self.assertEqual((answer.status, line["status"]), (503, 503))
            self.assertIn("no target but 1 whose limits", line["reason"])
            named, ended = read_lines(stage, "r1")
            self.assertEqual((named["event"], named["target"]), ("target.limit", "t1"))
            self.assertEqual((named["limit"], named["is_named"]), (0.0, True))
            self.assertEqual((ended["event"], ended["target"]), ("request.end", "t1"))

        self.play(scene)

    def test_refusal_for_memory(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", length=90)
            await asyncio.sleep(0.2)
            tokens = {**gateway_scenes.LONG, "Token_Counts": "33900,2000"}
            answer = await stage.call("entry-1", "record", "r1", **tokens)
            (line,) = read_lines(stage, "r1")
            self.assertEqual((answer.status, line["status"]), (503, 503))
            self.assertIn("no memory: 34200 tokens", line["reason"])
            self.assertEqual(f"{line['retry_after']:.2f}", answer.headers["retry-after"])

        self.play(scene)

    def test_call_without_an_answer_in_time(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.is_dark = True
            answer = await stage.call("entry-1", "order", "r1", wait_ms=500)
            sent, refused = read_lines(stage, "r1")
            self.assertEqual((answer.status, refused["status"]), (504, 504))
            self.assertEqual((sent["target"], sent["outcome"]), ("t1", "unknown"))
            self.assertIn("no answer in time", refused["reason"])

        self.play(scene)

    def test_generation_that_two_runners_may_have_worked_on(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(f"t{n}", "llm", length=120) for n in (1, 2)]
            await asyncio.sleep(0.2)
            calls = [
                asyncio.create_task(stage.call("entry-1", "record", f"r{n}", **gateway_scenes.LONG))
                for n in range(6)
            ]
            await asyncio.sleep(0.6)
            backed = [run.request_id for run in runners[0].ran if "kv-backup" in run.headers]
            runners[0].is_cut_off = True
            await asyncio.sleep(2.0)
            runners[0].is_cut_off = False
            await asyncio.sleep(1.0)
            lines = {line["event"]: line for line in read_lines(stage, backed[0])}
            resumed, stopped = lines["run.go_on"], lines["run.stop"]
            self.assertEqual((resumed["former"], resumed["target"]), ("t1", "t2"))
            self.assertEqual(resumed["cause"], "silent and out of reach")
            self.assertEqual((stopped["source"], stopped["evidence"]), ("t1", "stopped"))
            # Both runners may have worked for this long: from the last contact to the next one.
            self.assertGreater(stopped["took_ms"], 900)
            self.assertGreater(stopped["orders"], 1)
            for call in calls:
                call.cancel()
            await asyncio.sleep(0.1)
            (left,) = [line for line in read_lines(stage, backed[0]) if "reason" in line][-1:]
            self.assertEqual((left["event"], left["reason"]), ("stream.break", "caller left"))

        self.play(scene)


class PageTest(unittest.TestCase):
    """The page lists only log lines that the programs write."""

    def test_every_log_line_of_the_table_is_in_the_sources(self) -> None:
        sources = "\n".join(
            path.read_text()
            for folder in ("gateway", "keeper", "platform", "timeline")
            for path in (ROOT / "tillerlane" / folder).rglob("*.py")
            if "tests" not in path.parts
        )
        rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
        names = [name for row in rows for name in re.findall(r"`([a-z]+\.[a-z_]+)`", row)]
        self.assertGreater(len(names), 15)
        self.assertEqual([name for name in names if f'"{name}"' not in sources], [])


if __name__ == "__main__":
    unittest.main()
