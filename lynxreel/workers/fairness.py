"""Who takes the next connection of a listener that several workers share. No I/O; times are in seconds.

The kernel wakes whichever worker it likes, often the one that slept last, and a loop that takes all that
waits takes a burst whole. So a worker that holds more connections than the least loaded of those that show
life leaves the listener alone for a moment. It is for a moment only: where the others do not come, it takes
them after all.
"""

from __future__ import annotations

from dataclasses import dataclass

LEAD = 2  # connections more than the least loaded worker has, from which one holds back
LEAD_PART = 0.02  # of what the least loaded one holds: among thousands an exact balance is worth nothing
TURN = 16  # connections taken at one turn of the loop at most
PAUSE = 0.002  # seconds for which a worker that leads leaves the listener alone
PATIENCE = 0.02  # seconds of holding back after which it takes what waits: the others are busy, or hang


@dataclass(slots=True)
class Fairness:
    """One worker's part of a shared listener."""

    held_since: float | None = None

    def take(self, now: float, own: int, others: list[int]) -> int:
        """How many of the waiting connections to take now, with `own` held here and `others` elsewhere.

        0: leave them for PAUSE seconds. It is asked only while connections wait.
        """
        least = min(others, default=own)
        room = least + max(LEAD, int(LEAD_PART * least)) - own
        if room > 0:
            self.held_since = None
            return min(TURN, room)
        if self.held_since is None:
            self.held_since = now
        if now - self.held_since < PATIENCE:
            return 0
        self.held_since = None
        return 1
