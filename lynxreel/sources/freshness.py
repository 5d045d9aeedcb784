"""Decides when watches on the list of boxes are opened, opened again and closed.

No I/O: events of the sockets go in, actions come out; the caller passes the clock and the random generator.
Times are seconds on a monotonic clock.

A watch is alive while whole lines arrive; empty lines are heartbeats. If a watch has been silent for longer
than the time between two heartbeats, it is no longer trusted, but stays open: another is opened beside it,
and the old one is closed only when the new one has received a line. So the first line on either is processed.

The settings tell two kinds of service apart:

- an agent on this machine, to which lists are pushed. It answers at once, and requests to it are cheap. What
  it has counts as announced to this instance, whether or not a watch is open. Until it answers, requests are
  repeated within a fraction of the drain grace, whatever the size of the fleet.
- a service that the whole fleet calls, where a request may have to wait. There is one request at a time, and
  the delay after a failure grows with failures and with the fleet (`backoff.fleet_mean_waits`). After any
  failure, requests are frequent enough for a change to arrive within 6 s of its being available: the silence
  timeout, the reconnection span and one request together take less than that, and so do one delay and one
  request.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from lynxreel.backoff import OVERLOADED_MAX_WAIT, Backoff, fleet_mean_waits

SILENCE_TIMEOUT = 2.5  # seconds without a whole line; heartbeats come every 2 s
AGENT_RETRY_INTERVAL = 0.25  # seconds between requests to a silent agent; half of the usual drain grace
AGENT_RETRY_DELAY = 0.05  # seconds of the mean delay after an agent's watch has ended
MAX_PENDING = 4  # concurrent requests to an agent; if the event loop has stalled, one will have its answer
SERVICE_ANSWER_TIMEOUT = 2.25  # seconds to wait for a service's answer; it drops requests itself after 2 s
RECONNECT_SPREAD = 1.0  # seconds over which a fleet reconnects after all watches on a service fell silent


class End(Enum):
    """Why a watch ended that this side did not close."""

    UNREACHABLE = "could not be opened"
    LOST = "has ended"
    REJECTED = "was turned away"
    INVALID = "told what can't be read"


@dataclass(frozen=True, slots=True)
class Open:
    """Open a watch, starting at the known version."""

    watch: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close a watch; ignore what it may still receive."""

    watch: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line for the operators."""

    text: str


Action = Open | Close | LogLine


@dataclass(frozen=True, slots=True)
class WatchPolicy:
    """The kind of service, and how often it has to be asked."""

    agent: bool  # the service is an agent on this machine, with lists pushed to it
    fleet_size: int = 1  # instances that call the same service
    ask_within: float = 0.0  # seconds within which a service has to be asked; 0: no requirement


@dataclass(slots=True)
class _PendingWatch:
    """A watch that has received no whole line yet."""

    last_activity: float  # when it was opened or last received bytes
    receiving: bool = False  # part of its first line has arrived


class Freshness:
    """Decides which watches are open; the current one provides the list."""

    def __init__(self, policy: WatchPolicy, rng: random.Random) -> None:
        self._rng = rng
        self._backoff = Backoff(1.0, 1.0, rng)
        self._last_id = 0
        self._pending: dict[int, _PendingWatch] = {}  # in the order of opening
        self._current: int | None = None  # the one that received a line last
        self._last_line_at = 0.0
        self._next_open: float | None = 0.0  # when to open the next one; None: not scheduled
        self._failure_logged = False  # that nothing arrives has been logged
        self.set_policy(policy)

    def set_policy(self, policy: WatchPolicy) -> None:
        """Use a new policy, for another kind of service or another size of the fleet."""
        self._policy = policy
        self._backoff.adopt(
            *(
                (AGENT_RETRY_DELAY, AGENT_RETRY_INTERVAL)
                if policy.agent
                else fleet_mean_waits(policy.fleet_size, policy.ask_within)
            )
        )

    @property
    def current(self) -> int | None:
        """The watch that received a line last, or None."""
        return self._current

    def due(self) -> float | None:
        """Return when `tick` has something to do, or None."""
        times = [pending.last_activity + self._answer_timeout for pending in self._pending.values()]
        if self._next_open is not None:
            times.append(self._next_open)
        elif self._current is not None and not self._pending:
            times.append(self._last_line_at + SILENCE_TIMEOUT)
        return min(times, default=None)

    @property
    def _answer_timeout(self) -> float:
        return MAX_PENDING * AGENT_RETRY_INTERVAL if self._policy.agent else SERVICE_ANSWER_TIMEOUT

    def tick(self, now: float) -> list[Action]:
        """Return what is due: time out pending watches, react to silence, open the next watch."""
        actions: list[Action] = []
        for watch, pending in list(self._pending.items()):
            if now >= pending.last_activity + self._answer_timeout:
                del self._pending[watch]
                actions += [Close(watch), *self._log_once("discovery gives no answer")]
                if self._next_open is None:
                    self._schedule_retry(now)
        idle = self._current is not None and not self._pending and self._next_open is None
        if idle and now >= self._last_line_at + SILENCE_TIMEOUT:
            actions += self._on_silence(now)
        if self._next_open is not None and now >= self._next_open:
            actions += self._open_watch(now)
        return actions

    def _on_silence(self, now: float) -> list[Action]:
        """The current watch is silent. At a service this may hit the whole fleet, so the delay is random."""
        self._next_open = now if self._policy.agent else now + self._rng.uniform(0.0, RECONNECT_SPREAD)
        return self._log_once(f"the watch on discovery has been silent for {now - self._last_line_at:.1f} s")

    def _log_once(self, text: str) -> list[Action]:
        """Log a failure, but only the first one until a watch receives a line."""
        logged, self._failure_logged = self._failure_logged, True
        return [] if logged else [LogLine(text)]

    def _open_watch(self, now: float) -> list[Action]:
        """Open a watch. While an agent does not answer, more are opened beside it."""
        actions: list[Action] = []
        self._next_open = (
            now + AGENT_RETRY_INTERVAL * self._rng.uniform(0.8, 1.2) if self._policy.agent else None
        )
        if any(pending.receiving for pending in self._pending.values()):
            return actions  # a long list is being received
        if len(self._pending) >= MAX_PENDING:
            oldest = next(iter(self._pending))
            del self._pending[oldest]
            actions.append(Close(oldest))
        self._last_id += 1
        self._pending[self._last_id] = _PendingWatch(now)
        return [*actions, Open(self._last_id)]

    def _schedule_retry(self, now: float, crowded: bool = False) -> None:
        """Schedule a retry, unless one is due sooner. `crowded`: the service rejected the request."""
        at = now + self._backoff.wait(OVERLOADED_MAX_WAIT if crowded and not self._policy.agent else 0.0)
        if self._next_open is None or at < self._next_open:
            self._next_open = at

    def bytes_received(self, watch: int, now: float) -> None:
        """Part of a line has arrived. The head of a response does not count."""
        if (pending := self._pending.get(watch)) is not None:
            pending.last_activity, pending.receiving = now, True

    def line_received(self, watch: int, now: float) -> list[Action]:
        """A whole line has arrived, with content or empty."""
        if watch == self._current:
            self._last_line_at = now  # pending watches go on: this one may have missed lines
            if not self._pending and self._next_open is None:
                self._failure_logged = False
            return []
        if watch not in self._pending:
            return []
        del self._pending[watch]
        others = ([] if self._current is None else [self._current]) + list(self._pending)
        self._pending.clear()
        logged: list[Action] = (
            [LogLine("the watch on discovery is open again")] if self._failure_logged else []
        )
        self._current, self._last_line_at, self._next_open, self._failure_logged = watch, now, None, False
        self._backoff.reset()
        return [*logged, *(Close(other) for other in others)]

    def watch_ended(self, watch: int, how: End, now: float, why: str = "") -> list[Action]:
        """A watch has ended or could not be opened; `why` is for the log."""
        if watch == self._current:
            self._current = None
        elif self._pending.pop(watch, None) is None:
            return []
        if not self._pending or self._policy.agent:
            self._schedule_retry(now, how is End.REJECTED)
        return self._log_once(f"the watch on discovery {how.value}{why and f' ({why})'}: another is opened")

    def address_changed(self, now: float) -> list[Action]:
        """The address has changed: close pending watches. The current one stays until another has a line."""
        pending, self._next_open = list(self._pending), now
        self._pending.clear()
        self._backoff.reset()  # no failures at the new address
        return [Close(watch) for watch in pending]
