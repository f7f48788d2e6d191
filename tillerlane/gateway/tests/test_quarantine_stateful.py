"""Requests that end targets, while entries and keepers are lost, replaced and cut off at random.

The bound of the users' rule is checked as they state it: later than three seconds after its third
end a deadly request gets three more sends at most from entries in touch.  A request that ended no
target is never held back, and once all is whole again, what is deadly is refused everywhere.
"""

import asyncio
import atexit
import collections
import itertools
import logging
import unittest
from collections.abc import Coroutine
from typing import Any

import structlog
from hypothesis import stateful, strategies

from tillerlane.config import store as stores
from tillerlane.testing import caller, gateway_lab, lab, poison_pool, profiles

KEEPERS, ENTRIES, TARGETS = 3, 3, 6
BODIES = tuple(f"deadly {number}".encode() for number in range(6))
MOST_SENDS = 3
CONTACT_SECONDS = 3.0
"""Time without trouble after which an entry counts as in touch."""
SETTLE_SECONDS = 8.0
CASES = {"deadly": 0, "good": 0, "troubles": 0, "settled": 0, "held": 0, "ends": 0}
"""What was run, printed at the end."""

KINDS = (
    *["deadly"] * 5,
    *["good"] * 2,
    *["wait 0.02", "wait 0.5", "wait 1", "wait 4"],
    *["restart keeper", "wipe keeper", "power", "replace entry", "cut entry", "heal", "heal"],
    "settle",
)


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Random comings of requests, and random trouble."""

    def __init__(self) -> None:
        super().__init__()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.loop = lab.new_loop()
        asyncio.set_event_loop(self.loop)
        self.numbers = itertools.count(1)
        self.good: list[str] = []
        """Fingerprints of requests that are not deadly."""
        self.late: collections.Counter[bytes] = collections.Counter()
        """Sends against the bound, by body."""
        self.trouble_at = 0.0
        self.is_cut = False
        self.stage = gateway_lab.GatewayLab(KEEPERS, ENTRIES, KEEPERS)
        self.run(self.begin())

    async def begin(self) -> None:
        """Start the fleet and a pool, and put a configuration in force."""
        await self.stage.start()
        await asyncio.sleep(SETTLE_SECONDS)
        await self.stage.publish("keeper-1", gateway_lab.build_document(1))
        self.pool = poison_pool.PoisonPool(self.stage, BODIES, "app", 0)
        for _ in range(TARGETS):
            await self.pool.start_one()
        await asyncio.sleep(1.0)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in this machine's virtual time."""
        return self.loop.run_until_complete(work)

    def list_entries(self) -> list[str]:
        """Entries that run."""
        return sorted(self.stage.entries)

    # What comes

    @stateful.rule(
        kind=strategies.sampled_from(KINDS),
        number=strategies.integers(0, ENTRIES - 1),
        body=strategies.sampled_from(BODIES),
    )
    def happen(self, kind: str, number: int, body: bytes) -> None:
        """One thing of many; a rule for each would leave most of them out of an example."""
        if kind == "deadly":
            self.send_deadly(number, body)
        elif kind == "good":
            self.send_good(number)
        elif kind == "settle":
            self.settle()
        elif kind.startswith("wait"):
            self.run(asyncio.sleep(float(kind.split()[1])))
        else:
            self.make_trouble(kind, number)

    def send_deadly(self, number: int, body: bytes) -> None:
        """Have a deadly request come to an entry, and again to the next one."""
        self.send_deadly_once(number, body)
        self.send_deadly_once((number + 1) % ENTRIES, body)

    def send_deadly_once(self, number: int, body: bytes) -> None:
        """Have it come once, and count its sends against the bound."""
        CASES["deadly"] += 1
        before = self.loop.time()
        in_touch = not self.is_cut and before - self.trouble_at > CONTACT_SECONDS
        ends = self.pool.list_target_exits(body)
        is_late = len(ends) >= 3 and before > ends[2] + poison_pool.REACTION_SECONDS
        self.run(self.call(self.list_entries()[number], body))
        if in_touch and is_late:
            self.late[body] += self.pool.count_sends(body, before)
        assert self.late[body] <= MOST_SENDS
        CASES["ends"] += len(self.pool.list_target_exits(body)) - len(ends)

    def send_good(self, number: int) -> None:
        """Have a request come that ends nothing."""
        CASES["good"] += 1
        body = f"good {next(self.numbers)}".encode()
        self.good.append(caller.compute_fingerprint("price", body))
        self.run(self.call(self.list_entries()[number], body))

    async def call(self, entry: str, body: bytes) -> int:
        """Send a request; the answer's status."""
        request_id = f"r{next(self.numbers)}"
        return (await self.stage.call(entry, "price", request_id, body=body)).status

    # Trouble

    def make_trouble(self, kind: str, number: int) -> None:
        """Do harm to a daemon, or end what cuts there are."""
        CASES["troubles"] += 1
        # Of three keepers one disk may be lost at a time, until all have caught up.
        may_wipe = self.loop.time() - self.trouble_at > SETTLE_SECONDS
        if kind in ("restart keeper", "wipe keeper"):
            name = self.stage.keeper_names[number % KEEPERS]
            wipe = kind == "wipe keeper" and may_wipe
            self.run(self.stage.kill_keeper(name, wipe=wipe))
            self.run(self.stage.start_keeper(name))
        elif kind == "power":
            self.run(self.stage.lose_power([]))
        elif kind == "replace entry":
            self.run(self.replace_entry(self.list_entries()[number]))
        elif kind == "cut entry":
            self.stage.network.isolate(self.list_entries()[number])
            self.is_cut = True
        else:
            self.run(self.heal_cuts())
        self.trouble_at = self.loop.time()

    async def replace_entry(self, former: str) -> None:
        """End an entry; another one starts."""
        name = f"new-{next(self.numbers)}"
        self.stage.add_entry(name)
        await self.stage.entries.pop(former).stop()
        await self.stage.start_entry(name)

    async def heal_cuts(self) -> None:
        """End all cuts, within the loop."""
        self.stage.network.heal()
        self.is_cut = False
        self.trouble_at = self.loop.time()

    # What must hold

    @stateful.invariant()
    def good_requests_go_to_targets(self) -> None:
        """No entry holds back what ended no target."""
        for entry in self.stage.entries.values():
            for fingerprint in self.good[-5:]:
                assert not entry.quarantine.find_reason(fingerprint)

    def settle(self) -> None:
        """Heal; what has ended three targets is refused everywhere, and stands in the log."""
        CASES["settled"] += 1
        self.run(self.heal_cuts())
        self.run(asyncio.sleep(SETTLE_SECONDS))
        for body in BODIES:
            self.check_held(body)

    def check_held(self, body: bytes) -> None:
        """What any entry holds back, all refuse, and all keepers have in the log."""
        fingerprint = caller.compute_fingerprint("price", body)
        entries = self.stage.entries.values()
        if not any(entry.quarantine.find_reason(fingerprint) for entry in entries):
            return
        CASES["held"] += 1
        ends = len(self.pool.list_target_exits(body))
        for name in self.list_entries():
            assert self.run(self.call(name, body)) == 503
        assert len(self.pool.list_target_exits(body)) == ends
        for keeper in self.stage.keepers.values():
            assert fingerprint in keeper.replica.state_machine.store.list_names(stores.QUARANTINE)

    def teardown(self) -> None:
        """Close the loop."""
        lab.close_loop(self.loop)


@atexit.register
def _print_cases() -> None:
    if CASES["deadly"]:
        print(f"quarantine: {CASES}")


QuarantineMachine.TestCase.settings = profiles.choose(8, steps=30)
QuarantineTest = QuarantineMachine.TestCase


if __name__ == "__main__":
    unittest.main()
