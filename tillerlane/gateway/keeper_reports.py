"""What one entry reports to its keepers, and requests from them, by itself."""

from collections.abc import Callable

from tillerlane.gateway import directory as directories
from tillerlane.gateway import homes
from tillerlane.gateway.backpressure import backoff as backoffs
from tillerlane.gateway.backpressure import limits, permits
from tillerlane.gateway.delivery import stop_notices
from tillerlane.gateway.failures import reports as failure_reports
from tillerlane.gateway.quarantine import suspects
from tillerlane.gateway.returns import table as return_tables
from tillerlane.peers import link as links
from tillerlane.peers import messages

__all__ = ["KeeperReports"]


class KeeperReports:
    """Messages of one entry to its home keepers.

    What must not be lost goes to all of them, since any may be cut off; hints go to the primary.

    Parameters
    ----------
    get_homes : callable
        Gives the entry's links to its home keepers.
    entry : str
        Name of the entry.
    """

    def __init__(self, get_homes: Callable[[], homes.Homes], entry: str) -> None:
        self._get_homes = get_homes
        self._entry = entry

    def send_exits(self, exits: list[suspects.TargetExit]) -> None:
        """Send target exits to all home keepers, since any of them may be cut off."""
        self.send_to_keepers(suspects.encode_exits(exits))

    def send_trial(self, keys: list[str]) -> None:
        """Report to all home keepers that a suspect request has been sent as a trial."""
        self.send_to_keepers(messages.SuspectTrials(keys))

    def notify_limit(self, record: limits.LimitRecord) -> None:
        """Send the limit that a target has named to all home keepers."""
        self.send_to_keepers(limits.encode_records([record]))

    def notify_leaving(self, target: directories.Target) -> None:
        """Report to all home keepers that a target leaves."""
        self.send_to_keepers(directories.encode_states([target]))

    def notify_stop(self, notice: stop_notices.StopNotice) -> None:
        """Tell the other entries, through all home keepers, of a run that is ordered to stop."""
        message = stop_notices.encode_notices([notice], self._entry)
        stop_notices.send_where_accepted(self._get_homes().list_links(), message)

    def send_to_keepers(self, message: messages.Body) -> None:
        for link in self._get_homes().list_links():
            links.try_send(link, message)

    def notify_backoff(self, record: backoffs.BackoffRecord) -> None:
        """Report to one keeper that a target requested back-off; a hint may be lost."""
        self.send_to_primary(backoffs.encode_hints([(record.target_id, record.until)]))

    def send_to_primary(self, message: messages.Body) -> None:
        link = self._get_homes().get_primary()
        if link is not None:
            links.try_send(link, message)

    def notify_failures(self, reported: list[failure_reports.Report]) -> None:
        """Report targets that fail requests, or serve them again, to all home keepers."""
        self.send_to_keepers(failure_reports.encode_reports(reported))

    def notify_returns(self, refused: list[return_tables.RefusedCaller]) -> None:
        """Report refused callers to one keeper; a caller whose turn is lost is a new one."""
        self.send_to_primary(return_tables.encode_returns(refused))

    async def request_permits(
        self, requests: list[messages.PermitWish]
    ) -> list[messages.PermitGrant]:
        """Request permits through the primary keeper.

        Raises
        ------
        links.LinkLost, faults.FaultError
            Without a reply.
        """
        link = self._get_homes().get_primary()
        if link is None:
            raise links.LinkLost("no keeper to request permits from")
        reply = await link.call(messages.PermitRequest(requests), permits.REPLY_TIMEOUT_SECONDS)
        assert isinstance(reply, messages.PermitReply)
        return reply.grants
