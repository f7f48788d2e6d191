"""Decides at which software version a caller's stream is resumed.

What two versions write does not fit together, so that a stream is resumed only at the version that
began it.  An entry that did not relay the beginning asks the keepers for that version.  If they do
not know the stream, it goes on only if all runners that can have begun it have the same version,
and only if a keeper has just confirmed that: an entry or keeper that is cut off may not have heard
yet of a version that has started.
"""

import dataclasses
import enum

__all__ = ["Action", "Knowledge", "decide"]


class Action(enum.Enum):
    """What to do with a request that resumes a stream."""

    ANY = "any"
    """Send it to any runner: only one version can have begun the stream."""
    REQUIRE = "require"
    """Send it to a runner with the version that began the stream."""
    ASK = "ask"
    """Ask the keepers for that version."""
    NO_RUNNER = "no runner"
    """Refuse it: no runner of that version accepts requests."""
    UNKNOWN = "unknown"
    """Refuse it: nobody knows that version, or it is not known yet which runners there are."""


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What an entry knows that bears on a stream.

    Attributes
    ----------
    origin : str or None
        Version that began the stream; None if it is unknown.
    has_several : bool
        Whether the runners of any pool that can have begun it have several versions, with those of
        runners that have left recently.
    usable : frozenset of str
        Versions of the runners that accept requests.
    is_complete : bool
        Whether all runners have had the time to report themselves.
    is_confirmed : bool
        Whether a keeper that reaches a majority of the keepers has answered, or none takes queries.
    """

    origin: str | None
    has_several: bool
    usable: frozenset[str]
    is_complete: bool
    is_confirmed: bool


def decide(known: Knowledge, *, is_asked: bool) -> Action:
    """Decide what to do with a request that resumes a stream.

    Parameters
    ----------
    is_asked : bool
        Whether the keepers have been asked already.
    """
    if known.origin is not None:
        if known.origin in known.usable:
            return Action.REQUIRE
        return Action.NO_RUNNER if known.is_complete else Action.UNKNOWN
    if not is_asked:
        return Action.ASK
    if not known.has_several and known.is_complete and known.is_confirmed:
        return Action.ANY
    return Action.UNKNOWN
