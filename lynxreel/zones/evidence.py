"""One instance's health verdict on each zone, derived from how attempts at the zone's boxes ended. No I/O.

A verdict counts the boxes of a zone that answered or failed within a time window, not the requests: a zone
fails with most of its boxes. An instance that sees every zone fail is itself cut off, and one whose event
loop stalled has observed nothing; either is blind for a while, and its report says so.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from mothgap.interface import Result

FAILED = (Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT)
ANSWERED = (Result.OK, Result.ERROR, Result.FULL)


class Verdict(IntEnum):
    """What an instance concludes about a zone; reported by number."""

    UNKNOWN = 0  # too few observations, or this instance is blind
    GOOD = 1
    BAD = 2
    ILL = 3  # every observed box failed, but these are too few to call the zone BAD


@dataclass(frozen=True, slots=True)
class EvidenceSettings:
    """Thresholds for the verdict on a zone. Times are microseconds."""

    answer_window: int = 2_000_000  # for which a box's answer counts
    # A failure counts for longer: after it the box is tried rarely until it answers.
    failure_window: int = 30_000_000
    bad_fraction: float = 0.6  # of a zone's boxes that must have failed for BAD
    bad_boxes: int = 5  # failed boxes that suffice for BAD in a large zone
    good_fraction: float = 0.3  # of the observed boxes that may have failed for GOOD
    blind_duration: int = 1_000_000  # after a stalled event loop, or when every zone seems to fail


@dataclass(slots=True)
class _LastResult:
    """How the last attempt at a box ended."""

    zone: str
    at: int
    failed: bool
    failing_since: int  # the first of its uninterrupted failures


class Evidence:
    """The results of one instance's attempts, by box and zone."""

    def __init__(self, settings: EvidenceSettings) -> None:
        self._settings = settings
        self._zones: Mapping[str, str] = {}
        self._sizes: dict[str, int] = {}
        self._last: dict[str, _LastResult] = {}
        self._blind_until = 0

    def listed(self, zones: Mapping[str, str]) -> None:
        """Sets the listed boxes, as a map of box name to zone, and discards results of boxes not in it."""
        self._zones, self._sizes = dict(zones), {}
        for zone in zones.values():
            self._sizes[zone] = self._sizes.get(zone, 0) + 1
        self._last = {box: last for box, last in self._last.items() if box in self._zones}

    def ended(self, now: int, box: str, result: Result) -> None:
        """Records the result of an attempt at a box; boxes that are not listed are ignored."""
        zone = self._zones.get(box)
        if zone is None:
            return
        if result in FAILED or result in ANSWERED:
            before, failed = self._last.get(box), result in FAILED
            was_failing = (
                before is not None and before.failed and before.at > now - self._settings.failure_window
            )
            since = before.failing_since if failed and was_failing and before is not None else now
            self._last[box] = _LastResult(zone, now, failed, since)

    def forget(self, zone: str) -> None:
        """Discards all results of a zone."""
        self._last = {box: last for box, last in self._last.items() if last.zone != zone}

    def loop_stalled(self, now: int) -> None:
        """The event loop stalled: attempts that timed out meanwhile tell nothing about the boxes."""
        self._last.clear()
        self._blind_until = now + self._settings.blind_duration

    def blind(self, now: int) -> bool:
        """Whether the observed failures are probably caused by this instance itself."""
        return now < self._blind_until

    def verdicts(self, now: int) -> dict[str, Verdict]:
        """Returns the verdict on each zone that has boxes."""
        window_start = {True: now - self._settings.failure_window, False: now - self._settings.answer_window}
        recent = [last for last in self._last.values() if last.at > window_start[last.failed]]
        failed, answered = dict.fromkeys(self._sizes, 0), dict.fromkeys(self._sizes, 0)
        onset: dict[str, int] = {}
        for last in recent:
            if last.failed:
                failed[last.zone] += 1
                onset[last.zone] = min(last.failing_since, onset.get(last.zone, last.failing_since))
        for last in recent:
            # An answer from before the zone's first failure tells nothing about its present state.
            if not last.failed and last.at >= onset.get(last.zone, 0):
                answered[last.zone] += 1
        verdicts = {zone: self._verdict(zone, failed[zone], answered[zone]) for zone in self._sizes}
        bad_count = sum(verdict is Verdict.BAD for verdict in verdicts.values())
        if bad_count > 1 and not any(answered.values()):
            self._blind_until = now + self._settings.blind_duration  # all zones at once: it is this instance
        if self.blind(now) or Verdict.GOOD not in verdicts.values():
            # Without a healthy zone none is accused: in an overload all zones are late.
            return dict.fromkeys(verdicts, Verdict.UNKNOWN)
        return verdicts

    def outage_durations(self, now: int) -> dict[str, tuple[int, int]]:
        """Returns the time without an answer and the time of failures, in microseconds, by observed zone."""
        answered, failing = dict[str, int](), dict[str, int]()
        for last in self._last.values():
            if last.failed:
                failing[last.zone] = max(now - last.failing_since, failing.get(last.zone, 0))
            else:
                answered[last.zone] = min(now - last.at, answered.get(last.zone, now - last.at))
        zones = answered.keys() | failing.keys()
        return {
            zone: (answered.get(zone, self._settings.failure_window), failing.get(zone, 0)) for zone in zones
        }

    def _verdict(self, zone: str, failed: int, answered: int) -> Verdict:
        observed, settings = failed + answered, self._settings
        if (
            failed >= min(settings.bad_boxes, settings.bad_fraction * self._sizes[zone])
            and failed >= settings.bad_fraction * observed
        ):
            return Verdict.BAD
        if answered:
            return Verdict.GOOD if failed <= settings.good_fraction * observed else Verdict.UNKNOWN
        return Verdict.ILL if failed else Verdict.UNKNOWN
