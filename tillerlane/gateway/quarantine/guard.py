"""Quarantine of requests that are sent to no target, since targets exited under them.

What an entry observes of a request must outlive the attempt: the caller repeats the same request,
or sends another one with the same part of its prompt, at any entry.  So each entry reports to its
keepers under which requests and parts targets exited, and which of those have succeeded.  Keepers
distribute that, and have the log quarantine permanently those with too many exits
(`gateway.quarantine.coordinator`).  An entry acts on all three: its own observations, the keepers'
reports, and the log.  ``docs/design/quarantine.md`` compares the alternatives.
"""

import collections
import dataclasses
from collections.abc import Callable, Collection, Iterable

from tillerlane.decisions import quarantine
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import directory as directories
from tillerlane.gateway.quarantine import suspects
from tillerlane.timeline import core as timelines

__all__ = ["Obstacle", "Quarantine"]

SUCCESS_RETENTION_SECONDS = 60.0
"""How long a success clears a request here: a frequent one that is on many targets when these lose
power must not be quarantined for it."""
MAX_SUCCESSES = 4_096
"""Maximum number of successes kept, the latest: 80 s of an entry with 50 requests a second."""
TRIAL_SECONDS = 3.0
"""Longest time that others wait for the outcome of a trial: most prompts are answered by then."""
TRIAL_RETRY_SECONDS = 1.0
"""Retry time of a request that waits for the outcome of a trial."""
HELD_RETRY_SECONDS = 60.0
"""Retry time of a request that is held back: longer than any request waits (39 s), since an earlier
retry would be refused too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """Why a request may not be sent now, and after how many seconds it might be."""

    reason: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """A trial; `former_change` is when its key had changed before."""

    request_id: str
    until: float
    former_change: float = 0.0


class Quarantine:
    """What one entry knows of requests and parts of prompts that make targets exit.

    Parameters
    ----------
    timeline : timelines.Timeline
        Logs changes.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    suspects : suspects.Suspects
        Target exits, by request and by part.
    notify_keepers : callable
        Notifies the keepers of changes seen here.
    notify_trial : callable
        Notifies the keepers that a request with these keys has been sent as a trial.
    """

    def __init__(self, timeline: timelines.Timeline, now: Callable[[], float]) -> None:
        self.suspects = suspects.Suspects()
        self.notify_keepers: Callable[[list[suspects.TargetExit]], None] = lambda exits: None
        self.notify_trial: Callable[[list[str]], None] = lambda keys: None
        self._timeline = timeline
        self._now = now
        self._held: frozenset[str] = frozenset()
        self._successes: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._changed_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        """When the latest exit under each key became known here, or its latest trial began."""
        self._trials: dict[str, _Trial] = {}
        """The latest trial of each key; it may be over."""
        self._announced_until: dict[str, float] = {}
        """Until when notices of a key's trial may be those of this entry, which keepers return."""
        self._proven: set[str] = set()
        """Ids of the requests at this entry whose runs have got past their beginning."""

    # What may be sent

    def find_reason(self, fingerprint: str) -> str:
        """Why a request is sent to no target; empty if it may be sent."""
        if fingerprint in self._held:
            return f"held back, as targets ended under it: {fingerprint}"
        exits = self.suspects.count(fingerprint)
        if quarantine.is_poison(exits):
            return f"held back, as {exits} targets ended under it: {fingerprint}"
        return ""

    def find_obstacle(self, admission: admissions.Admission) -> Obstacle | None:
        """What prevents a request from being sent now; None if it may be sent."""
        request_id = admission.facts.request_id
        for key, pause in self._compute_pauses(admission).items():
            trial = self._trials.get(key)
            reason = f"held back, as targets ended under {key}"
            if trial is not None and trial.until > self._now():
                if trial.request_id == request_id:
                    continue
                return Obstacle(f"{reason}; a trial is under way", TRIAL_RETRY_SECONDS)
            if pause is None:
                return Obstacle(reason, HELD_RETRY_SECONDS)
            left = self._changed_at.get(key, 0.0) + pause - self._now()
            if left > 0:
                return Obstacle(reason, min(HELD_RETRY_SECONDS, left))
        return None

    def _compute_pauses(self, admission: admissions.Admission) -> dict[str, float | None]:
        """Pauses before a request may be sent as a trial, by those of its keys that are suspect."""
        pauses: dict[str, float | None] = {}
        fingerprint = admission.fingerprint
        if self.find_reason(fingerprint):
            failed_trials = self._count_failed_trials(fingerprint)
            pauses[fingerprint] = quarantine.compute_pause(
                failed_trials, quarantine.REQUEST_PAUSES_SECONDS
            )
        if not admission.facts.shared_parts or admission.facts.request_id in self._proven:
            return pauses
        own_keys = {fingerprint, *_list_part_keys(admission)}
        exits = {
            key: [
                quarantine.Exit(item.target_id, item.is_trial)
                for item in self.suspects.list_counted(key)
            ]
            for key in _list_part_keys(admission)
            if self.suspects.is_repeated(key)
        }
        pauses |= quarantine.compute_part_pauses(
            exits,
            lambda target_id: self._is_explained(target_id, own_keys),
            lambda target_ids: self._has_other_request(target_ids, own_keys),
        )
        return pauses

    def _count_failed_trials(self, key: str) -> int:
        recorded = [
            trials for held, trials in map(suspects.parse_record, self._held) if held == key
        ]
        return max([self.suspects.count_failed_trials(key), *recorded])

    def _is_explained(self, target_id: str, own_keys: Collection[str]) -> bool:
        """Whether a suspect part that a request does not have fits the exit of a target."""
        return any(key not in own_keys for key in self.suspects.list_held_parts(target_id))

    def _has_other_request(self, target_ids: Collection[str], own_keys: Collection[str]) -> bool:
        """Whether one other request was at all of these targets."""
        first = next(iter(target_ids))
        candidates = {
            key
            for key in self.suspects.list_keys_at(first)
            if not suspects.is_part(key) and key not in own_keys
        }
        wanted = set(target_ids)
        return any(wanted <= set(self.suspects.list_targets(key)) for key in candidates)

    def begin_send(self, admission: admissions.Admission) -> None:
        """Record that a request is sent now: as a trial, if it has suspect keys."""
        keys = list(self._compute_pauses(admission))
        if not keys:
            return
        request_id, now = admission.facts.request_id, self._now()
        for key in keys:
            former_change = self._changed_at.get(key, 0.0)
            self._announced_until[key] = now + TRIAL_SECONDS
            self._trials[key] = _Trial(request_id, now + TRIAL_SECONDS, former_change)
            self._record_change(key)
        self._discard_old_trials()
        self._timeline.record(
            "request.trial",
            request_id=request_id,
            keys=keys,
            ended=[self.suspects.count(key) for key in keys],
        )
        self.notify_trial(keys)

    def cancel_trial(self, admission: admissions.Admission) -> None:
        """End a trial of a request that its target did not run."""
        for key, trial in self._list_trials(admission).items():
            del self._trials[key]
            self._changed_at[key] = trial.former_change

    def _list_trials(self, admission: admissions.Admission) -> dict[str, _Trial]:
        """Trials that a request is, by key."""
        request_id = admission.facts.request_id
        return {key: trial for key, trial in self._trials.items() if trial.request_id == request_id}

    def handle_trials(self, keys: Iterable[str]) -> None:
        """Wait for the outcome of another entry's trial of these keys."""
        now = self._now()
        for key in keys:
            trial = self._trials.get(key)
            is_own = now < self._announced_until.get(key, 0.0)
            if not is_own and (trial is None or trial.until <= now):
                self._trials[key] = _Trial("", now + TRIAL_SECONDS)
                self._record_change(key)
        self._discard_old_trials()

    def _discard_old_trials(self) -> None:
        now = self._now()
        self._trials = {key: trial for key, trial in self._trials.items() if trial.until > now}
        self._announced_until = {
            key: until for key, until in self._announced_until.items() if until > now
        }

    def _record_change(self, key: str) -> None:
        self._changed_at[key] = self._now()
        self._changed_at.move_to_end(key)
        if len(self._changed_at) > suspects.MAX_REQUESTS:
            self._changed_at.popitem(last=False)

    # The log

    def count_held(self) -> int:
        """Number of requests and parts that the log quarantines."""
        return len(self._held)

    def set_held(self, names: frozenset[str]) -> None:
        """Set the requests and parts that the log quarantines."""
        for name in names - self._held:
            self._timeline.record("request.quarantined", fingerprint=name, held=True)
            self._record_change(suspects.parse_record(name)[0])
        for name in self._held - names:
            self._timeline.record("request.quarantined", fingerprint=name, held=False)
        self._held = names

    def merge_evidence(self, name: str, target_ids: Collection[str]) -> None:
        """Merge the exits for which the log quarantines a request or part.

        Those that were trials come last.
        """
        key, failed_trials = suspects.parse_record(name)
        first_trial = len(target_ids) - failed_trials
        exits = [
            suspects.TargetExit(key, target_id, has_begun=True, is_trial=number >= first_trial)
            for number, target_id in enumerate(target_ids)
        ]
        self._merge(exits)

    # What is observed

    def record_exit(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        *,
        has_begun: bool = True,
    ) -> None:
        """Record that a target exited while it had a request.

        The parts of the prompt do not count once the run has got past its beginning.
        """
        request_id, fingerprint = admission.facts.request_id, admission.fingerprint
        keys = [] if request_id in self._proven else _list_part_keys(admission)
        if not self._has_succeeded(fingerprint):
            keys.append(fingerprint)
        own_trials = self._list_trials(admission)
        for key in own_trials:
            del self._trials[key]
        exits = [
            suspects.TargetExit(
                key, target.target_id, has_begun=has_begun, is_trial=key in own_trials
            )
            for key in keys
        ]
        self._announce(self._merge(exits))

    def list_evidence(self, admission: admissions.Admission) -> list[suspects.TargetExit]:
        """Exits that a run of a request which begins now and goes on would clear."""
        keys = _list_part_keys(admission)
        return [item for item in self.suspects.list_exits(keys) if not item.is_cleared]

    def record_proof(
        self, admission: admissions.Admission, evidence: list[suspects.TargetExit]
    ) -> None:
        """Record that a run has got past its beginning, which clears its `evidence`."""
        self._proven.add(admission.facts.request_id)
        for key in filter(suspects.is_part, self._list_trials(admission)):
            del self._trials[key]
        self._announce(self.suspects.clear_exits(evidence))

    def is_beginning(self, admission: admissions.Admission) -> bool:
        """Whether a generation has not got past its beginning, so that its parts are suspect."""
        has_parts = bool(admission.facts.shared_parts)
        return has_parts and admission.facts.request_id not in self._proven

    def forget_proof(self, admission: admissions.Admission) -> None:
        """Forget that a run has got past its beginning, as it is over."""
        self._proven.discard(admission.facts.request_id)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request succeeded: not every target that runs it exits."""
        self._successes[fingerprint] = self._now()
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        self._trials.pop(fingerprint, None)
        self._announce(self.suspects.clear(fingerprint))

    def handle_exits(self, exits: Iterable[suspects.TargetExit]) -> None:
        """Merge exits from a keeper, and clear those of requests that succeeded here."""
        changed = self._merge(exits)
        for key in {target_exit.key for target_exit in changed}:
            if self._has_succeeded(key):
                self._announce(self.suspects.clear(key))

    def _merge(self, exits: Iterable[suspects.TargetExit]) -> list[suspects.TargetExit]:
        changed = self.suspects.merge(exits)
        for target_exit in changed:
            if target_exit.is_cleared:
                self._trials.pop(target_exit.key, None)
            else:
                self._record_change(target_exit.key)
        return changed

    def _has_succeeded(self, fingerprint: str) -> bool:
        at = self._successes.get(fingerprint)
        return at is not None and self._now() - at < SUCCESS_RETENTION_SECONDS

    def _announce(self, exits: list[suspects.TargetExit]) -> None:
        if not exits:
            return
        for key in dict.fromkeys(target_exit.key for target_exit in exits):
            self._timeline.record(
                "request.suspected",
                fingerprint=key,
                ended=self.suspects.count(key),
                cleared=any(item.is_cleared for item in exits if item.key == key),
            )
        self.notify_keepers(exits)


def _list_part_keys(admission: admissions.Admission) -> list[str]:
    return [suspects.format_part_key(part) for part in admission.facts.shared_parts]
