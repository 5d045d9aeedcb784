"""Virtual time: what is due, in a stated order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Agenda:
    """Things to be done at a time; at one instant, in the order in which they were put down."""

    def __init__(self, now: int = 0) -> None:
        self.now = now  # microseconds
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: int, what: Callable[[], None]) -> None:
        """Do it then; at once, behind all else that is due, where that is past."""
        heapq.heappush(self._due, (max(when, self.now), next(self._order), what))

    def after(self, span: int, what: Callable[[], None]) -> None:
        """Do it when so many microseconds have passed."""
        self.at(self.now + span, what)

    def run(self, until: int) -> None:
        """Let time pass up to then, what is due then included."""
        while self._due and self._due[0][0] <= until:
            self.now, _, what = heapq.heappop(self._due)
            what()
        self.now = max(self.now, until)
