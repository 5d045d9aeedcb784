"""The clients' side: the listener, their calls, and the answers in each connection's order."""

from __future__ import annotations

import asyncio
import math
import re
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING, cast

from lynxreel.engine.engine import RequestHandler
from lynxreel.engine.shutdown_report import ConnectionHistory, ShutdownReport
from lynxreel.fronts.draining import Draining, DrainTimes
from lynxreel.fronts.lingering import LingeringClose, has_unread, peer_has_closed
from lynxreel.fronts.listeners import Door, Doors, OwnDoors
from lynxreel.protocol import commands, resp
from lynxreel.relay.stream import Stream
from mothgap.interface import Effect, Settings
from mothgap.settings import Names

if TYPE_CHECKING:
    from lynxreel.protocol.exchange import Exchange

ARITY = {b"CALL.GET": 4, b"CALL.POST": 5}
MOST_WORDS = 16  # in a command; longer than any that clients and their libraries send
CUSTOMERS = 1 << 33
HALF_READ = 1.0  # seconds that a drain waits for a first command or the rest of one: longer than these travel
MOST_OPEN = 64  # commands of one connection that wait for their answers; more are not read yet
MOST_KEPT = 1 << 18  # bytes of answers to commands that are read behind those, once new ones are refused
TURN = 64  # commands taken from one connection before others have their turn
PAUSE = 0.05  # seconds without reading after a command that is no call: repeats must not take the others' CPU
PATIENCE = 2.5  # seconds for a first command, for the rest of one (slow ones take 2), and for reading answers
STALL = 10.0  # seconds without a byte of a large value, from the server or to the client
SWEEP = 0.25  # seconds between looks for connections that have used that up
CLOSE_CHECK = 0.05  # seconds between looks whether clients whose connections are not read have closed them
VICTIMS = 16  # connections that are looked at for one that can be closed to make room
IDLE_LEAST = 2.0  # seconds that one stays open after its last answer
IDLE_PART = 0.25  # of the connections; of more that have idled for so long, the oldest are closed
NEW_PART = 0.25  # of the connections; more that have said nothing make room among themselves
CUSTOMER = re.compile(rb"[0-9a-f]{16}")
ID = re.compile(rb"[0-9A-Za-z._:-]{1,64}")
WORD = re.compile(rb"[^\0- ]{1,128}")
NUMBER = re.compile(rb"\d{1,9}")
TERMS = {  # what may stand in a call's list, and how its value is spelt
    b"c": WORD, b"t": WORD, b"k": WORD, b"d": NUMBER, b"r": re.compile(rb"[01]"),
    b"units": re.compile(rb"\d{1,6}(\.\d{1,9})?"), b"spread": NUMBER, b"first": NUMBER,
}  # fmt: skip


BACK = {b"back": re.compile(rb"[01]")}  # a client that comes back for a request, where such are taken


class BadCall(ValueError):
    """What a client sent is no call; the text is its answer."""


@dataclass(frozen=True, slots=True)
class Terms:
    """What a call of this deployment may name."""

    classes: dict[bytes, int]
    unsafe: tuple[bool, ...]  # by class
    plans: dict[bytes, int]
    most_units: float
    gateways: int  # as clients count them, by address
    workers: int = 1  # instances behind each address
    forms: Mapping[bytes, re.Pattern[bytes]] = field(default_factory=lambda: TERMS)  # of the list's names

    @classmethod
    def of(cls, settings: Settings, names: Names, workers: int = 1, back: bool = False) -> Terms:
        """Of these settings, with so many instances behind each address. `back`: clients may come back."""
        return cls(
            {name.encode(): number for name, number in names.classes.items()},
            tuple(c.effect is not Effect.REPEATABLE for c in settings.classes),
            {name.encode(): number for name, number in names.plans.items()},
            settings.units_top,
            settings.fleet_size // workers,
            workers,
            TERMS | BACK if back else TERMS,
        )


class Call:
    """One command of a client, from its reading to its answer."""

    streams = True
    counted = sent = seeks = False
    mark = b""
    __slots__ = ("back", "cls", "connection", "customer", "first", "id", "patience", "plan", "reply",
                 "request", "retry", "spread", "units", "words")  # fmt: skip

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.reply: bytes | Stream | None = None
        self.request = 0  # the engine's number for it; 0 where the engine never saw it
        self.words: list[bytes] = []

    def read(self, words: list[bytes], terms: Terms) -> None:
        """Take a command's words, or raise BadCall. Servers are sent nothing that is not checked here."""
        if len(words) != ARITY[words[0]]:
            raise BadCall("wrong number of arguments")
        given: dict[bytes, bytes] = {}
        for item in words[3].split(b","):
            name, _, value = item.partition(b"=")
            if name in given or (form := terms.forms.get(name)) is None or not form.fullmatch(value):
                raise BadCall("bad list")
            given[name] = value
        try:
            self.cls, self.plan = terms.classes[given[b"c"]], terms.plans[given[b"t"]]
            self.patience = int(given[b"d"])
        except KeyError:
            raise BadCall("missing or unknown class, plan or d") from None
        if terms.unsafe[self.cls] is not (words[0] == b"CALL.POST"):
            raise BadCall("wrong command for the class")
        if not CUSTOMER.fullmatch(words[1]) or (customer := int(words[1], 16)) >= CUSTOMERS:
            raise BadCall("bad customer")
        if not ID.fullmatch(words[2]):
            raise BadCall("bad id")
        self.customer, self.id, self.words = customer, words[2], words
        self.units = float(given.get(b"units", 1))
        self.spread, self.first = int(given.get(b"spread", 1)), int(given.get(b"first", 0))
        self.retry, self.back = given.get(b"r") == b"1", given.get(b"back") == b"1"
        known = 1 <= self.spread <= terms.gateways and self.first < terms.gateways
        if not (0 < self.units <= terms.most_units and self.patience > 0 and known):
            raise BadCall("number out of range")
        # Any worker of a gateway may get the request: they are its customer's set.
        self.spread, self.first = self.spread * terms.workers, self.first * terms.workers

    def portable(self) -> tuple[bytes, ...]:
        """The strings of its command."""
        return tuple(self.words)

    def command(self, wait: int) -> bytes:
        """The command for a server, which is told how long the gateway waits."""
        return commands.command(self.words, wait)

    def exchange(self, wait: int) -> Exchange:
        """The same for a box that speaks HTTP."""
        return commands.exchange(self.words, wait)

    def served(self, value: bytes | Stream, again: bool = False) -> None:
        """Answer with a server's value."""
        self._answer(value if isinstance(value, Stream) else b"$%d\r\n%b\r\n" % (len(value), value))

    def refused(self, wait: int) -> None:
        """Answer that it may come again, after so many microseconds if not 0."""
        self._answer(b"-BUSY %d\r\n" % math.ceil(wait / 1_000) if wait > 0 else b"-BUSY\r\n")

    def failed(self) -> None:
        """Answer that it failed."""
        self._answer(b"-ERR failed\r\n")

    def unknown(self) -> None:
        """Answer that it may have run, and will not run again."""
        self._answer(b"-UNKNOWN it may have run, and is not run again\r\n")

    def clash(self) -> None:
        """Answer that its id is that of another request."""
        self._answer(b"-ERR the id is taken\r\n")

    def _answer(self, reply: bytes | Stream) -> None:
        self.reply, self.request = reply, 0
        self.connection.flush()


class Connection(asyncio.Protocol):
    """One client connection."""

    FULL, PACED, UNREAD = 1, 2, 4  # why it is not read for now

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._reader = resp.Reader(MOST_WORDS)
        self._holds = 0
        self._fresh = True  # nothing has come on it
        self._history = ConnectionHistory.NEW  # before the bytes that are being read
        self._reading = False  # commands are being taken: it does not end between two of them
        self._ending = False  # nothing more is read; closed once all is answered
        self._stream: Stream | None = None  # what the first in the queue is being answered with
        self._whole = False  # all of that has been written, perhaps not sent
        self.queue: deque[Call] = deque()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has come."""
        self.transport = cast(asyncio.Transport, transport)
        self._clients.add(self)

    def data_received(self, data: bytes) -> None:
        """Read what is whole; keep the rest, within bounds."""
        if self._clients.report is not None:
            self._history = self._state()
        self._fresh = False
        if not self._ending:
            self._reader.feed(data)
            if self.queue and self._clients.refusing:
                self._wait_for_turn()
            else:
                self._read()

    def _state(self) -> ConnectionHistory:
        """What this connection has carried so far."""
        if self._fresh:
            return ConnectionHistory.NEW
        if self.queue:
            return ConnectionHistory.BUSY
        return ConnectionHistory.IDLE if self._reader.empty() else ConnectionHistory.HALF_READ

    def _read(self) -> None:
        """Take what is whole, as long as there is room for more answers."""
        room = self._room()
        if not room:
            self._hold(self.FULL)
            return
        try:
            taken, bad, more = self._take_whole(room)
        except resp.Malformed as wrong:
            self.reject(f"Protocol error: {wrong}")
            return
        if not more and not self._reader.empty():
            self._clients.wait_for(self, again=taken > 0)
        elif taken and not self._holds & self.UNREAD:
            self._clients.waiting.pop(self, None)
            if not self.queue:
                self._clients.rest(self)
        if len(self.queue) >= MOST_OPEN and not self._clients.refusing:
            self._hold(self.FULL)
        if bad or taken >= TURN:
            # Guards the other clients: one that only sends what is turned away gets no more than its turn.
            self._wait_for_turn(PAUSE if bad else 0.0)
        if taken and not self.queue and self._clients.draining.closing:
            self._clients.draining.end(self)

    def _wait_for_turn(self, pause: float = 0.0) -> None:
        """Read on after so many seconds, or when the others that wait have had their turns."""
        if self._holds & self.PACED:
            return
        self._hold(self.PACED)
        if pause:
            self._clients.loop.call_later(pause, self.take_turn)
        else:
            self._clients.queue_turn(self)

    def take_turn(self) -> None:
        """Read on."""
        self._release(self.PACED)

    def _room(self) -> int:
        """How many commands may be taken now.

        Once new ones are refused, a turn of them is taken behind a full queue, too: each has its answer at
        once. Left unread until the queue is answered, they may be too many for the time that is left.
        """
        if not self._clients.refusing:
            return max(0, min(TURN, MOST_OPEN - len(self.queue)))
        kept = self._join_answers()
        return TURN if len(self.queue) <= MOST_OPEN + 1 and kept < MOST_KEPT else 0

    def _join_answers(self) -> int:
        """Keep the answers behind the last open command as one. Guards memory. Returns their bytes."""
        answers: list[bytes] = []
        while self.queue and isinstance(reply := self.queue[-1].reply, bytes):
            answers.append(reply)
            self.queue.pop()
        if not answers:
            return 0
        joined = Call(self)
        joined.reply = b"".join(reversed(answers))
        self.queue.append(joined)
        return len(joined.reply)

    def _take_whole(self, most: int) -> tuple[int, bool, bool]:
        """Take commands: how many, whether one of them was none, and whether there may be more."""
        taken, bad, words = 0, False, None
        self._reading = True
        try:
            while taken < most:
                if (words := self._reader.next()) is None:
                    break
                bad |= not self._take(cast(list[bytes], words))
                taken += 1
        finally:
            self._reading = False
        return taken, bad, words is not None

    def _take(self, words: list[bytes]) -> bool:
        """One command; false where it is none that is known."""
        call = Call(self)
        self.queue.append(call)
        self._clients.idle.pop(self, None)
        try:
            if words[0] in ARITY:
                call.read(words, self._clients.terms)
                call.request = self._clients.engine.submit(call)
                if not call.request:
                    # Guards rule 2: at a server, the id of an open request is a second copy of that one.
                    raise BadCall("the id is taken")
                if (report := self._clients.report) is not None:
                    report.request_read(call.id, call.cls, self._history, call.patience / 1e3)
                return True
            if words[0].upper() != b"PING":
                raise BadCall("unknown command")
            call.reply = b"-DRAINING no new work\r\n" if self._clients.leaving else b"+PONG\r\n"
        except BadCall as bad:
            call.reply = b"-ERR %b\r\n" % str(bad).encode()
            self.flush()
            return False
        self.flush()
        return True

    def reject(self, why: str) -> None:
        """What follows can't be told apart, or never comes: the end, after what is owed."""
        self._ending = True
        self._reader = resp.Reader(MOST_WORDS)
        self._hold(self.FULL)
        call = Call(self)
        call.reply = b"-ERR %b\r\n" % why.encode()
        self.queue.append(call)
        self.flush()

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        if self._stream is not None:
            return
        ready = []
        while self.queue and isinstance(reply := self.queue[0].reply, bytes):
            self.queue.popleft()
            ready.append(reply)
        if ready and not self.transport.is_closing():
            self.transport.write(b"".join(ready))
        if self.queue and isinstance(stream := self.queue[0].reply, Stream):
            self._begin(stream)
            return
        if self._holds & self.FULL and not self._ending and len(self.queue) <= MOST_OPEN // 2:
            self._release(self.FULL)
        if not self.queue:
            self._clients.rest(self)
            if self._ending or self._clients.draining.closing:
                self._clients.draining.end(self)

    def _begin(self, stream: Stream) -> None:
        """The turn of a large value. With the limit at 0, `resume_writing` tells when what came is sent."""
        self._stream, self._whole = stream, False
        if self.transport.is_closing():
            stream.release()
            return
        self.transport.set_write_buffer_limits(high=0)
        if self._holds & self.UNREAD:  # the look whether the value goes on takes that one's place
            self._clients.waiting.pop(self, None)
            self._release(self.UNREAD)
        self._clients.streams[self] = (0, self._clients.loop.time())
        self.transport.write(b"$%d\r\n" % stream.length)
        stream.attach(self)

    def write_piece(self, data: bytes) -> int:
        """A piece of a large value; how much is still on hand."""
        if self.transport.is_closing():
            return 0
        self.transport.write(data)
        return self.transport.get_write_buffer_size()

    def finish(self) -> None:
        """The large value is whole; its last two bytes tell the client so."""
        if self.transport.is_closing():
            return
        self._whole = True
        self.transport.write(b"\r\n")
        if not self.transport.get_write_buffer_size():
            self._streamed()

    def _streamed(self) -> None:
        """It has all left this process."""
        assert self._stream is not None
        self._stream.release()
        self._stream = None
        self._clients.streams.pop(self, None)
        self.transport.set_write_buffer_limits()
        self.queue.popleft()
        self.flush()

    def abort(self) -> None:
        """The large value will never be whole: an end in its middle tells the client so."""
        self.transport.abort()

    @property
    def sent(self) -> int:
        """Bytes of the large value that have left this process."""
        assert self._stream is not None
        return self._stream.forwarded - self.transport.get_write_buffer_size()

    def _hold(self, why: int) -> None:
        if not self._holds and not self.transport.is_closing():
            self.transport.pause_reading()
            self._clients.watch_close(self)
        self._holds |= why

    def _release(self, why: int) -> None:
        """One reason less not to read; what has come meanwhile is first."""
        self._holds &= ~why
        if self._ending or self._holds or self.transport.is_closing():
            return
        if why != self.PACED and self._clients.refusing:
            self._wait_for_turn()
            return
        self._clients.held.pop(self, None)
        self._read()
        if not self._holds and not self._ending:
            self.transport.resume_reading()

    def eof_received(self) -> None:
        """The client has closed its side, which says that it has gone: what it asked for is given up.

        A client that only stops sending can't be told from one that has closed. Answers that were written
        before this are still sent.
        """
        streaming = self._stream is not None
        self._client_left()
        if streaming:
            self.transport.abort()  # what it was being sent can't be made whole
        else:
            self._clients.wait_for(self)  # cut off where the answers are never read

    def end(self, patient: bool = True, reads_on: bool = False) -> None:
        """Close once nothing is owed. While `patient`, what has come is read first, its rest waited for.

        While it `reads_on`, what has come whole is read first: its client may have written it long before.
        A request may be under way on one that nothing has come on; after an answer that is far less likely.
        """
        if self._reading:
            return
        if self.queue:
            self._read_behind()
            return
        may_owe = (patient and self._may_owe()) or (reads_on and self._unread())
        if may_owe and not self._ending:
            return
        self._close()

    def _read_behind(self) -> None:
        """Go on reading behind a full queue, where that is due."""
        if self._holds & self.FULL and not self._ending and self._clients.refusing:
            self._release(self.FULL)

    def _may_owe(self) -> bool:
        """A request may have come, whole or in part, that has not been taken."""
        if self._unread():
            return True
        if not self._fresh and self._reader.empty():
            return False
        return self._clients.loop.time() - self._clients.waiting.get(self, -math.inf) < HALF_READ

    def _unread(self) -> bool:
        """Something may have come that has not been read. The sweep cuts off who never reads its answers."""
        return bool(self._holds) or has_unread(self.transport)

    def _close(self) -> None:
        self._ending = True
        if self.transport.is_closing() or self in self._clients.lingering:
            return
        self._clients.linger(self)
        LingeringClose(self.transport, self._clients.loop, self.connection_lost)

    def overdue(self) -> None:
        """It has had its time for a command, or for reading its answers."""
        if self._holds & self.UNREAD or self.transport.is_closing():
            self.transport.abort()
        elif self._reader.empty():
            self._close()
        else:
            self.reject("the rest of the command did not come")

    def pause_writing(self) -> None:
        """Guards memory: a client that does not read its answers is not read either."""
        if self._stream is not None:
            return  # it is the server that is not read
        self._hold(self.UNREAD)
        self._clients.wait_for(self, again=True)

    def resume_writing(self) -> None:
        """It reads again."""
        if self._stream is not None:
            if self._whole:
                self._streamed()
            else:
                self._stream.set_buffered(0)
            return
        self._clients.waiting.pop(self, None)
        self._release(self.UNREAD)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        self._clients.forget(self)
        self._client_left()

    def _client_left(self) -> None:
        """Nothing is owed to the client any more."""
        self._ending = True
        for call in self.queue:
            if call.request:
                self._clients.engine.client_disconnected(call.request)
            elif isinstance(call.reply, Stream):
                call.reply.release()
        self.queue.clear()


class Clients:
    """The listener and all its connections."""

    def __init__(
        self,
        engine: RequestHandler,
        terms: Terms,
        most: int,
        loop: asyncio.AbstractEventLoop,
        doors: Doors | None = None,
    ) -> None:
        """`doors`: where its listeners come from; it opens them itself by default."""
        self.engine, self.terms, self.loop = engine, terms, loop
        self._doors = doors or OwnDoors(loop)
        self.connections: set[Connection] = set()
        self.waiting: dict[Connection, float] = {}  # who owes a command, or to read answers; since when
        self.streams: dict[Connection, tuple[int, float]] = {}  # who gets a large value; how much, since when
        self.idle: dict[Connection, float] = {}  # who has been answered, and when; the oldest first
        self.lingering: dict[Connection, None] = {}  # who is being closed; the oldest first
        self.held: dict[Connection, None] = {}  # who is not read for now
        self._checking_closes = False
        self._turns: deque[Connection] = deque()  # who waits to be read on
        self._most = most
        self._listeners: dict[tuple[str, int], Door] = {}
        self._sweeping = False
        self.port = 0
        self.leaving = False  # pings are told that this gateway takes no new work
        self._refuse_from = math.inf  # when what comes is no longer taken on, by the loop's clock
        self.report: ShutdownReport | None = None  # once the process is to end
        self.draining = Draining(self, loop)

    async def listen(self, host: str, port: int) -> None:
        """Take connections at one more address from now on; an OSError where it can't be had."""
        door = await self._doors.open((host, port), lambda: Connection(self))
        self._listeners[(host, port)] = door
        self.port = door.address[1]
        if not self._sweeping:
            self._sweeping = True
            self.sweep()

    async def unlisten(self, *addresses: tuple[str, int]) -> None:
        """Take no connections there any more (nowhere, if none is named), but those that are ours already."""
        for address in addresses or list(self._listeners):
            await self._listeners.pop(address).close()

    def adopt(self, terms: Terms, most: int) -> None:
        """Go by other names and another bound on connections, which holds for the next ones."""
        self.terms, self._most = terms, most

    def add(self, connection: Connection) -> None:
        """Take a new connection in. Guards the limit on descriptors: another one makes room.

        That is the one idle for longest, as closing it may cross a request; but the oldest of those that have
        said nothing, where these have become many: they can't drive out clients that are served.
        """
        self.connections.add(connection)
        self.wait_for(connection)
        if len(self.connections) <= self._most:
            return
        victim = next(iter(self.lingering), None) or self._victim(connection)
        self.forget(victim)
        victim.transport.abort()

    def _victim(self, newest: Connection) -> Connection:
        """Who makes room: one on which nothing waits to be read, as closing it over a request is a reset."""
        silent = next((c for c in islice(self._silent(), VICTIMS) if not has_unread(c.transport)), newest)
        if len(self.waiting) > max(1, self._most * NEW_PART):
            return silent
        return next((c for c in islice(self.idle, VICTIMS) if not has_unread(c.transport)), silent)

    def _silent(self) -> Iterator[Connection]:
        """Those that owe a command and have none in the queue, the oldest first."""
        return (connection for connection in self.waiting if not connection.queue)

    def watch_close(self, connection: Connection) -> None:
        """A connection is not read any more: look from time to time whether its client has closed it."""
        self.held[connection] = None
        if not self._checking_closes:
            self._checking_closes = True
            self.loop.call_later(CLOSE_CHECK, self._check_closes)

    def _check_closes(self) -> None:
        """Guards servers against work for clients that have gone, which nothing else shows while unread."""
        for connection in list(self.held):
            if peer_has_closed(connection.transport):
                connection.transport.abort()
        self._checking_closes = bool(self.held)
        if self._checking_closes:
            self.loop.call_later(CLOSE_CHECK, self._check_closes)

    def queue_turn(self, connection: Connection) -> None:
        """It is read on behind the others that wait.

        One has its turn in a round of the loop. Guards all else that is due, as signals and deadlines.
        """
        self._turns.append(connection)
        if len(self._turns) == 1:
            self.loop.call_soon(self._give_turn)

    def _give_turn(self) -> None:
        connection = self._turns.popleft()
        if self._turns:
            self.loop.call_soon(self._give_turn)
        connection.take_turn()

    def linger(self, connection: Connection) -> None:
        """A connection is being closed: it owes nothing, but takes its place until it has ended."""
        self.waiting.pop(connection, None)
        self.idle.pop(connection, None)
        self.held.pop(connection, None)
        self.lingering[connection] = None

    def wait_for(self, connection: Connection, again: bool = False) -> None:
        """It owes something: since now, also where it did before but that has come."""
        if again:
            self.waiting.pop(connection, None)
        self.waiting.setdefault(connection, self.loop.time())

    def rest(self, connection: Connection) -> None:
        """All is answered on it."""
        self.idle.pop(connection, None)
        known = connection in self.connections and connection not in self.lingering
        if known and connection not in self.waiting:
            self.idle[connection] = self.loop.time()

    def forget(self, connection: Connection) -> None:
        """It is closed."""
        self.connections.discard(connection)
        self.waiting.pop(connection, None)
        self.idle.pop(connection, None)
        self.streams.pop(connection, None)
        self.lingering.pop(connection, None)
        self.held.pop(connection, None)

    def sweep(self) -> None:
        """End the connections whose time for what they owe is up, and those that have idled long, if many.

        Some clients ask once and keep their connection for good: the others must find room before it is full.
        """
        late = self.loop.time() - PATIENCE
        for connection, since in list(self.waiting.items()):
            if since > late:
                break
            del self.waiting[connection]
            connection.overdue()
        for connection, (sent, since) in list(self.streams.items()):
            if (more := connection.sent) > sent:
                self.streams[connection] = (more, self.loop.time())
            elif self.loop.time() - since > STALL:
                connection.abort()
        late = self.loop.time() - IDLE_LEAST
        most = len(self.idle) - int(self._most * IDLE_PART)
        for connection, since in list(islice(self.idle.items(), max(0, most))):
            if since > late:
                break
            del self.idle[connection]
            connection.end()
        self.loop.call_later(SWEEP, self.sweep)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Where it listens."""
        return list(self._listeners)

    def set_aside(self) -> None:
        """Pings hear a no, and connections end, new ones as well, until `take_back`."""
        self.leaving = True
        self.draining.set_aside()

    def take_back(self) -> None:
        """Clients are welcome again."""
        self.leaving = False
        self.draining.take_back()

    def refuse_after(self, seconds: float) -> None:
        """What comes after so many seconds is refused, by whoever decides. A later call makes it no later."""
        self._refuse_from = min(self._refuse_from, self.loop.time() + seconds)

    @property
    def refusing(self) -> bool:
        """What comes is refused at once."""
        return self.loop.time() >= self._refuse_from

    async def drain(self, times: DrainTimes) -> None:
        """Close the listeners, and each connection as soon as nothing is owed on it."""
        await self.unlisten()
        await self.draining.empty(times)

    def cut_off(self) -> None:
        """End what is left. Guards the end of the process against a peer that never reads."""
        for connection in list(self.connections):
            connection.transport.abort()
