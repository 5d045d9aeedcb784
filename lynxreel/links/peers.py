"""Tracks which instances are up, lost or dead. No I/O: events of the links go in, changes of state come out.

Each instance keeps a link to each other one, on which it sends; it receives on the links that the others
opened. A process is an incarnation of an instance's name, with a number that grows at every start. An
incarnation is certainly DEAD if its address refuses a connect that began after it had said Hello, since a
process listens there from before its first message until its end, or if a later incarnation says Hello.
Everything else is only silence: the link is LOST, and the instance may be alive or dead.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class State(Enum):
    """What is known about an instance."""

    UNMET = "unmet"  # has not said Hello yet
    UP = "up"
    LOST = "lost"
    DEAD = "dead"  # or was never started


@dataclass(frozen=True, slots=True)
class Up:
    """The instance can be sent messages. Some that were sent before the link came up may not have arrived."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The instance can't be sent messages now, and may be alive."""

    name: str


@dataclass(frozen=True, slots=True)
class Dead:
    """This incarnation and each earlier one have ended."""

    name: str
    incarnation: int


News: TypeAlias = Up | Lost | Dead


@dataclass(slots=True)
class Peer:
    """The state of one other instance."""

    state: State = State.UNMET
    incarnation: int = 0  # the latest that said Hello
    dead: int = 0  # the latest that is known to have ended


class Peers:
    """The states of all other instances, by name."""

    def __init__(self, names: Iterable[str]) -> None:
        self.peers = {name: Peer() for name in names}

    def up(self) -> list[str]:
        """Returns the names of the instances that can be sent messages."""
        return [name for name, peer in self.peers.items() if peer.state is State.UP]

    def is_dead(self, name: str, incarnation: int) -> bool:
        """Whether an incarnation is known to be dead."""
        peer = self.peers.get(name)
        return peer is not None and incarnation <= peer.dead

    def met(self, name: str, incarnation: int) -> tuple[bool, list[News]]:
        """Handles a Hello on either link.

        Returns False for an unknown name, or a dead or outdated incarnation, whose link is to be rejected;
        and the changes of state.
        """
        peer = self.peers.get(name)
        if peer is None or incarnation < peer.incarnation or incarnation <= peer.dead:
            return False, []
        news: list[News] = []
        if 0 < peer.incarnation < incarnation:
            news = self._mark_dead(name, peer, peer.incarnation)
            peer.state = State.LOST
        peer.incarnation = incarnation
        return True, news

    def linked(self, name: str, incarnation: int) -> tuple[bool, list[News]]:
        """Handles the answered Hello on the link to an instance; returns as `met` does."""
        known, news = self.met(name, incarnation)
        if known:
            self.peers[name].state = State.UP
            news.append(Up(name, incarnation))
        return known, news

    def ended(self, name: str) -> list[News]:
        """The link to an instance has ended, or its messages are no longer read."""
        peer = self.peers[name]
        if peer.state is not State.UP:
            return []
        peer.state = State.LOST
        return [Lost(name)]

    def refused(self, name: str, met: int) -> list[News]:
        """Handles a refused connect; `met` is the latest incarnation known when the connect began."""
        peer = self.peers[name]
        if met < peer.incarnation or peer.state is State.DEAD:
            return []
        return self._mark_dead(name, peer, met)

    def _mark_dead(self, name: str, peer: Peer, incarnation: int) -> list[News]:
        peer.dead, peer.state = incarnation, State.DEAD
        return [Dead(name, incarnation)]
