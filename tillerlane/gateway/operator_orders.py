"""Operators' documents and orders at one keeper: published through the log, and read back."""

import zlib
from collections.abc import Awaitable, Callable
from typing import Any

from tillerlane.config import store as stores
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.gateway import directory as directories
from tillerlane.keeper import commands, freshness, proposals, replica
from tillerlane.timeline import core as timelines

__all__ = ["OperatorOrders"]

MAX_HALL_CHARACTERS = 100
MAX_EVACUATED_HALLS = 100
"""Bounds on operators' orders; the fleet that is to be supported has 16 data halls."""


class OperatorOrders:
    """Handles what operators send to one keeper.

    Parameters
    ----------
    log : replica.Replica
        State that is committed here.
    propose : callable
        Proposes a command to the log.
    fresh : freshness.KeeperFreshness
        Knows how old the state may be.
    max_read_lag_seconds : float
        Reads are answered only while everything committed this long ago is known to be held here.
    directory : directories.Directory
        Known targets, for the log line of an evacuation.
    now : callable
        Time of day in seconds.
    timeline : timelines.Timeline
        Log of decisions.
    """

    def __init__(
        self,
        log: replica.Replica,
        propose: Callable[[bytes], Awaitable[dict[str, Any]]],
        fresh: freshness.KeeperFreshness,
        max_read_lag_seconds: float,
        directory: directories.Directory,
        now: Callable[[], float],
        timeline: timelines.Timeline,
    ) -> None:
        self._replica = log
        self._propose = propose
        self._freshness = fresh
        self._max_read_lag_seconds = max_read_lag_seconds
        self._directory = directory
        self._now = now
        self._timeline = timeline

    async def publish(self, version: int, document: bytes) -> dict[str, Any]:
        """Publish a checked document; returns once it, or a higher version, is committed.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if it may or may not be committed later.
        """
        held = self._replica.state_machine.published.version
        if version <= held:
            return {"taken": False, "version": held}
        content = zlib.compress(document, 6)
        at_ms = int(self._now() * 1000)
        command = commands.encode(commands.Publish(version, content, at_ms))
        answer = await self._propose(command)
        self._timeline.record("config.published", version=version, answer=answer)
        return answer

    def list_evacuated(self) -> frozenset[str]:
        """Data halls whose targets get no new work, according to what is committed here."""
        return self._replica.state_machine.store.list_names(stores.EVACUATIONS)

    async def evacuate(self, data_hall: str, evacuated: bool) -> dict[str, Any]:
        """Start or end the evacuation of a data hall; returns once that is committed.

        An order that a concurrent one has overtaken is proposed again while its caller waits, and
        only then: see `commands.Evacuate`.

        Raises
        ------
        faults.FaultError
            ``bad_request`` if the name is invalid, ``no_quorum`` if the order may or may not be
            committed later.
        """
        self._check_hall(data_hall)
        against = self._replica.state_machine.store.version
        while True:
            at_ms = int(self._now() * 1000)
            command = commands.Evacuate(data_hall, evacuated, against, "platform", at_ms)
            answer = await self._propose(commands.encode(command))
            self._timeline.record(
                "evacuation.order",
                data_hall=data_hall,
                evacuated=evacuated,
                against=against,
                known=any(item.data_hall == data_hall for item in self._directory.targets.values()),
                answer=answer,
            )
            if answer["accepted"]:
                return answer
            against = answer["version"]

    def _check_hall(self, data_hall: str) -> None:
        """Reject an invalid name of a data hall; one without targets now may get some later."""
        is_name = 0 < len(data_hall) <= MAX_HALL_CHARACTERS and data_hall.isprintable()
        is_many = len(self.list_evacuated() - {data_hall}) >= MAX_EVACUATED_HALLS
        if not is_name or is_many:
            message = f"bad data hall {data_hall[:MAX_HALL_CHARACTERS]!r}, or too many evacuated"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.BAD_REQUEST, message))

    def get_publication(self) -> bytes:
        """The document in force.

        Raises
        ------
        faults.FaultError
            ``no_quorum`` if a newer one may be in force, ``not_found`` if there is none.
        """
        age = self._freshness.compute_age()
        if age is None or age > self._max_read_lag_seconds:
            raise proposals.build_no_quorum(f"last contact with the leader was {age} s ago")
        current = self._replica.state_machine.published.current
        if current is None:
            message = "no configuration has been published yet"
            raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
        return zlib.decompress(current.content)
