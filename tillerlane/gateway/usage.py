"""Load of each target: this entry's own sends, and the others' as keepers report them."""

import asyncio
import collections
import dataclasses
import enum
import math
from collections.abc import Callable

from tillerlane.gateway.load import aggregation as loads
from tillerlane.gateway.speeds import observations
from tillerlane.peers import messages

__all__ = ["DigestResult", "Usage"]

DIGEST_TTL_SECONDS = 3.0
"""How long a keeper's digest counts; it comes at least once a second."""
RATE_SECONDS = 5.0
"""Time over which this entry's own request rate is smoothed: an entry with little traffic sends two
prompts in it."""
MIN_RATE_SECONDS = 1.0
"""Minimum time over which a rate is computed, so that a single request counts as one a second."""
INITIAL_REPORT_AGE_SECONDS = 0.2
"""Assumed age of other entries' reports until it has been measured."""
REPORT_AGE_FACTOR = 2.0
"""Age of another entry's report on arrival, relative to the time that an own report takes to come
back: it waits twice, also for its keeper's batch to this entry's keeper."""
AGE_WEIGHT = 0.1
"""Weight of one more measurement of that time: smoothed over some ten sends of a prompt."""
MAX_SENT_REPORTS = 160
"""Own reports kept to subtract them from the keepers' sums: three seconds of them, at the highest
rate."""

_EMPTY = loads.TargetLoad()


class DigestResult(enum.Enum):
    """Result of handling a digest."""

    APPLIED = "good"
    STALE = "old"
    GAP = "gap"
    """An earlier digest is missing, so that a full one has to be requested."""


@dataclasses.dataclass(frozen=True, slots=True)
class _SentReport:
    """An own report: sequence, content, time, and whether it was sent ahead of the usual rate."""

    sequence: int
    content: dict[str, loads.TargetLoad]
    at: float
    is_urgent: bool


@dataclasses.dataclass(slots=True)
class _Rate:
    """Requests a second that this entry sends to a pool, smoothed and decayed until `at`."""

    started_at: float
    smoothed: float = 0.0
    at: float = 0.0

    def record(self, now: float) -> None:
        self.smoothed = self._decay(now) + 1 / RATE_SECONDS
        self.at = now

    def compute(self, now: float) -> float:
        """The rate, corrected for a short time since the first request.

        After a common start all callers reconnect at once.  Entries that underestimated their rate
        would all choose the same runners.
        """
        counted = max(MIN_RATE_SECONDS, now - self.started_at)
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
        Entries of the fleet, this one included, as last reported; 0 until then.
    changed : bool
        Whether anything has changed since the last report.
    urgent : asyncio.Event
        Set while there is a large change to report.
    on_freed : callable
        Called when some of this entry's own load has ended.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._own: dict[str, loads.TargetLoad] = collections.defaultdict(loads.TargetLoad)
        self.observed = observations.Observations()
        self._total: dict[str, loads.TargetLoad] = {}
        """The keeper's sums, this entry's own report included."""
        self._included: dict[str, loads.TargetLoad] = {}
        """That own report."""
        self._others: dict[str, loads.TargetLoad] = {}
        """The total without it, except for events and their times, which are of all entries."""
        self._own_observed: dict[str, loads.TargetLoad] = {}
        """Own observations as last collected, used while no keeper sends the fleet's."""
        self._sent: collections.deque[_SentReport] = collections.deque(maxlen=MAX_SENT_REPORTS)
        self._included_sequence = 0
        self._round_trip_seconds = INITIAL_REPORT_AGE_SECONDS / REPORT_AGE_FACTOR
        """Time from an urgent own report to the digest that includes it."""
        self._keeper = ""
        self._digest_sequence = 0
        self._heard_at: float | None = None
        self._sequence = 0
        self.entries = 0
        self.changed = False
        self.urgent = asyncio.Event()
        self.on_freed: Callable[[], None] = lambda: None
        self._rates: dict[str, _Rate] = {}

    # This entry's own load

    def add(
        self,
        address: str,
        *,
        requests: int = 0,
        tokens: int = 0,
        unread: int = 0,
        unsaved: int = 0,
        claimed: int = 0,
    ) -> None:
        """Add to the load of a target; negative numbers subtract."""
        load = self._own[address]
        load.requests += requests
        load.tokens += tokens
        load.unread += unread
        load.unsaved += unsaved
        load.claimed += claimed
        if load.is_empty:
            del self._own[address]
        self.changed = True
        if max(abs(tokens), abs(unread), abs(claimed)) >= loads.URGENT_CHANGE_TOKENS:
            self.urgent.set()
        if min(tokens, unread, claimed) < 0:
            self.on_freed()

    def discard_event_times(self, address: str) -> None:
        """Discard the observed speed of a target that has started again, and tell the others."""
        if self.observed.discard(address):
            self.changed = True
            self.urgent.set()

    def record_events(self, address: str, events: int, seconds: float, now: float) -> None:
        """Count events of a target's stream that arrived after a wait."""
        self.observed.record_events(address, events, seconds, now)

    def record_prefill(self, address: str, tokens: int, seconds: float, now: float) -> None:
        """Count prompt tokens that a target prefilled before a first event."""
        self.observed.record_prefill(address, tokens, seconds, now)
        self.changed = True

    def get_own(self, address: str) -> loads.TargetLoad:
        """This entry's own load of a target."""
        return dataclasses.replace(self._own.get(address, _EMPTY))

    def count_own_at(self, address: str) -> int:
        """This entry's requests under way at a target."""
        own = self._own.get(address)
        return own.requests if own is not None else 0

    def count_own(self) -> int:
        """This entry's requests under way at all targets."""
        return sum(load.requests for load in self._own.values())

    def record_request(self, pool: str, now: float) -> None:
        """Count a request that this entry sends to a pool."""
        self._rates.setdefault(pool, _Rate(now)).record(now)

    def estimate_unreported(self, pool: str, now: float) -> float:
        """Number of others' requests to a pool that are probably not yet reported here.

        Callers are spread over the entries, so the others are assumed to send as often as this one.
        """
        rate = self._rates.get(pool)
        others = max(0, self.entries - 1)
        return rate.compute(now) * others * self.get_report_age() if rate is not None else 0.0

    def get_report_age(self) -> float:
        """Age in seconds of other entries' reports on arrival, as measured."""
        return self._round_trip_seconds * REPORT_AGE_FACTOR

    # All entries' load

    def get(self, address: str) -> loads.TargetLoad:
        """Known load of a target by all entries; the caller must not change the result.

        The time that it takes doesn't depend on the number of entries, and nothing is allocated
        where this entry has nothing under way: each choice looks up every target of a pool.
        """
        own = self._own.get(address)
        others = self._others.get(address, _EMPTY)
        if self._heard_at is None:
            others = self._own_observed.get(address, _EMPTY)
        if own is None:
            return others
        total = dataclasses.replace(others)
        total.add(own)
        return total

    def get_taken(self, address: str) -> tuple[int, int, int]:
        """Tokens in use and claimed at a target, and its requests, by all entries."""
        others = self._others.get(address, _EMPTY)
        own = self._own.get(address, _EMPTY)
        return (
            others.tokens + own.tokens,
            others.claimed + own.claimed,
            others.requests + own.requests,
        )

    def handle_digest(self, digest: messages.LoadDigest, now: float) -> DigestResult:
        """Handle a keeper's digest.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if it can't be decoded.
        """
        is_same = digest.keeper == self._keeper
        if is_same and digest.sequence < self._digest_sequence + (not digest.whole):
            return DigestResult.STALE
        if not digest.whole and not (is_same and digest.sequence == self._digest_sequence + 1):
            return DigestResult.GAP
        changes = loads.decode_loads(digest.table)
        if digest.whole:
            self._total = {}
        for address, load in changes.items():
            if load.is_empty:
                self._total.pop(address, None)
            else:
                self._total[address] = load
        self._keeper, self._digest_sequence = digest.keeper, digest.sequence
        self._heard_at = now
        former = self._included
        self._included = self._find_own_report(digest.included, now)
        if digest.whole:
            self._others = {}
        for address in {*changes, *former, *self._included}:
            self._update_others(address)
        return DigestResult.APPLIED

    def _find_own_report(self, sequence: int, now: float) -> dict[str, loads.TargetLoad]:
        """The own report included in the total; empty for one from before a restart."""
        while self._sent and self._sent[0].sequence < sequence:
            self._sent.popleft()
        if not self._sent or self._sent[0].sequence != sequence:
            return {}
        report = self._sent[0]
        if report.is_urgent and sequence != self._included_sequence:
            self._round_trip_seconds += AGE_WEIGHT * (now - report.at - self._round_trip_seconds)
        self._included_sequence = sequence
        return report.content

    def _update_others(self, address: str) -> None:
        """Subtract the own report from the total of a target."""
        total = self._total.get(address)
        if total is None:
            self._others.pop(address, None)
            return
        known = self._included.get(address, _EMPTY)
        self._others[address] = loads.TargetLoad(
            max(0, total.requests - known.requests),
            max(0, total.tokens - known.tokens),
            max(0, total.unread - known.unread),
            max(0, total.unsaved - known.unsaved),
            total.events,
            total.event_ms,
            total.read_tokens,
            total.read_ms,
            max(0, total.claimed - known.claimed),
        )

    def compute_age(self, now: float) -> float | None:
        """Seconds since the last digest; None without a valid one."""
        return None if self._heard_at is None else now - self._heard_at

    def compute_age_ms(self, now: float) -> int | None:
        """The same in whole milliseconds, for log lines."""
        age = self.compute_age(now)
        return None if age is None else int(age * 1000)

    def assume_equal_entries(self, amount: int) -> float:
        """What all other entries have of something if callers are spread evenly over them."""
        return float(amount * max(0, self.entries - 1))

    def expire_others(self, now: float) -> bool:
        """Discard others' loads without a recent digest; whether that happened just now."""
        if self._heard_at is None:
            self._collect_observed(now)
            return False
        if now - self._heard_at < DIGEST_TTL_SECONDS:
            return False
        self._heard_at = None
        self._keeper = ""
        self._total, self._included, self._others = {}, {}, {}
        return True

    def _collect_observed(self, now: float) -> None:
        self._own_observed = {
            address: loads.TargetLoad(0, 0, 0, 0, *seen)
            for address, *seen in self.observed.collect(now)
        }

    def build_report(self, started_ms: int, now: float) -> messages.EntryLoads:
        """This entry's report; sequences of a later start of the process are higher."""
        self.changed = False
        is_urgent = self.urgent.is_set()
        self.urgent.clear()
        self._sequence += 1
        sequence = started_ms * 1_000_000 + self._sequence
        own = {address: dataclasses.replace(load) for address, load in self._own.items()}
        self._collect_observed(now)
        for address, seen in self._own_observed.items():
            own.setdefault(address, loads.TargetLoad()).add(seen)
        self._sent.append(_SentReport(sequence, own, now, is_urgent))
        rows = [
            messages.TargetUse(
                address, **{name: max(0, getattr(load, name)) for name in loads.FIELDS}
            )
            for address, load in own.items()
        ]
        return messages.EntryLoads(self._entry, sequence, rows)
