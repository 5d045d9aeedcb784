"""A value that breaks while it is passed on takes the answers behind it with it: see claim.txt."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from rig2 import TROUBLE, Box, CannotRun, Rig, call, free_address, main, read_answer, read_command, text  # noqa: E402

SIZE = 1 << 20  # bytes of the value
BROKEN_AT = 200_000  # bytes of it that its box gives
PAUSE = 0.5  # seconds after these until the box goes on, or resets the connection
WORK = 0.05  # seconds of each request


class LargeBox(Box):
    """A box that gives one large value in two parts, and with trouble resets its connection in place of the second."""

    large = b""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (words := await read_command(reader)) is not None:
                number = words[2]
                self.arrived.append((self.record.now(), number))
                self.record.line(f"run {number.decode()} at {self.name}")
                await asyncio.sleep(WORK)
                value = b"v" * SIZE if number == self.large else b"done " + number
                answer = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
                if number == self.large:
                    writer.write(answer[:BROKEN_AT])
                    await writer.drain()
                    await asyncio.sleep(PAUSE)
                    if TROUBLE:
                        self.record.line(f"{self.name} resets the connection in the middle of the value")
                        linger = struct.pack("ii", 1, 0)
                        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        writer.transport.abort()
                        return
                    answer = answer[BROKEN_AT:]
                writer.write(answer)
                self.record.line(f"{self.name} has answered {number.decode()}")
                self.answered.add(number.decode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def __init__(self, name: str, rig: Rig) -> None:
        super().__init__(name, rig.record)
        self.answered: set[str] = set()


async def case(rig: Rig) -> bool:
    await rig.open(0)
    boxes = [LargeBox(f"box-{number}", rig) for number in range(4)]
    for box in boxes:
        await box.open()
        await rig.discovery.set(box.name, hostPort=text(box.address))
    large, commit, lookup = rig.new_id(), rig.new_id(), rig.new_id()
    LargeBox.large = large.encode()
    listen = free_address()
    await rig.ready(rig.start(rig.config("n0", listen)), listen)
    reader, writer = await asyncio.open_connection(*listen, limit=2 * SIZE)
    # Three requests of three customers, written at once.
    asked = [call(large, customer=1), call(commit, "port-commit", 7500, customer=2), call(lookup, customer=3)]
    rig.record.line(f"asked {large} (the large value), {commit} (port-commit), {lookup}")
    writer.write(b"".join(asked))
    got: dict[str, bytes] = {}
    for number in (large, commit, lookup):
        try:
            async with asyncio.timeout(10):
                got[number] = await read_answer(reader)
            rig.record.line(f"answered {number} {got[number][:30]!r}, {len(got[number])} bytes")
        except (EOFError, OSError, TimeoutError) as error:
            rig.record.line(f"no answer to {number}: {error!r}")
            break
    writer.close()
    served = set().union(*(box.answered for box in boxes))
    if not served.issuperset({commit, lookup}):
        raise CannotRun("the requests behind the value were not served by their boxes")
    lost = [number for number in (commit, lookup) if number not in got]
    rig.record.say(f"the value: {'whole' if large in got else 'broken off'}; behind it, run and never answered: {len(lost)} of 2")
    return bool(lost)


main(str(HERE), case)
