"""The five safety rules, checked from the actions alone, over random sequences of events and settings."""

from dataclasses import replace

from hypothesis import HealthCheck, given, settings, strategies as st

from mothgap.interface import (
    Effect,
    Group,
    Limits,
    ListKind,
    PeerMessage,
    Plan,
    RequestClass,
    Result,
    Settings,
    State,
)
from mothgap.lending import LoanRequest, encode
from tests.helpers import MS, SECOND, SETTINGS, Driver, ready_server

RESULTS = list(Result)


@st.composite
def deployments(draw: st.DrawFn) -> Settings:
    group = draw(st.sampled_from(list(Group)))
    keyed = RequestClass(
        Effect.KEYED,
        aim=SECOND,
        deadline=3 * SECOND,
        worth=2.0,
        group=group,
        key_memory=draw(st.sampled_from([200 * MS, 2 * SECOND])),
    )
    return replace(
        SETTINGS,
        classes=(SETTINGS.classes[0], keyed, SETTINGS.classes[2]),
        plans=(*SETTINGS.plans, Plan(), Plan(concurrency=3), Plan(rate=1.0, burst=4.0, concurrency=2)),
        counter=draw(st.sampled_from([None, SETTINGS.counter])),
        limits=Limits(
            max_attempts=draw(st.integers(1, 4)),
            second_copies=draw(st.booleans()),
            may_cancel=draw(st.booleans()),
            peers=draw(st.booleans()),
            retry_after=draw(st.booleans()),
        ),
        units_settle=draw(st.booleans()),
        weighted=draw(st.booleans()),
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["request"] * 4
            + ["outcome"] * 3
            + ["counted"] * 3
            + ["wait", "expire", "list", "settings", "peer"]
        ),
        st.integers(0, 1 << 16),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(deployment=deployments(), steps=STEPS, seed=st.integers(0, 9))
def test_no_sequence_of_events_breaks_a_rule(
    deployment: Settings, steps: list[tuple[str, int]], seed: int
) -> None:
    driver = Driver(deployment, servers=0, seed=seed)
    driver.members(*(ready_server(n, cell=n % 2, zone=n % 3) for n in range(1, 6)), kind=ListKind.CACHED)
    for step, number in steps:
        in_flight = [(life.request.id, n) for life in driver.records.values() for n in sorted(life.in_flight)]
        if step == "request":
            driver.request(
                cls=number % 3,
                plan=number // 3 % 5,
                customer=number // 15 % 4,
                units=1.0 + number // 60 % 4,
                entry_points=3,
                time_left=None if number % 7 else number % 50 * MS,
            )
        elif step == "outcome" and in_flight:
            request, attempt = in_flight[number % len(in_flight)]
            driver.outcome(request, RESULTS[number // 64 % len(RESULTS)], attempt)
        elif step == "counted" and driver.calls:
            result = Result.OK if number % 3 else RESULTS[number // 3 % len(RESULTS)]
            driver.counted(float(number % 12), result)
        elif step == "wait":
            answer_due_calls(driver)
            driver.wait(number % 2_000 * MS)
        elif step == "expire" and driver.records:
            driver.expire(list(driver.records)[number % len(driver.records)])
        elif step == "list":
            state = list(State)[number % 3]
            started = driver.now if number % 2 else 0
            n = number // 6 % 5 + 1
            driver.members(replace(ready_server(n, cell=n % 2, zone=n % 3), state=state, started_at=started))
        elif step == "settings":
            driver.change_settings(reloaded(driver.settings, number))
        elif step == "peer":
            ask = LoanRequest(number % 4, number, 1.0, number % 5, 3, 0)
            driver.feed(PeerMessage(1 + number % 2, encode(ask)))
    answer_due_calls(driver)
    driver.wait(10 * SECOND)
    assert all(life.finished for life in driver.records.values())


def reloaded(settings: Settings, number: int) -> Settings:
    """Settings after a reload: one feature is switched on or off, or a plan gains or loses its quota."""
    limits = settings.limits
    match number % 5:
        case 0:
            return replace(settings, counter=None if settings.counter else SETTINGS.counter)
        case 1:
            return replace(settings, limits=replace(limits, may_cancel=not limits.may_cancel))
        case 2:
            return replace(settings, limits=replace(limits, peers=not limits.peers))
        case 3:
            return replace(settings, limits=replace(limits, retry_after=not limits.retry_after))
        case _:
            plan = settings.plans[0]
            first = replace(plan, rate=0.0, burst=0.0) if plan.rate else SETTINGS.plans[0]
            return replace(settings, plans=(first, *settings.plans[1:]))


def answer_due_calls(driver: Driver) -> None:
    """Counter calls without an answer end as timeouts at the counter's time limit."""
    if driver.calls:
        limit = driver.settings.counter.time_limit if driver.settings.counter is not None else 8 * MS
        driver.wait(min(limit, 8 * MS))
        while driver.calls:
            driver.counted(result=Result.TIMEOUT)


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[object]:
        driver = Driver(seed=5)
        for n in range(50):
            send = driver.admitted(customer=n)
            driver.outcome(send.request, Result.ERROR if n % 5 == 0 else Result.OK)
        return list(driver.actions)

    assert play() == play()
