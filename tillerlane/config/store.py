"""The configuration in force on one daemon, and its changes from version to version.

A configuration is a set of entities, each with the version that last changed it.  A daemon at
version ``n`` lacks every entity with a later version, deletions included, so that catching up after
hundreds of changes sends each changed entity once.  Deletions are kept as small tombstones.

The entities' models are imported lazily: a keeper on the users' platform has no such entities, and
the library of the models is not installed on that platform's hosts.
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
"""Kind of the entities that mark drained targets."""
EVACUATIONS = "evacuations"
"""Kind of the entities that mark data halls whose targets get no new requests."""
QUARANTINE = "quarantine"
"""Kind of the entities that mark requests, and parts of prompts, that are sent to no target."""
_ORDER_KINDS = frozenset({DRAINS, EVACUATIONS, QUARANTINE})
"""Kinds that are set by operators' orders and are not part of the document."""


def _get_kinds() -> dict[str, type[documents.Model]]:
    from tillerlane.config import documents

    return documents.KINDS


def format_body(model: documents.Model) -> str:
    """Format an entity in its canonical JSON form."""
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
        if kind in _ORDER_KINDS:
            continue
        values = json.loads(body)
        if kind == "fleet":
            document["fleet"] = values
        else:
            document.setdefault(kind, {})[name] = values
    return document


def diff_documents(old: dict[Key, str], new: dict[Key, str]) -> tuple[dict[Key, str], list[Key]]:
    """Return the entities that a change puts and the keys that it deletes."""
    puts = {key: body for key, body in new.items() if old.get(key) != body}
    deletes = [key for key in old if key not in new and key[0] not in _ORDER_KINDS]
    return puts, deletes


@functools.lru_cache(maxsize=8_192)
def _parse_entity(kind: str, body: str) -> documents.Model:
    return _get_kinds()[kind].model_validate_json(body)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A parsed configuration, with look-ups by the values that requests carry."""

    version: int
    fleet: documents.Fleet
    workspaces: dict[str, documents.Workspace]
    classes: dict[str, documents.ClassOfWork]
    policies: dict[str, documents.Policy]
    pools: dict[str, documents.Pool]
    services: dict[str, documents.Service]
    operators: dict[str, documents.Operator]
    drains: frozenset[str] = frozenset()
    """Targets and daemons that operators have drained."""
    evacuated: frozenset[str] = frozenset()
    """Data halls whose targets get no new requests."""

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
    """Build a configuration from entities that were validated when the change was accepted."""
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
    """Entities in force on one daemon; the version never decreases."""

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
        """Call `listener` with this store after each change."""
        self._listeners.append(listener)

    def list_names(self, kind: str) -> frozenset[str]:
        """Return the names of the existing entities of a kind."""
        return frozenset(
            name
            for (found, name), item in self._entities.items()
            if found == kind and not item.deleted
        )

    def list_quarantine_evidence(self) -> dict[str, list[str]]:
        """Return the targets that exited, by what is quarantined for it."""
        return {
            name: json.loads(body).get("target_ids", [])
            for (kind, name), body in self.get_bodies().items()
            if kind == QUARANTINE
        }

    def get_bodies(self) -> dict[Key, str]:
        """Return the existing entities: (kind, name) to body."""
        return {key: item.body for key, item in self._entities.items() if not item.deleted}

    def get_entities(self) -> list[messages.Entity]:
        """Return all entities, deletions included."""
        return list(self._entities.values())

    def build_delta(self, have: int) -> messages.ConfigDelta:
        """Build the delta for a daemon at version `have`."""
        entities = [item for item in self._entities.values() if item.version > have]
        return messages.ConfigDelta(have, self.version, have == 0, entities)

    def apply_delta(self, delta: messages.ConfigDelta) -> bool:
        """Put a delta in force, unless it is outdated or starts after the present version.

        Returns
        -------
        bool
            Whether the version increased.
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
        """Put one accepted change from the log in force (keepers only)."""
        for (kind, name), body in puts.items():
            self._entities[kind, name] = messages.Entity(kind, name, version, body)
        for kind, name in deletes:
            self._entities[kind, name] = messages.Entity(kind, name, version, deleted=True)
        self._put_in_force(version)

    def restore(self, version: int, entities: Iterable[messages.Entity]) -> None:
        """Replace all entities by those of a snapshot, unless the snapshot is older."""
        if version < self.version:
            return
        self._entities = {(item.kind, item.name): item for item in entities}
        self._put_in_force(version)

    def _put_in_force(self, version: int) -> None:
        if version == self._version and not self._entities:
            return  # still empty
        self._version = version
        self._current = None
        for listener in self._listeners:
            listener(self)
