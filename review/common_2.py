"""Shared parts of the cases of the second review: the fleet as processes, and small stand-ins.

The programs are started with the commands of ``deploy/system.toml``, on loopback addresses and the
real clock. The operator, clients and servers are stand-ins that live in the process of the case.
Only the standard library is used.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[1]
PEER_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT = 7200, 8748, 8740, 8749, 9464
HELD, BROKEN, UNABLE = 0, 1, 2
"""Exit codes of a case: the rule held, it was broken, the case could not run."""
OPERATOR_SECONDS = 1.0
"""Callers of control move on after a second without a response."""

Headers = list[tuple[str, str]]


class Unable(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt`` of a case; times are in seconds since its start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass(slots=True)
class Daemon:
    """One machine of the system, with one process."""

    name: str
    role: str
    ip: str
    zone: str
    folder: pathlib.Path
    starts: int = 0
    process: subprocess.Popen[bytes] | None = None

    @property
    def control(self) -> str:
        """Where targets and the operator reach a keeper."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def front(self) -> str:
        """Where clients reach an entry."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def ready(self) -> str:
        """Where the platform asks an entry whether it is ready."""
        return f"{self.ip}:{READY_PORT}"


def _find_net() -> int:
    """A second byte of loopback addresses on which no port in use here is taken."""
    for net in random.sample(range(20, 220), 50):
        try:
            for kind, port in ((1, PEER_PORT), (1, CONTROL_PORT), (2, FRONT_PORT)):
                with socket.create_server((f"127.{net}.{kind}.1", port)):
                    pass
        except OSError:
            continue
        return net
    raise Unable("no free loopback addresses")


class Fleet:
    """Keepers and entries of a small deployment."""

    def __init__(self, record: Record, keepers: int, entries: int, losses: int) -> None:
        self._record = record
        self._losses = losses
        self.net = _find_net()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="tillerlane-review-"))
        self.keepers = [self._add("keeper", 1, number) for number in range(1, keepers + 1)]
        self.entries = [self._add("entry", 2, number) for number in range(1, entries + 1)]
        self.seeds = [keeper.control for keeper in self.keepers[:3]]

    def _add(self, role: str, kind: int, number: int) -> Daemon:
        name = f"{role}-{number}"
        folder = self.folder / name
        (folder / "data").mkdir(parents=True)
        return Daemon(name, role, f"127.{self.net}.{kind}.{number}", f"zone-{number % 4}", folder)

    def _write_settings(self, daemon: Daemon) -> pathlib.Path:
        is_keeper = daemon.role == "keeper"
        serves = "control" if is_keeper else "front"
        seeds = json.dumps(self.seeds)
        data = f'data_dir = "{daemon.folder / "data"}"' if is_keeper else ""
        listen = (
            f'control = "{daemon.control}"'
            if is_keeper
            else f'front = "{daemon.front}"\nready = "{daemon.ready}"'
        )
        text = f"""node = "{daemon.name}"
role = "{daemon.role}"
class = "{"core" if is_keeper else "front"}"
serves = ["{serves}"]
ip = "{daemon.ip}"
zone = "{daemon.zone}"
region = "region"
port_range = [{PEER_PORT}, {PEER_PORT + 15}]
seeds = {seeds}
bootstrap = {json.dumps(daemon.starts == 0)}
fault_counted = {json.dumps(is_keeper)}
discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
config_mode = "highest"
{data}
[listen]
{listen}
[limits]
cpu_share = 2.58
cores = 1
memory_mb = 296
max_fds = 4096
link_mbps = 1000.0
disk_mb = 128
[tolerate]
machines = {self._losses}
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_ms = 250
max_stretch_ms = 5000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
cold_over = 1.5
cold_slack = 5
recovery_s = 12
"""
        path = daemon.folder / "settings.toml"
        path.write_text(text)
        return path

    def start(self, daemon: Daemon) -> None:
        """Start a machine's process; `bootstrap` is true only at its very first start."""
        path = self._write_settings(daemon)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            "TILLERLANE_SETTINGS": str(path),
        }
        command = ["python3", "-S", "-m", "tillerlane.platform.main", daemon.role]
        with open(daemon.folder / "log", "ab") as log:
            daemon.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"start {daemon.name}, bootstrap = {daemon.starts == 0}")
        daemon.starts += 1

    def kill(self, daemon: Daemon, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a machine's process; after SIGKILL, wait for its end."""
        assert daemon.process is not None
        self._record.write(f"{number.name} to {daemon.name}")
        daemon.process.send_signal(number)
        if number is signal.SIGKILL:
            daemon.process.wait()

    def close(self) -> None:
        """End all processes and remove the folder."""
        for daemon in [*self.keepers, *self.entries]:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


# HTTP


@dataclasses.dataclass(slots=True)
class Answer:
    """Answer to one request; status 0 without one."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


def build_request(method: str, path: str, headers: Headers, body: bytes) -> bytes:
    """A request with a length."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line of a message, and its headers in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.is_whole = True


async def call(address: str, data: bytes, seconds: float) -> Answer:
    """Send a request on a connection of its own; gives what arrived of the answer."""
    answer = Answer()
    writer = None
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, EOFError, ValueError, asyncio.TimeoutError):
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await _read_answer(reader, answer)
    if writer is not None:
        writer.transport.abort()
    return answer


# The operator


def build_document(version: int, routes: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    """A configuration; `more` replaces or adds fields."""
    names = {route["service"] for route in routes}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1"}
            for name in sorted(names)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1}],
        **more,
    }


def build_route(name: str, service: str, **more: Any) -> dict[str, Any]:
    """A route at ``/NAME/`` of the host ``shop.example``."""
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 4000,
        "goal_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


async def put(record: Record, keeper: Daemon, document: dict[str, Any]) -> int:
    """Send a configuration once to one keeper; gives the status, 0 without an answer."""
    body = json.dumps(document).encode()
    headers = [("Host", keeper.control), ("Content-Type", "application/json")]
    data = build_request("POST", "/Config.Put", headers, body)
    answer = await call(keeper.control, data, OPERATOR_SECONDS)
    text = f"operator: Config.Put version {document['version']} to {keeper.name}: {answer.status}"
    record.write(text)
    return answer.status


async def put_until_taken(
    record: Record, keepers: list[Daemon], document: dict[str, Any], seconds: float
) -> float | None:
    """Send a configuration until it is acknowledged; the seconds it took, None if it was not."""
    began = time.monotonic()
    number = 0
    while time.monotonic() - began < seconds:
        if await put(record, keepers[number % len(keepers)], document) == 200:
            return time.monotonic() - began
        number += 1
        await asyncio.sleep(min(1.0, 0.1 * number))
    return None


async def read_config(record: Record, keeper: Daemon) -> int | None:
    """Version that one keeper answers to a read; None without a 200."""
    data = build_request("GET", "/Config.Get", [("Host", keeper.control)], b"")
    answer = await call(keeper.control, data, OPERATOR_SECONDS)
    version = None
    if answer.status == 200 and answer.is_whole:
        version = json.loads(answer.body)["version"]
    record.write(f"operator: Config.Get at {keeper.name}: {answer.status}, version {version}")
    return version


# Plain targets


@dataclasses.dataclass(slots=True)
class Arrived:
    """A request at a target."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Serve = Callable[[Arrived, asyncio.StreamWriter], Awaitable[None]]


class Target:
    """A plain server that registers by heartbeats, and answers health checks."""

    def __init__(
        self, record: Record, fleet: Fleet, name: str, service: str, number: int, serve: Serve
    ) -> None:
        self.name = name
        self.address = f"127.{fleet.net}.3.{number}:9000"
        self.state = "ready"
        self.is_beating = True
        self.cold_until = 0.0
        """Time of the record until which it is cold."""
        self._record = record
        self._fleet = fleet
        self._service = service
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._serving: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self.on_ack: Callable[[dict[str, Any], float], None] = lambda beat, sent_at: None
        """Called with a heartbeat that was acknowledged, and when it was sent."""

    async def start(self) -> None:
        """Listen and send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        number = random.randrange(len(self._fleet.keepers))
        while True:
            if self.is_beating:
                for _ in self._fleet.keepers:
                    keeper = self._fleet.keepers[number % len(self._fleet.keepers)]
                    if await self.send_heartbeat(keeper) == 200:
                        break
                    number += 1
            await asyncio.sleep(1.2)

    async def send_heartbeat(self, keeper: Daemon) -> int:
        """Send one heartbeat; the status of its answer."""
        sent_at = self._record.now()
        self._sequence += 1
        beat = {
            "service": self._service,
            "addr": self.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": max(0, int((self.cold_until - self._record.now()) * 1000)),
            "seq": self._sequence,
        }
        data = build_request(
            "POST",
            f"/Instances.Heartbeat/{self.name}",
            [("Host", keeper.control), ("Content-Type", "application/json")],
            json.dumps(beat).encode(),
        )
        status = (await call(keeper.control, data, 1.0)).status
        if status == 200:
            self.on_ack(beat, sent_at)
        return status

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._handle(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            first, headers = await read_head(reader)
            method, path, _ = first.split(" ")
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            if path == "/health":
                writer.write(
                    f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n"
                    "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
                )
                await writer.drain()
            elif headers.get("expect-instance", self.name) != self.name:
                request_id = headers.get("request-id", "")
                writer.write(
                    f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\n"
                    "Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()
                )
                await writer.drain()
            else:
                await self._serve(Arrived(method, path, headers, body), writer)
        except (OSError, EOFError, ValueError):
            pass  # the caller has left
        finally:
            writer.close()

    async def close(self) -> None:
        """Stop listening and sending heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()


async def serve_plain(arrived: Arrived, writer: asyncio.StreamWriter) -> None:
    """Run a request and answer it whole."""
    body = f"answer to {arrived.headers.get('request-id', '')}".encode()
    writer.write(
        f"HTTP/1.1 200 OK\r\nRequest-Id: {arrived.headers.get('request-id', '')}\r\n"
        f"Response-Seal: s.1\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode()
        + body
    )
    await writer.drain()


async def send_client_request(
    address: str, route: str, request_id: str, wait_ms: int, headers: Iterable[tuple[str, str]] = ()
) -> Answer:
    """A client's request on a new connection."""
    fields = [
        ("Host", "shop.example"),
        ("Request-Id", request_id),
        ("Deadline-Ms", str(wait_ms)),
        ("Credential", "key-a"),
        *headers,
    ]
    return await call(address, build_request("POST", f"/{route}/x", fields, b"body"), wait_ms / 1e3)


def run(folder: pathlib.Path, work: Callable[[Record], Awaitable[int]]) -> None:
    """Run a case, and exit with its code."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # end the processes in any case
    record = Record(folder)
    code = UNABLE
    try:
        record.write("with the disruption" if has_trouble() else "without the disruption")
        code = asyncio.run(work(record))
    except Unable as error:
        record.write(f"could not run: {error}")
    finally:
        verdicts = {HELD: "the rule held", BROKEN: "the rule was broken", UNABLE: "could not run"}
        record.write(verdicts[code])
        record.close()
    print(verdicts[code])
    sys.exit(code)
