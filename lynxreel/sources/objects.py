"""Incremental parser for a stream of JSON objects, with any line breaks, indentation and chunks. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

MAX_OBJECT_BYTES = 4 << 20  # bytes of one object; enough for some ten thousand boxes, indented
MAX_DEPTH = 64  # nesting of objects and arrays; a list of boxes has three levels
# A string, the quote that begins an incomplete string, or a bracket.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|["{}\[\]]', re.DOTALL)
OBJECT_START = re.compile(rb'\{\s*(?:["}]|$)')  # the beginning of an object, maybe incomplete


class Objects:
    """Takes chunks; yields each object once it is complete, and None for each line end between objects."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the buffer that have been scanned
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield what is complete. Raises ValueError if the data is not an object, or too long or too deep."""
        self._buffer += data
        while True:
            if not self._depth:
                blank = len(self._buffer) - len(self._buffer.lstrip())
                yield from [None] * self._buffer[:blank].count(b"\n")
                del self._buffer[:blank]
                self._scanned = 0
                if not self._buffer:
                    return
                if not OBJECT_START.match(self._buffer):
                    raise ValueError(f"not an object: {bytes(self._buffer[:40])!r}")
            end = self._find_end()
            if end is None:
                if len(self._buffer) > MAX_OBJECT_BYTES:
                    raise ValueError("object too long")
                return
            text = bytes(self._buffer[:end])
            del self._buffer[:end]
            yield json.loads(text)

    def _find_end(self) -> int | None:
        """Return the end of the buffered object, or None if it is incomplete."""
        for token in TOKEN.finditer(self._buffer, self._scanned):
            first = self._buffer[token.start()]
            if first == 0x22:
                if token.end() - token.start() == 1:
                    self._scanned = token.start()  # this string is incomplete
                    return None
            elif first in b"{[":
                self._depth += 1
                if self._depth > MAX_DEPTH:
                    raise ValueError("objects nested too deep")
            else:
                self._depth -= 1
                if not self._depth:
                    return token.end()
            self._scanned = token.end()
        return None
