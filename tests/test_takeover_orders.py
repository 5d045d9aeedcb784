"""Model checks of the takeover core: orders of events at three instances, also with single guards removed."""

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
from lynxreel.takeover.actions import ResumeRequest
from lynxreel.takeover.entries import OwnedRequest
from lynxreel.takeover.grants import StartGrants
from lynxreel.takeover.messages import NONE, AnswerKind, Record
from lynxreel.takeover.rights import Leases, Standing
from lynxreel.takeover.work import TakeoverCore

DEATHS = Budget(lost=1, doubled=1, deaths=2, restarts=1)
STOPS = Budget(deaths=1, stops=1, ticks=12)


@pytest.mark.parametrize(("budget", "lease"), [(DEATHS, 0), (STOPS, LEASE)])
def test_no_event_order_breaks_a_rule(budget: Budget, lease: int) -> None:
    """Checks part of the state space that `python -m bench takeover_orders` walks."""
    found = walk(frozen(world(budget, lease)), 2_000)
    assert (found.why, found.worlds) == ("", 2_000), found.trace
    found = stroll(world(budget, lease), 1, 1_500)
    assert found.why == "", found.trace


@pytest.mark.parametrize("deaths", [0, 1, 2])
def test_no_message_order_runs_a_key_more_often_than_its_owners_die(deaths: int) -> None:
    """Prevents a second run by an instance that has not received, or not read, the news of the first."""
    budget = Budget(doubled=1, deaths=deaths, ticks=8, last_tick=START + LEFT)  # while its clients wait
    start = world(budget, requests=("keyed",), ordered=True)
    found = walk(frozen(start), 4_000)
    assert found.why == "", found.trace
    found = stroll(start, 1, 1_500)
    assert found.why == "", found.trace


@settings(derandomize=True, max_examples=60, deadline=None)
@given(picks=st.lists(st.integers(0, 10_000), max_size=120), lossy=st.booleans())
def test_no_long_random_history_breaks_a_rule(picks: list[int], lossy: bool) -> None:
    """Messages are lost and doubled, instances die, restart and stall; in the end no client waits."""
    made = world(Budget(3, 3, 1 + lossy, 1, 1, 400) if lossy else Budget(0, 2, 2, 1, 1, 400), LEASE)
    for pick in picks:
        ahead = list(steps(made))
        take(made, ahead[pick % len(ahead)])
        assert broken(made) == ""
    made.budget = Budget(ticks=2_000)  # no more faults, only time passes
    while (ahead := [step for step in steps(made) if step != ("tick",)]) or made.budget.ticks:
        take(made, ahead[0] if ahead else ("tick",))
        assert broken(made) == ""
        if not ahead and made.now > 20_000_000:
            break
    assert stuck(made) == ""


def test_a_replica_that_arrives_after_the_outcome_was_reported_unknown_is_never_run() -> None:
    made = world(Budget(deaths=1, ticks=50), requests=("once",))
    late = made.flying.pop()  # the replica, in transit to its keeper
    keeper = late[2]
    (other,) = {1, 2} - {keeper}
    take(made, ("die", 0))
    while made.news:
        take(made, ("learn", 0))
    take(made, ("come", made.comes.index((0, other))))
    while b"r0" not in made.told:
        take(made, ("hear", 0) if made.flying else ("tick",))
    assert made.told[b"r0"] == [AnswerKind.UNKNOWN]
    made.flying.append(late)
    take(made, ("hear", 0))
    take(made, ("come", made.comes.index((0, keeper))))
    while len(made.told[b"r0"]) < 2:
        take(made, ("hear", 0) if made.flying else ("tick",))
    assert made.told[b"r0"] == [AnswerKind.UNKNOWN] * 2
    assert not made.runs and not any(instance.engine for instance in made.instances) and broken(made) == ""


def no_fence(patch: pytest.MonkeyPatch) -> None:
    """An owner acts without a valid lease, or after a takeover."""
    patch.setattr(TakeoverCore, "_may_act", lambda self, now, owned: True)
    patch.setattr(TakeoverCore, "may_send", lambda self, now, request_id: True)


def intent_after_the_send(patch: pytest.MonkeyPatch) -> None:
    """An attempt is sent before the keeper has acknowledged its intent."""
    original: Callable[..., Any] = TakeoverCore._allow_attempts

    def allow_attempts(self: TakeoverCore, now: int, owned: OwnedRequest) -> None:
        owned.acknowledged.update(owned.pending_attempts)
        original(self, now, owned)

    patch.setattr(TakeoverCore, "_allow_attempts", allow_attempts)


def epoch_not_compared(patch: pytest.MonkeyPatch) -> None:
    """A message of an earlier epoch is accepted."""
    original: Callable[..., Any] = TakeoverCore._find_replica

    def find_replica(
        self: TakeoverCore,
        now: int,
        sender: str,
        incarnation: int,
        request_id: bytes,
        epoch: int,
        session: int,
    ) -> Any:
        if (owned := self.owned.get(request_id)) is not None and owned.epoch > epoch:
            self._lose_ownership(now, owned, epoch)
            owned.epoch = 0
        return original(self, now, sender, incarnation, request_id, epoch, session)

    patch.setattr(TakeoverCore, "_find_replica", find_replica)


def alive_is_followed(patch: pytest.MonkeyPatch) -> None:
    """A keeper takes over from an owner that is alive."""
    patch.setattr(Leases, "standing", lambda self, *given: Standing.MINE)


def turned_away_and_kept(patch: pytest.MonkeyPatch) -> None:
    """A keeper that has rejected a replica stores it later."""
    original: Callable[..., Any] = TakeoverCore._reject_replica

    def reject_replica(
        self: TakeoverCore, now: int, sender: str, incarnation: int, request_id: bytes, epoch: int
    ) -> None:
        original(self, now, sender, incarnation, request_id, epoch)
        del self._rejected[request_id]

    patch.setattr(TakeoverCore, "_reject_replica", reject_replica)


def units_forgotten(patch: pytest.MonkeyPatch) -> None:
    """The new owner counts units again that have been counted."""

    class Forgetful(ResumeRequest):
        def __init__(self, record: Record, time_left: int, counted: bool, sent: bool) -> None:
            super().__init__(record, time_left, False, sent)

    patch.setattr(core, "ResumeRequest", Forgetful)


def unknown_run_again(patch: pytest.MonkeyPatch) -> None:
    """A request whose outcome is unknown is run again."""
    patch.setattr(TakeoverCore, "_terminal_answer", lambda self, now, owned: None)


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
def test_a_removed_guard_is_detected(
    monkeypatch: pytest.MonkeyPatch, fault: Callable[[pytest.MonkeyPatch], None], budget: Budget, lease: int
) -> None:
    fault(monkeypatch)
    found = stroll(world(budget, lease), 1, 20_000)
    assert found.why and found.trace


def nobody_coordinates(patch: pytest.MonkeyPatch) -> None:
    """Two instances may start the same request."""
    patch.setattr(StartGrants, "held_by_other", lambda self, now, request, asker: False)


def late_copies_are_kept(patch: pytest.MonkeyPatch) -> None:
    """A keeper stores a replica after another instance has started the request."""
    patch.setattr(StartGrants, "rejects_replica", lambda self, *given: False)


def under_way_says_nothing(patch: pytest.MonkeyPatch) -> None:
    """An earlier version: a holder sent nothing before its answer, and was awaited only as long as an ack."""
    patch.setattr(core, "PENDING", NONE)


@pytest.mark.parametrize("fault", [nobody_coordinates, late_copies_are_kept, under_way_says_nothing])
def test_a_removed_guard_for_keys_is_detected(
    monkeypatch: pytest.MonkeyPatch, fault: Callable[[pytest.MonkeyPatch], None]
) -> None:
    fault(monkeypatch)
    budget = Budget(doubled=1, deaths=1, ticks=8, last_tick=START + LEFT)
    found = stroll(world(budget, requests=("keyed",), ordered=True), 1, 20_000)
    assert "a key was run" in found.why
