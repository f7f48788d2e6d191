"""A daemon's way to the keepers: one home keeper at a time, another when it falls silent."""

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
"""How long a home keeper may be without a link before the next one is tried."""
CALL_TIMEOUT_SECONDS = 5.0
PROPOSE_TIMEOUT_SECONDS = 6.0
RETRY_DELAY_SECONDS = 0.1


class KeeperClient:
    """One daemon's link to the keepers.

    Parameters
    ----------
    daemon_id : str
        This daemon; it decides which keeper comes first, so that homes are spread.
    keepers : dict
        Keepers of the settings: daemon id to peer address.
    node : nodes.Node
        Dials them.
    members : views.MemberView
        Tells which keepers are ready.
    on_home : callable
        Called with the link when there is a new home.
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
        self._linkless_since = 0.0
        self._known_link: links.Link | None = None
        self.last_contact_at = -1e9
        self._task: asyncio.Task[None] | None = None

    def _sort(self, keepers: dict[str, str]) -> list[str]:
        def weigh(name: str) -> bytes:
            return hashlib.blake2b(f"{self._daemon_id}:{name}".encode()).digest()

        return sorted(keepers, key=weigh)

    def update_keepers(self, keepers: dict[str, str]) -> None:
        """Take over the present keepers; those of the settings may be long gone."""
        merged = {**self._keepers, **keepers}
        if merged != self._keepers:
            self._keepers = merged
            self._order = self._sort(merged)
            self._members.keeper_addresses.update(merged.values())

    def start(self) -> None:
        """Start looking for a home."""
        self._task = asyncio.create_task(self._keep_home())

    def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()

    @property
    def home(self) -> links.Link | None:
        """Link to the home keeper."""
        return self._peer.link if self._peer is not None else None

    @property
    def home_name(self) -> str:
        """Daemon id of the home keeper."""
        return self._order[self._position % len(self._order)]

    async def _keep_home(self) -> None:
        loop = asyncio.get_running_loop()
        self._dial(loop.time())
        while True:
            now = loop.time()
            link = self.home
            if link is not None and self._is_ready():
                self.last_contact_at = now
                self._linkless_since = now
                if link is not self._known_link:
                    self._known_link = link
                    self._on_home(link)
            elif now - self._linkless_since > HOME_TIMEOUT_SECONDS:
                self._move_on(now)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _is_ready(self) -> bool:
        """Whether the home keeper hears a leader, as far as is known; or no other does."""
        if self._is_known_ready(self.home_name):
            return True
        return not any(self._is_known_ready(name) for name in self._order)

    def _is_known_ready(self, name: str) -> bool:
        member = self._members.find(name)
        return member is None or (member.ready and member.state == views.LIVE)

    def _move_on(self, now: float) -> None:
        former = self._keepers[self.home_name]
        self._position = (self._position + 1) % len(self._order)
        if self._keepers[self.home_name] != former:
            self._node.disconnect(former)
        self._dial(now)

    def _dial(self, now: float) -> None:
        address = self._keepers[self.home_name]
        self._peer = self._node.dial(
            address, heartbeat_seconds=links.SLOW_HEARTBEAT_INTERVAL_SECONDS
        )
        self._linkless_since = now

    async def propose(self, command: commands.Command) -> dict[str, Any]:
        """Put a command into the replicated log and give its answer.

        A proposal that was not taken is tried again for some seconds, since a new leader may be
        on its way; one whose fate is not known is tried again only if that is harmless, which
        it is for every command: all of them answer a second arrival with the first's answer.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` after `PROPOSE_TIMEOUT_SECONDS`.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + PROPOSE_TIMEOUT_SECONDS
        encoded = commands.encode(command)
        ran = kinds.Ran.NO
        while True:
            try:
                return await self._propose_once(encoded)
            except faults.FaultError as error:
                fault = error.fault
                if fault.ran is not kinds.Ran.NO:
                    ran = kinds.Ran.UNKNOWN
                if fault.kind is not kinds.ErrorKind.NO_QUORUM or loop.time() >= until:
                    raise faults.FaultError(dataclasses.replace(fault, ran=ran)) from error
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _propose_once(self, encoded: bytes) -> dict[str, Any]:
        link = self.home
        if link is None:
            raise proposals.build_no_quorum("no link to a keeper")
        return await proposals.send(link, encoded, 0, CALL_TIMEOUT_SECONDS)
