"""Real processes on loopback: the daemons, fake runners and services of a configuration.

`plan` derives the processes and their settings from a configuration; `Fleet` starts, kills, pauses
and restarts them. ``python -m tillerlane.testing.deployment CONFIG FOLDER`` writes the settings
files as examples.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import httpx

from tillerlane.config import documents, reader, settings

__all__ = ["Fleet", "Plan", "find_free_ports", "plan"]

OPERATOR_KEY = "example-operator"
START_SECONDS = 120.0
"""Timeout for the start of a process: each needs 1.6 s of CPU time before it responds, and several
fleets may start at once on a busy host."""
STOP_SECONDS = 20.0
LAST_LINES = 8
"""Number of lines to show from the output of a process that failed."""


def find_free_ports(count: int) -> list[int]:
    """Find ports that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


@dataclasses.dataclass(slots=True)
class Plan:
    """Processes of a deployment.

    Attributes
    ----------
    daemons : dict
        Daemon id to its settings.
    programs : dict
        Fake runner or service to its command line, without the Python interpreter.
    urls : dict
        Fake runner or service to its URL.
    """

    daemons: dict[str, dict[str, Any]]
    programs: dict[str, list[str]]
    urls: dict[str, str]

    def get_http(self, daemon: str) -> str:
        """URL of a daemon's HTTP interface."""
        return f"http://{self.daemons[daemon]['http_address']}"

    def list_role(self, role: str) -> list[str]:
        """List the daemons with a role."""
        return [name for name, item in self.daemons.items() if role in item["roles"]]


def _find_targets(document: documents.Document) -> dict[str, tuple[str, str, list[str]]]:
    """Map each target to (data hall, kind, models)."""
    targets = {}
    for pool in document.pools.values():
        for name, runner in pool.runners.items():
            models = runner.models if runner.models is not None else pool.models
            targets[name] = (runner.data_hall, settings.TargetKind.RUNNER.value, models)
    for service in document.services.values():
        for name, target in service.targets.items():
            targets[name] = (target.data_hall, settings.TargetKind.SERVICE.value, [])
    return targets


def _command(kind: str, port: int, models: list[str], options: list[str]) -> list[str]:
    if kind == settings.TargetKind.SERVICE.value:
        return ["-m", "tillerlane.testing.service_program", "--port", str(port)]
    start = ["-m", "tillerlane.testing.runner_program", "--port", str(port)]
    return [*start, "--models", ",".join(models), *options]


def plan(
    document: documents.Document,
    folder: str,
    *,
    ports: list[int] | None = None,
    keepers: int = 3,
    entries: int = 2,
    runner_options: list[str] | None = None,
    extra: dict[str, Any] | None = None,
) -> Plan:
    """Plan the keepers, the entries, and one agent per data hall with the hall's targets.

    Parameters
    ----------
    document : documents.Document
        The configuration, which is not applied here.
    folder : str
        Folder for logs and the keepers' data.
    ports : list of int, optional
        Ports to use; free ones by default.
    keepers, entries : int
        Number of daemons of each role.
    runner_options : list of str, optional
        Additional arguments of the fake runners.
    extra : dict, optional
        Additional settings of every daemon.
    """
    targets = _find_targets(document)
    halls = sorted({hall for hall, _, _ in targets.values()})
    daemon_halls = halls or ["hall-a"]
    needed = 2 * (keepers + entries + len(halls)) + len(targets)
    free = iter(ports or find_free_ports(needed))
    keeper_addresses = {
        f"keeper-{number}": f"127.0.0.1:{next(free)}" for number in range(1, keepers + 1)
    }
    operator = {
        "keys": [documents.hash_key(OPERATOR_KEY)],
        "roles": [role.value for role in documents.OperatorRole],
    }

    def build(name: str, hall: str, role: str, peer: str, **more: Any) -> dict[str, Any]:
        return {
            "daemon": name,
            "data_hall": hall,
            "roles": [role],
            "peer_address": peer,
            "http_address": f"127.0.0.1:{next(free)}",
            "keepers": keeper_addresses,
            "operators": {"first": operator},
            "log_file": f"{folder}/{name}.log",
            **more,
            **(extra or {}),
        }

    result = Plan({}, {}, {})
    for number, (name, address) in enumerate(keeper_addresses.items()):
        hall = daemon_halls[number % len(daemon_halls)]
        result.daemons[name] = build(name, hall, "keeper", address, data_folder=f"{folder}/{name}")
    for number in range(1, entries + 1):
        name = f"entry-{number}"
        hall = daemon_halls[(number - 1) % len(daemon_halls)]
        result.daemons[name] = build(name, hall, "entry", f"127.0.0.1:{next(free)}")
    for hall in halls:
        own: dict[str, Any] = {}
        for name, (target_hall, kind, models) in targets.items():
            if target_hall != hall:
                continue
            port = next(free)
            own[name] = {"url": f"http://127.0.0.1:{port}", "kind": kind}
            result.urls[name] = own[name]["url"]
            result.programs[name] = _command(kind, port, models, runner_options or [])
        name = f"agent-{hall}"
        result.daemons[name] = build(name, hall, "agent", f"127.0.0.1:{next(free)}", targets=own)
    return result


class Fleet:
    """The running processes of a plan.

    Parameters
    ----------
    plan : Plan
        The processes to run.
    folder : pathlib.Path
        Folder for settings, logs and data.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        folder.mkdir(parents=True, exist_ok=True)
        for name, item in plan.daemons.items():
            (folder / f"{name}.json").write_text(json.dumps(item, indent=2))

    def start(self, *names: str) -> None:
        """Start the named processes, by default all."""
        for name in names or [*self.plan.programs, *self.plan.daemons]:
            command = self.plan.programs.get(name)
            if command is None:
                path = str(self.folder / f"{name}.json")
                command = ["-m", "tillerlane.daemon.main", "--settings", path]
            output = open(self.folder / f"{name}.out", "ab")  # noqa: SIM115
            environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
            self._running[name] = subprocess.Popen(
                [sys.executable, *command], stdout=output, stderr=output, env=environment
            )
            output.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this fleet."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process immediately."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, timeout: float = STOP_SECONDS) -> int:
        """Stop a process with SIGTERM and return its exit status."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        return process.wait(timeout)

    def is_running(self, name: str) -> bool:
        """Whether a process runs."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def stop_all(self) -> dict[str, int]:
        """Stop all processes, entries first, and return their exit statuses."""
        order = [*self.plan.list_role("entry"), *self.plan.list_role("agent")]
        order += [*self.plan.list_role("keeper"), *self.plan.programs]
        statuses = {}
        for role_names in (order[: len(self.plan.list_role("entry"))], order):
            waiting = [name for name in role_names if name in self._running]
            for name in waiting:
                self._running[name].send_signal(signal.SIGCONT)
                self._running[name].terminate()
            for name in waiting:
                process = self._running.pop(name)
                try:
                    statuses[name] = process.wait(STOP_SECONDS)
                except subprocess.TimeoutExpired:
                    process.kill()
                    statuses[name] = process.wait()
        return statuses

    def read_last_lines(self, name: str) -> list[str]:
        """Read the last lines of a process's log, if it has one, and of its output."""
        lines = []
        for path in (self.folder / f"{name}.log", self.folder / f"{name}.out"):
            if path.exists():
                lines += path.read_text(errors="replace").splitlines()[-LAST_LINES:]
        return lines

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for name in list(self._running):
            self.kill(name)

    def get_pid(self, name: str) -> int:
        """Process id."""
        return self._running[name].pid

    # Polling for readiness, whose duration must not be used as a measurement

    def wait_answering(self, *names: str) -> None:
        """Wait until the named processes, by default all, respond over HTTP."""
        deadline = time.monotonic() + START_SECONDS
        urls = {name: self.plan.get_http(name) + "/healthz" for name in self.plan.daemons}
        urls |= {name: url + "/test/record" for name, url in self.plan.urls.items()}
        for name in names or list(urls):
            while not _is_serving(urls[name]):
                self._check_runs(name)
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} did not respond in time")
                time.sleep(0.05)

    def _check_runs(self, name: str) -> None:
        """Raise an error if a process that was started here has exited."""
        if name in self._running and not self.is_running(name):
            lines = "\n".join(self.read_last_lines(name))
            raise ChildProcessError(f"{name} has exited:\n{lines}")

    def wait_ready(self) -> None:
        """Wait until every entry is ready."""
        deadline = time.monotonic() + START_SECONDS
        for name in self.plan.list_role("entry"):
            while not _is_serving(self.plan.get_http(name) + "/readyz"):
                self._check_runs(name)
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} was not ready in time")
                time.sleep(0.05)

    def apply(self, document: dict[str, Any], against: int, change_id: str) -> dict[str, Any]:
        """Apply a configuration through an entry, with retries until there is a leader."""
        deadline = time.monotonic() + START_SECONDS
        body = {"against": against, "change_id": change_id, "document": document}
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.plan.get_http(self.plan.list_role("entry")[0]) + "/admin/config"
        while True:
            response = httpx.post(url, json=body, headers=headers, timeout=15, trust_env=False)
            if response.status_code != 503 or time.monotonic() > deadline:
                response.raise_for_status()
                return response.json()
            time.sleep(0.1)


def _is_serving(url: str) -> bool:
    try:
        return httpx.get(url, timeout=2, trust_env=False).status_code == 200
    except httpx.HTTPError:
        return False


def read_example(path: str | pathlib.Path) -> tuple[dict[str, Any], documents.Document]:
    """Read an example configuration, as plain values and as a validated document."""
    data = reader.read_file(path).unwrap()
    return data, reader.validate(documents.Document, data, str(path)).unwrap()


def main() -> None:
    """Write the settings files of an example configuration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("config")
    parser.add_argument("folder")
    arguments = parser.parse_args()
    _, document = read_example(arguments.config)
    result = plan(document, "out/example", ports=list(range(17_000, 17_100)))
    folder = pathlib.Path(arguments.folder)
    folder.mkdir(parents=True, exist_ok=True)
    for name, item in result.daemons.items():
        (folder / f"{name}.json").write_text(json.dumps(item, indent=2) + "\n")


if __name__ == "__main__":
    main()
