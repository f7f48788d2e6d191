"""``tillerlane status | runner | evacuate | request | keeper | placement | timeline``."""

import argparse
import re
import secrets
import sys
import time
from typing import Any

from tillerlane.cli import client as clients
from tillerlane.cli import drawing, loglines
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.timeline import clock as clocks
from tillerlane.timeline import core as timelines

__all__ = [
    "add_evacuate",
    "add_keeper",
    "add_placement",
    "add_request",
    "add_runner",
    "add_status",
    "add_timeline",
]

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h)?$")
_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, None: 1.0}
WATCH_INTERVAL_SECONDS = 1.0


def parse_duration(text: str) -> float:
    """Parse a duration such as ``30s`` to seconds.

    Examples
    --------
    >>> parse_duration("2m")
    120.0
    """
    found = _DURATION.match(text)
    if not found:
        raise argparse.ArgumentTypeError(
            f"got {text!r}, expected a duration such as 30s, 500ms, 2m"
        )
    return float(found.group(1)) * _UNITS[found.group(2)]


# Status


def print_status(status: dict[str, Any]) -> None:
    """Print an overview of the fleet."""
    print(
        f"fleet {status['fleet']}  version {status['version']}  leader {status['leader'] or 'none'}"
    )
    rows = []
    for item in status["daemons"]:
        marks = [mark for mark, on in (("leaving", item["leaving"]),) if on]
        if not item["ready"]:
            marks.append("not ready")
        rows.append(
            [
                item["daemon"],
                item["data_hall"],
                "+".join(item["roles"]),
                item["version"],
                item.get("requests", "-"),
                ", ".join(marks) or "ok",
            ]
        )
    rows += [[name, "-", "-", "-", "-", "missing"] for name in status["missing"]]
    clients.print_table(["DAEMON", "HALL", "ROLES", "VERSION", "REQUESTS", "STATE"], rows)
    rows = [
        [
            target["target"],
            item["daemon"],
            target["running"],
            target["waiting"],
            target["paused"],
            f"{target['memory_used']}/{target['memory_total']}",
            target["preemptions"],
            f"{target['worst_stall_s']:.1f} s",
            _describe_target(target),
        ]
        for item in status["daemons"]
        for target in item.get("targets", [])
    ]
    if rows:
        print()
        titles = ["TARGET", "AGENT", "RUN", "WAIT", "PAUSED", "MEMORY", "PREEMPTED", "STALL"]
        clients.print_table([*titles, "STATE"], rows)


def _describe_target(target: dict[str, Any]) -> str:
    if target["leaving"]:
        return "leaving"
    return "ok" if target["healthy"] else "sick"


def run_status(arguments: argparse.Namespace) -> int:
    """``status``."""
    client = clients.connect(arguments)
    while True:
        status = client.get("/admin/status")
        if arguments.json:
            clients.print_json(status)
        else:
            if arguments.watch:
                print("\x1b[2J\x1b[H", end="")
            print_status(status)
        if not arguments.watch:
            return 0
        time.sleep(WATCH_INTERVAL_SECONDS)


def add_status(nouns: Any) -> None:
    """Add ``status``."""
    noun = nouns.add_parser("status", help="overview of the fleet")
    clients.add_options(noun)
    noun.add_argument("--watch", action="store_true", help="refresh until interrupted")
    noun.set_defaults(run=run_status)


# Runners


def run_drain(arguments: argparse.Namespace) -> int:
    """``runner drain`` and ``runner undrain``."""
    body = {
        "change_id": "d-" + secrets.token_hex(8),
        "name": arguments.name,
        "leaving": arguments.leaving,
    }
    response = clients.connect(arguments).post("/admin/drain", body)
    if arguments.json:
        clients.print_json(response)
    else:
        verb = "takes no new work" if arguments.leaving else "takes work again"
        print(f"{arguments.name} {verb}, as of version {response['version']}")
    return 0


def run_runners(arguments: argparse.Namespace) -> int:
    """``runner list``."""
    status = clients.connect(arguments).get("/admin/status")
    targets = [
        {**target, "agent": item["daemon"], "data_hall": item["data_hall"]}
        for item in status["daemons"]
        for target in item.get("targets", [])
    ]
    if arguments.json:
        clients.print_json(targets)
    else:
        rows = [
            [
                item["target"],
                item["data_hall"],
                item["agent"],
                ",".join(item["models"]),
                _describe_target(item),
            ]
            for item in targets
        ]
        clients.print_table(["TARGET", "HALL", "AGENT", "MODELS", "STATE"], rows)
    return 0


def add_runner(nouns: Any) -> None:
    """Add ``runner``."""
    verbs = nouns.add_parser("runner", help="runners and services").add_subparsers(
        required=True, metavar="VERB"
    )
    listing = verbs.add_parser("list")
    clients.add_options(listing)
    listing.set_defaults(run=run_runners)
    for name, leaving in (("drain", True), ("undrain", False)):
        verb = verbs.add_parser(name)
        clients.add_options(verb)
        verb.add_argument("name", metavar="NAME")
        verb.set_defaults(run=run_drain, leaving=leaving)


# Data halls


def run_evacuate(arguments: argparse.Namespace) -> int:
    """``evacuate start`` and ``evacuate end``."""
    body = {"data_hall": arguments.hall, "evacuated": arguments.evacuated}
    response = clients.connect(arguments).post("/admin/evacuate", body)
    if arguments.json:
        clients.print_json(response)
    else:
        verb = "get nothing new" if arguments.evacuated else "take work again"
        print(f"targets of {arguments.hall} {verb}, as of version {response['version']}")
    return 0


def run_evacuations(arguments: argparse.Namespace) -> int:
    """``evacuate list``."""
    response = clients.connect(arguments).get("/admin/evacuations")
    if arguments.json:
        clients.print_json(response)
    else:
        clients.print_table(["HALL"], [[name] for name in response["data_halls"]])
    return 0


def add_evacuate(nouns: Any) -> None:
    """Add ``evacuate``."""
    verbs = nouns.add_parser("evacuate", help="data halls that get no new requests").add_subparsers(
        required=True, metavar="VERB"
    )
    listing = verbs.add_parser("list")
    clients.add_options(listing)
    listing.set_defaults(run=run_evacuations)
    for name, evacuated in (("start", True), ("end", False)):
        verb = verbs.add_parser(name)
        clients.add_options(verb)
        verb.add_argument("hall", metavar="HALL")
        verb.set_defaults(run=run_evacuate, evacuated=evacuated)


# Requests


def run_request_show(arguments: argparse.Namespace) -> int:
    """``request show``."""
    response = clients.connect(arguments).get("/admin/timeline", request_id=arguments.id)
    clients.print_json(response) if arguments.json else print_events(response)
    return 0 if response["events"] else kinds.RESPONSES[kinds.ErrorKind.NOT_FOUND].exit_code


def run_cancel(arguments: argparse.Namespace) -> int:
    """``request cancel``."""
    response = clients.connect(arguments).post("/admin/cancel", {"generation_id": arguments.id})
    if not response["found"]:
        message = f"no agent holds generation {arguments.id!r}"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
    clients.print_json(response) if arguments.json else print(f"{arguments.id} is cancelled")
    return 0


def add_request(nouns: Any) -> None:
    """Add ``request``."""
    verbs = nouns.add_parser("request", help="single requests").add_subparsers(
        required=True, metavar="VERB"
    )
    show = verbs.add_parser("show", help="events of a request")
    show.add_argument("id", metavar="REQUEST")
    cancel = verbs.add_parser("cancel", help="cancel a generation")
    cancel.add_argument("id", metavar="GENERATION")
    for verb, run in ((show, run_request_show), (cancel, run_cancel)):
        clients.add_options(verb)
        verb.set_defaults(run=run)


# Keepers


def run_keepers(arguments: argparse.Namespace) -> int:
    """``keeper list``."""
    status = clients.connect(arguments).get("/admin/status")
    keepers = [
        {"daemon": item["daemon"], **item["keeper"]}
        for item in status["daemons"]
        if "keeper" in item
    ]
    if arguments.json:
        clients.print_json(keepers)
    else:
        rows = [
            [
                item["daemon"],
                item["standing"],
                item["term"],
                item["commit"],
                item["snapshot"],
                "yes" if item["is_voter"] else "no",
                item["disk_failed"] or "ok",
            ]
            for item in keepers
        ]
        titles = ["KEEPER", "STANDING", "TERM", "COMMIT", "SNAPSHOT", "VOTES", "DISK"]
        clients.print_table(titles, rows)
    return 0


def run_change_keepers(arguments: argparse.Namespace) -> int:
    """``keeper add`` and ``keeper remove``."""
    body = {"name": arguments.name, "address": getattr(arguments, "address", None)}
    response = clients.connect(arguments).post("/admin/keepers", body)
    if arguments.json:
        clients.print_json(response)
    elif body["address"]:
        print(f"{arguments.name} is added and will vote once it has caught up")
    else:
        print(f"{arguments.name} is no longer a voter")
    return 0


def add_keeper(nouns: Any) -> None:
    """Add ``keeper``."""
    verbs = nouns.add_parser("keeper", help="the keepers").add_subparsers(
        required=True, metavar="VERB"
    )
    listing = verbs.add_parser("list")
    listing.set_defaults(run=run_keepers)
    add = verbs.add_parser("add", help="add a keeper, which votes once it has caught up")
    add.add_argument("name", metavar="NAME")
    add.add_argument("address", metavar="IP:PORT")
    add.set_defaults(run=run_change_keepers)
    remove = verbs.add_parser("remove", help="remove a keeper from the voters")
    remove.add_argument("name", metavar="NAME")
    remove.set_defaults(run=run_change_keepers)
    for verb in (listing, add, remove):
        clients.add_options(verb)


# Placement


def run_placement(arguments: argparse.Namespace) -> int:
    """``placement show`` and ``placement plan``."""
    status = clients.connect(arguments).get("/admin/placement")
    if arguments.verb == "plan":
        status = {"next": status["next"]}
    if arguments.json:
        clients.print_json(status)
        return 0
    if arguments.verb == "show":
        rows = [
            [item["name"], item["pool"], ",".join(item["models"]), f"{item['load']:.2f}"]
            for item in status["runners"]
        ]
        clients.print_table(["RUNNER", "POOL", "MODELS", "LOAD"], rows)
        for item in status["orders"]:
            print(
                f"{item['order_id']} {item['action']} {item['model']} at {item['target']}: ", end=""
            )
            print(item["outcome"] or "under way")
    planned = status["next"]
    if planned is None:
        print("nothing to do")
    else:
        print(f"next: {planned['action']} {planned['model']} at {planned['target']}", end="")
        print(f" ({planned['reason']})")
    return 0


def run_pin(arguments: argparse.Namespace) -> int:
    """``placement pin`` and ``placement unpin``."""
    body = {"target": arguments.name, "model": arguments.model, "pinned": arguments.pinned}
    response = clients.connect(arguments).post("/admin/pin", body)
    verb = "stays on" if arguments.pinned else "may leave"
    clients.print_json(response) if arguments.json else print(
        f"{arguments.model} {verb} {arguments.name}"
    )
    return 0


def add_placement(nouns: Any) -> None:
    """Add ``placement``."""
    verbs = nouns.add_parser("placement", help="models loaded on each runner").add_subparsers(
        required=True, metavar="VERB"
    )
    for name in ("show", "plan"):
        verb = verbs.add_parser(name)
        clients.add_options(verb)
        verb.set_defaults(run=run_placement, verb=name)
    for name, pinned in (("pin", True), ("unpin", False)):
        verb = verbs.add_parser(name)
        clients.add_options(verb)
        verb.add_argument("name", metavar="RUNNER")
        verb.add_argument("model", metavar="MODEL")
        verb.set_defaults(run=run_pin, pinned=pinned)


# Time line


def print_events(response: dict[str, Any]) -> None:
    """Print events as lines: time, daemon, name, ids, fields."""
    for event in response["events"]:
        stamp = clocks.get_milliseconds(event["stamp"])
        at = time.strftime("%H:%M:%S", time.gmtime(stamp / 1000)) + f".{stamp % 1000:03d}"
        fields = " ".join(
            f"{name}={value}"
            for name, value in event["fields"].items()
            if not isinstance(value, dict)
        )
        ids = " ".join(item for item in (event["request_id"], event["generation_id"]) if item)
        print(f"{at}  {event['daemon']:<14} {event['name']:<20} {ids} {fields}".rstrip())
    if response["missing"]:
        print(f"missing: {', '.join(response['missing'])} did not answer")


def run_timeline(arguments: argparse.Namespace) -> int:
    """``timeline``."""
    response = _read_logs(arguments) if arguments.log else _query_timeline(arguments)
    if arguments.trace:
        drawing.write_trace(response["events"], arguments.trace)
    if arguments.picture:
        drawing.write_picture(response["events"], arguments.picture)
    clients.print_json(response) if arguments.json else print_events(response)
    return 0


def _read_logs(arguments: argparse.Namespace) -> dict[str, Any]:
    """Read events from log files, in the form of the fleet's response."""
    found = loglines.read_files(arguments.log)
    since_ms = int((time.time() - arguments.last) * 1000) if arguments.last else 0
    events = timelines.select_events(
        found.events,
        request_id=arguments.request or "",
        generation_id=arguments.generation or "",
        since_ms=since_ms,
    )
    if found.left_out or found.other_lines:
        text = f"{found.left_out} events were left out, {found.other_lines} lines hold none"
        print(text, file=sys.stderr)
    return {"events": [event.to_json() for event in events], "missing": []}


def _query_timeline(arguments: argparse.Namespace) -> dict[str, Any]:
    parameters: dict[str, Any] = {}
    if arguments.request:
        parameters["request_id"] = arguments.request
    if arguments.generation:
        parameters["generation_id"] = arguments.generation
    if arguments.last:
        parameters["since_ms"] = int((time.time() - arguments.last) * 1000)
    return clients.connect(arguments).get("/admin/timeline", **parameters)


def add_timeline(nouns: Any) -> None:
    """Add ``timeline``."""
    noun = nouns.add_parser("timeline", help="events of all daemons in causal order")
    clients.add_options(noun)
    noun.add_argument("--request", metavar="ID")
    noun.add_argument("--generation", metavar="ID")
    noun.add_argument("--last", type=parse_duration, metavar="SPAN", help="such as 30s or 2m")
    noun.add_argument(
        "--log",
        nargs="+",
        metavar="FILE",
        help="read log files instead of querying the fleet; - is stdin",
    )
    noun.add_argument("--trace", metavar="FILE", help="write a trace for trace viewers")
    noun.add_argument("--picture", metavar="FILE", help="write an SVG picture")
    noun.set_defaults(run=run_timeline)
