"""Start of the programs on the platform: ``python3 -m tillerlane.platform.main ROLE``.

Signals: SIGTERM begins a planned stop; SIGHUP tells that the settings file has changed.
"""

import argparse
import asyncio
import os
import signal
import sys

from tillerlane.faults import core as faults
from tillerlane.platform import settings

__all__ = ["main"]


def build_parser() -> argparse.ArgumentParser:
    """Arguments of the programs."""
    parser = argparse.ArgumentParser(prog="tillerlane-platform", description=__doc__)
    parser.add_argument("role", choices=["entry", "keeper"])
    parser.add_argument("--check", action="store_true", help="check the settings and end")
    return parser


def _watch_signals(stop: asyncio.Event, reload: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)


async def run_entry(own: settings.Settings) -> None:
    """Run an entry until its planned stop is done."""
    from tillerlane.gateway import dialect, entry
    from tillerlane.platform import calls, wire

    stop = asyncio.Event()
    reload = asyncio.Event()
    _watch_signals(stop, reload)
    speech = dialect.Dialect(
        read_request=wire.read_request,
        write_forward=wire.write_forward,
        read_answer=wire.read_answer,
        write_refusal=wire.write_refusal,
        read_table=wire.read_table,
        move_run=calls.move_run,
        drop_copy=calls.drop_copy,
    )
    daemon = entry.Entry(settings.build_entry(own), speech)
    await daemon.start()
    await stop.wait()
    await daemon.stop()


async def run_keeper(own: settings.Settings) -> None:
    """Run a keeper until it is told to stop."""
    from tillerlane.gateway import control
    from tillerlane.platform import control_api

    stop = asyncio.Event()
    reload = asyncio.Event()
    _watch_signals(stop, reload)
    daemon = control.Control(settings.build_control(own))
    await daemon.start()
    server = control_api.build_server(daemon)
    await server.listen(own.listen.control)
    await stop.wait()
    server.stop_accepting()
    await daemon.stop()


def main() -> None:
    """Entry point."""
    from tillerlane.timeline import sink

    arguments = build_parser().parse_args()
    try:
        own = settings.read_settings(os.environ.get(settings.VARIABLE, ""))
        if arguments.check:
            print(f"settings of {own.daemon_id} are valid")
            return
        sink.set_up(sys.stdout.fileno())
        run = {"entry": run_entry, "keeper": run_keeper}[arguments.role]
        asyncio.run(run(own))
    except faults.FaultError as error:
        print(f"tillerlane: {error.fault.kind}: {error.fault.message}", file=sys.stderr)
        sys.exit(error.fault.answer.exit_code)


if __name__ == "__main__":
    main()
