"""The counter monitor, in simulated time, with counters that lose increments, lag or return wrong totals."""

from dataclasses import dataclass, field

import pytest

from lynxreel.metering.trust import MIN_MARKER_NAME, Call, CounterMonitor, Forward, State, StateChange
from mothgap.interface import Result

MS, SECOND = 1_000, 1_000_000
BEAT = 500 * MS
NAME, OTHER = 0x51, 0x52


@dataclass
class Counter:
    """A counter: its totals, and every increment in order."""

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
    """Gateways, each with its monitor, and the counters that they call."""

    def __init__(self, count: int = 1) -> None:
        self.now = 100 * SECOND
        self.counters = [Counter() for _ in range(count)]
        self.trusts = [CounterMonitor(7 + number, 50 * MS, BEAT, 8.0, self.now) for number in range(count)]
        self.lag = 0  # microseconds by which totals lag
        self.wrong_total: float | None = None  # returned in place of the next total
        self.down = False
        self.unanswered_reads = 0  # number of readings of names that get no answer
        self.forwarded: list[list[Forward]] = [[] for _ in range(count)]
        self.states: list[list[State]] = [[] for _ in range(count)]

    def one_counter(self) -> Counter:
        self.counters = [self.counters[0]] * len(self.trusts)
        return self.counters[0]

    def add(self, gateway: int, amount: float, name: int = NAME, lifetime: int = 20 * SECOND) -> float:
        """A call of the decision module; returns the total that is forwarded to the module."""
        self.trusts[gateway].on_call(self.now, name, amount, lifetime)
        self._answer(gateway, Call(name, amount, lifetime))
        return self.forwarded[gateway][-1].total

    def _answer(self, gateway: int, call: Call) -> None:
        if self.down:
            result, total = Result.CONNECT_FAILED, 0.0
        elif self.unanswered_reads and not call.amount and call.name < MIN_MARKER_NAME:
            result, total, self.unanswered_reads = Result.TIMEOUT, 0.0, self.unanswered_reads - 1
        else:
            counter = self.counters[gateway]
            result, total = Result.OK, counter.add(self.now, call.name, call.amount)
            if self.lag:
                missing = [
                    amount
                    for at, name, amount in counter.adds
                    if name == call.name and at > self.now - self.lag
                ]
                total -= sum(missing)
            if self.wrong_total is not None:
                total, self.wrong_total = self.wrong_total, None
        self._execute(gateway, self.trusts[gateway].on_answer(self.now, call.name, result, total))

    def _execute(self, gateway: int, actions: list[Call | Forward | StateChange]) -> None:
        for action in actions:
            match action:
                case Forward():
                    self.forwarded[gateway].append(action)
                case StateChange():
                    self.states[gateway].append(action.state)
                case Call():
                    self._answer(gateway, action)

    def wait(self, duration: int) -> None:
        """Advance the time, with all beats and readings that are due."""
        end = self.now + duration
        while min(trust.due() for trust in self.trusts) <= end:
            self.now = max(self.now, min(trust.due() for trust in self.trusts))
            for number, trust in enumerate(self.trusts):
                if trust.due() <= self.now:
                    self._execute(number, trust.on_timer(self.now))
            self.now += 1 * MS
        self.now = max(self.now, end)


def test_a_healthy_counter_is_trusted_and_its_totals_are_forwarded_unchanged() -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    for step in range(200):
        assert fleet.add(step % 2, 2.0, lifetime=60 * SECOND) == counter.totals[NAME]
        if step % 7 == 0:
            fleet.add(step % 2, -2.0, lifetime=60 * SECOND)
        fleet.wait(100 * MS)
    assert fleet.states == [[], []]
    assert fleet.trusts[0].losses == 0


def test_an_empty_replacement_is_detected_within_one_call_and_each_gateway_restores_its_own_once() -> None:
    fleet = Fleet(3)
    fleet.one_counter()
    fleet.wait(3 * SECOND)
    for gateway, units in enumerate((5.0, 3.0, 2.0)):
        fleet.add(gateway, units)
        fleet.add(gateway, units, OTHER)
    fleet.counters = [Counter()] * 3
    assert fleet.add(0, 1.0) == 6.0  # no less than the total forwarded before
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


def test_two_replacements_in_one_window_are_both_repaired() -> None:
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
def test_after_a_failover_increments_after_the_last_surviving_beat_are_restored(lost: int) -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    fleet.wait(3 * SECOND)
    for step in range(20):
        fleet.add(step % 2, 1.0)
        fleet.wait(100 * MS)
    expected = counter.totals[NAME]
    counter.lose(fleet.now - lost)
    fleet.wait(3 * SECOND)
    # The loss may contain no beat; up to one beat interval of increments may be restored though not lost.
    excess = 2 * (BEAT + 200 * MS) / (200 * MS)
    assert expected - (0 if lost > BEAT else 3) <= counter.totals[NAME] <= expected + excess
    assert all(trust.state is State.TRUSTED for trust in fleet.trusts)


def test_after_a_failover_nothing_before_the_last_surviving_beat_is_restored() -> None:
    """Increments shortly before and after a beat may not share a batch: a customer would be charged twice."""
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


def test_two_counters_side_by_side_give_one_total_once_all_gateways_use_one() -> None:
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


def test_on_a_former_counter_that_returns_only_what_it_does_not_hold_is_restored() -> None:
    fleet = Fleet(2)
    first = fleet.one_counter()
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.add(1, 1.0)
    fleet.wait(1 * SECOND)
    for units in (2.0, 3.0):
        fleet.counters = [Counter(), first]
        fleet.wait(2 * SECOND)
        assert fleet.counters[0].totals[NAME] == fleet.trusts[0].describe(NAME)["own"]
        fleet.add(0, units)
        fleet.wait(2 * SECOND)
        fleet.counters = [first, first]
        fleet.wait(2 * SECOND)
    assert first.totals[NAME] == 5.0 + 1.0 + 2.0 + 3.0
    assert fleet.trusts[0].state is State.TRUSTED
    assert fleet.add(0, 1.0) == 12.0


def test_a_lagging_replica_is_suspected_and_nothing_is_restored() -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    fleet.wait(5 * SECOND)
    for _ in range(10):
        fleet.add(0, 1.0)
        fleet.wait(200 * MS)
    fleet.lag = 500 * MS
    forwarded = [fleet.add(0, 1.0) for _ in range(3)]
    assert forwarded == sorted(forwarded) and forwarded[0] >= 10.0  # no drop is forwarded
    fleet.wait(5 * SECOND)
    assert State.SUSPECT in fleet.states[0]
    assert sum(trust.restored for trust in fleet.trusts) == 0.0
    fleet.lag = 0
    fleet.wait(3 * SECOND)
    assert counter.totals[NAME] == 13.0
    assert fleet.trusts[0].state is State.TRUSTED


def test_nothing_is_restored_on_a_replica_that_lags_by_all_of_a_young_marker() -> None:
    """Where all beats of a marker are younger than the lag, a total of 0 is no proof of a replacement."""
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


def test_a_single_wrong_total_is_read_again_and_has_no_effect() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    for _ in range(10):
        fleet.add(0, 2.0)
    fleet.wrong_total = 0.5
    assert fleet.add(0, 2.0) >= 20.0
    fleet.wait(5 * MS)
    assert fleet.states[0] == [State.SUSPECT, State.TRUSTED]
    assert fleet.add(0, 1.0) == 23.0
    for wrong_total in (0.0, 0.4, 1.0, 99.0):  # the marker's own totals are wrong, too
        fleet.wrong_total = wrong_total
        fleet.wait(2 * SECOND)
        assert fleet.trusts[0].state is State.TRUSTED, wrong_total
    assert fleet.counters[0].totals[NAME] == 23.0
    assert fleet.trusts[0].losses == 0


def test_a_second_reading_that_fails_is_repeated_and_the_counter_is_trusted() -> None:
    """One late answer must not keep the counter suspect for a name's whole lifetime."""
    fleet = Fleet()
    fleet.wait(3 * SECOND)
    fleet.add(0, 9.0)
    fleet.wrong_total, fleet.unanswered_reads = 1.0, 2
    fleet.add(0, 2.0)
    assert fleet.states == [[State.SUSPECT]]
    fleet.wait(4 * BEAT)
    assert fleet.unanswered_reads == 0
    assert fleet.states == [[State.SUSPECT, State.TRUSTED]]
    assert fleet.counters[0].totals[NAME] == 11.0


def test_increments_of_a_single_evicted_name_are_restored() -> None:
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


def test_every_gateway_restores_its_own_increments_of_an_evicted_name() -> None:
    fleet = Fleet(2)
    counter = fleet.one_counter()
    fleet.trusts = [CounterMonitor(7 + number, 50 * MS, 50 * MS, 8.0, fleet.now) for number in range(2)]
    fleet.wait(3 * SECOND)
    fleet.add(0, 6.0)
    fleet.add(1, 5.0)
    del counter.totals[NAME]
    assert fleet.add(0, 1.0) == 7.0
    fleet.wait(250 * MS)  # the first gateway has proved the loss, and beats continue
    assert fleet.add(1, 1.0) == 12.0
    fleet.wait(SECOND)
    assert counter.totals[NAME] == 13.0
    assert [trust.state for trust in fleet.trusts] == [State.TRUSTED] * 2


def test_a_drop_because_of_refunds_by_others_is_forwarded() -> None:
    fleet = Fleet(2)
    fleet.one_counter()
    fleet.wait(3 * SECOND)
    fleet.add(1, 4.0)
    assert fleet.add(0, 1.0) == 5.0
    fleet.add(1, -4.0)
    assert fleet.add(0, 1.0) == 2.0
    assert fleet.states == [[], []]


def test_after_a_disconnection_the_counter_is_verified_to_be_the_same() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.down = True
    for _ in range(5):
        fleet.now += 60 * MS
        fleet.add(0, 1.0)
    assert fleet.trusts[0].state is State.AWAY
    fleet.down = False
    fleet.wait(2 * SECOND)
    assert fleet.states[0] == [State.AWAY, State.REJOINING, State.TRUSTED]
    assert fleet.trusts[0].restored == 0.0


def test_on_a_counter_that_is_empty_after_a_disconnection_lost_increments_are_restored() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.down = True
    for _ in range(5):
        fleet.now += 60 * MS
        fleet.add(0, 1.0)
    fleet.down, fleet.counters = False, [Counter()]
    fleet.wait(3 * SECOND)
    assert fleet.counters[0].totals[NAME] == 5.0
    assert fleet.trusts[0].state is State.TRUSTED


def test_a_disconnection_longer_than_a_markers_lifetime_restores_nothing() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    fleet.add(0, 5.0)
    fleet.down = True
    for _ in range(5):
        fleet.now += 14 * SECOND
        fleet.add(0, 1.0)
    fleet.down, fleet.counters = False, [Counter()]  # the names have expired, too
    fleet.wait(3 * SECOND)
    assert NAME not in fleet.counters[0].totals
    assert fleet.trusts[0].state is State.TRUSTED


def test_increments_whose_answers_never_came_are_no_contradiction() -> None:
    fleet = Fleet(1)
    fleet.wait(3 * SECOND)
    trust, counter = fleet.trusts[0], fleet.counters[0]
    fleet.add(0, 4.0)
    trust.on_call(fleet.now, NAME, 3.0, 20 * SECOND)  # it never arrives
    assert trust.on_answer(fleet.now, NAME, Result.TIMEOUT, 0.0) == [Forward(NAME, Result.TIMEOUT, 0.0)]
    assert fleet.add(0, 1.0) == 5.0
    assert fleet.states[0] == []
    trust.on_call(fleet.now, NAME, 2.0, 20 * SECOND)  # it arrives, and its total comes late
    trust.on_answer(fleet.now, NAME, Result.TIMEOUT, 0.0)
    counter.add(fleet.now, NAME, 2.0)
    trust.on_late_total(fleet.now, NAME, 2.0)
    assert fleet.add(0, 1.0) == 8.0


def test_markers_are_rotated_before_they_expire_and_expired_names_are_removed() -> None:
    fleet = Fleet(1)
    for number in range(600):
        fleet.add(0, 1.0, 1_000 + number, 2 * SECOND)
        fleet.wait(100 * MS)
    markers = [name for name in fleet.counters[0].totals if name >= MIN_MARKER_NAME]
    assert len(markers) == 3
    assert len(fleet.trusts[0]._records) < 60
    assert fleet.states[0] == []


def test_slow_answers_are_reported_as_a_state_and_not_as_a_loss() -> None:
    trust = CounterMonitor(1, 50 * MS, BEAT, 8.0, 0)
    now, states = 0, list[State]()
    for step in range(80):
        trust.on_call(now, NAME, 1.0, 60 * SECOND)
        now += 45 * MS if step < 40 else 1 * MS
        actions = trust.on_answer(now, NAME, Result.OK, step + 1.0)
        states += [action.state for action in actions if isinstance(action, StateChange)]
    assert states == [State.SLOW, State.TRUSTED]
