"""Connections whose reading is paused, and when they are looked at again."""

from __future__ import annotations

import asyncio
from typing import Protocol

from lynxreel.socket_queues import peer_has_closed

PAUSED_CHECK_INTERVAL = 0.05  # seconds between looks at connections that are not read for now


class PausableConnection(Protocol):
    """A client connection whose reading can be paused."""

    transport: asyncio.Transport

    def resume_if_room(self) -> None:
        """Read on if there is room again."""


class PausedConnections:
    """One front's connections that are not read for now."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._paused: dict[PausableConnection, None] = {}
        self.arrived: dict[PausableConnection, None] = {}  # whose command only waits for room; oldest first
        self._checking = False
        self._waking = False

    def add(self, connection: PausableConnection) -> None:
        """Look from time to time whether it can be read on, or its client has closed it."""
        self._paused[connection] = None
        if not self._checking:
            self._checking = True
            self._loop.call_later(PAUSED_CHECK_INTERVAL, self._check)

    def discard(self, connection: PausableConnection) -> None:
        """Look at it no more: it is read again, or closed."""
        self._paused.pop(connection, None)
        self.arrived.pop(connection, None)

    def add_arrived(self, connection: PausableConnection) -> None:
        """The rest of its command has arrived, and is read before that of any later one."""
        self.arrived.setdefault(connection)

    def discard_arrived(self, connection: PausableConnection) -> None:
        """Its command waits no more."""
        self.arrived.pop(connection, None)

    def wake_arrived(self) -> None:
        """Have commands read that have arrived, in the next iteration, as there may be room for them."""
        if self.arrived and not self._waking:
            self._waking = True
            self._loop.call_soon(self._read_arrived)

    def _read_arrived(self) -> None:
        self._waking = False
        for connection in list(self.arrived):
            connection.resume_if_room()
            if connection in self.arrived:
                break  # there is no room for it yet, and the others came later

    def _check(self) -> None:
        """Abort paused connections that their clients have closed; read on where others have made room.

        Nothing else shows a close while they are not read: servers would work for disconnected clients.
        """
        for connection in list(self._paused):
            if peer_has_closed(connection.transport):
                connection.transport.abort()
            else:
                connection.resume_if_room()
        self._checking = bool(self._paused)
        if self._checking:
            self._loop.call_later(PAUSED_CHECK_INTERVAL, self._check)
