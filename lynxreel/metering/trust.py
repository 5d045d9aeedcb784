"""Monitors the shared counter without I/O: takes calls and answers, returns what to forward and extra calls.

It sits between the decision module and the counter. The module adds to the counter before it forwards each
request. This monitor checks the totals that come back, and repairs the counter where it has provably lost
increments:

- A *marker* is a name that only this gateway adds to, 1 at each beat. Its total is known in advance, whatever
  other gateways do. One that is too low proves that increments were lost, and which: beats are increments
  like any others, so what was confirmed before the last surviving beat is still there, and what came later
  may be lost.
- Each gateway restores what it has itself added to names that have not expired, and nothing else. So the
  known use of a window is restored completely and once, without messages between gateways, even where two
  counters ran side by side and their gateways meet again on one of them.
- A total below what this gateway alone has added to a name, or one that drops further than refunds by other
  gateways can explain, is a contradiction. The marker shows whether the counter has lost increments. Where it
  has not, the name is read again: either this name alone was evicted, or the total was wrong.
- A lagging replica looks like a loss. It catches up when no beat is added for a while; a loss does not. So a
  reading can only prove the loss of beats that were confirmed more than MAX_REPLICA_LAG before it: where some
  beats are there, the marker is read again until the last beat is that old; where none is, until the first
  one is. Increments of a name can be found missing once a beat that was sent after them is there.

Until a loss is repaired, the totals forwarded to the module include its own missing increments and never
drop: the module would take a drop for refunds by other gateways.

States: TRUSTED, SLOW (answers are late), AWAY (no answers), SUSPECT (its totals contradict what is known),
REPLACED (it has lost increments, which are being restored), REJOINING (it answers again, and has not been
verified yet to be the same counter).
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from mothgap.interface import Result

SECOND = 1_000_000  # microseconds
MAX_NAME_LIFETIME = 60 * SECOND  # microseconds; the longest lifetime of a name on a counter
MARKER_ROTATION = 25 * SECOND  # microseconds until a new marker begins: well within the old one's lifetime
MARKER_EXPIRY = 50 * SECOND  # microseconds until a marker may have expired: it proves nothing any more
# Microseconds after a contradiction at which the marker is read again.
RECHECK_DELAYS = (100_000, 300_000, 700_000, 1_000_000)
MIN_BEAT_GAP = 50_000  # microseconds between beats that are to prove what a name has lost
RESTORE_DELAY = 300_000  # microseconds in which every gateway that added to an evicted name notices the loss
MAX_REPLICA_LAG = 900_000  # microseconds by which a replica may lag and still count as the same counter
AWAY_FAILURES = 3  # consecutive failed calls, each sent after the previous one had failed
SLOW_SHARE = 0.5  # of the time limit; the counter is slow where the mean latency exceeds it
SMOOTHING = 0.1  # weight of a new answer in that mean
# Beats from which on a marker that restarts from 0 counts as lost; with fewer, a wrong total is as likely.
MIN_RESTART_BEATS = 2
# Microseconds after a loss in which forwarded totals may not drop: other gateways are restoring, too.
SETTLE_DURATION = 2 * SECOND
TOTAL_TOLERANCE = 0.5  # units by which totals may differ from what is known: only seven digits are exact
MERGE_INTERVAL = 200_000  # microseconds; this gateway's increments within it are recorded as one batch
MIN_MARKER_NAME = 1 << 62  # the lowest marker name; all names of customers are below it


class State(Enum):
    """How far the counter is trusted; operators see the values."""

    TRUSTED = "trusted"
    SLOW = "slow"
    AWAY = "away"
    SUSPECT = "suspect"
    REPLACED = "replaced"
    REJOINING = "rejoining"


@dataclass(frozen=True, slots=True)
class Call:
    """Add to a name now; the answer goes to `on_answer` like all others."""

    name: int
    amount: float
    lifetime: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the outcome of a call to the module that made it."""

    name: int
    result: Result
    total: float


@dataclass(frozen=True, slots=True)
class StateChange:
    """The state has changed, and why; for the log."""

    state: State
    why: str


Action = Call | Forward | StateChange


@dataclass(slots=True)
class _PendingCall:
    """A call without an answer yet; `internal` where this monitor made it and not the module."""

    amount: float
    sent_at: int
    internal: bool


@dataclass(slots=True)
class _IncrementBatch:
    """Increments by this gateway that were confirmed within a short time."""

    first: int  # when the first was confirmed
    last: int  # when the last was confirmed
    units: float
    suspicions: int  # number of suspicions raised before the batch was confirmed
    counter_bits: int  # bit set of the counters that hold them: where they were added, and where restored


@dataclass(slots=True)
class _NameRecord:
    """What this gateway knows of one name."""

    expires_at: int  # when its lifetime ends
    own: float = 0.0  # this gateway's increments that the counter has confirmed
    missing: float = 0.0  # of these, those lost by the counter and not restored yet
    forwarded: float = 0.0  # the last total that was forwarded to the module
    unconfirmed: float = 0.0  # increments whose answers never came: the counter may hold them or not
    increments: deque[_IncrementBatch] = field(default_factory=deque)
    disputed: float = -1.0  # `own` less `missing` at a contradicting total, until a second reading; else -1

    def confirm(self, now: int, amount: float, suspicions: int, counter_bits: int, last_beat_at: int) -> None:
        """Record an increment that the counter has confirmed; `last_beat_at`: when the last beat was sent.

        Increments before and after a beat never share a batch: if the beat survives, so do those before it.
        """
        self.own += amount
        last = self.increments[-1] if self.increments else None
        is_recent = last is not None and last.first >= max(last_beat_at, now - MERGE_INTERVAL + 1)
        if (
            last is not None
            and is_recent
            and (last.suspicions, last.counter_bits) == (suspicions, counter_bits)
        ):
            last.last, last.units = now, last.units + amount
        else:
            self.increments.append(_IncrementBatch(now, now, amount, suspicions, counter_bits))


@dataclass(slots=True)
class _Marker:
    """A name that only this gateway adds to."""

    name: int
    created_at: int
    counter_bit: int  # of the counter that holds it
    beats: int = 0  # confirmed and verified
    unconfirmed: int = 0  # beats whose answers never came
    first_at: int = 0  # when the first beat was confirmed
    last_at: int = 0  # when the last beat was confirmed
    # When each verified beat was sent: increments confirmed before then are as safe as the beat.
    sent_at: list[int] = field(default_factory=list)
    unverified: list[int] = field(default_factory=list)  # the same for beats that no reading has verified yet


class CounterMonitor:
    """One gateway's view of one counter. Times are microseconds on the engine's clock."""

    def __init__(self, nonce: int, time_limit: int, beat_interval: int, max_drop: float, now: int) -> None:
        """`nonce` distinguishes this run of the gateway from all others; `beat_interval`: time between beats.

        `max_drop`: units by which a total may drop at once because of refunds by other gateways.
        """
        self.state = State.TRUSTED
        self.time_limit, self.max_drop = time_limit, max_drop
        self.restored = 0.0  # units restored to counters since the start
        self.losses = 0  # proved losses
        self._beat_interval, self._nonce = beat_interval, nonce & ((1 << 36) - 1)
        self._records: OrderedDict[int, _NameRecord] = OrderedDict()
        self._pending: dict[int, deque[_PendingCall]] = {}
        self._markers = 0
        self._marker = self._new_marker(now, 1)
        self._former_markers: list[_Marker] = []  # of counters that were replaced: one of them may come back
        self._probes: dict[int, _Marker] = {}  # of these, the ones that are being read
        self._failed, self._failed_at = 0, now - MAX_NAME_LIFETIME
        self._mean_latency = 0.0  # running mean of answer times in microseconds
        self._rechecks: deque[int] = deque()  # when the marker is to be read again; beats pause meanwhile
        self._last_reading = -1  # beats found by the last reading
        self._suspicions = 0  # so far; what was confirmed after the last one is on the present counter
        self._disputed_names: set[int] = set()  # names to be read again once the marker is verified
        self._pending_restores: dict[int, float] = {}  # units by name, to be restored at the next beat
        self._restore_at = now  # not before this time
        self._settled_at = now  # until then forwarded totals may not drop
        self._next_beat_at = now
        self._last_beat_at = now  # when the last beat was sent

    def describe(self, name: int) -> dict[str, float]:
        """What is known of a name, for operators; empty where this gateway does not know it."""
        record = self._records.get(name)
        if record is None:
            return {}
        return {
            "own": record.own,
            "missing": record.missing,
            "doubt": record.unconfirmed,
            "told": record.forwarded,
        }

    # --- calls ------------------------------------------------------------------------------------------

    def on_call(self, now: int, name: int, amount: float, lifetime: int) -> None:
        """The module is about to send a call."""
        self._register(now, name, amount, lifetime, False)

    def _register(self, now: int, name: int, amount: float, lifetime: int, internal: bool) -> None:
        self._pending.setdefault(name, deque()).append(_PendingCall(amount, now, internal))
        if name >= MIN_MARKER_NAME or name in self._records:
            return
        self._records[name] = _NameRecord(now + min(MAX_NAME_LIFETIME, lifetime))
        # Each new name checks the two oldest ones, and removes those that have expired.
        for old in list(islice(self._records, 2)):
            if self._records[old].expires_at < now and old not in self._pending:
                del self._records[old]

    def _call(self, now: int, name: int, amount: float, lifetime: int = MAX_NAME_LIFETIME) -> Call:
        self._register(now, name, amount, lifetime, True)
        return Call(name, amount, lifetime)

    # --- answers ----------------------------------------------------------------------------------------

    def on_answer(self, now: int, name: int, result: Result, total: float) -> list[Action]:
        """Take the outcome of a call; calls of one name end in the order of sending."""
        pending = self._pending[name]
        call = pending.popleft()
        if not pending:
            del self._pending[name]
        actions = self._update_health(now, call, result)
        if name >= MIN_MARKER_NAME:
            if result is Result.OK:
                actions += self._on_marker_total(now, name, call, total)
            elif name in self._probes:
                actions += self._on_probe_total(now, name, 0.0)
            elif not result.never_ran and call.amount and name == self._marker.name:
                self._marker.unconfirmed += 1
            return actions
        record = self._records[name]
        if result is Result.OK:
            return actions + self._on_total(now, name, record, call, total)
        if call.internal and not call.amount and record.disputed >= 0:
            self._disputed_names.add(name)  # the second reading failed: repeat it after the next beat
        if not result.never_ran:
            record.unconfirmed += abs(call.amount)
            record.missing -= call.amount if call.internal else 0.0
        elif call.internal:
            self._pending_restores[name] = self._pending_restores.get(name, 0.0) + call.amount
        return actions if call.internal else [*actions, Forward(name, result, total)]

    def on_late_total(self, now: int, name: int, amount: float) -> None:
        """A total arrived for a call that had ended without one: its increment was made after all."""
        record = self._records.get(name)
        if record is not None:
            record.unconfirmed = max(0.0, record.unconfirmed - abs(amount))
            record.confirm(now, amount, self._suspicions, self._marker.counter_bit, self._last_beat_at)

    def _on_total(
        self, now: int, name: int, record: _NameRecord, call: _PendingCall, total: float
    ) -> list[Action]:
        if call.internal:
            if not call.amount:
                return self._on_reread(now, name, record, total)
            record.missing = max(0.0, record.missing - call.amount)
            return self._trust_if_consistent(now)
        before = record.own - record.missing
        low = before + call.amount - record.unconfirmed - total > TOTAL_TOLERANCE
        dropped = record.forwarded + call.amount - record.missing - total > self.max_drop
        actions: list[Action] = []
        if (low or dropped) and record.expires_at > now and record.disputed < 0:
            record.disputed = before
            self._disputed_names.add(name)
            actions += self._suspect(now, f"a total of {total:g} after a total of {record.forwarded:g}")
        record.confirm(now, call.amount, self._suspicions, self._marker.counter_bit, self._last_beat_at)
        forwarded = total + record.missing
        if low or dropped or record.disputed >= 0 or now < self._settled_at:
            # Other gateways are restoring their increments, too: until then a drop is a loss, not a refund.
            forwarded = max(forwarded, record.forwarded + call.amount)
        record.forwarded = forwarded
        return [*actions, Forward(name, Result.OK, forwarded)]

    def _on_reread(self, now: int, name: int, record: _NameRecord, total: float) -> list[Action]:
        """Evaluate the second reading of a name with a contradicting total; the marker has been verified."""
        disputed, record.disputed = record.disputed, -1.0
        if disputed < 0 or record.expires_at <= now:
            return self._trust_if_consistent(now)
        shortfall = record.own - record.missing - record.unconfirmed - total
        if shortfall <= TOTAL_TOLERANCE:
            # The total was wrong, or others refunded.
            record.forwarded = min(record.forwarded, total + record.missing)
            return self._trust_if_consistent(now)
        last_beat_at = self._marker.sent_at[-1] if self._marker.sent_at else 0
        if (
            shortfall
            <= sum(batch.units for batch in record.increments if batch.last >= last_beat_at) + TOTAL_TOLERANCE
        ):
            # A lagging replica would show the same. Beat soon: once that beat is there, so is all before it.
            record.disputed = disputed
            self._disputed_names.add(name)
            self._next_beat_at = min(self._next_beat_at, max(now, last_beat_at + MIN_BEAT_GAP))
            return []
        # The name was evicted with all that it held before the first low total: restore this gateway's part.
        self.losses += 1
        self._settled_at = now + SETTLE_DURATION
        lost = [batch for batch in record.increments if batch.suspicions < self._suspicions]
        calls = self._restore(now, name, record, lost)
        # Not at once: it would hide from other gateways that their increments are lost, too.
        for call in calls:
            if not self._pending_restores:
                self._restore_at = now + RESTORE_DELAY
            self._pending_restores[name] = self._pending_restores.get(name, 0.0) + call.amount
        return [] if calls else self._trust_if_consistent(now)

    def _restore(self, now: int, name: int, record: _NameRecord, lost: list[_IncrementBatch]) -> list[Call]:
        """Calls that add the lost increments again; they get a new time, as they may be lost once more."""
        units = sum(batch.units for batch in lost)
        for batch in lost:
            batch.first = batch.last = now
            batch.counter_bits |= self._marker.counter_bit
        if record.expires_at <= now or abs(units) <= TOTAL_TOLERANCE:
            return []
        record.missing += units
        self.restored += units
        return [Call(name, units, record.expires_at - now)]

    def _trust_if_consistent(self, now: int) -> list[Action]:
        """Return to TRUSTED once no name is disputed and everything is restored."""
        if self.state not in (State.SUSPECT, State.REPLACED) or self._rechecks:
            return []
        alive = (record for record in self._records.values() if record.expires_at > now)
        if any(record.disputed >= 0 or record.missing > TOTAL_TOLERANCE for record in alive):
            return []
        return self._set_state(State.TRUSTED, "it holds all increments")

    # --- the marker -------------------------------------------------------------------------------------

    def _new_marker(self, now: int, counter_bit: int) -> _Marker:
        self._markers += 1
        return _Marker(MIN_MARKER_NAME | self._nonce << 20 | self._markers & 0xFFFFF, now, counter_bit)

    def _suspect(self, now: int, why: str) -> list[Action]:
        """Read the marker now, and again until the cause is clear."""
        if self._rechecks or self.state is State.AWAY:
            return []
        self._rechecks.extend(now + delay for delay in (0, *RECHECK_DELAYS))
        self._last_reading, self._suspicions = -1, self._suspicions + 1
        return self._set_state(State.SUSPECT, why)

    def _on_marker_total(self, now: int, name: int, call: _PendingCall, total: float) -> list[Action]:
        """Evaluate a total of the marker: it proves that all increments are there, or which are lost."""
        if name in self._probes:
            return self._on_probe_total(now, name, total)
        marker = self._marker
        if name != marker.name:
            return []
        reading = round(total)
        if call.amount:
            marker.unverified.append(call.sent_at)  # it was added, whatever the total is
            marker.first_at, marker.last_at = marker.first_at or now, now
        expected = marker.beats + len(marker.unverified)
        if abs(total - reading) > 0.01 or reading < 0:
            return self._suspect(now, f"a marker of {total:g}")  # wrong: a marker is a whole number
        if reading > expected + marker.unconfirmed:
            repeated, self._last_reading = self._last_reading == reading, reading
            # A repeated reading is believed: beats were added that are not recorded here.
            if not repeated or call.amount:
                return self._suspect(now, f"a marker of {reading} where {expected} beats were added")
        if reading >= marker.beats + len(marker.unverified):
            # Beats whose answers never came are there, too; this call's time of sending stands for theirs.
            marker.sent_at += [
                *marker.unverified,
                *[call.sent_at] * (reading - marker.beats - len(marker.unverified)),
            ]
            marker.beats, marker.unconfirmed = reading, 0
            marker.unverified.clear()
            return self._on_marker_verified(now)
        actions = self._suspect(now, f"a marker of {reading} where {expected} beats were added")
        if call.amount:
            return actions  # a reading without an increment follows
        survived = max(0, reading - len(marker.unverified))
        repeated, self._last_reading = self._last_reading == survived, survived
        if not repeated and survived == 0:
            self._rechecks.appendleft(now)  # it restarts from 0: a wrong total is unlikely to repeat that
        restarted = survived == 0 and marker.beats >= MIN_RESTART_BEATS
        if repeated and call.sent_at >= (marker.first_at if restarted else marker.last_at) + MAX_REPLICA_LAG:
            return actions + self._on_beats_lost(now, survived)
        return actions

    def _on_marker_verified(self, now: int) -> list[Action]:
        """All beats are there, so it is the same counter as before. Disputed names are read again."""
        self._rechecks.clear()
        disputed_names, self._disputed_names = self._disputed_names, set()
        actions: list[Action] = []
        for name in disputed_names:
            record = self._records.get(name)
            if record is not None and record.expires_at > now:
                actions.append(self._call(now, name, 0.0, record.expires_at - now))
        if self.state is State.REJOINING:
            actions += self._set_state(State.TRUSTED, "it is the same counter as before")
        if now - self._marker.created_at > MARKER_ROTATION:
            # Only now: a loss between the last beat of one marker and the first of the next is not detected.
            self._marker, self._next_beat_at = self._new_marker(now, self._marker.counter_bit), now
        return actions + self._trust_if_consistent(now)

    def _on_beats_lost(self, now: int, survived: int) -> list[Action]:
        """Beats are lost for good. Where none is left, this is another counter, perhaps a former one."""
        if survived:
            return self._on_rollback(now, survived)
        self._former_markers = [
            marker
            for marker in self._former_markers
            if now - marker.created_at < MARKER_EXPIRY and marker.beats
        ]
        if not self._former_markers:
            return self._on_replacement(now, None)
        self._probes = {marker.name: marker for marker in self._former_markers}
        return [self._call(now, marker.name, 0.0) for marker in self._former_markers]

    def _on_probe_total(self, now: int, name: int, total: float) -> list[Action]:
        """Evaluate the marker of a former counter as read on the present one."""
        marker = self._probes.pop(name)
        if total + TOTAL_TOLERANCE >= marker.beats:
            return self._on_replacement(now, marker)
        return self._on_replacement(now, None) if not self._probes else []

    def _on_replacement(self, now: int, returned: _Marker | None) -> list[Action]:
        """Another counter answers, or a former one is back: restore what it does not hold."""
        previous = self._marker
        why = f"none of {previous.beats} beats is there: restoring this gateway's increments"
        actions = self._begin_restoring(now, why)
        self._former_markers = [marker for marker in self._former_markers if marker is not returned]
        self._former_markers.append(previous)
        self._marker = returned or self._new_marker(now, 1 << self._markers)
        self._marker.unverified.clear()
        previous.unverified.clear()
        counter_bit = self._marker.counter_bit
        for name, record in self._records.items():
            for batch in record.increments:
                if batch.suspicions >= self._suspicions:
                    # Confirmed since the suspicion was raised, and so by this counter.
                    batch.counter_bits = counter_bit
            record.missing = 0.0
            lost = [batch for batch in record.increments if not batch.counter_bits & counter_bit]
            actions += self._send_calls(now, self._restore(now, name, record, lost))
        self._next_beat_at = now
        return actions + self._trust_if_consistent(now)

    def _on_rollback(self, now: int, survived: int) -> list[Action]:
        """The same counter has lost its last increments: restore those after the last surviving beat."""
        marker = self._marker
        since = marker.sent_at[survived - 1]
        why = (
            f"{marker.beats - survived} of {marker.beats} beats are lost: restoring this gateway's increments"
        )
        actions = self._begin_restoring(now, why)
        marker.sent_at = marker.sent_at[:survived] + marker.unverified
        marker.beats = len(marker.sent_at)
        marker.unverified.clear()
        for name, record in self._records.items():
            candidates = (
                batch
                for batch in record.increments
                if batch.last >= since and batch.suspicions < self._suspicions
            )
            lost = [batch for batch in candidates if batch.counter_bits & marker.counter_bit]
            actions += self._send_calls(now, self._restore(now, name, record, lost))
        return actions + self._trust_if_consistent(now)

    def _send_calls(self, now: int, calls: list[Call]) -> list[Call]:
        return [self._call(now, call.name, call.amount, call.lifetime) for call in calls]

    def _begin_restoring(self, now: int, why: str) -> list[Action]:
        self._rechecks.clear()
        self._disputed_names.clear()
        self._probes.clear()
        self._pending_restores.clear()
        self.losses += 1
        self._settled_at = now + SETTLE_DURATION
        for record in self._records.values():
            record.disputed = -1.0
        return self._set_state(State.REPLACED, why)

    # --- health -----------------------------------------------------------------------------------------

    def _update_health(self, now: int, call: _PendingCall, result: Result) -> list[Action]:
        if result is Result.OK:
            self._failed = 0
            self._mean_latency += SMOOTHING * (now - call.sent_at - self._mean_latency)
            if self.state is State.AWAY:
                return self._rejoin(now)
            slow = self._mean_latency > SLOW_SHARE * self.time_limit
            if slow and self.state is State.TRUSTED:
                return self._set_state(State.SLOW, f"answers take {self._mean_latency / 1e3:.0f} ms")
            if not slow and self.state is State.SLOW:
                return self._set_state(State.TRUSTED, "answers are prompt again")
        elif result is not Result.FULL and call.sent_at >= self._failed_at:
            self._failed, self._failed_at = self._failed + 1, now
            if self._failed >= AWAY_FAILURES and self.state is not State.AWAY:
                self._rechecks.clear()
                return self._set_state(State.AWAY, f"{self._failed} consecutive calls failed")
        return []

    def _rejoin(self, now: int) -> list[Action]:
        """It answers again; a beat at once shows by the marker whether it is the same counter."""
        self._next_beat_at = now
        if now - self._marker.created_at > MARKER_EXPIRY:
            self._marker = self._new_marker(now, self._marker.counter_bit)
        return self._set_state(State.REJOINING, "it answers again")

    def _set_state(self, state: State, why: str) -> list[Action]:
        if state is self.state:
            return []
        self.state = state
        return [StateChange(state, why)]

    # --- time -------------------------------------------------------------------------------------------

    def due(self) -> int:
        """When `on_timer` is to be called next."""
        return self._rechecks[0] if self._rechecks else self._next_beat_at

    def on_timer(self, now: int) -> list[Action]:
        """Send a beat, or read the marker again, where that is due."""
        if self._rechecks:
            if self._rechecks[0] > now:
                return []
            self._rechecks.popleft()
            if not self._rechecks:  # inconclusive, as readings failed or changed: continue
                self._rechecks.extend(now + delay for delay in RECHECK_DELAYS)
            return [self._call(now, self._marker.name, 0.0)]
        if now < self._next_beat_at:
            return []
        self._next_beat_at = now + self._beat_interval
        actions: list[Action] = []
        if self.state is not State.AWAY and now >= self._restore_at:
            pending_restores, self._pending_restores = self._pending_restores, {}
            for name, amount in pending_restores.items():
                record = self._records.get(name)
                if record is not None and record.expires_at > now:
                    actions.append(self._call(now, name, amount, record.expires_at - now))
        self._last_beat_at = now
        return [*actions, self._call(now, self._marker.name, 1.0)]
