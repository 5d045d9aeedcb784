"""Lingering close: ends a client connection without losing answers that the client has not read yet.

Closing a socket with unread received bytes makes the system send a reset, and what the client has not read
by then may be lost to it: the last answer. So the sending side is shut down first, and what still arrives
is read and discarded until the client closes or a limit is reached. A discarded request has not been
accepted: its client sees the end of the connection in place of an answer, and sends it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LINGER_SECONDS = 1.0  # for the client to close its side, once all answers have been sent
UNSENT_SECONDS = 2.5  # for all answers to be sent
DISCARD_LIMIT = 1 << 20  # bytes; a client that sends more is disconnected


class LingeringClose(asyncio.Protocol):
    """Replaces a connection's protocol and closes the connection."""

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        on_closed: Callable[[Exception | None], None],
    ) -> None:
        """`on_closed` is called once, when the connection has ended."""
        self._transport, self._loop, self._on_closed = transport, loop, on_closed
        self._discarded = 0
        self._started = loop.time()
        transport.pause_reading()  # uvloop takes another kind of protocol only where it starts to read
        transport.set_protocol(self)
        transport.write_eof()  # sent after what is still buffered
        transport.resume_reading()
        self._timer = loop.call_later(LINGER_SECONDS, self._check)

    def data_received(self, data: bytes) -> None:
        """Discard what arrives after the close."""
        self._discarded += len(data)
        if self._discarded > DISCARD_LIMIT:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self._timer.cancel()
        self._on_closed(error)

    def _check(self) -> None:
        """Abort the connection, unless answers are still being sent and have time left."""
        unsent = self._transport.get_write_buffer_size() > 0
        if unsent and self._loop.time() - self._started < UNSENT_SECONDS:
            self._timer = self._loop.call_later(LINGER_SECONDS, self._check)
        else:
            self._transport.abort()
