"""``tillerlaned``: runs one daemon until it is stopped by a signal.

Signals: SIGTERM and SIGINT start a planned stop, a second one stops immediately; SIGHUP reloads
certificates.
"""

import argparse
import asyncio
import logging
import signal
import sys

import result
import structlog

from tillerlane import __version__
from tillerlane.config import settings
from tillerlane.daemon import core, http, tls
from tillerlane.faults import core as faults
from tillerlane.timeline import loops

__all__ = ["main"]


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the daemon's arguments."""
    parser = argparse.ArgumentParser(prog="tillerlaned", description=__doc__)
    parser.add_argument("--settings", required=True, metavar="FILE", help="settings of the daemon")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def set_up_logs(path: str | None) -> None:
    """Write logs as JSON lines to a file, or to standard error."""
    target = open(path, "a", buffering=1) if path else sys.stderr  # noqa: SIM115
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=target),
        cache_logger_on_first_use=True,
    )


async def run(own: settings.Settings) -> None:
    """Run a daemon until its planned stop is complete."""
    daemon = core.Daemon(own)
    listener = http.Listener(daemon)
    stop = asyncio.Event()
    stop_now = asyncio.Event()

    def handle_signal() -> None:
        (stop_now if stop.is_set() else stop).set()

    def reload() -> None:
        tls.reload_contexts(own.tls, *daemon.node.tls_contexts)
        listener.reload_tls()
        daemon.timeline.record("daemon.reload")

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    await listener.start()
    await stop.wait()
    draining = asyncio.create_task(daemon.drain())
    stopping_now = asyncio.create_task(stop_now.wait())
    await asyncio.wait({draining, stopping_now}, return_when=asyncio.FIRST_COMPLETED)
    draining.cancel()
    stopping_now.cancel()
    await listener.stop()
    await daemon.stop()


def main() -> None:
    """Entry point of ``tillerlaned``."""
    arguments = build_parser().parse_args()
    outcome = settings.read_settings(arguments.settings)
    if isinstance(outcome, result.Err):
        fault = outcome.err_value
        print(f"tillerlaned: {fault.kind}: {fault.message}", file=sys.stderr)
        sys.exit(fault.response.exit_code)
    if arguments.check:
        print(f"{arguments.settings}: settings of daemon {outcome.ok_value.daemon!r} are valid")
        return
    set_up_logs(outcome.ok_value.log_file)
    try:
        with asyncio.Runner(loop_factory=loops.new_loop) as runner:
            runner.run(run(outcome.ok_value))
    except faults.FaultError as error:
        fault = error.fault
        print(f"tillerlaned: {fault.kind}: {fault.message}", file=sys.stderr)
        sys.exit(fault.response.exit_code)
    except OSError as error:
        print(f"tillerlaned: cannot start: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
