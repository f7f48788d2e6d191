"""One entry's observations of targets' speeds, which its load reports carry to the fleet."""

import dataclasses
import math
from collections.abc import Iterator

__all__ = ["OBSERVATION_SECONDS", "Observations"]

OBSERVATION_SECONDS = 20.0
"""Time over which a runner's speeds are smoothed: one run writes for some 8 s, and the figure
combines all entries' runs there."""


@dataclasses.dataclass(slots=True)
class _Sums:
    """Events and prefilled tokens of a target and the seconds they took, decayed until `at`."""

    at: float
    events: float = 0.0
    event_seconds: float = 0.0
    read_tokens: float = 0.0
    read_seconds: float = 0.0

    def decay(self, now: float) -> None:
        kept = math.exp((self.at - now) / OBSERVATION_SECONDS)
        self.at = now
        self.events *= kept
        self.event_seconds *= kept
        self.read_tokens *= kept
        self.read_seconds *= kept


class Observations:
    """Decayed sums by target address."""

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}

    def record_events(self, address: str, events: int, seconds: float, now: float) -> None:
        """Count events of a target's stream that arrived after a wait."""
        sums = self._advance(address, now)
        sums.events += events
        sums.event_seconds += seconds

    def record_prefill(self, address: str, tokens: int, seconds: float, now: float) -> None:
        """Count prompt tokens that were prefilled, those queued ahead included."""
        sums = self._advance(address, now)
        sums.read_tokens += tokens
        sums.read_seconds += seconds

    def _advance(self, address: str, now: float) -> _Sums:
        sums = self._sums.get(address)
        if sums is None:
            sums = self._sums[address] = _Sums(now)
        else:
            sums.decay(now)
        return sums

    def discard(self, address: str) -> bool:
        """Discard what was observed of a target; whether there was anything."""
        return self._sums.pop(address, None) is not None

    def collect(self, now: float) -> Iterator[tuple[str, int, int, int, int]]:
        """Yield (address, events, their ms, prefilled tokens, their ms) of each target.

        Targets of which less than one event or token is left are dropped.
        """
        for address, sums in list(self._sums.items()):
            sums.decay(now)
            events, tokens = round(sums.events), round(sums.read_tokens)
            if events < 1 and tokens < 1:
                del self._sums[address]
                continue
            event_ms = round(sums.event_seconds * 1000)
            yield address, events, event_ms, tokens, round(sums.read_seconds * 1000)
