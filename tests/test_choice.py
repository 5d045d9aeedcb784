"""Which server an attempt goes to, and who is refused first: by what reports, zones and worth tell."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

import pytest

from mothgap.interface import Cause, Effect, ListKind, Refuse, RequestClass, Result, Send, ZoneParts
from mothgap.rules import KEPT_FOR
from mothgap.settings import read_settings
from tests.helpers import KEYED, MS, SECOND, SETTINGS, START, Driver, line
from tests.test_drill import SETTINGS_OBJECT

MANY = replace(SETTINGS, counter=None, fleet_size=1)


def shown(driver: Driver, reports: Mapping[str, tuple[float, ...]], rounds: int = 60) -> Counter[str]:
    """Where requests go, one at a time, at servers that answer in 50 ms with these reports."""
    picked: Counter[str] = Counter()
    for customer in range(rounds):
        send = driver.admitted(customer=customer)
        picked[send.server] += customer >= 2 * len(driver.lines)  # each was met by then
        driver.wait(50 * MS)
        driver.outcome(send.request, load=reports[send.server])
    return +picked


def test_a_server_that_is_sent_much_by_others_is_left_to_them() -> None:
    # 80 requests a second that stay 50 ms each are 4 in work; the other one has a tenth of one.
    driver = Driver(replace(MANY, report_fields=("qps",)), servers=2)
    busy, calm = sorted(driver.lines)
    picked = shown(driver, {busy: (80.0,), calm: (2.0,)})
    assert picked[busy] < picked[calm] / 4


def test_a_report_that_tells_nothing_of_load_is_not_taken_for_an_idle_server() -> None:
    driver = Driver(replace(MANY, report_fields=("uptime",)), servers=2)
    shown(driver, dict.fromkeys(driver.lines, (7.0,)))
    assert all(server.load_at == START for server in driver.gateway._servers.values())


def test_a_server_of_the_own_zone_is_taken_while_it_is_not_busier() -> None:
    driver = Driver(replace(MANY, report_fields=("inflight",), zone=1), servers=0)
    driver.members(line(1, zone=0), line(2, zone=1))
    reports = {"10.0.0.1:80": (1.0,), "10.0.0.2:80": (1.0,)}
    picked = shown(driver, reports)
    assert picked["10.0.0.2:80"] > 3 * picked["10.0.0.1:80"]
    reports["10.0.0.2:80"] = (4.0,)
    assert shown(driver, reports)["10.0.0.1:80"] > 20


@pytest.mark.parametrize(("cls", "refused"), [(0, True), (KEYED, False)])
def test_what_earns_least_for_its_work_is_refused_first(cls: int, refused: bool) -> None:
    # Both classes take as long, and the keyed one earns twice as much. Of 16 attempts 14 are out.
    driver = Driver(MANY, servers=4)
    for customer in range(40):
        send = driver.admitted(customer=customer, cls=KEYED if customer % 2 else 0)
        driver.wait(50 * MS)
        driver.outcome(send.request)
    for server in driver.gateway._servers.values():
        server.limit.most = 4.0
    for customer in range(14):
        driver.admitted(customer=100 + customer, cls=KEYED)
    actions = driver.request(customer=200, cls=cls)
    assert ([a.cause for a in actions if isinstance(a, Refuse)] == [Cause.ROOM]) is refused


PRICED = replace(SETTINGS, handshake_price=0.08)


@pytest.mark.parametrize(("price", "used"), [(0.08, (1, 6)), (0.0, (12, 40))])
def test_a_server_with_an_idle_connection_goes_first_where_new_ones_have_a_price(
    price: float, used: tuple[int, int]
) -> None:
    # Guards servers that are short of connections against forty gateways that each open one to all of them.
    driver = Driver(replace(SETTINGS, handshake_price=price), servers=40)
    for _ in range(60):
        send = driver.admitted(customer=driver.next_id)
        driver.now += 100 * MS
        driver.outcome(send.request)
    servers = {server for life in driver.lives.values() for server, *_ in life.sent.values()}
    assert used[0] <= len(servers) <= used[1]


def test_one_that_carries_an_attempt_or_has_idled_for_long_counts_as_a_new_one() -> None:
    driver = Driver(PRICED, servers=2)
    first = driver.admitted()
    driver.now += 100 * MS
    driver.outcome(first.request)
    again = driver.admitted(customer=78)
    assert again.server == first.server
    other = [driver.admitted(customer=80 + number).server for number in range(2)]
    assert other != [first.server] * 2  # its connection is taken


def test_a_connection_that_has_idled_for_long_is_not_counted_on() -> None:
    driver = Driver(PRICED, servers=2)
    used = []
    for number in range(30):
        send = driver.admitted(customer=100 + number)
        used.append(send.server)
        driver.now += 100 * MS
        driver.outcome(send.request)
        driver.now += KEPT_FOR + 1
    assert len(set(used[:12])) == 2


def test_servers_that_have_just_come_get_what_they_can_take_though_nobody_is_connected_to_them() -> None:
    # Guards the servers that are left when many are replaced: all would go on to them, who have connections.
    driver = Driver(PRICED, servers=2)

    def play(seconds: int) -> set[str]:
        before = driver.next_id
        for _ in range(10 * seconds):
            send = driver.admitted(customer=driver.next_id)
            driver.wait(100 * MS)
            driver.outcome(send.request)
        return {s for n in range(before, driver.next_id) for s, *_ in driver.lives[n].sent.values()}

    assert play(8) <= {line(1).server, line(2).server}
    driver.members(line(3, started_at=driver.now), line(4, started_at=driver.now))
    assert play(4) >= {line(3).server, line(4).server}


def test_a_connection_that_broke_is_no_idle_one() -> None:
    driver = Driver(PRICED, servers=2)
    first = driver.admitted()
    driver.now += 100 * MS
    driver.outcome(first.request)
    server = driver.gateway._servers[first.server]
    assert server.idle == 1
    again = driver.admitted(customer=78)
    assert server.idle == 0
    driver.outcome(again.request, Result.RESET)
    assert server.idle == 0


def test_the_price_of_a_handshake_is_read_and_none_where_it_is_not_told() -> None:
    assert read_settings({**SETTINGS_OBJECT, "prices": {"handshake": 0.07, "odd": 1}}).handshake_price == 0.07
    assert read_settings({k: v for k, v in SETTINGS_OBJECT.items() if k != "prices"}).handshake_price == 0.0


def used(driver: Driver, count: int = 300) -> set[str]:
    """The servers that so many requests of customers of their own go to."""
    found = set()
    for number in range(count):
        send = driver.admitted(customer=driver.now + number)
        found.add(send.server)
        driver.outcome(send.request)
        driver.now += 5 * MS
    return found


def parted(index: int, *parts: tuple[int, float], seed: int = 1) -> Driver:
    """A gateway of ten before ten servers of its own zone and ten of zone 1, which it uses in part."""
    driver = Driver(replace(SETTINGS, index=index, fleet_size=4), servers=0, seed=seed)
    lines = [replace(line(n + 1), zone=n % 2) for n in range(20)]
    driver.members(*lines, kind=ListKind.CACHED)
    driver.feed(ZoneParts(parts))
    return driver


def test_of_a_zone_in_part_use_a_gateway_keeps_to_some_servers_and_to_the_same_as_it_grows() -> None:
    zone = {line(n + 1).server for n in range(20) if n % 2}
    before = set[str]()
    for part in (0.0, 0.25, 0.5, 1.0):
        driver = parted(3, (1, part))
        now = used(driver, 600) & zone
        assert before <= now and len(used(driver) - zone) == 10
        before = now
    assert before == zone
    driver = parted(3, (1, 0.0))
    driver.feed(ZoneParts(()))
    assert used(driver, 600) & zone == zone  # and all of them again


def test_over_many_gateways_each_server_of_a_zone_in_part_use_gets_that_part_of_them() -> None:
    counts = Counter[str]()
    for index in range(200):
        counts.update(s.line.server for s in parted(index, (1, 0.3)).gateway._ready if s.line.zone == 1)
    assert len(counts) == 10 and all(35 <= count <= 85 for count in counts.values()), counts


def test_what_was_held_against_servers_of_a_zone_is_forgotten_when_it_is_used_again() -> None:
    driver = parted(0, (1, 1.0))
    for server in driver.gateway._servers.values():
        server.errors, server.aside = 1.0, True
    driver.feed(ZoneParts(()))
    held = {server.line.zone: server.aside for server in driver.gateway._servers.values()}
    assert held == {0: True, 1: False}


ONCE_ALONE = replace(SETTINGS, counter=None, classes=(
    RequestClass(Effect.ONCE, aim=1 * SECOND, deadline=3 * SECOND, worth=1.0),
))  # fmt: skip


def sent(driver: Driver, seconds: int) -> Counter[str]:
    """Servers that answered, of ten requests a second."""
    served: Counter[str] = Counter()
    for _ in range(10 * seconds):
        driver.now += 100 * MS
        driver.request(cls=0, customer=driver.next_id)
        if isinstance(action := driver.actions[-1], Send):
            driver.outcome(action.request)
            served[action.server] += 1
    return served


def test_servers_that_refused_a_connection_are_tried_by_requests_that_must_not_run_twice() -> None:
    # Guards a deployment without a class that may be repeated: nobody else would ever try them.
    driver = Driver(ONCE_ALONE, servers=2)
    driver.request(cls=0)
    for _ in range(2):  # at each server
        action = driver.actions[-1]
        assert isinstance(action, Send)
        driver.outcome(action.request, Result.CONNECT_FAILED)
    assert isinstance(driver.actions[-1], Refuse)
    assert sent(driver, 20).total() > 180


def test_a_silent_server_is_tried_again_by_requests_that_must_not_run_twice_but_later() -> None:
    driver = Driver(ONCE_ALONE, servers=2)
    assert len(sent(driver, 2)) == 2  # both are in use
    driver.request(cls=0, customer=driver.next_id)
    silent = driver.actions[-1]
    assert isinstance(silent, Send)
    driver.wait(2 * SECOND)
    assert silent.server not in sent(driver, 4)  # a request that may be repeated could try it first
    assert silent.server in sent(driver, 10)
