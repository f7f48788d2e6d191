"""Requests and parts of prompts under which targets exited, as one daemon knows them.

Each row states that a target exited while it had a request, or a request with a part, and whether
that still counts.  Rows are only added, marked and cleared, so daemons that receive them in any
order, by any route and more than once converge to the same table.
"""

import collections
import dataclasses
from collections.abc import Collection, Iterable

from tillerlane.decisions import quarantine
from tillerlane.peers import codec, messages

__all__ = [
    "Suspects",
    "TargetExit",
    "decode_exits",
    "encode_exits",
    "format_part_key",
    "format_record",
    "is_part",
    "parse_record",
]

MAX_REQUESTS = 10_000
"""Maximum number of keys kept.  The loss of a data hall of 250 runners leaves up to 12,000 with one
exit each, which have no consequence; so those with one exit are evicted first, oldest first."""
MAX_EXITS = 16
"""Maximum number of exits kept for a key: further ones change no decision."""
MAX_ID_CHARACTERS = 200
"""Bound on the length of a row's names; a target's id has 25."""
PART_PREFIX = "part:"
TRIALS_SEPARATOR = "#"


def format_part_key(part: str) -> str:
    """Key of a part of prompts; a request's key is its fingerprint."""
    return PART_PREFIX + part


def is_part(key: str) -> bool:
    """Whether a key is that of a part of prompts."""
    return key.startswith(PART_PREFIX)


def format_record(key: str, failed_trials: int) -> str:
    """Name under which the log keeps a key that is held back after a number of failed trials."""
    return f"{key}{TRIALS_SEPARATOR}{failed_trials}" if failed_trials else key


def parse_record(name: str) -> tuple[str, int]:
    """Key and number of failed trials in a name of the log."""
    key, _, failed_trials = name.partition(TRIALS_SEPARATOR)
    return key, int(failed_trials) if failed_trials.isdigit() else 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetExit:
    """A target that exited while it had a request.

    Attributes
    ----------
    key : str
        The request's fingerprint (`gateway.quarantine.fingerprints`), or that of a part of its
        prompt.
    target_id : str
        Identifies an incarnation of a target.
    is_cleared : bool
        Whether it no longer counts, since such a request has succeeded.
    has_begun : bool
        Whether the target had begun to answer the request.
    is_trial : bool
        Whether the request was sent as a trial.
    """

    key: str
    target_id: str
    is_cleared: bool = False
    has_begun: bool = False
    is_trial: bool = False

    def join(self, other: "TargetExit") -> "TargetExit":
        """What two rows of the same key and target state together."""
        return TargetExit(
            self.key,
            self.target_id,
            self.is_cleared or other.is_cleared,
            self.has_begun or other.has_begun,
            self.is_trial or other.is_trial,
        )


class Suspects:
    """The table of one daemon."""

    def __init__(self) -> None:
        self._single: collections.OrderedDict[str, dict[str, TargetExit]] = (
            collections.OrderedDict()
        )
        """Keys with one exit each, oldest first."""
        self._repeated: collections.OrderedDict[str, dict[str, TargetExit]] = (
            collections.OrderedDict()
        )
        self._keys_by_target: dict[str, set[str]] = {}
        self._counted: dict[str, list[TargetExit]] = {}
        """Exits that count against each key, as far as computed since the latest change."""
        self._begun_targets: dict[str, bool] = {}
        """Whether each target had begun a request that counts, computed likewise."""
        self._held_parts: dict[str, set[str]] | None = None
        """Parts that are held back, by the targets that exited under them, computed likewise."""

    def __len__(self) -> int:
        return len(self._single) + len(self._repeated)

    def _find(self, key: str) -> dict[str, TargetExit]:
        return self._repeated.get(key) or self._single.get(key) or {}

    def merge(self, exits: Iterable[TargetExit]) -> list[TargetExit]:
        """Merge received exits; returns those that changed the table."""
        return [target_exit for target_exit in exits if self._merge(target_exit)]

    def _merge(self, target_exit: TargetExit) -> bool:
        key = target_exit.key
        rows = self._find(key)
        known = rows.get(target_exit.target_id)
        joined = target_exit if known is None else known.join(target_exit)
        if joined == known:
            return False
        if known is None and len(rows) >= MAX_EXITS and not self._drop_cleared(rows):
            return False
        updated = {**rows, target_exit.target_id: joined}
        self._single.pop(key, None)
        table = self._repeated if len(updated) > 1 else self._single
        table[key] = updated
        self._keys_by_target.setdefault(target_exit.target_id, set()).add(key)
        self._evict()
        self._counted.clear()
        self._begun_targets.clear()
        self._held_parts = None
        return True

    def _drop_cleared(self, rows: dict[str, TargetExit]) -> bool:
        """Drop the oldest exit of a key that no longer counts, if there is one."""
        oldest = next((item for item in rows.values() if item.is_cleared), None)
        if oldest is None:
            return False
        del rows[oldest.target_id]
        self._forget(oldest)
        return True

    def _evict(self) -> None:
        if len(self) > MAX_REQUESTS:
            _, rows = (self._single or self._repeated).popitem(last=False)
            for target_exit in rows.values():
                self._forget(target_exit)

    def _forget(self, target_exit: TargetExit) -> None:
        keys = self._keys_by_target[target_exit.target_id]
        keys.discard(target_exit.key)
        if not keys:
            del self._keys_by_target[target_exit.target_id]

    def clear(self, key: str) -> list[TargetExit]:
        """Clear all exits so far of a request that has succeeded; returns those that changed."""
        return self.clear_exits(self._list_uncleared(key))

    def clear_exits(self, exits: Iterable[TargetExit]) -> list[TargetExit]:
        """Clear some exits; returns those that changed."""
        return self.merge(
            [dataclasses.replace(target_exit, is_cleared=True) for target_exit in exits]
        )

    def _list_uncleared(self, key: str) -> list[TargetExit]:
        return [item for item in self._find(key).values() if not item.is_cleared]

    def list_counted(self, key: str) -> list[TargetExit]:
        """Exits that count against a key.

        Of the requests at a target that exited, those that it had not begun to answer do not count
        if it had just begun another one.
        """
        counted = self._counted.get(key)
        if counted is None:
            counted = [
                item
                for item in self._list_uncleared(key)
                if item.has_begun or not self._has_begun(item.target_id)
            ]
            self._counted[key] = counted
        return counted

    def _has_begun(self, target_id: str) -> bool:
        """Whether a target had begun to answer a request that counts when it exited."""
        known = self._begun_targets.get(target_id)
        if known is None:
            rows = (self._find(key)[target_id] for key in self._keys_by_target[target_id])
            known = any(row.has_begun and not row.is_cleared for row in rows)
            self._begun_targets[target_id] = known
        return known

    def list_held_parts(self, target_id: str) -> Collection[str]:
        """Parts that are held back, of those under which a target exited."""
        if self._held_parts is None:
            self._held_parts = {}
            for key in self._repeated:
                if is_part(key) and self.is_held(key):
                    for item in self.list_counted(key):
                        self._held_parts.setdefault(item.target_id, set()).add(key)
        return self._held_parts.get(target_id, ())

    def list_keys_at(self, target_id: str) -> Collection[str]:
        """Keys of the requests that a target had when it exited."""
        return self._keys_by_target.get(target_id, ())

    def count(self, key: str) -> int:
        """Number of target exits that count against a key."""
        return len(self.list_counted(key))

    def count_failed_trials(self, key: str) -> int:
        """Number of those that were trials."""
        return sum(item.is_trial for item in self.list_counted(key))

    def is_held(self, key: str) -> bool:
        """Whether enough targets exited under a key for it to be held back."""
        exits = self.count(key)
        return exits >= quarantine.MIN_PART_EXITS if is_part(key) else quarantine.is_poison(exits)

    def list_targets(self, key: str) -> list[str]:
        """Ids of the targets whose exits count against a key, those in trials last."""
        counted = sorted(self.list_counted(key), key=lambda item: item.is_trial)
        return [item.target_id for item in counted]

    def is_cleared(self, key: str) -> bool:
        """Whether a request has succeeded after a target exited under it.

        False also where this is not known, as at a daemon that has started recently.
        """
        return any(target_exit.is_cleared for target_exit in self._find(key).values())

    def is_repeated(self, key: str) -> bool:
        """Whether more than one target has exited under a key."""
        return key in self._repeated

    def list_repeated(self) -> list[str]:
        """Keys under which more than one target has exited."""
        return list(self._repeated)

    def list_exits(self, keys: Iterable[str]) -> list[TargetExit]:
        """All exits of some keys."""
        return [target_exit for item in keys for target_exit in self._find(item).values()]

    def list_all(self) -> list[TargetExit]:
        """All exits."""
        return self.list_exits([*self._repeated, *self._single])


def encode_exits(exits: Iterable[TargetExit]) -> messages.TargetEnds:
    """Encode exits as a message."""
    rows = list(exits)
    table = messages.EndTable(
        [target_exit.key for target_exit in rows],
        [target_exit.target_id for target_exit in rows],
        [target_exit.is_cleared for target_exit in rows],
        [target_exit.has_begun for target_exit in rows],
        [target_exit.is_trial for target_exit in rows],
    )
    return messages.TargetEnds(codec.encode_table(table))


def decode_exits(message: messages.TargetEnds) -> list[TargetExit]:
    """Decode exits from a message; skips rows with empty or overlong names.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it can't be decoded.
    """
    table = codec.decode_table(message.table, messages.EndTable)
    columns = (table.fingerprints, table.target_ids, table.cleared, table.begun, table.trials)
    return [
        TargetExit(*row)
        for row in zip(*columns, strict=True)
        if 0 < len(row[0]) <= MAX_ID_CHARACTERS and 0 < len(row[1]) <= MAX_ID_CHARACTERS
    ]
