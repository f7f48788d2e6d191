"""A keeper's part in the quarantine of requests, and parts of prompts, under which targets exited.

Entries report such exits, and successes of the same requests.  Keepers forward all changes to each
other, but to entries only those of requests and parts under which more than one target exited: an
entry needs these to refuse such a request, or to clear it.  The leader has the log quarantine what
has too many exits, so that restarts don't release it.  All of 300 entries are informed within
0.05 s of virtual time, with 1.7 kB each (`benchmarks.endings`).
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Iterable

from tillerlane.config import store as stores
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
PART_DELAY_SECONDS = 1.0
"""How long a part of prompts must be suspect before the log quarantines it: a sound one is cleared
by the next request that has it and begins well."""

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
        self._suspected_at: dict[str, float] = {}
        """When each key that is now held back was first found to be, by the event loop's clock."""
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
        keys = dict.fromkeys(target_exit.key for target_exit in changed)
        repeated = [key for key in keys if self.suspects.is_repeated(key)]
        if not repeated:
            return
        for key in repeated:
            exits = self.suspects.count(key)
            self._timeline.record("request.suspected", fingerprint=key, ended=exits)
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
        recorded = collections.defaultdict(set)
        for name in self._store.list_names(stores.QUARANTINE):
            recorded[suspects.parse_record(name)[0]].add(name)
        for key in self.suspects.list_repeated():
            if self.suspects.is_held(key):
                name = suspects.format_record(key, self.suspects.count_failed_trials(key))
                if name not in recorded[key] and self._is_due(key):
                    await self._propose_quarantine(key, name, hold=True)
                continue
            self._suspected_at.pop(key, None)
            if self.suspects.is_cleared(key):
                for name in recorded[key]:
                    await self._propose_quarantine(key, name, hold=False)

    def _is_due(self, key: str) -> bool:
        """Whether the log should quarantine a key now, if it has room.

        Most parts of prompts are cleared again within a second.
        """
        now = asyncio.get_running_loop().time()
        suspected_at = self._suspected_at.setdefault(key, now)
        if suspects.is_part(key) and now - suspected_at < PART_DELAY_SECONDS:
            return False
        return len(self._store.list_names(stores.QUARANTINE)) < state_machines.MAX_QUARANTINED

    async def _propose_quarantine(self, key: str, name: str, *, hold: bool) -> None:
        target_ids = self.suspects.list_targets(key)
        command = commands.Quarantine(name, hold, "keepers", self._now_ms(), target_ids)
        try:
            result = await self._propose(commands.encode(command))
        except faults.FaultError as error:
            # The next check proposes it again; until then daemons act on the exits that they know.
            self._timeline.record(
                "request.undecided", fingerprint=name, message=error.fault.message
            )
            return
        self._timeline.record(
            "request.quarantined",
            fingerprint=name,
            held=hold,
            targets=target_ids,
            accepted=result["accepted"],
        )
