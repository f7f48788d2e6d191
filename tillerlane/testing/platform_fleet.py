"""The programs of the platform as local processes, each behind a forwarder.

Every daemon has its own loopback address, on which its forwarder listens; the process listens on
another one. Only processes that were started here are ever signalled.
"""

import contextlib
import dataclasses
import functools
import os
import pathlib
import random
import resource
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable

from tillerlane.gateway import budget as budgets
from tillerlane.testing import forwarder

__all__ = [
    "BOUNDS",
    "HOST_MEMORY_MB",
    "RETRY_BOUNDS",
    "ROOT",
    "Daemon",
    "HostLimits",
    "PlatformFleet",
    "Process",
    "build_limiter",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
PEER_PORT = 7000
CONTROL_PORT = 8748
FRONT_PORT = 8740
READY_PORT = 8749
METRICS_PORT = 9464
HALLS = ("hall-a", "hall-b", "hall-c", "hall-d")


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds of the fleet in seconds, with the platform's usual values."""

    drain: float = 2.0
    grace: float = 8.0
    config: float = 2.0
    revoke: float = 5.0


BOUNDS = Bounds()
HOST_MEMORY_MB = 128
"""Memory of an entry's host (docs/design/platform.md), in MB of 1,000,000 bytes."""
HOST_DESCRIPTORS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class HostLimits:
    """Limits of a daemon's process, as in its settings.

    Attributes
    ----------
    memory_mb, max_fds : number
        Values of the settings.
    process_fds : int or None
        Descriptors that the process itself may open, whatever its settings say; None leaves the
        limit of the tests' own process.
    """

    memory_mb: float = HOST_MEMORY_MB
    max_fds: int = HOST_DESCRIPTORS
    process_fds: int | None = None


RETRY_BOUNDS = budgets.RetryBounds(ratio=0.2, window_seconds=10.0, allowance=54.0)


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """A process that may run."""

    process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def read_peak_memory(self) -> int:
        """Most memory that its process has had in use, in bytes; 0 if it does not run."""
        if self.process is None or not self.is_running:
            return 0
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024
        return 0


@dataclasses.dataclass(slots=True)
class Daemon(Process):
    """One daemon.

    Attributes
    ----------
    proxy : forwarder.Forwarder
        Forwarder in front of its peer port.
    starts : int
        Number of times it was started.
    """

    name: str
    role: str
    address: str
    folder: pathlib.Path
    settings: str
    proxy: forwarder.Forwarder
    starts: int = 0

    @property
    def front(self) -> str:
        """Address for callers of an entry."""
        return f"{self.address}:{FRONT_PORT}"

    @property
    def control(self) -> str:
        """Address of a keeper for targets and operators."""
        return f"{self.address}:{CONTROL_PORT}"

    @property
    def ready(self) -> str:
        """Address of the readiness check that the load balancer polls."""
        return f"{self.address}:{READY_PORT}"

    @property
    def metrics(self) -> str:
        """Address of its metrics."""
        return f"{self.address}:{METRICS_PORT}"


class PlatformFleet:
    """Keepers and entries.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, data and logs; its previous contents are deleted.
    net : int
        Second byte of the addresses, which keeps fleets apart.
    keepers, entries : int
        Number of daemons of each role.
    rng : random.Random
        Source of the forwarders' delays.
    limits : HostLimits
        Limits of each process.
    losses : int
        Number of keepers that may be lost at once.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        net: int,
        keepers: int,
        entries: int,
        rng: random.Random,
        limits: HostLimits = HostLimits(),
        losses: int = 2,
    ) -> None:
        self._limits = limits
        self._losses = losses
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self.folder = folder
        self.net = net
        self.program = "tillerlane.platform.main"
        """Module that the daemons run."""
        self.daemons: dict[str, Daemon] = {}
        self._seeds = [f"127.{net}.1.{number}" for number in range(1, min(keepers, 3) + 1)]
        for role, kind, number in (("keeper", 1, keepers), ("entry", 2, entries)):
            for item in range(1, number + 1):
                self._add(folder, role, f"127.{net}.{kind}.{item}", f"{role}-{item}", item, rng)

    def _add(
        self,
        folder: pathlib.Path,
        role: str,
        address: str,
        name: str,
        number: int,
        rng: random.Random,
    ) -> None:
        daemon_folder = folder / name
        daemon_folder.mkdir()
        listen_ip = address.replace(f"127.{self.net}.", f"127.{self.net + 1}.", 1)
        settings = _write_settings(
            name,
            role,
            address,
            listen_ip,
            HALLS[number % 4],
            daemon_folder,
            self._limits,
            self._losses,
        )
        proxy = forwarder.Forwarder(f"{address}:{PEER_PORT}", f"{listen_ip}:{PEER_PORT}", rng)
        self.daemons[name] = Daemon(name, role, address, daemon_folder, settings, proxy)

    def list_role(self, role: str) -> list[Daemon]:
        """List the daemons of a role."""
        return [item for item in self.daemons.values() if item.role == role]

    async def start_all(self) -> None:
        """Start the forwarders and all processes."""
        for daemon in self.daemons.values():
            await daemon.proxy.start()
            self.start(daemon)

    def start(self, daemon: Daemon) -> None:
        """Start a daemon's process if it is stopped; only its first start may bootstrap the log.

        Two faults of one daemon may overlap, and each of them would restart it.
        """
        if daemon.is_running:
            return
        self.write_seeds(daemon, self._seeds)
        daemon.starts += 1
        path = daemon.folder / "settings.toml"
        environment = {**os.environ, "TILLERLANE_SETTINGS": str(path), "PYTHONPATH": str(ROOT)}
        with open(daemon.folder / "log", "ab") as output:
            daemon.process = subprocess.Popen(
                [sys.executable, "-m", self.program, daemon.role],
                stdout=output,
                stderr=output,
                env=environment,
                preexec_fn=build_limiter(self._limits.process_fds),
            )

    def write_seeds(self, daemon: Daemon, seeds: list[str]) -> None:
        """Write a daemon's settings file with the given seeds."""
        seed_list = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds)
        first = str(daemon.starts == 0).lower()
        text = daemon.settings.replace("SEEDS", seed_list).replace("FIRST", first)
        path = daemon.folder / "settings.new"
        path.write_text(text)
        path.replace(daemon.folder / "settings.toml")

    def send(self, daemon: Daemon, number: signal.Signals) -> None:
        """Send a signal to a daemon's process, if it runs."""
        if daemon.process is not None and daemon.is_running:
            daemon.process.send_signal(number)

    def wipe(self, daemon: Daemon) -> None:
        """Delete the data of a keeper that is not running."""
        shutil.rmtree(daemon.folder / "data", ignore_errors=True)
        (daemon.folder / "data").mkdir()

    def append_torn_write(self, daemon: Daemon, rng: random.Random) -> None:
        """Append a torn write to the newest log file of a keeper that is not running."""
        files = [item for item in (daemon.folder / "data").iterdir() if item.name.startswith("log")]
        if files:
            newest = max(files, key=lambda item: item.stat().st_mtime_ns)
            with open(newest, "ab") as output:
                output.write(rng.randbytes(rng.randrange(1, 40)))

    def kill_all(self) -> None:
        """Kill every process and stop every forwarder."""
        for daemon in self.daemons.values():
            daemon.proxy.stop()
            if daemon.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.process.kill()
                daemon.process.wait()


def build_limiter(descriptors: int | None) -> Callable[[], None] | None:
    """Function that limits the descriptors of a process before its program starts."""
    if descriptors is None:
        return None
    return functools.partial(resource.setrlimit, resource.RLIMIT_NOFILE, (descriptors, descriptors))


def _write_settings(
    name: str,
    role: str,
    address: str,
    listen_ip: str,
    hall: str,
    folder: pathlib.Path,
    limits: HostLimits,
    losses: int,
) -> str:
    """Format the settings, with placeholders for the seeds and the first start."""
    (folder / "data").mkdir()
    serves = "front" if role == "entry" else "control"
    return f"""node = "{name}"
role = "{role}"
ip = "{address}"
zone = "{hall}"
serves = ["{serves}"]
port_range = [{PEER_PORT}, {PEER_PORT + 9}]
seeds = [SEEDS]
bootstrap = FIRST
data_dir = "{folder / "data"}"
heartbeat_ms = 1200
[listen]
front = "{address}:{FRONT_PORT}"
ready = "{address}:{READY_PORT}"
control = "{address}:{CONTROL_PORT}"
peer = "{listen_ip}:{PEER_PORT}"
[tolerate]
machines = {losses}
[limits]
memory_mb = {limits.memory_mb}
max_fds = {limits.max_fds}
[bounds]
drain_ms = {BOUNDS.drain * 1000}
grace_s = {BOUNDS.grace}
config_ms = {BOUNDS.config * 1000}
revoke_ms = {BOUNDS.revoke * 1000}
budget_ratio = {RETRY_BOUNDS.ratio}
budget_window_s = {RETRY_BOUNDS.window_seconds}
budget_slack = {RETRY_BOUNDS.allowance}
"""
