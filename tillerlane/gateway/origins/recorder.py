"""An entry's own part in the origins of streams: records them and reports them to keepers."""

import weakref
from collections.abc import Callable

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import batching, routes
from tillerlane.gateway import directory as directories
from tillerlane.gateway.origins import table
from tillerlane.peers import link as links

__all__ = ["OriginRecorder"]

MIN_INTERVAL_SECONDS = 0.02
"""Least interval between two reports.  A stream is recorded when its request is sent, and a runner
takes longer than this to read a prompt."""
MAX_INTERVAL_SECONDS = 0.5
INTERVAL_PER_ENTRY_SECONDS = 0.0013
"""Interval for each entry of the fleet, so that a keeper of five gets some 300 reports a second,
each of which costs it 150 bytes and 20 us besides its records.  Streams that an entry began within
the last interval are lost with it."""
ONE_VERSION_INTERVAL_FACTOR = 10
"""How much longer the interval is while the runners of each pool have one version: a report is of
use only if another version starts within the life of its streams."""
MAX_FULLY_REPORTED_ENTRIES = 64
"""Up to this many entries report to all their home keepers while there is one version, and to one
of them in larger fleets, which halves what keepers get without a release."""


class OriginRecorder:
    """Origins of the streams that one entry has started, or has been asked to resume.

    Parameters
    ----------
    directory : directories.Directory
        Knows the versions of runners.
    list_keepers : callable
        Links to the home keepers.
    now : callable
        Time of the event loop.
    """

    def __init__(
        self,
        directory: directories.Directory,
        list_keepers: Callable[[], list[links.Link]],
        now: Callable[[], float],
    ) -> None:
        self.table = table.OriginTable(now)
        self._directory = directory
        self._list_keepers = list_keepers
        self._batcher = batching.UpdateBatcher[table.Record](MIN_INTERVAL_SECONDS, self._send)
        self._entry_count = 0
        self._mixed: set[str] = set()
        """Pools with several versions since all earlier streams were reported."""
        self._capable: weakref.WeakSet[links.Link] = weakref.WeakSet()
        """Links of keepers that take reports; one of an earlier version would end its link."""
        self.has_met_capable = False
        """Whether any keeper has taken reports; one of an earlier version knows no versions."""

    def list_keepers(self) -> list[links.Link]:
        """Links to the home keepers that take reports and answer queries."""
        return [link for link in self._list_keepers() if link in self._capable]

    def set_entry_count(self, number: int) -> None:
        """Report less often in a large fleet."""
        self._entry_count = number
        self._set_interval()

    def _set_interval(self) -> None:
        factor = 1 if self._mixed else ONE_VERSION_INTERVAL_FACTOR
        seconds = self._entry_count * INTERVAL_PER_ENTRY_SECONDS * factor
        self._batcher.interval = min(
            max(MIN_INTERVAL_SECONDS, seconds), MAX_INTERVAL_SECONDS * factor
        )

    def record(self, admission: admissions.Admission, target: directories.Target) -> None:
        """Record that a stream is requested from a target: a new one, or one that is resumed."""
        if not admission.is_stream or not admission.route.is_resumable:
            return
        facts = admission.facts
        began_as = facts.resumes if facts.last_event_id else facts.request_id
        if not began_as:
            return
        key = table.compute_key(admission.workspace_name, began_as)
        known = self.table.find(key)
        attempt = known.attempt + 1 if known is not None else 1
        origin = table.Origin(
            target.pool, target.software_version, attempt, admission.caller_deadline
        )
        self.table.add(key, origin)
        self._batcher.add(str(key), (key, origin))
        if known is not None and not known.has_same_version(origin):
            self._batcher.flush()  # what keepers know would be wrong if this entry were killed

    def handle_target_change(self, target: directories.Target) -> None:
        """Report all streams known here once the runners of a pool have several versions."""
        is_mixed = len(self._directory.list_software_versions(target.pool)) > 1
        if is_mixed and target.pool not in self._mixed:
            self._mixed.add(target.pool)
            self._set_interval()
            self._send(self.table.list_all())
        elif not is_mixed and target.pool in self._mixed:
            self._mixed.discard(target.pool)
            self._set_interval()

    def handle_keeper(self, link: links.Link) -> None:
        """Report all streams known here to a keeper on a new link, which may have restarted."""
        if link in self._capable:
            return
        self._capable.add(link)
        self.has_met_capable = True
        for message in table.encode_origins(self.table.list_all()):
            links.try_send(link, message)

    def has_several_versions(self, route: routes.Route) -> bool:
        """Whether the runners of one of a route's pools have several versions."""
        return any(len(self._directory.list_software_versions(pool)) > 1 for pool, _ in route.pools)

    def _send(self, records: list[table.Record]) -> None:
        """Send records to home keepers: to several, since any of them may be lost."""
        keepers = self.list_keepers()
        if not self._mixed and self._entry_count > MAX_FULLY_REPORTED_ENTRIES:
            del keepers[1:]
        for message in table.encode_origins(records):
            for link in keepers:
                links.try_send(link, message)
