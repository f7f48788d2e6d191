"""Processor time per token and delay added by entry and agent, with real processes on loopback.

Some generations are read twice at the same time: by a caller through the entry, and directly from
the fake runner.  The difference between the two arrival times of a token is the delay added.
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
WARM_UP_SECONDS = 2.0
DOCUMENT: dict[str, Any] = {
    "workspaces": {"w": {"keys": [documents.hash_key(KEY)]}},
    "classes": {"c": {"pool": "p", "model": "m", "max_tokens": TOKENS}},
    "pools": {"p": {"models": ["m"], "runners": {"r": {"data_hall": "hall-a"}}}},
}


def start_fleet() -> deployment.Fleet:
    """Start one keeper, one entry, one agent and one runner that generates long outputs."""
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
    time.sleep(WARM_UP_SECONDS)
    return fleet


async def read_through_entry(
    client: httpx.AsyncClient, url: str, number: int, id_future: asyncio.Future[str]
) -> dict[int, float]:
    """Read a stream through the entry; return the arrival time of each token by offset."""
    arrivals: dict[int, float] = {}
    body = {"model": "c", "stream": True, "max_tokens": TOKENS, "prompt": f"stream {number}"}
    headers = {"authorization": f"Bearer {KEY}"}
    received = 0
    async with client.stream("POST", url, json=body, headers=headers) as response:
        response.raise_for_status()
        async for line in response.aiter_lines():
            if line.startswith("id: "):
                generation_id, _, next_offset = line[4:].rpartition(":")
                if not id_future.done():
                    id_future.set_result(generation_id)
                now = time.monotonic()
                for offset in range(received, int(next_offset)):
                    arrivals[offset] = now
                received = int(next_offset)
    return arrivals


async def read_from_runner(
    client: httpx.AsyncClient, base: str, id_future: asyncio.Future[str]
) -> dict[int, float]:
    """Read a stream directly from the runner; return the arrival time of each token by offset."""
    arrivals: dict[int, float] = {}
    generation_id = await id_future
    url = f"{base}/v1/generations/{generation_id}"
    async with client.stream("GET", url) as response:
        async for line in response.aiter_lines():
            if not line.startswith("data: "):
                continue
            event = json.loads(line[6:])
            now = time.monotonic()
            for position in range(len(event.get("texts", []))):
                arrivals[event["offset"] + position] = now
    return arrivals


async def measure(fleet: deployment.Fleet, streams: int, direct_count: int) -> dict[str, Any]:
    """Run concurrent streams and read the first ``direct_count`` of them directly as well."""
    url = fleet.plan.get_http("entry-1") + "/v1/completions"
    limits = httpx.Limits(max_connections=None)
    loop = asyncio.get_running_loop()
    async with httpx.AsyncClient(timeout=120, limits=limits, trust_env=False) as client:
        id_futures = [loop.create_future() for _ in range(streams)]
        names = ["entry-1", "agent-hall-a"]
        before = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
        callers = [
            asyncio.create_task(read_through_entry(client, url, number, id_futures[number]))
            for number in range(streams)
        ]
        readers = [
            asyncio.create_task(read_from_runner(client, fleet.plan.urls["r"], id_futures[number]))
            for number in range(direct_count)
        ]
        relayed = await asyncio.gather(*callers)
        direct_arrivals = await asyncio.gather(*readers)
        after = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
    tokens = sum(len(arrivals) for arrivals in relayed)
    delays = sorted(
        through_entry[offset] - from_runner[offset]
        for through_entry, from_runner in zip(relayed, direct_arrivals, strict=False)
        for offset in through_entry
        if offset > 5 and offset in from_runner
    )
    cpu = {name: (after[name].cpu - before[name].cpu) / tokens * 1e6 for name in names}
    elapsed_seconds = after["entry-1"].at - before["entry-1"].at
    return {
        "streams": streams,
        "tokens": tokens,
        "tokens_a_second": tokens / elapsed_seconds,
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
