"""Two runners leave; the keeper that has acknowledged both is killed right after the second."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import common  # noqa: E402

CONTACT_SECONDS = 3.0
"""`contact_ms`."""
DRAIN_SECONDS = 2.0
"""`drain_ms`."""
LINGER_SECONDS = 6.0
"""How long a leaving runner serves on: `drain_ms` and a little longer, at times many seconds."""
CALL_GAP_SECONDS = 0.02
SLACK_SECONDS = 0.1
"""For the times of the kill and the start, as this process sees them."""


async def send_calls(fleet: common.Fleet, route: dict[str, object], counts: list[int]) -> None:
    """Clients' requests, until cancelled."""
    tasks: set[asyncio.Task[None]] = set()

    async def send(number: int) -> None:
        entry = fleet.entries[number % len(fleet.entries)]
        answer = await common.ask(entry, route, f"call-{number}")
        counts[answer.status == 200 and answer.is_whole] += 1

    number = 0
    try:
        while True:
            number += 1
            task = asyncio.create_task(send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(CALL_GAP_SECONDS)
    finally:
        for task in tasks:
            task.cancel()


async def leave(fleet: common.Fleet, target: common.Target, keeper: common.Daemon) -> float:
    """Say that a runner leaves; the time of the acknowledgement."""
    answer = await common.call(keeper.control, "POST", f"/Instances.Leave/{target.name}")
    acknowledged_at = time.monotonic()
    fleet.record.write(f"{target.name}: Leave to {keeper.name}: {answer.status or 'no answer'}")
    if answer.status != 200:
        raise common.CannotRun(f"{keeper.name} did not acknowledge that {target.name} leaves")
    return acknowledged_at


async def play(fleet: common.Fleet) -> bool:
    """The case; whether the rule was broken."""
    fleet.start_all()
    route = common.build_routes(1, "disk-app", 1)[0]
    document = common.build_document(1, [route], ["disk-app"])
    await common.Operator(fleet).put(document, 1, 20.0)
    targets = [common.Target(fleet, f"i-{number}", "disk-app", number) for number in range(1, 6)]
    for target in targets:
        await target.start()
    await common.wait_ready(fleet)
    counts = [0, 0]
    calls = asyncio.create_task(send_calls(fleet, route, counts))
    await asyncio.sleep(CONTACT_SECONDS + 2.0)  # every machine is in touch
    first, second = targets[:2]
    keeper, other = fleet.keepers[3], fleet.keepers[4]
    for target in (first, second):
        target.stop_heartbeats()
        await target.beat_once(other)
    await asyncio.sleep(0.1)
    await leave(fleet, first, keeper)
    acknowledged_at = await leave(fleet, second, keeper)
    in_touch_at = acknowledged_at
    if common.is_troubled():
        fleet.kill(keeper)
        while not keeper.is_running:
            await asyncio.sleep(0.02)
        in_touch_at = time.monotonic() + CONTACT_SECONDS + SLACK_SECONDS
    await asyncio.sleep(max(0.0, acknowledged_at + LINGER_SECONDS - time.monotonic()))
    first.stop()
    second.stop()
    calls.cancel()
    due_at = acknowledged_at + DRAIN_SECONDS
    late = [at for at, _ in second.ran if at > due_at]
    broken = [at for at, _ in second.ran if at > max(due_at, in_touch_at)]
    for name, times in (("drain_ms", late), ("drain_ms, machines in touch", broken)):
        seconds = [f"{at - acknowledged_at:.2f}" for at in times]
        fleet.record.write(
            f"{second.name}: {len(times)} requests reached it later than {name}; "
            f"seconds after the acknowledgement: {', '.join(seconds) or 'none'}"
        )
    fleet.record.write(f"clients: {counts[1]} served, {counts[0]} not")
    for target in targets:
        target.stop()
    return bool(broken)


if __name__ == "__main__":
    sys.exit(common.run_case(FOLDER, play, keepers=5, entries=2))
