"""Tests of the list of boxes as a source reports it: what is published, what is held, and until when."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lynxreel.membership.core import Action, Box, Guards, Membership, Publish, GuardMessage
from mothgap.interface import State

GUARDS = Guards(
    max_removed=0.5, removed_within=60.0, max_flaps=4, flap_window=60.0, steady_for=30.0, silent_after=10.0
)


def box(number: int, state: State = State.READY, port: int = 0) -> Box:
    return Box(f"b{number}", ("10.0.0.1", port or 1_000 + number), state)


def boxes(count: int) -> list[Box]:
    return [box(number) for number in range(count)]


def started(count: int = 6) -> Membership:
    membership = Membership(GUARDS, 0.0)
    (publish,) = membership.apply_full_list(0.0, 1, boxes(count))
    assert publish == Publish(1, tuple(boxes(count)), ())
    return membership


def guards(actions: list[Action]) -> list[str]:
    return [action.guard for action in actions if isinstance(action, GuardMessage)]


def published(actions: list[Action]) -> tuple[list[str], list[str]]:
    """Return the ids that changed, and those that were removed."""
    found = [action for action in actions if isinstance(action, Publish)]
    return [b.id for p in found for b in p.changed], [number for p in found for number in p.removed]


def test_a_change_publishes_the_differences_and_an_old_one_nothing() -> None:
    membership = started()
    assert published(membership.apply_change(1.0, 2, [box(1, State.DRAINING), box(2)], ["b3"])) == (
        ["b1"],
        ["b3"],
    )
    assert membership.apply_change(2.0, 2, [box(1)], []) == []
    assert membership.apply_change(2.0, 1, [], ["b2"]) == []


def test_a_box_deleted_and_put_at_another_address_in_one_change_is_one_box_there() -> None:
    membership = started()
    actions = membership.apply_change(1.0, 2, [box(1, port=7)], ["b1"])
    assert actions == [Publish(2, (box(1, port=7),), ())]


def test_a_change_that_would_empty_the_pool_waits_for_approval() -> None:
    membership = started()
    actions = membership.apply_full_list(1.0, 2, [])
    assert guards(actions) == ["held"] and published(actions) == ([], [])
    assert "no box of 6" in membership.held
    assert len(membership.known) == 6
    actions = membership.approve(2.0)
    assert guards(actions) == ["approved"]
    assert published(actions)[1] == [f"b{number}" for number in range(6)]
    assert membership.approve(3.0) == []


def test_draining_all_counts_like_removing_all() -> None:
    membership = started()
    assert guards(
        membership.apply_full_list(1.0, 2, [replace(b, state=State.DRAINING) for b in boxes(6)])
    ) == ["held"]


def test_a_held_change_is_applied_once_it_removes_less() -> None:
    membership = started()
    membership.apply_full_list(1.0, 2, [])
    actions = membership.apply_full_list(2.0, 3, [*boxes(5), box(9)])
    assert guards(actions) == ["released"]
    assert published(actions) == (["b9"], ["b5"])


def test_small_steps_add_up_to_the_limit_and_expire_with_time() -> None:
    membership = started()
    steps = [guards(membership.apply_change(float(n), n + 2, [], [f"b{n}"])) for n in range(4)]
    assert steps == [[], [], [], ["held"]]
    assert len(membership.known) == 3
    assert published(membership.apply_change(70.0, 9, [box(7)], []))[1] == ["b3"]


def test_a_rolling_restart_is_never_held() -> None:
    core = Membership(GUARDS, 0.0)
    all_boxes = boxes(12)
    core.apply_full_list(0.0, 1, all_boxes)
    for number, box in enumerate(all_boxes):
        drained = core.apply_change(number, 2 + 2 * number, [replace(box, state=State.DRAINING)], [])
        assert isinstance(drained[-1], Publish)
        core.apply_change(number + 0.5, 3 + 2 * number, [box], [])
    assert core.held == ""


def test_the_only_box_can_be_replaced_but_not_removed() -> None:
    membership = started(1)
    assert published(membership.apply_full_list(1.0, 2, [box(5)])) == (["b5"], ["b0"])
    assert guards(membership.apply_full_list(2.0, 3, [])) == ["held"]


def test_an_address_under_two_ids_stays_with_the_first_and_other_boxes_are_published() -> None:
    membership = started()
    actions = membership.apply_change(1.0, 2, [Box("new", ("10.0.0.1", 1_002)), box(8)], [])
    assert guards(actions) == ["twice"] and published(actions) == (["b8"], [])
    assert guards(membership.apply_change(2.0, 3, [box(9)], [])) == []  # logged once
    actions = membership.apply_change(3.0, 4, [], ["b2"])
    assert published(actions) == (["new"], ["b2"])


def test_a_flapping_box_is_kept_draining_until_it_is_steady() -> None:
    membership = started()
    for step in range(5):
        state = State.DRAINING if step % 2 == 0 else State.READY
        actions = membership.apply_change(1.0 + step, 2 + step, [box(1, state)], [])
    actions = membership.apply_change(6.0, 7, [box(1)], [])
    assert published(actions) == ([], [])  # it was draining, and is kept so
    assert membership.due() == 16.0  # the source counts as silent then
    membership.source_alive(30.0)
    assert membership.due() == 36.0
    actions = membership.tick(36.0)
    assert guards(actions) == ["steady"]
    assert published(actions) == (["b1"], [])
    assert membership.known["b1"].state is State.READY


def test_a_silent_source_changes_nothing_and_is_logged_once() -> None:
    membership = started()
    membership.apply_change(1.0, 2, [box(1, State.DRAINING)], [])
    assert guards(membership.tick(10.9)) == []
    assert guards(membership.tick(11.0)) == ["silent"]
    assert membership.tick(50.0) == []
    assert membership.known["b1"].state is State.DRAINING
    assert guards(membership.source_alive(60.0)) == ["silent"]


def test_the_list_of_a_restored_source_is_accepted() -> None:
    membership = started()
    membership.apply_change(1.0, 8, [box(7)], [])
    actions = membership.apply_full_list(2.0, 3, boxes(6))
    assert guards(actions) == ["backwards"] and published(actions) == ([], ["b7"])
    assert membership.apply_change(3.0, 4, [box(8)], []) != []


CHANGE = st.tuples(
    st.lists(st.tuples(st.integers(0, 7), st.sampled_from([State.READY, State.DRAINING])), max_size=4),
    st.lists(st.integers(0, 7), max_size=4),
    st.floats(0.1, 40.0),
)


@given(st.lists(CHANGE, max_size=30))
def test_without_approval_the_pool_is_never_emptied_and_published_changes_add_up_to_the_list(
    changes: list[tuple[list[tuple[int, State]], list[int], float]],
) -> None:
    membership, engine, now = started(), {b.id: b for b in boxes(6)}, 0.0
    for revision, (put, gone, wait) in enumerate(changes, 2):
        now += wait
        actions = membership.tick(now)
        actions += membership.apply_change(
            now, revision, [box(n, s) for n, s in put], [f"b{n}" for n in gone]
        )
        for action in actions:
            if isinstance(action, Publish):
                for number in action.removed:
                    del engine[number]
                engine.update((b.id, b) for b in action.changed)
        assert engine == membership.known
        assert any(b.state is State.READY for b in engine.values())
        assert len({b.address for b in engine.values()}) == len(engine)
