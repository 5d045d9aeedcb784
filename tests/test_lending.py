"""Parts of ceilings that gateways lend each other: never more in sum than the ceiling."""

import random
from dataclasses import replace

import pytest

from mothgap.interface import (
    Action,
    Cause,
    Expired,
    ListKind,
    Members,
    PeerMessage,
    Plan,
    Refuse,
    Send,
    State,
    Tell,
)
from mothgap.lending import LIFE, MOST_OUT, Ask, Give, Questions, held_back, read, write
from tests.gateways import Gateways, Ledger
from tests.helpers import CUSTOMER, MS, SECOND, SETTINGS, START

FLEET = 12
PLAN = Plan(rate=50.0, burst=200.0, ceiling_rate=20.0, ceiling_burst=48.0, ceiling_slack=4.8)
LENT = replace(
    SETTINGS, plans=(PLAN,), fleet_size=FLEET, units_top=2.0, limits=replace(SETTINGS.limits, peers=True)
)
ASKED = Ask(CUSTOMER, 0, 3.0, 0, FLEET, 0)


def call(units: float = 1.0) -> dict[str, object]:
    fields: dict[str, object] = {"cls": 0, "plan": 0, "customer": CUSTOMER, "units": units}
    return fields | {"time_left": 3 * SECOND, "entry_points": FLEET, "first_entry": 0}


def played(fleet: Gateways, seconds: float, a_second: float, skew: float, restarts: float = 0.0) -> Ledger:
    """A customer that asks for much, unevenly; its ledger, and every request with its one answer."""
    plan, chance = fleet.settings.plans[0], fleet.rng
    ledger = Ledger(plan.ceiling_rate, plan.ceiling_burst, START)
    answered: list[int] = []
    units: dict[int, float] = {}

    def on(gateway: int, action: Action) -> None:
        if isinstance(action, Send):
            ledger.take(units[action.request], fleet.now)
        if isinstance(action, Send | Refuse):
            answered.append(action.request)

    fleet.on_action = on
    number = 0
    while fleet.now < START + seconds * SECOND:
        fleet.run(fleet.now + int(chance.expovariate(a_second) * SECOND) + 1)
        number += 1
        cost = float(chance.choice((1, 2)))
        units[number] = cost
        assert fleet.request(int(chance.random() ** skew * FLEET), **call(cost)) == number
        if restarts and chance.random() < restarts / a_second:
            fleet.restart(chance.randrange(FLEET))
    fleet.run(fleet.now + 5 * SECOND)
    assert len(answered) == len(set(answered))
    if not restarts:
        assert len(answered) == number
    return ledger


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("longest", [LIFE // 2, 3 * LIFE])
def test_the_ceiling_holds_while_messages_are_late_lost_and_doubled(longest: int, seed: int) -> None:
    fleet = Gateways(LENT, seed, network_delay=(1 * MS, longest), loss_rate=0.1, duplicate_rate=0.3)
    ledger = played(fleet, 20, 60.0, 2.0)
    assert fleet.messages > (1_000 if longest < LIFE else 200)
    assert ledger.min_level >= -PLAN.ceiling_slack
    fair = played(Gateways(replace(LENT, limits=SETTINGS.limits), seed), 20, 60.0, 2.0)
    # What is given in vain is lost; hence few are asked in vain.
    assert ledger.total_units > 0.7 * fair.total_units


@pytest.mark.parametrize("seed", range(4))
def test_the_ceiling_holds_while_gateways_die_and_come_back(seed: int) -> None:
    fleet = Gateways(LENT, seed, network_delay=(1 * MS, 2 * LIFE), loss_rate=0.05, duplicate_rate=0.2)
    ledger = played(fleet, 20, 60.0, 2.0, restarts=2.0)
    assert ledger.min_level >= -PLAN.ceiling_slack


def test_what_is_asked_inside_the_ceiling_passes_however_uneven_it_is() -> None:
    def passed(peers: bool) -> float:
        limits = replace(LENT.limits, peers=peers)
        ledger = played(Gateways(replace(LENT, limits=limits), 3, loss_rate=0.05), 30, 10.0, 3.0)
        return ledger.total_units / 30

    alone, lent = passed(False), passed(True)
    assert alone < 11.0  # of some 15 units a second, where 20 are allowed
    assert lent > 13.5


def test_without_slack_so_much_is_held_back_that_late_answers_fit() -> None:
    assert held_back(PLAN) == 0.0
    tight = replace(PLAN, ceiling_slack=0.0)
    assert held_back(tight) == pytest.approx(tight.ceiling_rate * LIFE / SECOND)
    for seed in range(4):
        fleet = Gateways(replace(LENT, plans=(tight,)), seed, network_delay=(1 * MS, LIFE))
        assert played(fleet, 20, 60.0, 2.0).min_level >= -1e-6


def test_messages_are_read_as_written_and_units_only_rounded_down() -> None:
    assert read(write(ASKED)) == ASKED
    for units in (0.0, 0.3, 1.9996, 7.0):
        give = read(write(Give(CUSTOMER, 9, units)))
        assert isinstance(give, Give)
        assert units - 0.001 <= give.units <= units
    assert len(write(ASKED)) <= 256


def test_what_is_torn_or_strange_is_no_message() -> None:
    whole = [write(ASKED), write(Give(CUSTOMER, 9, 1.0))]
    for data in whole:
        assert all(read(data[:size]) is None for size in range(len(data)))
        assert read(data + b"x") is None
        assert read(bytes((data[0] + 1,)) + data[1:]) is None
        assert read(data[:1] + b"\x07" + data[2:]) is None
    noise = random.Random(4)
    assert all(read(noise.randbytes(noise.randrange(40))) is None for _ in range(2_000))


def test_an_answer_counts_once_from_whom_was_asked_and_soon() -> None:
    questions = Questions(2, random.Random(1))
    tells = [questions.ask(ASKED, FLEET, START) for _ in range(4)]
    asked = []
    for tell in tells:
        assert tell is not None and tell.to is not None
        question = read(tell.data)
        assert isinstance(question, Ask) and question.units == 3.0
        asked.append((tell.to, question.number))
    (to, number), (other, second), (_, third), _ = asked
    assert questions.answered(Give(CUSTOMER, number, 2.0), to + 1, START) is None  # another gateway
    assert questions.answered(Give(CUSTOMER + 1, number, 2.0), to, START) is None  # another customer
    assert questions.answered(Give(CUSTOMER, 12345, 2.0), to, START) is None  # nobody asked
    assert questions.answered(Give(CUSTOMER, number, 2.0), to, START + LIFE) == 2.0
    assert questions.answered(Give(CUSTOMER, number, 2.0), to, START) is None  # once more
    assert questions.answered(Give(CUSTOMER, second, 9.0), other, START) == 3.0  # more than was wanted
    assert questions.out(CUSTOMER, START) == 2
    assert questions.answered(Give(CUSTOMER, third, 1.0), asked[2][0], START + LIFE + 1) is None
    assert questions.out(CUSTOMER, START + LIFE) == 2
    assert questions.out(CUSTOMER, START + LIFE + 1) == 0


def test_all_others_of_the_set_are_asked_and_no_one_else() -> None:
    for index in (0, 5, 11):
        questions, seen = Questions(index, random.Random(index)), set()
        for _ in range(400):
            tell = questions.ask(replace(ASKED, spread=4, first=10), FLEET, START)
            assert tell is not None
            seen.add(tell.to)
        assert seen == {10, 11, 0, 1} - {index}
    assert Questions(3, random.Random(1)).ask(replace(ASKED, spread=1, first=3), FLEET, START) is None


def test_questions_that_nobody_answers_are_forgotten() -> None:
    questions = Questions(0, random.Random(1))
    for number in range(2 * MOST_OUT):
        questions.ask(replace(ASKED, customer=number), FLEET, START)
    assert len(questions._out) == MOST_OUT
    assert len(questions._hoped) == MOST_OUT


def asked_by(sender: int, **fields: int | float) -> list[Action]:
    """What gateway 1, which has saved up its whole part, does about a question."""
    fleet = Gateways(LENT, 1)
    fleet.now += 60 * SECOND
    ask = replace(ASKED, number=5, **fields)  # type: ignore[arg-type]
    return fleet.gateways[1].handle(fleet.now, PeerMessage(sender, write(ask)))


def given(actions: list[Action]) -> float:
    (tell,) = actions
    assert isinstance(tell, Tell) and tell.to == 4
    give = read(tell.data)
    assert isinstance(give, Give) and give.number == 5
    return give.units


def test_a_gateway_lends_what_it_has_to_those_of_the_set_alone() -> None:
    assert given(asked_by(4)) == 3.0
    assert given(asked_by(4, units=9.0)) == 4.0  # 48 units shared by 12
    for sender in (1, 99):
        assert asked_by(sender) == []
    for odd in ({"spread": 3}, {"spread": 0}, {"spread": 999}, {"plan": 7}, {"first": 60_000, "spread": 2}):
        assert asked_by(4, **odd) == []


def test_a_gateway_keeps_half_for_a_customer_that_is_here_and_lends_no_unit_twice() -> None:
    fleet = Gateways(LENT, 1)
    fleet.now += 60 * SECOND
    fleet.request(1, **call())
    units = []
    for number in range(3):
        ask = write(replace(ASKED, number=number, units=9.0))
        (tell,) = (a for a in fleet.gateways[1].handle(fleet.now, PeerMessage(4, ask)) if isinstance(a, Tell))
        give = read(tell.data)
        assert isinstance(give, Give)
        units.append(give.units)
    assert units == [2.0, 1.0, 0.5]


def test_a_request_is_refused_as_soon_as_no_gateway_has_anything() -> None:
    fleet = Gateways(LENT, 1)
    refused: list[int] = []

    def on(_: int, action: Action) -> None:
        if isinstance(action, Refuse):
            assert action.cause is Cause.CEILING
            refused.append(fleet.now)

    fleet.on_action = on
    fleet.request(0, **call(2.0))
    fleet.run(START + LIFE - 1)
    assert refused or fleet.gateways[0]._questions.out(CUSTOMER, fleet.now)
    fleet.run(START + SECOND)
    assert len(refused) == 1
    assert refused[0] <= START + 200 * MS


def test_a_request_that_waits_for_a_loan_goes_to_no_server_that_left_meanwhile() -> None:
    fleet = Gateways(LENT, 1, servers=2, network_delay=(20 * MS, 20 * MS))
    fleet.run(START + 3 * SECOND)  # parts have been saved up
    sent: list[tuple[int, str]] = []
    fleet.on_action = lambda gateway, action: (
        sent.append((action.request, action.server)) if isinstance(action, Send) else None
    )
    waiting = [fleet.request(0, **call(2.0)) for _ in range(6)]
    fleet.run(fleet.now + 10 * MS)
    before = {request for request, _ in sent}
    assert len(before) < len(waiting)
    leaving = replace(fleet.lines[0], state=State.DRAINING)
    fleet.gateways[0].handle(fleet.now, Members(ListKind.CHANGES, 2, (leaving,)))
    fleet.run(fleet.now + SECOND)
    later = [server for request, server in sent if request not in before]
    assert later and set(later) == {fleet.lines[1].server}


def test_a_request_whose_client_leaves_while_it_waits_takes_nothing() -> None:
    fleet = Gateways(LENT, 1, network_delay=(90 * MS, 90 * MS))
    sent: list[Action] = []
    fleet.on_action = lambda _, action: sent.append(action) if isinstance(action, Send) else None
    request = fleet.request(0, **call(2.0))
    fleet.run(START + 20 * MS)
    waiting = fleet.gateways[0]._customers[CUSTOMER].waiting
    assert [job.request.id for job in waiting] == [request]
    fleet.feed(0, Expired(request))
    assert not waiting
    fleet.run(START + SECOND)
    assert sent == []


def test_a_fleet_that_may_not_talk_says_nothing() -> None:
    fleet = Gateways(replace(LENT, limits=replace(LENT.limits, peers=False)), 1)
    played(fleet, 5, 40.0, 2.0)
    assert fleet.messages == 0


def test_any_bytes_from_any_gateway_do_no_harm() -> None:
    fleet, noise = Gateways(LENT, 1), random.Random(7)
    whole = write(ASKED)
    for _ in range(3_000):
        data = bytearray(whole if noise.random() < 0.7 else write(Give(CUSTOMER, 3, 9.0)))
        for _ in range(noise.randrange(4)):
            data[noise.randrange(2, len(data))] = noise.randrange(256)
        actions = fleet.gateways[0].handle(fleet.now, PeerMessage(noise.randrange(20), bytes(data)))
        assert all(isinstance(action, Tell) for action in actions)
    known = fleet.gateways[0]._customers.get(CUSTOMER)
    assert known is None or known.ceiling_units <= known.ceiling_capacity


def test_that_nobody_has_anything_is_told_when_the_last_answer_is_here() -> None:
    fleet = Gateways(LENT, 1, network_delay=(1 * MS, 1 * MS))
    refused: list[int] = []
    fleet.on_action = lambda _, action: refused.append(fleet.now) if isinstance(action, Refuse) else None
    fleet.request(0, **call(2.0))
    fleet.run(START + SECOND)
    assert len(refused) == 1
    assert refused[0] <= START + 20 * MS


def test_a_request_larger_than_any_part_passes_with_what_others_give() -> None:
    small = replace(PLAN, ceiling_burst=18.0, ceiling_slack=6.0)
    fleet = Gateways(replace(LENT, plans=(small,)), 1)
    fleet.now += 60 * SECOND
    sent: list[Action] = []
    fleet.on_action = lambda _, action: sent.append(action) if isinstance(action, Send) else None
    fleet.request(0, **call(2.0))  # a part is 1.5
    fleet.run(fleet.now + SECOND)
    assert len(sent) == 1
    assert fleet.gateways[0]._customers[CUSTOMER].ceiling_units <= 1.5


def test_a_part_that_runs_low_is_added_to_before_it_is_wanted() -> None:
    fleet = Gateways(LENT, 1)
    fleet.now += 60 * SECOND
    fleet.request(0, **call(1.0))
    fleet.run(fleet.now + 20 * MS)
    assert fleet.messages == 0  # 3 of 4 are left
    fleet.request(0, **call(2.0))
    fleet.run(fleet.now + SECOND)
    assert fleet.messages == 2
    assert fleet.gateways[0]._customers[CUSTOMER].ceiling_units == pytest.approx(4.0)


def test_a_customer_whose_part_has_just_been_lent_is_not_let_go_of() -> None:
    fleet = Gateways(LENT, 1)
    fleet.run(START + 60 * SECOND)
    fleet.request(1, **call())
    fleet.run(START + 100 * SECOND)  # refilled, and long unheard of
    ask = write(replace(ASKED, units=9.0))
    fleet.gateways[1].handle(fleet.now, PeerMessage(4, ask))
    for customer in range(1_000, 1_100):
        fleet.request(1, **call() | {"customer": customer})
    (tell,) = fleet.gateways[1].handle(fleet.now, PeerMessage(4, ask))
    assert isinstance(tell, Tell)
    give = read(tell.data)
    assert isinstance(give, Give) and give.units < 0.1


def test_what_several_gateways_give_adds_up_for_a_request_that_waits() -> None:
    small = replace(PLAN, ceiling_burst=12.0, ceiling_slack=6.0)
    fleet = Gateways(replace(LENT, plans=(small,)), 2, network_delay=(1 * MS, 5 * MS))
    fleet.now += 60 * SECOND
    for number in range(1, FLEET):
        fleet.gateways[number].handle(fleet.now, PeerMessage(0, write(replace(ASKED, units=0.6))))
    sent: list[Action] = []
    fleet.on_action = lambda _, action: sent.append(action) if isinstance(action, Send) else None
    fleet.request(0, **call(2.0))  # a part is 1, and nobody has more than 0.4 left
    fleet.run(fleet.now + SECOND)
    assert len(sent) == 1


def test_customers_with_a_ceiling_are_let_go_of_in_the_end() -> None:
    fleet = Gateways(LENT, 1)
    for customer in range(500):
        fleet.request(0, **call() | {"customer": customer})
    fleet.run(START + 300 * SECOND)
    for customer in range(500, 800):
        fleet.request(0, **call() | {"customer": customer})
    assert len(fleet.gateways[0]._customers) < 400
