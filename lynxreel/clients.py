"""The clients' side: the listener, their calls, and the answers in each connection's order."""

from __future__ import annotations

import asyncio
import math
import re
from collections import deque
from typing import cast

import hiredis

from lynxreel.gateway import Engine
from mothgap.settings import Names

MOST_VALUE = 64 * 1024  # bytes in a value
MOST_COMMAND = 2 * MOST_VALUE  # bytes in a command: one whole value and its envelope
MOST_UNITS = 1e6
ARITY = {b"CALL.GET": 4, b"CALL.POST": 5}
CUSTOMERS = 1 << 33
BACKLOG = 1_024
HALF_READ = 1.0  # seconds that a stop waits for the rest of a command: longer than one is under way
HEAD = re.compile(rb"\*\d{1,3}\r|\*\d{0,3}$")  # how a command begins


class BadCall(ValueError):
    """What a client sent is no call; the text is its answer."""


class Call:
    """One command of a client, from its reading to its answer."""

    __slots__ = ("cls", "connection", "customer", "first", "patience", "plan", "reply", "request", "retry",
                 "spread", "units", "words")  # fmt: skip

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.reply: bytes | None = None
        self.request = 0  # the engine's number for it; 0 where the engine never saw it
        self.words: list[bytes] = []

    def read(self, words: list[bytes], names: Names) -> None:
        """Take a command's words, or raise BadCall."""
        if len(words) != ARITY[words[0].upper()]:
            raise BadCall("wrong number of arguments")
        self.words = words
        try:
            given = dict(item.split(b"=", 1) for item in words[3].split(b","))
            self.customer = int(words[1], 16)
            self.patience = int(given[b"d"])
            self.units = float(given.get(b"units", 1))
            self.spread, self.first = int(given.get(b"spread", 1)), int(given.get(b"first", 0))
            self.retry = given.get(b"r") == b"1"
            name, plan = given[b"c"].decode(), given[b"t"].decode()
        except KeyError as missing:
            raise BadCall(f"missing {missing.args[0].decode()}") from None
        except (ValueError, OverflowError):
            raise BadCall("bad number or list") from None
        if name not in names.classes or plan not in names.plans:
            raise BadCall("unknown class or plan")
        if len(words[1]) != 16 or not 0 <= self.customer < CUSTOMERS:
            raise BadCall("bad customer")
        # `not`, so that NaN is turned away too.
        if not (0 < self.units <= MOST_UNITS and self.patience > 0 and self.spread >= 1 and self.first >= 0):
            raise BadCall("number out of range")
        self.cls, self.plan = names.classes[name], names.plans[plan]

    def command(self, wait: int) -> bytes:
        """The command for a server, which is told how long the gateway waits."""
        patience = b"d=%d" % max(1, wait // 1_000)
        terms = b",".join(patience if item.startswith(b"d=") else item for item in self.words[3].split(b","))
        packed: bytes = hiredis.pack_command((*self.words[:3], terms, *self.words[4:]))  # type: ignore[arg-type]
        return packed

    def served(self, value: bytes) -> None:
        """Answer with a server's value."""
        self._answer(b"$%d\r\n%b\r\n" % (len(value), value))

    def refused(self, wait: int) -> None:
        """Answer that it may come again, after so many microseconds if not 0."""
        self._answer(b"-BUSY %d\r\n" % math.ceil(wait / 1_000) if wait > 0 else b"-BUSY\r\n")

    def failed(self) -> None:
        """Answer that it failed."""
        self._answer(b"-ERR failed\r\n")

    def _answer(self, reply: bytes) -> None:
        self.reply, self.request = reply, 0
        self.connection.flush()


class Connection(asyncio.Protocol):
    """One client connection."""

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._reader = hiredis.Reader(notEnoughData=NotImplemented)
        self._pending = 0  # bytes of a command that has not come whole
        self._ending = False  # nothing more is read; closed once all is answered
        self.queue: deque[Call] = deque()
        self.transport: asyncio.Transport
        self.used = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has come."""
        transport = cast(asyncio.Transport, transport)
        self.transport = transport
        self._clients.add(self)

    def data_received(self, data: bytes) -> None:
        """Read what is whole; keep the rest, within bounds."""
        if self._ending:
            return
        if not self._pending and not HEAD.match(data):
            # Also guards the loop: hiredis makes room for an array of any announced length, and clears it.
            self._malformed()
            return
        self._pending += len(data)
        self.used = self._clients.loop.time()
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not NotImplemented:
                self._pending = 0
                self._take(words)
        except (hiredis.ProtocolError, MemoryError):
            self._malformed()
            return
        if self._pending > MOST_COMMAND:
            self._malformed()

    def _take(self, words: object) -> None:
        if not isinstance(words, list) or not words or not all(
            isinstance(word, bytes) and len(word) <= MOST_VALUE for word in words
        ):
            raise hiredis.ProtocolError
        call = Call(self)
        self.queue.append(call)
        verb = words[0].upper()
        try:
            if verb in ARITY:
                call.read(words, self._clients.names)
                call.request = self._clients.engine.submit(call)
                return
            if verb != b"PING":
                raise BadCall("unknown command")
            call.reply = b"+PONG\r\n"
        except BadCall as bad:
            call.reply = b"-ERR %b\r\n" % str(bad).encode()
        self.flush()

    def _malformed(self) -> None:
        """Guards memory and order: what follows can't be told apart, so it ends, after what is owed."""
        self._ending = True
        call = Call(self)
        call.reply = b"-ERR Protocol error\r\n"
        self.queue.append(call)
        self.flush()

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        ready = []
        while self.queue and (reply := self.queue[0].reply) is not None:
            self.queue.popleft()
            ready.append(reply)
        if ready:
            self.transport.write(b"".join(ready))
        if not self.queue and (self._ending or self._clients.closing):
            self.end()

    def end(self, patient: bool = True) -> None:
        """Close once nothing is owed and, for the patient, nothing is half read."""
        if not self.queue and (self._ending or not (patient and self._pending)):
            self._ending = True
            self.transport.close()

    def pause_writing(self) -> None:
        """Guards memory: a client that does not read its answers is not read either."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """It reads again."""
        self.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """The client has gone; nothing is owed to it any more."""
        self._ending = True
        self._clients.connections.discard(self)
        for call in self.queue:
            if call.request:
                self._clients.engine.gone(call.request)
        self.queue.clear()


class Clients:
    """The listener and all its connections."""

    def __init__(self, engine: Engine, names: Names, most: int, loop: asyncio.AbstractEventLoop) -> None:
        self.engine, self.names, self.loop = engine, names, loop
        self.connections: set[Connection] = set()
        self._most = most
        self._server: asyncio.Server
        self.port = 0
        self.closing = False  # each connection ends as soon as nothing is owed on it

    async def listen(self, host: str, port: int) -> None:
        """Take connections from now on."""
        self._server = await self.loop.create_server(lambda: Connection(self), host, port, backlog=BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def add(self, connection: Connection) -> None:
        """Take a new connection in. Guards the limit on descriptors: the longest idle one makes room."""
        self.connections.add(connection)
        if len(self.connections) > self._most:
            idle = [c for c in self.connections if c is not connection and not c.queue]
            if idle:
                min(idle, key=lambda c: c.used).end()

    async def stop(self, accept: float) -> None:
        """Go on for a while, then close the listener and each connection as soon as nothing is owed on it."""
        await asyncio.sleep(accept)
        self._server.close()
        self.closing = True
        patience = self.loop.time() + HALF_READ
        while self.connections:
            for connection in list(self.connections):
                connection.end(self.loop.time() < patience)
            await asyncio.sleep(0.01)
