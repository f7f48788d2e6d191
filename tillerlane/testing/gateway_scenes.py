"""Base classes for test cases that run scenarios on a gateway in virtual time."""

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
"""Headers of a generation that is long enough to have its memory copied."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee to a caller that its request has not run and never will."""


def build_stream(request_id: str, length: int, first: int = 1) -> bytes:
    """Build the body of a stream, from event `first` to event `length`."""
    return b"".join(
        platform_runner.build_event(request_id, number) for number in range(first, length + 1)
    )


class GatewayCase(unittest.TestCase):
    """Base class of tests that run a scenario in virtual time, which makes runs reproducible."""

    keepers = 3
    entries = 1
    desired_voters = 3

    def setUp(self) -> None:
        """Drop the daemons' log lines."""
        drop_log_lines()

    def play(
        self, scene: Callable[[gateway_lab.GatewayLab], Awaitable[None]], **route_changes: Any
    ) -> None:
        """Start a fleet, wait for its first configuration to be in force, and run a scenario.

        `route_changes` are made to all routes of the configuration.
        """

        async def run() -> None:
            stage = gateway_lab.GatewayLab(self.keepers, self.entries, self.desired_voters)
            await stage.start()
            await asyncio.sleep(6)
            document = gateway_lab.build_document(1)
            for route in document["routes"]:
                route.update(route_changes)
            await stage.publish("keeper-1", document)
            await asyncio.sleep(1)
            await scene(stage)

        lab.run_virtual(run())


def list_runs(stage: gateway_lab.GatewayLab, request_id: str) -> list[platform_runner.RanRequest]:
    """List all runs of a request, on any runner."""
    runs = [run for runner in stage.runners.values() for run in runner.ran]
    return [run for run in runs if run.request_id == request_id]


class AtMostOnceCase(GatewayCase):
    """Base class of tests with two targets of a service whose requests must run at most once."""

    async def add_two(
        self, stage: gateway_lab.GatewayLab, pool: str = "app", **more: Any
    ) -> list[platform_runner.PlatformRunner]:
        """Start two targets and wait until the entry has discovered them."""
        runners = [await stage.add_runner(name, pool, **more) for name in ("t1", "t2")]
        await asyncio.sleep(0.2)
        return runners

    def check_at_most_once(
        self, stage: gateway_lab.GatewayLab, request_id: str, status: int
    ) -> None:
        """Check that a request ran at most once, and that a "not run" status is true."""
        runs = list_runs(stage, request_id)
        self.assertLessEqual(len(runs), 1)
        if runs:
            self.assertNotIn(status, NOT_RUN_STATUSES)


def drop_log_lines() -> None:
    """Drop all log lines, to keep them out of the test output."""
    structlog.configure(processors=[_drop])


def _drop(logger: object, method: str, values: object) -> None:
    raise structlog.DropEvent
