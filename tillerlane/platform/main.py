"""Starts the programs on the platform: ``python3 -m tillerlane.platform.main ROLE``.

Opens the callers' listener first, and imports the programs themselves only then.
"""

import sys

from tillerlane.platform import front_listener

__all__ = ["main"]


def main() -> None:
    """Entry point."""
    listener = front_listener.open_front_listener() if sys.argv[1:] == ["entry"] else None
    from tillerlane.platform import programs

    programs.main(listener)


if __name__ == "__main__":
    main()
