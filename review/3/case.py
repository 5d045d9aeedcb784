"""Case 3: a server breaks under a large value whose turn has not come, and the requests behind it are lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import Box, Rig, pack, play, read_reply  # noqa: E402

SIZE = 1 << 20  # bytes of the large value; up to 4 MiB occur
FIRST, LARGE = b"9b1f03aa5c7e2d00", b"9b1f03aa5c7e2d01"
CALLS = [  # what a client sends at once, each for another customer
    (b"CALL.POST", FIRST, b"port-commit", 7500),
    (b"CALL.GET", LARGE, b"lookup", 2000),
    (b"CALL.POST", b"9b1f03aa5c7e2d02", b"port-commit", 7500),
    (b"CALL.GET", b"9b1f03aa5c7e2d03", b"lookup", 2000),
]
WORK, FIRST_WORK, BREAK = 0.08, 0.6, 0.2  # seconds of work, and from the large value's beginning to its break
SLACK = 0.55  # seconds after a request's time in which its answer only earns nothing, and the sockets' 50 ms


class Case:
    """What the boxes are to do."""

    trouble = True


async def behave(box: Box, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """Sound boxes, but that the one with the large value breaks in its middle."""
    await asyncio.sleep(FIRST_WORK if words[2] == FIRST else WORK)
    if words[2] != LARGE:
        box.answer(words, writer, b"value of " + words[2])
        return
    box.record(f"box {box.name}: gives the first 256 KiB of {LARGE.decode()}, of {SIZE} bytes")
    writer.write(b"*3\r\n$%d\r\n" % SIZE + b"x" * (1 << 18))
    await asyncio.sleep(BREAK)
    if Case.trouble:
        box.record(f"box {box.name}: resets the connection under {LARGE.decode()}")
        writer.transport.abort()
        return
    writer.write(b"x" * (SIZE - (1 << 18)) + b"\r\n$-1\r\n$-1\r\n")
    await writer.drain()
    box.record(f"box {box.name}: the last byte of {LARGE.decode()} is written")


async def case(rig: Rig) -> list[str]:
    Case.trouble = rig.trouble
    rig.add_boxes(8, behave)
    await rig.start(2)
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.gateways[0].port, limit=1 << 22)
    for place, (command, number, cls, patience) in enumerate(CALLS):
        terms = b"c=%b,t=standard,d=%d,units=1,spread=2,first=0" % (cls, patience)
        body = [b"0048601700123"] if command == b"CALL.POST" else []
        writer.write(pack(command, b"%016x" % (77 + place), number, terms, *body))
        rig.record(f"client: {command.decode()} {number.decode()} sent")
    sent, broken, ended = asyncio.get_running_loop().time(), list[str](), False
    for command, number, _, patience in CALLS:
        if not ended:
            try:
                async with asyncio.timeout_at(sent + patience / 1e3 + SLACK):
                    answer = await read_reply(reader)
            except (EOFError, ConnectionError):
                ended = True
                after = asyncio.get_running_loop().time() - sent
                rig.record(f"client: the connection has ended, {after:.3f} s after the send")
            except TimeoutError:
                broken.append(f"{command.decode()} {number.decode()} has no answer in its time")
                continue
            else:
                rig.record(f"client: {number.decode()} -> {answer[:40]!r}")
                continue
        if number == LARGE:
            # Not counted, though nothing of it had been passed on when it broke: its client can tell.
            rig.record(f"client: {number.decode()} is not whole")
            continue
        came = "has come to a box" if any(number.decode() in box.got for box in rig.boxes) else "has come to no box"
        broken.append(f"{command.decode()} {number.decode()} {came}, and its connection has ended with no answer")
    writer.close()
    return broken


play(__file__, case)
