"""Slopes behind ``docs/CAPACITY.md``: real daemons as processes, hundreds of stand-ins around them.

Prints a table and writes ``benchmarks/results/capacity.json``.  Takes about three minutes.
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
SIZES = (50, 100, 200, 420)
ENTRY_SIZES = (10, 25, 50, 100)
SECONDS = 5.0
SETTLE_SECONDS = 2.5
CHANGES = 8
CLAIM_WORKERS = (1, 8, 64)
REPORTS_A_SECOND = 1.0
"""Reports of a busy agent; it sends one when a target's load has changed enough."""

Figures = dict[str, Any]


def write_document(workspaces: int, *, runners: int = 2, weight: float = 1.0) -> dict[str, Any]:
    """A configuration of the size asked for, with keys, classes and one policy."""
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
    """Three keepers and an entry; agents only where runners are planned."""
    folder = ROOT / "out" / "capacity" / name
    shutil.rmtree(folder, ignore_errors=True)
    plan = deployment.plan(documents.Document(), str(folder), entries=1, **options)
    fleet = deployment.Fleet(plan, folder)
    fleet.start()
    fleet.wait_answering()
    return fleet


def read_links(fleet: deployment.Fleet, names: list[str]) -> dict[str, dict[str, int]]:
    """Bytes and messages on the links of some daemons so far."""
    headers = {"authorization": f"Bearer {deployment.OPERATOR_KEY}"}
    found = {}
    for name in names:
        url = fleet.plan.get_http(name) + "/admin/self"
        answer = httpx.get(url, headers=headers, timeout=10, trust_env=False)
        found[name] = answer.json()["links"]
    return found


@dataclasses.dataclass(slots=True)
class Span:
    """What a process used over a span of time, each a second."""

    cpu: float
    bytes_moved: float
    messages: float
    memory: int


async def watch(fleet: deployment.Fleet, names: list[str], seconds: float) -> dict[str, Span]:
    """Watch processes for some seconds."""
    before = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
    links_before = await asyncio.to_thread(read_links, fleet, names)
    await asyncio.sleep(seconds)
    after = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
    links_after = await asyncio.to_thread(read_links, fleet, names)
    spans = {}
    for name in names:
        passed = after[name].at - before[name].at
        old, new = links_before[name], links_after[name]
        moved = sum(new[key] - old[key] for key in ("bytes_in", "bytes_out"))
        count = sum(new[key] - old[key] for key in ("messages_in", "messages_out"))
        spans[name] = Span(
            (after[name].cpu - before[name].cpu) / passed,
            moved / passed,
            count / passed,
            after[name].memory,
        )
    return spans


async def measure_keepers() -> Figures:
    """Keepers' cost by the number of daemons: idle, and for each change in force everywhere."""
    fleet = start_fleet("keepers")
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    names = list(keepers)
    rows = []
    standing: list[standins.StandIn] = []
    version = 0
    try:
        answer = await asyncio.to_thread(
            fleet.apply, write_document(350), version, f"change-{version}-first"
        )
        version = answer["version"]
        for size in SIZES:
            standing += await standins.start_many(len(standing), size - len(standing), keepers)
            await asyncio.sleep(SETTLE_SECONDS + size / 100)
            idle = await watch(fleet, names, SECONDS)
            before = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
            delays = []
            for _ in range(CHANGES):
                changed = write_document(350, weight=1.0 + random.random())
                sent_at = time.monotonic()
                answer = await asyncio.to_thread(
                    fleet.apply, changed, version, f"change-{version}-{size}"
                )
                version = answer["version"]
                accepted_at = time.monotonic()
                await wait_in_force(standing, version)
                times = [item.in_force_at[version] for item in standing]
                delays.append((accepted_at - sent_at, max(times) - sent_at))
            after = {name: processes.read_usage(fleet.get_pid(name)) for name in names}
            each = [after[name].cpu - before[name].cpu for name in names]
            passed = after[names[0]].at - before[names[0]].at
            change_cpu = (sum(each) - sum(idle[name].cpu for name in names) * passed) / CHANGES
            rows.append(
                {
                    "daemons": size,
                    "idle_cpu": max(span.cpu for span in idle.values()),
                    "idle_cpu_mean": statistics.mean(span.cpu for span in idle.values()),
                    "idle_bytes": max(span.bytes_moved for span in idle.values()),
                    "idle_messages": max(span.messages for span in idle.values()),
                    "memory": max(span.memory for span in idle.values()),
                    "cpu_a_change_all_keepers": max(0.0, change_cpu),
                    "accepted_s_p50": statistics.median(item[0] for item in delays),
                    "everywhere_s_p50": statistics.median(item[1] for item in delays),
                    "everywhere_s_max": max(item[1] for item in delays),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    finally:
        for item in standing:
            await item.stop()
        fleet.kill_all()
    return {"rows": rows}


async def wait_in_force(standing: list[standins.StandIn], version: int) -> None:
    """Wait until every stand-in has a version, for a minute at most."""
    for _ in range(6_000):
        if all(version in item.in_force_at for item in standing):
            return
        await asyncio.sleep(0.01)
    raise TimeoutError(f"version {version} is not everywhere")


async def measure_entry() -> Figures:
    """An entry's cost by the number of agents that it keeps links to."""
    rows = []
    fleet = start_fleet("entry")
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    ports = deployment.find_free_ports(max(ENTRY_SIZES))
    standing: list[standins.StandIn] = []
    try:
        for size in ENTRY_SIZES:
            standing += await standins.start_many(
                len(standing),
                size - len(standing),
                keepers,
                ports=ports[len(standing) : size],
                targets_each=3,
                report_rate=REPORTS_A_SECOND,
            )
            await asyncio.sleep(SETTLE_SECONDS)
            span = (await watch(fleet, ["entry-1"], SECONDS))["entry-1"]
            rows.append(
                {
                    "agents": size,
                    "cpu": span.cpu,
                    "bytes": span.bytes_moved,
                    "messages": span.messages,
                    "memory": span.memory,
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    finally:
        for item in standing:
            await item.stop()
        fleet.kill_all()
    return {"rows": rows}


async def measure_claims() -> Figures:
    """Claims a second and the time that one adds, with synced disks on three keepers."""
    fleet = start_fleet("claims")
    keepers = fleet.plan.daemons["keeper-1"]["keepers"]
    rows = []
    try:
        standing = await standins.start_many(0, 4, keepers)
        await asyncio.sleep(SETTLE_SECONDS)
        for workers in CLAIM_WORKERS:
            rows.append(await run_claims(fleet, standing, list(keepers), workers))
            print(json.dumps(rows[-1]), flush=True)
        for item in standing:
            await item.stop()
    finally:
        fleet.kill_all()
    return {"rows": rows}


async def run_claims(
    fleet: deployment.Fleet, standing: list[standins.StandIn], keepers: list[str], workers: int
) -> Figures:
    """Open and settle claims from some workers at once."""
    before = {name: processes.read_usage(fleet.get_pid(name)) for name in keepers}
    times: list[float] = []
    until = time.monotonic() + SECONDS / 2

    async def work(number: int) -> None:
        client = standing[number % len(standing)].client
        count = 0
        while time.monotonic() < until:
            key = f"{workers}-{number}-{count}"
            count += 1
            began = time.monotonic()
            await client.propose(commands.ClaimOpen("w", key, "d", f"g-{key}", 0, 60_000))
            times.append(time.monotonic() - began)
            await client.propose(commands.ClaimSettle("w", key, 1, "ended", 3, ["a", "b", "c"]))

    began = time.monotonic()
    await asyncio.gather(*(work(number) for number in range(workers)))
    passed = time.monotonic() - began
    after = {name: processes.read_usage(fleet.get_pid(name)) for name in keepers}
    cpu = [after[name].cpu - before[name].cpu for name in keepers]
    return {
        "workers": workers,
        "claims_a_second": len(times) / passed,
        "claim_s_p50": statistics.median(times),
        "claim_s_p99": sorted(times)[int(len(times) * 0.99)],
        "leader_cpu_s_a_claim": max(cpu) / len(times),
    }


def measure_configuration() -> Figures:
    """Size and time of configurations on one daemon, by workspaces."""
    rows = []
    for workspaces in (50, 100, 200, 350):
        document = documents.Document.model_validate(write_document(workspaces, runners=1_000))
        store = stores.Store()
        entities = stores.split_document(document)
        store.apply_change(1, entities, [])
        delta = store.build_delta(0)
        data = codec.encode(messages.Envelope(1, 1, 0, delta))
        receiver = stores.Store()
        began = time.process_time()
        receiver.apply_delta(codec.decode(data).body)
        whole = time.process_time() - began
        key = ("workspaces", "workspace-0")
        store.apply_change(2, {key: '{"weight":3.0}'}, [])
        small = store.build_delta(1)
        small_data = codec.encode(messages.Envelope(1, 2, 0, small))
        began = time.process_time()
        receiver.apply_delta(small)
        rows.append(
            {
                "workspaces": workspaces,
                "entities": len(entities),
                "whole_bytes": len(data),
                "whole_s": whole,
                "change_bytes": len(small_data),
                "change_s": time.process_time() - began,
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    return {"rows": rows}


async def measure_all(only: list[str]) -> dict[str, Figures]:
    """Run the measurements asked for."""
    results: dict[str, Figures] = {}
    wanted = {
        "keepers": measure_keepers,
        "entry": measure_entry,
        "claims": measure_claims,
    }
    for name, measure in wanted.items():
        if not only or name in only:
            print(f"-- {name}", flush=True)
            results[name] = await measure()
    if not only or "configuration" in only:
        print("-- configuration", flush=True)
        results["configuration"] = measure_configuration()
    if not only or "decisions" in only:
        print("-- decisions", flush=True)
        results["decisions"] = {"rows": decisions.measure_slopes()}
    return results


def main() -> None:
    """Measure and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("only", nargs="*", help="keepers, entry, claims, configuration, decisions")
    arguments = parser.parse_args()
    known = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    known |= asyncio.run(measure_all(arguments.only))
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(known, indent=1) + "\n")
    print(f"written to {RESULTS.relative_to(ROOT)}")


if __name__ == "__main__":
    main()
