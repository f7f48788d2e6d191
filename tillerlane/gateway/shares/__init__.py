"""Fair shares of workspaces in what a pool serves, over all entries.

An entry counts the tokens that it sent to a pool for each workspace, and those that wait for it.
While requests wait, its load reports carry these numbers; keepers add them up over all entries and
send the sums with their load digests.  ``docs/design/shares.md`` describes what happens when one of
them fails.
"""

from tillerlane.gateway.shares.counters import Shares
from tillerlane.gateway.shares.figures import WorkspaceMetrics

__all__ = ["Shares", "WorkspaceMetrics"]
