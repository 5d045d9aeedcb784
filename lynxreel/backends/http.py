"""Servers that speak HTTP/1.1.

h11 reads and writes the messages, with one `h11.Connection` for each exchange. An answer is accepted only if
it is complete and its framing gives its end: one that ends with its connection may have been truncated.
"""

from __future__ import annotations

import h11

from lynxreel.backends.load import LoadReport
from lynxreel.backends.pools import AnswerOutcome, Connection, Pool
from lynxreel.engine.engine import Attempt
from lynxreel.protocol.exchange import Answer, Exchange
from mothgap.interface import Result, Settings

MAX_HEAD = 16_384  # bytes of an answer's head
MAX_BODY = 1 << 20  # bytes of an answer's body
FAILURE_STATUSES = (408, 429)  # as with any 5xx: the box did not serve the request, but may have started it
# Fields for a single connection only (RFC 9110, 7.6.1), or generated anew by the front.
DROPPED_FIELDS = ("connection", "content-length", "keep-alive", "proxy-authenticate", "proxy-connection",
        "te", "trailer", "transfer-encoding", "upgrade", "x-request-id", "traceparent")  # fmt: skip
LOAD_FIELD = "lynxreel-load"
INVALID_ANSWER = AnswerOutcome(Result.ERROR, valid=False)


class Http:
    """Encodes requests for such servers, and interprets their answers."""

    def __init__(self) -> None:
        self.load_report = LoadReport(())

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self.load_report = LoadReport(() if settings.report_by_probe else settings.report_fields)

    def connection(self, pool: Pool) -> Connection:
        """A new connection, not established yet."""
        return _Connection(pool, self)


class _Connection(Connection):
    def __init__(self, pool: Pool, wire: Http) -> None:
        super().__init__(pool)
        self._wire = wire
        self._http: h11.Connection | None = None
        self._exchange: Exchange
        self._head: h11.Response | None = None
        self._body = bytearray()

    def _encode_request(self, attempt: Attempt, wait: int) -> bytes:
        exchange = self._exchange = attempt.call.exchange(wait)
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
        self._head = None
        self._body.clear()
        host, port = self.endpoint[0]
        headers = [("Host", exchange.host or f"{host}:{port}"), *exchange.headers]
        if exchange.body or exchange.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(exchange.body))))
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        head = h11.Request(method=exchange.method, target=exchange.target, headers=raw)
        parts = [
            self._http.send(head),
            self._http.send(h11.Data(data=exchange.body)) if exchange.body else b"",
        ]
        return b"".join(part or b"" for part in [*parts, self._http.send(h11.EndOfMessage())])

    def _parse_answer(self, data: bytes) -> AnswerOutcome | None:
        http = self._http
        if http is None or self.attempt is None:
            return INVALID_ANSWER  # no request is waiting for an answer
        try:
            http.receive_data(data)
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response):
                    if not self._has_clear_end(event):
                        return INVALID_ANSWER
                    self._head = event
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_BODY:
                        return INVALID_ANSWER
                elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                    return self._interpret(self._head)
                elif not isinstance(event, h11.InformationalResponse):
                    return INVALID_ANSWER
        except h11.RemoteProtocolError:
            return INVALID_ANSWER

    def _has_clear_end(self, head: h11.Response) -> bool:
        """Whether an answer has exactly one kind of framing, so that its end can be determined."""
        if head.status_code in (204, 304) or self._exchange.method == "HEAD":
            return True
        names = [name for name, _ in head.headers]
        return (b"content-length" in names) is not (b"transfer-encoding" in names)

    def _interpret(self, head: h11.Response) -> AnswerOutcome:
        """The outcome of a complete answer. Only a status named by the operator proves that it never ran."""
        fields = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers]
        report = next((value for name, value in fields if name == LOAD_FIELD), "")
        load = self._wire.load_report.read(report.encode("latin-1"))
        if head.status_code in self._exchange.rejection_statuses:
            return AnswerOutcome(Result.FULL, load=load)
        failed = head.status_code >= 500 or head.status_code in FAILURE_STATUSES
        if failed or (self._exchange.body_only and head.status_code >= 300):
            return AnswerOutcome(Result.ERROR, load=load)
        options = ",".join(value for name, value in fields if name == "connection")
        connection_fields = {option.strip().lower() for option in options.split(",")}
        forwarded = [
            (name.title(), value) for name, value in fields
            if name not in DROPPED_FIELDS and name not in connection_fields
            and not name.startswith("lynxreel-")
        ]  # fmt: skip
        return AnswerOutcome(Result.OK, Answer.of(bytes(self._body), head.status_code, forwarded), load)

    def _is_at_end(self) -> bool:
        http = self._http
        return (
            http is not None
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
        )

    def _result_of_break(self) -> Result:
        # A box may start to work when it has the head, so a break in the middle of a body proves nothing.
        return Result.RESET if self._exchange.body else Result.CONNECT_FAILED
