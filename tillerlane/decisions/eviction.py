"""Chooses the connections that a process closes when it runs short of descriptors or memory.

A client can open a connection, begin a request or leave a response unread, and then do nothing
more, or send a byte now and then, by which no time-out passes.  As long as there is room, such a
client is served like any other.  At the bound, the connections that wait for their clients give
way, those first which have taken most of what is short, for the longest time.  A connection whose
request is complete, and whose client reads, is never closed.
"""

import dataclasses
import enum
from collections.abc import Sequence

__all__ = [
    "CONNECTION_BYTES",
    "FILE_DESCRIPTORS",
    "MAX_READ_BYTES",
    "MIN_CONNECTIONS",
    "MIN_RECEIVE_BUFFER_BYTES",
    "RESERVED_DESCRIPTORS",
    "RETRY_AFTER_SECONDS",
    "SIDE_CONNECTIONS",
    "UNREAD_GRACE_SECONDS",
    "Stage",
    "Waiting",
    "choose_for_descriptor",
    "choose_for_memory",
    "choose_limit",
    "compute_head_bytes",
    "compute_max_connections",
    "compute_pause",
    "compute_read_size",
    "compute_receive_buffer",
]

CONNECTION_BYTES = 8 * 1024
"""Memory of an open connection without a request."""
HEADER_BYTES = 200
"""Memory of a parsed header besides its text, with the copy that is made to forward it."""
FILE_DESCRIPTORS = 200
"""Descriptors of a process that its host keeps for files; sockets have the others."""
RESERVED_DESCRIPTORS = 96
"""Descriptors for listeners, links to keepers, the connections of side listeners, and connections
that were accepted but not yet counted."""
SIDE_CONNECTIONS = 24
"""Connections of a listener for checks or metrics."""
MIN_CONNECTIONS = 16
DESCRIPTOR_BATCH = 64
"""One in so many connections gives way at a time, so that a flood does not have all connections
compared for each new one."""
GRACE_SECONDS = 1.0
"""Time for which a connection may hold as much memory as a new request needs."""
UNREAD_GRACE_SECONDS = 0.1
"""Time in which a client may read no byte of a response: some round trips."""
RETRY_AFTER_SECONDS = 1.0
"""Retry delay of a request whose connection gave way before it was complete."""
PAUSE_SECONDS = 20e-6
"""Some ten times as long as it takes to look at one connection."""
MAX_READ_BYTES = 32 * 1024
MIN_READ_BYTES = 4 * 1024
PASS_BYTES = 256 * 1024
"""Bytes that all connections may bring in one pass of the event loop.  In chunks of one byte, they
take some 25 ms to parse."""
MIN_RECEIVE_BUFFER_BYTES = 4 * 1024
MAX_RECEIVE_BUFFER_BYTES = 128 * 1024


class Stage(enum.IntEnum):
    """What a connection waits for."""

    IDLE = 0
    """A request."""
    RECEIVING = 1
    """The rest of a request."""
    UNREAD = 2
    """That its client reads."""
    PIPELINED = 3
    """The response to an earlier request: it can give up further requests, but not close."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A connection that waits for its client.

    Attributes
    ----------
    seconds : float
        How long it has been in this stage; bytes that arrive meanwhile do not count, while those
        that are read of a response do.
    held : int
        Bytes that closing it frees.
    """

    stage: Stage
    seconds: float
    held: int


def choose_limit(setting: int, process_limit: int) -> int:
    """Descriptors that a process may open: the lower of two limits, of which 0 is none.

    >>> choose_limit(4_096, 1_024), choose_limit(4_096, 0), choose_limit(0, 0)
    (1024, 4096, 0)
    """
    return min((limit for limit in (setting, process_limit) if limit), default=0)


def compute_max_connections(descriptors: int) -> int:
    """Most connections that clients may have to a process with so many descriptors.

    Each request that is served takes a second connection, to its runner.

    >>> compute_max_connections(4_096)
    1900
    """
    return max(MIN_CONNECTIONS, (descriptors - FILE_DESCRIPTORS - RESERVED_DESCRIPTORS) // 2)


def compute_head_bytes(sent: int, headers: int) -> int:
    """Memory of a parsed head: `sent` bytes with this number of headers.

    >>> compute_head_bytes(16_384, 4_000)
    816384
    """
    return sent + headers * HEADER_BYTES


def compute_receive_buffer(limit: int, connections: int) -> int:
    """Bytes that the kernel may hold unread for each connection; a power of two.

    >>> compute_receive_buffer(8_000_000, 10), compute_receive_buffer(8_000_000, 1_000)
    (131072, 4096)
    """
    share = limit // max(1, connections)
    size = min(MAX_RECEIVE_BUFFER_BYTES, max(MIN_RECEIVE_BUFFER_BYTES, share))
    return 1 << (size.bit_length() - 1)


def compute_read_size(receiving: int) -> int:
    """Bytes that are read of a connection at a time while so many receive requests.

    >>> compute_read_size(1), compute_read_size(20), compute_read_size(1_000)
    (32768, 13107, 4096)
    """
    return min(MAX_READ_BYTES, max(MIN_READ_BYTES, PASS_BYTES // max(1, receiving)))


def compute_pause(connections: int) -> float:
    """Seconds without another comparison after one of so many connections found none.

    A flood of refused clients would otherwise have all connections compared for each.

    >>> compute_pause(50), compute_pause(2_000)
    (0.001, 0.04)
    """
    return connections * PAUSE_SECONDS


def choose_for_descriptor(
    waiting: Sequence[Waiting], unread_grace: float = UNREAD_GRACE_SECONDS
) -> list[int]:
    """Positions of the connections that give way to a new one.

    Those without a request go first, of each stage those that wait for the longest time.  A
    response may be unread for `unread_grace` seconds.

    >>> idle, late = Waiting(Stage.IDLE, 1.0, 0), Waiting(Stage.RECEIVING, 9.0, 0)
    >>> choose_for_descriptor([late, idle, idle])
    [1]
    """
    found = [
        index
        for index, item in enumerate(waiting)
        if item.stage is not Stage.PIPELINED and _may_close(item, unread_grace)
    ]
    found.sort(key=lambda index: (waiting[index].stage, -waiting[index].seconds))
    return found[: -(-len(waiting) // DESCRIPTOR_BATCH)]


def _may_close(item: Waiting, unread_grace: float) -> bool:
    return item.stage is not Stage.UNREAD or item.seconds >= unread_grace


def choose_for_memory(waiting: Sequence[Waiting], wanted: int, missing: int) -> list[int]:
    """Positions of the connections that give way to a request which needs `wanted` bytes.

    None if those that may give way do not hold the `missing` bytes.

    >>> body = Waiting(Stage.RECEIVING, 2.0, 1_000)
    >>> choose_for_memory([body, body], wanted=500, missing=1_000)
    [0]
    >>> choose_for_memory([body, body], wanted=5_000, missing=1_000)
    []
    """
    limit = wanted * GRACE_SECONDS
    found = [
        index
        for index, item in enumerate(waiting)
        if item.held * item.seconds >= limit and _may_close(item, UNREAD_GRACE_SECONDS)
    ]
    found.sort(key=lambda index: -waiting[index].held * waiting[index].seconds)
    freed = 0
    for count, index in enumerate(found, 1):
        freed += waiting[index].held
        if freed >= missing:
            return found[:count]
    return []
