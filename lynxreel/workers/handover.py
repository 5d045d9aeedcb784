"""How listeners pass from a running supervisor to a new one. No I/O: events in, actions out, in seconds.

    new                                     old
    Hello                                   sends copies of the listeners and of the lock; goes on serving
    starts its workers, with closed doors
    Warm: all are ready                     closes its workers' doors; they give up their shares
                                            Yours: the one moment at which it changes hands
    opens its workers' doors
    Serving                                 drains its workers and ends

The listeners stay open throughout, in one process or both, so no connect is refused and none that waits is
lost. Until Yours, the end of the new one, or its silence for too long, leaves the old one as it was. After
Yours only the end of the new process undoes it, and one that hangs is ended first: never do both open their
doors. An old one that ends without a word, before Yours, has crashed: its workers drain by themselves, and
the new one serves.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class Heard(Enum):
    """What the old one hears."""

    HELLO = "hello"
    WARM = "warm"
    SHUT = "shut"  # from its own workers: their doors are closed
    SERVING = "serving"
    LOST = "lost"  # the connection has ended, and so the new process
    TICK = "tick"


class Do(Enum):
    """What the old one does."""

    OFFER = "offer"
    REFUSE = "refuse"
    SHUT = "shut"
    YOURS = "yours"
    OPEN = "open"  # its own doors, again
    LEAVE = "leave"  # drain all workers, and end
    END_PEER = "end peer"  # kill the new process; `LOST` follows
    HANG_UP = "hang up"


@dataclass(frozen=True, slots=True)
class Deed:
    """One thing to do, and what to say with it."""

    do: Do
    why: str = ""


class Stage(Enum):
    """How far it is."""

    IDLE = "idle"
    OFFERED = "offered"
    SHUTTING = "shutting"
    GIVEN = "given"
    FENCING = "fencing"  # the new process is being ended: what it still says comes too late
    GONE = "gone"


@dataclass(slots=True)
class Giving:
    """The old one's side. `patience`: seconds for the new one to be warm; `moment`: for each later step."""

    patience: float
    moment: float = 5.0
    stage: Stage = Stage.IDLE
    until: float = float("inf")

    def handle(self, now: float, heard: Heard, busy: str = "") -> list[Deed]:
        """Take one event. `busy`: why a handover can't begin now, nothing where it can."""
        match heard, self.stage:
            case Heard.HELLO, Stage.IDLE if not busy:
                self._go(Stage.OFFERED, now + self.patience)
                return [Deed(Do.OFFER)]
            case Heard.HELLO, _:
                return [Deed(Do.REFUSE, busy or "another handover is under way")]
            case Heard.WARM, Stage.OFFERED if not busy:
                self._go(Stage.SHUTTING, now + self.moment)
                return [Deed(Do.SHUT)]
            case Heard.WARM, Stage.OFFERED:
                return self._back("it is refused: " + busy, Do.HANG_UP)
            case Heard.SHUT, Stage.SHUTTING:
                self._go(Stage.GIVEN, now + self.moment)
                return [Deed(Do.YOURS)]
            case Heard.SERVING, Stage.GIVEN:
                self._go(Stage.GONE, float("inf"))
                return [Deed(Do.LEAVE)]
            case Heard.LOST, Stage.OFFERED:
                return self._back("the new one has ended before it was warm")
            case Heard.LOST, Stage.SHUTTING | Stage.GIVEN | Stage.FENCING:
                return self._back("the new one has ended before it served", Do.OPEN)
            case Heard.TICK, Stage.OFFERED if now >= self.until:
                return self._back(f"the new one was not warm within {self.patience:g} s", Do.HANG_UP)
            case Heard.TICK, Stage.SHUTTING if now >= self.until:
                return self._back("a worker has not closed its door in time", Do.HANG_UP, Do.OPEN)
            case Heard.TICK, Stage.GIVEN if now >= self.until:
                self._go(Stage.FENCING, float("inf"))
                return [Deed(Do.END_PEER, "the new one hangs")]
        return []

    def _go(self, stage: Stage, until: float) -> None:
        self.stage, self.until = stage, until

    def _back(self, why: str, *does: Do) -> list[Deed]:
        """All as it was."""
        self._go(Stage.IDLE, float("inf"))
        return [Deed(do, why) for do in does] or [Deed(Do.HANG_UP, why)]


class Got(Enum):
    """What the new one hears."""

    OFFERED = "offered"
    REFUSED = "refused"
    WARM = "warm"  # from its own workers: all are ready
    FAILED = "failed"  # from its own workers: one has died, before it serves
    YOURS = "yours"
    BYE = "bye"  # the old one ends the handover, and goes on or ends in order
    LOST = "lost"  # the old one has ended without a word
    TICK = "tick"


class Act(Enum):
    """What the new one does."""

    START = "start"  # its workers, with closed doors
    SAY_WARM = "say warm"
    OPEN = "open"
    SAY_SERVING = "say serving"
    GIVE_UP = "give up"


Step: TypeAlias = tuple[Act, str]


class Way(Enum):
    """How far the new one is."""

    ASKED = "asked"
    STARTING = "starting"
    WARM = "warm"
    OWNS = "owns"
    ENDED = "ended"


@dataclass(slots=True)
class Taking:
    """The new one's side. `until`: when it gives up, unless it owns the listeners by then."""

    until: float
    way: Way = Way.ASKED
    _alone: bool = False  # the old one has crashed: its workers drain, and nobody else will serve

    def handle(self, now: float, got: Got, why: str = "") -> list[Step]:
        """Take one event."""
        match got, self.way:
            case Got.OFFERED, Way.ASKED:
                self.way = Way.STARTING
                return [(Act.START, "")]
            case Got.REFUSED, Way.ASKED:
                return self._give_up(why)
            case Got.WARM, Way.STARTING if self._alone:
                return self._own()
            case Got.WARM, Way.STARTING:
                self.way = Way.WARM
                return [(Act.SAY_WARM, "")]
            case Got.YOURS | Got.LOST, Way.WARM:
                return self._own()
            case Got.LOST, Way.STARTING:
                self._alone = True
            case Got.FAILED, Way.STARTING | Way.WARM:
                return self._give_up(why)
            case Got.BYE, Way.ASKED | Way.STARTING | Way.WARM:
                return self._give_up(why)
            case Got.LOST, Way.ASKED:
                return self._give_up("the running one has ended")
            case Got.TICK, Way.ASKED | Way.STARTING | Way.WARM if now >= self.until:
                return self._give_up("it took too long")
        return []

    def _own(self) -> list[Step]:
        self.way = Way.OWNS
        return [(Act.OPEN, ""), (Act.SAY_SERVING, "")]

    def _give_up(self, why: str) -> list[Step]:
        self.way = Way.ENDED
        return [(Act.GIVE_UP, why)]
