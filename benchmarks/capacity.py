"""Measures the cost per daemon, agent and workspace for ``docs/CAPACITY.md``.

Real daemons run as processes with hundreds of stand-ins connected to them.  Prints the rows as JSON
and writes ``benchmarks/results/capacity.json``.  Takes about three minutes.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import shutil
import statistics
import time
from typing import Any

import httpx

from benchmarks import decisions, processes, standins
from tillerlane.config import documents
from tillerlane.config import store as stores
from tillerlane.keeper import commands
from tillerlane.peers import codec, messages
from tillerlane.testing import deployment

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "benchmarks" / "results" / "capacity.json"
DAEMON_COUNTS = (50, 100, 200, 420)
AGENT_COUNTS = (10, 25, 50, 100)
MEASURE_SECONDS = 5.0
SETTLE_SECONDS = 2.5
CHANGES_PER_SIZE = 8
CLAIM_WORKERS = (1, 8, 64)
REPORTS_PER_SECOND = 1.0
"""Report rate of a busy agent, which reports when a target's load has changed enough."""

Figures = dict[str, Any]


def build_document(workspaces: int, *, runners: int = 2, weight: float = 1.0) -> dict[str, Any]:
    """Build a configuration of the given size, with keys, classes and one policy."""
    document: dict[str, Any] = {
        "workspaces": {
            f"workspace-{number}": {
                "keys": [documents.hash_key(f"key-{number}"), documents.hash_key(f"old-{number}")],
                "weight": 1.0 + number % 7,
                "limits": {"requests_per_second": 50 + number, "concurrent": 100},
            }
            for number in range(workspaces)
        },
        "classes": {
            f"class-{number}": {"pool": "pool", "model": f"m-{number % 18}", "max_tokens": 4_000}
            for number in range(40)
        },
        "policies": {"policy": {"rank": "priority + 0.2 * waited_s - 0.01 * workspace_lead"}},
        "pools": {
            "pool": {
                "models": [f"m-{number}" for number in range(18)],
                "policy": "policy",
                "runners": {
                    f"r-{number}": {"data_hall": f"hall-{number % 16}"} for number in range(runners)
                },
            }
        },
    }
    document["workspaces"]["workspace-0"]["weight"] = weight
    return document


def start_fleet(name: str, **options: Any) -> deployment.Fleet:
    """Start three keepers and an entry, and agents only where the plan has runners."""
    folder = ROOT / "out" / "capacity" / name
    shutil.rmtree(folder, ignore_errors=True)
    plan = deployment.plan(documents.Document(), str(folder), entries=1, **options)
    fleet = deployment.Fleet(plan, folder)
    fleet.start()
    fleet.wait_answering()
    return fleet


def read_links(fleet: deployment.Fleet, names: list[str]) -> dict[str, dict[str, int]]:
    """Read the byte and message counters of the links of some daemons."""
    headers = {"authorization": f"Bearer {deployment.OPERATOR_KEY}"}
    links = {}
    for name in names:
        url = fleet.plan.get_http(name) + "/admin/self"
        response = httpx.get(url, headers=headers, timeout=10, trust_env=False)
        links[name] = response.json()["links"]
    return links


@dataclasses.dataclass(slots=True)
class UsageRates:
    """Resource use of a process: rates per second, and resident memory in bytes."""

    cpu: float
    bytes_moved: float
    messages: float
    memory: int


async def measure_rates(
    fleet: deployment.Fleet, names: list[str], seconds: float
) -> dict[str, UsageRates]:
    """Measure the resource use of processes over some seconds."""
    before = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
    links_before = await asyncio.to_thread(read_links, fleet, names)
    await asyncio.sleep(seconds)
    after = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
    links_after = await asyncio.to_thread(read_links, fleet, names)
    rates = {}
    for name in names:
        elapsed_seconds = after[name].at - before[name].at
        old, new = links_before[name], links_after[name]
        byte_count = sum(new[key] - old[key] for key in ("bytes_in", "bytes_out"))
        count = sum(new[key] - old[key] for key in ("messages_in", "messages_out"))
        rates[name] = UsageRates(
            (after[name].cpu - before[name].cpu) / elapsed_seconds,
            byte_count / elapsed_seconds,
            count / elapsed_seconds,
            after[name].memory,
        )
    return rates


async def measure_keepers() -> Figures:
    """Measure the keepers' cost by number of daemons: idle, and per configuration change."""
    fleet = start_fleet("keepers")
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    names = list(keepers)
    rows = []
    stand_ins: list[standins.StandIn] = []
    version = 0
    try:
        response = await asyncio.to_thread(
            fleet.apply, build_document(350), version, f"change-{version}-first"
        )
        version = response["version"]
        for size in DAEMON_COUNTS:
            stand_ins += await standins.start_many(len(stand_ins), size - len(stand_ins), keepers)
            await asyncio.sleep(SETTLE_SECONDS + size / 100)
            idle = await measure_rates(fleet, names, MEASURE_SECONDS)
            before = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
            delays = []
            for _ in range(CHANGES_PER_SIZE):
                changed = build_document(350, weight=1.0 + random.random())
                sent_at = time.monotonic()
                response = await asyncio.to_thread(
                    fleet.apply, changed, version, f"change-{version}-{size}"
                )
                version = response["version"]
                accepted_at = time.monotonic()
                await wait_in_force(stand_ins, version)
                times = [item.in_force_at[version] for item in stand_ins]
                delays.append((accepted_at - sent_at, max(times) - sent_at))
            after = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
            keeper_cpu = [after[name].cpu - before[name].cpu for name in names]
            elapsed_seconds = after[names[0]].at - before[names[0]].at
            change_cpu = (
                sum(keeper_cpu) - sum(idle[name].cpu for name in names) * elapsed_seconds
            ) / CHANGES_PER_SIZE
            rows.append(
                {
                    "daemons": size,
                    "idle_cpu": max(usage.cpu for usage in idle.values()),
                    "idle_cpu_mean": statistics.mean(usage.cpu for usage in idle.values()),
                    "idle_bytes": max(usage.bytes_moved for usage in idle.values()),
                    "idle_messages": max(usage.messages for usage in idle.values()),
                    "memory": max(usage.memory for usage in idle.values()),
                    "cpu_a_change_all_keepers": max(0.0, change_cpu),
                    "accepted_s_p50": statistics.median(item[0] for item in delays),
                    "everywhere_s_p50": statistics.median(item[1] for item in delays),
                    "everywhere_s_max": max(item[1] for item in delays),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    finally:
        for item in stand_ins:
            await item.stop()
        fleet.kill_all()
    return {"rows": rows}


async def wait_in_force(stand_ins: list[standins.StandIn], version: int) -> None:
    """Wait up to a minute until a configuration version is in force on every stand-in."""
    for _ in range(6_000):
        if all(version in item.in_force_at for item in stand_ins):
            return
        await asyncio.sleep(0.01)
    raise TimeoutError(f"version {version} is not in force on all stand-ins after 60 s")


async def measure_entry() -> Figures:
    """Measure an entry's cost by the number of agents that it has links to."""
    rows = []
    fleet = start_fleet("entry")
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    ports = deployment.find_free_ports(max(AGENT_COUNTS))
    stand_ins: list[standins.StandIn] = []
    try:
        for size in AGENT_COUNTS:
            stand_ins += await standins.start_many(
                len(stand_ins),
                size - len(stand_ins),
                keepers,
                ports=ports[len(stand_ins) : size],
                targets_each=3,
                report_rate=REPORTS_PER_SECOND,
            )
            await asyncio.sleep(SETTLE_SECONDS)
            usage = (await measure_rates(fleet, ["entry-1"], MEASURE_SECONDS))["entry-1"]
            rows.append(
                {
                    "agents": size,
                    "cpu": usage.cpu,
                    "bytes": usage.bytes_moved,
                    "messages": usage.messages,
                    "memory": usage.memory,
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    finally:
        for item in stand_ins:
            await item.stop()
        fleet.kill_all()
    return {"rows": rows}


async def measure_claims() -> Figures:
    """Measure claim throughput and latency on three keepers that sync their disks."""
    fleet = start_fleet("claims")
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    rows = []
    try:
        stand_ins = await standins.start_many(0, 4, keepers)
        await asyncio.sleep(SETTLE_SECONDS)
        for workers in CLAIM_WORKERS:
            rows.append(await run_claims(fleet, stand_ins, list(keepers), workers))
            print(json.dumps(rows[-1]), flush=True)
        for item in stand_ins:
            await item.stop()
    finally:
        fleet.kill_all()
    return {"rows": rows}


async def run_claims(
    fleet: deployment.Fleet, stand_ins: list[standins.StandIn], keepers: list[str], workers: int
) -> Figures:
    """Open and settle claims from concurrent workers."""
    before = {name: processes.read_usage(fleet.get_pid(name)) for name in keepers}
    times: list[float] = []
    deadline = time.monotonic() + MEASURE_SECONDS / 2

    async def run_worker(number: int) -> None:
        client = stand_ins[number % len(stand_ins)].client
        count = 0
        while time.monotonic() < deadline:
            key = f"{workers}-{number}-{count}"
            count += 1
            started_at = time.monotonic()
            await client.propose(commands.ClaimOpen("w", key, "d", f"g-{key}", 0, 60_000))
            times.append(time.monotonic() - started_at)
            await client.propose(commands.ClaimSettle("w", key, 1, "ended", 3, ["a", "b", "c"]))

    started_at = time.monotonic()
    await asyncio.gather(*(run_worker(number) for number in range(workers)))
    elapsed_seconds = time.monotonic() - started_at
    after = {name: processes.read_usage(fleet.get_pid(name)) for name in keepers}
    cpu = [after[name].cpu - before[name].cpu for name in keepers]
    return {
        "workers": workers,
        "claims_a_second": len(times) / elapsed_seconds,
        "claim_s_p50": statistics.median(times),
        "claim_s_p99": sorted(times)[int(len(times) * 0.99)],
        "leader_cpu_s_a_claim": max(cpu) / len(times),
    }


def measure_configuration() -> Figures:
    """Measure size and apply time of configurations on one daemon, by number of workspaces."""
    rows = []
    for workspaces in (50, 100, 200, 350):
        document = documents.Document.model_validate(build_document(workspaces, runners=1_000))
        store = stores.Store()
        entities = stores.split_document(document)
        store.apply_change(1, entities, [])
        delta = store.build_delta(0)
        data = codec.encode(messages.Envelope(1, 1, 0, delta))
        receiver = stores.Store()
        started_at = time.process_time()
        receiver.apply_delta(codec.decode(data).body)
        full_seconds = time.process_time() - started_at
        key = ("workspaces", "workspace-0")
        store.apply_change(2, {key: '{"weight":3.0}'}, [])
        change = store.build_delta(1)
        change_data = codec.encode(messages.Envelope(1, 2, 0, change))
        started_at = time.process_time()
        receiver.apply_delta(change)
        rows.append(
            {
                "workspaces": workspaces,
                "entities": len(entities),
                "whole_bytes": len(data),
                "whole_s": full_seconds,
                "change_bytes": len(change_data),
                "change_s": time.process_time() - started_at,
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    return {"rows": rows}


async def measure_all(only: list[str]) -> dict[str, Figures]:
    """Run the selected measurements, or all if none is selected."""
    results: dict[str, Figures] = {}
    measurements = {
        "keepers": measure_keepers,
        "entry": measure_entry,
        "claims": measure_claims,
    }
    for name, measure in measurements.items():
        if not only or name in only:
            print(f"-- {name}", flush=True)
            results[name] = await measure()
    if not only or "configuration" in only:
        print("-- configuration", flush=True)
        results["configuration"] = measure_configuration()
    if not only or "decisions" in only:
        print("-- decisions", flush=True)
        results["decisions"] = {"rows": decisions.measure_decisions()}
    return results


def main() -> None:
    """Measure and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("only", nargs="*", help="keepers, entry, claims, configuration, decisions")
    arguments = parser.parse_args()
    results = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    results |= asyncio.run(measure_all(arguments.only))
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")
    print(f"written to {RESULTS.relative_to(ROOT)}")


if __name__ == "__main__":
    main()
