"""A keeper's part in holding back requests under which targets ended.

Entries tell of such ends, and of requests that ended well after all.  Keepers pass on to each other
all that is new, and to entries only what concerns a request under which more than one target ended:
that is what an entry needs to hold it back, or to vouch for it.  The leader has the log hold back
what is deadly, so that it stays so whoever starts again.  All of 300 entries know within 0.05 s of
virtual time, for 1.7 kB each (`benchmarks.endings`).
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from tillerlane.config import store as stores
from tillerlane.decisions import quarantine
from tillerlane.faults import core as faults
from tillerlane.gateway import suspects
from tillerlane.keeper import commands
from tillerlane.keeper import state_machine as state_machines
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["QuarantineCoordinator"]

BATCH_DELAY_SECONDS = 0.02
"""How long ends wait to share a message: a target that ends breaks all of its answers off at once,
at many entries.  A fiftieth of the second within which the whole fleet should know."""
DECISION_INTERVAL_SECONDS = 0.5
"""How often the leader looks for what the log should hold back: late enough for entries to vouch
for a request, and a sixth of the shortest time met in which the fleet has to know (3 s)."""

Send = Callable[[messages.TargetEnds], None]


class QuarantineCoordinator:
    """What one keeper knows of requests that end targets.

    Parameters
    ----------
    store : stores.Store
        What the log holds back.
    has_lease : callable
        Whether this keeper leads.
    propose : callable
        Has the log take a command.
    send_to_keepers, send_to_entries : callable
        Send a message to all other keepers, to all subscribed entries.
    now_ms : callable
        Time of day in milliseconds.
    timeline : timelines.Timeline
        Takes what is decided.
    """

    def __init__(
        self,
        store: stores.Store,
        has_lease: Callable[[], bool],
        propose: Callable[[bytes], Awaitable[dict[str, object]]],
        send_to_keepers: Send,
        send_to_entries: Send,
        now_ms: Callable[[], int],
        timeline: timelines.Timeline,
    ) -> None:
        self.suspects = suspects.Suspects()
        self._store = store
        self._has_lease = has_lease
        self._propose = propose
        self._send_to_keepers = send_to_keepers
        self._send_to_entries = send_to_entries
        self._now_ms = now_ms
        self._timeline = timeline
        self._new: list[suspects.TargetExit] = []
        self._timer: asyncio.TimerHandle | None = None

    # Spreading

    def handle_exits(self, ends: Iterable[suspects.TargetExit]) -> None:
        """Take what an entry or another keeper tells, and pass on what is new."""
        new = self.suspects.merge(ends)
        self._new += new
        if new and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(BATCH_DELAY_SECONDS, self._spread)

    def _spread(self) -> None:
        self._timer = None
        new, self._new = self._new, []
        self._send_to_keepers(suspects.encode_exits(new))
        told = dict.fromkeys(end.fingerprint for end in new)
        concerned = [item for item in told if self.suspects.is_repeated(item)]
        if not concerned:
            return
        for fingerprint in concerned:
            ended = self.suspects.count(fingerprint)
            self._timeline.record("request.suspected", fingerprint=fingerprint, ended=ended)
        self._send_to_entries(suspects.encode_exits(self.suspects.list_exits(concerned)))

    def build_for_keeper(self) -> messages.TargetEnds:
        """All that is known, for a keeper whose link is new."""
        return suspects.encode_exits(self.suspects.list_all())

    def build_for_entry(self) -> messages.TargetEnds:
        """All that concerns entries, for one that is new."""
        return suspects.encode_exits(self.suspects.list_exits(self.suspects.list_repeated()))

    # The log

    async def run(self) -> None:
        """While this keeper leads, have the log hold back what is deadly; until cancelled."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_SECONDS)
            if self._has_lease():
                await self._settle()

    async def _settle(self) -> None:
        held = self._store.list_names(stores.QUARANTINE)
        has_room = len(held) < state_machines.MAX_QUARANTINED
        for fingerprint in self.suspects.list_repeated():
            is_deadly = quarantine.is_poison(self.suspects.count(fingerprint))
            if is_deadly and fingerprint not in held and has_room:
                await self._decide(fingerprint, hold=True)
            elif fingerprint in held and not is_deadly and self.suspects.is_cleared(fingerprint):
                await self._decide(fingerprint, hold=False)

    async def _decide(self, fingerprint: str, *, hold: bool) -> None:
        target_ids = self.suspects.list_targets(fingerprint)
        command = commands.Quarantine(fingerprint, hold, "keepers", self._now_ms(), target_ids)
        try:
            answer = await self._propose(commands.encode(command))
        except faults.FaultError as error:
            # The next look proposes it again; meanwhile all go by what they were told.
            self._timeline.record(
                "request.undecided", fingerprint=fingerprint, message=error.fault.message
            )
            return
        self._timeline.record(
            "request.quarantined",
            fingerprint=fingerprint,
            held=hold,
            targets=target_ids,
            accepted=answer["accepted"],
        )
