"""Real processes on loopback: daemons, fake runners and services of an example configuration.

`plan` derives from a configuration which processes there are and their settings; `Fleet` starts,
kills, freezes and restarts them.  ``python -m tillerlane.testing.deployment CONFIG FOLDER`` writes
the settings files as examples.
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

__all__ = ["Fleet", "Plan", "free_ports", "plan"]

OPERATOR_KEY = "example-operator"
START_SECONDS = 120.0
"""Longest wait for a process that has not ended: each needs 1.6 s of a core before it answers, and
several fleets may start at once beside other work."""
STOP_SECONDS = 20.0
LAST_LINES = 8
"""Lines that are shown of a process that ended badly."""


def free_ports(count: int) -> list[int]:
    """Ports that are free at the moment."""
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
        Fake runner or service to its command line, without the interpreter.
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
        """Daemons with a role."""
        return [name for name, item in self.daemons.items() if role in item["roles"]]


def _find_targets(document: documents.Document) -> dict[str, tuple[str, str, list[str]]]:
    """Target to (data hall, kind, models)."""
    found = {}
    for pool in document.pools.values():
        for name, runner in pool.runners.items():
            models = runner.models if runner.models is not None else pool.models
            found[name] = (runner.data_hall, settings.TargetKind.RUNNER.value, models)
    for service in document.services.values():
        for name, target in service.targets.items():
            found[name] = (target.data_hall, settings.TargetKind.SERVICE.value, [])
    return found


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
    """Plan one agent for each data hall, with the hall's targets, and the keepers and entries.

    Parameters
    ----------
    document : documents.Document
        The configuration; it is not applied here.
    folder : str
        Where keepers and logs lie.
    ports : list of int, optional
        Ports to use; free ones by default.
    keepers, entries : int
        How many of each.
    runner_options : list of str, optional
        Further arguments of the fake runners.
    extra : dict, optional
        Further settings of every daemon.
    """
    targets = _find_targets(document)
    halls = sorted({hall for hall, _, _ in targets.values()})
    homes = halls or ["hall-a"]
    needed = 2 * (keepers + entries + len(halls)) + len(targets)
    free = iter(ports or free_ports(needed))
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
        hall = homes[number % len(homes)]
        result.daemons[name] = build(name, hall, "keeper", address, data_folder=f"{folder}/{name}")
    for number in range(1, entries + 1):
        name = f"entry-{number}"
        hall = homes[(number - 1) % len(homes)]
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
    """Processes of a plan.

    Parameters
    ----------
    plan : Plan
        What to run.
    folder : pathlib.Path
        Where settings, logs and data lie.
    """

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        folder.mkdir(parents=True, exist_ok=True)
        for name, item in plan.daemons.items():
            (folder / f"{name}.json").write_text(json.dumps(item, indent=2))

    def start(self, *names: str) -> None:
        """Start processes; all of them by default."""
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
        """Kill a process at once."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, timeout: float = STOP_SECONDS) -> int:
        """End a process by SIGTERM and give its exit status."""
        process = self._running.pop(name)
        process.send_signal(signal.SIGCONT)
        process.terminate()
        return process.wait(timeout)

    def is_running(self, name: str) -> bool:
        """Whether a process runs."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def stop_all(self) -> dict[str, int]:
        """End all processes: entries first, then agents, keepers and fakes; exit statuses."""
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
        """The end of what a process wrote: to its log, if it has one, and to its output."""
        found = []
        for path in (self.folder / f"{name}.log", self.folder / f"{name}.out"):
            if path.exists():
                found += path.read_text(errors="replace").splitlines()[-LAST_LINES:]
        return found

    def kill_all(self) -> None:
        """Kill whatever still runs."""
        for name in list(self._running):
            self.kill(name)

    def read_pid(self, name: str) -> int:
        """Process id."""
        return self._running[name].pid

    # Waiting, for readiness only: no figure is taken from it

    def wait_answering(self, *names: str) -> None:
        """Wait until processes answer over HTTP."""
        until = time.monotonic() + START_SECONDS
        urls = {name: self.plan.get_http(name) + "/healthz" for name in self.plan.daemons}
        urls |= {name: url + "/test/record" for name, url in self.plan.urls.items()}
        for name in names or list(urls):
            while not _answers(urls[name]):
                self._check_runs(name)
                if time.monotonic() > until:
                    raise TimeoutError(f"{name} does not answer")
                time.sleep(0.05)

    def _check_runs(self, name: str) -> None:
        """Give up a process that was started here and has ended."""
        if name in self._running and not self.is_running(name):
            lines = "\n".join(self.read_last_lines(name))
            raise ChildProcessError(f"{name} has ended:\n{lines}")

    def wait_ready(self) -> None:
        """Wait until every entry is ready."""
        until = time.monotonic() + START_SECONDS
        for name in self.plan.list_role("entry"):
            while not _answers(self.plan.get_http(name) + "/readyz"):
                self._check_runs(name)
                if time.monotonic() > until:
                    raise TimeoutError(f"{name} is not ready")
                time.sleep(0.05)

    def apply(self, document: dict[str, Any], against: int, change_id: str) -> dict[str, Any]:
        """Apply a configuration over an entry, trying until there is a leader."""
        until = time.monotonic() + START_SECONDS
        body = {"against": against, "change_id": change_id, "document": document}
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.plan.get_http(self.plan.list_role("entry")[0]) + "/admin/config"
        while True:
            answer = httpx.post(url, json=body, headers=headers, timeout=15, trust_env=False)
            if answer.status_code != 503 or time.monotonic() > until:
                answer.raise_for_status()
                return answer.json()
            time.sleep(0.1)


def _answers(url: str) -> bool:
    try:
        return httpx.get(url, timeout=2, trust_env=False).status_code == 200
    except httpx.HTTPError:
        return False


def read_example(path: str | pathlib.Path) -> tuple[dict[str, Any], documents.Document]:
    """An example configuration, as values and as a checked document."""
    data = reader.read_file(path).unwrap()
    return data, reader.validate(documents.Document, data, str(path)).unwrap()


def main() -> None:
    """Write settings files for an example."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("config")
    parser.add_argument("folder")
    arguments = parser.parse_args()
    _, document = read_example(arguments.config)
    made = plan(document, "out/example", ports=list(range(17_000, 17_100)))
    folder = pathlib.Path(arguments.folder)
    folder.mkdir(parents=True, exist_ok=True)
    for name, item in made.daemons.items():
        (folder / f"{name}.json").write_text(json.dumps(item, indent=2) + "\n")


if __name__ == "__main__":
    main()
