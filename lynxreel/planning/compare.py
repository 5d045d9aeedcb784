"""What one plan does differently from another. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

LEAST = 1e-6  # cores; less than that is rounding


@dataclass(frozen=True, slots=True)
class Move:
    """Work that another plan has elsewhere. An empty name: it was not there before, or is gone."""

    source: str
    to: str
    cores: float


def moves(before: dict[str, float], after: dict[str, float]) -> list[Move]:
    """From the boxes that lose most to those that gain most; what is left over came, or went, with demand."""
    change = {name: after.get(name, 0.0) - before.get(name, 0.0) for name in {*before, *after}}
    order = sorted(change, key=lambda name: (-abs(change[name]), name))
    losing = deque((name, -change[name]) for name in order if change[name] < -LEAST)
    found: list[Move] = []
    for name in order:
        wanted = change[name]
        while wanted > LEAST:
            if not losing:
                found.append(Move("", name, wanted))
                break
            source, left = losing.popleft()
            given = min(left, wanted)
            found.append(Move(source, name, given))
            wanted -= given
            if left - given > LEAST:
                losing.appendleft((source, left - given))
    return found + [Move(name, "", left) for name, left in losing]
