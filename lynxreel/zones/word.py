"""The zone decision that all instances of a fleet share, and how the next one follows from their reports.

No I/O. A decision holds the stage of each zone, that is how far the zone is in use, and an epoch that only
grows. An instance replaces the decision that it knows by one compare-and-set in the store, and all others
adopt the result. So there is one writer at a time without a leader, and no two decisions share an epoch.
`next_decision` computes the next one from the reports of the witnesses; all instances compute the same, and
take turns to write it.

    IN_USE -> LEAVING (steps) -> AWAY -> TRIAL -> RETURNING (steps) -> IN_USE
                                  ^---- failed, rests for longer ------'

A witness is an instance outside the zone whose report is recent and not blind. More than half of the expected
witnesses must have reported, so the smaller side of a network partition decides nothing. More than half of
those that reported, from two zones where there are two, must agree, so one instance that reports falsely or
is cut off changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from lynxreel.zones.evidence import Verdict


LEAVE, AT_ONCE, RETURN, HOLD = "leave", "at once", "return", "hold"
ORDERS = (LEAVE, AT_ONCE, RETURN, HOLD, "")  # "" cancels an order; AT_ONCE disregards spare capacity


class Stage(StrEnum):
    """How far instances outside a zone use its boxes."""

    IN_USE = "in use"
    LEAVING = "leaving"
    AWAY = "away"
    TRIAL = "trial"
    RETURNING = "returning"


class ZoneState(msgspec.Struct, frozen=True):
    """The state of one zone in the decision. It travels as JSON under its field names."""

    stage: Stage = Stage.IN_USE
    step: int = 0  # of LEAVING or RETURNING
    epoch: int = 0  # of the decision that began this state
    at: int = 0  # when it began, milliseconds of the writer's Unix time; for operators only, as clocks differ
    flaps: int = 0  # recent failures during a trial or a return
    hand: str = ""  # the operators' order, which overrides the reports: one of ORDERS
    why: str = ""


class ZoneDecision(msgspec.Struct, frozen=True):
    """The states of all zones; zones that are not listed are in use.

    It travels as JSON under its field names.
    """

    epoch: int = 0
    writer: str = ""
    zones: dict[str, ZoneState] = {}

    def of(self, zone: str) -> ZoneState:
        """Returns the state of a zone."""
        return self.zones.get(zone, ZoneState())


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """Thresholds and pace of the zone decision. Times are milliseconds."""

    leave_steps: tuple[float, ...] = (0.5, 0.0)  # fractions of the zone in use while LEAVING
    leave_ms: int = 150  # duration of each step
    # Duration of each step when a healthy zone is left on an order: the moved load shows within it.
    settle_ms: int = 2_500
    return_steps: tuple[float, ...] = (0.1, 0.25, 0.5)  # fractions of the zone in use while RETURNING
    back_ms: int = 1_500  # duration of each of them
    rest_ms: int = 2_000  # from AWAY to TRIAL; doubled with each flap
    max_rest_ms: int = 60_000
    trial_ms: int = 1_000  # for which a trial has to succeed
    trial_instances: int = 2  # instances that try the zone on behalf of all
    trial_fraction: float = 1.0  # of the zone that these use
    least_witnesses: int = 2
    answer_ms: int = 2_000  # for which an answer speaks against failures
    unanswered_ms: int = 300  # for which no instance may have an answer, where few boxes are tried
    most_away: int = 1  # zones that may be out of use at once
    flap_reset_ms: int = 60_000  # in use for so long, the zone's flaps are reset
    report_ttl_ms: int = 3_000  # for which a report counts
    hold_ms: int = 10_000  # for which a decision holds without contact to the store or another instance


class Report(msgspec.Struct, frozen=True, array_like=True, tag="seen"):
    """An instance's verdicts on the zones. It is sent when it changes, and repeated at intervals."""

    verdicts: dict[str, int]
    blind: bool = False
    epoch: int = 0  # of the decision that the sender follows
    usage: dict[str, tuple[float, float]] = {}  # by zone: open attempts, and how many may be open at once
    outage_ms: dict[str, tuple[int, int]] = {}  # by zone: milliseconds without an answer, and of failures


@dataclass(frozen=True, slots=True)
class Witness:
    """A received report. `received_at` is milliseconds of the receiver's clock."""

    zone: str  # of the reporting instance
    report: Report
    received_at: int


@dataclass(frozen=True, slots=True)
class ReportTally:
    """The witnesses' reports on one zone, counted."""

    expected: int  # instances outside the zone that are not known to be dead
    reporting: int  # of these, the ones with a recent report that is not blind
    bad: int
    good: int
    bad_zones: int  # zones of the instances that see it fail
    expected_zones: int  # zones of the expected instances
    ill: int = 0  # instances that see only failures, and few of them
    # Reports of instances that had a recent answer, after the median start of the reported failures.
    answered_after_onset: int = 0
    open_attempts: float = 0.0  # that the reporting instances have in the zone
    spare_capacity: float = 0.0  # further attempts that the zones in use would take from them
    failing_ms: int = 0  # milliseconds since the median start of the reported failures

    def is_failing(self, settings: DecisionSettings) -> bool:
        """Whether most witnesses see the zone fail, or, where few boxes are tried, none sees an answer."""
        if 2 * self.reporting <= self.expected or self.bad_zones < min(2, self.expected_zones):
            return False
        majority = self.bad >= settings.least_witnesses and self.bad > self.good
        return majority or (self._is_unanswered(settings) and self.failing_ms >= settings.unanswered_ms)

    def may_fail_soon(self, settings: DecisionSettings) -> bool:
        """Whether the zone fails unless an instance reports an answer before `unanswered_ms` have passed."""
        return self._is_unanswered(settings) and self.failing_ms < settings.unanswered_ms

    def _is_unanswered(self, settings: DecisionSettings) -> bool:
        failing = self.bad + self.ill
        enough = failing >= settings.least_witnesses and 3 * failing >= 2 * self.reporting
        return enough and not self.answered_after_onset

    def is_healthy(self) -> bool:
        """Whether some witnesses see the zone work, and at most a third as many see it fail."""
        return self.good > 0 and 3 * (self.bad + self.ill) <= self.good

    def fits(self, fraction: float) -> bool:
        """Whether the zones in use have spare capacity for this fraction of the zone's open attempts.

        Capacity that one step takes is no longer spare for the next, which is checked by itself.
        """
        return self.open_attempts * fraction <= self.spare_capacity

    def fails_trial(self) -> bool:
        """Whether more witnesses see the zone fail than work, during a trial or a return."""
        return self.bad + self.ill > self.good


def tally_reports(
    zone: str,
    decision: ZoneDecision,
    places: Mapping[str, str],
    dead: Iterable[str],
    reports: Mapping[str, Witness],
    now: int,
    settings: DecisionSettings,
    load: bool = True,
) -> ReportTally:
    """Counts the reports on a zone. `places` has the zone of each instance of the fleet, this one included.

    `load`: whether to sum up open attempts and spare capacity as well, which doubles the cost. During TRIAL
    and RETURNING, reports from before the last step do not count.
    """
    state = decision.of(zone)
    min_epoch = state.epoch if state.stage in (Stage.TRIAL, Stage.RETURNING) else 0
    dead_names = set(dead)
    outside = {name: place for name, place in places.items() if place != zone and name not in dead_names}
    reporting = bad = good = ill = 0
    open_attempts = spare_capacity = 0.0
    last_answers, onsets = list[int](), list[int]()
    bad_zones = set[str]()
    for name, place in outside.items():
        witness = reports.get(name)
        if witness is None or now - witness.received_at > settings.report_ttl_ms or _is_blind(witness.report):
            continue
        if witness.report.epoch < min_epoch:
            continue
        reporting += 1
        verdict = witness.report.verdicts.get(zone, Verdict.UNKNOWN)
        bad += verdict == Verdict.BAD
        good += verdict == Verdict.GOOD
        ill += verdict == Verdict.ILL
        unanswered_ms, failing_ms = witness.report.outage_ms.get(zone, (0, 0))
        if verdict in (Verdict.BAD, Verdict.ILL):
            bad_zones.add(place)
            onsets.append(witness.received_at - failing_ms)
        elif verdict == Verdict.GOOD or zone in witness.report.outage_ms:
            last_answers.append(witness.received_at - unanswered_ms)
        for other, (attempts, capacity) in witness.report.usage.items() if load else ():
            if other == zone:
                open_attempts += attempts
            elif not _is_left(decision.of(other)):
                spare_capacity += max(0.0, capacity - attempts)
    onset = sorted(onsets)[len(onsets) // 2] if onsets else now
    recent = max(onset, now - settings.answer_ms)
    answered_after_onset = sum(answered > recent for answered in last_answers)
    expected_zones = len(set(outside.values()))
    return ReportTally(
        len(outside),
        reporting,
        bad,
        good,
        len(bad_zones),
        expected_zones,
        ill,
        answered_after_onset,
        open_attempts,
        spare_capacity,
        now - onset,
    )


def _is_blind(report: Report) -> bool:
    """Whether the report is marked as blind, or finds every zone bad."""
    verdicts = report.verdicts.values()
    return report.blind or (len(report.verdicts) > 1 and all(verdict == Verdict.BAD for verdict in verdicts))


def next_decision(
    follower: Follower,
    tallies: Mapping[str, ReportTally],
    now: int,
    at: int,
    writer: str,
    orders: Mapping[str, str],
) -> ZoneDecision | None:
    """Returns the decision that replaces the follower's; None if nothing changes.

    `now` is milliseconds of the follower's clock, `at` of Unix time, `writer` the name of this instance.
    `orders` has the operators' new orders by zone; "" cancels an order.
    """
    decision, settings = follower.decision, follower.terms
    changed: dict[str, ZoneState] = {}
    away = {zone for zone in tallies if _is_left(decision.of(zone))}
    for zone in sorted(tallies, key=lambda zone: (-tallies[zone].bad, zone)):
        before = decision.of(zone)
        if zone in orders and orders[zone] != before.hand:
            before = _changed(before, at, hand=orders[zone])
        elapsed = follower.passed(now, zone)
        after = _next_state(
            before, tallies[zone], at, elapsed, settings, len(away - {zone}) < settings.most_away
        )
        if _is_left(after):
            away.add(zone)
        if after != decision.of(zone):
            changed[zone] = msgspec.structs.replace(after, epoch=decision.epoch + 1)
    if not changed:
        return None
    return ZoneDecision(decision.epoch + 1, writer, {**decision.zones, **changed})


def _is_left(zone: ZoneState) -> bool:
    return zone.stage is not Stage.IN_USE


def _changed(zone: ZoneState, at: int, **changes: object) -> ZoneState:
    """Returns the state with these changes, begun at this Unix time in milliseconds."""
    return msgspec.structs.replace(zone, at=at, **changes)


def _next_state(
    zone: ZoneState, tally: ReportTally, at: int, elapsed: int, settings: DecisionSettings, may_leave: bool
) -> ZoneState:
    """Returns the next state of a zone, `elapsed` milliseconds after its last change."""
    fails = zone.hand != RETURN and tally.is_failing(settings)
    by_hand = zone.hand in (LEAVE, AT_ONCE)
    bad = fails or by_hand
    # A failing zone serves nobody; a healthy one is left at the pace that the other zones have capacity for.
    paced = zone.hand == LEAVE and not fails
    if zone.hand == HOLD:
        return zone
    match zone.stage:
        case Stage.IN_USE:
            if bad and may_leave and (not paced or tally.fits(1.0 - settings.leave_steps[0])):
                why = "by hand" if by_hand else f"{tally.bad} of {tally.reporting} see it fail"
                return _changed(zone, at, stage=Stage.LEAVING, step=0, why=why)
            if zone.flaps and elapsed >= settings.flap_reset_ms:
                return _changed(zone, zone.at, flaps=0)
        case Stage.LEAVING if elapsed >= (settings.settle_ms if paced else settings.leave_ms):
            current, *remaining = settings.leave_steps[zone.step :]
            if paced and remaining and not tally.fits(1.0 - remaining[0] / current):
                return zone
            if zone.step + 1 < len(settings.leave_steps):
                return _changed(zone, at, step=zone.step + 1)
            return _changed(zone, at, stage=Stage.AWAY, step=0)
        case Stage.AWAY if not by_hand:
            rest = min(settings.max_rest_ms, settings.rest_ms << min(zone.flaps, 10))
            if elapsed >= rest or zone.hand == RETURN:
                return _changed(zone, at, stage=Stage.TRIAL, why="its rest is over")
        case Stage.TRIAL | Stage.RETURNING if bad or (zone.hand != RETURN and tally.fails_trial()):
            failing = tally.bad + tally.ill
            why = "by hand" if by_hand else f"it faltered: {failing} see it fail, {tally.good} well"
            return _changed(zone, at, stage=Stage.AWAY, step=0, flaps=zone.flaps + 1, why=why)
        case Stage.TRIAL if elapsed >= settings.trial_ms and tally.is_healthy():
            return _changed(zone, at, stage=Stage.RETURNING, step=0, why="its trial went well")
        case Stage.RETURNING if elapsed >= settings.back_ms and tally.is_healthy():
            if zone.step + 1 < len(settings.return_steps):
                return _changed(zone, at, step=zone.step + 1)
            hand = "" if zone.hand == RETURN else zone.hand
            return _changed(zone, at, stage=Stage.IN_USE, step=0, hand=hand, why="it is back")
        case _:
            pass
    return zone


def zone_fraction(zone: ZoneState, rank: int, settings: DecisionSettings) -> float:
    """Returns the fraction of a zone that an instance outside it uses.

    `rank` is the instance's position in the zone's order of the outside instances that are up.
    """
    match zone.stage:
        case Stage.IN_USE:
            return 1.0
        case Stage.LEAVING:
            return settings.leave_steps[zone.step]
        case Stage.TRIAL | Stage.RETURNING:
            # The instances of the trial keep theirs: a small fraction may leave the others without any box.
            fraction = settings.return_steps[zone.step] if zone.stage is Stage.RETURNING else 0.0
            return settings.trial_fraction if rank < settings.trial_instances else fraction
        case _:
            return 0.0


def may_replace(read_epoch: int, decision: ZoneDecision) -> bool:
    """Whether a decision may replace the one with the epoch that was last read from the store itself.

    An epoch that another instance sent does not count as read.
    """
    return decision.epoch == read_epoch + 1


@dataclass(slots=True)
class Follower:
    """The decision that one instance follows. Times are milliseconds of one monotonic clock."""

    terms: DecisionSettings
    decision: ZoneDecision = ZoneDecision()
    heard_at: int = 0  # last contact to the store or to another instance
    changed: dict[str, int] = field(default_factory=dict)  # when each zone's last change was adopted here
    received: dict[str, ZoneDecision] = field(
        default_factory=dict
    )  # the last decision that each other instance sent

    def passed(self, now: int, zone: str) -> int:
        """Returns the milliseconds since the last change of a zone was adopted here."""
        return now - self.changed.get(zone, -(10**9))

    def receive_decision(self, now: int, name: str, decision: ZoneDecision, store: bool) -> bool:
        """Handles a decision sent by another instance; returns True if it was adopted.

        `store`: the store can be read, and then only what it holds is adopted. Otherwise `least_witnesses`
        instances must have sent the same decision, so that no single instance can make others follow a
        decision that was never written.
        """
        self.heard_at = now
        if decision.epoch <= self.decision.epoch:
            self.received.pop(name, None)
            return False
        self.received[name] = decision
        agreeing = sum(other == decision for other in self.received.values())
        return not store and agreeing >= self.terms.least_witnesses and self.adopt(now, decision)

    def adopt(self, now: int, decision: ZoneDecision | None) -> bool:
        """Notes contact, and adopts the decision read from the store if it is later; True if it was adopted.

        `decision` is None where another instance was heard from and the store was not read.
        """
        self.heard_at = now
        if decision is None or decision.epoch <= self.decision.epoch:
            return False
        for zone in decision.zones:
            if decision.zones[zone] != self.decision.of(zone):
                self.changed[zone] = now
        self.decision = decision
        return True

    def lost(self, now: int) -> bool:
        """Whether contact has been lost for longer than `hold_ms`, so that the decision no longer applies."""
        return now - self.heard_at > self.terms.hold_ms
