"""The routing table: which request may go to which pool of targets, and within which bounds.

A table is one immutable value; an entry swaps the whole of it.  Times are in seconds.
"""

import dataclasses
import enum

__all__ = [
    "ClientLimits",
    "Engine",
    "Pool",
    "RepeatPolicy",
    "Route",
    "RoutingTable",
    "Workspace",
    "check_table",
]


class RepeatPolicy(enum.StrEnum):
    """How often a request may run."""

    FREELY = "freely"
    ONCE = "once"
    STREAM = "stream"
    """A stream of events: once, unless the route lets a stream be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    Attributes
    ----------
    pools : tuple of (str, float)
        Pools with their weights.
    timeout_seconds : float or None
        Longest time that a request is held.
    objective_seconds : float
        An answer (of a stream: its first event) within it is in time.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Most runners that one request is sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether another run may go on behind a stream's last event.
    pause_objective_seconds : float or None
        Longest pause between events that is still in time.
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
        """Whether a request that may have run may be sent again."""
        return self.repeat is RepeatPolicy.FREELY or (
            self.repeat is RepeatPolicy.STREAM and self.is_resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What the model runners of a pool can do.

    Attributes
    ----------
    slots : int
        Requests in a batch.
    memory_tokens : int
        Tokens that running requests and cached prefixes share.
    token_bytes, link_mbps : float
        Size of a token's memory, and the link that copies of it take.
    event_tokens : int
        Tokens that one event of a stream holds.
    can_move, can_back_up : bool
        Whether a run's memory can go to another runner on order, or all the while.
    copy_retention_seconds : float
        How long a runner keeps memory that was moved to it.
    """

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    event_tokens: int
    can_move: bool
    can_back_up: bool
    copy_retention_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Targets that serve the same requests.

    Attributes
    ----------
    cold_rate : float
        Requests a second that one of them bears while it is cold; 0 for no bound.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a caller may send and how long it may take or rest."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """Whose requests are whose: a name, its keys, and its rank if it has one of its own."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """Everything that decides where a request may go; one version of it is in force."""

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: ClientLimits
    workspaces: tuple[Workspace, ...]

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for found in by_host.values():
            found.sort(key=lambda route: len(route.path_prefix), reverse=True)
        by_key = {key: item for item in self.workspaces for key in item.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", by_key)

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of the longest prefix; `path` has no query."""
        for route in self._by_host.get(host, ()):  # type: ignore[attr-defined]
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """The workspace that holds a key."""
        return self._by_key.get(key)  # type: ignore[attr-defined]


def check_table(table: RoutingTable) -> list[str]:
    """Everything that is wrong with a table, each with what was got; empty if nothing is."""
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
