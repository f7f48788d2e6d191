"""Failover time, and catch-up time of a keeper 10,000 log entries behind, with real processes."""

import asyncio
import json
import statistics
import time

import httpx

from benchmarks import capacity, standins
from tillerlane.keeper import commands
from tillerlane.testing import deployment

RESULTS = capacity.ROOT / "benchmarks" / "results" / "recovery.json"
MISSED_ENTRIES = 10_000
WORKERS = 64
FAILOVERS = 5


def read_keeper_status(fleet: deployment.Fleet, name: str) -> dict[str, object]:
    """Read a keeper's own status; empty while it does not answer."""
    headers = {"authorization": f"Bearer {deployment.OPERATOR_KEY}"}
    url = fleet.plan.get_http(name) + "/admin/self"
    try:
        return httpx.get(url, headers=headers, timeout=2, trust_env=False).json()["keeper"]
    except (httpx.HTTPError, ValueError, KeyError):
        return {}


async def wait_until(check: object, timeout: float = 60.0) -> float:
    """Wait until a check holds and return the seconds that it took."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < timeout:
        if await asyncio.to_thread(check):  # type: ignore[arg-type]
            return time.monotonic() - started_at
        await asyncio.sleep(0.02)
    raise TimeoutError("the condition was not met in time")


async def find_leader(fleet: deployment.Fleet, names: list[str]) -> str:
    """Find the leading keeper, waiting until there is one."""
    while True:
        for name in names:
            if (await asyncio.to_thread(read_keeper_status, fleet, name)).get("has_lease"):
                return name
        await asyncio.sleep(0.1)


async def measure_failover(fleet: deployment.Fleet, stand_ins: list[standins.StandIn]) -> float:
    """Measure the seconds from killing the leader until a claim is granted again."""
    names = fleet.plan.list_role("keeper")
    leader = await find_leader(fleet, names)
    others = [item.client for item in stand_ins if item.client.home_name != leader]
    client = (others or [stand_ins[0].client])[0]
    await asyncio.to_thread(fleet.kill, leader)
    started_at = time.monotonic()
    key = f"failover-{started_at}"
    while True:
        try:
            await client.propose(commands.ClaimOpen("w", key, "d", f"g-{key}", 0, 60_000))
            break
        except Exception:
            await asyncio.sleep(0.02)
    failover_seconds = time.monotonic() - started_at
    fleet.start(leader)
    await wait_until(lambda: bool(read_keeper_status(fleet, leader).get("is_voter")))
    await asyncio.sleep(2)
    return failover_seconds


async def measure_catch_up(
    fleet: deployment.Fleet, stand_ins: list[standins.StandIn]
) -> dict[str, float]:
    """Measure the seconds until a keeper has caught up on many missed log entries."""
    names = fleet.plan.list_role("keeper")
    leader = await find_leader(fleet, names)
    lagging_keeper = next(name for name in names if name != leader)
    await asyncio.to_thread(fleet.kill, lagging_keeper)
    await asyncio.sleep(1.5)
    claim_numbers = iter(range(MISSED_ENTRIES))

    async def run_worker(client: object) -> None:
        for number in claim_numbers:
            command = commands.ClaimOpen("w", f"k-{number}", "d", f"g-{number}", 0, 600_000)
            await client.propose(command)  # type: ignore[attr-defined]

    clients = [stand_ins[number % len(stand_ins)].client for number in range(WORKERS)]
    await asyncio.gather(*(run_worker(client) for client in clients))
    target_index = (await asyncio.to_thread(read_keeper_status, fleet, leader))["commit"]
    fleet.start(lagging_keeper)
    started_at = time.monotonic()
    await asyncio.to_thread(fleet.wait_answering, lagging_keeper)
    answering_seconds = time.monotonic() - started_at
    await wait_until(
        lambda: read_keeper_status(fleet, lagging_keeper).get("commit", 0) >= target_index
    )
    caught_up_seconds = time.monotonic() - started_at
    await asyncio.to_thread(fleet.stop, lagging_keeper)
    fleet.start(lagging_keeper)
    started_at = time.monotonic()
    await wait_until(
        lambda: read_keeper_status(fleet, lagging_keeper).get("commit", 0) >= target_index
    )
    return {
        "answers_s": answering_seconds,
        "caught_up_s": caught_up_seconds,
        "restart_with_them_s": time.monotonic() - started_at,
    }


async def measure(fleet: deployment.Fleet) -> dict[str, object]:
    """Run all measurements."""
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    stand_ins = await standins.start_many(0, 6, keepers)
    await asyncio.sleep(3)
    failovers = [await measure_failover(fleet, stand_ins) for _ in range(FAILOVERS)]
    catch_up = await measure_catch_up(fleet, stand_ins)
    for item in stand_ins:
        await item.stop()
    return {
        "failover_s": failovers,
        "failover_s_median": statistics.median(failovers),
        **catch_up,
    }


def main() -> None:
    """Measure and write the results."""
    fleet = capacity.start_fleet("recovery")
    try:
        figures = asyncio.run(measure(fleet))
    finally:
        fleet.kill_all()
    print(json.dumps(figures))
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
