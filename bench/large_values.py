"""Large values: what a gateway passes on in a second, what that costs, and its memory beside slow readers."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass
from statistics import median

import uvloop

from bench.rig import Rig, cpu, memory
from lynxreel.protocol.address import read_address
from lynxreel.protocol.resp import MAX_STREAM, pack

FAST, SECONDS = 8, 4.0
SLOW, SLOW_READ, SLOW_PAUSE = 300, 64 * 1024, 0.25  # clients, and what each reads how often: 256 KiB a second
AGAIN = 0.01  # seconds after which one that was refused asks again
TERMS = b"c=lookup,t=free,d=2000"


@dataclass
class Reader:
    """A client that asks for one value after another; with a pause it reads slowly."""

    address: str
    number: int
    pause: float = 0.0
    beside: int = 0  # bytes that come with a value: a box's answer has more than a gateway's
    read: int = 0
    values: int = 0

    def __post_init__(self) -> None:
        self.first: list[float] = []  # seconds from a call to the first bytes of its answer

    def _call(self) -> bytes:
        # A box sees the address it answers, and the id; both are new with each call.
        number = b"%08x%08x" % (self.number, self.values)
        return pack([b"CALL.GET", b"%016x" % self.number, number, TERMS])

    async def play(self, until: float) -> None:
        """Until then; what is under way is left."""
        loop = asyncio.get_running_loop()
        buffer = bytearray(SLOW_READ if self.pause else 1 << 20)
        with socket.socket() as own:
            own.setblocking(False)
            if self.pause:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ)
            await loop.sock_connect(own, read_address(self.address))
            while loop.time() < until:
                asked = loop.time()
                missing = whole = len(b"$%d\r\n" % MAX_STREAM) + MAX_STREAM + 2 + self.beside
                await loop.sock_sendall(own, self._call())
                while missing and loop.time() < until:
                    got = await loop.sock_recv_into(own, buffer)
                    if not got:
                        raise ConnectionError("a value was cut off")
                    if missing == whole and buffer.startswith(b"-"):  # a box has room for a few
                        await asyncio.sleep(max(AGAIN, self.pause))
                        break
                    if missing == whole:
                        self.first.append(loop.time() - asked)
                    missing -= got
                    self.read += got
                    await asyncio.sleep(self.pause)
                self.values += not missing


async def _play(readers: list[Reader], seconds: float) -> None:
    until = asyncio.get_running_loop().time() + seconds
    await asyncio.gather(*(reader.play(until) for reader in readers))


def _table(name: str, readers: list[Reader], spent: float, seconds: float, most: float) -> None:
    megabytes = sum(reader.read for reader in readers) / 1e6
    first = median(span for reader in readers for span in reader.first) * 1e3
    cost = f"{spent / (megabytes / 1e3):.2f}" if spent else "-"
    rate = f"{megabytes / seconds:.0f}"
    print(f"{name:<34}{rate:>8}{cost:>12}{first:>12.1f}{most:>10.1f}")


def measure(rounds: int) -> None:
    """One box, one gateway of 16 MB for what is passed on; values of 4 MiB."""
    print(f"large values: {'':<19}{'MB/s':>8}{'CPU s/GB':>12}{'first, ms':>12}{'RSS, MB':>10}")
    for _ in range(min(rounds, 3)):
        with Rig() as rig:
            _, peers = rig.told("bench.peers", "1", f"value={MAX_STREAM}")
            process, address, _ = rig.gateway(peers)
            beside = len(b"*3\r\n$-1\r\n$-1\r\n")
            direct = [Reader(peers["boxes"][0], number, beside=beside) for number in range(FAST)]
            uvloop.run(_play(direct, SECONDS))
            _table(f"{FAST} clients, the box itself", direct, 0.0, SECONDS, 0.0)
            before = cpu(process.pid)
            through = [Reader(address, number) for number in range(FAST)]
            uvloop.run(_play(through, SECONDS))
            _table(f"{FAST} clients", through, cpu(process.pid) - before, SECONDS, memory(process.pid))
            before, began = cpu(process.pid), time.monotonic()
            slow = [Reader(address, 1_000 + number, SLOW_PAUSE) for number in range(SLOW)]
            uvloop.run(_play(slow, SECONDS))
            spent = time.monotonic() - began
            _table(f"{SLOW} slow clients", slow, cpu(process.pid) - before, spent, memory(process.pid))
