"""The gauges of a keeper, whose values are computed when they are collected."""

from collections.abc import Sized
from typing import TYPE_CHECKING

from tillerlane.gateway import metrics

if TYPE_CHECKING:
    from tillerlane.gateway import control

__all__ = ["set_functions"]


def set_functions(
    gauges: metrics.ControlMetrics, daemon: "control.Control", entries: Sized
) -> None:
    """Have the gauges compute their values from the parts of a keeper."""
    replica = daemon.replica
    gauges.is_leader.set_function(lambda: replica.is_leading)
    gauges.term.set_function(lambda: replica.storage.term)
    gauges.version.set_function(lambda: replica.state_machine.published.version)
    gauges.leader_contact_age.set_function(lambda: daemon.freshness.compute_age() or 0.0)
    gauges.entries.set_function(lambda: len(entries))
    gauges.targets.set_function(lambda: len(daemon.directory.targets))
    gauges.evacuated.set_function(lambda: len(daemon.operators.list_evacuated()))
    gauges.origins.set_function(lambda: len(daemon.origins.table))
    _set_quorum_functions(gauges, daemon)


def _set_quorum_functions(gauges: metrics.ControlMetrics, daemon: "control.Control") -> None:
    """Have the gauges show this keeper's view of the quorum."""
    monitor = daemon.formation.quorum_monitor
    gauges.voters.set_function(lambda: len(monitor.view.voters) if monitor.view else 0)
    gauges.live_voters.set_function(lambda: len(monitor.view.live) if monitor.view else 0)
    gauges.tolerable_losses.set_function(lambda: monitor.view.bears if monitor.view else 0)
    gauges.degraded_seconds.set_function(monitor.compute_degraded_seconds)
    gauges.voteless_seconds.set_function(monitor.compute_voteless_seconds)
    gauges.lost_elections.set_function(lambda: daemon.replica.elections.lost_elections)
