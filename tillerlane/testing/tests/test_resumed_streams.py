"""The soak's check of which software versions wrote the events of a stream."""

import unittest

from tillerlane.testing import caller, platform_checker, platform_runner, resumed_streams

LENGTH = 5


class VersionCheckTest(unittest.TestCase):
    """Streams, and the runs that wrote them."""

    def setUp(self) -> None:
        self.seen = platform_checker.Observations(stream_length=LENGTH, are_daemons_sound=True)

    def add_run(
        self, request_id: str, version: str, began: float, first: int = 1, target: str = ""
    ) -> None:
        """Add a run that writes all further events."""
        run = platform_runner.RanRequest(
            request_id, {}, "", b"", began, first_event=first, software_version=version
        )
        run.target_id = target or f"i-{version}"
        self.seen.ran.setdefault(run.target_id, []).append(run)

    def add_call(
        self, request_id: str, events: range, status: int = 200, resumes: str = ""
    ) -> None:
        """Add an attempt that brought some events."""
        body = b"".join(platform_runner.build_event(request_id, number) for number in events)
        self.seen.calls.append(
            platform_checker.Call(
                request_id,
                "verdict",
                caller.KEY,
                10.0 + len(self.seen.calls),
                12.0 + len(self.seen.calls),
                caller.CallerResponse(status, {}, body, False),
                "entry-1",
                resumes,
                events.start - 1,
            )
        )

    def check(self) -> list[str]:
        return resumed_streams.check(self.seen)

    def test_events_of_two_versions_in_one_response(self) -> None:
        self.add_run("r1", "v1", 1.0)
        self.add_run("r1", "v2", 2.0, first=3)
        self.add_call("r1", range(1, 6))
        self.assertEqual(self.check(), ["r1: events of several versions: i-v1 (v1), i-v2 (v2)"])

    def test_events_of_two_versions_over_two_attempts(self) -> None:
        self.add_run("r1", "v1", 1.0)
        self.add_run("r2", "v2", 2.0, first=3)
        self.add_call("r1", range(1, 3))
        self.add_call("r2", range(3, 6), resumes="r1")
        self.assertEqual(self.check(), ["r1: events of several versions: i-v1 (v1), i-v2 (v2)"])

    def test_event_that_arrives_twice(self) -> None:
        """Guards against a resumption that begins at an event that the caller has."""
        self.add_run("r1", "v1", 1.0)
        self.add_run("r2", "v1", 2.0, first=2)
        self.add_call("r1", range(1, 3))
        self.add_call("r2", range(2, 6), resumes="r1")
        [found] = self.check()
        self.assertIn("r1: events not once each and in order: r1 from entry-1: 1 2; r2", found)

    def test_event_that_is_missing(self) -> None:
        self.add_run("r1", "v1", 1.0)
        self.add_run("r2", "v1", 2.0, first=4)
        self.add_call("r1", range(1, 3))
        self.add_call("r2", range(4, 6), resumes="r1")
        self.assertIn("not once each and in order", self.check()[0])

    def test_versions_that_events_name(self) -> None:
        """Guards against records that attribute events of one version to a run of another."""
        self.add_run("r1", "v1", 1.0)
        self.add_call("r1", range(1, 3))
        body = b"".join(
            platform_runner.build_event("r1", number, version=version)
            for number, version in ((1, "v1"), (2, "v2"))
        )
        self.seen.calls[0].response.body = body
        found = self.check()
        self.assertIn("v1 from event 1 in r1 of entry-1, v2 from event 2 in r1", found[0])
        self.assertIn("r1: events of {'v2'}, but it ran at {'v1'}", found[1])

    def test_incomplete_event_is_not_received(self) -> None:
        """Guards against a caller that resumes a stream behind an event of which it has a part."""
        event = platform_runner.build_event("r1", 1)
        self.assertEqual(resumed_streams.find_last_event(event + b"id: 2\ndata: r1"), 1)
        self.assertEqual(resumed_streams.find_last_event(b"id: 1"), 0)

    def test_run_without_received_events_counts_for_nothing(self) -> None:
        self.add_run("r1", "v1", 1.0)
        self.add_run("r1", "v2", 2.0)
        self.add_run("r2", "v1", 3.0, first=6)
        self.add_call("r1", range(1, 6))
        self.add_call("r2", range(6, 6), resumes="r1")
        self.assertEqual(self.check(), [])

    def add_resumptions(self, resumed: int, refused: int) -> None:
        """Add streams whose callers resume them while two runners of their version serve."""
        self.seen.serving = [platform_checker.Serving(f"i-{n}", "v1", 0.0) for n in range(2)]
        for number in range(resumed + refused):
            self.add_run(f"a{number}", "v1", 1.0)
            self.add_call(f"a{number}", range(1, 3))
            status = 200 if number < resumed else 503
            if status == 200:
                self.add_run(f"b{number}", "v1", 2.0, first=3)
            events = range(3, 6) if status == 200 else range(3, 3)
            self.add_call(f"b{number}", events, status, resumes=f"a{number}")

    def test_streams_that_are_not_resumed_though_their_version_serves(self) -> None:
        self.add_resumptions(5, 7)
        self.assertEqual(self.check(), ["5 of 12 streams were resumed, 12 of 12 new ones began"])

    def test_half_of_the_streams_are_resumed(self) -> None:
        self.add_resumptions(6, 6)
        self.assertEqual(self.check(), [])

    def test_streams_whose_version_has_one_runner_left_do_not_count(self) -> None:
        self.add_resumptions(5, 7)
        self.seen.serving[0].ended = 5.0
        self.assertEqual(self.check(), [])

    def test_streams_at_an_entry_that_has_just_started_do_not_count(self) -> None:
        self.add_resumptions(5, 7)
        self.seen.entries_ended = {"entry-1": [call.sent_at - 1 for call in self.seen.calls]}
        self.assertEqual(self.check(), [])


if __name__ == "__main__":
    unittest.main()
