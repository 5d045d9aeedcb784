"""Discovery answers each call after 1.5 s, and the gateway gives each call up after 1 s: see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from rig2 import TROUBLE, Discovery, Rig, call, free_address, main, read_answer  # noqa: E402

SLOW = 1.5  # seconds from a call to the first line of its answer; the lines behind that come at once
DRAIN_AFTER = 3.0  # seconds from the first request
TOLD = 6.0  # seconds after which a change counts as told at the latest
GRACE = 0.5 + 0.05  # of the settings, and what the rules on sockets add
SECONDS = 20.0


class Slow(Discovery):
    """Discovery that is slow: every call is answered, late."""

    def __init__(self, rig: Rig) -> None:
        super().__init__()
        self._rig = rig

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._rig.record.line("discovery is called")
        if TROUBLE:
            await asyncio.sleep(SLOW)
        self._rig.record.line("discovery answers" + (", but the caller has gone" if reader.at_eof() else ""))
        await super()._serve(reader, writer)


async def case(rig: Rig) -> bool:
    rig.discovery = Slow(rig)
    await rig.open(3)
    listen = free_address()
    await rig.ready(rig.start(rig.config("n0", listen)), listen)
    reader, writer = await asyncio.open_connection(*listen)
    began, drained, answers = rig.record.now(), None, 0
    while rig.record.now() - began < SECONDS:
        number = rig.new_id()
        rig.record.line(f"asked {number}")
        writer.write(call(number))
        answer = await read_answer(reader)
        rig.record.line(f"answered {number} {answer[:30]!r}")
        answers += answer.startswith(b"$")
        await asyncio.sleep(0.03)
        if drained is None and rig.record.now() - began > DRAIN_AFTER:
            await rig.discovery.set("box-0", lifecycle="DRAINING")
            drained = rig.record.now()
            rig.record.line("discovery has box-0 as DRAINING")
    assert drained is not None
    late = [at - drained for at, _ in rig.boxes[0].arrived if at > drained + TOLD + GRACE]
    rig.record.say(f"{answers} requests served; {len(late)} were sent to box-0 after it counted as told that it drains")
    if late:
        rig.record.say(f"the first of these came {late[0]:.1f} s after the drain, the last one {late[-1]:.1f} s")
    return bool(late)


main(str(HERE), case)
