"""A server that has just started, under the load of all gateways of a fleet together; simulated time."""

import math
import random
from collections import deque
from dataclasses import replace

import pytest

from mothgap.interface import Action, ClockShift, Limits, ListKind, Members, Plan, Send, Settings, State
from mothgap.view import zone_loads
from tests.gateways import Gateways
from tests.helpers import SECOND, SETTINGS, Driver, ready_server

CAPACITY = 20.0  # requests of mean work a second that a warm server can take
UTILIZATION = 0.45  # of that, outside bursts
SERVERS = 6
SAFETY = replace(
    SETTINGS.safety, cold_from=0.17, cold_span=12 * SECOND, fall_multiple=2.0, fall_span=2 * SECOND
)


def settings(fleet: int) -> Settings:
    """Settings without quotas, which are not tested here."""
    return replace(
        SETTINGS,
        fleet_size=fleet,
        plans=(Plan(rate=0.0, burst=0.0),),
        counter=None,
        safety=SAFETY,
        limits=Limits(max_attempts=1),
    )


class ColdStart:
    """A fleet under load with one cold server; records the sends to it in each window of the rule."""

    def __init__(self, fleet: int, seed: int) -> None:
        self.gateways = Gateways(settings(fleet), seed, servers=SERVERS)
        self.gateways.on_action = self.sent
        self.rng = random.Random(seed)
        self.started = 0
        self.recent: deque[int] = deque()
        self.max_usage = 0.0  # sends within a window, as a share of what the rule allows

    def sent(self, gateway: int, action: Action) -> None:
        """Check a send to the cold server against the rule."""
        now = self.gateways.now
        if not isinstance(action, Send) or action.server != ready_server(1).server or now < self.started:
            return
        self.recent.append(now)
        while self.recent[0] <= now - SAFETY.fall_span:
            self.recent.popleft()
        age = min(1.0, (now - self.started) / SAFETY.cold_span)
        capacity_share = SAFETY.cold_from + (1.0 - SAFETY.cold_from) * age
        allowed = SAFETY.fall_multiple * capacity_share * CAPACITY * SAFETY.fall_span / SECOND
        self.max_usage = max(self.max_usage, len(self.recent) / (allowed + 2.0 * math.sqrt(allowed) + 2.0))

    def load(self, seconds: float, factor: float = 1.0) -> None:
        """Requests at random times for this many seconds, at `factor` times the usual rate."""
        end = self.gateways.now + int(seconds * SECOND)
        rate = CAPACITY * UTILIZATION * SERVERS * factor
        while (at := self.gateways.now + int(self.rng.expovariate(rate) * SECOND)) < end:
            self.gateways.run(at)
            gateway = self.rng.randrange(len(self.gateways.gateways))
            customer = self.rng.randrange(1_000)
            self.gateways.request(
                gateway, cls=0, plan=0, customer=customer, units=1.0, time_left=2 * SECOND, entry_points=1
            )
        self.gateways.run(end)

    def start(self, max_delay: float = 0.0) -> None:
        """Restart the first server under its id; each gateway learns of it within `max_delay` seconds."""
        self.started = self.gateways.now
        self.recent.clear()
        self.max_usage = 0.0
        member = replace(ready_server(1), state=State.READY, started_at=self.started)
        for number in range(len(self.gateways.gateways)):
            change = Members(ListKind.CHANGES, 2, (member,))
            self.gateways.schedule(
                int(self.rng.uniform(0.0, max_delay) * SECOND), number, change, any_incarnation=True
            )


@pytest.mark.parametrize("fleet", [4, 20, 30, 200])
@pytest.mark.parametrize("quiet", [0.0, 1.0, 4.0, 8.0])
def test_no_burst_overloads_a_server_that_restarted_under_the_same_id(fleet: int, quiet: float) -> None:
    for seed in range(4):
        scenario = ColdStart(fleet, seed)
        scenario.load(12.0)
        scenario.start()
        scenario.load(quiet, factor=0.05)  # almost no requests: gateways don't use what they save up
        scenario.load(3.0, factor=4.0)
        assert scenario.max_usage < 1.0


@pytest.mark.parametrize("fleet", [20, 30])
def test_gateways_that_restart_while_a_server_is_cold_do_not_overload_it(fleet: int) -> None:
    for seed in range(4):
        scenario = ColdStart(fleet, seed)
        scenario.load(12.0)
        scenario.start()
        cold = replace(ready_server(1), started_at=scenario.started)
        scenario.gateways.lines = (cold, *scenario.gateways.lines[1:])
        for number in range(fleet):
            scenario.gateways.restart(number)
        scenario.load(4.0, factor=4.0)
        assert scenario.max_usage < 1.0


def assumed_capacity(driver: Driver) -> float:
    """The assumed capacity of the only server: it is lower while the server counts as cold."""
    driver.members()  # only advances the gateway's clock
    return zone_loads(driver.gateway)[0].max_in_flight


@pytest.mark.parametrize("step", [-3_600, 0, 3_600])
def test_a_restart_reported_by_a_stepped_clock_is_a_cold_start_for_its_whole_duration(step: int) -> None:
    driver = Driver(servers=0)
    driver.members(ready_server(1), kind=ListKind.FULL)
    warm = assumed_capacity(driver)
    driver.now += 100 * SECOND
    driver.members(ready_server(1, started_at=driver.now + step * SECOND))
    assert assumed_capacity(driver) < warm
    driver.now += driver.settings.safety.cold_span - SECOND
    assert assumed_capacity(driver) < warm
    driver.now += 2 * SECOND
    assert assumed_capacity(driver) == warm


def test_a_start_long_ago_that_was_missing_in_a_stale_list_is_no_cold_start() -> None:
    driver = Driver(servers=0)
    driver.members(ready_server(1), kind=ListKind.CACHED)
    warm = assumed_capacity(driver)
    driver.members(ready_server(1, started_at=driver.now - 600 * SECOND))
    assert assumed_capacity(driver) == warm


@pytest.mark.parametrize("listed_first", [True, False])
@pytest.mark.parametrize("offset", [-3_600, 3_600])
def test_a_cold_server_is_recognized_by_the_shared_clock(offset: int, listed_first: bool) -> None:
    """A gateway that started with a stepped clock and learns the shared one must spare cold servers."""
    driver = Driver(servers=0)
    cold_duration = driver.settings.safety.cold_span
    driver.members(ready_server(1), kind=ListKind.FULL)
    warm = assumed_capacity(driver)
    driver = Driver(servers=0)
    member = ready_server(1, started_at=driver.now + offset * SECOND - 2 * SECOND)
    if listed_first:
        driver.members(member, kind=ListKind.FULL)
    driver.feed(ClockShift(offset * SECOND))
    if not listed_first:
        driver.members(member, kind=ListKind.FULL)
    assert assumed_capacity(driver) < warm
    driver.now += cold_duration - 3 * SECOND
    assert assumed_capacity(driver) < warm
    driver.now += 4 * SECOND
    assert assumed_capacity(driver) == warm


def test_a_server_that_started_long_ago_stays_warm_when_the_shared_clock_shifts() -> None:
    driver = Driver(servers=0)
    driver.members(ready_server(1), kind=ListKind.FULL)
    warm = assumed_capacity(driver)
    driver.feed(ClockShift(-3_600 * SECOND))
    assert assumed_capacity(driver) == warm
