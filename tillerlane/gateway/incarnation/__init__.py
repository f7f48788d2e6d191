"""Incarnations of targets: each start of a target is one of its own.

`ids` builds and parses their ids, and `checks` finds out which of them a connection leads to.
"""

__all__ = ["checks", "ids"]
