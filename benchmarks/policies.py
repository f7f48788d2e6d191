"""Scheduling and routing benchmarks in virtual time, with fake engines in one pool.

Entries, links and agents are real.  Each run is one (mix, load, situation, rule, seed).  Prints a
table of medians over the seeds and writes ``benchmarks/results/policies.json``; the counts are
deterministic.
"""

import argparse
import asyncio
import concurrent.futures
import dataclasses
import itertools
import json
import logging
import pathlib
import statistics
import time
from typing import Any

import structlog

from benchmarks import baselines, mixes
from tillerlane.agent import lengths
from tillerlane.peers import messages
from tillerlane.testing import engine, lab

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "benchmarks" / "results" / "policies.json"
RUNNERS = 2
SPEC = engine.EngineSpec(
    memory_tokens=6_000,
    batch_limit=32,
    step_seconds=0.06,
    step_seconds_per_sequence=0.0008,
    prefill_seconds_per_token=0.00005,
    prefix_cache_tokens=0,
)
WARM_UP_SECONDS = 40.0
MEASURE_SECONDS = 160.0
GRACE_SECONDS = 300.0
MIN_STALL_SECONDS = 0.5
"""Longer waits without a token count as stalls."""
RULES = ("tillerlane", "arrival-order", "fixed-share", "round-robin", "least-reported", "oracle")
MIXES = {"brattvik": mixes.BRATTVIK, "kaarna": mixes.KAARNA}
SITUATIONS = ("steady", "burst", "flood", "runner-dies", "runner-stalls", "stale", "tripled")


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    mix: str
    load: float
    situation: str
    rule: str
    seed: int


class _OracleLengths:
    """Length model of one generation with perfect knowledge, for the oracle."""

    def __init__(self, length: int) -> None:
        self._length = length

    def compute_survival(self, length: float) -> float:
        """Return the probability that the output is longer than ``length``."""
        return float(self._length > length)

    def predict_remaining(self, written: int, limit: int) -> lengths.Survival:
        """Return the exact remaining length."""
        left = max(1, self._length - written)
        alive = tuple(1.0 if ahead < left else 0.0 for ahead in lengths.HORIZONS)
        return lengths.Survival(float(left), alive)


def build_oracle_lengths(start: messages.Start) -> _OracleLengths:
    """Build the exact length model of one request."""
    return _OracleLengths(mixes.sample_output_length(start.payload.decode()))


def build_rules(rule: str) -> dict[str, Any]:
    """Build the rules of agent and entry; empty for the product's own."""
    if rule in ("tillerlane", "oracle"):
        return {}
    rules: dict[str, Any] = {"decide": baselines.decide_arrival_order}
    if rule == "fixed-share":
        rules["decide"] = baselines.decide_fixed_share
    if rule == "round-robin":
        rules["choose"] = baselines.make_round_robin()
    if rule == "least-reported":
        rules["choose"] = baselines.make_least_reported()
    return rules


def build_lab(case: Case) -> lab.Lab:
    """Build the fleet of a case."""
    mix = MIXES[case.mix]
    guided = case.rule in ("tillerlane", "oracle")
    length_factors = {"tripled": 3.0}

    def get_length(generation_id: str, prompt: str, longest: int) -> int:
        is_after_warm_up = asyncio.get_running_loop().time() > WARM_UP_SECONDS
        factor = length_factors.get(case.situation, 1.0) if is_after_warm_up else 1.0
        return min(longest, mixes.sample_output_length(prompt, factor))

    stage = lab.Lab(
        mixes.build_document(mix, RUNNERS, guided=guided),
        spec=SPEC,
        seed=case.seed,
        get_length=get_length,
        rules=build_rules(case.rule),
        get_length_model=build_oracle_lengths if case.rule == "oracle" else None,
    )
    if case.situation == "stale":
        stage.load_lag = 5.0
        stage.distort = lambda load: dataclasses.replace(load, memory_used=load.memory_used // 2)
    return stage


async def inject_fault(stage: lab.Lab, case: Case) -> None:
    """Crash or stall a runner one third into the measured time."""
    fault_at = WARM_UP_SECONDS + MEASURE_SECONDS / 3
    if case.situation == "runner-dies":
        await asyncio.sleep(fault_at)
        stage.kill_engine("r0")
        await asyncio.sleep(30)
        stage.start_engine("r0")
    elif case.situation == "runner-stalls":
        await asyncio.sleep(fault_at)
        stage.engines["r0"].stalled = True
        await asyncio.sleep(8)
        stage.engines["r0"].stalled = False


async def simulate(case: Case) -> dict[str, Any]:
    """Run a case and summarize it."""
    mix = MIXES[case.mix]
    stage = build_lab(case)
    await stage.begin()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    arrivals = mixes.sample_arrivals(
        mix,
        SPEC,
        RUNNERS,
        case.load,
        WARM_UP_SECONDS + MEASURE_SECONDS,
        case.seed,
        flood=mix.kinds[0].workspaces[1] if case.situation == "flood" else "",
        burst=case.situation == "burst",
    )
    fault_injection = asyncio.create_task(inject_fault(stage, case))
    calls = []
    for arrival in arrivals:
        await asyncio.sleep(max(0.0, started_at + arrival.at - loop.time()))
        answer, task = stage.begin_call(arrival.workspace, arrival.kind.class_name, arrival.prompt)
        calls.append((arrival, answer, task))
    end = started_at + WARM_UP_SECONDS + MEASURE_SECONDS
    await asyncio.sleep(max(0.0, end - loop.time()))
    finished_calls = [
        (arrival, answer) for arrival, answer, _ in calls if answer.ended and answer.ended_at
    ]
    memory = sum(item.memory_used for item in stage.engines.values() if item) / (
        RUNNERS * SPEC.memory_tokens
    )
    _, pending = await asyncio.wait([task for _, _, task in calls], timeout=GRACE_SECONDS)
    for task in pending:
        task.cancel()
    fault_injection.cancel()
    return summarize(stage, calls, finished_calls, started_at, end, memory)


def compute_percentile(values: list[float], share: float) -> float:
    """Compute a percentile; 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def compute_stall_seconds(answer: lab.Answer) -> float:
    """Compute the total seconds of a caller's waits that count as stalls."""
    times = [answer.sent_at, *answer.times]
    if not answer.ended:
        times.append(answer.ended_at or times[-1])
    gaps = (later - earlier for earlier, later in itertools.pairwise(times))
    return sum(gap for gap in gaps if gap > MIN_STALL_SECONDS)


def summarize(
    stage: lab.Lab,
    calls: list[Any],
    finished_calls: list[Any],
    started_at: float,
    end: float,
    memory: float,
) -> dict[str, Any]:
    """Summarize a run without the requests that arrived during the warm-up."""
    measured_calls = [
        (arrival, answer) for arrival, answer, _ in calls if arrival.at >= WARM_UP_SECONDS
    ]
    gaps: list[float] = []
    for _, answer in measured_calls:
        gaps += [
            later - earlier for earlier, later in zip(answer.times, answer.times[1:], strict=False)
        ]
    stalls = [compute_stall_seconds(answer) for _, answer in measured_calls]
    urgent = [
        (answer.times[0] if answer.times else end + GRACE_SECONDS) - answer.sent_at
        for arrival, answer in measured_calls
        if arrival.kind.is_urgent
    ]
    measured_seconds = end - started_at - WARM_UP_SECONDS
    long_tokens = sum(
        len(answer.texts)
        for arrival, answer in finished_calls
        if arrival.kind.is_long and answer.ended_at >= started_at + WARM_UP_SECONDS
    )
    by_workspace: dict[str, int] = {}
    for arrival, answer in finished_calls:
        if answer.ended_at >= started_at + WARM_UP_SECONDS:
            by_workspace[arrival.workspace] = by_workspace.get(arrival.workspace, 0) + len(
                answer.texts
            )
    executors = [
        executor
        for daemon in stage.daemons.values()
        if daemon.agent
        for executor in daemon.agent.executors.values()
    ]
    engines = [item for item in stage.engines.values() if item is not None]
    held = [item for executor in executors for item in executor.state.held.values()]
    refused = [answer for _, answer in measured_calls if answer.fault is not None]
    return {
        "requests": len(measured_calls),
        "preemptions": sum(item.state.preemptions for item in executors)
        + sum(item.preemptions for item in engines),
        "engine_preemptions": sum(item.preemptions for item in engines),
        "tokens_lost": sum(item.tokens_recomputed for item in engines),
        "most_pauses": max((item.times_paused for item in held), default=0),
        "stall_p50": compute_percentile(stalls, 0.5),
        "stall_p99": compute_percentile(stalls, 0.99),
        "stall_total": sum(stalls),
        "gap_p50": compute_percentile(gaps, 0.5),
        "gap_p99": compute_percentile(gaps, 0.99),
        "gap_p999": compute_percentile(gaps, 0.999),
        "urgent_first_p99": compute_percentile(urgent, 0.99),
        "long_tokens_a_second": long_tokens / measured_seconds,
        "tokens_a_second": sum(by_workspace.values()) / measured_seconds,
        "by_workspace": by_workspace,
        "refused": len(refused),
        "refused_not_run": sum(answer.fault.ran == "no" for answer in refused),
        "unfinished": sum(
            not answer.ended and answer.fault is None for _, answer in measured_calls
        ),
        "wrong": sum(not answer.is_correct for _, answer in measured_calls if answer.texts),
        "memory_share": memory,
    }


def run_case(case: Case) -> dict[str, Any]:
    """Run a case in this process."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    started_at = time.monotonic()
    figures = lab.run_virtual(simulate(case))
    return {**dataclasses.asdict(case), **figures, "real_seconds": time.monotonic() - started_at}


COLUMNS = (
    ("preemptions", "preempt", "{:.0f}"),
    ("tokens_lost", "lost tok", "{:.0f}"),
    ("stall_p50", "stall p50", "{:.2f}"),
    ("stall_p99", "stall p99", "{:.2f}"),
    ("gap_p99", "gap p99", "{:.3f}"),
    ("gap_p999", "gap p99.9", "{:.3f}"),
    ("urgent_first_p99", "urgent p99", "{:.2f}"),
    ("long_tokens_a_second", "long tok/s", "{:.0f}"),
    ("tokens_a_second", "tok/s", "{:.0f}"),
    ("refused", "refused", "{:.0f}"),
    ("unfinished", "unfin", "{:.0f}"),
    ("wrong", "wrong", "{:.0f}"),
    ("memory_share", "memory", "{:.2f}"),
)


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print the medians over the seeds."""
    groups: dict[tuple[str, float, str, str], list[dict[str, Any]]] = {}
    for row in rows:
        key = (row["mix"], row["load"], row["situation"], row["rule"])
        groups.setdefault(key, []).append(row)
    titles = ["mix", "load", "situation", "rule", *(title for _, title, _ in COLUMNS)]
    cells = [titles]
    for key, group in groups.items():
        line = [str(part) for part in key]
        for name, _, number_format in COLUMNS:
            line.append(number_format.format(statistics.median(row[name] for row in group)))
        cells.append(line)
    widths = [max(len(line[column]) for line in cells) for column in range(len(titles))]
    for line in cells:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)))


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mixes", default=",".join(MIXES))
    parser.add_argument("--loads", default="0.9,1.1")
    parser.add_argument("--situations", default="steady")
    parser.add_argument("--rules", default=",".join(RULES))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--workers", type=int, default=7)
    parser.add_argument("--write", default=str(RESULTS))
    return parser


def main() -> None:
    """Run all selected cases."""
    arguments = build_parser().parse_args()
    cases = [
        Case(mix, float(load), situation, rule, seed)
        for mix in arguments.mixes.split(",")
        for load in arguments.loads.split(",")
        for situation in arguments.situations.split(",")
        for rule in arguments.rules.split(",")
        for seed in range(1, arguments.seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(arguments.workers) as pool:
        rows = list(pool.map(run_case, cases))
    print_table(rows)
    path = pathlib.Path(arguments.write)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
