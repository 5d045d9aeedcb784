"""A deployment whose settings name no counter: nothing is added, and all requests are answered."""

import asyncio
from collections.abc import Iterator
from dataclasses import replace

import pytest

from lynxreel.engine.engine import Engine
from mothgap import interface as api
from mothgap.interface import Limits, ListKind, Plan, Result, Send
from tests.helpers import CUSTOMER, SECOND, SETTINGS, Driver, kinds, line
from tests.net import ScriptedServer, call
from tests.test_engine import Ends, play

ALONE = replace(SETTINGS, counter=None, limits=Limits(max_attempts=2))


def sent(driver: Driver) -> Send:
    """A request that its customer's quota lets pass."""
    return next(action for action in driver.request() if isinstance(action, Send))


def test_a_request_that_no_server_may_take_is_refused_with_no_call() -> None:
    driver = Driver(ALONE, servers=0)
    driver.members(line(1, started_at=driver.now), kind=ListKind.CACHED)
    driver.request()  # the server has just started, and bears nothing yet
    assert kinds(driver.actions) == ["Refuse"]


def test_a_client_that_leaves_before_its_request_is_sent_makes_no_call() -> None:
    driver = Driver(ALONE)
    request = sent(driver).request
    driver.outcome(request, Result.NOT_SENT, final=True)
    waits = replace(
        ALONE,
        plans=(Plan(rate=2.0, burst=8.0, ceiling_rate=1.0, ceiling_burst=4.0),),
        limits=replace(ALONE.limits, peers=True),
    )
    driver = Driver(waits)
    actions = driver.request(entry_points=3)
    assert "Tell" in kinds(actions) and "Refuse" not in kinds(actions)  # it waits for a part of the ceiling
    driver.expire(1)
    assert not driver.gateway._jobs


def test_a_counter_that_a_reload_takes_away_is_still_given_back_what_was_added() -> None:
    driver = Driver()
    send = driver.admitted()
    driver.adopt(ALONE)
    driver.outcome(send.request, Result.NOT_SENT, final=True)
    assert [call.amount for call in driver.calls] == [-1.0]


def test_a_request_that_another_gateway_counted_is_not_given_back_to_nobody() -> None:
    """A request of a lost gateway, which had a counter still."""
    driver = Driver(ALONE, servers=0)
    driver.request(customer=CUSTOMER, counted=True)
    assert kinds(driver.actions) == ["Refuse"]
    driver.wait(SECOND)


def test_a_call_without_a_counter_is_answered_and_the_actions_after_it_are_done(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Whatever the module asks for: the refusal that stands behind the call still goes out."""

    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request):
            yield api.Count(5, -1.0, SECOND)
            yield api.Refuse(event.id)

    async def scenario(engine: Engine, peer: ScriptedServer, ends: Ends) -> None:
        engine.counter = None
        reader, writer = ends
        writer.write(call(1))
        assert (await reader.readline()).startswith(b"-BUSY")
        await asyncio.sleep(0)

    events = play(monkeypatch, script, scenario)
    assert api.Counted(5, Result.CONNECT_FAILED, 0, 0.0) in events
    assert "Traceback" not in capfd.readouterr().err
