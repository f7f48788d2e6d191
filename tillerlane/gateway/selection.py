"""Which target of a pool a request goes to."""

import dataclasses
import random
from collections.abc import Callable, Collection, Iterator

from tillerlane.decisions import placing
from tillerlane.gateway import availability, loads, permits, routes
from tillerlane.gateway import directory as directories
from tillerlane.gateway import usage as usages

__all__ = ["FailureTracker", "Selector"]

MIN_AVOIDANCE_SECONDS = 1.0
"""How long a target that could not be reached is avoided: a heartbeat's interval, by which time
its keepers know more."""
MAX_AVOIDANCE_SECONDS = 5.0
REJECTION_AVOIDANCE_SECONDS = 0.5
"""How long a target is avoided that turned a request away.  With nothing under way it would seem
the least loaded one."""
FAILURE_RETENTION_SECONDS = 30.0
"""How long a failure counts for the next one, and bounds what is kept of targets long gone."""
CROSS_HALL_COST_SECONDS = 0.02
"""Seconds of waiting that staying within the data hall is worth: breaks ties only."""
CROSS_HALL_COPY_FACTOR = 2.0
"""A copy between data halls takes twice the time of the link (the platform's page)."""
CROSS_HALL_MOVE_COST_SECONDS = 0.15
"""Seconds of waiting that a copy within the data hall is worth, for each runner there: it takes
half the time of the link, of which a leaving runner's runs need all; but where few can take them,
all entries choose the same ones before they hear of each other."""
MAX_CROSS_HALL_MOVE_COST_SECONDS = 0.6
"""Bound on that, in seconds of a caller's waiting as `placing.estimate_cost` counts: a run of 3,500
tokens takes 0.19 s of a link of 19 Gbit/s within the hall and 0.39 s between halls, so that of the
runs of one runner seven in place of three are copied in the shortest notice met, 1.5 s.  Pairs of
whole days with 0.15, 0.6 and 2.0 stand in ``docs/design/decisions.md``."""
FULL_MEMORY_SHARE = 0.9
"""Share of its memory above which a runner counts as full: what runs there still grows."""
COLD_COST_SECONDS = 0.5
"""Seconds of waiting that a target still slow from its start counts as."""
POOL_SPEED_INTERVAL_SECONDS = 1.0
"""How long a pool's pace is used before it is read again; it is smoothed over 20 s."""
BEST_RANK = (False, False, False, False)
"""Neither silent nor avoided nor held up nor full."""


@dataclasses.dataclass(slots=True)
class _Failures:
    count: int
    avoid_until: float


class FailureTracker:
    """Targets that lately failed this entry, by id."""

    def __init__(self) -> None:
        self._failures: dict[str, _Failures] = {}

    def record_failure(self, target_id: str, now: float) -> None:
        """Avoid a target for a while, longer with each failure in a row."""
        for other, failures in list(self._failures.items()):
            if now - failures.avoid_until > FAILURE_RETENTION_SECONDS:
                del self._failures[other]
        known = self._failures.setdefault(target_id, _Failures(0, now))
        known.count += 1
        seconds = min(MAX_AVOIDANCE_SECONDS, MIN_AVOIDANCE_SECONDS * 2 ** (known.count - 1))
        known.avoid_until = now + seconds

    def record_rejection(self, target_id: str, now: float) -> None:
        """Avoid a target for a short while; this does not count as a failure."""
        known = self._failures.setdefault(target_id, _Failures(0, now))
        known.avoid_until = max(known.avoid_until, now + REJECTION_AVOIDANCE_SECONDS)

    def record_success(self, target_id: str) -> None:
        """Forget a target's failures."""
        self._failures.pop(target_id, None)

    def is_avoided(self, target_id: str, now: float) -> bool:
        """Whether other targets come first."""
        known = self._failures.get(target_id)
        return known is not None and now < known.avoid_until


class Selector:
    """Chooses targets.

    Parameters
    ----------
    directory : directories.Directory
        Targets known.
    usage : usages.Usage
        What is under way at each.
    available : availability.Availability
        Tells what keeps requests from a target.
    data_hall : str
        This entry's data hall.
    rng : random.Random
        Draws the targets that are looked at.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        directory: directories.Directory,
        usage: usages.Usage,
        available: availability.Availability,
        data_hall: str,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self.failures = FailureTracker()
        self._directory = directory
        self._usage = usage
        self._available = available
        self._data_hall = data_hall
        self._rng = rng
        self._now = now
        self._paces: dict[str, tuple[float, float]] = {}
        """Pace of each pool, and when it was read."""

    def pick_pool(self, route: routes.Route) -> str:
        """A pool of the route, by weight."""
        names = [name for name, _ in route.pools]
        if len(names) == 1:
            return names[0]
        return self._rng.choices(names, [weight for _, weight in route.pools])[0]

    def choose(
        self,
        pool: routes.Pool,
        work: placing.Work,
        excluded: Collection[str],
        source_hall: str | None = None,
        *,
        is_sent_now: bool = True,
        can_request_permit: bool = False,
    ) -> directories.Target | None:
        """The target at which work costs least, of some that are not `excluded` (ids).

        None without any.  Silent, avoided, held up and full targets come last, in that order; those
        that are held up (in back-off, or with a limit that leaves nothing to this entry) are left
        out of what `is_sent_now`.  A limit counts for nothing in this where the request
        `can_request_permit` for a permit before it is sent, and is likely to get one.

        With `source_hall` it is a run whose memory has to be copied, which takes longer between
        halls.
        """
        now = self._now()
        listed = self._directory.list_pool(pool.name)
        unheard = self._usage.estimate_unreported(pool.name, now)
        if source_hall is None:
            groups = [listed]
        else:
            unheard += self._count_moving(pool, source_hall)
            near = [target for target in listed if target.data_hall == source_hall]
            groups = [near, [target for target in listed if target.data_hall != source_hall]]
        found = self._draw_best(
            pool, work, groups, excluded, unheard, is_sent_now, can_request_permit
        )
        if not found:
            return None
        pace = self._read_pace(pool, listed, now)
        costs = [self._read_cost(pool, target, use, work, pace, now) for target, use in found]
        if source_hall is not None:
            far_cost = min(
                MAX_CROSS_HALL_MOVE_COST_SECONDS, CROSS_HALL_MOVE_COST_SECONDS * len(groups[0])
            )
            is_far = [target.data_hall != source_hall for target, _ in found]
            costs = [cost + far_cost * far for cost, far in zip(costs, is_far, strict=True)]
        return found[costs.index(min(costs))][0]

    def _count_moving(self, pool: routes.Pool, hall: str) -> int:
        """Runs at a data hall's runners that leave; other entries choose where they go just now.

        All of them see the same runner as the emptiest, often one that has just started.  On a day
        with many runners leaving three to four runs went to one such within a second, it ran out of
        memory, and runs there paused for 4 s (log lines `run.move` and `stream.end`).
        """
        return sum(
            self._usage.get(target.address).requests
            for target in self._directory.targets.values()
            if target.pool == pool.name and target.data_hall == hall and target.is_leaving
        )

    def _draw_best(
        self,
        pool: routes.Pool,
        work: placing.Work,
        groups: list[list[directories.Target]],
        excluded: Collection[str],
        unheard: float,
        is_sent_now: bool,
        can_request_permit: bool,
    ) -> list[tuple[directories.Target, loads.TargetLoad]]:
        """Draw some targets of each group, with what is under way at each; the best rank only."""
        now = self._now()
        found: list[tuple[directories.Target, loads.TargetLoad]] = []
        best = (True, True, True, True)
        wishes = permits.MAX_PERMIT_REQUESTS if is_sent_now else 0
        for group in groups:
            wished = placing.count_candidates(len(group), unheard)
            drawn = 0
            for target in _draw_in_turn(group, self._rng):
                if drawn >= wished and best == BEST_RANK:
                    break
                if target.target_id in excluded:
                    continue
                obstacle = self._available.find_obstacle(pool, target)
                if obstacle is not None and obstacle.is_hard:
                    continue
                if obstacle is not None and obstacle.cause is availability.Cause.LIMITED:
                    if can_request_permit and self._available.is_permit_likely(target):
                        obstacle = None
                    elif wishes > 0:
                        self._available.queue_permit_request(target)
                        wishes -= 1
                if obstacle is not None and is_sent_now:
                    continue
                use = self._usage.get(target.address)
                rank = (
                    target.phase is directories.Phase.SILENT,
                    self._is_avoided(target, now),
                    obstacle is not None,
                    not _has_room(pool, use, work.memory_tokens, FULL_MEMORY_SHARE),
                )
                if rank > best:
                    continue
                if rank < best:
                    best, found, drawn = rank, [], 0
                found.append((target, use))
                drawn += 1
        return found

    def _is_avoided(self, target: directories.Target, now: float) -> bool:
        """Whether a target has failed this entry lately, or turns others away."""
        if self.failures.is_avoided(target.target_id, now):
            return True
        return self._available.is_rejecting_others(target)

    def _read_pace(self, pool: routes.Pool, listed: list[directories.Target], now: float) -> float:
        """Seconds an event over all runners of a pool, looked up now and then."""
        known = self._paces.get(pool.name)
        if known is not None and now - known[1] < POOL_SPEED_INTERVAL_SECONDS:
            return known[0]
        uses = [self._usage.get(target.address) for target in listed]
        pace = placing.compute_pool_event_seconds((use.events, use.event_ms) for use in uses)
        self._paces[pool.name] = (pace, now)
        return pace

    def _read_cost(
        self,
        pool: routes.Pool,
        target: directories.Target,
        use: loads.TargetLoad,
        work: placing.Work,
        pace: float,
        now: float,
    ) -> float:
        if pool.engine is None:
            cost = use.requests / max(1, target.slots)
        else:
            standing = placing.CandidateLoad(
                use.requests,
                target.slots,
                use.tokens,
                pool.engine.memory_tokens,
                use.unread,
                placing.estimate_event_seconds(use.events, use.event_ms, pace),
            )
            cost = placing.estimate_cost(work, standing, pace)
        if target.data_hall != self._data_hall:
            cost += CROSS_HALL_COST_SECONDS
        if target.warm_at > now:
            cost += COLD_COST_SECONDS
        return cost

    def estimate_evacuation_seconds(self, pool: routes.Pool, target: directories.Target) -> float:
        """Seconds that a runner's link needs to copy all runs that have no copy yet."""
        use = self._usage.get(target.address)
        return self.estimate_copy_seconds(pool, use.unsaved)

    def estimate_copy_seconds(self, pool: routes.Pool, tokens: int) -> float:
        """Seconds that a runner's link needs to copy so many tokens to another data hall."""
        engine = pool.engine
        if engine is None or engine.link_mbps <= 0:
            return 0.0
        bits = tokens * engine.token_bytes * 8
        return bits / (engine.link_mbps * 1e6) * CROSS_HALL_COPY_FACTOR

    def compute_own_share(self, target: directories.Target) -> float:
        """This entry's share of the runs at a target that have no copy elsewhere."""
        use = self._usage.get(target.address)
        own = self._usage.get_own(target.address)
        return min(1.0, own.unsaved / use.unsaved) if use.unsaved > 0 else 1.0

    def has_room(
        self, pool: routes.Pool, target: directories.Target, tokens: int, share: float
    ) -> bool:
        """Whether so many tokens more leave a target's memory below a share of it."""
        return _has_room(pool, self._usage.get(target.address), tokens, share)


def _draw_in_turn(
    targets: list[directories.Target], rng: random.Random
) -> Iterator[directories.Target]:
    """Draw targets one after another until all are drawn; `targets` is put into that order."""
    for position in range(len(targets)):
        drawn = rng.randrange(position, len(targets))
        targets[position], targets[drawn] = targets[drawn], targets[position]
        yield targets[position]


def _has_room(pool: routes.Pool, use: loads.TargetLoad, tokens: int, share: float) -> bool:
    return pool.engine is None or use.tokens + tokens <= pool.engine.memory_tokens * share
