"""Processor time a token and delay that entry and agent add, with real processes on loopback.

Each generation is read twice at the same time: by a caller through the entry, and directly at the
fake runner.  The difference between the two arrivals of one token is the delay added.
"""

import argparse
import asyncio
import json
import pathlib
import shutil
import time
from typing import Any

import httpx

from benchmarks import processes
from tillerlane.config import documents
from tillerlane.testing import deployment

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "benchmarks" / "results" / "relay.json"
KEY = "relay-caller"
STEP_MS = 50
TOKENS = 200
WARM_SECONDS = 2.0
DOCUMENT: dict[str, Any] = {
    "workspaces": {"w": {"keys": [documents.hash_key(KEY)]}},
    "classes": {"c": {"pool": "p", "model": "m", "max_tokens": TOKENS}},
    "pools": {"p": {"models": ["m"], "runners": {"r": {"data_hall": "hall-a"}}}},
}


def start_fleet() -> deployment.Fleet:
    """One keeper, one entry, one agent and one runner that writes long answers."""
    folder = ROOT / "out" / "relay"
    shutil.rmtree(folder, ignore_errors=True)
    options = ["--step-ms", str(STEP_MS), "--median-tokens", "100000", "--length-spread", "0.01"]
    options += ["--memory-tokens", "1000000", "--batch-limit", "1000"]
    plan = deployment.plan(
        documents.Document.model_validate(DOCUMENT),
        str(folder),
        keepers=1,
        entries=1,
        runner_options=options,
    )
    fleet = deployment.Fleet(plan, folder)
    fleet.start()
    fleet.wait_answering()
    fleet.apply(DOCUMENT, 0, "change-relay")
    fleet.wait_ready()
    time.sleep(WARM_SECONDS)
    return fleet


async def read_caller(
    client: httpx.AsyncClient, url: str, number: int, found: asyncio.Future[str]
) -> dict[int, float]:
    """Arrival of each token through the entry, by its offset."""
    arrivals: dict[int, float] = {}
    body = {"model": "c", "stream": True, "max_tokens": TOKENS, "prompt": f"stream {number}"}
    headers = {"authorization": f"Bearer {KEY}"}
    last = 0
    async with client.stream("POST", url, json=body, headers=headers) as answer:
        answer.raise_for_status()
        async for line in answer.aiter_lines():
            if line.startswith("id: "):
                generation_id, _, next_offset = line[4:].rpartition(":")
                if not found.done():
                    found.set_result(generation_id)
                now = time.monotonic()
                for offset in range(last, int(next_offset)):
                    arrivals[offset] = now
                last = int(next_offset)
    return arrivals


async def read_runner(
    client: httpx.AsyncClient, base: str, found: asyncio.Future[str]
) -> dict[int, float]:
    """Arrival of each token directly from the runner."""
    arrivals: dict[int, float] = {}
    generation_id = await found
    url = f"{base}/v1/generations/{generation_id}"
    async with client.stream("GET", url) as answer:
        async for line in answer.aiter_lines():
            if not line.startswith("data: "):
                continue
            event = json.loads(line[6:])
            now = time.monotonic()
            for position in range(len(event.get("texts", []))):
                arrivals[event["offset"] + position] = now
    return arrivals


async def measure(fleet: deployment.Fleet, streams: int, direct: int) -> dict[str, Any]:
    """Run so many streams at once; read some of them directly too."""
    url = fleet.plan.get_http("entry-1") + "/v1/completions"
    limits = httpx.Limits(max_connections=None)
    loop = asyncio.get_running_loop()
    async with httpx.AsyncClient(timeout=120, limits=limits, trust_env=False) as client:
        found = [loop.create_future() for _ in range(streams)]
        names = ["entry-1", "agent-hall-a"]
        before = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
        callers = [
            asyncio.create_task(read_caller(client, url, number, found[number]))
            for number in range(streams)
        ]
        readers = [
            asyncio.create_task(read_runner(client, fleet.plan.urls["r"], found[number]))
            for number in range(direct)
        ]
        through = await asyncio.gather(*callers)
        beside = await asyncio.gather(*readers)
        after = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
    tokens = sum(len(arrivals) for arrivals in through)
    delays = sorted(
        one[offset] - other[offset]
        for one, other in zip(through, beside, strict=False)
        for offset in one
        if offset > 5 and offset in other
    )
    cpu = {name: (after[name].cpu - before[name].cpu) / tokens * 1e6 for name in names}
    passed = after["entry-1"].at - before["entry-1"].at
    return {
        "streams": streams,
        "tokens": tokens,
        "tokens_a_second": tokens / passed,
        "entry_us_a_token": cpu["entry-1"],
        "agent_us_a_token": cpu["agent-hall-a"],
        "both_us_a_token": sum(cpu.values()),
        "added_ms_p50": delays[len(delays) // 2] * 1000,
        "added_ms_p99": delays[int(len(delays) * 0.99)] * 1000,
        "entry_memory": after["entry-1"].memory,
        "agent_memory": after["agent-hall-a"].memory,
    }


def main() -> None:
    """Measure and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="10,25,50,100")
    parser.add_argument("--write", default=str(RESULTS))
    arguments = parser.parse_args()
    fleet = start_fleet()
    rows = []
    try:
        for count in arguments.streams.split(","):
            row = asyncio.run(measure(fleet, int(count), min(int(count), 10)))
            rows.append(row)
            print(json.dumps(row), flush=True)
    finally:
        fleet.kill_all()
    path = pathlib.Path(arguments.write)
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps({"rows": rows}, indent=1) + "\n")


if __name__ == "__main__":
    main()
