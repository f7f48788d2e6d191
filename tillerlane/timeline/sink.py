"""Non-blocking output of log lines to a descriptor, with bounds on rate and memory.

Lines of one event name share a token bucket; dropped lines are counted, and the next line of that
name reports their number.  Failures have their own names, so frequent events don't displace them.
"""

import collections
import logging
import os
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
import structlog

__all__ = ["BoundedOutput", "LineRate", "set_up"]

MAX_PENDING_BYTES = 256 * 1024
"""Bound on buffered lines while the reader stalls; further lines are dropped and counted."""
LINES_PER_SECOND = 50.0
"""Rate of lines of one name; at some 250 bytes a line, at most 12 kB/s for each name."""
BURST_LINES = 200.0


class BoundedOutput:
    """Writes lines to a descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        A pipe, file or terminal, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        if self._size + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._size += len(line)
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone and nothing else can be logged to: drop the buffer.
                self._pending.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


class LineRate:
    """A structlog processor that limits the rate of lines of each name.

    Parameters
    ----------
    now : callable
        A monotonic clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._buckets: dict[str, tuple[float, float]] = {}
        self._left_out: dict[str, int] = collections.defaultdict(int)

    def __call__(
        self, logger: Any, method: str, values: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on with the number of lines dropped before it, or drop it."""
        name = str(values.get("event", ""))
        now = self._now()
        tokens, at = self._buckets.get(name, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + (now - at) * LINES_PER_SECOND)
        if tokens < 1:
            self._buckets[name] = (tokens, now)
            self._left_out[name] += 1
            raise structlog.DropEvent
        self._buckets[name] = (tokens - 1, now)
        if self._left_out[name]:
            values["left_out"] = self._left_out.pop(name)
        return values


class _Logger:
    """Logger to which structlog passes rendered lines."""

    def __init__(self, output: BoundedOutput) -> None:
        self._output = output

    def msg(self, line: bytes) -> None:
        self._output.write(line + b"\n")

    log = debug = info = warning = warn = error = critical = fatal = failure = exception = msg


def set_up(descriptor: int) -> BoundedOutput:
    """Configure structlog to write log lines as JSON to a descriptor."""
    output = BoundedOutput(descriptor)
    encode = msgspec.json.Encoder(enc_hook=str).encode

    def render(logger: Any, method: str, values: MutableMapping[str, Any]) -> bytes:
        return encode(dict(values))

    structlog.configure(
        processors=[
            LineRate(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *arguments: _Logger(output),
        cache_logger_on_first_use=True,
    )
    return output
