"""The callers' listener of an entry, opened before the rest of the program is imported.

Importing the program takes a quarter of a second of processor, on a third of a core three quarters
of one.  A caller who connects meanwhile waits in the system's queue in place of being refused a
connection.  This module imports nothing but the standard library's smallest parts.
"""

import os
import socket
import tomllib

__all__ = ["SETTINGS_VARIABLE", "open_front_listener"]

SETTINGS_VARIABLE = "TILLERLANE_SETTINGS"
"""Environment variable with the path of the settings file."""


def open_front_listener() -> socket.socket | None:
    """Listen where the settings say; None if that cannot be done, which the program finds anew."""
    try:
        with open(os.environ.get(SETTINGS_VARIABLE, ""), "rb") as file:
            address = tomllib.load(file)["listen"]["front"]
        host, _, port = address.rpartition(":")
        return socket.create_server((host, int(port)))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None  # the program reads the settings again, listens itself, and logs what is wrong
