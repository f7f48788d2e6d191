"""Runs the checks of CI: format, lint, unit tests and the examples in docstrings.

Each test module runs in a process of its own, so that a crash or leak does not affect the others.
The last line of the output is ``N passed, N failed``; the exit status tells whether any failed.

Tests that fail because of a known fault are listed in ``KNOWN-RED.txt``, one per line: the full
name, a colon, cause and issue. Their failures are printed, and counted as neither passed nor
failed.
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
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
TEST_ROOTS = ("benchmarks", "tillerlane")
"""Folders with tests, slowest first."""
MODULE_TIMEOUT_SECONDS = 240
SLOW_MODULES = ("soak", "_scale")
"""Parts of the names of slow modules, which are started first to shorten the total time."""
SERIAL_MODULES = ("misbehaving",)
"""Parts of the names of modules that run one at a time, after all others: they measure the memory
of processes that are offered more than they can take."""
INTERRUPT_TIMEOUT_SECONDS = 10
"""Time for a module to clean up after it was interrupted at its time limit."""
WORKERS = max(4, os.cpu_count() or 1)
_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
KNOWN_RED = ROOT / "KNOWN-RED.txt"
_FAILURE = re.compile(r"^(?:FAIL|ERROR): \w+ \(([\w.]+)\)", re.MULTILINE)
_SUMMARY = re.compile(r"^FAILED \((.*)\)", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one check; `known` lists the known failures that were skipped."""

    name: str
    passed: int
    failed: int
    output: str
    known: tuple[str, ...] = ()


def read_known_red(text: str) -> frozenset[str]:
    """Parse the full names of the tests that may fail because of a known fault."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    return frozenset(line.partition(":")[0].strip() for line in lines)


def judge_module(name: str, code: int, output: str, known_red: frozenset[str]) -> Outcome:
    """Evaluate a module's run; one that ran no test, or crashed, counts as one failure."""
    ran = _RAN.search(output)
    count = int(ran.group(1)) if ran else 0
    if code == 0 and count > 0:
        return Outcome(name, count, 0, output)
    match = _SUMMARY.search(output)
    failed = sum(int(number) for number in re.findall(r"=(\d+)", match.group(1))) if match else 0
    failed = max(1, failed)
    # A test with several failures, such as those of subtests, is skipped entirely.
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
        output, errors = process.communicate(timeout=MODULE_TIMEOUT_SECONDS)
        return subprocess.CompletedProcess(command, process.returncode, output, errors)
    except subprocess.TimeoutExpired:
        output = _terminate_group(process)
        return subprocess.CompletedProcess(
            command, 1, output, f"{name}: timed out after {MODULE_TIMEOUT_SECONDS} s"
        )


def _terminate_group(process: subprocess.Popen[str]) -> str:
    """Kill a process with its whole process group, and return its output.

    It is interrupted first, so that it prints a traceback.
    """
    os.killpg(process.pid, signal.SIGINT)
    with contextlib.suppress(subprocess.TimeoutExpired):
        process.communicate(timeout=INTERRUPT_TIMEOUT_SECONDS)
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    # A child process that missed the interrupt keeps the pipes open until it is killed, so that
    # the output is complete only now.
    try:
        output, errors = process.communicate(timeout=INTERRUPT_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        return ""  # a process outside the group keeps them open
    return output + errors


def run_lint(arguments: list[str]) -> Outcome:
    """Run ruff with the given arguments."""
    name = "ruff " + " ".join(arguments)
    done = _run([sys.executable, "-m", "ruff", *arguments], name)
    ok = done.returncode == 0
    return Outcome(name, int(ok), int(not ok), done.stdout + done.stderr)


def run_module(module: str, known_red: frozenset[str]) -> Outcome:
    """Run all tests of one module."""
    done = _run([sys.executable, "-W", "ignore", "-m", "unittest", module], module)
    return judge_module(module, done.returncode, done.stdout + done.stderr, known_red)


def find_modules(names: list[str]) -> list[str]:
    """Find the test modules whose name contains one of `names`; all modules without names."""
    paths = sorted(path for top in TEST_ROOTS for path in ROOT.glob(f"{top}/**/tests/test_*.py"))
    modules = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    found = [item for item in modules if not names or any(name in item for name in names)]
    return sorted(found, key=lambda item: not any(part in item for part in SLOW_MODULES))


def is_serial(module: str) -> bool:
    """Whether a module must not run beside other ones."""
    return any(part in module for part in SERIAL_MODULES)


def run_modules(modules: list[str], known_red: frozenset[str]) -> Iterator[Outcome]:
    """Run modules side by side, and after them the serial ones."""
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        parallel = [module for module in modules if not is_serial(module)]
        yield from pool.map(lambda module: run_module(module, known_red), parallel)
    for module in filter(is_serial, modules):
        yield run_module(module, known_red)


def main() -> None:
    """Run all checks and print the failures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="only modules whose name contains one of these")
    arguments = parser.parse_args()
    known_red = read_known_red(KNOWN_RED.read_text() if KNOWN_RED.exists() else "")
    outcomes = [run_lint(["format", "--check", "."]), run_lint(["check", "."])]
    for outcome in run_modules(find_modules(arguments.names), known_red):
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
