"""Finds responses that a connection does not deliver, silent or closed, by asking their targets."""

import asyncio
import contextlib
import functools
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from tillerlane.decisions import delivery
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import runs
from tillerlane.gateway.http import http_client
from tillerlane.gateway.incarnation import ids as incarnations
from tillerlane.timeline import core as timelines

__all__ = ["DeliveryWatch", "SilentConnection", "UnconfirmedEnd", "Unreachable"]

CHECK_INTERVAL_SECONDS = 0.7
"""Pause after which a runner is asked for its report: four times the longest pause that meets the
objective (180 ms), so that healthy streams cause no checks."""
ARRIVAL_SECONDS = 0.5
"""Longest time that an event is on its way: several retransmissions over a link that loses
packets."""
REPORT_TIMEOUT_SECONDS = 0.5
MAX_REPORT_AGE_SECONDS = 0.25
"""Age up to which streams of one runner share a report."""
PRESENCE_TIMEOUT_SECONDS = 0.25
"""Longest wait for a target to answer after it has closed the connection of a response.  A plain
service may answer only once it has a free slot."""
MAX_PRESENCE_CHECKS = 3
"""Connections that are tried: a target with too many of them resets new ones."""
PRESENCE_RETRY_SECONDS = 0.05
EXIT_SECONDS = 0.5
"""How long a process that shuts down may answer after it has closed the connections of its streams.
By then the last event of a stream has been sent to its caller, who does not wait for anything."""

_Received = TypeVar("_Received")


class SilentConnection(http_client.ExchangeError):
    """A connection carries nothing more, although its runner has sent something."""


class Unreachable(http_client.ExchangeError):
    """A runner sends nothing and accepts no connection; whether the run goes on is unknown."""


class UnconfirmedEnd(http_client.ExchangeError):
    """A connection was closed regularly, and nothing shows that the response is complete."""


class DeliveryWatch:
    """Watches the responses that one entry waits for.

    Parameters
    ----------
    dialect : dialects.Dialect
        Reads runners' reports, and calls other targets.
    timeline : timelines.Timeline
        Log of results.
    metrics : entry_metrics.EntryMetrics
        Counts results.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._dialect = dialect
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._reports: dict[str, asyncio.Task[delivery.RunnerReport | None]] = {}
        """Recent reports by address."""

    async def read(
        self,
        exchange: http_client.Exchange,
        read: Callable[[], Coroutine[Any, Any, _Received]],
        run: runs.Run,
        received: int,
        *,
        has_begun: bool,
        first_check_seconds: float = CHECK_INTERVAL_SECONDS,
    ) -> _Received:
        """Await the next part of a response while its connection delivers.

        A pause alone ends nothing: a preempted run continues on its runner later.

        Parameters
        ----------
        exchange : http_client.Exchange
            The exchange that the response arrives on.
        read : callable
            Coroutine function that waits for the part; it may be cancelled and called again.
        run : runs.Run
            The run that the response comes from.
        received : int
            Number of the last event that has arrived, from any runner of the run; 0 if none has.
        has_begun : bool
            Whether any event has arrived from this runner.
        first_check_seconds : float
            Pause before the first check.

        Raises
        ------
        SilentConnection
            If the runner has sent something that does not arrive.
        Unreachable
            If the runner accepts no connection.
        """
        pause = first_check_seconds
        overdue_since: float | None = None
        is_resumed = received > 0 and not has_begun
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    return await read()
            report = await self._inspect(run)
            if is_resumed and report is not None:
                # The memory that the run is resumed from may hold events that had not arrived.
                received = max(received, report.events.get(run.request_id, 0))
                is_resumed = False
            is_overdue = report is not None and delivery.is_overdue(
                report, run.request_id, received, has_begun=has_begun
            )
            if report is None or not is_overdue:
                pause, overdue_since = CHECK_INTERVAL_SECONDS, None
            elif overdue_since != exchange.quiet_since:
                pause, overdue_since = ARRIVAL_SECONDS, exchange.quiet_since
            else:
                self._record_silence(run, report, received, has_begun=has_begun)
                raise SilentConnection("connection delivers nothing", sent=True)

    async def confirm_end(self, run: runs.Run, received: int | None) -> None:
        """Confirm with its target that a response has ended, of which only the connection says so.

        Parameters
        ----------
        run : runs.Run
            The run, or plain request, that the response came from.
        received : int or None
            Number of the last event that has arrived, from any runner of the run; None for a
            response that is no stream.

        Raises
        ------
        UnconfirmedEnd
            If the target's process has ended, cannot be reached, or has made more.
        """
        presence, report = await self._find_presence(run)
        if received is not None and presence.is_present and not run.target.is_leaving:
            await asyncio.sleep(EXIT_SECONDS)
            later, _ = await self._find_presence(run)
            # A runner that leaves may exit as soon as its last stream is complete.
            presence = presence if run.target.is_leaving else later
        is_complete = delivery.is_complete_after_close(presence, report, run.request_id, received)
        made = report.events.get(run.request_id) if report is not None else None
        self._metrics.closed_responses.labels(presence.value).inc()
        self._timeline.record(
            "response.closed",
            request_id=run.request_id,
            target=run.target.target_id,
            address=run.target.address,
            presence=presence.value,
            received=received,
            made=made,
            complete=is_complete,
        )
        if not is_complete:
            reason = f"connection closed, target's process: {presence.value}, events made: {made}"
            raise UnconfirmedEnd(reason, sent=True)

    async def _find_presence(
        self, run: runs.Run
    ) -> tuple[delivery.Presence, delivery.RunnerReport | None]:
        """Whether a target's process is there now, and a runner's report."""
        target = run.target
        for _ in range(MAX_PRESENCE_CHECKS):
            if target.is_superseded:
                break
            try:
                return await self._ask_process(run)
            except http_client.ExchangeError as error:
                presence = _classify_failure(error)
            if presence is not delivery.Presence.UNKNOWN:
                return presence, None
            await asyncio.sleep(PRESENCE_RETRY_SECONDS)
        is_gone = target.is_superseded
        return delivery.Presence.ENDED if is_gone else delivery.Presence.UNKNOWN, None

    async def _ask_process(
        self, run: runs.Run
    ) -> tuple[delivery.Presence, delivery.RunnerReport | None]:
        """Ask the process at a target's address which one it is, and a runner for its report."""
        target, report = run.target, None
        if run.pool.engine is not None:
            report = await self._dialect.read_report(target.address, PRESENCE_TIMEOUT_SECONDS)
        started_ms = incarnations.parse_id(target.target_id).started_ms
        if report is not None and started_ms and report.started_ms:
            is_same = report.started_ms == started_ms
        else:
            is_same = await self._dialect.check_target(
                target.address, run.pool.health_path, target.target_id, PRESENCE_TIMEOUT_SECONDS
            )
        return delivery.Presence.ANSWERS if is_same else delivery.Presence.ENDED, report

    async def _inspect(self, run: runs.Run) -> delivery.RunnerReport | None:
        """Report of a run's runner; None if it is reachable and gives none.

        Raises
        ------
        Unreachable
            If it accepts no connection.
        """
        address = run.target.address
        if run.pool.engine is None:
            if not await http_client.is_reachable(address):
                raise Unreachable("silent and out of reach", sent=True)
            return None
        task = self._reports.get(address)
        if task is None:
            task = self._loop.create_task(
                self._dialect.read_report(address, REPORT_TIMEOUT_SECONDS)
            )
            self._reports[address] = task
            task.add_done_callback(functools.partial(self._handle_report, address))
        try:
            return await asyncio.shield(task)
        except http_client.ExchangeError as error:
            if error.sent:
                return None
            raise Unreachable("silent and out of reach", sent=True) from error

    def _handle_report(
        self, address: str, task: "asyncio.Task[delivery.RunnerReport | None]"
    ) -> None:
        """Share a report for a while, whether or not anybody still waits for it."""
        if not task.cancelled():
            task.exception()  # retrieved, as those who waited may have left
        self._loop.call_later(MAX_REPORT_AGE_SECONDS, self._reports.pop, address)

    def _record_silence(
        self, run: runs.Run, report: delivery.RunnerReport, received: int, *, has_begun: bool
    ) -> None:
        self._metrics.silent_connections.labels("events" if has_begun else "begin").inc()
        self._timeline.record(
            "connection.silent",
            request_id=run.request_id,
            target=run.target.target_id,
            address=run.target.address,
            received=received,
            made=report.events.get(run.request_id),
        )


def _classify_failure(error: http_client.ExchangeError) -> delivery.Presence:
    """What a call without an answer shows of a target's process."""
    if not error.sent and isinstance(error.__cause__, ConnectionRefusedError):
        return delivery.Presence.ENDED
    if error.sent and isinstance(error.__cause__, TimeoutError):
        return delivery.Presence.ACCEPTS
    return delivery.Presence.UNKNOWN
