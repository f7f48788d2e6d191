"""A simulated target of the platform, which runs in the event loop of the test and on its clock.

It implements the published protocol: incarnations, "not run" responses, streams of numbered events,
and copies of a run's memory, on order or incrementally. Faults are injected through its attributes.
"""

import asyncio
import dataclasses
import enum
import itertools
import re
from collections.abc import Callable

import msgspec

from tillerlane.gateway.http import http_head, http_server
from tillerlane.testing import close_delimited, runner_memory, silent_transport

__all__ = [
    "SEAL_HEADER",
    "Arrival",
    "LostAnswer",
    "MemoryCopy",
    "PlatformRunner",
    "RanRequest",
    "build_event",
    "strip_versions",
]

SEAL_HEADER = b"Response-Seal"
HEALTH_PATH = "/health"
INCREMENTAL_COPY_SECONDS = 0.01
"""Duration of a repeated copy, which transfers only the part that is new."""
PREFILL_CHECK_INTERVAL_SECONDS = 0.05
POISON_EXIT_DELAY_SECONDS = 0.08
"""Time from the start of a poison request's run to the exit of its runner."""
CLOSE_SECONDS = 0.01
"""Time that a crashed process's connections take to close, after it has stopped listening."""


Body = http_server.Responder | close_delimited.CloseDelimitedResponder
_LABEL = re.compile(rb"^:[^\n]*\n?", re.MULTILINE)


def build_event(
    request_id: str, number: int, id_line: bytes | None = None, *, version: str = ""
) -> bytes:
    """Build the event with a given number of a request's stream.

    `id_line` takes the place of the line with its number. With a version of software, the event
    names it in a comment.
    """
    line = f"id: {number}\n".encode() if id_line is None else id_line
    label = f": {version}\n" if version else ""
    return line + f"data: {request_id}-{number}\n{label}\n".encode()


def strip_versions(body: bytes) -> bytes:
    """Remove the versions of software from the events of a stream."""
    return _LABEL.sub(b"", body)


@dataclasses.dataclass(slots=True)
class RanRequest:
    """A request that a runner started to process.

    Attributes
    ----------
    target_id, software_version : str
        Target that it ran on, and the version of that target's software.
    events : int
        Number of the last event written.
    ended : str
        Empty while it runs; afterwards how it ended: ``whole``, ``gone`` (connection lost),
        ``stopped``, ``crashed``, ``lost``, ``denied``, or an ending of `broken_answers`.
    """

    request_id: str
    headers: dict[str, str]
    path: str
    body: bytes
    began: float
    first_event: int = 1
    events: int = 0
    ended: str = ""
    ended_at: float = 0.0
    is_stopped: bool = False
    is_mute: bool = False
    prompt_tokens: int = 0
    target_id: str = ""
    software_version: str = ""

    @property
    def shared_parts(self) -> list[str]:
        """Ids of the parts of its prompt, without the last."""
        listed = self.headers.get("prompt-prefix", "").split(",")
        return [item.partition(":")[0] for item in listed[:-1]]

    @property
    def is_resumed(self) -> bool:
        """Whether the run was resumed here from a copy, after an event already sent."""
        return bool(self.headers.get("kv-from") and self.headers.get("last-event-id"))


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a runner, whether it was run or not; times are event-loop times.

    Attributes
    ----------
    rejected_at : float
        Time at which it was rejected; 0 if it was not.
    backoff : float
        Back-off in seconds that the rejection requested.
    """

    request_id: str
    at: float
    rejected_at: float = 0.0
    backoff: float = 0.0


class LostAnswer(enum.StrEnum):
    """What happens to the connection of an order whose answer is lost."""

    RESET = "reset"
    CLOSE = "close"
    """It is closed regularly."""
    HANG = "hang"
    """It stays open."""


@dataclasses.dataclass(slots=True)
class MemoryCopy:
    """A copy of a run's memory, held by a runner."""

    request_id: str
    events: int
    source: "PlatformRunner"


class PlatformRunner:
    """One incarnation of a target.

    Parameters
    ----------
    target_id, address : str
        Its id, and the address under which entries reach it.
    listen_address : str
        Address it listens on, if there is a proxy in front of it.
    length : int
        Number of events in each stream; 0 for a plain service.
    pace : float
        Seconds per event of a stream, or per plain request.
    copy_seconds : float
        Duration of a full copy of a run's memory.
    reading_seconds : float
        Prefill time, from a stream's request to its response head.
    slots, queue : int
        Number of plain requests processed concurrently, and number of queued ones; further requests
        are rejected with 503. Unbounded with 0 slots.
    slowdown : float
        Relative increase of a plain request's duration when all slots are in use.
    memory_tokens : int
        Memory for prompts and reservations; unbounded, and no reservations, with 0.
    software_version : str
        Version of its software.  A stream is continued whatever version began it.
    started_ms : int
        Unix milliseconds of its start, which its reports name; 0 if they name none.

    Attributes
    ----------
    memory : runner_memory.RunnerMemory or None
        Its memory, if it is bounded.
    pauses_runs : bool
        Preempts all runs.
    takes_no_connections : bool
        New connections to it hang, while open ones work.
    report_status : int
        Status of responses to calls for a report of its runs.
    reports_start : bool
        Whether its report names its start.
    loses_reports : bool
        Never responds to calls for a report.
    hold_status : int
        Status of responses to calls that reserve memory, none of which is reserved; 0 for the usual
        ones.
    hold_seconds : float
        Time until a response to such a call is sent.
    loses_holds : bool
        Reserves memory and closes the connection without a response.
    ran : list of RanRequest
        Requests that it processed.
    answer_status : int
        Status of plain responses.
    refuses : bool
        Rejects every request as not run.
    loses_answer : bool
        Runs a request and closes the connection without a response.
    loses_copies : bool
        Refuses to resume from any copy.
    copied, stopped : list of str
        Request ids of the runs that it was ordered to copy while they run, or to stop.
    answers_for : str
        Request id to put into responses instead of the right one.
    is_dark : bool
        Accepts connections and never responds.
    is_cut_off : bool
        Keeps working, but exchanges nothing with any other process.
    is_mute : bool
        Processes requests without sending any of the results; a muted run stays muted.
    works_on : bool
        Continues a run when the connection of its stream closes.
    loses_stop_answers : int
        Number of orders to stop that it carries out and leaves without an answer from now on.
    loses_copy_answers : int
        The same of orders to copy a run that continues.
    lost_answer : LostAnswer
        What happens to the connections of these orders.
    forgets_stopped_runs : bool
        Answers further orders about a run that it has stopped as if it had no such run.
    names_no_request : bool
        Omits the request id from rejections.
    denies_status : int
        Status of a false "not run" response to a request that did run; 0 for none.
    rejection_seconds : float
        Time until a rejection is sent.
    preface, surplus : bytes
        Bytes sent before and after each complete response.
    poison_bodies : frozenset of bytes
        Bodies of requests that end it, `POISON_EXIT_DELAY_SECONDS` after their run started.
    poison_parts : frozenset of str
        Ids of parts of prompts that end it likewise; the last part of a prompt never does.
    is_close_delimited : bool
        Sends responses with neither a length nor chunks; they end with their connections.
    is_chunked : bool
        Sends plain responses in chunks instead of with a length.
    labels_events : bool
        Puts the version of its software into the events of its streams.
    body_seconds : float
        Pause in the middle of the body of such a plain response.
    ends_inside : int
        Number of an event in the middle of which a stream ends, as if it were complete.
    limit : str
        Rate limit in requests per second that each response announces; empty for none.
    backoff : str
        Back-off in seconds that a rejection with 503 requests; empty for none.
    leaving : str
        Value of the leaving header in each response; empty to omit it.
    arrived : list of Arrival
        Requests that reached it, in order, except those addressed to another incarnation.
    on_crash : callable
        Called after a crash.
    skips_event, breaks_at : int
        Number of an event that a stream omits, or at which it breaks off.
    id_lines : dict of int to bytes
        Lines sent in place of those with the number of an event, by that number.
    comment : bytes
        Sent before each event.
    copy_offset : int
        Number of events by which copies that it makes differ from its runs.
    continues_from_copy : bool
        Sends the events behind those that a copy holds, instead of behind the caller's last one.
    ignores_last_event : bool
        Starts each stream at its first event.
    """

    others: dict[str, "PlatformRunner"]

    def __init__(
        self,
        target_id: str,
        address: str,
        others: dict[str, "PlatformRunner"],
        *,
        length: int = 0,
        pace: float = 0.03,
        copy_seconds: float = 0.05,
        reading_seconds: float = 0.0,
        listen_address: str = "",
        slots: int = 0,
        queue: int = 0,
        slowdown: float = 0.0,
        memory_tokens: int = 0,
        software_version: str = "",
        started_ms: int = 0,
    ) -> None:
        self.target_id = target_id
        self.started_ms = started_ms
        self.software_version = software_version
        self.address = address
        self._listen_address = listen_address or address
        self.others = others
        others[address] = self
        self.length = length
        self.pace = pace
        self.copy_seconds = copy_seconds
        self.reading_seconds = reading_seconds
        self.ran: list[RanRequest] = []
        self.rejected: list[str] = []
        self.copies: dict[str, MemoryCopy] = {}
        self.answer_status = 200
        self.refuses = False
        self.loses_answer = False
        self.answers_for = ""
        self.loses_copies = False
        self.is_dark = False
        self.is_cut_off = False
        self.is_mute = False
        self.works_on = False
        self.names_no_request = False
        self.denies_status = 0
        self.rejection_seconds = 0.0
        self.preface = b""
        self.surplus = b""
        self.poison_bodies: frozenset[bytes] = frozenset()
        self.poison_parts: frozenset[str] = frozenset()
        self.loses_stop_answers = 0
        self.loses_copy_answers = 0
        self.lost_answer = LostAnswer.RESET
        self.forgets_stopped_runs = False
        self.is_close_delimited = False
        self.is_chunked = False
        self.labels_events = False
        self.body_seconds = 0.0
        self.ends_inside = 0
        self.limit = ""
        self.backoff = ""
        self.leaving = ""
        self.slots = slots
        self.queue = queue
        self.slowdown = slowdown
        self.memory = runner_memory.RunnerMemory(memory_tokens) if memory_tokens else None
        self.pauses_runs = False
        self.takes_no_connections = False
        self.report_status = 200
        self.reports_start = True
        self.loses_reports = False
        self.hold_status = 0
        self.hold_seconds = 0.0
        self.loses_holds = False
        self._in_progress = 0
        """Number of plain requests that are running or queued."""
        self._free_slots = asyncio.Semaphore(slots)
        self.arrived: list[Arrival] = []
        self.on_crash: Callable[[PlatformRunner], None] = lambda runner: None
        self.has_crashed = False
        self.skips_event = 0
        self.breaks_at = 0
        self.id_lines: dict[int, bytes] = {}
        self.comment = b""
        self.copy_offset = 0
        self.continues_from_copy = False
        self.ignores_last_event = False
        self.dropped: list[str] = []
        self._transfer_lock = asyncio.Lock()
        """Serializes the transfer of copies."""
        self._ordered: dict[tuple[str, str], str] = {}
        """Handles by (request id, destination), so that a repeated order gets the same handle."""
        self._transferring: set[str] = set()
        """Ids of requests whose memory is being copied."""
        self._streams: dict[str, http_server.Responder] = {}
        """Open streams by request id."""
        self._detached: set[asyncio.Task[None]] = set()
        """Tasks of runs that continue after their connections have closed."""
        self.copied: list[str] = []
        self.stopped: list[str] = []
        self._handles = itertools.count(1)
        limits = http_server.ServerLimits()
        self._server = http_server.Server(self._serve, limits, lambda error: None)

    async def start(self) -> None:
        """Start to listen."""
        await self._server.listen(self._listen_address)

    def crash(self) -> None:
        """Exit immediately, resetting every connection."""
        self._end_runs()
        self._server.abort_all()

    def end_process(self) -> None:
        """Exit immediately; the operating system closes every connection regularly."""
        self.close_connections()
        self._end_runs()

    def close_connections(self) -> None:
        """Close every connection regularly, and with them the runs, as at the begin of an exit."""
        self._record_crash()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.close()

    def _end_runs(self) -> None:
        """Accept no connections any more, and end all runs."""
        self.has_crashed = True
        self._server.stop_accepting()
        self._record_crash()
        self.others.pop(self.address, None)

    def _record_crash(self) -> None:
        now = asyncio.get_running_loop().time()
        for run in self.ran:
            run.ended_at = run.ended_at or now
            run.ended = run.ended or "crashed"

    def reset_connections(self, request_id: str = "") -> None:
        """Reset the connection of a request's stream, or of all; the runs may continue."""
        for run_id, responder in list(self._streams.items()):
            if run_id == (request_id or run_id):
                self._break_off(responder)

    def _break_off(self, responder: http_server.Responder) -> None:
        """Break off a stream so that it does not look complete, whatever its framing."""
        if self.is_close_delimited:
            close_delimited.reset(responder)
        responder.abort()

    def go_dark(self) -> None:
        """Stop responding: connections stay open, nothing is sent, new ones are not accepted."""
        self._server.stop_accepting()
        self.is_dark = True

    def silence_connections(self) -> None:
        """Have all open connections carry nothing more, without an end; new ones work."""
        for connection in list(self._server.connections):
            silent_transport.detach(connection)

    async def _serve(self, request: http_server.Request, responder: http_server.Responder) -> None:
        headers = {name.decode().lower(): value.decode() for name, value in request.head.headers}
        if self.is_dark or self.is_cut_off:
            await asyncio.sleep(3600)
        path = request.head.target.decode()
        if path == "/kv-move":
            await self._move(msgspec.json.decode(request.body), responder)
        elif path.startswith("/kv-handle/"):
            self._drop_copy(path.rpartition("/")[2])
            await responder.send_response(http_head.ResponseHead(200, []), b"")
        elif path == "/report":
            await self._report(responder)
        elif path == HEALTH_PATH:
            answer = http_head.ResponseHead(200, [(b"Instance-Id", self.target_id.encode())])
            await responder.send_response(answer, b"")
        elif path == "/hold-take":
            await self._take_hold(msgspec.json.decode(request.body), responder)
        elif path.startswith("/hold-drop/"):
            is_known = self.memory is not None and self.memory.drop_hold(path.rpartition("/")[2])
            await responder.send_response(http_head.ResponseHead(200 if is_known else 404, []), b"")
        else:
            await self._run(request, headers, responder)

    def _drop_copy(self, handle: str) -> None:
        """Free a copy; on the runner that made it, at both ends."""
        self.dropped.append(handle)
        is_source = handle in self._ordered.values()
        for runner in list(self.others.values()) if is_source else [self]:
            runner.copies.pop(handle, None)

    async def _report(self, responder: http_server.Responder) -> None:
        """Report the active runs; a run that reads its prompt counts, but is not listed."""
        active = [run for run in self.ran if not run.ended and self.length]
        listed = [[run.request_id, 0, run.events, 5] for run in active if run.events]
        report: dict[str, object] = {"waiting": 0, "running": len(active), "runs": listed}
        if self.pauses_runs:
            report = {"waiting": len(active), "running": 0, "runs": []}
        if self.started_ms and self.reports_start:
            report["born"] = self.started_ms
        if self.loses_reports:
            await asyncio.sleep(3600)
        body = msgspec.json.encode(report)
        status = self.report_status
        await responder.send_response(http_head.ResponseHead(status, []), body)

    async def _take_hold(self, order: dict[str, int], responder: http_server.Responder) -> None:
        status, hold = self.hold_status or 404, ""
        if self.memory is not None and not self.hold_status:
            hold = self.memory.take_hold(order["tokens"], order["ttl_ms"] / 1000)
            status = 200 if hold else 503
        await asyncio.sleep(self.hold_seconds)
        if self.loses_holds:
            responder.abort()
            return
        body = msgspec.json.encode({"hold": hold}) if hold else b""
        await responder.send_response(http_head.ResponseHead(status, []), body)

    async def _reject(self, status: int, request_id: str, responder: http_server.Responder) -> None:
        self.rejected.append(request_id)
        await asyncio.sleep(self.rejection_seconds)
        await self._send_refusal(status, request_id, responder)

    def _record_rejection(self, arrival: Arrival) -> None:
        arrival.rejected_at = asyncio.get_running_loop().time()
        arrival.backoff = float(self.backoff or 0)

    async def _send_refusal(
        self, status: int, request_id: str, responder: http_server.Responder
    ) -> None:
        extra = [(b"Instance-Id", b"other")] if status == 421 else [(b"Not-Run", b"1")]
        extra += self._build_feedback_headers(status)
        if not self.names_no_request:
            extra.append((b"Request-Id", (self.answers_for or request_id).encode()))
        await responder.send_response(http_head.ResponseHead(status, extra), b"")

    async def _run(
        self,
        request: http_server.Request,
        headers: dict[str, str],
        responder: http_server.Responder,
    ) -> None:
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.target_id) != self.target_id:
            await self._reject(421, request_id, responder)
            return
        arrival = Arrival(request_id, asyncio.get_running_loop().time())
        self.arrived.append(arrival)
        first = int(headers.get("last-event-id", "0")) + 1
        copy_from = headers.get("kv-from", "")
        held = self.copies.get(copy_from.rpartition("/")[2])
        if held is not None and self.continues_from_copy:
            first = held.events + 1
        if self.ignores_last_event:
            first = 1
        is_full = self.slots > 0 and self._in_progress >= self.slots + self.queue
        if self.refuses or is_full or (copy_from and not self._use_copy(copy_from, request_id)):
            await self._reject(503, request_id, responder)
            self._record_rejection(arrival)
            return
        if self.memory is not None and not copy_from:
            prompt_tokens = int(headers.get("token-counts", "0").partition(",")[0])
            await self.memory.admit(request_id, prompt_tokens, headers.get("hold", ""))
        run = RanRequest(
            request_id,
            headers,
            request.head.target.decode(),
            bytes(request.body),
            asyncio.get_running_loop().time(),
            first,
            first - 1,
            target_id=self.target_id,
            software_version=self.software_version,
        )
        self.ran.append(run)
        if await self._send_broken(run, responder):
            return
        if self.loses_answer and self.length:
            self._record_end(run, "lost")
            responder.abort()
            return
        if self.denies_status:
            self._record_end(run, "denied")
            await self._send_refusal(self.denies_status, request_id, responder)
            return
        if self.length:
            await self._stream(run, responder)
            return
        await self._exit_if_poison(run)
        try:
            await self._work(run)
        except asyncio.CancelledError:
            self._record_end(run, "gone")
            raise
        self._record_end(run, "whole")
        if self.is_mute:
            await asyncio.sleep(3600)
        if self.loses_answer:
            responder.abort()
            return
        head = http_head.ResponseHead(
            self.answer_status,
            [
                (b"Request-Id", (self.answers_for or request_id).encode()),
                (SEAL_HEADER, b"s.1"),
                *self._build_feedback_headers(self.answer_status),
            ],
        )
        if self.is_close_delimited:
            answer = close_delimited.CloseDelimitedResponder(responder)
            await answer.start_response(head)
            await answer.write(b"answer to ")
            await asyncio.sleep(self.body_seconds)
            await answer.write(request_id.encode())
            await answer.finish()
            return
        if self.is_chunked:
            await responder.start_response(head)
            await responder.write(b"answer to " + request_id.encode())
            await responder.finish()
            return
        connection = responder._connection  # the server's API cannot send invalid bytes
        await connection.write(self.preface)
        await responder.send_response(head, b"answer to " + request_id.encode())
        await connection.write(self.surplus)

    async def _send_broken(self, run: RanRequest, responder: http_server.Responder) -> bool:
        """Break the answer to a run, as simulated processes may; return whether that was done."""
        return False

    async def _work(self, run: RanRequest) -> None:
        """Wait for the duration of a plain request, in one of the slots if they are bounded."""
        if not self.slots:
            await asyncio.sleep(self.pace)
            return
        self._in_progress += 1
        try:
            async with self._free_slots:
                run.began = asyncio.get_running_loop().time()
                share = min(1.0, self._in_progress / self.slots)
                await asyncio.sleep(self.pace * (1 + self.slowdown * share))
        finally:
            self._in_progress -= 1

    def _build_feedback_headers(self, status: int) -> http_head.Headers:
        """Build the response headers that describe the state of this runner."""
        values = {
            b"Server-Limit": self.limit,
            b"Server-Leaving": self.leaving,
            b"Retry-After": self.backoff if status == 503 else "",
        }
        return [(name, text.encode()) for name, text in values.items() if text]

    def _use_copy(self, copy_from: str, request_id: str) -> bool:
        """Consume a copy that is held here, by its handle or, if incremental, by its request id."""
        handle = copy_from.rpartition("/")[2]
        copy = self.copies.pop(handle, None)
        if self.loses_copies or copy is None or copy.request_id != request_id:
            return False
        for runner in list(self.others.values()):
            runner.copies.pop(handle, None)  # a copy can be used once, at one of its ends
        return True

    async def _stream(self, run: RanRequest, responder: http_server.Responder) -> None:
        headers = [
            (b"Request-Id", run.request_id.encode()),
            (SEAL_HEADER, b"s.2"),
            *self._build_feedback_headers(200),
        ]
        head = http_head.ResponseHead(200, headers)
        self._streams[run.request_id] = responder
        body = responder
        if self.is_close_delimited:
            body = close_delimited.CloseDelimitedResponder(responder)
        try:
            await self._prefill(run)
            run.is_mute = self.is_mute
            if not run.is_mute:
                await body.start_response(head)
            await self._exit_if_poison(run, body)
            if await self._write_events(run, body):
                await body.finish()
                await responder._connection.write(self.surplus)
            elif not responder.is_finished:
                self._break_off(responder)
        except asyncio.CancelledError:
            if self.works_on or self.is_cut_off:
                task = asyncio.get_running_loop().create_task(self._write_events(run, None))
                self._detached.add(task)
                task.add_done_callback(self._detached.discard)
            else:
                self._record_end(run, "gone")
            raise
        except Exception:
            self._record_end(run, "gone")
            raise
        finally:
            self._streams.pop(run.request_id, None)

    async def _prefill(self, run: RanRequest) -> None:
        """Wait for the prefill time of a request; ends early if the run is stopped."""
        left = self.reading_seconds
        while left > 0 and not run.is_stopped:
            pause = min(PREFILL_CHECK_INTERVAL_SECONDS, left)
            await asyncio.sleep(pause)
            left -= pause

    async def _write_events(self, run: RanRequest, responder: Body | None) -> bool:
        """Process a run, streaming to `responder` if given; return whether it completed."""
        for number in range(run.events + 1, self.length + 1):
            if self.pace:
                await asyncio.sleep(self.pace)
            while self.pauses_runs and not run.ended:
                await asyncio.sleep(self.pace)
            if self.is_dark:
                await asyncio.sleep(3600)
            if number == self.breaks_at:
                self._record_end(run, "gone")
                if run.request_id in self._streams:
                    self._break_off(self._streams[run.request_id])
            if run.ended:
                if responder is not None:
                    responder.abort()
                return False
            run.is_mute = run.is_mute or self.is_mute
            if number == self.ends_inside and responder is not None:
                await responder.write(self._build_event(run, number)[:-1])
                self._record_end(run, "gone")
                await responder.finish()
                return False
            is_sent = not run.is_mute and not self.is_cut_off and number != self.skips_event
            if responder is not None and is_sent:
                await responder.write(self.comment + self._build_event(run, number))
            run.events = number
            self._grow_copy(run)
        self._record_end(run, "whole")
        return not run.is_mute and not self.is_cut_off

    def _build_event(self, run: RanRequest, number: int) -> bytes:
        version = self.software_version if self.labels_events else ""
        return build_event(run.request_id, number, self.id_lines.get(number), version=version)

    def _record_end(self, run: RanRequest, ended: str) -> None:
        run.ended = run.ended or ended
        run.ended_at = run.ended_at or asyncio.get_running_loop().time()
        if self.memory is not None:
            self.memory.release(run.request_id)

    async def _exit_if_poison(self, run: RanRequest, body: Body | None = None) -> None:
        """Crash if the request is a poison request.

        A close-delimited stream then ends inside its first event.
        """
        if run.body in self.poison_bodies or self.poison_parts.intersection(run.shared_parts):
            await asyncio.sleep(POISON_EXIT_DELAY_SECONDS)
            if body is None or not self.is_close_delimited:
                self._exit()
                await asyncio.sleep(3600)
            self._record_end(run, "crashed")
            await body.write(self._build_event(run, 1)[:-1])
            self._server.stop_accepting()
            asyncio.get_running_loop().call_later(CLOSE_SECONDS, self._exit)
            body.abort()
            await asyncio.sleep(3600)

    def _exit(self) -> None:
        self.crash()
        self.on_crash(self)

    def _grow_copy(self, run: RanRequest) -> None:
        backup = self.others.get(run.headers.get("kv-backup", ""))
        if backup is not None:
            events = run.events + self.copy_offset
            backup.copies[run.request_id] = MemoryCopy(run.request_id, events, self)

    def find_run(self, request_id: str) -> RanRequest | None:
        """Find the run of a request that is still active."""
        for run in self.ran:
            if run.request_id == request_id and not run.ended:
                return run
        return None

    def _find_memory(self, request_id: str) -> RanRequest | None:
        """Find the run of a request whose memory is here: active, or stopped."""
        active = self.find_run(request_id)
        if active is not None or self.forgets_stopped_runs:
            return active
        stopped = (run for run in self.ran if run.request_id == request_id and run.is_stopped)
        return next(stopped, None)

    def _stop(self, run: RanRequest) -> None:
        """Stop a run immediately and close its stream regularly without its end."""
        run.is_stopped = True
        self._record_end(run, "stopped")
        self.stopped.append(run.request_id)
        responder = self._streams.get(run.request_id)
        if responder is not None:
            close_delimited.close(responder)

    async def _answer_move(
        self,
        order: dict[str, object],
        status: int,
        body: bytes,
        responder: http_server.Responder,
        lost: LostAnswer | None = None,
    ) -> None:
        """Answer an order about a run's memory, or lose the answer."""
        self._record_order(order, status, lost)
        if lost is None:
            await responder.send_response(http_head.ResponseHead(status, []), body)
        elif lost is LostAnswer.HANG:
            await asyncio.sleep(3600)
        elif lost is LostAnswer.RESET:
            close_delimited.reset(responder)
            responder.abort()
        else:
            close_delimited.close(responder)

    def _record_order(self, order: dict[str, object], status: int, lost: LostAnswer | None) -> None:
        """Record the answer to an order about a run's memory, as simulated processes do."""

    def _choose_loss(self, order: dict[str, object]) -> LostAnswer | None:
        """How the answer to an order that was carried out is lost; None if it is not."""
        if order.get("last"):
            is_lost = self.loses_stop_answers > 0
            self.loses_stop_answers -= is_lost
        else:
            is_lost = self.loses_copy_answers > 0
            self.loses_copy_answers -= is_lost
        return self.lost_answer if is_lost else None

    async def _send_copy(
        self, destination: "PlatformRunner", handle: str, copy: MemoryCopy
    ) -> bool:
        """Put a copy into another runner; return whether it is there."""
        destination.copies[handle] = copy
        return True

    async def _move(self, order: dict[str, object], responder: http_server.Responder) -> None:
        run = self._find_memory(str(order["id"]))
        if run is None or run.request_id in self._transferring:
            await self._answer_move(order, 404 if run is None else 409, b"", responder)
            return
        destination = self.others.get(str(order["target_version"]))
        destination_key = (run.request_id, str(order["target_version"]))
        is_repeated = destination_key in self._ordered
        handle = self._ordered.setdefault(
            destination_key, f"h{next(self._handles)}-{self.target_id}"
        )
        if order.get("last"):
            self._stop(run)
        else:
            self.copied.append(run.request_id)
        self._transferring.add(run.request_id)
        try:
            async with self._transfer_lock:
                await asyncio.sleep(INCREMENTAL_COPY_SECONDS if is_repeated else self.copy_seconds)
        finally:
            self._transferring.discard(run.request_id)
        reply = {"handle": handle, "made": run.events}
        copy = MemoryCopy(run.request_id, run.events + self.copy_offset, self)
        status = 200
        if (
            destination is None
            or destination.refuses
            or not await self._send_copy(destination, handle, copy)
        ):
            status = 503
        if order.get("last"):
            self.copies[handle] = copy
        body = msgspec.json.encode(reply if status == 200 or order.get("last") else {})
        await self._answer_move(order, status, body, responder, self._choose_loss(order))
