"""What the keeper's storage needs of a disk, and the real disk.

Writes last only once they are synced; whatever was not may be lost or torn.
"""

import dataclasses
import os
import pathlib
from collections.abc import Callable

__all__ = ["Disk", "open_folder"]


@dataclasses.dataclass(frozen=True, slots=True)
class Disk:
    """Functions of one folder; names are plain file names, errors are `OSError`.

    Attributes
    ----------
    list_names : callable
        () gives the names of all files.
    read : callable
        (name) gives the bytes, or None if there is no such file.
    replace : callable
        (name, bytes) writes a file whole or not at all; it lasts on return.
    append : callable
        (name, bytes) adds to a file; it lasts after `sync`.
    sync : callable
        (name) makes what was appended last.
    truncate : callable
        (name, size) cuts a file; it lasts on return.
    remove : callable
        (name) removes a file.
    """

    list_names: Callable[[], list[str]]
    read: Callable[[str], bytes | None]
    replace: Callable[[str, bytes], None]
    append: Callable[[str, bytes], None]
    sync: Callable[[str], None]
    truncate: Callable[[str, int], None]
    remove: Callable[[str], None]


def open_folder(folder: pathlib.Path | str) -> Disk:
    """The disk's folder as a `Disk`; it is made if it does not exist."""
    root = pathlib.Path(folder)
    root.mkdir(parents=True, exist_ok=True)
    files: dict[str, int] = {}

    def sync_folder() -> None:
        number = os.open(root, os.O_RDONLY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def close(name: str) -> None:
        number = files.pop(name, None)
        if number is not None:
            os.close(number)

    def list_names() -> list[str]:
        return sorted(path.name for path in root.iterdir() if path.is_file())

    def read(name: str) -> bytes | None:
        try:
            return (root / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(name: str, data: bytes) -> None:
        temporary = root / f"{name}.new"
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, root / name)
        close(name)
        sync_folder()

    def open_for_append(name: str) -> int:
        number = files.get(name)
        if number is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            number = os.open(root / name, flags, 0o600)
            files[name] = number
            sync_folder()
        return number

    def append(name: str, data: bytes) -> None:
        number = open_for_append(name)
        view = memoryview(data)
        while view:
            view = view[os.write(number, view) :]

    def sync(name: str) -> None:
        os.fdatasync(open_for_append(name))

    def truncate(name: str, size: int) -> None:
        number = open_for_append(name)
        os.ftruncate(number, size)
        os.fsync(number)

    def remove(name: str) -> None:
        close(name)
        (root / name).unlink(missing_ok=True)
        sync_folder()

    return Disk(list_names, read, replace, append, sync, truncate, remove)
