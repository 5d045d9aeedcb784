"""One instance's part in the zone decision: what it reports, reads, writes and applies, and when. No I/O.

Each event method takes the time and returns a list of actions, to be carried out in order. There is one store
request at a time: the caller answers each `StoreRequest` by a call of `store_answered`.
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
from lynxreel.zones.word import (
    Follower,
    Report,
    Stage,
    Witness,
    ZoneDecision,
    next_decision,
    tally_reports,
    zone_fraction,
)
from mothgap.interface import Result

USAGE_INTERVAL_MS = 100  # milliseconds between samples of the open attempts
USAGE_SMOOTHING = 0.2  # weight of a new sample in the exponential average of the open attempts
REPEAT_MS = 1_000  # milliseconds after which a report is sent again, and the store is read
ORDER_TIMEOUT_MS = (
    5_000  # milliseconds after which an unwritten operator's order is dropped: later it would surprise
)
WRITE_TURN_MS = 30  # milliseconds that each instance leaves to every one before it to write the next decision
# Milliseconds for which an instance's decisions cause no read, after it sent one that the store did not have.
DISTRUST_MS = 10_000


class DecisionMessage(msgspec.Struct, frozen=True, array_like=True, tag="word"):
    """The decision that the sender follows."""

    word: ZoneDecision


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to these instances."""

    to: tuple[str, ...]
    message: Report | DecisionMessage


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """Replace the decision in the store by `follows`; without it, only read the store."""

    follows: ZoneDecision | None = None
    lost: bool = False  # the store has lost the decision: it is restored


@dataclass(frozen=True, slots=True)
class SetFractions:
    """Use these fractions of the named zones, and all of the others."""

    parts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Preconnect:
    """Open this many connections to these boxes before requests need them."""

    boxes: tuple[str, ...]
    count: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a log line."""

    text: str


@dataclass(frozen=True, slots=True)
class RecordEntry:
    """Write an entry to the records: the new state of a zone."""

    content: Mapping[str, Any]


Action: TypeAlias = SendMessage | StoreRequest | SetFractions | Preconnect | LogLine | RecordEntry


class Member:
    """An instance of the fleet.

    `now` is milliseconds of its monotonic clock, `at` milliseconds of its Unix time, written into decisions.
    """

    def __init__(
        self,
        name: str,
        places: Mapping[str, str],
        settings: words.DecisionSettings,
        evidence_settings: evidence.EvidenceSettings,
        now: int,
    ) -> None:
        """`places` has the zone of each instance of the fleet, this one included."""
        self.name, self.zone, self._places, self._settings = name, places[name], dict(places), settings
        self._ranks = Ranks(places)
        self.evidence = Evidence(evidence_settings)
        self.boxes: dict[str, str] = {}
        self.follower = Follower(settings, heard_at=now)
        self.fractions: dict[str, float] = {}
        self.out_of_contact = False  # contact was lost for so long that the decision no longer applies
        self._reports: dict[str, Witness] = {}
        self._usage: dict[str, tuple[float, float]] = {}  # by zone: open attempts, and how many may be
        self._reported_at = self._read_at = self._adopted_at = self._sampled_at = 0
        self._evaluated_at = now  # when the next decision was last computed
        self._inputs_changed = True  # or peers, boxes or orders, since then
        self._due: dict[int, int] = {}  # by epoch: when this instance writes the decision that follows it
        self._orders: dict[str, str] = {}  # operators' orders by zone that have not been written yet
        self._orders_until = 0
        self._claimed: dict[str, int] = {}  # later epochs that others sent, not yet read from the store
        self._checking: dict[str, int] = {}  # those of them that the open store request will check
        self._distrusted: dict[str, int] = {}  # by instance: until when its decisions cause no read
        self._open_request: StoreRequest | None = None
        self.store_unavailable = False  # the store did not answer the last request
        self._up: tuple[str, ...] = ()
        self._dead: tuple[str, ...] = ()

    # --- observations -----------------------------------------------------------------------------------

    def set_boxes(self, boxes: Mapping[str, str]) -> None:
        """Sets the boxes that may be used, as a map of box name to zone."""
        self.boxes, self._inputs_changed = dict(boxes), True
        self.evidence.listed(self.boxes)

    def attempt_ended(self, now: int, box: str, result: Result) -> None:
        """Records the result of an attempt at a box."""
        self.evidence.ended(now * 1_000, box, result)

    def wants_usage(self, now: int) -> bool:
        """Whether the next call of `tick` should pass the usage of the zones."""
        return now - self._sampled_at >= USAGE_INTERVAL_MS

    def tick(self, now: int, at: int, use: Mapping[str, tuple[float, float]] | None = None) -> list[Action]:
        """Does the periodic work: reports, reads the store, and writes the next decision when it is due.

        `use` has by zone the open attempts, and how many its boxes would take from this instance.
        """
        actions = list[Action]()
        if use is not None:
            self._sampled_at = now
            for zone, (attempts, capacity) in use.items():
                before = self._usage.get(zone, (attempts, capacity))
                self._usage[zone] = (before[0] + USAGE_SMOOTHING * (attempts - before[0]), capacity)
        self._report(now, actions)
        self._read_store(now, actions)
        if self._orders and now > self._orders_until:
            late = [
                zone for zone, order in self._orders.items() if order != self.follower.decision.of(zone).hand
            ]
            if late:
                actions.append(LogLine(f"orders on zones {', '.join(late)} could not be written in time"))
            self._orders.clear()
        self._advance(now, at, actions)
        if self.follower.lost(now) is not self.out_of_contact:
            self.out_of_contact = not self.out_of_contact
            lost = "neither the store of the word on zones nor another instance is heard: it counts no more"
            actions.append(
                LogLine(lost if self.out_of_contact else "the fleet's word on zones is followed again")
            )
            self._apply(actions)
        return actions

    def _report(self, now: int, actions: list[Action]) -> None:
        found = self.evidence.verdicts(now * 1_000)
        blind = self.evidence.blind(now * 1_000)
        verdicts = {zone: int(verdict) for zone, verdict in found.items()}
        usage = {zone: (round(out, 2), round(most, 2)) for zone, (out, most) in self._usage.items()}
        outages = self.evidence.outage_durations(now * 1_000)
        outage_ms = {zone: (silent // 1_000, failing // 1_000) for zone, (silent, failing) in outages.items()}
        report = Report(verdicts, blind, self.follower.decision.epoch, usage, outage_ms)
        if self._keep_report(self.name, self.zone, report, now) or now - self._reported_at >= REPEAT_MS:
            self._reported_at = now
            actions.append(SendMessage(self._up, report))

    def _keep_report(self, name: str, zone: str, report: Report, now: int) -> bool:
        """Keeps an instance's latest report; returns whether its verdicts, blindness or epoch changed."""
        before = self._reports.get(name)
        self._reports[name] = Witness(zone, report, now)
        content = (report.verdicts, report.blind, report.epoch)
        changed = before is None or content != (
            before.report.verdicts,
            before.report.blind,
            before.report.epoch,
        )
        self._inputs_changed |= changed
        return changed

    def tallies(self, now: int, load: bool = True) -> dict[str, words.ReportTally]:
        """Returns the counted reports by zone. `load`: with open attempts and spare capacity."""
        given = self.follower.decision, self._places, self._dead, self._reports, now, self._settings, load
        return {zone: tally_reports(zone, *given) for zone in sorted({*self.boxes.values()})}

    # --- the decision -----------------------------------------------------------------------------------

    def _read_store(self, now: int, actions: list[Action]) -> None:
        """Reads the store if it was not read for REPEAT_MS, unless a request is open."""
        if now - self._read_at >= REPEAT_MS and self._open_request is None:
            self._read_at = now
            self._ask(StoreRequest(), actions)

    def _advance(self, now: int, at: int, actions: list[Action]) -> None:
        """Writes the next decision if there is one, and it is this instance's turn."""
        epoch, zones = self.follower.decision.epoch, self.follower.decision.zones.values()
        idle = not self._inputs_changed and all(
            zone.stage is Stage.IN_USE and not zone.hand for zone in zones
        )
        if idle and now - self._evaluated_at < REPEAT_MS:
            return  # nothing has changed since the last evaluation
        self._inputs_changed, self._evaluated_at = False, now
        orders = [*self._orders.values(), *(zone.hand for zone in zones)]
        tallies = self.tallies(now, words.LEAVE in orders)
        follows = next_decision(self.follower, tallies, now, at, self.name, self._orders)
        if follows is not None or any(tally.may_fail_soon(self._settings) for tally in tallies.values()):
            self._inputs_changed = True
        if follows is None:
            self._due.clear()
        elif epoch not in self._due:
            up = {self.name, *self._up}
            rank = [name for name in self._ranks.order(b"word") if name in up].index(self.name)
            self._due = {epoch: now + (0 if self._orders else WRITE_TURN_MS * rank)}
        elif now >= self._due[epoch] and self._open_request is None:
            self._due[epoch] = now + REPEAT_MS
            self._ask(StoreRequest(follows), actions)

    def _ask(self, request: StoreRequest, actions: list[Action]) -> None:
        self._open_request, self._checking, self._claimed = request, self._claimed, {}
        actions.append(request)

    def store_answered(self, now: int, in_store: ZoneDecision | None) -> list[Action]:
        """Handles the answer to the open store request: the stored decision, or None if the store failed."""
        actions = list[Action]()
        request, self._open_request = self._open_request, None
        known = self.follower.decision
        if in_store is not None:
            for name, epoch in self._checking.items():
                if in_store.epoch < epoch:
                    claim = (
                        f"{name} tells epoch {epoch} of the word on zones, and the store has {in_store.epoch}"
                    )
                    actions.append(LogLine(claim))
                    self._distrusted[name] = now + DISTRUST_MS
            if (
                in_store.epoch < known.epoch
                and not self.out_of_contact
                and request is not None
                and not request.lost
            ):
                actions.append(
                    LogLine(f"the store has lost the word on zones: epoch {known.epoch} is put back")
                )
                self._ask(StoreRequest(known, lost=True), actions)
            elif self._adopt(now, in_store, actions) and request is not None and in_store == request.follows:
                actions.append(SendMessage(self._up, DecisionMessage(in_store)))
        return actions

    def _adopt(self, now: int, in_store: ZoneDecision, actions: list[Action]) -> bool:
        """Adopts the stored decision if it is a later one; returns whether it was."""
        before = self.follower.decision
        if not self.follower.adopt(now, in_store):
            return False
        self._adopted(now, before, actions)
        return True

    def _adopted(self, now: int, before: ZoneDecision, actions: list[Action]) -> None:
        """Acts on the change from the decision `before` to the one just adopted."""
        current, self._adopted_at = self.follower.decision, now
        for zone, state in current.zones.items():
            if self._orders.get(zone) == state.hand:
                del self._orders[zone]
            if state == before.of(zone):
                continue
            if state.stage is Stage.TRIAL:
                self.evidence.forget(zone)
            if state.stage is Stage.LEAVING and before.of(zone).stage is Stage.IN_USE and zone != self.zone:
                rest = [box for box, place in self.boxes.items() if current.of(place).stage is Stage.IN_USE]
                actions.append(Preconnect(tuple(rest), math.ceil(self._usage.get(zone, (0.0, 0.0))[0])))
            text = f"zone {zone}: {state.stage.value}, step {state.step}, epoch {current.epoch}: {state.why}"
            actions.append(LogLine(text))
            actions.append(RecordEntry({"zone": zone, "epoch": current.epoch, **msgspec.to_builtins(state)}))
        self._apply(actions)

    def _apply(self, actions: list[Action]) -> None:
        """Sets the fraction of each zone that this instance uses under the decision."""
        up = {self.name, *self._up}
        parts = dict[str, float]()
        for zone, state in self.follower.decision.zones.items():
            if zone == self.zone or self.out_of_contact:
                continue
            order = [name for name in self._ranks.order(zone.encode()) if name in up]
            outside = [name for name in order if self._places[name] != zone]
            fraction = zone_fraction(state, outside.index(self.name), self._settings)
            if fraction < 1.0:
                parts[zone] = fraction
        if parts != self.fractions:
            self.fractions = parts
            actions.append(SetFractions(parts))

    # --- other instances --------------------------------------------------------------------------------

    def receive(self, now: int, name: str, message: Report | DecisionMessage) -> list[Action]:
        """Handles a message from another instance."""
        actions = list[Action]()
        decision = self.follower.decision
        if isinstance(message, Report):
            self._keep_report(name, self._places[name], message, now)
            self.follower.adopt(now, None)
            if message.epoch < decision.epoch and now - self._adopted_at >= REPEAT_MS:
                actions.append(
                    SendMessage((name,), DecisionMessage(decision))
                )  # the sender may not reach the store
        elif self.follower.receive_decision(now, name, message.word, not self.store_unavailable):
            self._adopted(now, decision, actions)
        elif message.word.epoch > decision.epoch and now >= self._distrusted.get(name, 0):
            self._claimed[name], self._read_at = message.word.epoch, 0  # only the stored one is adopted
            self._read_store(now, actions)
        return actions

    def peers_changed(
        self, up: Iterable[str], dead: Iterable[str], joined: Collection[str] = ()
    ) -> list[Action]:
        """Sets which other instances are up, which are dead, and which of those up have just come up."""
        self._up, self._dead, self._inputs_changed = tuple(up), tuple(dead), True
        actions = list[Action]()
        if joined:
            if self.follower.decision.epoch:
                actions.append(SendMessage(tuple(joined), DecisionMessage(self.follower.decision)))
            if (own := self._reports.get(self.name)) is not None:
                actions.append(SendMessage(tuple(joined), own.report))
        self._apply(actions)  # which instances run a trial depends on who is up
        return actions

    # --- operators --------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Returns the decision, and by zone this instance's verdict, the reports and the fraction in use."""
        decision = self.follower.decision
        verdicts = self.evidence.verdicts(now * 1_000)
        zones = dict[str, Any]()
        for zone, tally in self.tallies(now).items():
            zones[zone] = {
                **msgspec.to_builtins(decision.of(zone)), "here": self.fractions.get(zone, 1.0),
                "sees": verdicts.get(zone, Verdict.UNKNOWN).name.lower(),
                "out": round(tally.open_attempts, 1), "rest_bears": round(tally.spare_capacity, 1),
                "expected": tally.expected, "heard": tally.reporting, "bad": tally.bad, "good": tally.good,
                "boxes": sum(place == zone for place in self.boxes.values()),
            }  # fmt: skip
        contact = {"in_touch": not self.out_of_contact, "store_ms": now - self.follower.heard_at}
        return {
            "epoch": decision.epoch,
            "writer": decision.writer,
            "zone": self.zone,
            **contact,
            "zones": zones,
        }

    def order(
        self, now: int, at: int, zone: str, order: str, dry: bool
    ) -> tuple[dict[str, Any], list[Action]]:
        """Takes an operator's order on a zone; returns what it changes now, or with `dry` would change.

        An unknown zone or order is answered under the key "refused".
        """
        tallies = self.tallies(now)
        if zone not in tallies or order not in words.ORDERS:
            return {"refused": f"no zone {zone!r} with boxes, or no order {order!r}"}, []
        state = self.follower.decision.of(zone)
        no_effect = order == state.hand or (order == words.RETURN and state.stage is Stage.IN_USE)
        # An order that is not written yet takes precedence over the one in the decision.
        orders = {} if no_effect and zone not in self._orders else {**self._orders, zone: order}
        follows = next_decision(self.follower, tallies, now, at, self.name, orders)
        left = [box for box, place in self.boxes.items() if place != zone]
        after = msgspec.to_builtins(follows.of(zone)) if follows is not None else "nothing changes now"
        capacity = {
            "out": round(tallies[zone].open_attempts, 1),
            "rest_bears": round(tallies[zone].spare_capacity, 1),
        }
        would = {"follows": after, "boxes_left": len(left), "boxes": len(self.boxes), **capacity}
        actions = list[Action]()
        if orders and not dry:
            self._orders, self._orders_until = orders, now + ORDER_TIMEOUT_MS
            self._due.clear()
            self._inputs_changed = True
            self._advance(now, at, actions)
        return would, actions
