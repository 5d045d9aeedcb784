"""Calls to a counter on a loopback socket: each ends once, and is told for what it is."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lynxreel.counters import bump as module
from lynxreel.counters.bump import Counter
from mothgap.interface import Count, Counted, CountedLate, Result
from tests.helpers import Driver, action_names
from tests.net import LOCAL, ScriptedServer, run

LIMIT = 50_000  # microseconds
LONG = 10_000_000


class Told(asyncio.Queue[Counted]):
    """What the counter tells; totals that came late apart."""

    def __init__(self) -> None:
        super().__init__()
        self.late: asyncio.Queue[CountedLate] = asyncio.Queue()

    def take(self, event: Counted | CountedLate) -> None:
        if isinstance(event, CountedLate):
            self.late.put_nowait(event)
        else:
            self.put_nowait(event)


def play(scenario: Callable[[Counter, ScriptedServer, Told], Awaitable[None]], limit: int) -> None:
    async def start() -> None:
        told = Told()
        async with ScriptedServer() as peer:
            counter = Counter((LOCAL, peer.port), limit, told.take, asyncio.get_running_loop())
            await up(counter)
            await scenario(counter, peer, told)
            counter.close()

    run(start)


async def up(counter: Counter) -> None:
    """Until all connections are there."""
    while not all(line is not None and line.usable() for line in counter._lines):
        await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    ("reply", "result", "total"),
    [
        (b"ok 12.5\r\n", Result.OK, 12.5),
        (b"busy\r\n", Result.FULL, 0.0),
        (b"error\r\n", Result.FULL, 0.0),
        (b"what\r\n", Result.RESET, 0.0),
        (b"ok nan\r\n", Result.RESET, 0.0),
        (b"ok\r\n", Result.RESET, 0.0),
        (b"\xff" * 1_000, Result.RESET, 0.0),
    ],
)
def test_each_answer_has_its_result(reply: bytes, result: Result, total: float) -> None:
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        counter.add(0xABC, -2.5, 4_000_001)
        assert await peer.answer(reply) == b"bump abc -2.500000 4001\r\n"
        counted = await told.get()
        assert (counted.name, counted.result, counted.total) == (0xABC, result, total)

    play(scenario, LONG)


def test_a_name_keeps_to_one_connection_and_answers_go_to_their_calls_in_order() -> None:
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        for amount in (1.0, 2.0, 3.0):
            counter.add(8, amount, 1_000_000)
        writer, data = await peer.receive()
        while data.count(b"\r\n") < 3:
            data += (await peer.receive())[1]
        writer.write(b"ok 1\r\nok 3\r")
        writer.write(b"\nok 6\r\n")
        assert [(await told.get()).total for _ in range(3)] == [1.0, 3.0, 6.0]

    play(scenario, LONG)


def test_a_late_answer_is_taken_in_its_place_and_told_as_late() -> None:
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        counter.add(8, 1.0, 1_000_000)
        writer, _ = await peer.receive()
        assert (await told.get()).result is Result.TIMEOUT
        counter.add(8, 2.0, 1_000_000)
        await peer.receive()
        writer.write(b"ok 1\r\nok 3\r\n")
        counted = await told.get()
        assert (counted.result, counted.total) == (Result.OK, 3.0)
        assert told.empty()
        assert told.late.get_nowait() == CountedLate(8, 1.0, 1.0)
        assert told.late.empty()

    play(scenario, LIMIT)


def test_a_late_total_tells_the_module_that_a_customer_has_no_room() -> None:
    # Guards the quotas where most calls are late: what others took would stay unseen.
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        driver = Driver()
        (call,) = driver.request()
        assert isinstance(call, Count)
        counter.add(call.name, call.amount, call.lifetime)
        writer, _ = await peer.receive()
        assert action_names(driver.feed(await told.get())) == ["Send"]  # in time, without its total
        writer.write(b"ok 9\r\n")  # others took 8 of 8
        driver.feed(await told.late.get())
        assert action_names(driver.request()) == ["Refuse"]

    play(scenario, LIMIT)


def test_a_break_after_the_call_is_unknown_and_without_a_connection_nothing_is_added() -> None:
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        counter.add(8, 1.0, 1_000_000)
        await peer.receive()
        for writer in peer.writers:
            writer.transport.abort()
        assert (await told.get()).result is Result.RESET
        while counter.line_of(8) is not None:
            await asyncio.sleep(0)
        counter.add(8, 1.0, 1_000_000)
        assert (await told.get()).result is Result.CONNECT_FAILED
        await up(counter)  # it connects again by itself
        counter.add(8, 1.0, 1_000_000)
        while (heard := await peer.receive())[1] == b"":
            pass
        heard[0].write(b"ok 1\r\n")
        assert (await told.get()).result is Result.OK

    play(scenario, LONG)


def test_a_quiet_connection_is_kept_up_by_pings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "PING_AFTER", 0.0)
    monkeypatch.setattr(module, "TEND", 0.01)

    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        writer, data = await peer.receive()
        assert data == b"ping\r\n"
        name = next(n for n in range(9) if counter.line_of(n) is counter.line_of(0))
        writer.write(b"pong\r\n")
        counter.add(name, 1.0, 1_000)
        assert told.empty()

    play(scenario, LONG)


def test_a_connection_that_never_answers_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "DEAD_AFTER", 0.0)
    monkeypatch.setattr(module, "TEND", 0.01)

    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        counter.add(8, 1.0, 1_000_000)
        assert (await peer.receive())[1] != b""
        assert (await peer.receive())[1] == b""
        assert (await told.get()).result is Result.RESET

    play(scenario, LONG)


def test_a_call_on_a_connection_that_is_closing_adds_nothing() -> None:
    # Guards against a write that the transport drops because the other end's close is still to be told.
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        while (line := counter.line_of(8)) is not None:
            assert line.transport is not None
            line.transport.close()
        counter.add(8, 1.0, 1_000_000)
        assert (await told.get()).result is Result.CONNECT_FAILED

    play(scenario, LONG)


def test_a_spoilt_answer_costs_one_connection_and_its_names_go_on_on_the_other() -> None:
    # Guards the quotas: what is not counted is let through on trust.
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        counter.add(8, 1.0, 1_000_000)
        first, _ = await peer.receive()
        first.write(b"what\r\n")
        assert (await told.get()).result is Result.RESET
        counter.add(8, 2.0, 1_000_000)
        while (heard := await peer.receive())[1] == b"":
            pass
        assert heard[0] is not first
        counter.add(8, 3.0, 1_000_000)  # while one is out the next goes the same way, whoever is back
        while (again := await peer.receive())[1] == b"":
            pass
        assert again == (heard[0], b"bump 8 3.000000 1000\r\n")
        heard[0].write(b"ok 3\r\nok 6\r\n")
        assert [(await told.get()).total for _ in range(2)] == [3.0, 6.0]

    play(scenario, LONG)


def test_a_connection_that_had_answered_is_replaced_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "RETRY", 60.0)

    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        counter.add(8, 1.0, 1_000_000)
        first, _ = await peer.receive()
        first.write(b"ok 1\r\nwhat\r\n")
        assert (await told.get()).result is Result.OK
        assert await peer.receive() == (first, b"")
        while len(peer.writers) < 3:
            await asyncio.sleep(0.001)

    play(scenario, LONG)


def test_a_move_leaves_calls_to_end_where_they_are_and_new_ones_go_to_the_new_address() -> None:
    async def scenario(counter: Counter, peer: ScriptedServer, told: Told) -> None:
        counter.add(8, 1.0, 1_000_000)
        writer, _ = await peer.receive()
        async with ScriptedServer() as other:
            counter.move((LOCAL, other.port))
            counter.move((LOCAL, other.port))  # twice is harmless
            counter.add(7, 1.0, 1_000_000)  # no gap: the new one is not up yet
            assert (await peer.receive())[1] == b"bump 7 1.000000 1000\r\n"
            while len(other.writers) < 2:
                await asyncio.sleep(0.001)
            counter.add(9, 2.0, 1_000_000)
            heard = await other.receive()
            assert heard[1] == b"bump 9 2.000000 1000\r\n"
            heard[0].write(b"ok 2\r\n")
            assert (await told.get()).total == 2.0
            writer.write(b"ok 1\r\n")
            assert (await told.get()).total == 1.0
            assert await peer.receive() == (writer, b"")  # closed, as nothing is out on it
            counter.close()

    play(scenario, LONG)
