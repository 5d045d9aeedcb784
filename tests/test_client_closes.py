"""Client connections that end at a bad moment: with unread bytes, while paused, or on one side only."""

import asyncio
import gc
import select
import socket
import weakref
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from lynxreel.engine.engine import Engine
from lynxreel.fronts import connection_table, delivery, draining, http, lingering, resp2
from lynxreel.fronts.draining import DrainTimes
from lynxreel.fronts.resp2 import MAX_OPEN_COMMANDS, Connection, Resp2Front
from lynxreel.fronts.turns import COMMANDS_PER_ROUND
from lynxreel.openapi.admission import Admission
from lynxreel.openapi.repeats import Repeats
from tests.net import LOCAL, TERMS, EngineStandIn, call, resp, run, until

PING, PONG = resp(b"PING"), b"+PONG\r\n"
SERVED = b"$3\r\none\r\n"
UNKNOWN = b"-ERR unknown command\r\n"
REFUSED = b"-BUSY\r\n"
OPTIONS = b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"


class Client:
    """A client's blocking socket: what it writes reaches the gateway's buffer before the loop runs."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port), timeout=5)
        self._loop = asyncio.get_running_loop()

    async def read(self, length: int) -> bytes:
        """Read so many bytes, or fewer if the connection ends. Raises ConnectionResetError if it is reset."""
        self.socket.setblocking(False)
        data = b""
        while len(data) < length and (more := await self._loop.sock_recv(self.socket, length - len(data))):
            data += more
        self.socket.settimeout(5)
        return data

    async def read_all(self) -> bytes:
        """Read until the end of the connection."""
        return await self.read(1 << 20)


Connect = Callable[[], Awaitable[tuple[Client, Connection]]]
Scenario = Callable[[EngineStandIn, Resp2Front, Connect], Awaitable[None]]


class RefusingEngine(EngineStandIn):
    """A stand-in for the engine in a shutdown: a request is refused in the next iteration of the loop."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = 0
        self.most_queued = 0  # length of the longest queue when a request was read
        self.refusing = False

    def submit(self, call: Any) -> int:
        if not self.refusing:
            return super().submit(call)
        self.refused += 1
        self.most_queued = max(self.most_queued, len(call.connection.queue))
        asyncio.get_running_loop().call_soon(call.refused, 0)
        return 1


def play(scenario: Scenario, max_connections: int = 8, engine: EngineStandIn | None = None) -> None:
    engine = engine or EngineStandIn()

    async def start() -> None:
        clients = Resp2Front(cast(Engine, engine), TERMS, max_connections, asyncio.get_running_loop())
        await clients.listen(LOCAL, 0)
        opened: list[Client] = []

        async def connect() -> tuple[Client, Connection]:
            """Return a client that has had an answer, and the gateway's side of its connection."""
            known = set(clients.connections)
            client = Client(clients.port)
            opened.append(client)
            client.socket.sendall(PING)
            assert await client.read(len(PONG)) == PONG
            (connection,) = clients.connections - known
            return client, connection

        try:
            await scenario(engine, clients, connect)
        finally:
            for client in opened:
                client.socket.close()
            for connection in list(clients.connections):
                connection.transport.abort()

    run(start)


def arrive(client: Client, connection: Connection | http.Connection, data: bytes) -> None:
    """Return once the client's bytes are unread at the gateway, whose loop has not run meanwhile."""
    client.socket.sendall(data)
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    assert poll.poll(5_000)


def test_a_request_received_before_the_close_of_an_idle_connection_is_answered() -> None:
    # The close is delayed until what the client wrote in time has been read.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, call(1))
        connection.end()
        (await engine.calls.get()).served(b"one")
        connection.end()
        assert await client.read_all() == SERVED

    play(scenario)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_discarded_and_not_reset() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, call(1))
        connection.end(await_partial=False)
        assert await client.read_all() == b""
        client.socket.close()
        await until(lambda: not clients.connections)
        assert engine.calls.empty()

    play(scenario)


def test_an_answer_arrives_complete_though_garbage_after_its_request_is_never_read() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(call(1) + b"no command\r\n")
        first = await engine.calls.get()  # reading has stopped: what arrives now stays unread
        arrive(client, connection, b"x" * 10_000)
        first.served(b"one")
        answer = await client.read_all()
        assert answer.startswith(SERVED + b"-ERR Protocol error")

    play(scenario)


def test_a_client_that_goes_on_sending_after_the_close_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "DISCARD_LIMIT", 1_000)
    monkeypatch.setattr(lingering, "LINGER_SECONDS", 3_600.0)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        connection.end()
        assert await client.read_all() == b""
        client.socket.sendall(b"x" * 2_000)
        await until(lambda: not clients.connections)
        assert engine.calls.empty()

    play(scenario)


def test_a_client_that_never_closes_is_cut_off_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "LINGER_SECONDS", 0.01)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        connection.end()
        assert await client.read_all() == b""
        await until(lambda: not clients.connections)

    play(scenario)


def test_the_connection_closed_to_make_room_has_no_unread_request() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        oldest, of_oldest = await connect()
        second, _ = await connect()
        of_oldest.transport.pause_reading()  # its request stays unread while the third client connects
        arrive(oldest, of_oldest, PING)
        third, _ = await connect()
        assert await second.read_all() == b""
        of_oldest.transport.resume_reading()
        assert await oldest.read(len(PONG)) == PONG
        third.socket.sendall(PING)
        assert await third.read(len(PONG)) == PONG

    play(scenario, max_connections=2)


@pytest.mark.parametrize("first", [False, True], ids=["resting", "silent"])
def test_a_connection_whose_command_waits_for_its_turn_is_not_closed_to_make_room(first: bool) -> None:
    # Guards against requests that were read and never answered: in turn, their connection counted as idle.
    class BusyEngine(EngineStandIn):
        behind = False

        def is_behind(self) -> bool:
            return self.behind

    engine = BusyEngine()

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        if first:
            oldest = Client(clients.port)
            await until(lambda: bool(clients.connections))
            (of_oldest,) = clients.connections
        else:
            oldest, of_oldest = await connect()
        second, _ = await connect()
        engine.behind = True
        arrive(oldest, of_oldest, call(1))
        await until(lambda: bool(of_oldest._pause_reasons & Connection.AWAITING_TURN))
        third = Client(clients.port)
        assert await second.read_all() == b""
        engine.behind = False
        (await engine.calls.get()).served(b"one")
        assert await oldest.read(len(SERVED)) == SERVED
        for client in (oldest, third):
            client.socket.close()

    play(scenario, max_connections=2, engine=engine)


def test_a_first_command_that_lies_unread_is_no_silence_of_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a close over a request that had arrived, and that this process was slow to read.
    monkeypatch.setattr(connection_table, "CLIENT_TIMEOUT", 0.02)
    monkeypatch.setattr(connection_table, "SWEEP_INTERVAL", 0.01)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client = Client(clients.port)
        await until(lambda: bool(clients.connections))
        (connection,) = clients.connections
        connection.transport.pause_reading()
        arrive(client, connection, call(1))
        await asyncio.sleep(0.1)
        connection.transport.resume_reading()
        (await engine.calls.get()).served(b"one")
        assert await client.read(len(SERVED)) == SERVED
        client.socket.close()

    play(scenario)


@pytest.mark.parametrize("rest", [b"", b"*4\r\n$8\r\nCALL.", b"no command\r\n"])
def test_a_connection_is_freed_as_soon_as_it_has_ended(rest: bytes) -> None:
    # Guards against buffers that a crowd leaves behind until the garbage collector comes to them.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(rest)
        await asyncio.sleep(0.01)
        ended = weakref.ref(connection)
        del connection
        gc.collect()
        gc.disable()
        try:
            client.socket.close()
            await until(lambda: not clients.connections)
            async with asyncio.timeout(1):
                while ended() is not None:
                    await asyncio.sleep(0.01)
        finally:
            gc.enable()

    play(scenario)


def test_a_closing_connection_makes_room_before_one_that_is_in_use() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        idle, _ = await connect()
        closing, of_closing = await connect()
        of_closing.end()
        await connect()
        assert of_closing not in clients.connections
        idle.socket.sendall(PING)
        assert await idle.read(len(PONG)) == PONG

    play(scenario, max_connections=2)


def test_a_client_that_closes_a_paused_connection_counts_as_disconnected() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(b"".join(call(number) for number in range(MAX_OPEN_COMMANDS)))
        for _ in range(MAX_OPEN_COMMANDS):
            await engine.calls.get()
        arrive(client, connection, call(MAX_OPEN_COMMANDS))  # unread: the queue is full
        client.socket.close()
        left = {await engine.disconnected.get() for _ in range(MAX_OPEN_COMMANDS)}
        assert left == set(range(1, MAX_OPEN_COMMANDS + 1))
        assert engine.calls.empty()

    play(scenario)


def test_a_client_that_only_stops_sending_is_disconnected_but_gets_earlier_answers() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, _ = await connect()
        client.socket.sendall(call(1) + call(2))
        first, second = await engine.calls.get(), await engine.calls.get()
        first.served(b"one")
        client.socket.shutdown(socket.SHUT_WR)
        assert await engine.disconnected.get() == 2
        second.served(b"two")
        assert await client.read_all() == SERVED
        await until(lambda: not clients.connections)

    play(scenario)


def test_a_client_that_stops_sending_and_reading_counts_as_disconnected_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_table, "CLIENT_TIMEOUT", 3_600.0)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        own = connection.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 50_000)
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 10_000)
        client.socket.sendall(b"".join(call(number) for number in range(MAX_OPEN_COMMANDS - 1)))
        calls = [await engine.calls.get() for _ in range(MAX_OPEN_COMMANDS - 1)]
        while not connection.transport.get_write_buffer_size():  # until the socket's buffers are full
            calls.pop(0).served(b"x" * 20_000)
            for _ in range(20):  # let the loop write
                await asyncio.sleep(0)
        assert not connection._pause_reasons  # the connection is still read: the end of input is noticed
        client.socket.shutdown(socket.SHUT_WR)
        left = {await engine.disconnected.get() for _ in calls}
        assert left == set(range(MAX_OPEN_COMMANDS - len(calls), MAX_OPEN_COMMANDS))

    play(scenario)


def test_answers_are_sent_without_nagles_algorithm() -> None:
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        _, connection = await connect()
        own = connection.transport.get_extra_info("socket")
        assert own.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(scenario)


def test_commands_behind_a_ping_are_answered_though_the_front_is_closing() -> None:
    # Closed between two commands, the second would be forwarded and its answer lost.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        clients.draining.closing = True
        arrive(client, connection, PING + call(1))
        (await engine.calls.get()).served(b"one")
        assert await client.read_all() == PONG + SERVED

    play(scenario)


def test_commands_that_wait_behind_a_full_queue_are_answered_though_the_front_is_closing() -> None:
    # Commands may be buffered but not taken when answers that arrive together empty the queue.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(MAX_OPEN_COMMANDS + 8)))
        calls = [await engine.calls.get() for _ in range(MAX_OPEN_COMMANDS)]
        clients.draining.closing = True
        for answered in [*calls[1:], calls[0]]:
            answered.served(b"one")
        for _ in range(8):
            (await engine.calls.get()).served(b"one")
        assert await client.read_all() == SERVED * (MAX_OPEN_COMMANDS + 8)

    play(scenario)


def test_commands_behind_one_that_is_unknown_are_answered_though_the_front_ends() -> None:
    # After an unknown command reading is paused on purpose, to save CPU time.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(resp(b"SELECT", b"1"))
        assert (await client.read(len(UNKNOWN))) == UNKNOWN
        arrive(client, connection, call(1))  # unread, as reading is paused
        connection.end()
        (await engine.calls.get()).served(b"one")
        connection.end()
        assert await client.read_all() == SERVED

    play(scenario)


def test_a_client_that_floods_with_pings_and_reads_no_answer_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # To save memory and descriptors. Taking commands in turns is no sign that the client reads.
    monkeypatch.setattr(connection_table, "CLIENT_TIMEOUT", 0.5)
    monkeypatch.setattr(delivery, "STALL_TIMEOUT", 0.5)  # for what the system has of the answers

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.setblocking(False)
        stuck = 0
        while stuck < 20:  # until neither side's buffers take any more
            try:
                client.socket.send(PING * 4_000)
                stuck = 0
            except BlockingIOError:
                stuck += 1
            except ConnectionError:
                break  # it has been disconnected already
            await asyncio.sleep(0.01)
        await until(lambda: connection not in clients.connections)

    play(scenario)


async def refusing_behind_a_full_queue(
    engine: RefusingEngine, clients: Resp2Front, connect: Connect, behind: int
) -> tuple[Client, Connection, list[Any]]:
    """Return a client with the maximum of open commands and more unread ones; new ones are refused."""
    client, connection = await connect()
    arrive(client, connection, b"".join(call(number) for number in range(MAX_OPEN_COMMANDS)))
    calls = [await engine.calls.get() for _ in range(MAX_OPEN_COMMANDS)]
    arrive(client, connection, b"".join(call(MAX_OPEN_COMMANDS + number) for number in range(behind)))
    engine.refusing = True
    clients.refuse_after(0.0)
    clients.draining.closing = True
    return client, connection, calls


def end_once_sent(connection: Connection) -> None:
    """End a connection as the checks of a drain do: again, until the system has sent many small answers."""
    connection.end()
    if not connection._input_closed:
        asyncio.get_running_loop().call_later(draining.CHECK_INTERVAL, end_once_sent, connection)


def test_commands_behind_a_full_queue_are_read_and_refused_once_new_ones_are() -> None:
    # Left unread until the queue is answered, they are too many for the time before the kill.
    engine, behind = RefusingEngine(), 10 * COMMANDS_PER_ROUND + 5

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection, calls = await refusing_behind_a_full_queue(engine, clients, connect, behind)
        connection.end()  # as each check of the drain does
        await until(lambda: engine.refused == behind)
        # Answers are merged into one entry.
        assert engine.most_queued <= MAX_OPEN_COMMANDS + 1 + COMMANDS_PER_ROUND
        for answered in calls:
            answered.failed()
        end_once_sent(connection)
        assert await client.read_all() == b"-ERR failed\r\n" * MAX_OPEN_COMMANDS + REFUSED * behind

    play(scenario, engine=engine)


def test_answers_behind_a_full_queue_are_bounded_in_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    engine, behind = RefusingEngine(), 10 * COMMANDS_PER_ROUND + 5
    monkeypatch.setattr(resp2, "MAX_JOINED_BYTES", 3 * COMMANDS_PER_ROUND * len(REFUSED))

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection, calls = await refusing_behind_a_full_queue(engine, clients, connect, behind)
        for _ in range(100):
            connection.end()
            await asyncio.sleep(0)
        assert engine.refused == 3 * COMMANDS_PER_ROUND
        for answered in calls:
            answered.failed()
        await until(lambda: engine.refused == behind)  # there is room again
        end_once_sent(connection)
        assert await client.read_all() == b"-ERR failed\r\n" * MAX_OPEN_COMMANDS + REFUSED * behind

    play(scenario, engine=engine)


def test_others_have_their_turn_between_commands_read_behind_a_full_queue() -> None:
    engine, behind = RefusingEngine(), 20 * COMMANDS_PER_ROUND

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        other, of_other = await connect()
        _, connection, _ = await refusing_behind_a_full_queue(engine, clients, connect, behind)
        arrive(other, of_other, PING)
        connection.end()
        assert await other.read(len(PONG)) == PONG
        assert engine.refused < behind

    play(scenario, engine=engine)


def test_nothing_is_read_behind_a_full_queue_while_new_commands_are_accepted() -> None:
    # One connection must not have more open commands than allowed.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(MAX_OPEN_COMMANDS)))
        for _ in range(MAX_OPEN_COMMANDS):
            await engine.calls.get()
        arrive(client, connection, call(MAX_OPEN_COMMANDS))
        clients.refuse_after(60.0)
        clients.draining.closing = True
        for _ in range(100):
            connection.end()
            await asyncio.sleep(0)
        assert engine.calls.empty()

    play(scenario)


def test_received_commands_are_read_after_the_drains_patience(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # What was written long before may wait for the connection's next turn with no answer pending.
    monkeypatch.setattr(draining, "READ_PENDING_TIME", 60.0, raising=False)
    engine, written = RefusingEngine(), 20 * COMMANDS_PER_ROUND
    engine.refusing = True

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(resp(b"SELECT", b"1"))
        assert (await client.read(len(UNKNOWN))) == UNKNOWN
        arrive(client, connection, b"".join(call(number) for number in range(written)))  # unread
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=0.0, cut_off=120.0)))
        assert await client.read_all() == REFUSED * written
        client.socket.close()
        await drain

    play(scenario, engine=engine)


def test_received_commands_are_read_during_the_drains_patience(monkeypatch: pytest.MonkeyPatch) -> None:
    # Unread commands must not have a time limit of their own, counted from the first check.
    monkeypatch.setattr(resp2, "FIRST_COMMAND_TIMEOUT", 0.0)
    engine, written = RefusingEngine(), 20 * COMMANDS_PER_ROUND
    engine.refusing = True

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(written)))
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=60.0, cut_off=120.0)))
        assert await client.read_all() == REFUSED * written
        client.socket.close()
        await drain

    play(scenario, engine=engine)


def test_a_client_that_writes_without_end_does_not_block_the_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(draining, "READ_PENDING_TIME", 0.0, raising=False)
    engine = RefusingEngine()
    engine.refusing = True

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(4 * COMMANDS_PER_ROUND)))
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=0.0, cut_off=120.0)))
        reader, writer = await asyncio.open_connection(sock=client.socket)
        number, ended = 4 * COMMANDS_PER_ROUND, asyncio.create_task(reader.read())
        while not ended.done():
            writer.write(call(number))
            await asyncio.sleep(0)
            number += 1
        assert set(ended.result().split(b"\r\n")) <= {b"-BUSY", b""}
        writer.close()
        await drain

    play(scenario, engine=engine)


class Options:
    """A stand-in for the admission of a description: it serves only `OPTIONS *`."""

    @staticmethod
    def allowed(segments: list[str]) -> list[str]:
        """The methods that the answer names."""
        return ["GET"]


def test_received_http_requests_are_answered_after_the_drains_patience() -> None:
    async def start() -> None:
        serving = http.ServingConfig(cast(Admission, Options()), Repeats(1, 1.0), 1)
        front = http.HttpFront(cast(Engine, EngineStandIn()), serving, 8, asyncio.get_running_loop())
        await front.listen(LOCAL, 0)
        client = Client(front.addresses[0][1])
        client.socket.sendall(OPTIONS)
        answer = b""
        while not answer.endswith(b"\r\n\r\n"):
            answer += await client.read(1)
        (connection,) = front.connections
        front.draining.closing = True
        arrive(client, connection, OPTIONS)
        connection.end(await_partial=False, read_pending=True)
        assert b"Connection: close" in await client.read_all()
        client.socket.close()
        await until(lambda: not front.connections)
        front.close()

    run(start)


def test_an_idle_connection_is_read_again_before_another_try_to_close_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The time must not count from an earlier try: the sweep may try to close an idle one repeatedly.
    monkeypatch.setattr(resp2, "FIRST_COMMAND_TIMEOUT", 0.02)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        for number in range(2):
            arrive(client, connection, call(number))
            connection.end()
            (await engine.calls.get()).served(b"one")
            assert await client.read(len(SERVED)) == SERVED
            await asyncio.sleep(0.05)  # longer than FIRST_COMMAND_TIMEOUT
        connection.end()
        assert await client.read_all() == b""

    play(scenario)


def test_commands_of_a_client_that_reads_its_answers_slowly_are_answered_before_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Clients on slow networks pause in their reading, which is no sign that they never read.
    monkeypatch.setattr(draining, "READ_PENDING_TIME", 60.0)
    engine, written = RefusingEngine(), 200 * COMMANDS_PER_ROUND
    engine.refusing = True

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 5_000)
        own = connection.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 5_000)
        connection.transport.set_write_buffer_limits(high=1_000)
        reader, writer = await asyncio.open_connection(sock=client.socket, limit=1)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(b"".join(call(number) for number in range(written)))
        await until(lambda: bool(connection._pause_reasons & Connection.ANSWERS_UNREAD))
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=0.0, cut_off=120.0)))
        await asyncio.sleep(3 * draining.CHECK_INTERVAL)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert await reader.read() == REFUSED * written
        writer.close()
        await drain

    play(scenario, engine=engine)


@pytest.mark.parametrize("shutdown", [False, True], ids=["in service", "in a shutdown"])
def test_each_iteration_of_the_loop_takes_a_bounded_number_of_commands(shutdown: bool) -> None:
    # Signals and deadlines must not be delayed: an iteration that serves all connections takes long.
    # Fits into a socket's buffer, so that it arrives at once.
    engine, connections, written = RefusingEngine(), 6, 6 * COMMANDS_PER_ROUND
    engine.refusing = True

    async def scenario(__: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        pairs = [await connect() for _ in range(connections)]
        if shutdown:
            clients.refuse_after(0.0)
        for client, connection in pairs:
            arrive(client, connection, b"".join(call(number) for number in range(written)))
        taken = []
        while engine.refused < connections * written:
            before = engine.refused
            await asyncio.sleep(0)
            taken.append(engine.refused - before)
        assert max(taken) <= COMMANDS_PER_ROUND

    play(scenario, engine=engine)
