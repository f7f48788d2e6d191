"""How members are told of: a daemon tells its home keeper, keepers tell each other and all.

Keepers pass on every change to each other, and to their subscribers only what matters to them:
a daemon's report of its configuration version does not travel to hundreds of others.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

from tillerlane.members import view as views
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["Announcer", "KeeperExchange", "is_significant"]

GATHER_SECONDS = 0.05
"""How long a keeper gathers changes before it passes them on."""
AGE_SECONDS = 0.25


def is_significant(old: messages.Member | None, new: messages.Member) -> bool:
    """Whether a change matters beyond the keepers."""
    if old is None:
        return True
    return dataclasses.replace(
        old, sequence=new.sequence, config_version=new.config_version
    ) != dataclasses.replace(new)


class Announcer:
    """A daemon's own record, told to its home keeper whenever it changes.

    Parameters
    ----------
    member : messages.Member
        The record at the start.
    view : views.MemberView
        The daemon's own view; it learns of the record too.
    get_home : callable
        Gives the link to the home keeper, or None.
    """

    def __init__(
        self,
        member: messages.Member,
        view: views.MemberView,
        get_home: Callable[[], links.Link | None],
    ) -> None:
        self.member = member
        self._view = view
        self._get_home = get_home

    def update(self, **changes: Any) -> None:
        """Change the record and tell of it; nothing is told if nothing changed."""
        changed = dataclasses.replace(self.member, **changes)
        if changed == self.member and self.member.sequence > 0:
            return
        self.member = dataclasses.replace(changed, sequence=self.member.sequence + 1)
        self.announce(self._get_home())

    def reannounce(self, link: links.Link) -> None:
        """Tell a new home; the rising sequence overrides what the former one suspects."""
        self.member = dataclasses.replace(self.member, sequence=self.member.sequence + 1)
        self.announce(link)

    def announce(self, link: links.Link | None) -> None:
        """Send the record."""
        self._view.merge([self.member], asyncio.get_running_loop().time())
        if link is None:
            return
        try:
            link.send(messages.Members([self.member]))
        except links.LinkLost:
            return


class KeeperExchange:
    """A keeper's part: passes changes on, suspects those whose link is lost.

    Parameters
    ----------
    view : views.MemberView
        The keeper's view.
    get_keepers : callable
        Links to the other keepers.
    get_subscribers : callable
        Links of daemons that call this keeper their home.
    """

    def __init__(
        self,
        view: views.MemberView,
        get_keepers: Callable[[], list[links.Link]],
        get_subscribers: Callable[[], list[links.Link]],
    ) -> None:
        self._view = view
        self._get_keepers = get_keepers
        self._get_subscribers = get_subscribers
        self._homed: dict[links.Link, None] = {}
        """Links over which a daemon told of itself; two keepers may have two of them."""
        self._pending: dict[str, messages.Member] = {}
        self._told: dict[str, messages.Member] = {}
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        view.add_listener(self._note)

    def start(self) -> None:
        """Start passing on."""
        self._tasks = [asyncio.create_task(self._pass_on()), asyncio.create_task(self._age())]

    def stop(self) -> None:
        """Stop passing on."""
        for task in self._tasks:
            task.cancel()

    def handle_members(self, link: links.Link, body: messages.Members) -> None:
        """Take members that a peer told of."""
        now = asyncio.get_running_loop().time()
        for member in body.members:
            if member.daemon_id == link.peer_id and link not in self._homed:
                self._homed[link] = None
                self._tell_all(link)
        self._view.merge(body.members, now)

    def _tell_all(self, link: links.Link) -> None:
        try:
            link.send(messages.Members(self._view.list_all(), whole=True))
        except links.LinkLost:
            return

    def handle_link_down(self, link: links.Link) -> None:
        """Suspect a daemon that called this keeper its home, once its last link is lost."""
        if link not in self._homed:
            return
        del self._homed[link]
        if all(other.peer_id != link.peer_id for other in self._homed):
            self._view.suspect(link.peer_id, asyncio.get_running_loop().time())

    def _note(self, changed: list[messages.Member]) -> None:
        for member in changed:
            self._pending[member.daemon_id] = member
        self._changed.set()

    async def _pass_on(self) -> None:
        while True:
            await self._changed.wait()
            await asyncio.sleep(GATHER_SECONDS)
            self._changed.clear()
            members = list(self._pending.values())
            self._pending = {}
            significant = []
            for member in members:
                if is_significant(self._told.get(member.daemon_id), member):
                    significant.append(member)
                self._told[member.daemon_id] = member
            _send(self._get_keepers(), members)
            _send(self._get_subscribers(), significant)

    async def _age(self) -> None:
        while True:
            await asyncio.sleep(AGE_SECONDS)
            self._view.expire_suspects(asyncio.get_running_loop().time())


def _send(peers: list[links.Link], members: list[messages.Member]) -> None:
    if not members:
        return
    for link in peers:
        try:
            link.send(messages.Members(members))
        except links.LinkLost:
            continue
