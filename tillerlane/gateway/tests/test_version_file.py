"""A keeper's file of versions survives kills, and never stops a keeper."""

import asyncio
import errno
import random
import unittest
import zlib
from typing import Any

from tillerlane.gateway import directory as directories
from tillerlane.gateway import version_file
from tillerlane.keeper import disk as disks
from tillerlane.testing import gateway_lab, gateway_scenes, lab, memory_disk

VERSIONS = frozenset({("llm", "v1"), ("llm", "v2"), ("app", "")})


class Log:
    """Events of a log."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def record(self, name: str, **fields: object) -> None:
        """Keep an event's name."""
        self.names.append(name)


class VersionFileTest(unittest.TestCase):
    """The file on a disk in memory."""

    def setUp(self) -> None:
        self.disk = memory_disk.MemoryDisk(random.Random(1))
        self.log: Any = Log()

    def open(self) -> version_file.VersionFile:
        """Open the file as a keeper does that starts."""
        return version_file.VersionFile(self.disk.as_disk(), lab.run_directly, self.log)

    def save(self, versions: frozenset[tuple[str, str]]) -> None:
        """Save versions, and wait until they are written or have failed."""

        async def run() -> None:
            self.open().save(versions)
            await asyncio.sleep(0.1)

        lab.run_virtual(run())

    def test_versions_are_lost_in_a_crash(self) -> None:
        self.assertEqual(self.open().load(), frozenset())
        self.save(VERSIONS)
        self.disk.crash(torn=True)
        self.assertEqual(self.open().load(), VERSIONS)
        self.assertEqual(self.log.names, [])

    def test_file_cut_at_any_byte_stops_a_keeper(self) -> None:
        self.save(VERSIONS)
        whole = bytes(self.disk.files[version_file.NAME])
        for size in range(len(whole)):
            self.disk.files[version_file.NAME] = bytearray(whole[:size])
            self.assertEqual(self.open().load(), frozenset())
        self.assertEqual(self.log.names, ["versions.damaged"] * len(whole))

    def test_file_of_another_format_stops_a_keeper(self) -> None:
        for payload in (b"{}", b'[["llm"]]', b"[[1,2]]", b"\xff"):
            checksum = zlib.crc32(payload).to_bytes(4)
            self.disk.files[version_file.NAME] = bytearray(checksum + payload)
            self.assertEqual(self.open().load(), frozenset())

    def test_versions_stay_unsaved_after_a_full_disk(self) -> None:
        async def run() -> None:
            file = self.open()
            self.disk.errno_on_write = errno.ENOSPC
            for _ in range(3):
                file.save(VERSIONS)
                await asyncio.sleep(0.5)
            self.assertEqual(self.log.names, ["versions.unsaved"])
            self.disk.errno_on_write = None
            file.save(VERSIONS)
            await asyncio.sleep(0.5)
            self.assertEqual(self.open().load(), VERSIONS)

        lab.run_virtual(run())

    def test_version_that_appears_during_a_write_is_not_saved(self) -> None:
        async def run() -> None:
            file = self.open()
            file.save(frozenset({("llm", "v1")}))
            await asyncio.sleep(0.001)
            file.save(VERSIONS)
            await asyncio.sleep(0.1)
            self.assertEqual(self.open().load(), VERSIONS)

        lab.run_virtual(run())

    def test_file_is_written_again_without_a_change(self) -> None:
        writes = []

        def replace(name: str, data: bytes) -> None:
            writes.append(name)

        async def run() -> None:
            plain = self.disk.as_disk()
            disk = disks.Disk(*([plain.list_names, plain.read, replace] + [plain.remove] * 4))
            file = version_file.VersionFile(disk, lab.run_directly, self.log)
            for _ in range(5):
                file.save(VERSIONS)
                await asyncio.sleep(0.1)

        lab.run_virtual(run())
        self.assertEqual(writes, [version_file.NAME])

    def test_file_grows_without_bound(self) -> None:
        many = frozenset(("llm", f"v{number}" * 20) for number in range(2_000))
        self.save(many | {("llm", "v" * 100_000), ("llm", "v1")})
        self.assertLessEqual(len(self.disk.files[version_file.NAME]), version_file.MAX_BYTES)
        loaded = self.open().load()
        self.assertIn(("llm", "v1"), loaded)
        self.assertGreater(len(loaded), 500)


class KeeperTest(gateway_scenes.GatewayCase):
    """The file of a keeper's versions over the keeper's life."""

    def test_version_of_long_ago_counts_as_recent_after_a_restart(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            await stage.add_runner("t1", "llm", software_version="v1")
            await stage.add_runner("t2", "llm", software_version="v2")
            stage.beat("t1", "llm", phase=directories.Phase.GONE)
            for _ in range(int(directories.RETENTION_SECONDS) + 2):
                stage.beat("t2", "llm")
                await asyncio.sleep(1.0)
            await stage.lose_power([])
            for name, keeper in stage.keepers.items():
                versions = keeper.directory.list_software_versions("llm")
                self.assertEqual((name, versions), (name, {"v2"}))

        self.play(scene)

    def test_keeper_with_a_full_disk_withholds_a_new_version(self) -> None:
        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for disk in stage.disks.values():
                disk.errno_on_write = errno.ENOSPC
            await stage.add_runner("t1", "llm", software_version="v1")
            await asyncio.sleep(0.3)
            self.assertEqual(len(stage.entries["entry-1"].directory.list_pool("llm")), 1)
            for keeper in stage.keepers.values():
                self.assertFalse(keeper.has_failed)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
