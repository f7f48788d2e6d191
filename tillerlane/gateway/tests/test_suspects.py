"""State of requests under which targets exited: the daemons' table and the log's state."""

import random
import unittest

from hypothesis import given, strategies

from tillerlane.config import store as stores
from tillerlane.gateway.quarantine import suspects
from tillerlane.keeper import commands, state_machine
from tillerlane.testing import profiles


class MachineTest(unittest.TestCase):
    """The replicated state alone."""

    def apply(self, state: state_machine.StateMachine, fingerprint: str, held: bool) -> bool:
        """Apply a decision; whether it was accepted."""
        command = commands.Quarantine(fingerprint, held, "keepers", 0, ["t1"])
        return state.apply(1, 1, command)["accepted"]

    def test_repeated_decision_changes_nothing(self) -> None:
        state = state_machine.StateMachine()
        for held in (True, True, False, False):
            self.assertTrue(self.apply(state, "f", held))
        self.assertEqual(state.store.version, 2)

    def test_snapshot_keeps_it_and_documents_have_none(self) -> None:
        state = state_machine.StateMachine()
        self.apply(state, "f", True)
        restored = state_machine.StateMachine()
        restored.load(state.dump())
        self.assertEqual(restored.store.list_names(stores.QUARANTINE), {"f"})
        self.assertEqual(stores.build_document(restored.store.get_bodies()), {})

    def test_bounded(self) -> None:
        state = state_machine.StateMachine()
        for number in range(state_machine.MAX_QUARANTINED):
            self.assertTrue(self.apply(state, f"f{number}", True))
        self.assertFalse(self.apply(state, "one more", True))
        self.assertTrue(self.apply(state, "f0", False))
        self.assertTrue(self.apply(state, "one more", True))


EXITS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("fgh"),
        strategies.sampled_from("abcd"),
        *[strategies.booleans()] * 3,
    ),
    max_size=20,
)


class TableTest(unittest.TestCase):
    """The table merged by daemons."""

    @profiles.choose(200)
    @given(EXITS, strategies.randoms(use_true_random=False))
    def test_order_and_repetition_make_no_difference(
        self, rows: list[tuple[str, str, bool, bool, bool]], rng: random.Random
    ) -> None:
        exits = [suspects.TargetExit(*row) for row in rows]
        again = exits + exits[: len(exits) // 2]
        rng.shuffle(again)
        tables = [suspects.Suspects(), suspects.Suspects()]
        tables[0].merge(exits)
        for target_exit in again:
            tables[1].merge(suspects.decode_exits(suspects.encode_exits([target_exit])))
        self.assertEqual(set(tables[0].list_all()), set(tables[1].list_all()))
        cleared = {
            (target_exit.key, target_exit.target_id)
            for target_exit in exits
            if target_exit.is_cleared
        }
        for fingerprint in "fgh":
            expected = {
                target_exit.target_id for target_exit in exits if target_exit.key == fingerprint
            }
            expected -= {target for other, target in cleared if other == fingerprint}
            uncleared = {item for item in tables[0].list_all() if not item.is_cleared}
            found = {item.target_id for item in uncleared if item.key == fingerprint}
            self.assertEqual(found, expected)
            begun = {item.target_id for item in uncleared if item.has_begun}
            own = {i.target_id for i in uncleared if i.key == fingerprint and i.has_begun}
            counted = {target for target in expected if target in own or target not in begun}
            self.assertEqual(set(tables[0].list_targets(fingerprint)), counted)

    def test_only_changes_are_returned(self) -> None:
        table = suspects.Suspects()
        target_exit = suspects.TargetExit("f", "a")
        self.assertEqual(table.merge([target_exit, target_exit]), [target_exit])
        cleared = table.clear("f")
        self.assertEqual(cleared, [suspects.TargetExit("f", "a", True)])
        self.assertEqual((table.clear("f"), table.merge([target_exit])), ([], []))

    def test_bounded_and_single_exits_are_evicted_first(self) -> None:
        table = suspects.Suspects()
        table.merge([suspects.TargetExit("guilty", f"t{number}") for number in range(100)])
        self.assertEqual(table.count("guilty"), suspects.MAX_EXITS)
        table.merge([suspects.TargetExit(f"f{number}", "t") for number in range(100_000)])
        self.assertEqual(len(table), suspects.MAX_REQUESTS)
        self.assertEqual(table.count("guilty"), suspects.MAX_EXITS)
        self.assertEqual((table.count("f0"), table.count("f99999")), (0, 1))

    def test_invalid_rows_are_skipped(self) -> None:
        rows = [
            suspects.TargetExit("", "t"),
            suspects.TargetExit("f", ""),
            suspects.TargetExit("f" * 300, "t"),
        ]
        good = suspects.TargetExit("f", "t")
        self.assertEqual(suspects.decode_exits(suspects.encode_exits([*rows, good])), [good])


if __name__ == "__main__":
    unittest.main()
