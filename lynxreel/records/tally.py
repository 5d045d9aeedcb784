"""Counts of requests and their results, by class and plan, without I/O."""

from __future__ import annotations

from collections import Counter
from typing import Any

from mothgap.interface import Cause


class Tally:
    """Counts since the last read. The engine reports to it; see `lynxreel.engine.engine.Tally`."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[int, int, str]] = Counter()
        self._causes: Counter[tuple[str, str]] = Counter()
        self.totals: Counter[str] = Counter()  # taken, served, refused, failed, left; up to the last read

    def taken(self, cls: int, plan: int) -> None:
        """Count a request that was received."""
        self._counts[cls, plan, "taken"] += 1

    def ended(self, cls: int, plan: int, how: str, cause: Cause | None) -> None:
        """Count a request that was answered, or whose client disconnected."""
        self._counts[cls, plan, how] += 1
        if cause is not None:
            self._causes[how, cause.value] += 1

    def read(self, classes: dict[int, str], plans: dict[int, str]) -> dict[str, Any]:
        """Return the counts since the last call, by class and plan name; an empty dict if there are none."""
        rows: dict[tuple[int, int], dict[str, Any]] = {}
        for (cls, plan, how), count in sorted(self._counts.items()):
            names = {"class": classes.get(cls, str(cls)), "plan": plans.get(plan, str(plan))}
            rows.setdefault((cls, plan), names)[how] = count
            self.totals[how] += count
        causes: dict[str, dict[str, int]] = {}
        for (how, cause), count in sorted(self._causes.items()):
            causes.setdefault(how, {})[cause] = count
        self._counts.clear()
        self._causes.clear()
        return {"counts": list(rows.values()), "causes": causes} if rows else {}
