"""Gateways that start after their machine's wall clock was stepped adopt the clock of the fleet."""

import asyncio
import random
import time
from functools import partial
from pathlib import Path

import pytest

from lynxreel.engine.engine import Clock
from lynxreel.peers.clock import FleetClock
from lynxreel.peers.datagrams import Peers
from lynxreel.protocol.address import Address
from mothgap import lending, shared_clock
from mothgap.interface import PeerMessage
from mothgap.shared_clock import (
    CLOCK_TOLERANCE,
    MAX_QUERIED,
    ClockQuery,
    ClockReply,
    ClockSurvey,
    Reading,
    consensus_offset,
    decode,
    encode,
)
from tests.fleet import run
from tests.platform_fleet import BURST, RATE, platform_fleet
from tests.test_peers import free

HOUR = 3_600 * 1_000_000
STEPS = [3_617.0, -3_617.0, -47.0]  # seconds


@pytest.mark.parametrize("step", STEPS)
def test_one_of_two_that_restarts_after_a_clock_step_grants_no_second_quota(
    tmp_path: Path, step: float
) -> None:
    """Without a persistent folder, a wrong clock may not grant a quota twice; the right one is kept."""

    async def scenario() -> None:
        async with platform_fleet(tmp_path, 2) as fleet:
            await fleet.start((0, 1))
            fleet.kill((1,))
            fleet.machines[1].step_clock(step)
            await fleet.start((1,))
            started_at = time.monotonic()
            served = await fleet.spend((0, 1), 3 * BURST)
            assert served <= BURST + RATE * (time.monotonic() - started_at) + 2
            assert served >= BURST - 2
            assert "ahead of this one's: theirs are followed" in fleet.log(1)
            assert "theirs are followed" not in fleet.log(0)

    run(scenario)


@pytest.mark.parametrize("step", STEPS[:2])
def test_three_start_together_and_the_clock_of_one_was_stepped(tmp_path: Path, step: float) -> None:
    """The first to start gets no replies: it makes further surveys in service."""

    async def scenario() -> None:
        async with platform_fleet(tmp_path, 3) as fleet:
            fleet.machines[0].step_clock(step)
            await fleet.start((0, 1, 2))
            while await fleet.spend((0, 1, 2), 3 * BURST) > 1.1 * BURST:
                await asyncio.sleep(0.1)
            for _ in range(5):
                started_at = time.monotonic()
                served = await fleet.spend((0, 1, 2), 3 * BURST)
                assert served <= BURST + RATE * (time.monotonic() - started_at) + 2
                assert served >= BURST - 2

    run(scenario)


def test_clocks_that_agree_are_kept(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with platform_fleet(tmp_path, 3) as fleet:
            await fleet.start((0, 1, 2))
            fleet.kill((2,))
            await fleet.start((2,))
            assert not any("theirs are followed" in fleet.log(number) for number in range(3))

    run(scenario)


def test_messages_are_decoded_as_encoded_and_not_taken_for_those_of_lending() -> None:
    for message in (ClockQuery(2**64 - 1), ClockReply(7, 1_796_000_000_000_000, 12)):
        data = encode(message)
        assert decode(data) == message
        assert lending.decode(data) is None
        assert decode(data[:-1]) is None and decode(data + b"\0") is None
        assert decode(bytes([lending.VERSION + 1]) + data[1:]) is None
    assert decode(lending.encode(lending.LoanReply(1, 2, 3.0))) is None


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        ([], 0),
        ([Reading(HOUR, 10)], HOUR),  # it has the longer uptime
        ([Reading(HOUR, 4)], 0),  # it has not
        ([Reading(HOUR, 99), Reading(9, 1)], 9),
        ([Reading(HOUR, 1), Reading(HOUR, 2)], HOUR),
        ([Reading(-HOUR, 9), Reading(-HOUR, 8), Reading(0, 7)], -HOUR),  # two and two: the longest uptime
        ([Reading(-HOUR, 1), Reading(-HOUR, 1), Reading(0, 9)], 0),
        ([Reading(HOUR, 99), Reading(0, 1), Reading(1, 1), Reading(-HOUR, 99)], 0),
    ],
)
def test_the_median_is_used_and_of_two_the_clock_with_the_longer_uptime(
    others: list[Reading], expected: int
) -> None:
    assert consensus_offset([Reading(0, 5), *others]) == expected


def reply_to(data: bytes, clock: int, uptime: int = 10**9) -> ClockReply:
    query = decode(data)
    assert isinstance(query, ClockQuery)
    return ClockReply(query.query_id, clock, uptime)


def survey(fleet: int = 3) -> ClockSurvey:
    return ClockSurvey(0, fleet, random.Random(1))


def test_a_few_gateways_are_queried_and_again_only_those_that_have_not_replied() -> None:
    large = survey(230)
    first = large.queries(0)
    targets = [query.to for query in first]
    assert len(set(targets)) == len(targets) == MAX_QUERIED and 0 not in targets
    for query in first[:4]:
        assert query.to is not None
        large.on_reply(query.to, reply_to(query.data, HOUR), 2_000)
    assert not large.has_quorum
    again = large.queries(50_000)
    assert [query.to for query in again] == targets[4:]
    query = again[0]
    assert query.to is not None
    large.on_reply(query.to, reply_to(query.data, HOUR + 51_000), 52_000)
    assert large.has_quorum
    assert abs(large.offset(0) - HOUR) < 3_000


def test_unrequested_misdirected_and_late_replies_are_ignored() -> None:
    small = survey()
    one, other = small.queries(0)
    assert one.to is not None and other.to is not None
    small.on_reply(other.to, reply_to(one.data, HOUR), 1_000)
    small.on_reply(one.to, ClockReply(3, HOUR, 10**9), 1_000)
    # This gateway, or the reply, was delayed.
    small.on_reply(one.to, reply_to(one.data, HOUR), CLOCK_TOLERANCE)
    assert small.offset(0) == 0 and not small.has_quorum


def test_clocks_that_differ_by_less_than_the_tolerance_are_kept() -> None:
    small = survey()
    for query in small.queries(0):
        assert query.to is not None
        small.on_reply(query.to, reply_to(query.data, CLOCK_TOLERANCE - 1), 0)
    assert small.has_quorum and small.offset(0) == 0


def test_a_single_gateway_queries_nobody() -> None:
    alone = ClockSurvey(0, 1, random.Random(1))
    assert alone.has_quorum and alone.queries(0) == [] and alone.offset(0) == 0


class OtherGateways:
    """Two other gateways that reply, once started, by a clock that is an hour ahead."""

    def __init__(self, addresses: tuple[Address, ...], loop: asyncio.AbstractEventLoop) -> None:
        self._addresses = addresses
        self.endpoints = [Peers(addresses, number, lambda message: None, loop) for number in (1, 2)]
        self.queries = 0

    async def start(self) -> None:
        for number, endpoint in zip((1, 2), self.endpoints, strict=True):
            endpoint.post = partial(self._answer, endpoint)
            await endpoint.open(self._addresses[number])

    def _answer(self, endpoint: Peers, message: PeerMessage) -> None:
        self.queries += 1
        endpoint.tell(0, encode(reply_to(message.data, Clock().now() + HOUR)))


async def start_clock(addresses: tuple[Address, ...]) -> FleetClock:
    peers = Peers(addresses, 0, lambda message: None, asyncio.get_running_loop())
    await peers.open(addresses[0])
    clock = FleetClock(peers, 0, len(addresses), random.Random(1))
    peers.post = clock.on_message
    return clock


def test_gateways_unreachable_at_the_start_are_followed_later_and_then_queried_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(shared_clock, "FIRST_DELAY", 0.05)
        loop, addresses = asyncio.get_running_loop(), (*free(), *free())[:3]
        clock, others = await start_clock(addresses), OtherGateways(addresses, loop)
        await clock.synchronize()
        assert abs(clock.clock.now() - Clock().now()) < CLOCK_TOLERANCE
        shifts: list[int] = []
        clock.follow(shifts.append)
        await others.start()
        assert clock._task is not None
        await clock._task
        assert len(shifts) == 1 and abs(shifts[0] - HOUR) < CLOCK_TOLERANCE
        assert abs(clock.now() - Clock().now() - HOUR) < CLOCK_TOLERANCE
        assert others.queries >= 4  # two further surveys confirmed it
        for endpoint in (clock.peers, *others.endpoints):
            endpoint.close()

    run(scenario)


def test_a_gateway_that_adopted_the_others_clock_replies_with_it() -> None:
    async def scenario() -> None:
        loop, addresses = asyncio.get_running_loop(), (*free(), *free())[:3]
        clock, others = await start_clock(addresses), OtherGateways(addresses, loop)
        await others.start()
        await clock.synchronize()
        assert abs(clock.clock.now() - Clock().now() - HOUR) < CLOCK_TOLERANCE
        received: asyncio.Queue[PeerMessage] = asyncio.Queue()
        others.endpoints[0].post = received.put_nowait
        others.endpoints[0].tell(0, encode(ClockQuery(77)))
        reply = decode((await received.get()).data)
        assert isinstance(reply, ClockReply) and reply.query_id == 77
        assert abs(reply.clock - Clock().now() - HOUR) < CLOCK_TOLERANCE
        for endpoint in (clock.peers, *others.endpoints):
            endpoint.close()

    run(scenario)
