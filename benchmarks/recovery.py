"""How long a new leader takes, and a keeper that is 10,000 entries behind, with real processes."""

import asyncio
import json
import statistics
import time

import httpx

from benchmarks import capacity, standins
from tillerlane.keeper import commands
from tillerlane.testing import deployment

RESULTS = capacity.ROOT / "benchmarks" / "results" / "recovery.json"
ENTRIES = 10_000
WORKERS = 64
FAILOVERS = 5


def read_keeper(fleet: deployment.Fleet, name: str) -> dict[str, object]:
    """A keeper's own status; empty while it does not answer."""
    headers = {"authorization": f"Bearer {deployment.OPERATOR_KEY}"}
    url = fleet.plan.get_http(name) + "/admin/self"
    try:
        return httpx.get(url, headers=headers, timeout=2, trust_env=False).json()["keeper"]
    except (httpx.HTTPError, ValueError, KeyError):
        return {}


async def wait_until(check: object, timeout: float = 60.0) -> float:
    """Seconds until a check holds."""
    began = time.monotonic()
    while time.monotonic() - began < timeout:
        if await asyncio.to_thread(check):  # type: ignore[arg-type]
            return time.monotonic() - began
        await asyncio.sleep(0.02)
    raise TimeoutError("it did not come about")


async def find_leader(fleet: deployment.Fleet, names: list[str]) -> str:
    """The keeper that leads, waiting until there is one."""
    while True:
        for name in names:
            if (await asyncio.to_thread(read_keeper, fleet, name)).get("has_lease"):
                return name
        await asyncio.sleep(0.1)


async def measure_failover(fleet: deployment.Fleet, standing: list[standins.StandIn]) -> float:
    """Seconds from the leader's kill until a claim is granted again."""
    names = fleet.plan.list_role("keeper")
    leader = await find_leader(fleet, names)
    others = [item.client for item in standing if item.client.home_name != leader]
    client = (others or [standing[0].client])[0]
    await asyncio.to_thread(fleet.kill, leader)
    began = time.monotonic()
    key = f"failover-{began}"
    while True:
        try:
            await client.propose(commands.ClaimOpen("w", key, "d", f"g-{key}", 0, 60_000))
            break
        except Exception:
            await asyncio.sleep(0.02)
    took = time.monotonic() - began
    fleet.start(leader)
    await wait_until(lambda: bool(read_keeper(fleet, leader).get("is_voter")))
    await asyncio.sleep(2)
    return took


async def measure_catch_up(
    fleet: deployment.Fleet, standing: list[standins.StandIn]
) -> dict[str, float]:
    """Seconds until a keeper that missed many entries has all of them."""
    names = fleet.plan.list_role("keeper")
    leader = await find_leader(fleet, names)
    behind = next(name for name in names if name != leader)
    await asyncio.to_thread(fleet.kill, behind)
    await asyncio.sleep(1.5)
    numbers = iter(range(ENTRIES))

    async def work(client: object) -> None:
        for number in numbers:
            command = commands.ClaimOpen("w", f"k-{number}", "d", f"g-{number}", 0, 600_000)
            await client.propose(command)  # type: ignore[attr-defined]

    clients = [standing[number % len(standing)].client for number in range(WORKERS)]
    await asyncio.gather(*(work(client) for client in clients))
    target = (await asyncio.to_thread(read_keeper, fleet, leader))["commit"]
    fleet.start(behind)
    began = time.monotonic()
    await asyncio.to_thread(fleet.wait_answering, behind)
    up = time.monotonic() - began
    await wait_until(lambda: read_keeper(fleet, behind).get("commit", 0) >= target)
    caught_up = time.monotonic() - began
    await asyncio.to_thread(fleet.stop, behind)
    fleet.start(behind)
    began = time.monotonic()
    await wait_until(lambda: read_keeper(fleet, behind).get("commit", 0) >= target)
    return {
        "answers_s": up,
        "caught_up_s": caught_up,
        "restart_with_them_s": time.monotonic() - began,
    }


async def measure(fleet: deployment.Fleet) -> dict[str, object]:
    """All measurements."""
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    standing = await standins.start_many(0, 6, keepers)
    await asyncio.sleep(3)
    failovers = [await measure_failover(fleet, standing) for _ in range(FAILOVERS)]
    catch_up = await measure_catch_up(fleet, standing)
    for item in standing:
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
