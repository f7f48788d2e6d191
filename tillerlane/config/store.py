"""The configuration in force on one daemon, and how it moves from version to version.

A configuration is a set of entities, each with the version that last changed it.  What a daemon
at version ``n`` lacks is every entity with a later version, deletions included, so that catch-up
after hundreds of changes sends each changed entity once.  Deletions are kept; they are small.

The entities' models are loaded when the first of them is read: a keeper on the users' platform has
none, and their library is not among what its machines have.
"""

from __future__ import annotations

import dataclasses
import functools
import json
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from tillerlane.peers import messages

if TYPE_CHECKING:
    from tillerlane.config import documents

__all__ = ["Configuration", "Store", "build_document", "diff_documents", "split_document"]

Key = tuple[str, str]
_FLEET_NAME = "fleet"
DRAINS = "drains"
"""Kind of the entities that stand for drained targets."""
EVACUATIONS = "evacuations"
"""Kind of the entities that stand for data halls whose targets get nothing new."""
QUARANTINE = "quarantine"
"""Kind of the entities that stand for requests, by fingerprint, that go to no target."""
_ORDERS = frozenset({DRAINS, EVACUATIONS, QUARANTINE})
"""Kinds that orders put in force; they are not part of the document."""


def _get_kinds() -> dict[str, type[documents.Model]]:
    from tillerlane.config import documents

    return documents.KINDS


def format_body(model: documents.Model) -> str:
    """Write an entity in its one canonical form."""
    values = model.model_dump(mode="json", exclude_defaults=True)
    return json.dumps(values, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def split_document(document: documents.Document) -> dict[Key, str]:
    """Split a document into entities: (kind, name) to body."""
    entities: dict[Key, str] = {("fleet", _FLEET_NAME): format_body(document.fleet)}
    for kind in _get_kinds():
        if kind != "fleet":
            for name, model in getattr(document, kind).items():
                entities[kind, name] = format_body(model)
    return entities


def build_document(entities: dict[Key, str]) -> dict[str, Any]:
    """Join entities into the document's JSON form."""
    document: dict[str, Any] = {}
    for (kind, name), body in sorted(entities.items()):
        if kind in _ORDERS:
            continue
        values = json.loads(body)
        if kind == "fleet":
            document["fleet"] = values
        else:
            document.setdefault(kind, {})[name] = values
    return document


def diff_documents(old: dict[Key, str], new: dict[Key, str]) -> tuple[dict[Key, str], list[Key]]:
    """What a change puts and what it deletes."""
    puts = {key: body for key, body in new.items() if old.get(key) != body}
    deletes = [key for key in old if key not in new and key[0] not in _ORDERS]
    return puts, deletes


@functools.lru_cache(maxsize=8_192)
def _parse_entity(kind: str, body: str) -> documents.Model:
    return _get_kinds()[kind].model_validate_json(body)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A configuration as the domain uses it, with look-ups by what requests carry."""

    version: int
    fleet: documents.Fleet
    workspaces: dict[str, documents.Workspace]
    classes: dict[str, documents.ClassOfWork]
    policies: dict[str, documents.Policy]
    pools: dict[str, documents.Pool]
    services: dict[str, documents.Service]
    operators: dict[str, documents.Operator]
    drains: frozenset[str] = frozenset()
    """Targets and daemons that operators have told to leave."""
    evacuated: frozenset[str] = frozenset()
    """Data halls whose targets get nothing new."""

    @functools.cached_property
    def workspace_by_hash(self) -> dict[str, str]:
        """Key hash to workspace."""
        return {key: name for name, item in self.workspaces.items() for key in item.keys}

    @functools.cached_property
    def operator_by_hash(self) -> dict[str, str]:
        """Key hash to operator."""
        return {key: name for name, item in self.operators.items() for key in item.keys}

    @functools.cached_property
    def class_by_alias(self) -> dict[str, str]:
        """Class name or alias to class name."""
        return {
            alias: name for name, work in self.classes.items() for alias in [name, *work.aliases]
        }

    @functools.cached_property
    def pool_by_target(self) -> dict[str, str]:
        """Runner to pool."""
        return {runner: name for name, pool in self.pools.items() for runner in pool.runners}

    @functools.cached_property
    def service_by_target(self) -> dict[str, str]:
        """Service target to service."""
        return {item: name for name, service in self.services.items() for item in service.targets}


def build_configuration(version: int, entities: dict[Key, str]) -> Configuration:
    """Build the look-ups from entities that were validated when the change was accepted."""
    kinds = _get_kinds()
    sections: dict[str, dict[str, Any]] = {kind: {} for kind in kinds}
    drains = frozenset(name for kind, name in entities if kind == DRAINS)
    evacuated = frozenset(name for kind, name in entities if kind == EVACUATIONS)
    for (kind, name), body in entities.items():
        if kind in sections:
            sections[kind][name] = _parse_entity(kind, body)
    fleet = sections.pop("fleet").get(_FLEET_NAME) or kinds["fleet"]()
    return Configuration(
        version=version, fleet=fleet, drains=drains, evacuated=evacuated, **sections
    )


class Store:
    """Entities in force on one daemon; its version only rises."""

    def __init__(self) -> None:
        self._entities: dict[Key, messages.Entity] = {}
        self._listeners: list[Callable[[Store], None]] = []
        self._version = 0
        self._current: Configuration | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self._version

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        if self._current is None:
            self._current = build_configuration(self._version, self.get_bodies())
        return self._current

    def add_listener(self, listener: Callable[[Store], None]) -> None:
        """Have `listener` called with this store after each change."""
        self._listeners.append(listener)

    def list_names(self, kind: str) -> frozenset[str]:
        """Names of the entities of a kind that exist."""
        return frozenset(
            name
            for (found, name), item in self._entities.items()
            if found == kind and not item.deleted
        )

    def get_bodies(self) -> dict[Key, str]:
        """Entities that exist: (kind, name) to body."""
        return {key: item.body for key, item in self._entities.items() if not item.deleted}

    def get_entities(self) -> list[messages.Entity]:
        """Every entity, deletions included."""
        return list(self._entities.values())

    def build_delta(self, have: int) -> messages.ConfigDelta:
        """What a daemon at version `have` lacks."""
        entities = [item for item in self._entities.values() if item.version > have]
        return messages.ConfigDelta(have, self.version, have == 0, entities)

    def apply_delta(self, delta: messages.ConfigDelta) -> bool:
        """Put a delta in force; an old one, or one with a gap before it, changes nothing.

        Returns
        -------
        bool
            Whether the version rose.
        """
        if delta.version <= self.version or delta.base > self.version:
            return False
        for entity in delta.entities:
            key = (entity.kind, entity.name)
            known = self._entities.get(key)
            if known is None or known.version < entity.version:
                self._entities[key] = entity
        self._put_in_force(delta.version)
        return True

    def apply_change(self, version: int, puts: dict[Key, str], deletes: Iterable[Key]) -> None:
        """Put one accepted change in force (keepers, from the log)."""
        for (kind, name), body in puts.items():
            self._entities[kind, name] = messages.Entity(kind, name, version, body)
        for kind, name in deletes:
            self._entities[kind, name] = messages.Entity(kind, name, version, deleted=True)
        self._put_in_force(version)

    def restore(self, version: int, entities: Iterable[messages.Entity]) -> None:
        """Replace everything by a snapshot's entities, unless they are older."""
        if version < self.version:
            return
        self._entities = {(item.kind, item.name): item for item in entities}
        self._put_in_force(version)

    def _put_in_force(self, version: int) -> None:
        if version == self._version and not self._entities:
            return  # nothing was ever put in force
        self._version = version
        self._current = None
        for listener in self._listeners:
            listener(self)
