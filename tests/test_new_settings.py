"""Settings that change while the decision module runs, and the cause given with each refusal."""

from dataclasses import replace

import pytest

from mothgap import Gateway
from mothgap.interface import (
    Cause,
    Effect,
    Fail,
    ListKind,
    Member,
    Members,
    NewSettings,
    PeerMessage,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
    State,
)
from mothgap.lending import LoanRequest, encode
from tests.helpers import (
    CEILING,
    CUSTOMER,
    MS,
    ONCE,
    PLAIN,
    REPEATABLE,
    SECOND,
    SETTINGS,
    Driver,
    action_names,
    ready_server,
)


def adopt(driver: Driver, settings: Settings) -> None:
    driver.change_settings(settings)


def with_plan(plan: Plan) -> Settings:
    return replace(SETTINGS, plans=(plan, *SETTINGS.plans[1:]))


def count_passed(driver: Driver, count: int) -> int:
    """How many requests of one customer are sent, where the counter holds only this gateway's increments."""
    before = sum(isinstance(action, Send) for action in driver.actions)
    total: dict[int, float] = {}
    for _ in range(count):
        driver.request(customer=CUSTOMER)
        while driver.calls:
            call = driver.calls[0]
            total[call.name] = total.get(call.name, 0.0) + call.amount
            driver.counted(total[call.name])
        driver.finish()
    return sum(isinstance(action, Send) for action in driver.actions) - before


def test_a_larger_burst_applies_from_the_next_request_on() -> None:
    driver = Driver()
    assert 6 <= count_passed(driver, 30) <= 8
    adopt(driver, with_plan(Plan(rate=2.0, burst=28.0)))
    assert 18 <= count_passed(driver, 60) <= 20  # units already used stay used


def test_a_smaller_burst_grants_nothing_new() -> None:
    driver = Driver()
    assert count_passed(driver, 5) == 5
    adopt(driver, with_plan(Plan(rate=2.0, burst=4.0)))
    assert count_passed(driver, 20) == 0


def test_a_request_passes_whose_quota_is_removed_during_its_counter_call() -> None:
    driver = Driver()
    driver.request()
    adopt(driver, with_plan(Plan()))
    assert action_names(driver.counted(1.0)) == ["Send"]
    driver.request()
    assert not driver.calls


def test_a_removed_quota_leaves_nothing_to_refund() -> None:
    driver = Driver()
    driver.request()
    driver.members(
        ready_server(1, state=State.DRAINING), ready_server(2, state=State.DRAINING), kind=ListKind.FULL
    )
    adopt(driver, with_plan(Plan()))
    assert action_names(driver.counted(1.0)) == ["Refuse"]
    assert not driver.calls


def test_open_requests_keep_their_class_and_new_classes_and_plans_are_served() -> None:
    driver = Driver()
    send = driver.admitted(cls=ONCE)
    dropped = replace(SETTINGS.classes[ONCE], effect=Effect.REPEATABLE)
    more = RequestClass(Effect.REPEATABLE, aim=1 * SECOND, deadline=2 * SECOND, worth=9.0)
    settings = replace(
        SETTINGS, classes=(*SETTINGS.classes[:ONCE], dropped, more), plans=(*SETTINGS.plans, Plan(3.0, 9.0))
    )
    adopt(driver, settings)
    # It was sent under a class that must not run twice, so it is neither sent again nor refused.
    assert action_names(driver.outcome(send.request, Result.RESET)) == ["Fail"]
    driver.request(cls=3, plan=2, customer=5)
    assert action_names(driver.counted(1.0)) == ["Send"]
    driver.finish()


def test_each_refusal_has_its_cause() -> None:
    def cause(driver: Driver) -> Cause:
        last = driver.actions[-1]
        assert isinstance(last, Refuse | Fail)
        return last.cause

    no_time = Driver()
    no_time.request(time_left=1 * MS)
    assert cause(no_time) is Cause.NO_TIME

    ceiling = Driver()
    ceiling.request(plan=CEILING)  # its share starts empty
    assert cause(ceiling) is Cause.CEILING

    room = Driver(servers=0)
    room.request()
    if room.calls:
        room.counted(1.0)
    assert cause(room) is Cause.ROOM

    quota = Driver()
    quota.request(plan=PLAIN)
    quota.counted(50.0)
    assert any(isinstance(action, Refuse) and action.cause is Cause.QUOTA for action in quota.actions)

    attempts = Driver()
    send = attempts.admitted(cls=ONCE)
    attempts.outcome(send.request, Result.RESET)
    assert cause(attempts) is Cause.ATTEMPTS


@pytest.mark.parametrize("cls", [REPEATABLE, ONCE])
def test_settings_that_change_at_any_time_break_no_rule(cls: int) -> None:
    driver = Driver()
    for step in range(60):
        driver.request(cls=cls, customer=step % 5, units=1.0 + step % 3)
        if step % 2 and driver.calls:
            driver.counted(step % 9)
        adopt(driver, with_plan(Plan(rate=step % 4, burst=8.0 * bool(step % 4))))
        driver.wait(20 * MS)
    while driver.calls:
        driver.counted(3.0)
    driver.wait(10 * SECOND)
    assert all(life.finished for life in driver.records.values())


def test_limits_of_servers_follow_the_number_of_gateways() -> None:
    lookup = RequestClass(Effect.REPEATABLE, aim=800_000, deadline=2_000_000, worth=1.0)
    plain = Settings(classes=(lookup,), plans=(Plan(),))
    for gateways, room in ((1, 4), (2, 2), (4, 1)):
        gateway = Gateway(plain, 1, 0)
        gateway.handle(0, Members(ListKind.FULL, 1, (Member("box-1", State.READY),)))
        gateway.handle(0, NewSettings(replace(plain, fleet_size=gateways)))
        sent = 0
        for number in range(1, 9):
            actions = gateway.handle(1, Request(number, 0, 0, number, 1.0, 1_500_000, 1, 0, False))
            sent += sum(isinstance(action, Send) for action in actions)
        assert sent == room


@pytest.mark.parametrize("result", [Result.OK, Result.TIMEOUT, Result.CONNECT_FAILED])
def test_a_request_whose_plan_loses_its_quota_while_its_total_is_pending_is_sent(result: Result) -> None:
    driver = Driver()
    assert action_names(driver.request()) == ["Count"]
    driver.change_settings(with_plan(Plan()))
    assert action_names(driver.counted(1.0, result)) == ["Send"]


def test_a_loan_request_gets_no_reply_once_messages_are_not_allowed() -> None:
    driver = Driver(replace(SETTINGS, limits=replace(SETTINGS.limits, peers=True)))
    driver.change_settings(SETTINGS)
    assert driver.feed(PeerMessage(1, encode(LoanRequest(CUSTOMER, 1, 1.0, CEILING, 3, 0)))) == []


def test_an_attempt_in_flight_is_not_cancelled_once_that_is_not_allowed() -> None:
    driver = Driver()
    for _ in range(3):
        driver.outcome(driver.admitted().request)  # so that the module knows how long answers take
    driver.admitted()
    driver.change_settings(replace(SETTINGS, limits=replace(SETTINGS.limits, may_cancel=False)))
    assert "Cancel" not in action_names(driver.wait(SECOND))
