"""Notices of runs that are ordered to stop by an entry that does not relay their streams.

A runner knows runs by the id of their request only.  If a caller repeats a request under its id,
the order to stop the earlier run may stop the later one, whose stream another entry relays.  That
entry has to know of the order: the stream's regular close does not show that it was complete.
"""

import asyncio
import dataclasses
from collections.abc import Iterable

from tillerlane.peers import codec, messages
from tillerlane.peers import link as links

__all__ = ["StopNotice", "decode_notices", "encode_notices", "send_where_accepted"]

MAX_NOTICE_SECONDS = 600.0
"""Longest time for which a notice is kept, so that one wrong value is not kept for days."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopNotice:
    """A run that is ordered to stop.

    Attributes
    ----------
    request_id : str
        Id of the request that it runs.
    address : str
        Address of its runner.
    until : float
        Time of the event loop until which the runner may carry out the orders.
    """

    request_id: str
    address: str
    until: float


def encode_notices(notices: Iterable[StopNotice], entry: str) -> messages.StopNotices:
    """Encode notices of an entry as a message."""
    listed = list(notices)
    now = asyncio.get_running_loop().time()
    return messages.StopNotices(
        [notice.request_id for notice in listed],
        [notice.address for notice in listed],
        [max(0, int((notice.until - now) * 1000)) for notice in listed],
        entry,
    )


def decode_notices(message: messages.StopNotices) -> list[StopNotice]:
    """Decode the notices of a message.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if its columns differ in length.
    """
    columns = (message.request_ids, message.addresses, message.left_ms)
    codec.check_columns("stop notices", *columns)
    now = asyncio.get_running_loop().time()
    return [
        StopNotice(request_id, address, now + min(left_ms / 1000, MAX_NOTICE_SECONDS))
        for request_id, address, left_ms in zip(*columns, strict=True)
    ]


def send_where_accepted(peers: Iterable[links.Link], message: messages.StopNotices) -> None:
    """Send notices over all links whose peers know this kind of message."""
    for link in peers:
        if link.hello is not None and link.hello.features & messages.STOP_NOTICES_FEATURE:
            links.try_send(link, message)
