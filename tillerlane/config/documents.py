"""Models of the configuration document that operators submit.

The document has one section for each kind of entity, which maps names to entities.  Times are in
seconds and lengths in tokens unless a name says otherwise.
"""

import enum
import hashlib
import re
import secrets
from typing import Annotated

import pydantic

__all__ = [
    "KINDS",
    "ClassOfWork",
    "Delivery",
    "Document",
    "Fleet",
    "Limits",
    "OnDisconnect",
    "Operator",
    "OperatorRole",
    "Policy",
    "Pool",
    "Runner",
    "Service",
    "Workspace",
    "hash_key",
    "new_key",
]

_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
_HASH_PATTERN = re.compile(r"^sha256:[0-9a-f]{64}$")
_KEY_BYTES = 24


def _check_name(name: str) -> str:
    if not _NAME_PATTERN.match(name):
        raise ValueError("a name of 1 to 63 characters of a-z, 0-9, '.', '_', '-'")
    return name


def _check_hash(value: str) -> str:
    if not _HASH_PATTERN.match(value):
        raise ValueError(
            "'sha256:' and 64 hexadecimal digits, as printed by 'tillerlane workspace key'"
        )
    return value


Name = Annotated[str, pydantic.AfterValidator(_check_name)]
KeyHash = Annotated[str, pydantic.AfterValidator(_check_hash)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=7 * 86_400, allow_inf_nan=False)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]


def new_key() -> str:
    """Generate a secret key."""
    return "tl-" + secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Hash a key for storage in the configuration.

    Keys are long and random, so an unsalted hash is sufficient.
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


class Model(pydantic.BaseModel):
    """Base of the models: unknown keys are errors, instances are immutable."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Limits(Model):
    """Limits of a workspace over all entries together; None is no limit."""

    requests_per_second: Annotated[float, pydantic.Field(gt=0)] | None = None
    concurrent: Annotated[int, pydantic.Field(gt=0)] | None = None
    tokens_per_minute: Annotated[float, pydantic.Field(gt=0)] | None = None


class Workspace(Model):
    """A customer: keys, share and limits.

    `keys` holds hashes only; a second key allows replacement without interruption.
    """

    keys: list[KeyHash] = []
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    limits: Limits = Limits()
    classes: list[Name] | None = None
    """Classes of work that it may use; None is all."""


class Delivery(enum.StrEnum):
    """How tokens are delivered to the caller."""

    STREAM = "stream"
    WHOLE = "whole"
    """Buffered at the entry until the end, so that a failed runner delays the response only."""


class OnDisconnect(enum.StrEnum):
    """What happens to a generation whose caller has disconnected."""

    CANCEL = "cancel"
    FINISH = "finish"


class ClassOfWork(Model):
    """A class of work: its pool, model, priority, deadline and delivery."""

    pool: Name
    model: str
    aliases: list[str] = []
    """Further names that callers may give as ``model``."""
    priority: Annotated[int, pydantic.Field(ge=0, le=100)] = 50
    urgent: bool = False
    """Whether it may use the headroom that the policy reserves for urgent work."""
    deadline_seconds: Seconds = 600
    repeatable: bool = True
    delivery: Delivery = Delivery.STREAM
    retry_share: Share = 0.1
    """Maximum retries as a share of the class's requests."""
    on_disconnect: OnDisconnect = OnDisconnect.CANCEL
    max_tokens: Annotated[int, pydantic.Field(gt=0, le=200_000)] = 4_096


class Policy(Model):
    """A policy program: CEL expressions over the facts of `tillerlane.policy.facts`.

    The built-in rule applies to an expression that is absent.
    """

    rank: str | None = None
    may_wait: str | None = None
    sacrifice: str | None = None
    admit_risk: str | None = None
    headroom: str | None = None
    place: str | None = None
    examples: list["PolicyExample"] = []


class PolicyExample(Model):
    """An example within a policy: facts and the expected value of an expression."""

    expression: str
    facts: dict[str, pydantic.JsonValue] = {}
    gives: pydantic.JsonValue


class Runner(Model):
    """A runner of a pool."""

    data_hall: Name
    models: list[str] | None = None
    """Models loaded at start; None is all models of the pool."""


class Pool(Model):
    """Runners that serve the same models under one policy."""

    models: Annotated[list[str], pydantic.Field(min_length=1)]
    runners: dict[Name, Runner]
    policy: Name | None = None
    most_models: Annotated[int, pydantic.Field(gt=0)] | None = None
    """Maximum models loaded on one runner, for placement by demand; None disables placement."""
    max_waiting: Annotated[int, pydantic.Field(gt=0)] = 1_000
    """Maximum length of one runner's queue; further requests are refused."""


class Service(Model):
    """A plain HTTP service next to the model engines."""

    targets: dict[Name, Runner]
    repeatable: bool = True
    """Whether every call may be retried; otherwise only GET and HEAD may."""
    deadline_seconds: Seconds = 30
    concurrent: Annotated[int, pydantic.Field(gt=0)] = 64
    """Maximum concurrent calls at one target."""


class OperatorRole(enum.StrEnum):
    """What an operator may do."""

    READ = "read"
    APPLY = "apply"
    DRAIN = "drain"


class Operator(Model):
    """An account for the operators' interface."""

    keys: list[KeyHash]
    roles: list[OperatorRole] = [OperatorRole.READ]


class Fleet(Model):
    """Settings that apply to the entire fleet."""

    resume_seconds: Seconds = 60
    """How long an ended generation can still be read with ``Last-Event-ID``."""
    detached_seconds: Seconds = 15
    """How long a generation continues after the loss of its entry."""
    claim_seconds: Seconds = 86_400
    """How long a request that may not be repeated is retained after its deadline."""
    max_body_bytes: Annotated[int, pydantic.Field(gt=0, le=16 * 1024 * 1024)] = 1024 * 1024
    weight_load_seconds: Seconds = 20
    """Minimum time between two orders to load weights, set by the rate of the weight store."""


class Document(Model):
    """A complete configuration."""

    fleet: Fleet = Fleet()
    workspaces: dict[Name, Workspace] = {}
    classes: dict[Name, ClassOfWork] = {}
    policies: dict[Name, Policy] = {}
    pools: dict[Name, Pool] = {}
    services: dict[Name, Service] = {}
    operators: dict[Name, Operator] = {}

    @pydantic.model_validator(mode="after")
    def check_references(self) -> "Document":
        """Check that every referenced name exists and that names, keys and aliases are unique."""
        problems = [
            *_check_classes(self),
            *_check_pools(self),
            *_check_keys(self),
        ]
        if problems:
            raise ValueError("; ".join(problems))
        return self


KINDS: dict[str, type[Model]] = {
    "fleet": Fleet,
    "workspaces": Workspace,
    "classes": ClassOfWork,
    "policies": Policy,
    "pools": Pool,
    "services": Service,
    "operators": Operator,
}
"""Maps a section of the document to the model of its entities."""


def _check_classes(document: Document) -> list[str]:
    problems = []
    seen: dict[str, str] = {}
    for name, work in document.classes.items():
        pool = document.pools.get(work.pool)
        if pool is None:
            problems.append(f"classes.{name}.pool names {work.pool!r}, which is not a pool")
        elif work.model not in pool.models:
            problems.append(f"classes.{name}.model: pool {work.pool!r} lacks {work.model!r}")
        for alias in [name, *work.aliases]:
            other = seen.setdefault(alias, name)
            if other != name:
                problems.append(f"classes.{name}: {alias!r} also names {other!r}")
    for name, workspace in document.workspaces.items():
        unknown = set(workspace.classes or ()) - set(document.classes)
        if unknown:
            problems.append(
                f"workspaces.{name}.classes names {sorted(unknown)}, which are not classes"
            )
    return problems


def _check_pools(document: Document) -> list[str]:
    problems = []
    owners: dict[str, str] = {}
    for name, pool in document.pools.items():
        if pool.policy is not None and pool.policy not in document.policies:
            problems.append(f"pools.{name}.policy names {pool.policy!r}, which is not a policy")
        for runner, detail in pool.runners.items():
            unknown = set(detail.models or ()) - set(pool.models)
            if unknown:
                problems.append(f"pools.{name}.runners.{runner}: pool lacks {sorted(unknown)}")
    groups = [(f"pools.{name}", pool.runners) for name, pool in document.pools.items()]
    groups += [(f"services.{name}", service.targets) for name, service in document.services.items()]
    for group, targets in groups:
        for target in targets:
            other = owners.setdefault(target, group)
            if other != group:
                problems.append(f"{group}: target {target!r} is also in {other}")
    return problems


def _check_keys(document: Document) -> list[str]:
    problems = []
    owners: dict[str, str] = {}
    holders = [(f"workspaces.{name}", item.keys) for name, item in document.workspaces.items()]
    holders += [(f"operators.{name}", item.keys) for name, item in document.operators.items()]
    for holder, keys in holders:
        for key in keys:
            other = owners.setdefault(key, holder)
            if other != holder:
                problems.append(f"{holder}: a key is also used by {other}")
    return problems
