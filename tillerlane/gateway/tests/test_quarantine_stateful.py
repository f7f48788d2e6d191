"""Poison requests, while entries and keepers are lost, replaced and isolated at random.

The test checks the users' bound: later than three seconds after its third target exit, a poison
request gets at most three more sends from connected entries.  A request that made no target exit is
never quarantined, and after recovery all entries refuse poison requests.
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
from tillerlane.decisions import quarantine
from tillerlane.testing import caller, gateway_lab, lab, poison_pool, profiles

KEEPERS, ENTRIES, TARGETS = 3, 3, 6
BODIES = tuple(f"deadly {number}".encode() for number in range(6))
MAX_LATE_SENDS = 3
CONNECTED_SECONDS = 3.0
"""Time without faults after which an entry counts as connected."""
SETTLE_SECONDS = 8.0
CASES = {"deadly": 0, "good": 0, "troubles": 0, "settled": 0, "held": 0, "ends": 0}
"""Numbers of steps run, printed at the end."""

KINDS = (
    *["deadly"] * 5,
    *["good"] * 2,
    *["wait 0.02", "wait 0.5", "wait 1", "wait 4"],
    *["restart keeper", "wipe keeper", "power", "replace entry", "cut entry", "heal", "heal"],
    "settle",
)


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Random requests and random faults."""

    def __init__(self) -> None:
        super().__init__()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.loop = lab.new_loop()
        asyncio.set_event_loop(self.loop)
        self.numbers = itertools.count(1)
        self.harmless: list[str] = []
        """Fingerprints of harmless requests."""
        self.late: collections.Counter[bytes] = collections.Counter()
        """Sends that count towards the bound, by body."""
        self.fault_at = 0.0
        self.is_cut = False
        self.stage = gateway_lab.GatewayLab(KEEPERS, ENTRIES, KEEPERS)
        self.run(self.start())

    async def start(self) -> None:
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
        """Running entries."""
        return sorted(self.stage.entries)

    # Steps

    @stateful.rule(
        kind=strategies.sampled_from(KINDS),
        number=strategies.integers(0, ENTRIES - 1),
        body=strategies.sampled_from(BODIES),
    )
    def take_step(self, kind: str, number: int, body: bytes) -> None:
        """One of many steps; a rule for each would leave most of them out of an example."""
        if kind == "deadly":
            self.send_poison(number, body)
        elif kind == "good":
            self.send_harmless(number)
        elif kind == "settle":
            self.settle()
        elif kind.startswith("wait"):
            self.run(asyncio.sleep(float(kind.split()[1])))
        else:
            self.inject_fault(kind, number)

    def send_poison(self, number: int, body: bytes) -> None:
        """Send a poison request to an entry, and again to the next one."""
        self.send_poison_once(number, body)
        self.send_poison_once((number + 1) % ENTRIES, body)

    def send_poison_once(self, number: int, body: bytes) -> None:
        """Send it once, and count its sends towards the bound."""
        CASES["deadly"] += 1
        before = self.loop.time()
        is_connected = not self.is_cut and before - self.fault_at > CONNECTED_SECONDS
        exits = self.pool.list_target_exits(body)
        is_late = len(exits) >= 3 and before > exits[2] + poison_pool.REACTION_SECONDS
        self.run(self.call(self.list_entries()[number], body))
        if is_connected and is_late:
            self.late[body] += self.pool.count_sends(body, before)
        assert self.late[body] <= MAX_LATE_SENDS
        CASES["ends"] += len(self.pool.list_target_exits(body)) - len(exits)

    def send_harmless(self, number: int) -> None:
        """Send a harmless request."""
        CASES["good"] += 1
        body = f"good {next(self.numbers)}".encode()
        self.harmless.append(caller.compute_fingerprint("price", body))
        self.run(self.call(self.list_entries()[number], body))

    async def call(self, entry: str, body: bytes) -> int:
        """Send a request; returns the status of the response."""
        request_id = f"r{next(self.numbers)}"
        return (await self.stage.call(entry, "price", request_id, body=body)).status

    # Faults

    def inject_fault(self, kind: str, number: int) -> None:
        """Make a daemon fail, or heal all network faults."""
        CASES["troubles"] += 1
        # Of three keepers one may lose its disk at a time, and not until all have caught up.
        can_wipe = self.loop.time() - self.fault_at > SETTLE_SECONDS
        if kind in ("restart keeper", "wipe keeper"):
            name = self.stage.keeper_names[number % KEEPERS]
            wipe = kind == "wipe keeper" and can_wipe
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
            self.run(self.heal())
        self.fault_at = self.loop.time()

    async def replace_entry(self, old_name: str) -> None:
        """Stop an entry and start another one."""
        name = f"new-{next(self.numbers)}"
        self.stage.add_entry(name)
        await self.stage.entries.pop(old_name).stop()
        await self.stage.start_entry(name)

    async def heal(self) -> None:
        """Heal all network faults, within the loop."""
        self.stage.network.heal()
        self.is_cut = False
        self.fault_at = self.loop.time()

    # Checks

    @stateful.invariant()
    def harmless_requests_are_not_quarantined(self) -> None:
        """No entry quarantines a request that made no target exit."""
        for entry in self.stage.entries.values():
            for fingerprint in self.harmless[-5:]:
                assert not entry.quarantine.find_reason(fingerprint)

    def settle(self) -> None:
        """Heal; a request with three exits is then refused everywhere, and is in the log."""
        CASES["settled"] += 1
        self.run(self.heal())
        self.run(asyncio.sleep(SETTLE_SECONDS))
        for body in BODIES:
            self.check_held(body)

    def check_held(self, body: bytes) -> None:
        """What any entry quarantines, all refuse, and all keepers have in the log.

        A minute after its latest exit one send may be a trial; it counts towards the bound.
        """
        fingerprint = caller.compute_fingerprint("price", body)
        entries = self.stage.entries.values()
        if not any(entry.quarantine.find_reason(fingerprint) for entry in entries):
            return
        CASES["held"] += 1
        exits = len(self.pool.list_target_exits(body))
        latest = max(self.pool.list_target_exits(body))
        may_try = self.loop.time() - latest >= quarantine.REQUEST_PAUSES_SECONDS[0]
        statuses = [self.run(self.call(name, body)) for name in self.list_entries()]
        trials = len(self.pool.list_target_exits(body)) - exits
        assert trials <= may_try
        assert statuses.count(503) == len(statuses) - trials
        self.late[body] += trials
        assert self.late[body] <= MAX_LATE_SENDS
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
