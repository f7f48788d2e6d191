"""One daemon: its links, its view of the fleet, and the roles named in its settings."""

import asyncio
import contextlib
import dataclasses
import json
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

from tillerlane.agent import execution, scheduling
from tillerlane.agent import server as agents
from tillerlane.config import settings
from tillerlane.config import store as stores
from tillerlane.daemon import metrics, tls
from tillerlane.entry import api, dispatch, fleet, limits, routing
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import client as clients
from tillerlane.keeper import disk as disks
from tillerlane.keeper import replica, server
from tillerlane.keeper import state_machine as state_machines
from tillerlane.keeper import storage as storages
from tillerlane.members import exchange, platform
from tillerlane.members import view as views
from tillerlane.peers import codec, messages
from tillerlane.peers import link as links
from tillerlane.peers import node as nodes
from tillerlane.placement import leader
from tillerlane.runners import core as runners
from tillerlane.runners import http_service, sse_runner
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

__all__ = ["Daemon", "Dependencies"]

MIN_PULL_INTERVAL_SECONDS = 0.2
"""Minimum time between two pulls of the configuration on one link."""
REFRESH_INTERVAL_SECONDS = 0.2
UNREADY_NOTICE_SECONDS = 1.0
"""How long a stopping entry still accepts requests after it has reported itself unready."""
QUERY_TIMEOUT_SECONDS = 2.0

Query = Callable[[dict[str, Any]], Any]


def connect_target(target: settings.Target) -> runners.RunnerClient:
    """Return the client for a target of either kind."""
    if target.kind is settings.TargetKind.SERVICE:
        return http_service.connect(target.url)
    return sse_runner.connect(target.url)


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """External dependencies of a daemon, which tests replace.

    Attributes
    ----------
    connect : callable
        Returns the client of a target.
    open_disk : callable
        (folder) returns the keeper's disk.
    run_blocking : callable
        Runs a blocking function without blocking the event loop.
    open_connection : callable
        Opens a connection, as `asyncio.open_connection`.
    now : callable
        Wall time in seconds.
    rng : random.Random
        Source of random timeouts and routes.
    decide, choose : callable
        Decision rules of the agent and of the entry; benchmarks substitute baselines.
    """

    connect: agents.Connect = connect_target
    open_disk: Callable[[str], disks.Disk] = disks.open_folder
    run_blocking: replica.Run = server.run_in_thread
    open_connection: nodes.Open = asyncio.open_connection
    now: Callable[[], float] = time.time
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    decide: execution.Decide = scheduling.decide
    choose: routing.Choose | None = None


class Daemon:
    """One process of the system.

    Parameters
    ----------
    own : settings.Settings
        Its settings.
    dependencies : Dependencies, optional
        Its external dependencies.
    """

    def __init__(self, own: settings.Settings, dependencies: Dependencies | None = None) -> None:
        self.settings = own
        self._dependencies = dependencies or Dependencies()
        self.started_at = self._dependencies.now()
        self.clock = clocks.HybridClock(self._dependencies.now)
        self.timeline = timelines.Timeline(own.daemon, self.clock)
        self.metrics = metrics.open_metrics(own.statsd, own.daemon)
        self.members = views.MemberView(own.keepers.values())
        self.stopping = False
        self.refuses = False
        self.queries: dict[str, Query] = {}
        self._pulled_at: dict[links.Link, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        server_tls, client_tls = tls.build_contexts(own.tls)
        self.node = nodes.Node(
            self._build_local(), server_tls, client_tls, self._dependencies.open_connection
        )
        self.keeper: server.Keeper | None = None
        self.placement: leader.PlacementLeader | None = None
        self.exchange: exchange.KeeperExchange | None = None
        self.store = stores.Store()
        if settings.Role.KEEPER in own.roles:
            self._build_keeper()
        self.client = clients.KeeperClient(
            own.daemon, own.keepers, self.node, self.members, self._handle_home
        )
        self.announcer = exchange.Announcer(
            self._build_member(), self.members, lambda: self.client.home
        )
        self.agent: agents.Agent | None = None
        if settings.Role.AGENT in own.roles:
            self.agent = agents.Agent(
                own.targets,
                self._dependencies.connect,
                self.store,
                self.timeline,
                self._get_report_links,
                self.metrics.count,
                self._dependencies.decide,
            )
        self.view: fleet.FleetView | None = None
        self.callers: api.CallerApi | None = None
        if settings.Role.ENTRY in own.roles:
            self._build_entry()
        self.store.add_listener(self._handle_configuration)

    # Construction

    def _build_local(self) -> links.Local:
        own = self.settings
        return links.Local(
            daemon_id=own.daemon,
            fleet=own.fleet,
            address=own.peer_address,
            incarnation=int(self.started_at * 1000),
            clock=self.clock,
            get_config_version=lambda: self.store.version,
            on_peer_version=self._handle_peer_version,
            serve=self._serve,
            notify=self._notify,
            on_down=self._handle_link_down,
            admit=self._admit,
            on_refused=self._record_refused,
        )

    def _build_member(self) -> messages.Member:
        own = self.settings
        return messages.Member(
            daemon_id=own.daemon,
            incarnation=int(self.started_at * 1000),
            sequence=0,
            address=own.peer_address,
            http_address=own.http_address,
            data_hall=own.data_hall,
            roles=[role.value for role in own.roles],
            targets=sorted(own.targets),
        )

    def _build_keeper(self) -> None:
        own = self.settings
        assert own.data_folder is not None
        storage = storages.Storage(self._dependencies.open_disk(own.data_folder), own.daemon)
        state = state_machines.StateMachine()
        self.store = state.store
        own_replica = replica.Replica(
            own.daemon,
            dict(own.keepers),
            storage,
            state,
            self.timeline,
            self._get_keeper_link,
            self._dependencies.run_blocking,
            self._dependencies.rng,
        )
        own_replica.on_role_change = self._report_readiness
        self.keeper = server.Keeper(
            own_replica, self._get_keeper_link, self._get_subscribers, self._get_time_ms
        )
        self.placement = leader.PlacementLeader(
            own_replica, self.members.list_live, self.query_daemon, self.timeline, self._get_time_ms
        )
        self.exchange = exchange.KeeperExchange(
            self.members, self._get_keeper_links, self._get_subscribers
        )

    def _get_time_ms(self) -> int:
        return int(self._dependencies.now() * 1000)

    def _build_entry(self) -> None:
        near_halls = self.settings.near_halls
        self.view = fleet.FleetView(
            self.node, self.members, set(near_halls) if near_halls else None
        )
        router = routing.Router(
            self.view,
            self.settings.data_hall,
            self._dependencies.rng,
            self._dependencies.choose,
            lambda: self.store.current.evacuated,
        )
        dispatcher = dispatch.Dispatcher(
            self.view,
            router,
            self.store,
            self.timeline,
            self.client.propose,
            self.metrics.count,
        )
        self.callers = api.CallerApi(
            store=self.store,
            dispatcher=dispatcher,
            limits=limits.WorkspaceLimits(),
            timeline=self.timeline,
            count_entries=self._count_entries,
            is_stopping=lambda: self.refuses,
            measure=self.metrics.measure,
        )

    # Life cycle

    async def start(self) -> None:
        """Listen for peers and start the roles."""
        await self.node.listen(self.settings.peer_address)
        if self.keeper is not None and self.exchange is not None:
            for name, address in self.settings.keepers.items():
                if name != self.settings.daemon:
                    self.node.dial(address)
            self.keeper.start()
            self.placement.start()
            self.exchange.start()
        self.client.start()
        if self.agent is not None:
            self.agent.start()
        self._tasks.append(asyncio.create_task(self._refresh()))
        if self.settings.platform_list is not None:
            polling = platform.poll_list(
                self.settings.platform_list,
                self.members,
                self._handle_platform_list,
                lambda reason: self.timeline.record("platform.list_unreadable", reason=reason),
            )
            self._tasks.append(asyncio.create_task(polling))
        self.timeline.record("daemon.start", roles=[role.value for role in self.settings.roles])

    async def drain(self) -> None:
        """Planned stop: accept no new requests and finish the running ones."""
        self.stopping = True
        self.timeline.record("daemon.leaving")
        self.announcer.update(leaving=True, ready=False)
        deadline = asyncio.get_running_loop().time() + self.settings.stop_seconds
        if self.callers is not None:
            await asyncio.sleep(UNREADY_NOTICE_SECONDS)
            self.refuses = True
            await self._wait_idle(lambda: self.callers.dispatcher.active, deadline)
        if self.agent is not None:
            self.agent.leave("planned stop")
            await self._wait_idle(self.agent.count_active, deadline)

    async def _wait_idle(self, count: Callable[[], int], deadline: float) -> None:
        loop = asyncio.get_running_loop()
        while count() > 0 and loop.time() < deadline:
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop all roles immediately; see `drain` for a planned stop."""
        self.timeline.record("daemon.stop")
        for task in self._tasks:
            task.cancel()
        self.client.stop()
        if self.agent is not None:
            await self.agent.stop()
        if self.exchange is not None:
            self.exchange.stop()
        if self.keeper is not None:
            self.placement.stop()
            await self.keeper.stop()
        await self.node.close()

    # Links

    def _admit(self, daemon_id: str, certificate_name: str) -> None:
        """Admit a peer if its certificate and the settings allow its daemon id.

        Raises
        ------
        faults.FaultError
            Of kind ``forbidden``.
        """
        own = self.settings
        problem = ""
        if own.tls is not None and certificate_name != daemon_id:
            problem = f"the certificate is for {certificate_name!r}"
        elif own.peers is not None and daemon_id not in own.peers:
            problem = "the settings do not name it as a peer"
        if problem:
            message = f"peer {daemon_id!r}: {problem}"
            self.timeline.record("peer.refused", peer=daemon_id, reason=problem)
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.FORBIDDEN, message))

    def _record_refused(self, reason: str) -> None:
        self.timeline.record("peer.refused", peer="", reason=reason)

    def _get_keeper_link(self, address: str) -> links.Link | None:
        return self.node.dial(address).link

    def _get_keeper_links(self) -> list[links.Link]:
        """Return the links to the other keepers."""
        assert self.keeper is not None
        own = self.keeper.replica
        addresses = {voter.address for voter in own.voters.values()} | set(
            self.settings.keepers.values()
        )
        addresses.discard(self.settings.peer_address)
        found = [self.node.dial(address).link for address in addresses]
        return [link for link in found if link is not None]

    def _get_subscribers(self) -> list[links.Link]:
        """Return the accepted links of daemons that are not keepers."""
        assert self.keeper is not None
        keepers = set(self.keeper.replica.voters) | set(self.settings.keepers)
        return [
            link
            for link in self.node.accepted
            if link.hello is not None and link.is_open and link.peer_id not in keepers
        ]

    def _get_report_links(self) -> list[links.Link]:
        """Return the links that receive load reports: those of entries."""
        return [
            link
            for link in self.node.accepted
            if link.hello is not None and link.is_open and self._is_entry(link.peer_id)
        ]

    def _is_entry(self, daemon_id: str) -> bool:
        member = self.members.find(daemon_id)
        return member is None or settings.Role.ENTRY.value in member.roles

    def _handle_home(self, link: links.Link) -> None:
        self.announcer.reannounce(link)
        self.timeline.record("keeper.home", keeper=link.peer_id)

    def _handle_link_down(self, link: links.Link) -> None:
        self._pulled_at.pop(link, None)
        if self.exchange is not None:
            self.exchange.handle_link_down(link)

    # Configuration

    def _handle_peer_version(self, link: links.Link, version: int) -> None:
        """Pull the configuration from a peer that is ahead; keepers get it from the log."""
        if version <= self.store.version or self.keeper is not None:
            return
        now = asyncio.get_running_loop().time()
        if now - self._pulled_at.get(link, -1e9) < MIN_PULL_INTERVAL_SECONDS:
            return
        self._pulled_at[link] = now
        with contextlib.suppress(links.LinkLost):
            link.send(messages.ConfigPull(self.store.version))

    def _handle_configuration(self, store: stores.Store) -> None:
        self.timeline.record(
            "config.in_force",
            version=store.version,
            evacuated=sorted(store.list_names(stores.EVACUATIONS)),
        )
        self.announcer.update(config_version=store.version)

    def _handle_platform_list(self, leaving: set[str]) -> None:
        self.timeline.record("platform.list", leaving=sorted(leaving))
        if self.agent is not None and not self.stopping:
            self.agent.set_host_leaving(self.settings.daemon in leaving)

    def _report_readiness(self) -> None:
        assert self.keeper is not None
        self.announcer.update(ready=self.keeper.replica.has_leader)

    # Messages

    async def _serve(self, exchange_: links.Exchange, body: messages.Body) -> None:
        try:
            await self._serve_body(exchange_, body)
        except (faults.FaultError, links.LinkLost):
            raise
        except Exception as error:
            raise faults.FaultError(self.record_internal_error(error)) from error

    async def _serve_body(self, exchange_: links.Exchange, body: messages.Body) -> None:
        if isinstance(body, messages.Query):
            await self._serve_query(exchange_, body)
        elif isinstance(body, messages.Start) and self.agent is not None:
            await self.agent.serve(exchange_, body)
        elif self.keeper is None or not await self.keeper.serve(exchange_, body):
            message = f"{self.settings.daemon} does not serve {type(body).__name__}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message))

    async def answer_query(self, subject: str, arguments: dict[str, Any]) -> Any:
        """Answer a query about this daemon.

        Raises
        ------
        faults.FaultError
            Of kind ``not_found`` if there is no such query.
        """
        query = self.queries.get(subject)
        if query is None:
            message = f"got query {subject!r}, expected one of {sorted(self.queries)}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
        result = query(arguments)
        return await result if asyncio.iscoroutine(result) else result

    async def _serve_query(self, exchange_: links.Exchange, body: messages.Query) -> None:
        result = await self.answer_query(body.subject, codec.decode_json(body.arguments))
        exchange_.send(messages.QueryReply(codec.encode_json(result)))

    def _notify(self, link: links.Link, body: messages.Body) -> None:
        now = asyncio.get_running_loop().time()
        match body:
            case messages.Loads():
                if self.view is not None:
                    self.view.handle_loads(link, body, now)
            case messages.ConfigPull():
                self._send_delta(link, body)
            case messages.ConfigDelta():
                if self.keeper is None:
                    self.store.apply_delta(body)
            case messages.Members():
                self._handle_members(link, body, now)

    def _send_delta(self, link: links.Link, body: messages.ConfigPull) -> None:
        if body.have < self.store.version:
            with contextlib.suppress(links.LinkLost):
                link.send(self.store.build_delta(body.have))

    def _handle_members(self, link: links.Link, body: messages.Members, now: float) -> None:
        others = [item for item in body.members if item.daemon_id != self.settings.daemon]
        if self.exchange is not None:
            self.exchange.handle_members(link, dataclasses.replace(body, members=others))
        else:
            self.members.merge(others, now)

    # Periodic updates

    async def _refresh(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.view is not None:
                self.view.refresh(loop.time())
            if self.keeper is not None:
                self._report_readiness()
            keepers = {
                member.daemon_id: member.address
                for member in self.members.list_live()
                if settings.Role.KEEPER.value in member.roles
            }
            self.client.update_keepers(keepers)
            if self.agent is not None:
                leaving = sorted(self.agent.list_leaving())
                self.announcer.update(leaving_targets=leaving)
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)

    def _count_entries(self) -> int:
        """Count the live entries, this one included."""
        entries = [
            member
            for member in self.members.list_live()
            if settings.Role.ENTRY.value in member.roles and not member.leaving
        ]
        return max(1, len(entries))

    @property
    def is_ready(self) -> bool:
        """Whether the platform's load balancer should send requests here."""
        if self.stopping or self.store.version == 0:
            return False
        current = self.store.current
        has_targets = bool(current.pools or current.services)
        if self.view is not None and has_targets and not self.view.has_linked:
            return False
        if self.settings.stale_action is settings.StaleAction.SERVE:
            return True
        age = asyncio.get_running_loop().time() - self.client.last_contact_at
        return age < self.settings.stale_seconds

    def record_internal_error(self, error: Exception) -> faults.Fault:
        """Log an unexpected error under a new id and return a fault with that id."""
        error_id = f"e-{random.getrandbits(48):012x}"
        self.timeline.record(
            "internal.error", error_id=error_id, error=f"{type(error).__name__}: {error}"
        )
        links.log_exception(error_id, error)
        message = f"unexpected error, see {error_id} in the log of {self.settings.daemon}"
        return faults.new_fault(kinds.ErrorKind.INTERNAL, message, detail={"error_id": error_id})

    # Queries to other daemons

    @contextlib.asynccontextmanager
    async def borrow_link(self, address: str) -> AsyncIterator[links.Link]:
        """Borrow a link to a daemon, dialing it temporarily if there is none."""
        was_dialed = address in self.node.get_dialed()
        peer = self.node.dial(address)
        try:
            yield await peer.wait_link(QUERY_TIMEOUT_SECONDS)
        finally:
            if not was_dialed:
                self.node.disconnect(address)

    async def query_daemon(
        self, member: messages.Member, subject: str, arguments: dict[str, Any]
    ) -> Any:
        """Query another daemon, or this one.

        Raises
        ------
        links.LinkLost
            If the daemon does not reply.
        """
        if member.daemon_id == self.settings.daemon:
            return await self.answer_query(subject, arguments)
        async with self.borrow_link(member.address) as link:
            query = messages.Query(subject, json.dumps(arguments))
            reply = await link.call(query, QUERY_TIMEOUT_SECONDS)
        assert isinstance(reply, messages.QueryReply)
        return codec.decode_json(reply.result)
