"""A snapshot that arrives from the leader in pieces."""

from tillerlane.keeper import storage as storages
from tillerlane.peers import messages

__all__ = ["SnapshotAssembler"]


class SnapshotAssembler:
    """Gathers the pieces of one snapshot at a time."""

    def __init__(self) -> None:
        self._mark: tuple[int, int] | None = None
        """Last index and term of the snapshot that is arriving."""
        self._data = bytearray()

    def add(self, piece: messages.SnapshotPiece) -> int:
        """Take a piece; gives how many bytes are there.  One that does not follow is passed over.

        A piece of another snapshot, or a first one, begins anew.
        """
        mark = (piece.last_index, piece.last_term)
        if self._mark != mark or piece.offset == 0:
            self._mark, self._data = mark, bytearray()
        if piece.offset == len(self._data):
            self._data += piece.data
        return len(self._data)

    def finish(self) -> storages.Snapshot:
        """Give the whole snapshot and be empty again."""
        assert self._mark is not None
        index, term = self._mark
        snapshot = storages.Snapshot(index, term, bytes(self._data))
        self._mark, self._data = None, bytearray()
        return snapshot
