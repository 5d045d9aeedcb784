"""Tests of the counter service's client on a loopback socket: each call ends once, with the right result."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lynxreel.counters import bump
from lynxreel.counters.bump import Counter
from mothgap.interface import Count, Counted, CountedLate, Result
from tests.helpers import Driver, action_names
from tests.net import LOCAL, Peer, run

TIME_LIMIT = 50_000  # microseconds
LONG_TIME_LIMIT = 10_000_000  # microseconds


class Outcomes(asyncio.Queue[Counted]):
    """Outcomes posted by the counter; late totals are in a queue of their own."""

    def __init__(self) -> None:
        super().__init__()
        self.late: asyncio.Queue[CountedLate] = asyncio.Queue()

    def put_event(self, event: Counted | CountedLate) -> None:
        if isinstance(event, CountedLate):
            self.late.put_nowait(event)
        else:
            self.put_nowait(event)


def run_scenario(scenario: Callable[[Counter, Peer, Outcomes], Awaitable[None]], limit: int) -> None:
    async def start() -> None:
        outcomes = Outcomes()
        async with Peer() as peer:
            counter = Counter((LOCAL, peer.port), limit, outcomes.put_event, asyncio.get_running_loop())
            await wait_until_connected(counter)
            await scenario(counter, peer, outcomes)
            counter.close()

    run(start)


async def wait_until_connected(counter: Counter) -> None:
    """Wait until all connections are open."""
    while not all(connection is not None and connection.usable() for connection in counter._connections):
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
def test_each_answer_gives_its_result(reply: bytes, result: Result, total: float) -> None:
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        counter.add(0xABC, -2.5, 4_000_001)
        assert await peer.answer(reply) == b"bump abc -2.500000 4001\r\n"
        counted = await outcomes.get()
        assert (counted.name, counted.result, counted.total) == (0xABC, result, total)

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_calls_of_a_name_use_one_connection_and_answers_match_them_in_order() -> None:
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        for amount in (1.0, 2.0, 3.0):
            counter.add(8, amount, 1_000_000)
        writer, data = await peer.hear()
        while data.count(b"\r\n") < 3:
            data += (await peer.hear())[1]
        writer.write(b"ok 1\r\nok 3\r")
        writer.write(b"\nok 6\r\n")
        assert [(await outcomes.get()).total for _ in range(3)] == [1.0, 3.0, 6.0]

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_an_answer_after_the_timeout_is_matched_and_posted_as_late() -> None:
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        counter.add(8, 1.0, 1_000_000)
        writer, _ = await peer.hear()
        assert (await outcomes.get()).result is Result.TIMEOUT
        counter.add(8, 2.0, 1_000_000)
        await peer.hear()
        writer.write(b"ok 1\r\nok 3\r\n")
        counted = await outcomes.get()
        assert (counted.result, counted.total) == (Result.OK, 3.0)
        assert outcomes.empty()
        assert outcomes.late.get_nowait() == CountedLate(8, 1.0, 1.0)
        assert outcomes.late.empty()

    run_scenario(scenario, TIME_LIMIT)


def test_a_late_total_lets_the_gateway_refuse_a_customer_over_quota() -> None:
    # If late totals were dropped while most calls are late, what other gateways count would go unnoticed.
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        driver = Driver()
        (call,) = driver.request()
        assert isinstance(call, Count)
        counter.add(call.name, call.amount, call.lifetime)
        writer, _ = await peer.hear()
        assert action_names(driver.feed(await outcomes.get())) == ["Send"]  # sent in time, without the total
        writer.write(b"ok 9\r\n")  # other gateways have used 8 of 8
        driver.feed(await outcomes.late.get())
        assert action_names(driver.request()) == ["Refuse"]

    run_scenario(scenario, TIME_LIMIT)


def test_a_reset_after_the_call_is_unknown_and_without_a_connection_nothing_is_added() -> None:
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        counter.add(8, 1.0, 1_000_000)
        await peer.hear()
        for writer in peer.writers:
            writer.transport.abort()
        assert (await outcomes.get()).result is Result.RESET
        while counter.connection_for(8) is not None:
            await asyncio.sleep(0)
        counter.add(8, 1.0, 1_000_000)
        assert (await outcomes.get()).result is Result.CONNECT_FAILED
        await wait_until_connected(counter)  # it reconnects by itself
        counter.add(8, 1.0, 1_000_000)
        while (heard := await peer.hear())[1] == b"":
            pass
        heard[0].write(b"ok 1\r\n")
        assert (await outcomes.get()).result is Result.OK

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_pings_are_sent_on_an_idle_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bump, "PING_AFTER", 0.0)
    monkeypatch.setattr(bump, "CHECK_INTERVAL", 0.01)

    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        writer, data = await peer.hear()
        assert data == b"ping\r\n"
        name = next(n for n in range(9) if counter.connection_for(n) is counter.connection_for(0))
        writer.write(b"pong\r\n")
        counter.add(name, 1.0, 1_000)
        assert outcomes.empty()

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_a_connection_that_never_answers_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bump, "DEAD_AFTER", 0.0)
    monkeypatch.setattr(bump, "CHECK_INTERVAL", 0.01)

    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        counter.add(8, 1.0, 1_000_000)
        assert (await peer.hear())[1] != b""
        assert (await peer.hear())[1] == b""
        assert (await outcomes.get()).result is Result.RESET

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_a_call_on_a_connection_that_is_closing_adds_nothing() -> None:
    # A transport that is closing drops writes, although connection_lost has not been called yet.
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        while (connection := counter.connection_for(8)) is not None:
            assert connection.transport is not None
            connection.transport.close()
        counter.add(8, 1.0, 1_000_000)
        assert (await outcomes.get()).result is Result.CONNECT_FAILED

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_an_invalid_answer_closes_one_connection_and_its_names_move_to_the_other() -> None:
    # Calls that are not counted are let through, so a failed connection must not stop the counting.
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        counter.add(8, 1.0, 1_000_000)
        first, _ = await peer.hear()
        first.write(b"what\r\n")
        assert (await outcomes.get()).result is Result.RESET
        counter.add(8, 2.0, 1_000_000)
        while (heard := await peer.hear())[1] == b"":
            pass
        assert heard[0] is not first
        # Stays on that connection while a call is in flight, even if the other has reconnected.
        counter.add(8, 3.0, 1_000_000)
        while (again := await peer.hear())[1] == b"":
            pass
        assert again == (heard[0], b"bump 8 3.000000 1000\r\n")
        heard[0].write(b"ok 3\r\nok 6\r\n")
        assert [(await outcomes.get()).total for _ in range(2)] == [3.0, 6.0]

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_a_lost_connection_that_had_answered_is_reconnected_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bump, "FIRST_RETRY_DELAY", 60.0)

    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        counter.add(8, 1.0, 1_000_000)
        first, _ = await peer.hear()
        first.write(b"ok 1\r\nwhat\r\n")
        assert (await outcomes.get()).result is Result.OK
        assert await peer.hear() == (first, b"")
        while len(peer.writers) < 3:
            await asyncio.sleep(0.001)

    run_scenario(scenario, LONG_TIME_LIMIT)


def test_after_a_change_of_address_open_calls_end_on_the_old_connection() -> None:
    async def scenario(counter: Counter, peer: Peer, outcomes: Outcomes) -> None:
        counter.add(8, 1.0, 1_000_000)
        writer, _ = await peer.hear()
        async with Peer() as other:
            counter.set_address((LOCAL, other.port))
            counter.set_address((LOCAL, other.port))  # has no effect
            counter.add(7, 1.0, 1_000_000)  # still to the old address, as the new connection is not open yet
            assert (await peer.hear())[1] == b"bump 7 1.000000 1000\r\n"
            while len(other.writers) < 2:
                await asyncio.sleep(0.001)
            counter.add(9, 2.0, 1_000_000)
            heard = await other.hear()
            assert heard[1] == b"bump 9 2.000000 1000\r\n"
            heard[0].write(b"ok 2\r\n")
            assert (await outcomes.get()).total == 2.0
            writer.write(b"ok 1\r\n")
            assert (await outcomes.get()).total == 1.0
            assert await peer.hear() == (writer, b"")  # closed, as it has no calls in flight
            counter.close()

    run_scenario(scenario, LONG_TIME_LIMIT)
