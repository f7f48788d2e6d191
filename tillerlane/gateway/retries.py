"""Sends a request to one target after another until it is answered or may not be sent again.

A request that may run only once is sent again only while every target that received it guarantees
that it did not run.  Any other request is retried within its route's attempts and the fleet's retry
budget.
"""

import asyncio
import dataclasses

from tillerlane.gateway import admission as admissions
from tillerlane.gateway import (
    availability,
    outcomes,
    refusals,
    reservations,
    routes,
    selection,
    sending,
    shares,
    stopping,
)
from tillerlane.gateway import budget as budgets
from tillerlane.gateway import directory as directories
from tillerlane.gateway import metrics as entry_metrics
from tillerlane.gateway import usage as usages
from tillerlane.gateway.queue import choosing, offers
from tillerlane.gateway.queue import finder as finders
from tillerlane.timeline import core as timelines

__all__ = ["RetryingSender"]

FIRST_ATTEMPT_SHARE = 0.5
"""Share of a repeatable request's time after which another target is tried."""
MAX_UNSENT_ATTEMPTS = 3
"""Unreachable targets that are tried before a request is refused."""
MAX_REJECTIONS = 3
"""Rejections by targets after which a request is refused."""


class RetryingSender:
    """Finds targets for requests, and sends them.

    Parameters
    ----------
    sender : sending.Sender
        Sends a request to one target.
    finder : finders.TargetFinder
        Finds targets, and lets requests wait for them.
    selector : selection.Selector
        Records targets that can't be reached.
    available : availability.Availability
        Knows targets' limits, for the log.
    usage : usages.Usage
        Knows targets' load, for the log.
    budget : budgets.RetryBudget
        Bounds retries.
    reserved : reservations.Reservations
        Reserves memory at runners before requests are sent.
    workspace_shares : shares.Shares
        Records how long requests of each workspace waited.
    refuser : refusals.RefusalBuilder
        Builds refusals.
    planned_stop : stopping.PlannedStop
        Limits how long a request waits for a target.
    timeline : timelines.Timeline
        Log of decisions.
    metrics : entry_metrics.EntryMetrics
        Counts outcomes.
    """

    def __init__(
        self,
        sender: sending.Sender,
        finder: finders.TargetFinder,
        selector: selection.Selector,
        available: availability.Availability,
        usage: usages.Usage,
        budget: budgets.RetryBudget,
        reserved: reservations.Reservations,
        workspace_shares: shares.Shares,
        refuser: refusals.RefusalBuilder,
        planned_stop: stopping.PlannedStop,
        timeline: timelines.Timeline,
        metrics: entry_metrics.EntryMetrics,
    ) -> None:
        self._planned_stop = planned_stop
        self._sender = sender
        self._finder = finder
        self._selector = selector
        self._available = available
        self._usage = usage
        self._budget = budget
        self._reservations = reserved
        self._shares = workspace_shares
        self._refusals = refuser
        self._timeline = timeline
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def send_with_retries(self, admission: admissions.Admission) -> outcomes.SendResult:
        """Send a request until it is answered or may not be sent again."""
        search = self._finder.begin(
            admission, lambda item: self._sender.refuse_quarantined(item) is not None
        )
        result = outcomes.SendResult(refusals.NotRun("no target available", sent=False))
        unsent_attempts = 0
        while unsent_attempts < MAX_UNSENT_ATTEMPTS:
            found = await self._find(search, result)
            if not isinstance(found, offers.Placement):
                refusal = self._sender.refuse_quarantined(admission) or found
                if refusal is None:
                    return self._finish(search, result)
                return result if result.sends else _build_unsent(search, refusal)
            found.release()  # the reservation and the send count the load themselves
            reservation = await self._reservations.take_if_needed(admission, found.target)
            if isinstance(reservation, reservations.Full):
                continue
            search.excluded.add(found.target.target_id)
            latest = await self._send_attempt(search, found.target, result, reservation)
            result = outcomes.merge_results(result, latest)
            if isinstance(latest.outcome, refusals.NotRun) and not latest.outcome.sent:
                unsent_attempts += not latest.outcome.is_blocked
            elif not self._can_retry(admission, latest):
                break
        return self._finish(search, result)

    async def _find(
        self, search: choosing.Search, former: outcomes.SendResult
    ) -> offers.Placement | refusals.NotRun | None:
        """Find a target, unless the entry stops before the request could be served.

        A request that may have run already has been passed on, and may use the time that is left.
        """
        if search.is_barred:
            return None
        stop, deadline = self._planned_stop, search.admission.deadline
        deadline = min(deadline, stop.ends_at) if former.runs else deadline
        if stop.ends_wait(deadline):
            return stopping.build_refusal()
        try:
            async with stop.limit_wait(deadline):
                return await self._finder.find(search)
        except TimeoutError:
            return stopping.build_refusal()

    def _finish(self, search: choosing.Search, result: outcomes.SendResult) -> outcomes.SendResult:
        """Set a retry time for callers whose request no target accepted."""
        admission = search.admission
        if result.target is None:
            return _build_unsent(search, self._refusals.build_no_target(admission))
        if isinstance(result.outcome, refusals.NotRun):
            outcome = self._refusals.adjust_retry_after(admission, result.outcome)
            return dataclasses.replace(result, outcome=outcome)
        return result

    async def _send_attempt(
        self,
        search: choosing.Search,
        target: directories.Target,
        former: outcomes.SendResult,
        reservation: reservations.Reservation | None,
    ) -> outcomes.SendResult:
        admission = search.admission
        backup = self._sender.choose_backup(admission, target)
        hold = reservation if isinstance(reservation, reservations.Hold) else None
        plan = self._sender.build_plan(
            admission,
            target,
            last_event_id=admission.facts.last_event_id,
            backup=backup,
            hold=hold.id if hold is not None else "",
        )
        until = self._compute_attempt_deadline(admission, former.runs)
        started_at = self._loop.time()
        waited = started_at - admission.request.arrived
        if not former.sends:
            prompt_tokens = admission.facts.prompt_tokens
            self._shares.record_wait(admission.workspace_name, waited, prompt_tokens)
        outcome: outcomes.Outcome | None = None
        try:
            if isinstance(reservation, reservations.Unknown) and reservation.is_unreachable:
                self._selector.failures.record_failure(target.target_id, started_at)
                outcome = refusals.NotRun(reservation.reason, sent=False)
            else:
                outcome = await self._sender.send(admission, target, plan, until=until)
        finally:
            # Without an outcome the caller has left, and a run there is aborted.
            if hold is not None and (outcome is None or isinstance(outcome, refusals.NotRun)):
                self._reservations.drop(hold)
        self._record_send(
            search,
            target,
            outcome,
            former.sends,
            waited,
            plan.hold,
        )
        may_have_run = not isinstance(outcome, refusals.NotRun)
        was_sent = may_have_run or outcome.sent
        return outcomes.SendResult(
            outcome,
            target,
            backup,
            former.sends + was_sent,
            former.runs + may_have_run,
            search.queue_rank,
            search.queue_length,
        )

    def _compute_attempt_deadline(self, admission: admissions.Admission, runs: int) -> float | None:
        """Time at which to stop waiting for a response if another target can be tried after it."""
        if admission.route.repeat is not routes.RepeatPolicy.FREELY:
            return None
        if runs + 1 >= admission.route.max_attempts:
            return None
        now = self._loop.time()
        return now + (admission.deadline - now) * FIRST_ATTEMPT_SHARE

    def _can_retry(self, admission: admissions.Admission, result: outcomes.SendResult) -> bool:
        outcome = result.outcome
        if result.runs >= admission.route.max_attempts or isinstance(outcome, outcomes.Stream):
            return False
        if result.sends - result.runs >= MAX_REJECTIONS:
            return False
        if isinstance(outcome, outcomes.Response) and outcome.head.status < 500:
            return False
        # The target failed or did not answer; another one may succeed.
        if not isinstance(outcome, refusals.NotRun) and not admission.route.is_repeatable:
            return False
        return self._budget.try_acquire(admission.pool.name, self._loop.time())

    def _record_send(
        self,
        search: choosing.Search,
        target: directories.Target,
        outcome: outcomes.Outcome,
        sends: int,
        waited: float,
        hold: str,
    ) -> None:
        admission = search.admission
        kind = outcomes.LABELS[type(outcome)]
        self._metrics.sends.labels(admission.pool.name, kind).inc()
        if isinstance(outcome, outcomes.Response) and outcome.head.status < 500:
            return
        use = self._usage.get(target.address)
        reason = getattr(outcome, "reason", "")
        status = (
            outcome.head.status if isinstance(outcome, outcomes.Response | outcomes.Stream) else 0
        )
        limit = self._available.find_limit(target)
        self._timeline.record(
            "request.send",
            request_id=admission.facts.request_id,
            fingerprint=admission.fingerprint,
            workspace=admission.workspace_name,
            target=target.target_id,
            address=target.address,
            phase=target.phase.value,
            software_version=target.software_version,
            last_event=admission.facts.last_event_id,
            resumes=admission.facts.resumes,
            heard_ms=int((self._loop.time() - target.heard_at) * 1000),
            version=admission.version,
            send=sends + 1,
            waited_ms=int(waited * 1000),
            outcome=kind,
            status=status,
            requests_there=use.requests,
            tokens_there=use.tokens,
            tokens=admission.tokens,
            hold=hold,
            limit=limit,
            reason=reason,
            queue_rank=search.queue_rank,
            queue_length=search.queue_length,
        )


def _build_unsent(search: choosing.Search, refusal: refusals.NotRun) -> outcomes.SendResult:
    """Result of a request that was sent to no target."""
    return outcomes.SendResult(
        refusal, queue_rank=search.queue_rank, queue_length=search.queue_length
    )
