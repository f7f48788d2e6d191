"""Commands of the replicated log.

Each command is a tagged struct encoded as JSON; later versions may add fields with defaults.
Replies are plain JSON objects, since they are also shown to operators.
"""

import msgspec

from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = ["Command", "Voter", "decode", "encode"]


class EntityPut(msgspec.Struct, frozen=True):
    """A configuration entity with its new body."""

    kind: str
    name: str
    body: str


class EntityKey(msgspec.Struct, frozen=True):
    """Kind and name of a configuration entity."""

    kind: str
    name: str


class Noop(msgspec.Struct, frozen=True, tag="noop"):
    """First entry of each term; committing it commits the entries of earlier terms."""


class Change(msgspec.Struct, frozen=True, tag="change"):
    """A change of the configuration, made against a version of it."""

    change_id: str
    against: int
    actor: str
    at_ms: int
    puts: list[EntityPut] = []
    deletes: list[EntityKey] = []
    note: str = ""


class Drain(msgspec.Struct, frozen=True, tag="drain"):
    """Drains a target or daemon, or ends its drain."""

    change_id: str
    name: str
    leaving: bool
    actor: str
    at_ms: int


class Evacuate(msgspec.Struct, frozen=True, tag="evacuate"):
    """Closes a data hall to new work or opens it again, by an order made against a version.

    The command is idempotent.  An order that is delayed until a later one has been committed was
    made against an older version, and changes nothing.
    """

    data_hall: str
    evacuated: bool
    against: int
    actor: str
    at_ms: int


class Quarantine(msgspec.Struct, frozen=True, tag="quarantine"):
    """Quarantines a request by its fingerprint on all targets, or releases it."""

    fingerprint: str
    held: bool
    actor: str
    at_ms: int
    target_ids: list[str] = []
    """Evidence: the targets that exited while running it."""


class ClaimOpen(msgspec.Struct, frozen=True, tag="claim_open"):
    """Claims a request that must not be repeated, before it is sent."""

    workspace: str
    key: str
    digest: str
    generation_id: str
    at_ms: int
    expires_ms: int


class ClaimMove(msgspec.Struct, frozen=True, tag="claim_move"):
    """Transfers a claim to another attempt, after one that is known not to have run."""

    workspace: str
    key: str
    attempt: int
    generation_id: str


class ClaimSettle(msgspec.Struct, frozen=True, tag="claim_settle"):
    """Stores the outcome of a claimed request."""

    workspace: str
    key: str
    attempt: int
    outcome: str
    """``ended`` or ``fault``."""
    tokens: int = 0
    texts: list[str] | None = None
    """The generated texts, if they are small enough to be stored."""
    fault: str = ""


class ClaimRelease(msgspec.Struct, frozen=True, tag="claim_release"):
    """Releases the claim of a request that is known not to have run.

    It identifies the claim by generation, since the reply to the opening may have been lost.
    """

    workspace: str
    key: str
    generation_id: str


class Voter(msgspec.Struct, frozen=True):
    """A voting keeper, identified by its disk."""

    address: str
    disk_id: str


class Bootstrap(msgspec.Struct, frozen=True, tag="found"):
    """First entry of a fleet's log: the initial voters with their disks."""

    voters: dict[str, Voter]


class VoterAdd(msgspec.Struct, frozen=True, tag="voter_add"):
    """Adds a voter, or records the new disk of one; voters change one at a time."""

    name: str
    address: str
    disk_id: str


class VoterRemove(msgspec.Struct, frozen=True, tag="voter_remove"):
    """Removes a voter."""

    name: str


class Order(msgspec.Struct, frozen=True, tag="order"):
    """An order to a runner, fenced by the term and index of its entry."""

    order_id: str
    target: str
    action: str
    """``load`` or ``unload``."""
    model: str
    at_ms: int


class OrderDone(msgspec.Struct, frozen=True, tag="order_done"):
    """Records that an order was carried out, or given up."""

    order_id: str
    outcome: str


class Pin(msgspec.Struct, frozen=True, tag="pin"):
    """Keeps a model on a runner regardless of demand, or ends that."""

    target: str
    model: str
    pinned: bool


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """Publishes a complete document under its own version; the highest version is in force."""

    version: int
    content: bytes
    """The compressed document, opaque to the log."""
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
    """Encode a command."""
    return msgspec.json.encode(command)


def decode(data: bytes) -> Command:
    """Decode a command.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if `data` is not a valid command.
    """
    try:
        return _decode(data)
    except msgspec.MsgspecError as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"invalid command: {error}")
        raise faults.FaultError(fault) from error
