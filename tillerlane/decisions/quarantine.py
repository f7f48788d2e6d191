"""Decides which requests are held back because targets that ran them exited.

A poison request, also known as a query of death, makes each target that starts to run it exit.  The
cause may be the whole request, which its caller repeats at any entry, or one part of its prompt,
which other requests have too.  Sound requests share the other parts, or are on the targets that
exit.

An exit counts against all parts of a request that had just begun there.  A run that gets past its
beginning clears the parts that it has.  Where several parts fit all exits, a request with only some
of them is sent alone as a trial: it clears them if it begins well, and if its target exits, the
exit counts against them and not against the others.  So is, more and more rarely, a request for
which there is no other explanation, since the targets may have exited for another reason.
"""

import dataclasses
from collections.abc import Callable, Collection, Mapping

__all__ = [
    "MIN_PART_EXITS",
    "MIN_TARGET_EXITS",
    "PROOF_SECONDS",
    "Exit",
    "compute_part_pauses",
    "compute_pause",
    "is_poison",
]

MIN_TARGET_EXITS = 3
"""Target exits under a request, without a run of it that completed, from which on it is held back.
It is the users' bound on the damage by one such request.  In 200 simulations of five runners, one
such request takes 69 runners per simulation if nothing is held back.  With three it takes 3.0, and
0.5 of 10,000 innocent requests are held back; with two it takes 2.0, and 1.2 of 10,000
(`benchmarks.quarantine`)."""
MIN_PART_EXITS = 2
"""Target exits under a part of prompts from which on requests with it are only sent as trials."""
PROOF_SECONDS = 0.5
"""Time after its first event from which on a run has got past its beginning: poison parts have
ended targets 0.04 to 0.12 s after the head of the response."""
PART_PAUSES_SECONDS = (2.0, 20.0, 3600.0)
"""Pauses after the latest exit before a trial, by the number of trials that ended their targets.
After the fifth exit the users allow three more sends of a poison part."""
REQUEST_PAUSES_SECONDS = (60.0, 3600.0)
"""The same for a request that is repeated; after its third exit the users allow three sends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """A target that exited under a part of a prompt, and whether in a trial."""

    target_id: str
    is_trial: bool = False


def is_poison(target_exits: int) -> bool:
    """Whether a request with this number of target exits is held back."""
    return target_exits >= MIN_TARGET_EXITS


def compute_pause(failed_trials: int, pauses: tuple[float, ...]) -> float | None:
    """Seconds after the latest exit before the next trial; None if there is no further one."""
    return pauses[failed_trials] if failed_trials < len(pauses) else None


def compute_part_pauses(
    exits: Mapping[str, Collection[Exit]],
    is_explained: Callable[[str], bool],
    has_other_request: Callable[[Collection[str]], bool],
) -> dict[str, float | None]:
    """Pauses before a request may be sent as a trial, by those of its parts that are suspect.

    Parameters
    ----------
    exits : mapping
        Exits that count against each part of the request's prompt.
    is_explained : callable
        Whether a suspect part that the request does not have fits the exit of a target.
    has_other_request : callable
        Whether one other request was at all of these targets.  Then that request as a whole may be
        the cause, and not a part that they have in common.

    Returns
    -------
    dict
        Seconds after the latest exit under the part; None if no further trial is allowed.  Empty
        if the request may be sent freely.
    """
    pauses: dict[str, float | None] = {}
    for part, found in exits.items():
        if len(found) < MIN_PART_EXITS:
            continue
        unexplained = [item for item in found if not is_explained(item.target_id)]
        if not unexplained or has_other_request([item.target_id for item in found]):
            pauses[part] = 0.0
            continue
        failed_trials = sum(item.is_trial for item in unexplained)
        pauses[part] = compute_pause(failed_trials, PART_PAUSES_SECONDS)
    return pauses
