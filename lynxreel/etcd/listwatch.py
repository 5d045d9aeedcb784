"""List, then watch from there on: what to ask of which endpoint, and what its answers prove; without I/O.

All that is under a prefix is listed at one revision, and watched from the next one. What can go wrong:

- The stream breaks: it is opened again, at another endpoint if there is one, from the revision after the last
  that was taken whole. Nothing is listed again.
- That revision has been compacted: what was missed can't be told, so all is listed, and whoever takes it in
  works out the difference.
- The stream is open and silent: it is asked for its progress; no answer is a broken stream.
- A revision split over several messages is held until the last of them.
- A revision runs backwards, or the cluster is another one: a restored backup, or an endpoint that lags behind
  or belongs elsewhere. All is listed, at each endpoint in turn. One that goes on from what is known is
  believed; the odd one is taken once all are odd, or the others have been out of reach for long.

Times are seconds on a clock that never steps. Waits before trying again are drawn, so that a fleet which lost
its etcd does not come back in one moment.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from lynxreel.backoff import Backoff


@dataclass(frozen=True, slots=True)
class Header:
    """Who answered, and at which revision its store was."""

    cluster: int
    member: int
    revision: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One key as it stands. `value` is whatever the shell has made of it."""

    key: str
    value: object
    revision: int  # of its last change
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """One key put, or deleted where there is no entry."""

    key: str
    revision: int
    entry: Entry | None


@dataclass(frozen=True, slots=True)
class List:
    """List all that there is, at this endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Open a stream at this endpoint, from this revision on."""

    endpoint: int
    revision: int


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the stream for its progress."""


@dataclass(frozen=True, slots=True)
class Drop:
    """End what is under way, and the connection."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Whole:
    """All that there is, as of a revision."""

    revision: int
    entries: Sequence[Entry]


@dataclass(frozen=True, slots=True)
class Changes:
    """Whole revisions, in their order, up to this one."""

    revision: int
    changes: Sequence[Change]


@dataclass(frozen=True, slots=True)
class Alive:
    """The source has been heard, with nothing new."""


@dataclass(frozen=True, slots=True)
class Said:
    """A line for the operators."""

    text: str


Action = List | Watch | Ask | Drop | Whole | Changes | Alive | Said


@dataclass(frozen=True)
class Times:
    """Seconds."""

    answer: float = 3.0  # for a list to go on, a stream to open, or to tell its progress
    idle: float = 2.0  # without a word after which a stream is asked for its progress
    again: float = 0.025  # the mean wait before trying again; each failure in a row doubles it...
    again_top: float = 1.0  # ...up to this
    doubt: float = 30.0  # after which an endpoint that goes against what is known is taken, if alone
    spread: float = 0.2  # over which a fleet spreads its lists after a compaction


class Phase(Enum):
    """What is under way."""

    RESTING = "resting"
    LISTING = "listing"
    OPENING = "opening"
    WATCHING = "watching"


class ListWatch:
    """One gateway's following of one prefix."""

    def __init__(self, endpoints: int, random: Random, times: Times = Times()) -> None:
        self.phase = Phase.RESTING
        self.endpoint = 0
        self.revision = -1  # up to which all is known; -1: nothing yet
        self.lists = self.watches = 0  # so far
        self._count, self._random, self._times = endpoints, random, times
        self._cluster = 0
        self._members: dict[int, int] = {}  # by endpoint
        self._list_next = True
        self._due = 0.0
        self._asked = False
        self._backoff = Backoff(times.again, times.again_top, random)
        self._parts: list[Change] = []  # of a revision that is not whole yet
        self._odd: set[int] = set()  # endpoints that went against what is known
        self._odd_since = 0.0

    # --- events -----------------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Begin, at an endpoint that is drawn: not all gateways at the same one."""
        self.endpoint = self._random.randrange(self._count)
        return self._go(now)

    def page(self, now: float) -> None:
        """A list goes on."""
        self._due = now + self._times.answer

    def listed(self, now: float, header: Header, entries: Sequence[Entry]) -> list[Action]:
        """All pages of a list, as of the header's revision."""
        if self._against(header) and not self._sure(now):
            fresh = self.endpoint not in self._odd
            self._odd.add(self.endpoint)
            why = f"endpoint {self.endpoint} {self._why(header)}: the others are asked first"
            self._next()
            waiting = self._rest(now, self._times.again_top, listing=True)
            return [Said(why), *waiting] if fresh else waiting
        told = []
        if self._against(header):
            told = [Said(f"{self._why(header)}: taken as a new start, as no endpoint knows better")]
        elif self._odd:
            told = [Said(f"endpoint {self.endpoint} goes on from revision {self.revision}: it is believed")]
        self._odd.clear()
        self._cluster, self.revision = header.cluster, header.revision
        self._members[self.endpoint] = header.member
        self._list_next = False
        return [*told, Whole(header.revision, entries), *self._open(now)]

    def created(self, now: float, header: Header) -> list[Action]:
        """The stream is open. One from a revision that the store has yet to reach would wait in silence."""
        if self._against(header):
            return [Said(f"endpoint {self.endpoint} {self._why(header)}"), *self._list(now)]
        if self._members.get(self.endpoint, header.member) != header.member:
            return [Said(f"endpoint {self.endpoint} is another member: listed anew"), *self._list(now)]
        self._members[self.endpoint] = header.member
        self.phase = Phase.WATCHING
        self._hear(now)
        return [Alive()]

    def changed(self, now: float, header: Header, changes: Sequence[Change], more: bool) -> list[Action]:
        """A message of the stream; `more`: its last revision goes on in the next one."""
        if self._against(header):
            return [Said(f"endpoint {self.endpoint} {self._why(header)}"), *self._list(now)]
        self._hear(now)
        self._backoff.worked()
        self._parts += [change for change in changes if change.revision > self.revision]
        if more or not self._parts:
            return [Alive()]
        whole, self._parts = self._parts, []
        self.revision = whole[-1].revision
        return [Changes(self.revision, whole)]

    def progress(self, now: float, header: Header) -> list[Action]:
        """The stream has sent all up to the header's revision."""
        if self._against(header):
            return [Said(f"endpoint {self.endpoint} {self._why(header)}"), *self._list(now)]
        self._hear(now)
        self._backoff.worked()
        if not self._parts:
            self.revision = max(self.revision, header.revision)
        return [Alive()]

    def compacted(self, now: float, at: int) -> list[Action]:
        """What follows the last revision is gone up to another one."""
        told = Said(f"revisions up to {at} are compacted, {self.revision} was the last known: listed anew")
        wait = self._random.uniform(0, self._times.spread)
        return [told, *self._rest(now, wait, listing=True)]

    def failed(self, now: float, why: str) -> list[Action]:
        """What was under way has ended: another endpoint is next, after a while."""
        told = Said(f"endpoint {self.endpoint}: {why}")
        drop = Drop(self.endpoint)
        self._next()
        return [told, drop, *self._rest(now, self._backoff.wait(), listing=self._list_next)]

    # --- time -------------------------------------------------------------------------------------------

    def due(self) -> float:
        """When `tick` is wanted."""
        return self._due

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        if now < self._due:
            return []
        if self.phase is Phase.RESTING:
            return self._go(now)
        if self.phase is Phase.WATCHING and not self._asked:
            self._asked, self._due = True, now + self._times.answer
            return [Ask()]
        silent = f"{self.phase.value}, and no answer for {self._times.answer:g} s"
        return self.failed(now, silent)

    # --- steps ------------------------------------------------------------------------------------------

    def _against(self, header: Header) -> bool:
        return self.revision >= 0 and (header.cluster != self._cluster or header.revision < self.revision)

    def _sure(self, now: float) -> bool:
        """Whether what goes against all that is known may be taken all the same."""
        if not self._odd:
            self._odd_since = now
        again = self.endpoint in self._odd
        return again and (len(self._odd) == self._count or now - self._odd_since >= self._times.doubt)

    def _why(self, header: Header) -> str:
        if header.cluster != self._cluster:
            return f"is of cluster {header.cluster:x}, not {self._cluster:x}"
        return f"is at revision {header.revision}, after {self.revision}"

    def _hear(self, now: float) -> None:
        self._asked, self._due = False, now + self._times.idle

    def _next(self) -> None:
        self.endpoint = (self.endpoint + 1) % self._count

    def _rest(self, now: float, wait: float, listing: bool) -> list[Action]:
        self.phase, self._list_next, self._due = Phase.RESTING, listing, now + wait
        self._parts = []
        return []

    def _go(self, now: float) -> list[Action]:
        return self._list(now) if self._list_next else self._open(now)

    def _list(self, now: float) -> list[Action]:
        self.phase, self._list_next, self._due = Phase.LISTING, True, now + self._times.answer
        self._parts = []
        self.lists += 1
        return [List(self.endpoint)]

    def _open(self, now: float) -> list[Action]:
        self.phase, self._due, self._asked = Phase.OPENING, now + self._times.answer, False
        self.watches += 1
        return [Watch(self.endpoint, self.revision + 1)]
