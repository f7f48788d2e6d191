"""Changes of the configuration: validated here, committed by the keepers."""

import asyncio
import time
from typing import Any

import pydantic
import result

from tillerlane.config import documents, reader
from tillerlane.config import store as stores
from tillerlane.daemon import core as daemons
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import commands
from tillerlane.policy import program as programs

__all__ = [
    "ChangeBody",
    "DrainBody",
    "EvacuateBody",
    "check_document",
    "submit_change",
    "submit_drain",
    "submit_evacuation",
]

CATCH_UP_TIMEOUT_SECONDS = 2.0
MAX_EVACUATION_ATTEMPTS = 20
"""Proposals of one order.  Each that is overtaken means that another change was committed, and
operators make a few of them a minute."""


class ChangeBody(pydantic.BaseModel):
    """Body of ``POST /admin/config``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    against: int
    """Version that the change is based on."""
    change_id: str = pydantic.Field(min_length=8, max_length=100)
    """Idempotency key: the same if the change is sent again."""
    document: dict[str, Any]
    note: str = pydantic.Field("", max_length=500)


class DrainBody(pydantic.BaseModel):
    """Body of ``POST /admin/drain``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    change_id: str = pydantic.Field(min_length=8, max_length=100)
    name: documents.Name
    leaving: bool = True


class EvacuateBody(pydantic.BaseModel):
    """Body of ``POST /admin/evacuate``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    data_hall: documents.Name
    evacuated: bool = True
    """False ends the evacuation of the data hall."""


def check_document(
    data: dict[str, Any], source: str
) -> result.Result[documents.Document, faults.Fault]:
    """Validate a document and every policy in it."""
    checked = reader.validate(documents.Document, data, source)
    if isinstance(checked, result.Err):
        return checked
    document = checked.ok_value
    for name, policy in document.policies.items():
        outcome = programs.check_policy(name, policy)
        if isinstance(outcome, result.Err):
            return outcome
    return result.Ok(document)


async def _catch_up(store: stores.Store, version: int) -> None:
    """Wait until this daemon has a version that the operator has seen on another daemon."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + CATCH_UP_TIMEOUT_SECONDS
    while store.version < version and loop.time() < deadline:
        await asyncio.sleep(0.02)


def _build_change(
    store: stores.Store, body: ChangeBody, document: documents.Document, actor: str
) -> commands.Change:
    """Build the command; against a version that is not in force here it carries no entities.

    The reply is then that of the first submission, or a version conflict.
    """
    puts: dict[stores.Key, str] = {}
    deletes: list[stores.Key] = []
    if store.version == body.against:
        puts, deletes = stores.diff_documents(store.get_bodies(), stores.split_document(document))
    return commands.Change(
        change_id=body.change_id,
        against=body.against,
        actor=actor,
        at_ms=int(time.time() * 1000),
        puts=[commands.EntityPut(kind, name, text) for (kind, name), text in puts.items()],
        deletes=[commands.EntityKey(kind, name) for kind, name in deletes],
        note=body.note,
    )


async def submit_change(daemon: daemons.Daemon, body: ChangeBody, actor: str) -> dict[str, Any]:
    """Validate a change and propose it to the keepers.

    Raises
    ------
    faults.FaultError
        ``invalid_config`` or ``invalid_policy`` before anything is proposed,
        ``version_conflict`` if another change was accepted first, ``no_quorum`` with
        ``ran: unknown`` if the outcome is unknown.
    """
    checked = check_document(body.document, "document")
    if isinstance(checked, result.Err):
        raise faults.FaultError(checked.err_value)
    await _catch_up(daemon.store, body.against)
    command = _build_change(daemon.store, body, checked.ok_value, actor)
    reply = await daemon.client.propose(command)
    daemon.timeline.record(
        "config.change",
        change_id=body.change_id,
        actor=actor,
        accepted=reply["accepted"],
        version=reply["version"],
        resent=reply.get("resent", False),
    )
    if not reply["accepted"]:
        message = f"made against version {body.against}, version {reply['version']} is in force"
        raise faults.FaultError(
            faults.new_fault(
                kinds.ErrorKind.VERSION_CONFLICT, message, detail={"version": reply["version"]}
            )
        )
    return reply


async def submit_drain(daemon: daemons.Daemon, body: DrainBody, actor: str) -> dict[str, Any]:
    """Drain a target, or end its drain.

    Raises
    ------
    faults.FaultError
        ``not_found`` if no pool or service has the target.
    """
    current = daemon.store.current
    is_known = body.name in current.pool_by_target or body.name in current.service_by_target
    if not is_known and body.leaving:
        known = sorted([*current.pool_by_target, *current.service_by_target])
        message = f"got target {body.name!r}, expected one of {known}"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
    command = commands.Drain(
        body.change_id, body.name, body.leaving, actor, int(time.time() * 1000)
    )
    return await daemon.client.propose(command)


async def submit_evacuation(
    daemon: daemons.Daemon, body: EvacuateBody, actor: str
) -> dict[str, Any]:
    """Stop sending new requests to the targets of a data hall, or end that.

    Raises
    ------
    faults.FaultError
        ``not_found`` if no daemon is known to be in the data hall, ``no_quorum`` with ``ran:
        unknown`` if the outcome is unknown, ``version_conflict`` if other changes overtake the
        order again and again.
    """
    known = {member.data_hall for member in daemon.members.list_all()}
    if body.evacuated and body.data_hall not in known:
        message = f"got data hall {body.data_hall!r}, expected one of {sorted(known)}"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
    against = daemon.store.version
    for _ in range(MAX_EVACUATION_ATTEMPTS):
        at_ms = int(time.time() * 1000)
        command = commands.Evacuate(body.data_hall, body.evacuated, against, actor, at_ms)
        reply = await daemon.client.propose(command)
        daemon.timeline.record(
            "evacuation.order",
            data_hall=body.data_hall,
            evacuated=body.evacuated,
            against=against,
            actor=actor,
            answer=reply,
        )
        if reply["accepted"]:
            return reply
        against = reply["version"]
    message = f"{MAX_EVACUATION_ATTEMPTS} proposals were overtaken, the last by version {against}"
    detail = {"version": against}
    raise faults.FaultError(
        faults.new_fault(kinds.ErrorKind.VERSION_CONFLICT, message, detail=detail)
    )
