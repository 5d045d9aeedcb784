"""Gateways as real processes among stand-ins, and a client by hand, for the tests of the daemon."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import uvloop

from lynxreel.local.deployment import Deployment, Gateway
from lynxreel.protocol.resp import pack
from tests.stand_still import watched

BROKEN = ("lost", "duplicated", "late", "ran_twice")


def run(scenario: Callable[[], Coroutine[Any, Any, None]], seconds: float = 60.0) -> None:
    """Play a scenario; a hang fails it."""

    async def play() -> None:
        with watched():
            await asyncio.wait_for(scenario(), seconds)

    uvloop.run(play())


@asynccontextmanager
async def fleet(
    folder: Path,
    gateways: int = 1,
    rate: float = 50.0,
    seed: int = 1,
    boxes: int = 0,
    edit: Callable[[str], str] = str,
    env: Mapping[str, str] | None = None,
    takeover: bool = False,
    zones: int = 1,
    wires: bool = False,
    keyed: bool = False,
    workers: int = 0,
) -> AsyncIterator[Deployment]:
    """A running deployment; at the end nothing of it is left."""
    deployment = Deployment(
        folder,
        gateways,
        rate,
        seed,
        boxes,
        edit,
        env,
        takeover=takeover,
        zones=zones,
        wires=wires,
        keyed=keyed,
        workers=workers,
    )
    try:
        await deployment.start()
        yield deployment
    finally:
        deployment.close()
        for gateway in deployment.gateways:
            await gateway.process.wait()


async def told(gateway: Gateway, **wanted: object) -> dict[str, Any]:
    """Wait until an instance's state file says this; the whole of it."""
    while True:
        state = gateway.place.read()
        if all(state.get(key) == value for key, value in wanted.items()):
            return state
        assert gateway.code is None or state.get("state") == "stopped", f"it has ended: {gateway.code}"
        await asyncio.sleep(0.01)


def log_of(deployment: Deployment, number: int = 0) -> str:
    """What an instance has said so far."""
    return (deployment.folder / f"g{number}.log").read_text()


class WholeReader(asyncio.StreamReader):
    """Reads what came before its connection broke, as a client has that; asyncio's own throws it away."""

    def set_exception(self, exc: BaseException) -> None:
        self.feed_eof()


class Caller:
    """One connection of a client, by hand."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self.writer = reader, writer

    @classmethod
    async def to(cls, gateway: Gateway) -> "Caller":
        loop = asyncio.get_running_loop()
        reader = WholeReader(loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport, _ = await loop.create_connection(lambda: protocol, *gateway.gate.address)
        return cls(reader, asyncio.StreamWriter(transport, protocol, reader, loop))

    def send(self, number: str, name: str = "lookup", patience: int = 1_500, customer: int = 77) -> None:
        """Write a request of a customer that one gateway serves."""
        words = ["CALL.POST" if name == "port-commit" else "CALL.GET", f"{customer:016x}", number]
        words.append(f"c={name},t=standard,d={patience},units=1")
        self.command(*words, *(["body"] if name == "port-commit" else []))

    def command(self, *words: str) -> None:
        self.writer.write(pack([word.encode() for word in words]))

    async def answer(self) -> bytes:
        """The next answer's line, or a string's bytes; nothing at the end of the connection."""
        try:
            line = await self._reader.readline()
            if line[:1] == b"$":
                return (await self._reader.readexactly(int(line[1:]) + 2))[:-2]
        except ConnectionError:
            return b""
        return line.strip()

    async def ping(self) -> bytes:
        self.command("PING")
        return await self.answer()
