"""Case 1: slow readers of large values, with answers waiting behind these, take a gateway over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import socket
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import Box, Gateway, Rig, pack, play  # noqa: E402

LARGE, LONG = 4 << 20, 65_000  # bytes of the values of a connection's first request, and of the others
LARGES = 3  # large values that each client asks for, before the others
SLOW = 250_000  # bytes a second that a client's line carries, all the time
LINE = 65_536  # bytes that wait on the client's side at most
CONNECTIONS = 26  # to each of the two gateways
BATCHES, BATCH, EVERY = 10, 6, 3.5  # commands that are sent at once, and seconds between
CUSTOMERS = 400
LIMIT = 96  # MB for a gateway: half of 192


async def behave(box: Box, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """A sound box."""
    await asyncio.sleep(box.work)
    size = LARGE if words[2].endswith(b"large") else LONG
    box.answer(words, writer, (words[2] + b"/" * size)[:size])
    await writer.drain()


async def read_at(reader: asyncio.StreamReader, size: int, pace: list[float], rate: float | None) -> bytes:
    """So many bytes, no faster than the line carries them. `pace`: when the line is free again."""
    parts = []
    while size:
        part = await reader.read(min(size, 8192))
        if not part:
            raise EOFError
        parts.append(part)
        size -= len(part)
        if rate is not None:
            pace[0] = max(pace[0], time.monotonic() - 0.1) + len(part) / rate
            await asyncio.sleep(max(0.0, pace[0] - time.monotonic()))
    return b"".join(parts)


async def client(rig: Rig, gateway: Gateway, place: int, told: Counter[str]) -> None:
    """A client with one connection, which carries requests of many customers."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINE)
    sock.setblocking(False)
    await asyncio.sleep(place * EVERY / CONNECTIONS)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", gateway.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=16_384)
    name = f"{gateway.index}.{place}"
    rate = SLOW if rig.trouble else None
    sent = 0

    def send(number: str) -> None:
        nonlocal sent
        if writer.is_closing():
            return
        sent += 1
        customer = (gateway.index * 7919 + place * 64 + sent) % CUSTOMERS
        terms = b"c=lookup,t=standard,d=2000,units=1,spread=2,first=0"
        writer.write(pack(b"CALL.GET", b"%016x" % customer, number.encode(), terms))
        told["sent"] += 1

    async def ask() -> None:
        for number in range(LARGES):
            send(f"r{name}.{number}.large")
        for batch in range(BATCHES):
            await asyncio.sleep(EVERY)
            rig.record(f"client {name}: sends {BATCH} commands at once")
            for number in range(BATCH):
                send(f"r{name}.{batch}.{number}")

    asking = asyncio.create_task(ask())
    pace = [time.monotonic()]
    try:
        for _ in range(LARGES + BATCHES * BATCH):
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                raise EOFError
            kind = line[:1].decode()
            if kind == "$":
                size = int(line[1:])
                await read_at(reader, size + 2, pace, rate)
                if size == LARGE:
                    rig.record(f"client {name}: has a large value")
            told["served" if kind == "$" else line[:5].decode().strip()] += 1
    except (EOFError, ConnectionError) as wrong:
        told["connections that ended"] += 1
        rig.record(f"client {name}: its connection has ended: {wrong!r}")
    asking.cancel()
    writer.close()


async def platform(rig: Rig, gateway: Gateway, broken: list[str]) -> None:
    """Kills a gateway that goes over its limit, as the deployment page says."""
    most, next_line = 0.0, 0.0
    while True:
        now = gateway.memory_mb()
        most = max(most, now)
        if time.monotonic() >= next_line:
            rig.record(f"platform: n{gateway.index} has {now:.1f} MB, {most:.1f} at most")
            next_line = time.monotonic() + 2.0
        if now > LIMIT:
            rig.record(f"platform: n{gateway.index} is killed at {now:.1f} MB")
            gateway.process.send_signal(signal.SIGKILL)
            broken.append(f"gateway n{gateway.index} had {now:.1f} MB of {LIMIT} and was killed: a crash")
            return
        await asyncio.sleep(0.05)


async def case(rig: Rig) -> list[str]:
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    rig.memory_mb, rig.sockets = LIMIT, 512
    rig.add_boxes(10, behave, work=0.07)
    await rig.start(2)
    broken, told = list[str](), Counter[str]()
    watching = [asyncio.create_task(platform(rig, gateway, broken)) for gateway in rig.gateways]
    clients = [client(rig, gateway, place, told) for gateway in rig.gateways for place in range(CONNECTIONS)]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(95):
            await asyncio.gather(*clients)
    for task in watching:
        task.cancel()
    rig.record(f"clients: {dict(told)}")
    return broken


play(__file__, case)
