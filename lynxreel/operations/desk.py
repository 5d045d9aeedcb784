"""Listener for operator calls: one line per connection, answered as soon as it is complete."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from lynxreel.operations.calls import MAX_LINE, NO_CALL, TOO_LONG
from lynxreel.protocol.address import Address
from lynxreel.transient import while_short

MAX_CALLERS = 12  # open connections; one more closes the oldest
LINE_TIMEOUT = 5.0  # seconds in which a connection must send its line
Answer = Callable[[bytes], bytes]


class _Caller(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, listener: OperatorListener) -> None:
        self._listener, self._line = listener, b""
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its timeout."""
        self.transport = cast(asyncio.Transport, transport)
        self._timer = self._listener.loop.call_later(LINE_TIMEOUT, self._end, NO_CALL)
        self._listener.add(self)

    def data_received(self, data: bytes) -> None:
        """Answer once the line is complete; data after the line is ignored."""
        self._line += data
        line, end, _ = self._line.partition(b"\n")
        if self.transport.is_closing():
            return
        if len(line) > MAX_LINE:
            self._end(TOO_LONG)
        elif end:
            self._end(self._listener.answer(line))

    def eof_received(self) -> None:
        """Reject an incomplete line: the caller sends nothing more."""
        self._end(NO_CALL)

    def _end(self, answer: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(answer)
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the timeout and unregister the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._listener.callers.pop(self, None)


class OperatorListener:
    """The listener. Keeps at most MAX_CALLERS connections, so that callers can't use up file descriptors."""

    def __init__(self, answer: Answer, loop: asyncio.AbstractEventLoop) -> None:
        """`answer` is called with a line and returns the line to send back."""
        self.answer, self.loop = answer, loop
        self.callers: dict[_Caller, None] = {}  # the oldest first
        self._server: asyncio.Server | None = None

    async def open(self, listen: Address) -> Address:
        """Start to listen and return the bound address. Raises OSError if the address is in use."""
        sock = await while_short(lambda: socket.create_server(listen))
        self._server = await self.loop.create_server(lambda: _Caller(self), sock=sock)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def add(self, caller: _Caller) -> None:
        """Register a connection; if there are too many, abort the oldest."""
        if len(self.callers) >= MAX_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()
        self.callers[caller] = None

    def close(self) -> None:
        """Stop listening and abort the open connections."""
        if self._server is not None:
            self._server.close()
        for caller in list(self.callers):
            caller.transport.abort()
