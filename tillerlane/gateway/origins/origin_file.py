"""A keeper's file of stream origins, for streams that go on after a loss of power everywhere.

Records are appended and synced once a second, off the event loop; younger ones are lost, so that
their streams are refused.  A record that names another version than the one before is written at
once, since the earlier one would be wrong.  The file is replaced by the records that have not
expired when it has doubled, and at each start.  Each frame has the time of its writing on the clock
of the process that wrote the file: a record's age counts up to the last frame, and time without
power does not count.
"""

import asyncio
import struct
import zlib
from collections.abc import Callable, Iterable

import msgspec

from tillerlane.faults import core as faults
from tillerlane.gateway.origins import table
from tillerlane.keeper import disk as disks
from tillerlane.keeper import replica
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["OriginFile"]

NAME = "origins"
MAGIC = b"TLO1"
WRITE_INTERVAL_SECONDS = 1.0
MIN_REPLACED_BYTES = 256 * 1024
"""A file of up to this size is not replaced while its keeper runs."""
MAX_PENDING_RECORDS = 20_000
"""Records that wait for a slow disk; if there are more, all known ones are written instead."""
_HEADER = struct.Struct(">II")
"""Length and checksum of a frame."""


class _Frame(msgspec.Struct):
    written_at: float
    origins: messages.StreamOrigins


class OriginFile:
    """Origins of streams on a keeper's disk.

    Parameters
    ----------
    disk : disks.Disk
        Disk that holds the file.
    run_blocking : replica.Run
        Runs a write off the event loop.
    origins : table.OriginTable
        The keeper's table, which the file is a copy of.
    now : callable
        Time of the event loop.
    timeline : timelines.Timeline
        Log of failures.
    """

    def __init__(
        self,
        disk: disks.Disk,
        run_blocking: replica.Run,
        origins: table.OriginTable,
        now: Callable[[], float],
        timeline: timelines.Timeline,
    ) -> None:
        self._disk = disk
        self._run_blocking = run_blocking
        self._table = origins
        self._now = now
        self._timeline = timeline
        self._pending: list[table.Record] = []
        self._size = 0
        self._replaced_size = 0
        """Size of the file after it was last replaced."""
        self._needs_replacing = True
        """Whether the file is of an earlier start, or its state is unknown."""
        self._is_failing = False
        self._is_due = asyncio.Event()

    def load(self) -> None:
        """Load the file into the table; what follows a damaged frame is left out."""
        try:
            frames = _read_frames(self._disk.read(NAME) or b"")
            for frame in frames:
                age_ms = int((frames[-1].written_at - frame.written_at) * 1000)
                frame.origins.left_ms = [max(0, left - age_ms) for left in frame.origins.left_ms]
                for key, origin in table.decode_origins(frame.origins):
                    self._table.add(key, origin)
        except (OSError, ValueError, OverflowError, faults.FaultError) as error:
            self._timeline.record("origins.damaged", error=str(error)[:200])

    def add(self, records: Iterable[table.Record], *, is_urgent: bool) -> None:
        """Queue records that the table has got; urgent ones are written at once."""
        self._pending.extend(records)
        if is_urgent:
            self._is_due.set()
        if len(self._pending) > MAX_PENDING_RECORDS:
            self._pending.clear()
            self._needs_replacing = True

    async def run(self) -> None:
        """Write what is queued, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(WRITE_INTERVAL_SECONDS):
                    await self._is_due.wait()
            except TimeoutError:
                pass  # the interval has ended
            self._is_due.clear()
            if not self._pending and not (self._needs_replacing and len(self._table)):
                continue
            try:
                await self._write()
                self._is_failing = False
            except OSError as error:
                self._needs_replacing = True
                if not self._is_failing:
                    self._timeline.record("origins.unsaved", error=str(error)[:200])
                self._is_failing = True

    async def _write(self) -> None:
        records, self._pending = self._pending, []
        if self._needs_replacing or self._size > max(MIN_REPLACED_BYTES, 2 * self._replaced_size):
            self._needs_replacing = False
            records = self._table.list_all()
            self._size = await self._run_blocking(self._replace, records, self._now())
            self._replaced_size = self._size
        else:
            self._size += await self._run_blocking(self._append, records, self._now())

    def _replace(self, records: list[table.Record], now: float) -> int:
        data = MAGIC + _encode(records, now)
        self._disk.replace(NAME, data)
        return len(data)

    def _append(self, records: list[table.Record], now: float) -> int:
        data = _encode(records, now)
        self._disk.append(NAME, data)
        self._disk.sync(NAME)
        return len(data)


def _encode(records: list[table.Record], now: float) -> bytes:
    data = bytearray()
    for message in table.encode_origins(records, now):
        payload = msgspec.msgpack.encode(_Frame(now, message))
        data += _HEADER.pack(len(payload), zlib.crc32(payload)) + payload
    return bytes(data)


def _read_frames(data: bytes) -> list[_Frame]:
    """Decode the frames up to the first torn one.

    Raises
    ------
    ValueError
        If the file is of another format.
    """
    frames: list[_Frame] = []
    if data and data[: len(MAGIC)] != MAGIC:
        raise ValueError("not a file of stream origins")
    position = len(MAGIC)
    while position + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, position)
        position += _HEADER.size
        payload = data[position : position + length]
        if len(payload) < length or zlib.crc32(payload) != checksum:
            break
        frames.append(msgspec.msgpack.decode(payload, type=_Frame))
        position += length
    return frames
