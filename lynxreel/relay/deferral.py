"""When a large value that is next in order is begun. No I/O: the clock is handed in.

A value whose length has been sent can't be taken back: if it breaks, only the end of the connection tells
its client so, and every answer behind it is lost with the connection. A value that breaks before it is begun
fails alone. So a value with answers owed behind it is begun once it is whole, or after a bounded wait.
"""

from __future__ import annotations

MAX_DEFERRAL = 1.5  # seconds; a value whose rest is held back for 2 s counts as lost
DEADLINE_MARGIN = 0.2  # seconds before the client's deadline by which the value is begun


class Deferral:
    """The wait of one value that is next in order. All times are seconds of one monotonic clock."""

    def __init__(self, now: float, time_left: float) -> None:
        """`time_left`: until the client's deadline, without the time spent behind earlier answers."""
        self._ends_at = now + min(MAX_DEFERRAL, time_left - DEADLINE_MARGIN)

    def remaining(self, now: float, can_grow: bool) -> float:
        """Seconds to wait at most before the value is begun; 0: begin it now.

        `can_grow`: more of it can be read before it is begun.
        """
        return max(0.0, self._ends_at - now) if can_grow else 0.0
