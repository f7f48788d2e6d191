"""Failures of targets as one entry knows them: its own, and those that other entries reported.

A target that failed is avoided for a back-off.  After it, the target is on trial: one request at a
time goes there, and a success ends the trial at all entries.
"""

import collections
import dataclasses
from collections.abc import Callable, Collection, Iterable

from tillerlane.decisions import failing, limits
from tillerlane.gateway import directory as directories
from tillerlane.gateway.failures import reports

__all__ = ["FailureTracker"]

REJECTION_AVOIDANCE_SECONDS = 0.5
"""How long a target is avoided after it rejected a request.  With nothing under way it would appear
to be the least loaded one."""
TRIAL_SECONDS = 1.0
"""How long other requests wait for the outcome of a trial: most prompts are answered by then."""
REPEATED_FAILURE_SECONDS = 10.0
"""How long after a success a further failure doubles the former back-off.  With a failure of the
network every 20 s at each runner, each costs the shortest back-off."""
MAX_REQUESTS = 1_000
"""Bound on memory: requests whose failures are kept to detect that the fault is theirs."""


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one target; times are of the event loop.

    Attributes
    ----------
    seconds : float
        The latest back-off; 0 if it has only rejected requests.
    has_lost_request : bool
        Whether it broke off a request that it had received; otherwise it could not be reached, or
        was slow, and the next request may try it without a trial.
    own_until, others_until : float
        End of the back-off (or trial) by this entry's own failures, and by others' reports.
    failed_at : float
        When the latest failure became known here.
    ended_at : float
        When a success ended it; 0 before.
    rejected_until : float
        How long it is avoided after a rejection.
    """

    seconds: float = 0.0
    has_lost_request: bool = False
    own_until: float = 0.0
    others_until: float = 0.0
    failed_at: float = 0.0
    ended_at: float = 0.0
    rejected_until: float = 0.0

    @property
    def is_on_trial(self) -> bool:
        """Whether it has broken off a request and not served one since."""
        return self.has_lost_request and not self.ended_at

    def has_expired(self, now: float) -> bool:
        if now < self.rejected_until:
            return False
        if self.ended_at:
            return now - self.ended_at > REPEATED_FAILURE_SECONDS
        return now - max(self.own_until, self.others_until) > reports.RETENTION_SECONDS


class FailureTracker:
    """Failures of targets, by id.

    Parameters
    ----------
    entry : str
        This entry's id.
    directory : directories.Directory
        Known targets.

    Attributes
    ----------
    notify : callable
        Sends reports to the keepers.
    list_exits : callable
        Gives the ids of targets that exited under a request, by its fingerprint.
    record_event : callable
        Writes a log line, with the event's name and fields.
    """

    def __init__(self, entry: str, directory: directories.Directory) -> None:
        self._entry = entry
        self._directory = directory
        self._records: dict[str, _Record] = {}
        self._table = reports.ReportTable()
        self._failed_at: collections.OrderedDict[str, str] = collections.OrderedDict()
        """The first target that broke off each request, by fingerprint, oldest first."""
        self.notify: Callable[[list[reports.Report]], None] = lambda reported: None
        self.list_exits: Callable[[str], Collection[str]] = lambda fingerprint: ()
        self.record_event: Callable[..., None] = lambda name, **fields: None

    # What this entry sees

    def record_failure(self, target_id: str, now: float, sent_at: float | None = None) -> float:
        """Avoid a target for a while, and return until when.

        The time is doubled if the request was sent (at `sent_at`, now if not given) after the
        latest known failure: several requests that end together are one failure.
        """
        record = self._get(target_id, now)
        is_same = sent_at is not None and sent_at <= record.failed_at and not record.ended_at
        if record.seconds and is_same and now < record.failed_at + record.seconds:
            record.own_until = max(record.own_until, record.failed_at + record.seconds)
        else:
            record.seconds = failing.compute_backoff_seconds(record.seconds)
            record.failed_at = now
            record.own_until = now + record.seconds
        record.ended_at = 0.0
        return record.own_until

    def record_broken_answer(
        self, target: directories.Target, fingerprint: str, now: float, sent_at: float
    ) -> None:
        """Record that a target broke off a request, and report it unless it is not the target's.

        The end of a target that leaves is planned, and so is that of the runs in an evacuated data
        hall.
        """
        if not self._directory.accepts_requests(target):
            return
        target_id = target.target_id
        known = self._records.get(target_id)
        is_known = known is not None and known.is_on_trial and sent_at <= known.failed_at
        until = self.record_failure(target_id, now, sent_at)
        self._records[target_id].has_lost_request = True
        first = self._failed_at.setdefault(fingerprint, target_id)
        if len(self._failed_at) > MAX_REQUESTS:
            self._failed_at.popitem(last=False)
        failed = {first, *self.list_exits(fingerprint)} - {target_id}
        own_failing = self._count(target.pool, lambda record: record.own_until > now)
        targets = len(self._directory.list_pool(target.pool))
        is_reported = not is_known and failing.should_report(
            own_failing, targets, has_failed_others=bool(failed)
        )
        if is_reported:
            self._send(target_id, until, now)
        self.record_event(
            "target.failing",
            target=target_id,
            address=target.address,
            fingerprint=fingerprint,
            seconds=round(until - now, 3),
            is_reported=is_reported,
            own_failing=own_failing,
            targets=targets,
            failed_before=len(failed),
        )

    def record_rejection(self, target_id: str, now: float) -> None:
        """Avoid a target for a short while; this does not count as a failure."""
        record = self._get(target_id, now)
        record.rejected_until = max(record.rejected_until, now + REJECTION_AVOIDANCE_SECONDS)

    def record_send(self, target_id: str, now: float) -> None:
        """Record a request that is sent to a target now: a trial, if it has failed before."""
        record = self._records.get(target_id)
        if record is None or not record.is_on_trial:
            return
        if max(record.own_until, record.others_until) > now:
            return
        record.own_until = now + TRIAL_SECONDS
        if record.others_until:
            self._send(target_id, record.own_until, now)
        self.record_event(
            "target.trial",
            target=target_id,
            is_reported=bool(record.others_until),
            after_ms=int((now - record.failed_at) * 1000),
        )

    def record_success(self, target_id: str, now: float, sent_at: float) -> None:
        """End a target's back-off, if the request was sent after the failure."""
        record = self._records.get(target_id)
        if record is None:
            return
        record.rejected_until = 0.0
        if not record.has_lost_request:
            del self._records[target_id]
        if not record.is_on_trial or sent_at < record.failed_at:
            return
        if record.others_until:
            self._send(target_id, 0.0, now)
        self._end(target_id, record, now)

    def _send(self, target_id: str, until: float, now: float) -> None:
        """Report to the keepers.

        The report counts here as others' too, and changes nothing when it comes back.
        """
        self.notify([(target_id, until)])
        self._table.merge((target_id, until), now)
        if until:
            record = self._records[target_id]
            record.others_until = max(record.others_until, until)

    # What other entries report

    def merge_reports(self, received: Iterable[reports.Report], now: float) -> None:
        """Merge reports from keepers."""
        self._table.expire(now)
        for target_id, until in received:
            if not self._table.merge((target_id, until), now):
                continue
            record = self._records.get(target_id)
            if not until:
                if record is not None and record.is_on_trial:
                    self._end(target_id, record, now)
                continue
            if record is None and len(self._records) >= reports.MAX_TARGETS:
                continue
            record = self._get(target_id, now)
            is_trial = record.is_on_trial and until - now <= TRIAL_SECONDS
            record.others_until = until
            if is_trial:
                continue
            record.seconds = max(record.seconds, until - now)
            record.failed_at, record.ended_at, record.has_lost_request = now, 0.0, True
            self.record_event(
                "target.failing",
                target=target_id,
                seconds=round(until - now, 3),
                is_reported=True,
                is_own=False,
            )

    def _end(self, target_id: str, record: _Record, now: float) -> None:
        record.own_until = record.others_until = 0.0
        record.ended_at = now
        self.record_event(
            "target.serving", target=target_id, after_ms=int((now - record.failed_at) * 1000)
        )

    # What the choice of a target asks

    def find_standings(
        self, pool: str, targets: int, now: float, *, is_repeatable: bool
    ) -> dict[str, failing.Standing]:
        """How the targets of a pool rank for a request; those that are left out are clear.

        `targets` is the number of its targets that accept requests.  Takes time only while targets
        fail.
        """
        if not self._records:
            return {}
        reported = self._count(pool, lambda record: record.others_until > 0 and record.is_on_trial)
        counts_reports = not failing.is_pool_wide(reported, targets)
        standings = {}
        for target_id, record in self._records.items():
            if now < record.rejected_until:
                standings[target_id] = failing.Standing.AVOIDED
                continue
            until = max(record.own_until, record.others_until if counts_reports else 0.0)
            if now < until and not record.is_on_trial:
                standings[target_id] = failing.Standing.AVOIDED
            if not record.is_on_trial or not until:
                continue
            fraction = limits.compute_hash_fraction(self._entry, target_id)
            standing = failing.find_standing(
                now, until, record.seconds, fraction, is_repeatable=is_repeatable
            )
            if standing is not failing.Standing.CLEAR:
                standings[target_id] = standing
        return standings

    def is_avoided(self, target_id: str, now: float) -> bool:
        """Whether a target is in back-off, or has just rejected a request."""
        record = self._records.get(target_id)
        if record is None:
            return False
        return now < max(record.own_until, record.others_until, record.rejected_until)

    def count_failing(self) -> int:
        """Number of targets that have broken off a request and not served one since."""
        return sum(record.is_on_trial for record in self._records.values())

    def discard(self, target_id: str) -> None:
        """Discard what is known of a target that is gone."""
        self._records.pop(target_id, None)

    def _get(self, target_id: str, now: float) -> _Record:
        """The record of a target, which is created if needed; drops what has expired."""
        for other, record in list(self._records.items()):
            if record.has_expired(now):
                del self._records[other]
        return self._records.setdefault(target_id, _Record())

    def _count(self, pool: str, is_counted: Callable[[_Record], bool]) -> int:
        """Number of targets of a pool that accept requests and whose record is counted."""
        known = self._directory.targets
        found = [known.get(item) for item, record in self._records.items() if is_counted(record)]
        return sum(
            item is not None and item.pool == pool and self._directory.accepts_requests(item)
            for item in found
        )
