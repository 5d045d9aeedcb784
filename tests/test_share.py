"""Parts of ceilings that gateways hand back and take over: all parts together never exceed the ceiling."""

import random
from dataclasses import replace

from mothgap import Gateway
from mothgap.interface import (
    Action,
    Count,
    Counted,
    Counter,
    Effect,
    ListKind,
    Member,
    Members,
    Outcome,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    Settings,
    Share,
    State,
)

RATE, BURST, SECOND = 10.0, 20.0, 1_000_000
SETTINGS = Settings(
    classes=(RequestClass(Effect.REPEATABLE, aim=800_000, deadline=2_000_000, worth=1.0),),
    plans=(Plan(ceiling_rate=RATE, ceiling_burst=BURST),),
)


class GatewayUnderTest:
    """A gateway, and a customer that sends it requests of one unit each."""

    def __init__(self, seed: int = 1, settings: Settings = SETTINGS) -> None:
        self.gateway = Gateway(settings, seed, 0)
        self.gateway.handle(0, Members(ListKind.FULL, 1, (Member("box-1", State.READY),)))
        self.actions: list[Action] = []
        self._id = 0

    def request(self, now: int, spread: int = 1, customer: int = 77) -> None:
        """Send one request at this time."""
        self._id += 1
        request = Request(self._id, 0, 0, customer, 1.0, 1_500_000, spread, 0, False)
        self.actions = self.gateway.handle(now, request)

    def passes(self, now: int, spread: int = 1) -> bool:
        """Whether one request at this time is sent on."""
        self.request(now, spread)
        sent = [action for action in self.actions if isinstance(action, Send)]
        assert sent or any(isinstance(action, Refuse) for action in self.actions)
        if sent:
            self.gateway.handle(now, Outcome(self._id, 0, "box-1", Result.OK, 1, True))
        return bool(sent)

    def send_all(self, now: int, spread: int = 1) -> int:
        """The number of requests that pass at once."""
        count = 0
        while self.passes(now, spread):
            count += 1
        return count


def test_a_gateway_starts_with_its_whole_share() -> None:
    subject = GatewayUnderTest()
    assert subject.send_all(SECOND) == 10, "it starts empty and is refilled"
    assert subject.send_all(60 * SECOND) == 20


def test_a_part_that_is_handed_back_takes_its_saved_units_along() -> None:
    subject = GatewayUnderTest()
    assert subject.send_all(SECOND) == 10
    subject.gateway.handle(61 * SECOND, Share(0.5))
    assert subject.send_all(61 * SECOND) == 10, "half of the 20 units saved up"
    assert subject.send_all(62 * SECOND) == 5, "half of the rate from then on"
    subject.gateway.handle(100 * SECOND, Share(0.0))
    assert subject.send_all(200 * SECOND) == 0
    subject.gateway.handle(300 * SECOND, Share(1.0))
    assert subject.send_all(300 * SECOND) == 0, "a part that is taken over starts empty"
    assert subject.send_all(301 * SECOND) == 10


def test_a_part_is_handed_back_though_the_customer_sends_no_request_meanwhile() -> None:
    for drained in (False, True):
        subject = GatewayUnderTest()
        subject.passes(60 * SECOND)
        if drained:
            subject.send_all(60 * SECOND)
        subject.gateway.handle(120 * SECOND, Share(0.0))
        subject.gateway.handle(120 * SECOND, Share(1.0))
        assert subject.send_all(120 * SECOND) == 0


def test_a_part_holds_no_more_than_that_part_of_the_burst() -> None:
    subject = GatewayUnderTest()
    subject.passes(0)
    subject.gateway.handle(SECOND, Share(0.5))
    assert subject.send_all(100 * SECOND) == 10


def test_a_larger_part_starts_from_the_units_that_are_there() -> None:
    subject = GatewayUnderTest()
    subject.send_all(SECOND)
    subject.gateway.handle(2 * SECOND, Share(2.0))
    assert subject.send_all(2 * SECOND) == 10, "refilled in the second before, at the old part"
    assert subject.send_all(3 * SECOND) == 20


def test_a_new_customer_gets_no_units_from_before_a_part_was_taken_over() -> None:
    subject = GatewayUnderTest()
    subject.gateway.handle(40 * SECOND, Share(0.0))
    subject.gateway.handle(50 * SECOND, Share(1.0))
    assert subject.send_all(50 * SECOND) == 0
    assert subject.send_all(51 * SECOND) == 10


def test_a_customer_that_moved_here_while_the_counter_is_unavailable_starts_with_no_units() -> None:
    """All was handed back shortly before, so others may have served it; the counter is unavailable."""
    quota = replace(SETTINGS, plans=(Plan(rate=RATE, burst=BURST),), counter=Counter(time_limit=50_000))
    for moved in (False, True):
        subject = GatewayUnderTest(settings=quota)
        for n in range(3):
            subject.request(n * SECOND, customer=5)
            failed = [a for a in subject.actions if isinstance(a, Count)][-1]
            subject.gateway.handle(n * SECOND + 1, Counted(failed.name, Result.CONNECT_FAILED, 1, 0.0))
        if moved:
            subject.gateway.handle(4 * SECOND, Share(0.0))
            subject.gateway.handle(4 * SECOND, Share(1.0))
        assert subject.send_all(5 * SECOND) == (0 if moved else 20)
        assert subject.send_all(6 * SECOND) == 10, "refilled at the usual rate"


def test_parts_that_move_between_gateways_never_exceed_the_whole_ceiling() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        gateways = [GatewayUnderTest(seed + n) for n in range(4)]
        parts = [1.0] * 4
        now, passed = 0, list[int]()
        for _ in range(3_000):
            now += rng.randrange(20_000)
            number = rng.randrange(4)
            if rng.random() < 0.02:  # a gateway hands a part back; another takes it over only then
                part, other = rng.random() * parts[number], rng.randrange(4)
                parts[number] -= part
                gateways[number].gateway.handle(now, Share(parts[number]))
                parts[other] += part
                gateways[other].gateway.handle(now, Share(parts[other]))
            elif gateways[number].passes(now, spread=4):
                passed.append(now)
        assert len(passed) > 200
        first = 0
        for n, at in enumerate(passed):
            while passed[first] < at - SECOND:
                first += 1
            assert n - first + 1 <= BURST + RATE + 1e-6, f"seed {seed}: too many within a second"
        assert len(passed) <= BURST + RATE * now / SECOND
