"""Settings and external dependencies of a keeper of the gateway."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

from tillerlane.keeper import disk as disks
from tillerlane.keeper import formation as formations
from tillerlane.keeper import replica, server
from tillerlane.peers import node as nodes

__all__ = ["ControlSettings", "Dependencies"]


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of a keeper.

    Attributes
    ----------
    name, peer_address : str
        Its daemon id, and the address for its peers (``IP:port``).
    peer_listen_address, metrics_address : str
        Listen addresses for peers and for metrics.
    data_folder : str
        Its folder on disk.
    formation : formations.FormationSettings
        How keepers find each other and form the log.
    heartbeat_timeout_seconds : float
        A target whose last heartbeat is older gets work only if no other target is left.
    max_read_lag_seconds : float
        Reads are answered only while everything committed this long ago is known to be held here.
    memory_bytes : int
        Memory for connections and requests; 0 for no bound.
    descriptors : int
        Descriptors that the process may have open; 0 for no bound.
    """

    name: str
    peer_address: str
    peer_listen_address: str
    metrics_address: str
    data_folder: str
    formation: formations.FormationSettings
    heartbeat_timeout_seconds: float
    max_read_lag_seconds: float
    memory_bytes: int = 0
    descriptors: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """External dependencies of a keeper, which tests replace."""

    open_disk: Callable[[str], disks.Disk] = disks.open_folder
    run_blocking: replica.Run = server.run_in_thread
    open_connection: nodes.Open = asyncio.open_connection
    now: Callable[[], float] = time.time
    rng: random.Random = dataclasses.field(default_factory=random.Random)
