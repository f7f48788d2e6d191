"""A keeper's part in the quarantine of requests under which targets exited.

Entries report such exits, and successes of the same requests.  Keepers forward all changes to each
other, but to entries only those of requests under which more than one target exited: an entry needs
these to refuse such a request, or to clear it.  The leader has the log quarantine poison requests,
so that restarts don't release them.  All of 300 entries are informed within 0.05 s of virtual time,
with 1.7 kB each (`benchmarks.endings`).
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from tillerlane.config import store as stores
from tillerlane.decisions import quarantine
from tillerlane.faults import core as faults
from tillerlane.gateway.quarantine import suspects
from tillerlane.keeper import commands
from tillerlane.keeper import state_machine as state_machines
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["QuarantineCoordinator"]

BATCH_DELAY_SECONDS = 0.02
"""How long exits are gathered for a message: a target that exits truncates all of its responses at
once, at many entries.  A fiftieth of the second within which the fleet should be informed."""
DECISION_INTERVAL_SECONDS = 0.5
"""How often the leader checks what the log should quarantine: late enough for entries to clear a
request, and a sixth of the shortest time within which the fleet has to be informed (3 s)."""

Send = Callable[[messages.TargetEnds], None]


class QuarantineCoordinator:
    """Distributes target exits at one keeper, and decides on the quarantine at the leader.

    Parameters
    ----------
    store : stores.Store
        Requests that the log quarantines.
    has_lease : callable
        Whether this keeper leads.
    propose : callable
        Proposes a command to the log.
    send_to_keepers, send_to_entries : callable
        Send a message to all other keepers, to all subscribed entries.
    now_ms : callable
        Time of day in milliseconds.
    timeline : timelines.Timeline
        Logs decisions.
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
        self._unsent: list[suspects.TargetExit] = []
        self._timer: asyncio.TimerHandle | None = None

    # Distribution

    def handle_exits(self, exits: Iterable[suspects.TargetExit]) -> None:
        """Merge exits from an entry or another keeper, and forward changes."""
        changed = self.suspects.merge(exits)
        self._unsent += changed
        if changed and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(BATCH_DELAY_SECONDS, self._flush)

    def _flush(self) -> None:
        self._timer = None
        changed, self._unsent = self._unsent, []
        self._send_to_keepers(suspects.encode_exits(changed))
        fingerprints = dict.fromkeys(target_exit.fingerprint for target_exit in changed)
        repeated = [item for item in fingerprints if self.suspects.is_repeated(item)]
        if not repeated:
            return
        for fingerprint in repeated:
            exits = self.suspects.count(fingerprint)
            self._timeline.record("request.suspected", fingerprint=fingerprint, ended=exits)
        self._send_to_entries(suspects.encode_exits(self.suspects.list_exits(repeated)))

    def build_for_keeper(self) -> messages.TargetEnds:
        """All exits, for a keeper that has just connected."""
        return suspects.encode_exits(self.suspects.list_all())

    def build_for_entry(self) -> messages.TargetEnds:
        """All exits that concern entries, for one that has just connected."""
        return suspects.encode_exits(self.suspects.list_exits(self.suspects.list_repeated()))

    # The log

    async def run(self) -> None:
        """While this keeper leads, have the log quarantine poison requests; until cancelled."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_SECONDS)
            if self._has_lease():
                await self._update_log()

    async def _update_log(self) -> None:
        held = self._store.list_names(stores.QUARANTINE)
        has_room = len(held) < state_machines.MAX_QUARANTINED
        for fingerprint in self.suspects.list_repeated():
            is_poison = quarantine.is_poison(self.suspects.count(fingerprint))
            if is_poison and fingerprint not in held and has_room:
                await self._propose_quarantine(fingerprint, hold=True)
            elif fingerprint in held and not is_poison and self.suspects.is_cleared(fingerprint):
                await self._propose_quarantine(fingerprint, hold=False)

    async def _propose_quarantine(self, fingerprint: str, *, hold: bool) -> None:
        target_ids = self.suspects.list_targets(fingerprint)
        command = commands.Quarantine(fingerprint, hold, "keepers", self._now_ms(), target_ids)
        try:
            result = await self._propose(commands.encode(command))
        except faults.FaultError as error:
            # The next check proposes it again; until then daemons act on the exits that they know.
            self._timeline.record(
                "request.undecided", fingerprint=fingerprint, message=error.fault.message
            )
            return
        self._timeline.record(
            "request.quarantined",
            fingerprint=fingerprint,
            held=hold,
            targets=target_ids,
            accepted=result["accepted"],
        )
