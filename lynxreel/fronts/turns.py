"""Shares the iterations of the event loop out among connections that have sent commands. No I/O.

Each command costs a decision, and what it brings about. Without a bound an iteration takes as long as clients
have sent commands, and signals, deadlines, answers and disconnects wait for its end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

COMMANDS_PER_ROUND = 64  # commands taken in one iteration of the loop, from all connections together


class CommandSource(Protocol):
    """A connection on which commands may wait to be taken."""

    def take_turn(self, limit: int) -> int:
        """Take up to `limit` commands that have arrived; returns how many were taken."""


class Turns:
    """Bounds the commands of an iteration; what is beyond that is taken in turn, an even share from each."""

    def __init__(
        self, call_soon: Callable[[Callable[[], None]], object], is_behind: Callable[[], bool]
    ) -> None:
        """`call_soon` has a function called in the next iteration of the loop.

        `is_behind`: earlier commands have more to be done than an iteration takes; no more are taken then.
        """
        self._call_soon, self._is_behind = call_soon, is_behind
        self._waiting: deque[CommandSource] = deque()
        self._room = COMMANDS_PER_ROUND
        self._scheduled = False

    def room(self) -> int:
        """How many commands a connection may take at once; 0 if it has to wait for its turn."""
        if self._waiting or self._is_behind():
            return 0
        self._schedule()
        return self._room

    def took(self, count: int) -> None:
        """This many commands were taken at once, without a turn."""
        self._room -= count

    def wait(self, source: CommandSource) -> None:
        """Have a connection take its turn after the others that wait."""
        self._waiting.append(source)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._call_soon(self._start_round)

    def _start_round(self) -> None:
        self._scheduled, self._room = False, COMMANDS_PER_ROUND
        count = 0 if self._is_behind() else len(self._waiting)
        for _ in range(count):
            if self._room <= 0:
                break
            share = max(1, COMMANDS_PER_ROUND // count)
            self._room -= self._waiting.popleft().take_turn(min(share, self._room))
        if self._waiting:
            self._schedule()
