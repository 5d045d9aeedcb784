"""The core of takeovers under all orders of what may happen to three instances, and with guards taken out."""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lynxreel.standins.interleavings import (
    LEASE,
    LEFT,
    START,
    Budget,
    broken,
    frozen,
    steps,
    stroll,
    stuck,
    take,
    walk,
    world,
)
from lynxreel.takeover import work as core
from lynxreel.takeover.actions import Carry
from lynxreel.takeover.entries import Own
from lynxreel.takeover.grants import Grants
from lynxreel.takeover.messages import NONE, How, Record
from lynxreel.takeover.rights import Rights, Standing
from lynxreel.takeover.work import Work

DEATHS = Budget(lost=1, doubled=1, deaths=2, restarts=1)
STOPS = Budget(deaths=1, stops=1, ticks=12)


@pytest.mark.parametrize(("budget", "lease"), [(DEATHS, 0), (STOPS, LEASE)])
def test_no_order_breaks_a_rule(budget: Budget, lease: int) -> None:
    """A part of what `python -m bench takeover_orders` walks."""
    found = walk(frozen(world(budget, lease)), 2_000)
    assert (found.why, found.worlds) == ("", 2_000), found.trace
    found = stroll(world(budget, lease), 1, 1_500)
    assert found.why == "", found.trace


@pytest.mark.parametrize("deaths", [0, 1, 2])
def test_no_order_of_what_is_said_runs_a_key_more_often_than_its_owners_die(deaths: int) -> None:
    """Guards against a second run by an instance that has not heard, or read, of the first."""
    budget = Budget(doubled=1, deaths=deaths, ticks=8, last_tick=START + LEFT)  # while its clients wait
    start = world(budget, requests=("keyed",), ordered=True)
    found = walk(frozen(start), 4_000)
    assert found.why == "", found.trace
    found = stroll(start, 1, 1_500)
    assert found.why == "", found.trace


@settings(derandomize=True, max_examples=60, deadline=None)
@given(picks=st.lists(st.integers(0, 10_000), max_size=120), lossy=st.booleans())
def test_no_long_history_breaks_a_rule(picks: list[int], lossy: bool) -> None:
    """Of messages lost and doubled, deaths, restarts, stops and time; in the end nobody is left waiting."""
    made = world(Budget(3, 3, 1 + lossy, 1, 1, 400) if lossy else Budget(0, 2, 2, 1, 1, 400), LEASE)
    for pick in picks:
        ahead = list(steps(made))
        take(made, ahead[pick % len(ahead)])
        assert broken(made) == ""
    made.budget = Budget(ticks=2_000)  # nothing goes wrong any more, and time passes
    while (ahead := [step for step in steps(made) if step != ("tick",)]) or made.budget.ticks:
        take(made, ahead[0] if ahead else ("tick",))
        assert broken(made) == ""
        if not ahead and made.now > 20_000_000:
            break
    assert stuck(made) == ""


def test_a_copy_that_arrives_after_its_end_was_told_as_unknown_is_run_by_nobody() -> None:
    made = world(Budget(deaths=1, ticks=50), requests=("once",))
    late = made.flying.pop()  # the copy, on its way to its keeper
    keeper = late[2]
    (other,) = {1, 2} - {keeper}
    take(made, ("die", 0))
    while made.news:
        take(made, ("learn", 0))
    take(made, ("come", made.comes.index((0, other))))
    while b"r0" not in made.told:
        take(made, ("hear", 0) if made.flying else ("tick",))
    assert made.told[b"r0"] == [How.UNKNOWN]
    made.flying.append(late)
    take(made, ("hear", 0))
    take(made, ("come", made.comes.index((0, keeper))))
    while len(made.told[b"r0"]) < 2:
        take(made, ("hear", 0) if made.flying else ("tick",))
    assert made.told[b"r0"] == [How.UNKNOWN] * 2
    assert not made.runs and not any(own.engine for own in made.instances) and broken(made) == ""


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
    class Forgetful(Carry):
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


def nobody_coordinates(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Grants, "taken", lambda self, now, request, asker: False)


def late_copies_are_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Grants, "refuses", lambda self, *given: False)


def under_way_says_nothing(patch: pytest.MonkeyPatch) -> None:
    """As it was: who holds it says nothing until its answer, and is waited for as for a note."""
    patch.setattr(core, "PENDING", NONE)


@pytest.mark.parametrize("fault", [nobody_coordinates, late_copies_are_kept, under_way_says_nothing])
def test_a_guard_of_keys_that_is_left_out_is_found(
    monkeypatch: pytest.MonkeyPatch, fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    fault(monkeypatch)
    budget = Budget(doubled=1, deaths=1, ticks=8, last_tick=START + LEFT)
    found = stroll(world(budget, requests=("keyed",), ordered=True), 1, 20_000)
    assert "a key was run" in found.why
