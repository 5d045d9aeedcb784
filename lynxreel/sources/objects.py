"""JSON objects out of a stream of bytes, across any line breaks, indentation and cuts. No I/O."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

MOST = 4 << 20  # bytes of one object: some ten thousand servers, indented; more is no list
DEEP = 64  # objects and arrays within each other; a list has three
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|["{}\[\]]', re.DOTALL)  # a string, whole or cut, or a bracket
BEGINS = re.compile(rb'\{\s*(?:["}]|$)')  # an object, as far as it is here


class Objects:
    """Takes bytes as they come; gives each object once it is whole, and None for each line end between."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._at = 0  # bytes of what is held that have been looked at
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """What is whole by now. Raises a ValueError at what can't become an object."""
        self._held += data
        while True:
            if not self._depth:
                blank = len(self._held) - len(self._held.lstrip())
                yield from [None] * self._held[:blank].count(b"\n")
                del self._held[:blank]
                self._at = 0
                if not self._held:
                    return
                if not BEGINS.match(self._held):
                    raise ValueError(f"no object: {bytes(self._held[:40])!r}")
            end = self._end()
            if end is None:
                if len(self._held) > MOST:
                    raise ValueError("an object without an end")
                return
            whole = bytes(self._held[:end])
            del self._held[:end]
            yield json.loads(whole)

    def _end(self) -> int | None:
        """Where the object that is held ends; None where that is still to come."""
        for token in TOKEN.finditer(self._held, self._at):
            first = self._held[token.start()]
            if first == 0x22:
                if token.end() - token.start() == 1:
                    self._at = token.start()  # the rest of this string is still to come
                    return None
            elif first in b"{[":
                self._depth += 1
                if self._depth > DEEP:
                    raise ValueError("objects too deep in each other")
            else:
                self._depth -= 1
                if not self._depth:
                    return token.end()
            self._at = token.end()
        return None
