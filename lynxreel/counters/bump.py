"""Calls to the counter service, pipelined on a few lasting connections."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from mothgap.interface import Counted, CountedLate, Result

CONNECTIONS = 2
RETRY = 0.05  # seconds before a second try to connect in a row; doubled up to MOST_RETRY
MOST_RETRY = 0.4
TEND = 0.5  # seconds between looks at a connection
PING_AFTER = 2.0  # seconds of silence after which a ping keeps a connection up: it idles out within 10 s
DEAD_AFTER = 1.0  # seconds that the oldest call may stay unanswered: longer than any queue of the counter's
MOST_LINE = 256  # bytes; a longer line is no answer


class _Call:
    """One call; it keeps its place in the line when it has timed out. A ping has no name."""

    __slots__ = ("amount", "at", "name", "over", "text", "timer")

    def __init__(self, name: int | None, amount: float, text: bytes, at: float) -> None:
        self.name, self.amount, self.text, self.at = name, amount, text, at
        self.over = name is None
        self.timer: asyncio.TimerHandle | None = None


class _Connection(asyncio.Protocol):
    """One connection, and the calls on it in order."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._buffer = b""
        self._unwritten = False
        self.proven = False  # it has answered
        self.retired = False  # carries no new calls, and is closed when those on it are answered
        self.written: deque[_Call] = deque()
        self.transport: asyncio.Transport | None = None
        self.heard = 0.0
        self.lost = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=0)  # pause_writing then tells of every byte not written
        self.transport = transport
        self.heard = self._counter.loop.time()

    def pause_writing(self) -> None:
        """Bytes wait in this process."""
        self._unwritten = True

    def resume_writing(self) -> None:
        """All bytes have left."""
        self._unwritten = False

    def usable(self) -> bool:
        """False where the other end has closed it, though it has not been told: a write would be lost."""
        return self.transport is not None and not self.transport.is_closing() and not self.retired

    def retire(self) -> None:
        """Another one stands in its place."""
        self.retired = True
        self._counter.loop.call_later(DEAD_AFTER if self.written else 0, self.drop)

    def write(self, call: _Call) -> None:
        """Send a call."""
        assert self.transport is not None
        self.written.append(call)
        self.transport.write(call.text)

    def data_received(self, data: bytes) -> None:
        """Answers, in the order of the calls; also those that come too late have their place."""
        self.heard = self._counter.loop.time()
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            if not self.written or not self._counter.answered(self.written.popleft(), line):
                self.drop()
                return
            self.proven = True
        if len(self._buffer) > MOST_LINE or (self.retired and not self.written):
            self.drop()

    def drop(self) -> None:
        """Close: it is dead, or what it says can't be matched to calls any more."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Calls that were written may have been added; with the last bytes still here, the last was not."""
        self.transport = None
        self.lost.set()
        if self._unwritten and self.written:
            self._counter.end(self.written.pop(), Result.CONNECT_FAILED)
        for call in self.written:
            self._counter.end(call, Result.RESET)


class Counter:
    """The counter service, as the module calls it."""

    def __init__(
        self,
        address: tuple[str, int],
        time_limit: int,
        post: Callable[[Counted | CountedLate], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.loop = loop
        self._address, self._limit, self._post = address, time_limit / 1e6, post
        self._lines: list[_Connection | None] = [None] * CONNECTIONS
        self.up = asyncio.Event()  # it has been reached since the start
        self._out: dict[int, tuple[_Connection, int]] = {}  # name: where its last call is out, and how many
        self._tasks = [loop.create_task(self._keep(number)) for number in range(CONNECTIONS)]

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """One call; one `Counted` follows, and `CountedLate` where its total comes after that.

        A name with calls out keeps to its connection, and their order.
        """
        life = max(1, math.ceil(lifetime / 1_000))
        call = _Call(name, amount, b"bump %x %.6f %d\r\n" % (name, amount, life), self.loop.time())
        line = self.line_of(name)
        if line is None:
            self.end(call, Result.CONNECT_FAILED)
            return
        call.timer = self.loop.call_later(self._limit, self.end, call, Result.TIMEOUT)
        self._out[name] = (line, self._out[name][1] + 1 if name in self._out else 1)
        line.write(call)

    def line_of(self, name: int) -> _Connection | None:
        """The connection for a name: while its own is down, another one."""
        line = self._out[name][0] if name in self._out else self._lines[name % CONNECTIONS]
        if line is not None and line.usable():
            return line
        return next((line for line in self._lines if line is not None and line.usable()), None)

    def adopt(self, time_limit: int) -> None:
        """Wait for so many microseconds from the next call on."""
        self._limit = time_limit / 1e6

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address. Calls that are out end where they are; new ones follow when it is up."""
        if address == self._address:
            return
        self._address = address
        for task in self._tasks:
            task.cancel()
        self._tasks = [self.loop.create_task(self._keep(number)) for number in range(CONNECTIONS)]

    def answered(self, call: _Call, line: bytes) -> bool:
        """Take an answer; false where it is none."""
        word, _, rest = line.partition(b" ")
        if call.name is None:
            return line == b"pong"
        if word == b"ok":
            try:
                total = float(rest)
            except ValueError:
                total = math.nan
            if math.isfinite(total):
                if call.over:
                    self._post(CountedLate(call.name, call.amount, total))
                self.end(call, Result.OK, total)
                return True
        elif word in (b"busy", b"error"):
            self.end(call, Result.FULL)
            return True
        self.end(call, Result.RESET)  # garbage: it may have been added
        return False

    def end(self, call: _Call, result: Result, total: float = 0.0) -> None:
        """A call's one outcome."""
        if call.over or call.name is None:
            return
        call.over = True
        if call.timer is not None:
            call.timer.cancel()
            line, count = self._out.pop(call.name)
            if count > 1:
                self._out[call.name] = (line, count - 1)
        self._post(Counted(call.name, result, int((self.loop.time() - call.at) * 1e6), total))

    async def _keep(self, number: int) -> None:
        """Keep one connection up: connect again when it ends, keep it from idling out, end it when dead.

        At once when one that had answered ends: its names would go uncounted. Later and later after that, as
        one that is reset at once must not make the loop spin.
        """
        pause = 0.0
        while True:
            try:
                async with asyncio.timeout(1.0):
                    _, line = await self.loop.create_connection(lambda: _Connection(self), *self._address)
                before, self._lines[number] = self._lines[number], line
                self.up.set()
                if before is not None:
                    before.retire()
                await self._tend(line)
                if line.proven:
                    pause = 0.0
            except OSError:  # a time-out is one, too
                pass
            await asyncio.sleep(pause)
            pause = min(MOST_RETRY, pause * 2 or RETRY)

    async def _tend(self, line: _Connection) -> None:
        while not line.lost.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(TEND):
                    await line.lost.wait()
            now = self.loop.time()
            if line.written and now - line.written[0].at > DEAD_AFTER:
                line.drop()
            elif not line.written and now - line.heard > PING_AFTER and line.usable():
                line.write(_Call(None, 0.0, b"ping\r\n", now))

    def close(self) -> None:
        """The end of the process."""
        for task in self._tasks:
            task.cancel()
        for line in self._lines:
            if line is not None:
                for call in list(line.written):
                    self.end(call, Result.RESET)  # now: what another one answers comes later
                line.drop()
