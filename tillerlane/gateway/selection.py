"""Which target of a pool a request goes to."""

import dataclasses
import random
from collections.abc import Callable, Collection

from tillerlane.gateway import directory as directories
from tillerlane.gateway import loads, routes
from tillerlane.gateway import usage as usages

__all__ = ["Caution", "Selector"]

FIRST_AVOID_SECONDS = 1.0
"""How long a target that could not be reached is avoided: a heartbeat's interval, by which time
its keepers know more."""
MOST_AVOID_SECONDS = 5.0
FORGET_SECONDS = 30.0
"""How long a failure counts for the next one, and bounds what is kept of targets long gone."""
OTHER_HALL_COST = 0.02
"""Load that staying within the data hall is worth, as a share of a target: breaks ties only."""
BETWEEN_HALLS = 2.0
"""A copy between data halls takes twice the time of the link (the platform's page)."""
MOVE_HALL_COST = 0.15
"""Load that a copy within the data hall is worth, as a share of a target, for each runner there
that can take one: it takes half the time of the link, of which a leaving runner's runs need all;
but where few can take them, all entries choose the same one before they hear of each other."""
MOST_MOVE_HALL_COST = 0.6
"""Bound on that.  Means of `worth` on the users' machines with 0.15 and with 0.6, whatever the
number: 0.679 and 0.712 with seven runners a hall (processor time, two days, two seeds), 0.617 and
0.626 with three (two days, three seeds), 0.760 and 0.660 with one (processor time, a quiet day,
three seeds); 2.0 gave no more."""
FULL_SHARE = 0.9
"""Share of its memory above which a runner counts as full: what runs there still grows."""
COLD_COST = 0.5
"""Load that a target still slow from its start counts as, as a share of a target."""
UNREAD_TOKENS = 7_000
"""Unread prompt tokens that count like a full target.  Runners that also write were seen to read
some 7 a millisecond, so these make a request wait for a second."""
UNHEARD_PROMPTS = (1.0, 5.0)
"""Prompts sent elsewhere and not yet heard of: up to the first number the least loaded runner is
taken, from the second on any within one prompt of it is as good.  Means of `worth` on the users'
machines without lots and with them, in pairs: 0.542 and 0.560 with some four prompts unheard of
(processor time, two days, two seeds).  Lots that began at none cost 0.012 where less than one was
unheard of (three days, two seeds), since runs spread less evenly."""


@dataclasses.dataclass(slots=True)
class _Failures:
    count: int
    avoid_until: float


class Caution:
    """Targets that lately failed this entry, by id."""

    def __init__(self) -> None:
        self._failures: dict[str, _Failures] = {}

    def note_failure(self, target_id: str, now: float) -> None:
        """Avoid a target for a while, longer with each failure in a row."""
        for other, failures in list(self._failures.items()):
            if now - failures.avoid_until > FORGET_SECONDS:
                del self._failures[other]
        known = self._failures.setdefault(target_id, _Failures(0, now))
        known.count += 1
        seconds = min(MOST_AVOID_SECONDS, FIRST_AVOID_SECONDS * 2 ** (known.count - 1))
        known.avoid_until = now + seconds

    def note_success(self, target_id: str) -> None:
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
    data_hall : str
        This entry's data hall.
    rng : random.Random
        Breaks ties.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        directory: directories.Directory,
        usage: usages.Usage,
        data_hall: str,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self.caution = Caution()
        self._directory = directory
        self._usage = usage
        self._data_hall = data_hall
        self._rng = rng
        self._now = now

    def draw_pool(self, route: routes.Route) -> str:
        """A pool of the route, by weight."""
        names = [name for name, _ in route.pools]
        if len(names) == 1:
            return names[0]
        return self._rng.choices(names, [weight for _, weight in route.pools])[0]

    def choose(
        self,
        pool: routes.Pool,
        tokens: int,
        excluded: Collection[str],
        source_hall: str | None = None,
    ) -> directories.Target | None:
        """The target with the least load that is not `excluded` (ids); None if there is none.

        With `source_hall` a run's memory has to go there, which takes longer between halls.

        Silent, avoided and full targets come last, in that order.
        """
        now = self._now()
        listed = self._directory.list_pool(pool.name)
        contenders: list[tuple[directories.Target, float]] = []
        best = (True, True, True)
        for target in listed:
            if target.target_id in excluded:
                continue
            use = self._usage.read(target.address)
            rank = (
                target.phase is directories.Phase.SILENT,
                self.caution.is_avoided(target.target_id, now),
                not _has_room(pool, use, tokens, FULL_SHARE),
            )
            if rank > best:
                continue
            if rank < best:
                best, contenders = rank, []
            contenders.append((target, self._read_load(pool, target, use, tokens, now)))
        if not contenders:
            return None
        slack = 0.0
        if source_hall is None:
            slack = self._read_slack(pool, tokens, now)
        else:
            contenders = _add_hall_cost(contenders, source_hall)
        most = min(load for _, load in contenders) + slack
        return self._rng.choice([target for target, load in contenders if load <= most])

    def _read_slack(self, pool: routes.Pool, tokens: int, now: float) -> float:
        """Load above the least at which a runner is as good: what other entries may have sent.

        Their word is some tenths of a second old.  With many entries that all take the least
        loaded runner, prompts queue there while other runners are idle; each draws its lot among
        those that one prompt more would make no worse.  With few prompts unheard of, the word is
        good, and evenly spread runs are worth more.
        """
        if pool.engine is None:
            return 0.0
        few, many = UNHEARD_PROMPTS
        share = (self._usage.read_unheard(now) - few) / (many - few)
        return tokens / UNREAD_TOKENS * min(1.0, max(0.0, share))

    def _read_load(
        self,
        pool: routes.Pool,
        target: directories.Target,
        use: loads.Use,
        tokens: int,
        now: float,
    ) -> float:
        load = use.requests / max(1, target.slots)
        if pool.engine is not None:
            load += (use.tokens + tokens) / max(1, pool.engine.memory_tokens)
            load += use.unread / UNREAD_TOKENS
        if target.data_hall != self._data_hall:
            load += OTHER_HALL_COST
        if target.warm_at > now:
            load += COLD_COST
        return load

    def read_evacuation(self, pool: routes.Pool, target: directories.Target) -> float:
        """Seconds that a runner's link needs to copy all runs that have no copy yet."""
        use = self._usage.read(target.address)
        return self.read_copy_seconds(pool, use.unsaved)

    def read_copy_seconds(self, pool: routes.Pool, tokens: int) -> float:
        """Seconds that a runner's link needs to copy so many tokens to another data hall."""
        engine = pool.engine
        if engine is None or engine.link_mbps <= 0:
            return 0.0
        bits = tokens * engine.token_bytes * 8
        return bits / (engine.link_mbps * 1e6) * BETWEEN_HALLS

    def read_own_share(self, target: directories.Target) -> float:
        """This entry's share of the runs at a target that have no copy elsewhere."""
        use = self._usage.read(target.address)
        own = self._usage.read_own(target.address)
        return min(1.0, own.unsaved / use.unsaved) if use.unsaved > 0 else 1.0

    def has_room(
        self, pool: routes.Pool, target: directories.Target, tokens: int, share: float
    ) -> bool:
        """Whether so many tokens more leave a target's memory below a share of it."""
        return _has_room(pool, self._usage.read(target.address), tokens, share)


def _has_room(pool: routes.Pool, use: loads.Use, tokens: int, share: float) -> bool:
    return pool.engine is None or use.tokens + tokens <= pool.engine.memory_tokens * share


def _add_hall_cost(
    contenders: list[tuple[directories.Target, float]], source_hall: str
) -> list[tuple[directories.Target, float]]:
    """Loads of a copy's destinations, with what the longer way to another data hall costs."""
    near = sum(target.data_hall == source_hall for target, _ in contenders)
    far_cost = min(MOST_MOVE_HALL_COST, MOVE_HALL_COST * near)
    return [
        (target, load if target.data_hall == source_hall else load + far_cost)
        for target, load in contenders
    ]
