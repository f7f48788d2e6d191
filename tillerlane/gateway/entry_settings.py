"""Settings of an entry."""

import dataclasses

from tillerlane.gateway import budget as budgets
from tillerlane.gateway.backpressure import cold as colds

__all__ = ["EntrySettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes
    ----------
    name : str
        Its daemon id.
    peer_address : str
        Its address for peers (``IP:port``).
    peer_listen_address, front_address, ready_address, metrics_address : str
        Listen addresses for peers, for callers, for the load balancer's checks and for metrics.
    seeds : tuple of str
        Peer addresses of the first keepers to contact.
    lease_seconds : float
        How long the configuration is trusted to be the newest after a keeper confirmed it; keys are
        not trusted after that.
    accept_seconds, stop_seconds : float
        After the stop signal: how long new requests are accepted, and when the daemon ends.
    retries : budgets.RetryBounds
        The fleet's bounds on retries.
    cold : colds.ColdBounds
        How far above their rate cold targets may get requests.
    memory_bytes : int
        Memory for connections, requests and buffered answers; 0 for no bound.
    descriptors : int
        Descriptors that the process may have open; 0 for no bound.
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that no entry ran before.
    """

    name: str
    data_hall: str
    peer_address: str
    peer_listen_address: str
    front_address: str
    ready_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    lease_seconds: float
    accept_seconds: float
    stop_seconds: float
    retries: budgets.RetryBounds
    cold: colds.ColdBounds
    memory_bytes: int = 0
    descriptors: int = 0
    is_first_start: bool = False
