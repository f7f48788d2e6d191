"""The replicated log against a simple oracle, under crashes, torn writes, cuts and lost disks.

Three real keepers in virtual time.  The oracle keeps what was accepted; at the end, and whenever
all is well, every keeper must agree with it.
"""

import asyncio
import atexit
import itertools
import logging
import unittest
from typing import Any

import structlog
from hypothesis import stateful, strategies

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import commands
from tillerlane.testing import lab, profiles, scenes

KEEPERS = ("keeper-1", "keeper-2", "keeper-3")
PROPOSE_TRIES = 12
CASES = {"steps": 0, "faults": 0, "accepted": 0, "undecided": 0, "claims": 0}
"""What was run, printed at the end."""


class LogMachine(stateful.RuleBasedStateMachine):
    """Random operations and faults on three keepers."""

    def __init__(self) -> None:
        super().__init__()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.loop = lab.new_loop()
        asyncio.set_event_loop(self.loop)
        self.numbers = itertools.count()
        self.accepted: dict[str, int] = {}
        """Change id to the version that it was accepted as."""
        self.sent: dict[str, commands.Change] = {}
        self.granted: dict[str, str] = {}
        """Claim key to the generation that it was granted to."""
        self.highest: dict[str, int] = {}
        self.wiped = False
        self.stage = self.run(self.build())

    def run(self, work: Any) -> Any:
        """Run a coroutine in this machine's virtual time."""
        return self.loop.run_until_complete(work)

    async def build(self) -> lab.Lab:
        """A fleet whose configuration is in force."""
        stage = lab.Lab({"workspaces": {}}, keepers=3, entries=1)
        await stage.start()
        await asyncio.sleep(3)
        return stage

    def note(self, fault: bool = False) -> None:
        """Count a step."""
        CASES["steps"] += 1
        CASES["faults"] += fault

    # Operations

    @stateful.rule(name=strategies.sampled_from(KEEPERS), lag=strategies.integers(0, 1))
    def change(self, name: str, lag: int) -> None:
        """Submit a change at a keeper, against its version or the one before."""
        self.note()
        daemon = self.stage.daemons.get(name)
        if daemon is None:
            return
        change_id = f"change-{next(self.numbers)}"
        against = max(0, daemon.store.version - lag)
        body = f'{{"weight":{len(self.sent) + 1}.0}}'
        command = commands.Change(
            change_id, against, "test", 0, [commands.EntityPut("workspaces", change_id, body)]
        )
        self.sent[change_id] = command
        self.submit(name, command)

    @stateful.rule(name=strategies.sampled_from(KEEPERS), data=strategies.data())
    def resend(self, name: str, data: strategies.DataObject) -> None:
        """Send a former change again, wherever; its answer must not change."""
        self.note()
        if self.sent and name in self.stage.daemons:
            change_id = data.draw(strategies.sampled_from(sorted(self.sent)))
            self.submit(name, self.sent[change_id])

    def propose(self, name: str, command: commands.Command) -> Any:
        """Propose for some seconds, as daemons do; None if the fate stays unknown."""
        keeper = self.stage.daemons[name].keeper
        for _ in range(PROPOSE_TRIES):
            try:
                return self.run(keeper.propose(commands.encode(command)))
            except faults.FaultError as error:
                assert error.fault.kind is kinds.ErrorKind.NO_QUORUM
                self.run(asyncio.sleep(0.2))
        CASES["undecided"] += 1
        return None

    def submit(self, name: str, command: commands.Change) -> None:
        """Propose a change and hold its answer against the oracle."""
        answer = self.propose(name, command)
        if answer is None:
            return
        known = self.accepted.get(command.change_id)
        if answer["accepted"]:
            assert known in (None, answer["version"]), (known, answer)
            assert known is not None or answer["version"] not in self.accepted.values()
            self.accepted[command.change_id] = answer["version"]
            CASES["accepted"] += 1
        else:
            assert known is None, f"{command.change_id} was accepted as {known}: {answer}"

    @stateful.rule(name=strategies.sampled_from(KEEPERS), key=strategies.integers(0, 5))
    def claim(self, name: str, key: int) -> None:
        """Claim a key for a new generation; one key is granted to one generation at most."""
        self.note()
        daemon = self.stage.daemons.get(name)
        if daemon is None:
            return
        generation_id = f"g{next(self.numbers)}"
        command = commands.ClaimOpen("w", f"k{key}", "d", generation_id, 0, 10**9)
        answer = self.propose(name, command)
        if answer is None:
            self.granted.setdefault(f"k{key}", "")
            return
        if answer["granted"] and self.granted.get(f"k{key}") != "":
            assert f"k{key}" not in self.granted, (self.granted, answer)
            self.granted[f"k{key}"] = generation_id
            CASES["claims"] += 1
        elif self.granted.get(f"k{key}"):
            assert answer["claim"]["generation_id"] == self.granted[f"k{key}"]

    @stateful.rule(name=strategies.sampled_from(KEEPERS), count=strategies.integers(2, 6))
    def change_often(self, name: str, count: int) -> None:
        """Several changes in a row."""
        for _ in range(count):
            self.change(name, 0)

    @stateful.rule()
    def recover(self) -> None:
        """Heal and start everything, and wait a little."""
        self.note()
        self.stage.network.heal()
        for name in KEEPERS:
            if name not in self.stage.daemons:
                self.run(self.stage.start_daemon(name))
        self.run(asyncio.sleep(2))

    # Faults

    @stateful.rule(name=strategies.sampled_from(KEEPERS), torn=strategies.booleans())
    def crash(self, name: str, torn: bool) -> None:
        """Kill a keeper; unsynced bytes are lost or torn."""
        self.note(fault=True)
        if name in self.stage.daemons:
            self.run(self.stage.kill(name, torn=torn))

    @stateful.rule(name=strategies.sampled_from(KEEPERS))
    def restart(self, name: str) -> None:
        """Start a keeper that is down."""
        self.note()
        if name not in self.stage.daemons:
            self.run(self.stage.start_daemon(name))

    @stateful.rule(
        sender=strategies.sampled_from(KEEPERS),
        receiver=strategies.sampled_from(KEEPERS),
        both=strategies.booleans(),
    )
    def cut(self, sender: str, receiver: str, both: bool) -> None:
        """Cut a pair silently, one way or both."""
        self.note(fault=True)
        if sender != receiver:
            self.stage.network.cut(sender, receiver)
            if both:
                self.stage.network.cut(receiver, sender)

    @stateful.rule()
    def heal(self) -> None:
        """End all cuts."""
        self.note()
        self.stage.network.heal()

    @stateful.rule(name=strategies.sampled_from(KEEPERS))
    def lose_disk(self, name: str) -> None:
        """Lose one disk while all else is well; the next loss waits until it is made good."""
        self.note(fault=True)
        if not self.make_well():
            return
        self.run(self.stage.kill(name))
        self.stage.disks[name].wipe()
        self.run(self.stage.start_daemon(name))

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 2.0, 5.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.note()
        self.run(asyncio.sleep(seconds))

    # What must hold

    def make_well(self) -> bool:
        """Heal, start all, and wait until every keeper votes and agrees."""
        self.stage.network.heal()
        for name in KEEPERS:
            if name not in self.stage.daemons:
                self.run(self.stage.start_daemon(name))
        return self.run(self.wait_well())

    async def wait_well(self) -> bool:
        """Whether within 20 seconds every keeper votes, hears a leader and has applied all."""
        for _ in range(40):
            await asyncio.sleep(0.5)
            replicas = [self.stage.daemons[name].keeper.replica for name in KEEPERS]
            is_well = all(item.is_voter and item.has_leader for item in replicas)
            if is_well and len({item.applied_index for item in replicas}) == 1:
                return True
        return False

    @stateful.invariant()
    def one_lease_at_most(self) -> None:
        """No two keepers hold a lease, whatever was cut off or restarted."""
        assert len(self.run(self.list_lease_holders())) <= 1

    async def list_lease_holders(self) -> list[str]:
        """Keepers that hold a lease now."""
        alive = [name for name in KEEPERS if name in self.stage.daemons]
        return [name for name in alive if self.stage.daemons[name].keeper.replica.has_lease]

    @stateful.invariant()
    def versions_never_fall(self) -> None:
        """No daemon's version falls, over its restarts too, but for one with a new disk."""
        for name, daemon in self.stage.daemons.items():
            if name not in KEEPERS:
                assert daemon.store.version >= self.highest.get(name, 0)
                self.highest[name] = daemon.store.version

    def teardown(self) -> None:
        """All keepers agree with the oracle once all is well."""
        try:
            assert self.make_well(), "the keepers did not come together"
            for name in KEEPERS:
                history = {
                    item["change_id"]: item["version"]
                    for item in self.stage.daemons[name].keeper.replica.state_machine.history
                }
                for change_id, version in self.accepted.items():
                    assert history.get(change_id) == version, (name, change_id, version)
            version = self.stage.daemons["keeper-1"].store.version
            self.run(asyncio.sleep(2))
            assert self.stage.daemons["entry-1"].store.version == version
        finally:
            lab.close_loop(self.loop)


LogTest = LogMachine.TestCase
LogTest.settings = profiles.choose(examples=20, steps=25)


@atexit.register
def print_cases() -> None:
    """Say what was run."""
    print(f"log: {CASES}")


class FoundTest(scenes.SceneCase):
    """Failures found by the machine above, each by name."""

    def test_keepers_do_not_echo_members_for_ever(self) -> None:
        """Two keepers with two links once told each other of themselves without end."""

        async def scene(stage: lab.Lab) -> None:
            def count() -> int:
                found = stage.daemons["keeper-1"].node.get_links()
                return sum(link.messages_in for link in found)

            before = count()
            await asyncio.sleep(10)
            self.assertLess(count() - before, 10 * 60)

        self.play(scene, keepers=3)

    def test_idle_subscribers_cost_a_keeper_a_few_bytes(self) -> None:
        """Heartbeats of 52 bytes were once sent where four were meant."""

        async def scene(stage: lab.Lab) -> None:
            def count() -> int:
                found = stage.daemons["keeper-1"].node.get_links()
                return sum(link.bytes_out + link.bytes_in for link in found)

            await asyncio.sleep(5)
            before = count()
            await asyncio.sleep(20)
            self.assertLess((count() - before) / 20, 10 * 12)

        self.play(scene, keepers=1, entries=10)

    def test_replaced_disk_gets_its_vote_though_the_lease_was_lost_meanwhile(self) -> None:
        """A promotion that was refused once ended the replication to that keeper for good."""

        async def scene(stage: lab.Lab) -> None:
            await stage.kill("keeper-1")
            await asyncio.sleep(5)
            await stage.kill("keeper-2")
            stage.disks["keeper-2"].wipe()
            await stage.start_daemon("keeper-1")
            await stage.start_daemon("keeper-2")
            await asyncio.sleep(6)
            for name in KEEPERS:
                self.assertTrue(stage.daemons[name].keeper.replica.is_voter, name)

        self.play(scene, keepers=3)


if __name__ == "__main__":
    unittest.main()
