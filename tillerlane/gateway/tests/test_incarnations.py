"""Words of several incarnations of a target, in any order, at keepers and entries."""

import asyncio
import unittest

from hypothesis import given, strategies

from tillerlane.gateway import directory as directories
from tillerlane.gateway import incarnations
from tillerlane.testing import lab, profiles

PHASES = (directories.Phase.READY, directories.Phase.DRAINING, directories.Phase.GONE)
DAEMONS = 5
"""Two keepers and three entries; each may hear from a target or from any other one."""

WORDS = strategies.tuples(
    strategies.integers(0, DAEMONS - 1),
    strategies.sampled_from(("a", "b")),
    strategies.integers(0, 3),
    strategies.integers(1, 5),
    strategies.sampled_from(PHASES),
)
"""At which daemon, target, start, count of its words, phase."""
PASSES = strategies.tuples(
    strategies.integers(0, DAEMONS - 1), strategies.integers(0, DAEMONS - 1), strategies.booleans()
)
"""From which daemon to which, and whether as all targets at once."""


class IdTest(unittest.TestCase):
    """Ids that name a target and its start."""

    @profiles.choose(200)
    @given(strategies.text(max_size=8), strategies.integers(0, 2**63 - 1))
    def test_ids_tell_both_again(self, name: str, started_ms: int) -> None:
        found = incarnations.parse_id(incarnations.build_id(name, started_ms))
        self.assertEqual(found, incarnations.Incarnation(name, started_ms))

    def test_target_that_tells_no_start_keeps_its_id(self) -> None:
        self.assertEqual(incarnations.build_id("i-7", 0), "i-7")

    def test_id_that_looks_like_one_with_a_start_is_not_taken_for_one(self) -> None:
        self.assertNotEqual(incarnations.build_id("i-7#5", 0), incarnations.build_id("i-7", 5))


class _Oracle:
    """What a daemon should believe: of each target the latest start, and its most final phase.

    The highest count matters while a target is ready; one that leaves comes back in no later word.
    """

    def __init__(self) -> None:
        self.known: dict[str, tuple[int, int, int]] = {}

    def read(self) -> dict[str, tuple[int, int, int]]:
        """What is believed, without counts of targets that leave."""
        return {
            name: (started_ms, 0 if finality else seq, finality)
            for name, (started_ms, seq, finality) in self.known.items()
        }

    def take(self, name: str, started_ms: int, seq: int, finality: int) -> None:
        """Take a word, whoever passed it on."""
        held = self.known.get(name)
        if held is None or started_ms > held[0]:
            self.known[name] = (started_ms, seq, finality)
        elif started_ms == held[0]:
            self.known[name] = (started_ms, max(seq, held[1]), max(finality, held[2]))

    def take_all(self, other: "_Oracle") -> None:
        """Take all that another daemon believes."""
        for name, (started_ms, seq, finality) in other.known.items():
            self.take(name, started_ms, seq, finality)


def read_known(directory: directories.Directory) -> dict[str, tuple[int, int, int]]:
    """What a daemon believes, in the oracle's form."""
    found = {}
    for target_id, target in directory.targets.items():
        told_of = incarnations.parse_id(target_id)
        assert told_of.name not in found, "two incarnations of one target"
        finality = PHASES.index(target.phase)
        found[told_of.name] = (told_of.started_ms, 0 if finality else target.sequence, finality)
    return found


class OrderTest(unittest.TestCase):
    """Against the oracle."""

    @profiles.choose(150)
    @given(strategies.lists(strategies.one_of(WORDS, PASSES), max_size=30))
    def test_later_start_holds_whatever_comes_late(self, steps: list[tuple]) -> None:
        async def play() -> None:
            daemons = [directories.Directory() for _ in range(DAEMONS)]
            oracles = [_Oracle() for _ in range(DAEMONS)]
            for step in steps:
                if len(step) == 3:
                    source, receiver, full = step
                    self.pass_on(daemons[source], daemons[receiver], full=full)
                    oracles[receiver].take_all(oracles[source])
                    continue
                number, name, started_ms, seq, phase = step
                daemons[number].merge(self.build(name, started_ms, seq, phase))
                oracles[number].take(name, started_ms, seq, PHASES.index(phase))
                self.assertEqual(read_known(daemons[number]), oracles[number].read())
            for source in daemons * 2:
                for receiver in daemons:
                    self.pass_on(source, receiver, full=True)
            everything = _Oracle()
            for oracle in oracles:
                everything.take_all(oracle)
            for daemon in daemons:
                self.assertEqual(read_known(daemon), everything.read())

        lab.run_virtual(play())

    def build(
        self, name: str, started_ms: int, seq: int, phase: directories.Phase
    ) -> directories.Target:
        """A target's word, as a daemon takes it."""
        target_id = incarnations.build_id(name, started_ms)
        heard_at = asyncio.get_running_loop().time()
        return directories.Target(
            target_id, "app", f"10.0.9.{started_ms}:9000", "hall-a", 6, phase, seq, heard_at
        )

    def pass_on(
        self,
        source: directories.Directory,
        receiver: directories.Directory,
        *,
        full: bool,
    ) -> None:
        """Have a daemon tell another one all that it believes."""
        told = directories.encode_states(source.targets.values(), full=full)
        for target in directories.decode_states(told):
            receiver.merge(target)


class EndTest(unittest.TestCase):
    """What becomes of a former incarnation."""

    def test_former_one_is_told_gone_and_over_before_the_present_one_is_told(self) -> None:
        async def play() -> None:
            directory = directories.Directory()
            told: list[tuple[str, directories.Phase, bool]] = []
            directory.add_listener(
                lambda target, former: told.append(
                    (target.target_id, target.phase, target.is_superseded)
                )
            )
            build = OrderTest().build
            directory.merge(build("a", 1, 9, directories.Phase.READY))
            directory.merge(build("a", 2, 1, directories.Phase.READY))
            self.assertEqual(
                told,
                [
                    ("a#1", directories.Phase.READY, False),
                    ("a#1", directories.Phase.GONE, True),
                    ("a#2", directories.Phase.READY, False),
                ],
            )
            self.assertEqual(directory.find("a").target_id, "a#2")
            self.assertEqual([item.target_id for item in directory.list_pool("app")], ["a#2"])

        lab.run_virtual(play())

    def test_phase_that_is_not_known_names_no_target_and_the_others_hold(self) -> None:
        async def play() -> None:
            build = OrderTest().build
            rows = [build(name, 1, 1, directories.Phase.READY) for name in "ab"]
            message = directories.encode_states(rows)
            message.table = message.table.replace(b"ready\x00", b"resty\x00", 1)
            self.assertEqual(len(directories.decode_states(message)), 1)

        lab.run_virtual(play())


if __name__ == "__main__":
    unittest.main()
