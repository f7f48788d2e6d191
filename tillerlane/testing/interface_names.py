"""Lists the names that leave the process, as they stand in the sources.

Names in messages to callers, targets and peers, of stored fields and files, of settings, flags,
environment variables, metrics and log lines are an interface: a renaming of the code must keep
them.  The list is collected from syntax trees, so nothing is imported or started::

    python -m tillerlane.testing.interface_names --root . > names.txt
    python -m tillerlane.testing.interface_names --root . --expect names.txt
"""

import argparse
import ast
import pathlib
import re
import sys
from collections.abc import Iterable, Iterator

__all__ = ["collect", "main"]

FOLDERS_LEFT_OUT = ("tests", "testing")
"""Folders whose strings reach no other process of a deployment."""
WRITTEN_DATACLASSES = frozenset(
    (
        *("Fault", "Event", "Claim", "OrderRecord", "Entity", "Demand", "RunnerState"),
        *("PlannedOrder", "QuorumView", "RunnerLoad"),
    )
)
"""Dataclasses that are written out, or read, under the names of their fields."""
MODEL_BASES = frozenset(("BaseModel", "BaseSettings", "Struct", "StrEnum", "Enum", "TypedDict"))
LOG_METHODS = frozenset(("record", "_record", "debug", "info", "warning", "error", "exception"))
SCHEMA_NAME = re.compile(r"[A-Za-z][A-Za-z0-9]*")

Names = set[tuple[str, str]]
"""Pairs of a kind (such as ``flag``) and a name."""


def collect(root: pathlib.Path) -> Names:
    """Collect the names of the project whose sources stand under `root`."""
    package = root / "tillerlane"
    paths = [
        path
        for path in sorted(package.rglob("*.py"))
        if not set(FOLDERS_LEFT_OUT) & set(path.relative_to(package).parts)
    ]
    trees = {path: ast.parse(path.read_text()) for path in paths}
    models = _find_models(trees.values())
    names: Names = set()
    for path, tree in trees.items():
        is_message = path.name == "messages.py"
        names.update(_list_fields(tree, models, is_message))
        names.update(_list_calls(tree))
        names.update(_list_strings(tree))
    for schema in sorted(package.rglob("*.capnp")):
        text = re.sub(r"#.*", "", schema.read_text())
        names.update(("schema", name) for name in SCHEMA_NAME.findall(text))
    return names


def _find_models(trees: Iterable[ast.Module]) -> set[str]:
    """Names of validated models and enumerations, and of what derives from them."""
    classes = [node for tree in trees for node in ast.walk(tree) if isinstance(node, ast.ClassDef)]
    found = set(MODEL_BASES)
    while True:
        derived = {item.name for item in classes if _name_bases(item) & found} - found
        if not derived:
            return found
        found |= derived


def _name_bases(node: ast.ClassDef) -> set[str]:
    return {ast.unparse(base).rpartition(".")[2].partition("[")[0] for base in node.bases}


def _list_fields(tree: ast.Module, models: set[str], is_message: bool) -> Iterator[tuple[str, str]]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.ClassDef):
            continue
        if is_message:
            yield "message", node.name
        is_model = bool(_name_bases(node) & models)
        if is_message or is_model or node.name in WRITTEN_DATACLASSES:
            for item in node.body:
                if isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
                    yield "field", item.target.id


def _list_calls(tree: ast.Module) -> Iterator[tuple[str, str]]:
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        texts = [
            item.value
            for item in node.args
            if isinstance(item, ast.Constant) and isinstance(item.value, str)
        ]
        if name in LOG_METHODS:
            yield from (("log event", text) for text in texts if not re.search(r"\s", text))
            yield from (("log field", item.arg) for item in node.keywords if item.arg)
        elif name == "add_argument":
            yield from (("flag", text) for text in texts)
        elif name == "add_parser":
            yield from (("command", text) for text in texts)


def _list_strings(tree: ast.Module) -> Iterator[tuple[str, str]]:
    """Strings without spaces: keys, header names, metric names, file names, values."""
    left_out = set()
    for node in ast.walk(tree):
        is_doc = isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
        is_export = isinstance(node, ast.Assign) and any(
            getattr(target, "id", "") == "__all__" for target in node.targets
        )
        if is_doc or is_export:
            left_out.update(id(inner) for inner in ast.walk(node))
        if isinstance(node, ast.JoinedStr):
            left_out.update(id(piece) for piece in node.values if _is_mid_sentence(piece))
        for annotation in (getattr(node, "annotation", None), getattr(node, "returns", None)):
            if annotation is not None:
                left_out.update(id(inner) for inner in ast.walk(annotation))
    for node in ast.walk(tree):
        if id(node) in left_out or not isinstance(node, ast.Constant):
            continue
        value = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
        if isinstance(value, str) and re.search(r"[A-Za-z]", value):
            if value.startswith("TILLERLANE_"):
                yield "environment", value
            elif not re.search(r"\s", value.strip()):
                yield "text", value.strip()


def _is_mid_sentence(piece: ast.expr) -> bool:
    """Whether a piece of an f-string follows a value after a space, as only sentences do."""
    return isinstance(piece, ast.Constant) and str(piece.value).startswith(" ")


def main() -> None:
    """Print the list, or what is missing of an earlier one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=pathlib.Path, default=pathlib.Path())
    parser.add_argument("--expect", type=pathlib.Path, help="a list of before; prints what went")
    arguments = parser.parse_args()
    names = collect(arguments.root)
    if arguments.expect is None:
        print("\n".join(f"{kind}\t{name}" for kind, name in sorted(names)))
        return
    rows = [line.split("\t", 1) for line in arguments.expect.read_text().splitlines()]
    missing = sorted({(kind, name) for kind, name in rows} - names)
    print("\n".join(f"missing: {kind}\t{name}" for kind, name in missing))
    print(f"{len(rows)} names expected, {len(missing)} missing")
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
