"""Who goes on with a request when its owner is lost. No I/O: events in, actions out, clock handed in.

An instance is three things at once: the OWNER of the requests that its clients asked (or that it took over),
the KEEPER of copies of others' requests, and the one that is ASKED by clients that come back.

A request has one owner at a time, under an epoch that grows with each takeover, and its copy one keeper. The
keeper alone decides who follows a lost owner: itself, when a client comes back. So nobody votes. What it may
do then follows from what it was told last:

    accepted    never sent on: goes on with what is left of its time
    sent        repeatable: runs again; by key: again, while boxes drop repeats; once: unknown for good
    answered    the same answer again

Guards effects against running twice: for `once` an attempt is made only when its intent is noted by the
keeper, or nobody else has a copy. Where a keeper dies, the owner puts its work at another one. Where the two
don't hear each other, `rights.py` says which of them may go on; until that is known neither does.
"""

from __future__ import annotations

import heapq
from collections import Counter

from lynxreel.links.peers import Dead, Lost, Peers, State, Up
from lynxreel.links.rank import Ranks
from lynxreel.takeover.actions import (
    Action,
    Ask,
    Begin,
    Carry,
    Give,
    Go,
    Leave,
    Passed,
    Say,
    Stay,
)
from lynxreel.takeover.entries import Asked, Kept, Own, Sought, Waiter
from lynxreel.takeover.grants import Grants, Silence
from lynxreel.takeover.messages import (
    NONE,
    OTHER,
    PENDING,
    REFUSED,
    UNKNOWN,
    Answer,
    Done,
    How,
    Intent,
    Message,
    Noted,
    Put,
    Record,
    Result,
    Taken,
    Unkept,
    Want,
)
from lynxreel.takeover.rights import BEATS, Beat, Echo, Pair, Rights, Standing
from lynxreel.takeover.terms import Class, Terms
from mothgap.interface import Effect

ROUNDS = 2  # times that all are asked before nobody is held to have it: news of it may be on its way
PAUSE = 20_000  # microseconds between them
REPEAT = 100_000  # microseconds after which a Want is said again
ANSWER = -1  # in place of an attempt: the answer itself is noted
MARGIN = 250_000  # microseconds by which a repeat under a key must be ahead of the boxes' forgetting


class Work:
    """One instance's part in all of it."""

    def __init__(self, terms: Terms, peers: Peers, ranks: Ranks) -> None:
        """`peers` is brought up to date by whoever has it, before its news come here."""
        self._terms, self._peers, self._ranks = terms, peers, ranks
        self.own: dict[bytes, Own] = {}
        self.kept: dict[bytes, Kept] = {}
        self.asked: dict[int, Asked] = {}
        self.size = 0  # bytes of copies
        self.counts = dict.fromkeys(
            ("covered", "uncovered", "taken_over", "told_again", "told_unknown", "stayed", "fenced"), 0
        )
        self._ends: list[tuple[int, bytes]] = []  # when an entry is looked at for its end
        self._holds: dict[tuple[bytes, int], int] = {}  # attempts that wait, and until when, in order
        self._here: dict[int, bytes] = {}  # clients that wait here, by token, and for what
        self._rights = Rights(terms.lease, terms.drift)
        self._beat_at = 0  # when the next Beats are due
        self._parked: dict[bytes, None] = {}  # own requests whose answers may not be given
        self._waited: dict[bytes, None] = {}  # copies that somebody waits for
        self._carries: list[tuple[int, bytes]] = []  # own requests whose turn comes when an attempt is over
        self._turned: dict[bytes, tuple[int, str, int]] = {}  # copies that were turned away, and whose
        self._denied: dict[bytes, None] = {}  # what a client was told to be held by nobody
        self._grants = Grants(terms.silence)
        self._silence = Silence(terms.silence)
        self._again: dict[Pair, tuple[int, bool]] = {}  # words that could not be had, and when to ask again
        self._out: list[Action] = []

    @property
    def lease(self) -> int:
        """For which a keeper gives the right to act; 0: only the dead are followed."""
        return self._terms.lease

    # --- the owner --------------------------------------------------------------------------------------

    def accepted(self, now: int, record: Record, left: int, counted: bool, token: int) -> list[Action]:
        """A client's request has been taken, and its add, if there is one, written."""
        self._out = []
        own = self.own[record.id] = Own(record, 1, now + left, counted, [token])
        self._here[token] = record.id
        self._end_at(own.until + self._terms.keep, record.id)
        self._cover(now, own)
        return self._out

    def intends(self, now: int, number: bytes, attempt: int, box: str, wait: int) -> list[Action]:
        """An attempt is about to be made, to be waited for so long; Go or Stay follows, now or later."""
        self._out = []
        own = self.own.get(number)
        if own is None:
            return [Go(number, attempt)]  # it was never put anywhere
        if own.taken:
            self.counts["fenced"] += 1
            return [Stay(number, attempt)]
        since = self._since(own)
        own.ran[attempt] = now
        if own.keeper is None:
            return [Go(number, attempt)]
        own.waits[attempt] = now + wait
        own.holding[attempt] = box
        self._holds[(number, attempt)] = now + self._terms.wait
        self._intent(now, own, attempt, box, since)
        self._release(now, own)
        return self._out

    def missed(self, number: bytes, attempt: int) -> None:
        """An attempt has ended, and has never run."""
        own = self.own.get(number)
        if own is not None:
            own.ran.pop(attempt, None)
            own.waits.pop(attempt, None)
            self._freed(own, attempt)

    def finished(self, now: int, number: bytes, answer: Answer) -> list[Action]:
        """It has its final answer; whoever waits gets it."""
        self._out = []
        own = self.own.get(number)
        if own is None or own.answer is not None or own.parked is not None:
            return []
        if own.taken:  # what is right is what the other owner says
            return []
        harmless = self._class(own.record).effect is Effect.REPEATABLE or not self._ran(own)
        if answer.how is How.REFUSED and not harmless:
            answer = Answer(How.FAILED)  # an owner before this one may have run it
        for attempt in list(own.holding):
            self._freed(own, attempt)
        if self._may(now, own):
            self._finish(now, own, answer)
        else:
            own.parked = answer
            self._parked[number] = None
        return self._out

    def _finish(self, now: int, own: Own, answer: Answer) -> None:
        own.answer, own.parked = answer, None
        self._parked.pop(own.record.id, None)
        if own.keeper is None:
            self._give_all(own, answer)
            return
        session = self._rights.session(own.keeper)
        # To go on with a refused request whose run does no harm does none either.
        idle = answer.how is How.REFUSED and self._class(own.record).effect is Effect.REPEATABLE
        self._out.append(Say(own.keeper, Done(own.record.id, own.epoch, session, answer), idle))
        if self._sure(own) and answer.how is How.REFUSED:
            # Whoever is told that nothing has run may ask anew: its keeper must know before that.
            own.refusing = True
            self._holds[(own.record.id, ANSWER)] = now + self._terms.wait
        else:
            self._give_all(own, answer)

    def _refused(self, own: Own, known: bool) -> None:
        """Its keeper knows that it was refused; or says nothing, and might run it yet."""
        if not own.refusing or own.answer is None:
            return
        own.refusing = False
        self._holds.pop((own.record.id, ANSWER), None)
        self._give_all(own, own.answer if known else Answer(How.FAILED))

    def _sure(self, own: Own) -> bool:
        """Whether the keeper's word is waited for."""
        return self._terms.sure and self._class(own.record).effect is Effect.ONCE

    def _may(self, now: int, own: Own) -> bool:
        """Whether this instance may do anything about it that others see."""
        return own.keeper is None or self._rights.may(now, own.keeper)

    def left(self, now: int, token: int) -> list[Action]:
        """A client that waits here has gone."""
        self._out = []
        number = self._here.pop(token, None)
        if self.asked.pop(token, None) is not None or number is None:
            return []
        for entry in (self.own.get(number), self.kept.get(number)):
            if entry is None or token not in entry.waiters:
                continue
            entry.waiters.remove(token)
            if isinstance(entry, Own) and not entry.waiters and not self._ran(entry):
                self._out.append(Leave(number))
                leave = self._out
                self._out = [*leave, *self.finished(now, number, REFUSED)]
        return self._out

    def overdue(self, token: int, effect: Effect) -> list[Action]:
        """A client that came back has waited for as long as it may."""
        self._out = []
        number = self._here.pop(token, None)
        known = self.asked.pop(token, None) is not None
        for entry in (self.own.get(number), self.kept.get(number)) if number is not None else ():
            if entry is not None and token in entry.waiters:
                entry.waiters.remove(token)
                known = True
        if known:
            self._end_unknown(token, effect)
        return self._out

    def _end_unknown(self, token: int, effect: Effect) -> None:
        """Nothing is run for it here, and nobody tells: what does no harm may be asked anew."""
        unknown = effect is Effect.ONCE
        self.counts["told_unknown"] += unknown
        self._here.pop(token, None)
        self._out.append(Give(token, UNKNOWN if unknown else REFUSED))

    def _freed(self, own: Own, attempt: int) -> bool:
        """An attempt waits no more; false where it did not."""
        self._holds.pop((own.record.id, attempt), None)
        own.noted.discard(attempt)
        return own.holding.pop(attempt, None) is not None

    def _class(self, record: Record) -> Class:
        return self._terms.classes.get(record.cls, Class(Effect.ONCE))  # an unknown one: with all care

    @staticmethod
    def _since(own: Own) -> int | None:
        """Since when an attempt may have run."""
        times = [*own.ran.values(), *([own.earlier] if own.earlier is not None else [])]
        return min(times) if times else None

    def _ran(self, own: Own) -> bool:
        return self._since(own) is not None

    def _intent(self, now: int, own: Own, attempt: int, box: str, since: int | None) -> None:
        assert own.keeper is not None
        span = 0 if since is None else now - since
        left = max(0, own.waits.get(attempt, now) - now)
        session = self._rights.session(own.keeper)
        self._out.append(Say(own.keeper, Intent(own.record.id, own.epoch, session, attempt, box, span, left)))

    def _cover(self, now: int, own: Own) -> None:
        """Put it at the keeper that it belongs to, if one is up."""
        up = [n for n in self._peers.up() if n not in own.full and self._rights.may(now, n)]
        own.keeper = self._ranks.keeper(own.record.id, self._terms.name, up)
        if own.keeper is None:
            own.why = "full" if own.full else "nobody is up"
            self.counts["uncovered"] += 1
            self._release(now, own)
            self._refused(own, True)  # nobody has a copy
            return
        own.noted.clear()
        own.at = self._peers.peers[own.keeper].incarnation
        self.counts["covered"] += 1
        self._put(now, own)

    def _put(self, now: int, own: Own) -> None:
        """Say all of it, with the attempts that wait for its keeper."""
        assert own.keeper is not None
        once = self._class(own.record).effect is Effect.ONCE
        since = self._since(own)
        sent = -1 if since is None else now - since
        if once and not self._terms.sure:
            sent = max(sent, 0)
        left, session = max(0, own.until - now), self._rights.session(own.keeper)
        put = Put(own.record, own.epoch, session, left, own.counted, sent, own.answer)
        self._out.append(Say(own.keeper, put))
        for attempt, box in own.holding.items():
            self._intent(now, own, attempt, box, since)

    def _release(self, now: int, own: Own) -> None:
        """Let go what may be sent on: where nobody has a copy nobody else can go on with it."""
        if not self._may(now, own):
            return
        waits = own.keeper is not None and self._sure(own)
        for attempt in [a for a in own.holding if not waits or a in own.noted]:
            self._freed(own, attempt)
            self._out.append(Go(own.record.id, attempt))

    def may(self, now: int, number: bytes) -> bool:
        """Whether an attempt may still be written; it may have waited for a connection."""
        own = self.own.get(number)
        return own is None or (not own.taken and self._may(now, own))

    def lapsed(self, now: int) -> frozenset[str]:
        """Keepers whose right to act on what they keep has ended; none where only the dead are followed."""
        return self._rights.lapsed(now)

    # --- clients that come back -------------------------------------------------------------------------

    def back(self, now: int, token: int, number: bytes, customer: int, effect: Effect) -> list[Action]:
        """A client has come back here for this; a Give follows, now or later."""
        self._out = []
        self._come(now, token, number, customer, effect)
        return self._out

    def seek(
        self, now: int, token: int, number: bytes, customer: int, effect: Effect, mark: bytes
    ) -> list[Action]:
        """A request under a key that its client may have used before; a Give or Begin follows.

        Those that are likely to have a copy are asked, and waited for as long as one that lives may stand
        still; who has been silent for longer already, only `wait`. Whoever holds it says so at once.
        Guards against a second run; where an instance was silent for longer, only as boxes drop repeats.
        """
        self._out = []
        if not self._claim(now, token, number, customer, mark):
            asked = Sought(number, customer, effect, {}, mark=mark)
            self.asked[token], self._here[token] = asked, number
            self._seek(now, token, asked)
        return self._out

    def _seek(self, now: int, token: int, asked: Sought) -> None:
        """Ask those that are likely to have it, from the start."""
        if self._coordinator(asked.id) == self._terms.name:
            if self._grants.taken(now, asked.id, self._terms.name):
                asked.paused, asked.again = True, now + PAUSE
                return
            self._grant(now, asked.id, self._terms.name)
        asked.round += 1  # what was said before may have changed
        asked.waiting, asked.paused = self._likely(asked.id), False
        asked.pending.clear()
        for name in asked.waiting:
            span = self._terms.wait if self._silence.suspects(now, name) else self._terms.silence
            asked.patience[name] = now + span
            self._silence.asked(now, name)
        self._ask(now, token, asked)

    def _coordinator(self, number: bytes) -> str:
        """The instance that says who may begin a request that nobody holds."""
        return next(name for name in self._ranks.order(number) if not self._is_gone(name))

    def _is_gone(self, name: str) -> bool:
        return name != self._terms.name and self._peers.peers[name].state is State.DEAD

    def _grant(self, now: int, number: bytes, asker: str) -> None:
        if self._grants.grant(now, number, asker):
            self._end_at(now + self._terms.keep, number)

    def _seek_on(self, now: int, token: int, asked: Sought) -> None:
        """Time has passed: it may have come here, and who has been silent is waited for no longer."""
        if self._claim(now, token, asked.id, asked.customer, asked.mark):
            del self.asked[token]
        elif asked.paused:
            self._seek(now, token, asked)
        else:
            for name, until in asked.patience.items():
                if until <= now and name not in asked.pending:
                    asked.waiting[name] = False
            self._ask(now, token, asked)

    def _come(self, now: int, token: int, number: bytes, customer: int, effect: Effect) -> None:
        if not self._claim(now, token, number, customer):
            self._ask(now, token, self._inquire(token, number, customer, effect))

    def _inquire(self, token: int, number: bytes, customer: int, effect: Effect) -> Asked:
        """Nothing is known of it here: those that are likely to have it are to be asked."""
        asked = self.asked[token] = Asked(number, customer, effect, self._likely(number))
        self._here[token] = number
        return asked

    def _likely(self, number: bytes) -> dict[str, bool]:
        """Those that are likely to have a copy, and that the word of each is awaited."""
        gone = [name for name, peer in self._peers.peers.items() if peer.state is State.DEAD]
        return {name: True for name in self._ranks.likely(number, gone) if name != self._terms.name}

    def _ask(self, now: int, token: int, asked: Asked) -> None:
        """Ask all whose word is awaited, and see whether any is."""
        asked.again = now + REPEAT
        seeks = isinstance(asked, Sought)
        coordinator = self._coordinator(asked.id) if seeks else ""
        for name in asked.waiting:
            if self._peers.peers[name].state is State.DEAD:
                asked.waiting[name] = False
            elif asked.waiting[name]:
                last = not seeks and asked.round >= ROUNDS
                given = token, asked.id, asked.customer, asked.round, last, asked.mark
                self._out.append(Say(name, Want(*given, seeks, name == coordinator)))
        if isinstance(asked, Sought):
            awaited = [name for name, awaits in asked.waiting.items() if awaits and name not in asked.pending]
            asked.again = min([asked.again, *[asked.patience[name] for name in awaited]])
        self._none(now, token, asked)

    def _none(self, now: int, token: int, asked: Asked) -> None:
        """What follows once all that were asked have said that they don't have it."""
        if asked.paused or any(asked.waiting.values()):
            return
        if self._claim(now, token, asked.id, asked.customer, asked.mark):
            del self.asked[token]  # a copy has come here meanwhile
            return
        if isinstance(asked, Sought):
            self._begin(token)
            return
        if asked.round < ROUNDS:
            asked.round += 1
            if asked.round == 1:  # the likely ones don't have it
                asked.waiting = dict.fromkeys(self._peers.peers, True)
                self._ask(now, token, asked)
            else:
                asked.again, asked.paused = now + PAUSE, True
            return
        del self.asked[token]
        self._deny(now, asked.id)
        self._end_unknown(token, asked.effect)

    def _begin(self, token: int) -> None:
        del self.asked[token], self._here[token]
        self._out.append(Begin(token))

    def _claim(self, now: int, waiter: Waiter, number: bytes, customer: int, mark: bytes = b"") -> bool:
        """Have this waiter get the answer, if the request is held here."""
        own = self.own.get(number)
        entry = self.kept.get(number) if own is None or own.taken else own
        if entry is None or entry.record.customer != customer:
            return False
        if mark and entry.record.mark and mark != entry.record.mark:
            self._give(waiter, OTHER)
            return True
        if entry.answer is not None and not (isinstance(entry, Own) and entry.refusing):
            self.counts["told_again"] += 1
            self._give(waiter, entry.answer)
            return True
        if waiter not in entry.waiters:
            entry.waiters.append(waiter)
            if isinstance(waiter, int):
                self._here[waiter] = number
        if isinstance(entry, Kept):
            self._waited[number] = None
            self._follow(now, entry)
        return True

    def _follow(self, now: int, kept: Kept) -> None:
        """Somebody waits for a copy: go on with it, if that is this instance's to do."""
        owner, dead = (kept.owner, kept.at), self._peers.is_dead(kept.owner, kept.at)
        match self._rights.standing(now, *owner, kept.session, dead):
            case Standing.MINE:
                self._take(now, kept, dead)
            case Standing.VOID:
                self._void(now, kept)
            case Standing.ASK:
                if self._rights.claim(*owner, kept.session):
                    me = self._terms
                    self._out.append(Ask(Pair(*owner, me.name, me.incarnation, kept.session), False))
            case Standing.WAIT:
                pass

    def _void(self, now: int, kept: Kept) -> None:
        """Its owner has put it elsewhere: whoever waits here is to ask there."""
        self._forget(kept)
        self._elsewhere(now, kept.record, kept.waiters)

    def _elsewhere(self, now: int, record: Record, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            if isinstance(waiter, int):
                self._come(now, waiter, record.id, record.customer, self._class(record).effect)
            else:
                self._out.append(Say(waiter[0], Result(waiter[1], -1, NONE)))  # it asks again by itself

    def _give_all(self, entry: Own | Kept, answer: Answer) -> None:
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            self._give(waiter, answer)

    def _give(self, waiter: Waiter, answer: Answer) -> None:
        if isinstance(waiter, int):
            self._here.pop(waiter, None)
            self._out.append(Give(waiter, answer))
        else:
            self._out.append(Say(waiter[0], Result(waiter[1], 0, answer)))

    def _take(self, now: int, kept: Kept, dead: bool) -> None:
        """The owner is lost, and somebody waits: this instance is the owner from now on."""
        own, record = self._adopt(kept), kept.record
        if own.answer is None and (final := self._final(now, own)) is not None:
            own.answer = final
            self.counts["told_unknown"] += final is UNKNOWN
            self._give_all(own, final)
        how = "carried on" if own.answer is None else own.answer.how.name.lower()
        self._out.append(Passed(record.id, record.cls, True, kept.owner, how))
        self._cover(now, own)
        if own.answer is not None:
            return
        if not dead and not self._terms.copies and kept.sent is not None and kept.out > now:
            heapq.heappush(self._carries, (min(kept.out, own.until), record.id))  # its owner's may be out yet
        else:
            self._out.append(Carry(record, own.until - now, own.counted, self._ran(own)))

    def _adopt(self, kept: Kept) -> Own:
        """Be the owner of what was kept."""
        self._forget(kept)
        own = Own(kept.record, kept.epoch + 1, kept.until, kept.counted, kept.waiters, earlier=kept.sent)
        own.answer = kept.answer
        self.own[kept.record.id] = own
        self.counts["taken_over"] += 1
        return own

    def leaves(self, now: int) -> list[Action]:
        """This instance is about to end: put what it keeps of lost owners at others, which follow it then."""
        self._out = []
        for kept in list(self.kept.values()):
            dead = self._peers.is_dead(kept.owner, kept.at)
            if self._rights.standing(now, kept.owner, kept.at, kept.session, dead) is Standing.MINE:
                self._cover(now, self._adopt(kept))
        return self._out

    def _final(self, now: int, own: Own) -> Answer | None:
        """The answer to one that must not be run any more; None where it may."""
        cls, since = self._class(own.record), self._since(own)
        if since is not None:
            if cls.effect is Effect.ONCE:
                return UNKNOWN
            if cls.effect is Effect.KEYED and now - since + MARGIN >= cls.key_memory:
                return UNKNOWN
        if own.until <= now:
            return REFUSED if since is None or cls.effect is Effect.REPEATABLE else Answer(How.FAILED)
        return None

    # --- what others say --------------------------------------------------------------------------------

    def heard(self, now: int, sender: str, at: int, message: Message) -> list[Action]:
        """A message of an instance, which said it as this incarnation."""
        self._out = []
        match message:
            case Put():
                self._on_put(now, sender, at, message)
            case Intent():
                self._on_intent(now, sender, at, message)
            case Done():
                self._on_done(now, sender, at, message)
            case Beat():
                echo, moved = self._rights.heard(now, sender, at, message)
                if moved:
                    self._void_all(now, sender, at, message.session)
                if echo is not None:
                    self._out.append(Say(sender, echo))
            case Echo():
                if self._rights.echoed(now, sender, message):
                    self._regained(now, sender)
                if self._rights.young(sender):
                    self._out.append(Say(sender, self._rights.beat(now, sender)))
            case Noted():
                own = self._owned(sender, message.id, message.epoch)
                if own is not None and message.attempt == ANSWER:
                    self._refused(own, True)
                elif own is not None and message.attempt in own.holding:
                    own.noted.add(message.attempt)
                    self._release(now, own)
            case Unkept():
                if (own := self._owned(sender, message.id, message.epoch)) is not None:
                    own.full.add(sender)
                    self._cover(now, own)
            case Taken():
                self._on_taken(now, message)
            case Want():
                self._on_want(now, sender, message)
            case Result():
                self._on_result(now, sender, message)
        return self._out

    def _on_want(self, now: int, sender: str, want: Want) -> None:
        """A client of another instance asks for this."""
        waiter = sender, want.token
        if self._claim(now, waiter, want.id, want.customer, want.mark):
            entries = self.own.get(want.id), self.kept.get(want.id)
            if want.seeks and any(entry is not None and waiter in entry.waiters for entry in entries):
                self._out.append(Say(sender, Result(want.token, want.round, PENDING)))
            return
        coordinates = want.seeks and (want.coordinates or self._coordinator(want.id) == self._terms.name)
        if coordinates and self._grants.taken(now, want.id, sender):
            self._out.append(Say(sender, Result(want.token, want.round, PENDING)))
            return
        if want.seeks:
            self._grant(now, want.id, sender)
        if want.last:
            self._deny(now, want.id)
        self._out.append(Say(sender, Result(want.token, want.round, NONE)))

    def _owned(self, keeper: str, number: bytes, epoch: int) -> Own | None:
        own = self.own.get(number)
        return own if own is not None and own.keeper == keeper and own.epoch == epoch else None

    def _known(
        self, now: int, sender: str, at: int, number: bytes, epoch: int, session: int
    ) -> tuple[bool, Kept | None]:
        """The copy that is spoken of. False: another owner has it by now, and its sender has been told."""
        if self._rights.entered(sender, at, session):
            self._void_all(now, sender, at, session)
        dead = self._peers.is_dead(sender, at)
        if self._rights.standing(now, sender, at, session, dead) is Standing.VOID:
            return False, None  # of a session that is over
        own, kept = self.own.get(number), self.kept.get(number)
        if own is not None and own.epoch < epoch:
            self._overtaken(now, own, epoch)  # whoever followed this instance has chosen it for keeper
            own = None
        later = max(own.epoch if own is not None else 0, kept.epoch if kept is not None else 0)
        if own is not None or later > epoch:
            self._out.append(Say(sender, Taken(number, later)))
            return False, None
        if kept is None or kept.epoch != epoch or (kept.owner, kept.at) != (sender, at):
            return True, None
        return True, kept

    def _on_put(self, now: int, sender: str, at: int, put: Put) -> None:
        number = put.record.id
        dead = self._peers.is_dead(sender, at)
        denied = number in self._denied or self._grants.refuses(number, sender, put.epoch, dead)
        if (denied and number not in self.kept) or self._turned.get(number) == (put.epoch, sender, at):
            self._out.append(Say(sender, Unkept(number, put.epoch)))
            return
        current, kept = self._known(now, sender, at, number, put.epoch, put.session)
        if not current:
            return
        sent = None if put.sent < 0 else now - put.sent
        if kept is None:
            before = self.kept.get(number)
            if before is not None and before.epoch == put.epoch:
                self._turn_away(now, sender, at, number, put.epoch)  # another request under the same id
                return
            if before is not None:
                self._forget(before)
            size = put.record.size
            if len(self.kept) >= self._terms.entries or self.size + size > self._terms.size:
                self._turn_away(now, sender, at, number, put.epoch)
                return
            who, until = (sender, at, put.session), now + put.left
            kept = Kept(put.record, put.epoch, *who, until, put.counted, sent, None, size)
            kept.waiters = before.waiters if before is not None else []
            self.kept[number] = kept
            self.size += size
            self._end_at(kept.until + self._terms.keep, number)
        kept.counted |= put.counted
        if sent is not None:
            kept.sent = sent if kept.sent is None else min(sent, kept.sent)
        if put.answer is not None:
            self._answered(kept, put.answer)
            if put.answer.how is How.REFUSED and self._class(kept.record).effect is Effect.ONCE:
                self._out.append(Say(sender, Noted(number, put.epoch, ANSWER)))

    def _on_intent(self, now: int, sender: str, at: int, intent: Intent) -> None:
        current, kept = self._known(now, sender, at, intent.id, intent.epoch, intent.session)
        if not current:
            return
        if kept is None:
            self._turn_away(now, sender, at, intent.id, intent.epoch)
            return
        kept.out = max(kept.out, now + intent.wait)
        since = now - intent.sent
        kept.sent = since if kept.sent is None else min(since, kept.sent)
        if self._class(kept.record).effect is Effect.ONCE:
            self._out.append(Say(sender, Noted(intent.id, intent.epoch, intent.attempt)))

    def _deny(self, now: int, number: bytes) -> None:
        """A client is told that nobody has it: a copy that comes later, of a lost owner, is too late."""
        self._denied[number] = None
        self._end_at(now + self._terms.keep, number)

    def _turn_away(self, now: int, sender: str, at: int, number: bytes, epoch: int) -> None:
        """It is not kept here, and will not be: its owner looks for another keeper, and one is enough."""
        self._turned[number] = (epoch, sender, at)
        self._end_at(now + self._terms.keep, number)
        self._out.append(Say(sender, Unkept(number, epoch)))

    def _on_done(self, now: int, sender: str, at: int, done: Done) -> None:
        _, kept = self._known(now, sender, at, done.id, done.epoch, done.session)
        if kept is not None:
            self._answered(kept, done.answer)
            if done.answer.how is How.REFUSED and self._class(kept.record).effect is Effect.ONCE:
                self._out.append(Say(sender, Noted(done.id, done.epoch, ANSWER)))

    def _answered(self, kept: Kept, answer: Answer) -> None:
        if kept.answer is None:
            kept.answer = answer
            kept.size += len(answer.value)
            self.size += len(answer.value)
        self._waited.pop(kept.record.id, None)
        self._give_all(kept, kept.answer)

    def _on_taken(self, now: int, taken: Taken) -> None:
        own = self.own.get(taken.id)
        if own is not None and own.epoch < taken.epoch and not own.taken:
            self._overtaken(now, own, taken.epoch)

    def _overtaken(self, now: int, own: Own, epoch: int) -> None:
        """Another owner has it: whoever waits here comes back for it, like any client."""
        if own.taken:
            own.taken = max(own.taken, epoch)
            return
        own.taken = epoch
        self.counts["fenced"] += 1
        self._out.append(Passed(own.record.id, own.record.cls, False, "", "answer asked for"))
        own.parked, own.refusing = None, False
        self._holds.pop((own.record.id, ANSWER), None)
        self._parked.pop(own.record.id, None)
        self._out.append(Leave(own.record.id, moved=True))
        for attempt in list(own.holding):
            self._freed(own, attempt)
            self._out.append(Stay(own.record.id, attempt))
        waiters, own.waiters = own.waiters, []
        self._elsewhere(now, own.record, waiters)

    def _void_all(self, now: int, owner: str, at: int, session: int) -> None:
        """An owner has begun a later session: its copies of the ones before are void."""
        for kept in list(self.kept.values()):
            if (kept.owner, kept.at) == (owner, at) and kept.session < session:
                self._void(now, kept)

    # --- rights -----------------------------------------------------------------------------------------

    def _regained(self, now: int, keeper: str) -> None:
        """The right to act on what this keeper keeps is back."""
        for own in [own for own in self.own.values() if own.keeper == keeper and not own.taken]:
            if own.parked is not None:
                self._finish(now, own, own.parked)
                continue
            self._release(now, own)
        self._cover_bare(now)

    def _cover_bare(self, now: int) -> None:
        """Put what has no keeper at one that has come up, or gives its right."""
        for own in [own for own in self.own.values() if own.keeper is None]:
            if not own.taken:
                self._cover(now, own)

    def word(self, now: int, pair: Pair, owner: bool | None) -> list[Action]:
        """The word about these copies: the owner's or the keeper's; None where it can't be had now."""
        self._out = []
        mine = pair.owner == self._terms.name and pair.owner_at == self._terms.incarnation
        if owner is None:
            self._again[pair] = (now + REPEAT, mine)
        elif mine:
            self._on_own_word(now, pair, owner)
        elif self._rights.decided(pair, not owner):
            for number in list(self._waited):
                kept = self.kept.get(number)
                if kept is not None and (kept.owner, kept.at) == (pair.owner, pair.owner_at):
                    self._follow(now, kept)
        return self._out

    def _on_own_word(self, now: int, pair: Pair, owner: bool) -> None:
        """This instance goes on with what it has put there, or its keeper does."""
        if not self._rights.settled(pair, True):
            return
        for own in [own for own in self.own.values() if own.keeper == pair.keeper and not own.taken]:
            if not owner:
                self._overtaken(now, own, own.epoch + 1)
                continue
            self._cover(now, own)
            if own.parked is not None and self._may(now, own):
                self._finish(now, own, own.parked)

    def _ask_words(self, now: int) -> None:
        """Ask for the word about what can't be acted on, and has to be."""
        wanted = {own.keeper for own in self.own.values() if own.answer is None and not own.taken}
        for keeper in sorted(name for name in wanted if name is not None):
            if not self._rights.may(now, keeper):
                pair = self._rights.ask(now, self._terms.name, self._terms.incarnation, keeper)
                if pair is not None:
                    self._out.append(Ask(pair, True))
        for number in list(self._waited):
            if (kept := self.kept.get(number)) is not None:
                self._follow(now, kept)
        for pair, (when, mine) in list(self._again.items()):
            if when <= now:
                del self._again[pair]
                self._out.append(Ask(pair, mine))

    def _on_result(self, now: int, sender: str, result: Result) -> None:
        self._silence.answered(sender)
        asked = self.asked.get(result.token)
        if asked is None:
            return
        if result.answer.how is How.PENDING:
            is_awaited = asked.waiting.get(sender, False) and result.round == asked.round
            if isinstance(asked, Sought) and is_awaited:
                asked.pending.add(sender)
            return
        if result.answer.how is not How.NONE:
            del self.asked[result.token]
            self._give(result.token, result.answer)
        elif asked.waiting.get(sender) and result.round == asked.round:
            asked.waiting[sender] = False
            if isinstance(asked, Sought):
                asked.pending.discard(sender)
            self._none(now, result.token, asked)

    # --- who is there -----------------------------------------------------------------------------------

    def news(self, now: int, news: Up | Lost | Dead) -> list[Action]:
        """An instance is up, lost or dead; `peers` knows it already."""
        self._out = []
        if isinstance(news, Lost):
            return []
        if isinstance(news, Up):
            self._silence.answered(news.name)
            self._rights.met(news.name, news.incarnation)
            if self._terms.lease:
                self._out.append(Say(news.name, self._rights.beat(now, news.name)))
        for own in [own for own in self.own.values() if own.keeper == news.name and not own.taken]:
            if own.at <= self._peers.peers[news.name].dead:
                if self._may(now, own):  # else it may have gone on with it before it died
                    self._cover(now, own)
            elif isinstance(news, Up):
                self._put(now, own)  # what was on its way when the link ended may not have come
        if isinstance(news, Dead):
            self._died(now, news)
        else:
            self._cover_bare(now)
        for token, asked in list(self.asked.items()):
            if isinstance(asked, Sought) and isinstance(news, Dead):
                self._seek(now, token, asked)  # others are likely to have it now
            elif news.name in asked.waiting:
                self._ask(now, token, asked)
        return self._out

    def _died(self, now: int, dead: Dead) -> None:
        """Go on with what somebody waits for; instances that are dead wait for nothing."""
        self._rights.died(now, dead.name, dead.incarnation)
        self._grants.died(dead.name)
        entries: list[Own | Kept] = [*self.own.values(), *self.kept.values()]
        for entry in entries:
            if any(isinstance(waiter, tuple) and waiter[0] == dead.name for waiter in entry.waiters):
                entry.waiters = [w for w in entry.waiters if isinstance(w, int) or w[0] != dead.name]
        for number in list(self._waited):
            kept = self.kept.get(number)
            if kept is not None and kept.owner == dead.name and kept.at <= dead.incarnation:
                self._follow(now, kept)

    # --- the operators ----------------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, object]:
        """How much is in hand, by whom it is covered, what is kept for whom, and what has been done."""
        open_now = [own for own in self.own.values() if own.answer is None and not own.taken]
        covered = Counter(own.keeper if own.keeper is not None else f"nobody: {own.why}" for own in open_now)
        kept = Counter(kept.owner for kept in self.kept.values())
        peers = {name: peer.state.value for name, peer in self._peers.peers.items()}
        return {
            "in_hand": len(open_now), "covered_by": dict(covered), "kept_for": dict(kept),
            "kept_bytes": self.size, "waiting": len(self._here), "peers": peers,
            "rights": self._rights.count(now), "sure_of": self._rights.sure(now), "counts": dict(self.counts),
        }  # fmt: skip

    def listed(self, now: int) -> list[dict[str, object]]:
        """Each request in hand: how far it is, by whom it is covered or why not, and since which takeover."""
        rows: list[dict[str, object]] = []
        for own in self.own.values():
            if own.answer is None and not own.taken:
                rows.append(
                    {
                        "id": own.record.id.decode(),
                        "class": own.record.cls,
                        "plan": own.record.plan,
                        "stage": self._stage(own),
                        "left_ms": max(0, own.until - now) // 1_000,
                        "covered_by": own.keeper,
                        "why_not": own.why,
                        "taken_over": own.epoch - 1,
                    }
                )
        return rows

    def _stage(self, own: Own) -> str:
        if own.parked is not None:
            return "answered, and not this instance's to tell"
        if own.holding:
            return "about to be sent"
        return "sent" if self._ran(own) else "counted" if own.counted else "accepted"

    # --- time -------------------------------------------------------------------------------------------

    def due(self) -> int | None:
        """When `tick` is wanted; None where nothing is waited for."""
        times = [next(iter(self._holds.values()))] if self._holds else []
        times += [asked.again for asked in self.asked.values()]
        times += [self._ends[0][0]] if self._ends else []
        times += [self._carries[0][0]] if self._carries else []
        times += [self._beat_at] if self._terms.lease else []
        return min(times) if times else None

    def tick(self, now: int) -> list[Action]:
        """Time has passed."""
        self._out = []
        while self._holds and next(iter(self._holds.values())) <= now:
            number, attempt = next(iter(self._holds))
            if attempt == ANSWER:
                self._refused(self.own[number], False)
                continue
            self._freed(self.own[number], attempt)
            self.counts["stayed"] += 1
            self._out.append(Stay(number, attempt))
        for token, asked in list(self.asked.items()):
            if asked.again <= now and isinstance(asked, Sought):
                self._seek_on(now, token, asked)
            elif asked.again <= now:
                if asked.paused:
                    asked.waiting, asked.paused = dict.fromkeys(self._peers.peers, True), False
                self._ask(now, token, asked)
        while self._carries and self._carries[0][0] <= now:
            self._carry(now, heapq.heappop(self._carries)[1])
        if self._terms.lease and self._beat_at <= now:
            self._beat_at = now + self._terms.lease // BEATS
            for name in self._peers.up():
                self._out.append(Say(name, self._rights.beat(now, name)))
            self._ask_words(now)
            for number in [number for number in self._parked if self.own[number].until <= now]:
                # It is nobody's to answer now; whoever waits is not to wait for longer than it may.
                self._give_all(self.own[number], UNKNOWN)
        while self._ends and self._ends[0][0] <= now:
            _, number = heapq.heappop(self._ends)
            self._let_go(now, number)
        return self._out

    def _carry(self, now: int, number: bytes) -> None:
        """The time of a lost owner's attempt is over."""
        own = self.own.get(number)
        if own is None or own.taken or own.answer is not None:
            return
        if (final := self._final(now, own)) is not None:
            self._finish(now, own, final)
        else:
            self._out.append(Carry(own.record, own.until - now, own.counted, self._ran(own)))

    def _end_at(self, when: int, number: bytes) -> None:
        heapq.heappush(self._ends, (when, number))

    def _let_go(self, now: int, number: bytes) -> None:
        """The time of an entry is over, unless the same id has a later one."""
        own, kept = self.own.get(number), self.kept.get(number)
        if own is not None and own.until + self._terms.keep <= now:
            del self.own[number]
            self._parked.pop(number, None)
        self._turned.pop(number, None)
        self._denied.pop(number, None)
        self._grants.forget(number)
        if kept is not None and kept.until + self._terms.keep <= now:
            self._forget(kept)

    def _forget(self, kept: Kept) -> None:
        del self.kept[kept.record.id]
        self._waited.pop(kept.record.id, None)
        self.size -= kept.size
