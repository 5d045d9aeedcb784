"""Case 2: a server breaks in the middle of a large value, and requests of other customers behind it are lost."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import Box, Rig, pack, play, read_reply  # noqa: E402

SIZE = 1 << 20  # bytes of the large value; up to 4 MiB occur
LARGE = b"9b1f03aa5c7e2d00"
# What the same client sends behind it: a request of another customer each.
BEHIND = [
    (b"CALL.POST", b"9b1f03aa5c7e2d01", b"port-commit", 7500),
    (b"CALL.GET", b"9b1f03aa5c7e2d02", b"lookup", 2000),
    (b"CALL.POST", b"9b1f03aa5c7e2d03", b"port-commit", 7500),
]
SLACK = 0.55  # seconds after a request's time in which its answer only earns nothing, and the sockets' 50 ms


class Case:
    """What the boxes are to do."""

    trouble = True


async def behave(box: Box, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Sound boxes, but that the one with the large value breaks after its first half, which takes 0.4 s."""
    await asyncio.sleep(box.work)
    if words[2] != LARGE:
        box.answer(words, writer, b"value of " + words[2])
        return
    box.record(f"box {box.name}: gives the first half of {LARGE.decode()}, {SIZE} bytes")
    writer.write(b"*3\r\n$%d\r\n" % SIZE)
    for part in range(8):
        if Case.trouble and part == 4:
            box.record(f"box {box.name}: resets the connection under {LARGE.decode()}")
            writer.transport.abort()
            return
        writer.write(b"x" * (SIZE // 8))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(b"\r\n$-1\r\n$-1\r\n")
    box.record(f"box {box.name}: the last byte of {LARGE.decode()} is written")


async def case(rig: Rig) -> list[str]:
    Case.trouble = rig.trouble
    rig.add_boxes(8, behave)
    await rig.start(2)
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.gateways[0].port, limit=1 << 20)
    calls = [(b"CALL.GET", LARGE, b"lookup", 2000), *BEHIND]
    for place, (command, number, cls, patience) in enumerate(calls):
        terms = b"c=%b,t=standard,d=%d,units=1,spread=2,first=0" % (cls, patience)
        body = [b"0048601700123"] if command == b"CALL.POST" else []
        writer.write(pack(command, b"%016x" % (77 + place), number, terms, *body))
        rig.record(f"client: {command.decode()} {number.decode()} sent")
    sent, broken, ended = time.monotonic(), list[str](), False
    for command, number, _, patience in calls:
        ran = number.decode() in {done for box in rig.boxes for done in box.got}
        if not ended:
            try:
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + patience / 1e3 + SLACK):
                    answer = await read_reply(reader)
            except (EOFError, ConnectionError) as wrong:
                rig.record(f"client: the connection has ended: {wrong!r}, {time.monotonic() - sent:.3f} s after the send")
                ended = True
            except TimeoutError:
                broken.append(f"{command.decode()} {number.decode()} has no answer in its time")
                continue
            else:
                rig.record(f"client: {number.decode()} -> {answer[:40]!r}")
                continue
        if number == LARGE:
            # The client can tell that it is not whole: it has failed, and is not lost.
            rig.record(f"client: {number.decode()} is not whole")
        else:
            came = "has come to a box" if ran else "has come to no box"
            broken.append(f"{command.decode()} {number.decode()} {came}, and its connection ended with no answer")
    writer.close()
    return broken


play(__file__, case)
