"""Assembly of a snapshot that the leader sends in pieces."""

from tillerlane.keeper import storage as storages
from tillerlane.peers import messages

__all__ = ["SnapshotAssembler"]


class SnapshotAssembler:
    """Assembles the pieces of one snapshot at a time."""

    def __init__(self) -> None:
        self._snapshot_key: tuple[int, int] | None = None
        """Last index and term of the snapshot being assembled."""
        self._data = bytearray()

    def add(self, piece: messages.SnapshotPiece) -> int:
        """Add a piece, and return the number of bytes assembled so far.

        A piece of another snapshot, or the first piece of any, discards the data so far.  Any other
        piece that does not continue the data is ignored.
        """
        key = (piece.last_index, piece.last_term)
        if self._snapshot_key != key or piece.offset == 0:
            self._snapshot_key, self._data = key, bytearray()
        if piece.offset == len(self._data):
            self._data += piece.data
        return len(self._data)

    def finish(self) -> storages.Snapshot:
        """Return the complete snapshot and reset the assembler."""
        assert self._snapshot_key is not None
        index, term = self._snapshot_key
        snapshot = storages.Snapshot(index, term, bytes(self._data))
        self._snapshot_key, self._data = None, bytearray()
        return snapshot
