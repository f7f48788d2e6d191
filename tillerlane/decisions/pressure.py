"""Division of an entry's memory budget between request bodies and buffered answers.

The load it addresses: callers that send bodies of 4 MB by the hundred, callers that read an answer
at one byte per second, and runners that read slowly, at hosts of 128 MB.  A body that does not fit
is refused before it is read; answers are slowed down instead, since they are paid for already.
"""

import dataclasses

__all__ = [
    "ABOVE_SHARE",
    "NO_MEMORY",
    "REQUEST_BYTES",
    "Pressure",
    "compute_max_body",
    "compute_read_buffer",
    "compute_retry_seconds",
    "compute_share",
    "compute_write_buffer",
    "count_missing",
    "find_obstacle",
    "is_stalled",
]

READ_FLOOR_BYTES = 4 * 1024
"""Bytes of an answer that may be read in any case, so that every answer makes progress."""
WRITE_FLOOR_BYTES = 12 * 1024
"""Bytes that may wait for a caller in any case: the smallest write buffer and what one read adds
to it."""
MIN_WRITE_BUFFER_BYTES = 4 * 1024
EXCHANGE_FLOOR_BYTES = READ_FLOOR_BYTES + MIN_WRITE_BUFFER_BYTES
"""Bytes that may be held towards a target in any case: read of its answer, and unsent to it."""
REQUEST_BYTES = EXCHANGE_FLOOR_BYTES + WRITE_FLOOR_BYTES
"""Counted for every request as soon as it is admitted, so that the floors never exceed the budget:
500 requests take 10 MB of the 42 MB of a host with 128 MB."""
OVERHEAD_BYTES = 44 * 1024
"""Held beside the body of a request: its head and its connection."""
MAX_READ_BUFFER_BYTES = 256 * 1024
MAX_WRITE_BUFFER_BYTES = 64 * 1024
MIN_GRANT_BYTES = 1024
"""Smallest read beyond the floor: smaller ones cost more in calls than they hold in memory."""
READ_GRANT_SHARE = 16
WRITE_GRANT_SHARE = 64
"""One read or write buffer gets at most this part of the bytes free for buffers, so that some tens
of slow callers leave room for others."""
SHORT_SHARE = 0.5
"""Part of the budget in use from which memory is short: shares of workspaces count, and buffers no
longer grow.  Buffers that may fill the whole budget let slow callers shut out new requests."""
LARGE_BODY_BYTES = 64 * 1024
LARGE_BODY_SHARE = 0.9
"""Larger bodies leave a tenth of the budget for plain calls, whose bodies are small and which are
due in 0.13 s."""
MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0
"""Bounds of the retry time.  A caller obeys it for at most a third of the time it has left, 2 s of
the 6 s of a short request."""
NO_MEMORY = "no memory left"
ABOVE_SHARE = "workspace is above its share"
"""Obstacles to the admission of a request."""
STALL_SECONDS = 4.0
"""Time in which bytes wait and the caller takes none, after which its answer is ended: runners cut
off an answer that stays unread for some seconds, and the memory there is needed by others."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pressure:
    """State of a budget.

    Attributes
    ----------
    limit, held : int
        Bytes of the budget, and those in use.
    workspaces : int
        Workspaces that hold any.
    """

    limit: int
    held: int
    workspaces: int


def compute_share(limit: int, workspaces: int, spare: int = 1) -> int:
    """A workspace's equal share of the budget, with room for `spare` more workspaces.

    Without a spare share, a workspace that is alone fills the budget, and the next one to arrive
    waits until its bodies have been served.

    >>> compute_share(1_000, 1), compute_share(1_000, 3)
    (500, 250)
    """
    return limit // max(1, workspaces + spare)


def find_obstacle(pressure: Pressure, own: int, wanted: int, spare: int = 1) -> str:
    """Why a request that needs `wanted` bytes is refused; empty if it is admitted.

    `own` are the bytes that its workspace holds; `pressure.workspaces` includes that workspace.

    >>> find_obstacle(Pressure(1_000, 700, 2), own=400, wanted=100)
    'workspace is above its share'
    >>> find_obstacle(Pressure(1_000, 700, 2), own=300, wanted=100)
    ''
    """
    after = pressure.held + wanted
    if after > _compute_bound(pressure, wanted):
        return NO_MEMORY
    if after > pressure.limit * SHORT_SHARE:
        share = compute_share(pressure.limit, pressure.workspaces, spare)
        if own >= share:
            return ABOVE_SHARE
    return ""


def count_missing(pressure: Pressure, own: int, wanted: int, obstacle: str) -> int:
    """Bytes that have to be released before a request is admitted.

    With `ABOVE_SHARE`, they have to be released by the workspace of the request, which holds `own`.

    >>> count_missing(Pressure(1_000, 700, 2), own=400, wanted=100, obstacle=ABOVE_SHARE)
    68
    >>> count_missing(Pressure(1_000, 950, 2), own=0, wanted=100, obstacle=NO_MEMORY)
    50
    """
    after = pressure.held + wanted
    if obstacle == NO_MEMORY:
        return after - int(_compute_bound(pressure, wanted))
    above_share = own - compute_share(pressure.limit, pressure.workspaces) + 1
    return min(above_share, after - int(pressure.limit * SHORT_SHARE))


def compute_max_body(limit: int, copies: int) -> int:
    """Largest body that fits into an idle budget if it is held so many times at once.

    >>> compute_max_body(98_000_000, 3)
    29378154
    """
    return max(0, int(limit * LARGE_BODY_SHARE) - REQUEST_BYTES - OVERHEAD_BYTES) // copies


def _compute_bound(pressure: Pressure, wanted: int) -> float:
    """Bytes that may be held after a request for so many was admitted."""
    is_large = wanted > LARGE_BODY_BYTES + REQUEST_BYTES
    return pressure.limit * (LARGE_BODY_SHARE if is_large else 1.0)


def compute_retry_seconds(pressure: Pressure, wanted: int) -> float:
    """Retry time of a refused request: longer, the fuller the budget and the larger the request.

    >>> compute_retry_seconds(Pressure(1_000, 1_000, 1), 1_000)
    2.0
    """
    part = (pressure.held / pressure.limit + min(1.0, wanted / pressure.limit)) / 2
    return MIN_RETRY_SECONDS + min(1.0, part) * (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS)


def _count_free_for_buffers(pressure: Pressure) -> int:
    return max(0, int(pressure.limit * SHORT_SHARE) - pressure.held)


def compute_read_buffer(pressure: Pressure, buffered: int) -> int:
    """Bytes that may be read now of an answer of which `buffered` are held; 0 to read no more.

    >>> compute_read_buffer(Pressure(64_000_000, 0, 1), 0)
    262144
    >>> compute_read_buffer(Pressure(1_000, 1_000, 1), 1_000)
    3096
    >>> compute_read_buffer(Pressure(1_000, 1_000, 1), 4_096)
    0
    """
    floor = max(0, READ_FLOOR_BYTES - buffered)
    grant = _count_free_for_buffers(pressure) // READ_GRANT_SHARE
    if grant < MIN_GRANT_BYTES:
        grant = 0
    return max(floor, min(grant, MAX_READ_BUFFER_BYTES))


def compute_write_buffer(pressure: Pressure) -> int:
    """Unsent bytes of an answer above which its writer waits; a power of two, so it rarely changes.

    >>> compute_write_buffer(Pressure(64_000_000, 0, 1)), compute_write_buffer(Pressure(9, 9, 1))
    (65536, 4096)
    """
    grant = _count_free_for_buffers(pressure) // WRITE_GRANT_SHARE
    size = min(MAX_WRITE_BUFFER_BYTES, max(MIN_WRITE_BUFFER_BYTES, grant))
    return 1 << (size.bit_length() - 1)


def is_stalled(seconds: float) -> bool:
    """Whether a caller that took no byte for so long, while bytes waited, is ended.

    >>> is_stalled(3.9), is_stalled(4.0)
    (False, True)
    """
    return seconds >= STALL_SECONDS
