"""One command to a gateway, by hand."""

from __future__ import annotations

import socket
import sys
import time

from lynxreel.protocol.resp import pack
from lynxreel.protocol.address import read_address

PATIENCE = 30.0  # seconds for an answer


def call(address: str, words: list[str]) -> int:
    """Print the answer; 0 where it is one, 1 where it is an error line, 2 where there is none.

    Without words it is a lookup of a customer on the plan basic, under an id of its own.
    """
    words = words or ["CALL.GET", f"{77:016x}", f"by-hand-{time.time_ns():x}", "c=lookup,t=basic,d=900"]
    try:
        place = read_address(address)
        began = time.monotonic()
        with socket.create_connection(place, PATIENCE) as gateway:
            gateway.settimeout(PATIENCE)
            gateway.sendall(pack([word.encode() for word in words]))
            answer = b""
            while not answer.endswith(b"\r\n") and (data := gateway.recv(65_536)):
                answer += data
            if answer[:1] == b"$" and answer.count(b"\r\n") < 2 and answer != b"$-1\r\n":
                answer += gateway.recv(65_536)
    except (OSError, ValueError) as wrong:
        print(f"{address}: {wrong}", file=sys.stderr)
        return 2
    print(answer.decode(errors="replace").strip())
    print(f"{(time.monotonic() - began) * 1e3:.1f} ms", file=sys.stderr)
    return 1 if answer[:1] == b"-" else 0 if answer else 2
