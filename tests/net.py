"""Peers on loopback sockets for the tests of the gateway: each says what the test tells it to."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from lynxreel.fronts.draining import DrainTimes
from lynxreel.fronts.resp2 import Terms
from lynxreel.engine.engine import Attempt, Clock
from lynxreel.protocol.resp import pack
from mothgap.interface import Result
from mothgap.settings import Names

LOCAL = "127.0.0.1"
NAMES = Names({"lookup": 0, "order": 1}, {"basic": 0}, {"box": 1}, {"room": 0}, idle_timeout=15_000_000)
TERMS = Terms({b"lookup": 0, b"order": 1}, (False, True), {b"basic": 0}, most_units=4.0, gateways=3)
CUSTOMER = b"00000000000000ab"


def run(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Play a scenario on the loop that the program uses; a hang fails it."""
    uvloop.run(asyncio.wait_for(scenario(), 10))


async def until(true: Callable[[], bool]) -> None:
    """Give the loop turns until something holds; `run` bounds the time for that."""
    while not true():
        await asyncio.sleep(0)


def drain_times(most: float) -> DrainTimes:
    """A drain that is not announced, for so many seconds."""
    return DrainTimes(announce=0.0, patience=most, cut_off=most)


def resp(*words: bytes) -> bytes:
    return pack(list(words))


def call(number: int, terms: bytes = b"c=lookup,t=basic,d=900,units=2,spread=2,first=1") -> bytes:
    return resp(b"CALL.GET", CUSTOMER, b"%016x" % number, terms)


class Peer:
    """A listener; `came` holds what was heard, in order, with b"" where a connection ended."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[tuple[asyncio.StreamWriter, bytes]] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def __aenter__(self) -> "Peer":
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        data = b"?"
        while data:
            try:
                data = await reader.read(1 << 20)
            except ConnectionError:
                data = b""
            self.came.put_nowait((writer, data))

    async def hear(self, end: bytes = b"\r\n") -> tuple[asyncio.StreamWriter, bytes]:
        """What comes next, until it ends like this; or the end of a connection."""
        writer, data = await self.came.get()
        while data and not data.endswith(end):
            data += (await self.came.get())[1]
        return writer, data

    async def answer(self, reply: bytes) -> bytes:
        """Hear a command and answer it."""
        writer, data = await self.hear()
        writer.write(reply)
        return data

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


class Heard:
    """Stands in for the engine: keeps what the sockets tell it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.ended: asyncio.Queue[tuple[int, Result, bytes, tuple[float, ...]]] = asyncio.Queue()
        self.calls: asyncio.Queue[Any] = asyncio.Queue()
        self.left: asyncio.Queue[int] = asyncio.Queue()
        self.taken: set[bytes] = set()
        self._count = 0

    def finished(
        self, attempt: Attempt, result: Result, value: bytes = b"", load: tuple[float, ...] = ()
    ) -> None:
        self.ended.put_nowait((attempt.request, result, value, load))

    def submit(self, call: Any) -> int:
        if call.id in self.taken:
            return 0
        self.calls.put_nowait(call)
        self._count += 1
        return self._count

    def client_disconnected(self, request: int) -> None:
        self.left.put_nowait(request)
