"""A keeper of the gateway: the log, the targets' heartbeats, and the updates to entries."""

import asyncio
import dataclasses

from tillerlane.config import store as stores
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import (
    batching,
    control_gauges,
    control_settings,
    homes,
    memory,
    metrics,
    operator_orders,
    version_file,
)
from tillerlane.gateway import directory as directories
from tillerlane.gateway.backpressure import backoff_updates, grants, limit_updates
from tillerlane.gateway.delivery import stop_notices
from tillerlane.gateway.failures import updates as failure_updates
from tillerlane.gateway.http import listeners
from tillerlane.gateway.incarnation import ids as incarnations
from tillerlane.gateway.load import aggregation as loads
from tillerlane.gateway.load import distribution as load_distribution
from tillerlane.gateway.origins import origin_file, registry
from tillerlane.gateway.quarantine import coordinator, suspects
from tillerlane.gateway.returns import updates as return_updates
from tillerlane.gateway.speeds import slowdowns
from tillerlane.keeper import formation as formations
from tillerlane.keeper import freshness, replica, server
from tillerlane.keeper import state_machine as state_machines
from tillerlane.keeper import storage as storages
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

__all__ = ["Control"]

RING_EVENTS = 2_000
SWEEP_INTERVAL_SECONDS = 0.5
ENTRY_TTL_SECONDS = 5.0
"""How long an entry counts after its last load report, which other keepers may have passed on."""
BATCH_INTERVAL_SECONDS = 0.05
"""Batching interval of what is passed on to other keepers, and of limits and back-offs."""
SUBSCRIBER_BATCH_INTERVAL_SECONDS = 0.05
"""Batching interval of target changes sent to subscribers: a thirtieth of the shortest notice with
which a runner leaves."""
FULL_STATE_TTL_SECONDS = 0.3
"""How long an encoded full state is reused for new subscribers, who also get what changed since:
after a common start 118 entries subscribe within a second, and encoding 3,001 targets takes 20 ms.
The ages in it are too low by up to this time, a fourth of the heartbeat interval."""


class Control:
    """One keeper daemon.

    Parameters
    ----------
    settings : control_settings.ControlSettings
        Its settings.
    dependencies : control_settings.Dependencies, optional
        Its external dependencies; the real ones unless given.
    """

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        dependencies: control_settings.Dependencies | None = None,
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies or control_settings.Dependencies()
        self._loop = asyncio.get_running_loop()
        clock = clocks.HybridClock(self._dependencies.now)
        self.timeline = timelines.Timeline(settings.name, clock, RING_EVENTS)
        self.directory = directories.Directory()
        self.directory.collected_since = self._loop.time()
        self.directory.add_listener(self._handle_target_change)
        self._subscribers: dict[links.Link, messages.Subscribe] = {}
        self._synchronized: set[links.Link] = set()
        """Links of keepers that were sent the full state."""
        self._entries: dict[str, float] = {}
        self._loads = loads.LoadAggregator(settings.name, int(self._dependencies.now() * 1000))
        self._load_distribution = load_distribution.LoadDistribution(
            self._loads, self._subscribers, self._send_to_keepers, self.timeline
        )
        self._keeper_updates = batching.UpdateBatcher(
            BATCH_INTERVAL_SECONDS,
            lambda targets: self._send_to_keepers(directories.encode_states(targets)),
        )
        self._subscriber_updates = batching.UpdateBatcher(
            SUBSCRIBER_BATCH_INTERVAL_SECONDS, self._send_targets_to_subscribers
        )
        self._backoffs = backoff_updates.BackoffUpdates(
            BATCH_INTERVAL_SECONDS, self._send_to_all, self._loop.time
        )
        self._failures = failure_updates.FailureUpdates(
            BATCH_INTERVAL_SECONDS,
            self._send_to_keepers,
            self._send_to_subscribers,
            self._loop.time,
        )
        self._returns = return_updates.ReturnUpdates(
            BATCH_INTERVAL_SECONDS, self._send_to_keepers, self._send_to_primary_subscribers
        )
        self._slowdowns = slowdowns.SlowdownUpdates(
            self._send_to_keepers, self._send_to_subscribers, self._loop.time
        )
        self.limits = limit_updates.LimitUpdates(
            BATCH_INTERVAL_SECONDS, self._send_to_all, self.timeline
        )
        self.origins = registry.OriginRegistry(
            self._list_keeper_links, self._count_keepers, self._loop.time
        )
        self._full_state: messages.TargetStates | None = None
        self._full_state_at = 0.0
        self._changed_since_full_state: dict[str, directories.Target] = {}
        self._pending_push: asyncio.Handle | None = None
        self.node = nodes.Node(
            self._build_local(clock),
            open_connection=self._dependencies.open_connection,
            dialing=homes.DIALING,
        )
        self.formation = formations.Formation(
            settings.formation, settings.name, settings.peer_address, self.node, self.timeline
        )
        disk = self._dependencies.open_disk(settings.data_folder)
        storage = storages.Storage(disk, settings.name)
        self._version_file = version_file.VersionFile(
            disk, self._dependencies.run_blocking, self.timeline
        )
        self._load_versions()
        self._origin_file = origin_file.OriginFile(
            disk,
            self._dependencies.run_blocking,
            self.origins.table,
            self._loop.time,
            self.timeline,
        )
        self._origin_file.load()
        self.origins.on_records = lambda records, is_urgent: self._origin_file.add(
            records, is_urgent=is_urgent
        )
        state = state_machines.StateMachine()
        self.replica = replica.Replica(
            settings.name,
            {settings.name: settings.peer_address},
            storage,
            state,
            self.timeline,
            self._get_link,
            self._dependencies.run_blocking,
            self._dependencies.rng,
            self.formation.list_bootstrap_peers,
        )
        self.formation.attach(self.replica)
        self.keeper = server.Keeper(
            self.replica, self._get_link, lambda: [], lambda: int(self._dependencies.now() * 1000)
        )
        self.freshness = freshness.KeeperFreshness(
            self.replica,
            self._get_link,
            lambda: len(self._entries),
            self.formation.list_query_addresses,
        )
        self.operators = operator_orders.OperatorOrders(
            self.replica,
            self.keeper.propose,
            self.freshness,
            settings.max_read_lag_seconds,
            self.directory,
            self._dependencies.now,
            self.timeline,
        )
        self.quarantine = coordinator.QuarantineCoordinator(
            state.store,
            lambda: self.replica.has_lease,
            self.keeper.propose,
            self._send_to_keepers,
            self._send_to_subscribers,
            lambda: int(self._dependencies.now() * 1000),
            self.timeline,
        )
        self.permit_issuer = grants.PermitIssuer(
            self.limits.table, self._get_leading_term, self._get_leader, self._loop.time
        )
        self._sent_orders_version = 0
        """Version of the orders that were sent to subscribers."""
        state.published.add_listener(self._handle_publication)
        state.store.add_listener(self._handle_orders)
        self.metrics = metrics.build_control_metrics()
        control_gauges.set_functions(self.metrics, self, self._entries)
        self.connection_bounds = listeners.bound_connections(
            settings.memory_bytes, settings.descriptors, unread_grace_seconds=0.0
        )
        self.memory: memory.Budget | None = None
        if settings.memory_bytes:
            self.memory = memory.Budget(settings.memory_bytes, lambda head: ("", ""))
            self.memory.record_event = self.timeline.record
        self._metrics_server = metrics.build_server(
            self.metrics.registry, listeners.build_side_budget(self.timeline.record)
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _build_local(self, clock: clocks.HybridClock) -> links.Local:
        return links.Local(
            daemon_id=self._settings.name,
            fleet="fleet",
            address=self._settings.peer_address,
            incarnation=int(self._dependencies.now() * 1000),
            clock=clock,
            get_config_version=lambda: max(0, self.replica.state_machine.published.version),
            on_peer_version=lambda link, version: None,
            serve=self._serve_peer,
            notify=self._handle_message,
            on_down=self._handle_link_down,
        )

    def _load_versions(self) -> None:
        """Take the versions on disk for ones whose targets have left just now."""
        now = self._loop.time()
        for pool, version in self._version_file.load():
            self.directory.merge_former(directories.FormerVersion(pool, version, now))
        self.directory.add_former_listener(self._handle_former_version)

    def _save_versions(self) -> None:
        self._version_file.save(self.directory.list_all_software_versions())

    def _get_link(self, address: str) -> links.Link | None:
        return self.node.dial(address).link

    def _get_leading_term(self) -> int | None:
        """The term in which this keeper leads; None without the lease."""
        is_leading = self.replica.is_leading and self.replica.has_lease
        return self.replica.storage.term if is_leading else None

    def _get_leader(self) -> links.Link | None:
        """Link to the leader; None without one, or if it is this keeper."""
        leader = self.replica.voters.get(self.replica.leader)
        is_own = self.replica.leader == self._settings.name
        return self._get_link(leader.address) if leader is not None and not is_own else None

    # Life

    async def start(self) -> None:
        """Listen to peers and start all tasks."""
        await self.node.listen(self._settings.peer_listen_address)
        await self._metrics_server.listen(self._settings.metrics_address)
        self.replica.start()
        self._tasks = [
            self._loop.create_task(self.formation.run()),
            self._loop.create_task(self.formation.reconfiguration.run()),
            self._loop.create_task(self.freshness.run()),
            self._loop.create_task(self._sweep()),
            self._loop.create_task(self._load_distribution.run()),
            self._loop.create_task(self.quarantine.run()),
            self._loop.create_task(self._origin_file.run()),
        ]
        self.timeline.record(
            "daemon.start",
            role="keeper",
            seeds=list(self._settings.formation.seeds),
            may_found=self._settings.formation.can_bootstrap,
            last_index=self.replica.storage.last_index,
            version=self.replica.state_machine.published.version,
            origins=len(self.origins.table),
            former_versions=len(self.directory.list_former_versions()),
        )
        self.timeline.record(
            "connections.bound",
            descriptors=self._settings.descriptors,
            connections=self.connection_bounds.connections,
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Apply the seeds of changed settings."""
        self.formation.set_seeds(seeds)
        self.timeline.record("daemon.reload", seeds=list(seeds))

    @property
    def has_failed(self) -> bool:
        """Whether a write to disk has failed, so that the state must be loaded from disk again."""
        return self.replica.disk_fault is not None

    async def leave(self) -> None:
        """Hand the vote over before a planned stop, if another keeper is ready to take it."""
        self.timeline.record("daemon.leaving")
        await self.formation.leave()

    async def stop(self) -> None:
        """Stop; everything acknowledged is on disk."""
        self.timeline.record("daemon.stop")
        for task in self._tasks:
            task.cancel()
        self._version_file.stop()
        self._metrics_server.stop_accepting()
        await self.replica.stop()
        await self.node.close()

    async def _sweep(self) -> None:
        """Mark targets without heartbeats, and expire targets, limits and entries."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self._loop.time()
            self.directory.mark_silent(now - self._settings.heartbeat_timeout_seconds)
            self.directory.expire_old(now)
            self._save_versions()
            self.limits.table.expire_unknown(self.directory.targets, now)
            subscribed = {item.entry for item in self._subscribers.values()}
            for entry, heard_at in list(self._entries.items()):
                if now - heard_at > ENTRY_TTL_SECONDS and entry not in subscribed:
                    del self._entries[entry]

    # Messages

    async def _serve_peer(self, exchange: links.Exchange, body: messages.Body) -> None:
        if isinstance(body, messages.FreshnessRequest):
            await self.freshness.wait_until_known()
            self._push_publication()
            exchange.send(self.freshness.build_reply())
        elif isinstance(body, messages.PermitRequest):
            exchange.send(await self.permit_issuer.handle_request(body))
        elif isinstance(body, messages.OriginQuery):
            exchange.send(await self.origins.answer(body))
        elif not await self.keeper.serve(exchange, body):
            message = f"keepers do not serve {type(body).__name__}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))

    def _handle_message(self, link: links.Link, body: messages.Body) -> None:
        match body:
            case messages.KeeperAnnounce():
                self._synchronize(link)
                self.formation.handle_announcement(link, body)
            case messages.Subscribe():
                self._subscribe(link, body)
            case messages.ConfigPull():
                links.try_send(link, self.replica.state_machine.store.build_delta(body.have))
            case messages.PublicationPull():
                self._send_publication(link)
            case messages.TargetStates():
                self._handle_states(link, body)
            case messages.EntryLoads():
                self._entries[body.entry] = self._loop.time()
                self._loads.handle_report(body, self._loop.time())
            case messages.PassedLoads():
                self._entries.update(dict.fromkeys(body.entries, self._loop.time()))
                self._loads.handle_forwarded(body, self._loop.time())
            case messages.TargetEnds():
                self.quarantine.handle_exits(suspects.decode_exits(body))
            case messages.SuspectTrials():
                self._send_to_subscribers(body)
                if link in self._subscribers:
                    self._send_to_keepers(body)
            case messages.StopNotices():
                self._forward_stop_notices(link, body)
            case messages.TargetLimits():
                self.limits.handle_message(body)
            case messages.TargetBackoffs():
                self._backoffs.handle_message(body)
            case messages.TargetFailures():
                self._failures.handle_message(body, is_of_entry=link in self._subscribers)
            case messages.CallerReturns():
                self._returns.handle_message(body, is_of_entry=link in self._subscribers)
            case messages.StreamOrigins():
                self.origins.handle_message(body)
            case messages.TargetSlowdowns():
                self._slowdowns.handle_message(body, is_of_entry=link in self._subscribers)

    def _forward_stop_notices(self, link: links.Link, body: messages.StopNotices) -> None:
        """Forward what an entry tells of the runs that it stops to all other daemons."""
        receivers = [other for other in self._subscribers if other is not link]
        if link in self._subscribers:
            receivers += self._list_keeper_links()
        stop_notices.send_where_accepted(receivers, body)

    def _synchronize(self, link: links.Link) -> None:
        """Send all state to a keeper on a new link, since it may have been cut off."""
        if link not in self._synchronized:
            self._synchronized.add(link)
            self._send_full_state(link)
            links.try_send(link, self.quarantine.build_for_keeper())
            links.try_send(link, self.limits.build_full())

    def _handle_link_down(self, link: links.Link) -> None:
        self._synchronized.discard(link)
        lost = self._subscribers.pop(link, None)
        if lost is not None:
            self.timeline.record("entry.lost", entry=lost.entry)

    def _subscribe(self, link: links.Link, body: messages.Subscribe) -> None:
        is_new = link not in self._subscribers
        self._subscribers[link] = body
        self._entries[body.entry] = self._loop.time()
        if body.loads:
            self._load_distribution.send_digest(link, self._loads.build_full_digest())
        if not is_new:
            return
        self.timeline.record("entry.subscribed", entry=body.entry, version=body.have)
        # Orders go first: an entry may send requests as soon as it has a publication.
        links.try_send(link, self.replica.state_machine.store.build_delta(0))
        links.try_send(link, self.quarantine.build_for_entry())
        links.try_send(link, self.limits.build_full())
        self._send_publication(link)
        self._send_full_state(link)

    def _send_full_state(self, link: links.Link) -> None:
        """Send all targets to a new peer.

        Former versions go first: with all targets the peer counts its knowledge as complete.
        """
        now = self._loop.time()
        former = self.directory.list_former_versions()
        if former:
            links.try_send(link, directories.encode_former_versions(former))
        if self._full_state is None or now - self._full_state_at > FULL_STATE_TTL_SECONDS:
            self._full_state = directories.encode_full_state(self.directory)
            self._full_state_at = now
            self._changed_since_full_state.clear()
        links.try_send(link, self._full_state)
        if self._changed_since_full_state:
            links.try_send(link, directories.encode_states(self._changed_since_full_state.values()))

    def _send_publication(self, link: links.Link) -> None:
        current = self.replica.state_machine.published.current
        if current is not None:
            links.try_send(link, current)

    def _handle_publication(self, publication: messages.Publication) -> None:
        """Schedule a push of a committed publication; of several in a row only the last is sent.

        After a restart of all keepers the first commit applies every version since the last
        snapshot, and an entry decodes a routing table for each one that it puts in force.
        """
        self.timeline.record("config.committed", version=publication.version)
        if self._pending_push is None:
            self._pending_push = self._loop.call_soon(self._push_publication)

    def _push_publication(self) -> None:
        """Send the publication in force to all subscribers, if a push is pending."""
        if self._pending_push is None:
            return
        self._pending_push.cancel()
        self._pending_push = None
        for link in list(self._subscribers):
            self._send_publication(link)

    def _handle_orders(self, store: stores.Store) -> None:
        """Push changed orders to all subscribers; an entry that misses some requests them."""
        halls = sorted(store.list_names(stores.EVACUATIONS))
        held = len(store.list_names(stores.QUARANTINE))
        self.timeline.record("orders.committed", version=store.version, halls=halls, held=held)
        self._send_to_subscribers(store.build_delta(self._sent_orders_version))
        self._sent_orders_version = store.version

    def _send_to_all(self, body: messages.Body) -> None:
        """Send a message to all other keepers and all subscribers."""
        self._send_to_keepers(body)
        self._send_to_subscribers(body)

    def _send_to_subscribers(self, body: messages.Body) -> None:
        for link in list(self._subscribers):
            links.try_send(link, body)

    def _send_to_primary_subscribers(self, body: messages.Body) -> None:
        """Send a message to the entries whose primary keeper this is."""
        for link, subscription in list(self._subscribers.items()):
            if subscription.loads:
                links.try_send(link, body)

    def _send_to_keepers(self, body: messages.Body) -> None:
        for link in self._list_keeper_links():
            links.try_send(link, body)

    def _list_keeper_links(self) -> list[links.Link]:
        found = map(self._get_link, self.formation.list_addresses())
        return [link for link in found if link is not None]

    def _count_keepers(self) -> int:
        """Number of keepers, this one included, whether or not they are reached."""
        return max(len(self.replica.voters), 1 + len(self.formation.list_addresses()))

    # Targets

    def handle_heartbeat(self, target: directories.Target) -> None:
        """Merge a target's own report and pass it on.

        Raises
        ------
        faults.FaultError
            ``bad_request`` if a target of another pool has that id: the report then comes from
            another sender, and must not end that target's work.
        """
        name = incarnations.parse_id(target.target_id).name
        present = self.directory.find(name)
        if present is not None and present.pool != target.pool:
            message = f"got pool {target.pool!r} for {name}, expected {present.pool!r}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))
        changed = self.directory.merge(target)
        known = self.directory.targets.get(target.target_id)
        if known is None:
            return
        self._keeper_updates.add(known.target_id, known, is_urgent=changed)
        if changed and known.is_leaving:
            self._send_updates()

    def _send_updates(self) -> None:
        """Send all updates before one of them is acknowledged to its target.

        This keeper may be killed right after that, and the target does not repeat the update.
        """
        self._subscriber_updates.flush()
        self._keeper_updates.flush()

    def handle_leave(self, name: str, started_ms: int = 0) -> None:
        """Handle a target's leaving: of the start that it names, or else of the latest one."""
        known = self.directory.find(name)
        if known is None or started_ms not in (
            0,
            incarnations.parse_id(known.target_id).started_ms,
        ):
            return
        if self.directory.mark_gone(known.target_id):
            self._keeper_updates.add(known.target_id, known)
            self._send_updates()

    def _handle_states(self, link: links.Link, states: messages.TargetStates) -> None:
        """Merge target states; those that an entry has from responses go on to other keepers."""
        is_of_entry = link in self._subscribers
        self.directory.record_collection(states, self._loop.time())
        for former in directories.decode_former_versions(states):
            self.directory.merge_former(former)
        if states.collected_ms:
            self.origins.handle_keeper(link)
        for target in directories.decode_states(states):
            if self.directory.merge(target) and is_of_entry:
                latest = self.directory.targets[target.target_id]
                self._keeper_updates.add(latest.target_id, latest, is_urgent=True)

    def _handle_former_version(self, former: directories.FormerVersion) -> None:
        """Pass on a version that is known from other keepers or from disk only."""
        self.timeline.record(
            "version.former",
            pool=former.pool,
            software_version=former.software_version,
            age_ms=int((self._loop.time() - former.heard_at) * 1000),
        )
        self._save_versions()
        self._send_to_all(directories.encode_former_versions([former]))

    def _handle_target_change(
        self, target: directories.Target, former: directories.Phase | None
    ) -> None:
        """Send a change to the entries, whatever its source."""
        self._save_versions()
        self.timeline.record(
            "target.state",
            target=target.target_id,
            pool=target.pool,
            address=target.address,
            phase=target.phase.value,
            software_version=target.software_version,
            sequence=target.sequence,
            age_ms=int((self._loop.time() - target.heard_at) * 1000),
            cold_ms=max(0, int((target.warm_at - self._loop.time()) * 1000)),
        )
        if target.phase is directories.Phase.GONE:
            self.limits.table.discard(target.target_id)
        if target.is_superseded and former is not None:
            # An entry ends the former incarnation when it gets the latest one.  Before that it is
            # sent the former one's last heartbeat time, since it does not get each heartbeat.
            self._changed_since_full_state.pop(target.target_id, None)
            current = dataclasses.replace(target, phase=former, is_superseded=False)
            self._subscriber_updates.add(current.target_id, current)
            return
        self._changed_since_full_state[target.target_id] = target
        self._subscriber_updates.add(target.target_id, target)

    def _send_targets_to_subscribers(self, targets: list[directories.Target]) -> None:
        self._send_to_subscribers(directories.encode_states(targets))
