"""The counter's health by hand: gateways round counters that lose, lie and lag, on a clock of the test's."""

from dataclasses import dataclass, field

import pytest

from lynxreel.metering.trust import MARKERS, Call, Forward, State, StateChange, Trust
from mothgap.interface import Result

MS, SECOND = 1_000, 1_000_000
BEAT = 500 * MS
NAME, OTHER = 0x51, 0x52


@dataclass
class Counter:
    """Totals, and every add in its order."""

    totals: dict[int, float] = field(default_factory=dict)
    adds: list[tuple[int, int, float]] = field(default_factory=list)

    def add(self, now: int, name: int, amount: float) -> float:
        self.totals[name] = self.totals.get(name, 0.0) + amount
        self.adds.append((now, name, amount))
        return self.totals[name]

    def lose(self, since: int) -> None:
        for _, name, amount in [entry for entry in self.adds if entry[0] >= since]:
            self.totals[name] -= amount
        self.adds = [entry for entry in self.adds if entry[0] < since]


class Fleet:
    """Gateways, each with its Trust, and the counters that they call."""

    def __init__(self, count: int = 1) -> None:
        self.now = 100 * SECOND
        self.counters = [Counter() for _ in range(count)]
        self.trusts = [Trust(7 + number, 50 * MS, BEAT, 8.0, self.now) for number in range(count)]
        self.lag = 0  # totals are those of so long ago
        self.lie: float | None = None  # the next total
        self.away = False
        self.unread = 0  # readings of names whose answers never come
        self.heard: list[list[Forward]] = [[] for _ in range(count)]
        self.states: list[list[State]] = [[] for _ in range(count)]

    def one_counter(self) -> Counter:
        self.counters = [self.counters[0]] * len(self.trusts)
        return self.counters[0]

    def add(self, gateway: int, amount: float, name: int = NAME, life: int = 20 * SECOND) -> float:
        """The module's call and its total, as the module is told."""
        self.trusts[gateway].on_call(self.now, name, amount, life)
        self._answer(gateway, Call(name, amount, life))
        return self.heard[gateway][-1].total

    def _answer(self, gateway: int, call: Call) -> None:
        if self.away:
            result, total = Result.CONNECT_FAILED, 0.0
        elif self.unread and not call.amount and call.name < MARKERS:
            result, total, self.unread = Result.TIMEOUT, 0.0, self.unread - 1
        else:
            counter = self.counters[gateway]
            result, total = Result.OK, counter.add(self.now, call.name, call.amount)
            if self.lag:
                late = [a for at, name, a in counter.adds if name == call.name and at > self.now - self.lag]
                total -= sum(late)
            if self.lie is not None:
                total, self.lie = self.lie, None
        self._do(gateway, self.trusts[gateway].on_answer(self.now, call.name, result, total))

    def _do(self, gateway: int, actions: list[Call | Forward | StateChange]) -> None:
        for action in actions:
            match action:
                case Forward():
                    self.heard[gateway].append(action)
                case StateChange():
                    self.states[gateway].append(action.state)
                case Call():
                    self._answer(gateway, action)

    def wait(self, span: int) -> None:
        """Let time pass: beats and looks."""
        end = self.now + span
        while min(trust.due() for trust in self.trusts) <= end:
            self.now = max(self.now, min(trust.due() for trust in self.trusts))
            for number, trust in enumerate(self.trusts):
                if trust.due() <= self.now:
                    self._do(number, trust.on_timer(self.now))
            self.now += 1 * MS
        self.now = max(self.now, end)


def test_a_sound_counter_is_trusted_and_its_totals_go_on_unchanged() -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    for step in range(200):
        assert fleet.add(step % 2, 2.0, life=60 * SECOND) == counter.totals[NAME]
        if step % 7 == 0:
            fleet.add(step % 2, -2.0, life=60 * SECOND)
        fleet.wait(100 * MS)
    assert fleet.states == [[], []]
    assert fleet.trusts[0].losses == 0


def test_a_replacement_from_nothing_is_known_within_one_call_and_each_gives_back_its_own_once() -> None:
    fleet = Fleet(3)
    fleet.one_counter()
    fleet.wait(3 * SECOND)
    for gateway, units in enumerate((5.0, 3.0, 2.0)):
        fleet.add(gateway, units)
        fleet.add(gateway, units, OTHER)
    fleet.counters = [Counter()] * 3
    assert fleet.add(0, 1.0) == 6.0  # no less than it had been told of before
    fleet.wait(5 * MS)
    assert fleet.states[0][:2] == [State.SUSPECT, State.REPLACED]
    assert fleet.counters[0].totals[NAME] == 6.0
    fleet.wait(2 * BEAT)
    fresh = fleet.counters[0]
    assert (fresh.totals[NAME], fresh.totals[OTHER]) == (11.0, 10.0)
    assert [trust.restored for trust in fleet.trusts] == [10.0, 6.0, 4.0]
    fleet.wait(3 * SECOND)
    assert [trust.state for trust in fleet.trusts] == [State.TRUSTED] * 3
    assert (fresh.totals[NAME], fresh.totals[OTHER]) == (11.0, 10.0)


def test_twice_in_one_window_is_mended_twice() -> None:
    fleet = Fleet(2)
    fleet.one_counter()
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.add(1, 4.0)
    for _ in range(2):
        fleet.counters = [Counter()] * 2
        fleet.wait(3 * SECOND)
    assert fleet.counters[0].totals[NAME] == 9.0


@pytest.mark.parametrize("lost", [300 * MS, 700 * MS, 1_600 * MS])
def test_a_failover_gives_back_what_came_after_the_last_beat_that_survived(lost: int) -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    fleet.wait(3 * SECOND)
    for step in range(20):
        fleet.add(step % 2, 1.0)
        fleet.wait(100 * MS)
    true = counter.totals[NAME]
    counter.lose(fleet.now - lost)
    fleet.wait(3 * SECOND)
    # No beat may lie in what was lost; up to a beat's span of adds may be given back though they were there.
    most = 2 * (BEAT + 200 * MS) / (200 * MS)
    assert true - (0 if lost > BEAT else 3) <= counter.totals[NAME] <= true + most
    assert all(trust.state is State.TRUSTED for trust in fleet.trusts)


def test_a_failover_gives_back_nothing_that_came_before_the_last_beat_that_survived() -> None:
    """Guards a customer's quota: adds on both sides of a beat, close together, are lost one by one."""
    fleet = Fleet()
    (counter,) = fleet.counters
    fleet.wait(3 * SECOND)
    fleet.wait(fleet.trusts[0].due() - fleet.now - 20 * MS)
    fleet.add(0, 9.0)  # 20 ms before a beat
    fleet.wait(21 * MS)
    kept_until = fleet.now
    fleet.wait(10 * MS)
    fleet.add(0, 4.0)
    fleet.wait(BEAT)  # the next beat is lost, too
    counter.lose(kept_until)
    assert counter.totals[NAME] == 9.0
    fleet.wait(5 * SECOND)
    assert fleet.trusts[0].losses == 1
    assert counter.totals[NAME] == 13.0


def test_two_counters_side_by_side_come_to_one_total_when_their_halves_meet() -> None:
    fleet = Fleet(4)
    left, right = Counter(), Counter()
    fleet.counters = [left, left, right, right]
    fleet.wait(3 * SECOND)
    for gateway, units in enumerate((5.0, 1.0, 2.0, 4.0)):
        fleet.add(gateway, units)
    fleet.counters = [left] * 4
    fleet.wait(3 * SECOND)
    assert left.totals[NAME] == 12.0
    assert fleet.add(3, 1.0) == 13.0


def test_a_counter_that_was_left_and_is_back_is_given_only_what_it_does_not_hold() -> None:
    fleet = Fleet(2)
    first = fleet.one_counter()
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.add(1, 1.0)
    fleet.wait(1 * SECOND)
    for units in (2.0, 3.0):
        fleet.counters = [Counter(), first]
        fleet.wait(2 * SECOND)
        assert fleet.counters[0].totals[NAME] == fleet.trusts[0].believes(NAME)["own"]
        fleet.add(0, units)
        fleet.wait(2 * SECOND)
        fleet.counters = [first, first]
        fleet.wait(2 * SECOND)
    assert first.totals[NAME] == 5.0 + 1.0 + 2.0 + 3.0
    assert fleet.trusts[0].state is State.TRUSTED
    assert fleet.add(0, 1.0) == 12.0


def test_a_replica_that_lags_is_suspected_and_given_nothing() -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    fleet.wait(5 * SECOND)
    for _ in range(10):
        fleet.add(0, 1.0)
        fleet.wait(200 * MS)
    fleet.lag = 500 * MS
    told = [fleet.add(0, 1.0) for _ in range(3)]
    assert told == sorted(told) and told[0] >= 10.0  # no fall is passed on
    fleet.wait(5 * SECOND)
    assert State.SUSPECT in fleet.states[0]
    assert sum(trust.restored for trust in fleet.trusts) == 0.0
    fleet.lag = 0
    fleet.wait(3 * SECOND)
    assert counter.totals[NAME] == 13.0
    assert fleet.trusts[0].state is State.TRUSTED


def test_a_replica_that_lags_by_a_whole_young_marker_is_given_nothing() -> None:
    """All that a marker has may be younger than the lag: none of it there is no replacement then."""
    fleet = Fleet()
    fleet.one_counter()
    fleet.wait(700 * MS)  # beats of 0 and 500 ms
    fleet.add(0, 5.0)
    fleet.lag = 800 * MS
    fleet.add(0, 1.0)
    fleet.wait(3 * SECOND)
    fleet.lag = 0
    fleet.wait(2 * SECOND)
    assert State.SUSPECT in fleet.states[0]
    assert fleet.trusts[0].restored == 0
    assert fleet.trusts[0].state is State.TRUSTED


def test_a_single_lie_is_read_again_and_harms_nothing() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    for _ in range(10):
        fleet.add(0, 2.0)
    fleet.lie = 0.5
    assert fleet.add(0, 2.0) >= 20.0
    fleet.wait(5 * MS)
    assert fleet.states[0] == [State.SUSPECT, State.TRUSTED]
    assert fleet.add(0, 1.0) == 23.0
    for lie in (0.0, 0.4, 1.0, 99.0):  # the marker's own totals lie, too
        fleet.lie = lie
        fleet.wait(2 * SECOND)
        assert fleet.trusts[0].state is State.TRUSTED, lie
    assert fleet.counters[0].totals[NAME] == 23.0
    assert fleet.trusts[0].losses == 0


def test_a_second_reading_that_fails_is_made_again_and_the_counter_is_trusted() -> None:
    """Guards against a counter that stays suspect for a name's whole life as one answer came too late."""
    fleet = Fleet()
    fleet.wait(3 * SECOND)
    fleet.add(0, 9.0)
    fleet.lie, fleet.unread = 1.0, 2
    fleet.add(0, 2.0)
    assert fleet.states == [[State.SUSPECT]]
    fleet.wait(4 * BEAT)
    assert fleet.unread == 0
    assert fleet.states == [[State.SUSPECT, State.TRUSTED]]
    assert fleet.counters[0].totals[NAME] == 11.0


def test_a_name_that_was_evicted_alone_gets_back_what_was_in_it() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    fleet.add(0, 6.0)
    fleet.add(0, 3.0, OTHER)
    del fleet.counters[0].totals[NAME]
    assert fleet.add(0, 1.0) == 7.0
    fleet.wait(SECOND)
    assert fleet.counters[0].totals[NAME] == 7.0
    assert fleet.counters[0].totals[OTHER] == 3.0
    assert fleet.add(0, 1.0) == 8.0


def test_all_who_added_to_a_name_that_was_evicted_give_back_their_own() -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    fleet.trusts = [Trust(7 + number, 50 * MS, 50 * MS, 8.0, fleet.now) for number in range(2)]
    fleet.wait(3 * SECOND)
    fleet.add(0, 6.0)
    fleet.add(1, 5.0)
    del counter.totals[NAME]
    assert fleet.add(0, 1.0) == 7.0
    fleet.wait(250 * MS)  # the first one has proved it, and beats go on
    assert fleet.add(1, 1.0) == 12.0
    fleet.wait(SECOND)
    assert counter.totals[NAME] == 13.0
    assert [trust.state for trust in fleet.trusts] == [State.TRUSTED] * 2


def test_a_fall_by_what_others_give_back_is_passed_on() -> None:
    fleet = Fleet(2)
    fleet.one_counter()
    fleet.wait(3 * SECOND)
    fleet.add(1, 4.0)
    assert fleet.add(0, 1.0) == 5.0
    fleet.add(1, -4.0)
    assert fleet.add(0, 1.0) == 2.0
    assert fleet.states == [[], []]


def test_a_cut_is_away_and_then_proved_to_be_the_same_one() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.away = True
    for _ in range(5):
        fleet.now += 60 * MS
        fleet.add(0, 1.0)
    assert fleet.trusts[0].state is State.AWAY
    fleet.away = False
    fleet.wait(2 * SECOND)
    assert fleet.states[0] == [State.AWAY, State.REJOINING, State.TRUSTED]
    assert fleet.trusts[0].restored == 0.0


def test_one_that_comes_back_empty_after_a_cut_is_given_back_what_was_lost() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.away = True
    for _ in range(5):
        fleet.now += 60 * MS
        fleet.add(0, 1.0)
    fleet.away, fleet.counters = False, [Counter()]
    fleet.wait(3 * SECOND)
    assert fleet.counters[0].totals[NAME] == 5.0
    assert fleet.trusts[0].state is State.TRUSTED


def test_a_cut_longer_than_a_markers_life_proves_nothing_and_gives_nothing_back() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.away = True
    for _ in range(5):
        fleet.now += 14 * SECOND
        fleet.add(0, 1.0)
    fleet.away, fleet.counters = False, [Counter()]  # the names' lives are over, too
    fleet.wait(3 * SECOND)
    assert NAME not in fleet.counters[0].totals
    assert fleet.trusts[0].state is State.TRUSTED


def test_adds_whose_answers_never_came_are_no_contradiction() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    trust, counter = fleet.trusts[0], fleet.counters[0]
    fleet.add(0, 4.0)
    trust.on_call(fleet.now, NAME, 3.0, 20 * SECOND)  # it never arrived
    assert trust.on_answer(fleet.now, NAME, Result.TIMEOUT, 0.0) == [Forward(NAME, Result.TIMEOUT, 0.0)]
    assert fleet.add(0, 1.0) == 5.0
    assert fleet.states[0] == []
    trust.on_call(fleet.now, NAME, 2.0, 20 * SECOND)  # it did, and its total comes late
    trust.on_answer(fleet.now, NAME, Result.TIMEOUT, 0.0)
    counter.add(fleet.now, NAME, 2.0)
    trust.on_late_total(fleet.now, NAME, 2.0)
    assert fleet.add(0, 1.0) == 8.0


def test_markers_go_before_their_lives_end_and_names_are_let_go() -> None:
    fleet = Fleet(1)
    for number in range(600):
        fleet.add(0, 1.0, 1_000 + number, 2 * SECOND)
        fleet.wait(100 * MS)
    markers = [name for name in fleet.counters[0].totals if name >= MARKERS]
    assert len(markers) == 3
    assert len(fleet.trusts[0]._records) < 60
    assert fleet.states[0] == []


def test_slow_answers_are_told_and_no_fault() -> None:
    trust = Trust(1, 50 * MS, BEAT, 8.0, 0)
    now, told = 0, list[State]()
    for step in range(80):
        trust.on_call(now, NAME, 1.0, 60 * SECOND)
        now += 45 * MS if step < 40 else 1 * MS
        actions = trust.on_answer(now, NAME, Result.OK, step + 1.0)
        told += [action.state for action in actions if isinstance(action, StateChange)]
    assert told == [State.SLOW, State.TRUSTED]
