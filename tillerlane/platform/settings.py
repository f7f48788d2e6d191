"""The platform's settings file (TOML), decoded into the product's settings."""

import pathlib
import tomllib

import msgspec

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import cold, control, entry
from tillerlane.keeper import formation
from tillerlane.peers import node as nodes

__all__ = ["Settings", "build_control_settings", "build_entry_settings", "read_settings"]

METRICS_PORT = 9464
"""Where figures are served; `deploy/system.toml` names it too."""

LEASE_SHARE = 0.75
"""Share of the time for which a revoked key may still work that an entry trusts old word: the
rest is for the way of a request to its runner."""
ACCEPT_SECONDS = 3.0
"""The balancer asks once a second and takes a daemon out after two failures."""
STOP_MARGIN_SECONDS = 0.7
"""How long before the platform's kill a stopping entry ends by itself."""
SILENT_HEARTBEATS = 3.5
"""Heartbeats may come seconds late; until then entries find dead targets by themselves."""
PATIENCE_SHARE = 0.5
"""Share of the time after which a newcomer counts as whole that a voter may be silent before the
newcomer takes its vote.  The rest is for the election of a leader in its place, the newcomer's
first words and its copy of the log: with 4 s, votes were turned over 1.8 to 2.7 s after a loss,
and 0.3 to 0.7 s after the start of a newcomer that came 2 s after it (72 plays of five keepers in
virtual time, of a leader and of others lost)."""
READ_SHARE = 0.7
"""Share of the time in which a change must be in force everywhere that a read may lag."""


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""
    peer: str = ""
    """Not one of the platform's: where peers are listened to behind a forwarder."""


class _Tolerate(msgspec.Struct):
    machines: int = 0
    zones: int = 0
    regions: int = 0


class _Bounds(msgspec.Struct):
    """Times that end in ``_ms`` are in milliseconds, in ``_s`` in seconds."""

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
    """So long after its start a keeper counts as whole: then the next disks may be lost."""


class Settings(msgspec.Struct):
    """The fields that are used; the platform may add others."""

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

    @property
    def daemon_id(self) -> str:
        """A machine's name is used again by its successor, so the address belongs to it."""
        return f"{self.node}@{self.ip}"

    @property
    def peer_port(self) -> int:
        """The first free port; ports are the same on every machine."""
        return self.port_range[0]

    @property
    def peer_address(self) -> str:
        """Where this daemon listens to peers."""
        return f"{self.ip}:{self.peer_port}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Peer addresses of the seeds, which are given by their addresses for callers."""
        return tuple(f"{nodes.split_address(seed)[0]}:{self.peer_port}" for seed in self.seeds)


def read_settings(path: str) -> Settings:
    """Read and check the settings file.

    Raises
    ------
    faults.FaultError
        Of kind ``invalid_config``, with what was got and expected.
    """
    try:
        values = tomllib.loads(pathlib.Path(path).read_text())
        return msgspec.convert(values, Settings, strict=False)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeError) as error:
        message = f"{path}: {error}"
        raise faults.FaultError(
            faults.new_fault(kinds.ErrorKind.INVALID_CONFIG, message)
        ) from error


def build_entry_settings(own: Settings) -> entry.EntrySettings:
    """Settings of an entry."""
    bounds = own.bounds
    return entry.EntrySettings(
        name=own.daemon_id,
        data_hall=own.zone,
        peer_address=own.peer_address,
        peer_listen_address=own.listen.peer or own.peer_address,
        front_address=own.listen.front,
        ready_address=own.listen.ready,
        metrics_address=f"{own.ip}:{METRICS_PORT}",
        seeds=own.seed_peers,
        lease_seconds=bounds.revoke_ms / 1000 * LEASE_SHARE,
        accept_seconds=min(ACCEPT_SECONDS, bounds.grace_s / 2),
        stop_seconds=bounds.grace_s - STOP_MARGIN_SECONDS,
        retries=budgets.RetryBounds(
            bounds.budget_ratio, bounds.budget_window_s, bounds.budget_slack
        ),
        cold=cold.ColdBounds(bounds.cold_over, bounds.cold_slack),
    )


def build_control_settings(own: Settings) -> control.ControlSettings:
    """Settings of a keeper.

    The lowest seed founds the log, on the first start of all only: every daemon is given the same
    seeds then.
    """
    is_first_seed = own.peer_address == min(own.seed_peers, default="")
    losses = max(own.tolerate.machines, own.tolerate.zones, own.tolerate.regions)
    return control.ControlSettings(
        name=own.daemon_id,
        peer_address=own.peer_address,
        peer_listen_address=own.listen.peer or own.peer_address,
        metrics_address=f"{own.ip}:{METRICS_PORT}",
        data_folder=own.data_dir,
        plan=formation.FormationSettings(
            seeds=own.seed_peers,
            desired_voters=2 * losses + 1,
            voter_timeout_seconds=own.bounds.catch_up_s * PATIENCE_SHARE,
            can_bootstrap=own.bootstrap and is_first_seed,
        ),
        heartbeat_timeout_seconds=own.heartbeat_ms / 1000 * SILENT_HEARTBEATS,
        max_read_lag_seconds=own.bounds.config_ms / 1000 * READ_SHARE,
    )
