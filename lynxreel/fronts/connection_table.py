"""The client connections of one front: which wait, idle, send or close, and which make room for others."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator, Sized
from itertools import islice
from typing import Generic, Protocol, TypeVar

from lynxreel.fronts.delivery import Delivery
from lynxreel.fronts.lingering import LingeringClose
from lynxreel.fronts.paused import PausableConnection, PausedConnections
from lynxreel.socket_queues import undelivered_bytes

SWEEP_INTERVAL = 0.25  # seconds between checks for expired timeouts
MAX_EVICTION_CANDIDATES = 16  # connections examined for one that can be closed to make room
MIN_IDLE_TIME = 2.0  # seconds that a connection stays open after its last answer
MAX_IDLE_FRACTION = 0.25  # of the connections allowed; of more idle ones, the longest idle are closed
MAX_SILENT_FRACTION = 0.25  # of the connections allowed; if more have sent nothing, these make room
CLIENT_TIMEOUT = 2.5  # seconds to send a first command, to complete one (slow ones take 2), to read answers


class TableConnection(PausableConnection, Protocol):
    """A client connection, as far as the table needs it."""

    @property
    def queue(self) -> Sized:
        """The commands whose answers have not been written."""

    def owes_nothing(self) -> bool:
        """Whether no request would be lost if the connection ended at once."""

    def has_unsent(self) -> bool:
        """Whether answers wait for room at the client, which has not read what was sent before."""

    def has_read(self) -> bool:
        """Whether a client with unread answers has read any since the last call."""

    @property
    def bytes_acknowledged(self) -> int:
        """Bytes of the large value being sent that the client's system has acknowledged."""

    def stop_stalled_value(self) -> None:
        """Nothing of the large value has moved for too long."""

    def time_out(self) -> None:
        """The timeout for sending a command, or for reading answers, has expired."""

    def end(self) -> None:
        """Close once no answer is pending."""


ConnectionT = TypeVar("ConnectionT", bound=TableConnection)


class ConnectionTable(Generic[ConnectionT]):
    """All connections of a front."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_connections: int, paused: PausedConnections
    ) -> None:
        """`paused`: those that are not read for now."""
        self._loop, self._paused = loop, paused
        self.max_connections = max_connections
        self.connections: set[ConnectionT] = set()
        self.waiting_since: dict[ConnectionT, float] = {}  # clients that must send or read; oldest first
        self.unread_answers: dict[ConnectionT, None] = {}  # clients that have to read before more is written
        self.streams: dict[ConnectionT, Delivery] = {}  # large values that are being sent
        self.deliveries: dict[ConnectionT, Delivery] = {}  # other answers that clients are still reading
        self.idle_since: dict[ConnectionT, float] = {}  # no command is open; oldest first
        self.lingering: dict[ConnectionT, LingeringClose] = {}  # connections being closed; oldest first
        self._sweeping = False

    def start_sweeping(self) -> None:
        """Check timeouts from now on."""
        if not self._sweeping:
            self._sweeping = True
            self.sweep()

    def is_sending(self) -> bool:
        """Whether answers are being sent to clients that read them: those that don't are cut off in time."""
        if self.streams or self.unread_answers or self.deliveries:
            return True
        return any(closing.is_delivering for closing in self.lingering.values())

    def add(self, connection: ConnectionT) -> None:
        """Register a new connection; another one is closed where descriptors would run short.

        That is the one idle for longest, as closing a connection may cross a request. Where many have sent
        nothing yet, it is the oldest of these: silent clients must not displace those that are served.
        """
        self.connections.add(connection)
        self.start_timeout(connection)
        if len(self.connections) <= self.max_connections:
            return
        delivered = (c for c, closing in self.lingering.items() if not closing.is_delivering)
        victim = next(delivered, None) or self._choose_victim() or connection
        self.remove(victim)
        victim.transport.abort()

    def _choose_victim(self) -> ConnectionT | None:
        """Choose one to close: one that nothing would be lost on. None if there is none."""
        silent = self._first_evictable(self._silent_connections())
        if len(self.waiting_since) > max(1, self.max_connections * MAX_SILENT_FRACTION):
            return silent
        return self._first_evictable(self.idle_since) or silent

    def _first_evictable(self, candidates: Iterable[ConnectionT]) -> ConnectionT | None:
        for connection in list(islice(candidates, MAX_EVICTION_CANDIDATES)):
            if connection.owes_nothing():
                return connection
            if connection in self.idle_since:
                self.is_delivering(connection)  # if so it is no candidate until its client has read on
        return None

    def _silent_connections(self) -> Iterator[ConnectionT]:
        """Cs that have to send a command and have none in the queue, the oldest first."""
        return (connection for connection in self.waiting_since if not connection.queue)

    def is_delivering(self, connection: ConnectionT) -> bool:
        """Whether a client is so far behind its last answers that it would learn late of a close.

        Until then it may send further commands. It is watched until it has room for all answers.
        """
        if not connection.has_unsent():
            self.deliveries.pop(connection, None)
            return False
        if connection not in self.deliveries:
            self.idle_since.pop(connection, None)
            delivery = Delivery(self._loop.time(), -undelivered_bytes(connection.transport))
            self.deliveries[connection] = delivery
        return True

    def linger(self, connection: ConnectionT, closing: LingeringClose) -> None:
        """Register a connection that is being closed; it counts until it has ended."""
        self._forget(connection)
        self.lingering[connection] = closing

    def start_timeout(self, connection: ConnectionT, restart: bool = False) -> None:
        """Start the timeout of a client that has to send or to read; `restart` one that runs already."""
        if restart:
            self.waiting_since.pop(connection, None)
        self.waiting_since.setdefault(connection, self._loop.time())

    def mark_idle(self, connection: ConnectionT) -> None:
        """Register a connection as idle: all its commands are answered."""
        self.idle_since.pop(connection, None)
        still_open = connection in self.connections and connection not in self.lingering
        if still_open and connection not in self.waiting_since:
            self.idle_since[connection] = self._loop.time()

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        self.lingering.pop(connection, None)
        self._forget(connection)

    def _forget(self, connection: ConnectionT) -> None:
        """Nothing is waited for on a connection any more."""
        self.waiting_since.pop(connection, None)
        self.unread_answers.pop(connection, None)
        self.idle_since.pop(connection, None)
        self.streams.pop(connection, None)
        self.deliveries.pop(connection, None)
        self._paused.discard(connection)

    def sweep(self) -> None:
        """Close connections with an expired timeout, and of many idle ones those that are idle for longest.

        Some clients ask once and keep their connection for good: the others must find room before it is full.
        """
        for connection in self.unread_answers:
            if not connection.transport.is_closing() and connection.has_read():
                self.start_timeout(connection, restart=True)
        latest_start = self._loop.time() - CLIENT_TIMEOUT
        for connection, since in list(self.waiting_since.items()):
            if since > latest_start:
                break
            del self.waiting_since[connection]
            connection.time_out()
        self._check_deliveries()
        latest_start = self._loop.time() - MIN_IDLE_TIME
        excess = len(self.idle_since) - int(self.max_connections * MAX_IDLE_FRACTION)
        for connection, since in list(islice(self.idle_since.items(), max(0, excess))):
            if since > latest_start:
                break
            del self.idle_since[connection]
            connection.end()
        self._loop.call_later(SWEEP_INTERVAL, self.sweep)

    def _check_deliveries(self) -> None:
        """Cut off clients that have stopped reading; those that have all of their answers are idle."""
        now = self._loop.time()
        for connection, value in list(self.streams.items()):
            value.update(now, connection.bytes_acknowledged)
            if value.has_stalled(now):
                connection.stop_stalled_value()
        for connection, answers in list(self.deliveries.items()):
            answers.update(now, -undelivered_bytes(connection.transport))
            if not self.is_delivering(connection):
                self.mark_idle(connection)
            elif answers.has_stalled(now):
                connection.transport.abort()
