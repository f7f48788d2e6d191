"""A keeper's copy of stream origins on disk survives kills, and never stops a keeper."""

import asyncio
import errno
import random
import unittest
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

from tillerlane.gateway.origins import origin_file, registry, table
from tillerlane.testing import lab, memory_disk

RETENTION_SECONDS = 39.0


class Log:
    """Names of the events of a log."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def record(self, name: str, **fields: object) -> None:
        """Keep an event's name."""
        self.names.append(name)


class Keeper:
    """The part of a keeper that holds origins, on a disk that outlives it."""

    def __init__(self, disk: memory_disk.MemoryDisk) -> None:
        self.log: Any = Log()
        loop = asyncio.get_running_loop()
        self.registry = registry.OriginRegistry(list, lambda: 1, loop.time)
        self.file = origin_file.OriginFile(
            disk.as_disk(), lab.run_directly, self.registry.table, loop.time, self.log
        )
        self.registry.on_records = lambda records, is_urgent: self.file.add(
            records, is_urgent=is_urgent
        )
        self.file.load()
        self.task = loop.create_task(self.file.run())

    def report(self, keys: range, version: str = "v1", attempt: int = 1) -> None:
        """Handle an entry's report."""
        expires_at = asyncio.get_running_loop().time() + RETENTION_SECONDS
        origin = table.Origin("llm", version, attempt, expires_at)
        for message in table.encode_origins([(key, origin) for key in keys]):
            self.registry.handle_message(message)

    def find_version(self, key: int) -> str | None:
        """The version of a stream."""
        origin = self.registry.table.find(key)
        return origin.software_version if origin is not None else None

    async def lose_power(self, disk: memory_disk.MemoryDisk, *, torn: bool = False) -> "Keeper":
        """Kill this keeper; returns the one that is started from its disk."""
        self.task.cancel()
        await asyncio.sleep(0)
        disk.crash(torn=torn)
        return Keeper(disk)


class OriginFileTest(unittest.TestCase):
    """One keeper, in virtual time."""

    def setUp(self) -> None:
        self.disk = memory_disk.MemoryDisk(random.Random(1))

    def play(self, scene: Callable[[Keeper], Awaitable[None]]) -> None:
        """Run a scene with a keeper on an empty disk."""

        async def run() -> None:
            await scene(Keeper(self.disk))

        lab.run_virtual(run())

    def test_streams_older_than_a_second_are_lost_with_power(self) -> None:
        async def scene(keeper: Keeper) -> None:
            for start in range(0, 50, 10):
                keeper.report(range(start, start + 10))
                await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
            keeper.report(range(90, 91))
            for _ in range(2):
                keeper = await keeper.lose_power(self.disk, torn=True)
                self.assertEqual({keeper.find_version(key) for key in range(50)}, {"v1"})
                self.assertIsNone(keeper.find_version(90))
                await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
                self.assertEqual(keeper.log.names, [])

        self.play(scene)

    def test_retry_at_another_version_is_lost_with_power(self) -> None:
        async def scene(keeper: Keeper) -> None:
            keeper.report(range(1))
            await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
            keeper.report(range(1), "v2", attempt=2)
            await asyncio.sleep(0.01)
            keeper = await keeper.lose_power(self.disk)
            self.assertEqual(keeper.find_version(0), "v2")

        self.play(scene)

    def test_file_cut_at_any_byte_stops_a_keeper(self) -> None:
        async def scene(keeper: Keeper) -> None:
            for key in range(3):
                keeper.report(range(key, key + 1))
                await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
            whole = bytes(self.disk.files[origin_file.NAME])
            known = []
            for size in range(len(whole) + 1):
                self.disk.files[origin_file.NAME] = bytearray(whole[:size])
                keeper = Keeper(self.disk)
                keeper.task.cancel()
                known.append(len(keeper.registry.table))
            self.assertEqual(known, sorted(known))
            self.assertEqual(set(known), {0, 1, 2, 3})

        self.play(scene)

    def test_file_of_another_format_stops_a_keeper(self) -> None:
        async def scene(keeper: Keeper) -> None:
            payload = b"\x80"
            frame = origin_file._HEADER.pack(1, zlib.crc32(payload)) + payload
            for data in (b"x" * 50, origin_file.MAGIC + frame):
                self.disk.files[origin_file.NAME] = bytearray(data)
                self.assertEqual(Keeper(self.disk).log.names, ["origins.damaged"])

        self.play(scene)

    def test_streams_reported_before_a_full_disk_has_room_are_never_written(self) -> None:
        async def scene(keeper: Keeper) -> None:
            self.disk.errno_on_write = errno.ENOSPC
            for key in range(3):
                keeper.report(range(key, key + 1))
                await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
            self.assertEqual(keeper.log.names, ["origins.unsaved"])
            self.disk.errno_on_write = None
            await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
            keeper = await keeper.lose_power(self.disk)
            self.assertEqual(len(keeper.registry.table), 3)

        self.play(scene)

    def test_file_grows_without_bound(self) -> None:
        async def scene(keeper: Keeper) -> None:
            sizes = []
            for start in range(0, 300_000, 1_000):
                keeper.report(range(start, start + 1_000))
                await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS)
                sizes.append(len(self.disk.files.get(origin_file.NAME, b"")))
            # 39 s of 1,000 records a second, of 20 bytes at most, twice and the last second's.
            self.assertLess(max(sizes), 2 * 40 * 20_000 + 20_000)
            keeper = await keeper.lose_power(self.disk)
            self.assertLess(len(keeper.registry.table), 41_000)

        self.play(scene)

    def test_records_that_come_over_several_paths_are_written_each_time(self) -> None:
        async def scene(keeper: Keeper) -> None:
            keeper.report(range(100))
            await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
            size = len(self.disk.files[origin_file.NAME])
            for _ in range(5):
                records = keeper.registry.table.list_all()
                keeper.registry.handle_message(table.encode_origins(records)[0])
                await asyncio.sleep(origin_file.WRITE_INTERVAL_SECONDS + 0.1)
            self.assertEqual(len(self.disk.files[origin_file.NAME]), size)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
