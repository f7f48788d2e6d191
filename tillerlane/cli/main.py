"""Entry point of ``tillerlane``; the exit status gives the kind of a fault."""

import argparse
import sys

from tillerlane import __version__
from tillerlane.cli import client as clients
from tillerlane.cli import configs, fleets, policies
from tillerlane.faults import core as faults

__all__ = ["main"]


def build_parser() -> argparse.ArgumentParser:
    """Build the parser with all nouns and verbs."""
    parser = argparse.ArgumentParser(prog="tillerlane", description="Operate a tillerlane fleet.")
    parser.add_argument("--version", action="version", version=__version__)
    nouns = parser.add_subparsers(required=True, metavar="NOUN")
    configs.add_config(nouns)
    policies.add_workspace_verbs(configs.add_section(nouns, "workspace", "workspaces"))
    configs.add_section(nouns, "class", "classes")
    policies.add_policy_verbs(configs.add_section(nouns, "policy", "policies"))
    configs.add_section(nouns, "pool", "pools")
    configs.add_section(nouns, "service", "services")
    fleets.add_runner(nouns)
    fleets.add_evacuate(nouns)
    fleets.add_request(nouns)
    fleets.add_keeper(nouns)
    fleets.add_placement(nouns)
    fleets.add_timeline(nouns)
    fleets.add_status(nouns)
    return parser


def main() -> None:
    """Run a command."""
    arguments = build_parser().parse_args()
    try:
        sys.exit(arguments.run(arguments))
    except faults.FaultError as error:
        fault = error.fault
        if arguments.json:
            clients.print_json(fault.to_json())
        else:
            print(f"tillerlane: {fault.kind}: {fault.message}", file=sys.stderr)
        sys.exit(fault.response.exit_code)
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
