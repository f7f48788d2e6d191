"""Who votes, under random losses: two disks at once may be lost, and nothing accepted with them.

Five real keepers in virtual time, whose disks, addresses and seeds change.  A lost disk counts as
lost until all keepers have been up and connected for `CATCH_UP_SECONDS`; the oracle never lets more
than two be lost at a time.  Whatever else stops or is cut off, all must be whole after that time.
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
MOST_LOST_DISKS = 2
CATCH_UP_SECONDS = 4.0
SETTLE_SECONDS = 6.0
"""After all power was lost or all were cut off, the time that elections may take comes first."""
NEWCOMER_SECONDS = (0.0, 1.0, 2.0)
CASES = {"steps": 0, "lost disks": 0, "accepted": 0, "newcomers": 0, "whole": 0}
"""What was run, printed at the end."""

RANKS = strategies.integers(0, VOTERS - 1)
"""Which of the present keepers: the leader comes first, then the others by name."""


class ReconfigurationMachine(stateful.RuleBasedStateMachine):
    """Random losses, exchanges and cuts."""

    def __init__(self) -> None:
        super().__init__()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.loop = lab.new_loop()
        asyncio.set_event_loop(self.loop)
        self.versions = itertools.count(1)
        self.numbers = itertools.count(VOTERS + 1)
        self.accepted = -1
        """Highest version that was accepted; keepers say -1 before there is one."""
        self.lost_disks = 0
        self.stage = gateway_lab.GatewayLab(VOTERS, 0, VOTERS)
        self.run(self.begin())

    async def begin(self) -> None:
        """Start the keepers, and wait until they have founded the log."""
        await self.stage.start()
        await asyncio.sleep(SETTLE_SECONDS)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in this machine's virtual time."""
        return self.loop.run_until_complete(work)

    def pick(self, rank: int) -> str:
        """A keeper that has a place, up or down."""
        leading = self.find_leader()
        names = sorted(self.stage.keeper_names, key=lambda name: (name != leading, name))
        return names[rank % len(names)]

    def find_leader(self) -> str:
        """The keeper that holds the lease; empty without one."""
        return self.run(self.look_for_leader())

    async def look_for_leader(self) -> str:
        """The same, within the loop."""
        return self.stage.find_leader()

    # What happens

    @stateful.rule(rank=RANKS)
    def publish(self, rank: int) -> None:
        """Publish at some keeper; the answer may stay out."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if name in self.stage.keepers:
            self.publish_at(name)

    def publish_at(self, name: str) -> None:
        """Publish at a keeper, and note what was accepted."""
        version = next(self.versions)
        try:
            self.run(self.stage.publish(name, gateway_lab.build_document(version)))
        except faults.FaultError:
            return
        self.accepted = version
        CASES["accepted"] += 1

    @stateful.rule(rank=RANKS)
    def kill(self, rank: int) -> None:
        """Kill a keeper; its disk stays."""
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
        """Lose a keeper's disk; it starts again with an empty one."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if self.lost_disks == MOST_LOST_DISKS or name not in self.stage.keepers:
            return
        self.lost_disks += 1
        CASES["lost disks"] += 1
        self.publish_at(name)
        self.run(self.stage.kill_keeper(name, wipe=True))
        self.run(self.stage.start_keeper(name))

    @stateful.rule(rank=RANKS, gap=strategies.sampled_from(NEWCOMER_SECONDS))
    def replace(self, rank: int, gap: float) -> None:
        """Lose a keeper for good; an empty one comes at another address."""
        CASES["steps"] += 1
        name = self.pick(rank)
        if self.lost_disks == MOST_LOST_DISKS or name not in self.stage.keepers:
            return
        self.lost_disks += 1
        CASES["lost disks"] += 1
        CASES["newcomers"] += 1
        self.publish_at(name)
        self.run(self.stage.lose_keeper(name))
        self.run(asyncio.sleep(gap))
        newcomer = f"keeper-{next(self.numbers)}"
        self.stage.add_keeper(newcomer)
        self.run(self.stage.start_keeper(newcomer))

    @stateful.rule(first=RANKS, step=strategies.integers(1, VOTERS - 1))
    def exchange_seeds(self, first: int, step: int) -> None:
        """Name other seeds; they may all be keepers that don't lead."""
        CASES["steps"] += 1
        names = {self.pick(first + number * step) for number in range(3)}
        self.run(self.name_seeds(sorted(names)))

    async def name_seeds(self, names: list[str]) -> None:
        """Exchange the seeds, within the loop."""
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
        """End all cuts, within the loop."""
        self.stage.network.heal()

    @stateful.rule(ranks=strategies.sets(RANKS, max_size=MOST_LOST_DISKS))
    def lose_power(self, ranks: set[int]) -> None:
        """Have all lose power at once, and some their disks."""
        CASES["steps"] += 1
        wiped = sorted({self.pick(rank) for rank in ranks} & set(self.stage.keepers))
        wiped = wiped[: MOST_LOST_DISKS - self.lost_disks]
        self.lost_disks += len(wiped)
        CASES["lost disks"] += len(wiped)
        if wiped:
            self.publish_at(wiped[0])
        self.run(self.stage.lose_power(wiped))

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 1.0, 2.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.run(asyncio.sleep(seconds))

    # What must hold

    @stateful.invariant()
    def one_lease_at_most(self) -> None:
        """No two keepers hold a lease."""
        assert self.run(self.count_leases()) <= 1

    async def count_leases(self) -> int:
        """Keepers that hold a lease now."""
        return sum(item.replica.has_lease for item in self.stage.keepers.values())

    @stateful.rule()
    def become_whole(self) -> None:
        """Heal, start all, and find all whole after the time that a newcomer has."""
        CASES["steps"] += 1
        self.run(self.heal_cuts())
        for name in self.stage.keeper_names:
            if name not in self.stage.keepers:
                self.run(self.stage.start_keeper(name))
        self.run(asyncio.sleep(SETTLE_SECONDS - CATCH_UP_SECONDS))
        self.run(asyncio.sleep(CATCH_UP_SECONDS))
        leader = self.find_leader()
        assert leader, "nobody leads"
        replica = self.stage.keepers[leader].replica
        assert replica.state_machine.published.version >= self.accepted, "accepted version lost"
        disks = {name: item.replica.storage.disk_id for name, item in self.stage.keepers.items()}
        on_record = {name: voter.disk_id for name, voter in replica.state_machine.voters.items()}
        assert on_record == {name: disks.get(name) for name in on_record}, (on_record, disks)
        assert len(on_record) == VOTERS, on_record
        self.lost_disks = 0
        CASES["whole"] += 1

    def teardown(self) -> None:
        """All become whole in the end."""
        try:
            self.become_whole()
        finally:
            lab.close_loop(self.loop)


ReconfigurationTest = ReconfigurationMachine.TestCase
ReconfigurationTest.settings = profiles.choose(examples=12, steps=20)


@atexit.register
def print_cases() -> None:
    """Say what was run."""
    print(f"turnover: {CASES}")


if __name__ == "__main__":
    unittest.main()
