"""Callers that were refused for lack of capacity, and their turns to return at any entry.

Modules: `table` is the state of one entry and its messages, `updates` a keeper's part in passing
them on.  The rules are in `tillerlane.decisions.returns`.
"""

__all__ = ["table", "updates"]
