"""Case 3: a client that reads a large value slowly, and never stops reading, is cut off in its middle."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import Box, Rig, pack, play  # noqa: E402

SIZE = 4 << 20  # bytes: "values of up to 4 MiB occur"
SLOW = 100_000  # bytes a second that the client's line carries, from the first byte to the last
LINE = 65_536  # bytes that wait on the client's side at most: the rest waits at the gateway
PIECE = 4_096
PATIENCE = 15.0  # seconds without any byte after which the client gives up; no page asks it to wait longer


def value(number: bytes) -> bytes:
    """What a box serves for a request."""
    return (number + b"/") * (SIZE // (len(number) + 1)) + b"." * (SIZE % (len(number) + 1))


async def behave(box: Box, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """A sound box: it works, and gives the whole value as fast as it is taken."""
    await asyncio.sleep(box.work)
    box.answer(words, writer, value(words[2]))
    await writer.drain()
    box.record(f"box {box.name}: the last byte of {words[2].decode()} is written")


async def lookup(rig: Rig, port: int, number: bytes, rate: float | None) -> list[str]:
    """One lookup on a connection of its own; `rate`: bytes a second that are read, None as fast as they come."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINE)
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", port))
    terms = b"c=lookup,t=carrier,d=2000,units=1,spread=2,first=0"
    await loop.sock_sendall(sock, pack(b"CALL.GET", b"%016x" % 77, number, terms))
    rig.record(f"client: {number.decode()} sent, reads {'at once' if rate is None else f'{rate:.0f} bytes a second'}")
    wanted = b"$%d\r\n%b\r\n" % (SIZE, value(number))
    got, start, first, next_line, longest = bytearray(), time.monotonic(), 0.0, 0, 0.0
    end = ""
    while len(got) < len(wanted):
        asked = time.monotonic()
        try:
            async with asyncio.timeout(PATIENCE):
                piece = await loop.sock_recv(sock, PIECE)
        except (TimeoutError, ConnectionError) as wrong:
            end = repr(wrong)
            break
        if not piece:
            end = "the gateway has ended the connection"
            break
        now = time.monotonic()
        first = first or now
        longest = max(longest, now - asked)
        got += piece
        if len(got) >= next_line:
            rig.record(f"client: {number.decode()} has {len(got)} bytes")
            next_line += 500_000
        if rate is not None and (ahead := first + len(got) / rate - now) > 0:
            await asyncio.sleep(ahead)
    sock.close()
    rig.record(
        f"client: {number.decode()} has {len(got)} of {len(wanted)} bytes after {time.monotonic() - start:.1f} s;"
        f" the first after {first - start:.3f} s; waited {longest:.3f} s at most for more. {end}"
    )
    if got[:1] != b"$":
        return [f"{number.decode()} was not served: {bytes(got[:40])!r}"]
    if bytes(got) != wanted:
        return [f"{number.decode()} was cut off after {len(got)} bytes, while its client was reading: {end}"]
    return []


async def case(rig: Rig) -> list[str]:
    rig.add_boxes(8, behave)
    await rig.start(2)
    port = rig.gateways[0].port
    broken = await lookup(rig, port, b"9b1f03aa5c7e2d00", None)  # all is well with the same value read fast
    return broken + await lookup(rig, port, b"9b1f03aa5c7e2d01", SLOW if rig.trouble else None)


play(__file__, case)
