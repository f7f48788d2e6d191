"""Demonstration of the main workflow.

It starts a fleet, changes its configuration, streams a record, shows its time line, and stops.

Everything uses the public programs and interfaces; only the runners and the service are fakes.
"""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import time

import httpx

from tillerlane.testing import deployment

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONFIG = ROOT / "examples" / "brattvik" / "config.json"
FOLDER = ROOT / "out" / "demo"
CALLER_KEY = "example-katalog"
RECORD_TOKENS = 60


def print_step(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n== {text}", flush=True)


def run_cli(fleet: deployment.Fleet, *words: str) -> str:
    """Run the command-line tool, then print and return its output."""
    environment = {
        **os.environ,
        "TILLERLANE_SERVER": fleet.plan.get_http("entry-1"),
        "TILLERLANE_KEY": deployment.OPERATOR_KEY,
    }
    print("$ tillerlane " + " ".join(words), flush=True)
    command = [sys.executable, "-m", "tillerlane.cli.main", *words]
    done = subprocess.run(command, env=environment, capture_output=True, text=True, check=False)
    print(done.stdout, end="", flush=True)
    if done.returncode != 0:
        print(done.stderr, file=sys.stderr)
        raise SystemExit(f"the command failed with exit status {done.returncode}")
    return done.stdout


def stream_record(fleet: deployment.Fleet) -> str:
    """Stream one record as a caller does and return its request id."""
    body = {
        "model": "record",
        "stream": True,
        "max_tokens": RECORD_TOKENS,
        "messages": [{"role": "user", "content": "Title page, Bergen 1884, half calf, 212 leaves"}],
    }
    url = fleet.plan.get_http("entry-1") + "/v1/chat/completions"
    headers = {"authorization": f"Bearer {CALLER_KEY}"}
    started_at = time.monotonic()
    request_id = ""
    finish = ""
    with httpx.stream(
        "POST", url, json=body, headers=headers, timeout=30, trust_env=False
    ) as response:
        response.raise_for_status()
        request_id = response.headers["x-request-id"]
        for line in response.iter_lines():
            if not line.startswith("data: ") or line == "data: [DONE]":
                continue
            choice = json.loads(line[6:])["choices"][0]
            print(choice["delta"].get("content", ""), end="", flush=True)
            finish = choice["finish_reason"] or finish
    print(f"\n(ended with {finish!r} after {time.monotonic() - started_at:.2f} s)")
    if finish != "stop":
        raise SystemExit(f"the stream of the record is incomplete: it ended with {finish!r}")
    return request_id


def change_policy(folder: pathlib.Path) -> str:
    """Write a configuration file with a modified policy and return its path."""
    text = CONFIG.read_text()
    changed = text.replace('"headroom": "0.05"', '"headroom": "0.08"')
    if changed == text:
        raise SystemExit("the example configuration lacks the policy line that the demo changes")
    path = folder / "changed.json"
    path.write_text(changed)
    return str(path.relative_to(ROOT))


def main() -> None:
    """Run the demo."""
    os.chdir(ROOT)
    shutil.rmtree(FOLDER, ignore_errors=True)
    _, document = deployment.read_example(CONFIG)
    folder = str(FOLDER.relative_to(ROOT))
    plan = deployment.plan(document, folder, runner_options=["--median-tokens", "300"])
    fleet = deployment.Fleet(plan, FOLDER)
    try:
        print_step(
            f"start {len(plan.daemons)} daemons, {len(plan.programs)} fake runners and services"
        )
        fleet.start()
        fleet.wait_answering()
        print_step("apply the configuration of Brattvik Antikvariat")
        run_cli(fleet, "config", "check", str(CONFIG.relative_to(ROOT)))
        run_cli(fleet, "config", "apply", str(CONFIG.relative_to(ROOT)), "--wait")
        fleet.wait_ready()
        print_step("stream a bibliographic record")
        request_id = stream_record(fleet)
        print_step("change the policy while the fleet runs")
        run_cli(fleet, "config", "apply", change_policy(FOLDER), "--wait", "--note", "headroom")
        run_cli(fleet, "config", "status")
        print_step("show the time line of the record, from all daemons")
        run_cli(fleet, "timeline", "--request", request_id)
        print_step("show the status of the fleet")
        run_cli(fleet, "status")
        print_step("stop")
        statuses = fleet.stop_all()
        failed = {name: status for name, status in statuses.items() if status not in (0, -15)}
        print(
            f"{len(statuses)} processes exited" + (f", failed: {failed}" if failed else " cleanly")
        )
        for name, status in failed.items():
            print(f"{name} exited with {status}; log:", *fleet.read_last_lines(name), sep="\n  ")
        if failed:
            raise SystemExit(1)
    finally:
        fleet.kill_all()


if __name__ == "__main__":
    main()
