"""Connects an instance's part in the zone decision to the engine, the other instances and the store."""

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
from lynxreel.zones.member import (
    Action,
    Preconnect,
    StoreRequest,
    LogLine,
    Member,
    RecordEntry,
    SendMessage,
    DecisionMessage,
    SetFractions,
)
from lynxreel.zones.store import Plan as StorePlan, Store
from lynxreel.zones.word import Report, ZoneDecision
from mothgap.interface import ListKind, Members, Result, State as BoxState

TICK_SECONDS = 0.05
STALL_SECONDS = 0.3  # a tick this late means that the event loop stalled
START_TIMEOUT = 0.5  # seconds that a start waits for the stored decision


@dataclass(frozen=True)
class Plan:
    """Settings of the zone decision. `names` has the boxes' zones by their numbers in the list."""

    store: StorePlan
    names: dict[int, str]
    terms: words.DecisionSettings = words.DecisionSettings()
    evidence: evidence.EvidenceSettings = evidence.EvidenceSettings()


class Zones:
    """One instance's part in the zone decision."""

    def __init__(
        self, plan: Plan, engine: Engine, servers: Servers, mesh: Mesh, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._plan, self._engine, self._servers, self._mesh, self._loop = plan, engine, servers, mesh, loop
        engine.on_attempt_ended = self._attempt_ended
        mesh.register((Report, DecisionMessage), self._receive, self._peers_changed)
        places = {place.name: place.zone for place in (mesh.own, *mesh.places.values())}
        self._member = Member(mesh.own.name, places, plan.terms, plan.evidence, self._now())
        self._store = Store(plan.store)
        self._numbers = {name: number for number, name in plan.names.items()}
        self._boxes: dict[str, str] = {}
        self._requesting: asyncio.Task[None] | None = None
        self._ticking: asyncio.Task[None] | None = None
        self.note: Callable[[str, Mapping[str, Any]], None] = lambda kind, content: None  # for the records

    def _now(self) -> int:
        """Returns milliseconds of a monotonic clock."""
        return int(self._loop.time() * 1e3)

    async def open(self) -> None:
        """Adopts the stored decision, or starts without it if the store does not answer in START_TIMEOUT."""
        with suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT):
                self._act(self._member.store_answered(self._now(), await self._store.read()))
        self._ticking = self._loop.create_task(self._tick())

    def close(self) -> None:
        """Ends the tasks and the connection to the store, at the end of the process."""
        for task in (self._requesting, self._ticking):
            if task is not None:
                task.cancel()
        self._store.close()

    def listed(self, members: Members) -> None:
        """Applies a change of the list of boxes."""
        if members.kind is not ListKind.CHANGES:
            self._boxes.clear()
        for box in members.members:
            if box.state is BoxState.READY and box.zone in self._plan.names:
                self._boxes[box.server] = self._plan.names[box.zone]
            else:
                self._boxes.pop(box.server, None)
        self._member.set_boxes(self._boxes)

    def _attempt_ended(self, box: str, result: Result) -> None:
        self._member.attempt_ended(self._now(), box, result)

    async def _tick(self) -> None:
        while True:
            due = self._loop.time() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            if self._loop.time() - due > STALL_SECONDS:
                self._member.evidence.loop_stalled(self._now() * 1_000)
            now = self._now()
            usage = self._usage() if self._member.wants_usage(now) else None
            self._act(self._member.tick(now, self._unix_ms(), usage))

    def _usage(self) -> dict[str, tuple[float, float]]:
        """Returns by zone the open attempts, and how many its boxes would take."""
        names, usage = self._plan.names, self._engine.zone_usage()
        return {names[number]: (out, most) for number, (out, most) in usage.items() if number in names}

    @staticmethod
    def _unix_ms() -> int:
        return time.time_ns() // 1_000_000

    # --- actions ----------------------------------------------------------------------------------------

    def _act(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage():
                    for name in action.to:
                        self._mesh.send(name, action.message)
                case StoreRequest():
                    self._requesting = self._loop.create_task(self._request(action))
                case SetFractions():
                    known = {zone: share for zone, share in action.parts.items() if zone in self._numbers}
                    self._engine.set_zone_fractions(
                        {self._numbers[zone]: share for zone, share in known.items()}
                    )
                case Preconnect():
                    self._servers.preconnect(action.boxes, action.count)
                case LogLine():
                    log(action.text)
                case RecordEntry():
                    self.note("zone", action.content)

    async def _request(self, request: StoreRequest) -> None:
        in_store: ZoneDecision | None
        if request.follows is None:
            in_store = await self._store.read()
        else:
            in_store = await (self._store.restore if request.lost else self._store.replace)(request.follows)
        self._member.store_unavailable = self._store.away
        self._act(self._member.store_answered(self._now(), in_store))

    # --- other instances --------------------------------------------------------------------------------

    def _receive(self, name: str, incarnation: int, message: Any) -> None:
        self._act(self._member.receive(self._now(), name, message))

    def _peers_changed(self, news: Iterable[News]) -> None:
        joined = [item.name for item in news if isinstance(item, Up)]
        peers = self._mesh.peers
        dead = [name for name, peer in peers.peers.items() if peer.state is State.DEAD]
        self._act(self._member.peers_changed(peers.up(), dead, joined))

    # --- operators --------------------------------------------------------------------------------------

    def told(self) -> dict[str, Any]:
        """Returns the decision, and by zone this instance's verdict, the reports and the fraction in use."""
        return self._member.status(self._now())

    def order(self, zone: str, order: str, dry: bool) -> dict[str, Any]:
        """Takes an operator's order on a zone; returns what it changes now, or with `dry` would change."""
        would, actions = self._member.order(self._now(), self._unix_ms(), zone, order, dry)
        self._act(actions)
        return would
