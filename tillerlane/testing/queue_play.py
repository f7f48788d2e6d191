"""Simulated entries that each hold a queue of waiting requests, for `engine_play.play`.

An entry knows its own sends and its claim at once, and those of others after the age of a report.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable

from tillerlane.decisions import placing, room
from tillerlane.testing import engine_play

__all__ = ["Entries", "QueueRules"]


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRules:
    """How the requests wait at several entries, each of which holds a queue.

    Attributes
    ----------
    entries : int
        Number of entries; arrivals are spread over them in turn.
    compute_key : callable
        Sort key of a waiting request at a time, the lowest first.
    gives_up : callable
        Whether a request is refused at a time.
    is_late : callable
        Whether a request gets only what nobody else wants at a time.
    takes_parts : bool
        Whether an entry takes only its part of memory that others want too, see
        `room.compute_part`.
    claim_seconds : float
        How long the first request waits before it claims a runner; infinite for no claims.
    """

    entries: int
    compute_key: Callable[[engine_play.Arrival, float], tuple[float, ...]]
    gives_up: Callable[[engine_play.Arrival, float], bool]
    is_late: Callable[[engine_play.Arrival, float], bool] = lambda arrival, now: False
    takes_parts: bool = True
    claim_seconds: float = math.inf


@dataclasses.dataclass(slots=True)
class _Claim:
    arrival: engine_play.Arrival
    position: int
    tokens: int
    at: float
    ended_at: float = math.inf


class _Entry:
    """An entry's queue, its sends that are not reported yet, and its claim."""

    def __init__(self) -> None:
        self.waiting: list[engine_play.Arrival] = []
        self.sent: collections.deque[tuple[float, int, placing.Work]] = collections.deque()
        self.claim: _Claim | None = None
        self.former_claims: list[_Claim] = []

    def end_claim(self, now: float) -> None:
        """End the claim, which others know of with the next report only."""
        if self.claim is not None:
            self.claim.ended_at = now
            self.former_claims = [*self.former_claims[-3:], self.claim]
            self.claim = None

    def list_claims(self, now: float, report_age: float) -> list[_Claim]:
        """Claims as other entries know them."""
        claims = [*self.former_claims, *([self.claim] if self.claim is not None else [])]
        return [item for item in claims if item.at <= now - report_age < item.ended_at]


class Entries:
    """All entries; each entry knows its own sends and claim, and others' after the report age."""

    def __init__(self, rules: QueueRules, choose: engine_play.Choose, report_age: float) -> None:
        self._rules = rules
        self._choose = choose
        self._report_age = report_age
        self._entries = [_Entry() for _ in range(rules.entries)]
        self._arrived = 0
        self._rng = random.Random(1)
        self.refused: list[engine_play.Arrival] = []

    def add(self, arrival: engine_play.Arrival) -> None:
        """Let a request arrive at the next entry."""
        self._entries[self._arrived % len(self._entries)].waiting.append(arrival)
        self._arrived += 1

    def count_waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(entry.waiting) for entry in self._entries)

    def place(
        self, reported: list[placing.CandidateLoad], event_seconds: float, now: float, tick: float
    ) -> list[tuple[engine_play.Arrival, int]]:
        """Choose runners for waiting requests, at each entry in its order."""
        placed = []
        waiting = [
            item
            for entry in self._entries
            for item in entry.waiting
            if not self._rules.is_late(item, now)
        ]
        wanted = sum(engine_play.compute_work(item).memory_tokens for item in waiting)
        for entry in self._rng.sample(self._entries, len(self._entries)):
            late = [item for item in entry.waiting if self._rules.gives_up(item, now)]
            self.refused += late
            entry.waiting = [item for item in entry.waiting if item not in late]
            entry.waiting.sort(key=lambda item: self._rules.compute_key(item, now))
            if entry.claim is not None and entry.claim.arrival not in entry.waiting:
                entry.end_claim(now)
            while entry.sent and now - entry.sent[0][0] > self._report_age:
                entry.sent.popleft()
            sent = self._place_at(entry, reported, event_seconds, now, tick, wanted)
            entry.waiting = [item for item in entry.waiting if all(item is not s for s, _ in sent)]
            placed += sent
            own = sum(engine_play.compute_work(item).memory_tokens for item in entry.waiting)
            turn = room.compute_turn(own, wanted, tick, self._report_age)
            if entry.claim is not None or self._rng.random() < turn:
                self._update_claim(entry, reported, now)
        return placed

    def _view(
        self, entry: _Entry, reported: list[placing.CandidateLoad], now: float, *, claims: bool
    ) -> list[placing.CandidateLoad]:
        tokens, unread = [0] * len(reported), [0] * len(reported)
        for _, position, work in entry.sent:
            tokens[position] += work.memory_tokens
            unread[position] += work.prompt_tokens
        if claims and entry.claim is not None:
            tokens[entry.claim.position] += entry.claim.tokens
        for other in self._entries if claims else ():
            for claim in other.list_claims(now, self._report_age) if other is not entry else ():
                tokens[claim.position] += claim.tokens
        return [
            dataclasses.replace(load, tokens=load.tokens + more, unread=load.unread + prompts)
            if more or prompts
            else load
            for load, more, prompts in zip(reported, tokens, unread, strict=True)
        ]

    def _place_at(
        self,
        entry: _Entry,
        reported: list[placing.CandidateLoad],
        event_seconds: float,
        now: float,
        tick: float,
        wanted: int,
    ) -> list[tuple[engine_play.Arrival, int]]:
        placed: list[tuple[engine_play.Arrival, int]] = []
        own = sum(
            engine_play.compute_work(item).memory_tokens
            for item in entry.waiting
            if not self._rules.is_late(item, now)
        )
        part: float | None = None
        loads = self._view(entry, reported, now, claims=True)
        most = max(item.memory_tokens - item.tokens for item in loads)
        for arrival in entry.waiting:
            work = engine_play.compute_work(arrival)
            position = self._take_claimed(entry, arrival, work, reported, event_seconds, now, tick)
            if position is None and most >= work.memory_tokens:
                if part is None:
                    free = [item.memory_tokens - item.tokens for item in loads]
                    usable = sum(item for item in free if item >= work.memory_tokens)
                    part = room.compute_part(usable, own, wanted, tick, self._report_age)
                    part = part if self._rules.takes_parts else math.inf
                if part < math.inf and self._rules.is_late(arrival, now):
                    continue
                if part < work.memory_tokens and self._rng.random() * work.memory_tokens >= part:
                    part = 0.0
                else:
                    position = self._choose(work, loads, event_seconds)
                    part -= work.memory_tokens if position is not None else 0
            if position is not None:
                placed.append((arrival, position))
                entry.sent.append((now, position, work))
                loads = self._view(entry, reported, now, claims=True)
                most = max(item.memory_tokens - item.tokens for item in loads)
        return placed

    def _take_claimed(
        self,
        entry: _Entry,
        arrival: engine_play.Arrival,
        work: placing.Work,
        reported: list[placing.CandidateLoad],
        event_seconds: float,
        now: float,
        tick: float,
    ) -> int | None:
        claim = entry.claim
        if claim is None or claim.arrival is not arrival or now - claim.at < self._report_age:
            return None
        loads = self._view(entry, reported, now, claims=False)
        load = loads[claim.position]
        claimed = sum(
            other.claim.tokens
            for other in self._entries
            if other.claim is not None and other.claim.position == claim.position
        )
        free = load.memory_tokens - load.tokens
        part = room.compute_part(free, claim.tokens, claimed, tick, self._report_age)
        if free < claim.tokens or self._rng.random() * claim.tokens >= part:
            return None
        others = [dataclasses.replace(item, tokens=item.memory_tokens) for item in loads]
        others[claim.position] = load
        if self._choose(work, others, event_seconds) is None:
            return None
        entry.end_claim(now)
        return claim.position

    def _update_claim(
        self, entry: _Entry, reported: list[placing.CandidateLoad], now: float
    ) -> None:
        if entry.claim is not None and now - entry.claim.at > 1.0:
            entry.end_claim(now)
        if entry.claim is None and entry.waiting:
            head = entry.waiting[0]
            if now - head.at < self._rules.claim_seconds:
                return
            loads = self._view(entry, reported, now, claims=True)
            tokens = engine_play.compute_work(head).memory_tokens
            if max(item.memory_tokens - item.tokens for item in loads) >= tokens:
                return
            known = [
                claim
                for other in self._entries
                for claim in other.list_claims(now, self._report_age)
            ]
            if known:
                return  # one claim at a time, as far as this entry knows
            sampled = self._rng.sample(range(len(loads)), max(1, len(loads) // 2))
            position = min(sampled, key=lambda item: loads[item].tokens)
            entry.claim = _Claim(head, position, engine_play.compute_work(head).memory_tokens, now)
