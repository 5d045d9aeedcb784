"""Connections of clients that end at a bad moment: over unread bytes, while not read, or on one side only."""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

from lynxreel.engine.engine import Engine
from lynxreel.fronts import draining, http, lingering, resp2
from lynxreel.fronts.draining import DrainTimes
from lynxreel.fronts.resp2 import MOST_OPEN, TURN, Clients, Connection
from lynxreel.openapi.admission import Admission
from lynxreel.openapi.repeats import Repeats
from tests.net import LOCAL, TERMS, Heard, call, resp, run, until

PING, PONG = resp(b"PING"), b"+PONG\r\n"
SERVED = b"$3\r\none\r\n"
UNKNOWN = b"-ERR unknown command\r\n"
REFUSED = b"-BUSY\r\n"
OPTIONS = b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"


class Client:
    """A client's blocking socket: what it writes lies in the gateway's system before the loop has a turn."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port), timeout=5)
        self._loop = asyncio.get_running_loop()

    async def read(self, length: int) -> bytes:
        """So many bytes, or fewer and the end. Raises ConnectionResetError where the connection is reset."""
        self.socket.setblocking(False)
        data = b""
        while len(data) < length and (more := await self._loop.sock_recv(self.socket, length - len(data))):
            data += more
        self.socket.settimeout(5)
        return data

    async def rest(self) -> bytes:
        """All until the end of the connection."""
        return await self.read(1 << 20)


Connect = Callable[[], Awaitable[tuple[Client, Connection]]]
Scenario = Callable[[Heard, Clients, Connect], Awaitable[None]]


class Refusing(Heard):
    """Stands in for the engine in a shutdown: a request has its refusal in the loop's next turn."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = 0
        self.most_queued = 0  # entries in the queue of a connection that a request came on
        self.refusing = False

    def submit(self, call: Any) -> int:
        if not self.refusing:
            return super().submit(call)
        self.refused += 1
        self.most_queued = max(self.most_queued, len(call.connection.queue))
        asyncio.get_running_loop().call_soon(call.refused, 0)
        return 1


def play(scenario: Scenario, most: int = 8, heard: Heard | None = None) -> None:
    heard = heard or Heard()

    async def start() -> None:
        clients = Clients(cast(Engine, heard), TERMS, most, asyncio.get_running_loop())
        await clients.listen(LOCAL, 0)
        opened: list[Client] = []

        async def connect() -> tuple[Client, Connection]:
            """A client that has had an answer, and the gateway's side of its connection."""
            known = set(clients.connections)
            client = Client(clients.port)
            opened.append(client)
            client.socket.sendall(PING)
            assert await client.read(len(PONG)) == PONG
            (connection,) = clients.connections - known
            return client, connection

        try:
            await scenario(heard, clients, connect)
        finally:
            for client in opened:
                client.socket.close()
            for connection in list(clients.connections):
                connection.transport.abort()

    run(start)


def arrive(client: Client, connection: Connection | http.Connection, data: bytes) -> None:
    """Bytes of the client lie unread at the gateway when this returns; its loop has had no turn meanwhile."""
    client.socket.sendall(data)
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    assert poll.poll(5_000)


def test_a_request_that_has_come_before_the_close_of_a_resting_connection_is_answered() -> None:
    # Guards what the client wrote in time: the close is put off until it has been read.
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, call(1))
        connection.end()
        (await heard.calls.get()).served(b"one")
        connection.end()
        assert await client.rest() == SERVED

    play(scenario)


def test_a_request_that_crosses_the_close_of_a_resting_connection_is_discarded_and_not_reset() -> None:
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, call(1))
        connection.end(patient=False)
        assert await client.rest() == b""
        client.socket.close()
        await until(lambda: not clients.connections)
        assert heard.calls.empty()

    play(scenario)


def test_an_answer_is_read_whole_though_garbage_behind_its_request_is_never_read() -> None:
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(call(1) + b"no command\r\n")
        first = await heard.calls.get()  # reading has stopped: what comes now stays in the system
        arrive(client, connection, b"x" * 10_000)
        first.served(b"one")
        answer = await client.rest()
        assert answer.startswith(SERVED + b"-ERR Protocol error")

    play(scenario)


def test_a_client_that_goes_on_sending_after_the_close_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "DISCARD_LIMIT", 1_000)
    monkeypatch.setattr(lingering, "LINGER_SECONDS", 3_600.0)

    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        connection.end()
        assert await client.rest() == b""
        client.socket.sendall(b"x" * 2_000)
        await until(lambda: not clients.connections)
        assert heard.calls.empty()

    play(scenario)


def test_a_client_that_never_closes_is_cut_off_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lingering, "LINGER_SECONDS", 0.01)

    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        connection.end()
        assert await client.rest() == b""
        await until(lambda: not clients.connections)

    play(scenario)


def test_room_is_made_by_a_connection_on_which_no_request_waits_to_be_read() -> None:
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        oldest, of_oldest = await connect()
        second, _ = await connect()
        of_oldest.transport.pause_reading()  # its request lies in the system while the third one comes
        arrive(oldest, of_oldest, PING)
        third, _ = await connect()
        assert await second.rest() == b""
        of_oldest.transport.resume_reading()
        assert await oldest.read(len(PONG)) == PONG
        third.socket.sendall(PING)
        assert await third.read(len(PONG)) == PONG

    play(scenario, most=2)


def test_a_closing_connection_makes_room_before_one_that_is_in_use() -> None:
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        idle, _ = await connect()
        closing, of_closing = await connect()
        of_closing.end()
        await connect()
        assert of_closing not in clients.connections
        idle.socket.sendall(PING)
        assert await idle.read(len(PONG)) == PONG

    play(scenario, most=2)


def test_a_client_that_closes_while_its_connection_is_not_read_has_gone() -> None:
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(b"".join(call(number) for number in range(MOST_OPEN)))
        for _ in range(MOST_OPEN):
            await heard.calls.get()
        arrive(client, connection, call(MOST_OPEN))  # not read: as many as allowed wait for their answers
        client.socket.close()
        left = {await heard.left.get() for _ in range(MOST_OPEN)}
        assert left == set(range(1, MOST_OPEN + 1))
        assert heard.calls.empty()

    play(scenario)


def test_a_client_that_only_stops_sending_has_gone_and_still_gets_what_was_answered() -> None:
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, _ = await connect()
        client.socket.sendall(call(1) + call(2))
        first, second = await heard.calls.get(), await heard.calls.get()
        first.served(b"one")
        client.socket.shutdown(socket.SHUT_WR)
        assert await heard.left.get() == 2
        second.served(b"two")
        assert await client.rest() == SERVED
        await until(lambda: not clients.connections)

    play(scenario)


def test_a_client_that_stops_sending_and_reading_has_gone_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resp2, "PATIENCE", 3_600.0)

    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        own = connection.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 50_000)
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 10_000)
        client.socket.sendall(b"".join(call(number) for number in range(MOST_OPEN - 1)))
        calls = [await heard.calls.get() for _ in range(MOST_OPEN - 1)]
        while not connection.transport.get_write_buffer_size():  # the system takes no more for the client
            calls.pop(0).served(b"x" * 20_000)
            for _ in range(20):  # the loop writes what it was given
                await asyncio.sleep(0)
        assert not connection._holds  # the connection is read: what follows shows there
        client.socket.shutdown(socket.SHUT_WR)
        left = {await heard.left.get() for _ in calls}
        assert left == set(range(MOST_OPEN - len(calls), MOST_OPEN))

    play(scenario)


def test_answers_are_not_held_back_by_the_system() -> None:
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        _, connection = await connect()
        own = connection.transport.get_extra_info("socket")
        assert own.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(scenario)


def test_commands_behind_a_ping_are_answered_though_the_front_is_closing() -> None:
    # Guards against an end between two commands: the second was sent on, and its answer had nowhere to go.
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        clients.draining.closing = True
        arrive(client, connection, PING + call(1))
        (await heard.calls.get()).served(b"one")
        assert await client.rest() == PONG + SERVED

    play(scenario)


def test_commands_that_wait_behind_a_full_queue_are_answered_though_the_front_is_closing() -> None:
    # Guards what has been read but not taken: answers that come all at once empty the queue in one turn.
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(MOST_OPEN + 8)))
        calls = [await heard.calls.get() for _ in range(MOST_OPEN)]
        clients.draining.closing = True
        for answered in [*calls[1:], calls[0]]:
            answered.served(b"one")
        for _ in range(8):
            (await heard.calls.get()).served(b"one")
        assert await client.rest() == SERVED * (MOST_OPEN + 8)

    play(scenario)


def test_commands_behind_one_that_is_unknown_are_answered_though_the_front_ends() -> None:
    # Guards what is read later on purpose, as repeats of such a command must not take the others' CPU.
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(resp(b"SELECT", b"1"))
        assert (await client.read(len(UNKNOWN))) == UNKNOWN
        arrive(client, connection, call(1))  # not read for now
        connection.end()
        (await heard.calls.get()).served(b"one")
        connection.end()
        assert await client.rest() == SERVED

    play(scenario)


def test_a_client_that_floods_with_pings_and_reads_no_answer_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards memory and descriptors: its commands come in turns, and a turn is no sign that it reads.
    monkeypatch.setattr(resp2, "PATIENCE", 0.5)

    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
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
                break  # it has been cut off already
            await asyncio.sleep(0.01)
        await until(lambda: connection not in clients.connections)

    play(scenario)


async def refusing_behind_a_full_queue(
    engine: Refusing, clients: Clients, connect: Connect, behind: int
) -> tuple[Client, Connection, list[Any]]:
    """A client with as many open commands as allowed, so many unread behind them, and new ones refused."""
    client, connection = await connect()
    arrive(client, connection, b"".join(call(number) for number in range(MOST_OPEN)))
    calls = [await engine.calls.get() for _ in range(MOST_OPEN)]
    arrive(client, connection, b"".join(call(MOST_OPEN + number) for number in range(behind)))
    engine.refusing = True
    clients.refuse_after(0.0)
    clients.draining.closing = True
    return client, connection, calls


def test_commands_behind_a_full_queue_are_read_and_refused_once_new_ones_are() -> None:
    # Guards their answers: left until the queue is answered, they are too many for the time before the kill.
    engine, behind = Refusing(), 10 * TURN + 5

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        client, connection, calls = await refusing_behind_a_full_queue(engine, clients, connect, behind)
        connection.end()  # the drain's look
        await until(lambda: engine.refused == behind)
        assert engine.most_queued <= MOST_OPEN + 1 + TURN  # what is answered is kept as one
        for answered in calls:
            answered.failed()
        connection.end()
        assert await client.rest() == b"-ERR failed\r\n" * MOST_OPEN + REFUSED * behind

    play(scenario, heard=engine)


def test_what_is_kept_behind_a_full_queue_is_bounded_by_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    engine, behind = Refusing(), 10 * TURN + 5
    monkeypatch.setattr(resp2, "MOST_KEPT", 3 * TURN * len(REFUSED))

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        client, connection, calls = await refusing_behind_a_full_queue(engine, clients, connect, behind)
        for _ in range(100):
            connection.end()
            await asyncio.sleep(0)
        assert engine.refused == 3 * TURN
        for answered in calls:
            answered.failed()
        await until(lambda: engine.refused == behind)  # there is room again
        connection.end()
        assert await client.rest() == b"-ERR failed\r\n" * MOST_OPEN + REFUSED * behind

    play(scenario, heard=engine)


def test_others_have_their_turn_between_commands_read_behind_a_full_queue() -> None:
    engine, behind = Refusing(), 20 * TURN

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        other, of_other = await connect()
        _, connection, _ = await refusing_behind_a_full_queue(engine, clients, connect, behind)
        arrive(other, of_other, PING)
        connection.end()
        assert await other.read(len(PONG)) == PONG
        assert engine.refused < behind

    play(scenario, heard=engine)


def test_nothing_is_read_behind_a_full_queue_while_new_ones_are_taken() -> None:
    # Guards the bound on what one connection may have open.
    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(MOST_OPEN)))
        for _ in range(MOST_OPEN):
            await heard.calls.get()
        arrive(client, connection, call(MOST_OPEN))
        clients.refuse_after(60.0)
        clients.draining.closing = True
        for _ in range(100):
            connection.end()
            await asyncio.sleep(0)
        assert heard.calls.empty()

    play(scenario)


def test_what_has_come_is_read_though_the_patience_of_the_drain_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards what was written long before: it waits for the connection's next turn, and nothing is owed.
    monkeypatch.setattr(draining, "READ_ON", 60.0, raising=False)
    engine, written = Refusing(), 20 * TURN
    engine.refusing = True

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.sendall(resp(b"SELECT", b"1"))
        assert (await client.read(len(UNKNOWN))) == UNKNOWN
        arrive(client, connection, b"".join(call(number) for number in range(written)))  # not read for now
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=0.0, cut_off=120.0)))
        assert await client.rest() == REFUSED * written
        client.socket.close()
        await drain

    play(scenario, heard=engine)


def test_what_has_come_is_read_for_as_long_as_the_drain_is_patient(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a limit of its own on what waits to be read, counted from the first look.
    monkeypatch.setattr(resp2, "HALF_READ", 0.0)
    engine, written = Refusing(), 20 * TURN
    engine.refusing = True

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(written)))
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=60.0, cut_off=120.0)))
        assert await client.rest() == REFUSED * written
        client.socket.close()
        await drain

    play(scenario, heard=engine)


def test_a_client_that_writes_without_end_does_not_hold_the_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(draining, "READ_ON", 0.0, raising=False)
    engine = Refusing()
    engine.refusing = True

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        arrive(client, connection, b"".join(call(number) for number in range(4 * TURN)))
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=0.0, cut_off=120.0)))
        reader, writer = await asyncio.open_connection(sock=client.socket)
        number, ended = 4 * TURN, asyncio.create_task(reader.read())
        while not ended.done():
            writer.write(call(number))
            await asyncio.sleep(0)
            number += 1
        assert set(ended.result().split(b"\r\n")) <= {b"-BUSY", b""}
        writer.close()
        await drain

    play(scenario, heard=engine)


class Options:
    """Stands in for a description: all that it serves is `OPTIONS *`."""

    @staticmethod
    def allowed(segments: list[str]) -> list[str]:
        """The methods that are named in the answer."""
        return ["GET"]


def test_what_has_come_by_http_is_answered_though_the_patience_of_the_drain_is_over() -> None:
    async def start() -> None:
        serving = http.Serving(cast(Admission, Options()), Repeats(1, 1.0), 1)
        front = http.Web(cast(Engine, Heard()), serving, 8, asyncio.get_running_loop())
        await front.listen(LOCAL, 0)
        client = Client(front.addresses[0][1])
        client.socket.sendall(OPTIONS)
        answer = b""
        while not answer.endswith(b"\r\n\r\n"):
            answer += await client.read(1)
        (connection,) = front.connections
        front.draining.closing = True
        arrive(client, connection, OPTIONS)
        connection.end(patient=False, reads_on=True)
        assert b"Connection: close" in await client.rest()
        client.socket.close()
        await until(lambda: not front.connections)
        front.close()

    run(start)


def test_an_idle_connection_that_is_asked_to_end_again_is_read_first(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against counting from an earlier time: the sweep may ask one that idles again and again.
    monkeypatch.setattr(resp2, "HALF_READ", 0.02)

    async def scenario(heard: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        for number in range(2):
            arrive(client, connection, call(number))
            connection.end()
            (await heard.calls.get()).served(b"one")
            assert await client.read(len(SERVED)) == SERVED
            await asyncio.sleep(0.05)  # longer than HALF_READ
        connection.end()
        assert await client.rest() == b""

    play(scenario)


def test_commands_of_a_client_that_reads_its_answers_slowly_are_answered_before_the_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards clients behind a narrow network: a pause in their reading is no sign that they never read.
    monkeypatch.setattr(draining, "READ_ON", 60.0)
    engine, written = Refusing(), 200 * TURN
    engine.refusing = True

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        client, connection = await connect()
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 5_000)
        own = connection.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 5_000)
        connection.transport.set_write_buffer_limits(high=1_000)
        reader, writer = await asyncio.open_connection(sock=client.socket, limit=1)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(b"".join(call(number) for number in range(written)))
        await until(lambda: bool(connection._holds & Connection.UNREAD))
        drain = asyncio.create_task(clients.drain(DrainTimes(announce=0.0, patience=0.0, cut_off=120.0)))
        await asyncio.sleep(3 * draining.LOOK)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert await reader.read() == REFUSED * written
        writer.close()
        await drain

    play(scenario, heard=engine)


@pytest.mark.parametrize("shutdown", [False, True], ids=["in service", "in a shutdown"])
def test_in_each_round_of_the_loop_one_of_many_that_write_much_has_its_turn(shutdown: bool) -> None:
    # Guards all else that is due, as signals and deadlines: a round in which all have theirs is long.
    engine, connections, written = Refusing(), 6, 6 * TURN  # less than a socket holds: it comes at once
    engine.refusing = True

    async def scenario(__: Heard, clients: Clients, connect: Connect) -> None:
        ends = [await connect() for _ in range(connections)]
        if shutdown:
            clients.refuse_after(0.0)
        for client, connection in ends:
            arrive(client, connection, b"".join(call(number) for number in range(written)))
        taken = []
        while engine.refused < connections * written:
            before = engine.refused
            await asyncio.sleep(0)
            taken.append(engine.refused - before)
        assert sum(count > TURN for count in taken) <= 1  # the first, when all of them come

    play(scenario, heard=engine)
