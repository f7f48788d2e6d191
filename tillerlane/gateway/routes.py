"""The routing table: which requests may go to which pool of targets, and within which limits.

A table is immutable; an entry replaces it as a whole.  Times are in seconds.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable

from tillerlane.decisions import room

__all__ = [
    "ClientLimits",
    "Engine",
    "Pool",
    "RepeatPolicy",
    "Route",
    "RoutingTable",
    "Workspace",
    "check_table",
    "has_slack",
]


class RepeatPolicy(enum.StrEnum):
    """How often a request may run."""

    FREELY = "freely"
    ONCE = "once"
    STREAM = "stream"
    """A stream of events: once, unless the route allows streams to be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests with one host and path prefix.

    Attributes
    ----------
    pools : tuple of (str, float)
        Pools with their weights.
    timeout_seconds : float or None
        Longest time that a request is held.
    objective_seconds : float
        A response (of a stream: its first event) within this time meets the objective.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Largest number of runners that one request is sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a new run may continue after a stream's last event.
    pause_objective_seconds : float or None
        Longest pause between events that meets the objective.
    """

    name: str
    host: str
    path_prefix: str
    repeat: RepeatPolicy
    pools: tuple[tuple[str, float], ...]
    timeout_seconds: float | None
    objective_seconds: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool
    pause_objective_seconds: float | None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.repeat is RepeatPolicy.FREELY or (
            self.repeat is RepeatPolicy.STREAM and self.is_resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capabilities of a pool's model runners.

    Attributes
    ----------
    slots : int
        Requests in a batch.
    memory_tokens : int
        Tokens that running requests and cached prefixes share.
    token_bytes, link_mbps : float
        Memory of one token, and bandwidth of the link over which copies are sent.
    event_tokens : int
        Tokens in one event of a stream.
    can_move, can_back_up : bool
        Whether a run's memory can be copied to another runner on order, or continuously.
    copy_retention_seconds : float
        How long a runner keeps a copy of a run's memory.
    hold_seconds : float
        Longest lease of memory that runners reserve ahead of a request; 0 if they reserve none.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    event_tokens: int
    can_move: bool
    can_back_up: bool
    copy_retention_seconds: float
    hold_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Targets that serve the same requests.

    Attributes
    ----------
    cold_rate : float
        Requests a second that a cold target sustains; 0 for no limit.
    has_slack : bool
        Whether an objective of its routes leaves time to wait for memory: requests then wait in
        order, and reserve memory.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    cold_rate: float = 0.0
    has_slack: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of a caller's requests, and on the time that it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace: its name, its keys, its priority if it has one of its own, and its weight.

    While requests wait, workspaces share a pool in proportion to their weights.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """Everything that decides where a request may go; one version is in force at a time."""

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: ClientLimits
    workspaces: tuple[Workspace, ...]

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for host_routes in by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        by_key = {key: item for item in self.workspaces for key in item.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", by_key)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest matching prefix; `path` has no query."""
        for route in self._by_host.get(host, ()):  # type: ignore[attr-defined]
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Find the workspace that a key belongs to."""
        return self._by_key.get(key)  # type: ignore[attr-defined]


def has_slack(pool: str, found_routes: Iterable[Route]) -> bool:
    """Whether an objective of a pool's routes leaves time to wait for memory."""
    return room.can_wait(
        route.objective_seconds
        for route in found_routes
        if any(name == pool for name, _ in route.pools)
    )


def check_table(table: RoutingTable) -> list[str]:
    """List all problems of a table, each with the value found; empty if it is valid."""
    problems: list[str] = []
    places: set[tuple[str, str]] = set()
    for route in table.routes:
        places.add((route.host, route.path_prefix))
        problems += _check_route(route, table.pools)
    if len(places) != len(table.routes):
        problems.append(
            f"got {len(table.routes)} routes at {len(places)} places, expected one each"
        )
    holders: dict[str, str] = {}
    for workspace in table.workspaces:
        if not 0 < workspace.weight < math.inf:
            problems.append(
                f"workspace {workspace.name!r}: got weight {workspace.weight}, expected above 0"
            )
        for key in workspace.keys:
            other = holders.setdefault(key, workspace.name)
            if other != workspace.name:
                problems.append(f"workspaces {other!r} and {workspace.name!r} share a key")
    return problems


def _check_route(route: Route, pools: dict[str, Pool]) -> list[str]:
    problems = []
    unknown = [name for name, _ in route.pools if name not in pools]
    if unknown or not route.pools:
        problems.append(f"route {route.name!r} names unknown pools {unknown}")
    weights = [weight for _, weight in route.pools]
    if any(weight < 0 for weight in weights) or sum(weights) <= 0:
        problems.append(f"route {route.name!r}: got weights {weights}, expected a sum above 0")
    if route.timeout_seconds is not None and route.timeout_seconds <= 0:
        problems.append(f"route {route.name!r}: got a timeout of {route.timeout_seconds} s")
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        problems.append(f"route {route.name!r}: got prefix {route.path_prefix!r}")
    return problems
