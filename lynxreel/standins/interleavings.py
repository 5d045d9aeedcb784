"""All orders in which few instances can hear, lose, die, stop and go on: `TakeoverCore` under each of them.

A world is three instances, their peers' views, messages and attempts under way, one box, clients and a
clock. A step is one thing that may happen next. Worlds are walked depth first and remembered by a digest of
what they hold; the rules are looked at after each step. What a world may suffer at the most (messages lost or
doubled, deaths, stops) is its budget.

Left out: sizes and bounds, more than one attempt at a time, clocks that drift (they all run alike).
"""

from __future__ import annotations

import copyreg
import dataclasses
import hashlib
import io
import operator
import pickle
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from lynxreel.links.peers import Dead, Peer, Peers, State
from lynxreel.links.rank import Ranks
from lynxreel.takeover.actions import (
    Action,
    AllowAttempt,
    AnswerClient,
    CancelRequest,
    DenyAttempt,
    ProposeDecision,
    ResumeRequest,
    SendMessage,
    StartRequest,
)
from lynxreel.takeover.entries import KeyedLookup, Lookup, OwnedRequest, Replica
from lynxreel.takeover.grants import _Grant
from lynxreel.takeover.messages import Answer, AnswerKind, Message, Record
from lynxreel.takeover.rights import Pair, _LeaseFromKeeper, _LeaseToOwner
from lynxreel.takeover.terms import ClassSettings, TakeoverSettings
from lynxreel.takeover.work import TakeoverCore
from mothgap.interface import Effect

NAMES = ("a", "b", "c")
CLASSES = {
    "once": ClassSettings(Effect.ONCE),
    "repeatable": ClassSettings(Effect.REPEATABLE),
    "keyed": ClassSettings(Effect.KEYED, 60_000_000),
}
START = 1_000_000
LEASE = 300_000
WAIT = 100_000
SILENCE = 200_000  # microseconds: a message that takes less has an instance that lives behind it
LEFT = 2_000_000
RANKS = Ranks(dict.fromkeys(NAMES, ""))


@dataclass(slots=True)
class Budget:
    """What may still go wrong."""

    lost: int = 0
    doubled: int = 0
    deaths: int = 0
    restarts: int = 0
    stops: int = 0
    ticks: int = 0  # times that the clock goes on to the next thing that is due
    last_tick: int | None = None  # microseconds; the clock goes on no further


@dataclass(slots=True)
class Instance:
    """One process."""

    name: str
    life: int
    work: TakeoverCore
    peers: Peers
    alive: bool = True
    stopped: bool = False
    engine: dict[bytes, int] = field(default_factory=dict)  # requests that its module has; the next attempt


@dataclass(slots=True)
class World:
    """All there is."""

    now: int
    instances: list[Instance]
    budget: Budget
    flying: list[tuple[int, int, int, Message]] = field(default_factory=list)  # from, its life, to
    attempts: list[tuple[bytes, int, int, int]] = field(default_factory=list)  # id, from, life, attempt
    answers: list[tuple[bytes, int, int]] = field(default_factory=list)  # id, to, life
    words: dict[Any, bool] = field(default_factory=dict)
    asking: list[tuple[int, int, Any, bool]] = field(default_factory=list)
    comes: list[tuple[int, int]] = field(default_factory=list)  # clients that may come back: what, where
    news: list[tuple[int, Any]] = field(default_factory=list)  # what instances will learn of each other
    runs: dict[bytes, int] = field(default_factory=dict)
    told: dict[bytes, list[AnswerKind]] = field(default_factory=dict)
    waiting: dict[int, bytes] = field(default_factory=dict)  # clients, by token
    wrongs: list[str] = field(default_factory=list)  # what must never be done
    classes: tuple[str, ...] = ()  # of the requests
    died: int = 0  # instances so far
    ordered: bool = False  # what is said on a link comes in order, as it does over TCP


def world(
    budget: Budget,
    lease: int = 0,
    requests: tuple[str, ...] = ("once", "repeatable"),
    ordered: bool = False,
) -> World:
    """Three instances that are up. Request n is asked at instance n; its client may come back at others."""
    instances = [_born(number, 1, lease) for number in range(len(NAMES))]
    made = World(START, instances, budget, classes=requests, ordered=ordered)
    for number in range(len(NAMES)):
        _meet(made, number)
    _calm(made)
    for number, cls in enumerate(requests):
        made.waiting[10 + number] = b"r%d" % number
        if cls == "keyed":
            _seek(made, number, 10 + number)
        else:
            _accept(made, number, 10 + number)
        made.comes += [(number, other) for other in range(len(NAMES)) if other != number]
    return made


def _accept(made: World, number: int, token: int) -> None:
    """An instance takes the request that this client wants as a new one."""
    own, request = made.instances[number], made.waiting[token]
    record = Record(request, 7, _class_of(made, request), "p", 1.0, 1, 0, (b"x",))
    own.engine[request] = 0
    _act(made, number, own.work.request_accepted(made.now, record, LEFT, True, token))


def _seek(made: World, number: int, token: int) -> None:
    """A client uses a key here."""
    request = made.waiting[token]
    _act(
        made, number, made.instances[number].work.look_up_key(made.now, token, request, 7, Effect.KEYED, b"")
    )


def _class_of(made: World, request: bytes) -> str:
    return made.classes[int(request[1:])]


def _born(number: int, life: int, lease: int) -> Instance:
    peers = Peers(name for name in NAMES if name != NAMES[number])
    return Instance(
        NAMES[number], life, TakeoverCore(_terms(NAMES[number], lease, life), peers, RANKS), peers
    )


def _meet(made: World, number: int) -> None:
    """An instance links up with the others, both ways."""
    own = made.instances[number]
    for other, peer in enumerate(made.instances):
        if other == number or not peer.alive:
            continue
        for here, there, at in ((own, peer, number), (peer, own, other)):
            known, news = here.peers.linked(there.name, there.life)
            assert known
            for item in news:
                _act(made, at, here.work.peer_changed(made.now, item))


def _calm(made: World) -> None:
    """Let what the start has said arrive."""
    while made.flying:
        sender, life, to, message = made.flying.pop(0)
        _act(made, to, made.instances[to].work.message_received(made.now, NAMES[sender], life, message))


def _act(made: World, number: int, actions: list[Action]) -> None:
    own = made.instances[number]
    for action in actions:
        match action:
            case SendMessage():
                if own.peers.peers[action.to].state is State.UP:
                    made.flying.append((number, own.life, NAMES.index(action.to), action.message))
            case AllowAttempt():
                if AnswerKind.UNKNOWN in made.told.get(action.id, ()):
                    made.wrongs.append("sent on after it was told as unknown")
                made.attempts.append((action.id, number, own.life, action.attempt))
            case DenyAttempt():
                if action.id in own.engine:  # the module gives up
                    del own.engine[action.id]
                    own.work.attempt_never_ran(action.id, action.attempt)
                    _act(
                        made,
                        number,
                        own.work.request_finished(made.now, action.id, Answer(AnswerKind.REFUSED)),
                    )
            case ResumeRequest():
                own.engine[action.record.id] = 0
                if not action.counted:
                    made.wrongs.append("its units are counted twice")
            case StartRequest():
                _accept(made, number, action.token)
            case CancelRequest():
                own.engine.pop(action.id, None)
            case AnswerClient():
                made.told.setdefault(made.waiting.pop(action.token), []).append(action.answer.kind)
            case ProposeDecision():
                made.asking.append((number, own.life, action.pair, action.as_owner))


# --- what may happen next ---------------------------------------------------------------------------------


Step = tuple[Any, ...]


def steps(made: World) -> Iterator[Step]:
    """Everything that may happen next, each as a name and what it is about."""
    budget, awake = made.budget, [i.alive and not i.stopped for i in made.instances]
    links = set()
    for place, (sender, life, to, _) in enumerate(made.flying):
        if made.instances[to].alive and not awake[to]:
            continue  # it waits in the socket
        if made.ordered and (sender, life, to) in links:
            continue  # it is behind another one
        links.add((sender, life, to))
        yield "hear", place
        if budget.lost and awake[to]:
            yield "lose", place
        if budget.doubled and awake[to]:
            yield "twice", place
    for number, own in enumerate(made.instances):
        if awake[number]:
            for request in own.engine:
                if own.engine[request] == 0:
                    yield "decide", number, request
            if budget.deaths and number < 2:
                yield "die", number
            if budget.stops and number < 1:
                yield "stop", number
        elif own.stopped:
            yield "resume", number
        elif not own.alive and budget.restarts:
            yield "restart", number
    for place in range(len(made.attempts)):
        yield "run", place
    for place, (_, to, _) in enumerate(made.answers):
        if awake[to] or not made.instances[to].alive:
            yield "answer", place
    for place, (to, _) in enumerate(made.news):
        if awake[to] or not made.instances[to].alive:
            yield "learn", place
    for place, (to, _, _, _) in enumerate(made.asking):
        if awake[to] or not made.instances[to].alive:
            yield "word", place
    for place, (_, at) in enumerate(made.comes):
        if awake[at]:
            yield "come", place
    if budget.ticks and any(awake) and (budget.last_tick is None or _next_tick(made) <= budget.last_tick):
        yield ("tick",)


def _next_tick(made: World) -> int:
    """When the next thing is due."""
    awake = [own for own in made.instances if own.alive and not own.stopped]
    due = [due for own in awake if (due := own.work.next_tick()) is not None]
    return max(made.now + 1, min(due, default=0))


def take(made: World, step: Step) -> None:
    """Have it happen."""
    budget, now = made.budget, made.now
    match step:
        case ("hear" | "twice", place):
            flight = made.flying[place] if step[0] == "twice" else made.flying.pop(place)
            budget.doubled -= step[0] == "twice"
            sender, life, to, message = flight
            own = made.instances[to]
            if own.alive:
                _act(made, to, own.work.message_received(now, NAMES[sender], life, message))
        case ("lose", place):
            budget.lost -= 1
            made.flying.pop(place)
        case ("decide", number, request):
            own = made.instances[number]
            own.engine[request] = 1
            _act(made, number, own.work.attempt_announced(now, request, 0, "box", LEFT // 4))
        case ("die", number):
            budget.deaths -= 1
            made.died += 1
            own = made.instances[number]
            own.alive, own.engine = False, {}
            made.flying = [flight for flight in made.flying if flight[2] != number]
            for token in [t for t, request in made.waiting.items() if t % 10 == number]:
                del made.waiting[token]  # its clients see their connections end
            for other, peer in enumerate(made.instances):
                if other != number and peer.alive:
                    made.news.append((other, Dead(own.name, own.life)))
        case ("stop", number):
            budget.stops -= 1
            made.instances[number].stopped = True
        case ("resume", number):
            made.instances[number].stopped = False
        case ("restart", number):
            budget.restarts -= 1
            before = made.instances[number]
            lease = before.work.lease
            made.instances[number] = _born(number, before.life + 1, lease)
            made.news = [(to, dead) for to, dead in made.news if dead.name != before.name]
            made.news += [(number, Dead(peer.name, 0)) for peer in made.instances if not peer.alive]
            _meet(made, number)
        case ("run", place):
            number, by, life, _ = made.attempts.pop(place)
            made.runs[number] = made.runs.get(number, 0) + 1
            made.answers.append((number, by, life))
        case ("answer", place):
            number, to, life = made.answers.pop(place)
            own = made.instances[to]
            if own.alive and own.life == life and number in own.engine:
                del own.engine[number]
                _act(made, to, own.work.request_finished(now, number, Answer(AnswerKind.SERVED, b"v")))
        case ("learn", place):
            to, dead = made.news.pop(place)
            own = made.instances[to]
            if own.alive:
                for item in own.peers.refused(dead.name, dead.incarnation):
                    _act(made, to, own.work.peer_changed(now, item))
        case ("word", place):
            number, life, pair, owner = made.asking.pop(place)
            stands = made.words.setdefault(pair, owner)
            own = made.instances[number]
            if own.alive and own.life == life:
                _act(made, number, own.work.decision_received(now, pair, stands))
        case ("come", place):
            request, at = made.comes.pop(place)
            token, own = 100 + 10 * request + at, made.instances[at]
            made.waiting[token] = b"r%d" % request
            cls = made.classes[request]
            if cls == "keyed":
                _seek(made, at, token)
            else:
                _act(made, at, own.work.client_returned(now, token, b"r%d" % request, 7, CLASSES[cls].effect))
        case ("tick",):
            budget.ticks -= 1
            awake = [i for i in made.instances if i.alive and not i.stopped]
            made.now = _next_tick(made)
            for number, own in enumerate(made.instances):
                if own in awake:
                    _act(made, number, own.work.tick(made.now))


# --- the rules --------------------------------------------------------------------------------------------


def broken(made: World) -> str:
    """The rule that this world breaks; empty for none."""
    for request, runs in made.runs.items():
        cls = _class_of(made, request)
        if cls == "once" and runs > 1:
            return "an effect ran twice"
        if cls == "keyed" and runs > 1 + made.died and made.now < START + SILENCE:
            return "a key was run more often than its owners died"
    for request, hows in made.told.items():
        if AnswerKind.REFUSED in hows and made.runs.get(request) and _class_of(made, request) == "once":
            return "told as refused, and it ran"
        if AnswerKind.SERVED in hows and AnswerKind.FAILED in hows:
            return "two answers that differ"
    return made.wrongs[0] if made.wrongs else ""


def stuck(made: World) -> str:
    """What is left for good where nothing more can happen but the passing of time."""
    for token, request in made.waiting.items():
        number = token % 10
        if made.instances[number].alive and not made.instances[number].stopped:
            return f"nobody answers {request.decode()} for the client {token}"
    return ""


def _terms(name: str, lease: int, incarnation: int) -> TakeoverSettings:
    return TakeoverSettings(
        name,
        CLASSES,
        ack_timeout=WAIT,
        peer_timeout=SILENCE,
        retention=10_000_000,
        lease=lease,
        incarnation=incarnation,
    )


def _ranks() -> Ranks:
    return RANKS


def _plain(cls: type) -> Callable[[Any], tuple[Any, ...]]:
    """How a dataclass is written down: its fields in their order. Its own way is many times slower."""
    values = operator.attrgetter(*[one.name for one in dataclasses.fields(cls)])
    return lambda thing: (cls, values(thing))


PLAIN = (
    World,
    Instance,
    Budget,
    OwnedRequest,
    Replica,
    Lookup,
    KeyedLookup,
    Peer,
    _LeaseFromKeeper,
    _LeaseToOwner,
    _Grant,
    Pair,
)
TABLE: dict[type, Callable[[Any], tuple[Any, ...]]] = {
    **copyreg.dispatch_table,  # type: ignore[dict-item]
    **{cls: _plain(cls) for cls in PLAIN},
    TakeoverSettings: lambda terms: (_terms, (terms.name, terms.lease, terms.incarnation)),
    Ranks: lambda ranks: (_ranks, ()),
}


class _Pickler(pickle.Pickler):
    dispatch_table = TABLE


def frozen(made: World) -> bytes:
    """A world as bytes; the same ones where the same is in it."""
    out = io.BytesIO()
    _Pickler(out, protocol=5).dump(made)
    return out.getvalue()


@dataclass
class Found:
    """What a walk has found."""

    worlds: int = 0
    steps: int = 0
    trace: list[Step] | None = None
    why: str = ""


def walk(start: bytes, most: int, seen: set[bytes] | None = None) -> Found:
    """Walk all worlds that can follow a frozen one, `most` at the most; the first broken rule ends it.

    `seen` gets a digest of each.
    """
    found = Found()
    seen = set() if seen is None else seen
    pile: list[tuple[bytes, tuple[Any, ...]]] = [(start, ())]
    while pile and found.worlds < most:
        data, trace = pile.pop()
        digest = hashlib.blake2b(data, digest_size=12).digest()
        if digest in seen:
            continue
        seen.add(digest)
        found.worlds += 1
        for step, following in _ahead(data):
            found.steps += 1
            if why := broken(following):
                found.trace, found.why = [*_listed(trace), step], why
                return found
            pile.append((frozen(following), (step, trace)))
    return found


def shards(start: bytes, least: int) -> list[bytes]:
    """Worlds that follow it, at least so many, from which the walk can go on apart."""
    front = [start]
    while len(front) < least:
        front = list({frozen(following) for data in front for _, following in _ahead(data)})
    return front


def _ahead(data: bytes) -> Iterator[tuple[Step, World]]:
    """All that may happen next, and what comes of each."""
    for step in list(steps(pickle.loads(data))):
        following: World = pickle.loads(data)
        take(following, step)
        yield step, following


def stroll(start: World, seed: int, most: int, left: int = 200) -> Found:
    """`most` chance ways through the worlds, each of `left` steps or until nothing can happen."""
    found, chance, data = Found(), random.Random(seed), frozen(start)
    for _ in range(most):
        made: World = pickle.loads(data)
        trace: list[Step] = []
        for _ in range(left):
            ahead = list(steps(made))
            if not ahead:
                break
            trace.append(chance.choice(ahead))
            take(made, trace[-1])
            found.steps += 1
            if why := broken(made):
                found.why, found.trace = why, trace
                return found
        found.worlds += 1
    return found


def _listed(trace: tuple[Any, ...]) -> list[Step]:
    listed = []
    while trace:
        step, trace = trace
        listed.append(step)
    return listed[::-1]
