"""Targets as reported by their heartbeats: soft state, merged from many sources.

Each start of a target is a new incarnation with an id of its own (`gateway.incarnation`), so the
phase ``gone`` is final for that id, and a higher sequence number always wins, whatever its source.
A later incarnation ends an earlier one of the same target, whose reports are ignored from then on.
"""

import asyncio
import collections
import dataclasses
import enum
import zlib
from collections.abc import Callable, Iterable

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway.incarnation import ids as incarnations
from tillerlane.peers import codec, messages

__all__ = [
    "Directory",
    "FormerVersion",
    "Phase",
    "Target",
    "decode_former_versions",
    "decode_states",
    "encode_former_versions",
    "encode_full_state",
    "encode_states",
]

RETENTION_SECONDS = 60.0
"""How long a target that is gone is kept, so that a late report does not bring it back."""
REOPENED_COLD_SECONDS = 3.0
"""How long targets count as cold at an entry after the evacuation of their data hall has ended.
An entry is notified when a target turns cold but not when it is warm, and heartbeats come every
1.2 s, at times seconds late."""
MAX_AGE_MS = 2**31
FULL_STATE_COMPRESSION_LEVEL = 1
"""Compression level of a full state: 3,001 targets take 512 kB as structs and 56 kB compressed,
which an entry's link of 5 Mbit/s carries in 0.8 and 0.1 s."""
MAX_TABLE_BYTES = 8 * 1024 * 1024
"""Bound on the decompressed size of a full state."""
DISCOVERY_SECONDS = 2.0
"""Time within which all targets report themselves to a keeper that has just started: they send a
heartbeat every 1.2 s, and at once after one that failed."""
MAX_TARGETS = 20_000
"""Bound on memory; twenty times the size of fleet that is to be supported."""
MAX_FORMER_VERSIONS = 1_000
"""Bound on memory against runners that report another version at each start."""


class Phase(enum.StrEnum):
    """Which work a target may get."""

    READY = "ready"
    SILENT = "silent"
    """Its heartbeats have stopped; used only if no other target is left."""
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(slots=True)
class Target:
    """One incarnation of a runner or plain service.

    Attributes
    ----------
    target_id : str
        Id of this incarnation.
    pool : str
        Name of its pool.
    address : str
        ``IP:port``; may belong to another target later.
    sequence : int
        Increases with each of its own reports.
    heard_at : float
        Event-loop time of its last own report, as far as known here.
    warm_at : float
        Event-loop time until which it works slowly after its start.
    is_superseded : bool
        Whether a later incarnation has replaced it, so that its runs are lost; its phase is
        ``gone`` then.
    software_version : str
        Version of its software, which has no order; empty if it is unknown.
    """

    target_id: str
    pool: str
    address: str
    data_hall: str
    slots: int
    phase: Phase
    sequence: int
    heard_at: float
    warm_at: float = 0.0
    is_superseded: bool = False
    leaving_at: float = 0.0
    """Event-loop time of its report that it leaves, as far as known here; 0 before."""
    software_version: str = ""
    replaced_at: float = 0.0
    """Event-loop time since which its address is known, at this daemon, to belong to another
    incarnation, of which nothing else is known; 0 if it is not."""

    @property
    def is_replaced(self) -> bool:
        """Whether another incarnation serves at its address."""
        return self.replaced_at > 0

    def has_version(self, software_version: str | None) -> bool:
        """Whether a stream of a software version may be resumed by it; None stands for any."""
        if software_version is None:
            return True
        return not self.is_replaced and self.software_version == software_version

    def drop_version(self) -> "Target":
        """The same target with an unknown software version."""
        return dataclasses.replace(self, software_version="")

    @property
    def is_leaving(self) -> bool:
        """Whether it drains or is gone, so that its runs have to move elsewhere."""
        return self.phase in (Phase.DRAINING, Phase.GONE)

    @property
    def is_winding_down(self) -> bool:
        """Whether it leaves and its runs still continue: it has not been restarted."""
        return self.is_leaving and not self.is_superseded


@dataclasses.dataclass(frozen=True, slots=True)
class FormerVersion:
    """A software version whose targets were replaced, or that a keeper knows from its disk.

    Attributes
    ----------
    heard_at : float
        Event-loop time at which a target of it was last heard, as far as known here.
    """

    pool: str
    software_version: str
    heard_at: float


_FINALITY = {Phase.READY: 0, Phase.SILENT: 0, Phase.DRAINING: 1, Phase.GONE: 2}
_PHASES = {phase.value: phase for phase in Phase}
Listener = Callable[[Target, Phase | None], None]
FormerListener = Callable[[FormerVersion], None]


class Directory:
    """All targets known to one daemon.

    Attributes
    ----------
    targets : dict
        Target id to `Target`.
    evacuated : frozenset of str
        Data halls whose targets get no new work; runs under way there finish.
    collected_since : float
        Event-loop time since which heartbeats have been collected without a gap, here or by the
        keepers that sent their full state; infinite before the first one.
    """

    def __init__(self) -> None:
        self.targets: dict[str, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self._pools: dict[str, list[Target]] = {}
        """Cached targets of each pool that accept requests; cleared when a target changes."""
        self._latest: dict[str, str] = {}
        """Target name to the id of its latest incarnation."""
        self._listeners: list[Listener] = []
        self.collected_since = float("inf")
        self._versions: dict[str, collections.Counter[str]] = {}
        """Number of targets by pool and software version, in any phase."""
        self._former: dict[tuple[str, str], FormerVersion] = {}
        """Versions of incarnations that are not among the targets any more, by pool and version."""
        self._former_listeners: list[FormerListener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with (target, former phase) for a new target and for changes.

        Changes are another phase, a target that turns cold, and one whose address is known to
        belong to another incarnation.
        """
        self._listeners.append(listener)

    def add_former_listener(self, listener: FormerListener) -> None:
        """Call `listener` with each former version of which no target has been known here."""
        self._former_listeners.append(listener)

    def set_evacuated(self, halls: frozenset[str], now: float) -> None:
        """Give no new work to targets of these data halls, and allow it for all others.

        Targets of a hall whose evacuation ends may have turned cold meanwhile, so they count as
        cold for a while.
        """
        for target in self.targets.values():
            if target.data_hall in self.evacuated - halls:
                target.warm_at = max(target.warm_at, now + REOPENED_COLD_SECONDS)
        self.evacuated = halls
        self._pools.clear()

    def accepts_requests(self, target: Target) -> bool:
        """Whether new requests may go to a target; everything that picks a target checks this."""
        return not target.is_leaving and target.data_hall not in self.evacuated

    def list_pool(self, pool: str) -> list[Target]:
        """Targets of a pool that accept requests.

        The list is cached: scanning 3,001 targets takes 1.4 ms, and each request needs it.
        """
        listed = self._pools.get(pool)
        if listed is None:
            listed = [
                item
                for item in self.targets.values()
                if item.pool == pool and self.accepts_requests(item)
            ]
            self._pools[pool] = listed
        return list(listed)

    def merge(self, report: Target) -> bool:
        """Merge a report about a target; returns whether anything but its time changed."""
        known = self.targets.get(report.target_id)
        if known is None:
            if not self._add(report):
                return False
            self._notify(report, None)
            return True
        known.heard_at = max(known.heard_at, report.heard_at)
        if report.software_version and not known.software_version:
            self._count_version(known, -1)
            known.software_version = report.software_version
            self._count_version(known, 1)
        is_newer = report.sequence > known.sequence
        if _FINALITY[report.phase] < _FINALITY[known.phase]:
            return False
        is_final = _FINALITY[report.phase] > _FINALITY[known.phase]
        if not is_newer and not is_final and report.sequence < known.sequence:
            return False
        former = known.phase
        turns_cold = known.warm_at <= report.heard_at < report.warm_at
        known.sequence = max(known.sequence, report.sequence)
        known.warm_at = report.warm_at
        if is_newer:
            known.address, known.slots = report.address, report.slots
        if report.phase is former:
            if turns_cold:
                self._notify(known, former)
            return turns_cold
        if not is_newer and not is_final and report.phase is Phase.READY:
            return False
        known.phase = report.phase
        _record_leaving(known, report.heard_at)
        self._notify(known, former)
        return True

    def _add(self, report: Target) -> bool:
        """Add an unknown incarnation; False if a later one is known or the directory is full."""
        incarnation = incarnations.parse_id(report.target_id)
        latest = self._latest.get(incarnation.name)
        if latest is not None:
            if incarnation.started_ms < incarnations.parse_id(latest).started_ms:
                self._merge_former_target(report)
                return False
            self._end_incarnation(latest)
        if len(self.targets) >= MAX_TARGETS:
            return False
        self._latest[incarnation.name] = report.target_id
        _record_leaving(report, report.heard_at)
        self.targets[report.target_id] = report
        self._count_version(report, 1)
        return True

    def _count_version(self, target: Target, number: int) -> None:
        counts = self._versions.setdefault(target.pool, collections.Counter())
        counts[target.software_version] += number
        if not counts[target.software_version]:
            del counts[target.software_version]
        if not counts:
            del self._versions[target.pool]

    def list_software_versions(self, pool: str) -> frozenset[str]:
        """Software versions of a pool's targets, with those of targets that have left recently.

        A stream that a caller may still resume began at one of them.
        """
        former = (version for name, version in self._former if name == pool)
        return frozenset(self._versions.get(pool, ())).union(former)

    def list_all_software_versions(self) -> set[tuple[str, str]]:
        """Pools and software versions of all targets, with those that have left recently."""
        present = {(pool, version) for pool, counts in self._versions.items() for version in counts}
        return present.union(self._former)

    def list_former_versions(self) -> list[FormerVersion]:
        """Versions of targets that were replaced within the retention period."""
        return list(self._former.values())

    def merge_former(self, former: FormerVersion) -> None:
        """Merge a version whose targets were replaced; notifies the listeners if it is new."""
        key = former.pool, former.software_version
        is_known = former.software_version in self.list_software_versions(former.pool)
        known = self._former.get(key)
        if known is None or known.heard_at < former.heard_at:
            self._former[key] = former
        if len(self._former) > MAX_FORMER_VERSIONS:
            oldest = min(self._former, key=lambda item: self._former[item].heard_at)
            del self._former[oldest]
        if not is_known:
            for listener in self._former_listeners:
                listener(former)

    def _merge_former_target(self, target: Target) -> None:
        former = FormerVersion(target.pool, target.software_version, target.heard_at)
        self.merge_former(former)

    def is_complete(self, now: float) -> bool:
        """Whether all targets have had the time to report themselves."""
        return now - self.collected_since >= DISCOVERY_SECONDS

    def _end_incarnation(self, target_id: str) -> None:
        """Remove an incarnation whose target has restarted, and notify the listeners."""
        former = self.targets.pop(target_id, None)
        if former is None:
            return
        self._merge_former_target(former)
        self._count_version(former, -1)
        phase, former.phase, former.is_superseded = former.phase, Phase.GONE, True
        self._notify(former, phase)

    def record_replaced(self, target_id: str, now: float) -> None:
        """Record that another incarnation, of an unknown version, serves at a target's address.

        The target gets no resumed streams until a heartbeat names the later incarnation.
        """
        known = self.targets.get(target_id)
        if known is not None and not known.is_replaced:
            known.replaced_at = now
            self._notify(known, known.phase)

    def find(self, name: str) -> Target | None:
        """The latest incarnation of a target, by the target's name."""
        target_id = self._latest.get(name)
        return self.targets.get(target_id) if target_id is not None else None

    def mark_gone(self, target_id: str) -> bool:
        """Record that a target leaves now; returns whether that is new."""
        known = self.targets.get(target_id)
        if known is None or known.phase is Phase.GONE:
            return False
        return self.merge(dataclasses.replace(known, phase=Phase.GONE))

    def mark_leaving(self, target_id: str, now: float) -> Target | None:
        """Record a leaving that a target has reported in a response; returns it if that is new."""
        known = self.targets.get(target_id)
        if known is None or known.is_leaving:
            return None
        self.merge(dataclasses.replace(known, phase=Phase.DRAINING, heard_at=now))
        return known

    def record_collection(self, states: messages.TargetStates, now: float) -> None:
        """Record for how long the sender of a full state has collected heartbeats."""
        if states.whole:
            since = now - states.collected_ms / 1000
            self.collected_since = min(self.collected_since, since)

    def list_leaving(self) -> list[Target]:
        """Targets that leave and are not gone yet."""
        return [item for item in self.targets.values() if item.phase is Phase.DRAINING]

    def mark_silent(self, older_than: float) -> list[Target]:
        """Mark ready targets silent if their last report is older than a time; returns them."""
        silent = [
            item
            for item in self.targets.values()
            if item.phase is Phase.READY and item.heard_at < older_than
        ]
        for item in silent:
            item.phase = Phase.SILENT
            self._notify(item, Phase.READY)
        return silent

    def expire_old(self, now: float) -> None:
        """Drop targets that have been draining, gone or silent for long."""
        for target_id, item in list(self.targets.items()):
            if item.phase is not Phase.READY and now - item.heard_at > RETENTION_SECONDS:
                del self.targets[target_id]
                self._count_version(item, -1)
                self._latest.pop(incarnations.parse_id(target_id).name, None)
                self._pools.clear()
        for key, former in list(self._former.items()):
            if now - former.heard_at > RETENTION_SECONDS:
                del self._former[key]

    def _notify(self, target: Target, former: Phase | None) -> None:
        self._pools.clear()
        for listener in self._listeners:
            listener(target, former)


def _record_leaving(target: Target, reported_at: float) -> None:
    if target.is_leaving and not target.leaving_at:
        target.leaving_at = reported_at


def encode_full_state(directory: Directory) -> messages.TargetStates:
    """All targets as a message, with the time for which heartbeats have been collected."""
    message = encode_states(directory.targets.values(), full=True)
    collected = asyncio.get_running_loop().time() - directory.collected_since
    message.collected_ms = min(max(1, int(collected * 1000)), MAX_AGE_MS)
    return message


def encode_states(targets: Iterable[Target], *, full: bool = False) -> messages.TargetStates:
    """Targets as a message; ages are those at the time of encoding."""
    now = asyncio.get_running_loop().time()
    rows = list(targets)
    table = messages.StateTable(
        [item.target_id for item in rows],
        [item.pool for item in rows],
        [item.address for item in rows],
        [item.data_hall for item in rows],
        [item.slots for item in rows],
        [item.phase.value for item in rows],
        [item.sequence for item in rows],
        [max(0, int((item.warm_at - now) * 1000)) for item in rows],
        [_encode_age(item.heard_at, now) for item in rows],
        [item.software_version for item in rows],
    )
    data = codec.encode_table(table)
    return messages.TargetStates(
        zlib.compress(data, FULL_STATE_COMPRESSION_LEVEL) if full else data, full
    )


def encode_former_versions(versions: Iterable[FormerVersion]) -> messages.TargetStates:
    """Former versions as a message without targets; a daemon of an earlier version ignores it."""
    now = asyncio.get_running_loop().time()
    rows = list(versions)
    table = messages.FormerTable(
        [item.pool for item in rows],
        [item.software_version for item in rows],
        [_encode_age(item.heard_at, now) for item in rows],
    )
    return dataclasses.replace(encode_states([]), former=codec.encode_table(table))


def _encode_age(heard_at: float, now: float) -> int:
    return min(max(0, int((now - heard_at) * 1000)), MAX_AGE_MS)


def decode_former_versions(message: messages.TargetStates) -> list[FormerVersion]:
    """Former versions from a message.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if they cannot be decoded.
    """
    if not message.former:
        return []
    now = asyncio.get_running_loop().time()
    table = codec.decode_table(message.former, messages.FormerTable)
    return [
        FormerVersion(pool, version, now - age / 1000)
        for pool, version, age in zip(
            table.pools, table.software_versions, table.age_ms, strict=True
        )
    ]


def decode_states(message: messages.TargetStates) -> list[Target]:
    """Targets from a message.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it cannot be decoded.
    """
    now = asyncio.get_running_loop().time()
    table = codec.decode_table(_decompress(message), messages.StateTable)
    rows = zip(
        table.target_ids,
        table.pools,
        table.addresses,
        table.data_halls,
        table.slots,
        (_PHASES.get(phase) for phase in table.phases),
        table.sequences,
        (now - age / 1000 for age in table.age_ms),
        (now + cold / 1000 if cold else 0.0 for cold in table.cold_ms),
        table.software_versions,
        strict=True,
    )
    # A row with a phase of a later version is skipped; the other rows count.
    return [
        Target(*row, software_version=software_version)
        for *row, software_version in rows
        if row[5] is not None
    ]


def _decompress(message: messages.TargetStates) -> bytes:
    if not message.whole:
        return message.table
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(message.table, MAX_TABLE_BYTES)
    except zlib.error as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"invalid target table: {error}")
        raise faults.FaultError(fault) from error
