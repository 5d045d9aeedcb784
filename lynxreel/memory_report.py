"""Tells the operators what memory is held for, when a process takes much of its limit."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path

MEGABYTE = 1 << 20  # bytes
REPORTED_FRACTION = 0.5  # of the limit, above which lines are written
STEP_FRACTION = 0.05  # of the limit; a further line comes with each such growth
CHECK_INTERVAL = 1.0  # seconds
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
STATISTICS = Path("/proc/self/statm")


def private_memory() -> int:
    """Bytes that this process has without mapped files, by proc(5). Raises OSError where it does not tell."""
    _, resident, shared, *_ = STATISTICS.read_text().split()
    return (int(resident) - int(shared)) * PAGE_SIZE


class MemoryReport:
    """Decides when a line is due. No I/O."""

    def __init__(self, limit: int) -> None:
        """`limit`: bytes."""
        self._limit = limit
        self._next = limit * REPORTED_FRACTION  # bytes at which a line is due
        self.most = 0  # bytes at any check

    def check(self, now: int, holders: Callable[[], Mapping[str, object]]) -> str:
        """Return the line that is due with `now` bytes, or nothing; `holders` tells what holds them."""
        self.most = max(self.most, now)
        if now < self._next:
            return ""
        self._next = now + self._limit * STEP_FRACTION
        parts = ", ".join(f"{name} {value}" for name, value in holders().items())
        return f"memory: {now / MEGABYTE:.0f} of {self._limit / MEGABYTE:.0f} MB; {parts}"
