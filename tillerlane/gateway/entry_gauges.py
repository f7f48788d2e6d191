"""The gauges of an entry, whose values are computed when they are collected."""

import asyncio
from typing import TYPE_CHECKING

from tillerlane.gateway import metrics
from tillerlane.gateway.http import http_server
from tillerlane.keeper import freshness

if TYPE_CHECKING:
    from tillerlane.gateway import entry

__all__ = ["set_functions"]


def set_functions(
    gauges: metrics.EntryMetrics,
    daemon: "entry.Entry",
    front: http_server.Server,
    clock: freshness.FreshnessClock,
) -> None:
    """Have the gauges compute their values from the parts of an entry."""
    now = asyncio.get_running_loop().time
    gauges.version.set_function(lambda: daemon.published.version)
    gauges.lease_age.set_function(lambda: clock.compute_age(now()))
    gauges.loads_age.set_function(lambda: daemon.usage.compute_age(now()) or 0.0)
    gauges.busy.set_function(front.count_busy)
    gauges.quarantined.set_function(daemon.quarantine.count_held)
    gauges.shed_connections.set_function(lambda: daemon.overload.refused)
    gauges.loop_lag.set_function(lambda: daemon.overload.lag)
    gauges.limits.set_function(lambda: daemon.limits.count_in_force(now()))
    gauges.in_backoff.set_function(daemon.backoffs.count_in_force)
    gauges.failing.set_function(daemon.failures.count_failing)
    gauges.unused_permits.set_function(lambda: daemon.permits.unused)
    gauges.suspects.set_function(lambda: len(daemon.quarantine.suspects))
    gauges.evacuated.set_function(lambda: len(daemon.directory.evacuated))
    gauges.waiting.set_function(daemon.finder.count_waiting)
    gauges.origins.set_function(lambda: len(daemon.origins.table))
    budget = daemon.memory
    if budget is not None:
        gauges.memory_held.set_function(lambda: budget.held)
        gauges.memory_refused.set_function(lambda: budget.refused)
        gauges.slow_readers.set_function(lambda: budget.ended)
        gauges.evicted_connections.set_function(lambda: budget.evicted)
    gauges.refused_connections.set_function(lambda: front.registry.refused)
