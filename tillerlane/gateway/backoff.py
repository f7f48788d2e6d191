"""Back-off that targets ask one entry for, and how the entry comes back afterwards.

A target that turns a request away may say for how long it wants nothing more from that entry.  When
that time is over the entry sends one request as a probe, and others once the target has not turned
it away (a circuit breaker that is half open).  For a while it then has fewer requests under way
there than when it was turned away (multiplicative decrease, slow increase): many entries whose
back-off ends together would otherwise overload the target again, and again after that.

A target that turns one entry away is likely to do so with all.  So the others are told, and prefer
other targets meanwhile, though they may still send there.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from tillerlane.peers import messages

__all__ = ["PROBE_INTERVAL_SECONDS", "BackoffRecord", "Backoffs", "decode_hints", "encode_hints"]

MAX_BACKOFF_SECONDS = 600.0
"""Longest back-off that is obeyed, so that one wrong word does not take a target out for days."""
PROBE_INTERVAL_SECONDS = 0.1
"""Least pause between probes: a target turns a request away within milliseconds, while a good
answer may take long."""
DECREASE_FACTOR = 0.75
"""Part of the requests under way at which a target turned one away that it gets afterwards."""
GROWTH_PER_SECOND = 0.05
"""Increase of that number in a second, as a part of it."""
RAMP_SECONDS = 20.0
"""How long after a back-off the number is bounded."""
CONCURRENCY_CHECK_INTERVAL_SECONDS = 0.05
"""Time after which to look again for a place at a target that has as many as it gets."""
MAX_HINTS = 20_000
"""Bound on memory, as on targets."""


@dataclasses.dataclass(slots=True)
class BackoffRecord:
    """A target's latest back-off; times are of the event loop.

    Attributes
    ----------
    requested_at, until : float
        When an answer asked for it last, and its end.
    request_id : str
        Whose answer set the end.
    max_concurrent : float
        This entry's requests that may be under way there when it is over.
    probed_at : float
        When a request went out after the end; 0 before.
    """

    target_id: str
    requested_at: float
    until: float
    request_id: str
    max_concurrent: float
    probed_at: float = 0.0
    has_ended: bool = False
    """Whether the target has taken a request since."""


class Backoffs:
    """The back-off of all targets at one entry.

    Parameters
    ----------
    now : callable
        Time of the event loop.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._words: dict[str, BackoffRecord] = {}
        self._hints: dict[str, float] = {}
        """Until when targets have asked other entries for back-off."""

    def merge_hints(self, hints: Iterable[tuple[str, float]]) -> None:
        """Take what keepers tell: targets, and until when they asked other entries for back-off."""
        now = self._now()
        for target_id, until in list(self._hints.items()):
            if until <= now:
                del self._hints[target_id]
        for target_id, until in hints:
            if len(self._hints) < MAX_HINTS:
                self._hints[target_id] = max(until, self._hints.get(target_id, 0.0))

    def is_hinted(self, target_id: str) -> bool:
        """Whether a target turns other entries away, so that other targets come first."""
        return bool(self._hints) and self._hints.get(target_id, 0.0) > self._now()

    def record(
        self, target_id: str, seconds: float, request_id: str, sustained: float = 0.0
    ) -> BackoffRecord | None:
        """Take note that a target asks for back-off; gives the word if that moves its end.

        `sustained` is how many of this entry's requests the target bears at least: those that it
        has under way, or its even share of the target's slots.
        """
        now = self._now()
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        known = self._words.get(target_id)
        if until <= now or (known is not None and until <= known.until):
            return None
        word = BackoffRecord(
            target_id, now, until, request_id, max(1.0, DECREASE_FACTOR * sustained)
        )
        self._words[target_id] = word
        return word

    def record_send(self, target_id: str) -> None:
        """Count a request that goes out to a target now."""
        word = self._words.get(target_id)
        if word is not None and word.until <= self._now():
            word.probed_at = self._now()

    def record_accepted(self, target_id: str, sent_at: float) -> BackoffRecord | None:
        """Take note that a target did not turn a request away; gives the word that this ends."""
        word = self._words.get(target_id)
        if word is None or sent_at < word.until or word.has_ended:
            return None
        word.has_ended = True
        self._hints.pop(target_id, None)
        return word

    def find_end(self, target_id: str, under_way: int) -> float | None:
        """Until when a target gets nothing from this entry; None if it may get a request now.

        `under_way` are this entry's requests there.
        """
        if not self._words:
            return None
        word = self._words.get(target_id)
        if word is None:
            return None
        now = self._now()
        until = (
            word.until
            if word.has_ended
            else max(word.until, word.probed_at + PROBE_INTERVAL_SECONDS)
        )
        if until > now:
            return until
        seconds = now - word.until
        if seconds > RAMP_SECONDS:
            del self._words[target_id]
            return None
        return (
            now + CONCURRENCY_CHECK_INTERVAL_SECONDS
            if under_way >= word.max_concurrent * (1 + GROWTH_PER_SECOND * seconds)
            else None
        )

    def discard(self, target_id: str) -> None:
        """Drop the word of a target that has ended."""
        self._words.pop(target_id, None)
        self._hints.pop(target_id, None)

    def count_in_force(self) -> int:
        """Targets that are in back-off."""
        now = self._now()
        return sum(word.until > now for word in self._words.values())

    def list_all(self) -> list[BackoffRecord]:
        """Words of all targets that are in back-off, or were lately."""
        return list(self._words.values())


def encode_hints(words: Iterable[tuple[str, float]]) -> messages.TargetBackoffs:
    """Targets, and until when they asked for back-off, as a message."""
    now = asyncio.get_running_loop().time()
    rows = [(target_id, max(0, round((until - now) * 1000))) for target_id, until in words]
    return messages.TargetBackoffs([row[0] for row in rows], [row[1] for row in rows])


def decode_hints(message: messages.TargetBackoffs) -> list[tuple[str, float]]:
    """Targets, and until when they asked for back-off, from a message."""
    now = asyncio.get_running_loop().time()
    return [
        (target_id, now + min(left_ms / 1000, MAX_BACKOFF_SECONDS))
        for target_id, left_ms in zip(message.target_ids, message.left_ms, strict=False)
    ]
