"""Faults of the soak in the middle of answers, and the checks of what broken answers cost an entry.

Processes are killed while they answer, answers stop at any byte, answers never end, and answers
have no status of HTTP.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from tillerlane.testing import (
    broken_answers,
    platform_checker,
    platform_fleet,
    platform_record,
    platform_target,
    platform_targets,
)

__all__ = ["AnswerFaults", "check"]

QUIET_SECONDS = 4.0
"""Time before the first fault, in which the other faults have runs handed over."""
PAUSE_SECONDS = (1.0, 4.0)
"""Pause between two faults; each may go on while the next one begins."""
MAX_SERIES = 2
"""Number of targets that have a fault together, at most."""
BROKEN_SECONDS = (0.5, 4.0)
"""How long a target answers so."""
KILL_DELAY_SECONDS = (0.05, 0.6)
"""Time from the stop of a target's answers to the kill of its process."""
RESTART_SECONDS = (0.0, 1.5)
OPEN_CHECK_SECONDS = 0.2
CLOSE_SECONDS = 1.0
"""Time after a request's deadline within which its connection to a target has to be closed."""
LONGEST_CALL_SECONDS = 10.0
"""Time that callers wait; orders about a request name no time of their own."""
MAX_ENDLESS_TARGETS = 3
"""Number of targets with endless answers at a time, which all pass through the soak's process."""
MIN_CALLS = 20
STREAM_ROUTES = ("record", "verdict")
MIN_SHARE = 0.75
"""Share of the calls served otherwise that must be served beside endless answers, as in rushes."""

Start = Callable[[Awaitable[None]], asyncio.Task[None]]


class AnswerFaults:
    """Injects the faults of one run.

    Parameters
    ----------
    targets : platform_targets.Targets
        The targets of the run.
    rng : random.Random
        Chooses the faults.
    start : callable
        Starts a fault as a task that is recorded as a fault.
    done : dict
        Counts the faults by name.
    is_endless_only : bool
        Whether answers only never end, so that few of them are cut short by other faults.
    """

    def __init__(
        self,
        targets: platform_targets.Targets,
        rng: random.Random,
        start: Start,
        done: dict[str, int],
        *,
        is_endless_only: bool = False,
    ) -> None:
        self._targets = targets
        self._rng = rng
        self._start = start
        self._done = done
        self._is_endless_only = is_endless_only
        self._endless: set[str] = set()
        """Ids of the targets that have endless answers."""

    async def inject(self, stopping: asyncio.Event) -> None:
        """Inject series of faults until the run stops."""
        await asyncio.sleep(QUIET_SECONDS)
        while not stopping.is_set():
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            pool = self._rng.choice(("llm", "app"))
            kinds = [broken_answers.Kind.RUN] * 2
            faults = [self._kill, self._kill, self._break_off, self._never_end, self._odd_status]
            if pool == "llm":
                kinds.append(broken_answers.Kind.ORDER)
                faults.append(self._end_inside)
            fault = self._never_end if self._is_endless_only else self._rng.choice(faults)
            found = await self._targets.wait_for_running(pool)
            name = fault.__name__.strip("_")
            number = min(len(found), self._rng.randrange(1, MAX_SERIES + 1))
            answers = fault(self._rng.choice(kinds))
            for target in self._rng.sample(found, number):
                self._done[name] = self._done.get(name, 0) + 1
                self._start(answers(target))

    def _kill(
        self, kind: broken_answers.Kind
    ) -> Callable[[platform_targets.Target], Awaitable[None]]:
        """Kill processes between two events, or after a part of an answer."""
        stops = self._rng.random() < 0.5
        answer = broken_answers.BrokenAnswer(
            kind, broken_answers.Ending.HANG, self._rng.random(), is_inside_body=True
        )
        version = self._rng.choice(self._targets.list_versions())
        has_other_software = self._rng.random() < 0.5
        delay, pause = self._rng.uniform(*KILL_DELAY_SECONDS), self._rng.uniform(*RESTART_SECONDS)

        async def kill(target: platform_targets.Target) -> None:
            if stops:
                target.switch(platform_target.Switches({"broken": answer}))
            await asyncio.sleep(delay)
            if target.is_running and target.state == "ready":
                await self._targets.restart(target, pause, version if has_other_software else "")

        return kill

    def _break_off(
        self, kind: broken_answers.Kind
    ) -> Callable[[platform_targets.Target], Awaitable[None]]:
        """Have answers stop at some byte, and their connections end regularly or stay open."""
        ending = self._rng.choice((broken_answers.Ending.CLOSE, broken_answers.Ending.HANG))
        share, is_inside_body = self._rng.random(), self._rng.random() < 0.3
        seconds = self._rng.uniform(*BROKEN_SECONDS)

        async def break_off(target: platform_targets.Target) -> None:
            looks_complete = (
                ending is broken_answers.Ending.CLOSE
                and target.framing is broken_answers.Framing.CLOSE
            )
            answer = broken_answers.BrokenAnswer(
                kind, ending, share, is_inside_body=is_inside_body and not looks_complete
            )
            await _answer_so(target, answer, seconds)

        return break_off

    def _odd_status(
        self, kind: broken_answers.Kind
    ) -> Callable[[platform_targets.Target], Awaitable[None]]:
        """Have complete answers come with a status that is none of HTTP."""
        status = self._rng.choice(broken_answers.ODD_STATUSES)
        answer = broken_answers.BrokenAnswer(kind, broken_answers.Ending.ODD_STATUS, place=status)
        seconds = self._rng.uniform(*BROKEN_SECONDS)

        async def answer_oddly(target: platform_targets.Target) -> None:
            await _answer_so(target, answer, seconds)

        return answer_oddly

    def _end_inside(
        self, kind: broken_answers.Kind
    ) -> Callable[[platform_targets.Target], Awaitable[None]]:
        """Have streams end inside an event as if they were complete."""
        event = self._rng.randrange(1, platform_targets.STREAM_LENGTH + 1)
        seconds = self._rng.uniform(*BROKEN_SECONDS)

        async def end_inside(target: platform_targets.Target) -> None:
            target.switch(platform_target.Switches({"ends_inside": event}))
            await asyncio.sleep(seconds)
            target.switch(platform_target.Switches({"ends_inside": 0}))

        return end_inside

    def _never_end(
        self, kind: broken_answers.Kind
    ) -> Callable[[platform_targets.Target], Awaitable[None]]:
        """Have answers go on without an end until the entry closes their connections."""
        answer = broken_answers.BrokenAnswer(
            kind,
            broken_answers.Ending.ENDLESS,
            place=self._rng.choice(list(broken_answers.ENDLESS_PLACES)),
        )
        seconds = self._rng.uniform(*BROKEN_SECONDS)

        async def never_end(target: platform_targets.Target) -> None:
            if len(self._endless) >= MAX_ENDLESS_TARGETS or target.target_id in self._endless:
                return
            self._endless.add(target.target_id)
            try:
                await _answer_so(target, answer, seconds)
                while target.is_running and _has_open(target.record):
                    await asyncio.sleep(OPEN_CHECK_SECONDS)
            finally:
                self._endless.discard(target.target_id)

        return never_end


def _has_open(record: platform_record.Reader) -> bool:
    """Whether a broken answer of a target is under way."""
    record.read()
    return any(call.closed_at == float("inf") for call in record.broken)


async def _answer_so(
    target: platform_targets.Target, answer: broken_answers.BrokenAnswer, seconds: float
) -> None:
    target.switch(platform_target.Switches({"broken": answer}))
    await asyncio.sleep(seconds)
    target.switch(platform_target.Switches({"broken": None}))


def check(seen: platform_checker.Observations) -> list[str]:
    """Return a description of each broken answer that cost an entry or other calls too much."""
    problems = [
        f"{call.target_id}: {call.request_id or 'order'} ({call.text}) was still open after "
        f"{call.closed_at - call.began:.2f} s, due after {call.deadline_seconds:.2f} s"
        for calls in seen.broken.values()
        for call in calls
        if _is_late(seen, call)
    ]
    limit = platform_fleet.HOST_MEMORY_MB * 1_000_000
    problems += [
        f"{name}, start {start}: {used / 1e6:.0f} MB in use, its host has {limit / 1e6:.0f} MB"
        for (name, start), used in seen.memory.items()
        if used > limit
    ]
    return problems + _check_served(seen)


def _is_late(seen: platform_checker.Observations, call: platform_record.BrokenCall) -> bool:
    """Whether the connection of a broken answer was open for too long.

    A paused entry, and a link that carries nothing, close no connection.
    """
    due = call.began + (call.deadline_seconds or LONGEST_CALL_SECONDS) + CLOSE_SECONDS
    spans = seen.link_fault_spans.get(call.target_id, []) + [
        span for paused in seen.entries_paused.values() for span in paused
    ]
    silenced = seen.silenced.get(call.target_id, [])
    return (
        call.closed_at > due
        and not any(begin < call.closed_at and end > call.began for begin, end in spans)
        and not any(call.began < at < call.closed_at for at in silenced)
    )


def _check_served(seen: platform_checker.Observations) -> list[str]:
    """Check that calls to the other pool are served while answers of one do not end.

    Only where entries and keepers have no faults: these may end more calls than an endless answer.
    """
    if not seen.are_daemons_sound:
        return []
    routes = {call.request_id: call.route for call in seen.calls}
    endless = [
        (call, routes.get(call.request_id, STREAM_ROUTES[0]) in STREAM_ROUTES)
        for calls in seen.broken.values()
        for call in calls
        if broken_answers.Ending.ENDLESS in call.text
    ]
    served: dict[bool, list[bool]] = {True: [], False: []}
    for call in seen.calls:
        if call.key in seen.revoked or call.has_left or call.resumes:
            continue
        is_stream = call.route in STREAM_ROUTES
        of_streams = {
            item_of_streams
            for item, item_of_streams in endless
            if item.began < call.ended_at and item.closed_at > call.sent_at
        }
        if is_stream not in of_streams:
            is_served = call.response.status == 200 and call.response.is_whole
            served[bool(of_streams)].append(is_served)
    if min(map(len, served.values())) < MIN_CALLS:
        return []
    during, otherwise = (sum(served[key]) / len(served[key]) for key in (True, False))
    if during >= MIN_SHARE * otherwise:
        return []
    return [f"{during:.2f} of the calls served beside endless answers, {otherwise:.2f} otherwise"]
