"""Drives the decision module: events in, `Gateway.handle`, actions out. Clock, ids and timers; no sockets."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from lynxreel.engine.shutdown_report import ShutdownReport
from lynxreel.internal_errors import internal_errors
from lynxreel.log import log
from mothgap import interface as api
from mothgap import view
from mothgap.rules import Gateway

if TYPE_CHECKING:
    from lynxreel.protocol.exchange import Exchange
    from lynxreel.relay.stream import Stream

WAY = 10_000  # microseconds of a client's patience kept back for the way there and back and for loop lag
LATE = 5_000  # microseconds past the deadline told to the module at which the answer is given without it


class Call(Protocol):
    """A client's request, as the engine sees it."""

    id: bytes
    cls: int
    plan: int
    customer: int
    units: float
    patience: int  # milliseconds, from when the client sent it
    spread: int
    first: int
    retry: bool
    streams: bool  # it may be served a value that is passed on as it comes
    counted: bool  # its units are on the counter already
    sent: bool  # and are taken from a part of its ceiling
    back: bool  # its client has asked for it before, under this id, and comes back
    seeks: bool  # its client may have: it is begun where nobody is found to have it
    mark: bytes  # of what is asked, where the id does not say all of it; empty: it does

    def portable(self) -> tuple[bytes, ...]:
        """The strings of its command, from which another instance can go on with it."""

    def command(self, wait: int) -> bytes:
        """The command for a server, which is told how many microseconds the gateway waits."""

    def exchange(self, wait: int) -> Exchange:
        """The same for a server that speaks HTTP."""

    def served(self, value: bytes | Stream, again: bool = False) -> None:
        """Answer with a server's value; an `Answer` where that speaks HTTP, a `Stream` where it is large.

        `again`: another request for the same has brought it.
        """

    def refused(self, wait: int) -> None:
        """Answer that it may come again, after so many microseconds if not 0."""

    def failed(self) -> None:
        """Answer that it failed."""

    def unknown(self) -> None:
        """Answer that it may have run, that this will never be known, and that it will not run again."""

    def clash(self) -> None:
        """Answer that its id is that of another request."""


class Desk(Protocol):
    """Where fronts bring requests."""

    def submit(self, call: Call) -> int:
        """Take a request; the number is for `gone`. 0: its id is that of another one, and it is not taken."""

    def gone(self, request: int) -> None:
        """The client has left."""


class Watch(Protocol):
    """Who is told what becomes of requests, before whoever waits for it."""

    def counted(self, request: int) -> None:
        """An add was written as it was taken."""

    def ended(self, attempt: Attempt, result: api.Result) -> None:
        """An attempt has ended."""

    def unsure(self) -> Iterable[tuple[int, bool]]:
        """Requests with which another instance may have gone on since the last call, or may not any more.

        Their units are not, or are again, this one's to give back.
        """


class Backend(Protocol):
    """Where attempts go."""

    def send(self, attempt: Attempt, timeout: int) -> None:
        """Start an attempt; exactly one `Engine.finished` follows."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""

    def withdraw(self, attempt: Attempt) -> None:
        """Give an attempt up if no byte of it has gone out; it ends as not sent."""

    def shorten(self, attempt: Attempt, timeout: int) -> None:
        """Wait for so many microseconds more at the most."""


class Tally(Protocol):
    """Who counts what became of requests, for the operators."""

    def taken(self, cls: int, plan: int) -> None:
        """A request is here."""

    def ended(self, cls: int, plan: int, how: str, cause: api.Cause | None) -> None:
        """It has had its answer, or its client has left."""


class Counter(Protocol):
    """Where counts go."""

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """Add; exactly one `Counted` event follows."""


class Peers(Protocol):
    """Where messages to other gateways go."""

    def tell(self, to: int | None, data: bytes) -> None:
        """Send to one gateway by its number, or to all others."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a server."""

    request: int
    number: int
    server: str
    held: Open
    started: int
    over: bool = False

    @property
    def call(self) -> Call:
        """The client's request."""
        return self.held.call


@dataclass(slots=True, eq=False)
class Open:
    """A request that is owed its final answer."""

    call: Call
    until: int  # when the client gives up, as told to the module
    deadline: asyncio.TimerHandle
    attempts: int = 0
    unsent: int = 0  # of these, that count for nothing, as no byte of them went out
    out: int = 0  # attempts that have not ended
    may_have_run: bool = False  # an attempt that has ended may have
    over: bool = False  # answered or left, but the module has not been told yet


@dataclass(slots=True)
class Clock:
    """Microseconds: Unix time at the start, and from there monotonic, so that all gateways share windows."""

    base: int = field(default_factory=lambda: time.time_ns() - time.monotonic_ns())

    def now(self) -> int:
        """The time now."""
        return (self.base + time.monotonic_ns()) // 1_000


class Engine:
    """One gateway's decisions, and who is owed what."""

    def __init__(
        self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop, clock: Clock | None = None
    ) -> None:
        self.clock = clock or Clock()
        self.backend: Backend
        self.counter: Counter | None = None  # a deployment may have none
        self.tally: Tally | None = None
        self.peers: Peers | None = None
        self.watch: Watch | None = None
        self.shutdown: ShutdownReport | None = None  # once the process is to end
        self.sees: Callable[[str, api.Result], None] | None = None  # how attempts at servers end
        self._settings = settings
        self._loop = loop
        self._module = Gateway(settings, seed, self.clock.now())
        self._ids = itertools.count(1)
        self._open: dict[int, Open] = {}
        self._taken: set[bytes] = set()  # ids of requests that are open, or have attempts out
        self._out: dict[tuple[int, int], Attempt] = {}
        self._news: deque[api.Event] = deque()
        self._events: deque[api.Event] = deque()
        self._scheduled = False
        self._until: int | None = None  # by then everything is answered: the process ends

    # --- what the sockets tell --------------------------------------------------------------------------

    def submit(self, call: Call) -> int:
        """Take a request; the number is for `gone`. 0: its id is that of another one, and it is not taken."""
        if call.id in self._taken:
            return 0
        self._taken.add(call.id)
        if self.tally is not None:
            self.tally.taken(call.cls, call.plan)
        request = next(self._ids)
        # Nobody waits for longer than the class's deadline, whatever a client says.
        left = max(0, min(call.patience * 1_000, self._settings.classes[call.cls].deadline) - WAY)
        now = self.clock.now()
        until = now + left if self._until is None else min(now + left, self._until)
        self._open[request] = Open(call, until, self._outlived_at(request, until))
        extras = (call.units, left, call.spread, call.first, call.retry, call.counted, call.sent)
        self.post(api.Request(request, call.cls, call.plan, call.customer, *extras))
        return request

    def gone(self, request: int, moved: bool = False) -> None:
        """The client has left. `moved`: another gateway has its request, with the units that it took."""
        if self._close(request, "left") is not None:
            if moved:
                self.post(api.Unsure(request, True))
            self._withdraw(request)
            self.post(api.Expired(request))

    def stop(self, refuse_after: float, answer_by: float) -> None:
        """The process ends: refuse what comes after so many seconds, and have all answered after so many.

        Deadlines that lie beyond that are brought forward, and with them what servers are waited for.
        A second call can only make the times earlier.
        """
        now = self.clock.now()
        until = now + int(answer_by * 1e6)
        self._until = until if self._until is None else min(until, self._until)
        self._news.append(api.Stopping(now + int(refuse_after * 1e6), self._until))
        self._schedule()
        for request, held in self._open.items():
            if not held.over and held.until > self._until:
                held.until = self._until
                held.deadline.cancel()
                held.deadline = self._outlived_at(request, held.until)
        for attempt in list(self._out.values()):
            self.backend.shorten(attempt, max(0, self._until - now))

    def adopt(self, settings: api.Settings) -> None:
        """Go by other settings. Classes and plans keep their places, as `NewSettings` says."""
        self._settings = settings
        self._news.append(api.NewSettings(settings))
        self._schedule()

    def share(self, part: float) -> None:
        """Hold this part of an even share of all ceilings from now on; it goes before all that is queued."""
        self._news.append(api.Share(part))
        self._schedule()

    def use(self, parts: Mapping[int, float]) -> None:
        """Use these parts of zones' servers from now on, and all of the others'."""
        self._news.append(api.ZoneParts(tuple(parts.items())))
        self._schedule()

    def believes(self, customer: int) -> dict[str, float]:
        """What the module knows of a customer's use, for the operators."""
        return view.customer_state(self._module, customer)

    def in_use(self) -> dict[int, view.ZoneLoad]:
        """What is out at each zone's servers, and how much they bear of this gateway."""
        return view.zone_loads(self._module)

    def owed(self) -> int:
        """Requests that wait for their final answer."""
        return sum(not held.over for held in self._open.values())

    def news(self, members: api.Members) -> None:
        """The list of servers has changed. It goes before all that is queued: sends rely on it."""
        self._news.append(members)
        self._schedule()

    def post(self, event: api.Event) -> None:
        """Queue an event; the queue is worked off when all sockets that are ready have been read."""
        self._events.append(event)
        self._schedule()

    def finished(
        self, attempt: Attempt, result: api.Result, value: bytes | Stream = b"", load: tuple[float, ...] = ()
    ) -> None:
        """An attempt has ended. The first good answer goes to the client; a large one has only begun."""
        if attempt.over:
            return
        attempt.over = True
        self._out.pop((attempt.request, attempt.number), None)
        attempt.held.out -= 1
        attempt.held.unsent += result is api.Result.NOT_SENT
        attempt.held.may_have_run |= not result.never_ran
        if self.watch is not None:
            self.watch.ended(attempt, result)
        if self.sees is not None:
            self.sees(attempt.server, result)
        if self.shutdown is not None:
            self.shutdown.attempt_ended(attempt.call.id, attempt.number, result.value)
        if result is api.Result.OK and (closed := self._close(attempt.request, "served")) is not None:
            self._answer(closed, lambda call: call.served(value))
        elif not isinstance(value, bytes):
            value.gone()  # nobody waits for it
        self._forget_id(attempt.held)
        elapsed = self.clock.now() - attempt.started
        final = attempt.held.over
        self.post(
            api.Outcome(attempt.request, attempt.number, attempt.server, result, elapsed, final, load=load)
        )
        if final:
            self._withdraw(attempt.request)

    # --- events and actions -----------------------------------------------------------------------------

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._work)

    def _work(self) -> None:
        """Hand the queued events to the module. What it adds to the queue meanwhile has the next turn."""
        self._scheduled = False
        if self.watch is not None:  # known before any of them is refused
            for request, unsure in self.watch.unsure():
                self._decide(api.Unsure(request, unsure))
        for queue in (self._news, self._events):
            for _ in range(len(queue)):
                event = queue.popleft()
                actions = self._decide(event)
                for action in actions:
                    self._act(action, event)
                if self.watch is not None and isinstance(event, api.Request):
                    self._tell_counted(event.id, actions)
                if isinstance(event, api.Expired) or (isinstance(event, api.Outcome) and event.final):
                    self._open.pop(event.request, None)

    def _decide(self, event: api.Event) -> list[api.Action]:
        """What is to be done at an event. One request's trouble ends neither the process nor others."""
        try:
            return self._module.handle(self.clock.now(), event)
        except Exception as fault:
            internal_errors.caught(fault, f"the event {event}")
            about, actions = _about(event), list[api.Action]()
            if isinstance(fault, api.EventError):
                about, actions = fault.request, fault.actions
            answered = [a.request for a in actions if isinstance(a, (api.Refuse, api.Fail))]
            if about is not None and about not in answered:
                self._give_up(about)
            return actions

    def _tell_counted(self, request: int, actions: list[api.Action]) -> None:
        if self.watch is not None and any(isinstance(action, api.Count) for action in actions):
            self.watch.counted(request)

    def _give_up(self, request: int) -> None:
        """End a request without the module: as a refusal only where that is known to be harmless."""
        self._withdraw(request)  # what has not been written yet never ran
        held = self._open.get(request)
        if held is None or held.over:
            return
        repeatable = self._settings.classes[held.call.cls].effect is api.Effect.REPEATABLE
        if repeatable or not (held.out or held.may_have_run):
            self._close(request, "refused")
            self._answer(held, lambda call: call.refused(0))
        else:
            self._close(request, "failed")
            self._answer(held, lambda call: call.failed())
        self.post(api.Expired(request))

    @staticmethod
    def _answer(held: Open, tell: Callable[[Call], None]) -> None:
        """Give the one answer. A front that can't must not keep the module from what has become of it."""
        try:
            tell(held.call)
        except Exception as fault:
            internal_errors.caught(fault, "an answer")

    def _withdraw(self, request: int) -> None:
        """Guards servers against work that nobody waits for: connections may come up long after the end."""
        held = self._open.get(request)
        for number in range(held.attempts if held is not None and held.out else 0):
            if (attempt := self._out.get((request, number))) is not None:
                self.backend.withdraw(attempt)

    def _act(self, action: api.Action, event: api.Event) -> None:
        """Carry out one action. One that fails ends as such, and those behind it are carried out."""
        try:
            self._carry_out(action)
        except Exception as fault:
            internal_errors.caught(fault, f"the action {action}")
            self._not_carried_out(action, event)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Count():
                self._count(action)
            case api.SetTimer():
                self._loop.call_later(action.delay / 1e6, self.post, api.Timer(action.token))
            case api.Refuse():
                if (held := self._close(action.request, "refused", action.cause)) is not None:
                    wait = action.retry_after if self._settings.limits.retry_after else 0
                    self._answer(held, lambda call: call.refused(wait))
                self._open.pop(action.request, None)
            case api.Fail():
                if (held := self._close(action.request, "failed", action.cause)) is not None:
                    self._answer(held, lambda call: call.failed())
                self._open.pop(action.request, None)
            case api.Cancel():
                attempt = self._out.get((action.request, action.attempt))
                if attempt is not None:
                    self.backend.cancel(attempt)
            case api.Tell():
                if self.peers is not None:
                    self.peers.tell(action.to, action.data)
            case api.Watch():
                pass  # discovery is watched from the start, and for good
            case _:
                raise NotImplementedError(f"no code for the action {action}")

    def _not_carried_out(self, action: api.Action, event: api.Event) -> None:
        """Nothing tells how far it came: an attempt may have run, units may have been added."""
        match action:
            case api.Send():
                out = [attempt for attempt in self._out.values() if attempt.request == action.request]
                if out:
                    self.finished(out[-1], api.Result.RESET)
                else:
                    self._give_up(action.request)
            case api.Count():
                self.post(api.Counted(action.name, api.Result.RESET, 0, 0.0))
            case _:
                if (request := _about(event)) is not None:
                    self._give_up(request)

    def _count(self, action: api.Count) -> None:
        if self.counter is not None:
            self.counter.add(action.name, action.amount, action.lifetime)
        else:  # each call has its answer: this one was never made
            self.post(api.Counted(action.name, api.Result.CONNECT_FAILED, 0, 0.0))

    def _send(self, action: api.Send) -> None:
        held = self._open[action.request]
        number = held.attempts
        held.attempts += 1
        most = self._settings.limits.max_attempts
        if held.over or number - min(held.unsent, most) >= most:
            moot = api.Outcome(action.request, number, action.server, api.Result.NOT_SENT, 0, held.over)
            self.post(moot)
            return
        now = self.clock.now()
        left = max(0, held.until - now)
        attempt = Attempt(action.request, number, action.server, held, now)
        held.out += 1
        self._out[(attempt.request, attempt.number)] = attempt
        timeout = min(action.timeout or left, left)  # 0: until the client gives up
        if self.shutdown is not None:
            self.shutdown.attempt_begun(held.call.id, number, action.server, timeout / 1e6)
        self.backend.send(attempt, timeout)

    def _close(self, request: int, how: str, cause: api.Cause | None = None) -> Open | None:
        """The request's one answer is due now, unless it has had it."""
        held = self._open.get(request)
        if held is None or held.over:
            return None
        held.over = True
        if self.tally is not None:
            self.tally.ended(held.call.cls, held.call.plan, how, cause)
        if self.shutdown is not None:
            self.shutdown.request_ended(held.call.id, how, "" if cause is None else cause.value)
        held.deadline.cancel()
        self._forget_id(held)
        return held

    def _forget_id(self, held: Open) -> None:
        """Guards rule 2: an id stays taken while an attempt is out, also after the answer."""
        if held.over and not held.out:
            self._taken.discard(held.call.id)

    def _outlived_at(self, request: int, until: int) -> asyncio.TimerHandle:
        """Answer a request without the module where that has not done so by then, and a moment more."""
        left = max(0, until - self.clock.now()) + LATE
        return self._loop.call_later(left / 1e6, self._outlived, request)

    def _outlived(self, request: int) -> None:
        """Guards the one answer in time, whatever the module does."""
        if self._scheduled:
            self._work()  # a loop that was held up has just ended its attempts: the module answers better
        if request not in self._open or self._open[request].over:
            return
        log("the module let a request's time run out")
        self._give_up(request)


def _about(event: api.Event) -> int | None:
    """The request that an event names."""
    match event:
        case api.Request():
            return event.id
        case api.Outcome():
            return event.request
        case _:
            return None
