"""Open connections to the runners go silent for good; clients give their streams up."""

import asyncio
import contextlib
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import common  # noqa: E402

STREAMS = 24
EVENTS = 400
EVENT_SECONDS = 0.05
QUIET_SECONDS = 3.0
"""Streams have run for so long when the connections go silent."""
GIVE_UP_SECONDS = 7.2
"""Clients give a stream up after two seconds, four times the objective (1.8 s) or eight times the
pause (180 ms), whichever is longest."""
STILL_SECONDS = 0.5
SHARE = 0.25
CONTACT_SECONDS = 3.0
ROUTE = {
    "name": "r-5pa2yhv",
    "host": "ficu95.example",
    "path_prefix": "/lohu930/",
    "kind": "streaming",
    "timeout_ms": 39000,
    "goal_ms": 1800,
    "priority": 1,
    "service": "huvo11a",
    "max_attempts": 1,
    "public": True,
    "sticky": True,
    "resumable": False,
    "gap_aim_ms": 180,
}
ENGINE = {
    "slots": 48,
    "kv_capacity": 34414,
    "kv_token_bytes": 131072,
    "link_mbps": 19000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "handle_s": 5.0,
    "models": [{"name": "m"}],
}


class Proxy:
    """Forwards connections to a runner; those that are open can go silent for good."""

    def __init__(self, address: str, upstream: str) -> None:
        self._address, self._upstream = address, upstream
        self._generation = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def silence(self) -> None:
        """Pass nothing more on over the connections that are open now, nor their ends."""
        self._generation += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self._generation
        host, _, port = self._upstream.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return

        try:
            await asyncio.gather(
                self._pump(reader, back, generation), self._pump(there, writer, generation)
            )
        except asyncio.CancelledError:
            pass  # the case ends
        finally:
            for end in (back, writer):
                end.transport.abort()

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, generation: int
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                await self._wait_if_silent(generation)
                sink.write(data)
                await sink.drain()
        await self._wait_if_silent(generation)
        sink.transport.abort()

    async def _wait_if_silent(self, generation: int) -> None:
        if generation < self._generation:
            await asyncio.Event().wait()


class Run:
    """A run at a runner, or its memory after it was stopped."""

    def __init__(self, request_id: str, made: int) -> None:
        self.request_id = request_id
        self.made = made
        self.is_working = True
        self.worked_at = time.monotonic()


class Runner(common.Target):
    """A model runner: streams events, and stops or resumes a run as it is told."""

    handles: dict[str, Run] = {}
    """Stopped runs by handle, at any runner."""

    def __init__(self, fleet: common.Fleet, name: str, number: int) -> None:
        super().__init__(fleet, name, "huvo11a", number)
        self.upstream = f"127.{fleet.net}.4.{number}:9000"
        self.proxy = Proxy(self.address, self.upstream)
        self.runs: dict[str, Run] = {}

    async def start(self) -> None:
        """Listen behind the proxy, and send heartbeats."""
        await self.proxy.start()
        host, _, port = self.upstream.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._heartbeats = asyncio.create_task(self._beat())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in head[1:])
                if name
            }
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            method, path = head[0].split()[:2]
            if path == "/kv-move":
                await self._move(writer, json.loads(body))
            elif path == "/hold-take":
                self._answer(writer, "200 OK", b'{"hold": "h-1"}')
            elif path == "/report":
                self._answer(writer, "200 OK", self._report())
            elif method == "DELETE" or path == "/health":
                self._answer(writer, "200 OK", b"{}")
            else:
                await self._stream(reader, writer, headers)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer(self, writer: asyncio.StreamWriter, status: str, body: bytes) -> None:
        head = (
            f"HTTP/1.1 {status}\r\nInstance-Id: {self.name}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)

    def _report(self) -> bytes:
        runs = [
            [run.request_id, 200 + 4 * run.made, run.made, 5]
            for run in self.runs.values()
            if run.is_working
        ]
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": len(runs),
            "kv_used": sum(run[1] for run in runs),
            "kv_total": ENGINE["kv_capacity"],
            "handles": len(self.handles),
            "pinned": 0,
            "held": 0,
            "state": self.state,
            "next_token": 0,
            "runs": runs,
        }
        return json.dumps(report).encode()

    async def _move(self, writer: asyncio.StreamWriter, order: dict[str, object]) -> None:
        run = self.runs.get(str(order["id"]))
        self._fleet.record.write(f"{self.name}: kv-move {order}")
        if run is None or not run.is_working:
            self._answer(writer, "404 Not Found", b"")
            return
        if order.get("last"):
            run.is_working = False
        handle = f"{self.name}-{run.request_id}"
        self.handles[handle] = run
        self._answer(writer, "200 OK", json.dumps({"handle": handle, "made": run.made}).encode())

    async def _stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        request_id = headers["request-id"]
        made = 0
        if "kv-from" in headers:
            known = self.handles.pop(headers["kv-from"].partition("/")[2], None)
            if known is None:
                self._answer(writer, "503 Unavailable", b"")
                return
            made = int(headers.get("last-event-id", "0"))
        run = self.runs[request_id] = Run(request_id, made)
        self.ran.append((time.monotonic(), request_id))
        self._fleet.record.write(f"{self.name}: runs {request_id} from event {made + 1}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: s.{request_id}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        closed = asyncio.create_task(reader.read(1))
        while run.made < EVENTS and run.is_working and not closed.done():
            run.made += 1
            event = f"id: {run.made}\ndata: {'x' * 250}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            run.worked_at = time.monotonic()
            await asyncio.sleep(EVENT_SECONDS)
        how = "done" if run.made == EVENTS else "stopped" if not run.is_working else "closed"
        if run.is_working and run.made == EVENTS:
            writer.write(b"0\r\n\r\n")
        run.is_working = False
        self._fleet.record.write(f"{self.name}: ends {request_id} at event {run.made}: {how}")


async def read_stream(fleet: common.Fleet, number: int, left_at: dict[str, float]) -> str:
    """A client: reads a stream to its end, or gives it up."""
    entry = fleet.entries[number % len(fleet.entries)]
    request_id = f"record-{number}"
    reader, writer = await asyncio.open_connection(entry.ip, common.FRONT)
    writer.write(
        f"POST {ROUTE['path_prefix']}2f HTTP/1.1\r\nHost: {ROUTE['host']}\r\n"
        f"Request-Id: {request_id}\r\nModel: m\r\nToken-Counts: 200,1600\r\n"
        f"Prompt-Prefix: 5c1e07a2:79,{number:08x}:121\r\nDeadline-Ms: 39000\r\n"
        "Content-Length: 4\r\n\r\nscan".encode()
    )
    received = b""
    outcome = "whole"
    try:
        while not received.endswith(b"0\r\n\r\n"):
            data = await asyncio.wait_for(reader.read(65536), GIVE_UP_SECONDS)
            if not data:
                outcome = "broken off by the entry"
                break
            received += data
    except TimeoutError:
        outcome = "given up"
        left_at[request_id] = time.monotonic()
    except OSError:
        outcome = "broken off by the entry"
    writer.transport.abort()
    events = received.count(b"\nid: ")
    fleet.record.write(f"client: {request_id} at {entry.name}: {outcome}, {events} events")
    return outcome


async def play(fleet: common.Fleet) -> bool:
    """The case; whether the rule was broken."""
    fleet.start_all()
    document = json.loads(common.build_document(1, [ROUTE], ["huvo11a"]))
    document["services"][0]["engine"] = ENGINE
    await common.Operator(fleet).put(json.dumps(document).encode(), 1, 20.0)
    runners = [Runner(fleet, f"i-{number}", number) for number in range(1, 5)]
    for runner in runners:
        await runner.start()
    await common.wait_ready(fleet)
    await asyncio.sleep(CONTACT_SECONDS)
    left_at: dict[str, float] = {}
    clients = [
        asyncio.create_task(read_stream(fleet, number, left_at)) for number in range(1, STREAMS + 1)
    ]
    await asyncio.sleep(QUIET_SECONDS)
    if common.is_troubled():
        for runner in runners:
            runner.proxy.silence()
        fleet.record.write("platform: the open connections to the runners go silent")
    silent_at = time.monotonic()
    still: list[str] = []
    checked: set[str] = set()
    while not all(client.done() for client in clients) or checked != set(left_at):
        for request_id, at in list(left_at.items()):
            if request_id in checked or time.monotonic() < at + STILL_SECONDS:
                continue
            checked.add(request_id)
            if at < silent_at + CONTACT_SECONDS:
                continue  # machines are not in touch
            if any(r.runs[request_id].is_working for r in runners if request_id in r.runs):
                still.append(request_id)
        await asyncio.sleep(0.02)
    outcomes = [client.result() for client in clients]
    counts = {name: outcomes.count(name) for name in sorted(set(outcomes))}
    fleet.record.write(f"clients: {counts}")
    fleet.record.write(
        f"runners still work {STILL_SECONDS} s after the client has left: {len(still)} of "
        f"{len(left_at)} streams"
    )
    for runner in runners:
        runner.stop()
    if "whole" not in counts and not left_at:
        raise common.CannotRun(f"no stream was served: {counts}")
    return bool(left_at) and len(still) > SHARE * len(left_at)


if __name__ == "__main__":
    sys.exit(common.run_case(FOLDER, play, keepers=5, entries=2))
