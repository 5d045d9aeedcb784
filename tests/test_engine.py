"""The engine between real client and server sockets, with a module that does what the test says."""

import asyncio
import re
import time
import typing
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest

import mothgap.rules
from lynxreel.engine import engine as gateway
from lynxreel.fronts.resp2 import Resp2Front
from lynxreel.engine.engine import Clock, Engine
from lynxreel.backends.pools import Servers
from lynxreel.backends.resp2 import Resp2
from mothgap import interface as api
from lynxreel.relay.budget import Budget
from tests.helpers import SETTINGS
from tests.net import LOCAL, TERMS, ScriptedServer, call, resp, run
from tests.test_servers import LONG, OK, at

Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Script = Callable[[api.Event], Iterator[api.Action]]


class Module:
    """Stands in for the decisions; keeps the events in order."""

    script: Script
    events: "list[api.Event]"

    def __init__(self, *_: object) -> None:
        pass

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        Module.events.append(event)
        return list(Module.script(event))


class Counts:
    """Stands in for the counter."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def add(self, name: int, amount: float, lifetime: int) -> None:
        self.engine.post(api.Counted(name, api.Result.OK, 0, amount))


def play(
    monkeypatch: pytest.MonkeyPatch,
    script: Script,
    scenario: Callable[[Engine, ScriptedServer, Ends], Awaitable[None]],
) -> list[api.Event]:
    """Play a scenario with one client and one server; return the events."""
    Module.script, Module.events = staticmethod(script), []
    monkeypatch.setattr(gateway, "Gateway", Module)

    async def start() -> None:
        loop = asyncio.get_running_loop()
        engine = Engine(SETTINGS, 1, loop)
        async with ScriptedServer() as peer:
            servers = Servers(engine, SETTINGS, 15_000_000, 8, loop, Resp2(), Budget(1 << 20))
            engine.backend = servers
            servers.update(at(peer.port), True)
            engine.counter = Counts(engine)
            clients = Resp2Front(engine, TERMS, 8, loop)
            await clients.listen(LOCAL, 0)
            await scenario(engine, peer, await asyncio.open_connection(LOCAL, clients.port))
            servers.close()

    run(start)
    return Module.events


def send_it(event: api.Event) -> Iterator[api.Action]:
    if isinstance(event, api.Request):
        yield api.Send(event.id, "s-1", LONG)


def test_a_served_request_goes_there_and_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        reader, writer = ends
        writer.write(call(1))
        data = await peer.answer(OK)
        told = re.search(rb",d=(\d+),", data)
        assert told is not None
        assert 0 < int(told[1]) <= 890  # the client's patience, however long the module would wait
        assert data == call(1).replace(b",d=900,", told[0])
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    request, outcome = play(monkeypatch, send_it, scenario)
    assert request == api.Request(1, 0, 0, 0xAB, 2.0, 890_000, 2, 1, False)
    assert isinstance(outcome, api.Outcome)
    assert (outcome.result, outcome.final, outcome.load) == (api.Result.OK, True, (2.0, 7.0))


@pytest.mark.causes_internal_errors
def test_an_error_in_handling_one_request_answers_it_and_the_next_is_served(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request) and event.id == 1:
            raise ZeroDivisionError("boom")
        yield from send_it(event)

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        reader, writer = ends
        writer.write(call(1) + call(2))
        assert await reader.readline() == b"-BUSY\r\n"
        await peer.answer(OK)
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    events = play(monkeypatch, script, scenario)
    assert api.Expired(1) in events
    assert "boom" in capfd.readouterr().err


@pytest.mark.causes_internal_errors
def test_an_action_without_code_is_told_and_does_not_pass_silently(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request):
            yield api.Probe("s-1")

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        ends[1].write(call(1))
        assert await ends[0].readline() == b"-BUSY\r\n"

    play(monkeypatch, script, scenario)
    assert "NotImplementedError" in capfd.readouterr().err


def test_the_module_emits_no_action_without_code() -> None:
    code = Path(gateway.__file__).read_text()
    rules = Path(mothgap.rules.__file__).read_text()
    for action in typing.get_args(api.Action):
        if re.search(rf"\b{action.__name__}\(", rules.split("class Gateway")[1]):
            assert f"case api.{action.__name__}()" in code


def test_a_request_that_the_module_forgets_is_answered_in_time(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    def script(event: api.Event) -> Iterator[api.Action]:
        return iter(())

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        ends[1].write(call(1, b"c=lookup,t=basic,d=40"))
        assert await ends[0].readline() == b"-BUSY\r\n"

    assert api.Expired(1) in play(monkeypatch, script, scenario)
    assert "time run out" in capfd.readouterr().err


def test_one_answer_whatever_the_module_says_after_it(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request):
            yield from (api.Refuse(event.id, 5_000), api.Fail(event.id), api.Refuse(event.id))

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        ends[1].write(call(1) + resp(b"PING"))
        assert await ends[0].readline() == b"-BUSY 5\r\n"
        assert await ends[0].readline() == b"+PONG\r\n"

    play(monkeypatch, script, scenario)


def test_a_send_for_a_client_that_has_gone_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    done = asyncio.Event()

    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Outcome):
            done.set()
        yield from send_it(event)

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        stub = typing.cast(gateway.Call, Gone())
        engine.gone(engine.submit(stub))  # before the module's turn
        await done.wait()
        assert peer.received.empty()

    events = play(monkeypatch, script, scenario)
    moot = api.Outcome(1, 0, "s-1", api.Result.NOT_SENT, 0, True)
    assert [type(events[0]), *events[1:]] == [api.Request, api.Expired(1), moot]


@pytest.mark.parametrize("how", ["left", "served"])
def test_what_is_still_connecting_goes_out_for_no_request_that_is_over(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request):
            yield from [api.Send(event.id, "s-1", LONG)] * (1 + (how == "served"))

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        up = asyncio.Event()
        connect = Servers._connect

        async def late(servers: Servers, attempt: gateway.Attempt, *rest: typing.Any) -> None:
            if how == "left" or attempt.number:
                coming.set()
                await up.wait()
            await connect(servers, attempt, *rest)

        coming = asyncio.Event()
        monkeypatch.setattr(Servers, "_connect", late)
        ends[1].write(call(1))
        await coming.wait()
        if how == "left":
            ends[1].close()
        else:
            await peer.answer(OK)
        while not any(isinstance(event, api.Outcome) for event in Module.events):
            await asyncio.sleep(0.001)
        up.set()
        await asyncio.sleep(0.02)  # a connection would come up, and be written on
        assert peer.received.empty()

    events = play(monkeypatch, script, scenario)
    results = [(event.attempt, event.result) for event in events if isinstance(event, api.Outcome)]
    assert results[-1] == (how == "served", api.Result.NOT_SENT)


class Gone:
    """A call whose client has left: an answer to it is an error."""

    id = b"1"
    cls = plan = customer = first = 0
    units, patience, spread, retry = 1.0, 1_000, 1, False
    counted = sent = back = False


def test_attempts_of_which_no_byte_went_out_leave_room_for_as_many(monkeypatch: pytest.MonkeyPatch) -> None:
    most = SETTINGS.limits.max_attempts

    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request):
            yield api.Send(event.id, "s-1", LONG)
        elif isinstance(event, api.Outcome) and event.attempt < 3 * most:
            yield api.Send(event.request, "s-1", LONG)

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        engine.backend.update(at(peer.port, api.State.DRAINING), False)  # type: ignore[attr-defined]
        withheld = Servers.send

        def send(servers: Servers, attempt: gateway.Attempt, timeout: int) -> None:
            tried.append(attempt.number)
            withheld(servers, attempt, timeout)

        monkeypatch.setattr(Servers, "send", send)
        ends[1].write(call(1))
        await ends[0].readline()  # its time is over

    tried: list[int] = []
    play(monkeypatch, script, scenario)
    assert tried == list(range(2 * most))


def test_what_another_instance_may_have_gone_on_with_is_told_before_what_ends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Watching:
        def counted(self, request: int) -> None: ...
        def ended(self, attempt: gateway.Attempt, result: api.Result) -> None: ...
        def unsure(self) -> list[tuple[int, bool]]:
            return [(1, True)] if gone.is_set() else []

    gone = asyncio.Event()

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        engine.watch = Watching()
        ends[1].write(call(1))
        await asyncio.sleep(0.02)
        gone.set()
        engine.gone(1)
        await asyncio.sleep(0)

    events = play(monkeypatch, lambda event: iter(()), scenario)
    told = [event for event in events if isinstance(event, api.Unsure | api.Expired)]
    assert told[:2] == [api.Unsure(1, True), api.Expired(1)]


def test_news_goes_before_requests_that_were_queued_earlier(monkeypatch: pytest.MonkeyPatch) -> None:
    told = asyncio.Event()
    news = api.Members(api.ListKind.CHANGES, 2, ())

    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request):
            told.set()
        return iter(())

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        engine.submit(typing.cast(gateway.Call, Gone()))
        engine.news(news)
        await told.wait()

    events = play(monkeypatch, script, scenario)
    assert events[0] == news


def test_cancel_timer_and_count_come_back_as_events(monkeypatch: pytest.MonkeyPatch) -> None:
    done = asyncio.Event()

    def script(event: api.Event) -> Iterator[api.Action]:
        match event:
            case api.Request(id=request):
                yield api.Count(9, 2.0, 1_000_000)
                yield api.Send(request, "s-1", LONG)
            case api.Counted():
                yield api.SetTimer(20_000, 3)
            case api.Timer(token=3):
                yield api.Cancel(1, 0)
            case api.Outcome():
                yield api.Fail(1)
                done.set()

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        ends[1].write(call(1))
        assert (await peer.receive())[1] != b""
        assert await ends[0].readline() == b"-ERR failed\r\n"
        assert (await peer.receive())[1] == b""
        await done.wait()

    events = play(monkeypatch, script, scenario)
    assert [type(event) for event in events] == [api.Request, api.Counted, api.Timer, api.Outcome]
    assert isinstance(events[-1], api.Outcome)
    assert (events[-1].result, events[-1].final) == (api.Result.CANCELLED, False)


def test_gateways_share_one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the windows of the counts: their numbers come from the clock, and must be the same everywhere.
    unix, since = 1_800_000_000_000_000_000, {"now": 5_000_000_000}
    monkeypatch.setattr("time.time_ns", lambda: unix + since["now"])
    monkeypatch.setattr("time.monotonic_ns", lambda: since["now"])
    first = Clock()
    since["now"] += 7_000_000_000
    monkeypatch.setattr("time.monotonic_ns", lambda: since["now"] - 6_000_000_000)  # another machine's start
    second = Clock()
    assert second.now() == (unix + since["now"]) // 1_000
    monkeypatch.setattr("time.monotonic_ns", lambda: since["now"])
    assert first.now() == (unix + since["now"]) // 1_000
    monkeypatch.setattr("time.time_ns", lambda: 0)  # a system clock set back
    assert first.now() == (unix + since["now"]) // 1_000


def test_an_id_is_taken_until_the_answer_and_while_an_attempt_is_out(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards rule 2: to a server, the same id again is a second copy while the first is out.
    def script(event: api.Event) -> Iterator[api.Action]:
        yield from send_it(event)
        if isinstance(event, api.Request) and event.id == 1:
            yield api.Refuse(event.id)

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        reader, writer = ends
        writer.write(call(1))
        assert await reader.readline() == b"-BUSY\r\n"
        server, _ = await peer.receive()
        writer.write(call(1))
        assert await reader.readline() == b"-ERR the id is taken\r\n"
        server.write(OK)
        while not isinstance(Module.events[-1], api.Outcome):
            await asyncio.sleep(0.001)
        writer.write(call(1))
        await peer.answer(OK)
        assert await reader.readexactly(11) == b"$5\r\nvalue\r\n"

    play(monkeypatch, script, scenario)


def test_a_patience_beyond_the_deadline_of_the_class_is_cut_to_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        ends[1].write(call(1, b"c=lookup,t=basic,d=999999999"))
        await peer.answer(OK)
        assert await ends[0].readexactly(11) == b"$5\r\nvalue\r\n"

    request = play(monkeypatch, send_it, scenario)[0]
    assert isinstance(request, api.Request)
    assert request.time_left == SETTINGS.classes[0].deadline - gateway.WAY


def test_a_stop_brings_forward_the_end_of_what_is_out_and_what_servers_are_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The module does nothing by itself here: deadlines and time-outs are the engine's own."""

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        reader, writer = ends
        writer.write(call(1))
        await peer.receive()
        engine.stop(10.0, 0.05)
        writer.write(call(2))
        told = re.search(rb",d=(\d+),", (await peer.receive())[1])
        assert told is not None
        assert int(told[1]) <= 50
        assert await reader.readline() == b"-BUSY\r\n"  # long before the 890 ms that it began with
        assert await reader.readline() == b"-BUSY\r\n"

    events = play(monkeypatch, send_it, scenario)
    (stopping,) = [event for event in events if isinstance(event, api.Stopping)]
    assert stopping.until < stopping.refuse_from
    outcomes = [event for event in events if isinstance(event, api.Outcome)]
    assert [outcome.result for outcome in outcomes] == [api.Result.TIMEOUT] * 2
    assert all(outcome.elapsed < 800_000 for outcome in outcomes)


def test_an_attempt_that_has_just_timed_out_is_answered_by_the_module(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """A loop that was held up runs both timers in one turn: the request's own end must not go first."""

    def script(event: api.Event) -> Iterator[api.Action]:
        yield from send_it(event)
        if isinstance(event, api.Outcome):
            yield api.Refuse(event.request)

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        reader, writer = ends
        writer.write(call(1, b"c=lookup,t=basic,d=60"))
        await peer.receive()
        time.sleep(0.1)
        assert await reader.readline() == b"-BUSY\r\n"

    play(monkeypatch, script, scenario)
    assert "time run out" not in capfd.readouterr().err


def test_a_stop_brings_forward_the_answer_of_a_request_that_is_at_no_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may wait for its total, or for a peer: the engine's own deadline moves, too."""

    def script(event: api.Event) -> Iterator[api.Action]:
        return iter(())

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        reader, writer = ends
        writer.write(call(1, b"c=lookup,t=basic,d=3000"))
        while not engine.owed():
            await asyncio.sleep(0)
        engine.stop(10.0, 0.05)
        early = asyncio.ensure_future(reader.readline())
        await asyncio.wait({early}, timeout=2.0)
        assert early.done()

    play(monkeypatch, script, scenario)
