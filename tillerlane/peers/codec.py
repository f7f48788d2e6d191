"""The form of messages on the wire, derived from their dataclasses and the schema."""

import contextlib
import dataclasses
import pathlib
import re
import typing
from collections.abc import Iterator
from typing import Any, TypeVar

import capnp
import msgspec

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.peers import messages

__all__ = ["decode", "decode_json", "decode_table", "encode", "encode_json", "encode_table"]


def encode_json(value: Any) -> bytes:
    """Write JSON for those fields that carry it."""
    return msgspec.json.encode(value)


def decode_json(data: bytes | str) -> Any:
    """Read JSON from those fields that carry it.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it is none.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"got no JSON: {error}")
        raise faults.FaultError(fault) from error


def _name_in_schema(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _name_of_body(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """How one dataclass field stands in the schema."""

    name: str
    schema_name: str
    element: type | None
    """Class of the elements of a list of dataclasses."""
    is_list: bool


def _plan_fields(cls: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(cls)
    planned = []
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        is_list = typing.get_origin(hint) is list
        item = typing.get_args(hint)[0] if is_list else None
        element = item if item is not None and dataclasses.is_dataclass(item) else None
        planned.append(_Field(field.name, _name_in_schema(field.name), element, is_list))
    return tuple(planned)


_BODIES: dict[str, type] = {_name_of_body(cls): cls for cls in typing.get_args(messages.Body)}
_NAMES: dict[type, str] = {cls: name for name, cls in _BODIES.items()}
_ELEMENTS = (
    messages.Load,
    messages.Entity,
    messages.Member,
    messages.LogEntry,
    messages.TargetUse,
    messages.KeeperSeen,
    messages.PermitWish,
    messages.PermitGrant,
)
"""Dataclasses that stand in lists of a body."""
_TABLES = (messages.UseTable, messages.StateTable, messages.EndTable, messages.LimitTable)
"""Dataclasses that stand in a body as bytes."""
_PLANS: dict[type, tuple[_Field, ...]] = {
    cls: _plan_fields(cls) for cls in [*_BODIES.values(), *_ELEMENTS, *_TABLES]
}

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))
_MAX_TRAVERSAL_WORDS = 8 * 1024 * 1024


def _fill(builder: Any, value: Any) -> None:
    for field in _PLANS[type(value)]:
        item = getattr(value, field.name)
        if not field.is_list or field.element is None:
            setattr(builder, field.schema_name, item)
        elif item:
            listed = builder.init(field.schema_name, len(item))
            for position, element in enumerate(item):
                _fill(listed[position], element)


def _read(reader: Any, cls: type) -> Any:
    values = []
    for field in _PLANS[cls]:
        item = getattr(reader, field.schema_name)
        if not field.is_list:
            values.append(item)
        elif field.element is None:
            values.append(list(item))
        else:
            values.append([_read(element, field.element) for element in item])
    return cls(*values)


AnyTable = messages.UseTable | messages.StateTable | messages.EndTable | messages.LimitTable
Table = TypeVar(
    "Table", messages.UseTable, messages.StateTable, messages.EndTable, messages.LimitTable
)


def encode_table(table: AnyTable) -> bytes:
    """Write a table for those fields that carry one."""
    builder = getattr(_SCHEMA, type(table).__name__).new_message()
    _fill(builder, table)
    return builder.to_bytes()


def decode_table(data: bytes, cls: type[Table]) -> Table:
    """Read a table of a class from those fields that carry one.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is none, or its columns differ in length.
    """
    with _reading(data, cls.__name__):
        schema = getattr(_SCHEMA, cls.__name__)
        with schema.from_bytes(data, traversal_limit_in_words=_MAX_TRAVERSAL_WORDS) as reader:
            table: Table = _read(reader, cls)
        lengths = {len(getattr(table, field.name)) for field in _PLANS[cls]}
        if len(lengths) > 1:
            raise ValueError(f"got columns of {sorted(lengths)} rows, expected one length")
        return table


def encode(envelope: messages.Envelope) -> bytes:
    """Write an envelope as one Cap'n Proto message."""
    builder = _SCHEMA.Envelope.new_message()
    builder.clock = envelope.clock
    builder.configVersion = envelope.config_version
    builder.exchange = envelope.exchange
    body = envelope.body
    if type(body) is messages.Heartbeat:
        builder.heartbeat = None
    else:
        _fill(builder.init(_NAMES[type(body)]), body)
    return builder.to_bytes()


def decode(data: bytes) -> messages.Envelope:
    """Read one Cap'n Proto message.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is no message of the schema.
    """
    with (
        _reading(data, "peer message"),
        _SCHEMA.Envelope.from_bytes(data, traversal_limit_in_words=_MAX_TRAVERSAL_WORDS) as reader,
    ):
        name = reader.which
        name = str(name() if callable(name) else name)
        cls = _BODIES[name]
        body = cls() if cls is messages.Heartbeat else _read(getattr(reader, name), cls)
        return messages.Envelope(reader.clock, reader.configVersion, reader.exchange, body)


@contextlib.contextmanager
def _reading(data: bytes, expected: str) -> Iterator[None]:
    """Turn what goes wrong in reading into a fault of kind ``bad_request``."""
    try:
        yield
    except (capnp.KjException, KeyError, ValueError) as error:
        reason = re.split(r"[\n;]", str(error))[0][:200]
        message = f"got {len(data)} bytes that are no {expected}: {reason}"
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message)
        raise faults.FaultError(fault) from error
