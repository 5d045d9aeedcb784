"""Stand-ins in this process, gateways as processes of their own, and what is done to them."""

from __future__ import annotations

import asyncio
import itertools
import math
import os
import signal
import socket
import sys
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path
from typing import IO

from lynxreel.config.model import SIDES
from lynxreel.daemon.place import Place
from lynxreel.internal_errors import count_errors
from lynxreel.local import files, web
from lynxreel.local.night import Deed
from lynxreel.standins import traffic, world
from lynxreel.standins.base import Clock, Listener
from lynxreel.standins.box import Box, BoxLink, Keys, Resp2Link, open_boxes
from lynxreel.standins.clients import Front, Gate
from lynxreel.standins.counter import Counter
from lynxreel.standins.faults import Fault, Faults
from lynxreel.standins.ledger import Ledger
from lynxreel.standins.registry import Entry, Registry, entry
from lynxreel.standins.wire import Wire

# Gateways have a loopback address of their process's own: on 127.0.0.1 any connection that is made between
# the drawing of a port and its use may take that port for itself.
HOST = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.1"
LIFECYCLES = {"leave": "DRAINING", "gone": "DELETED", "serve": "SERVING"}
ASKS = {"drain": signal.SIGUSR1, "reload": signal.SIGHUP, "stop": signal.SIGTERM, "kill": signal.SIGKILL}


@dataclass
class Gateway:
    """One gateway process."""

    number: int
    gate: Gate
    config: Path
    place: Place
    process: asyncio.subprocess.Process
    asked: str = ""  # drain, stop or kill

    @property
    def code(self) -> int | None:
        """Its exit code; None while it runs."""
        return self.process.returncode


def _row(count: int) -> list[socket.socket]:
    """Listeners at so many ports that follow each other, none of them in use before."""
    while True:
        row = [socket.create_server((HOST, 0))]
        port = row[0].getsockname()[1]
        with suppress(OSError, OverflowError):
            while len(row) < count:
                row.append(socket.create_server((HOST, port + len(row))))
            return row
        for held in row:
            held.close()


class Deployment:
    """A deployment of `gateways` instances, and the load on it."""

    def __init__(
        self, folder: Path, gateways: int, rate: float, seed: int, boxes: int = 0,
        edit: Callable[[str], str] = str, env: Mapping[str, str] | None = None, http: bool = False,
        link: Callable[[Listener, Box], BoxLink] = Resp2Link, workers: int = 0, takeover: bool = False,
        zones: int = 1, wires: bool = False, keyed: bool = False, links: bool = False,
    ) -> None:  # fmt: skip
        """`links`: instances hear each other; `takeover`: they do, and work in hand is kept at others, and
        clients come back for it; `zones` of instances;
        `wires`: what each says to each other passes through a stand-in that can fail.
        `edit` has the last word on operator files; `env` is added to the gateways' environment; `http`:
        each gateway has an HTTP front, too; `link`: what boxes speak; `workers`: of each gateway;
        `keyed`: the load has effects under keys, too."""
        self._edit, self._env = edit, {**os.environ, "PYTHONUNBUFFERED": "1", **(env or {})}
        self.folder, self.count, self.rate, self.seed = folder, gateways, rate, seed
        self.plans, self.classes = world.PLANS, world.ALL if keyed else world.CLASSES
        self.ledger = Ledger(self.plans)
        clock = Clock(asyncio.get_running_loop())
        self.box_faults, self.counter_faults = Faults(seed), Faults(seed + 1)
        self.registry_faults = Faults(seed + 2)
        self.counter = Counter(self.counter_faults, clock)
        self.registry = Registry(self.registry_faults, clock)
        self.boxes: list[Box] = []
        self._entries: dict[str, Entry] = {}  # of the boxes, as they are listed at first
        self.left: dict[str, float] = {}  # when a box was announced as leaving
        self.box_count, self._clock = boxes or files.boxes_for(rate, self.classes), clock
        self.gateways: list[Gateway] = []
        self._http, self._link, self._workers = http, link, workers
        self._takeover, self._zones, self._linked = takeover, zones, links or takeover
        self.wire_faults = Faults(seed + 3)
        self._wired = wires
        self.wires: dict[tuple[int, int], Wire] = {}  # by speaker and hearer
        self.links: list[tuple[str, int]] = []  # where instances hear each other, by gateway
        self.http_at: dict[int, tuple[str, int]] = {}  # by gateway
        self.counter_at: dict[int, tuple[str, int]] = {}  # gateways that call another counter
        self.front: Front
        self._logs: list[IO[bytes]] = []
        self._endings: set[asyncio.Future[None]] = set()

    async def start(self) -> None:
        """Start all, and wait until the front has taken in every gateway."""
        await self.counter.listener.open()
        await self.registry.listener.open()
        faults, clock = self.box_faults, self._clock
        self.boxes = await open_boxes(
            self.box_count, self.seed, world.WORK, self.ledger, faults, clock, link=self._link,
            keys=Keys(world.KEY_MEMORY), sender=self.ledger.sender,
        )  # fmt: skip
        self._entries = {box.name: entry(box.name, box.listener.address) for box in self.boxes}
        self.registry.put(*self._entries.values())
        # Held until all are drawn, so that no two gateways are given the same port.
        fronts = 1 + self._http
        holders = [socket.create_server((HOST, 0)) for _ in range(self.count * fronts)]
        addresses = [holder.getsockname()[:2] for holder in holders]
        if self._linked:
            rows = [_row(max(1, len(SIDES) * self._workers)) for _ in range(self.count)]
            self.links = [row[0].getsockname()[:2] for row in rows]
            holders += itertools.chain.from_iterable(rows)
        if self._wired:
            for pair in itertools.permutations(range(self.count), 2):
                wire = Wire(f"g{pair[0]}", f"g{pair[1]}", self.links[pair[1]], self.wire_faults, clock)
                await wire.listener.open(HOST)
                self.wires[pair] = wire
        for holder in holders:
            holder.close()
        if self._http:
            web.write(self.folder, self._link is not Resp2Link)
            self.http_at = dict(enumerate(addresses[self.count :]))
            addresses = addresses[: self.count]
        for number, address in enumerate(addresses):
            self.gateways.append(await self._launch(number, address))
        gates = [gateway.gate for gateway in self.gateways]
        self.front = Front(gates, self.ledger, self.seed, back=self._takeover)
        waiting = asyncio.ensure_future(self.front.ready())
        ends = [asyncio.ensure_future(gateway.process.wait()) for gateway in self.gateways]
        await asyncio.wait([waiting, *ends], return_when=asyncio.FIRST_COMPLETED)
        for end in ends:
            end.cancel()
        if not waiting.done():
            waiting.cancel()
            raise RuntimeError(f"a gateway ended at its start; its log is in {self.folder}")
        await waiting

    def write_file(self, number: int, address: tuple[str, int], more: str = "") -> Path:
        """Write an instance's operator file, with `more` at its end; its path."""
        counter_at = self.counter_at.get(number, self.counter.listener.address)
        places = (address, counter_at, self.registry.listener.address)
        listen, counter, discovery = (f"{host}:{port}" for host, port in places)
        path = self.folder / f"g{number}.toml"
        text = files.operator_file(
            self.folder, number, self.count, listen, discovery, counter, self.plans, self._workers,
            self.classes,
        )  # fmt: skip
        if number in self.http_at:
            text += web.table(self.folder, self.http_at[number])
        if self.links:
            wires = self.wires
            seen = [
                wires[number, n].listener.address if (number, n) in wires else place
                for n, place in enumerate(self.links)
            ]
            text += files.takeover_tables(number, self.links, self._zones, seen, self._takeover)
        path.write_text(self._edit(text) + more)
        return path

    async def _launch(self, number: int, address: tuple[str, int], more: str = "") -> Gateway:
        path = self.write_file(number, address, more)
        log = open(self.folder / f"g{number}.log", "ab")  # noqa: SIM115
        self._logs.append(log)
        words = ["-m", "lynxreel.cli.main", "serve", "--config", str(path)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env=self._env,
        )  # fmt: skip
        self._endings.add(asyncio.ensure_future(self._mark_end(number, process)))
        return Gateway(number, Gate(f"g{number}", address), path, Place(self.folder / f"g{number}"), process)

    async def _mark_end(self, number: int, process: asyncio.subprocess.Process) -> None:
        """Wires to an instance refuse connects from its end on, as its machine does."""
        for wire in self._to(number):
            wire.ended(False)
        await process.wait()
        for wire in self._to(number):
            wire.ended(True)

    def _to(self, number: int) -> list[Wire]:
        return [wire for pair, wire in self.wires.items() if pair[1] == number]

    async def add(self, more: str) -> Gateway:
        """Start one more instance, with `more` at the end of its file. Clients do not know of it."""
        number = len(self.gateways)
        with socket.create_server((HOST, 0)) as free:
            address = free.getsockname()[:2]
        gateway = await self._launch(number, address, more)
        self.gateways.append(gateway)
        return gateway

    async def restart(self, number: int) -> None:
        """Kill an instance and start it again at once, under its name and address."""
        self.do("kill", (number,))
        await self.gateways[number].process.wait()
        await self.start_again(number)

    async def start_again(self, number: int) -> Gateway:
        """Start an instance that has ended, under its name and address."""
        gateway = self.gateways[number]
        again = await self._launch(number, gateway.gate.address)
        gateway.process, gateway.asked = again.process, ""
        gateway.gate.dead = False  # what the dead one held has been reset
        return gateway

    def move_counter(self, numbers: tuple[int, ...], address: tuple[str, int]) -> None:
        """Have some gateways call a counter at another address from now on."""
        for number in numbers:
            self.counter_at[number] = address
            self.write_file(number, self.gateways[number].gate.address)
        self.do("reload", numbers)

    async def play(self, seconds: float) -> None:
        """Ask at the rate, for so long."""
        who = traffic.customers(self.seed, self.rate, self.plans, self.classes, self.count)
        await self.front.play(traffic.wishes(self.seed + 1, who, self.classes), seconds)

    def do(self, what: str, numbers: tuple[int, ...]) -> None:
        """Kill, drain, reload or stop some gateways at once; a kill ends their workers, too."""
        for number in numbers:
            gateway = self.gateways[number]
            if gateway.code is not None:
                continue
            if what == "kill":
                self.front.kill(gateway.gate.name)
            if what != "reload":
                gateway.asked = what
            gateway.process.send_signal(ASKS[what])
            if what == "kill":
                for worker in gateway.place.read().get("workers", ()):
                    with suppress(ProcessLookupError, KeyError):
                        os.kill(worker["pid"], signal.SIGKILL)

    async def act(self, deed: Deed) -> None:
        """Do it, and undo it when its span is over."""
        if deed.do in ASKS:
            self.do(deed.do, deed.gateways)
        elif deed.do == "restart":
            await asyncio.gather(*(self.restart(number) for number in deed.gateways))
        elif deed.do in LIFECYCLES:
            self.announce(deed.boxes, LIFECYCLES[deed.do])
        elif deed.do == "freeze":
            held = [gateway.process for gateway in self.gateways if gateway.number in deed.gateways]
            for number in (signal.SIGSTOP, signal.SIGCONT):
                for process in held:
                    if process.returncode is None:
                        process.send_signal(number)
                await asyncio.sleep(deed.span if number is signal.SIGSTOP else 0.0)
        elif deed.do == "list-silent":
            self.registry.hush()
        elif deed.do == "list-reset":
            self.registry.cut()
        else:
            self.registry.away = True
            await asyncio.sleep(deed.span)
            self.registry.come_back()

    def announce(self, boxes: Iterable[str], lifecycle: str) -> None:
        """Tell of some boxes, at one stroke."""
        at = asyncio.get_running_loop().time()
        self.registry.put(*[{**self._entries[name], "lifecycle": lifecycle} for name in boxes])
        for name in boxes:
            self.left[name] = at if lifecycle != "SERVING" else math.inf

    def after_leaving(self) -> float:
        """Seconds from an announcement that a box leaves to the last request that came to it."""
        spans = [at - self.left[box.name] for box in self.boxes if box.name in self.left for at in box.came]
        return max(0.0, *spans) if spans else 0.0

    def strike(self, faults: Iterable[tuple[str, Fault]]) -> None:
        """Switch faults on, by place; their times count from now."""
        places = {"boxes": self.box_faults, "counter": self.counter_faults, "list": self.registry_faults,
                  "wires": self.wire_faults}  # fmt: skip
        now = self._clock.now()
        for place, fault in faults:
            places[place].on(replace(fault, at=fault.at + now))

    async def stop(self, seconds: float = 20.0) -> None:
        """Stop what still runs, as an operator would; kill what has not ended in time."""
        self.do("stop", tuple(g.number for g in self.gateways if g.code is None and not g.asked))
        try:
            async with asyncio.timeout(seconds):
                for gateway in self.gateways:
                    await gateway.process.wait()
        except TimeoutError:
            self.do("kill", tuple(range(self.count)))
        finally:
            self.close()

    def internal_errors(self) -> dict[str, int]:
        """By gateway: exceptions that nothing expected, as its log tells, of those that had some."""
        logs = {path.stem: count_errors(path.read_text()) for path in self.folder.glob("g*.log")}
        return {name: count for name, count in sorted(logs.items()) if count}

    def close(self) -> None:
        """End all at once."""
        for gateway in self.gateways:
            if gateway.code is None:
                gateway.process.kill()
        if hasattr(self, "front"):
            self.front.close()
        listeners = [self.counter.listener, self.registry.listener]
        for listener in [*listeners, *(box.listener for box in self.boxes)]:
            listener.close()
        for ending in self._endings:
            ending.cancel()
        for wire in self.wires.values():
            wire.close()
        for log in self._logs:
            log.close()
