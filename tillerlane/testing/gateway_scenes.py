"""Scenes on a gateway in virtual time, as test cases."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from tillerlane.testing import gateway_lab, lab, platform_runner

__all__ = [
    "LONG",
    "NOT_RUN_STATUSES",
    "AtMostOnceCase",
    "GatewayCase",
    "build_stream",
    "drop_log_lines",
    "list_runs",
]

LONG = {"Token_Counts": "3000,2000", "Length_Hint": "1000", "Model": "m"}
"""Headers of a generation that is worth a copy."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise a caller that its request has not run and never will."""


def build_stream(request_id: str, length: int, first: int = 1) -> bytes:
    """All events of a stream."""
    return b"".join(
        platform_runner.build_event(request_id, number) for number in range(first, length + 1)
    )


class GatewayCase(unittest.TestCase):
    """Base of tests that play a scene; virtual time makes each run the same."""

    keepers = 3
    entries = 1
    desired_voters = 3

    def setUp(self) -> None:
        """Keep the daemons' log lines out of the tests' output."""
        drop_log_lines()

    def play(self, scene: Callable[[gateway_lab.GatewayLab], Awaitable[None]]) -> None:
        """Start a fleet whose first configuration is in force, and play a scene."""

        async def run() -> None:
            stage = gateway_lab.GatewayLab(self.keepers, self.entries, self.desired_voters)
            await stage.start()
            await asyncio.sleep(6)
            await stage.publish("keeper-1", gateway_lab.build_document(1))
            await asyncio.sleep(1)
            await scene(stage)

        lab.run_virtual(run())


def list_runs(stage: gateway_lab.GatewayLab, request_id: str) -> list[platform_runner.RanRequest]:
    """All runs of a request, at any runner."""
    runs = [run for runner in stage.runners.values() for run in runner.ran]
    return [run for run in runs if run.request_id == request_id]


class AtMostOnceCase(GatewayCase):
    """Scenes with two targets of the service that may not be asked twice."""

    async def add_two(
        self, stage: gateway_lab.GatewayLab, pool: str = "app", **more: Any
    ) -> list[platform_runner.PlatformRunner]:
        """Two targets that are known to the entry."""
        runners = [await stage.add_runner(name, pool, **more) for name in ("t1", "t2")]
        await asyncio.sleep(0.2)
        return runners

    def check_at_most_once(
        self, stage: gateway_lab.GatewayLab, request_id: str, status: int
    ) -> None:
        """A request ran at most once, and is not promised not to have run if it did."""
        runs = list_runs(stage, request_id)
        self.assertLessEqual(len(runs), 1)
        if runs:
            self.assertNotIn(status, NOT_RUN_STATUSES)


def drop_log_lines() -> None:
    """Keep log lines out of a test's output."""
    structlog.configure(processors=[_drop])


def _drop(logger: object, method: str, values: object) -> None:
    raise structlog.DropEvent
