"""When a watch on the list of servers is opened, opened once more beside one that is silent, and left.

No I/O: what the sockets tell goes in, what they are to do comes out; the clock and the random numbers are
handed in. Times are seconds on a clock that never steps.

A watch lives while whole lines come, empty ones among them. One that has been silent for longer than the
time between two such signs is not believed any more, but it is not left either: another is opened beside it,
and only when that one has told something is the old one closed. So whatever speaks first is heard.

Two kinds of service are told apart, by the settings:

- an agent on this machine, to which lists are pushed: it answers at once and calls cost nobody anything; what
  it has counts as told to this instance, whether or not a watch is open. It is called again within a fraction
  of the grace for drains, however large the fleet is, until it answers.
- a service that the whole fleet calls, and at which a call may wait: it is called once at a time, and the
  waits after a failure grow with failures and with the fleet (`backoff.shared`). Whatever has failed, it is
  called again soon enough for news to be here within 6 s of its being there to be had: silence, the time over
  which a fleet comes back and one call come to less, and so do a wait and one call.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from lynxreel.backoff import CROWDED_MOST, Backoff, shared

QUIET = 2.5  # seconds without a whole line: a sign of life comes every 2 s
OFTEN = 0.25  # seconds between calls to an agent that does not answer: half of the usual grace for a drain
SOON = 0.05  # seconds of the mean wait after an agent's watch has ended
BESIDE = 4  # calls that may wait for an agent's answer at once; a loop that stood still finds one answered
WAITS = 2.25  # seconds that a call may wait at a service for its turn: it gives calls up itself after 2 s
SPREAD = 1.0  # seconds over which a fleet comes back whose watches on a service fell silent together


class End(Enum):
    """How a watch ended that this side did not close."""

    UNREACHED = "could not be opened"
    LOST = "has ended"
    TURNED_AWAY = "was turned away"
    SPOILT = "told what can't be read"


@dataclass(frozen=True, slots=True)
class Open:
    """Open a watch, from the version at hand."""

    watch: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close it; nothing that it tells counts any more."""

    watch: int


@dataclass(frozen=True, slots=True)
class Said:
    """A line for the operators."""

    text: str


Action = Open | Close | Said


@dataclass(frozen=True, slots=True)
class Terms:
    """What the service is, and how often it has to be asked."""

    agent: bool  # on this machine, with lists pushed to it
    fleet: int = 1  # instances that call the same service
    ask_within: float = 0.0  # seconds in which a service has to be asked; 0 where nobody says so


@dataclass(slots=True)
class _Trial:
    """A watch that has told nothing yet."""

    since: float  # when it was opened, or when its last byte came
    speaks: bool = False  # part of its first line is here


class Freshness:
    """Decides which watches are open."""

    def __init__(self, terms: Terms, chance: random.Random) -> None:
        self._chance = chance
        self._backoff = Backoff(1.0, 1.0, chance)
        self._number = 0
        self._trials: dict[int, _Trial] = {}  # in the order in which they were opened
        self._current: int | None = None  # the one that told something last
        self._heard_at = 0.0
        self._next: float | None = 0.0  # when the next one is opened; None: nothing is wanted
        self._quiet = False  # the operators know that nothing comes
        self.adopt(terms)

    def adopt(self, terms: Terms) -> None:
        """The service is of another kind, or the fleet of another size."""
        self._terms = terms
        self._backoff.adopt(*((SOON, OFTEN) if terms.agent else shared(terms.fleet, terms.ask_within)))

    @property
    def current(self) -> int | None:
        """The watch that is believed."""
        return self._current

    def due(self) -> float | None:
        """When `tick` has something to do."""
        times = [trial.since + self._patience for trial in self._trials.values()]
        if self._next is not None:
            times.append(self._next)
        elif self._current is not None and not self._trials:
            times.append(self._heard_at + QUIET)
        return min(times, default=None)

    @property
    def _patience(self) -> float:
        return BESIDE * OFTEN if self._terms.agent else WAITS

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        actions: list[Action] = []
        for watch, trial in list(self._trials.items()):
            if now >= trial.since + self._patience:
                del self._trials[watch]
                actions += [Close(watch), *self._tell("discovery gives no answer")]
                if self._next is None:
                    self._again(now)
        idle = self._current is not None and not self._trials and self._next is None
        if idle and now >= self._heard_at + QUIET:
            actions += self._silent(now)
        if self._next is not None and now >= self._next:
            actions += self._open(now)
        return actions

    def _silent(self, now: float) -> list[Action]:
        """The watch that is open tells nothing. At a service a whole fleet may be in the same place."""
        self._next = now if self._terms.agent else now + self._chance.uniform(0.0, SPREAD)
        return self._tell(f"the watch on discovery has been silent for {now - self._heard_at:.1f} s")

    def _tell(self, text: str) -> list[Action]:
        """Once, until a watch tells something again."""
        said, self._quiet = self._quiet, True
        return [] if said else [Said(text)]

    def _open(self, now: float) -> list[Action]:
        """One more call. While an agent does not answer, further ones follow beside it."""
        actions: list[Action] = []
        self._next = now + OFTEN * self._chance.uniform(0.8, 1.2) if self._terms.agent else None
        if any(trial.speaks for trial in self._trials.values()):
            return actions  # a long list is on its way
        if len(self._trials) >= BESIDE:
            oldest = next(iter(self._trials))
            del self._trials[oldest]
            actions.append(Close(oldest))
        self._number += 1
        self._trials[self._number] = _Trial(now)
        return [*actions, Open(self._number)]

    def _again(self, now: float, crowded: bool = False) -> None:
        """A call has failed: the next one follows, if it is not due sooner. `crowded`: it was turned away."""
        at = now + self._backoff.wait(CROWDED_MOST if crowded and not self._terms.agent else 0.0)
        if self._next is None or at < self._next:
            self._next = at

    def bytes(self, watch: int, now: float) -> None:
        """Part of a line; the head of an answer tells nothing yet."""
        if (trial := self._trials.get(watch)) is not None:
            trial.since, trial.speaks = now, True

    def heard(self, watch: int, now: float) -> list[Action]:
        """A whole line, with news or empty."""
        if watch == self._current:
            self._heard_at = now  # one that is being opened is wanted all the same: lines may be missing
            if not self._trials and self._next is None:
                self._quiet = False
            return []
        if watch not in self._trials:
            return []
        del self._trials[watch]
        others = ([] if self._current is None else [self._current]) + list(self._trials)
        self._trials.clear()
        said: list[Action] = [Said("the watch on discovery is open again")] if self._quiet else []
        self._current, self._heard_at, self._next, self._quiet = watch, now, None, False
        self._backoff.worked()
        return [*said, *(Close(other) for other in others)]

    def ended(self, watch: int, how: End, now: float, why: str = "") -> list[Action]:
        """A watch has ended, or could not be opened; `why` is for the operators."""
        if watch == self._current:
            self._current = None
        elif self._trials.pop(watch, None) is None:
            return []
        if not self._trials or self._terms.agent:
            self._again(now, how is End.TURNED_AWAY)
        return self._tell(f"the watch on discovery {how.value}{why and f' ({why})'}: another is opened")

    def moved(self, now: float) -> list[Action]:
        """The service is elsewhere. Calls to the old place are over; the watch there tells on until then."""
        trials, self._next = list(self._trials), now
        self._trials.clear()
        self._backoff.worked()  # nothing has failed there
        return [Close(watch) for watch in trials]
