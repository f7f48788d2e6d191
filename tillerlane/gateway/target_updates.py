"""What keepers tell an entry about targets, and what the entry does with it."""

import asyncio
from collections.abc import Callable

from tillerlane.gateway import announcements
from tillerlane.gateway import directory as directories
from tillerlane.gateway.backpressure import backoff as backoffs
from tillerlane.gateway.backpressure import limits, permits
from tillerlane.gateway.failures import tracker
from tillerlane.gateway.origins import recorder
from tillerlane.gateway.queue import finder
from tillerlane.gateway.speeds import reporting
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["TargetUpdates"]

MAX_LOGGED_TARGETS = 60
"""Target changes in one message that are logged one by one; keepers log each.  A line costs an
entry with little processor time 50 us, and after a common start it gets thousands of changes."""


class TargetUpdates:
    """Merges updates on targets at one entry, and discards what is held about those that are gone.

    Parameters
    ----------
    directory : directories.Directory
        Known targets.
    named_limits : limits.Limits
        Limits that they have named.
    held_permits : permits.Permits
        Permits for targets with limits.
    in_backoff : backoffs.Backoffs
        Back-off that targets have requested.
    failures : tracker.FailureTracker
        Targets that have failed requests.
    speeds : reporting.Reporter
        Speeds of runners.
    origins : recorder.OriginRecorder
        Reports streams once the runners of a pool have several versions.
    waiting : finder.TargetFinder
        Offers memory to waiting requests once targets have changed.
    timeline : timelines.Timeline
        Log of changes.

    Attributes
    ----------
    send_to_keepers : callable
        Sends a message to all home keepers.
    """

    def __init__(
        self,
        directory: directories.Directory,
        named_limits: limits.Limits,
        held_permits: permits.Permits,
        in_backoff: backoffs.Backoffs,
        failures: tracker.FailureTracker,
        speeds: reporting.Reporter,
        origins: recorder.OriginRecorder,
        waiting: finder.TargetFinder,
        timeline: timelines.Timeline,
    ) -> None:
        self._directory = directory
        self._limits = named_limits
        self._permits = held_permits
        self._backoffs = in_backoff
        self._failures = failures
        self._speed_reporter = speeds
        self._origins = origins
        self._finder = waiting
        self._timeline = timeline
        self._loop = asyncio.get_running_loop()
        self._recent_states = announcements.RecentStates()
        self.send_to_keepers: Callable[[messages.Body], None] = lambda message: None

    def merge_states(self, link: links.Link, states: messages.TargetStates) -> None:
        """Merge target states, and log what changed; of many changes only their number."""
        self._directory.record_collection(states, self._loop.time())
        for former in directories.decode_former_versions(states):
            self._directory.merge_former(former)
        if states.collected_ms:
            self._origins.handle_keeper(link)
        changed = [
            item for item in directories.decode_states(states) if self._directory.merge(item)
        ]
        if not states.whole:
            self._recent_states.record(link, changed, self._loop.time())
        if len(changed) > MAX_LOGGED_TARGETS:
            self._timeline.record("target.states", changed=len(changed), whole=states.whole)
            return
        now = self._loop.time()
        for target in changed:
            self._timeline.record(
                "target.state",
                target=target.target_id,
                pool=target.pool,
                address=target.address,
                phase=target.phase.value,
                software_version=target.software_version,
                sequence=target.sequence,
                age_ms=int((now - target.heard_at) * 1000),
                cold_ms=max(0, int((target.warm_at - now) * 1000)),
            )

    def announce_again(self, link: links.Link | None) -> None:
        """Tell the other keepers what a lost one may have told this entry only."""
        if link is None:
            return
        learned = self._recent_states.pop_learned_by(link, self._loop.time())
        targets = [item for item in map(self._directory.targets.get, learned) if item is not None]
        if targets:
            self.send_to_keepers(directories.encode_states(targets))
            self._timeline.record("target.announced", targets=len(targets))

    def merge_limits(self, records: list[limits.LimitRecord]) -> None:
        """Merge the limits that targets have named, as passed on by keepers."""
        for record in self._limits.merge(records):
            self._timeline.record(
                "target.limit",
                target=record.target_id,
                limit=record.limit,
                version=record.version,
                is_named=record.unnamed_since is None,
                age_ms=int((self._loop.time() - record.named_at) * 1000),
            )

    def handle_change(self, target: directories.Target, former: directories.Phase | None) -> None:
        """Discard what is held about a target that is gone or has restarted."""
        self._finder.notify()
        self._origins.handle_target_change(target)
        if target.phase is directories.Phase.GONE:
            self._limits.discard(target.target_id)
            self._permits.discard(target.target_id)
            self._backoffs.discard(target.target_id)
            self._failures.discard(target.target_id)
        self._speed_reporter.handle_target_change(target)
        if not target.is_superseded:
            return
        self._timeline.record(
            "target.over",
            target=target.target_id,
            address=target.address,
            phase=former.value if former else "",
            age_ms=int((self._loop.time() - target.heard_at) * 1000),
        )
