"""How long a source waits before it calls again. No I/O: the random numbers are handed in."""

from __future__ import annotations

import random

FIRST = 0.05  # seconds of the mean wait after one failure, for each instance of the fleet: 20 calls a second
MOST = 0.2  # the same after many failures: 5 calls a second from the whole fleet, however large it is
LEAST_FIRST, LEAST_MOST = 0.2, 1.0  # seconds; small fleets are no load
LONGEST = 20.0  # seconds; in no fleet is the list left to grow older than that between two calls


class Backoff:
    """Waits that grow with each failure in a row and with the fleet, drawn by chance.

    Guards a service that turns calls away when it has too many: the instances of a fleet that lost it
    together would else come back together, as often as they can, and keep it from ever answering. Growing
    alone does not do, as all would grow alike; chance alone does not, as their calls come to the same number
    in all; and what each does harmlessly in a fleet of four is ten times as much in a fleet of forty.
    """

    def __init__(self, fleet: int, chance: random.Random) -> None:
        """`fleet`: instances that call the same service."""
        self._chance = chance
        self._failures = 0
        self.adopt(fleet)

    def adopt(self, fleet: int) -> None:
        """The fleet has so many instances from now on."""
        self._first = min(LONGEST, max(LEAST_FIRST, FIRST * fleet))
        self._most = min(LONGEST, max(LEAST_MOST, MOST * fleet))

    def wait(self) -> float:
        """Seconds until the next call, one more having failed: half to one and a half times the mean."""
        mean = min(self._most, self._first * 2.0 ** min(self._failures, 32))
        self._failures += 1
        return mean * self._chance.uniform(0.5, 1.5)

    def worked(self) -> None:
        """A call was answered as it should be."""
        self._failures = 0
