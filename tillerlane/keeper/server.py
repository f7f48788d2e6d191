"""The keeper's side of its peer links: votes, entries, proposals, subscriptions."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from tillerlane.config import store as stores
from tillerlane.keeper import commands, proposals, replica
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["Keeper"]

MAX_HOPS = 2
FORWARD_TIMEOUT_SECONDS = 4.0


class Keeper:
    """The keeper role of a daemon.

    Parameters
    ----------
    node_replica : replica.Replica
        Its part in the log.
    get_link : callable
        (address) gives the link to a keeper, or None.
    get_subscribers : callable
        Links of daemons that hear of each new configuration.
    now_ms : callable
        Wall time in milliseconds; the age of claims goes on from it in steady time, so that no
        step of the clock makes a claim old.
    """

    def __init__(
        self,
        node_replica: replica.Replica,
        get_link: Callable[[str], links.Link | None],
        get_subscribers: Callable[[], list[links.Link]],
        now_ms: Callable[[], int],
    ) -> None:
        self.replica = node_replica
        self._get_link = get_link
        self._get_subscribers = get_subscribers
        self._now_ms = now_ms
        self._began_ms = 0.0
        """Wall time less the event loop's time, in milliseconds, when the keeper began."""
        node_replica.state_machine.store.add_listener(self._push)

    def start(self) -> None:
        """Start the keeper."""
        self._began_ms = self._now_ms() - asyncio.get_running_loop().time() * 1000
        self.replica.start()

    async def stop(self) -> None:
        """Stop the keeper."""
        await self.replica.stop()

    def _push(self, store: stores.Store) -> None:
        """Send the newest change to all subscribers; who lacks more pulls it."""
        delta = store.build_delta(store.version - 1)
        for link in self._get_subscribers():
            links.try_send(link, delta)

    async def serve(self, exchange: links.Exchange, body: messages.Body) -> bool:
        """Serve an exchange that a peer opened; False if it is not for a keeper."""
        match body:
            case messages.VoteRequest():
                exchange.send(await self.replica.handle_vote_request(body))
            case messages.AppendRequest():
                exchange.send(await self.replica.handle_append(body))
            case messages.SnapshotPiece():
                exchange.send(await self.replica.handle_snapshot_piece(body))
            case messages.Propose():
                answer = await self.propose(body.command, body.hops)
                exchange.send(messages.ProposeReply(msgspec.json.encode(answer)))
            case _:
                return False
        return True

    async def propose(self, command: bytes, hops: int = 0) -> dict[str, Any]:
        """Commit a command here or at the leader.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if there is no leader, or its answer got lost (``ran: unknown``).
        """
        own = self.replica
        if own.is_leading and own.has_lease:
            return await self._propose_here(command)
        leader = own.voters.get(own.leader)
        link = self._get_link(leader.address) if leader and own.leader != own.name else None
        if link is None or hops >= MAX_HOPS:
            raise proposals.build_no_quorum(f"{own.name} knows no leader")
        return await proposals.send(link, command, hops + 1, FORWARD_TIMEOUT_SECONDS)

    async def _propose_here(self, command: bytes) -> dict[str, Any]:
        decoded = commands.decode(command)
        if isinstance(decoded, commands.ClaimOpen):
            command = commands.encode(self._restamp(decoded))
        if isinstance(decoded, commands.VoterRemove):
            return await self.replica.change_voters(decoded)
        if isinstance(decoded, commands.VoterAdd):
            self.replica.add_learner(decoded.name, decoded.address)
            return {"done": True}
        return await self.replica.propose(command)

    def _restamp(self, command: commands.ClaimOpen) -> commands.ClaimOpen:
        """Give a claim the leader's time, so that entries' clocks do not matter."""
        now = int(self._began_ms + asyncio.get_running_loop().time() * 1000)
        age = command.expires_ms - command.at_ms
        return msgspec.structs.replace(command, at_ms=now, expires_ms=now + age)

    def get_status(self) -> dict[str, Any]:
        """State of this keeper, for operators."""
        own = self.replica
        return {
            "standing": own.role.value,
            "leader": own.leader,
            "term": own.storage.term,
            "last_index": own.storage.last_index,
            "commit": own.commit_index,
            "snapshot": own.storage.snapshot.last_index,
            "has_lease": own.has_lease,
            "is_voter": own.is_voter,
            "voters": {name: voter.address for name, voter in own.voters.items()},
            "learners": dict(own.replication.learners),
            "disk_failed": own.disk_fault.message if own.disk_fault else None,
            "claims": len(own.state_machine.claims),
        }


async def run_in_thread(work: Callable[..., Any], *arguments: Any) -> Any:
    """Run a blocking function off the event loop."""
    return await asyncio.to_thread(work, *arguments)
