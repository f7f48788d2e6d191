"""Records of which pool and software version began each stream, and their messages."""

import asyncio
import dataclasses
import hashlib
import heapq
from collections.abc import Callable, Iterable

from tillerlane.peers import codec, messages

__all__ = ["Origin", "OriginTable", "Record", "compute_key", "decode_origins", "encode_origins"]

KEY_BYTES = 8
"""Size of a key on the wire.  Of a million streams known at once, two have the same key with a
probability of 3 in 100 million."""
MAX_RECORDS = 200_000
"""Bound on memory, 60 MB: a fleet that starts 4,600 streams a second has 180,000 with a deadline of
39 s."""
MAX_RECORDS_PER_MESSAGE = 5_000
"""70 kB."""
MAX_RETENTION_SECONDS = 3600.0
"""Bound on the retention that is taken from a message."""
MAX_ATTEMPTS = 255
EXTENSION_SECONDS = 1.0
"""A record that is repeated over another path has another expiry by less than this."""


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """What began a stream.

    Attributes
    ----------
    attempt : int
        Increases with each target that an entry sends the stream's request to; the latest counts.
    expires_at : float
        Event-loop time from which the caller does not resume the stream any more.
    """

    pool: str
    software_version: str
    attempt: int
    expires_at: float

    def has_same_version(self, other: "Origin") -> bool:
        """Whether the same pool and software version began the stream."""
        return (self.pool, self.software_version) == (other.pool, other.software_version)


Record = tuple[int, Origin]
"""A stream's key and its origin."""


def compute_key(workspace: str, request_id: str) -> int:
    """Key of a stream: of the caller's attempt that began it, and of the caller's workspace."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (workspace.encode(), request_id.encode("latin-1", "replace")):
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    return int.from_bytes(digest.digest())


class OriginTable:
    """Origins by key, each kept until it expires.

    Parameters
    ----------
    now : callable
        Time of the event loop.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._origins: dict[int, Origin] = {}
        self._expiries: list[tuple[float, int]] = []
        """Heap of expiry times and keys; a key whose origin was replaced has several."""

    def __len__(self) -> int:
        return len(self._origins)

    def add(self, key: int, origin: Origin) -> bool:
        """Add an origin, unless one of a later attempt is known; drops what has expired.

        Returns whether it tells more than what was known.
        """
        now = self._now()
        known = self._origins.get(key)
        is_new = self._is_new(origin, known)
        if origin.expires_at > now and (known is None or origin.attempt >= known.attempt):
            self._origins[key] = origin
            if known is None or origin.expires_at != known.expires_at:
                heapq.heappush(self._expiries, (origin.expires_at, key))
        while self._expiries and (self._expiries[0][0] <= now or len(self) > MAX_RECORDS):
            expires_at, key = heapq.heappop(self._expiries)
            expired = self._origins.get(key)
            if expired is not None and expired.expires_at <= expires_at:
                del self._origins[key]
        return is_new and key in self._origins

    def _is_new(self, origin: Origin, known: Origin | None) -> bool:
        if origin.expires_at <= self._now():
            return False
        if known is None or origin.attempt > known.attempt:
            return True
        is_other = not known.has_same_version(origin)
        is_extended = origin.expires_at > known.expires_at + EXTENSION_SECONDS
        return origin.attempt == known.attempt and (is_other or is_extended)

    def find(self, key: int) -> Origin | None:
        """The origin of a stream; None if it is unknown or has expired."""
        origin = self._origins.get(key)
        return origin if origin is not None and origin.expires_at > self._now() else None

    def list_all(self) -> list[Record]:
        """All origins that have not expired."""
        now = self._now()
        return [item for item in self._origins.items() if item[1].expires_at > now]


def encode_origins(
    records: Iterable[Record], now: float | None = None
) -> list[messages.StreamOrigins]:
    """Encode records as messages of bounded size; `now` is needed outside of the event loop."""
    rows = list(records)
    at = asyncio.get_running_loop().time() if now is None else now
    return [
        _encode(rows[start : start + MAX_RECORDS_PER_MESSAGE], at)
        for start in range(0, len(rows), MAX_RECORDS_PER_MESSAGE)
    ]


def _encode(rows: list[Record], now: float) -> messages.StreamOrigins:
    groups: dict[tuple[str, str], int] = {}
    for _, origin in rows:
        groups.setdefault((origin.pool, origin.software_version), len(groups))
    return messages.StreamOrigins(
        [pool for pool, _ in groups],
        [version for _, version in groups],
        [groups[origin.pool, origin.software_version] for _, origin in rows],
        [key for key, _ in rows],
        [min(origin.attempt, MAX_ATTEMPTS) for _, origin in rows],
        [encode_retention(origin, now) for _, origin in rows],
    )


def encode_retention(origin: Origin, now: float) -> int:
    """Milliseconds for which an origin is still kept."""
    return int(max(0.0, min(origin.expires_at - now, MAX_RETENTION_SECONDS)) * 1000)


def decode_origins(message: messages.StreamOrigins) -> list[Record]:
    """Decode the records of a message; skips rows of a group that it does not have.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if its columns differ in length.
    """
    columns = message.groups, message.keys, message.attempts, message.left_ms
    codec.check_columns("origins of streams", *columns)
    codec.check_columns("groups of origins", message.pools, message.software_versions)
    now = asyncio.get_running_loop().time()
    groups = list(zip(message.pools, message.software_versions, strict=True))
    return [
        (key, build_origin(*groups[group], attempt, left_ms, now))
        for group, key, attempt, left_ms in zip(*columns, strict=True)
        if group < len(groups)
    ]


def build_origin(pool: str, version: str, attempt: int, left_ms: int, now: float) -> Origin:
    """An origin from a message, with bounded retention."""
    return Origin(pool, version, attempt, now + min(left_ms / 1000, MAX_RETENTION_SECONDS))
