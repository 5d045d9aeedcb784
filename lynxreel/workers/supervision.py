"""What a supervisor does with its workers. No I/O: events in, actions out, the clock handed in (seconds).

A worker is started, becomes ready, and shows life again and again. One that dies is started again: at once
after a good life, after a growing pause where it dies at once again and again, and not any more after so
many of those. One that shows no life is killed, and started again when it has ended. Reloads and drains go
round, one worker at a time; a stop goes to all.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

STALLED = 0.5  # of the watchdog's time; a supervisor that did not run for so long blames no worker for it
STOP_MARGIN = 2.0  # seconds beyond a worker's own time to stop, after which it is killed


@dataclass(frozen=True, slots=True)
class Terms:
    """The figures of the operator file; all times are in seconds."""

    workers: int
    watchdog: float = 5.0  # without a sign of life
    quick: float = 1.0  # a shorter life counts as dying at once
    pause: float = 0.1  # before a restart after the first of those; doubled with each further one
    most_pause: float = 10.0
    give_up: int = 5  # deaths at once, in a row
    stop: float = 11.0  # the longest that a worker takes to stop by itself


class Phase(Enum):
    """Where a worker stands; the values are what the state file says."""

    STARTING = "starting"
    READY = "ready"
    ENDING = "ending"  # it has been told to
    KILLED = "killed"  # it showed no life
    PAUSED = "paused"  # dead, and to be started again
    GIVEN_UP = "given up"
    ENDED = "ended"


class Signal(Enum):
    """What a worker is sent."""

    RELOAD = "reload"
    DRAIN = "drain"
    STOP = "stop"
    KILL = "kill"


class Ask(Enum):
    """What an operator asks of all."""

    RELOAD = "reload"
    DRAIN = "drain"  # one after another, and then the end
    STOP = "stop"
    LEAVE = "leave"  # drain all at once: another supervisor serves in their place


@dataclass(frozen=True, slots=True)
class Ready:
    """A worker serves, or would where its door is open."""

    slot: int


@dataclass(frozen=True, slots=True)
class Beat:
    """A worker's loop turns."""

    slot: int


@dataclass(frozen=True, slots=True)
class Reloaded:
    """A worker has read its file again; with problems, it goes by the old one."""

    slot: int
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ended:
    """A worker's process has ended."""

    slot: int
    how: str  # for the log


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event: TypeAlias = Ask | Ready | Beat | Reloaded | Ended | Tick


@dataclass(frozen=True, slots=True)
class Start:
    """Start a worker's process."""

    slot: int


@dataclass(frozen=True, slots=True)
class Send:
    """Send a worker's process a signal."""

    slot: int
    signal: Signal


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class Done:
    """A reload has gone round, or has been refused on the way."""

    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Unlisten:
    """Nobody will take connections any more: the supervisor's own descriptors are to go, too."""


@dataclass(frozen=True, slots=True)
class Exit:
    """No worker is left."""

    gave_up: bool = False


Action: TypeAlias = Start | Send | Say | Done | Unlisten | Exit


@dataclass(slots=True)
class Worker:
    """What is known of one."""

    phase: Phase = Phase.ENDED
    since: float = 0.0  # when its process started, or the pause ends
    beat: float = 0.0
    quick: int = 0  # deaths at once, in a row
    deaths: int = 0
    reload_due: bool = False  # a reload began after it had been started


@dataclass(slots=True)
class Supervision:
    """All workers of one supervisor."""

    terms: Terms
    workers: list[Worker] = field(default_factory=list)
    ending: Ask | None = None  # what kind of end was asked for
    reloading: bool = False
    _at: float = 0.0  # when it was last given an event
    _round: deque[int] = field(default_factory=deque)  # workers that the reload has still to come to
    _now_reloading: int | None = None
    _again: bool = False  # a reload was asked for in the middle of another one
    _kill_at: float = 0.0
    _over: bool = False

    def start(self, now: float) -> list[Action]:
        """Start them all."""
        self._at = now
        self.workers = [Worker() for _ in range(self.terms.workers)]
        return [self._start(slot, now) for slot in range(self.terms.workers)]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; return what to do, in order."""
        if self._over:
            return []
        self._forgive(now)
        match event:
            case Ready(slot):
                return self._ready(slot)
            case Beat(slot):
                self.workers[slot].beat = now
                return []
            case Reloaded(slot, problems):
                return self._reloaded(slot, problems)
            case Ended(slot, how):
                return self._ended(slot, how, now)
            case Tick():
                return self._tick(now)
            case _:
                return self._asked(event, now)

    def due(self) -> float:
        """When a `Tick` is wanted; infinity where none is."""
        times = [worker.since for worker in self.workers if worker.phase is Phase.PAUSED]
        times += [w.beat + self.terms.watchdog for w in self.workers if self._watched(w)]
        if self.ending in (Ask.STOP, Ask.LEAVE):
            times.append(self._kill_at)
        return min(times, default=float("inf"))

    @property
    def serving(self) -> bool:
        """All are ready, but for those that were given up."""
        return all(worker.phase in (Phase.READY, Phase.GIVEN_UP) for worker in self.workers)

    # --- lives ------------------------------------------------------------------------------------------

    def _start(self, slot: int, now: float) -> Start:
        worker = self.workers[slot]
        worker.phase, worker.since, worker.beat, worker.reload_due = Phase.STARTING, now, now, False
        return Start(slot)

    def _ready(self, slot: int) -> list[Action]:
        worker = self.workers[slot]
        if worker.phase is not Phase.STARTING:
            return []
        worker.phase = Phase.READY
        # It may have read the file before the last change of it.
        if worker.reload_due and not self.ending:
            worker.reload_due = False
            if self.reloading:
                self._round.append(slot)
                return []
            return self._begin_round([slot])
        return []

    def _ended(self, slot: int, how: str, now: float) -> list[Action]:
        worker = self.workers[slot]
        if worker.phase in (Phase.PAUSED, Phase.GIVEN_UP, Phase.ENDED):
            return []
        life, was = now - worker.since, worker.phase
        worker.phase = Phase.ENDED
        if self.ending:
            return self._next_end(now)
        worker.deaths += 1
        # One that was killed for showing no life has lived for as long as the watchdog waits, at least.
        worker.quick = worker.quick + 1 if life < self.terms.quick else 0
        actions: list[Action] = []
        if worker.quick >= self.terms.give_up:
            worker.phase = Phase.GIVEN_UP
            actions.append(Say(f"worker {slot} is given up: it {how}, {worker.quick} times at once in a row"))
            if all(w.phase is Phase.GIVEN_UP for w in self.workers):
                self._over = True
                return [*actions, Unlisten(), Exit(gave_up=True)]
        elif worker.quick:
            pause = min(self.terms.most_pause, self.terms.pause * 2.0 ** (worker.quick - 1))
            worker.phase, worker.since = Phase.PAUSED, now + pause
            actions.append(Say(f"worker {slot} {how} at once; it is started again in {pause:g} s"))
        else:
            why = "was killed, as it showed no life" if was is Phase.KILLED else how
            actions += [Say(f"worker {slot} {why}; it is started again"), self._start(slot, now)]
        if slot == self._now_reloading:
            # What starts in its place reads the file as it stands.
            actions += self._next_reload()
        return actions

    def _watched(self, worker: Worker) -> bool:
        return worker.phase in (Phase.STARTING, Phase.READY)

    def _tick(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if self.ending in (Ask.STOP, Ask.LEAVE) and now >= self._kill_at:
            self._kill_at = now + STOP_MARGIN
            for slot, worker in enumerate(self.workers):
                if worker.phase is Phase.ENDING:
                    actions += [Say(f"worker {slot} has not ended in time: killed"), Send(slot, Signal.KILL)]
        for slot, worker in enumerate(self.workers):
            if worker.phase is Phase.PAUSED and now >= worker.since:
                actions.append(self._start(slot, now))
            elif self._watched(worker) and now - worker.beat >= self.terms.watchdog:
                worker.phase = Phase.KILLED
                silent = f"worker {slot} has shown no life for {self.terms.watchdog:g} s: killed"
                actions += [Say(silent), Send(slot, Signal.KILL)]
        return actions

    def _forgive(self, now: float) -> None:
        """Guards workers against a supervisor that was stopped itself: their signs of life wait unread."""
        if now - self._at > STALLED * self.terms.watchdog:
            for worker in self.workers:
                worker.beat = max(worker.beat, now)
        self._at = now

    # --- rounds -----------------------------------------------------------------------------------------

    def _asked(self, ask: Ask, now: float) -> list[Action]:
        if ask is Ask.RELOAD:
            return self._reload()
        if self.ending in (Ask.STOP, Ask.LEAVE) or (ask is Ask.DRAIN and self.ending):
            return []  # it is on its way
        self.ending, self._round = ask, deque()
        actions: list[Action] = []
        if self.reloading:
            self.reloading, self._now_reloading, self._again = False, None, False
            actions.append(Done(("broken off: the end was asked for",)))
        for worker in self.workers:
            if worker.phase in (Phase.PAUSED, Phase.GIVEN_UP):
                worker.phase = Phase.ENDED
        if ask is Ask.DRAIN:
            return actions + self._next_end(now)
        self._kill_at = now + self.terms.stop + STOP_MARGIN
        signal = Signal.STOP if ask is Ask.STOP else Signal.DRAIN
        actions.append(Unlisten())
        for slot, worker in enumerate(self.workers):
            if self._watched(worker) or worker.phase is Phase.ENDING:
                worker.phase = Phase.ENDING
                actions.append(Send(slot, signal))
        return actions + self._all_ended()

    def _reload(self) -> list[Action]:
        if self.ending:
            return [Done(("not now: the end was asked for",))]
        if self.reloading:
            self._again = True
            return []
        actions: list[Action] = []
        for slot, worker in enumerate(self.workers):
            if worker.phase is Phase.GIVEN_UP:  # the operator may have mended what it died of
                worker.quick, worker.phase, worker.since = 0, Phase.PAUSED, 0.0
                actions.append(Say(f"worker {slot} is tried again"))
        return actions + self._begin_round([s for s, w in enumerate(self.workers) if self._watched(w)])

    def _begin_round(self, slots: list[int]) -> list[Action]:
        self.reloading, self._round = True, deque(slots)
        for slot in slots:
            self.workers[slot].reload_due = self.workers[slot].phase is Phase.STARTING
        return self._next_reload()

    def _next_reload(self) -> list[Action]:
        self._now_reloading = None
        while self._round:
            slot = self._round.popleft()
            if self.workers[slot].phase is Phase.READY:
                self._now_reloading = slot
                return [Send(slot, Signal.RELOAD)]
        self.reloading = False
        if self._again:
            self._again = False
            return [Done(), *self._reload()]
        return [Done()]

    def _reloaded(self, slot: int, problems: tuple[str, ...]) -> list[Action]:
        if slot != self._now_reloading:
            return []
        if not problems:
            return self._next_reload()
        # The others stay as they are: what one refuses would be refused by each, or would divide them.
        self.reloading, self._now_reloading = False, None
        again, self._again = self._again, False
        told = tuple(f"worker {slot}: {problem}" for problem in problems)
        return [Done(told), *(self._reload() if again else [])]

    def _next_end(self, now: float) -> list[Action]:
        """The next worker to drain, where they go one by one."""
        on_its_way = any(worker.phase in (Phase.ENDING, Phase.KILLED) for worker in self.workers)
        if self.ending is Ask.DRAIN and not on_its_way:
            left = [slot for slot, worker in enumerate(self.workers) if self._watched(worker)]
            if left:
                self.workers[left[0]].phase = Phase.ENDING
                return [*([Unlisten()] if len(left) == 1 else []), Send(left[0], Signal.DRAIN)]
        return self._all_ended()

    def _all_ended(self) -> list[Action]:
        if all(worker.phase is Phase.ENDED for worker in self.workers):
            self._over = True
            return [Exit()]
        return []
