"""Runs the surveys of the fleet's clock over the network, and answers the queries of other gateways."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress

from lynxreel.engine.engine import Clock
from lynxreel.log import log
from lynxreel.peers.datagrams import Peers
from mothgap.interface import PeerMessage
from mothgap.shared_clock import ClockQuery, ClockReply, ClockSurvey, SurveySchedule, decode, encode

SURVEY_TIMEOUT = 0.1  # seconds that a survey waits for replies
RETRY_DELAY = 0.05  # seconds after which gateways that have not replied are queried once more

_started_ns = time.monotonic_ns()  # close enough to the start of the process


def process_uptime() -> int:
    """Microseconds since this process started."""
    return (time.monotonic_ns() - _started_ns) // 1_000


class FleetClock:
    """The clock that a fleet shares: this machine's, corrected by the clocks of other gateways."""

    def __init__(self, peers: Peers, index: int, fleet: int, rng: random.Random) -> None:
        """`peers` is open, and posts its messages to `take`. `index`: this gateway's number, of `fleet`."""
        self.clock, self.peers = Clock(), peers
        self._index, self._fleet, self._rng = index, fleet, rng
        self._shift = 0  # microseconds by which the fleet's clock is ahead of `clock`
        self._survey: ClockSurvey | None = None
        self._quorum_reached = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def now(self) -> int:
        """The fleet's time in microseconds, as far as this gateway knows it."""
        return self.clock.now() + self._shift

    def on_message(self, message: PeerMessage) -> bool:
        """Handle a message about the clock, and answer a query at once; False for any other message."""
        received = decode(message.data)
        if isinstance(received, ClockQuery):
            answer = ClockReply(received.query_id, self.now(), process_uptime())
            self.peers.tell(message.sender, encode(answer))
        elif isinstance(received, ClockReply) and self._survey is not None:
            self._survey.on_reply(message.sender, received, self.now())
            if self._survey.has_quorum:
                self._quorum_reached.set()
        return received is not None

    async def synchronize(self) -> None:
        """Set `clock` by the gateways that reply in time; to be called before anything else uses it."""
        survey = await self._ask()
        ahead = survey.offset(process_uptime())
        if ahead:
            self._log_shift(ahead)
            self.clock = Clock(self.clock.base + ahead * 1_000)

    def follow(self, on_shift: Callable[[int], None]) -> None:
        """Make further surveys until several in a row are answered by a majority and find no difference.

        `on_shift` is called with how far the fleet's clock is ahead of `clock`, in microseconds, when that
        changes.
        """
        self._task = asyncio.get_running_loop().create_task(self._follow(on_shift))

    def close(self) -> None:
        """Stop making surveys."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self, on_shift: Callable[[int], None]) -> None:
        schedule = SurveySchedule(self._rng)
        while (delay := schedule.next_delay()) is not None:
            await asyncio.sleep(delay)
            if ahead := schedule.on_survey_end(await self._ask(), process_uptime()):
                self._log_shift(ahead)
                self._shift += ahead
                on_shift(self._shift)

    async def _ask(self) -> ClockSurvey:
        """Make a survey; it holds the replies that arrived in time."""
        self._survey = survey = ClockSurvey(self._index, self._fleet, self._rng)
        self._quorum_reached.clear()
        for delay in (RETRY_DELAY, SURVEY_TIMEOUT - RETRY_DELAY):
            if survey.has_quorum:
                break
            for query in survey.queries(self.now()):
                self.peers.tell(query.to, query.data)
            with suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await self._quorum_reached.wait()
        self._survey = None
        return survey

    @staticmethod
    def _log_shift(ahead: int) -> None:
        log(f"other gateways' clocks are {ahead / 1e6:+.3f} s ahead of this one's: theirs are followed")
