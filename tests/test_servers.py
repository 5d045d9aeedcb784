"""Attempts on loopback sockets: how each way to end is told, and what must never be written."""

import asyncio
import errno
import socket
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lynxreel.engine.engine import Attempt, Engine
from lynxreel.backends.pools import Ages, Servers
from lynxreel.backends.resp2 import Resp2
from lynxreel.relay.budget import Budget
from mothgap.interface import Limits, Member, Result, State
from tests.helpers import ONCE, REPEATABLE, SETTINGS
from tests.net import LOCAL, EngineStandIn, ScriptedServer, resp, run

OK = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$18\r\ninflight=7,queue=2\r\n"
LONG = 10_000_000  # microseconds
FAST = replace(SETTINGS, limits=Limits(max_attempts=4, connect_timeout=250_000))


class Stub:
    """A call with a command of any size."""

    def __init__(self, size: int = 10, cls: int = REPEATABLE) -> None:
        self.size, self.cls = size, cls

    def command(self, wait: int) -> bytes:
        return resp(b"CALL.GET", b"x" * self.size)


def held(size: int, cls: int) -> Any:
    """A request with a command of any size, as far as an attempt needs one."""
    return SimpleNamespace(call=Stub(size, cls))


@pytest.fixture(autouse=True)
def no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections are used again at once, but where a test is about their rest."""
    monkeypatch.setattr("lynxreel.backends.pools.SETTLE", 0.0)


def at(port: int, state: State = State.READY, started: int = 0) -> list[tuple[Member, tuple[str, int]]]:
    return [(Member("s-1", state, started_at=started), (LOCAL, port))]


class Bench:
    """The servers' side and who it tells."""

    def __init__(self, port: int, most: int = 8) -> None:
        self.heard, self.next = EngineStandIn(), 0
        loop = asyncio.get_running_loop()
        engine, budget = cast(Engine, self.heard), Budget(1 << 20)
        self.servers = Servers(engine, FAST, 60_000_000, most, loop, Resp2(), budget)
        self.servers.update(at(port), True)

    def send(self, timeout: int = LONG, size: int = 10, cls: int = REPEATABLE) -> Attempt:
        self.next += 1
        attempt = Attempt(self.next, 0, "s-1", held(size, cls), self.heard.clock.now())
        self.servers.send(attempt, timeout)
        return attempt

    def transports(self) -> list[asyncio.Transport]:
        connections = [c for pool in self.servers._pools.values() for c in pool.all]
        return [c.transport for c in connections if c.transport is not None]

    async def end(self) -> tuple[int, Result]:
        return (await self.heard.ended.get())[:2]


@pytest.mark.parametrize(
    ("reply", "told"),
    [
        (OK, (Result.OK, b"value", (2.0, 7.0))),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", (Result.OK, b"", ())),
        (b"-ERR failed\r\n", (Result.ERROR, b"", ())),
        (b"-ERR failed inflight=1,queue=3\r\n", (Result.ERROR, b"", (3.0, 1.0))),
        (b"-BUSY\r\n", (Result.FULL, b"", ())),
        (b"-BUSY inflight=1,queue=3\r\n", (Result.FULL, b"", (3.0, 1.0))),
        (b"-BUSY inflight=nan,queue=3\r\n", (Result.FULL, b"", ())),
        (b"-BUSY inflight=-1,queue=3\r\n", (Result.FULL, b"", ())),
        (b"-BUSYX\r\n", (Result.ERROR, b"", ())),
        (b"-BUSY \xff\r\n", (Result.ERROR, b"", ())),
        (b"-BUSY at all\r\n", (Result.ERROR, b"", ())),
        (b"*3\r\n$5\r\nvalue\r\n:7\r\n$9\r\ninflight=\r\n", (Result.OK, b"value", ())),
        (b"*3\r\n$5\r\nvalue\r\n$-1\r\n$20\r\ninflight=inf,queue=2\r\n", (Result.OK, b"value", ())),
        (b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n", (Result.ERROR, b"", ())),
        (b"*3\r\n$3000000000\r\n", (Result.ERROR, b"", ())),
        (b"*1\r\n$5\r\nvalue\r\n", (Result.ERROR, b"", ())),
        (b"-" + b"x" * 600, (Result.ERROR, b"", ())),
        (b"-SYNTAX\r\n", (Result.ERROR, b"", ())),
        (b"$5\r\nvalue\r\n", (Result.ERROR, b"", ())),
        (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", (Result.ERROR, b"", ())),
        (b"what is this\r\n", (Result.ERROR, b"", ())),
        (b"$-1\r\n", (Result.ERROR, b"", ())),
    ],
)
def test_each_answer_has_its_outcome(reply: bytes, told: tuple[Result, bytes, tuple[float, ...]]) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            await peer.answer(reply)
            assert (await bench.heard.ended.get())[1:] == told

    run(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        b"what is this\r\n",
        OK + b"+more\r\n",
        OK + b"$9\r\nhal",
        OK + OK,
        b"*1\r\n$1\r\nx\r\n",
        b"-ERR odd\r\n",
        b"-BUSY \xff\r\n",
    ],
)
def test_a_connection_that_says_too_much_is_closed(reply: bytes) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            await peer.answer(reply)
            await bench.end()
            assert (await peer.receive())[1] == b""

    run(scenario)


def test_an_idle_connection_that_says_something_is_closed() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            await peer.answer(OK)
            await bench.end()
            peer.writers[0].write(b"+hello\r\n")
            assert (await peer.receive())[1] == b""

    run(scenario)


def test_a_refused_connection_never_ran() -> None:
    async def scenario() -> None:
        with socket.socket() as bound:  # bound, not listening
            bound.bind((LOCAL, 0))
            bench = Bench(bound.getsockname()[1])
            bench.send()
            assert await bench.end() == (1, Result.CONNECT_FAILED)

    run(scenario)


def test_a_break_after_the_last_byte_is_a_reset() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            (await peer.receive())[0].transport.abort()
            assert await bench.end() == (1, Result.RESET)

    run(scenario)


def test_a_break_before_the_last_byte_left_never_ran() -> None:
    async def scenario() -> None:
        with socket.create_server((LOCAL, 0)) as listener:
            listener.setblocking(False)
            bench = Bench(listener.getsockname()[1])
            bench.send(size=32 << 20)  # more than the sockets' buffers hold
            connection, _ = await asyncio.get_running_loop().sock_accept(listener)
            await asyncio.get_running_loop().sock_recv(connection, 10)
            connection.close()
            assert await bench.end() == (1, Result.CONNECT_FAILED)

    run(scenario)


def test_a_time_out_closes_the_connection() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            await peer.answer(OK)  # the connection is up, so that the time-out can't meet the connect
            await bench.end()
            bench.send(timeout=20_000)
            assert (await peer.receive())[1] != b""
            assert await bench.end() == (2, Result.TIMEOUT)
            assert (await peer.receive())[1] == b""

    run(scenario)


def test_an_attempt_given_up_while_connecting_writes_nothing_later() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.servers.cancel(bench.send(size=11))
            assert await bench.end() == (1, Result.CONNECT_FAILED)
            cut = bench.send(timeout=0, size=12)
            assert await bench.end() == (cut.request, Result.CONNECT_FAILED)
            bench.send(size=13)
            while (heard := (await peer.receive())[1]) == b"":
                pass
            assert heard == resp(b"CALL.GET", b"x" * 13)

    run(scenario)


def leave(bench: Bench, port: int, how: str) -> None:
    if how == "in no list":
        bench.servers.update([], True)
    elif how == "restarted":
        bench.servers.update(at(port, started=7), False)
    else:
        bench.servers.update(at(port, State[how]), False)


LEAVING = ("DRAINING", "GONE", "in no list", "restarted")


@pytest.mark.parametrize("how", LEAVING)
def test_an_attempt_that_is_connecting_when_its_server_leaves_is_free_to_go_elsewhere_at_once(
    how: str,
) -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send(size=11)
            leave(bench, peer.port, how)
            assert bench.heard.ended.get_nowait()[:2] == (1, Result.NOT_SENT)
            bench.servers.update(at(peer.port), False)  # taken back
            bench.send(size=12)
            while (heard := (await peer.receive())[1]) == b"":
                pass
            assert heard == resp(b"CALL.GET", b"x" * 12)

    run(scenario)


@pytest.mark.parametrize("how", LEAVING)
def test_the_gate_before_the_first_byte_holds_by_itself(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    # On a connection that was kept, and on one that comes up late.
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            for kept in (True, False):
                bench = Bench(peer.port)
                if kept:
                    bench.send()
                    writer, _ = await peer.receive()
                    writer.write(OK)
                    assert await bench.end() == (1, Result.OK)
                else:
                    bench.send()
                    await asyncio.sleep(0)  # it is on its way
                leave(bench, peer.port, how)
                if kept:
                    bench.send()
                assert (await bench.end())[1] is Result.NOT_SENT
                bench.servers.close()
                assert (await peer.receive())[1] == b""

    monkeypatch.setattr(Servers, "_turn_off", lambda *_: None)
    run(scenario)


def test_a_withdrawn_attempt_goes_out_only_if_it_has_begun() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.servers.withdraw(bench.send())
            assert bench.heard.ended.get_nowait()[:2] == (1, Result.NOT_SENT)
            begun = bench.send(size=12)
            while (heard := await peer.receive())[1] == b"":
                pass
            assert heard[1] == resp(b"CALL.GET", b"x" * 12)
            bench.servers.withdraw(begun)
            heard[0].write(OK)
            assert await bench.end() == (2, Result.OK)

    run(scenario)


def test_connections_opened_ahead_carry_what_comes_next_within_the_limit_and_have_no_price() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            for price, opened in ((0.1, 0), (0.0, 3)):
                bench = Bench(peer.port, most=3)
                bench.servers.adopt(replace(FAST, handshake_price=price), 60_000_000, 3)
                bench.servers.open_ahead(["s-1", "unknown"], 5)
                await asyncio.sleep(0)
                while bench.servers.open < opened or bench.servers._ahead:
                    await asyncio.sleep(0)
                assert (bench.servers.open, len(bench.servers._ahead)) == (opened, 0)
            bench.send()
            assert not bench.servers._connects
            bench.servers.update(at(peer.port, State.DRAINING), False)
            bench.servers.open_ahead(["s-1"], 1)
            assert not bench.servers._ahead

    run(scenario)


def test_no_connection_is_opened_to_a_server_that_leaves() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.servers.update(at(peer.port, State.DRAINING), False)
            bench.send()
            assert bench.heard.ended.get_nowait()[:2] == (1, Result.NOT_SENT)
            assert not bench.servers._connects

    run(scenario)


def test_what_a_draining_server_works_on_may_finish_and_idle_connections_close() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            writer, _ = await peer.receive()
            bench.servers.update([], True)  # a whole list without it: it is gone
            writer.write(OK)
            assert await bench.end() == (1, Result.OK)
            assert (await peer.receive())[1] == b""

    run(scenario)


def test_a_connection_carries_one_attempt_at_a_time_and_is_used_again() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            first, _ = await peer.receive()
            bench.send()
            second, _ = await peer.receive()
            assert first is not second
            second.write(OK)
            assert await bench.end() == (2, Result.OK)
            bench.send()
            assert (await peer.receive())[0] is second

    run(scenario)


def test_an_idle_connection_is_dropped_before_the_server_does() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            await peer.answer(OK)
            await bench.end()
            now = bench.servers.loop.time()
            for passed, kept in ((25.0, True), (35.0, False)):  # of the 60 s after which the server closes
                bench.servers.drop_idle(now + passed)
                bench.send()
                writer, data = await peer.receive()
                assert (data != b"") is kept
                if kept:
                    writer.write(OK)
                    await bench.end()

    run(scenario)


def test_a_restarted_server_gets_new_connections() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            await peer.answer(OK)
            await bench.end()
            bench.servers.update(at(peer.port, started=7), False)
            assert (await peer.receive())[1] == b""

    run(scenario)


def test_connections_are_bounded() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port, most=1)
            bench.send()
            writer, _ = await peer.receive()
            bench.send()
            assert await bench.end() == (2, Result.NOT_SENT)
            writer.write(OK)
            assert await bench.end() == (1, Result.OK)

    run(scenario)


@pytest.mark.parametrize("silent", [1, 2])
def test_after_silent_time_outs_idle_connections_are_not_trusted(silent: int) -> None:
    # Guards against machines that vanished: their open connections say nothing, and end as resets later.
    # One time-out is more often mere slowness, and a new connection costs the server work.
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            for _ in range(3):
                bench.send()
            heard = [await peer.receive() for _ in range(3)]
            for writer, _ in heard:
                writer.write(OK)
            for _ in range(3):
                await bench.end()
            for _ in range(silent):
                attempt = bench.send()
                assert (await peer.receive())[1] != b""
                bench.servers.cancel(attempt)
                assert await bench.end() == (attempt.request, Result.CANCELLED)
                assert (await peer.receive())[1] == b""
            if silent == 2:
                assert (await peer.receive())[1] == b""  # the third, which was idle
            bench.send()
            writer, data = await peer.receive()
            assert data != b""
            assert (writer in [w for w, _ in heard]) is (silent == 1)

    run(scenario)


def test_after_a_slow_answer_of_a_server_that_answers_others_they_are_kept() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            first, _ = await peer.receive()
            slow = bench.send()
            second, _ = await peer.receive()
            first.write(OK)
            assert await bench.end() == (1, Result.OK)
            bench.servers.cancel(slow)
            assert await bench.end() == (2, Result.CANCELLED)
            assert (await peer.receive()) == (second, b"")
            bench.send()
            assert (await peer.receive())[0] is first

    run(scenario)


def test_an_idle_connection_that_is_closing_is_not_used() -> None:
    # Guards against a write that the transport drops because the other end's close is still to be told: the
    # request never left, but would count as a reset, and an unsafe one could not be tried again.
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            await peer.answer(OK)
            await bench.end()
            for transport in bench.transports():
                transport.close()
            bench.send(size=12)
            while (heard := (await peer.receive())[1]) == b"":
                pass
            peer.writers[-1].write(OK)
            assert heard == resp(b"CALL.GET", b"x" * 12)
            assert await bench.end() == (2, Result.OK)

    run(scenario)


def test_what_comes_behind_a_good_answer_is_not_served_to_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the value: a second copy may come in a later read, when the connection carries another attempt.
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            first, _ = await peer.receive()
            first.write(OK)
            await bench.end()
            bench.send()  # the first connection rests
            second, _ = await peer.receive()
            assert second is not first
            first.write(OK)
            assert (await peer.receive()) == (first, b"")
            second.write(OK.replace(b"value", b"other"))
            assert (await bench.heard.ended.get())[2] == b"other"

    monkeypatch.setattr("lynxreel.backends.pools.SETTLE", 60.0)
    run(scenario)


def test_a_connection_with_something_unread_on_it_is_not_used() -> None:
    # The same where the loop was busy: what came behind the answer waits in the socket.
    async def scenario() -> None:
        with socket.create_server((LOCAL, 0)) as listener:
            bench = Bench(listener.getsockname()[1])
            loop = asyncio.get_running_loop()
            listener.setblocking(False)
            bench.send()
            server, _ = await loop.sock_accept(listener)
            assert await loop.sock_recv(server, 100) != b""
            server.send(OK)
            await bench.end()
            server.send(OK)  # and the loop has no turn before the next attempt
            bench.send(size=12)
            other, _ = await loop.sock_accept(listener)
            assert await loop.sock_recv(other, 100) == resp(b"CALL.GET", b"x" * 12)
            server.close()
            other.close()

    run(scenario)


def test_a_connection_to_where_a_server_was_before_its_restart_is_not_used() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            writer, _ = await peer.receive()
            bench.servers.update(at(peer.port, started=7), False)
            writer.write(OK)
            assert await bench.end() == (1, Result.OK)
            assert await peer.receive() == (writer, b"")

    run(scenario)


def test_a_server_that_is_gone_is_forgotten_when_nothing_is_out() -> None:
    # Guards memory: servers are replaced all day under new names.
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            bench.send()
            writer, _ = await peer.receive()
            bench.servers.update(at(peer.port, State.GONE), False)
            bench.servers._sweep()
            assert set(bench.servers._pools) == {"s-1"}
            writer.write(OK)
            assert await bench.end() == (1, Result.OK)
            bench.servers._sweep()
            assert not bench.servers._pools
            bench.send()
            assert await bench.end() == (2, Result.CONNECT_FAILED)

    run(scenario)


def test_the_gateways_own_limit_on_descriptors_says_nothing_of_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        bench = Bench(1)

        async def none_left(*_: object) -> None:
            raise OSError(errno.EMFILE, "too many open files")

        monkeypatch.setattr(bench.servers, "loop", SimpleNamespace(
            create_connection=none_left, create_task=asyncio.create_task, time=bench.servers.loop.time,
            call_later=asyncio.get_running_loop().call_later,
        ))  # fmt: skip
        bench.send()
        assert await bench.end() == (1, Result.NOT_SENT)

    run(scenario)


def test_how_long_connections_may_idle_is_learnt_from_resets() -> None:
    # Guards unsafe requests: what stands between may forget a connection long before the server closes it,
    # and says so only to the next request.
    ages = Ages()
    for _ in range(20):
        ages.note(0.01, False)
        ages.note(0.3, True)
    assert ages.trusted(0.01, safe=False)
    assert not ages.trusted(0.3, safe=False)
    tries = [ages.trusted(0.3, safe=True) for _ in range(80)]
    assert tries.count(True) == 10  # so that it shows when they can be trusted again
    for _ in range(40):
        ages.note(0.3, False)
    assert ages.trusted(0.3, safe=False)


def test_one_reset_condemns_no_age() -> None:
    ages = Ages()
    ages.note(0.3, True)
    assert ages.trusted(0.3, safe=False)


def test_an_unsafe_request_takes_a_new_connection_where_kept_ones_were_reset() -> None:
    async def scenario() -> None:
        async with ScriptedServer() as peer:
            bench = Bench(peer.port)
            for _ in range(3):  # each connection is reset at its second request
                bench.send()
                writer = await heard(peer, OK)
                await bench.end()
                bench.send()
                while not (again := await peer.receive())[1]:
                    pass
                assert again[0] is writer
                writer.transport.abort()
                assert (await bench.end())[1] is Result.RESET
            bench.send()
            writer = await heard(peer, OK)
            await bench.end()
            bench.send(cls=ONCE)
            assert await heard(peer, OK) is not writer
            assert (await bench.end())[1] is Result.OK

    run(scenario)


async def heard(peer: ScriptedServer, answer: bytes) -> asyncio.StreamWriter:
    """Answer the next command."""
    while not (came := await peer.receive())[1]:
        pass
    came[0].write(answer)
    return came[0]
