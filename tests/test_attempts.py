"""Servers, attempts and final answers."""

from dataclasses import replace

import pytest

from mothgap.interface import (
    Cancel,
    Count,
    Effect,
    Group,
    Limits,
    ListKind,
    Members,
    RequestClass,
    Result,
    Send,
    State,
)
from tests.helpers import (
    CUSTOMER,
    KEYED,
    MS,
    ONCE,
    REPEATABLE,
    SECOND,
    SETTINGS,
    Driver,
    action_names,
    ready_server,
)


def next_send(send: Send, driver: Driver) -> Send:
    """The send that follows this one."""
    return next(a for a in driver.actions[driver.actions.index(send) + 1 :] if isinstance(a, Send))


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED])
def test_a_once_request_that_may_have_run_is_failed_not_sent_again(result: Result) -> None:
    driver = Driver()
    send = driver.admitted(cls=ONCE)
    assert action_names(driver.outcome(send.request, result)) == ["Fail"]


@pytest.mark.parametrize("result", [Result.FULL, Result.CONNECT_FAILED])
@pytest.mark.parametrize("cls", [REPEATABLE, KEYED, ONCE])
def test_an_attempt_that_never_ran_is_retried_at_another_server(result: Result, cls: int) -> None:
    driver = Driver()
    send = driver.admitted(cls=cls)
    assert action_names(driver.outcome(send.request, result)) == ["Send"]
    assert next_send(send, driver).server != send.server


def test_a_repeatable_request_is_sent_again_after_an_error() -> None:
    driver = Driver()
    send = driver.admitted()
    assert action_names(driver.outcome(send.request, Result.ERROR)) == ["Send"]


def test_a_keyed_request_is_not_sent_again_once_the_key_has_expired() -> None:
    forgetful = replace(SETTINGS.classes[KEYED], key_memory=100 * MS)
    driver = Driver(replace(SETTINGS, classes=(SETTINGS.classes[0], forgetful)))
    send = driver.admitted(cls=KEYED)
    driver.now += 150 * MS
    assert action_names(driver.outcome(send.request, Result.ERROR)) in (["Refuse"], ["Fail"])


def test_a_keyed_request_is_not_sent_again_where_a_late_connection_would_outlast_its_key() -> None:
    limits = replace(SETTINGS.limits, connect_timeout=250 * MS)
    for after, again in ((1_700 * MS, True), (1_800 * MS, False)):  # the key is remembered for two seconds
        driver = Driver(replace(SETTINGS, limits=limits, classes=tuple(
            replace(cls, aim=3 * SECOND) for cls in SETTINGS.classes)))  # fmt: skip
        send = driver.admitted(cls=KEYED)
        driver.now += after
        assert (action_names(driver.outcome(send.request, Result.ERROR)) == ["Send"]) is again


def test_a_keyed_request_stays_in_its_cell() -> None:
    celled = RequestClass(
        Effect.KEYED, aim=SECOND, deadline=3 * SECOND, worth=1.0, group=Group.CELL, key_memory=SECOND
    )
    driver = Driver(replace(SETTINGS, classes=(celled,)), servers=0)
    driver.members(*(ready_server(n, cell=n % 2) for n in range(1, 7)), kind=ListKind.CACHED)
    send = driver.admitted(cls=0)
    driver.outcome(send.request, Result.ERROR)
    again = next_send(send, driver)
    assert driver.listed[again.server].cell == driver.listed[send.server].cell


def test_repeats_stop_when_the_retry_budget_is_spent() -> None:
    driver = Driver()
    sends = 0
    for customer in range(60):
        send = driver.admitted(customer=customer)
        for _ in range(4):
            if not driver.records[send.request].finished:
                driver.outcome(send.request, Result.ERROR)
        sends += len(driver.records[send.request].sent)
    assert sends < 60 + 10 + 60 * 0.2


def test_an_attempt_that_sent_no_byte_does_not_count_against_the_maximum() -> None:
    # The server began to drain while the connection to it was being opened.
    driver = Driver(replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=2)))
    send = driver.admitted()
    for result in (Result.NOT_SENT, Result.NOT_SENT, Result.ERROR):
        assert action_names(driver.outcome(send.request, result)) == ["Send"]
    assert action_names(driver.outcome(send.request, Result.ERROR)) == ["Refuse"]


def test_a_gateway_that_can_send_nothing_refuses_the_request() -> None:
    driver = Driver(replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=2)))
    send = driver.admitted()
    for _ in range(3):
        assert action_names(driver.outcome(send.request, Result.NOT_SENT)) == ["Send"]
    assert action_names(driver.outcome(send.request, Result.NOT_SENT)) == ["Refuse"]


@pytest.mark.parametrize("last", [Result.NOT_SENT, Result.RESET])
def test_units_are_refunded_when_the_client_disconnected_before_any_byte_was_sent(last: Result) -> None:
    driver = Driver()
    send = driver.admitted()
    assert action_names(driver.outcome(send.request, Result.NOT_SENT)) == ["Send"]
    refunds = [action.amount for action in driver.outcome(send.request, last, final=True)]  # type: ignore[union-attr]
    assert refunds == ([-1.0] if last is Result.NOT_SENT else [])


def test_a_draining_server_gets_nothing_new() -> None:
    driver = Driver(servers=2)
    driver.members(replace(ready_server(1), state=State.DRAINING))
    assert {driver.admitted(customer=n).server for n in range(6)} == {ready_server(2).server}


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_a_request_that_waited_for_its_total_is_not_sent_to_a_server_removed_meanwhile(state: State) -> None:
    for seed in range(8):
        driver = Driver(servers=3, seed=seed)
        driver.request()
        driver.members(replace(ready_server(1), state=state))
        driver.members(replace(ready_server(3), state=state))
        (send,) = [action for action in driver.counted(1.0) if isinstance(action, Send)]
        assert send.server == ready_server(2).server


@pytest.mark.parametrize("result", [Result.ERROR, Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT])
def test_a_retry_is_not_sent_to_a_server_that_just_began_to_drain(result: Result) -> None:
    for seed in range(8):
        driver = Driver(servers=3, seed=seed)
        send = driver.admitted()
        draining = next(name for name in driver.listed if name != send.server)
        driver.members(replace(driver.listed[draining], state=State.DRAINING))
        driver.outcome(send.request, result)
        assert next_send(send, driver).server != draining


def test_a_server_whose_drain_is_cancelled_gets_requests_again() -> None:
    driver = Driver(servers=1)
    driver.members(replace(ready_server(1), state=State.DRAINING))
    assert action_names(driver.request(customer=1)) == ["Refuse"]
    driver.members(ready_server(1))
    assert driver.admitted(customer=2).server == ready_server(1).server


def test_a_removed_server_gets_nothing_new() -> None:
    driver = Driver(servers=2)
    driver.members(replace(ready_server(1), state=State.GONE))
    assert {driver.admitted(customer=n).server for n in range(6)} == {ready_server(2).server}


def test_requests_are_refused_when_the_list_of_servers_is_empty() -> None:
    driver = Driver(servers=0)
    driver.members(kind=ListKind.CACHED)
    driver.request()
    while driver.calls:
        driver.counted(1.0)
    assert action_names(driver.actions)[-1] == "Refuse"


def test_a_server_that_fails_is_ejected() -> None:
    driver = Driver(servers=4)
    bad = ready_server(1).server
    for n in range(40):
        send = driver.admitted(customer=n)
        driver.now += 20 * MS
        driver.outcome(send.request, Result.ERROR if send.server == bad else Result.OK)
        if not driver.records[send.request].finished:
            driver.outcome(send.request)
    late = [a for a in driver.actions if isinstance(a, Send)][-20:]
    assert sum(send.server == bad for send in late) <= 2


def test_a_repeatable_attempt_at_a_silent_server_is_cancelled_and_retried() -> None:
    driver = Driver(servers=4)
    for n in range(12):
        send = driver.admitted(customer=n)
        driver.now += 50 * MS
        driver.outcome(send.request)
    stuck = driver.admitted(customer=50)
    actions = driver.wait(600 * MS)
    assert Cancel(stuck.request, 0) in actions
    driver.outcome(stuck.request, Result.CANCELLED)
    assert next_send(stuck, driver).server != stuck.server


def test_no_attempt_is_cancelled_when_all_servers_are_slow() -> None:
    # Usual answers take 150 ms of an aim of a second: half of the aim without one is no sign of silence yet.
    driver = Driver(servers=4)
    for n in range(12):
        send = driver.admitted(customer=n)
        driver.wait(150 * MS)
        driver.outcome(send.request)
    slow = driver.admitted(customer=50)
    assert Cancel(slow.request, 0) not in driver.wait(700 * MS)
    assert not any(server.ejected for server in driver.gateway._servers.values())


def test_timeouts_of_impatient_clients_do_not_change_server_statistics() -> None:
    # Answers take 50 ms, and these clients wait for 40: no sign of silence, overload or low latency.
    driver = Driver(servers=2)
    for n in range(20):
        send = driver.admitted(customer=n)
        driver.wait(50 * MS)
        driver.outcome(send.request)
    servers = driver.gateway._servers.values()
    before = [(server.limit.max_in_flight, server.relative_latency) for server in servers]
    for n in range(20):
        driver.request(customer=100 + n, time_left=40 * MS)
        if driver.calls:
            driver.counted(1.0)
        driver.wait(100 * MS)
    assert len([a for a in driver.actions if isinstance(a, Send)]) > 25
    assert [(server.limit.max_in_flight, server.relative_latency) for server in servers] == before
    assert not any(server.ejected for server in servers)


def test_no_attempt_is_cancelled_at_a_slow_server_that_answers_others() -> None:
    driver = Driver(servers=1)
    slow = driver.admitted(customer=50)
    driver.wait(300 * MS)
    quick = driver.admitted(customer=51)
    driver.outcome(quick.request)
    assert Cancel(slow.request, 0) not in driver.wait(400 * MS)


def test_a_request_is_ended_before_its_aim_passes() -> None:
    driver = Driver()
    send = driver.admitted(cls=ONCE)
    driver.wait(2 * SECOND)
    assert action_names(driver.actions)[-1] == "Fail"
    assert send.timeout < 2 * SECOND


def test_overload_is_refused_before_anything_is_sent() -> None:
    driver = Driver(servers=3)
    refused = 0
    for n in range(200):
        driver.request(customer=n)
        if driver.calls:
            driver.counted(1.0)
        driver.wait(10 * MS)
    refused = action_names(driver.actions).count("Refuse")
    assert refused > 100


def test_an_overloaded_server_gets_no_more_until_it_answers() -> None:
    """Abandoned attempts still wait at a server that does not answer: they count against its limit."""
    driver = Driver(replace(SETTINGS, limits=Limits(max_attempts=1)), servers=2)
    stuck = ready_server(1).server
    for n in range(200):
        driver.request(customer=n)
        driver.counted(1.0) if driver.calls else None
        driver.wait(50 * MS)
        for record in list(driver.records.values()):
            for attempt in sorted(record.in_flight):
                if record.sent[attempt][0] != stuck:
                    driver.outcome(record.request.id, Result.OK, attempt)
    sends = [a.server for a in driver.actions if isinstance(a, Send)]
    assert sends.count(stuck) < 15 < 150 < len(sends)


def test_units_of_a_refused_request_are_refunded() -> None:
    driver = Driver(servers=2)
    for n in range(8):
        driver.request(customer=n)  # all wait for their totals while there is room
    while driver.calls:
        driver.counted(1.0)
    refused = action_names(driver.actions).count("Refuse")
    amounts = [a.amount for a in driver.actions if isinstance(a, Count)]
    assert refused > 0
    assert amounts.count(-1.0) == refused


def test_a_cold_server_gets_less_than_a_warm_one() -> None:
    driver = Driver(servers=3)
    cold = ready_server(9).server
    for n in range(400):
        if n == 200:
            driver.members(replace(ready_server(9), started_at=driver.now))
        send = driver.admitted(customer=n)
        driver.now += 25 * MS
        driver.outcome(send.request)
    sends = [a for a in driver.actions if isinstance(a, Send)][200:]
    to_cold = sum(send.server == cold for send in sends)
    # 5 s at under 2 x 0.5 of the 40 requests a second that a warm server gets from this gateway.
    assert 0 < to_cold < 5 * 40 / 3


def test_an_expired_request_gets_no_further_attempt() -> None:
    driver = Driver()
    send = driver.admitted()
    driver.expire(send.request)
    assert action_names(driver.outcome(send.request, Result.ERROR)) == []


def test_state_of_ended_requests_is_dropped() -> None:
    driver = Driver()
    for n in range(300):
        send = driver.admitted(customer=n)
        driver.outcome(send.request)
    driver.wait(5 * SECOND)
    assert not driver.gateway._open_requests
    assert not driver.gateway._open_calls
    assert not driver.gateway._timers


def test_servers_that_refuse_connections_are_avoided_even_if_they_are_the_majority() -> None:
    driver = Driver(servers=4)
    alive = ready_server(1).server
    for n in range(60):
        driver.request(customer=n)
        driver.counted(1.0) if driver.calls else None
        for record in list(driver.records.values()):
            while record.in_flight and not record.finished:
                up = record.sent[max(record.sent)][0] == alive
                driver.outcome(record.request.id, Result.OK if up else Result.CONNECT_FAILED)
        driver.now += 5 * MS
    sends = [a.server for a in driver.actions if isinstance(a, Send)]
    assert len(sends) - sends.count(alive) <= 9


def test_a_list_that_must_be_requested_is_watched_and_requested_again_after_a_failure() -> None:
    safety = replace(SETTINGS.safety, ask_within=10 * SECOND)
    driver = Driver(replace(SETTINGS, ask_for_list=True, safety=safety))
    assert action_names(driver.actions) == ["Watch"]
    driver.feed(Members(ListKind.FAILED, 2, ()))
    assert action_names(driver.wait(2 * SECOND)) == ["Watch"]
    assert driver.admitted().server in driver.listed  # the previous list stays


SECOND_COPIES = replace(SETTINGS, limits=Limits(max_attempts=4, may_cancel=True, second_copies=True))


def test_with_second_copies_allowed_the_attempt_at_a_silent_server_is_not_cancelled() -> None:
    # The server may only be slow, and the attempt runs on there in any case. A cancel closes the connection,
    # and the gateway counts the attempt as abandoned work that still waits there.
    driver = Driver(SECOND_COPIES)
    send = driver.admitted()
    assert action_names(driver.wait(600 * MS)) == ["Send"]
    second = next_send(send, driver)
    assert (second.request, second.server != send.server) == (send.request, True)
    assert action_names(driver.wait(390 * MS)) == []  # the second one has the remaining time
    assert action_names(driver.outcome(send.request, Result.OK, 0)) == []
    assert action_names(driver.outcome(send.request, Result.OK, 1)) == []
    assert driver.gateway._customers[CUSTOMER].open_requests == 0


@pytest.mark.parametrize("cls", [KEYED, ONCE])
def test_no_second_copy_is_sent_of_a_request_that_is_not_repeatable(cls: int) -> None:
    driver = Driver(SECOND_COPIES)
    driver.admitted(cls=cls)
    assert "Send" not in action_names(driver.wait(700 * MS))


def test_a_retry_gets_all_the_remaining_time() -> None:
    driver = Driver()
    send = driver.admitted()
    assert action_names(driver.wait(600 * MS)) == ["Cancel"]
    driver.outcome(send.request, Result.CANCELLED)
    assert "Cancel" not in action_names(driver.wait(390 * MS))


def test_a_client_that_disconnects_frees_its_open_requests_and_unsent_units() -> None:
    # A customer with open requests is never evicted, and units that were not sent must not use up the quota.
    driver = Driver()
    send = driver.admitted(units=2.0)
    driver.expire(send.request)
    assert driver.gateway._customers[CUSTOMER].open_requests == 0
    driver.request(units=2.0)
    driver.expire(send.request + 1)
    assert driver.calls[-1].amount == -2.0


def test_abandoned_attempts_at_a_server_that_never_answers_expire() -> None:
    driver = Driver(servers=1)
    for _ in range(60):
        driver.request(customer=driver.next_id)
        while driver.calls:
            driver.counted(1.0)
        driver.wait(2 * SECOND)
    assert action_names(driver.actions).count("Send") > 20
    assert len(driver.gateway._servers["10.0.0.1:80"].abandoned) <= 6


def test_a_retried_request_counts_as_open_once() -> None:
    # Concurrency limits and eviction need the count of open requests to return to zero, and not too early.
    driver = Driver()
    first, second = driver.admitted(), driver.admitted()
    driver.outcome(first.request, Result.ERROR)
    assert driver.gateway._customers[CUSTOMER].open_requests == 2
    driver.outcome(first.request)
    assert driver.gateway._customers[CUSTOMER].open_requests == 1
    driver.outcome(second.request)
    assert driver.gateway._customers[CUSTOMER].open_requests == 0


def test_abandoned_attempts_at_one_server_take_no_room_at_the_others() -> None:
    # Servers that stall hold abandoned attempts; those that answer must not go idle because of them.
    driver = Driver()
    paused = next(iter(driver.gateway._servers.values()))
    paused.abandoned = [driver.now] * 8  # more than the limits of all four together
    assert driver.admitted().server != paused.member.server


@pytest.mark.parametrize("final", [False, True])  # the module does not rely on a final outcome
@pytest.mark.parametrize("first", [Result.RESET, Result.CONNECT_FAILED, Result.NOT_SENT, Result.ERROR])
@pytest.mark.parametrize("second", [Result.RESET, Result.CONNECT_FAILED, Result.NOT_SENT, Result.TIMEOUT])
def test_no_attempt_begins_for_a_client_that_left_while_a_second_copy_was_out(
    first: Result, second: Result, final: bool
) -> None:
    driver = Driver(SECOND_COPIES)
    send = driver.admitted()
    assert action_names(driver.wait(600 * MS)) == ["Send"]
    driver.expire(send.request)
    driver.records[send.request].finished = final
    assert "Send" not in action_names(driver.outcome(send.request, first, 0))
    assert "Send" not in action_names(driver.outcome(send.request, second, 1))
    driver.records[send.request].finished = True
    assert "Send" not in action_names(driver.wait(3 * SECOND))
    assert driver.gateway._customers[CUSTOMER].open_requests == 0
