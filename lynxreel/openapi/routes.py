"""A table of routes, and how a request's method and path find theirs.

Templates are kept as a tree of segments, so a look-up costs by the length of the path and not by the number
of routes. At each segment a concrete one goes before one that is part text, part variable, and that before a
variable alone; where the first choice leads nowhere the next one is tried, as OpenAPI has it.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote_to_bytes

METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")
MOST_SEGMENTS = 64
VARIABLE = re.compile(r"\{([^{}/]+)\}")
ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


@dataclass(frozen=True, slots=True)
class Units:
    """What a request costs: `fixed`, or a number found in it, times `per`, within `least` and `most`.

    `source` is query, path, header or body; `name` a parameter's, or a dotted path of fields. Where nothing
    is found there, `fixed` is charged.
    """

    fixed: float = 1.0
    source: str = ""
    name: str = ""
    per: float = 1.0
    least: float = 0.0
    most: float = 0.0  # 0: the largest request

    def of(self, found: object, largest: float) -> float | None:
        """Units by what was found; None for what is no number, or beyond the bounds of one request."""
        if not self.source or found is None:
            return self.fixed
        try:
            number = float(found) if isinstance(found, str | int | float) else float("nan")
        except ValueError:
            return None
        if isinstance(found, bool) or not math.isfinite(number):
            return None
        units = max(self.least, number * self.per)
        return units if 0 < units <= min(self.most or largest, largest) else None


@dataclass(frozen=True, slots=True)
class Parameter:
    """One parameter; `file` and `pointer` are where its schema stands, or empty for none."""

    name: str
    source: str  # path, query, header or cookie
    required: bool
    style: str
    explode: bool
    file: str = ""
    pointer: str = ""


@dataclass(frozen=True, slots=True)
class Body:
    """What a request's body may be: schemas by media type, as file and pointer."""

    required: bool
    types: Mapping[str, tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Scheme:
    """How a request shows whose it is."""

    name: str
    kind: str  # key or token
    source: str = ""  # for a key: header, query or cookie
    parameter: str = ""  # for a key: the name there
    customer: str = "sub"  # for a token: the claim that names the customer
    plan: str = "plan"  # for a token: the claim that names the plan


@dataclass(frozen=True, slots=True)
class HttpBoxes:
    """How boxes that speak HTTP/1.1 are asked for the operations of one server."""

    host: str  # what the Host header says; empty: the box's address
    path: str  # put before the path of the template
    turned_away: frozenset[int] = frozenset()  # statuses that prove that a request has not begun


@dataclass(frozen=True, slots=True)
class Route:
    """One operation at one path."""

    id: str  # operationId, or method and path
    method: str  # in upper case
    path: str  # the template, with its base path
    effect: str = "once"  # safe, keyed or once
    cls: str = ""  # the operator file's class; empty: its one class of that effect
    plan: str = ""  # for customers whose key names none
    units: Units = Units()
    deadline_ms: int = 0  # 0: the class's
    security: tuple[tuple[Scheme, ...], ...] = ()  # one of these lists, all of it; empty: nobody has to
    parameters: tuple[Parameter, ...] = ()
    body: Body | None = None
    file: str = ""
    line: int = 0
    pointer: str = ""
    boxes: HttpBoxes | None = None  # None: they speak RESP2
    base: str = ""  # the part of `path` that is the server's


class BadPath(ValueError):
    """No path that a route can have; two readings of it might differ."""


def split(path: str) -> list[str]:
    """The decoded segments of a request's path.

    Raises BadPath for what different programs read differently: empty segments but the last one, `.` and `..`
    however they are spelt, encoded slashes, backslashes and control characters, `;`, and bad escapes.
    """
    if not path.startswith("/") or ESCAPE.search(path) or ";" in path:
        raise BadPath("no plain path")
    segments = path[1:].split("/")
    if len(segments) > MOST_SEGMENTS:
        raise BadPath("too many segments")
    found = []
    for number, raw in enumerate(segments):
        try:
            text = unquote_to_bytes(raw).decode() if "%" in raw else raw
        except UnicodeDecodeError:
            raise BadPath("no UTF-8") from None
        if not text and number < len(segments) - 1:
            raise BadPath("an empty segment")
        if text in (".", "..") or any(c < " " or c in "/\\;\x7f" for c in text):
            raise BadPath("a segment that is none")
        found.append(text)
    return found


def shape(path: str) -> str:
    """A template without its variables' names: two of one shape are the same path."""
    return VARIABLE.sub("{}", path)


@dataclass(slots=True)
class _Node:
    concrete: dict[str, _Node] = field(default_factory=dict)
    mixed: list[tuple[str, re.Pattern[str], _Node]] = field(default_factory=list)  # the longest text first
    variable: _Node | None = None
    routes: dict[str, tuple[Route, tuple[str, ...]]] = field(default_factory=dict)  # by method, with names


class Table:
    """All routes of a description."""

    def __init__(self, routes: Iterable[Route], base: Mapping[str, Any] | None = None) -> None:
        """`base`: documents by file, in which schemas of parameters and bodies stand."""
        self.routes = tuple(routes)
        self.documents = dict(base or {})
        self.http_boxes = any(route.boxes is not None for route in self.routes)
        self._root = _Node()
        for route in self.routes:
            node, names = self._root, []
            for segment in route.path[1:].split("/"):
                names += VARIABLE.findall(segment)
                node = _child(node, segment)
            node.routes[route.method] = (route, tuple(names))

    def find(self, method: str, segments: list[str]) -> tuple[Route, dict[str, str]] | None:
        """The route of a request, and its variables; None where there is none."""
        for node, values in _match(self._root, segments, 0, ()):
            found = node.routes.get(method)
            if found is not None:
                return found[0], dict(zip(found[1], values, strict=True))
        return None

    def allowed(self, segments: list[str]) -> list[str]:
        """The methods that a path has; none where there is no such path."""
        return sorted({m for node, _ in _match(self._root, segments, 0, ()) for m in node.routes})


def _child(node: _Node, segment: str) -> _Node:
    if not VARIABLE.search(segment):
        return node.concrete.setdefault(unquote_to_bytes(segment).decode("utf-8", "replace"), _Node())
    form = shape(segment)
    if form == "{}":
        node.variable = node.variable or _Node()
        return node.variable
    for known, _, child in node.mixed:
        if known == form:
            return child
    parts = [re.escape(part) for part in form.split("{}")]
    child = _Node()
    node.mixed.append((form, re.compile("(.+?)".join(parts[:-1]) + "(.+)" + parts[-1] + r"\Z"), child))
    node.mixed.sort(key=lambda entry: -len(entry[0]))
    return child


def _match(
    node: _Node, segments: list[str], place: int, values: tuple[str, ...]
) -> Iterable[tuple[_Node, tuple[str, ...]]]:
    if place == len(segments):
        if node.routes:
            yield node, values
        return
    segment = segments[place]
    if (child := node.concrete.get(segment)) is not None:
        yield from _match(child, segments, place + 1, values)
    for _, pattern, child in node.mixed:
        if (found := pattern.match(segment)) is not None:
            yield from _match(child, segments, place + 1, values + found.groups())
    if node.variable is not None and segment:
        yield from _match(node.variable, segments, place + 1, (*values, segment))


def clash(one: str, other: str) -> bool:
    """Whether some path fits two templates of which neither is the more concrete one throughout."""
    ones, others = one[1:].split("/"), other[1:].split("/")
    if len(ones) != len(others):
        return False
    first = second = False
    for a, b in zip(ones, others, strict=True):
        a_free, b_free = bool(VARIABLE.search(a)), bool(VARIABLE.search(b))
        if not a_free and not b_free:
            if a != b:
                return False
        elif a_free and b_free:
            forms = shape(a), shape(b)
            if forms[0] == forms[1]:
                continue
            if "{}" in forms:
                first, second = first or forms[1] == "{}", second or forms[0] == "{}"
            else:  # two that are part text: which one is meant can't be told, where both fit
                return _may_meet(*forms)
        else:
            free, text = (a, b) if a_free else (b, a)
            if not _fits(shape(free), text):
                return False
            first, second = first or b_free, second or a_free
    return first and second


def _may_meet(one: str, other: str) -> bool:
    starts = one.partition("{}")[0], other.partition("{}")[0]
    ends = one.rpartition("{}")[2], other.rpartition("{}")[2]
    return (starts[0].startswith(starts[1]) or starts[1].startswith(starts[0])) and (
        ends[0].endswith(ends[1]) or ends[1].endswith(ends[0])
    )


def _fits(form: str, text: str) -> bool:
    return re.fullmatch("(.+)".join(re.escape(part) for part in form.split("{}")), text) is not None
