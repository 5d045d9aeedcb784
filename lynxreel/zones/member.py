"""One instance's part in leaving zones: what it tells, looks up, writes and uses, and when. No I/O.

Events go in, with the time; a list of actions comes out, in the order in which they are to be done. The store
is asked by one action at a time: `stored` follows each `Ask`.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgspec

from lynxreel.links.rank import Ranks
from lynxreel.zones import evidence, word as words
from lynxreel.zones.evidence import Evidence, Verdict
from lynxreel.zones.word import Follower, Report, Stage, Witness, Word, following, seen, share
from mothgap.interface import Result

USE = 100  # milliseconds between looks at what is out
SMOOTH = 0.2  # of what a look finds
AGAIN = 1_000  # milliseconds after which a report is told again, and the store is read
ORDERED = 5_000  # milliseconds for which an operator's order is tried: later it would surprise
TURN = 30  # milliseconds that each instance leaves to the ones before it to write the next word
DOUBT = 10_000  # milliseconds for which nothing is read at the word of one who told what the store had not


class Told(msgspec.Struct, frozen=True, array_like=True, tag="word"):
    """The word, as an instance knows it."""

    word: Word


@dataclass(frozen=True, slots=True)
class Say:
    """Tell others."""

    to: tuple[str, ...]
    message: Report | Told


@dataclass(frozen=True, slots=True)
class Ask:
    """Put a word in place of the one before it, or only read the one that stands."""

    follows: Word | None = None
    lost: bool = False  # the store has lost it: it is put back


@dataclass(frozen=True, slots=True)
class Use:
    """Use these parts of zones, and all of the others."""

    parts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Ahead:
    """Open so many connections to these boxes before they are wanted."""

    boxes: tuple[str, ...]
    count: int


@dataclass(frozen=True, slots=True)
class Line:
    """A line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the records: what a zone's word has become."""

    content: Mapping[str, Any]


Action: TypeAlias = Say | Ask | Use | Ahead | Line | Note


class Member:
    """An instance of the fleet. Times are milliseconds of its own clock; `at` is its Unix time, in words."""

    def __init__(
        self, name: str, places: Mapping[str, str], terms: words.Terms, eyes: evidence.Terms, now: int
    ) -> None:
        """`places`: the zone of each instance of the fleet, this one's among them."""
        self.name, self.zone, self._places, self._terms = name, places[name], dict(places), terms
        self._ranks = Ranks(places)
        self.evidence = Evidence(eyes)
        self.boxes: dict[str, str] = {}
        self.follower = Follower(terms, heard_at=now)
        self.parts: dict[str, float] = {}
        self.out = False  # of touch
        self._reports: dict[str, Witness] = {}
        self._load: dict[str, tuple[float, float]] = {}  # by zone: attempts out, and how many may be
        self._told_at = self._read_at = self._taken_at = self._used_at = 0
        self._gone_at = now  # when what is said was last gone through
        self._stirred = True  # somebody says something else since then
        self._due: dict[int, int] = {}  # when the word that follows an epoch is to be written by this one
        self._hands: dict[str, str] = {}  # operators' orders that have not been written yet
        self._hands_until = 0
        self._prompts: dict[str, int] = {}  # epochs that others told of, and that are not known here
        self._asked: dict[str, int] = {}  # those of them that the store is being asked for
        self._doubted: dict[str, int] = {}  # until when nothing is read at their word
        self._asking: Ask | None = None
        self.away = False  # the store did not answer when it was asked last
        self._up: tuple[str, ...] = ()
        self._dead: tuple[str, ...] = ()

    # --- what is seen -----------------------------------------------------------------------------------

    def listed(self, boxes: Mapping[str, str]) -> None:
        """The boxes that may be used, each with its zone."""
        self.boxes, self._stirred = dict(boxes), True
        self.evidence.listed(self.boxes)

    def ended(self, now: int, box: str, result: Result) -> None:
        """An attempt at a box has ended."""
        self.evidence.ended(now * 1_000, box, result)

    def wants_use(self, now: int) -> bool:
        """Whether `look` is to be told what is out."""
        return now - self._used_at >= USE

    def look(self, now: int, at: int, use: Mapping[str, tuple[float, float]] | None = None) -> list[Action]:
        """Some time has passed. `use`: attempts out in each zone, and how many its boxes bear of this one."""
        actions = list[Action]()
        if use is not None:
            self._used_at = now
            for zone, (out, bears) in use.items():
                before = self._load.get(zone, (out, bears))
                self._load[zone] = (before[0] + SMOOTH * (out - before[0]), bears)
        self._report(now, actions)
        self._look_up(now, actions)
        if self._hands and now > self._hands_until:
            late = [zone for zone, hand in self._hands.items() if hand != self.follower.word.of(zone).hand]
            if late:
                actions.append(Line(f"orders on zones {', '.join(late)} could not be written in time"))
            self._hands.clear()
        self._go_on(now, at, actions)
        if self.follower.lost(now) is not self.out:
            self.out = not self.out
            lost = "neither the store of the word on zones nor another instance is heard: it counts no more"
            actions.append(Line(lost if self.out else "the fleet's word on zones is followed again"))
            self._apply(actions)
        return actions

    def _report(self, now: int, actions: list[Action]) -> None:
        found = self.evidence.verdicts(now * 1_000)
        blind = self.evidence.blind(now * 1_000)
        verdicts = {zone: int(verdict) for zone, verdict in found.items()}
        use = {zone: (round(out, 2), round(bears, 2)) for zone, (out, bears) in self._load.items()}
        eyes = self.evidence.since(now * 1_000)
        since = {zone: (without // 1_000, failing // 1_000) for zone, (without, failing) in eyes.items()}
        report = Report(verdicts, blind, self.follower.word.epoch, use, since)
        if self._witnessed(self.name, self.zone, report, now) or now - self._told_at >= AGAIN:
            self._told_at = now
            actions.append(Say(self._up, report))

    def _witnessed(self, name: str, zone: str, report: Report, now: int) -> bool:
        """An instance's report as it is now; whether it says something else than before."""
        before = self._reports.get(name)
        self._reports[name] = Witness(zone, report, now)
        said = (report.verdicts, report.blind, report.epoch)
        other = before is None or said != (before.report.verdicts, before.report.blind, before.report.epoch)
        self._stirred |= other
        return other

    def said(self, now: int, load: bool = True) -> dict[str, words.Seen]:
        """What the witnesses say of each zone. `load`: of what is out there, too."""
        given = self.follower.word, self._places, self._dead, self._reports, now, self._terms, load
        return {zone: seen(zone, *given) for zone in sorted({*self.boxes.values()})}

    # --- the word ---------------------------------------------------------------------------------------

    def _look_up(self, now: int, actions: list[Action]) -> None:
        """Read the store now and then; at once where another instance tells of a later word."""
        if now - self._read_at >= AGAIN and self._asking is None:
            self._read_at = now
            self._ask(Ask(), actions)

    def _go_on(self, now: int, at: int, actions: list[Action]) -> None:
        """Write the next word if one follows, and it is this instance's turn."""
        epoch, zones = self.follower.word.epoch, self.follower.word.zones.values()
        calm = not self._stirred and all(zone.stage is Stage.IN_USE and not zone.hand for zone in zones)
        if calm and now - self._gone_at < AGAIN:
            return  # what everybody says of every zone is the same as when it was last gone through
        self._stirred, self._gone_at = False, now
        orders = [*self._hands.values(), *(zone.hand for zone in zones)]
        said = self.said(now, words.LEAVE in orders)
        follows = following(self.follower, said, now, at, self.name, self._hands)
        if follows is not None:
            self._stirred = True
        if follows is None:
            self._due.clear()
        elif epoch not in self._due:
            up = {self.name, *self._up}
            place = [name for name in self._ranks.order(b"word") if name in up].index(self.name)
            self._due = {epoch: now + (0 if self._hands else TURN * place)}
        elif now >= self._due[epoch] and self._asking is None:
            self._due[epoch] = now + AGAIN
            self._ask(Ask(follows), actions)

    def _ask(self, asked: Ask, actions: list[Action]) -> None:
        self._asking, self._asked, self._prompts = asked, self._prompts, {}
        actions.append(asked)

    def stored(self, now: int, stands: Word | None) -> list[Action]:
        """What the store has answered, None where nothing could be had; it can be asked again."""
        actions = list[Action]()
        asked, self._asking = self._asking, None
        known = self.follower.word
        if stands is not None:
            for name, epoch in self._asked.items():
                if stands.epoch < epoch:
                    lie = f"{name} tells epoch {epoch} of the word on zones, and the store has {stands.epoch}"
                    actions.append(Line(lie))
                    self._doubted[name] = now + DOUBT
            if stands.epoch < known.epoch and not self.out and asked is not None and not asked.lost:
                actions.append(Line(f"the store has lost the word on zones: epoch {known.epoch} is put back"))
                self._ask(Ask(known, lost=True), actions)
            elif self._take(now, stands, actions) and asked is not None and stands == asked.follows:
                actions.append(Say(self._up, Told(stands)))
        return actions

    def _take(self, now: int, stands: Word, actions: list[Action]) -> bool:
        """The word as the store has it; whether it is a later one."""
        before = self.follower.word
        if not self.follower.hear(now, stands):
            return False
        self._taken(now, before, actions)
        return True

    def _taken(self, now: int, before: Word, actions: list[Action]) -> None:
        """Another word is gone by."""
        stands, self._taken_at = self.follower.word, now
        for zone, told in stands.zones.items():
            if self._hands.get(zone) == told.hand:
                del self._hands[zone]
            if told == before.of(zone):
                continue
            if told.stage is Stage.TRIAL:
                self.evidence.forget(zone)
            if told.stage is Stage.LEAVING and before.of(zone).stage is Stage.IN_USE and zone != self.zone:
                rest = [box for box, place in self.boxes.items() if stands.of(place).stage is Stage.IN_USE]
                actions.append(Ahead(tuple(rest), math.ceil(self._load.get(zone, (0.0, 0.0))[0])))
            said = f"zone {zone}: {told.stage.value}, step {told.step}, epoch {stands.epoch}: {told.why}"
            actions.append(Line(said))
            actions.append(Note({"zone": zone, "epoch": stands.epoch, **msgspec.to_builtins(told)}))
        self._apply(actions)

    def _apply(self, actions: list[Action]) -> None:
        """Have the module use of each zone what the word says."""
        up = {self.name, *self._up}
        parts = dict[str, float]()
        for zone, told in self.follower.word.zones.items():
            if zone == self.zone or self.out:
                continue
            order = [name for name in self._ranks.order(zone.encode()) if name in up]
            outside = [name for name in order if self._places[name] != zone]
            part = share(told, outside.index(self.name), self._terms)
            if part < 1.0:
                parts[zone] = part
        if parts != self.parts:
            self.parts = parts
            actions.append(Use(parts))

    # --- the others -------------------------------------------------------------------------------------

    def heard(self, now: int, name: str, message: Report | Told) -> list[Action]:
        """Another instance has said something."""
        actions = list[Action]()
        word = self.follower.word
        if isinstance(message, Report):
            self._witnessed(name, self._places[name], message, now)
            self.follower.hear(now, None)
            if message.epoch < word.epoch and now - self._taken_at >= AGAIN:
                actions.append(Say((name,), Told(word)))  # it may not hear the store
        elif self.follower.tell(now, name, message.word, not self.away):
            self._taken(now, word, actions)
        elif message.word.epoch > word.epoch and now >= self._doubted.get(name, 0):
            self._prompts[name], self._read_at = message.word.epoch, 0  # it counts as the store has it
            self._look_up(now, actions)
        return actions

    def known(self, up: Iterable[str], dead: Iterable[str], new: Collection[str] = ()) -> list[Action]:
        """Which others can be told something, which are dead, and who of those up has just come up."""
        self._up, self._dead, self._stirred = tuple(up), tuple(dead), True
        actions = list[Action]()
        if new:
            if self.follower.word.epoch:
                actions.append(Say(tuple(new), Told(self.follower.word)))
            if (own := self._reports.get(self.name)) is not None:
                actions.append(Say(tuple(new), own.report))
        self._apply(actions)  # who tries a zone for all depends on who is up
        return actions

    # --- the operators ----------------------------------------------------------------------------------

    def told(self, now: int) -> dict[str, Any]:
        """The word, what is seen, and what this instance uses of each zone."""
        word = self.follower.word
        verdicts = self.evidence.verdicts(now * 1_000)
        zones = dict[str, Any]()
        for zone, said in self.said(now).items():
            zones[zone] = {
                **msgspec.to_builtins(word.of(zone)), "here": self.parts.get(zone, 1.0),
                "sees": verdicts.get(zone, Verdict.UNKNOWN).name.lower(),
                "out": round(said.out, 1), "rest_bears": round(said.room, 1),
                "expected": said.expected, "heard": said.heard, "bad": said.bad, "good": said.good,
                "boxes": sum(place == zone for place in self.boxes.values()),
            }  # fmt: skip
        touch = {"in_touch": not self.out, "store_ms": now - self.follower.heard_at}
        return {"epoch": word.epoch, "writer": word.writer, "zone": self.zone, **touch, "zones": zones}

    def order(
        self, now: int, at: int, zone: str, order: str, dry: bool
    ) -> tuple[dict[str, Any], list[Action]]:
        """An operator's word on a zone; what follows from it now, or would."""
        said = self.said(now)
        if zone not in said or order not in words.ORDERS:
            return {"refused": f"no zone {zone!r} with boxes, or no order {order!r}"}, []
        told = self.follower.word.of(zone)
        moot = order == told.hand or (order == words.RETURN and told.stage is Stage.IN_USE)
        # An order that is under way goes before what is known of the word.
        hands = {} if moot and zone not in self._hands else {**self._hands, zone: order}
        follows = following(self.follower, said, now, at, self.name, hands)
        left = [box for box, place in self.boxes.items() if place != zone]
        after = msgspec.to_builtins(follows.of(zone)) if follows is not None else "nothing changes now"
        bears = {"out": round(said[zone].out, 1), "rest_bears": round(said[zone].room, 1)}
        would = {"follows": after, "boxes_left": len(left), "boxes": len(self.boxes), **bears}
        actions = list[Action]()
        if hands and not dry:
            self._hands, self._hands_until = hands, now + ORDERED
            self._due.clear()
            self._stirred = True
            self._go_on(now, at, actions)
        return would, actions
