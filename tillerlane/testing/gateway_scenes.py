"""Scenes on a gateway in virtual time, as test cases."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import structlog

from tillerlane.testing import gateway_lab, lab, platform_runner

__all__ = ["LONG", "GatewayCase", "build_stream", "drop_log_lines"]

LONG = {"Token_Counts": "3000,2000", "Length_Hint": "1000", "Model": "m"}
"""Headers of a generation that is worth a copy."""


def build_stream(request_id: str, length: int, first: int = 1) -> bytes:
    """All events of a stream."""
    return b"".join(
        platform_runner.build_event(request_id, number) for number in range(first, length + 1)
    )


class GatewayCase(unittest.TestCase):
    """Base of tests that play a scene; virtual time makes each run the same."""

    keepers = 3
    entries = 1
    wished_voters = 3

    def setUp(self) -> None:
        """Keep the daemons' log lines out of the tests' output."""
        drop_log_lines()

    def play(self, scene: Callable[[gateway_lab.GatewayLab], Awaitable[None]]) -> None:
        """Start a fleet whose first configuration is in force, and play a scene."""

        async def run() -> None:
            stage = gateway_lab.GatewayLab(self.keepers, self.entries, self.wished_voters)
            await stage.start()
            await asyncio.sleep(6)
            await stage.publish("keeper-1", gateway_lab.build_document(1))
            await asyncio.sleep(1)
            await scene(stage)

        lab.run_virtual(run())


def drop_log_lines() -> None:
    """Keep log lines out of a test's output."""
    structlog.configure(processors=[_drop])


def _drop(logger: object, method: str, values: object) -> None:
    raise structlog.DropEvent
