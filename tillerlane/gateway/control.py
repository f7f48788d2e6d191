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
    backoff_news,
    grants,
    homes,
    incarnations,
    limit_news,
    loads,
    meters,
    news,
    suspects,
    verdicts,
)
from tillerlane.gateway import directory as directories
from tillerlane.keeper import commands, formation, freshness, proposals, replica, server
from tillerlane.keeper import disk as disks
from tillerlane.keeper import machine as machines
from tillerlane.keeper import storage as storages
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

__all__ = ["Control", "ControlSettings", "Surroundings"]

RING_EVENTS = 2_000
MAX_HALL_LETTERS = 100
MAX_EVACUATED_HALLS = 100
"""Bounds on what operators' orders take; the users' target has 16 data halls."""
SWEEP_SECONDS = 0.5
ENTRY_SECONDS = 5.0
"""How long an entry counts after its last word about its load; others tell of it."""
SPREAD_SECONDS = 0.05
"""How long heartbeats wait for others to share their message to other keepers."""
NEWS_SECONDS = 0.05
"""How long changes of targets wait to share their message to subscribers: a thirtieth of the
shortest notice with which a runner leaves."""
WHOLE_SECONDS = 0.3
"""How long all targets, once written, are told to new subscribers, together with what changed
since: after a common start 118 entries subscribe within a second, and writing 3,001 targets takes
20 ms.  Ages told so are too low by as much, a fourth of a heartbeat's interval."""
URGENT_LOADS_SECONDS = 0.02
"""Least pause between two batches for other keepers, and two digests of large changes."""
MOST_DIGESTS = 1_000
"""Digests a second that a keeper sends at most: with more than 20 entries that it tells loads, the
pause grows.  One costs it 35 us, so these are 3.5% of a core."""
LOADS_SECONDS = 0.12
"""Least pause between two digests of smaller changes."""
QUIET_LOADS_SECONDS = 1.0
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
    plan : formation.Plan
        How the keepers find each other.
    silent_seconds : float
        A target whose last heartbeat is older gets work only where nothing else is left.
    read_seconds : float
        A read is answered only if all that was committed so long ago is surely held here.
    """

    name: str
    peer_address: str
    peer_listen_address: str
    metrics_address: str
    data_folder: str
    plan: formation.Plan
    silent_seconds: float
    read_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
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
    own : ControlSettings
        Its settings.
    around : Surroundings, optional
        What it needs of the world.
    """

    def __init__(self, own: ControlSettings, around: Surroundings | None = None) -> None:
        self._own = own
        self._around = around or Surroundings()
        self._loop = asyncio.get_running_loop()
        clock = clocks.HybridClock(self._around.now)
        self.timeline = timelines.Timeline(own.name, clock, RING_EVENTS)
        self.directory = directories.Directory()
        self.directory.listen(self._note_phase)
        self._subscribers: dict[links.Link, messages.Subscribe] = {}
        self._greeted: set[links.Link] = set()
        """Links of keepers that were told all targets."""
        self._entries: dict[str, float] = {}
        self._loads = loads.Ledger(own.name, int(self._around.now() * 1000))
        self._to_keepers = news.News(
            SPREAD_SECONDS,
            lambda targets: self._send_to_keepers(directories.write_states(targets)),
        )
        self._to_subscribers = news.News(NEWS_SECONDS, self._tell_subscribers)
        self._backoffs = backoff_news.BackoffNews(
            SPREAD_SECONDS, self._send_to_all, self._loop.time
        )
        self.limits = limit_news.LimitNews(SPREAD_SECONDS, self._send_to_all, self.timeline)
        self._whole: messages.TargetStates | None = None
        self._whole_at = 0.0
        self._changed_since_whole: dict[str, directories.Target] = {}
        self._pushing: asyncio.Handle | None = None
        self.node = nodes.Node(
            self._build_local(clock),
            open_connection=self._around.open_connection,
            dialing=homes.DIALING,
        )
        self.formation = formation.Formation(
            own.plan, own.name, own.peer_address, self.node, self.timeline
        )
        storage = storages.Storage(self._around.open_disk(own.data_folder), own.name)
        state = machines.Machine()
        self.replica = replica.Replica(
            own.name,
            {own.name: own.peer_address},
            storage,
            state,
            self.timeline,
            self._get_link,
            self._around.run_blocking,
            self._around.rng,
            self.formation.list_founders,
        )
        self.formation.attach(self.replica)
        self.keeper = server.Keeper(
            self.replica, self._get_link, lambda: [], lambda: int(self._around.now() * 1000)
        )
        self.freshness = freshness.KeeperFreshness(
            self.replica,
            self._get_link,
            lambda: len(self._entries),
            self.formation.list_worth_asking,
        )
        self.verdicts = verdicts.Verdicts(
            state.store,
            lambda: self.replica.has_lease,
            self.keeper.propose,
            self._send_to_keepers,
            self._send_to_subscribers,
            lambda: int(self._around.now() * 1000),
            self.timeline,
        )
        self.grants = grants.Grants(
            self.limits.table, self._read_leading_term, self._get_leader, self._loop.time
        )
        self._told_orders = 0
        """Version of the orders that subscribers were told."""
        state.published.listen(self._note_publication)
        state.store.add_listener(self._note_orders)
        self.meters = meters.build_control_meters()
        self._set_gauges()
        self._figures = meters.build_server(self.meters.registry)
        self._tasks: list[asyncio.Task[None]] = []

    def _build_local(self, clock: clocks.HybridClock) -> links.Local:
        return links.Local(
            daemon_id=self._own.name,
            fleet="fleet",
            address=self._own.peer_address,
            incarnation=int(self._around.now() * 1000),
            clock=clock,
            get_config_version=lambda: max(0, self.replica.machine.published.version),
            on_peer_version=lambda link, version: None,
            serve=self._serve_peer,
            notify=self._take_message,
            on_down=self._note_down,
        )

    def _get_link(self, address: str) -> links.Link | None:
        return self.node.dial(address).link

    def _read_leading_term(self) -> int | None:
        """The term in which this keeper leads; None without the lease."""
        is_leading = self.replica.is_leading and self.replica.has_lease
        return self.replica.storage.term if is_leading else None

    def _get_leader(self) -> links.Link | None:
        """Link to the keeper that leads; None without one, or if it is this one."""
        leader = self.replica.voters.get(self.replica.leader)
        is_own = self.replica.leader == self._own.name
        return self._get_link(leader.address) if leader is not None and not is_own else None

    # Life

    async def start(self) -> None:
        """Listen to peers and begin."""
        await self.node.listen(self._own.peer_listen_address)
        await self._figures.listen(self._own.metrics_address)
        self.replica.begin()
        self._tasks = [
            self._loop.create_task(self.formation.run()),
            self._loop.create_task(self.formation.turnover.run()),
            self._loop.create_task(self.freshness.run()),
            self._loop.create_task(self._sweep()),
            self._loop.create_task(self._tell_loads()),
            self._loop.create_task(self.verdicts.run()),
        ]
        self.timeline.record(
            "daemon.start",
            role="keeper",
            seeds=list(self._own.plan.seeds),
            may_found=self._own.plan.may_found,
            last_index=self.replica.storage.last_index,
            version=self.replica.machine.published.version,
        )

    def _set_gauges(self) -> None:
        """Have the gauges read what they show when they are asked."""
        own = self.replica
        self.meters.is_leader.set_function(lambda: own.is_leading)
        self.meters.term.set_function(lambda: own.storage.term)
        self.meters.version.set_function(lambda: own.machine.published.version)
        self.meters.fresh_age.set_function(lambda: self.freshness.read_age() or 0.0)
        self.meters.entries.set_function(lambda: len(self._entries))
        self.meters.targets.set_function(lambda: len(self.directory.targets))
        self.meters.evacuated.set_function(lambda: len(self.list_evacuated()))
        self._set_quorum_gauges()

    def _set_quorum_gauges(self) -> None:
        """Have the gauges read what this keeper sees of the quorum."""
        seen = self.formation.quorum
        self.meters.voters.set_function(lambda: len(seen.view.voters) if seen.view else 0)
        self.meters.live_voters.set_function(lambda: len(seen.view.live) if seen.view else 0)
        self.meters.bearable_losses.set_function(lambda: seen.view.bears if seen.view else 0)
        self.meters.short_seconds.set_function(seen.read_short_seconds)
        self.meters.voteless_seconds.set_function(seen.read_voteless_seconds)
        self.meters.lost_elections.set_function(lambda: self.replica.elections.lost)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self.formation.set_seeds(seeds)
        self.timeline.record("daemon.reload", seeds=list(seeds))

    @property
    def has_failed(self) -> bool:
        """Whether the disk refused a write; what it holds must be read anew."""
        return self.replica.failed is not None

    async def leave(self) -> None:
        """Hand the vote over before a planned stop, if another keeper stands by for it."""
        self.timeline.record("daemon.leaving")
        await self.formation.leave()

    async def stop(self) -> None:
        """End; what was acknowledged is on disks."""
        self.timeline.record("daemon.stop")
        for task in self._tasks:
            task.cancel()
        self._figures.stop_accepting()
        await self.replica.stop()
        await self.node.close()

    async def _sweep(self) -> None:
        """Look after targets that fell silent and entries that went."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = self._loop.time()
            self.directory.mark_silent(now - self._own.silent_seconds)
            self.directory.forget_old(now)
            self.limits.table.forget_unknown(self.directory.targets, now)
            subscribed = {item.entry for item in self._subscribers.values()}
            for entry, heard_at in list(self._entries.items()):
                if now - heard_at > ENTRY_SECONDS and entry not in subscribed:
                    del self._entries[entry]

    # Messages

    async def _serve_peer(self, exchange: links.Exchange, body: messages.Body) -> None:
        if isinstance(body, messages.FreshnessRequest):
            await self.freshness.wait_known()
            self._push_publication()
            exchange.send(self.freshness.build_reply())
        elif isinstance(body, messages.PermitRequest):
            exchange.send(await self.grants.serve(body))
        elif not await self.keeper.serve(exchange, body):
            message = f"keepers serve no {type(body).__name__}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))

    def _take_message(self, link: links.Link, body: messages.Body) -> None:
        match body:
            case messages.KeeperAnnounce():
                self._greet(link)
                self.formation.take(link, body)
            case messages.Subscribe():
                self._subscribe(link, body)
            case messages.ConfigPull():
                links.try_send(link, self.replica.machine.store.build_delta(body.have))
            case messages.PublicationPull():
                self._send_publication(link)
            case messages.TargetStates():
                self._take_states(link, directories.read_states(body))
            case messages.EntryLoads():
                self._entries[body.entry] = self._loop.time()
                self._loads.take_word(body, self._loop.time())
            case messages.PassedLoads():
                self._entries.update(dict.fromkeys(body.entries, self._loop.time()))
                self._loads.take_passed(body, self._loop.time())
            case messages.TargetEnds():
                self.verdicts.take(suspects.read_ends(body))
            case messages.TargetLimits():
                self.limits.take(body)
            case messages.TargetBackoffs():
                self._backoffs.take(body)

    def _greet(self, link: links.Link) -> None:
        """Tell a keeper whose link is new all that is known; it may have been cut off."""
        if link not in self._greeted:
            self._greeted.add(link)
            self._send_whole(link)
            links.try_send(link, self.verdicts.write_for_keeper())
            links.try_send(link, self.limits.write_all())

    def _note_down(self, link: links.Link) -> None:
        self._greeted.discard(link)
        lost = self._subscribers.pop(link, None)
        if lost is not None:
            self.timeline.record("entry.lost", entry=lost.entry)

    def _subscribe(self, link: links.Link, body: messages.Subscribe) -> None:
        is_new = link not in self._subscribers
        self._subscribers[link] = body
        self._entries[body.entry] = self._loop.time()
        if body.loads:
            self._send_digest(link, self._loads.write_whole())
        if not is_new:
            return
        self.timeline.record("entry.subscribed", entry=body.entry, version=body.have)
        # Orders go first: an entry may send requests as soon as it has a publication.
        links.try_send(link, self.replica.machine.store.build_delta(0))
        links.try_send(link, self.verdicts.write_for_entry())
        links.try_send(link, self.limits.write_all())
        self._send_publication(link)
        self._send_whole(link)

    def _send_whole(self, link: links.Link) -> None:
        """Tell all targets to a peer that is new."""
        now = self._loop.time()
        if self._whole is None or now - self._whole_at > WHOLE_SECONDS:
            self._whole = directories.write_states(self.directory.targets.values(), whole=True)
            self._whole_at = now
            self._changed_since_whole.clear()
        links.try_send(link, self._whole)
        if self._changed_since_whole:
            links.try_send(link, directories.write_states(self._changed_since_whole.values()))

    def _send_publication(self, link: links.Link) -> None:
        current = self.replica.machine.published.current
        if current is not None:
            links.try_send(link, current)

    def _note_publication(self, publication: messages.Publication) -> None:
        """Push a committed publication; of several that are applied in a row only the last.

        After a restart of all keepers the first commit applies every version since the last
        snapshot, and each one that an entry puts in force costs it the reading of a table.
        """
        self.timeline.record("config.committed", version=publication.version)
        if self._pushing is None:
            self._pushing = self._loop.call_soon(self._push_publication)

    def _push_publication(self) -> None:
        """Send the publication in force to all subscribers, if that is still to be done."""
        if self._pushing is None:
            return
        self._pushing.cancel()
        self._pushing = None
        for link in list(self._subscribers):
            self._send_publication(link)

    def _note_orders(self, store: stores.Store) -> None:
        """Push the orders that changed to all subscribers; who misses some asks for them."""
        halls = sorted(store.list_names(stores.EVACUATIONS))
        held = len(store.list_names(stores.QUARANTINE))
        self.timeline.record("orders.committed", version=store.version, halls=halls, held=held)
        self._send_to_subscribers(store.build_delta(self._told_orders))
        self._told_orders = store.version

    def _send_to_all(self, body: messages.Body) -> None:
        """Send a message to all other keepers and all subscribers."""
        self._send_to_keepers(body)
        self._send_to_subscribers(body)

    def _send_to_subscribers(self, body: messages.Body) -> None:
        for link in list(self._subscribers):
            links.try_send(link, body)

    async def _tell_loads(self) -> None:
        """Pass on to other keepers what entries told here, and tell subscribers the sums."""
        whole_at = paced_at = 0.0
        while True:
            told = sum(asked.loads for asked in self._subscribers.values())
            await asyncio.sleep(max(URGENT_LOADS_SECONDS, told / MOST_DIGESTS))
            now = self._loop.time()
            dropped = self._loads.expire(now)
            if dropped:
                self.timeline.record("loads.expired", entries=dropped, after_s=loads.WORD_SECONDS)
            passed = self._loads.write_passed()
            if passed is not None:
                self._send_to_keepers(passed)
            is_due = now - whole_at > QUIET_LOADS_SECONDS
            is_paced = now - paced_at > LOADS_SECONDS
            least = loads.LEAST_CHANGE_TOKENS if is_paced else loads.URGENT_CHANGE_TOKENS
            digest = self._loads.write_changes(least, is_due=is_due)
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
        included = self._loads.read_included(self._subscribers[link].entry)
        links.try_send(link, dataclasses.replace(digest, included=included))

    def _send_to_keepers(self, body: messages.Body) -> None:
        for address in self.formation.list_addresses():
            link = self._get_link(address)
            if link is not None:
                links.try_send(link, body)

    # Targets

    def take_heartbeat(self, target: directories.Target) -> None:
        """Take a target's own word and spread it.

        Raises
        ------
        faults.FaultError
            ``bad_request`` if a target of another pool has that id: then it is another writer's
            word, which may not end what that target does.
        """
        name = incarnations.split_id(target.target_id).name
        present = self.directory.find(name)
        if present is not None and present.pool != target.pool:
            message = f"got pool {target.pool!r} for {name}, expected {present.pool!r}"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))
        changed = self.directory.take(target)
        known = self.directory.targets.get(target.target_id)
        if known is None:
            return
        self._to_keepers.add(known, is_urgent=changed)

    def take_leave(self, name: str, born: int = 0) -> None:
        """Take a target's word that it goes, of the start that it names or of the latest."""
        known = self.directory.find(name)
        if known is None or born not in (0, incarnations.split_id(known.target_id).born):
            return
        if self.directory.mark_gone(known.target_id):
            self._to_keepers.add(known)

    def _take_states(self, link: links.Link, states: list[directories.Target]) -> None:
        """Take word of targets; other keepers are told what an entry has learnt from answers."""
        is_of_entry = link in self._subscribers
        for target in states:
            if self.directory.take(target) and is_of_entry:
                self._to_keepers.add(self.directory.targets[target.target_id], is_urgent=True)

    def _note_phase(self, target: directories.Target, former: directories.Phase | None) -> None:
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
            self.limits.table.forget(target.target_id)
        if target.is_over and former is not None:
            # Whoever hears of the present incarnation ends the former one, and first hears until
            # when that one lived: entries are not told each heartbeat.
            self._changed_since_whole.pop(target.target_id, None)
            self._to_subscribers.add(dataclasses.replace(target, phase=former, is_over=False))
            return
        self._changed_since_whole[target.target_id] = target
        self._to_subscribers.add(target)

    def _tell_subscribers(self, targets: list[directories.Target]) -> None:
        self._send_to_subscribers(directories.write_states(targets))

    # Configuration

    async def publish(self, version: int, document: bytes) -> dict[str, Any]:
        """Publish a checked document; returns once it, or a higher version, is committed.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if it may or may not be committed later.
        """
        held = self.replica.machine.published.version
        if version <= held:
            return {"taken": False, "version": held}
        content = zlib.compress(document, 6)
        at_ms = int(self._around.now() * 1000)
        command = commands.encode(commands.Publish(version, content, at_ms))
        answer = await self.keeper.propose(command)
        self.timeline.record("config.published", version=version, answer=answer)
        return answer

    def list_evacuated(self) -> frozenset[str]:
        """Data halls whose targets get nothing new, by what is committed here."""
        return self.replica.machine.store.list_names(stores.EVACUATIONS)

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
        against = self.replica.machine.store.version
        while True:
            at_ms = int(self._around.now() * 1000)
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
        is_name = 0 < len(data_hall) <= MAX_HALL_LETTERS and data_hall.isprintable()
        is_many = len(self.list_evacuated() - {data_hall}) >= MAX_EVACUATED_HALLS
        if not is_name or is_many:
            message = f"got data hall {data_hall[:MAX_HALL_LETTERS]!r}, expected the name of one"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))

    def read_publication(self) -> bytes:
        """The document in force.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if a newer one may be in force, ``not_found`` if there is none.
        """
        age = self.freshness.read_age()
        if age is None or age > self._own.read_seconds:
            raise proposals.build_no_quorum(f"got word of age {age} s from the leader")
        current = self.replica.machine.published.current
        if current is None:
            message = "nothing was published yet"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
        return zlib.decompress(current.content)
