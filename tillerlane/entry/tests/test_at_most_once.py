"""What may run once runs once, and is said not to have run only if it truly did not.

Each way by which a target may begin or go on with such a request; the table of them is
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
"""Tokens of a run that outlasts each scene's disturbance; it takes about a minute."""
AHEAD_MS = 600_000
"""How far a daemon's clock is ahead: more than a request's time and the age of claims."""


def count_runs(stage: lab.Lab) -> int:
    """Generations that any engine has seen."""
    return sum(len(engine.sequences) for engine in stage.engines.values() if engine is not None)


def build_long_document(**fleet: Any) -> dict[str, Any]:
    """Runs of the class ``once`` are long."""
    document = scenes.build_document(once={"repeatable": False, "max_tokens": LENGTH})
    return {**document, "fleet": fleet}


class OnceCase(scenes.SceneCase):
    """Scenes with long runs that may not be repeated, each under a key."""

    def play_long(self, scene: Any, **fleet: Any) -> None:
        """Play with three keepers, so that one may be lost."""
        document = build_long_document(**fleet)
        self.play(scene, document, keepers=3, get_length=lambda *words: LENGTH)

    async def begin_once(self, stage: lab.Lab) -> tuple[lab.Answer, "asyncio.Task[lab.Answer]"]:
        """A claimed call of which some tokens have come."""
        answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
        while not answer.texts:
            await asyncio.sleep(0.02)
        return answer, task

    async def begin_stalled(
        self, stage: lab.Lab
    ) -> tuple[str, lab.Answer, "asyncio.Task[lab.Answer]"]:
        """A claimed call that its runner holds and has written nothing of; and that runner."""
        for engine in stage.engines.values():
            engine.stalled = True
        answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
        await asyncio.sleep(0.5)
        return self.find_holder(stage), answer, task

    def find_holder(self, stage: lab.Lab) -> str:
        """The one runner that holds a generation."""
        (name,) = [name for name, engine in stage.engines.items() if engine.sequences]
        return name

    async def resend(self, stage: lab.Lab) -> lab.Answer:
        """The same request again, at another entry."""
        return await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")


class AgentTest(OnceCase):
    """The agent forgets what its runner works on, or the link to it is lost."""

    def test_agent_that_started_again_without_the_class_says_nothing_of_not_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
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

    def test_nothing_was_written_yet_and_the_class_is_gone(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            holder, answer, task = await self.begin_stalled(stage)
            document = build_long_document()
            del document["classes"]["once"]
            await stage.apply(document, 1, "c-without-it")
            await stage.settle(2.0)
            await stage.restart(stage.find_agent(f"{holder}~c~x"))
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_agent_that_started_again_serves_another_target(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
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

    def test_agent_that_started_again_goes_on_with_the_run_it_finds(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            await stage.restart(stage.find_agent(answer.generation_ids[0]))
            self.check_whole(await task)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_agent_that_dies_with_the_request_in_its_queue(self) -> None:
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

    def test_request_on_a_link_that_is_cut_runs_once_or_not_at_all(self) -> None:
        """What was written into the cut may arrive when it heals, so nobody says "not run"."""

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

    def test_lost_link_is_no_reason_to_ask_another_runner(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            holder, answer, task = await self.begin_stalled(stage)
            stage.network.isolate(stage.find_agent(f"{holder}~c~x"))
            await task
            self.assertEqual(answer.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)


class CancelTest(OnceCase):
    """A run is ended early, or meant to be."""

    def test_what_was_ended_before_its_start_is_not_started(self) -> None:
        """A cancel arrives between a request's admission and the start of its run."""

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
        """The executors of all targets."""
        agents = [daemon.agent for daemon in stage.daemons.values() if daemon.agent is not None]
        return [executor for agent in agents for executor in agent.executors.values()]

    def list_running(self, stage: lab.Lab) -> list[str]:
        """Generations that any engine works on."""
        engines = [engine for engine in stage.engines.values() if engine is not None]
        return [sequence.id for engine in engines for sequence in engine.running]

    def test_cancel_that_is_lost_is_sent_again(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            _, task = stage.begin_call("katalog", "record", "a report")
            await asyncio.sleep(0.5)
            self.assertEqual(len(self.list_running(stage)), 1)
            lost = 0

            async def lose(generation_id: str) -> bool | None:
                nonlocal lost
                lost += 1
                raise runners.TargetError("broke off", reached=False)

            states = [executor.state for executor in self.list_executors(stage)]
            sound = [state.client for state in states]
            for state in states:
                state.client = dataclasses.replace(state.client, cancel=lose)
            task.cancel()
            await asyncio.sleep(0.5)
            self.assertGreater(lost, 0)
            for state, client in zip(states, sound, strict=True):
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
        """Play with long runs that end when their caller leaves."""
        document = scenes.build_document(record={"max_tokens": LENGTH})
        self.play(scene, document, get_length=lambda *words: LENGTH)

    def test_second_reader_that_leaves_ends_nothing(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            _, joined = stage.begin_call("katalog", "once", "refund", key="k1", entry="entry-2")
            await asyncio.sleep(0.5)
            joined.cancel()
            self.check_whole(await task)
            self.assertEqual(len(answer.texts), LENGTH)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_caller_that_left_meets_the_run_that_goes_on(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            task.cancel()
            await asyncio.sleep(1.0)
            again = await self.resend(stage)
            self.check_whole(again)
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)


class RunnerTest(OnceCase):
    """The runner starts again, sets runs aside, or its stream breaks."""

    def test_runner_that_started_again_under_its_name_runs_nothing_anew(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            runner = answer.generation_ids[0].split("~")[0]
            stage.kill_engine(runner)
            stage.start_engine(runner)
            await task
            self.assertEqual(answer.fault.ran, kinds.Ran.YES)
            again = await self.resend(stage)
            self.assertEqual(again.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_runner_that_started_again_before_the_first_token(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            holder, answer, task = await self.begin_stalled(stage)
            stage.kill_engine(holder)
            for engine in stage.engines.values():
                if engine is not None:
                    engine.stalled = False
            stage.start_engine(holder)
            await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_run_that_was_set_aside_goes_on_as_the_same(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            runner = answer.generation_ids[0].split("~")[0]
            engine = stage.engines[runner]
            self.assertTrue(engine.pause(answer.generation_ids[0]))
            await asyncio.sleep(1.0)
            self.assertTrue(engine.unpause(answer.generation_ids[0]))
            self.check_whole(await task)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)


class WithoutKeyTest(OnceCase):
    """A request without a key is claimed nowhere and is sent once all the same."""

    def test_runner_that_dies_before_the_first_token(self) -> None:
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

    def test_agent_that_dies_before_the_first_token(self) -> None:
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

    def test_runner_that_is_gone_before_the_start_is_passed_over(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            stage.kill_engine("r1")
            answers = [await stage.call("katalog", "once", f"refund {n}") for n in range(2)]
            for answer in answers:
                self.check_whole(answer)
            self.assertEqual(count_runs(stage), 2)

        self.play_long(scene)


class EntryTest(OnceCase):
    """The entry dies, stands still, or its claim is older than it thinks."""

    def test_caller_that_resumes_at_another_entry_begins_nothing(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            task.cancel()
            await stage.kill("entry-1")
            await stage.restart(stage.find_agent(answer.generation_ids[0]))
            await stage.settle(1.5)
            await stage.call("katalog", "once", "refund", entry="entry-2", answer=answer)
            self.check_whole(answer)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene)

    def test_caller_that_resumes_what_is_gone_begins_nothing(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            task.cancel()
            runner = answer.generation_ids[0].split("~")[0]
            stage.kill_engine(runner)
            stage.start_engine(runner)
            await stage.call("katalog", "once", "refund", entry="entry-2", answer=answer)
            self.assertEqual(answer.fault.ran, kinds.Ran.YES)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)

    def test_claim_outlives_the_run_that_it_is_for(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            await asyncio.sleep(10)
            again = await self.resend(stage)
            await task
            self.check_whole(answer)
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene, claim_seconds=5)

    def test_leader_whose_clock_is_ahead_drops_no_claim(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            for name in stage.list_role("keeper"):
                keeper = stage.daemons[name].keeper
                keeper._now_ms = lambda now_ms=keeper._now_ms: now_ms() + AHEAD_MS
            again = await self.resend(stage)
            await task
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene, claim_seconds=60)

    def test_entry_whose_clock_is_ahead_drops_no_claim(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.begin_once(stage)
            dispatcher = stage.daemons["entry-2"].callers.dispatcher
            propose = dispatcher._propose

            async def propose_ahead(command: Any) -> dict[str, Any]:
                if isinstance(command, commands.ClaimOpen):
                    command = msgspec.structs.replace(
                        command,
                        at_ms=command.at_ms + AHEAD_MS,
                        expires_ms=command.expires_ms + AHEAD_MS,
                    )
                return await propose(command)

            dispatcher._propose = propose_ahead
            again = await self.resend(stage)
            await task
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_long(scene, claim_seconds=60)

    def test_entry_that_stood_still_past_the_deadline_sends_nothing(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            dispatcher = stage.daemons["entry-1"].callers.dispatcher
            propose = dispatcher._propose

            async def propose_and_stand_still(command: Any) -> dict[str, Any]:
                granted = await propose(command)
                await asyncio.sleep(200)
                return granted

            dispatcher._propose = propose_and_stand_still
            answer = await stage.call("katalog", "once", "refund", key="k1")
            self.assertEqual(answer.fault.kind, kinds.ErrorKind.DEADLINE_EXPIRED)
            self.assertEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 0)

        self.play_long(scene)


if __name__ == "__main__":
    unittest.main()
