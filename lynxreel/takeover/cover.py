"""Connects the takeover state machine to the fronts, the engine, the boxes and the links."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lynxreel.engine.engine import NETWORK_MARGIN, Attempt, Call, Engine
from lynxreel.links.mesh import Mesh
from lynxreel.links.peers import News
from lynxreel.links.rank import Ranks
from lynxreel.log import log
from lynxreel.takeover.actions import (
    Action,
    AllowAttempt,
    AnswerClient,
    CancelRequest,
    DenyAttempt,
    ProposeDecision,
    ReportTransfer,
    ResumeRequest,
    SendMessage,
    StartRequest,
)
from lynxreel.takeover.calls import OwnedCall, answer_call
from lynxreel.takeover.messages import MESSAGE_TYPES, Answer, AnswerKind, Record
from lynxreel.takeover.terms import ClassSettings, TakeoverSettings
from lynxreel.takeover.work import TakeoverCore
from mothgap.interface import Effect, Result, Settings

if TYPE_CHECKING:
    from lynxreel.backends.pools import Servers
    from lynxreel.relay.stream import Stream
    from lynxreel.takeover.word import DecisionConfig, DecisionStore

SHUTDOWN_WRITE_TIMEOUT = 0.5  # seconds that a shutdown waits until its messages are written


@dataclass(frozen=True)
class TakeoverPlan:
    """Takeover settings of an instance; times in microseconds."""

    max_replicas: int
    max_replica_bytes: int
    ack_timeout: int
    retention: int
    wait_for_ack: bool
    decisions: DecisionConfig | None  # decides who resumes if an owner and its keeper can't reach each other
    lease: int
    max_drift: float
    parallel_attempts: bool  # two attempts of a request may run at the same time
    longest_deadline: int  # the longest deadline of all classes


class TakeoverService:
    """The takeover service of one instance: its in-flight requests and the replicas that it keeps."""

    def __init__(
        self,
        plan: TakeoverPlan,
        engine: Engine,
        servers: Servers,
        mesh: Mesh,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`apply_settings` has to be called before anything else."""
        self._plan, self._engine, self._servers, self._loop = plan, engine, servers, loop
        engine.backend, engine.observer = self, self
        servers.may_send, self.mesh = self._may_send, mesh
        mesh.register(MESSAGE_TYPES, self._message_received, self._peers_changed)
        places = (mesh.own, *mesh.places.values())
        zones = {place.name: place.zone for place in places}
        hosts = {place.name: place.host or place.name for place in places}
        self._classes: dict[str, ClassSettings] = {}
        self._store: DecisionStore | None = None
        if plan.decisions is not None:
            # Imported here: it needs a library that is not needed otherwise.
            from lynxreel.takeover.word import DecisionStore

            self._store = DecisionStore(plan.decisions, plan.retention + plan.longest_deadline)
        self._decision_tasks: set[asyncio.Task[None]] = set()
        settings = TakeoverSettings(
            name=mesh.own.name,
            classes=self._classes,
            max_replicas=plan.max_replicas,
            max_replica_bytes=plan.max_replica_bytes,
            ack_timeout=plan.ack_timeout,
            retention=plan.retention,
            wait_for_ack=plan.wait_for_ack,
            lease=plan.lease if self._store is not None else 0,
            max_drift=plan.max_drift,
            parallel_attempts=plan.parallel_attempts,
            incarnation=mesh.incarnation,
        )
        self.core = TakeoverCore(settings, self.mesh.peers, Ranks(zones, hosts))
        self._tokens = itertools.count(1)
        self._calls: dict[int, Call] = {}  # clients that wait here, by token
        self._timers: dict[int, asyncio.TimerHandle] = {}  # of clients that returned
        self._unreplicated: dict[int, OwnedCall] = {}  # requests that have not been replicated yet, by token
        self._covered: dict[int, OwnedCall] = {}  # by the engine's number of the request
        self._by_id: dict[bytes, OwnedCall] = {}
        self._expired_keepers: frozenset[str] = frozenset()  # at the last check
        self._unsure: set[int] = set()  # requests that could not be acted on at the last check
        # Requests that have ended since then, and could not be acted on when they did.
        self._ended_unsure: set[int] = set()
        # Attempts that wait for an Ack, and their deadlines.
        self._pending_attempts: dict[tuple[bytes, int], tuple[Attempt, int]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next_tick: int | None = None
        # Writes to the operators' records.
        self.note: Callable[[str, dict[str, Any]], None] = lambda kind, content: None
        self._reported_counts = dict(self.core.counts)

    def apply_settings(self, settings: Settings, places: tuple[Mapping[str, int], Mapping[str, int]]) -> None:
        """Applies these settings from now on; `places` are the numbers of classes and plans by name."""
        self._settings = settings
        self._places = places
        self._names = tuple({number: name for name, number in named.items()} for named in places)
        for name, number in places[0].items():
            cls = settings.classes[number]
            self._classes[name] = ClassSettings(cls.effect, cls.key_memory)

    async def hand_off(self) -> None:
        """Moves replicas of failed owners to other instances; called at shutdown, with no answer pending."""
        self._perform(self.core.hand_off(self._now()))
        await self.mesh.written(SHUTDOWN_WRITE_TIMEOUT)

    def close(self) -> None:
        """Cancels timers and tasks at the end of the process."""
        for timer in self._timers.values():
            timer.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._decision_tasks):
            task.cancel()
        if self._store is not None:
            self._store.close()

    def status(self) -> dict[str, object]:
        """Returns the state of takeovers for operators."""
        links, incarnation = dict(self.mesh.counts), self.mesh.incarnation
        return {**self.core.status(self._now()), "links": links, "incarnation": incarnation}

    def counts_since_last(self) -> dict[str, int]:
        """Returns how far each count has grown since the last call, without those that have not."""
        previous, self._reported_counts = self._reported_counts, dict(self.core.counts)
        return {
            name: count - previous[name]
            for name, count in self._reported_counts.items()
            if count != previous[name]
        }

    def status_with_requests(self) -> dict[str, object]:
        """Returns the state for operators with a row for each open request."""
        return {**self.status(), "requests": self.core.open_requests(self._now())}

    def _now(self) -> int:
        """Returns monotonic time in microseconds, independent of changes of the system clock."""
        return int(self._loop.time() * 1e6)

    # --- fronts -----------------------------------------------------------------------------------------

    def submit(self, call: Call) -> int:
        """Takes a new request, or a client that returns for one."""
        token = next(self._tokens)
        if call.back or call.seeks:
            self._calls[token] = call
            self._loop.call_soon(self._look_up, token, call)
            return token
        return token if self._start_request(token, call, call.patience) else 0

    def _start_request(self, token: int, call: Call, patience: int) -> bool:
        """Takes a new request; its client waits for `patience` ms. Returns False if its id is in use."""
        covered = OwnedCall(call, self._ended, token)
        covered.patience = patience
        covered.request = self._engine.submit(covered)
        if not covered.request:
            return False
        self._calls[token] = call
        self._unreplicated[token] = self._covered[covered.request] = covered
        self._loop.call_soon(self._replicate, covered)
        return True

    def _start_absent(self, token: int) -> None:
        """Takes a request as a new one after no instance was found to hold it."""
        timer, call = self._timers.pop(token), self._calls.pop(token)
        timer.cancel()
        time_left = round((timer.when() - self._loop.time()) * 1e3) + NETWORK_MARGIN // 1_000
        if not self._start_request(token, call, max(1, time_left)):
            call.clash()

    def is_behind(self) -> bool:
        """Whether the engine has more to be done than one iteration of the loop takes."""
        return self._engine.is_behind()

    def client_disconnected(self, token: int) -> None:
        """Handles the disconnect of a client."""
        self._calls.pop(token, None)
        if (timer := self._timers.pop(token, None)) is not None:
            timer.cancel()
        if (covered := self._unreplicated.pop(token, None)) is not None:
            covered.is_over = True
            self._engine.client_disconnected(covered.request)
            self._covered.pop(covered.request)
        else:
            self._perform(self.core.client_disconnected(self._now(), token))

    def _look_up(self, token: int, call: Call) -> None:
        if token not in self._calls:
            return
        time_left = max(
            0, min(call.patience * 1_000, self._settings.classes[call.cls].deadline) - NETWORK_MARGIN
        )
        effect = self._settings.classes[call.cls].effect
        self._timers[token] = self._loop.call_later(time_left / 1e6, self._client_timed_out, token, effect)
        query = self._now(), token, call.id, call.customer, effect
        self._perform(
            self.core.client_returned(*query) if call.back else self.core.look_up_key(*query, call.mark)
        )

    def _client_timed_out(self, token: int, effect: Effect) -> None:
        self._timers.pop(token, None)
        self._perform(self.core.client_timed_out(token, effect))

    def _replicate(self, covered: OwnedCall) -> None:
        """Replicates a request after the decision module has seen it: `counted` is known by then."""
        if covered.accepted or covered.is_over:
            return
        del self._unreplicated[covered.token]
        covered.accepted = True
        self._by_id[covered.id] = covered
        record = Record(
            covered.id,
            covered.customer,
            self._names[0][covered.cls],
            self._names[1][covered.plan],
            covered.units,
            covered.spread,
            covered.first,
            covered.portable(),
            covered.mark,
        )
        time_left = max(
            0, min(covered.patience * 1_000, self._settings.classes[covered.cls].deadline) - NETWORK_MARGIN
        )
        self._perform(
            self.core.request_accepted(self._now(), record, time_left, covered.counted, covered.token)
        )

    def _ended(self, covered: OwnedCall, answer: Answer, value: bytes | Stream) -> None:
        """Handles the final answer of the engine."""
        covered.is_over = True
        self._covered.pop(covered.request, None)
        if not covered.accepted:
            self._unreplicated.pop(covered.token, None)
            if (call := self._calls.pop(covered.token, None)) is not None:
                answer_call(call, answer, value, False)
            return
        if self._by_id.get(covered.id) is covered:
            del self._by_id[covered.id]
        if not self.core.may_send(self._now(), covered.id):
            # For instance after its deadline: the decision module learns of it later.
            self._ended_unsure.add(covered.request)
        is_waiting = covered.token in self._calls
        self._perform(self.core.request_finished(self._now(), covered.id, answer), (covered.token, value))
        if not isinstance(value, bytes) and not (is_waiting and covered.token not in self._calls):
            value.release()  # nobody waits for it

    # --- engine -----------------------------------------------------------------------------------------

    def counted(self, request: int) -> None:
        """Handles an increment that was written as the request was taken."""
        if (covered := self._covered.get(request)) is not None:
            covered.counted = True

    def ended(self, attempt: Attempt, result: Result) -> None:
        """Handles the end of an attempt."""
        if result.never_ran:
            self.core.attempt_never_ran(attempt.call.id, attempt.number)

    def unsure(self) -> Iterable[tuple[int, bool]]:
        """Returns requests that may have been taken over since the last call, or may not any more.

        No request is placed at a keeper whose lease has expired: nothing changes unless another lease
        expires.
        """
        now = self._now()
        expired = self.core.expired_keepers(now)
        if expired == self._expired_keepers and not self._unsure and not self._ended_unsure:
            return ()
        ended, self._ended_unsure = self._ended_unsure, set()
        self._expired_keepers, previous = expired, self._unsure
        open_now = (covered for covered in self._covered.values() if covered.accepted)
        self._unsure = {covered.request for covered in open_now if not self.core.may_send(now, covered.id)}
        changed = [(request, False) for request in previous - self._unsure - ended]
        return changed + [(request, True) for request in (self._unsure | ended) - previous]

    def send(self, attempt: Attempt, timeout: int) -> None:
        """Sends an attempt as soon as its keeper has acknowledged the intent."""
        call, now = attempt.call, self._now()
        if isinstance(call, OwnedCall) and not call.accepted:
            self._replicate(call)
        self._pending_attempts[(call.id, attempt.number)] = (attempt, now + timeout)
        self._perform(self.core.attempt_announced(now, call.id, attempt.number, attempt.server, timeout))

    def _may_send(self, attempt: Attempt) -> bool:
        """Returns whether an attempt may still be written."""
        return self.core.may_send(self._now(), attempt.call.id)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt."""
        if self._pending_attempts.pop((attempt.call.id, attempt.number), None) is not None:
            self._engine.finished(attempt, Result.NOT_SENT)
        else:
            self._servers.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Cancels an attempt if no byte of it has been sent."""
        if (attempt.call.id, attempt.number) in self._pending_attempts:
            self.cancel(attempt)
        else:
            self._servers.withdraw(attempt)

    def shorten(self, attempt: Attempt, timeout: int) -> None:
        """Limits the time that is left for an attempt to `timeout` microseconds."""
        key = (attempt.call.id, attempt.number)
        if (pending := self._pending_attempts.get(key)) is not None:
            self._pending_attempts[key] = (attempt, min(pending[1], self._now() + timeout))
        else:
            self._servers.shorten(attempt, timeout)

    # --- links ------------------------------------------------------------------------------------------

    def _message_received(self, name: str, incarnation: int, message: Any) -> None:
        self._perform(self.core.message_received(self._now(), name, incarnation, message))

    def _peers_changed(self, changes: Iterable[News]) -> None:
        for change in changes:
            self.note("instance", {"name": change.name, "is": type(change).__name__.lower()})
            self._perform(self.core.peer_changed(self._now(), change))

    # --- actions ----------------------------------------------------------------------------------------

    def _perform(self, actions: list[Action], at_hand: tuple[int, bytes | Stream] | None = None) -> None:
        """Performs actions. `at_hand`: a client and its value as received; the answer may hold less of it."""
        for action in actions:
            match action:
                case SendMessage():
                    (self.mesh.send_deferred if action.deferrable else self.mesh.send)(
                        action.to, action.message
                    )
                case AnswerClient():
                    self.mesh.flush()  # the keeper's message is written before the client's answer
                    self._answer_client(action, at_hand)
                case AllowAttempt():
                    if (pending := self._pending_attempts.pop((action.id, action.attempt), None)) is not None:
                        self._servers.send(pending[0], max(0, pending[1] - self._now()))
                case DenyAttempt():
                    if (pending := self._pending_attempts.pop((action.id, action.attempt), None)) is not None:
                        self._engine.finished(pending[0], Result.NOT_SENT)
                case ResumeRequest():
                    self._resume(action)
                case StartRequest():
                    self._start_absent(action.token)
                case ReportTransfer():
                    where = {"here": action.here, "other": action.other, "how": action.how}
                    self.note("passed", {"id": action.id.decode(), "class": action.cls, **where})
                case CancelRequest():
                    if (covered := self._by_id.pop(action.id, None)) is not None:
                        covered.is_over = True
                        self._covered.pop(covered.request, None)
                        self._engine.client_disconnected(covered.request, action.moved)
                case ProposeDecision():
                    self._propose_decision(action)
        self._schedule_tick()

    def _answer_client(self, action: AnswerClient, at_hand: tuple[int, bytes | Stream] | None) -> None:
        if (timer := self._timers.pop(action.token, None)) is not None:
            timer.cancel()
        call = self._calls.pop(action.token, None)
        if call is None:
            return
        value = at_hand[1] if at_hand is not None and at_hand[0] == action.token else None
        harmless = self._settings.classes[call.cls].effect is not Effect.ONCE
        answer_call(call, action.answer, value, harmless)

    def _resume(self, action: ResumeRequest) -> None:
        """Resumes a failed owner's request through the decision module."""
        record = action.record
        places = (self._places[0].get(record.cls), self._places[1].get(record.plan))
        if places[0] is None or places[1] is None:
            log(f"can't resume a request of class {record.cls} and plan {record.plan}: unknown here")
            self._perform(self.core.request_finished(self._now(), record.id, Answer(AnswerKind.FAILED)))
            return
        patience = (action.time_left + NETWORK_MARGIN) // 1_000
        taken = action.counted, action.sent
        covered = OwnedCall.resumed(record, (places[0], places[1]), patience, *taken, self._ended)
        covered.request = self._engine.submit(covered)
        if not covered.request:  # an attempt under this id is still running here
            self._perform(self.core.request_finished(self._now(), record.id, Answer(AnswerKind.FAILED)))
            return
        self._covered[covered.request] = covered
        self._by_id[record.id] = covered

    def _propose_decision(self, action: ProposeDecision) -> None:
        assert self._store is not None
        task = self._loop.create_task(self._write_decision(self._store, action))
        self._decision_tasks.add(task)
        task.add_done_callback(self._decision_tasks.discard)

    async def _write_decision(self, store: DecisionStore, action: ProposeDecision) -> None:
        owner_resumes = await store.write(action.pair, action.as_owner)
        self._perform(self.core.decision_received(self._now(), action.pair, owner_resumes))

    def _schedule_tick(self) -> None:
        next_tick = self.core.next_tick()
        if next_tick == self._next_tick:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._next_tick = next_tick
        self._timer = None
        if next_tick is not None:
            self._timer = self._loop.call_at(next_tick / 1e6, self._tick)

    def _tick(self) -> None:
        self._next_tick = self._timer = None
        self._perform(self.core.tick(self._now()))
