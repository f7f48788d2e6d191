"""Which keepers an entry listens to, while the keepers are cut in two."""

import asyncio
import unittest
from unittest import mock

from tillerlane.gateway import directory as directories
from tillerlane.gateway import homes
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
    desired_voters = 5

    @mock.patch.object(homes, "SMALL_FLEET_ENTRIES", 0)
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

    def test_few_entries_hear_what_a_keeper_that_is_cut_off_was_told(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            await asyncio.sleep(0.5)
            cut_off(stage, ["keeper-4", "keeper-5"])
            await asyncio.sleep(3)
            phase = directories.Phase.DRAINING
            stage.beat("t1", "app", phase=phase, keeper="keeper-4")
            await asyncio.sleep(0.1)
            for entry in stage.entries.values():
                self.assertEqual(entry.directory.targets["t1"].phase, phase)

        self.play(scene)

    def test_what_was_heard_on_one_side_of_a_cut_is_known_everywhere_after_it(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "app")
            await asyncio.sleep(0.5)
            cut_off(stage, ["keeper-4", "keeper-5"])
            await asyncio.sleep(3)
            phase = directories.Phase.DRAINING
            stage.beat("t1", "app", phase=phase, keeper="keeper-4")
            await asyncio.sleep(3)
            stage.network.heal()
            await asyncio.sleep(4)
            known = {
                name: daemon.directory.targets["t1"].phase
                for name, daemon in [*stage.keepers.items(), *stage.entries.items()]
            }
            self.assertEqual(set(known.values()), {phase}, known)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
