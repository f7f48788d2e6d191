"""A bounded soak test of real processes under load, configuration changes and SIGKILL.

The fleet has three keepers, two entries and four agents; one or two daemons at a time are killed
without warning. The run takes slightly more than ``--seconds``; the exit status is 0 if the checker
found no broken guarantee.
"""

import argparse
import asyncio
import contextlib
import copy
import json
import pathlib
import random
import shutil
import sys
from typing import Any

import httpx

from tillerlane.config import documents
from tillerlane.testing import checker, deployment, texts

__all__ = ["Soak"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "soak-caller"
HALLS = ("hall-a", "hall-b", "hall-c", "hall-d")
STREAM_WORKERS = 10
CALL_WORKERS = 4
CHANGE_INTERVAL_SECONDS = 0.2
KILL_INTERVAL_SECONDS = 2.5
DOWNTIME_SECONDS = 0.8
MAX_ATTEMPTS = 4
MAX_RESUMES = 12
DOCUMENT: dict[str, Any] = {
    "fleet": {"detached_seconds": 20},
    "workspaces": {"w": {"keys": [documents.hash_key(KEY)]}, "marked": {}},
    "classes": {
        "record": {"pool": "p", "model": "m", "max_tokens": 300, "on_disconnect": "finish"},
    },
    "pools": {
        "p": {
            "models": ["m"],
            "runners": {f"r-{hall}": {"data_hall": hall} for hall in HALLS},
        }
    },
    "services": {"orders": {"repeatable": False, "targets": {"orders-1": {"data_hall": "hall-a"}}}},
}


class Soak:
    """One run of the soak.

    Parameters
    ----------
    fleet : deployment.Fleet
        The processes.
    seed : int
        Determines which daemons are killed and which entries callers use.
    """

    def __init__(self, fleet: deployment.Fleet, seed: int) -> None:
        self.fleet = fleet
        self.seen = checker.Observations()
        self.kills = 0
        self._rng = random.Random(seed)
        self._entries = [fleet.plan.get_http(name) for name in fleet.plan.list_role("entry")]
        self._number = 0
        self._version = 1
        self._stopping = asyncio.Event()
        self._client = httpx.AsyncClient(timeout=30, trust_env=False)

    def _next(self) -> int:
        self._number += 1
        return self._number

    # Callers

    async def run_streams(self) -> None:
        """Run streams one after another, resuming at any entry when a connection breaks."""
        while not self._stopping.is_set():
            stream = checker.StreamRecord()
            self.seen.streams.append(stream)
            await self._run_stream(stream, f"page {self._next()}")

    async def _run_stream(self, stream: checker.StreamRecord, prompt: str) -> None:
        last_event = ""
        for _ in range(MAX_RESUMES):
            entry = self._rng.choice(self._entries)
            try:
                await self._read_stream(stream, entry, prompt, last_event)
            except (httpx.HTTPError, OSError):
                await asyncio.sleep(0.3)
            if stream.finished_tokens is not None or stream.fault_kind:
                return
            if stream.pieces:
                generation, offset, pieces = stream.pieces[-1]
                last_event = f"{generation}:{offset + len(pieces)}"

    async def _read_stream(
        self, stream: checker.StreamRecord, entry: str, prompt: str, last_event: str
    ) -> None:
        headers = {"authorization": f"Bearer {KEY}"}
        if last_event:
            headers["last-event-id"] = last_event
        body = {"model": "record", "stream": True, "prompt": prompt}
        url = entry + "/v1/completions"
        async with self._client.stream("POST", url, json=body, headers=headers) as response:
            if response.status_code != 200:
                await response.aread()
                self._handle_refusal(stream, response.json()["error"], bool(last_event))
                return
            event_id = ""
            async for line in response.aiter_lines():
                if line.startswith("id: "):
                    event_id = line[4:]
                elif line.startswith("data: {"):
                    self._handle_event(stream, event_id, json.loads(line[6:]))

    def _handle_refusal(
        self, stream: checker.StreamRecord, error: dict[str, Any], resumed: bool
    ) -> None:
        """Record a refusal as the end of the stream, unless a retry may succeed."""
        can_retry = error["type"] in (
            "no_capacity",
            "unreachable",
            "not_found",
            "unauthenticated",
        )
        if not can_retry:
            stream.fault_kind = error["type"]
            stream.fault_ran = "" if resumed else error["ran"]

    def _handle_event(
        self, stream: checker.StreamRecord, event_id: str, event: dict[str, Any]
    ) -> None:
        if "error" in event:
            stream.fault_kind = event["error"]["type"]
            stream.fault_ran = event["error"]["ran"]
            return
        generation, _, offset = event_id.rpartition(":")
        choice = event["choices"][0]
        if choice["finish_reason"]:
            stream.finished_tokens = int(offset)
            return
        pieces = split_tokens(choice["text"], generation, int(offset))
        stream.pieces.append((generation, int(offset) - len(pieces), pieces))

    async def run_calls(self) -> None:
        """Send non-idempotent calls, retried with their idempotency key without a response."""
        while not self._stopping.is_set():
            call = checker.CallRecord(f"order-{self._next()}")
            self.seen.calls.append(call)
            for _ in range(MAX_ATTEMPTS):
                if await self._send_call(call):
                    break
                await asyncio.sleep(0.3)

    async def _send_call(self, call: checker.CallRecord) -> bool:
        """Send a call; return whether it is known to have run."""
        headers = {"authorization": f"Bearer {KEY}", "idempotency-key": call.reference}
        url = self._rng.choice(self._entries) + "/services/orders/orders"
        body = {"reference": call.reference, "delay": 0.05}
        try:
            response = await self._client.post(url, json=body, headers=headers)
        except (httpx.HTTPError, OSError):
            call.responses.append((0, "unknown"))
            return False
        ran = response.headers.get("x-tillerlane-ran", "")
        call.responses.append((response.status_code, ran))
        return response.status_code == 201

    # Operators

    async def run_changes(self) -> None:
        """Submit changes periodically, retried under their id until there is a response."""
        while not self._stopping.is_set():
            change_id = f"soak-change-{self._next()}"
            document = copy.deepcopy(DOCUMENT)
            document["workspaces"]["marked"]["weight"] = 1.0 + self._number / 1e6
            body = {"against": self._version, "change_id": change_id, "document": document}
            for _ in range(MAX_ATTEMPTS):
                if await self._send_change(body):
                    break
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)

    async def _send_change(self, body: dict[str, Any]) -> bool:
        headers = {"authorization": f"Bearer {deployment.OPERATOR_KEY}"}
        url = self._rng.choice(self._entries) + "/admin/config"
        try:
            response = await self._client.post(url, json=body, headers=headers)
        except (httpx.HTTPError, OSError):
            await asyncio.sleep(0.2)
            return False
        if response.status_code == 200:
            version = response.json()["version"]
            self.seen.changes.append(checker.ChangeRecord(body["change_id"], version))
            self._version = max(self._version, version)
            return True
        if response.status_code == 409:
            self._version = max(self._version, response.json()["error"]["detail"]["version"])
            return True
        return False

    async def watch_versions(self) -> None:
        """Record the versions that daemons report to be in force."""
        while not self._stopping.is_set():
            for name in self.fleet.plan.daemons:
                version = await self._read_version(name)
                if version is not None:
                    self.seen.versions.setdefault(name, []).append(version)
            await asyncio.sleep(0.2)

    async def _read_version(self, name: str) -> int | None:
        """Read the version in force; None if a daemon has just started or does not respond."""
        headers = {"authorization": f"Bearer {deployment.OPERATOR_KEY}"}
        url = self.fleet.plan.get_http(name) + "/admin/self"
        try:
            response = await self._client.get(url, headers=headers, timeout=2)
            return response.json()["version"] or None
        except (httpx.HTTPError, OSError, ValueError, KeyError):
            return None

    # Faults
    async def kill_periodically(self) -> None:
        """Periodically kill and restart one or two daemons."""
        while not self._stopping.is_set():
            await asyncio.sleep(KILL_INTERVAL_SECONDS)
            names = self._rng.sample(sorted(self.fleet.plan.daemons), self._rng.choice((1, 2)))
            for name in names:
                self.fleet.kill(name)
                self.kills += 1
            await asyncio.sleep(DOWNTIME_SECONDS)
            for name in names:
                self.fleet.start(name)

    # The run

    async def run(self, seconds: float) -> list[str]:
        """Run the soak, let the fleet settle, and return the broken guarantees."""
        work = [self.run_changes(), self.watch_versions()]
        work += [self.run_streams() for _ in range(STREAM_WORKERS)]
        work += [self.run_calls() for _ in range(CALL_WORKERS)]
        tasks = [asyncio.create_task(item) for item in work]
        killer = asyncio.create_task(self.kill_periodically())
        await asyncio.sleep(seconds)
        self._stopping.set()
        await killer
        await asyncio.wait(tasks, timeout=60)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(5)
        await self._read_final_state()
        await self._client.aclose()
        return checker.check(self.seen)

    async def _read_final_state(self) -> None:
        """Read the final state of the fake service and the daemons."""
        record = await self._client.get(self.fleet.plan.urls["orders-1"] + "/test/record")
        self.seen.times_run = record.json()
        headers = {"authorization": f"Bearer {deployment.OPERATOR_KEY}"}
        for name in self.fleet.plan.list_role("keeper"):
            url = self.fleet.plan.get_http(name) + "/admin/config/history"
            history = (await self._client.get(url, headers=headers)).json()
            self.seen.histories[name] = {item["version"]: item["change_id"] for item in history}
        for name in self.fleet.plan.daemons:
            version = None
            with contextlib.suppress(httpx.HTTPError):
                version = await self._read_version(name)
            self.seen.final_versions[name] = version or 0


def split_tokens(text: str, generation: str, next_offset: int) -> list[str]:
    """Split a text into its expected tokens; return it as a single wrong token if that fails.

    The number of tokens is not transmitted, so expected tokens are removed from the end until the
    text is empty.
    """
    found: list[str] = []
    rest = text
    offset = next_offset
    while rest and offset > 0:
        offset -= 1
        token = texts.make_token(generation, offset)
        if not rest.endswith(token):
            return [text]
        found.insert(0, token)
        rest = rest[: len(rest) - len(token)]
    return found if not rest else [text]


def start_fleet() -> deployment.Fleet:
    """Start the processes of a run."""
    folder = ROOT / "out" / "soak"
    shutil.rmtree(folder, ignore_errors=True)
    options = ["--median-tokens", "120", "--step-ms", "20"]
    plan = deployment.plan(
        documents.Document.model_validate(DOCUMENT), str(folder), runner_options=options
    )
    fleet = deployment.Fleet(plan, folder)
    fleet.start()
    fleet.wait_answering()
    fleet.apply(DOCUMENT, 0, "soak-first")
    fleet.wait_ready()
    return fleet


def main() -> None:
    """Run the soak once and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    fleet = start_fleet()
    try:

        async def run() -> tuple[Soak, list[str]]:
            soak = Soak(fleet, arguments.seed)
            return soak, await soak.run(arguments.seconds)

        soak, problems = asyncio.run(run())
    finally:
        fleet.kill_all()
    seen = soak.seen
    finished = sum(stream.finished_tokens is not None for stream in seen.streams)
    faults: dict[str, int] = {}
    for stream in seen.streams:
        if stream.fault_kind:
            faults[stream.fault_kind] = faults.get(stream.fault_kind, 0) + 1
    settled = sum(any(status == 201 for status, _ in call.responses) for call in seen.calls)
    print(f"kills {soak.kills}; streams {len(seen.streams)}, complete {finished}, faults {faults}")
    print(f"calls {len(seen.calls)}, confirmed {settled}; changes accepted {len(seen.changes)}")
    for problem in problems[:40]:
        print(f"BROKEN {problem}")
    print("nothing broken" if not problems else f"{len(problems)} guarantees broken")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
