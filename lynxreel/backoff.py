"""How long a source waits before it calls again. No I/O: the random numbers are handed in."""

from __future__ import annotations

import random

FIRST = 0.05  # seconds of the mean wait after one failure, for each instance of the fleet: 20 calls a second
MOST = 0.2  # the same after many failures: 5 calls a second from the whole fleet, however large it is
LEAST_FIRST, LEAST_MOST = 0.2, 1.0  # seconds; small fleets are no load
LONGEST = 2.5  # seconds of the mean wait in any fleet: with half as much by chance and a call, within 6 s
CROWDED_MOST = 8.0  # seconds of it where calls go on being turned away: all can then be served in turn
CROWDED_AFTER = 3  # calls turned away in a row before waits grow beyond LONGEST


class Backoff:
    """Waits that grow with each failure in a row, drawn by chance."""

    def __init__(self, first: float, most: float, chance: random.Random) -> None:
        """`first` and `most`: seconds of the mean wait after one failure, and after many."""
        self._chance = chance
        self._failures = 0
        self._turned_away = 0  # of these, the last ones in a row
        self.adopt(first, most)

    def adopt(self, first: float, most: float) -> None:
        """Go by these means from now on; failures in a row go on counting."""
        self._first, self._most = first, max(first, most)

    def wait(self, crowded_most: float = 0.0) -> float:
        """Seconds until the next call, one more having failed: half to one and a half times the mean.

        `crowded_most`: the call was turned away by a service that has too many; what the mean may grow to
        where that goes on.
        """
        mean = min(self._most, self._first * 2.0 ** min(self._failures, 32))
        self._failures += 1
        self._turned_away = self._turned_away + 1 if crowded_most > 0 else 0
        if self._turned_away > CROWDED_AFTER and crowded_most > mean:
            mean = min(crowded_most, mean * 2.0 ** min(self._turned_away - CROWDED_AFTER, 32))
        return mean * self._chance.uniform(0.5, 1.5)

    def worked(self) -> None:
        """A call was answered as it should be."""
        self._failures = self._turned_away = 0


def shared(fleet: int, ask_within: float = 0.0) -> tuple[float, float]:
    """Mean waits, first and longest, in seconds, for a service that `fleet` instances call.

    Guards a service that turns calls away when it has too many: the instances of a fleet that lost it
    together would else come back together, as often as they can, and keep it from ever answering. Growing
    alone does not do, as all would grow alike; chance alone does not, as their calls come to the same number
    in all; and what each does harmlessly in a fleet of four is ten times as much in a fleet of forty.

    However large the fleet, the list must not grow older than 6 s while the service can be reached, so the
    waits stay at LONGEST. Only where calls go on being turned away does `Backoff.wait` go beyond.

    `ask_within`: seconds in which an instance has to have asked; 0 where nobody says so.
    """
    first = min(LONGEST, max(LEAST_FIRST, FIRST * fleet))
    most = min(LONGEST, max(LEAST_MOST, MOST * fleet))
    if ask_within > 0:
        first, most = min(first, 0.3 * ask_within), min(most, 0.3 * ask_within)
    return first, most
