"""Stand-in daemons as tasks, with real links and subscriptions but no work.

To the keepers a stand-in subscriber behaves like an agent; a stand-in agent also listens and
reports load to entries.  Hundreds run in one process.
"""

import asyncio
import dataclasses
import time

from tillerlane.config import store as stores
from tillerlane.keeper import client as clients
from tillerlane.members import exchange
from tillerlane.members import view as views
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.peers import node as nodes
from tillerlane.timeline import clock as clocks

__all__ = ["StandIn", "start_many"]


@dataclasses.dataclass(slots=True)
class StandIn:
    """One stand-in daemon."""

    name: str
    node: nodes.Node
    store: stores.Store
    client: clients.KeeperClient
    announcer: exchange.Announcer
    in_force_at: dict[int, float]
    """Maps a version to the monotonic time at which it came into force here."""
    report_task: asyncio.Task[None] | None = None

    async def stop(self) -> None:
        """Stop the stand-in."""
        if self.report_task is not None:
            self.report_task.cancel()
        self.client.stop()
        await self.node.close()


async def _refuse_exchange(exchange_: links.Exchange, body: messages.Body) -> None:
    exchange_.close()


async def _report_load(node: nodes.Node, targets: list[str], rate: float) -> None:
    """Report load at the rate of a busy agent."""
    sequence = 0
    while True:
        await asyncio.sleep(1 / rate)
        sequence += 1
        loads = [
            messages.Load(
                target=target,
                running=sequence % 30,
                memory_used=sequence * 17 % 16_000,
                memory_total=16_000,
                models=["m"],
                sequence=sequence,
            )
            for target in targets
        ]
        for link in list(node.accepted):
            if link.hello is not None and link.is_open:
                link.send(messages.Loads(loads))


async def start_one(
    number: int,
    keepers: dict[str, str],
    *,
    address: str,
    hall: str,
    targets: list[str],
    report_rate: float,
) -> StandIn:
    """Start one stand-in; with a report rate it also listens and reports its targets' load."""
    name = f"stand-in-{number}"
    store = stores.Store()
    members = views.MemberView(keepers.values())
    in_force_at: dict[int, float] = {}
    requested_at: dict[links.Link, float] = {}

    def request_update(link: links.Link, version: int) -> None:
        now = time.monotonic()
        if version > store.version and now - requested_at.get(link, 0) > 0.2:
            requested_at[link] = now
            link.send(messages.ConfigPull(store.version))

    def notify(link: links.Link, body: messages.Body) -> None:
        if isinstance(body, messages.ConfigDelta):
            store.apply_delta(body)
        elif isinstance(body, messages.Members):
            members.merge(body.members, asyncio.get_running_loop().time())

    local = links.Local(
        daemon_id=name,
        fleet="fleet",
        address=address,
        incarnation=1,
        clock=clocks.HybridClock(),
        get_config_version=lambda: store.version,
        on_peer_version=request_update,
        serve=_refuse_exchange,
        notify=notify,
    )
    node = nodes.Node(local)
    if report_rate:
        await node.listen(address)
    member = messages.Member(name, 1, 0, address, address, hall, ["agent"], targets)
    client = clients.KeeperClient(
        name, keepers, node, members, lambda link: announcer.reannounce(link)
    )
    announcer = exchange.Announcer(member, members, lambda: client.home)

    def record_configuration(configuration: stores.Configuration) -> None:
        in_force_at[configuration.version] = time.monotonic()
        announcer.update(config_version=configuration.version)

    store.add_listener(record_configuration)
    client.start()
    stand_in = StandIn(name, node, store, client, announcer, in_force_at)
    if report_rate:
        stand_in.report_task = asyncio.create_task(_report_load(node, targets, report_rate))
    return stand_in


async def start_many(
    first: int,
    count: int,
    keepers: dict[str, str],
    *,
    ports: list[int] | None = None,
    hall: str = "hall-a",
    targets_each: int = 0,
    report_rate: float = 0.0,
) -> list[StandIn]:
    """Start stand-ins in small batches."""
    started = []
    for position in range(count):
        number = first + position
        port = ports[position] if ports else 1
        targets = [f"t-{number}-{index}" for index in range(targets_each)]
        started.append(
            await start_one(
                number,
                keepers,
                address=f"127.0.0.1:{port}",
                hall=hall,
                targets=targets,
                report_rate=report_rate,
            )
        )
        if position % 20 == 19:
            await asyncio.sleep(0.1)
    return started
