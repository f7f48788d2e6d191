"""A small configuration and shared checks for tests in virtual time."""

import asyncio
import logging
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from tillerlane.testing import lab

__all__ = ["DOCUMENT", "SceneCase", "build_document"]


def build_document(**classes: Any) -> dict[str, Any]:
    """Build a configuration with two runners in two data halls and two workspaces.

    `classes` changes or adds request classes.
    """
    base = {"pool": "pool", "model": "m", "max_tokens": 400, "deadline_seconds": 120}
    named = {
        "record": base,
        "whole": {**base, "delivery": "whole"},
        "once": {**base, "repeatable": False},
        "ping": {**base, "urgent": True, "priority": 90, "max_tokens": 20},
    }
    for name, changes in classes.items():
        named[name] = {**base, **changes}
    return {
        "workspaces": {"katalog": {}, "butikk": {}},
        "classes": named,
        "pools": {
            "pool": {
                "models": ["m"],
                "runners": {"r1": {"data_hall": "hall-a"}, "r2": {"data_hall": "hall-b"}},
            }
        },
    }


DOCUMENT = build_document()


class SceneCase(unittest.TestCase):
    """Base class of tests that run scenarios in virtual time."""

    @classmethod
    def setUpClass(cls) -> None:
        """Keep logs out of the test output."""
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))

    def play(
        self,
        scene: Callable[[lab.Lab], Coroutine[Any, Any, None]],
        document: dict[str, Any] | None = None,
        **options: Any,
    ) -> None:
        """Run a scenario on a fleet, by default of one keeper and two entries."""

        async def run() -> None:
            given = {"keepers": 1, "entries": 2, **options}
            stage = lab.Lab(document or DOCUMENT, **given)
            await stage.begin()
            await scene(stage)

        lab.run_virtual(run())

    def check_whole(self, answer: lab.Answer) -> None:
        """Check that the response is complete, in order, and from a single generation."""
        self.assertIsNone(answer.fault)
        self.assertTrue(answer.ended, f"ended after {len(answer.texts)} tokens")
        self.assertTrue(answer.is_correct, answer.texts[:20])

    async def begin_record(
        self, stage: lab.Lab, prompt: str = "a long record", class_name: str = "record"
    ) -> tuple[lab.Answer, "asyncio.Task[lab.Answer]"]:
        """Start a call and wait until some of its tokens have arrived."""
        answer, task = stage.begin_call("katalog", class_name, prompt)
        while not answer.texts and not task.done():
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        return answer, task
