"""Encoding of messages on the wire, derived from their dataclasses and the schema."""

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

__all__ = [
    "check_columns",
    "decode",
    "decode_json",
    "decode_table",
    "encode",
    "encode_json",
    "encode_table",
]


def encode_json(value: Any) -> bytes:
    """Encode a value for a field that carries JSON."""
    return msgspec.json.encode(value)


def decode_json(data: bytes | str) -> Any:
    """Decode a field that carries JSON.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is not valid JSON.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"invalid JSON: {error}")
        raise faults.FaultError(fault) from error


def check_columns(message: str, *columns: list[Any]) -> None:
    """Check that the columns of a message have one length.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` otherwise.
    """
    lengths = [len(column) for column in columns]
    if len(set(lengths)) > 1:
        text = f"got columns of {lengths} rows in {message}, expected one length"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, text))


def _build_schema_name(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _build_body_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """How one dataclass field maps to the schema."""

    name: str
    schema_name: str
    element: type | None
    """Element class if the field is a list of dataclasses."""
    is_list: bool


def _list_fields(cls: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(cls)
    found = []
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        is_list = typing.get_origin(hint) is list
        item = typing.get_args(hint)[0] if is_list else None
        element = item if item is not None and dataclasses.is_dataclass(item) else None
        found.append(_Field(field.name, _build_schema_name(field.name), element, is_list))
    return tuple(found)


_BODY_CLASSES: dict[str, type] = {
    _build_body_name(cls): cls for cls in typing.get_args(messages.Body)
}
_BODY_NAMES: dict[type, str] = {cls: name for name, cls in _BODY_CLASSES.items()}
_ELEMENT_CLASSES = (
    messages.Load,
    messages.Entity,
    messages.Member,
    messages.LogEntry,
    messages.TargetUse,
    messages.KeeperSeen,
    messages.PermitWish,
    messages.PermitGrant,
)
"""Dataclasses that occur as list elements in a message body."""
_TABLE_CLASSES = (
    messages.UseTable,
    messages.StateTable,
    messages.FormerTable,
    messages.EndTable,
    messages.LimitTable,
    messages.WorkspaceTable,
)
"""Dataclasses that are embedded in a message body as bytes."""
_FIELDS: dict[type, tuple[_Field, ...]] = {
    cls: _list_fields(cls) for cls in [*_BODY_CLASSES.values(), *_ELEMENT_CLASSES, *_TABLE_CLASSES]
}
_OPTIONAL_COLUMNS: dict[type, dict[str, Any]] = {
    cls: {
        field.name: typing.get_args(typing.get_type_hints(cls)[field.name])[0]()
        for field in dataclasses.fields(cls)
        if field.default_factory is not dataclasses.MISSING
    }
    for cls in _TABLE_CLASSES
}
"""Columns of each table that were added after its first version, and the value of absent cells."""

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))
_MAX_TRAVERSAL_WORDS = 8 * 1024 * 1024


def _encode_fields(builder: Any, value: Any) -> None:
    for field in _FIELDS[type(value)]:
        item = getattr(value, field.name)
        if not field.is_list or field.element is None:
            setattr(builder, field.schema_name, item)
        elif item:
            elements = builder.init(field.schema_name, len(item))
            for position, element in enumerate(item):
                _encode_fields(elements[position], element)


def _decode_fields(reader: Any, cls: type) -> Any:
    values = []
    for field in _FIELDS[cls]:
        item = getattr(reader, field.schema_name)
        if not field.is_list:
            values.append(item)
        elif field.element is None:
            values.append(list(item))
        else:
            values.append([_decode_fields(element, field.element) for element in item])
    return cls(*values)


AnyTable = (
    messages.UseTable
    | messages.StateTable
    | messages.FormerTable
    | messages.EndTable
    | messages.LimitTable
    | messages.WorkspaceTable
)
Table = TypeVar(
    "Table",
    messages.UseTable,
    messages.StateTable,
    messages.FormerTable,
    messages.EndTable,
    messages.LimitTable,
    messages.WorkspaceTable,
)


def encode_table(table: AnyTable) -> bytes:
    """Encode a table for a field that carries one."""
    builder = getattr(_SCHEMA, type(table).__name__).new_message()
    _encode_fields(builder, table)
    return builder.to_bytes()


def decode_table(data: bytes, cls: type[Table]) -> Table:
    """Decode a field that carries a table of class `cls`.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is not such a table, or its columns differ in length.
    """
    with _convert_errors(data, cls.__name__):
        schema = getattr(_SCHEMA, cls.__name__)
        with schema.from_bytes(data, traversal_limit_in_words=_MAX_TRAVERSAL_WORDS) as reader:
            table: Table = _decode_fields(reader, cls)
        _fill_absent_columns(table, cls)
        lengths = {len(getattr(table, field.name)) for field in _FIELDS[cls]}
        if len(lengths) > 1:
            raise ValueError(f"got columns of {sorted(lengths)} rows, expected one length")
        return table


def _fill_absent_columns(table: Any, cls: type) -> None:
    """Fill the columns that a daemon of an earlier version does not send: zeros, or empty texts."""
    rows = len(getattr(table, _FIELDS[cls][0].name))
    for name, value in _OPTIONAL_COLUMNS[cls].items():
        if not getattr(table, name):
            setattr(table, name, [value] * rows)


def encode(envelope: messages.Envelope) -> bytes:
    """Encode an envelope as one Cap'n Proto message."""
    builder = _SCHEMA.Envelope.new_message()
    builder.clock = envelope.clock
    builder.configVersion = envelope.config_version
    builder.exchange = envelope.exchange
    body = envelope.body
    if type(body) is messages.Heartbeat:
        builder.heartbeat = None
    else:
        _encode_fields(builder.init(_BODY_NAMES[type(body)]), body)
    return builder.to_bytes()


def decode(data: bytes) -> messages.Envelope:
    """Decode one Cap'n Proto message.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is not a message of the schema.
    """
    with (
        _convert_errors(data, "peer message"),
        _SCHEMA.Envelope.from_bytes(data, traversal_limit_in_words=_MAX_TRAVERSAL_WORDS) as reader,
    ):
        name = reader.which
        name = str(name() if callable(name) else name)
        cls = _BODY_CLASSES[name]
        body = cls() if cls is messages.Heartbeat else _decode_fields(getattr(reader, name), cls)
        return messages.Envelope(reader.clock, reader.configVersion, reader.exchange, body)


@contextlib.contextmanager
def _convert_errors(data: bytes, expected: str) -> Iterator[None]:
    """Convert decoding errors to a fault of kind ``bad_request``."""
    try:
        yield
    except (capnp.KjException, KeyError, ValueError) as error:
        reason = re.split(r"[\n;]", str(error))[0][:200]
        message = f"cannot decode {len(data)} bytes as {expected}: {reason}"
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message)
        raise faults.FaultError(fault) from error
