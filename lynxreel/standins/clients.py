"""Stand-in clients and the front before them: RESP2 calls to gateways, every answer entered in the ledger."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import cast

from lynxreel.protocol.resp import pack
from lynxreel.standins.box import value_for
from lynxreel.standins.ledger import Ledger, Try
from lynxreel.standins.traffic import Wish

PING_EVERY = 0.25  # seconds between looks at a gateway
CONNECT = 1.0  # seconds that a connect may take
LEAST_PAUSE = 0.02  # seconds before a client comes again, where it is not told
LOOK = 0.01  # seconds between looks whether this process itself stands still
TERMS = 3  # place of the terms in a command
LEAST_LEFT = 0.1  # seconds of patience under which it does not


@dataclass(slots=True)
class _Wish:
    """What a client wants, over all its tries."""

    wish: Wish
    origin: int
    until: float
    tries: int = 0


@dataclass(slots=True)
class _Ask:
    """One try on its way."""

    wish: _Wish
    number: bytes
    words: list[bytes]  # of its command; its terms, the fourth, are still without the time that is left
    entry: Try
    crossed: bool = False
    loss: Loss | None = None  # its gateway was killed, and its client has come to another one

    def command(self, left: float) -> bytes:
        """What is written, with so many seconds left."""
        time_left = b"d=%d," % max(1, int(left * 1e3))
        return pack([*self.words[:TERMS], time_left + self.words[TERMS], *self.words[TERMS + 1 :]])


@dataclass
class Loss:
    """A request that a gateway held when it was killed, and what became of it elsewhere."""

    cls: str
    left: float  # seconds of its time then
    came: bool  # it had come to a box
    how: str = ""  # empty: nothing in time
    took: float = 0.0  # seconds from the loss to the answer


@dataclass
class Gate:
    """One gateway, as the front sees it."""

    name: str
    address: tuple[str, int]
    up: bool = False
    dead: bool = False  # killed: what it held is the clients' to ask again
    frail: bool = False  # so are workers of it, now and then
    idle: list[_Link] = field(default_factory=list)
    links: set[_Link] = field(default_factory=set)


class _Link(asyncio.Protocol):
    """One connection to a gateway; it carries one request at a time."""

    def __init__(self, front: Front, gate: Gate) -> None:
        self._front, self.gate = front, gate
        self._data = b""
        self.ask: _Ask | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Up."""
        self.transport = cast(asyncio.Transport, transport)
        self.gate.links.add(self)

    def carry(self, ask: _Ask) -> None:
        """Write a request, and wait for its answer until its client gives up and a little more.

        It is told the time that is left now: a gateway counts it from when it reads.
        """
        self.ask = ask
        loop = self._front.loop
        until = ask.entry.deadline + self._front.ledger.slack
        self._timer = loop.call_at(until, self._front.overdue, self, ask)
        if ask.loss is None:
            self._front.ledger.ask(ask.number, ask.entry)
        else:
            self._front.ledger.moved(ask.number, self.gate.name)
        self.transport.write(ask.command(ask.entry.deadline - loop.time()))

    def wait_on(self, timer: asyncio.TimerHandle) -> None:
        """Wait for the answer for longer."""
        self._timer = timer

    def data_received(self, data: bytes) -> None:
        """An answer, whole or in parts."""
        self._data += data
        while (answer := self._take()) is not None:
            ask, self.ask = self.ask, None
            if self._timer is not None:
                self._timer.cancel()
            if ask is None:
                self._front.ledger.duplicate(self.gate.name, repr(answer[:40]))
                self.transport.abort()
                return
            self._front.answered(self, ask, answer)

    def _take(self) -> bytes | None:
        """The next answer: a line with its first byte, or a string behind a `$`."""
        line, found, rest = self._data.partition(b"\r\n")
        if not found:
            return None
        if line[:1] != b"$" or line == b"$-1":
            self._data = rest
            return line
        size = int(line[1:])
        if len(rest) < size + 2:
            return None
        self._data = rest[size + 2 :]
        return b"$" + rest[:size]

    def connection_lost(self, error: Exception | None) -> None:
        """Ended by the gateway, or by its death."""
        self.gate.links.discard(self)
        if self in self.gate.idle:
            self.gate.idle.remove(self)
        if self._timer is not None:
            self._timer.cancel()
        ask, self.ask = self.ask, None
        if ask is not None:
            self._front.broken(self.gate, ask, bool(self._data))


class Front:
    """Deals requests out among the gateways of each customer's set, and plays the clients behind it."""

    def __init__(
        self, gates: list[Gate], ledger: Ledger, seed: int, retries: int = 1, back: bool = False
    ) -> None:
        """`back`: what a killed gateway held is asked of another one, under the id that it had."""
        self._back, self.losses = back, list[Loss]()
        self.loop = asyncio.get_running_loop()
        self.gates, self.ledger = gates, ledger
        self.counts: Counter[str] = Counter()  # unsent, resent, unreachable
        self.latency: Counter[int] = Counter()  # served requests by milliseconds
        self.spans: deque[float] = deque(maxlen=100_000)  # seconds that answers of the served took
        self.lag = 0.0  # seconds that this process itself was late at the worst
        self._alive_at = (
            self.loop.time()
        )  # when it last looked for answers for certain, as often as it should
        self._retries = retries
        self._random = random.Random(seed)
        self._ids = itertools.count(self._random.getrandbits(48) << 15)
        self._origins = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin(self._watch_lag())
        for gate in gates:
            self.add(gate)

    def add(self, gate: Gate) -> None:
        """Take a gateway in once it answers pings."""
        if gate not in self.gates:
            self.gates.append(gate)
        self._begin(self._ping(gate))

    def kill(self, name: str) -> None:
        """This gateway is being killed: what it holds from here on is not the gateway's to answer."""
        next(gate for gate in self.gates if gate.name == name).dead = True

    async def play(self, wishes: Iterator[Wish], seconds: float) -> None:
        """Ask, at the times that the wishes have, for so long."""
        born = self.loop.time()
        for wish in wishes:
            if wish.at >= seconds:
                break
            wait = born + wish.at - self.loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.want(wish)

    def want(self, wish: Wish) -> None:
        """A client wants something now."""
        self._ask(_Wish(wish, next(self._origins), self.loop.time() + wish.patience))

    def _ask(self, wanted: _Wish) -> None:
        """One try of it, through one of the gateways that its customer's requests come through."""
        wish, customer = wanted.wish, wanted.wish.customer
        left = wanted.until - self.loop.time()
        if left < LEAST_LEFT:
            return
        places = [(customer.first + n) % len(self.gates) for n in range(customer.spread)]
        gates = [self.gates[place] for place in places if self.gates[place].up]
        if not gates:
            self.counts["unsent"] += 1
            return
        # Unevenly, as in service: the first one gets the most.
        gate = self._random.choices(gates, [1 / (1 + n) for n in range(len(gates))])[0]
        number = b"%016x" % next(self._ids)
        again = b",r=1" if wanted.tries else b""
        terms = b"c=%b,t=%b,units=%g,spread=%d,first=%d%b" % (
            wish.cls.name.encode(),
            customer.plan.encode(),
            wish.cls.units,
            customer.spread,
            customer.first,
            again,
        )
        words = [b"CALL.POST" if wish.cls.unsafe else b"CALL.GET", b"%016x" % customer.number, number, terms]
        if wish.cls.unsafe:
            words.append(b"body")
        if wish.cls.keyed:
            words[3] += b",k=w%d" % wanted.origin
        entry = Try(
            wanted.origin,
            wish.cls.name,
            wish.cls.unsafe,
            customer.plan,
            customer.number,
            wish.cls.units,
            gate.name,
            0.0,
            0.0,
            wanted.tries > 0,
        )
        wanted.tries += 1
        self._send(_Ask(wanted, number, words, entry), gate)

    def _send(self, ask: _Ask, gate: Gate) -> None:
        ask.entry.gateway = gate.name
        while gate.idle:
            link = gate.idle.pop()
            if not link.transport.is_closing():
                self._carry(link, ask)
                return
        self._begin(self._connect(ask, gate))

    def _carry(self, link: _Link, ask: _Ask) -> None:
        now = self.loop.time()
        if ask.loss is None:
            ask.entry.asked, ask.entry.deadline = now, max(now, ask.wish.until)
        link.carry(ask)

    async def _connect(self, ask: _Ask, gate: Gate) -> None:
        try:
            async with asyncio.timeout(CONNECT):
                _, link = await self.loop.create_connection(lambda: _Link(self, gate), *gate.address)
        except OSError:
            # It could not be reached, so it has not run: any class may come again, elsewhere.
            self.counts["unreachable"] += 1
            gate.up = False
            if ask.loss is not None:
                self._elsewhere(ask)
                return
            ask.wish.tries -= 1
            self._ask(ask.wish)
            return
        self._carry(link, ask)

    # --- how a try ends ---------------------------------------------------------------------------------

    def answered(self, link: _Link, ask: _Ask, answer: bytes) -> None:
        """An answer is here."""
        now = max(ask.entry.asked, self._came_at())
        if ask.loss is not None:
            self._settled(ask, answer, now)
        if answer[:1] == b"$" and answer != b"$-1":
            if answer[1:] == value_for(ask.number):
                self.ledger.answer(ask.number, "served", now)
                self.spans.append(now - ask.entry.asked)
                self.latency[int((now - ask.entry.asked) * 1e3)] += 1
            else:
                self.ledger.lose(ask.number, f"served with {answer[:40]!r}")
        elif answer.startswith(b"-BUSY"):
            self.ledger.answer(ask.number, "refused", now)
            told = answer[6:]
            self._again(ask, int(told) / 1e3 if told.isdigit() else 0.0)
        elif answer.startswith(b"-UNKNOWN"):
            self.ledger.answer(ask.number, "unknown", now)
        else:
            self.ledger.answer(ask.number, "failed", now)
            if not ask.entry.unsafe:
                self._again(ask, 0.0)
        if not link.transport.is_closing():
            link.gate.idle.append(link)

    def _again(self, ask: _Ask, wait: float) -> None:
        """The client's next try, where it makes one."""
        if ask.wish.tries <= self._retries:
            self.loop.call_later(max(LEAST_PAUSE, wait), self._ask, ask.wish)

    def overdue(self, link: _Link, late: _Ask) -> None:
        """A request's client has given up."""
        if link.ask is not late:
            return  # it has been answered meanwhile
        if self._alive_at < late.entry.deadline + self.ledger.slack:
            # This process has stood still, and an answer that came in time may not have been read yet.
            link.wait_on(self.loop.call_later(LOOK, self.overdue, link, late))
            return
        link.ask = None
        link.transport.abort()
        if link.gate.dead:
            self.ledger.held(late.number)
        else:
            self.ledger.unanswered(late.number)

    def broken(self, gate: Gate, ask: _Ask, begun: bool) -> None:
        """Its connection has ended without an answer."""
        if (gate.dead or gate.frail) and self._back:
            if ask.loss is None:
                left, came = ask.entry.deadline - self.loop.time(), self.ledger.arrived(ask.number)
                ask.loss = Loss(ask.entry.cls, left, came)
                self.losses.append(ask.loss)
            self._elsewhere(ask)
        elif gate.dead:
            self.ledger.held(ask.number)
            if not ask.entry.unsafe:
                self._again(ask, 0.0)
        elif begun or ask.crossed or self.ledger.arrived(ask.number):
            self.ledger.lose(ask.number, "its connection was closed" + (", twice" if ask.crossed else ""))
        else:
            # A gateway may close a connection between requests; what crosses that goes out once more.
            self.ledger.crossed(ask.number)
            self.counts["resent"] += 1
            ask.crossed = True
            ask.entry.closed = False
            # On a new one: kept ones may be on their way to be closed, too.
            self._begin(self._connect(ask, gate))  # where that can't be reached, another of its set follows

    def _elsewhere(self, ask: _Ask) -> None:
        """The client comes to another gateway with the id that it had, while it has time."""
        left = ask.entry.deadline - self.loop.time()
        gates = [gate for gate in self.gates if gate.up and not gate.dead]
        if left <= 0:
            self.ledger.held(ask.number)
        elif not gates:
            self.loop.call_later(LEAST_PAUSE, self._elsewhere, ask)
        else:
            terms = [term for term in ask.words[TERMS].split(b",") if not term.startswith(b"back=")]
            ask.words[TERMS] = b",".join([*terms, b"back=1"])
            self._begin(self._connect(ask, self._random.choice(gates)))

    @staticmethod
    def _settled(ask: _Ask, answer: bytes, now: float) -> None:
        """What was held by a killed gateway has its answer."""
        loss = ask.loss
        assert loss is not None
        if now <= ask.entry.deadline:
            loss.how = "served" if answer[:1] == b"$" else answer[1:].partition(b" ")[0].decode().lower()
        loss.took = now - (ask.entry.deadline - loss.left)

    # --- the front --------------------------------------------------------------------------------------

    async def _ping(self, gate: Gate) -> None:
        """Take it in while it answers, and out when it says that it leaves, or can't be reached."""
        while True:
            try:
                async with asyncio.timeout(CONNECT):
                    reader, writer = await asyncio.open_connection(*gate.address)
                try:
                    answer = b"+PONG\r\n"
                    while answer == b"+PONG\r\n":
                        writer.write(b"*1\r\n$4\r\nPING\r\n")
                        async with asyncio.timeout(CONNECT):
                            answer = await reader.readline()
                        if not answer:
                            break  # an end tells nothing yet: a new connection shows at once
                        gate.up = answer == b"+PONG\r\n"
                        await asyncio.sleep(PING_EVERY)
                finally:
                    writer.transport.abort()
            except OSError:
                gate.up = False
                await asyncio.sleep(PING_EVERY)

    async def ready(self, seconds: float = 60.0) -> None:
        """Wait until all gateways are taken in; a TimeoutError where they are not."""
        async with asyncio.timeout(seconds):
            while not all(gate.up for gate in self.gates):
                await asyncio.sleep(0.01)

    async def settle(self, seconds: float) -> None:
        """Wait until nothing is asked any more; for so long at the most."""
        last = self.loop.time() + seconds
        while self.ledger.open() and self.loop.time() < last:
            await asyncio.sleep(0.02)

    async def _watch_lag(self) -> None:
        while True:
            due = self.loop.time() + LOOK
            await asyncio.sleep(LOOK)
            self._alive_at = due
            self.lag = max(self.lag, self.loop.time() - due)

    def _came_at(self) -> float:
        """When what is read now came, at the earliest: while this process stood still it read nothing."""
        return min(self.loop.time(), self._alive_at + LOOK)

    def percentile(self, part: float) -> int:
        """Milliseconds within which that part of the served requests were answered."""
        wanted, seen = part * sum(self.latency.values()), 0
        for span, count in sorted(self.latency.items()):
            seen += count
            if seen >= wanted:
                return span
        return 0

    def _begin(self, work: object) -> None:
        task = self.loop.create_task(work)  # type: ignore[arg-type, var-annotated]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """The end."""
        for task in list(self._tasks):
            task.cancel()
        for gate in self.gates:
            for link in list(gate.links):
                link.ask = None
                link.transport.abort()
