"""Parts of a replica by themselves: ballots, followers, proposals, snapshots in pieces."""

import asyncio
import unittest
from typing import Any

from tillerlane.faults import core as faults
from tillerlane.keeper import commands, followers, pending, snapshots, votes
from tillerlane.peers import link as links
from tillerlane.peers import messages

VOTERS = {name: commands.Voter(f"10.0.0.{name}:7000", f"disk-{name}") for name in "abcde"}


class FollowersTest(unittest.TestCase):
    """What a quorum of five has reached."""

    def setUp(self) -> None:
        self.followers = followers.Followers("a")
        for name, index, acked_at in (("b", 9, 5.0), ("c", 7, 4.0), ("d", 8, 3.0)):
            self.followers.add(name, 1)
            progress = self.followers.get(name)
            progress.match_index, progress.acked_at = index, acked_at
            progress.disk_id = f"disk-{name}"

    def test_third_of_five_decides(self) -> None:
        self.assertEqual(self.followers.find_quorum_index(VOTERS, 12), 8)
        self.assertEqual(self.followers.compute_quorum_time(VOTERS, 6.0), 4.0)

    def test_new_disk_of_a_voter_does_not_count(self) -> None:
        self.followers.get("d").disk_id = "disk-new"
        self.assertEqual(self.followers.find_quorum_index(VOTERS, 12), 7)

    def test_no_quorum(self) -> None:
        self.followers.remove("b")
        self.followers.remove("c")
        self.assertIsNone(self.followers.find_quorum_index(VOTERS, 12))

    def test_leader_without_a_vote_does_not_count_itself(self) -> None:
        others = {name: VOTERS[name] for name in "bcd"}
        self.assertEqual(self.followers.find_quorum_index(others, 12), 8)


class _Voter:
    """Stands for the link to a voter."""

    def __init__(self, reply: messages.VoteReply | None) -> None:
        self.reply = reply

    async def call(self, request: messages.VoteRequest, timeout: float) -> messages.VoteReply:
        if self.reply is None:
            raise links.LinkLost("no answer")
        return self.reply


class VoteTest(unittest.IsolatedAsyncioTestCase):
    """Votes of four others, three needed."""

    async def vote(self, replies: list[Any], *, pre: bool = False) -> votes.VoteResult:
        others = {name: VOTERS[name] for name in "bcde"}
        addresses = [voter.address for voter in others.values()]
        voters = dict(zip(addresses, replies, strict=True))
        request = messages.VoteRequest(4, "a", 1, 1, pre)
        return await votes.collect_votes(
            lambda address: _Voter(voters[address]), request, others, 3
        )

    def grant(self, name: str, *, granted: bool = True, term: int = 4) -> messages.VoteReply:
        return messages.VoteReply(term, granted, f"disk-{name}", False)

    async def test_won_without_those_that_are_silent(self) -> None:
        result = await self.vote([self.grant("b"), None, self.grant("d"), None])
        self.assertEqual(result, votes.VoteResult(True))

    async def test_vote_of_another_disk_does_not_count(self) -> None:
        result = await self.vote([self.grant("b"), self.grant("x"), None, None])
        self.assertFalse(result.is_won)

    async def test_later_term_ends_a_vote(self) -> None:
        replies = [self.grant("b", granted=False, term=9), self.grant("c"), self.grant("d"), None]
        self.assertEqual(await self.vote(replies), votes.VoteResult(False, 9))

    async def test_later_term_does_not_end_a_prevote(self) -> None:
        replies = [self.grant("b", granted=False, term=9), self.grant("c"), self.grant("d"), None]
        self.assertEqual(await self.vote(replies, pre=True), votes.VoteResult(True))

    async def test_lost_prevote_tells_the_latest_term(self) -> None:
        replies = [self.grant("b", granted=False, term=9), self.grant("c"), None, None]
        self.assertEqual(await self.vote(replies, pre=True), votes.VoteResult(False, 9))

    async def test_lost_prevote_without_a_later_term_tells_none(self) -> None:
        replies = [self.grant("b", granted=False, term=3), None, None, None]
        result = await self.vote(replies, pre=True)
        self.assertFalse(result.is_won)
        self.assertLess(result.later_term, 4)


class PendingTest(unittest.IsolatedAsyncioTestCase):
    """Proposals of a leader."""

    async def test_answers_go_by_index(self) -> None:
        waiting = pending.PendingProposals()
        later = waiting.add(b"later")
        first = waiting.add(b"first", first=True)
        self.assertEqual(waiting.pop_batch(1), [first])
        self.assertTrue(waiting.has_queued)
        waiting.record_appended(7, first)
        waiting.resolve(8, {"of": "nobody"})
        waiting.resolve(7, {"index": 7})
        self.assertEqual(await first.answer, {"index": 7})
        self.assertFalse(later.answer.done())

    async def test_fate_of_what_waits_is_unknown(self) -> None:
        waiting = pending.PendingProposals()
        proposals = [waiting.add(b"one"), waiting.add(b"two")]
        waiting.record_appended(1, waiting.pop_batch(1)[0])
        waiting.fail_all("another keeper leads")
        for proposal in proposals:
            with self.assertRaises(faults.FaultError) as caught:
                await proposal.answer
            self.assertEqual(caught.exception.fault.ran, "unknown")
        self.assertFalse(waiting.has_queued)
        await asyncio.sleep(0)


class SnapshotAssemblerTest(unittest.TestCase):
    """A snapshot in pieces."""

    def take(
        self, assembler: snapshots.SnapshotAssembler, index: int, offset: int, data: bytes
    ) -> int:
        return assembler.add(messages.SnapshotPiece(1, "a", index, 1, offset, 6, data))

    def test_pieces_in_order(self) -> None:
        assembler = snapshots.SnapshotAssembler()
        self.assertEqual(self.take(assembler, 5, 0, b"abc"), 3)
        self.assertEqual(self.take(assembler, 5, 4, b"xx"), 3)  # does not follow
        self.assertEqual(self.take(assembler, 5, 3, b"def"), 6)
        whole = assembler.finish()
        self.assertEqual((whole.last_index, whole.data), (5, b"abcdef"))

    def test_newer_snapshot_begins_anew(self) -> None:
        assembler = snapshots.SnapshotAssembler()
        self.take(assembler, 5, 0, b"abc")
        self.assertEqual(self.take(assembler, 9, 3, b"def"), 0)
        self.assertEqual(self.take(assembler, 9, 0, b"xyz"), 3)


if __name__ == "__main__":
    unittest.main()
