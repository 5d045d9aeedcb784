"""Listeners of fronts: opened here, passed in by a service manager, or shared between workers.

systemd passes listeners as `sd_listen_fds(3)` says: descriptors from 3 on, with LISTEN_PID and LISTEN_FDS.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Mapping, MutableMapping
from typing import Protocol

from lynxreel.log import log
from lynxreel.protocol.address import Address
from lynxreel.transient import SHORT, while_short

BACKLOG = 1_024
FIRST_DESCRIPTOR = 3  # the first one that a service manager passes
SHORTAGE_PAUSE = 0.1  # seconds without accepting after a shortage of descriptors or memory
CLOSE_RETRY_PAUSE = 0.01  # the same while the listener is being closed
CLOSE_RETRY_TIME = 0.1  # seconds of such retries before the listener is closed over what waits
ACCEPTS_PER_TURN = 64  # connections accepted before other events have their turn
ProtocolFactory = Callable[[], asyncio.Protocol | asyncio.BufferedProtocol]


class Listener(Protocol):
    """One open listener."""

    @property
    def address(self) -> Address:
        """Its own address."""

    async def close(self) -> None:
        """Accept nothing new; connections that the system has accepted for this process alone are served."""

    def drop(self) -> None:
        """Close at once."""


class ListenerFactory(Protocol):
    """Opens listeners."""

    async def open(self, address: Address, factory: ProtocolFactory) -> Listener:
        """Accept connections at an address from now on; raises OSError if that is impossible."""


class AcceptLimit(Protocol):
    """Limits how many waiting connections of a shared listener this worker accepts."""

    def take(self) -> int:
        """Return how many to accept now; 0: accept none for `pause` seconds."""

    @property
    def pause(self) -> float:
        """Seconds."""


class NoAcceptLimit:
    """No limit."""

    pause = 0.0

    def take(self) -> int:
        """Return as many as are accepted in one turn of the loop."""
        return ACCEPTS_PER_TURN


class Acceptor:
    """Accepts connections from one listener while it is open.

    The event loop's own accept code closes waiting connections when descriptors are short (EMFILE, ENFILE),
    which loses requests that clients have written. Here connections stay in the listener's queue meanwhile.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        factory: ProtocolFactory,
        accept_limit: AcceptLimit,
    ) -> None:
        self._loop, self._socket, self._factory, self._accept_limit = loop, sock, factory, accept_limit
        self._timer: asyncio.TimerHandle | None = None
        self._connecting: set[asyncio.Task[object]] = set()
        self._open = True
        host, port = sock.getsockname()[:2]
        self.address: Address = (host, port)
        sock.setblocking(False)
        self._watch()

    def _watch(self) -> None:
        self._timer = None
        self._loop.add_reader(self._socket, self._ready)

    def _ready(self) -> None:
        """Connections are waiting, or other processes have just accepted them."""
        for _ in range(limit := self._accept_limit.take()):
            try:
                if not self._accept():
                    return
            except OSError as error:
                log(f"no connection can be taken for now: {error.strerror}")
                self._pause(SHORTAGE_PAUSE)
                return
        if not limit:
            self._pause(self._accept_limit.pause)

    def _accept(self) -> bool:
        """Accept the next connection; False if none waits. Raises OSError for a passing shortage (SHORT)."""
        try:
            client, _ = self._socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in SHORT:
                raise
            return True  # this connection has already failed, see accept(2); others may wait behind it
        client.setblocking(False)
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, client))
        self._connecting.add(task)
        task.add_done_callback(self._connected)
        return True

    def _pause(self, seconds: float) -> None:
        self._loop.remove_reader(self._socket)
        self._timer = self._loop.call_later(seconds, self._watch)

    def _connected(self, task: asyncio.Task[object]) -> None:
        self._connecting.discard(task)
        if not task.cancelled():
            task.exception()  # retrieved, so that asyncio logs nothing: the connection has ended

    def _stop(self) -> None:
        """Accept no more connections."""
        self._open = False
        if self._timer is not None:
            self._timer.cancel()
        else:
            self._loop.remove_reader(self._socket)

    async def _wait_until_connected(self) -> None:
        """Wait until all accepted connections have their protocol."""
        for task in list(self._connecting):
            await asyncio.wait([task])

    def drop(self) -> None:
        """Close at once."""
        if self._open:
            self._stop()
            self._socket.close()


class OwnListener(Acceptor):
    """A listener of this process, or one from a service manager that only this process accepts from."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        factory: ProtocolFactory,
        held_elsewhere: bool,
    ) -> None:
        """`held_elsewhere`: somebody else holds it, too; connections in its queue are left there."""
        super().__init__(loop, sock, factory, NoAcceptLimit())
        self._held_elsewhere = held_elsewhere

    async def close(self) -> None:
        """Accept what waits first: the system has accepted it for us, and clients may have written requests.

        A connect between the last accept and the close is reset; that is a few microseconds.
        """
        if not self._open:
            return
        self._stop()
        deadline = self._loop.time() + CLOSE_RETRY_TIME
        while not self._held_elsewhere:
            try:
                for _ in range(2 * BACKLOG):  # more than wait there, even if some have failed
                    if not self._accept():
                        break
                break
            except OSError as error:
                if self._loop.time() >= deadline:
                    log(f"connections that wait are closed with the listener: {error.strerror}")
                    break
                await asyncio.sleep(CLOSE_RETRY_PAUSE)
        self._socket.close()
        await self._wait_until_connected()


class OwnListenerFactory:
    """Opens listeners in this process, or uses those that a service manager has opened for it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, passed_in: Mapping[Address, socket.socket] | None = None
    ) -> None:
        self._loop, self._passed_in = loop, passed_in or {}

    async def open(self, address: Address, factory: ProtocolFactory) -> OwnListener:
        """Accept connections at an address from now on; raises OSError if that is impossible."""
        passed_in = self._passed_in.get(address)
        if passed_in is not None:
            sock = duplicate_listener(passed_in)
        else:
            sock = await while_short(lambda: socket.create_server(address, backlog=BACKLOG))
        return OwnListener(self._loop, sock, factory, held_elsewhere=passed_in is not None)


class SharedListener(Acceptor):
    """A listener that several workers accept from, each no more than its limit allows."""

    async def close(self) -> None:
        """Leave what waits in the queue to the other workers."""
        self.drop()
        await self._wait_until_connected()


def systemd_listeners(environment: MutableMapping[str, str] = os.environ) -> dict[Address, socket.socket]:
    """Return the listeners passed in by a service manager, by address, and remove its variables.

    Raises ValueError if a descriptor is no TCP listener.
    """
    for_pid, count = environment.pop("LISTEN_PID", ""), environment.pop("LISTEN_FDS", "")
    environment.pop("LISTEN_FDNAMES", None)
    if for_pid != str(os.getpid()) or not count.isdigit():
        return {}  # none, or meant for another process
    found = {}
    for descriptor in range(FIRST_DESCRIPTOR, FIRST_DESCRIPTOR + int(count)):
        sock = listener_from_descriptor(descriptor)
        os.set_inheritable(descriptor, False)
        found[sock.getsockname()[:2]] = sock
    return found


def inherited_listener(variable: str, environment: Mapping[str, str] = os.environ) -> socket.socket | None:
    """Return the listener whose descriptor this variable holds; the parent process keeps it open, too.

    None without such a variable; raises ValueError if the descriptor is no TCP listener.
    """
    value = environment.get(variable, "")
    if not value:
        return None
    if not value.isdigit():
        raise ValueError(f"{variable}: {value!r} is no descriptor")
    try:
        sock = listener_from_descriptor(int(value))
    except ValueError as error:
        raise ValueError(f"{variable}: {error}") from None
    sock.set_inheritable(False)
    return sock


def duplicate_listener(sock: socket.socket) -> socket.socket:
    """Return a second descriptor of a listener that other processes may be accepting from.

    `socket.dup` would set the blocking mode again, which all who share the listener have in common: another
    process that finds the queue empty at that moment would block in its accept.
    """
    return socket.socket(sock.family, sock.type, sock.proto, fileno=os.dup(sock.fileno()))


def listener_from_descriptor(descriptor: int) -> socket.socket:
    """Return the listener of a descriptor; raises ValueError if it is none that a front can use."""
    try:
        sock = socket.socket(fileno=descriptor)
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        raise ValueError(f"descriptor {descriptor} is no socket: {error.strerror}") from None
    if sock.family not in (socket.AF_INET, socket.AF_INET6) or sock.type != socket.SOCK_STREAM or not listens:
        raise ValueError(f"descriptor {descriptor} is no TCP listener")
    return sock
