"""An instance's life, without I/O: what it is asked and what has happened in, what to do out.

STARTING -> READY <-> DRAINED, and from either (LEAVING ->) DRAINING -> STOPPED. A reload is a step within
READY or DRAINED. A drained instance listens, answers pings with a no, and keeps no connection; it comes back
as often as it is asked. A stop still takes new connections for a while (LEAVING), as whoever sends them
learns of it late; to leave is a stop without that. From a stop there is no way back: one that has told
its front that it goes must go.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class State(Enum):
    """Where an instance stands; the values are what the state file says."""

    STARTING = "starting"
    READY = "ready"
    DRAINED = "drained"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Ask(Enum):
    """What an operator asks for, by a signal or a call."""

    RELOAD = "reload"
    DRAIN = "drain"  # take no clients until asked to
    UNDRAIN = "undrain"
    LEAVE = "leave"
    STOP = "stop"


@dataclass(frozen=True)
class Started:
    """It listens."""


@dataclass(frozen=True)
class Reloaded:
    """The reload that was begun has ended, well or not."""


@dataclass(frozen=True)
class Empty:
    """No connection is left, and so nothing is owed."""


@dataclass(frozen=True)
class Tick:
    """Time has passed."""

    sending: bool = False  # answers are being sent to clients that read them


Event: TypeAlias = Ask | Started | Reloaded | Empty | Tick


class Do(Enum):
    """What the shell round this is to do."""

    TELL = "tell"  # the state file and the service manager
    RELOAD = "reload"  # read the file and take it, whole or not at all; `Reloaded` follows
    SET_ASIDE = "set aside"  # pings hear a no, and each connection ends as soon as nothing is owed on it
    TAKE_BACK = "take back"  # the end of that
    SAY_LEAVING = "say leaving"  # pings are answered that no new work is taken; the end's times are known
    CLOSE = "close"  # the listeners, and each connection as soon as nothing is owed on it
    CUT_OFF = "cut off"  # tell what is left: the process ends with it
    EXIT = "exit"


@dataclass(frozen=True)
class ShutdownTimes:
    """How long each step of a shutdown takes, in seconds.

    `accept` counts from the stop, the others from the close of the listeners. Whoever ends the process from
    outside must not do so before `answer`: then each request that was taken has had its final answer.
    """

    accept: float  # new connections are taken; a leave has none of this
    serve: float  # requests on open connections are taken on; later ones are refused
    answer: float  # by then everything that was taken on is answered, as failed or refused if need be
    cut_off: float  # connections that are left then are cut off
    # But not while answers are being sent, for whoever is killed from outside at a time of its own.
    finish_sending: bool = False


SENDING_CHECK_INTERVAL = 0.1  # seconds


class Life:
    """One instance's life. All times are seconds on one monotonic clock."""

    def __init__(self, times: ShutdownTimes) -> None:
        self.state = State.STARTING
        self.times = times
        self.refuse_at = self.answer_at = math.inf  # once there is an end: from when, and by when
        self.reloading = False
        self._drained = False  # asked for, also where it does not listen yet
        self._reload_again = False
        self._waiting: list[Ask] = []  # asked in the middle of a reload
        self._until = 0.0  # when the present state ends by itself

    def handle(self, now: float, event: Event) -> list[Do]:
        """Take one event; return what to do, in order."""
        match event:
            case Started():
                self.state = State.DRAINED if self._drained else State.READY
                return [Do.SET_ASIDE, Do.TELL] if self._drained else [Do.TELL]
            case Reloaded():
                self.reloading = False
                if self._reload_again and not self._waiting:
                    self._reload_again = False
                    return self._reload()
                return [Do.TELL, *self._next(now)]
            case Tick():
                return self._tick(now, event.sending)
            case Empty():
                return self._exit() if self.state is State.DRAINING else []
            case _:
                return self._ask(now, event)

    @property
    def ready(self) -> bool:
        """Clients are welcome."""
        return self.state is State.READY

    @property
    def ending(self) -> bool:
        """There is no way back."""
        return self.state in (State.LEAVING, State.DRAINING, State.STOPPED)

    def due(self) -> float | None:
        """When a `Tick` is wanted."""
        return self._until if self.state in (State.LEAVING, State.DRAINING) else None

    def _ask(self, now: float, ask: Ask) -> list[Do]:
        if ask in (Ask.DRAIN, Ask.UNDRAIN):
            return self._set_aside(ask is Ask.DRAIN)
        if self.state is State.STARTING and ask is not Ask.RELOAD:
            return self._exit()  # nothing has been taken
        if self.reloading:  # it is not broken off in its middle; it is short
            if ask is Ask.RELOAD:
                self._reload_again = True
            elif ask not in self._waiting:
                self._waiting.append(ask)
            return []
        if ask is Ask.RELOAD:
            return [] if self.ending else self._reload()
        if ask is Ask.STOP and not self.ending and self.times.accept > 0:
            self.state, self._until = State.LEAVING, now + self.times.accept
            self._end(self._until)
            return [Do.SAY_LEAVING, Do.TELL]
        if not self.ending or (ask is Ask.LEAVE and self.state is State.LEAVING):
            return self._drain(now)
        return []  # it is on its way; asking again makes nothing quicker

    def _set_aside(self, drained: bool) -> list[Do]:
        """Also in the middle of a reload: it undoes nothing, and is not undone."""
        if self.ending or drained is self._drained:
            return []
        self._drained = drained
        if self.state is State.STARTING:
            return []
        self.state = State.DRAINED if drained else State.READY
        return [Do.SET_ASIDE if drained else Do.TAKE_BACK, Do.TELL]

    def _next(self, now: float) -> list[Do]:
        """What was asked meanwhile. The end goes before another reload, which nobody would see."""
        waiting, self._waiting = self._waiting, []
        return [do for ask in waiting for do in self._ask(now, ask)]

    def _reload(self) -> list[Do]:
        self.reloading = True
        return [Do.TELL, Do.RELOAD]

    def _drain(self, now: float) -> list[Do]:
        self.state, self._until = State.DRAINING, now + self.times.cut_off
        self._end(now)
        return [Do.SAY_LEAVING, Do.CLOSE, Do.TELL]

    def _end(self, closing: float) -> None:
        """The listeners close at that time. What has been said of the end before can only become earlier."""
        self.refuse_at = min(self.refuse_at, closing + self.times.serve)
        self.answer_at = min(self.answer_at, closing + self.times.answer)

    def _tick(self, now: float, sending: bool) -> list[Do]:
        if now < self._until:
            return []
        if self.state is State.DRAINING and sending and self.times.finish_sending:
            self._until = now + SENDING_CHECK_INTERVAL
            return []
        if self.state is State.LEAVING:
            return self._drain(now)
        if self.state is State.DRAINING:
            return [Do.CUT_OFF, *self._exit()]
        return []

    def _exit(self) -> list[Do]:
        self.state = State.STOPPED
        return [Do.TELL, Do.EXIT]
