"""Aggregation of the entries' loads at a keeper, and the digests of the sums that it sends.

Each entry reports its load to one keeper.  Keepers forward these reports to each other in batches,
and each sends its subscribers the sums over all entries: only targets that changed, at a bounded
rate.  So the traffic to an entry grows with the targets and not with the entries.  Since the later
report of an entry replaces the earlier one at every keeper, no report counts twice, no matter
which keeper forwarded it.  ``docs/design/scale.md`` compares the alternatives.

No I/O and no clock here: times of the event loop come as arguments.
"""

import collections
import dataclasses
from collections.abc import Iterable

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway.shares import aggregation
from tillerlane.gateway.shares import rows as share_rows
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
"""How long a report counts; entries send one at least once a second.  The load of an entry that
died is counted for this long, and no longer."""
CLAIM_TTL_SECONDS = 2.0
"""How long the claims in a report count: memory that is kept free for an entry that died is lost to
all others.  Two reports are a second apart at most."""
MAX_ROWS = 120
"""Maximum number of targets in a digest, those with the largest changes first; the rest follow with
the next digest.  It bounds what an entry receives regardless of the number of targets: 5.9 kB a
digest, 1.6 kB with 30 targets (`benchmarks/choices.py`), at most 50 digests a second."""

MIN_CHANGE_TOKENS = 128
"""Change of a target that is sent at the usual rate; smaller ones wait for the next digest that is
due (at most a second).  A run writes that much in a second, 0.4 in 100 of a runner's memory."""
URGENT_CHANGE_TOKENS = 1_000
"""Change of a target that is sent ahead of the usual rate: a prompt that was sent, or one that was
read."""


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of a target.

    Attributes
    ----------
    requests : int
        Requests under way.
    tokens : int
        Memory taken by them and by copies of others' runs.
    unread : int
        Prompt tokens of requests that have not written anything yet.
    unsaved : int
        Memory of runs that has no copy elsewhere.
    events, event_ms : int
        Recent events of streams from the target, and the milliseconds that they took.
    claimed : int
        Memory that waiting requests claim as soon as it is free (`gateway.queue`).
    read_tokens, read_ms : int
        Prompt tokens that it prefilled recently, and the milliseconds that they took.
    """

    requests: int = 0
    tokens: int = 0
    unread: int = 0
    unsaved: int = 0
    events: int = 0
    event_ms: int = 0
    read_tokens: int = 0
    read_ms: int = 0
    claimed: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether no field is positive; times don't count."""
        speeds = max(self.events, self.read_tokens)
        most = max(self.requests, self.tokens, self.unread, self.unsaved, self.claimed, speeds)
        return most <= 0

    def add(self, other: "TargetLoad", sign: int = 1) -> None:
        """Add another load, or with `sign` -1 subtract it."""
        self.requests += sign * other.requests
        self.tokens += sign * other.tokens
        self.unread += sign * other.unread
        self.unsaved += sign * other.unsaved
        self.events += sign * other.events
        self.event_ms += sign * other.event_ms
        self.claimed += sign * other.claimed
        self.read_tokens += sign * other.read_tokens
        self.read_ms += sign * other.read_ms

    def compute_change(self, former: "TargetLoad") -> int:
        """How much it differs from a former load, in tokens of memory."""
        # A request counts as a short prompt, so that plain services' targets rank beside runners.
        return (
            abs(self.tokens - former.tokens)
            + abs(self.claimed - former.claimed)
            + abs(self.unread - former.unread)
            + _REQUEST_TOKENS * abs(self.requests - former.requests)
            # The first observations of a runner, or that it has started again, go out soon.
            + MIN_CHANGE_TOKENS * ((self.events > 0) != (former.events > 0))
            + MIN_CHANGE_TOKENS * ((self.read_tokens > 0) != (former.read_tokens > 0))
        )


FIELDS = (
    "requests",
    "tokens",
    "unread",
    "unsaved",
    "events",
    "event_ms",
    "read_tokens",
    "read_ms",
    "claimed",
)
_REQUEST_TOKENS = 1_000
_EMPTY = TargetLoad()
Loads = dict[str, TargetLoad]


def encode_loads(loads: Iterable[tuple[str, TargetLoad]]) -> bytes:
    """Encode loads by address as a table; values below 0 become 0."""
    rows = list(loads)
    columns = {name: [max(0, getattr(load, name)) for _, load in rows] for name in FIELDS}
    return codec.encode_table(messages.UseTable([address for address, _ in rows], **columns))


def decode_loads(data: bytes) -> Loads:
    """Decode loads by address from a table.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is no table.
    """
    return dict(_decode_rows(data))


def _decode_rows(data: bytes) -> list[tuple[str, TargetLoad]]:
    table = codec.decode_table(data, messages.UseTable)
    columns = [getattr(table, name) for name in FIELDS]
    return [
        (address, TargetLoad(*values))
        for address, *values in zip(table.addresses, *columns, strict=True)
    ]


@dataclasses.dataclass(slots=True)
class _Report:
    """The latest report of one entry."""

    sequence: int
    heard_at: float
    loads: Loads
    workspaces: share_rows.Rows


class LoadAggregator:
    """Loads of all entries, as one keeper knows them.

    Parameters
    ----------
    keeper : str
        This keeper's id.
    started_ms : int
        Wall-clock time of its start: the sequences of its digests are above those of a former
        start.
    """

    def __init__(self, keeper: str, started_ms: int) -> None:
        self._keeper = keeper
        self._digest_sequence = started_ms * 1_000_000
        self._reports: dict[str, _Report] = {}
        self._unforwarded: set[str] = set()
        """Entries that have reported here since the last batch."""
        self._total: Loads = collections.defaultdict(TargetLoad)
        self._changed: set[str] = set()
        self._sent: Loads = {}
        self._workspaces = aggregation.WorkspaceAggregator()

    # Incoming reports

    def handle_report(self, report: messages.EntryLoads, now: float) -> bool:
        """Handle an entry's own report; False if a later one is held.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if it can't be decoded.
        """
        workspaces = share_rows.decode_rows(report.workspaces)
        loads = {
            item.address: TargetLoad(*(getattr(item, name) for name in FIELDS))
            for item in report.uses
        }
        is_later = self._merge(report.entry, _Report(report.sequence, now, loads, workspaces))
        if is_later:
            self._unforwarded.add(report.entry)
        return is_later

    def handle_forwarded(self, forwarded: messages.PassedLoads, now: float) -> None:
        """Handle reports that another keeper received.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if they can't be decoded, or the numbers of rows don't match.
        """
        rows = _decode_rows(forwarded.table)
        columns = forwarded.entries, forwarded.sequences, forwarded.counts
        codec.check_columns("forwarded loads", *columns)
        if sum(forwarded.counts) != len(rows):
            text = f"got {len(rows)} rows of forwarded loads, expected {sum(forwarded.counts)}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, text))
        workspaces = [share_rows.decode_rows(item) for item in forwarded.workspaces]
        # Keepers of the former version forward no workspaces.
        workspaces += [{} for _ in forwarded.entries[len(workspaces) :]]
        start = 0
        for entry, sequence, count, shares in zip(
            *columns, workspaces[: len(forwarded.entries)], strict=True
        ):
            loads = dict(rows[start : start + count])
            start += count
            self._merge(entry, _Report(sequence, now, loads, shares))

    def expire(self, now: float) -> list[str]:
        """Drop the reports that are older than `REPORT_TTL_SECONDS`; returns their entries.

        The claims in them are dropped after `CLAIM_TTL_SECONDS`.
        """
        expired = []
        for entry, report in list(self._reports.items()):
            age = now - report.heard_at
            if age > REPORT_TTL_SECONDS:
                self._update_total(self._reports.pop(entry), None)
                expired.append(entry)
            elif age > CLAIM_TTL_SECONDS and any(load.claimed for load in report.loads.values()):
                unclaimed = {
                    address: dataclasses.replace(load, claimed=0)
                    for address, load in report.loads.items()
                }
                self._reports[entry] = dataclasses.replace(report, loads=unclaimed)
                self._update_total(report, self._reports[entry])
        return expired

    def _merge(self, entry: str, report: _Report) -> bool:
        former = self._reports.get(entry)
        if former is not None and former.sequence >= report.sequence:
            return False
        self._reports[entry] = report
        self._update_total(former, report)
        return True

    def _update_total(self, former: _Report | None, report: _Report | None) -> None:
        """Replace a former report by another one in the sums."""
        before = former.loads if former is not None else {}
        after = report.loads if report is not None else {}
        self._workspaces.replace(
            former.workspaces if former is not None else {},
            report.workspaces if report is not None else {},
        )
        for address in {*before, *after}:
            old, new = before.get(address, _EMPTY), after.get(address, _EMPTY)
            if old == new:
                continue
            total = self._total[address]
            total.add(old, -1)
            total.add(new)
            if total.is_empty:
                del self._total[address]
            self._changed.add(address)

    # Outgoing batches and digests

    def get(self, address: str) -> TargetLoad:
        """Sum of all entries' loads of a target."""
        return dataclasses.replace(self._total.get(address, _EMPTY))

    def get_included_sequence(self, entry: str) -> int:
        """Sequence of the entry's report that is included in the sums; 0 if none is."""
        report = self._reports.get(entry)
        return report.sequence if report is not None else 0

    def build_forwarded(self) -> messages.PassedLoads | None:
        """Batch of the reports received from entries since the last batch; None without any."""
        reports = [
            (entry, self._reports[entry]) for entry in self._unforwarded if entry in self._reports
        ]
        self._unforwarded.clear()
        if not reports:
            return None
        return messages.PassedLoads(
            [entry for entry, _ in reports],
            [report.sequence for _, report in reports],
            [len(report.loads) for _, report in reports],
            encode_loads(row for _, report in reports for row in report.loads.items()),
            share_rows.encode_all(report.workspaces for _, report in reports),
        )

    def build_delta_digest(
        self, min_change: int = MIN_CHANGE_TOKENS, *, is_due: bool = False
    ) -> messages.LoadDigest | None:
        """Digest of the changes since the last one, for all subscribers; None without any.

        Targets that changed by less than `min_change` tokens are left for later.  With `is_due` the
        digest is built even if it is empty, and small changes are included.  The caller sets
        `get_included_sequence` for each subscriber.
        """
        addresses = self._pick_rows(0 if is_due else min_change)
        # Shares move slower than loads of targets, so digests ahead of the usual rate have none.
        is_paced = is_due or min_change < URGENT_CHANGE_TOKENS
        workspaces = self._workspaces.build_delta(is_due=is_due) if is_paced else b""
        if not addresses and not workspaces and not is_due:
            return None
        rows = [(address, self.get(address)) for address in addresses]
        for address, load in rows:
            self._changed.discard(address)
            if load.is_empty:
                self._sent.pop(address, None)
            else:
                self._sent[address] = load
        self._digest_sequence += 1
        return self._encode_digest(rows, workspaces, whole=False)

    def _pick_rows(self, min_change: int) -> list[str]:
        """Targets that changed by at least `min_change` tokens, largest changes first."""

        def compute_change(address: str) -> int:
            return self._total.get(address, _EMPTY).compute_change(self._sent.get(address, _EMPTY))

        changes = [(compute_change(address), address) for address in self._changed]
        found = sorted((item for item in changes if item[0] >= min_change), reverse=True)
        return [address for _, address in found[:MAX_ROWS]]

    def build_full_digest(self) -> messages.LoadDigest:
        """All that was sent to subscribers, for one that is new or missed a digest."""
        workspaces = self._workspaces.build_full()
        return self._encode_digest(list(self._sent.items()), workspaces, whole=True)

    def _encode_digest(
        self, rows: list[tuple[str, TargetLoad]], workspaces: bytes, *, whole: bool
    ) -> messages.LoadDigest:
        return messages.LoadDigest(
            self._keeper, self._digest_sequence, 0, whole, encode_loads(rows), workspaces
        )
