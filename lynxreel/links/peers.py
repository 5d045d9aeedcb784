"""Which instances are up, lost and dead, without I/O: what links tell goes in, what follows comes out.

Each instance keeps a link to each other one, on which it speaks; what it hears comes on theirs. An instance
is an incarnation of a name: a number that grows with every start. It is DEAD for certain where its address
refuses a connect that began after that incarnation had been met, as a process listens there from before its
first word until its end, or where a later incarnation is met. Everything else is silence: the link is LOST,
and nothing is known.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class State(Enum):
    """What is known of an instance."""

    UNMET = "unmet"
    UP = "up"
    LOST = "lost"
    DEAD = "dead"  # or was never there


@dataclass(frozen=True, slots=True)
class Up:
    """It can be told something. Of what was told before the link came up, some may not have arrived."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Lost:
    """It can't be told anything now, and may live."""

    name: str


@dataclass(frozen=True, slots=True)
class Dead:
    """This incarnation, and each before it, will never do anything any more."""

    name: str
    incarnation: int


News: TypeAlias = Up | Lost | Dead


@dataclass(slots=True)
class Peer:
    """One other instance."""

    state: State = State.UNMET
    incarnation: int = 0  # the latest that was met
    dead: int = 0  # the latest that is known to be dead


class Peers:
    """All the others, by name."""

    def __init__(self, names: Iterable[str]) -> None:
        self.peers = {name: Peer() for name in names}

    def up(self) -> list[str]:
        """Those that can be told something."""
        return [name for name, peer in self.peers.items() if peer.state is State.UP]

    def is_dead(self, name: str, incarnation: int) -> bool:
        """Whether that incarnation is known to be dead."""
        peer = self.peers.get(name)
        return peer is not None and incarnation <= peer.dead

    def met(self, name: str, incarnation: int) -> tuple[bool, list[News]]:
        """It has said who it is, on either link. False: an earlier one than is known, of no account."""
        peer = self.peers.get(name)
        if peer is None or incarnation < peer.incarnation or incarnation <= peer.dead:
            return False, []
        news: list[News] = []
        if 0 < peer.incarnation < incarnation:
            news = self._died(name, peer, peer.incarnation)
            peer.state = State.LOST
        peer.incarnation = incarnation
        return True, news

    def linked(self, name: str, incarnation: int) -> tuple[bool, list[News]]:
        """The link to it is up."""
        known, news = self.met(name, incarnation)
        if known:
            self.peers[name].state = State.UP
            news.append(Up(name, incarnation))
        return known, news

    def ended(self, name: str) -> list[News]:
        """The link to it has ended, or what is said on it is not taken."""
        peer = self.peers[name]
        if peer.state is not State.UP:
            return []
        peer.state = State.LOST
        return [Lost(name)]

    def refused(self, name: str, met: int) -> list[News]:
        """A connect was refused; `met`: the latest incarnation that had been met when it began."""
        peer = self.peers[name]
        if met < peer.incarnation or peer.state is State.DEAD:
            return []
        return self._died(name, peer, met)

    def _died(self, name: str, peer: Peer, incarnation: int) -> list[News]:
        peer.dead, peer.state = incarnation, State.DEAD
        return [Dead(name, incarnation)]
