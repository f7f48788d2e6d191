"""Scheduling decisions at a target, one rule at a time, on a constructed state."""

import asyncio
import unittest
from unittest import mock

from tillerlane.agent import execution, forecast, lengths, scheduling
from tillerlane.agent import generation as generations
from tillerlane.agent import target as targets
from tillerlane.config import documents, settings
from tillerlane.faults import kinds
from tillerlane.peers import messages
from tillerlane.policy import program as programs
from tillerlane.testing import engine, engine_client

__all__: list[str] = []


def build_state(policy: documents.Policy | None = None, **changes: object) -> targets.TargetState:
    """Build a target of 1,000 tokens of memory and ten batch slots."""
    client = engine_client.connect(lambda: engine.Engine(engine.EngineSpec()), ["m"])
    program = programs.compile_program("p", policy or documents.Policy()).unwrap()
    state = targets.TargetState("t", settings.TargetKind.RUNNER, client, program)
    state.memory_total = 1_000
    state.batch_limit = 10
    for name, value in changes.items():
        setattr(state, name, value)
    return state


def build_generation(
    state: targets.TargetState,
    name: str,
    *,
    prompt: int = 50,
    written: int = 0,
    urgent: bool = False,
    priority: int = 50,
    workspace: str = "w",
    class_name: str = "c",
    arrived: float = 0.0,
    longest: int = 100,
) -> generations.Generation:
    """Build a generation of a class whose outputs have about 20 tokens."""
    distributions = state.length_models
    if distributions.get(workspace, class_name, "m").samples == 0:
        for _ in range(50):
            distributions.add(workspace, class_name, "m", 20)
    start = messages.Start(
        f"t~{class_name}~{name}", "r", workspace, class_name, "m", "t", b"", prompt, longest
    )
    model = distributions.get(workspace, class_name, "m")
    item = generations.Generation(start, arrived, 1e9, priority, urgent, True, model)
    item.texts = ["x"] * written
    return item


def add_running(state: targets.TargetState, item: generations.Generation) -> None:
    """Add a generation to the running ones."""
    item.state = generations.State.RUNNING
    item.started = True
    state.held[item.id] = item
    state.running.append(item)


def add_paused(state: targets.TargetState, item: generations.Generation) -> None:
    """Add a generation to the paused ones."""
    item.state = generations.State.PAUSED
    item.times_paused += 1
    state.held[item.id] = item
    state.paused.append(item)


class AdmissionTest(unittest.TestCase):
    """Which requests start."""

    def test_highest_rank_first(self) -> None:
        state = build_state(documents.Policy(rank="-prompt_tokens"))
        for name, prompt in (("long", 200), ("short", 20), ("middle", 60)):
            state.enqueue(build_generation(state, name, prompt=prompt))
        admitted = [action.generation.id for action in scheduling.decide(state, 1.0)]
        self.assertEqual(admitted, ["t~c~short", "t~c~middle", "t~c~long"])

    def test_memory_is_not_exceeded(self) -> None:
        state = build_state()
        for number in range(10):
            state.enqueue(build_generation(state, str(number), prompt=150))
        admitted = scheduling.decide(state, 1.0)
        self.assertTrue(admitted)
        batch = [action.generation for action in admitted]
        risk = forecast.BatchForecast(batch).risk(state.usable_memory * 0.9)
        self.assertLessEqual(risk, 0.02)
        self.assertGreater(forecast.BatchForecast(batch).expected_peak(), 500)

    def test_anything_that_fits_alone_starts_alone(self) -> None:
        state = build_state()
        state.enqueue(build_generation(state, "huge", prompt=990, longest=5_000))
        self.assertEqual(len(scheduling.decide(state, 1.0)), 1)

    def test_headroom_is_for_urgent_work(self) -> None:
        state = build_state(documents.Policy(headroom="0.5"))
        for number in range(5):
            add_running(state, build_generation(state, f"r{number}"))
        state.enqueue(build_generation(state, "plain", priority=100))
        state.enqueue(build_generation(state, "urgent", urgent=True, priority=1))
        admitted = [action.generation.id for action in scheduling.decide(state, 1.0)]
        self.assertEqual(admitted, ["t~c~urgent"])

    def test_many_requests_give_a_workspace_no_advantage(self) -> None:
        state = build_state(batch_limit=3)
        state.workspace_usage.charge("flood", 5_000, 0.0)
        for number in range(30):
            state.enqueue(build_generation(state, f"f{number}", workspace="flood"))
        state.enqueue(build_generation(state, "one", workspace="calm", arrived=0.5))
        first = scheduling.decide(state, 1.0)[0]
        self.assertEqual(first.generation.id, "t~c~one")

    def test_waiting_time_raises_rank(self) -> None:
        state = build_state(batch_limit=1)
        state.enqueue(build_generation(state, "old", priority=0, arrived=-1_000.0))
        state.enqueue(build_generation(state, "new", priority=100))
        self.assertEqual(scheduling.decide(state, 1.0)[0].generation.id, "t~c~old")

    def test_ranks_evaluated_are_bounded(self) -> None:
        state = build_state(documents.Policy(rank="priority + waited_s"))
        for number in range(1_000):
            state.enqueue(build_generation(state, str(number)))
        scheduling.order_waiting(state, {}, 5.0)
        evaluated = sum(item.rank_at == 5.0 for item in state.waiting)
        self.assertLessEqual(evaluated, scheduling.MAX_RANKS_PER_DECISION)
        for step in range(60):
            scheduling.order_waiting(state, {}, 6.0 + step)
        self.assertTrue(all(item.rank_at > 5.0 for item in state.waiting))


class PreemptionTest(unittest.TestCase):
    """Which generations are paused."""

    def fill_memory(self, state: targets.TargetState) -> list[generations.Generation]:
        items = [build_generation(state, str(n), prompt=306, written=20) for n in range(3)]
        for item in items:
            add_running(state, item)
        return items

    def test_one_is_paused_before_memory_is_full(self) -> None:
        state = build_state()
        self.fill_memory(state)
        actions = scheduling.decide(state, 1.0)
        self.assertEqual([type(action) for action in actions], [scheduling.Pause])

    def test_none_is_paused_again_while_another_can_be(self) -> None:
        state = build_state(documents.Policy(sacrifice="priority"))
        items = self.fill_memory(state)
        items[0].priority = 100
        items[0].times_paused = 1
        victim = scheduling.decide(state, 1.0)[0].generation
        self.assertIsNot(victim, items[0])

    def test_exempt_class_is_never_paused(self) -> None:
        policy = documents.Policy(sacrifice="class_name == 'record' ? -1.0 : 1.0")
        state = build_state(policy)
        for number in range(2):
            item = build_generation(state, str(number), prompt=300, class_name="record")
            add_running(state, item)
        other = build_generation(state, "other", prompt=390)
        add_running(state, other)
        self.assertEqual(scheduling.decide(state, 1.0), [scheduling.Pause(other)])

    def test_paused_generation_resumes_before_new_requests(self) -> None:
        state = build_state(batch_limit=1)
        state.enqueue(build_generation(state, "new", priority=100))
        add_paused(state, build_generation(state, "aside", priority=1, written=10))
        action = scheduling.decide(state, 1.0)[0]
        self.assertIsInstance(action, scheduling.Unpause)

    def test_urgent_request_preempts_after_a_delay(self) -> None:
        state = build_state()
        for number in range(2):
            add_running(state, build_generation(state, str(number), prompt=460, written=10))
        state.enqueue(build_generation(state, "urgent", urgent=True, prompt=100))
        self.assertEqual(scheduling.decide(state, 0.1), [])
        self.assertIsInstance(scheduling.decide(state, 1.0)[0], scheduling.Pause)


class RefusalTest(unittest.TestCase):
    """Requests refused on arrival have certainly not run."""

    def refuse(self, state: targets.TargetState, item: generations.Generation) -> str:
        fault = scheduling.check_arrival(item, state, 0.0)
        if fault is None:
            return ""
        self.assertEqual(fault.ran, kinds.Ran.NO)
        return fault.kind.value

    def test_kinds(self) -> None:
        state = build_state()
        item = build_generation(state, "x")
        self.assertEqual(self.refuse(state, item), "")
        self.assertEqual(self.refuse(build_state(leaving=True), item), "leaving")
        self.assertEqual(self.refuse(build_state(healthy=False), item), "no_capacity")
        huge = build_generation(state, "huge", prompt=2_000)
        self.assertEqual(self.refuse(state, huge), "bad_request")
        state.max_waiting = 0
        self.assertEqual(self.refuse(state, item), "no_capacity")

    def test_wait_beyond_the_deadline(self) -> None:
        state = build_state(backlog={True: 0.0, False: 1e6})
        state.enqueue(build_generation(state, "before"))
        item = build_generation(state, "x")
        item.deadline = 5.0
        self.assertEqual(self.refuse(state, item), "no_capacity")
        item.deadline = 1e9
        self.assertEqual(self.refuse(state, item), "")

    def test_deadline_that_cannot_be_met_is_detected_early(self) -> None:
        state = build_state(step_seconds=0.1)
        item = build_generation(state, "x")
        item.deadline = 10.0
        self.assertFalse(scheduling.cannot_meet_deadline(item, state, 0.0))
        self.assertFalse(scheduling.cannot_meet_deadline(item, state, 7.0))
        self.assertTrue(scheduling.cannot_meet_deadline(item, state, 9.5))

    def test_policy_decides(self) -> None:
        state = build_state(documents.Policy(may_wait="!urgent"))
        state.enqueue(build_generation(state, "before"))
        self.assertEqual(self.refuse(state, build_generation(state, "plain")), "")
        urgent = build_generation(state, "urgent", urgent=True)
        self.assertEqual(self.refuse(state, urgent), "no_capacity")


class PolicyFaultTest(unittest.TestCase):
    """An expression that fails at run time is reported and replaced by the built-in rule."""

    def test_fall_back(self) -> None:
        state = build_state(documents.Policy(rank="100.0 / double(int(priority) % 7) + 1.0"))
        seen: list[str] = []
        state.program.on_fault = lambda policy, expression, reason: seen.append(expression)
        item = build_generation(state, "x", priority=49)
        state.enqueue(item)
        self.assertEqual(len(scheduling.decide(state, 1.0)), 1)
        broken = programs.Evaluator(state.program, "rank", {})
        value = broken.evaluate({"priority": lambda: "no number"}, 7.0)
        self.assertEqual(value, 7.0)
        self.assertEqual(seen, ["rank"])
        self.assertEqual(state.program.fault_count, 1)


class LengthsTest(unittest.TestCase):
    """Distributions of output lengths."""

    def test_expected_remaining_grows_with_length_in_a_heavy_tail(self) -> None:
        model = lengths.LengthModel()
        for length in [20] * 90 + [2_000] * 10:
            model.add(length)
        self.assertLess(model.predict_remaining(0, 10_000).expected_remaining, 600)
        self.assertGreater(model.predict_remaining(200, 10_000).expected_remaining, 900)

    def test_prediction_respects_max_tokens(self) -> None:
        model = lengths.LengthModel()
        remaining = model.predict_remaining(0, 50)
        self.assertLessEqual(remaining.expected_remaining, 50)
        self.assertEqual(remaining.alive[-1], 0.0)

    def test_new_key_is_smoothed_by_its_class(self) -> None:
        distributions = lengths.LengthModels()
        for _ in range(100):
            distributions.add("a", "c", "m", 1_000)
        predicted = distributions.get("b", "c", "m").predict_remaining(0, 100_000)
        self.assertGreater(predicted.expected_remaining, 600)

    def test_distribution_follows_recent_lengths(self) -> None:
        distributions = lengths.LengthModels()
        for length in [100] * 400 + [300] * 400:
            distributions.add("a", "c", "m", length)
        self.assertGreater(
            distributions.get("a", "c", "m").predict_remaining(0, 10_000).expected_remaining, 200
        )

    def test_keys_are_bounded(self) -> None:
        distributions = lengths.LengthModels()
        for number in range(distributions.MAX_KEYS + 50):
            distributions.get(f"w{number}", "c", "m")
        self.assertLessEqual(len(distributions._models), distributions.MAX_KEYS)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Planned stop of a target's tasks."""

    async def test_failed_task_is_logged(self) -> None:
        """Guards against a task that failed hours ago without a log line."""
        timeline = mock.Mock()
        state = build_state()
        executor = execution.Executor(state, timeline, lambda: (1.0, 1.0), lambda name, value: None)

        async def fail() -> None:
            raise ValueError("no such run")

        executor._loops = [asyncio.create_task(fail()), asyncio.create_task(asyncio.sleep(60))]
        await asyncio.sleep(0)
        await executor.stop()
        [call] = timeline.record.call_args_list
        self.assertEqual(call.args, ("internal.error",))
        self.assertIn("no such run", call.kwargs["error"])


class ConstantsTest(unittest.TestCase):
    """Properties of constants that the code relies on."""

    def test_resume_delays_do_not_decrease(self) -> None:
        self.assertEqual(sorted(execution.RESUME_DELAYS), list(execution.RESUME_DELAYS))


if __name__ == "__main__":
    unittest.main()
