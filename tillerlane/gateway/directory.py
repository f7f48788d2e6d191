"""Targets as their own heartbeats tell of them: soft state, merged from many tellers.

Each start of a target is a new incarnation with an id of its own (`gateway.incarnations`), so a
state that says ``gone`` is final for that id, and a later sequence number always wins, whoever
tells it.  A later incarnation ends a former one of the same target, whose words are then too late.
"""

import asyncio
import dataclasses
import enum
import zlib
from collections.abc import Callable, Iterable

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import incarnations
from tillerlane.peers import codec, messages

__all__ = ["Directory", "Phase", "Target", "decode_states", "encode_states"]

RETENTION_SECONDS = 60.0
"""How long a target that is gone is remembered, so that late word does not bring it back."""
REOPENED_COLD_SECONDS = 3.0
"""How long a target of a data hall that was taken back counts as cold at an entry, which is told
that one turns cold and not that one is warm: heartbeats come each 1.2 s, at times seconds late."""
MAX_AGE_MS = 2**31
FULL_STATE_COMPRESSION_LEVEL = 1
"""Compression of all targets at once: 3,001 of them take 512 kB as structs and 56 kB so, which an
entry's link of 5 Mbit/s carries in 0.8 and 0.1 s."""
MAX_TABLE_BYTES = 8 * 1024 * 1024
"""Bound on all targets at once when they are unpacked."""
MAX_TARGETS = 20_000
"""Bound on memory; twenty times the users' target size."""


class Phase(enum.StrEnum):
    """What a target may be given."""

    READY = "ready"
    SILENT = "silent"
    """Its heartbeats have stopped; used only where nothing else is left."""
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(slots=True)
class Target:
    """One incarnation of a runner or plain service.

    Attributes
    ----------
    target_id : str
        Names this incarnation.
    pool : str
        Name of its pool.
    address : str
        ``IP:port``; another target's later.
    sequence : int
        Rises with each of its own words.
    heard_at : float
        Time of the event loop of its last own word, as far as is known here.
    warm_at : float
        Until then it works slowly after its start.
    is_superseded : bool
        Whether it has started again, so that what ran there is lost; it is gone then.
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
    """Time of the event loop of its word that it leaves, as far as is known here; 0 before."""

    @property
    def is_leaving(self) -> bool:
        """Whether it drains or is gone, so that what runs there has to go elsewhere."""
        return self.phase in (Phase.DRAINING, Phase.GONE)

    @property
    def is_winding_down(self) -> bool:
        """Whether it leaves and what runs there still goes on: it has not started again."""
        return self.is_leaving and not self.is_superseded


_FINALITY = {Phase.READY: 0, Phase.SILENT: 0, Phase.DRAINING: 1, Phase.GONE: 2}
_PHASES = {phase.value: phase for phase in Phase}
Listener = Callable[[Target, Phase | None], None]


class Directory:
    """All targets known to one daemon.

    Attributes
    ----------
    targets : dict
        Target id to `Target`.
    evacuated : frozenset of str
        Data halls whose targets get nothing new; what runs there ends in peace.
    """

    def __init__(self) -> None:
        self.targets: dict[str, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self._pools: dict[str, list[Target]] = {}
        """Targets of each pool that take work, until one of them changes."""
        self._latest: dict[str, str] = {}
        """A target's own id to the id of its latest incarnation."""
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with (target, former phase) when one is new, leaves, or turns cold."""
        self._listeners.append(listener)

    def set_evacuated(self, halls: frozenset[str], now: float) -> None:
        """Have targets of these data halls, and of no others, get nothing new.

        Those of a hall that is taken back may have turned cold meanwhile, so they count as cold
        for a while.
        """
        for target in self.targets.values():
            if target.data_hall in self.evacuated - halls:
                target.warm_at = max(target.warm_at, now + REOPENED_COLD_SECONDS)
        self.evacuated = halls
        self._pools.clear()

    def accepts_requests(self, target: Target) -> bool:
        """Whether new requests may go to a target; every way to one asks this."""
        return not target.is_leaving and target.data_hall not in self.evacuated

    def list_pool(self, pool: str) -> list[Target]:
        """Targets of a pool that may get work.

        Looking through 3,001 targets takes 1.4 ms, and each request asks: what is found is kept.
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
        """Merge one word about a target; whether anything but its time changed."""
        known = self.targets.get(report.target_id)
        if known is None:
            if not self._add(report):
                return False
            self._notify(report, None)
            return True
        known.heard_at = max(known.heard_at, report.heard_at)
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
        """Take an incarnation that was not known; False for one that is over already."""
        incarnation = incarnations.parse_id(report.target_id)
        present = self._latest.get(incarnation.name)
        if present is not None:
            if incarnation.started_ms < incarnations.parse_id(present).started_ms:
                return False
            self._end_incarnation(present)
        if len(self.targets) >= MAX_TARGETS:
            return False
        self._latest[incarnation.name] = report.target_id
        _record_leaving(report, report.heard_at)
        self.targets[report.target_id] = report
        return True

    def _end_incarnation(self, target_id: str) -> None:
        """End an incarnation whose target has started again."""
        former = self.targets.pop(target_id, None)
        if former is None:
            return
        phase, former.phase, former.is_superseded = former.phase, Phase.GONE, True
        self._notify(former, phase)

    def find(self, name: str) -> Target | None:
        """The latest incarnation of a target, by the target's own id."""
        target_id = self._latest.get(name)
        return self.targets.get(target_id) if target_id is not None else None

    def mark_gone(self, target_id: str) -> bool:
        """Take note that a target has said that it leaves now; whether that is new."""
        known = self.targets.get(target_id)
        if known is None or known.phase is Phase.GONE:
            return False
        return self.merge(dataclasses.replace(known, phase=Phase.GONE))

    def mark_leaving(self, target_id: str, now: float) -> Target | None:
        """Take note that a target has said in an answer that it leaves; gives it if that is new."""
        known = self.targets.get(target_id)
        if known is None or known.is_leaving:
            return None
        self.merge(dataclasses.replace(known, phase=Phase.DRAINING, heard_at=now))
        return known

    def list_leaving(self) -> list[Target]:
        """Targets that leave and are not gone."""
        return [item for item in self.targets.values() if item.phase is Phase.DRAINING]

    def mark_silent(self, older_than: float) -> list[Target]:
        """Mark ready targets whose last word is older than a time of the loop; gives them."""
        found = [
            item
            for item in self.targets.values()
            if item.phase is Phase.READY and item.heard_at < older_than
        ]
        for item in found:
            item.phase = Phase.SILENT
            self._notify(item, Phase.READY)
        return found

    def expire_old(self, now: float) -> None:
        """Drop targets that have been gone or silent for long."""
        for target_id, item in list(self.targets.items()):
            if item.phase is not Phase.READY and now - item.heard_at > RETENTION_SECONDS:
                del self.targets[target_id]
                self._latest.pop(incarnations.parse_id(target_id).name, None)
                self._pools.clear()

    def _notify(self, target: Target, former: Phase | None) -> None:
        self._pools.clear()
        for listener in self._listeners:
            listener(target, former)


def _record_leaving(target: Target, reported_at: float) -> None:
    if target.is_leaving and not target.leaving_at:
        target.leaving_at = reported_at


def encode_states(targets: Iterable[Target], *, full: bool = False) -> messages.TargetStates:
    """Targets as a message; ages are those of the moment of writing."""
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
        [min(max(0, int((now - item.heard_at) * 1000)), MAX_AGE_MS) for item in rows],
    )
    data = codec.encode_table(table)
    return messages.TargetStates(
        zlib.compress(data, FULL_STATE_COMPRESSION_LEVEL) if full else data, full
    )


def decode_states(message: messages.TargetStates) -> list[Target]:
    """Targets from a message.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it can't be read.
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
        strict=True,
    )
    # A phase that a later version may tell names no target to use; the other rows hold.
    return [Target(*row) for row in rows if row[5] is not None]


def _decompress(message: messages.TargetStates) -> bytes:
    if not message.whole:
        return message.table
    decompressor = zlib.decompressobj()
    try:
        return decompressor.decompress(message.table, MAX_TABLE_BYTES)
    except zlib.error as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"no table of targets: {error}")
        raise faults.FaultError(fault) from error
