"""How fronts close their connections: for a while, at an operator's request, or for good."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

CHECK_INTERVAL = 0.01  # seconds between checks for connections that can be closed, in a shutdown
SUSPENDED_CHECK_INTERVAL = 0.05  # the same while a front is suspended, which may last
SUSPEND_ANNOUNCE_TIME = (
    0.4  # seconds that idle connections then stay open: clients that send PING learn first
)
READ_PENDING_TIME = 0.15  # seconds after a drain's patience in which arrived requests are still read


class ClosableConnection(Protocol):
    """A client connection that can be closed."""

    def end(self, await_partial: bool = True, read_pending: bool = False) -> None:
        """Close once no answer is pending.

        With `await_partial`, a partly received request may still be completed first. With `read_pending`,
        requests that have arrived complete are read first; without it the connection is closed over them.
        """


@dataclass(frozen=True)
class DrainTimes:
    """The times of a front's shutdown, in seconds from the close of its listeners."""

    announce: float  # idle connections stay open until then: clients that use them learn by the answer
    patience: float  # partly received requests may be completed until then
    cut_off: float  # the drain ends, even if connections are left; infinite if something else ends it

    @property
    def read_until(self) -> float:
        """Until then, requests that have arrived are read. Leaves clients a moment to close their side."""
        return min(self.patience + READ_PENDING_TIME, (self.patience + self.cut_off) / 2)


class Front(Protocol):
    """A front, as far as draining needs it."""

    @property
    def connections(self) -> Collection[ClosableConnection]:
        """The open connections."""


class Draining:
    """Closes a front's connections. While `closing`, each is closed after the last answer pending on it."""

    def __init__(self, front: Front, loop: asyncio.AbstractEventLoop) -> None:
        self._front, self._loop = front, loop
        self.closing = False
        self._await_partial = self._read_pending = True
        self._suspend_task: asyncio.Task[None] | None = None

    def suspend(self) -> None:
        """Close connections, new ones too, until `resume`."""
        if self._suspend_task is None:
            times = DrainTimes(SUSPEND_ANNOUNCE_TIME, math.inf, math.inf)
            self._suspend_task = self._loop.create_task(
                self._close_connections(times, SUSPENDED_CHECK_INTERVAL, until_empty=False)
            )

    def resume(self) -> None:
        """Stop closing connections."""
        if self._suspend_task is not None:
            self._suspend_task.cancel()
            self._suspend_task, self.closing = None, False

    def end(self, connection: ClosableConnection) -> None:
        """Close a connection once no answer is pending, with as much waiting as the drain still allows."""
        connection.end(self._await_partial, self._read_pending)

    async def drain(self, times: DrainTimes) -> None:
        """Close all connections of a front that accepts no new ones; return when none is left or time is up.

        While the drain is announced, a connection is closed only after an answer. So whoever asks on one is
        notified, by the answer to a ping or to the request that would have crossed the close.
        """
        self.resume()
        await self._close_connections(times, CHECK_INTERVAL, until_empty=True)

    async def _close_connections(self, times: DrainTimes, interval: float, until_empty: bool) -> None:
        self.closing = self._await_partial = self._read_pending = True
        started, deadline = self._loop.time(), self._loop.time() + times.cut_off
        await asyncio.sleep(min(times.announce, times.patience))
        while (now := self._loop.time()) < deadline and (self._front.connections or not until_empty):
            self._await_partial, self._read_pending = (
                now - started < times.patience,
                now - started < times.read_until,
            )
            for connection in list(self._front.connections):
                self.end(connection)
            await asyncio.sleep(interval)

    def close(self) -> None:
        """Cancel what is running; the process ends."""
        if self._suspend_task is not None:
            self._suspend_task.cancel()
