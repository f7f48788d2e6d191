"""Handlers of the operators' interface."""

from typing import Any, TypeVar

import litestar
import pydantic

from tillerlane.config import documents, reader
from tillerlane.config import store as stores
from tillerlane.daemon import core as daemons
from tillerlane.entry import api as entry_api
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.keeper import commands
from tillerlane.members import view as views
from tillerlane.operators import access, changes, queries

__all__ = ["build_handlers"]

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_NUMBER_DIGITS = 18
Http = litestar.Request[Any, Any, Any]
Body = TypeVar("Body", bound=pydantic.BaseModel)


class KeeperBody(pydantic.BaseModel):
    """Body of ``POST /admin/keepers``: adds a keeper, or removes it if there is no address."""

    model_config = pydantic.ConfigDict(extra="forbid")

    name: documents.Name
    address: str | None = None


class CancelBody(pydantic.BaseModel):
    """Body of ``POST /admin/cancel``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    generation_id: str


class PinBody(pydantic.BaseModel):
    """Body of ``POST /admin/pin``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    target: documents.Name
    model: str
    pinned: bool = True


async def _read_body(http: Http, model: type[Body]) -> Body:
    data = await entry_api.read_body(http, MAX_BODY_BYTES)
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as error:
        problems = "; ".join(reader.describe_errors(error, model)[:5])
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, f"body: {problems}")
        raise faults.FaultError(fault) from error


def _parse_number(http: Http, name: str) -> int:
    text = http.query_params.get(name, "0")
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_NUMBER_DIGITS:
        message = f"query {name}: got {text[:80]!r}, expected a non-negative integer"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))
    return int(text)


def _get_versions(daemon: daemons.Daemon) -> dict[str, Any]:
    """Return the version in force on every daemon, as known to the keepers."""
    members = daemon.members.list_all()
    return {
        "version": daemon.store.version,
        "daemons": {
            member.daemon_id: {"version": member.config_version, "state": member.state}
            for member in members
        },
        "behind": sorted(
            member.daemon_id
            for member in members
            if member.state == views.LIVE and member.config_version < daemon.store.version
        ),
    }


async def _query_keeper(daemon: daemons.Daemon, subject: str, arguments: dict[str, Any]) -> Any:
    """Query this daemon if it is a keeper, otherwise its home keeper."""
    if daemon.keeper is not None:
        return await daemon.answer_query(subject, arguments)
    member = daemon.members.find(daemon.client.home_name)
    if member is None:
        fault = faults.new_fault(kinds.ErrorKind.UNREACHABLE, "no keeper is known")
        raise faults.FaultError(fault)
    return await daemon.query_daemon(member, subject, arguments)


def build_config_handlers(daemon: daemons.Daemon) -> list[Any]:
    """Build the handlers of configurations."""

    @litestar.get("/admin/config")
    async def show(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        store = daemon.store
        return {"version": store.version, "document": stores.build_document(store.get_bodies())}

    @litestar.post("/admin/config", status_code=200)
    async def apply(request: Http) -> dict[str, Any]:
        actor = access.authorize(daemon, request, documents.OperatorRole.APPLY)
        body = await _read_body(request, changes.ChangeBody)
        return await changes.submit_change(daemon, body, actor)

    @litestar.get("/admin/config/status")
    async def status(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        return await _query_keeper(daemon, "versions", {})

    @litestar.get("/admin/config/history")
    async def history(request: Http) -> list[dict[str, Any]]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        return await _query_keeper(daemon, "history", {})

    daemon.queries["versions"] = lambda arguments: _get_versions(daemon)
    return [show, apply, status, history]


def build_fleet_handlers(daemon: daemons.Daemon) -> list[Any]:
    """Build the handlers of status, time line, drains, cancellations and keepers."""

    @litestar.get("/admin/status")
    async def status(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        return await queries.gather_status(daemon)

    @litestar.get("/admin/self")
    async def own_status(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        return queries.get_status(daemon)

    @litestar.get("/admin/timeline")
    async def timeline(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        arguments = {
            "request_id": request.query_params.get("request_id", ""),
            "generation_id": request.query_params.get("generation_id", ""),
            "since_ms": _parse_number(request, "since_ms"),
        }
        return await queries.gather_timeline(daemon, arguments)

    @litestar.post("/admin/drain", status_code=200)
    async def drain(request: Http) -> dict[str, Any]:
        actor = access.authorize(daemon, request, documents.OperatorRole.DRAIN)
        body = await _read_body(request, changes.DrainBody)
        return await changes.submit_drain(daemon, body, actor)

    @litestar.post("/admin/evacuate", status_code=200)
    async def evacuate(request: Http) -> dict[str, Any]:
        actor = access.authorize(daemon, request, documents.OperatorRole.DRAIN)
        body = await _read_body(request, changes.EvacuateBody)
        return await changes.submit_evacuation(daemon, body, actor)

    @litestar.get("/admin/evacuations")
    async def evacuations(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        current = daemon.store.current
        return {"version": current.version, "data_halls": sorted(current.evacuated)}

    @litestar.post("/admin/cancel", status_code=200)
    async def cancel(request: Http) -> dict[str, Any]:
        actor = access.authorize(daemon, request, documents.OperatorRole.DRAIN)
        body = await _read_body(request, CancelBody)
        replies, missing = await queries.query_all(daemon, "cancel", body.model_dump())
        daemon.timeline.record("operator.cancel", generation_id=body.generation_id, operator=actor)
        found = any(reply["found"] for reply in replies.values())
        return {"found": found, "missing": missing}

    @litestar.post("/admin/keepers", status_code=200)
    async def keepers(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.APPLY)
        body = await _read_body(request, KeeperBody)
        if body.address is None:
            command: commands.Command = commands.VoterRemove(body.name)
        else:
            command = commands.VoterAdd(body.name, body.address, "")
        return await daemon.client.propose(command)

    @litestar.get("/admin/placement")
    async def placement(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.READ)
        return await _query_keeper(daemon, "placement", {})

    @litestar.post("/admin/pin", status_code=200)
    async def pin(request: Http) -> dict[str, Any]:
        access.authorize(daemon, request, documents.OperatorRole.APPLY)
        body = await _read_body(request, PinBody)
        return await daemon.client.propose(commands.Pin(body.target, body.model, body.pinned))

    orders = [drain, evacuate, evacuations, cancel, keepers, placement, pin]
    return [status, own_status, timeline, *orders]


def build_handlers(daemon: daemons.Daemon) -> list[Any]:
    """Build all handlers of the operators' interface and of the platform's probes."""

    @litestar.get("/healthz")
    async def healthz() -> dict[str, str]:
        return {"status": "ok"}

    @litestar.get("/readyz")
    async def readyz() -> litestar.Response[dict[str, bool]]:
        ready = daemon.is_ready
        return litestar.Response({"ready": ready}, status_code=200 if ready else 503)

    queries.register_queries(daemon)
    return [healthz, readyz, *build_config_handlers(daemon), *build_fleet_handlers(daemon)]
