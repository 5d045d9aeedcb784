"""Gateways before boxes: the real deciding modules, a counter, and a list of boxes that comes late."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace

from lynxreel.emulator.agenda import Agenda
from lynxreel.emulator.books import Books
from lynxreel.emulator.box import Box, Make
from lynxreel.emulator.counter import Counter
from mothgap.interface import (
    Action,
    Cancel,
    Count,
    Counted,
    CountedLate,
    Event,
    Expired,
    Fail,
    ListKind,
    Member,
    Members,
    Outcome,
    Refuse,
    Request,
    Result,
    Send,
    SetTimer,
    Settings,
    State,
    Timer,
)
from mothgap.rules import Gateway

START = 5_000_000_000  # microseconds; when an emulated day begins
COME_AGAIN = (25_000, 200_000)  # microseconds after which a client that was told no comes again
WAY = 300  # microseconds from gateway to box, or to the counter, and as many back


class _Attempt:
    """One sending of a request, until the gateway is told how it ended."""

    __slots__ = ("name", "number", "over", "request", "sent")

    def __init__(self, request: int, number: int, name: str, sent: int) -> None:
        self.request, self.number, self.name, self.sent = request, number, name, sent
        self.over = False


class _Try:
    """A client: when it asked for the first time, and how often it will come again."""

    __slots__ = ("asked", "left")

    def __init__(self, asked: int, left: int) -> None:
        self.asked, self.left = asked, left


class _Node:
    """One gateway and what it has open."""

    def __init__(self, module: Gateway) -> None:
        self.module = module
        self.open: dict[int, tuple[Request, int]] = {}  # requests that are owed an answer, and until when
        self.sent: dict[int, int] = {}  # attempts made, of requests that are open or have attempts out
        self.out: dict[tuple[int, int], _Attempt] = {}
        self.known: set[str] = set()  # boxes that it has reached: it learns late that they are silent
        self.told_off: dict[str, int] = {}


class Fleet:
    """A deployment in virtual time. `way_of_news`: the least and the longest time that the list takes."""

    def __init__(
        self,
        settings: Settings,
        boxes: int,
        seed: int = 1,
        make: Make | None = None,
        zones: int = 1,
        work: int = 100_000,
        counter: Counter | None = None,
        agenda: Agenda | None = None,
        way_of_news: tuple[int, int] = (200_000, 2_000_000),
    ) -> None:
        self.settings, self.work, self.way_of_news = settings, work, way_of_news
        self.chance = random.Random(seed)
        self.agenda = agenda or Agenda(START)
        self.counter = counter or Counter(self.agenda)
        self.books = Books(settings.plans, settings.safety.answer_slack)
        self.make = make or Make()
        self.boxes: dict[str, Box] = {}
        self.lines: dict[str, Member] = {}
        for number in range(boxes):
            self._new_box(f"box-{number:03}", number % zones, 0)
        self.nodes = [self._new_node(number) for number in range(settings.fleet_size)]
        self._ids = 0
        self._again: dict[int, _Try] = {}  # by request: what its client does if it is told no

    # --- the day ----------------------------------------------------------------------------------------

    def load(
        self,
        rate: float,
        customers: int,
        until: int,
        spread: int = 3,
        plan: int = 0,
        retries: int = 0,
        base: int = 0,
    ) -> None:
        """First tries of equal customers by chance, so many a second in all, each through its gateways.

        Customers are numbered from `base` on.

        Who is refused or failed comes again, so many times, 25 to 200 ms later and through any of them.
        """

        def come() -> None:
            if self.agenda.now >= until:
                return
            customer = base + self.chance.randrange(customers)
            cls = self.chance.randrange(len(self.settings.classes))
            now = self.agenda.now
            self._again[self._ids + 1] = _Try(now, retries)
            self.request(self._gateway(customer, spread), cls, plan, customer, spread, self._first(customer))
            self.agenda.after(max(1, int(self.chance.expovariate(rate) * 1e6)), come)

        self.agenda.after(1, come)

    def _first(self, customer: int) -> int:
        """The first of a customer's gateways."""
        return customer * 7 % len(self.nodes)

    def _gateway(self, customer: int, spread: int) -> int:
        return (self._first(customer) + self.chance.randrange(spread)) % len(self.nodes)

    def request(
        self,
        gateway: int,
        cls: int = 0,
        plan: int = 0,
        customer: int = 0,
        spread: int = 1,
        first: int = 0,
        units: float = 1.0,
        asked: int | None = None,
    ) -> int:
        """A request comes to a gateway now. Its client leaves when its class's time is over.

        `asked`: when the client asked for the first time, where this is a later try.
        """
        self._ids += 1
        now, node = self.agenda.now, self.nodes[gateway]
        left = self.settings.classes[cls].deadline - (0 if asked is None else now - asked)
        request = Request(self._ids, cls, plan, customer, units, left, spread, first, asked is not None)
        node.open[request.id] = (request, now + left)
        self.books.came(gateway, request, self.settings.classes[cls], now, asked)
        self.agenda.after(left + self.settings.safety.answer_slack, lambda: self._leave(gateway, request.id))
        self.feed(gateway, request)
        return request.id

    def run(self, span: int) -> None:
        """Let so many microseconds pass."""
        self.agenda.run(self.agenda.now + span)

    # --- what befalls boxes -----------------------------------------------------------------------------

    def in_zone(self, zone: int) -> list[str]:
        """The boxes of a zone."""
        return [name for name, line in self.lines.items() if line.zone == zone]

    def silence(self, names: Iterable[str]) -> None:
        """Cut off: no answer, and nobody is told."""
        for name in names:
            self.boxes[name].away = True

    def revive(self, names: Iterable[str]) -> None:
        """Back, as new processes: cold, with all connections broken, and the list says so in time."""
        names = list(names)
        for name in names:
            self.boxes[name].away = False
            self.boxes[name].restart()
            for gateway, node in enumerate(self.nodes):
                for attempt in [a for a in node.out.values() if a.name == name]:
                    self._told(gateway, attempt, Result.RESET)
        self._tell([replace(self.lines[name], started_at=self.agenda.now) for name in names])

    def replace(self, name: str, by: str) -> None:
        """Drain a box and, at once, start another in its zone; the drained one works off what it has."""
        line = self.lines[name]
        self._new_box(by, line.zone, self.agenda.now)
        self._tell([replace(line, state=State.DRAINING), self.lines[by]])

    def remove(self, name: str) -> None:
        """A box's process ends: its connections break, new ones are refused, and the list says so in time."""
        self.boxes[name].restart()
        self.boxes[name].fallen = True  # nobody is there
        for gateway, node in enumerate(self.nodes):
            for attempt in [a for a in node.out.values() if a.name == name]:
                self._told(gateway, attempt, Result.RESET)
        self._tell([replace(self.lines[name], state=State.GONE)])

    # --- events and actions -----------------------------------------------------------------------------

    def feed(self, gateway: int, event: Event) -> None:
        """One event for one gateway, and what it does."""
        node = self.nodes[gateway]
        for action in node.module.handle(self.agenda.now, event):
            self._act(gateway, node, action)

    def _act(self, gateway: int, node: _Node, action: Action) -> None:
        match action:
            case Send():
                self._send(gateway, node, action)
            case Count():
                self._count(gateway, action)
            case SetTimer():
                delay, timer = max(action.delay, self.settings.tick), Timer(action.token)
                self.agenda.after(delay, lambda: self.feed(gateway, timer))
            case Refuse() | Fail():
                if (held := node.open.pop(action.request, None)) is not None:
                    how = "refused" if isinstance(action, Refuse) else "failed"
                    self.books.ended(gateway, action.request, how, self.agenda.now)
                    self._come_again(held[0])
            case Cancel():
                attempt = node.out.get((action.request, action.attempt))
                if attempt is not None:
                    self.agenda.after(0, lambda: self._told(gateway, attempt, Result.CANCELLED))
            case _:
                pass

    def _come_again(self, request: Request) -> None:
        """Its client has been told no; it may have tries left, and time for one."""
        tried = self._again.pop(request.id, None)
        if tried is None or not tried.left:
            return

        def come() -> None:
            if self.agenda.now - tried.asked < self.settings.classes[request.cls].aim:
                turn = self.chance.randrange(request.entry_points)
                gateway = (request.first_entry + turn) % len(self.nodes)
                self._again[self._ids + 1] = _Try(tried.asked, tried.left - 1)
                self.request(gateway, request.cls, request.plan, request.customer, request.entry_points,
                             request.first_entry, request.units, tried.asked)  # fmt: skip

        self.agenda.after(self.chance.randint(*COME_AGAIN), come)

    def _send(self, gateway: int, node: _Node, action: Send) -> None:
        now, number = self.agenda.now, node.sent.get(action.request, 0)
        node.sent[action.request] = number + 1
        attempt = _Attempt(action.request, number, action.server, now)
        node.out[action.request, number] = attempt
        off = node.told_off.get(action.server)
        self.books.sent(gateway, action.request, action.server, number == 0, off, now)
        _, until = node.open.get(action.request, (None, now))
        wait = min(action.timeout or until - now, until - now)
        box = self.boxes[action.server]
        if box.away and action.server not in node.known:
            after, how = self.settings.limits.connect_timeout, Result.CONNECT_FAILED
            self.agenda.after(min(wait, after), lambda: self._told(gateway, attempt, how))
            return
        work = int(self.chance.expovariate(1 / self.work)) + 1
        back = now + wait

        def arrive() -> None:
            was = box.fallen
            box.arrive(work, back, lambda how: self.agenda.after(WAY, lambda: end(how)))
            if box.fallen and not was:
                self.books.fell(action.server)

        def end(how: Result) -> None:
            if how is Result.OK:
                node.known.add(action.server)
            self._told(gateway, attempt, how, (box.report(),))

        self.agenda.after(WAY, arrive)
        self.agenda.after(wait, lambda: self._told(gateway, attempt, Result.TIMEOUT))

    def _told(self, gateway: int, attempt: _Attempt, how: Result, load: tuple[float, ...] = ()) -> None:
        """An attempt has ended for its gateway; a later word of it is not heard."""
        node, now = self.nodes[gateway], self.agenda.now
        if attempt.over:
            return
        attempt.over = True
        del node.out[attempt.request, attempt.number]
        if how is not Result.OK:
            node.known.discard(attempt.name)
            load = ()
            if not how.never_ran:
                self.books.may_have_run(gateway, attempt.request, attempt.name, attempt.sent)
        elif node.open.pop(attempt.request, None) is not None:
            self._again.pop(attempt.request, None)
            self.books.ended(gateway, attempt.request, "served", now)
        final = attempt.request not in node.open
        elapsed, number = now - attempt.sent, attempt.number
        self.feed(gateway, Outcome(attempt.request, number, attempt.name, how, elapsed, final, load=load))
        if final and not any(request == attempt.request for request, _ in node.out):
            node.sent.pop(attempt.request, None)

    def _count(self, gateway: int, action: Count) -> None:
        assert self.settings.counter is not None
        limit, asked = self.settings.counter.time_limit, self.agenda.now
        over = False

        def told(how: Result, total: float) -> None:
            nonlocal over
            if over:
                if how is Result.OK:
                    self.feed(gateway, CountedLate(action.name, action.amount, total))
                return
            over = True
            self.feed(gateway, Counted(action.name, how, self.agenda.now - asked, total))

        def late() -> None:
            nonlocal over
            if not over:
                over = True
                self.feed(gateway, Counted(action.name, Result.TIMEOUT, limit, 0.0))

        self.agenda.after(
            WAY, lambda: self.counter.add(action.name, action.amount, lambda how, total: self.agenda.after(
                WAY, lambda: told(how, total))))  # fmt: skip
        self.agenda.after(limit, late)

    def _leave(self, gateway: int, request: int) -> None:
        """The client's time is over, and no answer has come."""
        if self.nodes[gateway].open.pop(request, None) is not None:
            self._again.pop(request, None)
            self.books.ended(gateway, request, "left", self.agenda.now)
            self.feed(gateway, Expired(request))

    # --- the list of boxes ------------------------------------------------------------------------------

    def _new_box(self, name: str, zone: int, started: int) -> None:
        self.boxes[name] = Box(self.make, self.agenda, self.work, started)
        self.lines[name] = Member(name, State.READY, zone=zone, started_at=started)

    def _new_node(self, number: int) -> _Node:
        zones = 1 + max(line.zone for line in self.lines.values())
        settings = replace(self.settings, index=number, zone=number % zones)
        node = _Node(Gateway(settings, self.chance.getrandbits(32), self.agenda.now))
        node.module.handle(self.agenda.now, Members(ListKind.CACHED, 1, tuple(self.lines.values())))
        return node

    def _tell(self, lines: list[Member]) -> None:
        """Each gateway hears of the changes after a while of its own."""
        for line in lines:
            self.lines[line.server] = line
        for gateway, node in enumerate(self.nodes):

            def hear(gateway: int = gateway, node: _Node = node) -> None:
                for line in lines:
                    if line.state is not State.READY:
                        grace = self.settings.safety.drain_grace
                        node.told_off.setdefault(line.server, self.agenda.now + grace)
                self.feed(gateway, Members(ListKind.CHANGES, 2, tuple(lines)))

            self.agenda.after(self.chance.randint(*self.way_of_news), hear)
