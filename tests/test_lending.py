"""Gateways lend each other shares of ceilings: in sum never more than the ceiling."""

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
from mothgap.lending import (
    MAX_PENDING,
    REPLY_TIMEOUT,
    LoanReply,
    LoanRequest,
    PendingLoans,
    decode,
    encode,
    reserved_units,
)
from tests.gateways import Gateways, Ledger
from tests.helpers import CUSTOMER, MS, SECOND, SETTINGS, START

FLEET = 12
PLAN = Plan(rate=50.0, burst=200.0, ceiling_rate=20.0, ceiling_burst=48.0, ceiling_slack=4.8)
LENT = replace(
    SETTINGS, plans=(PLAN,), fleet_size=FLEET, units_top=2.0, limits=replace(SETTINGS.limits, peers=True)
)
ASKED = LoanRequest(CUSTOMER, 0, 3.0, 0, FLEET, 0)


def request_fields(units: float = 1.0) -> dict[str, object]:
    fields: dict[str, object] = {"cls": 0, "plan": 0, "customer": CUSTOMER, "units": units}
    return fields | {"time_left": 3 * SECOND, "entry_points": FLEET, "first_entry": 0}


def run_traffic(fleet: Gateways, seconds: float, rate: float, skew: float, restarts: float = 0.0) -> Ledger:
    """Run requests of one customer, spread unevenly, and check their answers; returns its ledger."""
    plan, rng = fleet.settings.plans[0], fleet.rng
    ledger = Ledger(plan.ceiling_rate, plan.ceiling_burst, START)
    answered: list[int] = []
    units: dict[int, float] = {}

    def record(gateway: int, action: Action) -> None:
        if isinstance(action, Send):
            ledger.take(units[action.request], fleet.now)
        if isinstance(action, Send | Refuse):
            answered.append(action.request)

    fleet.on_action = record
    number = 0
    while fleet.now < START + seconds * SECOND:
        fleet.run(fleet.now + int(rng.expovariate(rate) * SECOND) + 1)
        number += 1
        cost = float(rng.choice((1, 2)))
        units[number] = cost
        assert fleet.request(int(rng.random() ** skew * FLEET), **request_fields(cost)) == number
        if restarts and rng.random() < restarts / rate:
            fleet.restart(rng.randrange(FLEET))
    fleet.run(fleet.now + 5 * SECOND)
    assert len(answered) == len(set(answered))
    if not restarts:
        assert len(answered) == number
    return ledger


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("max_delay", [REPLY_TIMEOUT // 2, 3 * REPLY_TIMEOUT])
def test_the_ceiling_holds_while_messages_are_delayed_lost_and_duplicated(max_delay: int, seed: int) -> None:
    fleet = Gateways(LENT, seed, network_delay=(1 * MS, max_delay), loss_rate=0.1, duplicate_rate=0.3)
    ledger = run_traffic(fleet, 20, 60.0, 2.0)
    assert fleet.messages > (1_000 if max_delay < REPLY_TIMEOUT else 200)
    assert ledger.min_level >= -PLAN.ceiling_slack
    unlent = run_traffic(Gateways(replace(LENT, limits=SETTINGS.limits), seed), 20, 60.0, 2.0)
    assert (
        ledger.total_units > 0.7 * unlent.total_units
    )  # late replies are lost, so few requests may be sent in vain


@pytest.mark.parametrize("seed", range(4))
def test_the_ceiling_holds_while_gateways_crash_and_restart(seed: int) -> None:
    fleet = Gateways(
        LENT, seed, network_delay=(1 * MS, 2 * REPLY_TIMEOUT), loss_rate=0.05, duplicate_rate=0.2
    )
    ledger = run_traffic(fleet, 20, 60.0, 2.0, restarts=2.0)
    assert ledger.min_level >= -PLAN.ceiling_slack


def test_uneven_traffic_below_the_ceiling_passes_with_lending() -> None:
    def units_per_second(peers: bool) -> float:
        limits = replace(LENT.limits, peers=peers)
        ledger = run_traffic(Gateways(replace(LENT, limits=limits), 3, loss_rate=0.05), 30, 10.0, 3.0)
        return ledger.total_units / 30

    separate, lending = units_per_second(False), units_per_second(True)
    assert separate < 11.0  # of some 15 units per second, where 20 are allowed
    assert lending > 13.5


def test_without_slack_enough_is_reserved_for_late_replies() -> None:
    assert reserved_units(PLAN) == 0.0
    no_slack = replace(PLAN, ceiling_slack=0.0)
    assert reserved_units(no_slack) == pytest.approx(no_slack.ceiling_rate * REPLY_TIMEOUT / SECOND)
    for seed in range(4):
        fleet = Gateways(replace(LENT, plans=(no_slack,)), seed, network_delay=(1 * MS, REPLY_TIMEOUT))
        assert run_traffic(fleet, 20, 60.0, 2.0).min_level >= -1e-6


def test_messages_are_decoded_as_encoded_and_units_only_rounded_down() -> None:
    assert decode(encode(ASKED)) == ASKED
    for units in (0.0, 0.3, 1.9996, 7.0):
        reply = decode(encode(LoanReply(CUSTOMER, 9, units)))
        assert isinstance(reply, LoanReply)
        assert units - 0.001 <= reply.units <= units
    assert len(encode(ASKED)) <= 256


def test_truncated_or_unknown_data_is_no_message() -> None:
    messages = [encode(ASKED), encode(LoanReply(CUSTOMER, 9, 1.0))]
    for data in messages:
        assert all(decode(data[:size]) is None for size in range(len(data)))
        assert decode(data + b"x") is None
        assert decode(bytes((data[0] + 1,)) + data[1:]) is None
        assert decode(data[:1] + b"\x07" + data[2:]) is None
    rng = random.Random(4)
    assert all(decode(rng.randbytes(rng.randrange(40))) is None for _ in range(2_000))


def test_a_reply_is_accepted_once_in_time_and_from_the_queried_gateway() -> None:
    pending = PendingLoans(2, random.Random(1))
    messages = [pending.request(ASKED, FLEET, START) for _ in range(4)]
    requests = []
    for message in messages:
        assert message is not None and message.to is not None
        request = decode(message.data)
        assert isinstance(request, LoanRequest) and request.units == 3.0
        requests.append((message.to, request.loan_id))
    (to, number), (other, second), (_, third), _ = requests
    assert pending.accept_reply(LoanReply(CUSTOMER, number, 2.0), to + 1, START) is None  # another gateway
    assert pending.accept_reply(LoanReply(CUSTOMER + 1, number, 2.0), to, START) is None  # another customer
    assert pending.accept_reply(LoanReply(CUSTOMER, 12345, 2.0), to, START) is None  # no such request
    assert pending.accept_reply(LoanReply(CUSTOMER, number, 2.0), to, START + REPLY_TIMEOUT) == 2.0
    assert pending.accept_reply(LoanReply(CUSTOMER, number, 2.0), to, START) is None  # a duplicate
    assert pending.accept_reply(LoanReply(CUSTOMER, second, 9.0), other, START) == 3.0  # 3 were requested
    assert pending.count_pending(CUSTOMER, START) == 2
    assert (
        pending.accept_reply(LoanReply(CUSTOMER, third, 1.0), requests[2][0], START + REPLY_TIMEOUT + 1)
        is None
    )
    assert pending.count_pending(CUSTOMER, START + REPLY_TIMEOUT) == 2
    assert pending.count_pending(CUSTOMER, START + REPLY_TIMEOUT + 1) == 0


def test_requests_go_to_all_other_gateways_of_the_customer_and_no_others() -> None:
    for index in (0, 5, 11):
        pending, lenders = PendingLoans(index, random.Random(index)), set()
        for _ in range(400):
            message = pending.request(replace(ASKED, entry_points=4, first_entry=10), FLEET, START)
            assert message is not None
            lenders.add(message.to)
        assert lenders == {10, 11, 0, 1} - {index}
    assert (
        PendingLoans(3, random.Random(1)).request(replace(ASKED, entry_points=1, first_entry=3), FLEET, START)
        is None
    )


def test_unanswered_requests_are_evicted() -> None:
    pending = PendingLoans(0, random.Random(1))
    for number in range(2 * MAX_PENDING):
        pending.request(replace(ASKED, customer=number), FLEET, START)
    assert len(pending._pending) == MAX_PENDING
    assert len(pending._pending_by_customer) == MAX_PENDING


def reply_to(sender: int, **fields: int | float) -> list[Action]:
    """The actions of gateway 1, which has saved up its whole share, on a request from `sender`."""
    fleet = Gateways(LENT, 1)
    fleet.now += 60 * SECOND
    data = replace(ASKED, loan_id=5, **fields)  # type: ignore[arg-type]
    return fleet.gateways[1].handle(fleet.now, PeerMessage(sender, encode(data)))


def lent_units(actions: list[Action]) -> float:
    (message,) = actions
    assert isinstance(message, Tell) and message.to == 4
    reply = decode(message.data)
    assert isinstance(reply, LoanReply) and reply.loan_id == 5
    return reply.units


def test_a_gateway_lends_what_it_has_only_to_gateways_of_the_customer() -> None:
    assert lent_units(reply_to(4)) == 3.0
    assert lent_units(reply_to(4, units=9.0)) == 4.0  # 48 units shared by 12
    for sender in (1, 99):
        assert reply_to(sender) == []
    for invalid in (
        {"entry_points": 3},
        {"entry_points": 0},
        {"entry_points": 999},
        {"plan": 7},
        {"first_entry": 60_000, "entry_points": 2},
    ):
        assert reply_to(4, **invalid) == []


def test_a_gateway_keeps_half_for_an_active_customer_and_lends_no_unit_twice() -> None:
    fleet = Gateways(LENT, 1)
    fleet.now += 60 * SECOND
    fleet.request(1, **request_fields())
    units = []
    for number in range(3):
        data = encode(replace(ASKED, loan_id=number, units=9.0))
        (message,) = (
            a for a in fleet.gateways[1].handle(fleet.now, PeerMessage(4, data)) if isinstance(a, Tell)
        )
        reply = decode(message.data)
        assert isinstance(reply, LoanReply)
        units.append(reply.units)
    assert units == [2.0, 1.0, 0.5]


def test_a_request_is_refused_soon_when_no_gateway_has_units() -> None:
    fleet = Gateways(LENT, 1)
    refused: list[int] = []

    def record(_: int, action: Action) -> None:
        if isinstance(action, Refuse):
            assert action.cause is Cause.CEILING
            refused.append(fleet.now)

    fleet.on_action = record
    fleet.request(0, **request_fields(2.0))
    fleet.run(START + REPLY_TIMEOUT - 1)
    assert refused or fleet.gateways[0]._questions.count_pending(CUSTOMER, fleet.now)
    fleet.run(START + SECOND)
    assert len(refused) == 1
    assert refused[0] <= START + 200 * MS


def test_a_request_that_waited_for_a_loan_is_not_sent_to_a_server_that_left_meanwhile() -> None:
    fleet = Gateways(LENT, 1, servers=2, network_delay=(20 * MS, 20 * MS))
    fleet.run(START + 3 * SECOND)  # shares have been saved up
    sent: list[tuple[int, str]] = []
    fleet.on_action = lambda gateway, action: (
        sent.append((action.request, action.server)) if isinstance(action, Send) else None
    )
    waiting = [fleet.request(0, **request_fields(2.0)) for _ in range(6)]
    fleet.run(fleet.now + 10 * MS)
    before = {request for request, _ in sent}
    assert len(before) < len(waiting)
    leaving = replace(fleet.lines[0], state=State.DRAINING)
    fleet.gateways[0].handle(fleet.now, Members(ListKind.CHANGES, 2, (leaving,)))
    fleet.run(fleet.now + SECOND)
    later = [server for request, server in sent if request not in before]
    assert later and set(later) == {fleet.lines[1].server}


def test_a_request_whose_client_disconnects_while_it_waits_takes_no_units() -> None:
    fleet = Gateways(LENT, 1, network_delay=(90 * MS, 90 * MS))
    sent: list[Action] = []
    fleet.on_action = lambda _, action: sent.append(action) if isinstance(action, Send) else None
    request = fleet.request(0, **request_fields(2.0))
    fleet.run(START + 20 * MS)
    waiting = fleet.gateways[0]._customers[CUSTOMER].waiting
    assert [job.request.id for job in waiting] == [request]
    fleet.feed(0, Expired(request))
    assert not waiting
    fleet.run(START + SECOND)
    assert sent == []


def test_no_messages_are_sent_where_they_are_not_allowed() -> None:
    fleet = Gateways(replace(LENT, limits=replace(LENT.limits, peers=False)), 1)
    run_traffic(fleet, 5, 40.0, 2.0)
    assert fleet.messages == 0


def test_random_bytes_from_any_gateway_do_no_harm() -> None:
    fleet, rng = Gateways(LENT, 1), random.Random(7)
    message = encode(ASKED)
    for _ in range(3_000):
        data = bytearray(message if rng.random() < 0.7 else encode(LoanReply(CUSTOMER, 3, 9.0)))
        for _ in range(rng.randrange(4)):
            data[rng.randrange(2, len(data))] = rng.randrange(256)
        actions = fleet.gateways[0].handle(fleet.now, PeerMessage(rng.randrange(20), bytes(data)))
        assert all(isinstance(action, Tell) for action in actions)
    known = fleet.gateways[0]._customers.get(CUSTOMER)
    assert known is None or known.ceiling_units <= known.ceiling_capacity


def test_a_request_is_refused_once_the_last_reply_brings_nothing() -> None:
    fleet = Gateways(LENT, 1, network_delay=(1 * MS, 1 * MS))
    refused: list[int] = []
    fleet.on_action = lambda _, action: refused.append(fleet.now) if isinstance(action, Refuse) else None
    fleet.request(0, **request_fields(2.0))
    fleet.run(START + SECOND)
    assert len(refused) == 1
    assert refused[0] <= START + 20 * MS


def test_a_request_larger_than_any_share_passes_with_loans() -> None:
    small = replace(PLAN, ceiling_burst=18.0, ceiling_slack=6.0)
    fleet = Gateways(replace(LENT, plans=(small,)), 1)
    fleet.now += 60 * SECOND
    sent: list[Action] = []
    fleet.on_action = lambda _, action: sent.append(action) if isinstance(action, Send) else None
    fleet.request(0, **request_fields(2.0))  # a share is 1.5
    fleet.run(fleet.now + SECOND)
    assert len(sent) == 1
    assert fleet.gateways[0]._customers[CUSTOMER].ceiling_units <= 1.5


def test_a_low_share_is_topped_up_before_it_is_needed() -> None:
    fleet = Gateways(LENT, 1)
    fleet.now += 60 * SECOND
    fleet.request(0, **request_fields(1.0))
    fleet.run(fleet.now + 20 * MS)
    assert fleet.messages == 0  # 3 of 4 units are left
    fleet.request(0, **request_fields(2.0))
    fleet.run(fleet.now + SECOND)
    assert fleet.messages == 2
    assert fleet.gateways[0]._customers[CUSTOMER].ceiling_units == pytest.approx(4.0)


def test_a_customer_whose_share_has_just_been_lent_is_not_evicted() -> None:
    fleet = Gateways(LENT, 1)
    fleet.run(START + 60 * SECOND)
    fleet.request(1, **request_fields())
    fleet.run(START + 100 * SECOND)  # refilled, and long inactive
    data = encode(replace(ASKED, units=9.0))
    fleet.gateways[1].handle(fleet.now, PeerMessage(4, data))
    for customer in range(1_000, 1_100):
        fleet.request(1, **request_fields() | {"customer": customer})
    (message,) = fleet.gateways[1].handle(fleet.now, PeerMessage(4, data))
    assert isinstance(message, Tell)
    reply = decode(message.data)
    assert isinstance(reply, LoanReply) and reply.units < 0.1


def test_loans_from_several_gateways_add_up_for_a_waiting_request() -> None:
    small = replace(PLAN, ceiling_burst=12.0, ceiling_slack=6.0)
    fleet = Gateways(replace(LENT, plans=(small,)), 2, network_delay=(1 * MS, 5 * MS))
    fleet.now += 60 * SECOND
    for number in range(1, FLEET):
        fleet.gateways[number].handle(fleet.now, PeerMessage(0, encode(replace(ASKED, units=0.6))))
    sent: list[Action] = []
    fleet.on_action = lambda _, action: sent.append(action) if isinstance(action, Send) else None
    fleet.request(0, **request_fields(2.0))  # a share is 1, and no gateway has more than 0.4 left
    fleet.run(fleet.now + SECOND)
    assert len(sent) == 1


def test_customers_with_a_ceiling_are_evicted_in_the_end() -> None:
    fleet = Gateways(LENT, 1)
    for customer in range(500):
        fleet.request(0, **request_fields() | {"customer": customer})
    fleet.run(START + 300 * SECOND)
    for customer in range(500, 800):
        fleet.request(0, **request_fields() | {"customer": customer})
    assert len(fleet.gateways[0]._customers) < 400
