"""Typed messages between daemons.

Each dataclass has a struct of the same name in ``messages.capnp``, and `tillerlane.peers.codec`
maps one to the other by name.  A new message needs a struct, a dataclass and a member of `Body`.
"""

import dataclasses

__all__ = ["Body", "Envelope"]

PROTOCOL = 1
"""Version of the peer protocol; daemons with another version are refused at ``Hello``."""
STOP_NOTICES_FEATURE = 1
"""Bit of ``Hello.features`` of daemons that accept `StopNotices`."""
FEATURES = STOP_NOTICES_FEATURE
"""Messages added since the first version of the protocol that this daemon accepts; a daemon ends
the link of a peer that sends it a message that it does not know."""


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Shows that the sender is alive."""


@dataclasses.dataclass(slots=True)
class Hello:
    """First message in each direction on a connection.

    ``pace_ms`` is the sender's heartbeat interval; after twice that without data the link is lost.
    ``features`` has a bit for each kind of message that the sender accepts beyond the first ones.
    """

    daemon_id: str
    incarnation: int
    fleet: str
    address: str
    protocol: int = PROTOCOL
    pace_ms: int = 850
    features: int = 0


@dataclasses.dataclass(slots=True)
class Start:
    """Requests that an agent run a generation or service call, or attach to one that it holds.

    With ``attach`` nothing is started.  ``offset`` is the first token to send, ``credit`` how many
    tokens may be sent before a `Credit` message; times are in milliseconds.
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
    """Tokens of several exchanges on one link, in columns.

    A struct for each run takes 4.4 us to encode and 8 us to decode, columns 0.7 and 0.9 us.
    """

    exchanges: list[int]
    offsets: list[int]
    counts: list[int]
    texts: list[str]

    @classmethod
    def gather(cls, runs: list[Run]) -> "Tokens":
        """Convert runs to columns."""
        return cls(
            [run.exchange for run in runs],
            [run.offset for run in runs],
            [len(run.texts) for run in runs],
            [text for run in runs for text in run.texts],
        )

    def split(self) -> list[Run]:
        """Convert columns back to runs; columns of unequal length are truncated to the shortest."""
        runs = []
        start = 0
        for exchange, offset, count in zip(self.exchanges, self.offsets, self.counts, strict=False):
            runs.append(Run(exchange, offset, self.texts[start : start + count]))
            start += count
        return runs


@dataclasses.dataclass(slots=True)
class End:
    """Last message of a generation: a reason, or a fault as JSON (see `link.format_fault`)."""

    reason: str
    tokens: int = 0
    prompt_tokens: int = 0
    fault: str = ""


@dataclasses.dataclass(slots=True)
class Credit:
    """Allows ``tokens`` more tokens on the exchange."""

    tokens: int


@dataclasses.dataclass(slots=True)
class Cancel:
    """Ends an exchange whose caller no longer needs it."""

    reason: str


@dataclasses.dataclass(slots=True)
class Load:
    """State of one target as seen by its agent; memory in tokens, times in milliseconds."""

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
    """Load reports of an agent's targets that have changed."""

    loads: list[Load]


@dataclasses.dataclass(slots=True)
class ConfigPull:
    """Requests the configuration changes after version ``have``."""

    have: int


@dataclasses.dataclass(slots=True)
class Entity:
    """One named entity of the configuration; ``body`` is JSON, ``version`` its last change."""

    kind: str
    name: str
    version: int
    body: str = ""
    deleted: bool = False


@dataclasses.dataclass(slots=True)
class ConfigDelta:
    """Updates a daemon from any version of at least ``base`` to ``version``."""

    base: int
    version: int
    whole: bool
    entities: list[Entity]


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon's report on itself; the one with the highest (incarnation, sequence) holds.

    ``ready`` is false for a keeper without contact to a leader, and for an entry out of service.
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
    """Changed members, or all of them if ``whole``."""

    members: list[Member]
    whole: bool = False


@dataclasses.dataclass(slots=True)
class Refusal:
    """Reply to a call that failed; ``fault`` is formatted by `link.format_fault`."""

    fault: str


@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Request for a vote; with ``pre`` it is a pre-vote, which grants nothing."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool


@dataclasses.dataclass(slots=True)
class VoteReply:
    """Reply to a `VoteRequest`; `fresh` if the voter's disk holds no log yet.

    `reason` says why a vote was refused and is only used in the candidate's log.
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
    """The leader's entries after ``prev_index``; without entries it renews the lease."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    commit: int
    entries: list[LogEntry]


@dataclasses.dataclass(slots=True)
class AppendReply:
    """Reply to an `AppendRequest`; on failure ``last_index`` is the index to try next."""

    term: int
    success: bool
    last_index: int
    disk_id: str = ""


@dataclasses.dataclass(slots=True)
class SnapshotPiece:
    """Bytes of a snapshot of ``total`` bytes, starting at ``offset``."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    total: int
    data: bytes


@dataclasses.dataclass(slots=True)
class SnapshotReply:
    """Reply to a `SnapshotPiece`: number of bytes received so far."""

    term: int
    received: int
    disk_id: str = ""


@dataclasses.dataclass(slots=True)
class Propose:
    """A command for the replicated log; ``hops`` counts how often keepers have forwarded it."""

    command: bytes
    hops: int = 0


@dataclasses.dataclass(slots=True)
class ProposeReply:
    """Result of the applied command, as JSON."""

    result: bytes
    leader: str = ""


@dataclasses.dataclass(slots=True)
class Query:
    """Queries a part of a daemon's state; arguments and result are JSON."""

    subject: str
    arguments: str = "{}"


@dataclasses.dataclass(slots=True)
class QueryReply:
    """Reply to a `Query`."""

    result: bytes


@dataclasses.dataclass(slots=True)
class Publication:
    """A published document; the highest ``version`` is in force, ``content`` is compressed."""

    version: int
    content: bytes


@dataclasses.dataclass(slots=True)
class PublicationPull:
    """Requests the publication of a peer with a later version than ``have``."""

    have: int


@dataclasses.dataclass(slots=True)
class Subscribe:
    """Subscribes an entry to a keeper's publications and target states, and to loads if set."""

    have: int
    entry: str
    loads: bool = False


@dataclasses.dataclass(slots=True)
class StateTable:
    """Known state of targets, in columns; see `tillerlane.gateway.directory`.

    ``sequences`` increase with each report of the target itself, ``age_ms`` is the age of the last
    one.  Messages carry the table as bytes (`codec.encode_table`), so that a keeper encodes it once
    for all its subscribers.
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
    software_versions: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class FormerTable:
    """Software versions of targets that were replaced, and how long ago one was last heard."""

    pools: list[str]
    software_versions: list[str]
    age_ms: list[int]


@dataclasses.dataclass(slots=True)
class TargetStates:
    """Target states that changed, or all of them if ``whole``, compressed.

    ``collected_ms`` is how long the sender of all states has been collecting heartbeats, itself or
    by what other keepers sent it; 0 from a daemon that takes no `StreamOrigins`.  ``former`` is a
    `FormerTable`, or empty.
    """

    table: bytes
    whole: bool = False
    collected_ms: int = 0
    former: bytes = b""


@dataclasses.dataclass(slots=True)
class TargetUse:
    """Load that one entry places on one target.

    ``tokens`` is the estimated memory, ``unread`` the prompt tokens waiting for prefill and
    ``unsaved`` the memory of runs without a copy elsewhere.
    ``events`` is the number of stream events received recently and ``event_ms`` the time spent
    waiting for them.  ``read_tokens`` is the number of prompt tokens prefilled recently and
    ``read_ms`` the time that this took.  ``claimed`` is memory that a waiting request needs next.
    """

    address: str
    requests: int
    tokens: int
    unread: int = 0
    unsaved: int = 0
    events: int = 0
    event_ms: int = 0
    read_tokens: int = 0
    read_ms: int = 0
    claimed: int = 0


@dataclasses.dataclass(slots=True)
class EntryLoads:
    """Load that one entry places on all targets; a later ``sequence`` replaces an earlier one.

    ``workspaces`` is a `WorkspaceTable` of its own requests, or empty.
    """

    entry: str
    sequence: int
    uses: list[TargetUse]
    workspaces: bytes = b""


@dataclasses.dataclass(slots=True)
class UseTable:
    """Loads of several targets, in columns; see `TargetUse`.

    Messages carry the table as bytes (`codec.encode_table`), so that a keeper encodes it once for
    all its subscribers.  A list of structs takes 115 us to decode for eight targets, columns 49 us
    for thirty (mean of 2,000 on one core, which was shared with other work).
    """

    addresses: list[str]
    requests: list[int]
    tokens: list[int]
    unread: list[int]
    unsaved: list[int]
    events: list[int]
    event_ms: list[int]
    read_tokens: list[int] = dataclasses.field(default_factory=list)
    read_ms: list[int] = dataclasses.field(default_factory=list)
    claimed: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PassedLoads:
    """Load reports of several entries, forwarded from one keeper to another.

    Each of ``entries`` has one of ``sequences``, and ``counts`` gives its number of table rows.
    ``workspaces`` has each entry's `WorkspaceTable`, or nothing if all are empty.
    """

    entries: list[str]
    sequences: list[int]
    counts: list[int]
    table: bytes
    workspaces: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class LoadDigest:
    """Load from all entries: for targets that changed, or for all of them if ``whole``.

    Consecutive digests of a keeper have consecutive ``sequence``.  ``included`` is the sequence of
    the receiver's own report that is part of the sums; 0 if there is none.  ``workspaces`` is a
    `WorkspaceTable` of the rows that changed, or of all, and empty without any.
    """

    keeper: str
    sequence: int
    included: int
    whole: bool
    table: bytes
    workspaces: bytes = b""


@dataclasses.dataclass(slots=True)
class WorkspaceTable:
    """Requests of workspaces at pools, in columns.

    ``waiting`` requests of a priority with ``waiting_tokens`` of prompts wait for the pool.
    ``served_tokens`` is the workspace's decayed counter; it is in one of its rows only.
    """

    pools: list[str]
    workspaces: list[str]
    priorities: list[int]
    waiting: list[int]
    waiting_tokens: list[int]
    served_tokens: list[int]


@dataclasses.dataclass(slots=True)
class EndTable:
    """Targets that exited while they ran a request, in columns; messages carry it as bytes.

    A row is the request's fingerprint, or a part of its prompt, the target, whether that exit no
    longer counts because such a request succeeded elsewhere, whether the target had begun to answer
    it, and whether it was sent as a trial.
    """

    fingerprints: list[str]
    target_ids: list[str]
    cleared: list[bool]
    begun: list[bool] = dataclasses.field(default_factory=list)
    trials: list[bool] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SuspectTrials:
    """Requests or parts of prompts of which an entry has just sent one as a trial."""

    keys: list[str]


@dataclasses.dataclass(slots=True)
class TargetEnds:
    """Updates on requests during which targets exited."""

    table: bytes


@dataclasses.dataclass(slots=True)
class LimitTable:
    """Limits stated by targets, in columns; messages carry it as bytes.

    ``limits`` are in requests per second.  ``named_ms`` is the age of the last response that stated
    the limit, ``unnamed_ms`` that of the first later response that stated none, -1 without one.
    """

    target_ids: list[str]
    limits: list[float]
    versions: list[int]
    named_ms: list[int]
    unnamed_ms: list[int]


@dataclasses.dataclass(slots=True)
class TargetLimits:
    """Updates on limits stated by targets."""

    table: bytes


@dataclasses.dataclass(slots=True)
class TargetBackoffs:
    """Targets that have requested back-off from an entry, and the remaining time (ms)."""

    target_ids: list[str]
    left_ms: list[int]


@dataclasses.dataclass(slots=True)
class TargetFailures:
    """Targets that broke off requests, and how long to avoid them (ms); 0 after a success."""

    target_ids: list[str]
    left_ms: list[int]


@dataclasses.dataclass(slots=True)
class StopNotices:
    """Runs that ``entry`` orders to stop although it does not relay their streams (any more).

    ``addresses`` are those of their runners, ``left_ms`` is the time for which the runners may
    still carry out the orders.
    """

    request_ids: list[str]
    addresses: list[str]
    left_ms: list[int]
    entry: str = ""


@dataclasses.dataclass(slots=True)
class TargetSlowdowns:
    """Targets that are slower for a short time, and the remaining time (ms)."""

    target_ids: list[str]
    left_ms: list[int]


@dataclasses.dataclass(slots=True)
class CallerReturns:
    """Requests that were refused for lack of capacity, by fingerprint.

    ``first_ms`` is the time since the caller's first attempt arrived, ``left_ms`` the time until
    the caller may return.
    """

    fingerprints: list[str]
    first_ms: list[int]
    left_ms: list[int]


@dataclasses.dataclass(slots=True)
class StreamOrigins:
    """Pool and software version that began streams; see `tillerlane.gateway.origins`.

    ``pools`` and ``software_versions`` are the distinct pairs, ``groups`` the position of each
    stream's pair among them, ``left_ms`` how long a stream may still be resumed.
    """

    pools: list[str]
    software_versions: list[str]
    groups: list[int]
    keys: list[int]
    attempts: list[int]
    left_ms: list[int]


@dataclasses.dataclass(slots=True)
class OriginQuery:
    """Asks for the origin of a stream; a keeper asks the others unless it is ``is_forwarded``."""

    key: int
    is_forwarded: bool = False


@dataclasses.dataclass(slots=True)
class OriginReply:
    """Origin of a stream, if it is ``known``.

    ``is_alone`` tells that the sender, which does not know it, reached no majority of the keepers.
    """

    known: bool
    pool: str = ""
    software_version: str = ""
    attempt: int = 0
    left_ms: int = 0
    is_alone: bool = False


@dataclasses.dataclass(slots=True)
class PermitWish:
    """Number of permits that an entry requests for a target with the given limit per second.

    ``returned`` is the number of earlier permits that it gives back unused.
    """

    target_id: str
    count: int
    limit: float
    returned: int = 0


@dataclasses.dataclass(slots=True)
class PermitRequest:
    """Requests permits from the leader of the log, directly or through another keeper."""

    wishes: list[PermitWish]
    hops: int = 0


@dataclasses.dataclass(slots=True)
class PermitGrant:
    """Allows ``count`` requests to a target within ``hold_ms`` of the permit request."""

    target_id: str
    count: int
    hold_ms: int


@dataclasses.dataclass(slots=True)
class PermitReply:
    """Granted permits; targets without any are omitted."""

    grants: list[PermitGrant]


@dataclasses.dataclass(slots=True)
class FreshnessRequest:
    """Queries until what time a publication was known to be the latest."""

    have: int


@dataclasses.dataclass(slots=True)
class FreshnessReply:
    """``version`` was the latest one ``age_ms`` before this reply was sent, if ``known``.

    ``keepers`` are the voters' peer addresses, ``entries`` is the number of subscribed entries,
    ``orders_version`` the version of the entity store, which holds operators' orders.
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
    """A keeper to which the sender or another keeper has a link.

    ``fresh`` if its disk holds no log entry, ``leaving`` if it is in a planned stop.
    """

    name: str
    address: str
    disk_id: str
    fresh: bool
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class KeeperAnnounce:
    """Keepers known to the sender, itself first."""

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
    | SuspectTrials
    | TargetLimits
    | TargetBackoffs
    | TargetFailures
    | StopNotices
    | TargetSlowdowns
    | CallerReturns
    | StreamOrigins
    | OriginQuery
    | OriginReply
    | PermitRequest
    | PermitReply
    | FreshnessRequest
    | FreshnessReply
    | KeeperAnnounce
)


@dataclasses.dataclass(slots=True)
class Envelope:
    """A message with the fields common to all messages."""

    clock: int
    config_version: int
    exchange: int
    body: Body
