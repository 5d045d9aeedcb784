"""A stand-in for the platform's counter: `bump NAME AMOUNT LIFE` over lines of text."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter as Sums
from collections import deque

from lynxreel.standins.base import Clock, Link, Listener
from lynxreel.standins.faults import Faults, Kind

MOST_LIFE = 60_000  # milliseconds
MOST_LINE = 256
HISTORY = 5.0  # seconds for which single adds are remembered: what a failover or a late replica may lack


class Counter:
    """Named totals with a life. `added` keeps what was added by name, also after a name's life."""

    def __init__(self, faults: Faults, clock: Clock) -> None:
        self.added: Sums[str] = Sums()
        self.calls = 0
        self._totals: dict[str, tuple[float, float]] = {}  # total, and when the name's life ends
        self._adds: deque[tuple[float, str, float]] = deque()  # when, name, amount
        self._random = random.Random(1)
        self._faults, self._clock = faults, clock
        self._loop = asyncio.get_running_loop()
        self.listener = Listener("counter", faults, clock, lambda listener: _CounterLink(listener, self))

    def bump(self, name: str, amount: float, life: int) -> float:
        """Add; the total."""
        now = self._clock.now()
        total, until = self._totals.get(name, (0.0, 0.0))
        if now >= until:
            total, until = 0.0, now + min(life, MOST_LIFE) / 1e3
        self._totals[name] = (total + amount, until)
        self._adds.append((now, name, amount))
        while self._adds[0][0] < now - HISTORY:
            self._adds.popleft()
        self.added[name] += amount  # type: ignore[assignment]
        self.calls += 1
        if self.calls % 10_000 == 0:
            self._totals = {n: entry for n, entry in self._totals.items() if entry[1] > now}
        return total + amount

    def forget(self) -> None:
        """Lose all totals, as a replacement that starts from nothing."""
        self._totals.clear()

    def lose(self, span: float) -> None:
        """Lose the adds of the last `span` seconds, as a failover to a replica does."""
        since = self._clock.now() - span
        while self._adds and self._adds[-1][0] > since:
            _, name, amount = self._adds.pop()
            total, until = self._totals.get(name, (0.0, 0.0))
            self._totals[name] = (total - amount, until)

    def evict(self, share: float) -> None:
        """Drop that share of the names, as under memory pressure."""
        for name in [name for name in self._totals if self._random.random() < share]:
            del self._totals[name]

    def _lacking(self, name: str, span: float) -> float:
        """What a replica that is so many seconds behind does not hold of a name."""
        since = self._clock.now() - span
        return sum(amount for at, held, amount in self._adds if held == name and at >= since)

    def answer(self, line: bytes) -> tuple[bytes, float] | None:
        """The answer to a line, and after how many seconds; None for none at all. Raises ConnectionError."""
        if line == b"ping":
            return b"pong\r\n", 0.0
        words = line.decode("latin-1").split(" ")
        try:
            _, name, amount, life = words
            added, span = float(amount), int(life)
        except ValueError:
            return b"error\r\n", 0.0
        if words[0] != "bump" or not 1 <= len(name) <= 64 or span < 1 or not math.isfinite(added):
            return b"error\r\n", 0.0
        if abs(added) > 1e9:
            return b"error\r\n", 0.0
        fault = self._faults.pick("counter", self._clock.now())
        kind = fault.kind if fault is not None else None
        if kind is Kind.REFUSE:
            return b"busy\r\n", 0.0
        total = self.bump(name, added, span)
        if kind is Kind.RESET:
            raise ConnectionError
        if kind is Kind.SILENT:
            return None
        if kind is Kind.SPOILT:
            return b"ok much\r\n", 0.0
        if fault is not None and kind is Kind.STALE:
            return b"ok %.7g\r\n" % (total - self._lacking(name, fault.delay)), 0.0
        if kind is Kind.WRONG:
            total = self._random.choice(list(self._totals.values()))[0]
        if kind is Kind.BACKWARDS:
            total *= self._random.random()
        delay = fault.delay if fault is not None and kind is Kind.SLOW else 0.0
        return b"ok %.7g\r\n" % total, delay


class _CounterLink(Link):
    """One connection. Answers keep the order of their calls."""

    def __init__(self, listener: Listener, counter: Counter) -> None:
        super().__init__(listener)
        self._counter = counter
        self._buffer = b""
        self._free_at = 0.0  # when the last delayed answer leaves: later ones wait behind it
        self._mute = False

    def data_received(self, data: bytes) -> None:
        """Take calls."""
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        loop = asyncio.get_running_loop()
        for line in lines:
            try:
                told = self._counter.answer(line)
            except ConnectionError:
                self.reset()
                return
            self._mute |= told is None
            if told is None or self._mute:
                continue  # behind one that is never answered nothing can be
            reply, delay = told
            self._free_at = max(self._free_at, loop.time() + delay)
            if self._free_at <= loop.time():
                self.write(reply)
            else:
                loop.call_at(self._free_at, self.write, reply)
        if len(self._buffer) > MOST_LINE:
            self.reset()
