"""Calls that the system makes of the platform's runners."""

import asyncio
import contextlib

import msgspec

from tillerlane.gateway import dialect, http_client, http_head

__all__ = ["copy_run", "drop_copy", "stop_run"]

CONNECT_SECONDS = 0.3
MAX_ANSWER_BYTES = 64 * 1024
DROP_SECONDS = 1.0


class _Moved(msgspec.Struct):
    """``made`` counts the events written so far."""

    handle: str = ""
    made: int = 0


_OUTCOMES = {
    200: dialect.CopyOutcome.COPIED,
    404: dialect.CopyOutcome.NO_RUN,
    409: dialect.CopyOutcome.BUSY,
    503: dialect.CopyOutcome.NO_ROOM,
}

_LATER = frozenset({408, 425, 429})
"""Statuses that say nothing of the order itself."""


async def _call(
    address: str, method: bytes, path: bytes, body: bytes, seconds: float
) -> tuple[int, bytes]:
    """One call of a runner.

    Raises
    ------
    http_client.ExchangeError
        If it did not answer in time.
    """
    exchange = None
    try:
        async with asyncio.timeout(seconds):
            exchange = await http_client.connect(address, CONNECT_SECONDS)
            headers = [
                (b"Host", address.encode()),
                (b"Content-Type", b"application/json"),
                (b"Connection", b"close"),
            ]
            exchange.send(http_head.RequestHead(method, path, headers), body)
            head = await exchange.read_head()
            return head.status, await exchange.read_body(MAX_ANSWER_BYTES)
    except TimeoutError as error:
        message = f"no answer of {address} within {seconds} s"
        raise http_client.ExchangeError(message, sent=True) from error
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
    """Copy a run's memory from one runner to another while the run goes on."""
    return await _order_move(source, _MoveOrder(request_id, destination), seconds)


async def stop_run(
    source: str, request_id: str, destination: str, seconds: float
) -> dialect.CopyResult:
    """Have a runner stop a run, and copy its memory to another one."""
    return await _order_move(source, _MoveOrder(request_id, destination, last=True), seconds)


async def _order_move(source: str, order: _MoveOrder, seconds: float) -> dialect.CopyResult:
    try:
        status, body = await _call(
            source, b"POST", b"/kv-move", msgspec.json.encode(order), seconds
        )
    except http_client.ExchangeError as error:
        return dialect.CopyResult(_judge_broken(error))
    outcome = _judge_status(status)
    if outcome not in (dialect.CopyOutcome.COPIED, dialect.CopyOutcome.NO_ROOM):
        return dialect.CopyResult(outcome)
    try:
        moved = msgspec.json.decode(body, type=_Moved) if body else _Moved()
    except msgspec.DecodeError:
        return dialect.CopyResult(dialect.CopyOutcome.LOST)
    return dialect.CopyResult(outcome, moved.handle, moved.made)


def _judge_status(status: int) -> dialect.CopyOutcome:
    if status in _OUTCOMES:
        return _OUTCOMES[status]
    is_refusal = 400 <= status < 500 and status not in _LATER
    return dialect.CopyOutcome.UNSUPPORTED if is_refusal else dialect.CopyOutcome.LOST


def _judge_broken(error: http_client.ExchangeError) -> dialect.CopyOutcome:
    """What it says of a runner that it gave no answer."""
    if error.sent:
        return dialect.CopyOutcome.LOST
    if isinstance(error.__cause__, ConnectionRefusedError):
        return dialect.CopyOutcome.REFUSED
    return dialect.CopyOutcome.UNREACHABLE


async def drop_copy(copy: dialect.MemoryCopy) -> None:
    """Free a copy at a runner; it expires by itself if the call is lost."""
    with contextlib.suppress(http_client.ExchangeError):
        await _call(
            copy.address, b"DELETE", b"/kv-handle/" + copy.handle.encode(), b"", DROP_SECONDS
        )
