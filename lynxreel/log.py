"""The log: lines on standard error, limited per second."""

from __future__ import annotations

import sys
import time

MAX_LINES_PER_SECOND = 20  # a peer that sends only unreadable messages must not fill the log


class _Log:
    """Writes log lines and counts them in each second."""

    def __init__(self) -> None:
        self._second, self._lines = 0, 0

    def __call__(self, text: str) -> None:
        """Log a line, unless this second's limit is reached; dropped lines are counted and reported later."""
        now = int(time.monotonic())
        if now != self._second:
            if self._lines > MAX_LINES_PER_SECOND:
                print(
                    f"lynxreel: {self._lines - MAX_LINES_PER_SECOND} more lines left out",
                    file=sys.stderr,
                    flush=True,
                )
            self._second, self._lines = now, 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_SECOND:
            print(f"lynxreel: {text}", file=sys.stderr, flush=True)


log = _Log()
