"""``tillerlane config``, and the sections of the document as nouns of their own."""

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

POLL_SECONDS = 0.1
RESEND_TRIES = 5


def read_document_file(path: str) -> dict[str, Any]:
    """A document from a file, checked as the daemon will check it.

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
    """Submit a change; a lost answer is asked for again under the same change id.

    Raises
    ------
    faults.FaultError
        With the daemon's answer.
    """
    body = {
        "against": against,
        "change_id": change_id or "c-" + secrets.token_hex(8),
        "document": document,
        "note": note,
    }
    for number in range(RESEND_TRIES):
        try:
            return client.post("/admin/config", body)
        except faults.FaultError as error:
            is_lost = error.fault.ran is kinds.Ran.UNKNOWN
            if not is_lost or number == RESEND_TRIES - 1:
                raise
            time.sleep(0.5)
    raise AssertionError("unreachable")


def wait_in_force(client: clients.Client, version: int, timeout: float) -> tuple[float, list[str]]:
    """Wait until every live daemon has a version; seconds it took, and who still lacks it."""
    began = time.monotonic()
    while True:
        status = client.get("/admin/config/status")
        behind = [
            name
            for name, item in status["daemons"].items()
            if item["state"] == "live" and item["version"] < version
        ]
        took = time.monotonic() - began
        if not behind or took > timeout:
            return took, sorted(behind)
        time.sleep(POLL_SECONDS)


def run_apply(arguments: argparse.Namespace) -> int:
    """``config apply``."""
    client = clients.connect(arguments)
    document = read_document_file(arguments.file)
    against = arguments.against
    if against is None:
        against = client.get("/admin/config")["version"]
    answer = apply_document(client, document, against, arguments.note, arguments.change_id)
    answer = {key: answer[key] for key in ("accepted", "version") if key in answer}
    if arguments.wait:
        took, behind = wait_in_force(client, answer["version"], arguments.timeout)
        answer |= {"in_force_after_s": round(took, 3), "waiting_for": behind}
    if arguments.json:
        clients.print_json(answer)
    else:
        print(f"accepted as version {answer['version']}")
        if arguments.wait and not answer["waiting_for"]:
            print(f"in force on every live daemon after {answer['in_force_after_s']} s")
        elif arguments.wait:
            print(f"still waiting for {', '.join(answer['waiting_for'])}")
    return 1 if arguments.wait and answer["waiting_for"] else 0


def run_check(arguments: argparse.Namespace) -> int:
    """``config check``."""
    read_document_file(arguments.file)
    answer = {"file": arguments.file, "valid": True}
    clients.print_json(answer) if arguments.json else print(f"{arguments.file}: valid")
    return 0


def run_show(arguments: argparse.Namespace) -> int:
    """``config show``."""
    answer = clients.connect(arguments).get("/admin/config")
    if arguments.json:
        clients.print_json(answer)
    else:
        print(f"// version {answer['version']}")
        clients.print_json(answer["document"])
    return 0


def run_diff(arguments: argparse.Namespace) -> int:
    """``config diff``: what a file would change."""
    answer = clients.connect(arguments).get("/admin/config")
    checked = changes.check_document(read_document_file(arguments.file), arguments.file)
    wanted = checked.unwrap().model_dump(mode="json", exclude_defaults=True)
    wanted.setdefault("fleet", {})
    old = json.dumps(answer["document"], indent=2, sort_keys=True).splitlines()
    new = json.dumps(wanted, indent=2, sort_keys=True).splitlines()
    lines = list(
        difflib.unified_diff(old, new, f"version {answer['version']}", arguments.file, lineterm="")
    )
    if arguments.json:
        clients.print_json({"version": answer["version"], "diff": lines})
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
    """``config status``: which daemon has which version in force."""
    answer = clients.connect(arguments).get("/admin/config/status")
    if arguments.json:
        clients.print_json(answer)
        return 0
    print(f"version {answer['version']}")
    rows = [
        [name, item["version"], item["state"]] for name, item in sorted(answer["daemons"].items())
    ]
    clients.print_table(["DAEMON", "VERSION", "STATE"], rows)
    return 0


def add_config(nouns: Any) -> None:
    """Add ``config`` and its verbs."""
    noun = nouns.add_parser("config", help="the fleet's configuration")
    verbs = noun.add_subparsers(required=True, metavar="VERB")

    def add(name: str, run: Callable[[argparse.Namespace], int], text: str) -> Any:
        verb = verbs.add_parser(name, help=text)
        clients.add_options(verb)
        verb.set_defaults(run=run)
        return verb

    apply = add("apply", run_apply, "submit a whole configuration")
    apply.add_argument("file", metavar="FILE")
    apply.add_argument("--against", type=int, help="version that it was made against")
    apply.add_argument("--change-id", default="", help="to send a change again")
    apply.add_argument("--note", default="", help="for the history")
    apply.add_argument("--wait", action="store_true", help="wait until it is in force everywhere")
    apply.add_argument("--timeout", type=float, default=14.0, help="seconds to wait at most")
    add("check", run_check, "check a file without a daemon").add_argument("file", metavar="FILE")
    add("show", run_show, "the configuration in force")
    add("diff", run_diff, "what a file would change").add_argument("file", metavar="FILE")
    add("history", run_history, "accepted changes")
    add("status", run_status, "which daemon has which version")


# Sections of the document


def _find(document: dict[str, Any], section: str, name: str) -> Any:
    found = document.get(section, {}).get(name)
    if found is None:
        known = sorted(document.get(section, {}))
        message = f"got {name!r}, expected one of {known}"
        raise faults.FaultError(faults.new_fault(kinds.ErrorKind.NOT_FOUND, message))
    return found


def _edit(
    arguments: argparse.Namespace, section: str, change: Callable[[dict[str, Any]], None], note: str
) -> int:
    """Change one section against the version just read."""
    client = clients.connect(arguments)
    current = client.get("/admin/config")
    document = current["document"]
    change(document.setdefault(section, {}))
    answer = apply_document(client, document, current["version"], note)
    if arguments.json:
        clients.print_json({"accepted": True, "version": answer["version"]})
    else:
        print(f"accepted as version {answer['version']}")
    return 0


def add_section(nouns: Any, name: str, section: str) -> Any:
    """Add a noun for a section: list, show, put and delete; gives its verbs for more."""
    noun = nouns.add_parser(name, help=f"the section {section!r} of the configuration")
    verbs = noun.add_subparsers(required=True, metavar="VERB")

    def run_list(arguments: argparse.Namespace) -> int:
        items = clients.connect(arguments).get("/admin/config")["document"].get(section, {})
        clients.print_json(items) if arguments.json else print("\n".join(sorted(items)))
        return 0

    def run_show(arguments: argparse.Namespace) -> int:
        document = clients.connect(arguments).get("/admin/config")["document"]
        clients.print_json(_find(document, section, arguments.name))
        return 0

    def run_put(arguments: argparse.Namespace) -> int:
        data = reader.read_file(arguments.file)
        if isinstance(data, result.Err):
            raise faults.FaultError(data.err_value)
        checked = reader.validate(documents.KINDS[section], data.ok_value, arguments.file)
        if isinstance(checked, result.Err):
            raise faults.FaultError(checked.err_value)
        return _edit(
            arguments,
            section,
            lambda items: items.update({arguments.name: data.ok_value}),
            f"put {name} {arguments.name}",
        )

    def run_delete(arguments: argparse.Namespace) -> int:
        return _edit(
            arguments,
            section,
            lambda items: items.pop(arguments.name, None),
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
