"""When bytes arrived that wait unread in a socket, as far as looks at the socket tell. No I/O."""

from __future__ import annotations

from collections import deque


class ArrivalTimes:
    """The arrivals of one connection. Times are seconds of one monotonic clock."""

    def __init__(self) -> None:
        self._marks: deque[tuple[int, float]] = deque()  # up to which byte had arrived, and when it was seen
        self._read = 0  # bytes that have been read since the first mark

    def look(self, now: float, unread: int) -> None:
        """So many bytes are unread now."""
        arrived = self._read + unread
        if arrived > (self._marks[-1][0] if self._marks else 0):
            self._marks.append((arrived, now))

    def read(self, count: int) -> None:
        """So many bytes have been read."""
        if self._marks:
            self._read += count

    def oldest_age(self, now: float) -> float:
        """For how long the first unread bytes have waited; 0 if none are known."""
        return now - self._marks[0][1] if self._marks else 0.0

    def age(self, now: float, pending: int) -> float:
        """For how long the last byte that was taken had waited; `pending` bytes were read and not taken."""
        taken = self._read - pending
        while self._marks and self._marks[0][0] < taken:
            self._marks.popleft()
        if not self._marks:
            self._read = 0
        return self.oldest_age(now)
