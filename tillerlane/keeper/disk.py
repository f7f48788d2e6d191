"""Disk operations used by the keeper's storage, and their implementation on a real directory.

Only synced writes are durable; any other write may be lost or torn by a crash.
"""

import dataclasses
import os
import pathlib
from collections.abc import Callable

__all__ = ["UNFINISHED_SUFFIX", "Disk", "open_folder"]

UNFINISHED_SUFFIX = ".new"
"""End of the name of a file that is written before it replaces another one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Disk:
    """Operations on one directory; names are plain file names, errors are `OSError`.

    Attributes
    ----------
    list_names : callable
        () returns the names of all files.
    read : callable
        (name) returns the content, or None if there is no such file.
    replace : callable
        (name, bytes) writes a file atomically; durable on return.
    append : callable
        (name, bytes) appends to a file; durable after `sync`.
    sync : callable
        (name) makes appended data durable.
    truncate : callable
        (name, size) truncates a file; durable on return.
    remove : callable
        (name) removes a file; durable on return.
    """

    list_names: Callable[[], list[str]]
    read: Callable[[str], bytes | None]
    replace: Callable[[str, bytes], None]
    append: Callable[[str, bytes], None]
    sync: Callable[[str], None]
    truncate: Callable[[str, int], None]
    remove: Callable[[str], None]


def open_folder(folder: pathlib.Path | str) -> Disk:
    """Open a directory as a `Disk`, and create it if it does not exist."""
    root = pathlib.Path(folder)
    root.mkdir(parents=True, exist_ok=True)
    descriptors: dict[str, int] = {}

    def sync_folder() -> None:
        descriptor = os.open(root, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(name: str) -> None:
        descriptor = descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def list_names() -> list[str]:
        return sorted(path.name for path in root.iterdir() if path.is_file())

    def read(name: str) -> bytes | None:
        try:
            return (root / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(name: str, data: bytes) -> None:
        temporary = root / f"{name}{UNFINISHED_SUFFIX}"
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, root / name)
        close(name)
        sync_folder()

    def open_for_append(name: str) -> int:
        descriptor = descriptors.get(name)
        if descriptor is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(root / name, flags, 0o600)
            descriptors[name] = descriptor
            sync_folder()
        return descriptor

    def append(name: str, data: bytes) -> None:
        descriptor = open_for_append(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(name: str) -> None:
        os.fdatasync(open_for_append(name))

    def truncate(name: str, size: int) -> None:
        descriptor = open_for_append(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def remove(name: str) -> None:
        close(name)
        (root / name).unlink(missing_ok=True)
        sync_folder()

    return Disk(list_names, read, replace, append, sync, truncate, remove)
