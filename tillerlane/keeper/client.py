"""A daemon's connection to the keepers: one home keeper, with fail-over to another."""

import asyncio
import dataclasses
import hashlib
from collections.abc import Callable
from typing import Any

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import commands, proposals
from tillerlane.members import view as views
from tillerlane.peers import link as links
from tillerlane.peers import node as nodes

__all__ = ["KeeperClient"]

CHECK_INTERVAL_SECONDS = 0.25
HOME_TIMEOUT_SECONDS = 0.75
"""How long the home keeper may be without a link before the next one is tried."""
CALL_TIMEOUT_SECONDS = 5.0
PROPOSE_TIMEOUT_SECONDS = 6.0
RETRY_DELAY_SECONDS = 0.1


class KeeperClient:
    """Connection of one daemon to its home keeper.

    Parameters
    ----------
    daemon_id : str
        This daemon; its hash determines the order of keepers, so that daemons spread over them.
    keepers : dict
        Keepers from the settings: daemon id to peer address.
    node : nodes.Node
        Dials the keepers.
    members : views.MemberView
        Reports which keepers are ready.
    on_home : callable
        Called with the link whenever a new home is connected.
    """

    def __init__(
        self,
        daemon_id: str,
        keepers: dict[str, str],
        node: nodes.Node,
        members: views.MemberView,
        on_home: Callable[[links.Link], None],
    ) -> None:
        self._node = node
        self._members = members
        self._on_home = on_home
        self._daemon_id = daemon_id
        self._keepers = dict(keepers)
        self._order = self._sort(keepers)
        self._position = 0
        self._peer: nodes.Peer | None = None
        self._unlinked_since = 0.0
        self._last_link: links.Link | None = None
        self.last_contact_at = -1e9
        self._task: asyncio.Task[None] | None = None

    def _sort(self, keepers: dict[str, str]) -> list[str]:
        def hash_name(name: str) -> bytes:
            return hashlib.blake2b(f"{self._daemon_id}:{name}".encode()).digest()

        return sorted(keepers, key=hash_name)

    def update_keepers(self, keepers: dict[str, str]) -> None:
        """Add the current keepers; those of the settings may no longer exist."""
        merged = {**self._keepers, **keepers}
        if merged != self._keepers:
            self._keepers = merged
            self._order = self._sort(merged)
            self._members.keeper_addresses.update(merged.values())

    def start(self) -> None:
        """Start the task that keeps a home connected."""
        self._task = asyncio.create_task(self._maintain_home())

    def stop(self) -> None:
        """Stop that task."""
        if self._task is not None:
            self._task.cancel()

    @property
    def home(self) -> links.Link | None:
        """Link to the home keeper; None while there is none."""
        return self._peer.link if self._peer is not None else None

    @property
    def home_name(self) -> str:
        """Daemon id of the home keeper."""
        return self._order[self._position % len(self._order)]

    async def _maintain_home(self) -> None:
        loop = asyncio.get_running_loop()
        self._dial(loop.time())
        while True:
            now = loop.time()
            link = self.home
            if link is not None and self._is_ready():
                self.last_contact_at = now
                self._unlinked_since = now
                if link is not self._last_link:
                    self._last_link = link
                    self._on_home(link)
            elif now - self._unlinked_since > HOME_TIMEOUT_SECONDS:
                self._switch_home(now)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _is_ready(self) -> bool:
        """Whether the home keeper may be ready, or no other keeper is known to be."""
        if self._is_known_ready(self.home_name):
            return True
        return not any(self._is_known_ready(name) for name in self._order)

    def _is_known_ready(self, name: str) -> bool:
        member = self._members.find(name)
        return member is None or (member.ready and member.state == views.LIVE)

    def _switch_home(self, now: float) -> None:
        previous = self._keepers[self.home_name]
        self._position = (self._position + 1) % len(self._order)
        if self._keepers[self.home_name] != previous:
            self._node.disconnect(previous)
        self._dial(now)

    def _dial(self, now: float) -> None:
        address = self._keepers[self.home_name]
        self._peer = self._node.dial(
            address, heartbeat_seconds=links.SLOW_HEARTBEAT_INTERVAL_SECONDS
        )
        self._unlinked_since = now

    async def propose(self, command: commands.Command) -> dict[str, Any]:
        """Commit a command to the replicated log and return its reply.

        A proposal that was not accepted, or whose outcome is unknown, is retried for up to
        `PROPOSE_TIMEOUT_SECONDS`, since an election may be in progress.  Retrying is safe because
        every command is idempotent: a repeated command gets the reply of the first.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` after `PROPOSE_TIMEOUT_SECONDS`.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PROPOSE_TIMEOUT_SECONDS
        encoded = commands.encode(command)
        ran = kinds.Ran.NO
        while True:
            try:
                return await self._propose_once(encoded)
            except faults.FaultError as error:
                fault = error.fault
                if fault.ran is not kinds.Ran.NO:
                    ran = kinds.Ran.UNKNOWN
                if fault.kind is not kinds.ErrorKind.NO_QUORUM or loop.time() >= deadline:
                    raise faults.FaultError(dataclasses.replace(fault, ran=ran)) from error
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _propose_once(self, encoded: bytes) -> dict[str, Any]:
        link = self.home
        if link is None:
            raise proposals.build_no_quorum("no link to a keeper")
        return await proposals.send(link, encoded, 0, CALL_TIMEOUT_SECONDS)
