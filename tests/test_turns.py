"""Iterations of the loop are bounded, however much clients send at once, and shared out evenly."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lynxreel.engine import engine as engine_module
from lynxreel.engine.engine import EVENTS_PER_ROUND, Engine
from lynxreel.fronts import connection_table
from lynxreel.fronts.resp2 import MAX_OPEN_COMMANDS, Connection, Resp2Front
from lynxreel.fronts.turns import COMMANDS_PER_ROUND, Turns
from mothgap import interface as api
from tests.helpers import SETTINGS
from tests.net import TERMS, EngineStandIn, call, run, until
from tests.test_client_closes import Connect, arrive, play
from tests.test_engine import Module


class Loop:
    """Calls what was scheduled, an iteration at a time."""

    def __init__(self) -> None:
        self.ready: deque[Callable[[], None]] = deque()

    def iterate(self) -> None:
        for _ in range(len(self.ready)):
            self.ready.popleft()()


class Source:
    """A connection with commands that have arrived."""

    def __init__(self, turns: Turns, commands: int) -> None:
        self._turns, self.left = turns, commands
        if commands:
            turns.wait(self)

    def take_turn(self, limit: int) -> int:
        taken = min(limit, self.left)
        self.left -= taken
        if self.left:
            self._turns.wait(self)
        return taken


@given(st.lists(st.integers(1, 300), min_size=1, max_size=100))
def test_each_iteration_takes_a_bounded_number_and_even_shares(commands: list[int]) -> None:
    loop = Loop()
    turns = Turns(loop.ready.append, lambda: False)
    sources = [Source(turns, count) for count in commands]
    while any(source.left for source in sources):
        before = [source.left for source in sources]
        for _ in range(-(-len(sources) // COMMANDS_PER_ROUND)):  # until each had its turn
            left = sum(source.left for source in sources)
            loop.iterate()
            assert 0 <= left - sum(source.left for source in sources) <= COMMANDS_PER_ROUND
        assert all(source.left < had for source, had in zip(sources, before, strict=True) if had)
    assert 0 <= turns.room() < COMMANDS_PER_ROUND
    loop.iterate()
    assert turns.room() == COMMANDS_PER_ROUND


def test_what_was_taken_without_a_turn_counts_and_nobody_passes_those_that_wait() -> None:
    loop = Loop()
    turns = Turns(loop.ready.append, lambda: False)
    assert turns.room() == COMMANDS_PER_ROUND
    turns.took(COMMANDS_PER_ROUND - 1)
    assert turns.room() == 1
    turns.took(1)
    assert turns.room() == 0
    loop.iterate()
    assert turns.room() == COMMANDS_PER_ROUND
    source = Source(turns, 1)
    assert turns.room() == 0
    loop.iterate()
    assert (source.left, turns.room()) == (0, COMMANDS_PER_ROUND - 1)


def test_nothing_is_taken_while_the_engine_is_behind() -> None:
    loop, behind = Loop(), True
    turns = Turns(loop.ready.append, lambda: behind)
    source = Source(turns, 3)
    loop.iterate()
    assert (source.left, turns.room()) == (3, 0)
    behind = False
    loop.iterate()
    assert source.left == 0


class CountingEngine(EngineStandIn):
    """Records the ids of the requests that are read."""

    def __init__(self) -> None:
        super().__init__()
        self.ids: list[bytes] = []

    def submit(self, call: Any) -> int:
        self.ids.append(call.id)
        return super().submit(call)


def test_a_request_among_many_connections_that_write_much_waits_for_one_command_of_each() -> None:
    # Guards against other clients' requests that have no answer in time, as those of a crowd are read first.
    engine, crowd = CountingEngine(), 100

    async def scenario(_: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        pairs = [await connect() for _ in range(crowd + 1)]
        for place, (client, connection) in enumerate(pairs[:-1]):
            first = place * MAX_OPEN_COMMANDS
            arrive(client, connection, b"".join(map(call, range(first, first + MAX_OPEN_COMMANDS))))
        arrive(*pairs[-1], call(1_000_000))
        await until(lambda: b"%016x" % 1_000_000 in engine.ids)
        assert len(engine.ids) <= 2 * crowd + COMMANDS_PER_ROUND

    play(scenario, max_connections=200, engine=engine)


def test_commands_of_clients_that_have_gone_before_their_turn_are_not_read() -> None:
    # Guards against attempts for clients that have gone, more than 0.1 s after their close.
    engine, crowd = CountingEngine(), 20

    async def scenario(_: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        pairs = [await connect() for _ in range(crowd)]
        for place, (client, connection) in enumerate(pairs):
            first = place * MAX_OPEN_COMMANDS
            arrive(client, connection, b"".join(map(call, range(first, first + MAX_OPEN_COMMANDS))))
            client.socket.close()
        await until(lambda: not clients.connections)
        assert len(engine.ids) <= COMMANDS_PER_ROUND  # of the first iteration, before any close is looked for

    play(scenario, max_connections=40, engine=engine)


def test_the_wait_for_a_turn_comes_off_the_time_that_a_client_gives() -> None:
    # Guards against servers that are told of more time than the client has left.
    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        _, connection = await connect()
        with pytest.MonkeyPatch.context() as busy:
            busy.setattr(clients.turns, "room", lambda: 0)
            connection.data_received(call(1))
        connection._turn_queued_at -= 0.3
        assert 400 <= (await engine.calls.get()).patience <= 600
        connection.data_received(call(2))
        assert (await engine.calls.get()).patience == 900  # it came after that wait

    play(scenario)


def test_a_command_that_waits_for_its_turn_is_not_taken_for_a_part_of_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against cutting off clients for the process's own delay.
    monkeypatch.setattr(connection_table, "CLIENT_TIMEOUT", 0.0)

    async def scenario(engine: EngineStandIn, clients: Resp2Front, connect: Connect) -> None:
        client, connection = await connect()
        connection.data_received(call(1)[:-5])
        assert connection in clients.table.waiting_since
        monkeypatch.setattr(clients.turns, "room", lambda: 0)
        connection.data_received(call(1)[-5:])
        clients.table.sweep()
        (await engine.calls.get()).served(b"one")
        assert await client.read(9) == b"$3\r\none\r\n"

    play(scenario)


def test_an_iteration_handles_a_bounded_number_of_events(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against deadlines, answers and signals that wait until all queued events are handled.
    def script(event: api.Event) -> Iterator[api.Action]:
        yield from ()

    Module.script, Module.events = staticmethod(script), []
    monkeypatch.setattr(engine_module, "Gateway", Module)

    async def scenario() -> None:
        engine = Engine(SETTINGS, 1, asyncio.get_running_loop())
        total = 5 * EVENTS_PER_ROUND + 1
        for number in range(total):
            engine.post(api.Timer(number))
        assert engine.is_behind()
        handled = []
        while len(Module.events) < total:
            before = len(Module.events)
            await asyncio.sleep(0)
            handled.append(len(Module.events) - before)
        assert max(handled) <= EVENTS_PER_ROUND
        assert [cast(api.Timer, event).token for event in Module.events] == list(range(total))
        assert not engine.is_behind()

    run(scenario)


def test_a_request_whose_time_is_over_is_answered_before_the_events_that_are_queued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against late answers, as a backlog of events is worked off first.
    def script(event: api.Event) -> Iterator[api.Action]:
        yield from ()

    Module.script, Module.events = staticmethod(script), []
    monkeypatch.setattr(engine_module, "Gateway", Module)

    async def scenario() -> None:
        engine = Engine(SETTINGS, 1, asyncio.get_running_loop())
        clients = Resp2Front(engine, TERMS, 8, asyncio.get_running_loop())
        connection = Connection(clients)
        connection.transport = cast(asyncio.Transport, WrittenTransport())
        connection._take(
            [b"CALL.GET", b"00000000000000ab", b"1", b"c=lookup,t=basic,d=900,units=2,spread=2,first=1"]
        )
        for number in range(3 * EVENTS_PER_ROUND):
            engine.post(api.Timer(number))
        engine._expire(1)
        assert cast(WrittenTransport, connection.transport).written == b"-BUSY\r\n"
        assert not Module.events

    run(scenario)


class WrittenTransport:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return False
