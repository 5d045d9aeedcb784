"""All orders in which three instances can read and replace the fleet's word: `Follower` under each of them.

A step is one thing that may happen next: an instance writes the word that follows, the store takes it, its
answer or what is told of it arrives or is lost, an instance reads, dies, or starts again, and a liar tells a
word that nobody wrote. States are walked breadth first and each is looked at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from lynxreel.zones.word import Follower, DecisionSettings, ZoneDecision, may_replace

COUNT = 3
LIAR = COUNT  # a fourth one, who only tells
MOST = 4  # epochs, deaths and messages on their way are bounded, so that the walk ends
DEATHS = 2


Told = tuple[int, str]  # a word's epoch and writer
NONE: Told = (0, "")
LIE: Told = (9, "liar")


def stands(revision: int, expected: int) -> bool:
    """The store's compare: the word has not been replaced since it was read."""
    return revision == expected


def answered(store: tuple[int, Told], word: Told) -> tuple[int, Told]:
    """What a writer is told: the word that stands, whether it is its own or not."""
    return store


@dataclass(frozen=True)
class Instance:
    """One process: the word it goes by, what it read of the store, and the write that is under way."""

    word: Told = NONE
    known: tuple[int, int] = (0, 0)  # epoch and revision
    writing: Told | None = None
    expected: int = 0
    answer: tuple[int, Told] | None = None  # on its way from the store
    alive: bool = True
    told: tuple[tuple[int, Told], ...] = ()  # by others, and not believed yet


@dataclass(frozen=True)
class State:
    """All there is."""

    instances: tuple[Instance, ...] = (Instance(),) * COUNT
    store: tuple[int, Told] = (0, NONE)  # revision and word
    telling: tuple[tuple[int, int, Told], ...] = ()  # by whom, to whom
    had: frozenset[Told] = frozenset({NONE})  # words that the store has had
    strays: tuple[tuple[Told, int], ...] = ()  # writes of the dead that have not arrived
    deaths: int = 0


@dataclass
class Found:
    """What a walk has found."""

    states: int = 0
    why: str = ""
    trace: tuple[str, ...] = ()


def _hear(instance: Instance, told: Told) -> Instance:
    follower = Follower(DecisionSettings(), ZoneDecision(*instance.word))
    follower.adopt(0, ZoneDecision(*told))
    return replace(instance, word=(follower.decision.epoch, follower.decision.writer))


def _tell(instance: Instance, teller: int, told: Told) -> Instance:
    """The store is away for this one: it has nothing else to go by."""
    known = {str(other): ZoneDecision(*word) for other, word in instance.told}
    follower = Follower(DecisionSettings(), ZoneDecision(*instance.word), received=known)
    follower.receive_decision(0, str(teller), ZoneDecision(*told), False)
    kept = tuple(sorted((int(other), (word.epoch, word.writer)) for other, word in follower.received.items()))
    return replace(instance, word=(follower.decision.epoch, follower.decision.writer), told=kept)


def _with(state: State, number: int, instance: Instance, **more: object) -> State:
    instances = tuple(instance if n == number else one for n, one in enumerate(state.instances))
    return replace(state, instances=instances, **more)  # type: ignore[arg-type]


def ahead(state: State) -> Iterator[tuple[str, State]]:
    """All that may happen next."""
    revision, stored = state.store
    for number, own in enumerate(state.instances):
        if not own.alive:
            started = Instance(word=stored, known=(stored[0], revision))
            yield f"{number} starts", _with(state, number, started)
            continue
        if own.writing is None and own.answer is None:
            yield f"{number} reads", _with(state, number, replace(own, answer=(revision, stored)))
            word = own.word[0] + 1, f"{number}/{state.deaths}"
            if word[0] <= MOST and may_replace(own.known[0], ZoneDecision(*word)):
                writes = replace(own, writing=word, expected=own.known[1])
                yield f"{number} writes {word[0]}", _with(state, number, writes)
        elif own.writing is not None:
            store = _taken(state, own.writing, own.expected)
            done = replace(own, writing=None, answer=answered(store, own.writing))
            had = state.had | {store[1]}
            yield f"the store takes {number}'s", _with(state, number, done, store=store, had=had)
        elif own.answer is not None:
            told = replace(_hear(own, own.answer[1]), known=(own.answer[1][0], own.answer[0]), answer=None)
            others = tuple((number, to, told.word) for to in range(COUNT) if to != number)
            known = tuple(dict.fromkeys((*state.telling, *others)))[:MOST]
            yield f"{number} hears the store", _with(state, number, told, telling=known)
            yield f"{number} hears nothing", _with(state, number, replace(own, answer=None))
        if (LIAR, LIE) not in own.told:
            yield f"the liar tells {number}", _with(state, number, _tell(own, LIAR, LIE))
        if state.deaths < DEATHS:
            strays = state.strays + (((own.writing, own.expected),) if own.writing is not None else ())
            more = {"deaths": state.deaths + 1, "strays": strays}
            yield f"{number} dies", _with(state, number, Instance(alive=False), **more)
    for place, (word, expected) in enumerate(state.strays):
        rest_of = state.strays[:place] + state.strays[place + 1 :]
        store = _taken(state, word, expected)
        yield (
            "a dead one's write arrives",
            replace(state, strays=rest_of, store=store, had=state.had | {store[1]}),
        )
    for place, (teller, to, word) in enumerate(state.telling):
        rest = state.telling[:place] + state.telling[place + 1 :]
        yield f"lost for {to}", replace(state, telling=rest)
        if state.instances[to].alive:
            yield (
                f"{to} is told {word[0]}",
                _with(state, to, _tell(state.instances[to], teller, word), telling=rest),
            )


def _taken(state: State, word: Told, expected: int) -> tuple[int, Told]:
    """The store behind a write."""
    revision, _ = state.store
    return (revision + 1, word) if stands(revision, expected) else state.store


def broken(before: State, after: State) -> str:
    """The rule that this step breaks; empty for none."""
    words = [one.word for one in after.instances if one.alive] + [after.store[1]]
    by_epoch: dict[int, Told] = {}
    for word in words:
        if by_epoch.setdefault(word[0], word) != word:
            return "two words of one epoch"
    if after.store[1][0] < before.store[1][0]:
        return "the store's epoch goes back"
    for old, new in zip(before.instances, after.instances, strict=True):
        if old.alive and new.alive and new.word[0] < old.word[0]:
            return "an instance's epoch goes back"
        if new.alive and new.word not in after.had:
            return "an instance goes by a word that nobody wrote"
    return ""


def walk(most: int) -> Found:
    """Walk up to so many states; the first broken rule ends it."""
    found, start = Found(), State()
    seen: dict[State, tuple[State | None, str]] = {start: (None, "")}
    queue = deque([start])
    while queue and found.states < most:
        state = queue.popleft()
        found.states += 1
        for step, following in ahead(state):
            if following in seen:
                continue
            seen[following] = (state, step)
            if why := broken(state, following):
                found.why, found.trace = why, _back(seen, following)
                return found
            queue.append(following)
    return found


def _back(seen: dict[State, tuple[State | None, str]], state: State) -> tuple[str, ...]:
    steps = []
    place: State | None = state
    while place is not None:
        place, step = seen[place]
        steps.append(step)
    return tuple(reversed(steps[:-1]))
