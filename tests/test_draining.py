"""The phases of a drain: what it asks of its connections at each check, by a clock that the test sets."""

import asyncio
from typing import cast

from lynxreel.fronts.draining import READ_PENDING_TIME, Draining, DrainTimes
from tests.net import run

AWAITS_PARTIAL, READS_PENDING, CLOSES = (True, True), (False, True), (False, False)


class RecordingFront:
    """A front with one connection that never ends, and the clock, which each check advances."""

    def __init__(self, check_time: float) -> None:
        self.calls: list[tuple[float, tuple[bool, bool]]] = []
        self.connections = [self]
        self._now, self._check_time = 0.0, check_time

    def time(self) -> float:
        return self._now

    def end(self, await_partial: bool = True, read_pending: bool = False) -> None:
        self.calls.append((self._now, (await_partial, read_pending)))
        self._now += self._check_time


def recorded_calls(times: DrainTimes, check_time: float) -> list[tuple[float, tuple[bool, bool]]]:
    front = RecordingFront(check_time)
    run(lambda: Draining(front, cast(asyncio.AbstractEventLoop, front)).drain(times))
    return front.calls


def test_after_its_patience_a_drain_reads_pending_requests_and_then_closes_over_unread_ones() -> None:
    calls = recorded_calls(DrainTimes(announce=0.0, patience=0.1, cut_off=1.0), 0.02)
    assert [phase for at, phase in calls if at < 0.09] == [AWAITS_PARTIAL] * 5
    assert {phase for at, phase in calls if 0.11 < at < 0.09 + READ_PENDING_TIME} == {READS_PENDING}
    assert {phase for at, phase in calls if at > 0.11 + READ_PENDING_TIME} == {CLOSES}


def test_half_of_the_time_between_patience_and_cut_off_is_left_for_the_close() -> None:
    calls = recorded_calls(DrainTimes(announce=0.0, patience=0.1, cut_off=0.2), 0.02)
    assert {phase for at, phase in calls if 0.11 < at < 0.14} == {READS_PENDING}
    assert {phase for at, phase in calls if at > 0.16} == {CLOSES}
    assert calls[-1][0] > 0.17
