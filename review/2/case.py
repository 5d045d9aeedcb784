"""Case 2: clients that send much at once and go; other clients' requests have no answer in their time."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

REVIEW = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REVIEW))
from rig import Box, CannotRun, Rig, pack, plain, play, read_reply  # noqa: E402

GOING, COMMANDS = 250, 64  # clients that send so many commands at once and go
ROUNDS, PAUSE = 4, 8.0  # times that they come, and seconds between
STAYING, EVERY = 8, 0.1  # clients that send one request at a time, and their pauses
PATIENCE = 1_000  # milliseconds that these wait: half of the class's 2 s
ANSWER_SLACK = 0.5 + 0.05  # seconds after a request's time, from which on it is lost
GONE_SLACK = 0.1 + 0.05  # seconds after a client's close, from which on an attempt for it is a break
WORK = 0.08


def lookup(chance: random.Random, number: str, patience: int) -> bytes:
    """A lookup of a customer that is not seen again."""
    terms = b"c=lookup,t=standard,d=%d,units=1,spread=2,first=0" % patience
    return pack(b"CALL.GET", b"%016x" % chance.getrandbits(33), number.encode(), terms)


async def stay(rig: Rig, chance: random.Random, place: int, broken: list[str], told: dict[str, int]) -> None:
    """A client that waits for each answer, on one connection as long as that lasts."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.gateways[0].port)
    for turn in range(1_000_000):
        number = f"o{place}.{turn}"
        writer.write(lookup(chance, number, PATIENCE))
        sent = loop.time()
        answer = (await read_reply(reader)).decode()
        took = loop.time() - sent
        told["answered"] += 1
        told["longest, ms"] = max(told["longest, ms"], round(took * 1e3))
        if took > PATIENCE / 1e3 + ANSWER_SLACK:
            rig.record(f"client: {number}, given {PATIENCE} ms, has its answer after {took:.3f} s: {answer[:30]}")
            broken.append(f"{number}, given {PATIENCE} ms, had no answer in its time and 0.55 s more ({took:.3f} s)")
        await asyncio.sleep(EVERY)


async def watch_lag(told: dict[str, int]) -> None:
    """How late this process itself is, so that its delays are not taken for the gateway's."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + 0.01
        await asyncio.sleep(0.01)
        told["own delay, ms"] = max(told["own delay, ms"], round((loop.time() - due) * 1e3))


async def come_and_go(rig: Rig, chance: random.Random, turn: int, closed: dict[str, float]) -> None:
    """The clients that go; without the disruption they send one command each, and wait for its answer."""
    loop = asyncio.get_running_loop()
    names = [f"g{turn}.{place}" for place in range(GOING)]
    number = COMMANDS if rig.trouble else 1
    texts = []
    for name in names:
        texts.append(b"".join(lookup(chance, f"{name}.{n}", 2_000) for n in range(number)))
        await asyncio.sleep(0)
    sockets = [socket.socket() for _ in names]
    for sock in sockets:
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", rig.gateways[0].port))
    await asyncio.sleep(0.5)
    if not rig.trouble:
        for text, sock in zip(texts, sockets):
            sock.send(text)
            await asyncio.sleep(0.01)
        rig.record(f"{GOING} clients have sent one command each, and wait")
        await asyncio.sleep(2.5)
        for sock in sockets:
            sock.close()
        return
    for name, text, sock in zip(names, texts, sockets):
        if sock.send(text) != len(text):
            raise CannotRun("not all could be sent at once")
        sock.close()
        closed[name] = loop.time()
    rig.record(f"{GOING} clients have sent {COMMANDS} commands each at once, and have gone")


async def case(rig: Rig) -> list[str]:
    chance = random.Random(7)
    rig.boxes += [Box(f"s-{place}", plain, rig.record) for place in range(8)]
    lines = rig.folder / "boxes" / "lines"
    lines.parent.mkdir()
    for box in rig.boxes:
        box.open = lambda: asyncio.sleep(0)  # they run in a process of their own, for the sake of its clock
    with lines.open("wb") as file:
        boxes = await asyncio.create_subprocess_exec(
            sys.executable, str(REVIEW / "boxes.py"), str(WORK), *(str(box.port) for box in rig.boxes), stdout=file
        )
    rig.processes.append(boxes)
    await rig.start(2)
    broken, closed = list[str](), dict[str, float]()
    told = {"answered": 0, "longest, ms": 0, "own delay, ms": 0}
    watching = asyncio.create_task(watch_lag(told))
    staying = [asyncio.create_task(stay(rig, chance, place, broken, told)) for place in range(STAYING)]
    await asyncio.sleep(2.0)
    for turn in range(ROUNDS):
        await come_and_go(rig, chance, turn, closed)
        await asyncio.sleep(PAUSE)
    for task in staying:
        if task.done():
            raise CannotRun(f"a client that stays has ended: {task.exception()!r}")
        task.cancel()
    watching.cancel()
    rig.record(f"clients that stay: {told}")
    if told["own delay, ms"] > 400:
        raise CannotRun("the clients' process was held up itself")
    boxes.terminate()
    await boxes.wait()
    for line in lines.read_text().splitlines():
        at, box, command, number = line.split()
        name = number.rpartition(".")[0]
        rig.record(f"box s-{box}: {command} {number} came")
        if name in closed and (after := float(at) - closed[name]) > GONE_SLACK:
            broken.append(f"{number} began at box s-{box} {after:.3f} s after its client had closed")
    return broken


play(__file__, case)
