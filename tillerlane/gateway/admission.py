"""Admission of a request before it is sent: route, key, freshness, deadline, memory."""

import dataclasses
from collections.abc import Callable

from tillerlane.decisions import placing, queueing
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import routes
from tillerlane.gateway.http import http_head, http_server
from tillerlane.gateway.quarantine import fingerprints

__all__ = ["LONG_RUN_TOKENS", "RETRY_AFTER_SECONDS", "Admission", "AdmissionControl", "Refusal"]

RETRY_AFTER_SECONDS = 0.25
"""Default delay for a refused caller: most refusals end with a target's next report."""
STALE_RETRY_AFTER_SECONDS = 1.0
"""Delay for a caller that is refused without a trusted configuration: about the time to connect to
another keeper, or to elect a leader.  Callers with less time retry sooner."""
DEFAULT_TIMEOUT_SECONDS = 60.0
"""Time-out of a request if neither it nor its route names one."""
LONG_RUN_TOKENS = 40
"""Shorter runs end before a copy of their memory would be of use: a run writes some 130 tokens a
second, and a runner leaves with 1.5 s of notice or more."""
MAX_GROWTH_RESERVE_TOKENS = 300
"""Maximum number of tokens of a run's future growth that are counted as used: what a run writes in
two seconds, by which time others have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The entry's own negative response: status, reason for the log, and retry delay."""

    status: int
    reason: str
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request, and what the decision is based on.

    Attributes
    ----------
    deadline : float
        Time of the event loop by which the response must be complete.
    fingerprint : str
        Equal for all attempts of the same request (`gateway.quarantine.fingerprints`).
    software_version : str or None
        Only targets with this version may run it; None for any.
    """

    request: http_server.Request
    facts: dialects.RequestFacts
    route: routes.Route
    pool: routes.Pool
    workspace: routes.Workspace | None
    version: int
    deadline: float
    fingerprint: str = ""
    software_version: str | None = None

    @property
    def caller_deadline(self) -> float:
        """Time of the event loop until which its caller waits, over all attempts."""
        if self.facts.wait_seconds is None:
            return self.deadline
        return self.request.arrived + self.facts.wait_seconds

    @property
    def tokens(self) -> int:
        """Memory that the request is counted with at a runner at its start."""
        return self.facts.prompt_tokens + self.compute_growth_reserve(0)

    @property
    def served_tokens(self) -> int:
        """Tokens that its workspace is served with it: those of its prompt, and its estimate of
        what the run writes."""
        return self.facts.prompt_tokens + self.facts.output_tokens

    @property
    def work(self) -> placing.Work:
        """Work that the request causes at a runner."""
        facts = self.facts
        is_repeatable = self.route.is_repeatable and self.route.max_attempts > 1
        return placing.Work(
            self.tokens,
            facts.prompt_tokens,
            self.count_remaining_events(0),
            pause_objective_seconds=self.route.pause_objective_seconds or 0.0,
            is_repeatable=is_repeatable,
        )

    def count_remaining_events(self, events: int) -> float:
        """Expected number of events that its run is still to write after `events`."""
        if self.pool.engine is None:
            return 0.0
        expected = self.facts.output_tokens / max(1, self.pool.engine.event_tokens)
        return max(0.0, expected - events)

    def compute_growth_reserve(self, written: int) -> int:
        """Tokens reserved for what a run is still to write after `written`."""
        return min(MAX_GROWTH_RESERVE_TOKENS, max(0, self.facts.output_tokens - written) // 2)

    @property
    def workspace_name(self) -> str:
        """Name of its workspace; empty on a public route."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def priority(self) -> int:
        """Its priority; the workspace's own overrides the route's."""
        return self._get_priority(self.route.priority)

    @property
    def runner_rank(self) -> int:
        """Its priority at a runner: the workspace's own, if it has one."""
        return self._get_priority(queueing.RUNNER_RANK)

    def _get_priority(self, default: int) -> int:
        """The workspace's own priority, or `default` if it has none."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return default

    @property
    def has_long_output(self) -> bool:
        """Whether its run is expected to write for long."""
        return self.facts.output_tokens >= LONG_RUN_TOKENS

    @property
    def is_long(self) -> bool:
        """Whether its run is long and must not be repeated, so that its memory matters."""
        if self.pool.engine is None or self.route.is_resumable:
            return False
        return self.has_long_output

    @property
    def is_stream(self) -> bool:
        """Whether a successful response is a stream of events."""
        return self.route.repeat is routes.RepeatPolicy.STREAM


class AdmissionControl:
    """Decides on each request from the routing table in force.

    Parameters
    ----------
    dialect : dialects.Dialect
        Decodes requests.
    pick_pool : callable
        Picks one of a route's pools.

    Attributes
    ----------
    table : routes.RoutingTable or None
        None until there is a configuration.
    is_fresh : callable
        Whether keys may be trusted: the table is, or recently was, known to be the newest.
    """

    def __init__(self, dialect: dialects.Dialect, pick_pool: Callable[[routes.Route], str]) -> None:
        self.table: routes.RoutingTable | None = None
        self.is_fresh: Callable[[], bool] = lambda: True
        self._dialect = dialect
        self._pick_pool = pick_pool

    def has_workspaces(self) -> bool:
        """Whether the table has workspaces, whose keys requests need."""
        return self.table is not None and bool(self.table.workspaces)

    def find_pool(self, name: str) -> routes.Pool | None:
        """A pool of the table by its name."""
        return self.table.pools.get(name) if self.table is not None else None

    def identify(self, head: http_head.RequestHead) -> tuple[str, str]:
        """Id and workspace of a request, for the memory budget."""
        facts = self._dialect.decode_request(head)
        workspace = self.table.find_workspace(facts.key) if self.table is not None else None
        return facts.request_id, workspace.name if workspace is not None else ""

    def admit(self, request: http_server.Request) -> Admission | Refusal:
        """Admit or refuse a request."""
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
        timeouts = [facts.wait_seconds, route.timeout_seconds]
        timeout = min(
            [seconds for seconds in timeouts if seconds is not None],
            default=DEFAULT_TIMEOUT_SECONDS,
        )
        pool = table.pools[self._pick_pool(route)]
        deadline = request.arrived + timeout
        owner = workspace.name if workspace is not None else ""
        fingerprint = fingerprints.compute(request.head, request.body, owner)
        return Admission(
            request, facts, route, pool, workspace, table.version, deadline, fingerprint
        )
