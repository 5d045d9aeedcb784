"""The HTTP/1.1 front: listeners, client connections and requests; each connection is answered in order.

h11 reads and writes the messages, with one `h11.Connection` for each request, so that not a byte of the next
request is parsed before this one is answered. Before that, the head is checked for what parsers disagree on:
bare line feeds, folded lines, NUL, spaces before colons, more than one framing. An ambiguous request gets one
answer, and the connection is closed.
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
from lynxreel.fronts.delivery import Delivery
from lynxreel.fronts.draining import Draining, DrainTimes
from lynxreel.fronts.forwarded import Network, forwarded_field
from lynxreel.fronts.lingering import LingeringClose
from lynxreel.fronts.listeners import Listener, ListenerFactory, OwnListenerFactory
from lynxreel.openapi.admission import Admission, Head, Rejected, Whole
from lynxreel.openapi.repeats import Found, Repeats
from lynxreel.openapi.routes import BadPath, split
from lynxreel.protocol import resp
from lynxreel.protocol.address import Address
from lynxreel.protocol.exchange import WAIT_FIELD, Answer, Exchange, Fields, pack
from lynxreel.relay.client_buffers import COMMAND_OVERHEAD, ClientBuffers, ClientInput, Reading
from lynxreel.relay.stream import Stream
from lynxreel.socket_queues import (
    enlarge_receive_buffer,
    has_unread,
    has_unsent,
    peer_has_closed,
    undelivered_bytes,
    unread_bytes,
)

READ_SIZE = 64 * 1024  # bytes of one read
MAX_HEAD_BYTES = 16_384  # bytes of a request's head
MAX_HEADERS = 100
MAX_BODY_BYTES = 65_000  # bytes: what a box accepts in one string, less what is added to the body
MAX_BUFFERED_BYTES = 65_536  # bytes of later requests that are buffered while one is served
DEFAULT_BUFFERS = 16 << 20  # bytes of requests and unread answers that are held, over all connections
ROOM_CHECK_INTERVAL = 0.05  # seconds between looks at connections whose bodies wait for room
CLIENT_TIMEOUT = 2.0  # seconds to send a head, to send a body, and to read an answer
IDLE_TIMEOUT = 15.0  # seconds without a request after which a connection is closed
SWEEP_INTERVAL = 0.25  # seconds between checks for expired timeouts
HEADER_LINE_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*")
REQUEST_LINE_PATTERN = re.compile(rb"[A-Z]{1,20} [!-~]{1,8000} HTTP/1\.[01]")
TRACEPARENT_PATTERN = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
REQUEST_ID_PATTERN = re.compile(r"[0-9A-Za-z._:-]{1,64}")


@dataclass(frozen=True)
class ServingConfig:
    """What the front serves requests with: the routing table and its terms, names for boxes, and so on."""

    admission: Admission
    repeats: Repeats
    spread: int  # number of gateways that receive a customer's requests
    classes: tuple[bytes, ...] = ()  # names by index, for boxes; likewise plans
    plans: tuple[bytes, ...] = ()
    policies: tuple[str, ...] = ()  # by plan: its RateLimit-Policy, empty for none
    digest: str = ""  # of the description
    proxies: tuple[Network, ...] = ()  # which are trusted to state where a request came from


@dataclass(frozen=True)
class HttpConfig:
    """Where HTTP is served, and by what."""

    listen: tuple[Address, ...]
    serving: ServingConfig

    @property
    def http_boxes(self) -> bool:
        """Whether boxes speak HTTP, according to the description; else RESP2."""
        return self.serving.admission.table.http_boxes

    def create_front(
        self,
        engine: RequestHandler,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
        listener_factory: ListenerFactory,
        back: bool,
        buffers: ClientBuffers,
    ) -> HttpFront:
        """Create the front, which does not listen yet. `back`: clients may resume requests."""
        return HttpFront(engine, self.serving, max_connections, loop, listener_factory, back, buffers)


class Call:
    """One request, as the engine sees it."""

    __slots__ = ("back", "cls", "connection", "customer", "first", "id", "mark", "patience", "plan",
                 "idempotency_key", "request", "retry", "seeks", "serving", "spread", "started", "units",
                 "whole")  # fmt: skip

    def __init__(
        self, connection: Connection, whole: Whole, serving: ServingConfig, call_id: bytes, back: bool
    ) -> None:
        head = whole.head
        self.connection, self.whole, self.serving = connection, whole, serving
        self.id, self.customer, self.cls, self.plan = call_id, head.customer, head.cls, head.plan
        self.units, self.patience = whole.units, head.patience
        self.spread, self.first, self.retry = serving.spread, 0, False
        self.request = 0
        self.idempotency_key, self.mark = "", b""  # the key if it is tracked here; a digest of the request
        self.back, self.seeks = back, False
        self.started = connection.front.loop.time()

    def command(self, wait: int) -> bytes:
        """Return the command for a box: CALL.POST, whose last string has the request (docs/openapi.md)."""
        payload = self.whole.payload
        if trace := self.connection.traceparent():
            payload = b'%b,"traceparent":"%b"}' % (payload[:-1], trace.encode())
        return resp.pack([*self._strings(payload, max(1, wait // 1_000))])

    def _strings(self, payload: bytes, wait: int) -> tuple[bytes, ...]:
        """Return the command's strings; `wait` in milliseconds."""
        names = self.serving.classes[self.cls], self.serving.plans[self.plan]
        terms = b"c=%b,t=%b,d=%d,units=%g" % (*names, wait, self.units)
        return b"CALL.POST", b"%016x" % self.customer, self.id, terms, payload

    def exchange(self, wait: int) -> Exchange:
        """Return the request for a box that speaks HTTP, with fields for its customer, class and cost."""
        head = self.whole.head
        boxes = head.route.boxes
        assert boxes is not None
        names = self.serving.classes[self.cls].decode(), self.serving.plans[self.plan].decode()
        fields = [
            *head.fields, ("Forwarded", self.connection.forwarded_field(self.serving.proxies)),
            ("Lynxreel-Customer", f"{self.customer:016x}"), ("Lynxreel-Class", names[0]),
            ("Lynxreel-Plan", names[1]), ("Lynxreel-Units", f"{self.units:g}"),
            (WAIT_FIELD, str(max(1, wait // 1_000))), ("Lynxreel-Request", self.id.decode()),
        ]  # fmt: skip
        fields += [("Idempotency-Key", self.id.decode())] if head.key else []
        fields += [("Content-Type", self.whole.kind)] if self.whole.body and self.whole.kind else []
        box_details = boxes.host, boxes.turned_away
        return Exchange(head.route.method, head.target, tuple(fields), self.whole.body, *box_details)

    def has_left(self) -> bool:
        """Whether its client has disconnected. A request under a key runs on: its answer is kept."""
        return not self.idempotency_key and peer_has_closed(self.connection.transport)

    def served(self, value: bytes | Stream, again: bool = False) -> None:
        """Answer with a box's value."""
        assert isinstance(value, bytes)  # as `streams` is false
        if isinstance(value, Answer):
            content_type = next((text for name, text in value.fields if name == "Content-Type"), "")
            fields = tuple(pair for pair in value.fields if pair[0] != "Content-Type")
            self._finish(value.status, content_type, value, fields, True, again)
        else:
            self._finish(200, _guess_content_type(value), value, (), True, again)

    streams = False  # an HTTP answer has a known length and a known end
    counted = sent = False

    def portable(self) -> tuple[bytes, ...]:
        """Return the strings of its command, or of the request for a box that speaks HTTP."""
        if self.whole.head.route.boxes is not None:
            return pack(self.exchange(self.patience * 1_000))
        return self._strings(self.whole.payload, self.patience)

    def refused(self, wait: int) -> None:
        """Answer that the client may retry, after `wait` microseconds if not 0."""
        headers: dict[str, str] = {}
        policies = self.serving.policies
        policy = policies[self.plan] if self.plan < len(policies) else ""
        seconds = math.ceil(wait / 1e6)
        if wait > 0:
            headers["Retry-After"] = str(seconds)
        if policy:
            headers["RateLimit-Policy"] = policy
            headers["RateLimit"] = f"{policy.partition(';')[0]};r=0" + (f";t={seconds}" if wait > 0 else "")
        self._finish(429, PROBLEM_TYPE, problem_body(429, "Too many requests", ""), tuple(headers.items()))

    def failed(self) -> None:
        """Answer that the request failed: its time is up, or no box was available."""
        timed_out = self.connection.front.loop.time() - self.started >= self.patience / 1e3 - 0.1
        status = 504 if timed_out else 503
        self._finish(
            status, PROBLEM_TYPE, problem_body(status, "No answer in time" if timed_out else "No box", "")
        )

    def unknown(self) -> None:
        """Answer that the request may have run and will not be run again."""
        detail = "it may have run before its gateway was lost, and is not run again"
        self._finish(500, PROBLEM_TYPE, problem_body(500, "Outcome unknown", detail))

    def clash(self) -> None:
        """Answer that its id is in use by another request."""
        self._finish(*KEY_REUSED_ANSWER)

    def _finish(
        self,
        status: int,
        content_type: str,
        body: bytes,
        headers: Fields = (),
        from_box: bool = False,
        replayed: bool = False,
    ) -> None:
        """Answer. `from_box`: with a box's answer; `replayed`: with that to another request under its key."""
        self.request = 0
        if self.idempotency_key:
            # A request that was refused or failed may be retried under its key; boxes get the same id.
            stored = (status, content_type, body, headers) if from_box else None
            now, head = self.connection.front.loop.time(), self.whole.head
            self.serving.repeats.end(now, self.customer, head.route.id, self.idempotency_key, stored)
            headers = (*headers, REPLAYED_FIELD) if replayed else headers
        self.connection.answer(status, content_type, body, headers)


BODILESS_STATUSES = (204, 304)  # statuses of answers without a body
KNOWN_STATUSES = {status.value for status in HTTPStatus}
PROBLEM_TYPE = "application/problem+json"


def problem_body(status: int, title: str, detail: str) -> bytes:
    """Return a problem body (RFC 9457)."""
    members = {"type": "about:blank", "title": title, "status": status}
    return json.dumps({**members, "detail": detail} if detail else members).encode()


KEY_REUSED = "Another request", "this Idempotency-Key was used for a different request"
KEY_REUSED_ANSWER = 422, PROBLEM_TYPE, problem_body(422, *KEY_REUSED)
REPLAYED_FIELD = ("Idempotency-Replayed", "true")


def _guess_content_type(value: bytes) -> str:
    return "application/json" if value[:1] in (b"{", b"[", b'"') else "application/octet-stream"


class Connection(asyncio.BufferedProtocol):
    """One client connection."""

    def __init__(self, front: HttpFront) -> None:
        self.front = front
        self._input = ClientInput(front.buffers, empty_factor=1.0)  # none has open requests while it reads
        self._held = 0  # bytes of the open request, and of answers that were left in the transport
        self.transport: asyncio.Transport
        self._buffer = bytearray()
        self._h11: h11.Connection | None = None  # of the request that is being read or served
        self._head: Head | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._call: Call | None = None
        self._method = ""
        self._request_id = ""
        self._peer = ""
        self._waiting_since = front.loop.time()  # when the current wait for the client began
        self._awaiting_request = True
        self._nothing_received = True  # no byte received yet
        self._history = ConnectionHistory.NEW  # as of before the bytes that are being read
        self._answers_unread = self._input_closed = self._reading_paused = False
        self._lingering: LingeringClose | None = None  # while it is being closed
        self._delivery: Delivery | None = None  # of answers that the client is still reading

    # --- reading ----------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        self.transport = cast(asyncio.Transport, transport)
        self._peer = str(transport.get_extra_info("peername")[0])
        self.front.add(self)

    def traceparent(self) -> str:
        """The traceparent of the current request; empty if it has no valid one."""
        value = self._headers.get("traceparent", "")
        return value if TRACEPARENT_PATTERN.fullmatch(value) else ""

    def forwarded_field(self, proxies: tuple[Network, ...]) -> str:
        """Return the Forwarded field for the current request."""
        return forwarded_field(self._peer, self._headers, proxies)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer to read into: all connections share it, and its size bounds each read."""
        if self._is_reading_body():
            size = self._input.read_size(READ_SIZE, 0)
        elif self._call is None and not self._answers_unread:
            size = MAX_HEAD_BYTES
        else:
            size = min(READ_SIZE, self.front.buffers.input_room(self._input.held, self._held)) or 1
        return self.front.read_buffer[:size]

    def buffer_updated(self, count: int) -> None:
        """This many bytes have been read."""
        self.data_received(bytes(self.front.read_buffer[:count]))

    def data_received(self, data: bytes) -> None:
        """Read complete requests; buffer the rest, within bounds."""
        if self._input_closed:
            return
        if self.front.report is not None:
            self._history = self._current_history()
        self._nothing_received = False
        self._buffer += data
        self._read()
        if self._input_closed or self.transport.is_closing():
            return
        if self._is_reading_body():
            self._wait_for_room()
        elif len(self._buffer) > MAX_BUFFERED_BYTES or self._holds_too_much():
            self._pause_reading()

    def _pause_reading(self) -> None:
        if not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and not self.transport.is_closing():
            self._reading_paused = False
            self.transport.resume_reading()

    def _holds_too_much(self) -> bool:
        """Whether the requests behind the open one have no more room."""
        waits = self._call is not None or self._answers_unread
        return waits and not self.front.buffers.input_room(self._input.held, self._held)

    def _is_reading_body(self) -> bool:
        return self._h11 is not None and self._call is None and not self._answers_unread

    def _count_input(self) -> None:
        self._input.update(len(self._buffer) + len(self._body), self._missing())

    def _missing(self) -> int:
        """Bytes that the body lacks at most; 0 if none is being read."""
        if not self._is_reading_body():
            return 0
        length = self._headers.get("content-length", "")
        whole = int(length) if length.isdigit() else MAX_BODY_BYTES
        return max(1, whole - len(self._body))

    def _wait_for_room(self) -> None:
        """Leave the rest of a body in the socket while there is no room for it."""
        if self._input.must_wait(0) and self._try_body() is Reading.WAIT:
            self._pause_reading()
            self.front.watch_for_room(self)

    def _try_body(self) -> Reading:
        """Whether the rest of the body is read on."""
        chunked = "transfer-encoding" in self._headers
        arrived = None if chunked else unread_bytes(self.transport)
        return self._input.try_resume(self._missing(), arrived, 0, self.front.loop.time())

    def resume_if_room(self) -> bool:
        """Read on if there is room for the rest of the body; False while it waits."""
        if self.transport.is_closing() or not self._is_reading_body():
            return True
        if peer_has_closed(self.transport):
            self.transport.abort()
            return True
        reading = self._try_body()
        if reading is Reading.SKIP:
            self._reject_and_close(429, "Too many requests", "there is no room for its body now")
        elif reading is Reading.WAIT:
            if not self._input.has_arrived:
                enlarge_receive_buffer(self.transport)
                self._resume_reading()  # for a little, by which the system opens the receive window again
            return False
        self._resume_reading()
        return True

    def _current_history(self) -> ConnectionHistory:
        """Return what this connection has carried so far."""
        if self._nothing_received:
            return ConnectionHistory.NEW
        if self._call is not None:
            return ConnectionHistory.BUSY
        partly_read = self._buffer or self._h11 is not None
        return ConnectionHistory.HALF_READ if partly_read else ConnectionHistory.IDLE

    def _read(self) -> None:
        while self._call is None and not self._input_closed and not self._answers_unread and self._buffer:
            if (self._h11 is None and not self._read_head()) or not self._read_body():
                break
        self._count_input()

    def _read_head(self) -> bool:
        """Read the head of the next request; False if it is incomplete or has been rejected."""
        while self._buffer[:2] == b"\r\n":  # some clients send a line end after a body
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0 and len(self._buffer) <= MAX_HEAD_BYTES and b"\n\n" not in self._buffer:
            if self._buffer and not self._awaiting_request:
                self._awaiting_request, self._waiting_since = True, self.front.loop.time()
            return False
        if end < 0 or end > MAX_HEAD_BYTES:
            too_large = len(self._buffer) > MAX_HEAD_BYTES
            self._reject_and_close(
                431 if too_large else 400, "Head too large" if too_large else "Bad line ends"
            )
            return False
        head = bytes(self._buffer[: end + 4])
        del self._buffer[: end + 4]
        if (rejection := _check_head(head)) is not None:
            self._reject_and_close(*rejection)
            return False
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES + MAX_BODY_BYTES)
        self._body.clear()
        self._head = None
        self._awaiting_request, self._waiting_since = True, self.front.loop.time()  # from now on for the body
        try:
            self._h11.receive_data(head)
            request = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            self._reject_and_close(error.error_status_hint, "Bad request", str(error))
            return False
        assert isinstance(request, h11.Request)
        return self._evaluate_head(request)

    def _evaluate_head(self, request: h11.Request) -> bool:
        """Evaluate the head; False if the request has been answered."""
        self._method = request.method.decode()
        self._headers = headers = _joined_headers(request)
        value = headers.get("x-request-id", "")
        self._request_id = value if REQUEST_ID_PATTERN.fullmatch(value) else secrets.token_hex(8)
        target = request.target.decode("ascii")
        try:
            if self._method == "OPTIONS" and self._answer_options(target):
                return False
            if self._method == "CONNECT" or not target.startswith("/"):
                raise Rejected(501 if self._method == "CONNECT" else 400, "Not served")
            length = headers.get("content-length", "0")
            if len(length) > 12 or int(length) > MAX_BODY_BYTES:
                raise Rejected(413, "Body too large", f"{MAX_BODY_BYTES} bytes at most")
            if headers.get("expect", "100-continue").lower() != "100-continue":
                raise Rejected(417, "Unknown expectation")
            self._head = self.front.serving.admission.head(self._method, target, headers)
        except Rejected as error:
            self._reject(error)
            return False
        h11_connection = self._h11
        assert h11_connection is not None
        if h11_connection.they_are_waiting_for_100_continue:
            self.transport.write(
                h11_connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
            )
        return True

    def _answer_options(self, target: str) -> bool:
        """Answer OPTIONS, unless the description has it as an operation."""
        admission = self.front.serving.admission
        try:
            segments = split(target.partition("?")[0]) if target != "*" else []
        except BadPath as error:
            raise Rejected(400, "Bad path", str(error)) from None
        if segments and "OPTIONS" in admission.table.allowed(segments):
            return False
        allowed = admission.allowed(segments)
        if segments and not allowed:
            raise Rejected(404, "No such path")
        self._answer_without_body({"Allow": ", ".join(allowed or ["OPTIONS"])}, 204)
        return True

    def _read_body(self) -> bool:
        """Read the body; False if more of it is needed or the request has been answered."""
        h11_connection, head = self._h11, self._head
        assert h11_connection is not None and head is not None
        if self._buffer:
            h11_connection.receive_data(bytes(self._buffer))
            self._buffer.clear()
        try:
            while True:
                event = h11_connection.next_event()
                if event is h11.NEED_DATA:
                    return False
                if isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_BODY_BYTES:
                        self._reject_and_close(413, "Body too large", f"{MAX_BODY_BYTES} bytes at most")
                        return False
                elif isinstance(event, h11.EndOfMessage):
                    break
        except h11.RemoteProtocolError as error:
            self._reject_and_close(error.error_status_hint, "Bad body", str(error))
            return False
        self._buffer[:0] = h11_connection.trailing_data[0]
        self._submit(head)
        return True

    def _submit(self, head: Head) -> None:
        serving = self.front.serving
        self._awaiting_request = False
        try:
            whole = serving.admission.whole(head, self._headers.get("content-type", ""), bytes(self._body))
            call = Call(self, whole, serving, self._call_id(head), self._is_resumed())
            if head.key and not self._is_to_run(call, whole):
                return
            self._call = call
            self._hold(COMMAND_OVERHEAD + len(whole.payload) + len(whole.body))
            self._body = bytearray()
            call.request = self.front.engine.submit(call)
            if not call.request:
                self._call = None
                if head.key:  # it has not begun: the key must not count as in use
                    serving.repeats.end(self.front.loop.time(), head.customer, head.route.id, head.key, None)
                raise Rejected(409, "Running", "a request under this id is open, or may have run")
            if (report := self.front.report) is not None:
                report.request_read(call.id, call.cls, self._history, call.patience / 1e3)
        except Rejected as error:
            self._reject(error, body_read=True)

    def _is_resumed(self) -> bool:
        """Whether the client resumes a request that it has sent before."""
        value = self._headers.get("lynxreel-back", "0")
        if value not in ("0", "1"):
            raise Rejected(400, "Bad Lynxreel-Back", "0 or 1 is wanted")
        if value == "1" and not self.front.back:
            raise Rejected(400, "Bad Lynxreel-Back", "work in hand is not kept for others here")
        return value == "1"

    def _call_id(self, head: Head) -> bytes:
        """Return the id for engine and boxes; all repeats under an Idempotency-Key have the same one."""
        client_id = self._headers.get("lynxreel-request", "") if self.front.back else ""
        if client_id and not REQUEST_ID_PATTERN.fullmatch(client_id):
            raise Rejected(400, "Bad Lynxreel-Request", "1 to 64 letters, digits, dots, colons, - and _")
        if not head.key:
            return client_id.encode() or b"h" + secrets.token_hex(12).encode()
        text = f"{head.customer:x}/{head.route.id}/{head.key}"
        return b"k" + hashlib.sha256(text.encode()).hexdigest()[:40].encode()

    def _is_to_run(self, call: Call, whole: Whole) -> bool:
        """Whether a request with an Idempotency-Key is to run; else it has been answered."""
        head, repeats = whole.head, self.front.serving.repeats
        now = self.front.loop.time()
        found, answer = repeats.begin(now, head.customer, head.route.id, head.key, whole.mark)
        if found is Found.NEW:
            call.idempotency_key, call.mark = head.key, whole.mark
            call.seeks = True  # the client may have used the key at another instance
            return True
        if found is Found.DONE:
            status, content_type, body, headers = cast(tuple[int, str, bytes, Fields], answer)
            self.answer(status, content_type, body, (*headers, REPLAYED_FIELD))
            return False
        if found is Found.RUNNING:
            raise Rejected(409, "Running", "the first request under this Idempotency-Key has no answer yet")
        if found is Found.OTHER:
            raise Rejected(422, *KEY_REUSED)
        raise Rejected(503, "No room", "no more Idempotency-Keys can be kept now", **{"Retry-After": "1"})

    # --- answers ----------------------------------------------------------------------------------------

    def _hold(self, size: int) -> None:
        """Count so many bytes in place of those that counted for this connection's request and answers."""
        self.front.buffers.add(size - self._held)
        if size < self._held:
            self.front.wake_waiting()
        self._held = size

    def answer(self, status: int, content_type: str, body: bytes, headers: Fields) -> None:
        """Send the answer to the current request; then read the next one."""
        self._call = self._delivery = None
        self._hold(0)
        h11_connection = self._h11
        if h11_connection is None or self.transport.is_closing():
            return
        without_body = self._method == "HEAD" or status in BODILESS_STATUSES
        fields = [("X-Request-Id", self._request_id), *headers]
        if trace := self.traceparent():
            fields.append(("traceparent", trace))
        if status not in BODILESS_STATUSES:
            fields += [("Content-Type", content_type)] if content_type else []
            fields.append(("Content-Length", str(len(body))))
        if self._input_closed or self.front.draining.closing:
            fields.append(("Connection", "close"))
        reason = (HTTPStatus(status).phrase if status in KNOWN_STATUSES else "").encode()
        out = h11_connection.send(h11.Response(status_code=status, headers=fields, reason=reason)) or b""
        if not without_body:
            out += h11_connection.send(h11.Data(data=body)) or b""
        out += h11_connection.send(h11.EndOfMessage()) or b""
        self.transport.write(out)
        self._h11 = None
        if self._input_closed or self.front.draining.closing or h11_connection.our_state is h11.MUST_CLOSE:
            self._close()
            return
        self._awaiting_request, self._waiting_since = bool(self._buffer), self.front.loop.time()
        if len(self._buffer) <= MAX_BUFFERED_BYTES:
            self._resume_reading()
        self.front.loop.call_soon(self._read)

    def _reject(self, rejection: Rejected, body_read: bool = False) -> None:
        """Reject the current request, before anything is counted."""
        body = problem_body(rejection.status, rejection.title, rejection.detail)
        if not body_read and self._has_body():
            self._input_closed = True  # its body is not read, so the next request can't be found
        self.answer(rejection.status, PROBLEM_TYPE, body, tuple(rejection.headers.items()))

    def _answer_without_body(self, headers: dict[str, str], status: int) -> None:
        self._input_closed = self._input_closed or self._has_body()
        self.answer(status, "", b"", tuple(headers.items()))

    def _has_body(self) -> bool:
        length = self._headers.get("content-length", "0")
        return "transfer-encoding" in self._headers or length != "0"

    def _reject_and_close(self, status: int, title: str, detail: str = "") -> None:
        """Answer and close: it is unclear where the next request would begin."""
        self._input_closed = True
        body = problem_body(status, title, detail)
        self._h11 = None
        phrase = HTTPStatus(status).phrase
        text = (
            f"HTTP/1.1 {status} {phrase}\r\nContent-Type: {PROBLEM_TYPE}\r\nContent-Length: {len(body)}\r\n"
        )
        if not self.transport.is_closing():
            self.transport.write(text.encode() + b"Connection: close\r\n\r\n" + body)
        self._close()

    def _close(self) -> None:
        self._input_closed = True
        self._buffer.clear()
        self._body = bytearray()
        self._input.update(0, 0)
        if self.transport.is_closing() or self._lingering:
            return
        self._lingering = LingeringClose(self.transport, self.front.loop, self.connection_lost)

    # --- ends -------------------------------------------------------------------------------------------

    def end(self, await_partial: bool = True, read_pending: bool = False) -> None:
        """Close once no answer is pending, and the client has room for all of them.

        With `await_partial`, received bytes are read first, and the rest of a request is waited for. With
        `read_pending`, received bytes are read first.
        """
        if self._call is not None or self._lingering or self.transport.is_closing():
            return
        if self._h11 is None and not self._buffer:
            awaited = (await_partial or read_pending) and has_unread(self.transport)
            if not (awaited or self._is_behind()):
                self._close()
        elif not await_partial:
            self._reject_and_close(503, "Shutting down", "the rest of the request did not come in time")

    def _rest_has_arrived(self) -> bool:
        """Whether the rest of a body is in the socket, and only this process is slow to read it."""
        missing = 0 if self.transport.is_closing() else self._missing()
        return 0 < missing <= (unread_bytes(self.transport) or 0)

    def _is_behind(self) -> bool:
        """Whether the client is so far behind its answers that it would learn late of a close."""
        return self._answers_unread or has_unsent(self.transport)

    def is_sending(self) -> bool:
        """Whether answers are on their way to a client that reads them."""
        if self._lingering is not None:
            return self._lingering.is_delivering
        return not self.transport.is_closing() and self._is_behind()

    def _watch_delivery(self, now: float) -> None:
        """Cut the client off if it has stopped reading its answers."""
        acknowledged = -undelivered_bytes(self.transport)
        if self._delivery is None:
            self._delivery = Delivery(now, acknowledged)
        self._delivery.update(now, acknowledged)
        if self._delivery.has_stalled(now):
            self.transport.abort()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if its client has exceeded a timeout."""
        if self._lingering is not None or self._input.has_arrived or self._rest_has_arrived():
            return
        waited = now - self._waiting_since
        if self.transport.is_closing():
            if waited > CLIENT_TIMEOUT:
                self.transport.abort()
        elif self._answers_unread:
            self._watch_delivery(now)
        elif self._awaiting_request:
            if waited > CLIENT_TIMEOUT:
                self._time_out_request()
        elif self._call is None and waited > IDLE_TIMEOUT and not has_unread(self.transport):
            if self._is_behind():
                self._watch_delivery(now)
            else:
                self._close()

    def _time_out_request(self) -> None:
        """A request, or the rest of one, has not come in time."""
        if self._buffer or self._h11 is not None:
            self._reject_and_close(408, "Too slow")
        elif not has_unread(self.transport):
            self._close()

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its answers, to bound memory."""
        self._answers_unread, self._waiting_since = True, self.front.loop.time()
        self._hold(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """The client reads its answers again."""
        self._answers_unread, self._waiting_since = False, self.front.loop.time()
        self._delivery = None
        self._hold(0)
        if len(self._buffer) <= MAX_BUFFERED_BYTES:
            self._resume_reading()
        self._read()

    def connection_lost(self, error: Exception | None) -> None:
        """The client has disconnected: cancel its request. One under a key runs on: its answer is kept."""
        self._input_closed = True
        self._lingering = None
        self.front.connections.discard(self)
        self.front.waiting_for_room.pop(self, None)
        self._hold(0)
        self._input.update(0, 0)
        call, self._call = self._call, None
        if call is not None and call.request and not call.idempotency_key:
            self.front.engine.client_disconnected(call.request)


def _check_head(head: bytes) -> tuple[int, str] | None:
    """Return status and title if parsers of HTTP may disagree on a head, which ends with an empty line."""
    lines = head[:-4].split(b"\r\n")
    if not REQUEST_LINE_PATTERN.fullmatch(lines[0]):
        return 400, "Bad request line"
    if len(lines) - 1 > MAX_HEADERS:
        return 431, "Too many headers"
    framings = hosts = 0
    for line in lines[1:]:
        if not HEADER_LINE_PATTERN.fullmatch(line):
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


def _joined_headers(request: h11.Request) -> dict[str, str]:
    """Return the header fields by lower-case name, those of one name joined."""
    joined: dict[str, str] = {}
    for raw_name, raw_value in request.headers:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        separator = "; " if name == "cookie" else ", "
        joined[name] = joined[name] + separator + value if name in joined else value
    return joined


class HttpFront:
    """The HTTP front: its listeners and all their connections."""

    def __init__(
        self,
        engine: RequestHandler,
        serving: ServingConfig,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
        listener_factory: ListenerFactory | None = None,
        back: bool = False,
        buffers: ClientBuffers | None = None,
    ) -> None:
        """`listener_factory` opens the listeners; by default the front opens them itself.

        `buffers` limits the bytes of requests and answers that are held; by default DEFAULT_BUFFERS.
        """
        self.back = back  # clients may resume requests that another instance had
        self._listener_factory = listener_factory or OwnListenerFactory(loop)
        self.engine, self.serving, self.loop = engine, serving, loop
        self.buffers = buffers or ClientBuffers(DEFAULT_BUFFERS)
        self.read_buffer = memoryview(bytearray(READ_SIZE))  # each read is processed before the next one
        self.connections: set[Connection] = set()
        self.waiting_for_room: dict[Connection, None] = {}  # bodies that wait; the oldest first
        self._waking = False
        self.draining = Draining(self, loop)
        self.report: ShutdownReport | None = None  # set once the process is to end
        self._max_connections = max_connections
        self._listeners: dict[tuple[str, int], Listener] = {}
        self._sweeping: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at one more address; raises OSError if it can't be bound."""
        listener = await self._listener_factory.open((host, port), lambda: Connection(self))
        self._listeners[listener.address] = listener
        if self._sweeping is None:
            self._sweep()

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses that it listens at."""
        return list(self._listeners)

    def add(self, connection: Connection) -> None:
        """Register a new connection; descriptors are limited, so one too many is closed."""
        self.connections.add(connection)
        if len(self.connections) > self._max_connections:
            connection.transport.abort()

    def watch_for_room(self, connection: Connection) -> None:
        """Check from time to time whether the rest of a body can be read."""
        if not self.waiting_for_room:
            self.loop.call_later(ROOM_CHECK_INTERVAL, self._check_room_again)
        self.waiting_for_room[connection] = None

    def wake_waiting(self) -> None:
        """Check in the next iteration whether a body can be read, as there may be room for it."""
        if self.waiting_for_room and not self._waking:
            self._waking = True
            self.loop.call_soon(self._check_room)

    def _check_room(self) -> None:
        self._waking = False
        for connection in list(self.waiting_for_room):
            if connection.resume_if_room():
                self.waiting_for_room.pop(connection, None)

    def _check_room_again(self) -> None:
        self._check_room()
        if self.waiting_for_room:
            self.loop.call_later(ROOM_CHECK_INTERVAL, self._check_room_again)

    def reconfigure(self, serving: ServingConfig) -> None:
        """Use another table and terms for new requests; open ones end under those that they began with."""
        self.serving = replace(serving, repeats=self.serving.repeats)

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self._sweeping = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def is_sending(self) -> bool:
        """Whether answers are being sent to clients that read them: those that don't are cut off in time."""
        return any(connection.is_sending() for connection in self.connections)

    async def drain(self, times: DrainTimes) -> None:
        """Close the listeners, and each connection as soon as no answer is pending on it."""
        await self.unlisten()
        await self.draining.drain(replace(times, announce=0.0))

    async def unlisten(self) -> None:
        """Stop accepting. Open connections stay."""
        while self._listeners:
            await self._listeners.popitem()[1].close()

    def close(self) -> None:
        """Close all listeners and abort all connections; the process ends."""
        for listener in self._listeners.values():
            listener.drop()
        self.draining.close()
        if self._sweeping is not None:
            self._sweeping.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
