"""Limits that targets name in their responses, as one daemon knows them.

An overloaded target names how many requests a second it accepts from all entries together.  Each
record has a version, which increases with every change at that target, so daemons that receive
records in any order, by any route and more than once converge to the same table.  Times of
responses would not do for that: each route to another daemon shifts them by its delay.
"""

import asyncio
import dataclasses
import math
from collections.abc import Iterable

from tillerlane.peers import codec, messages

__all__ = ["LIFT_DELAY_SECONDS", "LimitRecord", "Limits", "decode_records", "encode_records"]

LIFT_DELAY_SECONDS = 1.0
"""How long a target's responses must name no limit until it counts as lifted: responses overtake
each other, and a target may omit it from some of them."""
RETENTION_SECONDS = 60.0
"""How long the record of an unknown target is kept."""
MAX_ID_CHARACTERS = 200
"""Bound on the length of a target's id."""
MAX_RECORDS = 20_000
"""Bound on memory, as on targets."""
MAX_AGE_MS = 2**31
"""Maximum age that is sent; higher ages make no difference."""
_STILL_NAMED = -1
"""Age sent for a target whose latest response named its limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRecord:
    """What is known of a target's limit; times are of the event loop.

    Attributes
    ----------
    limit : float
        Requests a second that it accepts from all entries together, as last named.
    version : int
        The record replaces those of lower versions.
    named_at : float
        Time of the response that named the limit, the last time that this was a change.
    unnamed_since : float or None
        Time of the first response after that which named none; None without one.
    """

    target_id: str
    limit: float
    version: int
    named_at: float
    unnamed_since: float | None = None

    def is_in_force(self, now: float) -> bool:
        """Whether the limit still holds."""
        return self.unnamed_since is None or now - self.unnamed_since < LIFT_DELAY_SECONDS

    def replaces(self, other: "LimitRecord") -> bool:
        """Whether it is the later record; of two concurrent ones, the one that allows less."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, bool, float]:
        return self.version, self.unnamed_since is None, -self.limit

    def build_next(self, limit: float | None, now: float) -> "LimitRecord | None":
        """The record after one more response of the target; None if nothing changes."""
        if limit is None:
            if self.unnamed_since is not None:
                return None
            return dataclasses.replace(self, version=self.version + 1, unnamed_since=now)
        if limit == self.limit and self.unnamed_since is None:
            return None
        return LimitRecord(self.target_id, limit, self.version + 1, now)


class Limits:
    """The table of one daemon."""

    def __init__(self) -> None:
        self._records: dict[str, LimitRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def count_in_force(self, now: float) -> int:
        """Number of targets whose limits hold."""
        return sum(record.is_in_force(now) for record in self._records.values())

    def find(self, target_id: str, now: float) -> float | None:
        """A target's limit in requests a second; None without one in force."""
        record = self._records.get(target_id)
        return record.limit if record is not None and record.is_in_force(now) else None

    def get_record(self, target_id: str) -> LimitRecord | None:
        """The record of a target; None if it never named a limit."""
        return self._records.get(target_id)

    def record_response(
        self, target_id: str, limit: float | None, now: float
    ) -> LimitRecord | None:
        """Record a target's response; returns the record to send to others, None if unchanged."""
        known = self._records.get(target_id)
        if known is not None:
            record = known.build_next(limit, now)
        else:
            record = None if limit is None else LimitRecord(target_id, limit, 1, now)
        return record if record is not None and self._merge(record) else None

    def merge(self, records: Iterable[LimitRecord]) -> list[LimitRecord]:
        """Merge received records; returns those that changed the table."""
        return [record for record in records if self._merge(record)]

    def _merge(self, record: LimitRecord) -> bool:
        known = self._records.get(record.target_id)
        if known is None and len(self._records) >= MAX_RECORDS:
            return False
        if known is not None and not record.replaces(known):
            return False
        self._records[record.target_id] = record
        return True

    def list_all(self) -> list[LimitRecord]:
        """All records."""
        return list(self._records.values())

    def discard(self, target_id: str) -> None:
        """Discard the record of a target that has ended."""
        self._records.pop(target_id, None)

    def expire_unknown(self, known: Iterable[str], now: float) -> None:
        """Discard old records of targets that are not among the known ones."""
        if not self._records:
            return
        kept = frozenset(known)
        for record in self.list_all():
            if record.target_id not in kept and now - record.named_at > RETENTION_SECONDS:
                self.discard(record.target_id)


def encode_records(records: Iterable[LimitRecord]) -> messages.TargetLimits:
    """Encode records as a message; ages are relative to the time of encoding."""
    now = asyncio.get_running_loop().time()
    rows = list(records)

    def compute_age_ms(at: float) -> int:
        return min(max(0, round((now - at) * 1000)), MAX_AGE_MS)

    table = messages.LimitTable(
        [record.target_id for record in rows],
        [record.limit for record in rows],
        [record.version for record in rows],
        [compute_age_ms(record.named_at) for record in rows],
        [
            _STILL_NAMED if record.unnamed_since is None else compute_age_ms(record.unnamed_since)
            for record in rows
        ],
    )
    return messages.TargetLimits(codec.encode_table(table))


def decode_records(message: messages.TargetLimits) -> list[LimitRecord]:
    """Decode records from a message; skips rows with an invalid target id or limit.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it can't be decoded.
    """
    now = asyncio.get_running_loop().time()
    table = codec.decode_table(message.table, messages.LimitTable)
    rows = zip(
        table.target_ids,
        table.limits,
        table.versions,
        table.named_ms,
        table.unnamed_ms,
        strict=True,
    )
    return [
        LimitRecord(
            target_id,
            limit,
            version,
            now - named_ms / 1000,
            None if unnamed_ms == _STILL_NAMED else now - unnamed_ms / 1000,
        )
        for target_id, limit, version, named_ms, unnamed_ms in rows
        if 0 < len(target_id) <= MAX_ID_CHARACTERS and math.isfinite(limit) and limit >= 0
    ]
