"""Stand-ins and process control for the cases of this review. Standard library only, loopback only.

A small deployment: boxes (RESP2 servers), a counter, discovery as an agent that pushes its list, and gateways
that are started with the `run` command of the deploy file. Every stand-in runs in this one process; the
gateways are processes of their own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, UNABLE = 1, 0, 2


class CannotRun(Exception):
    """The case could not be played: this says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f}  {text}\n")
        self._file.flush()


def free_port() -> int:
    """A port of 127.0.0.1 below the range that the system gives to outgoing connections, if there is one."""
    for port in range(20000 + os.getpid() % 180 * 64, 32700):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            if port not in _given:
                _given.add(port)
                return port
    raise CannotRun("no free port")


_given: set[int] = set()


def pack(*words: bytes) -> bytes:
    """A RESP2 array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """One whole answer for a client, without its length line; EOFError where the connection ends before it."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError
    if line[:1] != b"$":
        return line[:-2]
    try:
        body = await reader.readexactly(int(line[1:]) + 2)
    except asyncio.IncompleteReadError:
        raise EOFError from None
    return b"$" + body[:-2]


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """One command; None at the end of the connection."""
    try:
        line = await reader.readline()
        if not line.startswith(b"*"):
            return None
        words = []
        for _ in range(int(line[1:])):
            size = int((await reader.readline())[1:])
            words.append((await reader.readexactly(size + 2))[:-2])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return words


Behaviour = Callable[["Box", list[bytes], asyncio.StreamWriter], Awaitable[None]]


class Box:
    """A server. `behave` answers one command; requests on a connection are answered in their order."""

    def __init__(self, name: str, behave: Behaviour, record: Record, work: float = 0.08) -> None:
        self.name, self.behave, self.record, self.work = name, behave, record, work
        self.port = free_port()
        self.got: dict[str, list[str]] = {}  # id of a request -> boxes' names, once for each time it has come
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 17)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (words := await read_command(reader)) is not None:
                if words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                elif words[0] in (b"CALL.GET", b"CALL.POST"):
                    number = words[2].decode()
                    self.got.setdefault(number, []).append(self.name)
                    self.record(f"box {self.name}: {words[0].decode()} {number} has come ({words[3].decode()})")
                    await self.behave(self, words, writer)
                else:
                    writer.write(b"-ERR unknown\r\n")
        self.writers.discard(writer)
        writer.close()

    def answer(self, words: list[bytes], writer: asyncio.StreamWriter, value: bytes) -> None:
        """Serve a request. Answers hold no load report: these settings have it in probes only."""
        self.record(f"box {self.name}: serves {words[2].decode()} with {len(value)} bytes")
        writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))


async def plain(box: Box, words: list[bytes], writer: asyncio.StreamWriter) -> None:
    """A sound box: it works for a while, and serves the id of the request."""
    await asyncio.sleep(box.work)
    box.answer(words, writer, b"value of " + words[2])


class Counter:
    """The platform's counter."""

    def __init__(self) -> None:
        self.port = free_port()
        self.totals: dict[str, tuple[float, float]] = {}

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                words = line.decode().split()
                if words == ["ping"]:
                    writer.write(b"pong\r\n")
                    continue
                _, name, amount, life = words
                now = time.monotonic()
                total, until = self.totals.get(name, (0.0, 0.0))
                if now >= until:
                    total, until = 0.0, now + min(60_000, int(life)) / 1e3
                self.totals[name] = (total + float(amount), until)
                writer.write(b"ok %.7g\r\n" % (total + float(amount)))
        writer.close()


class Discovery:
    """The agent on the gateways' machine: it answers at once, and pushes changes to those who watch."""

    def __init__(self, boxes: list[Box]) -> None:
        self.port = free_port()
        self.generation = 41
        self.entries = {box.name: self.entry(box.name, box.port) for box in boxes}
        self._watchers: set[asyncio.StreamWriter] = set()

    @staticmethod
    def entry(name: str, port: int, lifecycle: str = "SERVING", started: int = 0) -> dict[str, Any]:
        return {
            "instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": "opole-room", "machineType": "box-std",
            "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started,
        }  # fmt: skip

    def whole(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    @staticmethod
    def _chunk(data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.whole()).encode() + b"\n"
            if b"watch=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + self._chunk(body))
                self._watchers.add(writer)
                while not writer.is_closing() and not reader.at_eof():
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(2.0):
                            if not await reader.read(100):
                                break
                    writer.write(self._chunk(b"\n"))
        self._watchers.discard(writer)
        writer.close()

    def change(self, *entries: dict[str, Any]) -> None:
        """Push a change."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
        line = json.dumps({"generation": self.generation, "reset": False, "instances": list(entries)})
        for writer in self._watchers:
            writer.write(self._chunk(line.encode() + b"\n"))


def settings(index: int, fleet: int) -> dict[str, Any]:
    """Like those of a day at porting-opole: its classes and plans, with figures from its ranges."""
    return {
        "areas": ["opole-room"], "kinds": ["box-std", "box-slow"], "family": "gate", "fleetSize": fleet,
        "selfIndex": index, "tier": 0, "zone": 0, "stages": ["port-fleet"], "tickUs": 4000, "weights": "off",
        "registryMode": "automatic", "clients": {"marksRetry": False},
        "classes": [
            {"name": "lookup", "effect": "repeatable", "gain": 1.0, "giveUpUs": 2_000_000, "goalTimeUs": 800_000,
             "group": "all", "lateWorth": 0.0, "streamed": False, "windowUs": 5_000_000},
            {"name": "port-commit", "effect": "once", "gain": 3.0, "giveUpUs": 7_500_000, "goalTimeUs": 1_500_000,
             "group": "all", "lateWorth": 0.0, "streamed": False, "windowUs": 5_000_000},
        ],
        "extra": {"callPrice": 0.02, "countLimitUs": 50_000, "counter": True, "meterUs": 0, "peerIntake": 60.0,
                  "truedUp": False, "unitsTop": 4},
        "limits": {"connIdleUs": 15_000_000, "connectTimeoutUs": 250_000, "cpuUsPerRequest": 0.0,
                   "cpuUsPerS": 400_000, "maxAttempts": 4, "maxRetryAfterUs": 500_000, "mayCancel": True,
                   "mostHeld": 26404, "multiplex": 100, "peers": True, "probing": True, "retryAfter": True,
                   "secondCopies": True},
        "objectiveMix": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.25},
        "packages": [
            {"name": "basic", "quotaRate": 1.6, "mostAtOnce": 8.0, "pays": 0.88, "beyondEarns": 0.0,
             "overCost": 1.2, "concurrency": 0, "neverOverRate": 0.0, "ceilingBurst": 0.0, "hardSlack": 0.0},
            {"name": "standard", "quotaRate": 3.2, "mostAtOnce": 15.0, "pays": 1.2, "beyondEarns": 0.2,
             "overCost": 0.0, "concurrency": 0, "neverOverRate": 0.0, "ceilingBurst": 0.0, "hardSlack": 0.0},
            {"name": "carrier", "quotaRate": 13.0, "mostAtOnce": 37.0, "pays": 1.8, "beyondEarns": 0.0,
             "overCost": 0.8, "concurrency": 0, "neverOverRate": 30.0, "ceilingBurst": 88.0, "hardSlack": 9.0},
        ],
        "prices": {"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.03, "moves": 0.0,
                   "origin": 0.0, "peer": 0.03, "probe": 0.01, "registryMode": 0.0, "waste": 0.03},
        "report": {"fields": ["util"], "via": "on_probe"},
        "safety": {"answerSlackUs": 16_000, "askWithinUs": 10_000_000, "coldFrom": 0.17, "coldUs": 15_000_000,
                   "fallUs": 2_000_000, "stopSendingWithinUs": 500_000, "tipMultiple": 2.0},
    }  # fmt: skip


class Gateway:
    """One gateway process, started as the platform starts it."""

    def __init__(self, rig: Rig, index: int, fleet: int) -> None:
        self.rig, self.index, self.fleet = rig, index, fleet
        self.port, self.peer_port, self.operator_port = free_port(), free_port(), free_port()
        self.process: asyncio.subprocess.Process

    def config(self) -> dict[str, Any]:
        rig = self.rig
        return {
            "name": f"n{self.index}", "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{rig.discovery.port}", "seed": f"{1000 + self.index:016x}",
            "limits": {"cores": 1.0, "memory_mb": rig.memory_mb, "sockets": rig.sockets},
            "peer_listen": f"127.0.0.1:{self.peer_port}",
            "peers": [f"127.0.0.1:{gateway.peer_port}" for gateway in rig.gateways],
            "peers_all": "127.0.0.1:1", "counter": f"127.0.0.1:{rig.counter.port}",
            "operator": f"127.0.0.1:{self.operator_port}",
            "known": rig.discovery.whole(), "settings": rig.adapt(settings(self.index, self.fleet)),
        }  # fmt: skip

    async def start(self) -> None:
        """Start it and wait until it answers PING, as the front does."""
        place = self.rig.folder / f"n{self.index}"
        place.mkdir(exist_ok=True)
        (place / "config.json").write_text(json.dumps(self.config()))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""), "EDGE_CONFIG": str(place / "config.json"),
            "EDGE_NAME": f"n{self.index}", "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_DISCOVERY": f"127.0.0.1:{self.rig.discovery.port}", "TMPDIR": str(place),
        }  # fmt: skip
        with (place / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.rig.processes.append(self.process)
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.returncode is not None:
                raise CannotRun(f"gateway {self.index} has ended: {(place / 'log').read_text()[-500:]}")
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(pack(b"PING"))
                answer = await read_reply(reader)
                writer.close()
                if answer == b"+PONG":
                    self.rig.record(f"gateway n{self.index} is ready, process {self.process.pid}")
                    return
        raise CannotRun(f"gateway {self.index} does not get ready")

    @property
    def log(self) -> str:
        return (self.rig.folder / f"n{self.index}" / "log").read_text()

    async def call(self, line: bytes) -> bytes:
        """An operator's call; its answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.operator_port)
        writer.write(line + b"\r\n")
        answer = await reader.readline()
        writer.close()
        self.rig.record(f"operator to n{self.index}: {line.decode()} -> {answer.decode().strip()}")
        return answer.strip()

    def memory_mb(self) -> float:
        """Its own memory in MB of 2^20 bytes: without the files that it has mapped, and without sockets' buffers."""
        with contextlib.suppress(FileNotFoundError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Rig:
    """The deployment of one case."""

    memory_mb, sockets = 192, 1024  # as on the days that are scored

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[asyncio.subprocess.Process] = []
        self.boxes: list[Box] = []
        self.gateways: list[Gateway] = []
        self.counter = Counter()
        self.adapt: Callable[[dict[str, Any]], dict[str, Any]] = lambda told: told
        self.record("with the disruption" if self.trouble else "without the disruption (TROUBLE=0)")

    def add_boxes(self, number: int, behave: Behaviour = plain, work: float = 0.08) -> None:
        self.boxes += [Box(f"s-{len(self.boxes) + n}", behave, self.record, work) for n in range(number)]

    async def start(self, gateways: int) -> None:
        self.discovery = Discovery(self.boxes)
        for part in (*self.boxes, self.counter, self.discovery):
            await part.open()
        self.gateways += [Gateway(self, index, gateways) for index in range(gateways)]
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        await asyncio.sleep(0.5)

    def end(self) -> None:
        """Kill what was started, and remove the temporary folder."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
        for place in self.folder.glob("*/*"):
            place.unlink()
        for place in self.folder.glob("*"):
            place.rmdir()
        self.folder.rmdir()


def play(file: str, case: Callable[[Rig], Awaitable[list[str]]]) -> None:
    """Run one case: it returns the breaks that it has seen. Ends this process with the case's exit code."""
    rig = Rig(Path(file).resolve().parent)

    async def run() -> int:
        # Connections that are still open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            async with asyncio.timeout(110):
                broken = await case(rig)
        except (CannotRun, TimeoutError, OSError) as wrong:
            rig.record(f"the case could not run: {wrong!r}")
            return UNABLE
        finally:
            for gateway in rig.gateways:
                with contextlib.suppress(OSError):
                    for line in gateway.log.splitlines()[-40:]:
                        rig.record(f"log of n{gateway.index}: {line}")
            rig.end()
        for text in broken:
            rig.record(f"BROKEN: {text}")
        rig.record(f"verdict: {'broken' if broken else 'held'}")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
