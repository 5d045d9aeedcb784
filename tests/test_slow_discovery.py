"""Tests of a discovery service that answers slowly, answers only some, or is crowded, in virtual time."""

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxreel.sources.freshness import SILENCE_TIMEOUT, RECONNECT_SPREAD, WatchPolicy
from tests.slow_discovery import AnswerTime, SlowDiscovery, always, drawn, every_second

ANNOUNCED_AFTER = 6.0  # seconds after which a change counts as announced, whether or not it arrived
GRACE = 0.55  # seconds after that in which the last request may reach a leaving box
CHANGE_AT = 3.0  # seconds from the start
REQUEST_INTERVAL = 0.3  # seconds between requests to an agent that has not answered, at most
LONGEST_ANSWER = 29.0  # seconds
FLEETS = [4, 40, 230, 1_024]
SERVICE = [0.01, 2.0, 3.0, 4.5, 6.0, LONGEST_ANSWER]  # seconds until a service's answer


def agent(answer_time: AnswerTime, in_turn: bool = False, seed: int = 1) -> SlowDiscovery:
    policy = WatchPolicy(agent=True, fleet_size=230, ask_within=10.0)
    return SlowDiscovery(policy, answer_time, in_turn=in_turn, seed=seed)


def service(answer_time: AnswerTime, instances: int, in_turn: bool = False) -> SlowDiscovery:
    policy = WatchPolicy(agent=False, fleet_size=instances, ask_within=10.0)
    return SlowDiscovery(policy, answer_time, instances, in_turn)


def heard_after_start(discovery: SlowDiscovery) -> float:
    """Return the seconds from the start after which a change at CHANGE_AT is known; 1,000 if it never is."""
    discovery.at(CHANGE_AT, discovery.change)
    discovery.run_until(90.0)
    (instance,) = discovery.instances
    return 1_000.0 if instance.heard_at is None else instance.heard_at


# Guards against requests to an agent that are all given up before their answers come (review/8).
@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("seconds", [0.0, 0.9, 1.1, 1.5, 3.0, 4.5, 6.0, 10.0, LONGEST_ANSWER])
def test_an_agent_that_answers_each_request_late_is_heard_with_its_first_answer(
    seconds: float, seed: int
) -> None:
    discovery = agent(always(seconds), seed=seed)
    assert heard_after_start(discovery) == max(CHANGE_AT, seconds)
    assert discovery.instances[0].max_open <= 32
    assert len(discovery.instances[0].requests) <= 1 + seconds / 0.2


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("answer_time", "seconds"),
    [
        (every_second(1.5), 1.5),
        (every_second(3.0), 3.0),
        (every_second(4.5), 4.5),
        (every_second(6.0), 6.0),
        (drawn(1.2, 4.0, seed=7), 4.0),
        (drawn(0.0, 6.0, seed=8), 6.0),
    ],
)
def test_an_agent_of_which_some_answers_come_late_is_heard(
    answer_time: AnswerTime, seconds: float, seed: int
) -> None:
    discovery = agent(answer_time, seed=seed)
    assert heard_after_start(discovery) <= max(CHANGE_AT, seconds + REQUEST_INTERVAL)


@pytest.mark.parametrize("lost", [0.0, 0.5, 0.8])
def test_an_agent_that_answers_a_part_of_the_requests_is_heard_in_the_end(lost: float) -> None:
    for seed in range(200):
        discovery = agent(drawn(0.0, 6.0, seed, lost), seed=seed)
        heard = heard_after_start(discovery)
        assert heard <= (CHANGE_AT + ANNOUNCED_AFTER + GRACE if lost <= 0.5 else 60.0), seed


@pytest.mark.parametrize("seconds", [0.5, 1.5, 3.0, 5.0])
def test_a_crowded_agent_is_heard_with_its_first_answer_and_works_off_what_was_given_up(
    seconds: float,
) -> None:
    discovery = agent(always(seconds), in_turn=True)
    assert heard_after_start(discovery) == max(CHANGE_AT, seconds)
    discovery.run_until(200.0)
    assert discovery.max_standing <= 1 + seconds / 0.2
    assert len(discovery.instances[0].requests) == discovery.work_for_nobody + 1


@pytest.mark.parametrize("seconds", [0.0, 1.0, 2.0, 3.0, 3.5])
@pytest.mark.parametrize("offset", [0.0, 0.7, 1.9])
def test_a_slow_agents_watch_that_falls_silent_is_replaced_within_what_counts_as_announced(
    seconds: float, offset: float
) -> None:
    discovery = agent(always(seconds))
    silent_at = 10.0 + offset
    discovery.at(silent_at, discovery.hush)
    discovery.at(silent_at, discovery.change)
    discovery.run_until(60.0)
    (instance,) = discovery.instances
    assert instance.heard_at is not None and instance.heard_at - silent_at <= ANNOUNCED_AFTER + GRACE
    assert instance.heard_at - silent_at <= SILENCE_TIMEOUT + seconds + 1e-6


@pytest.mark.parametrize("event", [SlowDiscovery.cut, SlowDiscovery.move])
@pytest.mark.parametrize("seconds", [0.0, 1.5, 3.0, 5.5])
def test_a_slow_agent_is_heard_after_a_reset_and_at_another_address(
    event: Callable[[SlowDiscovery], None], seconds: float
) -> None:
    discovery = agent(always(seconds))
    for at in (10.0, 20.0):  # the same holds when it comes again
        discovery.at(at, lambda: event(discovery))
    discovery.at(20.0, discovery.change)
    discovery.run_until(60.0)
    (instance,) = discovery.instances
    assert instance.heard_at is not None and instance.heard_at - 20.0 <= seconds + REQUEST_INTERVAL


# Guards against new addresses in quick succession that each end the requests at the one before.
@pytest.mark.parametrize("seconds", [0.0, 1.5, 3.0])
def test_addresses_that_change_faster_than_an_agent_answers_do_not_keep_it_from_being_heard(
    seconds: float,
) -> None:
    discovery = agent(always(seconds))
    discovery.at(20.0, discovery.cut)
    discovery.at(20.0, discovery.change)
    for number in range(20):
        discovery.at(20.0 + number, discovery.move)
    discovery.run_until(60.0)
    (instance,) = discovery.instances
    assert instance.heard_at is not None and instance.heard_at - 20.0 <= seconds + REQUEST_INTERVAL
    assert instance.max_open <= 33 and len(instance.open) == 1


@pytest.mark.parametrize("span", [0.5, 8.0, 40.0])
def test_what_an_agent_has_at_its_return_is_heard_within_the_grace(span: float) -> None:
    for seed in range(50):
        discovery = agent(always(0.0), seed=seed)
        discovery.at(3.0, discovery.cut)
        discovery.at(3.0, discovery.leave)
        discovery.at(3.0 + span, discovery.come_back)
        discovery.at(3.0 + span, discovery.change)
        discovery.run_until(3.0 + span + GRACE)
        (instance,) = discovery.instances
        assert instance.heard_at is not None and instance.heard_at - 3.0 - span <= REQUEST_INTERVAL
        assert instance.max_open <= 32


@settings(max_examples=150, deadline=None)
@given(
    most=st.floats(0.0, 3.5),
    away=st.lists(st.tuples(st.floats(4.0, 40.0), st.floats(0.1, 12.0)), max_size=2),
    silent=st.lists(st.floats(1.0, 40.0), max_size=3),
    resets=st.lists(st.floats(1.0, 40.0), max_size=4),
    seed=st.integers(0, 10_000),
)
def test_after_any_sequence_of_faults_a_slow_agent_is_heard_in_time(
    most: float, away: list[tuple[float, float]], silent: list[float], resets: list[float], seed: int
) -> None:
    discovery = agent(drawn(0.0, most, seed), seed=seed)
    for at, span in away:
        discovery.at(at, discovery.leave)
        discovery.at(at + span, discovery.come_back)
    for at in silent:
        discovery.at(at, discovery.hush)
    for at in resets:
        discovery.at(at, discovery.cut)
    discovery.at(60.0, discovery.change)
    discovery.run_until(70.0)
    (instance,) = discovery.instances
    assert instance.heard_at is not None and instance.heard_at - 60.0 <= SILENCE_TIMEOUT + most + 0.3
    assert instance.max_open <= 33


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("seconds", SERVICE)
class TestSlowService:
    """A service that the whole fleet calls, and that answers each request late."""

    def test_it_is_heard_with_its_first_answer(self, fleet: int, seconds: float) -> None:
        discovery = service(always(seconds), fleet).run_until(90.0)
        assert all(instance.first_line_at == seconds for instance in discovery.instances)
        assert max(instance.max_open for instance in discovery.instances) <= 4

    def test_a_watch_that_falls_silent_is_replaced(self, fleet: int, seconds: float) -> None:
        discovery = service(always(seconds), fleet)
        discovery.at(40.5, discovery.hush)
        discovery.at(40.5, discovery.change)
        discovery.run_until(120.0)
        latest = max(instance.heard_at or 1_000.0 for instance in discovery.instances) - 40.5
        assert latest <= SILENCE_TIMEOUT + RECONNECT_SPREAD + seconds + 1e-6


@pytest.mark.parametrize("fleet", FLEETS)
def test_a_crowded_service_is_heard_by_all_instances_once_each_has_had_its_turn(fleet: int) -> None:
    all_served = 8.0  # seconds in which the service can answer one request of each instance
    discovery = service(always(all_served / fleet), fleet, in_turn=True).run_until(90.0)
    assert max(instance.first_line_at or 1_000.0 for instance in discovery.instances) <= all_served + 1e-6
    assert max(instance.max_open for instance in discovery.instances) <= 4
    # What it answers for callers that have gone keeps it from nothing but more of the same.
    assert sum(len(instance.requests) for instance in discovery.instances) <= 5 * fleet
