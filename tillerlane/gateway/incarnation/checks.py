"""Checks that a connection leads to the known incarnation of a target before a stream uses it."""

import asyncio
import dataclasses
import weakref

from tillerlane.decisions import incarnation
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import routes
from tillerlane.gateway.http import http_client
from tillerlane.gateway.incarnation import ids as incarnations
from tillerlane.timeline import core as timelines

__all__ = ["IncarnationChecker"]

REPORT_TIMEOUT_SECONDS = 1.0
"""Half of the shortest pause after which callers give a stream up, so that another target can be
tried.  With 0.5 s, targets on hosts without free processor time were passed over."""
MAX_CALLS = 3
"""Connections that are tried: a target with too many of them resets new ones."""
CALL_RETRY_SECONDS = 0.05
MAX_SOFTWARE = 1000
"""Bound on the pools and versions whose reports are known to name a start."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    asked_at: float
    answer: incarnation.Answer


class _Reports:
    """Latest report of one address; requests for it are made one after another."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.latest: _Report | None = None


class IncarnationChecker:
    """Checks targets of one entry by their reports.

    Parameters
    ----------
    dialect : dialects.Dialect
        Reads targets' reports.
    directory : directories.Directory
        Is told of targets that have been replaced.
    timeline : timelines.Timeline
        Log of verdicts.
    metrics : entry_metrics.EntryMetrics
        Counts verdicts.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        directory: directories.Directory,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._reports: weakref.WeakValueDictionary[str, _Reports] = weakref.WeakValueDictionary()
        """By address; held by those who wait."""
        self._naming: set[tuple[str, str]] = set()
        """Pools and software versions whose reports name a start."""

    async def check(
        self, pool: routes.Pool, target: directories.Target, connected_at: float, request_id: str
    ) -> incarnation.Verdict:
        """Judge which incarnation a connection to a target was made to.

        The process that answers a later connection with the known start was running when the
        earlier one was established.

        Parameters
        ----------
        connected_at : float
            Time of the event loop at which the connection was established.
        request_id : str
            The request that is to be sent over it, for the log.
        """
        expected_ms = incarnations.parse_id(target.target_id).started_ms
        if not expected_ms or pool.engine is None:
            # Each start has an id of its own, or there are no reports.
            return incarnation.Verdict.UNNAMED
        asked_from = self._loop.time()
        report = await self._read(target.address, connected_at)
        software = pool.name, target.software_version
        verdict = incarnation.judge(
            expected_ms, report.answer, is_usually_named=software in self._naming
        )
        if verdict is incarnation.Verdict.CONFIRMED and len(self._naming) < MAX_SOFTWARE:
            self._naming.add(software)
        if verdict is incarnation.Verdict.REPLACED:
            self._directory.record_replaced(target.target_id, self._loop.time())
        self._metrics.incarnation_checks.labels(verdict.value).inc()
        self._timeline.record(
            "target.check",
            request_id=request_id,
            target=target.target_id,
            address=target.address,
            software_version=target.software_version,
            started_ms=report.answer.started_ms,
            is_usually_named=software in self._naming,
            verdict=verdict.value,
            took_ms=int((self._loop.time() - asked_from) * 1000),
        )
        return verdict

    async def _read(self, address: str, since: float) -> _Report:
        """A report that was asked for at a time or later.

        Streams that are resumed together share one: a target takes a bounded number of connections.
        """
        reports = self._reports.get(address)
        if reports is None:
            reports = self._reports[address] = _Reports()
        async with reports.lock:
            if reports.latest is None or reports.latest.asked_at < since:
                asked_at = self._loop.time()
                reports.latest = _Report(asked_at, await self._ask(address))
            return reports.latest

    async def _ask(self, address: str) -> incarnation.Answer:
        for _ in range(MAX_CALLS):
            try:
                report = await self._dialect.read_report(address, REPORT_TIMEOUT_SECONDS)
            except http_client.ExchangeError as error:
                if not error.sent or isinstance(error.__cause__, TimeoutError):
                    break
                await asyncio.sleep(CALL_RETRY_SECONDS)
                continue
            if report is None:
                return incarnation.Answer(True, is_report=False)
            return incarnation.Answer(True, report.started_ms)
        return incarnation.Answer(is_answered=False)
