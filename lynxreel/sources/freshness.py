"""Decides when watches on the list of boxes are opened, opened again and closed.

No I/O: events of the sockets go in, actions come out; the caller passes the clock and the random generator.
Times are seconds on a monotonic clock.

A watch is alive while whole lines arrive; empty lines are heartbeats. If a watch has been silent for longer
than the time between two heartbeats, it is no longer trusted, but stays open: another is opened beside it,
and the old one is closed only when the new one has received a line. So the first line on either is processed.

A request that has no answer yet is not given up for being late: others are made beside it (`pending`). So an
answer is received whether the service answers slowly or has just come back.

The settings tell two kinds of service apart:

- an agent on this machine, to which lists are pushed. Requests to it are cheap. What it has counts as
  announced to this instance, whether or not a watch is open. Until it answers, requests are repeated within
  a fraction of the drain grace, whatever the size of the fleet.
- a service that the whole fleet calls, where a request may have to wait. Another request is made only if one
  has had no answer for a while, and after a delay that grows with failures and with the fleet
  (`backoff.fleet_mean_waits`). After any failure, requests are frequent enough for a change to arrive within
  6 s of its being available: the silence timeout, the reconnection span and one request together take less
  than that, and so do one delay and one request.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from lynxreel.backoff import OVERLOADED_MAX_WAIT, Backoff, fleet_mean_waits
from lynxreel.sources.pending import MAX_ANSWER_TIME, PendingWatches

SILENCE_TIMEOUT = 2.5  # seconds without a whole line; heartbeats come every 2 s
AGENT_RETRY_INTERVAL = 0.25  # seconds between requests to a silent agent; half of the usual drain grace
AGENT_RETRY_DELAY = 0.05  # seconds of the mean delay after an agent's watch has ended
AGENT_ANSWER_TIMEOUT = 1.0  # seconds without an answer from an agent after which it counts as late
MAX_AGENT_PENDING = 32  # concurrent requests to an agent: all of the last 6 s, and older ones
RECEIVING_TIMEOUT = 1.0  # seconds since the last part of a line in which an agent is not asked again
SERVICE_ANSWER_TIMEOUT = 2.25  # seconds without an answer from a service after which another is requested
MAX_SERVICE_PENDING = 4  # concurrent requests of an instance to a service
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


class Freshness:
    """Decides which watches are open; the current one provides the list."""

    def __init__(self, policy: WatchPolicy, rng: random.Random) -> None:
        self._rng = rng
        self._backoff = Backoff(1.0, 1.0, rng)
        self._last_id = 0
        self._pending = PendingWatches()
        self._current: int | None = None  # the one that received a line last
        self._address_epoch = 0  # how often the address has changed
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
        times = []
        if self._pending:
            times.append(self._pending.first_activity + MAX_ANSWER_TIME)
            if not self._failure_logged:
                times.append(self._pending.first_activity + self._answer_timeout)
        if self._next_open is not None:
            times.append(self._next_open)
        elif self._pending:
            times.append(self._pending.last_activity + self._answer_timeout)
        elif self._current is not None:
            times.append(self._last_line_at + SILENCE_TIMEOUT)
        return min(times, default=None)

    @property
    def _answer_timeout(self) -> float:
        return AGENT_ANSWER_TIMEOUT if self._policy.agent else SERVICE_ANSWER_TIMEOUT

    def tick(self, now: float) -> list[Action]:
        """Return what is due: react to answers that are late and to silence, open the next watch."""
        actions: list[Action] = []
        if self._pending:
            actions += self._on_late_answers(now)
        idle = self._current is not None and not self._pending and self._next_open is None
        if idle and now >= self._last_line_at + SILENCE_TIMEOUT:
            actions += self._on_silence(now)
        if self._next_open is not None and now >= self._next_open:
            actions += self._open_watch(now)
        return actions

    def _on_late_answers(self, now: float) -> list[Action]:
        """Request another answer beside those that are late; close the watches that have waited too long."""
        logged: list[Action] = []
        if now >= self._pending.first_activity + self._answer_timeout:
            logged = self._log_once("discovery gives no answer")
        if self._next_open is None and now >= self._pending.last_activity + self._answer_timeout:
            self._schedule_retry(now)
        return [*logged, *(Close(watch) for watch in self._pending.expire(now))]

    def _on_silence(self, now: float) -> list[Action]:
        """The current watch is silent. At a service this may hit the whole fleet, so the delay is random."""
        self._next_open = now if self._policy.agent else now + self._rng.uniform(0.0, RECONNECT_SPREAD)
        return self._log_once(f"the watch on discovery has been silent for {now - self._last_line_at:.1f} s")

    def _log_once(self, text: str) -> list[Action]:
        """Log a failure, but only the first one until a watch receives a line."""
        logged, self._failure_logged = self._failure_logged, True
        return [] if logged else [LogLine(text)]

    def _open_watch(self, now: float) -> list[Action]:
        """Open a watch, and schedule the next one if an agent is asked; make room for it if there is none."""
        agent = self._policy.agent
        self._next_open = now + AGENT_RETRY_INTERVAL * self._rng.uniform(0.8, 1.2) if agent else None
        if self._pending.receiving_since(now - RECEIVING_TIMEOUT, self._address_epoch):
            return []  # a long list is being received
        removed = self._pending.make_room(MAX_AGENT_PENDING if agent else MAX_SERVICE_PENDING, now)
        self._last_id += 1
        self._pending.add(self._last_id, now, self._address_epoch)
        return [*(Close(watch) for watch in removed), Open(self._last_id)]

    def _schedule_retry(self, now: float, crowded: bool = False) -> None:
        """Schedule a retry, unless one is due sooner. `crowded`: the service rejected the request."""
        at = now + self._backoff.wait(OVERLOADED_MAX_WAIT if crowded and not self._policy.agent else 0.0)
        if self._next_open is None or at < self._next_open:
            self._next_open = at

    def bytes_received(self, watch: int, now: float) -> None:
        """Part of a line has arrived. The head of a response does not count."""
        self._pending.bytes_received(watch, now)

    def line_received(self, watch: int, now: float) -> list[Action]:
        """A whole line has arrived, with content or empty."""
        if watch == self._current:
            self._last_line_at = now  # pending watches go on: this one may have missed lines
            if not self._pending and self._next_open is None:
                self._failure_logged = False
            return []
        pending = self._pending.remove(watch)
        if pending is None:
            return []
        others = [] if self._current is None else [self._current]
        others += self._pending.remove_up_to(pending.address_epoch)
        closed: list[Action] = [Close(other) for other in others]
        self._current, self._last_line_at = watch, now
        if pending.address_epoch < self._address_epoch:
            if self._next_open is None and not self._pending.has_any_at(self._address_epoch):
                self._next_open = now
            return closed  # it tells what a former address has, until the present one answers
        logged = self._log_answer(now - pending.opened_at)
        self._next_open, self._failure_logged = None, False
        self._backoff.reset()
        return logged + closed

    def _log_answer(self, answer_time: float) -> list[Action]:
        """Log that a watch is open again, and an answer that took long."""
        logged: list[Action] = []
        if self._failure_logged:
            logged.append(LogLine("the watch on discovery is open again"))
        if answer_time >= self._answer_timeout:
            logged.append(LogLine(f"discovery is slow: it answered after {answer_time:.1f} s"))
        return logged

    def watch_ended(self, watch: int, how: End, now: float, why: str = "") -> list[Action]:
        """A watch has ended or could not be opened; `why` is for the log."""
        if watch == self._current:
            self._current = None
        else:
            pending = self._pending.remove(watch)
            if pending is None or pending.address_epoch < self._address_epoch:
                return []
        rejected = how is End.REJECTED
        if self._policy.agent or rejected or not self._pending.has_any_at(self._address_epoch):
            self._schedule_retry(now, rejected)
        return self._log_once(f"the watch on discovery {how.value}{why and f' ({why})'}: another is opened")

    def address_changed(self, now: float) -> None:
        """The address has changed. Watches at former ones stay until one at the new address has a line."""
        self._address_epoch += 1
        self._next_open = now
        self._backoff.reset()  # no failures at the new address
