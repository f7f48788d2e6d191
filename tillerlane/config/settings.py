"""Settings of one daemon, read from its settings file."""

import enum
import os
import pathlib
from typing import Annotated

import pydantic
import result

from tillerlane.config import documents, reader
from tillerlane.faults import core as faults

__all__ = ["Role", "Settings", "StaleAction", "Target", "TargetKind", "Tls", "read_settings"]


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    parts = host.split(".")
    is_ip = len(parts) == 4 and all(part.isdigit() and int(part) < 256 for part in parts)
    if not is_ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError("an IPv4 address and a port, such as 127.0.0.1:7000")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class Role(enum.StrEnum):
    """A role of a daemon."""

    ENTRY = "entry"
    AGENT = "agent"
    KEEPER = "keeper"


class TargetKind(enum.StrEnum):
    """Kind of a target behind an agent."""

    RUNNER = "runner"
    SERVICE = "service"


class Target(documents.Model):
    """A runner or plain service on the agent's host."""

    url: str
    kind: TargetKind = TargetKind.RUNNER
    checks_fence: bool = False
    """Whether the target itself refuses orders with an outdated fence."""


class Tls(documents.Model):
    """Certificates; the common name of a daemon's certificate is the daemon's id."""

    certificate: str
    private_key: str
    peer_authority: str
    """CA certificates for the certificates of the fleet's daemons."""
    for_callers: bool = False
    """Whether the HTTP listener uses the same certificate."""


class StaleAction(enum.StrEnum):
    """What an entry does without contact to a keeper for ``stale_seconds``."""

    SERVE = "serve"
    UNREADY = "unready"


class Settings(documents.Model):
    """One daemon's settings; its limit on descriptors may allow less than `max_connections`."""

    daemon: documents.Name
    fleet: documents.Name = "fleet"
    data_hall: documents.Name
    roles: Annotated[list[Role], pydantic.Field(min_length=1)]
    peer_address: Address
    http_address: Address
    keepers: Annotated[dict[documents.Name, Address], pydantic.Field(min_length=1)]
    """Initial voters: daemon id to peer address.  Later changes are made through the log."""
    data_folder: str | None = None
    near_halls: list[documents.Name] | None = None
    """Data halls whose agents an entry keeps links to; None is all.

    Agents of other data halls are dialed on demand.
    """
    targets: dict[documents.Name, Target] = {}
    operators: dict[documents.Name, documents.Operator] = {}
    """Operators that may act before a configuration exists."""
    platform_list: str | None = None
    """File or HTTP URL of the platform's list of hosts."""
    statsd: Address | None = None
    tls: Tls | None = None
    peers: list[documents.Name] | None = None
    """Daemon ids that may link to this daemon; None allows all daemons of the fleet."""
    stale_action: StaleAction = StaleAction.SERVE
    stale_seconds: documents.Seconds = 30
    stop_seconds: documents.Seconds = 3_600
    """How long a planned stop waits for running requests and generations."""
    max_connections: Annotated[int, pydantic.Field(gt=0)] = 4_096
    """Connections of callers and operators; beyond, one that waits for its client is closed.

    Fewer, where the process may not open as many descriptors.
    """
    memory_mb: Annotated[float, pydantic.Field(gt=0)] | None = None
    """Memory of the daemon in MB (1,000,000 bytes), a third of it for what clients send; None is
    that of the host."""
    log_file: str | None = None
    """File for the log's JSON lines; None is standard error."""

    @property
    def memory_bytes(self) -> int:
        """Memory that the daemon may take."""
        if self.memory_mb is not None:
            return int(self.memory_mb * 1_000_000)
        return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")

    @pydantic.model_validator(mode="after")
    def check_roles(self) -> "Settings":
        """Check that a keeper has a data folder, and that exactly agents have targets."""
        if Role.KEEPER in self.roles and self.data_folder is None:
            raise ValueError("a keeper needs 'data_folder'")
        if Role.AGENT in self.roles and not self.targets:
            raise ValueError("an agent needs 'targets'")
        if Role.AGENT not in self.roles and self.targets:
            raise ValueError("'targets' needs the role 'agent'")
        return self


def read_settings(path: pathlib.Path | str) -> result.Result[Settings, faults.Fault]:
    """Read and check a settings file."""
    return reader.read_file(path).and_then(lambda data: reader.validate(Settings, data, str(path)))
