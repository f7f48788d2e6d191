"""``tillerlane policy check | try | explain`` and ``tillerlane workspace key``."""

import argparse
from typing import Any

import result

from tillerlane.cli import client as clients
from tillerlane.config import documents, reader
from tillerlane.faults import core as faults
from tillerlane.faults import kinds
from tillerlane.policy import program as programs

__all__ = ["add_policy_verbs", "add_workspace_verbs"]


def _read_policy(path: str) -> documents.Policy:
    checked = reader.read_file(path).and_then(
        lambda data: reader.validate(documents.Policy, data, path)
    )
    if isinstance(checked, result.Err):
        raise faults.FaultError(checked.err_value)
    return checked.ok_value


def _compile_policy(path: str) -> programs.Program:
    checked = programs.check_policy(path, _read_policy(path))
    if isinstance(checked, result.Err):
        raise faults.FaultError(checked.err_value)
    return checked.ok_value


def run_check(arguments: argparse.Namespace) -> int:
    """``policy check``: check syntax, facts, types, bounds and the policy's examples."""
    program = _compile_policy(arguments.file)
    names = sorted(program.expressions)
    if arguments.json:
        clients.print_json({"file": arguments.file, "valid": True, "expressions": names})
    else:
        print(f"{arguments.file}: valid, with {', '.join(names) or 'the built-in rules only'}")
    return 0


def run_try(arguments: argparse.Namespace) -> int:
    """``policy try``: evaluate each expression on given facts."""
    program = _compile_policy(arguments.file)
    data = reader.read_file(arguments.facts)
    if isinstance(data, result.Err):
        raise faults.FaultError(data.err_value)
    facts = programs.convert_facts(data.ok_value)
    values: dict[str, Any] = {}
    for name, compiled in program.expressions.items():
        missing = [fact for fact in compiled.fact_names if fact not in facts]
        if missing:
            values[name] = {"missing": missing}
            continue
        try:
            values[name] = {"value": compiled.program.execute(facts)}
        except Exception as error:
            message = f"{name}: {error}"
            fault = faults.new_fault(kinds.ErrorKind.INVALID_POLICY, message)
            raise faults.FaultError(fault) from error
    if arguments.json:
        clients.print_json(values)
    else:
        rows = [
            [name, item.get("value", "-"), ", ".join(item.get("missing", []))]
            for name, item in values.items()
        ]
        clients.print_table(["EXPRESSION", "VALUE", "FACTS MISSING"], rows)
    return 0


def run_explain(arguments: argparse.Namespace) -> int:
    """``policy explain``: show the expressions and facts that decided on a request."""
    response = clients.connect(arguments).get("/admin/timeline", request_id=arguments.request)
    decisions = []
    for event in response["events"]:
        fields = event["fields"]
        explained = {
            name: value
            for name, value in fields.items()
            if isinstance(value, dict) and "facts" in value
        }
        if explained or "rank" in fields:
            rank = {"rank": {"value": fields["rank"]}} if "rank" in fields else {}
            decisions.append(
                {
                    "event": event["name"],
                    "daemon": event["daemon"],
                    "generation": event["generation_id"],
                    "expressions": {**rank, **explained},
                }
            )
    if arguments.json:
        clients.print_json(decisions)
        return 0
    for decision in decisions:
        print(f"{decision['event']} on {decision['daemon']} ({decision['generation']})")
        for name, item in decision["expressions"].items():
            facts = ", ".join(f"{key}={value}" for key, value in item.get("facts", {}).items())
            print(f"  {name} = {item['value']}" + (f"  from {facts}" if facts else ""))
    if not decisions:
        print(f"no decision on {arguments.request} is remembered")
    return 0


def add_policy_verbs(verbs: Any) -> None:
    """Add the verbs specific to policies."""
    check = verbs.add_parser("check", help="check a program without a daemon")
    check.add_argument("file", metavar="FILE")
    evaluate = verbs.add_parser("try", help="evaluate a program on facts")
    evaluate.add_argument("file", metavar="FILE")
    evaluate.add_argument("--facts", required=True, metavar="FILE")
    explain = verbs.add_parser("explain", help="show the decisions on a request")
    explain.add_argument("--request", required=True, metavar="ID")
    for verb, run in ((check, run_check), (evaluate, run_try), (explain, run_explain)):
        clients.add_options(verb)
        verb.set_defaults(run=run)


def run_key(arguments: argparse.Namespace) -> int:
    """``workspace key``: generate a key and the hash to store in the configuration."""
    key = documents.new_key()
    response = {"key": key, "hash": documents.hash_key(key)}
    if arguments.json:
        clients.print_json(response)
    else:
        print(f"key   {response['key']}\nhash  {response['hash']}")
    return 0


def add_workspace_verbs(verbs: Any) -> None:
    """Add the verbs specific to workspaces."""
    key = verbs.add_parser("key", help="generate a key; the configuration stores its hash")
    clients.add_options(key)
    key.set_defaults(run=run_key)
