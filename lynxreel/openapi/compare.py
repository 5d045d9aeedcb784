"""What another table serves, charges or refuses differently."""

from __future__ import annotations

from dataclasses import dataclass

from lynxreel.openapi.references import Spot, at, target
from lynxreel.openapi.routes import Route, Table, shape


@dataclass(frozen=True)
class Difference:
    """One line for the operators. `word`: it is taken only with an explicit word."""

    text: str
    word: bool = False


def differences(old: Table, new: Table) -> list[Difference]:
    """By method and path, in the order of the new table, what is gone last."""
    before = {(route.method, shape(route.path)): route for route in old.routes}
    after = {(route.method, shape(route.path)): route for route in new.routes}
    found = []
    for key, route in after.items():
        name = f"{route.method} {route.path}"
        if key not in before:
            found.append(Difference(f"{name}: new, {terms(route)}"))
        else:
            changed = _changed(before[key], route)
            if _checks(old, before[key]) != _checks(new, route):
                changed.append(Difference("parameters or body are checked differently"))
            found += [Difference(f"{name}: {d.text}", d.word) for d in changed]
    for key, route in before.items():
        if key not in after:
            found.append(Difference(f"{route.method} {route.path}: is gone, and answered 404 or 405"))
    used = {route.cls for route in new.routes}
    for cls in sorted({route.cls for route in old.routes if route.cls} - used):
        found.append(Difference(f"the class {cls} is in use no more", True))
    return found


def _changed(old: Route, new: Route) -> list[Difference]:
    found = []
    if old.units != new.units:
        found.append(Difference(f"charged {charge(new)} in place of {charge(old)}"))
    if old.effect != new.effect:
        # What may run twice after this may not have before: that is for the operator to say.
        looser = ("once", "keyed", "safe").index(new.effect) > ("once", "keyed", "safe").index(old.effect)
        found.append(Difference(f"effect {new.effect} in place of {old.effect}", looser))
    for what, one, other in (
        ("class", old.cls, new.cls),
        ("plan", old.plan, new.plan),
        ("deadline_ms", old.deadline_ms, new.deadline_ms),
    ):
        if one != other:
            found.append(Difference(f"{what} {other or 'by default'} in place of {one or 'by default'}"))
    if old.security != new.security:
        found.append(Difference(f"wants {keys(new)} in place of {keys(old)}"))
    if old.boxes != new.boxes:
        found.append(Difference("boxes are asked differently"))
    if old.id != new.id:
        found.append(Difference(f"its id is {new.id} in place of {old.id}"))
    return found


def _checks(table: Table, route: Route) -> object:
    """What a request is checked against, wherever that stands."""
    parameters = {
        (p.source, p.name): (p.required, p.style, p.explode, _written(table, Spot(p.file, p.pointer), ()))
        for p in route.parameters
    }
    body = route.body
    types = {kind: _written(table, Spot(*spot), ()) for kind, spot in body.types.items()} if body else None
    return parameters, body and body.required, types


def _written(table: Table, spot: Spot, above: tuple[Spot, ...]) -> object:
    """A schema with its references written out; one that leads back into itself by how far back."""
    if not spot.file:
        return None
    if spot in above:
        return ("back", len(above) - above.index(spot))

    def out(value: object) -> object:
        if isinstance(value, dict):
            if isinstance(ref := value.get("$ref"), str):
                return _written(table, target(spot, ref), (*above, spot))
            return {key: out(part) for key, part in value.items()}
        return [out(part) for part in value] if isinstance(value, list) else value

    return out(at(table.documents[spot.file], spot.pointer))


def charge(route: Route) -> str:
    """What a request costs, in words."""
    units = route.units
    if not units.source:
        return f"{units.fixed:g}"
    bounds = f", at least {units.least:g}" if units.least else ""
    bounds += f", at most {units.most:g}" if units.most else ""
    return f"{units.per:g} for each of {units.source} {units.name}{bounds}, or {units.fixed:g}"


def keys(route: Route) -> str:
    """What a request has to show, in words."""
    ways = [" and ".join(scheme.name for scheme in way) or "nothing" for way in route.security]
    return " or ".join(ways) or "nothing"


def terms(route: Route) -> str:
    """A route's terms in a line."""
    parts = [f"charged {charge(route)}", f"effect {route.effect}"]
    parts += [f"class {route.cls}"] if route.cls else []
    parts += [f"plan {route.plan}"] if route.plan else []
    parts += [f"deadline {route.deadline_ms} ms"] if route.deadline_ms else []
    return ", ".join([*parts, f"wants {keys(route)}"])
