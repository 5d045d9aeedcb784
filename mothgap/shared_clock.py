"""The clock of a fleet: at its start, a gateway queries others for the time.

Quota windows and ages of servers are derived from the wall clock, read once at the start. Where the machine's
clock was stepped before that, the gateway would use windows that no other uses, and take cold servers for
warm ones. So before it numbers its first window, it queries a few gateways and adopts the median of their
clocks and its own: among three clocks, a single wrong one has no effect. Of two clocks that disagree, the one
of the gateway with the longer uptime wins.

Messages share the datagrams and the code numbers of `lending`; versions that do not know them drop them.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from mothgap.interface import Tell
from mothgap.lending import VERSION

QUERY_CODE, REPLY_CODE = 3, 4
MAX_QUERIED = 8  # gateways that are queried, however large the fleet is
CLOCK_TOLERANCE = 500_000  # microseconds; clocks that differ by less count as the same
FIRST_DELAY = 1.0  # seconds; mean delay from the start to the next survey, doubled after each...
MAX_DELAY = 10.0  # ...up to this many seconds
CONFIRMING_SURVEYS = 4  # consecutive surveys with a quorum and no difference, after which no more are made
_QUERY_FORMAT, _REPLY_FORMAT = struct.Struct("<BBQ"), struct.Struct("<BBQQQ")


@dataclass(frozen=True, slots=True)
class ClockQuery:
    """A query for the receiver's time."""

    query_id: int  # random; the reply repeats it


@dataclass(frozen=True, slots=True)
class ClockReply:
    """A gateway's clock at the time of its reply. Times are microseconds."""

    query_id: int
    clock: int
    uptime: int  # of the replying gateway


@dataclass(frozen=True, slots=True)
class Reading:
    """One gateway's clock relative to this gateway's own, and its uptime, in microseconds."""

    offset: int
    uptime: int


def decode(data: bytes) -> ClockQuery | ClockReply | None:
    """Decode a message; None where it is truncated, of another version, or of another kind."""
    if len(data) == _QUERY_FORMAT.size and data[0] == VERSION and data[1] == QUERY_CODE:
        return ClockQuery(_QUERY_FORMAT.unpack(data)[2])
    if len(data) == _REPLY_FORMAT.size and data[0] == VERSION and data[1] == REPLY_CODE:
        return ClockReply(*_REPLY_FORMAT.unpack(data)[2:])
    return None


def encode(message: ClockQuery | ClockReply) -> bytes:
    """Encode a message in at most 26 bytes."""
    if isinstance(message, ClockQuery):
        return _QUERY_FORMAT.pack(VERSION, QUERY_CODE, message.query_id)
    return _REPLY_FORMAT.pack(VERSION, REPLY_CODE, message.query_id, message.clock, message.uptime)


def consensus_offset(readings: Sequence[Reading]) -> int:
    """How far the median clock is ahead of this gateway's own, whose reading of 0 is among `readings`.

    With an even number of readings whose middle two disagree, the clock of the gateway with the longest
    uptime is used: all gateways choose the same one that way.
    """
    ordered = sorted(readings, key=lambda reading: reading.offset)
    low, high = ordered[(len(ordered) - 1) // 2].offset, ordered[len(ordered) // 2].offset
    if high - low < CLOCK_TOLERANCE:
        return low
    return max(readings, key=lambda reading: reading.uptime).offset


class ClockSurvey:
    """Queries for the time to a few other gateways, and their replies. Times are microseconds."""

    def __init__(self, index: int, fleet: int, rng: random.Random) -> None:
        """`index`: this gateway's number. `fleet`: the number of gateways."""
        others = [number for number in range(fleet) if number != index]
        self.queried = rng.sample(others, min(MAX_QUERIED, len(others)))
        self._rng = rng
        self._pending: dict[int, tuple[int, int]] = {}  # by query id: the gateway, and the time of sending
        self._readings: dict[int, Reading] = {}  # by gateway number

    def queries(self, now: int) -> list[Tell]:
        """Queries to all gateways that have not replied yet. `now`: by this gateway's own clock."""
        return [self._query(number, now) for number in self.queried if number not in self._readings]

    def _query(self, to: int, now: int) -> Tell:
        query_id = self._rng.getrandbits(64)
        self._pending[query_id] = to, now
        return Tell(to, encode(ClockQuery(query_id)))

    def on_reply(self, sender: int, reply: ClockReply, now: int) -> None:
        """Take a reply. One that was not requested, or is from another gateway, is ignored.

        So is one whose round trip took as long as clocks may differ: it is unknown when in between the
        remote clock was read.
        """
        to, sent_at = self._pending.get(reply.query_id, (None, 0))
        if to == sender and now - sent_at < CLOCK_TOLERANCE:
            self._readings[sender] = Reading(reply.clock - (sent_at + now) // 2, reply.uptime)

    @property
    def has_quorum(self) -> bool:
        """Whether more than half of the queried gateways have replied: more would change little."""
        return 2 * len(self._readings) > len(self.queried) or not self.queried

    def offset(self, uptime: int) -> int:
        """How far the fleet's clock is ahead of this gateway's own; 0 where they agree or nobody has replied.

        `uptime`: this gateway's own.
        """
        offset = consensus_offset([Reading(0, uptime), *self._readings.values()])
        return offset if abs(offset) >= CLOCK_TOLERANCE else 0


class SurveySchedule:
    """Schedules the surveys after the first: they correct a gateway that started first or was cut off."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._delay = FIRST_DELAY
        self._confirmed = 0

    def next_delay(self) -> float | None:
        """Randomized delay until the next survey in seconds; None where no more are needed."""
        if self._confirmed >= CONFIRMING_SURVEYS:
            return None
        delay, self._delay = self._delay, min(2 * self._delay, MAX_DELAY)
        return delay * self._rng.uniform(0.5, 1.5)

    def on_survey_end(self, survey: ClockSurvey, uptime: int) -> int:
        """Evaluate a survey: by how many microseconds to advance this gateway's clock; 0 to keep it.

        `uptime`: this gateway's own. A clock in service is changed only where a majority has replied.
        """
        offset = survey.offset(uptime) if survey.has_quorum else 0
        self._confirmed = self._confirmed + 1 if survey.has_quorum and not offset else 0
        return offset
