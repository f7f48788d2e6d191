"""A published document as replicated state: whole, under a version that its author chose.

Unlike a change of the entity store, which names the version it was made against, a publication
replaces everything, and the highest version holds.  One that does not rise above the version
held is acknowledged and changes nothing, whatever it contains.
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
        None before the first one.
    """

    def __init__(self) -> None:
        self.current: messages.Publication | None = None
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """Version in force; -1 before there is one, since authors may begin with 0."""
        return self.current.version if self.current is not None else -1

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` with each publication that comes into force."""
        self._listeners.append(listener)

    def publish(self, command: commands.Publish) -> dict[str, Any]:
        """Apply a committed publication; the answer gives the version then in force."""
        taken = self.offer(messages.Publication(command.version, command.content))
        return {"taken": taken, "version": self.version}

    def offer(self, publication: messages.Publication) -> bool:
        """Put a publication in force if its version is higher; whether it was."""
        if publication.version <= self.version:
            return False
        self.current = publication
        for listener in self._listeners:
            listener(publication)
        return True

    def dump(self) -> dict[str, Any] | None:
        """State for a snapshot, as JSON values."""
        if self.current is None:
            return None
        content = base64.b64encode(self.current.content).decode()
        return {"version": self.current.version, "content": content}

    def load(self, values: dict[str, Any] | None) -> None:
        """Take over a snapshot's state; it never goes back."""
        if values is not None:
            content = base64.b64decode(values["content"])
            self.offer(messages.Publication(values["version"], content))
