"""Processor time to start a program and import its modules, by interpreter options.

    python -m benchmarks.startup [--starts 12]

Each start is a separate process.  Prints the minimum and the median of the starts in seconds.
"""

import argparse
import os
import pathlib
import resource
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
COMMON_MODULES = "tillerlane.platform.programs"
MODULES = {
    "entry": f"{COMMON_MODULES}, tillerlane.gateway.entry, tillerlane.platform.adapter",
    "keeper": f"{COMMON_MODULES}, tillerlane.gateway.control, tillerlane.platform.control_api",
}
START_OPTIONS = {"with site packages": [], "without (-S)": ["-S"]}


def get_children_cpu_seconds() -> float:
    """Get the processor seconds of all child processes that have exited."""
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def measure_starts(options: list[str], modules: str, starts: int) -> list[float]:
    """Measure the processor seconds of several starts."""
    environment = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT / "target" / "deps")}
    command = [sys.executable, *options, "-c", f"import {modules}"]
    cpu_seconds = []
    for _ in range(starts):
        before = get_children_cpu_seconds()
        subprocess.run(command, env=environment, cwd=ROOT, check=True)
        cpu_seconds.append(get_children_cpu_seconds() - before)
    return cpu_seconds


def main() -> None:
    """Print a line for each program and set of options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=12)
    starts = parser.parse_args().starts
    for program, modules in MODULES.items():
        for name, options in START_OPTIONS.items():
            times = measure_starts(options, modules, starts)
            print(
                f"{program} {name}: least {min(times):.3f}, median {statistics.median(times):.3f}"
            )


if __name__ == "__main__":
    main()
