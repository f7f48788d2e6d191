"""Log output doesn't block, and its buffer and rate are bounded."""

import json
import os
import unittest

import structlog

from tillerlane.timeline import sink


class BoundedOutputTest(unittest.TestCase):
    """Output to a pipe whose reader stalls or is gone."""

    def test_stalled_reader_does_not_block_and_gets_complete_lines_later(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        output = sink.BoundedOutput(writer)
        line = json.dumps({"text": "x" * 1000}).encode() + b"\n"
        for _ in range(1000):
            output.write(line)
        self.assertGreater(output.dropped, 0)
        got = b""
        while len(got) < 20 * len(line):
            got += os.read(reader, 4096)
            output.write(line)
        for item in got.split(b"\n")[:15]:
            json.loads(item)

    def test_closed_reader_raises_nothing(self) -> None:
        reader, writer = os.pipe()
        output = sink.BoundedOutput(writer)
        os.close(reader)
        output.write(b"line\n")
        output.write(b"line\n")
        os.close(writer)


class LineRateTest(unittest.TestCase):
    """Lines of one name share a rate limit."""

    def test_frequent_lines_are_counted_and_do_not_displace_others(self) -> None:
        now = [0.0]
        rate = sink.LineRate(lambda: now[0])
        passed = 0
        for _ in range(10_000):
            try:
                rate(None, "info", {"event": "often"})
                passed += 1
            except structlog.DropEvent:
                continue
        self.assertEqual(passed, int(sink.BURST_LINES))
        rate(None, "info", {"event": "rare"})
        now[0] = 1.0
        values = rate(None, "info", {"event": "often"})
        self.assertEqual(values["left_out"], 10_000 - passed)


if __name__ == "__main__":
    unittest.main()
