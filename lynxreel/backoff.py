"""Randomized exponential backoff for sources. No I/O; the random generator is passed in."""

from __future__ import annotations

import random

FIRST_WAIT_PER_INSTANCE = 0.05  # mean wait after one failure, s per instance of the fleet: 20 calls/s in all
MAX_WAIT_PER_INSTANCE = 0.2  # the same after many failures: 5 calls/s from the whole fleet, any size
MIN_FIRST_WAIT, MIN_MAX_WAIT = 0.2, 1.0  # seconds, as lower bounds of both; small fleets cause little load
MAX_MEAN_WAIT = 2.5  # seconds of mean wait in any fleet; plus half of it at random and a call, within 6 s
OVERLOADED_MAX_WAIT = 8.0  # the same if calls keep being rejected: all can then be served in turn
OVERLOADED_AFTER = 3  # calls rejected in a row before waits grow beyond MAX_MEAN_WAIT


class Backoff:
    """Random waits that grow with each consecutive failure."""

    def __init__(self, first: float, most: float, rng: random.Random) -> None:
        """`first` and `most`: seconds of the mean wait after one failure, and after many."""
        self._rng = rng
        self._failures = 0
        self._rejections = 0  # the most recent failures, if they are rejections: how many in a row
        self.adopt(first, most)

    def adopt(self, first: float, most: float) -> None:
        """Use these mean waits from now on; the count of consecutive failures is kept."""
        self._first, self._max = first, max(first, most)

    def wait(self, overloaded_max_wait: float = 0.0) -> float:
        """Count a failure and return the seconds until the next call: 0.5 to 1.5 times the mean.

        `overloaded_max_wait` above 0: the call was rejected by an overloaded service; it is the largest mean
        wait, in seconds, if rejections continue.
        """
        mean = min(self._max, self._first * 2.0 ** min(self._failures, 32))
        self._failures += 1
        self._rejections = self._rejections + 1 if overloaded_max_wait > 0 else 0
        if self._rejections > OVERLOADED_AFTER and overloaded_max_wait > mean:
            mean = min(overloaded_max_wait, mean * 2.0 ** min(self._rejections - OVERLOADED_AFTER, 32))
        return mean * self._rng.uniform(0.5, 1.5)

    def reset(self) -> None:
        """Reset the failure counts after a successful call."""
        self._failures = self._rejections = 0


def fleet_mean_waits(fleet: int, ask_within: float = 0.0) -> tuple[float, float]:
    """Return the first and the largest mean wait in seconds, for a service that `fleet` instances call.

    Protects a service that rejects calls when it is overloaded: otherwise the instances of a fleet that lost
    it at the same time would all retry together, as often as they can, and keep it from ever answering.
    Growing waits alone don't help, as they would grow in step; randomness alone doesn't, as the number of
    calls stays the same; and a rate that is harmless in a fleet of four is ten times as much in one of forty.

    Whatever the fleet's size, the list must not become older than 6 s while the service can be reached, so
    the mean wait is at most MAX_MEAN_WAIT. Only if calls keep being rejected does `Backoff.wait` exceed it.

    `ask_within`: seconds in which an instance must have asked again; 0 for no such requirement.
    """
    first = min(MAX_MEAN_WAIT, max(MIN_FIRST_WAIT, FIRST_WAIT_PER_INSTANCE * fleet))
    most = min(MAX_MEAN_WAIT, max(MIN_MAX_WAIT, MAX_WAIT_PER_INSTANCE * fleet))
    if ask_within > 0:
        first, most = min(first, 0.3 * ask_within), min(most, 0.3 * ask_within)
    return first, most
