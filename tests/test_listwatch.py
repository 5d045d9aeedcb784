"""List-then-watch: the actions after each answer of an endpoint, with times that the test sets."""

from random import Random

import pytest

from lynxreel.etcd.listwatch import (
    Alive,
    Change,
    Changes,
    Drop,
    Entry,
    Header,
    List,
    ListWatch,
    LogMessage,
    Phase,
    RequestProgress,
    Snapshot,
    Watch,
)

CLUSTER, OTHER_CLUSTER = 0xC1, 0xC2


def entry(key: str, revision: int) -> Entry:
    return Entry(key, key.encode(), revision)


def put(key: str, revision: int) -> Change:
    return Change(key, revision, entry(key, revision))


def kinds(actions: list) -> list[type]:  # type: ignore[type-arg]
    return [type(action) for action in actions]


def watching(endpoints: int = 1, revision: int = 10) -> ListWatch:
    """Return a ListWatch that has listed at a revision, and watches."""
    watcher = ListWatch(endpoints, Random(1))
    first = watcher.start(0.0)
    assert first == [List(watcher.endpoint)]
    listed = watcher.listed(0.0, Header(CLUSTER, watcher.endpoint + 1, revision), [entry("a", 3)])
    assert listed == [Snapshot(revision, [entry("a", 3)]), Watch(watcher.endpoint, revision + 1)]
    assert watcher.created(0.0, Header(CLUSTER, watcher.endpoint + 1, revision)) == [Alive()]
    return watcher


def after_delay(watcher: ListWatch) -> list:  # type: ignore[type-arg]
    """Return the actions at the end of the delay."""
    assert watcher.phase is Phase.RESTING
    return watcher.tick(watcher.due())


def test_changes_are_delivered_once_and_in_order() -> None:
    watcher = watching()
    assert watcher.changed(1.0, Header(CLUSTER, 1, 12), [put("a", 11), put("b", 12)], False) == [
        Changes(12, [put("a", 11), put("b", 12)])
    ]
    assert watcher.changed(1.0, Header(CLUSTER, 1, 12), [put("b", 12)], False) == [Alive()]


def test_a_split_revision_is_buffered_until_it_is_complete() -> None:
    watcher = watching()
    assert watcher.changed(1.0, Header(CLUSTER, 1, 11), [put("a", 11)], True) == [Alive()]
    assert watcher.progress(1.0, Header(CLUSTER, 1, 11)) == [Alive()]
    assert watcher.revision == 10  # a progress notification in between does not complete the revision
    assert watcher.changed(1.1, Header(CLUSTER, 1, 11), [put("b", 11)], False) == [
        Changes(11, [put("a", 11), put("b", 11)])
    ]


def test_a_stream_that_breaks_within_a_revision_is_reopened_before_it() -> None:
    watcher = watching()
    watcher.changed(1.0, Header(CLUSTER, 1, 11), [put("a", 11)], True)
    assert kinds(watcher.failed(1.0, "reset")) == [LogMessage, Drop]
    assert after_delay(watcher) == [Watch(0, 11)]
    assert watcher.created(2.0, Header(CLUSTER, 1, 11)) == [Alive()]
    assert watcher.changed(2.0, Header(CLUSTER, 1, 11), [put("a", 11), put("b", 11)], False) == [
        Changes(11, [put("a", 11), put("b", 11)])
    ]


def test_a_broken_stream_is_reopened_at_the_next_endpoint_without_a_list() -> None:
    watcher = watching(endpoints=3)
    first = watcher.endpoint
    assert kinds(watcher.failed(1.0, "reset")) == [LogMessage, Drop]
    assert after_delay(watcher) == [Watch((first + 1) % 3, 11)]


def test_after_a_compaction_all_is_listed_after_a_short_random_delay() -> None:
    watcher = watching()
    assert kinds(watcher.compacted(1.0, 40)) == [LogMessage]
    assert 1.0 <= watcher.due() <= 1.2
    assert after_delay(watcher) == [List(0)]


def test_a_silent_stream_is_asked_for_progress_and_then_dropped() -> None:
    watcher = watching(endpoints=2)
    assert watcher.tick(1.9) == []
    assert watcher.tick(2.0) == [RequestProgress()]
    assert watcher.tick(4.9) == []
    assert kinds(watcher.tick(5.0)) == [LogMessage, Drop]
    assert kinds(after_delay(watcher)) == [Watch]


def test_a_progress_notification_advances_the_revision() -> None:
    watcher = watching()
    assert watcher.tick(2.0) == [RequestProgress()]
    assert watcher.progress(2.1, Header(CLUSTER, 1, 400)) == [Alive()]
    assert watcher.tick(4.0) == []
    watcher.failed(4.0, "reset")
    assert after_delay(watcher) == [Watch(0, 401)]  # so a compaction in between needs no new list


def test_a_list_without_an_answer_is_dropped() -> None:
    watcher = ListWatch(1, Random(1))
    watcher.start(0.0)
    assert kinds(watcher.tick(3.0)) == [LogMessage, Drop]
    assert after_delay(watcher) == [List(0)]
    watcher.page(4.0)
    assert watcher.tick(6.9) == []  # a long list whose pages keep arriving does not time out


def test_retry_delays_grow_with_failures_and_reset_after_progress() -> None:
    watcher = watching()
    delays = []
    for _ in range(12):
        watcher.failed(0.0, "refused")
        delays.append(watcher.due())
        after_delay(watcher)
    assert max(delays[:2]) <= 0.1
    assert 0.2 < max(delays[6:]) <= 2.0
    watcher.created(9.0, Header(CLUSTER, 1, 10))
    watcher.progress(9.0, Header(CLUSTER, 1, 10))
    watcher.failed(9.0, "reset")
    assert watcher.due() <= 9.05


def test_retry_delays_of_a_fleet_are_spread() -> None:
    dues = set()
    for seed in range(20):
        watcher = ListWatch(1, Random(seed))
        watcher.start(0.0)
        watcher.failed(0.0, "refused")
        dues.add(round(watcher.due(), 4))
    assert len(dues) > 15


def test_a_stream_of_a_store_that_lags_behind_is_replaced_by_a_list() -> None:
    """It would stay open and silent until the store reaches the start revision, perhaps for an hour."""
    watcher = watching()
    watcher.failed(1.0, "reset")
    after_delay(watcher)
    assert kinds(watcher.created(1.1, Header(CLUSTER, 1, 7))) == [LogMessage, List]


def test_a_restored_backup_is_accepted_once_all_endpoints_conflict() -> None:
    watcher = watching(endpoints=2)
    watcher.failed(1.0, "reset")
    after_delay(watcher)
    first = watcher.endpoint
    watcher.created(1.1, Header(CLUSTER, 9, 7))
    assert kinds(watcher.listed(1.2, Header(CLUSTER, 9, 7), [entry("a", 3)])) == [LogMessage]
    assert after_delay(watcher) == [List(1 - first)]
    assert kinds(watcher.listed(3.0, Header(CLUSTER, 8, 7), [entry("a", 3)])) == [LogMessage]
    assert after_delay(watcher) == [List(first)]
    actions = watcher.listed(5.0, Header(CLUSTER, 9, 7), [entry("a", 3)])
    assert kinds(actions) == [LogMessage, Snapshot, Watch]
    assert actions[2] == Watch(first, 8)


def test_if_endpoints_disagree_the_one_that_continues_is_accepted() -> None:
    watcher = watching(endpoints=2, revision=100)
    watcher.failed(1.0, "reset")
    after_delay(watcher)
    conflicting = watcher.endpoint
    watcher.created(1.1, Header(OTHER_CLUSTER, 9, 500))
    assert kinds(watcher.listed(1.2, Header(OTHER_CLUSTER, 9, 500), [])) == [LogMessage]
    assert after_delay(watcher) == [List(1 - conflicting)]
    actions = watcher.listed(3.0, Header(CLUSTER, 2, 120), [entry("a", 3)])
    assert kinds(actions) == [LogMessage, Snapshot, Watch]
    assert watcher.revision == 120


def test_an_endpoint_of_another_cluster_is_accepted_only_after_the_conflict_timeout() -> None:
    watcher, now = watching(endpoints=2, revision=100), 1.0
    right, accepted_at = watcher.endpoint, 0.0
    while not accepted_at:
        assert now < 60.0
        now = max(now, watcher.due())
        for action in watcher.tick(now):
            if isinstance(action, List | Watch) and action.endpoint == right:
                watcher.failed(now, "refused")
            elif isinstance(action, Watch):
                assert kinds(watcher.created(now, Header(OTHER_CLUSTER, 9, 500))) == [LogMessage, List]
            if isinstance(action, List) and action.endpoint != right or watcher.phase is Phase.LISTING:
                actions = watcher.listed(now, Header(OTHER_CLUSTER, 9, 500), [])
                accepted_at = now if Snapshot in kinds(actions) else 0.0
            elif isinstance(action, RequestProgress):
                watcher.failed(now, "reset")
    assert 30.0 <= accepted_at < 40.0


def test_another_member_at_an_endpoint_causes_a_new_list() -> None:
    watcher = watching()
    watcher.failed(1.0, "reset")
    after_delay(watcher)
    assert kinds(watcher.created(1.1, Header(CLUSTER, 77, 10))) == [LogMessage, List]
    assert kinds(watcher.listed(1.2, Header(CLUSTER, 77, 10), [])) == [Snapshot, Watch]
    assert watcher.created(1.3, Header(CLUSTER, 77, 10)) == [Alive()]


def test_a_revision_that_goes_backwards_within_a_stream_causes_a_new_list() -> None:
    for event in ("changed", "progress"):
        watcher = watching()
        header = Header(CLUSTER, 1, 9)
        actions = (
            watcher.progress(1.0, header)
            if event == "progress"
            else watcher.changed(1.0, header, [put("a", 9)], False)
        )
        assert kinds(actions) == [LogMessage, List]


def first_watch_after(seconds: list[float], pages: int = 1) -> float:
    """Return when a list has come and its stream is open; endpoint n answers after `seconds[n]`."""
    watcher, now = ListWatch(len(seconds), Random(3)), 0.0
    pending = list(watcher.start(now))
    answers_at, pages_left = 0.0, pages
    while watcher.phase is not Phase.WATCHING:
        for action in pending:
            if isinstance(action, List | Watch):
                answers_at, pages_left = now + seconds[action.endpoint], pages
            elif isinstance(action, Drop):
                answers_at = 1e9
        now = min(answers_at, watcher.due())
        assert now < 600.0
        if now < answers_at:
            pending = watcher.tick(now)
        elif watcher.phase is Phase.OPENING:
            pending = watcher.created(now, Header(CLUSTER, watcher.endpoint + 1, 10))
        elif pages_left > 1:
            watcher.page(now)
            answers_at, pages_left, pending = now + seconds[watcher.endpoint], pages_left - 1, []
        else:
            pending = watcher.listed(now, Header(CLUSTER, watcher.endpoint + 1, 10), [entry("a", 3)])
    return now


# Guards against requests that are given up after a fixed time, for ever, where etcd is steadily slower.
@pytest.mark.parametrize("endpoints", [1, 3])
@pytest.mark.parametrize("seconds", [2.9, 3.5, 8.0, 25.0])
def test_a_cluster_that_is_slower_than_the_timeout_is_listed_and_watched(
    seconds: float, endpoints: int
) -> None:
    given_up = sum(3.0 * 2**n + 1.5 for n in range(4) if 3.0 * 2**n <= seconds) * endpoints
    assert first_watch_after([seconds] * endpoints, pages=3) <= given_up + 4 * seconds


def test_the_timeout_of_a_dead_endpoint_does_not_grow_while_another_answers() -> None:
    watcher, now = watching(endpoints=2), 0.0
    dead = 1 - watcher.endpoint
    for _ in range(5):
        assert kinds(watcher.failed(now, "reset")) == [LogMessage, Drop]
        now = watcher.due()
        assert watcher.tick(now) == [Watch(dead, 11)]
        assert watcher.due() == pytest.approx(now + 3.0)
        now = watcher.due()
        assert kinds(watcher.tick(now)) == [LogMessage, Drop]
        now = watcher.due()
        assert watcher.tick(now) == [Watch(1 - dead, 11)]
        assert watcher.created(now, Header(CLUSTER, 2 - dead, 10)) == [Alive()]


def test_the_timeout_shrinks_once_answers_come_fast_again() -> None:
    watcher = ListWatch(1, Random(1))
    watcher.start(0.0)
    watcher.tick(3.0)
    now = watcher.due()
    watcher.tick(now)
    assert watcher.due() == pytest.approx(now + 6.0)
    watcher.page(now + 4.0)
    assert watcher.due() == pytest.approx(now + 12.0)  # twice as long as the last answer took
    watcher.page(now + 4.1)
    assert watcher.due() == pytest.approx(now + 7.1)
