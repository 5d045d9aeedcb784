"""A stand-in for the wire: passes bytes on to another address, and cuts, stalls or delays them by a script.

It knows no protocol, so it cuts anywhere, in the middle of a frame as well as between two.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import cast

from lynxreel.protocol.address import Address
from lynxreel.standins.base import Clock, Link, Listener
from lynxreel.standins.faults import Faults, Kind

WIRE = (Kind.RESET, Kind.SILENT, Kind.SLOW)


class Proxy:
    """Passes connections on to `target`. RESET cuts inside a chunk of bytes, SILENT swallows what comes from
    then on, SLOW delays it (order is kept); `share` is of the chunks. DEAD refuses connects."""

    def __init__(self, name: str, target: Address, faults: Faults, clock: Clock, seed: int) -> None:
        self.target, self.name, self.faults, self.clock = target, name, faults, clock
        self.random = random.Random(seed)
        self.cuts = 0
        self.listener = Listener(name, faults, clock, lambda listener: _Near(listener, self))

    def cut(self) -> None:
        """End all connections now."""
        for link in list(self.listener.links):
            self.cuts += 1
            link.reset()


class _Near(Link):
    """The side of the client."""

    def __init__(self, listener: Listener, proxy: Proxy) -> None:
        super().__init__(listener)
        self.proxy = proxy
        self._far: _Far | None = None
        self._early = bytearray()
        self._mute = False
        self._free_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect on."""
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, far = await loop.create_connection(lambda: _Far(self), *self.proxy.target)
        except OSError:
            self.reset()
            return
        self._far = far
        if self.transport.is_closing():
            far.transport.abort()
        elif self._early:
            far.transport.write(bytes(self._early))
            self._early.clear()

    def data_received(self, data: bytes) -> None:
        """Up."""
        if self._far is None:
            self._early += data
        elif not self._far.transport.is_closing():
            self._far.transport.write(data)

    def down(self, data: bytes) -> None:
        """Back to the client, by the script."""
        fault = self.proxy.faults.pick(self.proxy.name, self.proxy.clock.now(), WIRE)
        loop = asyncio.get_running_loop()
        if fault is not None and fault.kind is Kind.SILENT:
            self._mute = True
        if self._mute:
            return
        if fault is not None and fault.kind is Kind.RESET:
            self.proxy.cuts += 1
            kept = data[: self.proxy.random.randrange(len(data))]
            if kept:
                self.write(kept)
            self.transport.close()  # what is written so far arrives, and no more
            return
        delay = fault.delay if fault is not None and fault.kind is Kind.SLOW else 0.0
        self._free_at = max(self._free_at, loop.time() + delay)
        if self._free_at <= loop.time():
            self.write(data)
        else:
            loop.call_at(self._free_at, self.write, data)

    def connection_lost(self, error: Exception | None) -> None:
        """Over, on both sides."""
        super().connection_lost(error)
        if self._task is not None:
            self._task.cancel()
        if self._far is not None:
            self._far.transport.abort()


class _Far(asyncio.Protocol):
    """The side of the server."""

    def __init__(self, near: _Near) -> None:
        self._near = near
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Down."""
        self._near.down(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Over."""
        with suppress(AttributeError):
            self._near.transport.close()
