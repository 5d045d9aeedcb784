"""Which server an attempt is sent to, and which class is refused first: load reports, zones and worth."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

import pytest

from mothgap.interface import Cause, Effect, ListKind, Refuse, RequestClass, Result, Send, ZoneParts
from mothgap.rules import IDLE_CONNECTION_TIME
from mothgap.settings import read_settings
from tests.helpers import KEYED, MS, SECOND, SETTINGS, START, Driver, ready_server
from tests.test_drill import SETTINGS_OBJECT

WITHOUT_COUNTER = replace(SETTINGS, counter=None, fleet_size=1)


def servers_picked(
    driver: Driver, reports: Mapping[str, tuple[float, ...]], rounds: int = 60
) -> Counter[str]:
    """How often each server is picked, one request at a time, if all answer in 50 ms with these reports."""
    picked: Counter[str] = Counter()
    for customer in range(rounds):
        send = driver.admitted(customer=customer)
        picked[send.server] += customer >= 2 * len(driver.listed)  # each server was used before by then
        driver.wait(50 * MS)
        driver.outcome(send.request, load=reports[send.server])
    return +picked


def test_a_server_with_a_high_reported_rate_gets_few_requests() -> None:
    # 80 requests a second that take 50 ms each are 4 in flight; the other server has a tenth of one.
    driver = Driver(replace(WITHOUT_COUNTER, report_fields=("qps",)), servers=2)
    busy, calm = sorted(driver.listed)
    picked = servers_picked(driver, {busy: (80.0,), calm: (2.0,)})
    assert picked[busy] < picked[calm] / 4


def test_a_report_without_load_fields_does_not_make_a_server_look_idle() -> None:
    driver = Driver(replace(WITHOUT_COUNTER, report_fields=("uptime",)), servers=2)
    servers_picked(driver, dict.fromkeys(driver.listed, (7.0,)))
    assert all(server.load_updated_at == START for server in driver.gateway._servers.values())


def test_a_server_of_the_same_zone_is_preferred_while_it_is_not_busier() -> None:
    driver = Driver(replace(WITHOUT_COUNTER, report_fields=("inflight",), zone=1), servers=0)
    driver.members(ready_server(1, zone=0), ready_server(2, zone=1))
    reports = {"10.0.0.1:80": (1.0,), "10.0.0.2:80": (1.0,)}
    picked = servers_picked(driver, reports)
    assert picked["10.0.0.2:80"] > 3 * picked["10.0.0.1:80"]
    reports["10.0.0.2:80"] = (4.0,)
    assert servers_picked(driver, reports)["10.0.0.1:80"] > 20


@pytest.mark.parametrize(("cls", "refused"), [(0, True), (KEYED, False)])
def test_the_class_with_the_least_worth_for_its_work_is_refused_first(cls: int, refused: bool) -> None:
    # Both classes take equally long, and the keyed one earns twice as much. Of 16 attempts 14 are in flight.
    driver = Driver(WITHOUT_COUNTER, servers=4)
    for customer in range(40):
        send = driver.admitted(customer=customer, cls=KEYED if customer % 2 else 0)
        driver.wait(50 * MS)
        driver.outcome(send.request)
    for server in driver.gateway._servers.values():
        server.limit.max_in_flight = 4.0
    for customer in range(14):
        driver.admitted(customer=100 + customer, cls=KEYED)
    actions = driver.request(customer=200, cls=cls)
    assert ([a.cause for a in actions if isinstance(a, Refuse)] == [Cause.ROOM]) is refused


PRICED = replace(SETTINGS, handshake_price=0.08)


@pytest.mark.parametrize(("price", "used"), [(0.08, (1, 6)), (0.0, (12, 40))])
def test_a_server_with_an_idle_connection_is_preferred_if_handshakes_have_a_price(
    price: float, used: tuple[int, int]
) -> None:
    # Prevents forty gateways from each opening connections to all servers, which may be short of them.
    driver = Driver(replace(SETTINGS, handshake_price=price), servers=40)
    for _ in range(60):
        send = driver.admitted(customer=driver.next_id)
        driver.now += 100 * MS
        driver.outcome(send.request)
    servers = {server for record in driver.records.values() for server, *_ in record.sent.values()}
    assert used[0] <= len(servers) <= used[1]


def test_a_connection_that_carries_an_attempt_is_not_idle() -> None:
    driver = Driver(PRICED, servers=2)
    first = driver.admitted()
    driver.now += 100 * MS
    driver.outcome(first.request)
    again = driver.admitted(customer=78)
    assert again.server == first.server
    others = [driver.admitted(customer=80 + number).server for number in range(2)]
    assert others != [first.server] * 2  # its connection is in use


def test_a_connection_that_has_idled_for_long_is_assumed_closed() -> None:
    driver = Driver(PRICED, servers=2)
    used = []
    for number in range(30):
        send = driver.admitted(customer=100 + number)
        used.append(send.server)
        driver.now += 100 * MS
        driver.outcome(send.request)
        driver.now += IDLE_CONNECTION_TIME + 1
    assert len(set(used[:12])) == 2


def test_servers_that_have_just_started_get_requests_though_no_connection_to_them_is_open() -> None:
    # Prevents requests from going only to the old servers, which have connections, when many are replaced.
    driver = Driver(PRICED, servers=2)

    def play(seconds: int) -> set[str]:
        before = driver.next_id
        for _ in range(10 * seconds):
            send = driver.admitted(customer=driver.next_id)
            driver.wait(100 * MS)
            driver.outcome(send.request)
        return {s for n in range(before, driver.next_id) for s, *_ in driver.records[n].sent.values()}

    assert play(8) <= {ready_server(1).server, ready_server(2).server}
    driver.members(ready_server(3, started_at=driver.now), ready_server(4, started_at=driver.now))
    assert play(4) >= {ready_server(3).server, ready_server(4).server}


def test_a_connection_that_was_reset_is_not_idle() -> None:
    driver = Driver(PRICED, servers=2)
    first = driver.admitted()
    driver.now += 100 * MS
    driver.outcome(first.request)
    server = driver.gateway._servers[first.server]
    assert server.idle_connections == 1
    again = driver.admitted(customer=78)
    assert server.idle_connections == 0
    driver.outcome(again.request, Result.RESET)
    assert server.idle_connections == 0


def test_the_price_of_a_handshake_is_read_from_the_settings_and_defaults_to_zero() -> None:
    assert read_settings({**SETTINGS_OBJECT, "prices": {"handshake": 0.07, "odd": 1}}).handshake_price == 0.07
    assert read_settings({k: v for k, v in SETTINGS_OBJECT.items() if k != "prices"}).handshake_price == 0.0


def servers_used(driver: Driver, count: int = 300) -> set[str]:
    """The servers that this many requests go to, each of a customer of its own."""
    found = set()
    for number in range(count):
        send = driver.admitted(customer=driver.now + number)
        found.add(send.server)
        driver.outcome(send.request)
        driver.now += 5 * MS
    return found


def gateway_with_zone_parts(index: int, *parts: tuple[int, float], seed: int = 1) -> Driver:
    """A gateway with ten servers in its own zone and ten in zone 1, which it uses in part."""
    driver = Driver(replace(SETTINGS, index=index, fleet_size=4), servers=0, seed=seed)
    members = [replace(ready_server(n + 1), zone=n % 2) for n in range(20)]
    driver.members(*members, kind=ListKind.CACHED)
    driver.feed(ZoneParts(parts))
    return driver


def test_a_gateway_keeps_to_the_same_servers_as_the_part_of_a_zone_in_use_grows() -> None:
    zone = {ready_server(n + 1).server for n in range(20) if n % 2}
    before = set[str]()
    for part in (0.0, 0.25, 0.5, 1.0):
        driver = gateway_with_zone_parts(3, (1, part))
        now = servers_used(driver, 600) & zone
        assert before <= now and len(servers_used(driver) - zone) == 10
        before = now
    assert before == zone
    driver = gateway_with_zone_parts(3, (1, 0.0))
    driver.feed(ZoneParts(()))
    assert servers_used(driver, 600) & zone == zone  # and all of them again


def test_each_server_of_a_zone_in_partial_use_is_used_by_that_part_of_many_gateways() -> None:
    counts = Counter[str]()
    for index in range(200):
        counts.update(
            s.member.server
            for s in gateway_with_zone_parts(index, (1, 0.3)).gateway._ready
            if s.member.zone == 1
        )
    assert len(counts) == 10 and all(35 <= count <= 85 for count in counts.values()), counts


def test_error_statistics_of_a_zone_are_discarded_when_it_is_used_again() -> None:
    driver = gateway_with_zone_parts(0, (1, 1.0))
    for server in driver.gateway._servers.values():
        server.error_rate, server.ejected = 1.0, True
    driver.feed(ZoneParts(()))
    ejected = {server.member.zone: server.ejected for server in driver.gateway._servers.values()}
    assert ejected == {0: True, 1: False}


ONCE_ALONE = replace(SETTINGS, counter=None, classes=(
    RequestClass(Effect.ONCE, aim=1 * SECOND, deadline=3 * SECOND, worth=1.0),
))  # fmt: skip


def servers_that_answered(driver: Driver, seconds: int) -> Counter[str]:
    """Servers that answered, at ten requests a second."""
    served: Counter[str] = Counter()
    for _ in range(10 * seconds):
        driver.now += 100 * MS
        driver.request(cls=0, customer=driver.next_id)
        if isinstance(action := driver.actions[-1], Send):
            driver.outcome(action.request)
            served[action.server] += 1
    return served


def test_servers_that_refused_a_connection_are_tried_by_requests_that_must_not_run_twice() -> None:
    # Otherwise, in a deployment without a repeatable class, no request would ever try them.
    driver = Driver(ONCE_ALONE, servers=2)
    driver.request(cls=0)
    for _ in range(2):  # at each server
        action = driver.actions[-1]
        assert isinstance(action, Send)
        driver.outcome(action.request, Result.CONNECT_FAILED)
    assert isinstance(driver.actions[-1], Refuse)
    assert servers_that_answered(driver, 20).total() > 180


def test_a_silent_server_is_tried_again_by_requests_that_must_not_run_twice_but_later() -> None:
    driver = Driver(ONCE_ALONE, servers=2)
    assert len(servers_that_answered(driver, 2)) == 2  # both are in use
    driver.request(cls=0, customer=driver.next_id)
    silent = driver.actions[-1]
    assert isinstance(silent, Send)
    driver.wait(2 * SECOND)
    # A request that may be repeated could try it first.
    assert silent.server not in servers_that_answered(driver, 4)
    assert silent.server in servers_that_answered(driver, 10)
