"""Finds out which streams the later incarnation of a restarted target serves.

Until the first heartbeat after a restart, entries send new streams to the target's address as to
its former incarnation.  Which incarnation serves such a stream, and so which software version began
it, follows from the later one's report: it lists the runs that it works on.
"""

import asyncio
import collections

from tillerlane.decisions import incarnation
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import exchanges, runs
from tillerlane.gateway.http import http_client
from tillerlane.gateway.incarnation import ids as incarnations
from tillerlane.gateway.origins import recorder
from tillerlane.gateway.streaming import stream_relay
from tillerlane.timeline import core as timelines

__all__ = ["RestartedTargets"]

REPORT_TIMEOUT_SECONDS = 0.5
REPORT_INTERVAL_SECONDS = 0.3
"""Pause between reports, which may be some hundred milliseconds old."""


class RestartedTargets:
    """Assigns the streams of one entry to the incarnations that serve them.

    Parameters
    ----------
    dialect : dialects.Dialect
        Reads targets' reports.
    directory : directories.Directory
        Notifies of targets that have restarted.
    mover : runs.Mover
        Holds the runs by target.
    origins : recorder.OriginRecorder
        Records which software version began a stream.
    timeline : timelines.Timeline
        Log of results.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        directory: directories.Directory,
        mover: runs.Mover,
        origins: recorder.OriginRecorder,
        timeline: timelines.Timeline,
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._mover = mover
        self._origins = origins
        self._timeline = timeline
        self._loop = asyncio.get_running_loop()
        self._streams: dict[str, set[stream_relay.StreamRelay]] = collections.defaultdict(set)
        """Streams by the name of their target."""
        self._tasks: dict[stream_relay.StreamRelay, asyncio.Task[None]] = {}
        directory.add_listener(self._handle_change)

    def add(self, stream: stream_relay.StreamRelay) -> None:
        """Register a stream; its target may have restarted while its request was on its way."""
        target = stream.run.target
        name = incarnations.parse_id(target.target_id).name
        self._streams[name].add(stream)
        self._mark_unknown(stream, target)
        later = self._directory.find(name)
        if later is not None:
            self._start(stream, later)

    def remove(self, stream: stream_relay.StreamRelay) -> None:
        """Unregister a stream that its target serves no more."""
        name = incarnations.parse_id(stream.run.target.target_id).name
        streams = self._streams.get(name)
        if streams is not None:
            streams.discard(stream)
            if not streams:
                del self._streams[name]
        task = self._tasks.pop(stream, None)
        if task is not None:
            task.cancel()

    def _mark_unknown(self, stream: stream_relay.StreamRelay, target: directories.Target) -> None:
        """Mark a stream that either incarnation may serve, until the later one's heartbeat."""
        last_heard_at = target.heard_at - exchanges.HEARTBEAT_AGE_MARGIN_SECONDS
        if not target.is_replaced or stream.run.target is not target or stream.exchange is None:
            return
        if stream.exchange.connected_at >= last_heard_at and stream.exchange.is_awaited:
            stream.is_version_unknown = True
            self._record_origin(stream, target.drop_version())

    def _handle_change(self, target: directories.Target, former: directories.Phase | None) -> None:
        handle = self._start if former is None else self._mark_unknown
        name = incarnations.parse_id(target.target_id).name
        for stream in list(self._streams.get(name, ())):
            handle(stream, target)

    def _start(self, stream: stream_relay.StreamRelay, later: directories.Target) -> None:
        """Start to find out whether the later incarnation of a stream's target serves it.

        Streams of the former incarnation that are known as such have failed already.
        """
        former, exchange = stream.run.target, stream.exchange
        if not former.is_superseded or exchange is None or not exchange.is_awaited:
            return
        if later.address != former.address:
            return
        if later.software_version != former.software_version:
            stream.is_version_unknown = True
            self._mover.cancel_move(stream.run)
            self._mover.discard_backup(stream.run)
        previous = self._tasks.pop(stream, None)
        if previous is not None:
            previous.cancel()
        self._tasks[stream] = self._loop.create_task(self._resolve(stream, exchange, later))

    async def _resolve(
        self,
        stream: stream_relay.StreamRelay,
        exchange: http_client.Exchange,
        later: directories.Target,
    ) -> None:
        """Ask the later incarnation until it lists the stream's run, or the stream ends."""
        started_at, reports = self._loop.time(), 0
        while exchange.is_awaited:
            report = await self._read_report(later)
            reports += 1
            is_served = report is not None and incarnation.is_served_by(
                report, incarnations.parse_id(later.target_id).started_ms, stream.run.request_id
            )
            if reports == 1 or is_served:
                self._record(stream, later, reports, started_at, is_served=is_served)
            if is_served:
                self._assign(stream, later)
                return
            if reports == 1 and stream.is_version_unknown:
                self._record_origin(stream, later.drop_version())
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    async def _read_report(self, target: directories.Target) -> dialects.RunnerReport | None:
        try:
            return await self._dialect.read_report(target.address, REPORT_TIMEOUT_SECONDS)
        except http_client.ExchangeError:
            return None

    def _assign(self, stream: stream_relay.StreamRelay, target: directories.Target) -> None:
        self._mover.remove(stream.run)
        stream.run.target = target
        self._mover.add(stream.run)
        if stream.is_version_unknown:
            stream.is_version_unknown = False
            self._record_origin(stream, target)

    def _record_origin(self, stream: stream_relay.StreamRelay, target: directories.Target) -> None:
        """Correct the version that began a stream, unless another target began it."""
        if stream.runners == 1 and not stream.admission.facts.last_event_id:
            self._origins.record(stream.admission, target)

    def _record(
        self,
        stream: stream_relay.StreamRelay,
        later: directories.Target,
        reports: int,
        started_at: float,
        *,
        is_served: bool,
    ) -> None:
        former = stream.run.target
        self._timeline.record(
            "stream.target",
            request_id=stream.run.request_id,
            former=former.target_id,
            former_version=former.software_version,
            target=later.target_id,
            software_version=later.software_version,
            served=is_served,
            reports=reports,
            events=stream.events,
            took_ms=int((self._loop.time() - started_at) * 1000),
        )
