"""Messages survive encoding and decoding; invalid bytes are refused as a bad request."""

import dataclasses
import typing
import unittest

import hypothesis
from hypothesis import strategies

from tillerlane.faults import core as faults
from tillerlane.peers import codec, messages

BODIES = typing.get_args(messages.Body)
_TEXT = strategies.text(
    strategies.characters(exclude_categories=["Cs"], exclude_characters="\0"), max_size=20
)
_STRATEGIES = {
    "str": _TEXT,
    "int": strategies.integers(0, 255),
    "bool": strategies.booleans(),
    "float": strategies.floats(0, 1e6, width=32),
    "bytes": strategies.binary(max_size=50),
}


def build(cls: type) -> strategies.SearchStrategy[object]:
    """Build a strategy that generates instances of a message class."""
    hints = typing.get_type_hints(cls)
    parts = {}
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        if typing.get_origin(hint) is list:
            item = typing.get_args(hint)[0]
            inner = build(item) if dataclasses.is_dataclass(item) else _STRATEGIES[item.__name__]
            parts[field.name] = strategies.lists(inner, max_size=3)
        else:
            parts[field.name] = _STRATEGIES[hint.__name__]
    return strategies.builds(cls, **parts)


class MessagesTest(unittest.TestCase):
    """Encoding and decoding."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.one_of([build(cls) for cls in BODIES]))
    def test_round_trip(self, body: messages.Body) -> None:
        envelope = messages.Envelope(2**60 + 1, 7, 3, body)
        self.assertEqual(codec.decode(codec.encode(envelope)), envelope)

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes_are_refused_or_decoded(self, data: bytes) -> None:
        try:
            codec.decode(data)
        except faults.FaultError as error:
            self.assertEqual(error.fault.kind, "bad_request")

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        strategies.one_of([build(cls) for cls in BODIES]),
        strategies.integers(0, 10_000),
        strategies.integers(0, 255),
    )
    def test_changed_byte_is_refused_or_decoded(
        self, body: messages.Body, position: int, value: int
    ) -> None:
        data = bytearray(codec.encode(messages.Envelope(1, 1, 1, body)))
        data[position % len(data)] = value
        try:
            codec.decode(bytes(data))
        except faults.FaultError as error:
            self.assertEqual(error.fault.kind, "bad_request")
