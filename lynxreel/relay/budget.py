"""Limits how many bytes of all streams this process buffers. No I/O.

Each stream may read up to its even share, and all together up to the whole budget. A stream with nothing
buffered may always read MIN_READ, so that none starves, whatever the others buffer. In total, no more than
the budget plus MIN_READ for each stream is buffered.

A stream that is being sent gains nothing from more than MAX_READ, unless something waits for its end. One
that waits for its turn, or is waited for, reads ahead as long as half of the budget is free: what has arrived
can't break any more, and its server's connection is free the sooner.
"""

from __future__ import annotations

from collections.abc import Hashable

MIN_READ = 4 * 1024  # bytes that a stream with an empty buffer may read
MAX_READ = 64 * 1024  # bytes in one read, and so buffered of one stream that is being sent
READ_AHEAD_FRACTION = 0.5  # of the budget, up to which streams that wait for their turn may read


class Budget:
    """One process's budget. Streams are identified by any hashable key."""

    def __init__(self, limit: int) -> None:
        """`limit`: bytes, for all streams together."""
        self.limit = limit
        self.buffered = 0
        self._streams: dict[Hashable, int] = {}

    def __len__(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def open(self, stream: Hashable) -> None:
        """Add a stream, with nothing buffered."""
        self._streams.setdefault(stream, 0)

    def close(self, stream: Hashable) -> None:
        """Remove a stream that has ended; its buffered bytes have been released."""
        self.buffered -= self._streams.pop(stream, 0)

    def set_buffered(self, stream: Hashable, size: int) -> None:
        """Set how many bytes of a stream are buffered. For a closed stream this has no effect."""
        if stream in self._streams:
            self.buffered += size - self._streams[stream]
            self._streams[stream] = size

    def allowance(self, stream: Hashable, ahead: bool = False) -> int:
        """Bytes of a stream that may be read now; 0: none until some of its buffered bytes have been written.

        `ahead`: more of it is wanted than is written for now.
        Less than MIN_READ is not worth a read: a slow reader would be served in smaller and smaller pieces.
        """
        buffered = self._streams.get(stream, 0)
        available = min(self.read_size - buffered, self.limit - self.buffered)
        if ahead:
            free = int(self.limit * READ_AHEAD_FRACTION) - self.buffered
            available = max(available, min(self._even_share - buffered, free))
        if available >= MIN_READ:
            return available
        return 0 if buffered else MIN_READ

    @property
    def read_size(self) -> int:
        """Maximum bytes for one read, also for the read of an answer that may turn out to be a stream."""
        return max(MIN_READ, min(MAX_READ, self._even_share))

    @property
    def _even_share(self) -> int:
        """Bytes for each stream and for one more."""
        return self.limit // (len(self._streams) + 1)
