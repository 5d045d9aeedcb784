"""The shell round an instance's part in leaving zones: the engine's attempts, the links, the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from lynxreel.backends.pools import Servers
from lynxreel.engine.engine import Engine
from lynxreel.links.mesh import Mesh
from lynxreel.links.peers import News, State, Up
from lynxreel.log import log
from lynxreel.zones import evidence, word as words
from lynxreel.zones.member import Action, Ahead, Ask, Line, Member, Note, Say, Told, Use
from lynxreel.zones.store import Plan as StorePlan, Store
from lynxreel.zones.word import Report, Word
from mothgap.interface import ListKind, Members, Result, State as BoxState

TICK = 0.05  # seconds between looks at what is seen
STOOD = 0.3  # seconds that a look came late by: the loop stood still
START = 0.5  # seconds that a start waits for the word


@dataclass(frozen=True)
class Plan:
    """How a fleet leaves zones. `names`: the boxes' zones, by their numbers in the list."""

    store: StorePlan
    names: dict[int, str]
    terms: words.Terms = words.Terms()
    evidence: evidence.Terms = evidence.Terms()


class Zones:
    """One instance's part in it."""

    def __init__(
        self, plan: Plan, engine: Engine, servers: Servers, mesh: Mesh, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._plan, self._engine, self._servers, self._mesh, self._loop = plan, engine, servers, mesh, loop
        engine.on_attempt_ended = self._ended
        mesh.join((Report, Told), self._heard, self._news)
        places = {place.name: place.zone for place in (mesh.own, *mesh.places.values())}
        self._member = Member(mesh.own.name, places, plan.terms, plan.evidence, self._now())
        self._store = Store(plan.store)
        self._numbers = {name: number for number, name in plan.names.items()}
        self._boxes: dict[str, str] = {}
        self._asking: asyncio.Task[None] | None = None
        self._ticking: asyncio.Task[None] | None = None
        self.note: Callable[[str, Mapping[str, Any]], None] = lambda kind, content: None  # for the records

    def _now(self) -> int:
        """Milliseconds that run evenly."""
        return int(self._loop.time() * 1e3)

    async def open(self) -> None:
        """Take the word that stands, or go on without where it can't be had now."""
        with suppress(TimeoutError):
            async with asyncio.timeout(START):
                self._act(self._member.stored(self._now(), await self._store.read()))
        self._ticking = self._loop.create_task(self._tick())

    def close(self) -> None:
        """The end of the process."""
        for task in (self._asking, self._ticking):
            if task is not None:
                task.cancel()
        self._store.close()

    def listed(self, members: Members) -> None:
        """The list of boxes has changed."""
        if members.kind is not ListKind.CHANGES:
            self._boxes.clear()
        for line in members.members:
            if line.state is BoxState.READY and line.zone in self._plan.names:
                self._boxes[line.server] = self._plan.names[line.zone]
            else:
                self._boxes.pop(line.server, None)
        self._member.listed(self._boxes)

    def _ended(self, box: str, result: Result) -> None:
        self._member.ended(self._now(), box, result)

    async def _tick(self) -> None:
        while True:
            due = self._loop.time() + TICK
            await asyncio.sleep(TICK)
            if self._loop.time() - due > STOOD:
                self._member.evidence.stood(self._now() * 1_000)
            now = self._now()
            use = self._use() if self._member.wants_use(now) else None
            self._act(self._member.look(now, self._unix(), use))

    def _use(self) -> dict[str, tuple[float, float]]:
        names, use = self._plan.names, self._engine.zone_usage()
        return {names[number]: (out, bears) for number, (out, bears) in use.items() if number in names}

    @staticmethod
    def _unix() -> int:
        return time.time_ns() // 1_000_000

    # --- what is to be done -----------------------------------------------------------------------------

    def _act(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Say():
                    for name in action.to:
                        self._mesh.say(name, action.message)
                case Ask():
                    self._asking = self._loop.create_task(self._ask(action))
                case Use():
                    known = {zone: part for zone, part in action.parts.items() if zone in self._numbers}
                    self._engine.set_zone_fractions(
                        {self._numbers[zone]: part for zone, part in known.items()}
                    )
                case Ahead():
                    self._servers.preconnect(action.boxes, action.count)
                case Line():
                    log(action.text)
                case Note():
                    self.note("zone", action.content)

    async def _ask(self, asked: Ask) -> None:
        stands: Word | None
        if asked.follows is None:
            stands = await self._store.read()
        else:
            stands = await (self._store.restore if asked.lost else self._store.replace)(asked.follows)
        self._member.away = self._store.away
        self._act(self._member.stored(self._now(), stands))

    # --- the links --------------------------------------------------------------------------------------

    def _heard(self, name: str, incarnation: int, message: Any) -> None:
        self._act(self._member.heard(self._now(), name, message))

    def _news(self, news: Iterable[News]) -> None:
        new = [item.name for item in news if isinstance(item, Up)]
        peers = self._mesh.peers
        dead = [name for name, peer in peers.peers.items() if peer.state is State.DEAD]
        self._act(self._member.known(peers.up(), dead, new))

    # --- the operators ----------------------------------------------------------------------------------

    def told(self) -> dict[str, Any]:
        """The word, what is seen, and what this instance uses of each zone."""
        return self._member.told(self._now())

    def order(self, zone: str, order: str, dry: bool) -> dict[str, Any]:
        """An operator's word on a zone; what follows from it now, or would."""
        would, actions = self._member.order(self._now(), self._unix(), zone, order, dry)
        self._act(actions)
        return would
