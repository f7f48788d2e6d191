"""A keeper's disk in memory, with everything that a real one may do wrong.

Bytes that were appended and not synced are lost at a crash, or torn: a part of them stays.
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
        Decides where a torn write ends.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        """Bytes of each file that last."""
        self.syncs = 0
        self.fails_with: int | None = None
        """An errno, such as ``errno.ENOSPC``, that every write raises."""
        self._rng = rng or random.Random(0)

    def as_disk(self) -> disks.Disk:
        """The functions that a keeper's storage needs."""
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
        """Lose what was not synced; with `torn`, keep a random part of it."""
        for name in list(self.files):
            safe = self.synced.get(name, 0)
            loose = len(self.files[name]) - safe
            kept = self._rng.randint(0, loose) if torn and loose > 0 else 0
            del self.files[name][safe + kept :]
            if not self.files[name] and not safe:
                del self.files[name]

    def flip(self, name: str, position: int) -> None:
        """Damage one byte."""
        self.files[name][position] ^= 0xFF

    def wipe(self) -> None:
        """Lose everything: a new disk."""
        self.files.clear()
        self.synced.clear()

    def _check(self) -> None:
        if self.fails_with is not None:
            raise OSError(self.fails_with, errno.errorcode[self.fails_with])

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
