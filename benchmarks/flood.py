"""What a flood of unauthenticated peers costs: callers' delays and an entry's memory.

A thousand connections to the callers' listener send their heads byte by byte, some announce a body
of 1 GB, and others connect to the peer listener and say nothing.
"""

import asyncio
import json
import pathlib
import time

import httpx

from benchmarks import processes, relay
from tillerlane.peers import node as nodes
from tillerlane.testing import deployment

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "benchmarks" / "results" / "flood.json"
CONNECTIONS = 1_000
CALLS = 150
HUGE = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n"
    b"Authorization: Bearer nobody\r\n\r\n"
)


async def hold(address: str, kind: int, stop: asyncio.Event) -> None:
    """One hostile connection, opened again whenever it is closed."""
    host, port = nodes.split_address(address)
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, port)
            if kind == 0:
                for byte in b"GET /v1/models HTTP/1.1\r\nX-Slow: " + b"a" * 100:
                    writer.write(bytes([byte]))
                    await asyncio.wait_for(asyncio.shield(stop.wait()), 1.0)
            else:
                writer.write(HUGE if kind == 1 else b"")
                await asyncio.wait_for(reader.read(1000), 5.0)
            writer.close()
        except TimeoutError:
            continue
        except OSError:
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.5)


async def call_often(url: str) -> list[float]:
    """Seconds until the first token of calls one after the other."""
    times = []
    headers = {"authorization": f"Bearer {relay.KEY}"}
    body = {"model": "c", "stream": True, "max_tokens": 2, "prompt": "x"}
    async with httpx.AsyncClient(timeout=30, trust_env=False) as client:
        for _ in range(CALLS):
            began = time.monotonic()
            async with client.stream("POST", url, json=body, headers=headers) as answer:
                answer.raise_for_status()
                async for _line in answer.aiter_lines():
                    break
            times.append(time.monotonic() - began)
    return sorted(times)


async def measure(fleet: deployment.Fleet) -> dict[str, float]:
    """Calls without and with the flood."""
    url = fleet.plan.get_http("entry-1") + "/v1/completions"
    own = fleet.plan.daemons["entry-1"]
    calm = await call_often(url)
    before = processes.read_usage(fleet.get_pid("entry-1")).memory
    stop = asyncio.Event()
    hostile = [
        asyncio.create_task(
            hold(own["peer_address" if number % 4 == 3 else "http_address"], number % 4, stop)
        )
        for number in range(CONNECTIONS)
    ]
    await asyncio.sleep(4)
    flooded = await call_often(url)
    after = processes.read_usage(fleet.get_pid("entry-1")).memory
    stop.set()
    for task in hostile:
        task.cancel()
    await asyncio.gather(*hostile, return_exceptions=True)
    index = int(CALLS * 0.99)
    return {
        "calm_p50": calm[CALLS // 2],
        "calm_p99": calm[index],
        "flooded_p50": flooded[CALLS // 2],
        "flooded_p99": flooded[index],
        "memory_growth": after - before,
    }


def main() -> None:
    """Measure and write the results."""
    fleet = relay.start_fleet()
    try:
        figures = asyncio.run(measure(fleet))
    finally:
        fleet.kill_all()
    print(json.dumps(figures))
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
