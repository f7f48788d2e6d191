"""Detects that an entry's primary keeper is silent, faster than its link's own time-out."""

from tillerlane.peers import link as links

__all__ = ["KEEP_ALIVE_SECONDS", "SilenceDetector"]

KEEP_ALIVE_SECONDS = 0.06
"""A keeper that has sent nothing for this long sends the entries whose primary it is an empty frame
of 4 bytes, in a loop with a period of 0.02 s.  While loads change, digests take its place."""
SILENCE_SECONDS = 0.15
"""After this time without any bytes the primary is taken for lost.  Together with the interval of
checks it leaves 0.1 s for an answer within the bound of 0.3 s between two digests."""
MAX_SILENCE_SECONDS = 1.2
FALSE_ALARM_SECONDS = 30.0
"""How long a longer silence is allowed after a false alarm.  A keeper with a small share of a core
may be suspended for some tenths of a second again and again, and one of the former version sends
nothing while nothing changes."""


class SilenceDetector:
    """Decides whether a link has been silent for too long."""

    def __init__(self) -> None:
        self._suspected: tuple[links.Link, float] | None = None
        self._false_alarm_at = -FALSE_ALARM_SECONDS
        self.silence_seconds = SILENCE_SECONDS
        """Time that counts as silence, which each false alarm doubles."""

    def suspects(self, link: links.Link, heard_at: float, now: float) -> bool:
        """Whether a link on which something was heard, or asked, at `heard_at` is lost."""
        self._learn(now)
        if now - heard_at <= self.silence_seconds:
            return False
        self._suspected = link, now
        return True

    def _learn(self, now: float) -> None:
        """Allow longer silences if the last link suspected has been heard since."""
        if now - self._false_alarm_at > FALSE_ALARM_SECONDS:
            self.silence_seconds = SILENCE_SECONDS
        if self._suspected is None:
            return
        link, suspected_at = self._suspected
        if link.last_heard > suspected_at:
            self.silence_seconds = min(MAX_SILENCE_SECONDS, 2 * self.silence_seconds)
            self._false_alarm_at = now
            self._suspected = None
        elif not link.is_open:
            self._suspected = None
