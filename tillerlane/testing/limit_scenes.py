"""Scenes of targets that name limits: callers that keep asking, and what the targets got."""

import asyncio
import collections
from collections.abc import Iterable, Mapping

from tillerlane.testing import caller, gateway_lab, gateway_scenes

__all__ = ["LIMIT_SLACK", "WINDOW_SECONDS", "LimitCase", "count_peak"]

WINDOW_SECONDS = 4.0
LIMIT_SLACK = 5
"""Requests that a target may get beyond its limit within any `WINDOW_SECONDS`."""
PROPAGATION_SECONDS = 0.5
"""Time by which all entries have to know a limit."""
HEARTBEAT_SECONDS = 1.0
SETTLE_SECONDS = 2.0
"""Time after their start in which entries wait for targets that are unheard of."""


def count_peak(times: Iterable[float], seconds: float = WINDOW_SECONDS) -> int:
    """Most of some times that lie within any span."""
    window: collections.deque[float] = collections.deque()
    most = 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        most = max(most, len(window))
    return most


class LimitCase(gateway_scenes.GatewayCase):
    """Base of tests in which targets of a plain service name limits."""

    async def add_targets(
        self, stage: gateway_lab.GatewayLab, number: int, pool: str = "app", **more: object
    ) -> None:
        """Start targets, which send heartbeats from then on."""
        for position in range(1, number + 1):
            await stage.add_runner(f"{pool}-{position}", pool, pace=0.02, **more)
        self.heartbeats = asyncio.create_task(self._beat(stage, pool))
        await asyncio.sleep(SETTLE_SECONDS)

    async def _beat(self, stage: gateway_lab.GatewayLab, pool: str) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for target_id, runner in list(stage.runners.items()):
                if stage.keepers and not runner.has_crashed and target_id.startswith(pool):
                    stage.beat(target_id, pool)

    async def ask(
        self,
        stage: gateway_lab.GatewayLab,
        rates: Mapping[str, float],
        seconds: float,
        route: str = "order",
        wait_ms: int = 1_000,
        **more: str,
    ) -> list[caller.CallerResponse]:
        """Have callers ask so many times a second at each entry; gives their answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        calls: list[asyncio.Task[caller.CallerResponse]] = []

        async def keep_asking(name: str, rate: float) -> None:
            # Entries begin at different moments of the interval, as callers do.
            await asyncio.sleep(list(rates).index(name) / len(rates) / rate)
            number = 0
            while loop.time() < until:
                number += 1
                request_id = f"{name}-{int(loop.time() * 1000)}-{number}"
                call = stage.call(name, route, request_id, wait_ms=wait_ms, **more)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(1 / rate)

        await asyncio.gather(*(keep_asking(*item) for item in rates.items() if item[1] > 0))
        return list(await asyncio.gather(*calls))

    def list_sends(
        self, stage: gateway_lab.GatewayLab, target_id: str, since: float
    ) -> list[float]:
        """Times at which a target began requests later than a moment."""
        return [run.began for run in stage.runners[target_id].ran if run.began >= since]

    def assert_limit_kept(
        self, stage: gateway_lab.GatewayLab, target_id: str, limit: float, named_at: float
    ) -> None:
        """No span has more than the limit and the slack, once all entries have to know it."""
        sends = self.list_sends(stage, target_id, named_at + PROPAGATION_SECONDS)
        self.assertLessEqual(count_peak(sends), limit * WINDOW_SECONDS + LIMIT_SLACK)
