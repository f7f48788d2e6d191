"""Starts the programs on the platform: ``python3 -m tillerlane.platform.main ROLE``.

Opens the callers' listener first, and imports the programs themselves only then.  Signals wait
until the program handles them: by default they would end the process and reset queued callers.
"""

import signal
import sys

from tillerlane.platform import front_listener

__all__ = ["main"]


def main() -> None:
    """Entry point."""
    signal.pthread_sigmask(signal.SIG_BLOCK, front_listener.HANDLED_SIGNALS)
    listener = front_listener.open_front_listener() if sys.argv[1:] == ["entry"] else None
    from tillerlane.platform import programs

    programs.main(listener)


if __name__ == "__main__":
    main()
