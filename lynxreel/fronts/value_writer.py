"""Sends the large values of one RESP2 connection: when each is begun, and what becomes of it.

A value that breaks once it has been begun ends its connection, and everything behind it is lost. So a value
with commands behind it is deferred until it is whole, or for a bounded time. Commands that come while a value
is arriving from its server are left unread for as long: at least they have no effect if it breaks.
"""

from __future__ import annotations

import asyncio
import weakref
from typing import Protocol

from lynxreel.fronts.arrival_times import ArrivalTimes
from lynxreel.relay.deferral import Deferral
from lynxreel.relay.stream import Stream
from lynxreel.socket_queues import unread_bytes, undelivered_bytes


class ValueConnection(Protocol):
    """The connection that values are sent on."""

    transport: asyncio.Transport

    @property
    def max_unread_wait(self) -> float:
        """Seconds for which commands are left unread behind a value that is arriving."""

    def flush(self) -> None:
        """Write the answers that are next in order."""

    def has_commands_behind(self) -> bool:
        """Whether anything has come behind the value that is next in order."""

    def hold_input(self) -> None:
        """Read nothing until `release_input`."""

    def release_input(self) -> None:
        """Read on."""

    def value_sent(self) -> None:
        """All of the value has left this process."""

    def value_broken(self, stream: Stream) -> None:
        """The rest of the value that is being sent will never arrive."""


class ValueWriter:
    """Sends values one after the other; the sink of the one that is being sent."""

    def __init__(self, connection: ValueConnection, loop: asyncio.AbstractEventLoop) -> None:
        # Weak: the connection holds its writer, and is to be freed with its buffers as soon as it ends.
        self._connection: ValueConnection = weakref.proxy(connection)
        self._loop = loop
        self.stream: Stream | None = None  # the value that is being sent
        self._written = False  # all of it has been written to the transport, but perhaps not sent
        self._deferral: Deferral | None = None  # of the value that is next in order
        self._timer: asyncio.TimerHandle | None = None  # ends the deferral
        self.arrivals = ArrivalTimes()  # of commands that are left unread

    @property
    def is_sending(self) -> bool:
        """Whether a value has been begun and has not been sent completely."""
        return self.stream is not None

    @property
    def is_deferring(self) -> bool:
        """Whether the value that is next in order is deferred."""
        return self._deferral is not None

    def may_begin(self, stream: Stream, time_left: float) -> bool:
        """Whether a value that is next in order is begun now; else `flush` is called when it may be.

        `time_left`: seconds until its client's deadline, without the time spent behind earlier answers.
        """
        now = self._loop.time()
        if self._deferral is None:
            if not (stream.is_arriving and self._connection.has_commands_behind()):
                return True
            self._deferral = Deferral(now, time_left)
            stream.read_ahead()
            stream.on_settled = self._connection.flush
        wait = self._deferral.remaining(now, stream.can_grow)
        if wait and self._timer is None:
            self._timer = self._loop.call_later(wait, self._deferral_ends)
        return not wait

    def _deferral_ends(self) -> None:
        self._timer = None
        self._connection.flush()

    def end_deferral(self) -> None:
        """The value that was next in order is begun, has failed, or is not wanted any more."""
        self._deferral = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def begin(self, stream: Stream) -> None:
        """Start to send a value.

        With the transport's buffer limit at 0, `resume_writing` is called when all that was written has been
        sent.
        """
        self.end_deferral()
        self.stream, self._written = stream, False
        transport = self._connection.transport
        if transport.is_closing():
            stream.release()
            return
        transport.set_write_buffer_limits(high=0)
        transport.write(b"$%d\r\n" % stream.length)
        stream.attach(self)
        if self.stream is stream and stream.is_arriving:
            self._connection.hold_input()
            if self._connection.has_commands_behind():
                stream.read_ahead()
            self.look_behind()

    def look_behind(self) -> None:
        """Note what has come behind a value that is arriving, and read all of the value the sooner for it."""
        unread = unread_bytes(self._connection.transport)
        if self.stream is None or not unread:
            return
        now = self._loop.time()
        self.arrivals.look(now, unread)
        self.stream.read_ahead()
        if self.arrivals.oldest_age(now) >= self._connection.max_unread_wait:
            self._connection.release_input()

    @property
    def buffered(self) -> int:
        """Written bytes that are still in this process."""
        return self._connection.transport.get_write_buffer_size()

    def write_piece(self, data: bytes) -> int:
        """Write a piece of the value; returns how many bytes are still buffered."""
        if self._connection.transport.is_closing():
            return 0
        self._connection.transport.write(data)
        return self.buffered

    def finish(self) -> None:
        """The value is complete: write its last two bytes, which tell the client so."""
        if self._connection.transport.is_closing():
            return
        self._written = True
        self._connection.transport.write(b"\r\n")
        self._connection.release_input()
        if not self.buffered:
            self._sent()

    def abort(self) -> None:
        """The value can't be completed: the connection's end in its middle tells the client so."""
        assert self.stream is not None
        self._connection.value_broken(self.stream)

    def resume_writing(self) -> None:
        """All that was written has been sent."""
        if self._written:
            self._sent()
        elif self.stream is not None:
            self.stream.set_buffered(0)

    def _sent(self) -> None:
        assert self.stream is not None
        self.stream.release()
        self.stream = None
        self._connection.transport.set_write_buffer_limits()
        self._connection.value_sent()

    @property
    def bytes_acknowledged(self) -> int:
        """Bytes of the value that the client's system has acknowledged, as far as that is known.

        Negative while some of earlier answers have not been acknowledged.
        """
        assert self.stream is not None
        return self.stream.forwarded - undelivered_bytes(self._connection.transport)
