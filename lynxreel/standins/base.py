"""What all stand-ins share: a listener that can be dead for a while, and the clock that scripts go by."""

from __future__ import annotations

import asyncio
import socket
import ssl
from typing import Protocol, cast

from lynxreel.standins.faults import Faults

LOOK = 0.01  # seconds between looks whether the script has it dead


class Clock:
    """Seconds since a stand-in began."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._born = loop, loop.time()

    def now(self) -> float:
        """The time now."""
        return self._loop.time() - self._born


class Link(asyncio.Protocol):
    """A connection of a peer."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self.transport = cast(asyncio.Transport, transport)
        self.listener.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Over."""
        self.listener.links.discard(self)

    def write(self, data: bytes) -> None:
        """Send, unless the peer has gone."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def reset(self) -> None:
        """End it with a reset, as a process that dies does."""
        own = self.transport.get_extra_info("socket")
        if own is not None and not self.transport.is_closing():
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.transport.abort()


class Maker(Protocol):
    """Makes the protocol of a new connection."""

    def __call__(self, listener: Listener) -> Link:
        """For a connection to this listener."""


class Listener:
    """One address of a stand-in. While the script has its target dead, connects are refused."""

    def __init__(self, target: str, faults: Faults, clock: Clock, make: Maker) -> None:
        self.target, self.faults, self.clock = target, faults, clock
        self.links: set[Link] = set()
        self.address = ("", 0)
        self.taken = 0  # connections, ever
        self.tls: ssl.SSLContext | None = None
        self._make = make
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        # Never listens: it keeps the port while dead. Any other process could have it, and be called instead.
        self._place: socket.socket | None = None

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; port 0 takes a free one, and keeps it. Raises OSError where the address is taken."""
        self.address = (host, port)
        if port:  # sockets that share a port would share its connections, too
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(self.address)
        self._place = self._bound()
        self.address = self._place.getsockname()[:2]
        await self._up()
        self._task = asyncio.get_running_loop().create_task(self._follow())

    @property
    def up(self) -> bool:
        """Whether connects are taken now."""
        return self._server is not None

    async def _up(self) -> None:
        def made() -> Link:
            self.taken += 1
            return self._make(self)

        own = self._bound()
        self._server = await asyncio.get_running_loop().create_server(
            made, sock=own, backlog=1024, ssl=self.tls
        )

    async def _follow(self) -> None:
        """Be dead when the script says so."""
        while True:
            dead = self.faults.dead(self.target, self.clock.now())
            if dead and self._server is not None:
                self._down()
            elif not dead and self._server is None:
                await self._up()
            await asyncio.sleep(LOOK)

    def _bound(self) -> socket.socket:
        """One more socket at the address; as long as none listens there, connects are refused."""
        own = socket.socket()
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        own.bind(self.address)
        return own

    def _down(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in list(self.links):
            link.reset()

    def close(self) -> None:
        """The end."""
        if self._task is not None:
            self._task.cancel()
        self._down()
        if self._place is not None:
            self._place.close()
