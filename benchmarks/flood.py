"""Effect of a flood of unauthenticated connections on callers' latency and an entry's memory.

Of a thousand connections, some send request heads to the callers' listener byte by byte, some
announce a body of 1 GB, and others stay idle there or at the peer listener.
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
CONNECTION_COUNT = 1_000
CALL_COUNT = 150
OVERSIZED_REQUEST = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n"
    b"Authorization: Bearer nobody\r\n\r\n"
)


async def hold_connection(address: str, attack_kind: int, stop: asyncio.Event) -> None:
    """Keep one hostile connection open, reconnecting whenever it is closed."""
    host, port = nodes.split_address(address)
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, port)
            if attack_kind == 0:
                for byte in b"GET /v1/models HTTP/1.1\r\nX-Slow: " + b"a" * 100:
                    writer.write(bytes([byte]))
                    await asyncio.wait_for(asyncio.shield(stop.wait()), 1.0)
            else:
                writer.write(OVERSIZED_REQUEST if attack_kind == 1 else b"")
                await asyncio.wait_for(reader.read(1000), 5.0)
            writer.close()
        except TimeoutError:
            continue
        except OSError:
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.5)


async def measure_first_tokens(url: str) -> list[float]:
    """Measure the seconds to the first token of sequential calls, in ascending order."""
    times = []
    headers = {"authorization": f"Bearer {relay.KEY}"}
    body = {"model": "c", "stream": True, "max_tokens": 2, "prompt": "x"}
    async with httpx.AsyncClient(timeout=30, trust_env=False) as client:
        for _ in range(CALL_COUNT):
            started_at = time.monotonic()
            async with client.stream("POST", url, json=body, headers=headers) as response:
                response.raise_for_status()
                async for _line in response.aiter_lines():
                    break
            times.append(time.monotonic() - started_at)
    return sorted(times)


async def measure(fleet: deployment.Fleet) -> dict[str, float]:
    """Measure calls without and with the flood."""
    url = fleet.plan.get_http("entry-1") + "/v1/completions"
    entry_settings = fleet.plan.daemons["entry-1"]
    baseline = await measure_first_tokens(url)
    memory_before = processes.read_usage(fleet.get_pid("entry-1")).memory
    stop = asyncio.Event()
    attackers = [
        asyncio.create_task(
            hold_connection(
                entry_settings["peer_address" if number % 4 == 3 else "http_address"],
                number % 4,
                stop,
            )
        )
        for number in range(CONNECTION_COUNT)
    ]
    await asyncio.sleep(4)
    flooded = await measure_first_tokens(url)
    memory_after = processes.read_usage(fleet.get_pid("entry-1")).memory
    stop.set()
    for task in attackers:
        task.cancel()
    await asyncio.gather(*attackers, return_exceptions=True)
    index = int(CALL_COUNT * 0.99)
    return {
        "calm_p50": baseline[CALL_COUNT // 2],
        "calm_p99": baseline[index],
        "flooded_p50": flooded[CALL_COUNT // 2],
        "flooded_p99": flooded[index],
        "memory_growth": memory_after - memory_before,
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
