"""The programs on the platform, by role.

Signals: SIGTERM begins a planned stop; SIGHUP tells that the settings file has changed.
"""

import argparse
import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections.abc import Callable

import structlog

from tillerlane.faults import core as faults
from tillerlane.platform import front_listener, settings
from tillerlane.timeline import loops

__all__ = ["main"]

RELOAD_SECONDS = 2.0
"""Pause between two looks at the settings file, which may change without a signal."""
DISK_RETRY_SECONDS = 0.5
"""Pause before a keeper reads its disk anew after a failure."""


def build_parser() -> argparse.ArgumentParser:
    """Arguments of the programs."""
    parser = argparse.ArgumentParser(prog="tillerlane-platform", description=__doc__)
    parser.add_argument("role", choices=["entry", "keeper"])
    parser.add_argument("--check", action="store_true", help="check the settings and end")
    return parser


def _watch_signals() -> asyncio.Event:
    """Have SIGTERM and SIGINT set an event; SIGHUP only hastens what `_follow_settings` does."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def _follow_settings(
    known: settings.Settings, take_seeds: Callable[[tuple[str, ...]], None]
) -> None:
    """Read the settings again on SIGHUP and every few seconds; only the seeds may change."""
    changed = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), RELOAD_SECONDS)
        was_told = changed.is_set()
        changed.clear()
        try:
            found = settings.read_settings(os.environ.get(front_listener.SETTINGS_VARIABLE, ""))
        except faults.FaultError as error:
            structlog.get_logger().warning("settings.unreadable", message=error.fault.message)
            continue
        if found.seeds != known.seeds or was_told:
            take_seeds(found.seed_peers)
            known = found


async def run_entry(own: settings.Settings, listener: socket.socket | None) -> None:
    """Run an entry until its planned stop is done; callers may wait at `listener` already."""
    from tillerlane.gateway import entry
    from tillerlane.platform import adapter

    stop = _watch_signals()
    daemon = entry.Entry(
        settings.build_entry_settings(own), adapter.build_dialect(), listener=listener
    )
    await daemon.start()
    following = asyncio.create_task(_follow_settings(own, daemon.set_seeds))
    await stop.wait()
    following.cancel()
    await daemon.stop()


async def run_keeper(own: settings.Settings) -> None:
    """Run a keeper until it is told to stop; after a failure of its disk, begin anew."""
    stop = _watch_signals()
    while not stop.is_set():
        await _run_keeper_once(own, stop)


async def _run_keeper_once(own: settings.Settings, stop: asyncio.Event) -> None:
    from tillerlane.gateway import control
    from tillerlane.platform import control_api

    try:
        daemon = control.Control(settings.build_control_settings(own))
    except faults.FaultError as error:
        structlog.get_logger().error("disk.unreadable", message=error.fault.message)
        await asyncio.sleep(DISK_RETRY_SECONDS)
        return
    await daemon.start()
    server = control_api.build_server(daemon)
    await server.listen(own.listen.control)
    following = asyncio.create_task(_follow_settings(own, daemon.set_seeds))
    while not stop.is_set() and not daemon.has_failed:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), DISK_RETRY_SECONDS)
    following.cancel()
    if stop.is_set():
        await daemon.leave()
    server.stop_accepting()
    server.abort_all()
    await daemon.stop()


def main(listener: socket.socket | None) -> None:
    """Run the program that the arguments name."""
    from tillerlane.timeline import sink

    arguments = build_parser().parse_args()
    try:
        own = settings.read_settings(os.environ.get(front_listener.SETTINGS_VARIABLE, ""))
        if arguments.check:
            print(f"settings of {own.daemon_id} are valid")
            return
        sink.set_up(sys.stdout.fileno())
        is_entry = arguments.role == "entry"
        with asyncio.Runner(loop_factory=loops.new_loop) as runner:
            runner.run(run_entry(own, listener) if is_entry else run_keeper(own))
    except faults.FaultError as error:
        print(f"tillerlane: {error.fault.kind}: {error.fault.message}", file=sys.stderr)
        sys.exit(error.fault.response.exit_code)
