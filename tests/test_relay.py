"""Values that are passed on as they come: the budget by hand, and streams between real sockets."""

import asyncio
import random
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
from lynxreel.protocol.resp import MOST_STREAM
from lynxreel.relay.budget import LEAST, Budget
from lynxreel.relay.stream import Stream
from mothgap.interface import Member, Result, State
from tests.helpers import SETTINGS
from tests.net import LOCAL, TERMS, EngineStandIn, ScriptedServer, call, drain_times, run

Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]
LARGE = MOST_STREAM
TAIL = b"\r\n$-1\r\n$8\r\nutil=0.5\r\n"


@given(st.lists(st.tuples(st.integers(0, 7), st.floats(0, 1), st.booleans()), max_size=200))
def test_no_more_than_the_budget_is_held_and_no_stream_starves(steps: list[tuple[int, float, bool]]) -> None:
    budget, held = Budget(64 * 1024), dict[int, int]()
    for stream, part, over in steps:
        if stream not in held:
            budget.open(stream)
            held[stream] = 0
        elif over:
            budget.close(stream)
            del held[stream]
        else:
            held[stream] += int(budget.allowance(stream) * part)
            budget.hold(stream, held[stream])
            if part < 0.3:
                held[stream] = int(held[stream] * part)
                budget.hold(stream, held[stream])
        assert budget.held == sum(held.values()) <= budget.whole + LEAST * len(held)
        for number, bytes_held in held.items():
            assert bytes_held or budget.allowance(number) >= LEAST


def test_what_is_left_of_a_share_is_not_read_in_crumbs() -> None:
    budget = Budget(1 << 20)
    budget.open("a")
    budget.hold("a", budget.read - LEAST + 1)
    assert budget.allowance("a") == 0
    budget.hold("a", budget.read - LEAST)
    assert budget.allowance("a") == LEAST


def test_a_lone_stream_that_holds_its_share_reads_nothing_until_some_has_left() -> None:
    budget = Budget(1 << 20)
    budget.open("a")
    budget.hold("a", budget.allowance("a"))
    assert budget.allowance("a") == 0
    budget.hold("a", 10)
    assert budget.allowance("a") > 0


class Bridge(EngineStandIn):
    """In the engine's place: each call is one attempt, and what that brings is the answer."""

    servers: Servers
    over: Callable[[Attempt], bool] = staticmethod(lambda attempt: False)

    def submit(self, got: Any) -> int:
        number = super().submit(got)
        held = SimpleNamespace(call=got)
        self.servers.send(Attempt(number, 0, "s-1", cast(Any, held), 0), 5_000_000)
        return number

    def finished(
        self, attempt: Attempt, result: Result, value: bytes | Stream = b"", load: tuple[float, ...] = ()
    ) -> None:
        self.ended.put_nowait((attempt.request, result, b"", load))
        if isinstance(value, Stream) and self.over(attempt):
            value.gone()
        elif result is Result.OK:
            attempt.call.served(value)
        else:
            attempt.call.failed()


class Way:
    """A client's listener, a server that the test plays, and what lies between."""

    def __init__(self, peer: ScriptedServer, budget: int) -> None:
        loop = asyncio.get_running_loop()
        self.peer, self.budget, self.bridge = peer, Budget(budget), Bridge()
        engine = cast(Engine, self.bridge)
        self.servers = self.bridge.servers = Servers(
            engine, SETTINGS, 60_000_000, 64, loop, Resp2(), self.budget
        )
        self.servers.update([(Member("s-1", State.READY), (LOCAL, peer.port))], True)
        self.clients = Resp2Front(engine, TERMS, 64, loop)

    async def client(self) -> Ends:
        return await asyncio.open_connection(LOCAL, self.clients.port, limit=1 << 23)


def play(scenario: Callable[[Way], Awaitable[None]], budget: int = 1 << 20) -> None:
    async def start() -> None:
        async with ScriptedServer() as peer:
            way = Way(peer, budget)
            await way.clients.listen(LOCAL, 0)
            await scenario(way)
            for connection in list(way.clients.connections):
                connection.transport.abort()
            way.servers.close()

    run(start)


def value(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


def head(size: int) -> bytes:
    return b"*3\r\n$%d\r\n" % size


async def settled(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("size", [64 * 1024, 64 * 1024 + 1, LARGE])
def test_a_value_in_pieces_cut_anywhere_comes_whole_and_its_connection_is_used_again(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("lynxreel.backends.pools.SETTLE", 0.0)

    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        chance, sent = random.Random(size), value(size)
        for number in range(2):
            writer.write(call(number))
            server, _ = await way.peer.receive()
            answer = head(size) + sent + TAIL
            while answer:
                cut = chance.choice([1, 2, 3, 1_000, 100_000, 300_000])
                server.write(answer[:cut])
                await server.drain()
                answer = answer[cut:]
            wanted = b"$%d\r\n%b\r\n" % (size, sent)
            assert await reader.readexactly(len(wanted)) == wanted
            assert (await way.bridge.ended.get())[1] is Result.OK
        assert len(way.peer.writers) == 1
        assert (len(way.budget), way.budget.held) == (0, 0)
        assert not way.clients.streams

    play(scenario)


def test_first_bytes_leave_before_the_rest_has_come_and_the_end_waits_for_the_whole_answer() -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        sent = value(100_000)
        server.write(head(len(sent)) + sent[:10])
        assert await reader.readexactly(19) == b"$100000\r\n" + sent[:10]
        server.write(sent[10:] + TAIL[:-1])
        assert await reader.readexactly(99_990) == sent[10:]
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.05)
        server.write(TAIL[-1:])
        assert await reader.readexactly(2) == b"\r\n"

    play(scenario)


def test_clients_that_do_not_read_hold_the_servers_up_and_not_memory() -> None:
    async def scenario(way: Way) -> None:
        slow = [await way.client() for _ in range(12)]
        for _, writer in slow:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        sent = value(LARGE)
        for number, (_, writer) in enumerate(slow):
            writer.write(call(number))
            server, _ = await way.peer.receive()
            server.write(head(LARGE) + sent + TAIL)
        await settled(lambda: len(way.budget) == 12)
        await asyncio.sleep(0.3)
        kept = sum(c.transport.get_write_buffer_size() for c in way.clients.connections)
        assert 0 < kept <= way.budget.whole + 12 * LEAST
        assert way.budget.held <= way.budget.whole + 12 * LEAST
        for reader, writer in slow:
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert await reader.readexactly(LARGE + 12) == b"$%d\r\n%b\r\n" % (LARGE, sent)
        assert way.budget.held == 0

    play(scenario, budget=128 * 1024)


@pytest.mark.parametrize(
    ("size", "rest"),
    [
        (100_000, b"x" * 50_000),
        (100_000, b"x" * 100_000 + b"yy"),
        (100_000, b"x" * 100_000 + b"\r\n$-1\r\n!"),
    ],
    ids=["breaks off", "does not fit its length", "goes on with noise"],
)
def test_what_is_not_whole_or_spoilt_at_its_end_can_be_told_by_the_client(size: int, rest: bytes) -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        writer.write(call(2))
        await way.peer.receive()
        server.write(head(size) + rest)
        if len(rest) < size:
            await server.drain()
            await settled(lambda: bool(way.clients.streams))
            server.close()
        got = b""
        try:
            while data := await reader.read(1 << 16):
                got += data
        except ConnectionError:
            pass
        assert got.startswith(b"$100000\r\nx") or not got
        assert len(got) <= size + 9  # never the two bytes that would make it whole, nor another answer
        await settled(lambda: len(way.budget) == 0)

    play(scenario)


@pytest.mark.parametrize("size", [MOST_STREAM + 1, 3_000_000_000])
def test_more_than_any_value_is_no_answer(size: int) -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        server.write(head(size) + b"x" * 1_000)
        assert await reader.readline() == b"-ERR failed\r\n"
        assert (await way.bridge.ended.get())[1] is Result.ERROR

    play(scenario)


def test_a_client_that_leaves_in_the_middle_ends_the_servers_part() -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        server.write(head(LARGE) + b"x" * 200_000)
        await reader.readexactly(1_000)
        writer.transport.abort()
        assert await way.peer.receive() == (server, b"")
        await settled(lambda: len(way.budget) == 0)
        assert way.servers.open == 0

    play(scenario)


def test_nobody_waits_for_it_any_more_when_it_begins() -> None:
    async def scenario(way: Way) -> None:
        way.bridge.over = lambda attempt: True
        _, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        server.write(head(LARGE) + b"x" * 200_000)
        assert await way.peer.receive() == (server, b"")
        assert (len(way.budget), way.servers.open) == (0, 0)

    play(scenario)


def test_a_large_value_waits_for_its_turn_within_the_budget_and_answers_keep_their_order() -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        first, _ = await way.peer.receive()
        writer.write(call(2))
        second, _ = await way.peer.receive()
        writer.write(call(3))
        third, _ = await way.peer.receive()
        sent = value(1_000_000)
        second.write(head(len(sent)) + sent + TAIL)
        third.write(b"*3\r\n$1\r\nz" + TAIL)
        await settled(lambda: way.budget.held > 0)
        await asyncio.sleep(0.05)
        assert way.budget.held <= way.budget.whole
        first.write(b"*3\r\n$1\r\ny" + TAIL)
        wanted = b"$1\r\ny\r\n$1000000\r\n" + sent + b"\r\n$1\r\nz\r\n"
        assert await reader.readexactly(len(wanted)) == wanted

    play(scenario, budget=128 * 1024)


def test_a_value_that_stands_still_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lynxreel.fronts.resp2.STREAM_STALL_TIMEOUT", 0.1)
    monkeypatch.setattr("lynxreel.fronts.resp2.SWEEP_INTERVAL", 0.02)

    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        for _ in range(10):  # slow, and goes on
            server.write(head(100_000) + b"x" if not way.clients.streams else b"x")
            await asyncio.sleep(0.04)
        assert len(way.clients.streams) == 1
        with pytest.raises(asyncio.IncompleteReadError):
            await reader.readexactly(100_000)
        assert await way.peer.receive(b"none") == (server, b"")

    play(scenario)


def test_a_drain_waits_for_the_end_of_a_large_value() -> None:
    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        sent = value(100_000)
        server.write(head(len(sent)) + sent[:70_000])
        await settled(lambda: bool(way.clients.streams))
        draining = asyncio.create_task(way.clients.drain(drain_times(5.0)))
        await asyncio.sleep(0.05)
        server.write(sent[70_000:] + TAIL)
        assert await reader.read(-1) == b"$100000\r\n" + sent + b"\r\n"
        await draining

    play(scenario)


def test_a_call_that_takes_no_stream_fails_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lynxreel.fronts.resp2.Call.streams", False)

    async def scenario(way: Way) -> None:
        reader, writer = await way.client()
        writer.write(call(1))
        server, _ = await way.peer.receive()
        server.write(head(100_000) + b"x" * 1_000)
        assert await reader.readline() == b"-ERR failed\r\n"

    play(scenario)
