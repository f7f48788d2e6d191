"""Metrics by workspace: bounded labels for any number of workspaces."""

import unittest

import prometheus_client

from tillerlane.gateway import shares
from tillerlane.gateway.shares import figures


class FiguresTest(unittest.TestCase):
    """One entry's metrics."""

    def setUp(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.shares = shares.Shares(figures.WorkspaceMetrics(self.registry))

    def read(self, name: str, **labels: str) -> float | None:
        return self.registry.get_sample_value(f"tillerlane_workspace_{name}", labels)

    def test_labels_are_bounded(self) -> None:
        """Guards against series that grow with the number of workspaces."""
        for number in range(350):
            workspace = f"w{number}"
            self.shares.record_served("llm", workspace, 10 * (number + 1), 0.0)
            self.shares.record_wait(workspace, 0.01, 2_000)
            self.shares.record_waiting("llm", workspace, 5, 1, 2_000)
        labels = set()
        for family in self.registry.collect():
            labels |= {sample.labels["workspace"] for sample in family.samples}
        self.assertEqual(len(labels), figures.MAX_NAMED + 1)
        self.assertIn(figures.OTHER, labels)
        text = prometheus_client.generate_latest(self.registry).decode()
        self.assertLess(text.count("\n"), 450)

    def test_waiting_requests_and_waits_are_shown(self) -> None:
        """Guards against requests that wait without any sign of whose they are."""
        self.shares.record_served("llm", "a", 700, 0.0)
        self.shares.record_waiting("llm", "a", 5, 2, 5_000)
        self.shares.record_waiting("llm", "b", 5, 1, 900)
        self.shares.record_wait("a", 0.5, 6_000)
        self.assertEqual(self.read("waiting", workspace="a"), 2)
        self.assertEqual(self.read("waiting", workspace=figures.OTHER), 1)
        self.assertEqual(self.read("served_tokens_total", workspace="a"), 700)
        self.assertEqual(self.read("wait_seconds_sum", workspace="a", size="large"), 0.5)

    def test_workspace_that_grows_gets_a_label(self) -> None:
        """Guards against a large workspace that stays hidden among the others."""
        for number in range(figures.MAX_NAMED):
            self.shares.record_served("llm", f"w{number}", 1_000 + number, 0.0)
        self.shares.record_served("llm", "late", 1_500, 0.0)
        self.assertIsNone(self.read("served_tokens_total", workspace="late"))
        self.shares.record_served("llm", "late", 1_500, 0.0)
        self.assertEqual(self.read("served_tokens_total", workspace="late"), 1_500)
        self.assertIsNone(self.read("served_tokens_total", workspace="w0"))


if __name__ == "__main__":
    unittest.main()
