"""Metrics by workspace at one entry, for the largest workspaces and one label for all others."""

import collections
from collections.abc import Callable, Iterator

import prometheus_client
from prometheus_client import core

__all__ = ["MAX_NAMED", "OTHER", "WorkspaceMetrics", "get_size_class"]

MAX_NAMED = 8
"""Workspaces that have a label of their own; it bounds the number of series."""
OTHER = "other"
REPLACE_FACTOR = 2
"""A workspace gets the label of the smallest named one once it was served so much more: labels
rarely change, and each change ends a series."""
WAIT_BUCKETS = (0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
"""From a request that is sent at once to the longest deadline of a short request."""
SMALL_TOKENS = 1_550
LARGE_TOKENS = 3_500
"""Bounds of the size classes: of requests below the first 0.05 were late, of those above the second
0.28 to 0.56, where requests waited for memory."""


def get_size_class(prompt_tokens: int) -> str:
    """The size class of a prompt.

    >>> get_size_class(100), get_size_class(2_550), get_size_class(6_350)
    ('small', 'medium', 'large')
    """
    if prompt_tokens < SMALL_TOKENS:
        return "small"
    return "medium" if prompt_tokens < LARGE_TOKENS else "large"


class WorkspaceMetrics:
    """Waiting requests, served tokens and waiting times by workspace.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Where they are registered.

    Attributes
    ----------
    count_waiting : callable
        Gives the waiting requests of this entry by workspace.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.count_waiting: Callable[[], dict[str, int]] = dict
        self._totals: collections.Counter[str] = collections.Counter()
        self._named: set[str] = set()
        self._served = prometheus_client.Counter(
            "tillerlane_workspace_served_tokens",
            "Tokens sent to targets",
            ("workspace",),
            registry=registry,
        )
        self._waits = prometheus_client.Histogram(
            "tillerlane_workspace_wait_seconds",
            "Time from a request's arrival to its first send",
            ("workspace", "size"),
            registry=registry,
            buckets=WAIT_BUCKETS,
        )
        registry.register(self)

    def record_served(self, workspace: str, tokens: int) -> None:
        """Count tokens served to a workspace."""
        self._totals[workspace] += tokens
        if workspace not in self._named:
            self._name_if_large(workspace)
        self._served.labels(self._get_label(workspace)).inc(tokens)

    def record_wait(self, workspace: str, seconds: float, prompt_tokens: int) -> None:
        """Count a request that was sent after a wait."""
        size = get_size_class(prompt_tokens)
        self._waits.labels(self._get_label(workspace), size).observe(seconds)

    def collect(self) -> Iterator[core.GaugeMetricFamily]:
        """Collect the waiting requests, for the registry."""
        family = core.GaugeMetricFamily(
            "tillerlane_workspace_waiting", "Requests that wait for a target", labels=["workspace"]
        )
        waiting: collections.Counter[str] = collections.Counter()
        for workspace, number in self.count_waiting().items():
            waiting[self._get_label(workspace)] += number
        for label in sorted(self._named | {OTHER}):
            family.add_metric([label], waiting[label])
        yield family

    def _get_label(self, workspace: str) -> str:
        return workspace if workspace in self._named else OTHER

    def _name_if_large(self, workspace: str) -> None:
        if len(self._named) < MAX_NAMED:
            self._named.add(workspace)
            return
        smallest = min(self._named, key=self._totals.__getitem__)
        if self._totals[workspace] <= REPLACE_FACTOR * self._totals[smallest]:
            return
        self._named.remove(smallest)
        self._served.remove(smallest)
        for size in ("small", "medium", "large"):
            self._waits.remove(smallest, size)
        self._named.add(workspace)
