"""Gateways whose clocks differ or step: a customer has one quota all the same, by the counter's own clock."""

import asyncio
import itertools
import random
import time
from typing import Any

import pytest

from lynxreel.counters.redis import Options
from lynxreel.engine.engine import Clock
from lynxreel.node import Deployment, Node
from lynxreel.standins.base import Clock as ScriptClock
from lynxreel.standins.box import open_boxes
from lynxreel.standins.faults import Faults
from lynxreel.standins.redis import Redis
from lynxreel.standins.registry import Registry, entry
from lynxreel.standins.runs import RunLog
from mothgap.interface import (
    ClockShift,
    Count,
    Counted,
    Counter,
    Effect,
    Limits,
    ListKind,
    Member,
    Members,
    Outcome,
    Plan,
    Request,
    RequestClass,
    Result,
    Safety,
    Send,
    Settings,
    State,
)
from mothgap.names import window
from mothgap.rules import Gateway
from mothgap.settings import Names
from mothgap.shared_clock import ClockQuery, ClockReply, ClockSurvey, decode
from tests.fleet import Caller, run

SECOND = 1_000_000
IDS = itertools.count()
PLAN = Plan(rate=2.0, burst=60.0)
SETTINGS = Settings(
    classes=(RequestClass(Effect.REPEATABLE, aim=2 * SECOND, deadline=4 * SECOND, worth=1.0),),
    plans=(PLAN,),
    fleet_size=2,
    limits=Limits(max_attempts=2),
    safety=Safety(drain_grace=500_000),
    counter=Counter(time_limit=500_000),
)
NAMES = Names({"lookup": 0}, {"basic": 0}, {}, {}, idle_timeout=15 * SECOND)


def decider(seed: int) -> Gateway:
    gateway = Gateway(SETTINGS, seed, 0)
    boxes = tuple(Member(f"box-{number}", State.READY) for number in range(4))
    gateway.handle(0, Members(ListKind.FULL, 1, boxes))
    return gateway


def name_of(gateway: Gateway, now: int, number: int) -> int:
    request = Request(number, 0, 0, 77, 1.0, 4 * SECOND, 2)
    calls = [action for action in gateway.handle(now, request) if isinstance(action, Count)]
    return calls[0].name


@pytest.mark.parametrize("ahead", [-2 * SECOND, -3_000, 3_000, 2 * SECOND])
def test_counts_are_named_by_the_shared_clock_whatever_the_own_one_says(ahead: int) -> None:
    true, fast = decider(1), decider(2)
    fast.handle(0, ClockShift(-ahead))
    for number in range(1, 200):
        now = 1_000 * SECOND + number * 317_000
        assert name_of(true, now, number) == name_of(fast, now + ahead, number)


def test_a_restart_after_a_stepped_wall_clock_gives_no_second_quota() -> None:
    """Guards a quota over the fleet: the platform's counter has no clock, each names windows by its own.

    The one that starts by a stepped clock hears the other's, as both programs have it before they count
    (test_shared_clock.py, test_stepped_restarts.py: over processes). Without a word no module can tell which
    of two clocks is the fleet's: docs/design/fleet-clock.md.
    """
    start, step = 1_000 * SECOND, 3_600 * SECOND + 17 * SECOND
    survey = ClockSurvey(1, 2, random.Random(1))
    for question in survey.queries(start + step):
        asked = decode(question.data)
        assert isinstance(asked, ClockQuery) and question.to == 0
        survey.on_reply(0, ClockReply(asked.query_id, start, 60 * SECOND), start + step)
    gateways, totals = [(decider(1), 0), (decider(2), step + survey.offset(0))], dict[int, float]()
    sent = 0
    for number in range(1, 161):
        gateway, ahead = gateways[number % 2]
        now = start + ahead + number * 5_000
        request = Request(number, 0, 0, 77, 1.0, 4 * SECOND, 2)
        actions = list(gateway.handle(now, request))
        for action in actions:
            if isinstance(action, Count):
                totals[action.name] = totals.get(action.name, 0.0) + action.amount
                actions += gateway.handle(now, Counted(action.name, Result.OK, 500, totals[action.name]))
            elif isinstance(action, Send):
                sent += 1
                actions += gateway.handle(now, Outcome(number, 0, action.server, Result.OK, 900, True))
    assert sent <= PLAN.burst + PLAN.rate + 2  # and what a second refills
    assert sent >= PLAN.burst  # no customer is refused what it has


def test_a_shared_clock_that_steps_back_names_the_window_before_again() -> None:
    gateway, now = decider(1), 1_000 * SECOND
    first = name_of(gateway, now, 1)
    gateway.handle(now, ClockShift(40 * SECOND))
    assert name_of(gateway, now, 2) != first
    gateway.handle(now, ClockShift(0))
    assert name_of(gateway, now, 3) == first


def test_a_step_of_the_machines_clock_moves_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    before = clock.now()
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + 3_600 * 10**9)
    assert clock.now() - before < 5 * SECOND


async def gateway(clock: Clock, number: int, registry: Registry, redis: Redis) -> Node:
    """One that goes by this clock, and has learnt the counter's."""
    at, counter = registry.listener.address, Options((redis.address,))
    deployment = Deployment(SETTINGS, NAMES, (), at, counter, 512, beat=100_000)
    node = Node(deployment, number, None, asyncio.get_running_loop(), clock)
    await node.clients.listen("127.0.0.1", 0)
    await node.start(None)
    return node


async def spend(node: Node, customer: int, tries: int) -> int:
    """Requests of one unit; how many were served."""
    caller, served = Caller(*await asyncio.open_connection("127.0.0.1", node.clients.port)), 0
    for _ in range(tries):
        words = ["CALL.GET", f"{customer:016x}", f"r{next(IDS)}"]
        caller.command(*words, "c=lookup,t=basic,d=3000,units=1,spread=2,first=0")
        served += (await caller.answer()).startswith(b"done")
    caller.writer.close()
    return served


@pytest.mark.parametrize("ahead", [2 * SECOND, -2 * SECOND])
def test_a_new_customer_has_one_burst_where_clocks_stand_on_both_sides_of_an_edge(ahead: int) -> None:
    async def scenario() -> None:
        script = ScriptClock(asyncio.get_running_loop())
        redis, registry = Redis(Faults(1), script), Registry(Faults(1), script)
        await redis.open()
        await registry.listener.open()
        boxes = await open_boxes(4, 1, {}, RunLog(), Faults(1), script)
        registry.put(*[entry(box.name, box.listener.address) for box in boxes])
        own = Clock()
        other = Clock(own.base + ahead * 1_000)
        nodes = [await gateway(clock, n, registry, redis) for n, clock in enumerate((own, other))]
        counter: Any = nodes[1].counter
        while abs(counter._clock_offset + ahead) > 50_000:
            await asyncio.sleep(0.01)
        # The later clock has passed the edge by half a second; the other one will for a second and a half.
        late, length = max(own.now(), other.now()), window(0, PLAN, 0)[1]
        ages = ((number, (late + number * 7919 % length) % length) for number in itertools.count(77))
        customer = next(number for number, age in ages if 400_000 < age < 600_000)
        served = await spend(nodes[0], customer, 80) + await spend(nodes[1], customer, 80)
        assert 0.8 * PLAN.burst <= served <= 1.2 * PLAN.burst, served
        for node in nodes:
            node.close()
        for listener in [redis.listener, registry.listener, *(box.listener for box in boxes)]:
            listener.close()

    run(scenario)
