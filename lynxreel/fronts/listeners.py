"""Where a front's listeners come from: opened here, handed in by a service manager, or shared by workers.

systemd hands listeners in as `sd_listen_fds(3)` says: descriptors from 3 on, with LISTEN_PID and LISTEN_FDS.
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
FIRST_DESCRIPTOR = 3  # where a service manager's begin
SHORT_PAUSE = 0.1  # seconds without accepting after a want of descriptors or memory
CLOSE_PAUSE = 0.01  # the same while the listener is being closed
LAST_ACCEPTS = 0.1  # seconds in which that is tried again before the listener is closed over what waits
TURN = 64  # connections that are taken before others have their turn
Factory = Callable[[], asyncio.Protocol]


class Door(Protocol):
    """One open listener."""

    @property
    def address(self) -> Address:
        """Where it listens."""

    async def close(self) -> None:
        """Take nothing new; what the system has accepted for this process alone is still served."""

    def drop(self) -> None:
        """Close at once."""


class Doors(Protocol):
    """How listeners are had."""

    async def open(self, address: Address, factory: Factory) -> Door:
        """Take connections there from now on; an OSError where that can't be had."""


class Gate(Protocol):
    """Says how many of the connections that wait at a shared listener this worker may take."""

    def take(self) -> int:
        """How many to take now; 0: leave them for `pause` seconds."""

    @property
    def pause(self) -> float:
        """Seconds."""


class Open:
    """A gate that is always open."""

    pause = 0.0

    def take(self) -> int:
        """As many as fit into one turn of the loop."""
        return TURN


class Accepting:
    """Accepts connections from one listener, while it is open.

    The event loop's own accepting closes what waits where descriptors are short (EMFILE, ENFILE), and with it
    requests that clients have written. Here that waits in the listener's queue until there is room again.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, own: socket.socket, factory: Factory, gate: Gate
    ) -> None:
        self._loop, self._own, self._factory, self._gate = loop, own, factory, gate
        self._timer: asyncio.TimerHandle | None = None
        self._coming: set[asyncio.Task[object]] = set()
        self._open = True
        host, port = own.getsockname()[:2]
        self.address: Address = (host, port)
        own.setblocking(False)
        self._look()

    def _look(self) -> None:
        self._timer = None
        self._loop.add_reader(self._own, self._ready)

    def _ready(self) -> None:
        """Connections wait, or others have just taken them."""
        for _ in range(most := self._gate.take()):
            try:
                if not self._accept():
                    return
            except OSError as wrong:
                log(f"no connection can be taken for now: {wrong.strerror}")
                self._rest(SHORT_PAUSE)
                return
        if not most:
            self._rest(self._gate.pause)

    def _accept(self) -> bool:
        """Take the next connection; False where none waits. Raises an OSError of SHORT, which passes."""
        try:
            client, _ = self._own.accept()
        except BlockingIOError:
            return False
        except OSError as wrong:
            if wrong.errno in SHORT:
                raise
            return True  # this connection has failed already, as accept(2) tells; others may wait behind it
        client.setblocking(False)
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, client))
        self._coming.add(task)
        task.add_done_callback(self._came)
        return True

    def _rest(self, seconds: float) -> None:
        self._loop.remove_reader(self._own)
        self._timer = self._loop.call_later(seconds, self._look)

    def _came(self, task: asyncio.Task[object]) -> None:
        self._coming.discard(task)
        if not task.cancelled():
            task.exception()  # it has gone already; that is no news

    def _stop(self) -> None:
        """Look for no more connections."""
        self._open = False
        if self._timer is not None:
            self._timer.cancel()
        else:
            self._loop.remove_reader(self._own)

    async def _settle(self) -> None:
        """Until all that has been taken is served."""
        for task in list(self._coming):
            await asyncio.wait([task])

    def drop(self) -> None:
        """Close at once."""
        if self._open:
            self._stop()
            self._own.close()


class OwnDoor(Accepting):
    """A listener of this process, or one of a service manager's that it alone accepts from."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, own: socket.socket, factory: Factory, kept: bool
    ) -> None:
        """`kept`: somebody else holds it, too, and what waits in its queue stays there."""
        super().__init__(loop, own, factory, Open())
        self._kept = kept

    async def close(self) -> None:
        """The system has accepted what waits for us, and its clients may have written a request.

        A connect that falls between the last look and the close is reset; that is a few microseconds.
        """
        if not self._open:
            return
        self._stop()
        last = self._loop.time() + LAST_ACCEPTS
        while not self._kept:
            try:
                for _ in range(2 * BACKLOG):  # more than wait there, if some of them have failed
                    if not self._accept():
                        break
                break
            except OSError as wrong:
                if self._loop.time() >= last:
                    log(f"connections that wait are closed with the listener: {wrong.strerror}")
                    break
                await asyncio.sleep(CLOSE_PAUSE)
        self._own.close()
        await self._settle()


class OwnDoors:
    """Listeners that this process opens, or that a service manager has opened for it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, given: Mapping[Address, socket.socket] | None = None
    ) -> None:
        self._loop, self._given = loop, given or {}

    async def open(self, address: Address, factory: Factory) -> OwnDoor:
        """Take connections there from now on; an OSError where that can't be had."""
        given = self._given.get(address)
        if given is not None:
            own = duplicate(given)
        else:
            own = await while_short(lambda: socket.create_server(address, backlog=BACKLOG))
        return OwnDoor(self._loop, own, factory, kept=given is not None)


class SharedDoor(Accepting):
    """A listener that several workers accept from: no more than its gate allows."""

    async def close(self) -> None:
        """What waits in the queue is for the others."""
        self.drop()
        await self._settle()


def activated(environment: MutableMapping[str, str] = os.environ) -> dict[Address, socket.socket]:
    """Listeners that a service manager has handed in, by address; its variables are taken away.

    Raises ValueError where what it handed in is no TCP listener.
    """
    meant, count = environment.pop("LISTEN_PID", ""), environment.pop("LISTEN_FDS", "")
    environment.pop("LISTEN_FDNAMES", None)
    if meant != str(os.getpid()) or not count.isdigit():
        return {}  # nothing, or meant for another process
    found = {}
    for descriptor in range(FIRST_DESCRIPTOR, FIRST_DESCRIPTOR + int(count)):
        own = listener(descriptor)
        os.set_inheritable(descriptor, False)
        found[own.getsockname()[:2]] = own
    return found


def inherited(variable: str, environment: Mapping[str, str] = os.environ) -> socket.socket | None:
    """The listener whose descriptor this variable tells, which whoever started this process goes on holding.

    None where there is no such variable; a ValueError where the descriptor is no TCP listener.
    """
    told = environment.get(variable, "")
    if not told:
        return None
    if not told.isdigit():
        raise ValueError(f"{variable}: {told!r} is no descriptor")
    try:
        own = listener(int(told))
    except ValueError as wrong:
        raise ValueError(f"{variable}: {wrong}") from None
    own.set_inheritable(False)
    return own


def duplicate(own: socket.socket) -> socket.socket:
    """A second descriptor of a listener that other processes may be accepting from.

    `socket.dup` sets the blocking mode anew, which all who share the listener have in common: another process
    that finds the queue empty at that moment would stand still in its accept.
    """
    return socket.socket(own.family, own.type, own.proto, fileno=os.dup(own.fileno()))


def listener(descriptor: int) -> socket.socket:
    """The listener of a descriptor; a ValueError where it is none that a front can use."""
    try:
        own = socket.socket(fileno=descriptor)
        listens = own.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as wrong:
        raise ValueError(f"descriptor {descriptor} is no socket: {wrong.strerror}") from None
    if own.family not in (socket.AF_INET, socket.AF_INET6) or own.type != socket.SOCK_STREAM or not listens:
        raise ValueError(f"descriptor {descriptor} is no TCP listener")
    return own
