"""Gateways that start after their machine's wall clock was stepped ask the others for the fleet's."""

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
    AGREE,
    MAX_QUERIED,
    AskClock,
    ClockSurvey,
    Reading,
    TellClock,
    consensus_offset,
    read,
    write,
)
from tests.fleet import run
from tests.platform_fleet import BURST, RATE, platform_fleet
from tests.test_peers import free

HOUR = 3_600 * 1_000_000
STEPS = [3_617.0, -3_617.0, -47.0]  # seconds


@pytest.mark.parametrize("step", STEPS)
def test_one_of_two_that_starts_again_after_a_step_gives_no_second_quota(tmp_path: Path, step: float) -> None:
    """Guards a quota over the fleet, where no folder lasts and the running gateway keeps its clock."""

    async def scenario() -> None:
        async with platform_fleet(tmp_path, 2) as fleet:
            await fleet.start((0, 1))
            fleet.kill((1,))
            fleet.machines[1].step_clock(step)
            await fleet.start((1,))
            began = time.monotonic()
            served = await fleet.spend((0, 1), 3 * BURST)
            assert served <= BURST + RATE * (time.monotonic() - began) + 2
            assert served >= BURST - 2
            assert "ahead of this one's: theirs are followed" in fleet.log(1)
            assert "theirs are followed" not in fleet.log(0)

    run(scenario)


@pytest.mark.parametrize("step", STEPS[:2])
def test_one_of_three_is_stepped_and_all_start_together(tmp_path: Path, step: float) -> None:
    """Who comes first is answered by nobody: it asks again in service."""

    async def scenario() -> None:
        async with platform_fleet(tmp_path, 3) as fleet:
            fleet.machines[0].step_clock(step)
            await fleet.start((0, 1, 2))
            while await fleet.spend((0, 1, 2), 3 * BURST) > 1.1 * BURST:
                await asyncio.sleep(0.1)
            for _ in range(5):
                began = time.monotonic()
                served = await fleet.spend((0, 1, 2), 3 * BURST)
                assert served <= BURST + RATE * (time.monotonic() - began) + 2
                assert served >= BURST - 2

    run(scenario)


def test_a_fleet_whose_clocks_agree_keeps_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with platform_fleet(tmp_path, 3) as fleet:
            await fleet.start((0, 1, 2))
            fleet.kill((2,))
            await fleet.start((2,))
            assert not any("theirs are followed" in fleet.log(number) for number in range(3))

    run(scenario)


def test_messages_are_read_as_they_were_written_and_not_by_the_parts_of_ceilings() -> None:
    for message in (AskClock(2**64 - 1), TellClock(7, 1_796_000_000_000_000, 12)):
        data = write(message)
        assert read(data) == message
        assert lending.read(data) is None
        assert read(data[:-1]) is None and read(data + b"\0") is None
        assert read(bytes([lending.VERSION + 1]) + data[1:]) is None
    assert read(lending.write(lending.Give(1, 2, 3.0))) is None


@pytest.mark.parametrize(
    ("others", "wanted"),
    [
        ([], 0),
        ([Reading(HOUR, 10)], HOUR),  # it has run for longer
        ([Reading(HOUR, 4)], 0),  # it has not
        ([Reading(HOUR, 99), Reading(9, 1)], 9),
        ([Reading(HOUR, 1), Reading(HOUR, 2)], HOUR),
        ([Reading(-HOUR, 9), Reading(-HOUR, 8), Reading(0, 7)], -HOUR),  # two and two: the oldest's
        ([Reading(-HOUR, 1), Reading(-HOUR, 1), Reading(0, 9)], 0),
        ([Reading(HOUR, 99), Reading(0, 1), Reading(1, 1), Reading(-HOUR, 99)], 0),
    ],
)
def test_the_median_counts_and_of_two_the_older(others: list[Reading], wanted: int) -> None:
    assert consensus_offset([Reading(0, 5), *others]) == wanted


def answer_of(question: bytes, clock: int, age: int = 10**9) -> TellClock:
    asked = read(question)
    assert isinstance(asked, AskClock)
    return TellClock(asked.number, clock, age)


def survey(fleet: int = 3) -> ClockSurvey:
    return ClockSurvey(0, fleet, random.Random(1))


def test_of_many_a_few_are_asked_and_only_who_has_not_answered_again() -> None:
    large = survey(230)
    first = large.ask(0)
    asked = [question.to for question in first]
    assert len(set(asked)) == len(asked) == MAX_QUERIED and 0 not in asked
    for question in first[:4]:
        assert question.to is not None
        large.heard(question.to, answer_of(question.data, HOUR), 2_000)
    assert not large.settled
    again = large.ask(50_000)
    assert [question.to for question in again] == asked[4:]
    question = again[0]
    assert question.to is not None
    large.heard(question.to, answer_of(question.data, HOUR + 51_000), 52_000)
    assert large.settled
    assert abs(large.ahead(0) - HOUR) < 3_000


def test_what_nobody_asked_or_another_was_asked_or_comes_late_tells_nothing() -> None:
    small = survey()
    one, other = small.ask(0)
    assert one.to is not None and other.to is not None
    small.heard(other.to, answer_of(one.data, HOUR), 1_000)
    small.heard(one.to, TellClock(3, HOUR, 10**9), 1_000)
    small.heard(one.to, answer_of(one.data, HOUR), AGREE)  # this gateway, or the answer, was held up
    assert small.ahead(0) == 0 and not small.settled


def test_clocks_that_differ_by_less_than_machines_do_are_left_alone() -> None:
    small = survey()
    for question in small.ask(0):
        assert question.to is not None
        small.heard(question.to, answer_of(question.data, AGREE - 1), 0)
    assert small.settled and small.ahead(0) == 0


def test_a_gateway_alone_asks_nobody() -> None:
    alone = ClockSurvey(0, 1, random.Random(1))
    assert alone.settled and alone.ask(0) == [] and alone.ahead(0) == 0


class Others:
    """Two other gateways that answer, once they are there, by a clock that is an hour ahead."""

    def __init__(self, places: tuple[Address, ...], loop: asyncio.AbstractEventLoop) -> None:
        self._places = places
        self.ends = [Peers(places, number, lambda message: None, loop) for number in (1, 2)]
        self.asked = 0

    async def come(self) -> None:
        for number, end in zip((1, 2), self.ends, strict=True):
            end.post = partial(self._answer, end)
            await end.open(self._places[number])

    def _answer(self, end: Peers, message: PeerMessage) -> None:
        self.asked += 1
        end.tell(0, write(answer_of(message.data, Clock().now() + HOUR)))


async def asking(places: tuple[Address, ...]) -> FleetClock:
    peers = Peers(places, 0, lambda message: None, asyncio.get_running_loop())
    await peers.open(places[0])
    clock = FleetClock(peers, 0, len(places), random.Random(1))
    peers.post = clock.take
    return clock


def test_who_could_not_be_heard_at_the_start_is_followed_later_and_then_asked_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(shared_clock, "FIRST_DELAY", 0.05)
        loop, places = asyncio.get_running_loop(), (*free(), *free())[:3]
        clock, others = await asking(places), Others(places, loop)
        await clock.begin()
        assert abs(clock.clock.now() - Clock().now()) < AGREE
        shifts: list[int] = []
        clock.follow(shifts.append)
        await others.come()
        assert clock._task is not None
        await clock._task
        assert len(shifts) == 1 and abs(shifts[0] - HOUR) < AGREE
        assert abs(clock.now() - Clock().now() - HOUR) < AGREE
        assert others.asked >= 4  # and it took two surveys more to be sure
        for end in (clock.peers, *others.ends):
            end.close()

    run(scenario)


def test_what_begins_by_the_others_clock_tells_the_same_when_asked() -> None:
    async def scenario() -> None:
        loop, places = asyncio.get_running_loop(), (*free(), *free())[:3]
        clock, others = await asking(places), Others(places, loop)
        await others.come()
        await clock.begin()
        assert abs(clock.clock.now() - Clock().now() - HOUR) < AGREE
        heard: asyncio.Queue[PeerMessage] = asyncio.Queue()
        others.ends[0].post = heard.put_nowait
        others.ends[0].tell(0, write(AskClock(77)))
        told = read((await heard.get()).data)
        assert isinstance(told, TellClock) and told.number == 77
        assert abs(told.clock - Clock().now() - HOUR) < AGREE
        for end in (clock.peers, *others.ends):
            end.close()

    run(scenario)
