"""Callers that resume their streams at any entry, and the check of which versions wrote them."""

import asyncio
import itertools
import random
import re
from collections.abc import Awaitable, Callable, Iterator

from tillerlane.testing import platform_checker, platform_runner

__all__ = ["check", "find_last_event", "resume"]

MAX_RESUMPTIONS = 4
MIN_RESUMPTIONS = 12
"""Number of resumptions in one run from which their share is compared, as the users do."""
MIN_RESUMED_SHARE = 0.5
"""Least share of resumptions that go on, relative to the share of new streams that begin."""
MIN_RUNNERS = 2
"""Runners of a stream's version that have to serve for its resumption to count."""
SERVING_DELAY_SECONDS = 3.0
"""Time after a runner's start and after an entry's disturbance for which nothing is counted."""
NO_ENTRY_PAUSE_SECONDS = 0.2
"""Pause after an attempt for which no entry accepted a connection."""
_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
_VERSION = re.compile(rb"^: (\S+)$", re.MULTILINE)


def _list_events(body: bytes) -> Iterator[tuple[int, str]]:
    """Yield the number of each complete event, and the version that it names, if any."""
    for event in body.split(b"\n\n")[:-1]:
        number, version = _EVENT_ID.search(event), _VERSION.search(event)
        if number is not None:
            yield int(number.group(1)), version.group(1).decode() if version is not None else ""


def find_last_event(body: bytes) -> int:
    """Number of the last complete event in what a caller has received; 0 without one."""
    return max((number for number, _ in _list_events(body)), default=0)


async def resume(
    call: platform_checker.Call,
    send: Callable[[platform_checker.Call], Awaitable[platform_checker.Call | None]],
    next_id: Callable[[], str],
    until: float,
    rng: random.Random,
) -> None:
    """Resume a broken stream until it is complete or its caller's time has passed.

    Parameters
    ----------
    call : platform_checker.Call
        The attempt that brought the stream's first event.
    send : callable
        Sends an attempt to any entry; returns None if no connection was established.
    """
    loop = asyncio.get_running_loop()
    last_event = find_last_event(call.response.body)
    left = MAX_RESUMPTIONS
    while left and loop.time() < until:
        attempt = platform_checker.Call(
            next_id(),
            call.route,
            call.key,
            loop.time(),
            resumes=call.request_id,
            last_event=last_event,
            prompt=call.prompt,
        )
        sent = await send(attempt)
        if sent is None:
            await asyncio.sleep(NO_ENTRY_PAUSE_SECONDS)
            continue
        if sent.response.is_whole and sent.response.status == 200:
            return
        left -= 1
        last_event = max(last_event, find_last_event(sent.response.body))
        seconds = float(sent.response.headers.get("retry-after", rng.uniform(0.0, 0.2)))
        await asyncio.sleep(min(seconds, max(0.0, until - loop.time()) / 3))


def check(seen: platform_checker.Observations) -> list[str]:
    """Return a description of each stream with events of several versions, or out of order."""
    problems: list[str] = []
    resumed: list[bool] = []
    runs = _group_runs(seen)
    for attempts in _list_streams(seen):
        written = list(_list_versions(runs, attempts))
        versions = {version for _, version in written}
        problems += _check_events(runs, attempts)
        if len(versions) > 1:
            text = ", ".join(f"{target_id} ({version})" for target_id, version in written)
            problems.append(f"{attempts[0].request_id}: events of several versions: {text}")
        elif versions:
            resumed += [
                bool(find_last_event(attempt.response.body))
                for attempt in attempts[1:]
                if _counts(seen, attempt, *versions)
            ]
    seen.resumptions = (sum(resumed), len(resumed))
    begun = [call.response.status == 200 for call in seen.calls if _is_new_stream(call)]
    if len(resumed) >= MIN_RESUMPTIONS and begun:
        share, begun_share = sum(resumed) / len(resumed), sum(begun) / len(begun)
        if share < MIN_RESUMED_SHARE * begun_share:
            text = f"{sum(resumed)} of {len(resumed)} streams were resumed"
            problems.append(f"{text}, {sum(begun)} of {len(begun)} new ones began")
    return problems


def _check_events(
    runs: dict[str, list[platform_runner.RanRequest]], attempts: list[platform_checker.Call]
) -> Iterator[str]:
    """Yield what is wrong with the events that a caller got over all attempts at a stream."""
    name = attempts[0].request_id
    events = [(item, event) for item in attempts for event in _list_events(item.response.body)]
    numbers = [number for _, (number, _) in events]
    if numbers != list(range(1, len(numbers) + 1)):
        shares = [
            f"{item.request_id} from {item.entry}: "
            + " ".join(str(number) for number, _ in _list_events(item.response.body))
            for item in attempts
        ]
        yield f"{name}: events not once each and in order: {'; '.join(shares)}"
    versions = list(dict.fromkeys(version for _, (_, version) in events if version))
    if len(versions) > 1:
        firsts = [
            f"{version} from event {number} in {item.request_id} of {item.entry}"
            for wanted in versions
            for item, (number, version) in [
                next(found for found in events if found[1][1] == wanted)
            ]
        ]
        yield f"{name}: events name several versions: {', '.join(firsts)}"
    for item in attempts:
        ran = {run.software_version for run in runs.get(item.request_id, [])}
        unknown = {version for _, version in _list_events(item.response.body)} - ran - {""}
        if unknown:
            yield f"{item.request_id}: events of {unknown}, but it ran at {ran or 'no version'}"


def _is_new_stream(call: platform_checker.Call) -> bool:
    return call.route == "verdict" and not call.resumes


def _list_streams(seen: platform_checker.Observations) -> Iterator[list[platform_checker.Call]]:
    """Yield the attempts of each stream that may be resumed, in order."""
    streams: dict[str, list[platform_checker.Call]] = {}
    for call in sorted(seen.calls, key=lambda item: item.sent_at):
        if call.route in ("verdict", "record"):
            streams.setdefault(call.resumes or call.request_id, []).append(call)
    yield from streams.values()


def _group_runs(
    seen: platform_checker.Observations,
) -> dict[str, list[platform_runner.RanRequest]]:
    """Runs by request, in the order of their begin."""
    runs: dict[str, list[platform_runner.RanRequest]] = {}
    for run in sorted((run for ran in seen.ran.values() for run in ran), key=lambda run: run.began):
        runs.setdefault(run.request_id, []).append(run)
    return runs


def _list_versions(
    runs: dict[str, list[platform_runner.RanRequest]], attempts: list[platform_checker.Call]
) -> Iterator[tuple[str, str]]:
    """Yield the runners, with their versions, of which the caller has events."""
    for attempt in attempts:
        received = find_last_event(attempt.response.body)
        ran = runs.get(attempt.request_id, [])
        for run, following in itertools.zip_longest(ran, ran[1:]):
            last = received if following is None else min(received, following.first_event - 1)
            if last >= max(run.first_event, attempt.last_event + 1):
                yield run.target_id, run.software_version


def _counts(
    seen: platform_checker.Observations, attempt: platform_checker.Call, version: str
) -> bool:
    """Whether a stream should be resumed: its entry and two runners of its version served."""
    at = attempt.sent_at
    if not seen.are_daemons_sound:
        return False
    ends = seen.entries_ended.get(attempt.entry, [])
    if any(at - SERVING_DELAY_SECONDS < end < attempt.ended_at for end in ends):
        return False
    serving = [
        item
        for item in seen.serving
        if item.software_version == version
        and item.began + SERVING_DELAY_SECONDS < at
        and attempt.ended_at < item.ended
    ]
    return len(serving) >= MIN_RUNNERS
