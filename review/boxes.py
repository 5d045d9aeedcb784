"""Sound boxes in a process of their own: `boxes.py WORK PORT...`. A line for each request that has come whole.

A line has the time (the system's monotonic clock), the box's place, the command and the request's id.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time

from rig import read_command


async def serve(place: int, work: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        while (words := await read_command(reader)) is not None:
            now = time.monotonic()
            if words[0] not in (b"CALL.GET", b"CALL.POST"):
                writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown\r\n")
                continue
            print(f"{now:.6f} {place} {words[0].decode()} {words[2].decode()}", flush=True)
            await asyncio.sleep(work)
            value = b"value of " + words[2]
            writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
    writer.close()


async def main() -> None:
    work, ports = float(sys.argv[1]), [int(port) for port in sys.argv[2:]]
    servers = [
        await asyncio.start_server(lambda r, w, place=place: serve(place, work, r, w), "127.0.0.1", port)
        for place, port in enumerate(ports)
    ]
    await asyncio.gather(*(server.serve_forever() for server in servers))


asyncio.run(main())
