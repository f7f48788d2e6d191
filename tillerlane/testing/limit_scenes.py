"""Test cases for targets that announce rate limits, under a constant load from callers."""

import asyncio
import collections
from collections.abc import Iterable, Mapping

from tillerlane.testing import caller, gateway_lab, gateway_scenes

__all__ = ["LIMIT_SLACK", "WINDOW_SECONDS", "LimitCase", "count_peak"]

WINDOW_SECONDS = 4.0
LIMIT_SLACK = 5
"""Number of requests that a target may get above its limit within any `WINDOW_SECONDS`."""
PROPAGATION_SECONDS = 0.5
"""Time within which all entries must learn of a limit."""
HEARTBEAT_INTERVAL_SECONDS = 1.0
SETTLE_SECONDS = 2.0
"""Time after their start during which entries wait to discover targets."""


def count_peak(times: Iterable[float], seconds: float = WINDOW_SECONDS) -> int:
    """Largest number of the given times that fall within any window of `seconds`."""
    window: collections.deque[float] = collections.deque()
    peak = 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        peak = max(peak, len(window))
    return peak


class LimitCase(gateway_scenes.GatewayCase):
    """Base class of tests in which targets of a plain service announce rate limits."""

    async def add_targets(
        self, stage: gateway_lab.GatewayLab, number: int, pool: str = "app", **more: object
    ) -> None:
        """Start targets and send their heartbeats from then on."""
        for position in range(1, number + 1):
            await stage.add_runner(f"{pool}-{position}", pool, pace=0.02, **more)
        self.heartbeats = asyncio.create_task(self._send_heartbeats(stage, pool))
        await asyncio.sleep(SETTLE_SECONDS)

    async def _send_heartbeats(self, stage: gateway_lab.GatewayLab, pool: str) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
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
        """Send requests to each entry at its rate (per second) and return the responses."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        calls: list[asyncio.Task[caller.CallerResponse]] = []

        async def send_periodically(name: str, rate: float) -> None:
            # Stagger the entries over the interval, since real callers are not synchronized.
            await asyncio.sleep(list(rates).index(name) / len(rates) / rate)
            number = 0
            while loop.time() < deadline:
                number += 1
                request_id = f"{name}-{int(loop.time() * 1000)}-{number}"
                call = stage.call(name, route, request_id, wait_ms=wait_ms, **more)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(1 / rate)

        await asyncio.gather(*(send_periodically(*item) for item in rates.items() if item[1] > 0))
        return list(await asyncio.gather(*calls))

    def list_sends(
        self, stage: gateway_lab.GatewayLab, target_id: str, since: float
    ) -> list[float]:
        """Times since `since` at which a target started to process requests."""
        return [run.began for run in stage.runners[target_id].ran if run.began >= since]

    def assert_limit_kept(
        self, stage: gateway_lab.GatewayLab, target_id: str, limit: float, announced_at: float
    ) -> None:
        """Check that no window exceeds limit plus slack once all entries must know the limit."""
        sends = self.list_sends(stage, target_id, announced_at + PROPAGATION_SECONDS)
        self.assertLessEqual(count_peak(sends), limit * WINDOW_SECONDS + LIMIT_SLACK)
