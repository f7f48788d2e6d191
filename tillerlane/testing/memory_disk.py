"""An in-memory disk for a keeper, which simulates the failures of a real one.

In a crash, bytes that were appended but not synced are lost, completely or in part (a torn write).
"""

import errno
import random

from tillerlane.keeper import disk as disks

__all__ = ["MemoryDisk"]


class MemoryDisk:
    """Files in memory.

    Parameters
    ----------
    rng : random.Random
        Determines where a torn write ends.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        """Number of bytes of each file that are synced."""
        self.syncs = 0
        self.errno_on_write: int | None = None
        """Error number, such as ``errno.ENOSPC``, with which every write fails."""
        self._rng = rng or random.Random(0)

    def as_disk(self) -> disks.Disk:
        """Return the functions that a keeper's storage needs."""
        return disks.Disk(
            self._list_names,
            self._read,
            self._replace,
            self._append,
            self._sync,
            self._truncate,
            self._remove,
        )

    def crash(self, *, torn: bool = False) -> None:
        """Discard unsynced bytes; with `torn`, keep a random part of them."""
        for name in list(self.files):
            synced_bytes = self.synced.get(name, 0)
            unsynced = len(self.files[name]) - synced_bytes
            kept = self._rng.randint(0, unsynced) if torn and unsynced > 0 else 0
            del self.files[name][synced_bytes + kept :]
            if not self.files[name] and not synced_bytes:
                del self.files[name]

    def corrupt_byte(self, name: str, position: int) -> None:
        """Flip all bits of one byte."""
        self.files[name][position] ^= 0xFF

    def wipe(self) -> None:
        """Delete all files, as if the disk had been replaced."""
        self.files.clear()
        self.synced.clear()

    def _check(self) -> None:
        if self.errno_on_write is not None:
            raise OSError(self.errno_on_write, errno.errorcode[self.errno_on_write])

    def _list_names(self) -> list[str]:
        return sorted(self.files)

    def _read(self, name: str) -> bytes | None:
        data = self.files.get(name)
        return bytes(data) if data is not None else None

    def _replace(self, name: str, data: bytes) -> None:
        self._check()
        self.files[name] = bytearray(data)
        self.synced[name] = len(data)

    def _append(self, name: str, data: bytes) -> None:
        self._check()
        self.files.setdefault(name, bytearray()).extend(data)
        self.synced.setdefault(name, 0)

    def _sync(self, name: str) -> None:
        self._check()
        self.syncs += 1
        self.synced[name] = len(self.files[name])

    def _truncate(self, name: str, size: int) -> None:
        self._check()
        del self.files[name][size:]
        self.synced[name] = min(self.synced.get(name, 0), size)
        self.synced[name] = len(self.files[name])

    def _remove(self, name: str) -> None:
        self._check()
        self.files.pop(name, None)
        self.synced.pop(name, None)
