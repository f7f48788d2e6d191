"""Limits that targets name in their answers, as one daemon knows them.

A target in need says how many requests a second it takes from all entries together.  Each row holds
when it last said so and since when its answers have said nothing, so daemons that hear of rows in
any order, over any way and more than once come to the same table.
"""

import asyncio
import dataclasses
import math
from collections.abc import Iterable

from tillerlane.peers import codec, messages

__all__ = ["LIFT_SECONDS", "Limits", "Word", "read_words", "write_words"]

LIFT_SECONDS = 1.0
"""How long a target's answers must name no limit until it counts as lifted: answers overtake each
other, and a target may leave it off some of them."""
REFRESH_SECONDS = 0.5
"""How much later a naming must be to be news where its value has not changed."""
FORGET_SECONDS = 60.0
"""How long the word of a target that is not known is kept."""
MAX_LETTERS = 200
"""Bound on a target's id, in letters; the longest met has 25."""
MAX_WORDS = 20_000
"""Bound on memory, as on targets."""
MAX_AGE_MS = 2**31
_NOT_BARE = -1
"""Age told of a target whose latest answer named its limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Word:
    """What is known of a target's limit; times are of the event loop.

    Attributes
    ----------
    limit : float
        Requests a second that it takes from all entries together, as it named it last.
    named_at : float
        When an answer that named it came last.
    bare_since : float or None
        When an answer that named none came first after that; None if none did.
    """

    target_id: str
    limit: float
    named_at: float
    bare_since: float | None = None

    def is_in_force(self, now: float) -> bool:
        """Whether the limit still holds."""
        return self.bare_since is None or now - self.bare_since < LIFT_SECONDS

    def merge(self, other: "Word") -> "Word":
        """What both say together: the later naming, and the first bare answer behind it."""
        latest = other if other.named_at > self.named_at else self
        bare = [
            word.bare_since
            for word in (self, other)
            if word.bare_since is not None and word.bare_since > latest.named_at
        ]
        return dataclasses.replace(latest, bare_since=min(bare, default=None))

    def is_news_after(self, former: "Word") -> bool:
        """Whether others who know a former word have to hear of this one."""
        is_changed = self.limit != former.limit
        is_turned = (self.bare_since is None) != (former.bare_since is None)
        return is_changed or is_turned or self.named_at - former.named_at > REFRESH_SECONDS


class Limits:
    """The table of one daemon."""

    def __init__(self) -> None:
        self._words: dict[str, Word] = {}
        self._shared: dict[str, Word] = {}
        """What other daemons know, as far as it came by here."""

    def __len__(self) -> int:
        return len(self._words)

    def count_in_force(self, now: float) -> int:
        """Targets whose limits hold."""
        return sum(word.is_in_force(now) for word in self._words.values())

    def find(self, target_id: str, now: float) -> float | None:
        """A target's limit in requests a second; None without one in force."""
        word = self._words.get(target_id)
        return word.limit if word is not None and word.is_in_force(now) else None

    def get_word(self, target_id: str) -> Word | None:
        """All that is known of a target's limit; None if it never named one."""
        return self._words.get(target_id)

    def note_answer(self, target_id: str, limit: float | None, now: float) -> Word | None:
        """Take note of a target's answer; the word to tell others, None if that is no news."""
        known = self._words.get(target_id)
        if limit is not None:
            return self._put(Word(target_id, limit, now))
        if known is None:
            return None
        return self._put(known.merge(dataclasses.replace(known, bare_since=now)))

    def take(self, words: Iterable[Word]) -> list[Word]:
        """Merge what is heard; gives what was news."""
        return [news for news in map(self._take, words) if news is not None]

    def _take(self, word: Word) -> Word | None:
        known = self._words.get(word.target_id)
        return self._put(word.merge(known) if known is not None else word)

    def _put(self, word: Word) -> Word | None:
        if word.target_id not in self._words and len(self._words) >= MAX_WORDS:
            return None
        self._words[word.target_id] = word
        shared = self._shared.get(word.target_id)
        if shared is not None and not word.is_news_after(shared):
            return None
        self._shared[word.target_id] = word
        return word

    def list_all(self) -> list[Word]:
        """All that is known."""
        return list(self._words.values())

    def forget(self, target_id: str) -> None:
        """Drop the word of a target that has ended."""
        self._words.pop(target_id, None)
        self._shared.pop(target_id, None)

    def forget_unknown(self, known: Iterable[str], now: float) -> None:
        """Drop old words of targets that are not among the known ones."""
        if not self._words:
            return
        kept = frozenset(known)
        for word in self.list_all():
            if word.target_id not in kept and now - word.named_at > FORGET_SECONDS:
                self.forget(word.target_id)


def write_words(words: Iterable[Word]) -> messages.TargetLimits:
    """Words as a message; ages are those of the moment of writing."""
    now = asyncio.get_running_loop().time()
    rows = list(words)

    def read_age(at: float) -> int:
        return min(max(0, round((now - at) * 1000)), MAX_AGE_MS)

    table = messages.LimitTable(
        [word.target_id for word in rows],
        [word.limit for word in rows],
        [read_age(word.named_at) for word in rows],
        [_NOT_BARE if word.bare_since is None else read_age(word.bare_since) for word in rows],
    )
    return messages.TargetLimits(codec.write_table(table))


def read_words(message: messages.TargetLimits) -> list[Word]:
    """Words from a message; rows that name no target, or no limit that can be, are passed over.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it can't be read.
    """
    now = asyncio.get_running_loop().time()
    table = codec.read_table(message.table, messages.LimitTable)
    rows = zip(table.target_ids, table.limits, table.named_ms, table.bare_ms, strict=True)
    return [
        Word(
            target_id,
            limit,
            now - named_ms / 1000,
            None if bare_ms == _NOT_BARE else now - bare_ms / 1000,
        )
        for target_id, limit, named_ms, bare_ms in rows
        if 0 < len(target_id) <= MAX_LETTERS and math.isfinite(limit) and limit >= 0
    ]
