"""A problem as a linear program: named constraints over flows from each demand to each box. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import csr_matrix

from lynxreel.planning.problem import Box, Problem


EXACT = {"primal_feasibility_tolerance": 1e-9, "dual_feasibility_tolerance": 1e-9}
PRICED = 1e-7  # a row's price below which it keeps nothing from being less


class OutOfTime(Exception):
    """The solver did not come to an end within its time."""


@dataclass(frozen=True, slots=True)
class Row:
    """`sum of coefficient x column <= bound`; or equal to it."""

    name: str  # for who reads why there is no solution
    terms: tuple[tuple[int, float], ...]
    bound: float
    equal: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The least sum under some rows, columns that reach it, and the rows that keep it from being less."""

    value: float
    columns: list[float]
    binding: frozenset[str]  # rows that are tight in every answer as good as this one


class Program:
    """The rows of a problem, and what minimises a sum under them.

    Columns are requests a second of one demand at one box, demands and boxes by name; with `survives` as many
    again for each zone that may be lost.
    """

    def __init__(self, problem: Problem, seconds: float) -> None:
        self.seconds = seconds  # of real time for each call of the solver
        self.demands = sorted(problem.demands, key=lambda demand: (demand.cls, demand.zone))
        self.boxes = sorted(problem.boxes, key=lambda box: box.name)
        self.columns = len(self.demands) * len(self.boxes)
        self.rows = self._rows(problem, self.boxes, "", 0)
        for box in self.boxes:
            total, place = problem.work(), range(len(self.demands))
            index = self.boxes.index(box)
            terms = tuple((self.column(d, index), self.demands[d].work) for d in place)
            if box.most < 1:
                self.rows.append(Row(f"greatest share of {box.name}", terms, box.most * total))
            if box.least > 0:
                less = tuple((column, -work) for column, work in terms)
                self.rows.append(Row(f"least share of {box.name}", less, -box.least * total))
        if problem.survives:
            for zone in sorted({box.zone for box in self.boxes}):
                left = [box for box in self.boxes if box.zone != zone]
                self.rows += self._rows(problem, left, f" with {zone} lost", self.columns)
                self.columns += len(self.demands) * len(left)

    def column(self, demand: int, box: int) -> int:
        """The column of a demand's flow to a box, by their numbers."""
        return demand * len(self.boxes) + box

    def _rows(self, problem: Problem, boxes: list[Box], when: str, first: int) -> list[Row]:
        """Demand, capacities, intakes and links, over columns from `first` on."""
        rows: list[Row] = []
        flows = [
            (first + d * len(boxes) + b, demand, box)
            for d, demand in enumerate(self.demands) for b, box in enumerate(boxes)
        ]  # fmt: skip
        for demand in self.demands:
            terms = tuple((column, 1.0) for column, of, _ in flows if of is demand)
            name = f"demand {demand.cls} from {demand.zone}{when}"
            rows.append(Row(name, terms, demand.rate, equal=True))
        for box in boxes:
            terms = tuple((column, demand.work) for column, demand, at in flows if at is box)
            rows.append(Row(f"capacity of {box.name}{when}", terms, box.capacity))
        for zone, limit in sorted(problem.intake.items()):
            terms = tuple((column, demand.work) for column, demand, box in flows if box.zone == zone)
            rows.append(Row(f"intake of {zone}{when}", terms, limit))
        for (here, there), limit in sorted(problem.links.items()):
            terms = tuple(
                (column, 1.0) for column, demand, box in flows if demand.zone == here and box.zone == there
            )
            rows.append(Row(f"link {here} to {there}{when}", terms, limit))
        return rows

    def minimise(
        self, cost: dict[int, float], rows: Iterable[Row], columns: int | None = None
    ) -> Answer | None:
        """The least sum of cost x column; None where the rows allow none.

        Raises OutOfTime.
        """
        columns = self.columns if columns is None else columns
        if columns == 0:
            feasible = all(row.bound == 0 if row.equal else row.bound >= 0 for row in rows)
            return Answer(0.0, [], frozenset()) if feasible else None
        rows = list(rows)
        objective = np.zeros(columns)
        for column, price in cost.items():
            objective[column] = price
        upper, equal = [r for r in rows if not r.equal], [r for r in rows if r.equal]
        found = linprog(
            objective,
            A_ub=_matrix(upper, columns),
            b_ub=[r.bound for r in upper] or None,
            A_eq=_matrix(equal, columns),
            b_eq=[r.bound for r in equal] or None,
            bounds=(0, None),
            method="highs",
            options={"time_limit": self.seconds, **EXACT},
        )
        if found.status == 1:
            raise OutOfTime(f"no answer within {self.seconds:g} s")
        if found.status == 2:
            return None
        if found.status != 0:
            raise RuntimeError(found.message)
        prices = found.ineqlin.marginals if upper else ()
        binding = frozenset(row.name for row, price in zip(upper, prices, strict=True) if price < -PRICED)
        return Answer(float(found.fun), [max(0.0, float(value)) for value in found.x], binding)


def _matrix(rows: list[Row], columns: int) -> csr_matrix | None:
    if not rows:
        return None
    places = [(r, column, price) for r, row in enumerate(rows) for column, price in row.terms]
    values = [price for _, _, price in places]
    return csr_matrix((values, ([r for r, _, _ in places], [c for _, c, _ in places])), (len(rows), columns))
