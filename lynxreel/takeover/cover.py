"""The shell round `Work`: between fronts and engine, between engine and boxes, and on the links."""

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
from lynxreel.takeover.actions import Action, Ask, Begin, Carry, Give, Go, Leave, Passed, Say, Stay
from lynxreel.takeover.calls import Covered, tell
from lynxreel.takeover.messages import KINDS, Answer, How, Record
from lynxreel.takeover.terms import Class, Terms
from lynxreel.takeover.work import Work
from mothgap.interface import Effect, Result, Settings

if TYPE_CHECKING:
    from lynxreel.backends.pools import Servers
    from lynxreel.relay.stream import Stream
    from lynxreel.takeover.word import Store, Word

LEAVE = 0.5  # seconds that an end waits until what it says is written


@dataclass(frozen=True)
class Plan:
    """Who the instances are, and what is kept; times in microseconds."""

    entries: int
    size: int
    wait: int
    keep: int
    sure: bool
    word: Word | None  # where it is written who goes on, when an owner and its keeper don't hear each other
    lease: int
    drift: float
    copies: bool  # two attempts of a request may be out together
    longest: int  # the longest deadline


class Cover:
    """One instance's work in hand, and what it keeps of others'."""

    def __init__(
        self, plan: Plan, engine: Engine, servers: Servers, mesh: Mesh, loop: asyncio.AbstractEventLoop
    ) -> None:
        """`adopt` follows before anything else."""
        self._plan, self._engine, self._servers, self._loop = plan, engine, servers, loop
        engine.backend, engine.observer = self, self
        servers.may_send, self.mesh = self._may, mesh
        mesh.join(KINDS, self._heard, self._news)
        places = (mesh.own, *mesh.places.values())
        zones = {place.name: place.zone for place in places}
        hosts = {place.name: place.host or place.name for place in places}
        self._classes: dict[str, Class] = {}
        self._store: Store | None = None
        if plan.word is not None:
            from lynxreel.takeover.word import Store  # here: it needs a library that others do not

            self._store = Store(plan.word, plan.keep + plan.longest)
        self._asking: set[asyncio.Task[None]] = set()
        terms = Terms(
            name=mesh.own.name,
            classes=self._classes,
            entries=plan.entries,
            size=plan.size,
            wait=plan.wait,
            keep=plan.keep,
            sure=plan.sure,
            lease=plan.lease if self._store is not None else 0,
            drift=plan.drift,
            copies=plan.copies,
            incarnation=mesh.incarnation,
        )
        self.work = Work(terms, self.mesh.peers, Ranks(zones, hosts))
        self._tokens = itertools.count(1)
        self._calls: dict[int, Call] = {}  # clients that wait here
        self._timers: dict[int, asyncio.TimerHandle] = {}  # of those that came back
        self._fresh: dict[int, Covered] = {}  # those that no keeper has been told of, by token
        self._covered: dict[int, Covered] = {}  # by the engine's number
        self._by_id: dict[bytes, Covered] = {}
        self._lapsed: frozenset[str] = frozenset()  # keepers whose right had ended at the last look
        self._unsure: set[int] = set()  # what could not be acted on then
        self._ended_unsure: set[int] = set()  # what has ended since, and could not be acted on when it did
        self._held: dict[tuple[bytes, int], tuple[Attempt, int]] = {}  # attempts, and when their time is over
        self._timer: asyncio.TimerHandle | None = None
        self._due: int | None = None
        self.note: Callable[[str, dict[str, Any]], None] = lambda kind, content: None  # for the records
        self._noted = dict(self.work.counts)

    def adopt(self, settings: Settings, places: tuple[Mapping[str, int], Mapping[str, int]]) -> None:
        """Go by these settings from now on; `places` of classes and plans by name."""
        self._settings = settings
        self._places = places
        self._names = tuple({number: name for name, number in named.items()} for named in places)
        for name, number in places[0].items():
            cls = settings.classes[number]
            self._classes[name] = Class(cls.effect, cls.key_memory)

    async def leave(self) -> None:
        """The end is near, and nothing is owed: what is kept here and has no other owner goes to others."""
        self._act(self.work.leaves(self._now()))
        await self.mesh.written(LEAVE)

    def close(self) -> None:
        """The end of the process."""
        for timer in self._timers.values():
            timer.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._asking):
            task.cancel()
        if self._store is not None:
            self._store.close()

    def told(self) -> dict[str, object]:
        """What is in hand, for the operators."""
        links, incarnation = dict(self.mesh.counts), self.mesh.incarnation
        return {**self.work.view(self._now()), "links": links, "incarnation": incarnation}

    def since(self) -> dict[str, int]:
        """What has been done since the last call, where it is not nothing."""
        before, self._noted = self._noted, dict(self.work.counts)
        return {what: count - before[what] for what, count in self._noted.items() if count != before[what]}

    def listed(self) -> dict[str, object]:
        """The same with each request that is in hand."""
        return {**self.told(), "requests": self.work.listed(self._now())}

    def _now(self) -> int:
        """Microseconds that run evenly, whatever is done to the clock."""
        return int(self._loop.time() * 1e6)

    # --- the fronts -------------------------------------------------------------------------------------

    def submit(self, call: Call) -> int:
        """Take a request, or a client that comes back for one."""
        token = next(self._tokens)
        if call.back or call.seeks:
            self._calls[token] = call
            self._loop.call_soon(self._come, token, call)
            return token
        return token if self._begin(token, call, call.patience) else 0

    def _begin(self, token: int, call: Call, patience: int) -> bool:
        """Take a new request, whose client waits for so many milliseconds; false where its id is taken."""
        covered = Covered(call, self._ended, token)
        covered.patience = patience
        covered.request = self._engine.submit(covered)
        if not covered.request:
            return False
        self._calls[token] = call
        self._fresh[token] = self._covered[covered.request] = covered
        self._loop.call_soon(self._accept, covered)
        return True

    def _begun(self, token: int) -> None:
        """Nobody has what this client may have asked for before."""
        timer, call = self._timers.pop(token), self._calls.pop(token)
        timer.cancel()
        left = round((timer.when() - self._loop.time()) * 1e3) + NETWORK_MARGIN // 1_000
        if not self._begin(token, call, max(1, left)):
            call.clash()

    def client_disconnected(self, token: int) -> None:
        """A client has left."""
        self._calls.pop(token, None)
        if (timer := self._timers.pop(token, None)) is not None:
            timer.cancel()
        if (covered := self._fresh.pop(token, None)) is not None:
            covered.over = True
            self._engine.client_disconnected(covered.request)
            self._covered.pop(covered.request)
        else:
            self._act(self.work.left(self._now(), token))

    def _come(self, token: int, call: Call) -> None:
        if token not in self._calls:
            return
        left = max(0, min(call.patience * 1_000, self._settings.classes[call.cls].deadline) - NETWORK_MARGIN)
        effect = self._settings.classes[call.cls].effect
        self._timers[token] = self._loop.call_later(left / 1e6, self._overdue, token, effect)
        asked = self._now(), token, call.id, call.customer, effect
        self._act(self.work.back(*asked) if call.back else self.work.seek(*asked, call.mark))

    def _overdue(self, token: int, effect: Effect) -> None:
        self._timers.pop(token, None)
        self._act(self.work.overdue(token, effect))

    def _accept(self, covered: Covered) -> None:
        """The decision module has seen it; whether its units were added is known by now."""
        if covered.accepted or covered.over:
            return
        del self._fresh[covered.token]
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
        left = max(
            0, min(covered.patience * 1_000, self._settings.classes[covered.cls].deadline) - NETWORK_MARGIN
        )
        self._act(self.work.accepted(self._now(), record, left, covered.counted, covered.token))

    def _ended(self, covered: Covered, answer: Answer, value: bytes | Stream) -> None:
        """The engine has its final answer."""
        covered.over = True
        self._covered.pop(covered.request, None)
        if not covered.accepted:
            self._fresh.pop(covered.token, None)
            if (call := self._calls.pop(covered.token, None)) is not None:
                tell(call, answer, value, False)
            return
        if self._by_id.get(covered.id) is covered:
            del self._by_id[covered.id]
        if not self.work.may(self._now(), covered.id):
            self._ended_unsure.add(covered.request)  # its time was up, say: the module hears of it later
        waits = covered.token in self._calls
        self._act(self.work.finished(self._now(), covered.id, answer), (covered.token, value))
        if not isinstance(value, bytes) and not (waits and covered.token not in self._calls):
            value.release()  # nobody waits for it

    # --- the engine -------------------------------------------------------------------------------------

    def counted(self, request: int) -> None:
        """An add was written as it was taken."""
        if (covered := self._covered.get(request)) is not None:
            covered.counted = True

    def ended(self, attempt: Attempt, result: Result) -> None:
        """An attempt has ended."""
        if result.never_ran:
            self.work.missed(attempt.call.id, attempt.number)

    def unsure(self) -> Iterable[tuple[int, bool]]:
        """Requests with which another instance may have gone on since the last call, or may not any more.

        No work is put at a keeper whose right has ended: there is nothing new while no other's has.
        """
        now = self._now()
        lapsed = self.work.lapsed(now)
        if lapsed == self._lapsed and not self._unsure and not self._ended_unsure:
            return ()
        ended, self._ended_unsure = self._ended_unsure, set()
        self._lapsed, before = lapsed, self._unsure
        open_now = (covered for covered in self._covered.values() if covered.accepted)
        self._unsure = {covered.request for covered in open_now if not self.work.may(now, covered.id)}
        changed = [(request, False) for request in before - self._unsure - ended]
        return changed + [(request, True) for request in (self._unsure | ended) - before]

    def send(self, attempt: Attempt, timeout: int) -> None:
        """Start an attempt, as soon as that is down where it has to be."""
        call, now = attempt.call, self._now()
        if isinstance(call, Covered) and not call.accepted:
            self._accept(call)
        self._held[(call.id, attempt.number)] = (attempt, now + timeout)
        self._act(self.work.intends(now, call.id, attempt.number, attempt.server, timeout))

    def _may(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be written."""
        return self.work.may(self._now(), attempt.call.id)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        if self._held.pop((attempt.call.id, attempt.number), None) is not None:
            self._engine.finished(attempt, Result.NOT_SENT)
        else:
            self._servers.cancel(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Give an attempt up if no byte of it has gone out."""
        if (attempt.call.id, attempt.number) in self._held:
            self.cancel(attempt)
        else:
            self._servers.withdraw(attempt)

    def shorten(self, attempt: Attempt, timeout: int) -> None:
        """Wait for so many microseconds more at the most."""
        key = (attempt.call.id, attempt.number)
        if (held := self._held.get(key)) is not None:
            self._held[key] = (attempt, min(held[1], self._now() + timeout))
        else:
            self._servers.shorten(attempt, timeout)

    # --- the links --------------------------------------------------------------------------------------

    def _heard(self, name: str, incarnation: int, message: Any) -> None:
        self._act(self.work.heard(self._now(), name, incarnation, message))

    def _news(self, news: Iterable[News]) -> None:
        for item in news:
            self.note("instance", {"name": item.name, "is": type(item).__name__.lower()})
            self._act(self.work.news(self._now(), item))

    # --- what is to be done -----------------------------------------------------------------------------

    def _act(self, actions: list[Action], at_hand: tuple[int, bytes | Stream] | None = None) -> None:
        """`at_hand`: a client and its value as it came, of which its answer may hold less."""
        for action in actions:
            match action:
                case Say():
                    (self.mesh.say_idly if action.idle else self.mesh.say)(action.to, action.message)
                case Give():
                    self.mesh.flush()  # its keeper is written to in front of the client
                    self._give(action, at_hand)
                case Go():
                    if (held := self._held.pop((action.id, action.attempt), None)) is not None:
                        self._servers.send(held[0], max(0, held[1] - self._now()))
                case Stay():
                    if (held := self._held.pop((action.id, action.attempt), None)) is not None:
                        self._engine.finished(held[0], Result.NOT_SENT)
                case Carry():
                    self._carry(action)
                case Begin():
                    self._begun(action.token)
                case Passed():
                    where = {"here": action.here, "other": action.other, "how": action.how}
                    self.note("passed", {"id": action.id.decode(), "class": action.cls, **where})
                case Leave():
                    if (covered := self._by_id.pop(action.id, None)) is not None:
                        covered.over = True
                        self._covered.pop(covered.request, None)
                        self._engine.client_disconnected(covered.request, action.moved)
                case Ask():
                    self._ask(action)
        self._arm()

    def _give(self, give: Give, at_hand: tuple[int, bytes | Stream] | None) -> None:
        if (timer := self._timers.pop(give.token, None)) is not None:
            timer.cancel()
        call = self._calls.pop(give.token, None)
        if call is None:
            return
        value = at_hand[1] if at_hand is not None and at_hand[0] == give.token else None
        harmless = self._settings.classes[call.cls].effect is not Effect.ONCE
        tell(call, give.answer, value, harmless)

    def _carry(self, carry: Carry) -> None:
        """Go on in a lost instance's place, through the decision module."""
        record = carry.record
        places = (self._places[0].get(record.cls), self._places[1].get(record.plan))
        if places[0] is None or places[1] is None:
            log(f"work of class {record.cls} and plan {record.plan} can't be gone on with: unknown here")
            self._act(self.work.finished(self._now(), record.id, Answer(How.FAILED)))
            return
        patience = (carry.left + NETWORK_MARGIN) // 1_000
        taken = carry.counted, carry.sent
        covered = Covered.revived(record, (places[0], places[1]), patience, *taken, self._ended)
        covered.request = self._engine.submit(covered)
        if not covered.request:  # an attempt under this id is out here still
            self._act(self.work.finished(self._now(), record.id, Answer(How.FAILED)))
            return
        self._covered[covered.request] = covered
        self._by_id[record.id] = covered

    def _ask(self, ask: Ask) -> None:
        assert self._store is not None
        task = self._loop.create_task(self._word(self._store, ask))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _word(self, store: Store, ask: Ask) -> None:
        owner = await store.write(ask.pair, ask.owner)
        self._act(self.work.word(self._now(), ask.pair, owner))

    def _arm(self) -> None:
        due = self.work.due()
        if due == self._due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = None
        if due is not None:
            self._timer = self._loop.call_at(due / 1e6, self._tick)

    def _tick(self) -> None:
        self._due = self._timer = None
        self._act(self.work.tick(self._now()))
