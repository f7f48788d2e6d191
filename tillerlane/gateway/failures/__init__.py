"""Failures of targets: recorded by the entry that sees them, and known to all entries at once.

Modules: `reports` encodes what daemons tell each other, `tracker` is the state of one entry, and
`updates` a keeper's part in passing reports on.  The rules are in `tillerlane.decisions.failing`.
"""

__all__ = ["reports", "tracker", "updates"]
