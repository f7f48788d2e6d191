"""Reports that targets fail requests, as messages and as a table of what has been reported."""

import asyncio
from collections.abc import Iterable

from tillerlane.decisions import failing
from tillerlane.peers import codec, messages

__all__ = ["MAX_TARGETS", "Report", "ReportTable", "decode_reports", "encode_reports"]

MAX_TARGETS = 1_000
"""Bound on memory: half the targets of the largest pool that is to be supported may be reported."""
MAX_ID_CHARACTERS = 200
MIN_EXTENSION_SECONDS = 0.1
"""How much later a back-off must end to be passed on again; the ages of reports differ by their
ways."""
ECHO_SECONDS = 0.3
"""How long after a success a report is ignored that ends no later than the former back-off: it was
sent before the success, and took a slower way between keepers."""
RETENTION_SECONDS = 30.0
"""How long after a back-off a success is still passed on."""

Report = tuple[str, float]
"""Id of a target, and the event-loop time until which it is avoided; 0 after a success."""


class ReportTable:
    """Reported back-offs of targets that have served no request since, at one daemon."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._ended: dict[str, tuple[float, float]] = {}
        """Former end of each back-off that a success has ended, and when that was."""

    def merge(self, report: Report, now: float) -> bool:
        """Merge a report; whether it changed anything."""
        target_id, until = report
        known = self._until.get(target_id, 0.0)
        if not until:
            if target_id not in self._until:
                return False
            del self._until[target_id]
            self._ended[target_id] = known, now
            return True
        former_until, ended_at = self._ended.get(target_id, (0.0, 0.0))
        if now - ended_at < ECHO_SECONDS and until <= former_until + MIN_EXTENSION_SECONDS:
            return False
        if until <= max(known, now) + MIN_EXTENSION_SECONDS:
            return False
        if target_id not in self._until and len(self._until) >= MAX_TARGETS:
            return False
        self._until[target_id] = until
        return True

    def expire(self, now: float) -> None:
        """Drop what no longer counts."""
        for target_id, until in list(self._until.items()):
            if now - until > RETENTION_SECONDS:
                del self._until[target_id]
        for target_id, (_, ended_at) in list(self._ended.items()):
            if now - ended_at >= ECHO_SECONDS:
                del self._ended[target_id]


def encode_reports(reports: Iterable[Report]) -> messages.TargetFailures:
    """Encode reports as a message."""
    now = asyncio.get_running_loop().time()
    # A time of 0 means that the target serves requests again.
    rows = [
        (target_id, max(1, round((until - now) * 1000)) if until else 0)
        for target_id, until in reports
    ]
    return messages.TargetFailures([row[0] for row in rows], [row[1] for row in rows])


def decode_reports(message: messages.TargetFailures) -> list[Report]:
    """Decode reports from a message; skips rows with empty or overlong ids.

    Raises
    ------
    faults.FaultError
        Of kind ``bad_request`` if its columns differ in length.
    """
    codec.check_columns("target failures", message.target_ids, message.left_ms)
    now = asyncio.get_running_loop().time()
    return [
        (target_id, now + min(left_ms / 1000, failing.MAX_BACKOFF_SECONDS) if left_ms else 0.0)
        for target_id, left_ms in zip(message.target_ids, message.left_ms, strict=True)
        if 0 < len(target_id) <= MAX_ID_CHARACTERS
    ]
