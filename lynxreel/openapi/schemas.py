"""Values held against the schemas of a description, wherever these stand."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import jsonschema_rs

from lynxreel.openapi.references import Spot, at, target

BASE = "lynxreel:///"
MOST_STEPS = 50  # references followed to find a type


class Schemas:
    """The documents of one table. Validators are made when they are first wanted, and kept."""

    def __init__(self, documents: Mapping[str, Any], old: bool) -> None:
        """`old`: OpenAPI 3.0, whose schemas are written in a way of their own."""
        self._documents = {name: _renewed(value) if old else value for name, value in documents.items()}
        resources = [(BASE + name, value) for name, value in self._documents.items()]
        self._registry = jsonschema_rs.Registry(resources, draft=jsonschema_rs.Draft202012)
        self._made: dict[tuple[str, str], Any] = {}

    def wrong(self, file: str, pointer: str, value: object) -> tuple[str, str] | None:
        """The first thing that is wrong with a value, as pointer into it and words; None where it fits."""
        if not file:
            return None
        validator = self._made.get((file, pointer))
        if validator is None:
            ref = {"$ref": f"{BASE}{file}#{_fragment(pointer)}"}
            validator = jsonschema_rs.Draft202012Validator(ref, registry=self._registry)
            self._made[file, pointer] = validator
        for error in validator.iter_errors(value):
            place = "".join(f"/{part}" for part in error.instance_path)
            return place, error.message[:200]
        return None

    def type(self, file: str, pointer: str) -> str:
        """The type that a schema names, its references followed; empty for none or several."""
        spot = Spot(file, pointer)
        for _ in range(MOST_STEPS if file else 0):
            value = at(self._documents[spot.file], spot.pointer)
            if not isinstance(value, dict):
                return ""
            if "$ref" not in value:
                held = value.get("type", "")
                names = [held] if isinstance(held, str) else [name for name in held if name != "null"]
                return names[0] if len(names) == 1 else ""
            spot = target(spot, value["$ref"])
        return ""

    def items(self, file: str, pointer: str) -> str:
        """The type of an array's items, where it is said beside the array."""
        value = at(self._documents[file], pointer)
        inner = value.get("items") if isinstance(value, dict) else None
        held = inner.get("type", "") if isinstance(inner, dict) else ""
        return held if isinstance(held, str) else ""


def _fragment(pointer: str) -> str:
    return pointer.replace("%", "%25").replace("{", "%7B").replace("}", "%7D").replace(" ", "%20")


def _renewed(value: Any) -> Any:
    """What OpenAPI 3.0 writes in its own way, as JSON Schema 2020-12 has it."""
    if isinstance(value, list):
        return [_renewed(part) for part in value]
    if not isinstance(value, dict):
        return value
    found = {key: _renewed(part) for key, part in value.items()}
    if found.get("nullable") is True and isinstance(found.get("type"), str):
        found["type"] = [found["type"], "null"]
        if isinstance(found.get("enum"), list):
            found["enum"] = [*found["enum"], None]
    for bound in ("minimum", "maximum"):
        strict = "exclusive" + bound.capitalize()
        if found.get(strict) is True and bound in found:
            found[strict] = found.pop(bound)
        elif found.get(strict) is False:
            del found[strict]
    return found
