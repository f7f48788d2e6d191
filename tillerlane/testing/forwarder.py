"""A forwarder of TCP connections on this machine, which does harm on request."""

import asyncio
import dataclasses
import enum
import random

from tillerlane.peers import node as nodes

__all__ = ["Forwarder", "Harm"]

CHUNK_BYTES = 64 * 1024
DELAY_SECONDS = (0.02, 0.3)
"""Least and most delay of a chunk on a slow connection."""
CHECK_SECONDS = 0.02


class Harm(enum.StrEnum):
    """What happens to connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    """Nothing passes, and nobody is told."""
    CUT_IN = "cut_in"
    """Nothing reaches the process behind; what it sends passes."""
    CUT_OUT = "cut_out"
    RESET = "reset"
    """Connections are reset, those that come too."""


_HOLDS_IN = frozenset({Harm.SILENCE, Harm.CUT_IN})
_HOLDS_OUT = frozenset({Harm.SILENCE, Harm.CUT_OUT})


@dataclasses.dataclass(eq=False, slots=True)
class _Pair:
    caller: asyncio.StreamWriter
    behind: asyncio.StreamWriter | None = None

    def reset(self) -> None:
        for writer in (self.caller, self.behind):
            if writer is not None:
                writer.transport.abort()


class Forwarder:
    """Passes connections on to a process.

    Parameters
    ----------
    address, behind : str
        Where it listens and where the process does (``IP:port``).
    rng : random.Random
        Draws delays.
    """

    def __init__(self, address: str, behind: str, rng: random.Random) -> None:
        self.address = address
        self._behind = behind
        self._rng = rng
        self._harm = Harm.NONE
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = nodes.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """End all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.do(Harm.RESET)

    def do(self, harm: Harm) -> None:
        """Do harm from now on; `Harm.NONE` ends it."""
        self._harm = harm
        if harm is Harm.RESET:
            for pair in list(self._pairs):
                pair.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pair = _Pair(writer)
        if self._harm is Harm.RESET:
            pair.reset()
            return
        self._pairs.add(pair)
        try:
            host, port = nodes.split_address(self._behind)
            answers, pair.behind = await asyncio.open_connection(host, port)
            await asyncio.gather(
                self._pump(reader, pair.behind, _HOLDS_IN),
                self._pump(answers, writer, _HOLDS_OUT),
            )
        except (OSError, RuntimeError):
            pass  # one end is gone, so the other must be told
        finally:
            pair.reset()
            self._pairs.discard(pair)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, held_by: frozenset[Harm]
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            while self._harm in held_by:
                await asyncio.sleep(CHECK_SECONDS)
            if self._harm is Harm.DELAY:
                await asyncio.sleep(self._rng.uniform(*DELAY_SECONDS))
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
