"""One-off clients: they come by hundreds, each asks once on a connection of its own and keeps it for good."""

from __future__ import annotations

import asyncio
import random
import sys


async def one(address: tuple[str, int], number: str, customer: int) -> None:
    try:
        reader, writer = await asyncio.open_connection(*address)
        terms = b"c=lookup,t=basic,d=2000,units=1,spread=1,first=0"
        words = [b"CALL.GET", b"%016x" % customer, number.encode(), terms]
        writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words))
        await reader.read()  # to the end
        writer.close()
    except OSError:
        pass


async def many(address: tuple[str, int], index: int, commands: int) -> None:
    """A client that sends hundreds of commands at once, and again as soon as it has the answers."""
    count = 0
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
            while True:
                for _ in range(commands):
                    count += 1
                    words = [b"CALL.GET", b"%016x" % (5000 + index), f"{0xF100 + index:08x}{count:08x}".encode(),
                             b"c=lookup,t=basic,d=2000,units=1,spread=1,first=0"]
                    writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words))
                for _ in range(commands):
                    if not (line := await reader.readline()):
                        raise OSError
                    if line.startswith(b"$"):
                        await reader.readline()
        except OSError:
            await asyncio.sleep(0.05)


async def main() -> None:
    host, _, port = sys.argv[1].rpartition(":")
    burst, pause, seconds = int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])
    chance, loop, tasks, count = random.Random(9), asyncio.get_running_loop(), set(), 0
    end = loop.time() + seconds
    for index in range(int(sys.argv[5])):
        tasks.add(asyncio.ensure_future(many((host, int(port)), index, int(sys.argv[6]))))
    while loop.time() < end:
        for _ in range(burst):
            count += 1
            tasks.add(asyncio.ensure_future(one((host, int(port)), f"{0xC0DE:08x}{count:08x}", chance.randrange(1 << 20, 1 << 32))))
        await asyncio.sleep(pause)
    for task in tasks:
        task.cancel()


asyncio.run(main())
