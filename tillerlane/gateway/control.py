"""A keeper of the gateway: the log, the targets' heartbeats, and what entries subscribe to."""

import asyncio
import dataclasses
import random
import time
import zlib
from collections.abc import Callable
from typing import Any

from tillerlane.config import store as stores
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import (
    backoff_updates,
    batching,
    grants,
    homes,
    incarnations,
    limit_updates,
    loads,
    metrics,
    quarantine_coordinator,
    suspects,
)
from tillerlane.gateway import directory as directories
from tillerlane.keeper import commands, formation, freshness, proposals, replica, server
from tillerlane.keeper import disk as disks
from tillerlane.keeper import state_machine as state_machines
from tillerlane.keeper import storage as storages
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

__all__ = ["Control", "ControlSettings", "Dependencies"]

RING_EVENTS = 2_000
MAX_HALL_CHARACTERS = 100
MAX_EVACUATED_HALLS = 100
"""Bounds on what operators' orders take; the users' target has 16 data halls."""
SWEEP_INTERVAL_SECONDS = 0.5
ENTRY_TTL_SECONDS = 5.0
"""How long an entry counts after its last word about its load; others tell of it."""
BATCH_INTERVAL_SECONDS = 0.05
"""How long heartbeats wait for others to share their message to other keepers."""
SUBSCRIBER_BATCH_INTERVAL_SECONDS = 0.05
"""How long changes of targets wait to share their message to subscribers: a thirtieth of the
shortest notice with which a runner leaves."""
FULL_STATE_TTL_SECONDS = 0.3
"""How long all targets, once written, are told to new subscribers, together with what changed
since: after a common start 118 entries subscribe within a second, and writing 3,001 targets takes
20 ms.  Ages told so are too low by as much, a fourth of a heartbeat's interval."""
URGENT_LOADS_INTERVAL_SECONDS = 0.02
"""Least pause between two batches for other keepers, and two digests of large changes."""
MAX_DIGESTS_PER_SECOND = 1_000
"""Digests a second that a keeper sends at most: with more than 20 entries that it tells loads, the
pause grows.  One costs it 35 us, so these are 3.5% of a core."""
LOADS_INTERVAL_SECONDS = 0.12
"""Least pause between two digests of smaller changes."""
MAX_LOADS_INTERVAL_SECONDS = 1.0
"""Longest pause between two digests, and until small changes are told: a third of the time for
which a digest counts."""


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of a keeper.

    Attributes
    ----------
    name, peer_address : str
        Its daemon id, and where peers reach it (``IP:port``).
    peer_listen_address, metrics_address : str
        Where it listens to peers and to whoever collects figures.
    data_folder : str
        Its folder on the disk.
    plan : formation.FormationSettings
        How the keepers find each other.
    heartbeat_timeout_seconds : float
        A target whose last heartbeat is older gets work only where nothing else is left.
    max_read_lag_seconds : float
        A read is answered only if all that was committed so long ago is surely held here.
    """

    name: str
    peer_address: str
    peer_listen_address: str
    metrics_address: str
    data_folder: str
    plan: formation.FormationSettings
    heartbeat_timeout_seconds: float
    max_read_lag_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What a keeper needs of the world; tests put stand-ins here."""

    open_disk: Callable[[str], disks.Disk] = disks.open_folder
    run_blocking: replica.Run = server.run_in_thread
    open_connection: nodes.Open = asyncio.open_connection
    now: Callable[[], float] = time.time
    rng: random.Random = dataclasses.field(default_factory=random.Random)


class Control:
    """One keeper daemon.

    Parameters
    ----------
    settings : ControlSettings
        Its settings.
    dependencies : Dependencies, optional
        What it needs of the world.
    """

    def __init__(self, settings: ControlSettings, dependencies: Dependencies | None = None) -> None:
        self._settings = settings
        self._dependencies = dependencies or Dependencies()
        self._loop = asyncio.get_running_loop()
        clock = clocks.HybridClock(self._dependencies.now)
        self.timeline = timelines.Timeline(settings.name, clock, RING_EVENTS)
        self.directory = directories.Directory()
        self.directory.add_listener(self._handle_target_change)
        self._subscribers: dict[links.Link, messages.Subscribe] = {}
        self._synchronized: set[links.Link] = set()
        """Links of keepers that were told all targets."""
        self._entries: dict[str, float] = {}
        self._loads = loads.LoadAggregator(settings.name, int(self._dependencies.now() * 1000))
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
        self.limits = limit_updates.LimitUpdates(
            BATCH_INTERVAL_SECONDS, self._send_to_all, self.timeline
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
        self.formation = formation.Formation(
            settings.plan, settings.name, settings.peer_address, self.node, self.timeline
        )
        storage = storages.Storage(
            self._dependencies.open_disk(settings.data_folder), settings.name
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
        self.quarantine = quarantine_coordinator.QuarantineCoordinator(
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
        """Version of the orders that subscribers were told."""
        state.published.add_listener(self._handle_publication)
        state.store.add_listener(self._handle_orders)
        self.metrics = metrics.build_control_metrics()
        self._set_gauges()
        self._metrics_server = metrics.build_server(self.metrics.registry)
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

    def _get_link(self, address: str) -> links.Link | None:
        return self.node.dial(address).link

    def _get_leading_term(self) -> int | None:
        """The term in which this keeper leads; None without the lease."""
        is_leading = self.replica.is_leading and self.replica.has_lease
        return self.replica.storage.term if is_leading else None

    def _get_leader(self) -> links.Link | None:
        """Link to the keeper that leads; None without one, or if it is this one."""
        leader = self.replica.voters.get(self.replica.leader)
        is_own = self.replica.leader == self._settings.name
        return self._get_link(leader.address) if leader is not None and not is_own else None

    # Life

    async def start(self) -> None:
        """Listen to peers and begin."""
        await self.node.listen(self._settings.peer_listen_address)
        await self._metrics_server.listen(self._settings.metrics_address)
        self.replica.start()
        self._tasks = [
            self._loop.create_task(self.formation.run()),
            self._loop.create_task(self.formation.reconfiguration.run()),
            self._loop.create_task(self.freshness.run()),
            self._loop.create_task(self._sweep()),
            self._loop.create_task(self._send_loads()),
            self._loop.create_task(self.quarantine.run()),
        ]
        self.timeline.record(
            "daemon.start",
            role="keeper",
            seeds=list(self._settings.plan.seeds),
            may_found=self._settings.plan.can_bootstrap,
            last_index=self.replica.storage.last_index,
            version=self.replica.state_machine.published.version,
        )

    def _set_gauges(self) -> None:
        """Have the gauges read what they show when they are asked."""
        replica = self.replica
        self.metrics.is_leader.set_function(lambda: replica.is_leading)
        self.metrics.term.set_function(lambda: replica.storage.term)
        self.metrics.version.set_function(lambda: replica.state_machine.published.version)
        self.metrics.leader_contact_age.set_function(lambda: self.freshness.compute_age() or 0.0)
        self.metrics.entries.set_function(lambda: len(self._entries))
        self.metrics.targets.set_function(lambda: len(self.directory.targets))
        self.metrics.evacuated.set_function(lambda: len(self.list_evacuated()))
        self._set_quorum_gauges()

    def _set_quorum_gauges(self) -> None:
        """Have the gauges read what this keeper sees of the quorum."""
        seen = self.formation.quorum_monitor
        self.metrics.voters.set_function(lambda: len(seen.view.voters) if seen.view else 0)
        self.metrics.live_voters.set_function(lambda: len(seen.view.live) if seen.view else 0)
        self.metrics.tolerable_losses.set_function(lambda: seen.view.bears if seen.view else 0)
        self.metrics.degraded_seconds.set_function(seen.compute_degraded_seconds)
        self.metrics.voteless_seconds.set_function(seen.compute_voteless_seconds)
        self.metrics.lost_elections.set_function(lambda: self.replica.elections.lost_elections)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self.formation.set_seeds(seeds)
        self.timeline.record("daemon.reload", seeds=list(seeds))

    @property
    def has_failed(self) -> bool:
        """Whether the disk refused a write; what it holds must be read anew."""
        return self.replica.disk_fault is not None

    async def leave(self) -> None:
        """Hand the vote over before a planned stop, if another keeper stands by for it."""
        self.timeline.record("daemon.leaving")
        await self.formation.leave()

    async def stop(self) -> None:
        """End; what was acknowledged is on disks."""
        self.timeline.record("daemon.stop")
        for task in self._tasks:
            task.cancel()
        self._metrics_server.stop_accepting()
        await self.replica.stop()
        await self.node.close()

    async def _sweep(self) -> None:
        """Look after targets that fell silent and entries that went."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self._loop.time()
            self.directory.mark_silent(now - self._settings.heartbeat_timeout_seconds)
            self.directory.expire_old(now)
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
        elif not await self.keeper.serve(exchange, body):
            message = f"keepers serve no {type(body).__name__}"
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
                self._merge_states(link, directories.decode_states(body))
            case messages.EntryLoads():
                self._entries[body.entry] = self._loop.time()
                self._loads.handle_report(body, self._loop.time())
            case messages.PassedLoads():
                self._entries.update(dict.fromkeys(body.entries, self._loop.time()))
                self._loads.handle_forwarded(body, self._loop.time())
            case messages.TargetEnds():
                self.quarantine.handle_exits(suspects.decode_exits(body))
            case messages.TargetLimits():
                self.limits.handle_message(body)
            case messages.TargetBackoffs():
                self._backoffs.handle_message(body)

    def _synchronize(self, link: links.Link) -> None:
        """Tell a keeper whose link is new all that is known; it may have been cut off."""
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
            self._send_digest(link, self._loads.build_full_digest())
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
        """Tell all targets to a peer that is new."""
        now = self._loop.time()
        if self._full_state is None or now - self._full_state_at > FULL_STATE_TTL_SECONDS:
            self._full_state = directories.encode_states(self.directory.targets.values(), full=True)
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
        """Push a committed publication; of several that are applied in a row only the last.

        After a restart of all keepers the first commit applies every version since the last
        snapshot, and each one that an entry puts in force costs it the reading of a table.
        """
        self.timeline.record("config.committed", version=publication.version)
        if self._pending_push is None:
            self._pending_push = self._loop.call_soon(self._push_publication)

    def _push_publication(self) -> None:
        """Send the publication in force to all subscribers, if that is still to be done."""
        if self._pending_push is None:
            return
        self._pending_push.cancel()
        self._pending_push = None
        for link in list(self._subscribers):
            self._send_publication(link)

    def _handle_orders(self, store: stores.Store) -> None:
        """Push the orders that changed to all subscribers; who misses some asks for them."""
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

    async def _send_loads(self) -> None:
        """Pass on to other keepers what entries told here, and tell subscribers the sums."""
        whole_at = paced_at = 0.0
        while True:
            told = sum(asked.loads for asked in self._subscribers.values())
            await asyncio.sleep(max(URGENT_LOADS_INTERVAL_SECONDS, told / MAX_DIGESTS_PER_SECOND))
            now = self._loop.time()
            dropped = self._loads.expire(now)
            if dropped:
                self.timeline.record(
                    "loads.expired", entries=dropped, after_s=loads.REPORT_TTL_SECONDS
                )
            passed = self._loads.build_forwarded()
            if passed is not None:
                self._send_to_keepers(passed)
            is_due = now - whole_at > MAX_LOADS_INTERVAL_SECONDS
            is_paced = now - paced_at > LOADS_INTERVAL_SECONDS
            least = loads.MIN_CHANGE_TOKENS if is_paced else loads.URGENT_CHANGE_TOKENS
            digest = self._loads.build_delta_digest(least, is_due=is_due)
            if is_due:
                whole_at = now
            if is_paced:
                paced_at = now
            if digest is None:
                continue
            for link, asked in list(self._subscribers.items()):
                if asked.loads:
                    self._send_digest(link, digest)

    def _send_digest(self, link: links.Link, digest: messages.LoadDigest) -> None:
        included = self._loads.get_included_sequence(self._subscribers[link].entry)
        links.try_send(link, dataclasses.replace(digest, included=included))

    def _send_to_keepers(self, body: messages.Body) -> None:
        for address in self.formation.list_addresses():
            link = self._get_link(address)
            if link is not None:
                links.try_send(link, body)

    # Targets

    def handle_heartbeat(self, target: directories.Target) -> None:
        """Take a target's own word and spread it.

        Raises
        ------
        faults.FaultError
            ``bad_request`` if a target of another pool has that id: then it is another writer's
            word, which may not end what that target does.
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
        self._keeper_updates.add(known, is_urgent=changed)

    def handle_leave(self, name: str, started_ms: int = 0) -> None:
        """Take a target's word that it goes, of the start that it names or of the latest."""
        known = self.directory.find(name)
        if known is None or started_ms not in (
            0,
            incarnations.parse_id(known.target_id).started_ms,
        ):
            return
        if self.directory.mark_gone(known.target_id):
            self._keeper_updates.add(known)

    def _merge_states(self, link: links.Link, states: list[directories.Target]) -> None:
        """Take word of targets; other keepers are told what an entry has learnt from answers."""
        is_of_entry = link in self._subscribers
        for target in states:
            if self.directory.merge(target) and is_of_entry:
                self._keeper_updates.add(self.directory.targets[target.target_id], is_urgent=True)

    def _handle_target_change(
        self, target: directories.Target, former: directories.Phase | None
    ) -> None:
        """Tell the entries of a change, whoever told it here."""
        self.timeline.record(
            "target.state",
            target=target.target_id,
            pool=target.pool,
            address=target.address,
            phase=target.phase.value,
            sequence=target.sequence,
            age_ms=int((self._loop.time() - target.heard_at) * 1000),
            cold_ms=max(0, int((target.warm_at - self._loop.time()) * 1000)),
        )
        if target.phase is directories.Phase.GONE:
            self.limits.table.discard(target.target_id)
        if target.is_superseded and former is not None:
            # Whoever hears of the present incarnation ends the former one, and first hears until
            # when that one lived: entries are not told each heartbeat.
            self._changed_since_full_state.pop(target.target_id, None)
            self._subscriber_updates.add(
                dataclasses.replace(target, phase=former, is_superseded=False)
            )
            return
        self._changed_since_full_state[target.target_id] = target
        self._subscriber_updates.add(target)

    def _send_targets_to_subscribers(self, targets: list[directories.Target]) -> None:
        self._send_to_subscribers(directories.encode_states(targets))

    # Configuration

    async def publish(self, version: int, document: bytes) -> dict[str, Any]:
        """Publish a checked document; returns once it, or a higher version, is committed.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if it may or may not be committed later.
        """
        held = self.replica.state_machine.published.version
        if version <= held:
            return {"taken": False, "version": held}
        content = zlib.compress(document, 6)
        at_ms = int(self._dependencies.now() * 1000)
        command = commands.encode(commands.Publish(version, content, at_ms))
        answer = await self.keeper.propose(command)
        self.timeline.record("config.published", version=version, answer=answer)
        return answer

    def list_evacuated(self) -> frozenset[str]:
        """Data halls whose targets get nothing new, by what is committed here."""
        return self.replica.state_machine.store.list_names(stores.EVACUATIONS)

    async def evacuate(self, data_hall: str, evacuated: bool) -> dict[str, Any]:
        """Close a data hall to new work, or open it again; returns once that is committed.

        An order that another one has overtaken on its way is made anew while its caller waits, and
        only then: see `commands.Evacuate`.

        Raises
        ------
        faults.FaultError
            ``bad_request`` if the name can't be one, ``no_quorum`` if the order may or may not be
            committed later.
        """
        self._check_hall(data_hall)
        against = self.replica.state_machine.store.version
        while True:
            at_ms = int(self._dependencies.now() * 1000)
            command = commands.Evacuate(data_hall, evacuated, against, "platform", at_ms)
            answer = await self.keeper.propose(commands.encode(command))
            self.timeline.record(
                "evacuation.order",
                data_hall=data_hall,
                evacuated=evacuated,
                against=against,
                known=any(item.data_hall == data_hall for item in self.directory.targets.values()),
                answer=answer,
            )
            if answer["accepted"]:
                return answer
            against = answer["version"]

    def _check_hall(self, data_hall: str) -> None:
        """Refuse what can't be a data hall; one without targets at present may get some later."""
        is_name = 0 < len(data_hall) <= MAX_HALL_CHARACTERS and data_hall.isprintable()
        is_many = len(self.list_evacuated() - {data_hall}) >= MAX_EVACUATED_HALLS
        if not is_name or is_many:
            message = f"got data hall {data_hall[:MAX_HALL_CHARACTERS]!r}, expected the name of one"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))

    def get_publication(self) -> bytes:
        """The document in force.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if a newer one may be in force, ``not_found`` if there is none.
        """
        age = self.freshness.compute_age()
        if age is None or age > self._settings.max_read_lag_seconds:
            raise proposals.build_no_quorum(f"got word of age {age} s from the leader")
        current = self.replica.state_machine.published.current
        if current is None:
            message = "nothing was published yet"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
        return zlib.decompress(current.content)
