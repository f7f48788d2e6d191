"""A small fleet of the platform's programs with low limits, for crowds of misbehaving clients."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import threading
from collections.abc import AsyncIterator

from tillerlane.peers import node as nodes
from tillerlane.testing import caller, platform_fleet

__all__ = ["LIMITS", "Response", "Scene", "Usage", "fetch", "open_scene"]

FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform keeps for files; sockets have the others."""
LIMITS = platform_fleet.HostLimits(memory_mb=96, max_fds=FILE_DESCRIPTORS + 200)
SAMPLE_SECONDS = 0.01
START_SECONDS = 60.0
RETRY_SECONDS = 0.05
HEARTBEAT_SECONDS = 0.5
SLOW_SECONDS = 2.0
"""Time that the target takes for a request to `/slow/`."""
LARGE_BYTES = 1024 * 1024
"""Size of the target's response to a request to `/large/`."""
EXTRA_ROUTES = 1_000
"""Routes that make a configuration large to read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response; its status is 0 if there was none."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


async def fetch(
    address: str, method: str, path: str, body: bytes = b"", seconds: float = 10.0
) -> Response:
    """Send one request on a new connection, as an ordinary caller does."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {caller.HOST}",
        "Request-Id: ordinary",
        f"Deadline-Ms: {int(seconds * 1000)}",
        f"Credential: {caller.KEY}",
        "Connection: close",
        f"Content-Length: {len(body)}",
    )
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*nodes.split_address(address))
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                return await _read_response(reader)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, ValueError):
        return Response()


async def _read_response(reader: asyncio.StreamReader) -> Response:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    pairs = [line.partition(":") for line in head[1:] if line]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return Response(status, headers, await reader.readexactly(int(headers["content-length"])))


def _build_document() -> bytes:
    """The configuration: routes to one pool of targets, and one workspace."""
    paths = ["call", "slow", "large", *(f"unused-{number}" for number in range(EXTRA_ROUTES))]
    routes = [
        {
            "name": f"route-{path}",
            "host": caller.HOST,
            "path_prefix": f"/{path}/",
            "kind": "idempotent",
            "timeout_ms": 10_000,
            "goal_ms": 1_000,
            "priority": 1,
            "service": "pool",
            "max_attempts": 2,
            "public": False,
        }
        for path in paths
    ]
    document = {
        "version": 1,
        "routes": routes,
        "services": [{"name": "pool", "health_path": "/health", "max_conns": 400}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4 * 1024 * 1024,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": caller.WORKSPACE, "api_keys": [caller.KEY], "priority": 1}],
    }
    return json.dumps(document).encode()


class _Target:
    """A target in the process of the test: it answers each request, and sends heartbeats."""

    def __init__(self, ip: str, control: str) -> None:
        self._address = f"{ip}:9000"
        self._control = control
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        host, port = nodes.split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port, limit=256 * 1024)
        self._beating = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        for sequence in itertools.count(1):
            values = {
                "service": "pool",
                "addr": self._address,
                "zone": "hall-b",
                "version": "v1",
                "slots": 200,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": sequence,
            }
            body = json.dumps(values).encode()
            await fetch(self._control, "POST", "/Instances.Heartbeat/t-1", body, 1.0)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._answer(reader, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass  # the entry has closed the connection
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = [line.partition(b":") for line in head.split(b"\r\n")]
        headers = {name.lower(): value.strip() for name, _, value in fields}
        await reader.readexactly(int(headers.get(b"content-length", b"0")))
        path = head.split(b" ", 2)[1]
        await asyncio.sleep(SLOW_SECONDS if path.startswith(b"/slow/") else 0.0)
        body = bytes(LARGE_BYTES) if path.startswith(b"/large/") else b"answer"
        lines = (
            b"HTTP/1.1 200 OK",
            b"Request-Id: " + headers.get(b"request-id", b""),
            b"Response-Seal: seal",
            b"Content-Length: %d" % len(body),
        )
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        await writer.drain()

    async def stop(self) -> None:
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()


class Usage:
    """Peak memory and open sockets of a process, sampled while it runs.

    Memory includes bytes that have arrived and are not read yet.

    Attributes
    ----------
    memory_bytes, sockets : int
        The largest values so far.
    """

    def __init__(self, daemon: platform_fleet.Process) -> None:
        self.memory_bytes = 0
        self.sockets = 0
        self._daemon = daemon
        assert daemon.process is not None
        self._folder = pathlib.Path(f"/proc/{daemon.process.pid}")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_SECONDS):
            with contextlib.suppress(OSError):  # the process may have ended
                self._sample()

    def _sample(self) -> None:
        resident = int((self._folder / "statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE")
        inodes = self._list_sockets()
        unread = sum(
            int(fields[4].partition(":")[2], 16)
            for fields in self._read_connections()
            if fields[9] in inodes
        )
        self.sockets = max(self.sockets, len(inodes))
        self.memory_bytes = max(self.memory_bytes, resident + unread)

    def _list_sockets(self) -> set[str]:
        inodes = set()
        for item in (self._folder / "fd").iterdir():
            with contextlib.suppress(OSError):  # closed meanwhile
                link = os.readlink(item)
                if link.startswith("socket:["):
                    inodes.add(link[len("socket:[") : -1])
        return inodes

    def _read_connections(self) -> list[list[str]]:
        lines = (self._folder / "net" / "tcp").read_text().splitlines()[1:]
        # The accept queue of a listener stands in the place of its unread bytes.
        return [fields for fields in map(str.split, lines) if fields[3] != "0A"]

    def stop(self) -> None:
        """Take the last sample."""
        self._stopping.set()
        self._thread.join()
        self.memory_bytes = max(self.memory_bytes, self._daemon.read_peak_memory())


@dataclasses.dataclass(frozen=True, slots=True)
class Scene:
    """One keeper, one entry and one target."""

    keeper: platform_fleet.Daemon
    entry: platform_fleet.Daemon
    usage: dict[str, Usage]

    async def call(self, path: str = "/call/ordinary", body: bytes = b"body") -> Response:
        """Send one ordinary request."""
        return await fetch(self.entry.front, "POST", path, body)

    async def call_again(self, seconds: float = 10.0) -> Response:
        """Send one ordinary request as often as a caller may: after a promise or unread."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while True:
            response = await self.call()
            pause = float(response.headers.get("retry-after", RETRY_SECONDS))
            if response.status not in (0, 503) or loop.time() + pause > until:
                return response
            await asyncio.sleep(pause)


@contextlib.asynccontextmanager
async def open_scene(
    folder: pathlib.Path, net: int, limits: platform_fleet.HostLimits = LIMITS
) -> AsyncIterator[Scene]:
    """Start the processes, and wait until a request is answered."""
    fleet = platform_fleet.PlatformFleet(folder, net, 1, 1, random.Random(1), limits, losses=0)
    keeper, entry = fleet.daemons["keeper-1"], fleet.daemons["entry-1"]
    target = _Target(f"127.{net}.3.1", keeper.control)
    usage: dict[str, Usage] = {}
    try:
        await fleet.start_all()
        await target.start()
        scene = Scene(keeper, entry, usage)
        async with asyncio.timeout(START_SECONDS):
            document = _build_document()
            while (await fetch(keeper.control, "POST", "/Config.Put", document)).status != 200:
                await asyncio.sleep(RETRY_SECONDS)
            while (await scene.call()).status != 200:
                await asyncio.sleep(RETRY_SECONDS)
        usage.update({item.name: Usage(item) for item in (keeper, entry)})
        yield scene
    finally:
        for item in usage.values():
            item.stop()
        await target.stop()
        fleet.kill_all()
