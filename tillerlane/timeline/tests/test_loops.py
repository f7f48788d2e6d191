"""The event loop's clock includes the time for which the host was suspended."""

import asyncio
import time
import unittest

from tillerlane.timeline import loops


class _Host:
    """Simulates a host that can be suspended, based on the real monotonic clock."""

    def __init__(self) -> None:
        self._suspended_seconds = 0.0

    def read_clock(self) -> float:
        return time.monotonic() + self._suspended_seconds

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension."""
        self._suspended_seconds += seconds


class LoopTest(unittest.TestCase):
    """Ages, timers and timeouts after a suspension."""

    def test_age_is_correct_before_any_timer_has_run(self) -> None:
        host = _Host()

        async def run() -> float:
            loop = asyncio.get_running_loop()
            heard_at = loop.time()
            host.suspend(6.0)
            return loop.time() - heard_at

        with asyncio.Runner(loop_factory=lambda: loops.new_loop(host.read_clock)) as runner:
            self.assertGreaterEqual(runner.run(run()), 6.0)

    def test_timers_due_during_suspension_run_with_the_next_event(self) -> None:
        host = _Host()

        async def run() -> list[str]:
            loop = asyncio.get_running_loop()
            calls: list[str] = []
            loop.call_later(5.0, calls.append, "lease ended")
            loop.call_later(7.0, calls.append, "too early")
            host.suspend(6.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return calls

        with asyncio.Runner(loop_factory=lambda: loops.new_loop(host.read_clock)) as runner:
            self.assertEqual(runner.run(run()), ["lease ended"])

    def test_timeout_that_expired_during_suspension_is_raised(self) -> None:
        host = _Host()

        async def run() -> None:
            async with asyncio.timeout(5.0):
                host.suspend(6.0)
                await asyncio.sleep(1.0)

        with asyncio.Runner(loop_factory=lambda: loops.new_loop(host.read_clock)) as runner:
            self.assertRaises(TimeoutError, runner.run, run())

    def test_default_clock_includes_suspended_time(self) -> None:
        loop = loops.new_loop()
        try:
            before = time.clock_gettime(time.CLOCK_BOOTTIME)
            found = loop.time()
            self.assertTrue(before <= found <= time.clock_gettime(time.CLOCK_BOOTTIME))
        finally:
            loop.close()


if __name__ == "__main__":
    unittest.main()
