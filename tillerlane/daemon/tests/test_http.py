"""Real processes over HTTP: callers' requests, errors of all kinds, and the command line."""

import asyncio
import json
import pathlib
import socket
import subprocess
import sys
import unittest
from typing import Any

import httpx
import openai

from tillerlane.testing import fleet_scenes

DOCUMENT = fleet_scenes.DOCUMENT
KEY = fleet_scenes.KEY
OTHER_KEY = fleet_scenes.OTHER_KEY
READER_KEY = fleet_scenes.READER_KEY


class HttpTest(fleet_scenes.FleetCase):
    """Callers' requests, errors, and the command line."""

    # Callers' requests

    def test_public_client_streams_chat(self) -> None:
        client = self.open_client()
        chunks = client.chat.completions.create(
            model="record", stream=True, messages=[{"role": "user", "content": "hello"}]
        )
        texts = [chunk.choices[0].delta.content or "" for chunk in chunks]
        self.assertEqual("".join(texts).count(":"), 5)
        self.assertIn("\n", "".join(texts))

    def open_client(self, key: str = KEY) -> openai.OpenAI:
        client = openai.OpenAI(
            api_key=key,
            base_url=self.fleet.plan.get_http("entry-1") + "/v1",
            max_retries=0,
            http_client=httpx.Client(trust_env=False),
        )
        self.addCleanup(client.close)
        return client

    def test_public_client_complete_responses_and_models(self) -> None:
        client = self.open_client()
        chat = client.chat.completions.create(
            model="record-large", messages=[{"role": "user", "content": "hello"}]
        )
        self.assertEqual(chat.usage.completion_tokens, 30)
        text = client.completions.create(model="short", prompt="hello")
        self.assertEqual(text.usage.completion_tokens, 5)
        names = {model.id for model in client.models.list()}
        self.assertEqual(names, {"record", "record-large", "short", "once", "late"})

    def test_public_client_parses_errors(self) -> None:
        with self.assertRaises(openai.NotFoundError) as raised:
            self.open_client().completions.create(model="nothing", prompt="x")
        self.assertEqual(raised.exception.code, "unknown_model")
        with self.assertRaises(openai.AuthenticationError):
            self.open_client("wrong").models.list()

    def test_resume_at_another_entry(self) -> None:
        body = {"model": "record", "stream": True, "prompt": "a page"}
        response = self.post("/v1/completions", body)
        events = [line for line in response.text.split("\n\n") if line.startswith("id: ")]
        event_id = events[3].split("\n")[0].removeprefix("id: ")
        url = self.fleet.plan.get_http("entry-2") + "/v1/completions"
        headers = {"authorization": f"Bearer {KEY}", "last-event-id": event_id}
        remaining = httpx.post(url, json=body, headers=headers, timeout=20, trust_env=False)

        def read(lines: list[str]) -> str:
            data = [json.loads(line.split("data: ", 1)[1]) for line in lines]
            return "".join(item["choices"][0]["text"] for item in data)

        remaining_events = [
            line for line in remaining.text.split("\n\n") if line.startswith("id: ")
        ]
        self.assertEqual(read(events), read(events[:4]) + read(remaining_events))

    def test_plain_service_call_runs_once(self) -> None:
        for _ in range(3):
            response = self.post(
                "/services/orders/orders", {"reference": "o-1"}, idempotency_key="order-1"
            )
            self.assertEqual((response.status_code, response.json()["times_run"]), (201, 1))
        record = httpx.get(self.fleet.plan.urls["orders-1"] + "/test/record", trust_env=False)
        self.assertEqual(record.json()["o-1"], 1)

    # Bad input

    def test_bad_input_is_refused_with_its_kind(self) -> None:
        cases: list[tuple[Any, str, str]] = [
            (b'{"model": ', "bad_request", "Invalid JSON"),
            (b"\xff\xfe", "bad_request", ""),
            ([], "bad_request", "$"),
            ({"model": 3, "prompt": "x"}, "bad_request", "$.model: got 3"),
            ({"model": "record"}, "bad_request", "$.prompt: got nothing"),
            ({"model": "record", "prompt": "x", "max_tokens": 0}, "bad_request", "$.max_tokens"),
            ({"model": "record", "prompt": "x", "n": 2}, "bad_request", "$.n"),
            ({"model": "nothing", "prompt": "x"}, "unknown_model", "nothing"),
            ({"model": "record", "prompt": "x" * 30_000}, "too_large", "20000"),
        ]
        for body, kind, text in cases:
            with self.subTest(kind=kind, body=str(body)[:40]):
                response = self.post("/v1/completions", body)
                self.assertIn(text, self.check_fault(response, kind))

    def test_unbounded_body_is_refused_while_reading(self) -> None:
        host, _, port = self.fleet.plan.daemons["entry-1"]["http_address"].rpartition(":")
        with socket.create_connection((host, int(port)), timeout=20) as connection:
            connection.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                + f"Authorization: Bearer {KEY}\r\n\r\n".encode()
            )
            block = b"1000\r\n" + b"x" * 4096 + b"\r\n"
            try:
                for _ in range(50):
                    connection.sendall(block)
            except OSError:
                pass
            response = connection.recv(4096)
        self.assertIn(b"413", response.split(b"\r\n")[0])

    def test_keys_and_paths(self) -> None:
        body = {"model": "record", "prompt": "x"}
        self.check_fault(self.post("/v1/completions", body, key="wrong"), "unauthenticated")
        self.check_fault(self.post("/v1/completions", body, key=OTHER_KEY), "forbidden")
        self.check_fault(self.post("/v1/nothing", body), "not_found")
        response = self.post("/v1/completions", body, last_event_id="x")
        self.check_fault(response, "bad_request")
        response = self.post("/v1/completions", body, last_event_id="r-9~record~00:3")
        self.check_fault(response, "generation_lost", "yes")
        response = self.post("/services/nothing/x", {})
        self.check_fault(response, "not_found")

    def test_limits_and_deadline(self) -> None:
        body = {"model": "short", "prompt": "x"}
        responses = [self.post("/v1/completions", body, key=OTHER_KEY) for _ in range(4)]
        refused = [response for response in responses if response.status_code == 429]
        self.assertTrue(refused)
        self.check_fault(refused[0], "over_limit")
        self.assertGreaterEqual(int(refused[0].headers["retry-after"]), 1)
        response = self.post("/v1/completions", {"model": "late", "prompt": "x"})
        self.check_fault(response, "deadline_expired", "yes")

    def test_reused_key(self) -> None:
        first = {"model": "once", "prompt": "one"}
        self.assertEqual(self.post("/v1/completions", first, idempotency_key="k").status_code, 200)
        other = {"model": "once", "prompt": "two"}
        self.check_fault(self.post("/v1/completions", other, idempotency_key="k"), "key_reused")

    # Operators

    def write(self, text: str) -> str:
        path = pathlib.Path(self.folder.name) / "document.json"
        path.write_text(text)
        return str(path)

    def test_command_line_queries(self) -> None:
        for arguments in (
            ("status",),
            ("config", "show"),
            ("config", "status"),
            ("config", "history"),
            ("runner", "list"),
            ("keeper", "list"),
            ("timeline", "--last", "30s"),
            ("workspace", "list"),
            ("class", "show", "record"),
        ):
            with self.subTest(arguments=arguments):
                status, output = self.run_cli(*arguments, "--json")
                self.assertEqual(status, 0, output)
                json.loads(output)
        self.assertEqual(self.run_cli("status")[0], 0)

    def test_command_line_exit_status_gives_the_kind(self) -> None:
        bad = self.write('{"workspaces": {"a": {"wieght": 2}}}')
        status, output = self.run_cli("config", "apply", bad)
        self.assertEqual(status, 26)
        self.assertIn(
            "$.workspaces.a.wieght: got an unknown key, expected perhaps 'weight'", output
        )
        good = self.write(json.dumps(DOCUMENT))
        self.assertEqual(self.run_cli("config", "apply", good, "--against", "999")[0], 28)
        self.assertEqual(self.run_cli("config", "apply", good, key="wrong")[0], 12)
        self.assertEqual(self.run_cli("config", "apply", good, key=READER_KEY)[0], 13)
        self.assertEqual(self.run_cli("config", "show", key=READER_KEY)[0], 0)
        self.assertEqual(self.run_cli("class", "show", "nothing")[0], 14)
        unreachable = ("status", "--server", "http://127.0.0.1:9")
        self.assertEqual(self.run_cli(*unreachable)[0], 31)

    def test_daemon_checks_settings(self) -> None:
        path = self.write('{"daemon": "x", "roles": ["entry"], "data_hal": "a"}')
        command = [sys.executable, "-m", "tillerlane.daemon.main", "--settings", path, "--check"]
        process = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual(process.returncode, 26)
        self.assertIn(
            "$.data_hal: got an unknown key, expected perhaps 'data_hall'", process.stderr
        )

    def test_cancel_by_an_operator(self) -> None:
        async def scene() -> str:
            url = self.fleet.plan.get_http("entry-1") + "/v1/completions"
            headers = {"authorization": f"Bearer {KEY}"}
            body = {"model": "record", "prompt": "x", "stream": True}
            async with (
                httpx.AsyncClient(trust_env=False, timeout=20) as client,
                client.stream("POST", url, json=body, headers=headers) as response,
            ):
                lines = response.aiter_lines()
                first = await anext(lines)
                generation_id = first.removeprefix("id: ").rpartition(":")[0]
                await asyncio.to_thread(self.run_cli, "request", "cancel", generation_id)
                return "\n".join([line async for line in lines])

        remaining = asyncio.run(scene())
        self.assertTrue("cancelled" in remaining or "[DONE]" in remaining, remaining[-500:])


if __name__ == "__main__":
    unittest.main()
