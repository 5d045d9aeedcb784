"""The counter's health, without I/O: calls and answers in, what to pass on and what to call besides out.

It stands between the decisions and the counter. The module goes on adding before each request goes on; this
watches what comes back, and mends the counter where that can be proved to have lost adds:

- A *marker* is a name that only this gateway adds to, 1 at each beat. Its total is known in advance, whatever
  the others do. One that is too low proves that adds are gone, and which: beats are adds like any others, so
  what was confirmed before the last beat that survived is there still, and later adds may be gone.
- Each gateway gives back what it has itself added to the names that are alive, and nothing else. So what was
  known of a window comes back whole and once, with no word between the gateways, also where two counters
  lived side by side and their halves meet again.
- A total below what this gateway alone has added to a name, or one that falls further than others can have
  given back, is a contradiction. The marker tells whether the counter has lost adds; where it has not, the
  name is read again: it alone may be gone (evicted), or the total was a lie.
- A replica that lags looks like a loss. It catches up when no beat is added for a while; a loss does not. So
  only beats that were confirmed more than LAG before a reading can be found missing by it: where some are
  there, the marker is read again until the last beat is so old; where none is, the first one has to be. Adds
  to a name can be found missing once a beat that was sent after them is there.

Until a loss is mended, the module is told totals to which its own missing adds are added, and that never
fall: it would take a fall for units that others gave back.

States: TRUSTED, SLOW (answers late), AWAY (no answers), SUSPECT (its totals contradict what is known),
REPLACED (it has lost adds, which are being given back), REJOINING (answers again; not proved yet to be the
same one).
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from mothgap.interface import Result

SECOND = 1_000_000  # microseconds
LIFE = 60 * SECOND  # the longest that a counter keeps a name
MARKER_SPAN = 25 * SECOND  # after which a new marker begins: well within the life of the old one
MARKER_OLD = 50 * SECOND  # after which one may have ended: it proves nothing any more
LOOKS = (100_000, 300_000, 700_000, 1_000_000)  # microseconds after a doubt at which the marker is read again
SOON = 50_000  # microseconds between beats that prove what a name has lost
PAY_AFTER = 300_000  # microseconds in which all who added to a name that was dropped find out
LAG = 900_000  # microseconds by which a replica may be late; it is still the same counter
AWAY_AFTER = 3  # calls failed in a row, each sent after the one before had failed
SLOW_PART = 0.5  # of the time limit; a running mean of answers above it is slow
SMOOTH = 0.1  # share of a new answer in that mean
EVER = 2  # beats at which a marker that starts anew is a loss: of fewer, a lie would be as likely
STEADY = 2 * SECOND  # a mended counter's totals may not fall for so long: others are giving back, too
SLACK = 0.5  # units by which totals may differ from what is known: seven digits are exact
BUCKET = 200_000  # microseconds of own adds that are remembered as one
MARKERS = 1 << 62  # markers have names of their own, above all those of customers


class State(Enum):
    """How far the counter is trusted; the values are what operators read."""

    TRUSTED = "trusted"
    SLOW = "slow"
    AWAY = "away"
    SUSPECT = "suspect"
    REPLACED = "replaced"
    REJOINING = "rejoining"


@dataclass(frozen=True, slots=True)
class Call:
    """Add to a name now; its answer comes to `answered` like all others."""

    name: int
    amount: float
    lifetime: int


@dataclass(frozen=True, slots=True)
class Pass:
    """Tell the module of its call's outcome."""

    name: int
    result: Result
    total: float


@dataclass(frozen=True, slots=True)
class Told:
    """The state has changed, and why: for the operators."""

    state: State
    why: str


Action = Call | Pass | Told


@dataclass(slots=True)
class _Out:
    """A call that is out; `ours` where the module did not make it."""

    amount: float
    sent: int
    ours: bool


@dataclass(slots=True)
class _Adds:
    """Own adds that were confirmed within a short time."""

    first: int
    last: int
    units: float
    doubts: int  # how many had begun by then
    held: int  # a bit for each counter that holds them: where they were added, and where given back


@dataclass(slots=True)
class _Name:
    """What this gateway knows of one name."""

    until: int  # when its life ends
    own: float = 0.0  # own adds that the counter has confirmed
    missing: float = 0.0  # of these, what it has lost and not been given back
    told: float = 0.0  # the last total that the module heard
    doubt: float = 0.0  # own adds whose answers never came: they may be there or not
    adds: deque[_Adds] = field(default_factory=deque)
    asked: float = -1.0  # own adds before a total that contradicted them, until a second reading

    def confirm(self, now: int, amount: float, doubts: int, held: int, beat_at: int) -> None:
        """The counter has this add; so many doubts have begun before, and the last beat was sent then.

        Adds on both sides of a beat are never remembered as one: where it survives, so do those before it.
        """
        self.own += amount
        last = self.adds[-1] if self.adds else None
        is_recent = last is not None and last.first >= max(beat_at, now - BUCKET + 1)
        if last is not None and is_recent and (last.doubts, last.held) == (doubts, held):
            last.last, last.units = now, last.units + amount
        else:
            self.adds.append(_Adds(now, now, amount, doubts, held))


@dataclass(slots=True)
class _Marker:
    """The name that only this gateway adds to."""

    name: int
    began: int
    bit: int  # of the counter that it is on
    beats: int = 0  # confirmed
    doubt: int = 0  # whose answers never came
    first_at: int = 0  # when the first beat was confirmed
    last_at: int = 0  # when the last one was
    # When each confirmed beat was sent: all that was confirmed before then is as safe as the beat.
    sent: list[int] = field(default_factory=list)
    fresh: list[int] = field(default_factory=list)  # the same of beats that no reading has proved yet


class Trust:
    """One gateway's view of one counter. Times are microseconds on the engine's clock."""

    def __init__(self, nonce: int, time_limit: int, beat: int, fall: float, now: int) -> None:
        """`nonce` sets this life of the gateway apart from all others; `beat` is the span between beats.

        `fall` is how far a total may fall at once by what others give back.
        """
        self.state = State.TRUSTED
        self.time_limit, self.fall = time_limit, fall
        self.given_back = 0.0  # units, since the start
        self.losses = 0  # that were proved
        self._beat, self._nonce = beat, nonce & ((1 << 36) - 1)
        self._names: OrderedDict[int, _Name] = OrderedDict()
        self._out: dict[int, deque[_Out]] = {}
        self._markers = 0
        self._marker = self._new_marker(now, 1)
        self._past: list[_Marker] = []  # of counters that were left: one of them may come back
        self._probes: dict[int, _Marker] = {}  # of these, the ones that are being read
        self._failed, self._failed_at = 0, now - LIFE
        self._mean = 0.0  # running mean of answer times
        self._looks: deque[int] = deque()  # when the marker is to be read again; beats rest meanwhile
        self._seen = -1  # beats that the last look found
        self._doubts = 0  # so far; what was confirmed after the last one began is in what answers now
        self._doubtful: set[int] = set()  # names whose totals are to be read again once the marker is proved
        self._unpaid: dict[int, float] = {}  # what could not be given back: to be tried at the next beat
        self._pay_at = now  # before which it is not
        self._steady_until = now
        self._beat_at = now
        self._beat_sent_at = now  # the last one

    def believes(self, name: int) -> dict[str, float]:
        """What is known of a name, for the operators; nothing where it is not known here."""
        known = self._names.get(name)
        if known is None:
            return {}
        return {"own": known.own, "missing": known.missing, "doubt": known.doubt, "told": known.told}

    # --- calls ------------------------------------------------------------------------------------------

    def called(self, now: int, name: int, amount: float, lifetime: int) -> None:
        """The module's call goes out."""
        self._register(now, name, amount, lifetime, False)

    def _register(self, now: int, name: int, amount: float, lifetime: int, ours: bool) -> None:
        self._out.setdefault(name, deque()).append(_Out(amount, now, ours))
        if name >= MARKERS or name in self._names:
            return
        self._names[name] = _Name(now + min(LIFE, lifetime))
        # Two looks for each new name: those whose lives have ended are let go, the oldest first.
        for old in list(islice(self._names, 2)):
            if self._names[old].until < now and old not in self._out:
                del self._names[old]

    def _call(self, now: int, name: int, amount: float, lifetime: int = LIFE) -> Call:
        self._register(now, name, amount, lifetime, True)
        return Call(name, amount, lifetime)

    # --- answers ----------------------------------------------------------------------------------------

    def answered(self, now: int, name: int, result: Result, total: float) -> list[Action]:
        """A call's one outcome; calls of one name end in their order."""
        waiting = self._out[name]
        call = waiting.popleft()
        if not waiting:
            del self._out[name]
        actions = self._health(now, call, result)
        if name >= MARKERS:
            if result is Result.OK:
                actions += self._marked(now, name, call, total)
            elif name in self._probes:
                actions += self._probed(now, name, 0.0)
            elif not result.never_ran and call.amount and name == self._marker.name:
                self._marker.doubt += 1
            return actions
        known = self._names[name]
        if result is Result.OK:
            return actions + self._total(now, name, known, call, total)
        if call.ours and not call.amount and known.asked >= 0:
            self._doubtful.add(name)  # the second reading failed: again with the next beat
        if not result.never_ran:
            known.doubt += abs(call.amount)
            known.missing -= call.amount if call.ours else 0.0
        elif call.ours:
            self._unpaid[name] = self._unpaid.get(name, 0.0) + call.amount
        return actions if call.ours else [*actions, Pass(name, result, total)]

    def late(self, now: int, name: int, amount: float) -> None:
        """A total came for a call that had ended without one: its add was made after all."""
        known = self._names.get(name)
        if known is not None:
            known.doubt = max(0.0, known.doubt - abs(amount))
            known.confirm(now, amount, self._doubts, self._marker.bit, self._beat_sent_at)

    def _total(self, now: int, name: int, known: _Name, call: _Out, total: float) -> list[Action]:
        if call.ours:
            if not call.amount:
                return self._read_again(now, name, known, total)
            known.missing = max(0.0, known.missing - call.amount)
            return self._mended(now)
        before = known.own - known.missing
        low = before + call.amount - known.doubt - total > SLACK
        fallen = known.told + call.amount - known.missing - total > self.fall
        actions: list[Action] = []
        if (low or fallen) and known.until > now and known.asked < 0:
            known.asked = before
            self._doubtful.add(name)
            actions += self._suspect(now, f"a total of {total:g} where {known.told:g} was told before")
        known.confirm(now, call.amount, self._doubts, self._marker.bit, self._beat_sent_at)
        told = total + known.missing
        if low or fallen or known.asked >= 0 or now < self._steady_until:
            # Others give back what they had, too; until then a fall is a loss and no takeback.
            told = max(told, known.told + call.amount)
        known.told = told
        return [*actions, Pass(name, Result.OK, told)]

    def _read_again(self, now: int, name: int, known: _Name, total: float) -> list[Action]:
        """The second reading of a name whose total contradicted what is known; the marker has been proved."""
        asked, known.asked = known.asked, -1.0
        if asked < 0 or known.until <= now:
            return self._mended(now)
        lacking = known.own - known.missing - known.doubt - total
        if lacking <= SLACK:
            known.told = min(known.told, total + known.missing)  # a lie, or others gave back
            return self._mended(now)
        beaten = self._marker.sent[-1] if self._marker.sent else 0
        if lacking <= sum(adds.units for adds in known.adds if adds.last >= beaten) + SLACK:
            # A late replica would say the same. A beat, and soon: once it is there, so is what came before.
            known.asked = asked
            self._doubtful.add(name)
            self._beat_at = min(self._beat_at, max(now, beaten + SOON))
            return []
        # The name was dropped, with all that was in it before the first low total: own adds are given back.
        self.losses += 1
        self._steady_until = now + STEADY
        gone = [adds for adds in known.adds if adds.doubts < self._doubts]
        calls = self._give_back(now, name, known, gone)
        for call in calls:  # not yet: it would hide from others that theirs is gone, too
            if not self._unpaid:
                self._pay_at = now + PAY_AFTER
            self._unpaid[name] = self._unpaid.get(name, 0.0) + call.amount
        return [] if calls else self._mended(now)

    def _give_back(self, now: int, name: int, known: _Name, gone: list[_Adds]) -> list[Call]:
        """What adds again what is lost of a name; it may be lost once more, hence its new time."""
        units = sum(adds.units for adds in gone)
        for adds in gone:
            adds.first = adds.last = now
            adds.held |= self._marker.bit
        if known.until <= now or abs(units) <= SLACK:
            return []
        known.missing += units
        self.given_back += units
        return [Call(name, units, known.until - now)]

    def _mended(self, now: int) -> list[Action]:
        """Back to trust, once nothing is in doubt and all is given back."""
        if self.state not in (State.SUSPECT, State.REPLACED) or self._looks:
            return []
        alive = (known for known in self._names.values() if known.until > now)
        if any(known.asked >= 0 or known.missing > SLACK for known in alive):
            return []
        return self._become(State.TRUSTED, "it holds all that was added")

    # --- the marker -------------------------------------------------------------------------------------

    def _new_marker(self, now: int, bit: int) -> _Marker:
        self._markers += 1
        return _Marker(MARKERS | self._nonce << 20 | self._markers & 0xFFFFF, now, bit)

    def _suspect(self, now: int, why: str) -> list[Action]:
        """Read the marker now, and again until it is clear what has happened."""
        if self._looks or self.state is State.AWAY:
            return []
        self._looks.extend(now + wait for wait in (0, *LOOKS))
        self._seen, self._doubts = -1, self._doubts + 1
        return self._become(State.SUSPECT, why)

    def _marked(self, now: int, name: int, call: _Out, total: float) -> list[Action]:
        """The marker's total: it proves that all is there, or what is not."""
        if name in self._probes:
            return self._probed(now, name, total)
        marker = self._marker
        if name != marker.name:
            return []
        found = round(total)
        if call.amount:
            marker.fresh.append(call.sent)  # it was added, whatever the total says
            marker.first_at, marker.last_at = marker.first_at or now, now
        wanted = marker.beats + len(marker.fresh)
        if abs(total - found) > 0.01 or found < 0:
            return self._suspect(now, f"a marker of {total:g}")  # a lie: it has whole beats only
        if found > wanted + marker.doubt:
            agreed, self._seen = self._seen == found, found
            if not agreed or call.amount:  # a second reading alike is believed: beats went uncounted here
                return self._suspect(now, f"a marker of {found} where {wanted} beats were added")
        if found >= marker.beats + len(marker.fresh):
            # Beats whose answers never came are there, too; the time of the last one will do for them.
            marker.sent += [*marker.fresh, *[call.sent] * (found - marker.beats - len(marker.fresh))]
            marker.beats, marker.doubt = found, 0
            marker.fresh.clear()
            return self._proved(now)
        actions = self._suspect(now, f"a marker of {found} where {wanted} beats were added")
        if call.amount:
            return actions  # a reading follows
        survived = max(0, found - len(marker.fresh))
        agreed, self._seen = self._seen == survived, survived
        if not agreed and survived == 0:
            self._looks.appendleft(now)  # it begins anew: a lie would hardly say so twice
        anew = survived == 0 and marker.beats >= EVER
        if agreed and call.sent >= (marker.first_at if anew else marker.last_at) + LAG:
            return actions + self._lost(now, survived)
        return actions

    def _proved(self, now: int) -> list[Action]:
        """All own beats are there: it is the counter that it was. What is in doubt is read again."""
        self._looks.clear()
        doubtful, self._doubtful = self._doubtful, set()
        actions: list[Action] = []
        for name in doubtful:
            known = self._names.get(name)
            if known is not None and known.until > now:
                actions.append(self._call(now, name, 0.0, known.until - now))
        if self.state is State.REJOINING:
            actions += self._become(State.TRUSTED, "it is the one that it was")
        if now - self._marker.began > MARKER_SPAN:
            # Only now: what is lost between the last beat on one and the first on the next is not seen.
            self._marker, self._beat_at = self._new_marker(now, self._marker.bit), now
        return actions + self._mended(now)

    def _lost(self, now: int, survived: int) -> list[Action]:
        """Beats are gone for good. Where none is left it is another counter: perhaps one that was left."""
        if survived:
            return self._fallen_back(now, survived)
        self._past = [marker for marker in self._past if now - marker.began < MARKER_OLD and marker.beats]
        if not self._past:
            return self._replaced(now, None)
        self._probes = {marker.name: marker for marker in self._past}
        return [self._call(now, marker.name, 0.0) for marker in self._past]

    def _probed(self, now: int, name: int, total: float) -> list[Action]:
        """The marker of a counter that was left, as read on the one that answers now."""
        marker = self._probes.pop(name)
        if total + SLACK >= marker.beats:
            return self._replaced(now, marker)
        return self._replaced(now, None) if not self._probes else []

    def _replaced(self, now: int, back: _Marker | None) -> list[Action]:
        """Another counter answers, or one that was left is back: give it what it does not hold."""
        left = self._marker
        why = f"none of {left.beats} beats is there: own adds are given back"
        actions = self._begin_giving(now, why)
        self._past = [marker for marker in self._past if marker is not back]
        self._past.append(left)
        self._marker = back or self._new_marker(now, 1 << self._markers)
        self._marker.fresh.clear()
        left.fresh.clear()
        bit = self._marker.bit
        for name, known in self._names.items():
            for adds in known.adds:
                if adds.doubts >= self._doubts:
                    adds.held = bit  # confirmed since the doubt began, and so by this one
            known.missing = 0.0
            gone = [adds for adds in known.adds if not adds.held & bit]
            actions += self._now(now, self._give_back(now, name, known, gone))
        self._beat_at = now
        return actions + self._mended(now)

    def _fallen_back(self, now: int, survived: int) -> list[Action]:
        """The same counter without its last adds: give back what came after the last beat that is there."""
        marker = self._marker
        since = marker.sent[survived - 1]
        why = f"{marker.beats - survived} of {marker.beats} beats are gone: own adds are given back"
        actions = self._begin_giving(now, why)
        marker.sent = marker.sent[:survived] + marker.fresh
        marker.beats = len(marker.sent)
        marker.fresh.clear()
        for name, known in self._names.items():
            late = (adds for adds in known.adds if adds.last >= since and adds.doubts < self._doubts)
            gone = [adds for adds in late if adds.held & marker.bit]
            actions += self._now(now, self._give_back(now, name, known, gone))
        return actions + self._mended(now)

    def _now(self, now: int, calls: list[Call]) -> list[Call]:
        return [self._call(now, call.name, call.amount, call.lifetime) for call in calls]

    def _begin_giving(self, now: int, why: str) -> list[Action]:
        self._looks.clear()
        self._doubtful.clear()
        self._probes.clear()
        self._unpaid.clear()
        self.losses += 1
        self._steady_until = now + STEADY
        for known in self._names.values():
            known.asked = -1.0
        return self._become(State.REPLACED, why)

    # --- health -----------------------------------------------------------------------------------------

    def _health(self, now: int, call: _Out, result: Result) -> list[Action]:
        if result is Result.OK:
            self._failed = 0
            self._mean += SMOOTH * (now - call.sent - self._mean)
            if self.state is State.AWAY:
                return self._rejoin(now)
            slow = self._mean > SLOW_PART * self.time_limit
            if slow and self.state is State.TRUSTED:
                return self._become(State.SLOW, f"answers take {self._mean / 1e3:.0f} ms")
            if not slow and self.state is State.SLOW:
                return self._become(State.TRUSTED, "answers are prompt again")
        elif result is not Result.FULL and call.sent >= self._failed_at:
            self._failed, self._failed_at = self._failed + 1, now
            if self._failed >= AWAY_AFTER and self.state is not State.AWAY:
                self._looks.clear()
                return self._become(State.AWAY, f"{self._failed} calls failed one after another")
        return []

    def _rejoin(self, now: int) -> list[Action]:
        """It answers again; whether it is the same one is for the marker to tell, at once."""
        self._beat_at = now
        if now - self._marker.began > MARKER_OLD:
            self._marker = self._new_marker(now, self._marker.bit)
        return self._become(State.REJOINING, "it answers again")

    def _become(self, state: State, why: str) -> list[Action]:
        if state is self.state:
            return []
        self.state = state
        return [Told(state, why)]

    # --- time -------------------------------------------------------------------------------------------

    def due(self) -> int:
        """When `woken` is wanted."""
        return self._looks[0] if self._looks else self._beat_at

    def woken(self, now: int) -> list[Action]:
        """Time for a beat, or for another look at the marker."""
        if self._looks:
            if self._looks[0] > now:
                return []
            self._looks.popleft()
            if not self._looks:  # no verdict, as readings failed or changed: on it goes
                self._looks.extend(now + wait for wait in LOOKS)
            return [self._call(now, self._marker.name, 0.0)]
        if now < self._beat_at:
            return []
        self._beat_at = now + self._beat
        actions: list[Action] = []
        if self.state is not State.AWAY and now >= self._pay_at:
            unpaid, self._unpaid = self._unpaid, {}
            for name, amount in unpaid.items():
                known = self._names.get(name)
                if known is not None and known.until > now:
                    actions.append(self._call(now, name, amount, known.until - now))
        self._beat_sent_at = now
        return [*actions, self._call(now, self._marker.name, 1.0)]
