"""The closed list of facts that policy programs can use, and the expressions that see them.

Numbers are CEL doubles (write ``2.0``, not ``2``); times are in seconds, memory and lengths in
tokens, shares are between 0 and 1.
"""

import dataclasses

__all__ = ["EXPRESSIONS", "FACTS", "Expression", "Fact"]

Value = float | bool | str


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """One fact: its type, its meaning, and samples that programs are tested with."""

    type: type
    meaning: str
    samples: tuple[Value, Value, Value]


def _number(meaning: str, low: float, middle: float, high: float) -> Fact:
    return Fact(float, meaning, (low, middle, high))


FACTS: dict[str, Fact] = {
    "workspace": Fact(str, "name of the workspace", ("a", "katalog", "z")),
    "class_name": Fact(str, "name of the class of work", ("a", "record", "z")),
    "model": Fact(str, "requested model", ("a", "m", "z")),
    "priority": _number("priority of the class, 0 to 100", 0.0, 50.0, 100.0),
    "urgent": Fact(bool, "whether the class is urgent", (False, True, False)),
    "repeatable": Fact(
        bool, "whether requests of the class may run more than once", (False, True, True)
    ),
    "prompt_tokens": _number("length of the prompt", 1.0, 500.0, 30_000.0),
    "max_tokens": _number("maximum number of output tokens", 1.0, 4_096.0, 200_000.0),
    "expected_tokens": _number("expected length of the complete output", 1.0, 300.0, 20_000.0),
    "waited_s": _number("time since the request arrived", 0.0, 2.0, 3_600.0),
    "deadline_left_s": _number("time left until the deadline", 0.0, 60.0, 86_400.0),
    "workspace_weight": _number("weight of the workspace", 0.1, 1.0, 100.0),
    "workspace_lead": _number(
        "tokens served to the workspace per unit of its weight, above those of the least served "
        "workspace with work at this target; decays by half each minute",
        0.0,
        500.0,
        1e6,
    ),
    "times_paused": _number("number of times that the generation was paused", 0.0, 1.0, 50.0),
    "written_tokens": _number("tokens generated so far", 0.0, 200.0, 100_000.0),
    "delivered_tokens": _number("tokens delivered to the entry so far", 0.0, 190.0, 100_000.0),
    "expected_left_tokens": _number(
        "expected number of tokens still to be generated", 1.0, 200.0, 50_000.0
    ),
    "memory_tokens": _number("memory that the generation holds", 1.0, 700.0, 130_000.0),
    "runs_s": _number("time since the generation last started or resumed", 0.0, 5.0, 3_600.0),
    "waiting": _number("requests waiting at the target", 0.0, 10.0, 10_000.0),
    "running": _number("generations running at the target", 0.0, 20.0, 512.0),
    "estimated_wait_s": _number("estimated time until the request starts", 0.0, 3.0, 3_600.0),
    "memory_share": _number("share of the target's memory in use", 0.0, 0.7, 1.0),
    "memory_free_share": _number(
        "estimated share of the target's memory neither used nor reserved", 0.0, 0.3, 1.0
    ),
    "memory_total": _number("total memory of the target", 1_000.0, 50_000.0, 1e7),
    "urgent_share": _number("share of recent requests that were urgent", 0.0, 0.5, 1.0),
    "prefix_hit": _number("1 if the target holds the prompt's prefix, else 0", 0.0, 1.0, 0.0),
    "same_hall": Fact(bool, "whether the target is in the entry's data hall", (True, False, True)),
    "step_s": _number("time of one step of the target", 0.001, 0.03, 10.0),
    "in_flight": _number("requests of this entry at the target", 0.0, 10.0, 1_000.0),
}
"""Facts by name; the reference page is generated from them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expression:
    """One expression of a program: its result type, purpose, visible facts and bounds."""

    type: type
    meaning: str
    facts: frozenset[str]
    low: float = float("-inf")
    high: float = float("inf")


_REQUEST = {
    *("workspace", "class_name", "model", "priority", "urgent", "repeatable", "prompt_tokens"),
    *("max_tokens", "expected_tokens", "waited_s", "deadline_left_s", "workspace_weight"),
}
_GENERATION = {
    *("times_paused", "written_tokens", "delivered_tokens", "expected_left_tokens"),
    *("memory_tokens", "runs_s"),
}
_TARGET = {"waiting", "running", "memory_share", "memory_total"}

EXPRESSIONS: dict[str, Expression] = {
    "rank": Expression(
        float,
        "order of requests: the highest value goes first",
        frozenset(_REQUEST | {"workspace_lead", "times_paused", "written_tokens"}),
    ),
    "may_wait": Expression(
        bool,
        "whether a request may be queued; otherwise it is refused at once",
        frozenset(_REQUEST | _TARGET | {"estimated_wait_s"}),
    ),
    "sacrifice": Expression(
        float,
        "which generation is paused when memory runs short: the highest value; one with a negative "
        "value is never paused",
        frozenset(_REQUEST | _GENERATION | {"workspace_lead"}),
    ),
    "admit_risk": Expression(
        float,
        "accepted probability that the batch outgrows memory if this request starts",
        frozenset(_REQUEST | _TARGET | {"times_paused"}),
        low=0.0,
        high=1.0,
    ),
    "headroom": Expression(
        float,
        "share of memory and batch reserved for urgent work",
        frozenset(_TARGET | {"urgent_share"}),
        low=0.0,
        high=0.9,
    ),
    "place": Expression(
        float,
        "which target gets a request: the one with the highest value",
        frozenset(
            _REQUEST
            | {"estimated_wait_s", "memory_free_share", "prefix_hit", "same_hall", "step_s"}
            | {"in_flight", "running", "waiting"}
        ),
    ),
}
"""Expressions by name, in the order in which they apply to a request."""
