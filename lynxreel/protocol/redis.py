"""The subset of the Redis protocol that a counter needs, without I/O: encodes commands, interprets replies.

Works with RESP2 and RESP3. A call is one transaction, written in one piece and so one round trip:

    MULTI / SET key 0 PX lifetime NX / INCRBYFLOAT key amount / EXEC

One atomic step creates the key with the value 0 and its lifetime unless it exists, and adds the amount. A
plain INCRBYFLOAT would create a key without a lifetime if the old one has just expired. The transaction needs
no scripts, which some hosted services forbid, no version after 2.6.12, and only one slot, so that it works on
a cluster. Source: redis.io/commands.
"""

from __future__ import annotations

import binascii
import math
from dataclasses import dataclass
from typing import Any

from lynxreel.protocol.address import Address
from mothgap.interface import Result

SLOTS = 16_384
REPLIES_PER_CALL = 4  # replies to one call
ASKING = b"*1\r\n$6\r\nASKING\r\n"
MULTI = b"*1\r\n$5\r\nMULTI\r\n"
EXEC = b"*1\r\n$4\r\nEXEC\r\n"
UNUSABLE_SERVER_ERRORS = (
    "READONLY",
    "MASTERDOWN",
    "LOADING",
    "NOAUTH",
)  # this server can't serve the counter


class ErrorReply(Exception):
    """An error reply; its text begins with the kind of error."""


@dataclass(frozen=True, slots=True)
class Redirect:
    """The slot is on another node: permanently (MOVED), or for this call only (ASK). Nothing was added."""

    address: Address
    slot: int
    ask: bool


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call. `drop_connection`: the connection can't be used for further calls."""

    result: Result
    total: float = 0.0
    drop_connection: bool = False


def command(*arguments: bytes | str | int) -> bytes:
    """Encode one command."""
    parts = [argument if isinstance(argument, bytes) else str(argument).encode() for argument in arguments]
    return b"*%d\r\n%b" % (len(parts), b"".join([b"$%d\r\n%b\r\n" % (len(part), part) for part in parts]))


def add(key: bytes, amount: float, lifetime: int) -> bytes:
    """Encode one call; `lifetime` is in milliseconds and applies if the key does not exist."""
    value = b"%.6f" % amount
    expiry = b"%d" % lifetime
    return (
        b"*1\r\n$5\r\nMULTI\r\n*6\r\n$3\r\nSET\r\n$%d\r\n%b\r\n$1\r\n0\r\n$2\r\nPX\r\n$%d\r\n%b\r\n$2\r\nNX\r\n"
        b"*3\r\n$11\r\nINCRBYFLOAT\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n*1\r\n$4\r\nEXEC\r\n"
    ) % (len(key), key, len(expiry), expiry, len(key), key, len(value), value)


def slot(key: bytes) -> int:
    """The cluster's slot of a key: CRC-16 (XMODEM) of the text in its first braces, or of all of it."""
    begin = key.find(b"{")
    end = key.find(b"}", begin + 1)
    if begin >= 0 and end > begin + 1:
        key = key[begin + 1 : end]
    return binascii.crc_hqx(key, 0) % SLOTS


def outcome(replies: list[Any]) -> CallResult | Redirect:
    """Interpret the four replies to a call. Error replies are expected as exceptions."""
    error = next((str(reply) for reply in replies if isinstance(reply, Exception)), None)
    if error is not None:
        kind, _, rest = error.partition(" ")
        if kind in ("MOVED", "ASK"):
            number, _, address = rest.partition(" ")
            host, _, port = address.rpartition(":")
            if number.isdigit() and port.isdigit():
                return Redirect((host, int(port)), int(number), kind == "ASK")
        # The call was rejected before or by EXEC, so nothing was added.
        return CallResult(Result.FULL, drop_connection=kind in UNUSABLE_SERVER_ERRORS)
    results = replies[-1]
    if not isinstance(results, list) or len(results) != 2:
        # Not a valid reply to EXEC: the amount may have been added.
        return CallResult(Result.RESET, drop_connection=True)
    if isinstance(results[1], Exception):
        return CallResult(Result.FULL)  # the key holds a value that is not a number
    try:
        total = float(results[1])
    except (TypeError, ValueError):
        total = math.nan
    return (
        CallResult(Result.OK, total)
        if math.isfinite(total)
        else CallResult(Result.RESET, drop_connection=True)
    )


def slot_map(reply: Any, address: Address) -> list[tuple[int, int, Address]]:
    """Ranges of slots (first, last) and their primaries, from a reply to CLUSTER SLOTS.

    A node that does not know its own host reports an empty one; `address`, the address that sent the reply,
    supplies it. Raises ValueError if the reply is not valid.
    """
    try:
        ranges = []
        for first, last, primary, *_ in reply:
            host = primary[0].decode() if primary[0] else address[0]
            ranges.append((int(first), int(last), (host, int(primary[1]))))
    except (AttributeError, IndexError, TypeError, ValueError):
        raise ValueError("no map of slots") from None
    return sorted(ranges)
