"""Callers' requests: validated on arrival, then passed on as a plain dataclass."""

import dataclasses
import hashlib
import json
import secrets
from typing import Annotated, Any, Literal

import pydantic

from tillerlane.config import documents, reader
from tillerlane.config import store as stores
from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = [
    "ChatBody",
    "CompletionBody",
    "Form",
    "Request",
    "build_request",
    "find_class",
    "new_request_id",
    "parse_body",
    "parse_event_id",
    "parse_generation_id",
]

Form = Literal["chat", "completion", "service"]

CHARACTERS_PER_TOKEN = 4
"""Estimate of a prompt's tokens, as the engine's tokenizer is not available here."""
PREFIX_CHARACTERS = 1_024
"""Length of the prompt's prefix that is hashed for routing by prefix cache."""
MAX_KEY_CHARACTERS = 200
_SEPARATOR = "~"


class _Body(pydantic.BaseModel):
    """Fields common to both forms; unknown fields are accepted and ignored."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: Annotated[str, pydantic.Field(min_length=1, max_length=200)]
    stream: bool = False
    max_tokens: Annotated[int, pydantic.Field(gt=0)] | None = None
    max_completion_tokens: Annotated[int, pydantic.Field(gt=0)] | None = None
    n: Literal[1] = 1
    timeout: Annotated[float, pydantic.Field(gt=0)] | None = None
    """Seconds until the caller's own timeout."""


class _Message(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    role: str
    content: str | list[dict[str, Any]] | None = None


class ChatBody(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: Annotated[list[_Message], pydantic.Field(min_length=1)]

    def format_prompt(self) -> str:
        """The conversation, encoded as JSON."""
        return json.dumps([item.model_dump() for item in self.messages], ensure_ascii=False)


class CompletionBody(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: str

    def format_prompt(self) -> str:
        """The prompt as given."""
        return self.prompt


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, ready to be routed.

    ``deadline`` is a time of the event loop in seconds.  ``targets`` maps each possible target
    to its data hall.
    """

    request_id: str
    workspace: str
    class_name: str
    model: str
    group: str
    """Name of the pool or service."""
    targets: dict[str, str]
    payload: bytes
    prompt_tokens: int
    max_tokens: int
    prefix_hash: int
    arrived: float
    deadline: float
    priority: int
    urgent: bool
    repeatable: bool
    delivery: documents.Delivery
    retry_share: float
    idempotency_key: str

    @property
    def digest(self) -> str:
        """Hash that distinguishes different requests under the same idempotency key."""
        text = f"{self.class_name}\n{self.model}\n".encode() + self.payload
        return hashlib.sha256(text).hexdigest()[:32]


def new_request_id() -> str:
    """Generate a request id."""
    return "r-" + secrets.token_hex(8)


def new_generation_id(target: str, class_name: str) -> str:
    """Generate a generation id, which names its target so that any entry can find it."""
    return _SEPARATOR.join([target, class_name, secrets.token_hex(8)])


def parse_generation_id(generation_id: str) -> tuple[str, str]:
    """Target and class of a generation.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if the id is malformed.
    """
    parts = generation_id.split(_SEPARATOR)
    if len(parts) != 3 or not all(parts):
        raise _build_bad_request(
            f"got {generation_id!r}, expected the generation id of an event id"
        )
    return parts[0], parts[1]


def parse_event_id(text: str) -> tuple[str, int]:
    """Generation and next offset of a ``Last-Event-ID``."""
    generation_id, _, offset = text.rpartition(":")
    if not (offset.isascii() and offset.isdigit()) or len(offset) > 9:
        raise _build_bad_request(f"got Last-Event-ID {text[:80]!r}, expected GENERATION:OFFSET")
    parse_generation_id(generation_id)
    return generation_id, int(offset)


def parse_body(model: type[_Body], data: bytes) -> Any:
    """Parse and validate a body.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request``, with the path of each problem.
    """
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as error:
        problems = reader.describe_errors(error, model)
        raise _build_bad_request("body: " + "; ".join(problems[:5])) from error


def find_class(
    configuration: stores.Configuration, workspace: str, model: str, header: str
) -> tuple[str, documents.ClassOfWork]:
    """Find the class of work by header or model alias, checking that the workspace may use it."""
    name = configuration.class_by_alias.get(header or model)
    if name is None:
        message = f"got {header or model!r}, expected a class of work or one of its aliases"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.UNKNOWN_MODEL, message))
    allowed = configuration.workspaces[workspace].classes
    if allowed is not None and name not in allowed:
        message = f"workspace {workspace!r} may not use class {name!r}"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.FORBIDDEN, message))
    return name, configuration.classes[name]


def build_request(
    configuration: stores.Configuration,
    workspace: str,
    body: ChatBody | CompletionBody,
    *,
    request_id: str,
    class_header: str,
    idempotency_key: str,
    now: float,
) -> Request:
    """Build a request from a validated body.

    Raises
    ------
    faults.FaultError
        If the model or class is unknown or not allowed.
    """
    class_name, work = find_class(configuration, workspace, body.model, class_header)
    pool = configuration.pools[work.pool]
    prompt = body.format_prompt()
    requested_tokens = body.max_completion_tokens or body.max_tokens or work.max_tokens
    return Request(
        request_id=request_id,
        workspace=workspace,
        class_name=class_name,
        model=work.model,
        group=work.pool,
        targets={name: runner.data_hall for name, runner in pool.runners.items()},
        payload=prompt.encode(),
        prompt_tokens=max(1, len(prompt) // CHARACTERS_PER_TOKEN),
        max_tokens=min(requested_tokens, work.max_tokens),
        prefix_hash=_hash_prefix(work.model, prompt),
        arrived=now,
        deadline=now + min(work.deadline_seconds, body.timeout or work.deadline_seconds),
        priority=work.priority,
        urgent=work.urgent,
        repeatable=work.repeatable,
        delivery=work.delivery,
        retry_share=work.retry_share,
        idempotency_key=check_key(idempotency_key),
    )


def check_key(key: str) -> str:
    """Return an ``Idempotency-Key`` after checking its length."""
    if len(key) > MAX_KEY_CHARACTERS:
        raise _build_bad_request(
            f"got an Idempotency-Key of {len(key)} characters, expected at most 200"
        )
    return key


def _hash_prefix(model: str, prompt: str) -> int:
    """Hash of the prompt's prefix; 0 if the prompt is shorter than the prefix."""
    if len(prompt) < PREFIX_CHARACTERS:
        return 0
    text = f"{model}\n{prompt[:PREFIX_CHARACTERS]}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest(), "big")


def _build_bad_request(message: str) -> faults.FaultError:
    return faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))
