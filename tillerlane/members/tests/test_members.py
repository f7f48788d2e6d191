"""Membership: merged views, the platform's list, and daemons without fresh records."""

import asyncio
import json
import pathlib
import tempfile
import unittest
from unittest import mock

from hypothesis import given, strategies

from tillerlane.members import platform
from tillerlane.members import view as views
from tillerlane.peers import messages
from tillerlane.testing import lab, profiles, scenes


def build_member(incarnation: int, sequence: int, leaving: bool = False) -> messages.Member:
    """Return a daemon's own record."""
    return messages.Member(
        "a", incarnation, sequence, "10.0.0.1:1", "10.0.0.1:2", "hall", ["agent"], ["t"], leaving
    )


class ViewTest(unittest.TestCase):
    """Merging of records."""

    @profiles.choose(100)
    @given(strategies.permutations([(1, 1), (1, 2), (1, 7), (2, 1), (2, 3)]))
    def test_latest_record_wins_in_any_order(self, order: list[tuple[int, int]]) -> None:
        view = views.MemberView()
        for incarnation, sequence in [*order, *order]:
            view.merge([build_member(incarnation, sequence)], 0.0)
        latest = view.find("a")
        self.assertEqual((latest.incarnation, latest.sequence), (2, 3))

    def test_suspect_expires_and_its_next_record_revives_it(self) -> None:
        view = views.MemberView()
        view.merge([build_member(1, 1)], 0.0)
        view.suspect("a", 1.0)
        self.assertEqual(len(view.list_live()), 1)
        view.expire_suspects(3.0)
        self.assertEqual(view.list_live(), [])
        view.merge([build_member(1, 2)], 4.0)
        self.assertEqual(view.find("a").state, views.LIVE)

    def test_platform_can_only_mark_as_leaving(self) -> None:
        view = views.MemberView()
        view.merge([build_member(1, 1)], 0.0)
        view.set_platform_leaving(["a", "unknown"])
        self.assertTrue(view.find("a").leaving)
        view.set_platform_leaving([])
        self.assertFalse(view.find("a").leaving)

    def test_parse_list(self) -> None:
        text = json.dumps({"hosts": {"a": "leaving", "b": "live", "c": "odd"}})
        self.assertEqual(platform.parse_list(text), {"a"})
        for bad in ("", "[]", '{"hosts": 3}', "{"):
            with self.assertRaises(ValueError):
                platform.parse_list(bad)

    def test_unreadable_list_is_reported_once(self) -> None:
        """Guards against a list that stays unreadable for hours without a log line."""

        async def run() -> list[str]:
            reasons: list[str] = []
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "hosts.json"
                polling = asyncio.create_task(
                    platform.poll_list(
                        str(path), views.MemberView(), lambda names: None, reasons.append
                    )
                )
                async with asyncio.timeout(10.0):
                    while not reasons:
                        await asyncio.sleep(0.05)
                    path.write_text('{"hosts": {}}')
                    while len(reasons) < 2:
                        await asyncio.sleep(0.05)
                polling.cancel()
                return reasons

        with mock.patch.object(platform, "POLL_INTERVAL_SECONDS", 0.01):
            missing, readable = asyncio.run(run())
        self.assertIn("FileNotFoundError", missing)
        self.assertEqual(readable, "")

    def test_list_without_end_is_cut(self) -> None:
        """Guards against a list over HTTP that takes all memory."""
        written = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            try:
                while written < 16 * platform.MAX_LIST_BYTES:
                    writer.write(b"x" * 65_536)
                    written += 65_536
                    await writer.drain()
            except ConnectionError:
                pass
            writer.close()

        async def run() -> str:
            reasons: asyncio.Queue[str] = asyncio.Queue()
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            polling = asyncio.create_task(
                platform.poll_list(
                    f"http://127.0.0.1:{port}/",
                    views.MemberView(),
                    lambda names: None,
                    reasons.put_nowait,
                )
            )
            async with asyncio.timeout(10.0):
                reason = await reasons.get()
            polling.cancel()
            server.close()
            return reason

        self.assertIn("host list larger", asyncio.run(run()))
        self.assertLess(written, 8 * platform.MAX_LIST_BYTES)


class FleetTest(scenes.SceneCase):
    """In a running fleet."""

    def test_platform_list_drains_a_host_and_invalid_list_is_ignored(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "hosts.json"
            path.write_text("truncated {")

            async def scene(stage: lab.Lab) -> None:
                await stage.call("katalog", "ping", "a truncated list changes nothing")
                await asyncio.to_thread(path.write_text, '{"hosts": {"agent-hall-a": "leaving"}}')
                await asyncio.sleep(2)
                before = len(stage.engines["r1"].sequences)
                for number in range(8):
                    self.check_whole(await stage.call("katalog", "ping", f"n {number}"))
                self.assertEqual(len(stage.engines["r1"].sequences), before)
                await asyncio.to_thread(path.write_text, '{"hosts": {}}')
                await asyncio.sleep(2)
                for number in range(12):
                    self.check_whole(await stage.call("katalog", "ping", f"m {number}"))
                self.assertGreater(len(stage.engines["r1"].sequences), before)

            self.play(scene, entry_settings={"platform_list": str(path)})

    def test_stale_entry_serves_on_or_becomes_unready(self) -> None:
        for action, ready in (("serve", True), ("unready", False)):
            with self.subTest(action=action):

                async def scene(stage: lab.Lab, ready: bool = ready) -> None:
                    entry = stage.daemons["entry-1"]
                    self.assertTrue(entry.is_ready)
                    await stage.kill("keeper-1")
                    await asyncio.sleep(8)
                    self.assertEqual(entry.is_ready, ready)
                    self.check_whole(await stage.call("katalog", "record", "still served"))
                    await stage.start_daemon("keeper-1")
                    await asyncio.sleep(4)
                    self.assertTrue(entry.is_ready)

                own = {"stale_action": action, "stale_seconds": 5}
                self.play(scene, entry_settings=own)

    def test_flooding_workspace_barely_delays_others(self) -> None:
        async def scene(stage: lab.Lab) -> None:
            flood = [stage.begin_call("katalog", "record", f"flood {n}")[1] for n in range(200)]
            await asyncio.sleep(1)
            calm = [await stage.call("butikk", "record", f"calm {n}") for n in range(3)]
            for answer in calm:
                self.check_whole(answer)
                self.assertLess(answer.times[0] - answer.sent_at, 10)
            for task in flood:
                task.cancel()

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
