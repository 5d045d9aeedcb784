"""What the decision module still promises once its gateway is shutting down."""

from dataclasses import replace

import pytest

from mothgap.interface import Cause, Count, Fail, Refuse, Result, Send, Stopping
from tests.helpers import MS, ONCE, REPEATABLE, SETTINGS, Driver, kinds

PATIENT = replace(SETTINGS, classes=tuple(
    replace(cls, deadline=20_000 * MS, aim=10_000 * MS, late_worth=1.0) for cls in SETTINGS.classes
))  # fmt: skip


def stop(driver: Driver, refuse_after: int, answer_by: int) -> None:
    driver.feed(Stopping(driver.now + refuse_after, driver.now + answer_by))


def test_what_comes_late_in_a_shutdown_is_refused_and_not_counted() -> None:
    driver = Driver(PATIENT)
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 500 * MS
    for cls in (REPEATABLE, ONCE):
        (refusal,) = driver.request(cls=cls)
        assert isinstance(refusal, Refuse)
        assert refusal.cause is Cause.STOPPING
    assert not driver.calls


def test_what_comes_early_in_a_shutdown_is_sent_with_a_time_that_ends_before_it() -> None:
    driver = Driver(PATIENT)
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 499 * MS
    send = driver.admitted(cls=ONCE)
    assert 0 < send.timeout <= 3_000 * MS - 499 * MS


@pytest.mark.parametrize("cls", [REPEATABLE, ONCE])
def test_a_request_in_hand_has_no_further_attempt_past_the_end_and_a_true_answer(cls: int) -> None:
    driver = Driver(PATIENT)
    request = driver.admitted(cls=cls).request
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 3_000 * MS
    (answer,) = driver.outcome(request, Result.TIMEOUT)
    assert isinstance(answer, Refuse if cls == REPEATABLE else Fail)  # it may have run


def test_a_request_whose_attempt_never_ran_is_sent_again_only_before_the_end() -> None:
    driver = Driver(PATIENT)
    request = driver.admitted(cls=ONCE).request
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 1_000 * MS
    again = driver.outcome(request, Result.CONNECT_FAILED)[-1]
    assert isinstance(again, Send)
    assert again.timeout <= 2_000 * MS
    driver.now += 2_000 * MS
    assert kinds(driver.outcome(request, Result.CONNECT_FAILED))[-1] == "Refuse"  # harmless: nothing was sent


def test_a_request_that_waits_for_its_total_is_not_sent_once_the_end_has_come() -> None:
    driver = Driver(PATIENT)
    driver.request(cls=ONCE)
    stop(driver, 500 * MS, 3_000 * MS)
    driver.now += 3_000 * MS
    (answer, *back) = sorted(driver.counted(1.0), key=lambda action: not isinstance(action, Refuse))
    assert isinstance(answer, Refuse)
    assert [type(action) for action in back] == [Count]  # its units are given back


def test_a_second_stop_only_makes_the_end_earlier() -> None:
    driver = Driver(PATIENT)
    stop(driver, 500 * MS, 3_000 * MS)
    stop(driver, 0, 9_000 * MS)
    (refusal,) = driver.request(cls=ONCE)
    assert isinstance(refusal, Refuse)
    stop(driver, 5_000 * MS, 9_000 * MS)
    (refusal,) = driver.request(cls=ONCE)
    assert isinstance(refusal, Refuse)
