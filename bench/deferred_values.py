"""Large values of slow servers, alone and with a command behind them: when their bytes come to the client."""

from __future__ import annotations

import asyncio
import time
from statistics import median

import uvloop

from bench.rig import Rig
from lynxreel.protocol.address import read_address
from lynxreel.protocol.resp import pack

SIZE = 4_000_000  # bytes of a value
SECONDS = (0.1, 0.5, 1.0, 2.6)  # that a server takes to write it
TERMS = b"c=lookup,t=free,d=2000"


def _call(number: bytes) -> bytes:
    return pack([b"CALL.GET", b"%016x" % 1, number, TERMS])


async def _ask(address: str, number: int, behind: bool) -> tuple[float, float]:
    """Seconds from the request to the first and to the last byte of all answers."""
    reader, writer = await asyncio.open_connection(*read_address(address), limit=1 << 23)
    asked = time.monotonic()
    writer.write(_call(b"large%d" % number) + (_call(b"small%d" % number) if behind else b""))
    if not (line := await reader.readline()).startswith(b"$"):
        raise ConnectionError(f"no value, but {line!r}")
    first = time.monotonic() - asked
    await reader.readexactly(SIZE + 2)
    if behind:
        await reader.readline()
        await reader.readline()
    last = time.monotonic() - asked
    writer.close()
    return first, last


def measure(rounds: int) -> None:
    """One gateway, one request after the other."""
    print(f"deferred values of {SIZE} bytes: first and last byte after seconds")
    print(f"  {'server takes':>12}{'alone':>16}{'command behind':>20}")
    for seconds in SECONDS:
        with Rig() as rig:
            _, peers = rig.told("bench.peers", "4", f"value={SIZE},{int(SIZE / seconds)}")
            _, address, _ = rig.gateway(peers)
            cells = ""
            for behind in (False, True):
                spans = [uvloop.run(_ask(address, 10 * number + behind, behind)) for number in range(rounds)]
                first, last = (median(column) for column in zip(*spans, strict=True))
                cells += f"{first:10.2f} {last:5.2f}    "
            print(f"  {seconds:12.1f}{cells}")
