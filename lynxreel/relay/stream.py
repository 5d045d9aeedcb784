"""Forwards one value from a server to a client, piece by piece. No I/O: both ends are passed in."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lynxreel.relay.budget import MAX_READ, Budget


class Source(Protocol):
    """The connection to the server."""

    def set_read_limit(self, limit: int) -> None:
        """Read at most this many bytes at a time from now on; 0: pause reading."""

    def abandon(self) -> None:
        """The rest of the value is not needed."""

    def is_broken(self) -> bool:
        """Whether it is known that the rest of the value can't arrive, also while reading is paused."""


class Sink(Protocol):
    """The connection to the client."""

    @property
    def buffered(self) -> int:
        """Written bytes that are still buffered."""

    def write_piece(self, data: bytes) -> int:
        """Write a piece of the value; returns how many written bytes are still buffered."""

    def finish(self) -> None:
        """The value is complete."""

    def abort(self) -> None:
        """The value will never be complete; the client must be able to detect this."""


class Stream:
    """A value of `length` bytes. Its source starts it; its sink is attached after the earlier answers."""

    def __init__(self, length: int, budget: Budget, source: Source) -> None:
        self.length, self.forwarded = length, 0
        self._budget, self._source = budget, source
        self._sink: Sink | None = None
        self._received = bytearray()  # before the sink was attached
        self._complete: bool | None = None  # whether the value arrived in full; None while it is arriving
        self._reads_ahead = True  # more is read than the client takes for now
        self._can_grow = True  # more of it may be read
        # Called when a value without a sink has arrived, has broken, or can't grow any more for now.
        self.on_settled: Callable[[], None] = lambda: None
        budget.open(self)

    def is_broken(self) -> bool:
        """Whether it is known that the value can't be completed. Then no sink should be attached."""
        return self._complete is False or (self._complete is None and self._source.is_broken())

    @property
    def is_arriving(self) -> bool:
        """Whether the value can still break: it has not arrived in full, as far as is known."""
        return self._complete is None

    @property
    def can_grow(self) -> bool:
        """Whether more of the value is being read."""
        return self.is_arriving and self._can_grow

    def feed(self, data: bytes) -> None:
        """Add the next bytes of the value."""
        if self._sink is None:
            self._received += data
            self.set_buffered(len(self._received))
        else:
            self.forwarded += len(data)
            self.set_buffered(self._sink.write_piece(data))

    def attach(self, sink: Sink) -> None:
        """Forward the bytes received so far to the sink, and the rest as it arrives."""
        self._sink, self._reads_ahead = sink, False
        buffered = 0
        while self._received:
            piece = bytes(self._received[:MAX_READ])
            del self._received[:MAX_READ]
            self.forwarded += len(piece)
            buffered = sink.write_piece(piece)
        self.set_buffered(buffered)
        if self._complete is not None:
            self._end_sink(self._complete)

    def read_ahead(self) -> None:
        """Read more than the client takes for now, as others wait for the end of the value."""
        self._reads_ahead = True
        self.set_buffered(len(self._received) if self._sink is None else self._sink.buffered)

    def set_buffered(self, buffered: int) -> None:
        """Report how many bytes are still buffered, and adapt the source's read limit."""
        self._budget.set_buffered(self, buffered)
        if self._complete is not None:
            return
        limit = self._budget.allowance(self, self._reads_ahead)
        self._can_grow = limit > 0
        self._source.set_read_limit(limit)
        if not self._can_grow and self._sink is None:
            self.on_settled()

    def end(self, complete: bool) -> None:
        """The source has ended: the value arrived in full and valid, or the rest will never arrive."""
        if self._complete is not None:
            return
        self._complete = complete
        if self._sink is not None:
            self._end_sink(complete)
            return
        if not complete:
            self._received.clear()
            self._budget.close(self)
        self.on_settled()

    def _end_sink(self, complete: bool) -> None:
        assert self._sink is not None
        if complete:
            self._sink.finish()
        else:
            self._sink.abort()

    def release(self) -> None:
        """Release the stream: the client has the whole value, or has disconnected."""
        self._budget.close(self)
        if self._complete is None:
            self._complete = False
            self._source.abandon()
