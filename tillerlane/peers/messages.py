"""Typed messages between daemons.

Each dataclass here has a struct of the same name in ``messages.capnp``; `tillerlane.peers.codec`
derives one from the other, so that a new message is a struct, a dataclass and a row of `Body`.
"""

import dataclasses

__all__ = ["Body", "Envelope"]

PROTOCOL = 1
"""Version of the peer protocol; daemons of another one are refused at ``Hello``."""


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Shows that the sender lives."""


@dataclasses.dataclass(slots=True)
class Hello:
    """First message each way on a connection.

    ``pace_ms`` is how long the sender may be silent; twice that, and it is given up.
    """

    daemon_id: str
    incarnation: int
    fleet: str
    address: str
    protocol: int = PROTOCOL
    pace_ms: int = 850


@dataclasses.dataclass(slots=True)
class Start:
    """Asks an agent to run a generation or service call, or to attach to one that it holds.

    ``attach`` never starts anything.  ``offset`` is the first token wanted, ``credit`` the tokens
    that may be sent before a `Credit` message; times are in milliseconds.
    """

    generation_id: str
    request_id: str
    workspace: str
    class_name: str
    model: str
    target: str
    payload: bytes
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hash: int = 0
    deadline_ms: int = 0
    offset: int = 0
    credit: int = 0
    attach: bool = False
    waited_ms: int = 0


@dataclasses.dataclass(slots=True)
class Accepted:
    """The agent holds the generation; tokens follow from ``offset``."""

    generation_id: str
    offset: int


@dataclasses.dataclass(slots=True)
class Run:
    """Consecutive tokens of one exchange, the first at ``offset``."""

    exchange: int
    offset: int
    texts: list[str]


@dataclasses.dataclass(slots=True)
class Tokens:
    """Tokens of any number of exchanges on one link, in columns.

    A struct for each run cost 4.4 us to write and 8 us to read, columns 0.7 and 0.9 us.
    """

    exchanges: list[int]
    offsets: list[int]
    counts: list[int]
    texts: list[str]

    @classmethod
    def gather(cls, runs: list[Run]) -> "Tokens":
        """Put runs into columns."""
        return cls(
            [run.exchange for run in runs],
            [run.offset for run in runs],
            [len(run.texts) for run in runs],
            [text for run in runs for text in run.texts],
        )

    def split(self) -> list[Run]:
        """The runs again; columns that do not fit each other give what they can."""
        runs = []
        begin = 0
        for exchange, offset, count in zip(self.exchanges, self.offsets, self.counts, strict=False):
            runs.append(Run(exchange, offset, self.texts[begin : begin + count]))
            begin += count
        return runs


@dataclasses.dataclass(slots=True)
class End:
    """Last message of a generation: a reason, or a fault as JSON (see `write_fault`)."""

    reason: str
    tokens: int = 0
    prompt_tokens: int = 0
    fault: str = ""


@dataclasses.dataclass(slots=True)
class Credit:
    """Allows that many more tokens on the exchange."""

    tokens: int


@dataclasses.dataclass(slots=True)
class Cancel:
    """The caller no longer wants the exchange."""

    reason: str


@dataclasses.dataclass(slots=True)
class Load:
    """State of one target as its agent sees it; memory in tokens, times in milliseconds."""

    target: str
    waiting: int = 0
    running: int = 0
    memory_used: int = 0
    memory_total: int = 0
    memory_promised: int = 0
    step_ms: float = 0.0
    wait_ms: float = 0.0
    leaving: bool = False
    healthy: bool = True
    prefixes: list[int] = dataclasses.field(default_factory=list)
    models: list[str] = dataclasses.field(default_factory=list)
    sequence: int = 0
    urgent_wait_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Loads:
    """Load reports of all targets of an agent that have changed."""

    loads: list[Load]


@dataclasses.dataclass(slots=True)
class ConfigPull:
    """Asks for what came after version ``have``."""

    have: int


@dataclasses.dataclass(slots=True)
class Entity:
    """One named piece of the configuration; ``body`` is JSON, ``version`` its last change."""

    kind: str
    name: str
    version: int
    body: str = ""
    deleted: bool = False


@dataclasses.dataclass(slots=True)
class ConfigDelta:
    """Takes a daemon from any version of at least ``base`` to ``version``."""

    base: int
    version: int
    whole: bool
    entities: list[Entity]


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon's word on itself; the highest (incarnation, sequence) is the truth.

    ``ready`` is false for a keeper that hears no leader, and for an entry out of service.
    """

    daemon_id: str
    incarnation: int
    sequence: int
    address: str
    http_address: str
    data_hall: str
    roles: list[str]
    targets: list[str]
    leaving: bool = False
    config_version: int = 0
    state: str = "live"
    leaving_targets: list[str] = dataclasses.field(default_factory=list)
    ready: bool = True


@dataclasses.dataclass(slots=True)
class Members:
    """Changed members, or with ``whole`` all of them."""

    members: list[Member]
    whole: bool = False


@dataclasses.dataclass(slots=True)
class Refusal:
    """Answers a call that failed; ``fault`` as written by `write_fault`."""

    fault: str


@dataclasses.dataclass(slots=True)
class VoteRequest:
    """A candidate asks for a vote; with ``pre`` it only asks whether it would get one."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool


@dataclasses.dataclass(slots=True)
class VoteReply:
    """Answer to a `VoteRequest`; `fresh` if the voter's disk holds no log yet.

    `reason` says why a vote is refused, for the candidate's log only.
    """

    term: int
    granted: bool
    disk_id: str = ""
    fresh: bool = False
    reason: str = ""


@dataclasses.dataclass(slots=True)
class LogEntry:
    """One entry of the replicated log."""

    term: int
    index: int
    command: bytes


@dataclasses.dataclass(slots=True)
class AppendRequest:
    """The leader's entries after ``prev_index``; with none it renews the lease."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    commit: int
    entries: list[LogEntry]


@dataclasses.dataclass(slots=True)
class AppendReply:
    """Answer to an `AppendRequest`; on failure ``last_index`` says where to try next."""

    term: int
    success: bool
    last_index: int
    disk_id: str = ""


@dataclasses.dataclass(slots=True)
class SnapshotPiece:
    """Bytes of a snapshot from ``offset`` of ``total``."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    total: int
    data: bytes


@dataclasses.dataclass(slots=True)
class SnapshotReply:
    """Answer to a `SnapshotPiece`: bytes held so far."""

    term: int
    received: int
    disk_id: str = ""


@dataclasses.dataclass(slots=True)
class Propose:
    """A command for the replicated log; ``hops`` counts forwarding between keepers."""

    command: bytes
    hops: int = 0


@dataclasses.dataclass(slots=True)
class ProposeReply:
    """What the applied command answered, as JSON."""

    result: bytes
    leader: str = ""


@dataclasses.dataclass(slots=True)
class Query:
    """Asks a daemon for a part of its state; arguments and result are JSON."""

    subject: str
    arguments: str = "{}"


@dataclasses.dataclass(slots=True)
class QueryReply:
    """Answer to a `Query`."""

    result: bytes


@dataclasses.dataclass(slots=True)
class Publication:
    """A published document: the highest ``version`` holds; ``content`` is compressed."""

    version: int
    content: bytes


@dataclasses.dataclass(slots=True)
class PublicationPull:
    """Asks a peer that is ahead for its publication."""

    have: int


@dataclasses.dataclass(slots=True)
class Subscribe:
    """An entry asks a keeper for publications and target states, with ``loads`` for loads too."""

    have: int
    entry: str
    loads: bool = False


@dataclasses.dataclass(slots=True)
class StateTable:
    """What is known of targets, in columns; see `tillerlane.gateway.directory`.

    ``sequences`` rise with each word of the target itself, ``age_ms`` is the time since its last.
    It stands in messages as bytes (`encode_table`), so that a keeper writes it once for all its
    subscribers.
    """

    target_ids: list[str]
    pools: list[str]
    addresses: list[str]
    data_halls: list[str]
    slots: list[int]
    phases: list[str]
    sequences: list[int]
    cold_ms: list[int]
    age_ms: list[int]


@dataclasses.dataclass(slots=True)
class TargetStates:
    """Target states that changed, or with ``whole`` all of them, compressed."""

    table: bytes
    whole: bool = False


@dataclasses.dataclass(slots=True)
class TargetUse:
    """What one entry has under way at one target.

    ``tokens`` is its estimate of memory, ``unread`` are prompt tokens that wait to be read,
    ``unsaved`` is the memory of runs that has no copy elsewhere.  ``events`` of streams came from
    it lately, over ``event_ms`` of waiting for them.
    """

    address: str
    requests: int
    tokens: int
    unread: int = 0
    unsaved: int = 0
    events: int = 0
    event_ms: int = 0


@dataclasses.dataclass(slots=True)
class EntryLoads:
    """All that one entry has under way; a later ``sequence`` replaces an earlier one."""

    entry: str
    sequence: int
    uses: list[TargetUse]


@dataclasses.dataclass(slots=True)
class UseTable:
    """Uses of many targets in columns; see `TargetUse`.

    It stands in messages as bytes (`encode_table`), so that a keeper writes it once for all its
    subscribers.  A list of structs took 115 us for eight targets to read, columns 49 us for thirty
    (mean of 2,000 on one core beside other work).
    """

    addresses: list[str]
    requests: list[int]
    tokens: list[int]
    unread: list[int]
    unsaved: list[int]
    events: list[int]
    event_ms: list[int]


@dataclasses.dataclass(slots=True)
class PassedLoads:
    """Words of several entries that one keeper passes on to another.

    Each of ``entries`` has one of ``sequences`` and as many rows of the table as ``counts`` says.
    """

    entries: list[str]
    sequences: list[int]
    counts: list[int]
    table: bytes


@dataclasses.dataclass(slots=True)
class LoadDigest:
    """What all entries have under way: targets that changed, or with ``whole`` all of them.

    Consecutive digests of a keeper have consecutive ``sequence``.  ``included`` is that of the
    receiver's own word that went into the sums; 0 if there is none.
    """

    keeper: str
    sequence: int
    included: int
    whole: bool
    table: bytes


@dataclasses.dataclass(slots=True)
class EndTable:
    """Targets that ended while they had a request, in columns; it stands in messages as bytes.

    A row is a request's fingerprint, a target, and whether that end counts no more, since the
    request ended well elsewhere.
    """

    fingerprints: list[str]
    target_ids: list[str]
    cleared: list[bool]


@dataclasses.dataclass(slots=True)
class TargetEnds:
    """What the sender knows anew of requests under which targets ended."""

    table: bytes


@dataclasses.dataclass(slots=True)
class LimitTable:
    """Limits that targets name, in columns; it stands in messages as bytes.

    ``limits`` are requests a second, ``named_ms`` the age of the answer that named it last,
    ``unnamed_ms`` that of the first one behind it that named none; -1 if there is none.
    """

    target_ids: list[str]
    limits: list[float]
    versions: list[int]
    named_ms: list[int]
    unnamed_ms: list[int]


@dataclasses.dataclass(slots=True)
class TargetLimits:
    """What the sender knows anew of limits that targets name."""

    table: bytes


@dataclasses.dataclass(slots=True)
class TargetBackoffs:
    """Targets that have asked some entry for back-off, and how much of it is left (ms)."""

    target_ids: list[str]
    left_ms: list[int]


@dataclasses.dataclass(slots=True)
class PermitWish:
    """Permits that an entry could use for a target, whose limit it takes to be so many a second.

    ``returned`` are those given before that it gives back.
    """

    target_id: str
    count: int
    limit: float
    returned: int = 0


@dataclasses.dataclass(slots=True)
class PermitRequest:
    """Asks the leader of the log, directly or through another keeper, for permits."""

    wishes: list[PermitWish]
    hops: int = 0


@dataclasses.dataclass(slots=True)
class PermitGrant:
    """So many requests may be sent to a target within ``hold_ms`` of the asking."""

    target_id: str
    count: int
    hold_ms: int


@dataclasses.dataclass(slots=True)
class PermitReply:
    """Permits given; targets that get none now are left out."""

    grants: list[PermitGrant]


@dataclasses.dataclass(slots=True)
class FreshnessRequest:
    """Asks up to when a publication is known to be the newest."""

    have: int


@dataclasses.dataclass(slots=True)
class FreshnessReply:
    """``version`` was the newest ``age_ms`` before this reply was written, if ``known``.

    ``keepers`` are the voters' peer addresses, ``entries`` how many entries are subscribed,
    ``orders_version`` that of the entity store, which holds operators' orders.
    """

    version: int
    age_ms: int
    known: bool
    keepers: list[str]
    entries: int = 0
    applied_index: int = 0
    orders_version: int = 0


@dataclasses.dataclass(slots=True)
class KeeperSeen:
    """A keeper that somebody has a link to.

    ``fresh`` tells that its disk holds no entry, ``leaving`` that it stops as planned.
    """

    name: str
    address: str
    disk_id: str
    fresh: bool
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class KeeperAnnounce:
    """Keepers that the sender knows of, itself first."""

    keepers: list[KeeperSeen]


Body = (
    Heartbeat
    | Hello
    | Start
    | Accepted
    | Tokens
    | End
    | Credit
    | Cancel
    | Loads
    | ConfigPull
    | ConfigDelta
    | Members
    | Refusal
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotPiece
    | SnapshotReply
    | Propose
    | ProposeReply
    | Query
    | QueryReply
    | Publication
    | PublicationPull
    | Subscribe
    | TargetStates
    | EntryLoads
    | PassedLoads
    | LoadDigest
    | TargetEnds
    | TargetLimits
    | TargetBackoffs
    | PermitRequest
    | PermitReply
    | FreshnessRequest
    | FreshnessReply
    | KeeperAnnounce
)


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message with what every message carries."""

    clock: int
    config_version: int
    exchange: int
    body: Body
