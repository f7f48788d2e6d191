"""Sends a request to one target and reads its response; `retries` decides about further targets."""

import asyncio
import functools

from tillerlane.decisions import copies, event_order, incarnation, placing
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import (
    availability,
    exchanges,
    outcomes,
    refusals,
    reservations,
    runs,
    selection,
    shares,
    stopping,
)
from tillerlane.gateway import dialect as dialects
from tillerlane.gateway import directory as directories
from tillerlane.gateway import feedback as feedbacks
from tillerlane.gateway import usage as usages
from tillerlane.gateway.delivery import cancellation, order_ledger, watch
from tillerlane.gateway.http import http_client, http_head
from tillerlane.gateway.incarnation import checks as incarnation_checks
from tillerlane.gateway.origins import recorder
from tillerlane.gateway.quarantine import exit_detection, guard

__all__ = ["Sender"]

CONNECT_TIMEOUT_SECONDS = 0.3
"""Connecting within a region takes milliseconds; an unreachable target never answers."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
SLOW_RESPONSE_SECONDS = 0.25
"""A target that takes longer than this to answer is avoided; shorter waits may end by the caller's
own short deadline."""
MAX_EVACUATION_SECONDS = 0.45
"""A runner whose runs can all be copied within this time needs no backup copies.  One more run
(0.4 s) and the tokens written meanwhile add to it; together they must stay below the shortest
notice of a leaving runner (1.5 s).  0.45 s serves quiet days better than 0.7 s
(docs/MEASUREMENTS.md)."""
BACKUP_MEMORY_SHARE = 0.6
"""Share of a runner's memory up to which it accepts backup copies of other runners' runs.  The rest
is left for runs, which are preempted when memory runs out."""
RESPONSE_MARGIN_SECONDS = 0.03
"""How long before a request's deadline the response is written."""
MIN_HEAD_CHECK_SECONDS = 0.7
"""Least time after which a stream without a head is looked into; a later objective comes first."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee to a caller that its request did not run and never will."""


class Sender:
    """Sends requests to targets.

    Parameters
    ----------
    dialect : dialects.Dialect
        Encodes requests and decodes responses.
    selector : selection.Selector
        Chooses targets.
    available : availability.Availability
        Knows which targets are blocked, and why.
    feedback : feedbacks.TargetFeedback
        Processes what responses report about their targets.
    usage : usages.Usage
        Counts requests and tokens at targets.
    directory : directories.Directory
        Notifies of targets that have restarted.
    exit_detector : exit_detection.ExitDetector
        Checks targets that broke off a response.
    quarantined : guard.Quarantine
        Knows which requests are quarantined.
    workspace_shares : shares.Shares
        Counts what is served to each workspace.
    origins : recorder.OriginRecorder
        Records which software version begins a stream.
    delivery_watch : watch.DeliveryWatch
        Finds connections that have fallen silent.
    canceller : cancellation.RunCanceller
        Stops runs whose response is abandoned.
    checker : incarnation_checks.IncarnationChecker
        Checks that a target has not restarted before a stream is resumed there.
    ledger : order_ledger.OrderLedger
        Orders to stop runs.
    planned_stop : stopping.PlannedStop
        Limits how long a response is waited for.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        selector: selection.Selector,
        available: availability.Availability,
        feedback: feedbacks.TargetFeedback,
        usage: usages.Usage,
        directory: directories.Directory,
        exit_detector: exit_detection.ExitDetector,
        quarantined: guard.Quarantine,
        workspace_shares: shares.Shares,
        origins: recorder.OriginRecorder,
        delivery_watch: watch.DeliveryWatch,
        canceller: cancellation.RunCanceller,
        checker: incarnation_checks.IncarnationChecker,
        ledger: order_ledger.OrderLedger,
        planned_stop: stopping.PlannedStop,
    ) -> None:
        self._ledger = ledger
        self._planned_stop = planned_stop
        self._checker = checker
        self._watch = delivery_watch
        self._canceller = canceller
        self._origins = origins
        self._shares = workspace_shares
        self._quarantine = quarantined
        self._exit_detector = exit_detector
        self._dialect = dialect
        self._selector = selector
        self._available = available
        self._feedback = feedback
        self._usage = usage
        self._exchanges = exchanges.Exchanges(directory)
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        plan: dialects.ForwardPlan,
        tokens: int | None = None,
        until: float | None = None,
    ) -> outcomes.Outcome:
        """Send a request to a target and read its response: the head of a stream, or all of it.

        `tokens` is the memory that a resumed run is counted with.  `until` is the time of the event
        loop at which waiting for the response ends.
        """
        refusal = self.refuse_quarantined(admission)
        if refusal is not None:
            return refusal
        started_at = self._loop.time()
        until = admission.deadline - RESPONSE_MARGIN_SECONDS if until is None else until
        address = target.address
        unread = admission.facts.prompt_tokens if tokens is None else 0
        tokens = admission.tokens if tokens is None else tokens
        unsaved = tokens if admission.is_long and not plan.backup_address else 0
        self._usage.add(address, requests=1, tokens=tokens, unread=unread, unsaved=unsaved)
        self._usage.record_request(admission.pool.name, started_at)
        exchange: http_client.Exchange | None = None
        keep = False
        try:
            async with self._planned_stop.limit_response(until):
                exchange = await http_client.connect(address, CONNECT_TIMEOUT_SECONDS)
                exchange.set_account(admission.request.account)
                self._exchanges.add(target, exchange)
                if plan.last_event_id and target.software_version:
                    refusal = await self._refuse_replaced(admission, target, exchange)
                    if refusal is not None:
                        return refusal
                refusal = self.refuse_quarantined(admission)
                if refusal is not None:
                    return refusal
                obstacle = self._available.acquire(
                    admission.pool, target, is_resumed=plan.copy is not None
                )
                if obstacle is not None:
                    reason = f"{address} is blocked for this entry: {obstacle.cause.value}"
                    return refusals.NotRun(reason, sent=False, is_blocked=True)
                head = self._dialect.build_forward(admission.request.head, plan)
                self._selector.failures.record_send(target.target_id, self._loop.time())
                exchange.load_at_send = self._usage.get(address)
                self._quarantine.begin_send(admission)
                exchange.send(head, admission.request.body)
                if plan.copy is None:
                    self._record_served(admission, admission.served_tokens)
                if plan.last_event_id == admission.facts.last_event_id:
                    self._origins.record(
                        admission, target.drop_version() if target.is_replaced else target
                    )
                outcome = await self._read_response(admission, target, exchange, plan.last_event_id)
            keep = isinstance(outcome, outcomes.Stream)
            self._record_outcome(
                target, outcome, exchange.sent_at, is_resumed=plan.copy is not None
            )
            if isinstance(outcome, refusals.NotRun):
                self._quarantine.cancel_trial(admission)
                if plan.copy is None:
                    self._record_served(admission, -admission.served_tokens)
            return outcome
        except TimeoutError:
            sent = exchange is not None and exchange.sent
            if not sent:
                return refusals.NotRun(f"{address}: out of time before it was sent", sent=False)
            if self._planned_stop.is_answering:
                return outcomes.Unknown(f"{address}: no answer before the stop", is_late=True)
            if self._loop.time() - started_at > SLOW_RESPONSE_SECONDS:
                self._selector.failures.record_failure(target.target_id, self._loop.time())
            return outcomes.Unknown(f"{address}: no answer in time", is_late=True)
        except watch.SilentConnection as error:
            return outcomes.Unknown(f"{address}: {error}")
        except http_client.ExchangeError as error:
            if not error.sent:
                self._selector.failures.record_failure(target.target_id, self._loop.time())
                return refusals.NotRun(str(error), sent=False)
            assert exchange is not None
            self._selector.failures.record_broken_answer(
                target, admission.fingerprint, self._loop.time(), exchange.sent_at
            )
            await self._exit_detector.check_target(
                admission, target, exchange.sent_at, 0, has_head=exchange.has_head
            )
            return outcomes.Unknown(f"{address}: {error}")
        finally:
            self._usage.add(address, unread=-unread)
            if not keep:
                self._usage.add(address, requests=-1, tokens=-tokens, unsaved=-unsaved)
                if exchange is not None:
                    run = runs.Run(admission.facts.request_id, admission.pool, target, tokens)
                    self._canceller.cancel_if_quiet(run, exchange, admission.deadline)
                    exchange.abort()

    async def _refuse_replaced(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        exchange: http_client.Exchange,
    ) -> refusals.NotRun | None:
        """Refuse to resume a stream unless its connection leads to the known incarnation.

        Checked before the request is sent, so that no run has to be taken back.
        """
        verdict = await self._checker.check(
            admission.pool, target, exchange.connected_at, admission.facts.request_id
        )
        if not verdict.may_resume or target.is_superseded:
            reason = f"{target.target_id}: incarnation is {verdict.value}"
            return refusals.NotRun(reason, sent=False)
        if verdict is incarnation.Verdict.CONFIRMED:
            self._exchanges.confirm(exchange)
        return None

    def _record_served(self, admission: admissions.Admission, tokens: int) -> None:
        """Count tokens as served to the request's workspace; negative ones take that back."""
        pool, workspace = admission.pool.name, admission.workspace_name
        self._shares.record_served(pool, workspace, tokens, self._loop.time())

    def refuse_quarantined(self, admission: admissions.Admission) -> refusals.NotRun | None:
        """Refuse a quarantined request; None if it may be sent.

        Checked on every path to a target, and again once a connection is open: the request may have
        been quarantined while the connection was being set up.  The status is 503 and not 4xx
        because the quarantine follows from what happened to targets, not from the request itself,
        and is lifted if such a request succeeds.
        """
        obstacle = self._quarantine.find_obstacle(admission)
        if obstacle is None:
            return None
        return refusals.NotRun(obstacle.reason, sent=False, retry_after=obstacle.retry_after)

    async def _read_response(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        exchange: http_client.Exchange,
        last_event_id: str,
    ) -> outcomes.Outcome:
        head = await self._read_head(admission, target, exchange, last_event_id)
        facts = self._dialect.decode_response(head)
        is_of_request = facts.request_id == admission.facts.request_id
        if is_of_request and not facts.is_other_target:
            self._feedback.handle_response(
                admission.facts.request_id, target, facts, exchange.sent_at
            )
        if not is_of_request:
            # Targets name the request in every response; any other response proves nothing.
            named = facts.request_id or "none"
            raise http_client.ExchangeError(f"response to another request: {named}", sent=True)
        if not facts.did_run:
            return refusals.NotRun(
                f"turned away, status {head.status}", True, facts.is_other_target
            )
        if admission.is_stream and head.status == 200:
            return outcomes.Stream(head, exchange)
        body = await exchange.read_body(MAX_RESPONSE_BYTES)
        if exchange.is_close_delimited:
            run = runs.Run(admission.facts.request_id, admission.pool, target, admission.tokens)
            confirm_end = functools.partial(self._watch.confirm_end, run, received=None)
            if not await self._ledger.is_end_proven(run, exchange.sent_at, confirm_end):
                reason = "connection closed, and an order may have stopped the run"
                return outcomes.Unknown(f"{target.address}: {reason}")
        if head.status in NOT_RUN_STATUSES:
            # These statuses would guarantee to the caller that nothing ran, which is not known.
            return outcomes.Unknown(f"status {head.status} without a guarantee that nothing ran")
        return outcomes.Response(head, body)

    async def _read_head(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        exchange: http_client.Exchange,
        last_event_id: str,
    ) -> http_head.ResponseHead:
        """Wait for the head of a response; that of a stream only while its connection delivers."""
        if not admission.is_stream or admission.pool.engine is None:
            return await exchange.read_head()
        run = runs.Run(admission.facts.request_id, admission.pool, target, admission.tokens)
        while True:
            try:
                return await self._watch.read(
                    exchange,
                    exchange.read_head,
                    run,
                    received=event_order.parse_number(last_event_id) or 0,
                    has_begun=False,
                    first_check_seconds=max(
                        MIN_HEAD_CHECK_SECONDS, admission.route.objective_seconds
                    ),
                )
            except watch.Unreachable:
                continue  # the run may still go on

    def _record_outcome(
        self,
        target: directories.Target,
        outcome: outcomes.Outcome,
        sent_at: float,
        *,
        is_resumed: bool,
    ) -> None:
        """Record whether a target failed, rejected the request or succeeded.

        Rejecting a run that is resumed does not count: a target without the run's copy may still
        have room for other requests.
        """
        if not isinstance(outcome, refusals.NotRun):
            self._selector.failures.record_success(target.target_id, self._loop.time(), sent_at)
        elif outcome.is_other_target:
            self._selector.failures.record_failure(target.target_id, self._loop.time())
        elif outcome.sent and not is_resumed:
            self._selector.failures.record_rejection(target.target_id, self._loop.time())

    def build_plan(
        self,
        admission: admissions.Admission,
        target: directories.Target,
        *,
        last_event_id: str = "",
        copy: dialects.MemoryCopy | None = None,
        backup: directories.Target | None = None,
        hold: str = "",
    ) -> dialects.ForwardPlan:
        return dialects.ForwardPlan(
            wait_seconds=max(0.001, admission.deadline - self._loop.time()),
            target_id=target.target_id,
            workspace=admission.workspace_name,
            priority=admission.runner_rank,
            last_event_id=last_event_id,
            copy=copy,
            backup_address=backup.address if backup is not None else "",
            hold=hold,
        )

    def choose_backup(
        self, admission: admissions.Admission, target: directories.Target
    ) -> directories.Target | None:
        """Choose a runner for backup copies of a run; short runs are not worth copying.

        It has the software version of the run's target.
        """
        engine = admission.pool.engine
        if engine is None or not engine.can_back_up or not admission.is_long:
            return None
        if (
            self._selector.estimate_evacuation_seconds(admission.pool, target)
            < MAX_EVACUATION_SECONDS
        ):
            return None
        # Without reservations nothing bounds what copies displace, and copies are made as before.
        if reservations.can_reserve(admission.pool) and not copies.should_back_up(
            *self._selector.compute_pool_load(admission.pool), admission.tokens
        ):
            return None
        backup = self._selector.choose(
            admission.pool,
            placing.Work(admission.tokens),
            {target.target_id},
            is_sent_now=False,
            software_version=target.software_version,
        )
        if backup is None:
            return None
        has_room = self._selector.has_room(
            admission.pool, backup, admission.tokens, BACKUP_MEMORY_SHARE
        )
        return backup if has_room else None
