"""Tests of the reference page, the example configurations and the import layers."""

import ast
import pathlib
import unittest

from tillerlane.operators import changes
from tillerlane.testing import deployment, reference

PACKAGE = reference.ROOT / "tillerlane"
ALLOWED = {
    "faults": set(),
    "timeline": set(),
    "config": {"faults", "peers"},
    "policy": {"faults", "config"},
    "peers": {"faults", "timeline"},
    "runners": {"faults"},
    "members": {"peers"},
    "keeper": {"faults", "timeline", "config", "peers", "members", "decisions"},
    "agent": {"faults", "timeline", "config", "peers", "policy", "runners"},
    "entry": {
        *("faults", "timeline", "config", "peers", "policy", "members", "agent", "runners"),
        "keeper",
    },
    "decisions": set(),
    "gateway": {"faults", "timeline", "config", "peers", "keeper", "decisions"},
    "platform": {"faults", "gateway", "keeper", "peers", "timeline"},
}
"""Folders of the package that each folder may import; folders not listed may import all."""


class DocumentsTest(unittest.TestCase):
    """The generated page and the examples."""

    def test_reference_is_up_to_date(self) -> None:
        self.assertEqual(reference.PATH.read_text(), reference.build_reference())

    def test_examples_are_valid(self) -> None:
        for path in sorted(reference.ROOT.glob("examples/*/config.json")):
            data, _ = deployment.read_example(path)
            changes.check_document(data, str(path)).unwrap()


class ImportsTest(unittest.TestCase):
    """Inner layers do not import outer ones."""

    def read_imports(self, path: pathlib.Path) -> set[str]:
        """Parse the folders of the package that a module imports."""
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("tillerlane."):
                found.add(node.module.split(".")[1])
        return found

    def test_only_platform_and_tests_import_the_platform(self) -> None:
        for path in PACKAGE.rglob("*.py"):
            folder = path.relative_to(PACKAGE).parts[0]
            if folder not in ("platform", "testing") and "tests" not in path.parts:
                self.assertNotIn("platform", self.read_imports(path), str(path))

    def test_platform_imports_no_decision_modules(self) -> None:
        decisions = {"relay", "runs", "selection", "homes", "usage"}
        for path in (PACKAGE / "platform").glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.ImportFrom) and node.module == "tillerlane.gateway":
                    names = {alias.name for alias in node.names}
                    self.assertEqual(names & decisions, set(), path.name)

    def test_import_layers(self) -> None:
        for folder, allowed in ALLOWED.items():
            for path in (PACKAGE / folder).glob("*.py"):
                extra = self.read_imports(path) - allowed - {folder}
                self.assertEqual(extra, set(), f"{path.name} of {folder}")


if __name__ == "__main__":
    unittest.main()
