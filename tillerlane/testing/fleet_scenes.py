"""Base class for test cases on a small fleet of real processes."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
from typing import Any

import httpx

from tillerlane.config import documents
from tillerlane.testing import deployment

__all__ = ["DOCUMENT", "KEY", "OTHER_KEY", "READER_KEY", "FleetCase"]

KEY = "key-of-katalog"
OTHER_KEY = "key-of-butikk"
READER_KEY = "key-of-reader"
DOCUMENT: dict[str, Any] = {
    "fleet": {"max_body_bytes": 20_000},
    "workspaces": {
        "katalog": {"keys": [documents.hash_key(KEY)]},
        "butikk": {
            "keys": [documents.hash_key(OTHER_KEY)],
            "classes": ["short"],
            "limits": {"requests_per_second": 1},
        },
    },
    "classes": {
        "record": {"pool": "p", "model": "m", "max_tokens": 30, "aliases": ["record-large"]},
        "short": {"pool": "p", "model": "m", "max_tokens": 5, "delivery": "whole"},
        "once": {"pool": "p", "model": "m", "max_tokens": 5, "repeatable": False},
        "late": {"pool": "p", "model": "m", "max_tokens": 3_000, "deadline_seconds": 3},
    },
    "pools": {
        "p": {"models": ["m"], "runners": {"r-1": {"data_hall": "a"}, "r-2": {"data_hall": "b"}}}
    },
    "services": {"orders": {"repeatable": False, "targets": {"orders-1": {"data_hall": "a"}}}},
    "operators": {"reader": {"keys": [documents.hash_key(READER_KEY)]}},
}


class FleetCase(unittest.TestCase):
    """Test case with one keeper, two entries, two agents, two runners and a service."""

    fleet: deployment.Fleet
    folder: tempfile.TemporaryDirectory[str]

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = tempfile.TemporaryDirectory()
        plan = deployment.plan(
            documents.Document.model_validate(DOCUMENT),
            cls.folder.name,
            keepers=1,
            runner_options=["--median-tokens", "5000", "--length-spread", "0.1", "--step-ms", "5"],
        )
        cls.fleet = deployment.Fleet(plan, pathlib.Path(cls.folder.name))
        cls.addClassCleanup(cls.folder.cleanup)
        cls.addClassCleanup(cls.fleet.kill_all)
        cls.fleet.start()
        cls.fleet.wait_answering()
        cls.fleet.apply(DOCUMENT, 0, "change-first")
        cls.fleet.wait_ready()

    def post(self, path: str, body: Any, key: str = KEY, **headers: str) -> httpx.Response:
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent = {"authorization": f"Bearer {key}", "content-type": "application/json"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = self.fleet.plan.get_http("entry-1") + path
        return httpx.post(url, content=content, headers=sent, timeout=20, trust_env=False)

    def check_fault(self, response: httpx.Response, kind: str, ran: str = "no") -> str:
        error = response.json()["error"]
        self.assertEqual((error["type"], error["ran"]), (kind, ran), error)
        self.assertEqual(response.headers["x-tillerlane-ran"], ran)
        return error["message"]

    def run_cli(self, *words: str, key: str = deployment.OPERATOR_KEY) -> tuple[int, str]:
        environment = {
            **os.environ,
            "TILLERLANE_SERVER": self.fleet.plan.get_http("keeper-1"),
            "TILLERLANE_KEY": key,
        }
        command = [sys.executable, "-m", "tillerlane.cli.main", *words]
        done = subprocess.run(command, env=environment, capture_output=True, text=True, check=False)
        return done.returncode, done.stdout + done.stderr
