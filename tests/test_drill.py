"""The simulator adapter: handwritten frames in, and the replies to them."""

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from mothgap import drill

SETTINGS_OBJECT: dict[str, Any] = {
    "classes": [
        {"effect": "repeatable", "gain": 1.0, "giveUpUs": 3000000, "goalTimeUs": 1000000, "group": "all",
         "lateWorth": 0.0, "streamed": False, "windowUs": 5000000, "fresh": 1},
    ],
    "packages": [{"quotaRate": 2.0, "mostAtOnce": 8.0, "neverOverRate": 0.0}],
    "fleetSize": 2, "selfIndex": 0, "tickUs": 1000, "unknown": [1, 2],
    "limits": {"maxAttempts": 3, "mayCancel": True},
    "safety": {"answerSlackUs": 8000, "stopSendingWithinUs": 250000, "coldFrom": 0.3, "coldUs": 9000000,
               "tipMultiple": 2.0, "fallUs": 1000000},
    "extra": {"counter": True, "countLimitUs": 50000},
    "report": {"fields": ["inflight"], "via": "inline"},
}  # fmt: skip
NOW = 8_412_250
SERVER = bytes([10, 18, 74, 7]) + struct.pack("<H", 5003)


def frame(*records: bytes, now: int = NOW) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(body), len(records), now) + body


def boot(instance: int = 3, settings: bytes | None = None) -> bytes:
    text = json.dumps(SETTINGS_OBJECT).encode() if settings is None else settings
    return struct.pack("<HIQI", 1, instance, 99, len(text)) + text


def roster() -> bytes:
    return struct.pack("<HHI", 7, 0, 1) + struct.pack("<HBHB6sQf", 0, 0, 0, 2, SERVER, 0, 1.0)


def discovery(instance: int = 3) -> bytes:
    return struct.pack("<HIHBQ", 3, instance, 0, 2, 41)


def submit(request: int = 7, instance: int = 3) -> bytes:
    return struct.pack("<HIIfffIIBBQ", 8, instance, request, 0.0, 2.0, 1.0, 0, 400_000, 0, 0, 555)


def play(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    drill.run(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert play(bytes.fromhex("00000000 00000000 5a5c800000000000")) == bytes(8)


def test_a_request_is_counted_then_sent() -> None:
    out = play(frame(boot(), roster(), discovery()), frame(submit()))
    count, length = struct.unpack_from("<II", out, 8)
    assert count == 1
    code, instance, name, amount, _ = struct.unpack_from("<HIQfI", out, 16)
    assert (code, instance, amount) == (4, 3, 1.0)
    assert length == 22
    reply = struct.pack("<HIHIfQ", 10, 3, 200, 900, 1.0, name)
    out = play(frame(boot(), roster(), discovery()), frame(submit()), frame(reply))[16 + length :]
    code, instance, request, server, _ = struct.unpack_from("<HII6sI", out, len(out) - 20)
    assert (code, instance, request, server) == (10, 3, 7, SERVER)


def test_the_example_outcome_record_of_the_protocol_page_is_read() -> None:
    raw = bytes.fromhex("03000000c4913a5d00000a124a078b13c80044480000015600030002000040400000e040")
    reader = drill.Reader(raw)
    event = drill.read_outcome(drill.Adapter(), reader.unpack(drill.EVENTS[12][1]), reader)
    assert repr(event) == (
        "Outcome(request=1564119492, attempt=0, server='10.18.74.7:5003', result=<Result.OK: 'ok'>, "
        "elapsed=18500, final=True, used_percent=85, true_units=3.0, load=(3.0, 7.0))"
    )


def test_server_names_are_converted_back_unchanged() -> None:
    assert drill.server_bytes(drill.server_name(SERVER)) == SERVER


def test_teardown_and_boot_in_one_batch() -> None:
    again = frame(struct.pack("<HI", 9, 3), boot(), discovery())
    assert play(frame(boot(), roster(), discovery()), again) == bytes(16)


def test_a_module_exception_becomes_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def explode(*_: object) -> None:
        raise ValueError("boom")

    monkeypatch.setattr("mothgap.rules.Gateway.handle", explode)
    out = play(frame(boot(), roster(), discovery()))
    assert struct.unpack_from("<HI", out, 8) == (8, 3)
    assert out.endswith(b"ValueError: boom")


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (frame(boot())[:-5], "before the end of the frame"),
        (frame(boot())[:9], "inside a header"),
        (struct.pack("<IIQ", 3, 1, NOW) + b"\x08\x00\x01", "ends inside a record"),
        (frame(struct.pack("<HI", 77, 3)), "unknown event code 77"),
        (frame(submit() + b"\x00"), "never started"),
        (frame(boot(), discovery()), "roster 0 was never sent"),
        (frame(boot() + b"\x00\x00"), "left after the last record"),
        (frame(boot(settings=b"{nope")), "not JSON"),
        (frame(boot(settings=b"{}")), "limits"),
        (frame(boot(settings=b"[]")), "wrong type"),
    ],
)
def test_malformed_input_gives_one_line_and_a_non_zero_exit(data: bytes, message: str) -> None:
    command = [sys.executable, "-m", "mothgap.drill"]
    done = subprocess.run(command, input=data, capture_output=True, timeout=60)
    assert done.returncode == 1
    assert done.stdout == b""
    text = done.stderr.decode()
    assert message in text
    assert text.count("\n") == 1
    assert text.startswith("mothgap.drill: batch 1: ")
