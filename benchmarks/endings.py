"""Cost of tracking requests that crash targets, and time until all entries quarantine them.

    python -m benchmarks.endings [--entries 68,300]

Processor time is the minimum of several rounds.  Propagation times are virtual, with no delay
between daemons.  Messages and bytes are all that the keepers sent meanwhile, including other
traffic.
"""

import argparse
import asyncio
import random
import timeit
import tracemalloc
from collections.abc import Callable

from tillerlane.gateway.http import http_head
from tillerlane.gateway.quarantine import fingerprints, suspects
from tillerlane.testing import caller, gateway_lab, gateway_scenes, lab

__all__ = ["measure_fingerprint", "measure_spread", "measure_table"]

ROUNDS = 7
BODY_BYTES = (0, 3_000, 1_000_000)
REQUEST_COUNT = 100_000
POISON_BODY = b"a request that no target survives"
TARGET_COUNT = 8
SPREAD_TIMEOUT_SECONDS = 3.0


def time_call(function: Callable[[], object], calls: int) -> float:
    """Measure the microseconds per call."""
    return min(timeit.repeat(function, number=calls, repeat=ROUNDS)) / calls * 1e6


def measure_fingerprint(size: int) -> float:
    """Measure the microseconds to fingerprint a request with a body of ``size`` bytes."""
    headers = [(b"Accept", b"*/*"), (b"Host", b"shop.example"), (b"Request-Id", b"9c41d07be2a3")]
    head = http_head.RequestHead(b"POST", b"/records/2f", headers)
    body = random.Random(1).randbytes(size)
    return time_call(
        lambda: fingerprints.compute(head, body, "workspace"), 20_000_000 // (size + 1_000)
    )


def measure_table() -> tuple[int, float]:
    """Record 100,000 requests with one target exit each; return the number kept and megabytes."""
    tracemalloc.start()
    table = suspects.Suspects()
    for number in range(REQUEST_COUNT):
        table.merge(
            [suspects.TargetExit(f"{number:032x}", f"i-{number % 5_000:010x}#1790479201332")]
        )
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return len(table), used_bytes / 1e6


async def _crash_targets(stage: gateway_lab.GatewayLab, targets: list[str]) -> None:
    """Send a poison request to one entry after another until three targets have crashed."""
    for name in stage.entry_names:
        crashed = sum(stage.runners[target].has_crashed for target in targets)
        if crashed >= 3:
            return
        await stage.call(name, "price", f"deadly-{name}", body=POISON_BODY)


async def measure_spread(entries: int) -> dict[str, float]:
    """Measure the seconds from the third target exit until entries quarantine the request.

    Also counts the messages and bytes that the keepers sent.
    """
    stage = gateway_lab.GatewayLab(5, entries, 5)
    await stage.start()
    await asyncio.sleep(6)
    await stage.publish("keeper-1", gateway_lab.build_document(1))
    targets = [f"t{number}" for number in range(TARGET_COUNT)]
    for name in targets:
        runner = await stage.add_runner(name, "app")
        runner.poison_bodies = frozenset({POISON_BODY})
    await asyncio.sleep(1.0)

    def count_sent() -> tuple[int, int]:
        links = [link for keeper in stage.keepers.values() for link in keeper.node.get_links()]
        return sum(link.messages_out for link in links), sum(link.bytes_out for link in links)

    loop = asyncio.get_running_loop()
    before = count_sent()
    await _crash_targets(stage, targets)
    crashed_at = loop.time()
    fingerprint = caller.compute_fingerprint("price", POISON_BODY)
    quarantined_after: dict[str, float] = {}
    while len(quarantined_after) < entries and loop.time() < crashed_at + SPREAD_TIMEOUT_SECONDS:
        for name, entry in stage.entries.items():
            if name not in quarantined_after and entry.quarantine.find_reason(fingerprint):
                quarantined_after[name] = loop.time() - crashed_at
        await asyncio.sleep(0.005)
    after = count_sent()
    times = sorted(quarantined_after.values())
    return {
        "entries": entries,
        "known": len(times),
        "p99_s": round(times[int(len(times) * 0.99) - 1], 3),
        "messages": after[0] - before[0],
        "kb": round((after[1] - before[1]) / 1e3, 1),
        "bytes_an_entry": round((after[1] - before[1]) / entries),
    }


def main() -> None:
    """Print all results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", default="68,300")
    sizes = [int(item) for item in parser.parse_args().entries.split(",")]
    gateway_scenes.drop_log_lines()
    for size in BODY_BYTES:
        print(f"fingerprint of {size} bytes: {measure_fingerprint(size):.1f} us")
    count, megabytes = measure_table()
    print(f"table after {REQUEST_COUNT} requests: {count} remembered, {megabytes:.1f} MB")
    for entries in sizes:
        print(lab.run_virtual(measure_spread(entries)))


if __name__ == "__main__":
    main()
