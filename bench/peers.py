"""The cheapest peers there can be, as one process: boxes that answer at once, a counter, a list of boxes.

`python -m bench.peers BOXES [value=BYTES[,RATE]] [BOX ...]` prints one line of JSON with their addresses. Its
list has those other boxes, too. Values have so many bytes, or are the request's id. With a rate, only
requests whose id begins with "large" have such values, and these are written at so many bytes a second.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import defaultdict
from typing import cast

import uvloop

from lynxreel.protocol.address import read_address
from lynxreel.standins.base import Clock
from lynxreel.standins.faults import Faults
from lynxreel.standins.registry import Registry, entry

HOST = "127.0.0.1"
PIECE_INTERVAL = 0.02  # seconds between the pieces of an answer that is written at a rate
BY_HTTP = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"


class Box(asyncio.Protocol):
    """Answers each command with its id, and HTTP with a word. A request comes in one piece."""

    value = b""  # in the id's place
    rate = 0  # bytes a second at which it is written; 0: at once

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """The third string of the command is the id."""
        if not data.startswith(b"*"):
            self._transport.write(BY_HTTP)
            return
        number = data.split(b"\r\n", 7)[6]
        is_large = self.value and (not self.rate or number.startswith(b"large"))
        value = self.value if is_large else number
        answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        self._write(answer, int(self.rate * PIECE_INTERVAL) if is_large and self.rate else len(answer))

    def _write(self, answer: bytes, piece: int) -> None:
        """Write an answer in pieces of this many bytes."""
        self._transport.write(answer[:piece])
        if rest := answer[piece:]:
            asyncio.get_running_loop().call_later(PIECE_INTERVAL, self._write, rest, piece)


class Counter(asyncio.Protocol):
    """Answers each call with its name's total; plans of these measurements leave room for any."""

    totals: defaultdict[bytes, float] = defaultdict(float)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self._transport = cast(asyncio.Transport, transport)
        self._rest = b""

    def data_received(self, data: bytes) -> None:
        """As many answers as calls."""
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        self._transport.write(b"".join(map(self._answer, lines)))

    def _answer(self, line: bytes) -> bytes:
        if line == b"ping":
            return b"pong\r\n"
        _, name, amount, _ = line.split(b" ")
        self.totals[name] += float(amount)
        return b"ok %.7g\r\n" % self.totals[name]


async def main(count: int, others: list[str]) -> None:
    """Until the process is ended."""
    loop = asyncio.get_running_loop()
    if others and others[0].startswith("value="):
        size, _, rate = others.pop(0)[6:].partition(",")
        Box.value, Box.rate = bytes(int(size)), int(rate or 0)
    servers = [await loop.create_server(Box, HOST, 0, backlog=1024) for _ in range(count)]
    counter = await loop.create_server(Counter, HOST, 0)
    registry = Registry(Faults(1), Clock(loop))
    places = [server.sockets[0].getsockname()[:2] for server in servers]
    listed = places + [read_address(text) for text in others]
    registry.put(*[entry(f"box-{n}", place) for n, place in enumerate(listed)])
    await registry.listener.open()
    told = {
        "boxes": [f"{host}:{port}" for host, port in places],
        "counter": "{}:{}".format(*counter.sockets[0].getsockname()[:2]),
        "discovery": "{}:{}".format(*registry.listener.address),
    }
    print(json.dumps(told), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), sys.argv[2:]))
