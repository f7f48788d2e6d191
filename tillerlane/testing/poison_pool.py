"""A pool whose targets end under some requests and come back seconds later, in virtual time."""

import asyncio
from collections.abc import Collection

from tillerlane.testing import gateway_lab, platform_runner

__all__ = ["REACTION_SECONDS", "RESTART_DELAY_SECONDS", "PoisonPool"]

RESTART_DELAY_SECONDS = 3.0
"""How long a target is away after it ended."""
HEARTBEAT_SECONDS = 1.0
REACTION_SECONDS = 3.0
"""Time after the third end from which a request's further sends are counted."""


class PoisonPool:
    """Targets that end under deadly requests and come back under new ids.

    Parameters
    ----------
    stage : gateway_lab.GatewayLab
        Their fleet.
    bodies : collection of bytes
        Bodies of the requests that are deadly.
    name : str
        Of the pool.
    length : int
        Events of a stream; 0 for a plain service.

    Attributes
    ----------
    targets : list
        All that ever started.
    """

    def __init__(
        self, stage: gateway_lab.GatewayLab, bodies: Collection[bytes], name: str, length: int
    ) -> None:
        self.targets: list[platform_runner.PlatformRunner] = []
        self._stage = stage
        self._bodies = frozenset(bodies)
        self._name = name
        self._length = length
        self._tasks = {asyncio.create_task(self._tell())}

    async def start_one(self) -> None:
        """Start one more target."""
        target_id = f"{self._name}-{len(self.targets) + 1}"
        target = await self._stage.add_runner(target_id, self._name, length=self._length)
        target.poison_bodies = self._bodies
        target.on_crash = lambda target: self._tasks.add(asyncio.create_task(self._come_back()))
        self.targets.append(target)

    async def _tell(self) -> None:
        """Send heartbeats of the targets that live."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for target in self.targets:
                if self._stage.keepers and not target.has_crashed:
                    self._stage.beat(target.target_id, self._name)

    async def _come_back(self) -> None:
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        while not self._stage.keepers:
            await asyncio.sleep(HEARTBEAT_SECONDS)
        await self.start_one()

    def list_target_exits(self, body: bytes) -> list[float]:
        """Times of the event loop at which targets ended under a request."""
        found = [
            run.ended_at
            for target in self.targets
            for run in target.ran
            if run.body == body and run.ended == "crashed"
        ]
        return sorted(found)

    def count_sends(self, body: bytes, since: float) -> int:
        """Runs of a request that began later than a time of the event loop."""
        return sum(
            run.began > since and run.body == body for item in self.targets for run in item.ran
        )

    def count_late_sends(self, body: bytes) -> int:
        """Sends of a request later than the reaction time after its third end."""
        ends = self.list_target_exits(body)
        return self.count_sends(body, ends[2] + REACTION_SECONDS) if len(ends) >= 3 else 0
