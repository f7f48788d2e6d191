"""Refused requests as one entry knows them: its own, and those of other entries."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

from tillerlane.decisions import returns as decisions
from tillerlane.peers import codec, messages

__all__ = ["RefusedCaller", "ReturnTable", "decode_returns", "encode_returns"]

MAX_CALLERS = 256
"""Bound on memory and messages, some 40 kB.  On loaded days up to 117 requests were refused within
100 s by all entries together."""
RETENTION_SECONDS = 30.0
"""How long a refused request is kept after its refusal: callers retry within a third of their
time, and those with more time left than this are not urgent."""
MAX_ID_CHARACTERS = 64
MAX_SECONDS = 600.0
"""Maximum age and delay that are taken from a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedCaller:
    """A refused request; times are of the event loop.

    Attributes
    ----------
    fingerprint : str
        Equal for all attempts of the request (`gateway.quarantine.fingerprints`).
    first_arrived : float
        Arrival of its first attempt.
    turn : float
        When it may return.
    """

    fingerprint: str
    first_arrived: float
    turn: float


class ReturnTable:
    """Refused requests by fingerprint.

    Parameters
    ----------
    now : callable
        Time of the event loop.

    Attributes
    ----------
    notify : callable
        Sends refused requests to a keeper.
    record_event : callable
        Writes a log line, with the event's name and fields.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._callers: collections.OrderedDict[str, tuple[RefusedCaller, float]] = (
            collections.OrderedDict()
        )
        """Each with the time when it became known here, oldest first."""
        self.notify: Callable[[list[RefusedCaller]], None] = lambda refused: None
        self.record_event: Callable[..., None] = lambda name, **fields: None

    def __len__(self) -> int:
        return len(self._callers)

    def find_first_arrival(self, fingerprint: str) -> float | None:
        """When the first attempt of a request arrived that returns now, in its turn.

        None for a request that has not been refused, or returns early.  It is used up by this: of
        several equal requests only the first one goes before others.
        """
        known = self._callers.get(fingerprint)
        if known is None:
            return None
        caller, now = known[0], self._now()
        is_kept = now - known[1] <= RETENTION_SECONDS
        is_in_turn = is_kept and decisions.is_in_turn(now, caller.turn)
        if is_in_turn or not is_kept:
            del self._callers[fingerprint]
        self.record_event(
            "caller.return",
            fingerprint=fingerprint,
            first_ms=int((now - caller.first_arrived) * 1000),
            late_ms=int((now - caller.turn) * 1000),
            is_in_turn=is_in_turn,
        )
        return caller.first_arrived if is_in_turn else None

    def record_refusal(
        self,
        fingerprint: str,
        first_arrived: float,
        tokens: int,
        tokens_per_second: float,
        remaining_seconds: float,
    ) -> float:
        """Give a refused request its turn to return, tell the other entries, and return the delay.

        See `tillerlane.decisions.returns.schedule`.
        """
        now = self._now()
        outstanding = sum(caller.turn > now for caller, _ in self._callers.values())
        turn = decisions.schedule(outstanding, now, tokens, tokens_per_second, remaining_seconds)
        caller = RefusedCaller(fingerprint, first_arrived, turn)
        self._add(caller, now)
        self.notify([caller])
        return turn - now

    def merge(self, received: Iterable[RefusedCaller]) -> None:
        """Merge refused requests that other entries report."""
        now = self._now()
        for caller in received:
            self._add(caller, now)

    def _add(self, caller: RefusedCaller, now: float) -> None:
        known = self._callers.pop(caller.fingerprint, None)
        if known is not None:
            first_arrived = min(known[0].first_arrived, caller.first_arrived)
            caller = dataclasses.replace(caller, first_arrived=first_arrived)
        self._callers[caller.fingerprint] = caller, now
        while len(self._callers) > MAX_CALLERS or self._is_oldest_expired(now):
            self._callers.popitem(last=False)

    def _is_oldest_expired(self, now: float) -> bool:
        _, known_at = next(iter(self._callers.values()))
        return now - known_at > RETENTION_SECONDS


def encode_returns(refused: Iterable[RefusedCaller]) -> messages.CallerReturns:
    """Encode refused requests as a message."""
    now = asyncio.get_running_loop().time()
    rows = list(refused)
    return messages.CallerReturns(
        [item.fingerprint for item in rows],
        [_to_milliseconds(now - item.first_arrived) for item in rows],
        [_to_milliseconds(item.turn - now) for item in rows],
    )


def decode_returns(message: messages.CallerReturns) -> list[RefusedCaller]:
    """Decode refused requests from a message; skips rows with empty or overlong fingerprints.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if its columns differ in length.
    """
    columns = message.fingerprints, message.first_ms, message.left_ms
    codec.check_columns("refused callers", *columns)
    now = asyncio.get_running_loop().time()
    return [
        RefusedCaller(
            fingerprint,
            now - min(first_ms / 1000, MAX_SECONDS),
            now + min(left_ms / 1000, MAX_SECONDS),
        )
        for fingerprint, first_ms, left_ms in zip(*columns, strict=True)
        if 0 < len(fingerprint) <= MAX_ID_CHARACTERS
    ]


def _to_milliseconds(seconds: float) -> int:
    return round(min(max(0.0, seconds), MAX_SECONDS) * 1000)
