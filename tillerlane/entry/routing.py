"""Where a request goes: the target with the best ``place`` among those that may take it.

Reports lag, so each is corrected by what this entry has sent since.  Two random candidates and
the one whose prefix cache may hold the prompt are weighed, not all: entries that all saw the
same lagging best would send there together.
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
"""At most this share of a pool is left out for failures: the rest would drown."""
SAMPLES = 2
NEWCOMER_SHARE = 0.3
"""Chance that a newcomer stays among the candidates."""
PREFIX_LOAD_BOUND = 1.25
"""A cached prefix attracts only while its target has at most this times the mean load."""


Choose = Callable[[requests.Request, list[fleet.TargetRecord]], fleet.TargetRecord]


@dataclasses.dataclass(slots=True)
class Router:
    """What routing needs besides the request."""

    view: fleet.FleetView
    data_hall: str
    rng: random.Random
    choose: Choose | None = None
    """Another rule among those that may take a request; benchmarks put baselines here."""
    get_evacuated: Callable[[], frozenset[str]] = frozenset
    """Data halls whose targets get nothing new."""


def estimate_wait(record: fleet.TargetRecord, urgent: bool) -> float:
    """Seconds until a start, by the last report and what was sent since."""
    load = record.load
    if load is None:
        return 0.05 * record.in_flight
    wait = (load.urgent_wait_ms if urgent else load.wait_ms) / 1000
    batch_share = record.sent_since / max(4, load.running + 1)
    return wait + batch_share * max(0.05, wait)


def estimate_free_share(record: fleet.TargetRecord) -> float:
    """Share of memory neither used, promised nor sent since the report."""
    load = record.load
    if load is None or load.memory_total == 0:
        return 0.5 / (1 + record.in_flight)
    used = load.memory_used + load.memory_promised + record.tokens_since
    return max(0.0, 1.0 - used / load.memory_total)


def _may_take(record: fleet.TargetRecord, request: requests.Request, tried: set[str]) -> bool:
    load = record.load
    if record.name in tried or record.leaving or record.peer.link is None:
        return False
    if load is None:
        return True
    if load.leaving or not load.healthy:
        return False
    return not request.model or not load.models or request.model in load.models


def _leave_out_ejected(records: list[fleet.TargetRecord], now: float) -> list[fleet.TargetRecord]:
    ejected = [item for item in records if item.ejected_until > now]
    if len(ejected) > MAX_EJECTED_SHARE * len(records):
        return records
    return [item for item in records if item.ejected_until <= now]


def _find_affine(
    records: list[fleet.TargetRecord], request: requests.Request
) -> fleet.TargetRecord | None:
    """The target that should hold the prompt's prefix: known to, or by rendezvous hashing."""
    if not request.prefix_hash:
        return None
    mean = sum(item.in_flight for item in records) / len(records)
    light = [item for item in records if item.in_flight <= PREFIX_LOAD_BOUND * mean + 1]
    knowing = [item for item in light if item.load and request.prefix_hash in item.load.prefixes]
    return max(
        knowing or light, key=lambda item: _hash_pair(item.name, request.prefix_hash), default=None
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
    same_hall = record.hall == router.data_hall
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
    """Facts of a request that do not change."""
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
    """Choose a target for a request; `tried` ones are left out."""
    known = [router.view.targets.get(name) for name in request.targets]
    evacuated = router.get_evacuated()
    records = [
        item
        for item in known
        if item is not None and item.hall not in evacuated and _may_take(item, request, tried)
    ]
    if not records:
        message = f"none of the {len(request.targets)} targets of {request.group!r} can take it"
        if evacuated:
            message += f"; evacuated data halls: {sorted(evacuated)}"
        fault = faults.new_fault(kinds.ErrorKind.NO_CAPACITY, message, retry_after=1.0)
        return result.Err(fault)
    if router.choose is not None:
        return result.Ok(router.choose(request, records))
    records = _leave_out_ejected(records, now)
    settled = [
        item for item in records if not item.is_new(now) or router.rng.random() < NEWCOMER_SHARE
    ]
    records = settled or records
    candidates = router.rng.sample(records, min(SAMPLES, len(records)))
    affine = _find_affine(records, request)
    if affine is not None and affine not in candidates:
        candidates.append(affine)
    best = max(candidates, key=lambda item: score(item, request, router, program, now))
    return result.Ok(best)
