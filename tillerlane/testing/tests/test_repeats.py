"""The soak's checks of repeated sends find what breaks a bound, and nothing else."""

import unittest

from tillerlane.gateway import budget as budgets
from tillerlane.testing import platform_checker, platform_runner, repeats

BOUNDS = budgets.RetryBounds(ratio=0.2, window_seconds=10.0, allowance=3.0)


def build_run(
    request_id: str, at: float, target_id: str = "t1", **headers: str
) -> platform_runner.RanRequest:
    """Build a run of a request whose caller waits 10 s, with the time it was given."""
    fields = {"deadline-ms": "9000", **{key.replace("_", "-"): x for key, x in headers.items()}}
    return platform_runner.RanRequest(
        request_id, fields, "", b"", at, ended="whole", ended_at=at + 0.1, target_id=target_id
    )


class RepeatsCase(unittest.TestCase):
    """Base class: calls of one route, a second apart."""

    def observe(
        self, calls: int, runs: list[platform_runner.RanRequest], route: str = "price"
    ) -> list[str]:
        """Check the calls r0, r1 and so on, each of which ran on target t1, and further runs."""
        seen = platform_checker.Observations(80)
        for number in range(calls):
            seen.calls.append(platform_checker.Call(f"r{number}", route, "key", float(number)))
            seen.ran.setdefault("t1", []).append(build_run(f"r{number}", float(number)))
        for run in runs:
            seen.ran.setdefault(run.target_id, []).append(run)
        return repeats.check(seen, BOUNDS)


class WindowTest(RepeatsCase):
    """All repeats at one pool."""

    def test_repeats_beyond_the_bound_are_found(self) -> None:
        # 0.2 of 10 requests and an allowance of 3.
        found = [build_run(f"r{number}", 15.0 + number / 10, "t2") for number in range(6)]
        self.assertEqual(self.observe(20, found[:5]), [])
        [problem] = self.observe(20, found)
        self.assertIn("app: got 6 repeats in 10.0 s until 15.50, 5.0 are allowed", problem)

    def test_repeats_of_two_windows_are_not_added(self) -> None:
        found = [build_run(f"r{number}", 8.0 + 2.2 * number, "t2") for number in range(9)]
        self.assertEqual(self.observe(30, found), [])

    def test_requests_of_the_window_before_count_if_there_were_more(self) -> None:
        found = [build_run(f"r{number}", 15.0 + number, "t2") for number in range(5)]
        self.assertEqual(self.observe(10, found), [])
        late = [build_run(f"r{number}", 25.0 + number / 10, "t2") for number in range(4)]
        self.assertTrue(self.observe(5, late))

    def test_resumed_run_counts_as_the_same_run(self) -> None:
        found = [
            build_run(f"r{number}", 15.0, "t2", kv_from="t1/h", last_event_id="3")
            for number in range(9)
        ]
        self.assertEqual(self.observe(20, found, "record"), [])

    def test_rejected_arrivals_count(self) -> None:
        seen = platform_checker.Observations(80)
        seen.calls.append(platform_checker.Call("r0", "price", "key", 0.0))
        seen.rejected["t1"] = [platform_runner.Arrival("r0", 0.1 * item) for item in range(5)]
        [problem] = repeats.check(seen, BOUNDS)
        self.assertIn("got 4 repeats", problem)


class AttemptsTest(RepeatsCase):
    """Targets that run one request."""

    def test_requests_on_more_targets_than_allowed_are_found(self) -> None:
        def run_on_third(number: int) -> list[platform_runner.RanRequest]:
            return [
                build_run(f"r{10 * item}", 10.0 * item + 0.3, target)
                for item in range(number)
                for target in ("t2", "t3")
            ]

        self.assertEqual(self.observe(40, run_on_third(3)), [])
        [problem] = self.observe(40, run_on_third(4))
        self.assertIn("4 requests ran on more targets than allowed", problem)


class DeadlinesTest(RepeatsCase):
    """Time that targets are given."""

    def test_arrivals_with_more_time_than_was_left_are_found(self) -> None:
        for run_at, deadline, is_allowed in (
            (0.1, "10400", True),
            (0.1, "10600", False),
            (2.0, "8400", True),
            (2.0, "8600", False),
        ):
            with self.subTest(run_at=run_at, deadline=deadline):
                seen = platform_checker.Observations(80)
                for number in range(400):
                    call = platform_checker.Call(f"r{number}", "price", "key", float(number))
                    seen.calls.append(call)
                    first = build_run(f"r{number}", number + 0.05)
                    seen.ran.setdefault("t1", []).append(first)
                    if number % 10 == 0:
                        at = number + run_at
                        run = build_run(f"r{number}", at, "t2", deadline_ms=deadline)
                        seen.ran.setdefault("t2", []).append(run)
                self.assertEqual(repeats.check(seen, BOUNDS) == [], is_allowed)

    def test_arrivals_without_a_time_are_found(self) -> None:
        runs = [build_run(f"r{number}", number + 0.1, "t2") for number in range(0, 300, 10)]
        for run in runs:
            del run.headers["deadline-ms"]
        [problem] = self.observe(300, runs)
        self.assertIn("30 arrivals had more time than was left", problem)
