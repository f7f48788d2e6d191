"""What CI checks: format, lint, unit tests and the examples in docstrings.

Tests run in several processes, one module each, so that a crash or a leak of one does not reach
another.  The last line is ``N passed, N failed``, as is the exit status.

A test that fails for a known fault stands in ``KNOWN-RED.txt``, a line each: its full name, a
colon, cause and issue.  Its failure is passed over and printed; it counts neither way.
"""

import argparse
import concurrent.futures
import contextlib
import dataclasses
import os
import pathlib
import re
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
TOPS = ("benchmarks", "tillerlane")
"""Folders with tests; the longest first."""
MODULE_SECONDS = 240
LONGEST = ("soak", "_scale")
"""Parts of the names of modules that are begun first, as the others would wait for them."""
INTERRUPT_SECONDS = 10
"""How long a module that took too long may clean up."""
WORKERS = max(4, os.cpu_count() or 1)
_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
KNOWN_RED = ROOT / "KNOWN-RED.txt"
_FAILURE = re.compile(r"^(?:FAIL|ERROR): \w+ \(([\w.]+)\)", re.MULTILINE)
_BAD = re.compile(r"^FAILED \((.*)\)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How one check went; `known` are the failures that were passed over."""

    name: str
    passed: int
    failed: int
    output: str
    known: tuple[str, ...] = ()


def read_known_red(text: str) -> frozenset[str]:
    """Full names of the tests that may fail for a known fault."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    return frozenset(line.partition(":")[0].strip() for line in lines)


def judge_module(name: str, code: int, output: str, known_red: frozenset[str]) -> Outcome:
    """What a module's run says; one that ran no test, or crashed, counts as one failure."""
    ran = _RAN.search(output)
    count = int(ran.group(1)) if ran else 0
    if code == 0 and count > 0:
        return Outcome(name, count, 0, output)
    bad = _BAD.search(output)
    failed = sum(int(number) for number in re.findall(r"=(\d+)", bad.group(1))) if bad else 0
    failed = max(1, failed)
    # A test with several failures, as of its subtests, is passed over as a whole.
    failures = _FAILURE.findall(output)
    known = tuple(sorted(set(failures) & known_red))
    passed_over = sum(item in known_red for item in failures)
    passed = max(0, count - len(set(failures)) if failures else count - failed)
    return Outcome(name, passed, failed - passed_over, output, known)


def _run(command: list[str], name: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONHASHSEED": "0"}
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        output, errors = process.communicate(timeout=MODULE_SECONDS)
        return subprocess.CompletedProcess(command, process.returncode, output, errors)
    except subprocess.TimeoutExpired:
        output = _end_group(process)
        return subprocess.CompletedProcess(command, 1, output, f"{name}: no end in sight")


def _end_group(process: subprocess.Popen[str]) -> str:
    """End a process and all that it started, and give what it printed.

    It is interrupted first, so that it tells where it was.
    """
    os.killpg(process.pid, signal.SIGINT)
    try:
        output, errors = process.communicate(timeout=INTERRUPT_SECONDS)
    except subprocess.TimeoutExpired:
        output = errors = ""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    process.wait()
    return output + errors


def run_lint(arguments: list[str]) -> Outcome:
    """One run of ruff."""
    name = "ruff " + " ".join(arguments)
    done = _run([sys.executable, "-m", "ruff", *arguments], name)
    ok = done.returncode == 0
    return Outcome(name, int(ok), int(not ok), done.stdout + done.stderr)


def run_module(module: str, known_red: frozenset[str]) -> Outcome:
    """All tests of one module."""
    done = _run([sys.executable, "-W", "ignore", "-m", "unittest", module], module)
    return judge_module(module, done.returncode, done.stdout + done.stderr, known_red)


def find_modules(names: list[str]) -> list[str]:
    """Test modules, all of them or those whose name contains one of `names`."""
    paths = sorted(path for top in TOPS for path in ROOT.glob(f"{top}/**/tests/test_*.py"))
    modules = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    found = [item for item in modules if not names or any(name in item for name in names)]
    return sorted(found, key=lambda item: not any(part in item for part in LONGEST))


def main() -> None:
    """Run everything and print what failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="only modules whose name contains one of these")
    arguments = parser.parse_args()
    known_red = read_known_red(KNOWN_RED.read_text() if KNOWN_RED.exists() else "")
    outcomes = [run_lint(["format", "--check", "."]), run_lint(["check", "."])]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for outcome in pool.map(
            lambda module: run_module(module, known_red), find_modules(arguments.names)
        ):
            print(f"{outcome.name}: {outcome.passed} passed, {outcome.failed} failed", flush=True)
            outcomes.append(outcome)
    for outcome in outcomes:
        if outcome.failed:
            print(f"--- {outcome.name}\n{outcome.output}")
    for outcome in outcomes:
        for name in outcome.known:
            print(f"known red, passed over: {name}")
    passed = sum(outcome.passed for outcome in outcomes)
    failed = sum(outcome.failed for outcome in outcomes)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
