"""The load of a retrying fleet on a service that it lost, computed from its waits; no sockets, no clock."""

import heapq
import random

import pytest

from lynxreel.backoff import MAX_MEAN_WAIT, MIN_MAX_WAIT, OVERLOADED_MAX_WAIT, Backoff, fleet_mean_waits

CALL_TIMEOUT = 2.0  # seconds until a queued call times out
WORK_PER_CALL = 0.2  # seconds: the service handles 5 calls a second, and queues one call per instance


def backoff_of(fleet: int, seed: int | str, within: float = 0.0) -> Backoff:
    return Backoff(*fleet_mean_waits(fleet, within), random.Random(seed))


class Service:
    """Processes calls in order, also those that timed out; rejects calls when its queue is too long."""

    def __init__(self) -> None:
        self.free_at, self.calls = 0.0, 0

    def call(self, now: float) -> tuple[bool, float]:
        """Return whether the call is answered, and when the caller knows."""
        self.calls += 1
        if self.free_at - now > 1.5 * CALL_TIMEOUT:
            return False, now
        self.free_at = max(now, self.free_at) + WORK_PER_CALL
        return self.free_at - now <= CALL_TIMEOUT, min(self.free_at, now + CALL_TIMEOUT)


def retry_together(fleet: int, until: float, waits: list[Backoff]) -> tuple[int, Service]:
    """All lose their watch at time 0; return how many have it again by `until`, and the service."""
    service, recovered = Service(), 0
    due = [(waits[number].wait(), number) for number in range(fleet)]
    heapq.heapify(due)
    while due and due[0][0] < until:
        now, number = heapq.heappop(due)
        answered, known = service.call(now)
        if answered:
            recovered += 1
        else:
            heapq.heappush(due, (known + waits[number].wait(OVERLOADED_MAX_WAIT), number))
    return recovered, service


def test_forty_instances_that_lost_their_list_together_all_get_it_again() -> None:
    for seed in range(20):
        waits = [backoff_of(40, f"{seed} {number}") for number in range(40)]
        recovered, service = retry_together(40, 40.0, waits)
        assert recovered == 40
        assert service.calls < 40 * 8


def test_waits_grow_with_each_failure_and_reset_after_an_answer() -> None:
    backoff = backoff_of(40, 1)
    waits = [backoff.wait(OVERLOADED_MAX_WAIT) for _ in range(12)]
    assert all(OVERLOADED_MAX_WAIT / 2 <= wait <= OVERLOADED_MAX_WAIT * 1.5 for wait in waits[5:])
    assert max(waits[:1]) < min(waits[5:])
    backoff.reset()
    assert backoff.wait(OVERLOADED_MAX_WAIT) < min(waits[5:])


def test_waits_exceed_the_limit_only_after_consecutive_rejections() -> None:
    backoff = backoff_of(1_000, 1)
    for _ in range(20):  # a service that is unreachable, and then overloaded for a moment
        assert backoff.wait() <= 1.5 * MAX_MEAN_WAIT
    for _ in range(3):
        assert backoff.wait(OVERLOADED_MAX_WAIT) <= 1.5 * MAX_MEAN_WAIT
    assert backoff.wait(OVERLOADED_MAX_WAIT) >= MAX_MEAN_WAIT
    assert max(backoff.wait(OVERLOADED_MAX_WAIT) for _ in range(200)) > 1.3 * OVERLOADED_MAX_WAIT
    assert max(backoff.wait() for _ in range(20)) <= 1.5 * MAX_MEAN_WAIT


def test_the_waits_of_instances_differ_and_do_not_overflow() -> None:
    waits = [backoff_of(40, number) for number in range(40)]
    firsts = sorted(backoff.wait() for backoff in waits)
    assert firsts[-1] > 2 * firsts[0]
    for _ in range(2_000):
        assert waits[0].wait() <= 1.5 * MAX_MEAN_WAIT
        assert waits[1].wait(OVERLOADED_MAX_WAIT) <= 1.5 * OVERLOADED_MAX_WAIT


def test_a_small_fleet_retries_quickly_and_a_huge_one_within_the_limit() -> None:
    small, huge = backoff_of(1, 1), backoff_of(100_000, 1)
    assert max(small.wait() for _ in range(20)) <= 1.5 * MIN_MAX_WAIT
    assert max(huge.wait() for _ in range(20)) <= 1.5 * MAX_MEAN_WAIT
    huge.reset()
    huge.adopt(*fleet_mean_waits(1))
    assert huge.wait() < 1.0


@pytest.mark.parametrize("fleet", [1, 4, 40, 230, 1_024])
def test_after_any_failure_the_next_call_is_answered_within_6_s(fleet: int) -> None:
    for seed in range(50):
        backoff = backoff_of(fleet, seed, within=10.0)
        assert max(backoff.wait() for _ in range(20)) + CALL_TIMEOUT < 6.0
