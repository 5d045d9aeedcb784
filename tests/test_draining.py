"""The steps of a drain: what its connections are told at each look, by a clock that the test sets."""

import asyncio
from typing import cast

from lynxreel.fronts.draining import READ_ON, Draining, DrainTimes
from tests.net import run

PATIENT, READS_ON, CLOSES_OVER = (True, True), (False, True), (False, False)


class Looks:
    """A front with one connection that never ends, and the clock: each look at it takes a while."""

    def __init__(self, step: float) -> None:
        self.told: list[tuple[float, tuple[bool, bool]]] = []
        self.connections = [self]
        self._now, self._step = 0.0, step

    def time(self) -> float:
        return self._now

    def end(self, patient: bool = True, reads_on: bool = False) -> None:
        self.told.append((self._now, (patient, reads_on)))
        self._now += self._step


def looks(times: DrainTimes, step: float) -> list[tuple[float, tuple[bool, bool]]]:
    front = Looks(step)
    run(lambda: Draining(front, cast(asyncio.AbstractEventLoop, front)).empty(times))
    return front.told


def test_after_its_patience_a_drain_reads_on_for_a_while_and_then_closes_over_what_is_unread() -> None:
    told = looks(DrainTimes(announce=0.0, patience=0.1, cut_off=1.0), 0.02)
    assert [step for at, step in told if at < 0.09] == [PATIENT] * 5
    assert {step for at, step in told if 0.11 < at < 0.09 + READ_ON} == {READS_ON}
    assert {step for at, step in told if at > 0.11 + READ_ON} == {CLOSES_OVER}


def test_half_of_the_time_between_patience_and_cut_off_is_left_to_close_in() -> None:
    told = looks(DrainTimes(announce=0.0, patience=0.1, cut_off=0.2), 0.02)
    assert {step for at, step in told if 0.11 < at < 0.14} == {READS_ON}
    assert {step for at, step in told if at > 0.16} == {CLOSES_OVER}
    assert told[-1][0] > 0.17
