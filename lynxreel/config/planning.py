"""Files about plans: the problem as TOML, a plan as JSON. Taken whole, or every error in it is told."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lynxreel.config.read import ConfigError, line, raw, table
from lynxreel.planning.problem import Box, Demand, Problem, ProblemError
from lynxreel.planning.solve import Plan

Amount = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
SUMS = 1e-3  # of all work, by which the boxes' work may miss it: rounding


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class DemandTable(_Strict):
    """One `[[demand]]`."""

    cls: str = Field(alias="class")
    zone: str
    per_second: Amount  # requests
    work_ms: Amount  # of one core, for one request


class BoxTable(_Strict):
    """One `[[box]]`."""

    name: str
    zone: str
    cores: Amount  # of work that it can do: core-seconds a second
    cost: Amount = 0.0
    least_share: Share = 0.0
    most_share: Share = 1.0


class IntakeTable(_Strict):
    """One `[[intake]]`."""

    zone: str
    cores: Amount


class LinkTable(_Strict):
    """One `[[link]]`."""

    from_zone: str
    to_zone: str
    per_second: Amount


class ProblemFile(_Strict):
    """A problem."""

    crossing_cost: Amount = 0.0
    survives_zone: bool = False
    demand: list[DemandTable] = []
    box: list[BoxTable] = []
    intake: list[IntakeTable] = []
    link: list[LinkTable] = []


class PlanFile(_Strict):
    """A plan: cores of work that go to each box."""

    version: Literal[1]
    made_at: Amount  # Unix time in seconds
    life_s: Annotated[float, Field(gt=0, allow_inf_nan=False)]  # after which it no longer counts
    total_cores: Amount
    work: dict[str, Amount]

    def counts(self, now: float) -> bool:
        """It is neither too old nor from a time to come, by more than a minute."""
        return -60.0 <= now - self.made_at <= self.life_s


def read_problem(path: Path) -> Problem:
    """The problem of a file. Raises ConfigError with every error found."""
    data = table(path)
    try:
        file = ProblemFile.model_validate(data)
    except ValidationError as wrong:
        raise ConfigError(
            [line(str(path), error, error["loc"], ProblemFile) for error in wrong.errors()]
        ) from None
    try:
        return Problem(
            tuple(Demand(d.cls, d.zone, d.per_second, d.work_ms / 1e3) for d in file.demand),
            tuple(Box(b.name, b.zone, b.cores, b.cost, b.least_share, b.most_share) for b in file.box),
            {intake.zone: intake.cores for intake in file.intake},
            {(link.from_zone, link.to_zone): link.per_second for link in file.link},
            file.crossing_cost,
            file.survives_zone,
        )
    except ProblemError as wrong:
        raise ConfigError([f"{path}: {wrong}; mend: correct it there"]) from None


def read_plan(path: Path, boxes: frozenset[str] | None = None) -> PlanFile:
    """A plan's document; with `boxes`, none of others. Raises ConfigError with every error found."""
    try:
        plan = PlanFile.model_validate(json.loads(raw(path)))
    except ValidationError as wrong:
        raise ConfigError(
            [line(str(path), error, error["loc"], PlanFile) for error in wrong.errors()]
        ) from None
    except ValueError as wrong:  # torn, or no UTF-8
        raise ConfigError([f"{path}: no JSON: {wrong}; mend: solve again"]) from None
    problems = []
    held = math.fsum(plan.work.values())
    if abs(held - plan.total_cores) > SUMS * max(1.0, plan.total_cores):
        problems.append(
            f"{path}: work: {held:g} cores in all, and total_cores is {plan.total_cores:g}; mend: solve again"
        )
    for name in sorted(set(plan.work) - boxes) if boxes is not None else ():
        problems.append(f"{path}: work.{name}: no such box; mend: solve again with the boxes that are there")
    if problems:
        raise ConfigError(problems)
    return plan


def written(plan: Plan, made_at: float, life_s: float) -> str:
    """A plan's document as text."""
    work = {name: round(cores, 6) for name, cores in sorted(plan.work.items())}
    document = {"version": 1, "made_at": round(made_at, 3), "life_s": life_s,
                "total_cores": round(math.fsum(work.values()), 6), "work": work}  # fmt: skip
    return json.dumps(document, indent=1) + "\n"
