"""Clients that read their answers slowly, on connections that the gateway would like to close."""

import asyncio
import gc
import socket
import weakref
from typing import cast

import pytest

from lynxreel.engine.engine import Engine
from lynxreel.fronts import connection_table, delivery, http, lingering
from lynxreel.fronts.draining import DrainTimes
from lynxreel.fronts.resp2 import Connection, Resp2Front
from lynxreel.openapi.admission import Admission
from lynxreel.openapi.repeats import Repeats
from lynxreel.socket_queues import has_unread, has_unsent
from tests.net import LOCAL, EngineStandIn, call, drain_times, run, until
from tests.test_client_closes import OPTIONS, PING, PONG, Client, Connect, Options, arrive, play

COUNT = 10  # answers that a slow reader has not read yet
VALUE = b"v" * 60_000
ANSWER = b"$%d\r\n%b\r\n" % (len(VALUE), VALUE)
SYSTEM_BUFFER = 4 << 20  # bytes, so that the system takes all answers from the process
RECEIVE_BUFFER = 64 * 1024  # bytes, so that most of them do not reach the client's system
SAME_OPTIONS = OPTIONS[:-2] + b"X-Request-Id: same\r\n\r\n"  # their answers are alike
REQUESTS = 40  # whose answers a slow HTTP client has not read yet


@pytest.fixture(autouse=True)
def short_linger(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reading takes far longer than a client has to close its side."""
    monkeypatch.setattr(lingering, "LINGER_SECONDS", 0.01)
    monkeypatch.setattr(lingering, "CHECK_INTERVAL", 0.01)


def set_buffers(
    client: Client, connection: Connection | http.Connection, system: int = SYSTEM_BUFFER
) -> None:
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    own = connection.transport.get_extra_info("socket")
    own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, system)


async def slow_reader(engine: EngineStandIn, connect: Connect) -> tuple[Client, Connection]:
    """Return a client with COUNT unread answers, all of which the gateway's system has."""
    client, connection = await connect()
    set_buffers(client, connection)
    client.socket.sendall(b"".join(map(call, range(COUNT))))
    for _ in range(COUNT):
        (await engine.calls.get()).served(VALUE)
    await until(lambda: not connection.transport.get_write_buffer_size())
    assert has_unsent(connection.transport)
    return client, connection


async def read_slowly(client: Client, length: int, pause: float = 0.01) -> bytes:
    """Read so many bytes, or up to the end of the connection, in pieces; raises if it is reset."""
    data = b""
    while len(data) < length and (more := await client.read(min(20_000, length - len(data)))):
        data += more
        await asyncio.sleep(pause)
    return data


def test_of_many_idle_connections_none_is_closed_whose_client_is_reading(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against answers that are lost as their connection counted as idle once the system had them.
    monkeypatch.setattr(connection_table, "MIN_IDLE_TIME", 0.0)
    monkeypatch.setattr(connection_table, "SWEEP_INTERVAL", 0.01)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, _ = await slow_reader(engine, connect)
        others = [await connect() for _ in range(4)]
        for other, _ in others[:2]:
            assert await other.read_all() == b""  # two may stay idle
        arrived = asyncio.create_task(read_slowly(client, COUNT * len(ANSWER) + len(PONG)))
        await asyncio.sleep(0.1)
        await asyncio.get_running_loop().sock_sendall(client.socket, PING)
        assert await arrived == ANSWER * COUNT + PONG

    play(scenario)


def test_a_connection_whose_client_has_read_all_is_idle_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_table, "MIN_IDLE_TIME", 0.0)
    monkeypatch.setattr(connection_table, "SWEEP_INTERVAL", 0.01)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await slow_reader(engine, connect)
        others = [await connect() for _ in range(2)]
        await until(lambda: connection in clients.table.deliveries)
        assert await read_slowly(client, COUNT * len(ANSWER)) == ANSWER * COUNT
        await until(lambda: not clients.table.deliveries)
        assert await others[0][0].read_all() == b""  # which has been idle for longer now

    play(scenario)


def test_a_drain_takes_commands_of_a_client_that_is_reading_and_closes_behind_their_answers() -> None:
    # Guards against commands that meet a closed connection, whose end lay behind unread answers.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, _ = await slow_reader(engine, connect)
        drain = asyncio.create_task(clients.drain(drain_times(5.0)))
        arrived = asyncio.create_task(read_slowly(client, 1 << 20))
        await asyncio.sleep(0.1)
        await asyncio.get_running_loop().sock_sendall(client.socket, call(COUNT))
        (await engine.calls.get()).served(b"one")
        assert await arrived == ANSWER * COUNT + b"$3\r\none\r\n"
        client.socket.close()
        await drain

    play(scenario)


def test_commands_of_a_client_that_is_reading_are_answered_after_the_patience_of_a_drain() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await slow_reader(engine, connect)
        times = DrainTimes(announce=0.0, patience=0.0, cut_off=9.0)
        drain = asyncio.create_task(clients.drain(times))
        await until(lambda: connection in clients.table.deliveries)
        assert clients.is_sending()
        client.socket.sendall(PING)
        assert await read_slowly(client, 1 << 20) == ANSWER * COUNT + PONG
        client.socket.close()
        await drain
        assert not clients.is_sending()

    play(scenario)


@pytest.mark.parametrize("patience", [0.0, 9.0])
def test_a_client_that_stops_reading_does_not_hold_up_a_drain(
    patience: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(delivery, "STALL_TIMEOUT", 0.1)
    monkeypatch.setattr(connection_table, "SWEEP_INTERVAL", 0.01)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        await slow_reader(engine, connect)
        await clients.drain(DrainTimes(announce=0.0, patience=patience, cut_off=60.0))
        assert not clients.connections

    play(scenario)


def test_new_connections_make_room_by_an_idle_one_and_not_by_slow_readers() -> None:
    # Guards against making room by what a client is still reading, and against looking at readers alone.
    readers = connection_table.MAX_EVICTION_CANDIDATES + 1

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        slow = [await slow_reader(engine, connect) for _ in range(readers)]
        idle, _ = await connect()
        shut = Client(clients.port)  # while the readers are found to be reading
        assert await shut.read_all() == b""
        newest, _ = await connect()
        assert await idle.read_all() == b""
        newest.socket.sendall(PING)
        assert await newest.read(len(PONG)) == PONG
        for client in (shut, idle, newest):
            client.socket.close()
        for client, _ in slow:
            assert await client.read(COUNT * len(ANSWER)) == ANSWER * COUNT

    play(scenario, max_connections=readers + 1)


def test_new_connections_do_not_cut_off_answers_of_one_that_is_being_closed() -> None:
    # Guards against making room by what a client is still reading.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await slow_reader(engine, connect)
        client.socket.sendall(b"no command\r\n")
        await until(lambda: connection in clients.table.lingering)
        newest = Client(clients.port)
        assert await newest.read_all() == b""
        newest.socket.close()
        client.socket.sendall(PING)  # which a closed socket would answer with a reset
        answers = await read_slowly(client, 1 << 20)
        assert answers.startswith(ANSWER * COUNT + b"-ERR Protocol error")

    play(scenario, max_connections=1)


def test_answers_arrive_though_their_client_sends_much_behind_what_cannot_be_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lingering, "DISCARD_LIMIT", 1_000)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await slow_reader(engine, connect)
        client.socket.sendall(b"no command\r\n")
        await until(lambda: connection in clients.table.lingering)
        for _ in range(2):  # the second meets a closed socket, if the first had it closed
            client.socket.sendall(b"x" * 20_000)
            await asyncio.sleep(0.05)
        answers = await read_slowly(client, COUNT * len(ANSWER))
        assert answers == ANSWER * COUNT
        await until(lambda: not clients.connections)

    play(scenario)


class LongOptions(Options):
    """The admission of a description whose answer to `OPTIONS *` is long."""

    @staticmethod
    def allowed(segments: list[str]) -> list[str]:
        return ["GET"] * 2_000


async def http_reader(system_buffer: int) -> tuple[http.HttpFront, Client, http.Connection, bytes]:
    """Return a front, a client with unread answers to REQUESTS requests, its connection, and an answer."""
    serving = http.ServingConfig(cast(Admission, LongOptions()), Repeats(1, 1.0), 1)
    front = http.HttpFront(cast(Engine, EngineStandIn()), serving, 8, asyncio.get_running_loop())
    await front.listen(LOCAL, 0)
    client = Client(front.addresses[0][1])
    client.socket.sendall(SAME_OPTIONS)
    loop, answer = asyncio.get_running_loop(), b""
    client.socket.setblocking(False)
    while not answer.endswith(b"\r\n\r\n"):
        answer += await loop.sock_recv(client.socket, 20_000)
    (connection,) = front.connections
    set_buffers(client, connection, system_buffer)
    sending = loop.create_task(loop.sock_sendall(client.socket, SAME_OPTIONS * REQUESTS))
    if system_buffer == SYSTEM_BUFFER:
        await sending
        await until(lambda: not has_unread(connection.transport) and not connection._buffer)
        await until(lambda: has_unsent(connection.transport))
    else:
        await until(lambda: connection._answers_unread)
    return front, client, connection, answer


@pytest.mark.parametrize("system_buffer", [64 * 1024, SYSTEM_BUFFER], ids=["small", "large"])
def test_http_answers_are_not_cut_off_while_their_client_reads(
    system_buffer: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against limits on the whole time that a client takes to read, as idle, or of its answers.
    monkeypatch.setattr(http, "CLIENT_TIMEOUT", 0.15)
    monkeypatch.setattr(http, "IDLE_TIMEOUT", 0.05)
    monkeypatch.setattr(http, "SWEEP_INTERVAL", 0.01)

    async def scenario() -> None:
        front, client, _, answer = await http_reader(system_buffer)
        arrived = asyncio.create_task(read_slowly(client, len(answer) * (REQUESTS + 1), pause=0.1))
        await asyncio.sleep(0.3)
        await asyncio.get_running_loop().sock_sendall(client.socket, SAME_OPTIONS)
        assert await arrived == answer * (REQUESTS + 1)
        client.socket.close()
        await until(lambda: not front.connections)
        front.close()

    run(scenario)


def test_a_drain_of_the_http_front_serves_a_client_that_is_reading() -> None:
    async def scenario() -> None:
        front, client, connection, answer = await http_reader(SYSTEM_BUFFER)
        drain = asyncio.create_task(front.drain(drain_times(8.0)))
        await asyncio.sleep(0.05)
        assert front.is_sending()
        arrive(client, connection, OPTIONS)
        answers = await read_slowly(client, 1 << 20)
        assert answers.startswith(answer * REQUESTS)
        assert b"Connection: close" in answers[len(answer) * REQUESTS :]
        client.socket.close()
        await drain
        front.close()

    run(scenario)


@pytest.mark.parametrize("system_buffer", [64 * 1024, SYSTEM_BUFFER], ids=["small", "large"])
def test_an_http_client_that_stops_reading_is_cut_off(
    system_buffer: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(delivery, "STALL_TIMEOUT", 0.1)
    monkeypatch.setattr(http, "IDLE_TIMEOUT", 0.05)
    monkeypatch.setattr(http, "SWEEP_INTERVAL", 0.01)

    async def scenario() -> None:
        front, _, _, _ = await http_reader(system_buffer)
        await until(lambda: not front.connections)
        front.close()

    run(scenario)


def test_a_first_http_request_that_lies_unread_is_no_silence_of_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a close over a request that had arrived, and that this process was slow to read.
    monkeypatch.setattr(http, "CLIENT_TIMEOUT", 0.02)
    monkeypatch.setattr(http, "SWEEP_INTERVAL", 0.01)

    async def scenario() -> None:
        serving = http.ServingConfig(cast(Admission, Options()), Repeats(1, 1.0), 1)
        front = http.HttpFront(cast(Engine, EngineStandIn()), serving, 8, asyncio.get_running_loop())
        await front.listen(LOCAL, 0)
        client = Client(front.addresses[0][1])
        await until(lambda: bool(front.connections))
        (connection,) = front.connections
        connection.transport.pause_reading()
        arrive(client, connection, SAME_OPTIONS)
        await asyncio.sleep(0.1)
        connection.transport.resume_reading()
        assert (await client.read(12)) == b"HTTP/1.1 204"
        client.socket.close()
        front.close()

    run(scenario)


def test_an_http_connection_is_freed_as_soon_as_it_has_ended() -> None:
    # Guards against buffers that a crowd leaves behind until the garbage collector comes to them.
    async def scenario() -> None:
        front, client, connection, _ = await http_reader(SYSTEM_BUFFER)
        ended = weakref.ref(connection)
        connection._close()
        del connection
        gc.collect()
        gc.disable()
        try:
            client.socket.close()
            await until(lambda: not front.connections)
            async with asyncio.timeout(1):
                while ended() is not None:
                    await asyncio.sleep(0.01)
        finally:
            gc.enable()
        front.close()

    run(scenario)
