"""Counters and latency histograms of the gateway's daemons, served as text on request.

Label values come from closed lists or from the configuration, which bounds their number.
"""

import dataclasses

import prometheus_client

from tillerlane.gateway import memory
from tillerlane.gateway.http import http_head, http_server, listeners

__all__ = ["ControlMetrics", "EntryMetrics", "build_server"]

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 40.0)
"""From the service time of a plain call to the longest deadline in use (39 s)."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryMetrics:
    """Metrics of an entry."""

    registry: prometheus_client.CollectorRegistry
    requests: prometheus_client.Counter
    """Requests by route and outcome; a refusal's outcome is its status."""
    seconds: prometheus_client.Histogram
    """Time to the complete response, or to a stream's first event, by route."""
    pauses: prometheus_client.Histogram
    """Longest pause of each stream, by route."""
    sends: prometheus_client.Counter
    """Sends to targets by pool and outcome."""
    moves: prometheus_client.Counter
    """Orders to copy a run, by outcome."""
    stops: prometheus_client.Counter
    """Orders to stop a run, by what was known of its runner at that time."""
    continuations: prometheus_client.Counter
    """Runs resumed at another runner, by whether that runner accepted them."""
    version_changes: prometheus_client.Counter
    """Streams resumed at a runner with another software version, by pool."""
    incarnation_checks: prometheus_client.Counter
    """Reports read to find out whether a target has restarted, by the verdict."""
    broken_answers: prometheus_client.Counter
    """Responses truncated by targets, by the result of a new connection to the target."""
    silent_connections: prometheus_client.Counter
    """Connections to runners that delivered nothing more, before or after the first event."""
    closed_responses: prometheus_client.Counter
    """Responses that ended with their connection, by what the target's process then did."""
    cancellations: prometheus_client.Counter
    """Orders to stop runs that nobody waits for, by what was known of the run afterwards."""
    lease_age: prometheus_client.Gauge
    version: prometheus_client.Gauge
    loads_age: prometheus_client.Gauge
    """Age of the keeper's last digest of other entries' loads; 0 without a valid one."""
    busy: prometheus_client.Gauge
    evacuated: prometheus_client.Gauge
    """Data halls whose targets get no new work."""
    quarantined: prometheus_client.Gauge
    """Requests that the log holds back, by the orders in force here."""
    suspects: prometheus_client.Gauge
    """Requests that were running at a target when it exited."""
    shed_connections: prometheus_client.Gauge
    """Connections closed unread since the start, as the entry was overloaded."""
    loop_lag: prometheus_client.Gauge
    """Average lateness of the event loop's timers in seconds."""
    limits: prometheus_client.Gauge
    """Targets whose named limits are in force here."""
    unused_permits: prometheus_client.Gauge
    """Permits for targets with limits that expired unused, since the start."""
    target_reports: prometheus_client.Counter
    """Reports of targets in their responses: by kind, and whether each was taken, ended, ignored
    as already known, or unread."""
    in_backoff: prometheus_client.Gauge
    """Targets that this entry sends nothing to, since they requested back-off."""
    failing: prometheus_client.Gauge
    """Targets that broke off a request here or at another entry, and have served none since."""
    holds: prometheus_client.Counter
    """Reservations of memory at runners: by the answer, and whether unused ones were dropped."""
    waiting: prometheus_client.Gauge
    """Requests that wait for a pool of runners."""
    queue_seconds: prometheus_client.Histogram
    """Time that requests waited for a runner, by pool and size class; of those that waited."""
    slow_targets: prometheus_client.Gauge
    """Targets in a transient slowdown, as far as known here."""
    slowdowns: prometheus_client.Counter
    """Transient slowdowns that this entry found."""
    runner_slowness: prometheus_client.Gauge
    """Factor by which a runner is slower than its pool: by address and kind, decode or prefill."""
    runner_observations: prometheus_client.Gauge
    """Recent events or prompt tokens that such a factor is estimated from."""
    origins: prometheus_client.Gauge
    """Streams whose pool and version are known here: own ones, and those resumed here."""
    memory_held: prometheus_client.Gauge
    """Bytes of the memory budget in use."""
    memory_refused: prometheus_client.Gauge
    """Requests refused since they did not fit into it, since the start."""
    slow_readers: prometheus_client.Gauge
    """Callers ended since they read nothing, since the start."""
    evicted_connections: prometheus_client.Gauge
    """Connections closed at a bound while they waited for their clients, since the start."""
    refused_connections: prometheus_client.Gauge
    """Connections closed unread as none of the open ones could be closed, since the start."""


def build_entry_metrics() -> EntryMetrics:
    """New metrics of one entry."""
    registry = prometheus_client.CollectorRegistry()

    def count(name: str, text: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(name, text, labels, registry=registry)

    def time(name: str, text: str) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name, text, ("route",), registry=registry, buckets=SECONDS_BUCKETS
        )

    def gauge(name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(name, text, registry=registry)

    def labelled(name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(name, text, ("address", "kind"), registry=registry)

    return EntryMetrics(
        registry,
        count("tillerlane_requests", "Requests answered", "route", "outcome"),
        time("tillerlane_answer_seconds", "Time to a whole answer or a first event"),
        time("tillerlane_pause_seconds", "Longest pause of a stream"),
        count("tillerlane_sends", "Sends to targets", "pool", "outcome"),
        count("tillerlane_moves", "Orders to copy a run", "outcome"),
        count("tillerlane_stops", "Orders to stop a run", "evidence"),
        count("tillerlane_continuations", "Runs that went on elsewhere", "taken"),
        count("tillerlane_version_changes", "Streams resumed at another version", "pool"),
        count("tillerlane_incarnation_checks", "Checks whether a target restarted", "verdict"),
        count("tillerlane_broken_answers", "Answers that targets broke off", "reach"),
        count("tillerlane_silent_connections", "Connections that deliver nothing more", "awaited"),
        count("tillerlane_closed_responses", "Responses that ended by a close", "presence"),
        count("tillerlane_cancellations", "Orders to stop runs that nobody waits for", "evidence"),
        gauge("tillerlane_lease_age_seconds", "Age of the word that the configuration is newest"),
        gauge("tillerlane_config_version", "Configuration in force"),
        gauge("tillerlane_loads_age_seconds", "Age of the word of other entries' loads"),
        gauge("tillerlane_busy_connections", "Connections with a request under way"),
        gauge("tillerlane_evacuated_halls", "Data halls whose targets get nothing new"),
        gauge("tillerlane_quarantined_requests", "Requests that the log holds back"),
        gauge("tillerlane_suspected_requests", "Requests under which a target has ended"),
        gauge("tillerlane_shed_connections", "Connections closed unread under overload"),
        gauge("tillerlane_loop_lag_seconds", "Average lateness of timers"),
        gauge("tillerlane_named_limits", "Targets whose named limits are in force"),
        gauge("tillerlane_unused_permits", "Permits for limited targets that ended unused"),
        count("tillerlane_target_words", "What answers say of targets", "word", "outcome"),
        gauge("tillerlane_targets_in_backoff", "Targets that asked this entry for back-off"),
        gauge(
            "tillerlane_targets_failing", "Targets that broke off a request and served none since"
        ),
        count("tillerlane_holds", "Reservations of memory at runners", "outcome"),
        gauge("tillerlane_waiting_requests", "Requests that wait for a pool of runners"),
        prometheus_client.Histogram(
            "tillerlane_queue_seconds",
            "Time that a request waited for a runner",
            ("pool", "size"),
            registry=registry,
            buckets=SECONDS_BUCKETS,
        ),
        gauge("tillerlane_slow_targets", "Targets known to be slow for a moment"),
        count("tillerlane_slowdowns", "Transient slowdowns of targets found here"),
        labelled("tillerlane_runner_slowness", "Runners' time relative to their pool"),
        labelled("tillerlane_runner_observations", "Recent events and prompt tokens of runners"),
        gauge("tillerlane_stream_origins", "Streams whose pool and version are known"),
        gauge("tillerlane_memory_held_bytes", "Bytes of connections, requests and answers"),
        gauge("tillerlane_memory_refused_requests", "Requests that the memory budget refused"),
        gauge("tillerlane_slow_readers_ended", "Callers ended since they read nothing"),
        gauge("tillerlane_evicted_connections", "Connections closed that waited for clients"),
        gauge("tillerlane_refused_connections", "Connections closed unread at their bound"),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMetrics:
    """Metrics of a keeper."""

    registry: prometheus_client.CollectorRegistry
    calls: prometheus_client.Counter
    """API calls by name and status."""
    seconds: prometheus_client.Histogram
    """Time of an API call, by its name."""
    is_leader: prometheus_client.Gauge
    term: prometheus_client.Gauge
    version: prometheus_client.Gauge
    leader_contact_age: prometheus_client.Gauge
    entries: prometheus_client.Gauge
    targets: prometheus_client.Gauge
    evacuated: prometheus_client.Gauge
    """Data halls whose targets get no new work."""
    voters: prometheus_client.Gauge
    live_voters: prometheus_client.Gauge
    """Voters with recent contact and with the disk that is on record."""
    tolerable_losses: prometheus_client.Gauge
    """Further disks that may be lost; below 0 the log cannot commit."""
    degraded_seconds: prometheus_client.Gauge
    """How long fewer losses than desired have been tolerable."""
    voteless_seconds: prometheus_client.Gauge
    lost_elections: prometheus_client.Gauge
    origins: prometheus_client.Gauge
    """Streams whose pool and version entries have reported."""
    memory_held: prometheus_client.Gauge
    """Bytes of the memory budget in use."""
    memory_refused: prometheus_client.Gauge
    """Requests refused since they did not fit into it, since the start."""
    evicted_connections: prometheus_client.Gauge
    """Connections closed at a bound while they waited for their clients, since the start."""
    refused_connections: prometheus_client.Gauge
    """Connections closed unread as none of the open ones could be closed, since the start."""


def build_control_metrics() -> ControlMetrics:
    """New metrics of one keeper."""
    registry = prometheus_client.CollectorRegistry()

    def gauge(name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(name, text, registry=registry)

    return ControlMetrics(
        registry,
        prometheus_client.Counter(
            "tillerlane_calls", "Calls answered", ("call", "status"), registry=registry
        ),
        prometheus_client.Histogram(
            "tillerlane_call_seconds",
            "Time of a call",
            ("call",),
            registry=registry,
            buckets=SECONDS_BUCKETS,
        ),
        gauge("tillerlane_leader", "1 if this keeper leads the log"),
        gauge("tillerlane_term", "Term of the log"),
        gauge("tillerlane_config_version", "Configuration committed here"),
        gauge("tillerlane_fresh_age_seconds", "Age of the leader's word"),
        gauge("tillerlane_entries", "Entries known to be subscribed"),
        gauge("tillerlane_targets", "Targets known"),
        gauge("tillerlane_evacuated_halls", "Data halls whose targets get nothing new"),
        gauge("tillerlane_keeper_voters", "Voters on this keeper's record"),
        gauge("tillerlane_keeper_live_voters", "Voters heard of with the disk on record"),
        gauge("tillerlane_keeper_bearable_losses", "Disks that may be lost next"),
        gauge("tillerlane_keeper_short_seconds", "Time with fewer bearable losses than wished"),
        gauge("tillerlane_keeper_voteless_seconds", "Time that this keeper has had no vote"),
        gauge("tillerlane_keeper_lost_elections", "Elections stood in and not won"),
        gauge("tillerlane_stream_origins", "Streams whose pool and version are known"),
        gauge("tillerlane_memory_held_bytes", "Bytes of connections, requests and answers"),
        gauge("tillerlane_memory_refused_requests", "Requests that the memory budget refused"),
        gauge("tillerlane_evicted_connections", "Connections closed that waited for clients"),
        gauge("tillerlane_refused_connections", "Connections closed unread at their bound"),
    )


def build_server(
    registry: prometheus_client.CollectorRegistry, budget: memory.Budget
) -> http_server.Server:
    """A server that answers every request with the metrics."""

    async def serve(request: http_server.Request, responder: http_server.Responder) -> None:
        body = prometheus_client.generate_latest(registry)
        kind = prometheus_client.CONTENT_TYPE_LATEST.encode()
        await responder.send_response(http_head.ResponseHead(200, [(b"Content-Type", kind)]), body)

    return http_server.Server(
        serve, http_server.ServerLimits(), lambda error: None, budget, listeners.SIDE_BOUNDS
    )
