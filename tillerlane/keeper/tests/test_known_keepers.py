"""Whom a keeper knows, from keepers themselves and from others."""

import unittest

from tillerlane.keeper import known_keepers
from tillerlane.peers import messages


def build_seen(name: str) -> messages.KeeperSeen:
    """A keeper as it tells of itself."""
    return messages.KeeperSeen(name, f"10.0.0.{name}:7000", f"disk-{name}", False)


class KnownKeepersTest(unittest.TestCase):
    """Keeper a, and what it is told."""

    def setUp(self) -> None:
        self.now = 100.0
        self.known_keepers = known_keepers.KnownKeepers("a", lambda: self.now)

    def take(self, names: str) -> bool:
        """Take an announcement of the first, who knows the others."""
        return self.known_keepers.merge(
            messages.KeeperAnnounce([build_seen(name) for name in names])
        )

    def list_alive(self) -> str:
        return "".join(seen.name for seen in self.known_keepers.list_alive())

    def test_who_is_told_of_is_spoken_to_and_not_yet_alive(self) -> None:
        self.assertTrue(self.take("bcd"))
        self.assertEqual(self.list_alive(), "b")
        addresses = {"10.0.0.b:7000", "10.0.0.c:7000", "10.0.0.d:7000"}
        self.assertEqual(self.known_keepers.list_addresses(), addresses)

    def test_own_word_shows_that_it_lives(self) -> None:
        self.take("bc")
        self.assertTrue(self.take("cb"))
        self.assertEqual(self.list_alive(), "bc")
        self.assertFalse(self.take("cb"))

    def test_never_knows_itself(self) -> None:
        self.take("ba")
        self.assertEqual(self.known_keepers.list_addresses(), {"10.0.0.b:7000"})

    def test_silent_keeper_is_spoken_to_until_nobody_tells_of_it_for_long(self) -> None:
        self.take("bc")
        self.now += known_keepers.ALIVE_TIMEOUT_SECONDS + 1
        self.assertEqual(self.list_alive(), "")
        self.assertEqual(len(self.known_keepers.list_addresses()), 2)
        self.now += known_keepers.RETENTION_SECONDS - 5
        self.take("cb")
        self.now += 2
        self.known_keepers.expire()
        self.assertEqual(len(self.known_keepers.list_addresses()), 2)
        self.now += known_keepers.RETENTION_SECONDS
        self.known_keepers.expire()
        self.assertEqual(self.known_keepers.list_addresses(), set())

    def test_empty_announcement_tells_nothing(self) -> None:
        self.assertFalse(self.known_keepers.merge(messages.KeeperAnnounce([])))


if __name__ == "__main__":
    unittest.main()
