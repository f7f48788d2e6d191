"""Which keepers an entry listens to, while the keepers are cut in two."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes


def cut_off(stage: gateway_lab.GatewayLab, minority: list[str]) -> None:
    """Cut a minority of keepers off from the other keepers; entries reach all."""
    for name in minority:
        for other in stage.keeper_names:
            if other not in minority:
                stage.network.cut(name, other)
                stage.network.cut(other, name)


class HomesTest(gateway_scenes.GatewayCase):
    """Five keepers, several entries."""

    keepers = 5
    entries = 6
    wished_voters = 5

    def test_entries_leave_keepers_that_are_cut_off_from_the_log(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for number, entry in enumerate(stage.entries.values(), 1):
                minority = [stage.network.names[item] for item in entry.homes.list_addresses()]
                cut_off(stage, minority)
                await asyncio.sleep(4)
                other = next(name for name in stage.keeper_names if name not in minority)
                await stage.publish(other, gateway_lab.build_document(number * 10))
                await asyncio.sleep(2)
                self.assertEqual(entry.published.version, number * 10, minority)
                stage.network.heal()
                await asyncio.sleep(3)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
