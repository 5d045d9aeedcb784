"""A counter over the Redis protocol: one server, a cluster, or a primary that Sentinels name.

The parser is hiredis; the client is the project's own, as it only pipelines one kind of call (see
docs/design/counter.md for what a ready one costs).
"""

from __future__ import annotations

import asyncio
import bisect
import math
import ssl
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import hiredis

from lynxreel.log import log
from lynxreel.protocol import redis as wire
from lynxreel.protocol.address import Address
from mothgap.interface import Counted, CountedLate, Result

CONNECT = 1.0  # seconds for a connection, its greeting included
RETRY, MOST_RETRY = 0.05, 1.0  # seconds between tries to connect, doubled from one to the other
TEND = 0.5  # seconds between looks at a connection
PING_AFTER = 2.0  # seconds of silence after which a ping shows whether it lives
DEAD_AFTER = 1.0  # seconds that the oldest call may stay unanswered
MOST_UNREAD = 256 * 1024  # bytes of a reply that is not whole; a longer one is none of a counter's
CLOCK_PATIENCE = 0.05  # seconds for the primary's clock
CLOCK_STEP = 2_000  # microseconds by which it must differ from what is known of it to be told
MOST_HOPS = 3  # redirects of one call


@dataclass(frozen=True)
class Tls:
    """TLS, by files in PEM form; no CA file means the system's, no key no client certificate."""

    ca: str = ""
    certificate: str = ""
    key: str = ""
    server_name: str = ""

    def context(self) -> ssl.SSLContext:
        """What connections are made with; an OSError where a file can't be used."""
        made = ssl.create_default_context(cafile=self.ca or None)
        if self.certificate:
            made.load_cert_chain(self.certificate, self.key or None)
        return made


@dataclass(frozen=True)
class Options:
    """How to reach it. `sentinel` is the primary's name where the addresses are Sentinels'."""

    addresses: tuple[Address, ...]
    prefix: str = "lynxreel:"
    cluster: bool = False
    sentinel: str = ""
    protocol: int = 3
    username: str = ""
    password: str = ""
    database: int = 0
    tls: Tls | None = None


class _Call:
    """One call; it keeps its place in its name's order until it has ended."""

    __slots__ = ("amount", "at", "ended", "hops", "key", "life", "name", "over", "result", "timer", "total")

    def __init__(self, name: int, key: bytes, amount: float, life: int, at: float) -> None:
        self.name, self.key, self.amount, self.life, self.at = name, key, amount, life, at
        self.hops = 0
        self.over = False  # timed out, or ended
        self.ended = 0.0
        self.result, self.total = Result.RESET, 0.0
        self.timer: asyncio.TimerHandle | None = None


class _Line(asyncio.Protocol):
    """One connection: a greeting, then calls in order. A place in the order is a call, or a future."""

    def __init__(self, counter: RedisCounter, address: Address) -> None:
        self._counter, self.address = counter, address
        self._reader = hiredis.Reader(replyError=wire.ErrorReply)
        self._unread = 0
        self._parts: list[Any] = []
        self.transport: asyncio.Transport | None = None
        self.written: deque[_Call | asyncio.Future[Any]] = deque()
        self.skip = 0  # replies to ASKING that come before the next call's
        self.heard = 0.0
        self.lost = asyncio.Event()
        self._unwritten = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.heard = self._counter.loop.time()

    def pause_writing(self) -> None:
        """Bytes wait in this process."""
        self._unwritten = True

    def resume_writing(self) -> None:
        """All bytes have left."""
        self._unwritten = False

    def usable(self) -> bool:
        """Whether it can carry a call."""
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, *words: bytes | str | int) -> asyncio.Future[Any]:
        """One command that is no call; its reply, or its error."""
        future: asyncio.Future[Any] = self._counter.loop.create_future()
        assert self.transport is not None
        self.written.append(future)
        self.transport.write(wire.command(*words))
        return future

    def carry(self, call: _Call, asking: bool = False) -> None:
        """Send a call."""
        assert self.transport is not None
        if asking:
            self.ask("ASKING").add_done_callback(lambda done: done.cancelled() or done.exception())
        self.written.append(call)
        self.transport.write(wire.add(call.key, call.amount, call.life))

    def data_received(self, data: bytes) -> None:
        """Replies, in the order of what was written."""
        self.heard = self._counter.loop.time()
        self._unread += len(data)
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                self._unread = 0
                self._take(reply)
        except (hiredis.ProtocolError, IndexError) as wrong:
            log(f"the counter at {self.address[0]}:{self.address[1]} sent what is no reply: {wrong!r}")
            self.drop()
        if self._unread > MOST_UNREAD:
            self.drop()

    def _take(self, reply: Any) -> None:
        head = self.written[0]
        if isinstance(head, asyncio.Future):
            self.written.popleft()
            if not head.done():
                if isinstance(reply, Exception):
                    head.set_exception(reply)
                else:
                    head.set_result(reply)
            return
        self._parts.append(reply)
        if len(self._parts) == wire.REPLIES_PER_CALL:
            self.written.popleft()
            parts, self._parts = self._parts, []
            self._counter.replied(self, head, parts)

    def drop(self) -> None:
        """Close: it is dead, or what it says can't be matched to calls any more."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """What was written may have been added; with the last bytes still here, the last was not."""
        self.transport = None
        self.lost.set()
        unsent = self.written[-1] if self._unwritten and self.written else None
        for held in self.written:
            if isinstance(held, asyncio.Future):
                if not held.done():
                    held.set_exception(ConnectionResetError())
            else:
                self._counter.end(held, Result.CONNECT_FAILED if held is unsent else Result.RESET)


class RedisCounter:
    """The counter, as the engine calls it; see `lynxreel.engine.engine.Counter`."""

    def __init__(
        self,
        options: Options,
        time_limit: int,
        post: Callable[[Counted | CountedLate], None],
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int] | None = None,
        shifted: Callable[[int], None] | None = None,
    ) -> None:
        """`now` is the gateway's clock in microseconds; `shifted` hears how far the primary's is ahead."""
        self.loop = loop
        self._now, self._shifted, self._shift = now, shifted, 0
        self._options, self._limit, self._post = options, time_limit / 1e6, post
        self._tls = options.tls.context() if options.tls is not None else None
        self._lines: dict[Address, _Line] = {}
        self._tasks: dict[Address, asyncio.Task[None]] = {}
        self._primary: Address | None = None  # where there is no cluster
        self._ranges: list[tuple[int, int, Address]] = []  # of slots, where there is one
        self._order: dict[int, deque[_Call]] = {}  # calls of each name that have not been told
        self._finder = loop.create_task(self._find())
        self._look = asyncio.Event()  # the map, or the primary, is to be asked for again

    # --- calls ------------------------------------------------------------------------------------------

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """One call; one `Counted` follows, in the order of the name's calls, and perhaps a `CountedLate`."""
        key = b"%b%x" % (self._options.prefix.encode(), name)
        call = _Call(name, key, amount, max(1, math.ceil(lifetime / 1_000)), self.loop.time())
        self._order.setdefault(name, deque()).append(call)
        line = self._line_for(key)
        if line is None:
            self.end(call, Result.CONNECT_FAILED)
            return
        call.timer = self.loop.call_later(self._limit, self.end, call, Result.TIMEOUT)
        line.carry(call)

    def _line_for(self, key: bytes) -> _Line | None:
        if not self._options.cluster:
            address = self._primary
        else:
            number = wire.slot(key)
            place = bisect.bisect_right(self._ranges, (number, wire.SLOTS, ("", 0))) - 1
            address = None
            if place >= 0 and self._ranges[place][0] <= number <= self._ranges[place][1]:
                address = self._ranges[place][2]
        line = self._lines.get(address) if address is not None else None
        return line if line is not None and line.usable() else None

    def replied(self, line: _Line, call: _Call, replies: list[Any]) -> None:
        """All replies to a call are here."""
        told = wire.outcome(replies)
        if isinstance(told, wire.Redirect):
            self._redirect(call, told)
            return
        if told.result is Result.OK and call.over:
            self._post(CountedLate(call.name, call.amount, told.total))
        self.end(call, told.result, told.total)
        if told.drop_connection:
            self._look.set()
            line.drop()

    def _redirect(self, call: _Call, to: wire.Redirect) -> None:
        """Nothing was added: it goes where its slot is, if its time is not up."""
        address = (to.address[0] or next(iter(self._lines), ("", 0))[0], to.address[1])
        if not to.ask:
            self._look.set()
            self._ranges = [*self._ranges]
            self._move_slot(to.slot, address)
        self._open(address)
        line = self._lines.get(address)
        call.hops += 1
        if call.over or call.hops > MOST_HOPS or line is None or not line.usable():
            self.end(call, Result.FULL)
            return
        line.carry(call, to.ask)

    def _move_slot(self, number: int, address: Address) -> None:
        """One slot has moved: the others of its range are where they were until the map says otherwise."""
        ranges = []
        for first, last, place in self._ranges:
            if first <= number <= last:
                ranges += [(first, number - 1, place)] if first < number else []
                ranges += [(number, number, address)]
                ranges += [(number + 1, last, place)] if number < last else []
            else:
                ranges.append((first, last, place))
        self._ranges = ranges

    def end(self, call: _Call, result: Result, total: float = 0.0) -> None:
        """A call's one outcome, told in its name's order."""
        if call.over:
            return
        call.over, call.result, call.total, call.ended = True, result, total, self.loop.time()
        if call.timer is not None:
            call.timer.cancel()
        waiting = self._order[call.name]
        while waiting and waiting[0].over:
            head = waiting.popleft()
            elapsed = int((head.ended - head.at) * 1e6)
            if not waiting:
                del self._order[call.name]
            self._post(Counted(head.name, head.result, elapsed, head.total))
            if call.name in self._order:
                waiting = self._order[call.name]

    def adopt(self, time_limit: int) -> None:
        """Wait for so many microseconds from the next call on."""
        self._limit = time_limit / 1e6

    # --- connections ------------------------------------------------------------------------------------

    async def _find(self) -> None:
        """Find where to call, and again whenever that has changed."""
        pause = RETRY
        while True:
            self._look.clear()
            try:
                async with asyncio.timeout(CONNECT):
                    await self._learn()
                pause = RETRY
            except (OSError, ValueError, wire.ErrorReply) as wrong:
                log(f"the counter can't be found: {wrong!r}")
                await asyncio.sleep(pause)
                pause = min(MOST_RETRY, 2 * pause)
                continue
            await self._look.wait()
            await asyncio.sleep(RETRY)

    async def _learn(self) -> None:
        options = self._options
        if options.cluster:
            self._ranges = await self._first(self._slots_at, [*self._lines, *options.addresses])
            for address in {address for _, _, address in self._ranges}:
                self._open(address)
        elif options.sentinel:
            found = await self._first(self._primary_at, list(options.addresses))
            if found != self._primary:
                log(f"the counter's primary is {found[0]}:{found[1]}")
            self._primary = found
            self._open(found)
        else:
            self._primary = options.addresses[0]
            self._open(self._primary)

    async def _first(self, ask: Callable[[Address], Any], addresses: list[Address]) -> Any:
        """The first answer that any of them gives."""
        problem: Exception = ValueError("no address answers")
        for address in dict.fromkeys(addresses):
            try:
                return await ask(address)
            except (OSError, ValueError, wire.ErrorReply) as wrong:
                problem = wrong
        raise problem

    async def _slots_at(self, address: Address) -> list[tuple[int, int, Address]]:
        line = self._lines.get(address)
        own = None if line is not None and line.usable() else await self._connect(address)
        try:
            found = wire.slot_map(await (own or cast(_Line, line)).ask("CLUSTER", "SLOTS"), address)
        finally:
            if own is not None:
                own.drop()
        if not found:
            raise ValueError("a map without slots")
        return found

    async def _primary_at(self, address: Address) -> Address:
        """What a Sentinel says, if the one that it names agrees that it is a primary."""
        sentinel = await self._connect(address, greet=False)
        try:
            reply = await sentinel.ask("SENTINEL", "GET-MASTER-ADDR-BY-NAME", self._options.sentinel)
        finally:
            sentinel.drop()
        if not isinstance(reply, list) or len(reply) != 2:
            raise ValueError(f"the Sentinel knows no {self._options.sentinel!r}")
        found = (reply[0].decode(), int(reply[1]))
        line = await self._connect(found)
        try:
            role = await line.ask("ROLE")
        finally:
            line.drop()
        if not isinstance(role, list) or role[0] != b"master":
            raise ValueError(f"{found[0]}:{found[1]} is no primary yet")
        return found

    async def _connect(self, address: Address, greet: bool = True) -> _Line:
        options = self._options
        name = options.tls.server_name or address[0] if options.tls is not None else None
        _, line = await self.loop.create_connection(
            lambda: _Line(self, address), *address, ssl=self._tls, server_hostname=name
        )
        if not greet:
            return line
        try:
            if options.protocol == 3:
                login = ["AUTH", options.username or "default", options.password] if options.password else []
                await line.ask("HELLO", 3, *login)
            elif options.password:
                await line.ask("AUTH", *filter(None, (options.username, options.password)))
            if options.database:
                await line.ask("SELECT", options.database)
        except BaseException:
            line.drop()
            raise
        return line

    def _open(self, address: Address) -> None:
        """Keep a connection to this address from now on."""
        if address not in self._tasks:
            self._tasks[address] = self.loop.create_task(self._keep(address))

    async def _keep(self, address: Address) -> None:
        pause = 0.0
        while True:
            try:
                async with asyncio.timeout(CONNECT):
                    line = await self._connect(address)
                self._lines[address] = line
                pause = 0.0
                await self._tend(line)
            except wire.ErrorReply as wrong:
                log(f"the counter at {address[0]}:{address[1]} refuses: {wrong}")
                pause = MOST_RETRY
            except OSError:  # a time-out is one, too
                pass
            self._lines.pop(address, None)
            if self._options.sentinel or self._options.cluster:
                self._look.set()  # it may be another one by now
                if address not in self._wanted():
                    del self._tasks[address]
                    return
            await asyncio.sleep(pause)
            pause = min(MOST_RETRY, pause * 2 or RETRY)

    def _wanted(self) -> set[Address]:
        found = {address for _, _, address in self._ranges}
        return found | ({self._primary} if self._primary is not None else set())

    async def _tend(self, line: _Line) -> None:
        while not line.lost.is_set():
            await self._read_clock(line)
            try:
                async with asyncio.timeout(TEND):
                    await line.lost.wait()
            except TimeoutError:
                now = self.loop.time()
                oldest = next((held for held in line.written if isinstance(held, _Call)), None)
                stuck = oldest is not None and now - oldest.at > DEAD_AFTER
                if stuck or now - line.heard > PING_AFTER + DEAD_AFTER:
                    line.drop()
                elif now - line.heard > PING_AFTER and not line.written and line.usable():
                    line.ask("PING").add_done_callback(lambda done: done.cancelled() or done.exception())

    async def _read_clock(self, line: _Line) -> None:
        """Learn how far the primary's clock is ahead. On a cluster all gateways go by the same node's.

        Guards quotas where gateways' clocks differ: windows are named by time, and two names at once would be
        two bursts. A reading that was long under way tells little, and is left out.
        """
        if self._now is None or self._shifted is None or line.address != min(self._wanted()):
            return
        before = self._now()
        try:
            async with asyncio.timeout(CLOCK_PATIENCE):
                seconds, micros = await line.ask("TIME")
            after = self._now()
            offset = int(seconds) * 1_000_000 + int(micros) - (before + after) // 2
        except (OSError, ValueError, TypeError, wire.ErrorReply):
            return
        if abs(offset - self._shift) > CLOCK_STEP + (after - before):
            self._shift = offset
            self._shifted(offset)

    def close(self) -> None:
        """The end of the process."""
        self._finder.cancel()
        for task in self._tasks.values():
            task.cancel()
        for waiting in list(self._order.values()):
            for call in list(waiting):
                self.end(call, Result.RESET)  # now: what another one answers comes later
        for line in self._lines.values():
            line.drop()
