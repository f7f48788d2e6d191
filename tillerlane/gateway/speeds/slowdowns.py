"""Transient slowdowns of runners: detected from late streams, and heard from other entries.

One runner in seven is slower by a factor of 2.5 at any time, for 0.6 s.  An entry that notices it
tells the others, which prefer other runners until it is over.  Nothing is kept of it afterwards.
"""

import asyncio
from collections.abc import Callable, Iterable

from tillerlane.gateway import directory as directories
from tillerlane.peers import codec, messages

__all__ = ["LATE_RATIO", "SlowdownUpdates", "Slowdowns", "decode_slowdowns", "encode_slowdowns"]

LATE_RATIO = 2.0
"""A gap of this many times its runner's mean is late: one with a prefill beside it takes 1.5 times
the mean, one in a slowdown 1.8 to 3.7 times."""
MIN_LATE_STREAMS = 3
"""Late streams of one runner that show a slowdown of the runner, not of one stream."""
LATE_SECONDS = 0.3
"""Time within which they are late."""
SLOWDOWN_SECONDS = 0.6
"""How long a slowdown lasts as far as is known."""
MAX_ID_CHARACTERS = 200
MAX_LEFT_SECONDS = 2.0
"""Bound on what another daemon says."""
MAX_POOL_SHARE = 1 / 3
"""Share of a pool's runners that are avoided at once: if more are slow, the fault is more likely
this entry's, or the others have no capacity for all."""
MAX_TARGETS = 1_000
"""Bound on memory."""


class Slowdowns:
    """Runners that are known to be slow for a moment, at one entry.

    Parameters
    ----------
    now : callable
        Time of the event loop.

    Attributes
    ----------
    notify : callable
        Called with a target that this entry found to be slow, and how many of its streams are late.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._until: dict[str, float] = {}
        """End of the slowdown by target id, in the order in which they became known."""
        self._late: dict[str, dict[str, float]] = {}
        """Target to request to the time of its latest late event."""
        self.notify: Callable[[str, int], None] = lambda target_id, streams: None

    def record_late(self, target_id: str, request_id: str) -> None:
        """Record a late event of a stream; notify if it shows a slowdown."""
        now = self._now()
        if len(self._late) >= MAX_TARGETS:
            self._late.clear()
        late = self._late.setdefault(target_id, {})
        late[request_id] = now
        for other, at in list(late.items()):
            if now - at > LATE_SECONDS:
                del late[other]
        if len(late) < MIN_LATE_STREAMS or self._until.get(target_id, 0.0) > now:
            return
        self._add(target_id, now + SLOWDOWN_SECONDS)
        self.notify(target_id, len(late))

    def merge(self, slowdowns: Iterable[tuple[str, float]]) -> None:
        """Merge slowdowns that other entries have found: targets, and their end."""
        for target_id, until in slowdowns:
            self._add(target_id, until)

    def _add(self, target_id: str, until: float) -> None:
        now = self._now()
        for other, at in list(self._until.items()):
            if at <= now:
                del self._until[other]
        if until > now and len(self._until) < MAX_TARGETS:
            self._until[target_id] = max(until, self._until.get(target_id, 0.0))

    def find_slow(self, targets: Iterable[directories.Target]) -> frozenset[str]:
        """Ids of a pool's targets that are to be avoided now, at most a third of them."""
        if not self._until:
            return frozenset()
        now = self._now()
        pool = {target.target_id for target in targets}
        slow = [item for item, until in self._until.items() if until > now and item in pool]
        return frozenset(slow[: int(len(pool) * MAX_POOL_SHARE)])

    def discard(self, target_id: str) -> None:
        """Discard what is known of a target that has ended."""
        self._until.pop(target_id, None)
        self._late.pop(target_id, None)

    def count(self) -> int:
        """Number of targets known to be slow now."""
        now = self._now()
        return sum(until > now for until in self._until.values())


class SlowdownUpdates:
    """Passes slowdowns on at once, at one keeper.

    Parameters
    ----------
    send_to_keepers, send_to_subscribers : callable
        Send a message to all other keepers, and to all subscribed entries.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        send_to_keepers: Callable[[messages.TargetSlowdowns], None],
        send_to_subscribers: Callable[[messages.TargetSlowdowns], None],
        now: Callable[[], float],
    ) -> None:
        self._send_to_keepers = send_to_keepers
        self._send_to_subscribers = send_to_subscribers
        self._now = now
        self._known: dict[str, float] = {}

    def handle_message(self, message: messages.TargetSlowdowns, *, is_of_entry: bool) -> None:
        """Pass on the slowdowns that are news: once each, however many entries find them."""
        now = self._now()
        for target_id, until in list(self._known.items()):
            if until <= now:
                del self._known[target_id]
        news = [
            (target_id, until)
            for target_id, until in decode_slowdowns(message)
            if until > now and target_id not in self._known
        ][: MAX_TARGETS - len(self._known)]
        if not news:
            return
        self._known.update(news)
        passed_on = encode_slowdowns(news)
        self._send_to_subscribers(passed_on)
        if is_of_entry:
            self._send_to_keepers(passed_on)


def encode_slowdowns(slowdowns: Iterable[tuple[str, float]]) -> messages.TargetSlowdowns:
    """Encode targets, and the end of their slowdown, as a message."""
    now = asyncio.get_running_loop().time()
    rows = [(target_id, max(0, round((until - now) * 1000))) for target_id, until in slowdowns]
    return messages.TargetSlowdowns([row[0] for row in rows], [row[1] for row in rows])


def decode_slowdowns(message: messages.TargetSlowdowns) -> list[tuple[str, float]]:
    """Decode targets, and the end of their slowdown, from a message."""
    codec.check_columns("slowdowns", message.target_ids, message.left_ms)
    now = asyncio.get_running_loop().time()
    return [
        (target_id, now + min(left_ms / 1000, MAX_LEFT_SECONDS))
        for target_id, left_ms in zip(message.target_ids, message.left_ms, strict=True)
        if 0 < len(target_id) <= MAX_ID_CHARACTERS
    ]
