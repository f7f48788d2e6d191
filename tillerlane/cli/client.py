"""HTTP client of the command line, and the options common to all sub-commands."""

import argparse
import dataclasses
import json
import os
import ssl
import sys
from typing import Any

import httpx

from tillerlane.faults import core as faults
from tillerlane.faults import kinds

__all__ = ["Client", "add_options", "connect", "print_json", "print_table"]

SERVER_VARIABLE = "TILLERLANE_SERVER"
KEY_VARIABLE = "TILLERLANE_KEY"
AUTHORITY_VARIABLE = "TILLERLANE_AUTHORITY"
DEFAULT_SERVER = "http://127.0.0.1:8001"
CALL_TIMEOUT_SECONDS = 15.0


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options common to all sub-commands."""
    parser.add_argument(
        "--server",
        default=os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER),
        help=f"URL of any daemon (or {SERVER_VARIABLE})",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help=f"operator's key (or {KEY_VARIABLE})",
    )
    parser.add_argument(
        "--authority",
        default=os.environ.get(AUTHORITY_VARIABLE, ""),
        help=f"file with the authority of the server's certificate (or {AUTHORITY_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def _parse_fault(response: httpx.Response) -> faults.Fault:
    try:
        error = response.json()["error"]
        return faults.Fault(
            kind=kinds.ErrorKind(error["type"]),
            message=error["message"],
            ran=kinds.Ran(error["ran"]),
            retry_after=error.get("retry_after"),
            detail=error.get("detail", {}),
        )
    except (ValueError, KeyError, TypeError):
        message = f"status {response.status_code} without a fault: {response.text[:200]}"
        return faults.new_fault(kinds.ErrorKind.INTERNAL, message)


@dataclasses.dataclass(slots=True)
class Client:
    """Client of one daemon's operators' interface."""

    server: str
    http: httpx.Client

    def call(self, method: str, path: str, **options: Any) -> Any:
        """Send a request and return the JSON of the response.

        Raises
        ------
        faults.FaultError
            The daemon's fault, or ``unreachable``.
        """
        try:
            response = self.http.request(method, path, **options)
        except httpx.HTTPError as error:
            ran = kinds.Ran.NO if isinstance(error, httpx.ConnectError) else kinds.Ran.UNKNOWN
            message = f"{self.server}: {error}"
            raise faults.FaultError(
                faults.new_fault(kinds.ErrorKind.UNREACHABLE, message, ran=ran)
            ) from error
        if response.status_code >= 400:
            raise faults.FaultError(_parse_fault(response))
        return response.json()

    def get(self, path: str, **parameters: Any) -> Any:
        """Send a GET request."""
        return self.call("GET", path, params=parameters)

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """Send a POST request with a JSON body."""
        return self.call("POST", path, json=body)


def connect(arguments: argparse.Namespace) -> Client:
    """Build the client from the common options."""
    headers = {"authorization": f"Bearer {arguments.key}"} if arguments.key else {}
    verify: ssl.SSLContext | bool = True
    if arguments.authority:
        verify = ssl.create_default_context(cafile=arguments.authority)
    http = httpx.Client(
        base_url=arguments.server,
        headers=headers,
        timeout=CALL_TIMEOUT_SECONDS,
        verify=verify,
        trust_env=False,
    )
    return Client(arguments.server, http)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    json.dump(value, sys.stdout, indent=2, ensure_ascii=False)
    print()


def print_table(titles: list[str], rows: list[list[Any]]) -> None:
    """Print rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in [titles, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(titles))]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())
