"""A connection to a Redis, and the calls that are in flight on it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Protocol, cast

import hiredis

from lynxreel.log import log
from lynxreel.protocol import redis as wire
from lynxreel.protocol.address import Address
from mothgap.interface import Result

MAX_PARTIAL_REPLY = 256 * 1024  # bytes of an incomplete reply; no reply to a counter command is longer


class CallReceiver(Protocol):
    """What a connection tells about its calls."""

    def replied(self, connection: Connection, call: Call, replies: list[Any]) -> None:
        """All replies to a call have arrived."""

    def end(self, call: Call, result: Result, total: float = 0.0) -> None:
        """A call has ended without a reply."""


class Call:
    """A call. It stays in the queue of its name until its outcome has been posted."""

    __slots__ = (
        "amount",
        "called_at",
        "ended_at",
        "hops",
        "key",
        "lifetime_ms",
        "name",
        "outcome_known",
        "result",
        "timer",
        "total",
    )

    def __init__(self, name: int, key: bytes, amount: float, lifetime_ms: int, called_at: float) -> None:
        self.name, self.key, self.amount, self.lifetime_ms, self.called_at = (
            name,
            key,
            amount,
            lifetime_ms,
            called_at,
        )
        self.hops = 0
        self.outcome_known = False  # also after a timeout
        self.ended_at = 0.0
        self.result, self.total = Result.RESET, 0.0
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """A connection. Replies come in the order of `written`: to calls, and to other commands (futures)."""

    def __init__(self, counter: CallReceiver, address: Address, loop: asyncio.AbstractEventLoop) -> None:
        self._counter, self.address, self._loop = counter, address, loop
        self._reader = hiredis.Reader(replyError=wire.ErrorReply)
        self._partial_bytes = 0
        self._parts: list[Any] = []
        self.transport: asyncio.Transport | None = None
        self.written: deque[Call | asyncio.Future[Any]] = deque()
        self.last_received = 0.0
        self.lost = asyncio.Event()
        self._unwritten = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self.last_received = self._loop.time()

    def pause_writing(self) -> None:
        """Note that bytes are still buffered in this process."""
        self._unwritten = True

    def resume_writing(self) -> None:
        """Note that all bytes have been passed to the kernel."""
        self._unwritten = False

    def usable(self) -> bool:
        """Return whether it can take a call."""
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, *words: bytes | str | int) -> asyncio.Future[Any]:
        """Send a command other than a call; the future gets its reply or its error."""
        future: asyncio.Future[Any] = self._loop.create_future()
        assert self.transport is not None
        self.written.append(future)
        self.transport.write(wire.command(*words))
        return future

    def send_call(self, call: Call, asking: bool = False) -> None:
        """Send a call, after ASKING if the slot is being migrated to this node."""
        assert self.transport is not None
        if asking:
            self.ask("ASKING").add_done_callback(lambda done: done.cancelled() or done.exception())
        self.written.append(call)
        self.transport.write(wire.add(call.key, call.amount, call.lifetime_ms))

    def data_received(self, data: bytes) -> None:
        """Match the replies to calls and commands, in the order in which these were written."""
        self.last_received = self._loop.time()
        self._partial_bytes += len(data)
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not False:
                self._partial_bytes = 0
                self._process_reply(reply)
        except (hiredis.ProtocolError, IndexError) as error:
            log(f"the counter at {self.address[0]}:{self.address[1]} sent an invalid reply: {error!r}")
            self.drop()
        if self._partial_bytes > MAX_PARTIAL_REPLY:
            self.drop()

    def _process_reply(self, reply: Any) -> None:
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
        """Abort the connection: it is dead, or its replies can no longer be matched to calls."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """End all calls. Those written may have been added, but not the last one if its bytes are unsent."""
        self.transport = None
        self.lost.set()
        unsent = self.written[-1] if self._unwritten and self.written else None
        for entry in self.written:
            if isinstance(entry, asyncio.Future):
                if not entry.done():
                    entry.set_exception(ConnectionResetError())
            else:
                self._counter.end(entry, Result.CONNECT_FAILED if entry is unsent else Result.RESET)
