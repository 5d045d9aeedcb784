"""How long a fleet goes by more than one clock after steps, and what asking costs, in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from mothgap.interface import Tell
from mothgap.shared_clock import (
    CLOCK_TOLERANCE,
    ClockQuery,
    ClockReply,
    ClockSurvey,
    SurveySchedule,
    decode,
    encode,
)

SECOND = 1_000_000  # microseconds, as all times here
HOUR = 3_600 * SECOND
WAYS = (1_000, 40_000)  # that a datagram takes
LOST = 0.05  # of the datagrams
AGAIN, PATIENCE = 50_000, 100_000  # as in lynxreel/peers/clock.py
STARTS = 2 * SECOND  # within which the gateways of a fleet that starts as a whole do
END = 180 * SECOND
FLEETS = (2, 3, 20, 230)


@dataclass
class _Node:
    """One gateway."""

    number: int
    began: int
    wrong: int  # by which its clock is ahead of the true one
    rounds: SurveySchedule
    survey: ClockSurvey | None = None
    starting: bool = True


@dataclass
class _Fleet:
    """Gateways that ask each other; `cut`: until then one of them hears and is heard by nobody."""

    chance: random.Random
    size: int
    cut: dict[int, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.now = 0
        self.nodes: dict[int, _Node] = {}
        self.datagrams = self.bytes = 0
        self.moved_at = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def later(self, delay: int, do: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + delay, next(self._order), do))

    def run(self, until: int) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= until:
            self.now, _, do = heapq.heappop(self._due)
            do()
        self.now = until

    def start(self, number: int, wrong: int) -> None:
        """A gateway begins; one of its number that was there has ended."""
        node = _Node(number, self.now, wrong, SurveySchedule(self.chance))
        self.nodes[number] = node
        self._ask(node)

    def _ask(self, node: _Node) -> None:
        node.survey = ClockSurvey(node.number, self.size, self.chance)
        self._send_all(node, node.survey.queries(self.now + node.wrong))
        survey = node.survey
        self.later(AGAIN, lambda: self._send_all(node, survey.queries(self.now + node.wrong)))
        self.later(PATIENCE, lambda: self._over(node, survey))

    def _over(self, node: _Node, survey: ClockSurvey) -> None:
        age = self.now - node.began
        ahead = survey.offset(age) if node.starting else node.rounds.on_survey_end(survey, age)
        node.starting, node.survey = False, None
        if ahead:
            node.wrong += ahead
            self.moved_at = self.now
        if (wait := node.rounds.next_delay()) is not None:
            self.later(int(wait * SECOND), lambda: self._ask(node))

    def _send_all(self, node: _Node, told: list[Tell]) -> None:
        for message in told:
            assert message.to is not None
            self._send(node.number, message.to, message.data)

    def _send(self, sender: int, to: int, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        cut_off = any(self.now < self.cut.get(number, 0) for number in (sender, to))
        if not cut_off and self.chance.random() >= LOST:
            self.later(self.chance.randint(*WAYS), lambda: self._hear(sender, to, data))

    def _hear(self, sender: int, to: int, data: bytes) -> None:
        node, message = self.nodes.get(to), decode(data)
        if node is None:
            return
        if isinstance(message, ClockQuery):
            answer = ClockReply(message.query_id, HOUR * 10 + self.now + node.wrong, self.now - node.began)
            self._send(to, sender, encode(answer))
        elif isinstance(message, ClockReply) and node.survey is not None:
            told = ClockReply(message.query_id, message.clock - HOUR * 10, message.uptime)
            node.survey.on_reply(sender, told, self.now + node.wrong)

    def apart(self) -> int:
        """Gateways that do not go by the clock that most do."""
        clocks = Counter(round(node.wrong / (2 * CLOCK_TOLERANCE)) for node in self.nodes.values())
        return len(self.nodes) - max(clocks.values())


def _one_again(fleet: _Fleet) -> int:
    """All run by one clock; one starts again after a step."""
    for number in range(fleet.size):
        fleet.start(number, 0)
    fleet.run(60 * SECOND)
    fleet.start(fleet.size - 1, HOUR)
    return fleet.now


def _one_cut_off(fleet: _Fleet) -> int:
    """The same, and for 20 s it can't be heard."""
    for number in range(fleet.size):
        fleet.start(number, 0)
    fleet.run(60 * SECOND)
    fleet.cut[fleet.size - 1] = fleet.now + 20 * SECOND
    fleet.start(fleet.size - 1, HOUR)
    return fleet.now


def _together(fleet: _Fleet, stepped: int) -> int:
    """All start within STARTS, so many of them after a step."""
    for number in range(fleet.size):
        at = fleet.chance.randrange(STARTS)
        wrong = HOUR if number < stepped else 0
        fleet.later(at, lambda number=number, wrong=wrong: fleet.start(number, wrong))  # type: ignore[misc]
    fleet.run(STARTS)
    return fleet.now


CASES: dict[str, Callable[[_Fleet], int]] = {
    "one starts again": _one_again,
    "the same, cut off for 20 s": _one_cut_off,
    "all start, one stepped": lambda fleet: _together(fleet, 1),
    "all start, a third stepped": lambda fleet: _together(fleet, max(1, fleet.size // 3)),
    "all start, half stepped": lambda fleet: _together(fleet, fleet.size // 2),
}


@dataclass(frozen=True)
class _Play:
    """What came of one seed: gateways apart, seconds to the last move, and what each gateway has sent."""

    early: int
    late: int
    moved: float
    datagrams: float
    size_in_bytes: float


WORST, COSTS = ("early", "late", "moved"), ("datagrams", "size_in_bytes")


def _play(case: Callable[[_Fleet], int], size: int, seed: int) -> _Play:
    fleet = _Fleet(random.Random(seed), size)
    since = case(fleet)
    fleet.run(since + SECOND // 5)
    early = fleet.apart()
    fleet.run(since + END)
    moved = max(0.0, (fleet.moved_at - since) / SECOND)
    return _Play(early, fleet.apart(), moved, fleet.datagrams / size, fleet.bytes / size)


def measure(rounds: int) -> None:
    """A row for each case and size: plays of `rounds` seeds."""
    print(f"{'case':28s} fleet  apart after 0.2 s  at the end  last move s  datagrams a gateway  bytes")
    for case, play in CASES.items():
        for size in FLEETS:
            plays = [_play(play, size, seed) for seed in range(rounds)]
            early, late, moved = (max(getattr(one, what) for one in plays) for what in WORST)
            datagrams, size_in_bytes = (median(getattr(one, what) for one in plays) for what in COSTS)
            print(
                f"{case:28s} {size:5d}  {early:17d}  {late:10d}  {moved:11.1f}"
                f"  {datagrams:19.1f}  {size_in_bytes:5.0f}"
            )
