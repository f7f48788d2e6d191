"""Calls of the system to the platform's runners."""

import asyncio
import contextlib
import dataclasses
import re
from typing import Annotated

import msgspec

from tillerlane.gateway import dialect
from tillerlane.gateway.http import http_client, http_head
from tillerlane.gateway.incarnation import ids as incarnations

__all__ = [
    "check_target",
    "copy_run",
    "drop_copy",
    "drop_reservation",
    "read_report",
    "reserve_memory",
    "stop_run",
]

CONNECT_TIMEOUT_SECONDS = 0.3
HOLD_CONNECT_TIMEOUT_SECONDS = 0.2
"""Below the longest wait for a reservation (0.25 s), so that an unreachable runner is told from one
that is slow to answer."""
MAX_ANSWER_BYTES = 64 * 1024
DROP_TIMEOUT_SECONDS = 1.0
INSTANCE_ID = b"instance-id"
"""Header in which the answer to a health check names the target."""


class _MoveReply(msgspec.Struct):
    """``made`` counts the events written so far."""

    handle: str = ""
    made: int = 0


_OUTCOMES = {
    200: dialect.CopyOutcome.COPIED,
    404: dialect.CopyOutcome.NO_RUN,
    409: dialect.CopyOutcome.BUSY,
    503: dialect.CopyOutcome.NO_ROOM,
}

_RETRYABLE_STATUSES = frozenset({408, 425, 429})
"""Statuses that are no verdict on the order itself."""


async def _call(
    address: str,
    method: bytes,
    path: bytes,
    body: bytes,
    seconds: float,
    connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    json_statuses: frozenset[int] = frozenset(),
) -> tuple[int, bytes]:
    """Send one call to a runner; gives the status and the body of its answer.

    Parameters
    ----------
    json_statuses : frozenset of int
        Statuses of answers whose body is JSON.  One that ends with its connection, and inside its
        JSON, has been cut.

    Raises
    ------
    http_client.ExchangeError
        If it did not answer in time, or its answer was cut.
    """
    answer = await _exchange(address, method, path, body, seconds, connect_seconds)
    status = answer.head.status
    if answer.is_close_delimited and status in json_statuses and not _is_json(answer.body):
        raise http_client.ExchangeError(f"answer of {address} was cut", sent=True)
    return status, answer.body


def _is_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    head: http_head.ResponseHead
    body: bytes
    is_close_delimited: bool


async def _exchange(
    address: str,
    method: bytes,
    path: bytes,
    body: bytes,
    seconds: float,
    connect_seconds: float,
) -> _Answer:
    exchange = None
    try:
        async with asyncio.timeout(seconds):
            exchange = await http_client.connect(address, connect_seconds)
            headers = [
                (b"Host", address.encode()),
                (b"Content-Type", b"application/json"),
                (b"Connection", b"close"),
            ]
            exchange.send(http_head.RequestHead(method, path, headers), body)
            head = await exchange.read_head()
            answer = bytes(await exchange.read_body(MAX_ANSWER_BYTES))
            return _Answer(head, answer, exchange.is_close_delimited)
    except TimeoutError as error:
        message = f"no answer from {address} within {seconds} s"
        is_sent = exchange is not None and exchange.sent
        raise http_client.ExchangeError(message, sent=is_sent) from error
    finally:
        if exchange is not None:
            exchange.abort()


class _MoveOrder(msgspec.Struct, omit_defaults=True):
    """``target_version`` is the address of the runner that gets the copy.

    With ``last``, the run stops before it is copied.
    """

    id: str
    target_version: str
    last: bool = False


async def copy_run(
    source: str, request_id: str, destination: str, seconds: float
) -> dialect.CopyResult:
    """Copy a run's memory from one runner to another while the run continues."""
    order = _MoveOrder(request_id, destination)
    return await _order_move(source, order, seconds, frozenset({200}))


async def stop_run(
    source: str, request_id: str, destination: str, seconds: float
) -> dialect.CopyResult:
    """Have a runner stop a run and copy its memory to another one."""
    # Without room at the destination, the answer names the memory that is kept at the source.
    order = _MoveOrder(request_id, destination, last=True)
    return await _order_move(source, order, seconds, frozenset({200, 503}))


async def _order_move(
    source: str, order: _MoveOrder, seconds: float, json_statuses: frozenset[int]
) -> dialect.CopyResult:
    try:
        status, body = await _call(
            source,
            b"POST",
            b"/kv-move",
            msgspec.json.encode(order),
            seconds,
            CONNECT_TIMEOUT_SECONDS,
            json_statuses,
        )
    except http_client.ExchangeError as error:
        return dialect.CopyResult(_classify_failure(error))
    outcome = _classify_status(status)
    if outcome not in (dialect.CopyOutcome.COPIED, dialect.CopyOutcome.NO_ROOM):
        return dialect.CopyResult(outcome)
    try:
        moved = msgspec.json.decode(body, type=_MoveReply) if body else _MoveReply()
    except msgspec.DecodeError:
        return dialect.CopyResult(dialect.CopyOutcome.LOST)
    if outcome is dialect.CopyOutcome.COPIED and not moved.handle:
        return dialect.CopyResult(dialect.CopyOutcome.LOST)  # names no copy to resume from
    return dialect.CopyResult(outcome, moved.handle, moved.made)


def _classify_status(status: int) -> dialect.CopyOutcome:
    if status in _OUTCOMES:
        return _OUTCOMES[status]
    is_rejection = 400 <= status < 500 and status not in _RETRYABLE_STATUSES
    return dialect.CopyOutcome.UNSUPPORTED if is_rejection else dialect.CopyOutcome.LOST


def _classify_failure(error: http_client.ExchangeError) -> dialect.CopyOutcome:
    """The outcome of a call without a response."""
    if error.sent:
        return dialect.CopyOutcome.LOST
    if isinstance(error.__cause__, ConnectionRefusedError):
        return dialect.CopyOutcome.REFUSED
    return dialect.CopyOutcome.UNREACHABLE


async def drop_copy(copy: dialect.MemoryCopy) -> None:
    """Free a copy at a runner; if the call is lost, the copy expires by itself."""
    with contextlib.suppress(http_client.ExchangeError):
        await _call(
            copy.address,
            b"DELETE",
            b"/kv-handle/" + copy.handle.encode(),
            b"",
            DROP_TIMEOUT_SECONDS,
        )


class _HoldOrder(msgspec.Struct):
    tokens: int
    ttl_ms: int


class _HoldReply(msgspec.Struct):
    hold: str = ""


_HOLD_ID = re.compile(r"[!-~]{1,200}")
"""Ids that can be sent in a header and in a path; the longest in use is far shorter."""
_HOLD_OUTCOMES = {
    503: dialect.HoldOutcome.FULL,
    404: dialect.HoldOutcome.UNSUPPORTED,
    405: dialect.HoldOutcome.UNSUPPORTED,
    501: dialect.HoldOutcome.UNSUPPORTED,
}


async def reserve_memory(
    address: str, tokens: int, lease_seconds: float, seconds: float
) -> dialect.HoldResult:
    """Reserve a slot and memory at a runner, until the lease ends or a request uses them."""
    order = _HoldOrder(tokens, max(1, int(lease_seconds * 1000)))
    try:
        status, body = await _call(
            address,
            b"POST",
            b"/hold-take",
            msgspec.json.encode(order),
            seconds,
            HOLD_CONNECT_TIMEOUT_SECONDS,
        )
    except http_client.ExchangeError as error:
        outcomes = dialect.HoldOutcome
        return dialect.HoldResult(outcomes.LOST if error.sent else outcomes.UNREACHABLE)
    if status != 200:
        return dialect.HoldResult(_HOLD_OUTCOMES.get(status, dialect.HoldOutcome.LOST))
    try:
        hold = msgspec.json.decode(body, type=_HoldReply).hold
    except (msgspec.DecodeError, UnicodeDecodeError):
        hold = ""
    if not _HOLD_ID.fullmatch(hold):
        return dialect.HoldResult(dialect.HoldOutcome.LOST)
    return dialect.HoldResult(dialect.HoldOutcome.TAKEN, hold)


async def drop_reservation(address: str, hold: str) -> bool:
    """Free an unused reservation; whether the runner answered, or has no process any more."""
    path = b"/hold-drop/" + hold.encode("ascii")
    try:
        await _call(address, b"DELETE", path, b"", DROP_TIMEOUT_SECONDS)
    except http_client.ExchangeError as error:
        return _classify_failure(error) is dialect.CopyOutcome.REFUSED
    return True


class _ReportReply(msgspec.Struct):
    """``runs`` lists each run as id, tokens in memory, events made and priority.

    ``born`` is the Unix millisecond of the runner's start; 0 if it is missing.
    """

    runs: list[tuple[str, int, int, int]] | None = None
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    waiting: int = 0
    running: int = 0


async def read_report(address: str, seconds: float) -> dialect.RunnerReport | None:
    """Read what a runner reports of itself; None if it gives no such report.

    Raises
    ------
    http_client.ExchangeError
        If it did not answer in time, or its answer was cut.
    """
    status, body = await _call(
        address,
        b"GET",
        b"/report",
        b"",
        seconds,
        CONNECT_TIMEOUT_SECONDS,
        frozenset({200}),
    )
    if status != 200:
        return None
    try:
        reply = msgspec.json.decode(body, type=_ReportReply)
    except msgspec.DecodeError:
        return None
    runs = reply.runs or []
    return dialect.RunnerReport(
        {request_id: events for request_id, _, events, _ in runs},
        has_unlisted=reply.waiting > 0 or reply.running > len(runs),
        started_ms=reply.born,
        lists_runs=reply.runs is not None,
    )


async def check_target(address: str, health_path: str, target_id: str, seconds: float) -> bool:
    """Whether the process that answers at a target's address is the target's own.

    Raises
    ------
    http_client.ExchangeError
        If none answered in time.
    """
    path = health_path.encode("latin-1")
    answer = await _exchange(address, b"GET", path, b"", seconds, CONNECT_TIMEOUT_SECONDS)
    named = http_head.get_header(answer.head.headers, INSTANCE_ID)
    return named is None or named.strip() == incarnations.parse_id(target_id).name.encode()
