"""Back-off that targets request from one entry, and how the entry resumes sending afterwards.

A target that rejects a request may say for how long it wants no more requests from that entry.
After that time the entry sends one request as a probe, and others once the target has not rejected
it (a circuit breaker that is half open).  For a while it then has fewer requests under way there
than at the rejection (multiplicative decrease, slow increase): many entries whose back-off ends
together would otherwise overload the target again and again.

A target that rejects one entry is likely to reject all.  So the others are informed and prefer
other targets meanwhile, though they may still send there.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from tillerlane.peers import codec, messages

__all__ = ["PROBE_INTERVAL_SECONDS", "BackoffRecord", "Backoffs", "decode_hints", "encode_hints"]

MAX_BACKOFF_SECONDS = 600.0
"""Maximum back-off that is obeyed, so that one wrong value does not take a target out for days."""
PROBE_INTERVAL_SECONDS = 0.1
"""Minimum time between probes: a target rejects a request within milliseconds, while a good
response may take long."""
DECREASE_FACTOR = 0.75
"""Requests that a target gets after a back-off, as a part of those under way at the rejection."""
GROWTH_PER_SECOND = 0.05
"""Increase of that number in a second, as a part of it."""
RAMP_SECONDS = 20.0
"""How long after a back-off the number is bounded."""
CONCURRENCY_CHECK_INTERVAL_SECONDS = 0.05
"""Time after which to check again whether a target at its bound takes another request."""
MAX_HINTS = 20_000
"""Bound on memory, as on targets."""


@dataclasses.dataclass(slots=True)
class BackoffRecord:
    """A target's latest back-off; times are of the event loop.

    Attributes
    ----------
    requested_at, until : float
        Time of the response that requested it last, and its end.
    request_id : str
        The request whose response set the end.
    max_concurrent : float
        Maximum number of this entry's requests under way there right after the end.
    probed_at : float
        Time of the latest request sent after the end; 0 before.
    """

    target_id: str
    requested_at: float
    until: float
    request_id: str
    max_concurrent: float
    probed_at: float = 0.0
    has_ended: bool = False
    """Whether the target has accepted a request since."""


class Backoffs:
    """The back-off of all targets at one entry.

    Parameters
    ----------
    now : callable
        Time of the event loop.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._records: dict[str, BackoffRecord] = {}
        self._hints: dict[str, float] = {}
        """End of the back-off that targets requested from other entries."""

    def merge_hints(self, hints: Iterable[tuple[str, float]]) -> None:
        """Merge hints from keepers: targets, and the end of the back-off of other entries."""
        now = self._now()
        for target_id, until in list(self._hints.items()):
            if until <= now:
                del self._hints[target_id]
        for target_id, until in hints:
            if len(self._hints) < MAX_HINTS:
                self._hints[target_id] = max(until, self._hints.get(target_id, 0.0))

    def is_hinted(self, target_id: str) -> bool:
        """Whether a target rejects other entries, so that other targets are preferred."""
        return bool(self._hints) and self._hints.get(target_id, 0.0) > self._now()

    def record(
        self, target_id: str, seconds: float, request_id: str, sustained: float = 0.0
    ) -> BackoffRecord | None:
        """Record a target's request for back-off; returns the record if its end has moved.

        `sustained` is the number of this entry's requests that the target sustains at least: those
        under way there, or the entry's even share of the target's slots.
        """
        now = self._now()
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        known = self._records.get(target_id)
        if until <= now or (known is not None and until <= known.until):
            return None
        latest = BackoffRecord(
            target_id, now, until, request_id, max(1.0, DECREASE_FACTOR * sustained)
        )
        self._records[target_id] = latest
        return latest

    def record_send(self, target_id: str) -> None:
        """Record a request that is sent to a target now."""
        record = self._records.get(target_id)
        if record is not None and record.until <= self._now():
            record.probed_at = self._now()

    def record_accepted(self, target_id: str, sent_at: float) -> BackoffRecord | None:
        """Record that a target did not reject a request; returns the record that this ends."""
        record = self._records.get(target_id)
        if record is None or sent_at < record.until or record.has_ended:
            return None
        record.has_ended = True
        self._hints.pop(target_id, None)
        return record

    def find_end(self, target_id: str, under_way: int) -> float | None:
        """Time until which this entry must not send to a target; None if it may send now.

        `under_way` is the number of this entry's requests there.
        """
        if not self._records:
            return None
        record = self._records.get(target_id)
        if record is None:
            return None
        now = self._now()
        until = (
            record.until
            if record.has_ended
            else max(record.until, record.probed_at + PROBE_INTERVAL_SECONDS)
        )
        if until > now:
            return until
        seconds = now - record.until
        if seconds > RAMP_SECONDS:
            del self._records[target_id]
            return None
        return (
            now + CONCURRENCY_CHECK_INTERVAL_SECONDS
            if under_way >= record.max_concurrent * (1 + GROWTH_PER_SECOND * seconds)
            else None
        )

    def discard(self, target_id: str) -> None:
        """Discard the record of a target that has ended."""
        self._records.pop(target_id, None)
        self._hints.pop(target_id, None)

    def count_in_force(self) -> int:
        """Number of targets that are in back-off."""
        now = self._now()
        return sum(record.until > now for record in self._records.values())

    def list_all(self) -> list[BackoffRecord]:
        """Records of all targets that are in back-off, or were recently."""
        return list(self._records.values())


def encode_hints(hints: Iterable[tuple[str, float]]) -> messages.TargetBackoffs:
    """Encode targets, and the end of the back-off that they requested, as a message."""
    now = asyncio.get_running_loop().time()
    rows = [(target_id, max(0, round((until - now) * 1000))) for target_id, until in hints]
    return messages.TargetBackoffs([row[0] for row in rows], [row[1] for row in rows])


def decode_hints(message: messages.TargetBackoffs) -> list[tuple[str, float]]:
    """Decode targets, and the end of the back-off that they requested, from a message.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if its columns differ in length.
    """
    codec.check_columns("target back-offs", message.target_ids, message.left_ms)
    now = asyncio.get_running_loop().time()
    return [
        (target_id, now + min(left_ms / 1000, MAX_BACKOFF_SECONDS))
        for target_id, left_ms in zip(message.target_ids, message.left_ms, strict=True)
    ]
