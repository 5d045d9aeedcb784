"""Stand-in boxes: servers that take requests over RESP2, or as their links have it, and work on them."""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, cast

from lynxreel.protocol import resp
from lynxreel.standins.base import Clock, Link, Listener
from lynxreel.standins.faults import Fault, Faults, Kind

QUEUE = 64  # requests that may wait at a box; more are turned away
AT_REQUESTS = tuple(kind for kind in Kind if kind is not Kind.EARLY)
COMMANDS = {b"CALL.GET": 4, b"CALL.POST": 5}
OTHERS = {b"PING": b"+PONG\r\n", b"INFO": b"-NOPERM\r\n", b"CLIENT": b"+OK\r\n", b"SELECT": b"+OK\r\n"}


class Books(Protocol):
    """Who is told what a box does; a Ledger, or a RunLog where that is in another process."""

    def arrive(self, number: bytes, at: float) -> None:
        """A request has come whole."""

    def run(self, number: bytes, box: str, at: float) -> None:
        """Work on it begins."""


@dataclass(slots=True)
class Work:
    """One request at a box."""

    link: BoxLink
    number: bytes  # the request's id
    cls: str
    terms: bytes = b""  # as its sender wrote them; likewise the body
    body: bytes = b""
    fault: Fault | None = None
    over: bool = False  # its connection has gone, or its answer


class Keys:
    """What all boxes together remember of the keys that effects were begun under."""

    def __init__(self, memory: float) -> None:
        """`memory`: seconds for which a repeat is dropped."""
        self._memory = memory
        self._begun: dict[bytes, float] = {}

    def begins(self, terms: bytes, now: float) -> bool:
        """Whether work with these terms runs; false where it is a repeat."""
        key = terms.rpartition(b"k=")[2].partition(b",")[0] if b",k=" in terms else b""
        if not key:
            return True
        if now < self._begun.get(key, -math.inf) + self._memory:
            return False
        self._begun[key] = now
        return True


class BoxLink(Link):
    """One connection of a gateway. Requests are begun as they come and answered in their order."""

    BUSY = SPOILT = b""  # how its protocol turns away, and what can't be read

    def __init__(self, listener: Listener, box: Box) -> None:
        super().__init__(listener)
        self.box = box
        self.queue: deque[tuple[Work, bytes]] = deque()  # what is owed, and the answer once there is one

    def value(self, value: bytes) -> bytes:
        """A good answer."""
        raise NotImplementedError

    def answer(self, work: Work, reply: bytes) -> None:
        """Answer when its turn comes."""
        self.queue = deque((w, reply if w is work else r) for w, r in self.queue)
        while self.queue and self.queue[0][1]:
            self.write(self.queue.popleft()[1])

    def connection_lost(self, error: Exception | None) -> None:
        """What waits is dropped; what runs, runs on."""
        super().connection_lost(error)
        for work, _ in self.queue:
            work.over = True
        self.queue.clear()


class Resp2Link(BoxLink):
    """A connection that speaks RESP2."""

    BUSY, SPOILT = b"-BUSY\r\n", b"*3\r\n$9\r\nnot this\r\n+?"

    def __init__(self, listener: Listener, box: Box) -> None:
        super().__init__(listener, box)
        self._reader = resp.Reader(16)

    def data_received(self, data: bytes) -> None:
        """Take commands."""
        try:
            self._reader.feed(data)
            while (words := self._reader.next()) is not None:
                self._take(cast(list[bytes], words))
        except resp.Malformed:
            self.write(b"-SYNTAX\r\n")
            self.transport.close()

    def _take(self, words: list[bytes]) -> None:
        known = words[0] in COMMANDS
        if known and len(words) == COMMANDS[words[0]]:
            name = words[3].partition(b"c=")[2].partition(b",")[0].decode()
            self.box.take(Work(self, words[2], name, words[3], b"".join(words[4:])))
            return
        work = Work(self, b"", "")
        self.queue.append((work, b""))
        other = OTHERS.get(words[0].upper(), b"-ERR unknown command\r\n")
        self.answer(work, b"-SYNTAX\r\n" if known else other)

    def value(self, value: bytes) -> bytes:
        """A good answer."""
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


class Box:
    """One box. `work` has seconds of mean work by class; `cores` requests run at once."""

    def __init__(
        self,
        name: str,
        seed: int,
        work: dict[str, float],
        books: Books,
        faults: Faults,
        clock: Clock,
        cores: int = 2,
        link: Callable[[Listener, Box], BoxLink] = Resp2Link,
        keys: Keys | None = None,
        sender: Callable[[bytes], str] = lambda number: "",
    ) -> None:
        """`keys`: shared with the other boxes; each request runs by default. `sender`: whose request it is.

        Faults name the way between a sender and a box, too: SILENT at `g0>box-1` loses what is sent, so that
        it never comes; at `box-1>g0` it loses the answer alone.
        """
        self.name, self._keys, self._sender = name, keys, sender
        self._random, self._mean, self._cores = random.Random(seed), work, cores
        self._books, self._faults, self._clock = books, faults, clock
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Work] = deque()
        self._running = 0
        self.seen: list[object] = []  # requests, as links that keep them do
        self.came: list[float] = []  # when each command came whole, as the ledger's clock has it
        self.listener = Listener(name, faults, clock, lambda listener: link(listener, self))

    def take(self, work: Work) -> None:
        """One request, whole."""
        work.link.queue.append((work, b""))
        now, sender = self._loop.time(), self._sender(work.number)
        if sender and self._faults.cut(f"{sender}>{self.name}", self._clock.now()):
            return  # nor does anything behind it on the connection have an answer
        self.came.append(now)
        self._books.arrive(work.number, now)
        work.fault = self._faults.pick(self.name, self._clock.now(), AT_REQUESTS)
        if sender and self._faults.cut(f"{self.name}>{sender}", self._clock.now()):
            work.fault = Fault(Kind.SILENT)
        if work.fault is not None and work.fault.kind is Kind.REFUSE:
            work.link.answer(work, work.link.BUSY)
        elif self._running < self._cores:
            self._begin(work)
        elif len(self._waiting) >= QUEUE:
            work.link.answer(work, work.link.BUSY)
        else:
            self._waiting.append(work)

    def struck(self, kind: Kind) -> Fault | None:
        """A fault of this kind that is for a link to act on, if it strikes now."""
        return self._faults.pick(self.name, self._clock.now(), (kind,))

    def _begin(self, work: Work) -> None:
        self._running += 1
        now = self._loop.time()
        if self._keys is None or self._keys.begins(work.terms, now):
            self._books.run(work.number, self.name, now)
        span = self._random.expovariate(1.0) * self._mean.get(work.cls, 0.0)
        if work.fault is not None and work.fault.kind is Kind.SLOW:
            span += work.fault.delay
        self._loop.call_later(span, self._done, work)

    def _done(self, work: Work) -> None:
        self._running -= 1
        if not work.over:
            self._reply(work)
        while self._waiting and self._running < self._cores:
            following = self._waiting.popleft()
            if not following.over:
                self._begin(following)

    def _reply(self, work: Work) -> None:
        kind = work.fault.kind if work.fault is not None else None
        if kind is Kind.SILENT:
            return  # its place in the order stays taken: nothing behind it is answered either
        if kind is Kind.RESET:
            work.link.reset()
        elif kind is Kind.SPOILT:
            work.link.answer(work, work.link.SPOILT)
        else:
            whole = work.link.value(value_for(work.number))
            work.link.answer(work, whole[: len(whole) - 9] if kind is Kind.HALF else whole)
            if kind is Kind.HALF:
                work.link.transport.close()


def value_for(number: bytes) -> bytes:
    """What a box answers to a request, and nobody else does."""
    return b"done " + number


async def open_boxes(
    count: int,
    seed: int,
    work: dict[str, float],
    books: Books,
    faults: Faults,
    clock: Clock,
    ports: Iterable[int] = (),
    link: Callable[[Listener, Box], BoxLink] = Resp2Link,
    keys: Keys | None = None,
    sender: Callable[[bytes], str] = lambda number: "",
) -> list[Box]:
    """Boxes `box-0`, `box-1` and so on, listening; on these ports, or on free ones."""
    boxes = [
        Box(f"box-{n}", seed + n, work, books, faults, clock, link=link, keys=keys, sender=sender)
        for n in range(count)
    ]
    places = iter(ports)
    for box in boxes:
        await box.listener.open(port=next(places, 0))
    return boxes
