"""Division of a memory budget."""

import unittest

from hypothesis import given, strategies

from tillerlane.decisions import pressure
from tillerlane.testing import profiles

LIMIT = 42_000_000
BODY = 4 * 1024 * 1024


def fill(workspace_bytes: dict[str, int], workspace: str, spare: int) -> bool:
    """Admit one body of a workspace if it fits."""
    own = workspace_bytes.get(workspace, 0)
    workspaces = len(workspace_bytes) + (not own)
    state = pressure.Pressure(LIMIT, sum(workspace_bytes.values()), workspaces)
    if pressure.find_obstacle(state, own, BODY, spare):
        return False
    workspace_bytes[workspace] = own + BODY
    return True


class PressureTest(unittest.TestCase):
    """Admission and buffer sizes."""

    def test_newcomer_fits_beside_a_workspace_that_takes_all_it_gets(self) -> None:
        """Guards against a workspace that shuts out all others; compares both variants."""
        fits = {}
        for spare in (0, 1):
            held: dict[str, int] = {}
            while fill(held, "large", spare):
                pass
            fits[spare] = fill(held, "new", spare)
        self.assertEqual(fits, {0: False, 1: True})

    @profiles.choose(200)
    @given(strategies.lists(strategies.tuples(strategies.integers(0, 9), strategies.booleans())))
    def test_admitted_bytes_never_exceed_the_budget(self, steps: list[tuple[int, bool]]) -> None:
        """Guards against shares that add up to more than the budget."""
        held: dict[str, int] = {}
        for number, leaves in steps * 5:
            if leaves:
                held.pop(str(number), None)
            else:
                fill(held, str(number), 1)
            self.assertLessEqual(sum(held.values()), LIMIT)

    def test_buffers_shrink_and_never_stop_an_answer(self) -> None:
        """Guards against answers that wait for ever beside a full budget."""
        sizes = []
        for held in range(0, LIMIT + 1, LIMIT // 50):
            state = pressure.Pressure(LIMIT, held, 1)
            sizes.append((pressure.compute_read_buffer(state, 0), held))
            self.assertGreaterEqual(sizes[-1][0], pressure.READ_FLOOR_BYTES)
            self.assertGreaterEqual(
                pressure.compute_write_buffer(state), pressure.MIN_WRITE_BUFFER_BYTES
            )
        self.assertEqual([size for size, _ in sizes], sorted((x for x, _ in sizes), reverse=True))


if __name__ == "__main__":
    unittest.main()
