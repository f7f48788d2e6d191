"""What CI checks: format, lint, unit tests and the examples in docstrings.

Tests run in several processes, one module each, so that a crash or a leak of one does not reach
another.  The last line is ``N passed, N failed``, as is the exit status.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
TOPS = ("benchmarks", "tillerlane")
"""Folders with tests; the longest first."""
MODULE_SECONDS = 240
WORKERS = 4
_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
_BAD = re.compile(r"^FAILED \((.*)\)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How one check went."""

    name: str
    passed: int
    failed: int
    output: str


def _run(command: list[str], name: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONHASHSEED": "0"}
    try:
        return subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=MODULE_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return subprocess.CompletedProcess(command, 1, "", f"{name}: no end in sight")


def run_lint(arguments: list[str]) -> Outcome:
    """One run of ruff."""
    name = "ruff " + " ".join(arguments)
    done = _run([sys.executable, "-m", "ruff", *arguments], name)
    ok = done.returncode == 0
    return Outcome(name, int(ok), int(not ok), done.stdout + done.stderr)


def run_module(module: str) -> Outcome:
    """All tests of one module; a module that ran none, or crashed, counts as one failure."""
    done = _run([sys.executable, "-W", "ignore", "-m", "unittest", module], module)
    output = done.stdout + done.stderr
    ran = _RAN.search(output)
    count = int(ran.group(1)) if ran else 0
    if done.returncode == 0 and count > 0:
        return Outcome(module, count, 0, output)
    bad = _BAD.search(output)
    failed = sum(int(number) for number in re.findall(r"=(\d+)", bad.group(1))) if bad else 0
    failed = max(1, failed)
    return Outcome(module, max(0, count - failed), failed, output)


def find_modules(names: list[str]) -> list[str]:
    """Test modules, all of them or those whose name contains one of `names`."""
    paths = sorted(path for top in TOPS for path in ROOT.glob(f"{top}/**/tests/test_*.py"))
    modules = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return [item for item in modules if not names or any(name in item for name in names)]


def main() -> None:
    """Run everything and print what failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="only modules whose name contains one of these")
    arguments = parser.parse_args()
    outcomes = [run_lint(["format", "--check", "."]), run_lint(["check", "."])]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for outcome in pool.map(run_module, find_modules(arguments.names)):
            print(f"{outcome.name}: {outcome.passed} passed, {outcome.failed} failed", flush=True)
            outcomes.append(outcome)
    for outcome in outcomes:
        if outcome.failed:
            print(f"--- {outcome.name}\n{outcome.output}")
    passed = sum(outcome.passed for outcome in outcomes)
    failed = sum(outcome.failed for outcome in outcomes)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
