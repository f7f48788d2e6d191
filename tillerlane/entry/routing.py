"""Routing of requests: the target with the highest ``place`` among the candidates.

Load reports lag, so each is corrected by the requests that this entry has sent since.  Only two
random targets and the one whose prefix cache may hold the prompt are candidates: if all were, all
entries would send to the target with the best lagging report at the same time (herding).
"""

import dataclasses
import hashlib
import random
from collections.abc import Callable

import result

from tillerlane.entry import fleet, requests
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.policy import builtin
from tillerlane.policy import program as programs

__all__ = ["Router", "choose_target"]

MAX_EJECTED_SHARE = 0.5
"""Largest share of a pool that is ejected for failures, lest the others be overloaded."""
RANDOM_CANDIDATES = 2
SLOW_START_PROBABILITY = 0.3
"""Probability that a target in slow start remains a candidate."""
PREFIX_LOAD_BOUND = 1.25
"""Multiple of the mean load above which a target gets no preference for a cached prefix."""


Choose = Callable[[requests.Request, list[fleet.TargetRecord]], fleet.TargetRecord]


@dataclasses.dataclass(slots=True)
class Router:
    """State that routing needs besides the request."""

    view: fleet.FleetView
    data_hall: str
    rng: random.Random
    choose: Choose | None = None
    """Alternative choice among the eligible targets; benchmarks substitute baselines."""
    get_evacuated: Callable[[], frozenset[str]] = frozenset
    """Returns the data halls whose targets get no new requests."""


def estimate_wait(record: fleet.TargetRecord, urgent: bool) -> float:
    """Seconds until a start, from the last report and the requests sent since."""
    load = record.load
    if load is None:
        return 0.05 * record.in_flight
    wait = (load.urgent_wait_ms if urgent else load.wait_ms) / 1000
    batch_share = record.sent_since / max(4, load.running + 1)
    return wait + batch_share * max(0.05, wait)


def estimate_free_share(record: fleet.TargetRecord) -> float:
    """Share of memory not used, promised or needed by requests sent since the report."""
    load = record.load
    if load is None or load.memory_total == 0:
        return 0.5 / (1 + record.in_flight)
    used = load.memory_used + load.memory_promised + record.tokens_since
    return max(0.0, 1.0 - used / load.memory_total)


def _can_accept(record: fleet.TargetRecord, request: requests.Request, tried: set[str]) -> bool:
    load = record.load
    if record.name in tried or record.leaving or record.peer.link is None:
        return False
    if load is None:
        return True
    if load.leaving or not load.healthy:
        return False
    return not request.model or not load.models or request.model in load.models


def _exclude_ejected(records: list[fleet.TargetRecord], now: float) -> list[fleet.TargetRecord]:
    ejected = [item for item in records if item.ejected_until > now]
    if len(ejected) > MAX_EJECTED_SHARE * len(records):
        return records
    return [item for item in records if item.ejected_until <= now]


def _find_prefix_target(
    records: list[fleet.TargetRecord], request: requests.Request
) -> fleet.TargetRecord | None:
    """Target whose cache holds the prompt's prefix by report, or else by rendezvous hashing."""
    if not request.prefix_hash:
        return None
    mean = sum(item.in_flight for item in records) / len(records)
    below_bound = [item for item in records if item.in_flight <= PREFIX_LOAD_BOUND * mean + 1]
    reporting = [
        item for item in below_bound if item.load and request.prefix_hash in item.load.prefixes
    ]
    return max(
        reporting or below_bound,
        key=lambda item: _hash_pair(item.name, request.prefix_hash),
        default=None,
    )


def _hash_pair(name: str, prefix_hash: int) -> bytes:
    return hashlib.blake2b(f"{name}:{prefix_hash}".encode(), digest_size=8).digest()


def score(
    record: fleet.TargetRecord,
    request: requests.Request,
    router: Router,
    program: programs.Program,
    now: float,
) -> float:
    """Value of ``place`` for a candidate."""
    load = record.load
    wait = estimate_wait(record, request.urgent)
    free = estimate_free_share(record)
    hit = 1.0 if load and request.prefix_hash and request.prefix_hash in load.prefixes else 0.0
    same_hall = record.data_hall == router.data_hall
    default = builtin.place(
        estimated_wait_s=wait, memory_free_share=free, prefix_hit=hit, same_hall=same_hall
    )
    if "place" not in program.expressions:
        return default
    step = load.step_ms / 1000 if load else 0.03
    evaluator = program.bind("place", build_request_facts(request))
    readers = {
        "expected_tokens": lambda: float(request.max_tokens),
        "waited_s": lambda: now - request.arrived,
        "deadline_left_s": lambda: max(0.0, request.deadline - now),
        "workspace_weight": lambda: 1.0,
        "estimated_wait_s": lambda: wait,
        "memory_free_share": lambda: free,
        "prefix_hit": lambda: hit,
        "same_hall": lambda: same_hall,
        "step_s": lambda: step,
        "in_flight": lambda: float(record.in_flight),
        "running": lambda: float(load.running if load else 0),
        "waiting": lambda: float(load.waiting if load else 0),
    }
    return float(evaluator.evaluate(readers, default))


def build_request_facts(request: requests.Request) -> dict[str, programs.Value]:
    """Facts of a request that are constant over its life."""
    return {
        "workspace": request.workspace,
        "class_name": request.class_name,
        "model": request.model,
        "priority": float(request.priority),
        "urgent": request.urgent,
        "repeatable": request.repeatable,
        "prompt_tokens": float(request.prompt_tokens),
        "max_tokens": float(request.max_tokens),
    }


def choose_target(
    request: requests.Request,
    router: Router,
    program: programs.Program,
    tried: set[str],
    now: float,
) -> result.Result[fleet.TargetRecord, faults.Fault]:
    """Choose a target for a request, excluding those in `tried`."""
    found = [router.view.targets.get(name) for name in request.targets]
    evacuated = router.get_evacuated()
    records = [
        item
        for item in found
        if item is not None
        and item.data_hall not in evacuated
        and _can_accept(item, request, tried)
    ]
    if not records:
        message = f"none of the {len(request.targets)} targets of {request.group!r} is available"
        if evacuated:
            message += f"; evacuated data halls: {sorted(evacuated)}"
        fault = faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message, retry_after=1.0)
        return result.Err(fault)
    if router.choose is not None:
        return result.Ok(router.choose(request, records))
    records = _exclude_ejected(records, now)
    preferred = [
        item
        for item in records
        if not item.is_in_slow_start(now) or router.rng.random() < SLOW_START_PROBABILITY
    ]
    records = preferred or records
    candidates = router.rng.sample(records, min(RANDOM_CANDIDATES, len(records)))
    prefix_target = _find_prefix_target(records, request)
    if prefix_target is not None and prefix_target not in candidates:
        candidates.append(prefix_target)
    best = max(candidates, key=lambda item: score(item, request, router, program, now))
    return result.Ok(best)
