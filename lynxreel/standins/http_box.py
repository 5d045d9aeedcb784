"""Stand-in boxes that speak HTTP/1.1."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import h11

from lynxreel.standins.base import Listener
from lynxreel.standins.box import Box, BoxLink, Work
from lynxreel.standins.faults import Kind

MOST = 1 << 20  # bytes of a head or a part of a body


@dataclass(frozen=True)
class Seen:
    """A request, as a box had it."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes


def reply(status: int, body: bytes, **headers: str) -> bytes:
    """A whole answer."""
    fields = {"Content-Type": "text/plain", "Content-Length": str(len(body)), **headers}
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class HttpLink(BoxLink):
    """A connection that speaks HTTP, and works on one request at a time."""

    BUSY = reply(503, b"busy", Lynxreel_Load="inflight=9")
    SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nnot this"

    def __init__(self, listener: Listener, box: Box) -> None:
        super().__init__(listener, box)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST)
        self._head: h11.Request | None = None
        self._body = bytearray()

    def data_received(self, data: bytes) -> None:
        """Take requests."""
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    self._head = event
                    if self._early():
                        return
                elif isinstance(event, h11.Data):
                    self._body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self._take()
        except h11.RemoteProtocolError:
            self.write(reply(400, b"what?"))
            self.transport.close()

    def _early(self) -> bool:
        fault = self.box.struck(Kind.EARLY)
        if fault is not None:
            self.write(reply(413, b"too much", Connection="close"))
            self.transport.close()
        return fault is not None

    def _take(self) -> None:
        head, body = self._head, bytes(self._body)
        assert head is not None
        headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        self.box.seen.append(Seen(head.method.decode(), head.target.decode(), headers, body))
        self._body.clear()
        cls = headers.get("lynxreel-class") or headers["lynxreel-terms"].partition("c=")[2].partition(",")[0]
        self.box.take(Work(self, headers["lynxreel-request"].encode(), cls))

    def value(self, value: bytes) -> bytes:
        """A good answer."""
        return reply(201, value, X_Box=self.box.name, Connection="keep-alive")

    def answer(self, work: Work, reply: bytes) -> None:
        """Answer, and be ready for the next request."""
        super().answer(work, reply)
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST)
