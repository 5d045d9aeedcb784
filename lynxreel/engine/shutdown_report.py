"""What becomes of requests while a gateway shuts down: lines for the operators, and counts.

A request that is read once connections are being closed gets a line when it is read, one for each attempt,
and one when it ends. Those that were read before are counted. Every line names the seconds since the stop.
Lines of requests are bounded, so that they do not crowd others out of the log.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum


REQUEST_LINES = 10  # in a second; half of what the log takes


class ConnectionHistory(Enum):
    """What a connection had carried when a request was read on it."""

    NEW = "new"  # nothing before this request
    RESTING = "resting"  # everything before it had been answered
    BUSY = "busy"  # requests before it wait for their answers
    HALF_READ = "half-read"  # a part of the request had come before


class ShutdownReport:
    """Follows one shutdown. All times are seconds on the clock that is handed in."""

    def __init__(self, clock: Callable[[], float], write: Callable[[str], None]) -> None:
        """`write` takes one line."""
        self._clock, self._write = clock, write
        self._begun = clock()
        self._followed: set[bytes] = set()
        self._second, self._lines = 0, 0  # lines of requests in this second since the stop
        self.draining = False  # connections are being closed
        self.read: Counter[ConnectionHistory] = Counter()
        self.ended: Counter[str] = Counter()

    def state(self, state: str, connections: int, owed: int) -> None:
        """The shutdown has entered another state, with so many connections and unanswered requests."""
        self._line(f"{state}, {connections} connections, {owed} requests without an answer")

    def request_read(self, request: bytes, cls: int, history: ConnectionHistory, left: float) -> None:
        """A request was taken, with so many seconds left to its client."""
        self.read[history] += 1
        if self.draining:
            self._followed.add(request)
            where = f"read on a {history.value} connection"
            self._request_line(f"{_name(request)} class {cls} {where}, {left:.3f} s left")

    def attempt_begun(self, request: bytes, number: int, server: str, timeout: float) -> None:
        """A request goes to a server, for so many seconds at most."""
        if request in self._followed:
            self._request_line(f"{_name(request)} attempt {number} to {server}, time-out {timeout:.3f} s")

    def attempt_ended(self, request: bytes, number: int, result: str) -> None:
        """An attempt has ended."""
        if request in self._followed:
            self._request_line(f"{_name(request)} attempt {number} ended: {result}")

    def request_ended(self, request: bytes, how: str, cause: str) -> None:
        """A request has had its answer, or its client has gone."""
        self.ended[how] += 1
        if request in self._followed:
            self._followed.discard(request)
            self._request_line(f"{_name(request)} {how}" + (f" ({cause})" if cause else ""))

    def counts(self) -> dict[str, dict[str, int]]:
        """What was read since the stop, by connection, and how requests have ended since."""
        read = {history.value: count for history, count in self.read.items()}
        return {"read": read, "ended": dict(self.ended)}

    def finish(self, connections: int, owed: int) -> None:
        """The process ends now."""
        read = ", ".join(f"{count} on {history.value}" for history, count in self.read.items()) or "none"
        ended = ", ".join(f"{count} {how}" for how, count in self.ended.items()) or "none"
        self.state(f"ends; requests read since the stop: {read}; ended: {ended}", connections, owed)

    def _request_line(self, text: str) -> None:
        second = int(self._clock() - self._begun)
        if second != self._second:
            if self._lines > REQUEST_LINES:
                self._line(f"{self._lines - REQUEST_LINES} more lines on requests left out")
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= REQUEST_LINES:
            self._line(text)

    def _line(self, text: str) -> None:
        self._write(f"shutdown +{self._clock() - self._begun:.3f} s: {text}")


def _name(request: bytes) -> str:
    return f"request {request.decode(errors='replace')}"
