"""Disk faults, and how the keeper's storage handles them."""

import errno
import unittest

from structlog import testing

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import storage as storages
from tillerlane.peers import messages
from tillerlane.testing import memory_disk


def build_entry(index: int, term: int = 1) -> messages.LogEntry:
    """Build an entry whose command names its index."""
    return messages.LogEntry(term, index, f"command {index}".encode())


class StorageTest(unittest.TestCase):
    """Torn records, damage, full disks, directories of other keepers, snapshots."""

    def setUp(self) -> None:
        self.disk = memory_disk.MemoryDisk()
        self.storage = self.open()

    def open(self, keeper: str = "keeper-1") -> storages.Storage:
        return storages.Storage(self.disk.as_disk(), keeper)

    def check_refused(self, keeper: str = "keeper-1") -> str:
        with self.assertRaises(faults.FaultError) as raised:
            self.open(keeper)
        self.assertEqual(raised.exception.fault.kind, kinds.ErrorKind.DISK_FAILED)
        return raised.exception.fault.message

    def test_appended_entries_and_vote_survive_a_crash(self) -> None:
        self.storage.append([build_entry(1), build_entry(2)])
        self.storage.save_vote(7, "keeper-3")
        self.disk.crash()
        reopened = self.open()
        self.assertEqual(reopened.entries, [build_entry(1), build_entry(2)])
        self.assertEqual((reopened.term, reopened.voted_for), (7, "keeper-3"))
        self.assertEqual(reopened.disk_id, self.storage.disk_id)

    def test_conflicting_entries_are_dropped(self) -> None:
        self.storage.append([build_entry(1), build_entry(2), build_entry(3)])
        self.storage.append([build_entry(2, term=2)])
        self.assertEqual(self.open().entries, [build_entry(1), build_entry(2, term=2)])

    def test_every_torn_record_is_truncated(self) -> None:
        self.storage.append([build_entry(1), build_entry(2)])
        name = "log-1"
        complete = bytes(self.disk.files[name])
        self.storage.append([build_entry(3)])
        longer = bytes(self.disk.files[name])
        for size in range(len(complete), len(longer)):
            self.disk.files[name] = bytearray(longer[:size])
            reopened = self.open()
            self.assertEqual(reopened.last_index, 2)
            reopened.append([build_entry(3)])
            self.assertEqual(self.open().last_index, 3)

    def test_every_damaged_byte_in_the_middle_stops_the_keeper(self) -> None:
        self.storage.append([build_entry(1), build_entry(2), build_entry(3)])
        name = "log-1"
        last = len(self.disk.files[name]) - len(b"command 3") - 8 - 17
        for position in range(8, last):
            self.disk.corrupt_byte(name, position)
            self.assertIn("bad record", self.check_refused())
            self.disk.corrupt_byte(name, position)

    def test_kill_while_any_file_is_replaced_does_not_stop_the_keeper(self) -> None:
        """Guards against a keeper that ends at every start over a file that never was in force."""
        self.storage.append([build_entry(1), build_entry(2)])
        self.storage.save_vote(7, "keeper-3")
        snapshot = storages.Snapshot(1, 1, b"state")
        self.storage.save_snapshot(snapshot)
        kept = dict(self.disk.files)
        for name in ("identity", "vote", "snapshot", "log-2", "log-226", "log-1"):
            for content in (b"", b"TLLG\0", bytes(kept.get(name, b"TLLG"))):
                with self.subTest(name=name, content=content[:8]):
                    self.disk.files = {**kept, f"{name}.new": bytearray(content)}
                    with testing.capture_logs() as logs:
                        reopened = self.open()
                    self.assertEqual((reopened.last_index, reopened.snapshot), (2, snapshot))
                    self.assertEqual((reopened.term, reopened.voted_for), (7, "keeper-3"))
                    self.assertEqual(self.disk.files, kept)
                    self.assertEqual([line["name"] for line in logs], [f"{name}.new"])

    def test_entry_read_at_the_start_survives_a_crash(self) -> None:
        """Guards against acknowledging an entry that a killed process wrote and never synced."""
        self.storage.append([build_entry(1)])
        self.storage._disk.append("log-1", storages._encode_record(1, 1, 2, b"command 2"))
        reopened = self.open()
        self.assertEqual(reopened.last_index, 2)
        reopened.append([build_entry(2)])  # held already
        self.disk.crash()
        self.assertEqual(self.open().last_index, 2)

    def test_unknown_files_are_left_alone(self) -> None:
        self.storage.append([build_entry(1)])
        for name in ("log-", "log-x", "log-1.old", "log-1~", "lost+found", "snapshot.bak"):
            self.disk.files[name] = bytearray(b"unknown")
        reopened = self.open()
        self.assertEqual(reopened.entries, [build_entry(1)])
        reopened.append([build_entry(2)])
        reopened.save_snapshot(storages.Snapshot(2, 1, b"state"))
        self.assertEqual(self.open().last_index, 2)
        self.assertEqual(self.disk.files["log-x"], b"unknown")

    def test_files_cut_short_stop_the_keeper_with_a_reason(self) -> None:
        self.storage.append([build_entry(1), build_entry(2)])
        self.storage.save_vote(7, "keeper-3")
        self.storage.save_snapshot(storages.Snapshot(1, 1, b"state"))
        for name in ("identity", "vote", "snapshot"):
            complete = bytes(self.disk.files[name])
            for size in range(len(complete)):
                self.disk.files[name] = bytearray(complete[:size])
                self.assertIn(name, self.check_refused())
            self.disk.files[name] = bytearray(complete)

    def test_damaged_vote_and_snapshot_stop_the_keeper(self) -> None:
        self.storage.append([build_entry(1)])
        self.storage.save_vote(3, "keeper-1")
        self.storage.save_snapshot(storages.Snapshot(1, 1, b"{}"))
        for name in ("vote", "snapshot", "identity"):
            self.disk.corrupt_byte(name, len(self.disk.files[name]) - 1)
            self.check_refused()
            self.disk.corrupt_byte(name, len(self.disk.files[name]) - 1)
        self.open()

    def test_no_write_is_tried_after_a_full_disk(self) -> None:
        self.storage.append([build_entry(1)])
        self.disk.errno_on_write = errno.ENOSPC
        for _ in range(2):
            with self.assertRaises(faults.FaultError):
                self.storage.append([build_entry(2)])
            self.disk.errno_on_write = None
        self.assertEqual(self.storage.last_index, 1)
        self.assertEqual(self.open().last_index, 1)

    def test_folder_of_another_keeper_is_refused(self) -> None:
        self.assertIn("keeper-1", self.check_refused("keeper-2"))

    def test_log_without_identity_is_refused(self) -> None:
        self.storage.append([build_entry(1)])
        del self.disk.files["identity"]
        self.assertIn("identity", self.check_refused())

    def test_snapshot_replaces_the_log_before_it(self) -> None:
        self.storage.append([build_entry(number) for number in range(1, 6)])
        self.storage.save_snapshot(storages.Snapshot(3, 1, b"state"))
        reopened = self.open()
        self.assertEqual(reopened.snapshot, storages.Snapshot(3, 1, b"state"))
        self.assertEqual(reopened.entries, [build_entry(4), build_entry(5)])
        self.assertEqual([name for name in self.disk.files if "log" in name], ["log-4"])

    def test_crash_between_snapshot_and_log(self) -> None:
        """The snapshot is durable before the old log is removed, so a crash may leave both."""
        self.storage.append([build_entry(number) for number in range(1, 6)])
        before = {name: bytes(data) for name, data in self.disk.files.items()}
        self.storage.save_snapshot(storages.Snapshot(3, 1, b"state"))
        self.disk.files["log-1"] = bytearray(before["log-1"])
        self.assertEqual(self.open().last_index, 5)

    def test_installed_snapshot_ahead_of_the_log(self) -> None:
        self.storage.append([build_entry(1), build_entry(2)])
        self.storage.save_snapshot(storages.Snapshot(9, 4, b"state"))
        reopened = self.open()
        self.assertEqual((reopened.last_index, reopened.last_term, reopened.entries), (9, 4, []))
        reopened.append([build_entry(10, term=4)])
        self.assertEqual(self.open().last_index, 10)


if __name__ == "__main__":
    unittest.main()
