"""Ranges of loopback addresses, reserved so that several runs on one host do not collide."""

import socket

__all__ = ["Range", "reserve"]

FIRST, WIDTH, COUNT = 20, 4, 50
"""The ranges: each has `WIDTH` consecutive second bytes of 127.0.0.0/8, from `FIRST` on."""
LOCK_PORT = 6999
"""Port whose listener marks a range as in use; no daemon listens there.  The kernel closes it with
its process, so that a killed run blocks nothing."""


class Range:
    """A reserved range of addresses.

    Attributes
    ----------
    net : int
        Second byte of its first addresses.
    """

    def __init__(self, net: int, lock: socket.socket) -> None:
        self.net = net
        self._lock = lock

    def release(self) -> None:
        """Allow other runs to use the range."""
        self._lock.close()


def reserve(number: int) -> Range:
    """Reserve the range with this number (modulo `COUNT`), or the next one that is free.

    Raises
    ------
    OSError
        If no range is free.
    """
    for step in range(COUNT):
        net = FIRST + WIDTH * ((number + step) % COUNT)
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.255.254", LOCK_PORT))
            lock.listen(1)
        except OSError:
            lock.close()
            continue
        return Range(net, lock)
    raise OSError(f"all {COUNT} ranges of loopback addresses are in use")
