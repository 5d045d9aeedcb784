"""What happens on a played day, without I/O: drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

FIRST, KILL_AT, LAST = 0.15, (0.35, 0.55), 0.85  # parts of the day


@dataclass(frozen=True)
class Step:
    """At `at` seconds, `what` (kill, drain, reload, stop) is done to some gateways at once."""

    at: float
    what: str
    gateways: tuple[int, ...]


def script(seed: int, seconds: float, gateways: int, kill: int, drain: int, reload: int) -> list[Step]:
    """Reloads here and there, a kill of `kill` gateways together, drains of others one by one.

    Raises ValueError where there are not so many gateways, or none would be left.
    """
    if kill + drain >= gateways:
        raise ValueError(f"{kill} to kill and {drain} to drain leave none of {gateways} gateways")
    draw = random.Random(seed)
    order = draw.sample(range(gateways), gateways)
    killed, drained = order[:kill], order[kill : kill + drain]
    single = [("reload", draw.randrange(gateways)) for _ in range(reload)]
    single += [("drain", number) for number in drained]
    steps = [Step(seconds * draw.uniform(FIRST, LAST), what, (number,)) for what, number in single]
    if killed:
        steps.append(Step(seconds * draw.uniform(*KILL_AT), "kill", tuple(killed)))
    return sorted(steps, key=lambda step: step.at)
