"""HTTP interface for callers: keys, limits, bounded bodies, server-sent events, plain services."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import litestar
from litestar import response

from tillerlane.agent import server as agents
from tillerlane.config import documents
from tillerlane.config import store as stores
from tillerlane.entry import dispatch, formats, limits, relay, requests
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.runners import http_service
from tillerlane.timeline import core as timelines

__all__ = ["CallerApi", "build_handlers"]

CLASS_HEADER = "x-tillerlane-class"
REQUEST_HEADER = "x-request-id"
BODY_TIMEOUT_SECONDS = 30.0
"""Time within which a caller must send the request body."""
_SAFE_METHODS = frozenset({"GET", "HEAD"})
_NO_STORE = {"cache-control": "no-store"}

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class CallerApi:
    """State and dependencies of the interface for callers.

    Attributes
    ----------
    store : stores.Store
        Configuration in force.
    dispatcher : dispatch.Dispatcher
        Runs requests.
    limits : limits.WorkspaceLimits
        Workspace limits at this entry.
    timeline : timelines.Timeline
        Records the events.
    count_entries : callable
        Returns the number of live entries, this one included.
    is_stopping : callable
        Returns whether this entry accepts no new requests.
    measure : callable
        Called with (metric name, seconds).
    """

    store: stores.Store
    dispatcher: dispatch.Dispatcher
    limits: limits.WorkspaceLimits
    timeline: timelines.Timeline
    count_entries: Callable[[], int]
    is_stopping: Callable[[], bool]
    measure: Callable[[str, float], None]

    def authenticate(self, http: litestar.Request[Any, Any, Any]) -> str:
        """Return the workspace of the bearer key.

        Raises
        ------
        faults.FaultError
            Of kind ``unauthenticated``.
        """
        scheme, _, key = http.headers.get("authorization", "").partition(" ")
        workspace = None
        if scheme.lower() == "bearer" and key:
            by_hash = self.store.current.workspace_by_hash
            workspace = by_hash.get(documents.hash_key(key.strip()))
        if workspace is None:
            self.timeline.record("caller.unauthenticated")
            message = "expected 'Authorization: Bearer KEY' with a key of a workspace"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.UNAUTHENTICATED, message))
        return workspace

    def admit(self, workspace: str, prompt_tokens: int) -> None:
        """Admit a request within the limits.

        Raises
        ------
        faults.FaultError
            Of kind ``over_limit`` or ``leaving``.
        """
        if self.is_stopping():
            fault = faults.new_fault(
                kinds.ErrorKind.LEAVING, "this entry is stopping", retry_after=0.1
            )
            raise faults.FaultError(fault)
        fault = self.limits.admit(
            workspace,
            self.store.current.workspaces[workspace].limits,
            self.count_entries(),
            prompt_tokens,
            asyncio.get_running_loop().time(),
        )
        if fault is not None:
            raise faults.FaultError(fault)

    def release(self, workspace: str, written: int) -> None:
        """Record the end of a request."""
        self.limits.release(workspace, written, asyncio.get_running_loop().time())


async def read_body(http: litestar.Request[Any, Any, Any], limit: int) -> bytes:
    """Read a body of at most `limit` bytes within `BODY_TIMEOUT_SECONDS`.

    Raises
    ------
    faults.FaultError
        Of kind ``too_large`` or ``bad_request``.
    """
    content_length = http.headers.get("content-length", "0")
    if content_length.isdigit() and int(content_length) > limit:
        raise _build_too_large(int(content_length), limit)
    data = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            async for chunk in http.stream():
                data += chunk
                if len(data) > limit:
                    raise _build_too_large(len(data), limit)
    except TimeoutError as error:
        message = f"the request body did not arrive within {BODY_TIMEOUT_SECONDS} s"
        fault = faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message)
        raise faults.FaultError(fault) from error
    return bytes(data)


def _build_too_large(got: int, limit: int) -> faults.FaultError:
    message = f"got a body of at least {got} bytes, expected at most {limit}"
    return faults.FaultError(faults.new_fault(kinds.ErrorKind.TOO_LARGE, message))


async def _wait_disconnected(http: litestar.Request[Any, Any, Any]) -> None:
    """Wait until the caller has closed the connection."""
    while True:
        message = await http.receive()
        if message["type"] == "http.disconnect":
            return


async def _run_while_connected(http: litestar.Request[Any, Any, Any], work: "asyncio.Task[T]") -> T:
    """Wait for work, cancelling it if the caller disconnects."""
    disconnected = asyncio.create_task(_wait_disconnected(http))
    try:
        await asyncio.wait({work, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
            fault = faults.new_fault(kinds.ErrorKind.CANCELLED, "the caller disconnected")
            raise faults.FaultError(fault)
        return work.result()
    finally:
        disconnected.cancel()


Items = AsyncIterator[relay.Piece | relay.Ending]


async def _encode_events(
    callers: CallerApi,
    request: requests.Request,
    items: Items,
    first: relay.Piece | relay.Ending,
    encoder: formats.EventEncoder,
) -> AsyncIterator[bytes]:
    """Encode the events of a response whose first item was read already."""
    written = 0
    try:
        item: relay.Piece | relay.Ending | None = first
        while item is not None:
            if isinstance(item, relay.Ending):
                yield encoder.encode_ending(item)
                callers.timeline.record(
                    "request.end",
                    request_id=request.request_id,
                    generation_id=item.generation_id,
                    tokens=item.tokens,
                )
                return
            written += len(item.texts)
            yield encoder.encode_piece(item)
            item = await anext(items, None)
    except faults.FaultError as error:
        _record_fault(callers, request, error.fault)
        yield formats.encode_error_event(error.fault)
    finally:
        callers.release(request.workspace, written)
        await items.aclose()  # type: ignore[attr-defined]


def _record_fault(callers: CallerApi, request: requests.Request, fault: faults.Fault) -> None:
    callers.timeline.record(
        "request.fault",
        request_id=request.request_id,
        kind=fault.kind,
        ran=fault.ran,
        message=fault.message,
    )


async def _collect(items: Items) -> tuple[str, relay.Ending]:
    """Collect the complete text and its end."""
    texts: list[str] = []
    async for item in items:
        if isinstance(item, relay.Ending):
            return "".join(texts), item
        texts.extend(item.texts)
    raise RuntimeError("relay finished without an ending")


async def _collect_closing(items: Items) -> tuple[str, relay.Ending]:
    async with contextlib.aclosing(items) as closing:  # type: ignore[type-var]
        return await _collect(closing)


async def _serve_generation(
    callers: CallerApi,
    http: litestar.Request[Any, Any, Any],
    form: requests.Form,
    model: type[requests.ChatBody] | type[requests.CompletionBody],
) -> litestar.Response[Any] | response.Stream:
    """Serve one generation, streamed or complete, new or resumed."""
    loop = asyncio.get_running_loop()
    workspace = callers.authenticate(http)
    configuration = callers.store.current
    data = await read_body(http, configuration.fleet.max_body_bytes)
    body = requests.parse_body(model, data)
    request = requests.build_request(
        configuration,
        workspace,
        body,
        request_id=requests.new_request_id(),
        class_header=http.headers.get(CLASS_HEADER, ""),
        idempotency_key=http.headers.get("idempotency-key", ""),
        now=loop.time(),
    )
    callers.timeline.record(
        "request.arrive",
        request_id=request.request_id,
        workspace=workspace,
        class_name=request.class_name,
        prompt_tokens=request.prompt_tokens,
    )
    last_event = http.headers.get("last-event-id", "")
    try:
        items = _start_relay(callers, request, last_event)
        return await _respond(callers, http, form, body, request, items)
    except faults.FaultError as error:
        _record_fault(callers, request, error.fault)
        raise


def _start_relay(callers: CallerApi, request: requests.Request, last_event: str) -> Items:
    """Start a new generation, or resume one at ``Last-Event-ID``."""
    if not last_event:
        callers.admit(request.workspace, request.prompt_tokens)
        return callers.dispatcher.run(request)
    generation_id, offset = requests.parse_event_id(last_event)
    callers.admit(request.workspace, 0)
    return callers.dispatcher.resume(request, generation_id, offset)


async def _respond(
    callers: CallerApi,
    http: litestar.Request[Any, Any, Any],
    form: requests.Form,
    body: requests.ChatBody | requests.CompletionBody,
    request: requests.Request,
    items: Items,
) -> litestar.Response[Any] | response.Stream:
    headers = {REQUEST_HEADER: request.request_id, **_NO_STORE}
    created = int(time.time())
    if not body.stream:
        return await _respond_complete(callers, http, form, body, request, items)
    try:
        first = await _run_while_connected(http, asyncio.create_task(_read_first(items)))
    except BaseException:
        callers.release(request.workspace, 0)
        await items.aclose()  # type: ignore[attr-defined]
        raise
    callers.measure("first_token", asyncio.get_running_loop().time() - request.arrived)
    encoder = formats.EventEncoder(form, body.model, created)
    events = _encode_events(callers, request, items, first, encoder)
    return response.Stream(events, media_type="text/event-stream", headers=headers, status_code=200)


async def _read_first(items: Items) -> relay.Piece | relay.Ending:
    return await anext(items)


async def _respond_complete(
    callers: CallerApi,
    http: litestar.Request[Any, Any, Any],
    form: requests.Form,
    body: requests.ChatBody | requests.CompletionBody,
    request: requests.Request,
    items: Items,
) -> litestar.Response[Any]:
    written = 0
    try:
        work = asyncio.create_task(_collect_closing(items))
        text, ending = await _run_while_connected(http, work)
        written = ending.tokens
    finally:
        callers.release(request.workspace, written)
    callers.timeline.record(
        "request.end",
        request_id=request.request_id,
        generation_id=ending.generation_id,
        tokens=ending.tokens,
    )
    body_document = formats.build_response(form, body.model, int(time.time()), text, ending)
    headers = {REQUEST_HEADER: request.request_id, **_NO_STORE}
    return litestar.Response(body_document, headers=headers, status_code=200)


async def _call_service(
    callers: CallerApi, http: litestar.Request[Any, Any, Any], name: str, path: str
) -> litestar.Response[bytes]:
    """Serve a call of a plain service."""
    workspace = callers.authenticate(http)
    configuration = callers.store.current
    service = configuration.services.get(name)
    if service is None:
        message = f"got service {name!r}, expected one of {sorted(configuration.services)}"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
    body = await read_body(http, configuration.fleet.max_body_bytes)
    query = http.scope.get("query_string", b"").decode("latin-1")
    full_path = f"{path}?{query}" if query else path
    now = asyncio.get_running_loop().time()
    headers = {key.lower(): value for key, value in http.headers.items()}
    request = requests.Request(
        request_id=requests.new_request_id(),
        workspace=workspace,
        class_name=agents.SERVICE_PREFIX + name,
        model="",
        group=name,
        targets={key: item.data_hall for key, item in service.targets.items()},
        payload=http_service.encode_call(http.method, full_path, headers, body),
        prompt_tokens=0,
        max_tokens=1,
        prefix_hash=0,
        arrived=now,
        deadline=now + service.deadline_seconds,
        priority=agents.SERVICE_PRIORITY,
        urgent=True,
        repeatable=service.repeatable or http.method in _SAFE_METHODS,
        delivery=documents.Delivery.WHOLE,
        retry_share=0.1,
        idempotency_key=requests.check_key(http.headers.get("idempotency-key", "")),
    )
    callers.admit(workspace, 0)
    try:
        items = callers.dispatcher.run(request)
        work = asyncio.create_task(formats.read_service_response(items))
        service_response = await _run_while_connected(http, work)
    except faults.FaultError as error:
        _record_fault(callers, request, error.fault)
        raise
    finally:
        callers.release(workspace, 0)
    service_response.headers[REQUEST_HEADER] = request.request_id
    media_type = service_response.headers.pop("content-type", "application/octet-stream")
    return litestar.Response(
        service_response.body,
        status_code=service_response.status,
        headers=service_response.headers,
        media_type=media_type,
    )


def build_handlers(callers: CallerApi) -> list[Any]:
    """Build the route handlers of the interface for callers."""

    @litestar.post("/v1/chat/completions", status_code=200)
    async def chat(
        request: litestar.Request[Any, Any, Any],
    ) -> litestar.Response[Any] | response.Stream:
        return await _serve_generation(callers, request, "chat", requests.ChatBody)

    @litestar.post("/v1/completions", status_code=200)
    async def complete(
        request: litestar.Request[Any, Any, Any],
    ) -> litestar.Response[Any] | response.Stream:
        return await _serve_generation(callers, request, "completion", requests.CompletionBody)

    @litestar.get("/v1/models")
    async def list_models(request: litestar.Request[Any, Any, Any]) -> dict[str, Any]:
        workspace = callers.authenticate(request)
        configuration = callers.store.current
        allowed = configuration.workspaces[workspace].classes
        names = [
            alias
            for alias, name in configuration.class_by_alias.items()
            if allowed is None or name in allowed
        ]
        return formats.build_model_list(sorted(names), int(time.time()))

    @litestar.route(
        "/services/{name:str}/{path:path}",
        http_method=["GET", "POST", "PUT", "DELETE", "PATCH"],
    )
    async def call_service(
        request: litestar.Request[Any, Any, Any], name: str, path: str
    ) -> litestar.Response[bytes]:
        return await _call_service(callers, request, name, str(path))

    return [chat, complete, list_models, call_service]
