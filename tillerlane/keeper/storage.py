"""Durable state of a keeper: identity, vote, log segments and snapshots, all with checksums.

Files
-----
``identity``
    Id of the disk, which identifies the keeper rather than its name.
``vote``
    Term and vote.
``log-N``
    Entries from index N on.  A record consists of length, checksum, kind, term, index and payload.
    A record of kind "cut" discards all entries from its index on.
``snapshot``
    Index and term of an entry, and the state after it.

Any other file is left alone, but for those that a crash left while a file was being replaced, which
are removed.  A torn last record is truncated.  A bad record followed by good ones means that the
disk lost synced data; the keeper then refuses to start.
"""

import dataclasses
import re
import secrets
import struct
import zlib
from collections.abc import Callable

import msgspec
import structlog

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import disk as disks
from tillerlane.peers import messages

__all__ = ["Snapshot", "Storage"]

FORMAT = 1
_HEADER = struct.Struct(">4sI")
_MAGIC_LOG = b"TLLG"
_MAGIC_SNAPSHOT = b"TLSN"
_RECORD = struct.Struct(">II")
_RECORD_BODY = struct.Struct(">BQQ")
_KIND_ENTRY = 1
_KIND_CUT = 2
_MAX_RECORD_BYTES = 64 * 1024 * 1024
_IDENTITY = "identity"
_VOTE = "vote"
_SNAPSHOT = "snapshot"
_LOG_PREFIX = "log-"
_LOG_NAME = re.compile(r"log-[0-9]{1,20}")


class _Identity(msgspec.Struct):
    keeper: str
    disk_id: str
    format: int


class _Vote(msgspec.Struct):
    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State after the entry at `last_index`, which is of term `last_term`."""

    last_index: int
    last_term: int
    data: bytes


def _add_checksum(payload: bytes) -> bytes:
    return struct.pack(">I", zlib.crc32(payload)) + payload


def _build_damaged(name: str, reason: str) -> faults.FaultError:
    message = f"{name}: {reason}; the keeper's disk has lost data that it had synced"
    return faults.FaultError(faults.new_fault(kinds.ErrorKind.DISK_FAILED, message))


def _verify_checksum(name: str, data: bytes) -> bytes:
    if len(data) < 4 or struct.unpack(">I", data[:4])[0] != zlib.crc32(data[4:]):
        raise _build_damaged(name, "checksum does not match")
    return data[4:]


def _encode_record(kind: int, term: int, index: int, payload: bytes) -> bytes:
    body = _RECORD_BODY.pack(kind, term, index) + payload
    return _RECORD.pack(len(body), zlib.crc32(body)) + body


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    kind: int
    term: int
    index: int
    payload: bytes
    end: int
    """File position of the end of the record."""


def _decode_record(data: bytes, position: int) -> _Record | None:
    """Decode the record at a position; None if there is no good one."""
    if position + _RECORD.size > len(data):
        return None
    length, checksum = _RECORD.unpack_from(data, position)
    begin = position + _RECORD.size
    end = begin + length
    if not _RECORD_BODY.size <= length <= _MAX_RECORD_BYTES or end > len(data):
        return None
    body = data[begin:end]
    if zlib.crc32(body) != checksum:
        return None
    kind, term, index = _RECORD_BODY.unpack_from(body)
    return _Record(kind, term, index, body[_RECORD_BODY.size :], end)


def _has_good_record_after(data: bytes, position: int) -> bool:
    """Whether any good record starts after `position`, where there is a bad one."""
    return any(_decode_record(data, start) is not None for start in range(position + 1, len(data)))


class Storage:
    """Durable state of one keeper; methods that write block until the data is durable.

    Parameters
    ----------
    disk : disks.Disk
        Disk that holds the files.
    keeper : str
        The keeper's daemon id.

    Raises
    ------
    faults.FaultError
        Of kind ``disk_failed`` if the disk can't be read, is damaged, or belongs to another keeper.
    """

    def __init__(self, disk: disks.Disk, keeper: str) -> None:
        self._disk = disk
        self.term = 0
        self.voted_for = ""
        self.entries: list[messages.LogEntry] = []
        self.snapshot = Snapshot(0, 0, b"")
        self.is_failed = False
        self.truncated_bytes = 0
        """Bytes of a torn last record that were truncated when the log was loaded."""
        try:
            self._remove_unfinished()
            self.disk_id = self._load_identity(keeper)
            self._load_vote()
            self._load_snapshot()
            self._segment = self._load_log()
        except OSError as error:
            raise _build_failed("cannot be read", error) from error

    # Reading

    def _remove_unfinished(self) -> None:
        """Remove what a crash left of files that were being replaced; it was not in force yet."""
        for name in self._disk.list_names():
            if name.endswith(disks.UNFINISHED_SUFFIX):
                self._disk.remove(name)
                structlog.get_logger().warning("disk.unfinished", name=name)

    def _load_identity(self, keeper: str) -> str:
        data = self._disk.read(_IDENTITY)
        if data is None:
            if self._list_segments():
                raise _build_damaged(_IDENTITY, "is missing beside a log")
            identity = _Identity(keeper, secrets.token_hex(8), FORMAT)
            self._disk.replace(_IDENTITY, _add_checksum(msgspec.json.encode(identity)))
            return identity.disk_id
        identity = msgspec.json.decode(_verify_checksum(_IDENTITY, data), type=_Identity)
        if (identity.keeper, identity.format) != (keeper, FORMAT):
            message = (
                f"the data folder is of keeper {identity.keeper!r}, format {identity.format}; "
                f"expected {keeper!r}, format {FORMAT}"
            )
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.DISK_FAILED, message))
        return identity.disk_id

    def _load_vote(self) -> None:
        data = self._disk.read(_VOTE)
        if data is not None:
            vote = msgspec.json.decode(_verify_checksum(_VOTE, data), type=_Vote)
            self.term, self.voted_for = vote.term, vote.voted_for

    def _load_snapshot(self) -> None:
        data = self._disk.read(_SNAPSHOT)
        if data is None:
            return
        if len(data) < _HEADER.size:
            raise _build_damaged(_SNAPSHOT, "header is torn")
        magic, version = _HEADER.unpack_from(data)
        if (magic, version) != (_MAGIC_SNAPSHOT, FORMAT):
            raise _build_damaged(_SNAPSHOT, f"got {magic!r} format {version}")
        payload = _verify_checksum(_SNAPSHOT, data[_HEADER.size :])
        index, term = struct.unpack_from(">QQ", payload)
        self.snapshot = Snapshot(index, term, payload[16:])

    def _list_segments(self) -> list[str]:
        """Names of the log's segments, in order."""
        names = [name for name in self._disk.list_names() if _LOG_NAME.fullmatch(name)]
        return sorted(names, key=lambda name: int(name.removeprefix(_LOG_PREFIX)))

    def _load_log(self) -> str:
        """Load all segments in order, and return the name of the last."""
        names = self._list_segments()
        for position, name in enumerate(names):
            self._load_segment(name, is_last=position == len(names) - 1)
        if names:
            # A process that was killed may have written records without syncing them.
            self._disk.sync(names[-1])
            return names[-1]
        return self._open_segment(self.snapshot.last_index + 1)

    def _load_segment(self, name: str, *, is_last: bool) -> None:
        data = self._disk.read(name) or b""
        if len(data) < _HEADER.size:
            if not is_last:
                raise _build_damaged(name, "header is torn")
            self._disk.truncate(name, 0)
            self._disk.append(name, _HEADER.pack(_MAGIC_LOG, FORMAT))
            self._disk.sync(name)
            return
        magic, version = _HEADER.unpack_from(data)
        if (magic, version) != (_MAGIC_LOG, FORMAT):
            raise _build_damaged(name, f"got {magic!r} format {version}")
        position = _HEADER.size
        while position < len(data):
            record = _decode_record(data, position)
            if record is None:
                if not is_last or _has_good_record_after(data, position):
                    raise _build_damaged(name, f"bad record at byte {position}")
                self.truncated_bytes = len(data) - position
                self._disk.truncate(name, position)
                return
            self._apply_record(name, record)
            position = record.end

    def _apply_record(self, name: str, record: _Record) -> None:
        if record.kind == _KIND_CUT:
            self._discard_from(record.index)
            return
        if record.index <= self.snapshot.last_index:
            return
        if self.get_term(record.index) == record.term:
            return  # a crash left both the old segment and the one after the snapshot
        if record.index != self.last_index + 1:
            raise _build_damaged(name, f"got entry {record.index}, expected {self.last_index + 1}")
        self.entries.append(messages.LogEntry(record.term, record.index, record.payload))

    # The log in memory

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.last_term

    @property
    def is_fresh(self) -> bool:
        """Whether the disk has never held an entry."""
        return self.last_index == 0

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry; None if the entry is not held."""
        if index == self.snapshot.last_index:
            return self.snapshot.last_term
        position = index - self.snapshot.last_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def get_entries(self, begin: int, limit: int, max_bytes: int) -> list[messages.LogEntry]:
        """Return entries from index `begin` on.

        At most `limit` entries, and `max_bytes` of commands unless the first one is larger.
        """
        position = begin - self.snapshot.last_index - 1
        chosen: list[messages.LogEntry] = []
        size = 0
        for entry in self.entries[position : position + limit]:
            size += len(entry.command)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def _discard_from(self, index: int) -> None:
        del self.entries[max(0, index - self.snapshot.last_index - 1) :]

    # Writing

    def save_vote(self, term: int, voted_for: str) -> None:
        """Save the term and the vote."""
        vote = _add_checksum(msgspec.json.encode(_Vote(term, voted_for)))
        self._write(lambda: self._disk.replace(_VOTE, vote))
        self.term, self.voted_for = term, voted_for

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries with one sync; a conflicting entry discards those from its index on."""
        records = bytearray()
        fresh: list[messages.LogEntry] = []
        for entry in entries:
            known = self.get_term(entry.index)
            if not fresh and (known == entry.term or entry.index <= self.snapshot.last_index):
                continue
            if not fresh and known is not None:
                records += _encode_record(_KIND_CUT, entry.term, entry.index, b"")
            records += _encode_record(_KIND_ENTRY, entry.term, entry.index, entry.command)
            fresh.append(entry)
        if not fresh:
            return
        self._write(lambda: self._append_synced(bytes(records)))
        self._discard_from(fresh[0].index)
        self.entries.extend(fresh)

    def _append_synced(self, data: bytes) -> None:
        self._disk.append(self._segment, data)
        self._disk.sync(self._segment)

    def _open_segment(self, first_index: int) -> str:
        name = f"{_LOG_PREFIX}{first_index}"
        self._disk.append(name, _HEADER.pack(_MAGIC_LOG, FORMAT))
        self._disk.sync(name)
        return name

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Save a snapshot, then remove the log entries that it covers."""
        if snapshot.last_index <= self.snapshot.last_index:
            return
        self._write(lambda: self._write_snapshot(snapshot))

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        payload = struct.pack(">QQ", snapshot.last_index, snapshot.last_term) + snapshot.data
        data = _HEADER.pack(_MAGIC_SNAPSHOT, FORMAT) + _add_checksum(payload)
        self._disk.replace(_SNAPSHOT, data)
        kept: list[messages.LogEntry] = []
        if self.get_term(snapshot.last_index) == snapshot.last_term:
            kept = self.entries[snapshot.last_index - self.snapshot.last_index :]
        old = self._list_segments()
        segment = self._open_segment_after(snapshot, kept)
        for name in old:
            if name != segment:
                self._disk.remove(name)
        self.snapshot = snapshot
        self.entries = kept
        self._segment = segment

    def _open_segment_after(self, snapshot: Snapshot, kept: list[messages.LogEntry]) -> str:
        """Write a new segment with the entries after the snapshot."""
        name = f"{_LOG_PREFIX}{snapshot.last_index + 1}"
        records = b"".join(
            _encode_record(_KIND_ENTRY, entry.term, entry.index, entry.command) for entry in kept
        )
        self._disk.replace(name, _HEADER.pack(_MAGIC_LOG, FORMAT) + records)
        return name

    def _write(self, work: Callable[[], None]) -> None:
        """Run a write; once one has failed, all others fail, since the files' state is unknown."""
        if self.is_failed:
            raise _build_failed("cannot be written", OSError(0, "an earlier write failed"))
        try:
            work()
        except OSError as error:
            self.is_failed = True
            raise _build_failed("cannot be written", error) from error


def _build_failed(what: str, error: OSError) -> faults.FaultError:
    message = f"the data folder {what}: {error.strerror or error}"
    return faults.FaultError(faults.new_fault(kinds.ErrorKind.DISK_FAILED, message))
