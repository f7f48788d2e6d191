"""Shares of workspaces at one entry: its own counters, and what keepers report of the fleet's."""

import collections
import dataclasses
import math
from collections.abc import Callable, Mapping

from tillerlane.decisions import shares as decisions
from tillerlane.gateway.shares import figures
from tillerlane.gateway.shares import rows as tables
from tillerlane.peers import messages

__all__ = ["PoolState", "Shares"]

REPORT_HOLD_SECONDS = 1.0
"""How long rows of a pool are still reported after nothing waits for it: at the limit of the
capacity a queue is empty for moments, and the tables would come and go."""
LEVEL_SECONDS = 0.02
LEVEL_SECONDS_PER_WORKSPACE = 0.000_2
"""How long a computed level is reused: an entry gets digests at most each 0.02 s, and a computation
takes some 2 us for each workspace, so that it takes 1% of a core at most."""
URGENT_TOKENS = 1_000
"""Waiting tokens that are reported ahead of the usual rate, as sent prompts are."""
MIN_SERVED_TOKENS = 32
"""A counter below this is forgotten: a hundredth of a usual prompt."""
MAX_SENT_REPORTS = 160
"""Own reports kept to subtract them from the keepers' sums, as in `gateway.usage`."""
MIN_WEIGHT = 0.001
"""Smaller weights count as this one, and larger ones than its inverse as that: a counter divided by
a weight must stay finite."""
LIST_INTERVAL_SECONDS = 1.0
MAX_LISTED = 8
"""Interval and length of the log lines on contended pools."""

_EMPTY = tables.Row()


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """What an entry knows of a pool for which requests of several workspaces wait.

    Attributes
    ----------
    waiting, debts : dict of str to int
        Waiting tokens at all entries and debts in tokens, of the workspaces with the most.
    """

    pool: str
    waiting: dict[str, int]
    debts: dict[str, int]


def _take_largest(tokens: Mapping[str, int]) -> dict[str, int]:
    positive = {name: number for name, number in tokens.items() if number > 0}
    names = sorted(positive, key=positive.__getitem__, reverse=True)[:MAX_LISTED]
    return {name: positive[name] for name in names}


class _Counter:
    """Tokens that decay, as of a time."""

    __slots__ = ("at", "tokens")

    def __init__(self, tokens: float, at: float) -> None:
        self.tokens = tokens
        self.at = at

    def read(self, now: float) -> float:
        return self.tokens * decisions.compute_decay(now - self.at)

    def add(self, tokens: float, now: float) -> None:
        self.tokens = max(0.0, self.read(now) + tokens)
        self.at = now


class _Pool:
    """Workspaces of one pool."""

    def __init__(self) -> None:
        self.own_waiting: dict[tuple[str, int], tables.Row] = {}
        """Own waiting requests by workspace and priority."""
        self.own_served: dict[str, _Counter] = {}
        self.others: dict[tuple[str, int], tables.Row] = {}
        """Other entries' rows by workspace and priority."""
        self.lifts: dict[str, _Counter] = {}
        self.waited_at = -math.inf
        """When something waited at any entry, as known here."""
        self.is_stale = True
        """Whether the attributes below have to be computed again at once."""
        self.has_news = False
        """Whether a digest has come since they were computed."""
        self.others_served: dict[str, int] = {}
        self.priorities: dict[str, int] = {}
        """Lowest priority in the rows of a workspace."""
        self.waiting: dict[str, int] = {}
        """Waiting tokens by workspace, of those that wait at any entry."""
        self.level = math.inf
        self.level_at = -math.inf

    def read_counter(self, workspace: str, now: float) -> float:
        """Virtual counter of a workspace: what all entries served, and its lift."""
        total = float(self.others_served.get(workspace, 0))
        own = self.own_served.get(workspace)
        if own is not None:
            total += own.read(now)
        lift = self.lifts.get(workspace)
        return total + lift.read(now) if lift is not None else total

    def read_counters(self, now: float) -> dict[str, float]:
        """Virtual counters of all workspaces that were served."""
        found: dict[str, float] = dict(self.others_served)
        for counters in (self.own_served, self.lifts):
            for workspace, counter in counters.items():
                found[workspace] = found.get(workspace, 0.0) + counter.read(now)
        return found

    def sum_rows(self) -> None:
        """Sum waiting tokens, and other entries' served tokens, by workspace."""
        waiting: dict[str, int] = {}
        served: dict[str, int] = {}
        priorities: dict[str, int] = {}
        for rows in (self.own_waiting, self.others):
            for (workspace, priority), row in rows.items():
                if priority < priorities.get(workspace, tables.NO_PRIORITY):
                    priorities[workspace] = priority
                if row.waiting > 0:
                    # A request without a prompt counts as one token, so that it is known to wait.
                    tokens = max(1, row.waiting_tokens)
                    waiting[workspace] = waiting.get(workspace, 0) + tokens
                if row.served_tokens > 0:
                    served[workspace] = served.get(workspace, 0) + row.served_tokens
        self.waiting, self.others_served, self.priorities = waiting, served, priorities

    def must_refresh(self, now: float) -> bool:
        """Whether what is computed from the rows is out of date."""
        if self.is_stale:
            return True
        if not self.has_news and len(self.waiting) < 2:
            return False
        interval = LEVEL_SECONDS + LEVEL_SECONDS_PER_WORKSPACE * len(self.others_served)
        return now - self.level_at >= interval

    def discard_old(self, now: float) -> None:
        """Forget counters that have decayed."""
        for counters in (self.own_served, self.lifts):
            for workspace in [
                name for name, item in counters.items() if item.read(now) < MIN_SERVED_TOKENS
            ]:
                del counters[workspace]


class Shares:
    """Served and waiting tokens of workspaces, and how far each is above its share.

    Parameters
    ----------
    metrics : figures.WorkspaceMetrics, optional
        Counts by workspace.

    Attributes
    ----------
    changed : bool
        Whether there are changes that have not been reported yet.
    notify_urgent : callable
        Called when a report should not wait for the usual time.
    """

    def __init__(self, metrics: figures.WorkspaceMetrics | None = None) -> None:
        self._metrics = metrics
        if metrics is not None:
            metrics.count_waiting = self.count_own_waiting
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)
        self._weights: dict[str, float] = {}
        self._total: tables.Rows = {}
        """The keeper's sums, this entry's own report included."""
        self._included: tables.Rows = {}
        """That own report."""
        self._sent: collections.deque[tuple[int, tables.Rows]] = collections.deque(
            maxlen=MAX_SENT_REPORTS
        )
        self._listed_at = -math.inf
        self.changed = False
        self.notify_urgent: Callable[[], None] = lambda: None

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Apply the weights of workspaces; others have weight 1."""
        self._weights = {
            name: min(1 / MIN_WEIGHT, max(MIN_WEIGHT, weight)) for name, weight in weights.items()
        }
        for pool in self._pools.values():
            pool.is_stale = True

    # This entry's own requests

    def record_served(self, pool: str, workspace: str, tokens: int, now: float) -> None:
        """Count the tokens of a request that is sent; ignored without a workspace.

        Negative ones take back what was counted for a request that its target rejected.
        """
        if not workspace or not tokens:
            return
        if self._metrics is not None and tokens > 0:
            self._metrics.record_served(workspace, tokens)
        counters = self._pools[pool].own_served
        counter = counters.get(workspace)
        if counter is not None:
            counter.add(tokens, now)
        elif tokens > 0:
            counters[workspace] = _Counter(tokens, now)

    def record_waiting(
        self, pool: str, workspace: str, priority: int, requests: int, tokens: int
    ) -> None:
        """Add to the waiting requests and their tokens; negative numbers subtract."""
        if not workspace:
            return
        found = self._pools[pool]
        key = (workspace, priority)
        row = found.own_waiting.get(key)
        if row is None:
            row = found.own_waiting[key] = tables.Row()
            found.is_stale = True
        row.waiting += requests
        row.waiting_tokens += tokens
        if row.waiting <= 0:
            del found.own_waiting[key]
            found.is_stale = True
        self.changed = True
        if abs(tokens) >= URGENT_TOKENS:
            self.notify_urgent()

    def record_wait(self, workspace: str, seconds: float, prompt_tokens: int) -> None:
        """Count the wait of a request that is sent; ignored without a workspace."""
        if workspace and self._metrics is not None:
            self._metrics.record_wait(workspace, seconds, prompt_tokens)

    def count_own_waiting(self) -> dict[str, int]:
        """This entry's waiting requests by workspace."""
        found: collections.Counter[str] = collections.Counter()
        for pool in self._pools.values():
            for (workspace, _), row in pool.own_waiting.items():
                found[workspace] += row.waiting
        return found

    # All entries' requests

    def compute_debt(self, pool: str, workspace: str, now: float) -> float:
        """Tokens that a workspace is above its share of a pool; 0 where no other one waits."""
        found = self._pools.get(pool)
        if found is None or not workspace:
            return 0.0
        self._refresh(found, now)
        if not any(name != workspace for name in found.waiting):
            return 0.0
        weight = self._weights.get(workspace, 1.0)
        return decisions.compute_debt(found.read_counter(workspace, now), weight, found.level)

    def read_counter(self, pool: str, workspace: str, now: float) -> float:
        """Decayed tokens that all entries served to a workspace, with its lift."""
        found = self._pools.get(pool)
        if found is None:
            return 0.0
        self._refresh(found, now)
        return found.read_counter(workspace, now)

    def compute_hold_seconds(self, pool: str, workspace: str, now: float) -> float:
        """How long a request leaves free capacity to workspaces within their share."""
        return decisions.compute_hold_seconds(self.compute_debt(pool, workspace, now))

    def compute_waiting_tokens(self, pool: str, now: float) -> int:
        """Memory in tokens that requests wait for at a pool, at all entries, this one included."""
        found = self._pools.get(pool)
        if found is None:
            return 0
        return sum(
            max(0, row.waiting_tokens)
            for rows in (found.own_waiting, found.others)
            for row in rows.values()
        )

    def list_contended(self, now: float) -> list[PoolState]:
        """Pools for which several workspaces wait, for the log; empty within a second of others."""
        if now - self._listed_at < LIST_INTERVAL_SECONDS:
            return []
        states = []
        for name, pool in self._pools.items():
            self._refresh(pool, now)
            if len(pool.waiting) > 1:
                debts = {item: round(self.compute_debt(name, item, now)) for item in pool.waiting}
                states.append(PoolState(name, _take_largest(pool.waiting), _take_largest(debts)))
        if states:
            self._listed_at = now
        return states

    def _refresh(self, pool: _Pool, now: float, *, may_lift: bool = True) -> None:
        """Compute the level again if it is out of date, and lift workspaces that begin to wait."""
        if not pool.must_refresh(now):
            return
        former = pool.waiting
        pool.sum_rows()
        pool.is_stale = pool.has_news = False
        pool.level_at = now
        if pool.waiting:
            pool.waited_at = now
        pool.level = math.inf
        if len(pool.waiting) < 2:
            return
        counters = pool.read_counters(now)
        newcomers = [name for name in pool.waiting if name not in former]
        if may_lift and former and newcomers:
            present = [name for name in former if name in pool.waiting]
            lowest = decisions.compute_lowest(self._build_accounts(pool, counters, present))
            for name in newcomers:
                [newcomer] = self._build_accounts(pool, counters, [name])
                lift = decisions.compute_lift(newcomer, lowest)
                if lift > 0:
                    pool.lifts.setdefault(name, _Counter(0.0, now)).add(lift, now)
                    counters[name] = newcomer.served + lift
        names = [*counters, *(name for name in pool.waiting if name not in counters)]
        pool.level = decisions.compute_level(self._build_accounts(pool, counters, names))

    def _build_accounts(
        self, pool: _Pool, counters: Mapping[str, float], names: list[str]
    ) -> list[decisions.Account]:
        waiting, weights = pool.waiting, self._weights
        return [
            decisions.Account(counters.get(name, 0.0), waiting.get(name, 0), weights.get(name, 1.0))
            for name in names
        ]

    # Messages

    def build_report(self, sequence: int, now: float) -> bytes:
        """This entry's rows for its load report of that sequence; empty where nothing waits."""
        self.changed = False
        rows: tables.Rows = {}
        for name, pool in self._pools.items():
            pool.discard_old(now)
            self._refresh(pool, now)
            if pool.waiting:
                pool.waited_at = now
            if now - pool.waited_at <= REPORT_HOLD_SECONDS:
                rows.update(self._list_own(name, pool, now))
        if not rows:
            return b""
        if len(rows) > tables.MAX_ROWS:
            largest = sorted(rows.items(), key=lambda item: item[1].size, reverse=True)
            rows = dict(largest[: tables.MAX_ROWS])
        self._sent.append((sequence, rows))
        return tables.encode_rows(rows.items())

    def _list_own(self, name: str, pool: _Pool, now: float) -> tables.Rows:
        """Own rows of a pool; the served tokens of a workspace are in one of its rows."""
        rows = {
            tables.Key(name, workspace, priority): dataclasses.replace(row)
            for (workspace, priority), row in pool.own_waiting.items()
        }
        for workspace, counter in pool.own_served.items():
            priority = pool.priorities.get(workspace, tables.NO_PRIORITY)
            row = rows.setdefault(tables.Key(name, workspace, priority), tables.Row())
            row.served_tokens = round(counter.read(now))
        return rows

    def handle_digest(self, digest: messages.LoadDigest, now: float) -> None:
        """Handle a keeper's digest that is neither out of date nor after a gap.

        Raises
        ------
        faults.FaultError
            Of kind ``bad_request`` if it can't be decoded.
        """
        changes = tables.decode_rows(digest.workspaces)
        keys = {*changes, *self._included}
        if digest.whole:
            keys.update(self._total)
            self._total = {}
        for key, row in changes.items():
            if row.is_empty:
                self._total.pop(key, None)
            else:
                self._total[key] = row
        if digest.workspaces or digest.whole:
            # Digests ahead of the usual rate carry no rows, so that the sums are still those of
            # the report before.
            self._included = self._find_own_report(digest.included)
        keys.update(self._included)
        touched = {key.pool for key in keys}
        for key in keys:
            self._update_others(key)
        for name in touched:
            pool = self._pools[name]
            pool.has_news = True
            if digest.whole:
                pool.is_stale = True
                # Workspaces that are new to this entry have been waiting elsewhere.
                self._refresh(pool, now, may_lift=False)

    def _find_own_report(self, sequence: int) -> tables.Rows:
        while self._sent and self._sent[0][0] < sequence:
            self._sent.popleft()
        return self._sent[0][1] if self._sent and self._sent[0][0] == sequence else {}

    def _update_others(self, key: tables.Key) -> None:
        """Subtract the own report from the sums of one row."""
        others = self._pools[key.pool].others
        total = self._total.get(key)
        own = self._included.get(key, _EMPTY)
        row = (
            tables.Row()
            if total is None
            else tables.Row(
                max(0, total.waiting - own.waiting),
                max(0, total.waiting_tokens - own.waiting_tokens),
                max(0, total.served_tokens - own.served_tokens),
            )
        )
        if row.is_empty:
            others.pop((key.workspace, key.priority), None)
        else:
            others[key.workspace, key.priority] = row

    def discard_others(self) -> None:
        """Discard what is known of other entries, when digests have ceased."""
        self._total, self._included = {}, {}
        for pool in self._pools.values():
            pool.others = {}
            pool.is_stale = True
