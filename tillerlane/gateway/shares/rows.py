"""Rows of the workspace table: what one entry, or all entries, have of a workspace at a pool."""

import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

from tillerlane.peers import codec, messages

__all__ = [
    "MAX_ROWS",
    "NO_PRIORITY",
    "Key",
    "Row",
    "Rows",
    "decode_rows",
    "encode_all",
    "encode_rows",
]

MAX_ROWS = 120
"""Maximum number of rows in a report or digest, those with the most tokens first."""
NO_PRIORITY = 255
"""Priority in the row of a workspace that was served and of which no request waits."""
_MAX_VALUE = 2**32 - 1
_REQUEST_TOKENS = 1_000
"""Weight of a request in the size of a change, so that requests without a prompt count too."""


class Key(NamedTuple):
    """What a row is about; requests of one workspace may have several priorities."""

    pool: str
    workspace: str
    priority: int


@dataclasses.dataclass(slots=True)
class Row:
    """Waiting requests and their tokens, and the decayed counter of served tokens."""

    waiting: int = 0
    waiting_tokens: int = 0
    served_tokens: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether no number is positive."""
        return max(self.waiting, self.waiting_tokens, self.served_tokens) <= 0

    @property
    def size(self) -> int:
        """Tokens for which the row stands."""
        return self.waiting_tokens + self.served_tokens + _REQUEST_TOKENS * self.waiting

    def add(self, other: "Row", sign: int = 1) -> None:
        """Add another row, or with `sign` -1 subtract it."""
        self.waiting += sign * other.waiting
        self.waiting_tokens += sign * other.waiting_tokens
        self.served_tokens += sign * other.served_tokens

    def compute_change(self, former: "Row") -> int:
        """How much it differs from a former row, in tokens."""
        return (
            abs(self.waiting_tokens - former.waiting_tokens)
            + abs(self.served_tokens - former.served_tokens)
            + _REQUEST_TOKENS * abs(self.waiting - former.waiting)
        )


Rows = dict[Key, Row]


def encode_rows(rows: Iterable[tuple[Key, Row]]) -> bytes:
    """Encode rows as a table; empty without any, and values out of range are cut off."""
    found = list(rows)
    if not found:
        return b""

    def clip(value: int) -> int:
        return min(_MAX_VALUE, max(0, value))

    table = messages.WorkspaceTable(
        [key.pool for key, _ in found],
        [key.workspace for key, _ in found],
        [min(NO_PRIORITY, max(0, key.priority)) for key, _ in found],
        [clip(row.waiting) for _, row in found],
        [clip(row.waiting_tokens) for _, row in found],
        [clip(row.served_tokens) for _, row in found],
    )
    return codec.encode_table(table)


def encode_all(tables: Iterable[Rows]) -> list[bytes]:
    """Encode several tables; nothing if all are empty."""
    encoded = [encode_rows(rows.items()) for rows in tables]
    return encoded if any(encoded) else []


def decode_rows(data: bytes) -> Rows:
    """Decode a table; one without bytes, as in messages of the former version, has no rows.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is no table.
    """
    if not data:
        return {}
    table = codec.decode_table(data, messages.WorkspaceTable)
    keys = map(Key, table.pools, table.workspaces, table.priorities)
    values = map(Row, table.waiting, table.waiting_tokens, table.served_tokens)
    return dict(zip(keys, values, strict=True))
