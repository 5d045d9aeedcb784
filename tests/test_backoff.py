"""What a fleet does to a service that it has lost, by its waits alone; no sockets, no clock."""

import heapq
import random

from lynxreel.backoff import LEAST_MOST, LONGEST, MOST, Backoff, shared

PATIENCE = 2.0  # seconds that a call waits for its turn
EACH = 0.2  # seconds of work for a call: the service bears 5 a second, and its queue one call for each


def of(fleet: int, seed: int | str, within: float = 0.0) -> Backoff:
    return Backoff(*shared(fleet, within), random.Random(seed))


class Service:
    """Works on calls in order, also on those that nobody waits for any more; turns away beyond."""

    def __init__(self) -> None:
        self.free_at, self.calls = 0.0, 0

    def call(self, now: float) -> tuple[bool, float]:
        """Whether it answers, and when that is known."""
        self.calls += 1
        if self.free_at - now > 1.5 * PATIENCE:
            return False, now
        self.free_at = max(now, self.free_at) + EACH
        return self.free_at - now <= PATIENCE, min(self.free_at, now + PATIENCE)


def lost_together(fleet: int, until: float, waits: list[Backoff]) -> tuple[int, Service]:
    """All lose their watch at 0; how many have it again by `until`."""
    service, back = Service(), 0
    due = [(waits[number].wait(), number) for number in range(fleet)]
    heapq.heapify(due)
    while due and due[0][0] < until:
        now, number = heapq.heappop(due)
        answered, known = service.call(now)
        if answered:
            back += 1
        else:
            heapq.heappush(due, (known + waits[number].wait(), number))
    return back, service


def test_forty_that_lost_their_list_together_all_get_it_again() -> None:
    for seed in range(20):
        waits = [of(40, f"{seed} {number}") for number in range(40)]
        back, service = lost_together(40, 40.0, waits)
        assert back == 40
        assert service.calls < 40 * 8


def test_waits_grow_with_each_failure_and_begin_anew_after_an_answer() -> None:
    backoff = of(40, 1)
    waits = [backoff.wait() for _ in range(12)]
    assert all(MOST * 40 / 2 <= wait <= MOST * 40 * 1.5 for wait in waits[4:])
    assert max(waits[:1]) < min(waits[4:])
    backoff.worked()
    assert backoff.wait() < min(waits[4:])


def test_the_waits_of_instances_differ_and_do_not_overflow() -> None:
    waits = [of(40, number) for number in range(40)]
    firsts = sorted(backoff.wait() for backoff in waits)
    assert firsts[-1] > 2 * firsts[0]
    for _ in range(2_000):
        assert waits[0].wait() <= 1.5 * MOST * 40


def test_a_small_fleet_is_quick_and_a_huge_one_is_not_lost() -> None:
    small, huge = of(1, 1), of(100_000, 1)
    assert max(small.wait() for _ in range(20)) <= 1.5 * LEAST_MOST
    assert max(huge.wait() for _ in range(20)) <= 1.5 * LONGEST
    huge.worked()
    huge.adopt(*shared(1))
    assert huge.wait() < 1.0


def test_a_service_that_wants_to_be_asked_in_time_is_asked_in_time() -> None:
    # In time at first, and in four times that after a call that failed, with room for a call that waits.
    for seed in range(50):
        backoff = of(230, seed, within=10.0)
        assert backoff.wait() < 10.0 - PATIENCE
        assert max(backoff.wait() for _ in range(20)) < 4 * 10.0 - PATIENCE
