"""What an entry finds out about targets that break off answers, and which attempts are the same."""

import asyncio
import unittest
import unittest.mock

from tillerlane.gateway import directory as directories
from tillerlane.gateway import fingerprints, http_client, http_head
from tillerlane.testing import gateway_lab, gateway_scenes


def build_head(
    target: bytes = b"/verdict/x?q=1", method: bytes = b"POST", host: bytes = b"shop.example"
) -> http_head.RequestHead:
    """Head of a caller's request."""
    return http_head.RequestHead(method, target, [(b"Host", host), (b"Request-Id", b"r1")])


class FingerprintTest(unittest.TestCase):
    """Attempts of the same request have one fingerprint, others have another."""

    def test_attempts_id_deadline_and_spelling_of_the_host_make_no_difference(self) -> None:
        again = http_head.RequestHead(
            b"POST",
            b"/verdict/x?q=1",
            [(b"request-id", b"r2"), (b"deadline-ms", b"9"), (b"HOST", b"Shop.Example")],
        )
        first = fingerprints.compute(build_head(), b"body", "workspace-a")
        self.assertEqual(fingerprints.compute(again, b"body", "workspace-a"), first)

    def test_each_other_part_makes_a_difference(self) -> None:
        found = {
            fingerprints.compute(build_head(), b"body", "a"),
            fingerprints.compute(build_head(), b"other", "a"),
            fingerprints.compute(build_head(), b"body", "b"),
            fingerprints.compute(build_head(), b"body", ""),
            fingerprints.compute(build_head(b"/verdict/y?q=1"), b"body", "a"),
            fingerprints.compute(build_head(b"/verdict/x?q=2"), b"body", "a"),
            fingerprints.compute(build_head(method=b"PUT"), b"body", "a"),
            fingerprints.compute(build_head(host=b"till.example"), b"body", "a"),
        }
        self.assertEqual(len(found), 8)

    def test_parts_do_not_run_into_each_other(self) -> None:
        first = fingerprints.compute(build_head(b"/x"), b"", "ab")
        second = fingerprints.compute(build_head(b"/xa"), b"", "b")
        third = fingerprints.compute(build_head(b"/x"), b"b", "a")
        self.assertEqual(len({first, second, third}), 3)


class ReachTest(gateway_scenes.GatewayCase):
    """What a new connection finds after an answer was broken off."""

    async def call_broken(self, stage: gateway_lab.GatewayLab, route: str) -> list[str]:
        """Send a request whose answer breaks off; what was found each time."""
        await stage.call("entry-1", route, "r1")
        lines = stage.entries["entry-1"].timeline.read()
        return [line.fields["reach"] for line in lines if line.name == "target.broke_off"]

    def test_target_that_ended(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=20)
            await asyncio.sleep(0.2)
            asyncio.get_running_loop().call_later(0.2, runner.crash)
            self.assertEqual(await self.call_broken(stage, "record"), ["refused"])

        self.play(scene)

    def test_target_that_ended_before_the_head_of_its_answer(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app", pace=0.3)
            await asyncio.sleep(0.2)
            asyncio.get_running_loop().call_later(0.2, runner.crash)
            self.assertEqual(await self.call_broken(stage, "order"), ["refused"])

        self.play(scene)

    def test_sound_target_that_loses_an_answer(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "app")
            await asyncio.sleep(0.2)
            runner.loses_answer = True
            self.assertEqual(await self.call_broken(stage, "order"), ["open"])

        self.play(scene)

    def test_target_that_answers_no_probe_delays_the_next_send_little(self) -> None:
        """Callers of plain requests have a tenth of a second; a refusal needs a round trip."""

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runners = [await stage.add_runner(f"t{n}", "app", pace=0.0) for n in (1, 2)]
            await asyncio.sleep(0.2)
            connect = http_client.connect

            async def connect_again(address: str, seconds: float) -> http_client.Exchange:
                if any(runner.ran and runner.address == address for runner in runners):
                    await asyncio.sleep(seconds)
                    raise http_client.ExchangeError("no answer", sent=False)
                return await connect(address, seconds)

            for runner in runners:
                runner.loses_answer = True
            with unittest.mock.patch.object(http_client, "connect", connect_again):
                answer = await stage.call("entry-1", "price", "r1")
            self.assertEqual(sum(len(runner.ran) for runner in runners), 2)
            self.assertLess(answer.seconds, 0.15)

        self.play(scene)

    def test_target_that_leaves_is_not_asked_after(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            runner = await stage.add_runner("t1", "llm", length=60)
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, lambda: stage.beat("t1", "llm", phase=directories.Phase.DRAINING))
            loop.call_later(0.8, runner.crash)
            self.assertEqual(await self.call_broken(stage, "record"), [])

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
