"""Commands of the replicated log, and what they answer.

Each is a tagged struct, written as JSON: a later version may add fields with defaults.  Answers
are plain JSON objects, since they also go to operators.
"""

import msgspec

from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = ["Command", "Voter", "decode", "encode"]


class EntityPut(msgspec.Struct, frozen=True):
    """An entity of the configuration with its new body."""

    kind: str
    name: str
    body: str


class EntityKey(msgspec.Struct, frozen=True):
    """Names an entity of the configuration."""

    kind: str
    name: str


class Noop(msgspec.Struct, frozen=True, tag="noop"):
    """First entry of each term: commits what former terms left."""


class Change(msgspec.Struct, frozen=True, tag="change"):
    """A change of configuration, made against a version."""

    change_id: str
    against: int
    actor: str
    at_ms: int
    puts: list[EntityPut] = []
    deletes: list[EntityKey] = []
    note: str = ""


class Drain(msgspec.Struct, frozen=True, tag="drain"):
    """Tells a target or daemon to leave, or to come back."""

    change_id: str
    name: str
    leaving: bool
    actor: str
    at_ms: int


class Evacuate(msgspec.Struct, frozen=True, tag="evacuate"):
    """Closes a data hall to new work or opens it again, by an order made against a version.

    Sent again it finds what holds already; one that is still on its way when a later order has
    been committed is made against an older version, and changes nothing any more.
    """

    data_hall: str
    evacuated: bool
    against: int
    actor: str
    at_ms: int


class Quarantine(msgspec.Struct, frozen=True, tag="quarantine"):
    """Holds a request back from all targets by its fingerprint, or lets it run again."""

    fingerprint: str
    held: bool
    actor: str
    at_ms: int
    target_ids: list[str] = []
    """Targets that ended under it: the evidence."""


class ClaimOpen(msgspec.Struct, frozen=True, tag="claim_open"):
    """Claims a request that may not be repeated, before it is sent."""

    workspace: str
    key: str
    digest: str
    generation_id: str
    at_ms: int
    expires_ms: int


class ClaimMove(msgspec.Struct, frozen=True, tag="claim_move"):
    """Gives a claim to another attempt, after one that truly did not run."""

    workspace: str
    key: str
    attempt: int
    generation_id: str


class ClaimSettle(msgspec.Struct, frozen=True, tag="claim_settle"):
    """Stores how a claimed request ended."""

    workspace: str
    key: str
    attempt: int
    outcome: str
    """``ended`` or ``fault``."""
    tokens: int = 0
    texts: list[str] | None = None
    """The answer, where it is small enough to be kept."""
    fault: str = ""


class ClaimRelease(msgspec.Struct, frozen=True, tag="claim_release"):
    """Drops the claim of a request that truly did not run.

    It names the generation, since the answer to its opening may have been lost.
    """

    workspace: str
    key: str
    generation_id: str


class Voter(msgspec.Struct, frozen=True):
    """A keeper that votes; its identity is its disk's."""

    address: str
    disk_id: str


class Bootstrap(msgspec.Struct, frozen=True, tag="found"):
    """First entry of a fleet's log: the voters with their disks."""

    voters: dict[str, Voter]


class VoterAdd(msgspec.Struct, frozen=True, tag="voter_add"):
    """Makes a keeper a voter, or gives a voter its new disk; one change at a time."""

    name: str
    address: str
    disk_id: str


class VoterRemove(msgspec.Struct, frozen=True, tag="voter_remove"):
    """Takes a keeper's vote away."""

    name: str


class Order(msgspec.Struct, frozen=True, tag="order"):
    """An order to a runner; its fence is the entry's term and index."""

    order_id: str
    target: str
    action: str
    """``load`` or ``unload``."""
    model: str
    at_ms: int


class OrderDone(msgspec.Struct, frozen=True, tag="order_done"):
    """Takes note that an order was obeyed, or given up."""

    order_id: str
    outcome: str


class Pin(msgspec.Struct, frozen=True, tag="pin"):
    """Keeps a model on a runner whatever demand says, or ends that."""

    target: str
    model: str
    pinned: bool


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """Publishes a whole document under a version of its own; the highest version holds."""

    version: int
    content: bytes
    """The document, compressed; the log does not look into it."""
    at_ms: int


Command = (
    Noop
    | Change
    | Drain
    | Evacuate
    | Quarantine
    | ClaimOpen
    | ClaimMove
    | ClaimSettle
    | ClaimRelease
    | Bootstrap
    | VoterAdd
    | VoterRemove
    | Order
    | OrderDone
    | Pin
    | Publish
)

_decode = msgspec.json.Decoder(Command).decode


def encode(command: Command) -> bytes:
    """Write a command."""
    return msgspec.json.encode(command)


def decode(data: bytes) -> Command:
    """Read a command.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if it is none.
    """
    try:
        return _decode(data)
    except msgspec.MsgspecError as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"no command: {error}")
        raise faults.FaultError(fault) from error
