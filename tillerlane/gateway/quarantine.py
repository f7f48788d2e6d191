"""Requests that an entry sends to no target, since targets ended under them.

What an entry sees of a request must outlive the attempt: the caller comes again with the same
request, at any entry.  So each entry tells its keepers under which requests targets ended, and
which of those have ended well; keepers spread that and have the log hold back, for good, what has
ended too many (`gateway.quarantine_coordinator`).  An entry goes by all three: what it saw, what it
was told, what the log holds.  The ways weighed are in ``docs/design/quarantine.md``.
"""

import collections
from collections.abc import Callable, Iterable

from tillerlane.decisions import quarantine
from tillerlane.gateway import directory as directories
from tillerlane.gateway import suspects
from tillerlane.timeline import core as timelines

__all__ = ["Quarantine"]

SUCCESS_RETENTION_SECONDS = 60.0
"""How long a request that ended well here is vouched for: an often repeated one that is on many
targets when these lose power must not be held back for it."""
MAX_SUCCESSES = 4_096
"""Requests vouched for at most, the latest: 80 s of a thin entry with 50 a second."""


class Quarantine:
    """What one entry knows of requests that end targets.

    Parameters
    ----------
    timeline : timelines.Timeline
        Takes what is learned.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    suspects : suspects.Suspects
        Targets that ended, by request.
    notify_keepers : callable
        Tells the keepers of what is new here.
    """

    def __init__(self, timeline: timelines.Timeline, now: Callable[[], float]) -> None:
        self.suspects = suspects.Suspects()
        self.notify_keepers: Callable[[list[suspects.TargetExit]], None] = lambda ends: None
        self._timeline = timeline
        self._now = now
        self._held: frozenset[str] = frozenset()
        self._good: collections.OrderedDict[str, float] = collections.OrderedDict()

    def find_reason(self, fingerprint: str) -> str:
        """Why a request goes to no target; empty if it may go."""
        if fingerprint in self._held:
            return f"held back, as targets ended under it: {fingerprint}"
        ended = self.suspects.count(fingerprint)
        if quarantine.is_poison(ended):
            return f"held back, as {ended} targets ended under it: {fingerprint}"
        return ""

    def count_held(self) -> int:
        """Requests that the log holds back."""
        return len(self._held)

    def set_held(self, fingerprints: frozenset[str]) -> None:
        """Take the requests that the log holds back."""
        for fingerprint in fingerprints - self._held:
            self._timeline.record("request.quarantined", fingerprint=fingerprint, held=True)
        for fingerprint in self._held - fingerprints:
            self._timeline.record("request.quarantined", fingerprint=fingerprint, held=False)
        self._held = fingerprints

    def record_exit(self, fingerprint: str, target: directories.Target) -> None:
        """Take note that a target ended while it had a request."""
        if self._is_good(fingerprint):
            return
        self._tell_new(self.suspects.merge([suspects.TargetExit(fingerprint, target.target_id)]))

    def record_success(self, fingerprint: str) -> None:
        """Take note that a request ended well: it does not end each target that runs it."""
        self._good[fingerprint] = self._now()
        self._good.move_to_end(fingerprint)
        if len(self._good) > MAX_SUCCESSES:
            self._good.popitem(last=False)
        self._tell_new(self.suspects.clear(fingerprint))

    def handle_exits(self, ends: Iterable[suspects.TargetExit]) -> None:
        """Take what a keeper tells, and vouch for what ended well here."""
        new = self.suspects.merge(ends)
        for fingerprint in {end.fingerprint for end in new}:
            if self._is_good(fingerprint):
                self._tell_new(self.suspects.clear(fingerprint))

    def _is_good(self, fingerprint: str) -> bool:
        at = self._good.get(fingerprint)
        return at is not None and self._now() - at < SUCCESS_RETENTION_SECONDS

    def _tell_new(self, ends: list[suspects.TargetExit]) -> None:
        if not ends:
            return
        fingerprint = ends[0].fingerprint
        self._timeline.record(
            "request.suspected",
            fingerprint=fingerprint,
            ended=self.suspects.count(fingerprint),
            cleared=ends[0].is_cleared,
        )
        self.notify_keepers(ends)
