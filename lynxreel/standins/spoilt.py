"""HTTP requests as careless and hostile clients write them: good ones, a few bytes changed by a seed."""

from __future__ import annotations

import random

GOOD = (
    b"GET /v1/numbers/7?limit=3 HTTP/1.1\r\nHost: x\r\nX-Api-Key: %k\r\nPrefer: wait=2\r\n\r\n",
    b"HEAD /v1/numbers/7 HTTP/1.1\r\nHost: x\r\nX-Api-Key: %k\r\n\r\n",
    b"POST /v1/ports HTTP/1.1\r\nHost: x\r\nX-Api-Key: %k\r\nContent-Type: application/json\r\n"
    b'Content-Length: 13\r\n\r\n{"from": "x"}',
    b"POST /v1/ports HTTP/1.1\r\nHost: x\r\nX-Api-Key: %k\r\nContent-Type: application/json\r\n"
    b'Transfer-Encoding: chunked\r\n\r\n7\r\n{"from"\r\n6\r\n: "x"}\r\n0\r\n\r\n',
)
PIECES = (
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b" ",
    b"\t",
    b":",
    b"%00",
    b"%2e%2e/",
    b"..",
    b"//",
    b";",
    b"\xff",
    b"0",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Host: y\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: close\r\n",
    b"X: y\r\n z\r\n",
    b"HTTP/1.0",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"-",
    b"ffffffff",
)


def spoilt(draw: random.Random, key: bytes) -> list[bytes]:
    """What one connection writes, in its pieces: up to three requests, most of them changed."""
    data = b""
    for _ in range(draw.randint(1, 3)):
        request = draw.choice(GOOD).replace(b"%k", key)
        for _ in range(draw.choice((0, 1, 1, 2, 4))):
            at = draw.randrange(len(request))
            what = draw.randrange(4)
            if what == 0:
                request = request[:at] + draw.choice(PIECES) + request[at:]
            elif what == 1:
                request = request[:at] + request[at + draw.randint(1, 8) :]
            elif what == 2:
                request = request[:at] + bytes([draw.randrange(256)]) + request[at + 1 :]
            else:
                request = request[:at] + request[at : at + 40] + request[at:]
        data += request
    cuts = sorted(draw.randrange(len(data)) for _ in range(draw.choice((0, 0, 1, 3)))) if data else []
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]
