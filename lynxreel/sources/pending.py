"""The watches that have received no whole line yet: which of them go on waiting. No I/O; times are seconds.

Whether a service is away or slow can't be told from outside, so that requests of different ages wait side by
side: the latest is answered by a service that has just come back, and the oldest is the closest to the answer
of a slow one. If there are too many, the one is given up whose age is closest to that of the next older one,
in proportion. So the ages that remain grow like a geometric series, and the oldest is never given up.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_ANSWER_TIME = 30.0  # seconds that a request waits for its answer, or for the next part of it


@dataclass(slots=True)
class PendingWatch:
    """A watch that has received no whole line yet."""

    opened_at: float
    address_epoch: int  # how often the address had changed when it was opened
    last_activity: float  # when it was opened or last received a part of its first line
    receiving: bool = False  # a part of its first line has arrived


class PendingWatches:
    """Pending watches in the order of opening."""

    def __init__(self) -> None:
        self._watches: dict[int, PendingWatch] = {}

    def __len__(self) -> int:
        return len(self._watches)

    def add(self, watch: int, now: float, address_epoch: int) -> None:
        """Add a watch that is opened now."""
        self._watches[watch] = PendingWatch(now, address_epoch, now)

    def remove(self, watch: int) -> PendingWatch | None:
        """Remove and return a watch, or return None if it was not pending."""
        return self._watches.pop(watch, None)

    def remove_up_to(self, address_epoch: int) -> list[int]:
        """Remove and return the watches at the address of this epoch and at earlier ones."""
        removed = [
            watch for watch, pending in self._watches.items() if pending.address_epoch <= address_epoch
        ]
        self._remove(removed)
        return removed

    def has_any_at(self, address_epoch: int) -> bool:
        """Whether a watch is pending at the address of this epoch."""
        return any(pending.address_epoch == address_epoch for pending in self._watches.values())

    def bytes_received(self, watch: int, now: float) -> None:
        """Note that a part of a watch's first line has arrived."""
        if (pending := self._watches.get(watch)) is not None:
            pending.last_activity, pending.receiving = now, True

    def receiving_since(self, start: float, address_epoch: int) -> bool:
        """Whether a part of a first line has arrived from the address of this epoch since `start`."""
        return any(
            pending.receiving and pending.address_epoch == address_epoch and pending.last_activity >= start
            for pending in self._watches.values()
        )

    @property
    def first_activity(self) -> float:
        """The time since which the watch that has waited longest has received nothing."""
        return min(pending.last_activity for pending in self._watches.values())

    @property
    def last_activity(self) -> float:
        """When a watch was opened last, or last received something."""
        return max(pending.last_activity for pending in self._watches.values())

    def expire(self, now: float) -> list[int]:
        """Remove and return the watches that have waited for MAX_ANSWER_TIME."""
        expired = [
            watch
            for watch, pending in self._watches.items()
            if now >= pending.last_activity + MAX_ANSWER_TIME
        ]
        self._remove(expired)
        return expired

    def make_room(self, limit: int, now: float) -> list[int]:
        """Remove and return watches until one more can be added within `limit` (2 or more)."""
        removed = []
        while len(self._watches) >= limit:
            watch = self._most_redundant(now)
            del self._watches[watch]
            removed.append(watch)
        return removed

    def _remove(self, watches: list[int]) -> None:
        for watch in watches:
            del self._watches[watch]

    def _most_redundant(self, now: float) -> int:
        """Return the watch that is closest in age to the next older one, in proportion to its age."""
        ages = [(watch, now - pending.opened_at) for watch, pending in self._watches.items()]
        ratios = {
            watch: older_age / age if age > 0 else float("inf")
            for (_, older_age), (watch, age) in zip(ages, ages[1:], strict=False)
        }
        return min(ratios, key=ratios.__getitem__)
