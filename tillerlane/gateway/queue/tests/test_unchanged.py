"""Sends of an entry whose runners have memory for all requests, and plain services."""

import asyncio
import unittest

from tillerlane.testing import gateway_lab, gateway_scenes

RUNNERS = 6
REQUESTS = 40
EXPECTED = "4204513520013244155010032213450401321223"
"""Number of the runner of each request, as without queues (same speeds of runners)."""


class UnchangedTest(gateway_scenes.GatewayCase):
    """Guards against a queue that delays or changes sends while nothing has to wait."""

    entries = 2

    def test_free_memory_for_all(self) -> None:
        """The same random numbers give the same targets, and nothing waits."""
        sent: list[tuple[float, str, str]] = []
        started: dict[str, float] = {}

        async def scene(stage: gateway_lab.GatewayLab) -> None:
            for number in range(RUNNERS):
                hall = ("hall-a", "hall-b")[number % 2]
                await stage.add_runner(f"t{number}", "llm", hall, length=10 + number)
            await asyncio.sleep(0.3)
            calls = []
            for number in range(REQUESTS):
                started[f"r{number}"] = asyncio.get_running_loop().time()
                route = ("record", "verdict")[number % 3 == 0]
                tokens = 500 + number * 97 % 1_500
                length = (8, 200)[number % 2]
                calls.append(
                    asyncio.create_task(
                        stage.call(
                            stage.entry_names[number % 7 == 0],
                            route,
                            f"r{number}",
                            Token_Counts=f"{tokens},0",
                            Length_Hint=str(length),
                            Model="m",
                        )
                    )
                )
                await asyncio.sleep(0.017 * (number % 5))
            answers = await asyncio.gather(*calls)
            self.assertEqual({answer.status for answer in answers}, {200})
            for name, runner in stage.runners.items():
                sent.extend((item.at, name, item.request_id) for item in runner.arrived)
            logged = {
                item.name for entry in stage.entries.values() for item in entry.timeline.read()
            }
            self.assertNotIn("queue.wait", logged)

        self.play(scene)
        self.assertLess(max(at - started[name] for at, _, name in sent), 0.001)
        targets = {request_id: name for _, name, request_id in sent}
        text = "".join(targets[f"r{number}"].removeprefix("t") for number in range(REQUESTS))
        self.assertEqual(text, EXPECTED)


if __name__ == "__main__":
    unittest.main()
