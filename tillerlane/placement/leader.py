"""The leader's placement loop: collect demand, plan, commit the order, send it, record its outcome.

An order without a recorded outcome is sent again by the current leader, with its original fence and
id.
"""

import asyncio
import dataclasses
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from tillerlane.config import store as stores
from tillerlane.faults import core as faults
from tillerlane.keeper import commands, replica, state_machine
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.placement import planner
from tillerlane.timeline import core as timelines

__all__ = ["PlacementLeader"]

PLAN_INTERVAL_SECONDS = 2.0
MAX_REASON_CHARACTERS = 200

Query = Callable[[messages.Member, str, dict[str, Any]], Awaitable[Any]]


class PlacementLeader:
    """Placement on one keeper; idle unless the keeper leads.

    Parameters
    ----------
    own : replica.Replica
        This keeper's replica of the log.
    list_members : callable
        Returns the live members.
    query : callable
        Coroutine function (member, subject, arguments) that queries a daemon.
    timeline : timelines.Timeline
        Records the events.
    now_ms : callable
        Returns the wall time in milliseconds.
    """

    def __init__(
        self,
        own: replica.Replica,
        list_members: Callable[[], list[messages.Member]],
        query: Query,
        timeline: timelines.Timeline,
        now_ms: Callable[[], int],
    ) -> None:
        self._replica = own
        self._list_members = list_members
        self._query = query
        self._timeline = timeline
        self._now_ms = now_ms
        self._task: asyncio.Task[None] | None = None
        self.last_plan: planner.PlannedOrder | None = None
        self.runners: list[planner.RunnerState] = []
        self.demand: dict[tuple[str, str], planner.Demand] = {}

    def start(self) -> None:
        """Start the placement loop."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancel the placement loop."""
        if self._task is not None:
            self._task.cancel()

    @property
    def _machine(self) -> state_machine.StateMachine:
        return self._replica.state_machine

    async def _run(self) -> None:
        former = ""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            if not self._replica.has_lease or not self._is_enabled():
                continue
            try:
                await self._step()
                former = ""
            except (faults.FaultError, links.LinkLost, OSError) as error:
                reason = f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]
                if reason != former:
                    self._timeline.record("placement.failed", reason=reason)
                former = reason

    def _is_enabled(self) -> bool:
        """Whether any pool allows its models to be moved."""
        return any(pool.most_models for pool in self._machine.store.current.pools.values())

    async def _step(self) -> None:
        await self._collect_demand()
        for record in list(self._machine.orders.values()):
            if not record.outcome:
                await self._send_order(record)
        if self._must_wait():
            return
        self.last_plan = self.plan()
        if self.last_plan is not None:
            await self._commit_order(self.last_plan)

    def _must_wait(self) -> bool:
        """Whether an order is pending, or the weight store's rate does not allow a load yet."""
        loads = [item for item in self._machine.orders.values() if item.action == "load"]
        if any(not item.outcome for item in self._machine.orders.values()):
            return True
        gap_ms = self._machine.store.current.fleet.weight_load_seconds * 1000
        return bool(loads) and self._now_ms() - max(item.at_ms for item in loads) < gap_ms

    # Demand

    async def _collect_demand(self) -> None:
        """Query agents for their runners, and entries for requests that no copy could serve."""
        current = self._machine.store.current
        members = [item for item in self._list_members() if {"agent", "entry"} & set(item.roles)]
        answers = await asyncio.gather(
            *(self._query(member, "demand", {}) for member in members), return_exceptions=True
        )
        runners: list[planner.RunnerState] = []
        demand: dict[tuple[str, str], planner.Demand] = {}
        for answer in answers:
            if isinstance(answer, BaseException):
                continue
            self._add_runners(answer, current, runners, demand)
            for pool, model, count in answer.get("unserved", []):
                known = demand.get((pool, model), planner.Demand())
                demand[pool, model] = dataclasses.replace(known, unserved=known.unserved + count)
        self.runners = runners
        self.demand = demand

    def _add_runners(
        self,
        answer: dict[str, Any],
        current: stores.Configuration,
        runners: list[planner.RunnerState],
        demand: dict[tuple[str, str], planner.Demand],
    ) -> None:
        for item in answer.get("targets", []):
            pool = current.pool_by_target.get(item["target"])
            if pool is None:
                continue
            loads = item["loads"]
            state = planner.RunnerState(
                name=item["target"],
                pool=pool,
                models=frozenset(item["models"]),
                load=sum(loads.values()),
                leaving=item["leaving"] or not item["healthy"],
            )
            runners.append(state)
            for model, load in loads.items():
                known = demand.get((pool, model), planner.Demand())
                demand[pool, model] = dataclasses.replace(known, load=known.load + load)

    def plan(self) -> planner.PlannedOrder | None:
        """Plan the next order from the demand collected last."""
        pools = {
            name: pool
            for name, pool in self._machine.store.current.pools.items()
            if pool.most_models
        }
        models = {name: list(pool.models) for name, pool in pools.items()}
        for name, pool in pools.items():
            one_pool = {name: models[name]}
            assert pool.most_models is not None
            order = planner.plan_next(
                one_pool,
                [item for item in self.runners if item.pool == name],
                self.demand,
                {pair for pair in self._machine.pins if pair[0] in pool.runners},
                pool.most_models,
            )
            if order is not None:
                return order
        return None

    # Orders

    async def _commit_order(self, planned: planner.PlannedOrder) -> None:
        command = commands.Order(
            order_id="o-" + secrets.token_hex(6),
            target=planned.target,
            action=planned.action,
            model=planned.model,
            at_ms=self._now_ms(),
        )
        self._timeline.record("placement.order", reason=planned.reason, **_describe(command))
        await self._replica.propose(commands.encode(command))
        await self._send_order(self._machine.orders[command.order_id])

    async def _send_order(self, record: state_machine.OrderRecord) -> None:
        """Send an order to the target's agent; without an answer it stays open and is resent."""
        for member in self._list_members():
            if record.target in member.targets:
                arguments = {
                    "order_id": record.order_id,
                    "target": record.target,
                    "action": record.action,
                    "model": record.model,
                    "fence": list(record.fence),
                }
                answer = await self._query(member, "order", arguments)
                await self._finish(record.order_id, answer["outcome"])
                return
        await self._finish(record.order_id, "target gone")

    async def _finish(self, order_id: str, outcome: str) -> None:
        self._timeline.record("placement.done", order_id=order_id, outcome=outcome)
        await self._replica.propose(commands.encode(commands.OrderDone(order_id, outcome)))

    def get_status(self) -> dict[str, Any]:
        """Return the collected demand, open orders and next plan, for operators."""
        return {
            "runners": [
                {**dataclasses.asdict(item), "models": sorted(item.models)} for item in self.runners
            ],
            "demand": [
                {"pool": pool, "model": model, **dataclasses.asdict(item)}
                for (pool, model), item in sorted(self.demand.items())
            ],
            "pins": [list(pair) for pair in sorted(self._machine.pins)],
            "orders": [dataclasses.asdict(item) for item in self._machine.orders.values()][-20:],
            "next": dataclasses.asdict(plan) if (plan := self.plan()) else None,
        }


def _describe(command: commands.Order) -> dict[str, Any]:
    return {"target": command.target, "action": command.action, "model": command.model}
