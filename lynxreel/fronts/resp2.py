"""The RESP2 front: listeners and client connections; each connection is answered in order."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import cast

from lynxreel.engine.engine import RequestHandler
from lynxreel.engine.shutdown_report import ConnectionHistory, ShutdownReport
from lynxreel.fronts import connection_table
from lynxreel.fronts.calls import ARITY, FAILED, Call, CallRules, InvalidCall
from lynxreel.fronts.connection_table import ConnectionTable
from lynxreel.fronts.delivery import Delivery
from lynxreel.fronts.draining import Draining, DrainTimes
from lynxreel.fronts.lingering import LingeringClose
from lynxreel.fronts.listeners import Listener, ListenerFactory, OwnListenerFactory
from lynxreel.fronts.paused import PausedConnections
from lynxreel.fronts.turns import Turns
from lynxreel.fronts.value_writer import ValueWriter
from lynxreel.log import log
from lynxreel.protocol import resp
from lynxreel.relay.client_buffers import COMMAND_OVERHEAD, ClientBuffers, ClientInput, Reading
from lynxreel.relay.stream import Stream
from lynxreel.socket_queues import (
    enlarge_receive_buffer,
    has_unread,
    has_unsent,
    peer_has_closed,
    unread_bytes,
    undelivered_bytes,
)

MAX_COMMAND_STRINGS = 16  # strings in a command; more than any that clients and their libraries send
FIRST_COMMAND_TIMEOUT = 1.0  # seconds that a drain waits for a first command: longer than transit takes
MAX_OPEN_COMMANDS = 64  # commands of one connection that wait for answers; more are not read yet
READ_SIZE = 64 * 1024  # bytes of one read
MAX_WRITE_BYTES = 64 * 1024  # bytes of small answers in one write, so that more wait where they are counted
MAX_JOINED_BYTES = 1 << 18  # bytes of answers to commands read behind those, once new ones are refused
DEFAULT_BUFFERS = 16 << 20  # bytes of commands and answers that are held, over all connections
INVALID_COMMAND_PAUSE = (
    0.05  # seconds without reading after an invalid command, to limit the CPU time of repeats
)
FIRST_WINDOW_UPDATE = 0.05  # seconds after which a client that waits for room is read a little; then doubled


class Connection(asyncio.BufferedProtocol):
    """One client connection."""

    # Reasons to pause reading.
    QUEUE_FULL, AWAITING_TURN, ANSWERS_UNREAD, BUFFERS_FULL, INPUT_FULL, VALUE_ARRIVING = 1, 2, 4, 8, 16, 32
    OWN_DELAYS = AWAITING_TURN | BUFFERS_FULL | VALUE_ARRIVING  # no fault of the client

    def __init__(self, clients: Resp2Front) -> None:
        self._clients = clients
        self._reader = resp.Reader(MAX_COMMAND_STRINGS)
        self._pause_reasons = 0
        self._nothing_received = True  # no byte received yet
        self._history = ConnectionHistory.NEW  # as of before the bytes that are being read
        self._turn_queued_at = 0.0  # loop time at which it began to wait for its turn
        self._turn_delay = 0.0  # seconds that commands which have arrived have waited for turns
        self._taking_commands = False  # commands are being taken: it must not be closed between two of them
        self._input_closed = False  # nothing more is read; it is closed once all commands are answered
        self._cancelled = False  # the client has disconnected: its commands are given up
        self._values = ValueWriter(self, clients.loop)  # large answers
        self._held = 0  # bytes of open commands, of answers that wait, and of those in `_unsent`
        self._input = ClientInput(clients.buffers)
        self._window_update_in = 0.0  # seconds; 0 while input does not wait for room
        self._window_update_at = 0.0  # loop time
        self._unsent = 0  # bytes of small answers that were left in the transport when it was full
        self._unacknowledged = 0  # bytes that the client had not acknowledged when this was last looked at
        self.queue: deque[Call] = deque()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        self.transport = cast(asyncio.Transport, transport)
        self._clients.table.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer to read into: all connections share it, and its size bounds each read."""
        return self._clients.read_buffer[: self._input.read_size(READ_SIZE, self._held)]

    def buffer_updated(self, count: int) -> None:
        """This many bytes have been read."""
        self.data_received(bytes(self._clients.read_buffer[:count]))

    def data_received(self, data: bytes) -> None:
        """Take complete commands; buffer the rest, within bounds."""
        if self._clients.report is not None:
            self._history = self._current_history()
        self._nothing_received = False
        if not self._input_closed:
            self._reader.feed(data)
            self._values.arrivals.read(len(data))
            self._turn_delay = 0.0
            room = 0 if self.queue and self._clients.refusing else self._clients.turns.room()
            if room:
                self._clients.turns.took(self._read(room))
            else:
                self._count_input()
                self._wait_for_turn()

    def _current_history(self) -> ConnectionHistory:
        """Return what this connection has carried so far."""
        if self._nothing_received:
            return ConnectionHistory.NEW
        if self.queue:
            return ConnectionHistory.BUSY
        return ConnectionHistory.IDLE if self._reader.empty() else ConnectionHistory.HALF_READ

    def _read(self, limit: int) -> int:
        """Take up to `limit` commands as long as there is room for them and for more answers.

        Returns how many were taken. A client that has gone meanwhile is not served: its commands would begin
        at servers after its close.
        """
        if peer_has_closed(self.transport):
            self._discard_input()
            return 0
        taken = self._take_commands(limit)
        if taken:
            self._window_update_in = 0.0  # a later command waits for itself
        if self._input.held or not self._reader.empty():
            self._count_input()
        return taken

    def _take_commands(self, limit: int) -> int:
        room = min(limit, self._free_slots())
        if not room:
            self._pause_reading(self.QUEUE_FULL)
            return 0
        if self._held and not self._has_buffer_room():
            self._wait_for_buffers()
            return 0
        try:
            taken, invalid, more = self._take_complete(room)
        except resp.Malformed as error:
            self.reject(f"Protocol error: {error}")
            return room
        if not more and not self._reader.empty():
            self._clients.table.start_timeout(self, restart=taken > 0)
        elif taken and not self._pause_reasons & self.ANSWERS_UNREAD:
            self._clients.table.waiting_since.pop(self, None)
            if not self.queue:
                self._clients.table.mark_idle(self)
        if len(self.queue) >= MAX_OPEN_COMMANDS and not self._clients.refusing:
            self._pause_reading(self.QUEUE_FULL)
        if more and not self._has_buffer_room():
            self._wait_for_buffers()
        if invalid or (more and self._reader.pending):
            # A client that only sends invalid commands must not get more than its turn.
            self._wait_for_turn(INVALID_COMMAND_PAUSE if invalid else 0.0)
        if taken and not self.queue and self._clients.draining.closing:
            self._clients.draining.end(self)
        return taken

    def _wait_for_turn(self, pause: float = 0.0) -> None:
        """Pause reading for `pause` seconds, and until the other waiting connections had their turns."""
        if self._pause_reasons & self.AWAITING_TURN:
            return
        self._pause_reading(self.AWAITING_TURN)
        if pause:
            self._clients.loop.call_later(pause, self._queue_turn)
        else:
            self._queue_turn()

    def _queue_turn(self) -> None:
        self._turn_queued_at = self._clients.loop.time()
        self._clients.turns.wait(self)

    def take_turn(self, limit: int) -> int:
        """Take up to `limit` commands and resume reading; returns how many were taken."""
        self._pause_reasons &= ~self.AWAITING_TURN
        self._turn_delay += self._clients.loop.time() - self._turn_queued_at
        if self._input_closed or self._pause_reasons or self.transport.is_closing():
            return 0
        self._clients.paused.discard(self)
        taken = self._read(limit)
        if not self._pause_reasons and not self.transport.is_closing():
            self.transport.resume_reading()
        return taken

    def _discard_input(self) -> None:
        """Take nothing more; reading goes on to the end of the input."""
        self._input_closed = True
        self._reader = resp.Reader(MAX_COMMAND_STRINGS)
        self._input.update(0, 0)

    def _free_slots(self) -> int:
        """Return how many commands there is room for in the queue.

        Once new commands are refused, some are taken even behind a full queue: each is answered at once.
        Left unread until the queue is answered, they may be too many for the time that is left.
        """
        if not self._clients.refusing:
            return max(0, MAX_OPEN_COMMANDS - len(self.queue))
        joined_bytes = self._join_answers()
        return (
            MAX_OPEN_COMMANDS
            if len(self.queue) <= MAX_OPEN_COMMANDS + 1 and joined_bytes < MAX_JOINED_BYTES
            else 0
        )

    def _join_answers(self) -> int:
        """Merge the answers behind the last open command, to save memory. Returns their size in bytes."""
        answers = list[bytes]()
        while self.queue and isinstance(reply := self.queue[-1].reply, bytes):
            answers.append(reply)
            self._release(self.queue.pop().held)
        if not answers:
            return 0
        joined = Call(self)
        joined.reply = b"".join(reversed(answers))
        self._hold(joined, len(joined.reply))
        self.queue.append(joined)
        return len(joined.reply)

    def _take_complete(self, limit: int) -> tuple[int, bool, bool]:
        """Take up to `limit` complete commands.

        Returns how many were taken, whether one of them was invalid, and whether there may be more.
        """
        taken, invalid, strings = 0, False, None
        self._taking_commands = True
        try:
            while taken < limit and (not taken or self._has_buffer_room()):
                if (strings := self._reader.next()) is None:
                    break
                invalid |= not self._take(cast(list[bytes], strings))
                taken += 1
        finally:
            self._taking_commands = False
        return taken, invalid, strings is not None

    def _take(self, strings: list[bytes]) -> bool:
        """Handle one command; False if it is invalid."""
        call = Call(self)
        if (self.queue or self._unsent) and not self._clients.refusing:  # refusals are small
            call.reserved = self._clients.buffers.expected_answer
        self._hold(call, COMMAND_OVERHEAD + sum(map(len, strings)) + call.reserved)
        self.queue.append(call)
        self._clients.table.idle_since.pop(self, None)
        self._clients.table.deliveries.pop(self, None)
        if self._reader.skipped:
            call.refused(0)
            return True
        try:
            if strings[0] in ARITY:
                call.parse(strings, self._clients.terms)
                now = self._clients.loop.time()
                delay = self._turn_delay + self._values.arrivals.age(now, self._reader.pending)
                call.patience = max(1, call.patience - round(delay * 1e3))
                call.deadline = now + call.patience / 1e3
                call.request = self._clients.engine.submit(call)
                if not call.request:
                    # Rule 2: at a server, the id of an open request denotes a second copy of that request.
                    raise InvalidCall("the id is taken")
                if (report := self._clients.report) is not None:
                    report.request_read(call.id, call.cls, self._history, call.patience / 1e3)
                return True
            if strings[0].upper() != b"PING":
                raise InvalidCall("unknown command")
            self.set_reply(call, b"-DRAINING no new work\r\n" if self._clients.leaving else b"+PONG\r\n")
        except InvalidCall as error:
            self.set_reply(call, b"-ERR %b\r\n" % str(error).encode())
            self.flush()
            return False
        self.flush()
        return True

    def reject(self, reason: str) -> None:
        """Send a last error and close: what follows can't be parsed, or did not arrive in time."""
        self._discard_input()
        self._pause_reading(self.QUEUE_FULL)
        call = Call(self)
        self.queue.append(call)
        self.set_reply(call, b"-ERR %b\r\n" % reason.encode())
        self.flush()

    def set_reply(self, call: Call, reply: bytes | Stream) -> None:
        """Set the answer to a command; it is written when it is next in order."""
        call.reply = reply
        if self._cancelled:
            return
        size = 0
        if isinstance(reply, Stream):
            call.time_left = call.deadline - self._clients.loop.time()
        else:
            size = len(reply)
            if call.request:
                self._clients.buffers.record_answer(size)
        self._hold(call, size - call.reserved)
        call.reserved = 0

    def _hold(self, call: Call, size: int) -> None:
        """Count this many further bytes as held for a command; a negative number is released."""
        call.held += size
        self._held += size
        self._clients.buffers.held += size

    def _release(self, size: int) -> None:
        self._held -= size
        self._clients.buffers.held -= size
        self._clients.paused.wake_arrived()

    def _has_buffer_room(self) -> bool:
        """Whether one more command may be taken without holding too much, over all connections."""
        return self._clients.buffers.has_room(self._held)

    def _wait_for_buffers(self) -> None:
        """Read nothing until there is room."""
        self._pause_reading(self.BUFFERS_FULL)

    def resume_if_room(self) -> None:
        """Read on, in turn, if reading is paused for lack of room and there is some again."""
        if self._pause_reasons & self.BUFFERS_FULL and self._has_buffer_room():
            self._wait_for_turn()
            self._pause_reasons &= ~self.BUFFERS_FULL
        if self._pause_reasons & self.INPUT_FULL:
            self._resume_input()
        if self._pause_reasons & self.VALUE_ARRIVING:
            self._values.look_behind()

    def _count_input(self) -> None:
        """Count what has been read and not taken; without room, the rest of a command stays unread."""
        missing = self._reader.missing
        self._input.update(self._reader.held, missing)
        if missing and not self._pause_reasons and self._input.must_wait(self._held):
            self._wait_for_rest()

    def _wait_for_rest(self) -> None:
        if self._try_resume_input() is not Reading.WAIT:
            return
        if self._window_update_in:
            self._pause_reading(self.INPUT_FULL)
        else:
            self._schedule_window_update()  # the first one now: reading goes on, for a little

    def _try_resume_input(self) -> Reading:
        """Whether the rest of a command is read on; after too long a wait for room it is discarded."""
        arrived, now = unread_bytes(self.transport), self._clients.loop.time()
        reading = self._input.try_resume(self._reader.missing, arrived, self._held, now)
        if reading is Reading.WAIT and self._clients.refusing:
            reading = Reading.SKIP
        if reading is Reading.SKIP:
            self._reader.skip()
        if reading is not Reading.WAIT:
            self._window_update_in = 0.0
        return reading

    def _has_arrived(self) -> bool:
        """Whether a command or its rest is in the socket, and only this process is slow to read it."""
        if self._reader.empty():
            return has_unread(self.transport)
        return 0 < self._reader.missing <= (unread_bytes(self.transport) or 0)

    def _schedule_window_update(self) -> None:
        self._window_update_in = 2 * self._window_update_in or FIRST_WINDOW_UPDATE
        self._window_update_at = self._clients.loop.time() + self._window_update_in

    def _resume_input(self) -> None:
        """Read the rest of a command if it fits, or refuse it; or read a little, if that is due.

        A client that has gone meanwhile is not served: its command would begin at a server after its close.
        """
        if peer_has_closed(self.transport):
            self._clients.paused.discard_arrived(self)
            self.transport.abort()
            return
        if self._try_resume_input() is Reading.WAIT:
            if self._input.has_arrived:
                if not self.queue:
                    self._clients.paused.add_arrived(self)
                return
            if self._clients.loop.time() < self._window_update_at:
                return
            self._schedule_window_update()
            enlarge_receive_buffer(self.transport)
        self._clients.paused.discard_arrived(self)
        self._pause_reasons &= ~self.INPUT_FULL
        if not self._pause_reasons and not self._input_closed and not self.transport.is_closing():
            self._clients.paused.discard(self)
            self.transport.resume_reading()

    def flush(self) -> None:
        """Write the answers that are next in order, until the client has to read some of them first."""
        queue = self.queue
        while queue and not self._values.is_sending and not self._unsent:
            reply = queue[0].reply
            if reply is None:
                break
            if isinstance(reply, bytes):
                self._write_ready()
            elif reply.is_broken():
                self._fail_value(queue[0], reply)
            elif self._values.may_begin(reply, queue[0].time_left):
                self._begin_value(reply)
            else:
                break
        if self._values.is_sending:
            return
        if self._pause_reasons:
            self._resume_after_answers()
        if not self.queue:
            self._clients.table.mark_idle(self)
            if self._input_closed or self._clients.draining.closing:
                self._clients.draining.end(self)

    def _resume_after_answers(self) -> None:
        """Read on if answers have been written for whose commands reading was paused."""
        self.resume_if_room()
        if (
            self._pause_reasons & self.QUEUE_FULL
            and not self._input_closed
            and len(self.queue) <= MAX_OPEN_COMMANDS // 2
        ):
            self._resume_reading(self.QUEUE_FULL)

    def _write_ready(self) -> None:
        """Write answers that are next in order, as many as one write takes."""
        queue, call = self.queue, self.queue.popleft()
        data, held = call.reply, call.held
        assert isinstance(data, bytes)
        if queue and isinstance(queue[0].reply, bytes):
            ready, size = [data], len(data)
            while queue and size < MAX_WRITE_BYTES and isinstance(reply := queue[0].reply, bytes):
                held += queue.popleft().held
                ready.append(reply)
                size += len(reply)
            data = b"".join(ready)
        self._release(held)
        if not self.transport.is_closing():
            self.transport.write(data)

    def _fail_value(self, call: Call, stream: Stream) -> None:
        """Answer that a request failed, as its value broke before its turn and nothing of it has been sent.

        Once a value is begun, only the end of the connection tells that it is incomplete, and that would lose
        the answers behind it.
        """
        self._values.end_deferral()
        stream.release()
        self.set_reply(call, FAILED)

    def _begin_value(self, stream: Stream) -> None:
        """Start to send a large value that is next in order."""
        if self._pause_reasons & self.ANSWERS_UNREAD:  # replaced by the check for stalled streams
            self._clients.table.waiting_since.pop(self, None)
            self._resume_reading(self.ANSWERS_UNREAD)
        if not self.transport.is_closing():
            self._clients.table.streams[self] = Delivery(
                self._clients.loop.time(), -undelivered_bytes(self.transport)
            )
        self._values.begin(stream)

    @property
    def max_unread_wait(self) -> float:
        """Seconds for which commands are left unread behind a value that is arriving."""
        return self._clients.terms.max_unread_wait

    def has_commands_behind(self) -> bool:
        """Whether anything has come behind the command that is next to be answered."""
        return len(self.queue) > 1 or not self._reader.empty() or has_unread(self.transport)

    def is_deferring(self) -> bool:
        """Whether a large value is next in order, and is deferred."""
        return self._values.is_deferring

    def hold_input(self) -> None:
        """Read nothing while a value arrives; once new commands are refused, they have no effect anyway."""
        if not self._clients.refusing:
            self._pause_reading(self.VALUE_ARRIVING)

    def release_input(self) -> None:
        """Read on: the value has arrived, or commands have waited behind it for long enough."""
        if self._pause_reasons & self.VALUE_ARRIVING:
            self._resume_reading(self.VALUE_ARRIVING)

    def value_sent(self) -> None:
        """The large value has been sent completely."""
        self._clients.table.streams.pop(self, None)
        self._release(self.queue.popleft().held)
        self.flush()

    def value_broken(self, stream: Stream) -> None:
        """The value that is being sent can't be completed: closing in its middle tells the client so."""
        log(
            f"a value broke after {stream.forwarded} of {stream.length} bytes: "
            f"its connection ends, with {len(self.queue) - 1} commands behind it"
        )
        if self._values.bytes_acknowledged >= 0:
            self.transport.abort()
        else:  # earlier answers are whole, and have not arrived yet
            self._cancel_pending()
            self._close()

    def stop_stalled_value(self) -> None:
        """Nothing of the value has moved for too long, from its server or to its client."""
        self.transport.abort()

    @property
    def bytes_acknowledged(self) -> int:
        """Bytes of the large value that the client's system has acknowledged; see `ValueWriter`."""
        return self._values.bytes_acknowledged

    def _pause_reading(self, reason: int) -> None:
        if not self._pause_reasons and not self.transport.is_closing():
            self.transport.pause_reading()
            self._clients.paused.add(self)
        self._pause_reasons |= reason

    def _resume_reading(self, reason: int) -> None:
        """Remove one reason for the pause; without any left, take what is buffered in turn, then resume."""
        self._pause_reasons &= ~reason
        if self._input_closed or self._pause_reasons or self.transport.is_closing():
            return
        if self._reader.pending:
            self._wait_for_turn()
            return
        self._clients.paused.discard(self)
        self.transport.resume_reading()

    def eof_received(self) -> None:
        """Cancel the client's open requests: the end of its input counts as a disconnect.

        A client that only stops sending can't be told from one that has closed. Answers that were written
        before this are still sent.
        """
        streaming = self._values.is_sending
        while not streaming and self.queue and isinstance(self.queue[0].reply, bytes):
            self._write_ready()
        self._cancel_pending()
        if streaming:
            self.transport.abort()  # the value can't be completed
        else:
            self._clients.table.start_timeout(self)  # closes it if the answers are never read

    def end(self, await_partial: bool = True, read_pending: bool = False) -> None:
        """Close once no answer is pending, and the client has room for all of them.

        With `await_partial`, received bytes are read first, and the rest of a command is waited for. With
        `read_pending`, complete commands are read first: the client may have written them long before.
        A first request may still be in transit on a new connection; after an answer that is far less likely.
        """
        if self._taking_commands:
            return
        if self.queue:
            self._read_past_full_queue()
            return
        may_have_request = (await_partial and self._may_have_request()) or (
            read_pending and self._may_have_unread()
        )
        if not self._input_closed and (may_have_request or self._clients.table.is_delivering(self)):
            return
        self._close()

    def _read_past_full_queue(self) -> None:
        """Read on behind a full queue or an arriving value, once new commands are refused."""
        if self._input_closed or not self._clients.refusing:
            return
        if self._pause_reasons & self.QUEUE_FULL:
            self._resume_reading(self.QUEUE_FULL)
        self.release_input()

    def _may_have_request(self) -> bool:
        """Whether a request may have arrived, in whole or in part, that has not been taken."""
        if self._may_have_unread():
            return True
        if self._nothing_received:
            timeout = FIRST_COMMAND_TIMEOUT
        elif not self._reader.empty():
            timeout = connection_table.CLIENT_TIMEOUT
        else:
            return False
        return self._clients.loop.time() - self._clients.table.waiting_since.get(self, -math.inf) < timeout

    def _may_have_unread(self) -> bool:
        """Whether bytes may be unread. The sweep closes connections whose answers are never read."""
        return bool(self._pause_reasons) or has_unread(self.transport)

    def _close(self) -> None:
        self._input_closed = True
        if self.transport.is_closing() or self in self._clients.table.lingering:
            return
        closing = LingeringClose(self.transport, self._clients.loop, self.connection_lost)
        self._clients.table.linger(self, closing)

    def time_out(self) -> None:
        """The timeout for sending a command, or for reading answers, has expired: close."""
        if self._pause_reasons & self.ANSWERS_UNREAD or self.transport.is_closing():
            self.transport.abort()
        elif self._pause_reasons & self.OWN_DELAYS or self._has_arrived():
            self._clients.table.start_timeout(self)  # the delay is this process's own
        elif self._reader.empty():
            self._close()
        else:
            self.reject("the rest of the command did not come")

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its answers, to bound memory."""
        if self._values.is_sending:
            return  # reading from the server is paused instead
        self._unsent = self.transport.get_write_buffer_size()
        self._release(-self._unsent)
        self._unacknowledged = undelivered_bytes(self.transport)
        self._clients.table.unread_answers[self] = None
        self._pause_reading(self.ANSWERS_UNREAD)
        self._clients.table.start_timeout(self, restart=True)

    def resume_writing(self) -> None:
        """The client reads its answers again."""
        if self._values.is_sending:
            self._values.resume_writing()
            return
        self._clients.table.waiting_since.pop(self, None)
        self._clients.table.unread_answers.pop(self, None)
        sent, self._unsent = self._unsent, 0
        self._release(sent)
        self.flush()
        if not self._unsent and self._pause_reasons & self.ANSWERS_UNREAD:
            self._resume_reading(self.ANSWERS_UNREAD)

    def has_read(self) -> bool:
        """Whether a client with unread answers has read any since the last call.

        The system tells of room for more only in steps, which may be as long as the timeout for slow clients.
        """
        before, self._unacknowledged = self._unacknowledged, undelivered_bytes(self.transport)
        return self._unacknowledged < before

    def owes_nothing(self) -> bool:
        """Whether no request would be lost if the connection ended at once.

        No command is open, or has been read and waits to be taken; none waits unread, and the client's system
        has all answers. A part of a command is none.
        """
        if self.queue or self._pause_reasons & ~self.INPUT_FULL or has_unread(self.transport):
            return False
        return not undelivered_bytes(self.transport)

    def has_unsent(self) -> bool:
        """Whether answers wait for room at the client, which has not read what was sent before."""
        return bool(self._unsent) or has_unsent(self.transport)

    def has_left(self) -> bool:
        """Whether the client has disconnected, even if that has not been read yet."""
        return peer_has_closed(self.transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection and cancel its open requests."""
        self._clients.table.remove(self)
        self._cancel_pending()
        self._release(self._unsent)
        self._input.update(0, 0)
        self._unsent = 0

    def _cancel_pending(self) -> None:
        """Cancel all that is pending for a client that has disconnected."""
        self._input_closed = self._cancelled = True
        self._values.end_deferral()
        for call in self.queue:
            if call.request:
                self._clients.engine.client_disconnected(call.request)
            elif isinstance(call.reply, Stream):
                call.reply.release()
            self._release(call.held)
        self.queue.clear()


class Resp2Front:
    """The RESP2 front: its listeners and all its connections."""

    def __init__(
        self,
        engine: RequestHandler,
        terms: CallRules,
        max_connections: int,
        loop: asyncio.AbstractEventLoop,
        listener_factory: ListenerFactory | None = None,
        buffers: ClientBuffers | None = None,
    ) -> None:
        """`listener_factory` opens the listeners; by default the front opens them itself.

        `buffers` limits the bytes of commands and answers that are held; by default DEFAULT_BUFFERS.
        """
        self.engine, self.terms, self.loop = engine, terms, loop
        self.buffers = buffers or ClientBuffers(DEFAULT_BUFFERS)
        self._listener_factory = listener_factory or OwnListenerFactory(loop)
        self.paused = PausedConnections(loop)
        self.table = ConnectionTable[Connection](loop, max_connections, self.paused)
        self.turns = Turns(loop.call_soon, engine.is_behind)
        self.read_buffer = memoryview(bytearray(READ_SIZE))  # each read is processed before the next one
        self._listeners: dict[tuple[str, int], Listener] = {}
        self.port = 0
        self.leaving = False  # pings are answered that this gateway takes no new work
        self._refuse_from = math.inf  # loop time from which new commands are refused
        self.report: ShutdownReport | None = None  # set once the process is to end
        self.draining = Draining(self, loop)

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at one more address; raises OSError if it can't be bound."""
        listener = await self._listener_factory.open((host, port), lambda: Connection(self))
        self._listeners[(host, port)] = listener
        self.port = listener.address[1]
        self.table.start_sweeping()

    async def unlisten(self, *addresses: tuple[str, int]) -> None:
        """Stop accepting at these addresses, or at all if none is named. Open connections stay."""
        for address in addresses or list(self._listeners):
            await self._listeners.pop(address).close()

    def reconfigure(self, terms: CallRules, max_connections: int) -> None:
        """Use other names and another limit on connections; the limit applies to new connections."""
        self.terms, self.table.max_connections = terms, max_connections

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The addresses that it listens at."""
        return list(self._listeners)

    def suspend(self) -> None:
        """Answer pings with -DRAINING and close connections, new ones too, until `resume`."""
        self.leaving = True
        self.draining.suspend()

    def resume(self) -> None:
        """Serve clients again as before `suspend`."""
        self.leaving = False
        self.draining.resume()

    def refuse_after(self, seconds: float) -> None:
        """The engine refuses commands that come after so many seconds. A later call can't postpone it."""
        self._refuse_from = min(self._refuse_from, self.loop.time() + seconds)

    @property
    def refusing(self) -> bool:
        """Whether new commands are refused at once."""
        return self.loop.time() >= self._refuse_from

    @property
    def connections(self) -> set[Connection]:
        """The open connections."""
        return self.table.connections

    def is_sending(self) -> bool:
        """Whether answers are being sent to clients that read them: those that don't are cut off in time."""
        return self.table.is_sending() or any(c.is_deferring() for c in self.connections)

    async def drain(self, times: DrainTimes) -> None:
        """Close the listeners, and each connection as soon as no answer is pending on it."""
        await self.unlisten()
        await self.draining.drain(times)

    def abort_all(self) -> None:
        """Abort all connections. Clients that never read must not keep the process from ending."""
        for connection in list(self.connections):
            connection.transport.abort()
