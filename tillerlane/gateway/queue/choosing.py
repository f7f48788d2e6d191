"""Chooses a target for a request if one can take it now, and claims memory for one that waits."""

import asyncio
import random
from collections.abc import Callable, Collection

from tillerlane.decisions import queueing, room
from tillerlane.gateway import admission as admissions
from tillerlane.gateway import availability, directory, reservations, selection, startup
from tillerlane.gateway import usage as usages
from tillerlane.gateway.queue import offers

__all__ = ["Chooser", "Search"]

BLOCKED_WAIT_SHARE = 0.2
"""Share of the response-time objective that a request waits for blocked targets before it is
refused with a retry time: the ends of back-offs and cold starts are known, and few fall into it."""
PREFILL_WAIT_SHARE = 0.7
"""Share of the objective that a request waits for a runner whose prefill backlog is small enough;
after that it is sent to the best candidate, since late is better than not at all.  Refusing it at
that point, or after a share of 0.2, makes no difference to other requests on loaded days: long runs
earn 0.70 and 0.71 of their credit against 0.69, short runs 0.79 and 0.78 against 0.78."""
MIN_SEND_SECONDS = 0.02
"""With less time left than this, a target could not answer."""
MAX_PERMIT_REQUESTS = 2
"""Permit requests per caller's request: the first reply may answer an earlier permit request."""
RUN_MEMORY_SHARE = 0.95
"""Share of a runner's memory up to which it gets runs other than the most urgent: active runs still
grow, and requests sent by other entries are reported late."""
CLAIM_SAMPLE_SHARE = 0.5
"""Share of the pool's runners among which a claim is made, so that entries whose requests wait at
the same time claim different ones."""


class Search:
    """State of one request that looks for a target, also over several sends.

    Attributes
    ----------
    excluded : set of str
        Ids of the targets that it was sent to.
    permit_requests : int
        Permits requested for it so far.
    claimed : directory.Target or None
        Runner whose memory it claims, since `claimed_at`.
    offered_at : float
        When there last was memory for it at that runner.
    queue_rank, queue_length : int or None
        Its rank when it began to wait, and the length of the queue; None if it did not wait.
    """

    def __init__(
        self,
        chooser: "Chooser",
        admission: admissions.Admission,
        is_barred: Callable[[admissions.Admission], bool],
    ) -> None:
        self._chooser = chooser
        self._is_barred = is_barred
        self.admission = admission
        self.excluded: set[str] = set()
        self.permit_requests = 0
        self.claimed: directory.Target | None = None
        self.claimed_at = 0.0
        self.offered_at = 0.0
        self.queue_rank: int | None = None
        self.queue_length: int | None = None

    @property
    def is_barred(self) -> bool:
        """Whether the request must not be sent at all, which may change while it waits."""
        return self._is_barred(self.admission)

    def offer(self) -> offers.Offer:
        """Choose a target now; its load is counted provisionally."""
        if self.is_barred:
            return offers.Verdict(offers.VerdictKind.NO_TARGET)
        result = self._chooser.choose(self)
        if isinstance(result, offers.Placement):
            result.count()
        return result

    def offer_claimed(self) -> offers.Placement | None:
        """The claimed runner, if it has memory now; the load is counted provisionally."""
        result = self._chooser.choose_claimed(self)
        if result is not None:
            result.count()
        return result

    def is_hopeless(self) -> bool:
        """Whether no target that could ever take the request is left."""
        return not self._chooser.has_version(self.admission)

    def claim(self) -> None:
        """Claim memory at a runner, or at another one if that can't be used any more."""
        if not self.is_barred:
            self._chooser.claim(self)

    def release_claim(self) -> None:
        """End the claim, if there is one."""
        self._chooser.release_claim(self)


class Chooser:
    """Chooses targets that can take a request now.

    Parameters
    ----------
    selector : selection.Selector
        Chooses the best target.
    available : availability.Availability
        Knows which targets are blocked, and why.
    usage : usages.Usage
        Load of targets.
    targets : directory.Directory
        Known targets.
    starting : startup.Startup
        Knows whether targets may still be undiscovered.
    reserved : reservations.Reservations
        Knows how much of a runner's memory long runs may take.
    rng : random.Random
        Samples the runners to claim.  It is not the selector's, whose choices don't depend on
        claims while memory is free.
    """

    def __init__(
        self,
        selector: selection.Selector,
        available: availability.Availability,
        usage: usages.Usage,
        targets: directory.Directory,
        starting: startup.Startup,
        reserved: reservations.Reservations,
        rng: random.Random,
    ) -> None:
        self._selector = selector
        self._available = available
        self._usage = usage
        self._directory = targets
        self._startup = starting
        self.rng = rng
        self._reservations = reserved
        self._loop = asyncio.get_running_loop()

    def choose(self, search: Search) -> offers.Offer:
        """Choose a target for a request, or state why it waits or gets none."""
        admission = search.admission
        now = self._loop.time()
        if now + MIN_SEND_SECONDS > admission.deadline:
            return offers.Verdict(offers.VerdictKind.NO_TARGET)
        can_request_permit = search.permit_requests < MAX_PERMIT_REQUESTS
        memory_share = self.compute_memory_share(admission)
        target = self._selector.choose(
            admission.pool,
            admission.work,
            search.excluded,
            can_request_permit=can_request_permit,
            full_share=min(selection.FULL_MEMORY_SHARE, memory_share),
            software_version=admission.software_version,
        )
        if target is None:
            is_waiting = (
                not search.excluded and self.should_wait_for_targets(admission)
            ) or self.should_wait_for_capacity(admission, search.excluded)
            kind = offers.VerdictKind.NO_TARGET
            return offers.Wait.TARGET if is_waiting else offers.Verdict(kind)
        if not self._has_room(admission, target, memory_share):
            if self.is_oversized(admission):
                return offers.Verdict(offers.VerdictKind.NO_ROOM)
            return offers.Wait.MEMORY
        if not self._can_start(admission, target):
            return offers.Wait.PREFILL
        return self._build_placement(admission, target)

    def choose_claimed(self, search: Search) -> offers.Placement | None:
        """The runner that a request claims, if it has memory now."""
        claimed = search.claimed
        if search.is_barred or claimed is None or not self._can_take_claimed(search, claimed):
            return None
        return self._build_placement(search.admission, claimed)

    def _build_placement(
        self, admission: admissions.Admission, target: directory.Target
    ) -> offers.Placement:
        unsaved = admission.tokens if admission.is_long else 0

        def add_load(sign: int) -> None:
            self._usage.add(
                target.address,
                requests=sign,
                tokens=sign * admission.tokens,
                unread=sign * admission.facts.prompt_tokens,
                unsaved=sign * unsaved,
            )

        return offers.Placement(target, add_load)

    # Waiting

    def should_wait_for_targets(self, admission: admissions.Admission) -> bool:
        """Whether targets may still be unknown after a start."""
        arrived = admission.request.arrived
        return self._startup.should_wait_for_targets(arrived, admission.deadline - arrived)

    def should_wait_for_capacity(
        self, admission: admissions.Admission, excluded: Collection[str]
    ) -> bool:
        """Whether a blocked target may accept the request in time."""
        seconds = admission.route.objective_seconds * BLOCKED_WAIT_SHARE
        wait_deadline = admission.request.arrived + seconds
        if self._loop.time() >= wait_deadline:
            return False
        opening = self._available.find_next_opening(
            admission.pool, excluded, admission.software_version
        )
        return opening <= wait_deadline

    def has_version(self, admission: admissions.Admission) -> bool:
        """Whether a target with the version that a request needs accepts requests."""
        return self._available.has_version(admission.pool, admission.software_version)

    def _can_start(self, admission: admissions.Admission, target: directory.Target) -> bool:
        """Whether a runner can take one more prompt, or the prompt has waited long enough."""
        waited = self._loop.time() - admission.request.arrived
        objective_seconds = admission.route.objective_seconds
        if waited > objective_seconds * PREFILL_WAIT_SHARE:
            return True
        unread = self._usage.get(target.address).unread
        prompt_tokens = admission.facts.prompt_tokens
        rate = self._selector.speeds.estimate_read_rate(admission.pool.name, target.address)
        return queueing.can_start(
            unread, prompt_tokens, objective_seconds, is_long=admission.is_long, rate=rate
        )

    def _has_room(
        self, admission: admissions.Admission, target: directory.Target, share: float
    ) -> bool:
        """Whether a runner has memory for a request that may use so much of it."""
        if share < RUN_MEMORY_SHARE and self._usage.get(target.address).tokens <= 0:
            share = RUN_MEMORY_SHARE  # a prompt that needs most of a runner gets an idle one
        return self._selector.has_room(admission.pool, target, admission.tokens, share)

    def compute_memory_share(self, admission: admissions.Admission) -> float:
        """Share of a runner's memory for a request; short ones end before memory runs out."""
        if not admission.has_long_output or admission.priority == 0:
            return 1.0
        return self._reservations.compute_long_share(admission, RUN_MEMORY_SHARE)

    def compute_headroom(self, admission: admissions.Admission) -> int:
        """Tokens that a request leaves free at its runner."""
        engine = admission.pool.engine
        if engine is None:
            return 0
        headroom = engine.memory_tokens * (1.0 - self.compute_memory_share(admission))
        # A request that needs most of a runner gets an idle one.
        most = engine.memory_tokens * RUN_MEMORY_SHARE - admission.tokens
        return max(0, int(min(headroom, most)))

    def is_oversized(self, admission: admissions.Admission) -> bool:
        """Whether not even an empty runner has the memory for a request."""
        engine = admission.pool.engine
        if engine is None:
            return False
        share = max(RUN_MEMORY_SHARE, self.compute_memory_share(admission))
        return admission.tokens > engine.memory_tokens * share

    # Claims

    def claim(self, search: Search) -> None:
        """Claim the runner that has the least memory still to free for a request.

        A claim whose runner can't be used any more is replaced.
        """
        now = self._loop.time()
        claimed = search.claimed
        if claimed is not None:
            if self._is_usable(search, claimed):
                return
            self.release_claim(search)
        target = self._pick_to_claim(search)
        if target is not None:
            search.claimed, search.claimed_at, search.offered_at = target, now, now
            self._usage.add(target.address, claimed=search.admission.tokens)

    def release_claim(self, search: Search) -> None:
        """End a request's claim, if it has one."""
        if search.claimed is not None:
            self._usage.add(search.claimed.address, claimed=-search.admission.tokens)
            search.claimed = None

    def _pick_to_claim(self, search: Search) -> directory.Target | None:
        pool = search.admission.pool
        targets = [
            target
            for target in self._directory.list_pool(pool.name)
            if self._is_usable(search, target)
        ]
        if not targets:
            return None
        size = max(1, round(len(targets) * CLAIM_SAMPLE_SHARE))
        sampled = self.rng.sample(targets, size)
        return min(sampled, key=lambda target: self._count_taken(target.address))

    def _count_taken(self, address: str) -> int:
        load = self._usage.get(address)
        return load.tokens + load.claimed

    def _is_usable(self, search: Search, target: directory.Target) -> bool:
        if target.target_id in search.excluded or target.phase is not directory.Phase.READY:
            return False
        if not target.has_version(search.admission.software_version):
            return False
        if self._selector.failures.is_avoided(target.target_id, self._loop.time()):
            return False
        return self._available.find_obstacle(search.admission.pool, target) is None

    def _can_take_claimed(self, search: Search, target: directory.Target) -> bool:
        """Whether the claimed runner has memory for the request.

        If several entries claim more than is free there, each takes it with a probability: if they
        waited for each other, none would get it.
        """
        admission = search.admission
        engine = admission.pool.engine
        now = self._loop.time()
        report_age = self._usage.get_report_age()
        if engine is None or now - search.claimed_at < report_age:
            return False  # other entries' claims may not be known yet
        load = self._usage.get(target.address)
        free = engine.memory_tokens - self.compute_headroom(admission) - load.tokens
        if free < admission.tokens or not self._is_usable(search, target):
            return False
        if self._selector.is_full(target, admission.tokens):
            return False
        if not self._can_start(admission, target):
            return False
        seconds, search.offered_at = now - search.offered_at, now
        part = room.compute_part(free, admission.tokens, load.claimed, seconds, report_age)
        return self.rng.random() * admission.tokens < part
