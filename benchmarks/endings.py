"""What it costs to remember requests under which targets ended, and how soon all entries know.

    python -m benchmarks.endings [--entries 68,300]

Processor time is the least of several rounds; times of spreading are virtual, with no delay between
daemons; messages and bytes are those that keepers sent meanwhile, other traffic included.
"""

import argparse
import asyncio
import random
import timeit
import tracemalloc
from collections.abc import Callable

from tillerlane.gateway import fingerprints, http_head, suspects
from tillerlane.testing import caller, gateway_lab, gateway_scenes, lab

__all__ = ["measure_fingerprint", "measure_spread", "measure_table"]

ROUNDS = 7
BODY_BYTES = (0, 3_000, 1_000_000)
REQUESTS = 100_000
DEADLY = b"a request that no target survives"
TARGETS = 8
LIMIT_SECONDS = 3.0


def time_call(work: Callable[[], object], calls: int) -> float:
    """Microseconds of one call."""
    return min(timeit.repeat(work, number=calls, repeat=ROUNDS)) / calls * 1e6


def measure_fingerprint(size: int) -> float:
    """Microseconds of the fingerprint of a request with a body of so many bytes."""
    headers = [(b"Accept", b"*/*"), (b"Host", b"shop.example"), (b"Request-Id", b"9c41d07be2a3")]
    head = http_head.RequestHead(b"POST", b"/records/2f", headers)
    body = random.Random(1).randbytes(size)
    return time_call(
        lambda: fingerprints.compute(head, body, "workspace"), 20_000_000 // (size + 1_000)
    )


def measure_table() -> tuple[int, float]:
    """Requests remembered of 100,000 different ones with one end each, and their megabytes."""
    tracemalloc.start()
    table = suspects.Suspects()
    for number in range(REQUESTS):
        table.merge(
            [suspects.TargetExit(f"{number:032x}", f"i-{number % 5_000:010x}#1790479201332")]
        )
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return len(table), used / 1e6


async def _end_targets(stage: gateway_lab.GatewayLab, targets: list[str]) -> None:
    """Send a deadly request to one entry after another until it is held back."""
    for name in stage.entry_names:
        ended = sum(stage.runners[target].has_crashed for target in targets)
        if ended >= 3:
            return
        await stage.call(name, "price", f"deadly-{name}", body=DEADLY)


async def measure_spread(entries: int) -> dict[str, float]:
    """Seconds from a third end until entries hold the request back, and what keepers sent."""
    stage = gateway_lab.GatewayLab(5, entries, 5)
    await stage.start()
    await asyncio.sleep(6)
    await stage.publish("keeper-1", gateway_lab.build_document(1))
    targets = [f"t{number}" for number in range(TARGETS)]
    for name in targets:
        runner = await stage.add_runner(name, "app")
        runner.poison_bodies = frozenset({DEADLY})
    await asyncio.sleep(1.0)

    def read_sent() -> tuple[int, int]:
        found = [link for keeper in stage.keepers.values() for link in keeper.node.get_links()]
        return sum(link.messages_out for link in found), sum(link.bytes_out for link in found)

    loop = asyncio.get_running_loop()
    before = read_sent()
    await _end_targets(stage, targets)
    ended_at = loop.time()
    fingerprint = caller.compute_fingerprint("price", DEADLY)
    known: dict[str, float] = {}
    while len(known) < entries and loop.time() < ended_at + LIMIT_SECONDS:
        for name, entry in stage.entries.items():
            if name not in known and entry.quarantine.find_reason(fingerprint):
                known[name] = loop.time() - ended_at
        await asyncio.sleep(0.005)
    after = read_sent()
    times = sorted(known.values())
    return {
        "entries": entries,
        "known": len(times),
        "p99_s": round(times[int(len(times) * 0.99) - 1], 3),
        "messages": after[0] - before[0],
        "kb": round((after[1] - before[1]) / 1e3, 1),
        "bytes_an_entry": round((after[1] - before[1]) / entries),
    }


def main() -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", default="68,300")
    sizes = [int(item) for item in parser.parse_args().entries.split(",")]
    gateway_scenes.drop_log_lines()
    for size in BODY_BYTES:
        print(f"fingerprint of {size} bytes: {measure_fingerprint(size):.1f} us")
    count, megabytes = measure_table()
    print(f"table after {REQUESTS} requests: {count} remembered, {megabytes:.1f} MB")
    for entries in sizes:
        print(lab.run_virtual(measure_spread(entries)))


if __name__ == "__main__":
    main()
