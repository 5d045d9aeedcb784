"""Large values with other commands behind them: when they are begun, and what is lost if they break."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lynxreel.fronts.arrival_times import ArrivalTimes
from lynxreel.fronts.calls import CallRules
from lynxreel.fronts.resp2 import Connection
from lynxreel.relay import deferral
from lynxreel.relay.deferral import DEADLINE_MARGIN, Deferral
from mothgap.interface import Result
from tests.helpers import SETTINGS
from tests.net import NAMES, call
from tests.test_relay import LARGE, TAIL, Rig, head, reset, run_scenario, value, wait_until

RATED_DEFERRAL = deferral.MAX_DEFERRAL
PATIENT = b"c=lookup,t=basic,d=900000,units=2,spread=2,first=1"
SMALL = b"*3\r\n$1\r\nz" + TAIL
SMALL_ANSWER = b"$1\r\nz\r\n"
FAILED = b"-ERR failed\r\n"


@pytest.fixture(autouse=True)
def endless_deferral(monkeypatch: pytest.MonkeyPatch) -> None:
    """Waits end by events, not by their bounds, unless a test sets a bound."""
    monkeypatch.setattr(deferral, "MAX_DEFERRAL", 3_600.0)
    monkeypatch.setattr(Connection, "max_unread_wait", 3_600.0)


async def ask(rig: Rig, writer: asyncio.StreamWriter, count: int) -> list[asyncio.StreamWriter]:
    """Write so many calls of patient clients; returns the servers' sides of their connections, in order."""
    servers = []
    for number in range(count):
        writer.write(call(number, PATIENT))
        servers.append((await rig.peer.receive())[0])
    return servers


def end_of(server: asyncio.StreamWriter, end: str) -> None:
    """Break the value that this server is writing, of which 60,000 of 100,000 bytes have been written."""
    if end == "reset":
        reset(server)
    elif end == "closed":
        server.close()
    else:
        server.write(value(40_000) + b"no end of a value")


@pytest.mark.parametrize("end", ["reset", "closed", "spoilt"])
@pytest.mark.parametrize("behind", [1, 8])
def test_a_value_that_breaks_while_it_arrives_fails_alone(end: str, behind: int) -> None:
    # Guards against losing answers of requests that have run, behind a value that had been begun too early.
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 1 + behind)
        servers[0].write(head(100_000) + value(60_000))
        for server in servers[1:]:
            server.write(SMALL)
        await wait_until(lambda: rig.engine.ended.qsize() == 1 + behind)
        await wait_until(lambda: rig.budget.buffered == 60_000)
        end_of(servers[0], end)
        expected = FAILED + SMALL_ANSWER * behind
        assert await reader.readexactly(len(expected)) == expected
        assert (len(rig.budget), rig.budget.buffered) == (0, 0)

    run_scenario(scenario)


def test_the_second_of_two_values_that_breaks_fails_alone() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 3)
        servers[0].write(head(100_000) + value(100_000) + TAIL)
        servers[1].write(head(100_000) + value(60_000))
        servers[2].write(SMALL)
        expected = b"$100000\r\n" + value(100_000) + b"\r\n"
        assert await reader.readexactly(len(expected)) == expected
        reset(servers[1])
        expected = FAILED + SMALL_ANSWER
        assert await reader.readexactly(len(expected)) == expected

    run_scenario(scenario)


def test_a_process_does_not_end_while_a_value_is_deferred() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 2)
        assert not rig.clients.is_sending()
        servers[0].write(head(100_000) + value(60_000))
        await wait_until(lambda: rig.budget.buffered == 60_000)
        assert rig.clients.is_sending()

    run_scenario(scenario)


def test_a_value_with_commands_behind_it_is_begun_as_soon_as_it_is_whole() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 2)
        servers[1].write(SMALL)
        servers[0].write(head(100_000) + value(60_000))
        await wait_until(lambda: rig.budget.buffered == 60_000)
        assert not rig.clients.table.streams
        servers[0].write(value(100_000)[60_000:] + TAIL)
        expected = b"$100000\r\n" + value(100_000) + b"\r\n" + SMALL_ANSWER
        assert await reader.readexactly(len(expected)) == expected

    run_scenario(scenario)


def test_a_value_that_stays_incomplete_is_begun_after_a_bounded_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against holding back what a slow server gives.
    monkeypatch.setattr(deferral, "MAX_DEFERRAL", 0.1)

    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 2)
        servers[1].write(SMALL)
        servers[0].write(head(100_000) + value(60_000))
        expected = b"$100000\r\n" + value(60_000)
        assert await reader.readexactly(len(expected)) == expected

    run_scenario(scenario)


def test_a_value_that_was_begun_is_read_ahead_for_commands_behind_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against values that may break for as long as their client takes to read them.
    monkeypatch.setattr(deferral, "MAX_DEFERRAL", 0.0)

    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        servers = await ask(rig, writer, 2)
        (connection,) = rig.clients.connections
        own = connection.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
        servers[0].write(head(LARGE) + value(LARGE) + TAIL)
        servers[1].write(SMALL)
        await wait_until(lambda: len(rig.servers._pools["s-1"].idle) == 2)
        assert rig.clients.table.streams
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        expected = b"$%d\r\n%b\r\n" % (LARGE, value(LARGE)) + SMALL_ANSWER
        assert await reader.readexactly(len(expected)) == expected

    run_scenario(scenario, budget=16 << 20)


def test_a_value_is_begun_before_the_deadline_of_its_client() -> None:
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        terms = b"c=lookup,t=basic,d=300,units=2,spread=2,first=1"
        writer.write(call(1, terms) + call(2))
        started = asyncio.get_running_loop().time()
        servers = [(await rig.peer.receive(TAIL[:2]))[0] for _ in range(2)]
        for server in servers:
            server.write(head(100_000) + value(60_000))
        assert await reader.readexactly(9) == b"$100000\r\n"
        assert asyncio.get_running_loop().time() - started < 0.3

    run_scenario(scenario)


def test_a_value_for_which_there_is_no_memory_is_begun_though_commands_wait_behind_it() -> None:
    # Guards against a value that waits for its rest while the rest waits for room.
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        servers = await ask(rig, writer, 2)
        servers[1].write(SMALL)
        servers[0].write(head(LARGE) + value(LARGE) + TAIL)
        expected = b"$%d\r\n%b\r\n" % (LARGE, value(LARGE)) + SMALL_ANSWER
        assert await reader.readexactly(len(expected)) == expected

    run_scenario(scenario, budget=128 * 1024)


Begun = Callable[
    [Rig, asyncio.StreamReader, asyncio.StreamWriter, asyncio.StreamWriter, Connection], Awaitable[None]
]


def with_begun_value(scenario: Begun, size: int = 1_000_000, budget: int = 8 << 20) -> None:
    """Play a scenario in which a value has been begun, with nothing behind it."""

    async def start(rig: Rig) -> None:
        reader, writer = await rig.client()
        (server,) = await ask(rig, writer, 1)
        server.write(head(size) + value(size)[:100])
        await wait_until(lambda: bool(rig.clients.table.streams))
        (connection,) = rig.clients.connections
        await scenario(rig, reader, writer, server, connection)

    run_scenario(start, budget)


def test_commands_that_come_behind_a_value_that_breaks_have_no_effect() -> None:
    # Guards against effects whose client never hears of them: the broken value ends the connection.
    async def scenario(
        rig: Rig,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
        connection: Connection,
    ) -> None:
        writer.write(call(2) + call(3))
        await wait_until(lambda: connection._values.arrivals.oldest_age(1e9) > 0)
        reset(server)
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        assert rig.engine.calls.qsize() == 1

    with_begun_value(scenario)


def test_earlier_answers_arrive_though_a_value_behind_them_breaks() -> None:
    # Guards against whole answers that a reset throws away, as commands lie unread at the break.
    async def scenario(rig: Rig) -> None:
        reader, writer = await rig.client()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await wait_until(lambda: bool(rig.clients.connections))
        (connection,) = rig.clients.connections
        own = connection.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
        first, second = await ask(rig, writer, 2)
        first.write(head(1_000_000) + value(1_000_000) + TAIL)
        await wait_until(lambda: rig.engine.ended.qsize() == 1 and not rig.clients.table.streams)
        second.write(head(100_000) + value(100))
        await wait_until(lambda: bool(rig.clients.table.streams))
        writer.write(call(3))
        await wait_until(lambda: connection._values.arrivals.oldest_age(1e9) > 0)
        reset(second)
        await wait_until(lambda: connection in rig.clients.table.lingering)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        got = await reader.read()
        assert got == b"$1000000\r\n%b\r\n$100000\r\n%b" % (value(1_000_000), value(100))

    run_scenario(scenario, budget=8 << 20)


def test_commands_behind_a_value_are_read_once_it_has_arrived_though_its_client_does_not_read() -> None:
    # Guards against sound requests that wait for as long as their client takes to read a value.
    async def scenario(
        rig: Rig,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
        connection: Connection,
    ) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        own = connection.transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
        server.write(value(LARGE)[100:] + TAIL)
        await wait_until(lambda: rig.budget.buffered > 0)
        writer.write(call(2))
        other, _ = await rig.peer.receive()
        other.write(SMALL)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        expected = b"$%d\r\n%b\r\n" % (LARGE, value(LARGE)) + SMALL_ANSWER
        assert await reader.readexactly(len(expected)) == expected

    with_begun_value(scenario, LARGE, budget=16 << 20)


def test_commands_wait_for_a_bounded_time_behind_a_value_that_arrives_slowly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against sound requests whose time passes unread behind a slow server.
    monkeypatch.setattr(Connection, "max_unread_wait", 0.2)

    async def scenario(
        rig: Rig,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
        connection: Connection,
    ) -> None:
        writer.write(call(2))
        await rig.peer.receive()
        assert rig.clients.table.streams

    with_begun_value(scenario)


def test_the_time_that_a_command_lay_unread_is_taken_off_its_clients_time() -> None:
    # Guards against telling servers a deadline that lies after the client's.
    async def scenario(
        rig: Rig,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
        connection: Connection,
    ) -> None:
        await rig.engine.calls.get()
        writer.write(call(2))
        await wait_until(lambda: connection._values.arrivals.oldest_age(1e9) > 0)
        await asyncio.sleep(0.2)
        writer.write(call(3))
        await asyncio.sleep(0.1)
        server.write(value(1_000_000)[100:] + TAIL)
        earlier, later = await rig.engine.calls.get(), await rig.engine.calls.get()
        assert earlier.patience <= 900 - 300
        assert earlier.patience + 150 <= later.patience <= 900

    with_begun_value(scenario)


def test_a_refusing_front_reads_behind_a_value_that_arrives() -> None:
    # Guards against requests that lie unread behind a slow value until their gateway is killed.
    async def scenario(
        rig: Rig,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
        connection: Connection,
    ) -> None:
        await rig.engine.calls.get()
        rig.clients.refuse_after(0.0)
        connection.end()
        writer.write(call(2))
        assert (await rig.engine.calls.get()).id == b"%016x" % 2
        assert rig.clients.table.streams

    with_begun_value(scenario)


def test_a_value_that_breaks_after_it_was_begun_is_no_success_for_its_client() -> None:
    async def scenario(
        rig: Rig,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
        connection: Connection,
    ) -> None:
        reset(server)
        got = await reader.read()
        assert got == b"$1000000\r\n" + value(1_000_000)[:100]
        assert (await rig.engine.ended.get())[1] is Result.OK
        await wait_until(lambda: not rig.clients.connections)

    with_begun_value(scenario)


def test_a_value_is_held_back_for_less_time_than_the_protocol_allows() -> None:
    assert 0 < RATED_DEFERRAL < 2.0


@pytest.mark.parametrize(("deadline", "wait"), [(300_000, 0.15), (2_000_000, 1.0), (30_000_000, 1.5)])
def test_commands_left_unread_keep_half_of_the_shortest_deadline(deadline: int, wait: float) -> None:
    # Guards against sound requests that are refused, as all of their time has passed unread.
    classes = (
        replace(SETTINGS.classes[0], deadline=deadline),
        replace(SETTINGS.classes[2], deadline=90_000_000),
    )
    rules = CallRules.from_settings(replace(SETTINGS, classes=classes), NAMES)
    assert rules.max_unread_wait == pytest.approx(wait)


@given(st.floats(0, 1e6), st.floats(-1, 5_000), st.floats(0, 10))
def test_no_deferral_goes_beyond_its_bounds(now: float, time_left: float, later: float) -> None:
    wait = Deferral(now, time_left).remaining(now + later, can_grow=True)
    assert 0.0 <= wait <= deferral.MAX_DEFERRAL + 1e-6
    assert wait == 0.0 or later + wait <= time_left - DEADLINE_MARGIN + 1e-6
    assert Deferral(now, time_left).remaining(now, can_grow=False) == 0.0


@given(st.lists(st.tuples(st.integers(1, 100), st.integers(1, 100)), min_size=1, max_size=20))
def test_each_command_has_the_age_of_the_look_that_saw_it_first(steps: list[tuple[int, int]]) -> None:
    arrivals, unread, now, ages = ArrivalTimes(), 0, 0.0, list[float]()
    for size, wait in steps:
        unread += size
        arrivals.look(now, unread)
        ages.append(now)
        now += wait
    arrivals.read(unread)
    for (size, _), seen in zip(steps, ages, strict=True):
        unread -= size
        assert arrivals.age(now, unread) == now - seen
    arrivals.read(10)
    assert arrivals.age(now, 0) == 0.0
