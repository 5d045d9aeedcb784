"""What a request by HTTP is: which route, whose, at what cost, for how long; or why it is refused. No I/O.

In two steps, so that nothing of a body is read for a request that its head condemns: `head`, then `whole`.
What a route does not declare is neither checked nor passed on.
"""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import quote, unquote_to_bytes, urlencode

import jwt

from lynxreel.openapi.routes import BadPath, Parameter, Route, Scheme, Table, split
from lynxreel.openapi.schemas import Schemas

CUSTOMERS = 1 << 33  # numbers that customers can have
HEX = re.compile("[0-9a-f]{16}")
MOST_DIGITS = 300  # of an integer in a parameter: as many as the largest number that JSON's readers share
MOST_WAIT = 3_600  # seconds that a client may name
PASSED = {"accept", "accept-language", "traceparent", "tracestate"}  # to boxes that speak HTTP
Headers = Mapping[str, str]  # names in lower case; values of a repeated one joined by commas


class Rejected(Exception):
    """A request is turned away before anything is counted."""

    def __init__(self, status: int, title: str, detail: str = "", **headers: str) -> None:
        self.status, self.title, self.detail, self.headers = status, title, detail, headers
        super().__init__(f"{status} {title}: {detail}")


@dataclass(frozen=True)
class Key:
    """Whose an API key is. `customer` is the number that counts go by; `plan` empty for the route's."""

    customer: int
    plan: str = ""


@dataclass(frozen=True)
class Tokens:
    """How signed tokens are checked: PyJWT's key, algorithms that are taken, and what must be in them."""

    key: str | bytes
    algorithms: tuple[str, ...]
    audience: str = ""
    issuer: str = ""


@dataclass(frozen=True)
class Terms:
    """What a deployment knows by name: places of classes and plans, deadlines in ms, and the like."""

    classes: Mapping[str, int]
    by_effect: Mapping[str, str]  # safe, keyed, once: the class where there is just one of it
    plans: Mapping[str, int]
    deadlines: Mapping[str, int]  # by class
    largest: float  # units of one request


@dataclass(frozen=True)
class Head:
    """A request whose head is fine."""

    route: Route
    customer: int
    cls: int
    plan: int
    patience: int  # milliseconds
    parameters: dict[str, object]
    key: str = ""  # its Idempotency-Key
    target: str = ""  # for a box that speaks HTTP: path and query, written anew
    fields: tuple[tuple[str, str], ...] = ()  # for such a box: header fields that are passed on


@dataclass(frozen=True)
class Whole:
    """A request that may be counted and sent on."""

    head: Head
    units: float
    payload: bytes  # JSON of operation, method, parameters and body; empty for a box that speaks HTTP
    body: bytes = b""  # as it came, for a box that speaks HTTP alone; its media type
    kind: str = ""
    mark: bytes = field(repr=False, default=b"")  # of all that makes it another request under the same key


def customer_number(text: str) -> int:
    """The number that counts go by: 16 hex digits that are one, as RESP2 clients write it, are taken as they
    are; all else goes by its SHA-256."""
    if HEX.fullmatch(text) and (number := int(text, 16)) < CUSTOMERS:
        return number
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big") % CUSTOMERS


class Admission:
    """One table and the terms that it is served under."""

    def __init__(
        self, table: Table, old: bool, terms: Terms, keys: Mapping[str, Key], tokens: Tokens | None
    ) -> None:
        """`keys`: by the SHA-256 of the API key, in hex. `old`: the description is OpenAPI 3.0."""
        self.table, self._terms, self._keys, self._tokens = table, terms, keys, tokens
        self._schemas = Schemas(table.documents, old)

    # --- the head ---------------------------------------------------------------------------------------

    def head(self, method: str, target: str, headers: Headers) -> Head:
        """Raises Rejected."""
        path, _, query = target.partition("?")
        if "#" in target:
            raise Rejected(400, "Bad request target", "it has a fragment")
        try:
            segments = split(path)
        except BadPath as wrong:
            raise Rejected(400, "Bad path", str(wrong)) from None
        found = self.table.find(method, segments)
        if found is None and method == "HEAD":
            found = self.table.find("GET", segments)
        if found is None:
            allowed = self.allowed(segments)
            if not allowed:
                raise Rejected(404, "No such path")
            raise Rejected(405, "No such method here", Allow=", ".join(allowed))
        route, variables = found
        query_pairs = _pairs(query)
        key = self._identify(route, headers, query_pairs)
        cls = route.cls or self._terms.by_effect.get(route.effect, "")
        plan = (key.plan if key is not None else "") or route.plan
        if cls not in self._terms.classes or plan not in self._terms.plans:
            raise Rejected(403, "No plan", "the customer has no plan that is served here")
        parameters = self._parameters(route, variables, query_pairs, headers)
        customer = key.customer if key is not None else 0
        patience = min(route.deadline_ms or self._terms.deadlines[cls], _wait(headers))
        repeat = headers.get("idempotency-key", "") if route.effect == "keyed" else ""
        if len(repeat) > 255:
            raise Rejected(400, "Bad Idempotency-Key", "255 characters at most")
        places = self._terms.classes[cls], self._terms.plans[plan]
        head = Head(route, customer, *places, patience, parameters, repeat)
        if route.boxes is None:
            return head
        return replace(head, target=_target(route, segments, query_pairs), fields=_fields(route, headers))

    def allowed(self, segments: list[str]) -> list[str]:
        """Methods of a path, HEAD with GET and OPTIONS with any."""
        found = set(self.table.allowed(segments))
        if found:
            found |= {"OPTIONS"} | ({"HEAD"} if "GET" in found else set())
        return sorted(found)

    def _identify(self, route: Route, headers: Headers, query: list[tuple[str, str]]) -> Key | None:
        """Whose it is, by the first way that fits; all of a way's schemes must name the same customer."""
        failed: Rejected | None = None
        for way in route.security:
            try:
                found = [self._shown(scheme, headers, query) for scheme in way]
            except Rejected as wrong:
                failed = wrong if failed is None or wrong.status == 403 else failed
                continue
            if len({key.customer for key in found}) > 1:
                failed = Rejected(403, "Not one customer", "what was shown names several")
                continue
            return found[0] if found else None
        if failed is not None:
            raise failed
        return None

    def _shown(self, scheme: Scheme, headers: Headers, query: list[tuple[str, str]]) -> Key:
        if scheme.kind == "token":
            return self._token(scheme, headers)
        if scheme.source == "header":
            shown = headers.get(scheme.parameter.lower(), "")
        elif scheme.source == "query":
            shown = next((value for name, value in query if name == scheme.parameter), "")
        else:
            shown = _cookies(headers).get(scheme.parameter, "")
        if not shown:
            raise Rejected(401, "No key", f"{scheme.source} {scheme.parameter} is wanted")
        key = self._keys.get(hashlib.sha256(shown.encode()).hexdigest())
        if key is None:
            raise Rejected(403, "Unknown key")
        return key

    def _token(self, scheme: Scheme, headers: Headers) -> Key:
        kind, _, text = headers.get("authorization", "").partition(" ")
        challenge = {"WWW-Authenticate": "Bearer"}
        if kind.lower() != "bearer" or not text.strip():
            raise Rejected(401, "No token", "Authorization: Bearer is wanted", **challenge)
        if self._tokens is None:
            raise Rejected(403, "Tokens are not taken here")
        try:
            claims = jwt.decode(
                text.strip(),
                self._tokens.key,
                algorithms=list(self._tokens.algorithms),
                audience=self._tokens.audience or None,
                issuer=self._tokens.issuer or None,
                options={"require": ["exp", scheme.customer]},
            )
        except jwt.InvalidTokenError as wrong:
            challenge["WWW-Authenticate"] = 'Bearer error="invalid_token"'
            raise Rejected(401, "Bad token", str(wrong), **challenge) from None
        customer, plan = claims[scheme.customer], claims.get(scheme.plan, "")
        if not isinstance(customer, str) or not isinstance(plan, str):
            raise Rejected(403, "Bad token", "its claims are no text")
        return Key(customer_number(customer), plan)

    # --- parameters and body ----------------------------------------------------------------------------

    def _parameters(
        self, route: Route, variables: dict[str, str], query: list[tuple[str, str]], headers: Headers
    ) -> dict[str, object]:
        found: dict[str, object] = {}
        cookies = _cookies(headers) if any(p.source == "cookie" for p in route.parameters) else {}
        for parameter in route.parameters:
            name = parameter.name
            if parameter.source == "path":
                raw = [variables[name]]
            elif parameter.source == "query":
                raw = [value for key, value in query if key == name]
            elif parameter.source == "header":
                raw = [headers[name.lower()]] if name.lower() in headers else []
            else:
                raw = [cookies[name]] if name in cookies else []
            if not raw:
                if parameter.required:
                    raise Rejected(400, "Missing parameter", f"{parameter.source} {name}")
                continue
            value = self._value(parameter, raw)
            wrong = self._schemas.wrong(parameter.file, parameter.pointer, value)
            if wrong is not None:
                place = f"{parameter.source} {name}{wrong[0]}"
                raise Rejected(400, "Bad parameter", f"{place}: {wrong[1]}")
            found[f"{parameter.source}.{name.lower() if parameter.source == 'header' else name}"] = value
        return found

    def _value(self, parameter: Parameter, raw: list[str]) -> object:
        """A parameter's text as the type that its schema names."""
        kind = self._schemas.type(parameter.file, parameter.pointer)
        if kind == "array":
            parts = raw if parameter.explode and parameter.source == "query" else raw[0].split(",")
            inner = self._schemas.items(parameter.file, parameter.pointer)
            return [_typed(part, inner) for part in parts]
        if len(raw) > 1:
            raise Rejected(400, "Bad parameter", f"{parameter.source} {parameter.name} stands twice")
        return _typed(raw[0], kind)

    def whole(self, head: Head, kind: str, body: bytes) -> Whole:
        """The request with its body; `kind` is the Content-Type. Raises Rejected."""
        value = self._body(head.route, kind, body)
        units = head.route.units
        shown: object = None
        if units.source == "body":
            shown = value
            for part in units.name.split("."):
                shown = shown.get(part) if isinstance(shown, dict) else None
        elif units.source:
            shown = head.parameters.get(f"{units.source}.{units.name}")
        cost = units.of(shown, self._terms.largest)
        if cost is None:
            raise Rejected(422, "Beyond one request", f"{units.source} {units.name} is not within bounds")
        told = {
            "operation": head.route.id, "method": head.route.method, "parameters": head.parameters,
            "body": value if value is None or not isinstance(value, bytes) else value.decode("latin-1"),
        }  # fmt: skip
        mark = hashlib.sha256(json.dumps([told, kind], sort_keys=True).encode()).digest()
        if head.route.boxes is not None:  # which get the body as it came
            return Whole(head, cost, b"", body if head.route.body is not None else b"", kind, mark)
        return Whole(head, cost, json.dumps(told, separators=(",", ":")).encode(), b"", kind, mark)

    def _body(self, route: Route, kind: str, body: bytes) -> object:
        if route.body is None or not body:
            if route.body is not None and route.body.required:
                raise Rejected(400, "Missing body")
            return None
        media = kind.partition(";")[0].strip().lower()
        ranges = (media, media.partition("/")[0] + "/*", "*/*")
        held = next((route.body.types[name] for name in ranges if name in route.body.types), None)
        if held is None:
            known = ", ".join(route.body.types)
            raise Rejected(415, "Unknown media type", f"{media or 'none'} is none of {known}", Accept=known)
        if media != "application/json" and not media.endswith("+json"):
            return body
        try:
            value = json.loads(body, object_pairs_hook=_unique, parse_constant=_no_constant)
        except (ValueError, RecursionError) as wrong:
            raise Rejected(400, "Bad body", f"no JSON: {str(wrong)[:100]}") from None
        wrong_part = self._schemas.wrong(*held, value)
        if wrong_part is not None:
            raise Rejected(422, "Bad body", f"body{wrong_part[0]}: {wrong_part[1]}")
        found: object = value
        return found


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a key stands twice in one object")
    return found


def _no_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON")


def _typed(text: str, kind: str) -> object:
    """Text as a number or a truth where it is one; else it stays, for the schema to refuse."""
    try:
        if kind == "integer" and len(text) <= MOST_DIGITS:
            return int(text) if text.strip() == text and "_" not in text else text
        if kind == "number" and len(text) <= 40:
            number = float(text)
            return number if number - number == 0 and "_" not in text else text
    except ValueError:
        return text
    return {"true": True, "false": False}.get(text, text) if kind == "boolean" else text


def _pairs(query: str) -> list[tuple[str, str]]:
    found = []
    for part in query.split("&") if query else ():
        name, _, value = part.partition("=")
        try:
            decoded = [unquote_to_bytes(text.replace("+", " ")).decode() for text in (name, value)]
        except UnicodeDecodeError:
            raise Rejected(400, "Bad query", "no UTF-8") from None
        found.append((decoded[0], decoded[1]))
    return found


def _target(route: Route, segments: list[str], query: list[tuple[str, str]]) -> str:
    """Path and query for a box, written anew from what was understood: there is one way to read them."""
    assert route.boxes is not None
    path = "".join("/" + quote(segment, safe="") for segment in segments[route.base.count("/") :])
    declared = {parameter.name for parameter in route.parameters if parameter.source == "query"}
    passed = urlencode([pair for pair in query if pair[0] in declared], quote_via=quote)
    return route.boxes.path + (path or "/") + ("?" + passed if passed else "")


def _fields(route: Route, headers: Headers) -> tuple[tuple[str, str], ...]:
    """Header fields for a box: those that are declared, and what asks for a form of the answer."""
    names = {parameter.name.lower() for parameter in route.parameters if parameter.source == "header"}
    found = [(name, headers[name]) for name in sorted(names | PASSED) if name in headers]
    cookies = _cookies(headers)
    held = [p.name for p in route.parameters if p.source == "cookie" and p.name in cookies]
    return (*found, *([("cookie", "; ".join(f"{name}={cookies[name]}" for name in held))] if held else []))


def _cookies(headers: Headers) -> dict[str, str]:
    parts: Iterable[str] = headers.get("cookie", "").split(";")
    return {name.strip(): value.strip() for name, _, value in (part.partition("=") for part in parts)}


def _wait(headers: Headers) -> int:
    """Milliseconds that a client says it will wait (Prefer: wait, RFC 7240)."""
    for part in headers.get("prefer", "").split(","):
        name, _, value = part.strip().partition("=")
        plain = value.isascii() and value.isdigit() and len(value) < 6
        if name.lower() == "wait" and plain and int(value) > 0:
            return min(MOST_WAIT, int(value)) * 1_000
    return MOST_WAIT * 1_000
