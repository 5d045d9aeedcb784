"""A connection at rest is closed over a request that the gateway has read: see claim.txt."""

from __future__ import annotations

import asyncio
import collections
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from rig2 import TROUBLE, CannotRun, Rig, free_address, main, text  # noqa: E402

SECONDS = 40
USUAL = 60  # of the usual clients' connections: fewer than a third of the descriptors
SOCKETS = 256
CROWD = ("8", "0.05")  # so many one-off clients come at once, every so many seconds
FLOOD = ("4", "300")  # clients that send so many commands at once, and again when these are answered
CROSSING = 5.0  # milliseconds; an end that crosses a request on loopback takes far less


async def case(rig: Rig) -> bool:
    await rig.open(6)
    listen = free_address()
    limits = {"cores": 1.0, "memory_mb": 128, "sockets": SOCKETS}
    await rig.ready(rig.start(rig.config("n0", listen, limits=limits)), listen)
    started = []
    try:
        if TROUBLE:
            crowd = [sys.executable, str(HERE / "crowd.py"), text(listen), *CROWD, str(SECONDS + 1), *FLOOD]
            started.append(await asyncio.create_subprocess_exec(*crowd))
        usual = [sys.executable, str(HERE / "usual.py"), text(listen), str(USUAL), str(SECONDS)]
        started.append(await asyncio.create_subprocess_exec(*usual, stdout=asyncio.subprocess.PIPE))
        told, _ = await started[-1].communicate()
    finally:
        for process in started:
            if process.returncode is None:
                process.kill()
            await process.wait()
    asked = [json.loads(line) for line in told.decode().splitlines()]
    for one in asked:
        rig.record.line(f"asked {one}")
    counts = collections.Counter(one["how"] for one in asked)
    rig.record.say(f"requests of the usual clients: {dict(counts)}")
    if counts["served"] < 100:
        raise CannotRun("hardly anything was served")
    lost = [
        one
        for one in asked
        if one["how"] == "ended" and one["taken"] and not one["first"] and one["ms"] >= CROSSING
    ]
    for one in lost:
        rig.record.line(f"LOST {one}")
    rig.record.say(f"{len(lost)} requests were read and never answered: their connections were ended")
    return bool(lost) or counts["a foreign value"] > 0


main(str(HERE), case)
