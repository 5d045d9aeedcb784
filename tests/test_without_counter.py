"""A deployment whose settings name no counter: no count is changed, and all requests are answered."""

import asyncio
from collections.abc import Iterator
from dataclasses import replace

import pytest

from lynxreel.engine.engine import Engine
from mothgap import interface as api
from mothgap.interface import Limits, ListKind, Plan, Result, Send
from tests.helpers import CUSTOMER, SECOND, SETTINGS, Driver, action_names, ready_server
from tests.net import Peer, call
from tests.test_engine import Streams, run_scenario

WITHOUT_COUNTER = replace(SETTINGS, counter=None, limits=Limits(max_attempts=2))


def first_send(driver: Driver) -> Send:
    """The send of a request that its customer's quota allows."""
    return next(action for action in driver.request() if isinstance(action, Send))


def test_a_request_without_an_available_server_is_refused_without_a_call() -> None:
    driver = Driver(WITHOUT_COUNTER, servers=0)
    driver.members(ready_server(1, started_at=driver.now), kind=ListKind.CACHED)
    driver.request()  # the server has just started, and can't take any request yet
    assert action_names(driver.actions) == ["Refuse"]


def test_a_client_that_disconnects_before_its_request_is_sent_causes_no_call() -> None:
    driver = Driver(WITHOUT_COUNTER)
    request = first_send(driver).request
    driver.outcome(request, Result.NOT_SENT, final=True)
    with_peers = replace(
        WITHOUT_COUNTER,
        plans=(Plan(rate=2.0, burst=8.0, ceiling_rate=1.0, ceiling_burst=4.0),),
        limits=replace(WITHOUT_COUNTER.limits, peers=True),
    )
    driver = Driver(with_peers)
    actions = driver.request(entry_points=3)
    # It waits for ceiling units from other gateways.
    assert "Tell" in action_names(actions) and "Refuse" not in action_names(actions)
    driver.expire(1)
    assert not driver.gateway._open_requests


def test_units_are_refunded_to_a_counter_that_a_reload_removed() -> None:
    driver = Driver()
    send = driver.admitted()
    driver.change_settings(WITHOUT_COUNTER)
    driver.outcome(send.request, Result.NOT_SENT, final=True)
    assert [call.amount for call in driver.calls] == [-1.0]


def test_units_that_another_gateway_counted_are_not_refunded_without_a_counter() -> None:
    """A request of a lost gateway, which still had a counter."""
    driver = Driver(WITHOUT_COUNTER, servers=0)
    driver.request(customer=CUSTOMER, counted=True)
    assert action_names(driver.actions) == ["Refuse"]
    driver.wait(SECOND)


def test_a_call_without_a_counter_fails_and_the_actions_after_it_are_executed(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Whatever the module returns: the refusal after the call is still sent."""

    def script(event: api.Event) -> Iterator[api.Action]:
        if isinstance(event, api.Request):
            yield api.Count(5, -1.0, SECOND)
            yield api.Refuse(event.id)

    async def scenario(engine: Engine, peer: Peer, ends: Streams) -> None:
        engine.counter = None
        reader, writer = ends
        writer.write(call(1))
        assert (await reader.readline()).startswith(b"-BUSY")
        await asyncio.sleep(0)

    events = run_scenario(monkeypatch, script, scenario)
    assert api.Counted(5, Result.CONNECT_FAILED, 0, 0.0) in events
    assert "Traceback" not in capfd.readouterr().err
