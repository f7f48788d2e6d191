"""A pulse of twice the capacity, with callers that repeat: what is served each second.

    python -m benchmarks.pulse

Entries and keepers run unchanged in virtual time (`tillerlane.testing.gateway_lab`).  Callers press
with twice of what the targets can serve for some seconds; whoever is refused repeats as it is told.
A table of the calls that were served in time, as parts of the capacity, by second and by what a
target says when it turns a request away.
"""

import asyncio
import collections
import dataclasses

from tillerlane.testing import gateway_lab, gateway_scenes, lab

__all__ = ["Load", "play"]

TARGETS, SLOTS, QUEUE = 4, 6, 6
PACE_SECONDS, SLOWDOWN = 0.2, 0.5
CAPACITY = TARGETS * SLOTS / (PACE_SECONDS * (1 + SLOWDOWN))
"""Requests a second that all targets serve when all slots are taken."""
AIM_SECONDS = 2.0
BASE_SHARE, PULSE_SHARE = 0.6, 2.0
"""Requests a second before and after the pulse, and within it, as parts of the capacity."""
BEFORE_SECONDS, PULSE_SECONDS, AFTER_SECONDS = 5, 10, 12
MOST_TRIES = 4
REFUSED = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What one play saw, by second: calls begun, calls served in time, tries."""

    begun: collections.Counter[int]
    served: collections.Counter[int]
    tries: collections.Counter[int]


def play(backoff: str, entries: int = 4) -> Load:
    """Play the pulse with targets that ask for so many seconds of back-off; empty for none."""
    load = Load(collections.Counter(), collections.Counter(), collections.Counter())

    async def call(stage: gateway_lab.GatewayLab, number: int, began: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time()
        load.begun[int(at - began)] += 1
        for attempt in range(MOST_TRIES):
            left = at + AIM_SECONDS - loop.time()
            if left <= 0.1:
                return
            load.tries[int(loop.time() - began)] += 1
            name = stage.entry_names[(number + attempt) % entries]
            answer = await stage.call(
                name, "order", f"r{number}-{attempt}", wait_ms=int(left * 1000)
            )
            if answer.status == 200 and loop.time() - at <= AIM_SECONDS:
                load.served[int(loop.time() - began)] += 1
                return
            if answer.status != REFUSED:
                return
            await asyncio.sleep(min(float(answer.headers["retry-after"]), left / 3))

    async def run() -> None:
        stage = gateway_lab.GatewayLab(3, entries)
        await stage.start()
        await asyncio.sleep(6)
        await stage.publish("keeper-1", gateway_lab.build_document(1))
        await asyncio.sleep(1)
        for position in range(TARGETS):
            runner = await stage.add_runner(
                f"app-{position}",
                "app",
                pace=PACE_SECONDS,
                slots=SLOTS,
                queue=QUEUE,
                slowdown=SLOWDOWN,
            )
            runner.backoff = backoff
        beating = asyncio.create_task(_beat(stage))
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        began, number, calls = loop.time(), 0, []
        total = BEFORE_SECONDS + PULSE_SECONDS + AFTER_SECONDS
        while (now := loop.time() - began) < total:
            in_pulse = BEFORE_SECONDS <= now < BEFORE_SECONDS + PULSE_SECONDS
            number += 1
            calls.append(asyncio.create_task(call(stage, number, began)))
            share = PULSE_SHARE if in_pulse else BASE_SHARE
            await asyncio.sleep(1 / (share * CAPACITY))
        await asyncio.gather(*calls)
        beating.cancel()

    lab.run_virtual(run())
    return load


async def _beat(stage: gateway_lab.GatewayLab) -> None:
    while True:
        await asyncio.sleep(1.0)
        for target_id in list(stage.runners):
            stage.beat(target_id, "app")


def main() -> None:
    """Print the table."""
    gateway_scenes.drop_log_lines()
    ways = {"no word": "", "0.5 s": "0.5", "3 s": "3"}
    loads = {name: play(backoff) for name, backoff in ways.items()}
    print(f"capacity {CAPACITY:.0f} a second; pulse from second {BEFORE_SECONDS}")
    print("| second | " + " | ".join(f"{name}: served, tries" for name in ways) + " |")
    print("| --- |" + " --- |" * len(ways))
    for second in range(BEFORE_SECONDS + PULSE_SECONDS + AFTER_SECONDS):
        cells = [
            f"{load.served[second] / CAPACITY:.2f}, {load.tries[second] / CAPACITY:.2f}"
            for load in loads.values()
        ]
        print(f"| {second} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
