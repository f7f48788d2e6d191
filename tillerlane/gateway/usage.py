"""What is under way at each target: this entry's own sends, and what other entries tell."""

import collections
import dataclasses
import math

from tillerlane.peers import messages

__all__ = ["Usage", "Use"]

OTHERS_SECONDS = 3.0
"""How long another entry's word counts; it tells at least once a second while it has any use."""
RATE_SECONDS = 5.0
"""Time over which this entry's own rate of prompts is smoothed: five prompts of a thin entry."""
WORD_SECONDS = 0.2
"""Age of other entries' word: the pause between two words (0.15 s) and two hops."""


@dataclasses.dataclass(slots=True)
class Use:
    """What is under way at a target.

    Attributes
    ----------
    requests : int
        Requests that it has.
    tokens : int
        Memory that they, and copies of others' runs, take.
    unread : int
        Prompt tokens of requests that have not written anything yet.
    unsaved : int
        Memory of runs that has no copy elsewhere.
    """

    requests: int = 0
    tokens: int = 0
    unread: int = 0
    unsaved: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left of it."""
        return max(self.requests, self.tokens, self.unread, self.unsaved) <= 0


@dataclasses.dataclass(slots=True)
class _Told:
    sequence: int
    heard_at: float
    uses: dict[str, Use]


class Usage:
    """Load by target address.

    Parameters
    ----------
    entry : str
        This entry's id.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._own: dict[str, Use] = collections.defaultdict(Use)
        self._others: dict[str, _Told] = {}
        self._sequence = 0
        self.changed = False
        self._rate = 0.0
        self._rate_at = 0.0

    def add(
        self,
        address: str,
        *,
        requests: int = 0,
        tokens: int = 0,
        unread: int = 0,
        unsaved: int = 0,
    ) -> None:
        """Count something in at a target; negative numbers count it out."""
        use = self._own[address]
        use.requests += requests
        use.tokens += tokens
        use.unread += unread
        use.unsaved += unsaved
        if use.is_empty:
            del self._own[address]
        self.changed = True

    def read_own(self, address: str) -> Use:
        """What this entry has under way at a target."""
        return dataclasses.replace(self._own[address]) if address in self._own else Use()

    def read(self, address: str, now: float) -> Use:
        """All that is known to be under way at a target."""
        total = self.read_own(address)
        for told in self._others.values():
            use = told.uses.get(address)
            if use is not None and now - told.heard_at < OTHERS_SECONDS:
                total.requests += use.requests
                total.tokens += use.tokens
                total.unread += use.unread
                total.unsaved += use.unsaved
        return total

    def count_own(self) -> int:
        """This entry's requests under way."""
        return sum(use.requests for use in self._own.values())

    def note_prompt(self, now: float) -> None:
        """Count a prompt that this entry sends."""
        self._rate = self._read_rate(now) + 1 / RATE_SECONDS
        self._rate_at = now

    def _read_rate(self, now: float) -> float:
        """Prompts a second that this entry sent lately."""
        return self._rate * math.exp((self._rate_at - now) / RATE_SECONDS)

    def read_unheard(self, now: float) -> float:
        """Prompts that other entries have probably sent without this one having heard of it.

        Callers are spread over the entries, so that the others send as often as this one.
        """
        return self._read_rate(now) * len(self._others) * WORD_SECONDS

    def take(self, loads: messages.EntryLoads, now: float) -> None:
        """Take another entry's word."""
        known = self._others.get(loads.entry)
        if loads.entry == self._entry or (known and known.sequence >= loads.sequence):
            return
        uses = {
            item.address: Use(item.requests, item.tokens, item.unread, item.unsaved)
            for item in loads.uses
        }
        self._others[loads.entry] = _Told(loads.sequence, now, uses)
        for entry, told in list(self._others.items()):
            if now - told.heard_at > OTHERS_SECONDS:
                del self._others[entry]

    def write(self, started_ms: int) -> messages.EntryLoads:
        """This entry's word; sequences of a later start of the process are higher."""
        self.changed = False
        self._sequence += 1
        uses = [
            messages.TargetUse(
                address,
                max(0, use.requests),
                max(0, use.tokens),
                max(0, use.unread),
                max(0, use.unsaved),
            )
            for address, use in self._own.items()
        ]
        return messages.EntryLoads(self._entry, started_ms * 1_000_000 + self._sequence, uses)
