"""What is under way at each target: this entry's own sends, and what keepers tell of others'."""

import asyncio
import collections
import dataclasses
import enum
import math

from tillerlane.gateway import loads
from tillerlane.peers import messages

__all__ = ["DigestResult", "Usage"]

DIGEST_TTL_SECONDS = 3.0
"""How long a keeper's digest counts; it comes at least once a second."""
RATE_SECONDS = 5.0
"""Time over which this entry's own rate of requests is smoothed: a thin entry sends two prompts in
it."""
MIN_RATE_SECONDS = 1.0
"""Time over which a rate is taken at least, so that one request alone is one a second."""
INITIAL_REPORT_AGE_SECONDS = 0.2
"""Age of other entries' word until it was measured."""
REPORT_AGE_FACTOR = 2.0
"""Another entry's word takes as many times as long as the own one takes back to this entry: it
waits once more, for its keeper's batch to this entry's keeper."""
AGE_WEIGHT = 0.1
"""Weight of one more measurement of that time: smoothed over some ten sends of a prompt."""
EVENT_TIMES_SECONDS = 20.0
"""Time over which a runner's pace is smoothed: one run writes for some 8 s, and the pace is told
from all entries' runs there."""
MAX_SENT_REPORTS = 160
"""Own words kept to take them off the keepers' sums: three seconds of them, at the fastest pace."""

_NOTHING = loads.TargetLoad()


class DigestResult(enum.Enum):
    """What became of a digest."""

    APPLIED = "good"
    STALE = "old"
    GAP = "gap"
    """One before it is missing, so that all of it has to be asked for."""


@dataclasses.dataclass(slots=True)
class _Pace:
    """Events lately seen of a target, and the seconds that they took, as of a moment."""

    events: float
    seconds: float
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    """An own word: its sequence, what it said, when it was written, and whether in a hurry."""

    sequence: int
    uses: dict[str, loads.TargetLoad]
    at: float
    is_urgent: bool


@dataclasses.dataclass(slots=True)
class _Rate:
    """Requests a second that this entry sends to a pool, smoothed as of a moment."""

    began_at: float
    smoothed: float = 0.0
    at: float = 0.0

    def note(self, now: float) -> None:
        self.smoothed = self._decay(now) + 1 / RATE_SECONDS
        self.at = now

    def read(self, now: float) -> float:
        """The rate, over the time for which it has been counted where that is short.

        After a common start all callers come back at once, and entries that took their rate for
        low would all follow each other to the same runners.
        """
        counted = max(MIN_RATE_SECONDS, now - self.began_at)
        return self._decay(now) / (1 - math.exp(-counted / RATE_SECONDS))

    def _decay(self, now: float) -> float:
        return self.smoothed * math.exp((self.at - now) / RATE_SECONDS)


class Usage:
    """Load by target address.

    Parameters
    ----------
    entry : str
        This entry's id.

    Attributes
    ----------
    entries : int
        Entries of the fleet, this one included, as last heard; 0 until then.
    changed : bool
        Whether there is anything new to tell.
    urgent : asyncio.Event
        Set while what is new is large.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._own: dict[str, loads.TargetLoad] = collections.defaultdict(loads.TargetLoad)
        self._paces: dict[str, _Pace] = {}
        self._total: dict[str, loads.TargetLoad] = {}
        """What the keeper told, this entry's own word included."""
        self._included: dict[str, loads.TargetLoad] = {}
        """That own word."""
        self._others: dict[str, loads.TargetLoad] = {}
        """The total without it, but for the pace, which is that of all entries."""
        self._told: collections.deque[_Told] = collections.deque(maxlen=MAX_SENT_REPORTS)
        self._included_sequence = 0
        self._way_seconds = INITIAL_REPORT_AGE_SECONDS / REPORT_AGE_FACTOR
        """Time from an urgent own word to the digest that has it."""
        self._keeper = ""
        self._digest_sequence = 0
        self._heard_at: float | None = None
        self._sequence = 0
        self.entries = 0
        self.changed = False
        self.urgent = asyncio.Event()
        self._rates: dict[str, _Rate] = {}

    # This entry's own

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
        if max(abs(tokens), abs(unread)) >= loads.URGENT_CHANGE_TOKENS:
            self.urgent.set()

    def discard_event_times(self, address: str) -> None:
        """Forget how fast a target wrote that has started again."""
        self._paces.pop(address, None)

    def record_events(self, address: str, events: int, seconds: float, now: float) -> None:
        """Count events of a stream that came from a target after a wait."""
        pace = self._paces.get(address)
        if pace is None:
            self._paces[address] = _Pace(events, seconds, now)
            return
        kept = math.exp((pace.at - now) / EVENT_TIMES_SECONDS)
        pace.events = pace.events * kept + events
        pace.seconds = pace.seconds * kept + seconds
        pace.at = now

    def get_own(self, address: str) -> loads.TargetLoad:
        """What this entry has under way at a target."""
        return dataclasses.replace(self._own.get(address, _NOTHING))

    def count_own_at(self, address: str) -> int:
        """This entry's requests under way at a target."""
        own = self._own.get(address)
        return own.requests if own is not None else 0

    def count_own(self) -> int:
        """This entry's requests under way."""
        return sum(use.requests for use in self._own.values())

    def record_request(self, pool: str, now: float) -> None:
        """Count a request that this entry sends to a pool."""
        self._rates.setdefault(pool, _Rate(now)).note(now)

    def estimate_unreported(self, pool: str, now: float) -> float:
        """Requests that other entries have probably sent to a pool unheard of by this one.

        Callers are spread over the entries, so that the others send as often as this one.
        """
        rate = self._rates.get(pool)
        others = max(0, self.entries - 1)
        return rate.read(now) * others * self.get_report_age() if rate is not None else 0.0

    def get_report_age(self) -> float:
        """Age of other entries' word when it comes here, as far as it was seen."""
        return self._way_seconds * REPORT_AGE_FACTOR

    # All entries'

    def get(self, address: str) -> loads.TargetLoad:
        """All that is known to be under way at a target; not to be changed.

        It takes the same time however many entries there are, and makes nothing anew where this
        entry has nothing under way: choices ask for each target of a pool.
        """
        own = self._own.get(address)
        others = self._others.get(address, _NOTHING)
        if own is None:
            return others
        total = dataclasses.replace(others)
        total.add(own)
        return total

    def handle_digest(self, digest: messages.LoadDigest, now: float) -> DigestResult:
        """Take a keeper's digest.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if it can't be read.
        """
        is_same = digest.keeper == self._keeper
        if is_same and digest.sequence < self._digest_sequence + (not digest.whole):
            return DigestResult.STALE
        if not digest.whole and not (is_same and digest.sequence == self._digest_sequence + 1):
            return DigestResult.GAP
        uses = loads.decode_loads(digest.table)
        if digest.whole:
            self._total = {}
        for address, use in uses.items():
            if use.is_empty:
                self._total.pop(address, None)
            else:
                self._total[address] = use
        self._keeper, self._digest_sequence = digest.keeper, digest.sequence
        self._heard_at = now
        former = self._included
        self._included = self._find_own_word(digest.included, now)
        if digest.whole:
            self._others = {}
        for address in {*uses, *former, *self._included}:
            self._note_others(address)
        return DigestResult.APPLIED

    def _find_own_word(self, sequence: int, now: float) -> dict[str, loads.TargetLoad]:
        """The own word that is in the total; one of a former start is not known any more."""
        while self._told and self._told[0].sequence < sequence:
            self._told.popleft()
        if not self._told or self._told[0].sequence != sequence:
            return {}
        word = self._told[0]
        if word.is_urgent and sequence != self._included_sequence:
            self._way_seconds += AGE_WEIGHT * (now - word.at - self._way_seconds)
        self._included_sequence = sequence
        return word.uses

    def _note_others(self, address: str) -> None:
        """Take the own word off the total of a target."""
        total = self._total.get(address)
        if total is None:
            self._others.pop(address, None)
            return
        known = self._included.get(address, _NOTHING)
        self._others[address] = loads.TargetLoad(
            max(0, total.requests - known.requests),
            max(0, total.tokens - known.tokens),
            max(0, total.unread - known.unread),
            max(0, total.unsaved - known.unsaved),
            total.events,
            total.event_ms,
        )

    def compute_age(self, now: float) -> float | None:
        """Seconds since the last digest; None without one that counts."""
        return None if self._heard_at is None else now - self._heard_at

    def expire_others(self, now: float) -> bool:
        """Go by what is known here alone after a long silence; whether that begins now."""
        if self._heard_at is None or now - self._heard_at < DIGEST_TTL_SECONDS:
            return False
        self._heard_at = None
        self._keeper = ""
        self._total, self._included, self._others = {}, {}, {}
        return True

    def build_report(self, started_ms: int, now: float) -> messages.EntryLoads:
        """This entry's word; sequences of a later start of the process are higher."""
        self.changed = False
        is_urgent = self.urgent.is_set()
        self.urgent.clear()
        self._sequence += 1
        sequence = started_ms * 1_000_000 + self._sequence
        uses = {address: dataclasses.replace(use) for address, use in self._own.items()}
        for address, pace in list(self._paces.items()):
            kept = math.exp((pace.at - now) / EVENT_TIMES_SECONDS)
            events, event_ms = round(pace.events * kept), round(pace.seconds * kept * 1000)
            if events < 1:
                del self._paces[address]
                continue
            use = uses.setdefault(address, loads.TargetLoad())
            use.events, use.event_ms = events, event_ms
        self._told.append(_Told(sequence, uses, now, is_urgent))
        rows = [
            messages.TargetUse(address, *(max(0, getattr(use, name)) for name in loads.FIELDS))
            for address, use in uses.items()
        ]
        return messages.EntryLoads(self._entry, sequence, rows)
