"""Processor time of an entry's work on the loads of other entries, by fleet size.

    python -m benchmarks.choices

Measures a choice among runners, also for requests that wait in a queue, and the digest that a
keeper pushes.  Prints tables of the minimum over several rounds, in microseconds.  To compare with
another version, run this file on it.
"""

import asyncio
import random
import time
import timeit

from tillerlane.decisions import ordering, placing
from tillerlane.gateway import directory as directories
from tillerlane.gateway import routes, selection
from tillerlane.gateway import usage as usages
from tillerlane.gateway.load import aggregation as loads
from tillerlane.gateway.queue import memory_watch, offers, pool_queue
from tillerlane.peers import codec, messages
from tillerlane.testing import selectors

__all__ = ["measure_choice", "measure_digest", "measure_queue"]

FLEET_SIZES = ((3, 5), (67, 30), (67, 300), (400, 300))
"""Numbers of other entries and of targets: a small fleet, a large one, and two with more targets,
up to the size that users aim for."""
TARGETS_PER_ENTRY = 4
"""Targets at which one entry has requests in progress."""
RECENT_REQUESTS = 2
"""Requests that the entry sent within the last seconds: 0.4 per second."""
QUEUE_TARGETS, QUEUE_LENGTH = 1_000, 500
PASSES = 3
"""Passes over a queue per measurement: among so many targets they are 30 ms apart, and ranks are
updated every 100 ms."""
ROUNDS = 7
CALLS_PER_ROUND = 20
ENGINE = routes.Engine(24, 34_000, 131_072, 19_000.0, 4, True, True, 2.0)
POOL = routes.Pool("llm", "/health", 200, ENGINE)
WORK = placing.Work(3_300, 3_000, 200)


def get_address(number: int) -> str:
    """Get the address of a target."""
    return f"10.{number // 250}.{number % 250}.9:9000"


def build_aggregator(entries: int, targets: int) -> loads.LoadAggregator:
    """Build a keeper's aggregator with the load reports of some entries."""
    rng = random.Random(1)
    aggregator = loads.LoadAggregator("keeper-1", 1)
    for entry in range(entries):
        target_loads = [
            messages.TargetUse(
                get_address(number), 1, 3_300 + rng.randrange(500), 0, 3_300, 20, 700
            )
            for number in rng.sample(range(targets), TARGETS_PER_ENTRY)
        ]
        aggregator.handle_report(messages.EntryLoads(f"entry-{entry}", 1, target_loads), 0.0)
    return aggregator


def build_selector(entries: int, targets: int) -> selection.Selector:
    """Build an entry's selector that has received the loads of other entries."""
    directory = directories.Directory()
    for number in range(targets):
        address, phase = get_address(number), directories.Phase.READY
        directory.merge(
            directories.Target(f"t{number}", "llm", address, "hall-a", 24, phase, 1, 0.0)
        )
    usage = usages.Usage("entry-own")
    aggregator = build_aggregator(entries, targets)
    while aggregator.build_delta_digest() is not None:
        pass  # the rows per digest are bounded
    usage.handle_digest(aggregator.build_full_digest(), 0.0)
    usage.entries = entries + 1
    for _ in range(RECENT_REQUESTS):
        usage.record_request("llm", 0.0)
    return selectors.build_selector(directory, usage, "hall-a", 0.0)


def measure_choice(entries: int, targets: int) -> float:
    """Measure the microseconds per choice."""
    selector = build_selector(entries, targets)
    times = timeit.repeat(
        lambda: selector.choose(POOL, WORK, ()), number=CALLS_PER_ROUND, repeat=ROUNDS
    )
    return min(times) / CALLS_PER_ROUND * 1e6


class SelectorPlace:
    """Offers a waiting request what the selector chooses, if that has memory."""

    def __init__(self, selector: selection.Selector, usage: usages.Usage) -> None:
        self._selector = selector
        self._usage = usage

    def offer(self) -> offers.Offer:
        """Choose a target; its load is counted."""
        target = self._selector.choose(POOL, WORK, ())
        if target is None or not self._selector.has_room(POOL, target, WORK.memory_tokens, 1.0):
            return offers.Wait.MEMORY
        address = target.address

        def add_load(sign: int) -> None:
            self._usage.add(address, requests=sign, tokens=sign * WORK.memory_tokens)

        placement = offers.Placement(target, add_load)
        placement.count()
        return placement

    def offer_claimed(self) -> offers.Placement | None:
        """Take no claimed memory."""
        return None

    def is_hopeless(self) -> bool:
        """Any target will do."""
        return False

    def claim(self) -> None:
        """Claim nothing."""

    def release_claim(self) -> None:
        """Release nothing."""


async def measure_queue(*, is_full: bool) -> tuple[float, float]:
    """Measure the microseconds of a direct choice, and of one for a request in a long queue.

    If all runners are full, the queue's figure is that of a pass over it for each of the requests
    that polling would have chosen for.
    """
    direct_times, queue_times = [], []
    for _ in range(ROUNDS):
        selector = build_selector(67, QUEUE_TARGETS)
        usage = selector._usage
        targets = selector._directory.list_pool("llm")
        if is_full:
            for target in targets:
                usage.add(target.address, requests=9, tokens=ENGINE.memory_tokens - 1_000)
        began = time.perf_counter()
        for _ in range(pool_queue.MAX_OFFERS):
            selector.choose(POOL, WORK, ())
        direct_times.append(time.perf_counter() - began)
        watch = memory_watch.MemoryWatch(selector._directory.list_pool, usage)
        queue = pool_queue.PoolQueue(POOL, watch, random.Random(1))
        now = asyncio.get_running_loop().time()
        for number in range(QUEUE_LENGTH):
            arrived = now - number * 1e-6
            item = ordering.Waiting(
                arrived, arrived, 4.0, now + 39, 2, WORK.prompt_tokens, WORK.memory_tokens, True
            )
            queue.join(item, SelectorPlace(selector, usage))
        began = time.perf_counter()
        for _ in range(PASSES):
            queue._run_pass()
        queue_times.append((time.perf_counter() - began) / PASSES)
        queue.refuse_all()
    scale = 1e6 / pool_queue.MAX_OFFERS
    return min(direct_times) * scale, min(queue_times) * scale


def measure_digest(targets: int) -> tuple[float, float, int]:
    """Measure the microseconds to encode and to handle a digest, and its size in bytes."""
    aggregator = build_aggregator(targets * 4, targets)
    table = loads.encode_loads(
        (get_address(number), aggregator.get(get_address(number))) for number in range(targets)
    )
    digest = messages.LoadDigest("keeper-1", 1, 0, True, table)
    frame = codec.encode(messages.Envelope(1, 1, 0, digest))

    def handle_frame() -> None:
        body = codec.decode(frame).body
        assert isinstance(body, messages.LoadDigest)
        usages.Usage("entry-own").handle_digest(body, 0.0)

    target_loads = list(loads.decode_loads(table).items())
    encode_times = timeit.repeat(
        lambda: loads.encode_loads(target_loads), number=CALLS_PER_ROUND, repeat=ROUNDS
    )
    decode_times = timeit.repeat(handle_frame, number=CALLS_PER_ROUND, repeat=ROUNDS)
    return (
        min(encode_times) / CALLS_PER_ROUND * 1e6,
        min(decode_times) / CALLS_PER_ROUND * 1e6,
        len(frame),
    )


def main() -> None:
    """Print the tables."""
    print("| other entries | targets | us a choice |\n| --- | --- | --- |")
    for entries, targets in FLEET_SIZES:
        print(f"| {entries} | {targets} | {measure_choice(entries, targets):.0f} |")
    print(f"\n{QUEUE_TARGETS} targets, {QUEUE_LENGTH} waiting requests")
    print("| memory | us a choice | us a choice from the queue |\n| --- | --- | --- |")
    for label, is_full in (("free", False), ("full", True)):
        direct_us, queue_us = asyncio.run(measure_queue(is_full=is_full))
        print(f"| {label} | {direct_us:.0f} | {queue_us:.0f} |")
    print("\n| targets told | us to write | us to take | bytes |\n| --- | --- | --- | --- |")
    for targets in (10, 30, loads.MAX_ROWS):
        encode_us, decode_us, size = measure_digest(targets)
        print(f"| {targets} | {encode_us:.0f} | {decode_us:.0f} | {size} |")


if __name__ == "__main__":
    main()
