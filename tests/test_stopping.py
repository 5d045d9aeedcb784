"""The decision module during the shutdown of its gateway."""

from dataclasses import replace

import pytest

from mothgap.interface import Cause, Count, Fail, Refuse, Result, Send, Stopping
from tests.helpers import MS, ONCE, REPEATABLE, SETTINGS, Driver, action_names

PATIENT = replace(SETTINGS, classes=tuple(
    replace(cls, deadline=20_000 * MS, aim=10_000 * MS, late_worth=1.0) for cls in SETTINGS.classes
))  # fmt: skip


def stop(driver: Driver, refuse_after: int, answer_by: int) -> None:
    driver.feed(Stopping(driver.now + refuse_after, driver.now + answer_by))


def test_a_request_late_in_a_shutdown_is_refused_and_not_counted() -> None:
    driver = Driver(PATIENT)
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 500 * MS
    for cls in (REPEATABLE, ONCE):
        (refusal,) = driver.request(cls=cls)
        assert isinstance(refusal, Refuse)
        assert refusal.cause is Cause.STOPPING
    assert not driver.calls


def test_a_request_early_in_a_shutdown_is_sent_with_a_timeout_before_its_end() -> None:
    driver = Driver(PATIENT)
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 499 * MS
    send = driver.admitted(cls=ONCE)
    assert 0 < send.timeout <= 3_000 * MS - 499 * MS


@pytest.mark.parametrize("cls", [REPEATABLE, ONCE])
def test_an_open_request_is_not_retried_after_the_end_and_gets_a_truthful_answer(cls: int) -> None:
    driver = Driver(PATIENT)
    request = driver.admitted(cls=cls).request
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 3_000 * MS
    (answer,) = driver.outcome(request, Result.TIMEOUT)
    assert isinstance(answer, Refuse if cls == REPEATABLE else Fail)  # it may have run


def test_a_request_whose_attempt_never_ran_is_retried_only_before_the_end() -> None:
    driver = Driver(PATIENT)
    request = driver.admitted(cls=ONCE).request
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 1_000 * MS
    again = driver.outcome(request, Result.CONNECT_FAILED)[-1]
    assert isinstance(again, Send)
    assert again.timeout <= 2_000 * MS
    driver.now += 2_000 * MS
    assert (
        action_names(driver.outcome(request, Result.CONNECT_FAILED))[-1] == "Refuse"
    )  # harmless: nothing was sent


def test_a_request_that_waits_for_its_total_is_not_sent_after_the_end() -> None:
    driver = Driver(PATIENT)
    driver.request(cls=ONCE)
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 3_000 * MS
    (answer, *refunds) = sorted(driver.counted(1.0), key=lambda action: not isinstance(action, Refuse))
    assert isinstance(answer, Refuse)
    assert [type(action) for action in refunds] == [Count]  # its units are refunded


def test_a_second_stop_can_only_make_the_end_earlier() -> None:
    driver = Driver(PATIENT)
    stop(driver, 500 * MS, 3_000 * MS)
    stop(driver, 0, 9_000 * MS)
    (refusal,) = driver.request(cls=ONCE)
    assert isinstance(refusal, Refuse)
    stop(driver, 5_000 * MS, 9_000 * MS)
    (refusal,) = driver.request(cls=ONCE)
    assert isinstance(refusal, Refuse)
