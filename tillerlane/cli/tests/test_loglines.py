"""Parsing log lines of several processes as a time line."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from tillerlane.cli import loglines, main


def build_line(stamp: int, daemon: str, name: str, request_id: str = "", **fields: object) -> str:
    """Build a log line as daemons write it."""
    values = {
        "daemon": daemon,
        "stamp": stamp,
        "request_id": request_id or None,
        "generation_id": None,
        **fields,
        "event": name,
        "level": "info",
        "timestamp": "2026-12-02T16:00:00Z",
    }
    return json.dumps(values)


class LogLinesTest(unittest.TestCase):
    """Parsing lines, and the ``timeline`` command."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)
        entry = [
            build_line(30 << 16, "entry-1", "request.send", "r1", target="t1"),
            "Traceback (most recent call last):",
            build_line(50 << 16, "entry-1", "stream.break", "r1", left_out=7),
        ]
        keeper = [build_line(40 << 16, "keeper-1", "target.state", target="t1", phase="gone")]
        (self.path / "entry").write_text("\n".join(entry) + "\n{truncated")
        (self.path / "keeper").write_text("  12.5 host-7 " + keeper[0] + "\n")

    def run_command(self, *arguments: str) -> tuple[str, str]:
        """Run ``tillerlane timeline`` on both files; return its output and errors."""
        files = [str(self.path / name) for name in ("entry", "keeper")]
        out, errors = io.StringIO(), io.StringIO()
        command = main.build_parser().parse_args(["timeline", "--log", *files, *arguments])
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            self.assertEqual(command.run(command), 0)
        return out.getvalue(), errors.getvalue()

    def test_events_of_all_files_in_causal_order(self) -> None:
        out, errors = self.run_command()
        names = [line.split()[2] for line in out.splitlines()]
        self.assertEqual(names, ["request.send", "target.state", "stream.break"])
        self.assertIn("7 events were left out, 2 lines hold none", errors)

    def test_one_request(self) -> None:
        out, _ = self.run_command("--request", "r1", "--json")
        events = json.loads(out)["events"]
        self.assertEqual([event["name"] for event in events], ["request.send", "stream.break"])
        self.assertEqual(events[0]["fields"], {"target": "t1"})

    def test_lines_without_an_event(self) -> None:
        for line in ("", "{}", "[1]", '{"event": "x"}', '{"stamp": "1", "event": "x"}', "{bad"):
            self.assertIsNone(loglines.parse_line(line), line)


if __name__ == "__main__":
    unittest.main()
