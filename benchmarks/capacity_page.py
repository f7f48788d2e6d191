"""Writes the measured tables of ``docs/CAPACITY.md`` from the results of ``make capacity``."""

import json
import pathlib
from typing import Any

from benchmarks import processes

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "benchmarks" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN_MARK = "<!-- measured: begin -->"
END_MARK = "<!-- measured: end -->"

DAEMONS = 420
KEEPERS = 5
ENTRIES_PER_HALL = 2
HALLS = 16
CHANGES_PER_DAY = 2_300
DAY_SECONDS = 86_400
CPU_BUDGET_SHARE = 0.036
BUDGET_BYTES_PER_SECOND = 10_000
MEMORY_BUDGET_BYTES = 128_000_000
CLAIMS_PER_SECOND = 115.0
"""From 4,600 requests per second, of which one in forty is of a non-repeatable class."""
MEASURED_KEEPER_COUNT = 3


def _fit_rows(rows: list[dict[str, Any]], x: str, y: str, scale: float = 1.0) -> processes.Fit:
    return processes.fit_line([(row[x] * scale, row[y]) for row in rows])


def _format_row(*cells: Any) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _format_percent(value: float) -> str:
    return f"{value * 100:.2f}%"


def _format_fit(fit: processes.Fit, unit: str, factor: float) -> str:
    base = fit.base * factor
    slope = fit.slope * factor
    return f"{base:.3g} + {slope:.3g} a piece {unit}; worst point {fit.max_error * 100:.0f}% off"


def format_slopes(results: dict[str, Any]) -> list[str]:
    """Format the fitted lines with the range over which each was measured."""
    keepers, entry = results["keepers"]["rows"], results["entry"]["rows"]
    keeper_share = 1.0 / MEASURED_KEEPER_COUNT
    lines = [_format_row("what", "by", "range measured", "fit"), _format_row(*["---"] * 4)]
    for name, key, unit, factor in (
        ("keeper, processor", "idle_cpu", "% of a core", 100.0),
        ("keeper, bytes", "idle_bytes", "B/s", 1.0),
        ("keeper, memory", "memory", "MB", 1e-6),
    ):
        fit = _fit_rows(keepers, "daemons", key, keeper_share)
        measured_range = f"{keepers[0]['daemons'] / 3:.0f} to {keepers[-1]['daemons'] / 3:.0f}"
        lines.append(
            _format_row(name, "subscriber", measured_range, _format_fit(fit, unit, factor))
        )
    fit = _fit_rows(keepers, "daemons", "cpu_a_change_all_keepers")
    measured_range = f"{keepers[0]['daemons']} to {keepers[-1]['daemons']}"
    lines.append(
        _format_row(
            "all keepers, one change",
            "daemon",
            measured_range,
            _format_fit(fit, "ms of processor", 1e3),
        )
    )
    fit = _fit_rows(keepers, "daemons", "everywhere_s_max")
    lines.append(
        _format_row(
            "change everywhere, slowest", "daemon", measured_range, _format_fit(fit, "ms", 1e3)
        )
    )
    for name, key, unit, factor in (
        ("entry, processor", "cpu", "% of a core", 100.0),
        ("entry, bytes", "bytes", "B/s", 1.0),
        ("entry, memory", "memory", "MB", 1e-6),
    ):
        fit = _fit_rows(entry, "agents", key)
        measured_range = f"{entry[0]['agents']} to {entry[-1]['agents']}"
        lines.append(
            _format_row(name, "agent linked", measured_range, _format_fit(fit, unit, factor))
        )
    config = results["configuration"]["rows"]
    fit = _fit_rows(config, "workspaces", "whole_bytes")
    lines.append(
        _format_row("whole configuration", "workspace", "50 to 350", _format_fit(fit, "B", 1))
    )
    fit = _fit_rows(results["decisions"]["rows"], "waiting", "decision_s")
    lines.append(
        _format_row("decision, 100 running", "waiting", "10 to 10,000", _format_fit(fit, "us", 1e6))
    )
    return lines


def format_budgets(results: dict[str, Any]) -> list[str]:
    """Format the cost of each role at the target size, next to its budget."""
    keepers, entry = results["keepers"]["rows"], results["entry"]["rows"]
    keeper_share = 1.0 / MEASURED_KEEPER_COUNT
    subscribers = DAEMONS / KEEPERS
    claims = results["claims"]["rows"][-1]
    change_cpu = _fit_rows(keepers, "daemons", "cpu_a_change_all_keepers").predict(DAEMONS)
    change_share = change_cpu * CHANGES_PER_DAY / DAY_SECONDS / KEEPERS
    log_bytes = (KEEPERS - 1) * 2 * 4 * 112.0
    cpu = (
        _fit_rows(keepers, "daemons", "idle_cpu", keeper_share).predict(subscribers) + change_share
    )
    bytes_per_second = (
        _fit_rows(keepers, "daemons", "idle_bytes", keeper_share).predict(subscribers)
        + log_bytes / 2
    )
    memory = _fit_rows(keepers, "daemons", "memory", keeper_share).predict(subscribers)
    claim_cpu = CLAIMS_PER_SECOND * claims["leader_cpu_s_a_claim"]
    agents = DAEMONS / HALLS
    lines = [
        _format_row("role at the target size", "processor", "bytes/s", "memory MB"),
        _format_row(*["---"] * 4),
        _format_row(
            "budget",
            _format_percent(CPU_BUDGET_SHARE),
            f"{BUDGET_BYTES_PER_SECOND:,}",
            f"{MEMORY_BUDGET_BYTES / 1e6:.0f}",
        ),
        _format_row(
            f"keeper, {KEEPERS} of them, {subscribers:.0f} subscribers each",
            _format_percent(cpu),
            f"{bytes_per_second:,.0f}",
            f"{memory / 1e6:.0f}",
        ),
        _format_row(
            f"leader, in addition, {CLAIMS_PER_SECOND:.0f} claims a second",
            _format_percent(claim_cpu),
            "-",
            "-",
        ),
        _format_row(
            f"entry, {agents:.0f} agents of its hall",
            _format_percent(_fit_rows(entry, "agents", "cpu").predict(agents)),
            f"{_fit_rows(entry, 'agents', 'bytes').predict(agents):,.0f}",
            f"{_fit_rows(entry, 'agents', 'memory').predict(agents) / 1e6:.0f}",
        ),
        _format_row(
            f"agent, {ENTRIES_PER_HALL} entries of its hall, one home keeper",
            _format_percent(
                _fit_rows(entry, "agents", "cpu").slope * (ENTRIES_PER_HALL + 0.5)
                + _fit_rows(entry, "agents", "cpu").base
            ),
            f"{_fit_rows(entry, 'agents', 'bytes').slope * ENTRIES_PER_HALL:,.0f}",
            f"{entry[0]['memory'] / 1e6:.0f}",
        ),
    ]
    everywhere = _fit_rows(keepers, "daemons", "everywhere_s_max").predict(DAEMONS)
    lines += [
        "",
        f"A change is in force on all {DAEMONS} daemons {everywhere:.2f} s after it was sent, the",
        "slowest of eight (budget 14 s; loopback, so add the way between regions).",
        "",
        _format_row("claims, synced disks", "claims/s", "p50 ms", "p99 ms", "leader ms a claim"),
        _format_row(*["---"] * 5),
    ]
    for row in results["claims"]["rows"]:
        lines.append(
            _format_row(
                f"{row['workers']} at once",
                f"{row['claims_a_second']:.0f}",
                f"{row['claim_s_p50'] * 1e3:.1f}",
                f"{row['claim_s_p99'] * 1e3:.1f}",
                f"{row['leader_cpu_s_a_claim'] * 1e3:.2f}",
            )
        )
    return lines


def format_relay() -> list[str]:
    """Format the results of the data path."""
    rows = json.loads((RESULTS / "relay.json").read_text())["rows"]
    titles = ("streams", "tokens/s", "entry us/token", "agent us/token", "added p50 ms", "p99 ms")
    lines = [_format_row(*titles), _format_row(*["---"] * len(titles))]
    for row in rows:
        lines.append(
            _format_row(
                row["streams"],
                f"{row['tokens_a_second']:.0f}",
                f"{row['entry_us_a_token']:.0f}",
                f"{row['agent_us_a_token']:.0f}",
                f"{row['added_ms_p50']:.1f}",
                f"{row['added_ms_p99']:.1f}",
            )
        )
    return lines


def main() -> None:
    """Replace the part of the page between the marks."""
    results = json.loads((RESULTS / "capacity.json").read_text())
    parts = [
        *format_slopes(results),
        "",
        *format_budgets(results),
        "",
        "Data path (`benchmarks/relay.py`, `benchmarks/results/relay.json`):",
        "",
        *format_relay(),
    ]
    text = PAGE.read_text()
    begin = text.index(BEGIN_MARK) + len(BEGIN_MARK)
    end = text.index(END_MARK)
    PAGE.write_text(text[:begin] + "\n" + "\n".join(parts) + "\n" + text[end:])


if __name__ == "__main__":
    main()
