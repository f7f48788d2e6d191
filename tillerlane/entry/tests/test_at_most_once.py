"""Non-repeatable requests run at most once, and "not run" is reported only if it is certain.

The scenes cover each way in which a target may start or resume such a request; these are listed in
``docs/design/at-most-once.md``.
"""

import asyncio
import dataclasses
import unittest
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from tillerlane.agent import execution, scheduling
from tillerlane.faults import kinds
from tillerlane.keeper import commands
from tillerlane.runners import core as runners
from tillerlane.testing import lab, scenes

LENGTH = 3_000
"""Length of a run that outlasts the disturbance of each scene: about a minute."""
CLOCK_SKEW_MS = 600_000
"""How far a daemon's clock is ahead: more than a request's deadline and the claims' retention."""


def count_runs(stage: lab.Lab) -> int:
    """Number of generations that any engine has received."""
    return sum(len(engine.sequences) for engine in stage.engines.values() if engine is not None)


def build_long_document(**fleet: Any) -> dict[str, Any]:
    """Build a configuration in which the runs of class ``once`` are long."""
    document = scenes.build_document(once={"repeatable": False, "max_tokens": LENGTH})
    return {**document, "fleet": fleet}


class OnceCase(scenes.SceneCase):
    """Scenes with long non-repeatable runs, each under an idempotency key."""

    def play_long(self, scene: Any, **fleet: Any) -> None:
        """Play with three keepers, so that the loss of one is tolerated."""
        document = build_long_document(**fleet)
        self.play(scene, document, keepers=3, get_length=lambda *words: LENGTH)

    async def start_once(self, stage: lab.Lab) -> tuple[lab.Answer, "asyncio.Task[lab.Answer]"]:
        """Start a claimed call and wait for its first tokens."""
        answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
        while not answer.texts:
            await asyncio.sleep(0.02)
        return answer, task

    async def start_stalled(
        self, stage: lab.Lab
    ) -> tuple[str, lab.Answer, "asyncio.Task[lab.Answer]"]:
        """Start a claimed call that stays without tokens at its runner, returned with it."""
        for engine in stage.engines.values():
            engine.stalled = True
        answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
        await asyncio.sleep(0.5)
        return self.find_holder(stage), answer, task

    def find_holder(self, stage: lab.Lab) -> str:
        """Return the only runner that holds a generation."""
        (name,) = [name for name, engine in stage.engines.items() if engine.sequences]
        return name

    async def resend(self, stage: lab.Lab) -> lab.Answer:
        """Send the same request again, to another entry."""
        return await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")


class AgentTest(OnceCase):
    """The agent loses the state of its runner's work, or the link to it is lost."""

    def test_restarted_agent_without_the_class_does_not_report_not_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            document = build_long_document()
            del document["classes"]["once"]
            await stage.apply(document, 1, "c-without-it")
            await stage.settle(2.0)
            await stage.restart(stage.find_agent(answer.generation_ids[0]))
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            await stage.apply(build_long_document(), 2, "c-with-it-again")
            await stage.settle(2.0)
            again = await self.resend(stage)
            self.assertEqual(again.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_class_is_removed_before_the_first_token(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            holder, answer, task = await self.start_stalled(stage)
            document = build_long_document()
            del document["classes"]["once"]
            await stage.apply(document, 1, "c-without-it")
            await stage.settle(2.0)
            await stage.restart(stage.find_agent(f"{holder}~c~x"))
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_restarted_agent_serves_another_target(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            agent = stage.find_agent(answer.generation_ids[0])
            plan = stage.plans[agent]
            stage.plans[agent] = plan.model_copy(update={"targets": {}})
            await stage.restart(agent)
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            again = await self.resend(stage)
            self.assertEqual(again.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_restarted_agent_resumes_the_run_at_its_target(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            await stage.restart(stage.find_agent(answer.generation_ids[0]))
            self.check_whole(await task)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_agent_fails_with_the_request_in_its_queue(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for daemon in stage.daemons.values():
                for executor in daemon.agent.executors.values() if daemon.agent else ():
                    executor._decide = lambda state, now: []
            answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
            await asyncio.sleep(0.5)
            sent = stage.daemons["entry-1"].timeline.read()[-1]
            await stage.restart(stage.find_agent(sent.generation_id))
            await task
            self.assertEqual(answer.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_request_on_a_partitioned_link_runs_at_most_once(self) -> None:
        """Data sent during a partition may arrive after it heals: "not run" is not certain."""

        async def scene(stage: lab.Lab) -> None:
            for agent in ("agent-hall-a", "agent-hall-b"):
                stage.network.cut("entry-1", agent)
            answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
            await asyncio.sleep(0.5)
            stage.network.heal()
            await task
            self.assertLessEqual(count_runs(stage), 1)
            if answer.fault is not None:
                self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            await self.resend(stage)
            self.assertLessEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_lost_link_does_not_cause_a_retry_elsewhere(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            holder, answer, task = await self.start_stalled(stage)
            stage.network.isolate(stage.find_agent(f"{holder}~c~x"))
            await task
            self.assertEqual(answer.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)


class CancelTest(OnceCase):
    """A run is cancelled, possibly with a delay or a loss of the cancel."""

    def test_request_cancelled_before_its_start_is_not_started(self) -> None:
        """The cancel arrives between the admission of a request and the start of its run."""

        async def scene(stage: lab.Lab) -> None:
            executors = self.list_executors(stage)
            for executor in executors:
                self._cancel_at_admission(executor)
            answer, task = stage.begin_call("katalog", "record", "a report")
            await task
            self.assertEqual(answer.fault.kind, kinds.ErrorKind.CANCELLED)
            self.assertEqual(answer.fault.ran, kinds.Ran.NO)
            await asyncio.sleep(1.0)
            self.assertEqual(count_runs(stage), 0)
            self.assertEqual([executor.state.running for executor in executors], [[], []])

        self.play_long(scene)

    def _cancel_at_admission(self, executor: execution.Executor) -> None:
        decide = executor._decide

        def decide_and_cancel(state: Any, now: float) -> list[scheduling.Action]:
            actions = decide(state, now)
            for action in actions:
                asyncio.get_running_loop().call_soon(
                    executor.cancel, action.generation, kinds.ErrorKind.CANCELLED, "left"
                )
            return actions

        executor._decide = decide_and_cancel

    def list_executors(self, stage: lab.Lab) -> list[execution.Executor]:
        """List the executors of all targets."""
        agents = [daemon.agent for daemon in stage.daemons.values() if daemon.agent is not None]
        return [executor for agent in agents for executor in agent.executors.values()]

    def list_running(self, stage: lab.Lab) -> list[str]:
        """List the generations that are running on any engine."""
        engines = [engine for engine in stage.engines.values() if engine is not None]
        return [sequence.id for engine in engines for sequence in engine.running]

    def test_lost_cancel_is_sent_again(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            _, task = stage.begin_call("katalog", "record", "a report")
            await asyncio.sleep(0.5)
            self.assertEqual(len(self.list_running(stage)), 1)
            lost = 0

            async def lose_cancel(generation_id: str) -> bool | None:
                nonlocal lost
                lost += 1
                raise runners.TargetError("connection lost", reached=False)

            states = [executor.state for executor in self.list_executors(stage)]
            clients = [state.client for state in states]
            for state in states:
                state.client = dataclasses.replace(state.client, cancel=lose_cancel)
            task.cancel()
            await asyncio.sleep(0.5)
            self.assertGreater(lost, 0)
            for state, client in zip(states, clients, strict=True):
                state.client = client
            await asyncio.sleep(1.0)
            self.assertEqual(self.list_running(stage), [])

        self.play_record(scene)

    def test_cancel_that_overtakes_the_start_is_sent_again(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for executor in self.list_executors(stage):
                self._delay_start(executor)
            _, task = stage.begin_call("katalog", "record", "a report")
            await asyncio.sleep(0.3)
            self.assertEqual(count_runs(stage), 0)
            task.cancel()
            await asyncio.sleep(1.5)
            self.assertEqual(count_runs(stage), 1)
            self.assertEqual(self.list_running(stage), [])

        self.play_record(scene)

    def _delay_start(self, executor: execution.Executor) -> None:
        client = executor.state.client

        async def start(job: runners.Job) -> AsyncIterator[runners.Chunk | runners.Finish]:
            await asyncio.sleep(0.5)
            async for item in client.start(job):
                yield item

        executor.state.client = dataclasses.replace(client, start=start)

    def play_record(self, scene: Any) -> None:
        """Play with long runs that are cancelled when their caller disconnects."""
        document = scenes.build_document(record={"max_tokens": LENGTH})
        self.play(scene, document, get_length=lambda *words: LENGTH)

    def test_disconnect_of_a_second_reader_does_not_cancel(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            _, joined = stage.begin_call("katalog", "once", "refund", key="k1", entry="entry-2")
            await asyncio.sleep(0.5)
            joined.cancel()
            self.check_whole(await task)
            self.assertEqual(len(answer.texts), LENGTH)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_returning_caller_joins_the_run_in_progress(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            task.cancel()
            await asyncio.sleep(1.0)
            again = await self.resend(stage)
            self.check_whole(again)
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)


class RunnerTest(OnceCase):
    """The runner restarts or pauses runs."""

    def test_restarted_runner_of_the_same_name_repeats_nothing(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            runner = answer.generation_ids[0].split("~")[0]
            stage.kill_engine(runner)
            stage.start_engine(runner)
            await task
            self.assertEqual(answer.fault.ran, kinds.Ran.YES)
            again = await self.resend(stage)
            self.assertEqual(again.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_runner_restarts_before_the_first_token(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            holder, answer, task = await self.start_stalled(stage)
            stage.kill_engine(holder)
            for engine in stage.engines.values():
                if engine is not None:
                    engine.stalled = False
            stage.start_engine(holder)
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_paused_run_resumes_as_the_same_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            runner = answer.generation_ids[0].split("~")[0]
            engine = stage.engines[runner]
            self.assertTrue(engine.pause(answer.generation_ids[0]))
            await asyncio.sleep(1.0)
            self.assertTrue(engine.unpause(answer.generation_ids[0]))
            self.check_whole(await task)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)


class WithoutKeyTest(OnceCase):
    """A request without a key has no claim and is sent only once nevertheless."""

    def test_runner_fails_before_the_first_token(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for engine in stage.engines.values():
                engine.stalled = True
            answer, task = stage.begin_call("katalog", "once", "refund")
            await asyncio.sleep(0.5)
            stage.kill_engine(self.find_holder(stage))
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_agent_fails_before_the_first_token(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for engine in stage.engines.values():
                engine.stalled = True
            answer, task = stage.begin_call("katalog", "once", "refund")
            await asyncio.sleep(0.5)
            await stage.kill(stage.find_agent(f"{self.find_holder(stage)}~c~x"))
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_runner_that_failed_before_the_start_is_skipped(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            stage.kill_engine("r1")
            answers = [await stage.call("katalog", "once", f"refund {n}") for n in range(2)]
            for answer in answers:
                self.check_whole(answer)
            self.assertEqual(count_runs(stage), 2)

        self.play_long(scene)


class EntryTest(OnceCase):
    """The entry fails or is suspended, or clocks differ."""

    def test_resuming_at_another_entry_starts_no_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            task.cancel()
            await stage.kill("entry-1")
            await stage.restart(stage.find_agent(answer.generation_ids[0]))
            await stage.settle(1.5)
            await stage.call("katalog", "once", "refund", entry="entry-2", answer=answer)
            self.check_whole(answer)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_resuming_a_lost_generation_starts_no_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            task.cancel()
            runner = answer.generation_ids[0].split("~")[0]
            stage.kill_engine(runner)
            stage.start_engine(runner)
            await stage.call("katalog", "once", "refund", entry="entry-2", answer=answer)
            self.assertEqual(answer.fault.ran, kinds.Ran.YES)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_claim_outlives_its_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            await asyncio.sleep(10)
            again = await self.resend(stage)
            await task
            self.check_whole(answer)
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene, claim_seconds=5)

    def test_leader_with_a_fast_clock_expires_no_claim(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            for name in stage.list_role("keeper"):
                keeper = stage.daemons[name].keeper
                keeper._now_ms = lambda now_ms=keeper._now_ms: now_ms() + CLOCK_SKEW_MS
            again = await self.resend(stage)
            await task
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene, claim_seconds=60)

    def test_entry_with_a_fast_clock_expires_no_claim(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_once(stage)
            dispatcher = stage.daemons["entry-2"].callers.dispatcher
            propose = dispatcher._propose

            async def propose_ahead(command: Any) -> dict[str, Any]:
                if isinstance(command, commands.ClaimOpen):
                    command = msgspec.structs.replace(
                        command,
                        at_ms=command.at_ms + CLOCK_SKEW_MS,
                        expires_ms=command.expires_ms + CLOCK_SKEW_MS,
                    )
                return await propose(command)

            dispatcher._propose = propose_ahead
            again = await self.resend(stage)
            await task
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene, claim_seconds=60)

    def test_entry_suspended_past_the_deadline_sends_nothing(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            dispatcher = stage.daemons["entry-1"].callers.dispatcher
            propose = dispatcher._propose

            async def propose_and_suspend(command: Any) -> dict[str, Any]:
                reply = await propose(command)
                await asyncio.sleep(200)
                return reply

            dispatcher._propose = propose_and_suspend
            answer = await stage.call("katalog", "once", "refund", key="k1")
            self.assertEqual(answer.fault.kind, kinds.ErrorKind.DEADLINE_EXPIRED)
            self.assertEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)


if __name__ == "__main__":
    unittest.main()
