"""Changes of configuration are accepted once, reach every daemon and are never reverted."""

import asyncio
import copy
import unittest
from typing import Any

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.testing import lab, scenes


def build_document(weight: float) -> dict[str, Any]:
    """Build the scene's configuration with another weight of a workspace."""
    document = copy.deepcopy(scenes.DOCUMENT)
    document["workspaces"]["katalog"] = {"weight": weight}
    return document


class ChangesTest(scenes.SceneCase):
    """Concurrent and resent changes, network partitions and restarts."""

    def test_concurrent_changes(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            attempts = [
                stage.apply(build_document(2.0 + n), 1, f"change-{n}", f"entry-{1 + n % 2}")
                for n in range(6)
            ]
            outcomes = await asyncio.gather(*attempts, return_exceptions=True)
            accepted = [item for item in outcomes if isinstance(item, dict)]
            refused = [item for item in outcomes if isinstance(item, faults.FaultError)]
            self.assertEqual((len(accepted), len(refused)), (1, 5))
            for error in refused:
                self.assertEqual(error.fault.kind, kinds.ErrorKind.VERSION_CONFLICT)
                self.assertEqual(error.fault.detail["version"], 2)

        self.play(scene, keepers=3)

    def test_resent_change_gets_the_first_reply_after_hundreds_of_changes(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for number in range(1, 301):
                await stage.apply(build_document(1 + number / 1000), number, f"change-{number}")
            for name in ("keeper-1", "keeper-2", "keeper-3"):
                await stage.restart(name)
            await asyncio.sleep(5)
            resent = await stage.apply(build_document(1.001), 1, "change-1", "entry-2")
            self.assertEqual((resent["accepted"], resent["version"]), (True, 2))
            self.assertEqual(stage.daemons["entry-1"].store.version, 301)

        self.play(scene, keepers=3)

    def test_resent_conflict_stays_a_conflict(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            await stage.apply(build_document(2), 1, "change-won")
            for _ in range(2):
                with self.assertRaises(faults.FaultError) as raised:
                    await stage.apply(build_document(3), 1, "change-lost")
                self.assertEqual(raised.exception.fault.kind, kinds.ErrorKind.VERSION_CONFLICT)

        self.play(scene, keepers=3)

    def test_daemon_partitioned_from_keepers_updates_over_the_data_path(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for keeper in stage.list_role("keeper"):
                stage.network.cut(keeper, "agent-hall-a")
                stage.network.cut("agent-hall-a", keeper)
            await asyncio.sleep(3)
            await stage.apply(build_document(5), 1, "change-five")
            await asyncio.sleep(3)
            self.assertEqual(stage.daemons["agent-hall-a"].store.version, 2)

        self.play(scene, keepers=3)

    def test_daemon_catches_up_after_hundreds_of_changes(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            await stage.kill("entry-2")
            for number in range(1, 251):
                await stage.apply(build_document(1 + number / 1000), number, f"change-{number}")
            await stage.start_daemon("entry-2")
            await asyncio.sleep(2)
            store = stage.daemons["entry-2"].store
            self.assertEqual(store.version, 251)
            self.assertEqual(store.current.workspaces["katalog"].weight, 1.25)

        self.play(scene, keepers=3)

    def test_partitioned_leader_accepts_no_change(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            leader = next(
                name
                for name in stage.list_role("keeper")
                if stage.daemons[name].keeper.replica.has_lease
            )
            stage.network.isolate(leader)
            await asyncio.sleep(1.2)
            replica = stage.daemons[leader].keeper.replica
            self.assertFalse(replica.has_lease)
            response = await stage.apply(build_document(4), 1, "change-four")
            self.assertEqual(response["version"], 2)
            stage.network.heal()
            await asyncio.sleep(3)
            versions = {item.store.version for item in stage.daemons.values()}
            self.assertEqual(versions, {2})

        self.play(scene, keepers=3)

    def test_invalid_document_changes_nothing(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            document = copy.deepcopy(scenes.DOCUMENT)
            document["classes"]["record"]["pol"] = "pool"
            with self.assertRaises(faults.FaultError) as raised:
                await stage.apply(document, 1, "change-bad")
            fault = raised.exception.fault
            self.assertEqual(fault.kind, kinds.ErrorKind.INVALID_CONFIG)
            self.assertIn("$.classes.record.pol", fault.message)
            self.assertIn("'pool'", fault.message)
            self.assertEqual(stage.daemons["entry-1"].store.version, 1)

        self.play(scene)

    def test_policy_is_replaced_while_generations_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            response, task = await self.begin_record(stage)
            document = copy.deepcopy(scenes.DOCUMENT)
            document["policies"] = {"new": {"rank": "priority * 2.0"}}
            document["pools"]["pool"]["policy"] = "new"
            await stage.apply(document, 1, "change-policy")
            await asyncio.sleep(0.5)
            for hall in ("a", "b"):
                executors = stage.daemons[f"agent-hall-{hall}"].agent.executors
                for executor in executors.values():
                    self.assertEqual(executor.state.program.name, "new")
            await task
            self.check_whole(response)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
