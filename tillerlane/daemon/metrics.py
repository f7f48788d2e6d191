"""Metrics sent by statsd, or discarded if no address is set."""

import dataclasses
from collections.abc import Callable

import statsd

from tillerlane.peers import node as nodes

__all__ = ["Metrics", "open_metrics"]

PREFIX = "tillerlane"


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """Functions that record metrics.

    Attributes
    ----------
    count : callable
        (name, number) increments a counter.
    measure : callable
        (name, seconds) records a duration.
    gauge : callable
        (name, value) sets a gauge.
    """

    count: Callable[[str, float], None]
    measure: Callable[[str, float], None]
    gauge: Callable[[str, float], None]


def open_metrics(address: str | None, daemon: str) -> Metrics:
    """Open the metrics of one daemon, sent to ``IP:port`` by UDP."""
    if address is None:

        def drop(name: str, value: float) -> None:
            return None

        return Metrics(drop, drop, drop)
    host, port = nodes.split_address(address)
    client = statsd.StatsClient(host, port, prefix=f"{PREFIX}.{daemon}")

    def measure(name: str, seconds: float) -> None:
        client.timing(name, seconds * 1000)

    return Metrics(client.incr, measure, client.gauge)
