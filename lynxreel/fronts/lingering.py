"""Lingering close: ends a client connection without losing answers that the client has not read yet.

Closing a socket with unread received bytes makes the system send a reset, and what the client has not read
by then may be lost to it: the last answer. So the sending side is shut down first, and what still arrives
is read and discarded until the client closes or a limit is reached. A discarded request has not been
accepted: its client sees the end of the connection in place of an answer, and sends it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lynxreel.fronts.delivery import Delivery
from lynxreel.socket_queues import peer_has_closed, undelivered_bytes

LINGER_SECONDS = 1.0  # for the client to close its side, once it has acknowledged all answers
CHECK_INTERVAL = 0.1  # seconds between looks at what it has acknowledged
DISCARD_LIMIT = 1 << 20  # bytes; from a client that sends more, no more is read
END_OF_STREAM = 1  # the end of what is sent counts like a byte until it is acknowledged


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
        self._reading_paused = False
        transport.pause_reading()  # uvloop takes another kind of protocol only where it starts to read
        transport.set_protocol(self)
        transport.write_eof()  # sent after what is still buffered
        transport.resume_reading()
        self._delivery = Delivery(loop.time(), -self._outstanding())
        self._timer: asyncio.TimerHandle
        self._check()

    @property
    def is_delivering(self) -> bool:
        """Whether answers have not been acknowledged by the client's system yet."""
        return self._outstanding() > 0

    def _outstanding(self) -> int:
        return max(0, undelivered_bytes(self._transport) - END_OF_STREAM)

    def data_received(self, data: bytes) -> None:
        """Discard what arrives after the close."""
        self._discarded += len(data)
        if self._discarded <= DISCARD_LIMIT:
            return
        if self.is_delivering:
            self._reading_paused = True
            self._transport.pause_reading()
        else:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self._timer.cancel()
        self._on_closed(error)

    def _check(self) -> None:
        """Wait until all answers have been acknowledged, then a moment for the client to close its side."""
        now, outstanding = self._loop.time(), self._outstanding()
        self._delivery.update(now, -outstanding)
        if not outstanding and not self._reading_paused:
            self._timer = self._loop.call_later(LINGER_SECONDS, self._transport.abort)
        elif self._is_useless(now, outstanding):
            self._transport.abort()
        else:
            self._timer = self._loop.call_later(CHECK_INTERVAL, self._check)

    def _is_useless(self, now: float, outstanding: int) -> bool:
        """Whether nothing more can be delivered: the client reads no more, has gone, or has all of it."""
        if self._reading_paused and (not outstanding or peer_has_closed(self._transport)):
            return True
        return self._delivery.has_stalled(now)
