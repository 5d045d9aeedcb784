"""Lingering close: a client connection ends without taking away what the client has not read yet.

Closing a socket in which received bytes lie unread makes the system send a reset, and what the client has
not read by then may be lost to it: the last answer. So the sending side is shut down first, and what still
arrives is read and discarded until the client closes or a limit is reached. A request that is discarded has
not been taken: its client sees the end of the connection in place of an answer, and sends it again.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

LINGER_SECONDS = 1.0  # for the client to close its side, once all answers have left this process
UNSENT_SECONDS = 2.5  # for answers to leave this process
DISCARD_LIMIT = 1 << 20  # bytes; a client that goes on sending is cut off


class LingeringClose(asyncio.Protocol):
    """Takes a connection over from its protocol, and ends it."""

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        closed: Callable[[Exception | None], None],
    ) -> None:
        """`closed` is called once, when the connection has ended."""
        self._transport, self._loop, self._closed = transport, loop, closed
        self._discarded = 0
        self._begun = loop.time()
        transport.set_protocol(self)
        transport.write_eof()  # behind what has not been sent yet
        transport.resume_reading()
        self._timer = loop.call_later(LINGER_SECONDS, self._check)

    def data_received(self, data: bytes) -> None:
        """Discard what comes too late."""
        self._discarded += len(data)
        if self._discarded > DISCARD_LIMIT:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        self._timer.cancel()
        self._closed(error)

    def _check(self) -> None:
        """Cut the connection off, unless answers are still on their way out and have time left."""
        unsent = self._transport.get_write_buffer_size() > 0
        if unsent and self._loop.time() - self._begun < UNSENT_SECONDS:
            self._timer = self._loop.call_later(LINGER_SECONDS, self._check)
        else:
            self._transport.abort()


def has_unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or the client's close, wait to be read: closing now could reset the connection."""
    return _poll(transport, select.POLLIN)


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Whether the client has closed the connection, also where bytes before that have not been read."""
    return _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.Transport, events: int) -> bool:
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
