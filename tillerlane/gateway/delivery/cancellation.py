"""Stops runs that nobody waits for any more, where closing the connection may not reach them.

A runner learns from the end of the connection that its caller has left.  A connection that has been
quiet may have fallen silent, and then the runner learns nothing and works on to the deadline.
"""

import asyncio

from tillerlane.decisions import handover, placing
from tillerlane.gateway import directory as directories
from tillerlane.gateway import handovers, runs, selection
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway.http import http_client
from tillerlane.timeline import core as timelines

__all__ = ["RunCanceller"]

MIN_QUIET_SECONDS = 0.3
"""Pause after which a connection may be silent; longer than those between events of a stream that
meets its objective (180 ms)."""
ORDER_DELAYS_SECONDS = (0.0, 1.0, 2.0)
"""Pauses before the orders.  A request that waits at its runner has no run yet, so that the first
orders may come too early for it."""
EVIDENCE_TIMEOUT_SECONDS = 1.0


class RunCanceller:
    """Orders the runners of one entry to stop runs that nobody waits for.

    Parameters
    ----------
    orders : handovers.StopOrders
        Sends the orders.
    selector : selection.Selector
        Chooses where the memory of a stopped run goes, as an order has to name a runner.
    timeline : timelines.Timeline
        Log of results.
    metrics : entry_metrics.EntryMetrics
        Counts results.
    """

    def __init__(
        self,
        orders: handovers.StopOrders,
        selector: selection.Selector,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._orders = orders
        self._selector = selector
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel_if_quiet(
        self, run: runs.Run, exchange: http_client.Exchange, deadline: float
    ) -> None:
        """Stop a run whose response is abandoned, if its connection may have fallen silent."""
        engine = run.pool.engine
        if engine is None or not engine.can_move or not exchange.is_awaited:
            return
        quiet_seconds = self._loop.time() - exchange.quiet_since
        if quiet_seconds < MIN_QUIET_SECONDS:
            return
        task = self._loop.create_task(self._cancel(run, deadline, quiet_seconds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def choose_destination(self, run: runs.Run) -> directories.Target:
        """Runner that receives the memory of a run that is stopped; its own if there is no other.

        It has the software version of the run's present runner.
        """
        excluded = {run.target.target_id}
        work = placing.Work(run.tokens, events=run.remaining_events)
        chosen = self._selector.choose(
            run.pool,
            work,
            excluded,
            run.target.data_hall,
            is_sent_now=False,
            software_version=run.target.software_version,
        )
        return chosen if chosen is not None else run.target

    async def _cancel(self, run: runs.Run, deadline: float, quiet_seconds: float) -> None:
        evidence = handover.Evidence.NONE
        orders = 0
        for delay in ORDER_DELAYS_SECONDS:
            await asyncio.sleep(delay)
            if self._loop.time() >= deadline:
                break
            if self._orders.is_relayed(run):
                break  # a later run of the same request, which the order would stop
            address = self.choose_destination(run).address
            order = self._orders.stop_abandoned(run, address, deadline)
            self._orders.discard_unused_copy(order, used=None)
            orders += 1
            evidence = await order.wait_for_evidence(EVIDENCE_TIMEOUT_SECONDS)
            if evidence is not handover.Evidence.NO_RUN:
                break  # released, or the order itself is repeated
        self._metrics.cancellations.labels(evidence.value).inc()
        self._timeline.record(
            "run.cancel",
            request_id=run.request_id,
            target=run.target.target_id,
            quiet_ms=int(quiet_seconds * 1000),
            orders=orders,
            evidence=evidence.value,
        )
