"""Failures of targets as one entry knows them, with a clock set by the test."""

import asyncio
import unittest

from tillerlane.decisions import failing
from tillerlane.faults import core as faults
from tillerlane.gateway import directory as directories
from tillerlane.gateway.failures import reports, tracker, updates
from tillerlane.peers import codec, messages

PAST_STAGGER_SECONDS = failing.STAGGER_SECONDS + 0.01


class TrackerTest(unittest.TestCase):
    """An entry with six targets of a pool."""

    def setUp(self) -> None:
        self.directory = directories.Directory()
        for number in range(6):
            target = directories.Target(
                f"t{number}", "llm", f"a{number}", "hall-a", 24, directories.Phase.READY, 1, 0.0
            )
            self.directory.merge(target)
        self.sent: list[reports.Report] = []
        self.failures = tracker.FailureTracker("entry-1", self.directory)
        self.failures.notify = self.sent.extend

    def fail(self, target_id: str, now: float, sent_at: float, fingerprint: str = "") -> None:
        """A request that a target broke off."""
        target = self.directory.targets[target_id]
        self.failures.record_broken_answer(target, fingerprint or f"{now}", now, sent_at)

    def rank(self, target_id: str, now: float, *, is_repeatable: bool = False) -> failing.Standing:
        """How a target ranks."""
        standings = self.failures.find_standings("llm", 6, now, is_repeatable=is_repeatable)
        return standings.get(target_id, failing.Standing.CLEAR)

    def test_failures_of_requests_on_the_way_count_once(self) -> None:
        """Guards against a back-off of 5 s after one reset of a connection with many streams."""
        for number in range(5):
            self.fail("t1", 10.0 + number / 100, 9.9, f"r{number}")
        self.assertEqual(self.sent, [("t1", 11.0)])
        self.fail("t1", 11.5, 11.4)
        self.fail("t1", 14.0, 13.9)
        self.fail("t1", 19.0, 18.9)
        self.assertEqual([until for _, until in self.sent], [11.0, 13.5, 18.0, 24.0])

    def test_requests_that_can_be_repeated_try_a_target_first(self) -> None:
        """Guards against losing once-only requests in trials that others could make."""
        self.failures.merge_reports([("t1", 11.0)], 10.0)
        self.assertEqual(self.rank("t1", 10.9, is_repeatable=True), failing.Standing.AVOIDED)
        now = 11.0 + PAST_STAGGER_SECONDS
        self.assertEqual(self.rank("t1", now), failing.Standing.LAST_RESORT)
        self.assertEqual(self.rank("t1", now, is_repeatable=True), failing.Standing.CLEAR)
        now += failing.FIRST_ONCE_ONLY_DELAY_SECONDS
        self.assertEqual(self.rank("t1", now), failing.Standing.CLEAR)
        self.fail("t1", now, now - 0.01)
        now += 2.0 + PAST_STAGGER_SECONDS + failing.FIRST_ONCE_ONLY_DELAY_SECONDS
        self.assertEqual(self.rank("t1", now), failing.Standing.LAST_RESORT)
        now += failing.ONCE_ONLY_DELAY_SECONDS
        self.assertEqual(self.rank("t1", now), failing.Standing.CLEAR)

    def test_one_request_at_a_time_is_a_trial(self) -> None:
        """Guards against several requests of the fleet that are lost in the same trial."""
        self.failures.merge_reports([("t1", 11.0)], 10.0)
        now = 11.0 + PAST_STAGGER_SECONDS
        self.failures.record_send("t1", now)
        self.failures.record_send("t1", now)
        self.assertEqual(self.sent, [("t1", now + tracker.TRIAL_SECONDS)])
        self.assertEqual(self.rank("t1", now, is_repeatable=True), failing.Standing.AVOIDED)
        other = tracker.FailureTracker("entry-2", self.directory)
        other.merge_reports([("t1", 11.0)], 10.0)
        other.merge_reports(self.sent, now)
        standings = other.find_standings("llm", 6, now + 0.9, is_repeatable=True)
        self.assertEqual(standings, {"t1": failing.Standing.AVOIDED})

    def test_success_ends_the_back_off_at_all_entries(self) -> None:
        """Guards against a sound target that stays avoided, and one cleared by an early request."""
        self.failures.merge_reports([("t1", 15.0)], 10.0)
        self.failures.record_success("t1", 10.1, 9.9)
        self.assertEqual(self.rank("t1", 10.2), failing.Standing.AVOIDED)
        self.failures.merge_reports([("t1", 0.0)], 10.3)
        self.assertEqual(self.rank("t1", 10.3), failing.Standing.CLEAR)
        self.failures.merge_reports([("t1", 15.0)], 10.4)
        self.assertEqual(self.rank("t1", 10.4), failing.Standing.CLEAR)
        self.fail("t2", 20.0, 19.9)
        now = 21.0 + PAST_STAGGER_SECONDS
        self.failures.record_send("t2", now)
        self.failures.record_success("t2", now + 0.2, now)
        self.assertEqual(self.sent[-1], ("t2", 0.0))
        self.assertEqual(self.rank("t2", now + 0.2), failing.Standing.CLEAR)

    def test_own_reports_that_come_back_change_nothing(self) -> None:
        """Guards against a trial that counts as a failure, so that further ones are not doubled."""
        self.fail("t1", 10.0, 9.9)
        self.failures.merge_reports(self.sent, 10.01)
        now = 11.0 + PAST_STAGGER_SECONDS
        self.failures.record_send("t1", now)
        self.failures.record_success("t1", now + 0.01, now)
        self.failures.merge_reports(self.sent[-2:], now + 0.05)
        self.assertEqual(self.rank("t1", now + 0.05), failing.Standing.CLEAR)
        self.fail("t1", now + 0.4, now)
        self.assertEqual(self.sent[-1], ("t1", now + 0.4 + 2.0))

    def test_half_of_the_pool_is_ranked_down_on_the_word_of_others(self) -> None:
        """Guards against entries with a broken network that take all targets from the others."""
        for number in range(4):
            self.failures.merge_reports([(f"t{number}", 11.0)], 10.0)
            expected = [failing.Standing.AVOIDED if number < 3 else failing.Standing.CLEAR]
            found = {self.rank(f"t{item}", 10.1) for item in range(number + 1)}
            self.assertEqual(found, set(expected))
        self.fail("t5", 10.1, 10.0)
        self.assertEqual(self.rank("t5", 10.2), failing.Standing.AVOIDED)
        self.assertEqual(self.rank("t1", 10.2), failing.Standing.CLEAR)

    def test_request_that_fails_at_each_target_is_reported_once(self) -> None:
        """Guards against a poison request that takes one target after another from all entries."""
        for number in range(4):
            self.fail(f"t{number}", 10.0 + number / 10, 9.9 + number / 10, "poison")
        self.assertEqual([target_id for target_id, _ in self.sent], ["t0"])
        self.failures.list_exits = lambda fingerprint: ["t0"]
        self.fail("t5", 20.0, 19.9, "poison that ended a target under another entry")
        self.assertEqual(len(self.sent), 1)

    def test_entry_that_sees_most_targets_fail_reports_no_more(self) -> None:
        """Guards against an entry whose own network is at fault."""
        for number in range(6):
            self.fail(f"t{number}", 10.0 + number / 100, 9.9, f"r{number}")
        self.assertEqual([target_id for target_id, _ in self.sent], ["t0", "t1", "t2"])

    def test_planned_leave_is_no_failure(self) -> None:
        """Guards against back-offs that follow from each planned end of a runner."""
        self.directory.mark_leaving("t1", 10.0)
        self.fail("t1", 10.1, 10.0)
        self.directory.set_evacuated(frozenset({"hall-a"}), 10.0)
        self.fail("t2", 10.1, 10.0)
        self.assertEqual((self.sent, self.failures.count_failing()), ([], 0))

    def test_rejections_of_former_targets_expire(self) -> None:
        """Guards against memory that grows with each target that ever rejected a request."""
        for number in range(100):
            self.failures.record_rejection(f"former-{number}", 10.0)
        self.assertTrue(self.failures.is_avoided("former-1", 10.4))
        self.failures.record_rejection("t1", 60.0)
        self.assertEqual(list(self.failures._records), ["t1"])

    def test_unreachable_target_needs_no_trial(self) -> None:
        """Guards against a restarted target that waits for a trial though no request was lost."""
        self.failures.record_failure("t1", 10.0)
        self.assertEqual(self.rank("t1", 10.9), failing.Standing.AVOIDED)
        self.assertEqual(self.rank("t1", 11.0), failing.Standing.CLEAR)


class UpdatesTest(unittest.IsolatedAsyncioTestCase):
    """A keeper's part."""

    async def test_each_change_is_passed_on_once(self) -> None:
        """Guards against reports that circulate between keepers."""
        loop = asyncio.get_running_loop()
        sent: list[messages.TargetFailures] = []
        passed_on: list[messages.TargetFailures] = []
        keeper = updates.FailureUpdates(0.0, passed_on.append, sent.append, loop.time)
        for left_ms in (1000, 990, 0, 0, 950):
            message = messages.TargetFailures(["t1"], [left_ms])
            keeper.handle_message(message, is_of_entry=True)
            await asyncio.sleep(0.01)
        self.assertEqual([item.left_ms[0] > 0 for item in sent], [True, False])
        self.assertEqual([item.left_ms[0] > 0 for item in passed_on], [True, False])
        keeper.handle_message(messages.TargetFailures(["t2"], [1000]), is_of_entry=False)
        await asyncio.sleep(0.01)
        self.assertEqual((len(sent), len(passed_on)), (3, 2))

    async def test_report_is_never_sent_as_a_success(self) -> None:
        """Guards against a back-off whose end has passed and that all entries then end."""
        message = reports.encode_reports([("t1", asyncio.get_running_loop().time() - 0.5)])
        self.assertGreater(message.left_ms[0], 0)

    async def test_malformed_message_is_refused(self) -> None:
        """Guards against rows that are attributed to the wrong target."""
        with self.assertRaises(faults.FaultError):
            reports.decode_reports(messages.TargetFailures(["t1", "t2"], [5]))

    def test_messages_pass_the_wire(self) -> None:
        """Guards against members of the schema that have no dataclass, or another order."""
        for body in (
            messages.TargetFailures(["t1"], [1000]),
            messages.TargetSlowdowns(["t1"], [600]),
            messages.CallerReturns(["f"], [20], [300]),
        ):
            data = codec.encode(messages.Envelope(1, 1, 0, body))
            self.assertEqual(codec.decode(data).body, body)


if __name__ == "__main__":
    unittest.main()
