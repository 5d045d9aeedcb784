"""The core of takeovers under all orders of what may happen to three instances, and with guards taken out."""

from collections.abc import Callable
from typing import Any

import pytest

from lynxreel.standins.interleavings import LEASE, Budget, frozen, stroll, walk, world
from lynxreel.takeover import work as core
from lynxreel.takeover.messages import Record
from lynxreel.takeover.rights import Rights, Standing
from lynxreel.takeover.work import Own, Work

DEATHS = Budget(lost=1, doubled=1, deaths=2, restarts=1)
STOPS = Budget(deaths=1, stops=1, ticks=12)


@pytest.mark.parametrize(("budget", "lease"), [(DEATHS, 0), (STOPS, LEASE)])
def test_no_order_breaks_a_rule(budget: Budget, lease: int) -> None:
    """A part of what `python -m bench takeover_orders` walks."""
    found = walk(frozen(world(budget, lease)), 2_000)
    assert (found.why, found.worlds) == ("", 2_000), found.trace
    found = stroll(world(budget, lease), 1, 1_500)
    assert found.why == "", found.trace


def no_fence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Work, "_may", lambda self, now, own: True)
    patch.setattr(Work, "may", lambda self, now, number: True)


def intent_after_the_send(patch: pytest.MonkeyPatch) -> None:
    whole: Callable[..., Any] = Work._release

    def release(self: Work, now: int, own: Own) -> None:
        own.noted.update(own.holding)
        whole(self, now, own)

    patch.setattr(Work, "_release", release)


def epoch_not_compared(patch: pytest.MonkeyPatch) -> None:
    whole: Callable[..., Any] = Work._known

    def known(self: Work, now: int, sender: str, at: int, number: bytes, epoch: int, session: int) -> Any:
        if (own := self.own.get(number)) is not None and own.epoch > epoch:
            self._overtaken(now, own, epoch)
            own.epoch = 0
        return whole(self, now, sender, at, number, epoch, session)

    patch.setattr(Work, "_known", known)


def alive_is_followed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Rights, "standing", lambda self, *given: Standing.MINE)


def turned_away_and_kept(patch: pytest.MonkeyPatch) -> None:
    whole: Callable[..., Any] = Work._turn_away

    def turn_away(self: Work, now: int, sender: str, at: int, number: bytes, epoch: int) -> None:
        whole(self, now, sender, at, number, epoch)
        del self._turned[number]

    patch.setattr(Work, "_turn_away", turn_away)


def units_forgotten(patch: pytest.MonkeyPatch) -> None:
    class Forgetful(core.Carry):
        def __init__(self, record: Record, left: int, counted: bool, sent: bool) -> None:
            super().__init__(record, left, False, sent)

    patch.setattr(core, "Carry", Forgetful)


def unknown_run_again(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Work, "_final", lambda self, now, own: None)


@pytest.mark.parametrize(
    ("fault", "budget", "lease"),
    [
        (no_fence, STOPS, LEASE),
        (intent_after_the_send, DEATHS, 0),
        (epoch_not_compared, DEATHS, 0),
        (alive_is_followed, DEATHS, 0),
        (turned_away_and_kept, DEATHS, 0),
        (units_forgotten, DEATHS, 0),
        (unknown_run_again, DEATHS, 0),
    ],
)
def test_a_guard_that_is_left_out_is_found(
    monkeypatch: pytest.MonkeyPatch, fault: Callable[[pytest.MonkeyPatch], None], budget: Budget, lease: int
) -> None:
    fault(monkeypatch)
    found = stroll(world(budget, lease), 1, 20_000)
    assert found.why and found.trace
