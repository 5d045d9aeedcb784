"""A modelled counter: one queue, a stated time for each call, and calls that it turns away."""

from __future__ import annotations

from collections.abc import Callable

from lynxreel.emulator.agenda import Agenda
from mothgap.interface import Result


class Counter:
    """Names and their totals. A call that comes late has been added all the same."""

    def __init__(
        self, agenda: Agenda, span: int = 1_000, turn_away_every: int = 0, all_but: bool = False
    ) -> None:
        self.agenda, self.span = agenda, span  # microseconds that one call keeps it busy
        self.turn_away_every = turn_away_every  # 2: every second call is turned away; 0: none
        self.all_but = all_but  # those are the ones that are answered, and all others are turned away
        self.totals: dict[int, float] = {}
        self.calls = 0
        self._free_at = agenda.now

    def add(self, name: int, amount: float, told: Callable[[Result, float], None]) -> None:
        """One call; `told` is called when its turn is over."""
        self.calls += 1
        if self.turn_away_every and (self.calls % self.turn_away_every == 0) is not self.all_but:
            self.agenda.after(self.span, lambda: told(Result.FULL, 0.0))
            return
        self._free_at = max(self._free_at, self.agenda.now) + self.span

        def served() -> None:
            self.totals[name] = self.totals.get(name, 0.0) + amount
            told(Result.OK, self.totals[name])

        self.agenda.at(self._free_at, served)
