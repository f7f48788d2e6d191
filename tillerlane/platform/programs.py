"""The programs on the platform, by role.

Signals: SIGTERM starts a planned stop; SIGHUP reloads the settings file.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import os
import signal
import socket
import sys
from collections.abc import Callable

import structlog

from tillerlane.faults import core as faults
from tillerlane.gateway import control_settings
from tillerlane.platform import front_listener, settings
from tillerlane.timeline import loops

__all__ = ["main"]

RELOAD_INTERVAL_SECONDS = 2.0
"""Interval between two reads of the settings file, which may change without a signal."""
DISK_RETRY_DELAY_SECONDS = 0.5
"""Delay before a keeper loads its state from disk again after a failure."""


def build_parser() -> argparse.ArgumentParser:
    """The parser of the programs' arguments."""
    parser = argparse.ArgumentParser(prog="tillerlane-platform", description=__doc__)
    parser.add_argument("role", choices=["entry", "keeper"])
    parser.add_argument("--check", action="store_true", help="check the settings and end")
    return parser


@dataclasses.dataclass(frozen=True, slots=True)
class _Signals:
    """Events set by signals: SIGTERM and SIGINT set `stop`, SIGHUP sets `changed`."""

    stop: asyncio.Event
    changed: asyncio.Event


def _watch_signals() -> _Signals:
    """Handle signals, those that were sent during the start too."""
    signals = _Signals(asyncio.Event(), asyncio.Event())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.stop.set)
    loop.add_signal_handler(signal.SIGHUP, signals.changed.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, front_listener.HANDLED_SIGNALS)
    return signals


async def _reload_settings(
    changed: asyncio.Event,
    current: settings.Settings,
    set_seeds: Callable[[tuple[str, ...]], None],
) -> None:
    """Read the settings again on SIGHUP and every few seconds; only changed seeds are applied."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), RELOAD_INTERVAL_SECONDS)
        is_signalled = changed.is_set()
        changed.clear()
        try:
            loaded = settings.read_settings(os.environ.get(front_listener.SETTINGS_VARIABLE, ""))
        except faults.FaultError as error:
            structlog.get_logger().warning("settings.unreadable", message=error.fault.message)
            continue
        if loaded.seeds != current.seeds or is_signalled:
            set_seeds(loaded.seed_peers)
            current = loaded


async def run_entry(daemon_settings: settings.Settings, listener: socket.socket | None) -> None:
    """Run an entry until its planned stop is done; callers may be queued at `listener` already."""
    from tillerlane.gateway import entry
    from tillerlane.platform import adapter

    signals = _watch_signals()
    daemon = entry.Entry(
        settings.build_entry_settings(daemon_settings), adapter.build_dialect(), listener=listener
    )
    await daemon.start()
    reloading = asyncio.create_task(
        _reload_settings(signals.changed, daemon_settings, daemon.set_seeds)
    )
    await signals.stop.wait()
    reloading.cancel()
    await daemon.stop()


async def run_keeper(daemon_settings: settings.Settings) -> None:
    """Run a keeper until a stop signal; restart it after a disk failure."""
    signals = _watch_signals()
    own = settings.build_control_settings(daemon_settings)
    while not signals.stop.is_set():
        await _run_keeper_once(daemon_settings, own, signals)


async def _run_keeper_once(
    daemon_settings: settings.Settings,
    own: control_settings.ControlSettings,
    signals: _Signals,
) -> None:
    from tillerlane.gateway import control
    from tillerlane.platform import control_api

    try:
        daemon = control.Control(own)
    except faults.FaultError as error:
        structlog.get_logger().error("disk.unreadable", message=error.fault.message)
        await asyncio.sleep(DISK_RETRY_DELAY_SECONDS)
        return
    await daemon.start()
    server = control_api.build_server(daemon)
    await server.listen(daemon_settings.listen.control)
    reloading = asyncio.create_task(
        _reload_settings(signals.changed, daemon_settings, daemon.set_seeds)
    )
    stop = signals.stop
    while not stop.is_set() and not daemon.has_failed:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), DISK_RETRY_DELAY_SECONDS)
    reloading.cancel()
    if stop.is_set():
        await daemon.leave()
    server.stop_accepting()
    server.abort_all()
    await daemon.stop()


def main(listener: socket.socket | None) -> None:
    """Run the program that the arguments select."""
    from tillerlane.timeline import sink

    arguments = build_parser().parse_args()
    try:
        daemon_settings = settings.read_settings(
            os.environ.get(front_listener.SETTINGS_VARIABLE, "")
        )
        if arguments.check:
            print(f"settings of {daemon_settings.daemon_id} are valid")
            return
        sink.set_up(sys.stdout.fileno())
        is_entry = arguments.role == "entry"
        with asyncio.Runner(loop_factory=loops.new_loop) as runner:
            runner.run(
                run_entry(daemon_settings, listener) if is_entry else run_keeper(daemon_settings)
            )
    except faults.FaultError as error:
        print(f"tillerlane: {error.fault.kind}: {error.fault.message}", file=sys.stderr)
        sys.exit(error.fault.response.exit_code)
