"""Settings from a source laid over the operator file: the whole of a revision, checked as the file is."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from pydantic import ValidationError

from lynxreel.config.model import OperatorFile
from lynxreel.config.read import ConfigError, line

PREFIX = "settings/"
TABLES, LISTS = ("limits", "fleet"), ("classes", "plans")


def overlay(file: OperatorFile, values: Mapping[str, bytes], where: str = "") -> OperatorFile:
    """The file with these settings in place of its own.

    `values`: by key, as settings/limits or settings/plans/NAME, an object as the file's table has it. A class
    or a plan that the file does not have is added. `where` is what errors put before a key. Raises
    ConfigError with every problem found, each with its key.
    """
    data: dict[str, Any] = file.model_dump(exclude_unset=True)
    problems = []
    keys: dict[tuple[str, str | int], str] = {}
    for key, raw in sorted(values.items()):
        table, _, name = key.removeprefix(PREFIX).partition("/")
        if not (table in TABLES and not name or table in LISTS and name):
            known = ", ".join([*TABLES, *(f"{what}/NAME" for what in LISTS)])
            problems.append(f"{where}{key}: unknown key; mend: write one of {known}")
            continue
        try:
            given = json.loads(raw)
        except (ValueError, RecursionError) as wrong:
            problems.append(f"{where}{key}: no JSON: {wrong}; mend: correct the syntax there")
            continue
        if not isinstance(given, dict):
            problems.append(f"{where}{key}: no JSON object; mend: write the keys of the table {table}")
            continue
        if table in TABLES:
            data[table] = {**data.get(table, {}), **given}
            keys[table, ""] = key
            continue
        if given.get("name", name) != name:
            wrong_name = f"is {given['name']!r}; mend: leave it out, or write {name}"
            problems.append(f"{where}{key}: name: {wrong_name}")
            continue
        entries = list(data[table])
        places = [number for number, entry in enumerate(entries) if entry["name"] == name]
        place = places[0] if places else len(entries)
        entries[place:] = [{**given, "name": name}, *entries[place + 1 :]]
        data[table] = entries
        keys[table, place] = key
    if problems:
        raise ConfigError(problems)
    try:
        return OperatorFile.model_validate(data)
    except ValidationError as wrong:
        raise ConfigError([_line(error, keys, where) for error in wrong.errors()]) from None


def _line(error: Any, keys: Mapping[tuple[str, str | int], str], where: str) -> str:
    """An error with the key that it came from, or with all keys where it is of the whole."""
    place = error["loc"]
    for depth in (2, 1):
        if len(place) >= depth and (key := keys.get((place[0], place[1] if depth == 2 else ""))):
            return line(f"{where}{key}", error, place[depth:])
    return line(", ".join(f"{where}{key}" for key in keys.values()), error, place)
