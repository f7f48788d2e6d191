"""A keeper's file of the software versions that have served recently.

After a loss of power everywhere nobody else knows the versions of runners that have left.  A
version that is loaded counts as one whose runners have left just now: ages in a file would need a
clock that does not jump.  The file is written when the set of versions changes, off the event loop,
and nothing waits for it: a release must not stop where a disk is full or stalls.
"""

import asyncio
import zlib
from collections.abc import Iterable

import msgspec

from tillerlane.keeper import disk as disks
from tillerlane.keeper import replica
from tillerlane.timeline import core as timelines

__all__ = ["VersionFile"]

Pair = tuple[str, str]
"""A pool and a software version."""

NAME = "versions"
CHECKSUM_BYTES = 4
MAX_BYTES = 64 * 1024
"""Bound on the file, which holds 1,000 versions with names of 30 characters each."""


class VersionFile:
    """Pools and software versions on a keeper's disk.

    Parameters
    ----------
    disk : disks.Disk
        Disk that holds the file.
    run_blocking : replica.Run
        Runs a write off the event loop.
    timeline : timelines.Timeline
        Log of failures.
    """

    def __init__(
        self, disk: disks.Disk, run_blocking: replica.Run, timeline: timelines.Timeline
    ) -> None:
        self._disk = disk
        self._run_blocking = run_blocking
        self._timeline = timeline
        self._saved: frozenset[Pair] = frozenset()
        self._wanted: frozenset[Pair] = frozenset()
        self._is_failing = False
        self._task: asyncio.Task[None] | None = None

    def load(self) -> frozenset[Pair]:
        """Load the versions; none if the file is missing, as after an update, or damaged."""
        try:
            data = self._disk.read(NAME)
            if data is not None:
                self._saved = _decode(data)
        except (OSError, ValueError) as error:
            self._timeline.record("versions.damaged", error=str(error)[:200])
        return self._saved

    def save(self, versions: Iterable[Pair]) -> None:
        """Start to save the versions unless they are saved; a write that failed is repeated."""
        self._wanted = frozenset(versions)
        if self._wanted != self._saved and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._write())

    def stop(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()

    async def _write(self) -> None:
        while self._wanted != self._saved:
            versions = self._wanted
            try:
                await self._run_blocking(self._disk.replace, NAME, _encode(versions))
            except OSError as error:
                if not self._is_failing:
                    self._timeline.record("versions.unsaved", error=str(error)[:200])
                self._is_failing = True
                return
            self._saved, self._is_failing = versions, False


def _encode(versions: Iterable[Pair]) -> bytes:
    rows: list[Pair] = []
    left = MAX_BYTES - CHECKSUM_BYTES - 2
    for row in sorted(versions, key=lambda item: (len(item[0]) + len(item[1]), item)):
        left -= len(msgspec.json.encode(row)) + 1
        if left < 0:
            break
        rows.append(row)
    payload = msgspec.json.encode(rows)
    return zlib.crc32(payload).to_bytes(CHECKSUM_BYTES) + payload


def _decode(data: bytes) -> frozenset[Pair]:
    """Decode the file; raises `ValueError` if it is damaged."""
    payload = data[CHECKSUM_BYTES:]
    if zlib.crc32(payload).to_bytes(CHECKSUM_BYTES) != data[:CHECKSUM_BYTES]:
        raise ValueError("checksum does not match")
    return frozenset(msgspec.json.decode(payload, type=list[Pair]))
