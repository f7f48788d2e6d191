"""Claims: which request that may not be repeated was given to which generation, and its end.

A claim is opened before the request is sent.  It moves to another generation only after the
former one truly did not run, and is dropped only then or by age.
"""

import collections
import dataclasses
from typing import Any

from tillerlane.keeper import commands

__all__ = ["Claim", "ClaimTable"]


@dataclasses.dataclass(slots=True)
class Claim:
    """One claimed request; ``state`` is ``open``, ``ended`` or ``fault``."""

    digest: str
    generation_id: str
    attempt: int
    expires_ms: int
    state: str = "open"
    tokens: int = 0
    texts: list[str] | None = None
    fault: str = ""


class ClaimTable:
    """All claims, by workspace and key, in order of their opening."""

    def __init__(self) -> None:
        self._claims: collections.OrderedDict[tuple[str, str], Claim] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def open(self, command: commands.ClaimOpen) -> dict[str, Any]:
        """Grant a claim, or give the one that exists."""
        self._expire(command.at_ms)
        key = (command.workspace, command.key)
        known = self._claims.get(key)
        if known is not None and known.expires_ms > command.at_ms:
            is_own = known.generation_id == command.generation_id and known.state == "open"
            return _answer(known, is_own)
        claim = Claim(command.digest, command.generation_id, 1, command.expires_ms)
        self._claims[key] = claim
        self._claims.move_to_end(key)
        return _answer(claim, True)

    def move(self, command: commands.ClaimMove) -> dict[str, Any]:
        """Give an open claim to its next attempt."""
        claim = self._claims.get((command.workspace, command.key))
        if claim is None:
            return {"granted": False, "claim": None}
        if claim.generation_id == command.generation_id:
            return _answer(claim, True)
        granted = claim.state == "open" and claim.attempt == command.attempt
        if granted:
            claim.generation_id = command.generation_id
            claim.attempt += 1
        return _answer(claim, granted)

    def settle(self, command: commands.ClaimSettle) -> dict[str, Any]:
        """Store an end; the first one stays."""
        claim = self._claims.get((command.workspace, command.key))
        if claim is None or claim.attempt != command.attempt or claim.state != "open":
            return {"settled": False}
        claim.state = command.outcome
        claim.tokens = command.tokens
        claim.texts = command.texts
        claim.fault = command.fault
        return {"settled": True}

    def release(self, command: commands.ClaimRelease) -> dict[str, Any]:
        """Drop an open claim whose generation truly did not run."""
        key = (command.workspace, command.key)
        claim = self._claims.get(key)
        if claim is None or claim.generation_id != command.generation_id or claim.state != "open":
            return {"released": False}
        del self._claims[key]
        return {"released": True}

    def _expire(self, now_ms: int) -> None:
        """Drop claims past their age, oldest first."""
        while self._claims:
            key = next(iter(self._claims))
            if self._claims[key].expires_ms > now_ms:
                return
            del self._claims[key]

    def dump(self) -> list[Any]:
        """All claims as JSON values."""
        return [[*key, dataclasses.asdict(claim)] for key, claim in self._claims.items()]

    def load(self, values: list[Any]) -> None:
        """Take over what `dump` gave."""
        self._claims.clear()
        for workspace, key, claim in values:
            self._claims[workspace, key] = Claim(**claim)


def _answer(claim: Claim, granted: bool) -> dict[str, Any]:
    return {"granted": granted, "claim": dataclasses.asdict(claim)}
