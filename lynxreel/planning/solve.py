"""The plan: aims one after the other, each holding what the one before has reached; or why there is none."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lynxreel.planning.problem import Problem
from lynxreel.planning.program import Program, Row

HOLD = 1e-7  # of an aim's value, and at the least so much, that later aims may give up of it
LEAST = 1e-5  # requests a second; less than that is the solver's rounding
IDLE = 1e-6  # of use; boxes at no more have nothing to share
SECONDS = 10.0  # of real time for one call of the solver


@dataclass(frozen=True, slots=True)
class Plan:
    """Who gets what."""

    flows: dict[tuple[str, str, str], float]  # class, zone, box: requests a second; none below LEAST
    work: dict[str, float]  # by box: work a second, boxes that get nothing included
    cost: float
    moved: float  # work a second that goes elsewhere than by the plan in force

    def shares(self) -> dict[str, float]:
        """Each box's part of all work; nothing where nothing is asked for."""
        total = sum(self.work.values())
        return {name: work / total if total else 0.0 for name, work in self.work.items()}


@dataclass(frozen=True, slots=True)
class NoPlan:
    """There is none: constraints that conflict, of which none can be left out, and what would do."""

    conflict: tuple[str, ...]
    loosen: dict[str, float]  # the smallest loosening in all, in each constraint's unit


def solve(
    problem: Problem, in_force: dict[str, float] | None = None, seconds: float = SECONDS
) -> Plan | NoPlan:
    """The plan of least cost; among those the one that moves least work from the one in force (work a second
    by box); among those the most even; among those one by the order of names.

    Raises OutOfTime; the plan in force then stays.
    """
    program = Program(problem, seconds)
    rows = list(program.rows)
    cost = {
        program.column(d, b): demand.work * box.cost + (problem.crossing if box.zone != demand.zone else 0.0)
        for d, demand in enumerate(program.demands) for b, box in enumerate(program.boxes)
    }  # fmt: skip
    found = program.minimise(cost, rows)
    if found is None:
        return _why(program)
    spent = found.value
    rows.append(_hold("cost", cost, spent))
    moved = 0.0
    if in_force is not None:
        moved, rows = _least_change(program, rows, in_force)
    rows = _even(program, rows)
    last = {column: math.sqrt(column + 1) for column in cost}  # not in even steps: two swaps would be alike
    final = program.minimise(last, rows)
    assert final is not None, "what is held was reached"
    flows = {
        (demand.cls, demand.zone, box.name): final.columns[program.column(d, b)]
        for d, demand in enumerate(program.demands) for b, box in enumerate(program.boxes)
        if final.columns[program.column(d, b)] > LEAST
    }  # fmt: skip
    work = {box.name: 0.0 for box in program.boxes}
    works = {(demand.cls, demand.zone): demand.work for demand in program.demands}
    for (cls, zone, name), rate in flows.items():
        work[name] += rate * works[cls, zone]
    return Plan(flows, work, spent, moved / 2)


def _work_at(program: Program, box: int) -> tuple[tuple[int, float], ...]:
    return tuple((program.column(d, box), demand.work) for d, demand in enumerate(program.demands))


def _hold(name: str, cost: dict[int, float], value: float) -> Row:
    slack = max(HOLD, HOLD * abs(value))
    return Row(name, tuple((column, price) for column, price in cost.items() if price), value + slack)


def _least_change(program: Program, rows: list[Row], in_force: dict[str, float]) -> tuple[float, list[Row]]:
    """What is moved, both ways, and rows that hold it: one more column for each box's difference."""
    first, extra, cost = program.columns, list(rows), dict[int, float]()
    program.columns += len(program.boxes)
    for index, box in enumerate(program.boxes):
        before, apart = in_force.get(box.name, 0.0), first + index
        terms = _work_at(program, index)
        extra.append(Row(f"more at {box.name}", (*terms, (apart, -1.0)), before))
        extra.append(Row(f"less at {box.name}", (*((c, -w) for c, w in terms), (apart, -1.0)), -before))
        cost[apart] = 1.0
    found = program.minimise(cost, extra)
    assert found is not None, "a difference may be as large as it must"
    extra.append(_hold("change", cost, found.value))
    return found.value, extra


def _even(program: Program, rows: list[Row]) -> list[Row]:
    """Max-min fairness: the highest use as low as it can be, then that of the others, and so on."""
    free = [index for index, box in enumerate(program.boxes) if box.capacity > 0]
    level = program.columns
    program.columns += 1
    while free:
        uses = {
            index: Row(
                f"use of {program.boxes[index].name}",
                (*_work_at(program, index), (level, -program.boxes[index].capacity)), 0.0,
            ) for index in free
        }  # fmt: skip
        found = program.minimise({level: 1.0}, [*rows, *uses.values()])
        assert found is not None, "what is held was reached"
        highest = found.value
        held = [index for index in free if uses[index].name in found.binding] or free
        for index in held:
            box = program.boxes[index]
            rows.append(Row(f"use of {box.name}", _work_at(program, index), (highest + HOLD) * box.capacity))
        free = [index for index in free if index not in held]
        if highest <= IDLE:
            break
    return rows


def _why(program: Program) -> NoPlan:
    """A set of rows that conflict, of which none can be left out, and the smallest loosening of all rows."""
    kept = list(program.rows)
    for row in list(program.rows):
        rest = [other for other in kept if other is not row]
        if program.minimise({}, rest) is None:
            kept = rest
    slack, loose, cost = program.columns, list[Row](), dict[int, float]()
    for row in program.rows:
        # Demand may be left unserved, limits may be passed; each by so much of itself.
        terms = (*row.terms, (slack, 1.0 if row.equal else -1.0))
        loose.append(Row(row.name, terms, row.bound, row.equal))
        cost[slack] = 1.0 / max(1e-9, abs(row.bound)) if row.bound else 1.0
        slack += 1
    found = program.minimise(cost, loose, slack)
    assert found is not None, "with all loosened something fits"
    by_row = zip(program.rows, found.columns[program.columns :], strict=True)
    return NoPlan(tuple(row.name for row in kept), {row.name: by for row, by in by_row if by > LEAST})
