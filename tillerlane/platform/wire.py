"""The platform's headers and bodies, converted to and from the system's types."""

import ipaddress
import re
import zlib
from typing import Annotated, Literal

import msgspec

from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import dialect, routes
from tillerlane.gateway.http import http_head
from tillerlane.gateway.incarnation import ids as incarnations

__all__ = [
    "Heartbeat",
    "Leave",
    "build_forward",
    "build_refusal",
    "check_document",
    "check_target_name",
    "decode_heartbeat",
    "decode_leave",
    "decode_request",
    "decode_response",
    "parse_table",
]

REQUEST_ID = b"Request-Id"
DEADLINE = b"Deadline-Ms"
KEY = b"Credential"
WORKSPACE = b"Tenant"
TARGET_ID = b"Expect-Instance"
PRIORITY = b"Request-Priority"
LAST_EVENT_ID = b"Last-Event-Id"
RESUMES = b"Resumes"
PROMPT_PARTS = b"Prompt-Prefix"
COPY = b"Kv-From"
BACKUP = b"Kv-Backup"
HOLD = b"Hold"
NOT_RUN = b"not-run"
RATE_LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
MAX_WAIT_MS = 24 * 3600 * 1000
"""Bound on a number that a caller sends."""
MAX_PROMPT_PARTS = 64
"""Maximum number of parts of a prompt that are told apart; the longest list in use has 5."""
MAX_NAME_CHARACTERS = 200
"""Bound on names and addresses in targets' reports; the longest in use has 24."""
MAX_NUMBER_CHARACTERS = 20
"""Characters of the longest number that is read."""
MAX_COLD_MS = 3600 * 1000
"""Bound on how long a target may report to be cold; the longest in use is some seconds."""

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")
_PART_ID = re.compile(r"[0-9a-f]{1,128}")
_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        KEY,
        WORKSPACE,
        TARGET_ID,
        DEADLINE,
        PRIORITY,
        LAST_EVENT_ID,
        COPY,
        BACKUP,
        HOLD,
        b"Kv-Fetch",
        b"Pin-Ms",
        b"Expect-Version",
    )
)
"""Headers that only the system may set; those of a caller are dropped."""


# Requests and responses


def _parse_number(value: bytes | None) -> int | None:
    """A number in a header; None if it is missing or cannot be parsed."""
    digits = b"" if value is None else value.strip()
    if not digits.isdigit():
        return None
    return MAX_WAIT_MS if len(digits) > MAX_NUMBER_CHARACTERS else min(int(digits), MAX_WAIT_MS)


def decode_request(head: http_head.RequestHead) -> dialect.RequestFacts:
    """Facts of a caller's request."""
    headers = {name.lower(): value for name, value in head.headers}

    def get(name: bytes) -> str:
        return headers.get(name.lower(), b"").strip().decode("latin-1")

    wait_ms = _parse_number(headers.get(DEADLINE.lower()))
    # One header has both counts: the prompt's tokens, and the most output tokens.
    counts = [_parse_number(part.encode()) or 0 for part in get(b"Token-Counts").split(",")]
    max_output = counts[1] if len(counts) > 1 else 0
    hint = _parse_number(headers.get(b"length-hint"))
    return dialect.RequestFacts(
        request_id=get(REQUEST_ID),
        wait_seconds=None if wait_ms is None else wait_ms / 1000,
        key=get(KEY),
        prompt_tokens=counts[0] if counts else 0,
        output_tokens=max_output if hint is None else min(hint, max_output or hint),
        last_event_id=get(LAST_EVENT_ID),
        resumes=get(RESUMES),
        shared_parts=_parse_shared_parts(get(PROMPT_PARTS)),
    )


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Ids in a list of ``id:tokens``, without the last; skips those that are not hexadecimal."""
    listed = [item.partition(":")[0].strip().lower() for item in text.split(",")]
    known = (item for item in listed[:-1] if _PART_ID.fullmatch(item))
    return tuple(dict.fromkeys(known))[:MAX_PROMPT_PARTS]


def build_forward(head: http_head.RequestHead, plan: dialect.ForwardPlan) -> http_head.RequestHead:
    """The head of a request for one target."""
    headers = http_head.list_end_to_end(head.headers, _SYSTEM_HEADERS)
    headers.append((TARGET_ID, incarnations.parse_id(plan.target_id).name.encode()))
    headers.append((DEADLINE, str(max(1, int(plan.wait_seconds * 1000))).encode()))
    if plan.workspace:
        headers.append((WORKSPACE, plan.workspace.encode()))
    if http_head.get_header(headers, b"model") is not None:
        headers.append((PRIORITY, str(min(9, max(0, plan.priority))).encode()))
    if plan.last_event_id:
        headers.append((LAST_EVENT_ID, plan.last_event_id.encode("latin-1")))
    if plan.copy is not None:
        headers.append((COPY, f"{plan.copy.address}/{plan.copy.handle}".encode()))
    if plan.backup_address:
        headers.append((BACKUP, plan.backup_address.encode()))
    if plan.hold:
        headers.append((HOLD, plan.hold.encode("ascii")))
    headers.append((b"Connection", b"close"))
    return http_head.RequestHead(head.method, head.target, headers)


def decode_response(head: http_head.ResponseHead) -> dialect.ResponseFacts:
    """Facts of a target's response."""
    request_id = http_head.get_header(head.headers, REQUEST_ID.lower())
    is_other = head.status == 421
    # With any other status the target did run the request, whatever its headers say.
    may_reject = 400 <= head.status < 500 or head.status == 503
    is_rejected = may_reject and http_head.get_header(head.headers, NOT_RUN) is not None
    limit = _parse_decimal(head.headers, RATE_LIMIT)
    backoff = _parse_decimal(head.headers, RETRY_AFTER) if head.status == 503 else None
    leaving = _join_values(head.headers, LEAVING)
    reports = {"limit": limit, "backoff": backoff, "leaving": None if leaving == "1" else leaving}
    return dialect.ResponseFacts(
        request_id=(request_id or b"").strip().decode("latin-1"),
        did_run=not is_rejected and not is_other,
        is_other_target=is_other,
        is_leaving=leaving == "1",
        rate_limit=limit if isinstance(limit, float) else None,
        backoff_seconds=backoff if isinstance(backoff, float) else None,
        invalid=tuple(
            dialect.InvalidHeader(name, value)
            for name, value in reports.items()
            if isinstance(value, str)
        ),
    )


def _parse_decimal(headers: http_head.Headers, name: bytes) -> float | str | None:
    """A decimal number in a header; its text if it is not one, None without the header."""
    text = _join_values(headers, name)
    if text is None or len(text) > MAX_NUMBER_CHARACTERS or not _DECIMAL.fullmatch(text):
        return text
    return float(text)


def _join_values(headers: http_head.Headers, name: bytes) -> str | None:
    """All distinct values of a header, which may be repeated; None without one."""
    values = [value.strip().decode("latin-1") for known, value in headers if known.lower() == name]
    return ", ".join(dict.fromkeys(values))[:MAX_NAME_CHARACTERS] if values else None


def build_refusal(status: int, retry_after: float | None) -> http_head.ResponseHead:
    """The head of an entry's own response."""
    headers: http_head.Headers = []
    if retry_after is not None:
        headers.append((b"Retry-After", f"{retry_after:.2f}".encode()))
    return http_head.ResponseHead(status, headers)


# Configuration


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    """``goal_ms`` is the time within which a response gets its full credit."""

    name: str
    host: str
    path_prefix: str
    kind: str = "idempotent"
    timeout_ms: float | None = None
    goal_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    backends: list[_Split] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _Engine(msgspec.Struct):
    """``kv_capacity`` is in tokens, ``kv_token_bytes`` the size of one.

    An event of a stream holds ``stride`` of them.  ``hold_ms`` is the longest lease of memory that
    runners reserve; without it they reserve none.
    """

    slots: int = 1
    kv_capacity: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    stride: int = 1
    moves: bool = False
    backups: bool = False
    handle_s: float = 5.0
    hold_ms: float | None = None


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_conns: int = 100
    engine: _Engine | None = None
    cold_per_s: float | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    weight: float | None = None
    """Its part of a pool for which requests wait, relative to others; 1 unless set."""


MAX_CONFIG_VERSION = 2**63 - 1
"""Versions are 64 bits wide in messages between daemons."""


class _Document(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_CONFIG_VERSION)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_decode_document = msgspec.json.Decoder(_Document).decode
_REPEATS = {
    "idempotent": routes.RepeatPolicy.FREELY,
    "non_idempotent": routes.RepeatPolicy.ONCE,
    "streaming": routes.RepeatPolicy.STREAM,
}


def _build_route(item: _Route) -> routes.Route:
    if item.kind not in _REPEATS:
        raise msgspec.ValidationError(f"got kind {item.kind!r}, expected one of {list(_REPEATS)}")
    if item.backends is not None:
        pools = tuple((split.service, split.weight) for split in item.backends)
    else:
        pools = ((item.service or "", 1.0),)
    return routes.Route(
        name=item.name,
        host=item.host.lower(),
        path_prefix=item.path_prefix,
        repeat=_REPEATS[item.kind],
        pools=pools,
        timeout_seconds=None if item.timeout_ms is None else item.timeout_ms / 1000,
        objective_seconds=item.goal_ms / 1000,
        priority=item.priority,
        max_attempts=max(1, item.max_attempts),
        is_public=item.public,
        is_resumable=item.resumable,
        pause_objective_seconds=None if item.gap_aim_ms is None else item.gap_aim_ms / 1000,
    )


def _build_pool(item: _Service, found_routes: list[routes.Route]) -> routes.Pool:
    engine = None if item.engine is None else _build_engine(item.engine)
    cold_rate = item.cold_per_s or 0.0
    has_slack = engine is not None and routes.has_slack(item.name, found_routes)
    return routes.Pool(item.name, item.health_path, item.max_conns, engine, cold_rate, has_slack)


def _build_engine(item: _Engine) -> routes.Engine:
    return routes.Engine(
        slots=item.slots,
        memory_tokens=item.kv_capacity,
        token_bytes=item.kv_token_bytes,
        link_mbps=item.link_mbps,
        event_tokens=max(1, item.stride),
        can_move=item.moves,
        can_back_up=item.backups,
        copy_retention_seconds=item.handle_s,
        hold_seconds=max(0.0, item.hold_ms or 0.0) / 1000,
    )


def check_document(data: bytes) -> routes.RoutingTable:
    """The routing table of an operator's document.

    Raises
    ------
    faults.FaultError
        Of kind ``invalid_config`` if it cannot be decoded or breaks a rule.
    """
    try:
        document = _decode_document(data)
        found_routes = [_build_route(item) for item in document.routes]
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        message = f"cannot be decoded: {error}"
        raise faults.FaultError(
            faults.new_fault(kinds.ErrorKind.INVALID_CONFIG, message)
        ) from error
    limits = document.limits
    table = routes.RoutingTable(
        version=document.version,
        routes=tuple(found_routes),
        pools={item.name: _build_pool(item, found_routes) for item in document.services},
        limits=routes.ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        workspaces=tuple(
            routes.Workspace(
                item.name,
                tuple(item.api_keys),
                item.priority,
                1.0 if item.weight is None else item.weight,
            )
            for item in document.tenants
        ),
    )
    problems = routes.check_table(table)
    if problems:
        message = "; ".join(problems[:5])
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.INVALID_CONFIG, message))
    return table


def parse_table(content: bytes) -> routes.RoutingTable:
    """The routing table of a published document, as keepers hold it."""
    return check_document(zlib.decompress(content))


# Targets


_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Range of a column in the messages between daemons."""


class Heartbeat(msgspec.Struct):
    """Body of a target's heartbeat.

    The fields that are needed to use the target must be present, of the right type and within
    bounds: a report from another sender must not be used, nor disturb other targets' reports.
    """

    service: _Name
    addr: _Name
    zone: _Name
    slots: Annotated[int, msgspec.Meta(gt=0, lt=2**31)]
    state: Literal["ready", "draining"]
    seq: _Count
    version: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)] = ""
    """Version of its software, not of the weights."""
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0.0
    """How much longer it works slowly after its start."""
    born: _Count = 0
    """Unix milliseconds of its start; older targets do not report it."""


class Leave(msgspec.Struct):
    """Body of a target's report that it leaves now; it may be empty."""

    born: _Count = 0


_decode_heartbeat = msgspec.json.Decoder(Heartbeat).decode
_decode_leave = msgspec.json.Decoder(Leave).decode


def check_target_name(name: str) -> str:
    """A target's own id, which is a header of each request to it.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request``.
    """
    if 0 < len(name) <= MAX_NAME_CHARACTERS and name.isascii() and name.isprintable():
        return name
    message = f"got target id {name[:MAX_NAME_CHARACTERS]!r}, expected printable ASCII"
    raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))


def decode_heartbeat(data: bytes) -> Heartbeat:
    """A target's heartbeat.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request``.
    """
    try:
        heartbeat = _decode_heartbeat(data)
        _check_address(heartbeat.addr)
        return heartbeat
    except (msgspec.DecodeError, ValueError) as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"invalid heartbeat: {error}")
        raise faults.FaultError(fault) from error


def _check_address(address: str) -> None:
    """Raise `ValueError` unless an address is ``IP:port``."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 2**16):
        raise ValueError(f"got address {address[:MAX_NAME_CHARACTERS]!r}, expected IP:port")


def decode_leave(data: bytes) -> Leave:
    """A target's report that it leaves now.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request``.
    """
    if not data.strip():
        return Leave()
    try:
        return _decode_leave(data)
    except (msgspec.DecodeError, ValueError) as error:
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"invalid leave report: {error}")
        raise faults.FaultError(fault) from error
