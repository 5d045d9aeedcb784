"""`lynxreel routes check|show|diff`: descriptions as files, and the classes and plans of an operator file."""

from __future__ import annotations

import json
import sys
from pathlib import Path

from lynxreel.config.description import load, misfits
from lynxreel.config.read import ConfigError, read
from lynxreel.openapi.compare import differences, terms
from lynxreel.openapi.compile import DescriptionError
from lynxreel.openapi.routes import Route, Table

OK, WORD_WANTED, BAD_DESCRIPTION, NO_FILE, BAD_CONFIG = 0, 1, 65, 66, 78


def check(path: Path, config: Path | None) -> int:
    """0 where it can be used."""
    table, code = _loaded(path)
    if table is None:
        return code
    problems: list[str] = []
    if config is not None:
        try:
            problems = misfits(table, read(config))
        except ConfigError as wrong:
            print(wrong, file=sys.stderr)
            return BAD_CONFIG
    for problem in problems:
        print(problem, file=sys.stderr)
    if not problems:
        print(f"{path}: fine: {len(table.routes)} routes from {len(table.documents)} files")
    return BAD_DESCRIPTION if problems else OK


def show(path: Path, as_json: bool) -> int:
    """A line for each route, or all of it as JSON."""
    table, code = _loaded(path)
    if table is None:
        return code
    for route in table.routes:
        print(json.dumps(_whole(route)) if as_json else f"{route.method:7} {route.path}: {terms(route)}")
    return OK


def diff(old: Path, new: Path) -> int:
    """1 where something is taken only with an explicit word."""
    (before, code), (after, other) = _loaded(old), _loaded(new)
    if before is None or after is None:
        return code or other
    found = differences(before, after)
    for difference in found:
        print(f"{difference.text}{' (wants an explicit word)' if difference.word else ''}")
    return WORD_WANTED if any(difference.word for difference in found) else OK


def _whole(route: Route) -> dict[str, object]:
    return {
        "id": route.id, "method": route.method, "path": route.path, "effect": route.effect,
        "class": route.cls, "plan": route.plan, "deadline_ms": route.deadline_ms,
        "units": {name: getattr(route.units, name) for name in route.units.__slots__},
        "security": [[scheme.name for scheme in way] for way in route.security],
        "file": route.file, "line": route.line, "pointer": route.pointer,
    }  # fmt: skip


def _loaded(path: Path) -> tuple[Table | None, int]:
    try:
        return load(path), OK
    except DescriptionError as wrong:
        print(wrong, file=sys.stderr)
        return None, BAD_DESCRIPTION
    except OSError as wrong:
        print(f"{path}: can't be read: {wrong.strerror}", file=sys.stderr)
        return None, NO_FILE
