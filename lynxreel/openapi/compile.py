"""From a description to a table of routes, or to every problem in it with file, line, pointer and mend.

OpenAPI 3.0 and 3.1. The document is held against the published schema of its version (as packed with
openapi-spec-validator, checked by jsonschema-rs); what a schema can't say is checked here.
"""

from __future__ import annotations

import importlib.resources
import json
from collections.abc import Iterator
from typing import Any
from urllib.parse import unquote, urlsplit

import jsonschema_rs
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from lynxreel.openapi.extension import KEY, Count, Extension, ServerBoxes, TokenClaims
from lynxreel.openapi.references import Documents, Fetch, RefError, Spot
from lynxreel.openapi.routes import (
    METHODS,
    VARIABLE,
    Body,
    HttpBoxes,
    Parameter,
    Route,
    Scheme,
    Table,
    Units,
    clash,
    shape,
)
from lynxreel.openapi.text import Problem, TextError

SAFE = ("get", "head", "options", "trace")  # methods that change nothing, by RFC 9110
MOST_PROBLEMS = 100
JSON = "application/json"
FRAMING = ("connection", "content-length", "expect", "forwarded", "host", "keep-alive", "proxy-connection",
           "te", "trailer", "transfer-encoding", "upgrade")  # fmt: skip
BRANCHES = ("constrained-float", "Count")  # names that pydantic gives to the branches of a union


class DescriptionError(ValueError):
    """A description can't be used; `problems` has each thing that is wrong."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


def compiled(name: str, fetch: Fetch) -> Table:
    """The table of a description. Raises DescriptionError; OSError where `fetch` does for the first file."""
    try:
        documents = Documents(name, fetch)
    except TextError as wrong:
        raise DescriptionError([wrong.problem]) from None
    compiler = _Compiler(documents)
    routes = compiler.run()
    if compiler.problems:
        raise DescriptionError(compiler.problems[:MOST_PROBLEMS])
    return Table(routes, {file: text.value for file, text in documents.texts.items()})


class _Compiler:
    def __init__(self, documents: Documents) -> None:
        self._documents = documents
        self._root = Spot(documents.first, "")
        self._value: Any = documents.texts[documents.first].value
        self.problems: list[Problem] = []
        self._schemes: dict[str, Scheme | None] = {}
        self._spoken: dict[str, str] = {}  # what boxes speak, by the first server

    def _wrong_once(self, spot: Spot, text: str, mend: str) -> None:
        """For what is read once for each operation."""
        problem = self._documents.problem(spot, text, mend)
        if problem not in self.problems:
            self.problems.append(problem)

    def _wrong(self, spot: Spot, text: str, mend: str) -> None:
        self.problems.append(self._documents.problem(spot, text, mend))

    def run(self) -> list[Route]:
        """All routes; where there are problems, those that could be made."""
        if not self._known_version() or not self._fits_schema():
            return []
        self._read_schemes()
        routes = [route for path, spot, item in self._paths() for route in self._path(path, spot, item)]
        self._check_ids(routes)
        self._check_clashes(routes)
        return routes

    # --- the whole document -----------------------------------------------------------------------------

    def _known_version(self) -> bool:
        version = self._value.get("openapi") if isinstance(self._value, dict) else None
        if isinstance(version, str) and version.startswith(("3.0.", "3.1.")):
            return True
        self._wrong(self._root.at("openapi"), f"openapi: is {version!r}", "write 3.0.x or 3.1.x, as text")
        return False

    def _fits_schema(self) -> bool:
        name = "v3.0" if self._value["openapi"].startswith("3.0.") else "v3.1"
        source = importlib.resources.files("openapi_spec_validator") / f"resources/schemas/{name}/schema.json"
        validator = jsonschema_rs.validator_for(json.loads(source.read_text()))
        for number, error in enumerate(validator.iter_errors(self._value)):
            if number >= MOST_PROBLEMS:
                break
            error = deepest(error)
            spot = self._root.at(*error.instance_path)
            self._wrong(spot, shortened(error.message), f"write it as OpenAPI {name[1:]} has it")
        return not self.problems

    def _read_schemes(self) -> None:
        spot = self._root.at("components", "securitySchemes")
        held = self._value.get("components", {}).get("securitySchemes", {})
        for name, value in held.items():
            self._schemes[name] = self._scheme(name, spot.at(name), value)

    def _scheme(self, name: str, spot: Spot, value: Any) -> Scheme | None:
        found = self._follow(spot, value)
        if found is None:
            return None
        spot, value = found
        kind, word = value["type"], str(value.get("scheme", "")).lower()
        if kind == "apiKey":
            return Scheme(name, "key", value["in"], value["name"])
        if kind in ("oauth2", "openIdConnect") or (kind, word) == ("http", "bearer"):
            claims = self._extension(TokenClaims, spot, value)
            return Scheme(name, "token", customer=claims.customer_claim, plan=claims.plan_claim)
        return None  # an error only where an operation wants it

    def _check_ids(self, routes: list[Route]) -> None:
        seen: dict[str, Route] = {}
        for route in routes:
            first = seen.setdefault(route.id, route)
            if (first.file, first.pointer) != (route.file, route.pointer):
                spot = Spot(route.file, route.pointer).at("operationId")
                text = f"the operationId {route.id!r} is that of {first.method} {first.path}, too"
                self._wrong(spot, text, "give each operation its own")

    def _check_clashes(self, routes: list[Route]) -> None:
        """Templates that fit the same path, with none the more concrete one."""
        shapes: dict[tuple[str, str], Route] = {}
        groups: dict[tuple[str, int], list[Route]] = {}
        for route in routes:
            first = shapes.setdefault((route.method, shape(route.path)), route)
            if first is not route:
                text = f"{route.method} {route.path} and {first.path} are the same path"
                self._wrong(Spot(route.file, route.pointer), text, "join them, or change one")
                continue
            groups.setdefault((route.method, route.path.count("/")), []).append(route)
        for group in groups.values():
            for one, other in _near(group):
                if clash(one.path, other.path):
                    text = f"{one.method} {one.path} and {other.path} both fit some path"
                    self._wrong(Spot(one.file, one.pointer), text, "change one, so that one is more concrete")

    # --- paths and operations ---------------------------------------------------------------------------

    def _paths(self) -> Iterator[tuple[str, Spot, Any]]:
        for path, item in (self._value.get("paths") or {}).items():
            if path.startswith("x-"):
                continue
            spot = self._root.at("paths", path)
            found = self._follow(spot, item)
            if found is not None and isinstance(found[1], dict):
                yield path, found[0], found[1]

    def _path(self, path: str, spot: Spot, item: dict[str, Any]) -> Iterator[Route]:
        shared = self._parameters(spot.at("parameters"), item.get("parameters", []))
        for method in METHODS:
            if isinstance(item.get(method), dict):
                yield from self._operation(path, method, spot, item, item[method], shared)

    def _operation(
        self,
        path: str,
        method: str,
        above: Spot,
        item: dict[str, Any],
        held: dict[str, Any],
        shared: dict[tuple[str, str], Parameter],
    ) -> Iterator[Route]:
        spot = above.at(method)
        parameters = shared | self._parameters(spot.at("parameters"), held.get("parameters", []))
        self._check_variables(path, spot, parameters)
        body = self._body(spot.at("requestBody"), held.get("requestBody"))
        told = self._told(above, item, spot, held)
        units = self._units(spot, told.units, parameters, body)
        security = self._security(spot, held)
        self._check_headers(spot, parameters)
        for base, boxes in self._bases(above, item, spot, held).items():
            yield Route(
                id=held.get("operationId") or f"{method.upper()} {path}",
                method=method.upper(),
                path=base + path,
                effect=told.effect or ("safe" if method in SAFE else "once"),
                cls=told.cls or "",
                plan=told.plan or "",
                units=units,
                deadline_ms=told.deadline_ms or 0,
                security=security,
                parameters=tuple(parameters.values()),
                body=body,
                file=spot.file,
                line=self._documents.texts[spot.file].line(spot.pointer),
                pointer=spot.pointer,
                boxes=boxes,
                base=base,
            )

    def _check_headers(self, spot: Spot, parameters: dict[tuple[str, str], Parameter]) -> None:
        """Headers that are the gateway's own, or frame the message, are nobody's parameters."""
        for source, name in parameters:
            if source == "header" and (name in FRAMING or name.startswith("lynxreel-")):
                text = f"the header {name!r} frames a message, or is the gateway's own"
                self._wrong(spot, text, "take it out of the parameters")

    def _follow(self, spot: Spot, value: Any) -> tuple[Spot, Any] | None:
        try:
            return self._documents.follow(spot, value)
        except RefError as wrong:
            self.problems.append(wrong.problem)
            return None

    def _parameters(self, spot: Spot, held: list[Any]) -> dict[tuple[str, str], Parameter]:
        found: dict[tuple[str, str], Parameter] = {}
        for number, entry in enumerate(held):
            resolved = self._follow(spot.at(number), entry)
            if resolved is None:
                continue
            where, value = resolved
            if not isinstance(value, dict) or not {"name", "in"} <= value.keys():
                self._wrong(where, "is no parameter", "write one with name and in")
                continue
            source, name = value["in"], str(value["name"])
            key = (source, name.lower() if source == "header" else name)
            if key in found:
                self._wrong(spot.at(number), f"the {source} parameter {name!r} stands twice", "take one out")
            style = value.get("style", "form" if source in ("query", "cookie") else "simple")
            schema = where.at("schema") if "schema" in value else None
            if schema is not None:
                self._follow(schema, value["schema"])
            found[key] = Parameter(
                name,
                source,
                bool(value.get("required", False)),
                style,
                bool(value.get("explode", style == "form")),
                schema.file if schema else "",
                schema.pointer if schema else "",
            )
        return found

    def _check_variables(self, path: str, spot: Spot, parameters: dict[tuple[str, str], Parameter]) -> None:
        names = VARIABLE.findall(path)
        for name in {name for name in names if names.count(name) > 1}:
            self._wrong(spot, f"{path} has the variable {name!r} twice", "give each its own name")
        if VARIABLE.sub("", path).strip("/") != VARIABLE.sub("", path).strip("/").replace("{", ""):
            self._wrong(spot, f"{path} has a brace that is not closed", "close it")
        known = {name for source, name in parameters if source == "path"}
        for name in sorted(set(names) - known):
            self._wrong(spot, f"the variable {name!r} of {path} is no parameter", f"add {name!r}, in: path")
        for name in sorted(known - set(names)):
            text = f"the path parameter {name!r} is not in {path}"
            self._wrong(spot, text, "take it out, or add it to the path")

    def _body(self, spot: Spot, held: Any) -> Body | None:
        found = self._follow(spot, held) if held is not None else None
        if found is None:
            return None
        where, value = found
        types = {}
        for kind, entry in value.get("content", {}).items():
            if isinstance(entry, dict) and "schema" in entry:
                schema = where.at("content", kind, "schema")
                self._follow(schema, entry["schema"])
                types[kind.lower()] = (schema.file, schema.pointer)
            else:
                types[kind.lower()] = ("", "")
        return Body(bool(value.get("required", False)), types)

    def _told(self, above: Spot, item: dict[str, Any], spot: Spot, held: dict[str, Any]) -> Extension:
        """Each key from the operation, else from its path, else from the document."""
        levels = ((self._root, self._value), (above, item), (spot, held))
        told: dict[str, Any] = {}
        for where, value in levels:
            extension = self._extension(Extension, where, value)
            told.update((key, getattr(extension, key)) for key in extension.model_fields_set)
        return Extension().model_copy(update=told)

    def _extension(self, model: type[Any], spot: Spot, value: dict[str, Any]) -> Any:
        if KEY not in value:
            return model()
        try:
            return model.model_validate(value[KEY])
        except ValidationError as wrong:
            for error in meant(wrong.errors()):
                place = spot.at(KEY, *[part for part in error["loc"] if part not in BRANCHES])
                problem = self._documents.problem(
                    place, error["msg"], f"see docs/x-lynxreel.schema.json, {_keys(model)}"
                )
                if problem not in self.problems:  # levels above are read for each operation
                    self.problems.append(problem)
            return model()

    def _units(
        self,
        spot: Spot,
        told: float | Count | None,
        parameters: dict[tuple[str, str], Parameter],
        body: Body | None,
    ) -> Units:
        if not isinstance(told, Count):
            return Units(1.0 if told is None else told)
        name = told.name.lower() if told.source == "header" else told.name
        if told.source != "body" and (told.source, name) not in parameters:
            text = f"units are counted by the {told.source} parameter {told.name!r}, which there is none of"
            self._wrong(spot, text, "add it, or correct the name")
        if told.source == "body" and (body is None or JSON not in body.types):
            text = "units are counted by a field of a body, and the operation takes none as application/json"
            self._wrong(spot, text, "add one, or count by something else")
        if told.most is not None and told.least > told.most:
            self._wrong(spot, f"units: least {told.least} is above most {told.most}", "swap them")
        return Units(told.otherwise, told.source, name, told.per, told.least, told.most or 0.0)

    def _security(self, spot: Spot, held: dict[str, Any]) -> tuple[tuple[Scheme, ...], ...]:
        where = spot.at("security") if "security" in held else self._root.at("security")
        wanted = held.get("security", self._value.get("security", []))
        found = []
        for number, entry in enumerate(wanted):
            schemes = []
            for name in entry:
                scheme = self._schemes.get(name)
                if scheme is not None:
                    schemes.append(scheme)
                    continue
                known = name in self._schemes
                text = f"the scheme {name!r} is {'of a kind that is not served' if known else 'not there'}"
                mend = "use apiKey, or http with bearer" if known else "add it to components.securitySchemes"
                problem = self._documents.problem(where.at(number, name), text, mend)
                if problem not in self.problems:
                    self.problems.append(problem)
            found.append(tuple(schemes))
        return tuple(found)

    def _bases(
        self, above: Spot, item: dict[str, Any], spot: Spot, held: dict[str, Any]
    ) -> dict[str, HttpBoxes | None]:
        """Base paths of the servers nearest to an operation, and how the boxes behind each are asked."""
        for where, value in ((spot, held), (above, item), (self._root, self._value)):
            if value.get("servers"):
                found: dict[str, HttpBoxes | None] = {}
                for number, server in enumerate(value["servers"]):
                    place = where.at("servers", number)
                    if (url := self._url(place, server)) is not None:
                        found.setdefault(url[1], self._boxes(place, server, *url))
                return found
        return {"": None}

    def _boxes(self, spot: Spot, server: dict[str, Any], host: str, base: str) -> HttpBoxes | None:
        told = self._extension(ServerBoxes, spot, server)
        speaks = self._spoken.setdefault("boxes", told.boxes)
        if told.boxes != speaks:
            text = f"boxes speak {told.boxes} here and {speaks} elsewhere, and any box may get any request"
            self._wrong_once(spot, text, "have all servers say the same")
        if told.boxes == "resp2":
            return None
        path = base if told.path is None else told.path
        return HttpBoxes(host, path, frozenset(told.turned_away))

    def _url(self, spot: Spot, server: dict[str, Any]) -> tuple[str, str] | None:
        """The host, empty where the url is relative, and the base path."""
        url = server["url"]
        for name, variable in server.get("variables", {}).items():
            url = url.replace("{" + name + "}", str(variable["default"]))
        if "{" in url:
            self._wrong(spot.at("url"), f"{url!r} has a variable that is not there", "add it to variables")
            return None
        path = unquote(urlsplit(url).path).rstrip("/")
        if path and not path.startswith("/"):
            path = "/" + path.removeprefix("./")
        return urlsplit(url).netloc.rpartition("@")[2], path


def _near(group: list[Route]) -> Iterator[tuple[Route, Route]]:
    """Pairs that may fit the same path: those whose first differing segments are not both concrete.

    A tree of segments is walked, so routes that differ in a concrete segment are never compared.
    """

    def walk(routes: list[Route], place: int) -> Iterator[tuple[Route, Route]]:
        if len(routes) < 2:
            return
        split: dict[str, list[Route]] = {}
        free: list[Route] = []
        for route in routes:
            segments = route.path[1:].split("/")
            if place >= len(segments):
                yield from ((one, other) for n, one in enumerate(routes) for other in routes[n + 1 :])
                return
            if VARIABLE.search(segments[place]):
                free.append(route)
            else:
                split.setdefault(segments[place], []).append(route)
        both = {id(route) for route in free}
        for part in split.values():
            pairs = walk(part + free, place + 1)
            yield from ((one, other) for one, other in pairs if not {id(one), id(other)} <= both)
        yield from walk(free, place + 1)

    seen = set()
    for one, other in walk(group, 0):
        key = (id(one), id(other))
        if key not in seen:
            seen.add(key)
            yield one, other


def meant(errors: list[ErrorDetails]) -> list[ErrorDetails]:
    """Of a value that may be a number or an object, the errors of what it is."""
    other = [error for error in errors if error["type"] in ("float_type", "model_type")]
    return errors if len(other) == len(errors) else [error for error in errors if error not in other]


def deepest(error: Any) -> Any:
    """Of an error with branches the one that got furthest: it is what the author meant."""
    while context := [inner for branch in getattr(error.kind, "context", None) or () for inner in branch]:
        error = max(context, key=lambda inner: len(inner.instance_path))
    return error


def shortened(text: str) -> str:
    """An error's words, without the whole value in front."""
    return text if len(text) <= 200 else f"{text[:60]} ... {text[-120:]}"


def _keys(model: type[BaseModel]) -> str:
    return "keys " + ", ".join(field.alias or name for name, field in model.model_fields.items())
