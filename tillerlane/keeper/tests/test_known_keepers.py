"""Keepers known from their own announcements and from reports of others."""

import unittest

from tillerlane.keeper import known_keepers
from tillerlane.peers import messages


def build_seen(name: str) -> messages.KeeperSeen:
    """Build a keeper's report of itself."""
    return messages.KeeperSeen(name, f"10.0.0.{name}:7000", f"disk-{name}", False)


class KnownKeepersTest(unittest.TestCase):
    """The table of keeper a, and announcements that it receives."""

    def setUp(self) -> None:
        self.now = 100.0
        self.known_keepers = known_keepers.KnownKeepers("a", lambda: self.now)

    def announce(self, names: str) -> bool:
        """Merge an announcement of the first keeper, which knows the others."""
        return self.known_keepers.merge(
            messages.KeeperAnnounce([build_seen(name) for name in names])
        )

    def list_alive(self) -> str:
        return "".join(seen.name for seen in self.known_keepers.list_alive())

    def test_reported_keeper_is_contacted_but_not_yet_alive(self) -> None:
        self.assertTrue(self.announce("bcd"))
        self.assertEqual(self.list_alive(), "b")
        addresses = {"10.0.0.b:7000", "10.0.0.c:7000", "10.0.0.d:7000"}
        self.assertEqual(self.known_keepers.list_addresses(), addresses)

    def test_own_announcement_shows_that_a_keeper_is_alive(self) -> None:
        self.announce("bc")
        self.assertTrue(self.announce("cb"))
        self.assertEqual(self.list_alive(), "bc")
        self.assertFalse(self.announce("cb"))

    def test_keeper_does_not_know_itself(self) -> None:
        self.announce("ba")
        self.assertEqual(self.known_keepers.list_addresses(), {"10.0.0.b:7000"})

    def test_unreachable_keeper_is_contacted_until_its_reports_expire(self) -> None:
        self.announce("bc")
        self.now += known_keepers.ALIVE_TIMEOUT_SECONDS + 1
        self.assertEqual(self.list_alive(), "")
        self.assertEqual(len(self.known_keepers.list_addresses()), 2)
        self.now += known_keepers.RETENTION_SECONDS - 5
        self.announce("cb")
        self.now += 2
        self.known_keepers.expire()
        self.assertEqual(len(self.known_keepers.list_addresses()), 2)
        self.now += known_keepers.RETENTION_SECONDS
        self.known_keepers.expire()
        self.assertEqual(self.known_keepers.list_addresses(), set())

    def test_empty_announcement_is_ignored(self) -> None:
        self.assertFalse(self.known_keepers.merge(messages.KeeperAnnounce([])))


if __name__ == "__main__":
    unittest.main()
