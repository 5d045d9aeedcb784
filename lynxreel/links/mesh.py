"""Links between instances over TCP: one to each other instance, to send on, and one from each, to receive on.

A frame is four bytes of length and msgpack: the list of messages sent in one iteration of the event loop.
The first frame on a link, in either direction, is a Hello with the version and the sender. Messages to an
instance without a link are dropped: senders are notified when a link comes up, and send again what is needed.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Union, cast

import msgspec

from lynxreel.links.incarnation import next_incarnation
from lynxreel.links.peers import News, Peers, State
from lynxreel.log import log
from lynxreel.overlapping import first_result
from lynxreel.protocol.address import Address

VERSION = 1
HEAD = struct.Struct(">I")
MAX_FRAME = 8 << 20  # bytes; no instance sends more in a frame
MAX_QUEUED = 16 << 20  # unread bytes queued for an instance; with more, its link is closed
FIRST_PAUSE, MAX_PAUSE = 0.005, 0.25  # seconds between connects, doubled from the first to the second
START_TIMEOUT = 0.1  # seconds that a start waits until the state of each other instance is known
MAX_DEFER = 0.5  # seconds for which a deferred message waits for another one to share its frame
DEAD_PAUSE = 2.0  # longest pause after a refused connect: a starting instance connects to the others itself
CONNECT_INTERVAL = 1.0  # seconds after which a link, Hello included, is opened anew beside
CONNECT_ATTEMPTS = 4  # of them, before a pause


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first message on a link: the sender."""

    version: int
    name: str
    incarnation: int


@dataclass(frozen=True)
class Place:
    """An instance's name, zone, listening address, and its machine, if other instances share that."""

    name: str
    zone: str
    address: Address
    host: str = ""


MessageHandler = Callable[[str, int, Any], None]  # takes the sender's name and incarnation, and a message


@dataclass(frozen=True)
class Plan:
    """The instances of the fleet; `folder` is where this one keeps its incarnation number."""

    own: Place
    others: tuple[Place, ...]
    folder: str

    def mesh(self, loop: asyncio.AbstractEventLoop) -> Mesh:
        """Returns the links of a new incarnation. Raises OSError if its number can't be written."""
        return Mesh(self.own, next_incarnation(Path(self.folder)), self.others, loop)


class Mesh:
    """One instance's links, shared by all parts that exchange messages with other instances."""

    def __init__(
        self, own: Place, incarnation: int, others: Iterable[Place], loop: asyncio.AbstractEventLoop
    ) -> None:
        """Each part calls `register`, then `open` follows."""
        self.own, self.incarnation, self.loop = own, incarnation, loop
        self.places = {place.name: place for place in others if place.name != own.name}
        self.peers = Peers(self.places)
        self._handlers: dict[type, MessageHandler] = {}
        self._listeners: list[Callable[[list[News]], None]] = []
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: msgspec.msgpack.Decoder[list[Any]]
        self.counts = {"said": 0, "heard": 0, "bytes": 0, "dropped": 0}
        self._outgoing: dict[str, _OutgoingLink] = {}
        self._incoming: set[_IncomingLink] = set()
        self._waiting: dict[str, list[Any]] = {}
        self._deferred: dict[str, list[Any]] = {}  # messages that wait for others to share a frame
        self._deferred_timer: asyncio.TimerHandle | None = None
        self._retry_now = {name: asyncio.Event() for name in self.places}
        self._flush_scheduled = False
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def register(
        self, kinds: Iterable[type], handler: MessageHandler, listener: Callable[[list[News]], None]
    ) -> None:
        """Registers `handler` for messages of these types, and `listener` for changes of the states of peers.

        The types are msgspec structs with tags; all of them are to be registered before `open`.
        """
        self._handlers |= dict.fromkeys(kinds, handler)
        self._listeners.append(listener)

    def deliver(self, name: str, incarnation: int, message: Any) -> None:
        """Passes on a message from another instance."""
        if (handler := self._handlers.get(type(message))) is not None:
            handler(name, incarnation, message)

    def report_changes(self, news: list[News]) -> None:
        """Passes on changes of the states of other instances."""
        for listener in self._listeners:
            listener(news)

    async def open(self) -> None:
        """Listens, connects to all, and waits for them up to START_TIMEOUT.

        Raises OSError if the address is in use.
        """
        self.decoder = msgspec.msgpack.Decoder(
            list[Union.__getitem__((Hello, *self._handlers))]  # type: ignore[misc]
        )
        host, port = self.own.address
        self._server = await self.loop.create_server(lambda: _IncomingLink(self), host, port)
        self._tasks = [self.loop.create_task(self._keep_link(place)) for place in self.places.values()]
        deadline, others = self.loop.time() + START_TIMEOUT, self.peers.peers.values()
        while any(peer.state is State.UNMET for peer in others) and self.loop.time() < deadline:
            await asyncio.sleep(START_TIMEOUT / 20)

    def hello(self) -> bytes:
        """Returns the first frame on a link."""
        return self.frame([Hello(VERSION, self.own.name, self.incarnation)])

    def frame(self, messages: list[Any]) -> bytes:
        """Encodes messages as one frame."""
        body = self.encoder.encode(messages)
        return HEAD.pack(len(body)) + body

    def send(self, name: str, message: Any) -> None:
        """Sends a message at the end of this event loop iteration; drops it if there is no link."""
        if name not in self._outgoing:
            self.counts["dropped"] += 1
            return
        self._waiting.setdefault(name, []).append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.loop.call_soon(self.flush)

    def send_deferred(self, name: str, message: Any) -> None:
        """Sends a message with the next one to the same instance, after at most MAX_DEFER seconds."""
        self._deferred.setdefault(name, []).append(message)
        if self._deferred_timer is None:
            self._deferred_timer = self.loop.call_later(MAX_DEFER, self._flush_deferred)

    def _flush_deferred(self) -> None:
        self._deferred_timer = None
        for name in self._deferred:
            self._waiting.setdefault(name, [])
        self.flush()

    def flush(self) -> None:
        """Writes all waiting messages now."""
        self._flush_scheduled = False
        if not self._waiting:
            return
        waiting, self._waiting = self._waiting, {}
        for name, immediate in waiting.items():
            link, messages = self._outgoing.get(name), self._deferred.pop(name, []) + immediate
            if link is None:
                self.counts["dropped"] += len(messages)
                continue
            data = self.frame(messages)
            self.counts["said"] += len(messages)
            self.counts["bytes"] += len(data)
            link.transport.write(data)
            if link.transport.get_write_buffer_size() > MAX_QUEUED:
                log(f"{name} does not read its messages: its link is closed")
                link.transport.abort()

    async def written(self, timeout: float) -> None:
        """Waits until all sent messages have left this process, for at most `timeout` seconds."""
        self._flush_deferred()
        deadline = self.loop.time() + timeout
        while any(link.transport.get_write_buffer_size() for link in self._outgoing.values()):
            if self.loop.time() > deadline:
                return
            await asyncio.sleep(FIRST_PAUSE)

    async def _keep_link(self, place: Place) -> None:
        """Connects to one instance, and again whenever the link ends."""
        pause, max_pause = FIRST_PAUSE, MAX_PAUSE
        while True:
            known_incarnation = self.peers.peers[place.name].incarnation
            max_pause = MAX_PAUSE
            try:
                link = await first_result(
                    partial(self._open_link, place), CONNECT_INTERVAL, CONNECT_ATTEMPTS, _OutgoingLink.abort
                )
                if link.up:
                    pause = FIRST_PAUSE
                await link.closed.wait()
            except ConnectionRefusedError:
                self.report_changes(self.peers.refused(place.name, known_incarnation))
                max_pause = DEAD_PAUSE
            except OSError:  # or a timeout, which does not tell whether the instance is dead
                pass
            with suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._retry_now[place.name].wait()
            self._retry_now[place.name].clear()
            pause = min(max_pause, 2 * pause)

    async def _open_link(self, place: Place) -> _OutgoingLink:
        """Returns a link once its Hello is answered or it has ended. Raises OSError if it can't be opened."""
        link = _OutgoingLink(self, place.name)
        try:
            await self.loop.create_connection(lambda: link, *place.address)
            await link.answered.wait()
        except BaseException:
            link.abort()
            raise
        return link

    def linked(self, link: _OutgoingLink, hello: Hello) -> bool:
        """Handles the Hello on a link that this instance opened; False if it is to be closed."""
        if not self._same_version(hello) or hello.name != link.name:
            return False
        if link.name in self._outgoing:
            return False  # an earlier attempt has been answered meanwhile
        known, news = self.peers.linked(hello.name, hello.incarnation)
        if self.peers.is_dead(hello.name, hello.incarnation):
            why = "does something refuse connects at its address? It counts again once it is restarted"
            log(f"{hello.name} is alive, but its incarnation counts as dead: {why}")
        if known:
            self._outgoing[link.name] = link
        self.report_changes(news)
        return known

    def unlinked(self, link: _OutgoingLink) -> None:
        """Handles the end of a link that this instance opened."""
        if self._outgoing.get(link.name) is link:
            del self._outgoing[link.name]
            self.report_changes(self.peers.ended(link.name))

    def met(self, hello: Hello) -> bool:
        """Handles the Hello on a link that another instance opened; False if it is to be closed."""
        if not self._same_version(hello):
            return False
        known, news = self.peers.met(hello.name, hello.incarnation)
        if known:
            self._retry_now[hello.name].set()  # it is up: connect in the other direction at once
        self.report_changes(news)
        return known

    def _same_version(self, hello: Hello) -> bool:
        if hello.version != VERSION:
            log(f"{hello.name} uses version {hello.version} between instances, and this one {VERSION}")
        return hello.version == VERSION

    def close(self) -> None:
        """Closes all links, at the end of the process.

        Until then connects must be accepted: peers take a refused one as proof that this process has ended.
        """
        for task in self._tasks:
            task.cancel()
        if self._deferred_timer is not None:
            self._deferred_timer.cancel()
        for link in [*self._outgoing.values(), *self._incoming]:
            link.transport.abort()
        if self._server is not None:
            self._server.close()


class _Link(asyncio.Protocol):
    """A link from which frames are read."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.transport: asyncio.Transport
        self._data = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the Hello."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.mesh.hello())

    def data_received(self, data: bytes) -> None:
        """Handles all complete frames; one that can't be decoded closes the link."""
        self._data += data
        offset = 0
        while len(self._data) - offset >= HEAD.size:
            (size,) = HEAD.unpack_from(self._data, offset)
            if size > MAX_FRAME:
                log("a frame from another instance is too long")
                self.transport.abort()
                return
            if len(self._data) - offset < HEAD.size + size:
                break
            body = bytes(self._data[offset + HEAD.size : offset + HEAD.size + size])
            offset += HEAD.size + size
            try:
                messages = self.mesh.decoder.decode(body)
            except (msgspec.MsgspecError, ValueError) as error:
                log(f"a frame from another instance can't be decoded: {error}")
                self.transport.abort()
                return
            for message in messages:
                if not self.take(message):
                    self.transport.abort()
                    return
        del self._data[:offset]

    def take(self, message: Any) -> bool:
        """Handles one message; False closes the link."""
        raise NotImplementedError


class _IncomingLink(_Link):
    """A link that another instance opened, to receive its messages."""

    def __init__(self, mesh: Mesh) -> None:
        super().__init__(mesh)
        self._sender: Hello | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the Hello, and registers the link."""
        super().connection_made(transport)
        self.mesh._incoming.add(self)

    def take(self, message: Any) -> bool:
        """Handles the Hello, then passes on the messages."""
        if self._sender is None:
            if not isinstance(message, Hello) or not self.mesh.met(message):
                return False
            self._sender = message
            return True
        self.mesh.counts["heard"] += 1
        self.mesh.deliver(self._sender.name, self._sender.incarnation, message)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Removes the link; the state of the peer depends only on the link in the other direction."""
        self.mesh._incoming.discard(self)


class _OutgoingLink(_Link):
    """The link that this instance opened to another one, to send on."""

    def __init__(self, mesh: Mesh, name: str) -> None:
        super().__init__(mesh)
        self.name = name
        self.answered, self.closed = asyncio.Event(), asyncio.Event()
        self.up = False

    def take(self, message: Any) -> bool:
        """Accepts a single Hello; any other message closes the link."""
        if self.answered.is_set() or not isinstance(message, Hello) or not self.mesh.linked(self, message):
            return False
        self.up = True
        self.answered.set()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Wakes whoever waits for the link, and reports its end."""
        self.answered.set()
        self.closed.set()
        self.mesh.unlinked(self)

    def abort(self) -> None:
        """Closes the link, if it was opened at all."""
        if hasattr(self, "transport"):
            self.transport.abort()
