"""An entry's load reports to its primary keeper, and the digests of all entries' load from it."""

import asyncio
import contextlib
from collections.abc import Callable

from tillerlane.gateway import directory as directories
from tillerlane.gateway import homes, shares
from tillerlane.gateway import usage as usages
from tillerlane.gateway.backpressure import limits
from tillerlane.gateway.queue import finder
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["LoadExchange"]

URGENT_LOADS_INTERVAL_SECONDS = 0.02
"""Least interval between two load reports if a prompt was sent or read meanwhile."""
LOADS_INTERVAL_SECONDS = 0.15
"""Least interval between reports of smaller changes."""
MAX_LOADS_INTERVAL_SECONDS = 1.0
"""Longest interval between them: a third of the time for which a report counts.  Keepers count
entries by these reports."""


class LoadExchange:
    """Load reports and digests of one entry.

    Parameters
    ----------
    started_ms : int
        Time of the entry's start, which orders its reports.
    usage : usages.Usage
        Own load, and that of all other entries.
    workspace_shares : shares.Shares
        The same by workspace.
    keepers : homes.Homes
        Knows the primary keeper.
    waiting : finder.TargetFinder
        Offers memory to waiting requests once there is new load.
    directory : directories.Directory
        Expires old targets.
    named_limits : limits.Limits
        Expires those of unknown targets.
    timeline : timelines.Timeline
        Log of decisions.

    Attributes
    ----------
    has_workspaces : callable
        Whether the configuration in force has workspaces.
    """

    def __init__(
        self,
        started_ms: int,
        usage: usages.Usage,
        workspace_shares: shares.Shares,
        keepers: homes.Homes,
        waiting: finder.TargetFinder,
        directory: directories.Directory,
        named_limits: limits.Limits,
        timeline: timelines.Timeline,
    ) -> None:
        self._started_ms = started_ms
        self._usage = usage
        self._shares = workspace_shares
        self._homes = keepers
        self._finder = waiting
        self._directory = directory
        self._limits = named_limits
        self._timeline = timeline
        self._loop = asyncio.get_running_loop()
        self.has_workspaces: Callable[[], bool] = lambda: False

    def estimate_waiting_elsewhere(self, pool: str, own_tokens: int) -> float:
        """Tokens that wait for a pool at all other entries, given those that wait here.

        Waiting requests are reported by workspace.  Without workspaces or reports, callers are
        taken to be spread evenly over the entries.
        """
        now = self._loop.time()
        if not self.has_workspaces() or self._usage.compute_age(now) is None:
            return self._usage.assume_equal_entries(own_tokens)
        return max(0.0, self._shares.compute_waiting_tokens(pool, now) - own_tokens)

    def handle_digest(self, link: links.Link, digest: messages.LoadDigest) -> None:
        """Merge a load digest, if it comes from the primary keeper."""
        if not self._homes.accept_loads(link):
            return  # sent before the primary changed; sequences of two keepers do not match
        taken = self._usage.handle_digest(digest, self._loop.time())
        if taken is usages.DigestResult.GAP:
            self._timeline.record("loads.gap", keeper=digest.keeper, sequence=digest.sequence)
            self._homes.request_full_loads()
        if taken is not usages.DigestResult.APPLIED:
            return
        self._shares.handle_digest(digest, self._loop.time())
        self._finder.notify()
        if digest.whole:
            self._timeline.record("loads.whole", keeper=digest.keeper, sequence=digest.sequence)

    async def run(self) -> None:
        """Report load to the primary keeper: on change, regularly, and when that keeper is new."""
        reported_at, reported_to = 0.0, None
        while True:
            await self._wait_for_loads()
            now = self._loop.time()
            self._directory.expire_old(now)
            self._limits.expire_unknown(self._directory.targets, now)
            if self._usage.expire_others(now):
                self._shares.discard_others()
                self._timeline.record("loads.lost", after_s=usages.DIGEST_TTL_SECONDS)
            self._log_shares(now)
            link = self._homes.get_primary()
            is_due = link is not reported_to or now - reported_at > MAX_LOADS_INTERVAL_SECONDS
            if link is None or not (self._usage.changed or self._shares.changed or is_due):
                continue
            reported_at, reported_to = now, link
            report = self._usage.build_report(self._started_ms, now)
            report.workspaces = self._shares.build_report(report.sequence, now)
            links.try_send(link, report)

    def _log_shares(self, now: float) -> None:
        """Log whose requests wait, and which workspaces are in debt; once a second at most."""
        for state in self._shares.list_contended(now):
            self._timeline.record(
                "share.debts",
                pool=state.pool,
                waiting=state.waiting,
                debts=state.debts,
                load_age_ms=self._usage.compute_age_ms(now),
            )

    async def _wait_for_loads(self) -> None:
        """Wait until the next load report may be sent."""
        await asyncio.sleep(URGENT_LOADS_INTERVAL_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOADS_INTERVAL_SECONDS - URGENT_LOADS_INTERVAL_SECONDS):
                await self._usage.urgent.wait()
