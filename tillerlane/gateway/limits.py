"""Limits that targets name in their answers, as one daemon knows them.

A target in need says how many requests a second it takes from all entries together.  Each word has
a version, which rises with whatever is news of that target, so daemons that hear of words in any
order, over any way and more than once come to the same table.  Times of answers would not do for
that: each way to another daemon moves them by the time that it takes.
"""

import asyncio
import dataclasses
import math
from collections.abc import Iterable

from tillerlane.peers import codec, messages

__all__ = ["LIFT_DELAY_SECONDS", "LimitRecord", "Limits", "decode_records", "encode_records"]

LIFT_DELAY_SECONDS = 1.0
"""How long a target's answers must name no limit until it counts as lifted: answers overtake each
other, and a target may leave it off some of them."""
RETENTION_SECONDS = 60.0
"""How long the word of a target that is not known is kept."""
MAX_ID_CHARACTERS = 200
"""Bound on a target's id, in letters."""
MAX_RECORDS = 20_000
"""Bound on memory, as on targets."""
MAX_AGE_MS = 2**31
"""Longest age that is told; an older word says no more."""
_STILL_NAMED = -1
"""Age told of a target whose latest answer named its limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRecord:
    """What is known of a target's limit; times are of the event loop.

    Attributes
    ----------
    limit : float
        Requests a second that it takes from all entries together, as it named it last.
    version : int
        The word replaces those of lower versions.
    named_at : float
        When an answer that named it came, the last time that this was news.
    unnamed_since : float or None
        When an answer that named none came first after that; None if none did.
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
        """Whether it is the later word; of two that arose at once, the one that allows less."""
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, bool, float]:
        return self.version, self.unnamed_since is None, -self.limit

    def build_next(self, limit: float | None, now: float) -> "LimitRecord | None":
        """The word after one more answer of the target; None if that is no news."""
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
        self._words: dict[str, LimitRecord] = {}

    def __len__(self) -> int:
        return len(self._words)

    def count_in_force(self, now: float) -> int:
        """Targets whose limits hold."""
        return sum(word.is_in_force(now) for word in self._words.values())

    def find(self, target_id: str, now: float) -> float | None:
        """A target's limit in requests a second; None without one in force."""
        word = self._words.get(target_id)
        return word.limit if word is not None and word.is_in_force(now) else None

    def get_record(self, target_id: str) -> LimitRecord | None:
        """All that is known of a target's limit; None if it never named one."""
        return self._words.get(target_id)

    def record_response(
        self, target_id: str, limit: float | None, now: float
    ) -> LimitRecord | None:
        """Take note of a target's answer; the word to tell others, None if that is no news."""
        known = self._words.get(target_id)
        if known is not None:
            word = known.build_next(limit, now)
        else:
            word = None if limit is None else LimitRecord(target_id, limit, 1, now)
        return word if word is not None and self._merge(word) else None

    def merge(self, words: Iterable[LimitRecord]) -> list[LimitRecord]:
        """Merge what is heard; gives what was news."""
        return [word for word in words if self._merge(word)]

    def _merge(self, word: LimitRecord) -> bool:
        known = self._words.get(word.target_id)
        if known is None and len(self._words) >= MAX_RECORDS:
            return False
        if known is not None and not word.replaces(known):
            return False
        self._words[word.target_id] = word
        return True

    def list_all(self) -> list[LimitRecord]:
        """All that is known."""
        return list(self._words.values())

    def discard(self, target_id: str) -> None:
        """Drop the word of a target that has ended."""
        self._words.pop(target_id, None)

    def expire_unknown(self, known: Iterable[str], now: float) -> None:
        """Drop old words of targets that are not among the known ones."""
        if not self._words:
            return
        kept = frozenset(known)
        for word in self.list_all():
            if word.target_id not in kept and now - word.named_at > RETENTION_SECONDS:
                self.discard(word.target_id)


def encode_records(words: Iterable[LimitRecord]) -> messages.TargetLimits:
    """Words as a message; ages are those of the moment of writing."""
    now = asyncio.get_running_loop().time()
    rows = list(words)

    def read_age(at: float) -> int:
        return min(max(0, round((now - at) * 1000)), MAX_AGE_MS)

    table = messages.LimitTable(
        [word.target_id for word in rows],
        [word.limit for word in rows],
        [word.version for word in rows],
        [read_age(word.named_at) for word in rows],
        [
            _STILL_NAMED if word.unnamed_since is None else read_age(word.unnamed_since)
            for word in rows
        ],
    )
    return messages.TargetLimits(codec.encode_table(table))


def decode_records(message: messages.TargetLimits) -> list[LimitRecord]:
    """Words from a message; rows that name no target, or no limit that can be, are passed over.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it can't be read.
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
