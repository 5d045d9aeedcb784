"""What is to be planned: demand by class and zone, boxes, and limits. Checked whole; no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field


class ProblemError(ValueError):
    """The problem makes no sense; the message names the place."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests of one class from one zone."""

    cls: str
    zone: str
    rate: float  # requests a second
    work: float  # of one request, in the unit of capacities; core-seconds, say


@dataclass(frozen=True, slots=True)
class Box:
    """A server that can be sent to."""

    name: str
    zone: str
    capacity: float  # work a second; nothing for one that drains
    cost: float = 0.0  # of a unit of work there
    least: float = 0.0  # share of all work that it gets at the least...
    most: float = 1.0  # ...and at the most


@dataclass(frozen=True, slots=True)
class Problem:
    """One plan's question. Demands and boxes may come in any order; the answer does not depend on it."""

    demands: tuple[Demand, ...]
    boxes: tuple[Box, ...]
    intake: dict[str, float] = field(default_factory=dict)  # by zone: work a second that its boxes may get
    links: dict[tuple[str, str], float] = field(default_factory=dict)  # from, to: requests a second
    crossing: float = 0.0  # cost of one request that leaves its zone
    survives: bool = False  # the loss of any one zone must leave room for all demand

    def __post_init__(self) -> None:
        _distinct("demand", [f"{demand.cls} from {demand.zone}" for demand in self.demands])
        _distinct("box", [box.name for box in self.boxes])
        for demand in self.demands:
            place = f"demand {demand.cls} from {demand.zone}"
            _number(f"{place}: rate", demand.rate)
            _number(f"{place}: work", demand.work)
            if demand.work <= 0:
                raise ProblemError(f"{place}: work is {demand.work:g}, and must be more than nothing")
        for box in self.boxes:
            _number(f"box {box.name}: capacity", box.capacity)
            _number(f"box {box.name}: cost", box.cost)
            for what, share in (("least", box.least), ("most", box.most)):
                _number(f"box {box.name}: {what}", share)
                if share > 1:
                    raise ProblemError(f"box {box.name}: {what} is {share:g}, and a share is 1 at the most")
            if box.least > box.most:
                raise ProblemError(f"box {box.name}: least is {box.least:g}, more than most, {box.most:g}")
        zones = self.zones()
        for zone, limit in self.intake.items():
            _number(f"intake of {zone}", limit)
            _known(f"intake of {zone}", zone, zones)
        for (here, there), limit in self.links.items():
            _number(f"link {here} to {there}", limit)
            _known(f"link {here} to {there}", here, zones)
            _known(f"link {here} to {there}", there, zones)
            if here == there:
                raise ProblemError(f"link {here} to {there}: a zone has no link to itself")
        _number("crossing", self.crossing)

    def zones(self) -> tuple[str, ...]:
        """All zones that demand comes from or boxes stand in, by name."""
        return tuple(sorted({demand.zone for demand in self.demands} | {box.zone for box in self.boxes}))

    def work(self) -> float:
        """All work asked for, a second."""
        return sum(demand.rate * demand.work for demand in self.demands)


def _number(place: str, value: float) -> None:
    if not math.isfinite(value):
        raise ProblemError(f"{place} is {value}, and must be a finite number")
    if value < 0:
        raise ProblemError(f"{place} is {value:g}, and must not be negative")


def _distinct(what: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ProblemError(f"{what} {name} is there twice")
        seen.add(name)


def _known(place: str, zone: str, zones: tuple[str, ...]) -> None:
    if zone not in zones:
        raise ProblemError(f"{place}: no demand comes from {zone}, and no box stands there")
