"""Where operators call: one line to a connection, answered as soon as it is there."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from lynxreel.operations.calls import MOST_LINE, NONE_IN_TIME, TOO_LONG
from lynxreel.protocol.address import Address
from lynxreel.transient import while_short

MOST_CALLERS = 12  # connections; one more pushes out the one that has said nothing for longest
PATIENCE = 5.0  # seconds for a line
Answer = Callable[[bytes], bytes]


class _Caller(asyncio.Protocol):
    """One connection."""

    def __init__(self, desk: Desk) -> None:
        self._desk, self._line = desk, b""
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has come."""
        self.transport = cast(asyncio.Transport, transport)
        self._timer = self._desk.loop.call_later(PATIENCE, self._end, NONE_IN_TIME)
        self._desk.add(self)

    def data_received(self, data: bytes) -> None:
        """A line, or a part of one; what follows it is not read."""
        self._line += data
        line, end, _ = self._line.partition(b"\n")
        if self.transport.is_closing():
            return
        if len(line) > MOST_LINE:
            self._end(TOO_LONG)
        elif end:
            self._end(self._desk.answer(line))

    def eof_received(self) -> None:
        """It says no more: half a line is no call."""
        self._end(NONE_IN_TIME)

    def _end(self, answer: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(answer)
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Over."""
        if self._timer is not None:
            self._timer.cancel()
        self._desk.callers.pop(self, None)


class Desk:
    """The listener. Guards the limit on descriptors: it holds no more than `MOST_CALLERS` connections."""

    def __init__(self, answer: Answer, loop: asyncio.AbstractEventLoop) -> None:
        """`answer` is called with a line and gives the line to send back."""
        self.answer, self.loop = answer, loop
        self.callers: dict[_Caller, None] = {}  # the oldest first
        self._server: asyncio.Server | None = None

    async def open(self, listen: Address) -> Address:
        """Take calls; where. Raises an OSError where the address is taken."""
        own = await while_short(lambda: socket.create_server(listen))
        self._server = await self.loop.create_server(lambda: _Caller(self), sock=own)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def add(self, caller: _Caller) -> None:
        """One more caller."""
        if len(self.callers) >= MOST_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()
        self.callers[caller] = None

    def close(self) -> None:
        """The end: who is here has had, or gets, nothing more."""
        if self._server is not None:
            self._server.close()
        for caller in list(self.callers):
            caller.transport.abort()
