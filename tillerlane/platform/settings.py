"""The platform's settings file (TOML), converted to the settings of the daemons."""

import math
import pathlib
import tomllib
from typing import Any

import msgspec

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import control_settings, entry_settings
from tillerlane.gateway.backpressure import cold
from tillerlane.gateway.http import listeners
from tillerlane.keeper import formation
from tillerlane.peers import node as nodes

__all__ = ["Settings", "build_control_settings", "build_entry_settings", "read_settings"]

METRICS_PORT = 9464
"""Port of the metrics server; `deploy/system.toml` has it too."""

LEASE_SHARE = 0.75
"""An entry's lease on its configuration, as a share of the time for which a revoked key may still
work; the rest is for sending a request to its runner."""
ACCEPT_SECONDS = 3.0
"""The load balancer checks once a second and removes a daemon after two failures."""
STOP_MARGIN_SECONDS = 0.7
"""How long before the platform kills a stopping entry the entry ends on its own."""
HEARTBEAT_TIMEOUT_INTERVALS = 3.5
"""Heartbeat intervals until a target counts as silent: heartbeats may come seconds late, and
entries detect dead targets by themselves meanwhile."""
VOTER_TIMEOUT_SHARE = 0.5
"""Share of the catch-up time for which a voter may be unreachable before a new keeper replaces it.
The rest is for the election of another leader, the new keeper's announcement and its copy of the
log: with 4 s, votes were replaced 1.8 to 2.7 s after a loss, and 0.3 to 0.7 s after the start of a
keeper that came 2 s after the loss (72 runs of five keepers in virtual time, with the leader or
another voter lost)."""
MEMORY_SHARE = 1 / 3
"""Part of the host's memory for connections, requests and buffered answers; the daemon itself and
what the kernel holds for its connections take the rest."""
READ_LAG_SHARE = 0.7
"""Greatest lag of a read, as a share of the time for putting a change in force everywhere."""


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""
    peer: str = ""
    """Listen address for peers behind a forwarder; not among the platform's fields."""


class _HostLimits(msgspec.Struct):
    memory_mb: float = 0
    """The host's memory in MB (1,000,000 bytes); 0 where it is not known."""
    max_fds: int = 0
    """Descriptors that each process may have open; 0 where it is not known.

    The process's own limit holds where it is lower.
    """

    @property
    def client_memory_bytes(self) -> int:
        """Memory for what clients send and get; 0 where the host's is not known."""
        return int(self.memory_mb * 1_000_000 * MEMORY_SHARE)

    @property
    def descriptors(self) -> int:
        """Descriptors that the process may have open; 0 for no limit."""
        return listeners.find_descriptor_limit(self.max_fds)


class _Tolerate(msgspec.Struct):
    machines: int = 0
    zones: int = 0
    regions: int = 0


class _Bounds(msgspec.Struct):
    """Times in fields that end in ``_ms`` are in milliseconds, in ``_s`` in seconds."""

    drain_ms: float = 2000
    grace_s: float = 8
    config_ms: float = 2000
    revoke_ms: float = 5000
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    cold_over: float = 1.5
    cold_slack: float = 5
    catch_up_s: float = 4
    """Time in which a new keeper must become a full replica; then further disks may be lost."""


class Settings(msgspec.Struct):
    """The fields in use; the platform may add others."""

    node: str
    ip: str
    zone: str
    serves: list[str]
    port_range: list[int]
    seeds: list[str] = []
    bootstrap: bool = False
    data_dir: str = ""
    heartbeat_ms: float = 1200
    listen: _Listen = msgspec.field(default_factory=_Listen)
    tolerate: _Tolerate = msgspec.field(default_factory=_Tolerate)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _HostLimits = msgspec.field(default_factory=_HostLimits)

    @property
    def daemon_id(self) -> str:
        """The host's name with its address, since a replacement host gets the same name."""
        return f"{self.node}@{self.ip}"

    @property
    def peer_port(self) -> int:
        """The first port of the range, which is the same on every host."""
        return self.port_range[0]

    @property
    def peer_address(self) -> str:
        """This daemon's address for peers."""
        return f"{self.ip}:{self.peer_port}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Peer addresses of the seeds, which are listed by their addresses for callers."""
        return tuple(f"{nodes.split_address(seed)[0]}:{self.peer_port}" for seed in self.seeds)


def read_settings(path: str) -> Settings:
    """Read and check the settings file.

    Raises
    ------
    faults.FaultError
        Of kind ``invalid_config``, with the value and what was expected.
    """
    try:
        values = tomllib.loads(pathlib.Path(path).read_text())
        _check_limits(values)
        return msgspec.convert(values, Settings, strict=False)
    except (
        OSError,
        ValueError,
        tomllib.TOMLDecodeError,
        msgspec.ValidationError,
        UnicodeError,
    ) as error:
        message = f"{path}: {error}"
        raise faults.FaultError(
            faults.new_fault(kinds.ErrorKind.INVALID_CONFIG, message)
        ) from error


def _check_limits(values: dict[str, Any]) -> None:
    """Check the host's limits.

    Raises
    ------
    ValueError
        With the place, the value and what is expected.
    """
    limits = values.get("limits", {})
    if not isinstance(limits, dict):
        raise ValueError(f"limits: got {limits!r:.100}, expected a table")
    size = limits.get("memory_mb", 0)
    is_number = isinstance(size, int | float) and not isinstance(size, bool)
    if not is_number or not math.isfinite(size) or size < 0:
        raise ValueError(
            f"limits.memory_mb: got {size!r:.100}, expected a number of MB of at least 0"
        )
    descriptors = limits.get("max_fds", 0)
    if not isinstance(descriptors, int) or isinstance(descriptors, bool) or descriptors < 0:
        raise ValueError(
            f"limits.max_fds: got {descriptors!r:.100}, expected a whole number of at least 0"
        )


def build_entry_settings(settings: Settings) -> entry_settings.EntrySettings:
    """Settings of an entry."""
    bounds = settings.bounds
    return entry_settings.EntrySettings(
        name=settings.daemon_id,
        data_hall=settings.zone,
        peer_address=settings.peer_address,
        peer_listen_address=settings.listen.peer or settings.peer_address,
        front_address=settings.listen.front,
        ready_address=settings.listen.ready,
        metrics_address=f"{settings.ip}:{METRICS_PORT}",
        seeds=settings.seed_peers,
        lease_seconds=bounds.revoke_ms / 1000 * LEASE_SHARE,
        accept_seconds=min(ACCEPT_SECONDS, bounds.grace_s / 2),
        stop_seconds=bounds.grace_s - STOP_MARGIN_SECONDS,
        retries=budgets.RetryBounds(
            bounds.budget_ratio, bounds.budget_window_s, bounds.budget_slack
        ),
        cold=cold.ColdBounds(bounds.cold_over, bounds.cold_slack),
        memory_bytes=settings.limits.client_memory_bytes,
        descriptors=settings.limits.descriptors,
        is_first_start=settings.bootstrap,
    )


def build_control_settings(settings: Settings) -> control_settings.ControlSettings:
    """Settings of a keeper.

    The seed with the lowest address bootstraps the log, and only on the first start of the fleet:
    all daemons are given the same seeds then.
    """
    is_first_seed = settings.peer_address == min(settings.seed_peers, default="")
    losses = max(settings.tolerate.machines, settings.tolerate.zones, settings.tolerate.regions)
    return control_settings.ControlSettings(
        name=settings.daemon_id,
        peer_address=settings.peer_address,
        peer_listen_address=settings.listen.peer or settings.peer_address,
        metrics_address=f"{settings.ip}:{METRICS_PORT}",
        data_folder=settings.data_dir,
        formation=formation.FormationSettings(
            seeds=settings.seed_peers,
            desired_voters=2 * losses + 1,
            voter_timeout_seconds=settings.bounds.catch_up_s * VOTER_TIMEOUT_SHARE,
            can_bootstrap=settings.bootstrap and is_first_seed,
        ),
        heartbeat_timeout_seconds=settings.heartbeat_ms / 1000 * HEARTBEAT_TIMEOUT_INTERVALS,
        max_read_lag_seconds=settings.bounds.config_ms / 1000 * READ_LAG_SHARE,
        memory_bytes=settings.limits.client_memory_bytes,
        descriptors=settings.limits.descriptors,
    )
