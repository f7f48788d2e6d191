"""Models follow demand by fenced orders, each of which is executed once."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.placement import leader, planner
from tillerlane.testing import lab, scenes

MODELS = {"pool": ["m", "n"]}


def runner(name: str, *models: str, load: float = 0.1, leaving: bool = False) -> Any:
    """Return the state of a runner of the pool."""
    return planner.RunnerState(name, "pool", frozenset(models), load, leaving)


def plan(runners: list[Any], demand: dict[str, planner.Demand], **more: Any) -> Any:
    """Return the next order; a runner has room for two models unless `max_models` is given."""
    keyed = {("pool", model): item for model, item in demand.items()}
    return planner.plan_next(
        MODELS, runners, keyed, more.get("pins", set()), more.get("max_models", 2)
    )


class LeaderTest(unittest.TestCase):
    """The loop of the leader."""

    def test_failing_step_is_logged_once(self) -> None:
        """Guards against a placement that fails for hours without a log line."""
        timeline = mock.Mock()
        own = mock.Mock()
        own.has_lease = True
        own.state_machine.store.current.pools = {"pool": mock.Mock(most_models=2)}
        placement = leader.PlacementLeader(own, list, mock.AsyncMock(), timeline, lambda: 0)
        placement._step = mock.AsyncMock(side_effect=OSError("no route"))

        async def run() -> None:
            placement.start()
            await asyncio.sleep(0.1)
            placement.stop()

        with mock.patch.object(leader, "PLAN_INTERVAL_SECONDS", 0.01):
            asyncio.run(run())
        self.assertGreater(placement._step.call_count, 1)
        timeline.record.assert_called_once_with("placement.failed", reason="OSError: no route")


class PlannerTest(unittest.TestCase):
    """Each rule of the planner."""

    def test_first_copy_goes_to_the_least_loaded_runner(self) -> None:
        runners = [runner("a", "m", load=0.5), runner("b", "m", load=0.2)]
        order = plan(runners, {"n": planner.Demand(unserved=3)})
        self.assertEqual((order.target, order.action, order.model), ("b", "load", "n"))

    def test_full_and_leaving_runners_get_nothing(self) -> None:
        runners = [runner("a", "m"), runner("b", leaving=True)]
        self.assertIsNone(plan(runners, {"n": planner.Demand(unserved=3)}, max_models=1))

    def test_plan_does_not_oscillate(self) -> None:
        one = [runner("a", "m", "n"), runner("b", "m")]
        two = [runner("a", "m", "n"), runner("b", "m", "n")]
        grown = plan(one, {"n": planner.Demand(load=0.8), "m": planner.Demand(load=1.0)})
        self.assertEqual((grown.action, grown.target), ("load", "b"))
        for load in (0.4, 0.6, 0.8, 1.0, 1.4):
            demand = {"n": planner.Demand(load=load), "m": planner.Demand(load=1.0)}
            self.assertIsNone(plan(two, demand), load)
        shrunk = plan(two, {"n": planner.Demand(load=0.2), "m": planner.Demand(load=1.0)})
        self.assertEqual(shrunk.action, "unload")

    def test_last_copy_and_pins_stay(self) -> None:
        self.assertIsNone(plan([runner("a", "m", "n"), runner("b", "m")], {"m": planner.Demand(1)}))
        two = [runner("a", "m", "n"), runner("b", "m", "n")]
        pins = {("a", "n"), ("b", "n"), ("a", "m"), ("b", "m")}
        self.assertIsNone(plan(two, {}, pins=pins))

    def test_pin_is_loaded(self) -> None:
        order = plan([runner("a", "m"), runner("b", "m")], {}, pins={("b", "n")})
        self.assertEqual((order.target, order.model), ("b", "n"))


def build_document() -> dict[str, Any]:
    """Return a configuration with two models, one of them loaded."""
    document = scenes.build_document(other={"model": "n"})
    pool = document["pools"]["pool"]
    pool["models"] = ["m", "n"]
    pool["most_models"] = 2
    for item in pool["runners"].values():
        item["models"] = ["m"]
    document["fleet"] = {"weight_load_seconds": 5}
    return document


class PlacementTest(scenes.SceneCase):
    """Placement in a running fleet."""

    def test_requested_model_is_loaded(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer = await stage.call("katalog", "other", "first")
            self.assertEqual(answer.fault.ran, kinds.Ran.NO)
            await asyncio.sleep(6)
            self.check_whole(await stage.call("katalog", "other", "second"))

        self.play(scene, build_document(), keepers=3)

    def test_orders_survive_the_leader(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            await stage.call("katalog", "other", "first")
            leader = next(
                name
                for name in stage.list_role("keeper")
                if stage.daemons[name].keeper.replica.has_lease
            )
            await asyncio.sleep(1.0)
            await stage.kill(leader)
            await stage.call("katalog", "other", "second")
            await asyncio.sleep(8)
            self.check_whole(await stage.call("katalog", "other", "third"))

        self.play(scene, build_document(), keepers=3)

    def test_old_fence_is_rejected_and_resent_order_is_executed_once(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            agent = stage.daemons["agent-hall-a"].agent
            order = {"order_id": "o-2", "target": "r1", "action": "load", "model": "n"}
            for _ in range(2):
                outcome = await agent.execute_order({**order, "fence": [3, 20]})
                self.assertEqual(outcome, {"outcome": "done"})
            self.assertEqual(stage._models["r1"].count("n"), 1)
            old = {"order_id": "o-1", "target": "r1", "action": "unload", "model": "n"}
            with self.assertRaises(faults.FaultError) as raised:
                await agent.execute_order({**old, "fence": [2, 30]})
            self.assertEqual(raised.exception.fault.kind, kinds.ErrorKind.STALE_FENCE)
            self.assertIn("n", stage._models["r1"])

        self.play(scene, build_document())


if __name__ == "__main__":
    unittest.main()
