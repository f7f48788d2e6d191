"""Quarantine of requests that are sent to no target, since targets exited under them.

What an entry observes of a request must outlive the attempt: the caller repeats the same request,
at any entry.  So each entry reports to its keepers under which requests targets exited, and which
of those have succeeded.  Keepers distribute that, and have the log quarantine permanently the
requests with too many exits (`coordinator`).  An entry acts on all three: its
own observations, the keepers' reports, and the log.  ``docs/design/quarantine.md`` compares the
alternatives.
"""

import collections
from collections.abc import Callable, Iterable

from tillerlane.decisions import quarantine
from tillerlane.gateway import directory as directories
from tillerlane.gateway.quarantine import suspects
from tillerlane.timeline import core as timelines

__all__ = ["Quarantine"]

SUCCESS_RETENTION_SECONDS = 60.0
"""How long a success clears a request here: a frequent one that is on many targets when these lose
power must not be quarantined for it."""
MAX_SUCCESSES = 4_096
"""Maximum number of successes kept, the latest: 80 s of an entry with 50 requests a second."""


class Quarantine:
    """What one entry knows of requests that make targets exit.

    Parameters
    ----------
    timeline : timelines.Timeline
        Logs changes.
    now : callable
        Time of the event loop.

    Attributes
    ----------
    suspects : suspects.Suspects
        Target exits, by request.
    notify_keepers : callable
        Notifies the keepers of changes seen here.
    """

    def __init__(self, timeline: timelines.Timeline, now: Callable[[], float]) -> None:
        self.suspects = suspects.Suspects()
        self.notify_keepers: Callable[[list[suspects.TargetExit]], None] = lambda exits: None
        self._timeline = timeline
        self._now = now
        self._held: frozenset[str] = frozenset()
        self._successes: collections.OrderedDict[str, float] = collections.OrderedDict()

    def find_reason(self, fingerprint: str) -> str:
        """Why a request is sent to no target; empty if it may be sent."""
        if fingerprint in self._held:
            return f"held back, as targets ended under it: {fingerprint}"
        exits = self.suspects.count(fingerprint)
        if quarantine.is_poison(exits):
            return f"held back, as {exits} targets ended under it: {fingerprint}"
        return ""

    def count_held(self) -> int:
        """Number of requests that the log quarantines."""
        return len(self._held)

    def set_held(self, fingerprints: frozenset[str]) -> None:
        """Set the requests that the log quarantines."""
        for fingerprint in fingerprints - self._held:
            self._timeline.record("request.quarantined", fingerprint=fingerprint, held=True)
        for fingerprint in self._held - fingerprints:
            self._timeline.record("request.quarantined", fingerprint=fingerprint, held=False)
        self._held = fingerprints

    def record_exit(self, fingerprint: str, target: directories.Target) -> None:
        """Record that a target exited while it had a request."""
        if self._has_succeeded(fingerprint):
            return
        self._announce(self.suspects.merge([suspects.TargetExit(fingerprint, target.target_id)]))

    def record_success(self, fingerprint: str) -> None:
        """Record that a request succeeded: not every target that runs it exits."""
        self._successes[fingerprint] = self._now()
        self._successes.move_to_end(fingerprint)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        self._announce(self.suspects.clear(fingerprint))

    def handle_exits(self, exits: Iterable[suspects.TargetExit]) -> None:
        """Merge exits from a keeper, and clear those of requests that succeeded here."""
        changed = self.suspects.merge(exits)
        for fingerprint in {target_exit.fingerprint for target_exit in changed}:
            if self._has_succeeded(fingerprint):
                self._announce(self.suspects.clear(fingerprint))

    def _has_succeeded(self, fingerprint: str) -> bool:
        at = self._successes.get(fingerprint)
        return at is not None and self._now() - at < SUCCESS_RETENTION_SECONDS

    def _announce(self, exits: list[suspects.TargetExit]) -> None:
        if not exits:
            return
        fingerprint = exits[0].fingerprint
        self._timeline.record(
            "request.suspected",
            fingerprint=fingerprint,
            ended=self.suspects.count(fingerprint),
            cleared=exits[0].is_cleared,
        )
        self.notify_keepers(exits)
