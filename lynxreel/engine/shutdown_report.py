"""What happens to requests while a gateway shuts down: log lines for the operators, and counts.

A request that is read while connections are being closed gets a line when it is read, one for each start and
each end of an attempt, and one when it ends. Requests that were read before are only counted. Every line
gives the seconds since the shutdown started. The number of request lines is limited, so that they do not
crowd out other log lines.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum


MAX_REQUEST_LINES = 10  # in each second; half of the log's own rate limit


class ConnectionHistory(Enum):
    """What a connection had carried when a request was read on it."""

    NEW = "new"  # no earlier request
    IDLE = "resting"  # all earlier requests had been answered
    BUSY = "busy"  # earlier requests were waiting for their answers
    HALF_READ = "half-read"  # a part of the request had arrived before


class ShutdownReport:
    """Reports on one shutdown. All times are seconds of the clock that is passed in."""

    def __init__(self, clock: Callable[[], float], write: Callable[[str], None]) -> None:
        """`write` takes one line."""
        self._clock, self._write = clock, write
        self._started_at = clock()
        self._logged_requests: set[bytes] = set()  # requests whose events get lines
        self._second, self._lines = 0, 0  # the current second since the start, and its request lines
        self.draining = False  # connections are being closed
        self.read: Counter[ConnectionHistory] = Counter()
        self.ended: Counter[str] = Counter()

    def state(self, state: str, connections: int, pending: int) -> None:
        """The shutdown has entered another state, with this many connections and unanswered requests."""
        self._line(f"{state}, {connections} connections, {pending} requests without an answer")

    def request_read(self, request: bytes, cls: int, history: ConnectionHistory, time_left: float) -> None:
        """A request was read; its client waits this many seconds more."""
        self.read[history] += 1
        if self.draining:
            self._logged_requests.add(request)
            where = f"read on a {history.value} connection"
            self._request_line(f"{_label(request)} class {cls} {where}, {time_left:.3f} s left")

    def attempt_started(self, request: bytes, number: int, server: str, timeout: float) -> None:
        """A request is sent to a server, with a timeout in seconds."""
        if request in self._logged_requests:
            self._request_line(f"{_label(request)} attempt {number} to {server}, time-out {timeout:.3f} s")

    def attempt_ended(self, request: bytes, number: int, result: str) -> None:
        """An attempt has ended."""
        if request in self._logged_requests:
            self._request_line(f"{_label(request)} attempt {number} ended: {result}")

    def request_ended(self, request: bytes, how: str, cause: str) -> None:
        """A request was answered, or its client has disconnected."""
        self.ended[how] += 1
        if request in self._logged_requests:
            self._logged_requests.discard(request)
            self._request_line(f"{_label(request)} {how}" + (f" ({cause})" if cause else ""))

    def counts(self) -> dict[str, dict[str, int]]:
        """Requests read since the shutdown started, by connection history, and requests ended, by result."""
        read = {history.value: count for history, count in self.read.items()}
        return {"read": read, "ended": dict(self.ended)}

    def finish(self, connections: int, pending: int) -> None:
        """Write the last line; the process ends now."""
        read = ", ".join(f"{count} on {history.value}" for history, count in self.read.items()) or "none"
        ended = ", ".join(f"{count} {how}" for how, count in self.ended.items()) or "none"
        self.state(f"ends; requests read since the stop: {read}; ended: {ended}", connections, pending)

    def _request_line(self, text: str) -> None:
        second = int(self._clock() - self._started_at)
        if second != self._second:
            if self._lines > MAX_REQUEST_LINES:
                self._line(f"{self._lines - MAX_REQUEST_LINES} more lines on requests left out")
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= MAX_REQUEST_LINES:
            self._line(text)

    def _line(self, text: str) -> None:
        self._write(f"shutdown +{self._clock() - self._started_at:.3f} s: {text}")


def _label(request: bytes) -> str:
    return f"request {request.decode(errors='replace')}"
