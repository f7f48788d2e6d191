"""``tillerlane config``, and one noun for each section of the document."""

import argparse
import difflib
import json
import secrets
import time
from collections.abc import Callable
from typing import Any

import result

from tillerlane.cli import client as clients
from tillerlane.config import documents, reader
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.operators import changes

__all__ = ["add_config", "add_section", "apply_document", "read_document_file"]

POLL_INTERVAL_SECONDS = 0.1
MAX_ATTEMPTS = 5


def read_document_file(path: str) -> dict[str, Any]:
    """Read a document from a file and validate it as the daemon does.

    Raises
    ------
    faults.FaultError
        Of kind ``invalid_config`` or ``invalid_policy``.
    """
    data = reader.read_file(path)
    if isinstance(data, result.Err):
        raise faults.FaultError(data.err_value)
    checked = changes.check_document(data.ok_value, path)
    if isinstance(checked, result.Err):
        raise faults.FaultError(checked.err_value)
    return data.ok_value


def apply_document(
    client: clients.Client, document: dict[str, Any], against: int, note: str, change_id: str = ""
) -> dict[str, Any]:
    """Submit a change, and resubmit it under the same change id if the response is lost.

    Raises
    ------
    faults.FaultError
        The daemon's fault.
    """
    body = {
        "against": against,
        "change_id": change_id or "c-" + secrets.token_hex(8),
        "document": document,
        "note": note,
    }
    for attempt in range(MAX_ATTEMPTS):
        try:
            return client.post("/admin/config", body)
        except faults.FaultError as error:
            is_lost = error.fault.ran is kinds.Ran.UNKNOWN
            if not is_lost or attempt == MAX_ATTEMPTS - 1:
                raise
            time.sleep(0.5)
    raise AssertionError("unreachable")


def wait_in_force(client: clients.Client, version: int, timeout: float) -> tuple[float, list[str]]:
    """Wait until every live daemon has a version; return the seconds and the daemons behind."""
    started_at = time.monotonic()
    while True:
        status = client.get("/admin/config/status")
        behind = [
            name
            for name, item in status["daemons"].items()
            if item["state"] == "live" and item["version"] < version
        ]
        elapsed = time.monotonic() - started_at
        if not behind or elapsed > timeout:
            return elapsed, sorted(behind)
        time.sleep(POLL_INTERVAL_SECONDS)


def run_apply(arguments: argparse.Namespace) -> int:
    """``config apply``."""
    client = clients.connect(arguments)
    document = read_document_file(arguments.file)
    against = arguments.against
    if against is None:
        against = client.get("/admin/config")["version"]
    response = apply_document(client, document, against, arguments.note, arguments.change_id)
    response = {key: response[key] for key in ("accepted", "version") if key in response}
    if arguments.wait:
        elapsed, behind = wait_in_force(client, response["version"], arguments.timeout)
        response |= {"in_force_after_s": round(elapsed, 3), "waiting_for": behind}
    if arguments.json:
        clients.print_json(response)
    else:
        print(f"accepted as version {response['version']}")
        if arguments.wait and not response["waiting_for"]:
            print(f"in force on every live daemon after {response['in_force_after_s']} s")
        elif arguments.wait:
            print(f"still waiting for {', '.join(response['waiting_for'])}")
    return 1 if arguments.wait and response["waiting_for"] else 0


def run_check(arguments: argparse.Namespace) -> int:
    """``config check``."""
    read_document_file(arguments.file)
    response = {"file": arguments.file, "valid": True}
    clients.print_json(response) if arguments.json else print(f"{arguments.file}: valid")
    return 0


def run_show(arguments: argparse.Namespace) -> int:
    """``config show``."""
    response = clients.connect(arguments).get("/admin/config")
    if arguments.json:
        clients.print_json(response)
    else:
        print(f"// version {response['version']}")
        clients.print_json(response["document"])
    return 0


def run_diff(arguments: argparse.Namespace) -> int:
    """``config diff``: the changes that a file would make."""
    response = clients.connect(arguments).get("/admin/config")
    checked = changes.check_document(read_document_file(arguments.file), arguments.file)
    desired = checked.unwrap().model_dump(mode="json", exclude_defaults=True)
    desired.setdefault("fleet", {})
    old = json.dumps(response["document"], indent=2, sort_keys=True).splitlines()
    new = json.dumps(desired, indent=2, sort_keys=True).splitlines()
    lines = list(
        difflib.unified_diff(
            old, new, f"version {response['version']}", arguments.file, lineterm=""
        )
    )
    if arguments.json:
        clients.print_json({"version": response["version"], "diff": lines})
    else:
        print("\n".join(lines) if lines else "no difference")
    return 0


def run_history(arguments: argparse.Namespace) -> int:
    """``config history``."""
    history = clients.connect(arguments).get("/admin/config/history")
    if arguments.json:
        clients.print_json(history)
        return 0
    rows = [
        [
            item["version"],
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(item["at_ms"] / 1000)),
            item["actor"],
            item["change_id"],
            item["note"],
        ]
        for item in history
    ]
    clients.print_table(["VERSION", "AT (UTC)", "ACTOR", "CHANGE", "NOTE"], rows)
    return 0


def run_status(arguments: argparse.Namespace) -> int:
    """``config status``: the version in force on each daemon."""
    response = clients.connect(arguments).get("/admin/config/status")
    if arguments.json:
        clients.print_json(response)
        return 0
    print(f"version {response['version']}")
    rows = [
        [name, item["version"], item["state"]] for name, item in sorted(response["daemons"].items())
    ]
    clients.print_table(["DAEMON", "VERSION", "STATE"], rows)
    return 0


def add_config(nouns: Any) -> None:
    """Add ``config`` and its verbs."""
    noun = nouns.add_parser("config", help="the fleet's configuration")
    verbs = noun.add_subparsers(required=True, metavar="VERB")

    def add_verb(name: str, run: Callable[[argparse.Namespace], int], text: str) -> Any:
        verb = verbs.add_parser(name, help=text)
        clients.add_options(verb)
        verb.set_defaults(run=run)
        return verb

    apply = add_verb("apply", run_apply, "submit a complete configuration")
    apply.add_argument("file", metavar="FILE")
    apply.add_argument("--against", type=int, help="version that it is based on")
    apply.add_argument("--change-id", default="", help="id for resubmitting a change")
    apply.add_argument("--note", default="", help="note for the history")
    apply.add_argument("--wait", action="store_true", help="wait until it is in force everywhere")
    apply.add_argument("--timeout", type=float, default=14.0, help="maximum seconds to wait")
    add_verb("check", run_check, "check a file without a daemon").add_argument(
        "file", metavar="FILE"
    )
    add_verb("show", run_show, "the configuration in force")
    add_verb("diff", run_diff, "changes that a file would make").add_argument(
        "file", metavar="FILE"
    )
    add_verb("history", run_history, "accepted changes")
    add_verb("status", run_status, "version in force on each daemon")


# Sections of the document


def _find_entity(document: dict[str, Any], section: str, name: str) -> Any:
    found = document.get(section, {}).get(name)
    if found is None:
        known = sorted(document.get(section, {}))
        message = f"got {name!r}, expected one of {known}"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
    return found


def _edit_section(
    arguments: argparse.Namespace, section: str, change: Callable[[dict[str, Any]], None], note: str
) -> int:
    """Edit one section, based on the version in force."""
    client = clients.connect(arguments)
    current = client.get("/admin/config")
    document = current["document"]
    change(document.setdefault(section, {}))
    response = apply_document(client, document, current["version"], note)
    if arguments.json:
        clients.print_json({"accepted": True, "version": response["version"]})
    else:
        print(f"accepted as version {response['version']}")
    return 0


def add_section(nouns: Any, name: str, section: str) -> Any:
    """Add a noun for a section with list, show, put and delete; return its verbs."""
    noun = nouns.add_parser(name, help=f"the section {section!r} of the configuration")
    verbs = noun.add_subparsers(required=True, metavar="VERB")

    def run_list(arguments: argparse.Namespace) -> int:
        entities = clients.connect(arguments).get("/admin/config")["document"].get(section, {})
        clients.print_json(entities) if arguments.json else print("\n".join(sorted(entities)))
        return 0

    def run_show(arguments: argparse.Namespace) -> int:
        document = clients.connect(arguments).get("/admin/config")["document"]
        clients.print_json(_find_entity(document, section, arguments.name))
        return 0

    def run_put(arguments: argparse.Namespace) -> int:
        data = reader.read_file(arguments.file)
        if isinstance(data, result.Err):
            raise faults.FaultError(data.err_value)
        checked = reader.validate(documents.KINDS[section], data.ok_value, arguments.file)
        if isinstance(checked, result.Err):
            raise faults.FaultError(checked.err_value)
        return _edit_section(
            arguments,
            section,
            lambda entities: entities.update({arguments.name: data.ok_value}),
            f"put {name} {arguments.name}",
        )

    def run_delete(arguments: argparse.Namespace) -> int:
        return _edit_section(
            arguments,
            section,
            lambda entities: entities.pop(arguments.name, None),
            f"delete {name} {arguments.name}",
        )

    runs = {"list": run_list, "show": run_show, "put": run_put, "delete": run_delete}
    for verb_name, run in runs.items():
        verb = verbs.add_parser(verb_name)
        clients.add_options(verb)
        verb.set_defaults(run=run)
        if verb_name != "list":
            verb.add_argument("name", metavar="NAME")
        if verb_name == "put":
            verb.add_argument("file", metavar="FILE")
    return verbs
