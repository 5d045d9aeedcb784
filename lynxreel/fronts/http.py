"""HTTP/1.1 clients: a listener, requests that are whole, answers in order.

h11 reads and writes the messages, one `h11.Connection` for each request, so that not a byte of the next one
is taken before this one is answered. Before that the head is held against what readers differ on: bare line
feeds, folded lines, NUL, spaces before colons, more than one framing. What is in doubt gets one answer and
the end of the connection.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import re
import secrets
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import cast

import h11

from lynxreel.engine.engine import RequestHandler
from lynxreel.engine.shutdown_report import ConnectionHistory, ShutdownReport
from lynxreel.fronts.draining import Draining, DrainTimes
from lynxreel.fronts.forwarded import Network, told
from lynxreel.fronts.lingering import LingeringClose, has_unread
from lynxreel.fronts.listeners import Door, Doors, OwnDoors
from lynxreel.openapi.admission import Admission, Head, Rejected, Whole
from lynxreel.openapi.repeats import Found, Repeats
from lynxreel.openapi.routes import BadPath, split
from lynxreel.protocol import resp
from lynxreel.protocol.address import Address
from lynxreel.protocol.exchange import WAIT_FIELD, Answer, Exchange, Fields, pack
from lynxreel.relay.stream import Stream

MOST_HEAD = 16_384  # bytes of a request's head
MOST_HEADERS = 100
MOST_BODY = 65_000  # bytes: what a box takes in one string, less what goes round it
MOST_AHEAD = 65_536  # bytes of later requests that are read while one is served
PATIENCE = 2.0  # seconds for a head, for a body, and for reading an answer
IDLE = 15.0  # seconds without a request after which a connection ends
SWEEP = 0.25  # seconds between looks for those that have used that up
LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*")
START = re.compile(rb"[A-Z]{1,20} [!-~]{1,8000} HTTP/1\.[01]")
TRACE = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
REQUEST_ID = re.compile(r"[0-9A-Za-z._:-]{1,64}")


@dataclass(frozen=True)
class Serving:
    """What requests are served by: a table and its terms, and who may speak for clients."""

    admission: Admission
    repeats: Repeats
    spread: int  # gateways that a customer's requests come through
    classes: tuple[bytes, ...] = ()  # names by place, for boxes; likewise plans
    plans: tuple[bytes, ...] = ()
    policies: tuple[str, ...] = ()  # by plan: its RateLimit-Policy, empty for none
    digest: str = ""  # of the description
    proxies: tuple[Network, ...] = ()  # whose word on where a request came from is believed


@dataclass(frozen=True)
class Plan:
    """Where HTTP is served, and how."""

    listen: tuple[Address, ...]
    serving: Serving

    @property
    def http_boxes(self) -> bool:
        """Boxes speak HTTP, by the description; else RESP2."""
        return self.serving.admission.table.http_boxes

    def front(
        self, engine: RequestHandler, most: int, loop: asyncio.AbstractEventLoop, doors: Doors, back: bool
    ) -> Web:
        """The front, which listens nowhere yet; `most` connections. `back`: clients may come back."""
        return Web(engine, self.serving, most, loop, doors, back)


class Call:
    """One request, as the engine sees it."""

    __slots__ = ("back", "cls", "connection", "customer", "first", "id", "mark", "patience", "plan", "repeat",
                 "request", "retry", "seeks", "serving", "spread", "started", "units", "whole")  # fmt: skip

    def __init__(
        self, connection: Connection, whole: Whole, serving: Serving, number: bytes, back: bool
    ) -> None:
        head = whole.head
        self.connection, self.whole, self.serving = connection, whole, serving
        self.id, self.customer, self.cls, self.plan = number, head.customer, head.cls, head.plan
        self.units, self.patience = whole.units, head.patience
        self.spread, self.first, self.retry = serving.spread, 0, False
        self.request = 0
        self.repeat, self.mark = "", b""  # the Idempotency-Key that it runs under here, and what is asked
        self.back, self.seeks = back, False
        self.started = connection.web.loop.time()

    def command(self, wait: int) -> bytes:
        """The command for a box: CALL.POST, whose last string says what was asked (docs/openapi.md)."""
        payload = self.whole.payload
        if trace := self.connection.trace():
            payload = b'%b,"traceparent":"%b"}' % (payload[:-1], trace.encode())
        return resp.pack([*self._strings(payload, max(1, wait // 1_000))])

    def _strings(self, payload: bytes, wait: int) -> tuple[bytes, ...]:
        """The command's strings; `wait` in milliseconds."""
        names = self.serving.classes[self.cls], self.serving.plans[self.plan]
        terms = b"c=%b,t=%b,d=%d,units=%g" % (*names, wait, self.units)
        return b"CALL.POST", b"%016x" % self.customer, self.id, terms, payload

    def exchange(self, wait: int) -> Exchange:
        """The request for a box that speaks HTTP: written anew, with whose it is and what it costs."""
        head = self.whole.head
        boxes = head.route.boxes
        assert boxes is not None
        names = self.serving.classes[self.cls].decode(), self.serving.plans[self.plan].decode()
        fields = [
            *head.fields, ("Forwarded", self.connection.came_from(self.serving.proxies)),
            ("Lynxreel-Customer", f"{self.customer:016x}"), ("Lynxreel-Class", names[0]),
            ("Lynxreel-Plan", names[1]), ("Lynxreel-Units", f"{self.units:g}"),
            (WAIT_FIELD, str(max(1, wait // 1_000))), ("Lynxreel-Request", self.id.decode()),
        ]  # fmt: skip
        fields += [("Idempotency-Key", self.id.decode())] if head.key else []
        fields += [("Content-Type", self.whole.kind)] if self.whole.body and self.whole.kind else []
        how = boxes.host, boxes.turned_away
        return Exchange(head.route.method, head.target, tuple(fields), self.whole.body, *how)

    def served(self, value: bytes | Stream, again: bool = False) -> None:
        """Answer with a box's value."""
        assert isinstance(value, bytes)  # as `streams` says
        if isinstance(value, Answer):
            kind = next((text for name, text in value.fields if name == "Content-Type"), "")
            fields = tuple(pair for pair in value.fields if pair[0] != "Content-Type")
            self._end(value.status, kind, value, fields, True, again)
        else:
            self._end(200, _kind(value), value, (), True, again)

    streams = False  # what a client gets by HTTP has its length and its end known
    counted = sent = False

    def portable(self) -> tuple[bytes, ...]:
        """The strings of its command, or of what a box is asked over HTTP."""
        if self.whole.head.route.boxes is not None:
            return pack(self.exchange(self.patience * 1_000))
        return self._strings(self.whole.payload, self.patience)

    def refused(self, wait: int) -> None:
        """Answer that it may come again, after so many microseconds if not 0."""
        headers: dict[str, str] = {}
        policies = self.serving.policies
        policy = policies[self.plan] if self.plan < len(policies) else ""
        seconds = math.ceil(wait / 1e6)
        if wait > 0:
            headers["Retry-After"] = str(seconds)
        if policy:
            headers["RateLimit-Policy"] = policy
            headers["RateLimit"] = f"{policy.partition(';')[0]};r=0" + (f";t={seconds}" if wait > 0 else "")
        self._end(429, PROBLEM, problem(429, "Too many requests", ""), tuple(headers.items()))

    def failed(self) -> None:
        """Answer that it failed: its time is up, or no box could be had."""
        late = self.connection.web.loop.time() - self.started >= self.patience / 1e3 - 0.1
        status = 504 if late else 503
        self._end(status, PROBLEM, problem(status, "No answer in time" if late else "No box", ""))

    def unknown(self) -> None:
        """Answer that it may have run, and will not run again."""
        told = "it may have run before its gateway was lost, and is not run again"
        self._end(500, PROBLEM, problem(500, "Outcome unknown", told))

    def clash(self) -> None:
        """Answer that its id is that of another request."""
        self._end(*OTHER)

    def _end(
        self,
        status: int,
        kind: str,
        body: bytes,
        headers: Fields = (),
        box: bool = False,
        again: bool = False,
    ) -> None:
        """Answer; `box`: as a box did; `again`: to another request under its key."""
        self.request = 0
        if self.repeat:
            # What was refused or failed may be tried again under its key; the box is sent the same id.
            kept = (status, kind, body, headers) if box else None
            now, head = self.connection.web.loop.time(), self.whole.head
            self.serving.repeats.end(now, self.customer, head.route.id, self.repeat, kept)
            headers = (*headers, REPLAYED) if again else headers
        self.connection.answer(status, kind, body, headers)


EMPTY = (204, 304)  # statuses whose answers have no body
STATUSES = {status.value for status in HTTPStatus}
PROBLEM = "application/problem+json"


def problem(status: int, title: str, detail: str) -> bytes:
    """A body after RFC 9457."""
    told = {"type": "about:blank", "title": title, "status": status}
    return json.dumps({**told, "detail": detail} if detail else told).encode()


USED = "Another request", "this Idempotency-Key was used for a different request"
OTHER = 422, PROBLEM, problem(422, *USED)
REPLAYED = ("Idempotency-Replayed", "true")


def _kind(value: bytes) -> str:
    return "application/json" if value[:1] in (b"{", b"[", b'"') else "application/octet-stream"


class Connection(asyncio.Protocol):
    """One client connection."""

    def __init__(self, web: Web) -> None:
        self.web = web
        self.transport: asyncio.Transport
        self._buffer = bytearray()
        self._http: h11.Connection | None = None  # of the request that is being read or served
        self._head: Head | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._call: Call | None = None
        self._method = ""
        self._request_id = ""
        self._peer = ""
        self._since = web.loop.time()  # of what is owed by the client now
        self._owes = True
        self._fresh = True  # nothing has come on it
        self._history = ConnectionHistory.NEW  # before the bytes that are being read
        self._unread = self._ending = self._paused = False
        self._lingering = False  # it is being closed: what still comes is discarded

    # --- reading ----------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has come."""
        self.transport = cast(asyncio.Transport, transport)
        self._peer = str(transport.get_extra_info("peername")[0])
        self.web.add(self)

    def trace(self) -> str:
        """The traceparent of the request that is served; empty where it has none that is one."""
        shown = self._headers.get("traceparent", "")
        return shown if TRACE.fullmatch(shown) else ""

    def came_from(self, proxies: tuple[Network, ...]) -> str:
        """Where the request that is served came from, for a box."""
        return told(self._peer, self._headers, proxies)

    def data_received(self, data: bytes) -> None:
        """Read what is whole; keep the rest, within bounds."""
        if self._ending:
            return
        if self.web.report is not None:
            self._history = self._state()
        self._fresh = False
        self._buffer += data
        self._read()
        if len(self._buffer) > MOST_AHEAD and not self._paused and not self.transport.is_closing():
            self._paused = True
            self.transport.pause_reading()

    def _state(self) -> ConnectionHistory:
        """What this connection has carried so far."""
        if self._fresh:
            return ConnectionHistory.NEW
        if self._call is not None:
            return ConnectionHistory.BUSY
        half = self._buffer or self._http is not None
        return ConnectionHistory.HALF_READ if half else ConnectionHistory.IDLE

    def _read(self) -> None:
        while self._call is None and not self._ending and not self._unread and self._buffer:
            if self._http is None and not self._begin():
                return
            if not self._go_on():
                return

    def _begin(self) -> bool:
        """The head of the next request, once it is whole; false where there is no more to do."""
        while self._buffer[:2] == b"\r\n":  # some clients end a body with a line of their own
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0 and len(self._buffer) <= MOST_HEAD and b"\n\n" not in self._buffer:
            if self._buffer and not self._owes:
                self._owes, self._since = True, self.web.loop.time()
            return False
        if end < 0 or end > MOST_HEAD:
            large = len(self._buffer) > MOST_HEAD
            self._fatal(431 if large else 400, "Head too large" if large else "Bad line ends")
            return False
        head = bytes(self._buffer[: end + 4])
        del self._buffer[: end + 4]
        if (wrong := _doubt(head)) is not None:
            self._fatal(*wrong)
            return False
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD + MOST_BODY)
        self._body.clear()
        self._head = None
        self._owes, self._since = True, self.web.loop.time()  # the body, from now on
        try:
            self._http.receive_data(head)
            request = self._http.next_event()
        except h11.RemoteProtocolError as wrong_message:
            self._fatal(wrong_message.error_status_hint, "Bad request", str(wrong_message))
            return False
        assert isinstance(request, h11.Request)
        return self._start(request)

    def _start(self, request: h11.Request) -> bool:
        """What the head says; false where the request has had its answer."""
        self._method = request.method.decode()
        self._headers = headers = _folded(request)
        shown = headers.get("x-request-id", "")
        self._request_id = shown if REQUEST_ID.fullmatch(shown) else secrets.token_hex(8)
        target = request.target.decode("ascii")
        try:
            if self._method == "OPTIONS" and self._options(target):
                return False
            if self._method == "CONNECT" or not target.startswith("/"):
                raise Rejected(501 if self._method == "CONNECT" else 400, "Not served")
            length = headers.get("content-length", "0")
            if len(length) > 12 or int(length) > MOST_BODY:
                raise Rejected(413, "Body too large", f"{MOST_BODY} bytes at most")
            if headers.get("expect", "100-continue").lower() != "100-continue":
                raise Rejected(417, "Unknown expectation")
            self._head = self.web.serving.admission.head(self._method, target, headers)
        except Rejected as wrong:
            self._reject(wrong)
            return False
        http = self._http
        assert http is not None
        if http.they_are_waiting_for_100_continue:
            self.transport.write(http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
        return True

    def _options(self, target: str) -> bool:
        """Answer OPTIONS, unless the description serves it itself."""
        admission = self.web.serving.admission
        try:
            segments = split(target.partition("?")[0]) if target != "*" else []
        except BadPath as wrong:
            raise Rejected(400, "Bad path", str(wrong)) from None
        if segments and "OPTIONS" in admission.table.allowed(segments):
            return False
        allowed = admission.allowed(segments)
        if segments and not allowed:
            raise Rejected(404, "No such path")
        self._skip_body({"Allow": ", ".join(allowed or ["OPTIONS"])}, 204)
        return True

    def _go_on(self) -> bool:
        """The body; false while more of it is wanted, or where the request has had its answer."""
        http, head = self._http, self._head
        assert http is not None and head is not None
        if self._buffer:
            http.receive_data(bytes(self._buffer))
            self._buffer.clear()
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    return False
                if isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MOST_BODY:
                        self._fatal(413, "Body too large", f"{MOST_BODY} bytes at most")
                        return False
                elif isinstance(event, h11.EndOfMessage):
                    break
        except h11.RemoteProtocolError as wrong:
            self._fatal(wrong.error_status_hint, "Bad body", str(wrong))
            return False
        self._buffer[:0] = http.trailing_data[0]
        self._submit(head)
        return True

    def _submit(self, head: Head) -> None:
        serving = self.web.serving
        self._owes = False
        try:
            whole = serving.admission.whole(head, self._headers.get("content-type", ""), bytes(self._body))
            call = Call(self, whole, serving, self._number(head), self._back())
            if head.key and not self._repeat(call, whole):
                return
            self._call = call
            call.request = self.web.engine.submit(call)
            if not call.request:
                self._call = None
                raise Rejected(409, "Running", "a request under this id is open")
            if (report := self.web.report) is not None:
                report.request_read(call.id, call.cls, self._history, call.patience / 1e3)
        except Rejected as wrong:
            self._reject(wrong, read=True)

    def _back(self) -> bool:
        """Whether its client has asked for it before, and comes back for it."""
        told = self._headers.get("lynxreel-back", "0")
        if told not in ("0", "1"):
            raise Rejected(400, "Bad Lynxreel-Back", "0 or 1 is wanted")
        if told == "1" and not self.web.back:
            raise Rejected(400, "Bad Lynxreel-Back", "work in hand is not kept for others here")
        return told == "1"

    def _number(self, head: Head) -> bytes:
        """An id of this request's own; under an Idempotency-Key, the same for all its repeats."""
        named = self._headers.get("lynxreel-request", "") if self.web.back else ""
        if named and not REQUEST_ID.fullmatch(named):
            raise Rejected(400, "Bad Lynxreel-Request", "1 to 64 letters, digits, dots, colons, - and _")
        if not head.key:
            return named.encode() or b"h" + secrets.token_hex(12).encode()
        text = f"{head.customer:x}/{head.route.id}/{head.key}"
        return b"k" + hashlib.sha256(text.encode()).hexdigest()[:40].encode()

    def _repeat(self, call: Call, whole: Whole) -> bool:
        """Whether a keyed request is to run; else it has had its answer."""
        head, repeats = whole.head, self.web.serving.repeats
        now = self.web.loop.time()
        found, answer = repeats.begin(now, head.customer, head.route.id, head.key, whole.mark)
        if found is Found.NEW:
            call.repeat, call.mark = head.key, whole.mark
            call.seeks = True  # its client may have used the key at another instance
            return True
        if found is Found.DONE:
            status, kind, body, headers = cast(tuple[int, str, bytes, Fields], answer)
            self.answer(status, kind, body, (*headers, REPLAYED))
            return False
        if found is Found.RUNNING:
            raise Rejected(409, "Running", "the first request under this Idempotency-Key has no answer yet")
        if found is Found.OTHER:
            raise Rejected(422, *USED)
        raise Rejected(503, "No room", "no more Idempotency-Keys can be kept now", **{"Retry-After": "1"})

    # --- answers ----------------------------------------------------------------------------------------

    def answer(self, status: int, kind: str, body: bytes, headers: Fields) -> None:
        """The one answer to the request that is served; then the next one is read."""
        self._call = None
        http = self._http
        if http is None or self.transport.is_closing():
            return
        bare = self._method == "HEAD" or status in EMPTY
        listed = [("X-Request-Id", self._request_id), *headers]
        if trace := self.trace():
            listed.append(("traceparent", trace))
        if status not in EMPTY:
            listed += [("Content-Type", kind)] if kind else []
            listed.append(("Content-Length", str(len(body))))
        if self._ending or self.web.draining.closing:
            listed.append(("Connection", "close"))
        reason = (HTTPStatus(status).phrase if status in STATUSES else "").encode()
        out = http.send(h11.Response(status_code=status, headers=listed, reason=reason)) or b""
        if not bare:
            out += http.send(h11.Data(data=body)) or b""
        out += http.send(h11.EndOfMessage()) or b""
        self.transport.write(out)
        self._http = None
        if self._ending or self.web.draining.closing or http.our_state is h11.MUST_CLOSE:
            self._close()
            return
        self._owes, self._since = bool(self._buffer), self.web.loop.time()
        if self._paused and len(self._buffer) <= MOST_AHEAD:
            self._paused = False
            self.transport.resume_reading()
        self.web.loop.call_soon(self._read)

    def _reject(self, wrong: Rejected, read: bool = False) -> None:
        """Turned away before anything was counted."""
        body = problem(wrong.status, wrong.title, wrong.detail)
        if not read and self._bodied():
            self._ending = True  # its body is not read: what follows is not told from it
        self.answer(wrong.status, PROBLEM, body, tuple(wrong.headers.items()))

    def _skip_body(self, headers: dict[str, str], status: int) -> None:
        self._ending = self._ending or self._bodied()
        self.answer(status, "", b"", tuple(headers.items()))

    def _bodied(self) -> bool:
        length = self._headers.get("content-length", "0")
        return "transfer-encoding" in self._headers or length != "0"

    def _fatal(self, status: int, title: str, detail: str = "") -> None:
        """What follows can't be told apart: one answer, and the end."""
        self._ending = True
        body = problem(status, title, detail)
        self._http = None
        phrase = HTTPStatus(status).phrase
        text = f"HTTP/1.1 {status} {phrase}\r\nContent-Type: {PROBLEM}\r\nContent-Length: {len(body)}\r\n"
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"Connection: close\r\n\r\n" + body)
        self._close()

    def _close(self) -> None:
        self._ending = True
        self._buffer.clear()
        if self.transport.is_closing() or self._lingering:
            return
        self._lingering = True
        LingeringClose(self.transport, self.web.loop, self.connection_lost)

    # --- ends -------------------------------------------------------------------------------------------

    def end(self, patient: bool = True, reads_on: bool = False) -> None:
        """Close once nothing is owed. While `patient`, what has come is read first, its rest waited for.

        While it `reads_on`, what has come is read first.
        """
        if self._call is not None or self._lingering or self.transport.is_closing():
            return
        if self._http is None and not self._buffer:
            if not ((patient or reads_on) and has_unread(self.transport)):
                self._close()
        elif not patient:
            self._fatal(503, "Shutting down", "the rest of the request did not come in time")

    def look(self, now: float) -> None:
        """End it where its client has used up its time."""
        if self._lingering:
            return
        if self.transport.is_closing():
            if now - self._since > PATIENCE:
                self.transport.abort()
        elif self._unread or self._owes:
            if now - self._since <= PATIENCE:
                return
            if self._unread:
                self.transport.abort()
            elif self._buffer or self._http is not None:
                self._fatal(408, "Too slow")
            else:
                self._close()
        elif self._call is None and now - self._since > IDLE:
            self._close()

    def pause_writing(self) -> None:
        """Guards memory: a client that does not read its answers is not read either."""
        self._unread, self._since = True, self.web.loop.time()

    def resume_writing(self) -> None:
        """It reads again."""
        self._unread, self._since = False, self.web.loop.time()
        self._read()

    def connection_lost(self, error: Exception | None) -> None:
        """The client has gone; nothing is owed to it any more, but what runs under a key is kept for it."""
        self._ending = True
        self.web.connections.discard(self)
        call, self._call = self._call, None
        if call is not None and call.request and not call.repeat:
            self.web.engine.client_disconnected(call.request)


def _doubt(head: bytes) -> tuple[int, str] | None:
    """What readers of HTTP differ on, in a head that ends with an empty line."""
    lines = head[:-4].split(b"\r\n")
    if not START.fullmatch(lines[0]):
        return 400, "Bad request line"
    if len(lines) - 1 > MOST_HEADERS:
        return 431, "Too many headers"
    framings = hosts = 0
    for line in lines[1:]:
        if not LINE.fullmatch(line):
            return 400, "Bad header"
        name = line.partition(b":")[0].lower()
        framings += name in (b"content-length", b"transfer-encoding")
        hosts += name == b"host"
        if name == b"transfer-encoding" and line.partition(b":")[2].strip().lower() != b"chunked":
            return 501, "Unknown transfer encoding"
        if name == b"content-length" and not line.partition(b":")[2].strip().isdigit():
            return 400, "Bad length"
    if framings > 1:
        return 400, "Two framings"
    if hosts != 1 and lines[0].endswith(b"1.1"):
        return 400, "One Host is wanted"
    return None


def _folded(request: h11.Request) -> dict[str, str]:
    """Headers by lower-case name, those of one name joined."""
    found: dict[str, str] = {}
    for raw_name, raw_value in request.headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        joint = "; " if name == "cookie" else ", "
        found[name] = found[name] + joint + value if name in found else value
    return found


class Web:
    """The HTTP listeners and all their connections."""

    def __init__(
        self,
        engine: RequestHandler,
        serving: Serving,
        most: int,
        loop: asyncio.AbstractEventLoop,
        doors: Doors | None = None,
        back: bool = False,
    ) -> None:
        """`doors`: where its listeners come from; it opens them itself by default."""
        self.back = back  # clients may come back for what another instance had
        self._doors = doors or OwnDoors(loop)
        self.engine, self.serving, self.loop = engine, serving, loop
        self.connections: set[Connection] = set()
        self.draining = Draining(self, loop)
        self.report: ShutdownReport | None = None  # once the process is to end
        self._most = most
        self._listeners: dict[tuple[str, int], Door] = {}
        self._sweeping: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> None:
        """Take connections at one more address; an OSError where it can't be had."""
        door = await self._doors.open((host, port), lambda: Connection(self))
        self._listeners[door.address] = door
        if self._sweeping is None:
            self._sweep()

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Where it listens."""
        return list(self._listeners)

    def add(self, connection: Connection) -> None:
        """Take a new connection in. Guards the limit on descriptors."""
        self.connections.add(connection)
        if len(self.connections) > self._most:
            connection.transport.abort()

    def adopt(self, serving: Serving) -> None:
        """Go by another table and terms; requests that are open end under those that they began with."""
        self.serving = replace(serving, repeats=self.serving.repeats)

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.look(now)
        self._sweeping = self.loop.call_later(SWEEP, self._sweep)

    async def drain(self, times: DrainTimes) -> None:
        """Close the listeners, and each connection as soon as nothing is owed on it."""
        await self.unlisten()
        await self.draining.empty(replace(times, announce=0.0))

    async def unlisten(self) -> None:
        """Take no connections any more, but those that are ours already."""
        while self._listeners:
            await self._listeners.popitem()[1].close()

    def close(self) -> None:
        """The end."""
        for door in self._listeners.values():
            door.drop()
        self.draining.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
