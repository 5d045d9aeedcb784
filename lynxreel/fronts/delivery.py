"""Whether a client goes on reading what was sent to it. No I/O: clock and readings are handed in.

An answer that has left this process may lie for long in the system's buffers, as its client reads slowly. A
connection that ends meanwhile can lose it: the client's next request then meets a closed socket, and the
reset throws away what had not been acknowledged. So what is not acknowledged is still owed. A client that
reads, however slowly, makes progress; how long it takes says nothing.
"""

from __future__ import annotations

STALL_TIMEOUT = 10.0  # seconds without progress; systems tell of what a slow client reads in steps of 100 KB


class Delivery:
    """What a client acknowledges of bytes that were sent to it. Times are seconds of one monotonic clock."""

    def __init__(self, now: float, acknowledged: int) -> None:
        """`acknowledged`: bytes, from any fixed point on."""
        self._acknowledged, self._progress_at = acknowledged, now

    def update(self, now: float, acknowledged: int) -> None:
        """Note how many bytes have been acknowledged by now."""
        if acknowledged > self._acknowledged:
            self._acknowledged, self._progress_at = acknowledged, now

    def has_stalled(self, now: float) -> bool:
        """Whether the client has read nothing for so long that it counts as stopped."""
        return now - self._progress_at > STALL_TIMEOUT
