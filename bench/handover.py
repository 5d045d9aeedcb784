"""Handovers one after another under load: connects refused or reset, requests lost, and the time of each."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from statistics import median

import uvloop

from lynxreel.local.deployment import Deployment

HANDOVERS, RATE, HAMMERS, WORKERS = 100, 150.0, 8, 2
BROKEN = ("lost", "duplicated", "late", "ran_twice")


async def _hammer(address: tuple[str, int], found: Counter[str]) -> None:
    """New connections without a pause, each with one ping."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            found["answered" if await reader.readline() == b"+PONG\r\n" else "unanswered"] += 1
            writer.transport.abort()
        except ConnectionRefusedError:
            found["refused"] += 1
        except ConnectionError:
            found["reset"] += 1
        await asyncio.sleep(0.001)


async def _play(
    folder: Path, count: int
) -> tuple[list[float], list[float], Counter[str], dict[str, int], list[str]]:
    deployment = Deployment(folder, 1, RATE, 1, workers=WORKERS)
    serving, gone, found = [], [], Counter[str]()
    try:
        await deployment.start()
        (gateway,) = deployment.gateways
        play = asyncio.ensure_future(deployment.play(1e9))
        hammers = [asyncio.ensure_future(_hammer(gateway.gate.address, found)) for _ in range(HAMMERS)]
        for _ in range(count):
            began = time.monotonic()
            words = ["-m", "lynxreel.cli.main", "serve", "--config", str(gateway.config), "--take-over"]
            quiet = asyncio.subprocess.DEVNULL
            new = await asyncio.create_subprocess_exec(sys.executable, *words, stderr=quiet)
            while gateway.place.read().get("pid") != new.pid:
                assert new.returncode is None, "a handover was given up"
                await asyncio.sleep(0.005)
            serving.append(time.monotonic() - began)
            assert await gateway.process.wait() == 0
            gone.append(time.monotonic() - began)
            gateway.process = new
        play.cancel()
        for hammer in hammers:
            hammer.cancel()
        await deployment.front.settle(10)
        await deployment.stop()
        books = deployment.ledger.report()
        found["unreachable, by the load"] = deployment.front.counts["unreachable"]
        return serving, gone, found, {what: books[what] for what in (*BROKEN, "taken")}, books["problems"]
    finally:
        for worker in deployment.gateways[0].place.read().get("workers", ()) if deployment.gateways else ():
            if "pid" in worker and deployment.gateways[0].code is None:
                os.kill(worker["pid"], signal.SIGKILL)
        deployment.close()


def measure(rounds: int, count: str = "") -> None:
    """One run; `handover:N` for N handovers. `rounds` is not used: the handovers are the rounds."""
    with tempfile.TemporaryDirectory(prefix="lynxreel-bench-") as folder:
        serving, gone, found, books, problems = uvloop.run(_play(Path(folder), int(count or HANDOVERS)))
    print(f"handover: {len(serving)}, {WORKERS} workers, {RATE:g} first tries a second, {HAMMERS} hammers")
    for what, spans in (("start to serving", serving), ("start to the old one's end", gone)):
        print(f"  {what} {median(spans):.2f} s ({min(spans):.2f} to {max(spans):.2f})")
    print(f"  connects: {dict(found)}")
    print(f"  of {books.pop('taken')} requests taken: {books}")
    for problem in problems:
        print(f"    {problem}")
