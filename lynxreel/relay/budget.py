"""How much this process holds of all streams. No I/O: what is held goes in, what may be read comes out.

Each stream may read what is left of its even share, and of the whole. One that holds nothing may always read
LEAST, so that none starves whatever the others hold. More than the whole and LEAST a stream is never held.
"""

from __future__ import annotations

from collections.abc import Hashable

LEAST = 4 * 1024  # bytes that a stream with nothing on hand may read
MOST = 64 * 1024  # bytes on hand of one stream; more gains nothing


class Budget:
    """Of one process. Streams are whatever keys its users have for them."""

    def __init__(self, whole: int) -> None:
        """`whole`: bytes, of all streams."""
        self.whole = whole
        self.held = 0
        self._streams: dict[Hashable, int] = {}

    def __len__(self) -> int:
        """Streams that are open."""
        return len(self._streams)

    def open(self, stream: Hashable) -> None:
        """One more, with nothing on hand."""
        self._streams.setdefault(stream, 0)

    def close(self, stream: Hashable) -> None:
        """It has ended, and what was held of it is gone."""
        self.held -= self._streams.pop(stream, 0)

    def hold(self, stream: Hashable, held: int) -> None:
        """So many bytes of it are on hand now. One that has been closed holds nothing."""
        if stream in self._streams:
            self.held += held - self._streams[stream]
            self._streams[stream] = held

    def allowance(self, stream: Hashable) -> int:
        """Bytes that may be read of it now; 0: it must wait until less of it is on hand.

        Less than LEAST is not worth a read: a slow reader would be served in ever smaller ones.
        """
        held = self._streams.get(stream, 0)
        room = min(self.read - held, self.whole - self.held)
        if room >= LEAST:
            return room
        return 0 if held else LEAST

    @property
    def read(self) -> int:
        """Bytes that one read may bring; also of an answer that may turn out to be a stream."""
        return max(LEAST, min(MOST, self.whole // (len(self._streams) + 1)))
