"""A server that has just started, under the sum of what all gateways of a fleet send it; virtual time."""

import math
import random
from collections import deque
from dataclasses import replace

import pytest

from mothgap.interface import Action, ClockShift, Limits, ListKind, Members, Plan, Send, Settings, State
from mothgap.view import use
from tests.gateways import Gateways
from tests.helpers import SECOND, SETTINGS, Driver, line

CAPACITY = 20.0  # requests of mean work a second that a warm server bears
USE = 0.45  # of that, outside bursts
SERVERS = 6
SAFETY = replace(
    SETTINGS.safety, cold_from=0.17, cold_span=12 * SECOND, fall_multiple=2.0, fall_span=2 * SECOND
)


def settings(fleet: int) -> Settings:
    """Quotas play no part here."""
    return replace(
        SETTINGS,
        fleet_size=fleet,
        plans=(Plan(rate=0.0, burst=0.0),),
        counter=None,
        safety=SAFETY,
        limits=Limits(max_attempts=1),
    )


class Day:
    """A fleet under load with one cold server; keeps what was sent to that one in each span of the rule."""

    def __init__(self, fleet: int, seed: int) -> None:
        self.gateways = Gateways(settings(fleet), seed, servers=SERVERS)
        self.gateways.on = self.sent
        self.chance = random.Random(seed)
        self.started = 0
        self.recent: deque[int] = deque()
        self.worst = 0.0  # sends within a span, as a share of what the rule allows

    def sent(self, gateway: int, action: Action) -> None:
        """Hold a send to the cold server against the rule."""
        now = self.gateways.now
        if not isinstance(action, Send) or action.server != line(1).server or now < self.started:
            return
        self.recent.append(now)
        while self.recent[0] <= now - SAFETY.fall_span:
            self.recent.popleft()
        age = min(1.0, (now - self.started) / SAFETY.cold_span)
        grown = SAFETY.cold_from + (1.0 - SAFETY.cold_from) * age
        allowed = SAFETY.fall_multiple * grown * CAPACITY * SAFETY.fall_span / SECOND
        self.worst = max(self.worst, len(self.recent) / (allowed + 2.0 * math.sqrt(allowed) + 2.0))

    def load(self, seconds: float, times: float = 1.0) -> None:
        """So many seconds of requests that come by chance, so many times as many as usual."""
        end = self.gateways.now + int(seconds * SECOND)
        rate = CAPACITY * USE * SERVERS * times
        while (at := self.gateways.now + int(self.chance.expovariate(rate) * SECOND)) < end:
            self.gateways.run(at)
            gateway = self.chance.randrange(len(self.gateways.gateways))
            customer = self.chance.randrange(1_000)
            self.gateways.request(
                gateway, cls=0, plan=0, customer=customer, units=1.0, time_left=2 * SECOND, entry_points=1
            )
        self.gateways.run(end)

    def start(self, late: float = 0.0) -> None:
        """The first server starts anew under its id; each gateway hears of it within so many seconds."""
        self.started = self.gateways.now
        self.recent.clear()
        self.worst = 0.0
        member = replace(line(1), state=State.READY, started_at=self.started)
        for number in range(len(self.gateways.gateways)):
            news = Members(ListKind.CHANGES, 2, (member,))
            self.gateways.later(int(self.chance.uniform(0.0, late) * SECOND), number, news, any_life=True)


@pytest.mark.parametrize("fleet", [4, 20, 30, 200])
@pytest.mark.parametrize("quiet", [0.0, 1.0, 4.0, 8.0])
def test_no_burst_pushes_a_server_over_that_came_back_under_its_id(fleet: int, quiet: float) -> None:
    for seed in range(4):
        day = Day(fleet, seed)
        day.load(12.0)
        day.start()
        day.load(quiet, times=0.05)  # next to nothing comes: what gateways save up is not used
        day.load(3.0, times=4.0)
        assert day.worst < 1.0


@pytest.mark.parametrize("fleet", [20, 30])
def test_gateways_that_restart_while_a_server_is_cold_do_not_push_it_over(fleet: int) -> None:
    for seed in range(4):
        day = Day(fleet, seed)
        day.load(12.0)
        day.start()
        cold = replace(line(1), started_at=day.started)
        day.gateways.lines = (cold, *day.gateways.lines[1:])
        for number in range(fleet):
            day.gateways.restart(number)
        day.load(4.0, times=4.0)
        assert day.worst < 1.0


def bears(driver: Driver) -> float:
    """What the only server is taken to bear: less while it counts as cold."""
    driver.members()  # tells the time, and nothing else
    return use(driver.gateway)[0].bears


@pytest.mark.parametrize("step", [-3_600, 0, 3_600])
def test_a_restart_told_by_a_clock_that_was_stepped_is_a_cold_start_for_its_whole_span(step: int) -> None:
    driver = Driver(servers=0)
    driver.members(line(1), kind=ListKind.FULL)
    warm = bears(driver)
    driver.now += 100 * SECOND
    driver.members(line(1, started_at=driver.now + step * SECOND))
    assert bears(driver) < warm
    driver.now += driver.settings.safety.cold_span - SECOND
    assert bears(driver) < warm
    driver.now += 2 * SECOND
    assert bears(driver) == warm


def test_a_start_long_ago_that_a_stale_list_did_not_have_is_no_cold_start() -> None:
    driver = Driver(servers=0)
    driver.members(line(1), kind=ListKind.CACHED)
    warm = bears(driver)
    driver.members(line(1, started_at=driver.now - 600 * SECOND))
    assert bears(driver) == warm


@pytest.mark.parametrize("listed_first", [True, False])
@pytest.mark.parametrize("offset", [-3_600, 3_600])
def test_a_cold_server_is_known_by_the_clock_that_gateways_share(offset: int, listed_first: bool) -> None:
    """Guards cold servers against a gateway that began by a stepped clock, and then learnt the fleet's."""
    driver = Driver(servers=0)
    span = driver.settings.safety.cold_span
    driver.members(line(1), kind=ListKind.FULL)
    warm = bears(driver)
    driver = Driver(servers=0)
    began = line(1, started_at=driver.now + offset * SECOND - 2 * SECOND)
    if listed_first:
        driver.members(began, kind=ListKind.FULL)
    driver.feed(ClockShift(offset * SECOND))
    if not listed_first:
        driver.members(began, kind=ListKind.FULL)
    assert bears(driver) < warm
    driver.now += span - 3 * SECOND
    assert bears(driver) < warm
    driver.now += 4 * SECOND
    assert bears(driver) == warm


def test_a_server_that_has_been_up_for_long_stays_warm_whatever_the_shared_clock_says() -> None:
    driver = Driver(servers=0)
    driver.members(line(1), kind=ListKind.FULL)
    warm = bears(driver)
    driver.feed(ClockShift(-3_600 * SECOND))
    assert bears(driver) == warm
