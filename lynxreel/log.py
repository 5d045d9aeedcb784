"""Lines for the operators, on standard error."""

from __future__ import annotations

import sys
import time

MOST = 20  # lines in a second: a peer that sends only what can't be read must not fill the log


class _Log:
    """How much has been said in this second."""

    def __init__(self) -> None:
        self._second, self._said = 0, 0

    def __call__(self, text: str) -> None:
        """Say it, unless too much has been said."""
        now = int(time.monotonic())
        if now != self._second:
            if self._said > MOST:
                print(f"lynxreel: {self._said - MOST} more lines left out", file=sys.stderr, flush=True)
            self._second, self._said = now, 0
        self._said += 1
        if self._said <= MOST:
            print(f"lynxreel: {text}", file=sys.stderr, flush=True)


log = _Log()
