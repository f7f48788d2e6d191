"""A published document as replicated state, under a version chosen by its author.

Unlike a change of the entity store, which names the version that it was made against, a publication
replaces the whole document, and the highest version is in force.  A publication whose version is
not higher is acknowledged and changes nothing, whatever its content.
"""

import base64
from collections.abc import Callable
from typing import Any

from tillerlane.keeper import commands
from tillerlane.peers import messages

__all__ = ["PublicationRegister"]

Listener = Callable[[messages.Publication], None]


class PublicationRegister:
    """The publication in force.

    Attributes
    ----------
    current : messages.Publication or None
        None before the first publication.
    """

    def __init__(self) -> None:
        self.current: messages.Publication | None = None
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """Version in force; -1 before the first one, since authors may start at 0."""
        return self.current.version if self.current is not None else -1

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with each publication that comes into force."""
        self._listeners.append(listener)

    def publish(self, command: commands.Publish) -> dict[str, Any]:
        """Apply a committed publication; the reply names the version then in force."""
        accepted = self.offer(messages.Publication(command.version, command.content))
        return {"taken": accepted, "version": self.version}

    def offer(self, publication: messages.Publication) -> bool:
        """Put a publication in force if its version is higher; whether it was put in force."""
        if publication.version <= self.version:
            return False
        self.current = publication
        for listener in self._listeners:
            listener(publication)
        return True

    def dump(self) -> dict[str, Any] | None:
        """Return the state for a snapshot as JSON values."""
        if self.current is None:
            return None
        content = base64.b64encode(self.current.content).decode()
        return {"version": self.current.version, "content": content}

    def load(self, values: dict[str, Any] | None) -> None:
        """Restore the state of a snapshot, unless the version held is higher."""
        if values is not None:
            content = base64.b64decode(values["content"])
            self.offer(messages.Publication(values["version"], content))
