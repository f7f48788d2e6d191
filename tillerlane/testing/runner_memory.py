"""Bounded memory of a simulated runner: runs, reservations, and requests that wait for memory."""

import asyncio
import dataclasses
import itertools

__all__ = ["RunnerMemory"]


@dataclasses.dataclass(slots=True)
class _Hold:
    tokens: int
    ends_at: float


class RunnerMemory:
    """Memory in tokens, shared by runs and reservations.

    Requests without a reservation are admitted in their order of arrival.

    Parameters
    ----------
    tokens : int
        All memory.

    Attributes
    ----------
    waited : list of str
        Request ids that found no free memory on arrival.
    taken, rejected : int
        Reservations granted and rejected.
    dropped, used, unknown : list of str
        Reservations that were released unused, used by a request, or not known (any more) when a
        request named them.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.waited: list[str] = []
        self.taken = 0
        self.rejected = 0
        self.dropped: list[str] = []
        self.used: list[str] = []
        self.unknown: list[str] = []
        self._loop = asyncio.get_running_loop()
        self._ids = itertools.count(1)
        self._holds: dict[str, _Hold] = {}
        self._runs: dict[str, int] = {}
        self._waiting: list[tuple[str, int, asyncio.Future[None]]] = []

    def count_free(self) -> int:
        """Tokens that neither runs nor reservations take."""
        return self.tokens - sum(self._runs.values()) - self.count_held()

    def count_held(self) -> int:
        """Tokens of unused reservations whose lease has not ended."""
        now = self._loop.time()
        self._holds = {key: item for key, item in self._holds.items() if item.ends_at > now}
        return sum(item.tokens for item in self._holds.values())

    def take_hold(self, tokens: int, lease_seconds: float) -> str:
        """Reserve memory; empty without free memory, or while requests wait for some."""
        if self._waiting or tokens > self.count_free():
            self.rejected += 1
            return ""
        self.taken += 1
        hold = f"hold-{next(self._ids)}"
        self._holds[hold] = _Hold(tokens, self._loop.time() + lease_seconds)
        self._loop.call_later(lease_seconds + 0.001, self._admit_waiting)
        return hold

    def drop_hold(self, hold: str) -> bool:
        """Release a reservation; False if it is not known."""
        if self._holds.pop(hold, None) is None:
            return False
        self.dropped.append(hold)
        self._admit_waiting()
        return True

    async def admit(self, request_id: str, tokens: int, hold: str) -> None:
        """Wait until a request has its memory; with a reservation it has it at once."""
        self.count_held()
        if hold and self._holds.pop(hold, None) is not None:
            self.used.append(hold)
        elif hold:
            self.unknown.append(hold)
        if hold not in self.used and (self._waiting or tokens > self.count_free()):
            self.waited.append(request_id)
            turn: asyncio.Future[None] = self._loop.create_future()
            self._waiting.append((request_id, tokens, turn))
            try:
                await turn
            except asyncio.CancelledError:
                self.release(request_id)
                raise
            finally:
                self._waiting = [item for item in self._waiting if item[2] is not turn]
        self._runs[request_id] = tokens

    def release(self, request_id: str) -> None:
        """Free the memory of a run that ended."""
        if self._runs.pop(request_id, None) is not None:
            self._admit_waiting()

    def _admit_waiting(self) -> None:
        for request_id, tokens, turn in self._waiting:
            if turn.done():
                continue
            if tokens > self.count_free():
                break
            self._runs[request_id] = tokens
            turn.set_result(None)
