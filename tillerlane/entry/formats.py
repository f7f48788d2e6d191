"""Answers in the forms that text-generation clients already use."""

import base64
import dataclasses
import json
from collections.abc import AsyncIterator
from typing import Any

from tillerlane.entry import relay, requests
from tillerlane.faults import core as faults

__all__ = [
    "EventEncoder",
    "build_model_list",
    "build_response",
    "encode_error_event",
    "read_service_response",
]

DONE_EVENT = b"data: [DONE]\n\n"
_SEPARATORS = (",", ":")


def _encode(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, separators=_SEPARATORS)


@dataclasses.dataclass(slots=True)
class EventEncoder:
    """Writes one generation's tokens as server-sent events.

    All that does not change between events is written once.

    Attributes
    ----------
    form : requests.Form
        ``chat`` or ``completion``.
    model : str
        Model as the caller named it.
    created : int
        Seconds since 1970.
    """

    form: requests.Form
    model: str
    created: int
    _head: str = ""
    _generation_id: str = ""

    def _open(self, generation_id: str) -> str:
        """Everything up to the choice; written when the generation is first seen."""
        if generation_id != self._generation_id:
            self._generation_id = generation_id
            kind = "chat.completion.chunk" if self.form == "chat" else "text_completion"
            common = {
                "id": generation_id,
                "object": kind,
                "created": self.created,
                "model": self.model,
            }
            self._head = _encode(common)[:-1] + ',"choices":[{"index":0,'
        return self._head

    def encode_piece(self, piece: relay.Piece) -> bytes:
        """One event for a piece; its id says where to resume."""
        head = self._open(piece.generation_id)
        text = _encode("".join(piece.texts))
        if self.form == "chat":
            role = '"role":"assistant",' if piece.offset == 0 else ""
            choice = f'"delta":{{{role}"content":{text}}},"finish_reason":null}}]}}'
        else:
            choice = f'"text":{text},"finish_reason":null}}]}}'
        next_offset = piece.offset + len(piece.texts)
        return f"id: {piece.generation_id}:{next_offset}\ndata: {head}{choice}\n\n".encode()

    def encode_ending(self, ending: relay.Ending) -> bytes:
        """The last events."""
        head = self._open(ending.generation_id)
        body = '"delta":{}' if self.form == "chat" else '"text":""'
        usage = _encode(build_usage(ending))
        last = f'{body},"finish_reason":{_encode(ending.reason)}}}],"usage":{usage}}}'
        event = f"id: {ending.generation_id}:{ending.tokens}\ndata: {head}{last}\n\n"
        return event.encode() + DONE_EVENT


def build_usage(ending: relay.Ending) -> dict[str, int]:
    """Token counts."""
    return {
        "prompt_tokens": ending.prompt_tokens,
        "completion_tokens": ending.tokens,
        "total_tokens": ending.prompt_tokens + ending.tokens,
    }


def encode_error_event(fault: faults.Fault) -> bytes:
    """An event for a fault after the answer has begun."""
    return f"event: error\ndata: {_encode(fault.to_json())}\n\n".encode()


def build_response(
    form: requests.Form, model: str, created: int, text: str, ending: relay.Ending
) -> dict[str, Any]:
    """The whole answer as one JSON body."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": ending.reason}
    if form == "chat":
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": ending.generation_id,
        "object": "chat.completion" if form == "chat" else "text_completion",
        "created": created,
        "model": model,
        "choices": [choice],
        "usage": build_usage(ending),
    }


def build_model_list(names: list[str], created: int) -> dict[str, Any]:
    """Answer of ``GET /v1/models``."""
    data = [
        {"id": name, "object": "model", "created": created, "owned_by": "tillerlane"}
        for name in names
    ]
    return {"object": "list", "data": data}


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """A plain service's answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_service_response(
    items: AsyncIterator[relay.Piece | relay.Ending],
) -> ServiceResponse:
    """Join the tokens of a service call (see `tillerlane.runners.http_service`)."""
    texts: list[str] = []
    async for item in items:
        if isinstance(item, relay.Piece):
            texts.extend(item.texts)
    head = json.loads(texts[0])
    body = b"".join(base64.b64decode(text) for text in texts[1:])
    return ServiceResponse(head["status"], head["headers"], body)
