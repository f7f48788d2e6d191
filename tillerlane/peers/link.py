"""One connection to a peer: framing, exchanges, heartbeats, batched tokens.

A frame is its length (4 bytes, big-endian) and one Cap'n Proto envelope.  A frame of length 0 is
a heartbeat: the sender is alive and its configuration version is that of its last envelope.

An exchange is a call or a stream.  The side that dialed opens odd numbers, the other side even
ones, so both can open exchanges at once.  Buffers are bounded: tokens by credit, calls by their
callers, and a peer that reads everything else too slowly is disconnected.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.peers import codec, messages
from tillerlane.timeline import clock as clocks

__all__ = ["Exchange", "Link", "LinkLost", "Local", "format_fault", "parse_fault", "try_send"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HELLO_BYTES = 4096
"""Maximum size of a frame of a peer that has not sent its ``Hello`` yet."""
MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""A peer with more unread bytes than this is disconnected."""
HELLO_TIMEOUT_SECONDS = 2.0
HEARTBEAT_INTERVAL_SECONDS = 0.85
"""Maximum time between two sends; a broken connection is detected within two seconds."""
SLOW_HEARTBEAT_INTERVAL_SECONDS = 2.5
"""Heartbeat interval of a daemon to its home keeper, which has hundreds of such links."""
TIMEOUT_FACTOR = 2.1
"""A link with no data for this many heartbeat intervals of the peer is lost."""
CLOSE_SECONDS = 1.0
"""Time in which a closed link may send what it still holds."""
MAX_REASON_CHARACTERS = 200
"""Bound on the logged reason for which a peer's message is refused."""
TOKEN_FLUSH_DELAY_SECONDS = 0.002
"""How long tokens wait for others to share their frame."""

_LENGTH = struct.Struct(">I")
_EMPTY_FRAME = _LENGTH.pack(0)
_OPENING = (
    messages.Start,
    messages.Query,
    messages.Propose,
    messages.VoteRequest,
    messages.AppendRequest,
    messages.SnapshotPiece,
    messages.FreshnessRequest,
    messages.PermitRequest,
    messages.OriginQuery,
)
"""Bodies that may open an exchange; any other one for an unknown exchange is late and dropped."""


class LinkLost(faults.TillerlaneError):
    """The connection ended; what was sent on it may or may not have arrived."""


@dataclasses.dataclass(slots=True)
class Local:
    """State and callbacks shared by all links of a daemon.

    Attributes
    ----------
    daemon_id, fleet, address : str
        Identity of this daemon; `address` is ``IP:port`` of its peer listener.
    incarnation : int
        Increases with each start of the daemon.
    clock : clocks.HybridClock
        Stamps messages.
    get_config_version : callable
        Version of the configuration in force here, sent on every message.
    on_peer_version : callable
        Called with (link, version) when a peer's version differs from the one in force here.
    serve : callable
        Coroutine function called with (exchange, body) for each exchange that a peer opens.
    notify : callable
        Called with (link, body) for each message that belongs to no exchange.
    on_up, on_down : callable
        Called with the link when it is ready, and when it has ended.
    admit : callable
        Called with (daemon id, name in its certificate or "") before a link is ready; raises
        `faults.FaultError` to refuse the peer.
    note_refused : callable
        Called with the reason when a connection is refused before its ``Hello``.
    """

    daemon_id: str
    fleet: str
    address: str
    incarnation: int
    clock: clocks.HybridClock
    get_config_version: Callable[[], int]
    on_peer_version: Callable[["Link", int], None]
    serve: Callable[["Exchange", messages.Body], Coroutine[Any, Any, None]]
    notify: Callable[["Link", messages.Body], None]
    on_up: Callable[["Link"], None] = lambda link: None
    on_down: Callable[["Link"], None] = lambda link: None
    admit: Callable[[str, str], None] = lambda daemon_id, name: None
    on_refused: Callable[[str], None] = lambda reason: None


def log_exception(error_id: str, error: BaseException) -> None:
    """Log an unexpected exception with its traceback."""
    structlog.get_logger().error("internal.trace", error_id=error_id, exc_info=error)


def format_fault(fault: faults.Fault) -> str:
    """Format a fault as JSON for a message."""
    return codec.encode_json(dataclasses.asdict(fault)).decode()


def parse_fault(text: str) -> faults.Fault:
    """Parse a fault that `format_fault` returned."""
    values = codec.decode_json(text)
    values["kind"] = kinds.ErrorKind(values["kind"])
    values["ran"] = kinds.Ran(values["ran"])
    return faults.Fault(**values)


class Exchange:
    """One call or stream on a link.

    Parameters
    ----------
    link : Link
        The link it runs on.
    number : int
        Its number on that link.
    """

    def __init__(self, link: "Link", number: int) -> None:
        self.link = link
        self.number = number
        self._inbox: asyncio.Queue[messages.Body | messages.Run | None] = asyncio.Queue()
        self._has_expired = False
        self._timer: asyncio.TimerHandle | None = None

    def expire_at(self, when: float) -> None:
        """Make `receive` raise `TimeoutError` once the event loop's time reaches `when`.

        One timer serves the entire stream: a timeout around each `receive` costs 25 us per token.
        """
        self._timer = asyncio.get_running_loop().call_at(when, self._expire)

    def _expire(self) -> None:
        self._has_expired = True
        self._inbox.put_nowait(None)

    def put(self, body: messages.Body | messages.Run | None) -> None:
        """Queue a received message; None means that the link is lost."""
        self._inbox.put_nowait(body)

    def send(self, body: messages.Body) -> None:
        """Send a message on this exchange.

        Raises
        ------
        LinkLost
            If the link has ended.
        """
        self.link.send(body, self.number)

    def send_run(self, offset: int, texts: list[str]) -> None:
        """Send tokens, batched with those of other exchanges."""
        self.link.send_run(messages.Run(self.number, offset, texts))

    async def receive(self) -> messages.Body | messages.Run:
        """Wait for the next message.

        Raises
        ------
        LinkLost
            If the link ended first.
        TimeoutError
            If the time set by `expire_at` was reached first.
        """
        body = await self._inbox.get()
        if body is None:
            self._inbox.put_nowait(None)
            if self._has_expired:
                raise TimeoutError
            raise LinkLost(f"link to {self.link.peer_id} ended")
        return body

    def close(self) -> None:
        """Discard the exchange; later messages for it are dropped."""
        if self._timer is not None:
            self._timer.cancel()
        self.link.discard(self.number)


class Link:
    """One connection to a peer, ready once `run` has exchanged ``Hello``.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    local : Local
        State and callbacks shared by all links of this daemon.
    dialed : bool
        Whether this side opened the connection.
    on_ready : callable or None
        Called with the link once both sides have sent ``Hello``.
    heartbeat_seconds : float
        Maximum time between two sends of this side, in seconds.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        local: Local,
        *,
        dialed: bool,
        on_ready: Callable[["Link"], None] | None = None,
        heartbeat_seconds: float = HEARTBEAT_INTERVAL_SECONDS,
    ) -> None:
        self._heartbeat_seconds = heartbeat_seconds
        self._reader = reader
        self._writer = writer
        self._local = local
        self._on_ready = on_ready
        self.dialed = dialed
        self.hello: messages.Hello | None = None
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0
        self._numbers = itertools.count(1 if dialed else 2, 2)
        self._exchanges: dict[int, Exchange] = {}
        self._serving_tasks: set[asyncio.Task[None]] = set()
        self._pending_runs: list[messages.Run] = []
        self._flush_timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._last_sent_version = -1
        self._last_sent = 0.0
        self._last_heard = 0.0

    @property
    def peer_id(self) -> str:
        """Daemon id of the peer; empty before its ``Hello``."""
        return self.hello.daemon_id if self.hello else ""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return not self._closed

    # Sending

    def send(self, body: messages.Body, exchange: int = 0) -> None:
        """Send a message immediately.

        Raises
        ------
        LinkLost
            If the link has ended, or is ended now because the peer reads too slowly; nothing was
            written.
        """
        if self._closed:
            raise LinkLost(f"link to {self.peer_id} ended")
        if self._pending_runs and exchange:
            self._flush_runs()
        self._write(body, exchange)

    def _write(self, body: messages.Body, exchange: int) -> None:
        local = self._local
        self._last_sent_version = local.get_config_version()
        envelope = messages.Envelope(local.clock.tick(), self._last_sent_version, exchange, body)
        data = codec.encode(envelope)
        # Checked before writing: a closed connection still sends what its buffer holds.
        if self._writer.transport.get_write_buffer_size() + len(data) > MAX_UNSENT_BYTES:
            self.close()
            raise LinkLost(f"{self.peer_id} left more than {MAX_UNSENT_BYTES} bytes unread")
        self._writer.write(_LENGTH.pack(len(data)) + data)
        self.bytes_out += len(data) + _LENGTH.size
        self.messages_out += 1
        self._last_sent = asyncio.get_running_loop().time()

    @property
    def last_heard(self) -> float:
        """Event-loop time at which anything was last received."""
        return self._last_heard

    def keep_alive(self, seconds: float) -> None:
        """Send an empty frame if nothing has been sent for some seconds."""
        now = asyncio.get_running_loop().time()
        if self.is_open and now - self._last_sent >= seconds:
            self._send_heartbeat(now)

    def send_run(self, run: messages.Run) -> None:
        """Send tokens, batched with those that other streams send within the flush delay."""
        if self._closed:
            raise LinkLost(f"link to {self.peer_id} ended")
        self._pending_runs.append(run)
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(TOKEN_FLUSH_DELAY_SECONDS, self._flush_runs)

    def _flush_runs(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        if self._pending_runs and not self._closed:
            runs, self._pending_runs = self._pending_runs, []
            with contextlib.suppress(LinkLost):
                self._write(messages.Tokens.gather(runs), 0)

    def open(self, body: messages.Body) -> Exchange:
        """Open an exchange with its first message."""
        exchange = Exchange(self, next(self._numbers))
        self._exchanges[exchange.number] = exchange
        try:
            self.send(body, exchange.number)
        except LinkLost:
            self.discard(exchange.number)
            raise
        return exchange

    async def call(self, body: messages.Body, timeout: float) -> messages.Body:
        """Send a message and wait for its single reply.

        Parameters
        ----------
        body : messages.Body
            An opening message.
        timeout : float
            Seconds to wait.

        Raises
        ------
        LinkLost
            If the link ended or `timeout` passed; the message may have arrived.
        faults.FaultError
            If the peer replied with a refusal.
        """
        exchange = self.open(body)
        try:
            reply = await asyncio.wait_for(exchange.receive(), timeout)
        except TimeoutError as error:
            raise LinkLost(f"no reply from {self.peer_id} within {timeout} s") from error
        finally:
            exchange.close()
        if isinstance(reply, messages.Refusal):
            raise faults.FaultError(parse_fault(reply.fault))
        return reply

    def discard(self, number: int) -> None:
        """Discard an exchange."""
        self._exchanges.pop(number, None)

    # Receiving

    async def run(self) -> None:
        """Exchange ``Hello``, then serve the connection until it ends."""
        try:
            await self._exchange_hello()
        except (OSError, EOFError, TimeoutError, faults.TillerlaneError):
            self.close()
            raise
        if self._on_ready is not None:
            self._on_ready(self)
        self._local.on_up(self)
        watch = asyncio.create_task(self._monitor())
        try:
            while True:
                self._dispatch(await self._read_envelope(MAX_FRAME_BYTES))
        except faults.FaultError as error:
            reason = error.fault.message[:MAX_REASON_CHARACTERS]
            structlog.get_logger().warning("peer.malformed", peer=self.peer_id, reason=reason)
        except (OSError, EOFError, faults.TillerlaneError):
            pass
        finally:
            watch.cancel()
            self.close()
            self._local.on_down(self)

    async def _exchange_hello(self) -> None:
        local = self._local
        hello = messages.Hello(
            local.daemon_id,
            local.incarnation,
            local.fleet,
            local.address,
            pace_ms=int(self._heartbeat_seconds * 1000),
            features=messages.FEATURES,
        )
        self._write(hello, 0)
        envelope = await asyncio.wait_for(
            self._read_envelope(MAX_HELLO_BYTES), HELLO_TIMEOUT_SECONDS
        )
        theirs = envelope.body
        if not isinstance(theirs, messages.Hello):
            raise _refuse(f"got {type(theirs).__name__}, expected Hello")
        if (theirs.fleet, theirs.protocol) != (local.fleet, messages.PROTOCOL):
            got = f"fleet {theirs.fleet!r}, protocol {theirs.protocol}"
            raise _refuse(f"got {got}, expected {local.fleet!r}, {messages.PROTOCOL}")
        local.admit(theirs.daemon_id, self._read_certificate_name())
        self.hello = theirs

    def _read_certificate_name(self) -> str:
        certificate = self._writer.get_extra_info("peercert") or {}
        for name_parts in certificate.get("subject", ()):
            for key, value in name_parts:
                if key == "commonName":
                    return value
        return ""

    async def _read_envelope(self, limit: int) -> messages.Envelope:
        length = 0
        while length == 0:
            (length,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
            self._last_heard = asyncio.get_running_loop().time()
            self.bytes_in += _LENGTH.size
        if length > limit:
            raise _refuse(f"got a frame of {length} bytes, expected at most {limit}")
        envelope = codec.decode(await self._reader.readexactly(length))
        self.bytes_in += length
        self.messages_in += 1
        self._last_heard = asyncio.get_running_loop().time()
        local = self._local
        local.clock.update(envelope.clock)
        if self.hello is not None and envelope.config_version != local.get_config_version():
            local.on_peer_version(self, envelope.config_version)
        return envelope

    def _dispatch(self, envelope: messages.Envelope) -> None:
        body = envelope.body
        if isinstance(body, messages.Tokens):
            for run in body.split():
                exchange = self._exchanges.get(run.exchange)
                if exchange is not None:
                    exchange.put(run)
            return
        if envelope.exchange == 0:
            if not isinstance(body, messages.Heartbeat):
                self._local.notify(self, body)
            return
        exchange = self._exchanges.get(envelope.exchange)
        if exchange is not None:
            exchange.put(body)
        elif self._is_peer_number(envelope.exchange) and isinstance(body, _OPENING):
            self._serve(envelope.exchange, body)

    def _is_peer_number(self, number: int) -> bool:
        return (number % 2 == 0) == self.dialed

    def _serve(self, number: int, body: messages.Body) -> None:
        exchange = Exchange(self, number)
        self._exchanges[number] = exchange
        task = asyncio.create_task(self._serve_exchange(exchange, body))
        self._serving_tasks.add(task)
        task.add_done_callback(self._serving_tasks.discard)

    async def _serve_exchange(self, exchange: Exchange, body: messages.Body) -> None:
        try:
            await self._local.serve(exchange, body)
        except faults.FaultError as error:
            try_send(exchange, messages.Refusal(format_fault(error.fault)))
        except LinkLost:
            pass
        finally:
            exchange.close()

    async def _monitor(self) -> None:
        """Send heartbeats while idle; end the link when the peer's heartbeats stop."""
        loop = asyncio.get_running_loop()
        self._last_heard = loop.time()
        assert self.hello is not None
        timeout = TIMEOUT_FACTOR * self.hello.pace_ms / 1000
        while not self._closed:
            now = loop.time()
            if now - self._last_heard > timeout:
                self.abort()
                return
            if now - self._last_sent >= self._heartbeat_seconds * 0.99:
                self._send_heartbeat(now)
            next_send = self._last_sent + self._heartbeat_seconds
            next_check = self._last_heard + timeout
            await asyncio.sleep(max(0.01, min(next_send, next_check) - loop.time()))

    def _send_heartbeat(self, now: float) -> None:
        """Send an empty frame, or an envelope if the configuration version has changed."""
        if self._last_sent_version == self._local.get_config_version():
            self._writer.write(_EMPTY_FRAME)
            self.bytes_out += len(_EMPTY_FRAME)
            self.messages_out += 1
            self._last_sent = now
            return
        with contextlib.suppress(LinkLost):
            self._write(messages.Heartbeat(), 0)

    def close(self) -> None:
        """End the link immediately and notify every open exchange.

        What the link still holds is sent if the peer reads it soon.
        """
        if self._closed:
            return
        self._flush_runs()
        self._closed = True
        for exchange in list(self._exchanges.values()):
            exchange.put(None)
        self._writer.close()
        if self._writer.transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_SECONDS, self._writer.transport.abort)

    def abort(self) -> None:
        """End the link without sending what it still holds: its peer has fallen silent."""
        self.close()
        self._writer.transport.abort()


def try_send(channel: Exchange | Link, body: messages.Body) -> None:
    """Send, ignoring a link that has ended: its owner is notified separately."""
    try:
        channel.send(body)
    except LinkLost:
        return


def _refuse(message: str) -> faults.FaultError:
    return faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))
