"""Calls served each second during and after a load pulse of twice the capacity, with retries.

    python -m benchmarks.pulse

Entries and keepers run unchanged in virtual time (`tillerlane.testing.gateway_lab`).  For some
seconds callers send twice what the targets can serve; refused callers retry after the time given in
the response, or after a third of their time left if that is shorter.  Prints a table of the calls
served in time, as a share of the capacity, by second and by the back-off that targets state when
they reject a request.
"""

import asyncio
import collections
import dataclasses

from tillerlane.testing import gateway_lab, gateway_scenes, lab

__all__ = ["CallCounts", "simulate"]

TARGETS, SLOTS, QUEUE = 4, 6, 6
SERVICE_SECONDS, SLOWDOWN = 0.2, 0.5
CAPACITY = TARGETS * SLOTS / (SERVICE_SECONDS * (1 + SLOWDOWN))
"""Requests per second that all targets serve with all slots in use."""
OBJECTIVE_SECONDS = 2.0
BASE_SHARE, PULSE_SHARE = 0.6, 2.0
"""Request rate outside and during the pulse, as a share of the capacity."""
BEFORE_SECONDS, PULSE_SECONDS, AFTER_SECONDS = 5, 10, 12
MAX_ATTEMPTS = 4
REFUSED_STATUS = 503


@dataclasses.dataclass(frozen=True, slots=True)
class CallCounts:
    """Counts of a run by second: calls started, calls served in time, and attempts."""

    started: collections.Counter[int]
    served: collections.Counter[int]
    attempts: collections.Counter[int]


def simulate(backoff: str, entries: int = 4) -> CallCounts:
    """Run the pulse with targets that state a back-off in seconds; empty for none."""
    load = CallCounts(collections.Counter(), collections.Counter(), collections.Counter())

    async def call(stage: gateway_lab.GatewayLab, number: int, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        load.started[int(called_at - started_at)] += 1
        for attempt in range(MAX_ATTEMPTS):
            remaining_seconds = called_at + OBJECTIVE_SECONDS - loop.time()
            if remaining_seconds <= 0.1:
                return
            load.attempts[int(loop.time() - started_at)] += 1
            name = stage.entry_names[(number + attempt) % entries]
            response = await stage.call(
                name, "order", f"r{number}-{attempt}", wait_ms=int(remaining_seconds * 1000)
            )
            if response.status == 200 and loop.time() - called_at <= OBJECTIVE_SECONDS:
                load.served[int(loop.time() - started_at)] += 1
                return
            if response.status != REFUSED_STATUS:
                return
            await asyncio.sleep(min(float(response.headers["retry-after"]), remaining_seconds / 3))

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
                pace=SERVICE_SECONDS,
                slots=SLOTS,
                queue=QUEUE,
                slowdown=SLOWDOWN,
            )
            runner.backoff = backoff
        heartbeats = asyncio.create_task(_send_heartbeats(stage))
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        started_at, number, calls = loop.time(), 0, []
        total = BEFORE_SECONDS + PULSE_SECONDS + AFTER_SECONDS
        while (now := loop.time() - started_at) < total:
            in_pulse = BEFORE_SECONDS <= now < BEFORE_SECONDS + PULSE_SECONDS
            number += 1
            calls.append(asyncio.create_task(call(stage, number, started_at)))
            share = PULSE_SHARE if in_pulse else BASE_SHARE
            await asyncio.sleep(1 / (share * CAPACITY))
        await asyncio.gather(*calls)
        heartbeats.cancel()

    lab.run_virtual(run())
    return load


async def _send_heartbeats(stage: gateway_lab.GatewayLab) -> None:
    while True:
        await asyncio.sleep(1.0)
        for target_id in list(stage.runners):
            stage.beat(target_id, "app")


def main() -> None:
    """Print the table."""
    gateway_scenes.drop_log_lines()
    backoffs = {"no word": "", "0.5 s": "0.5", "3 s": "3"}
    loads = {name: simulate(backoff) for name, backoff in backoffs.items()}
    print(f"capacity {CAPACITY:.0f} a second; pulse from second {BEFORE_SECONDS}")
    print("| second | " + " | ".join(f"{name}: served, tries" for name in backoffs) + " |")
    print("| --- |" + " --- |" * len(backoffs))
    for second in range(BEFORE_SECONDS + PULSE_SECONDS + AFTER_SECONDS):
        cells = [
            f"{load.served[second] / CAPACITY:.2f}, {load.attempts[second] / CAPACITY:.2f}"
            for load in loads.values()
        ]
        print(f"| {second} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
