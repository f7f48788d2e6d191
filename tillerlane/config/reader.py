"""Parses JSON with comments into validated models, with errors that give path and cause.

`json5` reads the comments; `pydantic` checks the values.
"""

import difflib
import pathlib
import re
from typing import Any, TypeVar

import json5
import pydantic
import result

from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = ["describe_errors", "parse_text", "read_file", "validate"]

Model = TypeVar("Model", bound=pydantic.BaseModel)

MAX_DOCUMENT_BYTES = 2 * 1024 * 1024


def parse_text(text: str, source: str) -> result.Result[Any, faults.Fault]:
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
        The document.
    source : str
        Name of the file, for errors.
    """
    try:
        return result.Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as error:
        reason = re.sub(r"<string>", source, str(error))
        return result.Err(_build_fault(f"{source}: invalid JSON with comments: {reason}"))


def read_file(path: pathlib.Path | str) -> result.Result[Any, faults.Fault]:
    """Parse a file of JSON with comments."""
    path = pathlib.Path(path)
    try:
        data = path.read_bytes()
        text = data.decode()
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(_build_fault(f"{path}: cannot be read: {error}"))
    if len(data) > MAX_DOCUMENT_BYTES:
        return result.Err(
            _build_fault(f"{path}: got {len(data)} bytes, expected at most {MAX_DOCUMENT_BYTES}")
        )
    return parse_text(text, str(path))


def validate(model: type[Model], data: Any, source: str) -> result.Result[Model, faults.Fault]:
    """Check parsed values against a model."""
    try:
        return result.Ok(model.model_validate(data))
    except pydantic.ValidationError as error:
        problems = describe_errors(error, model)
        message = "; ".join(f"{source}: {problem}" for problem in problems)
        return result.Err(_build_fault(message, problems))


def describe_errors(error: pydantic.ValidationError, model: type[pydantic.BaseModel]) -> list[str]:
    """Describe each error in one line: path in the document, actual and expected value."""
    return [_describe_error(item, model) for item in error.errors()]


def _describe_error(item: Any, model: type[pydantic.BaseModel]) -> str:
    location = [part for part in item["loc"] if part != "[key]"]
    path = "$" + "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in location)
    if item["type"] == "extra_forbidden":
        return f"{path}: got an unknown key{_suggest_key(model, location)}"
    if item["type"] == "missing":
        return f"{path}: got nothing, expected a value"
    got = repr(item["input"])
    got = got if len(got) <= 60 else got[:57] + "..."
    expected = item["msg"].removeprefix("Value error, ")
    return f"{path}: got {got}, expected: {expected}"


def _suggest_key(model: type[pydantic.BaseModel], location: list[Any]) -> str:
    """Suggest the closest known key of the model at this path."""
    known = _list_known_keys(model, location[:-1])
    matches = difflib.get_close_matches(str(location[-1]), known, n=1, cutoff=0.5)
    return f", expected perhaps {matches[0]!r}" if matches else f", expected one of {sorted(known)}"


def _list_known_keys(model: Any, path: list[Any]) -> list[str]:
    current: Any = model
    for part in path:
        if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
            field = current.model_fields.get(str(part))
            current = field.annotation if field else None
        else:
            arguments = [
                argument
                for argument in getattr(current, "__args__", ())
                if argument not in (str, int, type(None))
            ]
            current = arguments[-1] if arguments else None
        current = _strip_optional(current)
    if isinstance(current, type) and issubclass(current, pydantic.BaseModel):
        return list(current.model_fields)
    return []


def _strip_optional(annotation: Any) -> Any:
    arguments = [item for item in getattr(annotation, "__args__", ()) if item is not type(None)]
    is_union = type(None) in getattr(annotation, "__args__", ())
    return arguments[0] if is_union and len(arguments) == 1 else annotation


def _build_fault(message: str, problems: list[str] | None = None) -> faults.Fault:
    detail = {"problems": problems} if problems else {}
    return faults.new_fault(kinds.ErrorKind.INVALID_CONFIG, message, detail=detail)
