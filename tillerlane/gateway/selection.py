"""Choice of a pool's target for a request."""

import random
from collections.abc import Callable, Collection, Iterator

from tillerlane.decisions import failing, placing
from tillerlane.gateway import availability, routes
from tillerlane.gateway import directory as directories
from tillerlane.gateway import usage as usages
from tillerlane.gateway.backpressure import permits
from tillerlane.gateway.failures import tracker
from tillerlane.gateway.load import aggregation as loads
from tillerlane.gateway.speeds import estimates

__all__ = ["Selector"]

CROSS_HALL_COST_SECONDS = 0.02
"""Cost of a target in another data hall, in seconds of waiting: breaks ties only."""
CROSS_HALL_COPY_FACTOR = 2.0
"""A copy between data halls takes twice the time of the link, as the platform specifies."""
CROSS_HALL_MOVE_COST_SECONDS = 0.15
"""Cost of a copy to another data hall, in seconds of waiting, for each runner in the source's hall.
A copy within the hall takes half the time of the link, which the runs of a leaving runner use
fully.  But where few runners there can accept them, all entries choose the same ones before they
receive each other's reports."""
MAX_CROSS_HALL_MOVE_COST_SECONDS = 0.6
"""Bound on that cost, in seconds of a caller's waiting as in `placing.estimate_cost`.  A run of
3,500 tokens takes 0.19 s of a link of 19 Gbit/s within the hall and 0.39 s between halls, so that
seven instead of three runs of a runner are copied within the shortest notice met, 1.5 s.
``docs/design/decisions.md`` compares 0.15, 0.6 and 2.0 over whole days."""
FULL_MEMORY_SHARE = 0.9
"""Share of its memory above which a runner counts as full: the runs there still grow."""
COLD_COST_SECONDS = 0.5
"""Cost of a target that is still cold, in seconds of waiting."""
REJECTION_COST_SECONDS = 10.0
"""Cost of a target that has just rejected a reservation, above any difference between targets:
another one may be sent to although it ranks as full."""
POOL_LOAD_INTERVAL_SECONDS = 0.5
"""How long a pool's load is cached: a tenth of the time for which a long run holds its memory.  The
sum takes 24 us for 25 targets and 840 us for 1,000."""
BEST_RANK = (False, False, False, False, False)
"""Neither silent nor avoided nor blocked nor full, nor a last resort after a failure."""


class Selector:
    """Chooses targets.

    Parameters
    ----------
    directory : directories.Directory
        Known targets.
    usage : usages.Usage
        Their load.
    available : availability.Availability
        Gives the obstacles to sending to a target.
    data_hall : str
        This entry's data hall.
    rng : random.Random
        Samples the candidates.
    now : callable
        Time of the event loop.
    failures : tracker.FailureTracker, optional
        Which targets have failed requests.
    """

    def __init__(
        self,
        directory: directories.Directory,
        usage: usages.Usage,
        available: availability.Availability,
        data_hall: str,
        rng: random.Random,
        now: Callable[[], float],
        failures: tracker.FailureTracker | None = None,
    ) -> None:
        self.failures = failures or tracker.FailureTracker("", directory)
        self._directory = directory
        self._usage = usage
        self._available = available
        self._data_hall = data_hall
        self._rng = rng
        self._now = now
        self.is_full: Callable[[directories.Target, int], bool] = lambda target, tokens: False
        """Whether a target has just refused to reserve some tokens (`gateway.reservations`)."""
        self.can_retry: Callable[[str, float], bool] = lambda pool, now: True
        """Whether the retry budget of a pool allows a retry: a request that may be repeated, but
        not now, is lost at a target that fails it again."""
        self._pool_loads: dict[str, tuple[int, int, float]] = {}
        """Memory in use and in total of each pool, and when the sums were computed."""
        self.speeds = estimates.RunnerSpeeds(usage, now)

    def pick_pool(self, route: routes.Route) -> str:
        """Pick a pool of the route at random, by weight."""
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
        full_share: float = FULL_MEMORY_SHARE,
        software_version: str | None = None,
    ) -> directories.Target | None:
        """The target with the lowest cost for some work, of a sample that are not `excluded` (ids).

        None without any.  Silent, avoided, blocked and full targets rank last, in that order, and
        just before them those that are to be tried again after a failure.
        Blocked ones (in back-off, or with a limit that leaves nothing to this entry) are left out
        if the work `is_sent_now`.  A limit doesn't block where the request `can_request_permit`
        before it is sent, and will probably get one.

        A target whose memory would be used above `full_share` is full.

        With `source_hall` the work is a run whose memory has to be copied, which takes longer
        between halls.

        With `software_version` only targets of that version are chosen from: it resumes a stream
        that another version could not continue.
        """
        now = self._now()
        targets = self._directory.list_pool(pool.name)
        unreported = self._usage.estimate_unreported(pool.name, now)
        eligible = targets
        if software_version is not None:
            eligible = [target for target in targets if target.has_version(software_version)]
        if source_hall is None:
            groups = [eligible]
        else:
            unreported += self._count_leaving_runs(pool, source_hall)
            same_hall = [target for target in eligible if target.data_hall == source_hall]
            groups = [same_hall, [target for target in eligible if target.data_hall != source_hall]]
        found = self._sample_best(
            pool,
            work,
            groups,
            excluded,
            unreported,
            is_sent_now,
            can_request_permit,
            full_share,
        )
        if not found:
            return None
        estimated = self.speeds.get_pool(pool.name, lambda: [item.address for item in targets])
        hidden = 0
        if estimated.differs:
            candidates = placing.count_candidates(len(targets), unreported)
            hidden = placing.estimate_hidden_tokens(
                work.prompt_tokens, candidates, len(targets), unreported
            )
        costs = [
            self._estimate_cost(pool, target, load, work, estimated, hidden, now)
            for target, load in found
        ]
        slow = self.speeds.slowdowns.find_slow(targets)
        if slow:
            costs = [
                cost + placing.SLOWDOWN_COST_SECONDS * (target.target_id in slow)
                for cost, (target, _) in zip(costs, found, strict=True)
            ]
        if source_hall is not None:
            cross_hall_cost = min(
                MAX_CROSS_HALL_MOVE_COST_SECONDS, CROSS_HALL_MOVE_COST_SECONDS * len(groups[0])
            )
            is_cross_hall = [target.data_hall != source_hall for target, _ in found]
            costs = [
                cost + cross_hall_cost * is_other
                for cost, is_other in zip(costs, is_cross_hall, strict=True)
            ]
        return found[costs.index(min(costs))][0]

    def _count_leaving_runs(self, pool: routes.Pool, hall: str) -> int:
        """Runs at a data hall's leaving runners, whose destinations other entries choose meanwhile.

        All entries see the same runner as the least loaded one, often one that has just started.
        On a day with many leaving runners three to four runs went to such a runner within a second,
        it ran out of memory, and runs there paused for 4 s (log lines `run.move` and `stream.end`).
        """
        return sum(
            self._usage.get(target.address).requests
            for target in self._directory.targets.values()
            if target.pool == pool.name and target.data_hall == hall and target.is_leaving
        )

    def _sample_best(
        self,
        pool: routes.Pool,
        work: placing.Work,
        groups: list[list[directories.Target]],
        excluded: Collection[str],
        unreported: float,
        is_sent_now: bool,
        can_request_permit: bool,
        full_share: float,
    ) -> list[tuple[directories.Target, loads.TargetLoad]]:
        """Sample targets of each group, with their load; only those of the best rank."""
        now = self._now()
        found: list[tuple[directories.Target, loads.TargetLoad]] = []
        best = (True, True, True, True, True)
        standings = self.failures.find_standings(
            pool.name,
            sum(map(len, groups)),
            now,
            is_repeatable=work.is_repeatable and not excluded and self.can_retry(pool.name, now),
        )
        permit_requests = permits.MAX_PERMIT_REQUESTS if is_sent_now else 0
        for group in groups:
            sample_size = placing.count_candidates(len(group), unreported)
            sampled = 0
            for target in _sample_in_turn(group, self._rng):
                if sampled >= sample_size and best == BEST_RANK:
                    break
                if target.target_id in excluded:
                    continue
                obstacle = self._available.find_obstacle(pool, target)
                if obstacle is not None and obstacle.is_hard:
                    continue
                if obstacle is not None and obstacle.cause is availability.Cause.LIMITED:
                    if can_request_permit and self._available.is_permit_likely(target):
                        obstacle = None
                    elif permit_requests > 0:
                        self._available.queue_permit_request(target)
                        permit_requests -= 1
                if obstacle is not None and is_sent_now:
                    continue
                load = self._usage.get(target.address)
                standing = standings.get(target.target_id, failing.Standing.CLEAR)
                rank = (
                    target.phase is directories.Phase.SILENT,
                    standing is failing.Standing.AVOIDED
                    or self._available.is_rejecting_others(target),
                    obstacle is not None,
                    not _has_room(pool, load, work.memory_tokens, full_share)
                    or self.is_full(target, work.memory_tokens),
                    standing is failing.Standing.LAST_RESORT,
                )
                if rank > best:
                    continue
                if rank < best:
                    best, found, sampled = rank, [], 0
                found.append((target, load))
                sampled += 1
        return found

    def compute_pool_load(self, pool: routes.Pool) -> tuple[int, int]:
        """Memory in use and in total at a pool's targets that accept requests, cached a while."""
        now = self._now()
        known = self._pool_loads.get(pool.name)
        if known is None or now - known[2] >= POOL_LOAD_INTERVAL_SECONDS:
            targets = self._directory.list_pool(pool.name)
            tokens = sum(self._usage.get(target.address).tokens for target in targets)
            memory_tokens = pool.engine.memory_tokens if pool.engine is not None else 0
            known = (tokens, memory_tokens * len(targets), now)
            self._pool_loads[pool.name] = known
        return known[0], known[1]

    def estimate_written_tokens(self, pool: routes.Pool, seconds: float) -> float:
        """Tokens that a run writes in some seconds at the mean speed of a pool's runners."""
        event_tokens = pool.engine.event_tokens if pool.engine is not None else 1
        estimated = self.speeds.get_pool(
            pool.name, lambda: [item.address for item in self._directory.list_pool(pool.name)]
        )
        return seconds * event_tokens / estimated.event_seconds

    def _estimate_cost(
        self,
        pool: routes.Pool,
        target: directories.Target,
        load: loads.TargetLoad,
        work: placing.Work,
        estimated: estimates.PoolEstimates,
        hidden: int,
        now: float,
    ) -> float:
        if pool.engine is None:
            cost = load.requests / max(1, target.slots)
        else:
            event_seconds, read_seconds, risk = estimated.event_seconds, 0.0, 0.0
            if estimated.differs:
                slowness = estimated.estimate(target.address, load)
                event_seconds *= slowness.decode.factor
                read_seconds = slowness.prefill.factor / placing.PREFILL_TOKENS_PER_SECOND
                risk = estimated.estimate_pause_risk(target.address, load, work)
            candidate = placing.CandidateLoad(
                load.requests,
                target.slots,
                load.tokens + load.claimed,
                pool.engine.memory_tokens,
                load.unread + hidden,
                event_seconds,
                read_seconds_per_token=read_seconds,
                pause_risk=risk,
            )
            cost = placing.estimate_cost(work, candidate, estimated.event_seconds)
        if target.data_hall != self._data_hall:
            cost += CROSS_HALL_COST_SECONDS
        if target.warm_at > now:
            cost += COLD_COST_SECONDS
        if self.is_full(target, work.memory_tokens):
            cost += REJECTION_COST_SECONDS
        return cost

    def estimate_evacuation_seconds(self, pool: routes.Pool, target: directories.Target) -> float:
        """Seconds for which a runner's link is busy to copy all runs without a copy."""
        load = self._usage.get(target.address)
        return self.estimate_copy_seconds(pool, load.unsaved)

    def estimate_copy_seconds(self, pool: routes.Pool, tokens: int) -> float:
        """Seconds for which a runner's link is busy to copy tokens to another data hall."""
        engine = pool.engine
        if engine is None or engine.link_mbps <= 0:
            return 0.0
        bits = tokens * engine.token_bytes * 8
        return bits / (engine.link_mbps * 1e6) * CROSS_HALL_COPY_FACTOR

    def compute_own_share(self, target: directories.Target) -> float:
        """This entry's share of the runs at a target that have no copy elsewhere."""
        load = self._usage.get(target.address)
        own = self._usage.get_own(target.address)
        return min(1.0, own.unsaved / load.unsaved) if load.unsaved > 0 else 1.0

    def has_room(
        self, pool: routes.Pool, target: directories.Target, tokens: int, share: float
    ) -> bool:
        """Whether a target's memory stays within a share of it with some more tokens."""
        load = self._usage.get(target.address)
        return _has_room(pool, load, tokens, share) and not self.is_full(target, tokens)


def _sample_in_turn(
    targets: list[directories.Target], rng: random.Random
) -> Iterator[directories.Target]:
    """Sample targets without replacement, one at a time; `targets` is shuffled in place."""
    for position in range(len(targets)):
        sampled = rng.randrange(position, len(targets))
        targets[position], targets[sampled] = targets[sampled], targets[position]
        yield targets[position]


def _has_room(pool: routes.Pool, load: loads.TargetLoad, tokens: int, share: float) -> bool:
    if pool.engine is None:
        return True
    return load.tokens + load.claimed + tokens <= pool.engine.memory_tokens * share
