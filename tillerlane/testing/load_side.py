"""An entry's part in load reports, as `gateway.entry` plays it, without a network."""

from tillerlane.gateway import shares
from tillerlane.gateway import usage as usages
from tillerlane.peers import messages

__all__ = ["LoadSide"]


class LoadSide:
    """Load and shares of one entry.

    Parameters
    ----------
    name : str
        The entry's id.
    started_ms : int
        Time of its start, which orders its reports.
    """

    def __init__(self, name: str, started_ms: int = 1) -> None:
        self.name = name
        self.usage = usages.Usage(name)
        self.shares = shares.Shares()
        self.shares.notify_urgent = self.usage.urgent.set
        self._started_ms = started_ms

    def build_report(self, now: float) -> messages.EntryLoads:
        """The entry's load report."""
        report = self.usage.build_report(self._started_ms, now)
        report.workspaces = self.shares.build_report(report.sequence, now)
        return report

    def handle_digest(self, digest: messages.LoadDigest, now: float) -> usages.DigestResult:
        """Handle a keeper's digest."""
        result = self.usage.handle_digest(digest, now)
        if result is usages.DigestResult.APPLIED:
            self.shares.handle_digest(digest, now)
        return result
