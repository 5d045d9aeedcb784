"""One value on its way from a server to a client, piece by piece. No I/O: both ends are handed in."""

from __future__ import annotations

from typing import Protocol

from lynxreel.relay.budget import Budget


class Source(Protocol):
    """The server's side."""

    def read_on(self, most: int) -> None:
        """Read so many bytes at a time from now on; 0: none."""

    def abandon(self) -> None:
        """Nobody wants the rest."""


class Sink(Protocol):
    """The client's side."""

    def pass_on(self, data: bytes) -> int:
        """Write; how many bytes of it and of what came before are still on hand."""

    def finish(self) -> None:
        """The value is whole."""

    def break_off(self) -> None:
        """It will never be whole, and the client must be able to tell."""


class Stream:
    """A value of `length` bytes. It begins at its source; its sink comes when it is its turn there."""

    def __init__(self, length: int, budget: Budget, source: Source) -> None:
        self.length, self.passed = length, 0
        self._budget, self._source = budget, source
        self._sink: Sink | None = None
        self._kept: list[bytes] = []  # before it has a sink
        self._ended: bool | None = None  # whole or not, once that is known
        budget.open(self)

    @property
    def attached(self) -> bool:
        """It has its sink."""
        return self._sink is not None

    def piece(self, data: bytes) -> None:
        """The next bytes of the value."""
        if self._sink is None:
            self._kept.append(data)
            self.drained(sum(map(len, self._kept)))
        else:
            self.passed += len(data)
            self.drained(self._sink.pass_on(data))

    def attach(self, sink: Sink) -> None:
        """It is its turn: what has come goes on, and the rest as it comes."""
        self._sink = sink
        kept, self._kept = b"".join(self._kept), []
        if kept:
            self.piece(kept)
        if self._ended is not None:
            self._tell(self._ended)

    def drained(self, held: int) -> None:
        """So many bytes are on hand now."""
        self._budget.hold(self, held)
        if self._ended is None:
            self._source.read_on(self._budget.allowance(self))

    def ended(self, whole: bool) -> None:
        """Nothing more comes: all of it and a good end, or what is left will never come."""
        if self._ended is None:
            self._ended = whole
            if self._sink is not None:
                self._tell(whole)

    def _tell(self, whole: bool) -> None:
        assert self._sink is not None
        if whole:
            self._sink.finish()
        else:
            self._sink.break_off()

    def gone(self) -> None:
        """The client has left, or has it all."""
        self._budget.close(self)
        if self._ended is None:
            self._ended = False
            self._source.abandon()
