"""Tests of when watches are opened and closed, in virtual time, for fleets of 4, 40, 230 and 1024."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxreel.backoff import FIRST_WAIT_PER_INSTANCE, OVERLOADED_MAX_WAIT
from lynxreel.sources.freshness import (
    AGENT_RETRY_INTERVAL,
    SILENCE_TIMEOUT,
    SERVICE_ANSWER_TIMEOUT,
    Close,
    End,
    Freshness,
    Open,
    LogLine,
    WatchPolicy,
)

HEARTBEAT = 2.0  # seconds between heartbeats
ANNOUNCED_AFTER = 6.0  # seconds after which what a silent watch has missed counts as announced
GRACE = 0.5  # seconds after that in which requests to a leaving box must end


@dataclass
class Agent:
    """A simulated agent: answers at once while it is up. Faults are (start, end) or times, in seconds."""

    down: list[tuple[float, float]] = field(default_factory=list)
    silenced: list[tuple[float, float]] = field(default_factory=list)  # watches open at the start fall silent
    resets: list[float] = field(default_factory=list)
    unreachable: list[tuple[float, float]] = field(default_factory=list)  # connections are refused
    rejecting: list[tuple[float, float]] = field(default_factory=list)  # requests are rejected


def _in_any(intervals: list[tuple[float, float]], now: float) -> bool:
    return any(start <= now < end for start, end in intervals)


@dataclass
class Simulation:
    """Simulates one instance and one agent, in steps of 10 ms."""

    agent: Agent
    core: Freshness
    now: float = 0.0
    opened: dict[int, float] = field(default_factory=dict)  # open watches, and since when
    silent: set[int] = field(default_factory=set)  # open, but silent from now on
    last_heartbeats: dict[int, float] = field(default_factory=dict)
    requests: list[float] = field(default_factory=list)
    up_to_date_at: float = 0.0  # when the instance was last up to date
    max_age: float = 0.0
    logged: list[str] = field(default_factory=list)
    max_open: int = 0

    def perform(self, actions: list[Open | Close | LogLine]) -> None:
        for action in actions:
            if isinstance(action, Open):
                assert action.watch not in self.opened
                self.opened[action.watch] = self.now
                self.requests.append(self.now)
            elif isinstance(action, Close):
                self.opened.pop(action.watch)
                self.silent.discard(action.watch)
            else:
                self.logged.append(action.text)
        self.max_open = max(self.max_open, len(self.opened))

    def step(self) -> None:
        self.now = round(self.now + 0.01, 6)
        if any(abs(self.now - at) < 0.005 for at in self.agent.resets):
            for watch in list(self.opened):
                self.end(watch, End.LOST)
        if any(abs(self.now - at) < 0.005 for at, _ in self.agent.silenced):
            self.silent |= set(self.opened)
        if any(abs(self.now - at) < 0.005 for _, at in self.agent.down):
            # Requests made while it was down are never answered.
            self.silent |= self.opened.keys() - self.last_heartbeats.keys()
        for watch, since in list(self.opened.items()):
            if watch not in self.opened or watch in self.silent or _in_any(self.agent.down, self.now):
                continue
            if watch not in self.last_heartbeats and _in_any(self.agent.unreachable, self.now):
                self.end(watch, End.UNREACHABLE)
            elif watch not in self.last_heartbeats and _in_any(self.agent.rejecting, self.now):
                self.end(watch, End.REJECTED)
            elif watch not in self.last_heartbeats or self.now >= self.last_heartbeats[watch] + HEARTBEAT:
                self.last_heartbeats[watch] = self.now
                self.up_to_date_at = self.now
                self.perform(self.core.line_received(watch, self.now))
            elif watch == self.core.current:
                self.up_to_date_at = self.now  # a change would arrive at once
            assert since <= self.now
        due = self.core.due()
        while due is not None and due <= self.now:
            self.perform(self.core.tick(self.now))
            after = self.core.due()
            assert after is None or after > due or after > self.now
            due = after
        if not _in_any(self.agent.down, self.now):
            self.max_age = max(self.max_age, self.now - self.up_to_date_at)

    def end(self, watch: int, how: End) -> None:
        self.opened.pop(watch)
        self.silent.discard(watch)
        self.perform(self.core.watch_ended(watch, how, self.now))

    def run_until(self, seconds: float) -> "Simulation":
        while self.now < seconds:
            self.step()
        return self


def simulation(agent: Agent, fleet: int = 230, seed: int = 1) -> Simulation:
    return Simulation(
        agent, Freshness(WatchPolicy(agent=True, fleet_size=fleet, ask_within=10.0), random.Random(seed))
    )


@pytest.mark.parametrize("fleet", [4, 40, 230])
class TestAgent:
    """Faults of an agent, and how old the list may get in each."""

    def test_without_faults_one_watch_is_enough(self, fleet: int) -> None:
        simulated = simulation(Agent(), fleet).run_until(30)
        assert len(simulated.requests) == 1 and not simulated.logged

    def test_silent_once_and_twice(self, fleet: int) -> None:
        simulated = simulation(Agent(silenced=[(5.0, 0), (8.0, 0)]), fleet).run_until(20)
        assert simulated.max_age < ANNOUNCED_AFTER - 2.0
        assert len(simulated.requests) == 3

    def test_reset(self, fleet: int) -> None:
        simulated = simulation(Agent(resets=[5.0, 5.2, 9.0]), fleet).run_until(20)
        assert simulated.max_age < GRACE / 2

    def test_down_for_8_s_and_back(self, fleet: int) -> None:
        for seed in range(20):
            at = 5.0 + seed / 10
            simulated = simulation(Agent(down=[(at, at + 8.0)]), fleet, seed)
            simulated.run_until(at + 7.9)
            assert simulated.now - simulated.up_to_date_at > 7.8
            simulated.run_until(at + 8.0 + GRACE / 2 + 0.1)
            assert simulated.now - simulated.up_to_date_at < 0.1
            assert len(simulated.requests) < 8 / AGENT_RETRY_INTERVAL * 1.5 and simulated.max_open <= 33

    def test_refused_or_rejected_for_long(self, fleet: int) -> None:
        for agent in (
            Agent(resets=[5.0], unreachable=[(5.0, 30.0)]),
            Agent(resets=[5.0], rejecting=[(5.0, 30.0)]),
        ):
            simulated = simulation(agent, fleet).run_until(30.4)
            assert simulated.now - simulated.up_to_date_at < GRACE / 2
            assert len(simulated.requests) < 25 / AGENT_RETRY_INTERVAL * 2.5
            assert len(simulated.logged) == 2  # that the watch was lost, and that it is open again

    def test_a_change_of_address_while_the_old_one_is_silent(self, fleet: int) -> None:
        simulated = simulation(Agent(down=[(4.0, 9.0)]), fleet).run_until(6.0)
        simulated.agent.down = []
        simulated.core.address_changed(simulated.now)
        simulated.run_until(6.2)
        assert simulated.now - simulated.up_to_date_at < 0.2


INTERVALS = st.tuples(st.floats(3.0, 30.0), st.floats(0.1, 9.0)).map(lambda s: (s[0], s[0] + s[1]))


@settings(max_examples=60, deadline=None)
@given(
    down=st.lists(INTERVALS, max_size=2),
    unreachable=st.lists(INTERVALS, max_size=2),
    rejecting=st.lists(INTERVALS, max_size=2),
    silenced=st.lists(st.floats(1.0, 30.0), max_size=3),
    resets=st.lists(st.floats(1.0, 30.0), max_size=4),
    seed=st.integers(0, 1000),
)
def test_in_any_sequence_the_list_is_never_older_than_what_counts_as_announced(
    down: list[tuple[float, float]],
    unreachable: list[tuple[float, float]],
    rejecting: list[tuple[float, float]],
    silenced: list[float],
    resets: list[float],
    seed: int,
) -> None:
    # While requests fail nothing can arrive. The time that counts begins when the agent is back.
    rounded = [round(at, 2) for at in silenced]
    agent = Agent([(round(a, 2), round(b, 2)) for a, b in down], [(at, 0) for at in rounded],
                  [round(at, 2) for at in resets], unreachable, rejecting)  # fmt: skip
    simulated, since = simulation(agent, 230, seed), 0.0
    while simulated.now < 45.0:
        simulated.step()
        failing = (
            _in_any(agent.down, simulated.now)
            or _in_any(unreachable, simulated.now)
            or _in_any(rejecting, simulated.now)
        )
        if failing or any(abs(simulated.now - at) < 0.006 for at in resets):
            since = simulated.now  # the agent's state counts from here on
        silenced_at = max((at for at in rounded if at <= simulated.now), default=-ANNOUNCED_AFTER)
        late = simulated.now - max(simulated.up_to_date_at, since)
        assert late < 0.45 or simulated.now < silenced_at + ANNOUNCED_AFTER
    assert len(simulated.requests) < 45 / AGENT_RETRY_INTERVAL * 2.5


@pytest.mark.parametrize("fleet", [4, 40, 230])
def test_a_service_that_rejects_requests_gets_no_more_of_them_from_a_larger_fleet(fleet: int) -> None:
    requests = []
    for number in range(fleet):
        core = Freshness(WatchPolicy(agent=False, fleet_size=fleet, ask_within=0.0), random.Random(number))
        now = 0.0
        while now < 60.0:
            due = core.due()
            assert due is not None
            now = max(now, due)
            for action in core.tick(now):
                if isinstance(action, Open):
                    requests.append(now)
                    core.watch_ended(action.watch, End.REJECTED, now)
    later = [at for at in requests if 30.0 <= at < 60.0]
    assert len(later) < 30 * max(5.0, fleet / OVERLOADED_MAX_WAIT) * 1.5


def first_line_after(core: Freshness, start: float, answer_delay: float) -> float:
    """Return when a watch opened from `start` on receives a line; the service answers after `answer_delay` s.

    Earlier requests are never answered, and open watches are silent.
    """
    now = start
    requested: dict[int, float] = {}
    while True:
        answered = [watch for watch, at in requested.items() if now >= at + answer_delay]
        if answered:
            core.line_received(answered[0], now)
            return now
        for action in core.tick(now):
            if isinstance(action, Open):
                requested[action.watch] = now
            elif isinstance(action, Close):
                requested.pop(action.watch, None)
        due = core.due()
        assert due is not None
        now = min([max(now, due), *(at + answer_delay for at in requested.values())])


@pytest.mark.parametrize("fleet", [4, 40, 230, 1_024])
@pytest.mark.parametrize("answer_delay", [0.01, 2.0])
class TestService:
    """How old the list may get with a service that the whole fleet calls, and that may answer slowly."""

    def test_a_watch_that_falls_silent(self, fleet: int, answer_delay: float) -> None:
        for seed in range(50):
            core = Freshness(WatchPolicy(agent=False, fleet_size=fleet, ask_within=10.0), random.Random(seed))
            core.line_received(opened(core, 0.0), 0.5)
            assert first_line_after(core, 0.5, answer_delay) - 0.5 < ANNOUNCED_AFTER

    def test_it_is_unreachable_for_long_and_back(self, fleet: int, answer_delay: float) -> None:
        for seed in range(50):
            core = Freshness(WatchPolicy(agent=False, fleet_size=fleet, ask_within=10.0), random.Random(seed))
            now = 0.0
            while now < 60.0:
                due = core.due()
                assert due is not None
                now = max(now, due)
                for action in core.tick(now):
                    if isinstance(action, Open):
                        core.watch_ended(action.watch, End.UNREACHABLE, now)
            assert first_line_after(core, now, answer_delay) - now < ANNOUNCED_AFTER

    def test_a_request_is_never_answered(self, fleet: int, answer_delay: float) -> None:
        for seed in range(50):
            core = Freshness(WatchPolicy(agent=False, fleet_size=fleet, ask_within=10.0), random.Random(seed))
            opened(core, 0.0)
            assert first_line_after(core, 0.01, answer_delay) - 0.01 < ANNOUNCED_AFTER + GRACE + answer_delay


def test_a_service_gets_one_request_at_a_time_and_the_silent_watch_stays_open() -> None:
    core = Freshness(WatchPolicy(agent=False, fleet_size=230, ask_within=10.0), random.Random(3))
    (first,) = core.tick(0.0)
    assert isinstance(first, Open)
    core.line_received(first.watch, 0.1)
    assert core.due() == pytest.approx(0.1 + SILENCE_TIMEOUT)
    logged = core.tick(0.1 + SILENCE_TIMEOUT)
    assert all(isinstance(action, LogLine) for action in logged)
    due = core.due()
    assert due is not None and due + SERVICE_ANSWER_TIMEOUT < ANNOUNCED_AFTER
    (second,) = core.tick(due)
    assert isinstance(second, Open)
    assert core.due() == due + SERVICE_ANSWER_TIMEOUT  # no concurrent request
    assert core.line_received(first.watch, due + 1.0) == []  # the old one is still the current one
    assert Close(first.watch) in core.line_received(second.watch, due + 2.0)


def test_a_list_that_arrives_in_pieces_does_not_time_out() -> None:
    core = Freshness(WatchPolicy(agent=True), random.Random(3))
    (first,) = core.tick(0.0)
    assert isinstance(first, Open)
    for step in range(1, 40):
        core.bytes_received(first.watch, step / 10)
        assert core.tick(step / 10) == []
    core.line_received(first.watch, 4.0)
    assert core.current == first.watch


def opened(core: Freshness, now: float) -> int:
    (watch,) = [action.watch for action in core.tick(now) if isinstance(action, Open)]
    return watch


def test_a_new_address_is_called_at_once() -> None:
    core = Freshness(WatchPolicy(agent=False, fleet_size=40), random.Random(3))
    core.line_received(opened(core, 0.0), 0.1)
    core.address_changed(1.0)
    assert core.current == 1  # it stays until the new one receives a line
    assert core.due() == 1.0
    assert Close(1) in core.line_received(opened(core, 1.0), 1.1)


def test_delays_start_again_at_a_new_address() -> None:
    core, now = Freshness(WatchPolicy(agent=False, fleet_size=40), random.Random(3)), 0.0
    for failures in range(7):
        core.watch_ended(opened(core, now), End.REJECTED, now)
        due = core.due()
        assert due is not None
        assert failures < 6 or due - now <= 1.5 * FIRST_WAIT_PER_INSTANCE * 40
        now = due
        if failures == 5:
            core.address_changed(now)


def test_a_former_address_tells_until_the_present_one_answers() -> None:
    core = Freshness(WatchPolicy(agent=False, fleet_size=40), random.Random(3))
    first = opened(core, 0.0)
    core.address_changed(1.0)
    second = opened(core, 1.0)
    core.address_changed(2.0)
    third = opened(core, 2.0)
    assert core.line_received(second, 2.5) == [Close(first)]
    assert core.current == second
    assert core.watch_ended(first, End.LOST, 2.6) == []
    assert Close(second) in core.line_received(third, 3.0)
    assert core.current == third


def test_a_present_address_that_refuses_is_called_again_though_a_former_one_answers() -> None:
    core = Freshness(WatchPolicy(agent=False, fleet_size=4), random.Random(3))
    first = opened(core, 0.0)
    core.address_changed(1.0)
    core.watch_ended(opened(core, 1.0), End.UNREACHABLE, 1.0)
    core.line_received(first, 1.1)
    due = core.due()
    assert due is not None and due < 1.5
    assert core.line_received(opened(core, due), due + 0.1) == [
        LogLine("the watch on discovery is open again"),
        Close(first),
    ]


def test_a_list_that_arrives_from_a_former_address_does_not_delay_the_request_to_the_present_one() -> None:
    core = Freshness(WatchPolicy(agent=True), random.Random(3))
    first = opened(core, 0.0)
    core.bytes_received(first, 0.1)
    core.address_changed(0.2)
    second = opened(core, 0.2)
    assert core.line_received(first, 0.3) == []
    assert core.line_received(second, 0.4) == [Close(first)]


def test_an_agent_is_asked_again_if_its_list_stops_arriving_and_the_request_goes_on_waiting() -> None:
    core = Freshness(WatchPolicy(agent=True), random.Random(3))
    first = opened(core, 0.0)
    core.bytes_received(first, 0.1)
    opened_at = []
    while (due := core.due()) is not None and due < 4.0:
        actions = core.tick(due)
        assert not any(isinstance(action, Close) for action in actions)
        opened_at += [due for action in actions if isinstance(action, Open)]
    assert 1.1 < opened_at[0] < 1.5 and len(opened_at) > 8
    assert len(core.line_received(first, 4.0)) == 2 + len(opened_at)
    assert core.current == first
