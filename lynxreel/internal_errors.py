"""Unexpected exceptions: each is logged with its traceback and counted, and the process continues.

A count above 0 means that the process has a bug, even if its callers saw no failure.
"""

from __future__ import annotations

import asyncio
import traceback
from typing import Any

from lynxreel.log import log


MARKS = ("internal error", "Traceback (most recent call last)")  # texts that identify them in a log


def count_errors(text: str) -> int:
    """Return the number of lines in a process's log that contain one of MARKS."""
    return sum(any(mark in line for mark in MARKS) for line in text.splitlines())


class InternalErrors:
    """Counts and logs the unexpected exceptions of a process."""

    def __init__(self) -> None:
        self.count = 0

    def caught(self, error: BaseException, where: str) -> None:
        """Log and count an exception that was caught in `where`."""
        self.count += 1
        trace = "".join(traceback.format_exception(error)).rstrip()
        log(f"internal error in {where}:\n{trace}")

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Also log and count what callbacks and tasks of this event loop raise."""
        loop.set_exception_handler(self._unhandled)

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        message = context.get("message", "the event loop")
        error = context.get("exception")
        if error is None:
            self.count += 1
            log(f"internal error: {message}")
        else:
            self.caught(error, message)


internal_errors = InternalErrors()
