"""The platform's program between SIGTERM and SIGKILL, while its servers accept requests and never answer."""

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from lynxreel.__main__ import ANSWER_MARGIN
from tests import test_process
from tests.net import LOCAL, resp, run

SERVERS = 8
SETUP_TIME = 0.1  # seconds before SIGTERM in which connections are opened
KILL_MARGIN = 0.7  # seconds beyond the longest deadline after which the platform kills, by the protocol page
MAX_DEADLINE = 3.0  # seconds; longer deadlines count as this
STALL = 0.15  # seconds that a process may stall


class HangingServers:
    """Servers that read requests and never answer; they record those that have arrived complete."""

    def __init__(self) -> None:
        self.received: set[bytes] = set()
        self.ports: list[int] = []
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        for _ in range(SERVERS):
            server = await asyncio.start_server(self._serve, LOCAL, 0)
            self._servers.append(server)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while words := await read_command(reader):
                self.received.add(words[2])
        writer.close()

    def close(self) -> None:
        for server in self._servers:
            server.close()


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the strings of the next command; none at the end of the connection."""
    if not (head := await reader.readline()):
        return []
    words = []
    for _ in range(int(head[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:length])
    return words


@dataclass
class Connection:
    """A client's connection: the requests written on it in full, and the answers received."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests: list[bytes] = field(default_factory=list)
    answers: list[bytes] = field(default_factory=list)
    ended: str = ""  # "closed" or "reset", once it has ended

    @classmethod
    async def open(cls, port: int) -> "Connection":
        return cls(*await asyncio.open_connection(test_process.GATEWAY, port))

    def ask(self, request: bytes, text: bytes) -> None:
        if not self.ended:
            self.requests.append(request)
            self.writer.write(text)

    async def read_answers(self) -> None:
        """Read answers until the connection has ended; then close it, as clients do."""
        try:
            while line := await self.reader.readline():
                if line != b"+PONG\r\n":
                    self.answers.append(line)
            self.ended = "closed"
        except ConnectionError:
            self.ended = "reset"
        self.writer.close()

    @property
    def unanswered(self) -> list[bytes]:
        """Requests without an answer; answers come in the order of requests."""
        return self.requests[len(self.answers) :]


def order(request: bytes, deadline: float) -> bytes:
    """Return a request of the unsafe class."""
    terms = b"c=order,t=basic,d=%d" % (deadline * 1e3)
    return resp(b"CALL.POST", b"0" * 14 + b"ab", request, terms, b"body")


def configuration(deadline: float, ports: list[int], discovery: int, listen: int) -> str:
    """Return the configuration of one gateway before these servers, with one unsafe class."""
    document = test_process.config(discovery, 9, listen)
    entry = {
        **test_process.NAMED["classes"][0], "name": "order", "effect": "once",
        "giveUpUs": int(deadline * 1e6), "goalTimeUs": int(deadline * 1e6),
    }  # fmt: skip
    document["settings"] = {
        **test_process.NAMED, "classes": [entry], "fleetSize": 1, "unknown": [1], "extra": {"counter": False},
        "packages": [{"name": "basic", "quotaRate": 0.0, "mostAtOnce": 0.0, "neverOverRate": 0.0}],
    }  # fmt: skip
    document["known"]["instances"] = [
        {"instanceId": f"s-{port}", "hostPort": f"{LOCAL}:{port}", "lifecycle": "SERVING", "startedAtMs": 0}
        for port in ports
    ]
    return json.dumps(document)


class Shutdown:
    """Stops one gateway while clients send requests on connections of each kind."""

    def __init__(self, folder: Path, deadline: float, stalled: bool = False, shared: bool = False) -> None:
        """`stalled`: the process stalls twice; `shared`: the platform holds the clients' listener."""
        self.folder, self.deadline, self.stalled, self.shared = folder, deadline, stalled, shared
        self.kill_after = min(deadline, MAX_DEADLINE) + KILL_MARGIN
        self.servers = HangingServers()
        self.connections: dict[str, Connection] = {}
        self._readers: list[asyncio.Task[None]] = []

    async def play(self) -> None:
        """Run the gateway from its start to SIGKILL."""
        await self.servers.start()
        discovery = await asyncio.start_server(self._send_no_change, LOCAL, 0)
        held = socket.create_server((test_process.GATEWAY, 0))
        listen = held.getsockname()[1]
        if not self.shared:
            held.close()
        port = discovery.sockets[0].getsockname()[1]
        text = configuration(self.deadline, self.servers.ports, port, listen)
        with held, test_process.start(self.folder, text, held if self.shared else None) as process:
            with test_process.connect(listen, process) as first:
                first.sendall(resp(b"PING"))
                assert first.recv(64) == b"+PONG\r\n"
            await self._open(listen)
            stopped = time.monotonic()
            stalls = [asyncio.create_task(self._stall(process, at)) for at in self._stalls()]
            await asyncio.sleep(0)  # a stall at time 0 begins before the signal
            process.send_signal(signal.SIGTERM)
            await self._ask_until(stopped + self.kill_after)
            self.code = process.poll()
            process.kill()
            await asyncio.gather(*stalls)
            self.log = process.communicate()[1].decode()
        await asyncio.gather(*self._readers)
        discovery.close()
        self.servers.close()

    @staticmethod
    async def _send_no_change(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        await reader.read()  # until the gateway ends
        writer.close()

    def _stalls(self) -> list[float]:
        """When the process stalls: before it handles SIGTERM, and before it answers what is left."""
        return [0.0, self.kill_after - ANSWER_MARGIN + STALL / 2] if self.stalled else []

    @staticmethod
    async def _stall(process: subprocess.Popen[bytes], at: float) -> None:
        """Pause the process for as long as a stall may last."""
        await asyncio.sleep(at)
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(STALL)
            process.send_signal(signal.SIGCONT)

    async def _open(self, port: int) -> None:
        names = ["busy", *(f"{kind}-{number}" for kind in ("new", "resting", "half") for number in range(10))]
        for name in names:
            connection = self.connections[name] = await Connection.open(port)
            self._readers.append(asyncio.create_task(connection.read_answers()))
            if name.startswith("resting"):
                connection.writer.write(resp(b"PING"))
            if name.startswith("half"):
                connection.writer.write(self._order(name)[:20])
        self.connections["busy"].ask(b"busy-first", order(b"busy-first", self.deadline))
        await asyncio.sleep(SETUP_TIME)

    def _order(self, name: str) -> bytes:
        return order(name.encode(), self.deadline)

    async def _ask_until(self, end: float) -> None:
        """Ten times, send requests on the busy connection and on one connection of each other kind."""
        step = (end - time.monotonic()) / 10
        for number in range(10):
            request = f"busy-{number}"
            self.connections["busy"].ask(request.encode(), self._order(request))
            for kind in ("new", "resting", "half"):
                name = f"{kind}-{number}"
                written = 20 if kind == "half" else 0
                self.connections[name].ask(name.encode(), self._order(name)[written:])
            await asyncio.sleep(step)
        await asyncio.sleep(end - time.monotonic())

    @property
    def lost(self) -> list[bytes]:
        """Requests that a server received and whose client got no answer."""
        unanswered = [request for c in self.connections.values() for request in c.unanswered]
        return [request for request in unanswered if request in self.servers.received]


@pytest.mark.parametrize("stalled", [False, True], ids=["", "held up"])
@pytest.mark.parametrize("deadline", [0.3, 0.8, 3.0, 21.566])
def test_forwarded_requests_are_answered_before_the_kill(
    tmp_path: Path, deadline: float, stalled: bool
) -> None:
    """Deadlines shorter and longer than the platform waits. `stalled`: the process stalls twice."""
    check(Shutdown(tmp_path, deadline, stalled))


def test_the_old_process_of_an_upgrade_answers_all_before_its_kill(tmp_path: Path) -> None:
    """It accepts no connections from SIGTERM on, as another process does."""
    check(Shutdown(tmp_path, 0.8, shared=True))


def check(shutdown: Shutdown) -> None:
    """Run it, and check what became of each request and connection."""
    run(shutdown.play)
    assert not shutdown.lost, shutdown.log
    assert shutdown.code == 0, shutdown.log  # it exited by itself
    assert {connection.ended for connection in shutdown.connections.values()} == {"closed"}
    answers = {answer[:5] for connection in shutdown.connections.values() for answer in connection.answers}
    assert answers == {b"-ERR ", b"-BUSY"}, shutdown.log  # failed where it may have run, else refused
    # A connection may be closed after its last answer while one more request is in transit.
    assert all(len(connection.unanswered) <= 1 for connection in shutdown.connections.values())
