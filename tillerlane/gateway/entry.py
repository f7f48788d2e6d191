"""An entry: forwards callers' requests to targets, as configured by the keepers."""

import asyncio
import math
import random
import socket
import time

from tillerlane.config import store as stores
from tillerlane.faults import core as faults
from tillerlane.gateway import (
    admission,
    availability,
    entry_gauges,
    entry_settings,
    handovers,
    homes,
    keeper_reports,
    memory,
    metrics,
    overload,
    refusals,
    relay,
    reservations,
    retries,
    runs,
    selection,
    sending,
    shares,
    startup,
    target_updates,
)
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import feedback as feedbacks
from tillerlane.gateway import usage as usages
from tillerlane.gateway.backpressure import backoff as backoffs
from tillerlane.gateway.backpressure import cold as colds
from tillerlane.gateway.backpressure import limits, permits
from tillerlane.gateway.delivery import cancellation, stop_notices, watch
from tillerlane.gateway.failures import reports as failure_reports
from tillerlane.gateway.failures import tracker as failure_trackers
from tillerlane.gateway.http import http_head, http_server, listeners
from tillerlane.gateway.incarnation import checks as incarnation_checks
from tillerlane.gateway.load import exchange as load_exchange
from tillerlane.gateway.load import moved as moved_loads
from tillerlane.gateway.origins import recorder, resumptions
from tillerlane.gateway.quarantine import exit_detection, guard, suspects
from tillerlane.gateway.queue import choosing, finder
from tillerlane.gateway.returns import table as return_tables
from tillerlane.gateway.speeds import reporting
from tillerlane.gateway.streaming import restarts, streams
from tillerlane.keeper import freshness, publications
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

__all__ = ["Entry"]

STOP_CHECK_INTERVAL_SECONDS = 0.05
STOP_REFUSAL_SECONDS = 0.2
"""How long before the end of a planned stop the waiting requests are refused, so that their callers
get the responses."""
RING_EVENTS = 2_000


class Entry:
    """One entry daemon.

    Parameters
    ----------
    settings : entry_settings.EntrySettings
        Its settings.
    dialect : dialects.Dialect
        Protocol of callers and targets.
    open_connection : callable, optional
        Opens a connection to a keeper.
    rng : random.Random, optional
        Chooses between targets with equal scores.
    listener : socket.socket, optional
        Socket that listens at the callers' address already.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        dialect: dialects.Dialect,
        open_connection: nodes.Open = asyncio.open_connection,
        rng: random.Random | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._dialect = dialect
        self._loop = asyncio.get_running_loop()
        self._started_ms = int(time.time() * 1000)
        clock = clocks.HybridClock(time.time)
        self.timeline = timelines.Timeline(settings.name, clock, RING_EVENTS)
        self.published = publications.PublicationRegister()
        self.published.add_listener(self._apply_publication)
        self.orders = stores.Store()
        self.orders.add_listener(self._apply_orders)
        self.directory = directories.Directory()
        self.usage = usages.Usage(settings.name)
        self._reports = keeper_reports.KeeperReports(lambda: self.homes, settings.name)
        started_at = -math.inf if settings.is_first_start else self._loop.time()
        self._budget = budgets.RetryBudget(settings.retries, entries=0, started_at=started_at)
        self.limits = limits.Limits()
        self.permits = permits.Permits(settings.name, self.limits, self._loop.time)
        self.permits.request_grants = self._reports.request_permits
        self.permits.on_owner_change = self._log_permits
        self.backoffs = backoffs.Backoffs(self._loop.time)
        available = availability.Availability(
            self.directory,
            self.usage,
            colds.ColdLimiter(settings.name, settings.cold),
            self.permits,
            self.backoffs,
            self._loop.time,
        )
        self.failures = failure_trackers.FailureTracker(settings.name, self.directory)
        self.failures.notify = self._reports.notify_failures
        self.failures.record_event = self.timeline.record
        self.returns = return_tables.ReturnTable(self._loop.time)
        self.returns.notify = self._reports.notify_returns
        self.returns.record_event = self.timeline.record
        selector = selection.Selector(
            self.directory,
            self.usage,
            available,
            settings.data_hall,
            rng or random.Random(),
            self._loop.time,
            self.failures,
        )
        selector.can_retry = self._budget.can_acquire
        self._metrics = metrics.build_entry_metrics()
        self.shares = shares.Shares(shares.WorkspaceMetrics(self._metrics.registry))
        self.shares.notify_urgent = self.usage.urgent.set
        self.speeds = selector.speeds
        self._speed_reporter = reporting.Reporter(
            self.speeds,
            self.directory,
            self.usage,
            self.timeline,
            self._metrics,
            self._loop.time,
        )
        self._speed_reporter.send = self._reports.send_to_primary
        self._mover = runs.Mover(
            dialect, selector, self.usage, self.directory, self.timeline, self._metrics
        )
        self._startup = startup.Startup()
        self.quarantine = guard.Quarantine(self.timeline, self._loop.time)
        self.quarantine.notify_keepers = self._reports.send_exits
        self.quarantine.notify_trial = self._reports.send_trial
        self.failures.list_exits = self.quarantine.suspects.list_targets
        self._admission_control = admission.AdmissionControl(dialect, selector.pick_pool)
        self._admission_control.is_fresh = self._is_fresh
        feedback = feedbacks.TargetFeedback(
            self.directory,
            self.limits,
            self.backoffs,
            self.usage,
            self.timeline,
            self._metrics,
            self._loop.time,
        )
        feedback.notify_limit = self._reports.notify_limit
        feedback.notify_leaving = self._reports.notify_leaving
        feedback.notify_backoff = self._reports.notify_backoff
        exit_detector = exit_detection.ExitDetector(
            self.usage, self.quarantine, self.timeline, self._metrics
        )
        reserved = reservations.Reservations(
            dialect,
            self.usage,
            available,
            selector,
            moved_loads.MovedLoads(self.directory, self.usage, self._loop.time),
            self.timeline,
            self._metrics,
        )
        refuser = refusals.RefusalBuilder(available, self.usage)
        claim_rng = random.Random(settings.name)
        chooser = choosing.Chooser(
            selector, available, self.usage, self.directory, self._startup, reserved, claim_rng
        )
        self.finder = finder.TargetFinder(
            chooser,
            selector,
            available,
            self.usage,
            self.directory,
            refuser,
            self.timeline,
            self._metrics,
        )
        self.usage.on_freed = self.permits.on_reply = self.finder.notify
        self._connect_finder()
        self.origins = recorder.OriginRecorder(
            self.directory, lambda: self.homes.list_links(), self._loop.time
        )
        delivery_watch = watch.DeliveryWatch(dialect, self.timeline, self._metrics)
        stop_orders = handovers.StopOrders(dialect, self.timeline, self._metrics)
        stop_orders.notify_entries = self._reports.notify_stop
        self._stop_orders = stop_orders
        canceller = cancellation.RunCanceller(stop_orders, selector, self.timeline, self._metrics)
        checker = incarnation_checks.IncarnationChecker(
            dialect, self.directory, self.timeline, self._metrics
        )
        sender = sending.Sender(
            dialect,
            selector,
            available,
            feedback,
            self.usage,
            self.directory,
            exit_detector,
            self.quarantine,
            self.shares,
            self.origins,
            delivery_watch,
            canceller,
            checker,
        )
        retrying = retries.RetryingSender(
            sender,
            self.finder,
            selector,
            available,
            self.usage,
            self._budget,
            reserved,
            self.shares,
            refuser,
            self.timeline,
            self._metrics,
        )
        self._target_updates = target_updates.TargetUpdates(
            self.directory,
            self.limits,
            self.permits,
            self.backoffs,
            self.failures,
            self._speed_reporter,
            self.origins,
            self.finder,
            self.timeline,
        )
        self._target_updates.send_to_keepers = self._reports.send_to_keepers
        self.directory.add_listener(self._target_updates.handle_change)
        restarted = restarts.RestartedTargets(
            dialect, self.directory, self._mover, self.origins, self.timeline
        )
        relayed_streams = streams.Streams(
            sender,
            selector,
            available,
            self.usage,
            self._budget,
            self._mover,
            self.timeline,
            self._metrics,
            exit_detector,
            self.quarantine,
            stop_orders,
            reserved,
            delivery_watch,
            canceller,
            restarted,
        )
        self._relay = relay.Relay(
            self._admission_control,
            retrying,
            relayed_streams,
            self._budget,
            dialect,
            self.timeline,
            self._metrics,
            self._startup,
            self.quarantine,
            resumptions.Resumptions(
                self.origins,
                self.directory,
                self._admission_control.find_pool,
                self._startup,
                lambda: self._clock.compute_age(self._loop.time()),
                self.timeline,
            ),
        )
        self.node = nodes.Node(
            self._build_local(clock), open_connection=open_connection, dialing=homes.DIALING
        )
        self._clock = freshness.FreshnessClock()
        self.homes = homes.Homes(
            settings.name,
            settings.seeds,
            self.node,
            self._clock,
            lambda: self.published.version,
            lambda: self.orders.version,
            self.timeline,
        )
        self.homes.on_entry_count = self._set_entry_count
        self.homes.on_fresh = self._handle_fresh
        self.homes.on_primary_lost = self._target_updates.announce_again
        self._load_exchange = load_exchange.LoadExchange(
            self._started_ms,
            self.usage,
            self.shares,
            self.homes,
            self.finder,
            self.directory,
            self.limits,
            self.timeline,
        )
        self._load_exchange.has_workspaces = self._admission_control.has_workspaces
        self.finder.estimate_waiting_elsewhere = self._load_exchange.estimate_waiting_elsewhere
        self._server_limits = http_server.ServerLimits()
        self.memory: memory.Budget | None = None
        if settings.memory_bytes:
            self.memory = memory.Budget(settings.memory_bytes, self._admission_control.identify)
            self.memory.record_event = self.timeline.record
        self._connection_bounds = listeners.bound_connections(
            settings.memory_bytes, settings.descriptors
        )
        self._front = http_server.Server(
            self._relay.serve,
            self._server_limits,
            self._log_error,
            self.memory,
            self._connection_bounds,
        )
        side_memory = listeners.build_side_budget(self.timeline.record)
        self.overload = overload.OverloadGuard(self.timeline, random.Random(settings.name))
        self._front.accepts_connection = self.overload.accepts_connection
        self._ready = http_server.Server(
            self._answer_ready,
            http_server.ServerLimits(),
            self._log_error,
            side_memory,
            listeners.SIDE_BOUNDS,
        )
        self._metrics_server = metrics.build_server(self._metrics.registry, side_memory)
        entry_gauges.set_functions(self._metrics, self, self._front, self._clock)
        self._stopping = False
        self._was_fresh = False
        self._tasks: list[asyncio.Task[None]] = []

    def _build_local(self, clock: clocks.HybridClock) -> links.Local:
        return links.Local(
            daemon_id=self._settings.name,
            fleet="fleet",
            address=self._settings.peer_address,
            incarnation=self._started_ms,
            clock=clock,
            get_config_version=lambda: max(0, self.published.version),
            on_peer_version=self._handle_peer_version,
            serve=self._serve_peer,
            notify=self._handle_message,
            on_up=self._handle_link_up,
        )

    def _connect_finder(self) -> None:
        """Give the queues of waiting requests what other parts know of workspaces and callers."""
        now = self._loop.time
        self.finder.compute_debt = lambda pool, workspace: self.shares.compute_debt(
            pool, workspace, now()
        )
        self.finder.record_waiting = self.shares.record_waiting
        self.finder.find_first_arrival = self.returns.find_first_arrival
        self.finder.record_refusal = self.returns.record_refusal

    # Life

    async def start(self) -> None:
        """Listen and start to follow the keepers."""
        await self._ready.listen(self._settings.ready_address)
        await self._front.listen(self._settings.front_address, self._listener)
        await self._metrics_server.listen(self._settings.metrics_address)
        self._tasks = [
            self._loop.create_task(self.homes.run()),
            self._loop.create_task(self._load_exchange.run()),
            self._loop.create_task(self.permits.run()),
            self._loop.create_task(self.overload.run()),
        ]
        self.timeline.record("daemon.start", role="entry", seeds=list(self._settings.seeds))
        self.timeline.record(
            "connections.bound",
            descriptors=self._settings.descriptors,
            connections=self._connection_bounds.connections,
        )

    async def stop(self) -> None:
        """Planned stop: report unready, serve on for a while, finish open requests, end."""
        self._stopping = True
        stopping_at = self._loop.time()
        self.timeline.record("daemon.leaving", busy=self._front.count_busy())
        await asyncio.sleep(self._settings.accept_seconds)
        self._relay.planned_stop = relay.PlannedStop(
            self._loop.time(), stopping_at + self._settings.stop_seconds
        )
        self._front.stop_accepting()
        self._front.close_idle()
        while (
            self._front.count_busy()
            and self._loop.time() - stopping_at < self._settings.stop_seconds
        ):
            if self._loop.time() - stopping_at > self._settings.stop_seconds - STOP_REFUSAL_SECONDS:
                self.finder.refuse_waiting()
            await asyncio.sleep(STOP_CHECK_INTERVAL_SECONDS)
        self.finder.refuse_waiting()
        await asyncio.sleep(0)  # their responses are written now
        self.timeline.record("daemon.stop", busy=self._front.count_busy())
        self._front.abort_all()
        for task in self._tasks:
            task.cancel()
        await self.node.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Apply the seeds of changed settings."""
        self.homes.add_addresses(seeds)
        self.timeline.record("daemon.reload", seeds=list(seeds))

    # Configuration

    def _apply_publication(self, publication: messages.Publication) -> None:
        try:
            table = self._dialect.parse_table(publication.content)
        except faults.FaultError as error:
            # Keepers check a document before it is published; keep serving with the previous one.
            self.timeline.record("config.unreadable", message=error.fault.message)
            return
        self._admission_control.table = table
        self.shares.set_weights({item.name: item.weight for item in table.workspaces})
        bounds = table.limits
        self._server_limits.header_bytes = bounds.max_header_bytes
        self._server_limits.body_bytes = bounds.max_body_bytes
        self._server_limits.header_seconds = bounds.header_seconds
        self._server_limits.idle_seconds = bounds.idle_seconds
        self.timeline.record("config.in_force", version=table.version, routes=len(table.routes))
        self.homes.query_soon()
        if not table.workspaces:
            self._startup.mark_ready()

    def _apply_orders(self, orders: stores.Store) -> None:
        """Apply orders: which data halls get no new work, and which requests are held back."""
        self.quarantine.set_held(orders.list_names(stores.QUARANTINE))
        for name, target_ids in orders.list_quarantine_evidence().items():
            self.quarantine.merge_evidence(name, target_ids)
        self.directory.set_evacuated(orders.list_names(stores.EVACUATIONS), self._loop.time())
        self._mover.discard_evacuated_backups()
        self.timeline.record(
            "orders.in_force",
            version=orders.version,
            halls=sorted(self.directory.evacuated),
            held=self.quarantine.count_held(),
        )
        self.homes.query_soon()

    def _handle_fresh(self) -> None:
        if self._admission_control.table is not None and self._is_fresh():
            self._startup.mark_ready()

    def _is_fresh(self) -> bool:
        fresh = self._clock.compute_age(self._loop.time()) < self._settings.lease_seconds
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            self.timeline.record("config.lease", held=fresh, version=self.published.version)
        return fresh

    def _set_entry_count(self, number: int) -> None:
        self._budget.record_entries(number, self._loop.time())
        self.usage.entries = number
        self.permits.entries = number
        self.origins.set_entry_count(number)

    def _handle_peer_version(self, link: links.Link, version: int) -> None:
        """Pull the publication from a peer with a newer one."""
        if version > max(0, self.published.version):
            links.try_send(link, messages.PublicationPull(max(0, self.published.version)))

    # Messages

    def _handle_link_up(self, link: links.Link) -> None:
        """Check a new link soon, and send what a restarted keeper has lost about targets."""
        self.homes.check_soon()
        exits = self.quarantine.suspects.list_all()
        if exits:
            links.try_send(link, suspects.encode_exits(exits))
        leaving = self.directory.list_leaving()
        if leaving:
            links.try_send(link, directories.encode_states(leaving))
        if len(self.limits):
            links.try_send(link, limits.encode_records(self.limits.list_all()))

    def _log_permits(self, is_answered: bool, reason: str) -> None:
        self.timeline.record("permits.owner", answers=is_answered, reason=reason)

    async def _serve_peer(self, exchange: links.Exchange, body: messages.Body) -> None:
        return None

    def _handle_message(self, link: links.Link, body: messages.Body) -> None:
        match body:
            case messages.Publication():
                self.published.offer(body)
            case messages.ConfigDelta():
                self.orders.apply_delta(body)
            case messages.TargetStates():
                self._target_updates.merge_states(link, body)
            case messages.LoadDigest():
                self._load_exchange.handle_digest(link, body)
            case messages.TargetEnds():
                self.quarantine.handle_exits(suspects.decode_exits(body))
            case messages.SuspectTrials():
                self.quarantine.handle_trials(body.keys)
            case messages.StopNotices() if body.entry != self._settings.name:
                self._stop_orders.ledger.add_notices(stop_notices.decode_notices(body))
            case messages.TargetLimits():
                self._target_updates.merge_limits(limits.decode_records(body))
            case messages.TargetBackoffs():
                self.backoffs.merge_hints(backoffs.decode_hints(body))
            case messages.TargetFailures():
                received = failure_reports.decode_reports(body)
                self.failures.merge_reports(received, self._loop.time())
            case messages.CallerReturns():
                self.returns.merge(return_tables.decode_returns(body))
            case messages.TargetSlowdowns():
                self._speed_reporter.handle_message(body)

    # HTTP

    async def _answer_ready(
        self, request: http_server.Request, responder: http_server.Responder
    ) -> None:
        is_ready = self._admission_control.table is not None and not self._stopping
        if is_ready and self._admission_control.has_workspaces():
            is_ready = self._is_fresh()
        head = http_head.ResponseHead(200 if is_ready else 503, [])
        await responder.send_response(head, b"")

    def _log_error(self, error: Exception) -> None:
        links.log_exception("gateway", error)
        self.timeline.record("internal.error", error=repr(error)[:200])
