"""Runs `CounterMonitor` between the engine and a counter client, with one timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from lynxreel.log import log
from lynxreel.metering.trust import Action, Call, CounterMonitor, Forward, StateChange
from mothgap.interface import Counted, CountedLate

Post = Callable[[Counted | CountedLate], None]


class CounterClient(Protocol):
    """A client of the counter service, whatever its protocol."""

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """Add to a name; exactly one Counted follows."""


class MonitoredCounter:
    """A counter whose totals are monitored; the engine uses it like any other counter."""

    def __init__(
        self, monitor: CounterMonitor, post: Post, now: Callable[[], int], loop: asyncio.AbstractEventLoop
    ) -> None:
        self.counter: CounterClient
        self._monitor, self._post, self._now, self._loop = monitor, post, now, loop
        self._elapsed = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0

    def status(self) -> dict[str, Any]:
        """The counter's state for operators, by the keys of the status document."""
        monitor = self._monitor
        return {
            "state": monitor.state.value,
            "losses": monitor.losses,
            "given_back": round(monitor.restored, 3),
        }

    def describe(self, name: int) -> dict[str, float]:
        """What is known of a name, for operators; empty where it is not known."""
        return self._monitor.describe(name)

    def start(self) -> None:
        """Start sending beats; `counter` has to be set before."""
        self._on_timer()

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """Add to a name on behalf of the decision module."""
        self._monitor.on_call(self._now(), name, amount, lifetime)
        self.counter.add(name, amount, lifetime)

    def on_answer(self, event: Counted | CountedLate) -> None:
        """Take an answer of the counter, and post to the engine what the module is to get."""
        if isinstance(event, CountedLate):
            self._monitor.on_late_total(self._now(), event.name, event.amount)
            self._post(event)
            return
        self._elapsed = event.elapsed
        self._execute(self._monitor.on_answer(self._now(), event.name, event.result, event.total))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Forward():
                    self._post(Counted(action.name, action.result, self._elapsed, action.total))
                case Call():
                    self.counter.add(action.name, action.amount, action.lifetime)
                case StateChange():
                    log(f"the counter is {action.state.value}: {action.why}")
        self._set_timer()

    def _set_timer(self) -> None:
        """Set the timer, or move it to an earlier time where that is needed."""
        due = self._monitor.due()
        if self._timer is None or self._timer_due > due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = due
            self._timer = self._loop.call_later(max(0, due - self._now()) / 1e6, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._execute(self._monitor.on_timer(self._now()))

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
