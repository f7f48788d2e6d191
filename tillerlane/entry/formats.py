"""Responses in the formats that existing text-generation clients expect."""

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
    """Encodes one generation's tokens as server-sent events.

    The parts that are constant between events are encoded once.

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

    def _encode_head(self, generation_id: str) -> str:
        """Part of the event before the choice, encoded once per generation."""
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
        """Encode a piece as one event, whose id is the position for resuming."""
        head = self._encode_head(piece.generation_id)
        text = _encode("".join(piece.texts))
        if self.form == "chat":
            role = '"role":"assistant",' if piece.offset == 0 else ""
            choice = f'"delta":{{{role}"content":{text}}},"finish_reason":null}}]}}'
        else:
            choice = f'"text":{text},"finish_reason":null}}]}}'
        next_offset = piece.offset + len(piece.texts)
        return f"id: {piece.generation_id}:{next_offset}\ndata: {head}{choice}\n\n".encode()

    def encode_ending(self, ending: relay.Ending) -> bytes:
        """Encode the last events."""
        head = self._encode_head(ending.generation_id)
        body = '"delta":{}' if self.form == "chat" else '"text":""'
        usage = _encode(build_usage(ending))
        last_choice = f'{body},"finish_reason":{_encode(ending.reason)}}}],"usage":{usage}}}'
        event = f"id: {ending.generation_id}:{ending.tokens}\ndata: {head}{last_choice}\n\n"
        return event.encode() + DONE_EVENT


def build_usage(ending: relay.Ending) -> dict[str, int]:
    """Token counts."""
    return {
        "prompt_tokens": ending.prompt_tokens,
        "completion_tokens": ending.tokens,
        "total_tokens": ending.prompt_tokens + ending.tokens,
    }


def encode_error_event(fault: faults.Fault) -> bytes:
    """Encode a fault that occurs after the response has started."""
    return f"event: error\ndata: {_encode(fault.to_json())}\n\n".encode()


def build_response(
    form: requests.Form, model: str, created: int, text: str, ending: relay.Ending
) -> dict[str, Any]:
    """Build a complete response body."""
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
    """Build the response body of ``GET /v1/models``."""
    data = [
        {"id": name, "object": "model", "created": created, "owned_by": "tillerlane"}
        for name in names
    ]
    return {"object": "list", "data": data}


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_service_response(
    items: AsyncIterator[relay.Piece | relay.Ending],
) -> ServiceResponse:
    """Decode the tokens of a service call (see `tillerlane.runners.http_service`)."""
    texts: list[str] = []
    async for item in items:
        if isinstance(item, relay.Piece):
            texts.extend(item.texts)
    head = json.loads(texts[0])
    body = b"".join(base64.b64decode(text) for text in texts[1:])
    return ServiceResponse(head["status"], head["headers"], body)
