"""Parts of prompts that end each runner of the soak that begins to answer them."""

import dataclasses
import random

from tillerlane.testing import platform_checker

__all__ = ["Prompts", "check"]

COMMON_PARTS = ("aa0", "aa1", "aa2")
"""Sound parts; each prompt begins with one of them."""
POISON_SHARE = 0.15
"""Share of the prompts that have a poison part, once there is one."""
ALLOWED_EXITS = 5
REACTION_SECONDS = 3.0
MAX_LATE_SENDS = 3
"""Sends of a part that may reach runners later than the reaction time after its fifth exit."""


@dataclasses.dataclass(slots=True)
class Prompts:
    """Draws the parts of prompts.

    Attributes
    ----------
    poison : list of str
        Parts that end runners.
    """

    rng: random.Random
    poison: list[str] = dataclasses.field(default_factory=list)

    def add_poison(self) -> None:
        """Make one more part end runners from now on."""
        self.poison.append(f"bad{len(self.poison)}")

    def draw(self, request_id: str) -> str:
        """Draw the parts of a prompt, in the form of the platform's header."""
        parts = [self.rng.choice(COMMON_PARTS)]
        if self.poison and self.rng.random() < POISON_SHARE:
            parts.insert(self.rng.randrange(2), self.rng.choice(self.poison))
        parts.append(request_id.encode().hex())
        return ",".join(f"{part}:50" for part in parts)


def check(seen: platform_checker.Observations, poison: list[str]) -> list[str]:
    """Return a description of each part that was sent to runners for too long.

    Only where no daemon had a fault: a restarted or isolated one may know less for a while.
    """
    if not seen.are_daemons_sound:
        return []
    problems = []
    for part in poison:
        runs = [run for ran in seen.ran.values() for run in ran if part in run.shared_parts]
        exits = sorted(run.ended_at for run in runs if run.ended == "crashed")
        if len(exits) < ALLOWED_EXITS:
            continue
        since = exits[ALLOWED_EXITS - 1] + REACTION_SECONDS
        late = sum(run.began > since for run in runs)
        if late > MAX_LATE_SENDS:
            problems.append(f"{part}: {late} late sends, {len(exits)} exits")
    return problems
