"""Fleets of hundreds of gateways: limits that hold only for the sum, and what a single gateway can know."""

from collections import Counter
from dataclasses import replace
from random import Random

from mothgap.interface import Count, Counted, Effect, ListKind, Member, Plan, Result, Send, State
from mothgap.rules import INITIAL_LIMIT, SAMPLE_SIZE, SUBSET_SIZE
from tests.helpers import (
    CEILING,
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

FLEET = replace(SETTINGS, fleet_size=200)
NO_COUNTER = replace(FLEET, counter=None)


def answer(driver: Driver, total: float, elapsed: int = 1 * MS, result: Result = Result.OK) -> list[str]:
    """The counter's answer to the oldest open call, after this time."""
    count = driver.calls.pop(0)
    return action_names(driver.feed(Counted(count.name, result, elapsed, total)))


def overload_counter(driver: Driver) -> None:
    """Calls that time out now and then: the counter is available, but overloaded."""
    for customer in range(1000, 1060):
        driver.request(customer=customer)
        timed_out = customer % 3 < 2
        while driver.calls:
            answer(driver, 0.0, 50 * MS, Result.TIMEOUT) if timed_out else answer(driver, 1.0, 40 * MS)
        driver.finish()
        driver.wait(60 * MS)


def test_a_random_burst_at_one_of_many_gateways_is_not_refused() -> None:
    driver = Driver(FLEET, servers=40)
    for customer in range(3):
        actions = action_names(driver.request(customer=customer))
        assert "Send" in (answer(driver, 1.0) if driver.calls else actions)


def test_late_answers_everywhere_make_every_gateway_of_a_large_fleet_send_less() -> None:
    driver = Driver(FLEET, servers=40)
    sent = []
    for second in range(40):
        before = action_names(driver.actions).count("Send")
        for customer in range(4):
            driver.request(customer=1000 * second + customer)
            while driver.calls:
                answer(driver, 1.0)
        driver.wait(900 * MS)  # nine tenths of the aim
        driver.finish()
        driver.wait(100 * MS)
        sent.append(action_names(driver.actions).count("Send") - before)
    assert sum(sent[-10:]) < sum(sent[:10]) / 2
    assert sum(sent[-10:]) > 0


def test_gateways_without_statistics_do_not_all_pick_the_same_server() -> None:
    picked: Counter[str] = Counter()
    for index in range(300):
        picked[Driver(replace(NO_COUNTER, index=index), servers=20, seed=index).admitted().server] += 1
    assert len(picked) == 20
    assert max(picked.values()) < 3 * 300 / 20


def test_a_choice_does_not_evaluate_every_server_of_a_large_fleet() -> None:
    class CountingRandom(Random):
        """Counts draws: one is made for each server that a choice evaluates."""

        draws = 0

        def random(self) -> float:
            self.draws += 1
            return super().random()

    driver = Driver(NO_COUNTER, servers=84)
    rng = driver.gateway._rng = CountingRandom(1)
    driver.admitted()
    assert 0 < rng.draws <= 2 * SUBSET_SIZE


FORTY_GATEWAYS = replace(NO_COUNTER, fleet_size=40, plans=(Plan(),))


def sends_of(driver: Driver, requests: int, interval: int = 0) -> int:
    """How many of this many requests are sent, if one arrives per interval."""
    before = action_names(driver.actions).count("Send")
    for _ in range(requests):
        driver.request(customer=driver.next_id)
        driver.wait(interval)
    return action_names(driver.actions).count("Send") - before


def test_forty_gateways_do_not_each_have_an_attempt_in_flight_at_every_one_of_sixty_servers() -> None:
    """At first, four attempts per server in total: one per gateway and server would be forty per server."""
    driver = Driver(FORTY_GATEWAYS, servers=60)
    limit = int(INITIAL_LIMIT * 60 / 40)
    assert limit <= sends_of(driver, 60) <= 2 * limit
    driver.wait(500 * MS)
    driver.finish()
    assert sends_of(driver, 1) == 1, "attempts that ended make room"


def test_a_gateway_of_forty_sends_more_after_timely_answers_and_less_after_late_ones() -> None:
    driver = Driver(FORTY_GATEWAYS, servers=60)
    at_first = sends_of(driver, 60)
    for _ in range(20):
        driver.wait(100 * MS)
        driver.finish()
        sends_of(driver, 20)
    driver.finish()
    prompt = sends_of(driver, 100)
    assert prompt > 2 * at_first
    for _ in range(20):
        driver.wait(900 * MS)  # nine tenths of the aim
        driver.finish()
        sends_of(driver, 20)
    driver.finish()
    assert sends_of(driver, 100) < prompt / 2


def test_a_limit_that_is_more_than_half_used_grows_before_anything_is_refused() -> None:
    driver = Driver(FORTY_GATEWAYS, servers=60)
    for _ in range(60):
        assert sends_of(driver, 4) == 4, "the limit is six"
        driver.wait(250 * MS)
        driver.finish()
    assert driver.gateway._total_limit() > 8.0, "twice the attempts in flight"


def test_a_gateway_of_forty_may_send_to_every_server_where_there_are_more_of_them() -> None:
    driver = Driver(FORTY_GATEWAYS, servers=60)
    for _ in range(60):
        sends_of(driver, 20)
        driver.wait(100 * MS)
        driver.finish()
    assert len({a.server for a in driver.actions if isinstance(a, Send)}) > 50


MANY_SERVERS = replace(SETTINGS, counter=None, fleet_size=1, plans=(Plan(),))


def test_a_choice_among_many_servers_evaluates_a_sample() -> None:
    driver = Driver(MANY_SERVERS, servers=500)
    draws = []
    for customer in range(20):
        before = driver.gateway._rng.getstate()
        probe = Random()
        probe.setstate(before)
        driver.request(customer=customer)
        count = 0
        while probe.getstate() != driver.gateway._rng.getstate():
            probe.random()
            count += 1
        draws.append(count)
    assert 0 < max(draws) <= 3 * SAMPLE_SIZE, "one draw for the server, two for its random factor"


def test_all_servers_are_evaluated_if_none_of_the_sample_is_suitable() -> None:
    driver = Driver(MANY_SERVERS, servers=200)
    picked: Counter[str] = Counter()
    for customer in range(4 * 200):  # four at each server, its limit
        sent = [a for a in driver.request(customer=customer) if isinstance(a, Send)]
        assert sent, f"no server was found after {len(picked)} servers were picked"
        picked[sent[0].server] += 1
    assert set(picked.values()) == {4}
    driver.wait(30 * MS)  # so that cached sums expire
    assert action_names(driver.request(customer=999)) == ["Refuse"], "all servers are at their limit"


def test_many_servers_share_the_load_evenly() -> None:
    driver = Driver(MANY_SERVERS, servers=200)
    picked: Counter[str] = Counter()
    for customer in range(400):
        picked[driver.admitted(customer=customer).server] += 1
    assert len(picked) > 150 and max(picked.values()) <= 4


def test_a_customer_is_not_evicted_if_that_would_grant_a_fresh_burst() -> None:
    slow = replace(SETTINGS, counter=None, plans=(Plan(rate=0.05, burst=8.0),))
    driver = Driver(slow)
    taken = 0
    while action_names(driver.request(customer=CUSTOMER))[-1] == "Send":
        driver.finish()
        taken += 1
    assert taken == 4
    driver.wait(40 * SECOND)
    for customer in range(1000, 1100):  # long after, other customers may evict it
        driver.request(customer=customer)
        driver.finish()
    again = 0
    while action_names(driver.request(customer=CUSTOMER))[-1] == "Send":
        driver.finish()
        again += 1
    assert again <= 2, "only what 40 seconds have refilled"


def test_customers_that_are_fully_refilled_are_evicted() -> None:
    driver = Driver(replace(SETTINGS, counter=None))
    for customer in range(1000, 3000):
        driver.request(customer=customer)
        driver.finish()
    driver.wait(60 * SECOND)
    for customer in range(5000, 7000):
        driver.request(customer=customer)
        driver.finish()
    assert len(driver.gateway._customers) <= 2100


def test_an_overloaded_counter_is_called_for_fewer_requests_until_it_keeps_up_again() -> None:
    driver = Driver(FLEET, servers=40)
    overload_counter(driver)
    called = 0
    for customer in range(2000, 2040):
        called += action_names(driver.request(customer=customer)).count("Count")
        while driver.calls:
            answer(driver, 1.0, 45 * MS)  # it answers, but only just: the share stays
        driver.finish()
        driver.wait(200 * MS)
    assert 4 <= called <= 30
    for customer in range(3000, 3100):
        driver.request(customer=customer)
        while driver.calls:
            answer(driver, 1.0)
        driver.finish()
        driver.wait(200 * MS)
    assert action_names(driver.request(customer=4000)) == ["Count"]


def test_calls_to_an_overloaded_counter_also_count_requests_that_did_not_call() -> None:
    driver = Driver(FLEET, servers=40)
    overload_counter(driver)
    added, passed = 0.0, 0
    for customer in range(2000, 2300):
        for action in driver.request(customer=customer):
            added += action.amount if isinstance(action, Count) else 0.0
            passed += isinstance(action, Send)
        while driver.calls:
            passed += answer(driver, 1.0, 45 * MS).count("Send")
        driver.finish()
        driver.wait(200 * MS)
    assert 0.7 * passed < added < 1.3 * passed


def test_a_customer_beyond_its_quota_is_refused_while_the_counter_is_overloaded() -> None:
    driver = Driver(replace(FLEET, plans=(replace(SETTINGS.plans[0], beyond_cost=1.0),)), servers=40)
    overload_counter(driver)
    sends = []
    for _ in range(80):
        driver.request()
        while driver.calls:
            answer(driver, 12.0, 45 * MS)
        driver.finish()
        driver.wait(3 * SECOND)
        sends.append(action_names(driver.actions).count("Send"))
    assert sends[79] - sends[39] <= 2


def test_a_refund_makes_no_call_of_its_own_while_the_counter_is_overloaded() -> None:
    driver = Driver(FLEET, servers=40)
    overload_counter(driver)
    refused = 0
    for customer in range(2000, 2040):
        driver.request(customer=customer)
        while driver.calls:
            actions = answer(driver, 50.0, 45 * MS)
            refused += actions.count("Refuse")
            assert "Count" not in actions
        driver.finish()
        driver.wait(200 * MS)
    assert refused > 0


def test_a_retry_whose_aim_has_passed_is_refused_while_the_counter_is_overloaded() -> None:
    driver = Driver(FLEET, servers=40)
    overload_counter(driver)
    # Half of the deadline has passed.
    assert action_names(driver.request(customer=1, time_left=1500 * MS)) == ["Refuse"]


def test_clients_with_little_time_left_are_served_while_nothing_is_overloaded() -> None:
    driver = Driver(FLEET, servers=40)
    for customer in range(20):
        driver.admitted(customer=customer)
        driver.finish()
        driver.wait(1 * SECOND)
    assert driver.admitted(customer=100, time_left=1500 * MS)


def test_customers_beyond_their_quota_are_refused_first_when_room_is_short() -> None:
    driver = Driver(replace(FLEET, plans=(replace(SETTINGS.plans[0], beyond_cost=1.0),)), servers=40)
    for _ in range(12):  # totals over the quota, windows apart
        driver.request(customer=1)
        while driver.calls:
            answer(driver, 12.0)
        driver.finish()
        driver.wait(5 * SECOND)
    driver.gateway._credit = 0.4 * driver.gateway._max_aim
    assert action_names(driver.request(customer=1)) == ["Refuse"]
    assert action_names(driver.request(customer=2, cls=KEYED)) != ["Refuse"]


def test_a_cold_server_is_not_overloaded_by_hundreds_of_gateways_together() -> None:
    """Each gateway may send a small fraction of a request a second; the sum must not be zero or too much."""
    settings = replace(NO_COUNTER, plans=(replace(SETTINGS.plans[0], rate=0.0, burst=0.0),))
    gateways = [Driver(replace(settings, index=number), servers=10, seed=number) for number in range(200)]
    for _ in range(10):
        for driver in gateways:
            driver.admitted()
            driver.wait(100 * MS)
            driver.finish()
            driver.wait(900 * MS)
    # 200 answers a second from 10 servers: 20 a second each. One restarts, which is reported at once.
    cold = 0
    for driver in gateways:
        driver.members(ready_server(1, started_at=driver.now))
    for _ in range(3):
        for driver in gateways:
            cold += driver.admitted().server == ready_server(1).server
            driver.wait(100 * MS)
            driver.finish()
            driver.wait(900 * MS)
    safety = FLEET.safety
    assert 0 < cold < safety.fall_multiple * safety.cold_from * 20 * 3


def test_servers_that_refuse_connections_are_avoided_even_if_they_are_the_majority() -> None:
    driver = Driver(NO_COUNTER, servers=8)
    alive = ready_server(8).server
    for customer in range(60):
        driver.request(customer=customer)
        for _ in range(8):
            record = driver.records[driver.next_id - 1]
            if not record.in_flight:
                break
            up = record.sent[max(record.sent)][0] == alive
            driver.outcome(record.request.id, Result.OK if up else Result.CONNECT_FAILED)
        driver.wait(20 * MS)
    sends = [a.server for a in driver.actions if isinstance(a, Send)]
    assert sends[-20:].count(alive) >= 18


def test_a_restarted_gateway_of_a_large_fleet_serves_at_once_from_its_cached_list() -> None:
    driver = Driver(FLEET, servers=0)
    members = tuple(Member(f"10.0.{n // 250}.{n % 250 + 1}:80", State.READY, kind=n % 2) for n in range(84))
    driver.members(*members, kind=ListKind.CACHED)
    for cls in (REPEATABLE, KEYED, ONCE):
        assert driver.admitted(cls=cls, customer=cls, entry_points=150)
    assert FLEET.classes[ONCE].effect is Effect.ONCE


def test_a_restart_does_not_refill_a_gateways_share_of_a_ceiling_in_a_large_fleet() -> None:
    driver = Driver(FLEET, servers=40)
    assert action_names(driver.request(plan=CEILING, customer=CUSTOMER, units=4.0, entry_points=7)) == [
        "Refuse"
    ]
