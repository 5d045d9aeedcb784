"""The bare relay with HTTP clients: the same three hops, on the library that the HTTP front has.

`python -m bench.http_relay COUNTER BOX ...` prints the address it listens on.
"""

from __future__ import annotations

import itertools
import sys

import h11
import uvloop

from bench.relay import ClientLink, Relay, main
from lynxreel.protocol.resp import pack

NUMBERS = itertools.count()


class HttpLink(ClientLink):
    """From a client by HTTP."""

    def __init__(self, relay: Relay) -> None:
        super().__init__(relay)
        self._http = h11.Connection(h11.SERVER)

    def data_received(self, data: bytes) -> None:
        """One request."""
        self._http.receive_data(data)
        while self._http.next_event() not in (h11.NEED_DATA, h11.PAUSED):
            pass
        terms = b"c=lookup,t=free,d=1500,units=1"
        self.command = pack([b"CALL.GET", b"%016x" % 1, b"%016x" % next(NUMBERS), terms])
        self.relay.count(self)

    def answer(self, number: bytes) -> None:
        """Its answer."""
        headers = [("Content-Type", "application/octet-stream"), ("Content-Length", str(len(number)))]
        out = self._http.send(h11.Response(status_code=200, headers=headers)) or b""
        out += self._http.send(h11.Data(data=number)) or b""
        out += self._http.send(h11.EndOfMessage()) or b""
        if not self.transport.is_closing():  # the load may have ended
            self.transport.write(out)
        self._http.start_next_cycle()


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], sys.argv[2:], HttpLink))
