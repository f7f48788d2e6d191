"""Log lines and metrics on runners' speeds at one entry, and the messages on slowdowns."""

from collections.abc import Callable

from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.gateway.speeds import estimates, slowdowns
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["Reporter"]

LOG_INTERVAL_SECONDS = 10.0
"""Least interval between two log lines on a pool; its sums are smoothed over 20 s."""
MAX_RUNNERS = 30
"""Runners in a log line and in the metrics, those observed most; a line of 30 takes 2 kB."""


class Reporter:
    """Reports runners' speeds.

    Parameters
    ----------
    runner_speeds : estimates.RunnerSpeeds
        Notifies of new estimates and of slowdowns that this entry finds.
    directory, usage : directories.Directory, usages.Usage
        The pools' targets, and their observations.
    timeline : timelines.Timeline
        Gets the log lines.
    metrics : entry_metrics.EntryMetrics
        Get the factors.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    send : callable
        Sends a message to a keeper.
    """

    def __init__(
        self,
        runner_speeds: estimates.RunnerSpeeds,
        directory: directories.Directory,
        usage: usages.Usage,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
        now: Callable[[], float],
    ) -> None:
        self._speeds = runner_speeds
        self._directory = directory
        self._usage = usage
        self._timeline = timeline
        self._metrics = metrics
        self._now = now
        self._logged_at: dict[str, float] = {}
        self._labels: dict[str, list[tuple[str, str]]] = {}
        """Labels of each pool's metrics, which are replaced as a whole."""
        self.send: Callable[[messages.TargetSlowdowns], None] = lambda message: None
        runner_speeds.on_update = self._handle_update
        runner_speeds.slowdowns.notify = self._handle_slow
        metrics.slow_targets.set_function(runner_speeds.slowdowns.count)

    def handle_message(self, message: messages.TargetSlowdowns) -> None:
        """Handle slowdowns that other entries have found."""
        self._speeds.slowdowns.merge(slowdowns.decode_slowdowns(message))

    def handle_target_change(self, target: directories.Target) -> None:
        """Discard what is held about a start of a target that has ended."""
        if target.phase is directories.Phase.GONE:
            self._usage.discard_event_times(target.address)
            self._speeds.slowdowns.discard(target.target_id)

    def _handle_slow(self, target_id: str, streams: int) -> None:
        self._metrics.slowdowns.inc()
        self._timeline.record(
            "target.slow",
            target=target_id,
            streams=streams,
            left_ms=int(slowdowns.SLOWDOWN_SECONDS * 1000),
        )
        until = self._now() + slowdowns.SLOWDOWN_SECONDS
        self.send(slowdowns.encode_slowdowns([(target_id, until)]))

    def _handle_update(self, pool: str, estimated: estimates.PoolEstimates) -> None:
        """Write a log line and set the metrics, if the last ones are old enough."""
        now = self._now()
        logged_at = self._logged_at.get(pool, now - LOG_INTERVAL_SECONDS)
        if estimated.pool.event_seconds <= 0 or now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[pool] = now
        loads = [
            (target.address, self._usage.get(target.address))
            for target in self._directory.list_pool(pool)
        ]
        loads.sort(key=lambda item: item[1].events + item[1].read_tokens, reverse=True)
        for labels in self._labels.pop(pool, ()):
            self._metrics.runner_slowness.remove(*labels)
            self._metrics.runner_observations.remove(*labels)
        rows: list[str] = []
        used = self._labels[pool] = []
        for address, load in loads[:MAX_RUNNERS]:
            found = estimated.estimate(address, load)
            rows.append(
                f"{address} {found.decode.factor:.2f} {found.prefill.factor:.2f}"
                f" {load.events} {load.read_tokens}"
            )
            for kind, slowness, number in (
                ("decode", found.decode, load.events),
                ("prefill", found.prefill, load.read_tokens),
            ):
                used.append((address, kind))
                self._metrics.runner_slowness.labels(address, kind).set(slowness.factor)
                self._metrics.runner_observations.labels(address, kind).set(number)
        self._timeline.record(
            "runner.speeds",
            pool=pool,
            age_ms=self._usage.compute_age_ms(now),
            event_ms=round(estimated.pool.event_seconds * 1000, 1),
            spread=round(estimated.pool.decode_variance**0.5, 3),
            counts_gaps=estimated.tail is not None,
            total=len(loads),
            runners=rows,
        )
