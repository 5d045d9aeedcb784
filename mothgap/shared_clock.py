"""The clock of a fleet: a gateway that starts asks others for the time before it names its first window.

Windows of quotas and ages of servers are told by the wall clock at a start. Where a machine's clock was
stepped before that, one gateway would name windows that no other uses, and take cold servers for warm ones.
So it asks a few gateways, and goes by the median of their clocks and its own: one clock that is wrong decides
nothing among three. Of two clocks that disagree, the one that has run for longer is the fleet's.

Messages share the datagrams and the numbering of `lending`; versions that do not know them drop them.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from mothgap.interface import Tell
from mothgap.lending import VERSION

ASK, TELL = 3, 4
ASKED_MOST = 8  # gateways that are asked, of however many
AGREE = 500_000  # microseconds: clocks that are nearer to each other are one clock
FIRST_WAIT = 1.0  # seconds in the mean from the start to the next survey; the waits double...
LONGEST_WAIT = 10.0  # ...up to this
CONFIRMED = 4  # surveys in a row, answered by most and agreeing, after which nothing more is asked
_ASK, _TELL = struct.Struct("<BBQ"), struct.Struct("<BBQQQ")


@dataclass(frozen=True, slots=True)
class AskClock:
    """What is the time at yours?"""

    number: int  # of the question; its answer repeats it


@dataclass(frozen=True, slots=True)
class TellClock:
    """A gateway's clock as it answers. Times are microseconds."""

    number: int
    clock: int
    age: int  # since that gateway began


@dataclass(frozen=True, slots=True)
class Reading:
    """One gateway's clock against the own one, in microseconds."""

    ahead: int
    age: int


def read(data: bytes) -> AskClock | TellClock | None:
    """A message, or None where it is torn, of another version, or of another kind."""
    if len(data) == _ASK.size and data[0] == VERSION and data[1] == ASK:
        return AskClock(_ASK.unpack(data)[2])
    if len(data) == _TELL.size and data[0] == VERSION and data[1] == TELL:
        return TellClock(*_TELL.unpack(data)[2:])
    return None


def write(message: AskClock | TellClock) -> bytes:
    """A message's bytes, at most 26."""
    if isinstance(message, AskClock):
        return _ASK.pack(VERSION, ASK, message.number)
    return _TELL.pack(VERSION, TELL, message.number, message.clock, message.age)


def agreed(readings: Sequence[Reading]) -> int:
    """How far the median clock is ahead of the own one, which stands among the readings with 0 ahead.

    Of an even number whose middle two disagree, the clock of the gateway that has run for longest: the others
    see the same one.
    """
    ordered = sorted(readings, key=lambda reading: reading.ahead)
    low, high = ordered[(len(ordered) - 1) // 2].ahead, ordered[len(ordered) // 2].ahead
    if high - low < AGREE:
        return low
    return max(readings, key=lambda reading: reading.age).ahead


class ClockSurvey:
    """One gateway's question for the time, to a few others, and their answers. Times are microseconds."""

    def __init__(self, index: int, fleet: int, chance: random.Random) -> None:
        """`index`: this gateway's number, of `fleet` that there are."""
        others = [number for number in range(fleet) if number != index]
        self.asked = chance.sample(others, min(ASKED_MOST, len(others)))
        self._chance = chance
        self._out: dict[int, tuple[int, int]] = {}  # by question: who was asked, and when
        self._readings: dict[int, Reading] = {}  # by gateway

    def ask(self, now: int) -> list[Tell]:
        """Ask those who have not answered, or ask them again. `now`: of the own clock, as everywhere here."""
        return [self._question(number, now) for number in self.asked if number not in self._readings]

    def _question(self, to: int, now: int) -> Tell:
        number = self._chance.getrandbits(64)
        self._out[number] = to, now
        return Tell(to, write(AskClock(number)))

    def heard(self, sender: int, told: TellClock, now: int) -> None:
        """An answer. One that nobody asked for, or another one was asked for, tells nothing.

        Nor does one that took as long as clocks may differ: the time was read somewhere in between.
        """
        to, asked_at = self._out.get(told.number, (None, 0))
        if to == sender and now - asked_at < AGREE:
            self._readings[sender] = Reading(told.clock - (asked_at + now) // 2, told.age)

    @property
    def settled(self) -> bool:
        """Whether more than half of those who were asked have answered: others would change little."""
        return 2 * len(self._readings) > len(self.asked) or not self.asked

    def ahead(self, age: int) -> int:
        """How far the fleet's clock is ahead of the own one; 0 where they agree, or nobody has answered.

        `age`: since this gateway began.
        """
        ahead = agreed([Reading(0, age), *self._readings.values()])
        return ahead if abs(ahead) >= AGREE else 0


class Rounds:
    """The surveys after that of the start: whoever came first, or was cut off, comes round by them."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._wait = FIRST_WAIT
        self._confirmed = 0

    def wait(self) -> float | None:
        """Seconds until the next survey, drawn by chance; None where no more are wanted."""
        if self._confirmed >= CONFIRMED:
            return None
        wait, self._wait = self._wait, min(2 * self._wait, LONGEST_WAIT)
        return wait * self._chance.uniform(0.5, 1.5)

    def over(self, survey: ClockSurvey, age: int) -> int:
        """A survey has ended: by how many microseconds the own clock is to go ahead; 0 where it stays.

        `age`: as for `ClockSurvey.ahead`. Clocks in service follow most of those who were asked, or nobody.
        """
        ahead = survey.ahead(age) if survey.settled else 0
        self._confirmed = self._confirmed + 1 if survey.settled and not ahead else 0
        return ahead
