"""A pool whose targets exit under poison requests and restart seconds later, in virtual time."""

import asyncio
from collections.abc import Collection

from tillerlane.testing import gateway_lab, platform_runner

__all__ = ["REACTION_SECONDS", "RESTART_DELAY_SECONDS", "PoisonPool"]

RESTART_DELAY_SECONDS = 3.0
"""Time from a target exit to the start of its replacement."""
HEARTBEAT_INTERVAL_SECONDS = 1.0
REACTION_SECONDS = 3.0
"""Time after the third target exit from which further sends of a request are counted as late."""


class PoisonPool:
    """Targets that exit under poison requests and are replaced under new ids.

    Parameters
    ----------
    stage : gateway_lab.GatewayLab
        Fleet that the targets belong to.
    bodies : collection of bytes
        Bodies of the poison requests.
    name : str
        Name of the pool.
    length : int
        Number of events in a stream; 0 for a plain service.
    parts : collection of str
        Ids of the parts of prompts that make requests poison requests.
    reading_seconds : float
        Prefill time of a stream.

    Attributes
    ----------
    targets : list
        All targets that were ever started.
    """

    def __init__(
        self,
        stage: gateway_lab.GatewayLab,
        bodies: Collection[bytes],
        name: str,
        length: int,
        parts: Collection[str] = (),
        reading_seconds: float = 0.0,
    ) -> None:
        self.targets: list[platform_runner.PlatformRunner] = []
        self._stage = stage
        self._bodies = frozenset(bodies)
        self._name = name
        self._length = length
        self.parts = frozenset(parts)
        self._reading_seconds = reading_seconds
        self._is_close_delimited = False
        self._tasks = {asyncio.create_task(self._send_heartbeats())}

    def set_parts(self, parts: Collection[str]) -> None:
        """Change the parts of prompts under which targets exit, also for those that run."""
        self.parts = frozenset(parts)
        for target in self.targets:
            target.poison_parts = self.parts

    def set_close_delimited(self) -> None:
        """Have all targets, now and later, send responses that end with their connections."""
        self._is_close_delimited = True
        for target in self.targets:
            target.is_close_delimited = True

    async def start_one(self) -> None:
        """Start one more target."""
        target_id = f"{self._name}-{len(self.targets) + 1}"
        target = await self._stage.add_runner(
            target_id, self._name, length=self._length, reading_seconds=self._reading_seconds
        )
        target.poison_bodies = self._bodies
        target.poison_parts = self.parts
        target.is_close_delimited = self._is_close_delimited
        target.on_crash = lambda target: self._tasks.add(asyncio.create_task(self._restart()))
        self.targets.append(target)

    async def _send_heartbeats(self) -> None:
        """Send the heartbeats of the running targets."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            for target in self.targets:
                if self._stage.keepers and not target.has_crashed:
                    self._stage.beat(target.target_id, self._name)

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        while not self._stage.keepers:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
        await self.start_one()

    def list_target_exits(self, body: bytes) -> list[float]:
        """Event-loop times at which targets exited under a request, in order."""
        return _list_exits(self._list_runs(body))

    def count_sends(self, body: bytes, since: float) -> int:
        """Count the runs of a request that started after `since` (event-loop time)."""
        return sum(run.began > since for run in self._list_runs(body))

    def count_late_sends(self, body: bytes) -> int:
        """Count the sends of a request more than `REACTION_SECONDS` after its third target exit."""
        return _count_late(self._list_runs(body), 3)

    def list_part_exits(self, part: str) -> list[float]:
        """Event-loop times at which targets exited under requests with a part, in order."""
        return _list_exits(self._list_part_runs(part))

    def count_late_part_sends(self, part: str) -> int:
        """Count sends with a part more than `REACTION_SECONDS` after its fifth target exit."""
        return _count_late(self._list_part_runs(part), 5)

    def _list_runs(self, body: bytes) -> list[platform_runner.RanRequest]:
        return [run for target in self.targets for run in target.ran if run.body == body]

    def _list_part_runs(self, part: str) -> list[platform_runner.RanRequest]:
        return [run for target in self.targets for run in target.ran if part in run.shared_parts]


def _list_exits(runs: list[platform_runner.RanRequest]) -> list[float]:
    return sorted(run.ended_at for run in runs if run.ended == "crashed")


def _count_late(runs: list[platform_runner.RanRequest], allowed_exits: int) -> int:
    exits = _list_exits(runs)
    if len(exits) < allowed_exits:
        return 0
    since = exits[allowed_exits - 1] + REACTION_SECONDS
    return sum(run.began > since for run in runs)
