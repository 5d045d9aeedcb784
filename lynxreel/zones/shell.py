"""The shell round evidence and word: the engine's attempts, the links, the store, the operators."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import msgspec

from lynxreel.backends.pools import Servers
from lynxreel.engine.engine import Engine
from lynxreel.links.mesh import Mesh
from lynxreel.links.peers import News, State, Up
from lynxreel.links.rank import Ranks
from lynxreel.log import log
from lynxreel.zones import evidence, word as words
from lynxreel.zones.evidence import Evidence, Verdict
from lynxreel.zones.store import Plan as StorePlan, Store
from lynxreel.zones.word import Follower, Report, Stage, Witness, Word, following, seen, share
from mothgap.interface import ListKind, Members, Result, State as BoxState

TICK = 0.05  # seconds between looks at what is seen
STOOD = 0.3  # seconds that a look came late by: the loop stood still
USE = 100  # milliseconds between looks at what is out
SMOOTH = 0.2  # of what a look finds
AGAIN = 1_000  # milliseconds after which a report is told again, and the store is read
START = 0.5  # seconds that a start waits for the word
ORDERED = 5_000  # milliseconds for which an operator's order is tried: later it would surprise
TURN = 30  # milliseconds that each instance leaves to the ones before it to write the next word
DOUBT = 10_000  # milliseconds for which nothing is read at the word of one who told what the store had not


class Told(msgspec.Struct, frozen=True, array_like=True, tag="word"):
    """The word, as an instance knows it."""

    word: Word


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
        engine.sees = self._ended
        mesh.join((Report, Told), self._heard, self._news)
        self._own = mesh.own
        self._places = {place.name: place.zone for place in (mesh.own, *mesh.places.values())}
        self._ranks = Ranks(self._places)
        self._store = Store(plan.store)
        self._evidence = Evidence(plan.evidence)
        self._numbers = {name: number for number, name in plan.names.items()}
        self._boxes: dict[str, str] = {}
        self._reports: dict[str, Witness] = {}
        self._told_at = self._read_at = self._taken_at = self._used_at = 0
        self._load: dict[str, tuple[float, float]] = {}  # by zone: attempts out, and how many may be
        self._due: dict[int, int] = {}  # when the word that follows an epoch is to be written by this one
        self._hands: dict[str, str] = {}  # operators' orders that have not been written yet
        self._hands_until = 0
        self._parts: dict[str, float] = {}
        self._out = False  # of touch
        self._prompts: dict[str, int] = {}  # epochs that others told of, and that are not known here
        self._doubted: dict[str, int] = {}  # until when nothing is read at their word
        self._asking: asyncio.Task[None] | None = None
        self._ticking: asyncio.Task[None] | None = None
        self.note: Callable[[str, dict[str, Any]], None] = lambda kind, content: None  # for the records
        self.follower = Follower(plan.terms, heard_at=self._now())

    def _now(self) -> int:
        """Milliseconds that run evenly."""
        return int(self._loop.time() * 1e3)

    async def open(self) -> None:
        """Take the word that stands, or go on without where it can't be had now."""
        with suppress(TimeoutError):
            async with asyncio.timeout(START):
                self._take(await self._store.read())
        self._ticking = self._loop.create_task(self._tick())

    def close(self) -> None:
        """The end of the process."""
        for task in (self._asking, self._ticking):
            if task is not None:
                task.cancel()
        self._store.close()

    # --- what is seen -----------------------------------------------------------------------------------

    def listed(self, members: Members) -> None:
        """The list of boxes has changed."""
        if members.kind is not ListKind.CHANGES:
            self._boxes.clear()
        for line in members.members:
            if line.state is BoxState.READY and line.zone in self._plan.names:
                self._boxes[line.server] = self._plan.names[line.zone]
            else:
                self._boxes.pop(line.server, None)
        self._evidence.listed(self._boxes)

    def _ended(self, box: str, result: Result) -> None:
        self._evidence.ended(self._now() * 1_000, box, result)

    async def _tick(self) -> None:
        while True:
            due = self._loop.time() + TICK
            await asyncio.sleep(TICK)
            if self._loop.time() - due > STOOD:
                self._evidence.stood(self._now() * 1_000)
            self._look()

    def _look(self) -> None:
        now = self._now()
        found = self._evidence.verdicts(now * 1_000)
        blind = self._evidence.blind(now * 1_000)
        verdicts = {zone: int(verdict) for zone, verdict in found.items()}
        before = self._reports.get(self._own.name)
        use = before.report.use if before is not None else {}
        if now - self._used_at >= USE:
            self._used_at, use = now, self._use()
        report = Report(verdicts, blind, self.follower.word.epoch, use)
        self._reports[self._own.name] = Witness(self._own.zone, report, now)
        same = before is not None and msgspec.structs.replace(before.report, use=use) == report
        if not same or now - self._told_at >= AGAIN:
            self._told_at = now
            for name in self._mesh.peers.up():
                self._mesh.say(name, report)
        self._look_up(now)
        if self._hands and now > self._hands_until:
            late = [zone for zone, hand in self._hands.items() if hand != self.follower.word.of(zone).hand]
            if late:
                log(f"orders on zones {', '.join(late)} could not be written in time: given up")
            self._hands.clear()
        self._go_on(now)
        if self.follower.lost(now) is not self._out:
            self._out = not self._out
            lost = "neither the store of the word on zones nor another instance is heard: it counts no more"
            log(lost if self._out else "the fleet's word on zones is followed again")
            self._apply()

    def _look_up(self, now: int) -> None:
        """Read the store now and then; at once where another instance tells of a later word."""
        if now - self._read_at >= AGAIN and (self._asking is None or self._asking.done()):
            self._read_at = now
            self._ask(None)

    def _heeded(self, stands: Word | None, prompts: dict[str, int]) -> None:
        """Who told of a word that the store did not have then is not heeded for a while."""
        for name, epoch in prompts.items():
            if stands is not None and stands.epoch < epoch:
                log(f"{name} tells epoch {epoch} of the word on zones, and the store has {stands.epoch}")
                self._doubted[name] = self._now() + DOUBT

    def _use(self) -> dict[str, tuple[float, float]]:
        """What is out in each zone, smoothed, and how much its boxes bear of this instance."""
        for number, (out, bears) in self._engine.in_use().items():
            if (zone := self._plan.names.get(number)) is not None:
                before = self._load.get(zone, (out, bears))
                self._load[zone] = (before[0] + SMOOTH * (out - before[0]), bears)
        return {zone: (round(out, 2), round(bears, 2)) for zone, (out, bears) in self._load.items()}

    def said(self, now: int) -> dict[str, words.Seen]:
        """What the witnesses say of each zone."""
        peers = self._mesh.peers.peers
        dead = [name for name, peer in peers.items() if peer.state is State.DEAD]
        given = self.follower.word, self._places, dead, self._reports, now, self._plan.terms
        return {zone: seen(zone, *given) for zone in sorted({*self._boxes.values()})}

    # --- the word ---------------------------------------------------------------------------------------

    def _go_on(self, now: int) -> None:
        """Write the next word if one follows, and it is this instance's turn."""
        follows = self._following(now)
        epoch = self.follower.word.epoch
        if follows is None:
            self._due.clear()
        elif epoch not in self._due:
            up = [self._own.name, *self._mesh.peers.up()]
            place = [name for name in self._ranks.order(b"word") if name in up].index(self._own.name)
            self._due = {epoch: now + (0 if self._hands else TURN * place)}
        elif now >= self._due[epoch] and (self._asking is None or self._asking.done()):
            self._due[epoch] = now + AGAIN
            self._ask(follows)

    def _following(self, now: int) -> Word | None:
        at = time.time_ns() // 1_000_000
        return following(self.follower, self.said(now), now, at, self._own.name, self._hands)

    def _ask(self, follows: Word | None) -> None:
        if self._asking is None or self._asking.done():
            self._asking = self._loop.create_task(self._store_word(follows))

    async def _store_word(self, follows: Word | None) -> None:
        prompts, self._prompts = self._prompts, {}
        stands = await (self._store.read() if follows is None else self._store.replace(follows))
        self._heeded(stands, prompts)
        word = self.follower.word
        if stands is not None and stands.epoch < word.epoch and not self._out:
            log(f"the store has lost the word on zones: epoch {word.epoch} is put back for {stands.epoch}")
            stands = await self._store.restore(word)
        if self._take(stands) and follows is not None and stands is not None and stands == follows:
            for name in self._mesh.peers.up():
                self._mesh.say(name, Told(stands))

    def _take(self, stands: Word | None) -> bool:
        """The word as the store has it, or another instance; whether it is a later one."""
        if stands is None:
            return False
        before = self.follower.word
        if not self.follower.hear(self._now(), stands):
            return False
        self._taken(before)
        return True

    def _taken(self, before: Word) -> None:
        """Another word is gone by."""
        stands, self._taken_at = self.follower.word, self._now()
        for zone, told in stands.zones.items():
            if self._hands.get(zone) == told.hand:
                del self._hands[zone]
            if told != before.of(zone):
                if told.stage is Stage.TRIAL:
                    self._evidence.forget(zone)
                if told.stage is Stage.LEAVING and before.of(zone).stage is Stage.IN_USE:
                    self._open_ahead(zone)
                log(f"zone {zone}: {told.stage.value}, step {told.step}, epoch {stands.epoch}: {told.why}")
                self.note("zone", {"zone": zone, "epoch": stands.epoch, **msgspec.to_builtins(told)})
        self._apply()

    def _open_ahead(self, left: str) -> None:
        """As many connections to the boxes of zones in use as are in use in the one that is left."""
        word = self.follower.word
        if left == self._own.zone:
            return
        rest = [box for box, zone in self._boxes.items() if word.of(zone).stage is Stage.IN_USE]
        self._servers.open_ahead(rest, math.ceil(self._load.get(left, (0.0, 0.0))[0]))

    def _apply(self) -> None:
        """Have the module use of each zone what the word says."""
        up = {self._own.name, *self._mesh.peers.up()}
        parts = dict[str, float]()
        for zone, told in self.follower.word.zones.items():
            if zone == self._own.zone or zone not in self._numbers or self._out:
                continue
            order = [name for name in self._ranks.order(zone.encode()) if name in up]
            outside = [name for name in order if self._places[name] != zone]
            part = share(told, outside.index(self._own.name), self._plan.terms)
            if part < 1.0:
                parts[zone] = part
        if parts != self._parts:
            self._parts = parts
            self._engine.use({self._numbers[zone]: part for zone, part in parts.items()})

    # --- the links --------------------------------------------------------------------------------------

    def _heard(self, name: str, incarnation: int, message: Any) -> None:
        if isinstance(message, Report):
            self._reports[name] = Witness(self._places[name], message, self._now())
            self.follower.hear(self._now(), None)
            if message.epoch < self.follower.word.epoch and self._now() - self._taken_at >= AGAIN:
                self._mesh.say(name, Told(self.follower.word))  # it may not hear the store
        elif isinstance(message, Told):
            before = self.follower.word
            if self.follower.tell(self._now(), name, message.word, not self._store.away):
                self._taken(before)
            elif message.word.epoch > before.epoch and self._now() >= self._doubted.get(name, 0):
                self._prompts[name], self._read_at = message.word.epoch, 0  # it counts as the store has it
                self._look_up(self._now())

    def _news(self, news: Iterable[News]) -> None:
        for item in news:
            if isinstance(item, Up):
                if self.follower.word.epoch:
                    self._mesh.say(item.name, Told(self.follower.word))
                if (own := self._reports.get(self._own.name)) is not None:
                    self._mesh.say(item.name, own.report)
        self._apply()  # who tries a zone for all depends on who is up

    # --- the operators ----------------------------------------------------------------------------------

    def told(self) -> dict[str, Any]:
        """The word, what is seen, and what this instance uses of each zone."""
        now, word = self._now(), self.follower.word
        verdicts = self._evidence.verdicts(now * 1_000)
        zones = dict[str, Any]()
        for zone, said in self.said(now).items():
            told = word.of(zone)
            zones[zone] = {
                **msgspec.to_builtins(told), "here": self._parts.get(zone, 1.0),
                "sees": verdicts.get(zone, Verdict.UNKNOWN).name.lower(),
                "out": round(said.out, 1), "rest_bears": round(said.room, 1),
                "expected": said.expected, "heard": said.heard, "bad": said.bad, "good": said.good,
                "boxes": sum(place == zone for place in self._boxes.values()),
            }  # fmt: skip
        touch = {"in_touch": not self._out, "store_ms": now - self.follower.heard_at}
        return {"epoch": word.epoch, "writer": word.writer, "zone": self._own.zone, **touch, "zones": zones}

    def order(self, zone: str, order: str, dry: bool) -> dict[str, Any]:
        """An operator's word on a zone; what follows from it now, or would."""
        now = self._now()
        if zone not in self.said(now) or order not in words.ORDERS:
            return {"refused": f"no zone {zone!r} with boxes, or no order {order!r}"}
        told = self.follower.word.of(zone)
        moot = order == told.hand or (order == words.RETURN and told.stage is Stage.IN_USE)
        # An order that is under way goes before what is known of the word.
        hands = {} if moot and zone not in self._hands else {**self._hands, zone: order}
        at = time.time_ns() // 1_000_000
        follows = following(self.follower, self.said(now), now, at, self._own.name, hands)
        left = [box for box, place in self._boxes.items() if place != zone]
        after = msgspec.to_builtins(follows.of(zone)) if follows is not None else "nothing changes now"
        said = self.said(now)[zone]
        bears = {"out": round(said.out, 1), "rest_bears": round(said.room, 1)}
        would = {"follows": after, "boxes_left": len(left), "boxes": len(self._boxes), **bears}
        if hands and not dry:
            self._hands, self._hands_until = hands, now + ORDERED
            self._due.clear()
            self._go_on(now)
        return would
