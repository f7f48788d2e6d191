"""When an entry reports the streams that it starts, and to which keepers."""

import asyncio
import types
import unittest
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.gateway.origins import recorder
from tillerlane.peers import messages
from tillerlane.testing import lab

LARGE_FLEET_ENTRIES = 400
STREAMS_PER_SECOND = 11.5
"""Streams of one entry at the size of ``docs/design/software-versions.md``."""


class Link:
    """A link to a keeper that keeps what it is sent."""

    def __init__(self) -> None:
        self.reports: list[messages.StreamOrigins] = []

    def send(self, body: messages.StreamOrigins) -> None:
        """Keep a report."""
        self.reports.append(body)


def build_target(name: str, version: str) -> directories.Target:
    """A target of a version."""
    phase = directories.Phase.READY
    return directories.Target(
        name, "llm", f"{name}:1", "hall-a", 48, phase, 1, 0.0, software_version=version
    )


def build_admission(request_id: str, deadline: float) -> Any:
    """What the recorder reads of a request for a resumable stream."""
    return types.SimpleNamespace(
        is_stream=True,
        route=types.SimpleNamespace(is_resumable=True),
        facts=types.SimpleNamespace(resumes="", last_event_id="", request_id=request_id),
        workspace_name="w",
        caller_deadline=deadline,
    )


class RecorderTest(unittest.TestCase):
    """One entry with two home keepers, in virtual time."""

    def play(self, scene: Any) -> None:
        """Run a scene with a recorder of a fleet, the recorder's directory and its links."""

        async def run() -> None:
            directory = directories.Directory()
            homes: list[Any] = [Link(), Link()]
            loop = asyncio.get_running_loop()
            origins = recorder.OriginRecorder(directory, lambda: homes, loop.time)
            directory.add_listener(lambda target, former: origins.handle_target_change(target))
            for link in homes:
                origins.handle_keeper(link)
            self.first = build_target("t1", "v1")
            directory.merge(self.first)
            await scene(origins, directory, homes)

        lab.run_virtual(run())

    async def start_streams(self, origins: recorder.OriginRecorder, seconds: float) -> int:
        """Start streams evenly; returns how many."""
        loop = asyncio.get_running_loop()
        number = int(seconds * STREAMS_PER_SECOND)
        for _ in range(number):
            name = f"r{loop.time()}"
            origins.record(build_admission(name, loop.time() + 39.0), self.first)
            await asyncio.sleep(1 / STREAMS_PER_SECOND)
        return number

    def test_streams_of_the_only_version_are_reported_as_often_as_those_of_several(self) -> None:
        async def scene(
            origins: recorder.OriginRecorder, directory: directories.Directory, homes: list[Link]
        ) -> None:
            origins.set_entry_count(LARGE_FLEET_ENTRIES)
            seconds = 60.0
            started = await self.start_streams(origins, seconds)
            await asyncio.sleep(recorder.MAX_INTERVAL_SECONDS * 10)
            self.assertEqual(sum(len(report.keys) for report in homes[0].reports), started)
            self.assertEqual(homes[1].reports, [])
            interval = recorder.MAX_INTERVAL_SECONDS * recorder.ONE_VERSION_INTERVAL_FACTOR
            self.assertLessEqual(len(homes[0].reports), seconds / interval + 2)
            directory.merge(build_target("t2", "v2"))
            alive = len(origins.table.list_all())
            for link in homes:
                self.assertEqual(len(link.reports[-1].keys), alive)
            before = len(homes[1].reports)
            await self.start_streams(origins, 10.0)
            self.assertGreaterEqual(len(homes[1].reports) - before, 18)

        self.play(scene)

    def test_retry_at_another_version_is_reported_late(self) -> None:
        async def scene(
            origins: recorder.OriginRecorder, directory: directories.Directory, homes: list[Link]
        ) -> None:
            second = build_target("t2", "v2")
            directory.merge(second)
            origins.set_entry_count(LARGE_FLEET_ENTRIES)
            await self.start_streams(origins, 1.0)
            origins.record(build_admission("r", 99.0), self.first)
            origins.record(build_admission("r", 99.0), second)
            for link in homes:
                self.assertIn("v2", link.reports[-1].software_versions)

        self.play(scene)

    def test_streams_of_a_small_fleet_are_reported_late(self) -> None:
        async def scene(
            origins: recorder.OriginRecorder, directory: directories.Directory, homes: list[Link]
        ) -> None:
            origins.set_entry_count(4)
            started = await self.start_streams(origins, 10.0)
            for link in homes:
                self.assertEqual(sum(len(report.keys) for report in link.reports), started)

        self.play(scene)

    def test_keeper_on_a_new_link_gets_no_streams_of_the_only_version(self) -> None:
        async def scene(
            origins: recorder.OriginRecorder, directory: directories.Directory, homes: list[Link]
        ) -> None:
            started = await self.start_streams(origins, 2.0)
            new: Any = Link()
            origins.handle_keeper(new)
            self.assertEqual([len(report.keys) for report in new.reports], [started])

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
