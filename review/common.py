"""Stand-ins of the platform for the scripts of the cases: processes, operator, clients, targets.

Only the standard library is used.  The programs run as separate processes with the commands of the
deploy file, each on a loopback address of its own, with settings as in DEPLOY.md.
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
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = ("sal-nord", "sal-sor", "hall-laksevag", "hall-arna")
PEER, FRONT, CONTROL, READY = 7200, 8740, 8748, 8749
MIN_SYNC_SECONDS = 0.00005
"""A folder in memory syncs faster than this."""
RESTART_SECONDS = 0.5
"""The platform starts a process again "after a short delay"."""
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run here."""


class Record:
    """What was sent, answered and run, with seconds since the start, in `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")
        self._file.flush()


def is_troubled() -> bool:
    """Whether the disruption happens; ``TROUBLE=0`` runs the same without it."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclasses.dataclass(slots=True)
class Daemon:
    """One process of the system, and its machine."""

    name: str
    role: str
    ip: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    own_ends: int = 0
    """How often it ended by itself."""
    is_held_down: bool = False
    """Whether the platform must not start it now."""

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def control(self) -> str:
        """Address for runners and the operator."""
        return f"{self.ip}:{CONTROL}"

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{FRONT}"

    @property
    def ready(self) -> str:
        """Address of the platform's readiness check."""
        return f"{self.ip}:{READY}"

    @property
    def data(self) -> pathlib.Path:
        """Its disk folder."""
        return self.folder / "data"


def _make_folder() -> pathlib.Path:
    """A temporary folder on a disk whose sync takes time, as on the pages, if there is one."""
    folders = [pathlib.Path(tempfile.mkdtemp(prefix="review-"))]
    with contextlib.suppress(OSError):
        folders.append(pathlib.Path(tempfile.mkdtemp(prefix="review-", dir="/var/tmp")))
    chosen = folders[0]
    if _measure_sync(chosen) < MIN_SYNC_SECONDS:
        chosen = max(folders, key=_measure_sync)
    for folder in folders:
        if folder is not chosen:
            folder.rmdir()
    return chosen


def _measure_sync(folder: pathlib.Path) -> float:
    """Median time of a small synced write."""
    times = []
    for number in range(9):
        path = folder / f"sync-{number}"
        began = time.monotonic()
        with open(path, "wb") as file:
            file.write(b"x" * 8)
            file.flush()
            os.fsync(file.fileno())
        times.append(time.monotonic() - began)
        path.unlink()
    return sorted(times)[len(times) // 2]


def _find_net() -> int:
    """Second byte of free loopback addresses."""
    start = random.SystemRandom().randrange(100, 240)
    for step in range(100):
        net = 100 + (start - 100 + step) % 140
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f"127.{net}.1.1", CONTROL))
            return net
    raise CannotRun("no free loopback addresses")


class Fleet:
    """The processes of the system on the machines of a small deployment."""

    def __init__(self, record: Record, keepers: int = 5, entries: int = 2) -> None:
        self.record = record
        self.folder = _make_folder()
        self.net = _find_net()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._commands = {name: item["run"].split() for name, item in deploy["roles"].items()}
        self.daemons: list[Daemon] = []
        for role, kind, count in (("keeper", 1, keepers), ("entry", 2, entries)):
            for number in range(1, count + 1):
                name = f"{role}-{number}"
                daemon = Daemon(name, role, f"127.{self.net}.{kind}.{number}", self.folder / name)
                daemon.data.mkdir(parents=True)
                self.daemons.append(daemon)
        self.seeds = [item.control for item in self.keepers[:3]]
        self._supervisor: asyncio.Task[None] | None = None

    @property
    def keepers(self) -> list[Daemon]:
        """The machines that serve `control`."""
        return [item for item in self.daemons if item.role == "keeper"]

    @property
    def entries(self) -> list[Daemon]:
        """The machines that serve `front`."""
        return [item for item in self.daemons if item.role == "entry"]

    def _write_settings(self, daemon: Daemon) -> pathlib.Path:
        is_keeper = daemon.role == "keeper"
        zone = ZONES[int(daemon.ip.rpartition(".")[2]) % len(ZONES)]
        listen = (
            f'control = "{daemon.control}"'
            if is_keeper
            else f'front = "{daemon.front}"\nready = "{daemon.ready}"'
        )
        text = f"""node = "{daemon.name}"
role = "{daemon.role}"
class = "{"core" if is_keeper else "front"}"
serves = ["{"control" if is_keeper else "front"}"]
ip = "{daemon.ip}"
zone = "{zone}"
region = "vest-norge"
port_range = [{PEER},{PEER + 15}]
seeds = {json.dumps(self.seeds)}
bootstrap = {json.dumps(daemon.starts == 0)}
fault_counted = {json.dumps(is_keeper)}
discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
config_mode = "highest"
{f'data_dir = "{daemon.data}"' if is_keeper else ""}
[zones]
{chr(10).join(f'{zone} = "vest-norge"' for zone in ZONES)}
[listen]
{listen}
[limits]
cpu_share = {0.86 if is_keeper else 0.817}
cores = {3 if is_keeper else 1}
memory_mb = {296 if is_keeper else 150}
max_fds = {4096 if is_keeper else 4100}
link_mbps = 1000.0
disk_mb = {128 if is_keeper else 0}
[tolerate]
machines = 2
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
recovery_s = 12
pass_ms = 120
again_s = 4.6
"""
        path = daemon.folder / "settings.toml"
        new = daemon.folder / "settings.new"
        new.write_text(text)
        new.replace(path)
        return path

    def start(self, daemon: Daemon) -> None:
        """Start a process with the command of the deploy file."""
        path = self._write_settings(daemon)
        daemon.starts += 1
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        variables["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        variables["TILLERLANE_SETTINGS"] = str(path)
        with open(daemon.folder / "log", "ab") as output:
            daemon.process = subprocess.Popen(
                self._commands[daemon.role], stdout=output, stderr=output, env=variables, cwd=ROOT
            )
        self.record.write(f"platform: {daemon.name} started, start {daemon.starts}")

    def start_all(self) -> None:
        """Start every process, and from now on each one that ends, as the platform does."""
        for daemon in self.daemons:
            self.start(daemon)
        self._supervisor = asyncio.create_task(self._supervise())

    async def _supervise(self) -> None:
        while True:
            await asyncio.sleep(RESTART_SECONDS)
            for daemon in self.daemons:
                if daemon.is_held_down or daemon.is_running or daemon.process is None:
                    continue
                code = daemon.process.returncode
                if code != -signal.SIGKILL:
                    daemon.own_ends += 1
                    last = self.read_log(daemon).strip().rpartition("\n")[2]
                    self.record.write(
                        f"platform: {daemon.name} ended by itself, exit {code}: {last[:160]}"
                    )
                self.start(daemon)

    def read_log(self, daemon: Daemon) -> str:
        """What a process has written."""
        return (daemon.folder / "log").read_text(errors="replace")

    def kill(self, daemon: Daemon, *, down: bool = False) -> None:
        """Kill a process; with `down`, its machine stays down."""
        daemon.is_held_down = down
        if daemon.process is not None and daemon.is_running:
            daemon.process.kill()
            self.record.write(f"platform: {daemon.name} killed{', stays down' if down else ''}")

    def close(self) -> None:
        """End everything that was started here."""
        if self._supervisor is not None:
            self._supervisor.cancel()
        for daemon in self.daemons:
            if daemon.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.process.send_signal(signal.SIGCONT)
                    daemon.process.kill()
                daemon.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer; the status is 0 without one."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 1.0,
) -> Answer:
    """Send one HTTP request on a connection of its own."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    fields = {"Host": address, "Connection": "close", **(headers or {})}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            writer.write(head.encode() + body)
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, EOFError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.is_whole = True


class Operator:
    """The operator: sends a configuration to one daemon after another until it is acknowledged."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._turn = 0

    async def put(self, document: bytes, version: int, seconds: float = 15.0) -> float:
        """Send a configuration; the time of its acknowledgement."""
        until = time.monotonic() + seconds
        pause = 0.05
        while time.monotonic() < until:
            keepers = self._fleet.keepers
            keeper = keepers[self._turn % len(keepers)]
            answer = await call(
                keeper.control,
                "POST",
                "/Config.Put",
                {"Content-Type": "application/json"},
                document,
            )
            self._fleet.record.write(
                f"operator: version {version} to {keeper.name}: {answer.status or 'no answer'}"
            )
            if answer.status == 200:
                return time.monotonic()
            self._turn += 1
            await asyncio.sleep(pause)
            pause = min(2 * pause, 0.5)
        raise CannotRun(f"version {version} was not acknowledged")

    async def get(self, seconds: float) -> tuple[int, str] | None:
        """Read the configuration back, from any daemon; version and daemon, or None."""
        until = time.monotonic() + seconds
        seen: dict[str, int] = {}
        while time.monotonic() < until:
            for keeper in self._fleet.keepers:
                answer = await call(keeper.control, "GET", "/Config.Get")
                seen[f"{keeper.name}: {answer.status or 'none'}"] = (
                    seen.get(f"{keeper.name}: {answer.status or 'none'}", 0) + 1
                )
                if answer.status == 200:
                    self._fleet.record.write(f"operator: Config.Get answers so far {seen}")
                    return json.loads(answer.body)["version"], keeper.name
            await asyncio.sleep(0.2)
        self._fleet.record.write(f"operator: Config.Get answers {seen}")
        return None


def build_routes(count: int, service: str, seed: int) -> list[dict[str, object]]:
    """Further routes, with names like those of a day's configuration."""
    rng = random.Random(seed)

    def word(size: int) -> str:
        return "".join(rng.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(size))

    return [
        {
            "name": f"r-{word(7)}",
            "host": f"{word(6)}.example",
            "path_prefix": f"/{word(7)}/",
            "kind": "idempotent",
            "timeout_ms": 600,
            "goal_ms": 125,
            "priority": 2,
            "service": service,
            "max_attempts": 2,
            "public": False,
            "sticky": False,
            "resumable": False,
        }
        for _ in range(count)
    ]


def build_document(version: int, routes: list[dict[str, object]], services: list[str]) -> bytes:
    """A configuration."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka270", "api_keys": ["xd9dnn2ctnfzs989anu6"], "priority": 1}],
    }
    return json.dumps(document).encode()


KEY = "xd9dnn2ctnfzs989anu6"
Behaviour = Callable[["Target", str], Awaitable[None]]


class Target:
    """A runner of a plain service: answers at once, and records what it ran."""

    def __init__(self, fleet: Fleet, name: str, service: str, number: int) -> None:
        self.name = name
        self.service = service
        self.address = f"127.{fleet.net}.3.{number}:9000"
        self._fleet = fleet
        self._server: asyncio.Server | None = None
        self.sequence = 0
        self.state = "ready"
        self.ran: list[tuple[float, str]] = []
        self.bodies: dict[str, bytes] = {}
        self.work: Behaviour | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._turn = number
        self.zone = ZONES[number % len(ZONES)]

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._heartbeats = asyncio.create_task(self._beat())

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    def stop(self) -> None:
        """End."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()

    async def beat_once(self, keeper: Daemon) -> bool:
        """Send one heartbeat to a keeper."""
        self.sequence += 1
        body = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.sequence,
        }
        path = f"/Instances.Heartbeat/{self.name}"
        headers = {"Content-Type": "application/json"}
        answer = await call(keeper.control, "POST", path, headers, json.dumps(body).encode())
        return answer.status == 200

    async def _beat(self) -> None:
        while True:
            for _ in self._fleet.keepers:
                keeper = self._fleet.keepers[self._turn % len(self._fleet.keepers)]
                if await self.beat_once(keeper):
                    break
                self._turn += 1
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in head[1:])
                if name
            }
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            if head[0].split()[1] == "/health":
                writer.write(
                    b"HTTP/1.1 200 OK\r\nInstance-Id: "
                    + self.name.encode()
                    + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
                await writer.drain()
                return
            request_id = headers.get("request-id", "")
            if headers.get("expect-instance", self.name) != self.name:
                writer.write(_build_answer("421 Misdirected", request_id, b"", "Not-Run: 1\r\n"))
                await writer.drain()
                return
            self.ran.append((time.monotonic(), request_id))
            self.bodies[request_id] = body
            self._fleet.record.write(f"{self.name}: runs {request_id}, {len(body)} bytes of body")
            if self.work is not None:
                await self.work(self, request_id)
            seal = f"Response-Seal: {self.name}.{request_id}\r\n"
            writer.write(_build_answer("200 OK", request_id, b"x" * 800, seal))
            await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the caller has left, or the case ends
        finally:
            writer.close()


def _build_answer(status: str, request_id: str, body: bytes, extra: str) -> bytes:
    head = f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{extra}"
    head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return head.encode() + body


async def ask(
    entry: Daemon,
    route: dict[str, object],
    request_id: str,
    *,
    deadline_ms: int = 600,
    body: bytes = b"",
    more: dict[str, str] | None = None,
) -> Answer:
    """One attempt of a client."""
    headers = {
        "Host": str(route["host"]),
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Credential": KEY,
        **(more or {}),
    }
    method = "GET" if route["kind"] == "idempotent" else "POST"
    path = f"{route['path_prefix']}2f"
    return await call(entry.front, method, path, headers, body, deadline_ms / 1000)


async def wait_ready(fleet: Fleet, seconds: float = 20.0) -> None:
    """Wait until every entry says that it is ready."""
    until = time.monotonic() + seconds
    for entry in fleet.entries:
        while (await call(entry.ready, "GET", "/ready")).status != 200:
            if time.monotonic() > until:
                raise CannotRun(f"{entry.name} did not become ready")
            await asyncio.sleep(0.1)


def run_case(folder: pathlib.Path, play: Callable[[Fleet], Awaitable[bool]], **sizes: int) -> int:
    """Run a case; the exit code of its script."""
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'yes' if is_troubled() else 'no'}")

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        fleet = Fleet(record, **sizes)
        try:
            async with asyncio.timeout(115):
                is_broken = await play(fleet)
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            record.write(f"result: could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            fleet.close()
        verdict = "the rule was broken" if is_broken else "the rule held"
        record.write(f"result: {verdict}")
        print(verdict)
        return BROKEN if is_broken else HELD

    return asyncio.run(main())
