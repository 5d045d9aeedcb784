"""What workers behind one address answer a second, by their number, and who gets the connections."""

from __future__ import annotations

import asyncio
import os
from statistics import median
from typing import Any

import uvloop

from bench.rig import Rig, cpu, load, memory
from lynxreel.daemon.place import Place
from lynxreel.protocol.address import read_address

COUNTS, CONNECTIONS, SECONDS, LOADS, BOXES = (1, 2, 4, 6), 24, 4.0, 3, 20
BURST = 1_000


def _workers(rig: Rig, listen: str) -> list[dict[str, Any]]:
    folder = rig.folder / f"g0-{listen.rpartition(':')[2]}"
    told: list[dict[str, Any]] = Place(folder).read()["workers"]
    return told


async def _burst(listen: str) -> None:
    """All at the same instant, and open until each has been answered."""
    host, port = read_address(listen)
    links = await asyncio.gather(*[asyncio.open_connection(host, port) for _ in range(BURST)])
    for _, writer in links:
        writer.write(b"*1\r\n$4\r\nPING\r\n")
    for reader, _ in links:
        assert await reader.readline() == b"+PONG\r\n"
    await asyncio.sleep(1.2)  # so that each worker has written down what it holds
    for _, writer in links:
        writer.transport.abort()


def measure(rounds: int) -> None:
    """The counts in turn within each round; loads and peers share the machine with the workers."""
    rates: dict[int, list[float]] = {count: [] for count in COUNTS}
    costs: dict[int, list[float]] = {count: [] for count in COUNTS}
    held: dict[int, list[int]] = {}
    with Rig() as rig:
        peers = rig.peers(BOXES, 2)
        sides = {count: rig.gateway(peers, workers=count) for count in COUNTS}
        supervisor = memory(sides[4][0].pid)
        each = median(memory(worker["pid"]) for worker in _workers(rig, sides[4][1]))
        for _ in range(rounds):
            for count, (_, listen, _) in sides.items():
                pids = [worker["pid"] for worker in _workers(rig, listen)]
                before = sum(map(cpu, pids))
                told = load(SECONDS, CONNECTIONS, [listen], LOADS)
                assert told["refused"] < 0.01 * told["served"], told
                rates[count].append(told["served"] / told["seconds"])
                costs[count].append((sum(map(cpu, pids)) - before) / told["served"] * 1e6)
        for count in (2, 4):
            listen = sides[count][1]
            uvloop.run(_burst(listen))
            places = [Place(worker["folder"]) for worker in _workers(rig, listen)]
            held[count] = [place.read().get("connections", 0) for place in places]
    print(f"workers: {BOXES * 2} boxes in 2 processes, {LOADS} loads of {CONNECTIONS} connections, "
          f"{os.cpu_count()} cores, {rounds} rounds")  # fmt: skip
    one = median(rates[1])
    for count in COUNTS:
        low, high = min(rates[count]), max(rates[count])
        linear = median(r / (count * o) for r, o in zip(rates[count], rates[1], strict=True))
        print(
            f"  {count} workers  {median(rates[count]):6.0f} answered a second ({low:.0f} to {high:.0f}), "
            f"{median(rates[count]) / one:.2f} of one, {linear:.2f} of linear, "
            f"{median(costs[count]):.0f} µs of CPU a request"
        )
    for count, found in held.items():
        print(f"  {BURST} connects at once, {count} workers: {found}")
    print(f"  memory: the supervisor {supervisor:.1f} MB, a worker {each:.1f} MB")
