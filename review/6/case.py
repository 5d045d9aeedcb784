"""A gateway that is told to end cuts off a value that its client is reading: see claim.txt."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from rig2 import TROUBLE, CannotRun, Rig, call, free_address, main, text  # noqa: E402

SIZE = 4_000_000  # bytes of the value: under 4 MiB
RATE = 1_000_000  # bytes a second that the client reads
PIECE = RATE // 50
BEHIND = (0.3, 0.6)  # seconds from the first request to those that are sent behind it before the stop
STOP = 1.0  # seconds from the first request to the stop
AFTER = 0.5  # seconds between the requests that the client sends on the same connection after that
KILL = 3.0 + 0.7  # seconds from SIGTERM to SIGKILL at the earliest
SECONDS = 12.0
BY_DRAIN = os.environ.get("BY") == "drain"  # the operators' DRAIN in place of SIGTERM


async def drain(rig: Rig, address: tuple[str, int]) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"DRAIN\r\n")
    rig.record.line(f"operator: DRAIN: {await reader.readline()!r}")
    writer.close()


async def case(rig: Rig) -> bool:
    await rig.open(4)
    large = rig.new_id()
    for box in rig.boxes:
        box.value = lambda number: b"v" * SIZE if number == large.encode() else b"done " + number
    listen, calls = free_address(), free_address()
    gateway = rig.start(rig.config("n0", listen, operator=text(calls)))
    await rig.ready(gateway, listen)
    loop, got, end = asyncio.get_running_loop(), bytearray(), ""
    own = socket.create_connection(listen)
    own.setblocking(False)
    before = [large]

    async def ask(number: str, cls: str) -> None:
        rig.record.line(f"asked {number} {cls}")
        await loop.sock_sendall(own, call(number, cls, wait=2000 if cls == "lookup" else 7500))

    await ask(large, "lookup")
    began = rig.record.now()

    async def follow() -> None:
        """What the client sends behind its first request, and the stop."""
        try:
            for at in BEHIND:
                await asyncio.sleep(began + at - rig.record.now())
                before.append(rig.new_id())
                await ask(before[-1], "port-commit")
            await asyncio.sleep(began + STOP - rig.record.now())
            if TROUBLE and BY_DRAIN:
                await drain(rig, calls)
            elif TROUBLE:
                rig.record.line("SIGTERM")
                gateway.send_signal(signal.SIGTERM)
                loop.call_later(KILL, kill)
            while True:
                await asyncio.sleep(AFTER)
                await ask(rig.new_id(), "lookup")
        except OSError as error:
            rig.record.line(f"the client can't send: {error}")

    def kill() -> None:
        if gateway.poll() is None:
            rig.record.line("SIGKILL")
            gateway.kill()

    following = asyncio.ensure_future(follow())
    while not end and rig.record.now() < began + SECONDS:
        try:
            async with asyncio.timeout(3):
                data = await loop.sock_recv(own, PIECE)
            got += data
            if not data:
                end = "ended"
        except TimeoutError:
            break
        except OSError as error:
            end = f"reset ({error.strerror})"
        if not TROUBLE and got.count(b"done ") >= 6:
            break
        await asyncio.sleep(PIECE / RATE)
    at = rig.record.now() - began
    following.cancel()
    own.close()
    whole = b"$%d\r\n" % SIZE + b"v" * SIZE + b"\r\n" in got
    ran = {number.decode() for box in rig.boxes for _, number in box.arrived}
    answered = {number for number in before[1:] if b"done " + number.encode() + b"\r\n" in got}
    if whole:
        answered.add(large)
    lost = [number for number in before if number in ran and number not in answered]
    if not ran.issuperset(before):
        raise CannotRun("a box did not get what was sent before the stop")
    rig.record.say(f"the connection: {end or 'open'} {at - STOP:+.1f} s from the stop; {len(got)} bytes were read")
    rig.record.say(f"sent before the stop and run by a box: {len(before)}; without a whole answer: {len(lost)} {lost}")
    # What ends at the platform's SIGKILL, or later, is not counted here.
    return bool(lost) and bool(end) and (BY_DRAIN or at - STOP < KILL)


main(str(HERE), case)
