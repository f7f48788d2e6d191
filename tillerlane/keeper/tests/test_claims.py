"""Requests that must not be repeated run at most once, whatever fails."""

import asyncio
import unittest

from tillerlane.faults import kinds
from tillerlane.testing import lab, scenes


def count_runs(stage: lab.Lab) -> int:
    """Count the generations that the live engines have seen."""
    return sum(len(engine.sequences) for engine in stage.engines.values() if engine is not None)


class ClaimsTest(scenes.SceneCase):
    """Resent requests find the claim of the first one."""

    def play_three(self, scene: object) -> None:
        """Play with three keepers."""
        self.play(scene, keepers=3)  # type: ignore[arg-type]

    def test_resend_gets_the_stored_outcome(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            first = await stage.call("katalog", "once", "refund", key="k1")
            again = await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")
            self.check_whole(first)
            self.check_whole(again)
            self.assertEqual(first.texts, again.texts)
            self.assertEqual(count_runs(stage), 1)

        self.play_three(scene)

    def test_second_arrival_joins_the_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
            await asyncio.sleep(0.5)
            again = await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")
            await task
            self.check_whole(answer)
            self.assertEqual(answer.texts, again.texts)
            self.assertEqual(count_runs(stage), 1)

        self.play_three(scene)

    def test_concurrent_arrivals_run_once(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            calls = [
                stage.call("katalog", "once", "refund", key="k1", entry=f"entry-{1 + n % 2}")
                for n in range(6)
            ]
            answers = await asyncio.gather(*calls)
            for answer in answers:
                self.check_whole(answer)
            self.assertEqual(count_runs(stage), 1)

        self.play_three(scene)

    def test_resend_joins_after_the_entry_dies(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_claimed_call(stage)
            task.cancel()
            await stage.kill("entry-1")
            again = await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")
            self.check_whole(again)
            self.assertEqual(again.generation_ids, answer.generation_ids)
            self.assertEqual(count_runs(stage), 1)

        self.play_three(scene)

    async def start_claimed_call(
        self, stage: lab.Lab
    ) -> tuple[lab.Answer, "asyncio.Task[lab.Answer]"]:
        """Start a claimed call, and wait until its first tokens have arrived."""
        answer, task = stage.begin_call("katalog", "once", "refund", key="k1")
        while not answer.texts:
            await asyncio.sleep(0.02)
        return answer, task

    def test_nothing_runs_again_after_the_runner_dies(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_claimed_call(stage)
            stage.kill_engine(answer.generation_ids[0].split("~")[0])
            await task
            self.assertIn(answer.fault.ran, (kinds.Ran.YES, kinds.Ran.UNKNOWN))
            again = await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")
            self.assertEqual(again.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 0)

        self.play_three(scene)

    def test_nothing_runs_elsewhere_after_the_runner_dies_before_the_first_token(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for engine in stage.engines.values():
                engine.stalled = True
            _, task = stage.begin_call("katalog", "once", "refund", key="k1")
            await asyncio.sleep(0.5)
            victim = next(name for name, item in stage.engines.items() if item.sequences)
            stage.kill_engine(victim)
            answer = await task
            self.assertNotEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 0)

        self.play_three(scene)

    def test_agent_and_runner_die_with_the_entry(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_claimed_call(stage)
            task.cancel()
            await stage.kill("entry-1")
            await stage.kill(stage.find_agent(answer.generation_ids[0]))
            again = await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")
            self.assertEqual(again.fault.kind, kinds.ErrorKind.OUTCOME_UNKNOWN)
            self.assertEqual(count_runs(stage), 1)

        self.play_three(scene)

    def test_leader_dies_during_the_run(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            answer, task = await self.start_claimed_call(stage)
            leader = next(
                name
                for name in stage.list_role("keeper")
                if stage.daemons[name].keeper.replica.has_lease
            )
            await stage.kill(leader)
            await task
            self.check_whole(answer)
            again = await stage.call("katalog", "once", "refund", key="k1", entry="entry-2")
            self.check_whole(again)
            self.assertEqual(count_runs(stage), 1)

        self.play_three(scene)

    def test_nothing_runs_without_a_quorum(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            await stage.kill("keeper-1")
            await stage.kill("keeper-2")
            answer = await stage.call("katalog", "once", "refund", key="k1")
            self.assertEqual(answer.fault.kind, kinds.ErrorKind.NO_QUORUM)
            self.assertEqual(answer.fault.ran, kinds.Ran.NO)
            self.assertEqual(count_runs(stage), 0)
            self.check_whole(await stage.call("katalog", "record", "repeatable requests run"))

        self.play_three(scene)

    def test_caller_can_retry_once_the_quorum_is_back(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            await stage.kill("keeper-1")
            await stage.kill("keeper-2")
            await stage.call("katalog", "once", "refund", key="k1")
            await stage.start_daemon("keeper-1")
            await asyncio.sleep(12)
            self.check_whole(await stage.call("katalog", "once", "refund", key="k1"))

        self.play_three(scene)

    def test_key_of_another_request_is_refused(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            await stage.call("katalog", "once", "refund", key="k1")
            other = await stage.call("katalog", "once", "another", key="k1")
            self.assertEqual(other.fault.kind, kinds.ErrorKind.KEY_REUSED)
            mine = await stage.call("butikk", "once", "another", key="k1")
            self.check_whole(mine)

        self.play_three(scene)

    def test_leaving_target_moves_the_claim(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            for engine in stage.engines.values():
                engine.stalled = True
            calls = [
                stage.begin_call("katalog", "once", f"refund {n}", key=f"k{n}")[1]
                for n in range(90)
            ]
            await asyncio.sleep(1.0)
            for engine in stage.engines.values():
                engine.stalled = False
            stage.daemons["agent-hall-a"].agent.leave("test")
            for answer in await asyncio.gather(*calls):
                self.check_whole(answer)
            self.assertEqual(count_runs(stage), 90)

        self.play_three(scene)


if __name__ == "__main__":
    unittest.main()
