"""Format of the records file, without I/O: one JSON object per line, and a header as the first line.

A proper prefix of a JSON object is never a valid JSON object, so a line that a crash truncated can't be taken
for a complete one: it is counted as torn and skipped. Every line has `record`, one of KINDS, and two times in
milliseconds: `at` (Unix time) and `up` (since the start, on a monotonic clock).
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

FORMAT, VERSION = "lynxreel records", 1
KINDS = {
    "header": "the first line of each file: format, version, instance, pid, and what each kind of line holds",
    "started": "it takes requests",
    "reload": "ok, and lines: the changes, or the problems of a file that was refused",
    "leaving": "a stop has begun: connections are taken for a while",
    "drained": "clients are sent away until undrained; connections: that were open",
    "undrained": "clients are taken again",
    "draining": "no new connection is taken",
    "stopped": "the end; left: connections that were cut off",
    "counts": "by class and plan since the line before; causes of refusals and failures; owed, connections;"
    " internal_errors: exceptions that nothing expected, since the start, each of which is in the log;"
    " work: with work in hand kept at others, what became of it",
    "instance": "another one, by name, is up, lost (silent) or dead, as this one sees it",
    "passed": "a request in hand, by id and class: here from the instance `other`, or from here to another;"
    " how: carried on, or the answer that it has",
    "zone": "what the fleet's word says of a zone from now on: stage, step, epoch, why",
    "gap": "lines that could not be written, and why",
}


def header(instance: str, pid: int) -> dict[str, Any]:
    """Return the content of the header, a file's first line."""
    return {"format": FORMAT, "version": VERSION, "instance": instance, "pid": pid, "kinds": KINDS}


def encode(kind: str, at: int, up: int, content: dict[str, Any]) -> bytes:
    """Return a record as one line; `at` and `up` are in milliseconds."""
    line = {"record": kind, "at": at, "up": up, **content}
    return json.dumps(line, separators=(",", ":"), ensure_ascii=True).encode() + b"\n"


def decode(data: bytes) -> Iterator[dict[str, Any] | None]:
    """Yield the content of each line that is not blank; None for one that is torn or not a record."""
    for line in data.split(b"\n"):
        if not line.strip(b"\0 \r"):
            continue
        try:
            content = json.loads(line)
        except ValueError:
            content = None
        yield content if isinstance(content, dict) and "record" in content else None
