"""Writes the measured tables of ``docs/CAPACITY.md`` from the results of ``make capacity``."""

import json
import pathlib
from typing import Any

from benchmarks import processes

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "benchmarks" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- measured: begin -->"
END = "<!-- measured: end -->"

DAEMONS = 420
KEEPERS = 5
ENTRIES_A_HALL = 2
HALLS = 16
CHANGES_A_DAY = 2_300
DAY = 86_400
CPU_BUDGET = 0.036
BYTES_BUDGET = 10_000
MEMORY_BUDGET = 128_000_000
CLAIMS_A_SECOND = 115.0
"""4,600 requests a second, one in forty of a class that may not be repeated."""
MEASURED_KEEPERS = 3


def _fit(rows: list[dict[str, Any]], x: str, y: str, scale: float = 1.0) -> processes.Fit:
    return processes.fit_line([(row[x] * scale, row[y]) for row in rows])


def _row(*cells: Any) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _percent(value: float) -> str:
    return f"{value * 100:.2f}%"


def _describe(fit: processes.Fit, unit: str, factor: float) -> str:
    base = fit.base * factor
    slope = fit.slope * factor
    return f"{base:.3g} + {slope:.3g} a piece {unit}; worst point {fit.worst * 100:.0f}% off"


def write_slopes(results: dict[str, Any]) -> list[str]:
    """The fits: what was measured, over which range."""
    keepers, entry = results["keepers"]["rows"], results["entry"]["rows"]
    share = 1.0 / MEASURED_KEEPERS
    lines = [_row("what", "by", "range measured", "fit"), _row(*["---"] * 4)]
    for name, key, unit, factor in (
        ("keeper, processor", "idle_cpu", "% of a core", 100.0),
        ("keeper, bytes", "idle_bytes", "B/s", 1.0),
        ("keeper, memory", "memory", "MB", 1e-6),
    ):
        fit = _fit(keepers, "daemons", key, share)
        span = f"{keepers[0]['daemons'] / 3:.0f} to {keepers[-1]['daemons'] / 3:.0f}"
        lines.append(_row(name, "subscriber", span, _describe(fit, unit, factor)))
    fit = _fit(keepers, "daemons", "cpu_a_change_all_keepers")
    span = f"{keepers[0]['daemons']} to {keepers[-1]['daemons']}"
    lines.append(
        _row("all keepers, one change", "daemon", span, _describe(fit, "ms of processor", 1e3))
    )
    fit = _fit(keepers, "daemons", "everywhere_s_max")
    lines.append(_row("change everywhere, slowest", "daemon", span, _describe(fit, "ms", 1e3)))
    for name, key, unit, factor in (
        ("entry, processor", "cpu", "% of a core", 100.0),
        ("entry, bytes", "bytes", "B/s", 1.0),
        ("entry, memory", "memory", "MB", 1e-6),
    ):
        fit = _fit(entry, "agents", key)
        span = f"{entry[0]['agents']} to {entry[-1]['agents']}"
        lines.append(_row(name, "agent linked", span, _describe(fit, unit, factor)))
    config = results["configuration"]["rows"]
    fit = _fit(config, "workspaces", "whole_bytes")
    lines.append(_row("whole configuration", "workspace", "50 to 350", _describe(fit, "B", 1)))
    fit = _fit(results["decisions"]["rows"], "waiting", "decision_s")
    lines.append(
        _row("decision, 100 running", "waiting", "10 to 10,000", _describe(fit, "us", 1e6))
    )
    return lines


def write_budgets(results: dict[str, Any]) -> list[str]:
    """Each role at the target size against its budget."""
    keepers, entry = results["keepers"]["rows"], results["entry"]["rows"]
    share = 1.0 / MEASURED_KEEPERS
    subscribers = DAEMONS / KEEPERS
    claims = results["claims"]["rows"][-1]
    change_cpu = _fit(keepers, "daemons", "cpu_a_change_all_keepers").at(DAEMONS)
    change_share = change_cpu * CHANGES_A_DAY / DAY / KEEPERS
    log_bytes = (KEEPERS - 1) * 2 * 4 * 112.0
    cpu = _fit(keepers, "daemons", "idle_cpu", share).at(subscribers) + change_share
    sent = _fit(keepers, "daemons", "idle_bytes", share).at(subscribers) + log_bytes / 2
    memory = _fit(keepers, "daemons", "memory", share).at(subscribers)
    claim_cpu = CLAIMS_A_SECOND * claims["leader_cpu_s_a_claim"]
    agents = DAEMONS / HALLS
    lines = [
        _row("role at the target size", "processor", "bytes/s", "memory MB"),
        _row(*["---"] * 4),
        _row("budget", _percent(CPU_BUDGET), f"{BYTES_BUDGET:,}", f"{MEMORY_BUDGET / 1e6:.0f}"),
        _row(
            f"keeper, {KEEPERS} of them, {subscribers:.0f} subscribers each",
            _percent(cpu),
            f"{sent:,.0f}",
            f"{memory / 1e6:.0f}",
        ),
        _row(
            f"leader, in addition, {CLAIMS_A_SECOND:.0f} claims a second",
            _percent(claim_cpu),
            "-",
            "-",
        ),
        _row(
            f"entry, {agents:.0f} agents of its hall",
            _percent(_fit(entry, "agents", "cpu").at(agents)),
            f"{_fit(entry, 'agents', 'bytes').at(agents):,.0f}",
            f"{_fit(entry, 'agents', 'memory').at(agents) / 1e6:.0f}",
        ),
        _row(
            f"agent, {ENTRIES_A_HALL} entries of its hall, one home keeper",
            _percent(
                _fit(entry, "agents", "cpu").slope * (ENTRIES_A_HALL + 0.5)
                + _fit(entry, "agents", "cpu").base
            ),
            f"{_fit(entry, 'agents', 'bytes').slope * ENTRIES_A_HALL:,.0f}",
            f"{entry[0]['memory'] / 1e6:.0f}",
        ),
    ]
    everywhere = _fit(keepers, "daemons", "everywhere_s_max").at(DAEMONS)
    lines += [
        "",
        f"A change is in force on all {DAEMONS} daemons {everywhere:.2f} s after it was sent, the",
        "slowest of eight (budget 14 s; loopback, so add the way between regions).",
        "",
        _row("claims, synced disks", "claims/s", "p50 ms", "p99 ms", "leader ms a claim"),
        _row(*["---"] * 5),
    ]
    for row in results["claims"]["rows"]:
        lines.append(
            _row(
                f"{row['workers']} at once",
                f"{row['claims_a_second']:.0f}",
                f"{row['claim_s_p50'] * 1e3:.1f}",
                f"{row['claim_s_p99'] * 1e3:.1f}",
                f"{row['leader_cpu_s_a_claim'] * 1e3:.2f}",
            )
        )
    return lines


def write_relay() -> list[str]:
    """The data path's figures."""
    rows = json.loads((RESULTS / "relay.json").read_text())["rows"]
    titles = ("streams", "tokens/s", "entry us/token", "agent us/token", "added p50 ms", "p99 ms")
    lines = [_row(*titles), _row(*["---"] * len(titles))]
    for row in rows:
        lines.append(
            _row(
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
    """Replace what stands between the marks."""
    results = json.loads((RESULTS / "capacity.json").read_text())
    parts = [
        *write_slopes(results),
        "",
        *write_budgets(results),
        "",
        "Data path (`benchmarks/relay.py`, `benchmarks/results/relay.json`):",
        "",
        *write_relay(),
    ]
    text = PAGE.read_text()
    begin = text.index(BEGIN) + len(BEGIN)
    end = text.index(END)
    PAGE.write_text(text[:begin] + "\n" + "\n".join(parts) + "\n" + text[end:])


if __name__ == "__main__":
    main()
