"""The one way in which fronts lose their connections: for a while, as operators ask, or for good."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

LOOK = 0.01  # seconds between looks for connections that nothing is owed on, while a front ends
ASIDE_LOOK = 0.05  # the same for a front that is set aside, for as long as that lasts
ASIDE_ANNOUNCE = 0.4  # seconds in which idle connections stay open then: whoever asks by PING learns first
READ_ON = 0.15  # seconds after a drain's patience in which commands that have come are still read


class Ending(Protocol):
    """A connection."""

    def end(self, patient: bool = True, reads_on: bool = False) -> None:
        """Close once nothing is owed.

        While `patient`, what is half read may still be completed first. While it `reads_on`, what has come
        whole is read first; after that it is closed over.
        """


@dataclass(frozen=True)
class DrainTimes:
    """How a front ends, in seconds from the close of its listeners."""

    announce: float  # idle connections are left open: whoever asks on one learns by the answer
    patience: float  # what is half read may still be completed
    cut_off: float  # the drain ends, whatever is left

    @property
    def read_on(self) -> float:
        """Commands that have come are read until then. It leaves clients a moment to close their side."""
        return min(self.patience + READ_ON, (self.patience + self.cut_off) / 2)


class Front(Protocol):
    """What has connections."""

    @property
    def connections(self) -> Collection[Ending]:
        """Those that are open."""


class Draining:
    """What becomes of a front's connections. While `closing`, each ends behind the last answer owed on it."""

    def __init__(self, front: Front, loop: asyncio.AbstractEventLoop) -> None:
        self._front, self._loop = front, loop
        self.closing = False
        self._patient = self._reads_on = True
        self._aside: asyncio.Task[None] | None = None

    def set_aside(self) -> None:
        """Connections end, new ones as well, until `take_back`."""
        if self._aside is None:
            times = DrainTimes(ASIDE_ANNOUNCE, math.inf, math.inf)
            self._aside = self._loop.create_task(self._empty(times, ASIDE_LOOK))

    def take_back(self) -> None:
        """They stay open from now on."""
        if self._aside is not None:
            self._aside.cancel()
            self._aside, self.closing = None, False

    def end(self, connection: Ending) -> None:
        """Close a connection once nothing is owed on it, as patiently as the drain is by now."""
        connection.end(self._patient, self._reads_on)

    async def empty(self, times: DrainTimes) -> None:
        """Until no connection is left, or until these times are over; the front takes no new ones any more.

        While the drain is announced a connection ends only behind an answer, so that whoever asks on one
        is told, by the answer to a ping or to the request that would have crossed its end.
        """
        self.take_back()
        await self._empty(times, LOOK)

    async def _empty(self, times: DrainTimes, look: float) -> None:
        self.closing = self._patient = self._reads_on = True
        begun, last = self._loop.time(), self._loop.time() + times.cut_off
        await asyncio.sleep(min(times.announce, times.patience))
        while (now := self._loop.time()) < last and (self._front.connections or last == math.inf):
            self._patient, self._reads_on = now - begun < times.patience, now - begun < times.read_on
            for connection in list(self._front.connections):
                self.end(connection)
            await asyncio.sleep(look)

    def close(self) -> None:
        """The end of the process."""
        if self._aside is not None:
            self._aside.cancel()
