"""What the cases 6 to 10 share: a gateway as the deploy file starts it, and small stand-ins round it.

The stand-ins are asyncio servers of the case's own process: boxes (RESP2), discovery (HTTP), the counter (lines
of text) and clients. They do what the protocol page says, and keep no state beyond one run.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = f"127.94.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"  # where nothing else takes ports
Address = tuple[str, int]


class CannotRun(Exception):
    """The case could not be carried out: exit code 2."""


def pack(*words: str | bytes) -> bytes:
    """A RESP2 command."""
    items = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    with socket.socket(socket.AF_INET, kind) as own:
        own.bind((HOST, 0))
        address: Address = own.getsockname()
        return address


class Record:
    """record.txt in the case's folder: one line an event, with the seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def line(self, line: str, at: float | None = None) -> None:
        self._file.write(f"{self.now() if at is None else at:9.4f} {line}\n")

    def say(self, line: str) -> None:
        """Also to standard output."""
        self.line(line)
        print(line, flush=True)

    def close(self) -> None:
        self._file.close()


class Box:
    """A server. `work` tells how long a request takes and what is answered; by default 20 ms and its own value."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.arrived: list[tuple[float, bytes]] = []  # when a request had come whole, and its id
        self.work: Callable[[bytes], float] = lambda number: 0.02
        self.value: Callable[[bytes], bytes] = lambda number: b"done " + number
        self.address: Address = ("", 0)
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (words := await read_command(reader)) is not None:
                if words[0] not in (b"CALL.GET", b"CALL.POST"):
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-ERR unknown\r\n")
                    continue
                number = words[2]
                self.arrived.append((self.record.now(), number))
                self.record.line(f"run {number.decode()} at {self.name}")
                await asyncio.sleep(self.work(number))
                value = self.value(number)
                writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    head = await reader.readline()
    if not head:
        return None
    words = []
    for _ in range(int(head[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


class Discovery:
    """The agent: the whole list or a watch, an empty line every 2 s."""

    def __init__(self) -> None:
        self.generation = 1
        self.boxes: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._news = asyncio.Condition()
        self.address: Address = ("", 0)

    async def open(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]

    async def set(self, name: str, **given: Any) -> None:
        """Add or change an entry."""
        known = self.boxes.get(name) or {
            "instanceId": name, "zone": "room", "machineType": "std", "cell": 0,
            "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip
        self.boxes[name] = known | given
        self.generation += 1
        self._changed[name] = self.generation
        async with self._news:
            self._news.notify_all()

    def list(self, since: int = 0) -> dict[str, Any]:
        items = [box for name, box in self.boxes.items() if since == 0 or self._changed[name] > since]
        return {"generation": self.generation, "reset": since == 0, "instances": items}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
            if "watch=1" not in target:
                body = json.dumps(self.list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            told = int(target.rpartition("from=")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, self.list(told))
            told = self.generation
            while True:
                try:
                    async with asyncio.timeout(2.0), self._news:
                        await self._news.wait_for(lambda: self.generation > told)
                    self._line(writer, self.list(told))
                    told = self.generation
                except TimeoutError:
                    writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _line(writer: asyncio.StreamWriter, told: dict[str, Any]) -> None:
        line = json.dumps(told).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))


class Counter:
    """Adds in the order of the calls, and answers at once."""

    def __init__(self) -> None:
        self.address: Address = ("", 0)
        self._totals: dict[bytes, tuple[float, float]] = {}

    async def open(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.split()
                if words == [b"ping"]:
                    writer.write(b"pong\r\n")
                    continue
                now, name = time.monotonic(), words[1]
                total, until = self._totals.get(name, (0.0, 0.0))
                if now >= until:
                    total, until = 0.0, now + min(int(words[3]), 60_000) / 1e3
                self._totals[name] = (total + float(words[2]), until)
                writer.write(b"ok %.7g\r\n" % self._totals[name][0])
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def settings(fleet: int = 1, index: int = 0) -> dict[str, Any]:
    """A small deployment's settings; a case may change its copy."""
    return {
        "areas": ["room"], "kinds": ["std"], "fleetSize": fleet, "selfIndex": index, "zone": 0, "tickUs": 4000,
        "classes": [
            {"name": "lookup", "effect": "repeatable", "gain": 1.0, "goalTimeUs": 800_000,
             "giveUpUs": 2_000_000, "group": "all", "lateWorth": 0.0, "streamed": False, "windowUs": 5_000_000},
            {"name": "port-commit", "effect": "once", "gain": 3.0, "goalTimeUs": 1_500_000,
             "giveUpUs": 7_500_000, "group": "all", "lateWorth": 0.0, "streamed": False, "windowUs": 5_000_000},
        ],
        "packages": [{"name": "basic", "quotaRate": 10_000.0, "mostAtOnce": 20_000.0, "pays": 1.0}],
        "clients": {"marksRetry": False}, "registryMode": "automatic", "weights": "off",
        "extra": {"counter": True, "callPrice": 0.0, "countLimitUs": 50_000, "unitsTop": 4, "truedUp": False},
        "limits": {"connIdleUs": 15_000_000, "connectTimeoutUs": 250_000, "maxAttempts": 4,
                   "maxRetryAfterUs": 500_000, "mayCancel": True, "multiplex": 100, "peers": False,
                   "probing": True, "retryAfter": True, "secondCopies": True},
        "prices": {"handshake": 0.0}, "report": {"fields": ["util"], "via": "on_probe"},
        "safety": {"answerSlackUs": 16_000, "askWithinUs": 10_000_000, "coldFrom": 0.17, "coldUs": 15_000_000,
                   "fallUs": 2_000_000, "stopSendingWithinUs": 500_000, "tipMultiple": 2.0},
    }  # fmt: skip


class Rig:
    """One run of a case."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self.scratch = Path(tempfile.mkdtemp(prefix="lynxreel-case-"))
        self.discovery, self.counter = Discovery(), Counter()
        self.boxes: list[Box] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self._ids = itertools.count(1)

    async def open(self, boxes: int) -> None:
        await self.discovery.open()
        await self.counter.open()
        for number in range(boxes):
            box = Box(f"box-{number}", self.record)
            await box.open()
            self.boxes.append(box)
            await self.discovery.set(box.name, hostPort=text(box.address))

    def new_id(self) -> str:
        return f"{next(self._ids):016x}"

    def config(self, name: str, listen: Address, **given: Any) -> dict[str, Any]:
        return {
            "name": name, "listen": text(listen), "discovery": text(self.discovery.address), "seed": "8c1f30d2",
            "counter": text(self.counter.address),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.list(), "settings": settings(), **given,
        }  # fmt: skip

    def start(self, config: dict[str, Any], env: dict[str, str] | None = None, **more: Any) -> subprocess.Popen[bytes]:
        """A gateway by the deploy file's `run`."""
        number = len(self.processes)
        path, own = self.scratch / f"{number}.json", self.scratch / f"tmp{number}"
        path.write_text(json.dumps(config))
        own.mkdir(exist_ok=True)
        environment = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(own), **(env or {})}
        with (self.scratch / f"{number}.log").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", RUN], cwd=ROOT, env=environment, stdout=log, stderr=log, **more
            )
        self.processes.append(process)
        return process

    async def ready(self, process: subprocess.Popen[bytes], listen: Address) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if process.poll() is not None:
                raise CannotRun(f"the gateway has ended: {self.logs()}")
            try:
                reader, writer = await asyncio.open_connection(*listen)
                writer.write(pack("PING"))
                answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the gateway did not become ready")

    def logs(self) -> str:
        return "\n".join(path.read_text(errors="replace")[-3000:] for path in sorted(self.scratch.glob("*.log")))

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.line("the gateways' logs:\n" + self.logs())
        self.record.close()
        shutil.rmtree(self.scratch, ignore_errors=True)


def call(number: str, cls: str = "lookup", wait: int = 2000, customer: int = 77, more: str = "", body: str = "x") -> bytes:
    """A client's command."""
    terms = f"c={cls},t=basic,d={wait},units=1,spread=1,first=0{more}"
    if cls == "port-commit":
        return pack("CALL.POST", f"{customer:016x}", number, terms, body)
    return pack("CALL.GET", f"{customer:016x}", number, terms)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """One answer: an error line, or a bulk string with its `$` line cut off. EOFError at the connection's end."""
    try:
        line = await reader.readuntil(b"\r\n")
        if line[:1] != b"$":
            return line[:-2]
        return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]
    except asyncio.IncompleteReadError as error:
        raise EOFError(f"the connection ended after {len(error.partial)} bytes") from None


def main(folder: str, case: Callable[[Rig], Awaitable[bool]]) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def run() -> int:
        rig = Rig(Path(folder))
        try:
            async with asyncio.timeout(115):
                broken = await case(rig)
            rig.record.say("the rule was broken" if broken else "the rule held")
            return int(broken)
        except Exception as error:  # whatever it is, it is no broken rule
            rig.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            rig.close()

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)  # not through the ends of connections whose loop has gone
