"""What a keeper adds up of the entries' loads, and what it tells of the sums.

Each entry tells one keeper what it has under way.  Keepers pass these words on to each other in
batches, and each tells its subscribers the sums over all entries: only targets that changed, at a
fixed pace.  So what an entry hears grows with the targets and not with the entries, and since the
later word of an entry replaces the earlier one at every keeper, none counts twice, whichever keeper
it came by.  The ways weighed are in ``docs/design/scale.md``.

No I/O and no clock here: times of the event loop come as arguments.
"""

import collections
import dataclasses
from collections.abc import Iterable

from tillerlane.peers import codec, messages

__all__ = [
    "FIELDS",
    "MAX_ROWS",
    "REPORT_TTL_SECONDS",
    "LoadAggregator",
    "TargetLoad",
    "decode_loads",
    "encode_loads",
]

REPORT_TTL_SECONDS = 3.0
"""How long a word counts; entries tell theirs at least once a second.  What an entry that died had
under way is counted for so long, and no longer."""
MAX_ROWS = 120
"""Targets of one digest at most, those first that changed most; the rest follow with the next.
It bounds what an entry hears however many targets there are: 5.9 kB a digest, 1.6 kB with 30
targets (`benchmarks/choices.py`), of which 50 come a second at most."""

MIN_CHANGE_TOKENS = 128
"""Change of a target that is told at the usual pace; what is less waits for the next digest that is
due (a second at most).  A run writes that much in a second, 0.4 in 100 of a runner's memory."""
URGENT_CHANGE_TOKENS = 1_000
"""Change of a target that is told without waiting for the pace of others: a prompt that is sent, or
one that was read."""


@dataclasses.dataclass(slots=True)
class TargetLoad:
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
    events, event_ms : int
        Events of streams that came from it lately, and the milliseconds that they took.
    """

    requests: int = 0
    tokens: int = 0
    unread: int = 0
    unsaved: int = 0
    events: int = 0
    event_ms: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left of it."""
        most = max(self.requests, self.tokens, self.unread, self.unsaved, self.events)
        return most <= 0

    def add(self, other: "TargetLoad", sign: int = 1) -> None:
        """Add another use, or with `sign` -1 take it off."""
        self.requests += sign * other.requests
        self.tokens += sign * other.tokens
        self.unread += sign * other.unread
        self.unsaved += sign * other.unsaved
        self.events += sign * other.events
        self.event_ms += sign * other.event_ms

    def compute_change(self, former: "TargetLoad") -> int:
        """How much it differs from a former use, in tokens of memory."""
        # A request counts as a short prompt, so that plain services' targets rank beside runners.
        return (
            abs(self.tokens - former.tokens)
            + abs(self.unread - former.unread)
            + _REQUEST_TOKENS * abs(self.requests - former.requests)
        )


FIELDS = ("requests", "tokens", "unread", "unsaved", "events", "event_ms")
_REQUEST_TOKENS = 1_000
_NOTHING = TargetLoad()
Loads = dict[str, TargetLoad]


def encode_loads(uses: Iterable[tuple[str, TargetLoad]]) -> bytes:
    """Uses by address as a table; what can't be (below 0) is told as 0."""
    rows = list(uses)
    columns = [[max(0, getattr(use, name)) for _, use in rows] for name in FIELDS]
    return codec.encode_table(messages.UseTable([address for address, _ in rows], *columns))


def decode_loads(data: bytes) -> Loads:
    """Uses by address from a table.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is no table.
    """
    return dict(_read_rows(data))


def _read_rows(data: bytes) -> list[tuple[str, TargetLoad]]:
    table = codec.decode_table(data, messages.UseTable)
    columns = [getattr(table, name) for name in FIELDS]
    return [
        (address, TargetLoad(*values))
        for address, *values in zip(table.addresses, *columns, strict=True)
    ]


@dataclasses.dataclass(slots=True)
class _Word:
    """What one entry told last."""

    sequence: int
    heard_at: float
    uses: Loads


class LoadAggregator:
    """Loads of all entries, as one keeper knows them.

    Parameters
    ----------
    keeper : str
        This keeper's id.
    started_ms : int
        When it started, by the wall clock: its digests' sequences are above those of a former
        start.
    """

    def __init__(self, keeper: str, started_ms: int) -> None:
        self._keeper = keeper
        self._digest_sequence = started_ms * 1_000_000
        self._words: dict[str, _Word] = {}
        self._unpassed: set[str] = set()
        """Entries whose own word came here since the last batch."""
        self._total: Loads = collections.defaultdict(TargetLoad)
        self._changed: set[str] = set()
        self._told: Loads = {}

    # What is heard

    def handle_report(self, word: messages.EntryLoads, now: float) -> bool:
        """Take an entry's own word; False if a later one is held."""
        uses = {
            item.address: TargetLoad(
                item.requests, item.tokens, item.unread, item.unsaved, item.events, item.event_ms
            )
            for item in word.uses
        }
        is_later = self._take(word.entry, _Word(word.sequence, now, uses))
        if is_later:
            self._unpassed.add(word.entry)
        return is_later

    def handle_forwarded(self, passed: messages.PassedLoads, now: float) -> None:
        """Take words that another keeper was told.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if they can't be read.
        """
        rows = _read_rows(passed.table)
        begin = 0
        for entry, sequence, count in zip(
            passed.entries, passed.sequences, passed.counts, strict=False
        ):
            uses = dict(rows[begin : begin + count])
            begin += count
            self._take(entry, _Word(sequence, now, uses))

    def expire(self, now: float) -> list[str]:
        """Drop the words of entries that told nothing for long; gives the entries."""
        dropped = [
            entry for entry, word in self._words.items() if now - word.heard_at > REPORT_TTL_SECONDS
        ]
        for entry in dropped:
            self._count(self._words.pop(entry), None)
        return dropped

    def _take(self, entry: str, word: _Word) -> bool:
        former = self._words.get(entry)
        if former is not None and former.sequence >= word.sequence:
            return False
        self._words[entry] = word
        self._count(former, word)
        return True

    def _count(self, former: _Word | None, word: _Word | None) -> None:
        """Put a word in the place of a former one."""
        before = former.uses if former is not None else {}
        after = word.uses if word is not None else {}
        for address in {*before, *after}:
            old, new = before.get(address, _NOTHING), after.get(address, _NOTHING)
            if old == new:
                continue
            total = self._total[address]
            total.add(old, -1)
            total.add(new)
            if total.is_empty:
                del self._total[address]
            self._changed.add(address)

    # What is told

    def get(self, address: str) -> TargetLoad:
        """All that is known to be under way at a target."""
        return dataclasses.replace(self._total.get(address, _NOTHING))

    def get_included_sequence(self, entry: str) -> int:
        """Sequence of the entry's word that is in the sums; 0 if none is."""
        word = self._words.get(entry)
        return word.sequence if word is not None else 0

    def build_forwarded(self) -> messages.PassedLoads | None:
        """The words that came here from entries since the last batch; None if none did."""
        words = [(entry, self._words[entry]) for entry in self._unpassed if entry in self._words]
        self._unpassed.clear()
        if not words:
            return None
        return messages.PassedLoads(
            [entry for entry, _ in words],
            [word.sequence for _, word in words],
            [len(word.uses) for _, word in words],
            encode_loads(row for _, word in words for row in word.uses.items()),
        )

    def build_delta_digest(
        self, min_change: int = MIN_CHANGE_TOKENS, *, is_due: bool = False
    ) -> messages.LoadDigest | None:
        """What changed since the last digest, for all subscribers; None if nothing did.

        Targets that changed by less than `min_change` tokens are left for later.  With `is_due` it
        is written all the same, and small changes are told too.  For each subscriber,
        `get_included_sequence` is put in.
        """
        addresses = self._pick_rows(0 if is_due else min_change)
        if not addresses and not is_due:
            return None
        rows = [(address, self.get(address)) for address in addresses]
        for address, use in rows:
            self._changed.discard(address)
            if use.is_empty:
                self._told.pop(address, None)
            else:
                self._told[address] = use
        self._digest_sequence += 1
        return self._encode_digest(rows, whole=False)

    def _pick_rows(self, min_change: int) -> list[str]:
        """Targets that changed by so many tokens at least, those first that changed most."""

        def compute_change(address: str) -> int:
            return self._total.get(address, _NOTHING).compute_change(
                self._told.get(address, _NOTHING)
            )

        changes = [(compute_change(address), address) for address in self._changed]
        found = sorted((item for item in changes if item[0] >= min_change), reverse=True)
        return [address for _, address in found[:MAX_ROWS]]

    def build_full_digest(self) -> messages.LoadDigest:
        """All that the subscribers were told, for one that is new or missed a digest."""
        return self._encode_digest(list(self._told.items()), whole=True)

    def _encode_digest(
        self, rows: list[tuple[str, TargetLoad]], *, whole: bool
    ) -> messages.LoadDigest:
        return messages.LoadDigest(
            self._keeper, self._digest_sequence, 0, whole, encode_loads(rows)
        )
