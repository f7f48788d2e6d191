"""A keeper's part in loads: passes entries' reports on, and sends the sums to its subscribers."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping

from tillerlane.gateway import silence
from tillerlane.gateway.load import aggregation as loads
from tillerlane.peers import link as links
from tillerlane.peers import messages
from tillerlane.timeline import core as timelines

__all__ = ["LoadDistribution"]

URGENT_LOADS_INTERVAL_SECONDS = 0.02
"""Least interval between two batches for other keepers, and two digests of large changes."""
MAX_DIGESTS_PER_SECOND = 1_000
"""Load digests that a keeper sends at most: with more than 20 entries subscribed to loads, the
interval grows.  A digest costs the keeper 35 us, so these are 3.5% of a core."""
LOADS_INTERVAL_SECONDS = 0.12
"""Least interval between two digests of smaller changes."""
MAX_LOADS_INTERVAL_SECONDS = 1.0
"""Longest interval between two digests, and until small changes are sent: a third of the time for
which a digest counts."""


class LoadDistribution:
    """Load reports and digests at one keeper.

    Parameters
    ----------
    aggregator : loads.LoadAggregator
        Loads of all entries.
    subscribers : mapping
        Links of subscribed entries to their subscriptions.
    send_to_keepers : callable
        Sends a message to all other keepers.
    timeline : timelines.Timeline
        Log of decisions.
    """

    def __init__(
        self,
        aggregator: loads.LoadAggregator,
        subscribers: Mapping[links.Link, messages.Subscribe],
        send_to_keepers: Callable[[messages.Body], None],
        timeline: timelines.Timeline,
    ) -> None:
        self._loads = aggregator
        self._subscribers = subscribers
        self._send_to_keepers = send_to_keepers
        self._timeline = timeline
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Pass entries' load reports on to other keepers, and send the sums to subscribers."""
        last_due_at = last_paced_at = 0.0
        while True:
            subscriptions = sum(subscription.loads for subscription in self._subscribers.values())
            await asyncio.sleep(
                max(URGENT_LOADS_INTERVAL_SECONDS, subscriptions / MAX_DIGESTS_PER_SECOND)
            )
            now = self._loop.time()
            dropped = self._loads.expire(now)
            if dropped:
                self._timeline.record(
                    "loads.expired", entries=dropped, after_s=loads.REPORT_TTL_SECONDS
                )
            forwarded = self._loads.build_forwarded()
            if forwarded is not None:
                self._send_to_keepers(forwarded)
            is_due = now - last_due_at > MAX_LOADS_INTERVAL_SECONDS
            is_paced = now - last_paced_at > LOADS_INTERVAL_SECONDS
            min_change = loads.MIN_CHANGE_TOKENS if is_paced else loads.URGENT_CHANGE_TOKENS
            digest = self._loads.build_delta_digest(min_change, is_due=is_due)
            if is_due:
                last_due_at = now
            if is_paced:
                last_paced_at = now
            for link, subscription in list(self._subscribers.items()):
                if not subscription.loads:
                    continue
                if digest is not None:
                    self.send_digest(link, digest)
                else:
                    link.keep_alive(silence.KEEP_ALIVE_SECONDS)

    def send_digest(self, link: links.Link, digest: messages.LoadDigest) -> None:
        included = self._loads.get_included_sequence(self._subscribers[link].entry)
        links.try_send(link, dataclasses.replace(digest, included=included))
