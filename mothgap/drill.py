"""Adapter between the simulator's binary protocol and the decision module; it makes no decisions.

Run as ``python -m mothgap.drill``: it reads batches of events from standard input and writes a reply to each
to standard output.
"""

from __future__ import annotations

import json
import struct
import sys
from typing import Any, BinaryIO

from mothgap import interface as api
from mothgap.rules import Gateway
from mothgap.settings import read_settings

RESULTS = {
    200: api.Result.OK,
    502: api.Result.ERROR,
    429: api.Result.FULL,
    408: api.Result.TIMEOUT,
    521: api.Result.CONNECT_FAILED,
    520: api.Result.RESET,
    444: api.Result.CANCELLED,
    409: api.Result.NOT_SENT,
}
U32_MAX = 0xFFFFFFFF
ALL_PEERS = 0xFFFF
BATCH_HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
ENTRY = struct.Struct("<HBHB6sQf")


class WireError(Exception):
    """The input violates the protocol; the message says how and where."""


class Reader:
    """Unpacks the fields of a frame in order; errors name the byte offset."""

    def __init__(self, data: bytes, offset: int = 0) -> None:
        self.data = data
        self.offset = offset

    def unpack(self, layout: struct.Struct) -> tuple[Any, ...]:
        try:
            values = layout.unpack_from(self.data, self.offset)
        except struct.error:
            raise WireError(f"frame ends inside a record, at byte {self.offset}") from None
        self.offset += layout.size
        return values

    def read_bytes(self, count: int) -> bytes:
        if self.offset + count > len(self.data):
            raise WireError(f"frame ends inside a record, at byte {self.offset}")
        self.offset += count
        return self.data[self.offset - count : self.offset]


def server_name(raw: bytes) -> str:
    """The name HOST:PORT of a server, from four bytes of address and a little-endian port."""
    return f"{raw[0]}.{raw[1]}.{raw[2]}.{raw[3]}:{raw[4] | raw[5] << 8}"


def server_bytes(name: str) -> bytes:
    """The binary form of a server's name: four bytes of address and a little-endian port."""
    host, _, port = name.partition(":")
    return bytes(int(part) for part in host.split(".")) + int(port).to_bytes(2, "little")


class Adapter:
    """The gateway instances of one adapter process."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.rosters: dict[int, tuple[api.Member, ...]] = {}
        self.records: list[bytes] = []

    def handle_batch(self, now: int, count: int, body: bytes) -> bytes:
        """Handle one batch of events and return the reply frame."""
        self.records = []
        reader = Reader(body)
        for _ in range(count):
            start = reader.offset
            (code,) = reader.unpack(U16)
            if code not in EVENTS:
                raise WireError(f"unknown event code {code} at byte {start}")
            read, layout = EVENTS[code]
            try:
                self.handle_record(now, code, read, reader.unpack(layout), reader)
            except WireError as error:
                raise WireError(f"event code {code} at byte {start}: {error}") from None
        if reader.offset != len(body):
            raise WireError(
                f"{len(body) - reader.offset} bytes left after the last record, at byte {reader.offset}"
            )
        payload = b"".join(self.records)
        return REPLY_HEADER.pack(len(self.records), len(payload)) + payload

    def handle_record(self, now: int, code: int, read: Any, fields: tuple[Any, ...], reader: Reader) -> None:
        """Handle one record: pass it to the instance it addresses."""
        if code == ROSTER:
            slot, entries = fields
            self.rosters[slot] = tuple(read_member(reader) for _ in range(entries))
            return
        instance = fields[0]
        if code == BOOT:
            document = reader.read_bytes(fields[2])
            try:
                self.gateways[instance] = Gateway(read_settings(json.loads(document)), fields[1], now)
            except api.SettingsError as error:
                raise WireError(str(error)) from None
            except ValueError:
                raise WireError("settings are not JSON") from None
            return
        if instance not in self.gateways:
            raise WireError(f"instance {instance} was never started")
        if code == TEARDOWN:
            del self.gateways[instance]
            return
        event = read(self, fields, reader)
        try:
            for action in self.gateways[instance].handle(now, event):
                self.records.append(pack_action(instance, action))
        except Exception as error:  # any failure of the decision code is reported as a fault
            cause = error.__cause__ or error
            self.records.append(text_record(FAULT, instance, f"{type(cause).__name__}: {cause}"))


def read_member(reader: Reader) -> api.Member:
    """One entry of a roster, a list of servers."""
    kind, zone, cell, state, server, started, weight = reader.unpack(ENTRY)
    if state not in (1, 2, 3):
        raise WireError(f"unknown server state {state}")
    return api.Member(server_name(server), api.State(state), kind, zone, cell, started, weight)


def result_of(code: int) -> api.Result:
    """The Result for a status code."""
    if code not in RESULTS:
        raise WireError(f"unknown status {code}")
    return RESULTS[code]


def read_load(reader: Reader) -> tuple[float, ...]:
    """A load report: a count, and as many floats."""
    (count,) = reader.unpack(U8)
    return reader.unpack(FLOATS[count]) if count < len(FLOATS) else reader.unpack(struct.Struct(f"<{count}f"))


def read_request(_: Adapter, fields: tuple[Any, ...], __: Reader) -> api.Event:
    _, request, first, entries, units, plan, time_left, bits, cls, customer = fields
    return api.Request(
        request, cls, plan, customer, units, time_left, int(entries), int(first), bool(bits & 2)
    )


def read_outcome(_: Adapter, fields: tuple[Any, ...], reader: Reader) -> api.Event:
    _, request, attempt, server, status, elapsed, final, used_percent, true_units = fields
    return api.Outcome(
        request,
        attempt,
        server_name(server),
        result_of(status),
        elapsed,
        bool(final),
        used_percent - 1 if used_percent else None,
        float(true_units) if true_units else None,
        read_load(reader),
    )


def read_started(_: Adapter, fields: tuple[Any, ...], __: Reader) -> api.Event:
    return api.Started(fields[1], fields[4], server_name(fields[3]), fields[2])


def read_counted(_: Adapter, fields: tuple[Any, ...], __: Reader) -> api.Event:
    return api.Counted(fields[4], result_of(fields[1]), fields[2], fields[3])


def read_members(adapter: Adapter, fields: tuple[Any, ...], __: Reader) -> api.Event:
    _, slot, kind_code, version = fields
    if kind_code not in (0, 1, 2, 3):
        raise WireError(f"unknown kind of list {kind_code}")
    kind = api.ListKind(kind_code)
    if kind is api.ListKind.FAILED:
        return api.Members(kind, version, ())
    if slot not in adapter.rosters:
        raise WireError(f"roster {slot} was never sent")
    return api.Members(kind, version, adapter.rosters[slot])


def read_probed(_: Adapter, fields: tuple[Any, ...], reader: Reader) -> api.Event:
    return api.Probed(server_name(fields[2]), result_of(fields[3]), fields[1], read_load(reader))


def read_peer(_: Adapter, fields: tuple[Any, ...], reader: Reader) -> api.Event:
    return api.PeerMessage(fields[1], reader.read_bytes(fields[2]))


def read_timer(_: Adapter, fields: tuple[Any, ...], __: Reader) -> api.Event:
    return api.Timer(fields[1])


def read_expired(_: Adapter, fields: tuple[Any, ...], __: Reader) -> api.Event:
    return api.Expired(fields[1])


# Record codes of the simulator.
BOOT, ROSTER, TEARDOWN, FAULT = 1, 7, 9, 8
U8, U16 = struct.Struct("<B"), struct.Struct("<H")
FLOATS = tuple(struct.Struct(f"<{n}f") for n in range(5))
EVENTS: dict[int, tuple[Any, struct.Struct]] = {
    BOOT: (None, struct.Struct("<IQI")),
    2: (read_started, struct.Struct("<III6sH")),
    3: (read_members, struct.Struct("<IHBQ")),
    4: (read_probed, struct.Struct("<II6sH")),
    5: (read_timer, struct.Struct("<II")),
    6: (read_peer, struct.Struct("<IHH")),
    ROSTER: (None, struct.Struct("<HI")),
    8: (read_request, struct.Struct("<IIfffIIBBQ")),
    TEARDOWN: (None, struct.Struct("<I")),
    10: (read_counted, struct.Struct("<IHIfQ")),
    11: (read_expired, struct.Struct("<II")),
    12: (read_outcome, struct.Struct("<IIH6sHIBHH")),
}
# Layouts of the records of actions.
SEND, CANCEL = struct.Struct("<HII6sI"), struct.Struct("<HIIH")
INSTANCE_ONLY, INSTANCE_U32, INSTANCE_2_U32 = (
    struct.Struct("<HI"),
    struct.Struct("<HII"),
    struct.Struct("<HIII"),
)
INSTANCE_SERVER = struct.Struct("<HI6s")
COUNT, WATCH, TELL = struct.Struct("<HIQfI"), struct.Struct("<HIB"), struct.Struct("<HIHH")


def text_record(code: int, instance: int, text: str) -> bytes:
    """A record with a line of text."""
    data = text.encode()[:0xFFFF]
    return struct.pack("<HIH", code, instance, len(data)) + data


def pack_action(instance: int, action: api.Action) -> bytes:
    """The binary record of an action."""
    match action:
        case api.SetTimer(delay, token):
            return INSTANCE_2_U32.pack(1, instance, min(delay, U32_MAX), token)
        case api.Count(name, amount, lifetime):
            return COUNT.pack(4, instance, name, amount, lifetime)
        case api.Send(request, server, timeout):
            return SEND.pack(10, instance, request, server_bytes(server), min(timeout, U32_MAX))
        case api.Refuse(request, retry_after):
            return INSTANCE_2_U32.pack(5, instance, request, retry_after)
        case api.Fail(request):
            return INSTANCE_U32.pack(3, instance, request)
        case api.Cancel(request, attempt):
            return CANCEL.pack(6, instance, request, attempt)
        case api.Probe(server):
            return INSTANCE_SERVER.pack(7, instance, server_bytes(server))
        case api.Tell(to, data):
            return TELL.pack(12, instance, ALL_PEERS if to is None else to, len(data)) + data
        case api.Watch(on):
            return WATCH.pack(9, instance, on)
        case api.Fetch():
            return INSTANCE_ONLY.pack(11, instance)
        case api.CloseIdle(server):
            return INSTANCE_SERVER.pack(2, instance, server_bytes(server))
        case api.Log(text):
            return text_record(13, instance, text)


def read_exactly(source: BinaryIO, count: int) -> bytes:
    """Read `count` bytes, or fewer where the input ends."""
    parts: list[bytes] = []
    while count:
        part = source.read(count)
        if not part:
            break
        parts.append(part)
        count -= len(part)
    return b"".join(parts)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the end of the input."""
    adapter = Adapter()
    number = 0
    while header := read_exactly(source, BATCH_HEADER.size):
        number += 1
        try:
            if len(header) < BATCH_HEADER.size:
                raise WireError("input ends inside a header")
            length, count, now = BATCH_HEADER.unpack(header)
            body = read_exactly(source, length)
            if len(body) < length:
                raise WireError(f"input ends {length - len(body)} bytes before the end of the frame")
            reply = adapter.handle_batch(now, count, body)
        except WireError as error:
            raise WireError(f"batch {number}: {error}") from None
        sink.write(reply)
        sink.flush()


def main() -> int:
    """Exit status 0 at the end of the input; 1, with a line on standard error, where it is malformed."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"mothgap.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
