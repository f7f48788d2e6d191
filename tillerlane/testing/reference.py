"""Generates ``docs/reference.md`` from the code; a test checks that it is up to date."""

import pathlib
import types
import typing
from typing import Any

import pydantic

from tillerlane.config import documents, settings
from tillerlane.faults import kinds
from tillerlane.policy import facts

__all__ = ["build_reference"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
PATH = ROOT / "docs" / "reference.md"


def _format_row(*cells: Any) -> str:
    return "| " + " | ".join(str(cell).replace("|", "\\|") for cell in cells) + " |"


def _format_table(titles: list[str], rows: list[list[Any]]) -> list[str]:
    head = [_format_row(*titles), _format_row(*["---"] * len(titles))]
    return [*head, *(_format_row(*row) for row in rows), ""]


def _format_type(annotation: Any) -> str:
    if annotation is type(None):
        return "null"
    origin = typing.get_origin(annotation)
    if origin is typing.Annotated:
        return _format_type(typing.get_args(annotation)[0])
    arguments = typing.get_args(annotation)
    if origin is list:
        return f"list of {_format_type(arguments[0])}"
    if origin is dict:
        return f"map of {_format_type(arguments[1])}"
    if origin in (typing.Union, types.UnionType):
        return " or ".join(_format_type(argument) for argument in arguments)
    return getattr(annotation, "__name__", str(annotation))


def _format_default(field: Any) -> str:
    if field.is_required():
        return "required"
    if isinstance(field.default, pydantic.BaseModel):
        return "as below"
    value = field.default
    return f"`{value.value if hasattr(value, 'value') else value!r}`"


def _format_model(model: type[pydantic.BaseModel]) -> list[str]:
    rows = [
        [f"`{name}`", _format_type(field.annotation), _format_default(field)]
        for name, field in model.model_fields.items()
    ]
    summary = (model.__doc__ or "").strip().splitlines()[0]
    return [
        f"### {model.__name__}",
        "",
        summary,
        "",
        *_format_table(["key", "type", "default"], rows),
    ]


def build_reference() -> str:
    """Build the text of the page."""
    lines = [
        "# Reference",
        "",
        "Written from the code by `python -m tillerlane.testing.reference`; a test compares them.",
        "",
        "## Errors",
        "",
        "Every answer other than success is one of these. `ran` is what is true unless the error",
        "itself says otherwise; the exit code is that of `tillerlane`.",
        "",
    ]
    rows = [
        [f"`{kind}`", row.status, row.ran.value, row.retry.value, row.exit_code, row.meaning]
        for kind, row in kinds.RESPONSES.items()
    ]
    lines += _format_table(["kind", "status", "ran", "retry", "exit code", "meaning"], rows)
    lines += ["## Policy expressions", ""]
    rows = [
        [
            f"`{name}`",
            {float: "number", bool: "true or false"}[item.type],
            item.meaning,
            ", ".join(f"`{fact}`" for fact in sorted(item.facts)),
        ]
        for name, item in facts.EXPRESSIONS.items()
    ]
    lines += _format_table(["expression", "gives", "meaning", "facts"], rows)
    lines += ["## Policy facts", "", "Numbers are CEL doubles: write `2.0`, not `2`.", ""]
    names = {float: "number", bool: "true or false", str: "text"}
    rows = [[f"`{name}`", names[fact.type], fact.meaning] for name, fact in facts.FACTS.items()]
    lines += _format_table(["fact", "type", "meaning"], rows)
    lines += ["## Settings of a daemon", ""]
    for model in (settings.Settings, settings.Target, settings.Tls):
        lines += _format_model(model)
    lines += ["## Configuration of the fleet", ""]
    models = [documents.Document, *documents.KINDS.values()]
    models += [documents.Limits, documents.Runner, documents.PolicyExample]
    for model in models:
        lines += _format_model(model)
    return "\n".join(lines).rstrip() + "\n"


def main() -> None:
    """Write the page."""
    PATH.write_text(build_reference())


if __name__ == "__main__":
    main()
