"""`lynxreel plan check|solve|diff`: problems and plans as files."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from lynxreel.config.planning import read_plan, read_problem, written
from lynxreel.config.read import ConfigError
from lynxreel.planning.compare import moves
from lynxreel.planning.program import OutOfTime
from lynxreel.planning.solve import NoPlan
from lynxreel.planning.solve import solve as find

OK, NONE, BAD_FILE, NO_ANSWER = 0, 1, 65, 75


def check(path: Path) -> int:
    """0 where the problem makes sense; whether it has a plan is for `solve`."""
    try:
        problem = read_problem(path)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_FILE
    able = sum(box.capacity for box in problem.boxes)
    print(f"{path}: fine: {problem.work():g} cores asked for, {len(problem.boxes)} boxes with {able:g}")
    return OK


def solve(path: Path, in_force: Path | None, life: float) -> int:
    """The plan on standard output; 1 and the reason on standard error where there is none."""
    try:
        problem = read_problem(path)
        before = read_plan(in_force).work if in_force is not None else None
        found = find(problem, before)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_FILE
    except OutOfTime as wrong:
        print(f"{path}: {wrong}; the plan in force stays", file=sys.stderr)
        return NO_ANSWER
    if isinstance(found, NoPlan):
        print(f"{path}: no plan; the one in force stays. These can't all be kept:", file=sys.stderr)
        for name in found.conflict:
            print(f"  {name}", file=sys.stderr)
        print("The least that would do:", file=sys.stderr)
        for name, by in found.loosen.items():
            print(f"  {name}: {by:g} {'less' if name.startswith('demand') else 'looser'}", file=sys.stderr)
        return NONE
    print(written(found, time.time(), life), end="")
    return OK


def diff(old: Path, new: Path) -> int:
    """A line for each move; 0 also where nothing moves."""
    try:
        before, after = read_plan(old), read_plan(new)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_FILE
    for move in moves(before.work, after.work):
        print(f"{move.cores:g} cores from {move.source or 'more demand'} to {move.to or 'less demand'}")
    return OK
