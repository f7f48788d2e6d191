"""Where log lines go: a descriptor that is never waited for, with bounds on rate and memory.

Lines of one name share a rate; what is over it is counted and told by the next line of that name.
Failures have names of their own and so are not crowded out by what is frequent.
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
"""Lines that wait for a reader that has stalled; the rest is dropped and counted."""
LINES_PER_SECOND = 50.0
"""Lines of one name; at some 250 bytes a line that is 12 kB/s a name at the most."""
BURST_LINES = 200.0


class BoundedOutput:
    """A descriptor that lines are written to without ever waiting.

    Parameters
    ----------
    descriptor : int
        A pipe, file or terminal; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line now, keep it for later, or drop it if too much waits."""
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
                # Nobody reads any more: there is no place left to say so.
                self._pending.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


class LineRate:
    """A processor that lets a bounded number of lines of each name through.

    Parameters
    ----------
    now : callable
        A steady clock in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._levels: dict[str, tuple[float, float]] = {}
        self._left_out: dict[str, int] = collections.defaultdict(int)

    def __call__(
        self, logger: Any, method: str, values: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on, with the number of those left out before it, or drop it."""
        name = str(values.get("event", ""))
        now = self._now()
        level, at = self._levels.get(name, (BURST_LINES, now))
        level = min(BURST_LINES, level + (now - at) * LINES_PER_SECOND)
        if level < 1:
            self._levels[name] = (level, now)
            self._left_out[name] += 1
            raise structlog.DropEvent
        self._levels[name] = (level - 1, now)
        if self._left_out[name]:
            values["left_out"] = self._left_out.pop(name)
        return values


class _Logger:
    """What structlog hands finished lines to."""

    def __init__(self, output: BoundedOutput) -> None:
        self._output = output

    def msg(self, line: bytes) -> None:
        self._output.write(line + b"\n")

    log = debug = info = warning = warn = error = critical = fatal = failure = exception = msg


def set_up(descriptor: int) -> BoundedOutput:
    """Write log lines as JSON to a descriptor."""
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
