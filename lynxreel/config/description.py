"""Descriptions as files, and whether an operator file has the classes and plans that they name."""

from __future__ import annotations

from pathlib import Path

from lynxreel.config.model import OperatorFile
from lynxreel.openapi.compile import compiled
from lynxreel.openapi.references import Fetch
from lynxreel.openapi.routes import Table

EFFECTS = {"safe": "repeatable", "keyed": "by_key", "once": "once"}


def fetcher(folder: Path) -> Fetch:
    """Reads files of a folder; one that a symbolic link leads out of it is refused."""
    root = folder.resolve()

    def fetch(name: str) -> bytes:
        path = (root / name).resolve()
        if not path.is_relative_to(root):
            raise PermissionError(13, "it leads out of the folder")
        return path.read_bytes()

    return fetch


def load(path: Path) -> Table:
    """The table of a file. Raises DescriptionError or OSError."""
    return compiled(path.name, fetcher(path.parent))


def misfits(table: Table, file: OperatorFile) -> list[str]:
    """What a table wants that an operator file does not have: a line for each."""
    classes: dict[str, str] = {cls.name: cls.effect for cls in file.classes}
    plans, found = {plan.name for plan in file.plans}, []
    for route in table.routes:
        place = f"{route.file}:{route.line}: #{route.pointer}"
        if route.plan and route.plan not in plans:
            found.append(f"{place}: plan {route.plan!r} is not in the operator file; mend: add it there")
        wanted = EFFECTS[route.effect]
        if route.cls and classes.get(route.cls) != wanted:
            has = f"has the effect {classes[route.cls]}" if route.cls in classes else "is not there"
            found.append(f"{place}: class {route.cls!r} {has}; mend: name one with {wanted}")
        if not route.cls and list(classes.values()).count(wanted) != 1:
            found.append(f"{place}: no single class has the effect {wanted}; mend: name one with class")
        largest = file.limits.largest_units
        if max(route.units.fixed, route.units.least, route.units.most) > largest:
            mend = "raise it, or charge less"
            found.append(f"{place}: units above limits.largest_units {largest:g}; mend: {mend}")
    return found
