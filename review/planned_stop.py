"""No case, see REPORT.md: streams that an entry takes at the end of its planned stop, and cuts.

Run as ``python3 review/planned_stop.py``.  Connections are opened before the entry's SIGTERM, and
first used 3.03 s to 3.23 s after it.  Prints what became of each stream.
"""

import asyncio
import importlib.util
import json
import pathlib
import signal
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))
sys.dont_write_bytecode = True

import common  # noqa: E402

_spec = importlib.util.spec_from_file_location("streams", FOLDER / "3" / "case.py")
assert _spec is not None and _spec.loader is not None
streams = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(streams)

FIRST_SECONDS = 3.03
STEP_SECONDS = 0.04
STREAMS = 6
END = b"0\r\n\r\n"


async def ask(entry: common.Daemon, number: int, stopped: asyncio.Event) -> bool:
    """Ask for one stream after the SIGTERM; whether it broke off after its head."""
    reader, writer = await asyncio.open_connection(entry.ip, common.FRONT)
    await stopped.wait()
    began = time.monotonic()
    await asyncio.sleep(FIRST_SECONDS + number * STEP_SECONDS)
    writer.write(
        f"POST {streams.ROUTE['path_prefix']}2f HTTP/1.1\r\nHost: {streams.ROUTE['host']}\r\n"
        f"Request-Id: late-{number}\r\nModel: m\r\nToken-Counts: 200,1600\r\n"
        f"Prompt-Prefix: 5c1e07a2:79,{number:08x}:121\r\nDeadline-Ms: 39000\r\n"
        "Content-Length: 4\r\n\r\nscan".encode()
    )
    sent = time.monotonic() - began
    received = b""
    while not received.endswith(END) and (data := await reader.read(65536)):
        received += data
    writer.transport.abort()
    is_cut = received.startswith(b"HTTP/1.1 200") and not received.endswith(END)
    ended = time.monotonic() - began
    print(
        f"late-{number}: sent {sent:.2f} s after the SIGTERM, ended at {ended:.2f} s, "
        f"{received.count(b'id: ')} events, {'cut' if is_cut else received[:12]}"
    )
    return is_cut


async def play(fleet: common.Fleet) -> bool:
    """Whether a stream was cut."""
    fleet.start_all()
    document = json.loads(common.build_document(1, [streams.ROUTE], ["huvo11a"]))
    document["services"][0]["engine"] = streams.ENGINE
    await common.Operator(fleet).put(json.dumps(document).encode(), 1, 20.0)
    runners = [streams.Runner(fleet, f"i-{number}", number) for number in (1, 2)]
    for runner in runners:
        await runner.start()
    await common.wait_ready(fleet)
    await asyncio.sleep(streams.CONTACT_SECONDS)
    entry, stopped = fleet.entries[0], asyncio.Event()
    asked = [asyncio.create_task(ask(entry, number, stopped)) for number in range(STREAMS)]
    await asyncio.sleep(0.5)
    assert entry.process is not None
    entry.process.send_signal(signal.SIGTERM)
    stopped.set()
    cut = await asyncio.gather(*asked)
    for runner in runners:
        runner.stop()
    return any(cut)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        code = common.run_case(pathlib.Path(folder), play, keepers=5, entries=2)
    sys.exit(code)
