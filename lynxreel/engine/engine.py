"""Drives the decision module: passes events to `Gateway.handle` and executes the actions that it returns.

Owns the clock, request ids and timers, and does no socket I/O.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from lynxreel.engine.claims import Claims
from lynxreel.engine.shutdown_report import ShutdownReport
from lynxreel.internal_errors import internal_errors
from lynxreel.log import log
from mothgap import interface as api
from mothgap import view
from mothgap.rules import Gateway

if TYPE_CHECKING:
    from lynxreel.protocol.exchange import Exchange
    from lynxreel.relay.stream import Stream

# Microseconds subtracted from a client's timeout for the network in both directions and for event loop lag.
NETWORK_MARGIN = 10_000
EVENTS_PER_ROUND = 128  # events handled in one iteration of the loop
# Microseconds after the deadline given to the decision module at which the engine answers without it.
ANSWER_GRACE = 5_000


class Call(Protocol):
    """A client's request, as the engine sees it."""

    id: bytes
    cls: int
    plan: int
    customer: int
    units: float
    patience: int  # the client's timeout: milliseconds from when it sent the request
    spread: int
    first: int
    retry: bool
    streams: bool  # the front accepts a `Stream` as the value, forwarded while it arrives
    counted: bool  # its units have already been added to the counter
    sent: bool  # an attempt was already sent, so its units are already charged to a share of its ceiling
    back: bool  # the client reconnects for a request that it sent before under this id
    seeks: bool  # the client may have sent it before: it starts only if no instance is found to have it
    mark: bytes  # fingerprint of the request's content where the id does not identify it; empty: the id does

    def portable(self) -> tuple[bytes, ...]:
        """The strings of its command, from which another instance can resume it."""

    def command(self, wait: int) -> bytes:
        """The RESP2 command for a server, with the microseconds that the gateway waits for the answer."""

    def exchange(self, wait: int) -> Exchange:
        """The same request for a server that speaks HTTP."""

    def has_left(self) -> bool:
        """Whether its client has disconnected, and the request is given up with it."""

    def served(self, value: bytes | Stream, again: bool = False) -> None:
        """Answer with a server's value: an `Answer` if the server speaks HTTP, a `Stream` if it is large.

        `again`: the value was obtained by another request for the same operation.
        """

    def refused(self, wait: int) -> None:
        """Answer that the request may be retried, after this many microseconds if not 0."""

    def failed(self) -> None:
        """Answer that the request failed."""

    def unknown(self) -> None:
        """Answer that it may have run, that this will never be known, and that it will not run again."""

    def clash(self) -> None:
        """Answer that another request already uses its id."""


class RequestHandler(Protocol):
    """Accepts requests from the fronts."""

    def submit(self, call: Call) -> int:
        """Accept a request; returns its number for `client_disconnected`, or 0 if its id has been used."""

    def client_disconnected(self, request: int) -> None:
        """The client has disconnected."""

    def is_behind(self) -> bool:
        """Whether requests that were accepted have more to be done than one iteration of the loop takes."""


class RequestObserver(Protocol):
    """Is notified of what happens to requests before the client or the decision module is."""

    def counted(self, request: int) -> None:
        """A counter call was written when the request was accepted."""

    def ended(self, attempt: Attempt, result: api.Result) -> None:
        """An attempt has ended."""

    def unsure(self) -> Iterable[tuple[int, bool]]:
        """Requests that another instance may have resumed since the last call, or no longer may have.

        In the first case (True) this instance must not refund their units; in the second (False) it may.
        """


class Backend(Protocol):
    """Sends attempts to servers."""

    def send(self, attempt: Attempt, timeout: int) -> None:
        """Start an attempt, with a timeout in microseconds; exactly one `Engine.finished` follows."""

    def cancel(self, attempt: Attempt) -> None:
        """Abandon an attempt."""

    def withdraw(self, attempt: Attempt) -> None:
        """Abandon an attempt if no byte of it has been sent; it then ends as NOT_SENT."""

    def shorten(self, attempt: Attempt, timeout: int) -> None:
        """Wait at most this many microseconds more."""


class Tally(Protocol):
    """Counts requests and their results for the operators."""

    def taken(self, cls: int, plan: int) -> None:
        """A request was accepted."""

    def ended(self, cls: int, plan: int, how: str, cause: api.Cause | None) -> None:
        """A request was answered, or its client has disconnected."""


class Counter(Protocol):
    """Adds to the shared counter."""

    def add(self, name: int, amount: float, lifetime: int) -> None:
        """Add an amount; exactly one `Counted` event follows."""


class Peers(Protocol):
    """Sends messages to other gateways."""

    def tell(self, to: int | None, data: bytes) -> None:
        """Send to one gateway by its number, or to all others if `to` is None."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a server."""

    request: int
    number: int
    server: str
    open_request: OpenRequest
    started: int  # microseconds of the engine's clock
    ended: bool = False

    @property
    def call(self) -> Call:
        """The client's request."""
        return self.open_request.call


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without its final answer, or with unfinished attempts."""

    call: Call
    expires_at: int  # when the client stops waiting, as given to the decision module
    expiry_timer: asyncio.TimerHandle
    attempts: int = 0
    unsent: int = 0  # attempts that do not count towards the limit, as no byte of them was sent
    active: int = 0  # attempts that have not ended
    may_have_run: bool = False  # an attempt that has ended may have run on its server
    closed: bool = False  # answered, or its client disconnected; the decision module may not know yet


@dataclass(slots=True)
class Clock:
    """Microseconds: Unix time at the start, monotonic from then on, so that all gateways share windows."""

    base: int = field(default_factory=lambda: time.time_ns() - time.monotonic_ns())

    def now(self) -> int:
        """The current time."""
        return (self.base + time.monotonic_ns()) // 1_000


class Engine:
    """One gateway's decisions and its open requests."""

    def __init__(
        self, settings: api.Settings, seed: int, loop: asyncio.AbstractEventLoop, clock: Clock | None = None
    ) -> None:
        self.clock = clock or Clock()
        self.backend: Backend
        self.counter: Counter | None = None  # a deployment may have none
        self.tally: Tally | None = None
        self.peers: Peers | None = None
        self.observer: RequestObserver | None = None
        self.claims = Claims()  # on ids of requests that must not run twice
        self.shutdown: ShutdownReport | None = None  # set when the process starts to shut down
        # Called with the server and the result of each attempt that has ended.
        self.on_attempt_ended: Callable[[str, api.Result], None] | None = None
        self._settings = settings
        self._loop = loop
        self._module = Gateway(settings, seed, self.clock.now())
        self._request_numbers = itertools.count(1)
        self._requests: dict[int, OpenRequest] = {}
        self._ids_in_use: set[bytes] = set()  # ids of requests that are open or have active attempts
        self._active: dict[tuple[int, int], Attempt] = {}  # by request and attempt number
        self._priority_events: deque[api.Event] = deque()  # handled before `_events`
        self._events: deque[api.Event] = deque()
        self._scheduled = False
        self._answer_by: int | None = None  # during a shutdown: when the last request must be answered

    # --- called by the sockets' side --------------------------------------------------------------------

    def submit(self, call: Call) -> int:
        """Accept a request; returns its number for `client_disconnected`, or 0 if its id has been used.

        An id is used while a request under it is open or has an attempt in flight, and for good if a request
        under it may have run that must not run twice.
        """
        if call.id in self._ids_in_use or (self._runs_once(call) and not self.claims.claim(call.id)):
            return 0
        self._ids_in_use.add(call.id)
        if self.tally is not None:
            self.tally.taken(call.cls, call.plan)
        request = next(self._request_numbers)
        # The class's deadline bounds the wait, whatever timeout the client gives.
        time_left = max(
            0, min(call.patience * 1_000, self._settings.classes[call.cls].deadline) - NETWORK_MARGIN
        )
        now = self.clock.now()
        expires_at = now + time_left if self._answer_by is None else min(now + time_left, self._answer_by)
        self._requests[request] = OpenRequest(call, expires_at, self._start_expiry_timer(request, expires_at))
        extras = (call.units, time_left, call.spread, call.first, call.retry, call.counted, call.sent)
        self.post(api.Request(request, call.cls, call.plan, call.customer, *extras))
        return request

    def _runs_once(self, call: Call) -> bool:
        return self._settings.classes[call.cls].effect is api.Effect.ONCE

    def client_disconnected(self, request: int, moved: bool = False) -> None:
        """The client has disconnected. `moved`: another gateway has resumed the request and has its units."""
        if self._close(request, "left") is not None:
            if moved:
                self.post(api.Unsure(request, True))
            self._withdraw_attempts(request)
            self.post(api.Expired(request))

    def is_behind(self) -> bool:
        """Whether more events are queued than one iteration of the loop takes."""
        return len(self._events) > EVENTS_PER_ROUND

    def stop(self, refuse_after: float, answer_by: float) -> None:
        """Start a shutdown: refuse requests after `refuse_after` seconds, answer all in `answer_by` seconds.

        Later deadlines of requests and timeouts of attempts are reduced to `answer_by`.
        A second call can only make the times earlier.
        """
        now = self.clock.now()
        last_answer = now + int(answer_by * 1e6)
        self._answer_by = last_answer if self._answer_by is None else min(last_answer, self._answer_by)
        self._priority_events.append(api.Stopping(now + int(refuse_after * 1e6), self._answer_by))
        self._schedule()
        for request, open_request in self._requests.items():
            if not open_request.closed and open_request.expires_at > self._answer_by:
                open_request.expires_at = self._answer_by
                open_request.expiry_timer.cancel()
                open_request.expiry_timer = self._start_expiry_timer(request, open_request.expires_at)
        for attempt in list(self._active.values()):
            self.backend.shorten(attempt, max(0, self._answer_by - now))

    def apply_settings(self, settings: api.Settings) -> None:
        """Use new settings. Classes and plans keep their indices, as `NewSettings` requires."""
        self._settings = settings
        self._priority_events.append(api.NewSettings(settings))
        self._schedule()

    def set_ceiling_share(self, fraction: float) -> None:
        """Set the fraction of an even share of all ceilings to use; handled before all queued events."""
        self._priority_events.append(api.Share(fraction))
        self._schedule()

    def set_zone_fractions(self, fractions: Mapping[int, float]) -> None:
        """Set the fraction of each zone's servers to use; zones that are not named are used in full."""
        self._priority_events.append(api.ZoneParts(tuple(fractions.items())))
        self._schedule()

    def customer_usage(self, customer: int) -> dict[str, float]:
        """What the decision module knows of a customer's usage, for the operators."""
        return view.customer_state(self._module, customer)

    def customer_count(self) -> int:
        """Number of customers whose state the decision module keeps."""
        return view.customer_count(self._module)

    def zone_usage(self) -> dict[int, view.ZoneLoad]:
        """By zone: this gateway's attempts in flight, and how many its servers can take from it at once."""
        return view.zone_loads(self._module)

    def pending_requests(self) -> int:
        """Number of requests that wait for their final answer."""
        return sum(not open_request.closed for open_request in self._requests.values())

    def update_members(self, members: api.Members) -> None:
        """Update the list of servers; handled before all queued events, as sends rely on it."""
        self._priority_events.append(members)
        self._schedule()

    def post(self, event: api.Event) -> None:
        """Queue an event; the queue is processed when all sockets that are ready have been read."""
        self._events.append(event)
        self._schedule()

    def finished(
        self, attempt: Attempt, result: api.Result, value: bytes | Stream = b"", load: tuple[float, ...] = ()
    ) -> None:
        """An attempt has ended; the first good answer goes to the client. A `Stream` is still arriving."""
        if attempt.ended:
            return
        attempt.ended = True
        self._active.pop((attempt.request, attempt.number), None)
        attempt.open_request.active -= 1
        attempt.open_request.unsent += result is api.Result.NOT_SENT
        attempt.open_request.may_have_run |= not result.never_ran
        if self.observer is not None:
            self.observer.ended(attempt, result)
        if self.on_attempt_ended is not None:
            self.on_attempt_ended(attempt.server, result)
        if self.shutdown is not None:
            self.shutdown.attempt_ended(attempt.call.id, attempt.number, result.value)
        if result is api.Result.OK and (closed := self._close(attempt.request, "served")) is not None:
            self._respond(closed, lambda call: call.served(value))
        elif not isinstance(value, bytes):
            value.release()  # the request was answered before, so the value is not needed
        self._release_id(attempt.open_request)
        elapsed = self.clock.now() - attempt.started
        final = attempt.open_request.closed
        self.post(
            api.Outcome(attempt.request, attempt.number, attempt.server, result, elapsed, final, load=load)
        )
        if final:
            self._withdraw_attempts(attempt.request)

    # --- events and actions -----------------------------------------------------------------------------

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._process_events)

    def _process_events(self) -> None:
        """Handle queued events, as many as an iteration of the loop may take, and the others in the next."""
        self._scheduled = False
        if self.observer is not None:  # the module has to know this before it refuses one of these requests
            for request, unsure in self.observer.unsure():
                self._handle_event(api.Unsure(request, unsure))
        for queue in (self._priority_events, self._events):
            for _ in range(min(len(queue), EVENTS_PER_ROUND)):
                event = queue.popleft()
                actions = self._handle_event(event)
                for action in actions:
                    self._execute(action, event)
                if self.observer is not None and isinstance(event, api.Request):
                    self._notify_counted(event.id, actions)
                if isinstance(event, api.Expired) or (isinstance(event, api.Outcome) and event.final):
                    self._requests.pop(event.request, None)
        if self._priority_events or self._events:
            self._schedule()

    def _handle_event(self, event: api.Event) -> list[api.Action]:
        """The module's actions for an event. An exception affects neither the process nor other requests."""
        try:
            return self._module.handle(self.clock.now(), event)
        except Exception as error:
            internal_errors.caught(error, f"the event {event}")
            request, actions = _request_of(event), list[api.Action]()
            if isinstance(error, api.EventError):
                request, actions = error.request, error.actions
            answered = [a.request for a in actions if isinstance(a, (api.Refuse, api.Fail))]
            if request is not None and request not in answered:
                self._abandon(request)
            return actions

    def _notify_counted(self, request: int, actions: list[api.Action]) -> None:
        if self.observer is not None and any(isinstance(action, api.Count) for action in actions):
            self.observer.counted(request)

    def _abandon(self, request: int) -> None:
        """Answer a request without the module: with a refusal only if a retry is known to be safe."""
        self._withdraw_attempts(request)  # these have not been written, so they never ran
        open_request = self._requests.get(request)
        if open_request is None or open_request.closed:
            return
        repeatable = self._settings.classes[open_request.call.cls].effect is api.Effect.REPEATABLE
        if repeatable or not (open_request.active or open_request.may_have_run):
            self._close(request, "refused")
            self._respond(open_request, lambda call: call.refused(0))
        else:
            self._close(request, "failed")
            self._respond(open_request, lambda call: call.failed())
        self.post(api.Expired(request))

    @staticmethod
    def _respond(open_request: OpenRequest, answer: Callable[[Call], None]) -> None:
        """Send the final answer. If the front raises, the module must still be notified of the outcome."""
        try:
            answer(open_request.call)
        except Exception as error:
            internal_errors.caught(error, "an answer")

    def _withdraw_attempts(self, request: int) -> None:
        """Prevents work for closed requests: a connection may be established long after the final answer."""
        open_request = self._requests.get(request)
        for number in range(open_request.attempts if open_request is not None and open_request.active else 0):
            if (attempt := self._active.get((request, number))) is not None:
                self.backend.withdraw(attempt)

    def _execute(self, action: api.Action, event: api.Event) -> None:
        """Execute one action. An exception ends only this one; the actions after it are still executed."""
        try:
            self._carry_out(action)
        except Exception as error:
            internal_errors.caught(error, f"the action {action}")
            self._recover_from_failed_action(action, event)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Count():
                self._add_to_counter(action)
            case api.SetTimer():
                self._loop.call_later(action.delay / 1e6, self.post, api.Timer(action.token))
            case api.Refuse():
                if (open_request := self._close(action.request, "refused", action.cause)) is not None:
                    wait = action.retry_after if self._settings.limits.retry_after else 0
                    self._respond(open_request, lambda call: call.refused(wait))
                self._requests.pop(action.request, None)
            case api.Fail():
                if (open_request := self._close(action.request, "failed", action.cause)) is not None:
                    self._respond(open_request, lambda call: call.failed())
                self._requests.pop(action.request, None)
            case api.Cancel():
                attempt = self._active.get((action.request, action.attempt))
                if attempt is not None:
                    self.backend.cancel(attempt)
            case api.Tell():
                if self.peers is not None:
                    self.peers.tell(action.to, action.data)
            case api.Watch():
                pass  # discovery is watched from the start until the process ends
            case _:
                raise NotImplementedError(f"unsupported action: {action}")

    def _recover_from_failed_action(self, action: api.Action, event: api.Event) -> None:
        """Assume the worst: the attempt may have run, or the units may have been added."""
        match action:
            case api.Send():
                active = [attempt for attempt in self._active.values() if attempt.request == action.request]
                if active:
                    self.finished(active[-1], api.Result.RESET)
                else:
                    self._abandon(action.request)
            case api.Count():
                self.post(api.Counted(action.name, api.Result.RESET, 0, 0.0))
            case _:
                if (request := _request_of(event)) is not None:
                    self._abandon(request)

    def _add_to_counter(self, action: api.Count) -> None:
        if self.counter is not None:
            self.counter.add(action.name, action.amount, action.lifetime)
        else:  # the module expects one result for each call: report that this one was never made
            self.post(api.Counted(action.name, api.Result.CONNECT_FAILED, 0, 0.0))

    def _send(self, action: api.Send) -> None:
        open_request = self._requests[action.request]
        number = open_request.attempts
        open_request.attempts += 1
        max_attempts = self._settings.limits.max_attempts
        if open_request.closed or number - min(open_request.unsent, max_attempts) >= max_attempts:
            not_sent = api.Outcome(
                action.request, number, action.server, api.Result.NOT_SENT, 0, open_request.closed
            )
            self.post(not_sent)
            return
        now = self.clock.now()
        time_left = max(0, open_request.expires_at - now)
        attempt = Attempt(action.request, number, action.server, open_request, now)
        open_request.active += 1
        self._active[(attempt.request, attempt.number)] = attempt
        timeout = min(action.timeout or time_left, time_left)  # 0: as long as the client waits
        if self.shutdown is not None:
            self.shutdown.attempt_started(open_request.call.id, number, action.server, timeout / 1e6)
        self.backend.send(attempt, timeout)

    def _close(self, request: int, how: str, cause: api.Cause | None = None) -> OpenRequest | None:
        """Close a request that is about to get its final answer; None if it was closed before."""
        open_request = self._requests.get(request)
        if open_request is None or open_request.closed:
            return None
        open_request.closed = True
        if self.tally is not None:
            self.tally.ended(open_request.call.cls, open_request.call.plan, how, cause)
        if self.shutdown is not None:
            self.shutdown.request_ended(open_request.call.id, how, "" if cause is None else cause.value)
        open_request.expiry_timer.cancel()
        self._release_id(open_request)
        return open_request

    def _release_id(self, open_request: OpenRequest) -> None:
        """Prevents a second copy at a server: an id stays in use while an attempt is active."""
        if open_request.closed and not open_request.active:
            self._ids_in_use.discard(open_request.call.id)
            if self._runs_once(open_request.call) and not open_request.may_have_run:
                self.claims.release(open_request.call.id)

    def _start_expiry_timer(self, request: int, expires_at: int) -> asyncio.TimerHandle:
        """Have a request answered without the module if that does not answer by `expires_at` plus a grace."""
        delay = max(0, expires_at - self.clock.now()) + ANSWER_GRACE
        return self._loop.call_later(delay / 1e6, self._expire, request)

    def _expire(self, request: int) -> None:
        """Ensures one answer in time, whatever the module does."""
        if self._scheduled and not self.is_behind():
            # After a stall of the loop, attempts have just timed out: the module's answer is more precise.
            self._process_events()
        if request not in self._requests or self._requests[request].closed:
            return
        log("the decision module did not answer a request in time")
        self._abandon(request)


def _request_of(event: api.Event) -> int | None:
    """The number of the request that an event is about; None if it is about none."""
    match event:
        case api.Request():
            return event.id
        case api.Outcome():
            return event.request
        case _:
            return None
