"""What is sent to boxes for a call, from its strings: command, customer, id, list of terms, optional body."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from lynxreel.protocol import resp

if TYPE_CHECKING:
    from lynxreel.protocol.exchange import Exchange


def command(strings: Sequence[bytes], wait: int) -> bytes:
    """The RESP2 command for a box, with the microseconds that the gateway waits for the answer."""
    deadline = b"d=%d" % max(1, wait // 1_000)
    terms = b",".join([deadline if t.startswith(b"d=") else t for t in strings[3].split(b",")])
    return resp.pack([*strings[:3], terms, *strings[4:]])


def exchange(strings: Sequence[bytes], wait: int) -> Exchange:
    """The same for a box that speaks HTTP: the client's HTTP request, or a POST that carries a RESP2 call."""
    # Imported here because no box of the platform speaks HTTP.
    from lynxreel.protocol.exchange import PACKED_MARKER, WAIT_FIELD, Exchange, unpack

    if strings[0] == PACKED_MARKER:
        return unpack(strings, wait)
    name, customer, number, terms = (string.decode("latin-1") for string in strings[:4])
    headers = (
        ("Lynxreel-Command", name),
        ("Lynxreel-Customer", customer),
        ("Lynxreel-Request", number),
        ("Lynxreel-Terms", terms),
        (WAIT_FIELD, str(max(1, wait // 1_000))),
        ("Content-Type", "application/octet-stream"),
    )
    return Exchange("POST", "/lynxreel/call", headers, b"".join(strings[4:]), body_only=True)
