"""Values that are forwarded while they arrive: the budget alone, and streams between real sockets."""

import asyncio
import fcntl
import random
import select
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lynxreel.backends.pools import Servers
from lynxreel.backends.resp2 import Resp2
from lynxreel.engine.engine import Attempt, Engine
from lynxreel.fronts.resp2 import Resp2Front
from lynxreel.protocol.resp import MAX_STREAM
from lynxreel.relay.budget import MIN_READ, Budget
from lynxreel.relay.stream import Stream
from mothgap.interface import Member, Result, State
from tests.helpers import SETTINGS
from tests.net import LOCAL, TERMS, EngineStandIn, ScriptedServer, call, drain_times, run

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
LARGE = MAX_STREAM
TAIL = b"\r\n$-1\r\n$8\r\nutil=0.5\r\n"


@given(st.lists(st.tuples(st.integers(0, 7), st.floats(0, 1), st.booleans()), max_size=200))
def test_no_more_than_the_budget_is_buffered_and_no_stream_starves(
    steps: list[tuple[int, float, bool]],
) -> None:
    budget, buffered = Budget(64 * 1024), dict[int, int]()
    for stream, part, closes in steps:
        if stream not in buffered:
            budget.open(stream)
            buffered[stream] = 0
        elif closes:
            budget.close(stream)
            del buffered[stream]
        else:
            buffered[stream] += int(budget.allowance(stream) * part)
            budget.set_buffered(stream, buffered[stream])
            if part < 0.3:
                buffered[stream] = int(buffered[stream] * part)
                budget.set_buffered(stream, buffered[stream])
        assert budget.buffered == sum(buffered.values()) <= budget.limit + MIN_READ * len(buffered)
        for number, size in buffered.items():
            assert size or budget.allowance(number) >= MIN_READ


def test_the_rest_of_a_share_is_not_read_in_tiny_pieces() -> None:
    budget = Budget(1 << 20)
    budget.open("a")
    budget.set_buffered("a", budget.read_size - MIN_READ + 1)
    assert budget.allowance("a") == 0
    budget.set_buffered("a", budget.read_size - MIN_READ)
    assert budget.allowance("a") == MIN_READ


def test_a_single_stream_with_its_share_buffered_reads_nothing_until_some_is_written() -> None:
    budget = Budget(1 << 20)
    budget.open("a")
    budget.set_buffered("a", budget.allowance("a"))
    assert budget.allowance("a") == 0
    budget.set_buffered("a", 10)
    assert budget.allowance("a") > 0


class DirectEngine(EngineStandIn):
    """In place of the engine: each call is one attempt, and the result of that is the answer."""

    servers: Servers
    is_closed: Callable[[Attempt], bool] = staticmethod(lambda attempt: False)

    def submit(self, got: Any) -> int:
        number = super().submit(got)
        open_request = SimpleNamespace(call=got)
        self.servers.send(Attempt(number, 0, "s-1", cast(Any, open_request), 0), 5_000_000)
        return number

    def finished(
        self, attempt: Attempt, result: Result, value: bytes | Stream = b"", load: tuple[float, ...] = ()
    ) -> None:
        self.ended.put_nowait((attempt.request, result, b"", load))
        if isinstance(value, Stream) and self.is_closed(attempt):
            value.release()
        elif result is Result.OK:
            attempt.call.served(value)
        else:
            attempt.call.failed()


class Rig:
    """A listener for clients, connection pools, and a server that the test controls."""

    def __init__(self, peer: ScriptedServer, budget: int) -> None:
        loop = asyncio.get_running_loop()
        self.peer, self.budget, self.engine = peer, Budget(budget), DirectEngine()
        engine = cast(Engine, self.engine)
        self.servers = self.engine.servers = Servers(
            engine, SETTINGS, 60_000_000, 64, loop, Resp2(), self.budget
        )
        self.servers.update([(Member("s-1", State.READY), (LOCAL, peer.port))], True)
        self.clients = Resp2Front(engine, TERMS, 64, loop)

    async def client(self) -> Streams:
        return await asyncio.open_connection(LOCAL, self.clients.port, limit=1 << 23)


def run_scenario(scenario: Callable[[Rig], Awaitable[None]], budget: int = 1 << 20) -> None:
    async def start() -> None:
        async with ScriptedServer() as peer:
            rig = Rig(peer, budget)
            await rig.clients.listen(LOCAL, 0)
            await scenario(rig)
            for connection in list(rig.clients.connections):
                connection.transport.abort()
            rig.servers.close()

    run(start)


def value(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


def head(size: int) -> bytes:
    return b"*3\r\n$%d\r\n" % size


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("size", [64 * 1024, 64 * 1024 + 1, LARGE])
def test_a_value_split_anywhere_arrives_complete_and_its_connection_is_reused(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("lynxreel.backends.pools.REUSE_DELAY", 0.0)

    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        rng, sent = random.Random(size), value(size)
        for number in range(2):
            writer.write(call(number))
            server, _ = await rig.peer.receive()
            answer = head(size) + sent + TAIL
            while answer:
                cut = rng.choice([1, 2, 3, 1_000, 100_000, 300_000])
                server.write(answer[:cut])
                await server.drain()
                answer = answer[cut:]
            expected = b"$%d\r\n%b\r\n" % (size, sent)
            assert await reader.readexactly(len(expected)) == expected
            assert (await rig.engine.ended.get())[1] is Result.OK
        assert len(rig.peer.writers) == 1
        assert (len(rig.budget), rig.budget.buffered) == (0, 0)
        assert not rig.clients.table.streams

    run_scenario(scenario)


def test_first_bytes_are_sent_before_the_rest_arrives_and_the_last_after_the_whole_answer() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        sent = value(100_000)
        server.write(head(len(sent)) + sent[:10])
        assert await reader.readexactly(19) == b"$100000\r\n" + sent[:10]
        server.write(sent[10:] + TAIL[:-1])
        assert await reader.readexactly(99_990) == sent[10:]
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.05)
        server.write(TAIL[-1:])
        assert await reader.readexactly(2) == b"\r\n"

    run_scenario(scenario)


def test_clients_that_do_not_read_pause_the_servers_and_use_no_more_memory() -> None:
    async def scenario(rig: Rig) -> None:
        slow = [await rig.client() for _ in range(12)]
        for _, writer in slow:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        await wait_until(lambda: len(rig.clients.connections) == 12)
        for connection in rig.clients.connections:  # the system must not take a whole value
            own = connection.transport.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        sent = value(LARGE)
        for number, (_, writer) in enumerate(slow):
            writer.write(call(number))
            server, _ = await rig.peer.receive()
            server.write(head(LARGE) + sent + TAIL)
        await wait_until(lambda: len(rig.budget) == 12)
        await asyncio.sleep(0.3)
        buffered = sum(c.transport.get_write_buffer_size() for c in rig.clients.connections)
        assert 0 < buffered <= rig.budget.limit + 12 * MIN_READ
        assert rig.budget.buffered <= rig.budget.limit + 12 * MIN_READ
        for reader, writer in slow:
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert await reader.readexactly(LARGE + 12) == b"$%d\r\n%b\r\n" % (LARGE, sent)
        assert rig.budget.buffered == 0

    run_scenario(scenario, budget=128 * 1024)


@pytest.mark.parametrize(
    ("size", "rest"),
    [
        (100_000, b"x" * 50_000),
        (100_000, b"x" * 100_000 + b"yy"),
        (100_000, b"x" * 100_000 + b"\r\n$-1\r\n!"),
    ],
    ids=["breaks off", "does not fit its length", "goes on with noise"],
)
def test_a_client_can_detect_a_value_that_is_incomplete_or_invalid_at_its_end(size: int, rest: bytes) -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        server.write(head(size) + rest[:1_000])
        await wait_until(lambda: bool(rig.clients.table.streams))
        writer.write(call(2))
        server.write(rest[1_000:])
        if len(rest) < size:
            await server.drain()
            server.close()
        got = b""
        try:
            while data := await reader.read(1 << 16):
                got += data
        except ConnectionError:
            pass
        assert got.startswith(b"$100000\r\nx") or not got
        assert len(got) <= size + 9  # never the two bytes that would complete it, nor another answer
        await wait_until(lambda: len(rig.budget) == 0)

    run_scenario(scenario)


@pytest.mark.parametrize("size", [MAX_STREAM + 1, 3_000_000_000])
def test_a_value_over_the_size_limit_is_no_answer(size: int) -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        server.write(head(size) + b"x" * 1_000)
        assert await reader.readline() == b"-ERR failed\r\n"
        assert (await rig.engine.ended.get())[1] is Result.ERROR

    run_scenario(scenario)


def test_a_client_that_disconnects_in_the_middle_closes_the_connection_to_the_server() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        server.write(head(LARGE) + b"x" * 200_000)
        await reader.readexactly(1_000)
        writer.transport.abort()
        assert await rig.peer.receive() == (server, b"")
        await wait_until(lambda: len(rig.budget) == 0)
        assert rig.servers.open == 0

    run_scenario(scenario)


def test_a_value_whose_request_is_closed_when_it_starts_is_abandoned() -> None:
    async def scenario(rig: Rig) -> None:
        rig.engine.is_closed = lambda attempt: True
        _, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        server.write(head(LARGE) + b"x" * 200_000)
        assert await rig.peer.receive() == (server, b"")
        assert (len(rig.budget), rig.servers.open) == (0, 0)

    run_scenario(scenario)


def test_a_large_value_waits_for_earlier_answers_within_the_budget_and_answers_keep_their_order() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        first, _ = await rig.peer.receive()
        writer.write(call(2))
        second, _ = await rig.peer.receive()
        writer.write(call(3))
        third, _ = await rig.peer.receive()
        sent = value(1_000_000)
        second.write(head(len(sent)) + sent + TAIL)
        third.write(b"*3\r\n$1\r\nz" + TAIL)
        await wait_until(lambda: rig.budget.buffered > 0)
        await asyncio.sleep(0.05)
        assert rig.budget.buffered <= rig.budget.limit
        first.write(b"*3\r\n$1\r\ny" + TAIL)
        expected = b"$1\r\ny\r\n$1000000\r\n" + sent + b"\r\n$1\r\nz\r\n"
        assert await reader.readexactly(len(expected)) == expected

    run_scenario(scenario, budget=128 * 1024)


def has_ended(server: asyncio.StreamWriter, rig: Rig) -> bool:
    """Whether the gateway's system knows that this connection of the server has ended."""
    port = server.get_extra_info("peername")[1]
    for connection in rig.servers._pools["s-1"].all:
        assert connection.transport is not None
        sock = connection.transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        if sock.getsockname()[1] == port:
            return bool(poll.poll(0))
    return True


async def ask(rig: Rig, writer: asyncio.StreamWriter, count: int) -> list[asyncio.StreamWriter]:
    """Write so many calls; returns the servers' sides of their connections, in order."""
    servers = []
    for number in range(count):
        writer.write(call(number))
        servers.append((await rig.peer.receive())[0])
    return servers


def reset(server: asyncio.StreamWriter) -> None:
    """End a connection so that its peer's system is told at once, whatever that has not read."""
    server.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    server.transport.abort()


@pytest.mark.parametrize(
    ("end", "budget"),
    [
        ("reset", 1 << 20),
        ("closed", 1 << 20),
        ("spoilt", 1 << 20),
        ("reset", 16 * 1024),  # little of it is read before its turn
        ("closed", 16 * 1024),
    ],
)
def test_a_value_that_breaks_before_its_turn_fails_alone(end: str, budget: int) -> None:
    # Guards against losing the answers behind a value that is begun though it is known to be broken.
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 4)
        servers[1].write(head(100_000) + value(60_000))
        for server in servers[2:]:
            server.write(b"*3\r\n$1\r\nz" + TAIL)
        await wait_until(lambda: rig.engine.ended.qsize() == 3)
        if end == "reset":
            reset(servers[1])
        elif end == "closed":
            servers[1].close()
        else:
            servers[1].write(value(40_000) + b"no end of a value")
        await wait_until(lambda: has_ended(servers[1], rig))
        servers[0].write(b"*3\r\n$1\r\ny" + TAIL)
        expected = b"$1\r\ny\r\n-ERR failed\r\n$1\r\nz\r\n$1\r\nz\r\n"
        assert await reader.readexactly(len(expected)) == expected
        assert (len(rig.budget), rig.budget.buffered) == (0, 0)
        writer.write(call(9))
        command = b""
        while not command:  # not the end of the broken connection
            server, command = await rig.peer.receive()
        server.write(b"*3\r\n$1\r\nw" + TAIL)
        assert await reader.readexactly(7) == b"$1\r\nw\r\n"

    run_scenario(scenario, budget)


@pytest.mark.parametrize("end", ["closed", "reset"])
def test_a_whole_value_whose_server_has_ended_arrives_though_most_of_it_was_not_read_before(end: str) -> None:
    # Guards against failing sound values: that a server has ended doesn't tell that something is missing.
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 2)
        sent = value(68_000)  # what is not read fits into the receiver's buffer
        servers[1].write(head(len(sent)) + sent + TAIL)
        sock = servers[1].get_extra_info("socket")
        await wait_until(lambda: unsent_bytes(sock) == 0)
        if end == "closed":
            servers[1].close()
        else:
            reset(servers[1])
        await wait_until(lambda: has_ended(servers[1], rig))
        assert rig.budget.buffered < 16 * 1024
        servers[0].write(b"*3\r\n$1\r\ny" + TAIL)
        expected = b"$1\r\ny\r\n$68000\r\n" + sent + b"\r\n"
        assert await reader.readexactly(len(expected)) == expected

    run_scenario(scenario, budget=16 * 1024)


def unsent_bytes(sock: Any) -> int:
    """Bytes that the peer's system has not acknowledged."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), "little")


def test_a_value_that_waits_for_its_turn_is_read_ahead_and_frees_its_connection() -> None:
    # Guards against breaks of values that could have been read, and descriptors that are held meanwhile.
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 2)
        sent = value(300_000)
        for place in range(0, len(sent), 7):  # memory must not depend on how it is cut
            if not place:
                servers[1].write(head(len(sent)))
            servers[1].write(sent[place : place + 7])
        servers[1].write(TAIL)
        await wait_until(lambda: rig.budget.buffered == len(sent))
        await wait_until(lambda: bool(rig.servers._pools["s-1"].idle))
        servers[0].write(b"*3\r\n$1\r\ny" + TAIL)
        expected = b"$1\r\ny\r\n$300000\r\n" + sent + b"\r\n"
        assert await reader.readexactly(len(expected)) == expected
        assert (len(rig.budget), rig.budget.buffered) == (0, 0)

    run_scenario(scenario)


def test_streams_that_wait_leave_half_of_the_budget_to_those_that_are_sent() -> None:
    budget = Budget(1 << 20)
    for number in range(3):
        budget.open(number)
        budget.set_buffered(number, min(budget.allowance(number, ahead=True), 400_000))
    assert budget.buffered <= budget.limit // 2 + budget.read_size
    budget.open("sent")
    assert budget.allowance("sent") == budget.read_size


def test_a_value_that_stalls_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lynxreel.fronts.delivery.STALL_TIMEOUT", 0.1)
    monkeypatch.setattr("lynxreel.fronts.connection_table.SWEEP_INTERVAL", 0.02)

    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        for _ in range(10):  # slow, but not stalled
            server.write(head(100_000) + b"x" if not rig.clients.table.streams else b"x")
            await asyncio.sleep(0.04)
        assert len(rig.clients.table.streams) == 1
        with pytest.raises(asyncio.IncompleteReadError):
            await reader.readexactly(100_000)
        assert await rig.peer.receive(b"none") == (server, b"")

    run_scenario(scenario)


class UnreadSink:
    """A client that reads nothing more once the last piece of a value has come."""

    def __init__(self, stream: Stream) -> None:
        self._stream, self.finished = stream, asyncio.Event()

    def write_piece(self, data: bytes) -> int:
        return self._stream.length if self._stream.forwarded == self._stream.length else 0

    def finish(self) -> None:
        self.finished.set()

    def abort(self) -> None:
        raise AssertionError("the value is complete")


def test_a_connection_is_read_again_after_a_large_value_whose_last_piece_paused_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against requests that time out, as their server's answer is never read on a reused connection.
    monkeypatch.setattr("lynxreel.backends.pools.REUSE_DELAY", 0.0)
    sinks: asyncio.Queue[UnreadSink] = asyncio.Queue()

    def served(call: Any, value: bytes | Stream) -> None:
        assert isinstance(value, Stream)
        sinks.put_nowait(UnreadSink(value))
        value.attach(sinks._queue[-1])  # type: ignore[attr-defined]

    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        with monkeypatch.context() as first_only:
            first_only.setattr("lynxreel.fronts.resp2.Call.served", served)
            writer.write(call(1))
            server, _ = await rig.peer.receive()
            server.write(head(100_000) + value(90_000))
            sink = await sinks.get()
            await wait_until(lambda: sink._stream.forwarded == 90_000)
            server.write(value(10_000) + TAIL)
            await sink.finished.wait()
        (client,) = rig.clients.connections
        client.queue.clear()
        writer.write(call(2))
        assert (await rig.peer.receive())[0] is server
        server.write(b"*3\r\n$1\r\ny" + TAIL)
        assert await asyncio.wait_for(reader.readexactly(7), 2.0) == b"$1\r\ny\r\n"

    run_scenario(scenario, budget=128 * 1024)


def test_a_drain_waits_for_the_end_of_a_large_value() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        sent = value(100_000)
        server.write(head(len(sent)) + sent[:70_000])
        await wait_until(lambda: bool(rig.clients.table.streams))
        draining = asyncio.create_task(rig.clients.drain(drain_times(5.0)))
        await asyncio.sleep(0.05)
        server.write(sent[70_000:] + TAIL)
        assert await reader.read(-1) == b"$100000\r\n" + sent + b"\r\n"
        await draining

    run_scenario(scenario)


def test_a_call_that_takes_no_stream_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lynxreel.fronts.resp2.Call.streams", False)

    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.write(call(1))
        server, _ = await rig.peer.receive()
        server.write(head(100_000) + b"x" * 1_000)
        assert await reader.readline() == b"-ERR failed\r\n"

    run_scenario(scenario)
