"""Start of the programs on the platform: ``python3 -m tillerlane.platform.main ROLE``.

What it takes to listen comes first, and only then the import of the programs themselves.
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
