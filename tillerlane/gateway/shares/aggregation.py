"""Sums of all entries' rows at a keeper, as a part of its load digests.

`loads.LoadAggregator` decides which report of an entry is the latest and when it expires; what it
replaces or drops is replaced or dropped here with it.
"""

import dataclasses

from tillerlane.gateway.shares import rows as tables

__all__ = ["WorkspaceAggregator"]

MIN_CHANGE_TOKENS = 1_000
"""Change of a row that is sent at the usual rate: less than half a prompt.  Smaller ones, such as
those by decay, wait for the next digest that is due (at most a second)."""

_EMPTY = tables.Row()


class WorkspaceAggregator:
    """Rows of all entries, as one keeper knows them."""

    def __init__(self) -> None:
        self._total: tables.Rows = {}
        self._changed: set[tables.Key] = set()
        self._sent: tables.Rows = {}

    def get(self, key: tables.Key) -> tables.Row:
        """Sum of all entries' rows."""
        return dataclasses.replace(self._total.get(key, _EMPTY))

    def replace(self, former: tables.Rows, latest: tables.Rows) -> None:
        """Replace an entry's former rows by its latest ones in the sums."""
        for key in {**former, **latest}:
            old, new = former.get(key, _EMPTY), latest.get(key, _EMPTY)
            if old == new:
                continue
            total = self._total.setdefault(key, tables.Row())
            total.add(old, -1)
            total.add(new)
            if total.is_empty:
                del self._total[key]
            self._changed.add(key)

    def build_delta(self, *, is_due: bool) -> bytes:
        """Table of the changed rows, largest changes first; empty without any.

        Small changes are left for later unless a digest is due.
        """
        if not self._changed:
            return b""
        least = 0 if is_due else MIN_CHANGE_TOKENS
        changes = [(self._compute_change(key), key) for key in self._changed]
        found = sorted((item for item in changes if item[0] >= least), reverse=True)
        picked = [(key, self.get(key)) for _, key in found[: tables.MAX_ROWS]]
        for key, row in picked:
            self._changed.discard(key)
            if row.is_empty:
                self._sent.pop(key, None)
            else:
                self._sent[key] = row
        return tables.encode_rows(picked)

    def build_full(self) -> bytes:
        """Table of all that was sent to subscribers, for one that is new or missed a digest."""
        return tables.encode_rows(self._sent.items())

    def _compute_change(self, key: tables.Key) -> int:
        return self._total.get(key, _EMPTY).compute_change(self._sent.get(key, _EMPTY))
