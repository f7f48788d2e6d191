"""Answers to the system's calls to runners."""

import asyncio
import unittest
from unittest import mock

from tillerlane.platform import calls
from tillerlane.testing import lab

STARTED_MS = 1_760_000_000_000


class ReportTest(unittest.TestCase):
    """Reports of runners of several kinds."""

    def read(self, status: int, body: bytes) -> object:
        """Decode an answer to a call for a report."""

        async def answer(*order: object) -> tuple[int, bytes]:
            await asyncio.sleep(0)
            return status, body

        with mock.patch.object(calls, "_call", answer):
            return lab.run_virtual(calls.read_report("10.0.9.1:9000", 1.0))

    def test_start_of_runner_whose_report_lists_no_runs_is_lost(self) -> None:
        report = self.read(200, b'{"seq":2,"waiting":1,"running":3,"born":1760000000000}')
        self.assertEqual((report.started_ms, report.lists_runs), (STARTED_MS, False))

    def test_report_without_a_start_is_refused(self) -> None:
        report = self.read(200, b'{"running":1,"runs":[["r1",10,4,5]]}')
        self.assertEqual((report.started_ms, report.lists_runs), (0, True))
        self.assertEqual((report.events, report.has_unlisted), ({"r1": 4}, False))

    def test_answer_that_is_no_report_is_taken_for_one(self) -> None:
        for status, body in ((404, b"{}"), (200, b"<html>"), (200, b'{"born":"x"}'), (200, b"[]")):
            with self.subTest(status=status, body=body):
                self.assertIsNone(self.read(status, body))


if __name__ == "__main__":
    unittest.main()
