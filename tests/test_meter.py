"""Metering: the ordinary path, and what happens when the counter fails or is overloaded."""

from dataclasses import replace

import pytest

from mothgap.interface import Cause, Count, Counter, Outcome, Refuse, Result, Unsure
from mothgap.view import customer_state
from tests.helpers import CEILING, CUSTOMER, MS, ONCE, REPEATABLE, SECOND, SETTINGS, Driver, action_names


def test_units_are_added_before_the_request_is_sent() -> None:
    driver = Driver()
    assert action_names(driver.request(units=2.0)) == ["Count"]
    assert driver.calls[0].amount == 2.0
    assert action_names(driver.counted(2.0)) == ["Send"]


def test_over_the_quota_units_are_taken_back_and_the_request_refused_with_retry_after() -> None:
    driver = Driver()
    driver.request(units=1.0)
    actions = driver.counted(9.0)  # others took 8 of 8
    refund, refusal = actions
    assert isinstance(refund, Count)
    assert refund.amount == -1.0
    assert isinstance(refusal, Refuse)
    assert 0 < refusal.retry_after <= 4 * SECOND  # the window is burst / rate


def test_the_quota_refills_with_the_rate() -> None:
    driver = Driver()
    driver.request()
    assert "Refuse" in action_names(driver.counted(9.0))
    driver.wait(3 * SECOND)  # six units more
    driver.request()
    driver.counted(8.0)  # the answer to the refund
    assert action_names(driver.counted(9.0)) == ["Send"]


def test_a_customer_known_to_have_no_room_is_refused_without_a_call() -> None:
    driver = Driver()
    driver.request()
    driver.counted(20.0)
    assert action_names(driver.request()) == ["Refuse"]


def test_debt_is_carried_over_into_the_next_window() -> None:
    driver = Driver()
    names = set()
    passed = 0
    for step in range(160):  # four times the quota for 20 s, over several windows
        driver.request()
        while driver.calls:
            names.add(driver.calls[0].name)
            passed_before = action_names(driver.actions).count("Send")
            driver.counted(total_of(driver, driver.calls[0].name))
            passed += action_names(driver.actions).count("Send") - passed_before
        driver.wait(125 * MS)
        driver.finish()
        assert passed <= 8 + 2 * (step + 1) * 0.125 + 1
    assert len(names) > 3


def total_of(driver: Driver, name: int) -> float:
    """The counter's answer to the oldest call: all increments of the name but those of later open calls."""
    later = sum(call.amount for call in driver.calls[1:] if call.name == name)
    return sum(a.amount for a in driver.actions if isinstance(a, Count) and a.name == name) - later


def test_the_local_share_decides_when_the_counter_rejects_a_call() -> None:
    driver = Driver()
    driver.request(entry_points=2)
    assert action_names(driver.counted(result=Result.FULL)) == ["Send"]


def test_while_the_counter_is_unavailable_only_the_local_share_passes() -> None:
    driver = Driver()
    passed = 0
    for _ in range(80):  # 8 requests a second for 10 s; the quota is 8 + 2 a second, the share half of it
        driver.request(entry_points=2)
        while driver.calls:
            driver.counted(result=Result.CONNECT_FAILED)
        driver.wait(125 * MS)
        driver.finish()
    passed = action_names(driver.actions).count("Send")
    assert 8 <= passed <= 16


def test_a_silent_counter_gets_trial_calls_and_is_used_again_once_it_answers() -> None:
    driver = Driver()
    for customer in range(40):
        driver.request(customer=customer)
        while driver.calls:
            driver.counted(result=Result.TIMEOUT)
        driver.wait(10 * MS)
        driver.finish()
    calls = [a for a in driver.actions if isinstance(a, Count)]
    assert len(calls) < 10
    driver.wait(1 * SECOND)
    driver.request(customer=100)
    driver.counted(1.0)
    assert action_names(driver.request(customer=101)) == ["Count"]


def test_a_lost_count_does_not_grant_the_burst_again() -> None:
    driver = Driver()
    for total in range(1, 8):
        driver.request()
        assert action_names(driver.counted(float(total))) == ["Send"]
        driver.finish()
    passed = []
    for total in range(1, 4):  # the count starts anew, the gateway's own record remains
        driver.request()
        while driver.calls:
            passed += action_names(driver.counted(float(total)))
    assert passed.count("Send") == 1


def test_a_request_with_no_time_left_is_refused_at_once() -> None:
    driver = Driver()
    assert action_names(driver.request(time_left=0)) == ["Refuse"]


def test_a_slow_counter_is_not_waited_for_past_the_clients_deadline() -> None:
    driver = Driver()
    driver.request(time_left=40 * MS)
    driver.wait(40 * MS)
    assert action_names(driver.actions)[-1] in ("Send", "Fail", "Refuse")
    driver.wait(20 * MS)


def test_the_ceiling_is_enforced_though_the_counter_shows_room() -> None:
    driver = Driver()
    driver.wait(10 * SECOND)
    for _ in range(40):  # 20 units is this gateway's third of the ceiling
        driver.request(plan=CEILING, entry_points=3)
        if driver.calls:
            driver.counted(1.0)  # the driver raises RuleViolation where too much passes
        driver.finish()
    assert action_names(driver.actions).count("Send") <= 20


def test_the_share_of_a_ceiling_is_empty_after_a_restart() -> None:
    driver = Driver()
    driver.request(plan=CEILING, entry_points=3, cls=ONCE)
    assert action_names(driver.actions)[-1] == "Refuse"


def test_without_a_counter_the_even_share_decides() -> None:
    driver = Driver(replace(SETTINGS, counter=None))
    for _ in range(20):
        driver.request(entry_points=4)
        driver.finish()
    assert action_names(driver.actions).count("Send") == 2


def test_customers_with_a_single_request_are_evicted() -> None:
    driver = Driver()
    for customer in range(3_000):
        driver.request(customer=customer, time_left=0)
        driver.wait(50 * MS)
    assert len(driver.gateway._customers) < 1_000


def test_one_lost_answer_does_not_limit_a_customer_to_the_even_share() -> None:
    driver = Driver()
    for _ in range(2):
        driver.request(entry_points=8)
        assert action_names(driver.counted(result=Result.TIMEOUT)) == ["Send"]


def test_estimated_units_are_corrected_by_the_true_ones() -> None:
    driver = Driver(replace(SETTINGS, units_settle=True))
    send = driver.admitted(units=2.0)
    record = driver.records[send.request]
    record.in_flight.clear()
    record.finished = True
    event = Outcome(send.request, 0, send.server, Result.OK, 50 * MS, True, true_units=3.0)
    (correction,) = driver.feed(event)
    assert isinstance(correction, Count)
    assert correction.amount == 1.0


def test_the_timer_for_a_total_that_arrived_cancels_no_attempt() -> None:
    # If a tenth of the aim is shorter than the counter's time limit, a request sets a timer for its total.
    # The timer fires when an attempt has just begun, and must not cancel it.
    driver = Driver(settings=replace(SETTINGS, counter=Counter(time_limit=400 * MS)))
    for cls in (REPEATABLE, ONCE):
        driver.admitted(cls=cls)
        assert "Cancel" not in action_names(driver.wait(300 * MS))
        driver.finish()


def test_calls_that_fail_together_do_not_mark_the_counter_as_unavailable() -> None:
    # Calls in one late queue or on one broken connection fail together. While the counter counts as
    # unavailable, a request costs as much as at all gateways that share the customer, and most are refused
    # though there is room.
    driver = Driver()
    driver.request(entry_points=4)
    assert action_names(driver.counted(1.0)) == ["Send"]
    for customer in range(1, 6):
        driver.request(customer=customer)
    for result in (Result.TIMEOUT, Result.TIMEOUT, Result.RESET, Result.RESET, Result.FULL):
        driver.counted(result=result)
    driver.finish()
    driver.gateway._call_share = 1.0  # all requests call the counter
    assert action_names(driver.request(units=2.0, entry_points=4)) == ["Count"]
    assert action_names(driver.counted(result=Result.TIMEOUT)) == ["Send"]


def test_units_that_pass_without_a_call_are_added_with_the_next_one() -> None:
    driver = Driver()
    added, passed, largest = 0.0, 0, 0.0
    for share in (0.3, 0.3, 0.3, 0.3, 0.3, 1.0):  # the counter is overloaded, then not
        driver.gateway._call_share = share
        actions = driver.request()
        if driver.calls:
            added += driver.calls[0].amount
            largest = max(largest, driver.calls[0].amount)
            actions = driver.counted(added)
            assert added == passed + 1
        passed += action_names(actions).count("Send")
        driver.finish()
    assert (passed, added) == (6, 6.0)
    assert largest > 1.0  # some passed without a call


def test_an_increment_whose_answer_was_lost_is_not_taken_for_the_use_of_others() -> None:
    driver = Driver()
    sends = []
    for total in (2.0, 4.0, 6.0, 8.0):
        for result in (Result.RESET, Result.OK):
            driver.gateway._call_share = 1.0  # all requests call the counter
            driver.request()
            sends += action_names(driver.counted(total, result))
            driver.finish()
    assert sends == ["Send"] * 8  # the whole burst


def test_units_of_a_rejected_call_are_added_with_the_next_call() -> None:
    driver = Driver()
    driver.request(units=2.0)
    assert action_names(driver.counted(result=Result.FULL)) == ["Send"]
    driver.gateway._call_share = 1.0  # all requests call the counter
    driver.request(units=1.0)
    assert driver.calls[0].amount == 3.0


def test_an_increment_missing_from_the_next_total_is_pending() -> None:
    # A connection may break before the counter reads its calls: their units must not be lost from the count.
    driver = Driver()
    driver.request(units=2.0)
    assert action_names(driver.counted(result=Result.RESET)) == ["Send"]
    for total, amount in ((1.0, 1.0), (4.0, 3.0)):
        driver.gateway._call_share = 1.0  # all requests call the counter
        driver.request()
        assert driver.calls[0].amount == amount
        driver.counted(total)
        driver.finish()


def test_uncounted_units_stand_for_the_use_of_others_as_far_as_totals_showed_it() -> None:
    # Two gateways that each let a burst through between two totals are two bursts for the customer.
    passed = []
    for others in (0.0, 1.0):
        driver = Driver()
        totals: dict[int, float] = {}
        for _ in range(12):  # this gateway takes half of the quota, others nothing or the same
            driver.request(entry_points=2)
            name = driver.calls[0].name
            totals[name] = totals.get(name, 0.0) + 1.0 + others
            driver.counted(totals[name])
            driver.finish()
            driver.wait(1 * SECOND)
        driver.wait(8 * SECOND)
        driver.gateway._call_share = 1e-9  # almost no request calls the counter
        before = action_names(driver.actions).count("Send")
        for _ in range(12):
            driver.request(entry_points=2)
            driver.finish()
        passed.append(action_names(driver.actions).count("Send") - before)
    assert passed[0] > passed[1]
    assert 3 <= passed[1] <= 5  # half of the burst of 8
    assert passed[0] <= 8


def test_a_total_replaces_the_estimated_use_of_others() -> None:
    driver = Driver()
    driver.gateway._call_share = 1e-9
    assert action_names(driver.request(entry_points=4)) == ["Send"]  # stands for 4 units
    driver.gateway._call_share = 1.0
    for units, total in ((4.0, 5.0), (2.0, 7.0)):  # others took nothing
        driver.request(units=units, entry_points=4)
        assert action_names(driver.counted(total)) == ["Send"]


def test_refusals_while_the_counter_is_overloaded_end_when_the_units_fit_again() -> None:
    # Refusing for the rest of a window would lock out customers whose burst is half unused by then.
    driver = Driver()
    driver.request(cls=ONCE)
    driver.counted(8.0)
    driver.gateway._call_share = 0.5
    assert action_names(driver.request(cls=ONCE)) == [
        "Refuse"
    ]  # without a call: nothing has been refilled yet
    driver.wait(2 * SECOND)  # four units
    assert action_names(driver.request(cls=ONCE)) == ["Count"]


def test_the_rest_of_a_quota_is_reserved_for_the_class_of_more_worth() -> None:
    # Its requests take more units each: while single units pass one by one, they would never find room.
    driver = Driver()
    driver.request(units=4.0, cls=ONCE)
    driver.counted(12.0)  # others took 8 of 8
    driver.counted(8.0)  # the answer to the refund
    driver.wait(2 * SECOND)  # four units
    driver.gateway._call_share = 0.9  # overloaded: it is refused without a call
    assert action_names(driver.request(units=1.0)) == ["Refuse"]
    driver.gateway._call_share = 1.0
    assert action_names(driver.request(units=1.0)) == ["Count"]  # as the units by themselves would fit
    assert "Refuse" in action_names(driver.counted(9.0))
    driver.counted(8.0)
    driver.request(units=2.0, cls=ONCE)
    assert action_names(driver.counted(10.0)) == ["Send"]
    driver.wait(SECOND // 2)  # one unit, but all keep two
    driver.gateway._call_share = 0.9
    assert action_names(driver.request(units=2.0, cls=ONCE)) == ["Refuse"]


def test_units_beyond_a_quota_do_not_become_debt() -> None:
    # They take nothing from the quota: a debt for them would last as long as the customer asks for all of it.
    driver = Driver()
    driver.request(cls=ONCE)
    driver.counted(20.0)
    driver.wait(2 * SECOND)  # four units
    assert "Count" in action_names(driver.request(cls=ONCE))


def test_refunds_by_others_of_units_beyond_the_quota_free_no_room() -> None:
    driver = Driver()
    driver.request(cls=ONCE)
    driver.counted(12.0)  # 11 by others, of which 3 were refused
    driver.counted(8.0)  # and are refunded, as is the one here
    assert action_names(driver.request(cls=ONCE)) == ["Refuse"]


def test_units_refused_in_one_window_are_not_refunded_in_the_next() -> None:
    # The new count never held them: others would take the refund for room.
    driver = Driver()
    driver.request(units=2.0, cls=ONCE)
    driver.gateway._call_share = 0.5  # it is refunded with the next call
    driver.counted(10.0)
    driver.wait(4 * SECOND)  # as long as a window
    driver.gateway._call_share = 1.0
    driver.request(cls=ONCE)
    assert driver.calls[0].amount == 1.0


def test_room_is_reserved_for_pending_units_of_other_gateways() -> None:
    # A total can't include what other gateways have let through since their last call for the customer.
    driver = Driver()
    for _ in range(4):
        driver.gateway._call_share = 1e-9
        driver.request(entry_points=2, cls=ONCE)
        driver.gateway._call_share = 1.0
        driver.request(entry_points=2, cls=ONCE)
        driver.counted(driver.calls[0].amount)
        driver.finish()
        driver.wait(4 * SECOND)
    driver.request(entry_points=2, cls=ONCE)
    assert "Refuse" in action_names(driver.counted(8.0))


def test_an_overloaded_counter_is_called_for_customers_near_their_burst() -> None:
    calls = {0.0: 0, 6.0: 0}
    for units in calls:  # units that each customer has taken, of 8
        driver = Driver()
        for customer in range(40):
            if units:
                driver.request(customer=customer, units=units)
                driver.counted(units)
            driver.gateway._call_share = 0.5
            before = len(driver.calls)
            driver.request(customer=customer)
            calls[units] += len(driver.calls) - before
            while driver.calls:
                driver.counted(units + 1.0)
            driver.finish()
    assert calls[6.0] == 40
    assert calls[0.0] < 10


def test_a_broken_connection_does_not_mean_that_the_counter_is_overloaded() -> None:
    # Fewer calls would let requests pass uncounted, and customers beyond their quotas.
    driver = Driver()
    for customer in range(8):
        assert action_names(driver.request(customer=customer)) == ["Count"]
        driver.counted(result=Result.RESET if customer % 2 else Result.OK)
        driver.finish()


@pytest.mark.parametrize("marked", [False, True])
def test_a_first_try_is_not_taken_for_a_retry_when_retries_are_the_majority(marked: bool) -> None:
    # A first try comes with 1.9 s left of a deadline of 3 s. If its aim of 1 s were counted from the missing
    # time, a plan that is refused for some seconds would be refused forever because of its own retries.
    driver = Driver(replace(SETTINGS, marks_retries=marked))
    driver.gateway._call_share = 0.9
    for customer in range(12):
        first = driver.request(customer=customer, time_left=1_900 * MS)
        assert Cause.NO_TIME not in [action.cause for action in first if isinstance(action, Refuse)]
        for _ in range(3):
            driver.request(customer=customer, time_left=1_400 * MS, retry=marked)
        driver.calls.clear()


def test_a_retry_whose_aim_has_passed_is_refused_while_the_counter_is_overloaded() -> None:
    # It would take units for an answer that earns nothing. If clients mark retries, others are first tries.
    for marked, retry, refused in ((False, False, True), (True, True, True), (True, False, False)):
        driver = Driver(replace(SETTINGS, marks_retries=marked))
        for customer in range(4):
            driver.request(customer=customer)
        driver.gateway._call_share = 0.9
        actions = driver.request(customer=9, time_left=1_500 * MS, retry=retry)
        assert ([a.cause for a in actions if isinstance(a, Refuse)] == [Cause.NO_TIME]) is refused


def test_marked_retries_of_impatient_clients_are_served() -> None:
    # A retry with 300 ms left is not a last one where first tries come with as much.
    driver = Driver(replace(SETTINGS, marks_retries=True))
    for customer in range(8):
        driver.request(customer=customer, time_left=(300 if customer == 2 else 3_000) * MS)
    driver.gateway._call_share = 0.9
    actions = driver.request(customer=9, time_left=300 * MS, retry=True)
    assert not any(isinstance(a, Refuse) for a in actions)


def test_late_and_rejected_calls_mean_that_the_counter_is_overloaded() -> None:
    for result in (Result.TIMEOUT, Result.FULL):
        driver = Driver()
        for customer in range(40):
            driver.request(customer=customer)
            while driver.calls:
                driver.counted(result=Result.OK if customer % 4 else result)
            driver.wait(10 * MS)
            driver.finish()
        assert len([a for a in driver.actions if isinstance(a, Count)]) < 36


@pytest.mark.parametrize("overloaded", [False, True])
@pytest.mark.parametrize("unsure", [False, True])
def test_units_of_a_request_that_another_gateway_may_have_resumed_are_not_refunded(
    overloaded: bool, unsure: bool
) -> None:
    driver = Driver()
    driver.request()
    if overloaded:
        driver.request(customer=5)
        driver.counted(result=Result.TIMEOUT, call=1)
    driver.feed(Unsure(1, True))
    driver.feed(Unsure(1, unsure))
    driver.expire(1)
    refunded = sum(a.amount for a in driver.actions if isinstance(a, Count) and a.amount < 0)
    assert refunded + customer_state(driver.gateway, CUSTOMER)["owed"] == (0.0 if unsure else -1.0)


def test_units_counted_by_a_lost_gateway_are_checked_and_not_added_again() -> None:
    driver = Driver()
    assert action_names(driver.request(counted=True)) == ["Count"]
    assert driver.calls[0].amount == 0.0
    assert action_names(driver.counted(8.0)) == ["Send"]  # its own unit is one of the eight
    driver.request(counted=True, customer=6)
    actions = driver.counted(9.0)
    assert [a.amount for a in actions if isinstance(a, Count)] == [-1.0]
    assert action_names(actions)[-1] == "Refuse"
    assert action_names(driver.request(counted=True, sent=True, customer=7)) == ["Send"]


def test_units_counted_by_a_lost_gateway_are_not_added_while_the_counter_is_unavailable() -> None:
    driver = Driver()
    for customer in range(40):
        driver.request(customer=customer, counted=True)
        while driver.calls:
            driver.counted(result=Result.TIMEOUT)
        assert customer_state(driver.gateway, customer)["owed"] == 0.0
        driver.wait(10 * MS)
        driver.finish()
    assert {a.amount for a in driver.actions if isinstance(a, Count)} == {0.0}
    assert action_names(driver.actions).count("Send") > 30
