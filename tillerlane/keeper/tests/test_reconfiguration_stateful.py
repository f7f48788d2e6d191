"""Stateful test of voter changes: up to two disks are lost at once, but no accepted publication.

Five real keepers run in virtual time, while their disks, addresses and seeds change.  A lost disk
counts as lost until all keepers have been up and connected for `CATCH_UP_SECONDS`, and at most two
disks are lost at a time.  Whatever else stops or is cut off, the voters must be complete after that
time.
"""

import asyncio
import atexit
import itertools
import logging
import unittest
from collections.abc import Coroutine
from typing import Any

import structlog
from hypothesis import stateful, strategies

from tillerlane.faults import core as faults
from tillerlane.testing import gateway_lab, lab, profiles

VOTERS = 5
MAX_LOST_DISKS = 2
CATCH_UP_SECONDS = 4.0
SETTLE_SECONDS = 6.0
"""`CATCH_UP_SECONDS`, plus the time for elections after all keepers lost power or were cut off."""
REPLACEMENT_DELAYS_SECONDS = (0.0, 1.0, 2.0)
CASES = {"steps": 0, "lost disks": 0, "accepted": 0, "replacements": 0, "recovered": 0}
"""Counts of the cases that were run, printed at exit."""

RANKS = strategies.integers(0, VOTERS - 1)
"""Rank of a keeper: the leader comes first, then the others by name."""


class ReconfigurationMachine(stateful.RuleBasedStateMachine):
    """Random losses, replacements and network cuts."""

    def __init__(self) -> None:
        super().__init__()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.loop = lab.new_loop()
        asyncio.set_event_loop(self.loop)
        self.versions = itertools.count(1)
        self.numbers = itertools.count(VOTERS + 1)
        self.accepted = -1
        """Highest accepted version; keepers report -1 before there is one."""
        self.lost_disks = 0
        self.stage = gateway_lab.GatewayLab(VOTERS, 0, VOTERS)
        self.run(self.start_stage())

    async def start_stage(self) -> None:
        """Start the keepers, and wait until they have bootstrapped the log."""
        await self.stage.start()
        await asyncio.sleep(SETTLE_SECONDS)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the test's virtual time."""
        return self.loop.run_until_complete(work)

    def pick(self, rank: int) -> str:
        """Pick a keeper of the fleet, up or down."""
        leading = self.find_leader()
        names = sorted(self.stage.keeper_names, key=lambda name: (name != leading, name))
        return names[rank % len(names)]

    def find_leader(self) -> str:
        """Find the keeper that holds the lease; empty without one."""
        return self.run(self.find_leader_in_loop())

    async def find_leader_in_loop(self) -> str:
        """Find the leader, within the event loop."""
        return self.stage.find_leader()

    # Operations and faults

    @stateful.rule(rank=RANKS)
    def publish(self, rank: int) -> None:
        """Publish at a keeper; there may be no reply."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if name in self.stage.keepers:
            self.publish_at(name)

    def publish_at(self, name: str) -> None:
        """Publish at a keeper, and record the version if it was accepted."""
        version = next(self.versions)
        try:
            self.run(self.stage.publish(name, gateway_lab.build_document(version)))
        except faults.FaultError:
            return
        self.accepted = version
        CASES["accepted"] += 1

    @stateful.rule(rank=RANKS)
    def kill(self, rank: int) -> None:
        """Kill a keeper but keep its disk."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if name in self.stage.keepers:
            self.run(self.stage.kill_keeper(name))

    @stateful.rule(rank=RANKS)
    def stop_as_planned(self, rank: int) -> None:
        """Stop a keeper and start it again."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if name in self.stage.keepers:
            self.run(self.stage.stop_keeper(name))
            self.run(self.stage.start_keeper(name))

    @stateful.rule(rank=RANKS)
    def wipe(self, rank: int) -> None:
        """Lose a keeper's disk, and restart the keeper with an empty one."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if self.lost_disks == MAX_LOST_DISKS or name not in self.stage.keepers:
            return
        self.lost_disks += 1
        CASES["lost disks"] += 1
        self.publish_at(name)
        self.run(self.stage.kill_keeper(name, wipe=True))
        self.run(self.stage.start_keeper(name))

    @stateful.rule(rank=RANKS, delay=strategies.sampled_from(REPLACEMENT_DELAYS_SECONDS))
    def replace(self, rank: int, delay: float) -> None:
        """Lose a keeper for good, and start an empty one at another address."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if self.lost_disks == MAX_LOST_DISKS or name not in self.stage.keepers:
            return
        self.lost_disks += 1
        CASES["lost disks"] += 1
        CASES["replacements"] += 1
        self.publish_at(name)
        self.run(self.stage.lose_keeper(name))
        self.run(asyncio.sleep(delay))
        new_keeper = f"keeper-{next(self.numbers)}"
        self.stage.add_keeper(new_keeper)
        self.run(self.stage.start_keeper(new_keeper))

    @stateful.rule(first=RANKS, step=strategies.integers(1, VOTERS - 1))
    def replace_seeds(self, first: int, step: int) -> None:
        """Set other seeds, possibly none of them the leader."""
        CASES["steps"] += 1
        names = {self.pick(first + number * step) for number in range(3)}
        self.run(self.set_seeds(sorted(names)))

    async def set_seeds(self, names: list[str]) -> None:
        """Set the seeds, within the event loop."""
        self.stage.set_seeds(names)

    @stateful.rule(rank=RANKS)
    def isolate(self, rank: int) -> None:
        """Cut a keeper off from all others."""
        CASES["steps"] += 1
        self.stage.network.isolate(self.pick(rank))

    @stateful.rule()
    def heal(self) -> None:
        """End all cuts."""
        self.run(self.heal_cuts())

    async def heal_cuts(self) -> None:
        """End all cuts, within the event loop."""
        self.stage.network.heal()

    @stateful.rule(ranks=strategies.sets(RANKS, max_size=MAX_LOST_DISKS))
    def lose_power(self, ranks: set[int]) -> None:
        """Cut the power of all keepers at once, and lose the disks of some."""
        CASES["steps"] += 1
        wiped = sorted({self.pick(rank) for rank in ranks} & set(self.stage.keepers))
        wiped = wiped[: MAX_LOST_DISKS - self.lost_disks]
        self.lost_disks += len(wiped)
        CASES["lost disks"] += len(wiped)
        if wiped:
            self.publish_at(wiped[0])
        self.run(self.stage.lose_power(wiped))

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 1.0, 2.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.run(asyncio.sleep(seconds))

    # Invariants

    @stateful.invariant()
    def at_most_one_lease(self) -> None:
        """No two keepers hold a lease."""
        assert self.run(self.count_leases()) <= 1

    async def count_leases(self) -> int:
        """Count the keepers that hold a lease."""
        return sum(item.replica.has_lease for item in self.stage.keepers.values())

    @stateful.rule()
    def recover(self) -> None:
        """Heal, start all, and check the voters after the time that a new keeper may take."""
        CASES["steps"] += 1
        self.run(self.heal_cuts())
        for name in self.stage.keeper_names:
            if name not in self.stage.keepers:
                self.run(self.stage.start_keeper(name))
        self.run(asyncio.sleep(SETTLE_SECONDS - CATCH_UP_SECONDS))
        self.run(asyncio.sleep(CATCH_UP_SECONDS))
        leader = self.find_leader()
        assert leader, "no leader"
        replica = self.stage.keepers[leader].replica
        assert replica.state_machine.published.version >= self.accepted, "accepted version lost"
        disks = {name: item.replica.storage.disk_id for name, item in self.stage.keepers.items()}
        on_record = {name: voter.disk_id for name, voter in replica.state_machine.voters.items()}
        assert on_record == {name: disks.get(name) for name in on_record}, (on_record, disks)
        assert len(on_record) == VOTERS, on_record
        self.lost_disks = 0
        CASES["recovered"] += 1

    def teardown(self) -> None:
        """Check that all keepers recover at the end."""
        try:
            self.recover()
        finally:
            lab.close_loop(self.loop)


ReconfigurationTest = ReconfigurationMachine.TestCase
ReconfigurationTest.settings = profiles.choose(examples=12, steps=20)


@atexit.register
def print_cases() -> None:
    """Print the counts."""
    print(f"reconfiguration: {CASES}")


if __name__ == "__main__":
    unittest.main()
