"""Targets that start again under their id, and words that name no target to use."""

import asyncio
import json
from typing import Any

from hypothesis import given, strategies

from tillerlane.gateway import http_client, http_head
from tillerlane.platform import control_api
from tillerlane.testing import gateway_lab, gateway_scenes, platform_runner, profiles

CONTROL = ":8300"
FIRST_BORN = 1_790_000_000_000
"""Unix milliseconds of a target's first start; later starts are some seconds after it."""


async def open_control(stage: gateway_lab.GatewayLab) -> None:
    """Have every keeper listen to targets."""
    for name, daemon in stage.keepers.items():
        host = stage.get_address(name).partition(":")[0]
        await control_api.build_server(daemon).listen(host + CONTROL)


async def post(stage: gateway_lab.GatewayLab, keeper: str, path: str, body: bytes = b"") -> int:
    """Call a keeper as a target does; gives the status."""
    host = stage.get_address(keeper).partition(":")[0]
    exchange = await http_client.connect(host + CONTROL, 1.0)
    exchange.send(http_head.RequestHead(b"POST", path.encode(), [(b"Host", b"h")]), body)
    head = await exchange.read_head()
    await exchange.read_body(10_000)
    exchange.abort()
    return head.status


def build_word(address: str, seq: int, *, born: Any = None, **changes: Any) -> dict[str, Any]:
    """A heartbeat's body; a ``born`` of None leaves the field out, as older targets do."""
    word = {
        "service": "app",
        "addr": address,
        "zone": "hall-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": seq,
    }
    return {**word, **({} if born is None else {"born": born}), **changes}


class RebornCase(gateway_scenes.GatewayCase):
    """One target that starts again; base of the tests."""

    async def begin(self, stage: gateway_lab.GatewayLab, pool: str = "app", **more: Any) -> None:
        """Have a target tell of itself for the first time."""
        await open_control(stage)
        self.former = platform_runner.PlatformRunner("t1", "10.0.9.1:9000", {}, **more)
        await self.former.start()
        await self.tell(stage, self.former, 900, FIRST_BORN, service=pool)
        await asyncio.sleep(0.5)

    async def start_again(
        self, stage: gateway_lab.GatewayLab, pool: str = "app", **more: Any
    ) -> None:
        """Start the target under its id, at another address, and have it tell so."""
        self.present = platform_runner.PlatformRunner("t1", "10.0.9.2:9000", {}, **more)
        await self.present.start()
        await self.tell(stage, self.present, 1, FIRST_BORN + 5_000, service=pool)

    async def tell(
        self,
        stage: gateway_lab.GatewayLab,
        runner: platform_runner.PlatformRunner,
        seq: int,
        born: Any,
        keeper: str = "keeper-1",
        **changes: Any,
    ) -> int:
        """Send a heartbeat; gives the status."""
        word = build_word(runner.address, seq, born=born, **changes)
        return await post(stage, keeper, "/Instances.Heartbeat/t1", json.dumps(word).encode())

    async def check_present_serves(self, stage: gateway_lab.GatewayLab, request_id: str) -> None:
        """The present incarnation gets a request and answers it."""
        answer = await stage.call("entry-1", "order", request_id)
        self.assertEqual(answer.status, 200)
        self.assertIn(request_id, [item.request_id for item in self.present.ran])


class RebornTest(RebornCase):
    """Nothing that was believed of the former incarnation holds for the present one."""

    def test_target_that_crashed_at_a_high_count_is_used_at_its_new_address(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            self.former.crash()
            await self.start_again(stage)
            await asyncio.sleep(0.3)
            await self.check_present_serves(stage, "r1")

        self.play(scene)

    def test_target_that_drained_is_used_again(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            await self.tell(stage, self.former, 901, FIRST_BORN, state="draining")
            self.former.crash()
            await self.start_again(stage)
            await asyncio.sleep(0.3)
            await self.check_present_serves(stage, "r1")

        self.play(scene)

    def test_target_that_left_is_used_again(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            self.assertEqual(await post(stage, "keeper-1", "/Instances.Leave/t1"), 200)
            self.former.crash()
            await self.start_again(stage)
            await asyncio.sleep(0.3)
            await self.check_present_serves(stage, "r1")

        self.play(scene)

    def test_late_words_of_the_former_incarnation_change_nothing(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            self.former.crash()
            await self.start_again(stage)
            await asyncio.sleep(0.3)
            for number, keeper in enumerate(("keeper-2", "keeper-3", "keeper-1")):
                seq = 901 + number
                self.assertEqual(await self.tell(stage, self.former, seq, FIRST_BORN, keeper), 200)
                await self.tell(stage, self.former, seq, FIRST_BORN, keeper, state="draining")
            await post(
                stage, "keeper-2", "/Instances.Leave/t1", json.dumps({"born": FIRST_BORN}).encode()
            )
            await asyncio.sleep(0.3)
            await self.check_present_serves(stage, "r1")

        self.play(scene)

    def test_leave_without_a_start_is_that_of_the_present_incarnation(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            self.former.crash()
            await self.start_again(stage)
            await asyncio.sleep(0.3)
            await post(stage, "keeper-2", "/Instances.Leave/t1")
            await asyncio.sleep(0.3)
            answer = await stage.call("entry-1", "order", "r1", wait_ms=2_000)
            self.assertEqual(answer.status, 503)
            self.assertEqual(self.present.ran, [])

        self.play(scene)

    def test_target_that_tells_no_start_is_used_as_before(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            await self.tell(stage, self.former, 901, None)
            await asyncio.sleep(0.3)
            self.present = self.former
            await self.check_present_serves(stage, "r1")

        self.play(scene)


class UnderWayTest(RebornCase):
    """What runs on a former incarnation whose connections fall silent is over."""

    def test_stream_that_may_go_on_does_so_at_once(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage, "llm", length=40)
            asking = asyncio.create_task(
                stage.call("entry-1", "verdict", "r1", Token_Counts="100,10", Model="m")
            )
            await asyncio.sleep(0.3)
            self.former.pace = 1e6
            await self.tell(stage, self.former, 902, FIRST_BORN, service="llm")
            await asyncio.sleep(0.2)
            await self.start_again(stage, "llm", length=40)
            began = asyncio.get_running_loop().time()
            answer = await asking
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", 40))
            self.assertTrue(answer.is_whole)
            self.assertLess(asyncio.get_running_loop().time() - began, 2.0)

        self.play(scene)

    def test_stream_that_may_not_go_on_ends_and_does_not_look_whole(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage, "llm", length=40)
            asking = asyncio.create_task(
                stage.call("entry-1", "record", "r1", Token_Counts="100,10", Model="m")
            )
            await asyncio.sleep(0.3)
            self.former.pace = 1e6
            await self.tell(stage, self.former, 902, FIRST_BORN, service="llm")
            await asyncio.sleep(0.2)
            await self.start_again(stage, "llm", length=40)
            began = asyncio.get_running_loop().time()
            answer = await asking
            self.assertFalse(answer.is_whole)
            self.assertLess(asyncio.get_running_loop().time() - began, 0.5)
            self.assertEqual(self.present.ran, [])

        self.play(scene)

    def test_call_that_may_not_be_repeated_ends_without_a_promise(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            self.former.is_dark = True
            asking = asyncio.create_task(stage.call("entry-1", "order", "r1"))
            await asyncio.sleep(0.1)
            await self.tell(stage, self.former, 902, FIRST_BORN)
            await asyncio.sleep(0.2)
            await self.start_again(stage)
            began = asyncio.get_running_loop().time()
            answer = await asking
            self.assertNotIn(answer.status, (200, 408, 421, 429, 503))
            self.assertLess(asyncio.get_running_loop().time() - began, 0.5)
            self.assertEqual(self.present.ran, [])

        self.play(scene)

    def test_request_that_reached_the_present_incarnation_first_is_not_cut(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage, "llm", length=40)
            # At the same address: an entry that has not heard of the new start yet sends there.
            asking = asyncio.create_task(
                stage.call("entry-1", "record", "r1", Token_Counts="100,10", Model="m")
            )
            await asyncio.sleep(0.3)
            await self.tell(stage, self.former, 1, FIRST_BORN + 5_000, service="llm")
            answer = await asking
            self.assertEqual(answer.body, gateway_scenes.build_stream("r1", 40))

        self.play(scene)


BAD = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.floats(allow_nan=False),
    strategies.text(max_size=12),
    strategies.lists(strategies.integers(), max_size=3),
    strategies.dictionaries(strategies.text(max_size=3), strategies.integers(), max_size=2),
    strategies.integers(-(2**70), 2**70),
)
FIELDS = ("service", "addr", "zone", "slots", "state", "cold_left_ms", "seq", "born")


class OtherWriterTest(RebornCase):
    """Words with fields missing or of another type, and bytes that can't be read."""

    def read_known(self, stage: gateway_lab.GatewayLab) -> dict[str, list[Any]]:
        """What keepers and entries believe of all targets, but for times."""
        daemons = {**stage.keepers, **stage.entries}
        return {
            name: sorted(
                (item.target_id, item.pool, item.address, item.phase, item.sequence, item.slots)
                for item in daemon.directory.targets.values()
            )
            for name, daemon in daemons.items()
        }

    def test_named_faults(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            before = self.read_known(stage)
            good = build_word("10.0.9.1:9000", 950, born=FIRST_BORN)
            words = [
                *(
                    {key: value for key, value in good.items() if key != name}
                    for name in FIELDS[:5]
                ),
                {**good, "state": "resting"},
                {**good, "state": 3},
                {**good, "slots": "six"},
                {**good, "slots": 0},
                {**good, "seq": -1},
                {**good, "seq": 950.5},
                {**good, "born": "yesterday"},
                {**good, "born": -5},
                {**good, "addr": "nowhere"},
                {**good, "addr": "10.0.9.1:99999"},
                {**good, "addr": ["10.0.9.1", 9000]},
                {**good, "cold_left_ms": "long"},
                {**good, "zone": None},
                [good],
                "ready",
            ]
            bodies = [json.dumps(word).encode() for word in words]
            bodies += [b"", b"\xff\xfe\x00", b"{", b'{"service":']
            for body in bodies:
                status = await post(stage, "keeper-1", "/Instances.Heartbeat/t1", body)
                self.assertEqual(status, 400, body)
            for name in ("t%0d%0aX: y", "t%00", "%ff%fe", "t" * 2_000):
                status = await post(
                    stage, "keeper-1", f"/Instances.Heartbeat/{name}", json.dumps(good).encode()
                )
                self.assertEqual(status, 400, name[:20])
            await asyncio.sleep(0.3)
            self.assertEqual(self.read_known(stage), before)
            self.present = self.former
            await self.check_present_serves(stage, "r1")

        self.play(scene)

    def test_other_service_under_a_targets_id_changes_nothing(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            before = self.read_known(stage)
            for service in ("nobody", "llm"):
                status = await self.tell(
                    stage, self.former, 1, FIRST_BORN + 9_000, "keeper-2", service=service
                )
                self.assertEqual(status, 400)
            await asyncio.sleep(0.3)
            self.assertEqual(self.read_known(stage), before)
            self.present = self.former
            await self.check_present_serves(stage, "r1")

        self.play(scene)

    @profiles.choose(8)
    @given(strategies.lists(strategies.tuples(strategies.sampled_from(FIELDS), BAD), min_size=25))
    def test_mutated_words_lose_no_other_target(self, changes: list[tuple[str, Any]]) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await self.begin(stage)
            good = build_word("10.0.9.1:9000", 950, born=FIRST_BORN)
            for number, (field, value) in enumerate(changes):
                body = json.dumps({**good, field: value}).encode()
                name = f"other-{number}"
                status = await post(stage, "keeper-1", f"/Instances.Heartbeat/{name}", body)
                self.assertIn(status, (200, 400), body)
            await asyncio.sleep(0.3)
            for known in self.read_known(stage).values():
                self.assertIn("10.0.9.1:9000", [row[2] for row in known])
            for daemon in [*stage.keepers.values(), *stage.entries.values()]:
                errors = [item for item in daemon.timeline.read() if item.name == "internal.error"]
                self.assertEqual(errors, [])

        self.play(scene)
