"""What the programs on the platform load: their machines have little memory and start often."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[3]
ALLOWED = frozenset(
    ("capnp", "httptools", "msgspec", "prometheus_client", "structlog", "tillerlane")
)
"""Packages beside the standard library: those of deploy/requirements.txt, and the own one."""
PROGRAM = """
import importlib.abc, sys

class Blocker(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        top = name.partition(".")[0]
        if top not in {allowed} and top not in sys.stdlib_module_names:
            raise ModuleNotFoundError(f"{{name}} is not on the machine", name=name)

sys.meta_path.insert(0, Blocker())
import {modules}
{work}
print("done")
"""
KEEPER_WORK = """
from tillerlane.keeper import state_machine
state = state_machine.StateMachine()
state.store.add_listener(lambda configuration: None)
state.load(state.dump())
"""


class ImportsTest(unittest.TestCase):
    """Each role runs where only the packages of the platform's build are."""

    def run_without_others(self, *modules: str, work: str = "") -> None:
        """Import modules, and do some work, in a process that has no other package."""
        program = PROGRAM.format(allowed=set(ALLOWED), modules=", ".join(modules), work=work)
        done = subprocess.run(
            [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=False
        )
        self.assertEqual(done.stdout, "done\n", done.stderr)

    def test_entry(self) -> None:
        self.run_without_others(
            "tillerlane.platform.main",
            "tillerlane.platform.programs",
            "tillerlane.platform.adapter",
            "tillerlane.gateway.entry",
            "tillerlane.timeline.sink",
        )

    def test_keeper(self) -> None:
        self.run_without_others(
            "tillerlane.platform.main",
            "tillerlane.platform.programs",
            "tillerlane.platform.control_api",
            "tillerlane.gateway.control",
            "tillerlane.timeline.sink",
            work=KEEPER_WORK,
        )

    def test_the_platforms_build_has_them_all(self) -> None:
        lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        names = {line.partition("==")[0] for line in lines if "==" in line}
        self.assertEqual(names, ALLOWED - {"capnp", "tillerlane"} | {"pycapnp"})


if __name__ == "__main__":
    unittest.main()
