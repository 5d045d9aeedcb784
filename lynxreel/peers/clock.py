"""The shell round the fleet's clock: what a gateway asks of the others, and what it answers them."""

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
from mothgap.shared_clock import AskClock, ClockSurvey, Rounds, TellClock, read, write

PATIENCE = 0.1  # seconds for which a survey waits for answers
AGAIN = 0.05  # seconds after which those who have not answered are asked once more

_began_ns = time.monotonic_ns()  # as near to the start of the process as makes no difference


def process_age() -> int:
    """Microseconds since this process began."""
    return (time.monotonic_ns() - _began_ns) // 1_000


class FleetClock:
    """The clock that a fleet goes by: this machine's, put right by what other gateways tell of theirs."""

    def __init__(self, peers: Peers, index: int, fleet: int, chance: random.Random) -> None:
        """`peers` are open; this one is `index` of `fleet`. What they say goes to `take`."""
        self.clock, self.peers = Clock(), peers
        self._index, self._fleet, self._chance = index, fleet, chance
        self._shift = 0  # microseconds by which the fleet's clock is ahead of `clock`, found in service
        self._survey: ClockSurvey | None = None
        self._answered = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def now(self) -> int:
        """The fleet's time in microseconds, as far as it is known here."""
        return self.clock.now() + self._shift

    def take(self, message: PeerMessage) -> bool:
        """Whether the message is about the clock; a question is answered at once."""
        told = read(message.data)
        if isinstance(told, AskClock):
            answer = TellClock(told.number, self.now(), process_age())
            self.peers.tell(message.sender, write(answer))
        elif isinstance(told, TellClock) and self._survey is not None:
            self._survey.heard(message.sender, told, self.now())
            if self._survey.settled:
                self._answered.set()
        return told is not None

    async def begin(self) -> None:
        """Set `clock` by whoever answers in time. Before anything else goes by it."""
        survey = await self._ask()
        ahead = survey.ahead(process_age())
        if ahead:
            self._say(ahead)
            self.clock = Clock(self.clock.base + ahead * 1_000)

    def follow(self, shifted: Callable[[int], None]) -> None:
        """Go on asking until most of those who are asked have answered, and agree.

        `shifted` hears how far the fleet's clock is ahead of `clock`, in microseconds, when that changes.
        """
        self._task = asyncio.get_running_loop().create_task(self._follow(shifted))

    def close(self) -> None:
        """The end."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self, shifted: Callable[[int], None]) -> None:
        rounds = Rounds(self._chance)
        while (wait := rounds.wait()) is not None:
            await asyncio.sleep(wait)
            if ahead := rounds.over(await self._ask(), process_age()):
                self._say(ahead)
                self._shift += ahead
                shifted(self._shift)

    async def _ask(self) -> ClockSurvey:
        """A survey, with the answers that came in time."""
        self._survey = survey = ClockSurvey(self._index, self._fleet, self._chance)
        self._answered.clear()
        for wait in (AGAIN, PATIENCE - AGAIN):
            if survey.settled:
                break
            for question in survey.ask(self.now()):
                self.peers.tell(question.to, question.data)
            with suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self._answered.wait()
        self._survey = None
        return survey

    @staticmethod
    def _say(ahead: int) -> None:
        log(f"other gateways' clocks are {ahead / 1e6:+.3f} s ahead of this one's: theirs are followed")
