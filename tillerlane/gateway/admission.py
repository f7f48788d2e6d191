"""What a request is judged by before it is sent: route, key, freshness, time, memory."""

import dataclasses
from collections.abc import Callable

from tillerlane.decisions import placing, queueing
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import fingerprints, http_head, http_server, routes

__all__ = ["LONG_RUN_TOKENS", "RETRY_AFTER_SECONDS", "Admission", "AdmissionControl", "Refusal"]

RETRY_AFTER_SECONDS = 0.25
"""When a refused caller may come back: most refusals end with the next word of a target."""
STALE_RETRY_AFTER_SECONDS = 1.0
"""When a caller may come back without a configuration that can be trusted: about when another
keeper is found, or a leader elected.  Callers with less time come back sooner."""
DEFAULT_WAIT_SECONDS = 60.0
"""Time of a request that names none, on a route that names none."""
LONG_RUN_TOKENS = 40
"""Answers expected to be shorter end before their memory would be of use elsewhere: a run writes
some 130 tokens a second, and a runner leaves with 1.5 s of notice or more."""
MAX_GROWTH_RESERVE_TOKENS = 300
"""Most tokens of a run's future growth that are counted as used: what a run writes in two
seconds, by which time others have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer of our own: status, reason for the log, and when to come back."""

    status: int
    reason: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request that may run, and what it was judged by.

    Attributes
    ----------
    deadline : float
        Time of the event loop by which it must be answered.
    fingerprint : str
        The same for each attempt of the same request (`gateway.fingerprints`).
    """

    request: http_server.Request
    facts: dialects.RequestFacts
    route: routes.Route
    pool: routes.Pool
    workspace: routes.Workspace | None
    version: int
    deadline: float
    fingerprint: str = ""

    @property
    def tokens(self) -> int:
        """Memory that the request is counted with at a runner when it begins."""
        return self.facts.prompt_tokens + self.compute_growth_reserve(0)

    @property
    def work(self) -> placing.Work:
        """What it asks of a runner."""
        facts = self.facts
        return placing.Work(self.tokens, facts.prompt_tokens, self.count_remaining_events(0))

    def count_remaining_events(self, events: int) -> float:
        """Events that its run is expected to write after so many."""
        if self.pool.engine is None:
            return 0.0
        expected = self.facts.output_tokens / max(1, self.pool.engine.event_tokens)
        return max(0.0, expected - events)

    def compute_growth_reserve(self, written: int) -> int:
        """Tokens that are set aside for what a run is yet to write."""
        return min(MAX_GROWTH_RESERVE_TOKENS, max(0, self.facts.output_tokens - written) // 2)

    @property
    def priority(self) -> int:
        """Its rank; the workspace's own goes before the route's."""
        return self._read_rank(self.route.priority)

    @property
    def runner_rank(self) -> int:
        """Its rank at a runner: the workspace's own, if it has one."""
        return self._read_rank(queueing.RUNNER_RANK)

    def _read_rank(self, default: int) -> int:
        """The workspace's own rank, or a default where it has none."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return default

    @property
    def is_long(self) -> bool:
        """Whether it makes a run that is long and may not run again, so that its memory matters."""
        if self.pool.engine is None or self.route.is_resumable:
            return False
        return self.facts.output_tokens >= LONG_RUN_TOKENS

    @property
    def is_stream(self) -> bool:
        """Whether a good answer is a stream of events."""
        return self.route.repeat is routes.RepeatPolicy.STREAM


class AdmissionControl:
    """Decides on each request by the table in force.

    Parameters
    ----------
    dialect : dialects.Dialect
        Reads requests.
    pick_pool : callable
        Gives one of a route's pools.

    Attributes
    ----------
    table : routes.RoutingTable or None
        None until there is a configuration.
    is_fresh : callable
        Whether keys may be trusted: the table is known to be the newest, or was lately.
    """

    def __init__(self, dialect: dialects.Dialect, pick_pool: Callable[[routes.Route], str]) -> None:
        self.table: routes.RoutingTable | None = None
        self.is_fresh: Callable[[], bool] = lambda: True
        self._dialect = dialect
        self._pick_pool = pick_pool

    def admit(self, request: http_server.Request) -> Admission | Refusal:
        """Judge a request."""
        table = self.table
        if table is None:
            return Refusal(503, "no configuration yet", STALE_RETRY_AFTER_SECONDS)
        host = http_head.get_header(request.head.headers, b"host") or b""
        path = request.head.path.decode("latin-1")
        route = table.find_route(host.decode("latin-1").lower(), path)
        if route is None:
            return Refusal(404, f"no route in version {table.version}")
        facts = self._dialect.decode_request(request.head)
        workspace = None
        if table.workspaces and not route.is_public:
            if not self.is_fresh():
                reason = "configuration may be old, keys are not trusted"
                return Refusal(503, reason, STALE_RETRY_AFTER_SECONDS)
            workspace = table.find_workspace(facts.key)
            if workspace is None:
                return Refusal(401, f"unknown key in version {table.version}")
        waits = [facts.wait_seconds, route.timeout_seconds]
        wait = min([item for item in waits if item is not None], default=DEFAULT_WAIT_SECONDS)
        pool = table.pools[self._pick_pool(route)]
        deadline = request.arrived + wait
        owner = workspace.name if workspace is not None else ""
        fingerprint = fingerprints.compute(request.head, request.body, owner)
        return Admission(
            request, facts, route, pool, workspace, table.version, deadline, fingerprint
        )
