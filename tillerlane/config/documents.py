"""Models of the configuration document that operators submit.

The document has a section for each kind of entity, and in each section a map from name to
entity.  All times are in seconds, all lengths in tokens unless a name says otherwise.
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
        raise ValueError("a name of 1 to 63 of a-z, 0-9, '.', '_', '-'")
    return name


def _check_hash(value: str) -> str:
    if not _HASH_PATTERN.match(value):
        raise ValueError(
            "'sha256:' and 64 hexadecimal digits, as 'tillerlane workspace key' prints"
        )
    return value


Name = Annotated[str, pydantic.AfterValidator(_check_name)]
KeyHash = Annotated[str, pydantic.AfterValidator(_check_hash)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=7 * 86_400, allow_inf_nan=False)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]


def new_key() -> str:
    """A fresh secret key."""
    return "tl-" + secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """What the configuration stores in place of a key.

    Keys are random and long, so a plain hash is enough.
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


class Model(pydantic.BaseModel):
    """Base of the models: unknown keys are errors, values do not change."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Limits(Model):
    """What a workspace may use, over all entries together; None is no limit."""

    requests_per_second: Annotated[float, pydantic.Field(gt=0)] | None = None
    concurrent: Annotated[int, pydantic.Field(gt=0)] | None = None
    tokens_per_minute: Annotated[float, pydantic.Field(gt=0)] | None = None


class Workspace(Model):
    """A customer: keys, share and limits.

    `keys` holds hashes only; two at once let a key be replaced with overlap.
    """

    keys: list[KeyHash] = []
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    limits: Limits = Limits()
    classes: list[Name] | None = None
    """Classes of work it may use; None is all."""


class Delivery(enum.StrEnum):
    """How tokens go to the caller."""

    STREAM = "stream"
    WHOLE = "whole"
    """Held at the entry until the end, so that a dead runner costs time and no answer."""


class OnDisconnect(enum.StrEnum):
    """What becomes of a generation whose caller has gone."""

    CANCEL = "cancel"
    FINISH = "finish"


class ClassOfWork(Model):
    """A class of work: where it runs and what it is owed."""

    pool: Name
    model: str
    aliases: list[str] = []
    """Names that callers may give as ``model``."""
    priority: Annotated[int, pydantic.Field(ge=0, le=100)] = 50
    urgent: bool = False
    """Uses the headroom that the policy keeps for urgent work."""
    deadline_seconds: Seconds = 600
    repeatable: bool = True
    delivery: Delivery = Delivery.STREAM
    retry_share: Share = 0.1
    """Retries, as a share of the class's requests."""
    on_disconnect: OnDisconnect = OnDisconnect.CANCEL
    max_tokens: Annotated[int, pydantic.Field(gt=0, le=200_000)] = 4_096


class Policy(Model):
    """A policy program: CEL expressions over the facts of `tillerlane.policy.facts`.

    An absent expression is the built-in rule.
    """

    rank: str | None = None
    may_wait: str | None = None
    sacrifice: str | None = None
    admit_risk: str | None = None
    headroom: str | None = None
    place: str | None = None
    examples: list["PolicyExample"] = []


class PolicyExample(Model):
    """An example that a policy carries: facts and the value that must come out."""

    expression: str
    facts: dict[str, pydantic.JsonValue] = {}
    gives: pydantic.JsonValue


class Runner(Model):
    """A runner of a pool."""

    data_hall: Name
    models: list[str] | None = None
    """Models loaded from the start; None is all of the pool's."""


class Pool(Model):
    """Runners that serve the same models under one policy."""

    models: Annotated[list[str], pydantic.Field(min_length=1)]
    runners: dict[Name, Runner]
    policy: Name | None = None
    most_models: Annotated[int, pydantic.Field(gt=0)] | None = None
    """Models that one runner holds at most, for placement by demand; None leaves them alone."""
    max_waiting: Annotated[int, pydantic.Field(gt=0)] = 1_000
    """Requests that one runner's queue holds before it refuses."""


class Service(Model):
    """A plain service beside the model engines."""

    targets: dict[Name, Runner]
    repeatable: bool = True
    """Whether every call may be sent twice; otherwise only GET and HEAD may."""
    deadline_seconds: Seconds = 30
    concurrent: Annotated[int, pydantic.Field(gt=0)] = 64
    """Calls that one target serves at once."""


class OperatorRole(enum.StrEnum):
    """What an operator may do."""

    READ = "read"
    APPLY = "apply"
    DRAIN = "drain"


class Operator(Model):
    """Somebody who may use the operators' interface."""

    keys: list[KeyHash]
    roles: list[OperatorRole] = [OperatorRole.READ]


class Fleet(Model):
    """Rules that hold for the whole fleet."""

    resume_seconds: Seconds = 60
    """How long an ended generation can still be read with ``Last-Event-ID``."""
    detached_seconds: Seconds = 15
    """How long a generation runs on after its entry is lost."""
    claim_seconds: Seconds = 86_400
    """How long a request that may not be repeated is remembered after the end of its time."""
    max_body_bytes: Annotated[int, pydantic.Field(gt=0, le=16 * 1024 * 1024)] = 1024 * 1024
    weight_load_seconds: Seconds = 20
    """Least time between two orders to load weights: the weight store's rate."""


class Document(Model):
    """A whole configuration."""

    fleet: Fleet = Fleet()
    workspaces: dict[Name, Workspace] = {}
    classes: dict[Name, ClassOfWork] = {}
    policies: dict[Name, Policy] = {}
    pools: dict[Name, Pool] = {}
    services: dict[Name, Service] = {}
    operators: dict[Name, Operator] = {}

    @pydantic.model_validator(mode="after")
    def check_references(self) -> "Document":
        """Every name that is referred to exists; no name, key or alias stands twice."""
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
"""Section of the document to the model of its entities."""


def _check_classes(document: Document) -> list[str]:
    problems = []
    seen: dict[str, str] = {}
    for name, work in document.classes.items():
        pool = document.pools.get(work.pool)
        if pool is None:
            problems.append(f"classes.{name}.pool names {work.pool!r}, which is no pool")
        elif work.model not in pool.models:
            problems.append(f"classes.{name}.model: pool {work.pool!r} lacks {work.model!r}")
        for alias in [name, *work.aliases]:
            other = seen.setdefault(alias, name)
            if other != name:
                problems.append(f"classes.{name}: {alias!r} also names {other!r}")
    for name, workspace in document.workspaces.items():
        unknown = set(workspace.classes or ()) - set(document.classes)
        if unknown:
            problems.append(f"workspaces.{name}.classes names {sorted(unknown)}, no classes")
    return problems


def _check_pools(document: Document) -> list[str]:
    problems = []
    owners: dict[str, str] = {}
    for name, pool in document.pools.items():
        if pool.policy is not None and pool.policy not in document.policies:
            problems.append(f"pools.{name}.policy names {pool.policy!r}, which is no policy")
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
                problems.append(f"{group}: target {target!r} also stands in {other}")
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
                problems.append(f"{holder}: a key also stands in {other}")
    return problems
