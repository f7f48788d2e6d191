"""Restricts a request that resumes a stream to the software version that began the stream."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from tillerlane.decisions import resumption
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import directory as directories
from tillerlane.gateway import refusals, routes, startup
from tillerlane.gateway.origins import queries, recorder, table
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["Resumptions"]

QUERY_TIMEOUT_SECONDS = 0.15
"""Longest wait for keepers, which answer within some milliseconds."""
QUERY_INTERVAL_SECONDS = 0.05
UNKNOWN_WAIT_SHARE = 0.2
"""Share of the response-time objective within which a late report of an entry may still arrive."""
UNANSWERED_WAIT_SHARE = 0.5
"""Share of it within which a keeper may still answer, where none has."""
UNKNOWN_RETRY_AFTER_SECONDS = 1.0
"""Retry delay where the origin is unknown: an entry that is cut off from its keepers reports what
it has started within a second of the end of the cut."""


class Resumptions:
    """Finds the software version for requests that resume streams, at one entry.

    Parameters
    ----------
    origins : recorder.OriginRecorder
        Streams that this entry knows, and the keepers to ask.
    directory : directories.Directory
        Versions of the runners.
    find_pool : callable
        Gives a pool of the configuration in force by its name, or None.
    starting : startup.Startup
        Knows whether runners may still be undiscovered.
    get_contact_age : callable
        Seconds since the keepers last confirmed what this entry holds, for the log.
    timeline : timelines.Timeline
        Log of decisions.
    """

    def __init__(
        self,
        origins: recorder.OriginRecorder,
        directory: directories.Directory,
        find_pool: Callable[[str], routes.Pool | None],
        starting: startup.Startup,
        get_contact_age: Callable[[], float],
        timeline: timelines.Timeline,
    ) -> None:
        self._origins = origins
        self._directory = directory
        self._find_pool = find_pool
        self._startup = starting
        self._get_contact_age = get_contact_age
        self._timeline = timeline
        self._loop = asyncio.get_running_loop()

    async def restrict(
        self, admission: admissions.Admission
    ) -> admissions.Admission | refusals.NotRun:
        """Restrict a request to the version that began its stream, or refuse it.

        A request that resumes nothing is returned as it is.
        """
        if not admission.is_stream or not admission.facts.last_event_id:
            return admission
        origin, answers = self._origins.table.find(self._compute_key(admission)), 0
        action = self._decide(admission, origin, is_asked=False)
        started_at = self._loop.time()
        while action is resumption.Action.ASK or (
            action is resumption.Action.UNKNOWN
            and self._may_wait(admission, started_at, is_answered=answers > 0)
        ):
            if action is resumption.Action.UNKNOWN:
                await asyncio.sleep(QUERY_INTERVAL_SECONDS)
            if origin is None:
                origin, answers = await self._ask(admission)
            action = self._decide(admission, origin, is_asked=True, answers=answers)
        self._record(admission, origin, action, answers)
        return self._conclude(admission, origin, action)

    def _may_wait(
        self, admission: admissions.Admission, started_at: float, *, is_answered: bool
    ) -> bool:
        share = UNKNOWN_WAIT_SHARE if is_answered else UNANSWERED_WAIT_SHARE
        if self._loop.time() < started_at + admission.route.objective_seconds * share:
            return True
        timeout = admission.deadline - admission.request.arrived
        return self._startup.should_wait_for_targets(admission.request.arrived, timeout)

    def _compute_key(self, admission: admissions.Admission) -> int:
        return table.compute_key(admission.workspace_name, admission.facts.resumes)

    async def _ask(self, admission: admissions.Admission) -> tuple[table.Origin | None, int]:
        """Ask all home keepers for a stream's origin, and remember it."""
        key = self._compute_key(admission)
        query = messages.OriginQuery(key)
        keepers = self._origins.list_keepers()
        origin, answers = await queries.ask(keepers, query, QUERY_TIMEOUT_SECONDS)
        if origin is not None:
            self._origins.table.add(key, origin)
        return origin, answers

    def _decide(
        self,
        admission: admissions.Admission,
        origin: table.Origin | None,
        *,
        is_asked: bool,
        answers: int = 0,
    ) -> resumption.Action:
        pool = self._choose_pool(admission, origin).name
        known = resumption.Knowledge(
            origin.software_version if origin is not None else None,
            self._origins.has_several_versions(admission.route),
            frozenset(item.software_version for item in self._directory.list_pool(pool)),
            self._directory.is_complete(self._loop.time()),
            answers > 0 or not self._origins.has_met_capable,
        )
        return resumption.decide(known, is_asked=is_asked)

    def _choose_pool(
        self, admission: admissions.Admission, origin: table.Origin | None
    ) -> routes.Pool:
        """The pool that began the stream, if the route still has it."""
        if origin is not None and origin.pool in dict(admission.route.pools):
            return self._find_pool(origin.pool) or admission.pool
        return admission.pool

    def _conclude(
        self,
        admission: admissions.Admission,
        origin: table.Origin | None,
        action: resumption.Action,
    ) -> admissions.Admission | refusals.NotRun:
        if action is resumption.Action.ANY:
            return self._restrict_to_only_version(admission)
        version = origin.software_version if origin is not None else None
        if action is resumption.Action.REQUIRE:
            pool = self._choose_pool(admission, origin)
            return dataclasses.replace(admission, pool=pool, software_version=version)
        if action is resumption.Action.NO_RUNNER:
            return refusals.build_no_version(version)
        reason = f"the version that began stream {admission.facts.resumes!r} is unknown"
        if version is not None:
            reason = f"not all runners are known yet, none of version {version!r}"
        return refusals.NotRun(reason, sent=False, retry_after=UNKNOWN_RETRY_AFTER_SECONDS)

    def _restrict_to_only_version(self, admission: admissions.Admission) -> admissions.Admission:
        """Restrict a request to the only version of its pool.

        A runner of another version may start while the request waits.
        """
        versions = self._directory.list_software_versions(admission.pool.name)
        if len(versions) != 1:
            return admission
        return dataclasses.replace(admission, software_version=next(iter(versions)))

    def _record(
        self,
        admission: admissions.Admission,
        origin: table.Origin | None,
        action: resumption.Action,
        answers: int,
    ) -> None:
        pool = self._choose_pool(admission, origin).name
        now = self._loop.time()
        self._timeline.record(
            "stream.resume",
            request_id=admission.facts.request_id,
            resumes=admission.facts.resumes,
            last_event=admission.facts.last_event_id,
            action=action.value,
            pool=pool,
            software_version=origin.software_version if origin is not None else "",
            known_versions=sorted(self._directory.list_software_versions(pool)),
            usable_versions=sorted(
                {item.software_version for item in self._directory.list_pool(pool)}
            ),
            answers=answers,
            contact_age_ms=_to_milliseconds(self._get_contact_age()),
            collected_ms=_to_milliseconds(now - self._directory.collected_since),
            waited_ms=_to_milliseconds(now - admission.request.arrived),
        )


def _to_milliseconds(seconds: float) -> int:
    """Milliseconds for a log line; -1 for a time that is not known yet."""
    return int(seconds * 1000) if math.isfinite(seconds) else -1
