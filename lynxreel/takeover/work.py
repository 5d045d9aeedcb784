"""Takeover of in-flight requests whose owner has failed. No I/O: events in, actions out, clock passed in.

An instance has three roles at once: it is the OWNER of requests that its clients sent (or that it took over),
the KEEPER of replicas of other owners' requests, and it LOOKS UP requests of clients that return for their
answer.

A request has one owner at a time, under an epoch that increases with each takeover, and its replica has one
keeper. The keeper alone decides who succeeds a failed owner: itself, once a client returns. So no vote is
needed. What it may do depends on the last state that the owner sent:

    accepted    never sent to a box: it resumes with the time that is left
    sent        repeatable: sent again; by key: sent again while boxes drop repeats; once: unknown for good
    answered    the same answer again

An effect must not run twice: for `once` an attempt is sent only after the keeper has acknowledged the intent,
or when nobody else has a replica. If a keeper dies, the owner replicates its requests to another one. If
owner and keeper can't reach each other, `rights.py` says which of them may act; until that is decided neither
does.
"""

from __future__ import annotations

import heapq
from collections import Counter

from lynxreel.links.peers import Dead, Lost, Peers, State, Up
from lynxreel.links.rank import Ranks
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
from lynxreel.takeover.entries import KeyedLookup, Lookup, OwnedRequest, Replica, Waiter
from lynxreel.takeover.grants import PeerResponses, StartGrants
from lynxreel.takeover.messages import (
    NONE,
    OTHER,
    PENDING,
    REFUSED,
    UNKNOWN,
    Ack,
    Answer,
    AnswerKind,
    Done,
    Intent,
    LookupRequest,
    LookupResponse,
    Message,
    Put,
    Record,
    Rejected,
    Superseded,
)
from lynxreel.takeover.rights import RENEWALS_PER_LEASE, LeaseGrant, LeaseRequest, Leases, Pair, Standing
from lynxreel.takeover.terms import ClassSettings, TakeoverSettings
from mothgap.interface import Effect

# Rounds in which all peers are asked before a request counts as not found: a replica may be in transit.
LOOKUP_ROUNDS = 2
LOOKUP_PAUSE = 20_000  # microseconds between these rounds
RETRY_INTERVAL = 100_000  # microseconds after which a lookup or a failed proposal is sent again
ANSWER_ACK = -1  # in place of an attempt number: the keeper acknowledges the answer itself
KEY_MEMORY_MARGIN = 250_000  # microseconds of the boxes' key memory that must be left for a repeat


class TakeoverCore:
    """The takeover state machine of one instance."""

    def __init__(self, settings: TakeoverSettings, peers: Peers, ranks: Ranks) -> None:
        """The caller updates `peers` before it reports a change of a peer here."""
        self._settings, self._peers, self._ranks = settings, peers, ranks
        self.owned: dict[bytes, OwnedRequest] = {}
        self.replicas: dict[bytes, Replica] = {}
        self.lookups: dict[int, Lookup] = {}
        self.replica_bytes = 0  # bytes of replicas
        self.counts = dict.fromkeys(
            ("covered", "uncovered", "taken_over", "told_again", "told_unknown", "stayed", "fenced"), 0
        )
        self._expiries: list[tuple[int, bytes]] = []  # heap of times at which an entry may expire
        self._ack_deadlines: dict[tuple[bytes, int], int] = {}  # attempts that wait for an Ack, in order
        self._local_waiters: dict[int, bytes] = {}  # requests that local clients wait for, by token
        self._leases = Leases(settings.lease, settings.max_drift)
        self._next_renewal = 0  # when leases are renewed next
        self._withheld: dict[bytes, None] = {}  # owned requests whose answers must not be sent now
        self._awaited_replicas: dict[bytes, None] = {}  # replicas that somebody waits for
        # Heap of owned requests that resume when an attempt of an earlier owner has timed out.
        self._delayed_resumes: list[tuple[int, bytes]] = []
        self._rejected: dict[bytes, tuple[int, str, int]] = {}  # replicas: epoch, owner, its incarnation
        self._reported_missing: dict[bytes, None] = {}  # requests that were reported to a client as not found
        self._start_grants = StartGrants(settings.peer_timeout)
        self._responses = PeerResponses(settings.peer_timeout)
        # Decisions that were unavailable: when to retry, and whether as the owner.
        self._decision_retries: dict[Pair, tuple[int, bool]] = {}
        self._actions: list[Action] = []

    @property
    def lease(self) -> int:
        """Microseconds for which a keeper allows an owner to act; 0: only dead owners are taken over."""
        return self._settings.lease

    # --- owner ------------------------------------------------------------------------------------------

    def request_accepted(
        self, now: int, record: Record, time_left: int, counted: bool, token: int
    ) -> list[Action]:
        """Handles a new request of a client, whose increment, if there is one, has been written."""
        self._actions = []
        owned = self.owned[record.id] = OwnedRequest(record, 1, now + time_left, counted, [token])
        self._local_waiters[token] = record.id
        self._expire_at(owned.deadline + self._settings.retention, record.id)
        self._choose_keeper(now, owned)
        return self._actions

    def attempt_announced(
        self, now: int, request_id: bytes, attempt: int, box: str, timeout: int
    ) -> list[Action]:
        """Handles an attempt that is about to be sent; AllowAttempt or DenyAttempt follows, now or later."""
        self._actions = []
        owned = self.owned.get(request_id)
        if owned is None:
            return [AllowAttempt(request_id, attempt)]  # it was never replicated
        if owned.superseded_by:
            self.counts["fenced"] += 1
            return [DenyAttempt(request_id, attempt)]
        first_run = self._first_possible_run(owned)
        owned.possible_runs[attempt] = now
        if owned.keeper is None:
            return [AllowAttempt(request_id, attempt)]
        owned.attempt_deadlines[attempt] = now + timeout
        owned.pending_attempts[attempt] = box
        self._ack_deadlines[(request_id, attempt)] = now + self._settings.ack_timeout
        self._send_intent(now, owned, attempt, box, first_run)
        self._allow_attempts(now, owned)
        return self._actions

    def attempt_never_ran(self, request_id: bytes, attempt: int) -> None:
        """Handles the end of an attempt that never ran."""
        owned = self.owned.get(request_id)
        if owned is not None:
            owned.possible_runs.pop(attempt, None)
            owned.attempt_deadlines.pop(attempt, None)
            self._remove_pending(owned, attempt)

    def request_finished(self, now: int, request_id: bytes, answer: Answer) -> list[Action]:
        """Handles the final answer of a request; every waiter gets it."""
        self._actions = []
        owned = self.owned.get(request_id)
        if owned is None or owned.answer is not None or owned.withheld is not None:
            return []
        if owned.superseded_by:  # the other owner's answer is the valid one
            return []
        harmless = self._class_of(owned.record).effect is Effect.REPEATABLE or not self._may_have_run(owned)
        if answer.kind is AnswerKind.REFUSED and not harmless:
            answer = Answer(AnswerKind.FAILED)  # an earlier owner may have run it
        for attempt in list(owned.pending_attempts):
            self._remove_pending(owned, attempt)
        if self._may_act(now, owned):
            self._finish(now, owned, answer)
        else:
            owned.withheld = answer
            self._withheld[request_id] = None
        return self._actions

    def _finish(self, now: int, owned: OwnedRequest, answer: Answer) -> None:
        owned.answer, owned.withheld = answer, None
        self._withheld.pop(owned.record.id, None)
        if owned.keeper is None:
            self._answer_waiters(owned, answer)
            return
        session = self._leases.session(owned.keeper)
        # Taking over a refused request is harmless if it may run twice.
        deferrable = (
            answer.kind is AnswerKind.REFUSED and self._class_of(owned.record).effect is Effect.REPEATABLE
        )
        self._actions.append(
            SendMessage(owned.keeper, Done(owned.record.id, owned.epoch, session, answer), deferrable)
        )
        if self._needs_ack(owned) and answer.kind is AnswerKind.REFUSED:
            # A client that is told that nothing ran may send the request anew: the keeper must know first.
            owned.refusal_pending = True
            self._ack_deadlines[(owned.record.id, ANSWER_ACK)] = now + self._settings.ack_timeout
        else:
            self._answer_waiters(owned, answer)

    def _conclude_refusal(self, owned: OwnedRequest, keeper_knows: bool) -> None:
        """Answers a refused request. A keeper that does not know of the refusal might still run it."""
        if not owned.refusal_pending or owned.answer is None:
            return
        owned.refusal_pending = False
        self._ack_deadlines.pop((owned.record.id, ANSWER_ACK), None)
        self._answer_waiters(owned, owned.answer if keeper_knows else Answer(AnswerKind.FAILED))

    def _needs_ack(self, owned: OwnedRequest) -> bool:
        """Returns whether attempts and refusals of this request wait for the keeper's acknowledgement."""
        return self._settings.wait_for_ack and self._class_of(owned.record).effect is Effect.ONCE

    def _may_act(self, now: int, owned: OwnedRequest) -> bool:
        """Returns whether this instance may do anything about the request that others can see."""
        return owned.keeper is None or self._leases.may_act(now, owned.keeper)

    def client_disconnected(self, now: int, token: int) -> list[Action]:
        """Handles the disconnect of a client that waits here."""
        self._actions = []
        request_id = self._local_waiters.pop(token, None)
        if self.lookups.pop(token, None) is not None or request_id is None:
            return []
        for entry in (self.owned.get(request_id), self.replicas.get(request_id)):
            if entry is None or token not in entry.waiters:
                continue
            entry.waiters.remove(token)
            if isinstance(entry, OwnedRequest) and not entry.waiters and not self._may_have_run(entry):
                self._actions.append(CancelRequest(request_id))
                earlier_actions = self._actions
                self._actions = [*earlier_actions, *self.request_finished(now, request_id, REFUSED)]
        return self._actions

    def client_timed_out(self, token: int, effect: Effect) -> list[Action]:
        """Handles the timeout of a client that returned for an answer."""
        self._actions = []
        request_id = self._local_waiters.pop(token, None)
        was_waiting = self.lookups.pop(token, None) is not None
        for entry in (
            (self.owned.get(request_id), self.replicas.get(request_id)) if request_id is not None else ()
        ):
            if entry is not None and token in entry.waiters:
                entry.waiters.remove(token)
                was_waiting = True
        if was_waiting:
            self._answer_not_found(token, effect)
        return self._actions

    def _answer_not_found(self, token: int, effect: Effect) -> None:
        """Answers a client whose request was not found; if it may safely run twice, as refused."""
        unknown = effect is Effect.ONCE
        self.counts["told_unknown"] += unknown
        self._local_waiters.pop(token, None)
        self._actions.append(AnswerClient(token, UNKNOWN if unknown else REFUSED))

    def _remove_pending(self, owned: OwnedRequest, attempt: int) -> bool:
        """Removes an attempt that waits for its acknowledgement; returns whether it was waiting."""
        self._ack_deadlines.pop((owned.record.id, attempt), None)
        owned.acknowledged.discard(attempt)
        return owned.pending_attempts.pop(attempt, None) is not None

    def _class_of(self, record: Record) -> ClassSettings:
        # An unknown class is treated as the strictest effect.
        return self._settings.classes.get(record.cls, ClassSettings(Effect.ONCE))

    @staticmethod
    def _first_possible_run(owned: OwnedRequest) -> int | None:
        """Returns when the first attempt that may have run was made, or None."""
        times = [
            *owned.possible_runs.values(),
            *([owned.earlier_run] if owned.earlier_run is not None else []),
        ]
        return min(times) if times else None

    def _may_have_run(self, owned: OwnedRequest) -> bool:
        return self._first_possible_run(owned) is not None

    def _send_intent(
        self, now: int, owned: OwnedRequest, attempt: int, box: str, first_run: int | None
    ) -> None:
        assert owned.keeper is not None
        sent_ago = 0 if first_run is None else now - first_run
        timeout = max(0, owned.attempt_deadlines.get(attempt, now) - now)
        session = self._leases.session(owned.keeper)
        self._actions.append(
            SendMessage(
                owned.keeper, Intent(owned.record.id, owned.epoch, session, attempt, box, sent_ago, timeout)
            )
        )

    def _choose_keeper(self, now: int, owned: OwnedRequest) -> None:
        """Chooses a keeper among the instances that are up and sends it a replica."""
        up = [n for n in self._peers.up() if n not in owned.full_keepers and self._leases.may_act(now, n)]
        owned.keeper = self._ranks.keeper(owned.record.id, self._settings.name, up)
        if owned.keeper is None:
            owned.uncovered_reason = "full" if owned.full_keepers else "nobody is up"
            self.counts["uncovered"] += 1
            self._allow_attempts(now, owned)
            self._conclude_refusal(owned, True)  # nobody has a replica
            return
        owned.acknowledged.clear()
        owned.keeper_incarnation = self._peers.peers[owned.keeper].incarnation
        self.counts["covered"] += 1
        self._send_replica(now, owned)

    def _send_replica(self, now: int, owned: OwnedRequest) -> None:
        """Sends the whole state of a request to its keeper, with the attempts that wait for it."""
        assert owned.keeper is not None
        once = self._class_of(owned.record).effect is Effect.ONCE
        first_run = self._first_possible_run(owned)
        sent_ago = -1 if first_run is None else now - first_run
        if once and not self._settings.wait_for_ack:
            sent_ago = max(sent_ago, 0)
        time_left, session = max(0, owned.deadline - now), self._leases.session(owned.keeper)
        put = Put(owned.record, owned.epoch, session, time_left, owned.counted, sent_ago, owned.answer)
        self._actions.append(SendMessage(owned.keeper, put))
        for attempt, box in owned.pending_attempts.items():
            self._send_intent(now, owned, attempt, box, first_run)

    def _allow_attempts(self, now: int, owned: OwnedRequest) -> None:
        """Allows the attempts that may be sent: where nobody has a replica, nobody else can take over."""
        if not self._may_act(now, owned):
            return
        needs_ack = owned.keeper is not None and self._needs_ack(owned)
        for attempt in [a for a in owned.pending_attempts if not needs_ack or a in owned.acknowledged]:
            self._remove_pending(owned, attempt)
            self._actions.append(AllowAttempt(owned.record.id, attempt))

    def may_send(self, now: int, request_id: bytes) -> bool:
        """Returns whether an attempt may still be written; it may have waited for a connection."""
        owned = self.owned.get(request_id)
        return owned is None or (not owned.superseded_by and self._may_act(now, owned))

    def expired_keepers(self, now: int) -> frozenset[str]:
        """Returns the keepers whose lease has expired; none if only dead owners are taken over."""
        return self._leases.expired_keepers(now)

    # --- returning clients ------------------------------------------------------------------------------

    def client_returned(
        self, now: int, token: int, request_id: bytes, customer: int, effect: Effect
    ) -> list[Action]:
        """Handles a client that returned here for an answer; AnswerClient follows, now or later."""
        self._actions = []
        self._attach_or_look_up(now, token, request_id, customer, effect)
        return self._actions

    def look_up_key(
        self, now: int, token: int, request_id: bytes, customer: int, effect: Effect, mark: bytes
    ) -> list[Action]:
        """Handles a key that may have been used before; AnswerClient or StartRequest follows, now or later.

        Likely keepers are asked. They are waited for as long as a live process may stall; one that has been
        silent for longer already, only for `ack_timeout`. A holder of the request responds at once. This
        prevents a second run; if an instance was silent for longer, only the boxes that drop repeats prevent
        it.
        """
        self._actions = []
        if not self._attach_waiter(now, token, request_id, customer, mark):
            lookup = KeyedLookup(request_id, customer, effect, {}, mark=mark)
            self.lookups[token], self._local_waiters[token] = lookup, request_id
            self._start_keyed_lookup(now, token, lookup)
        return self._actions

    def _start_keyed_lookup(self, now: int, token: int, lookup: KeyedLookup) -> None:
        """Starts the lookup from the beginning: asks the likely keepers."""
        if self._coordinator(lookup.id) == self._settings.name:
            if self._start_grants.held_by_other(now, lookup.id, self._settings.name):
                lookup.paused, lookup.retry_at = True, now + LOOKUP_PAUSE
                return
            self._grant_start(now, lookup.id, self._settings.name)
        lookup.round += 1  # earlier responses may be out of date
        lookup.awaiting, lookup.paused = self._likely_keepers(lookup.id), False
        lookup.in_progress_at.clear()
        for name in lookup.awaiting:
            timeout = (
                self._settings.ack_timeout
                if self._responses.is_unresponsive(now, name)
                else self._settings.peer_timeout
            )
            lookup.response_deadlines[name] = now + timeout
            self._responses.request_sent(now, name)
        self._send_lookup(now, token, lookup)

    def _coordinator(self, request_id: bytes) -> str:
        """Returns the instance that decides who may start a request that nobody holds."""
        return next(name for name in self._ranks.order(request_id) if not self._is_dead(name))

    def _is_dead(self, name: str) -> bool:
        return name != self._settings.name and self._peers.peers[name].state is State.DEAD

    def _grant_start(self, now: int, request_id: bytes, asker: str) -> None:
        if self._start_grants.grant(now, request_id, asker):
            self._expire_at(now + self._settings.retention, request_id)

    def _continue_keyed_lookup(self, now: int, token: int, lookup: KeyedLookup) -> None:
        """Continues a lookup after a timeout: the request may be here by now; silent peers are dropped."""
        if self._attach_waiter(now, token, lookup.id, lookup.customer, lookup.mark):
            del self.lookups[token]
        elif lookup.paused:
            self._start_keyed_lookup(now, token, lookup)
        else:
            for name, deadline in lookup.response_deadlines.items():
                if deadline <= now and name not in lookup.in_progress_at:
                    lookup.awaiting[name] = False
            self._send_lookup(now, token, lookup)

    def _attach_or_look_up(
        self, now: int, token: int, request_id: bytes, customer: int, effect: Effect
    ) -> None:
        if not self._attach_waiter(now, token, request_id, customer):
            self._send_lookup(now, token, self._add_lookup(token, request_id, customer, effect))

    def _add_lookup(self, token: int, request_id: bytes, customer: int, effect: Effect) -> Lookup:
        """Adds a lookup at the likely keepers for a request that is not held here."""
        lookup = self.lookups[token] = Lookup(request_id, customer, effect, self._likely_keepers(request_id))
        self._local_waiters[token] = request_id
        return lookup

    def _likely_keepers(self, request_id: bytes) -> dict[str, bool]:
        """Returns the likely keepers of a request, each marked as awaited."""
        dead = [name for name, peer in self._peers.peers.items() if peer.state is State.DEAD]
        return {name: True for name in self._ranks.likely(request_id, dead) if name != self._settings.name}

    def _send_lookup(self, now: int, token: int, lookup: Lookup) -> None:
        """Sends the lookup to each peer whose response is awaited, and concludes it if there is none."""
        lookup.retry_at = now + RETRY_INTERVAL
        starts_if_absent = isinstance(lookup, KeyedLookup)
        coordinator = self._coordinator(lookup.id) if starts_if_absent else ""
        for name in lookup.awaiting:
            if self._peers.peers[name].state is State.DEAD:
                lookup.awaiting[name] = False
            elif lookup.awaiting[name]:
                last_round = not starts_if_absent and lookup.round >= LOOKUP_ROUNDS
                query = token, lookup.id, lookup.customer, lookup.round, last_round, lookup.mark
                self._actions.append(
                    SendMessage(name, LookupRequest(*query, starts_if_absent, name == coordinator))
                )
        if isinstance(lookup, KeyedLookup):
            awaited = [
                name
                for name, is_awaited in lookup.awaiting.items()
                if is_awaited and name not in lookup.in_progress_at
            ]
            lookup.retry_at = min([lookup.retry_at, *[lookup.response_deadlines[name] for name in awaited]])
        self._conclude_lookup(now, token, lookup)

    def _conclude_lookup(self, now: int, token: int, lookup: Lookup) -> None:
        """Concludes a lookup, or starts its next round, once no response is awaited any more."""
        if lookup.paused or any(lookup.awaiting.values()):
            return
        if self._attach_waiter(now, token, lookup.id, lookup.customer, lookup.mark):
            del self.lookups[token]  # a replica has arrived in the meantime
            return
        if isinstance(lookup, KeyedLookup):
            self._start_request(token)
            return
        if lookup.round < LOOKUP_ROUNDS:
            lookup.round += 1
            if lookup.round == 1:  # the likely keepers don't have it
                lookup.awaiting = dict.fromkeys(self._peers.peers, True)
                self._send_lookup(now, token, lookup)
            else:
                lookup.retry_at, lookup.paused = now + LOOKUP_PAUSE, True
            return
        del self.lookups[token]
        self._report_missing(now, lookup.id)
        self._answer_not_found(token, lookup.effect)

    def _start_request(self, token: int) -> None:
        del self.lookups[token], self._local_waiters[token]
        self._actions.append(StartRequest(token))

    def _attach_waiter(
        self, now: int, waiter: Waiter, request_id: bytes, customer: int, mark: bytes = b""
    ) -> bool:
        """Attaches a waiter to the request or answers it; returns False if the request is not held here."""
        owned = self.owned.get(request_id)
        entry = self.replicas.get(request_id) if owned is None or owned.superseded_by else owned
        if entry is None or entry.record.customer != customer:
            return False
        if mark and entry.record.mark and mark != entry.record.mark:
            self._answer_waiter(waiter, OTHER)
            return True
        if entry.answer is not None and not (isinstance(entry, OwnedRequest) and entry.refusal_pending):
            self.counts["told_again"] += 1
            self._answer_waiter(waiter, entry.answer)
            return True
        if waiter not in entry.waiters:
            entry.waiters.append(waiter)
            if isinstance(waiter, int):
                self._local_waiters[waiter] = request_id
        if isinstance(entry, Replica):
            self._awaited_replicas[request_id] = None
            self._try_takeover(now, entry)
        return True

    def _try_takeover(self, now: int, replica: Replica) -> None:
        """Takes over a replica that somebody waits for, if this instance may."""
        owner, dead = (
            (replica.owner, replica.owner_incarnation),
            self._peers.is_dead(replica.owner, replica.owner_incarnation),
        )
        match self._leases.standing(now, *owner, replica.session, dead):
            case Standing.MINE:
                self._take_over(now, replica, dead)
            case Standing.VOID:
                self._discard_replica(now, replica)
            case Standing.ASK:
                if self._leases.begin_keeper_proposal(*owner, replica.session):
                    settings = self._settings
                    self._actions.append(
                        ProposeDecision(
                            Pair(*owner, settings.name, settings.incarnation, replica.session), False
                        )
                    )
            case Standing.WAIT:
                pass

    def _discard_replica(self, now: int, replica: Replica) -> None:
        """Removes a replica that its owner has placed elsewhere, and sends its waiters there."""
        self._remove_replica(replica)
        self._redirect_waiters(now, replica.record, replica.waiters)

    def _redirect_waiters(self, now: int, record: Record, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            if isinstance(waiter, int):
                self._attach_or_look_up(
                    now, waiter, record.id, record.customer, self._class_of(record).effect
                )
            else:
                # Its instance repeats the lookup by itself.
                self._actions.append(SendMessage(waiter[0], LookupResponse(waiter[1], -1, NONE)))

    def _answer_waiters(self, entry: OwnedRequest | Replica, answer: Answer) -> None:
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            self._answer_waiter(waiter, answer)

    def _answer_waiter(self, waiter: Waiter, answer: Answer) -> None:
        if isinstance(waiter, int):
            self._local_waiters.pop(waiter, None)
            self._actions.append(AnswerClient(waiter, answer))
        else:
            self._actions.append(SendMessage(waiter[0], LookupResponse(waiter[1], 0, answer)))

    def _take_over(self, now: int, replica: Replica, dead: bool) -> None:
        """Takes a request over from its failed owner."""
        owned, record = self._become_owner(replica), replica.record
        if owned.answer is None and (final := self._terminal_answer(now, owned)) is not None:
            owned.answer = final
            self.counts["told_unknown"] += final is UNKNOWN
            self._answer_waiters(owned, final)
        how = "carried on" if owned.answer is None else owned.answer.kind.name.lower()
        self._actions.append(ReportTransfer(record.id, record.cls, True, replica.owner, how))
        self._choose_keeper(now, owned)
        if owned.answer is not None:
            return
        if (
            not dead
            and not self._settings.parallel_attempts
            and replica.sent_at is not None
            and replica.attempt_deadline > now
        ):
            # The owner's attempt may still be running.
            heapq.heappush(self._delayed_resumes, (min(replica.attempt_deadline, owned.deadline), record.id))
        else:
            self._actions.append(
                ResumeRequest(record, owned.deadline - now, owned.counted, self._may_have_run(owned))
            )

    def _become_owner(self, replica: Replica) -> OwnedRequest:
        """Makes this instance the owner of a request that it kept as a replica."""
        self._remove_replica(replica)
        owned = OwnedRequest(
            replica.record,
            replica.epoch + 1,
            replica.deadline,
            replica.counted,
            replica.waiters,
            earlier_run=replica.sent_at,
        )
        owned.answer = replica.answer
        self.owned[replica.record.id] = owned
        self.counts["taken_over"] += 1
        return owned

    def hand_off(self, now: int) -> list[Action]:
        """Moves requests of failed owners that are kept here to other keepers before this instance ends."""
        self._actions = []
        for replica in list(self.replicas.values()):
            dead = self._peers.is_dead(replica.owner, replica.owner_incarnation)
            if (
                self._leases.standing(now, replica.owner, replica.owner_incarnation, replica.session, dead)
                is Standing.MINE
            ):
                self._choose_keeper(now, self._become_owner(replica))
        return self._actions

    def _terminal_answer(self, now: int, owned: OwnedRequest) -> Answer | None:
        """Returns the answer of a request that must not run any more, or None if it may."""
        cls, first_run = self._class_of(owned.record), self._first_possible_run(owned)
        if first_run is not None:
            if cls.effect is Effect.ONCE:
                return UNKNOWN
            if cls.effect is Effect.KEYED and now - first_run + KEY_MEMORY_MARGIN >= cls.key_memory:
                return UNKNOWN
        if owned.deadline <= now:
            return (
                REFUSED if first_run is None or cls.effect is Effect.REPEATABLE else Answer(AnswerKind.FAILED)
            )
        return None

    # --- messages of other instances --------------------------------------------------------------------

    def message_received(self, now: int, sender: str, incarnation: int, message: Message) -> list[Action]:
        """Handles a message of another instance, sent by this incarnation of it."""
        self._actions = []
        match message:
            case Put():
                self._on_put(now, sender, incarnation, message)
            case Intent():
                self._on_intent(now, sender, incarnation, message)
            case Done():
                self._on_done(now, sender, incarnation, message)
            case LeaseRequest():
                grant, session_is_new = self._leases.renewal_received(now, sender, incarnation, message)
                if session_is_new:
                    self._discard_earlier_sessions(now, sender, incarnation, message.session)
                if grant is not None:
                    self._actions.append(SendMessage(sender, grant))
            case LeaseGrant():
                if self._leases.grant_received(now, sender, message):
                    self._on_lease_regained(now, sender)
                if self._leases.wants_early_renewal(sender):
                    self._actions.append(SendMessage(sender, self._leases.renewal(now, sender)))
            case Ack():
                owned = self._owned_at(sender, message.id, message.epoch)
                if owned is not None and message.attempt == ANSWER_ACK:
                    self._conclude_refusal(owned, True)
                elif owned is not None and message.attempt in owned.pending_attempts:
                    owned.acknowledged.add(message.attempt)
                    self._allow_attempts(now, owned)
            case Rejected():
                if (owned := self._owned_at(sender, message.id, message.epoch)) is not None:
                    owned.full_keepers.add(sender)
                    self._choose_keeper(now, owned)
            case Superseded():
                self._on_superseded(now, message)
            case LookupRequest():
                self._on_lookup_request(now, sender, message)
            case LookupResponse():
                self._on_lookup_response(now, sender, message)
        return self._actions

    def _on_lookup_request(self, now: int, sender: str, request: LookupRequest) -> None:
        """Handles the lookup of another instance for one of its clients."""
        waiter = sender, request.token
        if self._attach_waiter(now, waiter, request.id, request.customer, request.mark):
            entries = self.owned.get(request.id), self.replicas.get(request.id)
            if request.starts_if_absent and any(
                entry is not None and waiter in entry.waiters for entry in entries
            ):
                self._actions.append(
                    SendMessage(sender, LookupResponse(request.token, request.round, PENDING))
                )
            return
        coordinates = request.starts_if_absent and (
            request.to_coordinator or self._coordinator(request.id) == self._settings.name
        )
        if coordinates and self._start_grants.held_by_other(now, request.id, sender):
            self._actions.append(SendMessage(sender, LookupResponse(request.token, request.round, PENDING)))
            return
        if request.starts_if_absent:
            self._grant_start(now, request.id, sender)
        if request.last_round:
            self._report_missing(now, request.id)
        self._actions.append(SendMessage(sender, LookupResponse(request.token, request.round, NONE)))

    def _owned_at(self, keeper: str, request_id: bytes, epoch: int) -> OwnedRequest | None:
        owned = self.owned.get(request_id)
        return owned if owned is not None and owned.keeper == keeper and owned.epoch == epoch else None

    def _find_replica(
        self, now: int, sender: str, incarnation: int, request_id: bytes, epoch: int, session: int
    ) -> tuple[bool, Replica | None]:
        """Returns the replica that a message is about.

        The flag is False if the request has another owner by now, who has then been reported to the sender,
        or if the session is over.
        """
        if self._leases.session_seen(sender, incarnation, session):
            self._discard_earlier_sessions(now, sender, incarnation, session)
        dead = self._peers.is_dead(sender, incarnation)
        if self._leases.standing(now, sender, incarnation, session, dead) is Standing.VOID:
            return False, None  # the session is over
        owned, replica = self.owned.get(request_id), self.replicas.get(request_id)
        if owned is not None and owned.epoch < epoch:
            self._lose_ownership(now, owned, epoch)  # the successor of this instance has chosen it as keeper
            owned = None
        latest_epoch = max(
            owned.epoch if owned is not None else 0, replica.epoch if replica is not None else 0
        )
        if owned is not None or latest_epoch > epoch:
            self._actions.append(SendMessage(sender, Superseded(request_id, latest_epoch)))
            return False, None
        if (
            replica is None
            or replica.epoch != epoch
            or (replica.owner, replica.owner_incarnation) != (sender, incarnation)
        ):
            return True, None
        return True, replica

    def _on_put(self, now: int, sender: str, incarnation: int, put: Put) -> None:
        request_id = put.record.id
        dead = self._peers.is_dead(sender, incarnation)
        too_late = request_id in self._reported_missing or self._start_grants.rejects_replica(
            request_id, sender, put.epoch, dead
        )
        if (too_late and request_id not in self.replicas) or self._rejected.get(request_id) == (
            put.epoch,
            sender,
            incarnation,
        ):
            self._actions.append(SendMessage(sender, Rejected(request_id, put.epoch)))
            return
        current, replica = self._find_replica(now, sender, incarnation, request_id, put.epoch, put.session)
        if not current:
            return
        sent_at = None if put.sent_ago < 0 else now - put.sent_ago
        if replica is None:
            previous = self.replicas.get(request_id)
            if previous is not None and previous.epoch == put.epoch:
                # Another request uses the same id.
                self._reject_replica(now, sender, incarnation, request_id, put.epoch)
                return
            if previous is not None:
                self._remove_replica(previous)
            size = put.record.size
            if (
                len(self.replicas) >= self._settings.max_replicas
                or self.replica_bytes + size > self._settings.max_replica_bytes
            ):
                self._reject_replica(now, sender, incarnation, request_id, put.epoch)
                return
            origin, deadline = (sender, incarnation, put.session), now + put.time_left
            replica = Replica(put.record, put.epoch, *origin, deadline, put.counted, sent_at, None, size)
            replica.waiters = previous.waiters if previous is not None else []
            self.replicas[request_id] = replica
            self.replica_bytes += size
            self._expire_at(replica.deadline + self._settings.retention, request_id)
        replica.counted |= put.counted
        if sent_at is not None:
            replica.sent_at = sent_at if replica.sent_at is None else min(sent_at, replica.sent_at)
        if put.answer is not None:
            self._set_answer(replica, put.answer)
            if put.answer.kind is AnswerKind.REFUSED and self._class_of(replica.record).effect is Effect.ONCE:
                self._actions.append(SendMessage(sender, Ack(request_id, put.epoch, ANSWER_ACK)))

    def _on_intent(self, now: int, sender: str, incarnation: int, intent: Intent) -> None:
        current, replica = self._find_replica(
            now, sender, incarnation, intent.id, intent.epoch, intent.session
        )
        if not current:
            return
        if replica is None:
            self._reject_replica(now, sender, incarnation, intent.id, intent.epoch)
            return
        replica.attempt_deadline = max(replica.attempt_deadline, now + intent.timeout)
        first_run = now - intent.sent_ago
        replica.sent_at = first_run if replica.sent_at is None else min(first_run, replica.sent_at)
        if self._class_of(replica.record).effect is Effect.ONCE:
            self._actions.append(SendMessage(sender, Ack(intent.id, intent.epoch, intent.attempt)))

    def _report_missing(self, now: int, request_id: bytes) -> None:
        """Notes that the request was reported as not found: a failed owner's replica now comes too late."""
        self._reported_missing[request_id] = None
        self._expire_at(now + self._settings.retention, request_id)

    def _reject_replica(self, now: int, sender: str, incarnation: int, request_id: bytes, epoch: int) -> None:
        """Rejects a replica for good: the owner looks for another keeper, and there must be only one."""
        self._rejected[request_id] = (epoch, sender, incarnation)
        self._expire_at(now + self._settings.retention, request_id)
        self._actions.append(SendMessage(sender, Rejected(request_id, epoch)))

    def _on_done(self, now: int, sender: str, incarnation: int, done: Done) -> None:
        _, replica = self._find_replica(now, sender, incarnation, done.id, done.epoch, done.session)
        if replica is not None:
            self._set_answer(replica, done.answer)
            if (
                done.answer.kind is AnswerKind.REFUSED
                and self._class_of(replica.record).effect is Effect.ONCE
            ):
                self._actions.append(SendMessage(sender, Ack(done.id, done.epoch, ANSWER_ACK)))

    def _set_answer(self, replica: Replica, answer: Answer) -> None:
        if replica.answer is None:
            replica.answer = answer
            replica.size += len(answer.value)
            self.replica_bytes += len(answer.value)
        self._awaited_replicas.pop(replica.record.id, None)
        self._answer_waiters(replica, replica.answer)

    def _on_superseded(self, now: int, superseded: Superseded) -> None:
        owned = self.owned.get(superseded.id)
        if owned is not None and owned.epoch < superseded.epoch and not owned.superseded_by:
            self._lose_ownership(now, owned, superseded.epoch)

    def _lose_ownership(self, now: int, owned: OwnedRequest, epoch: int) -> None:
        """Gives up a request that has another owner: the clients that wait here look it up like any other."""
        if owned.superseded_by:
            owned.superseded_by = max(owned.superseded_by, epoch)
            return
        owned.superseded_by = epoch
        self.counts["fenced"] += 1
        self._actions.append(ReportTransfer(owned.record.id, owned.record.cls, False, "", "answer asked for"))
        owned.withheld, owned.refusal_pending = None, False
        self._ack_deadlines.pop((owned.record.id, ANSWER_ACK), None)
        self._withheld.pop(owned.record.id, None)
        self._actions.append(CancelRequest(owned.record.id, moved=True))
        for attempt in list(owned.pending_attempts):
            self._remove_pending(owned, attempt)
            self._actions.append(DenyAttempt(owned.record.id, attempt))
        waiters, owned.waiters = owned.waiters, []
        self._redirect_waiters(now, owned.record, waiters)

    def _discard_earlier_sessions(self, now: int, owner: str, incarnation: int, session: int) -> None:
        """Removes the replicas that an owner placed in earlier sessions."""
        for replica in list(self.replicas.values()):
            if (replica.owner, replica.owner_incarnation) == (
                owner,
                incarnation,
            ) and replica.session < session:
                self._discard_replica(now, replica)

    # --- leases and ownership decisions -----------------------------------------------------------------

    def _on_lease_regained(self, now: int, keeper: str) -> None:
        """Resumes the requests at this keeper after its lease has been renewed."""
        for owned in [
            owned for owned in self.owned.values() if owned.keeper == keeper and not owned.superseded_by
        ]:
            if owned.withheld is not None:
                self._finish(now, owned, owned.withheld)
                continue
            self._allow_attempts(now, owned)
        self._choose_missing_keepers(now)

    def _choose_missing_keepers(self, now: int) -> None:
        """Chooses keepers for requests without one, after a peer has come up or has granted a lease."""
        for owned in [owned for owned in self.owned.values() if owned.keeper is None]:
            if not owned.superseded_by:
                self._choose_keeper(now, owned)

    def decision_received(self, now: int, pair: Pair, owner_resumes: bool | None) -> list[Action]:
        """Handles the ownership decision on a pair's replicas; None if it is unavailable now."""
        self._actions = []
        as_owner = pair.owner == self._settings.name and pair.owner_incarnation == self._settings.incarnation
        if owner_resumes is None:
            self._decision_retries[pair] = (now + RETRY_INTERVAL, as_owner)
        elif as_owner:
            self._on_owner_decision(now, pair, owner_resumes)
        elif self._leases.keeper_decision_received(pair, not owner_resumes):
            for request_id in list(self._awaited_replicas):
                replica = self.replicas.get(request_id)
                if replica is not None and (replica.owner, replica.owner_incarnation) == (
                    pair.owner,
                    pair.owner_incarnation,
                ):
                    self._try_takeover(now, replica)
        return self._actions

    def _on_owner_decision(self, now: int, pair: Pair, owner_resumes: bool) -> None:
        """Handles the decision whether this instance or its keeper resumes the requests placed there."""
        if not self._leases.owner_decision_received(pair, True):
            return
        for owned in [
            owned for owned in self.owned.values() if owned.keeper == pair.keeper and not owned.superseded_by
        ]:
            if not owner_resumes:
                self._lose_ownership(now, owned, owned.epoch + 1)
                continue
            self._choose_keeper(now, owned)
            if owned.withheld is not None and self._may_act(now, owned):
                self._finish(now, owned, owned.withheld)

    def _propose_decisions(self, now: int) -> None:
        """Proposes ownership decisions for requests that need one, and repeats those that failed."""
        wanted = {
            owned.keeper for owned in self.owned.values() if owned.answer is None and not owned.superseded_by
        }
        for keeper in sorted(name for name in wanted if name is not None):
            if not self._leases.may_act(now, keeper):
                pair = self._leases.owner_proposal(
                    now, self._settings.name, self._settings.incarnation, keeper
                )
                if pair is not None:
                    self._actions.append(ProposeDecision(pair, True))
        for request_id in list(self._awaited_replicas):
            if (replica := self.replicas.get(request_id)) is not None:
                self._try_takeover(now, replica)
        for pair, (when, as_owner) in list(self._decision_retries.items()):
            if when <= now:
                del self._decision_retries[pair]
                self._actions.append(ProposeDecision(pair, as_owner))

    def _on_lookup_response(self, now: int, sender: str, response: LookupResponse) -> None:
        self._responses.response_received(sender)
        lookup = self.lookups.get(response.token)
        if lookup is None:
            return
        if response.answer.kind is AnswerKind.PENDING:
            is_awaited = lookup.awaiting.get(sender, False) and response.round == lookup.round
            if isinstance(lookup, KeyedLookup) and is_awaited:
                lookup.in_progress_at.add(sender)
            return
        if response.answer.kind is not AnswerKind.NONE:
            del self.lookups[response.token]
            self._answer_waiter(response.token, response.answer)
        elif lookup.awaiting.get(sender) and response.round == lookup.round:
            lookup.awaiting[sender] = False
            if isinstance(lookup, KeyedLookup):
                lookup.in_progress_at.discard(sender)
            self._conclude_lookup(now, response.token, lookup)

    # --- peers ------------------------------------------------------------------------------------------

    def peer_changed(self, now: int, change: Up | Lost | Dead) -> list[Action]:
        """Handles a peer that is up, lost or dead; `peers` has been updated already."""
        self._actions = []
        if isinstance(change, Lost):
            return []
        if isinstance(change, Up):
            self._responses.response_received(change.name)
            self._leases.keeper_connected(change.name, change.incarnation)
            if self._settings.lease:
                self._actions.append(SendMessage(change.name, self._leases.renewal(now, change.name)))
        for owned in [
            owned for owned in self.owned.values() if owned.keeper == change.name and not owned.superseded_by
        ]:
            if owned.keeper_incarnation <= self._peers.peers[change.name].dead:
                if self._may_act(now, owned):  # otherwise the keeper may have taken it over before it died
                    self._choose_keeper(now, owned)
            elif isinstance(change, Up):
                self._send_replica(now, owned)  # messages in transit when the link broke may be lost
        if isinstance(change, Dead):
            self._on_peer_death(now, change)
        else:
            self._choose_missing_keepers(now)
        for token, lookup in list(self.lookups.items()):
            if isinstance(lookup, KeyedLookup) and isinstance(change, Dead):
                self._start_keyed_lookup(now, token, lookup)  # the likely keepers have changed
            elif change.name in lookup.awaiting:
                self._send_lookup(now, token, lookup)
        return self._actions

    def _on_peer_death(self, now: int, dead: Dead) -> None:
        """Takes over what clients wait for; waiters of dead instances are removed."""
        self._leases.peer_died(now, dead.name, dead.incarnation)
        self._start_grants.peer_died(dead.name)
        entries: list[OwnedRequest | Replica] = [*self.owned.values(), *self.replicas.values()]
        for entry in entries:
            if any(isinstance(waiter, tuple) and waiter[0] == dead.name for waiter in entry.waiters):
                entry.waiters = [w for w in entry.waiters if isinstance(w, int) or w[0] != dead.name]
        for request_id in list(self._awaited_replicas):
            replica = self.replicas.get(request_id)
            if (
                replica is not None
                and replica.owner == dead.name
                and replica.owner_incarnation <= dead.incarnation
            ):
                self._try_takeover(now, replica)

    # --- operators --------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, object]:
        """Returns counts for operators: open requests, their keepers, replicas, peers and totals."""
        open_now = [
            owned for owned in self.owned.values() if owned.answer is None and not owned.superseded_by
        ]
        covered = Counter(
            owned.keeper if owned.keeper is not None else f"nobody: {owned.uncovered_reason}"
            for owned in open_now
        )
        kept_for = Counter(replica.owner for replica in self.replicas.values())
        peers = {name: peer.state.value for name, peer in self._peers.peers.items()}
        return {
            "in_hand": len(open_now), "covered_by": dict(covered), "kept_for": dict(kept_for),
            "kept_bytes": self.replica_bytes, "waiting": len(self._local_waiters), "peers": peers,
            "rights": self._leases.active_count(now), "sure_of": self._leases.certain_count(now),
            "counts": dict(self.counts),
        }  # fmt: skip

    def open_requests(self, now: int) -> list[dict[str, object]]:
        """Returns a row for each open request: stage, keeper or why there is none, number of takeovers."""
        rows: list[dict[str, object]] = []
        for owned in self.owned.values():
            if owned.answer is None and not owned.superseded_by:
                rows.append(
                    {
                        "id": owned.record.id.decode(),
                        "class": owned.record.cls,
                        "plan": owned.record.plan,
                        "stage": self._stage(owned),
                        "left_ms": max(0, owned.deadline - now) // 1_000,
                        "covered_by": owned.keeper,
                        "why_not": owned.uncovered_reason,
                        "taken_over": owned.epoch - 1,
                    }
                )
        return rows

    def _stage(self, owned: OwnedRequest) -> str:
        if owned.withheld is not None:
            return "answered, and not this instance's to tell"
        if owned.pending_attempts:
            return "about to be sent"
        return "sent" if self._may_have_run(owned) else "counted" if owned.counted else "accepted"

    # --- timers -----------------------------------------------------------------------------------------

    def next_tick(self) -> int | None:
        """Returns when `tick` has to be called next; None if nothing is scheduled."""
        times = [next(iter(self._ack_deadlines.values()))] if self._ack_deadlines else []
        times += [lookup.retry_at for lookup in self.lookups.values()]
        times += [self._expiries[0][0]] if self._expiries else []
        times += [self._delayed_resumes[0][0]] if self._delayed_resumes else []
        times += [self._next_renewal] if self._settings.lease else []
        return min(times) if times else None

    def tick(self, now: int) -> list[Action]:
        """Handles everything whose time has come."""
        self._actions = []
        while self._ack_deadlines and next(iter(self._ack_deadlines.values())) <= now:
            request_id, attempt = next(iter(self._ack_deadlines))
            if attempt == ANSWER_ACK:
                self._conclude_refusal(self.owned[request_id], False)
                continue
            self._remove_pending(self.owned[request_id], attempt)
            self.counts["stayed"] += 1
            self._actions.append(DenyAttempt(request_id, attempt))
        for token, lookup in list(self.lookups.items()):
            if lookup.retry_at <= now and isinstance(lookup, KeyedLookup):
                self._continue_keyed_lookup(now, token, lookup)
            elif lookup.retry_at <= now:
                if lookup.paused:
                    lookup.awaiting, lookup.paused = dict.fromkeys(self._peers.peers, True), False
                self._send_lookup(now, token, lookup)
        while self._delayed_resumes and self._delayed_resumes[0][0] <= now:
            self._resume_delayed(now, heapq.heappop(self._delayed_resumes)[1])
        if self._settings.lease and self._next_renewal <= now:
            self._next_renewal = now + self._settings.lease // RENEWALS_PER_LEASE
            for name in self._peers.up():
                self._actions.append(SendMessage(name, self._leases.renewal(now, name)))
            self._propose_decisions(now)
            for request_id in [
                request_id for request_id in self._withheld if self.owned[request_id].deadline <= now
            ]:
                # Neither side may answer it now, and its waiters must not wait past their deadline.
                self._answer_waiters(self.owned[request_id], UNKNOWN)
        while self._expiries and self._expiries[0][0] <= now:
            _, request_id = heapq.heappop(self._expiries)
            self._expire(now, request_id)
        return self._actions

    def _resume_delayed(self, now: int, request_id: bytes) -> None:
        """Resumes a request after the timeout of the failed owner's last attempt."""
        owned = self.owned.get(request_id)
        if owned is None or owned.superseded_by or owned.answer is not None:
            return
        if (final := self._terminal_answer(now, owned)) is not None:
            self._finish(now, owned, final)
        else:
            self._actions.append(
                ResumeRequest(owned.record, owned.deadline - now, owned.counted, self._may_have_run(owned))
            )

    def _expire_at(self, when: int, request_id: bytes) -> None:
        heapq.heappush(self._expiries, (when, request_id))

    def _expire(self, now: int, request_id: bytes) -> None:
        """Removes an entry whose time is over, unless the same id has a later one."""
        owned, replica = self.owned.get(request_id), self.replicas.get(request_id)
        if owned is not None and owned.deadline + self._settings.retention <= now:
            del self.owned[request_id]
            self._withheld.pop(request_id, None)
        self._rejected.pop(request_id, None)
        self._reported_missing.pop(request_id, None)
        self._start_grants.remove(request_id)
        if replica is not None and replica.deadline + self._settings.retention <= now:
            self._remove_replica(replica)

    def _remove_replica(self, replica: Replica) -> None:
        del self.replicas[replica.record.id]
        self._awaited_replicas.pop(replica.record.id, None)
        self.replica_bytes -= replica.size
