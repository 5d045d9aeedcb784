"""A modelled server: cores that share what is in work, a waiting room, cold starts, silence, reports."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lynxreel.emulator.agenda import Agenda
from mothgap.interface import Result

SECOND = 1_000_000  # microseconds
End = Callable[[Result], None]


@dataclass(frozen=True, slots=True)
class Make:
    """What all boxes of one make can do. Spans in microseconds."""

    cores: int = 3
    slots: int = 12  # requests in work at once; they share the cores evenly
    room: int = 60  # requests that may wait for a slot
    thrash: float = 0.0  # share of its pace lost for each request a core beyond...
    thrash_at: float = 5.0  # ...so many held for each core, in work or waiting
    cold_from: float = 0.25  # share of its capacity that one starts with
    cold_span: int = 10 * SECOND
    fall_multiple: float = 3.0  # sent more than this times what it can do...
    fall_span: int = 2 * SECOND  # ...over this span, a cold one falls over and stays down
    report_every: int = SECOND // 2
    report_lag: int = SECOND // 10  # how old a report is when it can first be sent


class Box:
    """One server. What has begun runs on, whoever still waits for it; what nobody waits for is not begun.

    The cores are shared by a clock of work done for each request in work: one that needs so much is ready
    when the clock has moved on by as much.
    """

    def __init__(self, make: Make, agenda: Agenda, mean_work: float, started: int = 0) -> None:
        self.make, self.agenda = make, agenda
        self.mean_work = mean_work  # microseconds of one core, of the requests that come here
        self.started = started  # when its process started; 0: long ago
        self.away = False  # reached by nobody, and silent
        self.slow = 1.0  # how many times longer its work takes
        self.fallen = False
        self._reset()
        self._came: deque[int] = deque()  # arrivals within the longest span that is looked at
        self._reports: deque[tuple[int, float]] = deque([(0, 0.0)])

    def _reset(self) -> None:
        self._clock, self._clock_at = 0.0, self.agenda.now  # work done for each request in work, and when
        self._work: list[tuple[float, int, End]] = []  # ready at, order, who waits
        self._order = itertools.count()
        self._room: deque[tuple[int, int, End]] = deque()  # work, given up at, and who waits
        self._turn = 0  # of the plan for the next that is ready; older ones mean nothing

    def capacity(self) -> float:
        """Share of its full capacity now."""
        age = self.agenda.now - self.started
        if not self.started or age >= self.make.cold_span:
            return 1.0
        return self.make.cold_from + (1 - self.make.cold_from) * age / self.make.cold_span

    def held(self) -> int:
        """Requests in work or waiting."""
        return len(self._work) + len(self._room)

    def restart(self) -> None:
        """A new process, cold and empty; nobody is told by it."""
        turn = self._turn
        self._reset()
        self._turn = turn + 1
        self.started, self.fallen = self.agenda.now, False

    def arrive(self, work: int, until: int, end: End) -> None:
        """A request is here. `end` is told once, or never where the box is silent or starts anew."""
        if self.away:
            return
        if self.fallen:
            end(Result.CONNECT_FAILED)
            return
        self._came.append(self.agenda.now)
        self._watch_fall()
        if len(self._work) < self.make.slots:
            self._move()
            self._begin(work, end)
            self._plan()
        elif len(self._room) < self.make.room:
            self._room.append((work, until, end))
        else:
            end(Result.FULL)

    def report(self) -> float:
        """Requests a second, as an answer that leaves now tells: measured a while ago."""
        now, make = self.agenda.now, self.make
        if now - self._reports[-1][0] >= make.report_every:
            since = now - SECOND
            self._reports.append((now, float(sum(came > since for came in self._came))))
        while len(self._reports) > 1 and self._reports[1][0] <= now - make.report_lag:
            self._reports.popleft()
        return self._reports[0][1]

    def _watch_fall(self) -> None:
        now, keep = self.agenda.now, max(SECOND, self.make.fall_span)
        while self._came and self._came[0] <= now - keep:
            self._came.popleft()
        if self.capacity() >= 1.0:
            return
        since = now - self.make.fall_span
        sent = sum(came > since for came in self._came) * self.mean_work
        able = self.make.cores * self.capacity() * self.make.fall_span
        self.fallen = self.fallen or sent > self.make.fall_multiple * able

    def _pace(self) -> float:
        """Work done for each request in work, in microseconds of work a microsecond."""
        make, count = self.make, len(self._work)
        crowd = max(0.0, self.held() / make.cores - make.thrash_at)
        return self.capacity() / self.slow * min(1.0, make.cores / count) / (1.0 + make.thrash * crowd)

    def _move(self) -> None:
        """Bring the clock up to now. The pace is that of the time since it was last moved, near enough."""
        if self._work:
            self._clock += self._pace() * (self.agenda.now - self._clock_at)
        self._clock_at = self.agenda.now

    def _begin(self, work: int, end: End) -> None:
        heapq.heappush(self._work, (self._clock + work, next(self._order), end))

    def _plan(self) -> None:
        """Come back when the next one is ready, if nothing changes before."""
        self._turn += 1
        if self._work:
            turn, left = self._turn, max(0.0, self._work[0][0] - self._clock)
            self.agenda.after(int(left / self._pace()) + 1, lambda: self._ready(turn))

    def _ready(self, turn: int) -> None:
        if turn != self._turn:
            return
        self._move()
        told: list[End] = []
        while self._work and self._work[0][0] <= self._clock + 1.0:
            told.append(heapq.heappop(self._work)[2])
        while self._room and len(self._work) < self.make.slots:
            work, until, end = self._room.popleft()
            if until >= self.agenda.now:
                self._begin(work, end)
        self._plan()
        if not self.away:
            for end in told:
                end(Result.OK)
